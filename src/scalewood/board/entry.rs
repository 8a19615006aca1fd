//! The shared state of an entry box.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use jsonrpsee::ws_client::WsClient;
use tokio::sync::{mpsc, watch, Notify};

use crate::{
    board::{feed, view},
    core::{
        attempt, backoff, build, catchup, claim, config, crash, dispatch, estimate, limit, load,
        member, name, origin, pace, reach, region, registry, rejection, residency, retry, stop,
        throttle, unit, usage, wall_clock, warm_up,
    },
    util::{
        clock::Clock,
        lock::{lock, Sharded},
        metric,
    },
    wire::peer::Load,
};

/// The identity of this box and the settings that describe it.
#[derive(Clone, Debug)]
pub struct Own {
    /// The box's name.
    pub name: name::Box,
    /// The box's availability zone.
    pub zone: name::Zone,
    /// The availability zones that the settings name, with their regions.
    pub regions: region::Map,
    /// By how much requests to warming endpoints may exceed what these can handle.
    pub warm_up_leeway: warm_up::Leeway,
    /// How much all boxes together may add to a service's load by retries.
    pub retries: retry::Allowance,
    /// The number of this start of the box.
    pub incarnation: unit::Incarnation,
}

/// An open request of this box.
#[derive(Debug)]
pub struct Ticket {
    /// The service.
    pub service: name::Service,
    /// The zone whose dispatcher is asked for a slot.
    pub zone: name::Zone,
    /// The box whose dispatcher was asked last, if one was known.
    pub dispatcher: Option<name::Box>,
    /// The request for a slot. Its age is as of `asked_at`.
    pub ask: dispatch::Ask,
    /// The configuration items that determine the regions in which it may be served.
    pub source: residency::Source,
    /// When the request for a slot was made.
    pub asked_at: Duration,
    /// The endpoint at which it runs, and since when; `None` while it waits.
    pub held_at: Option<(name::Endpoint, Duration)>,
    /// The tokens that this attempt has delivered, as last reported to the dispatcher. Stays 0 if
    /// the run can't be preempted.
    pub tokens: unit::Tokens,
    /// The queue for the dispatcher's orders to this request.
    pub orders: mpsc::UnboundedSender<dispatch::Order>,
}

impl Ticket {
    /// Sets the regions in which this request may be served to those that a configuration allows,
    /// if it is waiting. Returns the reports for its dispatcher if the regions changed.
    ///
    /// The reports end the attempt, even if a grant for it is on its way, and ask again under the
    /// next attempt number, so that no grant under the previous configuration is used.
    pub fn renew_residency(
        &mut self,
        document: &config::Document,
        now: Duration,
    ) -> Option<[dispatch::Report; 2]> {
        let allowed = self.source.in_force(document, &self.ask.allowed);
        if self.held_at.is_some() || allowed == self.ask.allowed {
            return None;
        }
        let unused = dispatch::End::Unused;
        let end = dispatch::Report::End(self.ask.attempt, unused, unit::Tokens(0));
        self.ask.allowed = allowed;
        Some([end, self.report_again(now)])
    }

    /// Returns the report that informs a dispatcher that does not know this request.
    ///
    /// A waiting request gets the next attempt number: a grant for the previous one may be on its
    /// way, and the new dispatcher will issue another.
    pub fn report_again(&mut self, now: Duration) -> dispatch::Report {
        if self.held_at.is_none() {
            self.ask.attempt = self.ask.attempt.next();
        }
        let mut ask = self.ask.clone();
        ask.age += now.saturating_sub(self.asked_at);
        match &self.held_at {
            None => dispatch::Report::Ask(ask),
            Some((endpoint, since)) => dispatch::Report::Held(dispatch::Held {
                ask,
                endpoint: endpoint.clone(),
                tokens: self.tokens,
                held_for: now.saturating_sub(*since),
            }),
        }
    }
}

/// The token buckets of a team's limits.
#[derive(Debug)]
pub struct Buckets {
    /// The bucket for requests.
    pub requests: Option<limit::Bucket>,
    /// The bucket for model tokens.
    pub tokens: Option<limit::Bucket>,
}

/// A report to another box's dispatcher, and the dispatcher's service.
pub type Report = (name::Service, dispatch::Report);

