//! Attempts a request at endpoints until one answers or no further attempt is allowed.

use std::{
    future::Future,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Incoming, header, http::response, Response, StatusCode};
use tokio::task::JoinHandle;

use crate::{
    core::{build, dispatch, name, origin, unit, verdict},
    event,
    ops::entry::{
        answer_head,
        body::Answer,
        crash,
        crash::Target,
        dialect::{Dialect, Disposition, Instruction},
        dispatchers, now,
        observer::Observer,
        reach,
        reply::Refusal,
        retries,
        routed::{continuation::Continuation, forward, pool, reply, Context, Routed},
        turn::{Decision, Turn},
        upstream::{self, Failure},
    },
    util::{lock::lock, metric, socket},
};

/// The least time that a repeatable request waits for a silent endpoint before another one is
/// tried.
const MIN_HEAD_WAIT: Duration = Duration::from_millis(1000);
/// How long a repeatable request waits for a silent endpoint, as a multiple of its route's target.
const HEAD_WAIT_IN_TARGETS: u32 = 4;
/// The time from sending after which a failure without any answer counts as silence. An endpoint
/// that refuses or resets a connection does so within a round trip; a connection whose sent bytes
/// stay unacknowledged breaks later.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How often it is checked whether a silent endpoint is merely busy.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the body of a refusal may take to arrive, for its connection to be kept.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request<D> {
    pub(super) context: Context<D>,
    pub(super) routed: Routed,
    pub(super) observer: Observer,
    ask: dispatch::Ask,
    /// The number of attempts so far.
    pub(super) tries: u32,
    /// The number of attempts that did not reach their endpoint.
    pub(super) misses: u32,
    /// The number of attempts that may have run.
    pub(super) runs: u32,
    /// The number of other boxes that it was sent to.
    pub(super) forwards: u32,
    /// Whether the request may have run, over all attempts.
    pub(super) verdict: verdict::Verdict,
    last_endpoint: Option<name::Endpoint>,
    /// Where the stream that is asked for began, once that is known.
    pub(super) origin: Option<origin::Origin>,
    /// The voters' answer where the stream began, while `origin` is only assumed.
    pub(super) lookup: Option<JoinHandle<origin::Found>>,
    /// The build of the endpoint that the last attempt was sent to.
    pub(super) sent_build: build::Build,
    /// The target of the last attempt.
    sent_to: Option<Target>,
    /// The retry that the next attempt uses, if it is one.
    pub(super) retry: Option<retries::Reserved>,
    /// The estimates by which the last endpoint was chosen.
    basis: dispatch::Basis,
    /// The retry time that the refusal stated.
    retry_after: Option<Duration>,
    /// Why the request was refused for lack of capacity, if it was and this box knows it.
    cause: Option<dispatch::Cause>,
}

/// Where an answer comes from.
#[derive(Debug)]
pub(super) enum Via {
    /// An endpoint, over a connection of this box.
    Endpoint {
        turn: Turn,
        endpoint: name::Endpoint,
        sender: pool::Sender,
    },
    /// Another box.
    Box(forward::Link),
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) via: Via,
    pub(super) parts: response::Parts,
    pub(super) body: Incoming,
}

/// An attempt that failed.
pub(super) struct Failed {
    failure: Failure,
    /// The endpoint's own answer, which the caller gets if no further attempt follows.
    own: Option<(response::Parts, Bytes)>,
}

impl From<Failure> for Failed {
    fn from(failure: Failure) -> Self {
        Self { failure, own: None }
    }
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
            routed,
            observer,
            ask,
            tries: 0,
            misses: 0,
            runs,
            forwards: 0,
            verdict,
            last_endpoint: None,
            origin,
            lookup,
            sent_build: build::Build::default(),
            sent_to: None,
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

    fn service(&self) -> &name::Service {
        &self.routed.call.key.service
    }

    /// Returns the time left until the final answer is due.
    pub(super) fn time_left(&self) -> Duration {
        self.routed.until.saturating_sub(self.now())
    }

    /// Serves a request whose answer is not a stream.
    pub(super) async fn serve_whole(mut self) -> Response<Answer> {
        loop {
            let opened = match self.open(None).await {
                Ok(opened) => opened,
                Err(response) => return response,
            };
            if let Some(response) = self.finish_whole(opened).await {
                return response;
            }
        }
    }

