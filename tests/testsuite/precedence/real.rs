//! The precedence of urgent classes with real processes: voters, entry boxes, callers that retry
//! once, and endpoints with a limited prefill rate. The load exceeds what the endpoints can read.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, OnceLock},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::Rng as _;
use scalewood::core::{
    registry::{Record, State},
    route::{Kind, Route, Routing},
    unit,
};

use super::{
    account::{Account, Begun, Sent},
    world::{Class, CLASSES, PREFIXES, SHARED},
};
use crate::{
    random::random,
    support::{
        client, deploy,
        reader::{Reader, STREAMED},
        routed::{self, text, System, HOST, KEY},
    },
};

const VOTERS: usize = 3;
const ENTRIES: usize = 5;
const ENDPOINTS: u16 = 4;
/// The requests per second outside the burst.
const RATE: f64 = 40.0;
/// The fraction of the endpoints' prefill capacity that these requests use.
const UTILISATION: f64 = 0.7;
/// The factor by which the rate rises during the burst.
const BURST_FACTOR: f64 = 2.8;
/// The beginning and the end of the burst, and the end of the run.
const BURST_FROM: Duration = Duration::from_secs(3);
const BURST_UNTIL: Duration = Duration::from_secs(11);
const RUN_END: Duration = Duration::from_secs(14);

/// The interval between heartbeats of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The entry box that is paused, and for how long.
const PAUSED_BOX: usize = 1;
const PAUSE: Duration = Duration::from_secs(2);

/// The fault that is injected during the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A voter is killed.
    Voter,
    /// An entry box is paused.
    Box,
}

fn routing() -> Routing {
    let base = routed::routing(1);
    let shares = base.routes.values().next().unwrap().shares.clone();
    let route = |(class, tier): (&Class, u8)| {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap();
        let route = Route {
            host: HOST.into(),
            prefix: format!("/{}/", class.name),
            kind: Kind::Stream { resumable: false },
            shares: shares.clone(),
            timeout_ms: millis(class.deadline),
            target_ms: millis(class.target),
            gap_ms: None,
            patience_ms: None,
            tier: unit::Tier(tier),
            attempts: 1,
            public: false,
            allowed: Default::default(),
        };
        (class.name.parse().unwrap(), route)
    };
    Routing {
        routes: CLASSES.iter().zip(0..).map(route).collect(),
        ..base
    }
}

/// Returns the prefill rate of an endpoint, in tokens per millisecond.
fn prefill_rate() -> f64 {
    let demand: f64 = CLASSES.iter().map(|c| c.part * c.tokens as f64).sum();
    demand * RATE / 1000.0 / UTILISATION / f64::from(ENDPOINTS)
}

/// Makes one attempt of a caller. Returns an error if it is not answered, with the delay after
/// which the caller may retry if a refusal names one.
async fn attempt(
    address: SocketAddr,
    class: &Class,
    (id, tokens, prefix): (u64, u64, u64),
    left: Duration,
) -> Result<(), Option<Duration>> {
    let bearer = format!("Bearer {KEY}");
    let (id, left_ms) = (id.to_string(), left.as_millis().to_string());
    let streamed = class.streamed.as_millis().to_string();
    let parts = format!("{prefix:x}:{SHARED},{id}:{}", tokens - SHARED);
    let size = format!("{tokens},20");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", left_ms.as_str()),
        ("scalewood-tokens", size.as_str()),
        ("scalewood-parts", parts.as_str()),
        (STREAMED, streamed.as_str()),
    ];
    let path = format!("/{}/", class.name);
    let answered = async {
        let mut connection = client::Connection::open(address).await.ok()?;
        let sent = connection.send_to(HOST, "POST", &path, &headers, "a body");
        let response = sent.await.ok()?;
        let (parts, mut body) = response.into_parts();
        if parts.status.as_u16() != 200 {
            let retry = parts.headers.get("retry-after")?.to_str().ok()?;
            return Some(Err(Duration::from_secs(retry.parse().ok()?)));
        }
        let first = body.frame().await?.ok()?;
        first.data_ref()?;
        Some(Ok(body))
    };
    match tokio::time::timeout(left, answered).await {
        Ok(Some(Ok(body))) => {
            // The caller reads the answer to its end.
            let whole = body.collect().await;
            whole.map(drop).map_err(|_| None)
        }
        Ok(Some(Err(retry))) => Err(Some(retry)),
        Ok(None) | Err(_) => Err(None),
    }
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug)]
struct Called {
    served: bool,
    /// Whether it was sent to the box that was paused, during the pause. Such a loss is caused by
    /// the pause.
    was_paused: bool,
}

