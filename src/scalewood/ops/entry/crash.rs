//! Requests during which endpoints crashed: checks whether an endpoint has crashed, and tells which
//! requests are held back. `exchange` shares the records with the voters.

use std::{
    collections::BTreeSet,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, OnceLock,
    },
    time::Duration,
};

use hyper::{http::request, Method};
use tokio::net::TcpStream;

use crate::{
    core::{
        crash,
        fingerprint::{Checksum, Fingerprint, Head, HeadHash},
        name, registry,
    },
    event,
    ops::entry::{now, payload::Payload, reach, Shared},
    util::{clock::Clock as _, lock::lock},
};

/// When an endpoint that broke off an answer is probed again if it still accepted a connection: on
/// a busy machine the listener of a process that ends closes later than its connections.
const LATER_PROBES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(100)];
/// How long to wait for a connection to an endpoint that broke off an answer. A port without a
/// listener refuses a connection within one round trip, also between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// How long to wait for failures at other endpoints, which start a check of this box's links, before an
/// end is recorded.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// After what time the caller of a request that is held back may send it again as long as it has not
/// been tried once more.
const RETRY_BEFORE_TRIAL: Duration = Duration::from_secs(30);

/// The parts of a caller's request by which equal requests are recognised.
#[derive(Clone, Debug)]
pub(super) struct Content(Arc<Request>);

/// The shared data of a [`Content`].
#[derive(Debug)]
struct Request {
    team: name::Team,
    method: Method,
    /// Path and query.
    target: String,
    body: Payload,
    /// The hash of all but the body's content. Computed at first use, as is the fingerprint.
    head: OnceLock<HeadHash>,
    fingerprint: OnceLock<Fingerprint>,
    /// Whether it was sent to an endpoint as a trial.
    on_trial: AtomicBool,
}

impl Content {
    pub(super) fn new(team: &name::Team, head: &request::Parts, body: Payload) -> Self {
        let target = head.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        Self(Arc::new(Request {
            team: team.clone(),
            method: head.method.clone(),
            target: target.to_owned(),
            body,
            head: OnceLock::new(),
            fingerprint: OnceLock::new(),
            on_trial: AtomicBool::new(false),
        }))
    }

    /// Returns the hash of the team, method, target and length of the body.
    fn head(&self) -> HeadHash {
        let request = &self.0;
        let hash = || {
            let head = Head {
                team: request.team.as_str(),
                method: request.method.as_str(),
                target: &request.target,
            };
            HeadHash::of(&head, request.body.len())
        };
        *request.head.get_or_init(hash)
    }

    /// Returns the checksum, which covers the body.
    fn checksum(&self) -> Checksum {
        Checksum::of_blocks(self.head(), self.0.body.blocks())
    }

    /// Returns the fingerprint, which covers the body.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let compute = || Fingerprint::of_blocks(self.head(), self.0.body.blocks());
        *self.0.fingerprint.get_or_init(compute)
    }
}

/// The endpoint that a request was sent to, with its start and address as known at that time.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) endpoint: name::Endpoint,
    pub(super) start: registry::Start,
    pub(super) address: SocketAddr,
    /// When it was sent there.
    pub(super) sent_at: Duration,
}

/// Checks whether an endpoint that broke off a request has crashed, and records it if so, unless the
/// request has completed recently. If the endpoint still accepts connections, it is probed again
/// later, without delaying the caller's retry.
pub(super) async fn record_if_crashed(
    board: &Shared,
    content: &Content,
    request: &str,
    (service, target): (&name::Service, &Target),
) {
    let broke_at = now(board);
    match probe(target.address).await {
        Probe::Refused => {
            tokio::time::sleep(SETTLE_TIME).await;
            // Over a link that is cut, each endpoint may refuse connections.
            if !reach::is_found_lost(board, service).await {
                record_crash(board, content, request, target, broke_at);
            }
        }
        Probe::Unanswered => {}
        Probe::Accepted => {
            let (board, content) = (board.clone(), content.clone());
            let (request, target) = (request.to_owned(), target.clone());
            let service = service.clone();
            tokio::spawn(async move {
                for delay in LATER_PROBES {
                    tokio::time::sleep(delay).await;
                    if probe(target.address).await == Probe::Refused
                        && !reach::is_found_lost(&board, &service).await
                    {
                        record_crash(&board, &content, &request, &target, broke_at);
                        return;
                    }
                }
            });
        }
    }
}

/// Records that an endpoint crashed under a request at the time when it broke off the answer.
fn record_crash(
    board: &Shared,
    content: &Content,
    request: &str,
    target: &Target,
    broke_at: Duration,
) {
    let is_harmless = lock(&board.completions).is_recent(content.checksum(), broke_at);
    let fingerprint = content.fingerprint();
    event!(board.log, EndpointEnded, "endpoint" => %target.endpoint, "request" => request,
        "incarnation" => target.start.map(|start| start.0), "fingerprint" => %fingerprint,
        "completed_recently" => is_harmless);
    if is_harmless {
        return;
    }
    let unix_ms = lock(&board.wall_clock).unix_ms(board.clock.unix_ms(), broke_at);
    let ran = broke_at.saturating_sub(target.sent_at);
    let end = crash::End {
        id: crash::Id::new(&target.endpoint, target.start, unix_ms),
        endpoint: target.endpoint.clone(),
        at_unix_ms: unix_ms,
        ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
    };
    update(board, |book| book.record_end(fingerprint, end, broke_at));
}

