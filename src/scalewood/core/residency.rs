//! Data residency: the regions in which a request may be served and its data be kept.

use std::{collections::BTreeSet, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::{config, name, region};

/// The regions in which something may be served; all of them if none are listed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Allowed(Option<Arc<BTreeSet<name::Region>>>);

impl Allowed {
    /// Allows these regions and no others; an empty list allows none.
    pub fn only(regions: impl IntoIterator<Item = name::Region>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Allows the regions that both allow: if a route and a team each list regions, both lists
    /// apply.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(here), Some(there)) => Self(Some(Arc::new(&**here & &**there))),
        }
    }

    /// Returns whether a region is allowed. An unknown region is allowed only if no regions are
    /// listed, since nothing may be sent to a place that is not known to be allowed.
    pub fn permits(&self, region: Option<&name::Region>) -> bool {
        match &self.0 {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// Returns whether all regions are allowed.
    pub fn is_everywhere(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether no region is allowed.
    pub fn is_nowhere(&self) -> bool {
        self.0.as_deref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns whether regions are listed, but no known availability zone is in one of them.
    pub fn has_only_unknown_regions(&self, regions: &region::Map) -> bool {
        let known = regions.regions();
        self.0
            .as_deref()
            .is_some_and(|named| !named.iter().any(|region| known.contains(region)))
    }

    /// Returns the listed regions, if there is a list.
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

/// The error for an item of a configuration that allows no region. Taken as "everywhere", it would
/// widen what was meant as a restriction; taken as "nowhere", it could serve nobody.
pub(crate) const EMPTY_REGIONS_ERROR: &str =
    "its list of regions is empty; name one, or leave the list out to allow all";

/// The items of a configuration that decide where a request may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// A route, and the team that calls it if it is identified by a key.
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
    /// Returns where a request may be served under a configuration. For an item that the
    /// configuration no longer has, the regions last in force still apply: removing a route allows
    /// its running requests no further regions.
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

/// Returns the routes, classes and teams of a configuration that list only unknown regions, as
/// `kind name`; at most the first `most` of them.
pub fn items_with_unknown_regions(
    document: &config::Document,
    regions: &region::Map,
    most: usize,
) -> Vec<String> {
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
    let unknown = all.filter(|(_, allowed)| allowed.has_only_unknown_regions(regions));
    unknown.map(|(item, _)| item).take(most).collect()
}
