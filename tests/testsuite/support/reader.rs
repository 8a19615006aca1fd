//! An endpoint in this process with a limited prefill rate.
//!
//! It reads one prompt after another without interruption, the most urgent first, and then answers
//! with two events, the second one after a delay. So the prompts that wait delay later requests.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt as _, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
    HeaderMap, Request, Response,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::{oneshot, Notify},
};

/// The request header with the time from the first event to the second, in milliseconds.
pub(crate) const STREAMED: &str = "x-streamed-ms";

/// A prompt that an endpoint has received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedPrompt {
    pub(crate) path: String,
    pub(crate) tokens: u64,
    /// When it arrived.
    pub(crate) at: Instant,
}

/// A prompt that waits for prefill.
#[derive(Debug)]
struct Waiting {
    tokens: u64,
    read: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct Queue {
    /// The waiting prompts by rank, then by order of arrival.
    waiting: Mutex<BTreeMap<(u64, u64), Waiting>>,
    arrived: Notify,
    received: Mutex<Vec<ReceivedPrompt>>,
}

/// An endpoint with a limited prefill rate.
#[derive(Debug)]
pub(crate) struct Reader {
    queue: Arc<Queue>,
}

impl Reader {
    /// Starts an endpoint that reads `rate` tokens per millisecond.
    pub(crate) async fn start(address: SocketAddr, rate: f64) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let queue = Arc::new(Queue::default());
        tokio::spawn(read_prompts(queue.clone(), rate));
        let accepting = queue.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let queue = accepting.clone();
                let service = service_fn(move |request| {
                    let queue = queue.clone();
                    async move { Ok::<_, Infallible>(queue.serve(request).await) }
                });
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { drop(served.await) });
            }
        });
        Self { queue }
    }

    /// Returns all prompts that it has received.
    pub(crate) fn received(&self) -> Vec<ReceivedPrompt> {
        self.queue.received.lock().unwrap().clone()
    }
}

/// Reads the waiting prompts, one after another.
async fn read_prompts(queue: Arc<Queue>, rate: f64) {
    let mut free = tokio::time::Instant::now();
    loop {
        let next = queue.waiting.lock().unwrap().pop_first();
        let Some((_, next)) = next else {
            queue.arrived.notified().await;
            continue;
        };
        if next.read.is_closed() {
            continue;
        }
        let took = Duration::from_secs_f64(next.tokens as f64 / rate / 1000.0);
        // Counts from the end of the last prompt, so that late timers don't reduce the rate.
        free = free.max(tokio::time::Instant::now()) + took;
        tokio::time::sleep_until(free).await;
        let _ = next.read.send(());
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    let first = text.and_then(|text| text.split(',').next());
    first.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl Queue {
    async fn serve(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        body.collect().await.unwrap();
        let tokens = header_number(&parts.headers, "scalewood-tokens");
        let rank = header_number(&parts.headers, "scalewood-rank");
        let (read, is_read) = oneshot::channel();
        {
            let mut received = self.received.lock().unwrap();
            received.push(ReceivedPrompt {
                path: parts.uri.path().to_owned(),
                tokens,
                at: Instant::now(),
            });
            let place = (rank, received.len() as u64);
            let mut waiting = self.waiting.lock().unwrap();
            waiting.insert(place, Waiting { tokens, read });
        }
        self.arrived.notify_one();
        // The task that reads prompts runs until the end of the test.
        is_read.await.unwrap();
        let mut response = stream(Duration::from_millis(header_number(
            &parts.headers,
            STREAMED,
        )));
        if let Some(id) = parts.headers.get("scalewood-id") {
            response.headers_mut().insert("scalewood-id", id.clone());
        }
        response
    }
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

fn stream(streamed: Duration) -> Response<Body> {
    let pieces = futures_util::stream::unfold(0, move |number| async move {
        if number > 1 {
            return None;
        }
        if number > 0 {
            tokio::time::sleep(streamed).await;
        }
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), number + 1))
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}
