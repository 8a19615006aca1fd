//! The load of all boxes together at endpoints, and the outcomes of their requests there.
//!
//! A box knows exactly what it has granted itself, and nothing of the other boxes' grants. So,
//! several times a second, each box reports to a [`Hub`] its load at each endpoint, where it has
//! placed prompts with a shared prefix, and which requests failed; in return it receives the same
//! about the other boxes. Only changes are sent, in both directions.
//!
//! There is a hub in each availability zone, so that the age of what a box knows of the others
//! does not grow with the number of boxes. Hubs send each other sums over their own boxes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::{crash, name, prompt::Prefix, reach, registry, rejection, retry, risk, throttle};

mod delta;
mod hub;
mod less_urgent;
mod losses;
mod peers;
mod prefill;
mod refused;
mod sizes;
mod window;

pub use hub::Hub;
pub use less_urgent::LessUrgent;
pub use losses::{ClassCounts, Limit, Losses};
pub use prefill::{Measured, Prefill};
pub use refused::{Bound, Refused, Tally, Traffic};

/// The smallest changes of a load that are sent: about what the smallest prompts cause.
const MIN_PENDING_CHANGE_TOKENS: u64 = 400;
const MIN_CACHED_CHANGE_TOKENS: u64 = 4000;
const MIN_RUNNING_CHANGE: u32 = 2;

/// The load of one or more boxes at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens that wait for prefill or are in it.
    pub pending_prefill: u64,
    /// The part of `pending_prefill` that belongs to requests less urgent than each tier.
    pub less_urgent: LessUrgent,
    /// Prompt tokens held in the endpoint's KV cache, shared prefixes counted once.
    pub cached: u64,
    /// Requests that hold a slot.
    pub running: u32,
}

impl Load {
    /// Returns whether the load differs enough from the one last sent to be sent again. A load
    /// that drops to zero always is, so no difference stays unsent for ever.
    fn differs_enough(self, sent: Self) -> bool {
        self == Self::default()
            || self.pending_prefill.abs_diff(sent.pending_prefill) >= MIN_PENDING_CHANGE_TOKENS
            || self
                .less_urgent
                .differs_by(sent.less_urgent, MIN_PENDING_CHANGE_TOKENS)
            || self.cached.abs_diff(sent.cached) >= MIN_CACHED_CHANGE_TOKENS
            || self.running.abs_diff(sent.running) >= MIN_RUNNING_CHANGE
    }

    /// Returns the sum of both loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            pending_prefill: self.pending_prefill + other.pending_prefill,
            less_urgent: self.less_urgent.plus(other.less_urgent),
            cached: self.cached + other.cached,
            running: self.running + other.running,
        }
    }

    /// Returns the load without `part`.
    pub fn minus(self, part: Self) -> Self {
        Self {
            pending_prefill: self.pending_prefill.saturating_sub(part.pending_prefill),
            less_urgent: self.less_urgent.minus(part.less_urgent),
            cached: self.cached.saturating_sub(part.cached),
            running: self.running.saturating_sub(part.running),
        }
    }
}

/// An endpoint with its load. Serialized as a row (tuple) for size, since there are many of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EndpointLoadRow", into = "EndpointLoadRow")]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its load.
    pub load: Load,
}

/// Endpoint, pending prefill, cached, running, and the pending prefill of less urgent requests by
/// tier.
type EndpointLoadRow = (name::Endpoint, u64, u64, u32, LessUrgent);

impl From<EndpointLoadRow> for EndpointLoad {
    fn from((endpoint, pending_prefill, cached, running, less_urgent): EndpointLoadRow) -> Self {
        let load = Load {
            pending_prefill,
            less_urgent,
            cached,
            running,
        };
        Self { endpoint, load }
    }
}

impl From<EndpointLoad> for EndpointLoadRow {
    fn from(EndpointLoad { endpoint, load }: EndpointLoad) -> Self {
        (
            endpoint,
            load.pending_prefill,
            load.cached,
            load.running,
            load.less_urgent,
        )
    }
}

/// A shared prompt prefix that an endpoint has recently prefilled. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PlacementRow", into = "PlacementRow")]
pub struct Placement {
    /// The prefix.
    pub prefix: Prefix,
    /// The endpoint.
    pub endpoint: name::Endpoint,
}

/// Prefix, endpoint.
type PlacementRow = (Prefix, name::Endpoint);

impl From<PlacementRow> for Placement {
    fn from((prefix, endpoint): PlacementRow) -> Self {
        Self { prefix, endpoint }
    }
}

impl From<Placement> for PlacementRow {
    fn from(Placement { prefix, endpoint }: Placement) -> Self {
        (prefix, endpoint)
    }
}

/// The outcomes of requests at an endpoint since the last message. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "OutcomeRow", into = "OutcomeRow")]
pub struct Outcome {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The requests by outcome.
    pub count: OutcomeCounts,
}

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests that got a first token or an answer.
    pub answered: u32,
    /// Requests that failed, or whose callers left before a first token or an answer.
    pub failed: u32,
}

/// Endpoint, answered, failed.
type OutcomeRow = (name::Endpoint, u32, u32);

impl From<OutcomeRow> for Outcome {
    fn from((endpoint, answered, failed): OutcomeRow) -> Self {
        let count = OutcomeCounts { answered, failed };
        Self { endpoint, count }
    }
}

impl From<Outcome> for OutcomeRow {
    fn from(Outcome { endpoint, count }: Outcome) -> Self {
        (endpoint, count.answered, count.failed)
    }
}

