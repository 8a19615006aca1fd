//! Connections that stop carrying data without being closed or reset, while new ones work.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use scalewood::{
    core::registry::State,
    ops::rpc,
    util::socket,
    wire::registry::{RegistryClient as _, RegistryUpdate},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

use crate::support::{
    client,
    forwarder::{Forwarder, Mode, Port},
    routed::{routing, text, Endpoint, System, HOST, KEY},
};

/// Starts a system with one voter and one endpoint behind a link. The box then keeps `kept` open
/// connections to that endpoint.
async fn start_behind_link(kept: usize, dir: &std::path::Path) -> (System, Endpoint, Forwarder) {
    let system = System::start(1, dir);
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let endpoint = Endpoint::start("i-0", (system.host, 9000).into()).await;
    let link = Forwarder::start((system.host, 9500).into(), endpoint.address).await;
    let mut record = endpoint.record(1, State::Ready);
    record.address = (system.host, 9500).into();
    system.announce(0, &record).await;
    system.wait_served().await;
    let calls = (0..kept).map(|i| {
        let path = format!("/stream/{i}");
        let system = &system;
        async move { system.call("POST", &path, "kept").await.unwrap().status }
    });
    let answered = futures_util::future::join_all(calls).await;
    assert_eq!(answered, vec![200; kept]);
    (system, endpoint, link)
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_finds_out_that_kept_connections_are_silent() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, link) = start_behind_link(4, dir.path()).await;
    link.silence();
    // The first request waits for a second before it is sent over a new connection. The requests
    // after it use new connections at once.
    let first = system.call("GET", "/safe/first", "first").await.unwrap();
    assert_eq!(first.status, 200);
    for i in 0..4 {
        let path = format!("/unsafe/{i}");
        let since = Instant::now();
        let answer = system.call("POST", &path, "after").await.unwrap();
        assert_eq!(answer.status, 200, "{path}");
        assert!(since.elapsed() < Duration::from_millis(500), "{path}");
    }
    let ran = endpoint
        .seen()
        .into_iter()
        .filter(|seen| seen.path.starts_with("/unsafe/"));
    assert_eq!(ran.count(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_subscribes_anew_is_counted_once() {
    let dir = tempfile::tempdir().unwrap();
    let system = System::start(1, dir.path());
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let mut followers = Vec::new();
    for round in 1..=3 {
        // The earlier connections stay open, as silent ones do.
        let voter = rpc::connect(system.voter_listen(0)).await.unwrap();
        let mut news = voter.follow("e9".parse().unwrap()).await.unwrap();
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let RegistryUpdate { followers, .. } = news.next().await.unwrap().unwrap();
            // The system's entry box is the other follower.
            if followers == 2 {
                break;
            }
            assert!(Instant::now() < until, "{followers} in round {round}");
        }
        followers.push((voter, news));
    }
}

/// Guards against requests that count as possibly run, so that their callers may not send them again,
/// though their time ended before the connection to the endpoint opened.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_ends_before_its_connection_opens_did_not_run() {
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoint, link) = start_behind_link(0, dir.path()).await;
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", "late"),
        ("scalewood-deadline-ms", "600"),
    ];
    link.set_connected(false);
    link.set_port(Port::Hangs);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let answer = connection
        .send_to(HOST, "POST", "/unsafe/late", &headers, "a body")
        .await
        .unwrap();
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers()["scalewood-verdict"], "not-run");
}

/// The length of a body that fits into no buffer of a socket that is not read.
const LONG_BODY: usize = 3 << 20;

/// Guards against requests that are lost since their sound endpoint reads none of a long body for some
/// seconds: on Linux the time without acknowledgement also bounds how long a peer may keep its receive
/// window closed, though it answers each probe.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_outlasts_an_endpoint_that_reads_nothing_for_seconds() {
    const PAUSE: Duration = Duration::from_millis(2500);
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, link) = start_behind_link(0, dir.path()).await;
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", "long"),
        ("scalewood-deadline-ms", "5000"),
    ];
    link.set(Mode::Silent);
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let body = "x".repeat(LONG_BODY);
    let call = connection.send_to(HOST, "POST", "/unsafe/long", &headers, body);
    let pause = async {
        tokio::time::sleep(PAUSE).await;
        link.set(Mode::Whole);
    };
    let (answer, ()) = tokio::join!(call, pause);
    assert_eq!(answer.unwrap().status(), 200);
    let seen = endpoint.seen();
    let seen = seen.iter().filter(|seen| seen.path == "/unsafe/long");
    let lengths: Vec<_> = seen.map(|seen| seen.body.len()).collect();
    assert_eq!(lengths, [LONG_BODY]);
}

/// Guards against long requests that wait for a dead machine until their deadline: connections that carry
/// them have no limit on the time without acknowledgement.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_to_a_dead_machine_fails_soon() {
    const FOUND_WITHIN: Duration = Duration::from_millis(2500);
    let dir = tempfile::tempdir().unwrap();
    let (system, _endpoint, link) = start_behind_link(1, dir.path()).await;
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", "long"),
        ("scalewood-deadline-ms", "5000"),
    ];
    link.set(Mode::Silent);
    link.set_port(Port::Hangs);
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let body = "x".repeat(LONG_BODY);
    let since = Instant::now();
    let call = connection.send_to(HOST, "POST", "/unsafe/dead", &headers, body);
    assert_eq!(call.await.unwrap().status(), 502);
    assert!(since.elapsed() < FOUND_WITHIN, "{:?}", since.elapsed());
}

