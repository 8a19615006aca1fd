//! The administration API's bodies: JSON over HTTP under `/admin/v1`.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::core::{
    audit, change, config, cordon, fencing, fingerprint, name, raft, unit, usage, verdict,
};

/// The prefix of all paths.
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

/// How an entry box stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxStatus {
    /// What it last said.
    pub beat: crate::wire::control::Beat,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u64,
    /// Whether it is at the revision in force.
    pub current: bool,
}

/// How the system stands, as one voter sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The voter.
    pub voter: raft::Status,
    /// The revision in force.
    pub revision: unit::Revision,
    /// The entry boxes that have reported here.
    pub boxes: Vec<BoxStatus>,
}

/// What is done for the provider, as the voters have agreed on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Provider {
    /// Who does it.
    pub holder: Option<fencing::Holder>,
    /// The windows of usage that are kept.
    pub usage: BTreeMap<usage::Window, usage::Agreed>,
    /// How many endpoints were ordered last, by service, zone and kind.
    pub ordered: BTreeMap<String, u32>,
}

/// The zones that are cordoned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons {
    /// The revision in force.
    pub revision: unit::Revision,
    /// The zones.
    pub cordoned: BTreeSet<name::Zone>,
}

/// What an operator sends to cordon or uncordon a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cordon {
    /// The operator's own identity for the order.
    pub id: change::Id,
    /// The zone.
    pub zone: name::Zone,
    /// What is done to it.
    pub act: cordon::Action,
    /// Why; goes into the audit trail.
    pub why: String,
}

/// The requests that are held back, as one voter knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBack {
    /// Each with the endpoints that ended under it.
    pub held_back: Vec<HeldBackRequest>,
}

/// A request that is held back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBackRequest {
    /// The request, by path, caller and body.
    pub fingerprint: fingerprint::Fingerprint,
    /// The endpoints that ended under it.
    pub ends: Vec<Ended>,
}

/// An endpoint that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// What an operator sends to take a request back into service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pardon {
    /// The request.
    pub fingerprint: fingerprint::Fingerprint,
    /// Why; goes into the log.
    pub why: String,
}

/// What an operator sends to change the configuration.
pub type Change = change::Change;

/// An error's body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// What failed, why, and what to do.
    pub error: String,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
}
