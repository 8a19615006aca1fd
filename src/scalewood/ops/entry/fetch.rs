//! Fetches the configuration from voters that announce a newer revision than the one in force.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{stream::FuturesUnordered, StreamExt as _};
use jsonrpsee::{core::client::Error as ClientError, ws_client::WsClient};

use crate::{
    core::unit,
    event,
    ops::entry::{directory::Voters, now, Shared},
    util::lock::lock,
    wire::registry::{RegistryClient as _, Update},
};

/// How long a voter may take to send a configuration.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a box checks for how long voters have announced a newer revision. It logs a time of at
/// least this length.
const BEHIND_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why a fetch from a voter failed.
#[derive(Debug)]
enum Failure {
    /// The voter is no longer connected.
    Disconnected,
    /// The voter did not answer in time.
    TimedOut,
    /// The voter answered with an error.
    Refused(ClientError),
    /// The document in the answer can't be parsed.
    Malformed(serde_json::Error),
    /// The answer held nothing newer than the configuration in force.
    NotNewer,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Disconnected => f.write_str("the connection was lost"),
            Self::TimedOut => write!(f, "no answer in {} ms", ANSWER_TIMEOUT.as_millis()),
            Self::Refused(error) => write!(f, "the voter answered with an error: {error}"),
            Self::Malformed(error) => write!(f, "the document can't be parsed: {error}"),
            Self::NotNewer => {
                f.write_str("the answer held nothing newer than the configuration in force")
            }
        }
    }
}

/// Fetches announced revisions, forever.
pub(super) async fn run(board: Shared, known_voters: Voters) {
    let mut fetches = FuturesUnordered::new();
    let mut feed = board.feed.watch();
    let mut logged_at = Duration::ZERO;
    loop {
        let caught_up = record_revision(&board, feed.borrow_and_update().revision);
        if caught_up {
            // The answers of other voters are no longer needed.
            fetches.clear();
        }
        log_if_behind(&board, &mut logged_at);
        let at = now(&board);
        while let Some(voter) = lock(&board.catchup).next(at) {
            fetches.push(fetch_from(board.clone(), known_voters.clone(), voter));
        }
        let due = lock(&board.catchup).due(at);
        let wait = due.map_or(BEHIND_CHECK_INTERVAL, |due| {
            due.saturating_sub(at).min(BEHIND_CHECK_INTERVAL)
        });
        tokio::select! {
            () = board.config_announced.notified() => {}
            changed = feed.changed() => if changed.is_err() { return },
            Some((voter, succeeded)) = fetches.next() => {
                lock(&board.catchup).record_answer(voter, succeeded, now(&board));
            }
            () = tokio::time::sleep(wait) => {}
        }
    }
}

/// Records the revision in force, and returns whether no voter announced a newer one.
fn record_revision(board: &Shared, own: unit::Revision) -> bool {
    let mut catchup = lock(&board.catchup);
    let caught_up = catchup.record_applied(own);
    let behind = catchup.lag(now(board));
    board.metrics.config_behind.set(behind.as_secs_f64());
    caught_up
}

/// Logs that the box is behind, at most once in [`BEHIND_CHECK_INTERVAL`].
fn log_if_behind(board: &Shared, logged_at: &mut Duration) {
    let now = now(board);
    let (behind, newest) = {
        let catchup = lock(&board.catchup);
        (catchup.lag(now), catchup.newest())
    };
    if behind < BEHIND_CHECK_INTERVAL || now < *logged_at + BEHIND_CHECK_INTERVAL {
        return;
    }
    *logged_at = now;
    event!(board.log, RevisionBehind, "revision" => %board.feed.current().revision,
        "newest" => %newest, "behind_ms" => behind.as_millis());
}

/// Fetches the configuration from a voter, puts it in force and logs the result. Returns the voter
/// and whether it succeeded.
async fn fetch_from(board: Shared, known_voters: Voters, voter: SocketAddr) -> (SocketAddr, bool) {
    let asked_at = now(&board);
    let client = lock(&known_voters)
        .get(&voter)
        .and_then(|v| v.client.clone());
    let fetched = match client {
        Some(client) => fetch(&board, &client).await,
        None => Err(Failure::Disconnected),
    };
    let took = now(&board).saturating_sub(asked_at);
    match &fetched {
        Ok(revision) => {
            let behind = lock(&board.catchup).lag(now(&board));
            event!(board.log, RevisionInForce, "revision" => %revision, "voter" => %voter,
                "took_ms" => took.as_millis(), "behind_ms" => behind.as_millis());
        }
        Err(why @ Failure::Malformed(_)) => {
            event!(board.log, DocumentUnreadable, "voter" => %voter, "why" => %why);
        }
        Err(why) => {
            event!(board.log, RevisionNotFetched, "voter" => %voter, "why" => %why,
                "took_ms" => took.as_millis());
        }
    }
    (voter, fetched.is_ok())
}

/// Requests the changes since the revision in force and publishes them in this process. Returns
/// the new revision.
async fn fetch(board: &Shared, client: &WsClient) -> Result<unit::Revision, Failure> {
    let before = board.feed.current().revision;
    let asked = tokio::time::timeout(ANSWER_TIMEOUT, client.document(before)).await;
    let answer = asked.map_err(|_| Failure::TimedOut)?;
    match answer.map_err(Failure::Refused)? {
        None => return Err(Failure::NotNewer),
        Some(Update::Steps(steps)) => {
            for step in steps {
                // A step that another voter's answer has made obsolete is ignored.
                board.feed.publish_step(step);
            }
        }
        Some(Update::Whole(whole)) => {
            let document = serde_json::from_str(whole.document.get());
            let document = document.map_err(Failure::Malformed)?;
            board.feed.publish_whole(whole.revision, Arc::new(document));
        }
    }
    let revision = board.feed.current().revision;
    if revision > before {
        Ok(revision)
    } else {
        Err(Failure::NotNewer)
    }
}
