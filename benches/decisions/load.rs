//! The two deployments of the brief, their classes, and their requests.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{config, unit};

/// A class of requests and what it looks like.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) config: config::Class,
    /// Its part of the work that is offered.
    pub(crate) part: f64,
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
    pub(crate) token: f64,
    /// Seconds for each token of a prompt; a plain service's calls are all prompt.
    pub(crate) prefill: f64,
    /// One way between zones.
    pub(crate) link: Duration,
    pub(crate) model: bool,
}

/// How the lengths of answers spread (the sigma of a log-normal).
const SPREAD: f64 = 0.7;

impl Class {
    /// The mean length of its answers.
    fn mean_tokens(&self) -> f64 {
        self.tokens * (SPREAD * SPREAD / 2.0).exp()
    }
}

impl Service {
    /// The mean time that a request of a class holds a slot, in seconds.
    pub(crate) fn hold(&self, class: &Class) -> f64 {
        let answer = if self.model {
            class.mean_tokens() * self.token
        } else {
            0.0
        };
        class.prompt * self.prefill + answer
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
    let (part, tokens, prompt) = shape;
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
        part,
        tokens,
        prompt,
    }
}

/// The services of both users.
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
        token: 0.03,
        prefill: 0.0001,
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
        prefill: 0.0005,
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

/// The load before and after a burst, as a part of capacity.
const CALM: f64 = 0.6;
/// When the burst begins and ends, and when the last request comes.
pub(crate) const BURST: (f64, f64, f64) = (30.0, 90.0, 150.0);

/// The requests of a run: calm, a burst at `factor` times capacity, calm.
pub(crate) fn requests(service: &Service, factor: f64, seed: u64) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (index, class) in service.classes.iter().enumerate() {
        // Requests a second at a load of 1.
        let rate = service.total_slots() * class.part / service.hold(class);
        let mut at = 0.0;
        while at < BURST.2 {
            let load = if (BURST.0..BURST.1).contains(&at) {
                factor
            } else {
                CALM
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
        class.tokens * (SPREAD * normal).exp()
    } else {
        1.0
    };
    let prompt = class.prompt * random.random_range(0.5..1.5);
    Request {
        at: Duration::from_secs_f64(at),
        class: index,
        zone,
        entry: random.random_range(0..service.boxes[zone]),
        // Positive and small, so the casts are exact enough.
        tokens: tokens.ceil().clamp(1.0, 4000.0) as u64,
        prompt: prompt.ceil().max(1.0) as u64,
    }
}
