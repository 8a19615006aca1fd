//! Opens an answer: attempts at endpoints, and beside silent ones, until one is answered.

use std::{
    future::Future,
    ops::ControlFlow,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use futures_util::stream::{FuturesUnordered, StreamExt as _};

use crate::{
    core::{build, dispatch, name, verdict},
    event,
    ops::entry::{
        crash::Target,
        dialect::{Dialect, Instruction},
        dispatchers, now, payload, reach,
        routed::{
            attempt::{Attempt, Charge, ErrorAnswer, Failed, Opened, Race, Run, Via},
            forward,
            request::{Ending, Request, MAX_RECHECK_INTERVAL, MIN_RECHECK_INTERVAL},
            retries::Denial,
        },
        turn::{Decision, Turn},
        upstream::Failure,
    },
    util::lock::lock,
};

/// The least time that a repeatable request waits for a silent endpoint before another one is
/// tried.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(1000);
/// How long a repeatable request waits for a silent endpoint, as a multiple of its route's target.
const HEAD_WAIT_IN_TARGETS: u32 = 4;
/// The wait stated to callers whose request got no slot before its deadline.
const LATE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where the next attempt is made.
enum Place {
    /// At an endpoint that grants a slot.
    Endpoint(Turn, name::Endpoint),
    /// At another box, which has answered.
    Box(Box<Opened>),
}

impl<D: Dialect> Request<D> {
    /// Makes attempts until one is answered, and ends the others. A stream is resumed after the event with
    /// the id `after`, if there is one.
    ///
    /// If the future is dropped, [`Request::end_others`] has to account for the attempts that it made.
    pub(super) async fn open(&mut self, after: Option<&str>) -> Result<Opened, Ending> {
        let before = self.in_flight;
        let opened = self.first_answer(after).await;
        self.end_others(before + u32::from(opened.is_ok()));
        if let Ok(Opened {
            via: Via::Endpoint { run, .. },
            ..
        }) = &opened
        {
            self.last_endpoint = Some(run.target.endpoint.clone());
            self.sent_build = run.build.clone();
            self.basis = run.basis;
        }
        opened
    }

    /// Accounts for attempts that were dropped before their outcome was known, and gives up the retry that is
    /// reserved or waited for; `kept` attempts are still in flight.
    pub(super) fn end_others(&mut self, kept: u32) {
        self.in_flight = kept;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.ended += dropped;
            self.verdict = self.verdict.and(verdict::Verdict::MayHaveRun);
        }
        self.retry = None;
        self.waiting = None;
    }

    /// Makes attempts until one is answered.
    async fn first_answer(&mut self, after: Option<&str>) -> Result<Opened, Ending> {
        let race = Arc::new(Race::new(self.in_flight > 0));
        let mut waiting = FuturesUnordered::new();
        let mut delay = Duration::ZERO;
        // An endpoint's error that came while others were silent.
        let mut own = None;
        loop {
            let mut failed = Vec::new();
            let placed = {
                let mut placing = std::pin::pin!(self.place(after, delay, &race));
                loop {
                    tokio::select! {
                        biased;
                        Some(answered) = waiting.next(), if !waiting.is_empty() => match answered {
                            Ok(opened) => return Ok(opened),
                            Err(attempt) => failed.push(attempt),
                        },
                        placed = placing.as_mut() => break placed,
                    }
                }
            };
            let mut last = None;
            for mut attempt in failed {
                self.count_failed(&mut attempt);
                self.log_failed(&attempt, Ok(Duration::ZERO));
                own = attempt.own.or(own);
                last = Some(attempt.failure.end);
            }
            let mut retry_at = None;
            match placed {
                Ok(Place::Box(opened))
                    if waiting.is_empty() || opened.parts.status.is_success() =>
                {
                    return Ok(*opened);
                }
                Ok(Place::Box(opened)) => {
                    // The endpoints that are silent may still answer.
                    let failure = if forward::says_not_run(opened.parts.status) {
                        Failure::REFUSED
                    } else {
                        Failure::BROKEN
                    };
                    if let Via::Box(link) = &opened.via {
                        self.end_at_box(link.name(), failure);
                    }
                    self.retry = None;
                    retry_at = Some(self.now() + MAX_RECHECK_INTERVAL);
                }
                Ok(Place::Endpoint(turn, endpoint)) => {
                    let begun = self.begin(turn, &endpoint, after, &race);
                    self.in_flight += 1;
                    waiting.push(send(begun));
                }
                Err(ending) if waiting.is_empty() => {
                    let ending = last.map_or(ending, Ending::Failed);
                    return Err(own.map_or(ending, Ending::Own));
                }
                Err(ending) => {
                    self.retry = None;
                    retry_at = Some(self.now() + ending.retry_after());
                }
            }
            match self.step(&mut waiting, &race, (&mut own, retry_at)).await? {
                ControlFlow::Break(opened) => return Ok(opened),
                ControlFlow::Continue(wait) => delay = wait,
            }
        }
    }

    /// Waits until an attempt is answered, or another one may follow after the returned time: all endpoints
    /// that are waited for are silent. If they are already, that is checked at `retry_at`.
    async fn step<F>(
        &mut self,
        waiting: &mut FuturesUnordered<F>,
        race: &Race,
        (own, mut retry_at): (&mut Option<Box<ErrorAnswer>>, Option<Duration>),
    ) -> Result<ControlFlow<Opened, Duration>, Ending>
    where
        F: Future<Output = Result<Opened, Failed>>,
    {
        let mut has_asked = retry_at.is_some();
        loop {
            let wait = retry_at.map(|at| at.saturating_sub(self.now()));
            let recheck = async move {
                match wait {
                    Some(wait) => tokio::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            let next = tokio::select! {
                biased;
                Some(answered) = waiting.next() => {
                    let mut attempt = match answered {
                        Ok(opened) => return Ok(ControlFlow::Break(opened)),
                        Err(attempt) => attempt,
                    };
                    self.count_failed(&mut attempt);
                    if waiting.len() > race.silent() {
                        // Another attempt was made beside this one already.
                        self.log_failed(&attempt, Ok(Duration::ZERO));
                        *own = attempt.own.or(own.take());
                        continue;
                    }
                    let wait = self.next_wait(attempt.failure);
                    self.log_failed(&attempt, wait);
                    if wait.is_err() || !waiting.is_empty() {
                        *own = attempt.own.or(own.take());
                    }
                    if wait.is_err() && waiting.is_empty() {
                        let failed = Ending::Failed(attempt.failure.end);
                        return Err(own.take().map_or(failed, Ending::Own));
                    }
                    wait
                }
                () = race.silence_begun() => {
                    if waiting.len() > race.silent() {
                        continue;
                    }
                    let wait = self.next_wait(Failure::SILENT);
                    self.log_silence(wait);
                    wait
                }
                () = recheck => {
                    // After an ask the request has to join those that wait for a retry again.
                    if std::mem::take(&mut has_asked) || self.has_budget() {
                        self.next_wait(Failure::SILENT)
                    } else {
                        Err(Denial::Budget)
                    }
                }
            };
            if let Ok(wait) = next {
                return Ok(ControlFlow::Continue(wait));
            }
            retry_at = Some(self.now() + MIN_RECHECK_INTERVAL);
        }
    }

    /// Finds where the next attempt is made, after a delay.
    async fn place(
        &mut self,
        after: Option<&str>,
        delay: Duration,
        race: &Race,
    ) -> Result<Place, Ending> {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        loop {
            if let Some(forwarded) = self.forward(after).await {
                let mut opened = forwarded?;
                let Err(failure) = self.begin_at_box(&mut opened, race).await else {
                    return Ok(Place::Box(Box::new(opened)));
                };
                self.end_answer(opened.via, failure).await?;
                continue;
            }
            self.check_origin_service().map_err(Ending::Refused)?;
            if let Some(granted) = self.turn().await {
                return granted;
            }
        }
    }

    /// Waits until another box's answer has begun, or no other attempt is open. What is no success is judged by its
    /// head.
    async fn begin_at_box(&self, opened: &mut Opened, race: &Race) -> Result<(), Failure> {
        if !opened.parts.status.is_success() {
            return Ok(());
        }
        let begun = async {
            tokio::select! {
                biased;
                () = race.narrowed_to(0) => Ok(()),
                begun = opened.body.begin(self.kind()) => begun,
            }
        };
        let begun = tokio::time::timeout(self.time_left(), begun).await;
        begun.unwrap_or(Err(Failure::SILENT))
    }

    /// Asks the dispatcher for a slot at an endpoint, and waits for it. Returns `None` if another box can serve the
    /// request meanwhile.
    async fn turn(&mut self) -> Option<Result<Place, Ending>> {
        let board = self.context.board.clone();
        let zone = board.own.zone.clone();
        let routed = self.routed.clone();
        let service = &routed.call.key.service;
        self.ask.age = self.age();
        self.ask.is_hedge = self.in_flight > 0;
        if std::mem::replace(&mut self.is_asking, true) {
            // A grant for an ask that was given up may be on its way.
            self.ask.attempt.request = dispatchers::new_request();
        }
        let mut turn = Turn::ask(
            &board,
            service,
            &zone,
            &routed.call.source,
            self.ask.clone(),
            &routed.call.content,
        );
        let may_forward = routed.forwarded.is_none() && self.forwards == 0;
        let decision = tokio::select! {
            biased;
            decision = tokio::time::timeout(self.time_left(), turn.wait()) => decision.ok(),
            () = reach::forwardable(&board, service), if may_forward => return None,
        };
        Some(match decision {
            Some(Decision::Granted(endpoint)) => {
                self.is_asking = false;
                self.ask.attempt = turn.attempt().next();
                if self.in_flight == 0 {
                    self.ask.avoid = Some(endpoint.clone());
                }
                Ok(Place::Endpoint(turn, endpoint))
            }
            Some(Decision::Shed(reason, retry, cause)) => Err(Ending::Shed(reason, retry, cause)),
            Some(Decision::HeldBack(retry)) => Err(Ending::HeldBack(retry)),
            Some(Decision::Stopping) => Err(Ending::Stopping),
            None => {
                let reason = dispatch::Reason::Deadline;
                Err(Ending::Shed(reason, LATE_RETRY_AFTER, None))
            }
        })
    }

    /// Prepares an attempt at an endpoint that has granted a slot.
    fn begin(
        &mut self,
        turn: Turn,
        endpoint: &name::Endpoint,
        after: Option<&str>,
        race: &Arc<Race>,
    ) -> Result<(Attempt<D>, hyper::Request<payload::Body>), Failed> {
        self.tries += 1;
        self.last_endpoint = Some(endpoint.clone());
        let board = self.context.board.clone();
        let target = lock(&board.registry).get(endpoint).map(|record| {
            let target = Target {
                endpoint: record.name.clone(),
                start: record.incarnation,
                address: record.address,
                sent_at: now(&board),
            };
            (target, record.build.clone())
        });
        let Some((target, build)) = target else {
            return Err(self.unsent(turn, endpoint, Failure::UNREACHABLE));
        };
        let last_event_id = after.or(self.routed.head.last_event_id.as_deref());
        if let Some(last_event_id) = last_event_id {
            self.log_resumption(&target, &build, last_event_id, after.is_some());
        }
        let instruction = Instruction {
            endpoint,
            timeout: self.time_left(),
            team: self.routed.team.as_ref(),
            rank: self.routed.rank,
            last_event_id,
        };
        let request = match self.routed.outgoing.request::<D>(&instruction) {
            Ok(request) => request,
            Err(failure) => return Err(self.unsent(turn, endpoint, failure)),
        };
        let service = &self.routed.call.key.service;
        let basis = dispatchers::basis(&board, service, turn.attempt());
        self.basis = basis.unwrap_or_default();
        let run = Run {
            turn,
            target,
            build,
            basis: self.basis,
        };
        let patience = self.head_wait();
        let charge = self.charge();
        let of = (&self.context, &self.routed);
        let attempt = Attempt::new(of, run, charge, patience, race);
        Ok((attempt, request))
    }

    /// Returns the charge of the next attempt.
    pub(super) fn charge(&mut self) -> Charge {
        Charge::new(self.retry.take(), &self.dropped)
    }

    /// Ends an attempt that can't be sent.
    fn unsent(&mut self, turn: Turn, endpoint: &name::Endpoint, failure: Failure) -> Failed {
        turn.end(failure.end);
        if failure == Failure::UNREACHABLE {
            let service = &self.routed.call.key.service;
            reach::record_failure(&self.context.board, service, endpoint);
        }
        Failed {
            endpoint: endpoint.clone(),
            failure,
            own: None,
            retry: self.retry.take(),
            used: None,
        }
    }

    /// Returns how long to wait for the head of an attempt's answer before another endpoint may be tried, or
    /// `None` if the request may not run again.
    fn head_wait(&self) -> Option<Duration> {
        self.may_run_again().then(|| self.patience())
    }

    /// Returns how long an endpoint may be silent before another one may be tried, unless it streams.
    pub(super) fn patience(&self) -> Duration {
        let wait = self.routed.route.target() * HEAD_WAIT_IN_TARGETS;
        wait.max(MIN_HEAD_WAIT)
    }

    /// Logs that the stream goes on at an endpoint after an event, within this answer or taken up by
    /// the caller.
    fn log_resumption(
        &self,
        target: &Target,
        build: &build::Build,
        last_event_id: &str,
        within_answer: bool,
    ) {
        let board = &self.context.board;
        let way = match (within_answer, &self.routed.forwarded) {
            (true, _) => "answer",
            (false, None) => "caller",
            (false, Some(_)) => "box",
        };
        event!(board.log, StreamResumed, "id" => self.routed.head.id.as_deref(), "way" => way,
            "begun_by" => self.routed.head.resumes.as_deref(), "after" => last_event_id,
            "endpoint" => %target.endpoint, "build" => %build,
            "assumed" => self.lookup.is_some());
    }

    /// Logs that the endpoint of an attempt is silent, and whether another one may be tried.
    pub(super) fn log_silence(&self, wait: Result<Duration, Denial>) {
        event!(self.context.board.log, EndpointSilent, "id" => self.routed.head.id.as_deref(),
            "endpoint" => self.last_endpoint.as_ref().map(name::Endpoint::as_str),
            "budget" => self.budget_level(), "again" => wait.is_ok(),
            "why" => wait.err().map(Denial::as_str), "events" => self.observer.events(),
            "left_ms" => self.time_left().as_millis());
    }

    /// Ends the run that served the answer until it failed, and waits until the next attempt is due;
    /// returns an error if there is none.
    pub(super) async fn handle_failure(
        &mut self,
        run: Box<Run>,
        failure: Failure,
    ) -> Result<(), Ending> {
        let endpoint = run.target.endpoint.clone();
        run.fail(&self.context, &self.routed, failure, false).await;
        let mut attempt = Failed {
            endpoint,
            failure,
            own: None,
            retry: None,
            used: None,
        };
        self.count_failed(&mut attempt);
        let wait = self.next_wait(failure);
        self.log_failed(&attempt, wait);
        let wait = wait.map_err(|_| Ending::Failed(failure.end))?;
        tokio::time::sleep(wait).await;
        Ok(())
    }

    /// Counts an attempt that failed.
    fn count_failed(&mut self, attempt: &mut Failed) {
        let failure = attempt.failure;
        self.retry = attempt.retry.take().or(self.retry.take());
        let may_have_run = failure.verdict != verdict::Verdict::NotRun;
        self.in_flight -= 1;
        self.verdict = self.verdict.and(failure.verdict);
        self.runs += u32::from(may_have_run);
        if may_have_run && (attempt.own.is_some() || !self.is_stream()) {
            self.observer.begun();
        }
        self.misses += u32::from(failure.missed_endpoint());
    }

    /// Logs an attempt that failed, and whether another one follows.
    fn log_failed(&self, attempt: &Failed, wait: Result<Duration, Denial>) {
        let board = &self.context.board;
        let backoff = board.remaining_backoff(&attempt.endpoint);
        event!(board.log, RequestRetried, "id" => self.routed.head.id.as_deref(),
            "endpoint" => %attempt.endpoint, "how" => ?attempt.failure.end, "tries" => self.tries,
            "connection" => attempt.used.map(|used| used.serial.to_string()),
            "earlier" => attempt.used.map(|used| used.earlier),
            "budget" => self.budget_level(),
            "rest_ms" => backoff.map(|backoff| backoff.as_millis()), "again" => wait.is_ok(),
            "why" => wait.err().map(Denial::as_str), "events" => self.observer.events(),
            "left_ms" => self.time_left().as_millis());
    }
}

/// Sends an attempt, unless it could not be prepared.
async fn send<D: Dialect>(
    begun: Result<(Attempt<D>, hyper::Request<payload::Body>), Failed>,
) -> Result<Opened, Failed> {
    let (attempt, request) = begun?;
    attempt.send(request).await
}
