//! Connections to endpoints.
//!
//! Each failure states whether the request may have run. It did not run if the connection was
//! not established, or if hyper returned the request without having written any of it. In all
//! other cases it may have run.

use std::{
    collections::HashMap,
    future::Future,
    io::ErrorKind,
    net::SocketAddr,
    ops::RangeInclusive,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use hyper::{
    body::{Body as _, Incoming},
    client::conn::http1,
    Request, Response,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::Notify};

use crate::{
    core::{dispatch, verdict},
    ops::entry::payload,
    util::{lock::lock, socket},
};

/// The maximum number of idle connections that are kept per endpoint address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// The longest head of an answer, and the most bytes that are read ahead of it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The most interim answers (status 1xx) that may come before an answer.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Why an attempt at an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Failure {
    /// How the attempt ended, as reported to the dispatcher.
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
    pub(super) const MISDIRECTED: Failure = Failure {
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

    /// The request may no longer be sent to the endpoint, as when its zone was cordoned or the
    /// regions that may serve the request changed. Nothing was sent.
    pub(super) const NOT_PERMITTED: Failure = Failure {
        end: dispatch::End::Unused,
        verdict: verdict::Verdict::NotRun,
    };

    /// The caller read a stream so slowly that no further piece could be queued for it before the
    /// request's time was over.
    pub(super) const UNREAD: Failure = Failure {
        end: dispatch::End::Cancelled,
        verdict: verdict::Verdict::MayHaveRun,
    };

    /// Returns whether the request may have arrived anywhere.
    pub(super) fn may_have_arrived(self) -> bool {
        !matches!(self.end, dispatch::End::Unreachable | dispatch::End::Unused)
    }

    /// Returns whether the request did not reach the intended endpoint.
    pub(super) fn missed_endpoint(self) -> bool {
        matches!(
            self.end,
            dispatch::End::Unreachable | dispatch::End::Mistaken | dispatch::End::Unused
        )
    }
}

/// Opens a connection to an endpoint or another box.
pub(super) async fn dial<B>(
    address: SocketAddr,
    within: Duration,
    timeouts: socket::Timeouts,
) -> Result<http1::SendRequest<B>, Failure>
where
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let open = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        socket::bound_buffers(&stream);
        let stream = socket::Stream::new(stream, timeouts);
        let mut connection = http1::Builder::new();
        connection.max_buf_size(MAX_HEAD_BYTES);
        connection.handshake(TokioIo::new(stream)).await.ok()
    };
    let opened = tokio::time::timeout(within, open).await.ok().flatten();
    let (sender, connection) = opened.ok_or(Failure::UNREACHABLE)?;
    tokio::spawn(async move {
        // The request that uses the connection gets its errors.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Why a request over a connection got no answer head.
pub(super) enum Unsent<B> {
    /// No byte of the request was written; it can be sent over another connection.
    NotWritten(Box<Request<B>>),
    /// The request may have been written.
    Broken,
}

/// The statuses of final answers (RFC 9110, section 15). The library that reads them takes 600 to 999
/// too, and 101, which only answers requests for another protocol.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Sends a request over a connection and waits for the head of the answer. What has no status of a
/// final answer is none.
pub(super) async fn answer_to<B>(
    sender: &mut http1::SendRequest<B>,
    mut request: Request<B>,
) -> Result<Response<Incoming>, Unsent<B>>
where
    B: hyper::body::Body + Send + 'static,
{
    let (count, too_many) = (AtomicU32::new(0), Arc::new(Notify::new()));
    let limit = too_many.clone();
    hyper::ext::on_informational(&mut request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            limit.notify_one();
        }
    });
    let answered = tokio::select! {
        biased;
        () = too_many.notified() => return Err(Unsent::Broken),
        answered = sender.try_send_request(request) => answered,
    };
    match answered {
        Ok(response) if FINAL_STATUSES.contains(&response.status().as_u16()) => Ok(response),
        Ok(_) => Err(Unsent::Broken),
        Err(mut error) => Err(match error.take_message() {
            Some(request) => Unsent::NotWritten(Box::new(request)),
            None => Unsent::Broken,
        }),
    }
}

/// The time after which the peer of a long request that it has not answered is checked. It doubles with each
/// check.
const FIRST_CHECK: Duration = Duration::from_millis(500);
/// How long a peer may take to answer a connection in a check. The machine of a paused process accepts it at
/// once.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which a second connection is tried in a check, as the first packet may be lost.
const SECOND_TRY: Duration = Duration::from_millis(500);

/// Returns whether a request is so long that its peer's machine has to be checked, see [`socket::Stream`].
fn is_long(request: &Request<payload::Body>) -> bool {
    request.body().size_hint().lower() > socket::MIN_WINDOW as u64
}

