//! A simulation, in one process, of hundreds of boxes in front of a service whose endpoints vanish
//! and return. Each box sees only one request in some hundred.
//!
//! Dispatchers and hubs are the real ones. Endpoints prefill prompts one after the other at a fixed
//! rate; time advances in steps; arrivals are drawn from a seed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{
        Ask, Dispatcher, End, Input, Order, Output, PlacementKey, Prefix, Report, Settings, Spec,
    },
    load::{self, Hub, Loads, Update},
    name, unit,
};

const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(5);
const ZONES: usize = 6;
const BOXES: usize = 240;
const ENDPOINTS: usize = 32;
/// The tokens that an endpoint prefills in a step: 60 per millisecond.
const PREFILL_TOKENS_PER_STEP: u64 = 300;
/// The tokens of a prompt, and how many of them are a prefix shared with others.
const PROMPT_TOKENS: u64 = 3000;
const SHARED_TOKENS: u64 = 1000;
const PREFIXES: u64 = 96;
const TARGET: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(8);
/// Requests per second: a fifth more than three quarters of the endpoints can prefill without
/// cached prefixes.
const REQUESTS_PER_SECOND: f64 = 576.0;
/// The interval of the exchanges between hubs.
const SHARE_PERIOD: Duration = Duration::from_millis(100);
/// How many endpoints vanish, when they do, and when they return.
const VANISHING: usize = ENDPOINTS / 4;
const VANISH_AT: Duration = Duration::from_secs(106);
const RETURN_AT: Duration = Duration::from_secs(108);

/// A prompt in the queue of an endpoint.
struct Prompt {
    from: usize,
    attempt: Attempt,
    left: u64,
    arrived_at: Duration,
}

/// How many hubs the boxes exchange their loads through, and at which interval.
#[derive(Clone, Copy)]
struct Plan {
    hubs: usize,
    period: Duration,
}

struct EntryBox {
    dispatcher: Dispatcher,
    name: name::Box,
    reported: Loads,
    others: Loads,
    /// The time of its next exchange.
    next: Duration,
    anew: bool,
}

struct World {
    plan: Plan,
    boxes: Vec<EntryBox>,
    hubs: Vec<Hub>,
    hubs_exchanged_at: Duration,
    queues: BTreeMap<usize, VecDeque<Prompt>>,
    /// The generation of each endpoint, which is part of its name: it returns under another name.
    generations: Vec<u32>,
    down: BTreeSet<usize>,
    random: SmallRng,
    requests: u64,
    now: Duration,
    /// For each second, how many requests arrived in it, and how many of these were answered in
    /// time.
    seen: BTreeMap<u64, (u32, u32)>,
}

fn class() -> BTreeMap<name::Class, config::Class> {
    let class = config::Class {
        target: TARGET,
        deadline: DEADLINE,
        gap: Some(300),
        ..config::Class::default()
    };
    BTreeMap::from([("report".parse().unwrap(), class)])
}

fn box_name(i: usize) -> name::Box {
    format!("e{i}").parse().unwrap()
}

