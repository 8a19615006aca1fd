//! Invalid requests, floods and callers that leave: each gets a clear error, and no slot is lost.

use std::time::Duration;

use http_body_util::BodyExt as _;
use scalewood::core::registry::State;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::{
    path::expected,
    support::{
        client::{self, ask, bearer, chat},
        deploy::{self, Deployment, Plan},
        routed::{routing, text, Endpoint, System},
    },
};

const CHAT: &str = "/v1/chat/completions";

/// Returns a plan of one engine with a single slot, so that a lost slot fails the next request.
fn single_slot() -> Plan {
    Plan {
        boxes: vec![1],
        slots: 1,
        ..Plan::default()
    }
}

async fn assert_served(deployment: &Deployment, prompt: &str) {
    let token = bearer(deploy::TEAM);
    let headers = [("authorization", token.as_str())];
    let body = chat(deploy::MODEL, prompt, false);
    let answer = ask(deployment.entries[0].callers, "POST", CHAT, &headers, body)
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    assert_eq!(
        answer.json()["choices"][0]["message"]["content"],
        expected(prompt)
    );
}

/// A description, the method, path, headers and body, and the expected status and error code.
type Case<'a> = (
    &'a str,
    &'a str,
    &'a str,
    Vec<(&'a str, &'a str)>,
    &'a str,
    u16,
    &'a str,
);

#[tokio::test(flavor = "multi_thread")]
async fn wrong_requests_are_refused_as_not_run() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(single_slot(), dir.path()).await;
    let callers = deployment.entries[0].callers;
    let good = bearer(deploy::TEAM);
    let ran = deployment.runs(0).len();
    let big = "x".repeat(65 * 1024);
    let unknown = chat("no-such-model", "hello", false);
    let hello = chat(deploy::MODEL, "hello", false);
    let cases: Vec<Case<'_>> = vec![
        (
            "no token",
            "POST",
            CHAT,
            vec![],
            &hello,
            401,
            "unauthorised",
        ),
        (
            "a wrong token",
            "POST",
            CHAT,
            vec![("authorization", "Bearer no")],
            &hello,
            401,
            "unauthorised",
        ),
        (
            "no JSON",
            "POST",
            CHAT,
            vec![("authorization", &good)],
            "{",
            400,
            "bad-request",
        ),
        (
            "no model",
            "POST",
            CHAT,
            vec![("authorization", &good)],
            "{}",
            400,
            "bad-request",
        ),
        (
            "an odd stream",
            "POST",
            CHAT,
            vec![("authorization", &good)],
            "{\"model\":\"catalogue\",\"stream\":1}",
            400,
            "bad-request",
        ),
        (
            "an unknown model",
            "POST",
            CHAT,
            vec![("authorization", &good)],
            &unknown,
            404,
            "unknown-model",
        ),
        (
            "an unknown class",
            "POST",
            CHAT,
            vec![("authorization", &good), ("scalewood-class", "royal")],
            &hello,
            403,
            "unknown-class",
        ),
        (
            "an unknown service",
            "GET",
            "/services/nothing/x",
            vec![("authorization", &good)],
            "",
            404,
            "unknown-service",
        ),
        (
            "a model as a service",
            "GET",
            "/services/lm/x",
            vec![("authorization", &good)],
            "",
            404,
            "unknown-service",
        ),
        (
            "an unknown path",
            "GET",
            "/v2/chat",
            vec![("authorization", &good)],
            "",
            404,
            "unknown-path",
        ),
        (
            "a wrong method",
            "GET",
            CHAT,
            vec![("authorization", &good)],
            "",
            405,
            "bad-method",
        ),
        (
            "a large body",
            "POST",
            CHAT,
            vec![("authorization", &good)],
            &big,
            413,
            "large-body",
        ),
        (
            "an empty key",
            "POST",
            "/services/stock/x",
            vec![("authorization", &good), ("idempotency-key", "")],
            "",
            400,
            "bad-key",
        ),
    ];
    for (what, method, path, headers, body, status, code) in cases {
        let answer = ask(callers, method, path, &headers, body.to_owned())
            .await
            .unwrap();
        assert_eq!(answer.status, status, "{what}: {:?}", answer.json());
        assert_eq!(answer.json()["error"]["code"], code, "{what}");
        assert_eq!(answer.json()["error"]["verdict"], "not-run", "{what}");
        assert_eq!(answer.verdict(), Some("not-run"), "{what}");
    }
    assert_eq!(deployment.runs(0).len(), ran, "a refused request ran");
    assert_served(&deployment, "after all that").await;
}

