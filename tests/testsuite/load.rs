//! The load of all boxes at endpoints: sent as differences, aggregated, and dropped when a box or
//! hub falls silent.

use std::time::Duration;

use scalewood::core::{
    dispatch::Prefix,
    load::{
        difference, merge, EndpointLoad, Hub, Load, Loads, Measured, Outcome, OutcomeCounts,
        Placement, Prefill, Prompts, Risk, Update,
    },
    name,
};

const START: Duration = Duration::from_secs(100);

fn load(unread: u64, running: u32) -> Load {
    Load {
        pending_prefill: unread,
        cached: unread,
        running,
        ..Load::default()
    }
}

fn loaded(endpoint: &str, load: Load) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.parse().unwrap(),
        load,
    }
}

/// Reports the changed loads of a box to its hub and returns those of the others.
fn exchange(
    hub: &mut Hub,
    from: &name::Box,
    anew: bool,
    loads: Vec<EndpointLoad>,
    now: Duration,
) -> Vec<EndpointLoad> {
    let told = Update {
        loads,
        ..Update::default()
    };
    hub.exchange(from, anew, told, now).update.loads
}

fn box_name(text: &str) -> name::Box {
    text.parse().unwrap()
}

#[test]
fn a_difference_brings_another_to_the_same_loads() {
    let mut told = Loads::new();
    merge(
        &mut told,
        vec![loaded("a", load(10, 1)), loaded("b", load(20, 2))],
    );
    let mut loads = Loads::new();
    merge(
        &mut loads,
        vec![loaded("b", load(25, 2)), loaded("c", load(1, 1))],
    );
    let changed = difference(&told, &loads);
    assert_eq!(changed.len(), 3, "one changed, one new, one ended");
    merge(&mut told, changed);
    assert_eq!(told, loads);
    assert!(difference(&told, &loads).is_empty());
}

#[test]
fn a_box_hears_what_the_others_have_and_not_its_own() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    let heard = exchange(
        &mut hub,
        &one,
        true,
        vec![loaded("a", load(1000, 1))],
        START,
    );
    assert!(heard.is_empty(), "{heard:?}");
    let heard = exchange(
        &mut hub,
        &other,
        true,
        vec![loaded("a", load(500, 1))],
        START,
    );
    assert_eq!(heard, [loaded("a", load(1000, 1))]);
    let heard = exchange(&mut hub, &one, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", load(500, 1))]);
    let heard = exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", load(9000, 9))],
        START,
    );
    assert!(heard.is_empty(), "the load of the other box did not change");
    // A load that ends is sent as zero.
    exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", Load::default())],
        START,
    );
    let heard = exchange(&mut hub, &other, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", Load::default())]);
}

#[test]
fn a_box_that_falls_silent_or_starts_anew_leaves_nothing_behind() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    exchange(
        &mut hub,
        &one,
        true,
        vec![loaded("a", load(1000, 1))],
        START,
    );
    exchange(&mut hub, &other, true, Vec::new(), START);
    exchange(&mut hub, &one, true, vec![loaded("b", load(700, 1))], START);
    let heard = exchange(&mut hub, &other, false, Vec::new(), START);
    let ended = [loaded("b", load(700, 1)), loaded("a", Load::default())];
    assert_eq!(heard, ended, "it has restarted");
    let later = START + Duration::from_secs(2);
    exchange(&mut hub, &other, true, Vec::new(), later);
    assert!(!hub.knows(&one), "it has been silent for two seconds");
    assert!(exchange(&mut hub, &other, false, Vec::new(), later).is_empty());
}

#[test]
fn each_box_hears_once_of_what_the_others_have_placed() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    let placement = |prefix| Placement {
        prefix: Prefix(prefix),
        endpoint: "a".parse().unwrap(),
    };
    let mut exchange = |from: &name::Box, anew, placements: Vec<u64>| {
        let told = Update {
            placements: placements.into_iter().map(placement).collect(),
            ..Update::default()
        };
        let heard = hub.exchange(from, anew, told, START).update.placements;
        heard.iter().map(|p| p.prefix.0).collect::<Vec<_>>()
    };
    assert!(
        exchange(&one, true, vec![1, 2]).is_empty(),
        "a box's own placements are not sent back to it"
    );
    assert_eq!(exchange(&other, true, vec![3]), [1, 2]);
    assert_eq!(exchange(&one, false, vec![4]), [3]);
    assert_eq!(exchange(&other, false, Vec::new()), [4]);
    assert!(exchange(&other, false, Vec::new()).is_empty());
    // A box that restarts receives all placements that are remembered.
    assert_eq!(exchange(&other, true, Vec::new()), [1, 2, 4]);
}

