//! The registry: endpoints whose heartbeats are late, repeated or the last before they leave.

use std::time::Duration;

use scalewood::core::{
    registry::{Merged, Record, Registry, RestoredRecords, StampRange, State, Timing},
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
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: None,
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
    // Another voter may hear only that the endpoint has left.
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
    // A heartbeat that changes nothing is not told.
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
    registry.record_heard(&"b".parse().unwrap(), later);
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
    assert_eq!(
        again,
        Merged::Nothing,
        "an endpoint that has left stays away"
    );
    let restored = Timing::default().restored_timeout();
    let before = START + restored - Duration::from_millis(1);
    assert!(registry.expire_restored(before).is_empty());
    let expired = registry.expire_restored(START + restored);
    let names: Vec<_> = expired.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(names, ["lost"]);
    let held: Vec<_> = registry.records().map(|r| r.name.as_str()).collect();
    assert_eq!(held, ["back"]);
}

fn at(address: &str, name: &str, sequence: u64) -> Record {
    Record {
        address: address.parse().unwrap(),
        ..record(name, sequence, State::Ready)
    }
}

/// Returns for each of some endpoints whether it counts as displaced.
fn displaced(registry: &Registry, names: &[&str]) -> Vec<bool> {
    let displaced = |name: &&str| registry.displaced_by(&name.parse().unwrap()).is_some();
    names.iter().map(displaced).collect()
}

#[test]
fn a_late_heartbeat_does_not_bring_back_what_crashed_at_the_same_address() {
    // The old endpoint ran for a minute, and its last heartbeat was delayed by four seconds.
    let (old, new) = (at("10.0.0.1:80", "old", 50), at("10.0.0.1:80", "new", 1));
    let later = START + Duration::from_secs(3);
    let mut registry = Registry::default();
    registry.merge(new.clone(), START);
    registry.merge(old.clone(), later);
    registry.merge(at("10.0.0.2:80", "other", 1), later);
    assert_eq!(
        displaced(&registry, &["old", "new", "other"]),
        [true, false, false]
    );
    // Another voter may hear of them in the other order, and after further heartbeats of the new
    // one.
    let mut other = Registry::default();
    other.merge(at("10.0.0.1:80", "old", 48), START);
    assert_eq!(displaced(&other, &["old"]), [false]);
    other.merge(new, later);
    other.merge(old, later + Duration::from_secs(1));
    other.merge(at("10.0.0.1:80", "new", 5), later + Duration::from_secs(5));
    assert_eq!(displaced(&other, &["old", "new"]), [true, false]);
    assert_eq!(
        other.displaced_by(&"old".parse().unwrap()),
        Some(&"new".parse().unwrap())
    );
    // After the new endpoint has left, the old one is no longer displaced from the address.
    other.leave(&"new".parse().unwrap());
    assert_eq!(displaced(&other, &["old"]), [false]);
}

#[test]
fn what_is_only_remembered_gives_way_to_what_is_heard_of() {
    let mut registry = Registry::default();
    registry.restore(at("10.0.0.1:80", "before", 0), START);
    registry.merge(at("10.0.0.1:80", "now", 40), START);
    assert_eq!(displaced(&registry, &["before", "now"]), [true, false]);
}

#[test]
fn an_endpoint_that_was_taken_for_a_displaced_one_is_used_again_soon() {
    // The earlier endpoint ran for a second, and its heartbeat came seven seconds late.
    let mut registry = Registry::default();
    registry.merge(at("10.0.0.1:80", "new", 1), START);
    let late = START + Duration::from_secs(5);
    registry.merge(at("10.0.0.1:80", "short", 1), late);
    assert_eq!(displaced(&registry, &["new"]), [true]);
    registry.record_heard(&"new".parse().unwrap(), late + Duration::from_secs(6));
    registry.expire(late + Duration::from_secs(1));
    assert_eq!(displaced(&registry, &["new"]), [false]);
}

