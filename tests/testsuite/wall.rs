//! The time of day that boxes agree on, which does not move when a minority of the clocks jumps.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    name,
    wall_clock::{Follower, Readings},
};

const VOTERS: usize = 6;
/// The true time of day when the monotonic clock shows zero.
const EPOCH_MS: u64 = 1_790_000_000_000;

fn voter(i: usize) -> name::Box {
    format!("c{i}").parse().unwrap()
}

/// Simulates voters, a third of whose clocks jump midway. Returns the largest error of the agreed
/// time at a voter whose clock jumped, in milliseconds.
fn max_error_ms(seed: u64, jump_ms: i64) -> u64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let skews: Vec<i64> = (0..VOTERS).map(|_| random.random_range(-30..30)).collect();
    let mut readings = Readings::default();
    let mut max_error_ms = 0;
    for step in 0..200_u64 {
        let now = Duration::from_millis(100 * step);
        let true_ms = EPOCH_MS + 100 * step;
        let jumped = |i: usize| {
            if i < VOTERS / 3 && step >= 100 {
                jump_ms
            } else {
                0
            }
        };
        let told = |i: usize| true_ms.saturating_add_signed(skews[i] + jumped(i));
        for i in 1..VOTERS {
            if random.random_bool(0.5) {
                readings.record(&voter(i), told(i), now, now);
            }
        }
        let agreed = readings.agree(told(0), VOTERS, now).unix_ms(now);
        if step > 10 {
            max_error_ms = max_error_ms.max(agreed.abs_diff(true_ms));
        }
    }
    max_error_ms
}

#[test]
fn a_third_of_the_clocks_that_jumps_moves_nothing() {
    for seed in 0..50 {
        for jump_ms in [2000, -2000, 60_000] {
            let off = max_error_ms(seed, jump_ms);
            assert!(off <= 60, "seed {seed}, jump {jump_ms}: {off} ms off");
        }
    }
}

#[test]
fn a_voter_that_hears_no_majority_keeps_what_was_agreed() {
    let mut readings = Readings::default();
    for i in 1..VOTERS {
        readings.record(&voter(i), EPOCH_MS, Duration::ZERO, Duration::ZERO);
    }
    let agreed = readings.agree(EPOCH_MS, VOTERS, Duration::ZERO);
    // The voter is cut off from the others, and its own clock jumps.
    let later = Duration::from_secs(60);
    let jumped = EPOCH_MS + 62_000;
    assert_eq!(readings.agree(jumped, VOTERS, later), agreed);
}

#[test]
fn a_box_follows_its_voter_and_not_its_own_clock() {
    let mut follower = Follower::default();
    let asked = Duration::from_secs(10);
    assert_eq!(follower.unix_ms(123, asked), 123, "nothing is known yet");
    // The first answer is slow, the second fast, and the third slow again.
    for (round_trip_ms, shown_ms) in [(400, 390), (2, 1), (300, 20)] {
        let answered = asked + Duration::from_millis(round_trip_ms);
        follower.record(EPOCH_MS + shown_ms, asked, answered);
    }
    let now = asked + Duration::from_secs(1);
    let off = follower.unix_ms(5, now).abs_diff(EPOCH_MS + 1000);
    assert!(off <= 1, "{off} ms off");
    assert_eq!(follower.error(), Some(Duration::from_millis(1)));
}

/// Readings that were in flight while a voter was frozen are ignored. A voter that was frozen for
/// 7.6 s and took them as the current time would make its boxes count five seconds of requests into
/// windows long past.
#[test]
fn what_was_under_way_during_a_freeze_tells_no_time() {
    let mut readings = Readings::default();
    let agreed = {
        for i in 1..VOTERS {
            readings.record(&voter(i), EPOCH_MS, Duration::ZERO, Duration::ZERO);
        }
        readings.agree(EPOCH_MS, VOTERS, Duration::ZERO)
    };
    let asked = Duration::from_millis(100);
    let thawed = Duration::from_millis(7700);
    for i in 1..VOTERS {
        readings.record(&voter(i), EPOCH_MS + 101, asked, thawed);
    }
    let now_ms = EPOCH_MS + 7700;
    assert_eq!(readings.agree(now_ms, VOTERS, thawed), agreed);
    let mut follower = Follower::default();
    follower.record(EPOCH_MS, Duration::ZERO, Duration::ZERO);
    follower.record(EPOCH_MS + 101, asked, thawed);
    assert_eq!(follower.unix_ms(0, thawed), now_ms);
}
