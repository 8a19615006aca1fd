//! Tells voters where streams began, and asks them where a stream began that is taken up here.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::stream::{FuturesUnordered, StreamExt as _};
use jsonrpsee::ws_client::WsClient;

use crate::{
    core::{
        build, follow, name,
        origin::{self, Answer, Found, Key, Origin},
    },
    ops::entry::{now, Shared},
    util::lock::lock,
    wire::registry::{Question, RegistryClient as _},
};

/// The most streams in one message.
const MAX_BATCH: usize = 512;
/// How long a voter may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// The wait before a message that a voter did not answer is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The wait before voters that do not know a stream are asked again: the box at which it began may
/// just be telling them.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(60);
/// How long after its route's timeout a stream can still be taken up.
const KEEP_MARGIN: Duration = Duration::from_secs(10);

/// Returns for how long a stream of a route with a timeout can be taken up.
pub(super) fn keep_time(timeout: Duration) -> Duration {
    timeout.saturating_add(KEEP_MARGIN)
}

/// Records where a stream began, which voters are told at once.
pub(super) fn record(board: &Shared, key: Key, origin: &Origin, keep: Duration) {
    let now = now(board);
    lock(&board.origins).record(key, origin, now.saturating_add(keep), now);
    board.origins_changed.send_modify(|changes| *changes += 1);
}

/// Returns what this box itself knows of a stream's origin.
pub(super) fn find_here(board: &Shared, key: Key) -> Found {
    lock(&board.origins).find(key, now(board))
}

/// Returns the only build of a service's endpoints that this box has known of within a time, if there
/// was exactly one.
pub(super) fn sole_build(
    board: &Shared,
    service: &name::Service,
    within: Duration,
) -> Option<build::Build> {
    let since = now(board).saturating_sub(within);
    let mut builds = lock(&board.registry).builds_since(service, since);
    builds.pop().filter(|_| builds.is_empty())
}

/// Tells a voter the origins of all streams that can still be taken up, and then of each new one,
/// for ever.
pub(super) async fn report(board: &Shared, client: &Arc<WsClient>) {
    let mut changes = board.origins_changed.subscribe();
    let mut sent = 0;
    loop {
        changes.borrow_and_update();
        let (begun, stamp) = lock(&board.origins).recorded_since(sent, MAX_BATCH, now(board));
        if begun.is_empty() && stamp == sent {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
            continue;
        }
        let told = tokio::time::timeout(ANSWER_TIMEOUT, client.remember(begun)).await;
        match told {
            Ok(Ok(())) => sent = stamp,
            // Voters of a build that keeps no origins refuse the call.
            Ok(Err(jsonrpsee::core::client::Error::Call(_))) => {
                return std::future::pending().await
            }
            Ok(Err(_)) | Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Asks all voters for a stream's origin. Without a key, or if none knows the stream, it began at the only
/// build of `service` if there has been only one.
pub(super) async fn find(
    board: Shared,
    key: Option<Key>,
    service: Option<name::Service>,
    within: Duration,
) -> Found {
    let found = ask_all(&board, key, service.as_ref(), within).await;
    if found != Found::Unknown || key.is_none() {
        return found;
    }
    tokio::time::sleep(ASK_AGAIN_DELAY).await;
    ask_all(&board, key, service.as_ref(), within).await
}

/// Asks all voters once. The first one that knows the stream is believed.
pub(super) async fn ask_all(
    board: &Shared,
    key: Option<Key>,
    service: Option<&name::Service>,
    within: Duration,
) -> Found {
    let voters: Vec<(SocketAddr, _)> = {
        let voters = lock(&board.voters);
        let voters = voters.iter();
        voters.map(|(at, client)| (*at, client.clone())).collect()
    };
    // A box tracks only a few of many voters; these ask the others.
    let asks_others = voters.len() > follow::TRACK_ALL_UP_TO;
    let question = Question {
        key,
        service: service.cloned(),
        within_ms: u64::try_from(within.as_millis()).unwrap_or(u64::MAX),
        asks_others,
    };
    let asked = voters.into_iter().map(|(_, client)| client);
    let asked = asked.filter(|client| client.is_some() || !asks_others);
    let mut pending: FuturesUnordered<_> = asked.map(|client| ask(client, &question)).collect();
    let mut answers = Vec::new();
    while let Some(answer) = pending.next().await {
        let found = answer.as_ref().map(|answer: &Answer| answer.found.clone());
        if let Some(found) = found.filter(|found| *found != Found::Unknown) {
            return found;
        }
        answers.push(answer);
    }
    service.map_or(Found::Unknown, |service| origin::combine(service, &answers))
}

/// Asks one voter; `None` if it does not answer in time.
async fn ask(client: Option<Arc<WsClient>>, question: &Question) -> Option<Answer> {
    let client = client?;
    let asked = client.origin(question.clone());
    tokio::time::timeout(ANSWER_TIMEOUT, asked).await.ok()?.ok()
}