/// Guards against long requests that are broken off since their sound endpoint accepts no new connection, as one
/// that is about to stop and finishes what it runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_is_finished_by_an_endpoint_that_refuses_new_connections() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoint, link) = start_behind_link(0, dir.path()).await;
    endpoint.set_work_time(Duration::from_secs(2));
    let bearer = format!("Bearer {KEY}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", "long"),
        ("scalewood-deadline-ms", "5000"),
    ];
    let mut connection = client::Connection::open(system.callers()).await.unwrap();
    let body = "x".repeat(LONG_BODY);
    let call = connection.send_to(HOST, "POST", "/unsafe/leaving", &headers, body);
    let close = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        link.set_port(Port::Refuses);
    };
    let (answer, ()) = tokio::join!(call, close);
    assert_eq!(answer.unwrap().status(), 200);
}

/// Guards against connections to sound peers that are closed in the middle of a long request: an answer that
/// begins before the request was read to its end is not taken for the end of the request.
#[tokio::test(flavor = "multi_thread")]
async fn the_rest_of_a_long_request_may_stay_unread_after_its_answer_has_begun() {
    const BUFFER: usize = 16 << 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    // The connections that a listener accepts inherit its buffers.
    SockRef::from(&listener)
        .set_recv_buffer_size(BUFFER)
        .unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let stream = stream.unwrap();
    SockRef::from(&stream).set_send_buffer_size(BUFFER).unwrap();
    let stream = socket::Stream::new(stream, socket::ENDPOINT);
    let (mut peer, _) = listener.accept().await.unwrap();
    let (mut answers, mut requests) = tokio::io::split(stream);
    let written = AtomicUsize::new(0);
    let long = vec![b'x'; LONG_BODY];
    let write = async {
        let mut at = 0;
        while at < long.len() {
            at += requests.write(&long[at..]).await.unwrap();
            written.store(at, Ordering::Relaxed);
        }
    };
    let work = async {
        // The buffers fill before the answer begins.
        tokio::time::sleep(Duration::from_millis(200)).await;
        peer.write_all(b"head").await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let before = written.load(Ordering::Relaxed);
        let mut read = 0;
        while written.load(Ordering::Relaxed) == before {
            read += peer.read(&mut [0; 1024]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        // The peer reads nothing for longer than bytes may stay unacknowledged.
        tokio::time::sleep(socket::ENDPOINT.unacknowledged + Duration::from_secs(1)).await;
        let mut rest = vec![0; LONG_BODY - read];
        peer.read_exact(&mut rest).await.unwrap();
        peer.write_all(b"body").await.unwrap();
    };
    let mut answer = [0; 8];
    let answered = answers.read_exact(&mut answer);
    let ((), (), answered) = tokio::join!(write, work, answered);
    answered.unwrap();
    assert_eq!(answer, *b"headbody");
}

/// Guards against connections to sound peers, boxes included, that are closed as these read none of a long
/// request for longer than bytes may stay unacknowledged; and against later requests over such a connection
/// that find out late that the peer is dead.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_long_request_may_stay_unread() {
    for timeouts in [socket::ENDPOINT, socket::PROCESS] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
        let mut stream = socket::Stream::new(stream.unwrap(), timeouts);
        let (mut peer, _) = listener.accept().await.unwrap();
        let limit = |stream: &socket::Stream| SockRef::from(stream).tcp_user_timeout().unwrap();
        stream.write_all(b"short").await.unwrap();
        assert_eq!(limit(&stream), Some(timeouts.unacknowledged));
        let mut got = vec![0; 5];
        peer.read_exact(&mut got).await.unwrap();
        peer.write_all(b"answer").await.unwrap();
        stream.read_exact(&mut [0; 6]).await.unwrap();

        let wait = timeouts.unacknowledged + Duration::from_secs(2);
        let long = vec![b'x'; LONG_BODY];
        let mut got = vec![0; LONG_BODY];
        let read = async {
            tokio::time::sleep(wait).await;
            peer.read_exact(&mut got).await
        };
        let (written, read) = tokio::join!(stream.write_all(&long), read);
        written.unwrap();
        assert_eq!(read.unwrap(), LONG_BODY);
        assert_eq!(limit(&stream), None);

        peer.write_all(b"answer").await.unwrap();
        stream.read_exact(&mut [0; 6]).await.unwrap();
        stream.write_all(b"short").await.unwrap();
        assert_eq!(limit(&stream), Some(timeouts.unacknowledged));
    }
}

/// Guards against connections that a single lost probe closes: on Linux the time without
/// acknowledgement decides when probes give up, whatever their number. A caller that waits for its answer
/// over a lossy link then loses it.
#[test]
fn no_single_lost_probe_closes_a_connection() {
    for timeouts in [socket::PROCESS, socket::CALLER] {
        let probes = timeouts.unanswered_probes();
        assert!(probes.is_some_and(|probes| probes >= 2), "{timeouts:?}");
    }
    assert_eq!(socket::ENDPOINT.unanswered_probes(), None);
}

/// Guards against requests that are lost, and may not be sent again, since their endpoint was silent for
/// about a second and then went on.
#[test]
fn connections_outlast_an_endpoint_that_is_silent_for_a_second() {
    const LONGEST_SILENCE: Duration = Duration::from_millis(1200);
    /// Callers give a stream up after this long without an event.
    const PATIENCE: Duration = Duration::from_secs(2);
    let unacknowledged = socket::ENDPOINT.unacknowledged;
    assert!(unacknowledged > LONGEST_SILENCE && unacknowledged < PATIENCE);
}
