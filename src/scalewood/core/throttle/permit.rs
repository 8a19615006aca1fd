//! A box's permits for requests to one endpoint with a rate limit.
//!
//! A permit is for one request and expires by itself. In any time `t`, voters issue at most
//! `limit * t + 2 + limit / 4` permits, and a request is sent at most [`PERMIT_LIFETIME`] plus a
//! quarter of a second for connection set-up after its permit was issued. So an endpoint gets at
//! most `6 * limit + 2` requests in any four seconds.
//!
//! While no voter issues permits, each box has an equal share of the limit: it creates a permit of
//! its own at regular intervals, which expires like the others. The intervals of the boxes are out
//! of phase, so that their requests don't arrive at the same moment.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::Limit;
use crate::core::name;

/// How long a permit is valid after it was issued. This covers several exchanges with a voter, so
/// that few permits expire unused, and is short enough that an endpoint does not get late requests
/// from a longer time.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(1500);

/// Permits issued for an endpoint; serialised as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IssuedRow", into = "IssuedRow")]
pub struct Issued {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The number of permits.
    pub count: u32,
    /// How much longer they are valid, counted from when the client asked for them.
    pub remaining: Duration,
}

/// Endpoint, count, and remaining validity in milliseconds.
type IssuedRow = (name::Endpoint, u32, u64);

impl From<IssuedRow> for Issued {
    fn from((endpoint, count, remaining_ms): IssuedRow) -> Self {
        Self {
            endpoint,
            count,
            remaining: Duration::from_millis(remaining_ms),
        }
    }
}

impl From<Issued> for IssuedRow {
    fn from(issued: Issued) -> Self {
        let remaining_ms = u64::try_from(issued.remaining.as_millis()).unwrap_or(u64::MAX);
        (issued.endpoint, issued.count, remaining_ms)
    }
}

/// Permits wanted for an endpoint; serialised as a tuple.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WantedRow", into = "WantedRow")]
pub struct Wanted {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The number of permits.
    pub count: u32,
}

/// Endpoint and count.
type WantedRow = (name::Endpoint, u32);

impl From<WantedRow> for Wanted {
    fn from((endpoint, count): WantedRow) -> Self {
        Self { endpoint, count }
    }
}

impl From<Wanted> for WantedRow {
    fn from(wanted: Wanted) -> Self {
        (wanted.endpoint, wanted.count)
    }
}

/// Permits by expiry time, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct Stock(VecDeque<(Duration, u32)>);

impl Stock {
    /// Adds permits that expire at `until`.
    pub fn add(&mut self, count: u32, until: Duration) {
        if count == 0 {
            return;
        }
        let at = self.0.partition_point(|(known, _)| *known <= until);
        self.0.insert(at, (until, count));
    }

    /// Returns how many permits have not expired.
    pub fn count(&self, now: Duration) -> u32 {
        let valid = self.0.iter().filter(|(until, _)| now < *until);
        valid.map(|(_, count)| count).sum()
    }

    /// Removes up to `most` permits, the earliest to expire first. Returns pairs of an expiry time
    /// and a number of permits.
    pub fn take(&mut self, most: u32, now: Duration) -> Vec<(Duration, u32)> {
        self.0.retain(|(until, _)| now < *until);
        let mut taken = Vec::new();
        let mut left = most;
        while let Some((until, count)) = self.0.front_mut().filter(|_| left > 0) {
            let part = left.min(*count);
            taken.push((*until, part));
            left -= part;
            *count -= part;
            if *count == 0 {
                self.0.pop_front();
            }
        }
        taken
    }
}

/// The state of a box that is issued no permits and uses an equal share of each limit instead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fallback {
    /// When this state began.
    pub since: Duration,
    /// The number of boxes that share the limit, this one included.
    pub boxes: u32,
    /// How much earlier than the unshifted schedule this box creates its permits, as a fraction of
    /// the interval between two of them, from 0 to 1.
    pub phase: f64,
}

/// A box's permits for an endpoint; empty by default.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    stock: Stock,
    fallback: Option<Fallback>,
    /// The number of the last permit of its own that was used.
    last_used: u64,
}

impl Permits {
    /// Adds permits issued by a voter.
    pub fn add(&mut self, count: u32, until: Duration) {
        self.stock.add(count, until);
    }

    /// Sets whether this box uses its own share of the limit.
    pub fn set_fallback(&mut self, fallback: Option<Fallback>) {
        if self.fallback.map(|fallback| fallback.since) != fallback.map(|fallback| fallback.since) {
            self.last_used = 0;
        }
        self.fallback = fallback;
    }

    /// Returns the number of issued permits at hand.
    pub fn count(&self, now: Duration) -> u32 {
        self.stock.count(now)
    }

    /// Returns whether a request may be sent now.
    pub fn may_send(&self, limit: Limit, now: Duration) -> bool {
        self.stock.count(now) > 0 || self.own_permit(limit, now).is_some()
    }

    /// Uses a permit for a request that is sent now.
    pub fn take(&mut self, limit: Limit, now: Duration) {
        if self.stock.take(1, now).is_empty() {
            self.last_used = self.own_permit(limit, now).unwrap_or(self.last_used);
        }
    }

    /// Returns the number of the box's own permit that is valid now, unless it was used.
    fn own_permit(&self, limit: Limit, now: Duration) -> Option<u64> {
        let fallback = self.fallback?;
        let interval = f64::from(fallback.boxes.max(1)) / limit.per_second();
        let elapsed = now.saturating_sub(fallback.since).as_secs_f64();
        let permits = elapsed / interval + fallback.phase;
        // No process runs long enough for the cast to be inexact.
        let number = permits as u64;
        let age = permits.fract() * interval;
        let is_valid = number > 0 && age < PERMIT_LIFETIME.as_secs_f64();
        (is_valid && number != self.last_used).then_some(number)
    }
}
