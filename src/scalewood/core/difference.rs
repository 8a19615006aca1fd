//! Differences between two versions of a routing.
//!
//! An operator replaces a routing as a whole, while a new version mostly differs in a few of
//! its routes. So boxes are told the difference: with 1,500 routes and 300 boxes a whole one
//! each time is some 200 MB a version, the difference as little as what has changed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{name, route};

/// What makes one map out of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table<K: Ord, V> {
    /// Entries that are new or changed.
    #[serde(default = "BTreeMap::new", skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<K, V>,
    /// Entries that are gone.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<K>,
}

impl<K: Clone + Ord, V: Clone + PartialEq> Table<K, V> {
    fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let set = new
            .iter()
            .filter(|(key, value)| old.get(key) != Some(*value));
        let removed = old.keys().filter(|key| !new.contains_key(key));
        Self {
            set: set
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply(&self, to: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            to.remove(key);
        }
        let set = self.set.iter();
        to.extend(set.map(|(key, value)| (key.clone(), value.clone())));
    }

    fn len(&self) -> usize {
        self.set.len() + self.removed.len()
    }
}

/// What makes one routing out of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// The operator's version that it leads to.
    pub version: u64,
    /// Routes that differ.
    pub routes: Table<name::Class, route::Route>,
    /// Services that differ.
    pub services: Table<name::Service, route::Service>,
    /// Teams that differ.
    pub teams: Table<name::Team, route::Team>,
    /// How callers are treated.
    pub limits: route::Limits,
}

impl Routing {
    /// What makes the new routing out of the old one.
    pub fn between(old: &route::Routing, new: &route::Routing) -> Self {
        Self {
            version: new.version,
            routes: Table::between(&old.routes, &new.routes),
            services: Table::between(&old.services, &new.services),
            teams: Table::between(&old.teams, &new.teams),
            limits: new.limits,
        }
    }

    /// The routing that the old one becomes.
    pub fn apply(&self, old: &route::Routing) -> route::Routing {
        let mut new = old.clone();
        new.version = self.version;
        new.limits = self.limits;
        self.routes.apply(&mut new.routes);
        self.services.apply(&mut new.services);
        self.teams.apply(&mut new.teams);
        new
    }

    /// How many entries differ.
    pub fn len(&self) -> usize {
        self.routes.len() + self.services.len() + self.teams.len()
    }

    /// Whether no entry differs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
