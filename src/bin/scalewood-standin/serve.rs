//! The stand-in's HTTP server.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, PoisonError,
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    body::{Body, Frame, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
    Method, Request, Response, StatusCode,
};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::{net::TcpListener, sync::mpsc, time::Instant};

use crate::{
    answer,
    engine::Engine,
    faults::Faults,
    orders::{Order, Orders},
    record::{Record, Run, TurnedAway},
    Settings,
};

/// A request whose text contains this ends the process once it runs.
const CRASH_TEXT: &str = "end the endpoint";
/// The header in which boxes name a request.
const REQUEST_HEADER: &str = "scalewood-request";
/// The exit code of a process that such a request ends.
const CRASH_EXIT_CODE: i32 = 3;

/// The state of a stand-in.
#[derive(Debug)]
pub(crate) struct Standin {
    settings: Settings,
    engine: Engine,
    faults: Mutex<Faults>,
    record: Record,
    orders: Orders,
    turned_away: Mutex<Vec<TurnedAway>>,
    started: Instant,
    /// The number of requests that `/load` reports, which is out of date by the configured lag.
    lagging_load: AtomicU32,
}

/// A piece of a response's body, or an error that closes the connection.
type Piece = Result<Bytes, std::io::Error>;

/// A response's body, which is sent piece by piece.
struct Pieces(mpsc::Receiver<Piece>);

impl Body for Pieces {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.0
            .poll_recv(context)
            .map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}

type Sender = mpsc::Sender<Piece>;

impl Standin {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            engine: Engine::new(settings.slots),
            faults: Mutex::default(),
            record: Record::new(settings.record.as_deref()),
            orders: Orders::default(),
            turned_away: Mutex::default(),
            started: Instant::now(),
            lagging_load: AtomicU32::new(0),
            settings,
        }
    }

    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this stream is to be broken, and counts it as broken if so.
    fn take_break(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let breaks = faults.breaks > 0;
        faults.breaks -= u32::from(breaks);
        breaks
    }
}

/// Accepts connections and serves them; returns only if that fails.
pub(crate) async fn run(standin: Arc<Standin>) -> std::io::Result<()> {
    let listener = TcpListener::bind(standin.settings.listen).await?;
    tokio::spawn(report_load(standin.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        let _ = stream.set_nodelay(true);
        let standin = standin.clone();
        let service = service_fn(move |request| {
            let standin = standin.clone();
            async move { Ok::<_, Infallible>(answer_to(standin, request).await) }
        });
        tokio::spawn(async move {
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Updates the reported load, with the configured lag.
async fn report_load(standin: Arc<Standin>) {
    loop {
        let load = u32::try_from(standin.engine.load()).unwrap_or(u32::MAX);
        tokio::time::sleep(standin.settings.lag).await;
        standin.lagging_load.store(load, Ordering::Relaxed);
    }
}

fn whole(status: StatusCode, body: &Value) -> Response<Pieces> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Ok(body.to_string().into()));
    let mut response = Response::new(Pieces(receiver));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Answers a request, and echoes the id that a box gave it.
async fn answer_to(standin: Arc<Standin>, request: Request<Incoming>) -> Response<Pieces> {
    let id = request.headers().get(REQUEST_HEADER).cloned();
    let mut response = answer_unnamed(standin, request).await;
    if let Some(id) = id {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
    response
}

async fn answer_unnamed(standin: Arc<Standin>, request: Request<Incoming>) -> Response<Pieces> {
    let path = request.uri().path().to_owned();
    if standin.faults().rest_ms > 0 && !path.starts_with("/standin/") {
        return turn_away(&standin, request).await;
    }
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/health") if standin.faults().leaving => whole(
            StatusCode::SERVICE_UNAVAILABLE,
            &json!({ "status": "leaving" }),
        ),
        (Method::GET, "/health") => whole(StatusCode::OK, &json!({ "status": "ok" })),
        (Method::GET, "/load") => {
            let load = standin.lagging_load.load(Ordering::Relaxed);
            whole(StatusCode::OK, &json!({ "server_load": load }))
        }
        (Method::GET, "/standin/runs") => {
            whole(StatusCode::OK, &json!({ "runs": standin.record.runs() }))
        }
        (Method::GET, "/standin/orders") => whole(
            StatusCode::OK,
            &json!({ "orders": standin.orders.accepted() }),
        ),
        (Method::GET, "/standin/turned-away") => {
            let turned_away = standin.turned_away.lock();
            let turned_away = turned_away.unwrap_or_else(PoisonError::into_inner);
            whole(StatusCode::OK, &json!({ "turned_away": *turned_away }))
        }
        (Method::POST, "/standin/faults") => set_faults(&standin, request).await,
        (Method::POST, "/orders") => take_order(&standin, request).await,
        (Method::POST, "/v1/chat/completions" | "/v1/completions") if standin.settings.model => {
            model(standin, request).await
        }
        _ if !standin.settings.model => plain(standin, request).await,
        _ => whole(StatusCode::NOT_FOUND, &json!({ "error": "nothing here" })),
    }
}

/// Rejects a request and asks for a backoff.
async fn turn_away(standin: &Standin, request: Request<Incoming>) -> Response<Pieces> {
    let rest_ms = standin.faults().rest_ms;
    let path = request.uri().path().to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return whole(StatusCode::BAD_REQUEST, &json!({ "error": "no body" }));
    };
    let at = standin.started.elapsed().as_millis();
    let turned_away = TurnedAway {
        at_ms: u64::try_from(at).unwrap_or(u64::MAX),
        path,
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        rest_ms,
    };
    standin
        .turned_away
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(turned_away);
    let mut response = whole(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "error": "no room" }),
    );
    let headers = response.headers_mut();
    let not_run = header::HeaderValue::from_static("not-run");
    headers.insert("scalewood-verdict", not_run);
    let seconds = f64::from(rest_ms) / 1000.0;
    if let Ok(backoff) = header::HeaderValue::from_str(&seconds.to_string()) {
        headers.insert(header::RETRY_AFTER, backoff);
    }
    response
}

