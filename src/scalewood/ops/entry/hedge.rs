//! The attempts of one request at endpoints: one after another, and several at once while endpoints are
//! silent.
//!
//! An endpoint that sends nothing may be dead or may only pause. Its attempt goes on, and another endpoint is
//! asked beside it if the retry budget and the attempts allow that. The first from which a part of the answer
//! arrives serves the request, and the others end. Dropping [`Attempts`] ends all of them.

use std::{future::Future, time::Duration};

use tokio::sync::mpsc;

use crate::{
    core::{attempt, dispatch, name, verdict},
    event,
    ops::entry::{
        call::Call,
        crash::Target,
        dispatchers, drain, now, plain,
        reply::Refusal,
        retries::Allowance,
        turn::{Decision, Turn},
        upstream::Failure,
        Shared,
    },
    util::metric,
};

mod channel;

use channel::{receive, Attempt, Task};
pub(super) use channel::{Message, Sink};

/// How often it is checked whether another endpoint may be asked beside a silent one, and how long after a
/// refused ask that is at the earliest.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long after a refused ask another one is made at the latest.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The limit on the wait for the head of an attempt's answer: [`Attempts`] ends it.
pub(super) const NO_LIMIT: Duration = Duration::MAX;
/// The most messages of an attempt that are queued.
const MAX_QUEUED: usize = 4;

/// What differs between kinds of requests.
pub(super) trait Request: Send {
    /// A part of an answer.
    type Part: Send + 'static;

    /// Returns the ask for a slot. Its attempt, age, preemptions and avoided endpoint are set for each attempt.
    fn ask(&self) -> dispatch::Ask;

    /// Returns whether an attempt that may have run may be followed by another one now.
    fn is_repeatable(&self) -> bool;

    /// Returns until when the next part is awaited.
    fn deadline(&self) -> Duration;

    /// Returns the refusal if the request may no longer be sent, after a slot was granted.
    fn check(&self, so_far: verdict::Verdict) -> Result<(), Refusal>;

    /// Called before an attempt that follows, or is made beside, one that may have run.
    fn repeat(&mut self);

    /// Sends the request to an endpoint if that is permitted, and what is received from there to a sink.
    /// Dropping the future closes the connection.
    fn send(
        &self,
        target: Target,
        is_permitted: impl Fn() -> bool + Send + 'static,
        sink: Sink<Self::Part>,
    ) -> impl Future<Output = Result<(), Failure>> + Send + 'static;
}

/// The attempts of a request.
#[derive(Debug)]
pub(super) struct Attempts<P> {
    board: Shared,
    call: Call,
    /// How long an endpoint may send nothing before another one may be asked beside it.
    max_silence: Duration,
    open: Vec<Attempt<P>>,
    /// The attempt for which a slot is asked next.
    next: attempt::Attempt,
    /// The number of attempts so far.
    begun: u32,
    preempted: u32,
    /// Whether the request may have run, by the attempts that have ended.
    verdict: verdict::Verdict,
    /// The endpoint that failed or fell silent last.
    avoid: Option<name::Endpoint>,
    allowance: Allowance,
    /// Until when the next part is awaited.
    deadline: Duration,
    /// When another endpoint may be asked while all are silent.
    recheck_at: Duration,
    /// The error of an endpoint that answered while others were silent.
    error: Option<P>,
}

