//! Endpoints that refuse requests and ask for a backoff (`Retry-After`), with real processes.

use std::time::{Duration, Instant};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::{backoff, name, registry::State, unit};

use crate::support::{
    client, deploy,
    routed::{self, Act, Endpoint, System, BOX, HOST, KEY},
};

/// The number of boxes.
const BOXES: usize = 3;
/// The interval of the endpoints' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The maximum number of requests from one box that may reach an endpoint during its backoff.
const MAX_DURING_REST: usize = 2;

/// A running system with its boxes and endpoints.
struct Site {
    system: System,
    /// Held so that the processes run until the end of the test.
    _boxes: Vec<Option<deploy::Process>>,
    endpoints: Vec<Endpoint>,
}

impl Site {
    async fn start(endpoints: usize, dir: &std::path::Path) -> Self {
        let (mut system, endpoints) = routed::serving(endpoints, dir).await;
        let mut boxes = vec![system.entry.take()];
        boxes.extend((1..BOXES).map(|i| Some(system.start_entry_at(i))));
        let site = Self {
            system,
            _boxes: boxes,
            endpoints,
        };
        for i in 0..BOXES {
            deploy::wait("a box serves", || async {
                site.send(i, "/safe/wait", 4000).await.is_served()
            })
            .await;
        }
        site
    }

    /// Sends heartbeats of all endpoints, as ready, for the time `length`.
    async fn beat(&self, length: Duration) {
        let until = Instant::now() + length;
        for sequence in 2.. {
            for endpoint in &self.endpoints {
                let beat = endpoint.record(sequence, State::Ready);
                self.system.announce(0, &beat).await;
            }
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(HEARTBEAT).await;
        }
    }

    /// Sends a request to a box.
    async fn send(&self, i: usize, path: &str, deadline_ms: u64) -> Outcome {
        send(self.system.callers_at(i), i, path, deadline_ms).await
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, Default)]
struct Outcome {
    status: u16,
    verdict: Option<String>,
    retry_after: Option<f64>,
    took: Duration,
}

impl Outcome {
    fn is_served(&self) -> bool {
        self.status == 200
    }
}

async fn send(callers: std::net::SocketAddr, i: usize, path: &str, deadline_ms: u64) -> Outcome {
    let bearer = format!("Bearer {KEY}");
    let id = format!("{:016x}", rand::random::<u64>());
    let (number, deadline) = (i.to_string(), deadline_ms.to_string());
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", deadline.as_str()),
        (BOX, number.as_str()),
    ];
    let sent = Instant::now();
    let exchange = async {
        let mut connection = client::Connection::open(callers).await.ok()?;
        let response = connection.send_to(HOST, "POST", path, &headers, "a body");
        let (parts, body) = response.await.ok()?.into_parts();
        body.collect().await.ok()?;
        let text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
        Some(Outcome {
            status: parts.status.as_u16(),
            verdict: text("scalewood-verdict"),
            retry_after: text("retry-after").and_then(|text| text.parse().ok()),
            took: sent.elapsed(),
        })
    };
    exchange.await.unwrap_or_default()
}

/// Sends `per_second` requests a second to random boxes for the time `length`.
async fn send_all(site: &Site, per_second: u32, length: Duration) -> Vec<Outcome> {
    const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
    let mut random = SmallRng::seed_from_u64(1);
    let until = Instant::now() + length;
    let mut sent = Vec::new();
    while Instant::now() < until {
        let i = random.random_range(0..BOXES);
        let callers = site.system.callers_at(i);
        let path = PATHS[random.random_range(0..PATHS.len())];
        sent.push(tokio::spawn(send(callers, i, path, 4000)));
        tokio::time::sleep(Duration::from_secs(1) / per_second).await;
    }
    let mut outcomes = Vec::new();
    for task in sent {
        outcomes.push(task.await.unwrap());
    }
    outcomes
}

fn served(outcomes: &[Outcome]) -> usize {
    outcomes.iter().filter(|o| o.is_served()).count()
}

