//! What was acknowledged is kept by kills, and nothing older is shown after them.

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use scalewood::core::{
    registry::{Record, State},
    warm_up,
};

use crate::support::{
    client, deploy,
    routed::{self, beat, max_in_window, text, Endpoint, System},
};

/// Longer than the time between two writes of a voter's hints.
const HINTS_WRITTEN: Duration = Duration::from_millis(2500);
/// The time within which a departure has to be known everywhere.
const DRAIN: Duration = Duration::from_secs(2);

/// Starts three voters, a box and two endpoints that are written to the hints.
async fn start(dir: &Path, warm_up: Option<warm_up::Rate>) -> (System, [Endpoint; 2]) {
    let system = System::start(3, dir);
    let mut routing = routed::routing(7);
    for service in routing.services.values_mut() {
        service.warm_up = warm_up;
    }
    assert_eq!(system.publish(&text(&routing)).await, 200);
    let at = |port| -> SocketAddr { (system.host, port).into() };
    let endpoints = [
        Endpoint::start("i-0", at(9000)).await,
        Endpoint::start("i-1", at(9001)).await,
    ];
    (system, endpoints)
}

/// Announces that an endpoint is gone, to the voters in turn from one on, until one acknowledges it.
async fn leave(system: &System, endpoint: &Endpoint, first: usize) -> usize {
    let path = format!("/v1/endpoints/{}", endpoint.name);
    let until = Instant::now() + Duration::from_secs(10);
    for voter in (0..3).cycle().skip(first) {
        let asked = client::ask(system.publish_address(voter), "DELETE", &path, &[], "");
        if asked.await.is_ok_and(|answer| answer.status == 200) {
            return voter;
        }
        assert!(Instant::now() < until, "no voter acknowledges the end");
    }
    unreachable!("the voters are asked in turn for ever")
}

fn kill_all(system: &mut System) {
    for voter in &mut system.voters {
        voter.take().unwrap().kill();
    }
    system.entry.take().unwrap().kill();
}

fn restart_all(system: &mut System) {
    (0..3).for_each(|i| system.start_voter(i, false));
    system.start_entry();
}

