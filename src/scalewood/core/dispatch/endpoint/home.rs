//! Which endpoint a prompt that shares its beginning with others is read at.
//!
//! All boxes find the same order of endpoints for a prompt by rendezvous hashing; the
//! first is its home, which likely keeps the shared part. What counts is the work that
//! goes before the prompt: the tokens that all boxes have there unread, and those of the
//! shared part where it likely has to be read once more. So a home is left for the next
//! endpoint only while its backlog is longer by more than that costs.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{Endpoint, Index, Set};
use crate::core::{
    dispatch::message,
    load::{self, Load},
    name, rendezvous,
};

/// A cost, in tokens that are read meanwhile.
type Cost = u64;

/// What reading a shared part once more costs beside waiting for as many tokens: it is
/// work that others wait for too, and memory that others lose.
const AGAIN: Cost = 3;
/// What a place further from home costs for each millisecond of the target: endpoints read
/// about as many tokens meanwhile, so a home is left when the target would pass there.
const STEP_PER_MS: Cost = 60;
/// How long an endpoint likely keeps a shared part that was placed there.
const KEPT: Duration = Duration::from_secs(30);
/// Shared parts whose places are remembered at most.
const MAX_KEPT: usize = 4096;
/// What an endpoint costs that has left runs without a first token for long, or has
/// failed of late.
const DOUBTFUL: Cost = 48_000;
/// What one costs that likely fails all it gets.
const FAILED: Cost = 10_000_000;
/// What one costs that has no slot left.
const FULL: Cost = 24_000;
/// The part of an endpoint's memory, in hundredths, from which on it fills up, and what
/// each further hundredth costs: with a full one a prompt waits until others have ended.
const FILLING: u64 = 65;
const FILLING_STEP: Cost = 1000;
/// What a short prompt bears before it goes to an endpoint for long ones.
const FOREIGN: Cost = 16_000;
/// What a long prompt bears before it goes to an endpoint for short ones, where it holds
/// up all streams.
const FOREIGN_LONG: Cost = 40_000;
/// The same for one that is so long that reading it holds them up beyond what they bear.
const FOREIGN_GIANT: Cost = 400_000;
/// From which size on a prompt is that long.
const GIANT: u64 = 9000;
/// How much longer a slow endpoint takes, in hundredths.
const SLOW: Cost = 130;
/// How long an endpoint may leave runs without a first token before it is doubtful.
const MAX_QUIET: Duration = Duration::from_millis(1500);
/// The same for long prompts.
const MAX_QUIET_LONG: Duration = Duration::from_millis(3000);
/// Failures of late above which an endpoint is doubtful: one counts for three seconds.
const TROUBLED: f64 = 0.47;
/// Failures of late above which it likely fails all it gets.
const FAILING: f64 = 1.4;
/// The part of its slots, in hundredths, above which an endpoint counts as full where
/// only this box's runs are known: above 100, since boxes do not share it evenly.
const FULL_GUESSED: u32 = 200;

/// A prompt that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(in crate::core::dispatch) struct Prompt {
    /// What it shares with others.
    pub(in crate::core::dispatch) placed: message::Placed,
    /// All its tokens.
    pub(in crate::core::dispatch) tokens: u64,
    /// The time within which the first token is due.
    pub(in crate::core::dispatch) target: Duration,
    /// Whether it belongs to the endpoints for long prompts.
    pub(in crate::core::dispatch) long: bool,
    /// Whether endpoints are parted between short and long prompts.
    pub(in crate::core::dispatch) parted: bool,
}

impl Prompt {
    /// What a place further from home costs where the shared part is not kept.
    fn step(&self) -> Cost {
        // Targets are far below 2^60 ms, so the cast is exact.
        let target = self.target.as_millis() as u64;
        (self.placed.shared.0 * AGAIN).max(target * STEP_PER_MS)
    }

    /// Tokens that are read where the shared part is kept or not.
    fn unread(&self, kept: bool) -> u64 {
        let shared = if kept { self.placed.shared.0 } else { 0 };
        self.tokens.saturating_sub(shared)
    }
}

