//! The calls that entry boxes serve to each other.

use std::time::Duration;

use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use serde::{Deserialize, Serialize};

use crate::core::{attempt, claim, dispatch, member, name, origin, unit, verdict};

/// A dispatcher's load, as its box reports it. Waits are in whole milliseconds to keep the
/// messages short.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The zone that it dispatches in.
    pub zone: name::Zone,
    /// The box that dispatches.
    pub dispatcher: name::Box,
    /// The numbers of usable slots, slots in use and waiting requests.
    pub counts: (u32, u32, u32),
    /// The predicted wait of a new request, by tier, in milliseconds.
    pub waits: Vec<(unit::Tier, u32)>,
    /// The age of the load in milliseconds.
    pub age_ms: u32,
}

impl Load {
    /// Returns the load that a dispatcher's summary states, with an age of zero.
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

    /// Returns the load as a dispatcher's summary.
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

/// A probe or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The sender's zone.
    pub zone: name::Zone,
    /// Membership updates; used only between boxes of one zone.
    pub members: member::Message,
    /// The loads of a bounded number of dispatchers, by service.
    pub loads: Vec<(name::Service, Load)>,
}

/// Reports about the requests of one service in one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The service.
    pub service: name::Service,
    /// The reports, in order.
    pub reports: Vec<dispatch::Report>,
}

/// The header of a request that a box forwards to another one, with a [`Forwarded`] as JSON.
pub const FORWARDED_HEADER: &str = "scalewood-forwarded";
/// The header of the answer to a forwarded request that the box gives back unserved: it did not run.
pub const UNAVAILABLE_HEADER: &str = "scalewood-unavailable";

/// The header of the answer to a forwarded request for a stream, with the stream's
/// [`origin::Origin`] as JSON.
pub const ORIGIN_HEADER: &str = "scalewood-origin";

/// What a box states about a request that it forwards to another one over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarded {
    /// The box that received the request from its caller.
    pub by: name::Box,
    /// The revision by which it has accepted the request. A box with an older one gives it back.
    pub revision: unit::Revision,
    /// How long ago it received the request, in milliseconds.
    pub age_ms: u64,
    /// The number of endpoints that may have run the request.
    pub runs: u32,
    /// Whether the request was already counted for its team's usage.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub counted: bool,
    /// Whether its caller was probably refused before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub returned: bool,
    /// Where its stream began, if it goes on with one. A box that does not state the same in its answer,
    /// as one that does not know this field, may have gone on elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<origin::Origin>,
}

/// The calls that an entry box serves to other entry boxes.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Exchanges membership updates and dispatcher loads.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<Probe>;

    /// Passes reports to the dispatchers on this box, in order.
    #[method(name = "report")]
    async fn report(&self, from: name::Box, batches: Vec<Batch>) -> RpcResult<()>;

    /// Subscribes to the orders of the dispatchers on this box.
    #[subscription(name = "orders" => "order", unsubscribe = "no_orders", item = Vec<dispatch::Order>)]
    async fn orders(&self, from: name::Box) -> SubscriptionResult;

    /// Claims an idempotency key for a request.
    #[method(name = "claim")]
    async fn claim(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<claim::Reply>;

    /// Releases a claim that was not used.
    #[method(name = "release")]
    async fn release(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<()>;

    /// Records the outcome of the request that holds a claim.
    #[method(name = "end")]
    async fn end(
        &self,
        key: claim::Key,
        owner: attempt::Request,
        verdict: verdict::Verdict,
    ) -> RpcResult<()>;

    /// Returns the claims that a box may have lost, so that it can read them back.
    #[method(name = "read_back")]
    async fn read_back(&self, by: name::Box)
        -> RpcResult<Option<Vec<(claim::Key, claim::Record)>>>;
}
