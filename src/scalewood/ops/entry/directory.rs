//! Follows the registry of every voter, and hears which configuration each has.
//!
//! One connection to each voter: whichever of them an endpoint spoke to, this box hears
//! of it at once, and no single voter that is cut off or behind can keep news from it.

use std::{
    collections::{btree_map, BTreeMap},
    net::SocketAddr,
    sync::{atomic::Ordering, Arc, Mutex},
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;
use tokio::sync::watch;

use crate::{
    core::{dispatch, name, pace, registry, unit},
    event,
    ops::{
        entry::{desk, exchange, fetch, now, Shared},
        rpc,
    },
    util::lock::lock,
    wire::registry::{News, RegistryClient as _},
};

/// How long a voter may be silent.
const SILENCE: Duration = Duration::from_millis(2500);
/// How often what was measured here is told, if it has changed.
const TELL: Duration = Duration::from_millis(250);
/// The wait before a voter that was lost is tried again: short at first.
const AGAIN: Duration = Duration::from_millis(250);
const SOON: Duration = Duration::from_millis(50);
/// Failures after which it is tried less often.
const SOON_TRIES: u32 = 8;
/// How long a voter that is no member any more is still followed.
const ATTEMPTS: u32 = 40;
/// How long after its first link to a voter a box takes endpoints that voters only remember.
const JUST_STARTED: Duration = Duration::from_secs(2);
/// How long an endpoint may be unheard of before it is forgotten.
const FORGET: Duration = Duration::from_secs(7);
/// How often that is looked at.
const SWEEP: Duration = Duration::from_secs(1);

/// A voter that is followed.
#[derive(Clone, Debug, Default)]
pub(super) struct Voter {
    /// The connection to it, while it is up.
    pub(super) client: Option<Arc<WsClient>>,
    /// Its availability zone, once it has told it.
    pub(super) zone: Option<name::Zone>,
}

/// The voters that are followed.
pub(super) type Followed = Arc<Mutex<BTreeMap<SocketAddr, Voter>>>;

/// Follows the voters for ever, also those that it hears of on the way.
pub(super) async fn run(board: Shared, mut voters: watch::Receiver<Vec<SocketAddr>>) {
    let followed = Followed::default();
    tokio::spawn(exchange::run(board.clone(), followed.clone()));
    tokio::spawn(fetch::run(board.clone(), followed.clone()));
    loop {
        let named = voters.borrow_and_update().clone();
        add(&board, &followed, &named);
        let _ = tokio::time::timeout(SWEEP, voters.changed()).await;
        forget(&board);
    }
}

/// Forgets endpoints that nobody has heard of for long, while voters are followed.
fn forget(board: &Shared) {
    {
        let registry = lock(&board.registry);
        lock(&board.paces).retain(|name| registry.knows(name));
    }
    let now = now(board);
    let mut forgotten = lock(&board.registry).expire_restored(now);
    let linked_since = *lock(&board.linked_since);
    if linked_since.is_some_and(|since| now >= since + FORGET) {
        forgotten.extend(lock(&board.registry).expire(now.saturating_sub(FORGET)));
    }
    for record in forgotten {
        event!(board.log, EndpointForgotten, "endpoint" => %record.name,
            "service" => %record.service);
    }
}

fn add(board: &Shared, followed: &Followed, voters: &[SocketAddr]) {
    let mut known = lock(followed);
    for voter in voters {
        if let btree_map::Entry::Vacant(vacant) = known.entry(*voter) {
            vacant.insert(Voter::default());
            tokio::spawn(keep(board.clone(), followed.clone(), *voter));
        }
    }
}

/// Follows one voter until it has been unreachable for long.
async fn keep(board: Shared, followed: Followed, voter: SocketAddr) {
    let mut failures = 0;
    while failures < ATTEMPTS {
        let within = rpc::patience(failures / 2);
        failures += 1;
        if let Ok(client) = rpc::connect_within(voter, within).await {
            failures = 0;
            event!(board.log, RegistryFound, "voter" => %voter);
            note_link(&board, true);
            note_client(&followed, voter, Some(client.clone()));
            follow(&board, &followed, voter, &client).await;
            note_client(&followed, voter, None);
            lock(&board.catchup).lost(voter);
            note_link(&board, false);
            event!(board.log, RegistryLost, "voter" => %voter);
        }
        let wait = if failures < SOON_TRIES { SOON } else { AGAIN };
        tokio::time::sleep(wait).await;
    }
    lock(&followed).remove(&voter);
}

fn note_client(followed: &Followed, voter: SocketAddr, client: Option<Arc<WsClient>>) {
    if let Some(known) = lock(followed).get_mut(&voter) {
        known.client = client;
    }
}

fn note_zone(followed: &Followed, voter: SocketAddr, zone: &name::Zone) {
    if let Some(known) = lock(followed).get_mut(&voter) {
        known.zone = Some(zone.clone());
    }
}

/// Notes the revision that a voter tells, for the fetcher.
fn note_revision(board: &Shared, followed: &Followed, voter: SocketAddr, revision: unit::Revision) {
    let zone = lock(followed).get(&voter).and_then(|v| v.zone.clone());
    let near = zone.as_ref() == Some(&board.own.zone);
    lock(&board.catchup).told(voter, revision, near, now(board));
    if revision > board.feed.current().revision {
        board.told.notify_one();
    }
}

/// Notes whether one more voter is followed, or one less.
fn note_link(board: &Shared, up: bool) {
    let count = |links: &mut u32| {
        *links = if up {
            *links + 1
        } else {
            links.saturating_sub(1)
        }
    };
    board.links_up.send_modify(count);
    let links = *board.links_up.borrow();
    let mut since = lock(&board.linked_since);
    *since = match (links, *since) {
        (0, _) => None,
        (_, None) => Some(now(board)),
        (_, since) => since,
    };
}

async fn follow(board: &Shared, followed: &Followed, voter: SocketAddr, client: &Arc<WsClient>) {
    let Ok(mut news) = client.follow(board.own.name.clone()).await else {
        return;
    };
    let mut told = BTreeMap::new();
    let mut heard = now(board);
    loop {
        match tokio::time::timeout(TELL, news.next()).await {
            Ok(Some(Ok(next))) => {
                heard = now(board);
                add(board, followed, &next.voters);
                if let Some(zone) = &next.zone {
                    note_zone(followed, voter, zone);
                }
                note_revision(board, followed, voter, next.revision);
                take(board, next);
            }
            Ok(_) => return,
            Err(_) if now(board) > heard + SILENCE => return,
            Err(_) => {}
        }
        let paces = measured(board, &mut told);
        if !paces.is_empty()
            && client
                .measured(board.own.name.clone(), paces)
                .await
                .is_err()
        {
            return;
        }
    }
}

/// The paces measured here that differ from what was told before.
fn measured(board: &Shared, told: &mut BTreeMap<name::Endpoint, pace::Pace>) -> Vec<pace::Paced> {
    let meters = lock(&board.paces);
    let mut news = Vec::new();
    for (name, pace) in meters.known() {
        if pace.is_news(told.get(name).copied()) {
            told.insert(name.clone(), pace);
            news.push(pace::Paced {
                endpoint: name.clone(),
                pace,
            });
        }
    }
    news
}

fn take(board: &Shared, news: News) {
    let now = now(board);
    note_sharers(board, news.followers);
    let has_just_started = lock(&board.linked_since).is_none_or(|since| now < since + JUST_STARTED);
    let mut registry = lock(&board.registry);
    if has_just_started && !news.restored.is_empty() {
        event!(board.log, EndpointsRestored, "endpoints" => news.restored.len());
        for record in news.restored {
            registry.restore(record, now);
        }
    }
    for record in news.changed {
        take_record(board, &mut registry, record, now);
    }
    for told in news.leaving {
        if registry.note_leaving(&told.name, told.start).is_news() {
            event!(board.log, EndpointLeaving, "endpoint" => %told.name, "by" => "a voter",
                "incarnation" => told.start.map(|start| start.0));
        }
    }
    for name in registry.take_ends(&news.gone, &news.ended, &news.left) {
        event!(board.log, EndpointGone, "endpoint" => %name);
    }
    for name in news.heard {
        registry.hear(&name, now);
    }
    for paced in news.paces {
        lock(&board.paces).adopt(&paced.endpoint, paced.pace, now);
        registry.set_pace(&paced.endpoint, paced.pace);
    }
    if registry.regrade() {
        let slow = registry.graded().filter(|(_, slow)| *slow);
        let slow: Vec<_> = slow.map(|(record, _)| record.name.as_str()).collect();
        event!(board.log, EndpointsGraded, "slow" => slow.join(" "));
    }
}

fn take_record(
    board: &Shared,
    registry: &mut registry::Registry,
    record: registry::Record,
    now: Duration,
) {
    let (name, state) = (record.name.clone(), record.state);
    let (sequence, incarnation) = (record.sequence, record.incarnation);
    let before = registry.get(&name).and_then(|known| known.incarnation);
    let merged = registry.merge(record, now);
    if merged == registry::Merged::Restarted {
        // What was measured was of an earlier start.
        lock(&board.paces).forget(&name);
        event!(board.log, EndpointRestarted, "endpoint" => %name,
            "incarnation" => incarnation.map(|i| i.0), "before" => before.map(|i| i.0),
            "sequence" => sequence);
    }
    if !merged.is_news() {
        return;
    }
    event!(board.log, EndpointAnnounced, "endpoint" => %name, "state" => ?state,
        "sequence" => sequence);
    if let Some(by) = registry.displaced_by(&name) {
        event!(board.log, EndpointDisplaced, "endpoint" => %name, "by" => %by,
            "sequence" => sequence);
    }
}

/// Notes how many boxes use the same endpoints, for the dispatchers here.
fn note_sharers(board: &Shared, count: u32) {
    if board.sharers.swap(count, Ordering::Relaxed) == count {
        return;
    }
    for service in desk::held(board) {
        desk::input(board, &service, dispatch::Input::Sharers(count));
    }
}
