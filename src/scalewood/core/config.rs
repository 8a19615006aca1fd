//! The configuration: services, classes, teams, endpoints and policies.
//!
//! A [`Document`] is one accepted state of the configuration. It is always valid: for example,
//! every item that another one refers to exists. [`Document::check`] reports all problems
//! together, so that an operator can correct a change in one attempt.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::core::{build, name, policy, residency, route, secret, unit};

/// The kind of a service, by what its endpoints are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engines, with streams, priorities and resumption.
    #[default]
    Model,
    /// Replicas of a plain HTTP service.
    Plain,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// What its endpoints are.
    pub kind: Kind,
    /// The models that it serves, by the names in requests; empty for a plain service.
    pub models: BTreeSet<name::Model>,
}

/// A class of requests of a service, with their service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// The priority of its requests; 0 is the highest.
    pub tier: unit::Tier,
    /// The time within which the first token is due; for a plain service, the answer.
    #[serde(rename = "target_ms", with = "millis")]
    pub target: Duration,
    /// How long a request may wait before it is shed.
    #[serde(rename = "deadline_ms", with = "millis")]
    pub deadline: Duration,
    /// The fraction of granted slots that the class gets at least while its requests wait.
    pub share: unit::Share,
    /// Whether its runs may be interrupted for requests of a higher tier, and resumed later.
    pub preemptible: bool,
    /// Whether a request that may already have run may be run again.
    pub repeatable: bool,
    /// The longest acceptable pause between two events of a stream, in milliseconds; absent for
    /// no bound.
    #[serde(rename = "gap_ms", skip_serializing_if = "Option::is_none")]
    pub gap: Option<u64>,
    /// The regions in which its requests may be served.
    #[serde(skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

impl Class {
    /// Returns the longest acceptable pause between two events of a stream.
    pub fn gap(&self) -> Option<Duration> {
        self.gap.map(Duration::from_millis)
    }
}

impl Default for Class {
    fn default() -> Self {
        Self {
            tier: unit::Tier(2),
            target: Duration::from_millis(950),
            deadline: Duration::from_secs(30),
            share: unit::Share::default(),
            preemptible: false,
            repeatable: true,
            gap: None,
            allowed: residency::Allowed::default(),
        }
    }
}

/// The key of a class, written as SERVICE/CLASS.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClassKey {
    /// The name of the service.
    pub service: name::Service,
    /// The name of the class within the service.
    pub class: name::Class,
}

impl fmt::Display for ClassKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.class)
    }
}

impl std::str::FromStr for ClassKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, class) = text
            .split_once('/')
            .ok_or_else(|| format!("`{text}` is not a class: write SERVICE/CLASS"))?;
        Ok(Self {
            service: service.parse().map_err(|e: name::Error| e.to_string())?,
            class: class.parse().map_err(|e: name::Error| e.to_string())?,
        })
    }
}

impl TryFrom<String> for ClassKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<ClassKey> for String {
    fn from(key: ClassKey) -> String {
        key.to_string()
    }
}

/// A team that calls services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The hash of its bearer token.
    pub token_hash: secret::Hash,
    /// The classes that it may use; the first one of a service is its default for that service.
    pub classes: Vec<ClassKey>,
    /// The number of requests that it may start per second; absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests: Option<unit::Rate>,
    /// The number of prompt and output tokens that it may use per second; absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<unit::Rate>,
    /// The regions in which its requests may be served.
    #[serde(default, skip_serializing_if = "residency::Allowed::is_everywhere")]
    pub allowed: residency::Allowed,
}

/// An endpoint of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The service that it serves.
    pub service: name::Service,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The number of requests that it can run at the same time.
    pub slots: unit::Slots,
    /// Whether it gets no new requests because it is about to be removed.
    #[serde(default)]
    pub leaving: bool,
    /// The model or adapter that an operator ordered it to load; absent for no order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<name::Model>,
    /// The build of its software. A stream goes on only at the build that began it.
    #[serde(default, skip_serializing_if = "build::Build::is_unstated")]
    pub build: build::Build,
}

/// A policy program for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The service whose requests the program is run for.
    pub service: name::Service,
    /// The source text of the program, in rhai.
    pub program: String,
}

