//! The publishing API, which takes routings as whole documents, and the endpoints' heartbeats.
//!
//! A [`Dialect`] defines its paths and bodies; what a call does is the same for all of them. If no
//! leader answers in time, the caller is told to retry rather than kept waiting. A routing that was
//! accepted is acknowledged or its outcome reported as unclear; it is never reported as refused.

use std::{
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt as _};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::{Body as _, Incoming},
    header,
    service::service_fn,
    Method, Request, Response, StatusCode,
};
use serde_json::error::Category;
use tokio::net::TcpListener;

use crate::{
    core::{change, cordon, departure, json, ledger, name, region, registry, route},
    event,
    ops::{
        control::{
            self, memory, metric::Metrics, refusal, registry::SoftState, unix_ms, Error, Handle,
        },
        http,
    },
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::control::Forwarded,
};

/// The largest routing, in bytes. A larger one would not fit into the messages to voters and boxes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The most bytes of routings that are read, checked or waiting for an answer at the same time.
const MAX_BODIES_BYTES: usize = 24 << 20;
/// The largest heartbeat, in bytes. A usual one has some hundred bytes, or some thousand if it
/// names many models.
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// The most bytes of heartbeats that are read at the same time.
const MAX_HEARTBEATS_BYTES: usize = 16 << 20;
/// The sixteenths of the process's descriptors for connections to this API.
const DESCRIPTOR_SIXTEENTHS: usize = 3;
/// How long a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a call may take to answer; callers try another voter after a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(850);

/// A call to the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Publishes a routing.
    Publish,
    /// Reads the current routing.
    Read,
    /// Delivers an endpoint's heartbeat.
    Heartbeat(name::Endpoint),
    /// Announces that an endpoint has shut down.
    Leave(name::Endpoint),
    /// Cordons or uncordons a zone.
    Cordon(cordon::ZoneChange),
    /// A path of this API with an invalid argument, with the reason.
    Invalid(String),
    /// A method that the path does not support.
    WrongMethod,
    /// An unknown path, or a method that is reported in the same way.
    Unknown,
}

impl Call {
    /// Returns the call to a zone's path: POST cordons the zone, DELETE uncordons it.
    pub fn for_zone(method: &Method, zone: &str) -> Self {
        let action = match *method {
            Method::POST => cordon::Action::Cordon,
            Method::DELETE => cordon::Action::Uncordon,
            _ => return Call::WrongMethod,
        };
        match zone.parse::<name::Zone>() {
            Ok(zone) => Call::Cordon(cordon::ZoneChange { zone, action }),
            Err(error) => Call::Invalid(error.to_string()),
        }
    }
}

/// The HTTP paths and bodies that operators and endpoints use.
pub trait Dialect: Clone + std::fmt::Debug + Send + Sync + 'static {
    /// Returns the call that a method and path make.
    fn call(method: &Method, path: &str) -> Call;

    /// Parses the body of a routing.
    ///
    /// # Errors
    ///
    /// Fails with the reason if any part of the body can't be parsed.
    fn routing(body: &[u8]) -> Result<route::Routing, String>;

    /// Parses the body of an endpoint's heartbeat.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the body can't be parsed, or if a field is invalid or names another
    /// endpoint.
    fn record(name: name::Endpoint, body: &[u8]) -> Result<registry::Record, registry::Refusal>;
}

/// The default dialect.
#[derive(Clone, Debug)]
pub struct Native;

impl Native {
    const ROUTING: &str = "/v1/routing";
    const ENDPOINTS: &str = "/v1/endpoints/";
    const CORDONS: &str = "/v1/cordons/";
}

