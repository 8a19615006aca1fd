//! End-to-end tests: requests are served by separate processes.

use std::time::Duration;

use crate::support::{client, deploy};

#[path = "../../src/bin/scalewood-standin/answer.rs"]
pub(crate) mod answer;

/// Returns what a stand-in answers to a prompt.
pub(crate) fn expected(prompt: &str) -> String {
    answer::tokens(prompt, None).concat()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_served_whole_in_both_zones_and_all_stops_cleanly() {
    let dir = tempfile::tempdir().unwrap();
    let mut deployment = deploy::Deployment::start(deploy::Plan::default(), dir.path()).await;
    for entry in &deployment.entries {
        let mut connection = client::Connection::open(entry.callers).await.unwrap();
        for i in 0..3 {
            let prompt = format!("question {i} in {}", entry.zone);
            let body = client::chat(deploy::MODEL, &prompt, true);
            let answer = client::stream(&mut connection, deploy::TEAM, "counter", body)
                .await
                .unwrap();
            assert_eq!(answer.status, 200);
            assert!(answer.is_complete);
            assert_eq!(answer.text, expected(&prompt));
        }
    }
    assert_eq!(
        deployment.stop(Duration::from_secs(20)),
        Vec::<String>::new()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_is_served_whole() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = deploy::Deployment::start(deploy::Plan::default(), dir.path()).await;
    let bearer = client::bearer(deploy::TEAM);
    let headers = [("authorization", bearer.as_str())];
    let callers = deployment.entries[0].callers;
    let body = client::chat(deploy::MODEL, "a plain question", false);
    let answer = client::ask(callers, "POST", "/v1/chat/completions", &headers, body)
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.verdict(), Some("ran"));
    let text = answer.json()["choices"][0]["message"]["content"].clone();
    assert_eq!(text, expected("a plain question"));
    let path = "/services/stock/parts/17?depot=3";
    let answer = client::ask(callers, "GET", path, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.json()["done"], "GET /parts/17?depot=3");
}
