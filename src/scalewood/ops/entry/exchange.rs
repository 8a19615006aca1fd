//! Exchanges the boxes' loads at endpoints by way of a voter.
//!
//! A box uses a voter of its own zone, or, if there is none, the first that it reaches. Voters
//! send each other the loads of their boxes. While no voter answers, the dispatchers estimate
//! the total load from this box's own.

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
    ops::entry::{
        crash, directory::Voters, dispatchers, now, reach, rejection, retries, throttle, Shared,
    },
    util::{lock::lock, metric},
    wire::registry::RegistryClient as _,
};

/// The least regular interval between two exchanges.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// The least interval for each box that uses the same voter, so that a voter can serve any number
/// of boxes: it gets at most 250 calls a second, which take a tenth of a core.
const PERIOD_PER_BOX: Duration = Duration::from_millis(4);
/// The factor on `PERIOD_PER_BOX` on a box without requests, which leaves the voter's time to busy
/// boxes.
const IDLE_PERIOD_FACTOR: u32 = 4;
/// The upper limit of what idleness extends the interval to, well below the time after which the
/// voter drops a silent box.
const MAX_IDLE_PERIOD: Duration = Duration::from_millis(600);
/// How long an exchange with a voter may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a voter that did not answer is not asked again.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// The time without an answer of a voter that issues permits after which a box uses its own part of
/// each limit instead: the time that it takes to find another voter.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a box that stops waits for a voter to take its last report.
const FINAL_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(200);

/// Exchanges loads with a voter, for ever.
pub(super) async fn run(board: Shared, known_voters: Voters) {
    let mut partner = Partner::new(board.clone());
    loop {
        partner.exchange(&known_voters).await;
        partner.fall_back();
        let pause = tokio::time::sleep(period(partner.boxes, is_idle(&board)));
        tokio::select! {
            () = pause => {}
            () = board.exchange_now.notified() => {}
        }
    }
}

/// Exchanges once more, so that what was counted since the last exchange is not lost when this
/// process ends.
pub(super) async fn final_exchange(board: &Shared) {
    let since = now(board);
    let mut exchanged = board.last_exchange_at.subscribe();
    board.exchange_now.notify_one();
    let answered = exchanged.wait_for(|begun| *begun >= since);
    if tokio::time::timeout(FINAL_EXCHANGE_TIMEOUT, answered)
        .await
        .is_err()
    {
        event!(board.log, FinalReportFailed);
    }
}

/// Returns the interval between two exchanges if so many boxes use the same voter.
fn period(boxes: u32, idle: bool) -> Duration {
    let busy = MIN_PERIOD.max(PERIOD_PER_BOX * boxes);
    if !idle {
        return busy;
    }
    let longer = PERIOD_PER_BOX * boxes * IDLE_PERIOD_FACTOR;
    longer.min(MAX_IDLE_PERIOD).max(busy)
}

/// Returns whether no request waits for or runs under a dispatcher here.
fn is_idle(board: &Shared) -> bool {
    let mut idle = true;
    board
        .dispatchers
        .for_each(|shard| idle &= shard.values().all(dispatch::Dispatcher::is_idle));
    idle
}

/// The state of the exchange with one voter.
struct Partner {
    board: Shared,
    /// The voter that answered the last exchange, if one did.
    voter: Option<SocketAddr>,
    /// A voter that did not answer, and until when it is not asked again.
    unanswered: Option<(SocketAddr, Duration)>,
    /// Whether any service is dispatched here.
    dispatches: bool,
    /// The number of boxes that use the voter.
    boxes: u32,
    /// The loads of this box as last sent to the voter.
    sent_loads: load::Loads,
    /// The loads of the other boxes.
    others: load::Loads,
    /// The bounds on less urgent requests that refusals at any box set, as last received.
    bounds: Vec<load::Bound>,
    /// The usage counts of this box as last sent to the voter.
    sent_usage: BTreeMap<usage::Window, usage::Counts>,
    /// The position up to which the voter has been sent the crash book's changes.
    crashes: Cursor,
    /// The registry's stamp up to which the voter has been sent the leaving endpoints.
    leaving: u64,
    /// The stamp up to which the voter has been sent the rate limits of endpoints.
    limits: u64,
    /// When a voter that issues permits last answered.
    issued_at: Duration,
    /// The state of this box's links as last sent to the voter.
    sent_reach: Option<core::reach::Report>,
}

