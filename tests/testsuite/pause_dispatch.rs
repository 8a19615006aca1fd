//! Placement while endpoints pause: new requests leave a paused endpoint long before its own requests do.

use std::{collections::BTreeMap, time::Duration};

use scalewood::core::{
    attempt::{Attempt, Request},
    dispatch::{Dispatcher, Input, Report},
    load::{Load, Loads, OutcomeCounts, Risk},
    name,
    registry::State,
    risk,
};

use crate::{
    placement::{ask, dispatcher, grant, ENDPOINTS, START},
    support::{
        deploy,
        routed::{routing, seen, text, Endpoint, Script, System},
    },
};

const TICK: Duration = Duration::from_millis(20);

fn report(dispatcher: &mut Dispatcher, report: Report, now: Duration) {
    let own: name::Box = "e1".parse().unwrap();
    dispatcher.step(Input::Report(own, report), now);
}

fn outcomes(dispatcher: &mut Dispatcher) -> BTreeMap<String, OutcomeCounts> {
    let outcomes = dispatcher.take_outcomes().into_iter();
    outcomes
        .map(|outcome| (outcome.endpoint.to_string(), outcome.count))
        .collect()
}

/// Starts a stream that has its first token, and returns its endpoint.
fn start_stream(dispatcher: &mut Dispatcher, request: u64, prefix: u64) -> (Attempt, String) {
    let attempt = Attempt::first(Request(request));
    let endpoint = grant(dispatcher, ask(request, "short", prefix), false, START);
    report(dispatcher, Report::First(attempt), START);
    outcomes(dispatcher);
    (attempt, endpoint)
}

/// Guards against requests that are sent to an endpoint of which all boxes know that it likely fails them, as each
/// such endpoint on the way to a sound one counted as a step away from the prefix's home.
#[test]
fn a_prompt_passes_endpoints_that_likely_fail() {
    let failing: Vec<_> = (0..6).map(|place| format!("i-{place}")).collect();
    for prefix in 0..40 {
        let mut dispatcher = dispatcher();
        let risk = |name: &String| Risk {
            endpoint: name.parse().unwrap(),
            chance: risk::Chance(600),
        };
        dispatcher.step(Input::Risks(failing.iter().map(risk).collect()), START);
        let chosen = grant(&mut dispatcher, ask(prefix, "short", prefix), true, START);
        assert!(
            !failing.contains(&chosen),
            "prefix {prefix} went to {chosen}"
        );
    }
}

/// Guards against requests that are sent to an endpoint which all but certainly loses them, as the sound ones would
/// serve them late.
#[test]
fn a_prompt_is_served_late_rather_than_lost() {
    let failing: Vec<_> = (0..6).map(|place| format!("i-{place}")).collect();
    let load = Load {
        pending_prefill: 40_000,
        running: 32,
        ..Load::default()
    };
    let sound = (6..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), load));
    let loads: Loads = sound.collect();
    for prefix in 0..40 {
        let mut dispatcher = dispatcher();
        let risk = |name: &String| Risk {
            endpoint: name.parse().unwrap(),
            chance: risk::Chance(900),
        };
        dispatcher.step(Input::Risks(failing.iter().map(risk).collect()), START);
        dispatcher.step(Input::OtherLoads(Some(loads.clone())), START);
        let chosen = grant(&mut dispatcher, ask(prefix, "short", prefix), true, START);
        assert!(
            !failing.contains(&chosen),
            "prefix {prefix} went to {chosen}"
        );
    }
}

