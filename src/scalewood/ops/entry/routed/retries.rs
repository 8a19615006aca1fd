//! Decides whether and when another attempt follows one that failed.

use std::time::Duration;

use crate::{
    core::{dispatch, retry, verdict},
    ops::entry::{
        dialect::Dialect, dispatchers, reach, retries, routed::request::Request, upstream::Failure,
    },
};

/// The most attempts of a request that reach an endpoint, whether or not it runs there.
const MAX_ATTEMPTS: u32 = 3;
/// The number of attempts that may miss their endpoint and still be followed by another one: if
/// a zone is cut off, or many endpoints are gone at once, it takes a few before that is known.
const MAX_MISSES: u32 = 7;
/// The least remaining time for which another attempt is worth while.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Why no further attempt follows a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The request may have run and may not run again.
    NotRepeatable,
    /// All attempts that the route or this box allows were made.
    Attempts,
    /// Too little of the request's time is left.
    Time,
    /// No endpoint is in reach, from here or from another box.
    Unreachable,
    /// The service's retry budget is empty.
    Budget,
}

impl Denial {
    /// Returns its name in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Denial::NotRepeatable => "not-repeatable",
            Denial::Attempts => "attempts",
            Denial::Time => "time",
            Denial::Unreachable => "unreachable",
            Denial::Budget => "budget",
        }
    }
}

/// The waits before retries. They are short since requests are due within some hundred
/// milliseconds.
const BACKOFF: retry::Backoff = retry::Backoff {
    base: Duration::from_millis(10),
    cap: Duration::from_millis(50),
};

impl<D: Dialect> Request<D> {
    /// Returns whether the request may be sent again if the next attempt may have run.
    pub(super) fn may_run_again(&self) -> bool {
        let route = &self.routed.route;
        route.kind.is_repeatable()
            && self.runs + self.ended + self.in_flight + 1 < route.attempts
            && self.reached() < MAX_ATTEMPTS
    }

    /// Returns the number of attempts that reached their endpoint.
    fn reached(&self) -> u32 {
        self.tries - self.misses
    }

    /// Returns the number of attempts that count against the route's. Those that were ended since another one
    /// served count only while one is in flight: they bound the attempts beside it, not those after it.
    fn counted(&self) -> u32 {
        match self.in_flight {
            0 => self.runs,
            open => self.runs + self.ended + open,
        }
    }

    /// Returns whether the links to the endpoints are lost and no other box is known to reach them.
    fn is_stranded(&self) -> bool {
        let board = &self.context.board;
        let service = &self.routed.call.key.service;
        reach::is_lost(board, service) && reach::known_peer(board, service).is_none()
    }

    /// Returns whether the service's budget holds a retry for a request beside a silent endpoint.
    pub(super) fn has_budget(&self) -> bool {
        retries::has_any(&self.context.board, &self.routed.call.key.service) && self.is_next()
    }

    /// Returns whether no request has waited longer for a retry than this one, if it stays with a silent
    /// endpoint. Those that have lost their endpoint do not wait.
    fn is_next(&self) -> bool {
        let (board, service) = (&self.context.board, &self.routed.call.key.service);
        self.in_flight == 0 || retries::is_next(board, service, self.waiting.as_ref())
    }

    /// Returns the level of the service's budget, for the log.
    pub(super) fn budget_level(&self) -> Option<String> {
        retries::level(&self.context.board, &self.routed.call.key.service)
    }

    /// Reserves a retry of the service's budget for the next attempt, after `tries` attempts, unless
    /// one is reserved already. Returns how long to wait first. Beside a silent endpoint the request waits for a retry
    /// if there is none.
    fn reserve_retry(&mut self, tries: u32) -> Result<Duration, Denial> {
        if self.retry.is_none() {
            let (board, service) = (&self.context.board, &self.routed.call.key.service);
            let is_next = self.is_next();
            self.retry = is_next.then(|| retries::reserve(board, service)).flatten();
            if self.retry.is_none() {
                if self.in_flight > 0 && self.waiting.is_none() {
                    self.waiting = Some(retries::wait(board, service));
                }
                return Err(Denial::Budget);
            }
        }
        Ok(BACKOFF.wait(tries, rand::random()))
    }

    /// Returns how long to wait before the next attempt, or why no further one is allowed.
    pub(super) fn next_wait(&mut self, failure: Failure) -> Result<Duration, Denial> {
        let wait = self.decide(failure);
        if wait != Err(Denial::Budget) {
            self.waiting = None;
        }
        wait
    }

    fn decide(&mut self, failure: Failure) -> Result<Duration, Denial> {
        if self.time_left() < MIN_TIME_LEFT {
            return Err(Denial::Time);
        }
        if failure.missed_endpoint() {
            // Over lost links, further endpoints would be missed too.
            if self.is_stranded() {
                return Err(Denial::Unreachable);
            }
            if self.misses > MAX_MISSES {
                return Err(Denial::Attempts);
            }
        } else if self.reached() >= MAX_ATTEMPTS {
            return Err(Denial::Attempts);
        }
        let route = &self.routed.route;
        if self.verdict != verdict::Verdict::NotRun || self.in_flight > 0 {
            if !route.kind.is_repeatable() {
                return Err(Denial::NotRepeatable);
            }
            if self.counted() >= route.attempts {
                return Err(Denial::Attempts);
            }
        }
        match failure.end {
            // The endpoint received nothing, so the next attempt costs no budget.
            dispatch::End::Unreachable => Ok(Duration::ZERO),
            // By the next tick the dispatcher here knows why the request was not sent, such as a
            // cordon.
            dispatch::End::Unused => Ok(dispatchers::TICK_INTERVAL),
            // A wrong endpoint received the request and rejected it: this costs budget, but
            // does not count against `MAX_ATTEMPTS`.
            dispatch::End::Mistaken => self.reserve_retry(0).map(|_| Duration::ZERO),
            _ => self.reserve_retry(self.reached()),
        }
    }
}
