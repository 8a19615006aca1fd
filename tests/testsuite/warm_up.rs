//! Warm-up: which endpoints count as cold, which box may send to them, and at which rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use scalewood::core::{
    dispatch::{Admission, Dispatcher, End, Input, Order, Report, Settings, Spec},
    name,
    registry::{Merged, Record, Registry, State},
    unit,
    warm_up::{
        self, Leases, Leeway, Pass, Rate, Remaining, Source, Uncordoned, Warming, LEASE_DURATION,
    },
};

use crate::placement::{ask, START};

const RATE: Rate = Rate {
    takes_ms: 3000,
    per_second: 8.4,
};
const LEEWAY: Leeway = Leeway {
    factor: 1.5,
    slack: 5.0,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(sequence: u64, left: Option<u64>) -> Record {
    Record {
        name: "i".parse().unwrap(),
        service: "lm".parse().unwrap(),
        zone: "z".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        slots: unit::Slots(64),
        state: State::Ready,
        sequence,
        interruptible: false,
        build: Default::default(),
        incarnation: None,
        warm_up: left.map(Remaining),
    }
}

/// Returns the rest of the warm-up of the registry's endpoint, in milliseconds.
fn left(registry: &Registry, now: Duration) -> u128 {
    let belief = registry.warm_up(&"i".parse().unwrap()).unwrap();
    let until = belief.ends_at(&RATE, None, now);
    until.map_or(0, |(until, _)| (until - now).as_millis())
}

#[test]
fn what_is_left_is_told_once_and_told_on_with_its_age_taken_off() {
    let mut voter = Registry::default();
    voter.merge(record(1, Some(3000)), START);
    let stamp = voter.stamp();
    // Heartbeats that agree with what is known are no change, although the remaining time falls.
    assert_eq!(
        voter.merge(record(2, Some(1800)), START + ms(1200)),
        Merged::Alive
    );
    assert_eq!(voter.stamp(), stamp);
    // A box that starts during the warm-up receives the time that remains then.
    let told = voter.records_since(0, START + ms(2000));
    assert_eq!(told[0].warm_up, Some(Remaining(1000)));
    let mut started = Registry::default();
    let own = Duration::from_secs(7);
    started.merge(told[0].clone(), own);
    assert_eq!(left(&started, own), 1000);
    assert_eq!(left(&started, own + ms(1000)), 0);
}

#[test]
fn a_late_heartbeat_does_not_end_a_warm_up_and_a_later_word_does() {
    let mut registry = Registry::default();
    registry.merge(record(1, Some(0)), START);
    assert_eq!(left(&registry, START), 0);
    // The endpoint has become cold again, which is a change.
    let now = START + ms(2000);
    assert_eq!(registry.merge(record(4, Some(3000)), now), Merged::Changed);
    // Heartbeats that were sent earlier and arrive later, through any voter, are ignored.
    for sequence in [2, 3, 4] {
        registry.merge(record(sequence, Some(0)), now + ms(10));
    }
    assert_eq!(left(&registry, now), 3000);
    // A second warm-up that begins during the first one extends it.
    let again = now + ms(1500);
    assert_eq!(
        registry.merge(record(5, Some(3000)), again),
        Merged::Changed
    );
    assert_eq!(left(&registry, again), 3000);
    // After lost heartbeats, one that names no time does not end the warm-up.
    registry.merge(record(8, None), again + ms(100));
    assert_eq!(left(&registry, again + ms(500)), 2500);
    // The endpoint reports that it is warm.
    let warm = registry.merge(record(9, Some(0)), again + ms(600));
    assert_eq!(warm, Merged::Changed);
    assert_eq!(left(&registry, again + ms(600)), 0);
}

#[test]
fn an_endpoint_that_begins_among_others_and_says_nothing_is_taken_for_cold() {
    let mut registry = Registry::default();
    let first = Record {
        name: "first".parse().unwrap(),
        ..record(1, None)
    };
    registry.merge(first, START);
    let until = |registry: &Registry, name: &str, now| {
        let belief = *registry.warm_up(&name.parse().unwrap()).unwrap();
        belief.ends_at(&RATE, None, now)
    };
    assert_eq!(until(&registry, "first", START), None);
    let now = START + ms(20_000);
    registry.merge(record(1, None), now);
    let believed = until(&registry, "i", now);
    assert_eq!(believed, Some((now + ms(3000), Source::Started)));
    assert_eq!(until(&registry, "i", now + ms(3000)), None);
}

#[test]
fn after_an_uncordon_endpoints_are_taken_for_cold_until_they_say_otherwise() {
    let zone: name::Zone = "z".parse().unwrap();
    let mut zones = Uncordoned::default();
    zones.update(&BTreeSet::from([zone.clone()]), START);
    assert_eq!(zones.uncordoned_at(&zone), None);
    zones.update(&BTreeSet::new(), START + ms(100));
    let at = zones.uncordoned_at(&zone);
    assert_eq!(at, Some(START + ms(100)));
    let mut belief = warm_up::State::new(false, START);
    belief.observe(Some(Remaining(0)), START);
    let now = START + ms(500);
    let believed = belief.ends_at(&RATE, at, now);
    assert_eq!(believed, Some((START + ms(3100), Source::Uncordoned)));
    belief.observe(Some(Remaining(0)), now);
    assert_eq!(belief.ends_at(&RATE, at, now), None);
}

fn names(endpoints: &[&str]) -> Vec<name::Endpoint> {
    endpoints.iter().map(|name| name.parse().unwrap()).collect()
}

#[test]
fn an_endpoint_is_leased_to_one_box_until_that_lease_has_surely_run_out() {
    let (one, other): (name::Box, name::Box) = ("e1".parse().unwrap(), "e2".parse().unwrap());
    let wanted = names(&["a", "b", "c"]);
    let mut hub = Leases::default();
    // Leases that were granted before the hub's start may still be valid.
    assert!(hub.grant(&one, &wanted, 2, START).is_empty());
    assert!(hub
        .grant(&one, &wanted, 2, START + LEASE_DURATION)
        .is_empty());
    let now = START + 2 * LEASE_DURATION;
    assert_eq!(hub.grant(&one, &wanted, 2, now), names(&["a", "b"]));
    assert_eq!(hub.grant(&other, &wanted, 2, now), names(&["c"]));
    // A box keeps its leases, even if it now prefers other endpoints.
    let wanted = names(&["c", "b", "a"]);
    let later = now + ms(500);
    assert_eq!(hub.grant(&one, &wanted, 2, later), names(&["b", "a"]));
    // The first box is silent from now on.
    let wanted = names(&["a", "b"]);
    assert!(hub
        .grant(&other, &wanted, 1, later + LEASE_DURATION)
        .is_empty());
    let over = later + LEASE_DURATION + ms(100);
    assert_eq!(hub.grant(&other, &wanted, 1, over), wanted);
}

#[test]
fn holders_one_after_the_other_get_no_more_than_one_does() {
    let warming = Warming::new(Duration::MAX, &RATE, &LEEWAY);
    let mut granted = Vec::new();
    let mut pass = Pass::default();
    for now in (0..10_000).map(ms) {
        // Each second another box is the holder; its pass starts without the earlier holder's
        // state.
        if now.as_millis().is_multiple_of(1000) {
            pass = Pass::default();
            pass.renew(now + ms(1000), 2, now);
        }
        if pass.may_send(&warming, now) {
            pass.take(&warming, now);
            granted.push(now);
        }
    }
    let within = |from: &Duration| {
        let counts = |at: &&Duration| **at >= *from && **at <= *from + ms(1000);
        granted.iter().filter(counts).count()
    };
    let most = granted.iter().map(within).max();
    // Two hubs that grant leases independently allow twice as much, which is below 17.6.
    assert_eq!(most, Some(8));
    // Without leeway, the plain rate of 8.4 a second applies.
    let strict = Warming::new(Duration::MAX, &RATE, &Leeway::default());
    let mut pass = Pass::default();
    pass.renew(Duration::MAX, 2, START);
    assert!(!pass.may_send(&strict, START + ms(300)));
    assert!(pass.may_send(&strict, START + ms(350)));
}

/// Returns a dispatcher with three endpoints of one zone and `slots` slots each; those at the
/// places `warming` warm up.
fn dispatcher(warming: &[usize], slots: u32) -> Dispatcher {
    let own: name::Box = "e1".parse().unwrap();
    let mut dispatcher = Dispatcher::new(Settings::default(), START);
    let until = START + ms(3000);
    let specs = (0..3).map(|place| Spec {
        name: format!("i-{place}").parse().unwrap(),
        slots,
        leaving: false,
        in_other_zone: false,
        rank: place,
        zone: "z".parse().unwrap(),
        slow: false,
        memory: None,
        admission: Admission {
            warming: warming
                .contains(&place)
                .then(|| Warming::new(until, &RATE, &LEEWAY)),
            ..Admission::default()
        },
    });
    let class = scalewood::core::config::Class::default();
    let classes = BTreeMap::from([
        ("short".parse().unwrap(), class.clone()),
        ("long".parse().unwrap(), class),
    ]);
    dispatcher.step(Input::Configure(specs.collect(), classes), START);
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own.clone()])), START);
    dispatcher.step(Input::Report(own.clone(), Report::Hello), START);
    dispatcher.step(Input::Report(own, Report::Announced), START);
    dispatcher
}

