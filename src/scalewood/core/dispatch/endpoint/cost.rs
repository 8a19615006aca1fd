//! What it costs to send a prompt to an endpoint.
//!
//! A cost is the time that the first token is put off, plus what is likely lost: a request
//! that is lost counts as much as waiting for some targets, and what the prompt does to the
//! streams that run there counts like its own loss. All that it rests on is observed: the
//! rate at which prompts are read, the streams that paused too long, the requests that
//! failed, and what all boxes have at each endpoint.

use std::time::Duration;

use super::{Endpoint, Seeker, Set};
use crate::core::{
    dispatch::{message, pauses, reading},
    name, unit,
};

/// A cost, in microseconds that a first token is put off.
pub(super) type Cost = u64;

/// What a lost request costs, in targets of waiting. A wait of one target makes a request
/// late, which is worth a part of the whole; none that waits for three is served in time.
const LOSS_TARGETS: f64 = 3.0;
/// What reading a shared part once more costs, in times that it takes: it is work that
/// others wait for too, and memory that others lose.
const AGAIN: f64 = 3.0;
/// How much longer a slow endpoint takes to read. It counts as slow from 1.16 on, where
/// most that do are far from that bound.
const SLOW: f64 = 1.3;
/// How likely a request is lost at an endpoint that leaves runs unanswered.
const STALLED: f64 = 0.7;
/// How long an endpoint may leave runs unanswered beyond the time that reading what is
/// there takes, and how many times that it may take.
const QUIET: Duration = Duration::from_millis(1000);
const QUIET_TIMES: u32 = 3;
/// How many times as long as reading what is there takes a sound endpoint may keep a request
/// waiting: more requests come while it waits, and the more urgent ones go first.
const BUSY_TIMES: u32 = 2;
/// How likely a request is lost where memory or all slots are taken: it waits until others
/// have ended, and those that are more urgent go first.
const FULL: f64 = 0.5;
/// The part of an endpoint's memory from which on it fills up: what is kept for prompts
/// to come is lost first.
const FILLING: f64 = 0.65;
/// How likely a short prompt is taken to be lost at an endpoint for long ones at least, so
/// that prompts do not mix for the sake of small differences.
const MIXED: f64 = 0.25;

/// From how many targets on a first token is predicted to be late so surely that its caller
/// had better come back: above 1, since predictions err, and one that is refused in vain
/// loses as much as one that is late.
const LATE: f64 = 1.25;

/// What was learnt from observation.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Model<'a> {
    /// How fast prompts are read.
    pub(in crate::core::dispatch) reading: &'a reading::Reading,
    /// How many streams pause too long.
    pub(in crate::core::dispatch) pauses: &'a pauses::Pauses,
}

/// A prompt that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Prompt<'a> {
    /// Who asks.
    pub(in crate::core::dispatch) seeker: Seeker<'a>,
    /// What it shares with others.
    pub(in crate::core::dispatch) placed: message::Placed,
    /// All its tokens.
    pub(in crate::core::dispatch) tokens: u64,
    /// The tier of its request.
    pub(in crate::core::dispatch) tier: unit::Tier,
    /// The time within which the first token is due.
    pub(in crate::core::dispatch) target: Duration,
    /// The time within which the first token has to come, or the caller leaves.
    pub(in crate::core::dispatch) patience: Duration,
    /// Whether the caller may come back if it is refused at once: it was not refused
    /// before, and no endpoint has had its request.
    pub(in crate::core::dispatch) may_return: bool,
    /// The time within which the answer has to be whole.
    pub(in crate::core::dispatch) deadline: Duration,
    /// How long a request of its class holds a slot in the mean.
    pub(in crate::core::dispatch) hold: Duration,
    /// Tokens, or events, of an answer of its class in the mean, once any was seen.
    pub(in crate::core::dispatch) length: Option<f64>,
    /// Whether its class has long prompts.
    pub(in crate::core::dispatch) long: bool,
    /// Whether it belongs to the endpoints for long prompts.
    pub(in crate::core::dispatch) for_long: bool,
    /// Whether endpoints are parted between short and long prompts.
    pub(in crate::core::dispatch) parted: bool,
}