    /// Reads an answer to its end and returns it, or `None` if another attempt follows.
    pub(super) async fn finish_whole(&mut self, opened: Opened) -> Option<Response<Answer>> {
        let Opened { via, parts, body } = opened;
        // The endpoint has run the request, whatever the status.
        self.observer.begun();
        let max_bytes = self.context.limits.max_answer.0;
        let read = Limited::new(body, max_bytes).collect();
        let read = match self.in_time(read).await {
            None => Err(Failure::SILENT),
            Some(Ok(whole)) => Ok(whole.to_bytes()),
            Some(Err(_)) => Err(Failure::BROKEN),
        };
        match via {
            Via::Endpoint {
                turn,
                endpoint,
                sender,
            } => {
                let at = (turn, endpoint, sender);
                self.finish_at_endpoint(at, parts, read).await
            }
            Via::Box(link) => self.finish_at_box(link, parts, read).await,
        }
    }

    /// Returns an endpoint's whole answer, or `None` if another attempt follows.
    async fn finish_at_endpoint(
        &mut self,
        (turn, endpoint, sender): (Turn, name::Endpoint, pool::Sender),
        parts: response::Parts,
        read: Result<Bytes, Failure>,
    ) -> Option<Response<Answer>> {
        let failed = match read {
            Ok(body) => {
                self.keep_connection(&endpoint, sender, &parts.headers);
                if !parts.status.is_server_error() {
                    return Some(self.done(turn, parts, body));
                }
                Failed {
                    failure: Failure::BROKEN,
                    own: Some((parts, body)),
                }
            }
            Err(failure) => failure.into(),
        };
        self.handle_failure(turn, &endpoint, failed).await.err()
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
                    let failed = reply::failed(dispatch::End::Refused, self.verdict);
                    return Some(self.refuse(&failed));
                }
                self.forward_ended(&parts);
                Some(reply::whole(parts, body))
            }
            Err(failure) => self.handle_lost_box(link.name(), failure).await.err(),
        }
    }

    fn keep_connection(
        &self,
        endpoint: &name::Endpoint,
        sender: pool::Sender,
        headers: &hyper::HeaderMap,
    ) {
        let keep = pool::keep_alive_time(headers);
        self.context
            .pool
            .give_back(endpoint, sender, keep, self.now());
    }

    fn done(&mut self, turn: Turn, parts: response::Parts, body: Bytes) -> Response<Answer> {
        turn.report_first_token();
        self.observer.first();
        turn.end(dispatch::End::Done);
        self.observer.done(unit::Tokens(0));
        self.log_end(parts.status, "done", verdict::Verdict::Ran);
        reply::whole(parts, body)
    }

    async fn in_time<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        tokio::time::timeout(self.time_left(), future).await.ok()
    }

    /// Makes attempts until an endpoint begins an answer, or returns the final answer as an error.
    /// A stream is resumed after the event with the id `after`, if there is one.
    pub(super) async fn open(&mut self, after: Option<&str>) -> Result<Opened, Response<Answer>> {
        loop {
            if let Some(forwarded) = self.forward(after).await {
                return forwarded;
            }
            if let Err(refusal) = self.check_origin_service() {
                return Err(self.refuse(&refusal));
            }
            let Some(granted) = self.turn().await else {
                continue;
            };
            let (turn, endpoint) = granted?;
            match self.exchange(&turn, &endpoint, after).await {
                Ok((sender, response)) => {
                    self.spend_retry();
                    let (parts, body) = response.into_parts();
                    let via = Via::Endpoint {
                        turn,
                        endpoint,
                        sender,
                    };
                    return Ok(Opened { via, parts, body });
                }
                Err(failed) => self.handle_failure(turn, &endpoint, failed).await?,
            }
        }
    }

    /// Asks the dispatcher for a slot at an endpoint, and waits for it; returns the final answer as an
    /// error if the request is refused. Returns `None` if another box can serve it meanwhile.
    async fn turn(&mut self) -> Option<Result<(Turn, name::Endpoint), Response<Answer>>> {
        let board = self.context.board.clone();
        let zone = board.own.zone.clone();
        let service = &self.routed.call.key.service;
        let mut turn = Turn::ask(
            &board,
            service,
            &zone,
            &self.routed.call.source,
            self.ask.clone(),
            &self.routed.call.content,
        );
        let may_forward = self.routed.forwarded.is_none() && self.forwards == 0;
        let decision = tokio::select! {
            biased;
            decision = self.in_time(turn.wait()) => decision,
            () = reach::forwardable(&board, service), if may_forward => return None,
        };
        Some(match decision {
            Some(Decision::Granted(endpoint)) => {
                let basis = dispatchers::basis(&board, service, turn.attempt());
                self.basis = basis.unwrap_or_default();
                Ok((turn, endpoint))
            }
            Some(Decision::Shed(reason, retry, cause)) => {
                self.cause = cause;
                Err(self.refuse(&reply::shed::<D>(reason, retry, self.verdict)))
            }
            Some(Decision::HeldBack(retry)) => {
                Err(self.refuse(&Refusal::held_back(retry, self.verdict)))
            }
            None => {
                let reason = dispatch::Reason::Deadline;
                let shed = reply::shed::<D>(reason, MIN_HEAD_WAIT, self.verdict);
                Err(self.refuse(&shed))
            }
        })
    }

    /// Sends the request to an endpoint and reads the head of its answer.
    async fn exchange(
        &mut self,
        turn: &Turn,
        endpoint: &name::Endpoint,
        after: Option<&str>,
    ) -> Result<(pool::Sender, Response<Incoming>), Failed> {
        self.tries += 1;
        self.last_endpoint = Some(endpoint.clone());
        let (target, build) = lock(&self.context.board.registry)
            .get(endpoint)
            .map(|record| {
                let target = Target {
                    endpoint: record.name.clone(),
                    start: record.incarnation,
                    address: record.address,
                    sent_at: self.now(),
                };
                (target, record.build.clone())
            })
            .ok_or(Failure::UNREACHABLE)?;
        self.sent_build = build;
        self.sent_to = Some(target.clone());
        let last_event_id = after.or(self.routed.head.last_event_id.as_deref());
        if let Some(last_event_id) = last_event_id {
            self.log_resumption(&target, last_event_id, after.is_some());
        }
        let instruction = Instruction {
            endpoint,
            timeout: self.time_left(),
            team: self.routed.team.as_ref(),
            rank: self.routed.rank,
            last_event_id,
        };
        let request = self.routed.outgoing.request::<D>(&instruction)?;
        let sent_at = self.now();
        let is_connected = AtomicBool::new(false);
        let sent = self.send(turn, &target, request, &is_connected);
        let sent = self
            .unless_silent(endpoint, self.min_head_wait(), sent)
            .await;
        let sent = sent.unwrap_or_else(|| {
            // Nothing is written before there is a connection.
            Err(if is_connected.load(Ordering::Relaxed) {
                Failure::SILENT
            } else {
                Failure::UNREACHABLE
            })
        });
        let silent = self.now() >= sent_at + MIN_SILENCE;
        if silent && matches!(sent, Err(Failure::SILENT | Failure::BROKEN)) {
            self.context.pool.forget(endpoint, sent_at);
        }
        let (sender, response) = sent?;
        self.check_head(&target, sender, response).await
    }

    /// Logs that the stream goes on at an endpoint after an event, within this answer or taken up by
    /// the caller.
    fn log_resumption(&self, target: &Target, last_event_id: &str, within_answer: bool) {
        let board = &self.context.board;
        let way = match (within_answer, &self.routed.forwarded) {
            (true, _) => "answer",
            (false, None) => "caller",
            (false, Some(_)) => "box",
        };
        event!(board.log, StreamResumed, "id" => self.routed.head.id.as_deref(), "way" => way,
            "begun_by" => self.routed.head.resumes.as_deref(), "after" => last_event_id,
            "endpoint" => %target.endpoint, "build" => %self.sent_build,
            "assumed" => self.lookup.is_some());
    }

    /// Waits for data from an endpoint, for `least` or longer while the endpoint is merely busy.
    /// Returns `None` if it stays silent.
    pub(super) async fn unless_silent<T>(
        &self,
        endpoint: &name::Endpoint,
        least: Duration,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        let mut awaited = std::pin::pin!(awaited);
        let since = self.now();
        let mut until = since + least;
        loop {
            let wait = until.saturating_sub(self.now()).min(self.time_left());
            if let Ok(got) = tokio::time::timeout(wait, awaited.as_mut()).await {
                return Some(got);
            }
            let service = &self.routed.call.key.service;
            let max_silence =
                dispatchers::max_silence(&self.context.board, service, endpoint, least);
            if self.time_left().is_zero() || since + max_silence <= self.now() {
                return None;
            }
            until = self.now() + RECHECK_INTERVAL;
        }
    }

    /// Returns the least time to wait for the head of the answer.
    fn min_head_wait(&self) -> Duration {
        let left = self.time_left();
        if !self.may_run_again() || !self.has_budget() {
            return left;
        }
        let wait = self.routed.route.target() * HEAD_WAIT_IN_TARGETS;
        left.min(wait.max(MIN_HEAD_WAIT))
    }

    /// Sends the request over an idle connection or a new one and waits for the head of the answer.
    /// Sets `is_connected` while the request may have been written.
    async fn send(
        &self,
        turn: &Turn,
        target: &Target,
        request: hyper::Request<Full<Bytes>>,
        is_connected: &AtomicBool,
    ) -> Result<(pool::Sender, Response<Incoming>), Failure> {
        let mut request = request;
        // The endpoint may have closed an idle connection. hyper returns a request of which it has
        // written nothing, so it can be sent on another connection.
        let pool = &self.context.pool;
        while let Some(mut sender) = pool.take(&target.endpoint, target.start, self.now()) {
            if !turn.permits(&target.endpoint) {
                return Err(Failure::NOT_PERMITTED);
            }
            is_connected.store(true, Ordering::Relaxed);
            match pool::send(&mut sender, request).await {
                Ok(response) => {
                    reach::record_answer(&self.context.board, self.service(), false);
                    return Ok((sender, response));
                }
                Err(pool::Unsent::NotWritten(untouched)) => {
                    is_connected.store(false, Ordering::Relaxed);
                    request = *untouched;
                }
                Err(pool::Unsent::Broken) => return Err(Failure::BROKEN),
            }
        }
        let mut timeout = self.context.limits.connect_timeout;
        if reach::is_lost(&self.context.board, self.service()) {
            timeout = timeout.min(reach::CONNECT_TIMEOUT);
        }
        let requests = upstream::dial(target.address, timeout, socket::ENDPOINT).await?;
        // Connecting takes time, and the process may have been frozen meanwhile.
        if !turn.permits(&target.endpoint) {
            return Err(Failure::NOT_PERMITTED);
        }
        let mut sender = pool::Sender::new(target.start, requests);
        is_connected.store(true, Ordering::Relaxed);
        match pool::send(&mut sender, request).await {
            Ok(response) => {
                reach::record_answer(&self.context.board, self.service(), true);
                Ok((sender, response))
            }
            Err(pool::Unsent::NotWritten(_)) => Err(Failure::UNREACHABLE),
            Err(pool::Unsent::Broken) => Err(Failure::BROKEN),
        }
    }

    /// Returns the answer if its head shows that the endpoint answered this request.
    async fn check_head(
        &self,
        target: &Target,
        sender: pool::Sender,
        response: Response<Incoming>,
    ) -> Result<(pool::Sender, Response<Incoming>), Failed> {
        let endpoint = &target.endpoint;
        let id = self.routed.head.id.as_deref();
        let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        let board = &self.context.board;
        match answer_head::observe::<D, _>(
            board,
            &self.routed.call.key.service,
            target,
            &response,
            id,
        ) {
            Disposition::Answer if !encoded => Ok((sender, response)),
            Disposition::Answer | Disposition::Mismatched => Err(Failure::BROKEN.into()),
            Disposition::Refused => {
                let (parts, body) = response.into_parts();
                let whole = Limited::new(body, self.context.limits.max_answer.0).collect();
                if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, whole).await {
                    self.keep_connection(endpoint, sender, &parts.headers);
                }
                Err(Failure::REFUSED.into())
            }
            Disposition::Misdirected => {
                event!(self.context.board.log, EndpointAddressReassigned, "endpoint" => %endpoint,
                    "id" => id);
                // Ends only the start to which the connection was made: a later one may have
                // announced itself since.
                lock(&self.context.board.registry).end(endpoint, sender.start());
                Err(Failure::MISDIRECTED.into())
            }
        }
    }

    /// Releases the slot of a failed attempt, and prepares the next attempt; if there is none,
    /// returns the final answer as an error.
    pub(super) async fn handle_failure(
        &mut self,
        turn: Turn,
        endpoint: &name::Endpoint,
        failed: Failed,
    ) -> Result<(), Response<Answer>> {
        let Failed { failure, own } = failed;
        if failure.may_have_arrived() {
            self.spend_retry();
        }
        let attempt = turn.attempt();
        turn.end(failure.end);
        if own.is_none() {
            self.record_link_failure(endpoint, failure);
            if failure.end == dispatch::End::Broken {
                self.check_for_crash().await;
            }
        }
        self.verdict = self.verdict.and(failure.verdict);
        let may_have_run = failure.verdict != verdict::Verdict::NotRun;
        self.runs += u32::from(may_have_run);
        if may_have_run && !self.is_stream() {
            self.observer.begun();
        }
        self.misses += u32::from(failure.missed_endpoint());
        let wait = self.next_wait(failure);
        let backoff = self.context.board.remaining_backoff(endpoint);
        event!(self.context.board.log, RequestRetried, "id" => self.routed.head.id.as_deref(),
            "endpoint" => %endpoint, "how" => ?failure.end, "tries" => self.tries,
            "budget" => self.budget_level(),
            "rest_ms" => backoff.map(|backoff| backoff.as_millis()), "again" => wait.is_ok(), "why" => wait.err().map(|denial| denial.as_str()),
            "events" => self.observer.events(), "left_ms" => self.time_left().as_millis());
        let Ok(wait) = wait else {
            return Err(match own {
                Some((parts, body)) => self.pass_through(parts, body),
                None => self.refuse(&reply::failed(failure.end, self.verdict)),
            });
        };
        tokio::time::sleep(wait).await;
        self.ask = dispatch::Ask {
            attempt: attempt.next(),
            age: self.now().saturating_sub(self.routed.call.arrived_at),
            avoid: Some(endpoint.clone()),
            ..self.ask.clone()
        };
        Ok(())
    }

    /// Records that the attempt, if it was a retry, was sent.
    pub(super) fn spend_retry(&mut self) {
        if let Some(retry) = self.retry.take() {
            retry.spend();
        }
    }

    /// Records a failure without an answer, which may come from this box's links.
    fn record_link_failure(&self, endpoint: &name::Endpoint, failure: Failure) {
        let sent_at = self.sent_to.as_ref().map(|target| target.sent_at);
        let was_silent = sent_at.is_some_and(|sent_at| self.now() >= sent_at + MIN_SILENCE);
        let is_sign = match failure.end {
            dispatch::End::Unreachable | dispatch::End::Broken => true,
            // The caller's time may have ended before any answer was due.
            dispatch::End::Silent => was_silent,
            _ => false,
        };
        if is_sign {
            reach::record_failure(&self.context.board, self.service(), endpoint);
        }
    }

    /// Checks whether the endpoint that broke off the request has crashed, and records it if so.
    async fn check_for_crash(&self) {
        let Some(target) = &self.sent_to else { return };
        let call = &self.routed.call;
        let id = self.routed.head.id.as_deref().unwrap_or_default();
        let at = (&call.key.service, target);
        crash::record_if_crashed(&self.context.board, &call.content, id, at).await;
    }

    /// Lets all further attempts go only where the stream began.
    pub(super) fn keep_to(&mut self, origin: Option<origin::Origin>) {
        self.ask.build = origin.as_ref().map(|origin| origin.build.clone());
        self.origin = origin;
    }

    /// Restarts the caller's patience: it has received events, and waits for the next one.
    pub(super) fn renew_patience(&mut self) {
        self.ask
            .renew_patience(self.routed.call.first_token_patience);
    }

    /// Returns an endpoint's own failure as the final answer.
    fn pass_through(&mut self, parts: response::Parts, body: Bytes) -> Response<Answer> {
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
