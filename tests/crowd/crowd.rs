//! The clients of a crowd.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinSet,
};

use crate::MAX_BODY;

/// The length of large chunks.
const LARGE_CHUNK: usize = 64 << 10;
/// The number of very small chunks that each client sends.
pub(crate) const SMALL_CHUNKS: usize = 128 << 10;
/// The length of pieces that are written one by one.
const PIECE: usize = 512;
/// What a client sends of a body that is far over the limit.
const OVER: usize = 4 * MAX_BODY;
/// The length that is announced of such a body.
const ANNOUNCED: usize = 1 << 30;
/// The bytes that are sent after a request that is not answered yet.
const PIPELINED: usize = 16 << 20;
/// The bytes of a head, a trailer section or a chunk extension without end.
const ENDLESS: usize = 4 << 20;
/// How long no client may get on before the crowd counts as settled.
const SETTLED: Duration = Duration::from_secs(2);
/// How long a crowd may take to settle.
const MAX_SETTLING: Duration = Duration::from_secs(60);

/// What each client of a crowd sends before it stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// So many chunks of one byte, without the last one.
    SmallChunks(usize),
    /// Large chunks of a legal body, without the last one.
    LargeChunks,
    /// A body over the limit whose length is announced.
    OverAnnounced,
    /// A body over the limit in chunks.
    OverSent,
    /// A whole body of the largest legal size.
    Whole,
    /// A whole body of the largest legal size, but for its last byte.
    WholeShort,
    /// A body of the largest legal size piece by piece, but for its last byte.
    PiecesShort,
    /// A legal body with as many JSON values as fit.
    Json(usize),
    /// A header without end.
    Head,
    /// A part of a head.
    HeadShort,
    /// A trailer section without end.
    Trailers,
    /// A chunk whose extension has no end.
    Extension,
    /// A connection over which nothing is sent.
    Idle,
    /// A request whose answer is never read.
    Unread,
    /// A request, and behind it more requests than any buffer holds.
    Pipelined,
}

/// The shapes of a crowd that sends bodies.
pub(crate) const BODIES: [Shape; 7] = [
    Shape::SmallChunks(SMALL_CHUNKS),
    Shape::LargeChunks,
    Shape::OverAnnounced,
    Shape::OverSent,
    Shape::Whole,
    Shape::WholeShort,
    Shape::PiecesShort,
];

/// Clients whose connections stay open until this is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

/// Counts what the clients of a crowd have done, to tell when nothing more happens.
#[derive(Debug, Default)]
struct Progress {
    bytes: AtomicUsize,
    done: AtomicUsize,
}

impl Crowd {
    /// Opens `count` connections and sends a shape over each. `head` is the request line and the headers, each with its
    /// line break, but for those that frame the body. Returns once the clients have sent all, were refused, or get on
    /// no further.
    pub(crate) async fn gather(
        address: SocketAddr,
        head: &str,
        shape: Shape,
        count: usize,
    ) -> Self {
        let progress = Arc::new(Progress::default());
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (head, progress) = (head.to_owned(), progress.clone());
            clients.spawn(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else {
                    progress.done.fetch_add(1, Ordering::Relaxed);
                    return;
                };
                if shape == Shape::Unread {
                    let _ = SockRef::from(&stream).set_recv_buffer_size(16 << 10);
                }
                let (mut reader, mut writer) = stream.split();
                let sending = async {
                    send(&mut writer, &head, shape, &progress).await;
                    progress.done.fetch_add(1, Ordering::Relaxed);
                    std::future::pending::<()>().await;
                };
                let reading = async {
                    if shape == Shape::Unread {
                        return std::future::pending().await;
                    }
                    let mut answer = [0; 4096];
                    while matches!(reader.read(&mut answer).await, Ok(1..)) {}
                };
                tokio::select! {
                    () = sending => {}
                    () = reading => drop(progress.done.fetch_add(1, Ordering::Relaxed)),
                }
            });
        }
        progress.settle(count).await;
        Self { _clients: clients }
    }
}

