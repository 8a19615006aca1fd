//! The facts of an entry box.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch, Notify};

use crate::{
    board::{feed, view},
    core::{
        attempt, backoff, catchup, claim, config, crash, dispatch, limit, member, name, pace,
        region, registry, residency, retry, throttle, unit, usage, wall_clock, warm_up,
    },
    util::{
        clock::Clock,
        lock::{lock, Sharded},
        metric,
    },
    wire::peer::Load,
};

/// What this box is, from its settings.
#[derive(Clone, Debug)]
pub struct Own {
    /// Its name.
    pub name: name::Box,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The availability zones that are known beforehand, with their regions.
    pub regions: region::Map,
    /// How far requests to endpoints that warm up may go beyond what these bear.
    pub leeway: warm_up::Leeway,
    /// Which start of the box this is.
    pub incarnation: unit::Incarnation,
}

/// An open request of this box.
#[derive(Debug)]
pub struct Ticket {
    /// The service.
    pub service: name::Service,
    /// The zone whose dispatcher is asked.
    pub zone: name::Zone,
    /// The dispatcher that was asked last.
    pub dispatcher: Option<name::Box>,
    /// What was asked for; its age counts from `asked_at`.
    pub ask: dispatch::Ask,
    /// What says where it may be served.
    pub source: residency::Source,
    /// When it was asked for.
    pub asked_at: Duration,
    /// The endpoint that it runs at, and since when.
    pub held: Option<(name::Endpoint, Duration)>,
    /// Tokens that this attempt has delivered.
    pub tokens: unit::Tokens,
    /// Where orders go.
    pub orders: mpsc::UnboundedSender<dispatch::Order>,
}

impl Ticket {
    /// Brings it up to where a configuration allows it to be served, if it waits; what its
    /// dispatcher has to be told, if that changed.
    ///
    /// The dispatcher forgets the attempt, also if it has just granted it, and is asked under
    /// the next number: no grant by the configuration before is used.
    pub fn renew_residency(
        &mut self,
        document: &config::Document,
        now: Duration,
    ) -> Option<[dispatch::Report; 2]> {
        let allowed = self.source.in_force(document, &self.ask.allowed);
        if self.held.is_some() || allowed == self.ask.allowed {
            return None;
        }
        let unused = dispatch::End::Unused;
        let end = dispatch::Report::End(self.ask.attempt, unused, unit::Tokens(0));
        self.ask.allowed = allowed;
        Some([end, self.tell_anew(now)])
    }

    /// What a dispatcher that knows nothing of it has to be told.
    ///
    /// A request that waits is asked for under the next number: a grant for the last one
    /// may be on its way, and the dispatcher will give another.
    pub fn tell_anew(&mut self, now: Duration) -> dispatch::Report {
        if self.held.is_none() {
            self.ask.attempt = self.ask.attempt.next();
        }
        let mut ask = self.ask.clone();
        ask.age += now.saturating_sub(self.asked_at);
        match &self.held {
            None => dispatch::Report::Ask(ask),
            Some((endpoint, since)) => dispatch::Report::Held(dispatch::Held {
                ask,
                endpoint: endpoint.clone(),
                tokens: self.tokens,
                held: now.saturating_sub(*since),
            }),
        }
    }
}

/// The buckets of a team in use.
#[derive(Debug)]
pub struct Buckets {
    /// Requests.
    pub requests: Option<limit::Bucket>,
    /// Model tokens.
    pub tokens: Option<limit::Bucket>,
}

/// A report for another box's dispatcher.
pub type Told = (name::Service, dispatch::Report);

