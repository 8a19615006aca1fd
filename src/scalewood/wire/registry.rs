//! The calls by which boxes and voters exchange the registry of endpoints, loads and the
//! configuration with a voter.

use std::net::SocketAddr;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::{change, load, name, origin, pace, registry, retry, throttle, unit, usage};

/// An update of the registry; the first ones of a subscription together contain everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegistryUpdate {
    /// Endpoints that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<registry::Record>,
    /// Endpoints that served before this voter, or another one, started; sent once, and only for
    /// some time after the start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restored: Vec<registry::Record>,
    /// Endpoints that are gone, or of which a start has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<name::Endpoint>,
    /// The start that has ended, for those of `gone` that report incarnations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<registry::Ended>,
    /// Endpoints that left recently and of which the voter knew no start: the start that the
    /// receiver knows has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<name::Endpoint>,
    /// Starts of endpoints that announced in a response that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<registry::Leaving>,
    /// Endpoints that sent a heartbeat since the last update with names; sent every few seconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<name::Endpoint>,
    /// Endpoints whose pace has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::EndpointPace>,
    /// The highest revision that the voter knows.
    pub revision: unit::Revision,
    /// The number of boxes that follow the voter.
    pub followers: u32,
    /// The voter's availability zone, if it knows it; only in the first update.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<name::Zone>,
    /// The addresses of all voters and learners; only in the first update and after a change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<SocketAddr>,
    /// Whether all endpoints that the voter has reported are alive, except those that it has
    /// reported as `silent`. Subscribers of `follow` get the names in `heard` instead.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub vouches: bool,
    /// Endpoints whose heartbeats at the voter are overdue.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<name::Endpoint>,
    /// Whether the voter is in contact with a majority of the voters.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub in_touch: bool,
}

/// The address of a voter or learner, and its zone if that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<name::Zone>,
}

/// The kind of process that tracks the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tracker {
    /// A box, which gets all endpoints.
    Box,
    /// Another voter, which gets only the endpoints that announced themselves to this voter.
    Voter,
}

/// A complete document with its revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision.
    pub revision: unit::Revision,
    /// The document as JSON, which is serialised once for all boxes.
    pub document: Box<RawValue>,
}

/// An update to the configuration that a voter knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// The steps from the revision that was asked about.
    Steps(Vec<change::Step>),
    /// The complete document, if the voter no longer has these steps.
    Whole(Snapshot),
}

/// A voter's answer to a box's `exchange`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchanged {
    /// The loads of the other boxes.
    pub load: load::Answer,
    /// Rate limits of endpoints and permits for them, from a voter that issues permits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle: Option<throttle::Answer>,
    /// The capacity that the box's retry budgets may have.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retries: Vec<retry::Lent>,
    /// The time of day that the voters agree on, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A voter's answer to another voter's `share`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shared {
    /// Whether it has state of the other voter; otherwise that voter has to send everything again.
    pub known: bool,
    /// The time of day by its own clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Permits for the other's boxes, if it issues any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle: Option<throttle::Answer>,
}

/// How far the caller of `gather` has read a voter's records; zeros are the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// The position in the usage counts.
    pub usage: u64,
    /// The position in the registry.
    pub registry: u64,
}

/// What boxes and endpoints have reported to a voter since some stamps.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gathered {
    /// The stamps to pass in the next call.
    pub stamps: Stamps,
    /// The usage that boxes have counted.
    pub usage: Vec<usage::Page>,
    /// Endpoints that are new or changed.
    pub changed: Vec<registry::Record>,
    /// Endpoints that are gone, or of which a start has ended.
    pub gone: Vec<name::Endpoint>,
    /// The start that has ended, for those of `gone` that report incarnations.
    #[serde(default)]
    pub ended: Vec<registry::Ended>,
    /// Endpoints that left since the last call and of which the voter knew no start.
    #[serde(default)]
    pub left: Vec<name::Endpoint>,
    /// Starts of endpoints that announced in a response that they are leaving.
    #[serde(default)]
    pub leaving: Vec<registry::Leaving>,
    /// Endpoints that sent a heartbeat recently.
    pub heard: Vec<name::Endpoint>,
}

/// A box's question where a stream began.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Question {
    /// The stream, if the caller names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<origin::Key>,
    /// Its service, if only one is possible.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<name::Service>,
    /// How long ago it can have begun, in milliseconds.
    pub within_ms: u64,
    /// Whether the voter is to ask all others if it does not know the stream.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub asks_others: bool,
}

/// The calls by which a voter shares endpoints, loads and, on demand, the configuration.
#[rpc(server, client, namespace = "registry")]
pub trait Registry {
    /// Subscribes to the registry; every few seconds, an update names the endpoints that sent a
    /// heartbeat.
    #[subscription(name = "follow" => "news", unsubscribe = "leave", item = RegistryUpdate)]
    async fn follow(&self, who: name::Box) -> SubscriptionResult;

    /// Subscribes to changes of the registry only: the voter vouches for all endpoints that it has
    /// reported and names those whose heartbeats are overdue.
    #[subscription(name = "track" => "tracked", unsubscribe = "untrack", item = RegistryUpdate)]
    async fn track(&self, who: name::Box, tracker: Tracker) -> SubscriptionResult;

    /// Returns the addresses of voters and learners.
    #[method(name = "places")]
    async fn places(&self) -> RpcResult<Vec<Location>>;

    /// Records the paces of endpoints that a box has measured.
    #[method(name = "measured")]
    async fn measured(&self, who: name::Box, paces: Vec<pace::EndpointPace>) -> RpcResult<()>;

    /// Records a box's loads at endpoints (the changed ones, or all if `anew` is set), its
    /// placements and its usage counts; returns the loads of the other boxes. Returns `None` if the
    /// voter has no state of the box, which then has to send everything with `anew` set.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        who: name::Box,
        anew: bool,
        told: load::Update,
        usage: usage::Report,
    ) -> RpcResult<Option<Exchanged>>;

    /// Records the loads of another voter's boxes: the changed ones, or all if `anew` is set.
    #[method(name = "share")]
    async fn share(&self, who: name::Box, anew: bool, told: load::Update) -> RpcResult<Shared>;

    /// Records where streams began.
    #[method(name = "remember")]
    async fn remember(&self, begun: Vec<origin::Begun>) -> RpcResult<()>;

    /// Returns what the voter knows of a stream's origin.
    #[method(name = "origin")]
    async fn origin(&self, question: Question) -> RpcResult<origin::Answer>;

    /// Returns what boxes and endpoints have reported to this voter since some stamps.
    #[method(name = "gather")]
    async fn gather(&self, after: Stamps) -> RpcResult<Gathered>;

    /// Returns the configuration if the voter has a newer revision.
    #[method(name = "document")]
    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Update>>;
}
