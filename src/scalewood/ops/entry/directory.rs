//! Tracks the registries of some voters, and the configuration revision that each reports.
//!
//! Each voter reports all endpoints, including those that announced themselves to another voter.
//! `core::follow` decides which voters are tracked.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc, Mutex},
    time::Duration,
};

use jsonrpsee::ws_client::WsClient;
use tokio::sync::watch;

use crate::{
    core::{dispatch, follow, name, registry, unit},
    event,
    ops::{
        entry::{dispatchers, exchange, fetch, now, origin, Shared},
        rpc,
    },
    util::lock::lock,
    wire::registry::{Location, RegistryClient as _, RegistryUpdate, Tracker},
};

/// How long a voter may be silent before the connection to it is given up.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// How long to wait for a voter's update before the changed paces measured here are reported to it.
/// They are also reported after each update.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The wait before connecting to a voter again after `FIRST_RETRIES` failures in a row.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The wait before connecting to a voter again after fewer failures in a row.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The number of failures in a row after which a voter is tried less often.
const FIRST_RETRIES: u32 = 8;
/// The number of failures in a row after which a voter is forgotten, since it may have left the
/// voters for good. It is added again if the settings or another voter name it.
const MAX_FAILURES: u32 = 40;
/// How long a box accepts endpoints that a voter restored from before its own start. Counts from
/// when the box connected to a voter while it was connected to no other.
const RESTORE_WINDOW: Duration = Duration::from_secs(2);
/// How often silent endpoints are removed, and unknown zones of voters are requested.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often the voters to track are chosen.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a voter may take to report the addresses and zones of the voters.
const PLACES_TIMEOUT: Duration = Duration::from_millis(500);

/// A known voter.
#[derive(Clone, Debug, Default)]
pub(super) struct Voter {
    /// The connection to it, while there is one.
    pub(super) client: Option<Arc<WsClient>>,
    /// Its availability zone and its state, from which the tracked voters are chosen.
    pub(super) candidate: follow::Candidate,
    /// Whether it was chosen to be tracked.
    wanted: bool,
    /// Whether a task tracks it.
    tracked: bool,
}

impl Voter {
    /// Returns whether the voter is known to be in a zone.
    pub(super) fn is_in(&self, zone: &name::Zone) -> bool {
        self.candidate.zone.as_ref() == Some(zone)
    }
}

/// The known voters by address.
pub(super) type Voters = Arc<Mutex<BTreeMap<SocketAddr, Voter>>>;

/// Tracks voters, including those that other voters report, for ever.
pub(super) async fn run(board: Shared, mut voters: watch::Receiver<Vec<SocketAddr>>) {
    let known_voters = Voters::default();
    tokio::spawn(exchange::run(board.clone(), known_voters.clone()));
    tokio::spawn(fetch::run(board.clone(), known_voters.clone()));
    let named = voters.borrow().clone();
    ask_places(&board, &known_voters, &named).await;
    let mut swept_at = now(&board);
    loop {
        let named = voters.borrow_and_update().clone();
        add_voters(&known_voters, &named);
        choose(&board, &known_voters);
        let _ = tokio::time::timeout(CHOOSE_INTERVAL, voters.changed()).await;
        if now(&board) >= swept_at + SWEEP_INTERVAL {
            swept_at = now(&board);
            remove_silent(&board);
            tokio::spawn(locate(known_voters.clone()));
        }
    }
}

/// Asks a connected voter for the zones of all voters if some are unknown.
async fn locate(known_voters: Voters) {
    let client = {
        let known = lock(&known_voters);
        let unknown = known.values().any(|voter| voter.candidate.zone.is_none());
        let mut connected = known.values().filter_map(|voter| voter.client.clone());
        connected.next().filter(|_| unknown)
    };
    let Some(client) = client else {
        return;
    };
    // After a failure the next sweep asks again.
    if let Ok(Ok(places)) = tokio::time::timeout(PLACES_TIMEOUT, client.places()).await {
        record_locations(&known_voters, places);
    }
}

fn record_locations(known_voters: &Voters, places: Vec<Location>) {
    let mut known = lock(known_voters);
    for place in places.into_iter().filter(|place| place.zone.is_some()) {
        known.entry(place.address).or_default().candidate.zone = place.zone;
    }
}