/// The shared state of an entry box.
#[derive(Debug)]
pub struct Board<C> {
    /// This box's identity.
    pub own: Own,
    /// The clock.
    pub clock: C,
    /// The log.
    pub log: slog::Logger,
    /// The metrics.
    pub metrics: metric::Metrics,
    /// The configuration as this box receives it and serves it to others.
    pub feed: Arc<feed::Feed>,
    /// The configuration as request handling uses it.
    pub view: ArcSwap<view::View>,
    /// Open requests.
    pub tickets: Sharded<attempt::Request, Ticket>,
    /// The dispatchers that run on this box.
    pub dispatchers: Sharded<name::Service, dispatch::Dispatcher>,
    /// The rate-limit buckets of teams, each created at a team's first limited request.
    pub team_buckets: Sharded<name::Team, Buckets>,
    /// The retry budgets of routes.
    pub budgets: Sharded<name::Service, retry::Budget>,
    /// The retry budgets of scalewood's own API.
    pub api_budgets: Sharded<name::Service, retry::LocalBudget>,
    /// The zone's membership.
    pub members: Mutex<member::Members>,
    /// The live boxes of the zone, including this one unless it is draining.
    pub live_boxes: ArcSwap<Vec<name::Box>>,
    /// The claims that this box holds.
    pub claims: Mutex<claim::Holder>,
    /// The loads of dispatchers, with the time of their measurement.
    pub loads: Mutex<BTreeMap<(name::Service, name::Zone), (Load, Duration)>>,
    /// The queues of reports to other boxes' dispatchers.
    pub links: Mutex<HashMap<name::Box, mpsc::UnboundedSender<Report>>>,
    /// The boxes that are subscribed to the orders of this box's dispatchers.
    pub subscribers: Mutex<HashMap<name::Box, mpsc::UnboundedSender<dispatch::Order>>>,
    /// The dispatchers that other boxes have dropped, and with them the reports about this box's
    /// requests.
    pub lost_dispatchers: Mutex<BTreeSet<(name::Box, name::Service)>>,
    /// The endpoints that registered themselves.
    pub registry: Mutex<registry::Registry>,
    /// When each zone was uncordoned.
    pub uncordoned: Mutex<warm_up::Uncordoned>,
    /// The endpoints that are assumed to be warming up, and until when.
    pub warming: Mutex<BTreeMap<name::Endpoint, Duration>>,
    /// The paces of endpoints, as measured by this box or adopted from other boxes.
    pub paces: Mutex<pace::Meters>,
    /// The backoffs that endpoints have requested.
    pub backoffs: Mutex<backoff::Book>,
    /// The limits that endpoints set on the requests from all boxes together.
    pub endpoint_limits: Mutex<throttle::Book>,
    /// The limits on rejections that endpoints state.
    pub rejection_limits: Mutex<rejection::Book>,
    /// The services to which such limits apply.
    pub rejection_limited: Mutex<BTreeSet<name::Service>>,
    /// Whether `rejection_limited` has any services.
    pub has_rejection_limits: AtomicBool,
    /// How each service's endpoints process prompts, as all boxes have measured it.
    pub prefills: Mutex<BTreeMap<name::Service, load::Measured>>,
    /// Whether the links of this box to the endpoints of each service work.
    pub links_to_endpoints: Mutex<reach::Tracker>,
    /// Whether `links_to_endpoints` has any failures.
    pub has_link_failures: AtomicBool,
    /// The boxes that may serve requests for this one.
    pub peers: Mutex<reach::Peers>,
    /// Counts the changes of `links_to_endpoints` and `peers` that concern requests.
    pub reach_changed: watch::Sender<usize>,
    /// Where this box accepts requests from other boxes, once it listens there.
    pub forwarded_at: Mutex<Option<SocketAddr>>,
    /// The requests during which endpoints have crashed.
    pub crashes: Mutex<crash::Book>,
    /// The requests that have completed recently.
    pub completions: Mutex<crash::Completions>,
    /// Whether an exchange with a voter, which reports the held-back requests, has succeeded since
    /// this process started.
    pub held_back_known: AtomicBool,
    /// Counts the changes after which more requests are held back; each wakes the waiting requests.
    pub held_back: watch::Sender<usize>,
    /// The start of the last exchange with a voter that was answered.
    pub last_exchange_at: watch::Sender<Duration>,
    /// Makes the next exchange with a voter begin at once.
    pub exchange_now: Notify,
    /// The number of requests that endpoints have begun for this box, by team and window.
    pub usage: Mutex<usage::Tally>,
    /// This box's estimate of the time of day that the voters agree on.
    pub wall_clock: Mutex<wall_clock::Follower>,
    /// A random number that distinguishes this start of the process from others of the same box.
    pub start: u64,
    /// The origins of the streams that began or went on here.
    pub origins: Mutex<origin::Book>,
    /// Counts the changes of `origins`.
    pub origins_changed: watch::Sender<usize>,
    /// The known voters, with the connection to each while there is one.
    pub voters: Mutex<BTreeMap<SocketAddr, Option<Arc<WsClient>>>>,
    /// The number of voters whose registries this box follows.
    pub followed_voters: watch::Sender<u32>,
    /// Since when this box has followed at least one voter's registry, if it does.
    pub registry_followed_since: Mutex<Option<Duration>>,
    /// The number of boxes that use the same endpoints, including this one; 0 if unknown.
    pub box_count: AtomicU32,
    /// The configuration revisions that followed voters announce, and which voter was asked for
    /// one.
    pub catchup: Mutex<catchup::Catchup>,
    /// Wakes the fetcher when a voter announces a newer configuration.
    pub config_announced: Notify,
    /// Whether this box is draining before it stops.
    pub draining: AtomicBool,
    /// When this box ends, once it was told to stop.
    pub stop: watch::Sender<Option<stop::Plan>>,
    /// How long the longest of the recent runs at endpoints of each service took.
    pub run_times: Sharded<name::Service, estimate::Peak>,
    /// Whether this box can accept connections from callers.
    pub accepts: AtomicBool,
    /// Whether this box accepts new requests.
    pub ready: AtomicBool,
    /// When `beat` was last called, in milliseconds of the board's clock.
    last_beat_ms: AtomicU64,
    /// Until when messages may be out of date, in milliseconds of the board's clock.
    stale_until_ms: AtomicU64,
    /// How many times the process was frozen.
    freezes: AtomicU64,
}

