//! Sound endpoints that pause for a second or more and then go on, with real processes: what callers get
//! of the answers that were due meanwhile.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use scalewood::core::registry::State;

use crate::{
    reach::{Cut, Site, MOST},
    support::{
        client, deploy,
        forwarder::Forwarder,
        routed::{routing, seen, text, Act, Endpoint, Script, System, HOST, KEY},
    },
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
    let (system, endpoints, _) = start_linked(endpoints, dir, more, false).await;
    (system, endpoints)
}

/// Does what [`start`] does, and lets the box reach the endpoints over links if `is_linked`.
async fn start_linked(
    endpoints: u16,
    dir: &std::path::Path,
    more: &str,
    is_linked: bool,
) -> (System, Vec<Endpoint>, Vec<Forwarder>) {
    let system = System::start_with(1, dir, more);
    let mut routing = routing(7);
    for route in routing.routes.values_mut() {
        route.timeout_ms = 8000;
    }
    assert_eq!(system.publish(&text(&routing)).await, 200);
    let (mut started, mut links) = (Vec::new(), Vec::new());
    for i in 0..endpoints {
        let address = (system.host, 9000 + i).into();
        let endpoint = Endpoint::start(&format!("i-{i}"), address).await;
        endpoint.set_script(script());
        endpoint.set_work_time(Duration::from_millis(100));
        let mut record = endpoint.record(1, State::Ready);
        if is_linked {
            record.address = (system.host, 9500 + i).into();
            links.push(Forwarder::start(record.address, address).await);
        }
        system.announce(0, &record).await;
        started.push(endpoint);
    }
    system.wait_served().await;
    deploy::wait("the dispatcher knows all endpoints", || async {
        system.known_endpoints().await >= f64::from(endpoints)
    })
    .await;
    (system, started, links)
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

/// Guards against answers that end for a pause though nothing else can serve them: with a body that has begun, or
/// of requests that may run only once.
#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_answer_outlasts_a_pause() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(3, dir.path(), NO_RETRIES).await;
    let kinds = [
        ("GET", "/safe/pieces/"),
        ("POST", "/unsafe/pieces/"),
        ("POST", "/unsafe/"),
        ("POST", "/stream/"),
        ("POST", "/sresume/"),
    ];
    let system = &system;
    let calls = kinds.map(|(method, prefix)| call_all(system, method, paths(prefix, 4)));
    let (lost, ()) = tokio::join!(join_all(calls), pause(&endpoints, BEFORE));
    assert_eq!(lost.concat(), Vec::<String>::new());
}

/// Sends a request to a paused endpoint beside which the only other one treats requests in a way; returns what
/// became of the request if it was not answered whole.
async fn call_beside(method: &str, path: &str, work: Duration, act: Act) -> Vec<String> {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(1, dir.path(), "").await;
    system.wait_retries().await;
    endpoints[0].set_work_time(work);
    let pause = async {
        tokio::time::sleep(BEFORE).await;
        endpoints[0].set_paused(true);
        let other = Endpoint::start("i-9", (system.host, 9009).into()).await;
        other.set_default_act(Some(act));
        system.announce(0, &other.record(1, State::Ready)).await;
        tokio::time::sleep(PAUSE).await;
        endpoints[0].set_paused(false);
        other
    };
    let call = call_all(&system, method, vec![path.to_owned()]);
    let (lost, other) = tokio::join!(call, pause);
    let tried = !other.seen().is_empty();
    assert!(tried, "{path} was not tried beside the paused endpoint");
    lost
}

/// Guards against answers that end since the endpoint that was tried beside a paused one refuses the request,
/// fails, is silent too or is not the expected one.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_outlasted_where_the_other_endpoint_fails() {
    let acts = [
        Act::Refuse,
        Act::Fail,
        Act::Mistaken,
        Act::Foreign,
        Act::Hang,
    ];
    for (method, path, work) in [
        ("POST", "/sresume/event", Duration::ZERO),
        ("POST", "/sresume/head", BEFORE * 2),
        ("GET", "/safe/head", BEFORE * 2),
    ] {
        let calls = acts.map(|act| call_beside(method, path, work, act));
        let lost = join_all(calls).await;
        assert_eq!(lost.concat(), Vec::<String>::new(), "{path}");
    }
}

/// Guards against answers that end since a paused endpoint was left for one that then sends no more than the head of
/// its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_is_outlasted_where_the_other_endpoint_ends_after_its_head() {
    for (method, path, work) in [
        ("POST", "/sresume/event", Duration::ZERO),
        ("POST", "/sresume/head", BEFORE * 2),
        ("GET", "/safe/pieces/body", Duration::ZERO),
        ("GET", "/safe/pieces/head", BEFORE * 2),
    ] {
        let acts = [Act::BreakAtHead, Act::StallAtHead];
        let calls = acts.map(|act| call_beside(method, path, work, act));
        let lost = join_all(calls).await;
        assert_eq!(lost.concat(), Vec::<String>::new(), "{path}");
    }
}