/// Where shared parts were placed of late, by all boxes, and until when they likely are
/// there.
#[derive(Debug, Default)]
pub(super) struct Kept {
    places: HashMap<message::Prefix, Vec<(Index, Duration)>>,
    swept: Duration,
    /// What this box has placed and other boxes do not know yet.
    news: Vec<(message::Prefix, Index)>,
}

impl Kept {
    /// The endpoints that likely keep a shared part.
    fn places(&self, prefix: message::Prefix, now: Duration) -> Vec<Index> {
        let places = self.places.get(&prefix).into_iter().flatten();
        let kept = places.filter(|(_, until)| *until > now);
        kept.map(|(index, _)| *index).collect()
    }

    /// Notes a placement; tells whether others should hear of it: it is new, or was last
    /// told so long ago that they are about to forget it.
    fn note(&mut self, prefix: message::Prefix, index: Index, now: Duration) -> bool {
        if self.places.len() >= MAX_KEPT || now > self.swept + KEPT {
            self.swept = now;
            self.places.retain(|_, places| {
                places.retain(|(_, until)| *until > now);
                !places.is_empty()
            });
        }
        let places = self.places.entry(prefix).or_default();
        let known = places.iter_mut().find(|(at, _)| *at == index);
        match known {
            Some((_, until)) if *until > now + KEPT / 2 => false,
            Some((_, until)) => {
                *until = now + KEPT;
                true
            }
            None => {
                places.push((index, now + KEPT));
                true
            }
        }
    }

    /// Forgets everything, since the indexes change.
    pub(super) fn clear(&mut self) {
        self.places.clear();
        self.news.clear();
    }
}

impl Set {
    /// Chooses the endpoint for a prompt and takes a slot there; tells also how many of
    /// its tokens count as unread there.
    pub(in crate::core::dispatch) fn choose_home(
        &mut self,
        prompt: &Prompt,
        avoid: Option<&name::Endpoint>,
        now: Duration,
    ) -> Option<(Index, u64)> {
        let mut candidates: Vec<_> = self
            .ready
            .iter()
            .map(|(_, index)| (self.weight(*index, prompt), *index))
            .collect();
        candidates.sort_unstable_by_key(|candidate| Reverse(*candidate));
        let prefix = prompt.placed.prefix;
        let mut kept = self.kept.places(prefix, now);
        // At an endpoint of the other group it would be in the way of others.
        kept.retain(|index| !self.is_foreign(*index, prompt));
        // Where it is kept nowhere, its home is as good as a place that keeps it. Steps are
        // counted in each of the two groups by itself.
        let mut steps = [Cost::from(!kept.is_empty()); 2];
        let ranked = candidates.into_iter().map(|(_, index)| {
            let endpoint = &self.endpoints[index.0];
            let foreign = self.is_foreign(index, prompt);
            let kept_here = kept.contains(&index);
            let mut away = 0;
            if !kept_here {
                let step = &mut steps[usize::from(foreign)];
                away = prompt.step() * *step;
                *step += 1;
            }
            let avoided = avoid == Some(&endpoint.name);
            let cut = endpoint.away && self.zones.is_suspect(&endpoint.zone, now);
            let cost = away + self.cost(endpoint, prompt, foreign, now);
            ((avoided, cut, cost), index, prompt.unread(kept_here))
        });
        let (_, index, unread) = ranked.min_by_key(|(rank, ..)| *rank)?;
        if self.kept.note(prefix, index, now) {
            self.kept.news.push((prefix, index));
        }
        self.check_grant(index, now);
        self.take(index, unread, now);
        Some((index, unread))
    }

    /// Whether an endpoint is for prompts of the other kind.
    fn is_foreign(&self, index: Index, prompt: &Prompt) -> bool {
        prompt.parted && self.endpoints[index.0].for_short == prompt.long
    }

    /// Notes what other boxes have placed.
    pub(in crate::core::dispatch) fn note_placed(
        &mut self,
        placements: &[load::Placement],
        now: Duration,
    ) {
        for placement in placements {
            if let Some(index) = self.names.get(&placement.endpoint) {
                self.kept.note(placement.prefix, *index, now);
            }
        }
    }

