//! Calls of plain services, and non-streamed calls of models.
//!
//! The complete answer is read before any of it is sent to the caller, so that a repeatable call
//! can be retried whenever its endpoint fails. A call that is not repeatable is retried only if it
//! did not run. If such a call has an idempotency key, the key is claimed before it is sent.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{header, HeaderMap, Method, Response, StatusCode};

use crate::{
    core::{self, config, dispatch, invariant, name, unit, verdict},
    ops::entry::{
        answer_head,
        arrival::Arrivals,
        body::Answer,
        buffer::{Budget, Held},
        call::{self, Call},
        claim, crash,
        crash::Target,
        dialect::{self, Disposition},
        hedge,
        incoming::Body,
        now,
        observer::Observer,
        payload::{self, Payload},
        prompt,
        reply::{Refusal, REQUEST_HEADER, VERDICT_HEADER},
        upstream::{self, Failure, Pool},
        Limits, Shared,
    },
};

/// The header that carries a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Headers that are not forwarded: they concern one connection only, or this box sets them.
const UNFORWARDED_HEADERS: [header::HeaderName; 9] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::HOST,
    header::AUTHORIZATION,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::EXPECT,
];

/// A request to send to an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub(super) method: Method,
    /// Path and query.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Payload,
}

impl Outgoing {
    /// Returns the HTTP request for an endpoint at an address, without the headers that are not
    /// forwarded.
    pub(super) fn request(
        &self,
        address: SocketAddr,
        call: &Call,
    ) -> Result<hyper::Request<payload::Body>, Failure> {
        let mut request = hyper::Request::builder()
            .method(self.method.clone())
            .uri(&self.target);
        for (name, value) in &self.headers {
            if !UNFORWARDED_HEADERS.contains(name) && !name.as_str().starts_with("scalewood-") {
                request = request.header(name, value);
            }
        }
        request = request.header(header::HOST, address.to_string());
        request = request.header(REQUEST_HEADER, call.request.to_string());
        request.body(self.body.body()).map_err(|_| Failure::REFUSED)
    }
}

/// The state of this box that serving a call needs.
#[derive(Clone, Debug)]
pub(super) struct Context {
    pub(super) board: Shared,
    pub(super) pool: Pool,
    pub(super) limits: Limits,
    /// The memory for endpoints' answers.
    pub(super) answers: Arc<Budget>,
    /// The bodies that are arriving.
    pub(super) arrivals: Arrivals,
}

/// Serves a call and returns the endpoint's complete answer. Claims the idempotency key first if
/// the call has one and is not repeatable.
pub(super) async fn serve(
    context: &Context,
    call: &Call,
    outgoing: &Outgoing,
    key: Option<&str>,
) -> Result<Response<Answer>, Refusal> {
    let mut claimed = match key {
        Some(key) if !call.class.repeatable => Some(claim_key(context, call, key).await?),
        _ => None,
    };
    let served = attempts(context, call, outgoing, claimed.as_ref()).await;
    if let Some(claimed) = &mut claimed {
        claimed.end(match &served {
            Ok(_) => verdict::Verdict::Ran,
            Err(refusal) => refusal.verdict,
        });
    }
    served
}

/// Returns the caller's idempotency key if it sent one.
pub(super) fn key_of(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .ok()
        .filter(|text| !text.is_empty() && text.len() <= MAX_KEY_BYTES);
    text.map(Some).ok_or_else(|| {
        let why =
            format!("the {KEY_HEADER} must have 1 to {MAX_KEY_BYTES} visible ASCII characters");
        Refusal::not_run(StatusCode::BAD_REQUEST, "bad-key", why)
    })
}

/// Claims an idempotency key for a call.
async fn claim_key(context: &Context, call: &Call, text: &str) -> Result<claim::Claim, Refusal> {
    let key = core::claim::Key::new(&call.team, &call.key.service, text);
    let claimed = claim::claim(&context.board, key, call.request).await;
    claimed.map_err(|outcome| match outcome {
        core::claim::Outcome::Lost(record) => key_taken(&record),
        _ => key_undecided(),
    })
}

/// Returns the refusal of a call whose key is claimed by another request.
fn key_taken(record: &core::claim::Record) -> Refusal {
    let (verdict, why) = match record.ended {
        Some(verdict) => (
            verdict,
            "a call with this key has been served; use a new key for a new call",
        ),
        None => {
            let why = "a call with this key is running, or its box was lost; do not send it under \
                       another key before you know whether it ran";
            (verdict::Verdict::MayHaveRun, why)
        }
    };
    Refusal {
        status: StatusCode::CONFLICT,
        code: "key-taken",
        message: why.into(),
        verdict,
        retry_after: None,
    }
}

