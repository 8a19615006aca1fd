//! Exchanges with the other boxes what each has at the endpoints, by way of a voter.
//!
//! A box uses a voter of its own zone, or the first that it reaches where there is none.
//! Voters tell each other of their boxes. While no voter answers, the dispatchers guess from
//! what this box has.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;

use crate::{
    core::{self, crash::Cursor, crash::Scope, dispatch, follow, load, name, usage, warm_up},
    event,
    ops::entry::{crash, desk, directory::Followed, now, throttle, Shared},
    util::{lock::lock, metric},
    wire::registry::RegistryClient as _,
};

/// How often loads are exchanged at most.
const PERIOD: Duration = Duration::from_millis(100);
/// What each box that uses the same voter adds to that, so that a voter bears any number of
/// them: it takes 250 calls a second at most, which a tenth of a core does.
const PERIOD_PER_BOX: Duration = Duration::from_millis(4);
/// How many times longer a box waits that has no requests: it leaves the voter to those that have.
const IDLE_FACTOR: u32 = 4;
/// The longest that it waits, well below the time after which the voter takes it for silent.
const IDLE_MOST: Duration = Duration::from_millis(600);
/// How long an exchange may take.
const ANSWER: Duration = Duration::from_millis(400);
/// How long a voter that did not answer is left alone.
const LEFT_ALONE: Duration = Duration::from_secs(2);
/// How long after the last voter issued permits a box goes by its own part of each limit: as long
/// as it takes to find another voter.
const ALONE_AFTER: Duration = Duration::from_secs(1);

/// How long a box that stops waits until a voter knows what it met last.
const LAST_ANSWER: Duration = Duration::from_millis(200);

/// Exchanges for ever.
pub(super) async fn run(board: Shared, followed: Followed) {
    let mut partner = Partner::new(board.clone());
    loop {
        partner.exchange(&followed).await;
        partner.go_alone();
        let pause = tokio::time::sleep(period(partner.boxes, is_idle(&board)));
        tokio::select! {
            () = pause => {}
            () = board.exchange_now.notified() => {}
        }
    }
}

/// Tells a voter what was met until now, so that it is not lost with this process.
pub(super) async fn tell_last(board: &Shared) {
    let since = now(board);
    let mut exchanged = board.exchanged.subscribe();
    board.exchange_now.notify_one();
    let told = exchanged.wait_for(|begun| *begun >= since);
    if tokio::time::timeout(LAST_ANSWER, told).await.is_err() {
        event!(board.log, LastUntold);
    }
}

/// The time between two exchanges, where so many boxes use the same voter.
fn period(boxes: u32, idle: bool) -> Duration {
    let busy = PERIOD.max(PERIOD_PER_BOX * boxes);
    if !idle {
        return busy;
    }
    let longer = PERIOD_PER_BOX * boxes * IDLE_FACTOR;
    longer.min(IDLE_MOST).max(busy)
}

/// Whether no request waits or runs here.
fn is_idle(board: &Shared) -> bool {
    let mut idle = true;
    board
        .dispatchers
        .each(|shard| idle &= shard.values().all(dispatch::Dispatcher::is_idle));
    idle
}

/// The state of the exchange with one voter.
struct Partner {
    board: Shared,
    /// The voter, once it has answered.
    voter: Option<SocketAddr>,
    /// A voter that did not answer, and until when it is left alone.
    left_alone: Option<(SocketAddr, Duration)>,
    /// Whether any service is dispatched here.
    dispatches: bool,
    /// How many boxes use that voter.
    boxes: u32,
    /// What the voter knows of this box.
    told: load::Loads,
    /// What the other boxes have.
    others: load::Loads,
    /// The bounds that all boxes' refusals set, as last heard.
    bounds: Vec<load::Bound>,
    /// What the voter knows of this box's usage.
    counted: BTreeMap<usage::Window, usage::Counts>,
    /// Up to where the voter knows of requests under which endpoints have ended.
    crashes: Cursor,
    /// The registry's stamp up to which the voter knows of endpoints that leave.
    leaving: u64,
    /// Up to where the voter knows of limits that endpoints set.
    limits: u64,
    /// When a voter that issues permits answered last.
    issued: Duration,
}

impl Partner {
    fn new(board: Shared) -> Self {
        let issued = now(&board);
        Self {
            board,
            voter: None,
            left_alone: None,
            dispatches: false,
            boxes: 0,
            told: load::Loads::new(),
            others: load::Loads::new(),
            bounds: Vec::new(),
            counted: BTreeMap::new(),
            crashes: Cursor::default(),
            leaving: 0,
            limits: 0,
            issued,
        }
    }

