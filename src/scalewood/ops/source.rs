//! Giving out the configuration, and following it.
//!
//! Voters give out what was agreed; entry boxes give on what they follow. A box
//! follows one source and goes to the next when it falls silent. It takes only what
//! is newer than what it has, so its revision only rises, whichever source it
//! follows; in a zone that is cut off, the boxes take the highest revision that one
//! of them has.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{async_trait, client::Subscription, SubscriptionResult},
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
};
use tokio::sync::watch;

use crate::{
    board::feed,
    core::{change, config, name, rendezvous, unit},
    event,
    ops::rpc,
    wire::source::{Piece, SourceClient as _, SourceServer, Update, PIECE},
};

/// How often a source says that it is alive.
const ALIVE: Duration = Duration::from_secs(1);
/// How long a source may be silent.
const SILENCE: Duration = Duration::from_secs(3);
/// The wait before the next source is tried: short at first.
const NEXT: Duration = Duration::from_millis(200);
const SOON: Duration = Duration::from_millis(50);
/// How long a box that has just started waits for its first configuration to come by another
/// way: some times what a voter on the same network takes.
const FIRST: Duration = Duration::from_millis(400);
/// Sources that fail one after another before they are tried less often.
const SOON_TRIES: u32 = 12;

/// Gives out a feed.
#[derive(Clone, Debug)]
pub struct Server {
    feed: Arc<feed::Feed>,
}

impl Server {
    /// Gives out a feed.
    pub fn new(feed: Arc<feed::Feed>) -> Self {
        Self { feed }
    }
}

#[async_trait]
impl SourceServer for Server {
    async fn follow(
        &self,
        pending: PendingSubscriptionSink,
        _who: name::Box,
        from: unit::Revision,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        give(&sink, self.feed.clone(), from).await;
        Ok(())
    }
}

/// Sends a subscriber all that is newer than what it has, until it goes.
async fn give(sink: &SubscriptionSink, feed: Arc<feed::Feed>, from: unit::Revision) {
    let mut watch = feed.watch();
    let mut sent = from;
    loop {
        let state = watch.borrow_and_update().clone();
        for update in updates(&state, sent) {
            if send(sink, &update).await.is_none() {
                return;
            }
        }
        sent = sent.max(state.revision);
        tokio::select! {
            changed = watch.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(ALIVE) => {}
            () = sink.closed() => return,
        }
    }
}

async fn send(sink: &SubscriptionSink, update: &Update) -> Option<()> {
    let raw = serde_json::value::to_raw_value(update).ok()?;
    sink.send(SubscriptionMessage::from(raw)).await.ok()
}

/// What a subscriber at a revision has to be told.
fn updates(state: &feed::State, from: unit::Revision) -> Vec<Update> {
    if state.revision <= from {
        return vec![Update::Alive(state.revision)];
    }
    if let Some(recent) = state.since(from) {
        let step = |step: Arc<change::Step>| Update::Step(change::Step::clone(&step));
        return recent.into_iter().map(step).collect();
    }
    pieces(state)
}

/// A whole document, cut into pieces.
fn pieces(state: &feed::State) -> Vec<Update> {
    let Some(text) = state.text() else {
        return Vec::new();
    };
    let mut rest = &*text;
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let cut = (PIECE.min(rest.len())..=rest.len()).find(|i| rest.is_char_boundary(*i));
        let (piece, tail) = rest.split_at(cut.unwrap_or(rest.len()));
        pieces.push(Update::Piece(Piece {
            revision: state.revision,
            last: tail.is_empty(),
            text: piece.to_owned(),
        }));
        rest = tail;
    }
    pieces
}

/// Follows the configuration into a feed, from the first source that has it.
///
/// It rests while the box hears of the configuration from voters: each change would come
/// twice, and on a link of 10 Mbit/s one that adds 1,400 routes (0.4 MB) takes 0.3 s, in which
/// nothing else gets through. Without a voter it is what keeps boxes of a zone together.
#[derive(Debug)]
pub struct Follower {
    /// The box that follows.
    pub own: name::Box,
    /// Where the voters are reached, the preferred one first.
    pub voters: Vec<SocketAddr>,
    /// Where the configuration goes.
    pub feed: Arc<feed::Feed>,
    /// How many voters tell this box of the configuration.
    pub voters_heard: watch::Receiver<u32>,
    /// The log.
    pub log: slog::Logger,
}

