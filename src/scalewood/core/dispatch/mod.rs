//! The dispatcher: one queue for a service in an availability zone.
//!
//! One entry box holds the dispatcher of a (service, zone). It alone queues that service's
//! requests in the zone and grants the endpoints' slots, so the order of tiers holds across all
//! entry boxes of the zone, and slots are counted exactly. The entry boxes send the requests to
//! the endpoints themselves and report the results; the loss of a dispatcher interrupts no
//! stream.
//!
//! A step takes one input and the time, and returns the orders that follow. Requests that would
//! wait past their deadline are shed when they arrive and at each tick (`shed`). After each input:
//!
//! 1. While a slot is free, it is granted to the next request: the first of the class that is
//!    owed a whole run by its minimum share (`share`), else the first by tier and slack
//!    (`queue`). The endpoint with the lowest utilisation is chosen, or one that likely
//!    caches the prompt's prefix (`endpoint`).
//! 2. For each remaining request that has to start now, a run of a lower tier is
//!    preempted, the one that loses the least work (`preempt`).
//!
//! A new dispatcher settles first: it adopts the runs that the entry boxes announce, and grants
//! nothing until all live boxes have announced theirs. From its announcement on a box uses only
//! this dispatcher's grants, so the announced runs are complete. The dispatcher waits for a box
//! that does not announce until the box no longer counts as alive or the settle timeout is over.

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
mod prefill;
mod queue;
mod reserve;
mod run;
mod share;
mod shed;
pub mod spill;
mod status;
mod work;
mod zone;

pub use cause::Cause;
pub use endpoint::{Admission, IssuedPermits, LimitChange, Spec, View};
pub use message::{Ask, End, Held, Order, PlacementKey, Prefix, Reason, Report};
pub use placement::LONG_PROMPT;
pub use precedence::{Precedence, Tally};

/// Settings of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long an unused grant is valid.
    pub grant_ttl: Duration,
    /// The longest that a new dispatcher waits for a live box to announce its runs. A dead or
    /// frozen box stops counting as alive long before.
    pub settle_timeout: Duration,
    /// The most requests in the queue.
    pub max_waiting: usize,
    /// How long before its due time a request may preempt a run.
    pub preempt_lead: Duration,
    /// How long a run of a class is expected to hold a slot before any has ended.
    pub initial_hold: Duration,
    /// The largest fraction of the endpoints that may be ejected or probed at once. One endpoint
    /// may be, however few there are.
    pub max_ejected: f64,
    /// How long an endpoint is ejected the first time; doubled each further time.
    pub base_ejection: Duration,
    /// The longest ejection, before it is extended by up to a half so that endpoints do not come
    /// back at once.
    pub max_ejection: Duration,
    /// Slots that a new endpoint may use at first; first tokens and successes raise the number.
    pub ramp: u32,
    /// How long a prefix is assumed to stay cached.
    pub hint_ttl: Duration,
    /// How much more utilised, in thousandths of its slots, an endpoint that caches the prefix
    /// may be and still be chosen.
    pub hint_slack: u64,
    /// Seeds this box's preferences among endpoints, so that boxes prefer different ones.
    pub seed: u64,
    /// The region of this box, if it is known.
    pub region: Option<name::Region>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grant_ttl: Duration::from_secs(2),
            settle_timeout: Duration::from_secs(10),
            max_waiting: 20_000,
            preempt_lead: Duration::from_millis(60),
            initial_hold: Duration::from_secs(1),
            max_ejected: 0.5,
            base_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            ramp: 8,
            hint_ttl: Duration::from_secs(120),
            hint_slack: 250,
            seed: 0,
            region: None,
        }
    }
}

