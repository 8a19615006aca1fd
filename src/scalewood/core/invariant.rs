//! What must always hold, checked where it is decided.
//!
//! A breach is counted; the daemons turn the counts into a numbered event and a
//! metric. In debug builds a breach panics, so that a randomised run stops at the
//! first one.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! rules {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// Something that must always hold.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Rule {
            $($(#[$doc])* $name,)*
        }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];

            /// The rule's name in metrics and events.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Rule::$name => $text,)*
                }
            }
        }
    };
}

rules! {
    /// No higher tier is shed while a lower one could be shed in its place.
    ShedOrder = "shed-order";
    /// Nothing begins while smaller requests of a more urgent class are refused here, or
    /// are known to be refused elsewhere.
    Precedence = "precedence";
    /// No run is preempted for a tier that does not outrank it.
    PreemptOrder = "preempt-order";
    /// A request ends in exactly one final answer.
    OneAnswer = "one-answer";
    /// A slot has at most one holder.
    SlotHolder = "slot-holder";
    /// A key is sent at most once.
    KeyOnce = "key-once";
    /// A leaving endpoint gets no grant more than 3 s after the first sign.
    LeavingGrant = "leaving-grant";
    /// An endpoint in a cordoned zone gets no grant.
    CordonedGrant = "cordoned-grant";
    /// An endpoint that warms up gets a grant by a lease only.
    WarmingGrant = "warming-grant";
    /// The pieces of an answer belong to one chain of attempts.
    AttemptChain = "attempt-chain";
    /// The revision at a box only rises.
    RevisionRises = "revision-rises";
    /// A term has at most one leader.
    OneLeader = "one-leader";
    /// A committed entry is never dropped or changed.
    CommittedStays = "committed-stays";
    /// No order is given under a lease that has run out.
    LeaseHeld = "lease-held";
    /// No two locks are taken in opposite orders; checked in debug builds alone.
    LockOrder = "lock-order";
}

static BREACHES: [AtomicU64; Rule::ALL.len()] = [const { AtomicU64::new(0) }; Rule::ALL.len()];

/// Checks that a rule holds.
///
/// # Panics
///
/// Panics in debug builds if it does not.
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

/// How often a rule was broken in this process.
pub fn breaches(rule: Rule) -> u64 {
    BREACHES[rule as usize].load(Ordering::Relaxed)
}
