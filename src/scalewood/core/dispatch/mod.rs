//! The dispatcher: one queue for a service in an availability zone.
//!
//! One entry box holds the dispatcher of a (service, zone). It alone queues that
//! service's requests there and hands out the endpoints' slots, so that the order
//! of tiers holds over all entry boxes of the zone, and a slot is counted exactly.
//! The entry boxes send the requests to the endpoints themselves and report what
//! becomes of them; the loss of a dispatcher cuts no stream.
//!
//! A step takes one input and the time, and appends the orders that follow. The
//! algorithm after each input:
//!
//! 1. While a slot is free: the next request gets it. That is the class that is
//!    owed a whole run by its share (`share`), else the first by tier and slack
//!    (`queue`). The endpoint with the lowest use goes first, or the one that
//!    likely caches the prompt's prefix (`endpoint`).
//! 2. If requests are left that have to start now: for each of them a run of a
//!    lower tier is preempted, the one that loses the least work (`preempt`).
//! 3. Requests that would wait past their deadline are shed at once (`shed`).
//!
//! A new dispatcher settles first: it adopts the runs that the entry boxes
//! announce, and grants nothing until all boxes that are alive have announced theirs.
//! They take no more grants from the dispatcher before, so nothing is missing then.
//! A box that does not announce is waited for until it no longer counts as alive.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::core::{attempt, config, load, name, throttle, unit};

mod cause;
mod class;
mod endpoint;
mod grant;
mod message;
mod pauses;
mod placement;
mod precedence;
mod preempt;
mod queue;
mod reading;
mod reserve;
mod run;
mod share;
mod shed;
mod shown;
pub mod spill;
mod work;
mod zone;

pub use cause::Cause;
pub use endpoint::{LimitChange, Pass, Spec, Standing, View};
pub use message::{Ask, End, Held, Order, Placed, Prefix, Reason, Report};
pub use placement::LONG_PROMPT;
pub use precedence::{Met, Precedence};

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a grant lives unused.
    pub grant_life: Duration,
    /// How long a new dispatcher waits at most for a box that is alive to announce what
    /// it holds. A box that is dead or frozen stops counting as alive long before.
    pub settle: Duration,
    /// The most requests that wait.
    pub max_waiting: usize,
    /// How long before its due time a request may preempt.
    pub preempt_lead: Duration,
    /// How long a run is expected to hold a slot before any was seen.
    pub first_guess: Duration,
    /// The part of the endpoints that may be ejected at once.
    pub max_ejected: f64,
    /// How long an endpoint is ejected at first; it doubles.
    pub ejection: Duration,
    /// The longest that an endpoint is ejected.
    pub max_ejection: Duration,
    /// Slots that a new endpoint may use before its first success.
    pub ramp: u32,
    /// How long a prefix counts as cached.
    pub hint_life: Duration,
    /// How much fuller, in thousandths, an endpoint that caches the prefix may be.
    pub hint_slack: u64,
    /// What makes this box lean to other endpoints than others do.
    pub seed: u64,
    /// The region of this box, if it is known.
    pub region: Option<name::Region>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grant_life: Duration::from_secs(2),
            settle: Duration::from_secs(10),
            max_waiting: 20_000,
            preempt_lead: Duration::from_millis(60),
            first_guess: Duration::from_secs(1),
            max_ejected: 0.5,
            ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            ramp: 8,
            hint_life: Duration::from_secs(120),
            hint_slack: 250,
            seed: 0,
            region: None,
        }
    }
}

