//! Relays a stream to the caller, event by event, and resumes it at another endpoint on failure.
//!
//! While its endpoint is silent, another one is asked to resume the stream beside it. The stream goes on at
//! the one that answers first, and the run at the other one ends.
//!
//! Only whole events are relayed, so that a stream that breaks off can be resumed after the
//! last event that was relayed. A stream that can't be resumed is cut off without its regular
//! end, so the caller never takes it for complete.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{
    body::{Frame, Incoming},
    http::response,
    Response,
};
use tokio::sync::mpsc;

use crate::{
    core::{dispatch, pace, unit, verdict},
    ops::entry::{
        body::{self, Answer, Piece, Truncated},
        dialect::Dialect,
        now,
        routed::{
            attempt::{Opened, Run, Via},
            continuation, reply,
            request::{Ending, Request, MIN_RECHECK_INTERVAL},
        },
        upstream::Failure,
    },
    util::lock::lock,
};

/// The longest pause of a resumable stream, at an endpoint where nothing waits for prefill,
/// before another endpoint is tried too.
const MAX_PAUSE: Duration = Duration::from_millis(1200);

/// Serves a request whose answer is a stream.
pub(super) async fn serve<D: Dialect>(mut request: Request<D>) -> Response<Answer> {
    loop {
        let mut opened = match request.open(None).await {
            Ok(opened) => opened,
            Err(ending) => return request.conclude(ending),
        };
        if !opened.parts.status.is_success() {
            // A status other than success comes with a plain body, not a stream.
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

/// How the relaying of an answer ended.
enum Relayed {
    /// The stream is complete.
    Complete(Via, response::Parts),
    /// The answer failed.
    Failed(Via, Failure),
    /// The stream goes on with the answer of another endpoint.
    Replaced(Opened),
}

/// The attempt at another endpoint beside a silent one.
#[derive(Default)]
struct Hedge {
    /// Whether another endpoint is being asked.
    is_asking: AtomicBool,
    /// Whether no further one is to be asked after that.
    is_last: AtomicBool,
}

/// What follows in an answer.
enum Next {
    /// A part of the answer, or its end.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The answer of another endpoint, which goes on with the stream; and whether the answer that it replaces
    /// broke off meanwhile.
    Replacement(Opened, bool),
    /// Nothing until the request's deadline.
    Nothing,
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, first: Opened) {
        let mut opened = first;
        loop {
            opened = match self.relay_events(opened).await {
                Relayed::Complete(via, parts) => return self.done(via, &parts),
                Relayed::Replaced(opened) => opened,
                Relayed::Failed(via, failure) => {
                    let reopened = match self.handle_failure(via, failure).await {
                        Ok(()) => self.reopen().await,
                        Err(ending) => Err(ending),
                    };
                    match reopened {
                        Ok(opened) => opened,
                        Err(ending) => return self.cut(ending).await,
                    }
                }
            };
        }
    }

    /// Goes on after the last event, only where the stream began.
    async fn reopen(&mut self) -> Result<Opened, Ending> {
        if self.events > 0 {
            if self.request.origin.is_none() {
                return Err(Ending::Failed(dispatch::End::Broken));
            }
            self.request.renew_patience();
        }
        let after = self.last_id.clone();
        loop {
            let mut opened = self.request.open(after.as_deref()).await?;
            if opened.parts.status.is_success() {
                let confirmed = self.request.confirm_origin(&mut opened).await;
                return confirmed.map(|()| opened).map_err(Ending::Refused);
            }
            let failure = match opened.via {
                Via::Endpoint { .. } => Failure::BROKEN,
                Via::Box(_) => Failure::REFUSED,
            };
            self.handle_failure(opened.via, failure).await?;
        }
    }

    /// Ends the request after the stream has arrived completely.
    fn done(&mut self, via: Via, parts: &response::Parts) {
        self.request.observer.done(unit::Tokens(self.events));
        match via {
            Via::Endpoint { run, sender } => {
                run.turn.end(dispatch::End::Done);
                let context = &self.request.context;
                context.keep_connection(&run.target.endpoint, sender, &parts.headers);
            }
            Via::Box(link) => link.keep(&self.request.context.peers),
        }
        let verdict = verdict::Verdict::Ran;
        self.request.log_end(parts.status, "done", verdict);
    }

    /// Waits until the next attempt after one that failed; returns an error if there is none.
    async fn handle_failure(&mut self, via: Via, failure: Failure) -> Result<(), Ending> {
        match via {
            Via::Endpoint { run, sender } => {
                // Closing the connection ends the run at the endpoint.
                drop(sender);
                self.request.handle_failure(run, failure).await
            }
            Via::Box(link) => {
                let name = link.name().clone();
                drop(link);
                self.request.handle_lost_box(&name, failure).await
            }
        }
    }

    /// Ends the caller's stream with an error, so that the connection is closed.
    async fn cut(mut self, ending: Ending) {
        // The caller has the head of an answer already, and gets no other one.
        let _ = self.request.conclude(ending);
        let _ = self.pieces.send(Err(Truncated)).await;
    }

    /// Relays whole events until the stream ends.
    async fn relay_events(&mut self, opened: Opened) -> Relayed {
        let Opened {
            mut via,
            parts,
            mut body,
        } = opened;
        let mut buffer = BytesMut::new();
        let mut sampler = pace::Sampler::default();
        let mut paused = false;
        loop {
            let is_between_events = buffer.iter().all(u8::is_ascii_whitespace);
            let frame = match self.next(&mut via, &mut body, is_between_events).await {
                Next::Replacement(opened, has_broken) => {
                    if has_broken {
                        self.end_broken(via);
                    }
                    return Relayed::Replaced(opened);
                }
                Next::Nothing => return Relayed::Failed(via, Failure::SILENT),
                Next::Frame(None) if is_between_events => return Relayed::Complete(via, parts),
                Next::Frame(None | Some(Err(_))) => return Relayed::Failed(via, Failure::BROKEN),
                Next::Frame(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            let Some(events) = self.take_events(&mut buffer) else {
                continue;
            };
            self.events += 1;
            self.request.observer.token();
            if let Via::Endpoint { run, .. } = &via {
                self.observe(run, &mut sampler, &mut paused);
            }
            let taken =
                tokio::time::timeout(self.request.time_left(), self.pieces.send(Ok(events)));
            match taken.await {
                Ok(Ok(())) => {}
                // The caller is gone; the other branch of the `select` ends this task.
                Ok(Err(_)) => std::future::pending().await,
                Err(_) => return Relayed::Failed(via, Failure::UNREAD),
            }
        }
    }

    /// Waits for the next part of an answer, and beside an endpoint that is silent for long for another one
    /// that goes on with the stream. `may_end` states whether the stream is complete if the answer ends here.
    async fn next(&mut self, via: &mut Via, body: &mut Incoming, may_end: bool) -> Next {
        let request = &self.request;
        let left = request.time_left();
        let run = match via {
            Via::Endpoint { run, .. } if request.routed.route.kind.is_repeatable() => run,
            // The other box watches the endpoint, and the system the connection to the box.
            Via::Endpoint { .. } | Via::Box(_) => {
                let frame = tokio::time::timeout(left, body.frame()).await;
                return frame.map_or(Next::Nothing, Next::Frame);
            }
        };
        let endpoint = run.target.endpoint.clone();
        let (context, routed) = (&request.context, &request.routed);
        let least = left.min(MAX_PAUSE);
        let frame = context.unless_silent(routed, &endpoint, least, body.frame());
        if let Some(frame) = frame.await {
            return Next::Frame(frame);
        }
        if request.time_left().is_zero() {
            return Next::Nothing;
        }
        context.report_silence(routed, run);
        let reported_at = now(&context.board);
        let next = self.next_beside(body, may_end).await;
        // The attempts beside this one, or this one if it was replaced, have ended.
        self.request.end_others(1);
        if matches!(next, Next::Replacement(..)) {
            self.request.runs += 1;
        }
        if matches!(next, Next::Frame(Some(Ok(_)))) {
            self.request.last_endpoint = Some(endpoint);
            let Request {
                context, routed, ..
            } = &self.request;
            context.report_return(routed, run, reported_at);
        }
        next
    }

    /// Waits for the next part of a silent endpoint's answer, and for another endpoint that goes on with the
    /// stream. If the answer breaks off while another endpoint is being asked, only that one is waited for.
    async fn next_beside(&mut self, body: &mut Incoming, may_end: bool) -> Next {
        let deadline = tokio::time::sleep(self.request.time_left());
        let hedge = Hedge::default();
        let mut deadline = std::pin::pin!(deadline);
        let mut replacement = std::pin::pin!(self.replacement(&hedge));
        let mut broken = None;
        loop {
            tokio::select! {
                biased;
                frame = body.frame(), if broken.is_none() => {
                    let has_broken = match &frame {
                        None => !may_end,
                        Some(frame) => frame.is_err(),
                    };
                    if !has_broken || !hedge.is_asking.load(Ordering::Relaxed) {
                        return Next::Frame(frame);
                    }
                    hedge.is_last.store(true, Ordering::Relaxed);
                    broken = Some(frame);
                }
                opened = replacement.as_mut() => {
                    return match (opened, broken) {
                        (Some(opened), broken) => Next::Replacement(opened, broken.is_some()),
                        (None, broken) => Next::Frame(broken.flatten()),
                    };
                }
                () = deadline.as_mut() => return Next::Nothing,
            }
        }
    }

    /// Waits until another endpoint goes on with the stream of a silent one. Returns `None` if no endpoint does
    /// and no further one is to be asked.
    async fn replacement(&mut self, hedge: &Hedge) -> Option<Opened> {
        let mut wait = self.request.next_wait(Failure::SILENT);
        self.request.log_silence(wait);
        loop {
            let retry_after = match wait {
                Ok(wait) => {
                    hedge.is_asking.store(true, Ordering::Relaxed);
                    tokio::time::sleep(wait).await;
                    let reopened = self.reopen().await;
                    hedge.is_asking.store(false, Ordering::Relaxed);
                    match reopened {
                        Ok(opened) => return Some(opened),
                        Err(_) if hedge.is_last.load(Ordering::Relaxed) => return None,
                        Err(ending) => ending.retry_after(),
                    }
                }
                Err(_) => MIN_RECHECK_INTERVAL,
            };
            // Attempts that ended without an answer are no longer in flight, and the retry is free.
            self.request.end_others(1);
            tokio::time::sleep(retry_after).await;
            while !self.request.has_budget() {
                tokio::time::sleep(MIN_RECHECK_INTERVAL).await;
            }
            wait = self.request.next_wait(Failure::SILENT);
        }
    }

    /// Ends a run that broke off, in the background.
    fn end_broken(&self, via: Via) {
        let Via::Endpoint { run, .. } = via else {
            return;
        };
        let (context, routed) = (self.request.context.clone(), self.request.routed.clone());
        tokio::spawn(async move {
            run.fail(&context, &routed, Failure::BROKEN, false).await;
        });
    }

    /// Records an event for the endpoint: its first token, a pause that is too long, and its pace.
    fn observe(&self, run: &Run, sampler: &mut pace::Sampler, paused: &mut bool) {
        if self.events == 1 {
            run.turn.report_first_token();
        }
        let gap = self.request.routed.call.class.gap();
        let pause = self.request.observer.longest_pause();
        if !*paused && gap.is_some_and(|gap| pause > gap) {
            *paused = true;
            run.turn.report_pause();
        }
        let board = &self.request.context.board;
        let now = now(board);
        if let Some(pace) = sampler.record_event(now) {
            let call = &self.request.routed.call;
            let long = call.prompt >= dispatch::LONG_PROMPT;
            let (service, endpoint) = (&call.key.service, &run.target.endpoint);
            lock(&board.paces).observe(service, endpoint, pace, long, now);
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
