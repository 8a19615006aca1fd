//! Links from a voter to the other voters.
//!
//! A link may lose messages, but never keeps them for long: what does not go out at
//! once is dropped, and the machine sends what still matters again.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jsonrpsee::{core::client::Error as ClientError, ws_client::WsClient};
use tokio::sync::mpsc;

use crate::{
    core::{change, cordon, ledger, name, raft},
    event,
    ops::rpc,
    util::lock::lock,
    wire::control::{ControlClient as _, Envelope, Passed},
};

/// Messages that wait for a link.
const QUEUE: usize = 256;
/// The wait before a lost link is tried again.
const AGAIN: Duration = Duration::from_millis(200);
/// How long a call to another voter may take; one that is cut off in silence is left
/// for a new connection after that.
const CALL: Duration = Duration::from_millis(700);

type Message = raft::Message<ledger::Ledger>;

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    sender: mpsc::Sender<Envelope>,
}

/// A connection that is kept, and where it leads.
type Kept = (SocketAddr, Arc<WsClient>);

/// Links to the other voters, made as they are needed.
#[derive(Clone, Debug)]
pub(super) struct Links {
    own: SocketAddr,
    runtime: tokio::runtime::Handle,
    log: slog::Logger,
    addresses: Arc<Mutex<HashMap<raft::Node, SocketAddr>>>,
    links: Arc<Mutex<HashMap<raft::Node, Link>>>,
    leader: Arc<Mutex<Option<Kept>>>,
}

impl Links {
    pub(super) fn new(own: SocketAddr, log: slog::Logger) -> Self {
        let runtime = tokio::runtime::Handle::current();
        Self {
            own,
            runtime,
            log,
            addresses: Arc::default(),
            links: Arc::default(),
            leader: Arc::default(),
        }
    }

    /// Notes where a node said that it takes answers. The members' list goes first;
    /// a learner does not have it yet.
    pub(super) fn learn(&self, node: &raft::Node, address: SocketAddr) {
        lock(&self.addresses).insert(node.clone(), address);
    }

    /// Sends messages, or drops those that can't go out.
    pub(super) fn send(&self, status: &raft::Status, sends: Vec<(raft::Node, Message)>) {
        if sends.is_empty() {
            return;
        }
        for (node, address) in status.members.addresses() {
            lock(&self.addresses).insert(node.clone(), *address);
        }
        for (to, message) in sends {
            let Some(address) = lock(&self.addresses).get(&to).copied() else {
                continue;
            };
            let from = status.node.clone();
            let envelope = Envelope {
                from,
                address: self.own,
                to: to.clone(),
                message,
            };
            let _ = self.link(&to, address).try_send(envelope);
        }
    }

    fn link(&self, to: &raft::Node, address: SocketAddr) -> mpsc::Sender<Envelope> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(to).filter(|link| link.address == address) {
            return link.sender.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE);
        links.insert(
            to.clone(),
            Link {
                address,
                sender: sender.clone(),
            },
        );
        self.runtime
            .spawn(carry(to.clone(), address, receiver, self.log.clone()));
        sender
    }

    /// A connection to the leader, kept between calls.
    async fn leader(&self, leader: Option<raft::Node>) -> Option<Arc<WsClient>> {
        let address = lock(&self.addresses).get(&leader?).copied()?;
        let kept = lock(&self.leader)
            .clone()
            .filter(|(at, client)| *at == address && client.is_connected());
        if let Some((_, client)) = kept {
            return Some(client);
        }
        let client = rpc::connect(address).await.ok()?;
        *lock(&self.leader) = Some((address, client.clone()));
        Some(client)
    }

    /// Calls the leader; what takes too long is given up, and its connection too.
    async fn call<T, F>(
        &self,
        leader: Option<raft::Node>,
        call: impl FnOnce(Arc<WsClient>) -> F,
    ) -> Passed<T>
    where
        F: Future<Output = Result<Passed<T>, ClientError>>,
    {
        let asked = async {
            let Some(client) = self.leader(leader).await else {
                return Passed::NotLeader;
            };
            call(client).await.unwrap_or(Passed::Unknown)
        };
        match tokio::time::timeout(CALL, asked).await {
            Ok(passed) => passed,
            Err(_) => {
                *lock(&self.leader) = None;
                Passed::Unknown
            }
        }
    }

    /// Passes a routing on to the leader.
    pub(super) async fn pass_publication(
        &self,
        leader: Option<raft::Node>,
        publication: ledger::Publication,
    ) -> Passed<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.publish(publication).await };
        self.call(leader, call).await
    }

    /// Reads the routing from the leader.
    pub(super) async fn pass_read(&self, leader: Option<raft::Node>) -> Passed<Option<Arc<str>>> {
        let call = |client: Arc<WsClient>| async move { client.read().await };
        self.call(leader, call).await
    }

    /// Passes a change on to the leader.
    pub(super) async fn pass_change(
        &self,
        leader: Option<raft::Node>,
        change: change::Change,
        operator: name::Operator,
    ) -> Passed<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.change(change, operator).await };
        self.call(leader, call).await
    }

    /// Passes an order to cordon or uncordon a zone on to the leader.
    pub(super) async fn pass_cordon(
        &self,
        leader: Option<raft::Node>,
        order: cordon::Order,
    ) -> Passed<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.cordon(order).await };
        self.call(leader, call).await
    }

    /// Passes a change of the voters on to the leader.
    pub(super) async fn pass_members(
        &self,
        leader: Option<raft::Node>,
        request: raft::MembersRequest,
    ) -> Passed<()> {
        let call = |client: Arc<WsClient>| async move { client.members(request).await };
        self.call(leader, call).await
    }
}

/// Carries messages to one node for as long as they come.
async fn carry(
    to: raft::Node,
    address: SocketAddr,
    mut receiver: mpsc::Receiver<Envelope>,
    log: slog::Logger,
) {
    let mut client: Option<Arc<WsClient>> = None;
    while let Some(first) = receiver.recv().await {
        let mut envelopes = vec![first];
        while let Ok(next) = receiver.try_recv() {
            envelopes.push(next);
        }
        if client.as_ref().is_none_or(|client| !client.is_connected()) {
            client = rpc::connect(address).await.ok();
        }
        let Some(connected) = &client else {
            tokio::time::sleep(AGAIN).await;
            continue;
        };
        let sent = tokio::time::timeout(CALL, connected.messages(envelopes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            event!(log, VoterUnreachable, "voter" => %to, "address" => %address);
            client = None;
        }
    }
}
