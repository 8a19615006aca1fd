//! A system with routes: voters that form a cluster without an operator, an entry box, and
//! endpoints whose faults a test selects.

use std::{
    collections::VecDeque,
    convert::Infallible,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex, OnceLock,
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt as _, Full, StreamBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
    HeaderMap, Request, Response,
};
use hyper_util::rt::TokioIo;
use scalewood::{
    core::{
        build,
        registry::{Record, State},
        route::{Kind, Route, Routing, Service, Share, Team},
        secret, unit,
    },
    ops::operate,
};
use tokio::{
    net::TcpListener,
    sync::{watch, Notify},
};

use super::{client, deploy};

/// The API key of the only team.
pub(crate) const KEY: &str = "key-1";
/// The host of all routes.
pub(crate) const HOST: &str = "routes.example";

/// How an endpoint treats a request; without an act it runs and answers the request correctly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Answers with the id of another request.
    Foreign,
    /// Answers that it did not run the request.
    Refuse,
    /// Breaks off the stream in the middle of the event after this number of events.
    BreakAfter(usize),
    /// Stalls the stream after this number of events.
    StallAfter(usize),
    /// Sends the head of an answer, and breaks off before its body.
    BreakAtHead,
    /// Sends the head of an answer, and nothing more.
    StallAtHead,
    /// Runs the request and answers with status 500.
    Fail,
    /// Answers that it is not the endpoint that the request was meant for.
    Mistaken,
    /// Runs the request and never answers.
    Hang,
    /// Refuses the request and asks the box for a backoff of this duration.
    Rest(Duration),
    /// Refuses the request and asks the box for a backoff with this text as its duration.
    RestFor(&'static str),
    /// Runs the request and answers that the caller has exceeded its rate limit.
    Limit,
    /// Announces that it leaves, and answers correctly.
    Leave,
}

impl Act {
    /// Returns whether the endpoint runs the request.
    fn runs(self) -> bool {
        !matches!(
            self,
            Act::Refuse | Act::Mistaken | Act::Rest(_) | Act::RestFor(_)
        )
    }
}

/// The header in which callers name the box that they use, so that endpoints can record it.
pub(crate) const BOX: &str = "x-box";

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the endpoint ran it.
    pub(crate) ran: bool,
    /// When it was received completely.
    pub(crate) at: std::time::Instant,
    /// How it was treated, if not answered correctly.
    pub(crate) act: Option<Act>,
    /// The limit that was announced in the answer.
    pub(crate) limit: Option<&'static str>,
    /// The number of the endpoint's start that it reached.
    pub(crate) start: u64,
    /// When the endpoint's work on it ended, once it has.
    pub(crate) ended: Arc<OnceLock<std::time::Instant>>,
}

impl Seen {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// An endpoint in this process.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    /// The service that it states in heartbeats.
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    acts: Arc<Mutex<VecDeque<Act>>>,
    /// How it treats requests for which no act is queued.
    default_act: Arc<Mutex<Option<Act>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    /// The time that it takes before each answer begins.
    work: Arc<Mutex<Duration>>,
    /// The limit that it announces in its answers, in requests per second from all boxes together.
    limit: Arc<Mutex<Option<&'static str>>>,
    /// How many requests it works on at once; it rejects further ones.
    room: Arc<Mutex<Option<Room>>>,
    /// The number of its current start.
    start: Arc<AtomicU64>,
    running: Arc<AtomicUsize>,
    /// The streams that it writes.
    script: Arc<Mutex<Script>>,
    /// Whether it writes nothing, as a process that got no processor time.
    paused: watch::Sender<bool>,
    /// Is notified when a crashing request has begun.
    crashing_request_begun: Arc<Notify>,
}

/// The streams that an endpoint writes.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    /// The build that it states in heartbeats, if any.
    pub(crate) build: Option<String>,
    /// Whether it states its build in answers too.
    pub(crate) states_build: bool,
    /// What it writes into each event, if anything.
    pub(crate) mark: Option<String>,
    /// The number of events of a complete stream.
    pub(crate) events: usize,
    /// The pause before each event.
    pub(crate) pause: Duration,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            build: None,
            states_build: false,
            mark: None,
            events: EVENTS,
            pause: Duration::from_millis(5),
        }
    }
}