/// Guards against streams that end with an endpoint that had paused before, since the endpoint that was asked beside
/// it meanwhile counts as an attempt for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_elsewhere_after_it_outlasted_a_pause() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints, links) = start_linked(2, dir.path(), "", true).await;
    system.wait_retries().await;
    let path = "/sresume/later";
    let breaking = async {
        deploy::wait("the stream runs", || async {
            endpoints.iter().any(|e| e.running() > 0)
        })
        .await;
        let first = endpoints.iter().position(|e| e.running() > 0).unwrap();
        endpoints[1 - first].next(Act::Hang);
        pause(&endpoints[first..=first], BEFORE).await;
        let other = &endpoints[1 - first];
        assert_eq!(seen(std::slice::from_ref(other), path), 1);
        deploy::wait("the run beside the paused one has ended", || async {
            other.running() == 0
        })
        .await;
        assert_eq!(endpoints[first].running(), 1);
        links[first].set_connected(false);
    };
    let call = call_all(&system, "POST", vec![path.to_owned()]);
    let (lost, ()) = tokio::join!(call, breaking);
    assert_eq!(lost, Vec::<String>::new());
}

/// Guards against requests that stay with a dead endpoint to their deadline, since each retry that their box earns goes
/// to a request whose endpoint is silent for a shorter time.
#[tokio::test(flavor = "multi_thread")]
async fn the_next_retry_is_for_the_request_that_has_waited_longest() {
    /// Requests earn 0.18 retries each, which are kept for a second.
    const RETRIES: &str = r#""retries": { "ratio": 0.2, "slack": 0.0 }"#;
    /// The requests that wait for less than a retry, and those that earn one together.
    const LATER: usize = 5;
    const EARNING: usize = 6;
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(1, dir.path(), RETRIES).await;
    let dead = &endpoints[0];
    // What the start of the test has earned is gone after a second.
    tokio::time::sleep(Duration::from_millis(1100)).await;
    dead.set_paused(true);
    let later = paths("/safe/later", LATER);
    let calls = async {
        let first = call_all(&system, "GET", vec!["/safe/first".to_owned()]);
        let rest = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            call_all(&system, "GET", later.clone()).await
        };
        let (first, rest) = tokio::join!(first, rest);
        [first, rest].concat()
    };
    let retry = async {
        tokio::time::sleep(Duration::from_millis(1800)).await;
        assert_eq!(dead.running(), LATER + 1, "a request is elsewhere");
        let other = Endpoint::start("i-9", (system.host, 9009).into()).await;
        system.announce(0, &other.record(1, State::Ready)).await;
        deploy::wait("the dispatcher knows both", || async {
            system.known_endpoints().await >= 2.0
        })
        .await;
        let earning = call_all(&system, "GET", paths("/safe/earning", EARNING));
        let tried = async {
            let others = std::slice::from_ref(&other);
            let tried = || {
                seen(others, "/safe/first") + later.iter().map(|p| seen(others, p)).sum::<usize>()
            };
            deploy::wait("a request is tried at the other endpoint", || async {
                tried() > 0
            })
            .await;
            dead.set_paused(false);
            seen(others, "/safe/first")
        };
        tokio::join!(earning, tried)
    };
    let (lost, (earning, first)) = tokio::join!(calls, retry);
    assert_eq!((lost, earning), (Vec::new(), Vec::new()));
    assert_eq!(first, 1, "a request that waited less got the retry");
}

/// Guards against requests that stay with an endpoint that is dead though a retry is there, and against runs
/// that are left there.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_endpoint_is_left_as_soon_as_another_one_answers() {
    /// The longest silence, and the time to ask another endpoint.
    const LEFT_WITHIN: Duration = Duration::from_millis(1500);
    for (path, after) in [
        ("/sresume/dead", Duration::ZERO),
        ("/safe/dead", Duration::ZERO),
        // A piece of the body has arrived then.
        ("/safe/pieces/dead", Duration::from_millis(550)),
    ] {
        let dir = tempfile::tempdir().unwrap();
        let (system, endpoints) = start(2, dir.path(), "").await;
        system.wait_retries().await;
        let dying = async {
            deploy::wait("an endpoint runs the request", || async {
                endpoints.iter().any(|e| e.running() > 0)
            })
            .await;
            tokio::time::sleep(after).await;
            let first = endpoints.iter().find(|e| e.running() > 0).unwrap();
            first.set_paused(true);
            let since = Instant::now();
            let other = endpoints.iter().find(|e| e.name != first.name).unwrap();
            deploy::wait("the other endpoint is tried", || async {
                seen(std::slice::from_ref(other), path) > 0
            })
            .await;
            assert!(since.elapsed() < LEFT_WITHIN, "{:?}", since.elapsed());
            deploy::wait("the run at the dead endpoint has ended", || async {
                first.running() == 0
            })
            .await;
        };
        let call = call_all(&system, "POST", vec![path.to_owned()]);
        let (lost, ()) = tokio::join!(call, dying);
        assert_eq!(lost, Vec::<String>::new());
    }
}

