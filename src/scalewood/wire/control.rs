//! What voters take: each other's messages, and reports of the entry boxes.

use std::{net::SocketAddr, sync::Arc};

use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::core::{change, cordon, ledger, name, raft, throttle, unit};

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: raft::Node,
    /// Where the sender takes answers.
    pub address: SocketAddr,
    /// The node that it is for; any other must not take it.
    pub to: raft::Node,
    /// The message.
    pub message: raft::Message<ledger::Ledger>,
}

/// What an entry box says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The box.
    pub name: name::Box,
    /// Its zone.
    pub zone: name::Zone,
    /// The revision in force there.
    pub revision: unit::Revision,
    /// Whether it takes new work.
    pub ready: bool,
    /// The services that it dispatches.
    pub dispatches: Vec<name::Service>,
    /// The endpoints that rest from it, some of them if there are many, each with how much longer in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rests: Vec<(name::Endpoint, u64)>,
    /// The endpoints that limit their requests, as far as it knows, some of them if there are many.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<(name::Endpoint, throttle::Limit)>,
}

/// The answer to a proposal that was passed on to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Passed<A> {
    /// It was decided.
    Answer(A),
    /// The voter does not lead.
    NotLeader,
    /// It is not known whether it will be decided.
    Unknown,
    /// It was refused.
    Refused(String),
}

/// The voters' side of control.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Takes messages of another voter.
    #[method(name = "messages")]
    async fn messages(&self, envelopes: Vec<Envelope>) -> RpcResult<()>;

    /// Takes an entry box's report; returns the highest revision known here.
    #[method(name = "beat")]
    async fn beat(&self, beat: Beat) -> RpcResult<unit::Revision>;

    /// Takes a change that an operator gave to another voter.
    #[method(name = "change")]
    async fn change(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> RpcResult<Passed<change::Answer>>;

    /// Takes a routing that an operator gave to another voter.
    #[method(name = "publish")]
    async fn publish(&self, publication: ledger::Publication) -> RpcResult<Passed<change::Answer>>;

    /// Takes an order to cordon or uncordon a zone that an operator gave to another voter.
    #[method(name = "cordon")]
    async fn cordon(&self, order: cordon::Order) -> RpcResult<Passed<change::Answer>>;

    /// Reads the text of the routing in force, from the leader only.
    #[method(name = "read")]
    async fn read(&self) -> RpcResult<Passed<Option<Arc<str>>>>;

    /// Has a node made a member. Answers with the leader's address where another
    /// voter leads.
    #[method(name = "join")]
    async fn join(&self, node: raft::Node, address: SocketAddr) -> RpcResult<Option<SocketAddr>>;

    /// Takes a change of the voters that an operator gave to another voter.
    #[method(name = "members")]
    async fn members(&self, request: raft::MembersRequest) -> RpcResult<Passed<()>>;
}
