//! Calls that only the holder of a lease may make, to receivers that look at nothing.
//!
//! The connection is opened first; then the lease is checked once more, right before the call
//! is written. What was written may still wait in this machine's buffers: behind a cut it
//! would arrive seconds later, when another one holds. So a call is watched while its answer
//! is awaited, and its connection is reset once the lease is lost. A process that was frozen
//! finds its lease run out at the next check.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{client::conn::http1, header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

use crate::{core::backoff, ops};

/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(500);
/// How long a lease has to last for a call to be written under it: several times the way to
/// the receiver.
pub(super) const WRITTEN: Duration = Duration::from_millis(200);
/// How often the lease is checked while an answer is awaited.
const CHECK: Duration = Duration::from_millis(50);
/// The most bytes of an answer that are read: what matters is the status.
const MAX_ANSWER: usize = 4096;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Nothing was written: the receiver can't be reached.
    Unreachable,
    /// Nothing was written: the lease does not last.
    NoLease,
    /// The lease was lost, or the time ran out, before the answer came.
    Cut,
    /// The connection broke before the answer came.
    Broken,
}

impl Failure {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Failure::Unreachable => "unreachable",
            Failure::NoLease => "no lease",
            Failure::Cut => "no answer in time",
            Failure::Broken => "the connection broke",
        }
    }
}

/// What a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// Its status.
    pub(super) status: StatusCode,
    /// For how long the receiver wants no more, if it turned the call away.
    pub(super) rest: backoff::Parsed,
}

/// A connection over which only the holder of a lease writes. Dropping it resets it.
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
    /// Connects to a receiver.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, Failure> {
        let opened = tokio::time::timeout(CONNECT, connect(address)).await;
        let (sender, connection) = opened.ok().flatten().ok_or(Failure::Unreachable)?;
        let task = tokio::spawn(async move {
            // The connection's end shows at the call.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            task,
        })
    }

    /// Whether another call can be made over it.
    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Makes a call while the lease lasts; `holds` tells whether it does for so long. The time of
    /// day here is what a date in the answer is compared with where it names none of its own.
    pub(super) async fn call(
        &mut self,
        mut request: Request<Full<Bytes>>,
        holds: impl Fn(Duration) -> bool,
        within: Duration,
        unix_ms: u64,
    ) -> Result<Answer, Failure> {
        let host = header::HeaderValue::from_str(&self.address.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        if !holds(WRITTEN) {
            return Err(Failure::NoLease);
        }
        let sent = self.sender.send_request(request);
        let answered = async {
            let response = sent.await.map_err(|_| Failure::Broken)?;
            let status = response.status();
            // Its only caller is this voter.
            let rest = if ops::rest::is_meant(status, true) {
                ops::rest::asked(response.headers(), unix_ms)
            } else {
                backoff::Parsed::Absent
            };
            // Read to its end, the connection can be used again; else it is closed.
            let _ = Limited::new(response.into_body(), MAX_ANSWER)
                .collect()
                .await;
            Ok(Answer { status, rest })
        };
        let ended = tokio::time::timeout(within, while_held(answered, holds)).await;
        let answer = ended.ok().flatten().unwrap_or(Err(Failure::Cut));
        if answer.is_err() {
            // What is left in the buffers must not arrive.
            self.task.abort();
        }
        answer
    }
}

/// Awaits something while a lease lasts; nothing if it is lost before.
async fn while_held<T>(
    awaited: impl Future<Output = T>,
    holds: impl Fn(Duration) -> bool,
) -> Option<T> {
    let mut awaited = std::pin::pin!(awaited);
    loop {
        match tokio::time::timeout(CHECK, awaited.as_mut()).await {
            Ok(got) => return Some(got),
            Err(_) if holds(CHECK) => {}
            Err(_) => return None,
        }
    }
}

type Opened = (
    http1::SendRequest<Full<Bytes>>,
    http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
);

async fn connect(address: SocketAddr) -> Option<Opened> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    // Closing drops what was not sent, and resets.
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .ok()?;
    http1::handshake(TokioIo::new(stream)).await.ok()
}
