//! The calls that voters serve: messages between voters, reports of the entry boxes, and operators'
//! requests that another voter forwards.

use std::{net::SocketAddr, sync::Arc};

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::core::{change, cordon, departure, ledger, name, raft, throttle, unit};

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: raft::Node,
    /// The address at which the sender receives answers.
    pub address: SocketAddr,
    /// The node that the message is for; any other node must discard it.
    pub to: raft::Node,
    /// The message.
    pub message: raft::Message<ledger::Ledger>,
}

/// An entry box's report about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The box.
    pub name: name::Box,
    /// Its zone.
    pub zone: name::Zone,
    /// The revision in force there.
    pub revision: unit::Revision,
    /// Whether it accepts new work.
    pub ready: bool,
    /// The services that it is the dispatcher of.
    pub dispatches: Vec<name::Service>,
    /// The endpoints that have asked this box for a backoff, each with the remaining time in
    /// milliseconds; a subset if there are many.
    #[serde(default, skip_serializing_if = "Vec::is_empty", rename = "rests")]
    pub backoffs: Vec<(name::Endpoint, u64)>,
    /// The rate limits of endpoints that the box knows; a subset if there are many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(name::Endpoint, throttle::Limit)>,
}

/// The answer to a proposal that was forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forwarded<A> {
    /// The proposal was decided, with this answer.
    Answer(A),
    /// The voter is not the leader.
    NotLeader,
    /// It is not known whether the proposal will be committed.
    Unknown,
    /// The proposal was refused, with this reason.
    Refused(String),
}

/// The calls that voters serve.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Accepts messages of another voter.
    #[method(name = "messages")]
    async fn messages(&self, envelopes: Vec<Envelope>) -> RpcResult<()>;

    /// Records an entry box's report; returns the highest revision that this voter knows.
    #[method(name = "beat")]
    async fn beat(&self, beat: Heartbeat) -> RpcResult<unit::Revision>;

    /// Proposes a change of the configuration that another voter forwards for an operator.
    #[method(name = "change")]
    async fn change(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> RpcResult<Forwarded<change::Answer>>;

    /// Proposes a routing that another voter forwards for an operator.
    #[method(name = "publish")]
    async fn publish(
        &self,
        publication: ledger::Publication,
    ) -> RpcResult<Forwarded<change::Answer>>;

    /// Proposes an order to cordon or uncordon a zone that another voter forwards for an operator.
    #[method(name = "cordon")]
    async fn cordon(&self, order: cordon::Order) -> RpcResult<Forwarded<change::Answer>>;

    /// Proposes to record that an endpoint is leaving or gone, which it announced to another voter.
    #[method(name = "depart")]
    async fn depart(&self, departure: departure::Departure)
        -> RpcResult<Forwarded<change::Answer>>;

    /// Returns the text of the routing in force; only the leader answers.
    #[method(name = "read")]
    async fn read(&self) -> RpcResult<Forwarded<Option<Arc<str>>>>;

    /// Adds a node to the members. Returns the leader's address if another voter is the leader.
    #[method(name = "join")]
    async fn join(&self, node: raft::Node, address: SocketAddr) -> RpcResult<Option<SocketAddr>>;

    /// Proposes a membership change that another voter forwards for an operator.
    #[method(name = "members")]
    async fn members(&self, request: raft::MembersRequest) -> RpcResult<Forwarded<()>>;
}
