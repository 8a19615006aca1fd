//! Endpoints that turn requests away and ask for rest, with real processes.

use std::time::{Duration, Instant};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use scalewood::core::{backoff, name, registry::State, unit};

use crate::support::{
    client, deploy,
    routed::{self, Act, Endpoint, System, BOX, HOST, KEY},
};

/// Entry boxes.
const BOXES: usize = 3;
/// How often endpoints announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The most requests of a box that may reach an endpoint within its rest.
const MOST: usize = 2;

/// A system with some boxes and endpoints.
struct Site {
    system: System,
    /// Kept until the end.
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

    /// Has all endpoints say that they are ready, for so long.
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

/// What became of a request.
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

/// Sends requests to boxes at random, so many a second, for so long.
async fn send_all(site: &Site, a_second: u32, length: Duration) -> Vec<Outcome> {
    const PATHS: [&str; 4] = ["/safe/", "/unsafe/", "/stream/", "/sresume/"];
    let mut random = SmallRng::seed_from_u64(1);
    let until = Instant::now() + length;
    let mut sent = Vec::new();
    while Instant::now() < until {
        let i = random.random_range(0..BOXES);
        let callers = site.system.callers_at(i);
        let path = PATHS[random.random_range(0..PATHS.len())];
        sent.push(tokio::spawn(send(callers, i, path, 4000)));
        tokio::time::sleep(Duration::from_secs(1) / a_second).await;
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

/// Three of nine endpoints of one service turned away all that they got, for eight seconds, and
/// said with each answer for how long they wanted no more: three seconds. They got as much as
/// before, up to seven requests from one box in one rest, and over a tenth of the requests of one
/// kind were refused though the six other endpoints had room for all.
///
/// No box read what they asked for, and a refusal changed nothing that was known of an endpoint.
/// One that turns all away has no runs, so it looked as good as any, also to the next try of the
/// request that it had just turned away.
///
/// What proved it: with the rest in the log (event 3216 and `rest_ms` of 3312) the sends within a
/// rest are first, second and third tries alike, at each box. Retries alone don't bring it about.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_ask_for_rest_get_it_and_the_others_serve_all() {
    const LENGTH: Duration = Duration::from_secs(12);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(9, dir.path()).await;
    // Boxes prefer other endpoints each; so that all meet it, each third does it in turn.
    let turns = async {
        for third in site.endpoints.chunks(3) {
            let act = Some(Act::Rest(Duration::from_secs(3)));
            third.iter().for_each(|endpoint| endpoint.always(act));
            tokio::time::sleep(LENGTH / 3).await;
            third.iter().for_each(|endpoint| endpoint.always(None));
        }
    };
    let sending = send_all(&site, 65, LENGTH);
    let (outcomes, (), ()) = tokio::join!(sending, turns, site.beat(LENGTH));
    let (rests, most) = routed::rests(&site.endpoints);
    let (served, sent) = (served(&outcomes), outcomes.len());
    let told = format!("{rests} rests, at most {most} within one, {served} of {sent} served");
    println!("{told}");
    assert!(rests >= BOXES, "nothing was brought about: {told}");
    assert!(most <= MOST, "{told}");
    // Each box learns it by one try at each of three endpoints, and each request has three tries.
    assert!(served * 100 >= sent * 99, "{told}");
}

/// Endpoints that leave say so in each answer before any registry has heard of it. A box that has
/// passed on such an answer sends them nothing more, though their heartbeats still say that they
/// are ready: these may be from before. What runs there is finished.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_say_in_an_answer_that_they_leave_get_no_more() {
    const LENGTH: Duration = Duration::from_secs(6);
    /// Requests that were under way when the first answer came.
    const UNDER_WAY: Duration = Duration::from_millis(500);
    /// How long word to all boxes may take: an exchange of loads and the voters' news.
    const WORD: Duration = Duration::from_secs(1);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(6, dir.path()).await;
    let leaving = &site.endpoints[..2];
    for endpoint in leaving {
        endpoint.always(Some(Act::Leave));
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
            late += of_box.filter(|s| s.at > first.at + UNDER_WAY).count();
        }
    }
    // The other boxes hear it by way of the voters, before they ask by themselves.
    let mut unheard = 0;
    for endpoint in leaving {
        let seen = endpoint.seen();
        let mut left = seen.iter().filter(|s| s.act == Some(Act::Leave));
        let Some(first) = left.next() else { continue };
        unheard += left.filter(|s| s.at > first.at + WORD).count();
    }
    let (served, sent) = (served(&outcomes), outcomes.len());
    let told = format!(
        "{told_boxes} told, {late} late, {unheard} from boxes that had not heard, \
         {served} of {sent} served"
    );
    println!("{told}");
    assert!(told_boxes > 0, "nothing was brought about: {told}");
    assert_eq!(late, 0, "{told}");
    assert_eq!(unheard, 0, "{told}");
    assert_eq!(served, sent, "{told}");
}

