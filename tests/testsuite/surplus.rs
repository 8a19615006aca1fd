//! Endpoints that send an answer again, late and in the place of the next one due on the same connection, with
//! real processes: whose request an answer is taken for.

use std::{
    collections::HashMap,
    path::Path,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
};

use scalewood::core::{
    change::{self, Edit, Item},
    config,
    registry::{Record, State},
};

use crate::support::{
    client::{self, bearer},
    deploy::{self, Deployment, Plan},
    raw::{self, Connection, Listener, Request},
    routed::{routing, text, System, HOST, KEY},
};

/// The header in which endpoints echo the id of a request.
const ID: &str = "scalewood-id";
/// The header in which endpoints of scalewood's own API name the call that they answer.
const REQUEST: &str = "scalewood-request";
/// The line of an answer to a request that did not run.
const NOT_RUN: &str = "scalewood-verdict: not-run\r\n";

/// How an endpoint answers a request; without an act it runs it and answers with its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// Answers that it did not run the request.
    Refuse,
    /// Runs the request and answers with an error.
    Fail,
    /// Runs the request and answers with its path.
    Serve,
    /// Sends the first two events of a stream and breaks off.
    Break,
}

/// What an endpoint does and has done, over all its connections.
#[derive(Debug, Default)]
struct Endpoint {
    /// What it does with the next requests for a path, in this order. It sends each of these answers again.
    acts: HashMap<String, Vec<Act>>,
    /// The paths of the requests that it ran.
    runs: Vec<String>,
    /// Whether its answers echo no id.
    is_unnamed: bool,
}

type Shared = Arc<Mutex<Endpoint>>;

fn runs(endpoint: &Shared, path: &str) -> usize {
    let endpoint = endpoint.lock().unwrap();
    endpoint.runs.iter().filter(|ran| *ran == path).count()
}

fn plan(endpoint: &Shared, path: &str, acts: &[Act]) {
    let mut endpoint = endpoint.lock().unwrap();
    endpoint.acts.insert(path.to_owned(), acts.to_vec());
}

/// Returns events of a stream of six, from a number on.
fn events(from: usize, until: usize) -> String {
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (from..until).map(event).collect()
}

async fn serve(mut connection: Connection, endpoint: Shared) {
    let mut again: Option<String> = None;
    while let Some(mut request) = connection.request().await {
        if let Some(again) = again.take() {
            if !connection.write(again).await {
                return;
            }
        }
        let act = {
            let mut endpoint = endpoint.lock().unwrap();
            let planned = endpoint.acts.get_mut(&request.path);
            let act = planned.and_then(|acts| (!acts.is_empty()).then(|| acts.remove(0)));
            if act != Some(Act::Refuse) {
                endpoint.runs.push(request.path.clone());
            }
            if endpoint.is_unnamed {
                request.forget(ID);
            }
            act
        };
        let answer = answer(&request, act.unwrap_or(Act::Serve));
        if !connection.write(&answer).await || act == Some(Act::Break) {
            return;
        }
        again = act.is_some().then_some(answer);
    }
}

fn answer(request: &Request, act: Act) -> String {
    let path = &request.path;
    let first = request.header("last-event-id");
    let first = first.map_or(0, |id| id.parse::<usize>().unwrap() + 1);
    match act {
        Act::Refuse => request.answer(ID, 503, NOT_RUN, "full"),
        Act::Fail => request.answer(ID, 500, "", "failed"),
        Act::Break => {
            let whole = request.answer(ID, 200, "", &events(first, 6));
            whole
                .split_at(whole.len() - events(2, 6).len())
                .0
                .to_owned()
        }
        Act::Serve if path.starts_with("/s") && !path.starts_with("/safe") => {
            request.answer(ID, 200, "", &events(first, 6))
        }
        Act::Serve => request.answer(ID, 200, "", path),
    }
}

/// Starts a system with one endpoint, to which the box keeps one connection.
async fn start(dir: &Path) -> (System, Shared, Listener) {
    let system = System::start(1, dir);
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let endpoint = Shared::default();
    let served = endpoint.clone();
    let address = (system.host, 9000).into();
    let listener = raw::listen(address, move |connection| serve(connection, served.clone())).await;
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
    system.wait_served().await;
    system.wait_retries().await;
    (system, endpoint, listener)
}