/// An entry box, and when it was paused if it is the one that is.
#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    stopped: Option<Arc<OnceLock<Instant>>>,
}

impl Entry {
    /// Returns whether it was paused at some time since `since`.
    fn was_paused(&self, since: Instant) -> bool {
        let stopped = self.stopped.as_ref().and_then(|stopped| stopped.get());
        stopped.is_some_and(|stopped| since < *stopped + PAUSE)
    }
}

/// Makes a call, which is retried once after the delay that a refusal names.
async fn call(class: &'static Class, size: (u64, u64, u64), entries: [Entry; 2]) -> Called {
    let sent = Instant::now();
    let first = attempt(entries[0].address, class, size, class.deadline).await;
    let was_paused = entries[0].was_paused(sent);
    let retry = match first {
        Ok(()) | Err(None) => {
            let served = first.is_ok();
            return Called { served, was_paused };
        }
        Err(Some(retry)) => retry,
    };
    if sent.elapsed() + retry >= class.deadline {
        let served = false;
        return Called { served, was_paused };
    }
    tokio::time::sleep(retry).await;
    let again = Instant::now();
    let left = class.deadline.saturating_sub(sent.elapsed());
    let second = attempt(entries[1].address, class, size, left).await;
    Called {
        served: second.is_ok(),
        was_paused: was_paused || entries[1].was_paused(again),
    }
}

fn draw_request(random: &mut impl rand::Rng) -> (usize, u64) {
    let mut drawn = random.random::<f64>();
    let class = CLASSES.iter().position(|class| {
        drawn -= class.part;
        drawn < 0.0
    });
    let class = class.unwrap_or(CLASSES.len() - 1);
    let spread: f64 = 0.3 - 0.7 * (1.0 - random.random::<f64>()).ln();
    let tokens = (CLASSES[class].tokens as f64 * spread.min(6.0)) as u64;
    (class, tokens.max(SHARED + 1))
}

