//! A voter's metrics, in the text format of Prometheus.

use std::{
    sync::{atomic::AtomicU64, Arc},
    time::Duration,
};

use prometheus_client::{
    encoding::{text, EncodeLabelSet},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::{
    core::registry as endpoint,
    ops::control::{registry::SoftState, Handle},
    store::latency,
    util::clock,
};

/// The outcome of a publication or of an order to cordon or uncordon a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Why a heartbeat was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Histogram bounds for publications and cordon orders, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 8] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0];

/// A voter's metrics.
#[derive(Clone, Debug)]
pub(super) struct Metrics {
    registry: Arc<Registry>,
    publications: Family<OutcomeLabel, Counter>,
    publication_seconds: Histogram,
    refused: Family<ReasonLabel, Counter>,
    cordons: Family<OutcomeLabel, Counter>,
    cordon_seconds: Histogram,
    cordoned: Gauge,
    leads: Gauge,
    votes: Gauge,
    term: Gauge,
    revision: Gauge,
    version: Gauge,
    members: Gauge,
    endpoints: Gauge,
    followers: Gauge,
    /// Measures the writes to the data folder.
    monitor: latency::Monitor<clock::System>,
    store_under_way: Gauge<f64, AtomicU64>,
}

impl Metrics {
    pub(super) fn new(monitor: latency::Monitor<clock::System>) -> Self {
        let mut registry = Registry::with_prefix("scalewood");
        registry.register(
            "store_seconds",
            "Operations on the data folder that have ended",
            monitor.seconds().clone(),
        );
        let store_under_way = Gauge::default();
        registry.register(
            "store_under_way_seconds",
            "For how long the oldest operation on the data folder has been under way",
            store_under_way.clone(),
        );
        let publications = Family::<OutcomeLabel, Counter>::default();
        let publication_seconds = Histogram::new(DURATION_BUCKETS_SECONDS);
        registry.register("publications", "Routings, by outcome", publications.clone());
        registry.register(
            "publication_seconds",
            "From a routing's arrival to its answer",
            publication_seconds.clone(),
        );
        let refused = Family::<ReasonLabel, Counter>::default();
        registry.register(
            "refused_heartbeats",
            "Heartbeats of endpoints that were refused, by reason",
            refused.clone(),
        );
        let cordons = Family::<OutcomeLabel, Counter>::default();
        let cordon_seconds = Histogram::new(DURATION_BUCKETS_SECONDS);
        registry.register(
            "cordon_orders",
            "Orders to cordon or uncordon a zone, by outcome",
            cordons.clone(),
        );
        registry.register(
            "cordon_seconds",
            "From such an order's arrival to its answer",
            cordon_seconds.clone(),
        );
        let mut gauge = |name: &'static str, help: &'static str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            leads: gauge("voter_leads", "Whether this voter leads"),
            votes: gauge("voter_votes", "Whether this node votes"),
            term: gauge("voter_term", "The voter's term"),
            revision: gauge("config_revision", "The revision that this voter knows"),
            version: gauge("config_version", "The operator's version of the routing"),
            members: gauge("voter_members", "Voters and learners"),
            endpoints: gauge("endpoints", "Endpoints that announced themselves here"),
            followers: gauge("followers", "Boxes that follow the registry here"),
            cordoned: gauge("cordoned_zones", "Zones whose endpoints get no new work"),
            registry: Arc::new(registry),
            publications,
            publication_seconds,
            refused,
            cordons,
            cordon_seconds,
            monitor,
            store_under_way,
        }
    }

    /// Records a publication and its duration.
    pub(super) fn record_published(&self, outcome: &'static str, seconds: f64) {
        self.publications
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
        self.publication_seconds.observe(seconds);
    }

    /// Records a refused heartbeat.
    pub(super) fn record_refused(&self, reason: endpoint::Reason) {
        let label = ReasonLabel {
            reason: reason.as_str(),
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Records an order to cordon or uncordon a zone and its duration.
    pub(super) fn record_cordon(&self, outcome: &'static str, took: Duration) {
        self.cordons.get_or_create(&OutcomeLabel { outcome }).inc();
        self.cordon_seconds.observe(took.as_secs_f64());
    }

    /// Updates the gauges and returns all metrics as text.
    pub(super) fn render(&self, handle: &Handle, soft_state: &SoftState) -> String {
        let published = handle.published();
        let status = &published.status;
        let gauge_value = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        let leads = status.leader.as_ref() == Some(&status.node);
        self.leads.set(i64::from(leads));
        self.votes
            .set(i64::from(status.members.is_voter(&status.node)));
        self.term.set(gauge_value(status.term.0));
        self.revision
            .set(gauge_value(published.ledger.revision().0));
        self.version
            .set(gauge_value(published.ledger.routing_version()));
        let cordoned = published.ledger.document().cordoned.len();
        self.cordoned
            .set(i64::try_from(cordoned).unwrap_or(i64::MAX));
        let members = status.members.addresses().count();
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
        self.store_under_way
            .set(self.monitor.under_way().as_secs_f64());
        let (known, followers) = soft_state.counts();
        self.endpoints.set(i64::try_from(known).unwrap_or(i64::MAX));
        self.followers.set(i64::from(followers));
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
