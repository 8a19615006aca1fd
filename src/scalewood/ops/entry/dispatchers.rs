//! Runs the dispatchers of this box, and exchanges messages with those that serve its requests.
//!
//! Each service of a zone is dispatched by the live box with the highest rendezvous hash. When
//! that box changes, every box ignores the grants of the old dispatcher and reports to the new
//! one all its requests that wait or run, between `Hello` and `Announced`. So the new
//! dispatcher knows every request once all boxes have sent `Announced`.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use crate::{
    board::{
        entry::Report,
        view::{self, View},
    },
    core::{attempt, build, config, dispatch, name, rendezvous, residency, unit},
    event,
    ops::entry::{member, now, reach, rejection, throttle, warming, Shared},
    util::{lock::lock, metric::ServiceLabel},
    wire::peer::Load,
};

/// The interval between two ticks of the dispatchers.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often each request is checked to be at the right dispatcher.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);
/// The least interval between two full configurations of the dispatchers, for each endpoint
/// in the registry: a full configuration takes some microseconds per endpoint.
const CONFIGURE_INTERVAL_PER_ENDPOINT: Duration = Duration::from_micros(500);
/// How long a box waits after its first configuration for a voter to report the requests that
/// are held back, before it is ready anyway. An exchange with a voter takes a tenth of that.
const MAX_HELD_BACK_WAIT: Duration = Duration::from_secs(1);
/// The maximum number of items without a known region that are logged for each configuration.
const MAX_UNKNOWN_LOGGED: usize = 16;

/// Returns the box that dispatches a service in a zone, as far as this box knows.
pub(super) fn dispatcher_of(
    board: &Shared,
    service: &name::Service,
    zone: &name::Zone,
) -> Option<name::Box> {
    if *zone != board.own.zone {
        let loads = lock(&board.loads);
        let (load, _) = loads.get(&(service.clone(), zone.clone()))?;
        return Some(load.dispatcher.clone());
    }
    let alive = board.live_boxes.load();
    let winner = rendezvous::winner(&[service.as_str(), zone.as_str()], alive.iter());
    // The last box of a zone dispatches until it stops.
    Some(winner.unwrap_or(&board.own.name).clone())
}

/// Sends a report about a request to its dispatcher.
pub(super) fn send_report(
    board: &Shared,
    to: &name::Box,
    service: &name::Service,
    mut report: dispatch::Report,
) {
    if let dispatch::Report::Ask(ask) = &mut report {
        let failed_at = ask.avoid.as_ref();
        ask.backoffs = lock(&board.backoffs).updates(to, service, failed_at, now(board));
        // Each backoff is sent with the current start of its endpoint; those that have ended are
        // left out.
        ask.backoffs
            .retain_mut(|notice| board.renew_backoff(notice));
    }
    if *to == board.own.name {
        handle_reports(board, &board.own.name.clone(), service, vec![report]);
    } else if let Some(link) = board.link_queue(to) {
        // While the link is down the report is lost: when it is back up, all requests are reported
        // again.
        let _ = link.send((service.clone(), report));
    }
}

/// Handles reports for a dispatcher of this box; opens the dispatcher if there is none.
pub(super) fn handle_reports(
    board: &Shared,
    from: &name::Box,
    service: &name::Service,
    reports: Vec<dispatch::Report>,
) {
    let mut outputs = Vec::new();
    {
        let mut shard = board.dispatchers.shard(service);
        let dispatcher = shard.entry(service.clone()).or_insert_with(|| {
            let (dispatcher, orders) = open_dispatcher(board, service);
            outputs.extend(orders);
            dispatcher
        });
        for report in reports {
            let input = dispatch::Input::Report(from.clone(), report);
            outputs.extend(dispatcher.step(input, now(board)));
        }
    }
    route(board, outputs);
}

