//! Logs breaches of invariants.
//!
//! `core` detects and counts breaches but has no logger; this module turns the counts into log
//! events.

use std::time::Duration;

use crate::{core::invariant, event};

/// How often the counts are checked.
const PERIOD: Duration = Duration::from_secs(1);

/// Logs each rule whose count has risen. Runs for ever.
pub async fn watch(log: slog::Logger) {
    let mut logged = vec![0; invariant::Rule::ALL.len()];
    loop {
        for (rule, logged) in invariant::Rule::ALL.iter().zip(&mut logged) {
            let count = invariant::breaches(*rule);
            if count > *logged {
                event!(log, Invariant, "rule" => rule.as_str(), "count" => count);
                *logged = count;
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}
