//! A soak test of endpoints that send answers again, refuse, fail, break off and send bytes without end, while a
//! box is killed, restarted and reloaded and the routing changes, drawn from a seed.
//!
//! Callers keep their connections open until the process at the other end is gone. The test checks:
//!
//! - a request that may run once ran at most once, and did not run if its answer says so;
//! - a caller gets the answer to its own request, whole;
//! - a stream lacks no event and has none twice;
//! - once the endpoints answer properly, both boxes serve again.
//!
//! `SCALEWOOD_SEED` is the first seed, `SCALEWOOD_RUNS` the number of consecutive seeds, and
//! `SCALEWOOD_SOAK_S` the duration of each in seconds.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    registry::{Record, State},
    unit,
};

use crate::support::{
    client, deploy,
    raw::{self, Connection, Listener, Request},
    routed::{routing, text, System, HOST, KEY},
};

/// The seeds of a run without environment variables.
const SEEDS: &[u64] = &[1, 2];
/// The duration of a run without environment variables.
const LENGTH: Duration = Duration::from_secs(6);
const CALLERS: usize = 10;
const ENDPOINTS: u16 = 2;
const ALL: [usize; 2] = [0, 1];
/// The header in which endpoints echo the id of a request.
const ID: &str = "scalewood-id";
/// The share of answers that are sent again in the place of the next one due.
const SENT_AGAIN: f64 = 0.5;
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The number of events of a stream.
const EVENTS: usize = 6;
/// The time after the last fault within which both boxes must serve again.
const RECOVERY: Duration = Duration::from_secs(15);

/// What endpoints have run and how they behave.
#[derive(Debug)]
struct Shared {
    /// How often each request ran, by its id.
    runs: Mutex<HashMap<String, u32>>,
    is_faulty: AtomicBool,
    random: Mutex<SmallRng>,
}

impl Shared {
    fn draw(&self) -> f64 {
        self.random.lock().unwrap().random()
    }
}

fn event(number: usize, path: &str) -> String {
    format!("id: {number}\ndata: {path}\n\n")
}

/// Answers requests over a connection, at times wrongly.
async fn serve(mut connection: Connection, shared: Arc<Shared>) {
    let mut again: Option<String> = None;
    while let Some(request) = connection.request().await {
        let is_faulty = shared.is_faulty.load(Ordering::Relaxed);
        if let Some(again) = again.take() {
            if !connection.write(again).await {
                return;
            }
        }
        let fault = if is_faulty { shared.draw() } else { 1.0 };
        if fault < 0.40 {
            let more = "scalewood-verdict: not-run\r\n";
            let refusal = request.answer(ID, 503, more, "full");
            if !connection.write(&refusal).await {
                return;
            }
            again = (shared.draw() < SENT_AGAIN).then_some(refusal);
            continue;
        }
        let id = request.header(ID).unwrap_or_default().to_owned();
        *shared.runs.lock().unwrap().entry(id).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(5)).await;
        let whole = served(&request);
        if fault < 0.45 {
            // Breaks off within the answer.
            let _ = connection.write(&whole.as_bytes()[..whole.len() - 3]).await;
            return;
        }
        if fault < 0.47 {
            let head = whole.split("content-length").next().unwrap_or_default();
            if connection.write(format!("{head}x: ")).await {
                connection.write_endlessly([b'x'; 4096]).await;
            }
            return;
        }
        let answer = if fault < 0.51 {
            request.answer(ID, 500, "", &request.path)
        } else {
            whole
        };
        if !connection.write(&answer).await {
            return;
        }
        again = (is_faulty && shared.draw() < SENT_AGAIN).then_some(answer);
    }
}

/// Returns the proper answer to a request.
fn served(request: &Request) -> String {
    if !request.path.starts_with("/sresume/") {
        return request.answer(ID, 200, "", &request.path);
    }
    let after = request.header("last-event-id");
    let from = after.map_or(0, |id| id.parse::<usize>().unwrap() + 1);
    let events: String = (from..EVENTS).map(|i| event(i, &request.path)).collect();
    request.answer(ID, 200, "", &events)
}

