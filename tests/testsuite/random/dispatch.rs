//! Dispatchers of a zone with boxes that crash or freeze, broken connections, and a dispatcher that
//! moves between boxes.
//!
//! Each box has a view of its own, with a delay, of which boxes are alive; the view determines
//! which box dispatches for the service. Checked: a request gets exactly one answer; no slot is
//! held twice among the boxes that were never declared dead. The dispatcher's own invariants (order
//! of shedding and preemption, slots, leaving and cordoned endpoints) panic when they are violated.
//! At the end, without faults, every request is answered and every slot is free.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng as _;
use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{self, Ask, Dispatcher, End, Held, Input, Order, Report, Settings, Spec},
    name, rendezvous, unit,
};

use super::{random, runs};

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    /// A request arrives: the box, its tier, and how long it runs, in milliseconds.
    Ask(usize, u8, u64),
    /// A box crashes, and all its requests are lost.
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    /// The connections between a box and the others break and are re-established at once.
    Break(usize),
    /// The caller of one of a box's requests disconnects.
    Leave(usize),
    /// An endpoint crashes, and all requests that run on it fail.
    Crash(usize),
    Leaving(usize, bool),
    /// An endpoint's zone is cordoned or uncordoned; each endpoint is in a zone of its own.
    Cordon(usize, bool),
}

const BOXES: usize = 3;
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 2;
/// The queue limit, low enough that the queue is sometimes full.
const MAX_WAITING: usize = 12;
/// How long an unused grant is valid; a box that was frozen for longer rejects its grants.
const GRANT_LIFE: Duration = Duration::from_secs(2);

fn schedule(seed: u64) -> Vec<Step> {
    let mut random = random(seed);
    let mut steps = Vec::new();
    for _ in 0..300 {
        let entry = random.random_range(0..BOXES);
        let endpoint = random.random_range(0..ENDPOINTS);
        steps.push(match random.random_range(0..103) {
            0..35 => Step::Pass(random.random_range(1..300)),
            35..78 => Step::Ask(
                entry,
                random.random_range(0..4),
                random.random_range(10..3000),
            ),
            78..80 => Step::Kill(entry),
            80..84 => Step::Start(entry),
            84..86 => Step::Freeze(entry),
            86..89 => Step::Thaw(entry),
            89..91 => Step::Break(entry),
            91..95 => Step::Leave(entry),
            95..97 => Step::Crash(endpoint),
            97..100 => Step::Leaving(endpoint, random.random_bool(0.4)),
            _ => Step::Cordon(endpoint, random.random_bool(0.5)),
        });
    }
    steps
}

#[derive(Clone, Debug)]
struct Open {
    ask: Ask,
    asked_at: Duration,
    run: Option<(usize, Duration)>,
    takes: Duration,
    dispatcher: usize,
}

#[derive(Debug, Default)]
struct Entry {
    up: bool,
    frozen_at: Option<Duration>,
    /// Whether other boxes have declared it dead since it started.
    declared_dead: bool,
    alive: BTreeSet<usize>,
    home: usize,
    open: BTreeMap<Request, Open>,
    dispatcher: Option<Dispatcher>,
    inbox: Vec<Message>,
    /// Whether the connection to its dispatcher was re-established while it was frozen.
    reconnected: bool,
}

#[derive(Clone, Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "most messages are reports, and few are in flight at once"
)]
enum Message {
    Report(usize, Report),
    Order(usize, Order),
    /// A box has stopped dispatching for the receiver.
    Gone(usize),
}

struct Zone {
    now: Duration,
    random: rand::rngs::SmallRng,
    entries: Vec<Entry>,
    in_flight: BTreeMap<(Duration, u64), (usize, Message)>,
    /// The earliest time at which the next message from one box to another may arrive: connections
    /// preserve the order of messages.
    order: BTreeMap<(usize, usize), Duration>,
    leaving: Vec<bool>,
    cordoned: Vec<bool>,
    serial: u64,
    answers: BTreeMap<Request, u32>,
    view_updates: BTreeMap<(Duration, u64), usize>,
}