/// Creates and configures the dispatcher of a service; returns it with its first outputs.
fn open_dispatcher(
    board: &Shared,
    service: &name::Service,
) -> (dispatch::Dispatcher, Vec<dispatch::Output>) {
    event!(board.log, DispatcherTaken, "service" => %service);
    let now = now(board);
    let settings = dispatch::Settings {
        seed: rendezvous::hash(&[board.own.name.as_str()]),
        region: board.own.regions.region_of(&board.own.zone).cloned(),
        ..dispatch::Settings::default()
    };
    let mut dispatcher = dispatch::Dispatcher::new(settings, now);
    let view = board.view.load();
    let mut outputs = dispatcher.step(configuration(board, &view, service), now);
    outputs.extend(dispatcher.step(dispatch::Input::LiveBoxes(alive(board)), now));
    let box_count = board.box_count.load(Ordering::Relaxed);
    outputs.extend(dispatcher.step(dispatch::Input::BoxCount(box_count), now));
    let measured = lock(&board.prefills).get(service).copied();
    if let Some(measured) = measured {
        outputs.extend(dispatcher.step(dispatch::Input::Prefill(measured), now));
    }
    if rejection::limit(board, service).is_some() {
        let limited = dispatch::Input::RejectionsLimited(true);
        outputs.extend(dispatcher.step(limited, now));
    }
    if reach::is_lost(board, service) {
        outputs.extend(dispatcher.step(dispatch::Input::LinksLost(true), now));
    }
    (dispatcher, outputs)
}

/// Returns the configuration of a service's dispatcher on this box.
fn configuration(board: &Shared, view: &View, service: &name::Service) -> dispatch::Input {
    let registry = lock(&board.registry);
    let mut input = view.configure_input(service, &board.own.zone, &registry, &board.own.regions);
    warming::set_warming(board, view, service, &registry, &mut input);
    throttle::set_limits(board, &mut input);
    input
}

/// Returns the boxes whose requests the dispatchers here accept. This box is always one of
/// them, even while it drains, since it serves its open requests to their end.
fn alive(board: &Shared) -> BTreeSet<name::Box> {
    let mut alive: BTreeSet<_> = board.live_boxes.load().iter().cloned().collect();
    alive.insert(board.own.name.clone());
    alive
}

/// Passes an input other than a report to a dispatcher of this box.
pub(super) fn apply_input(board: &Shared, service: &name::Service, input: dispatch::Input) {
    let outputs = {
        let mut shard = board.dispatchers.shard(service);
        let Some(dispatcher) = shard.get_mut(service) else {
            return;
        };
        dispatcher.step(input, now(board))
    };
    route(board, outputs);
}

/// Returns the services that this box dispatches.
pub(super) fn services(board: &Shared) -> Vec<name::Service> {
    let mut services = Vec::new();
    board
        .dispatchers
        .for_each(|shard| services.extend(shard.keys().cloned()));
    services
}

/// Returns the estimates by which a dispatcher here chose the endpoint of an attempt, if it did.
pub(super) fn basis(
    board: &Shared,
    service: &name::Service,
    attempt: attempt::Attempt,
) -> Option<dispatch::Basis> {
    let shard = board.dispatchers.shard(service);
    shard.get(service)?.basis(attempt)
}

/// Removes and returns why a dispatcher here refused an attempt for lack of capacity, if it did.
pub(super) fn cause(
    board: &Shared,
    service: &name::Service,
    attempt: attempt::Attempt,
) -> Option<dispatch::Cause> {
    let mut shard = board.dispatchers.shard(service);
    shard.get_mut(service)?.take_cause(attempt)
}

/// Returns how long an endpoint may be silent on a request: `least` if nothing waits at the
/// endpoint, or if this box does not dispatch the service.
pub(super) fn max_silence(
    board: &Shared,
    service: &name::Service,
    endpoint: &name::Endpoint,
    least: Duration,
) -> Duration {
    let shard = board.dispatchers.shard(service);
    let dispatcher = shard.get(service);
    dispatcher.map_or(least, |d| d.max_silence(endpoint, least, now(board)))
}

/// Removes the requests of a box that is gone from the dispatchers here.
pub(super) fn remove_box(board: &Shared, gone: &name::Box) {
    for service in services(board) {
        apply_input(board, &service, dispatch::Input::BoxGone(gone.clone()));
    }
}

/// Sends each order to the box whose request it concerns.
fn route(board: &Shared, outputs: Vec<dispatch::Output>) {
    if outputs.is_empty() {
        return;
    }
    let mut own = Vec::new();
    {
        let subscribers = lock(&board.subscribers);
        for (to, order) in outputs {
            if to == board.own.name {
                own.push(order);
            } else if let Some(subscriber) = subscribers.get(&to) {
                let _ = subscriber.send(order);
            }
        }
    }
    deliver(board, &board.own.name.clone(), own);
}

