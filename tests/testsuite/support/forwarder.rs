//! A link with faults: forwards TCP connections on loopback, and can cut, silence or delay them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
    task::JoinHandle,
};

/// How a link treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards all data.
    Whole,
    /// Closes all connections, including those that are opened meanwhile.
    Cut,
    /// Keeps connections open and forwards no data.
    Silent,
    /// Forwards only data towards the target.
    OneWay,
    /// Forwards all data with a delay.
    Delayed(Duration),
}

/// A link between two addresses. When it is dropped, its listener and all its connections close.
#[derive(Debug)]
pub(crate) struct Forwarder {
    mode: Arc<watch::Sender<Mode>>,
    silenced: Arc<watch::Sender<u64>>,
    down: Arc<watch::Sender<bool>>,
    accepting: JoinHandle<()>,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // This drops the task's `mode` sender too, which closes the connections.
        self.accepting.abort();
    }
}

impl Forwarder {
    /// Starts a link that forwards connections from one address to another.
    pub(crate) async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).await.unwrap();
        let mode = Arc::new(watch::Sender::new(Mode::Whole));
        let state = mode.clone();
        let silenced = Arc::new(watch::Sender::new(0));
        let silence = silenced.clone();
        let down = Arc::new(watch::Sender::new(false));
        let mut is_down = down.subscribe();
        let accepting = tokio::spawn(async move {
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = accept(&listener, to, &state, &silence) => return,
                    () = until(&mut is_down, true) => {}
                }
                // With the listener closed, new connections are refused.
                drop(listener);
                until(&mut is_down, false).await;
                listener = bind_again(from).await;
            }
        });
        Self {
            mode,
            silenced,
            down,
            accepting,
        }
    }

    /// Simulates the end or the restart of the process behind the link. While it is down, all
    /// connections break and new ones are refused, as if nothing listened on the port.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.send_replace(down);
        self.set_connected(!down);
    }

    /// Silences the current connections permanently: they stay open and no data is forwarded. New
    /// connections are not affected.
    pub(crate) fn silence(&self) {
        self.silenced.send_modify(|silenced| *silenced += 1);
    }

    /// Cuts the link with all its connections, or repairs it.
    pub(crate) fn set_connected(&self, connected: bool) {
        self.set(if connected { Mode::Whole } else { Mode::Cut });
    }

    /// Sets how the link treats its connections.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Listens on an address again. Connections that were accepted before may occupy it for a moment.
async fn bind_again(address: SocketAddr) -> TcpListener {
    const MAX_TRIES: u32 = 400;
    for _ in 0..MAX_TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} can't be listened on again");
}

/// Waits until a switch has a value.
async fn until(switch: &mut watch::Receiver<bool>, value: bool) {
    if switch.wait_for(|now| *now == value).await.is_err() {
        // The link was dropped, and this task is about to be aborted.
        std::future::pending::<()>().await;
    }
}

async fn accept(
    listener: &TcpListener,
    to: SocketAddr,
    state: &watch::Sender<Mode>,
    silence: &watch::Sender<u64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *state.borrow() != Mode::Cut {
            let silence = Silence {
                silenced: silence.subscribe(),
                opened: *silence.borrow(),
            };
            tokio::spawn(forward(stream, to, state.subscribe(), silence));
        }
    }
}

/// The number of times that the link's connections were silenced: until now, and until a connection
/// was opened.
#[derive(Clone, Debug)]
struct Silence {
    silenced: watch::Receiver<u64>,
    opened: u64,
}

impl Silence {
    fn is_silenced(&self) -> bool {
        *self.silenced.borrow() > self.opened
    }
}

async fn forward(
    stream: TcpStream,
    to: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    silence: Silence,
) {
    let Ok(target) = TcpStream::connect(to).await else {
        return;
    };
    let (near, near_back) = stream.into_split();
    let (far_back, far) = target.into_split();
    let there = copy(near, far, mode.clone(), silence.clone(), false);
    let back = copy(far_back, near_back, mode.clone(), silence, true);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Forwards one direction of a connection until it ends; `back` for the direction from the target.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    silence: Silence,
    back: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if silence.is_silenced() {
            std::future::pending::<()>().await;
        }
        let held = |mode: &Mode| *mode == Mode::Silent || (*mode == Mode::OneWay && back);
        if mode.wait_for(|mode| !held(mode)).await.is_err() {
            return;
        }
        let delay = match *mode.borrow() {
            Mode::Delayed(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
