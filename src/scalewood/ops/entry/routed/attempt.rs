//! One attempt of a request at an endpoint, from the grant of its slot until its answer serves the request.
//!
//! An endpoint that sends nothing for long may be dead or may have paused. Its attempt goes on, and says
//! so, so that the request can be tried at another endpoint beside it. The first of several attempts whose answer
//! has begun with more than its head serves: after its head alone an endpoint may still break off.

use std::{
    future::Future,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use hyper::{body::Incoming, header, http::response, Request, Response};
use tokio::sync::{watch, Notify};

use crate::{
    core::{build, dispatch, name, unit},
    event,
    ops::entry::{
        answer_head,
        buffer::Held,
        crash,
        crash::Target,
        dialect::{Dialect, Disposition},
        dispatchers,
        incoming::{self, Body, Kind},
        now, payload, reach, retries,
        routed::{forward, pool, Context, Routed},
        turn::Turn,
        upstream::{self, Failure},
    },
    util::{lock::lock, metric, socket},
};

/// The time from sending after which a failure without any answer counts as silence. An endpoint
/// that refuses or resets a connection does so within a round trip; a connection whose sent bytes
/// stay unacknowledged breaks later.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How often it is checked whether a silent endpoint is merely busy.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the body of a refusal may take to arrive, for its connection to be kept.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// The longest body of a refusal after which its connection is kept.
const MAX_REFUSAL_BODY: unit::Size = unit::Size(64 << 10);

/// The run of a request at an endpoint: a slot that it holds there.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) turn: Turn,
    pub(super) target: Target,
    /// The endpoint's build, by its heartbeats.
    pub(super) build: build::Build,
    /// The estimates by which the endpoint was chosen.
    pub(super) basis: dispatch::Basis,
}

/// Where an answer comes from.
#[derive(Debug)]
pub(super) enum Via {
    /// An endpoint, over a connection of this box.
    Endpoint { run: Box<Run>, sender: pool::Sender },
    /// Another box.
    Box(forward::Link),
}

/// An answer that serves the request; its head has arrived.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) via: Via,
    pub(super) parts: response::Parts,
    pub(super) body: Body,
}

/// An error with which an endpoint answered.
#[derive(Debug)]
pub(super) struct ErrorAnswer {
    pub(super) parts: response::Parts,
    pub(super) body: Held,
}

/// An attempt that failed.
#[derive(Debug)]
pub(super) struct Failed {
    pub(super) endpoint: name::Endpoint,
    pub(super) failure: Failure,
    /// The endpoint's own answer, which the caller gets if no further attempt follows.
    pub(super) own: Option<Box<ErrorAnswer>>,
    /// The retry that the attempt would have used, if it arrived nowhere.
    pub(super) retry: Option<retries::Reserved>,
    /// The connection over which the request was sent, if it is known.
    pub(super) used: Option<pool::Use>,
}

/// The attempts of a request that are open at the same time.
#[derive(Debug)]
pub(super) struct Race {
    /// The number of attempts whose outcome is not known.
    open: watch::Sender<usize>,
    /// Whether an answer that has begun may still go on.
    has_answer: bool,
    /// The number of attempts whose endpoints are silent.
    silent: AtomicU32,
    silence_begun: Notify,
}

impl Race {
    /// Creates a race without attempts, beside an answer that has begun if there is one.
    pub(super) fn new(has_answer: bool) -> Self {
        Self {
            open: watch::Sender::new(0),
            has_answer,
            silent: AtomicU32::new(0),
            silence_begun: Notify::new(),
        }
    }

    /// Returns the number of attempts whose endpoints are silent.
    pub(super) fn silent(&self) -> usize {
        self.silent.load(Ordering::Relaxed) as usize
    }

    /// Waits until another endpoint is silent.
    pub(super) async fn silence_begun(&self) {
        self.silence_begun.notified().await;
    }

    /// Waits until no more than `count` attempts are left, and no answer beside them.
    pub(super) async fn narrowed_to(&self, count: usize) {
        if self.has_answer {
            std::future::pending().await
        }
        // The sender lives as long as the race.
        let _ = self.open.subscribe().wait_for(|open| *open <= count).await;
    }

    fn begin_silence(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
        self.silence_begun.notify_one();
    }

