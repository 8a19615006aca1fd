//! Autoscaling: how many endpoints are ordered, in which zones and of which kind. Each test names
//! the pattern of load or loss that it covers. As the users' provider does, the emulated one starts
//! endpoints after four seconds, takes all interruptible ones of a zone away with two seconds of
//! notice, and has none there for ten seconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    name,
    scaling::{Answer, Kind, Observed, Offer, Order, Scaler, Serving, Settings},
};

const ZONES: [&str; 4] = ["z0", "z1", "z2", "z3"];
const SLOTS: u32 = 12;
const MAX_PER_ZONE: u32 = 56;
const TICK: Duration = Duration::from_millis(250);
const START_TIME: Duration = Duration::from_secs(4);
const NOTICE: Duration = Duration::from_millis(2000);
const OUTAGE: Duration = Duration::from_secs(10);

/// Returns settings that aim at three tenths of the slots in use. The demands in the tests assume
/// this, which leaves room to order more endpoints in each zone and to give some up.
fn settings() -> Settings {
    Settings {
        utilisation: 0.3,
        ..Settings::default()
    }
}

fn offer() -> Offer {
    Offer {
        min: 1,
        max: MAX_PER_ZONE,
        start_ms: 4000,
        interruptible_price: Some(0.22),
        zone_prices: ZONES
            .iter()
            .map(|zone| (zone.parse().unwrap(), 1.0))
            .collect(),
    }
}

/// The endpoints of a kind in a zone, as the provider has them.
#[derive(Clone, Debug, Default)]
struct Stock {
    serving: u32,
    /// When endpoints that are starting will serve, and how many.
    starting: Vec<(Duration, u32)>,
    /// When endpoints that are being taken away will be gone, and how many.
    going: Option<(Duration, u32)>,
}

/// An emulated provider, and the endpoints that were ordered from it.
struct World {
    now: Duration,
    scaler: Scaler,
    stock: BTreeMap<(name::Zone, Kind), Stock>,
    /// Until when a zone has no interruptible endpoints.
    outages: BTreeMap<name::Zone, Duration>,
    orders: Vec<Order>,
    cordoned: BTreeSet<name::Zone>,
}

impl World {
    /// Creates a service with a number of ordinary endpoints in each zone.
    fn new(ordinary: u32) -> Self {
        let now = Duration::from_secs(100);
        let stock = ZONES.iter().map(|zone| {
            let stock = Stock {
                serving: ordinary,
                ..Stock::default()
            };
            ((zone.parse().unwrap(), Kind::Ordinary), stock)
        });
        Self {
            now,
            scaler: Scaler::new(settings(), now),
            stock: stock.collect(),
            outages: BTreeMap::new(),
            orders: Vec::new(),
            cordoned: BTreeSet::new(),
        }
    }

    fn seen(&self, in_use: u32) -> Observed {
        let mut zones: BTreeMap<name::Zone, Serving> = BTreeMap::new();
        for ((zone, kind), stock) in &self.stock {
            let serving = zones.entry(zone.clone()).or_default();
            match kind {
                Kind::Ordinary => serving.ordinary += stock.serving,
                Kind::Interruptible => serving.interruptible += stock.serving,
            }
            serving.leaving += stock.going.map_or(0, |(_, count)| count);
        }
        Observed {
            in_use,
            slots: SLOTS,
            zones,
            cordoned: self.cordoned.clone(),
        }
    }