impl<P: Send + 'static> Attempts<P> {
    pub(super) fn new(board: &Shared, call: &Call, max_silence: Duration) -> Self {
        Self {
            board: board.clone(),
            call: call.clone(),
            max_silence,
            open: Vec::new(),
            next: attempt::Attempt::first(call.request),
            begun: 0,
            preempted: 0,
            verdict: verdict::Verdict::NotRun,
            avoid: None,
            allowance: Allowance::new(board, &call.key.service),
            deadline: Duration::ZERO,
            recheck_at: Duration::ZERO,
            error: None,
        }
    }

    /// Returns the attempt that serves the request, after a part of its answer.
    pub(super) fn serving(&mut self) -> Option<&mut Attempt<P>> {
        self.open.first_mut()
    }

    /// Ends the attempt that serves the request.
    pub(super) fn end(&mut self, end: dispatch::End) {
        for attempt in self.open.drain(..) {
            attempt.turn.end(end);
        }
    }

    /// Waits for the next part of the answer, and makes attempts until there is one. Returns the refusal if no
    /// further attempt is allowed.
    pub(super) async fn next<R: Request<Part = P>>(
        &mut self,
        request: &mut R,
    ) -> Result<P, Refusal> {
        let part = self.next_part(request).await;
        part.or_else(|refusal| self.error.take().ok_or(refusal))
    }

    /// Does what [`Attempts::next`] does, and leaves out an error with which an endpoint answered before.
    async fn next_part<R: Request<Part = P>>(&mut self, request: &mut R) -> Result<P, Refusal> {
        self.deadline = request.deadline();
        loop {
            if self.open.is_empty() {
                let (turn, decision) = self.turn(request, Duration::ZERO).await;
                self.take(request, turn, decision)?;
            }
            let wait = self.wait_until(request).saturating_sub(now(&self.board));
            let received = tokio::select! {
                biased;
                received = receive(&mut self.open) => Some(received),
                () = tokio::time::sleep(wait) => None,
            };
            let received = match received {
                Some(received) => Some(received),
                None if self.time_left().is_zero() => return Err(self.give_up()),
                None if !request.is_repeatable() => None,
                None => {
                    self.report_silences();
                    self.hedge(request).await?
                }
            };
            let Some((i, message)) = received else {
                continue;
            };
            if let Some(part) = self.handle(request, i, message).await? {
                return Ok(part);
            }
        }
    }

    /// Returns when the request is given up: at its deadline, or later while an endpoint may still be silent.
    fn expiry(&self) -> Duration {
        let silent_at = self.open.iter().map(|a| a.heard_at + self.max_silence);
        silent_at.fold(self.deadline, Duration::max)
    }

    fn time_left(&self) -> Duration {
        self.expiry().saturating_sub(now(&self.board))
    }

    /// Returns whether all endpoints are silent.
    fn is_silent(&self) -> bool {
        self.open
            .iter()
            .all(|attempt| attempt.silent_since.is_some())
    }

    /// Returns when there is something to do even if nothing is received.
    fn wait_until<R: Request<Part = P>>(&self, request: &R) -> Duration {
        if !request.is_repeatable() {
            return self.expiry();
        }
        if self.is_silent() {
            return self.expiry().min(self.recheck_at);
        }
        let heard = self.open.iter().filter(|a| a.silent_since.is_none());
        let silent_at = heard.map(|attempt| attempt.heard_at + self.max_silence);
        silent_at.fold(self.expiry(), Duration::min)
    }

    /// Reports the endpoints that are silent from now on.
    fn report_silences(&mut self) {
        let now = now(&self.board);
        let mut is_new = false;
        for attempt in &mut self.open {
            if attempt.silent_since.is_some() || now < attempt.heard_at + self.max_silence {
                continue;
            }
            attempt.turn.report_silence();
            attempt.silent_since = Some(now);
            self.avoid = Some(attempt.endpoint.clone());
            is_new = true;
        }
        if is_new {
            self.recheck_at = now;
            count_silence(&self.board, &self.call, "begun");
            let again = self.is_silent() && self.allowance.reserve(self.begun).is_some();
            event!(self.board.log, EndpointSilent, "id" => %self.call.request,
                "endpoint" => self.avoid.as_ref().map(name::Endpoint::as_str), "again" => again,
                "why" => self.allowance.denial(self.begun), "left_ms" => self.time_left().as_millis());
        }
    }

    /// Asks another endpoint beside silent ones. Returns what an endpoint that is not silent any more has
    /// sent meanwhile.
    async fn hedge<R: Request<Part = P>>(
        &mut self,
        request: &mut R,
    ) -> Result<Option<(usize, Message<P>)>, Refusal> {
        if !self.is_silent() || now(&self.board) < self.recheck_at {
            return Ok(None);
        }
        let Some(wait) = self.allowance.reserve(self.begun) else {
            self.recheck_at = now(&self.board) + MIN_RECHECK_INTERVAL;
            return Ok(None);
        };
        let left = self.time_left();
        let placed = {
            let mut late = std::pin::pin!(tokio::time::sleep(left));
            let mut placing = std::pin::pin!(self.turn(request, wait));
            loop {
                tokio::select! {
                    biased;
                    (i, message) = receive(&mut self.open) => match message {
                        Message::Failed(failure) => {
                            let attempt = self.open.swap_remove(i);
                            self.count_failed(attempt, failure, true);
                        }
                        message => break Err((i, message)),
                    },
                    placed = placing.as_mut() => break Ok(placed),
                    () = late.as_mut() => return Ok(None),
                }
            }
        };
        match placed {
            Ok((turn, decision)) => self.take(request, turn, decision).map(|()| None),
            Err(received) => Ok(Some(received)),
        }
    }

    /// Asks for a slot after a wait. Dropping the future withdraws the ask.
    fn turn<R: Request<Part = P>>(
        &mut self,
        request: &R,
        wait: Duration,
    ) -> impl Future<Output = (Turn, Decision)> + Send + use<R, P> {
        let ask = dispatch::Ask {
            attempt: self.next,
            preempted: self.preempted,
            avoid: self.avoid.clone(),
            is_hedge: !self.open.is_empty(),
            ..request.ask()
        };
        // A grant for an ask that is given up may be on its way.
        self.next = attempt::Attempt {
            request: dispatchers::new_request(),
            number: self.next.number + 1,
        };
        let (board, call) = (self.board.clone(), self.call.clone());
        async move {
            tokio::time::sleep(wait).await;
            let ask = dispatch::Ask {
                age: now(&board).saturating_sub(call.arrived_at),
                ..ask
            };
            let zone = call.zone(&board, ask.build.as_ref());
            let service = &call.key.service;
            let mut turn = Turn::ask(&board, service, &zone, &call.source, ask, &call.content);
            let decision = turn.wait().await;
            (turn, decision)
        }
    }

    /// Begins an attempt if a slot was granted. Returns the refusal if not, unless an attempt is open.
    fn take<R: Request<Part = P>>(
        &mut self,
        request: &mut R,
        turn: Turn,
        decision: Decision,
    ) -> Result<(), Refusal> {
        let (refusal, retry) = match decision {
            Decision::Granted(endpoint) => return self.begin(request, turn, endpoint),
            Decision::Shed(reason, retry, _) => (self.call.shed_refusal(reason, retry), retry),
            Decision::HeldBack(retry) => (Refusal::held_back(retry, self.verdict), retry),
            Decision::Stopping => (drain::refusal(self.verdict), drain::RETRY_AFTER),
        };
        if self.open.is_empty() {
            return Err(Refusal {
                verdict: self.verdict,
                ..refusal
            });
        }
        let wait = retry.clamp(MIN_RECHECK_INTERVAL, MAX_RECHECK_INTERVAL);
        self.recheck_at = now(&self.board) + wait;
        Ok(())
    }

    /// Begins an attempt at an endpoint that has granted a slot.
    fn begin<R: Request<Part = P>>(
        &mut self,
        request: &mut R,
        turn: Turn,
        endpoint: name::Endpoint,
    ) -> Result<(), Refusal> {
        if let Err(refusal) = request.check(self.verdict) {
            turn.end(dispatch::End::Unused);
            return Err(refusal);
        }
        if !self.open.is_empty() || self.verdict > verdict::Verdict::NotRun {
            request.repeat();
        }
        self.next = turn.attempt().next();
        self.allowance.begin();
        let serial = self.begun + self.preempted;
        self.begun += 1;
        let (sink, messages) = mpsc::channel(MAX_QUEUED);
        let address = plain::address(&self.board, &endpoint);
        let sending = address.map(|address| {
            let target = plain::target(&self.board, &endpoint, address);
            request.send(target, turn.permission(&endpoint), sink.clone())
        });
        let task = tokio::spawn(async move {
            let sent = match sending {
                Ok(sending) => sending.await,
                Err(failure) => Err(failure),
            };
            if let Err(failure) = sent {
                let _ = sink.send(Message::Failed(failure)).await;
            }
        });
        let now = now(&self.board);
        self.open.push(Attempt {
            turn,
            build: self.board.build_of(&endpoint),
            serial,
            endpoint,
            sent_at: now,
            heard_at: now,
            silent_since: None,
            messages,
            _task: Task(task),
        });
        Ok(())
    }

    /// Handles a message of an attempt; returns the part of the answer if it is one.
    async fn handle<R: Request<Part = P>>(
        &mut self,
        request: &R,
        i: usize,
        message: Message<P>,
    ) -> Result<Option<P>, Refusal> {
        match message {
            Message::Progress => {
                self.record_heard(i);
                Ok(None)
            }
            Message::Part(part) => {
                self.record_heard(i);
                self.keep(i);
                Ok(Some(part))
            }
            Message::Error(error) if self.open.len() == 1 => Ok(Some(error)),
            Message::Error(error) => {
                self.error = Some(error);
                let failed = self.fail(request, i, Failure::BROKEN).await;
                failed.map(|()| None)
            }
            Message::Failed(failure) => {
                let failed = self.fail(request, i, failure).await;
                failed.map(|()| None)
            }
            Message::Preempted => {
                let attempt = self.open.swap_remove(i);
                attempt.turn.end(dispatch::End::Preempted);
                self.begun -= 1;
                self.preempted += 1;
                self.verdict = self.verdict.and(verdict::Verdict::MayHaveRun);
                self.avoid = None;
                Ok(None)
            }
        }
    }

    /// Records that an endpoint has sent something.
    fn record_heard(&mut self, i: usize) {
        let now = now(&self.board);
        let attempt = &mut self.open[i];
        attempt.heard_at = now;
        let Some(since) = attempt.silent_since.take() else {
            return;
        };
        attempt.turn.report_return();
        // The stream may go on for long, and other requests need the retry.
        self.allowance.give_back();
        count_silence(&self.board, &self.call, "ended");
        event!(self.board.log, EndpointReturned, "id" => %self.call.request,
            "endpoint" => %attempt.endpoint, "after_ms" => now.saturating_sub(since).as_millis());
    }

    /// Ends all attempts but one.
    fn keep(&mut self, i: usize) {
        self.error = None;
        if self.open.len() == 1 {
            return;
        }
        let kept = self.open.swap_remove(i);
        self.open.clear();
        self.open.push(kept);
        self.verdict = self.verdict.and(verdict::Verdict::MayHaveRun);
    }

    /// Ends an attempt that failed. If it was the only one, waits until another one is due, or returns the
    /// refusal if none is allowed.
    async fn fail<R: Request<Part = P>>(
        &mut self,
        request: &R,
        i: usize,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let attempt = self.open.swap_remove(i);
        let did_not_run = failure.verdict == verdict::Verdict::NotRun;
        let is_last = self.open.is_empty();
        let may_follow = is_last && (did_not_run || request.is_repeatable());
        let wait = if may_follow {
            self.allowance.reserve(self.begun)
        } else {
            None
        };
        let ended = self.count_failed(attempt, failure, wait.is_some() || !is_last);
        if !is_last {
            self.recheck_at = now(&self.board);
            return Ok(());
        }
        let _ = ended.await;
        match wait {
            Some(wait) => tokio::time::sleep(wait).await,
            None => return Err(plain::failure_refusal(failure, self.verdict)),
        }
        Ok(())
    }

    /// Records that an attempt failed, and whether another one follows. The returned task checks whether the
    /// endpoint has crashed.
    fn count_failed(
        &mut self,
        attempt: Attempt<P>,
        failure: Failure,
        again: bool,
    ) -> tokio::task::JoinHandle<()> {
        let Attempt {
            turn,
            endpoint,
            sent_at,
            ..
        } = attempt;
        event!(self.board.log, EndpointFailed, "endpoint" => %endpoint, "attempt" => %turn.attempt(),
            "how" => ?failure.end);
        event!(self.board.log, RequestRetried, "id" => %self.call.request, "endpoint" => %endpoint,
            "how" => ?failure.end, "tries" => self.begun, "again" => again,
            "left_ms" => self.time_left().as_millis(),
            "why" => (!again).then(|| self.allowance.denial(self.begun).unwrap_or("not-repeatable")));
        turn.end(failure.end);
        self.verdict = self.verdict.and(failure.verdict);
        self.avoid = Some(endpoint.clone());
        let (board, call) = (self.board.clone(), self.call.clone());
        tokio::spawn(async move {
            plain::record_if_crashed(&board, &call, (&endpoint, sent_at), failure).await;
        })
    }

    /// Ends all attempts at the request's deadline.
    fn give_up(&mut self) -> Refusal {
        for attempt in std::mem::take(&mut self.open) {
            self.count_failed(attempt, Failure::SILENT, false);
        }
        plain::failure_refusal(Failure::SILENT, self.verdict)
    }
}

fn count_silence(board: &Shared, call: &Call, stage: &'static str) {
    let label = metric::SilenceLabel {
        service: call.key.service.to_string(),
        stage,
    };
    board.metrics.silences.get_or_create(&label).inc();
}
