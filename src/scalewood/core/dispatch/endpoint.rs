//! The endpoints of a service, and which of them gets the next request.
//!
//! What was granted is known exactly; that is what slots are counted by. Load
//! reports lag, so they only lower the weight of an endpoint that is slower than
//! its peers. Endpoints with a free slot stand in an ordered index, so that a
//! choice takes logarithmic time however many there are.
//!
//! An endpoint that fails again and again is ejected for a while, then probed with
//! a single request, then given more as it succeeds. Only a bounded part of the set
//! is ejected at once: if more than that fails, the fault is likely elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::core::{
    dispatch::{message, pauses, placement, reading, zone, Settings},
    estimate,
    load::{self, Load},
    name, registry, rendezvous, risk,
    throttle::{Meter, Permits},
    unit, warm_up,
};

mod cost;
mod eligible;
mod health;
mod home;
mod rest;
mod restart;
mod ring;
mod slots;
mod throttle;

pub(super) use eligible::Seeker;
pub use eligible::Standing;
pub use throttle::{Change as LimitChange, Pass};
pub(super) use {
    cost::{Model, Prompt},
    slots::Wanted,
};

/// Where an endpoint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    /// Gets nothing until the time given.
    Ejected(Duration),
    /// Gets one request, which decides.
    Probing,
}

/// An index into the set; stable while the endpoint is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Index(usize);

/// What a run's prompt adds to what is unread at its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tokens {
    /// Its tokens that have to be read there.
    pub(super) unread: u64,
    /// The tier of its request.
    pub(super) tier: unit::Tier,
}

/// An endpoint that was chosen, with a slot of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) endpoint: Index,
    /// Tokens of the prompt that have to be read there.
    pub(super) unread: u64,
    /// Tokens that are unread there before it.
    pub(super) ahead: reading::Ahead,
    /// Whether the endpoint likely keeps what the prompt shares with others.
    pub(super) kept: bool,
    /// Where it runs, if its prompt was placed.
    pub(super) place: Option<pauses::Place>,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unplaced {
    /// No slot is free.
    NoSlot,
    /// It would be late, or its caller would leave before its first token.
    Overload(Overload),
}

/// How far a request is from being begun in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Overload {
    /// How long its first token would take.
    pub(super) first: Duration,
    /// How long it would have to come back later to be begun.
    pub(super) over: Duration,
}

/// The zone of an endpoint that is not configured.
fn own_zone() -> name::Zone {
    "unknown".parse().expect("the name is valid")
}

/// An endpoint's place in the order of choice; the lowest goes first.
type Score = u64;

#[derive(Debug)]
struct Endpoint {
    name: name::Endpoint,
    slots: u32,
    running: u32,
    state: State,
    /// Since when it is known to leave.
    leaving: Option<Duration>,
    /// Whether it is still configured; runs may outlast that.
    configured: bool,
    /// Failures since the last success, by weight.
    failures: u32,
    /// How often it was ejected since it last did well.
    ejections: u32,
    /// Slots that it may use while it proves itself.
    ramp: u32,
    /// Seconds for each token, or for each call of a plain service.
    pace: estimate::Ewma,
    /// Its speed beside its peers, from above 0 to 1.
    speed: f64,
    /// What its load reports say of requests that wait inside of it.
    backlog: u32,
    /// Whether it stands in another zone.
    away: bool,
    /// Whether it stands in another region.
    far: bool,
    /// Its place in the order that all boxes know.
    place: usize,
    /// Its weight's share in rendezvous hashing.
    hash: u64,
    /// Where it stands.
    zone: name::Zone,
    /// What is said of sending it new work.
    standing: Standing,
    /// Which start of it this is, once it was configured.
    start: Option<registry::Start>,
    /// The boxes that it wants nothing from, and until when.
    rests: BTreeMap<name::Box, Duration>,
    /// This box's right to send to it while it warms up.
    pass: warm_up::Pass,
    /// This box's right to send to it while it limits its requests.
    permits: Permits,
    /// Requests that belonged to it of late and went elsewhere for want of such a right.
    kept_from: u32,
    /// Whether it is slow beside the others.
    slow: bool,
    /// Whether it is for short prompts, where endpoints are parted.
    for_short: bool,
    /// Tokens that its memory holds, if that is known.
    memory: Option<unit::Tokens>,
    /// Tokens of this box's prompts that have no first token yet.
    unread: u64,
    /// How much of that is of less urgent requests than those of each tier.
    later: load::Later,
    /// Tokens of this box's prompts that it holds.
    held: u64,
    /// What the other boxes have there.
    others: Load,
    /// Runs that have no first token yet.
    pending: u32,
    /// How likely the next request fails.
    risk: risk::Risk,
    /// What that risk adds to its place in the index.
    doubt: u64,
    /// What came of requests here and other boxes have not heard of.
    outcomes: load::Count,
    /// This box's leaning to it, in thousandths of its slots.
    leaning: u64,
    /// Since when there is such a run, or when the last first token came.
    quiet_since: Duration,
    /// Its place in the index, if it stands there.
    score: Option<Score>,
    /// What it adds to the set's count of allowed requests.
    counted: u32,
}

