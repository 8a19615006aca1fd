//! The deployments of the two users, their classes and their requests.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{config, unit};

/// A class of requests and the shape of its load.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) config: config::Class,
    /// Its fraction of the offered work.
    pub(crate) work_fraction: f64,
    /// The median of its answers' lengths, in tokens.
    pub(crate) tokens: f64,
    /// The mean of its prompts' lengths, in tokens.
    pub(crate) prompt: f64,
}

/// A service and where it runs.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) classes: Vec<Class>,
    /// Endpoints in each zone.
    pub(crate) endpoints: Vec<usize>,
    /// Entry boxes in each zone.
    pub(crate) boxes: Vec<usize>,
    pub(crate) slots: u32,
    /// Seconds for each token of an answer.
    pub(crate) token_s: f64,
    /// Seconds for each token of a prompt. Calls of plain services consist of a prompt alone.
    pub(crate) prefill_s: f64,
    /// The one-way latency between zones.
    pub(crate) link: Duration,
    pub(crate) model: bool,
}

/// The sigma of the log-normal distribution of the lengths of answers.
const LENGTH_SIGMA: f64 = 0.7;

impl Class {
    /// Returns the mean length of its answers.
    fn mean_tokens(&self) -> f64 {
        self.tokens * (LENGTH_SIGMA * LENGTH_SIGMA / 2.0).exp()
    }
}

impl Service {
    /// Returns the mean time for which a request of a class holds a slot, in seconds.
    pub(crate) fn hold(&self, class: &Class) -> f64 {
        let answer = if self.model {
            class.mean_tokens() * self.token_s
        } else {
            0.0
        };
        class.prompt * self.prefill_s + answer
    }

    pub(crate) fn total_slots(&self) -> f64 {
        f64::from(self.slots) * self.endpoints.iter().sum::<usize>() as f64
    }
}

fn class(
    name: &'static str,
    tier: u8,
    target_ms: u64,
    deadline_s: u64,
    share: f64,
    shape: (f64, f64, f64),
) -> Class {
    let (work_fraction, tokens, prompt) = shape;
    let config = config::Class {
        tier: unit::Tier(tier),
        target: Duration::from_millis(target_ms),
        deadline: Duration::from_secs(deadline_s),
        share: unit::Share::try_from(share).expect("a share"),
        preemptible: tier >= 2,
        repeatable: true,
        gap: None,
        allowed: Default::default(),
    };
    Class {
        name,
        config,
        work_fraction,
        tokens,
        prompt,
    }
}

/// Returns the services of both users.
pub(crate) fn services() -> Vec<Service> {
    let catalogue = Service {
        name: "catalogue model",
        classes: vec![
            class("counter", 0, 950, 5, 0.0, (0.25, 60.0, 400.0)),
            class("quote", 1, 950, 8, 0.0, (0.2, 100.0, 600.0)),
            class("report", 2, 2000, 30, 0.02, (0.3, 500.0, 1500.0)),
            class("bulk", 4, 60_000, 600, 0.05, (0.25, 300.0, 2000.0)),
        ],
        endpoints: vec![5, 5, 5, 5],
        boxes: vec![3, 2, 2, 2],
        slots: 16,
        token_s: 0.03,
        prefill_s: 0.0001,
        link: Duration::from_micros(500),
        model: true,
    };
    let registry = Service {
        name: "catalogue registry",
        classes: vec![
            class("lookup", 0, 300, 3, 0.0, (0.7, 1.0, 100.0)),
            class("export", 1, 2000, 20, 0.05, (0.3, 1.0, 400.0)),
        ],
        endpoints: vec![1, 1, 1, 1],
        slots: 8,
        prefill_s: 0.0005,
        model: false,
        ..catalogue.clone()
    };
    let farm = Service {
        name: "farm triage",
        classes: vec![
            class("security", 0, 950, 5, 0.0, (0.15, 150.0, 1500.0)),
            class("diagnose", 1, 1500, 20, 0.02, (0.45, 250.0, 3000.0)),
            class("review", 2, 3000, 60, 0.02, (0.2, 400.0, 3000.0)),
            class("changelog", 4, 60_000, 600, 0.05, (0.2, 200.0, 1000.0)),
        ],
        endpoints: vec![4, 3, 3],
        boxes: vec![3, 3, 2],
        link: Duration::from_millis(1),
        ..catalogue.clone()
    };
    let status = Service {
        name: "farm status",
        endpoints: vec![1, 1, 1],
        boxes: vec![3, 3, 2],
        link: Duration::from_millis(1),
        classes: vec![
            class("post", 0, 500, 5, 0.0, (0.6, 1.0, 100.0)),
            class("fetch", 1, 1000, 10, 0.05, (0.4, 1.0, 100.0)),
        ],
        ..registry.clone()
    };
    vec![catalogue, registry, farm, status]
}

/// A request as it is offered.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) at: Duration,
    pub(crate) class: usize,
    pub(crate) zone: usize,
    pub(crate) entry: usize,
    pub(crate) tokens: u64,
    pub(crate) prompt: u64,
}

/// The load before and after the burst, as a fraction of capacity.
const BASE_LOAD: f64 = 0.6;
/// When the burst begins and ends, and when the last request arrives, in seconds.
pub(crate) const BURST_S: (f64, f64, f64) = (30.0, 90.0, 150.0);

/// Returns the requests of a run: the base load, a burst at `factor` times capacity, and the base
/// load again.
pub(crate) fn requests(service: &Service, factor: f64, seed: u64) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, class) in service.classes.iter().enumerate() {
        // Requests a second at a load of 1.
        let rate = service.total_slots() * class.work_fraction / service.hold(class);
        let mut at = 0.0;
        while at < BURST_S.2 {
            let load = if (BURST_S.0..BURST_S.1).contains(&at) {
                factor
            } else {
                BASE_LOAD
            };
            at += -random.random_range(f64::EPSILON..1.0f64).ln() / (rate * load);
            requests.push(request(service, class, index, at, &mut random));
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

fn request(
    service: &Service,
    class: &Class,
    index: usize,
    at: f64,
    random: &mut SmallRng,
) -> Request {
    let zone = random.random_range(0..service.boxes.len());
    let normal: f64 = (0..12)
        .map(|_| random.random_range(0.0..1.0f64))
        .sum::<f64>()
        - 6.0;
    let tokens = if service.model {
        class.tokens * (LENGTH_SIGMA * normal).exp()
    } else {
        1.0
    };
    let prompt = class.prompt * random.random_range(0.5..1.5);
    Request {
        at: Duration::from_secs_f64(at),
        class: index,
        zone,
        entry: random.random_range(0..service.boxes[zone]),
        // The values are positive and small, so the casts are exact enough.
        tokens: tokens.ceil().clamp(1.0, 4000.0) as u64,
        prompt: prompt.ceil().max(1.0) as u64,
    }
}
