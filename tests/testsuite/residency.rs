//! Data residency: a request goes only to regions that the configuration in force allows.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use scalewood::core::{
    config,
    dispatch::{Admission, Dispatcher, End, Input, Order, Reason, Report, Settings, Spec},
    name, region,
    registry::{Record, State},
    residency::{self, Allowed, Source},
    route::{Routing, Team},
    unit,
};
use tokio::net::TcpSocket;

use crate::{
    placement::{ask, START},
    support::{
        client, deploy,
        routed::{routing, seen, text, Act, Endpoint, System, EVENTS},
    },
};

fn only(regions: &[&str]) -> Allowed {
    Allowed::only(regions.iter().map(|region| region.parse().unwrap()))
}

fn permits(allowed: &Allowed, region: &str) -> bool {
    allowed.permits(Some(&region.parse().unwrap()))
}

#[test]
fn both_lists_bind_and_nothing_goes_to_a_region_that_is_not_known() {
    let (everywhere, north) = (Allowed::default(), only(&["north", "east"]));
    assert!(permits(&everywhere, "north") && everywhere.permits(None));
    assert!(permits(&north, "east") && !permits(&north, "south"));
    assert!(!north.permits(None));
    assert_eq!(everywhere.and(&north), north);
    assert_eq!(north.and(&everywhere), north);
    assert_eq!(north.and(&only(&["east", "south"])), only(&["east"]));
    assert!(north.and(&only(&["south"])).is_nowhere());
}

/// Returns a configuration whose routes and team are restricted to regions.
fn document(route: Allowed, team: Allowed) -> config::Document {
    let mut document = config::Document::default();
    document.replace_routing(Arc::new(restricted(1, route, team)));
    document
}

/// Returns the tests' routing with all routes and the team restricted to regions.
fn restricted(version: u64, route: Allowed, team: Allowed) -> Routing {
    let mut routing = routing(version);
    for item in routing.routes.values_mut() {
        item.allowed = route.clone();
    }
    for item in routing.teams.values_mut() {
        item.allowed = team.clone();
    }
    routing
}

fn source(team: Option<&str>) -> Source {
    Source::Route {
        route: "safe".parse().unwrap(),
        team: team.map(|team| team.parse().unwrap()),
    }
}

#[test]
fn the_newer_configuration_binds_and_what_it_no_longer_holds_binds_as_it_did_last() {
    let last = only(&["r0"]);
    let found = |document: &config::Document, team| source(team).in_force(document, &last);
    let wide = document(only(&["r0", "r1"]), Allowed::default());
    assert_eq!(found(&wide, Some("t1")), only(&["r0", "r1"]));
    let both = document(only(&["r0", "r1"]), only(&["r1", "r2"]));
    assert_eq!(found(&both, Some("t1")), only(&["r1"]));
    assert_eq!(found(&both, None), only(&["r0", "r1"]));
    assert_eq!(found(&both, Some("gone")), only(&["r0"]));
    let empty = config::Document::default();
    assert_eq!(
        found(&empty, Some("t1")),
        last,
        "neither the route nor the team is left"
    );
    assert_eq!(found(&empty, None), last);
}

#[test]
fn the_products_own_classes_and_teams_bind_too() {
    let mut document = config::Document::default();
    let key: config::ClassKey = "lm/counter".parse().unwrap();
    let class = config::Class {
        allowed: only(&["r0", "r1"]),
        ..config::Class::default()
    };
    document.classes.insert(key.clone(), class);
    let team = config::Team {
        token_hash: scalewood::core::secret::Hash::of("token"),
        classes: vec![key.clone()],
        requests: None,
        tokens: None,
        allowed: only(&["r1"]),
    };
    document.teams.insert("shop".parse().unwrap(), team);
    let source = Source::Class {
        class: key,
        team: "shop".parse().unwrap(),
    };
    assert_eq!(
        source.in_force(&document, &Allowed::default()),
        only(&["r1"])
    );
}

