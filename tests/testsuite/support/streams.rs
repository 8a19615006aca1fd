//! Callers of streams, which take a broken stream up at another box.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;

use super::{
    client,
    routed::{Script, HOST, KEY},
};

/// The number of events of a stream.
pub(crate) const EVENTS: usize = 20;
/// The pause between two events.
pub(crate) const PAUSE: Duration = Duration::from_millis(40);
/// The time that a caller has for a stream, over all its attempts.
pub(crate) const DEADLINE: Duration = Duration::from_secs(4);
/// The time between two attempts of a caller.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Returns what an endpoint of a build writes.
pub(crate) fn script(build: &str) -> Script {
    Script {
        build: Some(build.to_owned()),
        states_build: false,
        mark: Some(build.to_owned()),
        events: EVENTS,
        pause: PAUSE,
    }
}

/// What callers saw of attempts at streams.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Attempts to begin a stream, and those that brought an event.
    pub(crate) new: usize,
    pub(crate) begun: usize,
    /// Attempts to take a stream up, and those that brought an event.
    pub(crate) taken_up: usize,
    pub(crate) went_on: usize,
}

impl Tally {
    /// Counts an attempt to begin a stream or to take one up, and whether it brought an event.
    pub(crate) fn record(&mut self, is_new: bool, brought_event: bool) {
        let brought = usize::from(brought_event);
        if is_new {
            self.new += 1;
            self.begun += brought;
        } else {
            self.taken_up += 1;
            self.went_on += brought;
        }
    }

    /// Adds the counts of another one.
    pub(crate) fn add(&mut self, other: &Self) {
        self.new += other.new;
        self.begun += other.begun;
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
    }

    /// Returns the fraction of the attempts to begin a stream that did.
    pub(crate) fn begun_fraction(&self) -> f64 {
        self.begun as f64 / self.new.max(1) as f64
    }

    /// Returns the fraction of the attempts to take a stream up that brought another event.
    pub(crate) fn taken_up_fraction(&self) -> f64 {
        self.went_on as f64 / self.taken_up.max(1) as f64
    }
}

/// A stream as its caller received it, over one or more attempts.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// The attempt that brought the first event.
    pub(crate) begun_by: String,
    /// The number of events.
    pub(crate) events: usize,
    /// How long after it was asked for the first event arrived.
    pub(crate) first_event: Option<Duration>,
    /// The builds that wrote them.
    pub(crate) builds: BTreeSet<String>,
    /// Whether a box has answered the last attempt.
    pub(crate) is_answered: bool,
    /// The codes with which attempts were refused.
    pub(crate) refused: Vec<String>,
}

impl Stream {
    pub(crate) fn is_whole(&self) -> bool {
        self.events == EVENTS
    }

    /// Adds an event; each must follow the one before.
    fn add(&mut self, event: &str) {
        let (id, data) = event.split_once('\n').unwrap();
        assert_eq!(id, format!("id: {}", self.events), "a piece is missing");
        let (_, build) = data.split_once(" by ").unwrap();
        self.builds.insert(build.to_owned());
        self.events += 1;
    }
}

/// Begins a stream at a box, or takes one up. Returns the stream as far as it has come, if any event has.
pub(crate) async fn attempt(
    callers: SocketAddr,
    stream: Option<Stream>,
    tally: &mut Tally,
) -> Option<Stream> {
    let id = format!("{:016x}", rand::random::<u64>());
    let is_new = stream.is_none();
    let mut stream = stream.unwrap_or_else(|| Stream {
        begun_by: id.clone(),
        ..Stream::default()
    });
    let before = stream.events;
    let received = async {
        let mut connection = client::Connection::open(callers).await.ok()?;
        receive(&mut connection, &id, &mut stream).await
    };
    let _ = tokio::time::timeout(DEADLINE, received).await;
    tally.record(is_new, stream.events > before);
    (stream.events > 0).then_some(stream)
}