/// The room of an endpoint for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Room {
    /// How many requests it works on at once.
    pub(crate) requests: usize,
    /// The rejections within a second that it reports to withstand, if it reports any.
    pub(crate) rejections: Option<&'static str>,
}

/// The beginning of the body of a crashing request. The endpoint only reports it; the test has to
/// end the endpoint.
pub(crate) const ENDS: &str = "ends ";

/// A request that an endpoint runs, until its answer or connection ends.
struct Run {
    running: Arc<AtomicUsize>,
    ended: Arc<OnceLock<std::time::Instant>>,
}

impl Run {
    fn begin(running: &Arc<AtomicUsize>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self {
            running: running.clone(),
            ended: Arc::default(),
        }
    }

    /// Returns the number of requests that run, with this one.
    fn count(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.ended.get_or_init(std::time::Instant::now);
    }
}

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// The number of events in a complete stream.
pub(crate) const EVENTS: usize = 6;

impl Endpoint {
    pub(crate) async fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let endpoint = Self {
            name: name.to_owned(),
            service: "lm".to_owned(),
            address,
            acts: Arc::default(),
            default_act: Arc::default(),
            seen: Arc::default(),
            work: Arc::default(),
            limit: Arc::default(),
            room: Arc::default(),
            start: Arc::new(AtomicU64::new(1)),
            running: Arc::default(),
            script: Arc::default(),
            paused: watch::Sender::new(false),
            crashing_request_begun: Arc::default(),
        };
        let (acts, seen) = (endpoint.acts.clone(), endpoint.seen.clone());
        let (work, limit) = (endpoint.work.clone(), endpoint.limit.clone());
        let start = endpoint.start.clone();
        let (room, busy) = (endpoint.room.clone(), Arc::new(AtomicUsize::new(0)));
        let running = endpoint.running.clone();
        let script = endpoint.script.clone();
        let paused = endpoint.paused.clone();
        let (crashing_request_begun, default_act) = (
            endpoint.crashing_request_begun.clone(),
            endpoint.default_act.clone(),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (acts, seen, running) = (acts.clone(), seen.clone(), running.clone());
                let (script, paused) = (script.clone(), paused.clone());
                let (crashing_request_begun, default_act) =
                    (crashing_request_begun.clone(), default_act.clone());
                let (work, limit) = (work.clone(), limit.clone());
                let start = start.clone();
                let (room, busy) = (room.clone(), busy.clone());
                let service = service_fn(move |request| {
                    let (acts, seen, crashing_request_begun) =
                        (acts.clone(), seen.clone(), crashing_request_begun.clone());
                    let run = Arc::new(Run::begin(&running));
                    let script = script.lock().unwrap().clone();
                    let mut paused = paused.subscribe();
                    let next = acts.lock().unwrap().pop_front();
                    let act = next.or(*default_act.lock().unwrap());
                    let work = *work.lock().unwrap();
                    let room = *room.lock().unwrap();
                    let place = Run::begin(&busy);
                    let is_full = room.is_some_and(|room| place.count() > room.requests);
                    let act = if is_full { Some(Act::Refuse) } else { act };
                    let limit = *limit.lock().unwrap();
                    let start = start.load(Ordering::Relaxed);
                    async move {
                        let mut answer = answer(
                            request,
                            (act, limit, start, script, paused.clone()),
                            &seen,
                            &crashing_request_begun,
                            run.clone(),
                        )
                        .await;
                        if let Some(limit) = room.and_then(|room| room.rejections) {
                            let limit = limit.parse().unwrap();
                            let headers = answer.headers_mut();
                            headers.insert("scalewood-max-rejections", limit);
                        }
                        if !is_full {
                            tokio::time::sleep(work).await;
                        }
                        wait_unpaused(&mut paused).await;
                        drop((place, run));
                        Ok::<_, Infallible>(answer)
                    }
                });
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(async move { drop(served.await) });
            }
        });
        endpoint
    }

    pub(crate) fn next(&self, act: Act) {
        self.acts.lock().unwrap().push_back(act);
    }

    /// Sets how it treats all requests from now on; with `None` it answers correctly.
    pub(crate) fn set_default_act(&self, act: Option<Act>) {
        *self.default_act.lock().unwrap() = act;
    }

    /// Sets the streams that it writes.
    pub(crate) fn set_script(&self, script: Script) {
        *self.script.lock().unwrap() = script;
    }

    /// Pauses it or lets it go on. While paused it receives requests and writes nothing.
    pub(crate) fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Sets the time that it takes before each answer begins.
    pub(crate) fn set_work_time(&self, work: Duration) {
        *self.work.lock().unwrap() = work;
    }

    /// Sets the limit that it announces in each answer from now on, if any.
    pub(crate) fn limits(&self, limit: Option<&'static str>) {
        *self.limit.lock().unwrap() = limit;
    }

    /// Sets how many requests it works on at once, and what it reports of rejections.
    pub(crate) fn set_room(&self, room: Option<Room>) {
        *self.room.lock().unwrap() = room;
    }

    /// Returns a shared handle to the limit that it announces.
    pub(crate) fn limit(&self) -> Arc<Mutex<Option<&'static str>>> {
        self.limit.clone()
    }

    /// Returns a shared handle to the number of its start; incrementing it simulates a restart.
    pub(crate) fn start_number(&self) -> Arc<AtomicU64> {
        self.start.clone()
    }

    /// Returns a shared handle to how it treats all requests.
    pub(crate) fn default_act(&self) -> Arc<Mutex<Option<Act>>> {
        self.default_act.clone()
    }

    /// Returns a shared handle to the requests that it has received.
    pub(crate) fn shared_seen(&self) -> Arc<Mutex<Vec<Seen>>> {
        self.seen.clone()
    }

    /// Returns what is notified when a crashing request has begun.
    pub(crate) fn crashing_request_begun(&self) -> Arc<Notify> {
        self.crashing_request_begun.clone()
    }

    /// Lets it answer correctly from now on.
    pub(crate) fn answer_correctly(&self) {
        self.acts.lock().unwrap().clear();
        self.set_default_act(None);
    }

    /// Returns the number of requests that it runs.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns the build that it states.
    fn build(&self) -> build::Build {
        let script = self.script.lock().unwrap();
        let build = script.build.as_deref();
        build.map_or_else(build::Build::default, |build| build.parse().unwrap())
    }

    pub(crate) fn record(&self, sequence: u64, state: State) -> Record {
        Record {
            name: self.name.parse().unwrap(),
            service: self.service.parse().unwrap(),
            zone: "z0".parse().unwrap(),
            address: self.address,
            slots: unit::Slots(8),
            state,
            sequence,
            interruptible: false,
            build: self.build(),
            incarnation: None,
            warm_up: None,
        }
    }
}

