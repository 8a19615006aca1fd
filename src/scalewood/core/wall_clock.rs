//! The time of day that all boxes agree on.
//!
//! Each machine's wall clock is close to the true time, but may jump by seconds, also backwards.
//! Monotonic clocks don't jump, so what is agreed on is an offset from a monotonic clock to the
//! time of day. Voters exchange their times of day, and each takes the median of the recent ones;
//! boxes use their voter's result. A jump of fewer than half of the voters' clocks has no effect.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a voter's reading is used: voters exchange them about twice a second or more often.
const READING_LIFETIME: Duration = Duration::from_secs(3);
/// The longest round trip of a reading that is used: the error is half of it.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(400);
/// How long a box keeps the sample with the shortest round trip. This is long enough to include one
/// that was not queued on a full link, and short enough that the drift between monotonic clocks
/// stays far below the round trip.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(5);

/// The difference between the time of day and a monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(i64);

impl Offset {
    /// Returns the offset at which the monotonic time `now` is this time of day.
    pub fn of(unix_ms: u64, now: Duration) -> Self {
        Self(to_i64(u128::from(unix_ms)) - to_i64(now.as_millis()))
    }

    /// Returns the time of day at a monotonic time, in milliseconds since the Unix epoch; 0 if it
    /// is earlier.
    pub fn unix_ms(self, now: Duration) -> u64 {
        u64::try_from(to_i64(now.as_millis()) + self.0).unwrap_or(0)
    }

    /// Returns the absolute difference of two offsets.
    pub fn distance(self, other: Self) -> Duration {
        Duration::from_millis(self.0.abs_diff(other.0))
    }
}

fn to_i64(millis: u128) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// The readings of other voters' times of day, and the agreed offset.
#[derive(Debug, Default)]
pub struct Readings {
    /// The offset of each other voter, and when its answer arrived.
    readings: BTreeMap<name::Box, (Offset, Duration)>,
    agreed: Option<Offset>,
}

impl Readings {
    /// Records another voter's time of day from its answer to a request. Answers with a long round
    /// trip are ignored: a process that was frozen finds answers as old as the freeze, and if it
    /// used them from all other voters, its median would be off by that time.
    pub fn record(&mut self, from: &name::Box, unix_ms: u64, asked: Duration, answered: Duration) {
        let round_trip = answered.saturating_sub(asked);
        if round_trip <= MAX_ROUND_TRIP {
            let reading = (Offset::of(unix_ms, asked + round_trip / 2), answered);
            self.readings.insert(from.clone(), reading);
        }
    }

    /// Returns the agreed offset for a voter with its own time of day, where `voters` is the number
    /// of voters. Without recent readings from a majority, the last agreed offset stays.
    pub fn agree(&mut self, own_unix_ms: u64, voters: usize, now: Duration) -> Offset {
        self.readings
            .retain(|_, (_, at)| *at + READING_LIFETIME >= now);
        let own = Offset::of(own_unix_ms, now);
        let others = self.readings.values().map(|(offset, _)| *offset);
        let mut offsets: Vec<_> = others.chain([own]).collect();
        offsets.sort_unstable();
        let is_majority = offsets.len() > voters / 2;
        let agreed = match self.agreed {
            Some(agreed) if !is_majority => agreed,
            _ => offsets[offsets.len() / 2],
        };
        self.agreed = Some(agreed);
        agreed
    }
}

/// The agreed time of day, as followed by a box.
#[derive(Debug, Default)]
pub struct Follower {
    sample: Option<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    offset: Offset,
    /// The round trip of the request and its answer.
    round_trip: Duration,
    at: Duration,
}

impl Follower {
    /// Records the agreed time of day from a voter's answer to a request.
    pub fn record(&mut self, unix_ms: u64, asked: Duration, answered: Duration) {
        let round_trip = answered.saturating_sub(asked);
        if round_trip > MAX_ROUND_TRIP {
            return;
        }
        let offset = Offset::of(unix_ms, asked + round_trip / 2);
        let sample = Sample {
            offset,
            round_trip,
            at: answered,
        };
        let is_better = |known: Sample| {
            round_trip <= known.round_trip || known.at + SAMPLE_LIFETIME <= answered
        };
        if self.sample.is_none_or(is_better) {
            self.sample = Some(sample);
        }
    }

    /// Returns the time of day in milliseconds since the Unix epoch: the agreed one, or this
    /// machine's own until that is known.
    pub fn unix_ms(&self, own_unix_ms: u64, now: Duration) -> u64 {
        let agreed = self.sample.map(|sample| sample.offset.unix_ms(now));
        agreed.unwrap_or(own_unix_ms)
    }

    /// Returns the largest error of the agreed time that is due to the round trip, once the time is
    /// known.
    pub fn error(&self) -> Option<Duration> {
        self.sample.map(|sample| sample.round_trip / 2)
    }
}