/// Announces an endpoint.
async fn beat(system: &System, number: u16, sequence: u64) {
    let record = Record {
        name: format!("i-{number}").parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address: (system.host, 9000 + number).into(),
        slots: unit::Slots(16),
        state: State::Ready,
        sequence,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
    };
    system.announce(0, &record).await;
}

/// A caller's request and what it got.
#[derive(Debug)]
struct Outcome {
    id: String,
    path: String,
    status: u16,
    verdict: Option<String>,
    /// The body, unless it broke off.
    body: Option<String>,
}

/// Sends requests to boxes, over connections that are kept until their box is gone, until `until`.
async fn call(system: &System, boxes: &[usize], seed: u64, until: Instant) -> Vec<Outcome> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut kept: HashMap<usize, client::Connection> = HashMap::new();
    let mut outcomes = Vec::new();
    let bearer = format!("Bearer {KEY}");
    while Instant::now() < until {
        let at = boxes[random.random_range(0..boxes.len())];
        let kind = ["unsafe", "unsafe", "safe", "sresume"][random.random_range(0..4)];
        let id = format!("{:016x}", rand::random::<u64>());
        let path = format!("/{kind}/{id}");
        tokio::time::sleep(Duration::from_millis(random.random_range(1..40))).await;
        let mut connection = match kept.remove(&at) {
            Some(connection) => connection,
            None => match client::Connection::open(system.callers_at(at)).await {
                Ok(connection) => connection,
                Err(_) => continue,
            },
        };
        let headers = [
            ("authorization", bearer.as_str()),
            (ID, id.as_str()),
            ("scalewood-deadline-ms", "3000"),
        ];
        let sent = connection.send_to(HOST, "POST", &path, &headers, "a body");
        let Ok(response) = sent.await else { continue };
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok().map(|body| body.to_bytes());
        if body.is_some() {
            kept.insert(at, connection);
        }
        let verdict = parts.headers.get("scalewood-verdict");
        outcomes.push(Outcome {
            id,
            path,
            status: parts.status.as_u16(),
            verdict: verdict.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: body.map(|body| String::from_utf8_lossy(&body).into_owned()),
        });
    }
    outcomes
}

/// Returns what is wrong with an outcome, given how often the request ran.
fn violation(outcome: &Outcome, runs: u32) -> Option<&'static str> {
    let is_once = outcome.path.starts_with("/unsafe/");
    if is_once && runs > 1 {
        return Some("ran twice");
    }
    let is_refused = matches!(outcome.status, 408 | 421 | 429 | 503);
    if is_once && runs > 0 && (is_refused || outcome.verdict.as_deref() == Some("not-run")) {
        return Some("ran, and was said not to have");
    }
    let body = outcome.body.as_deref()?;
    let whole = if outcome.path.starts_with("/sresume/") {
        (0..EVENTS).map(|i| event(i, &outcome.path)).collect()
    } else {
        outcome.path.clone()
    };
    (outcome.status == 200 && body != whole).then_some("got another answer than its own")
}

/// Restarts, reloads and stops the second box, and publishes new versions of the routing.
async fn disturb(
    system: &mut System,
    second: &mut Option<deploy::Process>,
    seed: u64,
    until: Instant,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut version = 8;
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..600))).await;
        match random.random_range(0..5) {
            0 => {
                if let Some(process) = second.take() {
                    process.kill();
                }
                *second = Some(system.start_entry_at(1));
            }
            1 => {
                if let Some(process) = second.take() {
                    assert!(process.stop(Duration::from_secs(8)), "a box does not stop");
                }
                *second = Some(system.start_entry_at(1));
            }
            2 => system.entry.as_ref().unwrap().signal("HUP"),
            _ => {
                version += 1;
                assert_eq!(system.publish(&text(&routing(version))).await, 200);
            }
        }
    }
}

