//! Hundreds of boxes before a service whose endpoints vanish and return, in one process: what
//! they do together when each sees a request in hundreds.
//!
//! Dispatchers and hubs are the real ones. Endpoints read prompts one after the other at a fixed
//! rate; time goes in steps; arrivals come from a seed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{
        Ask, Dispatcher, End, Input, Order, Output, Placed, Prefix, Report, Settings, Spec,
    },
    load::{self, Hub, Loads, Update},
    name, unit,
};

const START: Duration = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(5);
const ZONES: usize = 6;
const BOXES: usize = 240;
const ENDPOINTS: usize = 32;
/// Tokens that an endpoint reads in a step: 60 a millisecond.
const READ: u64 = 300;
/// The tokens of a prompt, and those of them that it shares with others.
const PROMPT: u64 = 3000;
const SHARED: u64 = 1000;
const PREFIXES: u64 = 96;
const TARGET: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(8);
/// Requests a second: a fifth more than three quarters of the endpoints can read anew.
const RATE: f64 = 576.0;
/// How often hubs tell each other.
const SHARE: Duration = Duration::from_millis(100);
/// The part of the endpoints that vanishes, and when for how long.
const VANISHING: usize = ENDPOINTS / 4;
const VANISH: Duration = Duration::from_secs(106);
const RETURN: Duration = Duration::from_secs(108);

/// A prompt at an endpoint.
struct Work {
    from: usize,
    attempt: Attempt,
    left: u64,
    asked: Duration,
}

/// What boxes exchange through which hubs, and how often.
#[derive(Clone, Copy)]
struct Plan {
    hubs: usize,
    period: Duration,
}

struct Place {
    dispatcher: Dispatcher,
    name: name::Box,
    told: Loads,
    others: Loads,
    /// When it exchanges next.
    next: Duration,
    anew: bool,
}

struct World {
    plan: Plan,
    places: Vec<Place>,
    hubs: Vec<Hub>,
    shared_at: Duration,
    queues: BTreeMap<usize, VecDeque<Work>>,
    /// The generation of each endpoint: it returns under another name.
    generations: Vec<u32>,
    down: BTreeSet<usize>,
    random: SmallRng,
    requests: u64,
    now: Duration,
    /// Requests by the second in which they came: all, and those in time.
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
        let places = (0..BOXES).map(|i| {
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
            Place {
                dispatcher,
                name,
                told: Loads::new(),
                others: Loads::new(),
                next: START + plan.period.mul_f64(random.random()),
                anew: true,
            }
        });
        let mut world = Self {
            plan,
            places: places.collect(),
            hubs: (0..plan.hubs).map(|_| Hub::default()).collect(),
            shared_at: START,
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

    /// Tells all boxes which endpoints there are.
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
        let orders = self.places[i].dispatcher.step(input, self.now);
        self.obey(i, orders);
    }

    fn report(&mut self, i: usize, report: Report) {
        let name = self.places[i].name.clone();
        self.step(i, Input::Report(name, report));
    }

    fn obey(&mut self, i: usize, orders: Vec<Output>) {
        for (_, order) in orders {
            let Order::Grant(attempt, endpoint) = order else {
                continue;
            };
            self.report(i, Report::Started(attempt));
            self.send(i, attempt, &endpoint);
        }
    }

    /// A request reaches an endpoint, or finds nobody there and is asked for once more.
    fn send(&mut self, i: usize, attempt: Attempt, endpoint: &name::Endpoint) {
        let mut parts = endpoint.as_str().split('-').skip(1);
        let mut number = || parts.next().unwrap().parse::<usize>().unwrap();
        let (at, generation) = (number(), number());
        let is_there = !self.down.contains(&at) && self.generations[at] as usize == generation;
        let asked = self.asked(attempt);
        if is_there {
            // What it shares is kept, as if by all of the load before.
            let work = Work {
                from: i,
                attempt,
                left: PROMPT - SHARED,
                asked,
            };
            self.queues.entry(at).or_default().push_back(work);
            return;
        }
        let end = Report::End(attempt, End::Unreachable, unit::Tokens(0));
        self.report(i, end);
        if attempt.number < 6 {
            let again = self.ask(attempt.next(), asked, Some(endpoint.clone()));
            self.report(i, Report::Ask(again));
        }
    }

    /// When a request came: it is told by its number.
    fn asked(&self, attempt: Attempt) -> Duration {
        Duration::from_millis(attempt.request.0 >> 32)
    }

