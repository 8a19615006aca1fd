//! Tenure of tasks that only one process may perform: through races, stalls, restarts and split
//! leadership, no token is used by two processes, tokens never decrease, and no two processes
//! alternate within the rest.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use scalewood::core::{
    fencing::{Holder, Step, Tenure, Token},
    raft::{Identity, Node},
};

const REST: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(20);

fn node(i: u64) -> Node {
    Node {
        name: format!("c{i}").parse().unwrap(),
        identity: Identity(i),
    }
}

/// An act as a receiver sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Act {
    at: Duration,
    voter: usize,
    token: Token,
}

/// Simulates voters among which leadership moves at random, with restarts that lose their state.
/// `rest` is the time for which they wait before they act under a new token.
fn simulate(seed: u64, rest: Duration) -> Vec<Act> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = Duration::from_secs(100);
    let nodes: Vec<_> = (0..5).map(node).collect();
    let mut voters: Vec<_> = nodes.iter().map(|_| Tenure::new(rest, now)).collect();
    let mut holder: Option<Holder> = None;
    let mut leader = None;
    let mut acts = Vec::new();
    for _ in 0..5_000 {
        now += TICK;
        match random.random_range(0..60) {
            0 => leader = None,
            // Leadership alternates between two voters more often than not.
            1 | 2 => leader = Some(random.random_range(0..2)),
            3 => leader = Some(random.random_range(0..nodes.len())),
            4 => {
                let restarted = random.random_range(0..nodes.len());
                voters[restarted] = Tenure::new(rest, now);
                leader = leader.filter(|leader| *leader != restarted);
            }
            _ => {}
        }
        for (i, voter) in voters.iter_mut().enumerate() {
            match voter.step(&nodes[i], leader == Some(i), holder.as_ref(), now) {
                Step::Wait => {}
                // Proposals are lost at random.
                Step::Acquire if random.random_bool(0.3) => {
                    holder = Some(Holder::next(holder.as_ref(), nodes[i].clone()));
                }
                Step::Acquire => {}
                Step::Act(token) => acts.push(Act {
                    at: now,
                    voter: i,
                    token,
                }),
            }
        }
    }
    acts
}

/// Returns the first violation among the acts, as seen by a receiver that does not check tokens
/// itself.
fn breach(acts: &[Act]) -> Option<String> {
    for (i, act) in acts.iter().enumerate() {
        let before = &acts[..i];
        if before.iter().any(|b| b.token > act.token) {
            return Some(format!("a token decreases: {act:?}"));
        }
        if before
            .iter()
            .any(|b| b.token == act.token && b.voter != act.voter)
        {
            return Some(format!("two use a token: {act:?}"));
        }
        let lately = before.iter().rev().take_while(|b| b.at + REST > act.at);
        let mut other = false;
        for b in lately {
            other |= b.voter != act.voter;
            if other && b.voter == act.voter {
                return Some(format!("two act by turns: {b:?} and {act:?}"));
            }
        }
    }
    None
}

#[test]
fn tokens_rise_and_no_two_act_by_turns() {
    for seed in 0..60 {
        let acts = simulate(seed, REST);
        assert!(acts.len() > 200, "seed {seed}: hardly any voter acts");
        assert_eq!(breach(&acts), None, "seed {seed}");
    }
}

#[test]
fn without_a_rest_two_would_act_by_turns() {
    let breaches = (0..20).filter_map(|seed| breach(&simulate(seed, Duration::ZERO)));
    let by_turns = breaches.filter(|breach| breach.contains("by turns"));
    assert!(by_turns.count() > 10, "the check finds nothing");
}

#[test]
fn the_first_holder_acts_at_once_and_a_successor_does_not_wait_for_itself() {
    let start = Duration::from_secs(100);
    let (one, other) = (node(1), node(2));
    let first = Holder::next(None, one.clone());
    let mut tenure = Tenure::new(REST, start);
    assert_eq!(tenure.step(&one, true, None, start), Step::Acquire);
    let act = tenure.step(&one, true, Some(&first), start);
    assert_eq!(act, Step::Act(Token(1)));
    // Another process, which has run for long, takes over. It has not acted before, so it need not
    // wait.
    let second = Holder::next(Some(&first), other.clone());
    let later = start + Duration::from_secs(60);
    let mut tenure = Tenure::new(REST, start);
    let act = tenure.step(&other, true, Some(&second), later);
    assert_eq!(act, Step::Act(Token(2)));
}
