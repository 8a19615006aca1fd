//! Endpoints that limit the requests a second from all boxes together.

use std::time::{Duration, Instant};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{word::Speakers, Account, Back, BOX};
use crate::support::{deploy, routed};

/// How long after it was first named a limit has to be kept, and how long after a box was away.
const KNOWN: Duration = Duration::from_secs(3);
/// How long after it passed on a limit a box counts as told.
const TOLD: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Has one endpoint after the other name a limit for a while, until it is over.
pub(super) async fn disturb(speakers: Speakers, seed: u64, account: &Account) {
    const LIMITS: [&str; 4] = ["0.5", "2.2", "5", "12"];
    let mut random = SmallRng::seed_from_u64(seed ^ 0x0011_317e);
    while !account.is_over() {
        let speaker = {
            let all = speakers.lock().unwrap();
            all[random.random_range(0..all.len())].clone()
        };
        let limit = LIMITS[random.random_range(0..LIMITS.len())];
        let length = Duration::from_millis(random.random_range(3500..9000));
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
    let first = span[0].at;
    let binds = |seen: &&routed::Seen| {
        let Some(entry) = entry_of(seen) else {
            return false;
        };
        let told = span.iter().find(|other| entry_of(other) == Some(entry));
        let is_told = told.is_some_and(|told| seen.at >= told.at + TOLD);
        is_told && seen.at >= first + KNOWN && !was_away(account, entry, seen.at)
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