/// Merges a voter's records of requests during which endpoints crashed.
pub(super) fn merge(board: &Shared, rows: Vec<crash::Row>) {
    if rows.is_empty() {
        return;
    }
    let now = now(board);
    update(board, |book| {
        for row in rows {
            book.merge(row, false, now);
        }
    });
}

/// Records that a request ran to completion, which clears the crashes recorded for it. Most
/// requests have none.
pub(super) fn record_completed(board: &Shared, content: &Content) {
    lock(&board.completions).record(content.checksum(), now(board));
    if is_known(board, content) {
        let fingerprint = content.fingerprint();
        let now = now(board);
        update(board, |book| book.clear(&fingerprint, now));
    }
}

/// Returns whether a request is held back, and records its arrival if so. One that may be tried now
/// is not, but [`may_send`] decides.
pub(super) fn is_held_back(board: &Shared, content: &Content) -> bool {
    if !is_known(board, content) {
        return false;
    }
    let fingerprint = content.fingerprint();
    let now = now(board);
    let mut book = lock(&board.crashes);
    let is_held_back =
        book.is_held_back(&fingerprint) && !book.may_try(&fingerprint, &trials(board), now);
    if is_held_back {
        book.record_arrival(&fingerprint, now);
    }
    is_held_back
}

/// Returns whether a request may be sent to an endpoint now: if it is not held back, or as a trial.
pub(super) fn may_send(board: &Shared, content: &Content) -> bool {
    if !is_known(board, content) {
        return true;
    }
    let fingerprint = content.fingerprint();
    let on_trial = &content.0.on_trial;
    if on_trial.load(Ordering::Relaxed) || !lock(&board.crashes).is_held_back(&fingerprint) {
        return true;
    }
    let now = now(board);
    let trials = trials(board);
    let is_begun = update(board, |book| book.begin_trial(&fingerprint, &trials, now));
    if is_begun {
        on_trial.store(true, Ordering::Relaxed);
        event!(board.log, TrialBegun, "fingerprint" => %fingerprint);
    } else {
        lock(&board.crashes).record_arrival(&fingerprint, now);
    }
    is_begun
}

/// Returns after what time the caller of a request that is held back may send it again.
pub(super) fn retry_after(board: &Shared, content: &Content) -> Duration {
    if lock(&board.crashes).has_trial_left(&content.fingerprint()) {
        RETRY_BEFORE_TRIAL
    } else {
        crash::RETENTION
    }
}

fn trials(board: &Shared) -> crash::Trials {
    let boxes = board.box_count.load(Ordering::Relaxed);
    crash::Trials::new(board.own.name.clone(), boxes)
}

/// Returns the fingerprint of a request for the log, if the crash book may know the request.
pub(super) fn known_fingerprint(board: &Shared, content: &Content) -> Option<String> {
    is_known(board, content).then(|| content.fingerprint().to_string())
}

/// Returns whether the crash book may know a request, by the hash of its head. The fingerprint is
/// computed only then: for a body of 4 MiB it takes about 3 ms of a core, and almost no request
/// is known.
fn is_known(board: &Shared, content: &Content) -> bool {
    if lock(&board.crashes).is_empty() {
        return false;
    }
    let head = content.head();
    lock(&board.crashes).knows_head(head)
}

/// Applies a change to the crash book and logs the requests that are held back from now on. If
/// there are any, wakes the waiting requests, which then check whether they are held back.
fn update<T>(board: &Shared, act: impl FnOnce(&mut crash::Book) -> T) -> T {
    let mut book = lock(&board.crashes);
    let before: BTreeSet<_> = book.held_back().map(|(known, _)| *known).collect();
    let result = act(&mut book);
    let added = book
        .held_back()
        .filter(|(known, _)| !before.contains(known));
    let added: Vec<_> = added.map(|(known, ends)| (*known, ends.to_vec())).collect();
    let (_, count) = book.counts();
    drop(book);
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    board.metrics.held_back.set(count);
    for (fingerprint, ends) in &added {
        let end = |end: &crash::End| format!("{}@{}", end.endpoint, end.at_unix_ms);
        let ends: Vec<_> = ends.iter().map(end).collect();
        event!(board.log, RequestHeldBack, "fingerprint" => %fingerprint,
            "ends" => ends.join(" "));
    }
    if !added.is_empty() {
        board.held_back.send_modify(|changes| *changes += 1);
    }
    result
}

/// The answer of an address to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// Nothing listens there: the endpoint has crashed.
    Refused,
    /// The endpoint still runs, or is about to end.
    Accepted,
    /// It can't be reached, so nothing is known of it.
    Unanswered,
}

async fn probe(address: SocketAddr) -> Probe {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(_)) | Err(_) => Probe::Unanswered,
    }
}
