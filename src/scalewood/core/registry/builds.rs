//! The builds of each service's endpoints, now and recently.

use std::{collections::BTreeMap, time::Duration};

use crate::core::{build, name};

/// How long a build is remembered after its last endpoint is gone; longer than streams last.
const MEMORY: Duration = Duration::from_secs(600);

/// The endpoints of one build of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    /// The number of registered endpoints.
    endpoints: u32,
    /// When the last one was removed, if none is registered.
    gone_at: Duration,
}

/// The builds of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Builds {
    services: BTreeMap<name::Service, BTreeMap<build::Build, Presence>>,
}

impl Builds {
    /// Adds an endpoint.
    pub(super) fn add(&mut self, service: &name::Service, build: &build::Build) {
        let builds = self.services.entry(service.clone()).or_default();
        builds.entry(build.clone()).or_default().endpoints += 1;
    }

    /// Removes an endpoint, and the builds whose last endpoint is long gone.
    pub(super) fn remove(&mut self, service: &name::Service, build: &build::Build, now: Duration) {
        let Some(builds) = self.services.get_mut(service) else {
            return;
        };
        if let Some(presence) = builds.get_mut(build) {
            presence.endpoints = presence.endpoints.saturating_sub(1);
            presence.gone_at = now;
        }
        builds.retain(|_, presence| presence.endpoints > 0 || now < presence.gone_at + MEMORY);
    }

    /// Returns the builds of a service that had endpoints since a time.
    pub(super) fn since(&self, service: &name::Service, time: Duration) -> Vec<build::Build> {
        let builds = self.services.get(service).into_iter().flatten();
        let recent = builds.filter(|(_, p)| p.endpoints > 0 || p.gone_at >= time);
        recent.map(|(build, _)| build.clone()).collect()
    }
}
