//! Claims of idempotency keys under message loss, network partitions, restarts that lose all state,
//! and changes of the set of boxes. Checked: within its retention time, no key is won by two
//! requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng as _;
use scalewood::core::{
    attempt::Request,
    claim::{holders, tally, Holder, Key, Outcome, Reply},
    name,
    verdict::Verdict,
};

use super::{random, runs};

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    /// A request claims a key. Each bit of the mask cuts it off from one box.
    Claim(u64, u8),
    /// A box restarts without its state.
    Restart(usize),
    /// A box reads claims back from the others. Each bit of the mask cuts it off from one of them.
    ReadBack(usize, u8),
    /// A box is removed from the configuration, or added again.
    Toggle(usize),
}

const BOXES: usize = 6;
const ZONES: usize = 3;
const RETENTION: Duration = Duration::from_secs(60);

fn schedule(seed: u64) -> Vec<Step> {
    let mut random = random(seed);
    let mut steps = vec![Step::Pass(61_000)];
    for _ in 0..200 {
        let entry = random.random_range(0..BOXES);
        // Most bits are zero, so most boxes are reachable.
        let cut = random.random::<u8>() & random.random::<u8>();
        steps.push(match random.random_range(0..100) {
            0..20 => Step::Pass(random.random_range(1..5000)),
            20..70 => Step::Claim(random.random_range(0..8), cut),
            70..82 => Step::Restart(entry),
            82..98 => Step::ReadBack(entry, cut),
            _ => Step::Toggle(entry),
        });
    }
    steps
}

fn box_name(i: usize) -> name::Box {
    format!("e{i}").parse().unwrap()
}

struct World {
    now: Duration,
    boxes: BTreeMap<name::Box, name::Zone>,
    holders: Vec<Holder>,
    /// The request that won each key, and when.
    won: BTreeMap<u64, (Request, Duration)>,
    serial: u64,
    toggled: Duration,
}

fn zone(i: usize) -> name::Zone {
    format!("z{}", i % ZONES).parse().unwrap()
}

impl World {
    fn new() -> Self {
        let boxes: BTreeMap<_, _> = (0..BOXES).map(|i| (box_name(i), zone(i))).collect();
        let holders = (0..BOXES).map(|i| {
            let mut holder = Holder::new(box_name(i), RETENTION, Duration::ZERO);
            holder.configure(boxes.clone(), Duration::ZERO);
            holder
        });
        let holders = holders.collect();
        Self {
            now: Duration::ZERO,
            boxes,
            holders,
            won: BTreeMap::new(),
            serial: 0,
            toggled: Duration::ZERO,
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => {
                self.now += Duration::from_millis(millis);
                self.holders
                    .iter_mut()
                    .for_each(|holder| holder.tick(self.now));
            }
            Step::Claim(number, cut) => self.claim(number, cut),
            Step::Restart(i) => {
                self.holders[i] = Holder::new(box_name(i), RETENTION, self.now);
                self.holders[i].configure(self.boxes.clone(), self.now);
            }
            Step::ReadBack(i, cut) => self.read_back(i, cut),
            Step::Toggle(i) => self.toggle(i),
        }
    }

    fn claim(&mut self, number: u64, cut: u8) {
        let key = Key::new(
            &"t".parse().unwrap(),
            &"s".parse().unwrap(),
            &number.to_string(),
        );
        self.serial += 1;
        let owner = Request(self.serial);
        let asked = holders(key, &self.boxes);
        let replies: Vec<Option<Reply>> = asked
            .iter()
            .map(|name| {
                let i: usize = name.as_str()[1..].parse().unwrap();
                // Either the request to the box or its reply may be lost.
                if cut & (1 << i) != 0 && i.is_multiple_of(2) {
                    return None;
                }
                let reply = self.holders[i].claim(key, owner, self.now);
                (cut & (1 << i) == 0).then_some(reply)
            })
            .collect();
        let release = |world: &mut Self, verdict: Option<Verdict>| {
            for name in &asked {
                let i: usize = name.as_str()[1..].parse().unwrap();
                if cut & (1 << i) == 0 {
                    match verdict {
                        Some(verdict) => world.holders[i].end(key, owner, verdict),
                        None => world.holders[i].release(key, owner),
                    }
                }
            }
        };
        if tally(&replies) != Outcome::Won {
            return release(self, None);
        }
        if let Some((first, at)) = self.won.insert(number, (owner, self.now)) {
            // A key may be forgotten one millisecond before its retention time ends.
            assert!(
                self.now - at >= RETENTION - Duration::from_millis(1),
                "key {number} is won by {owner} after {first}"
            );
        }
        if owner.0.is_multiple_of(2) {
            release(self, Some(Verdict::Ran));
        }
    }

    fn read_back(&mut self, i: usize, cut: u8) {
        for from in self.holders[i].not_read_back(self.now) {
            let f: usize = from.as_str()[1..].parse().unwrap();
            if cut & (1 << f) != 0 {
                continue;
            }
            if let Some(claims) = self.holders[f].read_back(&box_name(i), self.now) {
                self.holders[i].merge(&from, claims, self.now);
            }
        }
    }

    /// Removes a box from the configuration or adds it again. The ledger allows one such change at
    /// a time, and operators are told to make the next one only after the retention time.
    fn toggle(&mut self, i: usize) {
        if self.now < self.toggled + RETENTION {
            return;
        }
        self.toggled = self.now;
        let name = box_name(i);
        if self.boxes.remove(&name).is_none() {
            self.boxes.insert(name, zone(i));
        }
        for holder in &mut self.holders {
            holder.configure(self.boxes.clone(), self.now);
        }
    }
}

#[test]
fn a_key_is_won_once_while_it_is_remembered() {
    runs(400, schedule, |_, steps| {
        let mut world = World::new();
        for step in steps {
            world.run_step(*step);
        }
        let present: BTreeSet<_> = world.boxes.keys().cloned().collect();
        assert!(present.len() >= ZONES);
    });
}

#[test]
fn keys_can_be_won_at_all_also_with_one_holder_gone() {
    let mut world = World::new();
    world.run_step(Step::Pass(61_000));
    for number in 0..50 {
        world.claim(number, 1 << (number % 6));
    }
    assert_eq!(world.won.len(), 50);
}

#[test]
fn holders_stand_in_different_zones() {
    let world = World::new();
    for number in 0..100 {
        let key = Key::new(
            &"t".parse().unwrap(),
            &"s".parse().unwrap(),
            &number.to_string(),
        );
        let zones: BTreeSet<_> = holders(key, &world.boxes)
            .iter()
            .map(|name| world.boxes[name].clone())
            .collect();
        assert_eq!(zones.len(), ZONES);
    }
}