impl Endpoint {
    /// How many requests it may run at once.
    fn allowed(&self) -> u32 {
        if !self.configured || self.leaving.is_some() || self.standing.cordoned {
            return 0;
        }
        match self.state {
            State::Ejected(_) => 0,
            State::Probing => 1,
            State::Active => self.paced().min(self.ramp).max(1),
        }
    }

    /// Its slots, lowered for slowness.
    fn paced(&self) -> u32 {
        // The product is at most `slots`, so the cast is exact.
        (f64::from(self.slots) * self.speed).ceil() as u32
    }

    /// Takes off a prompt whose first token has come, or never will.
    fn no_longer_unread(&mut self, prompt: Tokens) {
        self.unread = self.unread.saturating_sub(prompt.unread);
        self.later.remove(prompt.tier, prompt.unread);
    }

    fn score(&self) -> Option<Score> {
        let allowed = self.allowed();
        if self.running >= allowed {
            return None;
        }
        let running = self.running + self.others.running;
        let used = u64::from(running + 1) * 1000 / u64::from(allowed);
        let distance = u64::from(self.away) * AWAY + u64::from(self.far) * FAR + self.leaning;
        let waits = u64::from(self.backlog);
        Some(u64::from(self.failures) * 1_000_000 + self.doubt + used + distance + waits)
    }
}

/// A configured endpoint, as the set needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: name::Endpoint,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is configured to leave.
    pub leaving: bool,
    /// Whether it stands in another zone, so that one of this zone goes first.
    pub away: bool,
    /// Its place in an order that is the same for all boxes and takes zones in turn.
    pub place: usize,
    /// Where it stands.
    pub zone: name::Zone,
    /// Whether it is slow beside the others of its service.
    pub slow: bool,
    /// Tokens that its memory holds, if that is known.
    pub memory: Option<unit::Tokens>,
    /// What is said of sending it new work.
    pub standing: Standing,
}

