//! The reserve: slots kept free for higher tiers.
//!
//! A run that can't be preempted keeps its slot to the end. When such runs fill all
//! slots, a request of a higher tier has to wait for one of them to end, and misses
//! its target whenever a few come at once. So a slot is given to such a run only
//! while enough stay in reach of the tiers above: free ones, and those of runs that
//! can be preempted.
//!
//! How many are enough is learnt from what happens: each request of a class that
//! starts too late for its target raises the class's reserve by a step, each that
//! starts in time lowers it by so much less that it comes to rest where two in a
//! thousand are late. A forecast from the flows was tried first; it kept slots free
//! that spill and preemption made unnecessary.

use crate::core::dispatch::{class::Class, queue, Dispatcher};

/// What a late start adds to a class's reserve, in slots.
const STEP: f64 = 1.0;
/// The part of the starts that may be late.
const LATE: f64 = 0.002;
/// The part of the slots that is kept free at most.
const MAX_PART: f64 = 0.125;

impl Class {
    /// Learns from a start.
    pub(super) fn learn_reserve(&mut self, late: bool, slots: u32) {
        let step = if late {
            STEP
        } else {
            -STEP * LATE / (1.0 - LATE)
        };
        self.reserve = (self.reserve + step).clamp(0.0, f64::from(slots) * MAX_PART);
    }
}

impl Dispatcher {
    /// Whether a request has to wait so that enough slots stay in reach of higher
    /// tiers.
    pub(super) fn is_held_back(&self, waiting: &queue::Waiting) -> bool {
        if waiting.ask.preemptible {
            return false;
        }
        let above = self
            .classes
            .values()
            .filter(|c| c.tier.outranks(waiting.ask.tier));
        let need = above.map(|class| self.need(class)).fold(0.0, f64::max);
        let free = self
            .endpoints
            .allowed()
            .saturating_sub(self.endpoints.running());
        need > 0.0 && f64::from(free) <= need.floor()
    }

    /// Slots that a class needs free beyond those that it can get by preemption.
    fn need(&self, class: &Class) -> f64 {
        if class.reserve < 1.0 {
            return 0.0;
        }
        class.reserve - f64::from(self.runs.victims_below(class.tier))
    }
}
