//! A soak test of boxes that lose their links to endpoints while boxes and voters restart and
//! endpoints misbehave, drawn from a seed.
//!
//! Callers keep their connections open until the process at the other end is gone. From what they and
//! the endpoints see, the test checks:
//!
//! - an answer is complete and correct, or visibly cut after a prefix of the correct one;
//! - a request with the verdict `not-run` never runs, and one that may run only once runs at most once;
//! - a box that is asked to stop ends in time;
//! - in any window the attempts beyond the first one of each request stay within the retry allowance;
//! - once all faults are repaired, each box serves all requests again.
//!
//! `SCALEWOOD_SEED` is the first seed, `SCALEWOOD_RUNS` the number of consecutive seeds, and
//! `SCALEWOOD_SOAK_S` the duration of each in seconds.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Mutex,
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::retry::Allowance;

use crate::{
    reach::{Cut, Site, BOXES, MOST},
    support::{
        client, deploy,
        routed::{Act, Seen, EVENTS, HOST, KEY},
    },
};

/// The seeds of a run without environment variables.
const SEEDS: &[u64] = &[1, 2];
/// The duration of a run without environment variables.
const LENGTH: Duration = Duration::from_secs(10);
const CALLERS: usize = 10;
/// The time within which a box that is asked to stop must end.
const STOP_WITHIN: Duration = Duration::from_secs(6);
/// The time after the last repair within which all boxes must serve again.
const RECOVERY: Duration = Duration::from_secs(10);

/// The state that the drivers and callers share.
#[derive(Default)]
pub(crate) struct Account {
    pub(crate) is_over: AtomicBool,
    sent: AtomicUsize,
    whole: AtomicUsize,
    /// When each request was sent.
    sent_at: Mutex<Vec<Instant>>,
    /// The paths of the requests that were said not to have run.
    not_run: Mutex<Vec<String>>,
    pub(crate) violations: Mutex<Vec<String>>,
}

impl Account {
    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    pub(crate) fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }
}

/// Returns the body of a complete answer.
fn whole_body(path: &str) -> String {
    if path.starts_with("/unsafe/") {
        return "well".into();
    }
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (0..EVENTS).map(event).collect()
}

/// Sends one request and checks its answer. Returns whether the connection can be used again.
async fn send(connection: &mut client::Connection, path: &str, account: &Account) -> bool {
    let bearer = format!("Bearer {KEY}");
    let id = path.replace('/', "-");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", "4000"),
    ];
    let sent = connection.send_to(HOST, "POST", path, &headers, "a body");
    let Ok(response) = sent.await else {
        return false;
    };
    let (parts, mut body) = response.into_parts();
    let mut read = Vec::new();
    let is_cut = loop {
        match body.frame().await {
            None => break false,
            Some(Err(_)) => break true,
            Some(Ok(frame)) => read.extend(frame.into_data().unwrap_or_default()),
        }
    };
    let read = String::from_utf8(read).unwrap();
    let header = |name| {
        let value: Option<&hyper::header::HeaderValue> = parts.headers.get(name);
        value.and_then(|value| value.to_str().ok())
    };
    if header("scalewood-id") != Some(id.as_str()) {
        account.record_violation(format!("{path}: another answer, {:?}", parts.headers));
    }
    match (parts.status.as_u16(), header("scalewood-verdict")) {
        (200, _) => {
            let whole = whole_body(path);
            if !is_cut && read == whole {
                account.whole.fetch_add(1, Ordering::Relaxed);
            } else if !is_cut || !whole.starts_with(&read) {
                account.record_violation(format!("{path}: cut {is_cut}, wrong: {read:?}"));
            }
        }
        (503 | 429 | 408, Some("not-run")) => {
            account.not_run.lock().unwrap().push(path.to_owned());
        }
        (502..=504, Some("may-have-run")) => {}
        (500, None) if read == "failed" => {}
        other => account.record_violation(format!("{path}: {other:?} {read:?}")),
    }
    !is_cut
}

