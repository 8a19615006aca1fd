//! The state of a box's links to endpoints, and the boxes that hubs name to serve its requests.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use rand::Rng as _;
use scalewood::core::{
    load::{Hub, Update},
    name,
    reach::{sample, Change, Peer, Report, Tracker, CHECKED_ENDPOINTS},
};

use crate::random;

const START: Duration = Duration::from_secs(100);
const MILLISECOND: Duration = Duration::from_millis(1);

fn service(text: &str) -> name::Service {
    text.parse().unwrap()
}

fn endpoint(number: usize) -> name::Endpoint {
    format!("i-{number}").parse().unwrap()
}

fn box_name(text: &str) -> name::Box {
    text.parse().unwrap()
}

/// Returns a tracker whose links to `lm` are lost since `START`.
fn lost() -> Tracker {
    let mut links = Tracker::default();
    let lm = service("lm");
    assert!(!links.record_failure(&lm, &endpoint(0), START));
    assert!(links.record_failure(&lm, &endpoint(1), START));
    assert_eq!(links.finish_check(&lm, false, START), Change::Lost);
    links
}

/// Guards against a dead endpoint that makes a box check its links again and again: a failure at one
/// endpoint starts no check, and neither do failures with a new connection in between.
#[test]
fn failures_at_several_endpoints_start_a_check() {
    let lm = service("lm");
    let mut links = Tracker::default();
    assert!(!links.record_failure(&lm, &endpoint(0), START));
    links.record_answer(&lm, true);
    assert!(!links.record_failure(&lm, &endpoint(1), START));
    // An answer over an open connection does not show that new ones open.
    links.record_answer(&lm, false);
    assert!(links.record_failure(&lm, &endpoint(2), START + MILLISECOND));
    // The check is under way.
    assert!(!links.record_failure(&lm, &endpoint(3), START + MILLISECOND));
    let opened = links.finish_check(&lm, true, START + MILLISECOND);
    assert_eq!(opened, Change::Unchanged);
    // Checks keep a distance.
    for i in 0..4 {
        assert!(!links.record_failure(&lm, &endpoint(i), START + 2 * MILLISECOND));
    }
    assert!(links.record_failure(&lm, &endpoint(0), START + Duration::from_millis(600)));
}

/// Guards against links that count as lost while most endpoints are reachable: two endpoints restart again
/// and again, and a check connects only to their addresses, under the names of their earlier starts.
#[test]
fn a_check_connects_to_each_address_once_and_to_failed_ones_last() {
    const ADDRESSES: u16 = 9;
    const STARTS: usize = 4;
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], 9000 + port));
    let name = |port: u16, start| format!("i-{port}-{start}").parse().unwrap();
    // The first two endpoints are known under the names of all their starts.
    let restarted =
        (0..2).flat_map(|port| (0..STARTS).map(move |start| (name(port, start), at(port))));
    let others = (2..ADDRESSES).map(|port| (name(port, 0), at(port)));
    let endpoints: Vec<(name::Endpoint, _)> = restarted.chain(others).collect();
    let failed = BTreeSet::from([name(0, STARTS - 1), name(1, STARTS - 1)]);
    let mut random = random::random(1);
    for _ in 0..200 {
        let checked = sample(endpoints.clone(), &failed, CHECKED_ENDPOINTS, &mut random);
        let distinct: BTreeSet<_> = checked.iter().collect();
        assert_eq!(distinct.len(), CHECKED_ENDPOINTS, "{checked:?}");
        assert!(
            !checked.contains(&at(0)) && !checked.contains(&at(1)),
            "{checked:?}"
        );
    }
    let all = sample(endpoints, &failed, usize::from(ADDRESSES), &mut random);
    assert_eq!(all.len(), usize::from(ADDRESSES));
    assert!(
        all[7..].contains(&at(0)) && all[7..].contains(&at(1)),
        "{all:?}"
    );
}

