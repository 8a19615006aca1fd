//! Connections to endpoints.
//!
//! What matters here is to know whether a request's bytes can have reached the
//! endpoint: a connection that was refused, or that hyper gave the request back from
//! untouched, means that it did not run. All else means that it may have.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    core::{dispatch, verdict},
    util::{lock::lock, socket},
};

/// Idle connections that are kept for each endpoint.
const IDLE: usize = 32;

/// Why an attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    /// How the attempt ended, for the dispatcher.
    pub(super) end: dispatch::End,
    /// Whether the request may have run.
    pub(super) verdict: verdict::Verdict,
}

impl Failure {
    pub(super) const UNREACHABLE: Failure = Failure {
        end: dispatch::End::Unreachable,
        verdict: verdict::Verdict::NotRun,
    };
    pub(super) const REFUSED: Failure = Failure {
        end: dispatch::End::Refused,
        verdict: verdict::Verdict::NotRun,
    };
    pub(super) const MISTAKEN: Failure = Failure {
        end: dispatch::End::Mistaken,
        verdict: verdict::Verdict::NotRun,
    };
    pub(super) const BROKEN: Failure = Failure {
        end: dispatch::End::Broken,
        verdict: verdict::Verdict::MayHaveRun,
    };
    pub(super) const SILENT: Failure = Failure {
        end: dispatch::End::Silent,
        verdict: verdict::Verdict::MayHaveRun,
    };

    /// It may not be sent there any more: the zone was cordoned, or where it may be served has
    /// changed. Nothing of it was sent.
    pub(super) const BARRED: Failure = Failure {
        end: dispatch::End::Unused,
        verdict: verdict::Verdict::NotRun,
    };

    /// The caller took nothing of the answer until its time was over.
    pub(super) const UNREAD: Failure = Failure {
        end: dispatch::End::Cancelled,
        verdict: verdict::Verdict::MayHaveRun,
    };

    /// Whether the endpoint that was meant had no part in it.
    pub(super) fn is_miss(self) -> bool {
        matches!(
            self.end,
            dispatch::End::Unreachable | dispatch::End::Mistaken | dispatch::End::Unused
        )
    }
}

/// Opens a connection.
pub(super) async fn dial<B>(
    address: SocketAddr,
    within: Duration,
) -> Result<http1::SendRequest<B>, Failure>
where
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let open = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        // Without it a dead peer is noticed late; a failure to set it only slows.
        let _ = socket::ENDPOINT.end(&stream);
        http1::handshake(TokioIo::new(stream)).await.ok()
    };
    let opened = tokio::time::timeout(within, open).await.ok().flatten();
    let (sender, connection) = opened.ok_or(Failure::UNREACHABLE)?;
    tokio::spawn(async move {
        // The connection's end shows at the request that uses it.
        let _ = connection.await;
    });
    Ok(sender)
}

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connections that are kept between requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Pool {
    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Gives a connection back whose answer was read to its end.
    pub(super) fn give_back(&self, address: SocketAddr, sender: Sender) {
        let mut idle = lock(&self.idle);
        let senders = idle.entry(address).or_default();
        if senders.len() < IDLE && !sender.is_closed() {
            senders.push(sender);
        }
    }

    /// Sends a request and waits for the answer's head. Whether it still may be sent is
    /// asked once more after a connection was opened.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        (connect, silence): (Duration, Duration),
        is_permitted: impl Fn() -> bool,
    ) -> Result<(Sender, Response<Incoming>), Failure> {
        let mut request = request;
        // An idle connection may have been closed meanwhile; hyper gives a request
        // back that it has not begun to write.
        while let Some(sender) = self.take(address) {
            if !is_permitted() {
                return Err(Failure::BARRED);
            }
            match attempt(sender, request, silence).await {
                Ok(answered) => return Ok(answered),
                Err(Unsent::Untouched(untouched)) => request = *untouched,
                Err(Unsent::Failed(failure)) => return Err(failure),
            }
        }
        let sender = dial(address, connect).await?;
        if !is_permitted() {
            return Err(Failure::BARRED);
        }
        attempt(sender, request, silence)
            .await
            .map_err(|unsent| match unsent {
                Unsent::Untouched(_) => Failure::UNREACHABLE,
                Unsent::Failed(failure) => failure,
            })
    }
}

enum Unsent {
    /// No byte of it was written.
    Untouched(Box<Request<Full<Bytes>>>),
    /// It may have been written.
    Failed(Failure),
}

async fn attempt(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    silence: Duration,
) -> Result<(Sender, Response<Incoming>), Unsent> {
    let sent = tokio::time::timeout(silence, sender.try_send_request(request)).await;
    match sent {
        Err(_) => Err(Unsent::Failed(Failure::SILENT)),
        Ok(Ok(response)) => Ok((sender, response)),
        Ok(Err(mut error)) => Err(match error.take_message() {
            Some(request) => Unsent::Untouched(Box::new(request)),
            None => Unsent::Failed(Failure::BROKEN),
        }),
    }
}
