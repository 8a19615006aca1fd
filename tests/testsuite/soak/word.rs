//! What endpoints say in their answers: that they want rest, and that they leave.

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use super::{Account, Act, Back, Behind, BOX};
use crate::support::{deploy, routed};

/// Spans of time.
pub(super) type Spans = Arc<Mutex<Vec<(Instant, Instant)>>>;

/// An endpoint, as far as it matters here.
#[derive(Clone, Debug)]
pub(super) struct Speaker {
    /// How it treats all requests.
    pub(super) usual: Arc<Mutex<Option<Act>>>,
    /// The limit that it names.
    pub(super) limit: Arc<Mutex<Option<&'static str>>>,
    /// Which start of it this is.
    pub(super) start: Arc<AtomicU64>,
    /// Spans in which it said that it leaves; each ends with a new start.
    pub(super) leaving: Spans,
}

/// All endpoints, those that come later too.
pub(super) type Speakers = Arc<Mutex<Vec<Speaker>>>;

/// After which time requests that were under way when an answer came have arrived.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// The most requests of a box that may reach an endpoint within its rest.
const MOST: usize = 2;

/// Has one endpoint after the other ask for rest, or say that it leaves, until it is over.
pub(super) async fn disturb(speakers: Speakers, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x00_7e57);
    while !account.is_over() {
        let speaker = {
            let all = speakers.lock().unwrap();
            all[random.random_range(0..all.len())].clone()
        };
        let rest = Duration::from_millis(random.random_range(600..1500));
        let length = Duration::from_millis(random.random_range(200..1800));
        let leaves = random.random_bool(0.3);
        let act = if leaves { Act::Leave } else { Act::Rest(rest) };
        let from = Instant::now();
        *speaker.usual.lock().unwrap() = Some(act);
        tokio::time::sleep(length).await;
        *speaker.usual.lock().unwrap() = None;
        if leaves {
            speaker.start.fetch_add(1, Ordering::Relaxed);
            let span = (from, Instant::now());
            speaker.leaving.lock().unwrap().push(span);
        }
        tokio::time::sleep(length / 4).await;
    }
}

/// Checks that boxes gave what was asked for, but for those that were away or cut off meanwhile.
pub(super) fn check(account: &Account, back: &Back) {
    let speakers = back.speakers.lock().unwrap().clone();
    let mut asked = 0;
    for (behind, speaker) in back.endpoints.iter().zip(speakers) {
        let seen = behind.endpoint.seen();
        let leaving = speaker.leaving.lock().unwrap().clone();
        for answered in &seen {
            let (until, most, what) = match answered.act {
                Some(Act::Rest(rest)) => (answered.at + rest, MOST, "its rest"),
                Some(Act::Leave) => {
                    let within = |(from, to): &&_| *from <= answered.at && answered.at < *to;
                    let Some((_, to)) = leaving.iter().find(within) else {
                        continue;
                    };
                    (*to, 0, "its leaving")
                }
                _ => continue,
            };
            asked += 1;
            if is_excused(account, behind, answered, until) {
                continue;
            }
            let entry = answered.header(BOX);
            let from = answered.at + UNDER_WAY;
            let got = seen.iter().filter(|s| s.header(BOX) == entry);
            let got = got.filter(|s| s.at > from && s.at < until).count();
            if got > most {
                let name = &behind.endpoint.name;
                let broken = format!("box {entry:?} sent {name} {got} requests within {what}");
                if deploy::is_mixed() {
                    // Boxes of another build may know nothing of it.
                    println!("in a mixture of builds: {broken}");
                } else {
                    account.breaks(broken);
                }
            }
        }
    }
    println!("{asked} answers asked for rest or told of leaving");
}

/// Whether the box may not have heard an answer, or has forgotten it.
fn is_excused(account: &Account, behind: &Behind, answered: &routed::Seen, until: Instant) -> bool {
    let Some(entry) = answered
        .header(BOX)
        .and_then(|text| text.parse::<usize>().ok())
    else {
        // Not a caller's of the soak.
        return true;
    };
    let overlaps = |from: Instant, to: Instant| from <= until && to >= answered.at;
    let away = account.away.lock().unwrap();
    let mut away = away.iter().filter(|(number, ..)| *number == entry);
    let cut = behind.cut.lock().unwrap();
    away.any(|(_, from, to)| overlaps(*from, *to)) || cut.iter().any(|(f, t)| overlaps(*f, *t))
}