/// Calls a route without an id.
async fn call_unnamed(system: &System, path: &str) -> client::Answer {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let sent = connection.send_to(HOST, "POST", path, &headers, "a body");
    client::whole(sent.await.unwrap()).await.unwrap()
}

/// Guards against a request that may run once, ran and was answered 503: a refusal that its endpoint sent again
/// was taken for the answer to the next attempt over the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_is_sent_again_does_not_answer_the_next_attempt() {
    for refusals in [1, 2] {
        let dir = tempfile::tempdir().unwrap();
        let (system, endpoint, _listener) = start(dir.path()).await;
        plan(
            &endpoint,
            "/unsafe/full",
            &[Act::Refuse, Act::Refuse][..refusals],
        );
        let answer = system.call("POST", "/unsafe/full", "u").await.unwrap();
        assert_eq!((answer.status, runs(&endpoint, "/unsafe/full")), (200, 1));
        assert_eq!(answer.body, &b"/unsafe/full"[..], "after {refusals}");
    }
}

/// Guards against a caller who gets the answer to an earlier request of the same id, which callers choose.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_sent_again_does_not_answer_a_later_request_of_the_same_id() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/unsafe/first", &[Act::Serve]);
    let first = system.call("POST", "/unsafe/first", "same").await.unwrap();
    assert_eq!(first.body, &b"/unsafe/first"[..]);
    let second = system.call("POST", "/unsafe/second", "same").await.unwrap();
    assert_eq!(second.body, &b"/unsafe/second"[..]);
}

/// Guards against a request that ran and was answered 503 since a refusal of an earlier request of the same id was
/// sent again: boxes that forward a request to another one again send it under its id.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_is_sent_again_does_not_answer_a_later_request_of_the_same_id() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/unsafe/full", &[Act::Refuse; 3]);
    let full = system.call("POST", "/unsafe/full", "full").await.unwrap();
    assert_eq!((full.status, runs(&endpoint, "/unsafe/full")), (503, 0));
    let served = system.call("POST", "/unsafe/full", "full").await.unwrap();
    assert_eq!((served.status, runs(&endpoint, "/unsafe/full")), (200, 1));
}

/// Guards against an endpoint's error, sent again, that takes the place of the answer of the next attempt.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_that_is_sent_again_does_not_answer_the_next_attempt() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/safe/error", &[Act::Fail]);
    let answer = system.call("GET", "/safe/error", "e").await.unwrap();
    assert_eq!(
        (answer.status, &answer.body[..]),
        (200, &b"/safe/error"[..])
    );
}

/// Guards against a stream that is cut although its endpoint goes on with it: a refusal that was sent again was
/// taken for the answer to the attempt that resumes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_is_sent_again_does_not_answer_the_attempt_that_resumes_a_stream() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/sresume/on", &[Act::Break, Act::Refuse]);
    let answer = system.call("POST", "/sresume/on", "r").await.unwrap();
    assert_eq!(String::from_utf8_lossy(&answer.body), events(0, 6));
    assert_eq!(runs(&endpoint, "/sresume/on"), 2);
}

/// Guards against a refusal of another request, by its id, that is taken for the answer to this one.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_another_request_is_not_taken_for_the_answer() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/unsafe/full", &[Act::Refuse; 3]);
    let full = system.call("POST", "/unsafe/full", "full").await.unwrap();
    assert_eq!((full.status, full.verdict()), (503, Some("not-run")));
    for i in 0..3 {
        let path = format!("/unsafe/{i}");
        let answer = system.call("POST", &path, &format!("o{i}")).await.unwrap();
        assert!(matches!(answer.status, 200 | 502), "{}", answer.status);
        assert!(runs(&endpoint, &path) <= 1, "{path} ran twice");
    }
}

