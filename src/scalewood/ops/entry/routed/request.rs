//! A request of a route, from its first attempt to its final answer.
//!
//! While an attempt's endpoint is silent, another endpoint is asked beside it, if the route and the retry
//! budget allow that. The first that answers serves the request, and the others end. Without another
//! attempt the silent endpoint is waited for.

use std::{
    ops::ControlFlow,
    sync::{atomic::AtomicU32, Arc},
    time::Duration,
};

use hyper::{http::response, Response, StatusCode};
use tokio::task::JoinHandle;

use crate::{
    core::{build, dispatch, name, origin, unit, verdict},
    event,
    ops::entry::{
        body::Answer,
        buffer::Held,
        crash,
        dialect::Dialect,
        drain,
        incoming::{Kind, Part},
        now,
        observer::Observer,
        reply::Refusal,
        retries,
        routed::{
            attempt::{ErrorAnswer, Opened, Via},
            continuation::Continuation,
            forward,
            hedge::{Next, Progress},
            reply, Context, Routed,
        },
        turn::Turn,
        upstream::Failure,
    },
    util::{lock::lock, metric},
};

/// How long after a refused attempt beside a silent endpoint another one is made at the earliest, and how often it
/// is checked whether one is allowed.
pub(super) const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The latest time after a refused attempt at which another one is made: the dispatcher names a time after which
/// callers may come back, and an endpoint may be free before.
pub(super) const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Why a request gets no answer of an endpoint.
#[derive(Debug)]
pub(super) enum Ending {
    /// No dispatcher grants a slot; the caller may retry after the given time.
    Shed(dispatch::Reason, Duration, Option<dispatch::Cause>),
    /// Endpoints crashed during the request; the caller may retry after the given time.
    HeldBack(Duration),
    /// This box stops, and an answer could not be finished here any more.
    Stopping,
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
            Ending::Stopping => drain::RETRY_AFTER,
            Ending::Failed(_) | Ending::Own(_) => Duration::ZERO,
        };
        stated.clamp(MIN_RECHECK_INTERVAL, MAX_RECHECK_INTERVAL)
    }
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Request<D> {
    pub(super) context: Context<D>,
    pub(super) routed: Arc<Routed>,
    pub(super) observer: Observer,
    pub(super) ask: dispatch::Ask,
    /// The number of attempts so far.
    pub(super) tries: u32,
    /// The number of attempts that did not reach their endpoint.
    pub(super) misses: u32,
    /// The number of attempts that have ended by themselves and may have run.
    pub(super) runs: u32,
    /// The number of attempts that were ended since another one serves.
    pub(super) ended: u32,
    /// The number of attempts that have not ended.
    pub(super) in_flight: u32,
    /// The number of attempts that were written and dropped, and are not counted in `ended` yet.
    pub(super) dropped: Arc<AtomicU32>,
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
    /// Its place among the requests that wait for a retry beside a silent endpoint, if it does.
    pub(super) waiting: Option<retries::Waiting>,
    /// Whether a slot was asked for last, and not granted.
    pub(super) is_asking: bool,
    /// The estimates by which the last endpoint was chosen.
    pub(super) basis: dispatch::Basis,
    /// The retry time that the refusal stated.
    pub(super) retry_after: Option<Duration>,
    /// Why the request was refused for lack of capacity, if it was and this box knows it.
    pub(super) cause: Option<dispatch::Cause>,
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
            ended: 0,
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
            waiting: None,
            basis: dispatch::Basis::default(),
            retry_after: None,
            cause: None,
        }
    }

    pub(super) fn is_stream(&self) -> bool {
        self.routed.route.kind.is_stream()
    }

    /// Returns what its answer is received as if it is a success.
    pub(super) fn kind(&self) -> Kind {
        if self.is_stream() {
            Kind::Stream
        } else {
            Kind::Whole
        }
    }

    pub(super) fn now(&self) -> Duration {
        now(&self.context.board)
    }

    /// Returns the time since the request arrived from its caller.
    pub(super) fn age(&self) -> Duration {
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
    ) -> ControlFlow<(Via, response::Parts, Result<Held, Failure>), Opened> {
        let Opened {
            mut via,
            parts,
            mut body,
        } = opened;
        if self.is_stream() {
            // A stream can't take the place of an answer with a whole body.
            let read = self.context.read(&self.routed, &mut body).await;
            return ControlFlow::Break((via, parts, read));
        }
        let (patience, progress) = (self.patience(), Progress::default());
        let read = loop {
            let answer = (&mut via, &mut body);
            match self.next(answer, patience, &progress).await {
                Next::Replacement(opened, has_broken) => {
                    if has_broken {
                        self.end_broken(via);
                    }
                    return ControlFlow::Continue(*opened);
                }
                Next::Nothing => break Err(Failure::SILENT),
                Next::Part(Ok(Part::End)) => break Ok(body.take_all()),
                Next::Part(Ok(_)) => {}
                Next::Part(Err(failure)) => break Err(failure),
            }
        };
        ControlFlow::Break((via, parts, read))
    }

    /// Returns another box's whole answer, or `None` if another attempt follows.
    async fn finish_at_box(
        &mut self,
        link: forward::Link,
        parts: response::Parts,
        read: Result<Held, Failure>,
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

    fn done(&mut self, turn: Turn, parts: response::Parts, body: Held) -> Response<Answer> {
        turn.report_first_token();
        self.observer.first();
        turn.end(dispatch::End::Done);
        self.observer.done(unit::Tokens(0));
        self.log_end(parts.status, "done", verdict::Verdict::Ran);
        reply::whole(parts, body)
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
            Ending::Stopping => return self.hand_over(),
            Ending::Failed(end) => reply::failed(end, self.verdict),
            Ending::Refused(refusal) => refusal,
            Ending::Own(own) => return self.pass_through(*own),
        };
        self.refuse(&refusal)
    }

    /// Returns the answer by which the request goes on at another box. If another box forwarded it,
    /// that one finds a third.
    fn hand_over(&mut self) -> Response<Answer> {
        let mut response = self.refuse(&drain::refusal(self.verdict));
        if self.routed.forwarded.is_some() && self.verdict == verdict::Verdict::NotRun {
            forward::mark_given_back(&mut response);
        }
        response
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
