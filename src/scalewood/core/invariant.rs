//! Invariants, checked where the decisions are made.
//!
//! Violations are counted; the daemons report the counts in a numbered event and a metric. In debug
//! builds a violation panics, so that a randomised run stops at the first one.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! rules {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// A condition that must always hold.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Rule {
            $($(#[$doc])* $name,)*
        }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];

            /// Returns the rule's name in metrics and events.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Rule::$name => $text,)*
                }
            }
        }
    };
}

rules! {
    /// No request of a higher tier is shed while one of a lower tier could be shed instead.
    ShedOrder = "shed-order";
    /// No request begins while smaller ones of a more urgent class are refused here or are known to
    /// be refused at other boxes.
    Precedence = "precedence";
    /// No running request is preempted for a tier that does not outrank its own.
    PreemptOrder = "preempt-order";
    /// A request ends with exactly one final answer.
    OneAnswer = "one-answer";
    /// A slot has at most one holder.
    SlotHolder = "slot-holder";
    /// A call with an idempotency key is not sent again once it may have run.
    KeyOnce = "key-once";
    /// A leaving endpoint gets no grant more than 3 s after the first sign that it is leaving.
    LeavingGrant = "leaving-grant";
    /// An endpoint in a cordoned zone gets no grant.
    CordonedGrant = "cordoned-grant";
    /// An endpoint that warms up gets grants only under a lease.
    WarmingGrant = "warming-grant";
    /// All pieces of an answer come from one chain of attempts.
    AttemptChain = "attempt-chain";
    /// The revision at a box only increases.
    RevisionRises = "revision-rises";
    /// A term has at most one leader.
    OneLeader = "one-leader";
    /// A committed entry is never dropped or changed.
    CommittedStays = "committed-stays";
    /// No order is given under an expired lease.
    LeaseHeld = "lease-held";
    /// No two locks are taken in opposite orders; checked in debug builds only.
    LockOrder = "lock-order";
}

static BREACHES: [AtomicU64; Rule::ALL.len()] = [const { AtomicU64::new(0) }; Rule::ALL.len()];

/// Checks that a rule holds, and counts a violation if it does not.
///
/// # Panics
///
/// Panics in debug builds if the rule does not hold.
#[track_caller]
pub fn check(holds: bool, rule: Rule, what: impl FnOnce() -> String) {
    if holds {
        return;
    }
    BREACHES[rule as usize].fetch_add(1, Ordering::Relaxed);
    if cfg!(debug_assertions) {
        panic!("invariant {} is broken: {}", rule.as_str(), what());
    }
}

/// Returns how often a rule was violated in this process.
pub fn breaches(rule: Rule) -> u64 {
    BREACHES[rule as usize].load(Ordering::Relaxed)
}