fn step(dispatcher: &mut Dispatcher, report: Report, now: Duration) -> Vec<Order> {
    let own: name::Box = "e1".parse().unwrap();
    let orders = dispatcher.step(Input::Report(own, report), now);
    orders.into_iter().map(|(_, order)| order).collect()
}

/// Completes a granted request at once.
fn end(dispatcher: &mut Dispatcher, request: u64, now: Duration) {
    let attempt = ask(request, "short", 0).attempt;
    step(dispatcher, Report::First(attempt), now);
    let done = Report::End(attempt, End::Done, unit::Tokens(1));
    let orders = step(dispatcher, done, now);
    assert!(orders.is_empty(), "{orders:?}");
}

fn grants(orders: &[Order]) -> Vec<(u64, String)> {
    let grants = orders.iter().filter_map(|order| match order {
        Order::Grant(attempt, at) => Some((attempt.request.0, at.to_string())),
        _ => None,
    });
    grants.collect()
}

#[test]
fn without_a_lease_nothing_goes_to_endpoints_that_warm_up() {
    let mut one = dispatcher(&[0, 1], 64);
    for request in 0..50 {
        let orders = step(&mut one, Report::Ask(ask(request, "short", request)), START);
        assert_eq!(grants(&orders), [(request, "i-2".to_owned())]);
        end(&mut one, request, START);
    }
    // If all endpoints warm up, the request waits, and no orders are produced meanwhile.
    let mut all = dispatcher(&[0, 1, 2], 64);
    let orders = step(&mut all, Report::Ask(ask(1, "short", 1)), START);
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(all.waiting(), 1);
    let wanted: BTreeSet<_> = all
        .wanted_leases(START)
        .into_iter()
        .map(|(_, name)| name)
        .collect();
    assert_eq!(wanted, names(&["i-0", "i-1", "i-2"]).into_iter().collect());
    // With a lease it starts a moment later.
    all.step(
        Input::Leases(names(&["i-1"]), START + LEASE_DURATION, 2),
        START,
    );
    assert_eq!(all.step(Input::Tick, START + ms(100)), []);
    let orders = all.step(Input::Tick, START + ms(160));
    let orders: Vec<_> = orders.into_iter().map(|(_, order)| order).collect();
    assert_eq!(grants(&orders), [(1, "i-1".to_owned())]);
}

