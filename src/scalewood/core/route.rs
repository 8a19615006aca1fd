//! Routes: which service a request is sent to, and with which service level.
//!
//! A route is selected by the host and the longest matching path prefix. It names one service,
//! or several with weights, and sets the service level of its requests: tier, target, timeout and
//! attempts. A [`Routing`] is a document of all routes, with the teams and the limits on callers.
//! An operator always replaces it as a whole, under a version number of its own.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{config, name, residency, scaling, secret, unit, warm_up};

/// Whether the requests of a route may be repeated, and whether they are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Idempotent calls, which may run any number of times.
    Safe,
    /// Calls that may run at most once.
    Unsafe,
    /// Streams of events.
    Stream {
        /// Whether another endpoint can continue a stream after any of its events.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may already have run may be sent again from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service with its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The name of the service.
    pub service: name::Service,
    /// Its part of the route's requests, relative to the weights of the route's other services.
    pub weight: u32,
}

/// A route from a host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that it applies to, in lower case.
    pub host: String,
    /// The path prefix that it applies to; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated, and whether they are streams.
    pub kind: Kind,
    /// The services that its requests are distributed over.
    pub shares: Vec<Share>,
    /// The longest time that a request is kept before it fails, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which the answer, or the first event of a stream, is due, in milliseconds.
    pub target_ms: u64,
    /// The longest acceptable pause between two events of a stream, in milliseconds; absent for
    /// no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_ms: Option<u64>,
    /// How long callers of a stream wait for its first or next event before they disconnect, in
    /// milliseconds; if absent, until the timeout.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patience_ms: Option<u64>,
    /// The priority of its requests; 0 is the highest.
    pub tier: unit::Tier,
    /// The maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether callers without a key may use it.
    #[serde(default)]
    pub public: bool,
    /// The regions in which its requests may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

impl Route {
    /// Returns the longest time that a request is kept before it fails.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns how long callers wait for the first or next event before they disconnect;
    /// `Duration::MAX` if the route does not say.
    pub fn patience(&self) -> Duration {
        self.patience_ms
            .map_or(Duration::MAX, Duration::from_millis)
    }

    /// Returns the time within which the answer, or the first event of a stream, is due.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Returns a service for a request, chosen by weight. `drawn` is a uniformly distributed random
    /// number in `0.0..1.0`.
    pub fn pick_service(&self, drawn: f64) -> Option<&name::Service> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        // The weights are far below 2^52, so the casts lose no precision that matters.
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

    /// Returns the class with which its requests are dispatched.
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

/// A service that routes name; its endpoints register themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The number of connections that one endpoint accepts from all boxes together.
    pub connections: u32,
    /// Whether its endpoints are model engines.
    pub model: bool,
    /// The number of tokens that an endpoint's memory holds, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<unit::Tokens>,
    /// How fast its endpoints warm up after a start; absent if they need no warm-up.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<warm_up::Rate>,
    /// What the provider offers for the service; absent if endpoints can't be ordered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<scaling::Offer>,
}

/// A team that sends requests to routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The hashes of the keys that authenticate its callers.
    pub keys: Vec<secret::Hash>,
    /// The priority of its requests among those of one route tier; 0 is the highest.
    pub tier: unit::Tier,
    /// The regions in which its requests may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// The maximum size of a request's head (request line and headers), in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which the whole head has to arrive, in milliseconds.
    pub head_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
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

/// A document of all routes, with the services and teams that they refer to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// The version number that the operator gave it.
    pub version: u64,
    /// Routes by name.
    pub routes: BTreeMap<name::Class, Route>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Teams by name; if there are none, no route requires a key.
    pub teams: BTreeMap<name::Team, Team>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
}

impl Routing {
    /// Returns all problems that make the routing invalid.
    pub fn check(&self) -> Vec<config::Problem> {
        let mut problems = Vec::new();
        self.check_routes(&mut problems);
        self.check_services(&mut problems);
        self.check_teams(&mut problems);
        problems
    }

