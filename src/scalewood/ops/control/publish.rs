//! The publishing API: routings as whole documents, and endpoints' announcements.
//!
//! Which paths and bodies it speaks is a [`Dialect`]; what they lead to is the same for
//! all. An answer is never held: where no leader is reached in time, the caller is told
//! to ask again. A routing that was taken is acknowledged or left unclear, never refused.

use std::{
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{
    body::{Body as _, Incoming},
    header,
    server::conn::http1,
    service::service_fn,
    Method, Request, Response, StatusCode,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::error::Category;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    core::{change, cordon, ledger, name, region, registry, route},
    event,
    ops::control::{self, metric::Metrics, refusal, registry::Endpoints, unix_ms, Error, Handle},
    util::{
        clock::{self, Clock as _},
        lock::lock,
        socket,
    },
    wire::control::Passed,
};

/// The largest body, in bytes.
const MAX_BODY: usize = 32 * 1024 * 1024;
/// The largest heartbeat, in bytes: one has some hundred, and some thousand where it names many
/// models.
const MAX_HEARTBEAT: usize = 64 * 1024;
/// How long a head may take, and a connection may be at rest.
const REST: Duration = Duration::from_secs(30);
/// How long a body may take.
const ARRIVAL: Duration = Duration::from_secs(10);
/// How long an answer may take: callers go elsewhere after a second.
const ANSWER: Duration = Duration::from_millis(850);

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// To publish a routing.
    Publish,
    /// To read the routing in force.
    Read,
    /// To take an endpoint's heartbeat.
    Announce(name::Endpoint),
    /// To forget an endpoint.
    Leave(name::Endpoint),
    /// To cordon or uncordon a zone.
    Cordon(cordon::Mark),
    /// Something at a path of this API that can't be meant so, and why.
    Mistaken(String),
    /// What the path does not take.
    WrongMethod,
    /// Nothing that this API knows.
    Unknown,
}

impl Asked {
    /// What a call to a zone's path asks for: POST cordons it, DELETE takes that back.
    pub fn of_zone(method: &Method, zone: &str) -> Self {
        let act = match *method {
            Method::POST => cordon::Action::Cordon,
            Method::DELETE => cordon::Action::Uncordon,
            _ => return Asked::WrongMethod,
        };
        match zone.parse::<name::Zone>() {
            Ok(zone) => Asked::Cordon(cordon::Mark { zone, act }),
            Err(error) => Asked::Mistaken(error.to_string()),
        }
    }
}

/// The paths and bodies that operators and endpoints speak.
pub trait Dialect: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// What a call asks for.
    fn asked(method: &Method, path: &str) -> Asked;

    /// The routing that a body holds.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong if the body can't be read in full.
    fn routing(body: &[u8]) -> Result<route::Routing, String>;

    /// The record that an endpoint's heartbeat holds.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong if the body can't be read.
    fn record(name: name::Endpoint, body: &[u8]) -> Result<registry::Record, registry::Refusal>;
}

/// The product's own paths and bodies.
#[derive(Clone, Debug)]
pub struct Native;

impl Native {
    const ROUTING: &str = "/v1/routing";
    const ENDPOINTS: &str = "/v1/endpoints/";
    const CORDONS: &str = "/v1/cordons/";
}

impl Dialect for Native {
    fn asked(method: &Method, path: &str) -> Asked {
        if path == Self::ROUTING {
            return match *method {
                Method::PUT => Asked::Publish,
                Method::GET => Asked::Read,
                _ => Asked::Unknown,
            };
        }
        if let Some(zone) = path.strip_prefix(Self::CORDONS) {
            return Asked::of_zone(method, zone);
        }
        let name = path.strip_prefix(Self::ENDPOINTS);
        let Some(name) = name.and_then(|name| name.parse().ok()) else {
            return Asked::Unknown;
        };
        match *method {
            Method::PUT => Asked::Announce(name),
            Method::DELETE => Asked::Leave(name),
            _ => Asked::Unknown,
        }
    }

    fn routing(body: &[u8]) -> Result<route::Routing, String> {
        serde_json::from_slice(body).map_err(|error| error.to_string())
    }

    fn record(name: name::Endpoint, body: &[u8]) -> Result<registry::Record, registry::Refusal> {
        let record: registry::Record = serde_json::from_slice(body).map_err(unread)?;
        if record.name != name {
            let why = format!("it names {}, and the path {name}", record.name);
            return Err(registry::Refusal::new(registry::Reason::OutOfRange, why));
        }
        Ok(record)
    }
}

fn unread(error: serde_json::Error) -> registry::Refusal {
    let reason = match error.classify() {
        Category::Data => registry::Reason::Mistyped,
        Category::Io | Category::Syntax | Category::Eof => registry::Reason::Unreadable,
    };
    registry::Refusal::new(reason, error.to_string())
}

/// What the API works on.
#[derive(Clone, Debug)]
pub(super) struct Api {
    pub(super) handle: Handle,
    pub(super) endpoints: Endpoints,
    pub(super) metrics: Metrics,
    pub(super) refusals: Arc<Mutex<refusal::Lines>>,
    /// The availability zones that are known beforehand.
    pub(super) zones: region::Map,
    pub(super) clock: clock::System,
    pub(super) log: slog::Logger,
}

