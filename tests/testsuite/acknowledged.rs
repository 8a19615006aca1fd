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
    routed::{self, text, Endpoint, System},
};

/// Longer than the time between two writes of a voter's hints.
const HINTS_WRITTEN: Duration = Duration::from_millis(2500);

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

/// Sends heartbeats of an endpoint to the voters in turn, until the task is ended.
fn beat(system: &System, record: Record, from: u64) -> tokio::task::JoinHandle<()> {
    let voters: Vec<_> = (0..3).map(|i| system.publish_address(i)).collect();
    tokio::spawn(async move {
        for sequence in from.. {
            let record = Record {
                sequence,
                ..record.clone()
            };
            let path = format!("/v1/endpoints/{}", record.name);
            let body = serde_json::to_string(&record).unwrap();
            for voter in &voters {
                let sent = client::ask(*voter, "PUT", &path, &[], body.clone());
                let sent = tokio::time::timeout(Duration::from_secs(1), sent).await;
                if matches!(sent, Ok(Ok(answer)) if answer.status == 200) {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(1000)).await;
        }
    })
}

fn kill_all(system: &mut System) {
    for voter in &mut system.voters {
        voter.take().unwrap().kill();
    }
    system.entry.take().unwrap().kill();
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
