//! Claims: asks a key's holders, and reads claims back after a start.

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

/// How often forgotten claims are asked for.
const READ_BACK: Duration = Duration::from_millis(300);
/// How long a holder may take to answer.
const ANSWER: Duration = Duration::from_millis(800);

/// Reads back what this box may have forgotten, and forgets what is over.
pub(super) async fn run(board: Shared) {
    let mut settled = false;
    loop {
        lock(&board.claims).tick(now(&board));
        let unheard = lock(&board.claims).not_read_back(now(&board));
        future::join_all(unheard.into_iter().map(|peer| read_back(&board, peer))).await;
        let is_settled = lock(&board.claims).is_settled(now(&board));
        if is_settled && !settled {
            event!(board.log, ClaimsSettled, "claims" => lock(&board.claims).len());
        }
        settled = is_settled;
        tokio::time::sleep(READ_BACK).await;
    }
}

async fn read_back(board: &Shared, peer: name::Box) {
    let Some(address) = address(board, &peer) else {
        return;
    };
    let ask = async {
        let client = rpc::connect(address).await.ok()?;
        client.read_back(board.own.name.clone()).await.ok()?
    };
    if let Ok(Some(claims)) = tokio::time::timeout(ANSWER, ask).await {
        lock(&board.claims).merge(&peer, claims, now(board));
    }
}

fn address(board: &Shared, name: &name::Box) -> Option<std::net::SocketAddr> {
    Some(board.view.load().document.boxes.get(name)?.address)
}

/// A claim that was won; tells the holders what became of it.
#[derive(Debug)]
pub(super) struct Claim {
    board: Shared,
    key: claim::Key,
    owner: attempt::Request,
    holders: Vec<name::Box>,
    since: Duration,
    ended: bool,
}

/// Claims a key for a request.
pub(super) async fn claim(
    board: &Shared,
    key: claim::Key,
    owner: attempt::Request,
) -> Result<Claim, claim::Outcome> {
    let holders = board.view.load().holders(key);
    let since = now(board);
    let replies = holders.iter().map(|holder| ask(board, holder, key, owner));
    let replies = future::join_all(replies).await;
    let outcome = claim::tally(&replies);
    let mut won = Claim {
        board: board.clone(),
        key,
        owner,
        holders,
        since,
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
    tokio::time::timeout(ANSWER, ask).await.ok()?
}

impl Claim {
    /// Whether the claim is remembered for long enough that the call can be sent under it.
    /// A process that waited or was frozen for too long must not send it any more.
    pub(super) fn is_fresh(&self) -> bool {
        let retention = lock(&self.board.claims).retention();
        now(&self.board).saturating_sub(self.since) < retention / 2
    }

    /// Tells the holders what became of the call.
    pub(super) fn end(&mut self, verdict: verdict::Verdict) {
        if verdict == verdict::Verdict::NotRun {
            return self.release();
        }
        self.ended = true;
        self.tell(Told::End(verdict));
    }

    /// Gives the claim back: nothing was sent under it.
    fn release(&mut self) {
        self.ended = true;
        self.tell(Told::Release);
    }

    fn tell(&self, told: Told) {
        for holder in self.holders.clone() {
            let (board, key, owner) = (self.board.clone(), self.key, self.owner);
            tokio::spawn(async move { deliver(&board, &holder, key, owner, told).await });
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.ended {
            // The call was given up while it may have been running.
            self.end(verdict::Verdict::MayHaveRun);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Told {
    Release,
    End(verdict::Verdict),
}

async fn deliver(
    board: &Shared,
    holder: &name::Box,
    key: claim::Key,
    owner: attempt::Request,
    told: Told,
) {
    if *holder == board.own.name {
        let mut claims = lock(&board.claims);
        match told {
            Told::Release => claims.release(key, owner),
            Told::End(verdict) => claims.end(key, owner, verdict),
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
    // A holder that misses this still has the claim, which is all that is needed
    // for at most once.
    let _ = match told {
        Told::Release => client.release(key, owner).await,
        Told::End(verdict) => client.end(key, owner, verdict).await,
    };
}
