//! The RPC methods of a voter for the other processes of the system.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jsonrpsee::core::{async_trait, RpcResult};

use crate::{
    core::{change, cordon, departure, ledger, name, raft, unit},
    ops::control::Handle,
    util::{
        clock::{self, Clock as _},
        lock::lock,
    },
    wire::{
        admin,
        control::{ControlServer, Envelope, Forwarded, Heartbeat},
    },
};

/// How long the last heartbeat of a box is shown in the status.
const BEAT_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The last heartbeat of each box, with the time of its arrival.
type Beats = Arc<Mutex<BTreeMap<name::Box, (Duration, Heartbeat)>>>;

/// Serves the calls of other processes.
#[derive(Clone, Debug)]
pub(super) struct Server {
    handle: Handle,
    clock: clock::System,
    beats: Beats,
}

impl Server {
    pub(super) fn new(handle: Handle, clock: clock::System) -> Self {
        Self {
            handle,
            clock,
            beats: Beats::default(),
        }
    }

    /// Returns the status of the system as this voter sees it.
    pub(super) fn status(&self) -> admin::Status {
        let published = self.handle.published();
        let revision = published.ledger.revision();
        let now = self.clock.now();
        let beats = lock(&self.beats);
        let boxes = beats.values().map(|(at, heartbeat)| admin::BoxStatus {
            heartbeat: heartbeat.clone(),
            age_ms: u64::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u64::MAX),
            current: heartbeat.revision == revision,
        });
        admin::Status {
            voter: published.status,
            revision,
            boxes: boxes.collect(),
        }
    }
}

#[async_trait]
impl ControlServer for Server {
    async fn messages(&self, envelopes: Vec<Envelope>) -> RpcResult<()> {
        envelopes
            .into_iter()
            .for_each(|envelope| self.handle.receive(envelope));
        Ok(())
    }

    async fn beat(&self, beat: Heartbeat) -> RpcResult<unit::Revision> {
        let now = self.clock.now();
        let mut beats = lock(&self.beats);
        beats.retain(|_, (at, _)| now.saturating_sub(*at) < BEAT_RETENTION);
        beats.insert(beat.name.clone(), (now, beat));
        Ok(self.handle.published().ledger.revision())
    }

    async fn change(
        &self,
        change: change::Change,
        operator: name::Operator,
    ) -> RpcResult<Forwarded<change::Answer>> {
        Ok(self.handle.change_here(change, operator).await)
    }

    async fn publish(
        &self,
        publication: ledger::Publication,
    ) -> RpcResult<Forwarded<change::Answer>> {
        Ok(self.handle.publish_here(publication).await)
    }

    async fn cordon(&self, order: cordon::Order) -> RpcResult<Forwarded<change::Answer>> {
        Ok(self.handle.cordon_here(order).await)
    }

    async fn depart(
        &self,
        departure: departure::Departure,
    ) -> RpcResult<Forwarded<change::Answer>> {
        Ok(self.handle.depart_here(departure).await)
    }

    async fn read(&self) -> RpcResult<Forwarded<Option<Arc<str>>>> {
        Ok(self.handle.read_here())
    }

    async fn join(&self, node: raft::Node, address: SocketAddr) -> RpcResult<Option<SocketAddr>> {
        Ok(self.handle.join(node, address))
    }

    async fn members(&self, request: raft::MembersRequest) -> RpcResult<Forwarded<()>> {
        Ok(self.handle.change_members_here(request).await)
    }
}
