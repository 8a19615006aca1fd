//! A soak test of routed traffic under faults at all voters, entry boxes and endpoints, drawn from
//! a seed.
//!
//! Voters and entry boxes run as processes; endpoints and the links to them run in this process.
//! Faults are injected concurrently: voters are killed, paused, wiped, and told to reload; entry
//! boxes are killed, paused, stopped as planned, and told to reload; endpoints give faulty answers,
//! leave, crash under a request that is resent, restart under their names, ask for backoffs,
//! announce limits, announce in their answers that they leave, and are behind links that are cut,
//! silent, one-way or slow. Meanwhile callers send requests over kept and new connections, and an
//! operator publishes one routing after another. From what callers, the operator and endpoints see,
//! the test checks:
//!
//! - an answer is complete and correct, or visibly cut after a prefix of the correct one;
//! - a request with the verdict `not-run` never runs;
//! - a request that must not be repeated runs at most once, any other at most as often as its
//!   route allows;
//! - a planned stop or a reload drops no request that has been passed on;
//! - reading a routing never returns an older version than one that was acknowledged before;
//! - requests that all published routings allow are never refused as unknown;
//! - an acknowledged order to cordon or uncordon is always read back, survives all faults of
//!   voters, and a cordon keeps new requests off its zone's endpoints;
//! - a request that crashes endpoints rarely reaches another one once three have ended;
//! - an endpoint that asked a box for a backoff, or told it that it leaves, gets no new requests
//!   from that box, except a few during a backoff;
//! - an endpoint that announced a limit gets little more than that from all boxes together that
//!   have received it;
//! - an endpoint that has left gets no requests, and after all faults are repaired all requests are
//!   served again.
//!
//! `SCALEWOOD_SEED` is the first seed, `SCALEWOOD_RUNS` the number of consecutive seeds, and
//! `SCALEWOOD_SOAK_S` the duration of each in seconds; with `SCALEWOOD_SOAK_KEEP` the logs are
//! kept. `FAILED` lists seeds that have failed before.

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::{
    core::{registry::State, unit},
    ops::operate,
};

use crate::support::{
    client, deploy,
    forwarder::{Forwarder, Mode},
    routed::{self, routing, text, Act, Endpoint, System, BOX, ENDS, EVENTS, HOST, KEY},
};

mod ending;
mod limit;
mod word;

/// Seeds that guard against regressions. 45 and 54: a box that is asked to stop within ten seconds
/// of its start must not consider itself dead and stop granting slots, or requests that need a
/// second slot hang until the stop ends (see also
/// `routed::a_box_that_is_stopped_right_after_its_start...`). 54 also: a harmless request must not
/// be held back (`crash_book::*beside*`). 1000 and 1107: endpoints that boxes have forgotten must
/// be accepted again (`registry::*boxes_forgot*`).
const FAILED: &[u64] = &[45, 54, 1000, 1107];
/// The seeds of a run without environment variables.
const SEEDS: &[u64] = &[1, 2];

const VOTERS: usize = 3;
/// The numbers of entry boxes with and without injected faults.
const ENTRIES: usize = 2;
const FAULT_FREE_ENTRIES: usize = 2;
const ENDPOINTS: usize = 4;
const CALLERS: u64 = 6;
/// The number of callers that use only the entry boxes without injected faults.
const FAULT_FREE_CALLERS: u64 = 3;
/// The first port of endpoints, and the first port of the links to them.
const FIRST_ENDPOINT_PORT: usize = 9000;
const FIRST_LINK_PORT: usize = 9500;
/// The most endpoints that a request of a route may be sent to.
const MAX_ATTEMPTS: usize = 2;
/// The time within which a process must stop.
const STOP_WITHIN: Duration = Duration::from_secs(6);

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Seen {
    Whole,
    /// A stream that was visibly cut.
    Cut,
    /// A failure that an endpoint answered and the box passed on.
    OwnFailure,
    NotRun,
    MayHaveRun,
    /// The connection ended without an answer.
    Lost,
}

/// A request with its outcome.
#[derive(Clone, Debug)]
struct Request {
    id: String,
    /// The path of its route.
    path: &'static str,
    entry: usize,
    asked: Instant,
    ended: Instant,
    seen: Seen,
}

/// The observations of all callers and operators, and the faults injected.
#[derive(Debug, Default)]
struct Account {
    requests: Mutex<Vec<Request>>,
    /// The highest acknowledged routing version.
    acknowledged: AtomicU64,
    /// The spans in which an entry box was killed or paused.
    disrupted: Mutex<Vec<(usize, Instant, Instant)>>,
    /// The spans between the acknowledgement of a cordon of `CORDONED_ZONE` and the next order to
    /// uncordon it.
    cordoned: Mutex<Vec<(Instant, Instant)>>,
    /// When entry boxes were started. A started box has no state until a voter has sent it.
    started: Mutex<Vec<Instant>>,
    /// The spans in which an entry box was killed, stopped, started, paused or told to reload.
    unavailable: Mutex<Vec<(usize, Instant, Instant)>>,
    /// The bodies of the requests under which endpoints ended, and when they ended.
    ends: Mutex<Vec<(String, Instant)>>,
    /// The number of acknowledged orders to cordon or uncordon.
    orders: AtomicU64,
    violations: Mutex<Vec<String>>,
    stop: AtomicBool,
}

