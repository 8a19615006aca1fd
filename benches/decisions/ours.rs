//! Our dispatchers, one for each zone, with links that take time and summaries that
//! lag: the code of `core`, driven by virtual time.

use std::{collections::BTreeMap, time::Duration};

use scalewood::core::{
    attempt, config,
    dispatch::{self, Dispatcher, Input, Order, Report, Summary},
    name, rendezvous, retry, unit,
};

use crate::{
    world::{End, Event, Fault, World},
    Router,
};

/// One way between two boxes of a zone.
const NEAR: Duration = Duration::from_micros(200);
/// How long it takes until a lost box counts as dead.
const DETECT: Duration = Duration::from_millis(1500);
/// How often summaries are exchanged between zones.
const EXCHANGE: Duration = Duration::from_millis(500);
/// How long it takes to see an endpoint's sign that it leaves.
const SIGN: Duration = Duration::from_millis(500);

/// Where a request of ours stands.
#[derive(Clone, Debug)]
struct Place {
    attempt: attempt::Attempt,
    /// The zone whose dispatcher has it.
    zone: usize,
    run: Option<u64>,
    granted: Duration,
    avoid: Option<usize>,
}

pub(crate) struct Ours {
    known_lengths: bool,
    dispatchers: Vec<Dispatcher>,
    /// Which entry box of each zone dispatches.
    homes: Vec<usize>,
    places: BTreeMap<usize, Place>,
    summaries: Vec<Summary>,
    exchanged: Duration,
    /// Zones whose dispatcher was lost, and when the next one takes over.
    lost: Vec<Option<Duration>>,
    leaving: Vec<(usize, Duration)>,
    failures: BTreeMap<usize, u32>,
    budget: retry::Budget,
}

/// The attempt of an order; the dispatchers here give no others.
fn attempt_of(order: &Order) -> attempt::Attempt {
    order.attempt().expect("the order is about an attempt")
}

pub(crate) fn zone_name(zone: usize) -> name::Zone {
    format!("z{zone}").parse().expect("a zone")
}

fn box_name((zone, entry): (usize, usize)) -> name::Box {
    format!("e{zone}-{entry}").parse().expect("a box")
}

fn endpoint_name(engine: usize) -> name::Endpoint {
    format!("m{engine}").parse().expect("an endpoint")
}

fn engine_of(name: &name::Endpoint) -> usize {
    name.as_str()[1..].parse().expect("an engine")
}

impl Ours {
    pub(crate) fn new(known_lengths: bool, world: &World) -> Self {
        let zones = world.service.boxes.len();
        let mut ours = Self {
            known_lengths,
            dispatchers: Vec::new(),
            homes: Vec::new(),
            places: BTreeMap::new(),
            summaries: vec![Summary::default(); zones],
            exchanged: Duration::ZERO,
            lost: vec![None; zones],
            leaving: Vec::new(),
            failures: BTreeMap::new(),
            budget: retry::Budget::new(retry::Settings::default()),
        };
        for zone in 0..zones {
            ours.homes.push(home(world, zone));
            let settings = dispatch::Settings {
                settle_timeout: Duration::ZERO,
                ..Default::default()
            };
            let dispatcher = ours.dispatcher(world, zone, settings);
            ours.dispatchers.push(dispatcher);
        }
        ours
    }

