//! Fetches the configuration from voters that tell of a newer one than is in force here.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{stream::FuturesUnordered, StreamExt as _};
use jsonrpsee::{core::client::Error as ClientError, ws_client::WsClient};

use crate::{
    core::unit,
    event,
    ops::entry::{directory::Followed, now, Shared},
    util::lock::lock,
    wire::registry::{RegistryClient as _, Update},
};

/// How long a voter may take to give a configuration.
const ANSWER: Duration = Duration::from_secs(2);
/// How often a box looks at how far it is behind.
const LOOK: Duration = Duration::from_secs(1);

/// Why a voter gave nothing that could be used.
#[derive(Debug)]
enum Failure {
    /// It is not connected any more.
    Lost,
    /// It did not answer in time.
    Silent,
    /// It answered with an error.
    Refused(ClientError),
    /// What it gave can't be read.
    Unreadable(serde_json::Error),
    /// It gave nothing that is newer here.
    Nothing,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Lost => f.write_str("the connection was lost"),
            Self::Silent => write!(f, "no answer in {} ms", ANSWER.as_millis()),
            Self::Refused(error) => write!(f, "it answered with an error: {error}"),
            Self::Unreadable(error) => write!(f, "it can't be read: {error}"),
            Self::Nothing => f.write_str("it gave nothing newer than what is in force"),
        }
    }
}

/// Fetches for ever.
pub(super) async fn run(board: Shared, followed: Followed) {
    let mut asked = FuturesUnordered::new();
    let mut feed = board.feed.watch();
    let mut looked_at = Duration::ZERO;
    loop {
        let caught_up = note_reached(&board, feed.borrow_and_update().revision);
        if caught_up {
            // Whoever has not answered is not waited for.
            asked.clear();
        }
        look(&board, &mut looked_at);
        let at = now(&board);
        while let Some(voter) = lock(&board.catchup).next(at) {
            asked.push(ask(board.clone(), followed.clone(), voter));
        }
        let due = lock(&board.catchup).due(at);
        let wait = due.map_or(LOOK, |due| due.saturating_sub(at).min(LOOK));
        tokio::select! {
            () = board.told.notified() => {}
            changed = feed.changed() => if changed.is_err() { return },
            Some((voter, gave)) = asked.next() => {
                lock(&board.catchup).record_answer(voter, gave, now(&board));
            }
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// Notes the revision in force; tells whether no voter has a newer one.
fn note_reached(board: &Shared, own: unit::Revision) -> bool {
    let mut catchup = lock(&board.catchup);
    let caught_up = catchup.record_applied(own);
    let behind = catchup.lag(now(board));
    board.metrics.behind.set(behind.as_secs_f64());
    caught_up
}

/// Logs that the box is behind, once in a while.
fn look(board: &Shared, looked_at: &mut Duration) {
    let now = now(board);
    let (behind, newest) = {
        let catchup = lock(&board.catchup);
        (catchup.lag(now), catchup.newest())
    };
    if behind < LOOK || now < *looked_at + LOOK {
        return;
    }
    *looked_at = now;
    event!(board.log, RevisionBehind, "revision" => %board.feed.current().revision,
        "newest" => %newest, "behind_ms" => behind.as_millis());
}

/// Asks a voter, and has what it gives in force; tells whether it gave any.
async fn ask(board: Shared, followed: Followed, voter: SocketAddr) -> (SocketAddr, bool) {
    let asked_at = now(&board);
    let client = lock(&followed).get(&voter).and_then(|v| v.client.clone());
    let taken = match client {
        Some(client) => fetch(&board, &client).await,
        None => Err(Failure::Lost),
    };
    let took = now(&board).saturating_sub(asked_at);
    match &taken {
        Ok(revision) => {
            let behind = lock(&board.catchup).lag(now(&board));
            event!(board.log, RevisionInForce, "revision" => %revision, "voter" => %voter,
                "took_ms" => took.as_millis(), "behind_ms" => behind.as_millis());
        }
        Err(why @ Failure::Unreadable(_)) => {
            event!(board.log, DocumentUnreadable, "voter" => %voter, "why" => %why);
        }
        Err(why) => {
            event!(board.log, RevisionNotFetched, "voter" => %voter, "why" => %why,
                "took_ms" => took.as_millis());
        }
    }
    (voter, taken.is_ok())
}

async fn fetch(board: &Shared, client: &WsClient) -> Result<unit::Revision, Failure> {
    let before = board.feed.current().revision;
    let asked = tokio::time::timeout(ANSWER, client.document(before)).await;
    let answer = asked.map_err(|_| Failure::Silent)?;
    match answer.map_err(Failure::Refused)? {
        None => return Err(Failure::Nothing),
        Some(Update::Steps(steps)) => {
            for step in steps {
                // What another source has brought meanwhile does not fit any more.
                board.feed.publish_step(step);
            }
        }
        Some(Update::Whole(whole)) => {
            let document = serde_json::from_str(whole.document.get());
            let document = document.map_err(Failure::Unreadable)?;
            board.feed.publish_whole(whole.revision, Arc::new(document));
        }
    }
    let revision = board.feed.current().revision;
    if revision > before {
        Ok(revision)
    } else {
        Err(Failure::Nothing)
    }
}
