//! The project's own dispatchers, one for each zone, with links that have latency and summaries
//! that lag: the code of `core`, driven by virtual time.

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

/// The one-way latency between two boxes of a zone.
const ZONE_LATENCY: Duration = Duration::from_micros(200);
/// The time until a lost box is detected as dead.
const DETECTION_TIME: Duration = Duration::from_millis(1500);
/// The interval at which zones exchange summaries.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// The time until it is seen that an endpoint leaves.
const LEAVING_DELAY: Duration = Duration::from_millis(500);

/// The state of a request: its attempt, the zone that dispatches it, and its run.
#[derive(Clone, Debug)]
struct RequestState {
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
    /// The entry box of each zone that runs the dispatcher.
    dispatching_boxes: Vec<usize>,
    states: BTreeMap<usize, RequestState>,
    summaries: Vec<Summary>,
    exchanged: Duration,
    /// Zones whose dispatcher was lost, and when the next one takes over.
    lost: Vec<Option<Duration>>,
    leaving: Vec<(usize, Duration)>,
    failures: BTreeMap<usize, u32>,
    budget: retry::LocalBudget,
}

/// Returns the attempt of an order. The dispatchers here send only orders about attempts.
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
            dispatching_boxes: Vec::new(),
            states: BTreeMap::new(),
            summaries: vec![Summary::default(); zones],
            exchanged: Duration::ZERO,
            lost: vec![None; zones],
            leaving: Vec::new(),
            failures: BTreeMap::new(),
            budget: retry::LocalBudget::new(retry::Settings::default()),
        };
        for zone in 0..zones {
            ours.dispatching_boxes.push(dispatching_box(world, zone));
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

    /// Returns the one-way latency from a box to the dispatcher of a zone.
    fn latency(&self, world: &World, from: (usize, usize), zone: usize) -> Duration {
        if from.0 != zone {
            return world.service.link;
        }
        if from.1 == self.dispatching_boxes[zone] {
            Duration::ZERO
        } else {
            ZONE_LATENCY
        }
    }

    fn send_report(&self, world: &mut World, request: usize, report: Report) {
        let Some(state) = self.states.get(&request) else {
            return;
        };
        let from = (world.requests[request].zone, world.requests[request].entry);
        let wait = self.latency(world, from, state.zone);
        world.after(wait, Event::Report(state.zone, from, Box::new(report)));
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
            let wait = self.latency(world, from, zone);
            world.after(wait, Event::Order(zone, order));
        }
    }

    fn ask_of(&self, world: &World, request: usize, attempt: attempt::Attempt) -> dispatch::Ask {
        let offered = &world.requests[request];
        let class = world.class(request);
        let progress = &world.progress[request];
        let age = world.now - offered.at;
        // A request that has begun to stream gets a new deadline.
        let deadline = class.config.deadline
            + if progress.delivered > 0 {
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
            is_client_retry: false,
            prompt: unit::Tokens(offered.prompt),
            delivered: unit::Tokens(progress.delivered),
            prefix: None,
            placement_key: None,
            allowed: Default::default(),
            preemptible: world.service.model && class.config.preemptible,
            preempted: progress.preempted,
            is_hedge: false,
            avoid: self
                .states
                .get(&request)
                .and_then(|p| p.avoid)
                .map(endpoint_name),
            build: None,
            hold: self.known_lengths.then(|| world.hold(request)),
            backoffs: Vec::new(),
        }
    }

    /// Queues a request, for the first time or again.
    fn ask(&mut self, world: &mut World, request: usize, attempt: attempt::Attempt) {
        let zone = self.zone_for(world, request);
        let avoid = self.states.get(&request).and_then(|state| state.avoid);
        let state = RequestState {
            attempt,
            zone,
            run: None,
            granted: world.now,
            avoid,
        };
        self.states.insert(request, state);
        let ask = self.ask_of(world, request, attempt);
        self.send_report(world, request, Report::Ask(ask));
    }

    fn zone_for(&self, world: &World, request: usize) -> usize {
        let own = world.requests[request].zone;
        let class = &world.class(request).config;
        let zones: Vec<_> = (0..self.summaries.len()).map(zone_name).collect();
        let usable = (0..zones.len()).filter(|zone| *zone != own && world.reaches(own, *zone));
        let usable = usable.filter(|zone| self.lost[*zone].is_none());
        let others = usable.map(|zone| (&zones[zone], &self.summaries[zone]));
        let here = Some(&self.summaries[own]);
        let served = world
            .engines
            .iter()
            .any(|engine| engine.zone == own && !engine.leaving);
        let chosen = dispatch::spill::choose(here, served, others, class.tier, class.target);
        chosen.map_or(own, |name| name.as_str()[1..].parse().expect("a zone"))
    }

    /// Handles a run that was cut off: reports its end and asks for a slot again.
    fn cut_off(&mut self, world: &mut World, id: u64, how: dispatch::End) {
        let resumable = world.service.model;
        let Some(run) = world.stop(id, resumable) else {
            return;
        };
        let Some(state) = self.states.get_mut(&run.request) else {
            return;
        };
        state.run = None;
        state.avoid = Some(run.engine);
        let attempt = state.attempt;
        let report = Report::End(attempt, how, unit::Tokens(0));
        self.send_report(world, run.request, report);
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
            // The backoff is short compared with a tick, so it is left out.
            Some(_) => self.ask(world, request, attempt.next()),
            None => self.finish(world, request, End::Broken),
        }
    }

    fn finish(&mut self, world: &mut World, request: usize, end: End) {
        self.states.remove(&request);
        world.end(request, end);
    }

    /// Starts a new dispatcher in a zone, which the boxes tell what they hold.
    fn take_over(&mut self, world: &mut World, zone: usize) {
        self.lost[zone] = None;
        self.dispatching_boxes[zone] = dispatching_box(world, zone);
        self.dispatchers[zone] = self.dispatcher(world, zone, dispatch::Settings::default());
        let boxes: Vec<_> = (0..world.service.boxes.len())
            .flat_map(|z| (0..world.lost[z].len()).map(move |entry| (z, entry)))
            .filter(|(z, entry)| !world.lost[*z][*entry] && world.reaches(*z, zone))
            .collect();
        for from in boxes {
            let wait = self.latency(world, from, zone);
            let mut reports = vec![Report::Hello];
            for (request, state) in &self.states {
                let offered = &world.requests[*request];
                if state.zone == zone && (offered.zone, offered.entry) == from {
                    reports.push(self.announcement(world, *request, state));
                }
            }
            reports.push(Report::Announced);
            for report in reports {
                world.after(wait, Event::Report(zone, from, Box::new(report)));
            }
        }
    }

    fn announcement(&self, world: &World, request: usize, state: &RequestState) -> Report {
        let ask = self.ask_of(world, request, state.attempt);
        match state.run.and_then(|run| world.runs.get(&run)) {
            None => Report::Ask(ask),
            Some(run) => Report::Held(dispatch::Held {
                ask,
                endpoint: endpoint_name(run.engine),
                tokens: unit::Tokens(0),
                held_for: world.now - state.granted,
            }),
        }
    }

    fn lose_box(&mut self, world: &mut World, zone: usize, entry: usize) {
        let own: Vec<_> = self.states.keys().copied().collect();
        for request in own {
            let offered = &world.requests[request];
            if (offered.zone, offered.entry) != (zone, entry) {
                continue;
            }
            if let Some(run) = self.states.get(&request).and_then(|state| state.run) {
                world.stop(run, false);
            }
            self.finish(world, request, End::BoxLost);
        }
        if self.dispatching_boxes[zone] == entry {
            self.lost[zone] = Some(world.now + DETECTION_TIME);
        }
    }
}

