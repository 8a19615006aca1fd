//! A stand-in for a voter as boxes see it: it announces a configuration revision. A test selects
//! whether it delivers the configuration, doesn't answer or answers with an error.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    server::ServerHandle,
    types::{ErrorCode, ErrorObjectOwned},
    PendingSubscriptionSink, SubscriptionMessage,
};
use scalewood::{
    board::feed::Feed,
    core::{change::Step, config, load, name, origin, pace, unit, usage},
    ops::rpc,
    wire::{
        registry::{
            Exchanged, Gathered, Location, Question, RegistryServer, RegistryUpdate, Shared,
            Snapshot, Stamps, Tracker, Update,
        },
        source::{self, SourceServer},
    },
};
use serde_json::value::RawValue;
use tokio::sync::watch;

/// The longest interval between two messages to a follower.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(500);

/// How the stand-in treats requests for the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Answers at once.
    Answers,
    /// Never answers.
    Silent,
    /// Answers with an error.
    Fails,
}

/// The stand-in voter.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    feed: Arc<Feed>,
    behaviour: watch::Sender<Behaviour>,
    asked: Arc<AtomicU32>,
    followed: Arc<AtomicU32>,
}

impl Voter {
    /// Starts a stand-in that serves at an address until the handle is dropped.
    pub(crate) async fn start(address: SocketAddr) -> (Self, ServerHandle) {
        let voter = Self {
            feed: Arc::default(),
            behaviour: watch::Sender::new(Behaviour::Answers),
            asked: Arc::default(),
            followed: Arc::default(),
        };
        let mut methods = RegistryServer::into_rpc(voter.clone());
        methods
            .merge(SourceServer::into_rpc(voter.clone()))
            .unwrap();
        (voter, rpc::serve(address, methods).await.unwrap())
    }

    /// Announces a configuration from now on.
    pub(crate) fn publish(&self, revision: u64, document: &config::Document) {
        let document = Arc::new(document.clone());
        self.feed.publish_whole(unit::Revision(revision), document);
    }

    /// Sets how it treats requests for the configuration.
    pub(crate) fn set(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Returns the number of boxes that currently follow it as a source.
    pub(crate) fn followed(&self) -> u32 {
        self.followed.load(Ordering::Relaxed)
    }

    /// Returns how often the configuration was requested.
    pub(crate) fn asked(&self) -> u32 {
        self.asked.load(Ordering::Relaxed)
    }
}

#[async_trait]
impl RegistryServer for Voter {
    /// Rejects the subscription, as a build without trackers does.
    async fn track(
        &self,
        pending: PendingSubscriptionSink,
        _who: name::Box,
        _tracker: Tracker,
    ) -> SubscriptionResult {
        let unknown = ErrorObjectOwned::from(ErrorCode::MethodNotFound);
        pending.reject(unknown).await;
        Ok(())
    }

    async fn places(&self) -> RpcResult<Vec<Location>> {
        Err(ErrorObjectOwned::from(ErrorCode::MethodNotFound))
    }

    async fn follow(
        &self,
        pending: PendingSubscriptionSink,
        _who: name::Box,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        let mut feed = self.feed.watch();
        loop {
            let news = RegistryUpdate {
                revision: feed.borrow_and_update().revision,
                followers: 1,
                ..RegistryUpdate::default()
            };
            let raw = serde_json::value::to_raw_value(&news)?;
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                return Ok(());
            }
            let _ = tokio::time::timeout(MAX_MESSAGE_INTERVAL, feed.changed()).await;
        }
    }

    async fn measured(&self, _who: name::Box, _paces: Vec<pace::EndpointPace>) -> RpcResult<()> {
        Ok(())
    }

    async fn exchange(
        &self,
        _who: name::Box,
        _anew: bool,
        _told: load::Update,
        _usage: usage::Report,
    ) -> RpcResult<Option<Exchanged>> {
        Ok(None)
    }

    async fn share(&self, _who: name::Box, _anew: bool, _told: load::Update) -> RpcResult<Shared> {
        Ok(Shared {
            known: true,
            unix_ms: 0,
            throttle: None,
        })
    }

    async fn remember(&self, _begun: Vec<origin::Begun>) -> RpcResult<()> {
        Ok(())
    }

    async fn origin(&self, _question: Question) -> RpcResult<origin::Answer> {
        Ok(origin::Answer::default())
    }

    async fn gather(&self, _after: Stamps) -> RpcResult<Gathered> {
        Ok(Gathered::default())
    }

    async fn document(&self, newer_than: unit::Revision) -> RpcResult<Option<Update>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let behaviour = *self.behaviour.borrow();
        match behaviour {
            Behaviour::Answers => {}
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Fails => {
                return Err(ErrorObjectOwned::owned(1, "not now", None::<()>));
            }
        }
        let state = self.feed.current();
        if let Some(steps) = state
            .steps_since(newer_than)
            .filter(|steps| !steps.is_empty())
        {
            let steps = steps.iter().map(|step| Step::clone(step));
            return Ok(Some(Update::Steps(steps.collect())));
        }
        Ok(Some(Update::Whole(Snapshot {
            revision: state.revision,
            document: RawValue::from_string(state.json().unwrap().to_string()).unwrap(),
        })))
    }
}

#[async_trait]
impl SourceServer for Voter {
    /// Reports only that it is alive and never a newer revision, so that a box gets a configuration
    /// only on request.
    async fn follow(
        &self,
        pending: PendingSubscriptionSink,
        _who: name::Box,
        from: unit::Revision,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        self.followed.fetch_add(1, Ordering::Relaxed);
        loop {
            let raw = serde_json::value::to_raw_value(&source::Update::Alive(from))?;
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                self.followed.fetch_sub(1, Ordering::Relaxed);
                return Ok(());
            }
            tokio::time::sleep(MAX_MESSAGE_INTERVAL).await;
        }
    }
}
