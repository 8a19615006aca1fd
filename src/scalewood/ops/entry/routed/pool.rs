//! Keeps connections to endpoints open between requests.
//!
//! A connection belongs to one start of an endpoint, not to an address, since an address may pass
//! to another endpoint. It is reused only if its last answer was read to the end, no data
//! followed, and the endpoint is not about to close it.
//!
//! An endpoint may send an answer again in the place of the next one due on the connection. Only the
//! request's id tells whose answer it is, so a connection carries no two requests of the same id, whether
//! they are attempts of one request, come from another box, or share an id by their callers' choice. A request
//! without an id gets a connection of its own.

use std::{
    collections::HashMap,
    fmt,
    hash::{BuildHasher as _, RandomState},
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use hyper::{body::Incoming, header, HeaderMap, Request, Response};

use crate::{
    core::{name, registry},
    ops::entry::{payload, upstream},
    util::lock::lock,
};

/// The most idle connections that are kept for an endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// How long an idle connection is kept if the endpoint states no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);
/// How long before the endpoint would close an idle connection it is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// The most requests that are sent over a connection, which remembers the ids of all of them.
const MAX_REQUESTS: usize = 256;

/// A connection, numbered among all that this process has opened to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Serial(u64);

impl Serial {
    fn next() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        Self(LAST.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

impl fmt::Display for Serial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Id(u64);

/// The connection over which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Use {
    pub(super) serial: Serial,
    /// The number of requests that were sent over the connection before.
    pub(super) earlier: usize,
}

/// A connection to one start of an endpoint.
#[derive(Debug)]
pub(super) struct Sender {
    start: registry::Start,
    requests: upstream::Sender,
    serial: Serial,
    /// The ids of the requests that were sent over it; `None` for one without.
    sent: Vec<Option<Id>>,
}

impl Sender {
    /// Wraps a new connection.
    pub(super) fn new(start: registry::Start, requests: upstream::Sender) -> Self {
        Self {
            start,
            requests,
            serial: Serial::next(),
            sent: Vec::new(),
        }
    }

    /// Returns the start of the endpoint to which the connection was made.
    pub(super) fn start(&self) -> registry::Start {
        self.start
    }

    /// Records that a request with this id is about to be sent, and returns its use of the connection.
    pub(super) fn begin_use(&mut self, id: Option<Id>) -> Use {
        let earlier = self.sent.len();
        self.sent.push(id);
        Use {
            serial: self.serial,
            earlier,
        }
    }

    /// Returns whether a request with this id may be sent.
    fn is_free_for(&self, id: Id) -> bool {
        !self.sent.contains(&Some(id))
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    /// Since when it has been idle.
    since: Duration,
    /// Until when it may be used.
    until: Duration,
}

/// The idle connections by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    idle: Arc<Mutex<HashMap<name::Endpoint, Vec<Idle>>>>,
    hasher: RandomState,
}

impl Pool {
    /// Returns the hash of a request's id.
    pub(super) fn id(&self, text: &str) -> Id {
        Id(self.hasher.hash_one(text))
    }

    /// Returns a usable idle connection to a start of an endpoint that has carried no request with this id, if
    /// there is one. Closes the unusable ones that it finds before it, such as those to other starts.
    pub(super) fn take(
        &self,
        (endpoint, start): (&name::Endpoint, registry::Start),
        id: Id,
        now: Duration,
    ) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(endpoint)?;
        for i in (0..kept.len()).rev() {
            let Idle { sender, until, .. } = &kept[i];
            if sender.start != start || *until <= now || !sender.requests.is_ready() {
                kept.remove(i);
            } else if sender.is_free_for(id) {
                return Some(kept.remove(i).sender);
            }
        }
        None
    }

    /// Closes the connections to an endpoint that have been idle since before a time. A request
    /// sent at that time got no response, so connections that were idle then may be dead too. Each
    /// would cost a request to find out, and a request that may run only once would be lost.
    pub(super) fn forget(&self, endpoint: &name::Endpoint, before: Duration) {
        if let Some(kept) = lock(&self.idle).get_mut(endpoint) {
            kept.retain(|connection| connection.since > before);
        }
    }

    /// Closes all idle connections to endpoints that `is_lost` selects.
    pub(super) fn forget_all(&self, is_lost: impl Fn(&name::Endpoint) -> bool) {
        lock(&self.idle).retain(|name, _| !is_lost(name));
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn give_back(
        &self,
        endpoint: &name::Endpoint,
        sender: Sender,
        keep: Duration,
        now: Duration,
    ) {
        if sender.requests.is_closed() || keep.is_zero() || sender.sent.len() >= MAX_REQUESTS {
            return;
        }
        let until = now + keep;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(endpoint.clone()).or_default();
        if kept.len() < MAX_IDLE_PER_ENDPOINT {
            kept.push(Idle {
                sender,
                since: now,
                until,
            });
        }
    }

    /// Closes connections that were idle for too long, or whose endpoint is gone or has started
    /// again. `known` returns the current start of an endpoint, or `None` if it is gone.
    pub(super) fn sweep(
        &self,
        now: Duration,
        known: impl Fn(&name::Endpoint) -> Option<registry::Start>,
    ) {
        let mut idle = lock(&self.idle);
        idle.retain(|name, kept| {
            let Some(start) = known(name) else {
                return false;
            };
            kept.retain(|Idle { sender, until, .. }| {
                sender.start == start && *until > now && !sender.requests.is_closed()
            });
            !kept.is_empty()
        });
    }
}

/// Sends a request to an endpoint at an address and waits for the head of the answer.
pub(super) async fn send(
    sender: &mut Sender,
    address: SocketAddr,
    request: Request<payload::Body>,
) -> Result<Response<Incoming>, upstream::Unsent<payload::Body>> {
    upstream::answer_to_any(&mut sender.requests, address, request).await
}

/// Returns how long a connection may stay idle after an answer with these headers.
pub(super) fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let text = |name| {
        headers
            .get(name)
            .and_then(|v: &header::HeaderValue| v.to_str().ok())
    };
    if text(header::CONNECTION).is_some_and(|text| text.to_ascii_lowercase().contains("close")) {
        return Duration::ZERO;
    }
    let named = text(header::HeaderName::from_static("keep-alive")).and_then(|text| {
        let mut parameters = text.split(',');
        parameters.find_map(|p| p.trim().strip_prefix("timeout=")?.trim().parse().ok())
    });
    named
        .map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs)
        .saturating_sub(KEEP_ALIVE_MARGIN)
}
