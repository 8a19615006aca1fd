//! The desk: holds dispatchers, and speaks to those that hold this box's requests.
//!
//! For each service of the zone the box with the highest rendezvous hash among those
//! alive dispatches. When that changes, each box tells the new dispatcher all that
//! it holds or waits for, between `Hello` and `Announced`, and takes no more grants
//! from the old one. So the new one knows everything once all have announced.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{atomic::Ordering, Arc},
    time::Duration,
};

use crate::{
    board::{
        entry::Told,
        view::{self, View},
    },
    core::{attempt, config, dispatch, name, rendezvous, residency, unit},
    event,
    ops::entry::{member, now, throttle, warmth, Shared},
    util::{lock::lock, metric::ServiceLabel},
    wire::peer::Load,
};

/// How often dispatchers are told that time has passed.
pub(super) const TICK: Duration = Duration::from_millis(20);
/// How often requests are checked to be with the right dispatcher.
const RECONCILE: Duration = Duration::from_millis(200);
/// How long lies between two times at which dispatchers are configured with all endpoints, for each
/// endpoint: it takes some microseconds each.
const CONFIGURE_EACH: Duration = Duration::from_micros(500);
/// How long a box that has just started waits at most, before it says that it is ready, to hear
/// which requests are held back: an exchange with a voter takes a tenth of that.
const HELD_BACK_WAIT: Duration = Duration::from_secs(1);
/// Items whose regions are unknown that are named in the log, for each configuration.
const MAX_DOUBTS: usize = 16;

/// Which box dispatches a service in a zone, as far as is known here.
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
    let alive = board.alive.load();
    let winner = rendezvous::winner(&[service.as_str(), zone.as_str()], alive.iter());
    // The last box of a zone dispatches to its end.
    Some(winner.unwrap_or(&board.own.name).clone())
}

/// Tells a request's dispatcher something about it.
pub(super) fn tell(
    board: &Shared,
    to: &name::Box,
    service: &name::Service,
    mut report: dispatch::Report,
) {
    if let dispatch::Report::Ask(ask) = &mut report {
        let in_vain = ask.avoid.as_ref();
        ask.backoffs = lock(&board.rests).updates(to, service, in_vain, now(board));
        // The dispatcher goes by the starts that are known now.
        ask.backoffs.retain_mut(|told| board.renew_rest(told));
    }
    if *to == board.own.name {
        take(board, &board.own.name.clone(), service, vec![report]);
    } else if let Some(link) = board.link(to) {
        // A link that is down loses it; when it is up again all is told anew.
        let _ = link.send((service.clone(), report));
    }
}

