//! The pace of endpoints: how it is measured despite load, agreed between boxes, and used to find
//! slow endpoints.

use std::{sync::Arc, time::Duration};

use scalewood::{
    board::view::View,
    core::{
        dispatch::Input,
        name,
        pace::{classify, EndpointPace, Meter, Meters, Pace, Reports, Sampler},
        region,
        registry::{Record, Registry, State},
        unit,
    },
    store::hints,
};

const START: Duration = Duration::from_secs(100);

/// Feeds a meter with a stream whose events are `steady` apart; in every fifth group they are
/// `stalled` apart, as happens while a prompt is prefilled on the same endpoint.
fn measure(meter: &mut Meter, steady: Duration, stalled: Duration, events: u32) {
    let mut stream = Sampler::default();
    let mut now = START;
    for number in 0..events {
        let busy = number / 8 % 5 == 0;
        now += if busy { stalled } else { steady };
        if let Some(pace) = stream.record_event(now) {
            meter.observe(pace, now);
        }
    }
}

#[test]
fn prompts_that_are_read_beside_do_not_make_an_endpoint_slow() {
    let mut meter = Meter::default();
    let (steady, stalled) = (Duration::from_millis(20), Duration::from_millis(105));
    measure(&mut meter, steady, stalled, 200);
    assert_eq!(meter.pace(), Some(steady.into()));
}

#[test]
fn events_that_arrive_together_do_not_make_an_endpoint_fast() {
    let mut meter = Meter::default();
    let mut stream = Sampler::default();
    let mut now = START;
    for number in 0..400 {
        // Events leave 20 ms apart and arrive in pairs.
        now += Duration::from_millis(if number % 2 == 0 { 40 } else { 0 });
        if let Some(pace) = stream.record_event(now) {
            meter.observe(pace, now);
        }
    }
    assert_eq!(meter.pace(), Some(Duration::from_millis(20).into()));
}

#[test]
fn one_box_that_measures_wrongly_changes_nothing() {
    let mut reports = Reports::default();
    let box_name = |n: u32| -> name::Box { format!("e{n}").parse().unwrap() };
    for n in 0..4 {
        reports.record(box_name(n), Pace(20_000 + n));
    }
    assert_eq!(reports.record(box_name(9), Pace(3)), Pace(20_001));
}

#[test]
fn slow_endpoints_are_told_from_busy_ones_and_the_verdict_does_not_flap() {
    let paces = [19_400, 19_900, 20_800, 25_300];
    let mut graded: Vec<_> = paces.iter().map(|p| (Some(Pace(*p)), false)).collect();
    classify(&mut graded);
    let slow: Vec<_> = graded.iter().map(|(_, slow)| *slow).collect();
    assert_eq!(slow, [false, false, false, true]);
    graded[3].0 = Some(Pace(22_300));
    classify(&mut graded);
    assert!(graded[3].1, "a slight improvement is not enough");
    graded[3].0 = Some(Pace(20_000));
    classify(&mut graded);
    assert!(!graded[3].1);
    let mut few = [(Some(Pace(10)), false), (Some(Pace(90)), false)];
    classify(&mut few);
    assert!(!few[1].1, "two endpoints are too few to compare");
}

fn record(name: &str, zone: &str) -> Record {
    Record {
        name: name.parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: zone.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: unit::Slots(4),
        state: State::Ready,
        sequence: 1,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
    }
}

/// Returns the endpoints in the order that is the same at all boxes, and whether each is slow.
fn order(registry: &Registry) -> Vec<(String, bool)> {
    let view = View::new(unit::Revision(1), Arc::default());
    let (service, zone) = ("lm".parse().unwrap(), "a".parse().unwrap());
    let Input::Configure(specs, _) =
        view.configure_input(&service, &zone, registry, &region::Map::default())
    else {
        panic!("a configuration is expected");
    };
    let mut specs = specs;
    specs.sort_by_key(|spec| spec.rank);
    let specs = specs.iter();
    specs
        .map(|spec| (spec.name.to_string(), spec.slow))
        .collect()
}

