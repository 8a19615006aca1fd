//! Requests that end the endpoints that run them, with real processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::wire::admin;

use crate::support::{
    client,
    crashing::{self, Seen},
    deploy,
    routed::{routing, text, System, HOST, KEY},
};

/// Entry boxes.
const BOXES: usize = 3;
/// How long after a third end word of it may be on its way.
const WORD: Duration = Duration::from_secs(3);
/// The most arrivals after that, over all boxes.
const MOST_LATE: usize = 3;

/// A system whose endpoints end under some requests.
struct Site {
    system: System,
    boxes: Vec<Option<deploy::Process>>,
    endpoints: Vec<tokio::task::JoinHandle<()>>,
    seen: Seen,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.endpoints.iter().for_each(|task| task.abort());
    }
}

impl Site {
    async fn start(voters: usize, endpoints: u16, away: Duration, dir: &std::path::Path) -> Self {
        let mut system = System::start(voters, dir);
        assert_eq!(system.publish(&text(&routing(7))).await, 200);
        let seen = Seen::default();
        let plan = crashing::Plan {
            host: system.host,
            port: 9000,
            voters: (0..voters).map(|i| system.publish_address(i)).collect(),
            away,
            seen: seen.clone(),
        };
        let keep = |number| tokio::spawn(crashing::keep(plan.clone(), number));
        let endpoints = (0..endpoints).map(keep).collect();
        let mut boxes = vec![system.entry.take()];
        boxes.extend((1..BOXES).map(|i| Some(system.start_entry_at(i))));
        let site = Self {
            system,
            boxes,
            endpoints,
            seen,
        };
        for i in 0..BOXES {
            site.wait_serving(i).await;
        }
        site
    }

    async fn wait_serving(&self, i: usize) {
        deploy::wait("a box serves", || async {
            self.send(i, "/safe/wait", "wait").await == Some(200)
        })
        .await;
    }

    /// Sends the request that ends endpoints to the boxes by turns, ten times a second for so long.
    fn keep_sending(&self, length: Duration) -> tokio::task::JoinHandle<()> {
        let boxes: Vec<_> = (0..BOXES).map(|i| self.system.callers_at(i)).collect();
        let until = Instant::now() + length;
        tokio::spawn(async move {
            let mut round = 0;
            while Instant::now() < until {
                let callers = boxes[round % BOXES];
                tokio::spawn(async move { send(callers, "/sresume/crash", "crash always").await });
                round += 1;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        })
    }

    /// Sends a request to a box; the status of the answer, if it came whole.
    async fn send(&self, i: usize, path: &str, body: &str) -> Option<u16> {
        send(self.system.callers_at(i), path, body).await
    }
}

async fn send(callers: std::net::SocketAddr, path: &str, body: &str) -> Option<u16> {
    let bearer = format!("Bearer {KEY}");
    let id = format!("{:016x}", rand::random::<u64>());
    let headers = [
        ("authorization", bearer.as_str()),
        ("scalewood-id", id.as_str()),
        ("scalewood-deadline-ms", "4000"),
    ];
    let exchange = async {
        let mut connection = client::Connection::open(callers).await.ok()?;
        let response = connection
            .send_to(HOST, "POST", path, &headers, body.to_owned())
            .await;
        let (parts, body) = response.ok()?.into_parts();
        body.collect().await.ok()?;
        Some(parts.status.as_u16())
    };
    let within = Duration::from_secs(6);
    tokio::time::timeout(within, exchange).await.ok().flatten()
}

/// Harmless requests: by turns to these paths, so many a second.
#[derive(Clone, Copy)]
struct Load {
    paths: &'static [&'static str],
    a_second: u32,
}

/// Sends harmless requests, each with a body of its own; how many were answered whole, of how
/// many.
async fn send_harmless(
    boxes: Vec<std::net::SocketAddr>,
    load: Load,
    until: Instant,
) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut sent = Vec::new();
    while Instant::now() < until {
        let callers = boxes[rng.random_range(0..boxes.len())];
        let number = sent.len();
        sent.push(tokio::spawn(async move {
            let path = load.paths[number % load.paths.len()];
            send(callers, path, &format!("harmless {number}")).await
        }));
        tokio::time::sleep(Duration::from_secs(1) / load.a_second).await;
    }
    let mut served = 0;
    let count = sent.len();
    for task in sent {
        served += usize::from(task.await.unwrap() == Some(200));
    }
    (served, count)
}

