//! Reports this box's state to the voters, for the status page.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use crate::{
    core::{backoff, name, throttle},
    ops::{
        entry::{dispatchers, now, Shared},
        rpc,
    },
    util::lock::lock,
    wire::control::{ControlClient as _, Heartbeat},
};

/// The longest interval between two reports to a voter, and the wait after a failed report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports to all voters, for ever. A voter that can't be reached is tried again after
/// `REPORT_INTERVAL`.
pub(super) async fn run(board: Shared, voters: Vec<SocketAddr>) {
    for voter in voters {
        tokio::spawn(report_to(board.clone(), voter));
    }
}

async fn report_to(board: Shared, voter: SocketAddr) {
    let mut feed = board.feed.watch();
    loop {
        if let Ok(client) = rpc::connect(voter).await {
            while client.beat(report(&board)).await.is_ok() {
                // A new revision is reported at once.
                let _ = tokio::time::timeout(REPORT_INTERVAL, feed.changed()).await;
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

fn report(board: &Shared) -> Heartbeat {
    let mut dispatches = dispatchers::services(board);
    dispatches.sort();
    Heartbeat {
        name: board.own.name.clone(),
        zone: board.own.zone.clone(),
        revision: board.feed.current().revision,
        ready: board.ready.load(Ordering::Relaxed),
        dispatches,
        backoffs: backoffs(board),
        limits: limits(board),
    }
}

/// The most endpoints listed in each part of a report: enough to show that there are many.
const MAX_LISTED: usize = 16;

fn backoffs(board: &Shared) -> Vec<(name::Endpoint, u64)> {
    let now = now(board);
    let backoffs = lock(&board.backoffs);
    let left = |(name, backoff): (&name::Endpoint, &backoff::Backoff)| {
        let left = backoff.until.saturating_sub(now).as_millis();
        (name.clone(), u64::try_from(left).unwrap_or(u64::MAX))
    };
    backoffs.all(now).take(MAX_LISTED).map(left).collect()
}

fn limits(board: &Shared) -> Vec<(name::Endpoint, throttle::Limit)> {
    let throttles = lock(&board.endpoint_limits);
    let limited = throttles.all().take(MAX_LISTED);
    limited
        .map(|(name, _, limit)| (name.clone(), limit))
        .collect()
}
