//! Differences between two versions of a routing.
//!
//! An operator always replaces the whole routing, but a new version usually differs in only a
//! few routes. So boxes are sent the difference: with 1,500 routes and 300 boxes, sending the
//! whole routing takes about 200 MB for each version, a difference only the changed entries.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{name, route};

/// The difference between two maps: what turns the old one into the new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table<K: Ord, V> {
    /// Entries that were added or changed.
    #[serde(default = "BTreeMap::new", skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<K, V>,
    /// Keys of entries that were removed.
    #[serde(default = "Vec::new", skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<K>,
}

impl<K: Clone + Ord, V: Clone + PartialEq> Table<K, V> {
    /// Returns the difference between two maps.
    fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let changed = new
            .iter()
            .filter(|(key, value)| old.get(key) != Some(*value));
        let removed = old.keys().filter(|key| !new.contains_key(key));
        Self {
            set: changed
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Turns the old map into the new one.
    fn apply(&self, to: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            to.remove(key);
        }
        let set = self.set.iter();
        to.extend(set.map(|(key, value)| (key.clone(), value.clone())));
    }

    /// Returns how many entries differ.
    fn len(&self) -> usize {
        self.set.len() + self.removed.len()
    }
}

/// The difference between two routings: what turns the old one into the new one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    /// The version of the new routing, as set by the operator.
    pub version: u64,
    /// The difference of the routes.
    pub routes: Table<name::Class, route::Route>,
    /// The difference of the services.
    pub services: Table<name::Service, route::Service>,
    /// The difference of the teams.
    pub teams: Table<name::Team, route::Team>,
    /// The limits on callers' requests and connections in the new routing, always sent whole.
    pub limits: route::Limits,
}

impl Routing {
    /// Returns the difference between two routings.
    pub fn between(old: &route::Routing, new: &route::Routing) -> Self {
        Self {
            version: new.version,
            routes: Table::between(&old.routes, &new.routes),
            services: Table::between(&old.services, &new.services),
            teams: Table::between(&old.teams, &new.teams),
            limits: new.limits,
        }
    }

    /// Returns the new routing, given the old one.
    pub fn apply(&self, old: &route::Routing) -> route::Routing {
        let mut new = old.clone();
        new.version = self.version;
        new.limits = self.limits;
        self.routes.apply(&mut new.routes);
        self.services.apply(&mut new.services);
        self.teams.apply(&mut new.teams);
        new
    }

    /// Returns how many routes, services and teams differ.
    pub fn len(&self) -> usize {
        self.routes.len() + self.services.len() + self.teams.len()
    }

    /// Returns whether no route, service or team differs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