/// Sends requests to random boxes until the run is over; keeps each connection until it ends.
async fn caller(site: &Site, seed: u64, number: usize, account: &Account) {
    const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
    let mut random = SmallRng::seed_from_u64(seed * 1000 + number as u64);
    let mut kept: Vec<(SocketAddr, client::Connection)> = Vec::new();
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
        let address = site.system.callers_at(random.random_range(0..BOXES));
        let at = kept.iter().position(|(at, _)| *at == address);
        let mut connection = match at {
            Some(at) => kept.swap_remove(at).1,
            None => match client::Connection::open(address).await {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        let sent = account.sent.fetch_add(1, Ordering::Relaxed);
        account.sent_at.lock().unwrap().push(Instant::now());
        let path = format!("{}{sent}", PATHS[random.random_range(0..PATHS.len())]);
        if send(&mut connection, &path, account).await {
            kept.push((address, connection));
        }
    }
}

/// Cuts and repairs the links of some boxes.
pub(crate) async fn cut_links(site: &Site, seed: u64, account: &Account) {
    const CUTS: [Cut; 3] = [Cut::Reset, Cut::Silent, Cut::RefusesNew];
    let mut random = SmallRng::seed_from_u64(seed ^ 0xc07);
    while !account.is_over() {
        site.set_cut(Some(CUTS[random.random_range(0..CUTS.len())]));
        tokio::time::sleep(Duration::from_millis(random.random_range(200..3500))).await;
        site.set_cut(None);
        tokio::time::sleep(Duration::from_millis(random.random_range(50..1500))).await;
    }
}

/// Kills, stops, pauses and restarts boxes, often two at a time.
pub(crate) async fn disturb_boxes(
    site: &Site,
    boxes: &Mutex<Vec<Option<deploy::Process>>>,
    seed: u64,
    account: &Account,
) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0xb0c5);
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..1200))).await;
        let chosen: Vec<usize> = (0..random.random_range(1..=2))
            .map(|_| random.random_range(0..BOXES))
            .collect();
        let how = random.random_range(0..3);
        let down = Duration::from_millis(random.random_range(100..900));
        let disturbed = chosen.into_iter().map(|i| async move {
            let Some(process) = boxes.lock().unwrap()[i].take() else {
                return;
            };
            let process = match how {
                0 => {
                    process.kill();
                    tokio::time::sleep(down).await;
                    site.start_box(i)
                }
                1 => {
                    let stopped = tokio::task::spawn_blocking(|| process.stop(STOP_WITHIN)).await;
                    if !stopped.unwrap() {
                        account.record_violation(format!("box {i} does not stop"));
                    }
                    site.start_box(i)
                }
                _ => {
                    process.signal("STOP");
                    tokio::time::sleep(down).await;
                    process.signal("CONT");
                    process
                }
            };
            boxes.lock().unwrap()[i] = Some(process);
        });
        join_all(disturbed).await;
    }
}

/// Lets endpoints refuse, fail or break off requests.
async fn disturb_endpoints(site: &Site, seed: u64, account: &Account) {
    const ACTS: [Act; 4] = [
        Act::Refuse,
        Act::Fail,
        Act::BreakAfter(2),
        Act::BreakAfter(0),
    ];
    let mut random = SmallRng::seed_from_u64(seed ^ 0xe9d);
    while !account.is_over() {
        let endpoint = &site.endpoints[random.random_range(0..site.endpoints.len())];
        endpoint.set_default_act(Some(ACTS[random.random_range(0..ACTS.len())]));
        tokio::time::sleep(Duration::from_millis(random.random_range(100..700))).await;
        endpoint.answer_correctly();
        tokio::time::sleep(Duration::from_millis(random.random_range(100..1500))).await;
    }
}

/// Lets all endpoints refuse all requests for some seconds at a time, so that boxes use all retries that
/// they have.
async fn refuse_everywhere(site: &Site, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x5eed);
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(1500..4000))).await;
        for endpoint in &site.endpoints {
            endpoint.set_default_act(Some(Act::Refuse));
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(300..2500))).await;
        for endpoint in &site.endpoints {
            endpoint.answer_correctly();
        }
    }
}