impl Dialect for Native {
    fn call(method: &Method, path: &str) -> Call {
        if path == Self::ROUTING {
            return match *method {
                Method::PUT => Call::Publish,
                Method::GET => Call::Read,
                _ => Call::Unknown,
            };
        }
        if let Some(zone) = path.strip_prefix(Self::CORDONS) {
            return Call::for_zone(method, zone);
        }
        let name = path.strip_prefix(Self::ENDPOINTS);
        let Some(name) = name.and_then(|name| name.parse().ok()) else {
            return Call::Unknown;
        };
        match *method {
            Method::PUT => Call::Heartbeat(name),
            Method::DELETE => Call::Leave(name),
            _ => Call::Unknown,
        }
    }

    fn routing(body: &[u8]) -> Result<route::Routing, String> {
        serde_json::from_slice(body).map_err(|error| error.to_string())
    }

    fn record(name: name::Endpoint, body: &[u8]) -> Result<registry::Record, registry::Refusal> {
        let record: registry::Record = serde_json::from_slice(body).map_err(invalid_record)?;
        if record.name != name {
            let why = format!("it names {}, and the path {name}", record.name);
            return Err(registry::Refusal::new(registry::Reason::OutOfRange, why));
        }
        Ok(record)
    }
}

/// Converts a parse error of a heartbeat.
fn invalid_record(error: serde_json::Error) -> registry::Refusal {
    let reason = match error.classify() {
        Category::Data => registry::Reason::Mistyped,
        Category::Io | Category::Syntax | Category::Eof => registry::Reason::Unreadable,
    };
    registry::Refusal::new(reason, error.to_string())
}

/// The state that the API works on.
#[derive(Clone, Debug)]
pub(super) struct Api {
    pub(super) handle: Handle,
    pub(super) soft_state: SoftState,
    pub(super) metrics: Metrics,
    pub(super) refusals: Arc<Mutex<refusal::Limiter>>,
    /// The memory of the routings that are being published.
    pub(super) memory: Arc<memory::Budget>,
    /// The memory of the heartbeats that are being read.
    pub(super) heartbeats: Arc<memory::Budget>,
    /// The configured availability zones.
    pub(super) zones: region::Map,
    pub(super) clock: clock::System,
    pub(super) log: slog::Logger,
}

type Reply = Response<Full<Bytes>>;

/// Returns the memory for the routings that are being published at the same time.
pub(super) fn memory() -> Arc<memory::Budget> {
    memory::Budget::new(MAX_BODIES_BYTES)
}

/// Returns the memory for the heartbeats that are read at the same time.
pub(super) fn heartbeats() -> Arc<memory::Budget> {
    memory::Budget::new(MAX_HEARTBEATS_BYTES)
}

/// Starts to serve the API.
pub(super) async fn serve<D: Dialect>(
    address: SocketAddr,
    descriptors: usize,
    api: Api,
) -> Result<(), Report<Error>> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(Error)
        .attach_with(|| format!("{address} can't be listened on; is it in use?"))?;
    let max = (descriptors / 16 * DESCRIPTOR_SIXTEENTHS).max(1);
    let listener = http::Listener::new(listener, "publishing", max, api.log.clone());
    let listener = listener.change_context(Error)?;
    let service = move || {
        let api = api.clone();
        service_fn(move |request| {
            let api = api.clone();
            async move { Ok(api.answer::<D>(request).await) }
        })
    };
    tokio::spawn(listener.serve(service));
    Ok(())
}

