//! Retry budgets and the capacity that voters lend to them, as pure state machines.

use std::{net::SocketAddr, time::Duration};

use scalewood::core::{
    name,
    retry::{Allowance, Budget, Capacity, Lender, LEASE_DURATION},
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Longer than any lease, the voter's margin included.
const LEASES_OVER: Duration = Duration::from_millis(2100);

fn service() -> name::Service {
    "lm".parse().unwrap()
}

fn box_name(i: usize) -> name::Box {
    format!("e{i}").parse().unwrap()
}

fn voter(i: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + i).into()
}

/// Lets a box ask a voter for capacity and receive the answer at once.
fn exchange(i: usize, budget: &mut Budget, lender: &mut Lender, from: u16, now: Duration) {
    let want = budget.want(&service(), voter(from), now);
    for lent in lender.lend(&box_name(i), &[want], now) {
        budget.lend(voter(from), &lent, now, now);
    }
}

fn allowance(slack: f64) -> Allowance {
    Allowance {
        slack,
        ..Allowance::default()
    }
}

/// Guards against a full budget at each start of a box.
#[test]
fn a_budget_starts_empty_and_holds_at_most_the_lent_capacity() {
    let mut lender = Lender::new(Duration::ZERO);
    let mut budget = Budget::new(allowance(20.0));
    assert!(!budget.has_any(SECOND));
    let mut now = LEASES_OVER;
    exchange(0, &mut budget, &mut lender, 0, now);
    assert_eq!(budget.capacity(now), 9.0);
    assert_eq!(budget.available(now), 0.0);
    // 8 of 20 fill up in a window of ten seconds.
    for _ in 0..100 {
        now += 100 * MS;
        exchange(0, &mut budget, &mut lender, 0, now);
    }
    assert!((budget.available(now) - 8.0).abs() < 0.01, "{budget:?}");
    for _ in 0..100 {
        budget.earn(now);
    }
    // The requests of the last second earned more than what is lent.
    assert!((budget.capacity(now) - 18.0).abs() < 0.01, "{budget:?}");
    now += SECOND;
    assert_eq!(budget.available(now), 9.0);
}

/// Guards against retries that are taken while requests wait and sent together later.
#[test]
fn reserved_retries_count_against_the_capacity_until_they_are_sent() {
    let mut lender = Lender::new(Duration::ZERO);
    let mut budget = Budget::new(allowance(5.0));
    let mut now = LEASES_OVER;
    for _ in 0..300 {
        now += 100 * MS;
        exchange(0, &mut budget, &mut lender, 0, now);
    }
    assert_eq!(budget.available(now), 2.25);
    assert!(budget.reserve(now) && budget.reserve(now) && !budget.reserve(now));
    for _ in 0..100 {
        now += 100 * MS;
        exchange(0, &mut budget, &mut lender, 0, now);
    }
    assert!(
        !budget.has_any(now),
        "two retries wait to be sent: {budget:?}"
    );
    budget.give_back(now);
    assert_eq!(budget.available(now), 1.25);
    budget.spend();
    assert_eq!(budget.available(now), 1.25);
}

/// Guards against capacity that is lent twice because a voter does not know what it lent before its
/// restart.
#[test]
fn a_voter_that_restarts_extends_leases_and_lends_nothing_new_until_the_others_have_expired() {
    let mut lender = Lender::new(Duration::ZERO);
    let mut budgets = [(); 3].map(|()| Budget::new(allowance(40.0)));
    let now = LEASES_OVER;
    for _ in 0..3 {
        for (i, budget) in budgets[..2].iter_mut().enumerate() {
            exchange(i, budget, &mut lender, 0, now);
        }
    }
    assert_eq!(budgets.each_mut().map(|b| b.capacity(now)), [9.0, 9.0, 0.0]);
    let restarted = now + 100 * MS;
    let mut lender = Lender::new(restarted);
    let now = restarted + 100 * MS;
    exchange(0, &mut budgets[0], &mut lender, 0, now);
    exchange(2, &mut budgets[2], &mut lender, 0, now);
    assert_eq!(budgets[0].capacity(now), 9.0);
    assert_eq!(budgets[2].capacity(now), 0.0, "another box may hold it");
    let now = restarted + LEASES_OVER;
    // The box that ended without a word holds nothing any more.
    for _ in 0..3 {
        exchange(0, &mut budgets[0], &mut lender, 0, now);
        exchange(2, &mut budgets[2], &mut lender, 0, now);
    }
    assert_eq!(budgets.each_mut().map(|b| b.capacity(now)), [9.0, 0.0, 9.0]);
}

