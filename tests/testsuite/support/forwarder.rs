//! A link that can be disturbed: forwards TCP connections on loopback as it is told.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
};

/// What a link does with what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// It carries everything.
    Whole,
    /// It closes what runs over it, and all that is opened.
    Cut,
    /// It keeps connections open and carries nothing.
    Silent,
    /// It carries only what goes towards the target.
    OneWay,
    /// It carries everything later.
    Delayed(Duration),
}

/// A link between two addresses.
#[derive(Debug)]
pub(crate) struct Forwarder {
    mode: Arc<watch::Sender<Mode>>,
    hushed: Arc<watch::Sender<u64>>,
    down: Arc<watch::Sender<bool>>,
}

impl Forwarder {
    /// Forwards what comes to one address to another.
    pub(crate) async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).await.unwrap();
        let mode = Arc::new(watch::Sender::new(Mode::Whole));
        let state = mode.clone();
        let hushed = Arc::new(watch::Sender::new(0));
        let hush = hushed.clone();
        let down = Arc::new(watch::Sender::new(false));
        let mut is_down = down.subscribe();
        tokio::spawn(async move {
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = accept(&listener, to, &state, &hush) => return,
                    () = until(&mut is_down, true) => {}
                }
                // Nobody listens: who connects is refused.
                drop(listener);
                until(&mut is_down, false).await;
                listener = bind_again(from).await;
            }
        });
        Self { mode, hushed, down }
    }

    /// Ends what is behind the link, or has it back: all that runs over it breaks, and meanwhile
    /// who connects is refused, as by a port that nobody listens on.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.send_replace(down);
        self.set_whole(!down);
    }

    /// Silences what runs over it now, for good: it stays open and carries nothing. What is
    /// opened from now on is carried.
    pub(crate) fn hush(&self) {
        self.hushed.send_modify(|hushed| *hushed += 1);
    }

    /// Cuts the link with all that runs over it, or makes it whole again.
    pub(crate) fn set_whole(&self, whole: bool) {
        self.set(if whole { Mode::Whole } else { Mode::Cut });
    }

    /// Sets what the link does.
    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Listens at an address once more. What was taken there before may still hold it for a moment.
async fn bind_again(address: SocketAddr) -> TcpListener {
    const TRIES: u32 = 400;
    for _ in 0..TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} can't be listened on again");
}

/// Waits until a switch stands so.
async fn until(switch: &mut watch::Receiver<bool>, stands: bool) {
    // The link's end ends this task, too.
    let _ = switch.wait_for(|now| *now == stands).await;
}

async fn accept(
    listener: &TcpListener,
    to: SocketAddr,
    state: &watch::Sender<Mode>,
    hush: &watch::Sender<u64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *state.borrow() != Mode::Cut {
            let hush = Hush {
                hushed: hush.subscribe(),
                opened: *hush.borrow(),
            };
            tokio::spawn(carry(stream, to, state.subscribe(), hush));
        }
    }
}

/// How often the link's connections were silenced, now and when one was opened.
#[derive(Clone, Debug)]
struct Hush {
    hushed: watch::Receiver<u64>,
    opened: u64,
}

impl Hush {
    fn holds(&self) -> bool {
        *self.hushed.borrow() > self.opened
    }
}

async fn carry(stream: TcpStream, to: SocketAddr, mut mode: watch::Receiver<Mode>, hush: Hush) {
    let Ok(target) = TcpStream::connect(to).await else {
        return;
    };
    let (near, near_back) = stream.into_split();
    let (far_back, far) = target.into_split();
    let there = copy(near, far, mode.clone(), hush.clone(), false);
    let back = copy(far_back, near_back, mode.clone(), hush, true);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
    }
}

/// Carries one direction until its end; `back` is the way from the target.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    hush: Hush,
    back: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if hush.holds() {
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
