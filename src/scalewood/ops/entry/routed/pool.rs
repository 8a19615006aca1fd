//! Connections to endpoints that are kept between requests.
//!
//! A connection belongs to one start of an endpoint, not to an address: addresses pass
//! to other endpoints. It is used again only if its last answer was read to the end,
//! nothing came after that, and the endpoint is not about to close it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, header, HeaderMap, Request, Response};

use crate::{
    core::{name, registry},
    util::lock::lock,
};

/// Idle connections that are kept for each endpoint.
const IDLE: usize = 32;
/// How long an idle connection is kept where the endpoint names no time.
const KEEP: Duration = Duration::from_secs(8);
/// How long before an endpoint closes an idle connection it is used no more.
const MARGIN: Duration = Duration::from_millis(700);

/// A connection to one start of an endpoint.
#[derive(Debug)]
pub(super) struct Sender {
    start: registry::Start,
    requests: http1::SendRequest<Full<Bytes>>,
}

impl Sender {
    /// A new connection.
    pub(super) fn new(start: registry::Start, requests: http1::SendRequest<Full<Bytes>>) -> Self {
        Self { start, requests }
    }

    /// The start of the endpoint that it leads to.
    pub(super) fn start(&self) -> registry::Start {
        self.start
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Duration,
    until: Duration,
}

/// Connections that are kept between requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    idle: Arc<Mutex<HashMap<name::Endpoint, Vec<Idle>>>>,
}

/// Why a request got no answer.
pub(super) enum Unsent {
    /// No byte of it was written.
    Untouched(Box<Request<Full<Bytes>>>),
    /// It may have been written.
    Broken,
}

impl Pool {
    /// A kept connection to a start of an endpoint, if there is one that can be used. Those to
    /// other starts are closed.
    pub(super) fn take(
        &self,
        endpoint: &name::Endpoint,
        start: registry::Start,
        now: Duration,
    ) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(endpoint)?;
        while let Some(Idle { sender, until, .. }) = kept.pop() {
            if sender.start == start && until > now && sender.requests.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Closes what has been kept for an endpoint since before a time: a connection used then
    /// has fallen silent, and those that rest longer may have too. Each would cost a request
    /// to find out, and one that may run only once is lost by that.
    pub(super) fn forget(&self, endpoint: &name::Endpoint, before: Duration) {
        if let Some(kept) = lock(&self.idle).get_mut(endpoint) {
            kept.retain(|connection| connection.since > before);
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn give_back(
        &self,
        endpoint: &name::Endpoint,
        sender: Sender,
        keep: Duration,
        now: Duration,
    ) {
        if sender.requests.is_closed() || keep.is_zero() {
            return;
        }
        let until = now + keep;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(endpoint.clone()).or_default();
        if kept.len() < IDLE {
            kept.push(Idle {
                sender,
                since: now,
                until,
            });
        }
    }

    /// Closes what is kept for too long, and for starts of endpoints that are gone: `known` tells
    /// the start of each endpoint that isn't.
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

/// Sends a request and waits for the answer's head.
pub(super) async fn send(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Unsent> {
    let sent = sender.requests.try_send_request(request).await;
    sent.map_err(|mut error| match error.take_message() {
        Some(request) => Unsent::Untouched(Box::new(request)),
        None => Unsent::Broken,
    })
}

/// How long a connection may be at rest after an answer with this head.
pub(super) fn keep_time(headers: &HeaderMap) -> Duration {
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
        .map_or(KEEP, Duration::from_secs)
        .saturating_sub(MARGIN)
}
