//! Sockets whose peer may fall silent: a connection can stop carrying anything without either
//! end being told, while new ones between the same two work.

use std::{mem::MaybeUninit, os::fd::AsFd, sync::Arc, time::Duration};

use socket2::{SockRef, Socket, TcpKeepalive};

/// How the system's processes talk to each other: who hears nothing for a second asks, and
/// gives the connection up two seconds later. Below the three seconds after which a box counts
/// as out of reach, and above the second for which packets wait at a full link.
pub const PROCESS: Silence = Silence {
    unacknowledged: Duration::from_secs(3),
    probe_after: Some(Duration::from_secs(1)),
};
/// How boxes talk to callers. A caller that takes nothing for so long has gone: the longest
/// pause that callers bear is some seconds.
pub const CALLER: Silence = Silence {
    unacknowledged: Duration::from_secs(10),
    probe_after: Some(Duration::from_secs(10)),
};
/// How boxes talk to endpoints: bytes that were sent are acknowledged within the round trip and
/// the wait at a full link. An endpoint that computes says nothing meanwhile, so it is not
/// probed: an answer that a cut holds up may still come.
pub const ENDPOINT: Silence = Silence {
    unacknowledged: Duration::from_millis(700),
    probe_after: None,
};

/// After how long silence ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// How long sent bytes may stay unacknowledged.
    pub unacknowledged: Duration,
    /// How long a connection may be at rest before its peer is probed, each second.
    pub probe_after: Option<Duration>,
}

impl Silence {
    /// Has a socket end by silence. Those that a listening socket accepts inherit it.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the options. The socket works without, and its
    /// silence is noticed late.
    pub fn end<'a>(&self, socket: impl Into<SockRef<'a>>) -> std::io::Result<()> {
        /// Probes without an answer before the connection ends.
        const PROBES: u32 = 2;
        const BETWEEN: Duration = Duration::from_secs(1);
        let socket = socket.into();
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        if let Some(after) = self.probe_after {
            let probes = TcpKeepalive::new()
                .with_time(after)
                .with_interval(BETWEEN)
                .with_retries(PROBES);
            socket.set_tcp_keepalive(&probes)?;
        }
        Ok(())
    }
}

/// Tells whether the peer of a connection that others read from has closed it.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// The same connection; nothing if it is not watched, and then it counts as open.
    socket: Option<Arc<Socket>>,
}

impl Watch {
    /// Watches a connection that does not block. The connection stays open until the watch and
    /// whoever reads from it are dropped.
    ///
    /// # Errors
    ///
    /// Fails if there is no descriptor left for it: a watch takes one of its own.
    pub fn new(socket: &impl AsFd) -> std::io::Result<Self> {
        let socket = SockRef::from(socket).try_clone()?;
        Ok(Self {
            socket: Some(Arc::new(socket)),
        })
    }

    /// Whether the peer has closed its side, and all that it sent before was read.
    pub fn is_closed(&self) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        // An error is that nothing has come, or shows at the next read.
        matches!(socket.peek(&mut [MaybeUninit::uninit()]), Ok(0))
    }
}
