//! Streams of a service whose endpoints run several builds, with real processes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    name,
    registry::State,
    route::{Service, Share},
};

use crate::{
    reach,
    support::{
        client, deploy,
        routed::{routing, text, Act, Endpoint, Script, System},
        streams::{attempt, call_all, receive, script, Results, Stream, Tally},
        streams::{DEADLINE, EVENTS, PAUSE},
    },
};

const VOTERS: usize = 3;
const BOXES: usize = 4;
const ENDPOINTS: usize = 6;
/// The interval between two new streams.
const PERIOD: Duration = Duration::from_millis(50);
/// The same where streams use most slots of all endpoints.
const BUSY_PERIOD: Duration = Duration::from_millis(20);
/// How long new streams begin.
const LENGTH: Duration = Duration::from_secs(7);
/// The interval between two heartbeats of an endpoint.
const HEARTBEAT: Duration = Duration::from_millis(700);
/// The interval between two restarts of boxes.
const RESTART_PERIOD: Duration = Duration::from_millis(1600);
/// The fraction of the streams that endpoints break off.
const BROKEN_FRACTION: f64 = 0.3;
/// The longest median time to a first event: the pause before it and less than a box waits for an answer of
/// a voter.
const MAX_MEDIAN_FIRST_EVENT: Duration = Duration::from_millis(200);
/// How often streams that callers take up must go on while boxes are killed one by one, relative to how
/// often new ones begin.
const MIN_TAKEN_UP_FRACTION: f64 = 0.95;
/// The same where links are lost or most boxes are killed at once.
const MIN_FRACTION: f64 = 0.5;

/// What happens while streams run.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// A voter is stopped, so that it answers nothing while its connections stay.
    stops_voter: bool,
    /// Endpoints break streams off.
    breaks: bool,
    /// This number of boxes at a time are killed and start again.
    kills: usize,
}

/// A running system with endpoints of several builds.
struct Site {
    system: System,
    boxes: Vec<Option<deploy::Process>>,
    endpoints: Vec<Endpoint>,
}

impl Site {
    /// Starts a system whose endpoints have these builds in turn.
    async fn start(builds: &[&str], dir: &std::path::Path) -> Self {
        let mut system = System::start(VOTERS, dir);
        system.entry = None;
        assert_eq!(system.publish(&text(&routing(7))).await, 200);
        let mut endpoints = Vec::new();
        for i in 0..ENDPOINTS {
            let port = 9000 + u16::try_from(i).unwrap();
            let address = SocketAddr::new(system.host, port);
            let endpoint = Endpoint::start(&format!("i-{i}"), address).await;
            endpoint.set_script(script(builds[i % builds.len()]));
            endpoints.push(endpoint);
        }
        let boxes = (0..BOXES).map(|i| Some(system.start_entry_at(i))).collect();
        let site = Self {
            system,
            boxes,
            endpoints,
        };
        beat(&site.system, &site.endpoints, 1).await;
        for i in 0..BOXES {
            deploy::wait("a box serves", || async {
                let mut tally = Tally::default();
                let stream = attempt(site.system.callers_at(i), None, &mut tally).await;
                stream.is_some_and(|stream| stream.is_whole())
            })
            .await;
        }
        site
    }
}

/// Sends one heartbeat of each endpoint.
async fn beat(system: &System, endpoints: &[Endpoint], sequence: u64) {
    for endpoint in endpoints {
        system
            .announce(0, &endpoint.record(sequence, State::Ready))
            .await;
    }
}

