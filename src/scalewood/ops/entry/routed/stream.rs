//! Relays a stream to the caller, event by event, and resumes it at another endpoint on failure.
//!
//! While its endpoint is silent, another one is asked to resume the stream beside it. The stream goes on at
//! the one that answers first, and the run at the other one ends.
//!
//! Only whole events are relayed, so that a stream that breaks off can be resumed after the
//! last event that was relayed. A stream that can't be resumed is cut off without its regular
//! end, so the caller never takes it for complete.

use std::{future::Future, time::Duration};

use hyper::{http::response, Response};
use tokio::sync::mpsc;

use crate::{
    core::{dispatch, pace, unit, verdict},
    ops::entry::{
        body::{self, Answer, Piece, Truncated},
        dialect::Dialect,
        incoming::Part,
        now,
        routed::{
            attempt::{Opened, Run, Via},
            continuation,
            hedge::{Next, Progress},
            reply,
            request::{Ending, Request},
        },
        upstream::Failure,
    },
    util::lock::lock,
};

/// The longest pause of a resumable stream, at an endpoint where nothing waits for prefill,
/// before another endpoint is tried too.
const MAX_PAUSE: Duration = Duration::from_millis(1200);
/// The shortest pause that is reported while it lasts, so that new requests avoid the endpoint.
const MIN_REPORTED_PAUSE: Duration = Duration::from_millis(250);

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
            progress: Progress::default(),
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
    progress: Progress,
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

impl<D: Dialect> Relay<D> {
    async fn run(mut self, first: Opened) {
        let mut opened = first;
        loop {
            opened = match self.relay_events(opened).await {
                Relayed::Complete(via, parts) => return self.done(via, &parts),
                Relayed::Replaced(opened) => opened,
                Relayed::Failed(via, failure) => {
                    let reopened = match self.request.end_answer(via, failure).await {
                        Ok(()) => self.request.reopen(&self.progress).await,
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

    /// Ends the request after the stream has arrived completely.
    fn done(&mut self, via: Via, parts: &response::Parts) {
        self.request
            .observer
            .done(unit::Tokens(self.progress.events));
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
        let mut sampler = pace::Sampler::default();
        let mut paused = Paused::default();
        loop {
            let report = self.pause_report(&via, &paused);
            let answer = (&mut via, &mut body);
            let next = self.request.next(answer, MAX_PAUSE, &self.progress);
            let events = match paused.watch(next, report).await {
                Next::Replacement(opened, has_broken) => {
                    if has_broken {
                        self.request.end_broken(via);
                    }
                    return Relayed::Replaced(*opened);
                }
                Next::Nothing => return Relayed::Failed(via, Failure::SILENT),
                Next::Part(Ok(Part::Events(events))) => events,
                Next::Part(Ok(Part::End)) => return Relayed::Complete(via, parts),
                Next::Part(Ok(Part::Data)) => continue,
                Next::Part(Ok(Part::Blocked)) => {
                    let freed = body.account().freed();
                    match tokio::time::timeout(self.request.time_left(), freed).await {
                        Ok(()) => continue,
                        Err(_) => return Relayed::Failed(via, Failure::UNREAD),
                    }
                }
                Next::Part(Err(failure)) => return Relayed::Failed(via, failure),
            };
            self.record_id(&events.joined());
            self.progress.events += 1;
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

    /// Returns after which time without an event a pause is too long, and the function that reports it, if the
    /// endpoint is due to send events.
    fn pause_report(
        &self,
        via: &Via,
        paused: &Paused,
    ) -> Option<(Duration, impl FnOnce() + use<D>)> {
        let Via::Endpoint { run, .. } = via else {
            return None;
        };
        let gap = self.request.routed.call.class.gap()?;
        let is_due = self.progress.events > 0 && !paused.now;
        is_due.then(|| (gap.max(MIN_REPORTED_PAUSE), run.turn.pause_report()))
    }

    /// Records an event for the endpoint: its first token, a pause that is too long, and its pace.
    fn observe(&self, run: &Run, sampler: &mut pace::Sampler, paused: &mut Paused) {
        let gap = self.request.routed.call.class.gap();
        let pause = self.request.observer.longest_pause();
        if !paused.ever && gap.is_some_and(|gap| pause > gap) {
            (paused.ever, paused.now) = (true, true);
            run.turn.pause_report()();
        }
        if std::mem::take(&mut paused.now) || self.progress.events == 1 {
            run.turn.report_first_token();
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

    /// Records the id of the last event.
    fn record_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let id = lines.find_map(|line| D::event_id(line));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.progress.last_id = Some(id.to_owned());
        }
    }
}

/// Whether a stream pauses for too long.
#[derive(Debug, Default)]
struct Paused {
    /// Whether it does so now.
    now: bool,
    /// Whether it ever did.
    ever: bool,
}

impl Paused {
    /// Waits for the next part of a stream, and reports a pause that is too long.
    async fn watch<T>(
        &mut self,
        next: impl Future<Output = T>,
        report: Option<(Duration, impl FnOnce())>,
    ) -> T {
        let mut next = std::pin::pin!(next);
        if let Some((limit, report)) = report {
            if let Ok(next) = tokio::time::timeout(limit, next.as_mut()).await {
                return next;
            }
            (self.ever, self.now) = (true, true);
            report();
        }
        next.await
    }
}
