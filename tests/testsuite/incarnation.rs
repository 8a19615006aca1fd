//! Incarnations of endpoints: restarts under the same name, late heartbeats, and endpoints that
//! have gone.

use std::{collections::BTreeMap, time::Duration};

use scalewood::{
    core::{
        load::{Hub, Outcome, OutcomeCounts, Placement, Update},
        name, pace,
        prompt::Prefix,
        registry::{Ended, Merged, Record, Registry, State},
        unit,
    },
    store::hints,
    wire,
};

const START: Duration = Duration::from_secs(100);

pub(crate) fn record(name: &str, incarnation: u64, sequence: u64) -> Record {
    Record {
        name: name.parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: unit::Slots(4),
        state: State::Ready,
        sequence,
        interruptible: false,
        build: Default::default(),
        incarnation: (incarnation > 0).then_some(unit::Incarnation(incarnation)),
        warm_up: None,
    }
}

fn at(address: &str, record: Record) -> Record {
    Record {
        address: address.parse().unwrap(),
        ..record
    }
}

fn named(name: &str) -> name::Endpoint {
    name.parse().unwrap()
}

fn some_incarnation(number: u64) -> Option<unit::Incarnation> {
    Some(unit::Incarnation(number))
}

/// Returns the incarnation of each endpoint of a registry that is not displaced by another.
fn in_use(registry: &Registry) -> BTreeMap<String, u64> {
    let displaced = registry.displaced();
    let records = registry.records().filter(|r| !displaced.contains(&r.name));
    let of = |record: &Record| record.incarnation.map_or(0, |i| i.0);
    records.map(|r| (r.name.to_string(), of(r))).collect()
}

fn incarnations<const N: usize>(names: [(&str, u64); N]) -> BTreeMap<String, u64> {
    names.map(|(name, start)| (name.to_owned(), start)).into()
}

#[test]
fn a_later_start_takes_the_place_of_an_earlier_one() {
    let mut registry = Registry::default();
    assert_eq!(registry.merge(record("i", 5, 40), START), Merged::Changed);
    let stamp = registry.stamp();
    // The sequence numbers of a new incarnation start again.
    assert_eq!(registry.merge(record("i", 9, 1), START), Merged::Restarted);
    assert_eq!(registry.changed_since(stamp), [record("i", 9, 1)]);
    // Late heartbeats of the earlier incarnation are ignored, also one that says it is leaving.
    assert_eq!(registry.merge(record("i", 5, 41), START), Merged::Nothing);
    let leaving = Record {
        state: State::Leaving,
        ..record("i", 5, 42)
    };
    assert_eq!(registry.merge(leaving, START), Merged::Nothing);
    assert_eq!(registry.get(&named("i")), Some(&record("i", 9, 1)));
    assert_eq!(registry.merge(record("i", 9, 2), START), Merged::Alive);
}

#[test]
fn a_start_that_has_gone_stays_gone_and_a_later_one_is_used() {
    let mut registry = Registry::default();
    registry.merge(record("i", 5, 40), START);
    assert!(registry.leave(&named("i")).must_propagate());
    assert_eq!(registry.merge(record("i", 5, 41), START), Merged::Nothing);
    assert_eq!(registry.merge(record("i", 4, 90), START), Merged::Nothing);
    // A record without an incarnation counts as an earlier one.
    assert_eq!(registry.merge(record("i", 0, 99), START), Merged::Nothing);
    assert_eq!(registry.merge(record("i", 9, 1), START), Merged::Changed);
    // A voter that heard of the leave late tells it once more.
    assert_eq!(
        registry.end(&named("i"), some_incarnation(5)),
        Merged::Nothing
    );
    assert_eq!(in_use(&registry), incarnations([("i", 9)]));
    assert!(registry
        .end(&named("i"), some_incarnation(9))
        .must_propagate());
    assert_eq!(in_use(&registry), incarnations([]));
}

#[test]
fn the_leave_of_an_earlier_start_that_was_not_heard_of_does_not_end_a_later_one() {
    let mut registry = Registry::default();
    registry.merge(record("i", 9, 1), START);
    assert!(registry
        .end(&named("i"), some_incarnation(5))
        .must_propagate());
    assert!(registry.end(&named("i"), None) == Merged::Nothing);
    assert_eq!(in_use(&registry), incarnations([("i", 9)]));
    // Neither does a leave without an incarnation.
    let mut other = Registry::default();
    other.merge(record("i", 9, 1), START);
    assert!(other.end(&named("i"), None).must_propagate());
    assert_eq!(in_use(&other), incarnations([("i", 9)]));
}

