//! How a dispatcher handles endpoints that limit their request rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{
        Admission, Ask, Dispatcher, End, Input, IssuedPermits, LimitChange, Order, Reason, Report,
        Settings, Spec,
    },
    name, unit,
};

const START: Duration = Duration::from_secs(1000);
const SLOTS: u32 = 4;
/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(4);

fn own() -> name::Box {
    "e1".parse().unwrap()
}

fn endpoint(number: u32) -> name::Endpoint {
    format!("i-{number}").parse().unwrap()
}

/// Returns a dispatcher for so many endpoints; its box is the only one.
fn dispatcher(endpoints: u32) -> Dispatcher {
    let spec = |number| Spec {
        name: endpoint(number),
        slots: SLOTS,
        leaving: false,
        in_other_zone: false,
        rank: 0,
        zone: "z0".parse().unwrap(),
        slow: false,
        memory: None,
        admission: Admission {
            incarnation: Some(unit::Incarnation(1)),
            ..Admission::default()
        },
    };
    let class = ("short".parse().unwrap(), config::Class::default());
    let specs = (0..endpoints).map(spec).collect();
    let mut dispatcher = Dispatcher::new(Settings::default(), START);
    dispatcher.step(Input::Configure(specs, BTreeMap::from([class])), START);
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own()])), START);
    dispatcher.step(Input::BoxCount(1), START);
    dispatcher.step(Input::Report(own(), Report::Hello), START);
    dispatcher.step(Input::Report(own(), Report::Announced), START);
    dispatcher
}

fn set_limit(dispatcher: &mut Dispatcher, number: u32, limit: Option<&str>) {
    let change = LimitChange {
        endpoint: endpoint(number),
        start: Some(unit::Incarnation(1)),
        limit: limit.map(|text| text.parse().unwrap()),
    };
    dispatcher.step(Input::Limits(vec![change]), START);
}

/// Adds permits for an endpoint that are valid for 1.5 seconds from `START`, and returns the
/// orders.
fn add_permits(dispatcher: &mut Dispatcher, number: u32, count: u32) -> Vec<Order> {
    let pass = IssuedPermits {
        endpoint: endpoint(number),
        count,
        until: START + Duration::from_millis(1500),
    };
    let orders = dispatcher.step(Input::Permits(vec![pass]), START);
    orders.into_iter().map(|(_, order)| order).collect()
}

fn ask(request: u64, tier: u8) -> Ask {
    Ask {
        attempt: Attempt::first(Request(request)),
        class: "short".parse().unwrap(),
        tier: unit::Tier(tier),
        age: Duration::ZERO,
        target: Duration::from_millis(250),
        deadline: DEADLINE,
        patience: None,
        is_client_retry: false,
        prompt: unit::Tokens(100),
        delivered: unit::Tokens(0),
        prefix: None,
        placement_key: None,
        allowed: Default::default(),
        preemptible: true,
        preempted: 0,
        is_hedge: false,
        avoid: None,
        build: None,
        hold: Some(Duration::from_millis(500)),
        backoffs: Vec::new(),
    }
}

fn step(dispatcher: &mut Dispatcher, report: Report, now: Duration) -> Vec<Order> {
    let orders = dispatcher.step(Input::Report(own(), report), now);
    orders.into_iter().map(|(_, order)| order).collect()
}

/// Serves so many requests in turn and returns the endpoints that served them.
fn serve(dispatcher: &mut Dispatcher, from: u64, count: u64) -> Vec<String> {
    let mut places = Vec::new();
    for request in from..from + count {
        let orders = step(dispatcher, Report::Ask(ask(request, 0)), START);
        for order in orders {
            let Order::Grant(attempt, endpoint) = order else {
                panic!("{order:?}")
            };
            places.push(endpoint.to_string());
            for report in [
                Report::Started(attempt),
                Report::First(attempt),
                Report::End(attempt, End::Done, unit::Tokens(1)),
            ] {
                step(dispatcher, report, START);
            }
        }
    }
    places
}

