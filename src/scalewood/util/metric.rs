//! Metrics, in the text format of Prometheus.
//!
//! They include the three by which users judge the system: attainment by class, goodput and wasted
//! work.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{text, EncodeLabelSet},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::core::{config, invariant, verdict};

/// The labels of a class of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
}

impl From<&config::ClassKey> for ClassLabel {
    fn from(key: &config::ClassKey) -> Self {
        Self {
            service: key.service.to_string(),
            class: key.class.to_string(),
        }
    }
}

/// The labels of a class and of the end of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabel {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
    /// How the request ended.
    pub end: &'static str,
    /// Whether the request may have been executed.
    pub verdict: &'static str,
}

impl EndLabel {
    /// Returns the labels of a request's end.
    pub fn new(key: &config::ClassKey, end: &'static str, verdict: verdict::Verdict) -> Self {
        let ClassLabel { service, class } = key.into();
        Self {
            service,
            class,
            end,
            verdict: verdict.as_str(),
        }
    }
}

/// The labels of a class and of the cause of a refusal for lack of capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// The service.
    pub service: String,
    /// The class.
    pub class: String,
    /// The cause of the refusal.
    pub cause: &'static str,
}

/// The labels of a refused class, of a less urgent one, and of the outcome of a request of the
/// latter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PrecedenceLabel {
    /// The service.
    pub service: String,
    /// The class that was refused.
    pub refused: String,
    /// The less urgent class.
    pub class: String,
    /// The outcome of the less urgent class's request.
    pub outcome: &'static str,
}

/// The label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// The labels of a service and of whether a retry was taken from its budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabel {
    /// The service.
    pub service: String,
    /// `paid`, or `denied` if the budget was used up.
    pub outcome: &'static str,
}

/// The labels of a service and of a stage of endpoints' silences.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SilenceLabel {
    /// The service.
    pub service: String,
    /// `begun`, or `ended` if the endpoint went on with the answer.
    pub stage: &'static str,
}

/// The label of why a connection or a request was given up for lack of descriptors or memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShortageLabel {
    /// For a connection `idle`, `excess` or `refused`; for a body `stalled` or `refused`.
    pub why: &'static str,
}

/// The label of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RuleLabel {
    /// The invariant's name.
    pub rule: &'static str,
}

/// The bucket bounds of histograms of durations, in seconds.
const BUCKETS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.95, 2.0, 5.0, 15.0, 60.0,
];

type ClassHistogram = Family<ClassLabel, Histogram, fn() -> Histogram>;

