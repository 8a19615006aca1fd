//! Requests under which endpoints end: finding out, holding them back, and hearing of them.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use hyper::{http::request, Method};
use tokio::net::TcpStream;

use crate::{
    core::{
        crash,
        fingerprint::{Fingerprint, Head, HeadHash},
        name, registry,
    },
    event,
    ops::entry::{now, Shared},
    util::{clock::Clock as _, lock::lock},
};

/// How long an endpoint is waited for that broke off an answer: a port that nobody listens on
/// refuses a connection within the round trip, also between zones.
const PROBE: Duration = Duration::from_millis(150);

/// What a caller sent, as far as it makes two requests the same.
#[derive(Clone, Debug)]
pub(super) struct Content(Arc<Sent>);

#[derive(Debug)]
struct Sent {
    team: name::Team,
    method: Method,
    target: String,
    body: Bytes,
    /// Reckoned only once they are asked for.
    head: OnceLock<HeadHash>,
    fingerprint: OnceLock<Fingerprint>,
}

impl Content {
    pub(super) fn new(team: &name::Team, head: &request::Parts, body: Bytes) -> Self {
        let target = head.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        Self(Arc::new(Sent {
            team: team.clone(),
            method: head.method.clone(),
            target: target.to_owned(),
            body,
            head: OnceLock::new(),
            fingerprint: OnceLock::new(),
        }))
    }

    fn head(&self) -> HeadHash {
        let sent = &self.0;
        let hash = || {
            let head = Head {
                team: sent.team.as_str(),
                method: sent.method.as_str(),
                target: &sent.target,
            };
            HeadHash::of(&head, sent.body.len())
        };
        *sent.head.get_or_init(hash)
    }

    pub(super) fn fingerprint(&self) -> Fingerprint {
        let read = || Fingerprint::of(self.head(), &self.0.body);
        *self.0.fingerprint.get_or_init(read)
    }
}

/// The start of an endpoint that a request was sent to, as it was known then.
#[derive(Clone, Debug)]
pub(super) struct At {
    pub(super) endpoint: name::Endpoint,
    pub(super) start: registry::Start,
    pub(super) address: SocketAddr,
    /// When it was sent there.
    pub(super) sent_at: Duration,
}

/// Finds out whether an endpoint that broke off a request has ended, and notes it if so.
pub(super) async fn note(board: &Shared, content: &Content, request: &str, at: &At) {
    let broke_at = now(board);
    if !has_ended(at.address).await {
        return;
    }
    let fingerprint = content.fingerprint();
    event!(board.log, EndpointEnded, "endpoint" => %at.endpoint, "request" => request,
        "incarnation" => at.start.map(|start| start.0), "fingerprint" => %fingerprint);
    let unix_ms = lock(&board.wall).unix_ms(board.clock.unix_ms(), broke_at);
    let ran = broke_at.saturating_sub(at.sent_at);
    let end = crash::End {
        id: crash::Id::new(&at.endpoint, at.start, unix_ms),
        endpoint: at.endpoint.clone(),
        at_unix_ms: unix_ms,
        ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
    };
    change(board, |book| book.record_end(fingerprint, end, broke_at));
}

/// Takes what a voter tells of requests under which endpoints have ended.
pub(super) fn take(board: &Shared, rows: Vec<crash::Row>) {
    if rows.is_empty() {
        return;
    }
    let now = now(board);
    change(board, |book| {
        for row in rows {
            book.merge(row, false, now);
        }
    });
}

/// Notes that a request was run to its end. Most are never known of.
pub(super) fn finished(board: &Shared, content: &Content) {
    if is_known(board, content) {
        let fingerprint = content.fingerprint();
        let now = now(board);
        change(board, |book| book.clear(&fingerprint, now));
    }
}

/// Whether a request is held back; notes that it came if so.
pub(super) fn is_held_back(board: &Shared, content: &Content) -> bool {
    if !is_known(board, content) {
        return false;
    }
    let fingerprint = content.fingerprint();
    let now = now(board);
    let mut book = lock(&board.crashes);
    let is_held_back = book.is_held_back(&fingerprint);
    if is_held_back {
        book.record_arrival(&fingerprint, now);
    }
    is_held_back
}

/// The fingerprint of a request of which something is known, for the log.
pub(super) fn known_fingerprint(board: &Shared, content: &Content) -> Option<String> {
    is_known(board, content).then(|| content.fingerprint().to_string())
}

/// Whether anything may be known of a request. Its body is read only then: reading one of 4 MiB
/// takes some 3 ms of a core, and nothing is known of almost all.
fn is_known(board: &Shared, content: &Content) -> bool {
    if lock(&board.crashes).is_empty() {
        return false;
    }
    let head = content.head();
    lock(&board.crashes).knows_head(head)
}

/// Changes what is known; logs the requests that are held back from then on, and wakes those that
/// wait if there are any.
fn change<T>(board: &Shared, act: impl FnOnce(&mut crash::Book) -> T) {
    let mut book = lock(&board.crashes);
    let before: BTreeSet<_> = book.held_back().map(|(known, _)| *known).collect();
    act(&mut book);
    let news = book
        .held_back()
        .filter(|(known, _)| !before.contains(known));
    let news: Vec<_> = news.map(|(known, ends)| (*known, ends.to_vec())).collect();
    let (_, count) = book.counts();
    drop(book);
    let metric = i64::try_from(count).unwrap_or(i64::MAX);
    board.metrics.held_back.set(metric);
    for (fingerprint, ends) in &news {
        let end = |end: &crash::End| format!("{}@{}", end.endpoint, end.at_unix_ms);
        let ends: Vec<_> = ends.iter().map(end).collect();
        event!(board.log, RequestHeldBack, "fingerprint" => %fingerprint,
            "ends" => ends.join(" "));
    }
    if !news.is_empty() {
        board.held_back.send_modify(|changes| *changes += 1);
    }
}

/// Whether nobody listens at an address. An endpoint that broke off one answer and goes on
/// takes the connection, and one that is cut off leaves it unanswered.
async fn has_ended(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