/// The endpoints of a service.
#[derive(Debug, Default)]
pub(super) struct Set {
    endpoints: Vec<Endpoint>,
    names: HashMap<name::Endpoint, Index>,
    ready: BTreeSet<(Score, Index)>,
    ring: ring::Ring,
    /// The endpoints where this box has requests.
    busy: BTreeSet<Index>,
    /// The endpoints of which other boxes have not heard what came of requests here.
    met: BTreeSet<Index>,
    /// Whether any endpoint may warm up.
    warming: bool,
    hints: HashMap<message::Prefix, slots::Hint>,
    kept: home::Kept,
    allowed: u32,
    running: u32,
    refreshed: Duration,
    /// How many boxes use the endpoints beside this one.
    sharers: u32,
    /// Whether it is known what these have at the endpoints.
    others_known: bool,
    /// Failures to reach other zones.
    zones: zone::Zones,
    /// Requests that were granted to endpoints that warm up, and that were kept from them, since
    /// these were last taken.
    sent_cold: u32,
    kept_back: u32,
    /// The region of this box, if it is known.
    region: Option<name::Region>,
    /// Whether any endpoint may rest from any box.
    resting: bool,
    /// Whether any endpoint may limit its requests.
    limited: bool,
    /// The sum of all limits, if all endpoints that serve have one.
    limits: Option<f64>,
    /// The permits that this box is issued.
    issued: Meter,
    /// Requests that were kept from their home by its limit, since this was last taken.
    limit_kept: u32,
    /// Since when it is issued none, and has its part of each limit.
    alone: Option<Duration>,
    /// How many endpoints are not configured.
    unconfigured: usize,
    /// When the first ejected endpoint is to be probed.
    probe_at: Option<Duration>,
    /// What other boxes have at endpoints that are not known here.
    strangers: HashMap<name::Endpoint, Load>,
}

/// How much fuller, in thousandths, an endpoint of this zone may be than one of
/// another zone and still go first.
const AWAY: u64 = 300;
/// The same beside one of another region, on top of that: the way there and back takes about as
/// long as a short call's work, so all but the last slots nearby are taken first.
const FAR: u64 = 700;
/// How far, in thousandths of the slots, a box leans to some endpoints of a zone more than
/// to others. What boxes know of each other is older than many calls, so without it all of
/// them would send to the endpoint that was the least used a moment ago. Less than `AWAY`,
/// so that it decides within a zone only.
const LEANING: u64 = 200;
/// What certain failure adds to the place in the index, in thousandths of the slots: an
/// endpoint in doubt is used once the others have twice as many requests as slots.
const DOUBT: f64 = 2000.0;

/// The part of the endpoints that has to have gone before they are forgotten.
const GONE_PART: usize = 64;

/// Whether two regions are known to be different ones.
fn is_far(own: Option<&name::Region>, other: Option<&name::Region>) -> bool {
    own.zip(other).is_some_and(|(own, other)| own != other)
}

impl Set {
    /// A set of no endpoints, for a box in a region.
    pub(super) fn new(region: Option<name::Region>) -> Self {
        Self {
            region,
            ..Self::default()
        }
    }

    /// Sets what is configured. Endpoints that are gone keep their runs.
    pub(super) fn configure(&mut self, specs: &[Spec], now: Duration, settings: &Settings) {
        for endpoint in &mut self.endpoints {
            endpoint.configured = false;
        }
        self.warming = false;
        for spec in specs {
            let index = self.set_spec(spec, now, settings);
            self.endpoints[index.0].place = spec.place;
        }
        let unconfigured = self.endpoints.iter().filter(|e| !e.configured);
        self.unconfigured = unconfigured.count();
        self.part();
        self.rescore_all();
        self.sum_limits();
    }

    /// Sets what is configured of some endpoints, and which are configured no more. A new one stands
    /// last in the order that all boxes know until all are configured.
    pub(super) fn change(
        &mut self,
        specs: &[Spec],
        gone: &[name::Endpoint],
        now: Duration,
        settings: &Settings,
    ) {
        for name in gone {
            let Some(index) = self.names.get(name).copied() else {
                continue;
            };
            let configured = &mut self.endpoints[index.0].configured;
            self.unconfigured += usize::from(std::mem::take(configured));
            self.rescore(index);
        }
        for spec in specs {
            let index = self.set_spec(spec, now, settings);
            self.rescore(index);
        }
        self.sum_limits();
    }

