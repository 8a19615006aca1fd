//! Hedges an answer that has begun: while its endpoint is silent, another one is asked beside it, and the answer
//! goes on at the one that is first.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use crate::{
    core::dispatch,
    ops::entry::{
        dialect::Dialect,
        incoming::{Body, Part},
        now,
        routed::{
            attempt::{Opened, Via},
            request::{Ending, Request, MIN_RECHECK_INTERVAL},
        },
        upstream::Failure,
    },
};

/// What the caller has of an answer.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The number of pieces of a stream that were relayed; each holds one or more events.
    pub(super) events: u64,
    /// The id of the last event that was relayed.
    pub(super) last_id: Option<String>,
}

/// What follows in an answer.
pub(super) enum Next {
    /// A part of the answer, or why it broke off.
    Part(Result<Part, Failure>),
    /// The answer of another endpoint, which takes the place of this one; and whether this one broke off
    /// meanwhile.
    Replacement(Box<Opened>, bool),
    /// Nothing until the request's deadline.
    Nothing,
}

/// The attempt at another endpoint beside a silent one.
#[derive(Default)]
struct Hedge {
    /// Whether another endpoint is being asked.
    is_asking: AtomicBool,
    /// Whether no further one is to be asked after that.
    is_last: AtomicBool,
}

impl<D: Dialect> Request<D> {
    /// Waits for the next part of an answer, and beside an endpoint that is silent for `patience` or longer for
    /// another one that takes its place. A stream is silent until an event has ended.
    pub(super) async fn next(
        &mut self,
        (via, body): (&mut Via, &mut Body),
        patience: Duration,
        progress: &Progress,
    ) -> Next {
        let kind = self.kind();
        let left = self.time_left();
        let run = match via {
            Via::Endpoint { run, .. } if self.routed.route.kind.is_repeatable() => run,
            // The other box watches the endpoint, and the system the connection to the box.
            Via::Endpoint { .. } | Via::Box(_) => {
                let part = tokio::time::timeout(left, body.part(kind)).await;
                return part.map_or(Next::Nothing, Next::Part);
            }
        };
        let endpoint = run.target.endpoint.clone();
        let least = left.min(patience);
        let part = self
            .context
            .unless_silent(&self.routed, &endpoint, least, body.part(kind));
        if let Some(part) = part.await {
            return Next::Part(part);
        }
        if self.time_left().is_zero() {
            return Next::Nothing;
        }
        self.context.report_silence(&self.routed, run);
        let reported_at = now(&self.context.board);
        let next = self.next_beside(body, progress).await;
        // The attempts beside this one, or this one if it was replaced, have ended.
        self.end_others(1);
        match &next {
            Next::Part(Ok(Part::Events(_) | Part::Data | Part::Blocked)) => {
                self.last_endpoint = Some(endpoint);
                self.context.report_return(&self.routed, run, reported_at);
            }
            Next::Replacement(_, true) => self.runs += 1,
            Next::Replacement(_, false) => self.ended += 1,
            Next::Part(_) | Next::Nothing => {}
        }
        next
    }

    /// Waits for the next part of a silent endpoint's answer, and for another endpoint that takes its place. If the
    /// answer breaks off while another endpoint is being asked, only that one is waited for.
    async fn next_beside(&mut self, body: &mut Body, progress: &Progress) -> Next {
        let kind = self.kind();
        let deadline = tokio::time::sleep(self.time_left());
        let hedge = Hedge::default();
        let mut deadline = std::pin::pin!(deadline);
        let mut replacement = std::pin::pin!(self.replacement(&hedge, progress));
        let mut broken = None;
        loop {
            tokio::select! {
                biased;
                part = body.part(kind), if broken.is_none() => {
                    let is_asking = hedge.is_asking.load(Ordering::Relaxed);
                    match part {
                        Err(failure) if is_asking => broken = Some(failure),
                        part => return Next::Part(part),
                    }
                    hedge.is_last.store(true, Ordering::Relaxed);
                }
                opened = replacement.as_mut() => {
                    return match (opened, broken) {
                        (Some(opened), broken) => {
                            Next::Replacement(Box::new(opened), broken.is_some())
                        },
                        (None, Some(failure)) => Next::Part(Err(failure)),
                        (None, None) => Next::Nothing,
                    };
                }
                () = deadline.as_mut() => return Next::Nothing,
            }
        }
    }

    /// Waits until another endpoint takes the place of a silent one. Returns `None` if no endpoint does and no
    /// further one is to be asked.
    async fn replacement(&mut self, hedge: &Hedge, progress: &Progress) -> Option<Opened> {
        let mut wait = self.next_wait(Failure::SILENT);
        self.log_silence(wait);
        loop {
            let retry_after = match wait {
                Ok(wait) => {
                    hedge.is_asking.store(true, Ordering::Relaxed);
                    tokio::time::sleep(wait).await;
                    let reopened = self.reopen(progress).await;
                    hedge.is_asking.store(false, Ordering::Relaxed);
                    // Attempts that ended without an answer are no longer in flight, and the retry is free.
                    if reopened.is_err() {
                        self.end_others(1);
                    }
                    match reopened {
                        Ok(opened) => return Some(opened),
                        Err(_) if hedge.is_last.load(Ordering::Relaxed) => return None,
                        Err(ending) => ending.retry_after(),
                    }
                }
                Err(_) => MIN_RECHECK_INTERVAL,
            };
            tokio::time::sleep(retry_after).await;
            // After an attempt the request has to join those that wait for a retry again.
            while wait.is_err() && !self.has_budget() {
                tokio::time::sleep(MIN_RECHECK_INTERVAL).await;
            }
            wait = self.next_wait(Failure::SILENT);
        }
    }

    /// Opens another answer. A stream goes on after its last event, only where it began. Another box's refusal
    /// takes the place of no answer.
    pub(super) async fn reopen(&mut self, progress: &Progress) -> Result<Opened, Ending> {
        if progress.events > 0 {
            if self.origin.is_none() {
                return Err(Ending::Failed(dispatch::End::Broken));
            }
            self.renew_patience();
        }
        loop {
            let mut opened = self.open(progress.last_id.as_deref()).await?;
            if !self.is_stream() && matches!(opened.via, Via::Endpoint { .. }) {
                return Ok(opened);
            }
            if opened.parts.status.is_success() {
                if self.is_stream() {
                    let confirmed = self.confirm_origin(&mut opened).await;
                    confirmed.map_err(Ending::Refused)?;
                }
                return Ok(opened);
            }
            let failure = match opened.via {
                Via::Endpoint { .. } => Failure::BROKEN,
                Via::Box(_) => Failure::REFUSED,
            };
            self.end_answer(opened.via, failure).await?;
        }
    }

    /// Ends an answer that failed, and waits until the next attempt is due; returns an error if there is none.
    pub(super) async fn end_answer(&mut self, via: Via, failure: Failure) -> Result<(), Ending> {
        match via {
            Via::Endpoint { run, sender } => {
                // Closing the connection ends the run at the endpoint.
                drop(sender);
                self.handle_failure(run, failure).await
            }
            Via::Box(link) => {
                let name = link.name().clone();
                drop(link);
                self.handle_lost_box(&name, failure).await
            }
        }
    }

    /// Ends a run that broke off and was replaced, in the background.
    pub(super) fn end_broken(&self, via: Via) {
        let Via::Endpoint { run, .. } = via else {
            return;
        };
        let (context, routed) = (self.context.clone(), self.routed.clone());
        tokio::spawn(async move {
            run.fail(&context, &routed, Failure::BROKEN, false).await;
        });
    }
}