#[test]
fn small_changes_are_not_told_and_ends_always_are() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    exchange(
        &mut hub,
        &one,
        true,
        vec![loaded("a", load(1000, 3))],
        START,
    );
    exchange(&mut hub, &other, true, Vec::new(), START);
    exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", load(1100, 4))],
        START,
    );
    assert!(exchange(&mut hub, &other, false, Vec::new(), START).is_empty());
    // Small changes add up.
    exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", load(1450, 4))],
        START,
    );
    let heard = exchange(&mut hub, &other, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", load(1450, 4))]);
    exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", load(100, 1))],
        START,
    );
    exchange(
        &mut hub,
        &one,
        false,
        vec![loaded("a", Load::default())],
        START,
    );
    let heard = exchange(&mut hub, &other, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", Load::default())]);
}

/// Returns two hubs that exchange loads in both directions, and the name of one box of each.
fn linked_hubs() -> (Hub, Hub, name::Box, name::Box) {
    let (mut near, mut far) = (Hub::default(), Hub::default());
    let (one, other) = (box_name("e1"), box_name("e2"));
    exchange(&mut near, &one, true, Vec::new(), START);
    exchange(&mut far, &other, true, Vec::new(), START);
    send_news(&mut near, "c1", &mut far, "c2", true, START);
    send_news(&mut far, "c2", &mut near, "c1", true, START);
    (near, far, one, other)
}

/// Sends the news of the hub `from` to the hub `to`.
fn send_news(from: &mut Hub, name: &str, to: &mut Hub, peer: &str, anew: bool, now: Duration) {
    let news = from.update_for(&box_name(peer), anew, now);
    assert!(
        to.apply_peer_update(&box_name(name), anew, news, now),
        "{name} is known"
    );
}

#[test]
fn boxes_of_different_hubs_hear_of_each_other_and_nothing_goes_round() {
    let (mut near, mut far, one, other) = linked_hubs();
    exchange(
        &mut near,
        &one,
        false,
        vec![loaded("a", load(9000, 9))],
        START,
    );
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    let heard = exchange(&mut far, &other, false, Vec::new(), START);
    assert_eq!(heard, [loaded("a", load(9000, 9))]);
    let back = far.update_for(&box_name("c1"), false, START);
    assert!(
        back.is_empty(),
        "a hub reports only its own boxes: {back:?}"
    );
}

#[test]
fn a_hub_that_falls_silent_leaves_nothing_behind_and_starts_anew() {
    let (mut near, mut far, one, other) = linked_hubs();
    exchange(
        &mut near,
        &one,
        false,
        vec![loaded("a", load(9000, 9))],
        START,
    );
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    exchange(&mut far, &other, false, Vec::new(), START);
    let later = START + Duration::from_millis(800);
    let heard = exchange(&mut far, &other, false, Vec::new(), later);
    assert_eq!(heard, [loaded("a", Load::default())]);
    let changes = near.update_for(&box_name("c2"), false, later);
    assert!(
        !far.apply_peer_update(&box_name("c1"), false, changes, later),
        "a hub that has dropped the rest can't apply differences"
    );
    exchange(&mut near, &one, false, Vec::new(), later);
    send_news(&mut near, "c1", &mut far, "c2", true, later);
    let heard = exchange(&mut far, &other, false, Vec::new(), later);
    assert_eq!(heard, [loaded("a", load(9000, 9))]);
}

/// Reports the outcomes of a box's requests at an endpoint to its hub and returns the risks that
/// the hub answers.
fn report_outcome(
    hub: &mut Hub,
    from: &name::Box,
    endpoint: &str,
    answered: u32,
    failed: u32,
    now: Duration,
) -> Vec<(String, u16)> {
    let outcome = Outcome {
        endpoint: endpoint.parse().unwrap(),
        count: OutcomeCounts { answered, failed },
    };
    let told = Update {
        outcomes: vec![outcome],
        ..Update::default()
    };
    let heard = hub.exchange(from, false, told, now).update.risks;
    let risk = |risk: Risk| (risk.endpoint.to_string(), risk.chance.0);
    heard.into_iter().map(risk).collect()
}