#[test]
fn a_warm_up_ends_by_itself_also_where_no_hub_answers() {
    let mut all = dispatcher(&[0, 1, 2], 64);
    assert!(step(&mut all, Report::Ask(ask(1, "short", 1)), START).is_empty());
    assert!(all.step(Input::Tick, START + ms(2999)).is_empty());
    assert_eq!(all.step(Input::Tick, START + ms(3000)).len(), 1);
}

#[test]
fn a_holder_sends_no_more_than_its_part_and_the_rest_goes_elsewhere() {
    let mut one = dispatcher(&[0, 1], 64);
    let mut sent: BTreeMap<String, usize> = BTreeMap::new();
    for at in (0..1000).step_by(10) {
        let now = START + ms(at);
        let leased = names(&["i-0"]);
        assert_eq!(
            one.step(Input::Leases(leased, now + LEASE_DURATION, 2), now),
            []
        );
        let orders = step(&mut one, Report::Ask(ask(at, "short", at)), now);
        for (request, endpoint) in grants(&orders) {
            *sent.entry(endpoint).or_default() += 1;
            end(&mut one, request, now);
        }
    }
    assert_eq!(sent.get("i-1"), None);
    let cold = sent["i-0"];
    assert!((5..=8).contains(&cold), "{sent:?}");
    assert_eq!(sent.values().sum::<usize>(), 100);
}

#[test]
fn tiers_are_served_in_their_order_while_most_endpoints_warm_up() {
    let mut one = dispatcher(&[0, 1], 2);
    // Two requests take the slots of the warm endpoint; the others wait.
    for request in 0..2 {
        let orders = step(&mut one, Report::Ask(ask(request, "long", request)), START);
        assert_eq!(orders.len(), 1);
    }
    for request in 2..8 {
        // The less urgent requests arrive first.
        let class = if request < 5 { "long" } else { "short" };
        let orders = step(&mut one, Report::Ask(ask(request, class, request)), START);
        assert!(orders.is_empty(), "{orders:?}");
    }
    let leased = Input::Leases(names(&["i-0"]), START + LEASE_DURATION, 2);
    one.step(leased, START);
    let mut started = Vec::new();
    for at in (20..900).step_by(20) {
        let orders = one.step(Input::Tick, START + ms(at));
        let orders: Vec<_> = orders.into_iter().map(|(_, order)| order).collect();
        for (request, _) in grants(&orders) {
            started.push(request);
            // The slot that becomes free needs a permit for the next request.
            end(&mut one, request, START + ms(at));
        }
    }
    assert_eq!(started.len(), 5, "{started:?}");
    let urgent: BTreeSet<_> = started[..3].iter().copied().collect();
    assert_eq!(urgent, BTreeSet::from([5, 6, 7]));
}