    /// The voter to use: one of this zone goes first, and each box has its own order.
    fn choose(&self, followed: &Followed) -> Option<(SocketAddr, Arc<WsClient>)> {
        let now = now(&self.board);
        let left_alone = self.left_alone.filter(|(_, until)| now < *until);
        let left_alone = left_alone.map(|(voter, _)| voter);
        let followed = lock(followed);
        let usable = followed
            .iter()
            .filter(|(voter, known)| known.client.is_some() && Some(**voter) != left_alone);
        let usable = usable.map(|(voter, known)| (*voter, known.candidate.clone()));
        let own = &self.board.own;
        let order = follow::order(&own.name, &own.zone, &usable.collect());
        let voter = *order.first()?;
        Some((voter, followed[&voter].client.clone()?))
    }

    /// The voters of this zone: each may give leases of its endpoints.
    fn hubs(&self, followed: &Followed) -> u32 {
        let followed = lock(followed);
        let zone = &self.board.own.zone;
        let near = followed.values().filter(|voter| voter.is_in(zone));
        u32::try_from(near.count()).unwrap_or(u32::MAX)
    }

    /// Whether a voter stands in this zone: only such a one gives leases of its endpoints.
    fn is_near(&self, followed: &Followed, voter: SocketAddr) -> bool {
        let followed = lock(followed);
        let voter = followed.get(&voter);
        voter.is_some_and(|voter| voter.is_in(&self.board.own.zone))
    }

    async fn exchange(&mut self, followed: &Followed) {
        let Some((voter, client)) = self.choose(followed) else {
            return self.lose();
        };
        let hubs = self.hubs(followed);
        let near = self.is_near(followed, voter);
        let dispatches = !desk::held(&self.board).is_empty();
        if self.voter != Some(voter) || dispatches != self.dispatches {
            // What is heard once, such as placements, was lost on nobody until now.
            self.lose();
        }
        self.dispatches = dispatches;
        let anew = self.voter.is_none();
        let begun = now(&self.board);
        count_precedence(&self.board);
        let own = own_loads(&self.board);
        let mut crashes = self.crashes;
        let (leaving, stamp) = {
            let registry = lock(&self.board.registry);
            (registry.leaving_since(self.leaving), registry.stamp())
        };
        let mut limits = self.limits;
        // Unlocked before dispatchers are asked: these read it while they are locked.
        let new_limits = lock(&self.board.throttles).updates(&mut limits, now(&self.board));
        let throttle = core::throttle::Message {
            limits: new_limits,
            wanted: throttle::wanted(&self.board),
        };
        let mut told = load::Update {
            loads: load::difference(&self.told, &own),
            placements: taken(&self.board, dispatch::Dispatcher::take_placements),
            outcomes: taken(&self.board, dispatch::Dispatcher::take_outcomes),
            prompts: taken(&self.board, dispatch::Dispatcher::take_prompts),
            wanted: if near {
                wanted(&self.board)
            } else {
                Vec::new()
            },
            crashes: lock(&self.board.crashes).updates(&mut crashes, Scope::Local),
            leaving,
            throttle,
            ..load::Update::default()
        };
        count_requests(&self.board, &mut told);
        let counted = lock(&self.board.usage).windows().clone();
        let usage = usage::Report {
            start: self.board.start,
            rows: usage::difference(&self.counted, &counted),
        };
        let asked = now(&self.board);
        let call = client.exchange(self.board.own.name.clone(), anew, told, usage);
        match tokio::time::timeout(ANSWER, call).await {
            Ok(Ok(Some(answer))) => {
                if anew {
                    event!(self.board.log, LoadsShared, "voter" => %voter);
                }
                self.voter = Some(voter);
                self.told = own;
                self.counted = counted;
                self.crashes = crashes;
                self.leaving = stamp;
                self.limits = limits;
                self.board.exchanged.send_replace(begun);
                self.boxes = answer.load.boxes;
                let answered = now(&self.board);
                lock(&self.board.wall).record(answer.unix_ms, asked, answered);
                self.take(answer.load.update, anew);
                if let Some(throttle) = answer.throttle {
                    self.take_permits(throttle, voter, asked);
                }
                self.board.held_back_known.store(true, Ordering::Relaxed);
                if !answer.load.leased.is_empty() {
                    let until = asked + warm_up::LEASE_DURATION;
                    let leased = answer.load.leased;
                    self.tell(&dispatch::Input::Leases(leased, until, hubs));
                }
            }
            Ok(Ok(None)) => self.lose(),
            Ok(Err(_)) | Err(_) => {
                self.left_alone = Some((voter, now(&self.board) + LEFT_ALONE));
                self.lose();
            }
        }
    }

    /// Takes what a voter tells of limits, and the permits that it issues.
    fn take_permits(&mut self, told: core::throttle::Answer, from: SocketAddr, asked: Duration) {
        throttle::merge(&self.board, &told.limits, from);
        throttle::take(&self.board, told.issued, asked);
        if now(&self.board) >= self.issued + ALONE_AFTER {
            self.tell(&dispatch::Input::PermitsUnavailable(None));
        }
        self.issued = now(&self.board);
    }

    /// Has this box go by its own part of each limit, once no voter issues permits.
    fn go_alone(&self) {
        let since = self.issued + ALONE_AFTER;
        if now(&self.board) >= since {
            self.tell(&dispatch::Input::PermitsUnavailable(Some(since)));
        }
    }

