//! What the holder of the provider's tasks brings together from all voters: what their boxes
//! have counted, and which endpoints have announced themselves.

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
        control::{provider, registry::Endpoints, Handle},
        rpc,
    },
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::registry::{Gathered, RegistryClient as _, Stamps},
};

/// How often the other voters are asked. It is the time that a notice of an endpoint's end may
/// be older by, and what a box and its voter lose together of their usage.
pub(super) const PERIOD: Duration = Duration::from_millis(250);
/// How long a voter may take to answer.
const ANSWER: Duration = Duration::from_millis(400);
/// How long an endpoint may be unheard of before it counts no more, in heartbeats.
const FORGET: u32 = 3;
/// How late it may come beside that.
const LATE: Duration = Duration::from_millis(400);

/// All endpoints, as all voters know them together.
#[derive(Clone, Debug, Default)]
pub(super) struct Gathering {
    registry: Arc<Mutex<registry::Registry>>,
    /// When at least half of the other voters had answered last.
    complete: Arc<Mutex<Option<Duration>>>,
    /// The other voters, also those that were removed of late.
    voters: Arc<Mutex<usage::Voters>>,
}

impl Gathering {
    /// All endpoints, if a majority of the voters was heard of late.
    pub(super) fn endpoints(&self, now: Duration) -> Option<Vec<registry::Record>> {
        let complete = *lock(&self.complete);
        complete.filter(|at| *at + 4 * PERIOD >= now)?;
        let registry = lock(&self.registry);
        let displaced = registry.displaced();
        let mut records = registry.records_since(0, now);
        records.retain(|record| !displaced.contains(&record.name));
        Some(records)
    }

    /// The other voters, and when each was heard.
    pub(super) fn voters(&self) -> &Mutex<usage::Voters> {
        &self.voters
    }

    /// Brings together, for as long as this voter holds.
    pub(super) async fn run(
        self,
        hold: provider::Hold,
        handle: Handle,
        endpoints: Endpoints,
        clock: clock::System,
    ) {
        let mut others = Others::default();
        let mut own = Stamps::default();
        loop {
            tokio::time::sleep(PERIOD).await;
            if !hold.leads() {
                others = Others::default();
                own = Stamps::default();
                *lock(&self.registry) = registry::Registry::new(endpoints.timing());
                *lock(&self.complete) = None;
                *lock(&self.voters) = usage::Voters::default();
                continue;
            }
            let gathered = endpoints.gather(own);
            own = gathered.stamps;
            self.take(gathered, &endpoints, clock.now(), true);
            let answers = others.ask_all(&handle).await;
            let asked = answers.len();
            let now = clock.now();
            let heard = self.note_heard(&answers, now);
            for gathered in answers.into_iter().filter_map(|(_, gathered)| gathered) {
                self.take(gathered, &endpoints, now, false);
            }
            let forget = FORGET * endpoints.timing().heartbeat + LATE;
            lock(&self.registry).expire(now.saturating_sub(forget));
            if heard * 2 >= asked {
                *lock(&self.complete) = Some(now);
            }
        }
    }

    /// Notes which voters have answered; returns how many.
    fn note_heard(&self, answers: &[Answered], now: Duration) -> usize {
        let round = answers
            .iter()
            .map(|(name, gathered)| (name, gathered.is_some()));
        lock(&self.voters).record_round(round.clone(), now);
        round.filter(|(_, has_answered)| *has_answered).count()
    }

    fn take(&self, gathered: Gathered, endpoints: &Endpoints, now: Duration, own: bool) {
        if !own {
            let mut book = lock(endpoints.book());
            gathered.usage.into_iter().for_each(|page| book.merge(page));
        }
        let mut registry = lock(&self.registry);
        for record in gathered.changed {
            registry.merge(record, now);
        }
        for told in &gathered.leaving {
            registry.record_leaving(&told.name, told.start);
        }
        registry.apply_ends(&gathered.gone, &gathered.ended, &gathered.left);
        for name in gathered.heard {
            registry.record_heard(&name, now);
        }
    }
}

/// A voter, and what it has answered, if it has.
type Answered = (name::Box, Option<Gathered>);

/// The other voters, with the stamps of what each has told.
#[derive(Default)]
struct Others {
    known: BTreeMap<raft::Node, Other>,
}

struct Other {
    address: SocketAddr,
    client: Option<Arc<WsClient>>,
    stamps: Stamps,
}

impl Others {
    /// Asks all other voters at once.
    async fn ask_all(&mut self, handle: &Handle) -> Vec<Answered> {
        let status = handle.published().status;
        let members: BTreeMap<_, _> = status.members.addresses().collect();
        self.known
            .retain(|node, other| members.get(node) == Some(&&other.address));
        for (node, address) in members {
            if *node == status.node || self.known.contains_key(node) {
                continue;
            }
            let other = Other {
                address: *address,
                client: None,
                stamps: Stamps::default(),
            };
            self.known.insert(node.clone(), other);
        }
        let asked = self.known.iter_mut().map(|(node, other)| async {
            let gathered = other.ask().await;
            (node.name.clone(), gathered)
        });
        futures_util::future::join_all(asked).await
    }
}

impl Other {
    async fn ask(&mut self) -> Option<Gathered> {
        let asked = tokio::time::timeout(ANSWER, self.gather()).await;
        let gathered = asked.ok().flatten();
        match &gathered {
            Some(gathered) => self.stamps = gathered.stamps,
            // A voter that has started again counts its stamps from the beginning.
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
