//! The scores of a run: attainment by class, goodput, wasted work and the longest wait.

use std::time::Duration;

use crate::{
    load::Service,
    world::{End, World},
};

/// The routing strategies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    RoundRobin,
    LeastOutstanding,
    Ours,
    /// Ours with known output lengths, as the upper reference.
    Known,
}

impl Kind {
    pub(crate) const ALL: [Kind; 4] = [
        Kind::RoundRobin,
        Kind::LeastOutstanding,
        Kind::Ours,
        Kind::Known,
    ];

    fn name(self) -> &'static str {
        match self {
            Kind::RoundRobin => "round robin",
            Kind::LeastOutstanding => "least outstanding",
            Kind::Ours => "ours",
            Kind::Known => "ours, known lengths",
        }
    }
}

/// The outcome of one run.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// The fraction of each class's requests whose first token came in time, out of those whose
    /// entry box was not lost.
    attained: Vec<f64>,
    /// The fraction of each class's requests that were answered completely.
    whole: Vec<f64>,
    /// The tokens of complete answers whose first token came in time.
    goodput: f64,
    /// The fraction of the slot time that was wasted.
    wasted: f64,
    /// The longest wait for a slot in the lowest class, among the requests that got one, in
    /// seconds.
    longest: f64,
}

impl Outcome {
    pub(crate) fn of(world: &World) -> Self {
        let classes = world.service.classes.len();
        let mut offered = vec![0.0; classes];
        let mut attained = vec![0.0; classes];
        let mut whole = vec![0.0; classes];
        let (mut goodput, mut longest) = (0.0, Duration::ZERO);
        for (request, progress) in world.requests.iter().zip(&world.progress) {
            if progress.end == Some(End::BoxLost) {
                continue;
            }
            let class = request.class;
            offered[class] += 1.0;
            let target = world.service.classes[class].config.target;
            let in_time = progress
                .first
                .is_some_and(|first| first - request.at <= target);
            attained[class] += f64::from(u8::from(in_time));
            if progress.end == Some(End::Done) {
                whole[class] += 1.0;
                goodput += if in_time { request.tokens as f64 } else { 0.0 };
            }
            if class + 1 == classes {
                longest = longest.max(progress.started.map_or(Duration::ZERO, |s| s - request.at));
            }
        }
        let fractions =
            |counts: Vec<f64>| counts.iter().zip(&offered).map(|(n, of)| n / of).collect();
        Self {
            attained: fractions(attained),
            whole: fractions(whole),
            goodput,
            wasted: world.wasted / world.used.max(f64::EPSILON),
            longest: longest.as_secs_f64(),
        }
    }
}

/// A figure over the runs with several seeds.
#[derive(Clone, Copy, Debug)]
struct Figure {
    mean: f64,
    low: f64,
    high: f64,
}

impl Figure {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<_> = values.collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            low: values.iter().copied().fold(f64::INFINITY, f64::min),
            high: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }

    fn percent(self) -> String {
        let [mean, low, high] = [self.mean, self.low, self.high].map(|v| 100.0 * v);
        format!("{mean:5.1} ({low:.1}-{high:.1})")
    }
}

/// The figures of one router.
pub(crate) struct Score {
    kind: Kind,
    attained: Vec<Figure>,
    whole: Vec<Figure>,
    goodput: Figure,
    wasted: Figure,
    longest: Figure,
}

impl Score {
    pub(crate) fn of(kind: Kind, runs: &[Outcome]) -> Self {
        let by_class = |get: fn(&Outcome) -> &Vec<f64>| {
            let classes = 0..get(&runs[0]).len();
            classes
                .map(|class| Figure::of(runs.iter().map(|run| get(run)[class])))
                .collect()
        };
        Self {
            kind,
            attained: by_class(|run| &run.attained),
            whole: by_class(|run| &run.whole),
            goodput: Figure::of(runs.iter().map(|run| run.goodput)),
            wasted: Figure::of(runs.iter().map(|run| run.wasted)),
            longest: Figure::of(runs.iter().map(|run| run.longest)),
        }
    }
}

/// Prints the table for one load.
pub(crate) fn print(service: &Service, scores: &[Score]) {
    let reference = scores.last().map_or(1.0, |score| score.goodput.mean);
    let names = service
        .classes
        .iter()
        .map(|class| format!("{:>20}", class.name));
    println!(
        "  {:<20}{}{:>20}{:>20}{:>16}{:>10}",
        "attained, %",
        names.collect::<String>(),
        "goodput, % of ref",
        "wasted, %",
        "lowest whole, %",
        "wait, s"
    );
    for score in scores {
        let attained = score
            .attained
            .iter()
            .map(|figure| format!("{:>20}", figure.percent()));
        let goodput = Figure {
            mean: score.goodput.mean / reference,
            low: score.goodput.low / reference,
            high: score.goodput.high / reference,
        };
        let whole = score.whole.last().map_or(0.0, |figure| 100.0 * figure.mean);
        println!(
            "  {:<20}{}{:>20}{:>20}{whole:>16.1}{:>10.1}",
            score.kind.name(),
            attained.collect::<String>(),
            goodput.percent(),
            score.wasted.percent(),
            score.longest.high
        );
    }
}
