//! An HTTP client for plain and streamed requests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http1, HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;

/// The time within which any answer must arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// An HTTP/1 connection, over which requests are sent one after another.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

/// An answer that was read to its end.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn verdict(&self) -> Option<&str> {
        self.header("scalewood-verdict")
    }
}

/// A streamed answer that was read to its end or until it broke off.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) status: u16,
    pub(crate) verdict: Option<String>,
    pub(crate) text: String,
    /// Whether the end mark arrived.
    pub(crate) is_complete: bool,
    /// The error event, if one arrived.
    pub(crate) error: Option<Value>,
    /// The time from sending the request to the first token.
    pub(crate) first: Option<Duration>,
    /// The times between consecutive tokens.
    pub(crate) between: Vec<Duration>,
    /// The ids of all events.
    pub(crate) ids: Vec<String>,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, address })
    }

    /// Returns whether the connection has not been closed and can be used again.
    pub(crate) async fn is_open(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub(crate) async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> std::io::Result<Response<Incoming>> {
        let host = self.address.to_string();
        self.send_to(&host, method, path, headers, body).await
    }

    /// Sends a request with a `host` header.
    pub(crate) async fn send_to(
        &mut self,
        host: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> std::io::Result<Response<Incoming>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(std::io::Error::other)?;
        self.sender.ready().await.map_err(std::io::Error::other)?;
        self.sender
            .send_request(request)
            .await
            .map_err(std::io::Error::other)
    }
}

/// Reads an answer to its end.
pub(crate) async fn whole(response: Response<Incoming>) -> std::io::Result<Answer> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(std::io::Error::other)?;
    Ok(Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Sends a request over a new connection and reads the answer.
pub(crate) async fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> std::io::Result<Answer> {
    let ask = async {
        let mut connection = Connection::open(address).await?;
        whole(connection.send(method, path, headers, body).await?).await
    };
    tokio::time::timeout(ANSWER_TIMEOUT, ask)
        .await
        .map_err(std::io::Error::other)?
}

/// Returns the body of a chat request.
pub(crate) fn chat(model: &str, prompt: &str, stream: bool) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": model, "messages": messages, "stream": stream }).to_string()
}

/// Returns the value of the authorization header.
pub(crate) fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

/// Sends a chat request over a connection and reads the answer until it ends or breaks off.
pub(crate) async fn stream(
    connection: &mut Connection,
    token: &str,
    class: &str,
    body: String,
) -> std::io::Result<Streamed> {
    let bearer = bearer(token);
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-class", class),
    ];
    let sent = std::time::Instant::now();
    let response = connection
        .send("POST", "/v1/chat/completions", &headers, body)
        .await?;
    let mut streamed = Streamed {
        status: response.status().as_u16(),
        ..Streamed::default()
    };
    let verdict = response.headers().get("scalewood-verdict");
    streamed.verdict = verdict.and_then(|v| v.to_str().ok()).map(str::to_owned);
    if streamed.status != 200 {
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?;
        streamed.error = serde_json::from_slice(&body.to_bytes()).ok();
        return Ok(streamed);
    }
    let mut events = std::pin::pin!(response.into_body().into_data_stream().eventsource());
    let mut last = sent;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            streamed.is_complete = true;
            continue;
        }
        let value: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
        if value.get("error").is_some() {
            streamed.error = Some(value);
            continue;
        }
        let text = value["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        if text.is_empty() {
            continue;
        }
        let now = std::time::Instant::now();
        match streamed.first {
            None => streamed.first = Some(now - sent),
            Some(_) => streamed.between.push(now - last),
        }
        last = now;
        streamed.text.push_str(text);
        streamed.ids.extend(value["id"].as_str().map(str::to_owned));
    }
    Ok(streamed)
}