/// An input of a dispatcher.
#[expect(
    clippy::large_enum_variant,
    reason = "most inputs are reports, and a box for each is an allocation a request"
)]
#[derive(Clone, Debug)]
pub enum Input {
    /// An entry box's report.
    Report(name::Box, Report),
    /// All configured endpoints and classes.
    Configure(Vec<Spec>, BTreeMap<name::Class, config::Class>),
    /// Endpoints that are new or have changed, and endpoints that are no longer configured.
    /// What depends on the whole set stays as it is until the next `Configure`.
    EndpointsChanged(Vec<Spec>, Vec<name::Endpoint>),
    /// Whether an endpoint is leaving.
    Leaving(name::Endpoint, bool),
    /// How many requests wait inside an endpoint, by its own report.
    Backlog(name::Endpoint, u32),
    /// Whether an endpoint caches a prefix, by its own report.
    Cached(name::Endpoint, Prefix, bool),
    /// An entry box has been disconnected for too long: its requests are void.
    BoxGone(name::Box),
    /// The live entry boxes of the zone. The requests of a box that was in the last such list and
    /// is not in this one are void.
    LiveBoxes(BTreeSet<name::Box>),
    /// How many boxes dispatch to the same endpoints, including this one.
    BoxCount(u32),
    /// The load that the other boxes put on the endpoints, if it is known.
    OtherLoads(Option<load::Loads>),
    /// The load that the other boxes put on some endpoints; replaces what was known of these.
    OtherLoadsChanged(Vec<load::EndpointLoad>),
    /// Prefixes that other boxes have recently placed; those at endpoints of other services are
    /// ignored.
    Placements(Vec<load::Placement>),
    /// How likely requests fail at endpoints, as observed by all boxes together.
    Risks(Vec<load::Risk>),
    /// The prompt sizes of classes, as observed by all boxes together; classes of other
    /// services are ignored.
    PromptSizes(Vec<load::Prompts>),
    /// How this service's endpoints process prompts, as measured by all boxes together.
    Prefill(load::Measured),
    /// All bounds on less urgent requests of this service that follow from refusals at any box.
    Bounds(Vec<load::Bound>),
    /// The endpoints that warm up and that this box has a lease to send to, the end of the lease,
    /// and the number of load hubs that issue such leases.
    Leases(Vec<name::Endpoint>, Duration, u32),
    /// Endpoints' limits on the requests per second from all boxes together, where they
    /// changed.
    Limits(Vec<LimitChange>),
    /// Permits of this box for requests to rate-limited endpoints.
    Permits(Vec<IssuedPermits>),
    /// Since when no voter issues permits, if none does: this box then uses an equal share of
    /// each limit.
    PermitsUnavailable(Option<Duration>),
    /// Whether this box has lost its links to the endpoints, so that failures there say nothing of
    /// them.
    LinksLost(bool),
    /// Whether the endpoints fail if they reject too many requests, so that all boxes together must not
    /// send them more than they can run.
    RejectionsLimited(bool),
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
    prefill: prefill::Estimate,
    pauses: pauses::Pauses,
    refusals: precedence::Refusals,
    causes: cause::Causes,
    /// The rate of requests for a slot.
    request_rate: throttle::Meter,
    /// The time from which the dispatcher no longer waits for boxes that have not announced their
    /// runs.
    settled_at: Duration,
    /// The live entry boxes, and those that have announced their runs.
    alive: BTreeSet<name::Box>,
    announced: BTreeSet<name::Box>,
    /// The entry boxes that have begun a new announcement, and when. Until it is complete, the
    /// slots of their runs look free.
    announcing: BTreeMap<name::Box, Duration>,
    /// Slots freed by preemption that are not granted yet.
    freed: u32,
    outputs: Vec<Output>,
}

/// A dispatcher's utilisation; dispatchers of a service exchange it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// Slots that may be used.
    pub slots: u32,
    /// Slots that are held.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: usize,
    /// The predicted wait of a new request, by tier.
    pub waits: BTreeMap<unit::Tier, Duration>,
}

/// What the choice of an endpoint was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Basis {
    /// Tokens of the prompt to be prefilled at the endpoint: those that are not cached there.
    pub uncached: unit::Tokens,
    /// Prompt tokens of other requests, from all boxes, that waited for prefill there and are at
    /// least as urgent.
    pub pending_ahead: unit::Tokens,
    /// Prompt tokens of less urgent requests, from all boxes, that waited for prefill there.
    pub pending_less_urgent: unit::Tokens,
    /// Whether the endpoint likely cached the prompt's shared prefix.
    pub prefix_cached: bool,
}

impl Dispatcher {
    /// Creates a dispatcher that has yet to settle.
    pub fn new(settings: Settings, now: Duration) -> Self {
        let settled_at = now + settings.settle_timeout;
        Self {
            endpoints: endpoint::Set::new(settings.region.clone()),
            settings,
            queue: queue::Queue::default(),
            runs: run::Runs::default(),
            classes: HashMap::new(),
            shares: share::Shares::default(),
            placement: placement::Placement::default(),
            prefill: prefill::Estimate::default(),
            pauses: pauses::Pauses::default(),
            refusals: precedence::Refusals::default(),
            causes: cause::Causes::default(),
            request_rate: throttle::Meter::default(),
            settled_at,
            alive: BTreeSet::new(),
            announced: BTreeSet::new(),
            announcing: BTreeMap::new(),
            freed: 0,
            outputs: Vec::new(),
        }
    }

