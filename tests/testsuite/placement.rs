//! Placement of prompts: prompts with a shared prefix go to the same endpoint, and long prompts do
//! not delay short ones.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use scalewood::core::{
    attempt::{Attempt, Request},
    config,
    dispatch::{
        Ask, Dispatcher, End, Input, Order, PlacementKey, Prefix, Reason, Report, Settings, Spec,
    },
    load::{LessUrgent, Load, Loads, Measured, Placement, Prompts, Risk},
    name, risk, unit,
};

pub(crate) const START: Duration = Duration::from_secs(1000);
pub(crate) const ENDPOINTS: usize = 9;

pub(crate) fn dispatcher() -> Dispatcher {
    dispatcher_with(&[])
}

/// Returns a dispatcher whose endpoints at the places `slow` are slow.
fn dispatcher_with(slow: &[usize]) -> Dispatcher {
    configure_dispatcher(Dispatcher::new(Settings::default(), START), slow)
}

fn configure_dispatcher(mut dispatcher: Dispatcher, slow: &[usize]) -> Dispatcher {
    let own: name::Box = "e1".parse().unwrap();
    let (specs, classes) = configuration(slow);
    dispatcher.step(Input::Configure(specs, classes), START);
    dispatcher.step(Input::LiveBoxes(BTreeSet::from([own.clone()])), START);
    dispatcher.step(Input::Report(own.clone(), Report::Hello), START);
    dispatcher.step(Input::Report(own, Report::Announced), START);
    dispatcher
}

/// Returns three classes, and nine endpoints in three zones; those at the places `slow` are slow.
fn configuration(slow: &[usize]) -> (Vec<Spec>, BTreeMap<name::Class, config::Class>) {
    let specs = (0..ENDPOINTS).map(|place| Spec {
        name: format!("i-{place}").parse().unwrap(),
        slots: 64,
        leaving: false,
        in_other_zone: place % 3 != 0,
        rank: place,
        zone: format!("z{}", place % 3).parse().unwrap(),
        slow: slow.contains(&place),
        memory: Some(unit::Tokens(100_000)),
        admission: Default::default(),
    });
    let class = config::Class {
        target: Duration::from_millis(250),
        gap: Some(120),
        ..config::Class::default()
    };
    let classes = ["short", "middle", "long"]
        .into_iter()
        .zip(0..)
        .map(|(name, tier)| {
            let class = config::Class {
                tier: unit::Tier(tier),
                ..class.clone()
            };
            (name.parse().unwrap(), class)
        });
    (specs.collect(), classes.collect())
}

/// Returns a request that is placed at the best endpoint even if it misses its target there: it is
/// a retry after a refusal.
pub(crate) fn ask(request: u64, class: &str, prefix: u64) -> Ask {
    let own = if class == "long" { 6600 } else { 600 };
    Ask {
        attempt: Attempt::first(Request(request)),
        class: class.parse().unwrap(),
        tier: unit::Tier(u8::from(class == "long")),
        age: Duration::ZERO,
        target: Duration::from_millis(250),
        deadline: Duration::from_secs(10),
        patience: None,
        is_client_retry: true,
        allowed: Default::default(),
        prompt: unit::Tokens(own + 200),
        delivered: unit::Tokens(0),
        prefix: None,
        placement_key: Some(PlacementKey {
            prefix: Prefix(prefix),
            shared: unit::Tokens(200),
        }),
        preemptible: false,
        preempted: 0,
        is_hedge: false,
        avoid: None,
        build: None,
        backoffs: Vec::new(),
        hold: None,
    }
}

/// Returns the endpoint that a request is granted. If `completes`, the request completes there at
/// once.
pub(crate) fn grant(
    dispatcher: &mut Dispatcher,
    ask: Ask,
    completes: bool,
    now: Duration,
) -> String {
    let own: name::Box = "e1".parse().unwrap();
    let attempt = ask.attempt;
    let orders = dispatcher.step(Input::Report(own.clone(), Report::Ask(ask)), now);
    let [(_, Order::Grant(_, endpoint))] = orders.as_slice() else {
        panic!("no grant: {orders:?}");
    };
    dispatcher.step(Input::Report(own.clone(), Report::Started(attempt)), now);
    if completes {
        let first = Report::First(attempt);
        dispatcher.step(Input::Report(own.clone(), first), now);
        let end = Report::End(attempt, End::Done, unit::Tokens(300));
        dispatcher.step(Input::Report(own, end), now);
    }
    endpoint.to_string()
}