/// Asks all voters of the settings at once for the zones of the voters, and uses the first answer
/// that names any. A box that knows the voters of its zone from the start requests no full registry
/// from another zone.
async fn ask_places(board: &Shared, known_voters: &Voters, named: &[SocketAddr]) {
    if named.is_empty() {
        return;
    }
    let asked = named.iter().map(|voter| Box::pin(places(*voter)));
    let first = futures_util::future::select_ok(asked);
    let answer = tokio::time::timeout(PLACES_TIMEOUT, first).await;
    let Ok(Ok((places, _))) = answer else {
        event!(board.log, VoterAddressesUnknown, "voters" => named.len());
        return;
    };
    record_locations(known_voters, places);
}

/// Returns the voters that a voter reports, or an error if it knows the zone of none.
async fn places(voter: SocketAddr) -> Result<Vec<Location>, ()> {
    let client = rpc::connect_within(voter, PLACES_TIMEOUT)
        .await
        .map_err(drop)?;
    let places = client.places().await.map_err(drop)?;
    let any_located = places.iter().any(|place| place.zone.is_some());
    if any_located {
        Ok(places)
    } else {
        Err(())
    }
}

/// Chooses the voters to track, and starts to track those that are not tracked yet.
fn choose(board: &Shared, known_voters: &Voters) {
    let mut known = lock(known_voters);
    let candidates = known
        .iter()
        .map(|(at, voter)| (*at, voter.candidate.clone()));
    let now = now(board);
    publish_clients(board, &known);
    let chosen = follow::choose(&board.own.name, &board.own.zone, &candidates.collect(), now);
    for (address, voter) in known.iter_mut() {
        voter.wanted = chosen.contains(address);
        if voter.wanted && !voter.tracked {
            voter.tracked = true;
            voter.candidate.state = follow::State::Asked(now);
            tokio::spawn(keep_tracking(board.clone(), known_voters.clone(), *address));
        }
    }
}

/// Removes restored endpoints whose heartbeat is overdue, and, if a voter has been tracked for long
/// enough, endpoints that have been silent for too long. Also forgets the paces of unknown
/// endpoints.
fn remove_silent(board: &Shared) {
    {
        let registry = lock(&board.registry);
        lock(&board.paces).retain(|name| registry.knows(name));
    }
    let now = now(board);
    let mut registry = lock(&board.registry);
    let mut forgotten = registry.expire_restored(now);
    let followed_since = *lock(&board.registry_followed_since);
    let silence = registry.timing().max_silence();
    if followed_since.is_some_and(|since| now >= since + silence) {
        forgotten.extend(registry.expire_silent(now));
    }
    drop(registry);
    for record in forgotten {
        event!(board.log, EndpointForgotten, "endpoint" => %record.name,
            "service" => %record.service);
    }
}

fn add_voters(known_voters: &Voters, voters: &[SocketAddr]) {
    let mut known = lock(known_voters);
    for voter in voters {
        known.entry(*voter).or_default();
    }
}

/// Tracks a voter while it is wanted, until it has failed `MAX_FAILURES` times in a row.
async fn keep_tracking(board: Shared, known_voters: Voters, voter: SocketAddr) {
    let mut failures = 0;
    while failures < MAX_FAILURES && is_wanted(&known_voters, voter) {
        let within = rpc::connect_timeout(failures / 2);
        failures += 1;
        if let Ok(client) = rpc::connect_within(voter, within).await {
            failures = 0;
            event!(board.log, RegistryFound, "voter" => %voter);
            record_link(&board, true);
            record_client(&board, &known_voters, voter, Some(client.clone()));
            tokio::select! {
                () = follow(&board, &known_voters, voter, &client) => {}
                () = origin::report(&board, &client) => {}
            }
            record_client(&board, &known_voters, voter, None);
            lock(&board.catchup).remove_voter(voter);
            record_link(&board, false);
            event!(board.log, RegistryLost, "voter" => %voter);
        }
        record_state(&known_voters, voter, follow::State::Unknown);
        let wait = if failures < FIRST_RETRIES {
            FIRST_RETRY_DELAY
        } else {
            RETRY_DELAY
        };
        tokio::time::sleep(wait).await;
    }
    let mut known = lock(&known_voters);
    if failures >= MAX_FAILURES {
        known.remove(&voter);
    } else if let Some(known) = known.get_mut(&voter) {
        known.tracked = false;
        known.candidate.state = follow::State::Idle;
    }
}