/// Calls a route for a time, one call after another; returns when.
async fn call_for(system: &System, time: Duration) -> Instant {
    let begun = Instant::now();
    let mut served = 0;
    while begun.elapsed() < time {
        let answer = system.call("GET", "/safe/x", "call").await;
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(served > 0, "no call was served");
    begun
}

fn seen_since(endpoint: &Endpoint, since: Instant) -> usize {
    let seen = endpoint.seen();
    seen.iter().filter(|seen| seen.at >= since).count()
}

/// Kills everything some time after a routing was acknowledged, and starts one voter first.
async fn configuration_survives(first: usize, after: Duration) {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = start(dir.path(), None).await;
    let beats = beat(&system, endpoints[0].record(1, State::Ready), 1);
    system.wait_served().await;
    tokio::time::sleep(HINTS_WRITTEN).await;
    let mut routing = routed::routing(8);
    routing.routes.retain(|name, _| name.as_str() != "safe");
    assert_eq!(system.publish(&text(&routing)).await, 200);
    tokio::time::sleep(after).await;
    kill_all(&mut system);
    let killed = Instant::now();
    system.start_voter(first, false);
    system.start_entry();
    let probe = async {
        loop {
            let answer = system.call("GET", "/safe/x", "older").await;
            assert!(
                !answer.is_ok_and(|answer| answer.status == 200),
                "served by a configuration that was replaced {after:?} before the kill"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(tokio::time::timeout(Duration::from_millis(1500), probe)
        .await
        .is_err());
    for i in (0..3).filter(|i| *i != first) {
        system.start_voter(i, false);
    }
    deploy::wait("the newest configuration is in force", || async {
        let answer = system.call("POST", "/unsafe/x", "newest").await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let answer = system.call("GET", "/safe/x", "newest").await.unwrap();
    assert_eq!(answer.status, 404);
    assert_eq!(seen_since(&endpoints[1], killed), 0);
    beats.abort();
}

/// A voter without a leader gave boxes the configuration that its hints named, which was up to two
/// seconds older than the one that had been acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn no_box_gets_an_older_configuration_after_a_kill_5_ms_later() {
    configuration_survives(0, Duration::from_millis(5)).await;
}

/// As before, with another voter and a kill shortly before the next write of the hints.
#[tokio::test(flavor = "multi_thread")]
async fn no_box_gets_an_older_configuration_after_a_kill_400_ms_later() {
    configuration_survives(1, Duration::from_millis(400)).await;
}

/// Kills everything some time after the end of an endpoint was acknowledged.
async fn end_survives(after: Duration) {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = start(dir.path(), None).await;
    let beats: Vec<_> = endpoints
        .iter()
        .map(|endpoint| beat(&system, endpoint.record(1, State::Ready), 1))
        .collect();
    system.wait_served().await;
    tokio::time::sleep(HINTS_WRITTEN).await;
    beats[0].abort();
    leave(&system, &endpoints[0], 0).await;
    let acknowledged = Instant::now();
    tokio::time::sleep(after).await;
    kill_all(&mut system);
    restart_all(&mut system);
    system.wait_served().await;
    call_for(&system, Duration::from_secs(3)).await;
    let late = seen_since(&endpoints[0], acknowledged + DRAIN);
    assert_eq!(late, 0, "requests reached an endpoint that is gone");
    assert!(seen_since(&endpoints[1], acknowledged + DRAIN) > 0);
    beats[1].abort();
}

/// The hints named an endpoint as ready that had left since, and its end was only in memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_end_survives_a_kill_of_all_processes_5_ms_later() {
    end_survives(Duration::from_millis(5)).await;
}

/// As before, with a kill that the next write of the hints comes before at some voters.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_end_survives_a_kill_of_all_processes_1900_ms_later() {
    end_survives(Duration::from_millis(1900)).await;
}

/// The voter that acknowledged an end told the others some milliseconds later, and a kill in
/// between lost it.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_end_survives_the_kill_of_the_voter_that_acknowledged_it() {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = start(dir.path(), None).await;
    let beats: Vec<_> = endpoints
        .iter()
        .map(|endpoint| beat(&system, endpoint.record(1, State::Ready), 1))
        .collect();
    system.wait_served().await;
    beats[0].abort();
    let voter = leave(&system, &endpoints[0], 1).await;
    system.voters[voter].take().unwrap().kill();
    let acknowledged = Instant::now();
    tokio::time::sleep(DRAIN).await;
    // Longer than an endpoint may be silent before it is forgotten would hide the fault.
    call_for(&system, Duration::from_secs(2)).await;
    let late = seen_since(&endpoints[0], acknowledged + DRAIN);
    assert_eq!(late, 0, "requests reached an endpoint that is gone");
    beats[1].abort();
}

/// A heartbeat from before the announcement arrives late, at a voter that had forgotten it.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_said_that_it_leaves_is_not_ready_again_by_a_late_heartbeat() {
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = start(dir.path(), None).await;
    let beats: Vec<_> = endpoints
        .iter()
        .map(|endpoint| beat(&system, endpoint.record(1, State::Ready), 1))
        .collect();
    system.wait_served().await;
    beats[0].abort();
    system
        .announce(0, &endpoints[0].record(1000, State::Leaving))
        .await;
    let acknowledged = Instant::now();
    kill_all(&mut system);
    restart_all(&mut system);
    system.wait_served().await;
    system
        .announce(1, &endpoints[0].record(999, State::Ready))
        .await;
    call_for(&system, Duration::from_secs(3)).await;
    let late = seen_since(&endpoints[0], acknowledged + DRAIN);
    assert_eq!(late, 0, "requests reached an endpoint that is leaving");
    beats[1].abort();
}

/// The hints held no warm-up, so a cold endpoint was restored as warm and got its full share.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_endpoint_is_not_restored_as_warm() {
    let rate = warm_up::Rate {
        takes_ms: 60_000,
        per_second: 4.0,
    };
    let dir = tempfile::tempdir().unwrap();
    let (mut system, endpoints) = start(dir.path(), Some(rate)).await;
    let remaining = [60_000, 0].map(|ms| Some(warm_up::Remaining(ms)));
    let records = endpoints.each_ref().map(|e| e.record(1, State::Ready));
    let records = records.into_iter().zip(remaining);
    let records: Vec<_> = records
        .map(|(record, warm_up)| Record { warm_up, ..record })
        .collect();
    let cold = beat(&system, records[0].clone(), 1);
    let warm = beat(&system, records[1].clone(), 1);
    system.wait_served().await;
    tokio::time::sleep(HINTS_WRITTEN).await;
    cold.abort();
    kill_all(&mut system);
    let killed = Instant::now();
    restart_all(&mut system);
    system.wait_served().await;
    call_for(&system, Duration::from_millis(1500)).await;
    let seen = endpoints[0].seen();
    let times = seen.iter().map(|seen| seen.at).filter(|at| *at >= killed);
    let times: Vec<_> = times.collect();
    let most = max_in_window(&times, Duration::from_secs(1));
    assert!(most <= 5, "{most} requests in a second reached it");
    warm.abort();
}
