//! Relays a stream to the caller, event by event, and resumes it at another endpoint on failure.
//!
//! Only whole events are relayed, so that a stream that breaks off can be resumed after the
//! last event that was relayed. A stream that can't be resumed is cut off without its regular
//! end, so the caller never takes it for complete.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, http::response, Response};
use tokio::sync::mpsc;

use crate::{
    core::{dispatch, name, pace, unit, verdict},
    ops::entry::{
        body::{self, Answer, Piece, Truncated},
        dialect::Dialect,
        now,
        routed::{
            attempt::{Opened, Request, Via},
            continuation, pool, reply,
        },
        upstream::Failure,
    },
    util::lock::lock,
};

/// The longest pause of a resumable stream, at an endpoint where nothing waits for prefill,
/// before another endpoint is tried.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Serves a request whose answer is a stream.
pub(super) async fn serve<D: Dialect>(mut request: Request<D>) -> Response<Answer> {
    loop {
        let mut opened = match request.open(None).await {
            Ok(opened) => opened,
            Err(response) => return response,
        };
        if !opened.parts.status.is_success() {
            // An error status of the endpoint comes with a plain body, not a stream.
            match request.finish_whole(opened).await {
                Some(response) => return response,
                None => continue,
            }
        }
        if let Err(refusal) = request.confirm_origin(&mut opened).await {
            return request.refuse(&refusal);
        }
        let (pieces, receiver) = mpsc::channel(body::MAX_QUEUED_PIECES);
        let mut response = reply::stream(opened.parts.clone(), Answer::Stream(receiver));
        if let (Some(_), Some(origin)) = (&request.routed.forwarded, &request.origin) {
            continuation::state(response.headers_mut(), origin);
        }
        let relay = Relay {
            request,
            pieces: pieces.clone(),
            last_id: None,
            events: 0,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = relay.run(opened) => {}
                // The caller left: dropping the relay cancels the run and frees its slot.
                () = pieces.closed() => {}
            }
        });
        return response;
    }
}

