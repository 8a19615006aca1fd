//! An endpoint that reads requests and writes bytes as a test says, also such as are no proper answer.

use std::{future::Future, net::SocketAddr, sync::Arc};

use hyper::StatusCode;
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A listener that ends when this is dropped. Connections that it has accepted go on.
#[derive(Debug)]
pub(crate) struct Listener {
    accepting: JoinHandle<()>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// A connection that a box has opened.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: BufReader<TcpStream>,
}

/// A request with its body.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) path: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Removes a header by its name in lower case.
    pub(crate) fn forget(&mut self, name: &str) {
        self.headers.retain(|(known, _)| known != name);
    }

    /// Returns an answer to this request: it echoes the request's id under a name, if there is one.
    pub(crate) fn answer(&self, id_header: &str, status: u16, more: &str, body: &str) -> String {
        let id = self.header(id_header);
        let id = id.map(|id| format!("{id_header}: {id}\r\n"));
        let more = id.unwrap_or_default() + more;
        answer(status, &more, body)
    }
}

/// Returns an answer with further header lines, each ended by a line break.
pub(crate) fn answer(status: u16, more: &str, body: &str) -> String {
    let status = StatusCode::from_u16(status).unwrap();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{more}\r\n{body}")
}

impl Connection {
    /// Reads the next request; `None` once the box has closed the connection.
    pub(crate) async fn request(&mut self) -> Option<Request> {
        let first = self.line().await?;
        let mut words = first.split(' ');
        let mut request = Request {
            path: words.nth(1)?.to_owned(),
            ..Request::default()
        };
        loop {
            let line = self.line().await?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            request.headers.push(header);
        }
        let length = request.header("content-length");
        let length = length.and_then(|text| text.parse().ok());
        request.body = vec![0; length.unwrap_or(0)];
        self.stream.read_exact(&mut request.body).await.ok()?;
        Some(request)
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.stream.read_line(&mut line).await.ok()?;
        (count > 0).then(|| line.trim_end().to_owned())
    }

    /// Writes bytes; returns whether the box still takes them.
    pub(crate) async fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).await.is_ok()
    }

    /// Writes bytes again and again until the box closes the connection.
    pub(crate) async fn write_endlessly(&mut self, bytes: impl AsRef<[u8]>) {
        while self.write(bytes.as_ref()).await {}
    }
}

/// Listens at an address and serves each connection with a function.
pub(crate) async fn listen<F>(
    address: SocketAddr,
    serve: impl Fn(Connection) -> F + Send + Sync + 'static,
) -> Listener
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await.unwrap();
    let serve = Arc::new(serve);
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let stream = BufReader::new(stream);
            tokio::spawn(serve(Connection { stream }));
        }
    });
    Listener { accepting }
}
