//! The rate limits of endpoints, as known to one process.
//!
//! Answers may arrive out of order, and processes share no clock. A limit has ended once a request
//! that was sent after the limit was last reported is answered without one. When two processes have
//! heard from the same start of an endpoint, the later report wins. A forwarded report carries its
//! age, which leaves out the time that the message took: until the next answer, a report may
//! therefore win over one that is later by up to that time.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::Limit;
use crate::core::{name, registry, unit};

/// How long a report is kept without an answer that confirms it.
const RETENTION: Duration = Duration::from_secs(600);
/// A report that only confirms the limit is forwarded again if it is at least this much later than
/// the one that was forwarded.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(120);

/// How an answer changed the known limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    Unchanged,
    /// The limit is new or has another value than before.
    Set(Limit),
    /// The limit has ended.
    Ended,
}

/// The last report of one start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Report {
    start: registry::Start,
    /// The limit, or `None` once it has ended.
    limit: Option<Limit>,
    /// When the report arrived at the process that received it first, by the clock here.
    heard_at: Duration,
    /// The value of `heard_at` when the report was last queued for other processes.
    forwarded: Duration,
    /// Since when this process has known of a limit without interruption.
    since: Duration,
    /// The book's stamp when the report was last queued for other processes.
    stamp: u64,
}

/// A report as it is sent to other processes; serialised as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Row {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The start of the endpoint that reported it.
    pub start: registry::Start,
    /// The limit, or `None` once it has ended.
    pub limit: Option<Limit>,
    /// How long ago the report was received.
    pub age: Duration,
}

/// Endpoint, start, limit, and age in milliseconds.
type Fields = (
    name::Endpoint,
    Option<unit::Incarnation>,
    Option<Limit>,
    u64,
);

impl From<Fields> for Row {
    fn from((endpoint, start, limit, age_ms): Fields) -> Self {
        Self {
            endpoint,
            start,
            limit,
            age: Duration::from_millis(age_ms),
        }
    }
}

impl From<Row> for Fields {
    fn from(row: Row) -> Self {
        let age_ms = u64::try_from(row.age.as_millis()).unwrap_or(u64::MAX);
        (row.endpoint, row.start, row.limit, age_ms)
    }
}

/// The rate limits of endpoints that a process knows.
#[derive(Debug, Default)]
pub struct Book {
    reports: BTreeMap<name::Endpoint, Report>,
    stamp: u64,
}

impl Book {
    /// Records the limit in an answer to a request that was sent at `sent_at`; `reported` is `None`
    /// if the answer has no limit.
    pub fn observe(
        &mut self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        reported: Option<Limit>,
        sent_at: Duration,
        now: Duration,
    ) -> Change {
        let known = self
            .reports
            .get(endpoint)
            .filter(|report| report.start >= start);
        if known.is_some_and(|report| report.start > start) {
            return Change::Unchanged;
        }
        let known = known.copied();
        let limit = known.and_then(|report| report.limit);
        let may_be_outdated = known.is_some_and(|report| sent_at < report.heard_at);
        match (limit, reported) {
            (None, None) => return Change::Unchanged,
            // The request was sent before the last report arrived, so the answer may be older: it
            // must not remove or raise the limit.
            (Some(_), None) if may_be_outdated => return Change::Unchanged,
            (Some(limit), Some(reported)) if may_be_outdated && reported > limit => {
                return Change::Unchanged
            }
            _ => {}
        }
        self.set(endpoint, start, reported, now, now);
        match reported {
            Some(reported) if limit != Some(reported) => Change::Set(reported),
            Some(_) => Change::Unchanged,
            None => Change::Ended,
        }
    }

    /// Merges a report from another process. Returns whether the limit changed.
    pub fn merge(&mut self, row: &Row, now: Duration) -> bool {
        let heard_at = now.saturating_sub(row.age);
        let known = self.reports.get(&row.endpoint).copied();
        if let Some(known) = known {
            let is_later = (row.start, heard_at) > (known.start, known.heard_at);
            let same = row.start == known.start && row.limit == known.limit;
            if !is_later || (same && heard_at < known.forwarded + CONFIRMATION_INTERVAL) {
                return false;
            }
        }
        let same_start = known.filter(|report| report.start == row.start);
        let before = same_start.and_then(|report| report.limit);
        self.set(&row.endpoint, row.start, row.limit, heard_at, now);
        row.limit != before
    }

    fn set(
        &mut self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        limit: Option<Limit>,
        heard_at: Duration,
        now: Duration,
    ) {
        let known = self
            .reports
            .get(endpoint)
            .filter(|report| report.start == start);
        let limited = known.filter(|report| report.limit.is_some());
        let since = limited.map_or(now, |report| report.since);
        let same = known.filter(|report| report.limit == limit);
        let forwarded = same.filter(|report| heard_at < report.forwarded + CONFIRMATION_INTERVAL);
        let (forwarded, stamp) = match forwarded {
            Some(report) => (report.forwarded, report.stamp),
            None => {
                self.stamp += 1;
                (heard_at, self.stamp)
            }
        };
        let report = Report {
            start,
            limit,
            heard_at,
            forwarded,
            since,
            stamp,
        };
        self.reports.insert(endpoint.clone(), report);
        if forwarded == heard_at {
            self.remove_expired(now);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.reports
            .retain(|_, report| now < report.heard_at + RETENTION);
    }

    /// Returns the limit of a start of an endpoint, if one is known.
    pub fn limit(&self, endpoint: &name::Endpoint, start: registry::Start) -> Option<Limit> {
        self.report(endpoint, start)?.limit
    }

    /// Returns since when a start of an endpoint has been known here to have a limit.
    pub fn limited_since(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
    ) -> Option<Duration> {
        let report = self.report(endpoint, start)?;
        report.limit.map(|_| report.since)
    }

    fn report(&self, endpoint: &name::Endpoint, start: registry::Start) -> Option<&Report> {
        let report = self.reports.get(endpoint);
        report.filter(|report| report.start == start)
    }

    /// Returns the limit that an endpoint reported last, from whichever start.
    pub fn latest(&self, endpoint: &name::Endpoint) -> Option<Limit> {
        self.reports.get(endpoint)?.limit
    }

    /// Iterates over all known limits.
    pub fn all(&self) -> impl Iterator<Item = (&name::Endpoint, registry::Start, Limit)> {
        let reports = self.reports.iter();
        reports.filter_map(|(name, report)| Some((name, report.start, report.limit?)))
    }

    /// Returns the reports queued after the stamp `sent`, and advances `sent` to the current stamp.
    pub fn updates(&self, sent: &mut u64, now: Duration) -> Vec<Row> {
        let after = std::mem::replace(sent, self.stamp);
        if after == self.stamp {
            return Vec::new();
        }
        let reports = self
            .reports
            .iter()
            .filter(|(_, report)| report.stamp > after);
        let row = |(endpoint, report): (&name::Endpoint, &Report)| Row {
            endpoint: endpoint.clone(),
            start: report.start,
            limit: report.limit,
            age: now.saturating_sub(report.heard_at),
        };
        reports.map(row).collect()
    }
}