/// Takes reports for a dispatcher that is held here.
pub(super) fn take(
    board: &Shared,
    from: &name::Box,
    service: &name::Service,
    reports: Vec<dispatch::Report>,
) {
    let mut outputs = Vec::new();
    {
        let mut shard = board.dispatchers.shard(service);
        let dispatcher = shard.entry(service.clone()).or_insert_with(|| {
            let (dispatcher, orders) = open(board, service);
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

fn open(board: &Shared, service: &name::Service) -> (dispatch::Dispatcher, Vec<dispatch::Output>) {
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
    let sharers = board.sharers.load(Ordering::Relaxed);
    outputs.extend(dispatcher.step(dispatch::Input::Sharers(sharers), now));
    (dispatcher, outputs)
}

/// What a dispatcher of a service here is configured with.
fn configuration(board: &Shared, view: &View, service: &name::Service) -> dispatch::Input {
    let registry = lock(&board.registry);
    let mut input = view.dispatch_input(service, &board.own.zone, &registry, &board.own.regions);
    warmth::mark(board, view, service, &registry, &mut input);
    throttle::mark(board, &mut input);
    input
}

/// The boxes whose requests the dispatchers here take. This one belongs to them also
/// while it stops: what it holds it serves to its end.
fn alive(board: &Shared) -> BTreeSet<name::Box> {
    let mut alive: BTreeSet<_> = board.alive.load().iter().cloned().collect();
    alive.insert(board.own.name.clone());
    alive
}

/// Gives a dispatcher that is held here something that is no report.
pub(super) fn input(board: &Shared, service: &name::Service, input: dispatch::Input) {
    let outputs = {
        let mut shard = board.dispatchers.shard(service);
        let Some(dispatcher) = shard.get_mut(service) else {
            return;
        };
        dispatcher.step(input, now(board))
    };
    route(board, outputs);
}

/// The services that this box dispatches.
pub(super) fn held(board: &Shared) -> Vec<name::Service> {
    let mut held = Vec::new();
    board
        .dispatchers
        .each(|shard| held.extend(shard.keys().cloned()));
    held
}

/// What the endpoint of an attempt was chosen by, if a dispatcher here chose it.
pub(super) fn basis(
    board: &Shared,
    service: &name::Service,
    attempt: attempt::Attempt,
) -> Option<dispatch::Basis> {
    let shard = board.dispatchers.shard(service);
    shard.get(service)?.basis(attempt)
}

/// Why an attempt was refused for want of room, if a dispatcher here refused it.
pub(super) fn cause(
    board: &Shared,
    service: &name::Service,
    attempt: attempt::Attempt,
) -> Option<dispatch::Cause> {
    let mut shard = board.dispatchers.shard(service);
    shard.get_mut(service)?.take_cause(attempt)
}

/// How long an endpoint may be silent towards a request that a dispatcher here has granted,
/// `least` where nothing else waits there.
pub(super) fn patience(
    board: &Shared,
    service: &name::Service,
    endpoint: &name::Endpoint,
    least: Duration,
) -> Duration {
    let shard = board.dispatchers.shard(service);
    let dispatcher = shard.get(service);
    dispatcher.map_or(least, |d| d.max_silence(endpoint, least, now(board)))
}

/// Voids the requests of a box that is gone.
pub(super) fn forget(board: &Shared, gone: &name::Box) {
    for service in held(board) {
        input(board, &service, dispatch::Input::BoxGone(gone.clone()));
    }
}

/// Sends orders to the boxes that they are for.
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

/// Hands orders to the requests that they are about, if they are with the
/// dispatcher that gives them.
pub(super) fn deliver(board: &Shared, from: &name::Box, orders: Vec<dispatch::Order>) {
    for order in orders {
        if let dispatch::Order::Gone(service) = order {
            lock(&board.gone).insert((from.clone(), service));
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

/// Tells a box that what a dispatcher here knew of its requests is gone.
fn say_gone(board: &Shared, to: &name::Box, service: &name::Service) {
    if let Some(subscriber) = lock(&board.subscribers).get(to) {
        let _ = subscriber.send(dispatch::Order::Gone(service.clone()));
    }
}

/// Runs the desk for ever.
pub(super) async fn run(board: Shared) {
    let mut desk = Desk {
        board,
        homes: HashMap::new(),
        configured_at: None,
        alive: Arc::default(),
        reconciled: Duration::ZERO,
        freezes: 0,
        layout: 0,
        stamp: 0,
        configured: Duration::ZERO,
    };
    loop {
        desk.restart_after_freeze();
        desk.refresh_view();
        desk.refresh_registry();
        desk.refresh_homes();
        desk.tick();
        tokio::time::sleep(TICK).await;
    }
}

struct Desk {
    board: Shared,
    /// The dispatcher of each service of the zone, as last told everything.
    homes: HashMap<name::Service, name::Box>,
    /// Since when there has been a configuration.
    configured_at: Option<Duration>,
    alive: Arc<Vec<name::Box>>,
    reconciled: Duration,
    /// How often the process had been frozen when the dispatchers were opened.
    freezes: u64,
    /// The registry's layout that the dispatchers are configured with.
    layout: u64,
    /// The registry's stamp up to which they know what changed.
    stamp: u64,
    /// When they were configured with all endpoints.
    configured: Duration,
}

impl Desk {
    /// After a long freeze other boxes may have taken the dispatchers over: what these
    /// were told here is void, and everything is told anew.
    fn restart_after_freeze(&mut self) {
        let freezes = self.board.freezes();
        if freezes == self.freezes {
            return;
        }
        self.freezes = freezes;
        self.homes.clear();
        self.board
            .dispatchers
            .each(std::collections::HashMap::clear);
        // The subscriptions end by this, and the links are made anew.
        lock(&self.board.subscribers).clear();
    }

    /// Brings the indexes up to the configuration in force.
    fn refresh_view(&mut self) {
        let state = self.board.feed.current();
        if self.board.view.load().revision == state.revision {
            return;
        }
        let view = Arc::new(View::new(state.revision, state.document.clone()));
        self.note_cordons(&view);
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
        self.doubt_regions(&view);
    }

    /// Brings the requests that wait up to where the configuration allows them to be served.
    fn renew_residency(&self, view: &View) {
        let now = now(&self.board);
        let mut renewed = Vec::new();
        self.board.tickets.each(|shard| {
            for ticket in shard.values_mut() {
                let reports = ticket.renew_residency(&view.document, now);
                let to = ticket.dispatcher.clone().zip(reports);
                renewed.extend(to.map(|(to, reports)| (to, ticket.service.clone(), reports)));
            }
        });
        for (to, service, reports) in renewed {
            for report in reports {
                tell(&self.board, &to, &service, report);
            }
        }
    }

    /// Says which items of the configuration can be served nowhere that is known here.
    fn doubt_regions(&self, view: &View) {
        let unknown = residency::items_with_unknown_regions(
            &view.document,
            &self.board.own.regions,
            MAX_DOUBTS,
        );
        for item in unknown {
            event!(self.board.log, RegionUnknown, "item" => item, "revision" => %view.revision);
        }
    }

    /// Logs the cordoned zones if they are others than before.
    fn note_cordons(&self, view: &View) {
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

    /// Brings the dispatchers up to the endpoints that announced themselves: to what changed at
    /// once, and to what depends on all of them together as often as their number bears.
    fn refresh_registry(&mut self) {
        let (layout, stamp, count) = {
            let registry = lock(&self.board.registry);
            (registry.dispatch_stamp(), registry.stamp(), registry.len())
        };
        if self.layout == layout {
            return;
        }
        let now = now(&self.board);
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if now >= self.configured + CONFIGURE_EACH.saturating_mul(count) {
            self.configured = now;
            self.layout = layout;
            self.stamp = stamp;
            self.configure(&self.board.view.load_full());
        } else if self.stamp < layout {
            let after = std::mem::replace(&mut self.stamp, stamp);
            self.change(&self.board.view.load_full(), after);
        }
    }

    /// Tells the dispatchers which endpoints changed after a stamp of the registry.
    fn change(&self, view: &View, after: u64) {
        let board = &self.board;
        for service in held(board) {
            let changed = {
                let registry = lock(&board.registry);
                let own = &board.own;
                let mut changed =
                    view.changed_input(&service, &own.zone, &registry, after, &own.regions);
                warmth::mark(board, view, &service, &registry, &mut changed);
                throttle::mark(board, &mut changed);
                changed
            };
            input(board, &service, changed);
        }
    }

    fn configure(&self, view: &View) {
        for service in held(&self.board) {
            let configure = configuration(&self.board, view, &service);
            input(&self.board, &service, configure);
        }
    }

    /// Moves to other dispatchers what is theirs now.
    fn refresh_homes(&mut self) {
        let alive = self.board.alive.load_full();
        if !Arc::ptr_eq(&alive, &self.alive) {
            let boxes = self::alive(&self.board);
            let dead = self.alive.iter().filter(|name| !boxes.contains(*name));
            for service in held(&self.board) {
                input(
                    &self.board,
                    &service,
                    dispatch::Input::LiveBoxes(boxes.clone()),
                );
                // One that is taken for dead by mistake tells everything anew.
                dead.clone()
                    .for_each(|name| say_gone(&self.board, name, &service));
            }
            self.alive = alive;
        }
        if !self.is_joined() {
            return;
        }
        let view = self.board.view.load_full();
        self.homes
            .retain(|service, _| view.document.services.contains_key(service));
        for service in view.document.services.keys() {
            self.refresh_home(service);
        }
        self.drop_foreign(&view);
        let accepts = self.board.accepts.load(Ordering::Relaxed);
        let is_configured = !view.is_unconfigured();
        let knows_all = is_configured && self.knows_held_back();
        let ready = knows_all && accepts && !self.board.is_draining();
        self.board.ready.store(ready, Ordering::Relaxed);
        self.board.metrics.ready.set(i64::from(ready));
    }

    /// Whether a voter has told which requests are held back, or has had the time to: without any
    /// voter a box serves all the same.
    fn knows_held_back(&mut self) -> bool {
        let now = now(&self.board);
        let since = *self.configured_at.get_or_insert(now);
        self.board.held_back_known.load(Ordering::Relaxed) || now >= since + HELD_BACK_WAIT
    }

    /// Whether each peer of the zone has answered or is known to be dead, so that
    /// this box does not take itself for the only one.
    fn is_joined(&self) -> bool {
        let members = lock(&self.board.members);
        let view = self.board.view.load();
        let peers = view
            .boxes_of(&self.board.own.zone)
            .filter(|n| **n != self.board.own.name);
        view.revision.0 > 0 && members.has_heard_all(peers)
    }

    fn refresh_home(&mut self, service: &name::Service) {
        let zone = self.board.own.zone.clone();
        let Some(home) = dispatcher_of(&self.board, service, &zone) else {
            return;
        };
        if self.homes.get(service) == Some(&home) {
            return;
        }
        self.homes.insert(service.clone(), home.clone());
        announce(&self.board, service, &home);
    }

    /// Drops the dispatchers that other boxes hold now, and says so: a box that does
    /// not see that yet would wait here in vain.
    fn drop_foreign(&self, view: &view::View) {
        let mut dropped = Vec::new();
        self.board.dispatchers.each(|shard| {
            shard.retain(|service, _| {
                let known = view.document.services.contains_key(service);
                let own = self.homes.get(service) == Some(&self.board.own.name);
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
                .for_each(|name| say_gone(&self.board, name, &service));
        }
    }

    fn tick(&mut self) {
        let now = now(&self.board);
        for service in held(&self.board) {
            input(&self.board, &service, dispatch::Input::Tick);
        }
        if now >= self.reconciled + RECONCILE {
            self.reconciled = now;
            self.announce_gone();
            self.reconcile(now);
            self.publish_loads(now);
            warmth::sweep(&self.board);
            warmth::count(&self.board);
        }
    }

    /// Tells everything anew to the dispatchers that said that they have gone, where
    /// this box still takes them for the right ones: the two do not see the same boxes
    /// alive yet.
    fn announce_gone(&self) {
        let gone = std::mem::take(&mut *lock(&self.board.gone));
        for (home, service) in gone {
            if self.homes.get(&service) == Some(&home) {
                announce(&self.board, &service, &home);
            }
        }
    }

    /// Sends requests that are with a wrong dispatcher to the right one.
    fn reconcile(&self, now: Duration) {
        let mut moved: Vec<(name::Box, Told)> = Vec::new();
        self.board.tickets.each(|shard| {
            for ticket in shard.values_mut() {
                let home = dispatcher_of(&self.board, &ticket.service, &ticket.zone);
                if home.is_some() && ticket.dispatcher != home {
                    ticket.dispatcher.clone_from(&home);
                    let told = (ticket.service.clone(), ticket.tell_anew(now));
                    moved.extend(home.map(|home| (home, told)));
                }
            }
        });
        for (home, (service, report)) in moved {
            tell(&self.board, &home, &service, report);
        }
    }

    fn publish_loads(&self, now: Duration) {
        let mut fresh = Vec::new();
        self.board.dispatchers.each(|shard| {
            for (service, dispatcher) in shard.iter() {
                fresh.push((service.clone(), dispatcher.summary(now)));
            }
        });
        let mut loads = lock(&self.board.loads);
        for (service, summary) in fresh {
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
                .running
                .get_or_create(&label)
                .set(i64::from(summary.running));
            let zone = self.board.own.zone.clone();
            let load = Load::new(zone.clone(), self.board.own.name.clone(), &summary);
            loads.insert((service, zone), (load, now));
        }
    }
}

/// Tells a dispatcher all that this box holds or waits for.
pub(super) fn announce(board: &Shared, service: &name::Service, home: &name::Box) {
    let now = now(board);
    lock(&board.rests).reset_dispatcher(home, service);
    tell(board, home, service, dispatch::Report::Hello);
    let mut reports = Vec::new();
    board.tickets.each(|shard| {
        let own = shard
            .values_mut()
            .filter(|t| t.service == *service && t.zone == board.own.zone);
        for ticket in own {
            ticket.dispatcher = Some(home.clone());
            reports.push(ticket.tell_anew(now));
        }
    });
    for report in reports {
        tell(board, home, service, report);
    }
    tell(board, home, service, dispatch::Report::Announced);
}

/// What the zone of a request is chosen by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted<'a> {
    /// Where it may be served.
    pub(super) allowed: &'a residency::Allowed,
    /// Its tier.
    pub(super) tier: unit::Tier,
    /// The time within which its first token or answer is due.
    pub(super) target: Duration,
}

/// Which zone's dispatcher a request asks: this box's own, unless the wait there
/// would miss the target and another zone's would not, or nothing there may serve it.
pub(super) fn zone_for(board: &Shared, service: &name::Service, wanted: Wanted<'_>) -> name::Zone {
    let own = &board.own.zone;
    let view = board.view.load();
    let permits = |zone: &name::Zone| {
        let region = board.own.regions.region_of(zone);
        !view.document.cordoned.contains(zone) && wanted.allowed.permits(region)
    };
    let serves = |(_, e): (_, &config::Endpoint)| !e.leaving;
    let served = permits(own) && view.endpoints(service, own).any(serves);
    let here = member::load_here(board, service).map(|load| load.summary());
    let abroad = member::loads_abroad(board, service);
    let abroad: Vec<_> = abroad
        .into_iter()
        .filter(|load| permits(&load.zone))
        .map(|load| (load.summary(), load.zone))
        .collect();
    let abroad = abroad.iter().map(|(summary, zone)| (zone, summary));
    let (tier, target) = (wanted.tier, wanted.target);
    let chosen = dispatch::spill::choose(here.as_ref(), served, abroad, tier, target);
    chosen.unwrap_or(own).clone()
}

/// A new request identity.
pub(super) fn new_request() -> attempt::Request {
    attempt::Request(rand::random())
}