/// Guards against a box with few requests that never notices that its links are lost: those of one
/// request fail a second apart, by the default limit on the time to connect.
#[test]
fn failures_of_a_single_request_start_a_check() {
    let lm = service("lm");
    let mut links = Tracker::default();
    assert!(!links.record_failure(&lm, &endpoint(0), START));
    let later = START + Duration::from_millis(1100);
    assert!(links.record_failure(&lm, &endpoint(1), later));
}

/// Guards against old failures that count together with new ones.
#[test]
fn failures_far_apart_start_no_check() {
    let lm = service("lm");
    let mut links = Tracker::default();
    for i in 0..10 {
        let at = START + Duration::from_secs(4) * u32::try_from(i).unwrap();
        assert!(!links.record_failure(&lm, &endpoint(i), at));
    }
}

/// Guards against a box with a single endpoint, or a single favourite, that never checks its links.
#[test]
fn repeated_failures_at_one_endpoint_start_a_check() {
    let lm = service("lm");
    let mut links = Tracker::default();
    assert!(!links.record_failure(&lm, &endpoint(0), START));
    assert!(!links.record_failure(&lm, &endpoint(0), START));
    assert!(links.record_failure(&lm, &endpoint(0), START));
}

#[test]
fn lost_links_work_again_once_a_connection_opens() {
    let lm = service("lm");
    let mut links = lost();
    assert!(links.is_lost(&lm));
    assert_eq!(links.lost(), vec![lm.clone()]);
    // An open connection may live on while new ones are refused.
    links.record_answer(&lm, false);
    assert!(links.is_lost(&lm));
    let later = START + Duration::from_secs(3);
    assert_eq!(links.finish_check(&lm, false, later), Change::Unchanged);
    let restored = Change::Restored(Duration::from_secs(3));
    assert_eq!(links.finish_check(&lm, true, later), restored);
    assert!(!links.is_lost(&lm) && !links.is_doubtful(&lm, later));
}

/// Guards against failures over broken links that raise the risks of sound endpoints at all boxes,
/// and against failures of endpoints that are held back though others answer.
#[test]
fn failures_are_in_doubt_until_an_endpoint_answers() {
    let lm = service("lm");
    let mut links = Tracker::default();
    assert!(!links.is_doubtful(&lm, START));
    let _ = links.record_failure(&lm, &endpoint(0), START);
    assert!(links.is_doubtful(&lm, START));
    links.record_answer(&lm, false);
    assert!(!links.is_doubtful(&lm, START));
    let _ = links.record_failure(&lm, &endpoint(0), START);
    assert!(!links.is_doubtful(&lm, START + Duration::from_secs(1)));
    assert!(lost().is_doubtful(&lm, START + Duration::from_secs(60)));
}

/// Over any order of events: links are lost only by a failed check, checks don't overlap, and a
/// connection that opens ends each loss.
#[test]
fn links_are_lost_and_found_only_by_checks() {
    for seed in random::seeds(300) {
        let mut random = random::random(seed);
        let lm = service("lm");
        let mut links = Tracker::default();
        let (mut now, mut checking, mut lost) = (START, false, false);
        for _ in 0..400 {
            now += Duration::from_millis(random.random_range(0..300));
            match random.random_range(0..5) {
                0 | 1 => {
                    let failed = endpoint(random.random_range(0..4));
                    if links.record_failure(&lm, &failed, now) {
                        assert!(!checking && !lost, "seed {seed}: two checks");
                        checking = true;
                    }
                }
                2 => links.record_answer(&lm, random.random_bool(0.5)),
                3 if !checking && !lost => checking = links.begin_check(&lm),
                _ if checking || lost => {
                    let opened = random.random_bool(0.4);
                    let change = links.finish_check(&lm, opened, now);
                    let expected = match (lost, opened) {
                        (true, true) => matches!(change, Change::Restored(_)),
                        (false, false) => change == Change::Lost,
                        _ => change == Change::Unchanged,
                    };
                    assert!(expected, "seed {seed}: {change:?}");
                    (checking, lost) = (false, !opened);
                }
                _ => {}
            }
            assert_eq!(links.is_lost(&lm), lost, "seed {seed}");
            assert!(!lost || links.has_failures(), "seed {seed}");
        }
    }
}