#[test]
fn prompts_that_share_their_beginning_meet_at_one_endpoint_from_all_boxes() {
    let (mut one, mut other) = (dispatcher(), dispatcher());
    let mut homes = BTreeSet::new();
    for prefix in 0..20 {
        let home = grant(&mut one, ask(prefix, "short", prefix), true, START);
        for again in 0..3 {
            let request = 100 + 10 * prefix + again;
            let found = grant(&mut other, ask(request, "short", prefix), true, START);
            assert_eq!(found, home, "prefix {prefix}");
        }
        homes.insert(home);
    }
    assert!(
        homes.len() > ENDPOINTS / 2,
        "too few different homes: {homes:?}"
    );
}

/// The prefill rate that is assumed for an endpoint until one has been measured.
pub(crate) const PREFILL_TOKENS_PER_MS: u64 = 40;
/// The unread tokens at a home above which a short prompt goes to the next endpoint: as many as are
/// prefilled within its target.
const MAX_UNREAD_TOKENS: u64 = 250 * PREFILL_TOKENS_PER_MS;

#[test]
fn a_prompt_leaves_its_home_while_its_target_would_pass_there() {
    let mut dispatcher = dispatcher();
    let found: Vec<_> = (0..6)
        .map(|request| {
            let asked = Ask {
                prompt: unit::Tokens(4000),
                ..ask(request, "short", 7)
            };
            grant(&mut dispatcher, asked, false, START)
        })
        .collect();
    let stayed = found.iter().take_while(|at| **at == found[0]).count();
    // The first prompt is prefilled whole; of the others only 3,800 tokens, because the shared
    // prefix is cached.
    let within_target = usize::try_from((MAX_UNREAD_TOKENS - 4000) / 3800).unwrap();
    assert_eq!(stayed, within_target + 2, "{found:?}");
    // From then on the second endpoint has the shared prefix cached too.
    let places: BTreeSet<_> = found.iter().collect();
    assert_eq!(places.len(), 2, "{found:?}");
}

/// Returns an input that sets the load of the other boxes at one endpoint.
fn others_load(endpoint: &str, load: Load) -> Input {
    Input::OtherLoads(Some(Loads::from([(endpoint.parse().unwrap(), load)])))
}

#[test]
fn a_prompt_leaves_its_home_for_what_other_boxes_have_there_and_comes_back() {
    let mut dispatcher = dispatcher();
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
    let busy = Load {
        pending_prefill: MAX_UNREAD_TOKENS + 1000,
        ..Load::default()
    };
    dispatcher.step(others_load(&home, busy), START);
    let next = grant(&mut dispatcher, ask(2, "short", 7), true, START);
    assert_ne!(next, home, "the other boxes' load there is too high");
    let calm = Load {
        pending_prefill: MAX_UNREAD_TOKENS / 2,
        ..Load::default()
    };
    dispatcher.step(others_load(&home, calm), START);
    let mut unloaded = self::dispatcher();
    let own_home = grant(&mut unloaded, ask(3, "short", 9), true, START);
    let found = grant(&mut dispatcher, ask(3, "short", 9), true, START);
    assert_eq!(
        found, own_home,
        "a prompt with another prefix is not affected"
    );
    // Once the voters report nothing any more, only this box's own load counts.
    dispatcher.step(others_load(&next, busy), START);
    dispatcher.step(Input::OtherLoads(None), START);
    let much_later = START + Duration::from_secs(60);
    assert_eq!(
        grant(&mut dispatcher, ask(4, "short", 7), true, much_later),
        home
    );
}

#[test]
fn a_prompt_goes_where_another_box_has_placed_its_beginning() {
    let (mut one, mut other) = (dispatcher(), dispatcher());
    let home = grant(&mut one, ask(1, "short", 7), true, START);
    let busy = Load {
        pending_prefill: MAX_UNREAD_TOKENS + 1000,
        ..Load::default()
    };
    one.step(others_load(&home, busy), START);
    let next = grant(&mut one, ask(2, "short", 7), true, START);
    assert_ne!(next, home);
    let placed = one.take_placements();
    let places: Vec<_> = placed.iter().map(|p| p.endpoint.to_string()).collect();
    assert_eq!(places, [home.clone(), next.clone()]);
    assert!(
        one.take_placements().is_empty(),
        "a placement is reported once"
    );
    // The other box chooses the second endpoint as soon as it is better by any amount.
    other.step(Input::Placements(placed), START);
    let little = Load {
        pending_prefill: 100,
        ..Load::default()
    };
    other.step(others_load(&home, little), START);
    let found = grant(&mut other, ask(3, "short", 7), true, START);
    assert_eq!(found, next);
    // A placement of another prefix at an endpoint does not attract this prompt.
    let foreign = Placement {
        prefix: Prefix(8),
        endpoint: "i-8".parse().unwrap(),
    };
    grant(&mut other, ask(4, "long", 100), true, START);
    other.step(Input::Placements(vec![foreign]), START);
    let found = grant(&mut other, ask(5, "short", 8), true, START);
    assert_ne!(found, "i-8");
}