impl Api {
    async fn answer<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        match D::call(request.method(), request.uri().path()) {
            Call::Publish => self.publish::<D>(request).await,
            Call::Read => self.read().await,
            Call::Heartbeat(name) => self.announce::<D>(name, request).await,
            Call::Leave(name) => self.depart(self.soft_state.leave(&name)).await,
            Call::Cordon(change) => self.cordon(change, request).await,
            Call::Invalid(why) => failure(StatusCode::BAD_REQUEST, &why),
            Call::WrongMethod => failure(
                StatusCode::METHOD_NOT_ALLOWED,
                "the path does not take this method",
            ),
            Call::Unknown => failure(StatusCode::NOT_FOUND, "there is nothing at this path"),
        }
    }

    /// Handles an endpoint's heartbeat.
    async fn announce<D: Dialect>(
        &self,
        name: name::Endpoint,
        request: Request<Incoming>,
    ) -> Reply {
        let record = match read_body(request, MAX_HEARTBEAT_BYTES, &self.heartbeats).await {
            Ok(body) => D::record(name.clone(), &body.bytes),
            Err(BodyError::TooLarge) => Err(registry::Refusal::new(
                registry::Reason::TooLong,
                format!("it has over {MAX_HEARTBEAT_BYTES} bytes"),
            )),
            Err(error) => return error.reply(),
        };
        match record.and_then(|record| self.check_record(record)) {
            Ok(record) => {
                let departure = departure::Departure {
                    name,
                    start: record.incarnation,
                    state: record.state,
                };
                self.soft_state.announce(record);
                if departure.state == registry::State::Ready {
                    return reply(StatusCode::OK, "{}");
                }
                self.depart(departure).await
            }
            Err(refusal) => self.refuse_record(&name, &refusal),
        }
    }

    /// Commits the departure of an endpoint and acknowledges it. It takes effect before that, but
    /// a kill could make this voter and others forget it.
    async fn depart(&self, departure: departure::Departure) -> Reply {
        match with_timeout(self.handle.depart(departure)).await {
            Forwarded::Answer(_) => reply(StatusCode::OK, "{}"),
            Forwarded::NotLeader | Forwarded::Unknown | Forwarded::Refused(_) => unclear(),
        }
    }

    /// Checks that a record is valid and that its endpoint belongs to a configured service.
    fn check_record(
        &self,
        record: registry::Record,
    ) -> Result<registry::Record, registry::Refusal> {
        record.check()?;
        let published = self.handle.published();
        let document = published.ledger.document();
        // A known endpoint may still send heartbeats after its service was removed, for example to
        // announce that it is leaving.
        let is_known = self.soft_state.serves(&record.name, &record.service);
        let has_service = document.services.contains_key(&record.service);
        if document.routing.is_some() && !has_service && !is_known {
            let why = format!("no service is configured as {}", record.service);
            return Err(registry::Refusal::new(registry::Reason::Unknown, why));
        }
        Ok(record)
    }

    /// Refuses a heartbeat; the registry is left unchanged.
    fn refuse_record(&self, name: &name::Endpoint, refusal: &registry::Refusal) -> Reply {
        self.metrics.record_refused(refusal.reason);
        let unlogged = lock(&self.refusals).record(refusal.reason, self.clock.now());
        if let Some(unlogged) = unlogged {
            event!(self.log, BadAnnouncement, "endpoint" => %name,
                "reason" => refusal.reason.as_str(), "why" => &refusal.detail, "untold" => unlogged);
        }
        let status = match refusal.reason {
            registry::Reason::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            registry::Reason::Unknown => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::BAD_REQUEST,
        };
        failure(status, &refusal.to_string())
    }

    /// Handles a routing, and records the outcome and duration in the metrics.
    async fn publish<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        let arrived = self.clock.now();
        let reply = self.publish_body::<D>(request).await;
        let took = self.clock.now().saturating_sub(arrived).as_secs_f64();
        let outcome = match reply.status() {
            StatusCode::OK => "accepted",
            StatusCode::SERVICE_UNAVAILABLE => "unclear",
            _ => "refused",
        };
        self.metrics.record_published(outcome, took);
        reply
    }

    /// Reads, checks and commits a routing.
    async fn publish_body<D: Dialect>(&self, request: Request<Incoming>) -> Reply {
        let body = match read_body(request, MAX_BODY_BYTES, &self.memory).await {
            Ok(body) => body,
            Err(error) => return error.reply(),
        };
        let routing = match D::routing(&body.bytes) {
            Ok(routing) => routing,
            Err(why) => return self.refuse(None, &why),
        };
        let problems = routing.check();
        if !problems.is_empty() {
            let why: Vec<_> = problems.iter().map(ToString::to_string).collect();
            return self.refuse(Some(routing.version), &why.join("; "));
        }
        let Ok(source) = std::str::from_utf8(&body.bytes) else {
            return self.refuse(Some(routing.version), "the body is not UTF-8");
        };
        let version = routing.version;
        let text = match json::Text::new(&routing) {
            Ok(text) => text,
            Err(why) => return self.refuse(Some(version), &why.to_string()),
        };
        drop(routing);
        let publication = ledger::Publication {
            routing: text,
            source: source.into(),
            operator: publisher(),
            at_unix_ms: unix_ms(),
        };
        let outcome = with_timeout(self.handle.publish(publication)).await;
        self.publish_reply(version, outcome)
    }

    /// Logs the outcome of a routing, and returns the reply.
    fn publish_reply(&self, version: u64, outcome: Forwarded<change::Answer>) -> Reply {
        match outcome {
            Forwarded::Answer(change::Answer::Accepted { revision }) => {
                event!(self.log, VersionPublished, "version" => version, "revision" => %revision);
                reply(StatusCode::OK, "{}")
            }
            Forwarded::Answer(change::Answer::NotApplied { why, .. }) => {
                self.refuse(Some(version), &why.join("; "))
            }
            Forwarded::NotLeader | Forwarded::Unknown | Forwarded::Refused(_) => {
                event!(self.log, VersionUnclear, "version" => version);
                unclear()
            }
        }
    }

    /// Logs that a routing was refused, and returns the reply.
    fn refuse(&self, version: Option<u64>, why: &str) -> Reply {
        event!(self.log, VersionRefused, "version" => version, "why" => why);
        failure(StatusCode::BAD_REQUEST, why)
    }

    /// Handles an order to cordon or uncordon a zone.
    async fn cordon(&self, change: cordon::ZoneChange, request: Request<Incoming>) -> Reply {
        let arrived = self.clock.now();
        if let Some(why) = control::cordon::check_zone(&change.zone, &self.zones) {
            return self.refuse_cordon(&change, &why);
        }
        if has_body(request).await {
            return self.refuse_cordon(&change, "the call takes no body");
        }
        let order = cordon::Order {
            change: change.clone(),
            operator: publisher(),
            id: None,
            why: String::new(),
            at_unix_ms: unix_ms(),
        };
        let outcome = with_timeout(self.handle.cordon(order)).await;
        let took = self.clock.now().saturating_sub(arrived);
        self.cordon_reply(&change, outcome, took)
    }

    /// Logs and counts the outcome of an order to cordon or uncordon, and returns the reply.
    fn cordon_reply(
        &self,
        change: &cordon::ZoneChange,
        outcome: Forwarded<change::Answer>,
        took: Duration,
    ) -> Reply {
        match outcome {
            Forwarded::Answer(change::Answer::Accepted { revision }) => {
                self.metrics.record_cordon("accepted", took);
                event!(self.log, CordonAccepted, "zone" => %change.zone, "act" => %change.action,
                    "operator" => %publisher(), "revision" => %revision,
                    "took_ms" => took.as_millis());
                reply(StatusCode::OK, "{}")
            }
            Forwarded::Answer(change::Answer::NotApplied { why, .. }) => {
                self.refuse_cordon(change, &why.join("; "))
            }
            Forwarded::NotLeader | Forwarded::Unknown | Forwarded::Refused(_) => {
                self.metrics.record_cordon("unclear", took);
                event!(self.log, CordonUnclear, "zone" => %change.zone, "act" => %change.action,
                    "took_ms" => took.as_millis());
                unclear()
            }
        }
    }

    /// Logs and counts that an order to cordon or uncordon was refused, and returns the reply.
    fn refuse_cordon(&self, change: &cordon::ZoneChange, why: &str) -> Reply {
        self.metrics.record_cordon("refused", Duration::ZERO);
        event!(self.log, CordonRefused, "zone" => %change.zone, "act" => %change.action, "why" => why);
        failure(StatusCode::BAD_REQUEST, why)
    }

    /// Returns the text of the current routing.
    async fn read(&self) -> Reply {
        match with_timeout(self.handle.read()).await {
            Forwarded::Answer(Some(source)) => reply(StatusCode::OK, source.as_bytes().to_vec()),
            _ => unclear(),
        }
    }
}