fn risks(hub: &mut Hub, from: &name::Box, now: Duration) -> Vec<(String, u16)> {
    let heard = hub
        .exchange(from, false, Update::default(), now)
        .update
        .risks;
    let risk = |risk: Risk| (risk.endpoint.to_string(), risk.chance.0);
    heard.into_iter().map(risk).collect()
}

#[test]
fn a_failure_that_one_box_met_is_known_to_the_boxes_of_all_hubs() {
    let (mut near, mut far, one, other) = linked_hubs();
    report_outcome(&mut near, &one, "a", 0, 1, START);
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    let heard = risks(&mut far, &other, START);
    assert_eq!(heard.len(), 1, "{heard:?}");
    assert!(heard[0].0 == "a" && heard[0].1 > 300, "{heard:?}");
    assert!(
        risks(&mut far, &other, START).is_empty(),
        "a risk is reported once"
    );
    // Successful answers outweigh the failure.
    report_outcome(&mut near, &one, "a", 8, 0, START);
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    assert_eq!(risks(&mut far, &other, START), [("a".to_owned(), 0)]);
}

#[test]
fn what_a_box_meets_that_fails_everywhere_counts_less() {
    let mut hub = Hub::default();
    let (sound, cut) = (box_name("e1"), box_name("e2"));
    exchange(&mut hub, &sound, true, Vec::new(), START);
    exchange(&mut hub, &cut, true, Vec::new(), START);
    for endpoint in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        report_outcome(&mut hub, &cut, endpoint, 0, 1, START);
    }
    let heard = risks(&mut hub, &sound, START);
    let at = |name: &str| heard.iter().find(|(n, _)| n == name).map(|(_, c)| *c);
    assert!(
        at("a") > Some(300),
        "its first failure may be due to the endpoint: {heard:?}"
    );
    assert_eq!(
        at("h"),
        None,
        "by then the failures are attributed to the box: {heard:?}"
    );
}

#[test]
fn an_endpoint_that_leaves_all_boxes_unanswered_is_known_as_silent() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    exchange(&mut hub, &one, true, vec![loaded("a", load(900, 1))], START);
    exchange(
        &mut hub,
        &other,
        true,
        vec![loaded("b", load(900, 1))],
        START,
    );
    // Endpoint b answers a request from time to time, endpoint a answers none.
    let mut heard = Vec::new();
    for step in 1..=8 {
        let now = START + Duration::from_millis(200) * step;
        heard.extend(report_outcome(&mut hub, &one, "b", 1, 0, now));
        heard.extend(risks(&mut hub, &other, now));
    }
    assert!(heard
        .iter()
        .any(|(name, chance)| name == "a" && *chance > 300));
    assert!(heard.iter().all(|(name, _)| name != "b"), "{heard:?}");
}

#[test]
fn a_box_that_starts_hears_how_large_the_prompts_of_each_class_are() {
    let (mut near, mut far, one, other) = linked_hubs();
    let seen = |class: &str, count, tokens| Prompts {
        class: class.parse().unwrap(),
        count,
        tokens,
    };
    let tell = |prompts| Update {
        prompts,
        ..Update::default()
    };
    let told = tell(vec![seen("report", 2, 24_000), seen("question", 10, 8000)]);
    let heard = near.exchange(&one, false, told, START).update.prompts;
    assert_eq!(
        heard.len(),
        2,
        "the box may have seen too few prompts itself: {heard:?}"
    );
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    let heard = far
        .exchange(&other, false, Update::default(), START)
        .update
        .prompts;
    assert_eq!(
        heard,
        [seen("question", 10, 8000), seen("report", 2, 24_000)]
    );
    // A small change of the mean is not reported again, a large one is.
    let little = tell(vec![seen("question", 1, 900)]);
    assert!(far
        .exchange(&other, false, little, START)
        .update
        .prompts
        .is_empty());
    let much = tell(vec![seen("report", 2, 48_000)]);
    let heard = far.exchange(&other, false, much, START).update.prompts;
    assert_eq!(heard, [seen("report", 4, 72_000)]);
}

