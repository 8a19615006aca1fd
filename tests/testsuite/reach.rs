//! Boxes whose links to the endpoints fail while callers, voters and other boxes still reach them,
//! with real processes.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::registry::State;

use crate::support::{
    client, deploy,
    forwarder::{Forwarder, Mode, Port},
    rewriter::Rewriter,
    routed::{routing, text, Act, Endpoint, Seen, System, HOST, KEY},
};

const VOTERS: usize = 2;
pub(crate) const BOXES: usize = 6;
const ENDPOINTS: usize = 6;
/// Most boxes: all of one zone and one of the other.
pub(crate) const MOST: [usize; 4] = [0, 1, 2, 3];
/// All boxes.
const ALL: [usize; BOXES] = [0, 1, 2, 3, 4, 5];
/// The zone of each box.
const ZONES: [&str; BOXES] = ["z0", "z0", "z0", "z1", "z1", "z1"];
/// The port of endpoint 0 for boxes whose links are not cut.
const ENDPOINT_PORT: u16 = 9500;
/// The port of endpoint 0 for the other boxes.
const CUT_ENDPOINT_PORT: u16 = 9700;
/// The port at which voters send the boxes whose links are cut the other ports of endpoints.
const CUT_VOTER_PORT: u16 = 7800;
/// The interval of the endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long after the links were cut the boxes must serve again.
const MAX_DETECTION: Duration = Duration::from_secs(3);

/// How long an endpoint works on a request: long enough that boxes open new connections as more
/// requests arrive.
const REQUEST_TIME: Duration = Duration::from_millis(300);

/// How links fail.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Cut {
    /// Open connections break and new ones are refused.
    Reset,
    /// Open connections stay silent and new ones get no answer.
    Silent,
    /// Open connections go on and new ones are refused.
    RefusesNew,
}

/// A running system whose boxes reach the endpoints over links of two groups.
pub(crate) struct Site {
    pub(crate) system: System,
    pub(crate) boxes: Vec<Option<deploy::Process>>,
    /// The boxes whose links are cut.
    cut: &'static [usize],
    pub(crate) endpoints: Vec<Endpoint>,
    /// The number of requests sent so far, which distinguishes their paths.
    sent: AtomicUsize,
    /// The links of the boxes in `cut`.
    cut_links: Vec<Forwarder>,
    _links: (Vec<Forwarder>, Vec<Rewriter>),
}

impl Site {
    /// Starts a system in which the links of some boxes can be cut.
    pub(crate) async fn start(cut: &'static [usize], dir: &std::path::Path) -> Self {
        Self::start_with(cut, dir, "").await
    }

    /// Does what [`Site::start`] does with additional settings of the boxes.
    async fn start_with(cut: &'static [usize], dir: &std::path::Path, more: &str) -> Self {
        let mut system = System::start_with(VOTERS, dir, more);
        system.entry = None;
        assert_eq!(system.publish(&text(&routing(7))).await, 200);
        let mut rules: Vec<_> = vec![rule(7000, CUT_VOTER_PORT)];
        let (mut endpoints, mut cut_links, mut links) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..ENDPOINTS {
            let offset = u16::try_from(i).unwrap();
            let at = |port: u16| SocketAddr::new(system.host, port + offset);
            let endpoint = Endpoint::start(&format!("i-{i}"), at(9000)).await;
            links.push(Forwarder::start(at(ENDPOINT_PORT), endpoint.address).await);
            cut_links.push(Forwarder::start(at(CUT_ENDPOINT_PORT), endpoint.address).await);
            rules.push(rule(ENDPOINT_PORT + offset, CUT_ENDPOINT_PORT + offset));
            endpoints.push(endpoint);
        }
        let mut voters = Vec::new();
        for i in 0..VOTERS {
            let listen = system.voter_listen(i);
            let from = SocketAddr::new(listen.ip(), CUT_VOTER_PORT);
            voters.push(Rewriter::start(from, listen, rules.clone()).await);
        }
        let start = |i: usize| Some(start_box(&system, cut, i));
        let boxes = (0..BOXES).map(start).collect();
        let site = Self {
            system,
            boxes,
            cut,
            endpoints,
            sent: AtomicUsize::new(0),
            cut_links,
            _links: (links, voters),
        };
        site.beat(1).await;
        for i in 0..BOXES {
            deploy::wait("a box serves", || async {
                site.send(i, "/safe/wait").await.is_served()
            })
            .await;
        }
        site
    }