/// The fingerprints that stand in the boxes' logs under the ends of so many endpoints.
fn under_ends(dir: &std::path::Path, least: usize) -> Vec<String> {
    let mut ends: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for i in 1..=BOXES {
        let log = std::fs::read_to_string(dir.join(format!("e{i}.log"))).unwrap();
        let lines = log.lines().filter(|line| line.contains("\"event\":3210"));
        for line in lines {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            let text = |key: &str| line[key].as_str().unwrap().to_owned();
            let endpoints = ends.entry(text("fingerprint")).or_default();
            endpoints.insert(text("endpoint"));
        }
    }
    let ends = ends.into_iter();
    let found = ends.filter(|(_, endpoints)| endpoints.len() >= least);
    found.map(|(fingerprint, _)| fingerprint).collect()
}

/// The fingerprints that any box holds back, by its log.
fn held_back(dir: &std::path::Path) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for i in 1..=BOXES {
        let log = std::fs::read_to_string(dir.join(format!("e{i}.log"))).unwrap();
        let lines = log.lines().filter(|line| line.contains("\"event\":3314"));
        for line in lines {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            all.insert(line["fingerprint"].as_str().unwrap().to_owned());
        }
    }
    all
}

/// Endpoints of one service ended in groups, some hundred milliseconds apart, while nothing else
/// was disturbed: thirty-five within twenty seconds, of nine. Each came back after some seconds, and
/// what it had run broke off, at all boxes.
///
/// A single request did it. Its caller sent it again each second or so, to any box, and each
/// endpoint that began it ended. Each box tried it at two endpoints, forgot it with its own
/// attempt, and blamed the endpoints alone; the next box knew nothing of it.
///
/// What proved it: with a fingerprint of path, caller and body in the log (event 3210) the same
/// one stands under the end of each endpoint, in the logs of all boxes, and no other one under
/// three ends or more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_endpoints_is_held_back_by_all_boxes() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(3, 12, Duration::from_secs(2), dir.path()).await;
    let callers: Vec<_> = (0..BOXES).map(|i| site.system.callers_at(i)).collect();
    let until = Instant::now() + Duration::from_secs(20);
    let load = Load {
        paths: &["/safe/h", "/sresume/h"],
        a_second: 20,
    };
    let harmless = tokio::spawn(send_harmless(callers.clone(), load, until));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sent = Vec::new();
    while Instant::now() < until {
        let callers = callers[rng.random_range(0..BOXES)];
        sent.push(tokio::spawn(async move {
            send(callers, "/sresume/crash", "crash always").await
        }));
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    for task in sent {
        assert_ne!(task.await.unwrap(), Some(200));
    }
    let (served, count) = harmless.await.unwrap();
    let arrivals = site.seen.arrivals("crash always").len();
    let late = site.seen.late_arrivals("crash always", WORD);
    let ended = site.seen.ended("crash always");
    let told = format!(
        "{arrivals} arrivals, {late} of them late, {ended} endpoints ended, \
         {served} of {count} harmless requests served"
    );
    println!("{told}");
    assert!(ended >= 3, "nothing was brought about: {told}");
    assert_eq!(under_ends(dir.path(), 3).len(), 1, "{told}");
    assert!(late <= MOST_LATE, "{told}");
    assert!(served * 100 >= count * 99, "{told}");
}