/// Checks in each window that begins with a repeated attempt how many there are; returns the most, and what was
/// allowed there. The requests that count are those of the window, of the one before, or of the one that begins
/// half a window before, whichever are the most.
pub(crate) fn check_retries(seen: Vec<Seen>, sent_at: &[Instant]) -> Result<(f64, f64), String> {
    let Allowance {
        ratio,
        slack,
        window,
    } = Allowance::default();
    let is_counted = |path: &str| {
        path.rsplit('/')
            .next()
            .is_some_and(|n| n.parse::<u64>().is_ok())
    };
    let mut seen: Vec<_> = seen
        .into_iter()
        .filter(|seen| is_counted(&seen.path))
        .collect();
    seen.sort_by_key(|seen| seen.at);
    let mut known = HashSet::new();
    let repeated = seen.iter().filter(|seen| !known.insert(&seen.path));
    let repeated: Vec<_> = repeated.map(|seen| seen.at).collect();
    let count = |times: &[Instant], from: Instant| {
        let within = times
            .iter()
            .filter(|at| **at >= from && **at < from + window);
        within.count() as f64
    };
    let mut most = (0.0, 0.0);
    for from in &repeated {
        let starts = [
            Some(*from),
            from.checked_sub(window / 2),
            from.checked_sub(window),
        ];
        let requests = starts
            .into_iter()
            .flatten()
            .map(|from| count(sent_at, from));
        let allowed = ratio * requests.fold(0.0, f64::max) + slack;
        let again = count(&repeated, *from);
        if again > allowed {
            return Err(format!(
                "{again} repeated attempts in a window, allowed {allowed}"
            ));
        }
        if again > most.0 {
            most = (again, allowed);
        }
    }
    Ok(most)
}

/// Checks that each box serves all requests within [`RECOVERY`].
async fn check_recovery(site: &Site, account: &Account) {
    const REQUESTS: usize = 10;
    let until = Instant::now() + RECOVERY;
    loop {
        let mut failed = Vec::new();
        for i in 0..BOXES {
            for number in 0..REQUESTS {
                let outcome = site.send(i, &format!("/safe/recovered{number}")).await;
                failed.extend((!outcome.is_served()).then_some(outcome));
            }
        }
        if failed.is_empty() {
            return;
        }
        if Instant::now() > until {
            let what = format!("{} not served in the end: {:?}", failed.len(), failed[0]);
            return account.record_violation(what);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Checks what ran against what callers were told.
fn check_runs(site: &Site, account: &Account) {
    let seen = site.endpoints.iter().flat_map(|endpoint| endpoint.seen());
    let mut ran: Vec<_> = seen.filter(|seen| seen.ran).map(|seen| seen.path).collect();
    ran.sort();
    for path in account.not_run.lock().unwrap().iter() {
        if ran.binary_search(path).is_ok() {
            account.record_violation(format!("{path} ran, and was said not to have"));
        }
    }
    for pair in ran.windows(2) {
        let once = pair[0].starts_with("/unsafe/") || pair[0].starts_with("/stream/");
        if once && pair[0] == pair[1] {
            account.record_violation(format!("{} ran twice", pair[0]));
        }
    }
}

async fn soak(seed: u64, length: Duration) -> Vec<String> {
    let name = format!("reach-soak-{seed}-");
    let dir = tempfile::Builder::new()
        .prefix(&name)
        .tempdir_in(env!("CARGO_TARGET_TMPDIR"))
        .unwrap();
    let mut site = Site::start(&MOST, dir.path()).await;
    let boxes = Mutex::new(std::mem::take(&mut site.boxes));
    let (site, account) = (&site, &Account::default());
    let callers = (0..CALLERS).map(|number| caller(site, seed, number, account));
    let end = async {
        tokio::time::sleep(length).await;
        account.is_over.store(true, Ordering::Relaxed);
    };
    let disturbed = async {
        tokio::join!(
            end,
            join_all(callers),
            cut_links(site, seed, account),
            disturb_boxes(site, &boxes, seed, account),
            disturb_endpoints(site, seed, account),
            refuse_everywhere(site, seed, account),
        );
        site.set_cut(None);
        check_recovery(site, account).await;
    };
    tokio::select! {
        () = disturbed => {}
        () = site.beat_on() => unreachable!(),
    }
    check_runs(site, account);
    let seen = site.endpoints.iter().flat_map(|endpoint| endpoint.seen());
    match check_retries(seen.collect(), &account.sent_at.lock().unwrap()) {
        Ok((most, allowed)) => {
            println!("at most {most} repeated attempts in a window, allowed {allowed}");
        }
        Err(what) => account.record_violation(what),
    }
    let whole = account.whole.load(Ordering::Relaxed);
    let sent = account.sent.load(Ordering::Relaxed);
    println!("seed {seed}: {whole} of {sent} whole");
    let mut violations = account.violations.lock().unwrap().clone();
    if whole * 4 < sent {
        violations.push(format!(
            "only {whole} of {sent} requests were answered whole"
        ));
    }
    if !violations.is_empty() {
        println!("seed {seed}: logs in {}", dir.keep().display());
    }
    violations
}

/// Guards against requests that are lost, doubled or answered wrongly on their way over two boxes, and
/// against boxes that don't recover.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_links_to_endpoints_come_and_go() {
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