/// Receives events of a stream until it is whole or breaks off; `None` stands for a failure.
pub(crate) async fn receive(
    connection: &mut client::Connection,
    id: &str,
    stream: &mut Stream,
) -> Option<()> {
    let bearer = format!("Bearer {KEY}");
    let last = stream.events.checked_sub(1).map(|last| last.to_string());
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("scalewood-id", id),
        ("scalewood-deadline-ms", "4000"),
    ];
    let begun_by = stream.begun_by.clone();
    if let Some(last) = &last {
        headers.push(("last-event-id", last));
        headers.push(("scalewood-resumes", &begun_by));
    }
    let asked_at = Instant::now();
    let response = connection.send_to(HOST, "POST", "/sresume/order", &headers, "a body");
    let response = response.await.ok()?;
    stream.is_answered = true;
    if response.status() != 200 {
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let refusal: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        stream
            .refused
            .push(format!("{status} {}", refusal["error"]["code"]));
        return None;
    }
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        text.push_str(std::str::from_utf8(frame.ok()?.data_ref()?).unwrap());
        while let Some((event, rest)) = text.split_once("\n\n") {
            stream.add(event);
            stream.first_event.get_or_insert(asked_at.elapsed());
            text = rest.to_owned();
        }
    }
    Some(())
}

/// Receives a stream as a caller does that takes it up at another box until it is whole.
pub(crate) async fn call(callers: Vec<SocketAddr>, first: usize) -> (Option<Stream>, Tally) {
    let until = Instant::now() + DEADLINE;
    let mut tally = Tally::default();
    let mut stream = None;
    for i in first.. {
        stream = attempt(callers[i % callers.len()], stream, &mut tally).await;
        let is_whole = stream.as_ref().is_some_and(Stream::is_whole);
        if is_whole || Instant::now() + RETRY_DELAY > until {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    (stream, tally)
}

/// The results of a run.
#[derive(Debug, Default)]
pub(crate) struct Results {
    pub(crate) streams: usize,
    pub(crate) whole: usize,
    /// The streams with events of two builds.
    pub(crate) mixed: usize,
    pub(crate) tally: Tally,
    /// The time to the first event: the median and the 99th percentile.
    pub(crate) first_event: [Duration; 2],
}

impl Results {
    /// Checks that no stream holds events of two builds, that at least `least` attempts took one up, and
    /// that these brought events at least `fraction` times as often as attempts to begin one.
    pub(crate) fn check_taken_up(&self, least: usize, fraction: f64) {
        let tally = &self.tally;
        assert!(tally.taken_up >= least, "too few are taken up: {self:?}");
        assert_eq!(self.mixed, 0, "streams of two builds: {self:?}");
        let went_on = tally.taken_up_fraction() / tally.begun_fraction();
        assert!(went_on >= fraction, "{went_on}: {self:?}");
    }
}

/// Begins a stream at the next box each `period` for a time, and receives them.
pub(crate) async fn call_all(
    callers: &[SocketAddr],
    period: Duration,
    length: Duration,
) -> Results {
    let until = Instant::now() + length;
    let sent = AtomicUsize::new(0);
    let mut tasks = Vec::new();
    while Instant::now() < until {
        let first = sent.fetch_add(1, Ordering::Relaxed);
        tasks.push(tokio::spawn(call(callers.to_vec(), first)));
        tokio::time::sleep(period).await;
    }
    let mut results = Results::default();
    let mut first_events = Vec::new();
    for task in tasks {
        let (stream, tally) = task.await.unwrap();
        results.tally.add(&tally);
        let Some(stream) = stream else { continue };
        results.streams += 1;
        results.whole += usize::from(stream.is_whole());
        results.mixed += usize::from(stream.builds.len() > 1);
        first_events.extend(stream.first_event);
    }
    first_events.sort();
    let last = first_events.len().saturating_sub(1) as f64;
    let percentile = |fraction: f64| first_events.get((last * fraction) as usize).copied();
    results.first_event = [0.5, 0.99].map(|fraction| percentile(fraction).unwrap_or_default());
    results
}
