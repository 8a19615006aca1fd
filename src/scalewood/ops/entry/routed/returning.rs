//! Detects callers that try again after a refusal.
//!
//! A caller states how long it waits for the answer. All first attempts of a class state about the
//! same time, so a request that states clearly less has probably been refused before.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{core::name, util::lock::lock};

/// The fraction of the longest time stated for a class below which a caller counts as returning:
/// a refusal sends it away for a second, and deadlines are up to half a minute.
const RETURN_FRACTION: f64 = 0.97;
/// The most classes that are remembered.
const MAX_CLASSES: usize = 4096;

/// The longest time that callers of each class stated.
#[derive(Clone, Debug, Default)]
pub(super) struct Longest {
    longest: Arc<Mutex<HashMap<name::Class, Duration>>>,
}

impl Longest {
    /// Records the time that a caller has left; returns whether it was probably refused before.
    pub(super) fn is_return(&self, class: &name::Class, left: Option<Duration>) -> bool {
        let Some(left) = left else { return false };
        let mut known = lock(&self.longest);
        if known.len() >= MAX_CLASSES && !known.contains_key(class) {
            return false;
        }
        let longest = known.entry(class.clone()).or_insert(left);
        *longest = left.max(*longest);
        left < longest.mul_f64(RETURN_FRACTION)
    }
}
