//! Planned stops of entry boxes, which must not cut any request.

use std::time::Duration;

use crate::{
    path::expected,
    support::{
        client::{self, chat},
        deploy::{self, Deployment, Plan},
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
