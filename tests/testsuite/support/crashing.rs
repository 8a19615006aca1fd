//! Endpoints that crash under a request: all their connections break, and some time later they
//! restart at the same address under a new name.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt as _, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
    Request, Response,
};
use hyper_util::rt::TokioIo;
use scalewood::core::registry::{Record, State};
use scalewood::core::unit;
use tokio::{net::TcpListener, sync::Notify, task::JoinSet};

use super::client;

/// The beginning of the body of a request that crashes the endpoint that runs it.
pub(crate) const CRASH: &str = "crash";
/// How long such a request runs before the endpoint ends.
const CRASH_AFTER: Duration = Duration::from_millis(60);
/// The number of events in a stream.
pub(crate) const EVENTS: usize = 6;
/// The number of events in a stream whose path ends with `/long`.
const LONG_STREAM_EVENTS: usize = 100;
/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// An arrival of a crashing request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Instant,
    pub(crate) body: String,
    /// When it ended its endpoint, if it did.
    pub(crate) ended: Option<Instant>,
}

/// The arrivals at all endpoints.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    all: Arc<Mutex<Vec<Arrival>>>,
    is_harmless: Arc<AtomicBool>,
}

impl Arrivals {
    /// Lets the requests that crashed endpoints complete from now on.
    pub(crate) fn make_harmless(&self) {
        self.is_harmless.store(true, Ordering::Relaxed);
    }

    /// Returns the arrivals of a request, in order.
    pub(crate) fn of_request(&self, body: &str) -> Vec<Arrival> {
        let all = self.all.lock().unwrap().clone();
        all.into_iter()
            .filter(|arrival| arrival.body == body)
            .collect()
    }

    /// Returns how many endpoints a request has ended.
    pub(crate) fn ended(&self, body: &str) -> usize {
        let arrivals = self.of_request(body);
        arrivals
            .iter()
            .filter(|arrival| arrival.ended.is_some())
            .count()
    }

    /// Returns how often a request arrived more than `slack` after it had ended a third endpoint.
    pub(crate) fn late_arrivals(&self, body: &str, slack: Duration) -> usize {
        let arrivals = self.of_request(body);
        let mut ends: Vec<_> = arrivals
            .iter()
            .filter_map(|arrival| arrival.ended)
            .collect();
        ends.sort();
        let Some(third) = ends.get(2) else { return 0 };
        let late = arrivals
            .iter()
            .filter(|arrival| arrival.at > *third + slack);
        late.count()
    }
}

/// The parameters of the endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) host: std::net::IpAddr,
    pub(crate) port: u16,
    /// The voters to which they send heartbeats; each endpoint starts with a different one.
    pub(crate) voters: Vec<SocketAddr>,
    /// The time from an end to the restart.
    pub(crate) away: Duration,
    /// How much later than its connections the listener of an endpoint closes at its end.
    pub(crate) listens_on: Duration,
    pub(crate) arrivals: Arrivals,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

/// Runs an endpoint and restarts it after each end, until the task is aborted.
pub(crate) async fn run_and_restart(plan: Plan, number: u16) {
    let address = SocketAddr::new(plan.host, plan.port + number);
    loop {
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind(address).await.unwrap();
        let record = endpoint_record(&format!("crash-{number}-{start}"), address);
        tokio::select! {
            () = serve(listener, plan.arrivals.clone(), plan.listens_on) => {}
            () = send_heartbeats(&plan, usize::from(number), record) => {}
        }
        tokio::time::sleep(plan.away).await;
    }
}

fn endpoint_record(name: &str, address: SocketAddr) -> Record {
    Record {
        name: name.parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z0".parse().unwrap(),
        address,
        slots: unit::Slots(8),
        state: State::Ready,
        sequence: 0,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
    }
}

/// Sends an endpoint's heartbeats, to the next voter whenever one does not accept them.
async fn send_heartbeats(plan: &Plan, first: usize, mut record: Record) {
    let mut turn = first;
    loop {
        record.sequence += 1;
        let path = format!("/v1/endpoints/{}", record.name);
        let body = serde_json::to_string(&record).unwrap();
        let voter = plan.voters[turn % plan.voters.len()];
        let asked = client::ask(voter, "PUT", &path, &[], body);
        let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
        match answer {
            Ok(Ok(answer)) if answer.status == 200 => tokio::time::sleep(HEARTBEAT_INTERVAL).await,
            _ => {
                turn += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Serves requests until one ends the endpoint, then breaks all connections, and closes the listener
/// before that, or `listens_on` later.
async fn serve(listener: TcpListener, arrivals: Arrivals, listens_on: Duration) {
    let end = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.unwrap().0,
            () = end.notified() => break,
        };
        let (end, arrivals) = (end.clone(), arrivals.clone());
        let service = service_fn(move |request| {
            let (end, arrivals) = (end.clone(), arrivals.clone());
            async move { Ok::<_, Infallible>(answer(request, &end, &arrivals).await) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move { drop(served.await) });
    }
    if listens_on.is_zero() {
        drop(listener);
        connections.shutdown().await;
    } else {
        connections.shutdown().await;
        tokio::time::sleep(listens_on).await;
    }
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

async fn answer(request: Request<Incoming>, end: &Notify, arrivals: &Arrivals) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    if body.starts_with(CRASH) && !arrivals.is_harmless.load(Ordering::Relaxed) {
        let number = {
            let mut all = arrivals.all.lock().unwrap();
            all.push(Arrival {
                at: Instant::now(),
                body,
                ended: None,
            });
            all.len() - 1
        };
        tokio::time::sleep(CRASH_AFTER).await;
        arrivals.all.lock().unwrap()[number].ended = Some(Instant::now());
        end.notify_one();
        return std::future::pending().await;
    }
    let after = parts.headers.get("last-event-id").cloned();
    let mut response = if parts.uri.path().starts_with("/sresume") {
        let first = after.map_or(0, |id| id.to_str().unwrap().parse::<usize>().unwrap() + 1);
        events(first, parts.uri.path())
    } else {
        tokio::time::sleep(EVENT_INTERVAL * u32::try_from(EVENTS).unwrap()).await;
        let whole = Full::new(Bytes::from("well")).map_err(|never| match never {});
        Response::new(whole.boxed_unsync())
    };
    if let Some(id) = parts.headers.get("scalewood-id") {
        response.headers_mut().insert("scalewood-id", id.clone());
    }
    response
}

fn events(first: usize, path: &str) -> Response<Body> {
    let count = if path.ends_with("/long") {
        LONG_STREAM_EVENTS
    } else {
        EVENTS
    };
    let pieces = futures_util::stream::unfold(first, move |number| async move {
        if number >= count {
            return None;
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        Some((Ok(Frame::data(Bytes::from(event))), number + 1))
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}