    fn take(&mut self, news: load::Update, anew: bool) {
        if !news.placements.is_empty() {
            self.tell(&dispatch::Input::Placements(news.placements));
        }
        if !news.prompts.is_empty() {
            self.tell(&dispatch::Input::PromptSizes(news.prompts));
        }
        if !news.risks.is_empty() {
            let risk = |risk: &load::Risk| format!("{}:{}", risk.endpoint, risk.chance.0);
            let risks: Vec<_> = news.risks.iter().map(risk).collect();
            event!(self.board.log, EndpointsDoubted, "risks" => risks.join(" "));
            self.tell(&dispatch::Input::Risks(news.risks));
        }
        self.bound(news.bounds);
        crash::take(&self.board, news.crashes);
        if news.loads.is_empty() && !anew {
            return;
        }
        if anew {
            load::merge(&mut self.others, news.loads);
            self.tell(&dispatch::Input::OtherLoads(Some(self.others.clone())));
            return;
        }
        self.tell(&dispatch::Input::OtherLoadsChanged(news.loads.clone()));
        load::merge(&mut self.others, news.loads);
    }

    /// Takes all bounds that stand, each for the dispatcher of its service.
    fn bound(&mut self, bounds: Vec<load::Bound>) {
        if bounds.is_empty() && self.bounds.is_empty() {
            return;
        }
        for service in desk::held(&self.board) {
            let of = |bounds: &[load::Bound]| -> Vec<_> {
                let of = bounds.iter().filter(|bound| bound.service == service);
                of.cloned().collect()
            };
            let (before, after) = (of(&self.bounds), of(&bounds));
            if before.len() != after.len() {
                self.log_bounds(&service, &after);
            }
            desk::input(&self.board, &service, dispatch::Input::Bounds(after));
        }
        self.bounds = bounds;
    }

    /// Logs that refusals elsewhere have begun, or ceased, to hold back less urgent requests.
    fn log_bounds(&self, service: &name::Service, bounds: &[load::Bound]) {
        let bound = |bound: &load::Bound| format!("{}:{}", bound.class, bound.tokens.0);
        let bounds: Vec<_> = bounds.iter().map(bound).collect();
        event!(self.board.log, LessUrgentBound, "service" => %service,
            "bounds" => bounds.join(" "));
    }

    /// What was heard counts no more.
    fn lose(&mut self) {
        if let Some(voter) = self.voter.take() {
            event!(self.board.log, LoadsGuessed, "voter" => %voter);
            self.tell(&dispatch::Input::OtherLoads(None));
        }
        self.bound(Vec::new());
        self.told.clear();
        self.others.clear();
        self.counted.clear();
        self.crashes = Cursor::default();
        self.leaving = 0;
        self.limits = 0;
    }

    fn tell(&self, input: &dispatch::Input) {
        for service in desk::held(&self.board) {
            desk::input(&self.board, &service, input.clone());
        }
    }
}

/// The endpoints that warm up and that the dispatchers here would send to, the most wanted first.
fn wanted(board: &Shared) -> Vec<name::Endpoint> {
    let now = now(board);
    let mut wanted = taken(board, |dispatcher| dispatcher.wanted_leases(now));
    wanted.sort_by_key(|(count, _)| Reverse(*count));
    wanted.into_iter().map(|(_, name)| name).collect()
}

fn own_loads(board: &Shared) -> load::Loads {
    let mut loads = load::Loads::new();
    board.dispatchers.each(|shard| {
        for dispatcher in shard.values() {
            loads.extend(dispatcher.loads());
        }
    });
    loads
}

/// Counts what came of less urgent requests while more urgent ones were refused.
fn count_precedence(board: &Shared) {
    board.dispatchers.each(|shard| {
        for (service, dispatcher) in shard.iter_mut() {
            for row in dispatcher.take_precedence() {
                for (outcome, count) in [("held", row.tally.held), ("begun", row.tally.begun)] {
                    let label = metric::PrecedenceLabel {
                        service: service.to_string(),
                        refused: row.refused.to_string(),
                        class: row.class.to_string(),
                        outcome,
                    };
                    let counter = board.metrics.preceded.get_or_create(&label);
                    counter.inc_by(u64::from(count));
                }
            }
        }
    });
}

/// Adds to what is told what became of requests here since it was last taken.
fn count_requests(board: &Shared, told: &mut load::Update) {
    board.dispatchers.each(|shard| {
        for (service, dispatcher) in shard.iter_mut() {
            for (class, counts) in dispatcher.take_counts() {
                told.add_counts(service, &class, counts);
            }
        }
    });
}

/// What the dispatchers here have to tell since it was last taken.
fn taken<T>(board: &Shared, take: impl Fn(&mut dispatch::Dispatcher) -> Vec<T>) -> Vec<T> {
    let mut all = Vec::new();
    board.dispatchers.each(|shard| {
        for dispatcher in shard.values_mut() {
            all.extend(take(dispatcher));
        }
    });
    all
}