    fn check_routes(&self, problems: &mut Vec<config::Problem>) {
        let mut owners: BTreeMap<(&str, &str), &name::Class> = BTreeMap::new();
        for (name, route) in &self.routes {
            let mut problem = |why: String| {
                problems.push(config::Problem {
                    item: format!("route {name}"),
                    why,
                });
            };
            if let Some(other) = owners.insert((&route.host, &route.prefix), name) {
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
                problem(residency::EMPTY_REGIONS_ERROR.into());
            }
            if route.timeout_ms == 0 {
                problem("its timeout is 0; give it one".into());
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<config::Problem>) {
        for (name, service) in &self.services {
            if service.warm_up.is_some_and(|rate| !rate.is_usable()) {
                problems.push(config::Problem {
                    item: format!("service {name}"),
                    why: "its warm-up takes no time or bears no requests; leave it out".into(),
                });
            }
        }
    }

    fn check_teams(&self, problems: &mut Vec<config::Problem>) {
        let mut owner: HashMap<&secret::Hash, &name::Team> = HashMap::new();
        for (name, team) in &self.teams {
            if team.allowed.is_nowhere() {
                problems.push(config::Problem {
                    item: format!("team {name}"),
                    why: residency::EMPTY_REGIONS_ERROR.into(),
                });
            }
            for key in &team.keys {
                let other = owner.insert(key, name);
                if let Some(other) = other.filter(|other| *other != name) {
                    problems.push(config::Problem {
                        item: format!("team {name}"),
                        why: format!("it shares a key with team {other}; give each its own"),
                    });
                }
            }
        }
    }

    /// Returns the services as they appear in the configuration document.
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

    /// Returns the classes as they appear in the configuration document: one for each route and
    /// each service that it names, under the route's name.
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

/// An index of a routing: routes by host and path prefix, teams by key, and the ranks of all
/// pairs of tiers.
#[derive(Debug, Default)]
pub struct Table {
    /// The path prefixes and routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<(String, name::Class)>>,
    /// The team of each key.
    keys: HashMap<secret::Hash, name::Team>,
    /// All pairs of a route's tier and a team's tier that can occur, in order of priority.
    ranks: Vec<(unit::Tier, unit::Tier)>,
}

impl Table {
    /// Creates the index of a routing.
    pub fn new(routing: &Routing) -> Self {
        let mut hosts: HashMap<String, Vec<(String, name::Class)>> = HashMap::new();
        for (name, route) in &routing.routes {
            let host_routes = hosts.entry(route.host.clone()).or_default();
            host_routes.push((route.prefix.clone(), name.clone()));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by(|a, b| b.0.len().cmp(&a.0.len()).then(a.0.cmp(&b.0)));
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

    /// Returns the route for a host, with or without a port, and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&name::Class> {
        let host = host.split(':').next().unwrap_or_default();
        let host_routes = match self.hosts.get(host) {
            Some(host_routes) => host_routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        let matching = host_routes
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()));
        matching.map(|(_, name)| name)
    }

    /// Returns the team that a key belongs to.
    pub fn team(&self, key: &str) -> Option<&name::Team> {
        self.keys.get(&secret::Hash::of(key))
    }

    /// Returns the rank of a route's and a team's tier among all pairs that occur; 0 is the highest
    /// priority. Pairs are ordered by the route's tier first, so a route never ranks behind one of
    /// a lower tier.
    pub fn rank(&self, route: unit::Tier, team: unit::Tier) -> unit::Tier {
        let position = self.ranks.partition_point(|pair| *pair < (route, team));
        to_rank(position)
    }

    /// Returns the lowest priority that a request of a route's tier can have: that of the teams of
    /// the lowest tier.
    pub fn lowest_rank(&self, route: unit::Tier) -> unit::Tier {
        let end = self.ranks.partition_point(|(of, _)| *of <= route);
        to_rank(end.saturating_sub(1))
    }
}

/// Converts a position in `ranks` to a rank; positions after `MAX_RANK` share it.
fn to_rank(position: usize) -> unit::Tier {
    unit::Tier(u8::try_from(position).unwrap_or(u8::MAX).min(MAX_RANK))
}

/// The number of the lowest-priority rank; endpoints distinguish ten.
const MAX_RANK: u8 = 9;

/// Returns all pairs of a route's and a team's tier that can occur, in order of priority; callers
/// without a team have the default tier.
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
