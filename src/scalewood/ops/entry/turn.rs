//! A request's turn at an endpoint's slot: from asking a dispatcher for it to releasing it.
//!
//! A turn that is dropped, as when its caller disconnects, withdraws its request or releases its
//! slot, so that no code path can leak a slot.

use std::{
    task::{Context, Poll},
    time::Duration,
};

use tokio::sync::mpsc;

use crate::{
    board::entry::Ticket,
    core::{attempt, dispatch, name, residency, unit},
    event,
    ops::entry::{crash, dispatchers, drain, now, throttle, Shared},
    util::{lock::lock, metric},
};

/// The result of waiting for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The request may run at the endpoint.
    Granted(name::Endpoint),
    /// The request was shed and may be retried after the given time. The cause is known if the
    /// reason is a lack of capacity and a dispatcher of this box decided.
    Shed(dispatch::Reason, Duration, Option<dispatch::Cause>),
    /// Endpoints crashed during the request, so it is sent to none. It may be retried after the
    /// given time.
    HeldBack(Duration),
    /// This box stops, and an answer could not be finished here any more.
    Stopping,
}

/// How long after its deadline a request waits for a dispatcher to shed it, and the time after
/// which the caller may retry if none did.
const SHED_GRACE: Duration = Duration::from_secs(1);

/// A request's turn at a slot. The attempt number of its ticket rises with each new ask.
#[derive(Debug)]
pub(super) struct Turn {
    board: Shared,
    /// The attempt as first asked for, or as granted once it runs.
    attempt: attempt::Attempt,
    orders: mpsc::UnboundedReceiver<dispatch::Order>,
    content: crash::Content,
    /// When this box sheds the request if no dispatcher has answered.
    until: Duration,
    state: State,
    /// The tokens that this attempt has delivered.
    tokens: unit::Tokens,
    /// Whether the run may be preempted; only then its progress is reported to the dispatcher.
    preemptible: bool,
    /// Whether the endpoint's silence was reported, so that the end of the run says no more of it.
    is_silent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Ended,
}

impl Turn {
    /// Registers the request's ticket and asks the zone's dispatcher for a slot.
    pub(super) fn ask(
        board: &Shared,
        service: &name::Service,
        zone: &name::Zone,
        source: &residency::Source,
        ask: dispatch::Ask,
        content: &crash::Content,
    ) -> Self {
        let now = now(board);
        // Each attempt uses the configuration in force, not that of the request's arrival.
        let allowed = source.in_force(&board.view.load().document, &ask.allowed);
        let ask = dispatch::Ask { allowed, ..ask };
        let attempt = ask.attempt;
        let (sender, orders) = mpsc::unbounded_channel();
        let until = (now + ask.deadline + SHED_GRACE).saturating_sub(ask.age);
        let preemptible = ask.preemptible;
        let dispatcher = dispatchers::dispatcher_of(board, service, zone);
        let ticket = Ticket {
            service: service.clone(),
            zone: zone.clone(),
            dispatcher: dispatcher.clone(),
            asked_at: now,
            held_at: None,
            tokens: unit::Tokens(0),
            orders: sender,
            ask: ask.clone(),
            source: source.clone(),
        };
        board
            .tickets
            .shard(&attempt.request)
            .insert(attempt.request, ticket);
        if let Some(to) = dispatcher {
            dispatchers::send_report(board, &to, service, dispatch::Report::Ask(ask));
        }
        let board = board.clone();
        Self {
            board,
            attempt,
            orders,
            content: content.clone(),
            until,
            state: State::Waiting,
            tokens: unit::Tokens(0),
            preemptible,
            is_silent: false,
        }
    }