/// A leaving endpoint says so in each of its answers, while its heartbeats may arrive late and in
/// any order.
#[test]
fn what_an_endpoint_said_of_leaving_in_an_answer_is_taken_back_by_a_new_start_alone() {
    let heartbeat = |sequence, incarnation| Record {
        incarnation: Some(unit::Incarnation(incarnation)),
        ..record("i", sequence, State::Ready)
    };
    let start = |number| Some(unit::Incarnation(number));
    let name = "i".parse().unwrap();
    let state = |registry: &Registry| registry.get(&name).map(|record| record.state);
    let mut registry = Registry::default();
    // The endpoint is not known yet.
    assert_eq!(registry.record_leaving(&name, start(1)), Merged::Nothing);
    registry.merge(heartbeat(5, 1), START);
    let stamp = registry.stamp();
    assert_eq!(registry.record_leaving(&name, start(1)), Merged::Changed);
    assert_eq!(state(&registry), Some(State::Leaving));
    assert_eq!(registry.leaving_since(stamp).len(), 1);
    assert_eq!(registry.record_leaving(&name, start(1)), Merged::Nothing);
    // Heartbeats from before the answer, and from after it.
    for sequence in [4, 6, 60] {
        assert!(!registry
            .merge(heartbeat(sequence, 1), START)
            .must_propagate());
        assert_eq!(state(&registry), Some(State::Leaving));
    }
    // Another process that is told of it marks the endpoint as leaving too, whatever it has heard
    // before.
    let mut other = Registry::default();
    other.merge(heartbeat(61, 1), START);
    for told in registry.leaving_since(0) {
        assert_eq!(
            other.record_leaving(&told.name, told.start),
            Merged::Changed
        );
    }
    assert_eq!(state(&other), Some(State::Leaving));
    // The next incarnation has not said that it leaves; what the earlier one said is told late.
    assert_eq!(registry.merge(heartbeat(1, 2), START), Merged::Restarted);
    assert_eq!(state(&registry), Some(State::Ready));
    assert_eq!(registry.record_leaving(&name, start(1)), Merged::Nothing);
    assert_eq!(state(&registry), Some(State::Ready));
    assert!(registry.leaving_since(0).is_empty());
    // A leave removes the endpoint all the same.
    registry.record_leaving(&name, start(2));
    registry.leave(&name);
    assert_eq!(state(&registry), None);
}

/// Boxes forget an endpoint after 7 s without news of it, voters after 30 s. If voters stall for a
/// time in between, such as 16 s, the next heartbeat changes nothing in their records. A voter that
/// then told boxes only the name that it had heard would leave them without a record of it, and
/// they would refuse each call from then on for want of an endpoint.
#[test]
fn an_endpoint_that_was_silent_for_so_long_that_boxes_forgot_it_is_told_anew() {
    const FORGET_AFTER: Duration = Duration::from_secs(7);
    let (mut voter, mut own) = (Registry::default(), Registry::default());
    let name = "i".parse().unwrap();
    voter.merge(record("i", 1, State::Ready), START);
    let mut stamp = 0;
    let mut tell = |voter: &Registry, own: &mut Registry, now| {
        for record in voter.records_since(stamp, now) {
            own.merge(record, now);
        }
        own.record_heard(&name, now);
        stamp = voter.stamp();
    };
    tell(&voter, &mut own, START);
    // Heartbeats that arrive in time change nothing, and are not told.
    let before = voter.stamp();
    let second = START + Duration::from_millis(1200);
    assert_eq!(
        voter.merge(record("i", 2, State::Ready), second),
        Merged::Alive
    );
    assert_eq!(voter.stamp(), before);
    tell(&voter, &mut own, second);
    let later = second + FORGET_AFTER + Duration::from_secs(1);
    assert_eq!(own.expire(later.saturating_sub(FORGET_AFTER)).len(), 1);
    voter.merge(record("i", 3, State::Ready), later);
    tell(&voter, &mut own, later);
    assert!(own.get(&name).is_some(), "the box knows the endpoint again");
}

fn at_place(number: u32, sequence: u64) -> Record {
    Record {
        address: format!("10.{}.{}.1:80", number / 256, number % 256)
            .parse()
            .unwrap(),
        ..record(&format!("i-{number}"), sequence, State::Ready)
    }
}

/// The cost of a change does not grow with the number of endpoints: a record is compared only with
/// those at its address, and a follower is told only what changed.
#[test]
fn a_change_looks_at_no_other_endpoint() {
    for endpoints in [100, 20_000] {
        let mut registry = Registry::default();
        for number in 0..endpoints {
            registry.merge(at_place(number, 1), START);
        }
        let address = at_place(7, 1).address;
        assert_eq!(registry.at_address(address).len(), 1, "{endpoints}");
        let stamp = registry.stamp();
        let leaving = Record {
            state: State::Leaving,
            ..at_place(7, 2)
        };
        registry.merge(leaving, START);
        registry.leave(&"i-8".parse().unwrap());
        assert_eq!(registry.changed_since(stamp).len(), 1, "{endpoints}");
        assert_eq!(registry.gone_since(stamp).len(), 1, "{endpoints}");
        assert_eq!(registry.at_address(at_place(8, 1).address).len(), 0);
        // Another endpoint at the address of the first one is found, and no others.
        let later = Record {
            address,
            ..record("later", 1, State::Ready)
        };
        registry.merge(later, START + Duration::from_secs(60));
        assert_eq!(registry.at_address(address).len(), 2, "{endpoints}");
        assert_eq!(registry.displaced().len(), 1, "{endpoints}");
    }
}

