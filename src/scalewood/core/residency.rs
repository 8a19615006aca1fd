//! Residency: the regions in which a request may be served, and what it carries be kept.

use std::{collections::BTreeSet, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::{config, name, region};

/// The regions in which something may be served; everywhere if none are named.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Allowed(Option<Arc<BTreeSet<name::Region>>>);

impl Allowed {
    /// Allows these regions and no others; an empty list allows none.
    pub fn only(regions: impl IntoIterator<Item = name::Region>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Allows what both allow: where a route and a team name regions, both bind.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(here), Some(there)) => Self(Some(Arc::new(&**here & &**there))),
        }
    }

    /// Whether a region is allowed. One that is not known is allowed only where no regions are
    /// named: nothing may go where it is not known to be allowed.
    pub fn permits(&self, region: Option<&name::Region>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Whether it is allowed everywhere.
    pub fn is_everywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Whether it is allowed in no region at all.
    pub fn is_nowhere(&self) -> bool {
        self.0.as_deref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether regions are named, and no availability zone that is known is in one of them.
    pub fn is_unknown(&self, regions: &region::Map) -> bool {
        let known = regions.regions();
        self.0
            .as_deref()
            .is_some_and(|named| !named.iter().any(|region| known.contains(region)))
    }

    /// The regions that are named, if any are.
    pub fn regions(&self) -> Option<&BTreeSet<name::Region>> {
        self.0.as_deref()
    }
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else {
            return f.write_str("everywhere");
        };
        if regions.is_empty() {
            return f.write_str("nowhere");
        }
        for (i, region) in regions.iter().enumerate() {
            let comma = if i == 0 { "" } else { " " };
            write!(f, "{comma}{region}")?;
        }
        Ok(())
    }
}

/// Why an item of a configuration that allows no region can't stand. Read as "everywhere" it
/// would widen what somebody meant to narrow, and as "nowhere" it serves nobody.
pub(crate) const NOWHERE: &str =
    "its list of regions is empty; name one, or leave the list out to allow all";

/// What says where a request may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A route, and the team that calls it, where that is known by a key.
    Route {
        /// The route.
        route: name::Class,
        /// The team.
        team: Option<name::Team>,
    },
    /// A class, and the team that uses it.
    Class {
        /// The class.
        class: config::ClassKey,
        /// The team.
        team: name::Team,
    },
}

impl Source {
    /// Where a request may be served by a configuration. What that no longer holds binds as
    /// it did last: a route that is taken away while its requests run opens no region to them.
    pub fn in_force(&self, document: &config::Document, last: &Allowed) -> Allowed {
        let (item, team) = match self {
            Source::Route { route, team } => {
                let routing = document.routing.as_deref();
                let item = routing.and_then(|routing| routing.routes.get(route));
                let of = |name| routing.and_then(|routing| routing.teams.get(name));
                let team = match team {
                    None => Some(Allowed::default()),
                    Some(name) => of(name).map(|team| team.allowed.clone()),
                };
                (item.map(|route| &route.allowed), team)
            }
            Source::Class { class, team } => {
                let item = document.classes.get(class);
                let team = document.teams.get(team);
                let team = team.map(|team| team.allowed.clone());
                (item.map(|class| &class.allowed), team)
            }
        };
        let team = team.unwrap_or_else(|| last.clone());
        item.unwrap_or(last).and(&team)
    }
}

/// The routes, classes and teams of a configuration whose regions are all unknown, the first
/// `most` of them, as `kind name`.
pub fn unknown(document: &config::Document, regions: &region::Map, most: usize) -> Vec<String> {
    let routing = document.routing.as_deref();
    let routes = routing.into_iter().flat_map(|routing| &routing.routes);
    let routes = routes.map(|(name, route)| (format!("route {name}"), &route.allowed));
    let callers = routing.into_iter().flat_map(|routing| &routing.teams);
    let callers = callers.map(|(name, team)| (name, &team.allowed));
    let teams = document.teams.iter();
    let teams = teams.map(|(name, team)| (name, &team.allowed));
    let teams = callers.chain(teams);
    let teams = teams.map(|(name, allowed)| (format!("team {name}"), allowed));
    let classes = document.classes.iter();
    let classes = classes.map(|(key, class)| (format!("class {key}"), &class.allowed));
    let all = routes.chain(teams).chain(classes);
    let unknown = all.filter(|(_, allowed)| allowed.is_unknown(regions));
    unknown.map(|(item, _)| item).take(most).collect()
}