/// An entry box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Box {
    /// Its availability zone.
    pub zone: name::Zone,
    /// The address at which the other boxes of the system reach it.
    pub address: SocketAddr,
}

/// One accepted state of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Entry boxes by name.
    pub boxes: BTreeMap<name::Box, Box>,
    /// Services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// Classes by service and name.
    pub classes: BTreeMap<ClassKey, Class>,
    /// Teams by name.
    pub teams: BTreeMap<name::Team, Team>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<name::Endpoint, Endpoint>,
    /// Policies by name.
    pub policies: BTreeMap<name::Policy, Policy>,
    /// The availability zones whose endpoints get no new requests, by order of an operator.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub cordoned: BTreeSet<name::Zone>,
    /// The published routing, if there is one. Its services and classes are also contained in
    /// `services` and `classes`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub routing: Option<Arc<route::Routing>>,
}

/// A problem that makes a document invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The item, as `kind name`.
    pub item: String,
    /// What is wrong, and how to correct it.
    pub why: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.item, self.why)
    }
}

/// The maximum number of slots of an endpoint.
pub const MAX_SLOTS: u32 = 4096;

impl Document {
    /// Returns all problems, in the order of the document's fields.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_boxes(&mut problems);
        self.check_services(&mut problems);
        self.check_classes(&mut problems);
        self.check_teams(&mut problems);
        self.check_endpoints(&mut problems);
        self.check_policies(&mut problems);
        if let Some(routing) = &self.routing {
            problems.extend(routing.check());
        }
        problems
    }

    /// Returns whether nothing has been configured yet. Cordoned zones do not count.
    pub fn is_empty(&self) -> bool {
        let empty = Self {
            cordoned: self.cordoned.clone(),
            ..Self::default()
        };
        *self == empty
    }

    /// Replaces the current routing, and the services and classes that come from it. Those of
    /// the new routing overwrite items of the same name that operators have set.
    pub fn replace_routing(&mut self, routing: Arc<route::Routing>) {
        if let Some(old) = self.routing.take() {
            for (key, _) in old.configured_classes() {
                self.classes.remove(&key);
            }
            for (name, _) in old.configured_services() {
                self.services.remove(&name);
            }
        }
        self.services.extend(routing.configured_services());
        self.classes.extend(routing.configured_classes());
        self.routing = Some(routing);
    }

    /// Returns the classes of a service.
    pub fn classes_of<'a>(
        &'a self,
        service: &'a name::Service,
    ) -> impl Iterator<Item = (&'a ClassKey, &'a Class)> {
        self.classes
            .iter()
            .filter(move |(key, _)| key.service == *service)
    }

    /// Returns the service that serves a model.
    pub fn service_of_model(&self, model: &str) -> Option<&name::Service> {
        let serves = |service: &Service| service.models.iter().any(|m| m.as_str() == model);
        self.services
            .iter()
            .find(|(_, s)| serves(s))
            .map(|(name, _)| name)
    }

    fn check_boxes(&self, problems: &mut Vec<Problem>) {
        let mut owner = BTreeMap::new();
        for (name, item) in &self.boxes {
            if let Some(other) = owner.insert(item.address, name) {
                let why = format!("box {other} has the same address");
                problems.push(Problem {
                    item: format!("box {name}"),
                    why,
                });
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<Problem>) {
        let mut owner = BTreeMap::new();
        for (name, service) in &self.services {
            let mut problem = |why: String| {
                problems.push(Problem {
                    item: format!("service {name}"),
                    why,
                })
            };
            match service.kind {
                Kind::Model if service.models.is_empty() => {
                    problem("a model service needs at least one model in `models`".into());
                }
                Kind::Plain if !service.models.is_empty() => {
                    problem("a plain service has no models; leave `models` out".into());
                }
                Kind::Model | Kind::Plain => {}
            }
            for model in &service.models {
                if let Some(other) = owner.insert(model, name) {
                    problem(format!(
                        "model {model} is already served by service {other}"
                    ));
                }
            }
        }
    }

    fn check_classes(&self, problems: &mut Vec<Problem>) {
        let mut shares: BTreeMap<&name::Service, f64> = BTreeMap::new();
        for (key, class) in &self.classes {
            let mut problem = |why: &str| {
                problems.push(Problem {
                    item: format!("class {key}"),
                    why: why.into(),
                });
            };
            if !self.services.contains_key(&key.service) {
                problem("its service is not configured; set the service first");
            }
            if class.tier > unit::LOWEST_TIER {
                problem("a tier is a number from 0, the highest, to 15");
            }
            if class.target.is_zero() || class.deadline < class.target {
                problem("`target_ms` is above 0, and `deadline_ms` is no less than `target_ms`");
            }
            let plain = self
                .services
                .get(&key.service)
                .is_some_and(|s| s.kind == Kind::Plain);
            if plain && class.preemptible {
                problem("a call of a plain service is never preempted; leave `preemptible` out");
            }
            if class.allowed.is_nowhere() {
                problem(residency::EMPTY_REGIONS_ERROR);
            }
            if class.preemptible && !class.repeatable {
                problem("a class that may not be repeated can't be preempted");
            }
            *shares.entry(&key.service).or_default() += class.share.get();
        }
        for (service, _) in shares.iter().filter(|(_, sum)| **sum > MAX_SHARE_SUM) {
            problems.push(Problem {
                item: format!("service {service}"),
                why: format!("the shares of its classes add up to more than {MAX_SHARE_SUM}"),
            });
        }
    }

    fn check_teams(&self, problems: &mut Vec<Problem>) {
        let mut owner = BTreeMap::new();
        for (name, team) in &self.teams {
            let mut problem = |why: String| {
                problems.push(Problem {
                    item: format!("team {name}"),
                    why,
                })
            };
            if let Some(other) = owner.insert(team.token_hash, name) {
                problem(format!(
                    "it has the same token as team {other}; make a new one"
                ));
            }
            if team.allowed.is_nowhere() {
                problem(residency::EMPTY_REGIONS_ERROR.into());
            }
            if team.classes.is_empty() {
                problem("it may not use any class; name at least one in `classes`".into());
            }
            for key in team
                .classes
                .iter()
                .filter(|key| !self.classes.contains_key(key))
            {
                problem(format!(
                    "class {key} is not configured; set the class first"
                ));
            }
        }
    }

    fn check_endpoints(&self, problems: &mut Vec<Problem>) {
        let mut owner = BTreeMap::new();
        for (name, endpoint) in &self.endpoints {
            let mut problem = |why: String| {
                problems.push(Problem {
                    item: format!("endpoint {name}"),
                    why,
                });
            };
            if !self.services.contains_key(&endpoint.service) {
                problem(format!(
                    "service {} is not configured; set it first",
                    endpoint.service
                ));
            }
            if endpoint.slots.0 == 0 || endpoint.slots.0 > MAX_SLOTS {
                problem(format!("`slots` is a number from 1 to {MAX_SLOTS}"));
            }
            let models = self
                .services
                .get(&endpoint.service)
                .map(|service| &service.models);
            if let (Some(load), Some(models)) = (&endpoint.load, models) {
                if !models.contains(load) {
                    problem(format!(
                        "its service does not serve model {load}; name one that it does"
                    ));
                }
            }
            if let Some(other) = owner.insert(endpoint.address, name) {
                problem(format!("endpoint {other} has the same address"));
            }
        }
    }

    fn check_policies(&self, problems: &mut Vec<Problem>) {
        let mut owner = BTreeMap::new();
        for (name, item) in &self.policies {
            let mut problem = |why: String| {
                problems.push(Problem {
                    item: format!("policy {name}"),
                    why,
                });
            };
            if !self.services.contains_key(&item.service) {
                problem(format!(
                    "service {} is not configured; set it first",
                    item.service
                ));
            }
            if let Some(other) = owner.insert(&item.service, name) {
                problem(format!(
                    "service {} already has policy {other}",
                    item.service
                ));
            }
            let classes: Vec<_> = self.classes_of(&item.service).collect();
            if let Err(error) = policy::Program::compile_checked(&item.program, &classes) {
                problem(error.to_string());
            }
        }
    }
}

/// The maximum sum of the shares of a service's classes. The remaining slots are granted
/// by tier; with a higher sum, the tiers would lose their effect.
pub const MAX_SHARE_SUM: f64 = 0.5;

/// Serializes durations as whole milliseconds.
mod millis {
    use std::time::Duration;

    use serde::{Deserialize as _, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}