    fn set_spec(&mut self, spec: &Spec, now: Duration, settings: &Settings) -> Index {
        let index = self.index_of_start(&spec.name, spec.standing.incarnation, settings);
        let endpoint = &mut self.endpoints[index.0];
        if !endpoint.configured {
            self.unconfigured = self.unconfigured.saturating_sub(1);
        }
        endpoint.configured = true;
        endpoint.slots = spec.slots;
        endpoint.away = spec.away;
        endpoint.zone = spec.zone.clone();
        endpoint.standing = spec.standing.clone();
        endpoint.far = is_far(self.region.as_ref(), spec.standing.region.as_ref());
        endpoint.slow = spec.slow;
        endpoint.memory = spec.memory;
        self.warming |= spec.standing.warming.is_some();
        self.limited |= spec.standing.limit.is_some();
        match (spec.leaving, endpoint.leaving) {
            (true, None) => endpoint.leaving = Some(now),
            (false, Some(_)) => endpoint.leaving = None,
            _ => {}
        }
        index
    }

    /// Parts the endpoints between short and long prompts.
    fn part(&mut self) {
        let configured = self.endpoints.iter_mut().filter(|e| e.configured);
        let mut in_order: Vec<_> = configured.collect();
        in_order.sort_by_key(|endpoint| endpoint.place);
        let slow: Vec<_> = in_order.iter().map(|endpoint| endpoint.slow).collect();
        for (endpoint, short) in in_order.into_iter().zip(placement::part(&slow)) {
            endpoint.for_short = short;
        }
    }

    fn index_or_add(&mut self, name: &name::Endpoint, settings: &Settings) -> Index {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let index = Index(self.endpoints.len());
        self.names.insert(name.clone(), index);
        self.unconfigured += 1;
        let others = self.strangers.remove(name).unwrap_or_default();
        let hash = rendezvous::hash(&[name.as_str()]);
        self.ring.add(hash, index);
        let leaning = rendezvous::hash(&[&settings.seed.to_string(), name.as_str()]) % LEANING;
        let mut permits = Permits::default();
        permits.set_alone(throttle::alone(self.alone, self.sharers, leaning));
        self.endpoints.push(Endpoint {
            name: name.clone(),
            slots: 0,
            running: 0,
            state: State::Active,
            leaving: None,
            configured: false,
            failures: 0,
            ejections: 0,
            ramp: settings.ramp,
            pace: estimate::Ewma::default(),
            speed: 1.0,
            backlog: 0,
            away: false,
            far: false,
            place: usize::MAX,
            hash,
            zone: own_zone(),
            standing: Standing::default(),
            start: None,
            rests: BTreeMap::new(),
            pass: warm_up::Pass::default(),
            permits,
            kept_from: 0,
            slow: false,
            for_short: true,
            memory: None,
            unread: 0,
            later: load::Later::default(),
            held: 0,
            others,
            pending: 0,
            risk: risk::Risk::default(),
            doubt: 0,
            outcomes: load::Count::default(),
            leaning,
            quiet_since: Duration::ZERO,
            score: None,
            counted: 0,
        });
        index
    }

    /// Notes the first sign that an endpoint leaves, or that it came back.
    pub(super) fn set_leaving(&mut self, name: &name::Endpoint, leaving: bool, now: Duration) {
        let Some(index) = self.names.get(name).copied() else {
            return;
        };
        let endpoint = &mut self.endpoints[index.0];
        if leaving {
            endpoint.leaving.get_or_insert(now);
        } else {
            endpoint.leaving = None;
        }
        self.rescore(index);
    }

    /// Notes a load report: requests that wait inside of the endpoint.
    pub(super) fn set_backlog(&mut self, name: &name::Endpoint, waiting: u32) {
        let Some(index) = self.names.get(name).copied() else {
            return;
        };
        self.endpoints[index.0].backlog = waiting;
        self.rescore(index);
    }

    /// How many requests may run at once in all.
    pub(super) fn allowed(&self) -> u32 {
        self.allowed
    }