    fn dispatcher(&self, world: &World, zone: usize, settings: dispatch::Settings) -> Dispatcher {
        let mut dispatcher = Dispatcher::new(settings, world.now);
        let classes: BTreeMap<name::Class, config::Class> = world
            .service
            .classes
            .iter()
            .map(|class| (class.name.parse().expect("a class"), class.config.clone()))
            .collect();
        let engines = world
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.zone == zone);
        let specs = engines.map(|(i, engine)| dispatch::Spec {
            name: endpoint_name(i),
            slots: world.service.slots,
            leaving: engine.leaving,
            in_other_zone: false,
            rank: 0,
            zone: "z0".parse().expect("a zone"),
            slow: false,
            memory: None,
            admission: Default::default(),
        });
        dispatcher.step(Input::Configure(specs.collect(), classes), world.now);
        let alive = (0..world.lost[zone].len()).filter(|entry| !world.lost[zone][*entry]);
        let alive = alive.map(|entry| box_name((zone, entry)));
        dispatcher.step(Input::LiveBoxes(alive.collect()), world.now);
        dispatcher
    }

    /// One way from a box to a zone's dispatcher.
    fn distance(&self, world: &World, from: (usize, usize), zone: usize) -> Duration {
        if from.0 != zone {
            return world.service.link;
        }
        if from.1 == self.homes[zone] {
            Duration::ZERO
        } else {
            NEAR
        }
    }

    fn tell(&self, world: &mut World, request: usize, report: Report) {
        let Some(place) = self.places.get(&request) else {
            return;
        };
        let from = (world.requests[request].zone, world.requests[request].entry);
        let wait = self.distance(world, from, place.zone);
        world.after(wait, Event::Report(place.zone, from, Box::new(report)));
    }

    fn step(&mut self, world: &mut World, zone: usize, input: Input) {
        if self.lost[zone].is_some() {
            return;
        }
        let outputs = self.dispatchers[zone].step(input, world.now);
        for (to, order) in outputs {
            let request = usize::try_from(attempt_of(&order).request.0).expect("a request");
            let from = (world.requests[request].zone, world.requests[request].entry);
            debug_assert_eq!(box_name(from), to);
            let wait = self.distance(world, from, zone);
            world.after(wait, Event::Order(zone, order));
        }
    }

    fn ask_of(&self, world: &World, request: usize, attempt: attempt::Attempt) -> dispatch::Ask {
        let offered = &world.requests[request];
        let class = world.class(request);
        let fate = &world.fates[request];
        let age = world.now - offered.at;
        // What has begun to stream gets its deadline anew.
        let deadline = class.config.deadline
            + if fate.delivered > 0 {
                age
            } else {
                Duration::ZERO
            };
        dispatch::Ask {
            attempt,
            class: class.name.parse().expect("a class"),
            tier: class.config.tier,
            age,
            target: class.config.target,
            deadline,
            patience: None,
            returned: false,
            prompt: unit::Tokens(offered.prompt),
            delivered: unit::Tokens(fate.delivered),
            prefix: None,
            placed: None,
            allowed: Default::default(),
            preemptible: world.service.model && class.config.preemptible,
            preempted: fate.preempted,
            avoid: self
                .places
                .get(&request)
                .and_then(|p| p.avoid)
                .map(endpoint_name),
            hold: self.known_lengths.then(|| world.hold(request)),
            backoffs: Vec::new(),
        }
    }

    /// Queues a request, for the first time or again.
    fn ask(&mut self, world: &mut World, request: usize, attempt: attempt::Attempt) {
        let zone = self.zone_for(world, request);
        let avoid = self.places.get(&request).and_then(|place| place.avoid);
        let place = Place {
            attempt,
            zone,
            run: None,
            granted: world.now,
            avoid,
        };
        self.places.insert(request, place);
        let ask = self.ask_of(world, request, attempt);
        self.tell(world, request, Report::Ask(ask));
    }

    fn zone_for(&self, world: &World, request: usize) -> usize {
        let own = world.requests[request].zone;
        let class = &world.class(request).config;
        let zones: Vec<_> = (0..self.summaries.len()).map(zone_name).collect();
        let usable = (0..zones.len()).filter(|zone| *zone != own && world.reaches(own, *zone));
        let usable = usable.filter(|zone| self.lost[*zone].is_none());
        let abroad = usable.map(|zone| (&zones[zone], &self.summaries[zone]));
        let here = Some(&self.summaries[own]);
        let served = world
            .engines
            .iter()
            .any(|engine| engine.zone == own && !engine.leaving);
        let chosen = dispatch::spill::choose(here, served, abroad, class.tier, class.target);
        chosen.map_or(own, |name| name.as_str()[1..].parse().expect("a zone"))
    }

    /// A run broke: it is told and asked for again.
    fn broke(&mut self, world: &mut World, id: u64, how: dispatch::End) {
        let resumable = world.service.model;
        let Some(run) = world.stop(id, resumable) else {
            return;
        };
        let Some(place) = self.places.get_mut(&run.request) else {
            return;
        };
        place.run = None;
        place.avoid = Some(run.engine);
        let attempt = place.attempt;
        let report = Report::End(attempt, how, unit::Tokens(0));
        self.tell(world, run.request, report);
        if how == dispatch::End::Preempted {
            self.ask(world, run.request, attempt.next());
        } else {
            self.retry(world, run.request, attempt);
        }
    }

    /// Asks again after a failure, within the service's retry budget.
    fn retry(&mut self, world: &mut World, request: usize, attempt: attempt::Attempt) {
        let failures = self.failures.entry(request).or_insert(0);
        *failures += 1;
        let failures = *failures;
        if failures == 1 {
            self.budget.earn();
        }
        match self.budget.spend(failures, 0.5) {
            // The wait is short beside a tick and left out.
            Some(_) => self.ask(world, request, attempt.next()),
            None => self.finish(world, request, End::Broken),
        }
    }

    fn finish(&mut self, world: &mut World, request: usize, end: End) {
        self.places.remove(&request);
        world.end(request, end);
    }

    /// A new dispatcher takes over in a zone, and is told what the others hold.
    fn take_over(&mut self, world: &mut World, zone: usize) {
        self.lost[zone] = None;
        self.homes[zone] = home(world, zone);
        self.dispatchers[zone] = self.dispatcher(world, zone, dispatch::Settings::default());
        let boxes: Vec<_> = (0..world.service.boxes.len())
            .flat_map(|z| (0..world.lost[z].len()).map(move |entry| (z, entry)))
            .filter(|(z, entry)| !world.lost[*z][*entry] && world.reaches(*z, zone))
            .collect();
        for from in boxes {
            let wait = self.distance(world, from, zone);
            let mut reports = vec![Report::Hello];
            for (request, place) in &self.places {
                let offered = &world.requests[*request];
                if place.zone == zone && (offered.zone, offered.entry) == from {
                    reports.push(self.announcement(world, *request, place));
                }
            }
            reports.push(Report::Announced);
            for report in reports {
                world.after(wait, Event::Report(zone, from, Box::new(report)));
            }
        }
    }

    fn announcement(&self, world: &World, request: usize, place: &Place) -> Report {
        let ask = self.ask_of(world, request, place.attempt);
        match place.run.and_then(|run| world.runs.get(&run)) {
            None => Report::Ask(ask),
            Some(run) => Report::Held(dispatch::Held {
                ask,
                endpoint: endpoint_name(run.engine),
                tokens: unit::Tokens(0),
                held: world.now - place.granted,
            }),
        }
    }

    fn lose_box(&mut self, world: &mut World, zone: usize, entry: usize) {
        let own: Vec<_> = self.places.keys().copied().collect();
        for request in own {
            let offered = &world.requests[request];
            if (offered.zone, offered.entry) != (zone, entry) {
                continue;
            }
            if let Some(run) = self.places.get(&request).and_then(|place| place.run) {
                world.stop(run, false);
            }
            self.finish(world, request, End::BoxLost);
        }
        if self.homes[zone] == entry {
            self.lost[zone] = Some(world.now + DETECT);
        }
    }
}

