//! Forwards requests to another box while this one reaches no endpoint of their service, and serves
//! those that other boxes forward.
//!
//! The other box decides about the request as about one of its own callers'. A request is forwarded
//! once: the other box gives back what it can't serve, and it then goes to a third one. The box that
//! received the request from its caller counts its outcome and its share of the retry budget; the
//! other one counts its usage.

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{body::Incoming, header::HeaderValue, http::response, Request, Response, StatusCode};

use crate::{
    core::{name, reach as links, unit, verdict},
    event,
    ops::entry::{
        body::Answer,
        dialect::Dialect,
        incoming, now, payload, reach,
        reply::Refusal,
        routed::{
            attempt::{Opened, Via},
            request::{self, Ending},
            Context,
        },
        upstream::{self, Failure},
        Shared,
    },
    util::{lock::lock, socket},
    wire::peer::{Forwarded, FORWARDED_HEADER, UNAVAILABLE_HEADER},
};

/// How long connecting to another box may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after the request's deadline another box's answer is awaited: it refuses the request at the
/// deadline, and only it knows whether the request has run.
const ANSWER_GRACE: Duration = Duration::from_millis(50);
/// The most boxes that a request is sent to before it is tried at endpoints from here.
const MAX_BOXES: u32 = 3;

/// A request that another box serves for this one, for the count of such requests.
#[derive(Debug)]
struct Serving {
    board: Shared,
    by: name::Box,
}

impl Serving {
    fn begin(board: &Shared, by: &name::Box) -> Self {
        lock(&board.peers).begin(by);
        Self {
            board: board.clone(),
            by: by.clone(),
        }
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        lock(&self.board.peers).end(&self.by);
    }
}

/// The connection to another box that serves a request for this one.
#[derive(Debug)]
pub(super) struct Link {
    peer: links::Peer,
    sender: upstream::Sender,
    _serving: Serving,
}

impl Link {
    /// Returns the other box.
    pub(super) fn name(&self) -> &name::Box {
        &self.peer.name
    }

    /// Keeps the connection for later requests, once the answer was read to its end.
    pub(super) fn keep(self, pool: &upstream::Pool) {
        pool.give_back(self.peer.address, self.sender);
    }
}

impl<D: Dialect> request::Request<D> {
    /// Returns whether the request goes to another box rather than to an endpoint.
    pub(super) fn is_forwardable(&self) -> bool {
        let service = &self.routed.call.key.service;
        self.routed.forwarded.is_none()
            && self.forwards < MAX_BOXES
            && reach::is_lost(&self.context.board, service)
    }

    /// Sends the request to another box if this one has lost its links to the endpoints. Returns its
    /// answer, or why there is none; `None` if no other box takes the request.
    pub(super) async fn forward(&mut self, after: Option<&str>) -> Option<Result<Opened, Ending>> {
        let board = self.context.board.clone();
        let service = self.routed.call.key.service.clone();
        while self.is_forwardable() {
            if let Err(refusal) = self.settle_origin().await {
                return Some(Err(Ending::Refused(refusal)));
            }
            let peer = reach::pick_peer(&board, &service).await?;
            self.forwards += 1;
            let request = self.forwarded_request(after)?;
            event!(board.log, RequestForwarded, "id" => self.routed.head.id.as_deref(),
                "service" => %service, "to" => %peer.name,
                "left_ms" => self.time_left().as_millis());
            let timeouts = (CONNECT_TIMEOUT, self.time_left() + ANSWER_GRACE);
            let peers = self.context.peers.clone();
            let serving = Serving::begin(&board, &peer.name);
            self.in_flight += 1;
            let charge = self.charge();
            charge.is_written.store(true, Ordering::Relaxed);
            let sent = peers.send(peer.address, request, timeouts, || true).await;
            match sent {
                Ok(answered) if is_given_back(&answered.response) => {
                    self.in_flight -= 1;
                    self.retry = charge.settle(false);
                    lock(&board.peers).avoid(&peer.name, now(&board));
                }
                Ok(upstream::Answered {
                    sender, response, ..
                }) => {
                    charge.settle(true);
                    board.metrics.forwarded.inc();
                    self.observer.counted_elsewhere();
                    let (parts, body) = response.into_parts();
                    let link = Link {
                        _serving: serving,
                        peer,
                        sender,
                    };
                    return Some(Ok(Opened {
                        via: Via::Box(link),
                        parts,
                        body: self.context.receive(body),
                    }));
                }
                Err(failure) => {
                    self.retry = charge.settle(failure.may_have_arrived());
                    if let Err(ending) = self.handle_lost_box(&peer.name, failure).await {
                        return Some(Err(ending));
                    }
                }
            }
        }
        None
    }

    /// Handles the loss of a box that the request was sent to, or its refusal to go on; returns an error
    /// if the request may have run and may not run again.
    pub(super) async fn handle_lost_box(
        &mut self,
        name: &name::Box,
        failure: Failure,
    ) -> Result<(), Ending> {
        self.end_at_box(name, failure);
        let wait = self.next_wait(failure);
        event!(self.context.board.log, RequestRetried, "id" => self.routed.head.id.as_deref(),
            "box" => %name, "how" => ?failure.end, "tries" => self.tries,
            "again" => wait.is_ok(), "why" => wait.err().map(|denial| denial.as_str()),
            "events" => self.observer.events(), "left_ms" => self.time_left().as_millis());
        let Ok(wait) = wait else {
            return Err(Ending::Failed(failure.end));
        };
        tokio::time::sleep(wait).await;
        Ok(())
    }

