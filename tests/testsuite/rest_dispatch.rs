//! How a dispatcher handles endpoints that have asked for a backoff from the boxes that it serves.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use scalewood::core::{
    attempt::{Attempt, Request},
    backoff, config,
    dispatch::{Admission, Ask, Dispatcher, End, Input, Order, Report, Settings, Spec},
    name, unit,
};

const START: Duration = Duration::from_secs(1000);
const SLOTS: u32 = 4;
/// The length of a backoff.
const REST: Duration = Duration::from_secs(3);

fn origin(number: u32) -> name::Box {
    format!("e{number}").parse().unwrap()
}

fn endpoint(number: u32) -> name::Endpoint {
    format!("i-{number}").parse().unwrap()
}

/// Returns a dispatcher for two boxes with so many endpoints.
fn dispatcher(endpoints: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings::default(), START);
    dispatcher.step(configuration(endpoints, 1), START);
    let boxes = BTreeSet::from([origin(1), origin(2)]);
    dispatcher.step(Input::LiveBoxes(boxes.clone()), START);
    for own in boxes {
        dispatcher.step(Input::Report(own.clone(), Report::Hello), START);
        dispatcher.step(Input::Report(own, Report::Announced), START);
    }
    dispatcher
}

/// Returns an input that configures the endpoints, each with this incarnation.
fn configuration(endpoints: u32, incarnation: u64) -> Input {
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
            incarnation: Some(unit::Incarnation(incarnation)),
            ..Admission::default()
        },
    };
    let class = ("short".parse().unwrap(), config::Class::default());
    Input::Configure((0..endpoints).map(spec).collect(), BTreeMap::from([class]))
}

fn reported_rest(number: u32, left: Duration) -> backoff::Notice {
    backoff::Notice {
        endpoint: endpoint(number),
        start: Some(unit::Incarnation(1)),
        remaining: left,
    }
}

fn ask(request: u64, rests: Vec<backoff::Notice>) -> Ask {
    Ask {
        attempt: Attempt::first(Request(request)),
        class: "short".parse().unwrap(),
        tier: unit::Tier(0),
        age: Duration::ZERO,
        target: Duration::from_millis(250),
        deadline: Duration::from_secs(10),
        patience: None,
        is_client_retry: false,
        prompt: unit::Tokens(100),
        delivered: unit::Tokens(0),
        prefix: None,
        placement_key: None,
        allowed: Default::default(),
        preemptible: false,
        preempted: 0,
        is_hedge: false,
        avoid: None,
        build: None,
        hold: None,
        backoffs: rests,
    }
}

fn step(dispatcher: &mut Dispatcher, from: u32, ask: Ask, now: Duration) -> Vec<Order> {
    let orders = dispatcher.step(Input::Report(origin(from), Report::Ask(ask)), now);
    orders.into_iter().map(|(_, order)| order).collect()
}

/// Serves a request that was granted.
fn serve(dispatcher: &mut Dispatcher, from: u32, request: u64, now: Duration) {
    let attempt = Attempt::first(Request(request));
    for report in [
        Report::Started(attempt),
        Report::First(attempt),
        Report::End(attempt, End::Done, unit::Tokens(1)),
    ] {
        dispatcher.step(Input::Report(origin(from), report), now);
    }
}

