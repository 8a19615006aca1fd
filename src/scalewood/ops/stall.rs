//! Logs when this process did not run: it was stopped, got no processor time, or its machine was
//! suspended. Without this, what follows from such a gap looks like a fault of the process.

use std::time::Duration;

use crate::{event, util::clock::Clock};

/// The interval between two checks.
const INTERVAL: Duration = Duration::from_millis(100);
/// The delay of a check from which on it is logged.
const MIN_STALL: Duration = Duration::from_millis(400);

/// Logs the stalls of this process until it ends.
pub(super) async fn watch<C: Clock>(log: slog::Logger, clock: C) {
    loop {
        let begun = clock.now();
        tokio::time::sleep(INTERVAL).await;
        let stall = clock.now().saturating_sub(begun + INTERVAL);
        if stall >= MIN_STALL {
            event!(log, ProcessStalled, "gap_ms" => stall.as_millis());
        }
    }
}