/// Guards against an answer that names no request, sent again, that is taken for the answer to another caller's
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_an_id_is_not_taken_for_that_to_a_later_request() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, _listener) = start(dir.path()).await;
    plan(&endpoint, "/unsafe/mine", &[Act::Serve]);
    let mine = call_unnamed(&system, "/unsafe/mine").await;
    assert_eq!((mine.status, &mine.body[..]), (200, &b"/unsafe/mine"[..]));
    let other = call_unnamed(&system, "/unsafe/other").await;
    assert_eq!(
        (other.status, &other.body[..]),
        (200, &b"/unsafe/other"[..])
    );
    // An endpoint that names no request in any answer serves each over a connection of its own.
    endpoint.lock().unwrap().is_unnamed = true;
    for path in ["/safe/third", "/safe/fourth", "/safe/fifth"] {
        plan(&endpoint, path, &[Act::Serve; 2]);
        let answer = system.call("POST", path, path).await.unwrap();
        assert_eq!((answer.status, &answer.body[..]), (200, path.as_bytes()));
    }
    assert_eq!(runs(&endpoint, "/safe/fourth"), 1);
    assert_eq!(runs(&endpoint, "/safe/fifth"), 1);
}

/// An endpoint of scalewood's own API that answers with the path of each call, and sends each answer again in
/// the place of the next one due on the connection.
async fn serve_own_api(
    mut connection: Connection,
    names_calls: bool,
    connections: Arc<AtomicUsize>,
) {
    let header = if names_calls { REQUEST } else { "x-unknown" };
    let mut again: Option<String> = None;
    let mut is_counted = false;
    while let Some(request) = connection.request().await {
        if let Some(again) = again.take() {
            if !connection.write(again).await {
                return;
            }
        }
        // The box polls endpoints over connections of their own.
        if request.path.starts_with("/call") && !std::mem::replace(&mut is_counted, true) {
            connections.fetch_add(1, Ordering::Relaxed);
        }
        let answer = request.answer(header, 200, "", &request.path);
        if !connection.write(&answer).await {
            return;
        }
        again = (!names_calls).then_some(answer);
    }
}

/// Makes calls of a plain service, one after another. Returns their statuses and bodies, and how many connections
/// the box opened for them.
async fn call_own_api(names_calls: bool, paths: &[String]) -> (Vec<(u16, String)>, usize) {
    let dir = tempfile::tempdir().unwrap();
    let plan = Plan {
        boxes: vec![1],
        ..Plan::default()
    };
    let deployment = Deployment::start(plan, dir.path()).await;
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    let address = deployment.address(9900);
    let serve = move |connection| serve_own_api(connection, names_calls, counted.clone());
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
    assert!(
        matches!(answer, change::Answer::Accepted { .. }),
        "{answer:?}"
    );
    let token = bearer(deploy::TEAM);
    let headers = [
        ("authorization", token.as_str()),
        ("scalewood-class", "record"),
    ];
    let callers = deployment.entries[0].callers;
    let call = async |path: &str| {
        let path = format!("/services/stock{path}");
        let answer = client::ask(callers, "POST", &path, &headers, "a call")
            .await
            .unwrap();
        (
            answer.status,
            String::from_utf8_lossy(&answer.body).into_owned(),
        )
    };
    deploy::wait("calls reach the endpoint", || async {
        call("/call/first").await.1 == "/call/first"
    })
    .await;
    let before = connections.load(Ordering::Relaxed);
    let mut answers = Vec::new();
    for path in paths {
        answers.push(call(path).await);
    }
    (answers, connections.load(Ordering::Relaxed) - before)
}

/// Guards against a caller of scalewood's own API who gets the answer to another caller's call: answers that
/// name no call were taken for those to later calls over the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_own_api_that_is_sent_again_does_not_answer_the_next_call() {
    let paths: Vec<_> = (0..6).map(|i| format!("/call/{i}")).collect();
    let (answers, _) = call_own_api(false, &paths).await;
    let expected: Vec<_> = paths.into_iter().map(|path| (200, path)).collect();
    assert_eq!(answers, expected);
}

/// Guards against a new connection for each call to an endpoint that names the calls in its answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_of_own_api_that_names_calls_keeps_its_connections() {
    let paths: Vec<_> = (0..6).map(|i| format!("/call/{i}")).collect();
    let (answers, opened) = call_own_api(true, &paths).await;
    assert!(
        answers.iter().all(|(status, _)| *status == 200),
        "{answers:?}"
    );
    assert_eq!(opened, 0);
}