fn box_name(i: usize) -> name::Box {
    format!("e{i}").parse().unwrap()
}

fn index_of(name: &name::Box) -> usize {
    name.as_str()[1..].parse().unwrap()
}

impl Zone {
    fn new(seed: u64) -> Self {
        let all: BTreeSet<_> = (0..BOXES).collect();
        let entries = (0..BOXES).map(|_| Entry {
            up: true,
            alive: all.clone(),
            ..Entry::default()
        });
        let mut zone = Self {
            now: Duration::from_secs(1000),
            random: random(seed ^ 0xd15),
            entries: entries.collect(),
            in_flight: BTreeMap::new(),
            order: BTreeMap::new(),
            leaving: vec![false; ENDPOINTS],
            cordoned: vec![false; ENDPOINTS],
            serial: 0,
            answers: BTreeMap::new(),
            view_updates: BTreeMap::new(),
        };
        for i in 0..BOXES {
            zone.entries[i].home = zone.home(i);
            zone.announce(i);
        }
        zone
    }

    /// Returns the box that dispatches for the service in the view of box `i`.
    fn home(&self, i: usize) -> usize {
        let names: Vec<_> = self.entries[i].alive.iter().map(|i| box_name(*i)).collect();
        rendezvous::winner(&["lm", "zone"], names.iter()).map_or(i, index_of)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let wait = Duration::from_millis(self.random.random_range(1..30));
        let soonest = self.order.entry((from, to)).or_default();
        let at = (self.now + wait).max(*soonest);
        *soonest = at;
        self.serial += 1;
        self.in_flight.insert((at, self.serial), (to, message));
    }

    fn send_report(&mut self, from: usize, to: usize, report: Report) {
        if from == to {
            self.report(to, from, report);
        } else {
            self.send(from, to, Message::Report(from, report));
        }
    }

    fn report(&mut self, at: usize, from: usize, report: Report) {
        if self.entries[at].dispatcher.is_none() {
            self.open_dispatcher(at);
        }
        self.input(at, Input::Report(box_name(from), report));
    }

    fn open_dispatcher(&mut self, at: usize) {
        let settings = Settings {
            grant_ttl: GRANT_LIFE,
            max_waiting: MAX_WAITING,
            ..Settings::default()
        };
        self.entries[at].dispatcher = Some(Dispatcher::new(settings, self.now));
        self.configure(at);
        let alive = self.entries[at]
            .alive
            .iter()
            .map(|i| box_name(*i))
            .collect();
        self.input(at, Input::LiveBoxes(alive));
    }

    fn configure(&mut self, at: usize) {
        let specs = (0..ENDPOINTS).map(|i| Spec {
            name: format!("m{i}").parse().unwrap(),
            slots: SLOTS,
            leaving: self.leaving[i],
            in_other_zone: false,
            rank: 0,
            zone: format!("z{i}").parse().expect("a zone"),
            slow: false,
            memory: None,
            admission: dispatch::Admission {
                cordoned: self.cordoned[i],
                ..dispatch::Admission::default()
            },
        });
        let specs = specs.collect();
        let classes = (0..4u8).map(|tier| {
            let class = config::Class {
                tier: unit::Tier(tier),
                preemptible: tier > 1,
                share: unit::Share::try_from(0.05).unwrap(),
                ..config::Class::default()
            };
            (format!("t{tier}").parse().unwrap(), class)
        });
        self.input(at, Input::Configure(specs, classes.collect()));
    }

    fn input(&mut self, at: usize, input: Input) {
        let now = self.now;
        let Some(dispatcher) = self.entries[at].dispatcher.as_mut() else {
            return;
        };
        for (to, order) in dispatcher.step(input, now) {
            let to = index_of(&to);
            if to == at {
                self.order(at, at, order);
            } else {
                self.send(at, to, Message::Order(at, order));
            }
        }
    }