/// Returns the endpoint of a request that is granted at once, and starts the request there; returns
/// `None` if it waits.
fn grant(dispatcher: &mut Dispatcher, from: u32, ask: Ask, now: Duration) -> Option<String> {
    match step(dispatcher, from, ask, now).as_slice() {
        [Order::Grant(attempt, endpoint)] => {
            let started = Report::Started(*attempt);
            dispatcher.step(Input::Report(origin(from), started), now);
            Some(endpoint.to_string())
        }
        [] => None,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_endpoint_rests_from_the_box_that_it_asked_and_from_no_other() {
    let mut dispatcher = dispatcher(2);
    let rests = vec![reported_rest(0, REST)];
    for request in 0..u64::from(SLOTS) {
        // A backoff that is reported once applies to all requests of the box.
        let rests = if request == 0 {
            rests.clone()
        } else {
            Vec::new()
        };
        let at = grant(&mut dispatcher, 1, ask(request, rests), START);
        assert_eq!(at.as_deref(), Some("i-1"));
    }
    // All slots of the other endpoint are taken. The box's next request waits; the other box's
    // request overtakes it.
    assert_eq!(grant(&mut dispatcher, 1, ask(10, Vec::new()), START), None);
    let at = grant(&mut dispatcher, 2, ask(11, Vec::new()), START);
    assert_eq!(at.as_deref(), Some("i-0"));
    // That request completes; when the backoff ends, the waiting one gets the slot.
    serve(&mut dispatcher, 2, 11, START);
    let after = START + REST + Duration::from_millis(20);
    let orders = dispatcher.step(Input::Tick, after);
    let grants =
        |(_, order): &(_, Order)| matches!(order, Order::Grant(_, at) if *at == endpoint(0));
    assert!(orders.iter().any(grants), "{orders:?}");
}

#[test]
fn a_later_start_and_a_box_that_begins_anew_know_of_no_rest() {
    let mut dispatcher = dispatcher(1);
    let first = ask(1, vec![reported_rest(0, REST)]);
    assert_eq!(grant(&mut dispatcher, 1, first, START), None);
    dispatcher.step(Input::Report(origin(1), Report::Hello), START);
    dispatcher.step(Input::Report(origin(1), Report::Announced), START);
    let again = ask(2, Vec::new());
    assert!(grant(&mut dispatcher, 1, again, START).is_some());
    // A late report of a backoff that the earlier start asked for.
    dispatcher.step(configuration(1, 2), START);
    let late = ask(3, vec![reported_rest(0, REST)]);
    assert!(grant(&mut dispatcher, 1, late, START).is_some());
}

#[test]
fn where_all_rest_who_leaves_before_is_refused_with_the_time_and_the_others_wait() {
    let mut dispatcher = dispatcher(2);
    let rests = vec![reported_rest(0, REST), reported_rest(1, REST * 2)];
    let short = Ask {
        deadline: Duration::from_secs(2),
        ..ask(1, rests)
    };
    let orders = step(&mut dispatcher, 1, short, START);
    assert!(
        matches!(orders.as_slice(), [Order::Shed(_, _, retry)] if *retry == REST),
        "{orders:?}"
    );
    // A request whose caller's patience ends before the backoff is refused too, whatever its
    // deadline.
    let impatient = Ask {
        patience: Some(Duration::from_secs(1)),
        ..ask(2, Vec::new())
    };
    let orders = step(&mut dispatcher, 1, impatient, START);
    assert!(matches!(orders.as_slice(), [Order::Shed(..)]), "{orders:?}");
    assert_eq!(grant(&mut dispatcher, 1, ask(3, Vec::new()), START), None);
    // The endpoints ask for a backoff again, for longer than the waiting request's deadline.
    let longer = START + Duration::from_secs(2);
    let more = vec![reported_rest(0, REST * 5), reported_rest(1, REST * 5)];
    let orders = step(&mut dispatcher, 1, ask(4, more), longer);
    let refused = orders.iter().filter(|o| matches!(o, Order::Shed(..)));
    assert_eq!(refused.count(), 1, "{orders:?}");
    let orders = dispatcher.step(Input::Tick, longer);
    assert!(
        matches!(orders.as_slice(), [(_, Order::Shed(..))]),
        "{orders:?}"
    );
    assert_eq!(dispatcher.waiting(), 0);
}

#[test]
fn after_a_rest_an_endpoint_gets_a_few_first() {
    let mut dispatcher = dispatcher(1);
    assert_eq!(
        grant(
            &mut dispatcher,
            1,
            ask(1, vec![reported_rest(0, REST)]),
            START
        ),
        None
    );
    let after = START + REST + Duration::from_millis(20);
    let orders = dispatcher.step(Input::Tick, after);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(grant(&mut dispatcher, 1, ask(2, Vec::new()), after), None);
    // Once the first request has been served, the next one gets the slot, and more may follow.
    serve(&mut dispatcher, 1, 1, after);
    assert!(grant(&mut dispatcher, 1, ask(3, Vec::new()), after).is_some());
    assert!(grant(&mut dispatcher, 1, ask(4, Vec::new()), after).is_some());
}
