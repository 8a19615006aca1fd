//! Sound endpoints that pause for a second or more and then go on, with real processes: what callers get
//! of the answers that were due meanwhile.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use scalewood::core::registry::State;

use crate::support::{
    deploy,
    routed::{routing, text, Endpoint, Script, System},
};

/// How long endpoints pause: longer than a resumable stream waits for an event before another endpoint is
/// tried, and shorter than the deadline of any request.
const PAUSE: Duration = Duration::from_millis(1600);
/// How long requests run before the pause begins.
const BEFORE: Duration = Duration::from_millis(250);
/// The settings of a box without any retry.
const NO_RETRIES: &str = r#""retries": { "ratio": 0.0, "slack": 0.0 }"#;

/// The events of a stream, one each 40 ms.
fn script() -> Script {
    Script {
        events: 20,
        pause: Duration::from_millis(40),
        ..Script::default()
    }
}

/// Starts a system with one voter, one box with additional settings, and endpoints.
async fn start(endpoints: u16, dir: &std::path::Path, more: &str) -> (System, Vec<Endpoint>) {
    let system = System::start_with(1, dir, more);
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let mut started = Vec::new();
    for i in 0..endpoints {
        let address = (system.host, 9000 + i).into();
        let endpoint = Endpoint::start(&format!("i-{i}"), address).await;
        endpoint.set_script(script());
        endpoint.set_work_time(Duration::from_millis(100));
        system.announce(0, &endpoint.record(1, State::Ready)).await;
        started.push(endpoint);
    }
    system.wait_served().await;
    deploy::wait("the dispatcher knows all endpoints", || async {
        system.known_endpoints().await >= f64::from(endpoints)
    })
    .await;
    (system, started)
}

/// Pauses endpoints once requests run there, and lets them go on.
async fn pause(endpoints: &[Endpoint], after: Duration) {
    tokio::time::sleep(after).await;
    endpoints.iter().for_each(|e| e.set_paused(true));
    tokio::time::sleep(PAUSE).await;
    endpoints.iter().for_each(|e| e.set_paused(false));
}

/// Sends requests at once and returns what became of each that was not answered whole.
async fn call_all(system: &System, method: &str, paths: Vec<String>) -> Vec<String> {
    let calls = paths.iter().map(|path| async move {
        let since = Instant::now();
        let answer = system.call(method, path, path).await;
        let took = since.elapsed().as_millis();
        match answer {
            Ok(answer) if answer.status == 200 => None,
            Ok(answer) => Some(format!("{path}: {} after {took} ms", answer.status)),
            Err(error) => Some(format!("{path}: {error} after {took} ms")),
        }
    });
    join_all(calls).await.into_iter().flatten().collect()
}

fn paths(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}{i}")).collect()
}

/// Guards against streams that are closed in the middle as their sound endpoint paused and the retry
/// budget held no retry with which to go on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_is_cut_for_a_pause_without_a_retry() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(3, dir.path(), NO_RETRIES).await;
    let calls = call_all(&system, "POST", paths("/sresume/", 12));
    let (lost, ()) = tokio::join!(calls, pause(&endpoints, BEFORE));
    assert_eq!(lost, Vec::<String>::new());
}

/// Guards against requests that get an error as all sound endpoints paused, and more requests had counted on
/// the same retry when they were sent than there were retries when they gave their endpoint up.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_fails_for_a_pause_of_all_endpoints() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(3, dir.path(), "").await;
    system.wait_retries().await;
    // The requests arrive while the endpoints work on none.
    let safe = call_all(&system, "GET", paths("/safe/", 12));
    let streams = call_all(&system, "POST", paths("/sresume/", 8));
    let pause = pause(&endpoints, Duration::from_millis(50));
    let (safe, streams, ()) = tokio::join!(safe, streams, pause);
    assert_eq!((safe, streams), (Vec::new(), Vec::new()));
}
