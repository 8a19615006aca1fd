//! Registries that receive records of endpoints' starts reordered, duplicated, late or not at all.
//!
//! Endpoints restart under the same name, take over each other's addresses, and leave in between.
//! Checked: no registry ever returns to an earlier start, or to one that it knows to have ended;
//! and registries that have received the same records, in any order and any number of times, are
//! equal.

use std::{collections::BTreeMap, time::Duration};

use rand::{seq::SliceRandom as _, Rng as _};
use scalewood::core::{
    name,
    registry::{Record, Registry, Start, State},
    unit,
};

use super::{random, runs};
use crate::incarnation::record;

#[derive(Clone, Debug)]
enum Step {
    /// A record arrives that an endpoint sent.
    Receive(Record),
    /// A start of an endpoint has ended.
    End(name::Endpoint, Start),
    /// All records that were not renewed in time expire.
    Forget,
}

const REGISTRIES: u64 = 3;
const NAMES: [&str; 3] = ["a", "b", "c"];
const NOW: Duration = Duration::from_secs(1000);

/// Returns the records that a few endpoints send over several starts, in the order of sending.
fn sent(seed: u64) -> Vec<Step> {
    let mut random = random(seed);
    let mut sent = Vec::new();
    let mut starts = BTreeMap::from(NAMES.map(|name| (name, 0)));
    let mut addresses = [1, 2, 3];
    for _ in 0..12 {
        let name = NAMES[random.random_range(0..NAMES.len())];
        let start = starts.entry(name).or_default();
        // Start 0 reports no incarnation.
        *start += u64::from(random.random_range(0..3u8));
        addresses.shuffle(&mut random);
        for sequence in 1..random.random_range(2..5) {
            let leaves = random.random_range(0..4) == 0;
            let state = if leaves { State::Leaving } else { State::Ready };
            let record = Record {
                state,
                address: format!("10.0.0.{}:80", addresses[0]).parse().unwrap(),
                ..record(name, *start, sequence)
            };
            sent.push(Step::Receive(record));
        }
        if random.random_range(0..3) == 0 {
            let start = (*start > 0).then_some(unit::Incarnation(*start));
            sent.push(Step::End(name.parse().unwrap(), start));
        }
    }
    sent
}

/// Returns the steps in the order in which a registry receives them, a third of them twice.
fn received(seed: u64, registry: u64, sent: &[Step]) -> Vec<Step> {
    let mut random = random(seed ^ (registry << 32));
    let mut received = sent.to_vec();
    received.extend_from_slice(&sent[..sent.len() / 3]);
    received.shuffle(&mut random);
    received
}

#[derive(Default)]
struct Checked {
    registry: Registry,
    /// The latest start of each endpoint that the registry has held.
    latest: BTreeMap<name::Endpoint, Start>,
    /// The latest start of each endpoint that has ended.
    gone: BTreeMap<name::Endpoint, Start>,
}

impl Checked {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Receive(record) => drop(self.registry.merge(record.clone(), NOW)),
            Step::End(name, start) => {
                self.registry.end(name, *start);
                let gone = self.gone.entry(name.clone()).or_insert(*start);
                *gone = (*gone).max(*start);
            }
            Step::Forget => drop(self.registry.expire(NOW + Duration::from_secs(1))),
        }
        for record in self.registry.records() {
            let start = record.incarnation;
            let latest = self.latest.entry(record.name.clone()).or_insert(start);
            assert!(*latest <= start, "returned to an earlier start: {record:?}");
            *latest = start;
            let gone = self.gone.get(&record.name);
            assert!(
                gone.is_none_or(|gone| *gone < start),
                "this start has ended: {record:?}"
            );
        }
    }
}

fn play(steps: &[Step]) -> Checked {
    let mut checked = Checked::default();
    steps.iter().for_each(|step| checked.step(step));
    checked
}

#[test]
fn registries_that_heard_the_same_hold_the_same() {
    runs(500, sent, |seed, sent| {
        let first = play(&received(seed, 0, sent)).registry;
        for registry in 1..REGISTRIES {
            let other = play(&received(seed, registry, sent)).registry;
            let (own, others) = (first.records(), other.records());
            assert!(own.eq(others), "{first:?}\n{other:?}");
            assert_eq!(first.gone_since(0), other.gone_since(0));
            assert_eq!(first.ended_since(0), other.ended_since(0));
            assert_eq!(first.displaced(), other.displaced());
        }
    });
}

#[test]
fn no_registry_goes_back_to_an_earlier_start() {
    let schedule = |seed| {
        let mut steps = received(seed, 1, &sent(seed));
        let mut random = random(seed ^ 0xf0);
        for _ in 0..steps.len() / 8 {
            steps.insert(random.random_range(0..steps.len()), Step::Forget);
        }
        steps
    };
    // Shrinking may leave out any step, since the checks hold after each step.
    runs(500, schedule, |_, steps| drop(play(steps)));
}
