//! Usage reports to a provider, with separate processes: they are complete and consistent when
//! their holder is lost and when the provider is down.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::support::{client, deploy, provider};

/// Sends a number of requests to each box. Each must succeed.
async fn send(deployment: &deploy::Deployment, count: usize) {
    for entry in &deployment.entries {
        let mut connection = client::Connection::open(entry.callers).await.unwrap();
        for i in 0..count {
            let body = client::chat(deploy::MODEL, &format!("question {i}"), true);
            let answer = client::stream(&mut connection, deploy::TEAM, "counter", body);
            assert_eq!(answer.await.unwrap().status, 200);
        }
    }
}

/// Returns the number of requests that the model's stand-ins have run.
fn run_by_standins(deployment: &deploy::Deployment) -> u64 {
    let models = deployment.standins_of(true).into_iter();
    let runs = models.map(|i| deployment.runs(i).len());
    runs.sum::<usize>() as u64
}

/// Waits until as many requests are reported as the endpoints have run.
async fn wait_reported(provider: &provider::Provider, deployment: &deploy::Deployment) {
    let expected = run_by_standins(deployment);
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let totals = provider.totals();
        let sum: u64 = totals.values().sum();
        assert!(sum <= expected, "{sum} of {expected} requests are reported");
        if sum == expected {
            return;
        }
        assert!(
            Instant::now() < until,
            "{totals:?} of {expected} requests are reported"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn leader(deployment: &deploy::Deployment) -> usize {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        for (i, voter) in deployment.voters.iter().enumerate() {
            if voter.process.is_none() {
                continue;
            }
            let asked = client::ask(voter.admin, "GET", "/metrics", &[], "").await;
            let text = asked.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            if text.is_ok_and(|text| text.contains("scalewood_voter_leads 1")) {
                return i;
            }
        }
        assert!(Instant::now() < until, "no voter is the leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_reported_once_through_the_loss_of_the_holder_and_an_outage() {
    let dir = tempfile::tempdir().unwrap();
    let plan = deploy::Plan {
        voters: 3,
        provider: Some(9950),
        ..deploy::Plan::default()
    };
    let mut deployment = deploy::Deployment::start(plan, dir.path()).await;
    let provider = provider::Provider::start(deployment.address(9950)).await;
    send(&deployment, 10).await;
    wait_reported(&provider, &deployment).await;
    // The provider is busy, then failing, then silent. What is counted meanwhile is reported
    // afterwards.
    for status in [429, 500, 0] {
        provider.answers(status);
        send(&deployment, 5).await;
        tokio::time::sleep(Duration::from_millis(1200)).await;
    }
    provider.answers(200);
    wait_reported(&provider, &deployment).await;
    // The holder is killed between two windows, and another voter takes over.
    let holder = leader(&deployment).await;
    send(&deployment, 5).await;
    if let Some(process) = deployment.voters[holder].process.take() {
        process.kill();
    }
    send(&deployment, 5).await;
    wait_reported(&provider, &deployment).await;
    let holders: BTreeMap<_, _> = provider
        .acts()
        .into_iter()
        .map(|(at, by)| (by, at))
        .collect();
    assert!(holders.len() >= 2, "no other voter took over: {holders:?}");
}