    /// Handles an order that a box receives from a dispatcher.
    fn order(&mut self, i: usize, from: usize, order: Order) {
        let Some(attempt) = order.attempt() else {
            return;
        };
        let known = self.entries[i].open.get(&attempt.request);
        let Some(open) = known.filter(|o| o.ask.attempt == attempt && o.dispatcher == from) else {
            return;
        };
        let running = open.run.is_some();
        match order {
            Order::Grant(_, endpoint) if !running => {
                let endpoint = endpoint.as_str()[1..].parse().unwrap();
                let now = self.now;
                if let Some(open) = self.entries[i].open.get_mut(&attempt.request) {
                    open.run = Some((endpoint, now));
                }
                self.send_report(i, from, Report::Started(attempt));
                self.check_slots();
            }
            Order::Shed(..) if !running => self.answer(i, attempt.request),
            Order::Preempt(_) if running => {
                self.end(i, attempt.request, End::Preempted);
                self.ask_again(i, attempt.request, true);
            }
            Order::Expired(_) if !running => self.ask_again(i, attempt.request, false),
            _ => {}
        }
    }

    /// Reports to the dispatcher that a request has stopped running.
    fn end(&mut self, i: usize, request: Request, end: End) {
        let Some(open) = self.entries[i].open.get_mut(&request) else {
            return;
        };
        open.run = None;
        let (attempt, to) = (open.ask.attempt, open.dispatcher);
        self.send_report(i, to, Report::End(attempt, end, unit::Tokens(1)));
    }

    fn ask_again(&mut self, i: usize, request: Request, preempted: bool) {
        let now = self.now;
        let Some(open) = self.entries[i].open.get_mut(&request) else {
            return;
        };
        open.ask.attempt = open.ask.attempt.next();
        open.ask.preempted += u32::from(preempted);
        open.ask.age += now - open.asked_at;
        open.asked_at = now;
        let (ask, to) = (open.ask.clone(), open.dispatcher);
        self.send_report(i, to, Report::Ask(ask));
    }

    /// Records the final answer to a request.
    fn answer(&mut self, i: usize, request: Request) {
        self.entries[i].open.remove(&request);
        let answers = self.answers.entry(request).or_default();
        *answers += 1;
        assert_eq!(*answers, 1, "{request} is answered twice");
    }

    /// Checks that no slot is held twice among the boxes that were never declared dead.
    fn check_slots(&self) {
        let mut held = [0; ENDPOINTS];
        for entry in self
            .entries
            .iter()
            .filter(|entry| entry.up && !entry.declared_dead)
        {
            for (endpoint, _) in entry.open.values().filter_map(|open| open.run) {
                held[endpoint] += 1;
            }
        }
        assert!(
            held.iter().all(|count| *count <= SLOTS),
            "slots are held twice: {held:?}"
        );
    }

    /// Announces everything that a box holds to the dispatcher that it considers current.
    fn announce(&mut self, i: usize) {
        let home = self.entries[i].home;
        let now = self.now;
        self.send_report(i, home, Report::Hello);
        let mut reports = Vec::new();
        for open in self.entries[i].open.values_mut() {
            open.dispatcher = home;
            if open.run.is_none() {
                open.ask.attempt = open.ask.attempt.next();
            }
            let mut ask = open.ask.clone();
            ask.age += now - open.asked_at;
            reports.push(match open.run {
                None => Report::Ask(ask),
                Some((endpoint, since)) => Report::Held(Held {
                    ask,
                    endpoint: format!("m{endpoint}").parse().unwrap(),
                    tokens: unit::Tokens(1),
                    held_for: now - since,
                }),
            });
        }
        for report in reports {
            self.send_report(i, home, report);
        }
        self.send_report(i, home, Report::Announced);
    }

    /// Schedules an update of each box's view, with a random delay for each.
    fn schedule_view_updates(&mut self, alive: bool) {
        for i in 0..BOXES {
            let wait = if alive { 400 } else { 1500 };
            let wait = Duration::from_millis(wait + self.random.random_range(0..400));
            self.serial += 1;
            self.view_updates.insert((self.now + wait, self.serial), i);
        }
    }