/// Waits until an endpoint is not paused.
async fn wait_unpaused(paused: &mut watch::Receiver<bool>) {
    // The sender lives as long as the endpoint; nothing pauses one that is gone.
    let _ = paused.wait_for(|paused| !paused).await;
}

async fn answer(
    request: Request<Incoming>,
    (act, limit, start, script, paused): (
        Option<Act>,
        Option<&'static str>,
        u64,
        Script,
        watch::Receiver<bool>,
    ),
    seen: &Mutex<Vec<Seen>>,
    crashing_request_begun: &Notify,
    run: Arc<Run>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    if body.starts_with(ENDS.as_bytes()) {
        seen.lock().unwrap().push(Seen {
            path: parts.uri.path().to_owned(),
            headers: parts.headers,
            body,
            ran: true,
            at: std::time::Instant::now(),
            act: None,
            limit,
            start,
            ended: run.ended.clone(),
        });
        crashing_request_begun.notify_one();
        return std::future::pending().await;
    }
    let path = parts.uri.path().to_owned();
    let after = parts.headers.get("last-event-id").cloned();
    let id = parts.headers.get("scalewood-id").cloned();
    seen.lock().unwrap().push(Seen {
        path: path.clone(),
        headers: parts.headers,
        body,
        ran: act.is_none_or(Act::runs),
        at: std::time::Instant::now(),
        act,
        limit,
        start,
        ended: run.ended.clone(),
    });
    let mut response = match act {
        Some(Act::Hang) => std::future::pending().await,
        Some(Act::Refuse) => full(None),
        Some(Act::RestFor(said)) => full(Some(said)),
        Some(Act::Rest(rest)) => full(Some(&rest.as_secs_f64().to_string())),
        Some(Act::Fail) => plain(500, "failed"),
        Some(Act::Limit) => {
            let mut response = plain(429, "too often");
            let headers = response.headers_mut();
            headers.insert("retry-after", "60".parse().unwrap());
            response
        }
        Some(Act::Mistaken) => plain(421, "another"),
        Some(Act::BreakAtHead) => {
            let broken = Err(std::io::Error::other("broken off"));
            body_of(vec![broken], (script.pause, false), run, paused)
        }
        Some(Act::StallAtHead) => body_of(Vec::new(), (script.pause, true), run, paused),
        _ if path.contains("/pieces/") => in_pieces(run, paused),
        _ if path.starts_with("/s") => {
            let first = after.map_or(0, |id| id.to_str().unwrap().parse::<usize>().unwrap() + 1);
            stream(first, (act, &script), run, paused)
        }
        _ => plain(200, "well"),
    };
    let id = match act {
        Some(Act::Foreign) => Some("another".parse().unwrap()),
        _ => id,
    };
    if let Some(id) = id {
        response.headers_mut().insert("scalewood-id", id);
    }
    if act == Some(Act::Leave) {
        let leaves = "1".parse().unwrap();
        response.headers_mut().insert("scalewood-leaving", leaves);
    }
    if let Some(limit) = limit {
        let limit = limit.parse().unwrap();
        response.headers_mut().insert("scalewood-limit", limit);
    }
    response
}

