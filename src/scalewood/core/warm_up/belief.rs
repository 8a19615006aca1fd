//! What a process believes of one endpoint's warm-up.
//!
//! What an endpoint says is made absolute where it is heard. A message takes time, so this end
//! is never before the true one. A warm-up that is believed in ends when its time has passed,
//! or by what the endpoint said later; who takes in what was said sees to the order.

use std::{fmt, time::Duration};

use super::{Left, Rate};

/// By how much an end has to move to be worth telling: what heartbeats are late by varies by
/// some tens of milliseconds, and each telling goes to every box.
const NEWS: Duration = Duration::from_millis(250);

/// What a belief rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint said so.
    Said,
    /// It began while others served, and has said nothing.
    Begun,
    /// Its zone was uncordoned, and it has said nothing since.
    Uncordoned,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Source::Said => "said",
            Source::Begun => "begun",
            Source::Uncordoned => "uncordoned",
        })
    }
}

/// What a process believes of one endpoint's warm-up; times are those of its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Belief {
    /// The end of the warm-up and when that was heard, if the endpoint has told.
    said: Option<(Duration, Duration)>,
    /// When its start was seen, if others served before.
    begun: Option<Duration>,
}

impl Belief {
    /// Of an endpoint that is seen for the first time, `late` if others served before.
    pub fn new(late: bool, now: Duration) -> Self {
        Self {
            said: None,
            begun: late.then_some(now),
        }
    }

    /// Takes what the endpoint says, later than all before; tells whether others should hear.
    pub fn hear(&mut self, left: Option<Left>, now: Duration) -> bool {
        let Some(Left(left)) = left else {
            return false;
        };
        let before = self.said.map_or(Duration::ZERO, |(until, _)| until);
        let until = now.saturating_add(Duration::from_millis(left));
        self.said = Some((until, now));
        let matters = before > now || until > now;
        matters && until.abs_diff(before) >= NEWS
    }

    /// What is left by the endpoint's own word, for passing it on.
    pub fn left(&self, now: Duration) -> Option<Left> {
        let (until, _) = self.said?;
        let left = until.saturating_sub(now).as_millis();
        Some(Left(u64::try_from(left).unwrap_or(u64::MAX)))
    }

    /// Until when it warms up, and what that rests on; nothing if it is warm. Its zone may have
    /// been uncordoned some time ago.
    pub fn until(
        &self,
        rate: &Rate,
        uncordoned: Option<Duration>,
        now: Duration,
    ) -> Option<(Duration, Source)> {
        let said = self.said.map(|(until, _)| (until, Source::Said));
        let begun = self.begun.filter(|_| self.said.is_none());
        let begun = begun.map(|at| (at + rate.takes(), Source::Begun));
        let heard_since = |at: &Duration| self.said.is_some_and(|(_, heard)| heard > *at);
        let uncordoned = uncordoned.filter(|at| !heard_since(at));
        let uncordoned = uncordoned.map(|at| (at + rate.takes(), Source::Uncordoned));
        let latest = [said, begun, uncordoned].into_iter().flatten();
        let latest = latest.max_by_key(|(until, _)| *until);
        latest.filter(|(until, _)| now < *until)
    }

    /// How long ago the endpoint's word was heard.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.said.map(|(_, heard)| now.saturating_sub(heard))
    }
}