    /// Runs for a time with a number of slots in use.
    fn run(&mut self, time: Duration, in_use: u32) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for stock in self.stock.values_mut() {
                let now = self.now;
                let ready = stock.starting.iter().filter(|(at, _)| *at <= now);
                stock.serving += ready.map(|(_, count)| count).sum::<u32>();
                stock.starting.retain(|(at, _)| *at > now);
                stock.going = stock.going.filter(|(at, _)| *at > now);
            }
            let seen = self.seen(in_use);
            for order in self.scaler.step(&offer(), &seen, self.now) {
                let answer = self.take(&order);
                self.scaler.record_answer(&order, answer, self.now);
                self.orders.push(order);
            }
            self.check();
        }
    }

    fn take(&mut self, order: &Order) -> Answer {
        let is_out = self
            .outages
            .get(&order.zone)
            .is_some_and(|until| *until > self.now);
        let stock = self
            .stock
            .entry((order.zone.clone(), order.kind))
            .or_default();
        let has = stock.serving + stock.starting.iter().map(|(_, count)| count).sum::<u32>();
        if order.count > has {
            if is_out && order.kind == Kind::Interruptible {
                return Answer::NoneLeft;
            }
            stock
                .starting
                .push((self.now + START_TIME, order.count - has));
        } else {
            let mut less = has - order.count;
            while less > 0 {
                if let Some((at, count)) = stock.starting.pop() {
                    let kept = count.saturating_sub(less);
                    less -= count - kept;
                    if kept > 0 {
                        stock.starting.push((at, kept));
                    }
                } else {
                    stock.serving -= less;
                    less = 0;
                }
            }
        }
        Answer::Taken
    }

    /// Gives notice that all interruptible endpoints of a zone are taken away.
    fn reclaim(&mut self, zone: &str) {
        let zone: name::Zone = zone.parse().unwrap();
        let stock = self
            .stock
            .entry((zone.clone(), Kind::Interruptible))
            .or_default();
        stock.going = Some((self.now + NOTICE, stock.serving));
        stock.serving = 0;
        stock.starting.clear();
        self.outages.insert(zone, self.now + OUTAGE);
    }

    /// Checks the provider's bound on the endpoints of both kinds together.
    fn check(&self) {
        for zone in ZONES {
            let zone: name::Zone = zone.parse().unwrap();
            let count = |kind| {
                let stock = self.stock.get(&(zone.clone(), kind));
                stock.map_or(0, |stock| {
                    stock.serving + stock.starting.iter().map(|(_, count)| count).sum::<u32>()
                })
            };
            let both = count(Kind::Ordinary) + count(Kind::Interruptible);
            assert!(both <= MAX_PER_ZONE, "{both} in {zone} at {:?}", self.now);
        }
    }

    fn serving(&self, kind: Kind) -> u32 {
        let stock = self.stock.iter().filter(|((_, of), _)| *of == kind);
        stock.map(|(_, stock)| stock.serving).sum()
    }

    fn all(&self) -> u32 {
        self.serving(Kind::Ordinary) + self.serving(Kind::Interruptible)
    }
}

/// Before there is any demand, the endpoints found at the start are replaced by cheaper ones, which
/// serve before the others are given up.
#[test]
fn what_was_found_is_replaced_before_it_is_given_up() {
    let mut world = World::new(28);
    for _ in 0..80 {
        world.run(TICK, 0);
        assert!(
            f64::from(world.all()) >= 112.0 * 0.85,
            "{} serve",
            world.all()
        );
    }
    assert_eq!(world.serving(Kind::Ordinary), 0);
    assert!(world.serving(Kind::Interruptible) >= 112);
}

/// A demand of a quarter of the slots, then a burst of three times as much for nine seconds:
/// endpoints are ordered within a tick, and are not given up while bursts recur.
#[test]
fn a_burst_is_ordered_for_at_once_and_kept_for_the_next_one() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(20), 330);
    let before = world.all();
    world.run(TICK, 1000);
    let ordered: u32 = world
        .orders
        .iter()
        .rev()
        .take(4)
        .map(|order| order.count)
        .sum();
    assert!(ordered > before, "{ordered} ordered, {before} serve");
    world.run(Duration::from_secs(9), 1000);
    let grown = world.all();
    assert!(grown > before, "{grown} serve, {before} did");
    world.run(Duration::from_secs(8), 330);
    assert!(world.all() >= grown, "given up between two bursts");
    world.run(Duration::from_secs(30), 330);
    assert!(world.all() < grown, "never given up");
}

