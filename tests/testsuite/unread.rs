//! Callers that leave an answer unread for some time.

use std::time::{Duration, Instant};

use scalewood::core::registry::State;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use crate::support::{
    deploy,
    routed::{routing, text, Endpoint, Script, System, HOST, KEY},
};

/// The longest pause of the callers: longer than sent bytes may stay unacknowledged.
const PAUSE: Duration = Duration::from_millis(11_500);
/// The length of an event of a stream, and the number of events: more than a box queues for a caller.
const EVENT: usize = 1 << 20;
const EVENTS: usize = 48;

/// Starts a system with one box and an endpoint whose streams fit into no buffer.
async fn start(dir: &std::path::Path) -> (System, Endpoint) {
    let system = System::start(1, dir);
    let mut routing = routing(7);
    for route in routing.routes.values_mut() {
        route.timeout_ms = 30_000;
    }
    assert_eq!(system.publish(&text(&routing)).await, 200);
    let endpoint = Endpoint::start("i-0", (system.host, 9000).into()).await;
    system.announce(0, &endpoint.record(1, State::Ready)).await;
    system.wait_served().await;
    endpoint.set_script(Script {
        events: EVENTS,
        mark: Some("x".repeat(EVENT)),
        ..Script::default()
    });
    (system, endpoint)
}

/// Requests a stream over a connection with a small buffer, and reads nothing of it.
async fn request(system: &System, deadline: Duration) -> TcpStream {
    let mut stream = TcpStream::connect(system.callers()).await.unwrap();
    SockRef::from(&stream)
        .set_recv_buffer_size(32 << 10)
        .unwrap();
    let head = format!(
        "POST /stream/unread HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         scalewood-id: unread\r\nscalewood-deadline-ms: {}\r\ncontent-length: 0\r\n\r\n",
        deadline.as_millis()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Guards against answers that are reset since their caller reads nothing for some seconds, though its
/// deadline is far.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_slowly_has_until_its_deadline() {
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoint) = start(dir.path()).await;
    let mut stream = request(&system, Duration::from_secs(25)).await;
    tokio::time::sleep(PAUSE).await;
    let mut got = Vec::new();
    let end = b"\r\n0\r\n\r\n";
    while !got.ends_with(end) {
        let read = stream.read_buf(&mut got).await;
        assert!(read.is_ok_and(|count| count > 0), "{} bytes", got.len());
    }
    assert!(got.len() > EVENTS * EVENT);
}

/// Guards against runs and connections that are kept for callers that never read their answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_never_read_ends_at_its_deadline() {
    const DEADLINE: Duration = Duration::from_millis(11_500);
    const SLACK: Duration = Duration::from_secs(3);
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint) = start(dir.path()).await;
    let since = Instant::now();
    let mut stream = request(&system, DEADLINE).await;
    deploy::wait("the stream runs", || async { endpoint.running() == 1 }).await;
    deploy::wait("the run ends", || async { endpoint.running() == 0 }).await;
    assert!(since.elapsed() < DEADLINE + SLACK, "{:?}", since.elapsed());
    tokio::time::sleep((DEADLINE + SLACK).saturating_sub(since.elapsed())).await;
    // Only what the caller's own socket holds is left: the box has dropped what it had queued.
    let mut got = Vec::new();
    let _ = stream.read_to_end(&mut got).await;
    assert!(got.len() < EVENT, "{} bytes", got.len());
}
