//! The reserve: slots kept free for higher tiers.
//!
//! A run that can't be preempted keeps its slot to the end. When such runs fill all slots, a
//! request of a higher tier has to wait for one of them to end, and misses its target whenever
//! a few arrive at once. So such a run gets a slot only while enough remain available to the
//! tiers above: free ones, and those of runs that can be preempted.
//!
//! The size of the reserve is adapted: each request of a class that starts too late for its
//! target raises the class's reserve by a step, and each that starts in time lowers it by so
//! much less that it is stable where two in a thousand are late. A forecast from the offered
//! load would keep slots free that spill and preemption make unnecessary.

use crate::core::dispatch::{class::Class, queue, Dispatcher};

/// What a late start adds to a class's reserve, in slots.
const LATE_STEP_SLOTS: f64 = 1.0;
/// The fraction of starts that may be late.
const LATE_FRACTION: f64 = 0.002;
/// The largest fraction of the slots that is kept free.
const MAX_RESERVE_FRACTION: f64 = 0.125;

impl Class {
    /// Adjusts the reserve after a start that was late or in time.
    pub(super) fn learn_reserve(&mut self, late: bool, slots: u32) {
        let step = if late {
            LATE_STEP_SLOTS
        } else {
            -LATE_STEP_SLOTS * LATE_FRACTION / (1.0 - LATE_FRACTION)
        };
        self.reserve = (self.reserve + step).clamp(0.0, f64::from(slots) * MAX_RESERVE_FRACTION);
    }
}

impl Dispatcher {
    /// Returns whether a request has to wait so that enough slots remain available to higher
    /// tiers.
    pub(super) fn waits_for_reserve(&self, waiting: &queue::Waiting) -> bool {
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

    /// Returns the slots that a class needs free beyond those that it can get by preemption.
    fn need(&self, class: &Class) -> f64 {
        if class.reserve < 1.0 {
            return 0.0;
        }
        class.reserve - f64::from(self.runs.victims_below(class.tier))
    }
}
