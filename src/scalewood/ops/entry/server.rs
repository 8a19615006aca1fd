//! The RPC server of an entry box for the other entry boxes.

use std::time::Duration;

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    types::ErrorObjectOwned,
    PendingSubscriptionSink, SubscriptionMessage,
};
use tokio::sync::mpsc;

use crate::{
    core::{attempt, claim, dispatch, name, verdict},
    ops::entry::{dispatchers, member, now, Shared},
    util::lock::lock,
    wire::peer::{Batch, PeerServer, Probe},
};

/// The maximum number of orders in one message.
const MAX_ORDERS_PER_MESSAGE: usize = 512;

/// How long a box whose subscription has ended may take to subscribe again before the dispatchers
/// here remove its requests.
const RECONNECT_GRACE: Duration = Duration::from_secs(3);

/// Handles the calls of other boxes.
#[derive(Debug)]
pub(super) struct Server {
    board: Shared,
}

impl Server {
    pub(super) fn new(board: Shared) -> Self {
        Self { board }
    }
}

#[async_trait]
impl PeerServer for Server {
    async fn probe(&self, probe: Probe) -> RpcResult<Probe> {
        member::merge(&self.board, probe);
        Ok(member::message(&self.board))
    }

    async fn report(&self, from: name::Box, batches: Vec<Batch>) -> RpcResult<()> {
        if self.board.may_be_stale() {
            // The peer drops the link on this error and reports everything again over a new one.
            return Err(stale());
        }
        for batch in batches {
            dispatchers::handle_reports(&self.board, &from, &batch.service, batch.reports);
        }
        Ok(())
    }

    async fn orders(
        &self,
        pending: PendingSubscriptionSink,
        from: name::Box,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        let (sender, mut receiver) = mpsc::unbounded_channel();
        lock(&self.board.subscribers).insert(from.clone(), sender.clone());
        let mut orders = Vec::new();
        loop {
            tokio::select! {
                count = receiver.recv_many(&mut orders, MAX_ORDERS_PER_MESSAGE) => {
                    if count == 0 { break }
                }
                () = sink.closed() => break,
            }
            let raw = serde_json::value::to_raw_value(&std::mem::take(&mut orders))?;
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                break;
            }
        }
        unsubscribe(&self.board, &from, &sender);
        tokio::time::sleep(RECONNECT_GRACE).await;
        if !lock(&self.board.subscribers).contains_key(&from) {
            dispatchers::remove_box(&self.board, &from);
        }
        Ok(())
    }

    async fn claim(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<claim::Reply> {
        Ok(lock(&self.board.claims).claim(key, owner, now(&self.board)))
    }

    async fn release(&self, key: claim::Key, owner: attempt::Request) -> RpcResult<()> {
        lock(&self.board.claims).release(key, owner);
        Ok(())
    }

    async fn end(
        &self,
        key: claim::Key,
        owner: attempt::Request,
        verdict: verdict::Verdict,
    ) -> RpcResult<()> {
        lock(&self.board.claims).end(key, owner, verdict);
        Ok(())
    }

    async fn read_back(
        &self,
        by: name::Box,
    ) -> RpcResult<Option<Vec<(claim::Key, claim::Record)>>> {
        Ok(lock(&self.board.claims).read_back(&by, now(&self.board)))
    }
}

/// Removes a box's subscription unless the box has subscribed again since.
fn unsubscribe(board: &Shared, from: &name::Box, sender: &mpsc::UnboundedSender<dispatch::Order>) {
    let mut subscribers = lock(&board.subscribers);
    if subscribers
        .get(from)
        .is_some_and(|current| current.same_channel(sender))
    {
        subscribers.remove(from);
    }
}

/// Returns the error for reports that may have been queued since before this process was frozen.
fn stale() -> ErrorObjectOwned {
    /// The error code; no program reads it.
    const CODE: i32 = 1;
    ErrorObjectOwned::owned(
        CODE,
        "this box was frozen; reconnect and report everything again",
        None::<()>,
    )
}
