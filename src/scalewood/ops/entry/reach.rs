//! Watches this box's links to endpoints, and knows the boxes that serve requests while they are
//! lost.

use std::{
    future::Future,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::atomic::Ordering,
    time::Duration,
};

use tokio::net::TcpStream;

use crate::{
    core::{dispatch, name, reach},
    event,
    ops::entry::{dispatchers, now, Shared},
    util::lock::lock,
};

/// How long a connection to an endpoint may take to open in a check, or over lost links.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection that a check has opened must stay open: a middlebox may accept connections
/// that it then resets.
const MIN_OPEN: Duration = Duration::from_millis(20);
/// The interval at which lost links are checked.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a request waits until a voter has named other boxes.
const PEERS_TIMEOUT: Duration = Duration::from_millis(150);

/// Records that an attempt at an endpoint of a service failed without an answer.
pub(super) fn record_failure(board: &Shared, service: &name::Service, endpoint: &name::Endpoint) {
    board.has_link_failures.store(true, Ordering::Relaxed);
    let begins = lock(&board.links_to_endpoints).record_failure(service, endpoint, now(board));
    if begins {
        tokio::spawn(check(board.clone(), service.clone()));
    }
}

/// Records that an endpoint of a service has answered, over a new connection or one that was open.
pub(super) fn record_answer(board: &Shared, service: &name::Service, is_new: bool) {
    if !board.has_link_failures.load(Ordering::Relaxed) {
        return;
    }
    let mut links = lock(&board.links_to_endpoints);
    links.record_answer(service, is_new);
    let any = links.has_failures();
    board.has_link_failures.store(any, Ordering::Relaxed);
}

/// Returns whether the links to a service's endpoints are lost.
pub(super) fn is_lost(board: &Shared, service: &name::Service) -> bool {
    board.has_link_failures.load(Ordering::Relaxed)
        && lock(&board.links_to_endpoints).is_lost(service)
}

/// Returns whether the links to a service's endpoints are lost, once a check that is under way has
/// ended.
pub(super) async fn is_found_lost(board: &Shared, service: &name::Service) -> bool {
    if !board.has_link_failures.load(Ordering::Relaxed) {
        return false;
    }
    let mut changes = board.reach_changed.subscribe();
    while lock(&board.links_to_endpoints).is_checking(service) {
        if changes.changed().await.is_err() {
            break;
        }
    }
    is_lost(board, service)
}

/// Returns whether failures at a service's endpoints may come from the links.
pub(super) fn is_doubtful(board: &Shared, service: &name::Service) -> bool {
    board.has_link_failures.load(Ordering::Relaxed)
        && lock(&board.links_to_endpoints).is_doubtful(service, now(board))
}

