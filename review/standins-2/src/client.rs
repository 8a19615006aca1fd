//! Clients of a route, which connect by way of the platform.

use std::{
    collections::HashMap,
    io::{BufReader, ErrorKind},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use crate::{
    deploy::Deployment,
    http,
    record::{sleep, Record},
};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
const DEADLINE_MS: u64 = 4000;
/// A path of the route for requests that may not be repeated.
pub const PATH: &str = "/puxa403/x";

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub at: u64,
}

/// The requests that clients have sent, by id, and how they were answered.
#[derive(Clone, Default)]
pub struct Traffic {
    pub sent: Arc<Mutex<HashMap<String, Sent>>>,
    pub statuses: Arc<Mutex<HashMap<u16, u64>>>,
    is_over: Arc<AtomicBool>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn next_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

impl Traffic {
    /// Starts clients that send safe requests one after another, each over a new connection.
    pub fn start(deployment: &Deployment, clients: usize, pause_ms: u64) -> Self {
        let traffic = Self::default();
        let edges = deployment.edges.len();
        let addresses: Vec<_> = (0..edges).map(|i| deployment.frontend(i)).collect();
        for client in 0..clients {
            let (traffic, addresses) = (traffic.clone(), addresses.clone());
            let (ready, record) = (deployment.ready(), deployment.record.clone());
            std::thread::spawn(move || {
                let mut turn = client;
                while !traffic.is_over.load(Ordering::SeqCst) {
                    turn += 1;
                    let usable = usable(&ready.lock().unwrap());
                    let edge = usable[turn % usable.len()];
                    traffic.request(edge, addresses[edge], &record);
                    sleep(pause_ms);
                }
            });
        }
        traffic
    }

    fn request(&self, edge: usize, to: SocketAddr, record: &Record) {
        let id = next_id();
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
            ("X-Api-Key", KEY),
        ];
        let at = record.note(&format!("sent to edge {edge} {id}"));
        self.sent.lock().unwrap().insert(id.clone(), Sent { at });
        let within = Duration::from_millis(DEADLINE_MS);
        let answer = http::call(to, "GET /cufi504/x HTTP/1.1", &headers, b"", within);
        let status = answer.map_or(0, |answer| answer.status());
        record.note(&format!("answered {id} {status}"));
        *self.statuses.lock().unwrap().entry(status).or_default() += 1;
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Returns the numbers of answers by status; 0 stands for none.
    pub fn summary(&self) -> String {
        let statuses = self.statuses.lock().unwrap();
        let mut rows: Vec<_> = statuses.iter().map(|(s, n)| format!("{s}: {n}")).collect();
        rows.sort();
        rows.join(", ")
    }
}

/// How a single request ended, as its client saw it.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    pub edge: usize,
    /// When its last byte was written.
    pub sent: u64,
    pub at: u64,
    /// The status, or `None` if the connection closed without an answer.
    pub status: Option<u16>,
    /// Whether the client gave up at its deadline.
    pub is_late: bool,
}

/// Sends one request that may not be repeated, and waits for its answer until its deadline.
pub fn post(edge: usize, to: SocketAddr, deadline_ms: u64, record: &Record) -> Option<Ended> {
    let mut connection = connect(to)?;
    let body = (PATH, &[b'x'; 600][..]);
    post_over(&mut connection, edge, deadline_ms, body, record)
}

/// Opens a connection.
pub fn connect(to: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(BufReader::new(stream))
}

/// Does what [`post`] does over a connection. Returns `None` if the request was not written whole.
pub fn post_over(
    connection: &mut BufReader<TcpStream>,
    edge: usize,
    deadline_ms: u64,
    (path, body): (&str, &[u8]),
    record: &Record,
) -> Option<Ended> {
    let id = next_id();
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
        ("X-Api-Key", KEY),
    ];
    let stream = connection.get_mut();
    let first = format!("POST {path} HTTP/1.1");
    http::write(stream, &first, &headers, body).ok()?;
    let sent = record.note(&format!(
        "sent to edge {edge} {id}, POST {path}, {} bytes",
        body.len()
    ));
    stream
        .set_read_timeout(Some(Duration::from_millis(deadline_ms)))
        .ok()?;
    let answer = http::read(connection);
    let is_late = matches!(&answer, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
    let status = answer.ok().flatten().map(|answer| answer.status());
    let how = match (status, is_late) {
        (Some(status), _) => status.to_string(),
        (None, true) => "deadline passed".to_owned(),
        (None, false) => "connection closed without an answer".to_owned(),
    };
    let at = record.note(&format!("ended {id}: {how}"));
    Some(Ended {
        id,
        edge,
        sent,
        at,
        status,
        is_late,
    })
}

/// Returns the machines that get connections: those that are ready, or all if none is.
fn usable(ready: &[bool]) -> Vec<usize> {
    let usable: Vec<_> = (0..ready.len()).filter(|i| ready[*i]).collect();
    if usable.is_empty() {
        return (0..ready.len()).collect();
    }
    usable
}