#[test]
fn a_voter_that_was_frozen_brings_no_earlier_start_back() {
    let later = START + Duration::from_secs(60);
    let mut registry = Registry::default();
    registry.merge(record("i", 9, 30), START);
    assert_eq!(registry.expire(later).len(), 1);
    // The records that the voter still has are told as if they were new.
    assert_eq!(registry.merge(record("i", 5, 80), later), Merged::Nothing);
    assert_eq!(registry.restore(record("i", 5, 0), later), Merged::Nothing);
    // The incarnation that was only silent comes back, as after a network partition.
    assert_eq!(registry.merge(record("i", 9, 31), later), Merged::Changed);
}

#[test]
fn a_leave_ends_the_start_that_is_known_when_it_comes() {
    // The endpoint has not announced itself at this voter.
    let mut voter = Registry::default();
    voter.merge(record("other", 1, 1), START);
    let stamp = voter.stamp();
    assert!(voter.leave(&named("i")).must_propagate());
    assert_eq!(voter.gone_since(stamp), [named("i")]);
    assert_eq!(voter.left_without_start_since(stamp), [named("i")]);
    assert_eq!(voter.ended_since(stamp), []);
    // A box has heard of the endpoint from another voter.
    let mut heard = Registry::default();
    heard.merge(record("i", 5, 40), START);
    let news = heard.apply_ends(
        &voter.gone_since(stamp),
        &[],
        &voter.left_without_start_since(stamp),
    );
    assert_eq!(news, [named("i")]);
    assert_eq!(in_use(&heard), incarnations([]));
    assert_eq!(heard.merge(record("i", 5, 41), START), Merged::Nothing);
    assert!(heard.merge(record("i", 9, 1), START).must_propagate());
    // A box that subscribes only now is not told of a leave of long ago.
    let mut new = Registry::default();
    new.merge(record("i", 9, 1), START);
    new.apply_ends(&voter.gone_since(0), &voter.ended_since(0), &[]);
    assert_eq!(in_use(&new), incarnations([("i", 9)]));
}

#[test]
fn a_leave_after_a_silence_ends_the_start_that_was_forgotten() {
    let mut voter = Registry::default();
    voter.merge(record("i", 9, 30), START);
    voter.expire(START + Duration::from_secs(60));
    let stamp = voter.stamp();
    assert!(voter.leave(&named("i")).must_propagate());
    let ended = Ended {
        name: named("i"),
        incarnation: unit::Incarnation(9),
    };
    let told = voter.ended_since(stamp);
    assert_eq!(told, [ended]);
    let mut heard = Registry::default();
    heard.merge(record("i", 9, 31), START);
    heard.apply_ends(&[], &told, &[]);
    assert_eq!(in_use(&heard), incarnations([]));
}

#[test]
fn of_two_at_one_address_the_later_start_holds_it() {
    let later = START + Duration::from_secs(8);
    let mut registry = Registry::default();
    // By its sequence number the earlier one has run for only a second, and it is heard last.
    registry.merge(record("new", 9, 50), START);
    registry.merge(record("old", 5, 1), later);
    assert_eq!(in_use(&registry), incarnations([("new", 9)]));
    // A record without an incarnation does not displace one that has an incarnation.
    registry.merge(record("stray", 0, 1), later);
    assert_eq!(in_use(&registry), incarnations([("new", 9)]));
    assert_eq!(registry.displaced_by(&named("stray")), Some(&named("new")));
    // Neither does a record that was restored after a power loss.
    registry.restore(record("before", 7, 0), later);
    assert_eq!(in_use(&registry), incarnations([("new", 9)]));
}

#[test]
fn names_and_addresses_change_owners_at_once() {
    let (one, two) = ("10.0.0.1:80", "10.0.0.2:80");
    let news = [
        at(one, record("a", 5, 40)),
        at(two, record("b", 6, 40)),
        at(two, record("a", 9, 1)),
        at(one, record("b", 10, 1)),
    ];
    for turn in 0..news.len() {
        let mut registry = Registry::default();
        let mut order = news.clone();
        order.rotate_left(turn);
        for record in order {
            registry.merge(record, START);
        }
        assert_eq!(
            in_use(&registry),
            incarnations([("a", 9), ("b", 10)]),
            "turn {turn}"
        );
        assert_eq!(registry.get(&named("a")).unwrap().address.to_string(), two);
    }
}