/// Returns an empty histogram of durations.
fn duration_histogram() -> Histogram {
    Histogram::new(BUCKETS_SECONDS)
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that arrived, by class.
    pub offered: Family<ClassLabel, Counter>,
    /// Requests whose first token arrived within their class's target.
    pub attained: Family<ClassLabel, Counter>,
    /// Tokens of complete answers whose first token arrived within the target.
    pub goodput: Family<ClassLabel, Counter>,
    /// Tokens that were processed but not delivered, or had to be processed again.
    pub wasted: Family<ClassLabel, Counter>,
    /// Requests, by how they ended.
    pub ended: Family<EndLabel, Counter>,
    /// Requests that were refused for lack of capacity, by cause.
    pub refused: Family<CauseLabel, Counter>,
    /// Larger requests of less urgent classes that arrived while a more urgent class was refused.
    pub preceded: Family<PrecedenceLabel, Counter>,
    /// Seconds from arrival to the first token.
    pub first_token: ClassHistogram,
    /// Seconds between two tokens.
    pub between_tokens: ClassHistogram,
    /// Requests that are queued at this box's dispatchers.
    pub waiting: Family<ServiceLabel, Gauge>,
    /// Slots that this box's dispatchers have granted and not got back.
    pub slots_granted: Family<ServiceLabel, Gauge>,
    /// Endpoints that this box's dispatchers know.
    pub endpoints_known: Family<ServiceLabel, Gauge>,
    /// Requests that were granted to endpoints that are warming up.
    pub warming_sent: Family<ServiceLabel, Counter>,
    /// Requests that were diverted from their home because it is warming up.
    pub warming_kept_back: Family<ServiceLabel, Counter>,
    /// Endpoints that are believed to be warming up.
    pub endpoints_warming: Gauge,
    /// The age, in seconds, of the endpoint's report from which a warm-up was assumed.
    pub warming_report_age: Histogram,
    /// Failed runs of policy programs.
    pub policy_failures: Counter,
    /// The configuration revision in force in this process.
    pub revision: Gauge,
    /// For how many seconds voters have reported a newer revision.
    pub config_behind: Gauge<f64, AtomicU64>,
    /// Zones that are cordoned by the configuration in force in this process.
    pub cordoned: Gauge,
    /// Grants that were not used because their endpoint's zone had been cordoned meanwhile.
    pub cordon_declined: Counter,
    /// Responses in which an endpoint asked this box for a backoff.
    pub backoffs_requested: Counter,
    /// Requests that were not sent because their endpoint had asked for a backoff.
    pub backoff_kept_back: Counter,
    /// Endpoints that are known to limit their requests per second.
    pub limited_endpoints: Gauge,
    /// Requests that were sent to endpoints with a known rate limit.
    pub limited_sends: Counter,
    /// Requests that were diverted from their home because of its rate limit.
    pub limit_kept_back: Counter,
    /// Permits that voters issued to this box for endpoints with a rate limit.
    pub permits: Counter,
    /// Services whose endpoints limit their rejections.
    pub rejection_limited: Gauge,
    /// Services whose endpoints can't be reached from this box.
    pub services_unreachable: Gauge,
    /// Requests that other boxes were given since this one reached no endpoint.
    pub forwarded: Counter,
    /// Requests that this box was given by others.
    pub forwards_served: Counter,
    /// Requests from other boxes that this one gave back.
    pub forwards_declined: Counter,
    /// Retries that were asked of a service's budget, by outcome.
    pub retries: Family<RetryLabel, Counter>,
    /// The retries left in a service's budget.
    pub retries_left: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// The most retries that a service's budget can hold.
    pub retries_capacity: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    /// Answers during which an endpoint sent nothing for long, by stage.
    pub silences: Family<SilenceLabel, Counter>,
    /// Callers' connections that are open.
    pub connections: Gauge,
    /// Callers' connections that were closed for others.
    pub connections_closed: Family<ShortageLabel, Counter>,
    /// Requests that were refused for lack of memory for their body.
    pub bodies_refused: Family<ShortageLabel, Counter>,
    /// Requests that are held back because endpoints ended under them.
    pub held_back: Gauge,
    /// Whether this process accepts new work.
    pub ready: Gauge,
    /// Broken invariants, by rule; updated when the metrics are rendered.
    breaches: Family<RuleLabel, Gauge<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("scalewood"),
            offered: Family::default(),
            attained: Family::default(),
            goodput: Family::default(),
            wasted: Family::default(),
            ended: Family::default(),
            refused: Family::default(),
            preceded: Family::default(),
            first_token: Family::new_with_constructor(duration_histogram),
            between_tokens: Family::new_with_constructor(duration_histogram),
            waiting: Family::default(),
            slots_granted: Family::default(),
            endpoints_known: Family::default(),
            warming_sent: Family::default(),
            warming_kept_back: Family::default(),
            endpoints_warming: Gauge::default(),
            warming_report_age: duration_histogram(),
            policy_failures: Counter::default(),
            revision: Gauge::default(),
            config_behind: Gauge::default(),
            cordoned: Gauge::default(),
            cordon_declined: Counter::default(),
            backoffs_requested: Counter::default(),
            backoff_kept_back: Counter::default(),
            limited_endpoints: Gauge::default(),
            limited_sends: Counter::default(),
            limit_kept_back: Counter::default(),
            permits: Counter::default(),
            rejection_limited: Gauge::default(),
            services_unreachable: Gauge::default(),
            forwarded: Counter::default(),
            forwards_served: Counter::default(),
            forwards_declined: Counter::default(),
            retries: Family::default(),
            retries_left: Family::default(),
            retries_capacity: Family::default(),
            silences: Family::default(),
            connections: Gauge::default(),
            connections_closed: Family::default(),
            bodies_refused: Family::default(),
            held_back: Gauge::default(),
            ready: Gauge::default(),
            breaches: Family::default(),
        };
        metrics.register();
        metrics.register_warm_up();
        metrics.register_forwards();
        metrics.register_retries();
        metrics.register_shortages();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests_offered",
            "Requests that arrived",
            self.offered.clone(),
        );
        r.register(
            "requests_attained",
            "First token within target",
            self.attained.clone(),
        );
        r.register(
            "goodput_tokens",
            "Tokens of whole answers in time",
            self.goodput.clone(),
        );
        r.register(
            "wasted_tokens",
            "Tokens lost or processed again",
            self.wasted.clone(),
        );
        r.register(
            "requests_ended",
            "Requests by how they ended",
            self.ended.clone(),
        );
        r.register(
            "requests_refused",
            "Requests that were refused for want of room, by what was the cause",
            self.refused.clone(),
        );
        r.register(
            "requests_preceded",
            "Larger requests of less urgent classes while a more urgent one was refused",
            self.preceded.clone(),
        );
        r.register(
            "first_token_seconds",
            "Arrival to first token",
            self.first_token.clone(),
        );
        r.register(
            "between_tokens_seconds",
            "Between two tokens",
            self.between_tokens.clone(),
        );
        r.register(
            "requests_waiting",
            "Waiting at dispatchers here",
            self.waiting.clone(),
        );
        r.register(
            "slots_granted",
            "Slots granted by dispatchers here",
            self.slots_granted.clone(),
        );
        r.register(
            "endpoints_known",
            "Endpoints that dispatchers here know",
            self.endpoints_known.clone(),
        );
        r.register(
            "policy_failures",
            "Policy programs that failed",
            self.policy_failures.clone(),
        );
        r.register(
            "config_revision",
            "Revision in force here",
            self.revision.clone(),
        );
        r.register(
            "config_behind_seconds",
            "For how many seconds voters have reported a newer revision",
            self.config_behind.clone(),
        );
        r.register(
            "cordoned_zones",
            "Zones whose endpoints get no new work",
            self.cordoned.clone(),
        );
        r.register(
            "cordon_grants_declined",
            "Grants not used since their zone was cordoned meanwhile",
            self.cordon_declined.clone(),
        );
        r.register(
            "rests_asked",
            "Answers in which an endpoint asked this box for a backoff",
            self.backoffs_requested.clone(),
        );
        r.register(
            "rest_sends_kept_back",
            "Requests not sent because their endpoint had asked for a backoff",
            self.backoff_kept_back.clone(),
        );
        r.register(
            "limited_endpoints",
            "Endpoints known to limit their requests a second",
            self.limited_endpoints.clone(),
        );
        r.register(
            "limited_sends",
            "Requests sent to endpoints known to limit them",
            self.limited_sends.clone(),
        );
        r.register(
            "limit_kept_back",
            "Requests kept from their home since it limits its requests",
            self.limit_kept_back.clone(),
        );
        r.register(
            "permits",
            "Permits issued to this box for endpoints that limit their requests",
            self.permits.clone(),
        );
        r.register(
            "held_back_requests",
            "Requests held back because endpoints ended while they processed them",
            self.held_back.clone(),
        );
        r.register("ready", "Whether new work is taken", self.ready.clone());
        r.register(
            "invariant_breaches",
            "Invariants that were broken",
            self.breaches.clone(),
        );
    }

    fn register_warm_up(&mut self) {
        let r = &mut self.registry;
        r.register(
            "warming_requests",
            "Requests granted to endpoints that warm up",
            self.warming_sent.clone(),
        );
        r.register(
            "warming_kept_back",
            "Requests kept from their home since it warms up",
            self.warming_kept_back.clone(),
        );
        r.register(
            "endpoints_warming",
            "Endpoints assumed to be warming up",
            self.endpoints_warming.clone(),
        );
        r.register(
            "warming_word_age_seconds",
            "Age of the report because of which an endpoint is assumed to be warming up",
            self.warming_report_age.clone(),
        );
    }

    fn register_forwards(&mut self) {
        let r = &mut self.registry;
        r.register(
            "rejection_limited_services",
            "Services whose endpoints fail if they reject too many requests",
            self.rejection_limited.clone(),
        );
        r.register(
            "services_unreachable",
            "Services whose endpoints can't be reached from this box",
            self.services_unreachable.clone(),
        );
        r.register(
            "forwarded_requests",
            "Requests sent to other boxes since this one reached no endpoint",
            self.forwarded.clone(),
        );
        r.register(
            "forwards_served",
            "Requests taken from other boxes",
            self.forwards_served.clone(),
        );
        r.register(
            "forwards_declined",
            "Requests given back to other boxes",
            self.forwards_declined.clone(),
        );
    }

    fn register_retries(&mut self) {
        let r = &mut self.registry;
        r.register(
            "retries",
            "Retries asked of a service's budget, by outcome",
            self.retries.clone(),
        );
        r.register(
            "retries_left",
            "Retries left in a service's budget",
            self.retries_left.clone(),
        );
        r.register(
            "retries_capacity",
            "The most retries that a service's budget can hold",
            self.retries_capacity.clone(),
        );
        r.register(
            "silences",
            "Answers during which an endpoint sent nothing for long: those begun, and ended as it went on",
            self.silences.clone(),
        );
    }

    fn register_shortages(&mut self) {
        let r = &mut self.registry;
        r.register(
            "connections",
            "Open connections of callers",
            self.connections.clone(),
        );
        r.register(
            "connections_closed",
            "Connections of callers closed for others, by cause",
            self.connections_closed.clone(),
        );
        r.register(
            "bodies_refused",
            "Requests refused for lack of memory for their body, by cause",
            self.bodies_refused.clone(),
        );
    }

    /// Returns all metrics as text.
    pub fn render(&self) -> String {
        for rule in invariant::Rule::ALL {
            // The count is small, so the cast is exact.
            let count = invariant::breaches(*rule) as f64;
            self.breaches
                .get_or_create(&RuleLabel {
                    rule: rule.as_str(),
                })
                .set(count);
        }
        let mut out = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut out, &self.registry);
        out
    }
}
