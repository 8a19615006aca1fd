//! Virtual time, engines and the outcome of requests.
//!
//! This is an event queue over engines with slots, without network or processes.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use scalewood::core::dispatch;

use crate::load::{Request, Service};

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    First(u64),
    Done(u64),
    /// The caller of a request leaves unless the first token has come.
    Leave(usize),
    Tick,
    Fault(Fault),
    /// A report reaches the dispatcher of a zone, from a box given as (zone, entry).
    Report(usize, (usize, usize), Box<dispatch::Report>),
    /// An order of a zone's dispatcher reaches the request that it is about.
    Order(usize, dispatch::Order),
}

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    Crash(usize),
    Recover(usize),
    Slow(usize, f64),
    LoseBox(usize, usize),
    Cut(usize),
    Heal(usize),
    Leaving(usize),
    Gone(usize),
}

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Done,
    Shed,
    /// Its stream broke off and was not resumed.
    Broken,
    /// Its caller left while it waited.
    Left,
    /// Its entry box was lost.
    BoxLost,
}

/// The progress of a request.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) first: Option<Duration>,
    pub(crate) end: Option<End>,
    /// Tokens that the caller has received.
    pub(crate) delivered: u64,
    pub(crate) attempts: u32,
    pub(crate) preempted: u32,
    pub(crate) started: Option<Duration>,
}

/// A run at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) engine: usize,
    pub(crate) first_at: Duration,
    pub(crate) token_s: f64,
    started: Duration,
    tokens: u64,
}

/// An engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) zone: usize,
    pub(crate) up: bool,
    pub(crate) leaving: bool,
    pub(crate) slower: f64,
    pub(crate) running: u32,
    /// The requests that wait in the engine. Only the baselines let them wait there.
    pub(crate) queue: VecDeque<usize>,
}

/// The simulated system without the router.
pub(crate) struct World {
    pub(crate) service: Service,
    pub(crate) requests: Vec<Request>,
    pub(crate) progress: Vec<Progress>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) runs: HashMap<u64, Run>,
    pub(crate) cut: Vec<bool>,
    pub(crate) lost: Vec<Vec<bool>>,
    pub(crate) now: Duration,
    /// Slot-seconds that were used; `wasted` counts those without a result.
    pub(crate) used: f64,
    pub(crate) wasted: f64,
    events: BTreeMap<(Duration, u64), Event>,
    serial: u64,
    /// Requests that have not ended.
    open: usize,
    next_run: u64,
}

impl World {
    pub(crate) fn new(service: &Service, requests: Vec<Request>) -> Self {
        let engines = service
            .endpoints
            .iter()
            .enumerate()
            .flat_map(|(zone, count)| {
                (0..*count).map(move |_| Engine {
                    zone,
                    up: true,
                    leaving: false,
                    slower: 1.0,
                    running: 0,
                    queue: VecDeque::new(),
                })
            });
        let progress = Progress {
            first: None,
            end: None,
            delivered: 0,
            attempts: 0,
            preempted: 0,
            started: None,
        };
        Self {
            progress: vec![progress; requests.len()],
            engines: engines.collect(),
            runs: HashMap::new(),
            cut: vec![false; service.endpoints.len()],
            lost: service
                .boxes
                .iter()
                .map(|count| vec![false; *count])
                .collect(),
            now: Duration::ZERO,
            used: 0.0,
            wasted: 0.0,
            events: BTreeMap::new(),
            serial: 0,
            open: requests.len(),
            next_run: 0,
            service: service.clone(),
            requests,
        }
    }

    pub(crate) fn at(&mut self, time: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((time, self.serial), event);
    }

