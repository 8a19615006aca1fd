//! Regions: calls of plain services stay in their region as long as it has free slots, and no
//! longer.

use std::collections::{BTreeMap, BTreeSet};

use scalewood::core::{
    config,
    dispatch::{Admission, Dispatcher, Input, Order, Report, Settings, Spec},
    name,
};

use crate::placement::{ask, START};

/// The zones and their regions.
const ZONES: [(&str, &str); 4] = [("a", "r0"), ("b", "r0"), ("c", "r1"), ("d", "r2")];
const SLOTS: u32 = 4;

/// Returns the dispatcher of a box in the first zone, with an endpoint in each zone.
fn dispatcher(region: Option<&str>) -> Dispatcher {
    let specs = ZONES
        .iter()
        .enumerate()
        .map(|(place, (zone, region))| Spec {
            name: format!("i-{zone}").parse().unwrap(),
            slots: SLOTS,
            leaving: false,
            in_other_zone: place > 0,
            rank: place,
            zone: zone.parse().unwrap(),
            slow: false,
            memory: None,
            admission: Admission {
                region: Some(region.parse().unwrap()),
                ..Admission::default()
            },
        });
    let settings = Settings {
        region: region.map(|region| region.parse().unwrap()),
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, START);
    let classes = BTreeMap::from([("short".parse().unwrap(), config::Class::default())]);
    dispatcher.step(Input::Configure(specs.collect(), classes), START);
    let own: name::Box = "e1".parse().unwrap();
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own.clone()])), START);
    dispatcher.step(Input::Report(own.clone(), Report::Hello), START);
    dispatcher.step(Input::Report(own, Report::Announced), START);
    dispatcher
}

/// Starts a number of calls, none of which ends. Returns the number of calls at each endpoint.
fn calls(dispatcher: &mut Dispatcher, count: u64) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for number in 0..count {
        let mut ask = ask(number, "short", number);
        ask.placement_key = None;
        let input = Input::Report("e1".parse().unwrap(), Report::Ask(ask));
        let orders = dispatcher.step(input, START);
        let [(_, Order::Grant(_, endpoint))] = orders.as_slice() else {
            panic!("no grant: {orders:?}");
        };
        *counts.entry(endpoint.to_string()).or_default() += 1;
    }
    counts
}

fn counts_at(places: &[(&str, u32)]) -> BTreeMap<String, u32> {
    let places = places.iter();
    places
        .map(|(name, count)| ((*name).to_owned(), *count))
        .collect()
}

#[test]
fn calls_take_the_slots_of_their_region_before_those_of_others() {
    // All slots of the region but the last one of its other zone.
    let near = u64::from(2 * SLOTS - 1);
    let all = [("i-a", SLOTS), ("i-b", SLOTS - 1)];
    assert_eq!(calls(&mut dispatcher(Some("r0")), near), counts_at(&all));
    let more = calls(&mut dispatcher(Some("r0")), near + 4);
    let elsewhere = more["i-c"] + more["i-d"];
    assert!(elsewhere >= 3, "the other regions take the rest: {more:?}");
}

#[test]
fn a_box_whose_region_is_not_known_goes_by_zones_alone() {
    let spread = calls(&mut dispatcher(None), u64::from(2 * SLOTS));
    assert_eq!(spread.len(), ZONES.len(), "{spread:?}");
}
