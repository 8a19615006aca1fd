//! Routes: which one matches, which service it leads to, and how requests are ranked.

use std::collections::BTreeMap;

use scalewood::core::{
    route::{Kind, Route, Routing, Service, Share, Table, Team},
    secret, unit,
};

fn route(host: &str, prefix: &str, tier: u8) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        shares: vec![Share {
            service: "lm".parse().unwrap(),
            weight: 1,
        }],
        timeout_ms: 1000,
        target_ms: 100,
        gap_ms: None,
        patience_ms: None,
        tier: unit::Tier(tier),
        attempts: 2,
        public: false,
        allowed: Default::default(),
    }
}

fn team(key: &str, tier: u8) -> Team {
    Team {
        keys: vec![secret::Hash::of(key)],
        tier: unit::Tier(tier),
        allowed: Default::default(),
    }
}

fn routing() -> Routing {
    let routes = [
        ("short", route("a.example", "/x/", 0)),
        ("long", route("a.example", "/x/y/", 1)),
        ("other", route("b.example", "/x/", 2)),
    ];
    let teams = [("t0", team("k0", 0)), ("t1", team("k1", 1))];
    Routing {
        version: 1,
        routes: routes
            .into_iter()
            .map(|(name, route)| (name.parse().unwrap(), route))
            .collect(),
        services: BTreeMap::from([("lm".parse().unwrap(), Service::default())]),
        teams: teams
            .into_iter()
            .map(|(name, team)| (name.parse().unwrap(), team))
            .collect(),
        ..Routing::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_holds() {
    let table = Table::new(&routing());
    let found = |host, path| table.route(host, path).map(|name| name.as_str().to_owned());
    assert_eq!(found("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(found("a.example:80", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(found("A.Example", "/x/y/").as_deref(), Some("long"));
    assert_eq!(found("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(found("a.example", "/xy"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn a_weighted_route_leads_to_each_service_by_its_part() {
    let mut weighted = route("a.example", "/x/", 0);
    weighted.shares = ["a", "b", "c"]
        .into_iter()
        .zip([3, 0, 1])
        .map(|(service, weight)| Share {
            service: service.parse().unwrap(),
            weight,
        })
        .collect();
    let mut counts = BTreeMap::<String, u32>::new();
    for i in 0..1000 {
        let picked = weighted.pick_service(f64::from(i) / 1000.0).unwrap();
        *counts.entry(picked.to_string()).or_default() += 1;
    }
    let expected = BTreeMap::from([("a".to_owned(), 750), ("c".to_owned(), 250)]);
    assert_eq!(counts, expected);
}

#[test]
fn a_class_never_stands_behind_a_lower_one_and_teams_order_within_it() {
    let table = Table::new(&routing());
    let rank = |route, team| table.rank(unit::Tier(route), unit::Tier(team)).0;
    let ranks: Vec<_> = [(0, 0), (0, 1), (1, 0), (1, 1), (2, 0), (2, 1)]
        .into_iter()
        .map(|(route, team)| rank(route, team))
        .collect();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
}

#[test]
fn what_can_not_stand_is_told_all_at_once() {
    let mut routing = routing();
    let broken = routing.routes.get_mut(&"other".parse().unwrap()).unwrap();
    broken.host = "a.example".into();
    broken.timeout_ms = 0;
    broken.shares = vec![Share {
        service: "nobody".parse().unwrap(),
        weight: 0,
    }];
    routing.teams.insert("t2".parse().unwrap(), team("k1", 0));
    let problems: Vec<_> = routing.check().iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(problems.join("\n"), @r"
    route other: service nobody is not known
    route other: its weights sum to 0; give one service a weight
    route other: its timeout is 0; give it one
    route short: route other has the same host and prefix
    team t2: it shares a key with team t1; give each its own
    ");
}

#[test]
fn a_key_belongs_to_its_team_until_it_is_taken_away() {
    let mut routing = routing();
    let table = Table::new(&routing);
    assert_eq!(table.team("k1").map(|t| t.as_str()), Some("t1"));
    assert_eq!(table.team("k2"), None);
    routing.teams.get_mut(&"t1".parse().unwrap()).unwrap().keys = Vec::new();
    assert_eq!(Table::new(&routing).team("k1"), None);
}

/// The ranks of requests take teams into account, and the tiers of routes do not. A dispatcher that
/// compared a class's tier with such ranks would place the class above its own less urgent teams.
#[test]
fn a_class_has_the_rank_of_its_least_urgent_team() {
    let table = Table::new(&routing());
    let tiers = || routing().teams.into_values().map(|team| team.tier);
    for route in routing().routes.into_values() {
        let ranks = tiers().map(|team| table.rank(route.tier, team));
        assert_eq!(Some(table.lowest_rank(route.tier)), ranks.max());
    }
}
