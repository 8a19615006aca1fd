//! JSON-RPC servers and clients for the connections between processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use jsonrpsee::{
    server::{self, ServerBuilder, ServerConfig, ServerHandle},
    ws_client::{WsClient, WsClientBuilder},
    Methods,
};
use tokio::net::{TcpListener, TcpStream};

use crate::{ops::http, util::socket};

/// The largest message, in bytes. The largest in use is a routing that is forwarded to the leader, as
/// text and as the operator's text, with its quotes escaped.
const MAX_MESSAGE_BYTES: u32 = 32 << 20;
/// The most connections with a session of a server.
const MAX_CONNECTIONS: u32 = 2048;
/// The most subscriptions of one connection.
const MAX_SUBSCRIPTIONS: u32 = 16;
/// The most messages that wait for a slow peer. Updates for a follower beyond these are combined
/// once it accepts more, so that its memory use is bounded.
const MAX_UNSENT_MESSAGES: u32 = 8;
/// The longest timeout for opening a connection.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of the first attempt. A box without power does not answer at all, and TCP sends a
/// lost SYN again only after a second.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A server or client could not be set up.
#[derive(Debug)]
pub struct Error;

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a connection between processes can't be set up")
    }
}

impl std::error::Error for Error {}

/// Serves methods at an address.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn serve(
    address: SocketAddr,
    methods: impl Into<Methods>,
) -> Result<ServerHandle, Report<Error>> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let bounds = Bounds {
        opening: MAX_CONNECTIONS as usize,
        sessions: MAX_CONNECTIONS as usize,
    };
    serve_within(address, methods, bounds, log).await
}

/// The most connections of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Those without a session. Beyond them the oldest is closed for a new one.
    pub opening: usize,
    /// Those with a session, of which there are never more than 2,048.
    pub sessions: usize,
}

/// Serves methods at an address, with bounds on its connections.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn serve_within(
    address: SocketAddr,
    methods: impl Into<Methods>,
    bounds: Bounds,
    log: slog::Logger,
) -> Result<ServerHandle, Report<Error>> {
    let max_sessions = u32::try_from(bounds.sessions).unwrap_or(u32::MAX);
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(max_sessions.clamp(1, MAX_CONNECTIONS))
        .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
        .set_message_buffer_capacity(MAX_UNSENT_MESSAGES)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let listener = TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    let listener = http::Listener::new(listener, "processes", bounds.opening.max(1), log);
    let listener = listener.change_context(Error)?;
    let service = ServerBuilder::with_config(config).to_service_builder();
    let methods = methods.into();
    let (stop, handle) = server::stop_channel();
    tokio::spawn(async move {
        loop {
            let (stream, opening) = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.clone().shutdown() => break,
            };
            // Without these timeouts, messages to a silent peer would be sent for ever.
            let _ = socket::PROCESS.apply(&stream);
            let service = service.clone().build(methods.clone(), stop.clone());
            let stopped = stop.clone().shutdown();
            tokio::spawn(async move {
                // A connection with a session goes on in a task of its own.
                let served = server::serve_with_graceful_shutdown(stream, service, stopped);
                tokio::select! {
                    _ = served => {}
                    () = opening.closed() => {}
                }
            });
        }
    });
    Ok(handle)
}

/// Connects to a process.
///
/// # Errors
///
/// Fails if the process does not answer.
pub async fn connect(address: SocketAddr) -> Result<Arc<WsClient>, Report<Error>> {
    connect_within(address, MAX_CONNECT_TIMEOUT).await
}

/// Returns the timeout for opening a connection after a number of failures: longer each time, so
/// that a distant or slow box is reached too.
pub fn connect_timeout(failures: u32) -> Duration {
    MIN_CONNECT_TIMEOUT
        .saturating_mul(1 << failures.min(8))
        .min(MAX_CONNECT_TIMEOUT)
}

/// Connects to a process that may be down, with a timeout.
///
/// # Errors
///
/// Fails if the process does not answer in time.
pub async fn connect_within(
    address: SocketAddr,
    timeout: Duration,
) -> Result<Arc<WsClient>, Report<Error>> {
    let connected = tokio::time::timeout(timeout, open(address)).await;
    let no_answer = || Report::new(Error).attach(format!("{address} does not answer"));
    connected.unwrap_or_else(|_| Err(no_answer()))
}

async fn open(address: SocketAddr) -> Result<Arc<WsClient>, Report<Error>> {
    let why = || format!("{address} does not answer");
    let stream = TcpStream::connect(address).await;
    let stream = stream.change_context(Error).attach_with(why)?;
    stream.set_nodelay(true).change_context(Error)?;
    socket::PROCESS.apply(&stream).change_context(Error)?;
    let client = WsClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build_with_stream(format!("ws://{address}"), stream)
        .await
        .change_context(Error)
        .attach_with(why)?;
    Ok(Arc::new(client))
}
