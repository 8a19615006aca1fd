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

/// How the address of a link treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Port {
    /// They are accepted.
    Open,
    /// They are refused, as if nothing listened there.
    Refuses,
    /// Their first packet gets no answer, as if the route to the address was cut.
    Hangs,
}

/// A link between two addresses. When it is dropped, its listener and all its connections close.
#[derive(Debug)]
pub(crate) struct Forwarder {
    mode: Arc<watch::Sender<Mode>>,
    silenced: Arc<watch::Sender<u64>>,
    port: Arc<watch::Sender<Port>>,
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
        let port = Arc::new(watch::Sender::new(Port::Open));
        let mut switch = port.subscribe();
        let accepting = tokio::spawn(async move {
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = accept(&listener, to, &state, &silence) => return,
                    () = until(&mut switch, |port| port != Port::Open) => {}
                }
                // With the listener closed, new connections are refused.
                drop(listener);
                let wanted = *switch.borrow();
                let hanging = match wanted {
                    Port::Hangs => Some(Hanging::bind(from).await),
                    Port::Open | Port::Refuses => None,
                };
                until(&mut switch, |port| port == Port::Open).await;
                drop(hanging);
                listener = bind_again(from).await;
            }
        });
        Self {
            mode,
            silenced,
            port,
            accepting,
        }
    }

    /// Simulates the end or the restart of the process behind the link. While it is down, all
    /// connections break and new ones are refused, as if nothing listened on the port.
    pub(crate) fn set_down(&self, down: bool) {
        self.set_port(if down { Port::Refuses } else { Port::Open });
        self.set_connected(!down);
    }

    /// Sets how the link treats new connections; open ones stay as they are.
    pub(crate) fn set_port(&self, port: Port) {
        self.port.send_replace(port);
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

/// A listener whose queue of new connections is full, so that the kernel drops their first packets.
struct Hanging {
    _listener: socket2::Socket,
    _queued: Vec<TcpStream>,
}

impl Hanging {
    async fn bind(address: SocketAddr) -> Self {
        /// How long a connection may take until the queue counts as full.
        const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
        const MAX_QUEUED: usize = 16;
        let listener = bind_full(address).await;
        let mut queued = Vec::new();
        while queued.len() < MAX_QUEUED {
            let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
            match opened {
                Ok(Ok(stream)) => queued.push(stream),
                Ok(Err(_)) | Err(_) => break,
            }
        }
        Self {
            _listener: listener,
            _queued: queued,
        }
    }
}

/// Listens on an address with the shortest queue. Connections that were accepted before may occupy
/// the address for a moment.
async fn bind_full(address: SocketAddr) -> socket2::Socket {
    const MAX_TRIES: u32 = 400;
    let bind = || {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(0)?;
        Ok::<_, std::io::Error>(socket)
    };
    for _ in 0..MAX_TRIES {
        if let Ok(socket) = bind() {
            return socket;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} can't be listened on again");
}

/// Waits until a port is in a state that is wanted.
async fn until(switch: &mut watch::Receiver<Port>, is_wanted: impl Fn(Port) -> bool) {
    if switch.wait_for(|port| is_wanted(*port)).await.is_err() {
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
