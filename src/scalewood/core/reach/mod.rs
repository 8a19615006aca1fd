//! Whether a box's links to the endpoints of a service work.
//!
//! A box may lose its links to all endpoints while callers, voters and other boxes still reach it.
//! What it then sees at its endpoints says nothing of them. So failures at several endpoints with no
//! answer in between start a check, which opens connections to further endpoints; if none opens, the
//! links count as lost until a connection opens again.
//!
//! While links are lost, other boxes serve the service's requests for this one. Hubs name them: see
//! [`choose`].

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{seq::SliceRandom as _, Rng};

use crate::core::name;

mod peer;

pub use peer::{choose, offer, Peer, Peers, Report};

/// The time within which failures count together: longer than connecting to an endpoint takes to fail,
/// so that those of a single request do.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);
/// How long a failure is in doubt if no endpoint answers.
const DOUBT: Duration = Duration::from_secs(1);
/// The number of endpoints that have to fail for a check.
const MIN_FAILED_ENDPOINTS: usize = 2;
/// The number of failures that suffice for a check if all are at the same endpoint, which may be
/// the only one or the one that this box mostly uses.
const MIN_FAILURES: u32 = 3;
/// The least time between two checks of a service.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The number of endpoints that a check connects to.
pub const CHECKED_ENDPOINTS: usize = 3;

/// The state of the links to a service's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Nothing speaks against the links.
    #[default]
    Working,
    /// A check is under way.
    Checking,
    /// No endpoint could be reached, since that time.
    Lost(Duration),
}

/// The links to the endpoints of a service.
#[derive(Debug, Default)]
struct Links {
    state: State,
    /// The endpoints that failed since the last new connection worked, with the number of failures.
    failed: BTreeMap<name::Endpoint, u32>,
    /// When the last failure was.
    failed_at: Duration,
    /// Whether an endpoint has answered since the last failure.
    answered: bool,
    /// When the last check ended.
    checked_at: Option<Duration>,
}

impl Links {
    fn needs_check(&self, now: Duration) -> bool {
        let is_due = self.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
        let failures: u32 = self.failed.values().sum();
        let suffices = self.failed.len() >= MIN_FAILED_ENDPOINTS || failures >= MIN_FAILURES;
        self.state == State::Working && is_due && suffices
    }

    /// Returns whether failures may come from the links: no endpoint has answered since.
    fn is_doubtful(&self, now: Duration) -> bool {
        match self.state {
            State::Lost(_) => true,
            State::Checking => !self.answered,
            State::Working => {
                !self.failed.is_empty() && !self.answered && now < self.failed_at + DOUBT
            }
        }
    }
}

/// What the end of a check changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The links work as before.
    Unchanged,
    /// The links are lost.
    Lost,
    /// The links work again, after this time.
    Restored(Duration),
}

/// The links of a box, by service.
#[derive(Debug, Default)]
pub struct Tracker {
    services: BTreeMap<name::Service, Links>,
}

impl Tracker {
    /// Records that an attempt failed without an answer. Returns whether a check has to begin, whose
    /// end the caller reports to [`Tracker::finish_check`].
    #[must_use]
    pub fn record_failure(
        &mut self,
        service: &name::Service,
        endpoint: &name::Endpoint,
        now: Duration,
    ) -> bool {
        let links = self.services.entry(service.clone()).or_default();
        if now >= links.failed_at + FAILURE_WINDOW {
            links.failed.clear();
        }
        *links.failed.entry(endpoint.clone()).or_default() += 1;
        links.failed_at = now;
        links.answered = false;
        let begins = links.needs_check(now);
        if begins {
            links.state = State::Checking;
        }
        begins
    }

    /// Records that an endpoint has answered a request, over a new connection (`is_new`) or one that
    /// was open before. The latter says nothing of new connections.
    pub fn record_answer(&mut self, service: &name::Service, is_new: bool) {
        if let Some(links) = self.services.get_mut(service) {
            links.answered = true;
            if is_new {
                links.failed.clear();
            }
        }
    }

    /// Begins a check of a service, as when the links to another service were lost. Returns whether
    /// it has to begin.
    #[must_use]
    pub fn begin_check(&mut self, service: &name::Service) -> bool {
        let links = self.services.entry(service.clone()).or_default();
        let begins = links.state == State::Working;
        if begins {
            links.state = State::Checking;
        }
        begins
    }

    /// Returns the endpoints at which attempts have failed, which a check leaves for last.
    pub fn failed(&self, service: &name::Service) -> BTreeSet<name::Endpoint> {
        let links = self.services.get(service);
        links.map_or_else(BTreeSet::new, |links| {
            links.failed.keys().cloned().collect()
        })
    }

    /// Records the end of a check, or of a later attempt to open a connection over lost links.
    pub fn finish_check(&mut self, service: &name::Service, opened: bool, now: Duration) -> Change {
        let links = self.services.entry(service.clone()).or_default();
        links.checked_at = Some(now);
        match (links.state, opened) {
            (State::Lost(since), true) => {
                links.state = State::Working;
                links.failed.clear();
                Change::Restored(now.saturating_sub(since))
            }
            (State::Lost(_), false) => Change::Unchanged,
            (_, true) => {
                links.state = State::Working;
                links.failed.clear();
                Change::Unchanged
            }
            (_, false) => {
                links.state = State::Lost(now);
                Change::Lost
            }
        }
    }

    /// Returns whether the links to a service's endpoints are lost.
    pub fn is_lost(&self, service: &name::Service) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| matches!(links.state, State::Lost(_)))
    }

    /// Returns whether a check of the links to a service's endpoints is under way.
    pub fn is_checking(&self, service: &name::Service) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.state == State::Checking)
    }

    /// Returns whether failures at a service's endpoints may come from the links.
    pub fn is_doubtful(&self, service: &name::Service, now: Duration) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|links| links.is_doubtful(now))
    }

    /// Returns the services whose links are lost.
    pub fn lost(&self) -> Vec<name::Service> {
        let lost = self.services.keys().filter(|service| self.is_lost(service));
        lost.cloned().collect()
    }

    /// Returns whether any endpoint has failed without a new connection since, or links are lost.
    pub fn has_failures(&self) -> bool {
        let mut services = self.services.values();
        services.any(|links| links.state != State::Working || !links.failed.is_empty())
    }
}

/// Returns up to `count` of the endpoints' addresses at random, each once. Those at which attempts have
/// failed come last, under whichever name: an endpoint that restarts may have a new name at its
/// address while the old one is still known.
pub fn sample(
    endpoints: Vec<(name::Endpoint, SocketAddr)>,
    failed: &BTreeSet<name::Endpoint>,
    count: usize,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    let has_failed = |(name, _): &&(name::Endpoint, SocketAddr)| failed.contains(name);
    let failed: BTreeSet<_> = endpoints
        .iter()
        .filter(has_failed)
        .map(|(_, at)| *at)
        .collect();
    let addresses: BTreeSet<_> = endpoints.into_iter().map(|(_, at)| at).collect();
    let mut addresses: Vec<_> = addresses.into_iter().collect();
    addresses.shuffle(rng);
    addresses.sort_by_key(|at| failed.contains(at));
    addresses.truncate(count);
    addresses
}
