//! What entry boxes take from each other.

use std::collections::BTreeMap;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use crate::core::{attempt, claim, dispatch, member, name, verdict};

/// A dispatcher's load, as its box tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The zone that it dispatches in.
    pub zone: name::Zone,
    /// The box that dispatches.
    pub dispatcher: name::Box,
    /// How busy it is.
    pub summary: dispatch::Summary,
    /// How old the summary is, in milliseconds.
    pub age_ms: u64,
}

/// A probe, and the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The sender's zone.
    pub zone: name::Zone,
    /// Membership news; used within a zone only.
    pub members: member::Message,
    /// Loads of dispatchers, by service; a bounded number of them.
    pub loads: Vec<(name::Service, Load)>,
    /// Endpoints that are known to leave.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub leaving: BTreeMap<name::Endpoint, bool>,
}

/// Reports about requests of one service in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The service.
    pub service: name::Service,
    /// The reports, in order.
    pub reports: Vec<dispatch::Report>,
}

/// The entry boxes' side of each other.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Exchanges news.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<Probe>;

    /// Takes reports for the dispatchers here, in order.
    #[method(name = "report")]
    async fn report(&self, from: name::Box, batches: Vec<Batch>) -> RpcResult<()>;

    /// Subscribes to the orders of the dispatchers here.
    #[subscription(name = "orders" => "order", unsubscribe = "no_orders", item = Vec<dispatch::Order>)]
    async fn orders(&self, from: name::Box) -> SubscriptionResult;

    /// Claims a key.
    #[method(name = "claim")]
    async fn claim(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<claim::Reply>;

    /// Gives a claim back unused.
    #[method(name = "release")]
    async fn release(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<()>;

    /// Tells what became of a claim.
    #[method(name = "end")]
    async fn end(
        &self,
        key: claim::Key,
        owner: attempt::Request,
        verdict: verdict::Verdict,
    ) -> RpcResult<()>;

    /// Reads back the claims that a box may have forgotten.
    #[method(name = "read_back")]
    async fn read_back(&self, by: name::Box)
        -> RpcResult<Option<Vec<(claim::Key, claim::Record)>>>;
}