/// Sends raw bytes and returns all that the box sends until it closes the connection.
async fn send_raw(deployment: &Deployment, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(deployment.entries[0].callers)
        .await
        .unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), read)
        .await
        .expect("the box closes the connection")
        .ok();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn floods_and_half_sent_requests_are_cut_off() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(single_slot(), dir.path()).await;
    let mut flood = String::from("GET /v1/models HTTP/1.1\r\nhost: x\r\n");
    for i in 0..200 {
        flood.push_str(&format!("x-{i}: y\r\n"));
    }
    flood.push_str("\r\n");
    assert!(send_raw(&deployment, flood.as_bytes())
        .await
        .starts_with("HTTP/1.1 431"));
    // The connection of a request head that never ends is closed after the arrival timeout.
    send_raw(&deployment, b"GET /v1/models HTTP/1.1\r\nhost: x\r\n").await;
    let half = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\ncontent-length: 500\r\n\r\n{{\"mod",
        bearer(deploy::TEAM)
    );
    let answer = send_raw(&deployment, half.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
    assert_served(&deployment, "after the floods").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_mid_stream_frees_its_slot() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(single_slot(), dir.path()).await;
    let callers = deployment.entries[0].callers;
    for _ in 0..5 {
        let mut connection = client::Connection::open(callers).await.unwrap();
        let token = bearer(deploy::TEAM);
        let headers = [("authorization", token.as_str())];
        // Such an answer holds the only slot for two minutes.
        let body = chat(deploy::MODEL, "a long report len=60000", true);
        let response = connection.send("POST", CHAT, &headers, body).await.unwrap();
        assert_eq!(response.status(), 200);
        drop(response);
        drop(connection);
    }
    assert_served(&deployment, "the next in line").await;
    // A caller that leaves while it waits for the slot is removed from the queue.
    deploy::wait("all callers that left are counted", || async {
        deployment.metric(0, "scalewood_requests_ended_total{service=\"lm\",class=\"counter\",end=\"caller-left\"").await >= 5.0
    })
    .await;
    assert_eq!(
        deployment.metric(0, "scalewood_invariant_breaches").await,
        0.0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_measures_of_the_users_are_metrics() {
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(single_slot(), dir.path()).await;
    let before = deployment
        .metric(0, "scalewood_requests_attained_total")
        .await;
    let goodput = deployment.metric(0, "scalewood_goodput_tokens_total").await;
    assert_served(&deployment, "one more len=10").await;
    assert_eq!(
        deployment
            .metric(0, "scalewood_requests_attained_total")
            .await,
        before + 1.0
    );
    assert_eq!(
        deployment.metric(0, "scalewood_goodput_tokens_total").await,
        goodput + 10.0
    );
    assert_eq!(deployment.metric(0, "scalewood_config_revision").await, 1.0);
    assert_eq!(deployment.metric(0, "scalewood_ready").await, 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_over_its_limit_is_told_when_to_come_back() {
    use scalewood::core::{
        change::{Edit, Item},
        config, secret, unit,
    };
    let dir = tempfile::tempdir().unwrap();
    let deployment = Deployment::start(single_slot(), dir.path()).await;
    let team = config::Team {
        token_hash: secret::Hash::of("small-token"),
        classes: vec!["lm/counter".parse().unwrap()],
        requests: Some(unit::Rate::try_from(0.5).unwrap()),
        tokens: None,
        allowed: Default::default(),
    };
    deployment
        .apply(
            vec![Edit::Set(Item::Team("small".parse().unwrap(), team))],
            "a small team",
        )
        .await;
    deploy::wait("the team is in force", || async {
        deployment.metric(0, "scalewood_config_revision").await == 2.0
    })
    .await;
    let token = bearer("small-token");
    let headers = [("authorization", token.as_str())];
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let body = chat(deploy::MODEL, "hello", false);
        let answer = ask(deployment.entries[0].callers, "POST", CHAT, &headers, body)
            .await
            .unwrap();
        if answer.status == 429 {
            assert_eq!(answer.verdict(), Some("not-run"));
            assert!(answer.header("retry-after").is_some());
        }
        statuses.push(answer.status);
    }
    assert!(
        statuses.contains(&200) && statuses.contains(&429),
        "{statuses:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_without_descriptors_is_not_ready_and_recovers() {
    let dir = tempfile::tempdir().unwrap();
    // The settings state more descriptors than there are, so that connections are not bounded by them.
    let limits = r#""limits": { "descriptors": 4096 }"#;
    let mut system = System::start_with(1, dir.path(), limits);
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let endpoint = Endpoint::start("i-0", (system.host, 9000).into()).await;
    system.announce(0, &endpoint.record(1, State::Ready)).await;
    system.wait_served().await;
    // The same box is started again with few file descriptors.
    drop(system.entry.take());
    let entry = deploy::programs()
        .join("scalewood-entry")
        .display()
        .to_string();
    let settings = dir.path().join("e1.json").display().to_string();
    let command = r#"ulimit -n 64; exec "$0" --settings "$1""#.to_owned();
    let args = ["-c".to_owned(), command, entry, settings];
    system.entry = Some(deploy::Process::start("e1", "/bin/sh", &args, dir.path()));
    system.wait_served().await;
    let mut health = client::Connection::open(system.health()).await.unwrap();
    let mut callers = Vec::new();
    for _ in 0..128 {
        callers.push(
            tokio::net::TcpStream::connect(system.callers())
                .await
                .unwrap(),
        );
    }
    let health = std::sync::Arc::new(tokio::sync::Mutex::new(&mut health));
    deploy::wait("the box reports that it is not ready", || async {
        let mut health = health.lock().await;
        let asked = health.send("GET", "/readyz", &[], "").await.unwrap();
        let status = asked.status().as_u16();
        let _ = asked.into_body().collect().await;
        status == 503
    })
    .await;
    drop(callers);
    deploy::wait("the box is ready again", || async {
        let ready = client::ask(system.health(), "GET", "/readyz", &[], "").await;
        ready.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    system.wait_served().await;
}