/// The entry box of a zone that dispatches.
fn home(world: &World, zone: usize) -> usize {
    let alive = (0..world.lost[zone].len()).filter(|entry| !world.lost[zone][*entry]);
    let names: Vec<_> = alive.map(|entry| box_name((zone, entry))).collect();
    let zone = zone_name(zone);
    let key = [world.service.name, zone.as_str()];
    let winner = rendezvous::winner(&key, names.iter()).expect("a box is left");
    let entry = winner.as_str().rsplit_once('-').expect("a box's name");
    entry.1.parse().expect("a box's number")
}

impl Router for Ours {
    fn arrive(&mut self, world: &mut World, request: usize) {
        let attempt = attempt::Attempt::first(attempt::Request(request as u64));
        self.ask(world, request, attempt);
    }

    fn leave(&mut self, _: &mut World, _: usize) {}

    fn first(&mut self, world: &mut World, run: u64) {
        world.first(run);
        let Some(request) = world.runs.get(&run).map(|run| run.request) else {
            return;
        };
        if let Some(attempt) = self.places.get(&request).map(|place| place.attempt) {
            self.tell(world, request, Report::First(attempt));
        }
    }

    fn done(&mut self, world: &mut World, run: u64) {
        let Some(run) = world.done(run) else { return };
        let Some(place) = self.places.get(&run.request) else {
            return;
        };
        let tokens = unit::Tokens(world.requests[run.request].tokens);
        let report = Report::End(place.attempt, dispatch::End::Done, tokens);
        self.tell(world, run.request, report);
        self.places.remove(&run.request);
    }