/// All interruptible endpoints of a zone are taken away under load: those of the other zones
/// suffice for it, replacements are ordered in the tick of the notice, and the zone has endpoints
/// again soon after they are available.
#[test]
fn a_zone_that_loses_its_interruptible_endpoints_is_covered() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(30), 330);
    let needed = 330_u32.div_ceil(SLOTS);
    world.reclaim("z1");
    world.orders.clear();
    world.run(TICK, 330);
    let elsewhere = world
        .orders
        .iter()
        .filter(|order| order.zone.as_str() != "z1");
    assert!(elsewhere.count() > 0, "nothing is ordered elsewhere");
    // The outage, the time until the order is repeated, and the time of a start, with some ticks.
    let back_within = OUTAGE + Duration::from_secs(2) + START_TIME + 4 * TICK;
    let until = world.now + back_within;
    while world.now < until {
        world.run(TICK, 330);
        assert!(world.all() >= 2 * needed, "{} serve", world.all());
    }
    let back = &world.stock[&("z1".parse().unwrap(), Kind::Interruptible)];
    assert!(back.serving > 0, "none came back: {back:?}");
}

/// No interruptible endpoints are available anywhere, and the demand strains the rest: ordinary
/// ones are ordered, and given up once others serve in their place.
#[test]
fn ordinary_endpoints_stand_in_while_no_others_are_to_be_had() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(30), 900);
    for zone in ZONES {
        world.reclaim(zone);
    }
    world.run(Duration::from_secs(8), 900);
    let ordinary = world.serving(Kind::Ordinary);
    assert!(
        f64::from(ordinary * SLOTS) >= 900.0,
        "{ordinary} ordinary endpoints serve"
    );
    world.run(Duration::from_secs(60), 900);
    assert_eq!(world.serving(Kind::Ordinary), 0, "they are still paid for");
}

/// A zone is cordoned under load: endpoints are ordered elsewhere in the tick of the cordon, until
/// those there suffice for the demand. The orders for the zone itself stay as they are. After it is
/// uncordoned, nothing is given up within the look-back time.
#[test]
fn a_cordoned_zone_is_no_capacity_and_keeps_its_own() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(30), 300);
    let cordoned: name::Zone = "z1".parse().unwrap();
    let here = |world: &World| -> u32 {
        let stock = world
            .stock
            .iter()
            .filter(|((zone, _), _)| *zone == cordoned);
        stock.map(|(_, stock)| stock.serving).sum()
    };
    let before = here(&world);
    assert!(before > 0);
    world.orders.clear();
    world.cordoned.insert(cordoned.clone());
    world.run(TICK, 300);
    assert!(!world.orders.is_empty(), "nothing is ordered in its place");
    for order in &world.orders {
        assert_ne!(order.zone, cordoned, "{order:?}");
    }
    world.run(START_TIME + TICK, 300);
    let needed = (300.0 / 0.3 / f64::from(SLOTS)).ceil() as u32;
    let elsewhere = world.all() - here(&world);
    assert!(elsewhere >= needed, "{elsewhere} of {needed}");
    world.run(Duration::from_secs(30), 300);
    assert_eq!(here(&world), before);
    let all = world.all();
    world.orders.clear();
    world.cordoned.clear();
    world.run(Settings::default().look_back - TICK, 300);
    assert_eq!(world.all(), all, "given up at once: {:?}", world.orders);
    world.run(Duration::from_secs(30), 300);
    assert!(world.all() < all, "never given up");
}

/// At a demand that leaves room elsewhere, the other zones together get as many endpoints as there
/// were with the cordoned zone, so that as many of them may be lost at once as before.
#[test]
fn what_stood_in_a_cordoned_zone_is_replaced_in_full() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(60), 100);
    let before = world.all();
    let cordoned: name::Zone = "z1".parse().unwrap();
    world.cordoned.insert(cordoned.clone());
    world.run(START_TIME + 2 * TICK, 100);
    let here = world
        .stock
        .iter()
        .filter(|((zone, _), _)| *zone == cordoned);
    let here: u32 = here.map(|(_, stock)| stock.serving).sum();
    let elsewhere = world.all() - here;
    assert!(elsewhere >= before, "{elsewhere} in place of {before}");
}

