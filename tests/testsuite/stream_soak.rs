//! A soak test of streams of a service whose endpoints run three builds, while links to endpoints are
//! lost, boxes and voters restart and endpoints break streams off, drawn from a seed.
//!
//! Callers keep their connections open until the process at the other end is gone, and take a broken
//! stream up at another box. The test checks:
//!
//! - no stream holds events of two builds, and none lacks a piece or has one twice;
//! - of the streams that are taken up at boxes whose links are not cut and that answer, at least half as
//!   many go on as of new ones begin there;
//! - a box that is asked to stop ends in time;
//! - once all faults are repaired, each box serves streams again.
//!
//! `SCALEWOOD_SEED` is the first seed, `SCALEWOOD_RUNS` the number of consecutive seeds, and
//! `SCALEWOOD_SOAK_S` the duration of each in seconds.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{atomic::Ordering, Mutex},
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use crate::{
    reach::{Site, BOXES, MOST},
    reach_soak::{cut_links, disturb_boxes, Account},
    support::{
        client,
        routed::Act,
        streams::{attempt, receive, script, Stream, Tally, EVENTS},
    },
};

/// The seeds of a run without environment variables.
const SEEDS: &[u64] = &[1, 2];
/// The duration of a run without environment variables.
const LENGTH: Duration = Duration::from_secs(10);
const CALLERS: usize = 30;
const BUILDS: [&str; 3] = ["v1", "v1.1", "v2"];
/// The time within which boxes hear of the builds.
const ANNOUNCED_WITHIN: Duration = Duration::from_millis(1500);
/// The time that a caller has for a stream, over all its attempts.
const DEADLINE: Duration = Duration::from_secs(4);
/// The time after the last repair within which all boxes must serve again.
const RECOVERY: Duration = Duration::from_secs(10);
/// The fewest streams that are taken up for their share to be compared.
const MIN_TAKEN_UP: usize = 12;

/// What callers saw.
#[derive(Default)]
struct Seen {
    tally: Mutex<Tally>,
    /// How often streams that had begun were refused with each code.
    refused: Mutex<BTreeMap<String, usize>>,
    whole: Mutex<usize>,
}

/// Makes one attempt at a stream over a connection that is kept until it ends.
async fn attempt_over(
    kept: &mut HashMap<SocketAddr, client::Connection>,
    at: SocketAddr,
    stream: &mut Stream,
    left: Duration,
) {
    let mut connection = match kept.remove(&at) {
        Some(connection) => connection,
        None => match client::Connection::open(at).await {
            Ok(connection) => connection,
            Err(_) => return,
        },
    };
    let id = format!("{:016x}", rand::random::<u64>());
    if stream.events == 0 {
        stream.begun_by.clone_from(&id);
    }
    let received = receive(&mut connection, &id, stream);
    if tokio::time::timeout(left, received).await == Ok(Some(())) {
        kept.insert(at, connection);
    }
}

/// Calls streams at random boxes until the run is over, and takes them up elsewhere as they break.
async fn caller(site: &Site, seed: u64, number: usize, account: &Account, seen: &Seen) {
    let mut random = SmallRng::seed_from_u64(seed * 1000 + number as u64);
    let mut kept = HashMap::new();
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(5..200))).await;
        let until = Instant::now() + DEADLINE;
        let mut stream = Stream::default();
        let mut tally = Tally::default();
        while !stream.is_whole() && Instant::now() < until && !account.is_over() {
            let i = random.random_range(0..BOXES);
            let at = site.system.callers_at(i);
            let before = stream.events;
            let left = until.saturating_duration_since(Instant::now());
            stream.is_answered = false;
            attempt_over(&mut kept, at, &mut stream, left).await;
            // Boxes whose links are cut or that are down are out of touch. Most streams that are taken up
            // come while they are, so they would count as boxes that do not go on with streams.
            if stream.is_answered && !MOST.contains(&i) {
                tally.record(before == 0, stream.events > before);
            }
            if before == 0 {
                stream.refused.clear();
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(20..120))).await;
        }
        seen.tally.lock().unwrap().add(&tally);
        *seen.whole.lock().unwrap() += usize::from(stream.is_whole());
        for code in stream.refused.drain(..) {
            *seen.refused.lock().unwrap().entry(code).or_default() += 1;
        }
        if stream.builds.len() > 1 {
            account.record_violation(format!("a stream of two builds: {stream:?}"));
        }
    }
}