    /// Waits until the request is granted a slot, shed or held back, or this box stops.
    pub(super) async fn wait(&mut self) -> Decision {
        let mut held_back = self.board.held_back.subscribe();
        let last_start = drain::last_start(self.board.clone(), self.attempt.request);
        let mut last_start = std::pin::pin!(last_start);
        loop {
            if crash::is_held_back(&self.board, &self.content) {
                self.finish(|attempt, _| dispatch::Report::Withdraw(attempt));
                let retry = crash::retry_after(&self.board, &self.content);
                return Decision::HeldBack(retry);
            }
            let left = self.until.saturating_sub(now(&self.board));
            let order = tokio::select! {
                order = tokio::time::timeout(left, self.orders.recv()) => order,
                _ = held_back.changed() => continue,
                () = last_start.as_mut() => {
                    self.finish(|attempt, _| dispatch::Report::Withdraw(attempt));
                    return Decision::Stopping;
                }
            };
            let Ok(Some(order)) = order else {
                // No dispatcher answered in time.
                self.finish(|attempt, _| dispatch::Report::Withdraw(attempt));
                return Decision::Shed(dispatch::Reason::Deadline, SHED_GRACE, None);
            };
            match order {
                dispatch::Order::Grant(..) if self.board.may_be_stale() => self.decline(),
                dispatch::Order::Grant(attempt, endpoint) => {
                    let bar = bar(&self.board, self.attempt, &endpoint);
                    if let Some(bar) = bar {
                        self.decline_barred(&endpoint, bar).await;
                    } else if self.start(attempt, &endpoint) {
                        return Decision::Granted(endpoint);
                    }
                }
                dispatch::Order::Shed(attempt, reason, retry) => {
                    let cause = self.cause(attempt);
                    self.forget();
                    return Decision::Shed(reason, retry, cause);
                }
                dispatch::Order::Expired(_) => self.ask_again(),
                dispatch::Order::Preempt(_) | dispatch::Order::Gone(_) => {}
            }
        }
    }

    /// Returns and counts the cause if a dispatcher of this box refused the attempt for lack of
    /// capacity.
    fn cause(&self, attempt: attempt::Attempt) -> Option<dispatch::Cause> {
        let named = self.with_ticket(|ticket| (ticket.service.clone(), ticket.ask.class.clone()));
        let (service, class) = named?;
        let cause = dispatchers::cause(&self.board, &service, attempt)?;
        let label = metric::CauseLabel {
            service: service.to_string(),
            class: class.to_string(),
            cause: cause.as_str(),
        };
        self.board.metrics.refused.get_or_create(&label).inc();
        Some(cause)
    }

    /// Returns a check whether the request may be sent to an endpoint now, by the configuration in force
    /// and by what this box knows of the endpoint and the request.
    pub(super) fn permission(&self, endpoint: &name::Endpoint) -> impl Fn() -> bool + use<> {
        let (board, attempt, endpoint) = (self.board.clone(), self.attempt, endpoint.clone());
        let content = self.content.clone();
        move || bar(&board, attempt, &endpoint).is_none() && crash::may_send(&board, &content)
    }

    /// Declines a grant at an endpoint that the request may not be sent to. Asks again after a
    /// tick, by when a dispatcher of this box knows the reason; until then it would choose the same
    /// endpoint.
    async fn decline_barred(&mut self, endpoint: &name::Endpoint, bar: Bar) {
        self.log_bar(endpoint, bar);
        if bar == Bar::Residency {
            tokio::time::sleep(dispatchers::TICK_INTERVAL).await;
            return self.renew_residency();
        }
        self.release();
        // A dispatcher that doesn't know of the backoff, or that the endpoint is leaving, avoids
        // the endpoint only because of this.
        self.with_ticket(|ticket| ticket.ask.avoid = Some(endpoint.clone()));
        tokio::time::sleep(dispatchers::TICK_INTERVAL).await;
        self.ask_again();
    }

