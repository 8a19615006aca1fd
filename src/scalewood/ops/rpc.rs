//! JSON-RPC servers and clients as the system's processes use them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use jsonrpsee::{
    server::{ServerBuilder, ServerConfig, ServerHandle},
    ws_client::{WsClient, WsClientBuilder},
    Methods,
};
use tokio::net::{TcpListener, TcpStream};

use crate::util::socket;

/// The largest message, in bytes: a claim read-back at a busy box.
const MAX_MESSAGE: u32 = 16 * 1024 * 1024;
/// The most connections of a server.
const MAX_CONNECTIONS: u32 = 2048;
/// The most subscriptions of one connection.
const MAX_SUBSCRIPTIONS: u32 = 16;
/// The most messages that wait for a slow peer. What a follower has to hear beside them is put
/// together once it takes more, so the memory for it does not grow.
const MAX_UNSENT: u32 = 8;
/// How long a connection may take.
const CONNECT: Duration = Duration::from_secs(1);
/// How long one may take at first: a box without power says nothing, and the packet that
/// opens a connection is sent again only after a second.
const FIRST_CONNECT: Duration = Duration::from_millis(250);
/// How long a call may take.
const CALL: Duration = Duration::from_secs(5);

/// A server or client that can't be set up.
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
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_connections(MAX_CONNECTIONS)
        .max_subscriptions_per_connection(MAX_SUBSCRIPTIONS)
        .set_message_buffer_capacity(MAX_UNSENT)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let listener = TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    // Accepted connections inherit it: a peer that fell silent would be told for ever.
    socket::PROCESS.end(&listener).change_context(Error)?;
    let listener = listener.into_std().change_context(Error)?;
    let server = ServerBuilder::with_config(config)
        .build_from_tcp(listener)
        .change_context(Error)?;
    Ok(server.start(methods))
}

/// Connects to a process.
///
/// # Errors
///
/// Fails if nobody answers there.
pub async fn connect(address: SocketAddr) -> Result<Arc<WsClient>, Report<Error>> {
    connect_within(address, CONNECT).await
}

/// How long to wait for a connection after some that failed: longer each time, so that a
/// box that is far or slow is reached too.
pub fn patience(failures: u32) -> Duration {
    FIRST_CONNECT
        .saturating_mul(1 << failures.min(8))
        .min(CONNECT)
}

/// Connects to a process that may be down.
///
/// # Errors
///
/// Fails if nobody answers there in time.
pub async fn connect_within(
    address: SocketAddr,
    within: Duration,
) -> Result<Arc<WsClient>, Report<Error>> {
    let connected = tokio::time::timeout(within, open(address)).await;
    let silent = || Report::new(Error).attach(format!("{address} does not answer"));
    connected.unwrap_or_else(|_| Err(silent()))
}

async fn open(address: SocketAddr) -> Result<Arc<WsClient>, Report<Error>> {
    let why = || format!("{address} does not answer");
    let stream = TcpStream::connect(address).await;
    let stream = stream.change_context(Error).attach_with(why)?;
    stream.set_nodelay(true).change_context(Error)?;
    socket::PROCESS.end(&stream).change_context(Error)?;
    let client = WsClientBuilder::default()
        .request_timeout(CALL)
        .max_request_size(MAX_MESSAGE)
        .max_response_size(MAX_MESSAGE)
        .build_with_stream(format!("ws://{address}"), stream)
        .await
        .change_context(Error)
        .attach_with(why)?;
    Ok(Arc::new(client))
}
