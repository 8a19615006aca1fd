//! Links from a voter to the other voters.
//!
//! A link may lose messages but never delays them for long: a message that can't be sent at once
//! is dropped, and the consensus state machine sends again whatever is still needed.

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
    core::{change, cordon, departure, ledger, name, raft},
    event,
    ops::{control::memory, rpc},
    util::lock::lock,
    wire::control::{ControlClient as _, Envelope, Forwarded},
};

/// The most messages that are queued for one link.
const QUEUE_CAPACITY: usize = 256;
/// The most bytes of messages that are queued for one link. A single larger message is queued too.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// The most bytes of messages in one call. A single larger message is sent too.
const MAX_CALL_BYTES: usize = 1 << 20;
/// The delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// How long a call to another voter may take. After that its connection counts as lost, since a
/// network partition closes no connection, and a new one is made.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

type Message = raft::Message<ledger::Ledger>;

/// The queue of messages to one voter, which a task sends.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    sender: mpsc::Sender<Queued>,
    /// The memory of the queued messages.
    memory: Arc<memory::Budget>,
}

/// A queued message with its share of the queue's memory, which is freed when the message was sent.
#[derive(Debug)]
struct Queued {
    envelope: Envelope,
    share: memory::Share,
}

/// A cached connection with its remote address.
type Connection = (SocketAddr, Arc<WsClient>);

/// The links to the other voters, created on first use.
#[derive(Clone, Debug)]
pub(super) struct Links {
    own_address: SocketAddr,
    runtime: tokio::runtime::Handle,
    log: slog::Logger,
    addresses: Arc<Mutex<HashMap<raft::Node, SocketAddr>>>,
    links: Arc<Mutex<HashMap<raft::Node, Link>>>,
    leader: Arc<Mutex<Option<Connection>>>,
}

impl Links {
    pub(super) fn new(own_address: SocketAddr, log: slog::Logger) -> Self {
        let runtime = tokio::runtime::Handle::current();
        Self {
            own_address,
            runtime,
            log,
            addresses: Arc::default(),
            links: Arc::default(),
            leader: Arc::default(),
        }
    }

    /// Records the address that a node named in a message. The membership takes precedence, but
    /// a new learner is not in it yet.
    pub(super) fn learn(&self, node: &raft::Node, address: SocketAddr) {
        lock(&self.addresses).insert(node.clone(), address);
    }