    fn tick(&mut self, world: &mut World) {
        let now = world.now;
        for zone in 0..self.lost.len() {
            if self.lost[zone].is_some_and(|at| at <= now) {
                self.take_over(world, zone);
            }
            self.step(world, zone, Input::Tick);
        }
        let signs: Vec<_> = self
            .leaving
            .iter()
            .filter(|(_, at)| *at <= now)
            .map(|s| s.0)
            .collect();
        self.leaving.retain(|(_, at)| *at > now);
        for engine in signs {
            let zone = world.engines[engine].zone;
            self.step(world, zone, Input::Leaving(endpoint_name(engine), true));
        }
        if now >= self.exchanged + EXCHANGE {
            self.exchanged = now;
            self.summaries = self.dispatchers.iter().map(|d| d.summary(now)).collect();
        }
    }

    fn fault(&mut self, world: &mut World, fault: Fault) {
        match fault {
            Fault::Crash(engine) | Fault::Gone(engine) => {
                for run in world.runs_at(engine) {
                    self.broke(world, run, dispatch::End::Broken);
                }
            }
            Fault::LoseBox(zone, entry) => self.lose_box(world, zone, entry),
            Fault::Leaving(engine) => self.leaving.push((engine, world.now + SIGN)),
            Fault::Cut(_) => {
                let own = |run: &crate::world::Run| world.requests[run.request].zone;
                let mut abroad: Vec<_> = world
                    .runs
                    .iter()
                    .filter(|(_, run)| !world.reaches(own(run), world.engines[run.engine].zone))
                    .map(|(id, _)| *id)
                    .collect();
                abroad.sort_unstable();
                for run in abroad {
                    self.broke(world, run, dispatch::End::Broken);
                }
                let waiting: Vec<_> = self
                    .places
                    .iter()
                    .filter(|(request, place)| {
                        place.run.is_none()
                            && !world.reaches(world.requests[**request].zone, place.zone)
                    })
                    .map(|(request, place)| (*request, place.attempt))
                    .collect();
                for (request, attempt) in waiting {
                    self.ask(world, request, attempt.next());
                }
            }
            Fault::Recover(_) | Fault::Heal(_) | Fault::Slow(..) => {}
        }
    }

    fn report(&mut self, world: &mut World, zone: usize, from: (usize, usize), report: Report) {
        if world.reaches(from.0, zone) {
            self.step(world, zone, Input::Report(box_name(from), report));
        }
    }

    fn order(&mut self, world: &mut World, zone: usize, order: Order) {
        let request = usize::try_from(attempt_of(&order).request.0).expect("a request");
        let Some(place) = self.places.get(&request) else {
            return;
        };
        let own = world.requests[request].zone;
        if place.zone != zone || place.attempt != attempt_of(&order) || !world.reaches(own, zone) {
            return;
        }
        let attempt = place.attempt;
        match order {
            Order::Grant(_, endpoint) => {
                let engine = engine_of(&endpoint);
                self.tell(world, request, Report::Started(attempt));
                if !world.engines[engine].up {
                    if let Some(place) = self.places.get_mut(&request) {
                        place.avoid = Some(engine);
                    }
                    let end = dispatch::End::Unreachable;
                    self.tell(world, request, Report::End(attempt, end, unit::Tokens(0)));
                    self.retry(world, request, attempt);
                    return;
                }
                let run = world.start(request, engine);
                if let Some(place) = self.places.get_mut(&request) {
                    place.run = Some(run);
                    place.granted = world.now;
                }
            }
            Order::Shed(..) => {
                let end = if world.fates[request].delivered > 0 {
                    End::Broken
                } else {
                    End::Shed
                };
                self.finish(world, request, end);
            }
            Order::Preempt(_) => {
                let Some(run) = place.run else { return };
                world.fates[request].preempted += 1;
                self.broke(world, run, dispatch::End::Preempted);
                if let Some(place) = self.places.get_mut(&request) {
                    place.avoid = None;
                }
            }
            Order::Expired(_) => self.ask(world, request, attempt.next()),
            Order::Gone(_) => {}
        }
    }
}