/// What a dispatcher is told.
#[expect(
    clippy::large_enum_variant,
    reason = "most inputs are reports, and a box for each is an allocation a request"
)]
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry box reports.
    Report(name::Box, Report),
    /// The endpoints and classes that are configured.
    Configure(Vec<Spec>, BTreeMap<name::Class, config::Class>),
    /// Some endpoints are new or others than before, and some are configured no more. What depends
    /// on all of them together stays as it was until all are configured.
    Changed(Vec<Spec>, Vec<name::Endpoint>),
    /// An endpoint leaves, or came back.
    Leaving(name::Endpoint, bool),
    /// An endpoint reports how many requests wait inside of it.
    Backlog(name::Endpoint, u32),
    /// An endpoint reports that it caches a prefix, or does so no more.
    Cached(name::Endpoint, Prefix, bool),
    /// An entry box has lost its link for long: its requests are void.
    Gone(name::Box),
    /// The entry boxes of the zone that are alive. The requests of all others are
    /// void.
    Boxes(BTreeSet<name::Box>),
    /// How many boxes dispatch to the same endpoints, this one included.
    Sharers(u32),
    /// What the other boxes have at the endpoints, if that is known.
    Others(Option<load::Loads>),
    /// What the other boxes have at some endpoints, in place of what was told before.
    OthersChanged(Vec<load::Loaded>),
    /// What other boxes have placed of late; endpoints of other services are passed over.
    Placed(Vec<load::Placement>),
    /// How likely requests fail at endpoints, as all boxes together met it.
    Risks(Vec<load::Risk>),
    /// The prompts of classes, as all boxes together have seen them; classes of other
    /// services are passed over.
    Prompts(Vec<load::Prompts>),
    /// All bounds that refusals anywhere set to less urgent requests of this service.
    Bounds(Vec<load::Bound>),
    /// This box may send to these endpoints until a time while they warm up, by a lease of one
    /// of so many hubs.
    Leases(Vec<name::Endpoint>, Duration, u32),
    /// Endpoints limit the requests a second from all boxes together, or do so no more.
    Limits(Vec<LimitChange>),
    /// This box may send so many requests to endpoints that limit them.
    Permits(Vec<Pass>),
    /// Since when no voter issues permits, if none does: then this box has its part of each limit.
    Alone(Option<Duration>),
    /// Time has passed.
    Tick,
}

/// An order and the box that it is for.
pub type Output = (name::Box, Order);

/// The queue and the slots of a service in an availability zone.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    endpoints: endpoint::Set,
    queue: queue::Queue,
    runs: run::Runs,
    classes: HashMap<name::Class, class::Class>,
    shares: share::Shares,
    placement: placement::Placement,
    reading: reading::Reading,
    pauses: pauses::Pauses,
    refusals: precedence::Refusals,
    causes: cause::Causes,
    /// Requests that ask for an endpoint.
    asked: throttle::Meter,
    settled_at: Duration,
    /// The entry boxes that are alive, and those that have announced what they hold.
    alive: BTreeSet<name::Box>,
    announced: BTreeSet<name::Box>,
    /// The entry boxes that are about to announce anew, and since when. Until they have,
    /// the slots of their runs look free.
    announcing: BTreeMap<name::Box, Duration>,
    /// Slots that preemptions freed and that are not handed out yet.
    freed: u32,
    outputs: Vec<Output>,
}

/// How busy a dispatcher is; dispatchers of a service exchange this.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Slots that may be used.
    pub slots: u32,
    /// Slots that are held.
    pub running: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// The predicted wait of a new request, by tier.
    pub waits: BTreeMap<unit::Tier, Duration>,
}

/// What an endpoint was chosen by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Tokens of the prompt that have to be read there.
    pub unread: unit::Tokens,
    /// Tokens that all boxes had unread there of requests no less urgent, and of others.
    pub ahead: unit::Tokens,
    /// The same of less urgent requests.
    pub later: unit::Tokens,
    /// Whether the endpoint likely keeps what the prompt shares with others.
    pub kept: bool,
}