impl Partner {
    fn new(board: Shared) -> Self {
        let issued_at = now(&board);
        Self {
            board,
            voter: None,
            unanswered: None,
            dispatches: false,
            boxes: 0,
            sent_loads: load::Loads::new(),
            others: load::Loads::new(),
            bounds: Vec::new(),
            sent_usage: BTreeMap::new(),
            crashes: Cursor::default(),
            leaving: 0,
            limits: 0,
            issued_at,
            sent_reach: None,
        }
    }

    /// Returns the voter to use: the first connected one in an order of this box's own, in which
    /// the voters of this zone come first. A voter that recently did not answer is left out.
    fn choose(&self, known_voters: &Voters) -> Option<(SocketAddr, Arc<WsClient>)> {
        let now = now(&self.board);
        let unanswered = self.unanswered.filter(|(_, until)| now < *until);
        let unanswered = unanswered.map(|(voter, _)| voter);
        let known_voters = lock(known_voters);
        let usable = known_voters
            .iter()
            .filter(|(voter, known)| known.client.is_some() && Some(**voter) != unanswered);
        let usable = usable.map(|(voter, known)| (*voter, known.candidate.clone()));
        let own = &self.board.own;
        let order = follow::order(&own.name, &own.zone, &usable.collect());
        let voter = *order.first()?;
        Some((voter, known_voters[&voter].client.clone()?))
    }