impl Account {
    fn record_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn was_disrupted(&self, request: &Request) -> bool {
        let disrupted = self.disrupted.lock().unwrap();
        disrupted.iter().any(|(entry, from, to)| {
            *entry == request.entry && *from <= request.ended && *to >= request.asked
        })
    }
}

/// Returns the body of a complete answer.
fn whole_body(path: &str) -> String {
    if path == "/unsafe/" {
        return "well".into();
    }
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (0..EVENTS).map(event).collect()
}

/// Sends one request, checks the answer and returns the outcome.
async fn send_and_check(
    connection: &mut client::Connection,
    path: &'static str,
    id: &str,
    entry: usize,
    account: &Account,
) -> Seen {
    let bearer = format!("Bearer {KEY}");
    let entry = entry.to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id),
        ("scalewood-deadline-ms", "4000"),
        (BOX, entry.as_str()),
    ];
    let sent = connection.send_to(HOST, "POST", path, &headers, "a body");
    let Ok(response) = sent.await else {
        return Seen::Lost;
    };
    let (parts, mut body) = response.into_parts();
    let header = |name| {
        let value: Option<&hyper::header::HeaderValue> = parts.headers.get(name);
        value.and_then(|value| value.to_str().ok())
    };
    if header("scalewood-id") != Some(id) {
        account.record_violation(format!(
            "{id}: the answer belongs to {:?}",
            header("scalewood-id")
        ));
    }
    let mut read = Vec::new();
    let cut = loop {
        match body.frame().await {
            None => break false,
            Some(Err(_)) => break true,
            Some(Ok(frame)) => read.extend(frame.into_data().unwrap_or_default()),
        }
    };
    let read = String::from_utf8(read).unwrap();
    match (parts.status.as_u16(), header("scalewood-verdict")) {
        (200, _) => check_body(path, id, &read, cut, account),
        (500, None) if read == "failed" => Seen::OwnFailure,
        (503 | 429 | 408, Some("not-run")) => Seen::NotRun,
        (502..=504, Some("may-have-run")) => Seen::MayHaveRun,
        (status, verdict) => {
            account.record_violation(format!("{id} to {path}: {status}, {verdict:?}: {read}"));
            Seen::MayHaveRun
        }
    }
}

fn check_body(path: &str, id: &str, read: &str, cut: bool, account: &Account) -> Seen {
    let whole = whole_body(path);
    if !cut && read == whole {
        return Seen::Whole;
    }
    if !cut || !whole.starts_with(read) {
        account.record_violation(format!("{id} to {path}: cut {cut}, wrong answer: {read:?}"));
    }
    Seen::Cut
}

/// Sends requests over kept and new connections until the run is over.
async fn caller(seed: u64, number: u64, entries: Vec<(usize, SocketAddr)>, account: Arc<Account>) {
    const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
    let mut random = SmallRng::seed_from_u64(seed * 1000 + number);
    let mut kept: Option<(usize, client::Connection)> = None;
    let mut count = 0;
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(1..25))).await;
        count += 1;
        let id = format!("c{number}-{count}");
        let path = PATHS[random.random_range(0..PATHS.len())];
        let keeps = random.random_bool(0.8);
        let asked = Instant::now();
        let (entry, mut connection) = match kept.take() {
            Some(kept) if keeps => kept,
            _ => {
                let (entry, address) = entries[random.random_range(0..entries.len())];
                match client::Connection::open(address).await {
                    Ok(connection) => (entry, connection),
                    Err(_) => continue,
                }
            }
        };
        let seen = send_and_check(&mut connection, path, &id, entry, &account).await;
        account.requests.lock().unwrap().push(Request {
            id,
            path,
            entry,
            asked,
            ended: Instant::now(),
            seen,
        });
        if !matches!(seen, Seen::Lost | Seen::Cut) {
            kept = Some((entry, connection));
        }
    }
}

/// Resends a request that crashes each endpoint that runs it, and replaces it by another one after
/// [`SENDS_PER_CRASHING_REQUEST`] sends.
async fn crashing_caller(seed: u64, entries: Vec<SocketAddr>, account: Arc<Account>) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x000e_2d5e);
    let mut count = 0;
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..400))).await;
        let number = random.random_range(0..entries.len());
        let entry = entries[number];
        let id = format!("ends-{count}");
        let body = format!("{ENDS}{}", count / SENDS_PER_CRASHING_REQUEST);
        count += 1;
        tokio::spawn(async move {
            let bearer = format!("Bearer {KEY}");
            let number = number.to_string();
            let headers = [
                ("authorization", bearer.as_str()),
                ("scalewood-id", id.as_str()),
                ("scalewood-deadline-ms", "2000"),
                (BOX, number.as_str()),
            ];
            let Ok(mut connection) = client::Connection::open(entry).await else {
                return;
            };
            let _ = connection
                .send_to(HOST, "POST", "/sresume/", &headers, body)
                .await;
        });
    }
}