/// Returns the answer of an endpoint without a free slot, which may ask for a backoff.
fn full(rest: Option<&str>) -> Response<Body> {
    let mut response = plain(503, "full");
    let headers = response.headers_mut();
    headers.insert("scalewood-verdict", "not-run".parse().unwrap());
    if let Some(rest) = rest {
        headers.insert("retry-after", rest.parse().unwrap());
    }
    response
}

fn plain(status: u16, text: &'static str) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status.try_into().unwrap();
    response
}

/// The time between two pieces of a body that is sent in pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(300);

/// Returns an answer whose body is sent in pieces.
fn in_pieces(run: Arc<Run>, paused: watch::Receiver<bool>) -> Response<Body> {
    let pieces = ["we", "ll"].map(|piece| Ok(Frame::data(Bytes::from(piece))));
    body_of(pieces.into(), (PIECE_INTERVAL, false), run, paused)
}

fn stream(
    first: usize,
    (act, script): (Option<Act>, &Script),
    run: Arc<Run>,
    paused: watch::Receiver<bool>,
) -> Response<Body> {
    let mut pieces: Vec<Result<Frame<Bytes>, std::io::Error>> = Vec::new();
    for number in first..script.events {
        let by = script.mark.as_deref().map(|mark| format!(" by {mark}"));
        let by = by.unwrap_or_default();
        let event = format!("id: {number}\ndata: piece {number}{by}\n\n");
        if act == Some(Act::BreakAfter(number)) {
            pieces.push(Ok(Frame::data(Bytes::from(event[..8].to_owned()))));
            pieces.push(Err(std::io::Error::other("broken off")));
            break;
        }
        if act == Some(Act::StallAfter(number)) {
            break;
        }
        pieces.push(Ok(Frame::data(Bytes::from(event))));
    }
    let stalls = matches!(act, Some(Act::StallAfter(_)));
    let mut response = body_of(pieces, (script.pause, stalls), run, paused);
    if let Some(build) = script.build.as_deref().filter(|_| script.states_build) {
        let headers = response.headers_mut();
        headers.insert("scalewood-build", build.parse().unwrap());
    }
    response
}

