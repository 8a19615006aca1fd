//! Detection of dead TCP connections. A connection can stop carrying data without either end being
//! notified, while new connections between the same two hosts work.

use std::{
    future::Future as _,
    io::{self, IoSlice},
    mem::MaybeUninit,
    os::fd::{AsFd, BorrowedFd},
    pin::Pin,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    task::{ready, Context, Poll},
    time::Duration,
};

use socket2::{SockRef, Socket, TcpKeepalive};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

/// The timeouts between processes of the system: after one second without traffic the peer is
/// probed, and two seconds later the connection is closed. This is no longer than the three seconds
/// after which a box counts as unreachable, and longer than the one second for which packets queue
/// at a saturated link.
pub const PROCESS: Timeouts = Timeouts {
    unacknowledged: Duration::from_secs(3),
    probe_after: Some(Duration::from_secs(1)),
};
/// The timeouts towards callers. A caller that acknowledges nothing for this long is gone: the
/// longest pause that callers tolerate is a few seconds. Three probes fit, since a lossy link may lose
/// one or two while a caller waits for its answer. A caller that reads slowly has longer, see
/// [`Stream::watched`].
pub const CALLER: Timeouts = Timeouts {
    unacknowledged: Duration::from_secs(10),
    probe_after: Some(Duration::from_secs(7)),
};
/// The timeouts towards endpoints: sent bytes are acknowledged within the round trip and the
/// queueing delay of a saturated link. A sound endpoint may be silent for about a second, and what may
/// run only once would be lost if its connection were closed before it goes on. An endpoint sends
/// nothing while it computes, and is not probed: a response that a network partition delays may still
/// arrive. Long requests are excepted, see [`Stream`].
pub const ENDPOINT: Timeouts = Timeouts {
    unacknowledged: Duration::from_millis(1500),
    probe_after: None,
};

/// The timeouts after which a silent connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long sent bytes may stay unacknowledged. On Linux this also decides when unanswered probes
    /// close a connection, whatever their number: when nothing has arrived for this long and a probe
    /// is unanswered.
    pub unacknowledged: Duration,
    /// How long a connection may be idle before its peer is probed, once a second; `None` if it is
    /// never probed.
    pub probe_after: Option<Duration>,
}

/// The interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl Timeouts {
    /// Returns how many unanswered probes close a connection, or `None` if it is never probed.
    pub fn unanswered_probes(&self) -> Option<u32> {
        let probing = self.unacknowledged.saturating_sub(self.probe_after?);
        let probes = probing.as_millis().div_ceil(PROBE_INTERVAL.as_millis());
        Some(u32::try_from(probes).unwrap_or(u32::MAX).max(1))
    }

    /// Sets the timeouts on a socket. Connections that a listening socket accepts inherit them.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the options. The socket works without them, but a
    /// dead connection is detected late.
    pub fn apply<'a>(&self, socket: impl Into<SockRef<'a>>) -> std::io::Result<()> {
        let socket = socket.into();
        socket.set_tcp_user_timeout(Some(self.unacknowledged))?;
        if let Some((after, probes)) = self.probe_after.zip(self.unanswered_probes()) {
            let probes = TcpKeepalive::new()
                .with_time(after)
                .with_interval(PROBE_INTERVAL)
                .with_retries(probes);
            socket.set_tcp_keepalive(&probes)?;
        }
        Ok(())
    }
}

/// The bytes that the operating system buffers of what a peer sends or is sent. It takes up to twice as much memory
/// for them.
const BUFFER_BYTES: usize = 64 << 10;

/// Bounds the memory that the operating system takes for the data of a connection. Connections that a listening
/// socket accepts inherit the bounds. An operating system that refuses them uses its own.
pub fn bound_buffers<'a>(socket: impl Into<SockRef<'a>>) {
    let socket = socket.into();
    let _ = socket.set_recv_buffer_size(BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(BUFFER_BYTES);
}

/// How much a peer that reads nothing surely acknowledges: less than the receive window of a new
/// connection.
pub const MIN_WINDOW: usize = 32 << 10;

/// A connection over which requests are sent.
///
/// On Linux the time for which bytes may stay unacknowledged also bounds how long a peer may keep its
/// receive window closed, though it answers each probe. A sound process that pauses would lose each request
/// that is longer than the window. So that time is unbounded from when more than `MIN_WINDOW` bytes were sent
/// for one request until the next one. Who sends such a request has to find out by itself that the peer's machine
/// is dead.
///
/// The same holds for answers to a peer that reads slowly: see [`Stream::watched`].
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    timeouts: Timeouts,
    /// How long a long message may stay unread, if that is bounded.
    grace: Option<Grace>,
    /// The limit on the time for which bytes may stay unacknowledged that is in force.
    limit: Option<Duration>,
    /// The number of bytes written of the current message.
    sent: usize,
    /// Whether the peer has sent anything since the current message began.
    has_answered: bool,
    /// Whether the last write left bytes of the current message unwritten.
    is_partial: bool,
    /// Whether the peer may still send a body that is not read.
    is_reading: Arc<AtomicBool>,
    /// When an orderly close ends, once one has begun.
    linger: Option<Pin<Box<Sleep>>>,
}

/// How long a closed connection is still read, if its peer may not have sent a whole body. A connection with unread
/// data is reset when it is closed, and the peer could lose the answer.
const LINGER_TIME: Duration = Duration::from_secs(2);
/// The bytes that are read and discarded at a time.
const DISCARDED_BYTES: usize = 8 << 10;