impl Progress {
    async fn settle(&self, count: usize) {
        let began = Instant::now();
        let (mut seen, mut since) = (0, began);
        while self.done.load(Ordering::Relaxed) < count {
            assert!(began.elapsed() < MAX_SETTLING, "the crowd goes on");
            let bytes = self.bytes.load(Ordering::Relaxed);
            if bytes > seen {
                (seen, since) = (bytes, Instant::now());
            } else if since.elapsed() > SETTLED {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Lets the process read what is left in its sockets.
        tokio::time::sleep(SETTLED).await;
    }
}

type Writer<'a> = tokio::net::tcp::WriteHalf<'a>;

/// Writes bytes and counts them; returns whether the peer still takes them.
async fn write(writer: &mut Writer<'_>, bytes: &[u8], progress: &Progress) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        match writer.write(rest).await {
            Ok(count @ 1..) => {
                progress.bytes.fetch_add(count, Ordering::Relaxed);
                rest = &rest[count..];
            }
            _ => return false,
        }
    }
    true
}

/// Writes bytes again and again, up to a total.
async fn repeat(writer: &mut Writer<'_>, bytes: &[u8], total: usize, progress: &Progress) -> bool {
    let mut left = total;
    while left > 0 {
        let count = left.min(bytes.len());
        if !write(writer, &bytes[..count], progress).await {
            return false;
        }
        left -= count;
    }
    true
}

async fn send(writer: &mut Writer<'_>, head: &str, shape: Shape, progress: &Progress) {
    let with_length = |length: usize| format!("{head}content-length: {length}\r\n\r\n");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let filler = vec![b'x'; LARGE_CHUNK];
    let large_chunk = [
        format!("{LARGE_CHUNK:x}\r\n").as_bytes(),
        &filler,
        b"\r\n".as_slice(),
    ]
    .concat();
    let (begin, again, total) = match shape {
        Shape::Idle => return,
        Shape::SmallChunks(count) => {
            let chunk = b"1\r\nx\r\n";
            (chunked, chunk.repeat(4096), chunk.len() * count)
        }
        Shape::LargeChunks => {
            let total = large_chunk.len() * (MAX_BODY / LARGE_CHUNK);
            (chunked, large_chunk, total)
        }
        Shape::OverAnnounced => (with_length(ANNOUNCED), filler, OVER),
        Shape::OverSent => {
            let total = large_chunk.len() * (OVER / LARGE_CHUNK);
            (chunked, large_chunk, total)
        }
        Shape::Whole => (with_length(MAX_BODY), filler, MAX_BODY),
        Shape::WholeShort => (with_length(MAX_BODY), filler, MAX_BODY - 1),
        Shape::PiecesShort => (with_length(MAX_BODY), vec![b'x'; PIECE], MAX_BODY - 1),
        Shape::Json(length) => {
            let body = json(length);
            (with_length(length), body, length)
        }
        Shape::HeadShort => (head.to_owned(), Vec::new(), 0),
        Shape::Head => (format!("{head}x-endless: "), filler, ENDLESS),
        Shape::Trailers => {
            let begin = format!("{chunked}1\r\nx\r\n0\r\n");
            (begin, b"x-a: b\r\n".repeat(512), ENDLESS)
        }
        Shape::Extension => (format!("{chunked}1;"), filler, ENDLESS),
        Shape::Unread => (with_length(0), Vec::new(), 0),
        Shape::Pipelined => {
            let request = with_length(0);
            let more = request.as_bytes().repeat(64);
            (request, more, PIPELINED)
        }
    };
    if write(writer, begin.as_bytes(), progress).await {
        repeat(writer, &again, total, progress).await;
    }
}

/// Returns a chat request of a length with as many JSON values as fit.
pub(crate) fn json(length: usize) -> Vec<u8> {
    let begin = format!(
        "{{\"model\":\"{}\",\"messages\":[],\"x\":[{{}}",
        crate::support::deploy::MODEL
    );
    let end = "]}";
    let value = ",{\"\":0}";
    let count = (length - begin.len() - end.len()) / value.len();
    let mut body = [begin.as_str(), &value.repeat(count), end].concat();
    body.push_str(&" ".repeat(length - body.len()));
    body.into_bytes()
}