#[test]
fn an_endpoint_with_a_limit_gets_a_request_for_each_permit_and_others_serve_the_rest() {
    let mut dispatcher = dispatcher(2);
    set_limit(&mut dispatcher, 0, Some("2.5"));
    assert_eq!(serve(&mut dispatcher, 1, 8), ["i-1"; 8]);
    add_permits(&mut dispatcher, 0, 3);
    let places = serve(&mut dispatcher, 11, 40);
    let limited = places.iter().filter(|place| *place == "i-0").count();
    assert!(limited <= 3, "{places:?}");
    set_limit(&mut dispatcher, 0, None);
    let places = serve(&mut dispatcher, 61, 40);
    assert_eq!(places.len(), 40, "{places:?}");
}

#[test]
fn a_request_that_waits_goes_as_soon_as_a_permit_comes() {
    let mut dispatcher = dispatcher(1);
    set_limit(&mut dispatcher, 0, Some("10"));
    assert!(step(&mut dispatcher, Report::Ask(ask(1, 0)), START).is_empty());
    let wanted = dispatcher.wanted_permits(START);
    assert!(wanted[0].count >= 1, "{wanted:?}");
    let orders = add_permits(&mut dispatcher, 0, 1);
    assert!(matches!(orders[..], [Order::Grant(..)]), "{orders:?}");
}

/// If all endpoints have limits, these bound the queue: the least urgent requests are refused at
/// once, and the more urgent ones, which are few, wait.
#[test]
fn where_all_have_limits_the_least_urgent_are_refused_first_with_a_true_time() {
    let mut dispatcher = dispatcher(2);
    for number in 0..2 {
        set_limit(&mut dispatcher, number, Some("2"));
    }
    let mut refused = Vec::new();
    for request in 0..60 {
        let now = START + Duration::from_millis(10 * request);
        let tier = if request % 3 == 0 { 0 } else { 2 };
        let mut orders = step(&mut dispatcher, Report::Ask(ask(request, tier)), now);
        let ticked = dispatcher.step(Input::Tick, now);
        orders.extend(ticked.into_iter().map(|(_, order)| order));
        for order in orders {
            let Order::Shed(attempt, reason, retry) = order else {
                panic!("{order:?}")
            };
            assert_eq!(reason, Reason::Deadline);
            assert!(retry >= Duration::from_secs(1), "{retry:?}");
            refused.push(attempt.request.0);
        }
    }
    // Four requests a second may start, so about sixteen can wait within the deadline.
    let urgent = refused.iter().filter(|request| *request % 3 == 0).count();
    let waiting = 60 - refused.len();
    println!("{waiting} wait, {urgent} urgent ones refused: {refused:?}");
    assert!((12..=24).contains(&waiting), "{waiting} wait");
    assert!(urgent <= 8, "{urgent} urgent ones refused");
    assert!(refused[0] % 3 != 0, "{refused:?}");
}

/// A slot at an endpoint that has reached its rate limit is of no use, so nothing is preempted for
/// it.
#[test]
fn nothing_is_preempted_where_a_slot_alone_is_of_no_use() {
    let mut dispatcher = dispatcher(1);
    for request in 1..=u64::from(SLOTS) {
        let orders = step(&mut dispatcher, Report::Ask(ask(request, 3)), START);
        let [Order::Grant(attempt, _)] = orders[..] else {
            panic!("{orders:?}")
        };
        step(&mut dispatcher, Report::Started(attempt), START);
    }
    set_limit(&mut dispatcher, 0, Some("2"));
    let later = START + Duration::from_millis(200);
    let orders = step(&mut dispatcher, Report::Ask(ask(100, 0)), later);
    assert!(orders.is_empty(), "{orders:?}");
    let orders = dispatcher.step(Input::Tick, later + Duration::from_millis(100));
    assert!(orders.is_empty(), "{orders:?}");
}