#[test]
fn an_empty_list_is_refused_with_the_configuration_and_unknown_regions_are_told() {
    assert!(routing(1).check().is_empty());
    let nowhere = Allowed::only([]);
    let empty = restricted(1, nowhere.clone(), nowhere);
    let problems = empty.check();
    let about = |item: &str| problems.iter().any(|problem| problem.item == item);
    assert!(about("route safe") && about("team t1"), "{problems:?}");
    let apart = restricted(1, only(&["r0"]), only(&["r1"]));
    assert!(
        apart.check().is_empty(),
        "the configuration is accepted, and requests are refused"
    );

    let zone = |zone: &str, region: &str| (zone.parse().unwrap(), region.parse().unwrap());
    let regions = region::Map::new([zone("z0", "r0"), zone("z1", "r1")]);
    let partly = document(only(&["r0", "r9"]), Allowed::default());
    assert!(residency::items_with_unknown_regions(&partly, &regions, 16).is_empty());
    let unknown = document(Allowed::default(), only(&["r9"]));
    assert_eq!(
        residency::items_with_unknown_regions(&unknown, &regions, 16),
        ["team t1"]
    );
    let many = document(only(&["r8"]), only(&["r9"]));
    assert_eq!(
        residency::items_with_unknown_regions(&many, &regions, 2).len(),
        2
    );
}

/// Returns an endpoint with a number of slots in a region.
fn spec(name: &str, slots: u32, region: &str) -> Spec {
    Spec {
        name: name.parse().unwrap(),
        slots,
        leaving: false,
        in_other_zone: false,
        rank: 0,
        zone: region.parse().unwrap(),
        slow: false,
        memory: None,
        admission: Admission {
            cordoned: false,
            region: Some(region.parse().unwrap()),
            ..Admission::default()
        },
    }
}

fn configured(dispatcher: &mut Dispatcher, specs: &[Spec]) -> Vec<Order> {
    let class = config::Class {
        target: Duration::from_millis(250),
        ..config::Class::default()
    };
    let classes = BTreeMap::from([("short".parse().unwrap(), class)]);
    orders(dispatcher, Input::Configure(specs.to_vec(), classes))
}

fn orders(dispatcher: &mut Dispatcher, input: Input) -> Vec<Order> {
    let outputs = dispatcher.step(input, START);
    outputs.into_iter().map(|(_, order)| order).collect()
}

fn report(dispatcher: &mut Dispatcher, report: Report) -> Vec<Order> {
    let own: name::Box = "e1".parse().unwrap();
    orders(dispatcher, Input::Report(own, report))
}

fn dispatcher(specs: &[Spec]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings::default(), START);
    configured(&mut dispatcher, specs);
    let own: name::Box = "e1".parse().unwrap();
    orders(&mut dispatcher, Input::LiveBoxes([own].into()));
    report(&mut dispatcher, Report::Hello);
    report(&mut dispatcher, Report::Announced);
    dispatcher
}

/// Asks for a slot for a request. The request is placed by the prefix of its prompt if `placed` is
/// set, and by free slots otherwise.
fn send_ask(
    dispatcher: &mut Dispatcher,
    number: u64,
    allowed: &Allowed,
    placed: bool,
) -> Vec<Order> {
    let mut ask = ask(number, "short", number);
    ask.allowed = allowed.clone();
    ask.placement_key = ask.placement_key.filter(|_| placed);
    report(dispatcher, Report::Ask(ask))
}

fn endpoint_of(orders: &[Order]) -> Option<&str> {
    match orders {
        [Order::Grant(_, endpoint)] => Some(endpoint.as_str()),
        _ => None,
    }
}

#[test]
fn a_request_that_waits_for_a_full_region_holds_up_nobody_who_may_go_elsewhere() {
    for placed in [false, true] {
        let mut dispatcher = dispatcher(&[spec("i-0", 1, "r0"), spec("i-1", 2, "r1")]);
        let (r0, r1) = (only(&["r0"]), only(&["r1"]));
        assert_eq!(
            endpoint_of(&send_ask(&mut dispatcher, 1, &r0, placed)),
            Some("i-0")
        );
        for waits in [2, 3] {
            assert_eq!(send_ask(&mut dispatcher, waits, &r0, placed), []);
        }
        let other = send_ask(&mut dispatcher, 4, &r1, placed);
        assert_eq!(endpoint_of(&other), Some("i-1"));
        let anywhere = send_ask(&mut dispatcher, 5, &Allowed::default(), placed);
        assert_eq!(endpoint_of(&anywhere), Some("i-1"));
        assert_eq!(dispatcher.waiting(), 2);
        // The slot that becomes free goes to the request that has waited for its region the
        // longest.
        let end = Report::End(ask(1, "short", 1).attempt, End::Done, unit::Tokens(1));
        let freed = report(&mut dispatcher, end);
        assert_eq!(
            freed,
            [Order::Grant(
                ask(2, "short", 2).attempt,
                "i-0".parse().unwrap()
            )]
        );
    }
}