impl Follower {
    /// Waits for a moment until the box has a configuration by another way: a voter of its own
    /// zone gives a whole one out at less cost than the voters named here, which would each
    /// have to give it to a part of all boxes, and hold as many copies.
    async fn wait_for_first(&self) {
        let mut watch = self.feed.watch();
        let has_any = watch.wait_for(|state| state.revision > unit::Revision(0));
        // Without any it begins here.
        let _ = tokio::time::timeout(FIRST, has_any).await;
    }

    /// Waits until so many voters are heard that a condition holds.
    async fn wait_for_voters(&self, holds: impl Fn(u32) -> bool) {
        let mut heard = self.voters_heard.clone();
        if heard.wait_for(|heard| holds(*heard)).await.is_err() {
            // The box stops, and this with it.
            std::future::pending::<()>().await;
        }
    }

    /// Follows for ever.
    pub async fn run(self) {
        self.wait_for_first().await;
        // Boxes begin with different voters, so that none has to give to all at once.
        let mut turn = rendezvous::hash(&[self.own.as_str()]) as usize % self.voters.len().max(1);
        let mut failures = 0;
        loop {
            self.wait_for_voters(|heard| heard == 0).await;
            let sources = self.sources();
            let source = sources[turn % sources.len()];
            let within = rpc::patience(failures / 6);
            failures += 1;
            let followed = tokio::select! {
                followed = self.follow(source, within) => followed,
                () = self.wait_for_voters(|heard| heard > 0) => None,
            };
            if let Some(reached) = followed {
                failures = 0;
                event!(self.log, SourceLost, "source" => %source, "revision" => %reached);
            }
            turn += 1;
            let wait = if failures < SOON_TRIES { SOON } else { NEXT };
            tokio::time::sleep(wait).await;
        }
    }

    /// The voters, then the peers of this box's zone, then all others.
    fn sources(&self) -> Vec<SocketAddr> {
        let state = self.feed.current();
        let own_zone = state
            .document
            .boxes
            .get(&self.own)
            .map(|own| own.zone.clone());
        let peers = state
            .document
            .boxes
            .iter()
            .filter(|(name, _)| **name != self.own);
        let mut peers: Vec<_> = peers.map(|(_, peer)| peer).collect();
        peers.sort_by_key(|peer| Some(&peer.zone) != own_zone.as_ref());
        let peers = peers.into_iter().map(|peer| peer.address);
        self.voters.iter().copied().chain(peers).collect()
    }

    /// Follows one source until it falls silent; nothing if it was never reached.
    async fn follow(&self, source: SocketAddr, within: Duration) -> Option<unit::Revision> {
        let client = rpc::connect_within(source, within).await.ok()?;
        let from = self.feed.current().revision;
        let mut updates = client.follow(self.own.clone(), from).await.ok()?;
        event!(self.log, SourceFound, "source" => %source, "revision" => %from);
        self.take_all(&mut updates).await;
        Some(self.feed.current().revision)
    }

    async fn take_all(&self, updates: &mut Subscription<Update>) {
        let mut text = String::new();
        loop {
            let next = tokio::time::timeout(SILENCE, updates.next()).await;
            let Ok(Some(Ok(update))) = next else { return };
            if !self.take(update, &mut text) {
                return;
            }
        }
    }

    /// Takes one update; false if the source is not worth following on.
    fn take(&self, update: Update, text: &mut String) -> bool {
        let before = self.feed.current().revision;
        match update {
            Update::Alive(revision) => return revision >= before,
            Update::Step(step) => {
                let revision = step.revision;
                if !self.feed.publish_step(step) {
                    // Another source may have brought it meanwhile.
                    return revision <= before;
                }
            }
            Update::Piece(piece) => {
                text.push_str(&piece.text);
                if !piece.last {
                    return true;
                }
                let whole = std::mem::take(text);
                let Ok(document) = serde_json::from_str::<config::Document>(&whole) else {
                    return false;
                };
                self.feed.publish_whole(piece.revision, Arc::new(document));
            }
        }
        let revision = self.feed.current().revision;
        if revision > before {
            event!(self.log, RevisionInForce, "revision" => %revision);
        }
        true
    }
}
