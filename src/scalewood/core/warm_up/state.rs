//! The state of one endpoint's warm-up, as known to one process.
//!
//! An endpoint reports the remaining time, which is converted to an end time on arrival. Messages
//! take time, so this end is never before the true one. A warm-up ends when that time is reached or
//! when a later report says so; the caller makes sure that reports are recorded in order.

use std::{fmt, time::Duration};

use super::{Rate, Remaining};

/// The smallest change of the end time that is passed on to other processes. The delay of
/// heartbeats varies by some tens of milliseconds, and each update goes to every box.
const MIN_FORWARDED_CHANGE: Duration = Duration::from_millis(250);

/// Why an endpoint is taken to be warming up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint reported it.
    Reported,
    /// The endpoint started while others were serving, and has reported nothing.
    Started,
    /// Its zone was uncordoned, and it has reported nothing since.
    Uncordoned,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Reported => "said",
            Source::Started => "begun",
            Source::Uncordoned => "uncordoned",
        })
    }
}

/// What a process knows about one endpoint's warm-up. Times are by its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The end of the warm-up as reported by the endpoint, and when that report arrived.
    reported: Option<(Duration, Duration)>,
    /// When its start was noticed, if others were serving before.
    started: Option<Duration>,
}

impl State {
    /// Returns the state of an endpoint that is seen for the first time; `late` if others were
    /// serving before.
    pub fn new(late: bool, now: Duration) -> Self {
        Self {
            reported: None,
            started: late.then_some(now),
        }
    }

    /// Records a report of the endpoint, which must be later than all before. Returns whether the
    /// change is to be passed on.
    pub fn observe(&mut self, remaining: Option<Remaining>, now: Duration) -> bool {
        let Some(Remaining(remaining_ms)) = remaining else {
            return false;
        };
        let before = self.reported.map_or(Duration::ZERO, |(until, _)| until);
        let until = now.saturating_add(Duration::from_millis(remaining_ms));
        self.reported = Some((until, now));
        let is_current = before > now || until > now;
        is_current && until.abs_diff(before) >= MIN_FORWARDED_CHANGE
    }

    /// Returns the remaining time by the endpoint's own report, for passing it on.
    pub fn remaining(&self, now: Duration) -> Option<Remaining> {
        let (until, _) = self.reported?;
        let remaining_ms = until.saturating_sub(now).as_millis();
        Some(Remaining(u64::try_from(remaining_ms).unwrap_or(u64::MAX)))
    }

    /// Returns the end of the warm-up and why it is assumed, or `None` if the endpoint is warm.
    /// `uncordoned` is when its zone was uncordoned, if it was.
    pub fn ends_at(
        &self,
        rate: &Rate,
        uncordoned: Option<Duration>,
        now: Duration,
    ) -> Option<(Duration, Source)> {
        let reported = self.reported.map(|(until, _)| (until, Source::Reported));
        let started = self.started.filter(|_| self.reported.is_none());
        let started = started.map(|at| (at + rate.duration(), Source::Started));
        let reported_since = |at: &Duration| {
            self.reported
                .is_some_and(|(_, arrived_at)| arrived_at > *at)
        };
        let uncordoned = uncordoned.filter(|at| !reported_since(at));
        let uncordoned = uncordoned.map(|at| (at + rate.duration(), Source::Uncordoned));
        let latest = [reported, started, uncordoned].into_iter().flatten();
        let latest = latest.max_by_key(|(until, _)| *until);
        latest.filter(|(until, _)| now < *until)
    }

    /// Returns the age of the endpoint's last report.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported
            .map(|(_, arrived_at)| now.saturating_sub(arrived_at))
    }
}