#[test]
fn a_request_that_no_region_can_serve_is_refused_at_once_with_a_reason_of_its_own() {
    let mut dispatcher = dispatcher(&[spec("i-0", 1, "r0")]);
    let refused = send_ask(&mut dispatcher, 1, &only(&["r1"]), true);
    assert!(
        matches!(refused[..], [Order::Shed(_, Reason::Residency, wait)] if !wait.is_zero()),
        "{refused:?}"
    );
    configured(&mut dispatcher, &[]);
    let refused = send_ask(&mut dispatcher, 2, &only(&["r1"]), true);
    assert!(matches!(
        refused[..],
        [Order::Shed(_, Reason::NoEndpoint, _)]
    ));
}

#[test]
fn one_that_waits_when_its_last_endpoint_moves_out_of_its_regions_is_refused() {
    let mut dispatcher = dispatcher(&[spec("i-0", 1, "r0"), spec("i-1", 1, "r1")]);
    let r0 = only(&["r0"]);
    assert!(endpoint_of(&send_ask(&mut dispatcher, 1, &r0, false)).is_some());
    assert_eq!(send_ask(&mut dispatcher, 2, &r0, false), []);
    let moved = configured(
        &mut dispatcher,
        &[spec("i-0", 1, "r2"), spec("i-1", 1, "r1")],
    );
    assert!(
        matches!(moved[..], [Order::Shed(_, Reason::Residency, _)]),
        "{moved:?}"
    );
}

#[test]
fn a_run_gives_way_only_where_its_slot_is_of_use() {
    let mut dispatcher = dispatcher(&[spec("i-0", 1, "r0"), spec("i-1", 1, "r1")]);
    for (number, region) in [(1, "r0"), (2, "r1")] {
        let mut low = ask(number, "short", number);
        low.placement_key = None;
        low.tier = unit::Tier(4);
        low.preemptible = true;
        low.allowed = only(&[region]);
        let granted = report(&mut dispatcher, Report::Ask(low.clone()));
        assert!(endpoint_of(&granted).is_some());
        report(&mut dispatcher, Report::Started(low.attempt));
    }
    let mut urgent = ask(3, "short", 3);
    urgent.placement_key = None;
    urgent.age = Duration::from_millis(240);
    urgent.allowed = only(&["r1"]);
    let preempted = report(&mut dispatcher, Report::Ask(urgent));
    assert_eq!(preempted, [Order::Preempt(ask(2, "short", 2).attempt)]);
}

/// Starts a system with an entry box in region r0, an endpoint in it, and one in region r1.
async fn regions(dir: &std::path::Path, more: &str) -> (System, [Endpoint; 2]) {
    let zones = r#""zones": [{ "zone": "z0", "region": "r0" }, { "zone": "z1", "region": "r1" }]"#;
    let system = System::start_with(1, dir, &format!("{zones}{more}"));
    let host = system.host;
    let start = |i: u16| async move {
        let address = (host, 9000 + i).into();
        Endpoint::start(&format!("i-{i}"), address).await
    };
    let endpoints = [start(0).await, start(1).await];
    // Calls go to the zone of the box first, so a routing that allows only r1 comes first, to wait
    // until the endpoint there is known.
    let first = restricted(6, only(&["r1"]), Allowed::default());
    for (i, routing) in [(1, first), (0, routing(7))] {
        assert_eq!(system.publish(&text(&routing)).await, 200);
        for (endpoint, zone) in endpoints.iter().zip(["z0", "z1"]) {
            system.announce(0, &in_zone(endpoint, zone, 1)).await;
        }
        deploy::wait("the endpoint is known", || async {
            let _ = system.call("GET", "/safe/known", "known").await;
            !endpoints[i].seen().is_empty()
        })
        .await;
    }
    (system, endpoints)
}

fn in_zone(endpoint: &Endpoint, zone: &str, sequence: u64) -> Record {
    Record {
        zone: zone.parse().unwrap(),
        ..endpoint.record(sequence, State::Ready)
    }
}