fn is_wanted(known_voters: &Voters, voter: SocketAddr) -> bool {
    let known = lock(known_voters);
    known.get(&voter).is_some_and(|voter| voter.wanted)
}

fn record_state(known_voters: &Voters, voter: SocketAddr, state: follow::State) {
    if let Some(known) = lock(known_voters).get_mut(&voter) {
        known.candidate.state = state;
    }
}

fn record_client(
    board: &Shared,
    known_voters: &Voters,
    voter: SocketAddr,
    client: Option<Arc<WsClient>>,
) {
    let mut known = lock(known_voters);
    if let Some(known) = known.get_mut(&voter) {
        known.client = client;
    }
    publish_clients(board, &known);
}

/// Makes the connections to voters known to the requests of this box.
fn publish_clients(board: &Shared, known: &BTreeMap<SocketAddr, Voter>) {
    let clients = known.iter().map(|(at, voter)| (*at, voter.client.clone()));
    *lock(&board.voters) = clients.collect();
}

fn record_zone(known_voters: &Voters, voter: SocketAddr, zone: &name::Zone) {
    if let Some(known) = lock(known_voters).get_mut(&voter) {
        known.candidate.zone = Some(zone.clone());
    }
}

/// Records the revision that a voter reports, and wakes the fetcher if it is newer.
fn record_revision(
    board: &Shared,
    known_voters: &Voters,
    voter: SocketAddr,
    revision: unit::Revision,
) {
    let same_zone = lock(known_voters)
        .get(&voter)
        .is_some_and(|v| v.is_in(&board.own.zone));
    lock(&board.catchup).record_announced(voter, revision, same_zone, now(board));
    if revision > board.feed.current().revision {
        board.config_announced.notify_one();
    }
}

/// Counts a connection to a voter that came up (`up`) or was lost.
fn record_link(board: &Shared, up: bool) {
    let count = |links: &mut u32| {
        *links = if up {
            *links + 1
        } else {
            links.saturating_sub(1)
        }
    };
    board.followed_voters.send_modify(count);
    let links = *board.followed_voters.borrow();
    let mut since = lock(&board.registry_followed_since);
    *since = match (links, *since) {
        (0, _) => None,
        (_, None) => Some(now(board)),
        (_, since) => since,
    };
}

