//! Endpoints whose answers begin with a status that is none of a final answer: no caller gets it.

use scalewood::core::{
    change::{Answer, Edit, Item},
    config,
    registry::{Record, State},
};

use crate::support::{
    client::{self, bearer},
    deploy::{self, Deployment, Plan},
    raw::{self, Connection},
    routed::{beat, routing, text, System},
};

/// The names of bad status lines in paths, with the lines.
const BAD_LINES: [(&str, &str); 9] = [
    ("000", "HTTP/1.1 000 Nothing"),
    ("0", "HTTP/1.1 0 Nothing"),
    ("099", "HTTP/1.1 099 Below"),
    ("101", "HTTP/1.1 101 Switching Protocols"),
    ("600", "HTTP/1.1 600 Above"),
    ("999", "HTTP/1.1 999 Above"),
    ("none", "HTTP/1.1"),
    ("word", "HTTP/1.1 two hundred"),
    ("twice", "HTTP/1.1 000 Nothing\r\nHTTP/1.1 200 OK"),
];

/// Answers each request by the line that the end of its path names, and others properly. `id` names
/// the header that is echoed.
async fn serve(mut connection: Connection, id: &'static str) {
    while let Some(request) = connection.request().await {
        let end = request.path.rsplit('/').next().unwrap_or_default();
        let answer = request.answer(id, 200, "", "body");
        let bad = BAD_LINES.iter().find(|(name, _)| *name == end);
        let answer = bad.map_or(answer.clone(), |(_, line)| {
            let (_, rest) = answer.split_once("\r\n").unwrap();
            format!("{line}\r\n{rest}")
        });
        if !connection.write(answer).await {
            return;
        }
    }
}

/// Calls routes of a system of its own, whose endpoint answers by a bad line.
async fn check_routes((name, line): (&str, &str)) {
    let dir = tempfile::tempdir().unwrap();
    let system = System::start(1, dir.path());
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let address = (system.host, 9000).into();
    let serve = move |connection| serve(connection, "scalewood-id");
    let _listener = raw::listen(address, serve).await;
    let record = Record {
        name: "i-0".parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address,
        slots: scalewood::core::unit::Slots(8),
        state: State::Ready,
        sequence: 1,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
    };
    system.announce(0, &record).await;
    let beats = beat(&system, record, 2);
    system.wait_served().await;
    system.wait_retries().await;
    for (method, route) in [("POST", "unsafe"), ("POST", "stream"), ("GET", "safe")] {
        let path = format!("/{route}/{name}");
        let answer = system.call(method, &path, route).await;
        let answer = answer.unwrap_or_else(|why| panic!("{route}, {line}: {why}"));
        assert_eq!(answer.status, 502, "{route}, {line}: {answer:?}");
        assert_eq!(answer.verdict(), Some("may-have-run"), "{route}, {line}");
        // An endpoint that failed is left alone for a while.
        system.wait_served().await;
    }
    beats.abort();
}

/// Guards against a status such as 600 or 999 that an endpoint sent and a caller of a route got.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_of_a_route_gets_a_status_that_is_none_of_a_final_answer() {
    futures_util::future::join_all(BAD_LINES.map(check_routes)).await;
}

/// Calls a plain service of a deployment of its own, whose endpoints answer by a bad line.
async fn check_own_api((name, line): (&str, &str)) {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![1],
        ..Plan::default()
    };
    let deployment = Deployment::start(plan, dir.path()).await;
    let address = deployment.address(9900);
    let serve = move |connection| serve(connection, "scalewood-request");
    let _listener = raw::listen(address, serve).await;
    let edits = deployment.initial_edits().into_iter();
    let edit = edits.filter_map(|edit| match edit {
        Edit::Set(Item::Endpoint(name, item)) if item.service.as_str() == "stock" => {
            let item = config::Endpoint { address, ..item };
            Some(Edit::Set(Item::Endpoint(name, item)))
        }
        _ => None,
    });
    let answer = deployment.apply(edit.collect(), "another address").await;
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
    let token = bearer(deploy::TEAM);
    let headers = [
        ("authorization", token.as_str()),
        ("scalewood-class", "record"),
    ];
    let callers = deployment.entries[0].callers;
    deploy::wait("the endpoint is called at its new address", || async {
        let asked = client::ask(callers, "POST", "/services/stock/x", &headers, "a body");
        asked.await.is_ok_and(|answer| answer.body == "body")
    })
    .await;
    let path = format!("/services/stock/{name}");
    let answer = client::ask(callers, "POST", &path, &headers, "a body").await;
    let answer = answer.unwrap_or_else(|why| panic!("{line}: {why}"));
    assert_eq!(answer.status, 502, "{line}: {answer:?}");
    assert_eq!(answer.verdict(), Some("may-have-run"), "{line}");
}

/// As before, for scalewood's own API, where a caller got 101 as well.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_of_the_own_api_gets_a_status_that_is_none_of_a_final_answer() {
    let lines = BAD_LINES.into_iter();
    let lines = lines.filter(|(name, _)| ["000", "101", "999"].contains(name));
    futures_util::future::join_all(lines.map(check_own_api)).await;
}