/// Lets endpoints break streams off.
async fn break_streams(site: &Site, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xe9d);
    while !account.is_over() {
        let endpoint = &site.endpoints[random.random_range(0..site.endpoints.len())];
        endpoint.set_default_act(Some(Act::BreakAfter(random.random_range(1..EVENTS))));
        tokio::time::sleep(Duration::from_millis(random.random_range(100..700))).await;
        endpoint.answer_correctly();
        tokio::time::sleep(Duration::from_millis(random.random_range(50..800))).await;
    }
}

/// Checks that each box serves a stream within [`RECOVERY`].
async fn check_recovery(site: &Site, account: &Account) {
    let until = Instant::now() + RECOVERY;
    for i in 0..BOXES {
        loop {
            let mut tally = Tally::default();
            let stream = attempt(site.system.callers_at(i), None, &mut tally).await;
            if stream.is_some_and(|stream| stream.is_whole()) {
                break;
            }
            if Instant::now() > until {
                account.record_violation(format!("box {i} serves no stream in the end"));
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

async fn soak(seed: u64, length: Duration) -> Vec<String> {
    let name = format!("stream-soak-{seed}-");
    let dir = tempfile::Builder::new()
        .prefix(&name)
        .tempdir_in(env!("CARGO_TARGET_TMPDIR"))
        .unwrap();
    let mut site = Site::start(&MOST, dir.path()).await;
    for (i, endpoint) in site.endpoints.iter().enumerate() {
        endpoint.set_script(script(BUILDS[i % BUILDS.len()]));
    }
    let boxes = Mutex::new(std::mem::take(&mut site.boxes));
    let (site, account, seen) = (&site, &Account::default(), &Seen::default());
    let disturbed = async {
        tokio::time::sleep(ANNOUNCED_WITHIN).await;
        let callers = (0..CALLERS).map(|number| caller(site, seed, number, account, seen));
        let end = async {
            tokio::time::sleep(length).await;
            account.is_over.store(true, Ordering::Relaxed);
        };
        tokio::join!(
            end,
            join_all(callers),
            cut_links(site, seed, account),
            disturb_boxes(site, &boxes, seed, account),
            break_streams(site, seed, account),
        );
        site.set_cut(None);
        check_recovery(site, account).await;
    };
    tokio::select! {
        () = disturbed => {}
        () = site.beat_on() => unreachable!("heartbeats are sent for ever"),
    }
    let tally = seen.tally.lock().unwrap();
    let whole = *seen.whole.lock().unwrap();
    let refused = seen.refused.lock().unwrap();
    println!("seed {seed}: {whole} whole, {tally:?}, refused {refused:?}");
    let mut violations = account.violations.lock().unwrap().clone();
    let (went_on, begun) = (tally.taken_up_fraction(), tally.begun_fraction());
    if tally.taken_up >= MIN_TAKEN_UP && went_on < begun / 2.0 {
        violations.push(format!("{went_on} of the streams go on, {begun} begin"));
    }
    if !violations.is_empty() {
        println!("seed {seed}: logs in {}", dir.keep().display());
    }
    violations
}

/// Guards against streams that go on at another build, or not at all, when several faults come together.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_their_build_while_boxes_restart_and_links_are_lost() {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let length = number("SCALEWOOD_SOAK_S").map_or(LENGTH, Duration::from_secs);
    let seeds: Vec<u64> = match (number("SCALEWOOD_SEED"), number("SCALEWOOD_RUNS")) {
        (None, None) => SEEDS.to_vec(),
        (first, runs) => {
            let first = first.unwrap_or(1);
            (first..first + runs.unwrap_or(1)).collect()
        }
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let violations = soak(seed, length).await;
        for what in &violations {
            println!("seed {seed}: {what}");
        }
        failed.extend((!violations.is_empty()).then_some(seed));
    }
    assert!(failed.is_empty(), "seeds {failed:?} failed");
}