/// The probability that the next request at an endpoint fails. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RiskRow", into = "RiskRow")]
pub struct Risk {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// The probability of a failure.
    pub chance: risk::Chance,
}

/// Endpoint, probability.
type RiskRow = (name::Endpoint, risk::Chance);

impl From<RiskRow> for Risk {
    fn from((endpoint, chance): RiskRow) -> Self {
        Self { endpoint, chance }
    }
}

impl From<Risk> for RiskRow {
    fn from(Risk { endpoint, chance }: Risk) -> Self {
        (endpoint, chance)
    }
}

/// The prompts of a class that boxes have seen. Serialized as a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PromptsRow", into = "PromptsRow")]
pub struct Prompts {
    /// The class.
    pub class: name::Class,
    /// The number of prompts, with older ones weighted less.
    pub count: u32,
    /// The sum of their tokens, weighted alike.
    pub tokens: u64,
}

/// Class, count, tokens.
type PromptsRow = (name::Class, u32, u64);

impl From<PromptsRow> for Prompts {
    fn from((class, count, tokens): PromptsRow) -> Self {
        Self {
            class,
            count,
            tokens,
        }
    }
}

impl From<Prompts> for PromptsRow {
    fn from(prompts: Prompts) -> Self {
        (prompts.class, prompts.count, prompts.tokens)
    }
}

/// One message of an exchange between a box and a hub, or between hubs: what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Loads that have changed.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
    /// Shared prefixes that were placed.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placements: Vec<Placement>,
    /// Outcomes of requests; sent to hubs only.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<Outcome>,
    /// Prompts by class: to hubs the new ones, to boxes the sums over all boxes.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub prompts: Vec<Prompts>,
    /// How endpoints process prompts: to hubs new measurements, to boxes the sums over all boxes.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub prefills: Vec<Prefill>,
    /// Failure probabilities that have changed; sent to boxes only.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub risks: Vec<Risk>,
    /// Requests that arrived, and those of them that were refused for good; sent to hubs only.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<Refused>,
    /// Requests that started, were refused but may be retried, or were retried; sent to hubs only.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub traffic: Vec<Traffic>,
    /// All bounds that refusals of a class set for less urgent requests; sent to boxes only.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<Bound>,
    /// Endpoints that warm up and to which a box wants to send, the most wanted first; sent to
    /// hubs only.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<name::Endpoint>,
    /// Requests during which endpoints crashed, as far as this has changed.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<crash::Row>,
    /// Endpoints that announced in a response that they are leaving; sent to voters, whose
    /// registries spread it.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<registry::Leaving>,
    /// Rate limits that endpoints set, and the permits that are wanted for them; sent to voters.
    #[serde(
        rename = "q",
        default,
        skip_serializing_if = "throttle::Message::is_empty"
    )]
    pub throttle: throttle::Message,
    /// The capacity of retry budgets that a box holds and wants to have; sent to hubs only.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub retries: Vec<retry::Want>,
    /// What a box's links reach, if that has changed; sent to hubs only.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<reach::Report>,
    /// Limits on rejections that endpoints state, while any apply: to hubs those that the sender or its
    /// boxes have heard, to boxes all.
    #[serde(rename = "j", default, skip_serializing_if = "Vec::is_empty")]
    pub rejections: Vec<rejection::Row>,
    /// The boxes of a hub that serve requests for others, if these have changed; sent between hubs.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<Vec<reach::Peer>>,
}

impl Update {
    /// Adds the counts of a class's requests.
    pub fn add_counts(
        &mut self,
        service: &name::Service,
        class: &name::Class,
        counts: ClassCounts,
    ) {
        self.refused.extend(Refused::of(service, class, counts));
        self.traffic.extend(Traffic::of(service, class, &counts));
    }

    /// Returns whether the message is empty.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A hub's answer to a box.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// What has changed at the other boxes.
    #[serde(rename = "news")]
    pub update: Update,
    /// The number of boxes that this hub serves.
    pub boxes: u32,
    /// Endpoints that warm up and to which the box may send. The lease runs from the time of the
    /// box's request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leased: Vec<name::Endpoint>,
    /// Boxes that may serve requests for the box, if it has lost its links to endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<reach::Peer>,
}

/// Loads by endpoint. Endpoints without load are left out.
pub type Loads = BTreeMap<name::Endpoint, Load>;

/// Applies the changed loads of a message.
pub fn merge(loads: &mut Loads, changed: Vec<EndpointLoad>) {
    for EndpointLoad { endpoint, load } in changed {
        if load == Load::default() {
            loads.remove(&endpoint);
        } else {
            loads.insert(endpoint, load);
        }
    }
}

/// Returns the changes that turn `sent` into `loads`.
pub fn difference(sent: &Loads, loads: &Loads) -> Vec<EndpointLoad> {
    let changed = loads
        .iter()
        .filter(|(name, load)| sent.get(*name) != Some(*load));
    let changed = changed.map(|(name, load)| EndpointLoad {
        endpoint: name.clone(),
        load: *load,
    });
    let ended = sent.keys().filter(|name| !loads.contains_key(*name));
    let ended = ended.map(|name| EndpointLoad {
        endpoint: name.clone(),
        load: Load::default(),
    });
    changed.chain(ended).collect()
}

fn set_or_remove(loads: &mut Loads, name: &name::Endpoint, load: Load) {
    if load == Load::default() {
        loads.remove(name);
    } else {
        loads.insert(name.clone(), load);
    }
}