    /// Logs why a grant was declined.
    fn log_bar(&self, endpoint: &name::Endpoint, bar: Bar) {
        let board = &self.board;
        match bar {
            Bar::Cordon => {
                event!(board.log, GrantDeclined, "request" => %self.attempt.request,
                    "endpoint" => %endpoint, "revision" => %board.feed.current().revision);
            }
            Bar::Backoff | Bar::Leaving | Bar::Limit | Bar::Build => {
                event!(board.log, GrantUnused, "request" => %self.attempt.request,
                    "endpoint" => %endpoint, "why" => bar.as_str());
            }
            Bar::Residency => {
                event!(board.log, GrantOutsideRegion, "attempt" => %self.attempt,
                    "endpoint" => %endpoint);
            }
        }
    }

    /// Asks again with the regions that the configuration in force allows for the request.
    fn renew_residency(&mut self) {
        let now = now(&self.board);
        let document = self.board.view.load().document.clone();
        let renewed = self.with_ticket(|ticket| ticket.renew_residency(&document, now));
        match renewed.flatten() {
            Some(reports) => reports.into_iter().for_each(|report| self.report(report)),
            None => self.decline(),
        }
    }

    /// Releases a grant, which may have expired while this process was frozen, and asks again.
    fn decline(&mut self) {
        self.release();
        self.ask_again();
    }

    /// Releases the slot that was granted to the latest ask, unused.
    fn release(&self) {
        let asked = self.with_ticket(|ticket| ticket.ask.attempt);
        let unused = dispatch::End::Unused;
        self.report(dispatch::Report::End(
            asked.unwrap_or(self.attempt),
            unused,
            self.tokens,
        ));
    }

    /// Asks again under the next attempt number.
    fn ask_again(&mut self) {
        let now = now(&self.board);
        let report = self.with_ticket(|ticket| ticket.report_again(now));
        if let Some(report) = report {
            self.report(report);
        }
    }

    /// Starts the run under a grant. Returns false if the grant is for an earlier ask than the
    /// latest.
    fn start(&mut self, attempt: attempt::Attempt, endpoint: &name::Endpoint) -> bool {
        let now = now(&self.board);
        let started = self.with_ticket(|ticket| {
            let current = ticket.ask.attempt == attempt;
            if current {
                ticket.held_at = Some((endpoint.clone(), now));
            }
            current
        });
        if started != Some(true) {
            return false;
        }
        self.attempt = attempt;
        self.state = State::Running;
        if self.board.limit_of(endpoint).is_some() {
            self.board.metrics.limited_sends.inc();
        }
        self.report(dispatch::Report::Started(attempt));
        true
    }

    /// Calls a function with the request's ticket, if it still exists.
    fn with_ticket<T>(&self, act: impl FnOnce(&mut Ticket) -> T) -> Option<T> {
        let request = self.attempt.request;
        self.board
            .tickets
            .shard(&request)
            .get_mut(&request)
            .map(act)
    }

    /// Returns the current attempt.
    pub(super) fn attempt(&self) -> attempt::Attempt {
        self.attempt
    }

    /// Reports the first token, or the first one after a pause, to the dispatcher.
    pub(super) fn report_first_token(&self) {
        self.report(dispatch::Report::First(self.attempt));
    }

    /// Reports that the endpoint is silent, while the run goes on there: ends the attempt as silent and
    /// announces the run anew, as one that is not answered yet. The run then belongs to a request of its
    /// own, so that its caller's request can ask for a slot at another endpoint meanwhile.
    pub(super) fn report_silence(&mut self) {
        let request = self.attempt.request;
        let ticket = self.board.tickets.shard(&request).remove(&request);
        let Some(mut ticket) = ticket else { return };
        let now = now(&self.board);
        let ended = dispatch::Report::End(ticket.ask.attempt, dispatch::End::Silent, self.tokens);
        ticket.ask.attempt.request = dispatchers::new_request();
        ticket.ask.age += now.saturating_sub(ticket.asked_at);
        ticket.asked_at = now;
        ticket.tokens = unit::Tokens(0);
        if let Some((_, since)) = &mut ticket.held_at {
            *since = now;
        }
        let held = ticket.report_again(now);
        self.attempt = ticket.ask.attempt;
        self.is_silent = true;
        let known = (ticket.dispatcher.clone(), ticket.service.clone());
        let request = self.attempt.request;
        self.board.tickets.shard(&request).insert(request, ticket);
        if let (Some(to), service) = known {
            for report in [ended, held] {
                dispatchers::send_report(&self.board, &to, &service, report);
            }
        }
    }

