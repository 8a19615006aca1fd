//! Links to the dispatchers of other boxes: reports are sent and orders received, each in order.
//!
//! When a link comes up, every request is reported again to the other box's dispatchers, so
//! nothing depends on the messages that were lost with an earlier connection.

use std::{collections::BTreeSet, time::Duration};

use tokio::sync::mpsc;

use crate::{
    board::entry::Report,
    core::{dispatch, name},
    event,
    ops::{
        entry::{dispatchers, Shared},
        rpc,
    },
    util::lock::lock,
    wire::peer::{Batch, PeerClient as _},
};

/// How often the set of links is compared with the set of boxes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// The wait before a lost link is connected again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The most reports in one call.
const MAX_BATCH: usize = 512;

/// Keeps a link to each other box of the zone, and to each dispatcher in another zone that this
/// box may ask, for ever.
pub(super) async fn run(board: Shared) {
    loop {
        let wanted = wanted(&board);
        let missing: Vec<_> = {
            let mut links = lock(&board.links);
            links.retain(|name, _| wanted.contains(name));
            let missing = wanted.iter().filter(|name| !links.contains_key(*name));
            missing.cloned().collect()
        };
        for peer in missing {
            let (sender, receiver) = mpsc::unbounded_channel();
            lock(&board.links).insert(peer.clone(), sender);
            tokio::spawn(keep_link(board.clone(), peer, receiver));
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

/// Returns the boxes to which this box needs a link.
fn wanted(board: &Shared) -> BTreeSet<name::Box> {
    let view = board.view.load();
    let zone = view.boxes_of(&board.own.zone).cloned();
    let loads = lock(&board.loads);
    let elsewhere = loads.values().map(|(load, _)| load.dispatcher.clone());
    let known = elsewhere.filter(|name| view.document.boxes.contains_key(name));
    zone.chain(known)
        .filter(|name| *name != board.own.name)
        .collect()
}

/// Keeps a link connected for as long as it is wanted.
async fn keep_link(board: Shared, peer: name::Box, mut queue: mpsc::UnboundedReceiver<Report>) {
    while !queue.is_closed() {
        if let Some(Ended::Unwanted) = transfer(&board, &peer, &mut queue).await {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Why a link ended.
enum Ended {
    Lost,
    /// The link was removed from the board.
    Unwanted,
}

/// Transfers reports and orders until the link is lost or unwanted; returns `None` if it never
/// came up.
async fn transfer(
    board: &Shared,
    peer: &name::Box,
    queue: &mut mpsc::UnboundedReceiver<Report>,
) -> Option<Ended> {
    let address = board.view.load().document.boxes.get(peer)?.address;
    let client = rpc::connect(address).await.ok()?;
    let own = board.own.name.clone();
    let mut orders = client.orders(own.clone()).await.ok()?;
    event!(board.log, PeerUp, "box" => %peer);
    // The queued reports are dropped: all requests are reported again.
    while queue.try_recv().is_ok() {}
    announce_all(board, peer);
    let mut reports = Vec::new();
    let ended = loop {
        tokio::select! {
            count = queue.recv_many(&mut reports, MAX_BATCH) => {
                if count == 0 {
                    break Ended::Unwanted;
                }
                if client.report(own.clone(), batches(reports.drain(..))).await.is_err() {
                    break Ended::Lost;
                }
            }
            next = orders.next() => {
                let Some(Ok(orders)) = next else { break Ended::Lost };
                dispatchers::deliver(board, peer, orders);
            }
        }
    };
    event!(board.log, PeerDown, "box" => %peer);
    Some(ended)
}

/// Reports this box's requests to all dispatchers of a peer.
fn announce_all(board: &Shared, peer: &name::Box) {
    let view = board.view.load_full();
    for service in view.document.services.keys() {
        let dispatcher = dispatchers::dispatcher_of(board, service, &board.own.zone);
        if dispatcher.as_ref() == Some(peer) {
            dispatchers::announce(board, service, peer);
        }
    }
    announce_other_zones(board, peer);
}

/// Reports to a box of another zone, for each service that it dispatches there, the requests
/// of this box that were sent to it.
fn announce_other_zones(board: &Shared, peer: &name::Box) {
    let now = super::now(board);
    for (service, zone) in dispatched_in_other_zones(board, peer) {
        dispatchers::send_report(board, peer, &service, dispatch::Report::Hello);
        let mut reports = Vec::new();
        board.tickets.for_each(|shard| {
            let own = shard
                .values_mut()
                .filter(|t| t.service == service && t.zone == zone);
            let own = own.filter(|t| t.dispatcher.as_ref() == Some(peer));
            reports.extend(own.map(|ticket| ticket.report_again(now)));
        });
        for report in reports {
            dispatchers::send_report(board, peer, &service, report);
        }
        dispatchers::send_report(board, peer, &service, dispatch::Report::Announced);
    }
}

/// Returns the services, with their zones, that a peer dispatches in other zones.
fn dispatched_in_other_zones(board: &Shared, peer: &name::Box) -> Vec<(name::Service, name::Zone)> {
    let loads = lock(&board.loads);
    let elsewhere = loads
        .iter()
        .filter(|((_, zone), _)| *zone != board.own.zone);
    let own = elsewhere.filter(|(_, (load, _))| load.dispatcher == *peer);
    own.map(|(key, _)| key.clone()).collect()
}

/// Groups reports by service, and keeps their order within a service.
fn batches(reports: impl Iterator<Item = Report>) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for (service, report) in reports {
        match batches.iter_mut().find(|batch| batch.service == service) {
            Some(batch) => batch.reports.push(report),
            None => batches.push(Batch {
                service,
                reports: vec![report],
            }),
        }
    }
    batches
}