/// All records in one message take more than two seconds over a slow link, during which the box
/// hears nothing else. They are therefore told in parts.
#[test]
fn all_records_are_told_in_parts_that_lose_none() {
    const PART_RECORDS: usize = 256;
    let mut registry = Registry::default();
    for number in 0..2000 {
        registry.merge(at_place(number, 1), START);
    }
    for number in 0..600 {
        registry.leave(&format!("i-{number}").parse().unwrap());
    }
    let mut other = Registry::default();
    let mut after = 0;
    while after < registry.stamp() {
        let to = registry.stamp_within(after, PART_RECORDS);
        assert!(to > after);
        let span = StampRange { after, to };
        let (changed, gone) = (registry.changed_since(span), registry.gone_since(span));
        assert!(changed.len() <= PART_RECORDS && gone.len() <= PART_RECORDS);
        for record in changed {
            other.merge(record, START);
        }
        other.apply_ends(&gone, &registry.ended_since(span), &[]);
        after = to;
    }
    let names =
        |registry: &Registry| -> Vec<_> { registry.records().map(|r| r.name.clone()).collect() };
    assert_eq!(names(&other), names(&registry));
}

/// Guards against voters that start together and exceed their memory limit: if each told the others
/// all records that it remembered, including those that it had heard from them, and took these for
/// new each time, the exchange would never end.
#[test]
fn voters_that_start_together_tell_each_other_once_what_they_remember() {
    const VOTERS: u32 = 4;
    let until = START + Duration::from_secs(3);
    let remembered = |voter| (0..10).map(|n| at_place(voter * 10 + n, 0)).collect();
    let mut voters: Vec<_> = (0..VOTERS)
        .map(|voter| RestoredRecords::new(remembered(voter), until))
        .collect();
    let mut told = [[0; VOTERS as usize]; VOTERS as usize];
    let mut messages = 0;
    for _ in 0..50 {
        for from in 0..voters.len() {
            for to in 0..voters.len() {
                let records = voters[from].for_voter(&mut told[from][to], START);
                messages += usize::from(!records.is_empty());
                if from != to {
                    voters[to].take(records, START);
                }
            }
        }
    }
    assert_eq!(messages, voters.len() * voters.len());
    for voter in &voters {
        let mut told = 0;
        assert_eq!(
            voter.for_box(&mut told, START).len(),
            40,
            "boxes are told all records"
        );
        assert!(
            voter.for_box(&mut told, START).is_empty(),
            "they are told once"
        );
        assert!(voter.for_box(&mut 0, until).is_empty());
    }
}

/// Guards against a build that counts as long gone when its last endpoint has just ended, as no
/// heartbeat was merged here for long: a process that is only told of changes merges few.
#[test]
fn a_build_is_remembered_from_the_end_of_its_last_endpoint_on() {
    let of_build = |name: &str, build: &str| Record {
        build: build.parse().unwrap(),
        ..record(name, 1, State::Ready)
    };
    let mut registry = Registry::new(Timing::default());
    let voucher = registry.register_voucher(&"c1".parse().unwrap()).unwrap();
    let service = record("a", 1, State::Ready).service;
    let start = Duration::from_secs(1000);
    registry.merge(of_build("a", "v1"), start);
    registry.merge(of_build("b", "v2"), start);
    let end = start + Duration::from_secs(300);
    for name in ["a", "b"] {
        registry.vouch_for(&name.parse().unwrap(), voucher);
    }
    registry.record_vouch(voucher, end);
    registry.end(&"a".parse().unwrap(), None);
    let builds = |registry: &Registry, since| registry.builds_since(&service, since).len();
    assert_eq!(builds(&registry, end - Duration::from_secs(25)), 2);
    assert_eq!(builds(&registry, end + Duration::from_secs(1)), 1);
}