    /// Reports that the endpoint goes on after its silence was reported.
    pub(super) fn report_return(&mut self) {
        self.is_silent = false;
        self.report_first_token();
    }

    /// Returns a function that reports that the stream has paused for longer than its class allows, which can
    /// be called while the turn is borrowed. [`Turn::report_first_token`] reports that it goes on.
    pub(super) fn pause_report(&self) -> impl FnOnce() + use<> {
        let (board, attempt) = (self.board.clone(), self.attempt);
        move || report(&board, attempt, dispatch::Report::Paused(attempt))
    }

    /// Records the tokens that this attempt has delivered, and reports them now and then if the run
    /// may be preempted.
    pub(super) fn report_progress(&mut self, tokens: unit::Tokens) {
        /// Tokens between two reports. The reports only serve to choose which run to preempt, so
        /// they need not be exact.
        const REPORT_INTERVAL_TOKENS: u64 = 32;
        let is_due = tokens.0 / REPORT_INTERVAL_TOKENS > self.tokens.0 / REPORT_INTERVAL_TOKENS;
        self.tokens = tokens;
        if !is_due || !self.preemptible {
            return;
        }
        self.with_ticket(|ticket| ticket.tokens = tokens);
        self.report(dispatch::Report::Progress(self.attempt, tokens));
    }

    /// Polls whether the run is preempted.
    pub(super) fn poll_preempted(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self.orders.poll_recv(context) {
                Poll::Ready(Some(dispatch::Order::Preempt(_))) => return Poll::Ready(()),
                Poll::Ready(Some(_)) => {}
                Poll::Ready(None) | Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Releases the slot.
    pub(super) fn end(mut self, end: dispatch::End) {
        let end = match end {
            dispatch::End::Silent if self.is_silent => dispatch::End::Preempted,
            end => end,
        };
        if end == dispatch::End::Done {
            crash::record_completed(&self.board, &self.content);
            self.record_run();
        }
        self.finish(|attempt, tokens| dispatch::Report::End(attempt, end, tokens));
    }

    /// Records how long the run has taken.
    fn record_run(&self) {
        let ran = self.with_ticket(|ticket| {
            let (_, since) = ticket.held_at.as_ref()?;
            Some((ticket.service.clone(), *since))
        });
        if let Some((service, since)) = ran.flatten() {
            let took = now(&self.board).saturating_sub(since);
            drain::record_run(&self.board, &service, took);
        }
    }

    /// Sends a report to the request's dispatcher, if one is known.
    fn report(&self, report: dispatch::Report) {
        self::report(&self.board, self.attempt, report);
    }

    /// Ends the turn: removes the ticket and sends a last report to the dispatcher.
    fn finish(
        &mut self,
        last_report: impl FnOnce(attempt::Attempt, unit::Tokens) -> dispatch::Report,
    ) {
        if self.state == State::Ended {
            return;
        }
        self.state = State::Ended;
        let ticket = self
            .board
            .tickets
            .shard(&self.attempt.request)
            .remove(&self.attempt.request);
        let Some(ticket) = ticket else { return };
        if let Some(to) = ticket.dispatcher {
            let report = last_report(ticket.ask.attempt, self.tokens);
            dispatchers::send_report(&self.board, &to, &ticket.service, report);
        }
    }

    /// Ends the turn without a report, after the dispatcher has shed the request.
    fn forget(&mut self) {
        self.state = State::Ended;
        self.board
            .tickets
            .shard(&self.attempt.request)
            .remove(&self.attempt.request);
    }
}

/// Sends a report to the dispatcher of an attempt's request, if one is known.
fn report(board: &Shared, attempt: attempt::Attempt, report: dispatch::Report) {
    let known = {
        let shard = board.tickets.shard(&attempt.request);
        let ticket = shard.get(&attempt.request);
        ticket.map(|ticket| (ticket.dispatcher.clone(), ticket.service.clone()))
    };
    if let Some((Some(to), service)) = known {
        dispatchers::send_report(board, &to, &service, report);
    }
}

/// Why a waiting or running request may not be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bar {
    /// The endpoint's zone is cordoned.
    Cordon,
    /// The endpoint has requested a backoff.
    Backoff,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint has a request limit that was not known yet when the slot was granted.
    Limit,
    /// The endpoint is of another build than the one that began the stream.
    Build,
    /// The request may not be served in the endpoint's region.
    Residency,
}

impl Bar {
    fn as_str(self) -> &'static str {
        match self {
            Self::Cordon => "cordon",
            Self::Backoff => "rest",
            Self::Leaving => "leaving",
            Self::Limit => "limit",
            Self::Build => "build",
            Self::Residency => "residency",
        }
    }
}