#[test]
fn an_endpoint_whose_memory_or_slots_others_fill_is_left() {
    for load in [
        Load {
            cached: 99_000,
            ..Load::default()
        },
        Load {
            running: 64,
            ..Load::default()
        },
    ] {
        let mut dispatcher = dispatcher();
        let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
        dispatcher.step(others_load(&home, load), START);
        let found = grant(&mut dispatcher, ask(2, "short", 7), true, START);
        assert_ne!(found, home, "{load:?}");
    }
}

#[test]
fn long_prompts_get_endpoints_of_their_own() {
    let mut dispatcher = dispatcher();
    let mut at: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for request in 0..400 {
        let class = if request % 4 == 0 { "long" } else { "short" };
        // The first requests determine how the endpoints are divided between the classes.
        let now = START + Duration::from_millis(50 * request);
        let endpoint = grant(
            &mut dispatcher,
            ask(request, class, request % 40),
            true,
            now,
        );
        if request > 250 {
            at.entry(class).or_default().insert(endpoint);
        }
    }
    assert!(
        at["long"].is_disjoint(&at["short"]),
        "the classes share endpoints: {at:?}"
    );
    assert!(at["short"].len() >= 2 && at["long"].len() >= 4, "{at:?}");
}

/// Returns the places that the prompts of each class go to, over many prefixes.
fn places(dispatcher: &mut Dispatcher) -> BTreeMap<&'static str, BTreeSet<usize>> {
    let mut at: BTreeMap<&str, BTreeSet<usize>> = BTreeMap::new();
    for request in 0..400 {
        let class = if request % 4 == 0 { "long" } else { "short" };
        let now = START + Duration::from_millis(50 * request);
        let endpoint = grant(dispatcher, ask(request, class, request % 100), true, now);
        if request > 20 {
            let place = endpoint[2..].parse().unwrap();
            at.entry(class).or_default().insert(place);
        }
    }
    at
}

#[test]
fn slow_endpoints_are_for_long_prompts_and_the_next_fast_ones_take_their_place() {
    let none = places(&mut dispatcher_with(&[]));
    assert_eq!(none["short"], BTreeSet::from([0, 1, 2]));
    assert_eq!(none["long"], BTreeSet::from([3, 4, 5, 6, 7, 8]));
    let one = places(&mut dispatcher_with(&[1, 7]));
    assert_eq!(one["short"], BTreeSet::from([0, 2, 3]));
    assert_eq!(one["long"], BTreeSet::from([1, 4, 5, 6, 7, 8]));
    let many = places(&mut dispatcher_with(&[0, 1, 5]));
    assert_eq!(many["short"], BTreeSet::from([2, 3, 4]));
    assert_eq!(many["long"], BTreeSet::from([0, 1, 5, 6, 7, 8]));
}

#[test]
fn lower_classes_make_way_before_the_first_fills_the_endpoints_for_short_prompts() {
    let mut dispatcher = dispatcher();
    dispatcher.step(Input::BoxCount(8), START);
    let mut at: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for request in 0..600 {
        let now = START + Duration::from_millis(20 * request);
        let class = if request % 4 == 0 { "long" } else { "short" };
        // In the second half, requests of the first class keep running.
        let ends = request < 300 || class == "long";
        let endpoint = grant(
            &mut dispatcher,
            ask(request, class, request % 40),
            ends,
            now,
        );
        at.entry(class).or_default().insert(endpoint);
        if request >= 550 {
            let found = grant(
                &mut dispatcher,
                ask(1000 + request, "middle", request % 40),
                true,
                now,
            );
            at.entry("middle").or_default().insert(found);
        }
    }
    let short: BTreeSet<_> = at["short"].difference(&at["long"]).cloned().collect();
    assert!(
        at["middle"].is_disjoint(&short),
        "the middle class still uses the endpoints that the first class fills: {at:?}"
    );
}