    /// Starts the process of a box.
    pub(crate) fn start_box(&self, i: usize) -> deploy::Process {
        start_box(&self.system, self.cut, i)
    }

    async fn beat(&self, sequence: u64) {
        for (i, endpoint) in (0..).zip(&self.endpoints) {
            let mut record = endpoint.record(sequence, State::Ready);
            record.address = SocketAddr::new(self.system.host, ENDPOINT_PORT + i);
            self.system.announce(0, &record).await;
        }
    }

    /// Sends heartbeats of all endpoints for ever.
    pub(crate) async fn beat_on(&self) {
        for sequence in 2.. {
            self.beat(sequence).await;
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Cuts the links of the boxes in `cut`, or repairs them.
    pub(crate) fn set_cut(&self, cut: Option<Cut>) {
        for link in &self.cut_links {
            let (port, mode) = match cut {
                None => (Port::Open, Mode::Whole),
                Some(Cut::Reset) => (Port::Refuses, Mode::Cut),
                Some(Cut::Silent) => (Port::Hangs, Mode::Silent),
                Some(Cut::RefusesNew) => (Port::Refuses, Mode::Whole),
            };
            link.set_port(port);
            link.set(mode);
        }
    }

    pub(crate) async fn send(&self, i: usize, path: &str) -> Outcome {
        send(self.system.callers_at(i), i, path.to_owned()).await
    }

    /// Sends `per_second` requests a second to random boxes for the time `length`.
    async fn send_all(&self, per_second: u32, length: Duration) -> Vec<Outcome> {
        const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
        let mut random = SmallRng::seed_from_u64(1);
        let until = Instant::now() + length;
        let mut sent = Vec::new();
        while Instant::now() < until {
            let i = random.random_range(0..BOXES);
            let number = self.sent.fetch_add(1, Ordering::Relaxed);
            let path = format!("{}{number}", PATHS[random.random_range(0..PATHS.len())]);
            sent.push(tokio::spawn(send(self.system.callers_at(i), i, path)));
            tokio::time::sleep(Duration::from_secs(1) / per_second).await;
        }
        let mut outcomes = Vec::new();
        for task in sent {
            outcomes.push(task.await.unwrap());
        }
        outcomes
    }

    /// Returns the value of a metric of a box.
    pub(crate) async fn metric(&self, i: usize, name: &str) -> u64 {
        let health = SocketAddr::new(self.system.host, 8002 + 10 * u16::try_from(i).unwrap());
        let asked = client::ask(health, "GET", "/metrics", &[], "").await;
        let text = String::from_utf8_lossy(&asked.unwrap().body).into_owned();
        let name = format!("scalewood_{name}");
        let value = text.lines().find_map(|line| {
            let (key, value) = line.rsplit_once(' ')?;
            (key == name).then(|| value.parse().unwrap())
        });
        value.unwrap_or_else(|| panic!("{name} in {text}"))
    }

    /// Cuts the links and waits until the boxes in `cut` have noticed.
    pub(crate) async fn cut_and_wait(&self, cut: Cut) {
        self.set_cut(Some(cut));
        for i in self.cut.iter().copied() {
            deploy::wait("a box notices that its links are lost", || async {
                self.send(i, "/safe/notice").await;
                self.metric(i, "services_unreachable").await == 1
            })
            .await;
        }
    }

    /// Returns the number of requests that boxes have sent to others.
    async fn forwarded(&self) -> u64 {
        let mut sum = 0;
        for i in 0..BOXES {
            sum += self.metric(i, "forwarded_requests_total").await;
        }
        sum
    }

    /// Returns the boxes that serve requests for others, with the number of such requests.
    async fn forwards_served(&self) -> Vec<(usize, u64)> {
        let mut served = Vec::new();
        for i in (0..BOXES).filter(|i| self.boxes[*i].is_some()) {
            served.push((i, self.metric(i, "forwards_served_total").await));
        }
        served
    }

    /// Returns the requests for a path that reached endpoints.
    fn seen(&self, path: &str) -> Vec<Seen> {
        let seen = self.endpoints.iter().flat_map(Endpoint::seen);
        let mut seen: Vec<_> = seen.filter(|seen| seen.path == path).collect();
        seen.sort_by_key(|seen| seen.at);
        seen
    }

    /// Returns the number of requests that endpoints run.
    fn running(&self) -> usize {
        self.endpoints.iter().map(Endpoint::running).sum()
    }

    /// Returns the paths of requests that may run only once and ran more often.
    fn ran_twice(&self) -> Vec<String> {
        let seen = self.endpoints.iter().flat_map(Endpoint::seen);
        let mut once: Vec<_> = seen
            .filter(|seen| seen.ran && (seen.path.starts_with("/unsafe/")))
            .map(|seen| seen.path)
            .collect();
        once.sort();
        let twice = once.windows(2).filter(|pair| pair[0] == pair[1]);
        twice.map(|pair| pair[0].clone()).collect()
    }
}

fn start_box(system: &System, cut: &[usize], i: usize) -> deploy::Process {
    let port = if cut.contains(&i) {
        CUT_VOTER_PORT
    } else {
        7000
    };
    system.start_entry_in(i, ZONES[i], port)
}

fn rule(port: u16, replacement: u16) -> (String, String) {
    (format!(":{port}\""), format!(":{replacement}\""))
}

/// The outcome of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// The number of the box that it was sent to.
    at: usize,
    path: String,
    /// 0 without an answer.
    status: u16,
    /// Whether the answer is complete.
    is_whole: bool,
    verdict: Option<String>,
    took: Duration,
}

impl Outcome {
    pub(crate) fn is_served(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}

pub(crate) async fn send(callers: SocketAddr, i: usize, path: String) -> Outcome {
    let bearer = format!("Bearer {KEY}");
    let id = format!("{:016x}", rand::random::<u64>());
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", deadline.as_str()),
    ];
    let sent = Instant::now();
    let mut outcome = Outcome {
        at: i,
        path: path.clone(),
        ..Outcome::default()
    };
    let exchange = async {
        let mut connection = client::Connection::open(callers).await.ok()?;
        let response = connection.send_to(HOST, "POST", &path, &headers, "a body");
        let (parts, body) = response.await.ok()?.into_parts();
        outcome.status = parts.status.as_u16();
        let verdict = parts.headers.get("scalewood-verdict");
        outcome.verdict = verdict.and_then(|text| Some(text.to_str().ok()?.to_owned()));
        let body = body.collect().await.ok()?.to_bytes();
        let is_stream = path.starts_with("/s") && !path.starts_with("/safe");
        outcome.is_whole = !is_stream || body.ends_with(b"data: piece 5\n\n");
        Some(())
    };
    let _ = tokio::time::timeout(DEADLINE, exchange).await;
    outcome.took = sent.elapsed();
    outcome
}

/// Returns the number of served requests and of all, at the boxes in [`MOST`] or at the others.
fn served(outcomes: &[Outcome], at_cut_boxes: bool) -> (usize, usize) {
    let at = outcomes
        .iter()
        .filter(|outcome| MOST.contains(&outcome.at) == at_cut_boxes);
    let at: Vec<_> = at.collect();
    (at.iter().filter(|o| o.is_served()).count(), at.len())
}

/// Cuts the links of some boxes while requests arrive at all, and checks from `MAX_DETECTION` on
/// that callers of these boxes are served as well as those of the others.
async fn serve_over_cut_links(cut: Cut) {
    const CUT_LENGTH: Duration = Duration::from_secs(10);
    const RATE: u32 = 60;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&MOST, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    let played = async {
        let before = site.send_all(RATE / 4, Duration::from_secs(3)).await;
        site.set_cut(Some(cut));
        let detecting = site.send_all(RATE, MAX_DETECTION).await;
        let during = site.send_all(RATE, CUT_LENGTH - MAX_DETECTION).await;
        site.set_cut(None);
        let healing = site.send_all(RATE, Duration::from_secs(1)).await;
        let after = site.send_all(RATE, Duration::from_secs(2)).await;
        [before, detecting, during, healing, after]
    };
    let spans = tokio::select! {
        spans = played => spans,
        () = site.beat_on() => unreachable!(),
    };
    for (name, span) in ["before", "detecting", "during", "healing", "after"]
        .iter()
        .zip(&spans)
    {
        println!(
            "{cut:?} {name}: cut {:?}, others {:?}",
            served(span, true),
            served(span, false)
        );
    }
    let during = &spans[2];
    let failed: Vec<_> = during
        .iter()
        .filter(|outcome| !outcome.is_served())
        .collect();
    for outcome in failed.iter().take(6) {
        let Outcome {
            at,
            path,
            status,
            verdict,
            took,
            ..
        } = outcome;
        println!("{path} at box {at}: {status} {verdict:?} after {took:?}");
    }
    let (at_cut, sent_to_cut) = served(during, true);
    let (at_others, sent_to_others) = served(during, false);
    assert!(
        sent_to_cut > 100 && sent_to_others > 50,
        "{sent_to_cut} {sent_to_others}"
    );
    assert!(
        at_cut * 50 >= sent_to_cut * 49,
        "{at_cut} of {sent_to_cut} at cut boxes"
    );
    assert!(
        at_others * 50 >= sent_to_others * 49,
        "{at_others} of {sent_to_others} at others"
    );
    for span in [&spans[0], &spans[4]] {
        let whole = span.iter().filter(|outcome| outcome.is_served()).count();
        assert!(whole * 50 >= span.len() * 49, "{whole} of {}", span.len());
    }
    assert_eq!(site.ran_twice(), Vec::<String>::new());
}

/// Guards against boxes that serve nobody, or only over the connections that are left, while all
/// endpoints refuse their connections.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_boxes_whose_connections_are_refused_are_served() {
    serve_over_cut_links(Cut::Reset).await;
    serve_over_cut_links(Cut::RefusesNew).await;
}