impl Dispatcher {
    /// A dispatcher that settles first.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let settled_at = now + settings.settle;
        Self {
            endpoints: endpoint::Set::new(settings.region.clone()),
            settings,
            queue: queue::Queue::default(),
            runs: run::Runs::default(),
            classes: HashMap::new(),
            shares: share::Shares::default(),
            placement: placement::Placement::default(),
            reading: reading::Reading::default(),
            pauses: pauses::Pauses::default(),
            refusals: precedence::Refusals::default(),
            causes: cause::Causes::default(),
            asked: throttle::Meter::default(),
            settled_at,
            alive: BTreeSet::new(),
            announced: BTreeSet::new(),
            announcing: BTreeMap::new(),
            freed: 0,
            outputs: Vec::new(),
        }
    }

    /// Takes an input; returns the orders that follow from it.
    pub fn step(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.queue.age(now);
        match input {
            Input::Report(origin, report) => self.report(origin, report, now),
            Input::Configure(specs, classes) => self.configure(&specs, &classes, now),
            Input::Changed(specs, gone) => {
                self.endpoints.change(&specs, &gone, now, &self.settings);
                self.shed_hopeless();
            }
            Input::Leaving(name, leaving) => self.endpoints.set_leaving(&name, leaving, now),
            Input::Backlog(name, waiting) => self.endpoints.set_backlog(&name, waiting),
            Input::Cached(name, prefix, cached) => {
                let until = now + self.settings.hint_life;
                self.endpoints.set_cached(&name, prefix, cached, until);
            }
            Input::Gone(origin) => self.lose(&origin),
            Input::Boxes(alive) => self.set_boxes(alive),
            Input::Sharers(count) => self.endpoints.set_sharers(count),
            Input::Others(loads) => self.endpoints.set_others(loads.as_ref()),
            Input::OthersChanged(changed) => self.endpoints.change_others(&changed),
            Input::Placed(placements) => self.endpoints.note_placed(&placements, now),
            Input::Risks(risks) => self.endpoints.set_risks(&risks, now),
            Input::Prompts(mut prompts) => {
                prompts.retain(|seen| self.classes.contains_key(&seen.class));
                self.placement.set_sizes(&prompts);
            }
            Input::Bounds(bounds) => self.refusals.set_bounds(bounds, now),
            Input::Leases(leased, until, hubs) => {
                self.endpoints.set_leases(&leased, until, hubs, now);
            }
            Input::Limits(changes) => self.endpoints.set_limits(&changes),
            Input::Permits(passes) => self.endpoints.take_permits(&passes, now),
            Input::Alone(since) => self.endpoints.set_alone(since),
            Input::Tick => self.tick(now),
        }
        self.grant(now);
        self.preempt(now);
        if self.queue.is_empty() {
            self.freed = 0;
        }
        std::mem::take(&mut self.outputs)
    }

    fn configure(
        &mut self,
        specs: &[Spec],
        classes: &BTreeMap<name::Class, config::Class>,
        now: Duration,
    ) {
        self.endpoints.configure(specs, now, &self.settings);
        let shares = classes
            .iter()
            .map(|(name, class)| (name.clone(), class.share.get()));
        self.shares.configure(&shares.collect());
        self.placement.configure(classes);
        self.classes.retain(|name, _| classes.contains_key(name));
        let tiers = classes
            .iter()
            .map(|(name, class)| (name.clone(), class.tier));
        self.refusals.set_classes(&tiers.collect());
        for (name, class) in classes {
            self.class(name, class.tier).configure(class);
        }
        self.shed_hopeless();
    }

    fn class(&mut self, name: &name::Class, tier: unit::Tier) -> &mut class::Class {
        let guess = self.settings.first_guess;
        self.classes
            .entry(name.clone())
            .or_insert_with(|| class::Class::new(guess, tier))
    }

    fn report(&mut self, origin: name::Box, report: Report, now: Duration) {
        match report {
            Report::Hello => {
                self.lose(&origin);
                self.announcing.insert(origin, now);
            }
            Report::Announced => {
                // Without the beginning, some of what the box holds is missing here.
                if self.announcing.remove(&origin).is_some() {
                    self.announced.insert(origin);
                }
            }
            Report::Ask(ask) => self.ask(origin, ask, now),
            Report::Withdraw(attempt) => drop(self.queue.remove(attempt)),
            Report::Started(attempt) => self.runs.set_started(attempt),
            Report::First(attempt) => self.first(attempt, now),
            Report::Paused(attempt) => self.runs.set_paused(attempt),
            Report::Progress(attempt, tokens) => self.runs.set_tokens(attempt, tokens),
            Report::End(attempt, end, tokens) => self.end(attempt, end, tokens, now),
            Report::Held(held) => self.adopt(origin, held, now),
        }
    }

    fn ask(&mut self, origin: name::Box, ask: Ask, now: Duration) {
        let attempt = ask.attempt;
        if self.queue.contains(attempt) || self.runs.get(attempt).is_some() {
            return;
        }
        self.asked.add(1, now);
        self.endpoints.note_rests(&origin, &ask.rests, now);
        if ask.placed.is_some() {
            self.placement.note(&ask);
        }
        if attempt.number == 0 {
            self.refusals.note_asked(&ask, now);
        }
        let class = self.class(&ask.class, ask.tier);
        let hold = ask.hold.map_or(class.mean, |hold| hold.as_secs_f64());
        let lead = class.lead;
        class.flow.add(hold, now);
        // The arrival may lie before the clock's start, so ages are taken off last.
        let due = (now + ask.target).saturating_sub(ask.age + lead);
        let give_up = (now + ask.deadline).saturating_sub(ask.age);
        let times = queue::Times { due, give_up, hold };
        self.queue.insert(origin, ask, times, now);
        self.shed_on_arrival(attempt, now);
    }

    fn first(&mut self, attempt: attempt::Attempt, now: Duration) {
        let already = self
            .runs
            .get(attempt)
            .is_some_and(|run| run.first.is_some());
        self.runs.set_first(attempt, now);
        let Some(run) = self.runs.get(attempt) else {
            return;
        };
        let (name, tier) = (run.ask.class.clone(), run.ask.tier);
        let waited = now.saturating_sub(run.granted);
        let (endpoint, prompt) = (run.endpoint, run.prompt());
        if !already && run.place.is_some_and(|place| !place.slow) {
            self.reading.observe(run.ahead, prompt.unread, waited);
        }
        self.class(&name, tier).observe_first(waited);
        if !already {
            self.endpoints.answered(endpoint, prompt, now);
        }
    }

    fn end(&mut self, attempt: attempt::Attempt, end: End, tokens: unit::Tokens, now: Duration) {
        self.queue.remove(attempt);
        let Some(run) = self.release(attempt) else {
            return;
        };
        self.freed += u32::from(run.preempting);
        match end {
            End::Done => self.done(&run, tokens, now),
            End::Unreachable | End::Silent => {
                self.endpoints.failed(run.endpoint, 2, now, &self.settings);
            }
            End::Mistaken => self.endpoints.mistaken(run.endpoint, now),
            End::Broken => self.endpoints.failed(run.endpoint, 1, now, &self.settings),
            End::Cancelled if run.is_unanswered(now) => {
                if run.is_overdue(now) {
                    self.refusals.note_lost(&run.ask, now);
                }
                self.endpoints.suspected(run.endpoint, now);
            }
            End::Cancelled if run.is_overdue(now) => {
                if let Some(place) = run.place {
                    self.pauses.observe(place, true, now);
                }
            }
            // A rest that it asks for comes with the next request of that box.
            End::Cancelled | End::Preempted | End::Refused | End::Unused => {}
        }
    }

    fn done(&mut self, run: &run::Run, tokens: unit::Tokens, now: Duration) {
        self.endpoints.succeeded(run.endpoint);
        if let Some(place) = run.place {
            self.pauses.observe(place, run.paused, now);
        }
        let held = now.saturating_sub(run.granted);
        let first = run.first.unwrap_or(run.granted);
        let streamed = now.saturating_sub(first).as_secs_f64();
        let pace = match tokens.0 {
            0 | 1 => held.as_secs_f64(),
            // Answers are far shorter than 2^52 tokens, so the cast is exact.
            n => streamed / (n - 1) as f64,
        };
        self.endpoints.observe_pace(run.endpoint, pace);
        let class = self.class(&run.ask.class, run.ask.tier);
        class.observe_hold(held);
        class.observe_length(tokens);
    }

    fn adopt(&mut self, origin: name::Box, held: Held, now: Duration) {
        if self.runs.get(held.ask.attempt).is_some() {
            return;
        }
        self.queue.remove(held.ask.attempt);
        let unread = held.ask.prompt.0;
        let prompt = endpoint::Tokens {
            unread,
            tier: held.ask.tier,
        };
        let endpoint = self.endpoints.adopt(
            &held.endpoint,
            prompt,
            held.tokens.0 > 0,
            now,
            &self.settings,
        );
        self.runs.insert(run::Run {
            origin,
            ask: held.ask,
            endpoint,
            granted: now.saturating_sub(held.held),
            unread,
            ahead: reading::Ahead::default(),
            kept: false,
            place: None,
            paused: false,
            started: true,
            first: (held.tokens.0 > 0).then_some(now),
            tokens: held.tokens,
            preempting: false,
        });
    }

    /// Takes a run out and frees its slot.
    fn release(&mut self, attempt: attempt::Attempt) -> Option<run::Run> {
        let run = self.runs.remove(attempt)?;
        self.endpoints
            .free(run.endpoint, run.prompt(), run.first.is_some());
        Some(run)
    }

    fn set_boxes(&mut self, alive: BTreeSet<name::Box>) {
        let origins = self.queue.all().map(|w| &w.origin);
        let origins = origins.chain(self.runs.all().map(|r| &r.origin));
        let zone: BTreeSet<_> = origins
            .filter(|name| self.alive.contains(*name))
            .cloned()
            .collect();
        for origin in zone.difference(&alive) {
            self.lose(origin);
        }
        self.announced.retain(|name| alive.contains(name));
        self.announcing
            .retain(|name, _| alive.contains(name) || !self.alive.contains(name));
        self.alive = alive;
    }

    fn lose(&mut self, origin: &name::Box) {
        self.endpoints.forget_rests(origin);
        let waiting = self.queue.all().filter(|w| w.origin == *origin);
        let waiting: Vec<_> = waiting.map(|w| w.ask.attempt).collect();
        for attempt in waiting {
            self.queue.remove(attempt);
        }
        let running = self.runs.all().filter(|r| r.origin == *origin);
        let running: Vec<_> = running.map(|r| r.ask.attempt).collect();
        for attempt in running {
            self.release(attempt);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.endpoints.tick(now);
        self.endpoints.forget_gone();
        self.expire_grants(now);
        self.shed_expired(now);
        self.shed_late(now);
        self.shed_all_resting(now);
    }

    fn expire_grants(&mut self, now: Duration) {
        let before = now.saturating_sub(self.settings.grant_life);
        while let Some(attempt) = self.runs.unused(before) {
            let Some(run) = self.release(attempt) else {
                break;
            };
            self.outputs.push((run.origin, Order::Expired(attempt)));
        }
    }

    fn mean_hold(&self, class: &name::Class) -> f64 {
        self.classes
            .get(class)
            .map_or(class::MIN_HOLD, |class| class.mean)
    }

    /// The mean time between two slots that come free, in seconds.
    fn slot_gap(&self, now: Duration) -> f64 {
        let holds = self.classes.values().map(|class| class.mean);
        let hold = holds.fold(0.0, f64::max);
        if let Some(a_second) = self.endpoints.throttled(now) {
            return 1.0 / a_second;
        }
        hold / f64::from(self.endpoints.allowed().max(1))
    }

    /// Whether it grants already.
    pub fn is_settled(&self, now: Duration) -> bool {
        let all_announced = !self.alive.is_empty() && self.alive.is_subset(&self.announced);
        let settle = self.settings.settle;
        let announcing = self.announcing.values().any(|since| now < *since + settle);
        (now >= self.settled_at || all_announced) && !announcing
    }
}