    /// What this box has placed since it was last taken.
    pub(in crate::core::dispatch) fn take_placements(&mut self) -> Vec<load::Placement> {
        let news = std::mem::take(&mut self.kept.news);
        let placement = |(prefix, index): (_, Index)| load::Placement {
            prefix,
            endpoint: self.endpoints[index.0].name.clone(),
        };
        news.into_iter().map(placement).collect()
    }

    fn weight(&self, index: Index, prompt: &Prompt) -> u64 {
        rendezvous::mix(prompt.placed.prefix.0 ^ self.endpoints[index.0].hash)
    }

    fn cost(&self, endpoint: &Endpoint, prompt: &Prompt, foreign: bool, now: Duration) -> Cost {
        let backlog = endpoint.unread + endpoint.others.unread;
        let speed = if endpoint.slow { SLOW } else { 100 };
        let foreign_cost = match (foreign, prompt.long) {
            (false, _) => 0,
            (true, false) => FOREIGN,
            (true, true) if prompt.tokens < GIANT => FOREIGN_LONG,
            (true, true) => FOREIGN_GIANT,
        };
        backlog * speed / 100
            + foreign_cost
            + self.doubt(endpoint, prompt.long, now)
            + Cost::from(self.is_full(endpoint)) * FULL
            + filling(endpoint, prompt.tokens)
    }

    /// What is to be feared of an endpoint, by what this box met there.
    fn doubt(&self, endpoint: &Endpoint, long: bool, now: Duration) -> Cost {
        let quiet = if long { MAX_QUIET_LONG } else { MAX_QUIET };
        let stalled = endpoint.pending > 0 && now > endpoint.quiet_since + quiet;
        let trouble = endpoint.trouble(now);
        Cost::from(stalled) * DOUBTFUL
            + Cost::from(trouble > TROUBLED) * DOUBTFUL
            + Cost::from(trouble > FAILING) * FAILED
    }

    fn is_full(&self, endpoint: &Endpoint) -> bool {
        if self.others_known {
            return endpoint.running + endpoint.others.running >= endpoint.slots;
        }
        endpoint.running * (self.sharers + 1) * 100 / endpoint.slots.max(1) > FULL_GUESSED
    }

    /// The part of the slots of the endpoints for short prompts that is used.
    pub(in crate::core::dispatch) fn crowding(&self) -> f64 {
        let parted = self.endpoints.iter();
        let parted = parted.filter(|e| e.configured && e.for_short);
        let (own, others, slots) = parted.fold((0, 0, 0), |(own, others, slots), e| {
            (own + e.running, others + e.others.running, slots + e.slots)
        });
        let running = if self.others_known {
            own + others
        } else {
            own * (self.sharers + 1)
        };
        f64::from(running) / f64::from(slots.max(1))
    }

    /// Sets what other boxes have at the endpoints, if that is known.
    pub(in crate::core::dispatch) fn set_others(&mut self, others: Option<&load::Loads>) {
        self.others_known = others.is_some();
        for endpoint in &mut self.endpoints {
            let load = others.and_then(|others| others.get(&endpoint.name));
            endpoint.others = load.copied().unwrap_or_default();
        }
    }

    /// What this box has at the endpoints.
    pub(in crate::core::dispatch) fn loads(
        &self,
    ) -> impl Iterator<Item = (name::Endpoint, Load)> + '_ {
        let loaded = self.endpoints.iter().filter(|e| e.running > 0);
        loaded.map(|endpoint| {
            let load = Load {
                unread: endpoint.unread,
                held: endpoint.held,
                running: endpoint.running,
            };
            (endpoint.name.clone(), load)
        })
    }
}

/// What it costs that a prompt fills an endpoint's memory.
fn filling(endpoint: &Endpoint, tokens: u64) -> Cost {
    let Some(memory) = endpoint.memory else {
        return 0;
    };
    let held = endpoint.held + endpoint.others.held + tokens;
    let part = held * 100 / memory.0.max(1);
    part.saturating_sub(FILLING) * FILLING_STEP
}