/// Waits until the links to a service's endpoints are lost and another box can serve its requests.
pub(super) async fn forwardable(board: &Shared, service: &name::Service) {
    let mut changes = board.reach_changed.subscribe();
    while !is_lost(board, service) || known_peer(board, service).is_none() {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Chooses another box to serve a request of a service. Waits briefly if no voter has named any
/// since the links were lost.
pub(super) async fn pick_peer(board: &Shared, service: &name::Service) -> Option<reach::Peer> {
    let mut changes = board.reach_changed.subscribe();
    let answered = async {
        while !lock(&board.peers).is_answered(service) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(PEERS_TIMEOUT, answered).await;
    known_peer(board, service)
}

/// Chooses one of the boxes that are known to reach a service.
pub(super) fn known_peer(board: &Shared, service: &name::Service) -> Option<reach::Peer> {
    let regions = &board.own.regions;
    let region = regions.region_of(&board.own.zone);
    // The request must not leave the region, which may be the only one that it is allowed in.
    let is_permitted = |peer: &reach::Peer| regions.region_of(&peer.zone) == region;
    let zone = &board.own.zone;
    lock(&board.peers).pick(service, zone, is_permitted, now(board), &mut rand::rng())
}

/// Returns what this box reports to its voter about its links.
pub(super) fn report(board: &Shared) -> reach::Report {
    let address = *lock(&board.forwarded_at);
    reach::Report {
        zone: board.own.zone.clone(),
        address: address.filter(|_| !board.is_draining()),
        lost: lock(&board.links_to_endpoints).lost(),
    }
}

/// Replaces the boxes that may serve requests for this one by those that a voter has named for lost
/// services.
pub(super) fn set_peers(board: &Shared, lost: Vec<name::Service>, peers: Vec<reach::Peer>) {
    if lost.is_empty() {
        return;
    }
    lock(&board.peers).replace(lost, peers);
    signal(board);
}

/// Returns the address that other boxes can use for a listener at `address`, if it names one.
pub(super) fn reachable(address: SocketAddr) -> Option<SocketAddr> {
    let is_any = match address.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    (!is_any).then_some(address)
}

/// Wakes the requests that wait for a change of the links or of the other boxes.
fn signal(board: &Shared) {
    board.reach_changed.send_modify(|changes| *changes += 1);
}

/// Checks the links to a service's endpoints, and if they are lost, until they work again.
async fn check(board: Shared, service: name::Service) {
    if !check_once(&board, &service).await {
        return;
    }
    check_other_services(&board, &service);
    loop {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        let opened = opens_any(&board, &service, 1).await;
        let now = now(&board);
        let change = lock(&board.links_to_endpoints).finish_check(&service, opened, now);
        if let reach::Change::Restored(after) = change {
            return restored(&board, &service, after);
        }
    }
}

/// Checks the links to a service's endpoints once. Returns whether they are lost.
async fn check_once(board: &Shared, service: &name::Service) -> bool {
    let opened = opens_any(board, service, reach::CHECKED_ENDPOINTS).await;
    let failed = lock(&board.links_to_endpoints).failed(service);
    let change = lock(&board.links_to_endpoints).finish_check(service, opened, now(board));
    if change != reach::Change::Lost {
        signal(board);
        return false;
    }
    lock(&board.peers).forget(service);
    let failed: Vec<_> = failed.iter().map(name::Endpoint::as_str).collect();
    event!(board.log, LinksLost, "service" => %service, "failed" => failed.join(" "));
    announce(board, service, true);
    true
}

/// Checks the links to the endpoints of all other services, as the same cause may have cut them.
fn check_other_services(board: &Shared, lost: &name::Service) {
    for service in dispatchers::services(board) {
        if service != *lost && lock(&board.links_to_endpoints).begin_check(&service) {
            // A boxed future, since a check may start others.
            let check: Pin<Box<dyn Future<Output = ()> + Send>> =
                Box::pin(check(board.clone(), service));
            tokio::spawn(check);
        }
    }
}

fn restored(board: &Shared, service: &name::Service, after: Duration) {
    event!(board.log, LinksRestored, "service" => %service, "after_ms" => after.as_millis());
    announce(board, service, false);
}

/// Applies a change of the links to the dispatcher, and reports it to a voter at once.
fn announce(board: &Shared, service: &name::Service, lost: bool) {
    let count = lock(&board.links_to_endpoints).lost().len();
    let count = i64::try_from(count).unwrap_or(i64::MAX);
    board.metrics.services_unreachable.set(count);
    dispatchers::apply_input(board, service, dispatch::Input::LinksLost(lost));
    board.exchange_now.notify_one();
    signal(board);
}

/// Returns whether a connection opens to any of up to `count` endpoints of a service, or the service
/// has none. Those at which attempts have failed come last.
async fn opens_any(board: &Shared, service: &name::Service, count: usize) -> bool {
    let failed = lock(&board.links_to_endpoints).failed(service);
    let endpoints = addresses(board, service);
    let addresses = reach::sample(endpoints, &failed, count, &mut rand::rng());
    if addresses.is_empty() {
        return true;
    }
    let opened = addresses.into_iter().map(opens);
    let opened = futures_util::future::join_all(opened).await;
    opened.contains(&true)
}

/// Returns the addresses of a service's endpoints.
fn addresses(board: &Shared, service: &name::Service) -> Vec<(name::Endpoint, SocketAddr)> {
    let registry = lock(&board.registry);
    let records = registry
        .records()
        .filter(|record| record.service == *service);
    let mut addresses: Vec<_> = records
        .map(|record| (record.name.clone(), record.address))
        .collect();
    drop(registry);
    let view = board.view.load();
    let configured = view.document.endpoints.iter();
    let configured = configured.filter(|(_, endpoint)| endpoint.service == *service);
    addresses.extend(configured.map(|(name, endpoint)| (name.clone(), endpoint.address)));
    addresses
}

/// Returns whether a connection to an address opens and stays open.
async fn opens(address: SocketAddr) -> bool {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = opened else {
        return false;
    };
    let mut first = [0];
    // An endpoint sends nothing before it is asked.
    let closed = tokio::time::timeout(MIN_OPEN, stream.peek(&mut first)).await;
    closed.is_err()
}