#[test]
fn an_endpoint_that_stays_quiet_is_left_and_so_is_a_zone_that_can_not_be_reached() {
    let mut dispatcher = dispatcher();
    let home = grant(&mut dispatcher, ask(1, "short", 7), false, START);
    let later = START + Duration::from_millis(1600);
    let next = grant(&mut dispatcher, ask(2, "short", 7), true, later);
    assert_ne!(
        next, home,
        "its only request has no first token after 1.6 s"
    );
    // Two endpoints of another zone fail in turn; after that no endpoint of the zone is used.
    let own: name::Box = "e1".parse().unwrap();
    let number = |name: &str| name[2..].parse::<usize>().unwrap();
    let mut failed = BTreeSet::new();
    for request in 10..200 {
        let mut asked = ask(request, "short", request);
        asked.class = "middle".parse().unwrap();
        let attempt = asked.attempt;
        let endpoint = grant(&mut dispatcher, asked, false, later);
        let end = if number(&endpoint) % 3 == 1 && failed.len() < 2 {
            failed.insert(endpoint);
            End::Unreachable
        } else {
            assert!(
                failed.len() < 2 || number(&endpoint) % 3 != 1,
                "{endpoint} is tried although its zone is unreachable"
            );
            End::Cancelled
        };
        let report = Report::End(attempt, end, unit::Tokens(0));
        dispatcher.step(Input::Report(own.clone(), report), later);
    }
    assert_eq!(failed.len(), 2);
}

#[test]
fn an_endpoint_that_fails_a_part_of_its_requests_is_left_for_a_while() {
    let mut dispatcher = dispatcher();
    let own: name::Box = "e1".parse().unwrap();
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
    let broken = ask(2, "short", 7);
    let attempt = broken.attempt;
    assert_eq!(grant(&mut dispatcher, broken, false, START), home);
    let end = Report::End(attempt, End::Broken, unit::Tokens(0));
    dispatcher.step(Input::Report(own, end), START);
    // Successes in the meantime do not cancel the failure.
    let mut elsewhere = BTreeSet::new();
    for request in 10..20 {
        let now = START + Duration::from_millis(200 * (request - 9));
        elsewhere.insert(grant(&mut dispatcher, ask(request, "short", 7), true, now));
    }
    assert!(!elsewhere.contains(&home), "{elsewhere:?}");
    let later = START + Duration::from_secs(4);
    assert_eq!(
        grant(&mut dispatcher, ask(30, "short", 7), true, later),
        home
    );
}

#[test]
fn an_endpoint_whose_callers_leave_unanswered_is_left_for_a_while() {
    let mut dispatcher = dispatcher();
    let own: name::Box = "e1".parse().unwrap();
    let lost = ask(1, "short", 7);
    let attempt = lost.attempt;
    let home = grant(&mut dispatcher, lost, false, START);
    let later = START + Duration::from_millis(2000);
    let end = Report::End(attempt, End::Cancelled, unit::Tokens(0));
    dispatcher.step(Input::Report(own, end), later);
    assert_ne!(
        grant(&mut dispatcher, ask(2, "short", 7), true, later),
        home
    );
    let again = later + Duration::from_secs(3);
    assert_eq!(
        grant(&mut dispatcher, ask(3, "short", 7), true, again),
        home
    );
}

/// Sends a request of the short class; its first token, and its end, come after `took`.
fn complete_after(dispatcher: &mut Dispatcher, request: u64, took: Duration, now: Duration) {
    let own: name::Box = "e1".parse().unwrap();
    let asked = ask(request, "short", request);
    let attempt = asked.attempt;
    grant(dispatcher, asked, false, now);
    let first = Report::First(attempt);
    dispatcher.step(Input::Report(own.clone(), first), now + took);
    let end = Report::End(attempt, End::Done, unit::Tokens(10));
    dispatcher.step(Input::Report(own, end), now + took);
}

#[test]
fn a_home_is_left_by_the_rate_that_endpoints_read_at() {
    // They prefill at a quarter of the assumed rate: 800 tokens in 80 ms.
    let mut dispatcher = dispatcher();
    for request in 0..100 {
        let now = START + Duration::from_millis(200 * request);
        complete_after(
            &mut dispatcher,
            1000 + request,
            Duration::from_millis(80),
            now,
        );
    }
    let now = START + Duration::from_secs(30);
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, now);
    let busy = Load {
        pending_prefill: MAX_UNREAD_TOKENS / 2,
        ..Load::default()
    };
    dispatcher.step(others_load(&home, busy), now);
    let found = grant(&mut dispatcher, ask(2, "short", 7), true, now);
    assert_ne!(found, home, "its unread tokens take twice the target");
}

