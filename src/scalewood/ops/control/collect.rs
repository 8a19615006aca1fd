//! Collects, at the holder of the provider's tasks, the state of all voters: the usage that their
//! boxes have counted, and the endpoints that are registered with them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;

use crate::{
    core::{name, raft, registry, usage},
    ops::{
        control::{provider, registry::SoftState, Handle},
        rpc,
    },
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{Gathered, RegistryClient as _, Stamps},
};

/// How often the other voters are queried. The end of an endpoint may be noticed later by this
/// time, and the usage of this time is lost if a box and its voter fail together.
pub(super) const PERIOD: Duration = Duration::from_millis(250);
/// The timeout of a query, including the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of heartbeat intervals after which an endpoint is removed if no voter has heard it.
const EXPIRY_HEARTBEATS: u32 = 3;
/// The time added to those intervals for heartbeats that arrive late.
const EXPIRY_MARGIN: Duration = Duration::from_millis(400);

/// All endpoints, merged from the registries of all voters.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    registry: Arc<Mutex<registry::Registry>>,
    /// When at least half of the other voters last answered.
    complete_at: Arc<Mutex<Option<Duration>>>,
    /// The other voters, including those removed recently.
    voters: Arc<Mutex<usage::Voters>>,
}

impl Collector {
    /// Returns all endpoints, if a majority of the voters has answered recently.
    pub(super) fn endpoints(&self, now: Duration) -> Option<Vec<registry::Record>> {
        let complete_at = *lock(&self.complete_at);
        complete_at.filter(|at| *at + 4 * PERIOD >= now)?;
        let registry = lock(&self.registry);
        let displaced = registry.displaced();
        let mut records = registry.records_since(0, now);
        records.retain(|record| !displaced.contains(&record.name));
        Some(records)
    }

    /// Returns the other voters and when each last answered.
    pub(super) fn voters(&self) -> &Mutex<usage::Voters> {
        &self.voters
    }

    /// Collects for ever while this voter leads; discards everything when it does not.
    pub(super) async fn run(
        self,
        hold: provider::Hold,
        handle: Handle,
        soft_state: SoftState,
        clock: clock::System,
    ) {
        let mut peers = Peers::default();
        let mut own = Stamps::default();
        loop {
            tokio::time::sleep(PERIOD).await;
            if !hold.leads() {
                peers = Peers::default();
                own = Stamps::default();
                *lock(&self.registry) = registry::Registry::new(soft_state.timing());
                *lock(&self.complete_at) = None;
                *lock(&self.voters) = usage::Voters::default();
                continue;
            }
            let gathered = soft_state.gather(own);
            own = gathered.stamps;
            self.merge(gathered, &soft_state, clock.now(), true);
            let answers = peers.ask_all(&handle).await;
            let asked = answers.len();
            let now = clock.now();
            let heard = self.record_answers(&answers, now);
            for gathered in answers.into_iter().filter_map(|(_, gathered)| gathered) {
                self.merge(gathered, &soft_state, now, false);
            }
            let expiry = EXPIRY_HEARTBEATS * soft_state.timing().heartbeat + EXPIRY_MARGIN;
            lock(&self.registry).expire(now.saturating_sub(expiry));
            if heard * 2 >= asked {
                *lock(&self.complete_at) = Some(now);
            }
        }
    }

    /// Records which voters have answered and returns how many.
    fn record_answers(&self, answers: &[Answered], now: Duration) -> usize {
        let round = answers
            .iter()
            .map(|(name, gathered)| (name, gathered.is_some()));
        lock(&self.voters).record_round(round.clone(), now);
        round.filter(|(_, has_answered)| *has_answered).count()
    }

    fn merge(&self, gathered: Gathered, soft_state: &SoftState, now: Duration, own: bool) {
        if !own {
            let mut book = lock(soft_state.usage());
            gathered.usage.into_iter().for_each(|page| book.merge(page));
        }
        let mut registry = lock(&self.registry);
        for record in gathered.changed {
            registry.merge(record, now);
        }
        for report in &gathered.leaving {
            registry.record_leaving(&report.name, report.start);
        }
        registry.apply_ends(&gathered.gone, &gathered.ended, &gathered.left);
        for name in gathered.heard {
            registry.record_heard(&name, now);
        }
    }
}

/// A voter and its answer, if it gave one.
type Answered = (name::Box, Option<Gathered>);

/// The other voters, each with the stamps up to which it has sent its changes.
#[derive(Default)]
struct Peers {
    known: BTreeMap<raft::Node, Peer>,
}

struct Peer {
    address: SocketAddr,
    client: Option<Arc<WsClient>>,
    stamps: Stamps,
}

impl Peers {
    /// Queries all other voters concurrently.
    async fn ask_all(&mut self, handle: &Handle) -> Vec<Answered> {
        let status = handle.published().status;
        let members: BTreeMap<_, _> = status.members.addresses().collect();
        self.known
            .retain(|node, peer| members.get(node) == Some(&&peer.address));
        for (node, address) in members {
            if *node == status.node || self.known.contains_key(node) {
                continue;
            }
            let peer = Peer {
                address: *address,
                client: None,
                stamps: Stamps::default(),
            };
            self.known.insert(node.clone(), peer);
        }
        let asked = self.known.iter_mut().map(|(node, peer)| async {
            let gathered = peer.ask().await;
            (node.name.clone(), gathered)
        });
        futures_util::future::join_all(asked).await
    }
}

impl Peer {
    async fn ask(&mut self) -> Option<Gathered> {
        let asked = tokio::time::timeout(ANSWER_TIMEOUT, self.gather()).await;
        let gathered = asked.ok().flatten();
        match &gathered {
            Some(gathered) => self.stamps = gathered.stamps,
            // A restarted voter counts its stamps from the beginning again.
            None => (self.client, self.stamps) = (None, Stamps::default()),
        }
        gathered
    }

    async fn gather(&mut self) -> Option<Gathered> {
        let client = match self.client.clone() {
            Some(client) => client,
            None => rpc::connect(self.address).await.ok()?,
        };
        self.client = Some(client.clone());
        client.gather(self.stamps).await.ok()
    }
}