    /// Processes an input and returns the orders that follow from it.
    pub fn step(&mut self, input: Input, now: Duration) -> Vec<Output> {
        self.queue.advance(now);
        match input {
            Input::Report(origin, report) => self.report(origin, report, now),
            Input::Configure(specs, classes) => self.configure(&specs, &classes, now),
            Input::EndpointsChanged(specs, gone) => {
                self.endpoints.change(&specs, &gone, now, &self.settings);
                self.shed_unservable();
            }
            Input::Leaving(name, leaving) => self.endpoints.set_leaving(&name, leaving, now),
            Input::Backlog(name, waiting) => self.endpoints.set_backlog(&name, waiting),
            Input::Cached(name, prefix, cached) => {
                let until = now + self.settings.hint_ttl;
                self.endpoints.set_cached(&name, prefix, cached, until);
            }
            Input::BoxGone(origin) => self.drop_box(&origin),
            Input::LiveBoxes(alive) => self.set_boxes(alive),
            Input::BoxCount(count) => self.endpoints.set_box_count(count),
            Input::OtherLoads(loads) => {
                if loads.is_none() {
                    self.prefill.forget_global();
                }
                self.endpoints.set_others(loads.as_ref());
            }
            Input::OtherLoadsChanged(changed) => self.endpoints.change_others(&changed),
            Input::Placements(placements) => self.endpoints.record_placed(&placements, now),
            Input::Risks(risks) => self.endpoints.set_risks(&risks, now),
            Input::PromptSizes(mut prompts) => {
                prompts.retain(|seen| self.classes.contains_key(&seen.class));
                self.placement.set_sizes(&prompts);
            }
            Input::Prefill(measured) => self.prefill.set_global(&measured),
            Input::Bounds(bounds) => self.refusals.set_bounds(bounds, now),
            Input::Leases(leased, until, hubs) => {
                self.endpoints.set_leases(&leased, until, hubs, now);
            }
            Input::Limits(changes) => self.endpoints.set_limits(&changes),
            Input::Permits(permits) => self.endpoints.add_permits(&permits, now),
            Input::PermitsUnavailable(since) => self.endpoints.set_permits_unavailable(since),
            Input::LinksLost(lost) => self.endpoints.set_links_lost(lost, &self.settings),
            Input::RejectionsLimited(limited) => self.endpoints.set_rejections_limited(limited),
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
        self.shed_unservable();
    }

    fn class(&mut self, name: &name::Class, tier: unit::Tier) -> &mut class::Class {
        let guess = self.settings.initial_hold;
        self.classes
            .entry(name.clone())
            .or_insert_with(|| class::Class::new(guess, tier))
    }

    fn report(&mut self, origin: name::Box, report: Report, now: Duration) {
        match report {
            Report::Hello => {
                self.drop_box(&origin);
                self.announcing.insert(origin, now);
            }
            Report::Announced => {
                // An announcement whose `Hello` was missed is incomplete.
                if self.announcing.remove(&origin).is_some() {
                    self.announced.insert(origin);
                }
            }
            Report::Ask(ask) => self.ask(origin, ask, now),
            Report::Withdraw(attempt) => drop(self.queue.remove(attempt)),
            Report::Started(attempt) => self.runs.set_started(attempt),
            Report::First(attempt) => self.first_token(attempt, now),
            Report::Paused(attempt) => self.pause(attempt, now),
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
        self.request_rate.add(1, now);
        self.endpoints.record_backoffs(&origin, &ask.backoffs, now);
        if ask.placement_key.is_some() {
            self.placement.record(&ask);
        }
        if attempt.number == 0 {
            self.refusals.record_arrived(&ask, now);
        }
        let class = self.class(&ask.class, ask.tier);
        let hold = ask
            .hold
            .map_or(class.mean_hold_s, |hold| hold.as_secs_f64());
        let lead = class.lead;
        class.demand.add(hold, now);
        // The arrival may lie before the clock's start, so ages are subtracted last.
        let due = (now + ask.target).saturating_sub(ask.age + lead);
        let give_up = (now + ask.deadline).saturating_sub(ask.age);
        let times = queue::Times { due, give_up, hold };
        self.queue.insert(origin, ask, times, now);
        self.shed_on_arrival(attempt, now);
    }

    fn first_token(&mut self, attempt: attempt::Attempt, now: Duration) {
        let already = self
            .runs
            .get(attempt)
            .is_some_and(|run| run.first_token.is_some());
        self.runs.set_first_token(attempt, now);
        let Some(run) = self.runs.get(attempt) else {
            return;
        };
        if already {
            return self.endpoints.record_resumed(run.endpoint, now);
        }
        let (name, tier) = (run.ask.class.clone(), run.ask.tier);
        let waited = now.saturating_sub(run.granted);
        let (endpoint, prompt) = (run.endpoint, run.prompt());
        if run.place.is_some_and(|place| !place.slow) {
            self.prefill.observe(run.ahead, prompt.tokens, waited);
        }
        self.class(&name, tier).observe_first_token(waited);
        self.endpoints.record_first_token(endpoint, prompt, now);
    }

    fn pause(&mut self, attempt: attempt::Attempt, now: Duration) {
        self.runs.set_paused(attempt);
        if let Some(run) = self.runs.get(attempt) {
            self.endpoints.record_pause(run.endpoint, now);
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
                self.endpoints
                    .record_failure(run.endpoint, 2, now, &self.settings);
            }
            End::Mistaken => self.endpoints.record_wrong_endpoint(run.endpoint, now),
            End::Broken => self
                .endpoints
                .record_failure(run.endpoint, 1, now, &self.settings),
            End::Cancelled if run.is_unanswered(now) => {
                if run.is_overdue(now) {
                    self.refusals.record_lost(&run.ask, now);
                }
                self.endpoints.record_abandoned(run.endpoint, now);
            }
            End::Cancelled if run.is_overdue(now) => {
                if let Some(place) = run.place {
                    self.pauses.observe(place, true, now);
                }
            }
            // If the endpoint asked for a backoff, the box reports it with its next request for a
            // slot.
            End::Cancelled | End::Preempted | End::Refused | End::Unused => {}
        }
    }

    fn done(&mut self, run: &run::Run, tokens: unit::Tokens, now: Duration) {
        self.endpoints.record_success(run.endpoint);
        if let Some(place) = run.place {
            self.pauses.observe(place, run.paused, now);
        }
        let held = now.saturating_sub(run.granted);
        let first = run.first_token.unwrap_or(run.granted);
        let streamed = now.saturating_sub(first).as_secs_f64();
        let seconds_per_unit = match tokens.0 {
            0 | 1 => held.as_secs_f64(),
            // Answers are far shorter than 2^52 tokens, so the cast is exact.
            n => streamed / (n - 1) as f64,
        };
        self.endpoints
            .observe_seconds_per_unit(run.endpoint, seconds_per_unit);
        let class = self.class(&run.ask.class, run.ask.tier);
        class.observe_hold(held);
        class.observe_length(tokens);
    }

    fn adopt(&mut self, origin: name::Box, held: Held, now: Duration) {
        if self.runs.get(held.ask.attempt).is_some() {
            return;
        }
        self.queue.remove(held.ask.attempt);
        let prefill_tokens = held.ask.prompt.0;
        let prompt = endpoint::Prefill {
            tokens: prefill_tokens,
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
            granted: now.saturating_sub(held.held_for),
            prefill_tokens,
            ahead: prefill::Ahead::default(),
            cached: false,
            place: None,
            paused: false,
            started: true,
            first_token: (held.tokens.0 > 0).then_some(now),
            tokens: held.tokens,
            preempting: false,
        });
    }