fn hub_name(i: usize) -> name::Box {
    format!("c{i}").parse().unwrap()
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let boxes = (0..BOXES).map(|i| {
            let settings = Settings {
                seed: i as u64,
                ..Settings::default()
            };
            let name = box_name(i);
            let mut dispatcher = Dispatcher::new(settings, START);
            dispatcher.step(Input::LiveBoxes([name.clone()].into()), START);
            for report in [Report::Hello, Report::Announced] {
                dispatcher.step(Input::Report(name.clone(), report), START);
            }
            EntryBox {
                dispatcher,
                name,
                reported: Loads::new(),
                others: Loads::new(),
                next: START + plan.period.mul_f64(random.random()),
                anew: true,
            }
        });
        let mut world = Self {
            plan,
            boxes: boxes.collect(),
            hubs: (0..plan.hubs).map(|_| Hub::default()).collect(),
            hubs_exchanged_at: START,
            queues: BTreeMap::new(),
            generations: vec![0; ENDPOINTS],
            down: BTreeSet::new(),
            random,
            requests: 0,
            now: START,
            seen: BTreeMap::new(),
        };
        world.configure();
        world
    }

    fn endpoint_name(&self, i: usize) -> name::Endpoint {
        format!("i-{i}-{}", self.generations[i]).parse().unwrap()
    }

    /// Configures all boxes with the endpoints that are up.
    fn configure(&mut self) {
        let there = (0..ENDPOINTS).filter(|i| !self.down.contains(i));
        let specs: Vec<_> = there
            .map(|i| Spec {
                name: self.endpoint_name(i),
                slots: 64,
                leaving: false,
                in_other_zone: false,
                rank: i,
                zone: format!("z{}", i % ZONES).parse().unwrap(),
                slow: false,
                memory: None,
                admission: Default::default(),
            })
            .collect();
        for i in 0..BOXES {
            let input = Input::Configure(specs.clone(), class());
            self.step(i, input);
        }
    }

    fn step(&mut self, i: usize, input: Input) {
        let orders = self.boxes[i].dispatcher.step(input, self.now);
        self.carry_out(i, orders);
    }

    fn report(&mut self, i: usize, report: Report) {
        let name = self.boxes[i].name.clone();
        self.step(i, Input::Report(name, report));
    }

    fn carry_out(&mut self, i: usize, orders: Vec<Output>) {
        for (_, order) in orders {
            let Order::Grant(attempt, endpoint) = order else {
                continue;
            };
            self.report(i, Report::Started(attempt));
            self.send(i, attempt, &endpoint);
        }
    }

    /// Delivers a request to an endpoint; if the endpoint has vanished, the request is queued
    /// again.
    fn send(&mut self, i: usize, attempt: Attempt, endpoint: &name::Endpoint) {
        let mut parts = endpoint.as_str().split('-').skip(1);
        let mut number = || parts.next().unwrap().parse::<usize>().unwrap();
        let (at, generation) = (number(), number());
        let is_there = !self.down.contains(&at) && self.generations[at] as usize == generation;
        let arrived_at = self.arrived_at(attempt);
        if is_there {
            // The shared prefix counts as cached, as it would be after earlier load.
            let work = Prompt {
                from: i,
                attempt,
                left: PROMPT_TOKENS - SHARED_TOKENS,
                arrived_at,
            };
            self.queues.entry(at).or_default().push_back(work);
            return;
        }
        let end = Report::End(attempt, End::Unreachable, unit::Tokens(0));
        self.report(i, end);
        if attempt.number < 6 {
            let again = self.ask(attempt.next(), arrived_at, Some(endpoint.clone()));
            self.report(i, Report::Ask(again));
        }
    }

    /// Returns when a request arrived, which its number contains.
    fn arrived_at(&self, attempt: Attempt) -> Duration {
        Duration::from_millis(attempt.request.0 >> 32)
    }

    fn ask(&self, attempt: Attempt, arrived_at: Duration, avoid: Option<name::Endpoint>) -> Ask {
        Ask {
            attempt,
            class: "report".parse().unwrap(),
            tier: unit::Tier(0),
            age: self.now.saturating_sub(arrived_at),
            target: TARGET,
            deadline: DEADLINE,
            patience: None,
            is_client_retry: false,
            allowed: Default::default(),
            prompt: unit::Tokens(PROMPT_TOKENS),
            delivered: unit::Tokens(0),
            prefix: None,
            placement_key: Some(PlacementKey {
                prefix: Prefix(attempt.request.0 % PREFIXES),
                shared: unit::Tokens(SHARED_TOKENS),
            }),
            preemptible: false,
            preempted: 0,
            is_hedge: false,
            avoid,
            build: None,
            hold: None,
            backoffs: Vec::new(),
        }
    }

    fn arrive(&mut self) {
        let expected = REQUESTS_PER_SECOND * STEP.as_secs_f64();
        let mut count = expected as u32;
        count += u32::from(self.random.random::<f64>() < expected.fract());
        for _ in 0..count {
            self.requests += 1;
            let millis = self.now.as_millis() as u64;
            let attempt = Attempt::first(Request((millis << 32) | self.requests));
            self.seen.entry(self.now.as_secs()).or_default().0 += 1;
            let ask = self.ask(attempt, self.now, None);
            let i = self.random.random_range(0..BOXES);
            self.report(i, Report::Ask(ask));
        }
    }

    /// Lets each endpoint prefill its prompts in order for one step.
    fn prefill(&mut self) {
        for at in 0..ENDPOINTS {
            let mut budget = PREFILL_TOKENS_PER_STEP;
            while let Some(work) = self.queues.get_mut(&at).and_then(VecDeque::front_mut) {
                let part = work.left.min(budget);
                work.left -= part;
                budget -= part;
                if work.left > 0 {
                    break;
                }
                let work = self.queues.get_mut(&at).and_then(VecDeque::pop_front);
                self.answer(&work.unwrap());
            }
        }
    }

    fn answer(&mut self, work: &Prompt) {
        let in_time = self.now <= work.arrived_at + TARGET;
        let seen = self.seen.entry(work.arrived_at.as_secs()).or_default();
        seen.1 += u32::from(in_time);
        self.report(work.from, Report::First(work.attempt));
        let end = Report::End(work.attempt, End::Done, unit::Tokens(20));
        self.report(work.from, end);
    }

    fn vanish_or_return(&mut self) {
        if self.now == VANISH_AT {
            self.down = (0..VANISHING).collect();
            for at in 0..VANISHING {
                for work in self.queues.remove(&at).unwrap_or_default() {
                    let end = Report::End(work.attempt, End::Broken, unit::Tokens(0));
                    self.report(work.from, end);
                }
            }
        }
        if self.now == RETURN_AT {
            for at in 0..VANISHING {
                self.generations[at] += 1;
            }
            self.down.clear();
            self.configure();
        }
    }

    /// Runs the exchanges that are due: between boxes and their hubs, and between the hubs.
    fn exchange(&mut self) {
        for i in 0..BOXES {
            if self.boxes[i].next > self.now {
                continue;
            }
            let hub = i % self.plan.hubs;
            let entry = &mut self.boxes[i];
            entry.next += self.plan.period;
            let own: Loads = entry.dispatcher.loads().collect();
            let report = Update {
                loads: load::difference(&entry.reported, &own),
                placements: entry.dispatcher.take_placements(),
                outcomes: entry.dispatcher.take_outcomes(),
                prompts: entry.dispatcher.take_prompts(),
                ..Update::default()
            };
            let news = self.hubs[hub].exchange(&entry.name, entry.anew, report, self.now);
            entry.anew = false;
            entry.reported = own;
            load::merge(&mut entry.others, news.update.loads);
            let others = entry.others.clone();
            self.step(i, Input::Placements(news.update.placements));
            self.step(i, Input::Risks(news.update.risks));
            self.step(i, Input::OtherLoads(Some(others)));
        }
        if self.now >= self.hubs_exchanged_at + SHARE_PERIOD {
            let anew = self.hubs_exchanged_at == START;
            self.hubs_exchanged_at = self.now;
            self.exchange_between_hubs(anew);
        }
    }

    fn exchange_between_hubs(&mut self, anew: bool) {
        for from in 0..self.plan.hubs {
            for to in (0..self.plan.hubs).filter(|to| *to != from) {
                let news = self.hubs[from].update_for(&hub_name(to), anew, self.now);
                assert!(self.hubs[to].apply_peer_update(&hub_name(from), anew, news, self.now));
            }
        }
    }

    fn run(mut self, until: Duration) -> BTreeMap<u64, f64> {
        while self.now < until {
            self.now += STEP;
            self.vanish_or_return();
            self.arrive();
            self.prefill();
            self.exchange();
            for i in 0..BOXES {
                if (self.now.as_millis() / STEP.as_millis()) as usize % 10 == i % 10 {
                    self.step(i, Input::Tick);
                }
            }
        }
        let part = |(second, (all, in_time))| (second, f64::from(in_time) / f64::from(all));
        self.seen.into_iter().map(part).collect()
    }
}