#[test]
fn slow_endpoints_are_marked_for_all_boxes_and_the_order_stays() {
    let mut registry = Registry::default();
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")] {
        registry.merge(record(name, zone), START);
    }
    let initial_order = ["a1", "b1", "a2", "b2"].map(|name| (name.to_owned(), false));
    assert_eq!(order(&registry), initial_order);
    let stamp = registry.stamp();
    let paces = [
        ("a1", 26_000),
        ("a2", 20_000),
        ("b1", 20_100),
        ("b2", 19_900),
    ];
    let changed: Vec<_> = paces
        .iter()
        .map(|(name, pace)| registry.set_pace(&name.parse().unwrap(), Pace(*pace)))
        .collect();
    assert_eq!(changed, [true; 4], "each pace was unknown before");
    assert!(registry.regrade(), "one endpoint is slow");
    let mut marked = initial_order;
    marked[0].1 = true;
    assert_eq!(order(&registry), marked);
    assert_eq!(registry.paces_since(stamp).len(), paces.len());
    let stamp = registry.stamp();
    registry.set_pace(&"b1".parse().unwrap(), Pace(20_200));
    assert!(
        registry.paces_since(stamp).is_empty(),
        "the change is too small to report"
    );
    registry.set_pace(&"a1".parse().unwrap(), Pace(25_000));
    assert!(!registry.regrade(), "it is still slow");
    registry.set_pace(&"a1".parse().unwrap(), Pace(20_000));
    assert!(registry.regrade(), "it is no longer slow");
}

#[test]
fn a_box_that_has_just_started_takes_over_what_others_measured() {
    let mut meters = Meters::default();
    let (service, fast) = ("lm".parse().unwrap(), "a1".parse().unwrap());
    meters.adopt(&fast, Pace(20_000), START);
    let known: Vec<_> = meters.known().collect();
    assert_eq!(known, [(&fast, Pace(20_000))]);
    // Streams that stall right after the start do not make the endpoint slow.
    for _ in 0..60 {
        meters.observe(&service, &fast, Pace(31_000), false, START);
    }
    assert_eq!(meters.known().next(), Some((&fast, Pace(20_000))));
    // An own measurement is not replaced; otherwise an adopted pace would be passed on for ever.
    let slow = "b1".parse().unwrap();
    for _ in 0..60 {
        meters.observe(&service, &slow, Pace(26_000), false, START);
    }
    meters.adopt(&slow, Pace(19_000), START);
    assert!(meters.known().any(|known| known == (&slow, Pace(26_000))));
}

#[test]
fn a_pace_counts_from_an_endpoints_first_heartbeat_on() {
    let mut registry = Registry::default();
    for (name, pace) in [("a1", 26_000), ("a2", 20_000), ("b1", 20_100)] {
        assert!(registry.set_pace(&name.parse().unwrap(), Pace(pace)));
    }
    assert_eq!(
        registry.paces_since(0).len(),
        3,
        "paces are reported at once"
    );
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        registry.merge(record(name, zone), START);
    }
    registry.regrade();
    let slow: Vec<_> = registry
        .records_with_slowness()
        .filter(|(_, slow)| *slow)
        .collect();
    assert_eq!(slow.len(), 1);
    assert_eq!(slow[0].0.name.as_str(), "a1");
    registry.leave(&"a1".parse().unwrap());
    assert_eq!(registry.paces_since(0).len(), 2);
    assert!(
        !registry.set_pace(&"a1".parse().unwrap(), Pace(26_000)),
        "it has left"
    );
}

#[test]
fn paces_of_endpoints_that_are_not_known_make_room_first() {
    let mut registry = Registry::default();
    registry.merge(record("known", "a"), START);
    registry.set_pace(&"known".parse().unwrap(), Pace(20_000));
    // Endpoints that crashed are never reported to have left.
    for number in 0..40_000 {
        let name = format!("crashed-{number}").parse().unwrap();
        assert!(registry.set_pace(&name, Pace(20_000)), "{number}");
    }
    assert_eq!(registry.paces_since(0).len(), 32_768);
    assert!(registry.knows(&"crashed-39999".parse().unwrap()));
    assert!(!registry.knows(&"crashed-0".parse().unwrap()));
    let kept = registry.paces_since(0);
    assert!(kept.iter().any(|paced| paced.endpoint.as_str() == "known"));
}

