//! A box's right to send to one endpoint that limits its requests.
//!
//! A permit is for one request and runs out by itself. Voters issue no more of them in any time
//! `t` than `limit * t + 2 + limit / 4`, and what is sent was issued at most [`LIFE`] and a quarter
//! of a second for a connection's set-up before. So an endpoint gets at most `6 * limit + 2`
//! requests in any four seconds.
//!
//! While no voter issues permits, each box has its equal part of the limit: a permit of its own at
//! regular times, which runs out like the others. Each box has it at another time, so that those of
//! many boxes don't come together.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use super::Limit;
use crate::core::name;

/// How long a permit may be used after it was issued: some exchanges with a voter, so that few run
/// out unused, and short enough that an endpoint gets the requests of a while ago no more.
pub const LIFE: Duration = Duration::from_millis(1500);

/// Permits for requests to an endpoint; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IssuedRow", into = "IssuedRow")]
pub struct Issued {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// How many.
    pub count: u32,
    /// How much longer they hold, for who asked: counted from when it did.
    pub left: Duration,
}

/// Endpoint, count, milliseconds left.
type IssuedRow = (name::Endpoint, u32, u64);

impl From<IssuedRow> for Issued {
    fn from((endpoint, count, left_ms): IssuedRow) -> Self {
        Self {
            endpoint,
            count,
            left: Duration::from_millis(left_ms),
        }
    }
}

impl From<Issued> for IssuedRow {
    fn from(issued: Issued) -> Self {
        let left_ms = u64::try_from(issued.left.as_millis()).unwrap_or(u64::MAX);
        (issued.endpoint, issued.count, left_ms)
    }
}

/// Permits that are wanted for an endpoint; written as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WantedRow", into = "WantedRow")]
pub struct Wanted {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// How many.
    pub count: u32,
}

/// Endpoint, count.
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

/// Permits that hold until some times, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct Stock(VecDeque<(Duration, u32)>);

impl Stock {
    /// Adds permits that hold until a time.
    pub fn add(&mut self, count: u32, until: Duration) {
        if count == 0 {
            return;
        }
        let at = self.0.partition_point(|(known, _)| *known <= until);
        self.0.insert(at, (until, count));
    }

    /// How many hold.
    pub fn count(&self, now: Duration) -> u32 {
        let holding = self.0.iter().filter(|(until, _)| now < *until);
        holding.map(|(_, count)| count).sum()
    }

    /// Takes permits out, those first that end first; each time with how many hold until then.
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

/// That a box is issued no permits, and has its equal part of each limit instead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alone {
    /// Since when.
    pub since: Duration,
    /// How many boxes have such a part, this one included.
    pub boxes: u32,
    /// By which part of the time between two own permits this box's come earlier than others',
    /// from 0 to 1.
    pub phase: f64,
}

/// A box's right to send to an endpoint; the default permits nothing.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    stock: Stock,
    alone: Option<Alone>,
    /// The number of the last own permit that was used.
    used: u64,
}

impl Permits {
    /// Takes permits that were issued.
    pub fn add(&mut self, count: u32, until: Duration) {
        self.stock.add(count, until);
    }

    /// Sets whether this box has its own part.
    pub fn set_alone(&mut self, alone: Option<Alone>) {
        if self.alone.map(|alone| alone.since) != alone.map(|alone| alone.since) {
            self.used = 0;
        }
        self.alone = alone;
    }

    /// How many issued permits it holds.
    pub fn count(&self, now: Duration) -> u32 {
        self.stock.count(now)
    }

    /// Whether a request may be sent now.
    pub fn permits(&self, limit: Limit, now: Duration) -> bool {
        self.stock.count(now) > 0 || self.own_permit(limit, now).is_some()
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, limit: Limit, now: Duration) {
        if self.stock.take(1, now).is_empty() {
            self.used = self.own_permit(limit, now).unwrap_or(self.used);
        }
    }

    /// The number of the own permit that holds now, if one does that was not used.
    fn own_permit(&self, limit: Limit, now: Duration) -> Option<u64> {
        let alone = self.alone?;
        let between = f64::from(alone.boxes.max(1)) / limit.per_second();
        let passed = now.saturating_sub(alone.since).as_secs_f64();
        let permits = passed / between + alone.phase;
        // A process does not run for so long that the cast is not exact.
        let number = permits as u64;
        let age = permits.fract() * between;
        let holds = number > 0 && age < LIFE.as_secs_f64();
        (holds && number != self.used).then_some(number)
    }
}