/// How often a crashing request is sent before it is replaced by another one.
const SENDS_PER_CRASHING_REQUEST: usize = 40;
/// The time for reports of the third end to reach all boxes. Arrivals after it are late.
const REPORT_DELAY: Duration = Duration::from_secs(3);
/// The most late arrivals of a crashing request.
const MAX_LATE_ARRIVALS: usize = 3;

/// Checks that no crashing request reached many more endpoints after three had ended. Each box that
/// starts may pass one more on before it is informed.
fn check_ends(account: &Account, fleet: &EndpointFleet) {
    let ends = account.ends.lock().unwrap().clone();
    let started = account.started.lock().unwrap().clone();
    let bodies: BTreeSet<_> = ends.iter().map(|(body, _)| body.clone()).collect();
    for body in bodies {
        let mut times: Vec<_> = ends.iter().filter(|(b, _)| *b == body).collect();
        times.sort_by_key(|(_, at)| *at);
        let Some((_, third)) = times.get(2) else {
            continue;
        };
        let seen = fleet.endpoints.iter().flat_map(|b| b.endpoint.seen());
        let late = seen.filter(|seen| seen.body == body && seen.at > *third + REPORT_DELAY);
        let late = late.count();
        let starts = started.iter().filter(|at| **at > *third).count();
        if late > MAX_LATE_ARRIVALS + starts {
            account.record_violation(format!(
                "`{body}` reached endpoints {late} times late, {} ended, {starts} boxes started",
                times.len()
            ));
        }
    }
}

/// Publishes one routing after another as an operator, and reads them back.
async fn operator(seed: u64, voters: Vec<SocketAddr>, account: Arc<Account>) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x0b5e_55ed);
    let mut version = 1;
    while !account.is_over() {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..400))).await;
        let voter = voters[random.random_range(0..voters.len())];
        if random.random_bool(0.5) {
            read_back(voter, &account).await;
            continue;
        }
        version += random.random_range(1..4);
        let body = text(&routing(version));
        for _ in 0..4 {
            let voter = voters[random.random_range(0..voters.len())];
            let put = client::ask(voter, "PUT", "/v1/routing", &[], body.clone());
            match put.await.map(|answer| answer.status) {
                Ok(200) => {
                    account.acknowledged.fetch_max(version, Ordering::SeqCst);
                    break;
                }
                Ok(503) | Err(_) => {}
                Ok(status) => account
                    .record_violation(format!("publishing version {version} got status {status}")),
            }
        }
    }
}

async fn read_back(voter: SocketAddr, account: &Account) {
    let acknowledged = account.acknowledged.load(Ordering::SeqCst);
    let get = client::ask(voter, "GET", "/v1/routing", &[], "");
    let Ok(answer) = get.await else { return };
    if answer.status != 200 {
        return;
    }
    let version = answer.json()["version"].as_u64().unwrap();
    if version < acknowledged {
        account.record_violation(format!(
            "version {version} was read after {acknowledged} was acknowledged"
        ));
    }
}

/// An endpoint with the link in front of it and the content of its heartbeats.
struct LinkedEndpoint {
    endpoint: Endpoint,
    link: Arc<Forwarder>,
    state: State,
    /// The number of the endpoint's current start.
    start: Arc<AtomicU64>,
    /// When it was started anew by the drivers of this module.
    restarted: word::Times,
    /// The number of the last heartbeat of this start.
    sequence: u64,
    /// The spans in which the link was faulty or the endpoint was down.
    cut: word::Spans,
}

impl LinkedEndpoint {
    fn raise_start(&self) {
        self.restarted.lock().unwrap().push(Instant::now());
        self.start.fetch_add(1, Ordering::Relaxed);
    }
}

/// The zone that is cordoned, which has every second endpoint.
const CORDONED_ZONE: &str = "z1";
/// How long an acknowledged cordon may be unknown to a box while voters are killed and paused: an
/// election (2 s), a pause of a voter or box (0.9 s), and fetching the configuration (1.05 s).
const CORDON_DELAY: Duration = Duration::from_secs(4);