/// Runs the burst. Returns the outcomes of all requests, except those sent to the paused box.
async fn run(seed: u64, fault: Fault, dir: &Path) -> Account {
    let mut system = System::start(VOTERS, dir);
    let boxes: Vec<_> = (1..ENTRIES).map(|i| system.start_entry_at(i)).collect();
    assert_eq!(system.publish(&text(&routing())).await, 200);
    let mut readers = Vec::new();
    for i in 0..ENDPOINTS {
        let address: SocketAddr = (system.host, 9000 + i).into();
        readers.push(Reader::start(address, prefill_rate()).await);
        let voters = (0..VOTERS).map(|i| system.publish_address(i)).collect();
        tokio::spawn(send_heartbeats(endpoint_record(i, address), voters));
    }
    for i in 0..ENTRIES {
        let class = &CLASSES[0];
        let address = system.callers_at(i);
        deploy::wait("a call is served", || async {
            let size = (1, SHARED + 1, 0);
            attempt(address, class, size, class.deadline).await.is_ok()
        })
        .await;
    }
    let start = Instant::now();
    let account = Arc::new(Mutex::new(Account::default()));
    let mut random = random(seed);
    let mut next = Duration::ZERO;
    let mut calls = Vec::new();
    let mut id = 10;
    let stopped: Arc<OnceLock<Instant>> = Arc::default();
    let mut due = BURST_FROM + Duration::from_secs(3);
    while next < RUN_END {
        tokio::time::sleep_until((start + next).into()).await;
        if next >= due {
            due = Duration::MAX;
            inject_fault(&mut system, &boxes, fault, &stopped);
        }
        let burst = if (BURST_FROM..BURST_UNTIL).contains(&next) {
            BURST_FACTOR
        } else {
            1.0
        };
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / RATE / burst);
        id += 1;
        let (class, tokens) = draw_request(&mut random);
        let size = (id, tokens, random.random_range(0..PREFIXES));
        let mut entry = || {
            let at = random.random_range(0..ENTRIES);
            Entry {
                address: system.callers_at(at),
                stopped: (at == PAUSED_BOX).then(|| stopped.clone()),
            }
        };
        let entries = [entry(), entry()];
        let account = account.clone();
        calls.push(tokio::spawn(async move {
            let at = start.elapsed();
            let Called { served, was_paused } = call(&CLASSES[class], size, entries).await;
            if was_paused {
                return;
            }
            let sent = Sent {
                class,
                at,
                tokens,
                served,
            };
            account.lock().unwrap().sent.push(sent);
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
    let mut account = std::mem::take(&mut *account.lock().unwrap());
    account.sent.sort_by_key(|sent| sent.at);
    let received = readers.iter().flat_map(Reader::received);
    account.begun = received
        .filter_map(|prompt| begun(&prompt, start))
        .collect();
    account
}

fn begun(prompt: &crate::support::reader::ReceivedPrompt, start: Instant) -> Option<Begun> {
    let path = prompt.path.trim_matches('/');
    Some(Begun {
        class: CLASSES.iter().position(|class| class.name == path)?,
        at: prompt.at.checked_duration_since(start)?,
        tokens: prompt.tokens,
    })
}

fn endpoint_record(i: u16, address: SocketAddr) -> Record {
    Record {
        name: format!("i-{i}").parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address,
        slots: unit::Slots(64),
        state: State::Ready,
        sequence: 1,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
    }
}

/// Sends an endpoint's heartbeats to one voter after another.
async fn send_heartbeats(mut record: Record, voters: Vec<SocketAddr>) {
    for voter in voters.iter().cycle() {
        let path = format!("/v1/endpoints/{}", record.name);
        let body = serde_json::to_string(&record).unwrap();
        // A heartbeat to a voter that is down is lost; the next voter gets one soon.
        let _ = client::ask(*voter, "PUT", &path, &[], body).await;
        record.sequence += 1;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn inject_fault(
    system: &mut System,
    boxes: &[deploy::Process],
    fault: Fault,
    stopped: &OnceLock<Instant>,
) {
    match fault {
        Fault::None => {}
        Fault::Voter => system.voters[1].take().unwrap().kill(),
        Fault::Box => {
            let paused_box = &boxes[PAUSED_BOX - 1];
            stopped.get_or_init(Instant::now);
            paused_box.signal("STOP");
            let id = paused_box.id().to_string();
            tokio::spawn(async move {
                tokio::time::sleep(PAUSE).await;
                let woken = std::process::Command::new("kill")
                    .args(["-CONT", &id])
                    .status();
                assert!(
                    woken.is_ok_and(|status| status.success()),
                    "the paused box is gone"
                );
            });
        }
    }
}

async fn check(fault: Fault) {
    let mut broken = Vec::new();
    for seed in crate::random::seeds(1) {
        let dir = tempfile::tempdir().unwrap();
        let account = run(seed, fault, dir.path()).await;
        let losses: Vec<_> = (0..3).map(|class| account.losses(class)).collect();
        eprintln!("{fault:?}, seed {seed}: sent and lost by class {losses:?}");
        let breaches = account.breaches();
        let first = breaches.first();
        broken.extend(first.map(|b| format!("seed {seed}: {b}; {} spans", breaches.len())));
        if std::env::var_os("SCALEWOOD_SOAK_KEEP").is_some() {
            eprintln!("the logs are in {}", dir.keep().display());
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_but_a_burst_on_real_processes() {
    check(Fault::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_while_a_voter_is_lost() {
    check(Fault::Voter).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_while_a_box_stands_still() {
    check(Fault::Box).await;
}