    fn ask(&self, attempt: Attempt, asked: Duration, avoid: Option<name::Endpoint>) -> Ask {
        Ask {
            attempt,
            class: "report".parse().unwrap(),
            tier: unit::Tier(0),
            age: self.now.saturating_sub(asked),
            target: TARGET,
            deadline: DEADLINE,
            patience: None,
            returned: false,
            allowed: Default::default(),
            prompt: unit::Tokens(PROMPT),
            delivered: unit::Tokens(0),
            prefix: None,
            placed: Some(Placed {
                prefix: Prefix(attempt.request.0 % PREFIXES),
                shared: unit::Tokens(SHARED),
            }),
            preemptible: false,
            preempted: 0,
            avoid,
            hold: None,
            backoffs: Vec::new(),
        }
    }

    fn arrive(&mut self) {
        let expected = RATE * STEP.as_secs_f64();
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

    /// Endpoints read, one prompt after the other.
    fn read(&mut self) {
        for at in 0..ENDPOINTS {
            let mut read = READ;
            while let Some(work) = self.queues.get_mut(&at).and_then(VecDeque::front_mut) {
                let part = work.left.min(read);
                work.left -= part;
                read -= part;
                if work.left > 0 {
                    break;
                }
                let work = self.queues.get_mut(&at).and_then(VecDeque::pop_front);
                self.answer(&work.unwrap());
            }
        }
    }

    fn answer(&mut self, work: &Work) {
        let in_time = self.now <= work.asked + TARGET;
        let seen = self.seen.entry(work.asked.as_secs()).or_default();
        seen.1 += u32::from(in_time);
        self.report(work.from, Report::First(work.attempt));
        let end = Report::End(work.attempt, End::Done, unit::Tokens(20));
        self.report(work.from, end);
    }

    fn vanish_or_return(&mut self) {
        if self.now == VANISH {
            self.down = (0..VANISHING).collect();
            for at in 0..VANISHING {
                for work in self.queues.remove(&at).unwrap_or_default() {
                    let end = Report::End(work.attempt, End::Broken, unit::Tokens(0));
                    self.report(work.from, end);
                }
            }
        }
        if self.now == RETURN {
            for at in 0..VANISHING {
                self.generations[at] += 1;
            }
            self.down.clear();
            self.configure();
        }
    }

    /// Boxes whose turn it is tell their hub, and hear; hubs tell each other.
    fn exchange(&mut self) {
        for i in 0..BOXES {
            if self.places[i].next > self.now {
                continue;
            }
            let hub = i % self.plan.hubs;
            let place = &mut self.places[i];
            place.next += self.plan.period;
            let own: Loads = place.dispatcher.loads().collect();
            let told = Update {
                loads: load::difference(&place.told, &own),
                placements: place.dispatcher.take_placements(),
                outcomes: place.dispatcher.take_outcomes(),
                prompts: place.dispatcher.take_prompts(),
                ..Update::default()
            };
            let news = self.hubs[hub].exchange(&place.name, place.anew, told, self.now);
            place.anew = false;
            place.told = own;
            load::merge(&mut place.others, news.update.loads);
            let others = place.others.clone();
            self.step(i, Input::Placements(news.update.placements));
            self.step(i, Input::Risks(news.update.risks));
            self.step(i, Input::OtherLoads(Some(others)));
        }
        if self.now >= self.shared_at + SHARE {
            let anew = self.shared_at == START;
            self.shared_at = self.now;
            self.share(anew);
        }
    }

    fn share(&mut self, anew: bool) {
        for from in 0..self.plan.hubs {
            for to in (0..self.plan.hubs).filter(|to| *to != from) {
                let news = self.hubs[from].update_for(&hub_name(to), anew, self.now);
                assert!(self.hubs[to].apply(&hub_name(from), anew, news, self.now));
            }
        }
    }

    fn run(mut self, until: Duration) -> BTreeMap<u64, f64> {
        while self.now < until {
            self.now += STEP;
            self.vanish_or_return();
            self.arrive();
            self.read();
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

/// The part served in time in the seconds after the endpoints are back.
fn recovered(served: &BTreeMap<u64, f64>) -> f64 {
    let seconds = RETURN.as_secs()..RETURN.as_secs() + 4;
    seconds.map(|second| served[&second]).sum::<f64>() / 4.0
}

/// How often boxes exchange: each adds 4 ms to what its hub has to do.
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
    let before = served[&(VANISH.as_secs() - 1)];
    assert!(before > 0.9, "before the loss: {before:.2}");
    let after = recovered(&served);
    assert!(after > 0.9, "once they are back: {after:.2}");
    // What boxes hear by way of one hub is so old that they never get there.
    let single = Plan {
        hubs: 1,
        period: period(BOXES),
    };
    let served = World::new(single, 7).run(Duration::from_secs(113));
    println!("one hub for all: {served:.2?}");
    let compared = recovered(&served);
    assert!(
        after > compared + 0.05,
        "{after:.2}, with one hub {compared:.2}"
    );
}
