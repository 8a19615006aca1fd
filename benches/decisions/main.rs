//! The quality of the decisions, and the cost of one.
//!
//! `cargo bench --bench decisions` runs the deployments of the two users in virtual time, with
//! bursts and faults, under round robin, least outstanding requests by lagged reports, the
//! dispatchers of this project, and the same with known output lengths. All four get the same
//! requests and faults. Arguments select services by name.

// Nothing here runs on after a suspension of the machine, so clocks that stand still meanwhile do
// no harm.
#![allow(clippy::disallowed_methods)]

use std::time::Duration;

use scalewood::core::dispatch;

mod baseline;
mod cost;
mod fingerprint;
mod load;
mod ours;
mod score;
mod world;

use world::{Event, Fault, World};

/// A routing strategy that is measured.
trait Router {
    fn arrive(&mut self, world: &mut World, request: usize);
    fn leave(&mut self, world: &mut World, request: usize);
    fn first(&mut self, world: &mut World, run: u64);
    fn done(&mut self, world: &mut World, run: u64);
    fn tick(&mut self, world: &mut World);
    fn fault(&mut self, world: &mut World, fault: Fault);
    fn report(
        &mut self,
        world: &mut World,
        zone: usize,
        from: (usize, usize),
        report: dispatch::Report,
    );
    fn order(&mut self, world: &mut World, zone: usize, order: dispatch::Order);
}

/// The interval of the ticks that routers get.
const TICK: Duration = Duration::from_millis(20);
/// The seeds of the runs.
const SEEDS: [u64; 3] = [11, 12, 13];

fn main() {
    let selected: Vec<String> = std::env::args()
        .skip(1)
        .filter(|a| !a.starts_with('-'))
        .collect();
    for service in load::services() {
        let named = |name: &String| service.name.contains(name.as_str());
        if selected.is_empty() || selected.iter().any(named) {
            measure(&service);
        }
    }
    if selected.is_empty() || selected.iter().any(|name| name == "cost") {
        cost::measure();
        fingerprint::measure();
    }
}

fn measure(service: &load::Service) {
    for faults in [false, true] {
        for factor in [1.0, 1.5, 2.5] {
            let with = if faults {
                "with faults"
            } else {
                "without faults"
            };
            println!(
                "\n{}: burst at {factor} times capacity, {with}",
                service.name
            );
            let scores = score::Kind::ALL.map(|kind| {
                let runs = std::thread::scope(|scope| {
                    let one = |seed| scope.spawn(move || run(service, kind, factor, faults, seed));
                    SEEDS
                        .map(one)
                        .map(|thread| thread.join().expect("a run ends"))
                });
                score::Score::of(kind, &runs)
            });
            score::print(service, &scores);
        }
    }
}

fn run(
    service: &load::Service,
    kind: score::Kind,
    factor: f64,
    faults: bool,
    seed: u64,
) -> score::Outcome {
    let requests = load::requests(service, factor, seed);
    let mut world = World::new(service, requests);
    for i in 0..world.requests.len() {
        world.at(world.requests[i].at, Event::Arrive(i));
    }
    if faults {
        schedule_faults(&mut world);
    }
    world.at(Duration::ZERO, Event::Tick);
    match kind {
        score::Kind::RoundRobin => {
            let mut router = baseline::Baseline::new(baseline::Choice::RoundRobin, &world);
            drive(&mut world, &mut router);
        }
        score::Kind::LeastOutstanding => {
            let mut router = baseline::Baseline::new(baseline::Choice::LeastOutstanding, &world);
            drive(&mut world, &mut router);
        }
        score::Kind::Ours | score::Kind::Known => {
            let mut router = ours::Ours::new(kind == score::Kind::Known, &world);
            drive(&mut world, &mut router);
        }
    }
    score::Outcome::of(&world)
}

/// Schedules the faults of a run: a crash mid-stream, a slow engine, a lost entry box, a zone that
/// is cut off, and an endpoint that leaves, all during the burst and after it.
fn schedule_faults(world: &mut World) {
    let last = world.engines.len() - 1;
    let zones = world.service.boxes.len();
    for (at, fault) in [
        (40, Fault::Crash(0)),
        (60, Fault::Recover(0)),
        (45, Fault::Slow(last, 3.0)),
        (85, Fault::Slow(last, 1.0)),
        (55, Fault::LoseBox(0, 0)),
        (65, Fault::Cut(zones - 1)),
        (80, Fault::Heal(zones - 1)),
        (70, Fault::Leaving(1)),
        (100, Fault::Gone(1)),
    ] {
        world.at(Duration::from_secs(at), Event::Fault(fault));
    }
}

fn drive<R: Router>(world: &mut World, router: &mut R) {
    while let Some(event) = world.next() {
        match event {
            Event::Arrive(request) => {
                let (zone, entry) = (world.requests[request].zone, world.requests[request].entry);
                if world.lost[zone][entry] {
                    // The load balancer sends the request to another box of the zone.
                    let alive = world.lost[zone].iter().position(|lost| !lost);
                    world.requests[request].entry = alive.expect("a box is left");
                }
                router.arrive(world, request);
            }
            Event::Leave(request) => router.leave(world, request),
            Event::First(run) => router.first(world, run),
            Event::Done(run) => router.done(world, run),
            Event::Report(zone, from, report) => router.report(world, zone, from, *report),
            Event::Order(zone, order) => router.order(world, zone, order),
            Event::Fault(fault) => {
                apply_fault(world, fault);
                router.fault(world, fault);
            }
            Event::Tick => {
                router.tick(world);
                if !world.is_over() {
                    world.after(TICK, Event::Tick);
                }
            }
        }
    }
}

fn apply_fault(world: &mut World, fault: Fault) {
    match fault {
        Fault::Crash(engine) | Fault::Gone(engine) => world.engines[engine].up = false,
        Fault::Recover(engine) => world.engines[engine].up = true,
        Fault::Slow(engine, slower) => world.engines[engine].slower = slower,
        Fault::LoseBox(zone, entry) => {
            // With a single box in the zone nothing would be left to measure.
            world.lost[zone][entry] = world.lost[zone].len() > 1;
        }
        Fault::Cut(zone) => world.cut[zone] = true,
        Fault::Heal(zone) => world.cut[zone] = false,
        Fault::Leaving(engine) => world.engines[engine].leaving = true,
    }
}