/// Applies the updates of a voter's registry and reports the paces measured here, until the
/// connection fails, the voter is silent for too long or it is not to be tracked any more.
async fn follow(board: &Shared, known_voters: &Voters, voter: SocketAddr, client: &Arc<WsClient>) {
    let own = board.own.name.clone();
    let update = match client.track(own.clone(), Tracker::Box).await {
        Ok(update) => Ok(update),
        // A voter of a build without `track` names the endpoints that sent a heartbeat instead of
        // vouching for endpoints.
        Err(_) => client.follow(own).await,
    };
    let mut update = match update {
        Ok(update) => update,
        Err(error) => {
            event!(board.log, RegistryNotTracked, "voter" => %voter, "why" => %error);
            return;
        }
    };
    let by: name::Box = voucher_name(voter);
    let voucher = lock(&board.registry).register_voucher(&by);
    let mut sent_stamp = 0;
    let mut heard_at = now(board);
    loop {
        match tokio::time::timeout(REPORT_INTERVAL, update.next()).await {
            Ok(Some(Ok(next))) => {
                heard_at = now(board);
                add_voters(known_voters, &next.voters);
                record_state(known_voters, voter, voter_state(&next));
                if let Some(zone) = &next.zone {
                    record_zone(known_voters, voter, zone);
                }
                record_revision(board, known_voters, voter, next.revision);
                apply(board, voucher, next);
            }
            Ok(_) => return,
            Err(_) if !is_wanted(known_voters, voter) => return,
            Err(_) if now(board) > heard_at + MAX_SILENCE => return,
            Err(_) => {}
        }
        let (paces, stamp) = lock(&board.paces).measured_since(sent_stamp);
        sent_stamp = stamp;
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

/// Returns the state of a voter that sent an update.
fn voter_state(update: &RegistryUpdate) -> follow::State {
    match (update.vouches, update.in_touch) {
        (false, _) => follow::State::Unknown,
        (true, true) => follow::State::InTouch,
        (true, false) => follow::State::CutOff,
    }
}

/// Returns the name under which the registry of this box records the endpoints that a voter vouches
/// for.
fn voucher_name(voter: SocketAddr) -> name::Box {
    let name = format!("voter-{}-{}", voter.ip(), voter.port()).replace(':', ".");
    name.parse().expect("an address makes a valid name")
}

/// Applies a voter's update to the state of this box, and logs what changed.
fn apply(board: &Shared, voucher: Option<registry::Voucher>, update: RegistryUpdate) {
    let now = now(board);
    record_sharers(board, update.followers);
    let restores =
        lock(&board.registry_followed_since).is_none_or(|since| now < since + RESTORE_WINDOW);
    let mut registry = lock(&board.registry);
    if restores && !update.restored.is_empty() {
        event!(board.log, EndpointsRestored, "endpoints" => update.restored.len());
        for record in update.restored {
            registry.restore(record, now);
        }
    }
    for record in update.changed {
        let name = record.name.clone();
        apply_record(board, &mut registry, record, now);
        if let Some(voucher) = voucher {
            registry.vouch_for(&name, voucher);
        }
    }
    for leaving in update.leaving {
        if registry
            .record_leaving(&leaving.name, leaving.start)
            .must_propagate()
        {
            event!(board.log, EndpointLeaving, "endpoint" => %leaving.name, "by" => "a voter",
                "incarnation" => leaving.start.map(|start| start.0));
        }
    }
    for name in registry.apply_ends(&update.gone, &update.ended, &update.left) {
        event!(board.log, EndpointGone, "endpoint" => %name);
    }
    for name in update.heard {
        registry.record_heard(&name, now);
    }
    if let Some(voucher) = voucher {
        for name in &update.silent {
            registry.withdraw_vouch(name, voucher);
        }
        if update.vouches {
            registry.record_vouch(voucher, now);
        }
    }
    for paced in update.paces {
        lock(&board.paces).adopt(&paced.endpoint, paced.pace, now);
        registry.set_pace(&paced.endpoint, paced.pace);
    }
    if registry.regrade() {
        let slow = registry.records_with_slowness().filter(|(_, slow)| *slow);
        let slow: Vec<_> = slow.map(|(record, _)| record.name.as_str()).collect();
        event!(board.log, SlowEndpointsChanged, "slow" => slow.join(" "));
    }
}

fn apply_record(
    board: &Shared,
    registry: &mut registry::Registry,
    record: registry::Record,
    now: Duration,
) {
    let (name, state) = (record.name.clone(), record.state);
    let (sequence, incarnation) = (record.sequence, record.incarnation);
    let build = record.build.clone();
    let before = registry.get(&name).and_then(|known| known.incarnation);
    let merged = registry.merge(record, now);
    if merged == registry::Merged::Restarted {
        // The pace was measured on an earlier start.
        lock(&board.paces).forget(&name);
        event!(board.log, EndpointRestarted, "endpoint" => %name,
            "incarnation" => incarnation.map(|i| i.0), "before" => before.map(|i| i.0),
            "sequence" => sequence);
    }
    if !merged.must_propagate() {
        return;
    }
    event!(board.log, EndpointAnnounced, "endpoint" => %name, "state" => ?state,
        "sequence" => sequence, "build" => %build);
    if let Some(by) = registry.displaced_by(&name) {
        event!(board.log, EndpointDisplaced, "endpoint" => %name, "by" => %by,
            "sequence" => sequence);
    }
}

/// Records how many boxes use the same endpoints, and passes the number to the dispatchers of this
/// box.
fn record_sharers(board: &Shared, count: u32) {
    if board.box_count.swap(count, Ordering::Relaxed) == count {
        return;
    }
    for service in dispatchers::services(board) {
        dispatchers::apply_input(board, &service, dispatch::Input::BoxCount(count));
    }
}
