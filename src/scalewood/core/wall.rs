//! The time of day that boxes agree on.
//!
//! Each machine's time of day lies close to the true one, but may jump by seconds, back too.
//! Steady clocks do not jump, so what is agreed on is an offset between the two: voters tell
//! each other their time of day, and each takes the median of what it has heard of late; boxes
//! take over their voter's. A jump of fewer than half of the voters' clocks moves nothing.

use std::{collections::BTreeMap, time::Duration};

use crate::core::name;

/// How long a voter's time of day counts: voters tell each other several times a second.
const FRESH: Duration = Duration::from_secs(3);
/// How long a question and its answer may be under way for the answer to tell the time: half of
/// it is the error.
const LONGEST_WAY: Duration = Duration::from_millis(400);
/// How long a box keeps the sample with the shortest way: long enough that one comes that did
/// not wait at a full link, short enough that drift between steady clocks stays far below the
/// way itself.
const SAMPLE: Duration = Duration::from_secs(5);

/// What is added to a steady clock to get the time of day, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset(i64);

impl Offset {
    /// The offset by which a steady clock shows a time of day.
    pub fn of(unix_ms: u64, now: Duration) -> Self {
        Self(signed(u128::from(unix_ms)) - signed(now.as_millis()))
    }

    /// The time of day at a time of the steady clock, in milliseconds since the Unix epoch; 0
    /// before it.
    pub fn unix_ms(self, now: Duration) -> u64 {
        u64::try_from(signed(now.as_millis()) + self.0).unwrap_or(0)
    }

    /// How far two offsets lie apart.
    pub fn distance(self, other: Self) -> Duration {
        Duration::from_millis(self.0.abs_diff(other.0))
    }
}

fn signed(millis: u128) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// The times of day that voters have told, and what follows.
#[derive(Debug, Default)]
pub struct Readings {
    told: BTreeMap<name::Box, (Offset, Duration)>,
    agreed: Option<Offset>,
}

impl Readings {
    /// Notes another voter's time of day, as it told it in answer to a question. What took long
    /// is passed over: a process that was frozen finds answers that are as old as the freeze,
    /// and with those of all others its median would be off by as much.
    pub fn note(&mut self, from: &name::Box, unix_ms: u64, asked: Duration, answered: Duration) {
        let way = answered.saturating_sub(asked);
        if way <= LONGEST_WAY {
            let reading = (Offset::of(unix_ms, asked + way / 2), answered);
            self.told.insert(from.clone(), reading);
        }
    }

    /// The agreed offset, for a voter among so many with its own time of day. While a majority
    /// is not heard, the last one holds.
    pub fn agree(&mut self, own_unix_ms: u64, voters: usize, now: Duration) -> Offset {
        self.told.retain(|_, (_, at)| *at + FRESH >= now);
        let own = Offset::of(own_unix_ms, now);
        let others = self.told.values().map(|(offset, _)| *offset);
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

/// A box's knowledge of the agreed time of day.
#[derive(Debug, Default)]
pub struct Follower {
    sample: Option<Sample>,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    offset: Offset,
    /// How long the question and its answer were under way.
    way: Duration,
    at: Duration,
}

impl Follower {
    /// Notes the agreed time of day as a voter told it, in answer to a question.
    pub fn note(&mut self, unix_ms: u64, asked: Duration, answered: Duration) {
        let way = answered.saturating_sub(asked);
        if way > LONGEST_WAY {
            return;
        }
        let offset = Offset::of(unix_ms, asked + way / 2);
        let sample = Sample {
            offset,
            way,
            at: answered,
        };
        let is_better = |known: Sample| way <= known.way || known.at + SAMPLE <= answered;
        if self.sample.is_none_or(is_better) {
            self.sample = Some(sample);
        }
    }

    /// The time of day in milliseconds since the Unix epoch: the agreed one, or this machine's
    /// own until that is known.
    pub fn unix_ms(&self, own_unix_ms: u64, now: Duration) -> u64 {
        let agreed = self.sample.map(|sample| sample.offset.unix_ms(now));
        agreed.unwrap_or(own_unix_ms)
    }

    /// How far off the agreed time may be by the way that it took, once it is known.
    pub fn error(&self) -> Option<Duration> {
        self.sample.map(|sample| sample.way / 2)
    }
}