/// The facts of an entry box.
#[derive(Debug)]
pub struct Board<C> {
    /// What this box is.
    pub own: Own,
    /// The clock.
    pub clock: C,
    /// The log.
    pub log: slog::Logger,
    /// The metrics.
    pub metrics: metric::Metrics,
    /// The configuration as it is followed.
    pub feed: Arc<feed::Feed>,
    /// The configuration as requests need it.
    pub view: ArcSwap<view::View>,
    /// Open requests.
    pub tickets: Sharded<attempt::Request, Ticket>,
    /// Dispatchers that this box holds.
    pub dispatchers: Sharded<name::Service, dispatch::Dispatcher>,
    /// Limits of the teams in use.
    pub limits: Sharded<name::Team, Buckets>,
    /// Retry budgets.
    pub budgets: Sharded<name::Service, retry::Budget>,
    /// The zone's membership.
    pub members: Mutex<member::Members>,
    /// The boxes of the zone that are alive, this one included.
    pub alive: ArcSwap<Vec<name::Box>>,
    /// Claims that this box holds.
    pub claims: Mutex<claim::Holder>,
    /// Loads of dispatchers, with the time at which they were measured.
    pub loads: Mutex<BTreeMap<(name::Service, name::Zone), (Load, Duration)>>,
    /// Queues towards other boxes' dispatchers.
    pub links: Mutex<HashMap<name::Box, mpsc::UnboundedSender<Told>>>,
    /// Subscribers to the orders of the dispatchers here.
    pub subscribers: Mutex<HashMap<name::Box, mpsc::UnboundedSender<dispatch::Order>>>,
    /// Dispatchers of other boxes that have gone with what they were told.
    pub gone: Mutex<BTreeSet<(name::Box, name::Service)>>,
    /// Endpoints that announced themselves.
    pub registry: Mutex<registry::Registry>,
    /// When zones were uncordoned.
    pub uncordoned: Mutex<warm_up::Uncordoned>,
    /// The warm-ups that are believed in, and until when.
    pub warming: Mutex<BTreeMap<name::Endpoint, Duration>>,
    /// How fast endpoints go, as this box measures it.
    pub paces: Mutex<pace::Meters>,
    /// The endpoints that rest from this box.
    pub rests: Mutex<backoff::Book>,
    /// The limits that endpoints set to requests from all boxes together.
    pub throttles: Mutex<throttle::Book>,
    /// The requests under which endpoints have ended.
    pub crashes: Mutex<crash::Book>,
    /// Whether a voter has told which requests are held back since this process started.
    pub held_back_known: AtomicBool,
    /// Wakes requests that wait when others than before are held back.
    pub held_back: watch::Sender<usize>,
    /// When the last exchange with a voter that was answered had begun.
    pub exchanged: watch::Sender<Duration>,
    /// Has the next exchange with a voter begin at once.
    pub exchange_now: Notify,
    /// The requests that endpoints have begun for this box, by team and window.
    pub usage: Mutex<usage::Tally>,
    /// The time of day that the voters agree on.
    pub wall: Mutex<wall_clock::Follower>,
    /// Tells this start of the process from others of the same box.
    pub start: u64,
    /// How many voters' registries are followed.
    pub links_up: watch::Sender<u32>,
    /// Since when at least one voter's registry is followed, if any is.
    pub linked_since: Mutex<Option<Duration>>,
    /// How many boxes use the same endpoints, this one included; 0 if that is not known.
    pub sharers: AtomicU32,
    /// Which configuration the voters that are followed tell of, and who was asked for it.
    pub catchup: Mutex<catchup::Catchup>,
    /// Wakes the fetcher when a voter tells of a newer configuration.
    pub told: Notify,
    /// Whether this box is about to stop.
    pub draining: AtomicBool,
    /// Whether callers' connections can be taken.
    pub accepts: AtomicBool,
    /// Whether this box takes new work.
    pub ready: AtomicBool,
    pulse: AtomicU64,
    stale_until: AtomicU64,
    freezes: AtomicU64,
}

/// A gap in the pulse after which the process counts as having been frozen.
const FREEZE: Duration = Duration::from_millis(1000);
/// How long after a freeze grants are not trusted.
const DISTRUST: Duration = Duration::from_millis(500);

impl<C: Clock> Board<C> {
    /// A board with nothing on it.
    pub fn new(
        own: Own,
        clock: C,
        log: slog::Logger,
        retention: Duration,
        usage_window: Duration,
    ) -> Self {
        let now = clock.now();
        let members = member::Members::new(
            member::Settings::default(),
            own.name.clone(),
            own.incarnation,
            rand::random(),
        );
        let claims = claim::Holder::new(own.name.clone(), retention, now);
        let rests = backoff::Book::new(own.name.clone());
        Self {
            own,
            clock,
            log,
            metrics: metric::Metrics::default(),
            feed: Arc::default(),
            view: ArcSwap::default(),
            tickets: Sharded::default(),
            dispatchers: Sharded::default(),
            limits: Sharded::default(),
            budgets: Sharded::default(),
            members: Mutex::new(members),
            alive: ArcSwap::default(),
            claims: Mutex::new(claims),
            loads: Mutex::default(),
            links: Mutex::default(),
            subscribers: Mutex::default(),
            gone: Mutex::default(),
            registry: Mutex::default(),
            uncordoned: Mutex::default(),
            warming: Mutex::default(),
            paces: Mutex::default(),
            rests: Mutex::new(rests),
            throttles: Mutex::default(),
            crashes: Mutex::default(),
            held_back_known: AtomicBool::new(false),
            held_back: watch::Sender::new(0),
            exchanged: watch::Sender::new(now),
            exchange_now: Notify::new(),
            usage: Mutex::new(usage::Tally::new(usage_window)),
            wall: Mutex::default(),
            start: rand::random(),
            links_up: watch::Sender::new(0),
            linked_since: Mutex::new(None),
            sharers: AtomicU32::new(0),
            catchup: Mutex::default(),
            told: Notify::new(),
            draining: AtomicBool::new(false),
            accepts: AtomicBool::new(true),
            ready: AtomicBool::new(false),
            pulse: AtomicU64::new(millis(now)),
            stale_until: AtomicU64::new(0),
            freezes: AtomicU64::new(0),
        }
    }