/// Guards against runs that go on, at the paused endpoint and at the one that was tried beside it, after their
/// caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_during_a_pause_ends_all_runs() {
    const ENDED_WITHIN: Duration = Duration::from_millis(500);
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(2, dir.path(), "").await;
    system.wait_retries().await;
    let running = || endpoints.iter().map(Endpoint::running).sum::<usize>();
    for path in ["/sresume/leaves", "/safe/leaves"] {
        endpoints.iter().for_each(|e| e.set_work_time(BEFORE * 2));
        let mut connection = client::Connection::open(system.callers()).await.unwrap();
        let bearer = format!("Bearer {KEY}");
        let headers = [("authorization", bearer.as_str()), ("scalewood-id", path)];
        let call = connection.send_to(HOST, "POST", path, &headers, "a body");
        let pause = async {
            tokio::time::sleep(BEFORE).await;
            endpoints.iter().for_each(|e| e.set_paused(true));
            deploy::wait("both endpoints have it", || async {
                seen(&endpoints, path) == 2 && running() == 2
            })
            .await;
        };
        tokio::select! {
            answer = call => panic!("{path} was answered: {answer:?}"),
            () = pause => {}
        }
        drop(connection);
        tokio::time::sleep(ENDED_WITHIN).await;
        assert_eq!(running(), 0, "{path}");
        endpoints.iter().for_each(|e| e.set_paused(false));
    }
}

/// Guards against requests that run at more endpoints than their route allows while all endpoints pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_takes_no_more_attempts_than_the_route_allows() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = start(5, dir.path(), "").await;
    system.wait_retries().await;
    let safe = call_all(&system, "GET", paths("/safe/", 6));
    let streams = call_all(&system, "POST", paths("/sresume/", 6));
    let pause = async {
        pause(&endpoints, Duration::from_millis(50)).await;
        pause(&endpoints, Duration::from_millis(100)).await;
    };
    let (safe, streams, ()) = tokio::join!(safe, streams, pause);
    assert_eq!((safe, streams), (Vec::new(), Vec::new()));
    for path in [paths("/safe/", 6), paths("/sresume/", 6)].concat() {
        // The routes allow two attempts.
        assert!(seen(&endpoints, &path) <= 2, "{path}");
    }
}

/// Guards against answers that end for a pause while another box serves them.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_through_another_box_outlasts_a_pause() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&MOST, dir.path()).await;
    let beats = site.beat_on();
    let run = async {
        for endpoint in &site.endpoints {
            endpoint.set_script(Script {
                pause: Duration::from_millis(100),
                ..Script::default()
            });
        }
        site.cut_and_wait(Cut::Reset).await;
        let paths = paths("/sresume/box/", 8);
        let calls = paths.iter().map(|path| site.send(0, path));
        let (outcomes, ()) = tokio::join!(join_all(calls), pause(&site.endpoints, BEFORE));
        let lost = outcomes.into_iter().filter(|outcome| !outcome.is_served());
        assert_eq!(
            lost.map(|lost| format!("{lost:?}")).collect::<Vec<_>>(),
            Vec::<String>::new()
        );
        assert!(site.metric(0, "forwarded_requests_total").await >= 8);
    };
    tokio::select! {
        () = run => {}
        () = beats => unreachable!("heartbeats are sent for ever"),
    }
}

/// Guards against streams that are closed as their silent endpoint breaks off while another one is about to go on
/// with them.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_if_its_silent_endpoint_breaks_off() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints, links) = start_linked(2, dir.path(), "", true).await;
    system.wait_retries().await;
    for endpoint in &endpoints {
        endpoint.set_work_time(Duration::from_millis(600));
    }
    let path = "/sresume/breaks";
    let breaking = async {
        deploy::wait("the stream runs", || async {
            endpoints.iter().any(|e| e.running() > 0)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(850)).await;
        let first = endpoints.iter().position(|e| e.running() > 0).unwrap();
        links[first].silence();
        deploy::wait("the other endpoint is tried", || async {
            seen(std::slice::from_ref(&endpoints[1 - first]), path) > 0
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        links[first].set_connected(false);
    };
    let call = call_all(&system, "POST", vec![path.to_owned()]);
    let (lost, ()) = tokio::join!(call, breaking);
    assert_eq!(lost, Vec::<String>::new());
}