/// Sends heartbeats of all endpoints for ever.
async fn beat_on(system: &System, endpoints: &[Endpoint]) {
    for sequence in 2.. {
        beat(system, endpoints, sequence).await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Kills some boxes at a time and starts them again, for a time.
async fn restart(
    start: impl Fn(usize) -> deploy::Process,
    boxes: &mut [Option<deploy::Process>],
    at_once: usize,
    length: Duration,
) {
    let until = Instant::now() + length;
    let mut next = 0;
    while at_once > 0 && Instant::now() + RESTART_PERIOD < until {
        tokio::time::sleep(RESTART_PERIOD).await;
        let killed: Vec<_> = (next..next + at_once).map(|i| i % boxes.len()).collect();
        next += at_once;
        for i in &killed {
            if let Some(process) = boxes[*i].take() {
                process.kill();
            }
        }
        for i in killed {
            boxes[i] = Some(start(i));
        }
    }
}

/// Lets endpoints break a part of their streams off, for a time.
async fn break_streams(endpoints: &[Endpoint], breaks: bool, length: Duration) {
    let mut random = SmallRng::seed_from_u64(7);
    let until = Instant::now() + length;
    while breaks && Instant::now() < until {
        for endpoint in endpoints {
            let act = Act::BreakAfter(random.random_range(1..EVENTS));
            let breaks = random.random_bool(BROKEN_FRACTION);
            endpoint.set_default_act(breaks.then_some(act));
        }
        tokio::time::sleep(PERIOD).await;
    }
    endpoints
        .iter()
        .for_each(|endpoint| endpoint.set_default_act(None));
}

/// Runs a system whose endpoints have these builds in turn, with faults.
async fn run(builds: &[&str], faults: Faults) -> Results {
    run_with(builds, faults, PERIOD).await
}

/// Runs a system whose endpoints have these builds in turn, with faults and a new stream each `period`.
async fn run_with(builds: &[&str], faults: Faults, period: Duration) -> Results {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(builds, dir.path()).await;
    let callers: Vec<_> = (0..BOXES).map(|i| site.system.callers_at(i)).collect();
    if faults.stops_voter {
        site.system.voters[VOTERS - 1]
            .as_ref()
            .unwrap()
            .signal("STOP");
    }
    let start = |i| site.system.start_entry_at(i);
    let played = async {
        let (results, (), ()) = tokio::join!(
            call_all(&callers, period, LENGTH),
            restart(start, &mut site.boxes, faults.kills, LENGTH),
            break_streams(&site.endpoints, faults.breaks, LENGTH)
        );
        results
    };
    let results = tokio::select! {
        results = played => results,
        () = beat_on(&site.system, &site.endpoints) => unreachable!("heartbeats are sent for ever"),
    };
    println!("{builds:?}, {faults:?}: {results:?}");
    results
}

/// Guards against boxes that resume a broken stream, within an answer, at an endpoint of another
/// build than the one that began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_endpoints_break_off_holds_events_of_one_build() {
    let faults = Faults {
        breaks: true,
        ..Faults::default()
    };
    let results = run(&["v1", "v1.1"], faults).await;
    assert_eq!(results.mixed, 0, "streams of two builds: {results:?}");
}

/// Guards against boxes that send a stream which its caller takes up after the box was killed to an
/// endpoint of another build than the one that began it, or refuse it while its build serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_taken_up_at_another_box_goes_on_at_its_build() {
    let faults = Faults {
        kills: 1,
        ..Faults::default()
    };
    let results = run(&["v1", "v1.1", "v1.2"], faults).await;
    results.check_taken_up(12, MIN_TAKEN_UP_FRACTION);
}

/// Guards against streams that can't go on because their build's endpoints are kept from requests after
/// failures, or because the box that began them is killed, when both come together.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_where_endpoints_break_them_off_and_boxes_are_killed() {
    let faults = Faults {
        breaks: true,
        kills: 1,
        ..Faults::default()
    };
    let results = run(&["v1", "v1.1", "v1.2"], faults).await;
    results.check_taken_up(12, MIN_TAKEN_UP_FRACTION);
}

/// Guards against new streams that are held up until voters have recorded where they began: one voter
/// does not answer, and a wait for it would take longer than the bound.
#[tokio::test(flavor = "multi_thread")]
async fn new_streams_wait_for_no_voter() {
    for builds in [&["v1"][..], &["v1", "v2"]] {
        let faults = Faults {
            stops_voter: true,
            ..Faults::default()
        };
        let results = run(builds, faults).await;
        assert_eq!(results.mixed, 0, "streams of two builds: {results:?}");
        let [median, _] = results.first_event;
        assert!(median < MAX_MEDIAN_FIRST_EVENT, "{results:?}");
    }
}

/// Guards against streams that are lost with most boxes of the site.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_when_three_of_four_boxes_are_killed_at_once() {
    let faults = Faults {
        kills: 3,
        ..Faults::default()
    };
    let results = run(&["v1", "v1.1", "v1.2"], faults).await;
    results.check_taken_up(12, MIN_FRACTION);
}

