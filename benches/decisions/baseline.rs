//! The baselines: every request is sent to an engine at once and waits in its queue.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

use crate::{
    world::{End, Event, Fault, World},
    Router,
};

/// How a baseline chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    RoundRobin,
    /// The fewest outstanding requests, by load reports that lag.
    LeastOutstanding,
}

/// The maximal age of load reports.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);
/// How long a dead or leaving engine is still chosen, since the platform's list of engines lags.
const LIST_LAG: Duration = Duration::from_secs(5);

pub(crate) struct Baseline {
    choice: Choice,
    turn: usize,
    loads: Vec<usize>,
    reported: Duration,
    /// The time from which on an engine is known to be gone.
    gone: Vec<Option<Duration>>,
    random: SmallRng,
}

impl Baseline {
    pub(crate) fn new(choice: Choice, world: &World) -> Self {
        Self {
            choice,
            turn: 0,
            loads: vec![0; world.engines.len()],
            reported: Duration::ZERO,
            gone: vec![None; world.engines.len()],
            random: SmallRng::seed_from_u64(1),
        }
    }

    fn choose(&mut self, world: &World, zone: usize) -> Option<usize> {
        let known = |engine: &usize| self.gone[*engine].is_none_or(|at| at > world.now);
        let reachable = |engine: &usize| world.reaches(zone, world.engines[*engine].zone);
        let usable: Vec<_> = (0..world.engines.len())
            .filter(known)
            .filter(reachable)
            .collect();
        match self.choice {
            Choice::RoundRobin => {
                self.turn += 1;
                (!usable.is_empty()).then(|| usable[self.turn % usable.len()])
            }
            Choice::LeastOutstanding => {
                let least = usable.iter().map(|engine| self.loads[*engine]).min()?;
                let ties: Vec<_> = usable
                    .into_iter()
                    .filter(|engine| self.loads[*engine] == least)
                    .collect();
                Some(ties[self.random.random_range(0..ties.len())])
            }
        }
    }

    /// Sends a request to an engine, and to another one if that is dead.
    fn send(&mut self, world: &mut World, request: usize) {
        let zone = world.requests[request].zone;
        for _ in 0..3 {
            let Some(engine) = self.choose(world, zone) else {
                break;
            };
            if !world.engines[engine].up {
                // The engine looks alive until the list tells otherwise, so its load is counted as
                // usual.
                self.loads[engine] += 1;
                continue;
            }
            self.loads[engine] += 1;
            world.engines[engine].queue.push_back(request);
            self.start_queued(world, engine);
            return;
        }
        world.end(request, End::Shed);
    }

    fn start_queued(&mut self, world: &mut World, engine: usize) {
        while world.engines[engine].up && world.engines[engine].running < world.service.slots {
            let Some(request) = world.engines[engine].queue.pop_front() else {
                return;
            };
            if world.progress[request].end.is_none() {
                world.start(request, engine);
            }
        }
    }

    fn lose_engine(&mut self, world: &mut World, engine: usize) {
        for run in world.runs_at(engine) {
            let Some(run) = world.stop(run, false) else {
                continue;
            };
            if world.progress[run.request].first.is_some() {
                world.end(run.request, End::Broken);
            } else {
                self.send(world, run.request);
            }
        }
        let queued: Vec<_> = world.engines[engine].queue.drain(..).collect();
        for request in queued {
            if world.progress[request].end.is_none() {
                self.send(world, request);
            }
        }
    }
}

impl Router for Baseline {
    fn arrive(&mut self, world: &mut World, request: usize) {
        let deadline = world.class(request).config.deadline;
        world.after(deadline, Event::Leave(request));
        self.send(world, request);
    }

    fn leave(&mut self, world: &mut World, request: usize) {
        if world.progress[request].end.is_some() || world.progress[request].first.is_some() {
            return;
        }
        let run = world.run_of(request);
        world.end(request, End::Left);
        if let Some(run) = run.and_then(|run| world.stop(run, false)) {
            self.start_queued(world, run.engine);
        }
    }

    fn first(&mut self, world: &mut World, run: u64) {
        world.first(run);
    }

    fn done(&mut self, world: &mut World, run: u64) {
        if let Some(run) = world.done(run) {
            self.start_queued(world, run.engine);
        }
    }

    fn tick(&mut self, world: &mut World) {
        if world.now >= self.reported + MAX_REPORT_AGE {
            self.reported = world.now;
            let load = |engine: &crate::world::Engine| engine.queue.len() + engine.running as usize;
            self.loads = world.engines.iter().map(load).collect();
        }
    }

    fn fault(&mut self, world: &mut World, fault: Fault) {
        match fault {
            Fault::Crash(engine) | Fault::Gone(engine) => {
                self.gone[engine].get_or_insert(world.now + LIST_LAG);
                self.lose_engine(world, engine);
            }
            Fault::Recover(engine) => self.gone[engine] = None,
            Fault::Leaving(engine) => self.gone[engine] = Some(world.now + LIST_LAG),
            Fault::Cut(zone) => {
                let cut_runs: Vec<_> = world
                    .runs
                    .iter()
                    .filter(|(_, run)| {
                        !world.reaches(
                            world.requests[run.request].zone,
                            world.engines[run.engine].zone,
                        )
                    })
                    .map(|(id, _)| *id)
                    .collect();
                let _ = zone;
                for id in cut_runs {
                    if let Some(run) = world.stop(id, false) {
                        world.end(run.request, End::Broken);
                        self.start_queued(world, run.engine);
                    }
                }
            }
            Fault::LoseBox(..) | Fault::Heal(_) | Fault::Slow(..) => {}
        }
    }

    fn report(
        &mut self,
        _: &mut World,
        _: usize,
        _: (usize, usize),
        _: scalewood::core::dispatch::Report,
    ) {
    }

    fn order(&mut self, _: &mut World, _: usize, _: scalewood::core::dispatch::Order) {}
}
