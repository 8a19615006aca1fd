//! Registries that hear of endpoints' starts in different orders, twice, late and not at all.
//!
//! Endpoints start again under their names and at each other's addresses, and leave in between.
//! Checked: no registry ever goes back to an earlier start, or to one that it knows has gone; and
//! those that have heard the same, in whatever order and however often, hold the same.

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
    /// A record that some endpoint sent.
    Hear(Record),
    /// A start has gone.
    End(name::Endpoint, Start),
    /// All that was not told anew for long is forgotten.
    Forget,
}

const REGISTRIES: u64 = 3;
const NAMES: [&str; 3] = ["a", "b", "c"];
const NOW: Duration = Duration::from_secs(1000);

/// What a few endpoints have said over some starts, in the order of its saying.
fn said(seed: u64) -> Vec<Step> {
    let mut random = random(seed);
    let mut said = Vec::new();
    let mut starts = BTreeMap::from(NAMES.map(|name| (name, 0)));
    let mut addresses = [1, 2, 3];
    for _ in 0..12 {
        let name = NAMES[random.random_range(0..NAMES.len())];
        let start = starts.entry(name).or_default();
        // Also a start that does not tell its incarnation.
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
            said.push(Step::Hear(record));
        }
        if random.random_range(0..3) == 0 {
            let start = (*start > 0).then_some(unit::Incarnation(*start));
            said.push(Step::End(name.parse().unwrap(), start));
        }
    }
    said
}

/// What was said in the order in which a registry hears it, a part of it twice.
fn heard(seed: u64, registry: u64, said: &[Step]) -> Vec<Step> {
    let mut random = random(seed ^ (registry << 32));
    let mut heard = said.to_vec();
    heard.extend_from_slice(&said[..said.len() / 3]);
    heard.shuffle(&mut random);
    heard
}

#[derive(Default)]
struct Checked {
    registry: Registry,
    /// The latest start of each endpoint that was held here.
    latest: BTreeMap<name::Endpoint, Start>,
    /// Up to which start each has gone.
    gone: BTreeMap<name::Endpoint, Start>,
}

impl Checked {
    fn step(&mut self, step: &Step) {
        match step {
            Step::Hear(record) => drop(self.registry.merge(record.clone(), NOW)),
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
            assert!(*latest <= start, "back to an earlier start: {record:?}");
            *latest = start;
            let gone = self.gone.get(&record.name);
            assert!(gone.is_none_or(|gone| *gone < start), "gone: {record:?}");
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
    runs(500, said, |seed, said| {
        let first = play(&heard(seed, 0, said)).registry;
        for registry in 1..REGISTRIES {
            let other = play(&heard(seed, registry, said)).registry;
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
        let mut steps = heard(seed, 1, &said(seed));
        let mut random = random(seed ^ 0xf0);
        for _ in 0..steps.len() / 8 {
            steps.insert(random.random_range(0..steps.len()), Step::Forget);
        }
        steps
    };
    // Any part may be lost: what is checked holds after each step.
    runs(500, schedule, |_, steps| drop(play(steps)));
}