/// Returns why a request may not be sent to an endpoint, if so, by the configuration in force and
/// by what this box knows of the endpoint. Counts it if the zone is cordoned or the endpoint asked
/// for a backoff.
fn bar(board: &Shared, attempt: attempt::Attempt, endpoint: &name::Endpoint) -> Option<Bar> {
    if board.is_cordoned(endpoint) {
        board.metrics.cordon_declined.inc();
        return Some(Bar::Cordon);
    }
    if board.remaining_backoff(endpoint).is_some() {
        board.metrics.backoff_kept_back.inc();
        return Some(Bar::Backoff);
    }
    if board.is_leaving(endpoint) {
        return Some(Bar::Leaving);
    }
    let view = board.view.load();
    let limited = throttle::limited_since(board, endpoint, board.start_of(endpoint));
    let allowed = {
        let shard = board.tickets.shard(&attempt.request);
        let ticket = shard.get(&attempt.request);
        let granted = ticket.and_then(|ticket| ticket.held_at.as_ref());
        if granted
            .zip(limited)
            .is_some_and(|((_, granted), limited)| *granted < limited)
        {
            return Some(Bar::Limit);
        }
        if let Some(build) = ticket.and_then(|ticket| ticket.ask.build.as_ref()) {
            if *build != board.build_of(endpoint) {
                return Some(Bar::Build);
            }
        }
        ticket.map(|ticket| ticket.source.in_force(&view.document, &ticket.ask.allowed))
    };
    // Without a ticket the request is over and must not be sent.
    let permitted = allowed.is_some_and(|allowed| {
        allowed.is_everywhere() || allowed.permits(region_of(board, endpoint).as_ref())
    });
    (!permitted).then_some(Bar::Residency)
}

/// Returns the region of a registered or configured endpoint, if known.
fn region_of(board: &Shared, endpoint: &name::Endpoint) -> Option<name::Region> {
    let registered = lock(&board.registry).get(endpoint).map(|r| r.zone.clone());
    let zone = registered.or_else(|| {
        let view = board.view.load();
        let configured = view.document.endpoints.get(endpoint);
        configured.map(|endpoint| endpoint.zone.clone())
    })?;
    board.own.regions.region_of(&zone).cloned()
}

impl Drop for Turn {
    fn drop(&mut self) {
        match self.state {
            State::Waiting => {
                self.finish(|attempt, _| dispatch::Report::Withdraw(attempt));
            }
            State::Running => {
                // A caller that leaves a silent endpoint says nothing new of it.
                let end = if self.is_silent {
                    dispatch::End::Preempted
                } else {
                    dispatch::End::Cancelled
                };
                self.finish(|attempt, tokens| dispatch::Report::End(attempt, end, tokens));
            }
            State::Ended => {}
        }
    }
}