/// Guards against capacity that is given to another box while the answer that takes it from the first one is
/// lost.
#[test]
fn capacity_passes_on_only_after_the_box_has_said_that_it_holds_less() {
    let mut lender = Lender::new(Duration::ZERO);
    let mut first = Budget::new(allowance(40.0));
    let mut second = Budget::new(allowance(40.0));
    let now = LEASES_OVER;
    exchange(0, &mut first, &mut lender, 0, now);
    assert_eq!(first.capacity(now), 18.0);
    exchange(1, &mut second, &mut lender, 0, now);
    assert_eq!(second.capacity(now), 0.0);
    // The answer is lost.
    let want = first.want(&service(), voter(0), now);
    lender.lend(&box_name(0), &[want], now);
    exchange(1, &mut second, &mut lender, 0, now);
    assert_eq!(second.capacity(now), 0.0);
    // This one arrives, and the next question says so.
    exchange(0, &mut first, &mut lender, 0, now);
    exchange(1, &mut second, &mut lender, 0, now);
    assert_eq!(first.capacity(now) + second.capacity(now), 9.0);
    exchange(0, &mut first, &mut lender, 0, now);
    exchange(1, &mut second, &mut lender, 0, now);
    assert_eq!((first.capacity(now), second.capacity(now)), (9.0, 9.0));
}

/// Guards against shares that grow because each side of a cut counts fewer boxes.
#[test]
fn the_sides_of_a_cut_lend_no_more_than_their_voters_parts() {
    let mut lenders: Vec<_> = (0..3).map(|_| Lender::new(Duration::ZERO)).collect();
    for lender in &mut lenders {
        lender.set_voters(3, Duration::ZERO);
    }
    let mut budgets: Vec<_> = (0..9).map(|_| Budget::new(allowance(58.0))).collect();
    // Four boxes reach only voter 0; the others share voters 1 and 2.
    let side = |i: usize| if i < 4 { 0 } else { 1 + i % 2 };
    let now = 2 * LEASES_OVER;
    for _ in 0..3 {
        for (i, budget) in budgets.iter_mut().enumerate() {
            let from = side(i);
            let number = u16::try_from(from).unwrap();
            exchange(i, budget, &mut lenders[from], number, now);
        }
    }
    let sum: f64 = budgets.iter_mut().map(|budget| budget.capacity(now)).sum();
    assert!((26.0..=26.1).contains(&sum), "{sum}");
    // Without a voter they end.
    let now = now + LEASE_DURATION;
    let sum: f64 = budgets.iter_mut().map(|budget| budget.capacity(now)).sum();
    assert_eq!(sum, 0.0);
}

/// Guards against a whole retry for each box where there are more boxes than retries.
#[test]
fn more_boxes_than_retries_share_whole_ones() {
    const BOXES: usize = 2000;
    let mut lender = Lender::new(Duration::ZERO);
    let mut budgets: Vec<_> = (0..BOXES).map(|_| Budget::new(allowance(58.0))).collect();
    for round in 0..40 {
        let now = LEASES_OVER + round * 100 * MS;
        for (i, budget) in budgets.iter_mut().enumerate() {
            exchange(i, budget, &mut lender, 0, now);
        }
        assert!(lender.lent(&service(), now) <= Capacity::from(26.1));
    }
    let now = LEASES_OVER + 39 * 100 * MS;
    let held: Vec<_> = budgets.iter_mut().map(|b| b.capacity(now)).collect();
    assert_eq!(held.iter().sum::<f64>(), 26.0);
    assert!(held.iter().all(|held| *held == 0.0 || *held == 1.0));
}

