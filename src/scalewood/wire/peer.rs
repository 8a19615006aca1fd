//! What entry boxes take from each other.

use std::time::Duration;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use crate::core::{attempt, claim, dispatch, member, name, unit, verdict};

/// A dispatcher's load, as its box tells it. Waits are whole milliseconds, to keep the
/// messages short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The zone that it dispatches in.
    pub zone: name::Zone,
    /// The box that dispatches.
    pub dispatcher: name::Box,
    /// Slots that may be used, slots that are held, requests that wait.
    pub counts: (u32, u32, u32),
    /// The predicted wait of a new request, by tier, in milliseconds.
    pub waits: Vec<(unit::Tier, u32)>,
    /// How old the load is, in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// The load of a dispatcher that is busy as its summary says.
    pub fn new(zone: name::Zone, dispatcher: name::Box, summary: &dispatch::Summary) -> Self {
        let millis = |wait: &Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let waiting = u32::try_from(summary.waiting).unwrap_or(u32::MAX);
        Self {
            zone,
            dispatcher,
            counts: (summary.slots, summary.running, waiting),
            waits: summary
                .waits
                .iter()
                .map(|(tier, wait)| (*tier, millis(wait)))
                .collect(),
            age_ms: 0,
        }
    }

    /// How busy the dispatcher is.
    pub fn summary(&self) -> dispatch::Summary {
        let (slots, running, waiting) = self.counts;
        let waits = self
            .waits
            .iter()
            .map(|(tier, ms)| (*tier, Duration::from_millis((*ms).into())));
        dispatch::Summary {
            slots,
            running,
            waiting: waiting as usize,
            waits: waits.collect(),
        }
    }
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