/// Sends a request, which may be long, to an address over a connection and waits for the head of the answer.
pub(super) async fn answer_to_any(
    sender: &mut Sender,
    address: SocketAddr,
    request: Request<payload::Body>,
) -> Result<Response<Incoming>, Unsent<payload::Body>> {
    let is_long = is_long(&request);
    let answer = answer_to(sender, request);
    if is_long {
        let answer = unless_dead(address, answer).await;
        return answer.unwrap_or(Err(Unsent::Broken));
    }
    answer.await
}

/// Waits for the answer to a long request. Returns `None` if the peer's machine is found dead before.
async fn unless_dead<T>(address: SocketAddr, answer: impl Future<Output = T>) -> Option<T> {
    let mut answer = std::pin::pin!(answer);
    let mut wait = FIRST_CHECK;
    loop {
        if let Ok(answer) = tokio::time::timeout(wait, answer.as_mut()).await {
            return Some(answer);
        }
        wait *= 2;
        tokio::select! {
            biased;
            answer = answer.as_mut() => return Some(answer),
            is_alive = is_alive(address) => if !is_alive {
                return None;
            },
        }
    }
}

/// Returns whether the machine at an address answers.
async fn is_alive(address: SocketAddr) -> bool {
    let again = async {
        tokio::time::sleep(SECOND_TRY).await;
        answered(address).await;
    };
    let either = async {
        tokio::select! {
            () = answered(address) => {}
            () = again => {}
        }
    };
    tokio::time::timeout(CHECK_TIMEOUT, either).await.is_ok()
}

/// Waits until the machine at an address answers a connection. A refusal is an answer too: a process that is about
/// to stop may finish its requests and take no new ones, and one that has ended has its connections reset.
async fn answered(address: SocketAddr) {
    let Err(error) = TcpStream::connect(address).await else {
        return;
    };
    let is_unreachable = matches!(
        error.kind(),
        ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable | ErrorKind::TimedOut
    );
    if is_unreachable {
        std::future::pending().await
    }
}

/// A connection over which requests are sent one after another.
pub(super) type Sender = http1::SendRequest<payload::Body>;

/// The head of an answer, and the connection over which the rest arrives.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) sender: Sender,
    pub(super) response: Response<Incoming>,
    /// Whether other requests were sent over the connection before.
    pub(super) is_reused: bool,
}

/// Idle connections that are kept for later requests.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
    timeouts: socket::Timeouts,
}

impl Pool {
    /// Creates a pool whose connections have these timeouts.
    pub(super) fn new(timeouts: socket::Timeouts) -> Self {
        Self {
            idle: Arc::default(),
            timeouts,
        }
    }

    /// Takes an idle connection that is still usable.
    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Returns a connection to the pool once the answer was read to its end.
    pub(super) fn give_back(&self, address: SocketAddr, sender: Sender) {
        let mut idle = lock(&self.idle);
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS && !sender.is_closed() {
            senders.push(sender);
        }
    }

    /// Sends a request and waits for the answer's head, at most for `head`. Before each use of a connection, also after
    /// opening one, it checks whether the request may still be sent.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<payload::Body>,
        (connect, head): (Duration, Duration),
        is_permitted: impl Fn() -> bool,
    ) -> Result<Answered, Failure> {
        let mut request = request;
        // The endpoint may have closed an idle connection; hyper returns a request that it has
        // not started to write, and the next connection is tried.
        while let Some(sender) = self.take_idle(address) {
            if !is_permitted() {
                return Err(Failure::NOT_PERMITTED);
            }
            match send_over(sender, address, request, head).await {
                Ok((sender, response)) => {
                    return Ok(Answered {
                        sender,
                        response,
                        is_reused: true,
                    })
                }
                Err((Unsent::NotWritten(returned), _)) => request = *returned,
                Err((Unsent::Broken, failure)) => return Err(failure),
            }
        }
        let sender = dial(address, connect, self.timeouts).await?;
        if !is_permitted() {
            return Err(Failure::NOT_PERMITTED);
        }
        match send_over(sender, address, request, head).await {
            Ok((sender, response)) => Ok(Answered {
                sender,
                response,
                is_reused: false,
            }),
            Err((Unsent::NotWritten(_), _)) => Err(Failure::UNREACHABLE),
            Err((Unsent::Broken, failure)) => Err(failure),
        }
    }
}

/// Sends a request over a connection and waits for the answer's head.
async fn send_over(
    mut sender: Sender,
    address: SocketAddr,
    request: Request<payload::Body>,
    head: Duration,
) -> Result<(Sender, Response<Incoming>), (Unsent<payload::Body>, Failure)> {
    let answer = answer_to_any(&mut sender, address, request);
    match tokio::time::timeout(head, answer).await {
        Ok(Ok(response)) => Ok((sender, response)),
        Ok(Err(unsent)) => Err((unsent, Failure::BROKEN)),
        Err(_) => Err((Unsent::Broken, Failure::SILENT)),
    }
}