type Reply = Response<Full<Bytes>>;

/// Serves the API.
pub(super) async fn serve<D: Dialect>(address: SocketAddr, api: Api) -> Result<(), Report<Error>> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::spawn(connection::<D>(stream, api.clone()))),
                // Out of file descriptors, say: others may go on meanwhile.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    });
    Ok(())
}

async fn connection<D: Dialect>(stream: TcpStream, api: Api) {
    let _ = stream.set_nodelay(true);
    // Without it an operator or endpoint that fell silent holds its connection for long.
    let _ = socket::CALLER.end(&stream);
    let service = service_fn(move |request| {
        let api = api.clone();
        async move { Ok::<_, Infallible>(api.answer::<D>(request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REST)
        .serve_connection(TokioIo::new(stream), service);
    // A caller's broken connection is its own affair.
    let _ = served.await;
}

impl Api {
    async fn answer<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        match D::asked(request.method(), request.uri().path()) {
            Asked::Publish => self.publish::<D>(request).await,
            Asked::Read => self.read().await,
            Asked::Announce(name) => self.announce::<D>(name, request).await,
            Asked::Leave(name) => {
                self.endpoints.leave(&name);
                reply(StatusCode::OK, "{}")
            }
            Asked::Cordon(mark) => self.cordon(mark, request).await,
            Asked::Mistaken(why) => failure(StatusCode::BAD_REQUEST, &why),
            Asked::WrongMethod => failure(
                StatusCode::METHOD_NOT_ALLOWED,
                "the path does not take this method",
            ),
            Asked::Unknown => failure(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }

    async fn announce<D: Dialect>(
        &self,
        name: name::Endpoint,
        request: Request<Incoming>,
    ) -> Reply {
        let record = match read(request, MAX_HEARTBEAT).await {
            Ok(body) => D::record(name.clone(), &body),
            Err(Unread::TooLarge) => Err(registry::Refusal::new(
                registry::Reason::TooLong,
                format!("it has over {MAX_HEARTBEAT} bytes"),
            )),
            Err(unread) => return unread.reply(),
        };
        match record.and_then(|record| self.usable(record)) {
            Ok(record) => {
                self.endpoints.announce(record);
                reply(StatusCode::OK, "{}")
            }
            Err(refusal) => self.refuse_record(&name, &refusal),
        }
    }

    /// Checks that a record is one of an endpoint that may be used.
    fn usable(&self, record: registry::Record) -> Result<registry::Record, registry::Refusal> {
        record.check()?;
        let published = self.handle.published();
        let document = published.ledger.document();
        // One that is known here says that it leaves, say, after its service was taken away.
        let is_known = self.endpoints.serves(&record.name, &record.service);
        let has_service = document.services.contains_key(&record.service);
        if document.routing.is_some() && !has_service && !is_known {
            let why = format!("no service is configured as {}", record.service);
            return Err(registry::Refusal::new(registry::Reason::Unknown, why));
        }
        Ok(record)
    }

    /// Refuses a heartbeat. What is known of its endpoint and of all others stays.
    fn refuse_record(&self, name: &name::Endpoint, refusal: &registry::Refusal) -> Reply {
        self.metrics.note_refused(refusal.reason);
        let told = lock(&self.refusals).note(refusal.reason, self.clock.now());
        if let Some(untold) = told {
            event!(self.log, BadAnnouncement, "endpoint" => %name,
                "reason" => refusal.reason.as_str(), "why" => &refusal.detail, "untold" => untold);
        }
        let status = match refusal.reason {
            registry::Reason::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            registry::Reason::Unknown => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::BAD_REQUEST,
        };
        failure(status, &refusal.to_string())
    }

    async fn publish<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        let arrived = self.clock.now();
        let reply = self.decide::<D>(request).await;
        let took = self.clock.now().saturating_sub(arrived).as_secs_f64();
        let outcome = match reply.status() {
            StatusCode::OK => "accepted",
            StatusCode::SERVICE_UNAVAILABLE => "unclear",
            _ => "refused",
        };
        self.metrics.note_published(outcome, took);
        reply
    }

    async fn decide<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        let body = match read(request, MAX_BODY).await {
            Ok(body) => body,
            Err(unread) => return unread.reply(),
        };
        let routing = match D::routing(&body) {
            Ok(routing) => routing,
            Err(why) => return self.refuse(None, &why),
        };
        let problems = routing.check();
        if !problems.is_empty() {
            let why: Vec<_> = problems.iter().map(ToString::to_string).collect();
            return self.refuse(Some(routing.version), &why.join("; "));
        }
        let Ok(source) = std::str::from_utf8(&body) else {
            return self.refuse(Some(routing.version), "the body is not UTF-8");
        };
        let version = routing.version;
        let publication = ledger::Publication {
            routing: Arc::new(routing),
            source: source.into(),
            operator: publisher(),
            at_unix_ms: unix_ms(),
        };
        let passed = in_time(self.handle.publish(publication)).await;
        self.published(version, passed)
    }

    fn published(&self, version: u64, passed: Passed<change::Answer>) -> Reply {
        match passed {
            Passed::Answer(change::Answer::Accepted { revision }) => {
                event!(self.log, VersionPublished, "version" => version, "revision" => %revision);
                reply(StatusCode::OK, "{}")
            }
            Passed::Answer(change::Answer::NotApplied { why, .. }) => {
                self.refuse(Some(version), &why.join("; "))
            }
            Passed::NotLeader | Passed::Unknown | Passed::Refused(_) => {
                event!(self.log, VersionUnclear, "version" => version);
                unclear()
            }
        }
    }

    fn refuse(&self, version: Option<u64>, why: &str) -> Reply {
        event!(self.log, VersionRefused, "version" => version, "why" => why);
        failure(StatusCode::BAD_REQUEST, why)
    }

    async fn cordon(&self, mark: cordon::Mark, request: Request<Incoming>) -> Reply {
        let arrived = self.clock.now();
        if let Some(why) = control::cordon::unknown(&mark.zone, &self.zones) {
            return self.refuse_cordon(&mark, &why);
        }
        if has_body(request).await {
            return self.refuse_cordon(&mark, "the call takes no body");
        }
        let order = cordon::Order {
            mark: mark.clone(),
            operator: publisher(),
            id: None,
            why: String::new(),
            at_unix_ms: unix_ms(),
        };
        let passed = in_time(self.handle.cordon(order)).await;
        let took = self.clock.now().saturating_sub(arrived);
        self.cordoned(&mark, passed, took)
    }

    fn cordoned(
        &self,
        mark: &cordon::Mark,
        passed: Passed<change::Answer>,
        took: Duration,
    ) -> Reply {
        match passed {
            Passed::Answer(change::Answer::Accepted { revision }) => {
                self.metrics.note_cordon("accepted", took);
                event!(self.log, CordonAccepted, "zone" => %mark.zone, "act" => %mark.act,
                    "operator" => %publisher(), "revision" => %revision,
                    "took_ms" => took.as_millis());
                reply(StatusCode::OK, "{}")
            }
            Passed::Answer(change::Answer::NotApplied { why, .. }) => {
                self.refuse_cordon(mark, &why.join("; "))
            }
            Passed::NotLeader | Passed::Unknown | Passed::Refused(_) => {
                self.metrics.note_cordon("unclear", took);
                event!(self.log, CordonUnclear, "zone" => %mark.zone, "act" => %mark.act,
                    "took_ms" => took.as_millis());
                unclear()
            }
        }
    }

    fn refuse_cordon(&self, mark: &cordon::Mark, why: &str) -> Reply {
        self.metrics.note_cordon("refused", Duration::ZERO);
        event!(self.log, CordonRefused, "zone" => %mark.zone, "act" => %mark.act, "why" => why);
        failure(StatusCode::BAD_REQUEST, why)
    }

    async fn read(&self) -> Reply {
        match in_time(self.handle.read()).await {
            Passed::Answer(Some(source)) => reply(StatusCode::OK, source.as_bytes().to_vec()),
            _ => unclear(),
        }
    }
}

/// Who is named in the audit trail for what comes over this API.
fn publisher() -> name::Operator {
    "publisher".parse().expect("the name is valid")
}

async fn in_time<T>(asked: impl Future<Output = Passed<T>>) -> Passed<T> {
    let answered = tokio::time::timeout(ANSWER, asked).await;
    answered.unwrap_or(Passed::Unknown)
}

/// Why a body was not read.
enum Unread {
    TooLarge,
    BrokeOff,
    Late,
}

impl Unread {
    fn reply(self) -> Reply {
        match self {
            Self::TooLarge => failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::BrokeOff => failure(StatusCode::BAD_REQUEST, "the body broke off"),
            Self::Late => failure(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
        }
    }
}

/// Reads a body of at most so many bytes.
async fn read(request: Request<Incoming>, most: usize) -> Result<Bytes, Unread> {
    let whole = Limited::new(request.into_body(), most).collect();
    match tokio::time::timeout(ARRIVAL, whole).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Unread::TooLarge),
        Ok(Err(_)) => Err(Unread::BrokeOff),
        Err(_) => Err(Unread::Late),
    }
}

/// Whether a call has a body with anything in it; what is announced is not waited for.
async fn has_body(request: Request<Incoming>) -> bool {
    let mut body = request.into_body();
    if body.is_end_stream() {
        return false;
    }
    if body.size_hint().lower() > 0 {
        return true;
    }
    // Of unknown length: its first piece tells.
    let first = tokio::time::timeout(ANSWER, body.frame()).await;
    !matches!(first, Ok(None))
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn failure(status: StatusCode, why: &str) -> Reply {
    reply(status, serde_json::json!({ "error": why }).to_string())
}

/// The answer where no leader could decide in time.
fn unclear() -> Reply {
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "no leader answered in time; send the same again",
    )
}