/// Runs a system of which one box has lost its links to the endpoints, with faults. Every other attempt is
/// made at that box, and it is not killed.
async fn run_through_another_box(faults: Faults) -> Results {
    let dir = tempfile::tempdir().unwrap();
    let mut site = reach::Site::start(&[0], dir.path()).await;
    for (i, endpoint) in site.endpoints.iter().enumerate() {
        endpoint.set_script(script(["v1", "v2"][i % 2]));
    }
    let callers: Vec<_> = (0..reach::BOXES)
        .map(|i| site.system.callers_at(i))
        .collect();
    let alternating: Vec<_> = callers[1..]
        .iter()
        .flat_map(|at| [callers[0], *at])
        .collect();
    let mut others = site.boxes.split_off(1);
    let start = |i| site.start_box(1 + i);
    let played = async {
        // Longer than boxes take to hear of the builds.
        tokio::time::sleep(2 * HEARTBEAT).await;
        site.cut_and_wait(reach::Cut::Reset).await;
        let (results, (), ()) = tokio::join!(
            call_all(&alternating, PERIOD, LENGTH),
            restart(start, &mut others, faults.kills, LENGTH),
            break_streams(&site.endpoints, faults.breaks, LENGTH)
        );
        (results, site.metric(0, "forwarded_requests_total").await)
    };
    let (results, forwarded) = tokio::select! {
        played = played => played,
        () = site.beat_on() => unreachable!("heartbeats are sent for ever"),
    };
    println!("{faults:?}, {forwarded} forwarded: {results:?}");
    assert!(forwarded > 40, "too few are forwarded: {forwarded}");
    results
}

/// Guards against streams that are lost although their build serves: few endpoints run it, new streams use
/// most of their slots, and most boxes are killed at once, so that many are taken up together.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_where_two_busy_endpoints_run_their_build() {
    let faults = Faults {
        kills: 3,
        ..Faults::default()
    };
    let results = run_with(&["v1", "v2", "v2"], faults, BUSY_PERIOD).await;
    results.check_taken_up(12, MIN_FRACTION);
}

/// Guards against streams that go on at another build because their box has lost its links to the
/// endpoints: they begin at another box, and go on through a third one or from the first one again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_through_another_box_holds_events_of_one_build() {
    let faults = Faults {
        breaks: true,
        ..Faults::default()
    };
    let results = run_through_another_box(faults).await;
    results.check_taken_up(6, MIN_FRACTION);
}

/// Guards against streams that go on at another build, or are lost, when the box is killed that began them
/// or that served them for a box without links to the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_through_another_box_goes_on_when_that_box_is_killed() {
    let faults = Faults {
        kills: 2,
        ..Faults::default()
    };
    let results = run_through_another_box(faults).await;
    results.check_taken_up(6, MIN_FRACTION);
}

/// Begins a stream under an id at a box, and leaves after an event. Returns the build that wrote it.
async fn begin(callers: SocketAddr, id: &str) -> String {
    let mut connection = client::Connection::open(callers).await.unwrap();
    let mut stream = Stream {
        begun_by: id.to_owned(),
        ..Stream::default()
    };
    let received = receive(&mut connection, id, &mut stream);
    let _ = tokio::time::timeout(4 * PAUSE, received).await;
    assert!(stream.events > 0, "no event: {stream:?}");
    stream.builds.pop_first().unwrap()
}

/// Takes a stream up at a box after its first event, without waiting for its end. Returns it as received.
async fn take_up(callers: SocketAddr, begun_by: &str) -> Stream {
    let mut connection = client::Connection::open(callers).await.unwrap();
    let mut stream = Stream {
        begun_by: begun_by.to_owned(),
        events: 1,
        ..Stream::default()
    };
    let received = receive(&mut connection, "another", &mut stream);
    let _ = tokio::time::timeout(DEADLINE, received).await;
    stream
}