/// Guards against requests that are sent to a paused endpoint for a second, as only requests without a first token
/// showed that it gives no sign of life.
#[test]
fn a_stream_that_pauses_moves_new_prompts_at_once() {
    for prefix in 0..ENDPOINTS as u64 {
        let mut dispatcher = dispatcher();
        let (attempt, home) = start_stream(&mut dispatcher, 1, prefix);
        let now = START + Duration::from_millis(300);
        report(&mut dispatcher, Report::Paused(attempt), now);
        dispatcher.step(Input::Tick, now + TICK);
        let told = outcomes(&mut dispatcher);
        assert_eq!(
            told.get(&home).map(|count| count.failed),
            Some(1),
            "other boxes are told"
        );
        let next = grant(&mut dispatcher, ask(2, "short", prefix), false, now + TICK);
        assert_ne!(next, home, "prefix {prefix}");
        // The stream goes on.
        report(&mut dispatcher, Report::First(attempt), now + 2 * TICK);
        let told = outcomes(&mut dispatcher);
        assert_eq!(
            told.get(&home).map(|count| count.answered),
            Some(1),
            "other boxes are told"
        );
    }
}

/// Guards against endpoints that are avoided after a pause which was over when it was reported.
#[test]
fn a_pause_that_is_over_moves_no_prompts() {
    let mut dispatcher = dispatcher();
    let (attempt, home) = start_stream(&mut dispatcher, 1, 7);
    let now = START + Duration::from_millis(300);
    report(&mut dispatcher, Report::Paused(attempt), now);
    report(&mut dispatcher, Report::First(attempt), now);
    dispatcher.step(Input::Tick, now + TICK);
    assert_eq!(outcomes(&mut dispatcher), BTreeMap::new());
    let next = grant(&mut dispatcher, ask(2, "short", 7), false, now + TICK);
    assert_eq!(next, home);
}

/// Guards against requests with one attempt that are lost at a paused endpoint though its streams, at the same box,
/// had been without an event for long when they were sent.
#[tokio::test(flavor = "multi_thread")]
async fn requests_leave_a_paused_endpoint_before_its_streams_do() {
    let dir = tempfile::tempdir().unwrap();
    let system = System::start(1, dir.path());
    let mut routing = routing(7);
    for route in routing.routes.values_mut() {
        (route.timeout_ms, route.gap_ms) = (8000, Some(120));
    }
    assert_eq!(system.publish(&text(&routing)).await, 200);
    let mut endpoints = Vec::new();
    for i in 0..3 {
        let endpoint = Endpoint::start(&format!("i-{i}"), (system.host, 9000 + i).into()).await;
        endpoint.set_script(Script {
            events: 60,
            pause: Duration::from_millis(40),
            ..Script::default()
        });
        endpoint.set_work_time(Duration::from_millis(10));
        system.announce(0, &endpoint.record(1, State::Ready)).await;
        endpoints.push(endpoint);
    }
    system.wait_served().await;
    deploy::wait("the dispatcher knows all endpoints", || async {
        system.known_endpoints().await >= 3.0
    })
    .await;
    let paths: Vec<_> = (0..9).map(|i| format!("/stream/{i}")).collect();
    let streams = paths.iter().map(|path| system.call("POST", path, path));
    let later = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let running: Vec<_> = endpoints.iter().map(Endpoint::running).collect();
        assert!(
            running.iter().all(|n| *n > 0),
            "streams run everywhere: {running:?}"
        );
        endpoints[0].set_paused(true);
        tokio::time::sleep(Duration::from_millis(450)).await;
        let calls = (0..6).map(|i| {
            let path = format!("/unsafe/{i}");
            let system = &system;
            async move { system.call("POST", &path, &path).await.unwrap().status }
        });
        let calls = futures_util::future::join_all(calls);
        let pause = async {
            tokio::time::sleep(Duration::from_millis(450)).await;
            endpoints[0].set_paused(false);
        };
        tokio::join!(calls, pause).0
    };
    let (streamed, statuses) = tokio::join!(futures_util::future::join_all(streams), later);
    assert!(streamed.iter().all(Result::is_ok));
    assert_eq!(statuses, [200; 6]);
    let at_paused = (0..6).map(|i| seen(&endpoints[..1], &format!("/unsafe/{i}")));
    assert_eq!(
        at_paused.sum::<usize>(),
        0,
        "requests sent to the paused endpoint"
    );
}
