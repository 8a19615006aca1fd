//! Dispatchers with thousands of endpoints, where only the endpoints that change are passed on.

use std::{collections::BTreeMap, time::Duration};

use scalewood::core::{
    dispatch::{Admission, Dispatcher, Input, Settings, Spec},
    load::{EndpointLoad, Load},
    name, unit,
};

const NOW: Duration = Duration::from_secs(1000);

fn endpoint(number: u32) -> name::Endpoint {
    format!("i-{number}").parse().unwrap()
}

fn spec(number: u32) -> Spec {
    Spec {
        name: endpoint(number),
        slots: 4,
        leaving: false,
        in_other_zone: false,
        rank: number as usize,
        zone: "z".parse().unwrap(),
        slow: false,
        memory: Some(unit::Tokens(1000)),
        admission: Admission::default(),
    }
}

fn dispatcher(endpoints: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Settings::default(), NOW);
    let specs = (0..endpoints).map(spec).collect();
    dispatcher.step(Input::Configure(specs, BTreeMap::new()), NOW);
    dispatcher
}

/// Returns, for each endpoint, how many requests it may run and whether it is leaving.
fn views(dispatcher: &Dispatcher) -> BTreeMap<name::Endpoint, (u32, bool)> {
    let views = dispatcher.endpoints().into_iter();
    views
        .map(|view| (view.name, (view.allowed, view.leaving)))
        .collect()
}

/// During a rolling release of thousands of endpoints a few change at any moment. Passing on only
/// these must lead to the same state as configuring all endpoints again.
#[test]
fn endpoints_that_change_one_by_one_end_as_if_all_were_configured() {
    for endpoints in [5, 100, 3000] {
        let mut by_changes = dispatcher(endpoints);
        let mut specs: BTreeMap<_, _> = (0..endpoints).map(|n| (n, spec(n))).collect();
        for number in 0..endpoints.min(60) {
            let left = specs.remove(&number).map(|spec| spec.name);
            let mut leaving = spec(number + 1);
            leaving.leaving = true;
            let started = spec(endpoints + number);
            specs.insert(number + 1, leaving.clone());
            specs.insert(endpoints + number, started.clone());
            let gone = left.into_iter().collect();
            let changed = Input::EndpointsChanged(vec![leaving, started], gone);
            by_changes.step(changed, NOW);
            by_changes.step(Input::Tick, NOW);
        }
        let mut at_once = dispatcher(endpoints);
        let all = specs.into_values().collect();
        at_once.step(Input::Configure(all, BTreeMap::new()), NOW);
        assert_eq!(views(&by_changes), views(&at_once), "{endpoints}");
        assert_eq!(by_changes.summary(NOW).slots, at_once.summary(NOW).slots);
    }
}

/// A box may receive the load of an endpoint before it learns of the endpoint, and after the
/// endpoint has gone.
#[test]
fn a_load_that_is_heard_first_counts_once_its_endpoint_is_known() {
    let loaded = |number, running| EndpointLoad {
        endpoint: endpoint(number),
        load: Load {
            running,
            ..Load::default()
        },
    };
    let mut dispatcher = dispatcher(2);
    dispatcher.step(Input::OtherLoads(Some(BTreeMap::new())), NOW);
    dispatcher.step(
        Input::OtherLoadsChanged(vec![loaded(7, 4), loaded(8, 2)]),
        NOW,
    );
    dispatcher.step(Input::OtherLoadsChanged(vec![loaded(8, 0)]), NOW);
    dispatcher.step(
        Input::EndpointsChanged(vec![spec(7), spec(8)], Vec::new()),
        NOW,
    );
    let views = dispatcher.endpoints().into_iter();
    let others: BTreeMap<_, _> = views.map(|view| (view.name, view.others)).collect();
    assert_eq!(others[&endpoint(7)], 4);
    assert_eq!(others[&endpoint(8)], 0);
}