async fn run(seed: u64, length: Duration) {
    let dir = tempfile::tempdir().unwrap();
    let mut system = System::start(1, dir.path());
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let shared = Arc::new(Shared {
        runs: Mutex::default(),
        is_faulty: AtomicBool::new(false),
        random: Mutex::new(SmallRng::seed_from_u64(seed)),
    });
    let mut listeners: Vec<Listener> = Vec::new();
    for number in 0..ENDPOINTS {
        let shared = shared.clone();
        let address = (system.host, 9000 + number).into();
        let serve = move |connection| serve(connection, shared.clone());
        listeners.push(raw::listen(address, serve).await);
        beat(&system, number, 1).await;
    }
    let mut second = Some(system.start_entry_at(1));
    system.wait_served().await;
    system.wait_retries().await;
    shared.is_faulty.store(true, Ordering::Relaxed);
    let until = Instant::now() + length;
    // Callers and heartbeats use the addresses only, and the drivers the processes.
    let addresses = System {
        dir: system.dir.clone(),
        host: system.host,
        voters: system.voters.iter().map(|_| None).collect(),
        entry: None,
        more: String::new(),
    };
    let callers = (0..CALLERS as u64).map(|i| call(&addresses, &ALL, seed * 1000 + i, until));
    let callers = futures_util::future::join_all(callers);
    let beats = async {
        for sequence in 2.. {
            tokio::time::sleep(HEARTBEAT).await;
            for number in 0..ENDPOINTS {
                beat(&addresses, number, sequence).await;
            }
        }
    };
    let all = async {
        let (outcomes, ()) = tokio::join!(callers, disturb(&mut system, &mut second, seed, until));
        shared.is_faulty.store(false, Ordering::Relaxed);
        for i in ALL {
            wait_served_at(&addresses, i).await;
        }
        outcomes
    };
    let outcomes = tokio::select! {
        outcomes = all => outcomes,
        () = beats => unreachable!("heartbeats are sent for ever"),
    };
    let runs = shared.runs.lock().unwrap();
    let outcomes: Vec<_> = outcomes.into_iter().flatten().collect();
    let wrong = outcomes.iter().filter_map(|outcome| {
        let runs = runs.get(&outcome.id).copied().unwrap_or_default();
        let why = violation(outcome, runs)?;
        Some(format!("{why}: {outcome:?}, {runs} runs"))
    });
    let wrong: Vec<_> = wrong.take(5).collect();
    let served = outcomes.iter().filter(|outcome| outcome.status == 200);
    let served = served.count();
    println!(
        "seed {seed}: {} requests, {served} with status 200",
        outcomes.len()
    );
    assert!(wrong.is_empty(), "seed {seed}: {wrong:#?}");
    assert!(served * 4 > outcomes.len(), "seed {seed}: {served} served");
}

/// Waits until a box serves requests.
async fn wait_served_at(system: &System, i: usize) {
    let since = Instant::now();
    loop {
        let soon = Instant::now() + Duration::from_millis(200);
        let outcomes = call(system, &[i], rand::random(), soon).await;
        if outcomes.iter().any(|outcome| outcome.status == 200) {
            return;
        }
        assert!(since.elapsed() < RECOVERY, "box {i} does not serve again");
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Guards against answers that reach another request than their own, while endpoints send them twice.
#[tokio::test(flavor = "multi_thread")]
async fn answers_belong_to_their_requests_while_endpoints_send_them_twice() {
    let seeds: Vec<u64> = match (number("SCALEWOOD_SEED"), number("SCALEWOOD_RUNS")) {
        (None, None) => SEEDS.to_vec(),
        (first, count) => {
            let first = first.unwrap_or(1);
            (first..first + count.unwrap_or(1)).collect()
        }
    };
    let length = number("SCALEWOOD_SOAK_S").map_or(LENGTH, Duration::from_secs);
    for seed in seeds {
        run(seed, length).await;
    }
}