/// Returns an answer with a body of pieces, which ends after the last one unless it stalls there.
fn body_of(
    pieces: Vec<Result<Frame<Bytes>, std::io::Error>>,
    (interval, stalls): (Duration, bool),
    run: Arc<Run>,
    paused: watch::Receiver<bool>,
) -> Response<Body> {
    let rest = (pieces.into_iter(), run, paused);
    let pieces = futures_util::stream::unfold(rest, move |mut rest| async move {
        let Some(piece) = rest.0.next() else {
            if stalls {
                std::future::pending::<()>().await;
            }
            return None;
        };
        // The interval lets each piece be sent separately.
        tokio::time::sleep(interval).await;
        wait_unpaused(&mut rest.2).await;
        Some((piece, rest))
    });
    Response::new(StreamBody::new(pieces).boxed_unsync())
}

/// Voters that form a cluster without an operator, and an entry box.
#[derive(Debug)]
pub(crate) struct System {
    pub(crate) dir: PathBuf,
    pub(crate) host: std::net::IpAddr,
    pub(crate) voters: Vec<Option<deploy::Process>>,
    pub(crate) entry: Option<deploy::Process>,
    /// Additional settings of entry boxes.
    pub(crate) more: String,
}

impl System {
    /// Starts the voters, the last one first, and an entry box.
    pub(crate) fn start(voters: usize, dir: &Path) -> Self {
        Self::start_with(voters, dir, "")
    }

    /// Starts the voters, the last one first, and an entry box with additional settings.
    pub(crate) fn start_with(voters: usize, dir: &Path, more: &str) -> Self {
        let mut system = Self {
            dir: dir.to_owned(),
            host: deploy::own_host(),
            voters: (0..voters).map(|_| None).collect(),
            entry: None,
            more: if more.is_empty() {
                String::new()
            } else {
                format!(",\n  {more}")
            },
        };
        for i in (0..voters).rev() {
            system.start_voter(i, true);
        }
        system.start_entry();
        system
    }

    fn address(&self, port: usize) -> SocketAddr {
        SocketAddr::new(self.host, u16::try_from(port).unwrap())
    }

    /// Returns a voter's IP address. Each voter has its own, because voters are named by address.
    fn voter_host(&self, i: usize) -> std::net::IpAddr {
        let std::net::IpAddr::V4(host) = self.host else {
            panic!("an IPv4 address")
        };
        let [_, a, b, c] = host.octets();
        std::net::Ipv4Addr::new(127, a, b.wrapping_add(u8::try_from(i).unwrap() + 1), c).into()
    }

