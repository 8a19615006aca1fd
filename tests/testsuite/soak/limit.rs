//! Endpoints that limit the rate of requests from all boxes together.

use std::time::{Duration, Instant};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{word::Announcers, Account, EndpointFleet, BOX};
use crate::support::{deploy, routed};

/// How long after a box was stopped or paused it may exceed limits. A box that received a limit
/// itself must keep to it at once; the others have three seconds.
const LEARNT_WITHIN: Duration = Duration::from_secs(3);
/// How long after the first answer with a limit the box that received it must keep to it.
const BOUND_AFTER: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The number of endpoints that announce limits at the same time.
const CONCURRENT_LIMITS: u64 = 2;

/// Lets some endpoints announce limits for a while, and then others, until the run is over.
pub(super) async fn disturb(announcers: Announcers, seed: u64, account: &Account) {
    let lanes = (0..CONCURRENT_LIMITS)
        .map(|lane| announce_limits(&announcers, seed + (lane << 32), account));
    futures_util::future::join_all(lanes).await;
}

async fn announce_limits(announcers: &Announcers, seed: u64, account: &Account) {
    const LIMITS: [&str; 4] = ["0.5", "2.2", "5", "12"];
    let mut random = SmallRng::seed_from_u64(seed ^ 0x0011_317e);
    while !account.is_over() {
        let announcer = {
            let all = announcers.lock().unwrap();
            all[random.random_range(0..all.len())].clone()
        };
        let limit = LIMITS[random.random_range(0..LIMITS.len())];
        let length = Duration::from_millis(random.random_range(5000..15_000));
        *announcer.limit.lock().unwrap() = Some(limit);
        let until = Instant::now() + length;
        while Instant::now() < until && !account.is_over() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        *announcer.limit.lock().unwrap() = None;
        tokio::time::sleep(length / 8).await;
    }
}

/// Checks that the boxes that received a limit kept to it together, except those that were stopped
/// or paused shortly before.
pub(super) fn check(account: &Account, fleet: &EndpointFleet) {
    let (mut counted, mut windows) = (0, 0);
    for linked in &fleet.endpoints {
        for span in spans(&linked.endpoint.seen()) {
            let Some(limit) = span[0].limit else { continue };
            let bound = bound(account, span);
            counted += bound.len();
            windows += usize::from(!bound.is_empty());
            let a_second: f64 = limit.parse().unwrap();
            let most = (a_second * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
            let got = routed::max_in_window(&bound, WINDOW);
            if got > most {
                let broken = format!(
                    "{} got {got} requests in 4 s with a limit of {limit}, of {most} allowed",
                    linked.endpoint.name
                );
                if deploy::is_mixed() {
                    // Boxes of another build may not support limits.
                    println!("in a mixture of builds: {broken}");
                } else {
                    account.record_violation(broken);
                }
            }
        }
    }
    println!("{counted} requests that limits bind, in {windows} spans");
}

/// Splits the requests into consecutive ones that reached one start while it announced one limit.
fn spans(seen: &[routed::Seen]) -> impl Iterator<Item = &[routed::Seen]> {
    let spans = seen.chunk_by(|a, b| (a.limit, a.start) == (b.limit, b.start));
    spans.filter(|span| span[0].limit.is_some())
}

/// Returns when those requests of a span arrived whose boxes had to keep to its limit.
fn bound(account: &Account, span: &[routed::Seen]) -> Vec<Instant> {
    let binds = |seen: &&routed::Seen| {
        let Some(entry) = sending_box(seen) else {
            return false;
        };
        let told = span.iter().find(|other| sending_box(other) == Some(entry));
        let is_told = told.is_some_and(|told| seen.at >= told.at + BOUND_AFTER);
        is_told && !was_unavailable(account, entry, seen.at)
    };
    span.iter().filter(binds).map(|seen| seen.at).collect()
}

/// Returns the box that sent a request, if the caller named it.
fn sending_box(seen: &routed::Seen) -> Option<usize> {
    seen.header(BOX)?.parse().ok()
}

/// Returns whether a box was stopped or paused shortly before a time.
fn was_unavailable(account: &Account, entry: usize, at: Instant) -> bool {
    let unavailable = account.unavailable.lock().unwrap();
    let mut unavailable = unavailable.iter().filter(|(number, ..)| *number == entry);
    unavailable.any(|(_, from, to)| *from <= at && *to + LEARNT_WITHIN >= at)
}
