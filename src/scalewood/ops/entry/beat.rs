//! Tells the voters which revision is in force here, for the status page.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use crate::{
    ops::{
        entry::{desk, Shared},
        rpc,
    },
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
    }
}
