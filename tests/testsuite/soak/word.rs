//! Endpoints that ask for backoffs, or announce that they leave, in their answers.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{ending::Ending, Account, Act, EndpointFleet, LinkedEndpoint, BOX};
use crate::support::{deploy, routed};

/// Spans of time.
pub(super) type Spans = Arc<Mutex<Vec<(Instant, Instant)>>>;
/// Moments.
pub(super) type Times = Arc<Mutex<Vec<Instant>>>;

/// The parts of an endpoint that determine what it announces.
#[derive(Clone, Debug)]
pub(super) struct Announcer {
    /// What it does with all requests.
    pub(super) default_act: Arc<Mutex<Option<Act>>>,
    /// The limit that it announces.
    pub(super) limit: Arc<Mutex<Option<&'static str>>>,
    /// The number of its current start.
    pub(super) start: Arc<AtomicU64>,
    /// What changes when it ends.
    pub(super) ending: Ending,
    /// The spans in which it announced that it leaves; each ends with a new start.
    pub(super) leaving: Spans,
}

/// All endpoints, including those that are added later.
pub(super) type Announcers = Arc<Mutex<Vec<Announcer>>>;

/// The time within which requests arrive that were in flight when an answer was sent.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// The most requests of a box that may reach an endpoint during a backoff.
const MAX_DURING_REST: usize = 2;

/// Lets one endpoint after another ask for backoffs, or announce that it leaves, until the run is
/// over.
pub(super) async fn disturb(announcers: Announcers, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x00_7e57);
    while !account.is_over() {
        let announcer = {
            let all = announcers.lock().unwrap();
            all[random.random_range(0..all.len())].clone()
        };
        let rest = Duration::from_millis(random.random_range(600..1500));
        let length = Duration::from_millis(random.random_range(200..1800));
        let leaves = random.random_bool(0.3);
        let act = if leaves { Act::Leave } else { Act::Rest(rest) };
        let from = Instant::now();
        *announcer.default_act.lock().unwrap() = Some(act);
        tokio::time::sleep(length).await;
        *announcer.default_act.lock().unwrap() = None;
        if leaves {
            // Taken first: as soon as the start is raised, a heartbeat may report it to boxes.
            let span = (from, Instant::now());
            announcer.start.fetch_add(1, Ordering::Relaxed);
            announcer.leaving.lock().unwrap().push(span);
        }
        tokio::time::sleep(length / 4).await;
    }
}

/// Checks that boxes sent no more requests than allowed to endpoints that asked for a backoff or
/// that leave, except boxes that were stopped, paused or cut off meanwhile.
pub(super) fn check(account: &Account, fleet: &EndpointFleet) {
    let announcers = fleet.announcers.lock().unwrap().clone();
    let mut asked = 0;
    for (linked, announcer) in fleet.endpoints.iter().zip(announcers) {
        let seen = linked.endpoint.seen();
        let leaving = announcer.leaving.lock().unwrap().clone();
        let restarted = linked.restarted.lock().unwrap().clone();
        for answered in &seen {
            let (until, most, what) = match answered.act {
                Some(Act::Rest(rest)) => (answered.at + rest, MAX_DURING_REST, "its rest"),
                Some(Act::Leave) => {
                    let within = |(from, to): &&_| *from <= answered.at && answered.at < *to;
                    let Some((_, to)) = leaving.iter().find(within) else {
                        continue;
                    };
                    // Another driver may start it anew meanwhile. The new start may get requests
                    // until it announces that it leaves too.
                    let restarts = restarted.iter().filter(|at| **at > answered.at);
                    let until = restarts.min().map_or(*to, |at| (*at).min(*to));
                    (until, 0, "its leaving")
                }
                _ => continue,
            };
            asked += 1;
            if is_excused(account, linked, answered, until) {
                continue;
            }
            let entry = answered.header(BOX);
            let from = answered.at + IN_FLIGHT;
            let got = seen.iter().filter(|s| s.header(BOX) == entry);
            let got: Vec<_> = got.filter(|s| s.at > from && s.at < until).collect();
            if got.len() > most {
                let name = &linked.endpoint.name;
                let after: Vec<_> = got.iter().map(|s| s.at - answered.at).collect();
                let broken = format!(
                    "box {entry:?} sent {name} {} requests within {what}, {after:?} after its \
                     answer and {:?} before the end",
                    got.len(),
                    until - got[got.len() - 1].at
                );
                if deploy::is_mixed() {
                    // Boxes of another build may not support backoffs.
                    println!("in a mixture of builds: {broken}");
                } else {
                    account.record_violation(broken);
                }
            }
        }
    }
    println!("{asked} answers asked for rest or told of leaving");
}

/// Returns whether the box may not have received an answer, or may have lost its content.
fn is_excused(
    account: &Account,
    linked: &LinkedEndpoint,
    answered: &routed::Seen,
    until: Instant,
) -> bool {
    let Some(entry) = answered
        .header(BOX)
        .and_then(|text| text.parse::<usize>().ok())
    else {
        // The request is not from a caller of the soak test.
        return true;
    };
    let overlaps = |from: Instant, to: Instant| from <= until && to >= answered.at;
    let unavailable = account.unavailable.lock().unwrap();
    let mut unavailable = unavailable.iter().filter(|(number, ..)| *number == entry);
    let cut = linked.cut.lock().unwrap();
    unavailable.any(|(_, from, to)| overlaps(*from, *to))
        || cut.iter().any(|(f, t)| overlaps(*f, *t))
}