async fn read<T: serde::de::DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn set_faults(standin: &Standin, request: Request<Incoming>) -> Response<Pieces> {
    let Some(faults) = read(request).await else {
        return whole(StatusCode::BAD_REQUEST, &json!({ "error": "no faults" }));
    };
    *standin
        .faults
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = faults;
    whole(StatusCode::OK, &json!({}))
}

async fn take_order(standin: &Standin, request: Request<Incoming>) -> Response<Pieces> {
    let Some(order) = read::<Order>(request).await else {
        return whole(StatusCode::BAD_REQUEST, &json!({ "error": "no order" }));
    };
    if standin.orders.take(order, standin.settings.fencing) {
        return whole(StatusCode::OK, &json!({}));
    }
    whole(StatusCode::CONFLICT, &json!({ "error": "fenced off" }))
}

fn text_header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request
        .headers()
        .get(name)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

/// Returns the prompt and the part of the answer that an earlier attempt delivered.
fn prompt_of(body: &Value) -> (String, String) {
    if let Some(prompt) = body.get("prompt").and_then(Value::as_str) {
        return (prompt.to_owned(), String::new());
    }
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    let text = |message: &Value| {
        message
            .get("content")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let continued = body.get("continue_final_message").and_then(Value::as_bool) == Some(true);
    let (messages, delivered) = match messages.split_last() {
        Some((last, rest)) if continued => (rest.to_vec(), text(last)),
        _ => (messages, String::new()),
    };
    (
        messages.iter().map(text).collect::<Vec<_>>().join("\n"),
        delivered,
    )
}

async fn model(standin: Arc<Standin>, request: Request<Incoming>) -> Response<Pieces> {
    let id = text_header(&request, REQUEST_HEADER).unwrap_or_default();
    let Some(body) = read::<Value>(request).await else {
        return whole(StatusCode::BAD_REQUEST, &json!({ "error": "no JSON" }));
    };
    let (prompt, delivered) = prompt_of(&body);
    // `max_tokens` limits only the tokens that are still to be delivered.
    let max = body.get("max_tokens").and_then(Value::as_u64);
    let all = answer::tokens(&prompt, None);
    let resumed_at = count_delivered(&all, &delivered);
    let Some(resumed_at) = resumed_at else {
        return whole(
            StatusCode::BAD_REQUEST,
            &json!({ "error": "not what was answered" }),
        );
    };
    let rest = all.len() - resumed_at;
    let rest = max.map_or(rest, |max| {
        rest.min(usize::try_from(max).unwrap_or(usize::MAX))
    });
    let tokens = all[resumed_at..resumed_at + rest].to_vec();
    standin.record.record(Run {
        request: id,
        key: None,
        what: prompt.clone(),
        resumed_at: resumed_at as u64,
    });
    let stream = body.get("stream").and_then(Value::as_bool) == Some(true);
    let priority = body.get("priority").and_then(Value::as_i64).unwrap_or(0);
    let chat = body.get("messages").is_some();
    let (sender, receiver) = mpsc::channel(4);
    let run = Generation {
        standin,
        prompt,
        tokens,
        priority,
        chat,
        stream,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = run.run(&sender) => {}
            () = sender.closed() => {}
        }
    });
    let mut response = Response::new(Pieces(receiver));
    let kind = if stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// Returns the number of tokens that a delivered text consists of, or `None` if it is not the
