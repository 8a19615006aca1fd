//! Planned stops of entry boxes, which must not cut any request.

use std::{net::SocketAddr, time::Duration};

use http_body_util::BodyExt as _;
use scalewood::core::{
    estimate::Peak,
    registry::{Record, State},
    stop, unit,
};

use crate::{
    path::expected,
    support::{
        client::{self, chat},
        deploy::{self, Deployment, Plan},
        routed::{self, serving, text, Endpoint, HOST},
    },
};

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_box_finishes_its_streams_and_hands_its_dispatchers_on() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![2],
        engines: 2,
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    for stopped in [0, 1] {
        let mut streams = Vec::new();
        for (e, entry) in deployment.entries.iter().enumerate() {
            for i in 0..3 {
                let callers = entry.callers;
                let prompt = format!("stop {stopped}, stream {i} at {e} len=400");
                streams.push(tokio::spawn(async move {
                    let mut connection = client::Connection::open(callers).await.unwrap();
                    let body = chat(deploy::MODEL, &prompt, true);
                    let answer = client::stream(&mut connection, deploy::TEAM, "report", body);
                    (prompt.clone(), answer.await.unwrap())
                }));
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let process = deployment.entries[stopped].process.take().unwrap();
        let done = tokio::task::spawn_blocking(move || process.stop(Duration::from_secs(30)));
        for stream in streams {
            let (prompt, answer) = stream.await.unwrap();
            assert!(answer.is_complete, "{prompt} was cut: {answer:?}");
            assert_eq!(answer.text, expected(&prompt));
        }
        assert!(done.await.unwrap(), "the box did not stop cleanly");
        // The other box still serves requests.
        let other = deployment.entries[1 - stopped].callers;
        let mut connection = client::Connection::open(other).await.unwrap();
        let body = chat(deploy::MODEL, "and after", true);
        let answer = client::stream(&mut connection, deploy::TEAM, "counter", body)
            .await
            .unwrap();
        assert!(answer.is_complete, "{answer:?}");
        deployment.start_entry(stopped);
        deployment.wait_ready().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_goes_down_before_callers_are_turned_away() {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![1],
        grace: "1s",
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    let (health, callers) = (deployment.entries[0].health, deployment.entries[0].callers);
    let process = deployment.entries[0].process.take().unwrap();
    process.signal("TERM");
    deploy::wait("readiness is down", || async {
        client::ask(health, "GET", "/readyz", &[], "")
            .await
            .is_ok_and(|a| a.status == 503)
    })
    .await;
    let mut connection = client::Connection::open(callers).await.unwrap();
    let body = chat(deploy::MODEL, "just in time", true);
    let answer = client::stream(&mut connection, deploy::TEAM, "counter", body)
        .await
        .unwrap();
    assert!(answer.is_complete, "{answer:?}");
    assert!(process.stop(Duration::from_secs(20)));
}

/// The calls that are sent to a box before it is stopped; more than its endpoint finishes.
const WAITING_CALLS: usize = 24;
/// The deadline of these calls, long after the box has ended.
const DEADLINE_MS: &str = "15000";

/// How a call that waited at a stopped box ended.
struct Ended {
    path: String,
    answer: std::io::Result<client::Answer>,
}

/// Sends a call that is not to run twice, and waits for its answer.
async fn call(callers: SocketAddr, path: String) -> Ended {
    let answer = async {
        let mut connection = client::Connection::open(callers).await?;
        let headers = [
            ("authorization", "Bearer key-1"),
            ("scalewood-deadline-ms", DEADLINE_MS),
        ];
        let sent = connection.send_to(HOST, "POST", &path, &headers, "a body");
        let (parts, body) = sent.await?.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?;
        Ok(client::Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    };
    let answer = answer.await;
    Ended { path, answer }
}

/// Returns how the calls end that wait at a box while it is stopped; each run takes `work`.
async fn stop_with_waiting_calls(work: Duration, slots: u32) -> (Vec<Ended>, Vec<Endpoint>) {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = serving(1, dir.path()).await;
    let mut routing = routed::routing(8);
    for route in routing.routes.values_mut() {
        route.timeout_ms = 15_000;
    }
    assert_eq!(system.publish(&text(&routing)).await, 200);
    let record = Record {
        slots: unit::Slots(slots),
        ..endpoints[0].record(2, State::Ready)
    };
    system.announce(0, &record).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    endpoints[0].set_work_time(work);
    let calls = (0..WAITING_CALLS).map(|i| {
        let callers = system.callers();
        tokio::spawn(call(callers, format!("/unsafe/waiting-{i}")))
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let process = system.entry.take().unwrap();
    let done = tokio::task::spawn_blocking(move || process.stop(Duration::from_secs(10)));
    let mut ended = Vec::new();
    for call in calls {
        ended.push(call.await.unwrap());
    }
    assert!(done.await.unwrap(), "the box did not stop cleanly");
    (ended, endpoints)
}

/// A box that ended closed the connections of the requests that waited in it for a slot, without an
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_at_a_stopping_box_are_refused_as_not_run_before_it_ends() {
    let (ended, endpoints) = stop_with_waiting_calls(Duration::from_millis(800), 2).await;
    let mut refused = 0;
    for Ended { path, answer } in &ended {
        let answer = answer
            .as_ref()
            .unwrap_or_else(|why| panic!("{path}: {why}"));
        if answer.status == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(answer.status, 503, "{path}: {answer:?}");
        assert_eq!(answer.verdict(), Some("not-run"), "{path}");
        assert!(answer.header("retry-after").is_some(), "{path}");
        assert_eq!(routed::seen(&endpoints, path), 0, "{path} ran");
    }
    assert!(refused > 0, "all of them were served");
    assert!(refused < WAITING_CALLS, "none of them was served");
}

/// A box that ended closed the connections of the requests that still ran at an endpoint, which left
/// their callers without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_when_a_box_ends_are_answered_as_possibly_run() {
    let (ended, endpoints) = stop_with_waiting_calls(Duration::from_secs(12), 2).await;
    let mut ran = 0;
    for Ended { path, answer } in &ended {
        let answer = answer
            .as_ref()
            .unwrap_or_else(|why| panic!("{path}: {why}"));
        if routed::seen(&endpoints, path) > 0 {
            ran += 1;
            assert_eq!(answer.status, 502, "{path}: {answer:?}");
            assert_eq!(answer.verdict(), Some("may-have-run"), "{path}");
        } else {
            assert_eq!(answer.status, 503, "{path}: {answer:?}");
            assert_eq!(answer.verdict(), Some("not-run"), "{path}");
        }
    }
    assert!(ran > 0, "no request ran");
}

#[test]
fn a_request_waits_at_a_stopping_box_as_long_as_its_run_can_still_end_there() {
    let second = Duration::from_secs;
    let plan = stop::Plan {
        ends_at: second(110),
        drain: second(10),
    };
    let last_start = |mean, spread| plan.last_start(mean, spread);
    // Runs of unknown length, and longer ones than that, leave half of the drain time to wait.
    assert!(last_start(None, 1.0) > second(103));
    assert_eq!(last_start(Some(second(60)), 0.0), last_start(None, 0.0));
    // Short runs may begin almost to the end.
    let short = last_start(Some(Duration::from_millis(50)), 0.0);
    assert!(short > second(109) && short < plan.last_answer());
    // Those that wait are not given up all at once.
    let spread = last_start(None, 0.0) - last_start(None, 1.0);
    assert_eq!(spread, second(1));
    assert!(plan.last_answer() < plan.ends_at);
}

#[test]
fn the_longest_recent_run_follows_longer_ones_at_once_and_shorter_ones_slowly() {
    let mut longest = Peak::default();
    longest.observe(Duration::from_millis(2));
    longest.observe(Duration::from_secs(3));
    assert_eq!(longest.get(), Duration::from_secs(3));
    longest.observe(Duration::from_millis(2));
    assert!(longest.get() > Duration::from_secs(2));
    (0..100).for_each(|_| longest.observe(Duration::from_millis(2)));
    assert!(longest.get() < Duration::from_millis(3));
}