/// Guards against a box that never has a whole retry, as all voters lend theirs to the same boxes.
#[test]
fn voters_with_fewer_retries_than_boxes_serve_different_ones() {
    for (voters, boxes) in [(2, 6), (3, 6), (3, 9), (5, 7)] {
        let mut lenders: Vec<_> = (0..voters).map(|_| Lender::new(Duration::ZERO)).collect();
        for (position, lender) in lenders.iter_mut().enumerate() {
            lender.set_voters(voters, Duration::ZERO);
            lender.set_position(position);
        }
        let mut budgets: Vec<_> = (0..boxes).map(|_| Budget::new(allowance(20.0))).collect();
        for round in 0..40 {
            let now = LEASES_OVER + round * 100 * MS;
            for (i, budget) in budgets.iter_mut().enumerate() {
                for (from, lender) in (0..).zip(&mut lenders) {
                    exchange(i, budget, lender, from, now);
                }
            }
        }
        let now = LEASES_OVER + 39 * 100 * MS;
        let held: Vec<_> = budgets.iter_mut().map(|b| b.capacity(now)).collect();
        // All voters together lend nine, less what is no whole retry at one of them.
        let whole = voters * (9 / voters);
        let least = if whole >= boxes { 1.0 } else { 0.0 };
        assert!(
            held.iter().all(|held| (least..=2.0).contains(held)),
            "{held:?}"
        );
    }
}

/// Guards against callers of a new system whose requests are not tried again, since no request has earned a retry.
#[test]
fn what_a_new_voter_lends_first_is_full() {
    let mut lender = Lender::with_new_data();
    let mut budgets = [(); 3].map(|()| Budget::new(allowance(20.0)));
    for now in [SECOND, SECOND + 100 * MS, SECOND + 200 * MS] {
        for (i, budget) in budgets.iter_mut().enumerate() {
            exchange(i, budget, &mut lender, 0, now);
        }
    }
    let now = SECOND + 200 * MS;
    assert_eq!(budgets.each_mut().map(|b| b.available(now)), [3.0; 3]);
    // A box that starts again gets the capacity of its earlier process, but empty.
    budgets[0] = Budget::new(allowance(20.0));
    exchange(0, &mut budgets[0], &mut lender, 0, now);
    assert_eq!(
        (budgets[0].capacity(now), budgets[0].available(now)),
        (3.0, 0.0)
    );
}

/// Guards against control messages that repeat in each exchange what has not changed.
#[test]
fn a_lease_is_asked_for_again_well_before_it_expires_and_not_sooner() {
    let mut lender = Lender::new(Duration::ZERO);
    let mut budget = Budget::new(allowance(20.0));
    let now = LEASES_OVER;
    assert!(budget.needs_lease(voter(0), now));
    exchange(0, &mut budget, &mut lender, 0, now);
    assert!(!budget.needs_lease(voter(0), now + 400 * MS));
    assert!(budget.needs_lease(voter(0), now + 500 * MS));
    assert!(budget.needs_lease(voter(1), now));
}

/// Guards against requests that wait for a retry and are passed by others, and against a place that is given up
/// and still bars them.
#[test]
fn requests_get_retries_in_the_order_in_which_they_wait() {
    let mut budget = Budget::new(allowance(0.0));
    assert!(budget.is_next(None));
    let places = [(); 3].map(|()| budget.join());
    let [first, second, third] = places.map(Some);
    assert!(!budget.is_next(None));
    assert!(budget.is_next(first) && !budget.is_next(second) && !budget.is_next(third));
    budget.leave(places[1]);
    assert!(budget.is_next(first) && !budget.is_next(third));
    budget.leave(places[0]);
    assert!(budget.is_next(third) && !budget.is_next(None));
    budget.leave(places[2]);
    assert!(budget.is_next(None));
}
