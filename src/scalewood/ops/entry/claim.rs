//! Claims of idempotency keys: claims a key at the boxes that hold it, and restores this box's
//! claims from its peers after a start or a change of the configured boxes.

use std::{sync::Arc, time::Duration};

use futures_util::future;

use crate::{
    core::{attempt, claim, name, verdict},
    event,
    ops::{
        entry::{now, Shared},
        rpc,
    },
    util::lock::lock,
    wire::peer::PeerClient as _,
};

/// How often peers are asked for claims that this box may lack after a restart or a change of the
/// configured boxes.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a peer may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Restores claims from peers that have not been read yet, and drops expired claims; runs forever.
pub(super) async fn run(board: Shared) {
    let mut settled = false;
    loop {
        lock(&board.claims).tick(now(&board));
        let peers = lock(&board.claims).not_read_back(now(&board));
        future::join_all(peers.into_iter().map(|peer| read_back(&board, peer))).await;
        let is_settled = lock(&board.claims).is_settled(now(&board));
        if is_settled && !settled {
            event!(board.log, ClaimsSettled, "claims" => lock(&board.claims).len());
        }
        settled = is_settled;
        tokio::time::sleep(READ_BACK_INTERVAL).await;
    }
}

/// Restores the claims that a peer holds.
async fn read_back(board: &Shared, peer: name::Box) {
    let Some(address) = address(board, &peer) else {
        return;
    };
    let ask = async {
        let client = rpc::connect(address).await.ok()?;
        client.read_back(board.own.name.clone()).await.ok()?
    };
    if let Ok(Some(claims)) = tokio::time::timeout(ANSWER_TIMEOUT, ask).await {
        lock(&board.claims).merge(&peer, claims, now(board));
    }
}

/// Returns a box's address by the configuration in force.
fn address(board: &Shared, name: &name::Box) -> Option<std::net::SocketAddr> {
    Some(board.view.load().document.boxes.get(name)?.address)
}

/// A claim that was won. Dropping it before [`Claim::end`] tells the holders that the call may have
/// run.
#[derive(Debug)]
pub(super) struct Claim {
    board: Shared,
    key: claim::Key,
    owner: attempt::Request,
    holders: Vec<name::Box>,
    /// When the holders were asked.
    claimed_at: Duration,
    /// Whether the holders were notified that the call ended or that the claim is released.
    ended: bool,
}

/// Claims a key for a request. A claim that is not won is released at all holders.
pub(super) async fn claim(
    board: &Shared,
    key: claim::Key,
    owner: attempt::Request,
) -> Result<Claim, claim::Outcome> {
    let holders = board.view.load().holders(key);
    let claimed_at = now(board);
    let replies = holders.iter().map(|holder| ask(board, holder, key, owner));
    let replies = future::join_all(replies).await;
    let outcome = claim::tally(&replies);
    let mut won = Claim {
        board: board.clone(),
        key,
        owner,
        holders,
        claimed_at,
        ended: false,
    };
    match outcome {
        claim::Outcome::Won if !won.holders.is_empty() => Ok(won),
        outcome => {
            won.release();
            Err(outcome)
        }
    }
}

/// Asks one holder for a key; `None` if it did not answer.
async fn ask(
    board: &Shared,
    holder: &name::Box,
    key: claim::Key,
    owner: attempt::Request,
) -> Option<claim::Reply> {
    if *holder == board.own.name {
        return Some(lock(&board.claims).claim(key, owner, now(board)));
    }
    let address = address(board, holder)?;
    let ask = async {
        let client = rpc::connect(address).await.ok()?;
        client.claim(key, owner).await.ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, ask).await.ok()?
}

impl Claim {
    /// Returns whether the call may still be sent under the claim. If half the retention has
    /// passed, because the call waited or the process was frozen, the holders may drop the claim
    /// before the call ends.
    pub(super) fn is_fresh(&self) -> bool {
        let retention = lock(&self.board.claims).retention();
        now(&self.board).saturating_sub(self.claimed_at) < retention / 2
    }

    /// Notifies the holders how the call ended. Releases the claim if the call did not run.
    pub(super) fn end(&mut self, verdict: verdict::Verdict) {
        if verdict == verdict::Verdict::NotRun {
            return self.release();
        }
        self.ended = true;
        self.notify_holders(Notice::End(verdict));
    }

    /// Releases the claim, because nothing was sent under it.
    fn release(&mut self) {
        self.ended = true;
        self.notify_holders(Notice::Release);
    }

    /// Notifies all holders without waiting for them.
    fn notify_holders(&self, notice: Notice) {
        for holder in self.holders.clone() {
            let (board, key, owner) = (self.board.clone(), self.key, self.owner);
            tokio::spawn(async move { deliver(&board, &holder, key, owner, notice).await });
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.ended {
            // The call was cancelled and may be running.
            self.end(verdict::Verdict::MayHaveRun);
        }
    }
}

/// A message to the holders of a claim.
#[derive(Clone, Copy, Debug)]
enum Notice {
    /// Nothing was sent under the claim.
    Release,
    /// The call has ended.
    End(verdict::Verdict),
}

/// Notifies one holder.
async fn deliver(
    board: &Shared,
    holder: &name::Box,
    key: claim::Key,
    owner: attempt::Request,
    notice: Notice,
) {
    if *holder == board.own.name {
        let mut claims = lock(&board.claims);
        match notice {
            Notice::Release => claims.release(key, owner),
            Notice::End(verdict) => claims.end(key, owner, verdict),
        }
        return;
    }
    let Some(address) = address(board, holder) else {
        return;
    };
    let Ok(client) = rpc::connect(address).await else {
        return;
    };
    let client = Arc::clone(&client);
    // A holder that misses this keeps the claim, so that the call still runs at most once.
    let _ = match notice {
        Notice::Release => client.release(key, owner).await,
        Notice::End(verdict) => client.end(key, owner, verdict).await,
    };
}
