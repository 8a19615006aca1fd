//! The registry: endpoints that announce themselves, late, twice and for the last time.

use std::time::Duration;

use scalewood::core::{
    registry::{Merged, Record, Registry, State, RESTORED},
    unit,
};

fn record(name: &str, sequence: u64, state: State) -> Record {
    Record {
        name: name.parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: unit::Slots(4),
        state,
        sequence,
    }
}

const START: Duration = Duration::from_secs(100);

#[test]
fn a_late_heartbeat_does_not_bring_a_leaving_endpoint_back() {
    let mut registry = Registry::default();
    assert_eq!(
        registry.merge(record("i", 1, State::Ready), START),
        Merged::Changed
    );
    assert_eq!(
        registry.merge(record("i", 3, State::Leaving), START),
        Merged::Changed
    );
    assert_eq!(
        registry.merge(record("i", 2, State::Ready), START),
        Merged::Nothing
    );
    let held = registry.get(&"i".parse().unwrap()).unwrap();
    assert_eq!(held.state, State::Leaving);
}

#[test]
fn an_endpoint_that_has_gone_stays_gone() {
    let mut registry = Registry::default();
    registry.merge(record("i", 1, State::Ready), START);
    assert_eq!(registry.leave(&"i".parse().unwrap()), Merged::Changed);
    assert_eq!(
        registry.merge(record("i", 9, State::Ready), START),
        Merged::Nothing
    );
    assert!(registry.get(&"i".parse().unwrap()).is_none());
    // Another voter may hear of its end only.
    let mut other = Registry::default();
    assert_eq!(other.leave(&"i".parse().unwrap()), Merged::Changed);
    assert_eq!(
        other.merge(record("i", 1, State::Ready), START),
        Merged::Nothing
    );
}

#[test]
fn followers_are_told_what_changed_since_their_stamp_and_nothing_twice() {
    let mut registry = Registry::default();
    registry.merge(record("a", 1, State::Ready), START);
    registry.merge(record("b", 1, State::Ready), START);
    let stamp = registry.stamp();
    assert_eq!(registry.changed_since(0).len(), 2);
    // A heartbeat that says nothing new is no news.
    assert_eq!(
        registry.merge(record("a", 2, State::Ready), START),
        Merged::Alive
    );
    assert!(registry.changed_since(stamp).is_empty());
    registry.merge(record("a", 3, State::Leaving), START);
    registry.leave(&"b".parse().unwrap());
    let changed: Vec<_> = registry.changed_since(stamp);
    assert_eq!(changed, [record("a", 3, State::Leaving)]);
    assert_eq!(registry.gone_since(stamp), ["b".parse().unwrap()]);
    assert!(registry.gone_since(registry.stamp()).is_empty());
}

#[test]
fn an_endpoint_that_nobody_hears_of_expires_and_may_come_back() {
    let mut registry = Registry::default();
    registry.merge(record("a", 1, State::Ready), START);
    registry.merge(record("b", 1, State::Ready), START);
    let later = START + Duration::from_secs(5);
    registry.hear(&"b".parse().unwrap(), later);
    let expired = registry.expire(later);
    assert_eq!(expired, [record("a", 1, State::Ready)]);
    assert!(registry.get(&"b".parse().unwrap()).is_some());
    assert_eq!(
        registry.merge(record("a", 2, State::Ready), later),
        Merged::Changed
    );
}

#[test]
fn an_endpoint_from_before_a_restart_is_used_until_it_should_have_been_heard_of() {
    let mut registry = Registry::default();
    for name in ["back", "lost", "went"] {
        let restored = registry.restore(record(name, 0, State::Ready), START);
        assert_eq!(restored, Merged::Changed);
    }
    assert_eq!(registry.records().count(), 3);
    registry.merge(record("back", 7, State::Ready), START);
    registry.leave(&"went".parse().unwrap());
    let again = registry.restore(record("went", 0, State::Ready), START);
    assert_eq!(again, Merged::Nothing, "what has gone stays gone");
    let before = START + RESTORED - Duration::from_millis(1);
    assert!(registry.expire_restored(before).is_empty());
    let expired = registry.expire_restored(START + RESTORED);
    let names: Vec<_> = expired.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["lost"]);
    let held: Vec<_> = registry.records().map(|r| r.name.as_str()).collect();
    assert_eq!(held, ["back"]);
}