/// Returns the refusal of a call whose key could be neither claimed nor found claimed. Nothing was
/// sent for it, but an earlier call with the key may have run.
fn key_undecided() -> Refusal {
    Refusal {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "key-undecided",
        message: "too few holders of this key can answer now, so it is not known whether it was \
                  used; send the call again with the same key"
            .into(),
        verdict: verdict::Verdict::MayHaveRun,
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// Returns the refusal of a call that waited so long that the holders may soon drop its claim.
fn key_stale() -> Refusal {
    let why = "the call waited too long for a slot to be sent under its key; send it again";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "key-stale", why)
        .with_retry_after(Duration::from_secs(1))
}

/// Makes attempts at a call until one is answered or no further attempt is allowed.
async fn attempts(
    context: &Context,
    call: &Call,
    outgoing: &Outgoing,
    claimed: Option<&claim::Claim>,
) -> Result<Response<Answer>, Refusal> {
    let board = &context.board;
    let mut observer = Observer::new(board, call);
    let mut attempts = hedge::Attempts::new(board, call, context.limits.max_silence);
    let mut request = Request {
        context,
        call,
        outgoing,
        claimed,
    };
    match attempts.next(&mut request).await {
        Ok(answer) => {
            if let Some(attempt) = attempts.serving() {
                attempt.turn.report_first_token();
            }
            observer.first();
            attempts.end(dispatch::End::Done);
            observer.done(answer.tokens);
            call::charge(board, call, answer.tokens);
            Ok(answer.response(call))
        }
        Err(refusal) => {
            observer.refused(&refusal);
            Err(refusal)
        }
    }
}

/// A call whose answer is read whole.
struct Request<'a> {
    context: &'a Context,
    call: &'a Call,
    outgoing: &'a Outgoing,
    claimed: Option<&'a claim::Claim>,
}

impl hedge::Request for Request<'_> {
    type Part = Reply;

    fn ask(&self) -> dispatch::Ask {
        self.call.first_ask(&self.context.board, false)
    }

    fn is_repeatable(&self) -> bool {
        self.call.class.repeatable
    }

    fn deadline(&self) -> Duration {
        self.call.arrived_at + self.call.class.deadline
    }

    fn check(&self, so_far: verdict::Verdict) -> Result<(), Refusal> {
        if self.claimed.is_some_and(|claim| !claim.is_fresh()) {
            return Err(Refusal {
                verdict: so_far,
                ..key_stale()
            });
        }
        invariant::check(
            self.claimed.is_none() || so_far == verdict::Verdict::NotRun,
            invariant::Rule::KeyOnce,
            || format!("{} sends a keyed call that may have run", self.call.request),
        );
        Ok(())
    }

    fn repeat(&mut self) {}

    fn send(
        &self,
        target: Target,
        is_permitted: impl Fn() -> bool + Send + 'static,
        sink: hedge::Sink<Reply>,
    ) -> impl Future<Output = Result<(), Failure>> + Send + 'static {
        let (context, call) = (self.context.clone(), self.call.clone());
        let request = self.outgoing.request(target.address, &call);
        async move {
            let reply = exchange(&context, &call, request?, (target, is_permitted), &sink).await?;
            let _ = sink.send(hedge::Message::Part(reply)).await;
            Ok(())
        }
    }
}

/// Records that an endpoint has crashed if it broke off the request and refuses connections.
pub(super) async fn record_if_crashed(
    board: &Shared,
    call: &Call,
    (endpoint, sent_at): (&name::Endpoint, Duration),
    failure: Failure,
) {
    if failure.end != dispatch::End::Broken {
        return;
    }
    let view = board.view.load_full();
    let Some(known) = view.document.endpoints.get(endpoint) else {
        return;
    };
    let target = Target {
        sent_at,
        ..target(board, endpoint, known.address)
    };
    let at = (&call.key.service, &target);
    crash::record_if_crashed(board, &call.content, &call.request.to_string(), at).await;
}