#[test]
fn a_request_is_refused_at_once_where_its_caller_would_leave_before_the_first_token() {
    let mut dispatcher = dispatcher();
    let own: name::Box = "e1".parse().unwrap();
    // Each endpoint has unread tokens that take ten seconds to prefill.
    let busy = Load {
        pending_prefill: 10_000 * PREFILL_TOKENS_PER_MS,
        ..Load::default()
    };
    let everywhere = (0..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), busy));
    dispatcher.step(Input::OtherLoads(Some(everywhere.collect())), START);
    let impatient = Ask {
        patience: Some(Duration::from_secs(2)),
        ..ask(1, "short", 7)
    };
    let orders = dispatcher.step(Input::Report(own.clone(), Report::Ask(impatient)), START);
    let [(_, Order::Shed(_, Reason::Overload, retry))] = orders.as_slice() else {
        panic!("not refused: {orders:?}");
    };
    assert!(
        *retry >= Duration::from_secs(8),
        "the retry comes too soon: {retry:?}"
    );
    // A caller that waits long enough is served.
    let patient = Ask {
        patience: Some(Duration::from_secs(12)),
        deadline: Duration::from_secs(30),
        ..ask(2, "short", 7)
    };
    let orders = dispatcher.step(Input::Report(own, Report::Ask(patient)), START);
    assert!(
        matches!(orders.as_slice(), [(_, Order::Grant(..))]),
        "{orders:?}"
    );
}

#[test]
fn a_request_that_would_be_late_is_refused_once_and_served_when_it_returns() {
    let own: name::Box = "e1".parse().unwrap();
    let mut dispatcher = dispatcher();
    // Each endpoint has unread tokens that take one and a half times the target to prefill.
    let busy = Load {
        pending_prefill: 375 * PREFILL_TOKENS_PER_MS,
        ..Load::default()
    };
    let everywhere = (0..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), busy));
    dispatcher.step(Input::OtherLoads(Some(everywhere.collect())), START);
    let orders = |dispatcher: &mut Dispatcher, asked| {
        dispatcher.step(Input::Report(own.clone(), Report::Ask(asked)), START)
    };
    let never_refused = Ask {
        is_client_retry: false,
        ..ask(1, "short", 7)
    };
    let first = orders(&mut dispatcher, never_refused);
    assert!(
        matches!(first.as_slice(), [(_, Order::Shed(_, Reason::Overload, _))]),
        "{first:?}"
    );
    let second = orders(&mut dispatcher, ask(2, "short", 7));
    assert!(
        matches!(second.as_slice(), [(_, Order::Grant(..))]),
        "{second:?}"
    );
    // A second attempt is not refused: an endpoint has had the first one, so this would not be an
    // early refusal.
    let again = Ask {
        attempt: Attempt::first(Request(3)).next(),
        is_client_retry: false,
        ..ask(3, "short", 7)
    };
    let third = orders(&mut dispatcher, again);
    assert!(
        matches!(third.as_slice(), [(_, Order::Grant(..))]),
        "{third:?}"
    );
}

/// Returns the load of all endpoints with `pending` tokens each that take `millis` to prefill, of
/// which those of the least urgent class come last in the order of urgency.
fn busy_everywhere(millis: u64, less_urgent: bool) -> Input {
    let tokens = millis * PREFILL_TOKENS_PER_MS;
    let mut load = Load {
        pending_prefill: tokens,
        ..Load::default()
    };
    if less_urgent {
        let mut pending = LessUrgent::default();
        pending.add(unit::Tier(1), tokens);
        load.less_urgent = pending;
    }
    let everywhere = (0..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), load));
    Input::OtherLoads(Some(everywhere.collect()))
}

/// Returns the retry delay of a request that was not refused before, or `None` if it starts.
fn refusal(dispatcher: &mut Dispatcher, asked: Ask) -> Option<Duration> {
    let asked = Ask {
        is_client_retry: false,
        ..asked
    };
    let report = Report::Ask(asked);
    let orders = dispatcher.step(Input::Report("e1".parse().unwrap(), report), START);
    match orders.as_slice() {
        [(_, Order::Grant(..))] => None,
        [(_, Order::Shed(_, Reason::Overload, retry))] => Some(*retry),
        _ => panic!("{orders:?}"),
    }
}