    /// Counts an attempt that failed at another box, which is avoided for a while.
    pub(super) fn end_at_box(&mut self, name: &name::Box, failure: Failure) {
        let may_have_run = failure.verdict != verdict::Verdict::NotRun;
        let board = &self.context.board;
        lock(&board.peers).avoid(name, now(board));
        self.in_flight -= 1;
        self.tries += 1;
        self.misses += u32::from(!may_have_run);
        self.runs += u32::from(may_have_run);
        self.verdict = self.verdict.and(failure.verdict);
    }

    /// Returns whether an answer of another box says that a request did not run that may have run
    /// before it was forwarded.
    pub(super) fn contradicts(&self, status: StatusCode) -> bool {
        says_not_run(status) && self.verdict != verdict::Verdict::NotRun
    }

    /// Records the end of a request to which another box gave the answer.
    pub(super) fn forward_ended(&mut self, answer: &response::Parts) {
        let verdict = match answer.status {
            status if says_not_run(status) => verdict::Verdict::NotRun,
            status if status.is_success() => verdict::Verdict::Ran,
            _ => verdict::Verdict::MayHaveRun,
        };
        let code = if answer.status.is_success() {
            self.observer.first();
            self.observer.done(unit::Tokens(0));
            "done"
        } else {
            self.observer.refused_elsewhere(verdict);
            "refused-elsewhere"
        };
        self.log_end(answer.status, code, verdict);
    }

    /// Returns the request as this box received it, for another box.
    fn forwarded_request(&self, after: Option<&str>) -> Option<Request<payload::Body>> {
        let routed = &self.routed;
        let mut head = routed.head.clone();
        if let Some(after) = after {
            head.last_event_id = Some(after.to_owned());
        }
        let age = now(&self.context.board).saturating_sub(routed.call.arrived_at);
        let forwarded = Forwarded {
            by: self.context.board.own.name.clone(),
            revision: routed.revision,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            runs: self.runs + self.ended + self.in_flight,
            counted: self.observer.is_counted(),
            returned: routed.call.is_client_retry,
            origin: self.origin.clone(),
        };
        let forwarded = serde_json::to_string(&forwarded).ok()?;
        let forwarded = HeaderValue::from_str(&forwarded).ok()?;
        let mut request = routed.outgoing.request_with(|headers| {
            D::restore(headers, &head, self.time_left());
        });
        let headers = request.as_mut().ok()?.headers_mut();
        headers.insert(FORWARDED_HEADER, forwarded);
        request.ok()
    }
}

/// Returns whether another box has given a request back.
fn is_given_back(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(UNAVAILABLE_HEADER)
}

/// Marks an answer as one by which a forwarded request is given back.
pub(super) fn mark_given_back(response: &mut Response<Answer>) {
    let given_back = HeaderValue::from_static("1");
    let headers = response.headers_mut();
    headers.insert(UNAVAILABLE_HEADER, given_back);
}

/// Returns whether answers with a status are given only to requests that did not run.
pub(super) fn says_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

impl<D: Dialect> Context<D> {
    /// Serves a request that another box forwards.
    pub(in crate::ops::entry) async fn serve_forwarded(
        &self,
        mut request: Request<Incoming>,
        caller: &socket::Watch,
    ) -> Response<Answer> {
        let forwarded = request.headers_mut().remove(FORWARDED_HEADER);
        let forwarded = forwarded.and_then(|text| serde_json::from_slice(text.as_bytes()).ok());
        let Some(forwarded): Option<Forwarded> = forwarded else {
            let why = format!("this port is for other boxes; `{FORWARDED_HEADER}` is missing");
            return Refusal::not_run(StatusCode::BAD_REQUEST, "not-forwarded", why).response();
        };
        let is_behind = self.board.view.load().revision < forwarded.revision;
        if is_behind || self.board.is_draining() || !self.board.ready.load(Ordering::Relaxed) {
            // Bytes that are left unread would reset the connection, and the answer could be lost.
            let view = self.board.view.load_full();
            let routing = view.document.routing.as_deref();
            let max = routing.map_or(self.limits.max_body, |r| unit::Size(r.limits.body_bytes));
            let discarded = incoming::discard(request.into_body(), max);
            let discarded = tokio::time::timeout(self.limits.arrival_timeout, discarded);
            caller.set_reading(discarded.await != Ok(true));
            return self.give_back();
        }
        self.serve_from(request, caller, Some(forwarded)).await
    }

    /// Returns the answer by which this box gives a forwarded request back.
    pub(super) fn give_back(&self) -> Response<Answer> {
        self.board.metrics.forwards_declined.inc();
        let why = "this box can't serve the request; send it to another one";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-served-here", why);
        let mut response = refusal.response();
        mark_given_back(&mut response);
        response
    }
}