/// Publishes a configuration and waits until it is in force, which is when calls of a path reach
/// only the second endpoint.
async fn publish_and_wait(
    system: &System,
    endpoints: &[Endpoint; 2],
    routing: &Routing,
    path: &str,
) {
    assert_eq!(system.publish(&text(routing)).await, 200);
    deploy::wait("the configuration is in force", || async {
        let before = seen(&endpoints[..1], path);
        for _ in 0..4 {
            let _ = system.call("GET", path, "bind").await;
        }
        seen(&endpoints[..1], path) == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_go_to_the_allowed_region_and_are_refused_truly_where_none_is_left() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = regions(dir.path(), "").await;
    let only_r1 = restricted(8, Allowed::default(), only(&["r1"]));
    publish_and_wait(&system, &endpoints, &only_r1, "/safe/bind").await;
    for number in 0..10 {
        let path = format!("/unsafe/{number}");
        assert_eq!(system.call("POST", &path, "u").await.unwrap().status, 200);
        assert_eq!(seen(&endpoints[..1], &path), 0);
    }
    let apart = restricted(9, only(&["r0"]), only(&["r1"]));
    assert_eq!(system.publish(&text(&apart)).await, 200);
    deploy::wait("no region is left", || async {
        system.call("GET", "/safe/x", "left").await.unwrap().status == 503
    })
    .await;
    let began = std::time::Instant::now();
    let refused = system
        .call("POST", "/unsafe/refused", "none")
        .await
        .unwrap();
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "the request is not refused at once"
    );
    assert_eq!((refused.status, refused.verdict()), (503, Some("not-run")));
    assert!(refused.header("retry-after").is_some());
    let body = String::from_utf8(refused.body.to_vec()).unwrap();
    assert!(body.contains("residency"), "{body}");
    assert_eq!(seen(&endpoints, "/unsafe/refused"), 0);
    // A region that no zone belongs to is accepted in a list, and the box logs the route.
    let unknown = restricted(10, only(&["r9"]), Allowed::default());
    assert_eq!(system.publish(&text(&unknown)).await, 200);
    let log = dir.path().join("e1.log");
    deploy::wait("the unknown region is logged", || async {
        std::fs::read_to_string(&log)
            .unwrap()
            .contains("route safe")
    })
    .await;
    let empty = restricted(11, Allowed::only([]), Allowed::default());
    assert!((400..500).contains(&system.publish(&text(&empty)).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_by_the_newer_configuration() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = regions(dir.path(), "").await;
    endpoints[0].next(Act::StallAfter(2));
    let stream = system.call("GET", "/sresume/moves", "moves");
    let change = async {
        deploy::wait("the stream runs", || async {
            seen(&endpoints[..1], "/sresume/moves") == 1
        })
        .await;
        let r1 = restricted(9, only(&["r1"]), Allowed::default());
        publish_and_wait(&system, &endpoints, &r1, "/safe/r1").await;
    };
    let (answer, ()) = tokio::join!(stream, change);
    let answer = answer.unwrap();
    let body = String::from_utf8(answer.body.to_vec()).unwrap();
    assert_eq!(body.matches("data:").count(), EVENTS, "{body}");
    assert_eq!(seen(&endpoints[..1], "/sresume/moves"), 1);
    assert_eq!(seen(&endpoints[1..], "/sresume/moves"), 1);
    let resumed = endpoints[1].seen();
    let resumed = resumed.iter().find(|seen| seen.path == "/sresume/moves");
    assert_eq!(resumed.unwrap().header("last-event-id"), Some("1"));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_waits_when_a_region_is_taken_away_is_served_elsewhere_at_once() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = regions(dir.path(), "").await;
    let r0 = restricted(8, only(&["r0"]), Allowed::default());
    assert_eq!(system.publish(&text(&r0)).await, 200);
    // One slot is left in r0, and a request holds it for long.
    let narrow = Record {
        slots: unit::Slots(1),
        ..in_zone(&endpoints[0], "z0", 2)
    };
    system.announce(0, &narrow).await;
    endpoints[0].answer_correctly();
    endpoints[0].next(Act::Hang);
    let hangs = system.call("POST", "/unsafe/hold", "hold");
    let waits = async {
        deploy::wait("the slot is held", || async {
            seen(&endpoints[..1], "/unsafe/hold") == 1
        })
        .await;
        deploy::wait("the one slot of r0 is all there is", || async {
            let before = (
                seen(&endpoints, "/unsafe/probe"),
                seen(&endpoints[..1], "/unsafe/hold"),
            );
            let probe = system.call("POST", "/unsafe/probe", "probe");
            let waits = tokio::time::timeout(Duration::from_millis(200), probe)
                .await
                .is_err();
            waits && before == (seen(&endpoints, "/unsafe/probe"), 1)
        })
        .await;
        let began = std::time::Instant::now();
        let waiting = system.call("POST", "/unsafe/waits", "waits");
        let change = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            assert_eq!(seen(&endpoints, "/unsafe/waits"), 0, "the request waits");
            let r1 = restricted(9, only(&["r1"]), Allowed::default());
            assert_eq!(system.publish(&text(&r1)).await, 200);
        };
        let (answer, ()) = tokio::join!(waiting, change);
        assert_eq!(answer.unwrap().status, 200);
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "the slot is still held"
        );
        assert_eq!(seen(&endpoints[..1], "/unsafe/waits"), 0);
        assert_eq!(seen(&endpoints[1..], "/unsafe/waits"), 1);
    };
    tokio::select! {
        held = hangs => panic!("the slot was given back: {held:?}"),
        () = waits => {}
    }
}

/// Fills the accept queue of a listener, so that the next connection waits until the kernel sends
/// its SYN again after a second.
async fn fill(
    address: std::net::SocketAddr,
) -> (tokio::net::TcpListener, Vec<tokio::net::TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    let listener = socket.listen(1).unwrap();
    let mut taken = Vec::new();
    loop {
        let connect = tokio::net::TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(100), connect).await {
            Ok(stream) => taken.push(stream.unwrap()),
            Err(_) => return (listener, taken),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_taken_away_while_the_connection_is_opened_gets_no_body() {
    let dir = tempfile::tempdir().unwrap();
    let more = r#", "limits": { "connect": "3s" }"#;
    let (system, endpoints) = regions(dir.path(), more).await;
    // The only endpoint that stays in r0 is one whose accept queue is full.
    let address = (system.host, 9005).into();
    let (listener, taken) = fill(address).await;
    let slow = Record {
        name: "i-2".parse().unwrap(),
        address,
        ..in_zone(&endpoints[0], "z0", 1)
    };
    system.announce(0, &slow).await;
    let leaving = endpoints[0].record(2, State::Leaving);
    system.announce(0, &leaving).await;
    let log = dir.path().join("e1.log");
    deploy::wait("the other endpoint leaves", || async {
        std::fs::read_to_string(&log)
            .unwrap()
            .contains("\"sequence\":2")
    })
    .await;
    // The dispatcher is told at the next tick of its task, 20 ms later.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let call = system.call("POST", "/unsafe/dial", "dial");
    let change = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let r1 = restricted(9, only(&["r1"]), Allowed::default());
        assert_eq!(system.publish(&text(&r1)).await, 200);
        deploy::wait("the configuration is in force", || async {
            let call = system.call("GET", "/safe/force", "force");
            let served = tokio::time::timeout(Duration::from_millis(100), call).await;
            served.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200))
        })
        .await;
        drop(taken);
        let mut bytes = 0;
        let until = tokio::time::Instant::now() + Duration::from_secs(2);
        while let Ok(Ok((mut stream, _))) = tokio::time::timeout_at(until, listener.accept()).await
        {
            let mut read = [0; 64];
            let got = tokio::io::AsyncReadExt::read(&mut stream, &mut read);
            let got = tokio::time::timeout(Duration::from_millis(300), got).await;
            bytes += got.map_or(0, |got| got.unwrap_or(0));
        }
        bytes
    };
    let (answer, bytes) = tokio::join!(call, change);
    assert_eq!(bytes, 0, "nothing of the request was sent to r0");
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(seen(&endpoints[1..], "/unsafe/dial"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_of_its_own_binds_public_routes_too() {
    let dir = tempfile::tempdir().unwrap();
    let (system, endpoints) = regions(dir.path(), "").await;
    let mut open = routing(8);
    for route in open.routes.values_mut() {
        route.public = true;
    }
    let team = open.teams.values_mut().next().unwrap();
    *team = Team {
        allowed: only(&["r1"]),
        ..team.clone()
    };
    publish_and_wait(&system, &endpoints, &open, "/safe/bind").await;
    // Without a key, only the regions of the route apply.
    let before = endpoints[0].seen().len();
    deploy::wait("callers without a key reach both", || async {
        let mut connection = client::Connection::open(system.callers()).await.unwrap();
        let host = crate::support::routed::HOST;
        let sent = connection.send_to(host, "GET", "/safe/open", &[], "").await;
        assert_eq!(sent.unwrap().status().as_u16(), 200);
        endpoints[0].seen().len() > before
    })
    .await;
}