/// Returns the entry box of a zone that runs the dispatcher.
fn dispatching_box(world: &World, zone: usize) -> usize {
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
        if let Some(attempt) = self.states.get(&request).map(|state| state.attempt) {
            self.send_report(world, request, Report::First(attempt));
        }
    }

    fn done(&mut self, world: &mut World, run: u64) {
        let Some(run) = world.done(run) else { return };
        let Some(state) = self.states.get(&run.request) else {
            return;
        };
        let tokens = unit::Tokens(world.requests[run.request].tokens);
        let report = Report::End(state.attempt, dispatch::End::Done, tokens);
        self.send_report(world, run.request, report);
        self.states.remove(&run.request);
    }

    fn tick(&mut self, world: &mut World) {
        let now = world.now;
        for zone in 0..self.lost.len() {
            if self.lost[zone].is_some_and(|at| at <= now) {
                self.take_over(world, zone);
            }
            self.step(world, zone, Input::Tick);
        }
        let leaving_seen: Vec<_> = self
            .leaving
            .iter()
            .filter(|(_, at)| *at <= now)
            .map(|s| s.0)
            .collect();
        self.leaving.retain(|(_, at)| *at > now);
        for engine in leaving_seen {
            let zone = world.engines[engine].zone;
            self.step(world, zone, Input::Leaving(endpoint_name(engine), true));
        }
        if now >= self.exchanged + EXCHANGE_INTERVAL {
            self.exchanged = now;
            self.summaries = self.dispatchers.iter().map(|d| d.summary(now)).collect();
        }
    }

    fn fault(&mut self, world: &mut World, fault: Fault) {
        match fault {
            Fault::Crash(engine) | Fault::Gone(engine) => {
                for run in world.runs_at(engine) {
                    self.cut_off(world, run, dispatch::End::Broken);
                }
            }
            Fault::LoseBox(zone, entry) => self.lose_box(world, zone, entry),
            Fault::Leaving(engine) => self.leaving.push((engine, world.now + LEAVING_DELAY)),
            Fault::Cut(_) => {
                let own = |run: &crate::world::Run| world.requests[run.request].zone;
                let mut cut_runs: Vec<_> = world
                    .runs
                    .iter()
                    .filter(|(_, run)| !world.reaches(own(run), world.engines[run.engine].zone))
                    .map(|(id, _)| *id)
                    .collect();
                cut_runs.sort_unstable();
                for run in cut_runs {
                    self.cut_off(world, run, dispatch::End::Broken);
                }
                let waiting: Vec<_> = self
                    .states
                    .iter()
                    .filter(|(request, state)| {
                        state.run.is_none()
                            && !world.reaches(world.requests[**request].zone, state.zone)
                    })
                    .map(|(request, state)| (*request, state.attempt))
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
        let Some(state) = self.states.get(&request) else {
            return;
        };
        let own = world.requests[request].zone;
        if state.zone != zone || state.attempt != attempt_of(&order) || !world.reaches(own, zone) {
            return;
        }
        let attempt = state.attempt;
        match order {
            Order::Grant(_, endpoint) => {
                let engine = engine_of(&endpoint);
                self.send_report(world, request, Report::Started(attempt));
                if !world.engines[engine].up {
                    if let Some(state) = self.states.get_mut(&request) {
                        state.avoid = Some(engine);
                    }
                    let end = dispatch::End::Unreachable;
                    self.send_report(world, request, Report::End(attempt, end, unit::Tokens(0)));
                    self.retry(world, request, attempt);
                    return;
                }
                let run = world.start(request, engine);
                if let Some(state) = self.states.get_mut(&request) {
                    state.run = Some(run);
                    state.granted = world.now;
                }
            }
            Order::Shed(..) => {
                let end = if world.progress[request].delivered > 0 {
                    End::Broken
                } else {
                    End::Shed
                };
                self.finish(world, request, end);
            }
            Order::Preempt(_) => {
                let Some(run) = state.run else { return };
                world.progress[request].preempted += 1;
                self.cut_off(world, run, dispatch::End::Preempted);
                if let Some(state) = self.states.get_mut(&request) {
                    state.avoid = None;
                }
            }
            Order::Expired(_) => self.ask(world, request, attempt.next()),
            Order::Gone(_) => {}
        }
    }
}