    /// Returns whether a box appears alive to the others; they don't notice a short freeze.
    fn looks_alive(&self, i: usize) -> bool {
        const SUSPICION: Duration = Duration::from_millis(1200);
        let entry = &self.entries[i];
        entry.up
            && entry
                .frozen_at
                .is_none_or(|since| self.now < since + SUSPICION)
    }

    /// Returns the boxes that appear alive, and marks the others as declared dead.
    fn update_liveness(&mut self) -> BTreeSet<usize> {
        let alive: BTreeSet<_> = (0..BOXES).filter(|b| self.looks_alive(*b)).collect();
        for gone in (0..BOXES).filter(|b| !alive.contains(b)) {
            self.entries[gone].declared_dead = true;
        }
        alive
    }

    /// Updates a box's view of which boxes are alive.
    fn update_view(&mut self, i: usize) {
        if !self.usable(i) {
            return;
        }
        let alive = self.update_liveness();
        // From this, a box that was wrongly declared dead learns that its requests are no longer
        // queued here, and announces them again.
        for b in self.entries[i].alive.clone().difference(&alive) {
            self.send(i, *b, Message::Gone(i));
        }
        self.entries[i].alive = alive.clone();
        let home = self.home(i);
        self.input(
            i,
            Input::LiveBoxes(alive.into_iter().map(box_name).collect()),
        );
        if home != self.entries[i].home {
            self.entries[i].home = home;
            self.announce(i);
        }
    }

