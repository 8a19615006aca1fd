//! Endpoints that end under requests: which of them, and under what content.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use hyper::{header, http::request, Method};
use tokio::net::TcpStream;

use crate::{
    core::{
        attempt,
        fingerprint::{Fingerprint, Head, HeadHash},
        name, registry,
    },
    event,
    ops::entry::Shared,
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
    host: String,
    target: String,
    body: Bytes,
    /// Read from the body only once it is asked for.
    fingerprint: OnceLock<Fingerprint>,
}

impl Content {
    pub(super) fn new(team: &name::Team, head: &request::Parts, body: Bytes) -> Self {
        let host = head.headers.get(header::HOST);
        let host = host.and_then(|value| value.to_str().ok());
        let host = host.or_else(|| head.uri.host()).unwrap_or_default();
        let target = head.uri.path_and_query();
        let target = target.map_or("/", |target| target.as_str());
        Self(Arc::new(Sent {
            team: team.clone(),
            method: head.method.clone(),
            host: host.to_owned(),
            target: target.to_owned(),
            body,
            fingerprint: OnceLock::new(),
        }))
    }

    fn head(&self) -> HeadHash {
        let sent = &self.0;
        let head = Head {
            team: sent.team.as_str(),
            method: sent.method.as_str(),
            host: &sent.host,
            target: &sent.target,
        };
        HeadHash::of(&head, sent.body.len())
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
}

/// Finds out whether an endpoint that broke off a request has ended.
pub(super) async fn note(board: &Shared, content: &Content, request: attempt::Request, at: &At) {
    if !has_ended(at.address).await {
        return;
    }
    event!(board.log, EndpointEnded, "endpoint" => %at.endpoint, "request" => %request,
        "incarnation" => at.start.map(|start| start.0),
        "fingerprint" => %content.fingerprint());
}

/// Whether nobody listens at an address. An endpoint that broke off one answer and goes on
/// takes the connection, and one that is cut off leaves it unanswered.
async fn has_ended(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
