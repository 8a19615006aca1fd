//! Dispatch of requests that may run at one build only.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{Admission, Ask, Dispatcher, Input, Order, Reason, Report, Settings, Spec},
    name, unit,
};

use crate::placement::{ask, START};

/// The builds of the endpoints, in their order.
const BUILDS: [&str; 4] = ["v1", "v1", "v2", "v2"];

fn own() -> name::Box {
    "e1".parse().unwrap()
}

fn specs(slots: u32) -> Vec<Spec> {
    let spec = |(place, build): (usize, &str)| Spec {
        name: format!("i-{place}").parse().unwrap(),
        slots,
        leaving: false,
        in_other_zone: false,
        rank: place,
        zone: "z0".parse().unwrap(),
        slow: false,
        memory: None,
        admission: Admission {
            build: build.parse().unwrap(),
            ..Admission::default()
        },
    };
    BUILDS.into_iter().enumerate().map(spec).collect()
}

/// Returns a dispatcher for four endpoints with this number of slots.
fn dispatcher(slots: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings::default(), START);
    let class = config::Class {
        target: Duration::from_secs(2),
        ..config::Class::default()
    };
    let classes = BTreeMap::from([("short".parse().unwrap(), class)]);
    dispatcher.step(Input::Configure(specs(slots), classes), START);
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own()])), START);
    dispatcher.step(Input::Report(own(), Report::Hello), START);
    dispatcher.step(Input::Report(own(), Report::Announced), START);
    dispatcher
}

/// Asks for a slot, at a build if one is given; with a placement key or without.
fn request(
    dispatcher: &mut Dispatcher,
    number: u64,
    build: Option<&str>,
    placed: bool,
) -> Vec<Order> {
    let asked = ask(number, "short", number);
    let asked = Ask {
        build: build.map(|build| build.parse().unwrap()),
        placement_key: asked.placement_key.filter(|_| placed),
        target: Duration::from_secs(2),
        ..asked
    };
    let orders = dispatcher.step(Input::Report(own(), Report::Ask(asked)), START);
    orders.into_iter().map(|(_, order)| order).collect()
}

fn build_of(endpoint: &name::Endpoint) -> &'static str {
    let place: usize = endpoint
        .as_str()
        .strip_prefix("i-")
        .unwrap()
        .parse()
        .unwrap();
    BUILDS[place]
}

/// Guards against a way of choosing that forgets the build: by slots, or by a prompt's prefix.
#[test]
fn a_request_of_a_build_is_granted_its_endpoints_only() {
    for placed in [false, true] {
        let mut dispatcher = dispatcher(16);
        for number in 0..32 {
            let build = ["v1", "v2"][(number % 2) as usize];
            let orders = request(&mut dispatcher, number, Some(build), placed);
            let [Order::Grant(_, endpoint)] = &orders[..] else {
                panic!("no grant: {orders:?}");
            };
            assert_eq!(build_of(endpoint), build, "placed: {placed}");
        }
    }
}

/// Guards against a request that waits for its build and holds up those that could start.
#[test]
fn a_request_that_waits_for_its_build_holds_up_no_other() {
    let mut dispatcher = dispatcher(1);
    for number in 0..2 {
        request(&mut dispatcher, number, Some("v1"), false);
    }
    assert_eq!(request(&mut dispatcher, 2, Some("v1"), false), []);
    let orders = request(&mut dispatcher, 3, None, false);
    let [Order::Grant(_, endpoint)] = &orders[..] else {
        panic!("no grant: {orders:?}");
    };
    assert_eq!(build_of(endpoint), "v2");
    let end = Report::End(
        Attempt::first(Request(0)),
        scalewood::core::dispatch::End::Done,
        unit::Tokens(1),
    );
    let orders = dispatcher.step(Input::Report(own(), end), START);
    let granted: Vec<_> = orders.into_iter().map(|(_, order)| order).collect();
    assert!(
        matches!(&granted[..], [Order::Grant(attempt, _)] if attempt.request == Request(2)),
        "{granted:?}"
    );
}

/// Guards against a caller that waits until its deadline for a build that nobody serves.
#[test]
fn a_request_of_a_build_without_endpoints_is_refused_at_once() {
    let mut dispatcher = dispatcher(4);
    let orders = request(&mut dispatcher, 1, Some("v3"), true);
    assert!(
        matches!(&orders[..], [Order::Shed(_, Reason::Build, _)]),
        "{orders:?}"
    );
    // It is also refused when the last endpoint of its build goes while it waits.
    for number in 2..10 {
        request(&mut dispatcher, number, Some("v1"), false);
    }
    assert_eq!(request(&mut dispatcher, 20, Some("v1"), false), []);
    let gone: Vec<name::Endpoint> = ["i-0", "i-1"].map(|name| name.parse().unwrap()).into();
    let orders = dispatcher.step(Input::EndpointsChanged(Vec::new(), gone), START);
    let shed = orders.iter().filter(|(_, order)| {
        matches!(order, Order::Shed(attempt, Reason::Build, _) if attempt.request == Request(20))
    });
    assert_eq!(shed.count(), 1, "{orders:?}");
}