    /// Drops a box's dispatcher if the service has moved to another box, and notifies the others.
    fn drop_moved_dispatcher(&mut self, i: usize) {
        if self.home(i) != i && self.entries[i].dispatcher.take().is_some() {
            for b in (0..BOXES).filter(|b| *b != i) {
                self.send(i, b, Message::Gone(i));
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.deliver_due();
            for i in 0..BOXES {
                if self.entries[i].up && self.entries[i].frozen_at.is_none() {
                    self.drop_moved_dispatcher(i);
                    self.input(i, Input::Tick);
                    self.finish_runs(i);
                }
            }
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self
            .view_updates
            .first_entry()
            .filter(|e| e.key().0 <= self.now)
        {
            let i = entry.remove();
            self.update_view(i);
        }
        while let Some(entry) = self
            .in_flight
            .first_entry()
            .filter(|e| e.key().0 <= self.now)
        {
            let (to, message) = entry.remove();
            if self.entries[to].frozen_at.is_some() {
                self.entries[to].inbox.push(message);
            } else if self.entries[to].up {
                self.take_message(to, message);
            }
        }
    }

    fn take_message(&mut self, to: usize, message: Message) {
        match message {
            Message::Report(from, report) => self.report(to, from, report),
            Message::Order(from, order) => self.order(to, from, order),
            Message::Gone(from) if self.entries[to].home == from => self.announce(to),
            Message::Gone(_) => {}
        }
    }

    fn finish_runs(&mut self, i: usize) {
        let over = self.entries[i].open.values().filter(|open| {
            open.run
                .is_some_and(|(_, since)| self.now >= since + open.takes)
        });
        let over: Vec<_> = over.map(|open| open.ask.attempt.request).collect();
        for request in over {
            self.end(i, request, End::Done);
            self.answer(i, request);
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Pass(millis) => self.advance(millis),
            Step::Ask(i, tier, takes) => self.ask(i, tier, takes),
            Step::Kill(i) => self.kill(i),
            Step::Start(i) => self.start(i),
            Step::Freeze(i) => self.freeze(i),
            Step::Thaw(i) => self.thaw(i),
            Step::Break(i) => self.break_links(i),
            Step::Leave(i) => self.leave(i),
            Step::Crash(endpoint) => self.crash(endpoint),
            Step::Cordon(endpoint, cordoned) => {
                self.cordoned[endpoint] = cordoned;
                for i in 0..BOXES {
                    self.configure(i);
                }
            }
            Step::Leaving(endpoint, leaving) => {
                self.leaving[endpoint] = leaving;
                let name: name::Endpoint = format!("m{endpoint}").parse().unwrap();
                for i in 0..BOXES {
                    self.input(i, Input::Leaving(name.clone(), leaving));
                }
            }
        }
    }

    fn usable(&self, i: usize) -> bool {
        self.entries[i].up && self.entries[i].frozen_at.is_none()
    }

    fn ask(&mut self, i: usize, tier: u8, takes: u64) {
        if !self.usable(i) {
            return;
        }
        self.serial += 1;
        let request = Request(self.serial);
        let ask = Ask {
            attempt: Attempt::first(request),
            class: format!("t{tier}").parse().unwrap(),
            tier: unit::Tier(tier),
            age: Duration::ZERO,
            target: Duration::from_millis(500),
            deadline: Duration::from_secs(8),
            patience: None,
            is_client_retry: false,
            allowed: Default::default(),
            prompt: unit::Tokens(10),
            delivered: unit::Tokens(0),
            prefix: takes
                .is_multiple_of(2)
                .then_some(dispatch::Prefix(takes % 5)),
            placement_key: takes.is_multiple_of(3).then_some(dispatch::PlacementKey {
                prefix: dispatch::Prefix(takes % 7),
                shared: unit::Tokens(5),
            }),
            preemptible: tier > 1,
            preempted: 0,
            is_hedge: false,
            avoid: None,
            build: None,
            backoffs: Vec::new(),
            hold: None,
        };
        let takes = Duration::from_millis(takes);
        let dispatcher = self.entries[i].home;
        let open = Open {
            ask: ask.clone(),
            asked_at: self.now,
            run: None,
            takes,
            dispatcher,
        };
        self.entries[i].open.insert(request, open);
        self.send_report(i, dispatcher, Report::Ask(ask));
    }

    fn kill(&mut self, i: usize) {
        if !self.entries[i].up || self.entries.iter().filter(|e| e.up).count() == 1 {
            return;
        }
        for request in std::mem::take(&mut self.entries[i].open).into_keys() {
            self.answers.insert(request, 1);
        }
        let alive = self.entries[i].alive.clone();
        self.entries[i] = Entry {
            alive,
            ..Entry::default()
        };
        self.drop_in_flight(i);
        self.schedule_view_updates(false);
    }

    /// Drops all messages in flight from or to a box.
    fn drop_in_flight(&mut self, i: usize) {
        self.in_flight.retain(|_, (to, message)| {
            let from = match message {
                Message::Report(from, _) | Message::Order(from, _) | Message::Gone(from) => *from,
            };
            *to != i && from != i
        });
    }

    fn start(&mut self, i: usize) {
        if self.entries[i].up {
            return;
        }
        // A box starts to serve once it has heard from all its peers.
        let mut alive: BTreeSet<_> = (0..BOXES).filter(|b| self.entries[*b].up).collect();
        alive.insert(i);
        self.entries[i] = Entry {
            up: true,
            alive,
            ..Entry::default()
        };
        self.entries[i].home = self.home(i);
        self.announce(i);
        // The other boxes re-establish their connections to it.
        self.reconnect_peers(i);
        self.schedule_view_updates(true);
    }

    fn freeze(&mut self, i: usize) {
        let others = (0..BOXES).filter(|b| *b != i && self.usable(*b)).count();
        if self.usable(i) && others > 0 {
            self.entries[i].frozen_at = Some(self.now);
            self.schedule_view_updates(false);
        }
    }

    fn thaw(&mut self, i: usize) {
        let Some(since) = self.entries[i].frozen_at.take() else {
            return;
        };
        // After a long freeze the daemon relies neither on unread grants nor on the earlier state
        // of its dispatchers, and all connections are re-established.
        if self.now - since > Duration::from_secs(1) {
            self.entries[i].dispatcher = None;
            for message in std::mem::take(&mut self.entries[i].inbox) {
                if let Message::Order(from, order) = message {
                    self.reject_unread_grant(i, from, order);
                }
            }
            self.schedule_view_updates(true);
            // It serves again once it has heard from all its peers.
            self.entries[i].alive = self.update_liveness();
            self.entries[i].home = self.home(i);
            self.break_links(i);
            return;
        }
        for message in std::mem::take(&mut self.entries[i].inbox) {
            self.take_message(i, message);
        }
        if std::mem::take(&mut self.entries[i].reconnected) {
            self.announce(i);
        }
        // The box now receives the view updates that it missed.
        self.update_view(i);
        self.schedule_view_updates(true);
    }

    fn reject_unread_grant(&mut self, i: usize, from: usize, order: Order) {
        let Order::Grant(attempt, _) = order else {
            return self.order(i, from, order);
        };
        let known = self.entries[i].open.get(&attempt.request);
        if known
            .is_some_and(|o| o.ask.attempt == attempt && o.dispatcher == from && o.run.is_none())
        {
            self.send_report(i, from, Report::End(attempt, End::Unused, unit::Tokens(0)));
            self.ask_again(i, attempt.request, false);
        }
    }

    /// Re-establishes the connections of the other boxes to a box: those that it dispatches for
    /// announce everything to it again.
    fn reconnect_peers(&mut self, i: usize) {
        for b in (0..BOXES).filter(|b| *b != i) {
            if self.entries[b].home != i {
                continue;
            }
            if self.usable(b) {
                self.announce(b);
            } else {
                self.entries[b].reconnected = true;
            }
        }
    }

    fn break_links(&mut self, i: usize) {
        if !self.usable(i) {
            return;
        }
        self.drop_in_flight(i);
        self.announce(i);
        self.reconnect_peers(i);
    }

    fn leave(&mut self, i: usize) {
        if !self.usable(i) {
            return;
        }
        let Some((request, open)) = self.entries[i].open.iter().next() else {
            return;
        };
        let (request, attempt, to) = (*request, open.ask.attempt, open.dispatcher);
        if open.run.is_some() {
            self.end(i, request, End::Cancelled);
        } else {
            self.send_report(i, to, Report::Withdraw(attempt));
        }
        self.answer(i, request);
    }

    fn crash(&mut self, endpoint: usize) {
        for i in (0..BOXES).filter(|i| self.usable(*i)).collect::<Vec<_>>() {
            let at = |open: &&Open| open.run.is_some_and(|(e, _)| e == endpoint);
            let broken = self.entries[i].open.values().filter(at);
            let broken: Vec<_> = broken.map(|open| open.ask.attempt.request).collect();
            for request in broken {
                self.end(i, request, End::Broken);
                self.ask_again(i, request, false);
            }
        }
    }

    /// Ends all faults and checks that every request is answered and every slot is free.
    fn settle(&mut self) {
        for i in 0..BOXES {
            self.start(i);
            self.thaw(i);
        }
        for endpoint in 0..ENDPOINTS {
            self.run_step(Step::Leaving(endpoint, false));
            self.run_step(Step::Cordon(endpoint, false));
        }
        self.advance(60_000);
        for entry in &self.entries {
            assert!(entry.open.is_empty(), "requests are left: {:?}", entry.open);
            if let Some(dispatcher) = &entry.dispatcher {
                assert_eq!(
                    dispatcher.waiting(),
                    0,
                    "the queue holds a request that no caller waits for"
                );
                assert_eq!(dispatcher.running(), 0, "a slot is lost");
            }
        }
    }
}

#[test]
fn dispatchers_keep_order_and_slots_under_faults() {
    runs(300, schedule, |seed, steps| {
        let mut zone = Zone::new(seed);
        for step in steps {
            zone.run_step(*step);
        }
        zone.settle();
    });
}
