//! Exchanges soft state with the other voters: sends them the loads of the boxes of this voter, and
//! follows their registries of endpoints.
//!
//! Each voter sums up the loads of the boxes that report to it, which are mostly those of its own
//! availability zone. So the loads of all other boxes are about two periods old when they reach a
//! box, however many boxes there are.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::ws_client::WsClient;
use tokio::task::JoinHandle;

use crate::{
    core::{name, raft},
    event,
    ops::{
        control::{registry::SoftState, Handle},
        rpc,
    },
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{RegistryClient as _, Tracker},
};

/// The shortest time between two reports to another voter.
const MIN_PERIOD: Duration = Duration::from_millis(100);
/// The shortest time between two reports, per other voter. Each report costs both ends a message;
/// this limits a voter to sending and receiving fifty per second, up to fifteen voters.
const MIN_PERIOD_PER_PEER: Duration = Duration::from_millis(20);
/// The least number of round trips between two reports: over a slow link a report is old on arrival
/// anyway, so reports are sent less often and each combines more changes.
const ROUND_TRIPS_PER_REPORT: u32 = 5;
/// The upper bound of the time between two reports. Even with the latency of the link and one lost
/// report, it is well below the time after which a hub counts as silent.
const MAX_PERIOD: Duration = Duration::from_millis(300);
/// The time after which a report is sent even if it is empty, so that the receiver does not take
/// this voter for lost.
const KEEPALIVE: Duration = Duration::from_millis(250);
/// How long another voter may take to answer a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The time without a message after which another voter's subscription counts as lost. Voters send
/// at least one message per second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The delay before a lost connection is made again.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// The interval at which the membership is checked for changes.
const MEMBERS_PERIOD: Duration = Duration::from_millis(500);

/// Exchanges soft state with all other members, for ever.
pub(super) async fn run(
    handle: Handle,
    soft_state: SoftState,
    clock: clock::System,
    log: slog::Logger,
) {
    let mut peers: BTreeMap<raft::Node, (SocketAddr, JoinHandle<()>)> = BTreeMap::new();
    loop {
        let status = handle.published().status;
        let members: BTreeMap<_, _> = status.members.addresses().collect();
        peers.retain(|node, (address, task)| {
            let stays = members.get(node) == Some(&&*address);
            if !stays {
                task.abort();
                lock(soft_state.hub()).forget_sent(&node.name);
            }
            stays
        });
        for (node, address) in members {
            if *node == status.node || peers.contains_key(node) {
                continue;
            }
            let peer = Peer {
                own: status.node.name.clone(),
                name: node.name.clone(),
                address: *address,
                soft_state: soft_state.clone(),
                clock,
                log: log.clone(),
            };
            let task = tokio::spawn(async move {
                tokio::join!(peer.report_forever(), peer.track_forever());
            });
            peers.insert(node.clone(), (*address, task));
        }
        tokio::time::sleep(MEMBERS_PERIOD).await;
    }
}

/// Another voter, with which soft state is exchanged.
struct Peer {
    /// The name of this voter's box.
    own: name::Box,
    /// The name of the other voter's box.
    name: name::Box,
    address: SocketAddr,
    soft_state: SoftState,
    clock: clock::System,
    log: slog::Logger,
}

impl Peer {
    /// Sends reports for ever, and reconnects when the connection is lost.
    async fn report_forever(&self) {
        loop {
            if let Ok(client) = rpc::connect(self.address).await {
                event!(self.log, LoadsReported, "voter" => %self.name);
                self.soft_state
                    .set_client(self.address, Some(client.clone()));
                self.report(&client).await;
                self.soft_state.set_client(self.address, None);
                event!(self.log, LoadsNotReported, "voter" => %self.name);
                lock(self.soft_state.hub()).forget_sent(&self.name);
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Follows the voter's registry for ever. It uses a separate connection, since the voter may
    /// send changes in time while it answers reports late.
    async fn track_forever(&self) {
        loop {
            if let Ok(client) = rpc::connect(self.address).await {
                self.track(&client).await;
                self.soft_state.forget_voter(self.address);
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// Follows the voter's registry until it falls silent.
    async fn track(&self, client: &Arc<WsClient>) {
        let own = self.own.clone();
        let updates = match client.track(own.clone(), Tracker::Voter).await {
            Ok(updates) => Ok(updates),
            // An older build without `track` sends the same changes to subscribers of `follow`.
            Err(_) => client.follow(own).await,
        };
        let mut updates = match updates {
            Ok(updates) => updates,
            Err(error) => {
                event!(self.log, RegistryNotTracked, "voter" => %self.name, "why" => %error);
                return;
            }
        };
        event!(self.log, RegistryFound, "voter" => %self.address);
        let voucher = self.soft_state.voucher(&self.name);
        while let Ok(Some(Ok(next))) = tokio::time::timeout(SILENCE_TIMEOUT, updates.next()).await {
            self.soft_state
                .apply_update(&self.name, self.address, voucher, next);
        }
        event!(self.log, RegistryLost, "voter" => %self.address);
    }

    /// Returns the shortest time between two reports, given the number of other voters.
    fn min_period(&self) -> Duration {
        let peers = u32::try_from(self.soft_state.peer_count()).unwrap_or(u32::MAX);
        MIN_PERIOD_PER_PEER
            .saturating_mul(peers)
            .clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// Sends reports until one is not answered in time.
    async fn report(&self, client: &Arc<WsClient>) {
        let mut full = true;
        let mut reported_at = Duration::ZERO;
        let mut period = MIN_PERIOD;
        loop {
            let now = self.clock.now();
            let mut update = lock(self.soft_state.hub()).update_for(&self.name, full, now);
            update.throttle = lock(self.soft_state.issuer()).message_for(&self.name, full, now);
            if full || !update.is_empty() || now >= reported_at + KEEPALIVE {
                let call = client.share(self.own.clone(), full, update);
                match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
                    Ok(Ok(shared)) => {
                        full = !shared.known;
                        self.soft_state.record_time(&self.name, shared.unix_ms, now);
                        let answered = self.clock.now();
                        lock(self.soft_state.issuer()).handle_answer(
                            &self.name,
                            shared.throttle,
                            now,
                            answered,
                        );
                        let round_trip = answered.saturating_sub(now);
                        period = (round_trip * ROUND_TRIPS_PER_REPORT)
                            .clamp(self.min_period(), MAX_PERIOD);
                    }
                    Ok(Err(_)) | Err(_) => return,
                }
                reported_at = now;
            }
            tokio::time::sleep(period).await;
        }
    }
}