/// Returns the operator's name that the audit trail shows for calls to this API.
fn publisher() -> name::Operator {
    "publisher".parse().expect("the name is valid")
}

/// Waits for an outcome for at most `ANSWER_TIMEOUT`; after that it is unknown.
async fn with_timeout<T>(outcome: impl Future<Output = Forwarded<T>>) -> Forwarded<T> {
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, outcome).await;
    answered.unwrap_or(Forwarded::Unknown)
}

/// Why a body could not be read.
enum BodyError {
    TooLarge,
    Aborted,
    TimedOut,
    /// Too many bodies are being read.
    NoMemory,
}

impl BodyError {
    fn reply(self) -> Reply {
        match self {
            Self::TooLarge => failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            Self::Aborted => failure(StatusCode::BAD_REQUEST, "the body broke off"),
            Self::NoMemory => failure(
                StatusCode::SERVICE_UNAVAILABLE,
                "too much is being sent to this voter; send the same to another one",
            ),
            Self::TimedOut => failure(
                StatusCode::REQUEST_TIMEOUT,
                "the body did not arrive in time",
            ),
        }
    }
}

/// A body that was read, with the memory that it holds.
struct ReadBody {
    bytes: Vec<u8>,
    /// Released with the body.
    share: memory::Share,
}

