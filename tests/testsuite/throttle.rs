//! Endpoints that limit the requests a second from all boxes together, with real processes.

use std::time::{Duration, Instant};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::registry::State;

use crate::support::{
    client, deploy,
    routed::{self, Act, Endpoint, System, BOX, HOST, KEY},
};

/// Entry boxes.
const BOXES: usize = 6;
/// How often endpoints announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// How long after it was first named a limit has to be kept by all boxes.
const KNOWN: Duration = Duration::from_secs(3);
/// How long an endpoint takes for a request, so that all endpoints are used.
const WORK: Duration = Duration::from_millis(250);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that an endpoint may get in a window: one and a half times what its limit
/// allows, and five.
fn most(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// A system with some boxes and endpoints.
struct Site {
    system: System,
    boxes: Vec<Option<deploy::Process>>,
    endpoints: Vec<Endpoint>,
}

impl Site {
    async fn start(endpoints: usize, dir: &std::path::Path) -> Self {
        let (mut system, endpoints) = routed::serving(endpoints, dir).await;
        let mut boxes = vec![system.entry.take()];
        boxes.extend((1..BOXES).map(|i| Some(system.start_entry_at(i))));
        let site = Self {
            system,
            boxes,
            endpoints,
        };
        for i in 0..BOXES {
            deploy::wait("a box serves", || async {
                send(site.system.callers_at(i), i, "/safe/wait")
                    .await
                    .status
                    == 200
            })
            .await;
        }
        site
    }

    /// Has all endpoints say that they are ready, for so long.
    async fn beat(&self, length: Duration) {
        let until = Instant::now() + length;
        for sequence in 2.. {
            for endpoint in &self.endpoints {
                let beat = endpoint.record(sequence, State::Ready);
                self.system.announce(0, &beat).await;
            }
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Sends requests to boxes at random, so many a second, for so long.
    async fn send_all(&self, a_second: u32, length: Duration) -> Vec<Outcome> {
        const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
        let mut random = SmallRng::seed_from_u64(1);
        let until = Instant::now() + length;
        let mut sent = Vec::new();
        while Instant::now() < until {
            let i = random.random_range(0..BOXES);
            let callers = self.system.callers_at(i);
            let path = PATHS[random.random_range(0..PATHS.len())];
            sent.push(tokio::spawn(send(callers, i, path)));
            tokio::time::sleep(Duration::from_secs(1) / a_second).await;
        }
        let mut outcomes = Vec::new();
        for task in sent {
            outcomes.push(task.await.unwrap());
        }
        outcomes
    }
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
struct Outcome {
    status: u16,
    verdict: Option<String>,
    took: Duration,
}

/// How long callers wait.
const DEADLINE_MS: &str = "4000";

async fn send(callers: std::net::SocketAddr, i: usize, path: &str) -> Outcome {
    let bearer = format!("Bearer {KEY}");
    let id = format!("{:016x}", rand::random::<u64>());
    let number = i.to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", DEADLINE_MS),
        (BOX, number.as_str()),
    ];
    let sent = Instant::now();
    let exchange = async {
        let mut connection = client::Connection::open(callers).await.ok()?;
        let response = connection.send_to(HOST, "POST", path, &headers, "a body");
        let (parts, body) = response.await.ok()?.into_parts();
        body.collect().await.ok()?;
        let verdict = parts.headers.get("scalewood-verdict");
        Some(Outcome {
            status: parts.status.as_u16(),
            verdict: verdict.and_then(|text| Some(text.to_str().ok()?.to_owned())),
            took: sent.elapsed(),
        })
    };
    exchange.await.unwrap_or_default()
}

fn served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|o| o.status == 200).count()
}

/// When an endpoint got requests that it answered with its limit, as far as the limit had to be
/// known by then.
fn limited(endpoint: &Endpoint) -> Vec<Instant> {
    let seen = endpoint.seen();
    let named = seen
        .iter()
        .filter(|seen| matches!(seen.act, Some(Act::Throttle(_))));
    let times: Vec<_> = named.map(|seen| seen.at).collect();
    let Some(first) = times.first().copied() else {
        return times;
    };
    times
        .into_iter()
        .filter(|at| *at >= first + KNOWN)
        .collect()
}

/// The most requests in any window.
fn densest(times: &[Instant]) -> usize {
    let count = |from: &Instant| {
        let within = times
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        within.count()
    };
    times.iter().map(count).max().unwrap_or_default()
}

/// Endpoints named a limit of 2.5 requests a second in their answers, and got 39 and 43 requests
/// in four seconds from boxes that had passed these answers on, where 20 were allowed.
#[tokio::test(flavor = "multi_thread")]
async fn limits_that_endpoints_name_are_kept_by_all_boxes_together() {
    const LIMIT: f64 = 2.5;
    const LENGTH: Duration = Duration::from_secs(14);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(12, dir.path()).await;
    let in_need = &site.endpoints[..4];
    for endpoint in in_need {
        endpoint.always(Some(Act::Throttle("2.5")));
    }
    for endpoint in &site.endpoints {
        endpoint.takes(WORK);
    }
    let (outcomes, ()) = tokio::join!(site.send_all(100, LENGTH), site.beat(LENGTH));
    let most_seen: Vec<_> = in_need.iter().map(|e| densest(&limited(e))).collect();
    let (served, sent) = (served(&outcomes), outcomes.len());
    let told = format!("{most_seen:?} in a window, {served} of {sent} served");
    println!("{told}");
    assert!(most_seen.iter().all(|seen| *seen > 0), "{told}");
    assert!(most_seen.iter().all(|seen| *seen <= most(LIMIT)), "{told}");
    assert!(served * 100 >= sent * 99, "{told}");
}
