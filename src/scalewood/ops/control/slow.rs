//! Logs operations on the data folder that take long. Without this, a voter whose disk hangs looks
//! like one that takes no part for no reason.

use std::time::Duration;

use crate::{event, store::latency, util::clock::Clock};

/// The interval between two checks.
const INTERVAL: Duration = Duration::from_millis(250);

/// Logs the monitor's notices until the process ends.
pub(super) async fn watch<C: Clock>(monitor: latency::Monitor<C>, log: slog::Logger) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        for notice in monitor.notices() {
            event!(log, StoreSlow, "file" => notice.file,
                "operation" => notice.operation.as_str(),
                "took_ms" => notice.duration.as_millis(), "ended" => notice.has_ended,
                "untold" => notice.untold);
        }
    }
}
