//! Endpoints that limit their requests per second over all boxes, with real processes.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::registry::State;

use crate::support::{
    client, deploy,
    routed::{self, Endpoint, System, BOX, HOST, KEY},
};

/// The number of boxes.
const BOXES: usize = 6;
/// The interval of the endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The maximum time from the first answer with a limit until all boxes must keep to it.
const MAX_PROPAGATION: Duration = Duration::from_secs(3);
/// How long a request takes; long enough that all endpoints are used.
const REQUEST_TIME: Duration = Duration::from_millis(250);
/// The sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the maximum number of requests that an endpoint may receive in a window: one and a half
/// times what its limit allows, plus five.
fn max_in_window(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// A running system with its boxes and endpoints.
pub(crate) struct Site {
    system: System,
    boxes: Vec<Option<deploy::Process>>,
    pub(crate) endpoints: Vec<Endpoint>,
    /// The sequence number of the last heartbeats.
    sequence: AtomicU64,
}

impl Site {
    pub(crate) async fn start(endpoints: usize, dir: &std::path::Path) -> Self {
        let (mut system, endpoints) = routed::serving(endpoints, dir).await;
        let mut boxes = vec![system.entry.take()];
        boxes.extend((1..BOXES).map(|i| Some(system.start_entry_at(i))));
        let site = Self {
            system,
            boxes,
            endpoints,
            sequence: AtomicU64::new(1),
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

    /// Sends heartbeats of all endpoints, as ready, for the time `length`.
    pub(crate) async fn beat(&self, length: Duration) {
        let until = Instant::now() + length;
        loop {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
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

    /// Sends `per_second` requests a second to random boxes for the time `length`.
    pub(crate) async fn send_all(&self, per_second: u32, length: Duration) -> Vec<Outcome> {
        const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
        let mut random = SmallRng::seed_from_u64(1);
        let until = Instant::now() + length;
        let mut sent = Vec::new();
        // Catches up after a delay, so that the rate holds on a busy machine too.
        let mut schedule = tokio::time::interval(Duration::from_secs(1) / per_second);
        while Instant::now() < until {
            schedule.tick().await;
            let i = random.random_range(0..BOXES);
            let callers = self.system.callers_at(i);
            let path = PATHS[random.random_range(0..PATHS.len())];
            sent.push(tokio::spawn(send(callers, i, path)));
        }
        let mut outcomes = Vec::new();
        for task in sent {
            outcomes.push(task.await.unwrap());
        }
        outcomes
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    status: u16,
    verdict: Option<String>,
    took: Duration,
}

impl Outcome {
    fn is_served(&self) -> bool {
        self.status == 200
    }

    /// Returns whether it was refused as not run with more than half of its time left.
    fn is_refused_early(&self) -> bool {
        let not_run = self.verdict.as_deref() == Some("not-run");
        not_run && self.took < DEADLINE / 2
    }
}

/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);

async fn send(callers: std::net::SocketAddr, i: usize, path: &str) -> Outcome {
    let bearer = format!("Bearer {KEY}");
    let id = format!("{:016x}", rand::random::<u64>());
    let (number, deadline) = (i.to_string(), DEADLINE.as_millis().to_string());
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", deadline.as_str()),
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

pub(crate) fn served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|o| o.is_served()).count()
}

/// Returns when an endpoint received requests that it answered with a limit, without those before
/// all boxes had to know the limit.
fn limited(endpoint: &Endpoint) -> Vec<Instant> {
    let seen = endpoint.seen();
    let named = seen.iter().filter(|seen| seen.limit.is_some());
    let times: Vec<_> = named.map(|seen| seen.at).collect();
    let Some(first) = times.first().copied() else {
        return times;
    };
    times
        .into_iter()
        .filter(|at| *at >= first + MAX_PROPAGATION)
        .collect()
}

/// Guards against boxes that don't keep to limits. Endpoints that name a limit of 2.5 requests a
/// second in their answers then receive 39 and 43 requests in four seconds, where 20 are allowed,
/// from boxes that have received these answers.
#[tokio::test(flavor = "multi_thread")]
async fn limits_that_endpoints_name_are_kept_by_all_boxes_together() {
    const LIMIT: f64 = 2.5;
    const LENGTH: Duration = Duration::from_secs(14);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(12, dir.path()).await;
    let limited_endpoints = &site.endpoints[..4];
    for endpoint in limited_endpoints {
        endpoint.limits(Some("2.5"));
    }
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    let (outcomes, ()) = tokio::join!(site.send_all(100, LENGTH), site.beat(LENGTH));
    let counts: Vec<_> = limited_endpoints
        .iter()
        .map(|e| routed::max_in_window(&limited(e), WINDOW))
        .collect();
    let (served, sent) = (served(&outcomes), outcomes.len());
    let summary = format!("{counts:?} in a window, {served} of {sent} served");
    println!("{summary}");
    assert!(counts.iter().all(|seen| *seen > 0), "{summary}");
    assert!(
        counts.iter().all(|seen| *seen <= max_in_window(LIMIT)),
        "{summary}"
    );
    assert!(served * 100 >= sent * 99, "{summary}");
}

/// If all endpoints have limits, nearly all of the allowed requests are used. A request that
/// exceeds them is refused early instead of queued, and was indeed not run.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_have_limits_these_are_used_and_others_are_refused_early() {
    const LIMIT: f64 = 5.0;
    const LENGTH: Duration = Duration::from_secs(16);
    const ENDPOINTS: usize = 6;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(ENDPOINTS, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.limits(Some("5"));
        endpoint.set_work_time(REQUEST_TIME);
    }
    let (outcomes, ()) = tokio::join!(site.send_all(60, LENGTH), site.beat(LENGTH));
    let counts: Vec<_> = site
        .endpoints
        .iter()
        .map(|e| routed::max_in_window(&limited(e), WINDOW))
        .collect();
    let got: usize = site.endpoints.iter().map(|e| limited(e).len()).sum();
    let taken = LIMIT * ENDPOINTS as f64 * (LENGTH - MAX_PROPAGATION).as_secs_f64();
    let used = got as f64 / taken;
    let refused: Vec<_> = outcomes.iter().filter(|o| !o.is_served()).collect();
    let early = refused.iter().filter(|o| o.is_refused_early()).count();
    let summary = format!(
        "{counts:?} in a window, {used:.2} used, {} of {} served, {early} of {} refused early",
        served(&outcomes),
        outcomes.len(),
        refused.len()
    );
    println!("{summary}");
    assert!(
        counts.iter().all(|seen| *seen <= max_in_window(LIMIT)),
        "{summary}"
    );
    assert!(used >= 0.9, "{summary}");
    assert!(!refused.is_empty(), "{summary}");
    assert!(early * 100 >= refused.len() * 90, "{summary}");
}

/// A limit ends with the first answer to a later request that does not name one, and all boxes are
/// informed. A limit that is named again, or a lower one, applies again.
#[tokio::test(flavor = "multi_thread")]
async fn limits_end_and_begin_again() {
    const SPAN: Duration = Duration::from_secs(9);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(3, dir.path()).await;
    let limited_endpoint = &site.endpoints[0];
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    let mut spans = Vec::new();
    for limit in [Some("4"), None, Some("1.5"), None] {
        limited_endpoint.limits(limit);
        let before = limited_endpoint.seen().len();
        let (outcomes, ()) = tokio::join!(site.send_all(60, SPAN), site.beat(SPAN));
        // Counts the last four seconds, by when all boxes know of the change.
        let seen = limited_endpoint.seen().split_off(before);
        let since = Instant::now() - WINDOW;
        let count = seen.iter().filter(|seen| seen.at > since).count();
        spans.push((limit, count, served(&outcomes), outcomes.len()));
    }
    println!("{spans:?}");
    for (limit, count, served, sent) in spans {
        match limit {
            Some(limit) => assert!(
                count <= max_in_window(limit.parse().unwrap()),
                "{limit}: {count}"
            ),
            // Without a limit about a third of 240; with the higher limit at most 29.
            None => assert!(count > 40, "{count} without a limit"),
        }
        assert!(served * 100 >= sent * 99, "{served} of {sent} served");
    }
}

/// The limit holds while boxes and the only voter restart, except for requests from boxes that have
/// just started and don't know the limit yet.
#[tokio::test(flavor = "multi_thread")]
async fn limits_are_kept_while_boxes_and_the_voter_start_anew() {
    const LIMIT: f64 = 2.5;
    const LENGTH: Duration = Duration::from_secs(20);
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(6, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    for endpoint in &site.endpoints[..2] {
        endpoint.limits(Some("2.5"));
    }
    let mut boxes = std::mem::take(&mut site.boxes);
    let restarts = async {
        for (i, entry) in boxes.iter_mut().enumerate().skip(1).take(3) {
            tokio::time::sleep(Duration::from_secs(4)).await;
            *entry = None;
            tokio::time::sleep(Duration::from_millis(300)).await;
            *entry = Some(site.system.start_entry_at(i));
        }
    };
    let sending = site.send_all(60, LENGTH);
    let (outcomes, (), ()) = tokio::join!(sending, site.beat(LENGTH), restarts);
    let counts: Vec<_> = site.endpoints[..2]
        .iter()
        .map(|e| routed::max_in_window(&limited(e), WINDOW))
        .collect();
    println!(
        "{counts:?} in a window, {} of {} served",
        served(&outcomes),
        outcomes.len()
    );
    assert!(
        counts.iter().all(|seen| *seen <= max_in_window(LIMIT)),
        "{counts:?}"
    );
    // The voter loses its state, and learns the limit from the boxes again.
    site.system.voters[0] = None;
    site.system.start_voter(0, false);
    let since = Instant::now();
    let sending = site.send_all(60, LENGTH / 2);
    let (outcomes, ()) = tokio::join!(sending, async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        site.beat(LENGTH / 2 - Duration::from_secs(3)).await;
    });
    let after = |endpoint: &Endpoint| -> Vec<Instant> {
        let times = limited(endpoint).into_iter();
        times.filter(|at| *at > since).collect()
    };
    let counts: Vec<_> = site.endpoints[..2]
        .iter()
        .map(|e| routed::max_in_window(&after(e), WINDOW))
        .collect();
    println!(
        "{counts:?} in a window, {} of {} served",
        served(&outcomes),
        outcomes.len()
    );
    assert!(
        counts.iter().all(|seen| *seen <= max_in_window(LIMIT)),
        "{counts:?}"
    );
}

/// A limit that can't be parsed excludes no endpoint and stops no box, and very high limits have no
/// effect.
#[tokio::test(flavor = "multi_thread")]
async fn limits_that_cannot_be_read_bar_nobody() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(1, dir.path()).await;
    for value in ["", "nan", "-1", "soon", "1e9", "99999999999999999999"] {
        site.endpoints[0].limits(Some(value));
        let length = Duration::from_secs(2);
        let (outcomes, ()) = tokio::join!(site.send_all(40, length), site.beat(length));
        let unserved: Vec<_> = outcomes.iter().filter(|o| !o.is_served()).collect();
        assert!(unserved.is_empty(), "{value:?}: {unserved:?}");
    }
}