/// Guards against boxes that ignore the backoffs that endpoints ask for. Three of nine endpoints of
/// a service refuse all requests for eight seconds, and ask for a backoff of three seconds with
/// each answer. If boxes ignore that, these endpoints receive as many requests as before, up to
/// seven from one box during one backoff, and over a tenth of the requests of one kind are refused
/// although the six other endpoints have capacity for all.
///
/// It comes about if a refusal changes nothing in a box's view of an endpoint: one that refuses
/// everything runs nothing, so it looks as good as any other, even to the next attempt of the
/// request that it has just refused. The log (event 3216, and `rest_ms` of 3312) shows first,
/// second and third attempts within a backoff at each box, so retries alone are not the cause.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_ask_for_rest_get_it_and_the_others_serve_all() {
    const LENGTH: Duration = Duration::from_secs(12);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(9, dir.path()).await;
    // Each box prefers other endpoints; the thirds ask for one in turn so that each box is affected.
    let turns = async {
        for third in site.endpoints.chunks(3) {
            let act = Some(Act::Rest(Duration::from_secs(3)));
            third
                .iter()
                .for_each(|endpoint| endpoint.set_default_act(act));
            tokio::time::sleep(LENGTH / 3).await;
            third
                .iter()
                .for_each(|endpoint| endpoint.set_default_act(None));
        }
    };
    let sending = send_all(&site, 65, LENGTH);
    let (outcomes, (), ()) = tokio::join!(sending, turns, site.beat(LENGTH));
    let (rests, most) = routed::rests(&site.endpoints);
    let (served, sent) = (served(&outcomes), outcomes.len());
    let told = format!("{rests} rests, at most {most} requests in one, {served} of {sent} served");
    println!("{told}");
    assert!(rests >= BOXES, "no endpoint rested: {told}");
    assert!(most <= MAX_DURING_REST, "{told}");
    // Each box learns of the backoffs by one attempt at each of three endpoints, and each request
    // has three attempts.
    assert!(served * 100 >= sent * 99, "{told}");
}

/// Endpoints that leave say so in each answer before it is in any registry. A box that has received
/// such an answer sends them no more requests, although their heartbeats still say that they are
/// ready: these may be older. Requests that run there complete.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_say_in_an_answer_that_they_leave_get_no_more() {
    const LENGTH: Duration = Duration::from_secs(6);
    /// How long requests may still arrive that were sent before the first such answer.
    const MAX_IN_FLIGHT: Duration = Duration::from_millis(500);
    /// The maximum time until all boxes know: an exchange of loads, and the voters' news.
    const MAX_PROPAGATION: Duration = Duration::from_secs(1);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(6, dir.path()).await;
    let leaving = &site.endpoints[..2];
    for endpoint in leaving {
        endpoint.set_default_act(Some(Act::Leave));
    }
    let sending = send_all(&site, 65, LENGTH);
    let (outcomes, ()) = tokio::join!(sending, site.beat(LENGTH));
    let mut late = 0;
    let mut told_boxes = 0;
    for endpoint in leaving {
        let seen = endpoint.seen();
        for i in 0..BOXES {
            let number = i.to_string();
            let left = seen.iter().filter(|s| s.act == Some(Act::Leave));
            let mut of_box = left.filter(|s| s.header(BOX) == Some(number.as_str()));
            let Some(first) = of_box.next() else { continue };
            told_boxes += 1;
            late += of_box.filter(|s| s.at > first.at + MAX_IN_FLIGHT).count();
        }
    }
    // The other boxes learn of it through the voters, before they get such an answer themselves.
    let mut after_propagation = 0;
    for endpoint in leaving {
        let seen = endpoint.seen();
        let mut left = seen.iter().filter(|s| s.act == Some(Act::Leave));
        let Some(first) = left.next() else { continue };
        after_propagation += left.filter(|s| s.at > first.at + MAX_PROPAGATION).count();
    }
    let (served, sent) = (served(&outcomes), outcomes.len());
    let told = format!(
        "{told_boxes} boxes told, {late} late, {after_propagation} after all boxes had to know, \
         {served} of {sent} served"
    );
    println!("{told}");
    assert!(
        told_boxes > 0,
        "no endpoint answered that it leaves: {told}"
    );
    assert_eq!(late, 0, "{told}");
    assert_eq!(after_propagation, 0, "{told}");
    assert_eq!(served, sent, "{told}");
}

