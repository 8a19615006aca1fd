//! Callers that close their connection: work that was begun for them is cancelled, and no more is
//! begun.

use std::time::{Duration, Instant};

use crate::support::{
    client, deploy,
    routed::{seen, serving, Act, Endpoint, System, HOST},
};

/// The number of callers that leave before their requests are read. Without a check of the
/// connection, one in eight of these requests is served.
const UNREAD_CALLERS: usize = 64;
/// The time within which the work for a caller ends after the caller has left.
const END_WITHIN: Duration = Duration::from_millis(500);

fn running(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::running).sum()
}

/// Sends a request over a new connection and closes it once an endpoint runs the request.
async fn send_and_leave(
    system: &System,
    endpoints: &[Endpoint],
    method: &'static str,
    path: &'static str,
) {
    let callers = system.callers();
    let sent = tokio::spawn(async move {
        let mut connection = client::Connection::open(callers).await.unwrap();
        let headers = [("authorization", "Bearer key-1")];
        let response = connection.send_to(HOST, method, path, &headers, "").await;
        // For a stream the response head arrives; the connection stays open for the rest.
        let _held = response;
        std::future::pending::<()>().await;
    });
    deploy::wait("an endpoint runs the request", || async {
        running(endpoints) == 1
    })
    .await;
    sent.abort();
    let _ = sent.await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_a_caller_that_left_ends_at_once_and_is_not_begun_elsewhere() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(2, dir.path()).await;
    let cases = [
        ("GET", "/safe/left", Act::Hang),
        ("POST", "/stream/left", Act::Hang),
        ("POST", "/stream/midway", Act::StallAfter(2)),
        ("POST", "/sresume/midway", Act::StallAfter(2)),
    ];
    for (method, path, act) in cases {
        for endpoint in &endpoints {
            endpoint.next(act);
        }
        send_and_leave(&system, &endpoints, method, path).await;
        let since = Instant::now();
        deploy::wait("the work has ended", || async { running(&endpoints) == 0 }).await;
        assert!(
            since.elapsed() < END_WITHIN,
            "{path}: {:?}",
            since.elapsed()
        );
        // Long enough for another attempt to reach an endpoint, if one were made.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(seen(&endpoints, path), 1, "{path}");
        endpoints.iter().for_each(Endpoint::answer_correctly);
    }
}

/// Returns whether all threads of a process are stopped.
fn is_stopped(process: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).unwrap();
    let stats = threads.map(|t| std::fs::read_to_string(t.unwrap().path().join("stat")).unwrap());
    // The state follows the name, which is in parentheses.
    stats
        .into_iter()
        .all(|stat| stat.rsplit_once(") ").unwrap().1.starts_with('T'))
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_reaches_an_endpoint_for_a_caller_that_left_unread() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = serving(1, dir.path()).await;
    let entry = system.entry.as_ref().unwrap();
    // A stopped box reads nothing, and its callers close their connections.
    entry.signal("STOP");
    deploy::wait("the box is stopped", || async { is_stopped(entry.id()) }).await;
    for i in 0..UNREAD_CALLERS {
        let stream = std::net::TcpStream::connect(system.callers()).unwrap();
        let request = format!(
            "GET /safe/unread HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer key-1\r\n\
             scalewood-id: u{i}\r\n\r\n"
        );
        std::io::Write::write_all(&mut &stream, request.as_bytes()).unwrap();
    }
    // On a busy machine the kernel delivers the data and the closing a moment later.
    tokio::time::sleep(Duration::from_millis(200)).await;
    entry.signal("CONT");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let begun = endpoints[0]
        .seen()
        .into_iter()
        .filter(|seen| seen.path == "/safe/unread");
    let begun: Vec<_> = begun
        .map(|seen| seen.headers["scalewood-id"].clone())
        .collect();
    let log = std::fs::read_to_string(dir.path().join("e1.log")).unwrap();
    let lines: Vec<_> = log.lines().rev().take(20).collect();
    assert!(
        begun.is_empty(),
        "{begun:?}; end of the log, newest line first: {lines:#?}"
    );
    assert_eq!(running(&endpoints), 0);
    system.wait_served().await;
}
