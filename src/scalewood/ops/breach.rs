//! Tells of broken invariants in the log.
//!
//! A breach is counted where it is found, deep in `core`, which has no log; this turns
//! the counts into events.

use std::time::Duration;

use crate::{core::invariant, event};

/// How often the counts are looked at.
const PERIOD: Duration = Duration::from_secs(1);

/// Logs each rule whose count has risen, for ever.
pub async fn watch(log: slog::Logger) {
    let mut known = vec![0; invariant::Rule::ALL.len()];
    loop {
        for (rule, known) in invariant::Rule::ALL.iter().zip(&mut known) {
            let count = invariant::breaches(*rule);
            if count > *known {
                event!(log, Invariant, "rule" => rule.as_str(), "count" => count);
                *known = count;
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}
