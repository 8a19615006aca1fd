//! Endpoints that end as processes do: their connections break, nobody listens for a while, and then
//! they start anew.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{
    word::{Announcers, Spans, Times},
    Account,
};
use crate::support::forwarder::Forwarder;

/// How long an endpoint that ended is away.
const AWAY: Duration = Duration::from_millis(300);
/// The shortest and the longest time between two endpoints that end by themselves.
const MIN_GAP_MS: u64 = 20;
const MAX_GAP_MS: u64 = 700;

/// The parts of an endpoint that change when it ends.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    pub(super) link: Arc<Forwarder>,
    /// The number of its current start.
    pub(super) start: Arc<AtomicU64>,
    /// The spans in which it was away or its link was faulty.
    pub(super) cut: Spans,
    /// When it was started anew.
    pub(super) restarted: Times,
}

impl Ending {
    /// Ends the endpoint and starts it anew.
    pub(super) async fn end(&self) {
        let from = Instant::now();
        self.link.set_down(true);
        tokio::time::sleep(AWAY).await;
        self.restarted.lock().unwrap().push(Instant::now());
        self.start.fetch_add(1, Ordering::Relaxed);
        self.link.set_down(false);
        self.cut.lock().unwrap().push((from, Instant::now()));
    }
}

/// Ends one endpoint after another, whatever it processes, until the run is over.
pub(super) async fn disturb(announcers: Announcers, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x000e_2d19);
    while !account.is_over() {
        let gap = random.random_range(MIN_GAP_MS..MAX_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
        let ending = {
            let all = announcers.lock().unwrap();
            all[random.random_range(0..all.len())].ending.clone()
        };
        ending.end().await;
    }
}
