//! Homes of shared prefixes in a fleet of thousands of endpoints with few requests each: all boxes
//! find the same home without comparing all endpoints.

use std::collections::{BTreeMap, BTreeSet};

use scalewood::core::{
    config,
    dispatch::{Dispatcher, End, Input, Order, Report, Settings, Spec},
    name, unit,
};

use crate::placement::{ask, START};

const ZONES: usize = 6;
/// How many shared prefixes are checked.
const PREFIXES: u64 = 400;

fn spec(number: usize) -> Spec {
    Spec {
        name: format!("i-{number}").parse().unwrap(),
        slots: 32,
        leaving: false,
        in_other_zone: !number.is_multiple_of(ZONES),
        rank: number,
        zone: format!("z{}", number % ZONES).parse().unwrap(),
        slow: false,
        memory: Some(unit::Tokens(459_000)),
        admission: Default::default(),
    }
}

/// Returns the dispatcher of the box `name`, configured with the endpoints in the given order.
fn dispatcher(name: &str, numbers: &[usize]) -> Dispatcher {
    let own: name::Box = name.parse().unwrap();
    let settings = Settings {
        seed: name.len() as u64,
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, START);
    let specs = numbers.iter().map(|number| spec(*number)).collect();
    let class = ("short".parse().unwrap(), config::Class::default());
    dispatcher.step(Input::Configure(specs, BTreeMap::from([class])), START);
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own.clone()])), START);
    dispatcher.step(Input::Report(own.clone(), Report::Hello), START);
    dispatcher.step(Input::Report(own, Report::Announced), START);
    dispatcher
}

/// Returns the home of each prefix, with one request for each.
fn homes(name: &str, numbers: &[usize]) -> Vec<usize> {
    let own: name::Box = name.parse().unwrap();
    let mut dispatcher = dispatcher(name, numbers);
    let home = |prefix: u64| {
        let hashed = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ask = ask(prefix, "short", hashed);
        let attempt = ask.attempt;
        let orders = dispatcher.step(Input::Report(own.clone(), Report::Ask(ask)), START);
        let [(_, Order::Grant(_, endpoint))] = orders.as_slice() else {
            panic!("no grant: {orders:?}");
        };
        for report in [
            Report::Started(attempt),
            Report::First(attempt),
            Report::End(attempt, End::Done, unit::Tokens(20)),
        ] {
            dispatcher.step(Input::Report(own.clone(), report), START);
        }
        endpoint.as_str()[2..].parse().unwrap()
    };
    (0..PREFIXES).map(home).collect()
}

#[test]
fn boxes_that_heard_of_endpoints_in_other_orders_find_the_same_homes() {
    for endpoints in [1000, 10_000] {
        let numbers: Vec<_> = (0..endpoints).collect();
        let reversed: Vec<_> = numbers.iter().rev().copied().collect();
        let found = homes("e1", &numbers);
        assert_eq!(found, homes("another", &reversed), "{endpoints}");
        let different: BTreeSet<_> = found.iter().collect();
        assert!(
            different.len() * 10 > found.len() * 8,
            "too few different homes"
        );
        let mut zones = BTreeMap::new();
        for home in &found {
            *zones.entry(home % ZONES).or_insert(0) += 1;
        }
        // No zone has twice its share of the homes.
        assert_eq!(zones.len(), ZONES);
        assert!(zones.values().all(|homes| *homes < 2 * found.len() / ZONES));
    }
}

/// When the home of a prefix moves, its cached tokens are lost. If a fiftieth of the endpoints
/// goes, about a fiftieth of the homes should move.
#[test]
fn few_homes_move_as_endpoints_go_and_come() {
    for endpoints in [1000, 10_000] {
        let all: Vec<_> = (0..endpoints).collect();
        let before = homes("e1", &all);
        let left: Vec<_> = all.iter().copied().filter(|n| n % 50 != 7).collect();
        let after = homes("e1", &left);
        let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
        assert!(moved <= before.len() / 50 * 3, "{endpoints}: {moved} moved");
        assert_eq!(
            homes("e1", &all),
            before,
            "the homes come back with the endpoints"
        );
    }
}

/// When a whole zone is lost, all prefixes have homes in the other zones.
#[test]
fn a_zones_loss_leaves_homes_for_all() {
    let left: Vec<_> = (0..10_000).filter(|n| n % ZONES != 3).collect();
    let found = homes("e1", &left);
    assert!(found.iter().all(|home| home % ZONES != 3));
}
