//! Tells the voters which revision is in force here, for the status page.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use crate::{
    core::{backoff, name, throttle},
    ops::{
        entry::{desk, now, Shared},
        rpc,
    },
    util::lock::lock,
    wire::control::{Beat, ControlClient as _},
};

/// How often the voters are told.
const PERIOD: Duration = Duration::from_secs(1);

/// Tells all voters, for ever; one that does not answer is left out till the next.
pub(super) async fn run(board: Shared, voters: Vec<SocketAddr>) {
    for voter in voters {
        tokio::spawn(tell(board.clone(), voter));
    }
}

async fn tell(board: Shared, voter: SocketAddr) {
    let mut feed = board.feed.watch();
    loop {
        if let Ok(client) = rpc::connect(voter).await {
            while client.beat(beat(&board)).await.is_ok() {
                // A new revision is told at once.
                let _ = tokio::time::timeout(PERIOD, feed.changed()).await;
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
}

fn beat(board: &Shared) -> Beat {
    let mut dispatches = desk::held(board);
    dispatches.sort();
    Beat {
        name: board.own.name.clone(),
        zone: board.own.zone.clone(),
        revision: board.feed.current().revision,
        ready: board.ready.load(Ordering::Relaxed),
        dispatches,
        rests: rests(board),
        limits: limits(board),
    }
}

/// The most endpoints that are told: enough to see that there are many.
const MOST: usize = 16;

fn rests(board: &Shared) -> Vec<(name::Endpoint, u64)> {
    let now = now(board);
    let rests = lock(&board.rests);
    let left = |(name, rest): (&name::Endpoint, &backoff::Backoff)| {
        let left = rest.until.saturating_sub(now).as_millis();
        (name.clone(), u64::try_from(left).unwrap_or(u64::MAX))
    };
    rests.all(now).take(MOST).map(left).collect()
}

fn limits(board: &Shared) -> Vec<(name::Endpoint, throttle::Limit)> {
    let throttles = lock(&board.throttles);
    let limited = throttles.all().take(MOST);
    limited
        .map(|(name, _, limit)| (name.clone(), limit))
        .collect()
}