/// Returns the refusal of a request whose last attempt failed.
pub(super) fn failure_refusal(failure: Failure, verdict: verdict::Verdict) -> Refusal {
    let (status, code, message) = match failure.end {
        dispatch::End::Silent => (
            StatusCode::GATEWAY_TIMEOUT,
            "endpoint-silent",
            "the endpoint did not answer in time",
        ),
        dispatch::End::Unreachable | dispatch::End::Refused | dispatch::End::Unused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "endpoint-unreachable",
            "no endpoint accepted the request",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "endpoint-broke",
            "the endpoint broke the connection",
        ),
    };
    let advice = match verdict {
        verdict::Verdict::NotRun => "it did not run; retry later",
        _ => "it may have run; retry only if it may run twice",
    };
    let message = format!("{message}; {advice}");
    Refusal {
        status,
        code,
        message,
        verdict,
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// An endpoint's complete answer.
#[derive(Debug)]
pub(super) struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    body: Held,
    /// The tokens that a model's answer states; 0 for plain services.
    tokens: unit::Tokens,
}

impl Reply {
    /// Returns the response for the caller.
    fn response(self, call: &Call) -> Response<Answer> {
        let mut response = Response::new(Answer::whole(self.body));
        *response.status_mut() = self.status;
        for (name, value) in &self.headers {
            if !UNFORWARDED_HEADERS.contains(name) {
                response.headers_mut().append(name, value.clone());
            }
        }
        add_headers(&mut response, call);
        response
    }
}

/// Adds the verdict and the request's id to the response of a request that ran.
pub(super) fn add_headers(response: &mut Response<Answer>, call: &Call) {
    let headers = response.headers_mut();
    let ran = header::HeaderValue::from_static(verdict::Verdict::Ran.as_str());
    headers.insert(VERDICT_HEADER, ran);
    if let Ok(value) = header::HeaderValue::from_str(&call.request.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
}

/// Returns whether an answer names its call by echoing [`REQUEST_HEADER`]. Only then its connection is used for
/// another call: a copy of an answer, which the endpoint may send in the place of the next one, could not be told
/// from that one otherwise. Fails if the answer may belong to an earlier call over the connection.
pub(super) fn names_call(answered: &upstream::Answered, call: &Call) -> Result<bool, Failure> {
    let echoed = dialect::text(answered.response.headers(), REQUEST_HEADER);
    let is_named = echoed == Some(&*call.request.to_string());
    if answered.is_reused && !is_named {
        return Err(Failure::BROKEN);
    }
    Ok(is_named)
}

/// Sends a call to an endpoint and reads the complete answer. Tells a sink when the answer has begun.
async fn exchange(
    context: &Context,
    call: &Call,
    request: hyper::Request<payload::Body>,
    (target, is_permitted): (Target, impl Fn() -> bool),
    sink: &hedge::Sink<Reply>,
) -> Result<Reply, Failure> {
    let (address, limits) = (target.address, &context.limits);
    let timeouts = (limits.connect_timeout, hedge::NO_LIMIT);
    let sent = context.pool.send(address, request, timeouts, is_permitted);
    let answered = sent.await?;
    let is_named = names_call(&answered, call)?;
    let upstream::Answered {
        sender, response, ..
    } = answered;
    let disposition =
        answer_head::observe_native(&context.board, &call.key.service, &target, &response);
    if disposition == Disposition::Refused {
        return Err(Failure::REFUSED);
    }
    let (parts, body) = response.into_parts();
    let _ = sink.send(hedge::Message::Progress).await;
    let mut body = Body::new(body, &context.answers, limits.max_answer);
    let body = body.whole().await?;
    if is_named {
        context.pool.give_back(address, sender);
    }
    let kind = context
        .board
        .view
        .load()
        .document
        .services
        .get(&call.key.service)
        .map(|s| s.kind);
    let tokens = match kind {
        Some(config::Kind::Model) => prompt::tokens_of(&body.joined()),
        _ => unit::Tokens(0),
    };
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body,
        tokens,
    })
}

/// Returns the target of a request that is sent to a configured endpoint now.
pub(super) fn target(board: &Shared, endpoint: &name::Endpoint, address: SocketAddr) -> Target {
    Target {
        endpoint: endpoint.clone(),
        // Configured endpoints don't report their starts.
        start: None,
        address,
        sent_at: now(board),
    }
}

/// Returns a configured endpoint's address, unless the endpoint is cordoned or asked for a backoff.
pub(super) fn address(board: &Shared, endpoint: &name::Endpoint) -> Result<SocketAddr, Failure> {
    if board.is_cordoned(endpoint) || board.remaining_backoff(endpoint).is_some() {
        return Err(Failure::NOT_PERMITTED);
    }
    let view = board.view.load();
    view.document
        .endpoints
        .get(endpoint)
        .map(|e| e.address)
        .ok_or(Failure::UNREACHABLE)
}
