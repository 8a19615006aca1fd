//! Membership (SWIM) under message loss and crashes. Checked: once faults are over, all boxes have
//! the same view; a crashed box is declared dead in time; a restarted one is seen as alive again;
//! the size and rate of messages do not depend on the number of boxes.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use scalewood::core::{
    member::{Members, Message, Settings, Status},
    name, unit,
};

use super::{random, runs};

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Kill(usize),
    Start(usize),
    Leave(usize),
    /// From now on, messages are lost with this probability, in percent.
    Loss(u8),
}

const BOXES: usize = 8;

fn schedule(seed: u64) -> Vec<Step> {
    let mut random = random(seed);
    let mut steps = vec![Step::Pass(3000)];
    for _ in 0..60 {
        let entry = random.random_range(0..BOXES);
        steps.push(match random.random_range(0..100) {
            0..50 => Step::Pass(random.random_range(1..2000)),
            50..62 => Step::Kill(entry),
            62..85 => Step::Start(entry),
            85..92 => Step::Leave(entry),
            _ => Step::Loss(random.random_range(0..30)),
        });
    }
    steps
}

fn box_name(i: usize) -> name::Box {
    format!("e{i}").parse().unwrap()
}

struct Zone {
    now: Duration,
    random: rand::rngs::SmallRng,
    loss: u8,
    members: Vec<Option<Members>>,
    serial: u64,
    /// The number of messages that each box sent.
    sent: BTreeMap<usize, u64>,
    /// The largest number of news items in one message.
    max_news: usize,
}

impl Zone {
    fn new(seed: u64, boxes: usize) -> Self {
        let mut zone = Self {
            now: Duration::from_secs(10),
            random: random(seed ^ 0x3e3),
            loss: 0,
            members: (0..boxes).map(|_| None).collect(),
            serial: 0,
            sent: BTreeMap::new(),
            max_news: 0,
        };
        (0..boxes).for_each(|i| zone.start(i));
        zone
    }

    fn start(&mut self, i: usize) {
        self.serial += 1;
        // A box cannot know how often it has started, and clocks may go back; so the incarnation is
        // arbitrary.
        let incarnation = unit::Incarnation(self.random.random_range(0..4));
        let mut members = Members::new(Settings::default(), box_name(i), incarnation, self.serial);
        members.configure((0..self.members.len()).map(box_name), self.now);
        self.members[i] = Some(members);
    }

    fn is_lost(&mut self) -> bool {
        self.random.random_range(0..100) < self.loss
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += Duration::from_millis(50);
            for i in 0..self.members.len() {
                let now = self.now;
                let due = self.members[i]
                    .as_mut()
                    .map(|m| m.tick(now))
                    .unwrap_or_default();
                for peer in due {
                    self.probe(i, &peer);
                }
            }
        }
    }

    fn probe(&mut self, i: usize, peer: &name::Box) {
        let p: usize = peer.as_str()[1..].parse().unwrap();
        let now = self.now;
        let Some(question) = self.message(i) else {
            return;
        };
        let reached = self.members[p].is_some() && !self.is_lost();
        let answer = reached.then(|| {
            if let Some(members) = self.members[p].as_mut() {
                members.receive(question, now);
            }
            self.message(p)
        });
        let answer = answer.flatten().filter(|_| !self.is_lost());
        let Some(members) = self.members[i].as_mut() else {
            return;
        };
        match answer {
            Some(answer) => members.receive(answer, now),
            None => members.record_unanswered(peer, now),
        }
    }

    fn message(&mut self, i: usize) -> Option<Message> {
        let message = self.members[i].as_mut()?.message();
        *self.sent.entry(i).or_default() += 1;
        self.max_news = self.max_news.max(message.updates.len());
        Some(message)
    }

    fn check_same(&self) {
        let alive: Vec<_> = (0..self.members.len())
            .filter(|i| self.members[*i].is_some())
            .collect();
        let expected: Vec<_> = alive.iter().map(|i| box_name(*i)).collect();
        for i in alive {
            let seen = self.members[i].as_ref().unwrap().alive();
            let mut expected = expected.clone();
            expected.sort();
            assert_eq!(seen, expected, "in the view of {}", box_name(i));
        }
    }
}

#[test]
fn all_see_the_same_once_faults_are_over() {
    runs(200, schedule, |seed, steps| {
        let mut zone = Zone::new(seed, BOXES);
        for step in steps {
            match step {
                Step::Pass(millis) => zone.advance(*millis),
                Step::Kill(i) => zone.members[*i] = None,
                Step::Start(i) => zone.start(*i),
                Step::Leave(i) => {
                    if let Some(members) = zone.members[*i].as_mut() {
                        members.leave();
                    }
                    zone.advance(300);
                    zone.members[*i] = None;
                }
                Step::Loss(percent) => zone.loss = *percent,
            }
        }
        zone.loss = 0;
        zone.advance(20_000);
        zone.check_same();
    });
}

#[test]
fn a_dead_box_is_seen_in_time_and_comes_back() {
    let mut zone = Zone::new(5, BOXES);
    zone.advance(5000);
    zone.check_same();
    zone.members[3] = None;
    zone.advance(4000);
    zone.check_same();
    zone.start(3);
    zone.advance(2000);
    zone.check_same();
}

#[test]
fn a_leaving_box_is_told_at_once() {
    let mut zone = Zone::new(6, BOXES);
    zone.advance(5000);
    zone.members[2].as_mut().unwrap().leave();
    zone.advance(1000);
    let status = zone.members[0].as_ref().unwrap().status(&box_name(2));
    assert_eq!(status, Some(Status::Dead));
}

#[test]
fn the_cost_of_a_box_does_not_grow_with_their_number() {
    let rate = |boxes: usize| {
        let mut zone = Zone::new(7, boxes);
        zone.advance(5000);
        zone.sent.clear();
        zone.max_news = 0;
        for i in 0..boxes / 4 {
            zone.members[i] = None;
        }
        zone.advance(10_000);
        let most = zone.sent.values().copied().max().unwrap_or_default();
        (most, zone.max_news)
    };
    let (small, _) = rate(8);
    let (large, news) = rate(64);
    assert!(
        large <= small * 3 / 2,
        "{large} messages with 64 boxes, {small} with 8"
    );
    assert!(news <= Settings::default().max_updates + 1);
}