/// Guards against a box that dispatches few requests and refuses urgent ones for minutes, because
/// it assumes that endpoints process a less urgent backlog first.
#[test]
fn a_box_of_few_requests_predicts_by_what_all_boxes_have_measured() {
    let mut dispatcher = dispatcher();
    dispatcher.step(busy_everywhere(2_000, true), START);
    let refused = refusal(&mut dispatcher, ask(1, "short", 7));
    assert!(refused.is_some(), "nothing is known of the order");
    let measured = Measured {
        millis: 10_000,
        tokens: 10_000 * PREFILL_TOKENS_PER_MS,
        less_urgent: 1_000_000,
        processed_first: 10_000,
    };
    dispatcher.step(Input::Prefill(measured), START);
    assert_eq!(refusal(&mut dispatcher, ask(2, "short", 7)), None);
    // At a hundredth of that rate the same prompt is late everywhere.
    let slow = Measured {
        millis: 1_000_000,
        ..measured
    };
    dispatcher.step(Input::Prefill(slow), START);
    let refused = refusal(&mut dispatcher, ask(3, "short", 7));
    assert!(refused.is_some(), "the rate was not applied");
    // Without the other boxes' loads only this box's own measurements count.
    dispatcher.step(Input::OtherLoads(None), START);
    assert_eq!(refusal(&mut dispatcher, ask(4, "short", 7)), None);
}

/// Guards against refusing a request whose caller can't wait for as long once more: its retry is
/// refused for good, while it could have been served late.
#[test]
fn a_late_request_that_could_not_return_in_time_is_served_late() {
    let mut dispatcher = dispatcher();
    dispatcher.step(busy_everywhere(500, false), START);
    let with_patience = |request, millis| Ask {
        patience: Some(Duration::from_millis(millis)),
        ..ask(request, "short", 7)
    };
    let refused = refusal(&mut dispatcher, with_patience(1, 3_000));
    assert!(refused.is_some(), "there is time for a retry");
    let refused = refusal(&mut dispatcher, with_patience(2, 900));
    assert_eq!(refused, None, "a retry would come too late");
}

/// Guards against requests that are refused in the same moment, return in the same moment, and
/// refuse each other again.
#[test]
fn requests_that_are_refused_together_return_spread() {
    let mut dispatcher = dispatcher();
    dispatcher.step(busy_everywhere(500, false), START);
    let asks = (0..100).map(|request| ask(request * 7, "short", request));
    let retries: Vec<_> = asks
        .map(|asked| refusal(&mut dispatcher, asked).unwrap())
        .collect();
    let (first, last) = (retries.iter().min().unwrap(), retries.iter().max().unwrap());
    assert!(*first >= Duration::from_secs(1), "{first:?}");
    let spread = *last - *first;
    assert!(spread >= Duration::from_secs(1), "only {spread:?} of 10 s");
}

#[test]
fn streams_avoid_endpoints_where_they_paused_too_long_and_long_prompts_do_not_join_them() {
    let own: name::Box = "e1".parse().unwrap();
    let mut dispatcher = dispatcher();
    // One prompt of each class makes the sizes known; from then on the classes have endpoints of
    // their own.
    grant(&mut dispatcher, ask(1, "long", 100), true, START);
    grant(&mut dispatcher, ask(2, "short", 7), true, START);
    let running = |running| Load {
        running,
        ..Load::default()
    };
    // Long prompts avoid endpoints with running streams, however many tokens are unread at their
    // own endpoints.
    let number = |name: &str| name[2..].parse::<usize>().unwrap();
    let unread = Load {
        pending_prefill: 700 * PREFILL_TOKENS_PER_MS,
        ..Load::default()
    };
    let loads = (0..ENDPOINTS).map(|place| {
        let load = if place < 3 { running(20) } else { unread };
        (format!("i-{place}").parse().unwrap(), load)
    });
    dispatcher.step(Input::OtherLoads(Some(loads.collect())), START);
    let found = grant(&mut dispatcher, ask(3, "long", 101), false, START);
    assert!(
        number(&found) >= 3,
        "{found} has streams that would pause for too long"
    );
    // An endpoint without streams may prefill a long prompt.
    let loads = (3..ENDPOINTS).map(|place| (format!("i-{place}").parse().unwrap(), unread));
    dispatcher.step(Input::OtherLoads(Some(loads.collect())), START);
    let found = grant(&mut dispatcher, ask(4, "long", 102), false, START);
    assert!(
        number(&found) < 3,
        "{found} has more unread tokens than the idle endpoints"
    );
    // After streams of short prompts paused for too long at the endpoints of long prompts, other
    // short prompts avoid these.
    let mut later = START;
    let place = |dispatcher: &mut Dispatcher, request, now| {
        let asked = ask(request, "short", 7);
        let attempt = asked.attempt;
        let found = grant(dispatcher, asked, false, now);
        let reports = [
            Report::First(attempt),
            Report::Paused(attempt),
            Report::End(attempt, End::Done, unit::Tokens(10)),
        ];
        for report in reports {
            dispatcher.step(Input::Report(own.clone(), report), now);
        }
        found
    };
    let full = |unread| {
        let loads = (0..3).map(|place| {
            let load = Load {
                pending_prefill: unread,
                ..Load::default()
            };
            (format!("i-{place}").parse().unwrap(), load)
        });
        Input::OtherLoads(Some(loads.collect()))
    };
    dispatcher.step(full(10 * MAX_UNREAD_TOKENS), later);
    for request in 10..30 {
        later += Duration::from_millis(10);
        assert!(number(&place(&mut dispatcher, request, later)) >= 3);
    }
    dispatcher.step(full(2 * MAX_UNREAD_TOKENS), later);
    assert!(
        number(&place(&mut dispatcher, 40, later)) < 3,
        "waiting for twice the target is better than a stream that pauses for too long"
    );
}

