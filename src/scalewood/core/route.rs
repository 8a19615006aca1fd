//! Routes: which service a caller's request goes to, and under which terms.
//!
//! A route is found by the host and the longest path prefix. It names one service, or
//! several with weights, and carries the class of its requests: rank, target, timeout,
//! attempts. A [`Routing`] is one whole document of them, with its teams and the limits
//! towards callers; an operator replaces it as a whole, under a version of its own.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{config, name, residency, scaling, secret, unit, warm_up};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A call that may run any number of times.
    Safe,
    /// A call that runs at most once.
    Unsafe,
    /// A stream of events; `resumable` if another endpoint may go on from an event.
    Stream {
        /// Whether it may go on elsewhere.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run can be sent again from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The service.
    pub service: name::Service,
    /// Its weight beside the others.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that it holds for, in lower case.
    pub host: String,
    /// The path prefix that it holds for; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Where its requests go.
    pub shares: Vec<Share>,
    /// The longest that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which the answer or the first event is due, in milliseconds.
    pub target_ms: u64,
    /// The longest pause between two events that is in time, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_ms: Option<u64>,
    /// How long callers of a stream wait for its first or next event before they leave, in
    /// milliseconds; without it, as long as the request is held.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patience_ms: Option<u64>,
    /// Its rank; 0 is the highest.
    pub tier: unit::Tier,
    /// The most endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    #[serde(default)]
    pub public: bool,
    /// Where its requests may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

impl Route {
    /// The longest that a request is held.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How long callers wait for the first event, or the answer.
    pub fn patience(&self) -> Duration {
        self.patience_ms
            .map_or(Duration::MAX, Duration::from_millis)
    }

    /// The time within which the answer or the first event is due.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// The service for a request, by a number that is drawn evenly from `0.0..1.0`.
    pub fn pick(&self, drawn: f64) -> Option<&name::Service> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        // Weights are far below 2^52, so the casts are exact enough.
        let mut point = (drawn * total as f64) as u64;
        for share in &self.shares {
            if point < u64::from(share.weight) {
                return Some(&share.service);
            }
            point -= u64::from(share.weight);
        }
        self.shares
            .iter()
            .find(|s| s.weight > 0)
            .map(|s| &s.service)
    }

    /// The class that its requests are dispatched as.
    fn class(&self) -> config::Class {
        let deadline = self.timeout().max(Duration::from_millis(1));
        config::Class {
            tier: self.tier,
            target: self.target().clamp(Duration::from_millis(1), deadline),
            deadline,
            share: unit::Share::default(),
            preemptible: false,
            repeatable: self.kind.is_repeatable(),
            gap: self.gap_ms,
            allowed: self.allowed.clone(),
        }
    }
}

/// A service that routes lead to; its endpoints register themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Connections that one endpoint takes from all boxes together.
    pub connections: u32,
    /// Whether its endpoints are model engines.
    pub model: bool,
    /// Tokens that an endpoint's memory holds, if that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<unit::Tokens>,
    /// How its endpoints warm up after a start, if they have to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<warm_up::Rate>,
    /// What the provider offers, if endpoints can be ordered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<scaling::Offer>,
}

/// A team that calls routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The hashes of its keys.
    pub keys: Vec<secret::Hash>,
    /// Its rank, which goes before that of the route; 0 is the highest.
    pub tier: unit::Tier,
    /// Where its requests may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

/// How callers are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may be at rest, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_ms: 3000,
            idle_ms: 15_000,
        }
    }
}

/// One whole document of routes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// The operator's version.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<name::Class, Route>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Teams by name; if there are none, no route needs a key.
    pub teams: BTreeMap<name::Team, Team>,
    /// How callers are treated.
    pub limits: Limits,
}

impl Routing {
    /// Finds everything that can't stand.
    pub fn check(&self) -> Vec<config::Problem> {
        let mut found = Vec::new();
        self.check_routes(&mut found);
        self.check_services(&mut found);
        self.check_teams(&mut found);
        found
    }

    fn check_routes(&self, found: &mut Vec<config::Problem>) {
        let mut places: BTreeMap<(&str, &str), &name::Class> = BTreeMap::new();
        for (name, route) in &self.routes {
            let mut problem = |why: String| {
                found.push(config::Problem {
                    item: format!("route {name}"),
                    why,
                });
            };
            if let Some(other) = places.insert((&route.host, &route.prefix), name) {
                problem(format!("route {other} has the same host and prefix"));
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                problem("its prefix does not start and end with a slash".into());
            }
            for share in &route.shares {
                if !self.services.contains_key(&share.service) {
                    problem(format!("service {} is not known", share.service));
                }
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                problem("its weights sum to 0; give one service a weight".into());
            }
            if route.allowed.is_nowhere() {
                problem(residency::NOWHERE.into());
            }
            if route.timeout_ms == 0 {
                problem("its timeout is 0; give it one".into());
            }
        }
    }

