//! Tells the other voters what the boxes here have at endpoints, and hears from them which
//! endpoints told them of themselves.
//!
//! Each voter brings together what the boxes of its own availability zone have; so what a
//! box hears of the others is about two periods old, however many boxes there are.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::ws_client::WsClient;
use tokio::task::JoinHandle;

use crate::{
    core::{name, raft},
    event,
    ops::{
        control::{registry::Endpoints, Handle},
        rpc,
    },
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{RegistryClient as _, Tracker},
};

/// How often another voter is told at most.
const PERIOD: Duration = Duration::from_millis(100);
/// What each other voter adds to that: each telling costs both ends a message, and so a voter
/// sends and takes fifty a second at most, up to fifteen voters.
const PERIOD_PER_PEER: Duration = Duration::from_millis(20);
/// How many round trips lie between two tellings at least: news that is under way for long
/// anyway is told less often, and what changes meanwhile is told as one.
const TRIPS: u32 = 5;
/// The longest time between two tellings; with the way, and one that is lost, still well
/// within the time after which a hub is taken for silent.
const MAX_PERIOD: Duration = Duration::from_millis(300);
/// How often it is told at least, so that it does not take this voter for lost.
const ALIVE: Duration = Duration::from_millis(250);
/// How long a telling may take.
const ANSWER: Duration = Duration::from_millis(400);
/// How long another voter may be silent that tells once a second.
const SILENCE: Duration = Duration::from_millis(2500);
/// The wait before a voter that was lost is tried again.
const AGAIN: Duration = Duration::from_millis(250);
/// How often the members are looked at.
const MEMBERS: Duration = Duration::from_millis(500);

/// Tells all other members, for ever.
pub(super) async fn run(
    handle: Handle,
    endpoints: Endpoints,
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
                lock(endpoints.hub()).forget_sent(&node.name);
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
                endpoints: endpoints.clone(),
                clock,
                log: log.clone(),
            };
            let task = tokio::spawn(async move {
                tokio::join!(peer.keep(), peer.hear());
            });
            peers.insert(node.clone(), (*address, task));
        }
        tokio::time::sleep(MEMBERS).await;
    }
}

/// Another voter that is told.
struct Peer {
    own: name::Box,
    name: name::Box,
    address: SocketAddr,
    endpoints: Endpoints,
    clock: clock::System,
    log: slog::Logger,
}

impl Peer {
    /// Tells it for ever, over a connection that is made anew as it is lost.
    async fn keep(&self) {
        loop {
            if let Ok(client) = rpc::connect(self.address).await {
                event!(self.log, LoadsPassedOn, "voter" => %self.name);
                self.tell(&client).await;
                event!(self.log, LoadsHeldBack, "voter" => %self.name);
                lock(self.endpoints.hub()).forget_sent(&self.name);
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Hears it for ever, over a connection of its own: it may tell while it answers late.
    async fn hear(&self) {
        loop {
            if let Ok(client) = rpc::connect(self.address).await {
                self.track(&client).await;
                self.endpoints.unheard(self.address);
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Takes what it tells until it falls silent.
    async fn track(&self, client: &Arc<WsClient>) {
        let own = self.own.clone();
        let news = match client.track(own.clone(), Tracker::Voter).await {
            Ok(news) => Ok(news),
            // A build that knows no trackers tells its followers the same.
            Err(_) => client.follow(own).await,
        };
        let mut news = match news {
            Ok(news) => news,
            Err(error) => {
                event!(self.log, RegistryNotTracked, "voter" => %self.name, "why" => %error);
                return;
            }
        };
        event!(self.log, RegistryFound, "voter" => %self.address);
        let voucher = self.endpoints.voucher(&self.name);
        while let Ok(Some(Ok(next))) = tokio::time::timeout(SILENCE, news.next()).await {
            self.endpoints
                .take_news(&self.name, self.address, voucher, next);
        }
        event!(self.log, RegistryLost, "voter" => %self.address);
    }

    /// How often it is told at most, by how many voters there are.
    fn least_period(&self) -> Duration {
        let peers = u32::try_from(self.endpoints.peer_count()).unwrap_or(u32::MAX);
        PERIOD_PER_PEER
            .saturating_mul(peers)
            .clamp(PERIOD, MAX_PERIOD)
    }

    /// Tells it until it does not answer.
    async fn tell(&self, client: &Arc<WsClient>) {
        let mut anew = true;
        let mut told_at = Duration::ZERO;
        let mut period = PERIOD;
        loop {
            let now = self.clock.now();
            let mut news = lock(self.endpoints.hub()).update_for(&self.name, anew, now);
            news.throttle = lock(self.endpoints.issuer()).message_for(&self.name, anew, now);
            if anew || !news.is_empty() || now >= told_at + ALIVE {
                let call = client.share(self.own.clone(), anew, news);
                match tokio::time::timeout(ANSWER, call).await {
                    Ok(Ok(shared)) => {
                        anew = !shared.known;
                        self.endpoints.note_time(&self.name, shared.unix_ms, now);
                        let answered = self.clock.now();
                        lock(self.endpoints.issuer()).handle_answer(
                            &self.name,
                            shared.throttle,
                            now,
                            answered,
                        );
                        let trip = answered.saturating_sub(now);
                        period = (trip * TRIPS).clamp(self.least_period(), MAX_PERIOD);
                    }
                    Ok(Err(_)) | Err(_) => return,
                }
                told_at = now;
            }
            tokio::time::sleep(period).await;
        }
    }
}