#[test]
fn a_busy_endpoint_is_given_more_time_than_one_in_doubt() {
    let mut dispatcher = dispatcher();
    let least = Duration::from_millis(1000);
    let endpoint: name::Endpoint = "i-4".parse().unwrap();
    let patience = |dispatcher: &Dispatcher| dispatcher.max_silence(&endpoint, least, START);
    assert_eq!(patience(&dispatcher), least, "the endpoint has no load");
    let load = Load {
        pending_prefill: 40_000,
        cached: 40_000,
        running: 9,
        ..Load::default()
    };
    dispatcher.step(others_load("i-4", load), START);
    assert!(patience(&dispatcher) >= least + Duration::from_millis(1500));
    // Other boxes report failures there, and then successes.
    let risk = |chance| {
        let chance = risk::Chance(chance);
        Input::Risks(vec![Risk {
            endpoint: endpoint.clone(),
            chance,
        }])
    };
    dispatcher.step(risk(700), START);
    assert_eq!(patience(&dispatcher), least);
    dispatcher.step(risk(0), START);
    assert!(patience(&dispatcher) > least);
}

#[test]
fn what_other_boxes_met_moves_prompts_and_calls_from_an_endpoint_at_once() {
    let mut dispatcher = dispatcher();
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
    let risk = Risk {
        endpoint: home.parse().unwrap(),
        chance: risk::Chance(900),
    };
    dispatcher.step(Input::Risks(vec![risk]), START);
    let next = grant(&mut dispatcher, ask(2, "short", 7), true, START);
    assert_ne!(next, home, "no request of this box failed there");
    let later = START + Duration::from_secs(8);
    let back = grant(&mut dispatcher, ask(3, "short", 7), true, later);
    assert!(
        back == home || back == next,
        "both have the prefix cached by now"
    );
    // Requests without a shared prefix are spread by load, and avoid an endpoint that may fail.
    let call = |request| Ask {
        placement_key: None,
        prompt: unit::Tokens(0),
        ..ask(request, "short", 0)
    };
    let fresh = grant(&mut dispatcher, call(4), true, later);
    let risk = Risk {
        endpoint: fresh.parse().unwrap(),
        chance: risk::Chance(900),
    };
    dispatcher.step(Input::Risks(vec![risk]), later);
    assert_ne!(grant(&mut dispatcher, call(5), true, later), fresh);
}

#[test]
fn boxes_that_know_the_same_spread_their_calls_over_the_endpoints_of_a_zone() {
    let mut chosen = BTreeSet::new();
    for seed in 0..32 {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        let mut dispatcher = configure_dispatcher(Dispatcher::new(settings, START), &[]);
        let call = Ask {
            placement_key: None,
            ..ask(1, "short", 0)
        };
        chosen.insert(grant(&mut dispatcher, call, true, START));
    }
    let near: BTreeSet<_> = ["i-0", "i-3", "i-6"].map(str::to_owned).into();
    assert_eq!(chosen, near, "exactly the endpoints of the box's own zone");
}

#[test]
fn a_stream_that_has_begun_is_not_hopeless_for_having_run_for_long() {
    let mut dispatcher = dispatcher();
    let patience = Some(Duration::from_millis(1200));
    let mut resumed = Ask {
        age: Duration::from_millis(1500),
        patience,
        attempt: Attempt::first(Request(1)).next(),
        ..ask(1, "short", 7)
    };
    let own: name::Box = "e1".parse().unwrap();
    let report = Input::Report(own, Report::Ask(resumed.clone()));
    let orders = dispatcher.step(report, START);
    assert!(
        matches!(
            orders.as_slice(),
            [(_, Order::Shed(_, Reason::Overload, _))]
        ),
        "its caller would have left before a first event: {orders:?}"
    );
    resumed.attempt = resumed.attempt.next();
    resumed.renew_patience(patience);
    grant(&mut dispatcher, resumed, true, START);
}