    fn end_silence(&self) {
        self.silent.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What an attempt costs: the retry that it uses, if it is one, and one of the route's attempts. Both are
/// spent once the request may have been written.
#[derive(Debug)]
pub(super) struct Charge {
    retry: Option<retries::Reserved>,
    pub(super) is_written: Arc<AtomicBool>,
    /// Whether the outcome of the attempt is known.
    is_settled: bool,
    /// The number of a request's attempts that were written and dropped before their outcome was known.
    dropped: Arc<AtomicU32>,
}

impl Charge {
    pub(super) fn new(retry: Option<retries::Reserved>, dropped: &Arc<AtomicU32>) -> Self {
        Self {
            retry,
            is_written: Arc::default(),
            is_settled: false,
            dropped: dropped.clone(),
        }
    }

    /// Ends the charge of an attempt whose outcome is known. Returns the retry if the request arrived nowhere.
    pub(super) fn settle(mut self, has_arrived: bool) -> Option<retries::Reserved> {
        self.is_settled = true;
        self.is_written.store(has_arrived, Ordering::Relaxed);
        if has_arrived {
            return None;
        }
        self.retry.take()
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_written.load(Ordering::Relaxed) {
            return;
        }
        if let Some(retry) = self.retry.take() {
            retry.spend();
        }
        if !self.is_settled {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// An attempt at an endpoint whose answer does not serve the request yet.
#[derive(Debug)]
pub(super) struct Attempt<D> {
    context: Context<D>,
    routed: Arc<Routed>,
    run: Box<Run>,
    charge: Charge,
    /// How long the endpoint may send nothing before another one may be tried; `None` if none may.
    patience: Option<Duration>,
    race: Arc<Race>,
    /// Whether the endpoint is silent.
    is_silent: bool,
    /// The connection over which the request was sent last.
    used: Option<pool::Use>,
}

impl<D: Dialect> Attempt<D> {
    pub(super) fn new(
        (context, routed): (&Context<D>, &Arc<Routed>),
        run: Run,
        charge: Charge,
        patience: Option<Duration>,
        race: &Arc<Race>,
    ) -> Self {
        race.open.send_modify(|open| *open += 1);
        Self {
            context: context.clone(),
            routed: routed.clone(),
            run: Box::new(run),
            charge,
            patience,
            race: race.clone(),
            is_silent: false,
            used: None,
        }
    }

    /// Sends the request and waits until its answer serves the request, at most until the request's deadline: with
    /// its head if no other attempt is open, and once it has begun with more than that otherwise. Dropping the
    /// future ends the run. An answer with a server error counts as a failure, with its whole body.
    pub(super) async fn send(mut self, request: Request<payload::Body>) -> Result<Opened, Failed> {
        match self.answer(request).await {
            Ok((sender, response)) if !response.status().is_server_error() => {
                let (parts, body) = response.into_parts();
                let mut body = self.context.receive(body);
                if let Err(failure) = self.begin(&parts, &mut body).await {
                    return Err(self.fail(failure, None).await);
                }
                self.charge.settle(true);
                let run = self.run;
                let via = Via::Endpoint { run, sender };
                Ok(Opened { via, parts, body })
            }
            Ok((sender, response)) => self.read_error(sender, response).await,
            Err(failure) => Err(self.fail(failure, None).await),
        }
    }

    /// Reads an endpoint's server error.
    async fn read_error(
        self,
        sender: pool::Sender,
        response: Response<Incoming>,
    ) -> Result<Opened, Failed> {
        let (parts, body) = response.into_parts();
        let mut body = self.context.receive(body);
        let read = self.context.read(&self.routed, &mut body).await;
        Err(match read {
            Ok(body) => {
                let endpoint = &self.run.target.endpoint;
                self.context
                    .keep_connection(endpoint, sender, &parts.headers);
                let own = Box::new(ErrorAnswer { parts, body });
                self.fail(Failure::BROKEN, Some(own)).await
            }
            Err(failure) => self.fail(failure, None).await,
        })
    }

    /// Ends the attempt after a failure.
    async fn fail(self, failure: Failure, own: Option<Box<ErrorAnswer>>) -> Failed {
        let retry = self.charge.settle(failure.may_have_arrived());
        if self.is_silent {
            self.race.end_silence();
        }
        self.race.open.send_modify(|open| *open -= 1);
        let (endpoint, used) = (self.run.target.endpoint.clone(), self.used);
        let ending = self
            .run
            .fail(&self.context, &self.routed, failure, own.is_some());
        ending.await;
        Failed {
            endpoint,
            failure,
            own,
            retry,
            used,
        }
    }

    /// Sends the request and waits for the head of the answer, and checks it.
    async fn answer(
        &mut self,
        request: Request<payload::Body>,
    ) -> Result<(pool::Sender, Response<Incoming>), Failure> {
        let endpoint = self.run.target.endpoint.clone();
        let sent_at = now(&self.context.board);
        let answered = self.head(request).await;
        let silent = now(&self.context.board) >= sent_at + MIN_SILENCE;
        if silent && matches!(answered, Err(Failure::SILENT | Failure::BROKEN)) {
            self.context.pool.forget(&endpoint, sent_at);
        }
        let (sender, response) = answered?;
        self.check_head(sender, response).await
    }

    /// Sends the request and waits for the head of the answer.
    async fn head(
        &mut self,
        request: Request<payload::Body>,
    ) -> Result<(pool::Sender, Response<Incoming>), Failure> {
        let (context, routed) = (self.context.clone(), self.routed.clone());
        let permits = self.run.turn.permission(&self.run.target.endpoint);
        let (target, is_written) = (self.run.target.clone(), self.charge.is_written.clone());
        let mut used = None;
        let sending = (&permits, &*is_written, &mut used);
        let sent = context.send(&routed, &target, request, sending);
        // Nothing is written before there is a connection.
        let failure = || {
            if is_written.load(Ordering::Relaxed) {
                Failure::SILENT
            } else {
                Failure::UNREACHABLE
            }
        };
        let sent = self.unless_late(sent, failure).await;
        self.used = used;
        sent
    }

    /// Waits until an answer whose head has arrived has begun, or no other attempt is open.
    async fn begin(&mut self, parts: &response::Parts, body: &mut Body) -> Result<(), Failure> {
        let is_stream = self.routed.route.kind.is_stream() && parts.status.is_success();
        let kind = if is_stream { Kind::Stream } else { Kind::Whole };
        let race = self.race.clone();
        let begun = async {
            tokio::select! {
                biased;
                () = race.narrowed_to(1) => Ok(()),
                begun = body.begin(kind) => begun,
            }
        };
        self.unless_late(begun, || Failure::SILENT).await
    }

    /// Waits for data from the endpoint until the request's deadline; `failure` states how it fails then.
    /// Reports an endpoint that is silent for long, and goes on waiting.
    async fn unless_late<T>(
        &mut self,
        awaited: impl Future<Output = Result<T, Failure>>,
        failure: impl Fn() -> Failure,
    ) -> Result<T, Failure> {
        let Self {
            context,
            routed,
            run,
            patience,
            race,
            is_silent,
            ..
        } = self;
        let mut awaited = std::pin::pin!(awaited);
        if let Some(least) = *patience {
            let endpoint = run.target.endpoint.clone();
            let patient = context.unless_silent(routed, &endpoint, least, awaited.as_mut());
            match patient.await {
                Some(got) => return got,
                None if failure() == Failure::UNREACHABLE => return Err(Failure::UNREACHABLE),
                None if context.time_left(routed).is_zero() => return Err(Failure::SILENT),
                None => {}
            }
            context.report_silence(routed, run);
            *is_silent = true;
            race.begin_silence();
        }
        let reported_at = now(&context.board);
        let got = tokio::time::timeout(context.time_left(routed), awaited).await;
        let got = got.unwrap_or_else(|_| Err(failure()));
        if *is_silent && got.is_ok() {
            *is_silent = false;
            race.end_silence();
            context.report_return(routed, run, reported_at);
        }
        got
    }

    /// Returns the answer if its head shows that the endpoint answered this request.
    async fn check_head(
        &self,
        sender: pool::Sender,
        response: Response<Incoming>,
    ) -> Result<(pool::Sender, Response<Incoming>), Failure> {
        let target = &self.run.target;
        let id = self.routed.head.id.as_deref();
        let is_reused = self.used.is_some_and(|used| used.earlier > 0);
        if is_reused && D::echoed_id(response.headers()).is_none() {
            // It may belong to an earlier request.
            return Err(Failure::BROKEN);
        }
        let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        let board = &self.context.board;
        let service = &self.routed.call.key.service;
        match answer_head::observe::<D, _>(board, service, target, &response, id) {
            Disposition::Answer if !encoded => Ok((sender, response)),
            Disposition::Answer | Disposition::Mismatched => Err(Failure::BROKEN),
            Disposition::Refused => {
                let (parts, body) = response.into_parts();
                let whole = incoming::discard(body, MAX_REFUSAL_BODY);
                if let Ok(true) = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, whole).await {
                    let endpoint = &target.endpoint;
                    self.context
                        .keep_connection(endpoint, sender, &parts.headers);
                }
                Err(Failure::REFUSED)
            }
            Disposition::Misdirected => {
                event!(board.log, EndpointAddressReassigned, "endpoint" => %target.endpoint,
                    "id" => id);
                // Ends only the start to which the connection was made: a later one may have
                // announced itself since.
                lock(&board.registry).end(&target.endpoint, sender.start());
                Err(Failure::MISDIRECTED)
            }
        }
    }
}

impl Run {
    /// Ends the run after a failure, and records what the failure says of the endpoint and of the links;
    /// `has_answer` states whether the endpoint answered with an error.
    pub(super) async fn fail<D: Dialect>(
        self,
        context: &Context<D>,
        routed: &Routed,
        failure: Failure,
        has_answer: bool,
    ) {
        let Self { turn, target, .. } = self;
        turn.end(failure.end);
        if has_answer {
            return;
        }
        context.record_link_failure(routed, &target, failure);
        if failure.end == dispatch::End::Broken {
            let id = routed.head.id.as_deref().unwrap_or_default();
            let at = (&routed.call.key.service, &target);
            crash::record_if_crashed(&context.board, &routed.call.content, id, at).await;
        }
    }
}

impl<D: Dialect> Context<D> {
    /// Returns the time left until a request's final answer is due.
    pub(super) fn time_left(&self, routed: &Routed) -> Duration {
        routed.until.saturating_sub(now(&self.board))
    }

    /// Begins to receive a body, within the memory for answers.
    pub(super) fn receive(&self, body: Incoming) -> Body {
        Body::new(body, &self.answers, self.limits.max_answer)
    }

    /// Reads an endpoint's body to its end, at most until the request's deadline.
    pub(super) async fn read(&self, routed: &Routed, body: &mut Body) -> Result<Held, Failure> {
        let whole = tokio::time::timeout(self.time_left(routed), body.whole()).await;
        whole.unwrap_or(Err(Failure::SILENT))
    }

    /// Keeps a connection whose answer, with these headers, was read to its end, if it names its request: a
    /// copy that follows could not be told from the answer to the next one otherwise.
    pub(super) fn keep_connection(
        &self,
        endpoint: &name::Endpoint,
        sender: pool::Sender,
        headers: &hyper::HeaderMap,
    ) {
        if D::echoed_id(headers).is_none() {
            return;
        }
        let keep = pool::keep_alive_time(headers);
        self.pool
            .give_back(endpoint, sender, keep, now(&self.board));
    }

    /// Waits for data from an endpoint, for `least` or longer while the endpoint is merely busy.
    /// Returns `None` if it stays silent.
    pub(super) async fn unless_silent<T>(
        &self,
        routed: &Routed,
        endpoint: &name::Endpoint,
        least: Duration,
        awaited: impl Future<Output = T>,
    ) -> Option<T> {
        let mut awaited = std::pin::pin!(awaited);
        let since = now(&self.board);
        let mut until = since + least;
        loop {
            let wait = until.saturating_sub(now(&self.board));
            let wait = wait.min(self.time_left(routed));
            if let Ok(got) = tokio::time::timeout(wait, awaited.as_mut()).await {
                return Some(got);
            }
            let service = &routed.call.key.service;
            let max_silence = dispatchers::max_silence(&self.board, service, endpoint, least);
            if self.time_left(routed).is_zero() || since + max_silence <= now(&self.board) {
                return None;
            }
            until = now(&self.board) + BUSY_CHECK_INTERVAL;
        }
    }

    /// Reports that the endpoint of a run is silent, while the run goes on.
    pub(super) fn report_silence(&self, routed: &Routed, run: &mut Run) {
        run.turn.report_silence();
        let target = &run.target;
        self.pool.forget(&target.endpoint, target.sent_at);
        self.record_link_failure(routed, target, Failure::SILENT);
        self.count_silence(routed, "begun");
    }

    /// Reports that the endpoint of a run goes on after it was reported silent at `reported_at`.
    pub(super) fn report_return(&self, routed: &Routed, run: &mut Run, reported_at: Duration) {
        run.turn.report_return();
        reach::record_answer(&self.board, &routed.call.key.service, false);
        self.count_silence(routed, "ended");
        let since = now(&self.board).saturating_sub(reported_at);
        event!(self.board.log, EndpointReturned, "id" => routed.head.id.as_deref(),
            "endpoint" => %run.target.endpoint, "after_ms" => since.as_millis());
    }

    fn count_silence(&self, routed: &Routed, stage: &'static str) {
        let label = metric::SilenceLabel {
            service: routed.call.key.service.to_string(),
            stage,
        };
        self.board.metrics.silences.get_or_create(&label).inc();
    }

    /// Records a failure without an answer, which may come from this box's links.
    fn record_link_failure(&self, routed: &Routed, target: &Target, failure: Failure) {
        let was_silent = now(&self.board) >= target.sent_at + MIN_SILENCE;
        let is_sign = match failure.end {
            dispatch::End::Unreachable | dispatch::End::Broken => true,
            // The caller's time may have ended before any answer was due.
            dispatch::End::Silent => was_silent,
            _ => false,
        };
        if is_sign {
            let service = &routed.call.key.service;
            reach::record_failure(&self.board, service, &target.endpoint);
        }
    }

    /// Sends a request over an idle connection or a new one and waits for the head of the answer.
    /// Sets `is_written` while the request may have been written, and `used` to the connection.
    async fn send(
        &self,
        routed: &Routed,
        target: &Target,
        request: Request<payload::Body>,
        (permits, is_written, used): (&impl Fn() -> bool, &AtomicBool, &mut Option<pool::Use>),
    ) -> Result<(pool::Sender, Response<Incoming>), Failure> {
        let mut request = request;
        let service = &routed.call.key.service;
        // The endpoint may have closed an idle connection. hyper returns a request of which it has
        // written nothing, so it can be sent on another connection.
        let pool = &self.pool;
        let id = routed.head.id.as_deref().map(|id| pool.id(id));
        let to = (&target.endpoint, target.start);
        let idle = || pool.take(to, id?, now(&self.board));
        while let Some(mut sender) = idle() {
            if !permits() {
                return Err(Failure::NOT_PERMITTED);
            }
            is_written.store(true, Ordering::Relaxed);
            *used = Some(sender.begin_use(id));
            match pool::send(&mut sender, target.address, request).await {
                Ok(response) => {
                    reach::record_answer(&self.board, service, false);
                    return Ok((sender, response));
                }
                Err(upstream::Unsent::NotWritten(untouched)) => {
                    is_written.store(false, Ordering::Relaxed);
                    request = *untouched;
                }
                Err(upstream::Unsent::Broken) => return Err(Failure::BROKEN),
            }
        }
        let mut timeout = self.limits.connect_timeout;
        if reach::is_lost(&self.board, service) {
            timeout = timeout.min(reach::CONNECT_TIMEOUT);
        }
        let requests = upstream::dial(target.address, timeout, socket::ENDPOINT).await?;
        // Connecting takes time, and the process may have been frozen meanwhile.
        if !permits() {
            return Err(Failure::NOT_PERMITTED);
        }
        let mut sender = pool::Sender::new(target.start, requests);
        is_written.store(true, Ordering::Relaxed);
        *used = Some(sender.begin_use(id));
        match pool::send(&mut sender, target.address, request).await {
            Ok(response) => {
                reach::record_answer(&self.board, service, true);
                Ok((sender, response))
            }
            Err(upstream::Unsent::NotWritten(_)) => Err(Failure::UNREACHABLE),
            Err(upstream::Unsent::Broken) => Err(Failure::BROKEN),
        }
    }
}