    /// Notes that the process runs; a long gap means that it was frozen.
    pub fn beat(&self) {
        let now = self.clock.now();
        let last = self.pulse.swap(millis(now), Ordering::Relaxed);
        if millis(now).saturating_sub(last) > millis(FREEZE) {
            self.freezes.fetch_add(1, Ordering::Relaxed);
            self.stale_until
                .store(millis(now + DISTRUST), Ordering::Relaxed);
        }
    }

    /// How often the process was frozen for long.
    pub fn freezes(&self) -> u64 {
        self.freezes.load(Ordering::Relaxed)
    }

    /// Whether a message that is read now may be long out of date, because the process
    /// was frozen while it waited to be read.
    pub fn may_be_stale(&self) -> bool {
        let now = millis(self.clock.now());
        let gap = now.saturating_sub(self.pulse.load(Ordering::Relaxed));
        gap > millis(FREEZE) || now < self.stale_until.load(Ordering::Relaxed)
    }

    /// Whether an endpoint's zone is cordoned by the newest configuration here, which the
    /// dispatchers may not have yet.
    pub fn is_cordoned(&self, endpoint: &name::Endpoint) -> bool {
        let document = self.feed.current().document.clone();
        if document.cordoned.is_empty() {
            return false;
        }
        if let Some(configured) = document.endpoints.get(endpoint) {
            return document.cordoned.contains(&configured.zone);
        }
        let registry = lock(&self.registry);
        let registered = registry.get(endpoint);
        registered.is_some_and(|record| document.cordoned.contains(&record.zone))
    }

    /// How much longer an endpoint rests from this box, if it does.
    pub fn rest_left(&self, endpoint: &name::Endpoint) -> Option<Duration> {
        let start = self.start_of(endpoint);
        lock(&self.rests).remaining(endpoint, start, self.clock.now())
    }

    /// Brings what is told of a rest up to the start of its endpoint that is known now; whether that
    /// rests.
    pub fn renew_rest(&self, told: &mut backoff::Notice) -> bool {
        let Some(left) = self.rest_left(&told.endpoint) else {
            return false;
        };
        told.remaining = left;
        told.start = self.start_of(&told.endpoint);
        true
    }

    /// The limit that an endpoint sets to requests from all boxes together, if it has one.
    pub fn limit_of(&self, endpoint: &name::Endpoint) -> Option<throttle::Limit> {
        let start = self.start_of(endpoint);
        lock(&self.throttles).limit(endpoint, start)
    }

    /// Which start of an endpoint is known; none where endpoints tell none.
    pub fn start_of(&self, endpoint: &name::Endpoint) -> registry::Start {
        lock(&self.registry)
            .get(endpoint)
            .and_then(|record| record.incarnation)
    }

    /// Whether an endpoint that announced itself is known here to leave.
    pub fn is_leaving(&self, endpoint: &name::Endpoint) -> bool {
        let registry = lock(&self.registry);
        let known = registry.get(endpoint);
        known.is_some_and(|record| record.state == registry::State::Leaving)
    }

    /// Counts a request that an endpoint has begun.
    pub fn count_usage(&self, team: &name::Team) {
        let now = self.clock.now();
        let unix_ms = lock(&self.wall).unix_ms(self.clock.unix_ms(), now);
        lock(&self.usage).count(team, unix_ms);
    }

    /// Whether this box is about to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// The link queue towards a box, if a link is kept.
    pub fn link(&self, to: &name::Box) -> Option<mpsc::UnboundedSender<Told>> {
        lock(&self.links).get(to).cloned()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