/// Guards against boxes that predict by their initial assumptions for minutes, since each of them
/// serves few requests.
#[test]
fn a_box_that_measured_nothing_hears_how_endpoints_process_prompts() {
    let (mut near, mut far, one, other) = linked_hubs();
    let measured = |millis, processed_first| Prefill {
        service: "lm".parse().unwrap(),
        measured: Measured {
            millis,
            tokens: 60_000,
            less_urgent: 40_000,
            processed_first,
        },
    };
    let tell = |prefill| Update {
        prefills: vec![prefill],
        ..Update::default()
    };
    let hear = |hub: &mut Hub, told| hub.exchange(&other, false, told, START).update.prefills;
    near.exchange(&one, false, tell(measured(1_500, 2_000)), START);
    send_news(&mut near, "c1", &mut far, "c2", false, START);
    let heard = hear(&mut far, Update::default());
    assert_eq!(heard, [measured(1_500, 2_000)]);
    assert_eq!(heard[0].measured.rate(), Some(40_000));
    assert_eq!(heard[0].measured.order(), Some(50));
    // A small change is not sent again, a large one is.
    assert!(hear(&mut far, tell(measured(1_510, 2_010))).is_empty());
    let heard = hear(&mut far, tell(measured(6_000, 40_000)));
    assert_eq!(heard.len(), 1);
    assert_eq!(heard[0].measured.tokens, 180_000);
    // A few measurements say too little.
    let mut hub = Hub::default();
    let few = Prefill {
        service: "lm".parse().unwrap(),
        measured: Measured {
            millis: 100,
            tokens: 4_000,
            less_urgent: 600,
            processed_first: 600,
        },
    };
    let heard = hub.exchange(&one, true, tell(few), START).update.prefills;
    assert!(heard.is_empty(), "{heard:?}");
}

/// When 3,000 endpoints change at once, they are reported in messages of bounded size, those with
/// the largest changes first, until all are reported.
#[test]
fn a_message_has_a_bounded_size_and_holds_what_changed_most() {
    const ENDPOINTS: u64 = 3000;
    const MAX_ROWS: usize = 256;
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    let all: Vec<_> = (0..ENDPOINTS)
        .map(|i| loaded(&format!("i-{i}"), load(1000 + i, 1)))
        .collect();
    exchange(&mut hub, &one, true, all.clone(), START);
    let mut known = Loads::new();
    let mut least = u64::MAX;
    let mut messages = 0;
    loop {
        let heard = exchange(&mut hub, &other, messages == 0, Vec::new(), START);
        if heard.is_empty() {
            break;
        }
        messages += 1;
        assert!(heard.len() <= MAX_ROWS, "{} rows", heard.len());
        let most = heard.iter().map(|loaded| loaded.load.pending_prefill).max();
        assert!(
            most.unwrap() <= least,
            "an endpoint with a larger change was left for later"
        );
        least = heard
            .iter()
            .map(|loaded| loaded.load.pending_prefill)
            .min()
            .unwrap();
        merge(&mut known, heard);
    }
    assert_eq!(messages, ENDPOINTS.div_ceil(MAX_ROWS as u64));
    let mut expected = Loads::new();
    merge(&mut expected, all);
    assert_eq!(known, expected);
}

/// A load that ends is reported even if endpoints with names before and after it still have load.
#[test]
fn a_load_that_ends_between_others_is_told() {
    let mut hub = Hub::default();
    let (one, other) = (box_name("e1"), box_name("e2"));
    let began = ["a", "b", "c", "d"].map(|name| loaded(name, load(1000, 1)));
    exchange(&mut hub, &one, true, began.to_vec(), START);
    exchange(
        &mut hub,
        &other,
        true,
        vec![loaded("b", load(5000, 3))],
        START,
    );
    let ended = ["a", "b", "d"].map(|name| loaded(name, Load::default()));
    exchange(&mut hub, &one, false, ended.to_vec(), START);
    let mut heard = exchange(&mut hub, &other, false, Vec::new(), START);
    heard.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    assert_eq!(heard, ended);
}