    /// Removes a run and frees its slot.
    fn release(&mut self, attempt: attempt::Attempt) -> Option<run::Run> {
        let run = self.runs.remove(attempt)?;
        self.endpoints
            .free(run.endpoint, run.prompt(), run.first_token.is_some());
        Some(run)
    }

    fn set_boxes(&mut self, alive: BTreeSet<name::Box>) {
        let origins = self.queue.all().map(|w| &w.origin);
        let origins = origins.chain(self.runs.all().map(|r| &r.origin));
        let were_alive: BTreeSet<_> = origins
            .filter(|name| self.alive.contains(*name))
            .cloned()
            .collect();
        for origin in were_alive.difference(&alive) {
            self.drop_box(origin);
        }
        self.announced.retain(|name| alive.contains(name));
        self.announcing
            .retain(|name, _| alive.contains(name) || !self.alive.contains(name));
        self.alive = alive;
    }

    fn drop_box(&mut self, origin: &name::Box) {
        self.endpoints.forget_backoffs(origin);
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
        self.endpoints.remove_unconfigured();
        self.expire_grants(now);
        self.shed_expired(now);
        self.shed_late(now);
        self.shed_all_backing_off(now);
    }

    fn expire_grants(&mut self, now: Duration) {
        let before = now.saturating_sub(self.settings.grant_ttl);
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
            .map_or(class::MIN_HOLD_S, |class| class.mean_hold_s)
    }

    /// Returns the expected time between two slots becoming free, in seconds. Without rate limits
    /// that is an upper estimate, from the class whose runs hold a slot for the longest.
    fn slot_gap(&self, now: Duration) -> f64 {
        let holds = self.classes.values().map(|class| class.mean_hold_s);
        let hold = holds.fold(0.0, f64::max);
        if let Some(per_second) = self.endpoints.sendable_rate(now) {
            return 1.0 / per_second;
        }
        hold / f64::from(self.endpoints.allowed().max(1))
    }

    /// Returns whether the dispatcher has settled, so that it grants slots.
    pub fn is_settled(&self, now: Duration) -> bool {
        let all_announced = !self.alive.is_empty() && self.alive.is_subset(&self.announced);
        let settle = self.settings.settle_timeout;
        let announcing = self.announcing.values().any(|since| now < *since + settle);
        (now >= self.settled_at || all_announced) && !announcing
    }
}