/// Where endpoints are busy, dozens of harmless requests break with each end, are tried again side
/// by side with the one that ends them, and may break once more. They are not taken for it.
#[tokio::test(flavor = "multi_thread")]
async fn harmless_requests_that_break_with_it_again_and_again_are_not_held_back() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(1, 9, Duration::from_secs(3), dir.path()).await;
    let callers: Vec<_> = (0..BOXES).map(|i| site.system.callers_at(i)).collect();
    let until = Instant::now() + Duration::from_secs(12);
    let load = Load {
        paths: &["/sresume/long"],
        a_second: 50,
    };
    let harmless = tokio::spawn(send_harmless(callers.clone(), load, until));
    let mut rng = SmallRng::seed_from_u64(2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut sent = Vec::new();
    while Instant::now() < until {
        let callers = callers[rng.random_range(0..BOXES)];
        sent.push(tokio::spawn(async move {
            send(callers, "/sresume/crash", "crash always").await
        }));
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    for task in sent {
        assert_ne!(task.await.unwrap(), Some(200));
    }
    let (served, count) = harmless.await.unwrap();
    let ended = site.seen.ended("crash always");
    let told = format!("{ended} endpoints ended, {served} of {count} harmless requests served");
    println!("{told}");
    assert_eq!(ended, 3, "{told}");
    assert_eq!(held_back(dir.path()).len(), 1, "{told}");
}

/// Models and plain services of the product's own interface, behind two boxes of which one
/// dispatches each service: the other one has to hear of it too.
#[tokio::test(flavor = "multi_thread")]
async fn models_and_plain_calls_that_end_their_endpoints_are_held_back_too() {
    const ROUNDS: usize = 16;
    let dir = tempfile::tempdir().unwrap();
    let plan = deploy::Plan {
        boxes: vec![2],
        engines: 4,
        replicas: 4,
        ..deploy::Plan::default()
    };
    let mut deployment = deploy::Deployment::start(plan, dir.path()).await;
    for (path, body) in [
        (
            "/v1/chat/completions",
            client::chat(deploy::MODEL, "end the endpoint", true),
        ),
        (
            "/v1/chat/completions",
            client::chat(deploy::MODEL, "end the endpoint len=3", false),
        ),
        ("/services/stock/look", "end the endpoint".to_owned()),
    ] {
        let mut ended = 0;
        let mut last = None;
        for round in 0..ROUNDS {
            let callers = deployment.entries[round % 2].callers;
            let bearer = client::bearer(deploy::TEAM);
            let headers = [("authorization", bearer.as_str())];
            let answer = client::ask(callers, "POST", path, &headers, body.clone()).await;
            last = answer.ok().map(|answer| (answer.status, answer.json()));
            tokio::time::sleep(Duration::from_millis(300)).await;
            ended += restart_ended(&mut deployment);
        }
        assert!((3..=6).contains(&ended), "{path}: {ended} endpoints ended");
        let (status, told) = last.unwrap();
        assert_eq!(status, 429, "{path}: {told}");
        assert_eq!(told["error"]["code"], "ends-endpoints");
        assert_eq!(told["error"]["verdict"], "not-run");
    }
    deployment.wait_ready().await;
    let operator = deployment.operator();
    let held_back = operator.held_back().await.unwrap().held_back;
    assert_eq!(held_back.len(), 3, "{held_back:?}");
    for request in held_back {
        assert!(request.ends.len() >= 3, "{request:?}");
        let pardon = admin::Pardon {
            fingerprint: request.fingerprint,
            why: "a test".into(),
        };
        operator.pardon(&pardon).await.unwrap();
        let again = operator.pardon(&pardon).await;
        assert!(again.is_err(), "nothing is left to be pardoned");
    }
    assert!(operator.held_back().await.unwrap().held_back.is_empty());
    // Each box sends it again once it has heard.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let callers = deployment.entries[1].callers;
    let bearer = client::bearer(deploy::TEAM);
    let headers = [("authorization", bearer.as_str())];
    let body = "end the endpoint";
    let answer = client::ask(callers, "POST", "/services/stock/look", &headers, body).await;
    assert_ne!(answer.unwrap().status, 429);
    assert!(restart_ended(&mut deployment) > 0);
}

/// Starts the stand-ins again that have ended; how many.
fn restart_ended(deployment: &mut deploy::Deployment) -> usize {
    let mut ended = 0;
    for i in 0..deployment.standins.len() {
        let process = deployment.standins[i].process.as_mut().unwrap();
        if !process.is_running() {
            deployment.start_standin(i);
            ended += 1;
        }
    }
    ended
}

/// While a request keeps coming, boxes are killed and started, a voter is killed and comes back,
/// another one is frozen, and a box is frozen across the ends. A box that has just started knows
/// before it says that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn it_stays_held_back_while_boxes_and_voters_come_and_go() {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(3, 9, Duration::from_secs(1), dir.path()).await;
    let keeps_coming = site.keep_sending(Duration::from_secs(16));
    let pause = |millis| tokio::time::sleep(Duration::from_millis(millis));
    site.boxes[2].as_ref().unwrap().signal("STOP");
    pause(2000).await;
    site.boxes[2].as_ref().unwrap().signal("CONT");
    for i in 0..BOXES {
        site.boxes[i].take().unwrap().kill();
        site.boxes[i] = Some(site.system.start_entry_at(i));
        pause(800).await;
    }
    site.system.voters[1].as_ref().unwrap().signal("STOP");
    site.system.voters[0].take().unwrap().kill();
    pause(500).await;
    site.system.start_voter(0, false);
    site.system.voters[1].as_ref().unwrap().signal("CONT");
    pause(1500).await;
    // All boxes at once: the voters remember.
    for i in 0..BOXES {
        site.boxes[i].take().unwrap().kill();
    }
    for i in 0..BOXES {
        site.boxes[i] = Some(site.system.start_entry_at(i));
    }
    pause(2000).await;
    // All voters at once: the boxes remember.
    for i in 0..3 {
        site.system.voters[i].take().unwrap().kill();
    }
    for i in 0..3 {
        site.system.start_voter(i, false);
    }
    pause(3000).await;
    site.boxes[1].take().unwrap().kill();
    site.boxes[1] = Some(site.system.start_entry_at(1));
    keeps_coming.await.unwrap();
    let late = site.seen.late_arrivals("crash always", WORD);
    let ended = site.seen.ended("crash always");
    println!("{ended} endpoints ended, {late} late arrivals");
    assert!(ended >= 3, "{ended}");
    assert!(late <= MOST_LATE, "{late} late arrivals, {ended} ended");
}

