//! Long randomised runs over the machines of `core`, with faults from a seed.
//!
//! `SCALEWOOD_RUNS` and `SCALEWOOD_SEED` choose how many runs and from which seed;
//! the defaults are fixed, so that every run of the tests is the same. A failing run
//! prints its seed, and is then shrunk: the shortest schedule that still fails is
//! looked for, by leaving out parts of it.

pub(crate) mod agree;
pub(crate) mod claim;
pub(crate) mod dispatch;
pub(crate) mod incarnation;
pub(crate) mod member;
pub(crate) mod warm_up;

use std::panic::{catch_unwind, AssertUnwindSafe};

use rand::{rngs::SmallRng, SeedableRng as _};

/// A generator of random numbers for a seed.
pub(crate) fn random(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

fn number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

/// The seeds of a test that makes so many runs, unless it is told otherwise.
pub(crate) fn seeds(default_runs: u64) -> std::ops::Range<u64> {
    let first = number("SCALEWOOD_SEED", 1);
    first..first + number("SCALEWOOD_RUNS", default_runs)
}

/// Runs a property over many schedules. `schedule` makes the steps of a seed; `check`
/// carries steps out and panics where the property does not hold.
pub(crate) fn runs<S: Clone + std::fmt::Debug>(
    default_runs: u64,
    schedule: impl Fn(u64) -> Vec<S>,
    check: impl Fn(u64, &[S]),
) {
    for seed in seeds(default_runs) {
        let steps = schedule(seed);
        let fails = |steps: &[S]| catch_unwind(AssertUnwindSafe(|| check(seed, steps))).is_err();
        if !fails(&steps) {
            continue;
        }
        let shortest = shrink(steps, &fails);
        eprintln!("seed {seed} fails; the shortest schedule found is {shortest:?}");
        check(seed, &shortest);
        panic!("seed {seed} fails, but not every time: the property is not repeatable");
    }
}

/// Looks for a shorter schedule that still fails, leaving out ever smaller parts.
fn shrink<S: Clone>(mut steps: Vec<S>, fails: &impl Fn(&[S]) -> bool) -> Vec<S> {
    let mut part = steps.len() / 2;
    while part > 0 {
        let mut at = 0;
        while at < steps.len() {
            let mut shorter = steps.clone();
            shorter.drain(at..(at + part).min(steps.len()));
            if fails(&shorter) {
                steps = shorter;
            } else {
                at += part;
            }
        }
        part /= 2;
    }
    steps
}
