//! How a voter's process becomes a member: by forming a new system, or by joining.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::ws_client::WsClient;
use tokio::sync::watch;

use crate::{
    core::{name, raft},
    event,
    ops::{control::Handle, rpc},
    util::clock::{self, Clock as _},
    wire::control::ControlClient as _,
};

/// How often it is asked again.
const AGAIN: Duration = Duration::from_millis(300);
/// How long one call may take.
const CALL: Duration = Duration::from_millis(700);

/// The identity of the voters that form a new system: they are known to each other
/// before any of them has a folder. Every later folder gets a random one.
pub(super) const FOUNDER: raft::Identity = raft::Identity(1);

/// The members of a new system whose voters are reached at these addresses. A box is
/// named after its IP address there, since nothing else is known of it.
pub(super) fn founders(addresses: &[SocketAddr]) -> raft::Members {
    let founders = addresses.iter().map(|address| {
        let node = raft::Node {
            name: box_at(*address),
            identity: FOUNDER,
        };
        (node, *address)
    });
    raft::Members::with_voters(founders)
}

/// The name of the box at an address.
fn box_at(address: SocketAddr) -> name::Box {
    let text = address.ip().to_string().replace(':', "-");
    text.parse().expect("an address is a valid name")
}

/// How long a member may hear of no leader before it asks to join: it may have been
/// removed while it was silent, and then nobody tells it. Longer than an election takes,
/// and asking in vain does no harm.
const ALONE: Duration = Duration::from_millis(1200);

/// Whether a node has to ask to become a member.
#[derive(Debug, Default)]
struct Standing {
    /// Since when no leader is heard.
    alone_since: Option<Duration>,
}

impl Standing {
    fn has_to_ask(&mut self, status: &raft::Status, now: Duration) -> bool {
        if status.leader.is_some() {
            self.alone_since = None;
        } else {
            self.alone_since.get_or_insert(now);
        }
        let members = &status.members;
        let is_member = members.is_voter(&status.node) || members.is_learner(&status.node);
        !is_member || self.alone_since.is_some_and(|since| now >= since + ALONE)
    }
}

/// Asks to become a member whenever this node is none, or may be none without knowing it;
/// for ever.
pub(super) async fn keep(
    handle: Handle,
    own: SocketAddr,
    known: watch::Receiver<Vec<SocketAddr>>,
    clock: clock::System,
    log: slog::Logger,
) {
    let mut standing = Standing::default();
    let mut asked = false;
    let mut turn = 0;
    let mut next: Option<SocketAddr> = None;
    loop {
        tokio::time::sleep(AGAIN).await;
        let status = handle.published().status;
        if !standing.has_to_ask(&status, clock.now()) {
            asked = false;
            continue;
        }
        if !asked {
            event!(log, VoterJoins, "node" => %status.node);
            asked = true;
        }
        let members = &status.members;
        let mut addresses: Vec<_> = members.addresses().map(|(_, address)| *address).collect();
        addresses.extend(known.borrow().iter());
        addresses.retain(|address| *address != own);
        if addresses.is_empty() {
            continue;
        }
        let to = next.take().unwrap_or(addresses[turn % addresses.len()]);
        turn += 1;
        next = ask(to, status.node, own).await;
    }
}

/// Asks one voter; it names the leader if that is another.
async fn ask(to: SocketAddr, node: raft::Node, own: SocketAddr) -> Option<SocketAddr> {
    let asked = async {
        let client: Arc<WsClient> = rpc::connect(to).await.ok()?;
        client.join(node, own).await.ok()?
    };
    tokio::time::timeout(CALL, asked).await.ok()?
}