/// The most streams whose origins a box remembers, some 2 MB.
const MAX_ORIGINS: usize = 16_384;
/// The time without a call to `beat` after which the process counts as having been frozen.
const MIN_FREEZE: Duration = Duration::from_millis(1000);
/// How long after a freeze messages such as grants are treated as possibly out of date.
const STALE_AFTER_FREEZE: Duration = Duration::from_millis(500);

impl<C: Clock> Board<C> {
    /// Creates the state of a box that has just started.
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
        let backoffs = backoff::Book::new(own.name.clone());
        Self {
            own,
            clock,
            log,
            metrics: metric::Metrics::default(),
            feed: Arc::default(),
            view: ArcSwap::default(),
            tickets: Sharded::default(),
            dispatchers: Sharded::default(),
            team_buckets: Sharded::default(),
            budgets: Sharded::default(),
            api_budgets: Sharded::default(),
            members: Mutex::new(members),
            live_boxes: ArcSwap::default(),
            claims: Mutex::new(claims),
            loads: Mutex::default(),
            links: Mutex::default(),
            subscribers: Mutex::default(),
            lost_dispatchers: Mutex::default(),
            registry: Mutex::default(),
            uncordoned: Mutex::default(),
            warming: Mutex::default(),
            paces: Mutex::default(),
            backoffs: Mutex::new(backoffs),
            endpoint_limits: Mutex::default(),
            rejection_limits: Mutex::default(),
            rejection_limited: Mutex::default(),
            has_rejection_limits: AtomicBool::new(false),
            prefills: Mutex::default(),
            links_to_endpoints: Mutex::default(),
            has_link_failures: AtomicBool::new(false),
            peers: Mutex::default(),
            reach_changed: watch::Sender::new(0),
            forwarded_at: Mutex::default(),
            crashes: Mutex::default(),
            completions: Mutex::default(),
            held_back_known: AtomicBool::new(false),
            held_back: watch::Sender::new(0),
            last_exchange_at: watch::Sender::new(now),
            exchange_now: Notify::new(),
            usage: Mutex::new(usage::Tally::new(usage_window)),
            wall_clock: Mutex::default(),
            start: rand::random(),
            origins: Mutex::new(origin::Book::new(MAX_ORIGINS)),
            origins_changed: watch::Sender::new(0),
            voters: Mutex::default(),
            followed_voters: watch::Sender::new(0),
            registry_followed_since: Mutex::new(None),
            box_count: AtomicU32::new(0),
            catchup: Mutex::default(),
            config_announced: Notify::new(),
            draining: AtomicBool::new(false),
            stop: watch::Sender::new(None),
            run_times: Sharded::default(),
            accepts: AtomicBool::new(true),
            ready: AtomicBool::new(false),
            last_beat_ms: AtomicU64::new(millis(now)),
            stale_until_ms: AtomicU64::new(0),
            freezes: AtomicU64::new(0),
        }
    }

    /// Records that the process is running; a long gap between calls means that it was frozen.
    pub fn beat(&self) {
        let now = self.clock.now();
        let last = self.last_beat_ms.swap(millis(now), Ordering::Relaxed);
        if millis(now).saturating_sub(last) > millis(MIN_FREEZE) {
            self.freezes.fetch_add(1, Ordering::Relaxed);
            self.stale_until_ms
                .store(millis(now + STALE_AFTER_FREEZE), Ordering::Relaxed);
        }
    }

    /// Returns how many times the process was frozen.
    pub fn freezes(&self) -> u64 {
        self.freezes.load(Ordering::Relaxed)
    }

    /// Returns whether a message that is read now may be out of date, because the process was
    /// frozen while it waited to be read.
    pub fn may_be_stale(&self) -> bool {
        let now = millis(self.clock.now());
        let gap = now.saturating_sub(self.last_beat_ms.load(Ordering::Relaxed));
        gap > millis(MIN_FREEZE) || now < self.stale_until_ms.load(Ordering::Relaxed)
    }

    /// Returns whether an endpoint's zone is cordoned in the newest configuration of this box,
    /// which the dispatchers may not have received yet.
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

    /// Returns how much longer an endpoint wants no requests from this box, if it asked for that.
    pub fn remaining_backoff(&self, endpoint: &name::Endpoint) -> Option<Duration> {
        let start = self.start_of(endpoint);
        lock(&self.backoffs).remaining(endpoint, start, self.clock.now())
    }

    /// Updates a backoff to the known start of its endpoint and the time that is left; returns
    /// whether the backoff still applies.
    pub fn renew_backoff(&self, notice: &mut backoff::Notice) -> bool {
        let Some(left) = self.remaining_backoff(&notice.endpoint) else {
            return false;
        };
        notice.remaining = left;
        notice.start = self.start_of(&notice.endpoint);
        true
    }

    /// Returns the limit that an endpoint sets on the requests from all boxes together, if any.
    pub fn limit_of(&self, endpoint: &name::Endpoint) -> Option<throttle::Limit> {
        let start = self.start_of(endpoint);
        lock(&self.endpoint_limits).limit(endpoint, start)
    }

    /// Returns the known start of an endpoint, or `None` if it is not registered or reports none.
    pub fn start_of(&self, endpoint: &name::Endpoint) -> registry::Start {
        lock(&self.registry)
            .get(endpoint)
            .and_then(|record| record.incarnation)
    }

    /// Returns the build of a registered or configured endpoint.
    pub fn build_of(&self, endpoint: &name::Endpoint) -> build::Build {
        let registered = lock(&self.registry).get(endpoint).map(|r| r.build.clone());
        registered.unwrap_or_else(|| {
            let document = &self.view.load().document;
            let configured = document.endpoints.get(endpoint);
            configured.map_or_else(build::Build::default, |e| e.build.clone())
        })
    }

    /// Returns whether a registered endpoint is known here to be leaving.
    pub fn is_leaving(&self, endpoint: &name::Endpoint) -> bool {
        let registry = lock(&self.registry);
        let known = registry.get(endpoint);
        known.is_some_and(|record| record.state == registry::State::Leaving)
    }

    /// Adds a request that an endpoint has begun to a team's usage.
    pub fn count_usage(&self, team: &name::Team) {
        let now = self.clock.now();
        let unix_ms = lock(&self.wall_clock).unix_ms(self.clock.unix_ms(), now);
        lock(&self.usage).count(team, unix_ms);
    }

    /// Returns whether this box is draining before it stops.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the queue of reports to another box, if there is a link to it.
    pub fn link_queue(&self, to: &name::Box) -> Option<mpsc::UnboundedSender<Report>> {
        lock(&self.links).get(to).cloned()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