/// With all zones cordoned, nothing is ordered and nothing is given up.
#[test]
fn nothing_is_ordered_while_all_zones_are_cordoned() {
    let mut world = World::new(28);
    world.run(Duration::from_secs(30), 900);
    let all = world.all();
    world.orders.clear();
    world.cordoned = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
    world.run(Duration::from_secs(20), 900);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    assert_eq!(world.all(), all);
}

/// Random demand, losses and cordons: the bound holds at each tick, and a service with demand is
/// never without endpoints for longer than an outage and two starts.
#[test]
fn bounds_hold_through_any_order_of_demand_and_losses() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World::new(random.random_range(1..40));
        let mut unserved_time = Duration::ZERO;
        for _ in 0..400 {
            if random.random_bool(0.03) {
                world.reclaim(ZONES[random.random_range(0..ZONES.len())]);
            }
            if random.random_bool(0.03) {
                world.cordoned.clear();
            }
            if random.random_bool(0.02) {
                let zone = ZONES[random.random_range(0..ZONES.len())];
                world.cordoned.insert(zone.parse().unwrap());
            }
            world.run(TICK, random.random_range(1..2000));
            unserved_time = if world.all() == 0 {
                unserved_time + TICK
            } else {
                Duration::ZERO
            };
            assert!(
                unserved_time < OUTAGE + START_TIME * 2,
                "seed {seed}: nothing serves"
            );
        }
    }
}

/// If the provider has no interruptible endpoints, the number of ordinary ones still follows the
/// demand, and no others are ordered.
#[test]
fn a_provider_without_interruptible_endpoints_gets_orders_of_the_others_only() {
    let mut scaler = Scaler::new(settings(), Duration::ZERO);
    let offer = Offer {
        interruptible_price: None,
        ..offer()
    };
    let zones = ZONES.iter().map(|zone| {
        let serving = Serving {
            ordinary: 10,
            ..Serving::default()
        };
        (zone.parse().unwrap(), serving)
    });
    let seen = Observed {
        in_use: 400,
        slots: SLOTS,
        zones: zones.collect(),
        cordoned: BTreeSet::new(),
    };
    scaler.step(&offer, &seen, Duration::ZERO);
    let orders = scaler.step(&offer, &seen, Duration::from_secs(5));
    assert!(!orders.is_empty());
    for order in orders {
        assert_eq!(order.kind, Kind::Ordinary);
        assert!(order.count > 10, "{order:?}");
    }
}

/// Endpoints that have just started and are cold take too little load to replace others, which stay
/// until the new ones are warm. The new ones are not ordered again meanwhile.
#[test]
fn ordinary_endpoints_are_kept_until_those_that_replace_them_are_warm() {
    let seen = |warming| {
        let zones = ZONES.iter().map(|zone| {
            let serving = Serving {
                ordinary: 10,
                interruptible: 20,
                warming,
                ..Serving::default()
            };
            (zone.parse().unwrap(), serving)
        });
        Observed {
            in_use: 140,
            slots: SLOTS,
            zones: zones.collect(),
            ..Observed::default()
        }
    };
    let given_up = |warming| {
        let mut scaler = Scaler::new(settings(), Duration::ZERO);
        scaler.step(&offer(), &seen(warming), Duration::ZERO);
        let orders = scaler.step(&offer(), &seen(warming), Duration::from_secs(5));
        let more = |order: &&Order| order.kind == Kind::Interruptible && order.count > 20;
        let again: Vec<_> = orders.iter().filter(more).cloned().collect();
        let fewer = |order: &&Order| order.kind == Kind::Ordinary && order.count < 10;
        let fewer: u32 = orders.iter().filter(fewer).map(|o| 10 - o.count).sum();
        (fewer, again)
    };
    let (warm, again) = given_up(0);
    let (cold, again_cold) = given_up(20);
    assert!(cold < warm, "{cold} are given up, and {warm} for warm ones");
    assert_eq!(again, again_cold);
}