/// beginning of the answer.
fn count_delivered(all: &[String], delivered: &str) -> Option<usize> {
    let mut rest = delivered;
    let mut count = 0;
    while !rest.is_empty() {
        rest = rest.strip_prefix(all.get(count)?.as_str())?;
        count += 1;
    }
    Some(count)
}

/// Ends the process, and with it all running requests, if a request's text asks for it.
fn crash_if_asked(text: &str) {
    if text.contains(CRASH_TEXT) {
        std::process::exit(CRASH_EXIT_CODE);
    }
}

/// An answer that is being generated.
struct Generation {
    standin: Arc<Standin>,
    prompt: String,
    tokens: Vec<String>,
    priority: i64,
    chat: bool,
    stream: bool,
}

impl Generation {
    async fn run(self, sender: &Sender) {
        let faults = self.standin.faults();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        let breaks = self.standin.take_break().then_some(faults.break_after);
        let Some(_slot) = self.standin.engine.slot(self.priority).await else {
            return;
        };
        let settings = &self.standin.settings;
        let mut due = Instant::now() + faults.slowed(settings.first);
        for (i, token) in self.tokens.iter().enumerate() {
            tokio::time::sleep_until(due).await;
            due += faults.slowed(settings.token);
            if breaks == Some(i as u64) {
                let _ = sender
                    .send(Err(std::io::ErrorKind::BrokenPipe.into()))
                    .await;
                return;
            }
            crash_if_asked(&self.prompt);
            if self.stream && !self.send(sender, Some(token)).await {
                return;
            }
        }
        if self.stream {
            let _ = self.send(sender, None).await;
            let _ = sender.send(Ok("data: [DONE]\n\n".into())).await;
        } else {
            let _ = sender.send(Ok(self.whole().to_string().into())).await;
        }
    }

    async fn send(&self, sender: &Sender, token: Option<&String>) -> bool {
        let finish = if token.is_none() {
            json!("stop")
        } else {
            Value::Null
        };
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": token }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": token.map_or("", |t| t), "finish_reason": finish })
        };
        let chunk = json!({ "id": "standin", "object": "chunk", "choices": [choice] });
        sender
            .send(Ok(format!("data: {chunk}\n\n").into()))
            .await
            .is_ok()
    }

    fn whole(&self) -> Value {
        let text = self.tokens.concat();
        let choice = if self.chat {
            json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        json!({
            "id": "standin",
            "choices": [choice],
            "usage": { "prompt_tokens": 1, "completion_tokens": self.tokens.len() },
        })
    }
}

async fn plain(standin: Arc<Standin>, request: Request<Incoming>) -> Response<Pieces> {
    let id = text_header(&request, REQUEST_HEADER).unwrap_or_default();
    let key = text_header(&request, "idempotency-key");
    let what = format!("{} {}", request.method(), request.uri());
    let faults = standin.faults();
    let Ok(body) = request.into_body().collect().await else {
        return whole(StatusCode::BAD_REQUEST, &json!({ "error": "no body" }));
    };
    if faults.hang {
        std::future::pending::<()>().await;
    }
    let Some(_slot) = standin.engine.slot(0).await else {
        return whole(
            StatusCode::SERVICE_UNAVAILABLE,
            &json!({ "error": "stopping" }),
        );
    };
    standin.record.record(Run {
        request: id,
        key: key.clone(),
        what: what.clone(),
        resumed_at: 0,
    });
    tokio::time::sleep(faults.slowed(standin.settings.first)).await;
    let echo = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    crash_if_asked(&echo);
    if faults.cut_after_run {
        return cut();
    }
    whole(
        StatusCode::OK,
        &json!({ "done": what, "key": key, "echo": echo }),
    )
}

/// Returns a response whose connection breaks.
fn cut() -> Response<Pieces> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Err(std::io::ErrorKind::BrokenPipe.into()));
    // The stated length is never reached, so that the client detects the break whatever the timing.
    let mut response = Response::new(Pieces(receiver));
    let length = header::HeaderValue::from_static("1000000");
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, length);
    response
}