#[test]
fn measurements_outlast_a_restart_and_a_file_that_is_torn_counts_for_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let place = hints::Store::new(dir.path());
    assert_eq!(place.load().unwrap(), hints::Hints::default());
    let paced = |name: &str, pace| EndpointPace {
        endpoint: name.parse().unwrap(),
        pace: Pace(pace),
    };
    let kept = hints::Hints {
        paces: vec![paced("a1", 26_000), paced("a2", 20_000)],
        ..hints::Hints::default()
    };
    place.save(&kept).unwrap();
    assert_eq!(place.load().unwrap(), kept);
    let path = dir.path().join("hints.json");
    let text = std::fs::read(&path).unwrap();
    std::fs::write(&path, &text[..text.len() / 2]).unwrap();
    assert!(place.load().is_err());
    place.save(&kept).unwrap();
    assert_eq!(place.load().unwrap(), kept);
}

/// The layout that dispatchers depend on changes with records and with which endpoints are slow,
/// but not with each measured pace.
#[test]
fn a_pace_that_changes_nothing_else_leaves_the_layout() {
    let mut registry = Registry::default();
    for name in ["a", "b", "c"] {
        registry.merge(record(name, "z"), START);
    }
    let layout = registry.dispatch_stamp();
    assert!(registry.set_pace(&"a".parse().unwrap(), Pace(1000)));
    assert_eq!(registry.dispatch_stamp(), layout);
    assert!(registry.stamp() > layout, "the pace is reported to others");
    registry.leave(&"a".parse().unwrap());
    assert!(registry.dispatch_stamp() > layout);
}

/// Comparing paces one change at a time must give the same result as comparing all at once.
#[test]
fn endpoints_that_are_compared_one_by_one_are_graded_as_all_at_once() {
    let mut random: u64 = 7;
    let mut next = |bound: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % bound
    };
    let mut registry = Registry::default();
    let mut paces = std::collections::BTreeMap::new();
    let mut slow = std::collections::BTreeMap::new();
    for _ in 0..2000 {
        let name = format!("i-{}", next(60));
        let parsed = name.parse().unwrap();
        if registry.get(&parsed).is_none() {
            registry.merge(record(&name, "a"), START);
        }
        let pace = Pace(u32::try_from(18_000 + next(9_000)).unwrap());
        let known = paces.get(&name).copied();
        if pace.differs_enough(known) {
            paces.insert(name.clone(), pace);
        }
        registry.set_pace(&parsed, pace);
        registry.regrade();
        if pace.differs_enough(known) {
            let mut graded: Vec<_> = paces
                .iter()
                .map(|(name, pace)| (Some(*pace), slow.get(name).copied().unwrap_or(false)))
                .collect();
            classify(&mut graded);
            let names = paces.keys().cloned();
            slow = names
                .zip(graded.into_iter().map(|(_, slow)| slow))
                .collect();
        }
        for (record, is_slow) in registry.records_with_slowness() {
            let expected = slow.get(record.name.as_str()).copied().unwrap_or(false);
            assert_eq!(is_slow, expected, "{}", record.name);
        }
    }
    assert!(slow.values().any(|slow| *slow));
}

/// Guards against boxes that report paces received from the voters back to them as their own
/// measurements. With 985 boxes and 9,468 endpoints this takes most of a voter's memory and of a
/// box's processor time.
#[test]
fn a_box_tells_what_it_measured_alone_and_each_change_once() {
    let mut meters = Meters::default();
    let service = "lm".parse().unwrap();
    for number in 0..1000 {
        let name = format!("i-{number}").parse().unwrap();
        meters.adopt(&name, Pace(20_000), START);
    }
    assert!(meters.measured_since(0).0.is_empty());
    let own = "i-7".parse().unwrap();
    let mut measure = |pace| {
        for _ in 0..60 {
            meters.observe(&service, &own, Pace(pace), false, START);
        }
        meters.clone()
    };
    let (told, stamp) = measure(19_000).measured_since(0);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].endpoint, own);
    assert_eq!(told[0].pace, Pace(19_000));
    assert!(
        measure(18_900).measured_since(stamp).0.is_empty(),
        "the change is too small to report"
    );
    let mut meters = measure(15_000);
    assert_eq!(meters.measured_since(stamp).0[0].pace, Pace(15_000));
    assert_eq!(meters.measured_since(0).0.len(), 1);
    meters.forget(&own);
    assert!(meters.measured_since(0).0.is_empty());
}
