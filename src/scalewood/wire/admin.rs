//! The bodies of the administration API, which is JSON over HTTP under `/admin/v1`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{
    audit, change, config, cordon, fencing, fingerprint, name, raft, unit, usage, verdict,
};

/// The prefix of all paths of the API.
pub const PREFIX: &str = "/admin/v1";

/// The configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Config {
    /// Its revision.
    pub revision: unit::Revision,
    /// The document.
    pub document: config::Document,
}

/// The audit trail, the oldest record first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// The records.
    pub records: Vec<audit::Record>,
}

/// The status of an entry box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its last report.
    #[serde(rename = "beat")]
    pub heartbeat: crate::wire::control::Heartbeat,
    /// The age of this report in milliseconds.
    pub age_ms: u64,
    /// Whether the revision in force is in force at the box too.
    pub current: bool,
}

/// The status of the system, as one voter sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The voter's own status.
    pub voter: raft::Status,
    /// The revision in force.
    pub revision: unit::Revision,
    /// The entry boxes that have reported to this voter.
    pub boxes: Vec<BoxStatus>,
}

/// The state of the tasks for the provider, as the voters have agreed on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Provider {
    /// The process that carries out the tasks, if there is one.
    pub holder: Option<fencing::Holder>,
    /// The usage windows that are retained.
    pub usage: BTreeMap<usage::Window, usage::Agreed>,
    /// The number of endpoints in the last order, by service, zone and kind.
    #[serde(rename = "ordered")]
    pub last_scaling_counts: BTreeMap<String, u32>,
}

/// The zones that are cordoned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons {
    /// The revision in force.
    pub revision: unit::Revision,
    /// The zones.
    pub cordoned: BTreeSet<name::Zone>,
}

/// An operator's order to cordon or uncordon a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cordon {
    /// The order's identity, which the operator chooses.
    pub id: change::Id,
    /// The zone.
    pub zone: name::Zone,
    /// Whether the zone is to be cordoned or uncordoned.
    #[serde(rename = "act")]
    pub action: cordon::Action,
    /// The reason, which is recorded in the audit trail.
    pub why: String,
}

/// The held-back requests that a voter knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBack {
    /// The requests, each with the endpoints that ended under it.
    pub held_back: Vec<HeldBackRequest>,
}

/// A request that is held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBackRequest {
    /// The request's fingerprint, computed from path, caller and body.
    pub fingerprint: fingerprint::Fingerprint,
    /// The endpoints that ended under it.
    pub ends: Vec<Ended>,
}

/// An endpoint that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// When it ended, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// An operator's order to serve a held-back request again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pardon {
    /// The request's fingerprint.
    pub fingerprint: fingerprint::Fingerprint,
    /// The reason, which is logged.
    pub why: String,
}

/// An operator's change of the configuration.
pub type Change = change::Change;

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// What failed, why, and what to do.
    pub error: String,
    /// Whether the request may have been executed.
    pub verdict: verdict::Verdict,
}
