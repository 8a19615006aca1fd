//! The runs that hold a slot.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::core::{
    attempt,
    dispatch::{endpoint, message, pauses, prefill},
    name, unit,
};

/// A run that holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) origin: name::Box,
    pub(super) ask: message::Ask,
    pub(super) endpoint: endpoint::Index,
    pub(super) granted: Duration,
    /// Prompt tokens that count as pending prefill at the endpoint until the first token, and as
    /// held in its KV cache until the end.
    pub(super) prefill_tokens: u64,
    /// Prompt tokens of other requests that waited for prefill there when this run was granted.
    pub(super) ahead: prefill::Ahead,
    /// Whether the endpoint likely cached the prompt's shared prefix.
    pub(super) cached: bool,
    /// Where it runs, if its prompt was placed.
    pub(super) place: Option<pauses::Place>,
    /// Whether its stream has paused for longer than its class allows.
    pub(super) paused: bool,
    pub(super) started: bool,
    pub(super) first_token: Option<Duration>,
    /// Tokens that this attempt has delivered.
    pub(super) tokens: unit::Tokens,
    /// Whether it was told to stop.
    pub(super) preempting: bool,
}

/// The number of preemptions of a request after which it is left to finish.
const MAX_PREEMPTIONS: u32 = 3;

/// A rank among the runs that may be preempted: the lowest tier first, then the smallest loss.
type Rank = (Reverse<unit::Tier>, u64, attempt::Attempt);

impl Run {
    /// Returns what its prompt adds to the endpoint's pending prefill.
    pub(super) fn prompt(&self) -> endpoint::Prefill {
        endpoint::Prefill {
            tokens: self.prefill_tokens,
            tier: self.ask.tier,
        }
    }

    /// Returns whether its first token is so late that the endpoint may have lost the request.
    pub(super) fn is_unanswered(&self, now: Duration) -> bool {
        /// How many times its target the first token may take.
        const MAX_TARGETS: u32 = 3;
        /// The time allowed on top of that.
        const EXTRA: Duration = Duration::from_millis(200);
        let waited = now.saturating_sub(self.granted);
        self.first_token.is_none() && waited > self.ask.target * MAX_TARGETS + EXTRA
    }

    /// Returns whether it has used nearly all of its caller's deadline: a caller that leaves
    /// now leaves because the answer took too long.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        /// The fraction of the deadline from which on a run is overdue.
        const OVERDUE_FRACTION: f64 = 0.9;
        let took = self.ask.age + now.saturating_sub(self.granted);
        took >= self.ask.deadline.mul_f64(OVERDUE_FRACTION)
    }

    fn may_be_preempted(&self) -> bool {
        self.ask.preemptible && !self.preempting && self.ask.preempted < MAX_PREEMPTIONS
    }

    /// Returns the cost of a preemption: tokens that have to be processed again.
    fn loss(&self) -> u64 {
        self.ask.prompt.0 + self.ask.delivered.0 + self.tokens.0
    }

    fn rank(&self) -> Rank {
        (Reverse(self.ask.tier), self.loss(), self.ask.attempt)
    }
}

/// All runs that hold a slot.
#[derive(Debug, Default)]
pub(super) struct Runs {
    runs: HashMap<attempt::Attempt, Run>,
    victims: BTreeSet<Rank>,
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

    /// Returns the number of runs that were told to stop and still hold their slot.
    pub(super) fn preempting(&self) -> usize {
        self.preempting
    }

    pub(super) fn insert(&mut self, run: Run) {
        if run.may_be_preempted() {
            self.victims.insert(run.rank());
        }
        if !run.started {
            self.unstarted.insert((run.granted, run.ask.attempt));
        }
        self.runs.insert(run.ask.attempt, run);
    }

    pub(super) fn remove(&mut self, attempt: attempt::Attempt) -> Option<Run> {
        let run = self.runs.remove(&attempt)?;
        self.victims.remove(&run.rank());
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

    pub(super) fn set_first_token(&mut self, attempt: attempt::Attempt, now: Duration) {
        if let Some(run) = self.runs.get_mut(&attempt) {
            run.first_token.get_or_insert(now);
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
        let listed = self.victims.remove(&run.rank());
        run.tokens = run.tokens.max(tokens);
        if listed {
            self.victims.insert(run.rank());
        }
    }

    /// Returns the run to preempt for a tier: of the lower tiers' runs that fit, the lowest
    /// tier first, then the smallest loss.
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

    /// Returns how many runs of lower tiers may be preempted for a tier, up to a bound.
    pub(super) fn victims_below(&self, tier: unit::Tier) -> u32 {
        /// The bound of the count, which bounds the time that counting takes.
        const MAX_COUNTED: usize = 32;
        let below = self
            .victims
            .iter()
            .take_while(|(Reverse(t), _, _)| tier.outranks(*t));
        // The count is at most `MAX_COUNTED`, so the cast is exact.
        below.take(MAX_COUNTED).count() as u32
    }

    pub(super) fn set_preempting(&mut self, attempt: attempt::Attempt) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        self.victims.remove(&run.rank());
        run.preempting = true;
        self.preempting += 1;
    }

    /// Returns the oldest unused grant, if it is from before `before`.
    pub(super) fn unused(&self, before: Duration) -> Option<attempt::Attempt> {
        self.unstarted
            .first()
            .filter(|(granted, _)| *granted < before)
            .map(|(_, a)| *a)
    }
}