    fn check_services(&self, found: &mut Vec<config::Problem>) {
        for (name, service) in &self.services {
            if service.warm_up.is_some_and(|rate| !rate.is_usable()) {
                found.push(config::Problem {
                    item: format!("service {name}"),
                    why: "its warm-up takes no time or bears no requests; leave it out".into(),
                });
            }
        }
    }

    fn check_teams(&self, found: &mut Vec<config::Problem>) {
        let mut owner: HashMap<&secret::Hash, &name::Team> = HashMap::new();
        for (name, team) in &self.teams {
            if team.allowed.is_nowhere() {
                found.push(config::Problem {
                    item: format!("team {name}"),
                    why: residency::NOWHERE.into(),
                });
            }
            for key in &team.keys {
                let other = owner.insert(key, name);
                if let Some(other) = other.filter(|other| *other != name) {
                    found.push(config::Problem {
                        item: format!("team {name}"),
                        why: format!("it shares a key with team {other}; give each its own"),
                    });
                }
            }
        }
    }

    /// The services of the routes in the configuration's own form.
    pub(crate) fn configured_services(
        &self,
    ) -> impl Iterator<Item = (name::Service, config::Service)> + '_ {
        let plain = config::Service {
            kind: config::Kind::Plain,
            ..Default::default()
        };
        self.services
            .keys()
            .map(move |name| (name.clone(), plain.clone()))
    }

    /// The classes of the routes in the configuration's own form: one for each
    /// service that a route leads to.
    pub(crate) fn configured_classes(
        &self,
    ) -> impl Iterator<Item = (config::ClassKey, config::Class)> + '_ {
        self.routes.iter().flat_map(|(name, route)| {
            route.shares.iter().map(move |share| {
                let key = config::ClassKey {
                    service: share.service.clone(),
                    class: name.clone(),
                };
                (key, route.class())
            })
        })
    }
}

/// Routes indexed by host and prefix, teams by key, and the order of ranks.
#[derive(Debug, Default)]
pub struct Table {
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<(String, name::Class)>>,
    keys: HashMap<secret::Hash, name::Team>,
    /// Every pair of a route's and a team's tier that occurs, the highest first.
    ranks: Vec<(unit::Tier, unit::Tier)>,
}

impl Table {
    /// Indexes a routing.
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: HashMap<String, Vec<(String, name::Class)>> = HashMap::new();
        for (name, route) in &routing.routes {
            let of_host = hosts.entry(route.host.clone()).or_default();
            of_host.push((route.prefix.clone(), name.clone()));
        }
        for of_host in hosts.values_mut() {
            of_host.sort_by(|a, b| b.0.len().cmp(&a.0.len()).then(a.0.cmp(&b.0)));
        }
        let keys = routing
            .teams
            .iter()
            .flat_map(|(name, team)| team.keys.iter().map(move |key| (*key, name.clone())));
        Self {
            hosts,
            keys: keys.collect(),
            ranks: ranks(routing),
        }
    }

    /// The route for a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&name::Class> {
        let host = host.split(':').next().unwrap_or_default();
        let of_host = match self.hosts.get(host) {
            Some(of_host) => of_host,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let found = of_host
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()));
        found.map(|(_, name)| name)
    }

    /// The team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&name::Team> {
        self.keys.get(&secret::Hash::of(key))
    }

    /// The place of a route's and a team's tier among all that occur; 0 is the highest.
    /// The route's goes first: a class is never put behind a lower one.
    pub fn rank(&self, route: unit::Tier, team: unit::Tier) -> unit::Tier {
        let place = self.ranks.partition_point(|pair| *pair < (route, team));
        to_rank(place)
    }

    /// The least urgent rank of a route: that of its requests of the least urgent teams.
    pub fn least_rank(&self, route: unit::Tier) -> unit::Tier {
        let after = self.ranks.partition_point(|(of, _)| *of <= route);
        to_rank(after.saturating_sub(1))
    }
}

fn to_rank(place: usize) -> unit::Tier {
    unit::Tier(u8::try_from(place).unwrap_or(u8::MAX).min(MAX_RANK))
}

/// The lowest rank; endpoints tell ten apart.
const MAX_RANK: u8 = 9;

fn ranks(routing: &Routing) -> Vec<(unit::Tier, unit::Tier)> {
    let mut teams: Vec<_> = routing.teams.values().map(|team| team.tier).collect();
    teams.push(unit::Tier::default());
    teams.sort();
    teams.dedup();
    let mut routes: Vec<_> = routing.routes.values().map(|route| route.tier).collect();
    routes.sort();
    routes.dedup();
    let pairs = routes
        .iter()
        .flat_map(|route| teams.iter().map(move |team| (*route, *team)));
    pairs.collect()
}