/// Sends an order to cordon or uncordon to random voters until one acknowledges it. Returns whether
/// one did.
async fn order_until_acknowledged(
    random: &mut SmallRng,
    voters: &[SocketAddr],
    method: &str,
    account: &Account,
) -> bool {
    let path = format!("/v1/cordons/{CORDONED_ZONE}");
    while !account.is_over() {
        let voter = voters[random.random_range(0..voters.len())];
        let asked = client::ask(voter, method, &path, &[], "");
        match tokio::time::timeout(Duration::from_secs(2), asked).await {
            Ok(Ok(answer)) if answer.status == 200 => {
                account.orders.fetch_add(1, Ordering::Relaxed);
                return true;
            }
            Ok(Ok(answer)) if answer.status != 503 => {
                account.record_violation(format!("{method} {path} got status {}", answer.status));
                return false;
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    false
}

/// Cordons and uncordons the zone by turns, as the only operator that does, and checks what is read
/// back.
async fn cordon_operator(
    seed: u64,
    voters: Vec<SocketAddr>,
    admin: operate::Client,
    account: Arc<Account>,
) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x00c0_4d04);
    let mut held = 0.0;
    while !account.is_over() {
        for (method, expected) in [("POST", true), ("DELETE", false)] {
            let sent = Instant::now();
            if let Some(span) = account.cordoned.lock().unwrap().last_mut() {
                // From now on the zone may be uncordoned at any time.
                span.1 = span.1.min(sent);
            }
            if !order_until_acknowledged(&mut random, &voters, method, &account).await {
                return;
            }
            if expected {
                let end = Instant::now() + Duration::from_secs(3600);
                account.cordoned.lock().unwrap().push((Instant::now(), end));
            }
            held = if held < 3.0 { 6.0 } else { 0.3 };
            let until = Instant::now() + Duration::from_secs_f64(random.random_range(0.1..held));
            while Instant::now() < until && !account.is_over() {
                check_cordon_read_back(&admin, expected, &account).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Checks that the cordon state that is read is the one acknowledged last.
async fn check_cordon_read_back(admin: &operate::Client, expected: bool, account: &Account) {
    if let Ok(read) = admin.cordons().await {
        if read
            .cordoned
            .iter()
            .any(|zone| zone.as_str() == CORDONED_ZONE)
            != expected
        {
            account.record_violation(format!(
                "{read:?} was read, but cordoned = {expected} was acknowledged"
            ));
        }
    }
}

/// Checks that no new request reached a cordoned zone's endpoints, except from boxes that were
/// killed or paused.
fn check_no_requests_to_cordoned(account: &Account, fleet: &EndpointFleet) {
    let requests = account.requests.lock().unwrap();
    let disrupted: BTreeSet<_> = requests
        .iter()
        .filter(|request| account.was_disrupted(request))
        .map(|request| request.id.as_str())
        .collect();
    let spans = account.cordoned.lock().unwrap().clone();
    for (number, linked) in fleet.endpoints.iter().enumerate() {
        let endpoint = &linked.endpoint;
        if zone_of(number) != CORDONED_ZONE {
            continue;
        }
        for seen in endpoint.seen() {
            let id = seen.header("scalewood-id").unwrap_or_default().to_owned();
            let within =
                |(from, to): &&(Instant, Instant)| seen.at > *from + CORDON_DELAY && seen.at < *to;
            if let Some((from, _)) = spans.iter().find(within) {
                if !disrupted.contains(id.as_str()) {
                    let after = seen.at - *from;
                    account.record_violation(format!(
                        "{id} reached {} {after:?} after its zone's cordon",
                        endpoint.name
                    ));
                }
            }
        }
    }
}

/// Returns the zone of an endpoint by its number.
fn zone_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "z0"
    } else {
        CORDONED_ZONE
    }
}

/// The endpoints, and the links in front of them.
struct EndpointFleet {
    host: std::net::IpAddr,
    voters: Vec<SocketAddr>,
    endpoints: Vec<LinkedEndpoint>,
    account: Arc<Account>,
    /// The tasks that end endpoints under crashing requests; they are aborted on drop.
    endings: tokio::task::JoinSet<()>,
    /// The same endpoints, shared with the tasks that set the backoffs, limits and leaving that
    /// they announce.
    announcers: word::Announcers,
}

/// Returns the body of a request if it is a crashing one.
fn crashing_body(seen: &routed::Seen) -> Option<String> {
    let body = seen.body.starts_with(ENDS.as_bytes());
    body.then(|| String::from_utf8_lossy(&seen.body).into_owned())
}

/// Ends an endpoint each time that it has begun a crashing request, and starts it anew.
fn end_under_requests(
    endpoint: &Endpoint,
    ending: ending::Ending,
    account: Arc<Account>,
) -> impl Future<Output = ()> {
    let crashing_request_begun = endpoint.crashing_request_begun();
    let seen = endpoint.shared_seen();
    async move {
        loop {
            crashing_request_begun.notified().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            let body = seen.lock().unwrap().iter().rev().find_map(crashing_body);
            if let Some(body) = body {
                account.ends.lock().unwrap().push((body, Instant::now()));
            }
            ending.end().await;
        }
    }
}

impl EndpointFleet {
    async fn add(&mut self) {
        let number = self.endpoints.len();
        let address = |port: usize| (self.host, u16::try_from(port).unwrap()).into();
        let endpoint = Endpoint::start(
            &format!("i-{number}"),
            address(FIRST_ENDPOINT_PORT + number),
        )
        .await;
        let link = Forwarder::start(address(FIRST_LINK_PORT + number), endpoint.address).await;
        let (link, start) = (Arc::new(link), endpoint.start_number());
        let cut = word::Spans::default();
        let restarted = word::Times::default();
        let ending = ending::Ending {
            link: link.clone(),
            start: start.clone(),
            cut: cut.clone(),
            restarted: restarted.clone(),
        };
        let ended = end_under_requests(&endpoint, ending.clone(), self.account.clone());
        self.endings.spawn(ended);
        self.announcers.lock().unwrap().push(word::Announcer {
            default_act: endpoint.default_act(),
            limit: endpoint.limit(),
            start: start.clone(),
            ending,
            leaving: word::Spans::default(),
        });
        self.endpoints.push(LinkedEndpoint {
            endpoint,
            link,
            state: State::Ready,
            start,
            restarted,
            sequence: 0,
            cut,
        });
        self.send_heartbeats().await;
    }

    /// Sends a heartbeat of each endpoint to the first voter that accepts it.
    async fn send_heartbeats(&mut self) {
        for (number, linked) in self.endpoints.iter_mut().enumerate() {
            linked.sequence += 1;
            let (endpoint, state) = (&linked.endpoint, linked.state);
            let mut record = endpoint.record(linked.sequence, state);
            let start = linked.start.load(Ordering::Relaxed);
            record.incarnation = Some(unit::Incarnation(start));
            record.zone = zone_of(number).parse().unwrap();
            record
                .address
                .set_port(u16::try_from(FIRST_LINK_PORT + number).unwrap());
            let path = format!("/v1/endpoints/{}", endpoint.name);
            let (method, body) = match state {
                State::Gone => ("DELETE", String::new()),
                _ => ("PUT", serde_json::to_string(&record).unwrap()),
            };
            for voter in &self.voters {
                let sent = client::ask(*voter, method, &path, &[], body.clone());
                let sent = tokio::time::timeout(Duration::from_millis(500), sent).await;
                if matches!(sent, Ok(Ok(answer)) if answer.status == 200) {
                    break;
                }
            }
        }
    }

    /// Sends heartbeats before every fifth call. An endpoint that sends none for 7 s is forgotten,
    /// and on a busy machine the checks may take that long.
    async fn send_heartbeats_every_fifth(&mut self, count: usize) {
        if count.is_multiple_of(5) {
            self.send_heartbeats().await;
        }
    }

    /// Waits until a call is served, and sends heartbeats meanwhile.
    async fn wait_served(&mut self, system: &System) {
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            self.send_heartbeats().await;
            let call = system.call("GET", "/safe/wait", "wait").await;
            if call.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            assert!(
                Instant::now() < until,
                "waited in vain until a call is served"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    fn gone_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let left = self.endpoints.iter().filter(|b| b.state == State::Gone);
        left.map(|linked| &linked.endpoint)
    }

    /// Injects faults at endpoints and links until the run is over, then repairs them.
    async fn disturb(&mut self, seed: u64, account: &Account) {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x00ba_cced);
        while !account.is_over() {
            let pause = Duration::from_millis(random.random_range(50..700));
            let ready: Vec<_> = (0..self.endpoints.len())
                .filter(|i| self.endpoints[*i].state == State::Ready)
                .collect();
            let chosen = ready[random.random_range(0..ready.len())];
            match random.random_range(0..10) {
                0 => self.replace(chosen).await,
                1 => self.restart(chosen, pause).await,
                2..=5 => self.link(chosen, &mut random, pause).await,
                _ => {
                    let act = match random.random_range(0..4) {
                        0 => Act::Foreign,
                        1 => Act::Refuse,
                        2 => Act::Fail,
                        _ => Act::BreakAfter(random.random_range(0..EVENTS)),
                    };
                    for _ in 0..random.random_range(1..4) {
                        self.endpoints[chosen].endpoint.next(act);
                    }
                }
            }
            self.send_heartbeats().await;
            tokio::time::sleep(pause / 2).await;
        }
        for linked in &self.endpoints {
            linked.link.set_connected(true);
            linked.endpoint.answer_correctly();
        }
        self.send_heartbeats().await;
    }

    async fn link(&self, chosen: usize, random: &mut SmallRng, pause: Duration) {
        let link = &self.endpoints[chosen].link;
        link.set(match random.random_range(0..4) {
            0 => Mode::Cut,
            1 => Mode::Silent,
            2 => Mode::OneWay,
            _ => Mode::Delayed(Duration::from_millis(random.random_range(5..120))),
        });
        let from = Instant::now();
        tokio::time::sleep(pause).await;
        link.set_connected(true);
        let cut = &self.endpoints[chosen].cut;
        cut.lock().unwrap().push((from, Instant::now()));
    }

    /// Lets an endpoint crash and restart under its name.
    async fn restart(&mut self, chosen: usize, pause: Duration) {
        let linked = &mut self.endpoints[chosen];
        let from = Instant::now();
        linked.link.set(Mode::Cut);
        tokio::time::sleep(pause / 2).await;
        linked.raise_start();
        linked.sequence = 0;
        linked.link.set_connected(true);
        linked.cut.lock().unwrap().push((from, Instant::now()));
    }

    /// Lets an endpoint leave and another one take its place: one that has left before restarts
    /// under its name, or a new one is added.
    async fn replace(&mut self, chosen: usize) {
        match self.endpoints.iter_mut().find(|b| b.state == State::Gone) {
            Some(gone) => {
                gone.raise_start();
                gone.sequence = 0;
                gone.state = State::Ready;
                self.send_heartbeats().await;
            }
            None => self.add().await,
        }
        self.endpoints[chosen].state = State::Leaving;
        self.send_heartbeats().await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.endpoints[chosen].state = State::Gone;
        self.send_heartbeats().await;
    }
}

/// Injects faults at voters until the run is over; all of them are running on return.
async fn disturb_voters(system: &mut System, seed: u64, account: &Account) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x0007_e125);
    let mut wiped = Instant::now();
    while !account.is_over() {
        let pause = Duration::from_millis(random.random_range(50..900));
        let chosen = random.random_range(0..VOTERS);
        match random.random_range(0..8) {
            0 => {
                (0..VOTERS).for_each(|i| system.voters[i].take().unwrap().kill());
                (0..VOTERS).for_each(|i| system.start_voter(i, false));
            }
            1 if wiped.elapsed() > Duration::from_secs(8) => {
                // Another voter may lose its data only after this one has caught up.
                wiped = Instant::now();
                system.voters[chosen].take().unwrap().kill();
                std::fs::remove_dir_all(system.data(chosen)).unwrap();
                system.start_voter(chosen, false);
                tokio::time::sleep(Duration::from_secs(4)).await;
            }
            2 | 3 => {
                system.voters[chosen].take().unwrap().kill();
                tokio::time::sleep(pause).await;
                system.start_voter(chosen, false);
            }
            4 => {
                let voter = system.voters[chosen].take().unwrap();
                assert!(stop(voter).await, "a voter does not stop");
                system.start_voter(chosen, false);
            }
            5 => system.voters[chosen].as_ref().unwrap().signal("HUP"),
            _ => {
                system.voters[chosen].as_ref().unwrap().signal("STOP");
                tokio::time::sleep(pause).await;
                system.voters[chosen].as_ref().unwrap().signal("CONT");
            }
        }
        tokio::time::sleep(pause).await;
    }
}

async fn stop(process: deploy::Process) -> bool {
    tokio::task::spawn_blocking(move || process.stop(STOP_WITHIN))
        .await
        .unwrap()
}

/// Injects faults at entry boxes until the run is over; all of them are running on return.
async fn disturb_entries(
    system: &EntryStarter,
    entries: &mut [Option<deploy::Process>],
    seed: u64,
    account: &Account,
) {
    let mut random = SmallRng::seed_from_u64(seed ^ 0x00e2_721e);
    while !account.is_over() {
        let pause = Duration::from_millis(random.random_range(50..900));
        let chosen = random.random_range(0..ENTRIES);
        let began = Instant::now();
        let mut disrupted = true;
        match random.random_range(0..6) {
            0 | 1 => {
                entries[chosen].take().unwrap().kill();
                entries[chosen] = Some(system.start_entry_at(chosen));
                account.started.lock().unwrap().push(Instant::now());
            }
            2 | 3 => {
                disrupted = false;
                let entry = entries[chosen].take().unwrap();
                if !stop(entry).await {
                    account.record_violation(format!("entry box {chosen} does not stop"));
                }
                entries[chosen] = Some(system.start_entry_at(chosen));
                account.started.lock().unwrap().push(Instant::now());
            }
            4 => {
                disrupted = false;
                entries[chosen].as_ref().unwrap().signal("HUP");
            }
            _ => {
                entries[chosen].as_ref().unwrap().signal("STOP");
                tokio::time::sleep(pause).await;
                entries[chosen].as_ref().unwrap().signal("CONT");
            }
        }
        let unavailable = (chosen, began, Instant::now());
        account.unavailable.lock().unwrap().push(unavailable);
        if disrupted {
            let mut spans = account.disrupted.lock().unwrap();
            spans.push((chosen, began, Instant::now()));
        }
        tokio::time::sleep(pause * 2).await;
    }
}

/// A copy of the system's addresses that starts entry boxes, while the system itself is borrowed to
/// inject faults at voters.
struct EntryStarter(System);

impl std::ops::Deref for EntryStarter {
    type Target = System;

    fn deref(&self) -> &System {
        &self.0
    }
}

/// Returns how often each request ran, by its id.
fn runs(fleet: &EndpointFleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for linked in &fleet.endpoints {
        for seen in linked.endpoint.seen().iter().filter(|seen| seen.ran) {
            let id = seen.header("scalewood-id").unwrap_or_default();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Checks the outcomes that callers saw against the runs at endpoints.
fn check(account: &Account, runs: &BTreeMap<String, usize>) {
    for request in account.requests.lock().unwrap().iter() {
        let Request { id, path, seen, .. } = request;
        let ran = runs.get(id).copied().unwrap_or(0);
        let repeatable = matches!(*path, "/safe/" | "/sresume/");
        let most = if repeatable { MAX_ATTEMPTS } else { 1 };
        if ran > most {
            account.record_violation(format!("{id} to {path} ran {ran} times"));
        }
        if *seen == Seen::NotRun && ran > 0 {
            account.record_violation(format!(
                "{id} to {path} got the verdict `not-run`, but it ran"
            ));
        }
        if *seen == Seen::Lost && ran > 0 && !account.was_disrupted(request) {
            let took = request.ended - request.asked;
            let entry = request.entry;
            account.record_violation(format!(
                "{id} to {path} was passed on by box {entry} and dropped after {took:?}"
            ));
        }
    }
}

/// The faults of a run that not all runs have.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Whether endpoints also end by themselves.
    own_ends: bool,
}

/// Runs one seed. Returns the violations found.
async fn soak(seed: u64, length: Duration, faults: Faults) -> Vec<String> {
    // A failure may not reproduce, so its logs are kept, also if the test panics.
    let mut dir = tempfile::Builder::new()
        .prefix(&format!("soak-{seed}-"))
        .tempdir_in(env!("CARGO_TARGET_TMPDIR"))
        .unwrap();
    dir.disable_cleanup(true);
    let mut system = System::start(VOTERS, dir.path());
    let mut entries = vec![system.entry.take()];
    let all_entries = ENTRIES + FAULT_FREE_ENTRIES;
    entries.extend((1..all_entries).map(|i| Some(system.start_entry_at(i))));
    assert_eq!(system.publish(&text(&routing(1))).await, 200);
    let voters: Vec<_> = (0..VOTERS).map(|i| system.publish_address(i)).collect();
    let addresses: Vec<_> = (0..ENTRIES).map(|i| system.callers_at(i)).collect();
    let account = Arc::new(Account::default());
    let mut fleet = EndpointFleet {
        host: system.host,
        voters: voters.clone(),
        endpoints: Vec::new(),
        account: account.clone(),
        endings: tokio::task::JoinSet::new(),
        announcers: word::Announcers::default(),
    };
    for _ in 0..ENDPOINTS {
        fleet.add().await;
    }
    system.wait_served().await;
    let mut asking = Vec::new();
    for number in 0..CALLERS {
        let disturbed = addresses.iter().copied().enumerate().collect();
        let caller = caller(seed, number, disturbed, account.clone());
        asking.push(tokio::spawn(caller));
    }
    for number in CALLERS..CALLERS + FAULT_FREE_CALLERS {
        let calm = (ENTRIES..all_entries).map(|i| (i, system.callers_at(i)));
        let caller = caller(seed, number, calm.collect(), account.clone());
        asking.push(tokio::spawn(caller));
    }
    let crashing_caller = crashing_caller(seed, addresses.clone(), account.clone());
    asking.push(tokio::spawn(crashing_caller));
    let cordon_operator = cordon_operator(seed, voters.clone(), system.operator(), account.clone());
    asking.push(tokio::spawn(cordon_operator));
    asking.push(tokio::spawn(operator(seed, voters, account.clone())));
    let starter = EntryStarter(System {
        dir: system.dir.clone(),
        host: system.host,
        voters: (0..VOTERS).map(|_| None).collect(),
        entry: None,
        more: String::new(),
    });
    let fleet_announcers = fleet.announcers.clone();
    let clock = async {
        tokio::time::sleep(length).await;
        account.stop.store(true, Ordering::Relaxed);
    };
    let own_ends = async {
        if faults.own_ends {
            ending::disturb(fleet_announcers, seed, &account).await;
        }
    };
    tokio::join!(
        clock,
        own_ends,
        word::disturb(fleet.announcers.clone(), seed, &account),
        limit::disturb(fleet.announcers.clone(), seed, &account),
        fleet.disturb(seed, &account),
        disturb_voters(&mut system, seed, &account),
        disturb_entries(&starter, &mut entries, seed, &account),
    );
    for asked in asking {
        asked.await.unwrap();
    }
    let mended = Instant::now();
    for span in account.cordoned.lock().unwrap().iter_mut() {
        span.1 = span.1.min(mended);
    }
    check_no_requests_to_cordoned(&account, &fleet);
    check_ends(&account, &fleet);
    word::check(&account, &fleet);
    limit::check(&account, &fleet);
    check_cordon_without_faults(&system, &mut fleet, &account).await;
    check_repaired(&system, &mut fleet, &account).await;
    check(&account, &runs(&fleet));
    print_account(seed, &account);
    let violations = account.violations.lock().unwrap().clone();
    if violations.is_empty() && std::env::var_os("SCALEWOOD_SOAK_KEEP").is_none() {
        dir.disable_cleanup(false);
    } else {
        println!("seed {seed}: logs in {}", dir.path().display());
    }
    violations
}

/// Checks, after all faults are repaired, that a cordon takes effect within the two seconds within
/// which a change has to be in force, and that all requests are served in the other zone. Then
/// uncordons the zone.
async fn check_cordon_without_faults(
    system: &System,
    fleet: &mut EndpointFleet,
    account: &Account,
) {
    // Adds an endpoint in each zone, since the earlier ones may have left.
    fleet.add().await;
    fleet.add().await;
    fleet.wait_served(system).await;
    system.order_any_voter("POST", CORDONED_ZONE).await;
    fleet.send_heartbeats().await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let of_zone = |fleet: &EndpointFleet| -> usize {
        let endpoints = fleet.endpoints.iter().enumerate();
        let there = endpoints.filter(|(number, _)| zone_of(*number) == CORDONED_ZONE);
        there.map(|(_, linked)| linked.endpoint.seen().len()).sum()
    };
    let before = of_zone(fleet);
    for count in 0..20 {
        fleet.send_heartbeats_every_fifth(count).await;
        let id = format!("calm-{count}");
        let answer = system.call("POST", "/unsafe/", &id).await;
        let status = answer.map(|answer| answer.status);
        if !matches!(status, Ok(200)) {
            account.record_violation(format!("{id}: {status:?} while a zone is cordoned"));
        }
    }
    let after = of_zone(fleet);
    if after != before {
        account.record_violation(format!(
            "{} requests reached a cordoned zone",
            after - before
        ));
    }
    system.order_any_voter("DELETE", CORDONED_ZONE).await;
}

/// Checks, after all faults are repaired, that all requests are served by endpoints that have not
/// left, and that the routing is of the last acknowledged version or a later one.
async fn check_repaired(system: &System, fleet: &mut EndpointFleet, account: &Account) {
    fleet.wait_served(system).await;
    let body = system.read().await;
    let read = serde_json::from_str::<serde_json::Value>(&body).unwrap();
    let acknowledged = account.acknowledged.load(Ordering::SeqCst);
    if read["version"].as_u64().unwrap() < acknowledged {
        account.record_violation(format!(
            "version {acknowledged} was acknowledged and is lost"
        ));
    }
    // Boxes that have just started learn of all endpoints within a few seconds.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.wait_served(system).await;
    let left: BTreeSet<_> = fleet
        .gone_endpoints()
        .map(|e| (e.name.clone(), e.seen().len()))
        .collect();
    for count in 0..30 {
        fleet.send_heartbeats_every_fifth(count).await;
        let id = format!("mended-{count}");
        let answer = system.call("POST", "/unsafe/", &id).await;
        let status = answer.map(|answer| answer.status);
        if !matches!(status, Ok(200 | 500)) {
            account.record_violation(format!("{id}: {status:?} after all faults were repaired"));
        }
    }
    let now: BTreeSet<_> = fleet
        .gone_endpoints()
        .map(|e| (e.name.clone(), e.seen().len()))
        .collect();
    if left != now {
        account.record_violation(format!(
            "endpoints that have left got requests: {left:?}, {now:?}"
        ));
    }
}

fn print_account(seed: u64, account: &Account) {
    let mut counts: BTreeMap<Seen, usize> = BTreeMap::new();
    for request in account.requests.lock().unwrap().iter() {
        *counts.entry(request.seen).or_default() += 1;
    }
    let version = account.acknowledged.load(Ordering::SeqCst);
    let orders = account.orders.load(Ordering::Relaxed);
    let ends = account.ends.lock().unwrap().len();
    println!(
        "seed {seed}: {counts:?}, version {version}, {orders} cordons and uncordons, \
         {ends} endpoints ended"
    );
}

async fn run_seeds(listed: &[u64], faults: Faults) {
    let length = Duration::from_secs(env_number("SCALEWOOD_SOAK_S").unwrap_or(6));
    let seeds: Vec<u64> = match (env_number("SCALEWOOD_SEED"), env_number("SCALEWOOD_RUNS")) {
        (None, None) => listed.to_vec(),
        (first, runs) => {
            let first = first.unwrap_or(1);
            (first..first + runs.unwrap_or(1)).collect()
        }
    };
    let mut violations = Vec::new();
    for seed in seeds {
        let found = soak(seed, length, faults).await;
        found
            .iter()
            .for_each(|what| println!("seed {seed}: {what}"));
        violations.extend(found);
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_everything_is_disturbed() {
    run_seeds(&[SEEDS, FAILED].concat(), Faults::default()).await;
}

/// Guards against a harmless request that all boxes refuse for good, since it was at ends of other
/// causes beside those of a request that ends endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_endpoints_end_by_themselves_too() {
    run_seeds(SEEDS, Faults { own_ends: true }).await;
}