/// Guards against a box that believes its own record of a stream although its caller has used the same id
/// for a stream of another build at another box.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_two_streams_began_with_is_refused_at_both_boxes() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&["v1", "v2"], dir.path()).await;
    let played = async {
        let mut refused = 0;
        for i in 0..12 {
            let id = format!("used-twice-{i}");
            let first = begin(site.system.callers_at(0), &id).await;
            let second = begin(site.system.callers_at(1), &id).await;
            // Longer than voters take to hear of both.
            tokio::time::sleep(Duration::from_millis(300)).await;
            for taken_up_at in 0..3 {
                let stream = take_up(site.system.callers_at(taken_up_at), &id).await;
                if first == second {
                    assert!(stream.events > 1, "at box {taken_up_at}: {stream:?}");
                } else {
                    assert_eq!(stream.events, 1, "at box {taken_up_at}: {stream:?}");
                    assert_eq!(
                        stream.refused,
                        ["503 Service Unavailable \"stream-unknown\""]
                    );
                    refused += 1;
                }
            }
        }
        refused
    };
    let refused = tokio::select! {
        refused = played => refused,
        () = beat_on(&site.system, &site.endpoints) => unreachable!("heartbeats are sent for ever"),
    };
    assert!(refused >= 3, "no id was used at two builds");
}

/// Guards against streams that go on at an endpoint which has started again under its name with another
/// build, until its heartbeat arrives: it states its build in its answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_go_on_at_an_endpoint_that_changed_its_build_unheard() {
    let dir = tempfile::tempdir().unwrap();
    let site = Site::start(&["v1", "v2"], dir.path()).await;
    let id = "begun-before";
    let build = begin(site.system.callers_at(0), id).await;
    // Longer than voters take to hear of it.
    tokio::time::sleep(Duration::from_millis(300)).await;
    // All endpoints start again, each with the other build, and none has sent a heartbeat.
    for (i, endpoint) in site.endpoints.iter().enumerate() {
        endpoint.set_script(Script {
            states_build: true,
            ..script(["v2", "v1"][i % 2])
        });
    }
    for taken_up_at in 0..3 {
        let stream = take_up(site.system.callers_at(taken_up_at), id).await;
        assert!(
            !stream.builds.iter().any(|other| *other != build),
            "{stream:?}"
        );
    }
}

/// Guards against a route with shares that draws the service anew when a stream is taken up.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_route_with_shares_goes_on_at_its_service() {
    let dir = tempfile::tempdir().unwrap();
    let mut site = Site::start(&["v1"], dir.path()).await;
    let mut shared = routing(8);
    let other: name::Service = "lm2".parse().unwrap();
    let class: name::Class = "resume".parse().unwrap();
    shared.services.insert(other.clone(), Service::default());
    let stream = shared.routes.get_mut(&class).unwrap();
    stream.shares.push(Share {
        service: other.clone(),
        weight: 1,
    });
    assert_eq!(site.system.publish(&text(&shared)).await, 200);
    for i in 0..ENDPOINTS {
        let port = 9100 + u16::try_from(i).unwrap();
        let address = SocketAddr::new(site.system.host, port);
        let mut endpoint = Endpoint::start(&format!("j-{i}"), address).await;
        endpoint.service = other.to_string();
        endpoint.set_script(Script {
            mark: Some(other.to_string()),
            ..script("v1")
        });
        // A voter refuses heartbeats of a service until the routing has reached it.
        deploy::wait("the first voter takes a heartbeat", || async {
            let body = serde_json::to_string(&endpoint.record(1, State::Ready)).unwrap();
            let path = format!("/v1/endpoints/{}", endpoint.name);
            let told = client::ask(site.system.publish_address(0), "PUT", &path, &[], body);
            told.await.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        site.endpoints.push(endpoint);
    }
    let callers: Vec<_> = (0..BOXES).map(|i| site.system.callers_at(i)).collect();
    let start = |i| site.system.start_entry_at(i);
    let played = async {
        tokio::time::sleep(2 * HEARTBEAT).await;
        let (results, ()) = tokio::join!(
            call_all(&callers, PERIOD, LENGTH),
            restart(start, &mut site.boxes, 1, LENGTH)
        );
        results
    };
    let results = tokio::select! {
        results = played => results,
        () = beat_on(&site.system, &site.endpoints) => unreachable!("heartbeats are sent for ever"),
    };
    println!("two services: {results:?}");
    assert!(
        results.tally.taken_up >= 12,
        "too few are taken up: {results:?}"
    );
    assert_eq!(results.mixed, 0, "streams of two services: {results:?}");
}