/// Where all endpoints rest from a box, a request waits if its caller does until one has ended its
/// rest; else it is refused at once, truly, with the time until then. Nothing is asked meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn where_all_endpoints_rest_requests_wait_or_are_refused_with_the_time() {
    const REST: Duration = Duration::from_secs(2);
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(3, dir.path()).await;
    for endpoint in &site.endpoints {
        endpoint.next(Act::Rest(REST));
    }
    let began = Instant::now();
    // Three tries, one at each; the box knows of all rests then.
    let first = site.send(0, "/safe/", 4000).await;
    let seen = || -> usize { site.endpoints.iter().map(|e| e.seen().len()).sum() };
    let before = seen();
    let (short, long) = tokio::join!(site.send(0, "/safe/", 800), site.send(0, "/safe/", 3900));
    println!("{first:?} {short:?} {long:?}");
    assert_eq!(short.status, 503, "{short:?}");
    assert_eq!(short.verdict.as_deref(), Some("not-run"), "{short:?}");
    assert!(short.took < Duration::from_millis(200), "{short:?}");
    // In whole seconds, which callers of this interface read.
    let told = Duration::from_secs_f64(short.retry_after.unwrap());
    assert!(
        told >= Duration::from_secs(1) && told <= Duration::from_secs(3),
        "{short:?}"
    );
    assert!(long.is_served(), "{long:?}");
    assert!(began.elapsed() >= REST, "served within the rests: {long:?}");
    assert_eq!(seen(), before + 1, "something was asked within the rests");
}

/// What is said of rest in ways that nobody can follow bars no endpoint for good, and stops no box.
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
        site.endpoints.iter().for_each(Endpoint::calm);
        let outcome = site.send(0, "/safe/", 2000).await;
        assert!(outcome.is_served(), "after {said:?}: {outcome:?}");
    }
}

fn read(values: &[&str], date: Option<&str>) -> backoff::Parsed {
    /// Some time of day here, which is off.
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
    // Twice, or joined on the way: the longer one.
    assert_eq!(read(&["2", "5"], None), millis(5000));
    assert_eq!(read(&["soon", "5"], None), millis(5000));
    assert_eq!(read(&["5", "soon"], None), millis(5000));
    assert_eq!(read(&["2, 5"], None), millis(5000));
    // Absurd ones are cut.
    assert_eq!(read(&["31536000"], None), For(backoff::MAX_BACKOFF));
    assert_eq!(
        read(&["9".repeat(400).as_str()], None),
        For(backoff::MAX_BACKOFF)
    );
    // A date counts from the answer's own, whatever the time of day is here.
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
    // It stays away a little longer, as boxes that hear it together would else return together.
    assert!(book.remaining(&endpoint, start(1), second(11)).is_none());
    assert!(book.remaining(&endpoint, start(2), second(7)).is_none());
    book.record(&endpoint, &service, start(2), second(4), second(5));
    assert!(book.remaining(&endpoint, start(2), second(8)).is_some());
    // An answer of the start before comes late.
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

/// Streams, whole answers and plain calls of the product's own interface, behind two boxes of which
/// one dispatches for both, and the questions how endpoints do: each goes by what any of them heard.
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
    // The first of the models and of the plain endpoints.
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
        println!("{rests} rests, at most {most} within one, {served} of {ROUNDS} served");
        assert!(rests > 0, "nothing was brought about");
        assert!(most <= MOST, "{most} within a rest");
    }
    assert_eq!(served, ROUNDS);
}

/// Operators see which endpoints rest from which box, and why a request was turned away.
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
        let rests = status.boxes.iter().flat_map(|one| &one.beat.rests);
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

/// An endpoint's own answer to one caller that asks too often is that caller's, and bars nobody.
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

/// A box had just started and knew an endpoint by its start before the last one, as a voter remembered
/// it. The last one asked for rest in an answer; half a second later its heartbeat came, and 17
/// requests reached it within its rest, since that was taken for the earlier start's.
#[test]
fn a_rest_holds_for_a_start_that_is_heard_of_after_the_answer() {
    let millis = Duration::from_millis;
    let (endpoint, service) = (name("i-2"), name("lm"));
    let start = |number| Some(unit::Incarnation(number));
    let mut book = backoff::Book::new(name("e1"));
    book.record(&endpoint, &service, start(5), millis(1109), millis(0));
    assert!(book.remaining(&endpoint, start(6), millis(500)).is_some());
    assert!(book.remaining(&endpoint, start(6), millis(2000)).is_none());
    // One that is heard of long after has begun after it, and has asked for nothing.
    book.record(&endpoint, &service, start(6), millis(60_000), millis(3000));
    assert!(book.remaining(&endpoint, start(7), millis(7900)).is_some());
    assert!(book.remaining(&endpoint, start(7), millis(8100)).is_none());
    assert!(book
        .remaining(&endpoint, start(6), millis(30_000))
        .is_some());
}