impl Stream {
    /// Sets the timeouts on a connection. If the operating system refuses them, a dead connection is
    /// detected late.
    pub fn new(inner: TcpStream, timeouts: Timeouts) -> Self {
        let _ = timeouts.apply(&inner);
        Self {
            inner,
            timeouts,
            grace: None,
            limit: Some(timeouts.unacknowledged),
            sent: 0,
            has_answered: false,
            is_partial: false,
            is_reading: Arc::default(),
            linger: None,
        }
    }

    /// Does what [`Stream::new`] does for a connection over which answers are sent. A long answer may stay
    /// unread for as long as its watch grants, which also bounds how long a dead peer of it goes unnoticed.
    pub fn watched(inner: TcpStream, timeouts: Timeouts, watch: &Watch) -> Self {
        Self {
            grace: Some(watch.grace.clone()),
            is_reading: watch.is_reading.clone(),
            ..Self::new(inner, timeouts)
        }
    }

    /// Counts the written bytes of those that were to be written. A message ends with its last byte, though the
    /// peer may have answered before.
    fn record_sent(&mut self, count: usize, of: usize) {
        if !self.is_partial && std::mem::take(&mut self.has_answered) {
            self.sent = 0;
        }
        self.is_partial = count < of;
        self.sent += count;
        let limit = if self.sent > MIN_WINDOW {
            let grace = self.grace.as_ref().map(Grace::get);
            grace.map(|grace| grace.max(self.timeouts.unacknowledged))
        } else {
            Some(self.timeouts.unacknowledged)
        };
        if limit != self.limit {
            self.limit = limit;
            // A failure leaves the limit as it was.
            let _ = SockRef::from(&self.inner).set_tcp_user_timeout(limit);
        }
    }

    /// Records the outcome of a write of so many bytes.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, of: usize) {
        match written {
            Poll::Ready(Ok(count)) => self.record_sent(*count, of),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.is_partial = true,
        }
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.inner.as_fd()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        self.has_answered |= buffer.filled().len() > before;
        Poll::Ready(read)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        let of = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(&written, of);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    /// Closes the connection. If its peer may still be sending a body, it is read on for a while.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.inner).poll_shutdown(context))?;
            if !self.is_reading.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIME)));
        }
        self.poll_discard(context).map(Ok)
    }
}

impl Stream {
    /// Reads and discards data until the peer closes the connection or the time to linger is over.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let is_over = self
            .linger
            .as_mut()
            .map(|linger| linger.as_mut().poll(context));
        if matches!(is_over, Some(Poll::Ready(()))) {
            return Poll::Ready(());
        }
        loop {
            let mut discarded = [MaybeUninit::uninit(); DISCARDED_BYTES];
            let mut discarded = ReadBuf::uninit(&mut discarded);
            match ready!(Pin::new(&mut self.inner).poll_read(context, &mut discarded)) {
                Ok(()) if !discarded.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
        }
    }
}

/// How long the peer of a connection may leave a long answer unread.
#[derive(Clone, Debug, Default)]
struct Grace {
    millis: Arc<AtomicU64>,
}

impl Grace {
    fn get(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
    }

    fn set(&self, grace: Duration) {
        let millis = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        self.millis.store(millis, Ordering::Relaxed);
    }
}

/// Detects whether the peer has closed a connection, while other code reads from it.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// A duplicate of the connection's descriptor; a connection without one counts as open.
    socket: Option<Arc<Socket>>,
    grace: Grace,
    /// Whether the peer may still send a body that is not read.
    is_reading: Arc<AtomicBool>,
}

/// The unread data after a request from which on a peer counts as one that does not wait for answers.
const EXCESS_BYTES: usize = 16 << 10;

impl Watch {
    /// Watches a non-blocking connection. The connection stays open until both the watch and the
    /// original socket are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the descriptor can't be duplicated, for example if none is free.
    pub fn new(socket: &impl AsFd) -> std::io::Result<Self> {
        let socket = SockRef::from(socket).try_clone()?;
        Ok(Self {
            socket: Some(Arc::new(socket)),
            ..Self::default()
        })
    }

    /// Sets how long the peer may read nothing of the next answer, if that is longer than sent bytes may stay
    /// unacknowledged.
    pub fn grant(&self, unread: Duration) {
        self.grace.set(unread);
    }

    /// Sets whether the peer may still send a body that is not read.
    pub fn set_reading(&self, is_reading: bool) {
        self.is_reading.store(is_reading, Ordering::Relaxed);
    }

    /// Returns whether the peer may still send a body that is not read.
    pub fn is_reading(&self) -> bool {
        self.is_reading.load(Ordering::Relaxed)
    }

    /// Returns whether the peer has sent much data after a request that was read to its end.
    pub fn has_excess(&self) -> bool {
        if self.is_reading.load(Ordering::Relaxed) {
            return false;
        }
        let mut data = [MaybeUninit::uninit(); EXCESS_BYTES];
        let peeked = self.socket.as_ref().map(|socket| socket.peek(&mut data));
        matches!(peeked, Some(Ok(EXCESS_BYTES..)))
    }

    /// Returns whether the peer has closed its side and all data that it sent has been read.
    pub fn is_closed(&self) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        // An error means that no data has arrived, or is reported by the next read.
        matches!(socket.peek(&mut [MaybeUninit::uninit()]), Ok(0))
    }
}
