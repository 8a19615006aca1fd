//! A request of a route, from its first attempt to its final answer.
//!
//! While an attempt's endpoint is silent, another endpoint is asked beside it, if the route and the retry
//! budget allow that. The first that answers serves the request, and the others end. Without another
//! attempt the silent endpoint is waited for.

use std::{
    future::Future,
    ops::ControlFlow,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use http_body_util::Full;
use hyper::{http::response, Response, StatusCode};
use tokio::task::JoinHandle;

use crate::{
    core::{build, dispatch, name, origin, unit, verdict},
    event,
    ops::entry::{
        body::Answer,
        crash::{self, Target},
        dialect::{Dialect, Instruction},
        dispatchers, now,
        observer::Observer,
        reach,
        reply::Refusal,
        retries,
        routed::{
            attempt::{Attempt, Charge, ErrorAnswer, Failed, Opened, Run, Silence, Via},
            continuation::Continuation,
            forward,
            hedge::{Next, Progress},
            reply,
            retries::Denial,
            Context, Routed,
        },
        turn::{Decision, Turn},
        upstream::Failure,
    },
    util::{lock::lock, metric},
};

/// The least time that a repeatable request waits for a silent endpoint before another one is
/// tried.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(1000);
/// How long a repeatable request waits for a silent endpoint, as a multiple of its route's target.
const HEAD_WAIT_IN_TARGETS: u32 = 4;
/// The wait stated to callers whose request got no slot before its deadline.
const LATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long after a refused attempt beside a silent endpoint another one is made at the earliest, and how often it
/// is checked whether one is allowed.
pub(super) const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The latest time after a refused attempt at which another one is made: the dispatcher names a time after which
/// callers may come back, and an endpoint may be free before.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a request gets no answer of an endpoint.
#[derive(Debug)]
pub(super) enum Ending {
    /// No dispatcher grants a slot; the caller may retry after the given time.
    Shed(dispatch::Reason, Duration, Option<dispatch::Cause>),
    /// Endpoints crashed during the request; the caller may retry after the given time.
    HeldBack(Duration),
    /// The last attempt failed, and no further one is allowed.
    Failed(dispatch::End),
    /// This box refuses it.
    Refused(Refusal),
    /// An endpoint answered with an error.
    Own(Box<ErrorAnswer>),
}

impl Ending {
    /// Returns how long to wait before a request that still waits for an endpoint is tried at another one
    /// again.
    pub(super) fn retry_after(&self) -> Duration {
        let stated = match self {
            Ending::Shed(_, retry, _) | Ending::HeldBack(retry) => *retry,
            Ending::Refused(refusal) => refusal.retry_after.unwrap_or_default(),
            Ending::Failed(_) | Ending::Own(_) => Duration::ZERO,
        };
        stated.clamp(MIN_RECHECK_INTERVAL, MAX_RECHECK_INTERVAL)
    }
}

/// Where the next attempt is made.
enum Place {
    /// At an endpoint that grants a slot.
    Endpoint(Turn, name::Endpoint),
    /// At another box, which has answered.
    Box(Opened),
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request<D> {
    pub(super) context: Context<D>,
    pub(super) routed: Arc<Routed>,
    pub(super) observer: Observer,
    ask: dispatch::Ask,
    /// The number of attempts so far.
    pub(super) tries: u32,
    /// The number of attempts that did not reach their endpoint.
    pub(super) misses: u32,
    /// The number of attempts that have ended and may have run.
    pub(super) runs: u32,
    /// The number of attempts that have not ended.
    pub(super) in_flight: u32,
    /// The number of attempts that were written and dropped, and are not counted in `runs` yet.
    dropped: Arc<AtomicU32>,
    /// The number of other boxes that it was sent to.
    pub(super) forwards: u32,
    /// Whether the request may have run, over all attempts.
    pub(super) verdict: verdict::Verdict,
    pub(super) last_endpoint: Option<name::Endpoint>,
    /// Where the stream that is asked for began, once that is known.
    pub(super) origin: Option<origin::Origin>,
    /// The voters' answer where the stream began, while `origin` is only assumed.
    pub(super) lookup: Option<JoinHandle<origin::Found>>,
    /// The build of the endpoint that answers, by its heartbeats.
    pub(super) sent_build: build::Build,
    /// The retry that the next attempt uses, if it is one.
    pub(super) retry: Option<retries::Reserved>,
    /// Whether a slot was asked for last, and not granted.
    is_asking: bool,
    /// The estimates by which the last endpoint was chosen.
    basis: dispatch::Basis,
    /// The retry time that the refusal stated.
    retry_after: Option<Duration>,
    /// Why the request was refused for lack of capacity, if it was and this box knows it.
    cause: Option<dispatch::Cause>,
}

impl<D: Dialect> Request<D> {
    pub(super) fn new(context: Context<D>, routed: Routed) -> Self {
        let board = context.board.clone();
        let mut routed = routed;
        let continuation = std::mem::replace(&mut routed.continuation, Continuation::Begins);
        let (origin, lookup) = continuation.into_parts();
        let mut ask = routed.call.first_ask(&board, false);
        ask.build = origin.as_ref().map(|origin| origin.build.clone());
        let mut observer = Observer::new(&board, &routed.call);
        let mut runs = 0;
        let mut verdict = verdict::Verdict::NotRun;
        if let Some(forwarded) = &routed.forwarded {
            runs = forwarded.runs;
            if runs > 0 {
                verdict = verdict::Verdict::MayHaveRun;
            }
            observer.counts_usage_only(forwarded.counted);
        } else {
            let label = metric::ClassLabel::from(&routed.call.key);
            board.metrics.offered.get_or_create(&label).inc();
            retries::earn(&context.board, &routed.call.key.service);
        }
        Self {
            context,
            routed: Arc::new(routed),
            observer,
            ask,
            tries: 0,
            misses: 0,
            runs,
            in_flight: 0,
            dropped: Arc::default(),
            forwards: 0,
            verdict,
            last_endpoint: None,
            origin,
            lookup,
            sent_build: build::Build::default(),
            is_asking: false,
            retry: None,
            basis: dispatch::Basis::default(),
            retry_after: None,
            cause: None,
        }
    }

    pub(super) fn is_stream(&self) -> bool {
        self.routed.route.kind.is_stream()
    }

    fn now(&self) -> Duration {
        now(&self.context.board)
    }

    /// Returns the time since the request arrived from its caller.
    fn age(&self) -> Duration {
        self.now().saturating_sub(self.routed.call.arrived_at)
    }

    /// Returns the time left until the final answer is due.
    pub(super) fn time_left(&self) -> Duration {
        self.context.time_left(&self.routed)
    }

    /// Serves a request whose answer is not a stream.
    pub(super) async fn serve_whole(mut self) -> Response<Answer> {
        loop {
            let opened = match self.open(None).await {
                Ok(opened) => opened,
                Err(ending) => return self.conclude(ending),
            };
            if let Some(response) = self.finish_whole(opened).await {
                return response;
            }
        }
    }

    /// Reads an answer to its end and returns it, or `None` if another attempt follows.
    pub(super) async fn finish_whole(&mut self, opened: Opened) -> Option<Response<Answer>> {
        // The endpoint has run the request, whatever the status.
        self.observer.begun();
        let mut opened = opened;
        let (via, parts, read) = loop {
            match self.read_whole(opened).await {
                ControlFlow::Break(ended) => break ended,
                ControlFlow::Continue(replacement) => opened = replacement,
            }
        };
        match via {
            Via::Endpoint { run, sender } => match read {
                Ok(body) => {
                    let endpoint = &run.target.endpoint;
                    self.context
                        .keep_connection(endpoint, sender, &parts.headers);
                    Some(self.done(run.turn, parts, body))
                }
                Err(failure) => {
                    let ending = self.handle_failure(run, failure).await.err()?;
                    Some(self.conclude(ending))
                }
            },
            Via::Box(link) => self.finish_at_box(link, parts, read).await,
        }
    }

    /// Reads an answer to its end, or until the answer of another endpoint takes its place.
    async fn read_whole(
        &mut self,
        opened: Opened,
    ) -> ControlFlow<(Via, response::Parts, Result<Bytes, Failure>), Opened> {
        let Opened {
            mut via,
            parts,
            mut body,
        } = opened;
        if self.is_stream() {
            // A stream can't take the place of an answer with a whole body.
            let read = self.context.read(&self.routed, body).await;
            return ControlFlow::Break((via, parts, read));
        }
        let max_bytes = self.context.limits.max_answer.0;
        let (patience, progress) = (self.patience(), Progress::default());
        let mut whole = BytesMut::new();
        let read = loop {
            let answer = (&mut via, &mut body);
            let next = self.next(answer, patience, &progress, true);
            let frame = match next.await {
                Next::Replacement(opened, has_broken) => {
                    if has_broken {
                        self.end_broken(via);
                    }
                    return ControlFlow::Continue(opened);
                }
                Next::Nothing => break Err(Failure::SILENT),
                Next::Frame(None) => break Ok(whole.freeze()),
                Next::Frame(Some(Err(_))) => break Err(Failure::BROKEN),
                Next::Frame(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                whole.extend_from_slice(&data);
            }
            if whole.len() > max_bytes {
                break Err(Failure::BROKEN);
            }
        };
        ControlFlow::Break((via, parts, read))
    }

    /// Returns another box's whole answer, or `None` if another attempt follows.
    async fn finish_at_box(
        &mut self,
        link: forward::Link,
        parts: response::Parts,
        read: Result<Bytes, Failure>,
    ) -> Option<Response<Answer>> {
        match read {
            Ok(body) => {
                link.keep(&self.context.peers);
                if self.contradicts(parts.status) {
                    return Some(self.conclude(Ending::Failed(dispatch::End::Refused)));
                }
                self.forward_ended(&parts);
                Some(reply::whole(parts, body))
            }
            Err(failure) => {
                let ending = self.handle_lost_box(link.name(), failure).await.err()?;
                Some(self.conclude(ending))
            }
        }
    }

    fn done(&mut self, turn: Turn, parts: response::Parts, body: Bytes) -> Response<Answer> {
        turn.report_first_token();
        self.observer.first();
        turn.end(dispatch::End::Done);
        self.observer.done(unit::Tokens(0));
        self.log_end(parts.status, "done", verdict::Verdict::Ran);
        reply::whole(parts, body)
    }

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
    /// reserved; `kept` attempts are still in flight.
    pub(super) fn end_others(&mut self, kept: u32) {
        self.in_flight = kept;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.runs += dropped;
            self.verdict = self.verdict.and(verdict::Verdict::MayHaveRun);
        }
        self.retry = None;
    }

    /// Makes attempts until one is answered.
    async fn first_answer(&mut self, after: Option<&str>) -> Result<Opened, Ending> {
        let silence = Arc::<Silence>::default();
        let mut waiting = FuturesUnordered::new();
        let mut delay = Duration::ZERO;
        // An endpoint's error that came while others were silent.
        let mut own = None;
        loop {
            let mut failed = Vec::new();
            let placed = {
                let mut placing = std::pin::pin!(self.place(after, delay));
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
                    return Ok(opened);
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
                    let begun = self.begin(turn, &endpoint, after, &silence);
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
            match self
                .step(&mut waiting, &silence, (&mut own, retry_at))
                .await?
            {
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
        silence: &Silence,
        (own, mut retry_at): (&mut Option<Box<ErrorAnswer>>, Option<Duration>),
    ) -> Result<ControlFlow<Opened, Duration>, Ending>
    where
        F: Future<Output = Result<Opened, Failed>>,
    {
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
                    if waiting.len() > silence.count() {
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
                () = silence.begun() => {
                    if waiting.len() > silence.count() {
                        continue;
                    }
                    let wait = self.next_wait(Failure::SILENT);
                    self.log_silence(wait);
                    wait
                }
                () = recheck => {
                    if self.has_budget() {
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
    async fn place(&mut self, after: Option<&str>, delay: Duration) -> Result<Place, Ending> {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        loop {
            if let Some(forwarded) = self.forward(after).await {
                return forwarded.map(Place::Box);
            }
            self.check_origin_service().map_err(Ending::Refused)?;
            if let Some(granted) = self.turn().await {
                return granted;
            }
        }
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
        silence: &Arc<Silence>,
    ) -> Result<(Attempt<D>, hyper::Request<Full<Bytes>>), Failed> {
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
        let attempt = Attempt::new(of, run, charge, patience, silence);
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
        }
    }

    /// Returns how long to wait for the head of an attempt's answer before another endpoint may be tried, or
    /// `None` if the request may not run again.
    fn head_wait(&self) -> Option<Duration> {
        self.may_run_again().then(|| self.patience())
    }

    /// Returns how long an endpoint may be silent before another one may be tried, unless it streams.
    fn patience(&self) -> Duration {
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
            "budget" => self.budget_level(),
            "rest_ms" => backoff.map(|backoff| backoff.as_millis()), "again" => wait.is_ok(),
            "why" => wait.err().map(Denial::as_str), "events" => self.observer.events(),
            "left_ms" => self.time_left().as_millis());
    }

    /// Lets all further attempts go only where the stream began.
    pub(super) fn keep_to(&mut self, origin: Option<origin::Origin>) {
        self.ask.build = origin.as_ref().map(|origin| origin.build.clone());
        self.origin = origin;
    }

    /// Restarts the caller's patience: it has received events, and waits for the next one.
    pub(super) fn renew_patience(&mut self) {
        self.ask.age = self.age();
        self.ask
            .renew_patience(self.routed.call.first_token_patience);
    }

    /// Returns the final answer of a request that no endpoint serves.
    pub(super) fn conclude(&mut self, ending: Ending) -> Response<Answer> {
        let refusal = match ending {
            Ending::Shed(reason, retry, cause) => {
                self.cause = cause;
                reply::shed::<D>(reason, retry, self.verdict)
            }
            Ending::HeldBack(retry) => Refusal::held_back(retry, self.verdict),
            Ending::Failed(end) => reply::failed(end, self.verdict),
            Ending::Refused(refusal) => refusal,
            Ending::Own(own) => return self.pass_through(*own),
        };
        self.refuse(&refusal)
    }

    /// Returns an endpoint's own failure as the final answer.
    fn pass_through(&mut self, answer: ErrorAnswer) -> Response<Answer> {
        let ErrorAnswer { parts, body } = answer;
        self.observer.done(unit::Tokens(0));
        self.log_end(parts.status, "endpoint-error", verdict::Verdict::Ran);
        reply::whole(parts, body)
    }

    /// Returns the final answer to a request that got none from an endpoint.
    pub(super) fn refuse(&mut self, refusal: &Refusal) -> Response<Answer> {
        self.observer.refused(refusal);
        self.retry_after = refusal.retry_after;
        self.log_end(refusal.status, refusal.code, refusal.verdict);
        reply::refusal::<D>(refusal, self.routed.head.id.as_deref())
    }

    /// Returns the regions in which the last attempt was allowed to run, or `None` if all were.
    fn allowed(&self) -> Option<String> {
        let allowed = &self.ask.allowed;
        (!allowed.is_everywhere()).then(|| allowed.to_string())
    }

    /// Returns the more urgent class that held the request back, if one did.
    fn held_back_by(&self) -> Option<&str> {
        let class = self.cause.as_ref()?.class()?;
        Some(class.as_str())
    }

    /// Logs the final answer and what led to it.
    pub(super) fn log_end(&self, status: StatusCode, code: &str, verdict: verdict::Verdict) {
        let routed = &self.routed;
        let took = self.now().saturating_sub(routed.call.arrived_at);
        let behind = lock(&self.context.board.catchup).lag(self.now());
        event!(self.context.board.log, RequestEnded, "id" => routed.head.id.as_deref(),
            "route" => %routed.call.key, "team" => %routed.call.team, "rank" => %routed.rank,
            "allowed" => self.allowed(),
            "fingerprint" => crash::known_fingerprint(&self.context.board, &routed.call.content),
            "endpoint" => self.last_endpoint.as_ref().map(name::Endpoint::as_str),
            "prompt" => routed.call.prompt.0, "unread" => self.basis.uncached.0,
            "ahead" => self.basis.pending_ahead.0, "later" => self.basis.pending_less_urgent.0, "kept" => self.basis.prefix_cached, "returned" => routed.call.is_client_retry,
            "cause" => self.cause.as_ref().map(dispatch::Cause::as_str), "held_back_by" => self.held_back_by(),
            "retry_ms" => self.retry_after.map(|wait| wait.as_millis()), "tries" => self.tries,
            "first_ms" => self.observer.first_after().map(|first| first.as_millis()),
            "pause_ms" => self.observer.longest_pause().as_millis(), "events" => self.observer.events(),
            "took_ms" => took.as_millis(), "status" => status.as_u16(), "code" => code, "verdict" => %verdict,
            "revision" => %routed.revision, "behind_ms" => behind.as_millis());
    }
}

/// Sends an attempt, unless it could not be prepared.
async fn send<D: Dialect>(
    begun: Result<(Attempt<D>, hyper::Request<Full<Bytes>>), Failed>,
) -> Result<Opened, Failed> {
    let (attempt, request) = begun?;
    attempt.send(request).await
}