/// A stream that is being relayed.
struct Relay<D> {
    request: Request<D>,
    pieces: mpsc::Sender<Piece>,
    /// The id of the last event that was relayed.
    last_id: Option<String>,
    /// The number of pieces that were relayed; each holds one or more events.
    events: u64,
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, first: Opened) {
        let mut opened = first;
        loop {
            let Opened { via, parts, body } = opened;
            let passed = if parts.status.is_success() {
                self.relay_events(&via, body).await
            } else {
                Err(match via {
                    Via::Endpoint { .. } => Failure::BROKEN,
                    Via::Box(_) => Failure::REFUSED,
                })
            };
            match passed {
                Ok(()) => return self.done(via, &parts),
                Err(failure) => {
                    if self.handle_failure(via, failure).await.is_err() {
                        return self.cut().await;
                    }
                }
            }
            if self.events > 0 {
                self.request.renew_patience();
            }
            opened = match self.reopen().await {
                Some(opened) => opened,
                None => return self.cut().await,
            };
        }
    }

    /// Goes on after the last event, only where the stream began; returns `None` if that is not possible.
    async fn reopen(&mut self) -> Option<Opened> {
        if self.events > 0 && self.request.origin.is_none() {
            return None;
        }
        let after = self.last_id.clone();
        let mut opened = self.request.open(after.as_deref()).await.ok()?;
        if opened.parts.status.is_success() {
            self.request.confirm_origin(&mut opened).await.ok()?;
        }
        Some(opened)
    }

    /// Ends the request after the stream has arrived completely.
    fn done(&mut self, via: Via, parts: &response::Parts) {
        self.request.observer.done(unit::Tokens(self.events));
        match via {
            Via::Endpoint {
                turn,
                endpoint,
                sender,
            } => {
                turn.end(dispatch::End::Done);
                self.keep_connection(&endpoint, sender, &parts.headers);
            }
            Via::Box(link) => link.keep(&self.request.context.peers),
        }
        let verdict = verdict::Verdict::Ran;
        self.request.log_end(parts.status, "done", verdict);
    }

    /// Prepares the next attempt after one that failed; returns an error if there is none.
    async fn handle_failure(&mut self, via: Via, failure: Failure) -> Result<(), Response<Answer>> {
        match via {
            Via::Endpoint {
                turn,
                endpoint,
                sender,
            } => {
                // Closing the connection ends the run at the endpoint.
                drop(sender);
                let failed = self.request.handle_failure(turn, &endpoint, failure.into());
                failed.await
            }
            Via::Box(link) => {
                let name = link.name().clone();
                drop(link);
                self.request.handle_lost_box(&name, failure).await
            }
        }
    }

    fn keep_connection(
        &self,
        endpoint: &name::Endpoint,
        sender: pool::Sender,
        headers: &hyper::HeaderMap,
    ) {
        let now = now(&self.request.context.board);
        let keep = pool::keep_alive_time(headers);
        self.request
            .context
            .pool
            .give_back(endpoint, sender, keep, now);
    }

    /// Ends the caller's stream with an error, so that the connection is closed.
    async fn cut(self) {
        let _ = self.pieces.send(Err(Truncated)).await;
    }

    /// Relays whole events until the stream ends.
    async fn relay_events(&mut self, via: &Via, mut body: Incoming) -> Result<(), Failure> {
        let mut buffer = BytesMut::new();
        let mut sampler = pace::Sampler::default();
        let gap = self.request.routed.call.class.gap();
        let mut paused = false;
        loop {
            let left = self.request.time_left();
            let pause = if self.request.routed.route.kind.is_repeatable() {
                left.min(MAX_PAUSE)
            } else {
                left
            };
            let next = match via {
                Via::Endpoint { endpoint, .. } => {
                    let next = self.request.unless_silent(endpoint, pause, body.frame());
                    next.await
                }
                // The other box watches the endpoint, and the system the connection to the box.
                Via::Box(_) => tokio::time::timeout(left, body.frame()).await.ok(),
            };
            let frame = match next {
                None => return Err(Failure::SILENT),
                Some(None) if buffer.iter().all(u8::is_ascii_whitespace) => return Ok(()),
                Some(None | Some(Err(_))) => return Err(Failure::BROKEN),
                Some(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if let Some(events) = self.take_events(&mut buffer) {
                self.events += 1;
                self.request.observer.token();
                if let Via::Endpoint { turn, endpoint, .. } = via {
                    if self.events == 1 {
                        turn.report_first_token();
                    }
                    let pause = self.request.observer.longest_pause();
                    if !paused && gap.is_some_and(|gap| pause > gap) {
                        paused = true;
                        turn.report_pause();
                    }
                    self.measure(&mut sampler, endpoint);
                }
                let taken =
                    tokio::time::timeout(self.request.time_left(), self.pieces.send(Ok(events)));
                match taken.await {
                    Ok(Ok(())) => {}
                    // The caller is gone; the other branch of the `select` ends this task.
                    Ok(Err(_)) => std::future::pending().await,
                    Err(_) => return Err(Failure::UNREAD),
                }
            }
        }
    }

    /// Records an event for the endpoint's pace.
    fn measure(&self, sampler: &mut pace::Sampler, endpoint: &name::Endpoint) {
        let board = &self.request.context.board;
        let now = now(board);
        if let Some(pace) = sampler.record_event(now) {
            let call = &self.request.routed.call;
            let long = call.prompt >= dispatch::LONG_PROMPT;
            lock(&board.paces).observe(&call.key.service, endpoint, pace, long, now);
        }
    }

    /// Removes the whole events from a buffer, and records the id of the last one.
    fn take_events(&mut self, buffer: &mut BytesMut) -> Option<Bytes> {
        let end = end_of_events(buffer)?;
        let events = buffer.split_to(end).freeze();
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.find_map(|line| D::event_id(line));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.to_owned());
        }
        Some(events)
    }
}

/// Returns the position after the last whole event of a buffer.
fn end_of_events(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = buffer.windows(4).rposition(|four| four == b"\r\n\r\n");
    let lf = lf.map(|at| at + 2);
    let crlf = crlf.map(|at| at + 4);
    lf.max(crlf)
}
