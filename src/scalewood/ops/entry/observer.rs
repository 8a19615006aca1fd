//! Counts the outcome of each request in the metrics: first token, pauses, goodput, failures.

use std::time::Duration;

use crate::{
    core::{invariant, unit, verdict},
    event,
    ops::entry::{call::Call, now, reply::Refusal, Shared},
    util::metric,
};

/// Counts the outcome of a request. If it is dropped before the end, the caller has left.
#[derive(Debug)]
pub(super) struct Observer {
    board: Shared,
    call: Call,
    /// How long after the arrival the first token or the answer came.
    first: Option<Duration>,
    /// When the last token came.
    last: Duration,
    longest_pause: Duration,
    /// The tokens of a stream so far.
    tokens: u64,
    /// Whether the request was counted for its team's usage: an endpoint has begun it.
    begun: bool,
    /// Whether the metrics count the request at the box that has received it from its caller.
    usage_only: bool,
    ended: bool,
}

impl Observer {
    pub(super) fn new(board: &Shared, call: &Call) -> Self {
        Self {
            board: board.clone(),
            call: call.clone(),
            first: None,
            last: Duration::ZERO,
            longest_pause: Duration::ZERO,
            tokens: 0,
            begun: false,
            usage_only: false,
            ended: false,
        }
    }

    fn label(&self) -> metric::ClassLabel {
        (&self.call.key).into()
    }

    /// Counts only the usage of a request that another box has received from its caller, unless that
    /// was counted there.
    pub(super) fn counts_usage_only(&mut self, is_counted: bool) {
        self.usage_only = true;
        self.begun = is_counted;
    }

    /// Records that another box serves the request and counts its usage.
    pub(super) fn counted_elsewhere(&mut self) {
        self.begun = true;
    }

    /// Returns whether the request was counted for its team's usage.
    pub(super) fn is_counted(&self) -> bool {
        self.begun
    }

    /// Records that an endpoint has begun the request, and counts it for the team's usage: once per
    /// request, for any number of endpoints and whatever the outcome.
    pub(super) fn begun(&mut self) {
        if !std::mem::replace(&mut self.begun, true) && self.call.is_known {
            self.board.count_usage(&self.call.team);
        }
    }

    /// Records the first token, or the answer of a plain service.
    pub(super) fn first(&mut self) {
        if self.first.is_some() {
            return;
        }
        self.begun();
        let now = now(&self.board);
        let took = now.saturating_sub(self.call.arrived_at);
        self.first = Some(took);
        self.last = now;
        if self.usage_only {
            return;
        }
        self.board
            .metrics
            .first_token
            .get_or_create(&self.label())
            .observe(took.as_secs_f64());
        if took <= self.call.class.target {
            self.board
                .metrics
                .attained
                .get_or_create(&self.label())
                .inc();
        }
    }

    /// Records a token of a stream.
    pub(super) fn token(&mut self) {
        let now = now(&self.board);
        if self.first.is_none() {
            self.first();
        } else {
            let pause = now.saturating_sub(self.last);
            self.longest_pause = self.longest_pause.max(pause);
            if !self.usage_only {
                self.board
                    .metrics
                    .between_tokens
                    .get_or_create(&self.label())
                    .observe(pause.as_secs_f64());
            }
        }
        self.last = now;
        self.tokens += 1;
    }

    /// Returns how long the first token, or the answer of a plain service, took from the arrival.
    pub(super) fn first_after(&self) -> Option<Duration> {
        self.first
    }

    /// Returns the longest pause between two tokens so far.
    pub(super) fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    /// Returns the number of pieces of a stream that were passed on so far; each holds one or more events.
    pub(super) fn events(&self) -> u64 {
        self.tokens
    }

    /// Counts tokens that have to be processed again.
    pub(super) fn wasted(&self, tokens: unit::Tokens) {
        self.board
            .metrics
            .wasted
            .get_or_create(&self.label())
            .inc_by(tokens.0);
    }

    /// Records a complete answer.
    pub(super) fn done(&mut self, tokens: unit::Tokens) {
        let is_attained = self
            .first
            .is_some_and(|first| first <= self.call.class.target);
        if is_attained && !self.usage_only {
            self.board
                .metrics
                .goodput
                .get_or_create(&self.label())
                .inc_by(tokens.0.max(1));
        }
        self.end("done", verdict::Verdict::Ran);
    }

    /// Records a refusal or failure, and logs it if the request may have run.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        if refusal.verdict != verdict::Verdict::NotRun {
            event!(self.board.log, RequestFailed, "request" => %self.call.request,
                "code" => refusal.code, "verdict" => %refusal.verdict);
        }
        self.end(refusal.code, refusal.verdict);
    }

    /// Records a refusal or failure by the box that was to serve the request.
    pub(super) fn refused_elsewhere(&mut self, verdict: verdict::Verdict) {
        self.end("refused-elsewhere", verdict);
    }

    fn end(&mut self, end: &'static str, verdict: verdict::Verdict) {
        invariant::check(!self.ended, invariant::Rule::OneAnswer, || {
            format!("{} ends as {end} after it has ended", self.call.request)
        });
        self.ended = true;
        if self.usage_only {
            return;
        }
        let label = metric::EndLabel::new(&self.call.key, end, verdict);
        self.board.metrics.ended.get_or_create(&label).inc();
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        if !self.ended {
            self.wasted(unit::Tokens(self.tokens));
            self.end("caller-left", verdict::Verdict::MayHaveRun);
        }
    }
}