    /// Returns the number of voters in this zone; each may issue leases of its endpoints.
    fn voters_in_zone(&self, known_voters: &Voters) -> u32 {
        let known_voters = lock(known_voters);
        let zone = &self.board.own.zone;
        let in_zone = known_voters.values().filter(|voter| voter.is_in(zone));
        u32::try_from(in_zone.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a voter is in this zone: only such a voter issues leases of its endpoints.
    fn is_in_own_zone(&self, known_voters: &Voters, voter: SocketAddr) -> bool {
        let known_voters = lock(known_voters);
        let voter = known_voters.get(&voter);
        voter.is_some_and(|voter| voter.is_in(&self.board.own.zone))
    }

    /// Sends the changed state of this box to a voter and applies the answer.
    async fn exchange(&mut self, known_voters: &Voters) {
        let Some((voter, client)) = self.choose(known_voters) else {
            return self.reset();
        };
        let voters_in_zone = self.voters_in_zone(known_voters);
        let in_zone = self.is_in_own_zone(known_voters, voter);
        let dispatches = !dispatchers::services(&self.board).is_empty();
        if self.voter != Some(voter) || dispatches != self.dispatches {
            // Placements and the like are sent only once, so dispatchers opened since need the full
            // state.
            self.reset();
        }
        self.dispatches = dispatches;
        let full = self.voter.is_none();
        let begun = now(&self.board);
        count_precedence(&self.board);
        let own = own_loads(&self.board);
        let mut crashes = self.crashes;
        let (leaving, stamp) = {
            let registry = lock(&self.board.registry);
            (registry.leaving_since(self.leaving), registry.stamp())
        };
        let mut limits = self.limits;
        // The lock is released before `wanted_permits` locks the dispatchers: opening a dispatcher
        // takes the two locks in the opposite order.
        let new_limits = lock(&self.board.endpoint_limits).updates(&mut limits, now(&self.board));
        let throttle = core::throttle::Message {
            limits: new_limits,
            wanted: throttle::wanted_permits(&self.board),
        };
        let reach = reach::report(&self.board);
        let mut report = load::Update {
            rejections: rejection::own(&self.board),
            reach: Some(reach.clone()).filter(|_| self.sent_reach.as_ref() != Some(&reach)),
            loads: load::difference(&self.sent_loads, &own),
            placements: collect_all(&self.board, dispatch::Dispatcher::take_placements),
            outcomes: outcomes(&self.board),
            prompts: collect_all(&self.board, dispatch::Dispatcher::take_prompts),
            wanted: if in_zone {
                wanted_leases(&self.board)
            } else {
                Vec::new()
            },
            crashes: lock(&self.board.crashes).updates(&mut crashes, Scope::Local),
            leaving,
            throttle,
            retries: retries::wants(&self.board, voter),
            ..load::Update::default()
        };
        report_services(&self.board, &mut report);
        let counted = lock(&self.board.usage).windows().clone();
        let usage = usage::Report {
            start: self.board.start,
            rows: usage::difference(&self.sent_usage, &counted),
        };
        let asked_at = now(&self.board);
        let call = client.exchange(self.board.own.name.clone(), full, report, usage);
        match tokio::time::timeout(EXCHANGE_TIMEOUT, call).await {
            Ok(Ok(Some(answer))) => {
                if full {
                    event!(self.board.log, LoadsShared, "voter" => %voter);
                }
                self.voter = Some(voter);
                self.sent_loads = own;
                self.sent_usage = counted;
                self.crashes = crashes;
                self.leaving = stamp;
                self.limits = limits;
                self.sent_reach = Some(reach.clone());
                self.board.last_exchange_at.send_replace(begun);
                self.boxes = answer.load.boxes;
                let answered = now(&self.board);
                lock(&self.board.wall_clock).record(answer.unix_ms, asked_at, answered);
                self.apply(answer.load.update, full);
                if let Some(throttle) = answer.throttle {
                    self.apply_permits(throttle, voter, asked_at);
                }
                retries::apply(&self.board, voter, &answer.retries, asked_at);
                reach::set_peers(&self.board, reach.lost, answer.load.peers);
                self.board.held_back_known.store(true, Ordering::Relaxed);
                if !answer.load.leased.is_empty() {
                    let until = asked_at + warm_up::LEASE_DURATION;
                    let leased = answer.load.leased;
                    self.apply_input(&dispatch::Input::Leases(leased, until, voters_in_zone));
                }
            }
            Ok(Ok(None)) => self.reset(),
            Ok(Err(_)) | Err(_) => {
                self.unanswered = Some((voter, now(&self.board) + RETRY_DELAY));
                self.reset();
            }
        }
    }

    /// Applies the rate limits that a voter reports and the permits that it issues.
    fn apply_permits(
        &mut self,
        answer: core::throttle::Answer,
        from: SocketAddr,
        asked_at: Duration,
    ) {
        throttle::merge(&self.board, &answer.limits, from);
        throttle::apply_permits(&self.board, answer.issued, asked_at);
        if now(&self.board) >= self.issued_at + PERMIT_TIMEOUT {
            self.apply_input(&dispatch::Input::PermitsUnavailable(None));
        }
        self.issued_at = now(&self.board);
    }

    /// Makes the dispatchers use this box's own part of each limit if no voter has issued permits
    /// for `PERMIT_TIMEOUT`.
    fn fall_back(&self) {
        let since = self.issued_at + PERMIT_TIMEOUT;
        if now(&self.board) >= since {
            self.apply_input(&dispatch::Input::PermitsUnavailable(Some(since)));
        }
    }

    fn apply(&mut self, update: load::Update, full: bool) {
        if !update.placements.is_empty() {
            self.apply_input(&dispatch::Input::Placements(update.placements));
        }
        if !update.prompts.is_empty() {
            self.apply_input(&dispatch::Input::PromptSizes(update.prompts));
        }
        self.set_prefills(update.prefills);
        if !update.risks.is_empty() {
            let risk = |risk: &load::Risk| format!("{}:{}", risk.endpoint, risk.chance.0);
            let risks: Vec<_> = update.risks.iter().map(risk).collect();
            event!(self.board.log, FailureRatesChanged, "risks" => risks.join(" "));
            self.apply_input(&dispatch::Input::Risks(update.risks));
        }
        self.set_bounds(update.bounds);
        rejection::refresh(&self.board, update.rejections);
        crash::merge(&self.board, update.crashes);
        if update.loads.is_empty() && !full {
            return;
        }
        if full {
            load::merge(&mut self.others, update.loads);
            self.apply_input(&dispatch::Input::OtherLoads(Some(self.others.clone())));
            return;
        }
        self.apply_input(&dispatch::Input::OtherLoadsChanged(update.loads.clone()));
        load::merge(&mut self.others, update.loads);
    }

    /// Replaces the bounds on less urgent requests; each dispatcher gets those of its service.
    fn set_prefills(&self, prefills: Vec<load::Prefill>) {
        for load::Prefill { service, measured } in prefills {
            lock(&self.board.prefills).insert(service.clone(), measured);
            dispatchers::apply_input(&self.board, &service, dispatch::Input::Prefill(measured));
        }
    }

    fn set_bounds(&mut self, bounds: Vec<load::Bound>) {
        if bounds.is_empty() && self.bounds.is_empty() {
            return;
        }
        for service in dispatchers::services(&self.board) {
            let of = |bounds: &[load::Bound]| -> Vec<_> {
                let of = bounds.iter().filter(|bound| bound.service == service);
                of.cloned().collect()
            };
            let (before, after) = (of(&self.bounds), of(&bounds));
            if before.len() != after.len() {
                self.log_bounds(&service, &after);
            }
            dispatchers::apply_input(&self.board, &service, dispatch::Input::Bounds(after));
        }
        self.bounds = bounds;
    }

    /// Logs the bounds of a service, called when their number has changed.
    fn log_bounds(&self, service: &name::Service, bounds: &[load::Bound]) {
        let bound = |bound: &load::Bound| format!("{}:{}", bound.class, bound.tokens.0);
        let bounds: Vec<_> = bounds.iter().map(bound).collect();
        event!(self.board.log, LessUrgentLimitChanged, "service" => %service,
            "bounds" => bounds.join(" "));
    }

    /// Discards the state of the exchange, so that the next one starts with full state.
    fn reset(&mut self) {
        if let Some(voter) = self.voter.take() {
            event!(self.board.log, LoadsUnknown, "voter" => %voter);
            self.apply_input(&dispatch::Input::OtherLoads(None));
            lock(&self.board.prefills).clear();
        }
        self.set_bounds(Vec::new());
        rejection::refresh(&self.board, Vec::new());
        self.sent_loads.clear();
        self.others.clear();
        self.sent_usage.clear();
        self.crashes = Cursor::default();
        self.leaving = 0;
        self.limits = 0;
        self.sent_reach = None;
    }

    fn apply_input(&self, input: &dispatch::Input) {
        for service in dispatchers::services(&self.board) {
            dispatchers::apply_input(&self.board, &service, input.clone());
        }
    }
}

/// Returns the warming endpoints that the dispatchers here would send to, the most wanted first.
fn wanted_leases(board: &Shared) -> Vec<name::Endpoint> {
    let now = now(board);
    let mut wanted = collect_all(board, |dispatcher| dispatcher.wanted_leases(now));
    wanted.sort_by_key(|(count, _)| Reverse(*count));
    wanted.into_iter().map(|(_, name)| name).collect()
}

/// Returns the results of requests here, by endpoint, since the last call. Failures that may come from
/// this box's links are left for later.
fn outcomes(board: &Shared) -> Vec<load::Outcome> {
    let mut outcomes = Vec::new();
    for service in dispatchers::services(board) {
        let is_doubtful = reach::is_doubtful(board, &service);
        let mut shard = board.dispatchers.shard(&service);
        if let Some(dispatcher) = shard.get_mut(&service) {
            outcomes.extend(if is_doubtful {
                dispatcher.take_answers()
            } else {
                dispatcher.take_outcomes()
            });
        }
    }
    outcomes
}

fn own_loads(board: &Shared) -> load::Loads {
    let mut loads = load::Loads::new();
    board.dispatchers.for_each(|shard| {
        for dispatcher in shard.values() {
            loads.extend(dispatcher.loads());
        }
    });
    loads
}

/// Counts the less urgent requests that were held back or started while more urgent ones were
/// refused.
fn count_precedence(board: &Shared) {
    board.dispatchers.for_each(|shard| {
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

/// Adds to a report what the dispatchers here have observed of their services.
fn report_services(board: &Shared, report: &mut load::Update) {
    board.dispatchers.for_each(|shard| {
        for (service, dispatcher) in shard.iter_mut() {
            for (class, counts) in dispatcher.take_counts() {
                report.add_counts(service, &class, counts);
            }
            let measured = dispatcher.take_prefill();
            report
                .prefills
                .extend(measured.map(|measured| load::Prefill {
                    service: service.clone(),
                    measured,
                }));
        }
    });
}

/// Calls a function on all dispatchers of this box, and returns the items of all results.
fn collect_all<T>(board: &Shared, take: impl Fn(&mut dispatch::Dispatcher) -> Vec<T>) -> Vec<T> {
    let mut all = Vec::new();
    board.dispatchers.for_each(|shard| {
        for dispatcher in shard.values_mut() {
            all.extend(take(dispatcher));
        }
    });
    all
}