/// Returns the share of requests that are served in time, over the four seconds from the endpoints'
/// return on.
fn served_after_return(served: &BTreeMap<u64, f64>) -> f64 {
    let seconds = RETURN_AT.as_secs()..RETURN_AT.as_secs() + 4;
    seconds.map(|second| served[&second]).sum::<f64>() / 4.0
}

/// Returns the interval of a box's exchanges: each box of a hub adds 4 ms to it.
fn period(boxes: usize) -> Duration {
    Duration::from_millis(4) * u32::try_from(boxes).unwrap()
}

#[test]
fn boxes_recover_together_from_the_loss_of_a_quarter_of_the_endpoints() {
    let zonal = Plan {
        hubs: ZONES,
        period: period(BOXES / ZONES),
    };
    let served = World::new(zonal, 7).run(Duration::from_secs(113));
    println!("a hub in each zone: {served:.2?}");
    let before = served[&(VANISH_AT.as_secs() - 1)];
    assert!(before > 0.9, "before the loss: {before:.2}");
    let after = served_after_return(&served);
    assert!(after > 0.9, "after their return: {after:.2}");
    // With a single hub for all boxes the loads are so old that the boxes never recover fully.
    let single = Plan {
        hubs: 1,
        period: period(BOXES),
    };
    let served = World::new(single, 7).run(Duration::from_secs(113));
    println!("one hub for all: {served:.2?}");
    let compared = served_after_return(&served);
    assert!(
        after > compared + 0.05,
        "{after:.2}, with one hub {compared:.2}"
    );
}