    pub(crate) fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    pub(crate) fn next(&mut self) -> Option<Event> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now = time;
        Some(event)
    }

    /// Returns whether a box of one zone reaches an engine or box of another.
    pub(crate) fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || !(self.cut[from] || self.cut[to])
    }

    /// Returns whether all requests have ended.
    pub(crate) fn is_over(&self) -> bool {
        self.open == 0
    }

    pub(crate) fn class(&self, request: usize) -> &crate::load::Class {
        &self.service.classes[self.requests[request].class]
    }

    /// Returns how long a run of the rest of a request holds a slot at full speed.
    pub(crate) fn hold(&self, request: usize) -> Duration {
        let (prefill_s, rest) = self.remaining(request);
        Duration::from_secs_f64(prefill_s + rest as f64 * self.service.token_s)
    }

    /// Returns the prefill time of the rest of a request, in seconds, and the tokens that are left.
    fn remaining(&self, request: usize) -> (f64, u64) {
        let delivered = self.progress[request].delivered;
        let prompt = (self.requests[request].prompt + delivered) as f64;
        let rest = if self.service.model {
            self.requests[request].tokens - delivered
        } else {
            0
        };
        (prompt * self.service.prefill_s, rest)
    }

    /// Starts a run; the engine must have a free slot.
    pub(crate) fn start(&mut self, request: usize, engine: usize) -> u64 {
        let (prefill_s, rest) = self.remaining(request);
        let slower = self.engines[engine].slower;
        let token_s = self.service.token_s * slower;
        let first_at = self.now + Duration::from_secs_f64(prefill_s * slower);
        let done_at = first_at + Duration::from_secs_f64(rest as f64 * token_s);
        self.next_run += 1;
        let id = self.next_run;
        let run = Run {
            request,
            engine,
            first_at,
            token_s,
            started: self.now,
            tokens: rest,
        };
        self.runs.insert(id, run);
        self.engines[engine].running += 1;
        let progress = &mut self.progress[request];
        progress.attempts += 1;
        progress.started.get_or_insert(self.now);
        self.at(first_at, Event::First(id));
        self.at(done_at, Event::Done(id));
        id
    }

    /// Records a run's first token.
    pub(crate) fn first(&mut self, run: u64) {
        if let Some(run) = self.runs.get(&run) {
            self.progress[run.request].first.get_or_insert(self.now);
        }
    }

    /// Completes a run.
    pub(crate) fn done(&mut self, run: u64) -> Option<Run> {
        let run = self.runs.remove(&run)?;
        self.release(&run);
        self.progress[run.request].delivered = self.requests[run.request].tokens;
        self.end(run.request, End::Done);
        Some(run)
    }

    /// Stops a run. The delivered tokens are kept if the stream can be resumed; otherwise all work
    /// of the run is wasted.
    pub(crate) fn stop(&mut self, run: u64, resumable: bool) -> Option<Run> {
        let run = self.runs.remove(&run)?;
        self.release(&run);
        let streamed = self.now.saturating_sub(run.first_at).as_secs_f64();
        let tokens = if self.now >= run.first_at && run.token_s > 0.0 {
            ((streamed / run.token_s) as u64).min(run.tokens.saturating_sub(1))
        } else {
            0
        };
        let used = (self.now - run.started).as_secs_f64();
        if resumable {
            // The prompt has to be processed once more.
            self.progress[run.request].delivered += tokens;
            self.wasted += used - tokens as f64 * run.token_s;
        } else {
            let before = self.progress[run.request].delivered as f64 * run.token_s;
            self.wasted += used + before;
        }
        Some(run)
    }

    fn release(&mut self, run: &Run) {
        self.engines[run.engine].running -= 1;
        self.used += (self.now - run.started).as_secs_f64();
    }

    /// Ends a request.
    pub(crate) fn end(&mut self, request: usize, end: End) {
        let progress = &mut self.progress[request];
        assert!(
            progress.end.is_none(),
            "request {request} ends as {end:?} after {:?}",
            progress.end
        );
        progress.end = Some(end);
        self.open -= 1;
    }

    pub(crate) fn run_of(&self, request: usize) -> Option<u64> {
        self.runs
            .iter()
            .find(|(_, run)| run.request == request)
            .map(|(id, _)| *id)
    }

    pub(crate) fn runs_at(&self, engine: usize) -> Vec<u64> {
        let mut runs: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == engine)
            .map(|(id, _)| *id)
            .collect();
        runs.sort_unstable();
        runs
    }
}