impl Prompt<'_> {
    /// Tokens that are read where the shared part is kept or not.
    pub(super) fn unread(&self, kept: bool) -> u64 {
        let shared = if kept { self.placed.shared.0 } else { 0 };
        self.tokens.saturating_sub(shared)
    }

    /// Whether an endpoint is for prompts of the other kind.
    pub(super) fn is_foreign(&self, endpoint: &Endpoint) -> bool {
        self.parted && endpoint.for_short == self.for_long
    }

    /// Where it would run at an endpoint.
    pub(super) fn place(&self, endpoint: &Endpoint) -> pauses::Place {
        pauses::Place {
            long: self.long,
            foreign: self.parted && endpoint.for_short == self.long,
            slow: endpoint.slow,
        }
    }

    /// The longest that its first token may be predicted to take, or it is refused.
    pub(super) fn longest_first(&self) -> Duration {
        if self.may_return {
            self.patience.min(self.target.mul_f64(LATE))
        } else {
            self.patience
        }
    }

    /// What a certain loss costs.
    fn loss(&self) -> Duration {
        self.target.mul_f64(LOSS_TARGETS)
    }
}

/// What a place further from home costs where the shared part is not kept: reading it once
/// more, and as much as makes a request late at least, so that prompts stay together.
pub(super) fn step(prompt: &Prompt<'_>, model: &Model<'_>) -> Cost {
    let again = model.reading.time(prompt.placed.shared.0).mul_f64(AGAIN);
    micros(again.max(prompt.target))
}

/// How long a prompt's first token takes at an endpoint.
pub(super) fn first(
    endpoint: &Endpoint,
    prompt: &Prompt<'_>,
    kept: bool,
    model: &Model<'_>,
) -> Duration {
    let own = model.reading.time(prompt.unread(kept));
    turn(endpoint, prompt, model.reading)
        + slot_wait(endpoint, prompt)
        + own.mul_f64(slowness(endpoint))
}

impl Set {
    /// What it costs to send a prompt to an endpoint that keeps its shared part.
    pub(super) fn cost(
        &self,
        endpoint: &Endpoint,
        prompt: &Prompt<'_>,
        model: &Model<'_>,
        now: Duration,
    ) -> Cost {
        let risks = [
            endpoint.risk.get(now),
            stalled(endpoint, model.reading, now),
            filled(endpoint, prompt.tokens),
            if slots_over(endpoint) > 0 { FULL } else { 0.0 },
            unfinished(endpoint, prompt),
            paused(endpoint, prompt, model, now),
        ];
        let sound = risks.iter().fold(1.0, |sound, risk| sound * (1.0 - risk));
        let lost = 1.0 - sound + harm(endpoint, prompt, model, now);
        let wait = turn(endpoint, prompt, model.reading) + slot_wait(endpoint, prompt);
        micros(wait + prompt.loss().mul_f64(lost))
    }
}

/// How many times as long as at a fast endpoint reading takes.
fn slowness(endpoint: &Endpoint) -> f64 {
    if endpoint.slow {
        SLOW
    } else {
        1.0
    }
}

/// How long it takes until a slot comes free, where all boxes together have taken all.
fn slot_wait(endpoint: &Endpoint, prompt: &Prompt<'_>) -> Duration {
    prompt.hold * slots_over(endpoint) / endpoint.slots.max(1)
}

/// How many slots are missing for all boxes' runs and one more.
fn slots_over(endpoint: &Endpoint) -> u32 {
    let taken = endpoint.running + endpoint.others.running;
    (taken + 1).saturating_sub(endpoint.slots)
}

