//! Following the registry: endpoints that announced themselves to a voter.

use std::net::SocketAddr;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::core::{change, load, name, pace, registry, throttle, unit, usage};

/// News of the registry; the first of a subscription holds everything.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Endpoints that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<registry::Record>,
    /// Endpoints that served before the voter started, in the first news after that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restored: Vec<registry::Record>,
    /// Endpoints that have gone, or of which a start has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gone: Vec<name::Endpoint>,
    /// Which start of them has gone, of those that tell their incarnations.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<registry::Ended>,
    /// Endpoints that left a moment ago, where the voter knew no start of them: the start that is
    /// known to who hears this has gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<name::Endpoint>,
    /// Endpoints that said in an answer that they leave, with their starts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<registry::Leaving>,
    /// Endpoints that were heard of since the last news.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<name::Endpoint>,
    /// Endpoints whose pace has changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<pace::Paced>,
    /// The revision that the voter knows.
    pub revision: unit::Revision,
    /// How many boxes follow the voter.
    pub followers: u32,
    /// The voter's availability zone, if it knows it; in the first news only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<name::Zone>,
    /// Where all voters and learners are reached.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<SocketAddr>,
    /// Whether all endpoints are alive that the voter has told of, but for those that it has named
    /// as silent. Who only follows is told names as `heard` instead.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub vouches: bool,
    /// Endpoints that the voter has not heard of for too long.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<name::Endpoint>,
    /// Whether the voter hears a majority of the voters.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub in_touch: bool,
}

/// Where a voter or learner is reached, and where it stands if that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<name::Zone>,
}

/// Who tracks the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tracker {
    /// A box: it is told of all endpoints.
    Box,
    /// Another voter: it is told of those that told this one of themselves.
    Voter,
}

/// A whole document with its revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Whole {
    /// The revision.
    pub revision: unit::Revision,
    /// The document's JSON, as it is made once for all boxes.
    pub document: Box<RawValue>,
}

/// What leads to the configuration that a voter knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Update {
    /// Steps from the revision that was named.
    Steps(Vec<change::Step>),
    /// All of it, where the steps are not remembered.
    Whole(Whole),
}

/// What a voter answers a box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchanged {
    /// What other boxes have.
    pub load: load::Answer,
    /// Limits of endpoints and permits for them, from a voter that issues permits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle: Option<throttle::Answer>,
    /// The agreed time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// What a voter answers another one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shared {
    /// Whether it knows the other; else that has to start anew.
    pub known: bool,
    /// Its own time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Permits for the other's boxes, if it issues any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub throttle: Option<throttle::Answer>,
}

/// Up to where a voter has told what boxes and endpoints have told it; zeros are the beginning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// Of usage.
    pub usage: u64,
    /// Of the registry.
    pub registry: u64,
}

/// What boxes and endpoints have told a voter since some stamps.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Gathered {
    /// The stamps to ask after next.
    pub stamps: Stamps,
    /// What boxes have counted of their usage.
    pub usage: Vec<usage::Page>,
    /// Endpoints that are new or changed.
    pub changed: Vec<registry::Record>,
    /// Endpoints that have gone, or of which a start has.
    pub gone: Vec<name::Endpoint>,
    /// Which start of them has gone, of those that tell their incarnations.
    #[serde(default)]
    pub ended: Vec<registry::Ended>,
    /// Endpoints that left since the last call, where the voter knew no start of them.
    #[serde(default)]
    pub left: Vec<name::Endpoint>,
    /// Endpoints that said in an answer that they leave, with their starts.
    #[serde(default)]
    pub leaving: Vec<registry::Leaving>,
    /// Endpoints that were heard of lately.
    pub heard: Vec<name::Endpoint>,
}

/// Gives out what a voter knows of endpoints, and the configuration on demand.
#[rpc(server, client, namespace = "registry")]
pub trait Registry {
    /// Follows the registry.
    #[subscription(name = "follow" => "news", unsubscribe = "leave", item = News)]
    async fn follow(&self, who: name::Box) -> SubscriptionResult;

    /// Follows the registry by changes alone: the voter vouches for all that it has told of.
    #[subscription(name = "track" => "tracked", unsubscribe = "untrack", item = News)]
    async fn track(&self, who: name::Box, tracker: Tracker) -> SubscriptionResult;

    /// Where voters and learners are reached.
    #[method(name = "places")]
    async fn places(&self) -> RpcResult<Vec<Place>>;

    /// Takes the paces of endpoints that a box has measured.
    #[method(name = "measured")]
    async fn measured(&self, who: name::Box, paces: Vec<pace::Paced>) -> RpcResult<()>;

    /// Takes what a box has at endpoints, as far as it has changed or all of it if the box
    /// starts `anew`, what it has placed and what it has counted of its usage; returns the same
    /// of the other boxes. Nothing if the voter does not know the box: it has to start anew.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        who: name::Box,
        anew: bool,
        told: load::Update,
        usage: usage::Report,
    ) -> RpcResult<Option<Exchanged>>;

    /// Takes what has changed at another voter's boxes, or all of it if that voter starts
    /// `anew`.
    #[method(name = "share")]
    async fn share(&self, who: name::Box, anew: bool, told: load::Update) -> RpcResult<Shared>;

    /// What boxes and endpoints have told this voter since some stamps.
    #[method(name = "gather")]
    async fn gather(&self, after: Stamps) -> RpcResult<Gathered>;

    /// The configuration, if the voter has one that is newer.
    #[method(name = "document")]
    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Update>>;
}