/// If all endpoints have asked a box for a backoff, a request waits if its deadline is after the
/// end of one. Otherwise it is refused at once, as not run and with the time until then. No
/// endpoint is sent a request meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_rest_requests_wait_or_are_refused_with_the_time() {
    const REST: Duration = Duration::from_secs(2);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(3, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.next(Act::Rest(REST));
    }
    let began = Instant::now();
    // Three attempts, one at each endpoint; after that the box knows of all backoffs.
    let first = site.send(0, "/safe/", 4000).await;
    let seen = || -> usize { site.endpoints.iter().map(|e| e.seen().len()).sum() };
    let before = seen();
    let (short, long) = tokio::join!(site.send(0, "/safe/", 800), site.send(0, "/safe/", 3900));
    println!("{first:?} {short:?} {long:?}");
    assert_eq!(short.status, 503, "{short:?}");
    assert_eq!(short.verdict.as_deref(), Some("not-run"), "{short:?}");
    assert!(short.took < Duration::from_millis(200), "{short:?}");
    // `Retry-After` is in whole seconds.
    let told = Duration::from_secs_f64(short.retry_after.unwrap());
    assert!(
        told >= Duration::from_secs(1) && told <= Duration::from_secs(3),
        "{short:?}"
    );
    assert!(long.is_served(), "{long:?}");
    assert!(began.elapsed() >= REST, "served during the rests: {long:?}");
    assert_eq!(
        seen(),
        before + 1,
        "an endpoint was sent a request during the rests"
    );
}

/// A backoff that can't be parsed excludes no endpoint permanently and stops no box.
#[tokio::test(flavor = "multi_thread")]
async fn rests_that_cannot_be_read_bar_nobody() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(2, dir.path()).await;
    for said in [
        "-3",
        "soon",
        "",
        "0",
        "NaN",
        "1e3",
        "Thu, 01 Jan 1970 00:00:00 GMT",
    ] {
        for endpoint in &site.endpoints {
            endpoint.next(Act::RestFor(said));
        }
        for _ in 0..2 {
            site.send(0, "/safe/", 2000).await;
        }
        site.endpoints.iter().for_each(Endpoint::answer_correctly);
        let outcome = site.send(0, "/safe/", 2000).await;
        assert!(outcome.is_served(), "after {said:?}: {outcome:?}");
    }
}

fn read(values: &[&str], date: Option<&str>) -> backoff::Parsed {
    /// The local time of day, which differs from the endpoint's.
    const HERE_MS: u64 = 1_000_000;
    backoff::parse(values.iter().copied(), date, HERE_MS)
}

