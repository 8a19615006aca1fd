//! What else happens while a sound endpoint pauses with answers under way, with real processes: changes of
//! the configuration, a signal to reload the settings, heartbeats that stop.

use std::time::Duration;

use http_body_util::BodyExt as _;
use scalewood::core::{registry::State, route::Routing};

use crate::support::{
    client, deploy,
    routed::{routing, text, Endpoint, Script, System, EVENTS, HOST, KEY},
};

/// How long streams run before the pause begins.
const BEFORE: Duration = Duration::from_millis(250);

/// Starts a system with one voter and one endpoint.
async fn start(routing: &Routing, dir: &std::path::Path) -> (System, Endpoint) {
    let system = System::start(1, dir);
    assert_eq!(system.publish(&text(routing)).await, 200);
    let endpoint = Endpoint::start("i-0", (system.host, 9000).into()).await;
    endpoint.set_script(Script {
        pause: Duration::from_millis(100),
        ..Script::default()
    });
    system.announce(0, &endpoint.record(1, State::Ready)).await;
    system.wait_served().await;
    (system, endpoint)
}

/// Calls a route with a long deadline. Returns the status and the body, if it came whole.
async fn call(system: &System, method: &str, path: &str) -> Result<(u16, String), String> {
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", path),
        ("scalewood-deadline-ms", "14000"),
    ];
    let opened = client::Connection::open(system.callers()).await;
    let mut connection = opened.map_err(|error| error.to_string())?;
    let sent = connection.send_to(HOST, method, path, &headers, "a body");
    let (parts, body) = sent.await.map_err(|error| error.to_string())?.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    Ok((parts.status.as_u16(), body))
}

/// Calls a route once the endpoint pauses.
async fn call_late(system: &System, method: &str, path: &str) -> Result<(u16, String), String> {
    tokio::time::sleep(BEFORE + Duration::from_millis(50)).await;
    call(system, method, path).await
}

/// Returns whether a stream came whole.
fn is_whole(answer: &Result<(u16, String), String>) -> bool {
    let last = format!("piece {}\n\n", EVENTS - 1);
    matches!(answer, Ok((200, body)) if body.ends_with(&last))
}

/// Guards against answers that end since their route is dropped, or its time or that of connections is
/// shortened, or the settings are reloaded, while their sound endpoint pauses.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_ends_for_a_change_of_the_configuration_while_its_endpoint_pauses() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint) = start(&routing(7), dir.path()).await;
    let changes = async {
        tokio::time::sleep(BEFORE).await;
        endpoint.set_paused(true);
        tokio::time::sleep(Duration::from_millis(250)).await;
        let mut shorter = routing(8);
        for route in shorter.routes.values_mut() {
            route.timeout_ms = 300;
        }
        shorter.limits.idle_ms = 100;
        shorter.limits.head_ms = 100;
        assert_eq!(system.publish(&text(&shorter)).await, 200);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut none = routing(9);
        none.routes.clear();
        assert_eq!(system.publish(&text(&none)).await, 200);
        system.entry.as_ref().unwrap().signal("HUP");
        tokio::time::sleep(Duration::from_millis(1500)).await;
        endpoint.set_paused(false);
    };
    let (stream, post, ()) = tokio::join!(
        call(&system, "POST", "/stream/changed"),
        call_late(&system, "POST", "/unsafe/changed"),
        changes
    );
    assert!(is_whole(&stream), "{stream:?}");
    assert!(matches!(post, Ok((200, _))), "{post:?}");
}

/// Guards against answers that end since their endpoint is forgotten: it pauses for so long that its
/// heartbeats are missed.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_ends_as_its_paused_endpoint_is_forgotten() {
    let dir = tempfile::tempdir().unwrap();
    let mut long = routing(7);
    for route in long.routes.values_mut() {
        route.timeout_ms = 14_000;
    }
    let (system, endpoint) = start(&long, dir.path()).await;
    let pause = async {
        tokio::time::sleep(BEFORE).await;
        endpoint.set_paused(true);
        deploy::wait("the endpoint is forgotten", || async {
            system.known_endpoints().await == 0.0
        })
        .await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        endpoint.set_paused(false);
    };
    let (stream, post, ()) = tokio::join!(
        call(&system, "POST", "/stream/forgotten"),
        call_late(&system, "POST", "/unsafe/forgotten"),
        pause
    );
    assert!(is_whole(&stream), "{stream:?}");
    assert!(matches!(post, Ok((200, _))), "{post:?}");
}
