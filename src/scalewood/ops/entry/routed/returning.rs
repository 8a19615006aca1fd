//! Callers that come back after a refusal.
//!
//! A caller names the time that it has left. All first attempts of a class begin with the
//! same time, or nearly so; one that begins with clearly less has been here before.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{core::name, util::lock::lock};

/// The part of the longest time that was named for a class below which a caller has been
/// here before: refusals send callers away for a second, of deadlines up to half a minute.
const CLEARLY_LESS: f64 = 0.97;
/// The most classes that are remembered.
const MAX_CLASSES: usize = 4096;

/// The longest time that callers of each class named.
#[derive(Clone, Debug, Default)]
pub(super) struct Longest {
    named: Arc<Mutex<HashMap<name::Class, Duration>>>,
}

impl Longest {
    /// Notes the time that a caller has left; tells whether it has been here before.
    pub(super) fn is_return(&self, class: &name::Class, left: Option<Duration>) -> bool {
        let Some(left) = left else { return false };
        let mut named = lock(&self.named);
        if named.len() >= MAX_CLASSES && !named.contains_key(class) {
            return false;
        }
        let longest = named.entry(class.clone()).or_insert(left);
        *longest = left.max(*longest);
        left < longest.mul_f64(CLEARLY_LESS)
    }
}