/// Passes orders from a box's dispatchers to the requests that they concern. Drops an order for an
/// earlier attempt, and one for a request that has moved to another dispatcher.
pub(super) fn deliver(board: &Shared, from: &name::Box, orders: Vec<dispatch::Order>) {
    for order in orders {
        if let dispatch::Order::Gone(service) = order {
            lock(&board.lost_dispatchers).insert((from.clone(), service));
            continue;
        }
        let Some(attempt) = order.attempt() else {
            continue;
        };
        let shard = board.tickets.shard(&attempt.request);
        let Some(ticket) = shard.get(&attempt.request) else {
            continue;
        };
        if ticket.ask.attempt == attempt && ticket.dispatcher.as_ref() == Some(from) {
            let _ = ticket.orders.send(order);
        }
    }
}

/// Tells a box that a dispatcher here no longer knows of its requests.
fn notify_gone(board: &Shared, to: &name::Box, service: &name::Service) {
    if let Some(subscriber) = lock(&board.subscribers).get(to) {
        let _ = subscriber.send(dispatch::Order::Gone(service.clone()));
    }
}

/// Keeps the dispatchers of this box up to date, for ever.
pub(super) async fn run(board: Shared) {
    let mut controller = Controller {
        board,
        assigned: HashMap::new(),
        first_configured_at: None,
        alive: Arc::default(),
        reconciled_at: Duration::ZERO,
        freezes: 0,
        dispatch_stamp: 0,
        stamp: 0,
        last_configured_at: Duration::ZERO,
    };
    loop {
        controller.restart_after_freeze();
        controller.refresh_view();
        controller.refresh_registry();
        controller.refresh_dispatchers();
        controller.tick();
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

struct Controller {
    board: Shared,
    /// The box that dispatches each service in the zone, and that was sent all requests of this
    /// box.
    assigned: HashMap<name::Service, name::Box>,
    /// When this box first had a configuration.
    first_configured_at: Option<Duration>,
    /// The live boxes that the dispatchers are configured with.
    alive: Arc<Vec<name::Box>>,
    reconciled_at: Duration,
    /// How often the process had been frozen when the dispatchers were last reset.
    freezes: u64,
    /// The registry's dispatch stamp up to which the dispatchers were configured with all
    /// endpoints.
    dispatch_stamp: u64,
    /// The registry's stamp up to which the dispatchers have received the changes.
    stamp: u64,
    /// When the dispatchers were last configured with all endpoints.
    last_configured_at: Duration,
}

impl Controller {
    /// Resets the dispatchers here after the process was frozen for long, since other boxes may
    /// have taken them over: all requests are reported again.
    fn restart_after_freeze(&mut self) {
        let freezes = self.board.freezes();
        if freezes == self.freezes {
            return;
        }
        self.freezes = freezes;
        self.assigned.clear();
        self.board
            .dispatchers
            .for_each(std::collections::HashMap::clear);
        // This ends the subscriptions, so the other boxes connect their links again.
        lock(&self.board.subscribers).clear();
    }

    /// Applies a new configuration.
    fn refresh_view(&mut self) {
        let state = self.board.feed.current();
        if self.board.view.load().revision == state.revision {
            return;
        }
        let view = Arc::new(View::new(state.revision, state.document.clone()));
        self.log_cordons(&view);
        self.board.view.store(view.clone());
        self.board
            .metrics
            .revision
            .set(i64::try_from(state.revision.0).unwrap_or(i64::MAX));
        lock(&self.board.claims).configure(view.box_zones(), now(&self.board));
        let cordoned = &view.document.cordoned;
        lock(&self.board.uncordoned).update(cordoned, now(&self.board));
        self.configure(&view);
        self.renew_residency(&view);
        self.log_unknown_regions(&view);
    }

    /// Updates the regions in which waiting requests may be served to the new configuration.
    fn renew_residency(&self, view: &View) {
        let now = now(&self.board);
        let mut renewed = Vec::new();
        self.board.tickets.for_each(|shard| {
            for ticket in shard.values_mut() {
                let reports = ticket.renew_residency(&view.document, now);
                let to = ticket.dispatcher.clone().zip(reports);
                renewed.extend(to.map(|(to, reports)| (to, ticket.service.clone(), reports)));
            }
        });
        for (to, service, reports) in renewed {
            for report in reports {
                send_report(&self.board, &to, &service, report);
            }
        }
    }

    /// Logs the items of the configuration that no known region may serve.
    fn log_unknown_regions(&self, view: &View) {
        let unknown = residency::items_with_unknown_regions(
            &view.document,
            &self.board.own.regions,
            MAX_UNKNOWN_LOGGED,
        );
        for item in unknown {
            event!(self.board.log, RegionUnknown, "item" => item, "revision" => %view.revision);
        }
    }

    /// Logs the cordoned zones if they changed.
    fn log_cordons(&self, view: &View) {
        let board = &self.board;
        let cordoned = &view.document.cordoned;
        if board.view.load().document.cordoned == *cordoned {
            return;
        }
        let count = i64::try_from(cordoned.len()).unwrap_or(i64::MAX);
        board.metrics.cordoned.set(count);
        let behind = lock(&board.catchup).lag(now(board));
        let names: Vec<_> = cordoned.iter().map(name::Zone::as_str).collect();
        event!(board.log, CordonsInForce, "zones" => names.join(" "),
            "revision" => %view.revision, "behind_ms" => behind.as_millis());
    }

    /// Passes changes of the registry to the dispatchers: endpoints that changed at once, and all
    /// endpoints, on which the ranks depend, at an interval that grows with their number.
    fn refresh_registry(&mut self) {
        let (dispatch_stamp, stamp, count) = {
            let registry = lock(&self.board.registry);
            (registry.dispatch_stamp(), registry.stamp(), registry.len())
        };
        if self.dispatch_stamp == dispatch_stamp {
            return;
        }
        let now = now(&self.board);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if now >= self.last_configured_at + CONFIGURE_INTERVAL_PER_ENDPOINT.saturating_mul(count) {
            self.last_configured_at = now;
            self.dispatch_stamp = dispatch_stamp;
            self.stamp = stamp;
            self.configure(&self.board.view.load_full());
        } else if self.stamp < dispatch_stamp {
            let after = std::mem::replace(&mut self.stamp, stamp);
            self.pass_changes(&self.board.view.load_full(), after);
        }
    }

    /// Passes the endpoints that changed after a stamp of the registry to the dispatchers.
    fn pass_changes(&self, view: &View, after: u64) {
        let board = &self.board;
        for service in services(board) {
            let changed = {
                let registry = lock(&board.registry);
                let own = &board.own;
                let mut changed =
                    view.changed_input(&service, &own.zone, &registry, after, &own.regions);
                warming::set_warming(board, view, &service, &registry, &mut changed);
                throttle::set_limits(board, &mut changed);
                changed
            };
            apply_input(board, &service, changed);
        }
    }

    fn configure(&self, view: &View) {
        for service in services(&self.board) {
            let configure = configuration(&self.board, view, &service);
            apply_input(&self.board, &service, configure);
        }
    }

    /// Handles changes of the live boxes: announces this box's requests to new dispatchers, drops
    /// the dispatchers that other boxes run now, and updates readiness.
    fn refresh_dispatchers(&mut self) {
        let alive = self.board.live_boxes.load_full();
        if !Arc::ptr_eq(&alive, &self.alive) {
            let boxes = self::alive(&self.board);
            let dead = self.alive.iter().filter(|name| !boxes.contains(*name));
            for service in services(&self.board) {
                apply_input(
                    &self.board,
                    &service,
                    dispatch::Input::LiveBoxes(boxes.clone()),
                );
                // A box that was declared dead by mistake reports all its requests again.
                dead.clone()
                    .for_each(|name| notify_gone(&self.board, name, &service));
            }
            self.alive = alive;
        }
        if !self.is_joined() {
            return;
        }
        let view = self.board.view.load_full();
        self.assigned
            .retain(|service, _| view.document.services.contains_key(service));
        for service in view.document.services.keys() {
            self.refresh_dispatcher(service);
        }
        self.drop_moved(&view);
        let accepts = self.board.accepts.load(Ordering::Relaxed);
        let is_configured = !view.is_unconfigured();
        let knows_all = is_configured && self.is_held_back_known();
        let ready = knows_all && accepts && !self.board.is_draining();
        self.board.ready.store(ready, Ordering::Relaxed);
        self.board.metrics.ready.set(i64::from(ready));
    }

    /// Returns whether a voter has reported which requests are held back, or
    /// `MAX_HELD_BACK_WAIT` has passed, since a box also serves while no voter answers.
    fn is_held_back_known(&mut self) -> bool {
        let now = now(&self.board);
        let since = *self.first_configured_at.get_or_insert(now);
        self.board.held_back_known.load(Ordering::Relaxed) || now >= since + MAX_HELD_BACK_WAIT
    }

    /// Returns whether there is a configuration and each peer of the zone has answered or is known
    /// to be dead, so that this box does not act as if it were the only one.
    fn is_joined(&self) -> bool {
        let members = lock(&self.board.members);
        let view = self.board.view.load();
        let peers = view
            .boxes_of(&self.board.own.zone)
            .filter(|n| **n != self.board.own.name);
        view.revision.0 > 0 && members.has_heard_all(peers)
    }

    /// Announces this box's requests of a service to its dispatcher if that has changed.
    fn refresh_dispatcher(&mut self, service: &name::Service) {
        let zone = self.board.own.zone.clone();
        let Some(dispatcher) = dispatcher_of(&self.board, service, &zone) else {
            return;
        };
        if self.assigned.get(service) == Some(&dispatcher) {
            return;
        }
        self.assigned.insert(service.clone(), dispatcher.clone());
        announce(&self.board, service, &dispatcher);
    }

    /// Drops the dispatchers of services that other boxes dispatch now or that no longer exist, and
    /// notifies all subscribed boxes: the requests of one that has not seen the change yet would
    /// wait here in vain.
    fn drop_moved(&self, view: &view::View) {
        let mut dropped = Vec::new();
        self.board.dispatchers.for_each(|shard| {
            shard.retain(|service, _| {
                let known = view.document.services.contains_key(service);
                let own = self.assigned.get(service) == Some(&self.board.own.name);
                if !known || !own {
                    dropped.push(service.clone());
                }
                known && own
            });
        });
        for service in dropped {
            event!(self.board.log, DispatcherLeft, "service" => %service);
            let others: Vec<_> = lock(&self.board.subscribers).keys().cloned().collect();
            others
                .iter()
                .for_each(|name| notify_gone(&self.board, name, &service));
        }
    }

    fn tick(&mut self) {
        let now = now(&self.board);
        for service in services(&self.board) {
            apply_input(&self.board, &service, dispatch::Input::Tick);
        }
        if now >= self.reconciled_at + RECONCILE_INTERVAL {
            self.reconciled_at = now;
            self.announce_again();
            self.reconcile(now);
            self.publish_loads(now);
            warming::remove_ended(&self.board);
            warming::update_metrics(&self.board);
        }
    }

    /// Reports all requests again to the dispatchers that their box has dropped but that this box
    /// still considers the right ones: the two boxes don't agree yet on which boxes are alive.
    fn announce_again(&self) {
        let gone = std::mem::take(&mut *lock(&self.board.lost_dispatchers));
        for (dispatcher, service) in gone {
            if self.assigned.get(&service) == Some(&dispatcher) {
                announce(&self.board, &service, &dispatcher);
            }
        }
    }

    /// Moves requests that are at a wrong dispatcher to the right one.
    fn reconcile(&self, now: Duration) {
        let mut moved: Vec<(name::Box, Report)> = Vec::new();
        self.board.tickets.for_each(|shard| {
            for ticket in shard.values_mut() {
                let dispatcher = dispatcher_of(&self.board, &ticket.service, &ticket.zone);
                if dispatcher.is_some() && ticket.dispatcher != dispatcher {
                    ticket.dispatcher.clone_from(&dispatcher);
                    let report = (ticket.service.clone(), ticket.report_again(now));
                    moved.extend(dispatcher.map(|dispatcher| (dispatcher, report)));
                }
            }
        });
        for (dispatcher, (service, report)) in moved {
            send_report(&self.board, &dispatcher, &service, report);
        }
    }

    /// Writes the loads of the dispatchers here to the board and to the metrics.
    fn publish_loads(&self, now: Duration) {
        let mut fresh = Vec::new();
        self.board.dispatchers.for_each(|shard| {
            for (service, dispatcher) in shard.iter() {
                let endpoints = dispatcher.endpoint_count();
                fresh.push((service.clone(), dispatcher.summary(now), endpoints));
            }
        });
        let mut loads = lock(&self.board.loads);
        for (service, summary, endpoints) in fresh {
            let label = ServiceLabel {
                service: service.to_string(),
            };
            let waiting = i64::try_from(summary.waiting).unwrap_or(i64::MAX);
            self.board
                .metrics
                .waiting
                .get_or_create(&label)
                .set(waiting);
            self.board
                .metrics
                .slots_granted
                .get_or_create(&label)
                .set(i64::from(summary.running));
            self.board
                .metrics
                .endpoints_known
                .get_or_create(&label)
                .set(i64::try_from(endpoints).unwrap_or(i64::MAX));
            let zone = self.board.own.zone.clone();
            let load = Load::new(zone.clone(), self.board.own.name.clone(), &summary);
            loads.insert((service, zone), (load, now));
        }
    }
}

/// Reports all requests of a service that this box has in its own zone, waiting or running, to a
/// dispatcher.
pub(super) fn announce(board: &Shared, service: &name::Service, dispatcher: &name::Box) {
    let now = now(board);
    lock(&board.backoffs).reset_dispatcher(dispatcher, service);
    send_report(board, dispatcher, service, dispatch::Report::Hello);
    let mut reports = Vec::new();
    board.tickets.for_each(|shard| {
        let own = shard
            .values_mut()
            .filter(|t| t.service == *service && t.zone == board.own.zone);
        for ticket in own {
            ticket.dispatcher = Some(dispatcher.clone());
            reports.push(ticket.report_again(now));
        }
    });
    for report in reports {
        send_report(board, dispatcher, service, report);
    }
    send_report(board, dispatcher, service, dispatch::Report::Announced);
}

/// The properties of a request by which its zone is chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Criteria<'a> {
    /// The regions in which the request may be served.
    pub(super) allowed: &'a residency::Allowed,
    /// The only build that may run the request, if it goes on with a stream.
    pub(super) build: Option<&'a build::Build>,
    /// The tier of the request.
    pub(super) tier: unit::Tier,
    /// The time within which the first token or the answer is due.
    pub(super) target: Duration,
}

/// Returns the zone whose dispatcher a request asks. This is the box's own zone unless the wait
/// there would miss the target and another zone is much faster, or no configured endpoint there may
/// serve the request and another zone can.
pub(super) fn zone_for(
    board: &Shared,
    service: &name::Service,
    criteria: Criteria<'_>,
) -> name::Zone {
    let own = &board.own.zone;
    let view = board.view.load();
    let permits = |zone: &name::Zone| {
        let region = board.own.regions.region_of(zone);
        !view.document.cordoned.contains(zone) && criteria.allowed.permits(region)
    };
    let is_registered = criteria.build.is_some_and(|build| {
        let registry = lock(&board.registry);
        let mut records = registry.records();
        records.any(|record| record.service == *service && record.build == *build)
    });
    // Registered endpoints are known in all zones, configured ones in their own.
    let has_build = |zone: &name::Zone| {
        let is_build = |build: &build::Build| {
            let mut configured = view.endpoints(service, zone);
            is_registered || configured.any(|(_, e)| !e.leaving && e.build == *build)
        };
        criteria.build.is_none_or(is_build)
    };
    let serves = |(_, e): (_, &config::Endpoint)| !e.leaving;
    let served = permits(own) && has_build(own) && view.endpoints(service, own).any(serves);
    let here = member::load_in_zone(board, service).map(|load| load.summary());
    let other_zones = member::loads_in_other_zones(board, service);
    let other_zones: Vec<_> = other_zones
        .into_iter()
        .filter(|load| permits(&load.zone) && has_build(&load.zone))
        .map(|load| (load.summary(), load.zone))
        .collect();
    let other_zones = other_zones.iter().map(|(summary, zone)| (zone, summary));
    let (tier, target) = (criteria.tier, criteria.target);
    let chosen = dispatch::spill::choose(here.as_ref(), served, other_zones, tier, target);
    chosen.unwrap_or(own).clone()
}

/// Returns a new random request id.
pub(super) fn new_request() -> attempt::Request {
    attempt::Request(rand::random())
}