#[test]
fn an_endpoint_that_flaps_is_used_by_its_last_start() {
    let mut registry = Registry::default();
    for incarnation in 1..=20 {
        assert!(registry
            .merge(record("i", incarnation, 1), START)
            .must_propagate());
        registry.merge(record("i", incarnation, 2), START);
        if incarnation % 2 == 0 {
            assert!(registry
                .end(&named("i"), some_incarnation(incarnation))
                .must_propagate());
        }
        let late = registry.merge(record("i", incarnation - 1, 99), START);
        assert_eq!(late, Merged::Nothing, "start {incarnation}");
        let expected = (incarnation % 2 == 1).then_some(some_incarnation(incarnation));
        let held = registry.get(&named("i")).map(|held| held.incarnation);
        assert_eq!(held, expected);
    }
}

#[test]
fn what_two_writers_say_under_one_number_ends_the_same_in_either_order() {
    let one = record("i", 5, 7);
    let other = at("10.0.0.9:80", record("i", 5, 7));
    let (mut first, mut second) = (Registry::default(), Registry::default());
    for record in [&one, &other] {
        first.merge(record.clone(), START);
    }
    for record in [&other, &one] {
        second.merge(record.clone(), START);
    }
    assert_eq!(first.get(&named("i")), second.get(&named("i")));
}

#[test]
fn a_pace_ends_with_its_start() {
    let mut registry = Registry::default();
    registry.merge(record("i", 5, 1), START);
    registry.set_pace(&named("i"), pace::Pace(500));
    registry.merge(record("i", 9, 1), START);
    assert!(registry.paces_since(0).is_empty());
    // The pace is measured again, also after an earlier incarnation has ended.
    registry.end(&named("i"), some_incarnation(5));
    assert!(registry.set_pace(&named("i"), pace::Pace(100)));
}

/// Returns the news of one failure and one placement. A box that reports many failures and nothing
/// else would count as cut off itself.
fn outcome() -> Update {
    let count = OutcomeCounts {
        answered: 0,
        failed: 1,
    };
    Update {
        outcomes: vec![Outcome {
            endpoint: named("i"),
            count,
        }],
        placements: vec![Placement {
            prefix: Prefix(7),
            endpoint: named("i"),
        }],
        ..Update::default()
    }
}

#[test]
fn a_hub_ends_what_it_believes_of_an_earlier_start() {
    let mut hub = Hub::default();
    let (one, other): (name::Box, name::Box) = ("e1".parse().unwrap(), "e2".parse().unwrap());
    hub.exchange(&other, true, Update::default(), START);
    let told = hub.exchange(&one, true, outcome(), START).update;
    assert_eq!(told.risks.len(), 1);
    hub.forget_earlier_starts(&named("i"));
    let heard = hub.exchange(&other, false, Update::default(), START).update;
    assert!(heard.risks.is_empty(), "{heard:?}");
    assert!(heard.placements.is_empty(), "{heard:?}");
    // A box that was told of the risk is told that it has ended.
    let heard = hub.exchange(&one, false, Update::default(), START).update;
    assert_eq!(heard.risks.len(), 1);
    assert_eq!(heard.risks[0].chance.0, 0);
}

#[test]
fn news_of_processes_that_know_no_incarnations_are_read() {
    let old = r#"{"gone":["i"],"heard":["j"],"revision":3,"followers":2}"#;
    let news: wire::registry::RegistryUpdate = serde_json::from_str(old).unwrap();
    assert_eq!((news.ended, news.left), (Vec::new(), Vec::new()));
    let old =
        r#"{"stamps":{"usage":0,"registry":4},"usage":[],"changed":[],"gone":["i"],"heard":[]}"#;
    let gathered: wire::registry::Gathered = serde_json::from_str(old).unwrap();
    assert_eq!(gathered.gone, [named("i")]);
    let kept = hints::Hints {
        endpoints: vec![record("i", 9, 0)],
        ..hints::Hints::default()
    };
    let text = serde_json::to_string(&kept).unwrap();
    assert_eq!(serde_json::from_str::<hints::Hints>(&text).unwrap(), kept);
}
