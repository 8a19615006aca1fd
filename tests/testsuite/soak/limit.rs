//! Endpoints that limit the requests a second from all boxes together.

use std::time::{Duration, Instant};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{word::Speakers, Account, Back, BOX};
use crate::support::{deploy, routed};

/// How long after a box was away it may not keep to limits. One that was told is bound at once, by
/// what boxes promise; others have three seconds.
const KNOWN: Duration = Duration::from_secs(3);
/// How long after it passed on a limit a box counts as told.
const TOLD: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Endpoints that name limits at the same time.
const AT_ONCE: u64 = 2;

/// Has some endpoints name limits for a while, and then others, until it is over.
pub(super) async fn disturb(speakers: Speakers, seed: u64, account: &Account) {
    let lanes = (0..AT_ONCE).map(|lane| name_limits(&speakers, seed + (lane << 32), account));
    futures_util::future::join_all(lanes).await;
}

async fn name_limits(speakers: &Speakers, seed: u64, account: &Account) {
    const LIMITS: [&str; 4] = ["0.5", "2.2", "5", "12"];
    let mut random = SmallRng::seed_from_u64(seed ^ 0x0011_317e);
    while !account.is_over() {
        let speaker = {
            let all = speakers.lock().unwrap();
            all[random.random_range(0..all.len())].clone()
        };
        let limit = LIMITS[random.random_range(0..LIMITS.len())];
        let length = Duration::from_millis(random.random_range(5000..15_000));
        *speaker.limit.lock().unwrap() = Some(limit);
        let until = Instant::now() + length;
        while Instant::now() < until && !account.is_over() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        *speaker.limit.lock().unwrap() = None;
        tokio::time::sleep(length / 8).await;
    }
}

/// Checks that the boxes that had passed on a limit kept to it together, but for those that were
/// away shortly before.
pub(super) fn check(account: &Account, back: &Back) {
    let (mut counted, mut windows) = (0, 0);
    for behind in &back.endpoints {
        for span in spans(&behind.endpoint.seen()) {
            let Some(limit) = span[0].limit else { continue };
            let bound = bound(account, span);
            counted += bound.len();
            windows += usize::from(!bound.is_empty());
            let a_second: f64 = limit.parse().unwrap();
            let most = (a_second * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
            let got = routed::densest(&bound, WINDOW);
            if got > most {
                let broken = format!(
                    "{} got {got} requests in 4 s with a limit of {limit}, of {most} allowed",
                    behind.endpoint.name
                );
                if deploy::is_mixed() {
                    // Boxes of another build may know nothing of it.
                    println!("in a mixture of builds: {broken}");
                } else {
                    account.breaks(broken);
                }
            }
        }
    }
    println!("{counted} requests that limits bind, in {windows} spans");
}

/// The requests that came one after the other while one start named the same limit.
fn spans(seen: &[routed::Seen]) -> impl Iterator<Item = &[routed::Seen]> {
    let spans = seen.chunk_by(|a, b| (a.limit, a.start) == (b.limit, b.start));
    spans.filter(|span| span[0].limit.is_some())
}

/// When requests came that the limit of a span binds.
fn bound(account: &Account, span: &[routed::Seen]) -> Vec<Instant> {
    let binds = |seen: &&routed::Seen| {
        let Some(entry) = entry_of(seen) else {
            return false;
        };
        let told = span.iter().find(|other| entry_of(other) == Some(entry));
        let is_told = told.is_some_and(|told| seen.at >= told.at + TOLD);
        is_told && !was_away(account, entry, seen.at)
    };
    span.iter().filter(binds).map(|seen| seen.at).collect()
}

/// The box that sent a request, if its caller named it.
fn entry_of(seen: &routed::Seen) -> Option<usize> {
    seen.header(BOX)?.parse().ok()
}

/// Whether a box was away shortly before.
fn was_away(account: &Account, entry: usize, at: Instant) -> bool {
    let away = account.away.lock().unwrap();
    let mut away = away.iter().filter(|(number, ..)| *number == entry);
    away.any(|(_, from, to)| *from <= at && *to + KNOWN >= at)
}