#[test]
fn a_rest_is_read_in_all_its_forms() {
    use backoff::Parsed::{Absent, For, Invalid};
    let millis = |ms| For(Duration::from_millis(ms));
    assert_eq!(read(&[], None), Absent);
    assert_eq!(read(&["0"], None), Absent);
    assert_eq!(read(&[" 3 "], None), millis(3000));
    assert_eq!(read(&["0.25"], None), millis(250));
    for unreadable in ["-1", "", "+3", "inf", "NaN", "1e3", "3s", ".", "3,soon"] {
        assert_eq!(read(&[unreadable], None), Invalid, "{unreadable}");
    }
    // If the header is repeated, or its values are joined by a proxy, the longest backoff counts.
    assert_eq!(read(&["2", "5"], None), millis(5000));
    assert_eq!(read(&["soon", "5"], None), millis(5000));
    assert_eq!(read(&["5", "soon"], None), millis(5000));
    assert_eq!(read(&["2, 5"], None), millis(5000));
    // Very long backoffs are capped.
    assert_eq!(read(&["31536000"], None), For(backoff::MAX_BACKOFF));
    assert_eq!(
        read(&["9".repeat(400).as_str()], None),
        For(backoff::MAX_BACKOFF)
    );
    // A date is relative to the answer's own `Date`, whatever the local time is.
    let (sent, until) = (
        "Sun, 06 Nov 1994 08:49:37 GMT",
        "Sun, 06 Nov 1994 08:49:41 GMT",
    );
    assert_eq!(read(&[until], Some(sent)), millis(4000));
    assert_eq!(read(&[sent], Some(until)), Absent);
    assert_eq!(read(&["Thu, 01 Jan 1970 00:16:45 GMT"], None), millis(5000));
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

#[test]
fn a_rest_belongs_to_a_start_and_the_later_end_holds() {
    let second = Duration::from_secs;
    let (endpoint, service) = (name("i-1"), name("lm"));
    let start = |number| Some(unit::Incarnation(number));
    let mut book = backoff::Book::new(name("e1"));
    book.record(&endpoint, &service, start(1), second(10), second(0));
    book.record(&endpoint, &service, start(1), second(1), second(1));
    assert!(book.remaining(&endpoint, start(1), second(9)) >= Some(second(1)));
    // The backoff is extended by a time that differs between boxes; otherwise boxes that were told
    // together would return together.
    assert!(book.remaining(&endpoint, start(1), second(11)).is_none());
    assert!(book.remaining(&endpoint, start(2), second(7)).is_none());
    book.record(&endpoint, &service, start(2), second(4), second(5));
    assert!(book.remaining(&endpoint, start(2), second(8)).is_some());
    // A late answer of the earlier start.
    book.record(&endpoint, &service, start(1), second(100), second(6));
    assert!(book.remaining(&endpoint, start(2), second(12)).is_none());
}

#[test]
fn a_dispatcher_hears_of_each_rest_once_and_again_after_it_chose_in_vain() {
    let second = Duration::from_secs;
    let service: name::Service = name("lm");
    let (here, other): (name::Box, name::Box) = (name("e1"), name("e2"));
    let mut book = backoff::Book::new(here.clone());
    let endpoint: name::Endpoint = name("i-1");
    book.record(&endpoint, &service, None, second(10), second(0));
    let told = |book: &mut backoff::Book, to, in_vain: Option<&name::Endpoint>| {
        book.updates(to, &service, in_vain, second(1)).len()
    };
    assert_eq!(told(&mut book, &other, None), 1);
    assert_eq!(told(&mut book, &other, None), 0);
    assert_eq!(told(&mut book, &other, Some(&endpoint)), 1);
    assert_eq!(told(&mut book, &here, None), 1);
    book.reset_dispatcher(&other, &service);
    assert_eq!(told(&mut book, &other, None), 1);
    assert!(book
        .updates(&other, &name("another"), None, second(1))
        .is_empty());
    book.record(&endpoint, &service, None, second(20), second(2));
    assert_eq!(told(&mut book, &other, None), 1);
}

/// Streams, complete answers and plain calls of the native interface, through two boxes of which
/// one dispatches for both, and health and load checks: all respect a backoff that any of them was
/// told.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_of_the_own_interface_get_the_rest_that_they_ask_for() {
    const REST_MS: u64 = 3000;
    const ROUNDS: usize = 120;
    let dir = tempfile::tempdir().unwrap();
    let plan = deploy::Plan {
        boxes: vec![2],
        engines: 3,
        replicas: 3,
        ..deploy::Plan::default()
    };
    let deployment = deploy::Deployment::start(plan, dir.path()).await;
    // The first endpoint with a model, and the first plain one.
    let first = |model| deployment.standins.iter().position(|s| s.model == model);
    let resting = [first(true).unwrap(), first(false).unwrap()];
    for i in resting {
        let faults = serde_json::json!({ "rest_ms": REST_MS });
        deployment.faults(i, faults).await;
    }
    let mut sent = Vec::new();
    for round in 0..ROUNDS {
        let (i, number) = (round % 2, round / 2);
        let callers = deployment.entries[i].callers;
        let text = format!("from box {i}, {number}");
        let chat = |stream| client::chat(deploy::MODEL, &text, stream);
        let (path, body) = match number % 3 {
            0 => ("/v1/chat/completions", chat(true)),
            1 => ("/v1/chat/completions", chat(false)),
            _ => ("/services/stock/look", text.clone()),
        };
        sent.push(tokio::spawn(async move {
            let bearer = client::bearer(deploy::TEAM);
            let headers = [("authorization", bearer.as_str())];
            let answer = client::ask(callers, "POST", path, &headers, body).await;
            answer.map(|answer| answer.status).unwrap_or_default()
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut served = 0;
    for task in sent {
        served += usize::from(task.await.unwrap() == 200);
    }
    let sender = |path: &str, body: &str| match path {
        "/health" | "/load" => path.to_owned(),
        _ => ["from box 0", "from box 1"]
            .into_iter()
            .find(|name| body.contains(name))
            .unwrap_or_default()
            .to_owned(),
    };
    for i in resting {
        let (rests, most) = deploy::rests(&deployment.standins[i], sender).await;
        println!("{rests} rests, at most {most} requests in one, {served} of {ROUNDS} served");
        assert!(rests > 0, "no endpoint rested");
        assert!(most <= MAX_DURING_REST, "{most} requests in a rest");
    }
    assert_eq!(served, ROUNDS);
}

/// Operators see which endpoints asked which box for a backoff, and why a request was refused.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see_who_rests_from_whom() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = routed::serving(1, dir.path()).await;
    endpoints[0].next(Act::Rest(Duration::from_secs(20)));
    assert_eq!(
        system
            .call("POST", "/unsafe/", "turned-away")
            .await
            .unwrap()
            .status,
        503
    );
    let operator = system.operator();
    deploy::wait("the rest is shown", || async {
        let status = operator.status().await.unwrap();
        let rests = status.boxes.iter().flat_map(|one| &one.heartbeat.backoffs);
        rests
            .into_iter()
            .any(|(name, left)| name.as_str() == "i-0" && *left > 10_000)
    })
    .await;
    let log = std::fs::read_to_string(dir.path().join("e1.log")).unwrap();
    let lines = scalewood::ops::explain::explain("turned-away", log.lines());
    let says = |what: &str| lines.iter().any(|line| line.text.contains(what));
    assert!(
        says("i-0, which wants nothing from this box for 2"),
        "{lines:?}"
    );
}

/// An endpoint's own 429 answer to one caller is passed on to that caller and affects no other.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_one_caller_that_asks_too_often_bars_nobody() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(1, dir.path()).await;
    site.endpoints[0].next(Act::Limit);
    let limited = site.send(0, "/unsafe/", 2000).await;
    assert_eq!(
        (limited.status, limited.retry_after),
        (429, Some(60.0)),
        "{limited:?}"
    );
    let other = site.send(0, "/unsafe/", 2000).await;
    assert!(other.is_served(), "{other:?}");
}

/// Guards against a backoff that is attributed to an earlier start of the endpoint. A box that has
/// just started knows an endpoint only by its previous start, which a voter remembers. The current
/// start asks for a backoff in an answer, and its first heartbeat arrives half a second later. If
/// the backoff counts for the previous start only, 17 requests reach the endpoint during its
/// backoff.
#[test]
fn a_rest_holds_for_a_start_that_is_heard_of_after_the_answer() {
    let millis = Duration::from_millis;
    let (endpoint, service) = (name("i-2"), name("lm"));
    let start = |number| Some(unit::Incarnation(number));
    let mut book = backoff::Book::new(name("e1"));
    book.record(&endpoint, &service, start(5), millis(1109), millis(0));
    assert!(book.remaining(&endpoint, start(6), millis(500)).is_some());
    assert!(book.remaining(&endpoint, start(6), millis(2000)).is_none());
    // A start that becomes known long afterwards began after the answer and has asked for no
    // backoff.
    book.record(&endpoint, &service, start(6), millis(60_000), millis(3000));
    assert!(book.remaining(&endpoint, start(7), millis(7900)).is_some());
    assert!(book.remaining(&endpoint, start(7), millis(8100)).is_none());
    assert!(book
        .remaining(&endpoint, start(6), millis(30_000))
        .is_some());
}
