//! What an entry box takes from the other boxes.

use std::time::Duration;

use jsonrpsee::{
    core::{async_trait, RpcResult, SubscriptionResult},
    types::ErrorObjectOwned,
    PendingSubscriptionSink, SubscriptionMessage,
};
use tokio::sync::mpsc;

use crate::{
    core::{attempt, claim, dispatch, name, verdict},
    ops::entry::{desk, member, now, Shared},
    util::lock::lock,
    wire::peer::{Batch, PeerServer, Probe},
};

/// The most orders in one message.
const BATCH: usize = 512;

/// How long a box that lost its link has to come back before its requests are void.
const RETURN: Duration = Duration::from_secs(3);

/// Takes calls of other boxes.
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
        member::hear(&self.board, probe);
        Ok(member::message(&self.board))
    }

    async fn report(&self, from: name::Box, batches: Vec<Batch>) -> RpcResult<()> {
        if self.board.may_be_stale() {
            // The link is lost by this, and all is told anew over the next.
            return Err(stale());
        }
        for batch in batches {
            desk::take(&self.board, &from, &batch.service, batch.reports);
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
                count = receiver.recv_many(&mut orders, BATCH) => if count == 0 { break },
                () = sink.closed() => break,
            }
            let raw = serde_json::value::to_raw_value(&std::mem::take(&mut orders))?;
            if sink.send(SubscriptionMessage::from(raw)).await.is_err() {
                break;
            }
        }
        unsubscribe(&self.board, &from, &sender);
        tokio::time::sleep(RETURN).await;
        if !lock(&self.board.subscribers).contains_key(&from) {
            desk::forget(&self.board, &from);
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

/// Ends a subscription; a newer one of the same box stays.
fn unsubscribe(board: &Shared, from: &name::Box, sender: &mpsc::UnboundedSender<dispatch::Order>) {
    let mut subscribers = lock(&board.subscribers);
    if subscribers
        .get(from)
        .is_some_and(|current| current.same_channel(sender))
    {
        subscribers.remove(from);
    }
}

/// The error for reports that may have waited since before a freeze.
fn stale() -> ErrorObjectOwned {
    /// The code of the error; only people read it.
    const CODE: i32 = 1;
    ErrorObjectOwned::owned(CODE, "this box was frozen; make the link anew", None::<()>)
}