#[test]
fn where_prompts_are_kept_is_still_known_after_another_endpoint_went() {
    let mut dispatcher = dispatcher();
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
    let gone = if home == "i-0" { "i-1" } else { "i-0" };
    // Another box had the prompt prefilled at another endpoint.
    let elsewhere = ["i-2", "i-3"]
        .into_iter()
        .find(|name| *name != home)
        .unwrap();
    let mut fresh = self::dispatcher();
    let placement = Placement {
        prefix: Prefix(7),
        endpoint: elsewhere.parse().unwrap(),
    };
    fresh.step(Input::Placements(vec![placement]), START);
    let (specs, classes) = configuration(&[]);
    let specs = specs.into_iter().filter(|spec| spec.name.as_str() != gone);
    fresh.step(Input::Configure(specs.collect(), classes), START);
    // At a tick with no running requests, the dispatcher forgets the removed endpoint.
    fresh.step(Input::Tick, START + Duration::from_millis(20));
    let next = grant(&mut fresh, ask(2, "short", 7), true, START);
    assert_eq!(next, elsewhere, "it has the prefix cached");
}

#[test]
fn a_box_that_has_seen_nothing_places_prompts_as_the_others_do() {
    let seen = |class: &str, count, tokens| Prompts {
        class: class.parse().unwrap(),
        count,
        tokens,
    };
    let prompts = vec![seen("long", 10, 68_000), seen("short", 100, 80_000)];
    let at = places(&mut dispatcher());
    assert!(at["short"].is_disjoint(&at["long"]));
    let place = |endpoint: String| endpoint[2..].parse::<usize>().unwrap();
    for prefix in 0..40 {
        let mut fresh = dispatcher();
        fresh.step(Input::PromptSizes(prompts.clone()), START);
        let placed = grant(&mut fresh, ask(1, "short", prefix), true, START);
        assert!(at["short"].contains(&place(placed)), "its first prompt");
        let small = Ask {
            prompt: unit::Tokens(900),
            ..ask(2, "long", prefix)
        };
        let placed = grant(&mut fresh, small, true, START);
        assert!(
            at["long"].contains(&place(placed)),
            "a small prompt of the long class"
        );
    }
}

#[test]
fn what_is_believed_of_an_endpoint_ends_with_its_start() {
    let own: name::Box = "e1".parse().unwrap();
    let mut dispatcher = dispatcher();
    let home = grant(&mut dispatcher, ask(1, "short", 7), true, START);
    let busy = Load {
        pending_prefill: MAX_UNREAD_TOKENS + 1000,
        ..Load::default()
    };
    dispatcher.step(others_load(&home, busy), START);
    let next = grant(&mut dispatcher, ask(2, "short", 7), true, START);
    dispatcher.step(others_load(&home, Load::default()), START);
    let runs = ask(3, "short", 7);
    let attempt = runs.attempt;
    assert_eq!(grant(&mut dispatcher, runs, false, START), home);
    dispatcher.take_placements();
    dispatcher.take_outcomes();
    let mut started = |number: u64| {
        let (mut specs, classes) = configuration(&[]);
        let spec = specs.iter_mut().find(|spec| spec.name.as_str() == home);
        spec.unwrap().admission.incarnation = Some(unit::Incarnation(number));
        dispatcher.step(Input::Configure(specs, classes), START);
        let loads: BTreeMap<_, _> = dispatcher.loads().collect();
        loads.contains_key(&home.parse().unwrap())
    };
    assert!(
        !started(5),
        "requests of the earlier start do not count as its load"
    );
    assert!(!started(5), "configuring the same start again adds no load");
    // A new start has an empty cache; the other endpoint still has the prefix cached.
    let found = grant(&mut dispatcher, ask(4, "short", 7), true, START);
    assert_eq!(found, next);
    dispatcher.take_outcomes();
    // A failure of a request of the earlier start says nothing about the new one.
    let lost = Report::End(attempt, End::Broken, unit::Tokens(0));
    dispatcher.step(Input::Report(own, lost), START);
    assert!(dispatcher.take_outcomes().is_empty());
    let views = dispatcher.endpoints();
    let held: u32 = views.iter().map(|view| view.running).sum();
    assert_eq!(held, 0, "its slot is free: {views:?}");
}
