//! Serving the configuration to followers, and following it.
//!
//! Voters serve the committed configuration; entry boxes serve what they have followed. A box
//! follows one source and switches to the next when it falls silent. It accepts only newer
//! revisions than its own, so its revision only rises, whichever source it follows. In a zone
//! that is partitioned off, the boxes converge on the highest revision that one of them has.

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
    wire::source::{Piece, SourceClient as _, SourceServer, Update, PIECE_BYTES},
};

/// How often a source sends a keep-alive.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// The time without an update after which a source is given up.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// The wait before the next source is tried after many failures.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(200);
/// The wait before the next source is tried at first.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(50);
/// How long a box that has just started waits for another task to get a first configuration before
/// it follows a source: several times as long as a voter on the same network takes to send one.
const FIRST_CONFIG_WAIT: Duration = Duration::from_millis(400);
/// The number of consecutive failures after which sources are tried less often.
const FAST_RETRIES: u32 = 12;

/// Serves a feed to followers.
#[derive(Clone, Debug)]
pub struct Server {
    feed: Arc<feed::Feed>,
}

impl Server {
    /// Creates a server of a feed.
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
        serve(&sink, self.feed.clone(), from).await;
        Ok(())
    }
}

/// Sends a subscriber all newer revisions than its own until it disconnects.
async fn serve(sink: &SubscriptionSink, feed: Arc<feed::Feed>, from: unit::Revision) {
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
            () = tokio::time::sleep(KEEPALIVE_PERIOD) => {}
            () = sink.closed() => return,
        }
    }
}

/// Sends an update; returns `None` if that failed.
async fn send(sink: &SubscriptionSink, update: &Update) -> Option<()> {
    let raw = serde_json::value::to_raw_value(update).ok()?;
    sink.send(SubscriptionMessage::from(raw)).await.ok()
}

/// Returns the updates that bring a subscriber from a revision to the current one.
fn updates(state: &feed::State, from: unit::Revision) -> Vec<Update> {
    if state.revision <= from {
        return vec![Update::Alive(state.revision)];
    }
    if let Some(recent) = state.steps_since(from) {
        let step = |step: Arc<change::Step>| Update::Step(change::Step::clone(&step));
        return recent.into_iter().map(step).collect();
    }
    pieces(state)
}

/// Returns the whole document, split into pieces.
fn pieces(state: &feed::State) -> Vec<Update> {
    let Some(text) = state.json() else {
        return Vec::new();
    };
    let mut rest = &*text;
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let cut = (PIECE_BYTES.min(rest.len())..=rest.len()).find(|i| rest.is_char_boundary(*i));
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

/// Follows the configuration from one source at a time and publishes it to a feed.
///
/// It pauses while voters send the configuration to this box themselves: else each change would
/// arrive twice, and one that adds 1,400 routes (0.4 MB) blocks a link of 10 Mbit/s for 0.3 s.
/// Without a voter, this is what keeps the boxes of a zone on the same revision.
#[derive(Debug)]
pub struct Follower {
    /// This box.
    pub own_name: name::Box,
    /// The voters' addresses, the preferred one first.
    pub voters: Vec<SocketAddr>,
    /// The feed to which the configuration is published.
    pub feed: Arc<feed::Feed>,
    /// How many voters send the configuration to this box.
    pub voters_heard: watch::Receiver<u32>,
    /// The log.
    pub log: slog::Logger,
}

impl Follower {
    /// Waits for a first configuration to be published to the feed by another task, for at most
    /// `FIRST_CONFIG_WAIT`. Fetching the whole document from a voter of the box's own zone costs
    /// less than following one of `voters`, each of which would have to send the document to a
    /// share of all boxes and hold as many copies of it.
    async fn wait_for_first(&self) {
        let mut watch = self.feed.watch();
        let has_any = watch.wait_for(|state| state.revision > unit::Revision(0));
        // After a timeout the box follows a source.
        let _ = tokio::time::timeout(FIRST_CONFIG_WAIT, has_any).await;
    }

    /// Waits until a condition holds for the number of voters that send the configuration.
    async fn wait_for_voters(&self, holds: impl Fn(u32) -> bool) {
        let mut heard = self.voters_heard.clone();
        if heard.wait_for(|heard| holds(*heard)).await.is_err() {
            // The sender is gone because the box is stopping.
            std::future::pending::<()>().await;
        }
    }

    /// Follows sources for ever.
    pub async fn run(self) {
        self.wait_for_first().await;
        // Boxes start with different voters, so that no voter has to serve all boxes at once.
        let mut turn =
            rendezvous::hash(&[self.own_name.as_str()]) as usize % self.voters.len().max(1);
        let mut failures = 0;
        loop {
            self.wait_for_voters(|heard| heard == 0).await;
            let sources = self.sources();
            let source = sources[turn % sources.len()];
            let timeout = rpc::connect_timeout(failures / 6);
            failures += 1;
            let followed = tokio::select! {
                followed = self.follow(source, timeout) => followed,
                () = self.wait_for_voters(|heard| heard > 0) => None,
            };
            if let Some(reached) = followed {
                failures = 0;
                event!(self.log, SourceLost, "source" => %source, "revision" => %reached);
            }
            turn += 1;
            let wait = if failures < FAST_RETRIES {
                MIN_RETRY_WAIT
            } else {
                MAX_RETRY_WAIT
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the voters, then the other boxes of this box's zone, then those of other zones.
    fn sources(&self) -> Vec<SocketAddr> {
        let state = self.feed.current();
        let own_zone = state
            .document
            .boxes
            .get(&self.own_name)
            .map(|own| own.zone.clone());
        let peers = state
            .document
            .boxes
            .iter()
            .filter(|(name, _)| **name != self.own_name);
        let mut peers: Vec<_> = peers.map(|(_, peer)| peer).collect();
        peers.sort_by_key(|peer| Some(&peer.zone) != own_zone.as_ref());
        let peers = peers.into_iter().map(|peer| peer.address);
        self.voters.iter().copied().chain(peers).collect()
    }

    /// Follows one source until it falls silent, then returns the revision reached. Returns `None`
    /// if the source could not be followed.
    async fn follow(&self, source: SocketAddr, timeout: Duration) -> Option<unit::Revision> {
        let client = rpc::connect_within(source, timeout).await.ok()?;
        let from = self.feed.current().revision;
        let mut updates = client.follow(self.own_name.clone(), from).await.ok()?;
        event!(self.log, SourceFound, "source" => %source, "revision" => %from);
        self.apply_all(&mut updates).await;
        Some(self.feed.current().revision)
    }

    /// Applies updates until the source falls silent or is not worth following.
    async fn apply_all(&self, updates: &mut Subscription<Update>) {
        let mut text = String::new();
        loop {
            let next = tokio::time::timeout(SILENCE_TIMEOUT, updates.next()).await;
            let Ok(Some(Ok(update))) = next else { return };
            if !self.apply(update, &mut text) {
                return;
            }
        }
    }

    /// Applies one update; returns false if the source is behind, skipped a revision or sent an
    /// invalid document.
    fn apply(&self, update: Update, text: &mut String) -> bool {
        let before = self.feed.current().revision;
        match update {
            Update::Alive(revision) => return revision >= before,
            Update::Step(step) => {
                let revision = step.revision;
                if !self.feed.publish_step(step) {
                    // The same revision may have arrived from elsewhere in the meantime.
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