impl ReadBody {
    fn new(budget: &Arc<memory::Budget>) -> Self {
        Self {
            bytes: Vec::new(),
            share: budget.share(),
        }
    }

    /// Adds data of a body that has at most `max_bytes`.
    fn push(&mut self, data: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let (len, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if len > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if len > capacity {
            let grown = len.max(2 * capacity).min(max_bytes);
            if !self.share.grow(grown - capacity) {
                return Err(BodyError::NoMemory);
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// Reads a body of at most `max_bytes`. It is copied, so that the memory that it takes does not depend on the pieces
/// in which it arrives.
async fn read_body(
    request: Request<Incoming>,
    max_bytes: usize,
    budget: &Arc<memory::Budget>,
) -> Result<ReadBody, BodyError> {
    let mut body = request.into_body();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut read = ReadBody::new(budget);
    let whole = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Aborted)?;
            if let Some(data) = frame.data_ref() {
                read.push(data, max_bytes)?;
            }
        }
        Ok(())
    };
    let whole = tokio::time::timeout(BODY_TIMEOUT, whole).await;
    whole.unwrap_or(Err(BodyError::TimedOut))?;
    Ok(read)
}

/// Returns whether a call has a body that is not empty. If its headers announce one, this does not
/// wait for it.
async fn has_body(request: Request<Incoming>) -> bool {
    let mut body = request.into_body();
    if body.is_end_stream() {
        return false;
    }
    if body.size_hint().lower() > 0 {
        return true;
    }
    // The length is unknown, so this waits for the first frame. A timeout counts as a body.
    let first = tokio::time::timeout(ANSWER_TIMEOUT, body.frame()).await;
    !matches!(first, Ok(None))
}

/// Returns a JSON reply.
fn reply(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a reply with an error message.
fn failure(status: StatusCode, why: &str) -> Reply {
    reply(status, serde_json::json!({ "error": why }).to_string())
}

/// Returns the reply for a call whose outcome is not known in time.
fn unclear() -> Reply {
    failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "no leader answered in time; send the same again",
    )
}