/// Guards against boxes that serve nobody while their links to all endpoints carry nothing.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_boxes_whose_links_are_silent_are_served() {
    serve_over_cut_links(Cut::Silent).await;
}

/// Guards against requests of one box that are served by another one as if that were their first
/// arrival: they are counted twice, get more time, or reach endpoints with another team or with
/// headers between boxes.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_is_counted_once_and_reaches_its_endpoint_as_sent() {
    const REQUESTS: u64 = 20;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    let played = async {
        site.cut_and_wait(Cut::Reset).await;
        let labels = "service=\"lm\",class=\"unsafe\"";
        let offered = format!("requests_offered_total{{{labels}}}");
        let mut outcomes = Vec::new();
        for number in 0..REQUESTS {
            outcomes.push(site.send(0, &format!("/unsafe/once{number}")).await);
        }
        assert!(outcomes.iter().all(Outcome::is_served), "{outcomes:?}");
        assert_eq!(site.metric(0, &offered).await, REQUESTS);
        assert!(site.metric(0, "forwarded_requests_total").await >= REQUESTS);
        let served = site.forwards_served().await;
        assert!(served.iter().map(|(_, count)| count).sum::<u64>() >= REQUESTS);
        assert_eq!(served[0], (0, 0), "a box forwards to itself");
        for number in 0..REQUESTS {
            let seen = site.seen(&format!("/unsafe/once{number}"));
            assert_eq!(seen.len(), 1, "{seen:?}");
            assert_eq!(seen[0].header("scalewood-team"), Some("t1"));
            assert_eq!(seen[0].header("authorization"), None);
            assert_eq!(seen[0].header("scalewood-forwarded"), None);
            assert_eq!(&seen[0].body[..], b"a body");
            let left = seen[0].header("scalewood-deadline-ms").unwrap();
            assert!(
                left.parse::<u128>().unwrap() <= DEADLINE.as_millis(),
                "{left}"
            );
        }
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against boxes that hold requests to their end, or send them round among each other, while
/// no box reaches any endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_early_while_no_box_reaches_an_endpoint() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&ALL, dir.path()).await;
    let played = async {
        site.cut_and_wait(Cut::Silent).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = site.forwarded().await;
        let outcomes = site.send_all(30, Duration::from_secs(3)).await;
        let late: Vec<_> = outcomes
            .iter()
            .filter(|o| o.status != 503 || o.verdict.as_deref() != Some("not-run"))
            .chain(outcomes.iter().filter(|o| o.took > DEADLINE / 4))
            .collect();
        assert!(
            late.is_empty(),
            "{} of {}: {:?}",
            late.len(),
            outcomes.len(),
            late[0]
        );
        assert_eq!(site.forwarded().await, before);
        site.set_cut(None);
        deploy::wait("all boxes serve again", || async {
            let mut served = true;
            for i in ALL {
                served &= site.send(i, "/safe/again").await.is_served();
            }
            served
        })
        .await;
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against endpoints that go on with a forwarded request after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_ends_when_its_caller_leaves() {
    const REQUESTS: usize = 5;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    let played = async {
        site.cut_and_wait(Cut::Reset).await;
        for endpoint in &site.endpoints {
            endpoint.set_default_act(Some(Act::Hang));
        }
        let callers = site.system.callers_at(0);
        let calls: Vec<_> = (0..REQUESTS)
            .map(|i| tokio::spawn(send(callers, 0, format!("/unsafe/left{i}"))))
            .collect();
        deploy::wait("endpoints run the requests", || async {
            site.running() >= REQUESTS
        })
        .await;
        for call in calls {
            call.abort();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(site.running(), 0);
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against streams that end, repeat or lose events as the box that serves them for another
/// one is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_stream_goes_on_after_the_box_that_serves_it_is_killed() {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(&[0], dir.path()).await;
    let before = {
        let site = &site;
        tokio::select! {
            before = async {
                site.cut_and_wait(Cut::Reset).await;
                site.forwards_served().await
            } => before,
            () = site.beat_on() => unreachable!(),
        }
    };
    for endpoint in &site.endpoints {
        endpoint.set_default_act(Some(Act::StallAfter(3)));
    }
    site.system.wait_retries().await;
    let callers = site.system.callers_at(0);
    let call = tokio::spawn(send(callers, 0, "/sresume/on".to_owned()));
    deploy::wait("an endpoint runs the stream", || async {
        site.running() == 1
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for endpoint in &site.endpoints {
        endpoint.answer_correctly();
    }
    let after = site.forwards_served().await;
    let serving = before
        .iter()
        .zip(&after)
        .find(|(before, after)| before != after);
    let (serving, _) = serving.expect("a box serves the stream").0;
    site.boxes[*serving].take().unwrap().kill();
    let outcome = call.await.unwrap();
    assert!(outcome.is_served(), "{outcome:?}");
    let seen = site.seen("/sresume/on");
    assert_eq!(seen.len(), 2, "{seen:?}");
    assert_eq!(seen[1].header("last-event-id"), Some("2"));
}

/// Guards against requests that are lost while a box that serves them for another one is stopped as
/// planned: it finishes them, and takes no new ones.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_are_served_while_boxes_stop() {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(&[0], dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    let stopping: Vec<_> = [1, 4].map(|i| site.boxes[i].take().unwrap()).into();
    let site = &site;
    let played = async {
        site.cut_and_wait(Cut::Reset).await;
        let callers = site.system.callers_at(0);
        let mut calls = Vec::new();
        let mut stopping = stopping.into_iter();
        let mut stopped = Vec::new();
        for number in 0..120 {
            let path = format!("/unsafe/stop{number}");
            calls.push(tokio::spawn(send(callers, 0, path)));
            tokio::time::sleep(Duration::from_millis(25)).await;
            if number % 40 == 20 {
                let next = stopping.next().map(|process| {
                    tokio::task::spawn_blocking(|| process.stop(Duration::from_secs(6)))
                });
                stopped.extend(next);
            }
        }
        for call in calls {
            let outcome = call.await.unwrap();
            assert!(outcome.is_served(), "{outcome:?}");
        }
        for stopped in stopped {
            assert!(stopped.await.unwrap(), "a box does not stop in time");
        }
        assert_eq!(site.ran_twice(), Vec::<String>::new());
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against answers that have begun and are given up for the refusal of another box, as the links of their
/// box fail while their endpoint is silent.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_has_begun_is_not_given_up_for_a_refusal_of_another_box() {
    const PATH: &str = "/safe/pieces/begun";
    /// When the links fail: the first piece has arrived by then, and the second has not.
    const CUT_AFTER: Duration = Duration::from_millis(450);
    const RETRIES: &str = r#""retries": { "ratio": 2, "slack": 60 }"#;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start_with(&[0], dir.path(), RETRIES).await;
    let played = async {
        let cut = async {
            deploy::wait("an endpoint runs the request", || async {
                site.running() > 0
            })
            .await;
            tokio::time::sleep(CUT_AFTER).await;
            for link in &site.cut_links {
                link.set_port(Port::Refuses);
                link.set(Mode::Silent);
            }
            for endpoint in &site.endpoints {
                endpoint.set_default_act(Some(Act::Refuse));
            }
            deploy::wait("the box notices that its links are lost", || async {
                futures_util::future::join_all((0..4).map(|_| {
                    let notice = site.send(0, "/safe/notice");
                    tokio::time::timeout(Duration::from_millis(100), notice)
                }))
                .await;
                site.metric(0, "services_unreachable").await == 1
            })
            .await;
            deploy::wait("another box refuses the request", || async {
                site.seen(PATH).len() > 1
            })
            .await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            for link in &site.cut_links {
                link.set(Mode::Whole);
            }
        };
        let (outcome, ()) = tokio::join!(site.send(0, PATH), cut);
        assert!(outcome.is_served(), "{outcome:?}");
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against requests that lose the time that the configuration allowed when they arrived, as they are
/// forwarded to a box where a shorter timeout is in force already.
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_request_keeps_the_time_that_its_first_box_states() {
    const OLD: &str = r#"{"by":"e1","revision":1,"age_ms":3950,"runs":0}"#;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_work_time(REQUEST_TIME);
    }
    let played = async {
        let served = forward(&site, 1, "/safe/old", Some(OLD)).await;
        assert_eq!(served.status, 200);
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against long requests that count as possibly run, as the box that gives them back closes the
/// connection before it has read them.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_is_read_before_it_is_given_back() {
    const NEWER: &str = r#"{"by":"e1","revision":9,"age_ms":10,"runs":0}"#;
    const LONG_BODY: usize = 900 << 10;
    const TRIES: usize = 20;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    let played = async {
        for _ in 0..TRIES {
            let body = "x".repeat(LONG_BODY);
            let back = forward_body(&site, 1, "/unsafe/back", Some(NEWER), body).await;
            assert_eq!(back.header("scalewood-unavailable"), Some("1"));
        }
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Sends a request to the port of a box for requests of other boxes, with a header that such requests
/// have.
async fn forward(site: &Site, i: usize, path: &str, forwarded: Option<&str>) -> client::Answer {
    forward_body(site, i, path, forwarded, "a body".to_owned()).await
}

/// Does what [`forward`] does with a body.
async fn forward_body(
    site: &Site,
    i: usize,
    path: &str,
    forwarded: Option<&str>,
    body: String,
) -> client::Answer {
    let log = site.system.dir.join(format!("e{}.log", i + 1));
    let log = std::fs::read_to_string(log).unwrap();
    // A box that was started twice has written to one log.
    let line = log
        .lines()
        .rfind(|line| line.contains("\"what\":\"forwards\""));
    let line: serde_json::Value = serde_json::from_str(line.unwrap()).unwrap();
    let address = line["address"].as_str().unwrap().parse().unwrap();
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![
        ("authorization", bearer.as_str()),
        ("scalewood-id", "forwarded"),
        ("scalewood-deadline-ms", "2000"),
    ];
    headers.extend(forwarded.map(|forwarded| ("scalewood-forwarded", forwarded)));
    let mut connection = client::Connection::open(address).await.unwrap();
    let response = connection.send_to(HOST, "POST", path, &headers, body).await;
    let (parts, body) = response.unwrap().into_parts();
    client::Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    }
}

/// Guards against answers by which a request did not run though the box that has forwarded it had sent
/// it to an endpoint before (seed 200 of `reach_soak`), and against requests that go round.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_answers_for_what_happened_to_a_request_before_it_was_forwarded() {
    const RAN: &str = r#"{"by":"e1","revision":1,"age_ms":10,"runs":1}"#;
    const DID_NOT_RUN: &str = r#"{"by":"e1","revision":1,"age_ms":10,"runs":0}"#;
    const NEWER: &str = r#"{"by":"e1","revision":9,"age_ms":10,"runs":0}"#;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    let played = async {
        let served = forward(&site, 1, "/safe/served", Some(DID_NOT_RUN)).await;
        assert_eq!(served.status, 200);
        for endpoint in &site.endpoints {
            endpoint.set_default_act(Some(Act::Refuse));
        }
        let refused = forward(&site, 1, "/safe/refused", Some(DID_NOT_RUN)).await;
        assert_eq!((refused.status, refused.verdict()), (503, Some("not-run")));
        let refused = forward(&site, 1, "/safe/refused", Some(RAN)).await;
        assert_eq!(
            (refused.status, refused.verdict()),
            (502, Some("may-have-run"))
        );
        let without = forward(&site, 1, "/safe/refused", None).await;
        assert_eq!((without.status, without.verdict()), (400, Some("not-run")));
        // A box with an older configuration, or without links itself, gives the request back.
        let behind = forward(&site, 1, "/safe/refused", Some(NEWER)).await;
        assert_eq!(behind.header("scalewood-unavailable"), Some("1"));
        site.cut_and_wait(Cut::Reset).await;
        let back = forward(&site, 0, "/safe/back", Some(DID_NOT_RUN)).await;
        assert_eq!(back.header("scalewood-unavailable"), Some("1"));
        assert_eq!(site.seen("/safe/back").len(), 0);
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}

/// Guards against requests that are held back at all boxes since the links of one box were reset and new
/// connections refused, which looks like the end of each endpoint under its requests.
#[tokio::test(flavor = "multi_thread")]
async fn links_that_are_reset_are_not_taken_for_endpoints_that_end() {
    const REQUESTS: usize = 30;
    /// Three ends hold a request back. The first failures of a cut may be recorded, before there are
    /// enough of them for a check of the links.
    const ENDS_THAT_HOLD_BACK: usize = 3;
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&[0], dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.set_default_act(Some(Act::Hang));
    }
    let played = async {
        let callers = site.system.callers_at(0);
        let calls: Vec<_> = (0..REQUESTS)
            .map(|i| tokio::spawn(send(callers, 0, format!("/unsafe/reset{i}"))))
            .collect();
        deploy::wait("endpoints run the requests", || async {
            site.running() >= REQUESTS
        })
        .await;
        site.set_cut(Some(Cut::Reset));
        for call in calls {
            call.await.unwrap();
        }
        let log = std::fs::read_to_string(site.system.dir.join("e1.log")).unwrap();
        let ends = log.lines().filter(|line| line.contains("\"event\":3210"));
        let ends = ends.count();
        println!("{ends} ends recorded");
        assert!(ends < ENDS_THAT_HOLD_BACK, "{ends}");
    };
    tokio::select! {
        () = played => {}
        () = site.beat_on() => unreachable!(),
    }
}
