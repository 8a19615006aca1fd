//! Residency: the regions in which a request may be served, and what it carries be kept.

use std::{collections::BTreeSet, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::core::name;

/// The regions in which something may be served; everywhere if none are named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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