/// Reports a box's links to its hub; returns the boxes that the hub names.
fn report(hub: &mut Hub, from: &str, zone: &str, lost: &[&str], now: Duration) -> Vec<Peer> {
    let number: u16 = from[1..].parse().unwrap();
    let report = Report {
        zone: zone.parse().unwrap(),
        address: Some(([127, 0, 0, 1], number).into()),
        lost: lost.iter().map(|text| service(text)).collect(),
    };
    let told = Update {
        reach: Some(report),
        ..Update::default()
    };
    let known = hub.knows(&box_name(from));
    hub.exchange(&box_name(from), !known, told, now).peers
}

fn names(peers: &[Peer]) -> Vec<&str> {
    peers.iter().map(|peer| peer.name.as_str()).collect()
}

/// Guards against boxes that are given their own name, one that has lost the same links, or one that
/// stops.
#[test]
fn a_hub_names_boxes_that_reach_the_service() {
    let mut hub = Hub::default();
    assert!(report(&mut hub, "e1", "z0", &[], START).is_empty());
    assert!(report(&mut hub, "e2", "z0", &["lm"], START).len() == 1);
    assert!(report(&mut hub, "e3", "z0", &["app"], START).len() == 2);
    report(&mut hub, "e4", "z0", &[], START);
    let stopping = Update {
        reach: Some(Report {
            zone: "z0".parse().unwrap(),
            address: None,
            lost: Vec::new(),
        }),
        ..Update::default()
    };
    hub.exchange(&box_name("e4"), false, stopping, START);
    let named = report(&mut hub, "e2", "z0", &["lm"], START);
    assert_eq!(names(&named), ["e1", "e3"]);
    let named = report(&mut hub, "e1", "z0", &["lm", "app"], START);
    assert_eq!(names(&named), ["e2", "e3"]);
    // A box that has fallen silent is forgotten.
    let later = START + Duration::from_secs(1);
    report(&mut hub, "e1", "z0", &[], later);
    let named = report(
        &mut hub,
        "e2",
        "z0",
        &["lm"],
        START + Duration::from_secs(2),
    );
    assert_eq!(names(&named), ["e1"]);
}

/// Guards against a zone whose boxes have all lost their links and hear of none that has not.
#[test]
fn hubs_name_boxes_of_each_other() {
    let (mut near, mut far) = (Hub::default(), Hub::default());
    let (near_name, far_name) = (box_name("c1"), box_name("c2"));
    for i in 1..=20 {
        report(&mut far, &format!("e{i}"), "z1", &[], START);
    }
    let told = far.update_for(&near_name, true, START);
    assert_eq!(told.peers.as_ref().map(Vec::len), Some(8));
    assert!(near.apply_peer_update(&far_name, true, told, START));
    let named = report(&mut near, "e21", "z0", &["lm"], START);
    assert_eq!(named.len(), 8);
    assert!(named.iter().all(|peer| peer.zone.as_str() == "z1"));
    // Nothing is sent while nothing changes, and another box once one of the eight loses links.
    assert_eq!(far.update_for(&near_name, false, START).peers, None);
    let gone = named[0].name.clone();
    report(&mut far, gone.as_str(), "z1", &["lm"], START);
    let told = far.update_for(&near_name, false, START).peers.unwrap();
    assert_eq!(told.len(), 8);
    assert!(told.iter().all(|peer| peer.name != gone));
}

/// Guards against a hub that names the same few boxes to all that have lost their links.
#[test]
fn boxes_that_lose_links_are_spread_over_the_others() {
    let mut hub = Hub::default();
    for i in 0..60 {
        report(&mut hub, &format!("e{i}"), "z0", &[], START);
    }
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for i in 0..30 {
        let named = report(&mut hub, &format!("e{i}"), "z0", &["lm"], START);
        assert_eq!(named.len(), 8);
        for peer in named {
            *counts.entry(peer.name.to_string()).or_default() += 1;
        }
    }
    // 240 names over 30 to 59 boxes.
    let most = counts.values().max().unwrap();
    assert!(counts.len() >= 30 && *most <= 20, "{counts:?}");
}
