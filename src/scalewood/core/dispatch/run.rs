//! The runs that hold a slot.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::core::{
    attempt,
    dispatch::{endpoint, message, pauses, reading},
    name, unit,
};

/// A run that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) origin: name::Box,
    pub(super) ask: message::Ask,
    pub(super) endpoint: endpoint::Index,
    pub(super) granted: Duration,
    /// Tokens of its prompt that count as unread until its first token, and as held.
    pub(super) unread: u64,
    /// Tokens that were unread at the endpoint before it, when it was granted.
    pub(super) ahead: reading::Ahead,
    /// Whether its endpoint likely kept what the prompt shares with others.
    pub(super) kept: bool,
    /// Where it runs, if its prompt was placed.
    pub(super) place: Option<pauses::Place>,
    /// Whether its stream has paused for longer than its class bears.
    pub(super) paused: bool,
    pub(super) started: bool,
    pub(super) first: Option<Duration>,
    /// Tokens that this attempt has delivered.
    pub(super) tokens: unit::Tokens,
    /// Whether it was told to stop.
    pub(super) preempting: bool,
}

/// Preemptions of one request after which it is left to finish.
const MAX_PREEMPTED: u32 = 3;

/// A place among the runs that may be preempted: the lowest tier first, then the
/// least loss.
type Place = (Reverse<unit::Tier>, u64, attempt::Attempt);

impl Run {
    /// What its prompt adds to what is unread at its endpoint.
    pub(super) fn prompt(&self) -> endpoint::Tokens {
        endpoint::Tokens {
            unread: self.unread,
            tier: self.ask.tier,
        }
    }

    /// Whether it got no first token for so long that its endpoint may have lost it.
    pub(super) fn is_unanswered(&self, now: Duration) -> bool {
        /// How many targets a first token may take.
        const TARGETS: u32 = 3;
        /// What is added to that.
        const SPARE: Duration = Duration::from_millis(200);
        let waited = now.saturating_sub(self.granted);
        self.first.is_none() && waited > self.ask.target * TARGETS + SPARE
    }

    /// Whether it has used nearly all the time that its caller waits: a caller that leaves
    /// now leaves because the answer took too long.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        /// The part of the time that counts as nearly all.
        const NEARLY: f64 = 0.9;
        let took = self.ask.age + now.saturating_sub(self.granted);
        took >= self.ask.deadline.mul_f64(NEARLY)
    }

    fn may_be_preempted(&self) -> bool {
        self.ask.preemptible && !self.preempting && self.ask.preempted < MAX_PREEMPTED
    }

    /// What a preemption costs: tokens that have to be processed once more.
    fn loss(&self) -> u64 {
        self.ask.prompt.0 + self.ask.delivered.0 + self.tokens.0
    }

    fn place(&self) -> Place {
        (Reverse(self.ask.tier), self.loss(), self.ask.attempt)
    }
}

/// All runs that hold a slot.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<attempt::Attempt, Run>,
    victims: BTreeSet<Place>,
    unstarted: BTreeSet<(Duration, attempt::Attempt)>,
    preempting: usize,
}

impl Runs {
    pub(super) fn get(&self, attempt: attempt::Attempt) -> Option<&Run> {
        self.runs.get(&attempt)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &Run> {
        self.runs.values()
    }

    /// Runs that were told to stop and still hold their slot.
    pub(super) fn preempting(&self) -> usize {
        self.preempting
    }

    pub(super) fn insert(&mut self, run: Run) {
        if run.may_be_preempted() {
            self.victims.insert(run.place());
        }
        if !run.started {
            self.unstarted.insert((run.granted, run.ask.attempt));
        }
        self.runs.insert(run.ask.attempt, run);
    }

    pub(super) fn remove(&mut self, attempt: attempt::Attempt) -> Option<Run> {
        let run = self.runs.remove(&attempt)?;
        self.victims.remove(&run.place());
        self.unstarted.remove(&(run.granted, attempt));
        if run.preempting {
            self.preempting -= 1;
        }
        Some(run)
    }

    pub(super) fn set_started(&mut self, attempt: attempt::Attempt) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        run.started = true;
        self.unstarted.remove(&(run.granted, attempt));
    }

    pub(super) fn set_first(&mut self, attempt: attempt::Attempt, now: Duration) {
        if let Some(run) = self.runs.get_mut(&attempt) {
            run.first.get_or_insert(now);
        }
    }

    pub(super) fn set_paused(&mut self, attempt: attempt::Attempt) {
        if let Some(run) = self.runs.get_mut(&attempt) {
            run.paused = true;
        }
    }

    pub(super) fn set_tokens(&mut self, attempt: attempt::Attempt, tokens: unit::Tokens) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let listed = self.victims.remove(&run.place());
        run.tokens = run.tokens.max(tokens);
        if listed {
            self.victims.insert(run.place());
        }
    }

    /// The run to preempt for a tier: of a lower one, with the least loss, of those that fit.
    pub(super) fn victim_where(
        &self,
        tier: unit::Tier,
        fits: impl Fn(&Run) -> bool,
    ) -> Option<&Run> {
        let below = self.victims.iter();
        let below = below.take_while(|(Reverse(lowest), ..)| tier.outranks(*lowest));
        let mut runs = below.filter_map(|(_, _, attempt)| self.runs.get(attempt));
        runs.find(|run| fits(run))
    }

    /// How many runs of lower tiers may be preempted for a tier, as far as it matters.
    pub(super) fn victims_below(&self, tier: unit::Tier) -> u32 {
        /// More than this are not counted.
        const ENOUGH: usize = 32;
        let below = self
            .victims
            .iter()
            .take_while(|(Reverse(t), _, _)| tier.outranks(*t));
        // The count is at most `ENOUGH`, so the cast is exact.
        below.take(ENOUGH).count() as u32
    }

    pub(super) fn set_preempting(&mut self, attempt: attempt::Attempt) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        self.victims.remove(&run.place());
        run.preempting = true;
        self.preempting += 1;
    }

    /// A grant that was not used until `before`.
    pub(super) fn unused(&self, before: Duration) -> Option<attempt::Attempt> {
        self.unstarted
            .first()
            .filter(|(granted, _)| *granted < before)
            .map(|(_, a)| *a)
    }
}
