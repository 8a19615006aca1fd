//! Membership: probes the peers of the zone, and a few boxes of other zones for their loads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jsonrpsee::ws_client::WsClient;
use rand::seq::IteratorRandom as _;

use crate::{
    core::name,
    event,
    ops::{
        entry::{now, Shared},
        rpc,
    },
    util::lock::lock,
    wire::peer::{Load, PeerClient as _, Probe},
};

/// How often the membership state is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// How often one box of the other zones, chosen at random, is probed.
const OTHER_ZONES_INTERVAL: Duration = Duration::from_millis(1000);
/// The most loads in one probe, which bounds its cost for any number of services and zones.
const LOADS_PER_PROBE: usize = 3;
/// The age from which on a load is neither used nor passed on.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

type Clients = BTreeMap<name::Box, Arc<WsClient>>;

/// Advances the membership and probes other boxes, for ever.
pub(super) async fn run(board: Shared) {
    let clients = Arc::new(tokio::sync::Mutex::new(Clients::new()));
    let mut other_zones_probed_at = Duration::ZERO;
    loop {
        board.beat();
        let due = {
            let mut members = lock(&board.members);
            let view = board.view.load();
            members.configure(view.boxes_of(&board.own.zone).cloned(), now(&board));
            members.tick(now(&board))
        };
        publish(&board);
        for peer in due {
            tokio::spawn(probe(board.clone(), clients.clone(), peer, true));
        }
        if now(&board) >= other_zones_probed_at + OTHER_ZONES_INTERVAL {
            other_zones_probed_at = now(&board);
            if let Some(peer) = pick_in_other_zones(&board) {
                tokio::spawn(probe(board.clone(), clients.clone(), peer, false));
            }
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Writes the list of live boxes to the board, and logs its changes.
fn publish(board: &Shared) {
    let alive = lock(&board.members).alive();
    let before = board.live_boxes.load();
    if **before == alive {
        return;
    }
    for name in alive.iter().filter(|name| !before.contains(name)) {
        event!(board.log, MemberAlive, "box" => %name);
    }
    for name in before.iter().filter(|name| !alive.contains(name)) {
        event!(board.log, MemberDead, "box" => %name);
    }
    board.live_boxes.store(Arc::new(alive));
}

fn pick_in_other_zones(board: &Shared) -> Option<name::Box> {
    let view = board.view.load();
    let others = view
        .document
        .boxes
        .iter()
        .filter(|(_, item)| item.zone != board.own.zone);
    others
        .map(|(name, _)| name)
        .choose(&mut rand::rng())
        .cloned()
}

async fn probe(
    board: Shared,
    clients: Arc<tokio::sync::Mutex<Clients>>,
    peer: name::Box,
    own_zone: bool,
) {
    let exchange = exchange_probes(&board, &clients, &peer);
    match tokio::time::timeout(PROBE_TIMEOUT, exchange).await {
        Ok(Some(answer)) => merge(&board, answer),
        Ok(None) | Err(_) => {
            clients.lock().await.remove(&peer);
            if own_zone {
                lock(&board.members).record_unanswered(&peer, now(&board));
            }
        }
    }
}

async fn exchange_probes(
    board: &Shared,
    clients: &tokio::sync::Mutex<Clients>,
    peer: &name::Box,
) -> Option<Probe> {
    let known = clients
        .lock()
        .await
        .get(peer)
        .filter(|c| c.is_connected())
        .cloned();
    let client = match known {
        Some(client) => client,
        None => {
            let address = board.view.load().document.boxes.get(peer)?.address;
            let client = rpc::connect(address).await.ok()?;
            clients.lock().await.insert(peer.clone(), client.clone());
            client
        }
    };
    client.probe(message(board)).await.ok()
}

/// Returns the probe message of this box: its membership updates, and a random choice of the loads
/// that are not too old.
pub(super) fn message(board: &Shared) -> Probe {
    let now = now(board);
    let loads = lock(&board.loads);
    let fresh = loads
        .iter()
        .filter(|(_, (_, at))| now.saturating_sub(*at) < MAX_LOAD_AGE);
    let chosen = fresh.choose_multiple(&mut rand::rng(), LOADS_PER_PROBE);
    let aged = chosen.into_iter().map(|((service, _), (load, at))| {
        let age = now.saturating_sub(*at).as_millis();
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        (
            service.clone(),
            Load {
                age_ms,
                ..load.clone()
            },
        )
    });
    Probe {
        zone: board.own.zone.clone(),
        members: lock(&board.members).message(),
        loads: aged.collect(),
    }
}

/// Applies another box's probe message: membership updates if it is in this zone, and loads that
/// are newer than the known ones.
pub(super) fn merge(board: &Shared, probe: Probe) {
    let now = now(board);
    if probe.zone == board.own.zone {
        lock(&board.members).receive(probe.members, now);
    }
    let mut loads = lock(&board.loads);
    for (service, load) in probe.loads {
        if load.dispatcher == board.own.name {
            continue;
        }
        let at = now.saturating_sub(Duration::from_millis(load.age_ms.into()));
        let key = (service, load.zone.clone());
        if loads.get(&key).is_none_or(|(_, known)| *known < at) {
            loads.insert(key, (load, at));
        }
    }
}

/// Returns the fresh loads of a service's dispatchers in other zones.
pub(super) fn loads_in_other_zones(board: &Shared, service: &name::Service) -> Vec<Load> {
    let now = now(board);
    let loads = lock(&board.loads);
    let elsewhere = loads.iter().filter(|((of, zone), (_, at))| {
        of == service && *zone != board.own.zone && now.saturating_sub(*at) < MAX_LOAD_AGE
    });
    elsewhere.map(|(_, (load, _))| load.clone()).collect()
}

/// Returns the load of a service's dispatcher in this zone, if it is fresh.
pub(super) fn load_in_zone(board: &Shared, service: &name::Service) -> Option<Load> {
    let now = now(board);
    let loads = lock(&board.loads);
    let (load, at) = loads.get(&(service.clone(), board.own.zone.clone()))?;
    (now.saturating_sub(*at) < MAX_LOAD_AGE).then(|| load.clone())
}
