//! How a voter's process becomes a member of the cluster: by forming a new one, or by joining one.

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

/// The interval at which a node that is not a member asks to join.
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// How long one request to join may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The identity of all voters that form a new cluster. Each has to know the others' identities
/// before their data folders exist, so it is fixed; every later folder gets a random one.
pub(super) const FOUNDER_IDENTITY: raft::Identity = raft::Identity(1);

/// Returns the members of a new cluster with voters at these addresses. Boxes are named after their
/// IP addresses, since nothing else is known of them.
pub(super) fn founders(addresses: &[SocketAddr]) -> raft::Members {
    let founders = addresses.iter().map(|address| {
        let node = raft::Node {
            name: box_at(*address),
            identity: FOUNDER_IDENTITY,
        };
        (node, *address)
    });
    raft::Members::with_voters(founders)
}

/// Returns the name of the box at an address.
fn box_at(address: SocketAddr) -> name::Box {
    let text = address.ip().to_string().replace(':', "-");
    text.parse().expect("an address is a valid name")
}

/// How long a member may know of no leader before it asks to join. It may have been removed while
/// it was unreachable, and a removed node is not told. This is longer than an election takes; a
/// request to join by a node that is still a member does no harm.
const LEADERLESS_LIMIT: Duration = Duration::from_millis(1200);

/// Detects when a node has to ask to become a member.
#[derive(Debug, Default)]
struct Monitor {
    /// Since when no leader has been known.
    leaderless_since: Option<Duration>,
}

impl Monitor {
    /// Returns whether the node is no member, or has known of no leader for too long.
    fn must_join(&mut self, status: &raft::Status, now: Duration) -> bool {
        if status.leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
        let members = &status.members;
        let is_member = members.is_voter(&status.node) || members.is_learner(&status.node);
        !is_member
            || self
                .leaderless_since
                .is_some_and(|since| now >= since + LEADERLESS_LIMIT)
    }
}

/// Runs for ever, and asks to join whenever this node is not a member or may have been removed
/// without being told.
pub(super) async fn maintain(
    handle: Handle,
    own: SocketAddr,
    known: watch::Receiver<Vec<SocketAddr>>,
    clock: clock::System,
    log: slog::Logger,
) {
    let mut monitor = Monitor::default();
    let mut is_joining = false;
    let mut attempt = 0;
    let mut leader: Option<SocketAddr> = None;
    loop {
        tokio::time::sleep(RETRY_PERIOD).await;
        let status = handle.published().status;
        if !monitor.must_join(&status, clock.now()) {
            is_joining = false;
            continue;
        }
        if !is_joining {
            event!(log, VoterJoins, "node" => %status.node);
            is_joining = true;
        }
        let members = &status.members;
        let mut addresses: Vec<_> = members.addresses().map(|(_, address)| *address).collect();
        addresses.extend(known.borrow().iter());
        addresses.retain(|address| *address != own);
        if addresses.is_empty() {
            continue;
        }
        let to = leader
            .take()
            .unwrap_or(addresses[attempt % addresses.len()]);
        attempt += 1;
        leader = request_join(to, status.node, own).await;
    }
}

/// Asks one voter to add this node. Returns the leader's address if that is another voter.
async fn request_join(to: SocketAddr, node: raft::Node, own: SocketAddr) -> Option<SocketAddr> {
    let response = async {
        let client: Arc<WsClient> = rpc::connect(to).await.ok()?;
        client.join(node, own).await.ok()?
    };
    tokio::time::timeout(CALL_TIMEOUT, response).await.ok()?
}