    pub(crate) fn voter_listen(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.voter_host(i), 7000)
    }

    /// Returns the address to which operators publish and endpoints send heartbeats.
    pub(crate) fn publish_address(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.voter_host(i), 7002)
    }

    pub(crate) fn admin_address(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.voter_host(i), 7001)
    }

    pub(crate) fn callers(&self) -> SocketAddr {
        self.callers_at(0)
    }

    /// Returns the address where callers reach an entry box.
    pub(crate) fn callers_at(&self, i: usize) -> SocketAddr {
        self.address(8000 + 10 * i)
    }

    pub(crate) fn health(&self) -> SocketAddr {
        self.address(8002)
    }

    pub(crate) fn data(&self, i: usize) -> PathBuf {
        self.dir.join(format!("c{i}.data"))
    }

    fn seeds(&self) -> String {
        self.seeds_at(7000)
    }

    /// Returns the voters as settings name them, with the port at which boxes reach them.
    fn seeds_at(&self, port: u16) -> String {
        let seeds = (0..self.voters.len().min(3)).map(|i| {
            let address = SocketAddr::new(self.voter_host(i), 7002);
            format!("{{ \"address\": \"{address}\", \"port\": {port} }}")
        });
        seeds.collect::<Vec<_>>().join(", ")
    }

    pub(crate) fn start_voter(&mut self, i: usize, form: bool) {
        let listen = self.voter_listen(i);
        let text = format!(
            "{{ \"box\": \"{}\", \"listen\": \"{listen}\", \"admin\": \"{}\",\n  \
             \"publish\": \"{}\", \"data\": \"{}\", \"unattended\": true, \"form\": {form},\n  \
             \"voters\": [{}], \"election\": \"500ms\", \"heartbeat\": \"100ms\",\n  \
             \"operators\": [{{ \"name\": \"nara\", \"token_hash\": \"{}\" }}],\n  \
             \"zones\": [{{ \"zone\": \"z0\", \"region\": \"r0\" }}, {{ \"zone\": \"z1\", \"region\": \"r0\" }}] }}",
            listen.ip(),
            SocketAddr::new(listen.ip(), 7001),
            self.publish_address(i),
            self.data(i).display(),
            self.seeds(),
            secret::Hash::of(deploy::OPERATOR),
        );
        self.voters[i] =
            Some(self.start_process(&format!("c{i}"), "scalewood-control", &["run"], &text));
    }

    pub(crate) fn start_entry(&mut self) {
        self.entry = Some(self.start_entry_at(0));
    }

    /// Starts the entry box of this number.
    pub(crate) fn start_entry_at(&self, i: usize) -> deploy::Process {
        self.start_entry_in(i, "z0", 7000)
    }

    /// Starts the entry box of this number in a zone; it reaches the voters at a port.
    pub(crate) fn start_entry_in(&self, i: usize, zone: &str, voters: u16) -> deploy::Process {
        let name = format!("e{}", i + 1);
        let text = format!(
            "{{ \"box\": \"{name}\", \"zone\": \"{zone}\", \"callers\": \"{}\", \"listen\": \"{}\",\n  \
             \"health\": \"{}\", \"voters\": [{}], \"stop_grace\": \"200ms\",\n  \
             \"stop_within\": \"4s\"{} }}",
            self.callers_at(i),
            self.address(8001 + 10 * i),
            self.address(8002 + 10 * i),
            self.seeds_at(voters),
            self.more,
        );
        self.start_process(&name, "scalewood-entry", &[], &text)
    }

    fn start_process(
        &self,
        name: &str,
        program: &str,
        first: &[&str],
        text: &str,
    ) -> deploy::Process {
        let settings = self.dir.join(format!("{name}.json"));
        fs::write(&settings, text).unwrap();
        let mut args: Vec<_> = first.iter().map(|arg| (*arg).to_owned()).collect();
        args.extend(["--settings".to_owned(), settings.display().to_string()]);
        deploy::Process::start(name, program, &args, &self.dir)
    }

    /// Publishes a routing. Returns the status of the first voter's answer that is not 503.
    pub(crate) async fn publish(&self, body: &str) -> u16 {
        let until = std::time::Instant::now() + Duration::from_secs(20);
        loop {
            for i in 0..self.voters.len() {
                let asked = client::ask(
                    self.publish_address(i),
                    "PUT",
                    "/v1/routing",
                    &[],
                    body.to_owned(),
                );
                match asked.await {
                    Ok(answer) if answer.status != 503 => return answer.status,
                    _ => {}
                }
            }
            assert!(std::time::Instant::now() < until, "nobody takes a routing");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Orders one voter to cordon (`POST`) or uncordon (`DELETE`) a zone. Returns the status, or
    /// `None` if there is no answer within two seconds.
    pub(crate) async fn order(&self, voter: usize, method: &str, zone: &str) -> Option<u16> {
        let path = format!("/v1/cordons/{zone}");
        let asked = client::ask(self.publish_address(voter), method, &path, &[], "");
        let answer = tokio::time::timeout(Duration::from_secs(2), asked).await;
        Some(answer.ok()?.ok()?.status)
    }

    /// Orders one voter after another to cordon or uncordon a zone, until one acknowledges it.
    pub(crate) async fn order_any_voter(&self, method: &str, zone: &str) {
        let until = std::time::Instant::now() + Duration::from_secs(20);
        loop {
            for i in 0..self.voters.len() {
                match self.order(i, method, zone).await {
                    Some(200) => return,
                    Some(503) | None => {}
                    Some(status) => panic!("{method} {zone} is answered {status}"),
                }
            }
            assert!(std::time::Instant::now() < until, "nobody takes the order");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns a client of the administration API.
    pub(crate) fn operator(&self) -> operate::Client {
        let voters = (0..self.voters.len()).map(|i| self.admin_address(i));
        operate::Client::new(voters.collect(), deploy::OPERATOR.into())
    }

    /// Returns the text of the routing in force, from the first voter that answers with it.
    pub(crate) async fn read(&self) -> String {
        let until = std::time::Instant::now() + Duration::from_secs(20);
        loop {
            for i in 0..self.voters.len() {
                let asked = client::ask(self.publish_address(i), "GET", "/v1/routing", &[], "");
                match asked.await {
                    Ok(answer) if answer.status == 200 => {
                        return String::from_utf8(answer.body.to_vec()).unwrap()
                    }
                    _ => {}
                }
            }
            assert!(
                std::time::Instant::now() < until,
                "nobody knows the routing"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends an endpoint's heartbeat to a voter.
    pub(crate) async fn announce(&self, voter: usize, record: &Record) {
        let path = format!("/v1/endpoints/{}", record.name);
        let body = serde_json::to_string(record).unwrap();
        let answer = client::ask(self.publish_address(voter), "PUT", &path, &[], body);
        assert_eq!(answer.await.unwrap().status, 200);
    }

    /// Calls a route.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        id: &str,
    ) -> std::io::Result<client::Answer> {
        let bearer = format!("Bearer {KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("scalewood-id", id),
            ("scalewood-deadline-ms", "5000"),
            ("x-other", "kept"),
        ];
        let mut connection = client::Connection::open(self.callers()).await?;
        let response = connection
            .send_to(HOST, method, path, &headers, "a body")
            .await?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        Ok(client::Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
        })
    }

    /// Returns how many endpoints the dispatcher of the first box knows.
    pub(crate) async fn known_endpoints(&self) -> f64 {
        self.service_metric("endpoints_known").await
    }

    /// Returns a metric of the first box for the service of all routes, 0 if there is none.
    async fn service_metric(&self, name: &str) -> f64 {
        let metric = format!("scalewood_{name}{{service=\"lm\"}} ");
        let asked = client::ask(self.health(), "GET", "/metrics", &[], "").await;
        let text = asked.map_or_else(
            |_| String::new(),
            |answer| String::from_utf8_lossy(&answer.body).into_owned(),
        );
        let value = text.lines().find_map(|line| line.strip_prefix(&metric));
        value.map_or(0.0, |value| value.parse().unwrap())
    }

    /// Waits until the first box's retry budget is full. Voters lend it capacity some hundred
    /// milliseconds after it has begun to serve.
    pub(crate) async fn wait_retries(&self) {
        deploy::wait("the retry budget is full", || async {
            let left = self.service_metric("retries_left").await;
            left >= 1.0 && left == self.service_metric("retries_capacity").await
        })
        .await;
    }

    /// Waits until a safe call is served.
    pub(crate) async fn wait_served(&self) {
        deploy::wait("a call is served", || async {
            self.call("GET", "/safe/wait", "wait")
                .await
                .is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// Sends heartbeats of an endpoint to the voters in turn, until the task is ended.
pub(crate) fn beat(system: &System, record: Record, from: u64) -> tokio::task::JoinHandle<()> {
    let voters: Vec<_> = (0..system.voters.len())
        .map(|i| system.publish_address(i))
        .collect();
    tokio::spawn(async move {
        for sequence in from.. {
            let record = Record {
                sequence,
                ..record.clone()
            };
            let path = format!("/v1/endpoints/{}", record.name);
            let body = serde_json::to_string(&record).unwrap();
            for voter in &voters {
                let sent = client::ask(*voter, "PUT", &path, &[], body.clone());
                let sent = tokio::time::timeout(Duration::from_secs(1), sent).await;
                if matches!(sent, Ok(Ok(answer)) if answer.status == 200) {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(1000)).await;
        }
    })
}

/// Returns the routing of all tests, with a version.
pub(crate) fn routing(version: u64) -> Routing {
    let route = |prefix: &str, kind, tier| Route {
        host: HOST.into(),
        prefix: prefix.into(),
        kind,
        shares: vec![Share {
            service: "lm".parse().unwrap(),
            weight: 1,
        }],
        timeout_ms: 4000,
        target_ms: 250,
        gap_ms: None,
        patience_ms: None,
        tier: unit::Tier(tier),
        attempts: 2,
        public: false,
        allowed: Default::default(),
    };
    let routes = [
        ("safe", route("/safe/", Kind::Safe, 0)),
        ("unsafe", route("/unsafe/", Kind::Unsafe, 1)),
        (
            "stream",
            route("/stream/", Kind::Stream { resumable: false }, 1),
        ),
        (
            "resume",
            route("/sresume/", Kind::Stream { resumable: true }, 0),
        ),
    ];
    let team = Team {
        keys: vec![secret::Hash::of(KEY)],
        tier: unit::Tier(0),
        allowed: Default::default(),
    };
    Routing {
        version,
        routes: routes
            .into_iter()
            .map(|(name, route)| (name.parse().unwrap(), route))
            .collect(),
        services: [("lm".parse().unwrap(), Service::default())].into(),
        teams: [("t1".parse().unwrap(), team)].into(),
        ..Routing::default()
    }
}

/// Returns the JSON text of a routing.
pub(crate) fn text(routing: &Routing) -> String {
    serde_json::to_string_pretty(routing).unwrap()
}

/// Starts a system with one voter and this number of endpoints, and waits until the box knows all
/// of them.
pub(crate) async fn serving(endpoints: usize, dir: &Path) -> (System, Vec<Endpoint>) {
    let system = System::start(1, dir);
    assert_eq!(system.publish(&text(&routing(7))).await, 200);
    let mut started = Vec::new();
    for i in 0..endpoints {
        let port = u16::try_from(9000 + i).unwrap();
        let address = (system.host, port).into();
        let endpoint = Endpoint::start(&format!("i-{i}"), address).await;
        system.announce(0, &endpoint.record(1, State::Ready)).await;
        started.push(endpoint);
    }
    system.wait_served().await;
    // Endpoints are reported in several messages, and passed on to the dispatcher some time after
    // the box has logged them.
    deploy::wait("the dispatcher knows all endpoints", || async {
        system.known_endpoints().await >= endpoints as f64
    })
    .await;
    system.wait_retries().await;
    (system, started)
}

/// The time within which requests arrive that were in flight when an endpoint asked for a backoff.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// Returns how many backoffs endpoints asked for, and the most requests that one of them received
/// during a backoff from the box that it had asked. Each request must name its box in [`BOX`].
pub(crate) fn rests(endpoints: &[Endpoint]) -> (usize, usize) {
    let (mut count, mut most) = (0, 0);
    for endpoint in endpoints {
        let seen = endpoint.seen();
        for asked in &seen {
            let Some(Act::Rest(rest)) = asked.act else {
                continue;
            };
            let (from, until) = (asked.at + IN_FLIGHT, asked.at + rest);
            let of_box = seen
                .iter()
                .filter(|seen| seen.header(BOX) == asked.header(BOX));
            let within = of_box.filter(|seen| seen.at > from && seen.at < until);
            count += 1;
            most = most.max(within.count());
        }
    }
    (count, most)
}

/// Returns how many requests for a path have reached endpoints.
pub(crate) fn seen(endpoints: &[Endpoint], path: &str) -> usize {
    let all = endpoints.iter().flat_map(Endpoint::seen);
    all.filter(|seen| seen.path == path).count()
}

/// Returns the largest number of times within any window of a length.
pub(crate) fn max_in_window(times: &[std::time::Instant], window: Duration) -> usize {
    let count = |from: &std::time::Instant| {
        let within = times
            .iter()
            .filter(|at| *at >= from && **at < *from + window);
        within.count()
    };
    times.iter().map(count).max().unwrap_or_default()
}