/// All boxes and voters are lost at the same moment while a request keeps coming that is held
/// back. It is known afterwards: voters keep it beside their journal.
#[tokio::test(flavor = "multi_thread")]
async fn it_stays_held_back_when_all_boxes_and_voters_are_lost_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(3, 9, Duration::from_secs(1), dir.path()).await;
    let keeps_coming = site.keep_sending(Duration::from_secs(14));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = site.seen.ended("crash always");
    for i in 0..3 {
        site.boxes[i].take().unwrap().kill();
        site.system.voters[i].take().unwrap().kill();
    }
    for i in 0..3 {
        site.system.start_voter(i, false);
        site.boxes[i] = Some(site.system.start_entry_at(i));
    }
    keeps_coming.await.unwrap();
    let late = site.seen.late_arrivals("crash always", WORD);
    let ended = site.seen.ended("crash always");
    println!("{before} endpoints ended before, {ended} in all, {late} late arrivals");
    assert!(before >= 3, "{before}");
    assert!(late <= MOST_LATE, "{late} late arrivals, {ended} ended");
}

/// A request ended endpoints behind a box that had been asked to stop, and one endpoint too many
/// behind the next box: the first one was gone before it had told of its ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_that_stops_tells_of_its_last_ends() {
    const ROUNDS: usize = 8;
    /// Into a stop: the box takes requests, and waits only for those that run soon after.
    const STOPPING: Duration = Duration::from_millis(120);
    /// As long as word takes from a box by its voter to another voter's boxes, and some more.
    const HEARD: Duration = Duration::from_secs(1);
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(3, 9, Duration::from_millis(500), dir.path()).await;
    let mut brought_about = 0;
    for round in 0..ROUNDS {
        let body = format!("crash {round}");
        let stopping = site.boxes[0].take().unwrap();
        let stopped = tokio::task::spawn_blocking(move || stopping.stop(Duration::from_secs(10)));
        tokio::time::sleep(STOPPING).await;
        assert_ne!(site.send(0, "/sresume/crash", &body).await, Some(200));
        assert!(stopped.await.unwrap(), "the box did not stop cleanly");
        brought_about += usize::from(site.seen.ended(&body) > 0);
        site.boxes[0] = Some(site.system.start_entry_at(0));
        site.wait_serving(0).await;
        // The next box hears of each end, and stops after the third one.
        tokio::time::sleep(HEARD).await;
        assert_ne!(site.send(1, "/sresume/crash", &body).await, Some(200));
        assert_eq!(site.seen.ended(&body), 3, "round {round}");
    }
    assert!(
        brought_about > 0,
        "the box took no request while it stopped"
    );
}