impl Set {
    /// How long an endpoint may be silent towards a request before it counts as lost there,
    /// which is `least` where nothing else waits: what is to be read there puts it off. An
    /// endpoint in doubt gets no more time.
    ///
    /// Without it requests leave endpoints that are merely busy, and are read once more at
    /// others: under overload that is more work for less.
    pub(in crate::core::dispatch) fn patience(
        &self,
        name: &name::Endpoint,
        least: Duration,
        reading: &reading::Reading,
        now: Duration,
    ) -> Duration {
        let Some(index) = self.names.get(name) else {
            return least;
        };
        let endpoint = &self.endpoints[index.0];
        let is_sound = endpoint.risk.get(now) == 0.0 && stalled(endpoint, reading, now) == 0.0;
        if is_sound && endpoint.configured {
            least + wait(endpoint, reading) * BUSY_TIMES
        } else {
            least
        }
    }
}

/// How likely the answer is not whole by the deadline, at the pace that answers had there
/// of late. Lengths are taken to be spread exponentially, as those of most answers are.
fn unfinished(endpoint: &Endpoint, prompt: &Prompt<'_>) -> f64 {
    let (Some(pace), Some(length)) = (endpoint.pace.get(), prompt.length) else {
        return 0.0;
    };
    let expected = pace * length;
    if expected <= 0.0 {
        return 0.0;
    }
    (-prompt.deadline.as_secs_f64() / expected).exp()
}

impl Endpoint {
    /// What all boxes have unread there before a request of a tier.
    pub(super) fn ahead(&self, tier: unit::Tier) -> reading::Ahead {
        let later = self.later.than(tier) + self.others.later.than(tier);
        let unread = self.unread + self.others.unread;
        reading::Ahead {
            sooner: unread.saturating_sub(later),
            later,
        }
    }
}

/// How long a prompt waits until its own reading begins.
fn turn(endpoint: &Endpoint, prompt: &Prompt<'_>, reading: &reading::Reading) -> Duration {
    let ahead = endpoint.ahead(prompt.tier);
    reading.wait(ahead).mul_f64(slowness(endpoint))
}

/// How long reading what all boxes have there takes.
fn wait(endpoint: &Endpoint, reading: &reading::Reading) -> Duration {
    let backlog = endpoint.unread + endpoint.others.unread;
    reading.time(backlog).mul_f64(slowness(endpoint))
}

/// How likely a request is lost since the endpoint leaves runs unanswered.
fn stalled(endpoint: &Endpoint, reading: &reading::Reading, now: Duration) -> f64 {
    let expected = wait(endpoint, reading) * QUIET_TIMES + QUIET;
    let stalled = endpoint.pending > 0 && now > endpoint.quiet_since + expected;
    if stalled {
        STALLED
    } else {
        0.0
    }
}

/// How likely a request is lost since the endpoint's memory is full with its prompt.
fn filled(endpoint: &Endpoint, tokens: u64) -> f64 {
    let Some(memory) = endpoint.memory else {
        return 0.0;
    };
    let held = endpoint.held + endpoint.others.held + tokens;
    // Both are far below 2^52, so the casts are exact.
    let part = held as f64 / memory.0.max(1) as f64;
    ((part - FILLING) / (1.0 - FILLING)).clamp(0.0, 1.0) * FULL
}

/// How likely the prompt's own stream pauses too long there.
fn paused(endpoint: &Endpoint, prompt: &Prompt<'_>, model: &Model<'_>, now: Duration) -> f64 {
    let part = model.pauses.part(prompt.place(endpoint), now);
    if prompt.is_foreign(endpoint) {
        part.max(MIXED)
    } else {
        part
    }
}

/// How many streams there are lost by a long prompt: those that would not have paused too
/// long without it.
fn harm(endpoint: &Endpoint, prompt: &Prompt<'_>, model: &Model<'_>, now: Duration) -> f64 {
    if !(prompt.long && prompt.is_foreign(endpoint)) {
        return 0.0;
    }
    let part = |foreign| {
        let place = pauses::Place {
            long: false,
            foreign,
            slow: endpoint.slow,
        };
        model.pauses.part(place, now)
    };
    let streams = endpoint.running + endpoint.others.running;
    f64::from(streams) * (part(true) - part(false)).max(0.0)
}

fn micros(time: Duration) -> Cost {
    Cost::try_from(time.as_micros()).unwrap_or(Cost::MAX)
}