    /// How many run.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn name(&self, index: Index) -> &name::Endpoint {
        &self.endpoints[index.0].name
    }

    /// Sets how many boxes use the endpoints, this one included.
    pub(super) fn set_sharers(&mut self, count: u32) {
        self.sharers = count.saturating_sub(1);
    }

    /// Frees a slot with the tokens of a prompt, of a run that was `answered` or not.
    pub(super) fn free(&mut self, index: Index, prompt: Tokens, answered: bool) {
        let endpoint = &mut self.endpoints[index.0];
        endpoint.held = endpoint.held.saturating_sub(prompt.unread);
        if !answered {
            endpoint.pending = endpoint.pending.saturating_sub(1);
            endpoint.no_longer_unread(prompt);
        }
        endpoint.running = endpoint.running.saturating_sub(1);
        if endpoint.running == 0 {
            self.busy.remove(&index);
        }
        self.running = self.running.saturating_sub(1);
        self.rescore(index);
    }

    fn rescore_all(&mut self) {
        for i in 0..self.endpoints.len() {
            self.rescore(Index(i));
        }
    }

    /// Brings an endpoint's place in the index up to date.
    fn rescore(&mut self, index: Index) {
        let endpoint = &mut self.endpoints[index.0];
        if let Some(score) = endpoint.score.take() {
            self.ready.remove(&(score, index));
        }
        endpoint.score = endpoint.score();
        if let Some(score) = endpoint.score {
            self.ready.insert((score, index));
        }
        let allowed = endpoint.allowed();
        self.allowed = self.allowed - endpoint.counted + allowed;
        endpoint.counted = allowed;
    }

    /// A view of each endpoint that is configured or still runs something.
    pub(super) fn views(&self) -> impl Iterator<Item = View> + '_ {
        self.endpoints
            .iter()
            .filter(|e| e.configured || e.running > 0)
            .map(|e| View {
                name: e.name.clone(),
                slots: e.slots,
                running: e.running,
                others: e.others.running,
                allowed: e.allowed(),
                ejected: matches!(e.state, State::Ejected(_)),
                leaving: e.leaving.is_some(),
                warming: e.standing.warming.map(|warming| warming.until),
            })
    }

    /// Forgets the endpoints that are gone, at a time when nothing runs. It looks at all of them, so
    /// it waits until a part of them has gone.
    pub(super) fn forget_gone(&mut self) {
        let few = self.unconfigured * GONE_PART < self.endpoints.len();
        if self.running > 0 || self.unconfigured == 0 || few {
            return;
        }
        self.unconfigured = 0;
        let mut next = 0;
        let stays = self.endpoints.iter().map(|endpoint| {
            let index = Index(next);
            next += usize::from(endpoint.configured);
            endpoint.configured.then_some(index)
        });
        let new: Vec<Option<Index>> = stays.collect();
        // A box with few requests is often at rest. If it forgot by this where prompts are
        // kept, each endpoint that goes would have all of them read again.
        self.kept.reindex(|old| new[old.0]);
        self.met = self.met.iter().filter_map(|old| new[old.0]).collect();
        self.hints.retain(|_, hint| {
            let moved = new[hint.index.0];
            hint.index = moved.unwrap_or(hint.index);
            moved.is_some()
        });
        self.ready.clear();
        self.allowed = 0;
        self.endpoints.retain(|e| e.configured);
        // At rest none is left of those that a later start took the place of.
        let names = self.endpoints.iter().enumerate();
        self.names = names.map(|(i, e)| (e.name.clone(), Index(i))).collect();
        self.ring.clear();
        for (i, endpoint) in self.endpoints.iter_mut().enumerate() {
            endpoint.score = None;
            endpoint.counted = 0;
            self.ring.add(endpoint.hash, Index(i));
        }
        self.rescore_all();
    }
}

/// How an endpoint stands, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Its name.
    pub name: name::Endpoint,
    /// Configured slots.
    pub slots: u32,
    /// Slots that are held.
    pub running: u32,
    /// Slots that other boxes hold, as far as that is known.
    pub others: u32,
    /// Slots that may be used now.
    pub allowed: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it leaves.
    pub leaving: bool,
    /// Until when it warms up, if it did when it was configured last.
    pub warming: Option<Duration>,
}
