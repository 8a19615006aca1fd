//! HTTP servers for operators, endpoints and checks of a process's health.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::{service_fn, Service},
    Request, Response,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    event,
    ops::connection,
    util::{
        clock::{self, Clock as _},
        socket,
    },
};

/// How long a connection may be idle, and a request's head may take to arrive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest head of a request, and the most bytes that are read ahead of a body.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// The delay after a failed accept. Accepting fails when file descriptors run out; connections
/// that close during the delay free some.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that are accepted, up to a number. Beyond that the idlest one is closed for a new one, which is
/// closed itself if all have requests.
#[derive(Debug)]
pub(super) struct Listener {
    inner: TcpListener,
    open: Arc<connection::Set<()>>,
    what: &'static str,
    max: usize,
    log: slog::Logger,
}

impl Listener {
    /// Bounds the connections of a listener, which `what` names in the log.
    pub(super) fn new(
        inner: TcpListener,
        what: &'static str,
        max: usize,
        log: slog::Logger,
    ) -> std::io::Result<Self> {
        socket::bound_buffers(&inner);
        // Accepted connections inherit the timeouts. Otherwise a connection whose peer fell silent stays open for long.
        socket::CALLER.apply(&inner)?;
        Ok(Self {
            inner,
            open: connection::Set::new(max),
            what,
            max,
            log,
        })
    }

    /// Waits for a connection for which there is room.
    pub(super) async fn accept(&self) -> (TcpStream, connection::Connection<()>) {
        loop {
            let Ok((stream, _)) = self.inner.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            if let Some(connection) = self.admit() {
                return (stream, connection);
            }
        }
    }

    fn admit(&self) -> Option<connection::Connection<()>> {
        let now = clock::System.now();
        if let Some(connection) = self.open.admit((), now) {
            return Some(connection);
        }
        let is_closed = self.open.close_idlest();
        event!(self.log, ListenerFull, "what" => self.what, "most" => self.max,
            "closed" => if is_closed { "idlest" } else { "new" });
        is_closed.then(|| self.open.admit((), now))?
    }

    /// Serves connections for ever, each by a service that a function makes.
    pub(super) async fn serve<S, B>(self, service: impl Fn() -> S)
    where
        S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Send + 'static,
        S::Future: Send,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        loop {
            let (stream, connection) = self.accept().await;
            tokio::spawn(serve(stream, connection, service()));
        }
    }
}

/// Serves one connection.
async fn serve<S, B>(stream: TcpStream, connection: connection::Connection<()>, service: S)
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible> + Send,
    S::Future: Send,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let requests = connection.requests();
    let counted = service_fn(move |request| {
        requests.begin();
        let requests = requests.clone();
        let answered = service.call(request);
        async move {
            let answer = answered.await;
            requests.end(clock::System.now());
            answer
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), counted);
    tokio::select! {
        // A broken connection of a peer is not an error of this process.
        _ = served => {}
        () = connection.closed() => {}
    }
}
