//! Calls that only the holder of a lease may make, to receivers that check no fencing token.
//!
//! The connection is opened first; then the lease is checked again, right before the request is
//! written. Written data may still wait in this machine's send buffers: during a network partition
//! it would arrive seconds later, when another process holds the lease. So the lease is checked
//! while the answer is awaited, and the connection is reset once the lease is lost. A process that
//! was frozen finds its lease expired at the next check.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{client::conn::http1, header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::{core::backoff, ops};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The remaining lease time that a call needs to be written: several times the network latency to
/// the receiver.
pub(super) const MIN_LEASE_TO_WRITE: Duration = Duration::from_millis(200);
/// How often the lease is checked while an answer is awaited, and the time it must still last then.
const LEASE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// The most bytes of an answer's body that are read; only the status and the headers matter.
const MAX_ANSWER_BYTES: usize = 4096;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was written: the receiver could not be reached.
    Unreachable,
    /// Nothing was written: the lease expires too soon or is lost.
    NoLease,
    /// The lease was lost or the call timed out before the answer arrived.
    Timeout,
    /// The connection broke before the answer arrived.
    Broken,
}

impl Failure {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Failure::Unreachable => "unreachable",
            Failure::NoLease => "no lease",
            Failure::Timeout => "no answer in time",
            Failure::Broken => "the connection broke",
        }
    }
}

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The HTTP status.
    pub(super) status: StatusCode,
    /// How long the receiver wants no more calls, if it refused this one.
    pub(super) backoff: backoff::Parsed,
}

/// A connection that only the holder of a lease writes to. Dropping it resets the connection.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection to a receiver.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        let (sender, connection) = opened.ok().flatten().ok_or(Failure::Unreachable)?;
        let task = tokio::spawn(async move {
            // A broken connection shows as the failure of the call.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            task,
        })
    }

    /// Returns whether the connection can be used for another call.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Makes a call while the lease lasts; `holds` returns whether the lease is held for a given
    /// time from now. `unix_ms` is the time of day with which a date in `Retry-After` is compared
    /// if the answer has no `Date`.
    pub(super) async fn call(
        &mut self,
        mut request: Request<Full<Bytes>>,
        holds: impl Fn(Duration) -> bool,
        timeout: Duration,
        unix_ms: u64,
    ) -> Result<Answer, Failure> {
        let host = header::HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        if !holds(MIN_LEASE_TO_WRITE) {
            return Err(Failure::NoLease);
        }
        let sent = self.sender.send_request(request);
        let answered = async {
            let response = sent.await.map_err(|_| Failure::Broken)?;
            let status = response.status();
            // The holder is the receiver's only caller, so a 429 applies to all calls.
            let backoff = if ops::backoff::applies_to_all(status, true) {
                ops::backoff::parse(response.headers(), unix_ms)
            } else {
                backoff::Parsed::Absent
            };
            // Once the body is read whole the connection can be reused; else it is closed.
            let _ = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await;
            Ok(Answer { status, backoff })
        };
        let ended = tokio::time::timeout(timeout, while_held(answered, holds)).await;
        let answer = ended.ok().flatten().unwrap_or(Err(Failure::Timeout));
        if answer.is_err() {
            // Resets the connection: data still in the send buffer must not arrive.
            self.task.abort();
        }
        answer
    }
}

/// Awaits a future while the lease lasts; returns `None` if the lease is lost first.
async fn while_held<T>(
    awaited: impl Future<Output = T>,
    holds: impl Fn(Duration) -> bool,
) -> Option<T> {
    let mut awaited = std::pin::pin!(awaited);
    loop {
        match tokio::time::timeout(LEASE_CHECK_PERIOD, awaited.as_mut()).await {
            Ok(got) => return Some(got),
            Err(_) if holds(LEASE_CHECK_PERIOD) => {}
            Err(_) => return None,
        }
    }
}

type Handshake = (
    http1::SendRequest<Full<Bytes>>,
    http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
);

async fn connect(address: SocketAddr) -> Option<Handshake> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // With zero linger, closing discards unsent data and resets the connection.
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .ok()?;
    http1::handshake(TokioIo::new(stream)).await.ok()
}