    /// Queues messages for their receivers; drops those without a known address or whose queue is
    /// full.
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
                address: self.own_address,
                to: to.clone(),
                message,
            };
            self.queue(&to, address, envelope);
        }
    }

    /// Queues a message, unless the link's queue is full.
    fn queue(&self, to: &raft::Node, address: SocketAddr, envelope: Envelope) {
        let (sender, memory) = self.link(to, address);
        if let Some(share) = memory.take(envelope.message.bytes()) {
            let _ = sender.try_send(Queued { envelope, share });
        }
    }

    /// Returns the queue of the link to a node, which is created if the node has none at this
    /// address.
    fn link(
        &self,
        to: &raft::Node,
        address: SocketAddr,
    ) -> (mpsc::Sender<Queued>, Arc<memory::Budget>) {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(to).filter(|link| link.address == address) {
            return (link.sender.clone(), link.memory.clone());
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let memory = memory::Budget::new(MAX_QUEUED_BYTES);
        links.insert(
            to.clone(),
            Link {
                address,
                sender: sender.clone(),
                memory: memory.clone(),
            },
        );
        self.runtime
            .spawn(send_queued(to.clone(), address, receiver, self.log.clone()));
        (sender, memory)
    }

    /// Returns a connection to the leader, which is kept between calls.
    async fn leader(&self, leader: Option<raft::Node>) -> Option<Arc<WsClient>> {
        let address = lock(&self.addresses).get(&leader?).copied()?;
        let cached = lock(&self.leader)
            .clone()
            .filter(|(at, client)| *at == address && client.is_connected());
        if let Some((_, client)) = cached {
            return Some(client);
        }
        let client = rpc::connect(address).await.ok()?;
        *lock(&self.leader) = Some((address, client.clone()));
        Some(client)
    }

    /// Calls the leader; returns `NotLeader` if it can't be reached. On a timeout the outcome is
    /// unknown, and the connection is dropped.
    async fn call<T, F>(
        &self,
        leader: Option<raft::Node>,
        call: impl FnOnce(Arc<WsClient>) -> F,
    ) -> Forwarded<T>
    where
        F: Future<Output = Result<Forwarded<T>, ClientError>>,
    {
        let response = async {
            let Some(client) = self.leader(leader).await else {
                return Forwarded::NotLeader;
            };
            call(client).await.unwrap_or(Forwarded::Unknown)
        };
        match tokio::time::timeout(CALL_TIMEOUT, response).await {
            Ok(outcome) => outcome,
            Err(_) => {
                *lock(&self.leader) = None;
                Forwarded::Unknown
            }
        }
    }

    /// Forwards a routing to the leader.
    pub(super) async fn forward_publication(
        &self,
        leader: Option<raft::Node>,
        publication: ledger::Publication,
    ) -> Forwarded<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.publish(publication).await };
        self.call(leader, call).await
    }

    /// Reads the routing from the leader.
    pub(super) async fn forward_read(
        &self,
        leader: Option<raft::Node>,
    ) -> Forwarded<Option<Arc<str>>> {
        let call = |client: Arc<WsClient>| async move { client.read().await };
        self.call(leader, call).await
    }

    /// Forwards a change to the leader.
    pub(super) async fn forward_change(
        &self,
        leader: Option<raft::Node>,
        change: change::Change,
        operator: name::Operator,
    ) -> Forwarded<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.change(change, operator).await };
        self.call(leader, call).await
    }

    /// Forwards an order to cordon or uncordon a zone to the leader.
    pub(super) async fn forward_cordon(
        &self,
        leader: Option<raft::Node>,
        order: cordon::Order,
    ) -> Forwarded<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.cordon(order).await };
        self.call(leader, call).await
    }

    /// Forwards the departure of an endpoint to the leader.
    pub(super) async fn forward_departure(
        &self,
        leader: Option<raft::Node>,
        departure: departure::Departure,
    ) -> Forwarded<change::Answer> {
        let call = |client: Arc<WsClient>| async move { client.depart(departure).await };
        self.call(leader, call).await
    }

    /// Forwards a membership change to the leader.
    pub(super) async fn forward_members(
        &self,
        leader: Option<raft::Node>,
        request: raft::MembersRequest,
    ) -> Forwarded<()> {
        let call = |client: Arc<WsClient>| async move { client.members(request).await };
        self.call(leader, call).await
    }
}

/// Sends the queued messages to one node until the link is dropped.
async fn send_queued(
    to: raft::Node,
    address: SocketAddr,
    mut receiver: mpsc::Receiver<Queued>,
    log: slog::Logger,
) {
    let mut client: Option<Arc<WsClient>> = None;
    let mut held_over = None;
    loop {
        let first = match held_over.take() {
            Some(queued) => Some(queued),
            None => receiver.recv().await,
        };
        let Some(first) = first else {
            return;
        };
        // The shares are kept until the call has ended.
        let (mut envelopes, mut shares) = (vec![first.envelope], vec![first.share]);
        while let Ok(next) = receiver.try_recv() {
            let bytes: usize = shares.iter().map(memory::Share::bytes).sum();
            if bytes + next.share.bytes() > MAX_CALL_BYTES {
                held_over = Some(next);
                break;
            }
            envelopes.push(next.envelope);
            shares.push(next.share);
        }
        if client.as_ref().is_none_or(|client| !client.is_connected()) {
            client = rpc::connect(address).await.ok();
        }
        let Some(connected) = &client else {
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let sent = tokio::time::timeout(CALL_TIMEOUT, connected.messages(envelopes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            event!(log, VoterUnreachable, "voter" => %to, "address" => %address);
            client = None;
        }
    }
}
