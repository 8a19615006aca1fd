//! Runs a whole deployment under load, injects faults at random moments drawn from a seed, and
//! then checks every request: it was answered in full, refused, or failed with a verdict that is
//! true. No request with the verdict `not-run` may have reached a stand-in endpoint, and no
//! idempotency key may have run twice.
//!
//! `SCALEWOOD_SEED` selects the schedule of faults, `SCALEWOOD_CHAOS_S` its duration in seconds
//! (default 12).

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use serde_json::json;

use crate::{
    path::expected,
    support::{
        client::{self, bearer, chat},
        deploy::{self, Deployment, Plan},
    },
};

/// The outcome of a request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// A complete answer with the correct content.
    Whole,
    /// A refusal or failure with a verdict.
    Verdict(String),
    /// A stream that ended early, with an error event.
    Cut,
    /// The connection to the box was lost, so the caller doesn't know what happened.
    Lost,
}

/// The outcome of each request, by the request's name.
type Outcomes = Arc<Mutex<BTreeMap<String, Outcome>>>;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

async fn ask_stream(callers: SocketAddr, class: &str, prompt: &str) -> Outcome {
    let Ok(mut connection) = client::Connection::open(callers).await else {
        return Outcome::Lost;
    };
    let body = chat(deploy::MODEL, prompt, true);
    let answer = client::stream(&mut connection, deploy::TEAM, class, body).await;
    let Ok(answer) = answer else {
        return Outcome::Lost;
    };
    if answer.status != 200 {
        return Outcome::Verdict(answer.verdict.expect("a refusal has a verdict"));
    }
    let whole = expected(prompt);
    if answer.is_complete {
        assert_eq!(answer.text, whole, "{prompt}: wrong answer");
        return Outcome::Whole;
    }
    // An incomplete answer must be a prefix of the correct one, without the end mark.
    assert!(
        whole.starts_with(&answer.text),
        "{prompt}: {} is not a prefix of the answer",
        answer.text
    );
    if answer.error.is_some() {
        Outcome::Cut
    } else {
        Outcome::Lost
    }
}

async fn ask_record(callers: SocketAddr, key: &str) -> Outcome {
    let token = bearer(deploy::TEAM);
    let headers = [
        ("authorization", token.as_str()),
        ("scalewood-class", "record"),
        ("idempotency-key", key),
    ];
    let answer = client::ask(
        callers,
        "POST",
        "/services/stock/records",
        &headers,
        key.to_owned(),
    );
    let Ok(answer) = answer.await else {
        return Outcome::Lost;
    };
    if answer.status == 200 {
        assert_eq!(
            answer.json()["echo"],
            key,
            "the answer belongs to another call"
        );
        return Outcome::Whole;
    }
    Outcome::Verdict(
        answer
            .verdict()
            .expect("a failure has a verdict")
            .to_owned(),
    )
}

/// Sends requests until it is told to stop. After a lost connection it sends a call with the
/// request's name as its idempotency key to a randomly chosen box.
async fn run_caller(number: u64, boxes: Vec<SocketAddr>, stop: Arc<AtomicBool>, account: Outcomes) {
    let mut random = SmallRng::seed_from_u64(number);
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let callers = boxes[random.random_range(0..boxes.len())];
        let name = format!("c{number}-{count}");
        let seen = match random.random_range(0..10) {
            0..3 => ask_record(callers, &name).await,
            3..6 => ask_stream(callers, "counter", &format!("{name} len=20")).await,
            6..9 => ask_stream(callers, "report", &format!("{name} len=120")).await,
            _ => ask_stream(callers, "bulk", &format!("{name} len=300")).await,
        };
        let lost = seen == Outcome::Lost;
        account.lock().unwrap().insert(name.clone(), seen);
        if lost {
            let other = boxes[random.random_range(0..boxes.len())];
            let again = ask_record(other, &name).await;
            account
                .lock()
                .unwrap()
                .insert(format!("{name} again"), again);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(1..30))).await;
    }
}

/// Injects faults at random moments and repairs each one after a pause.
async fn inject_faults(
    deployment: &mut Deployment,
    random: &mut SmallRng,
    until: tokio::time::Instant,
) {
    while tokio::time::Instant::now() < until {
        let pause = Duration::from_millis(random.random_range(200..900));
        let entry = random.random_range(0..deployment.entries.len());
        let standin = random.random_range(0..deployment.standins.len());
        match random.random_range(0..7) {
            0 => {
                deployment.entries[entry].process.take().unwrap().kill();
                tokio::time::sleep(pause).await;
                deployment.start_entry(entry);
            }
            1 => {
                deployment.standins[standin].process.take().unwrap().kill();
                tokio::time::sleep(pause).await;
                deployment.start_standin(standin);
            }
            2 => {
                let process = deployment.entries[entry].process.as_ref().unwrap();
                process.signal("STOP");
                tokio::time::sleep(pause * 3).await;
                deployment.entries[entry]
                    .process
                    .as_ref()
                    .unwrap()
                    .signal("CONT");
            }
            3 => {
                let process = deployment.entries[entry].process.take().unwrap();
                let stopped =
                    tokio::task::spawn_blocking(move || process.stop(Duration::from_secs(30)));
                assert!(
                    stopped.await.unwrap(),
                    "a planned stop did not exit cleanly"
                );
                deployment.start_entry(entry);
            }
            4 => {
                let voter = random.random_range(0..deployment.voters.len());
                deployment.voters[voter].process.take().unwrap().kill();
                tokio::time::sleep(pause).await;
                deployment.start_voter(voter);
            }
            5 => {
                let fault = json!({ "breaks": 3, "break_after": random.random_range(0..10) });
                deployment.faults(standin, fault).await;
            }
            _ => {
                deployment.faults(standin, json!({ "leaving": true })).await;
                tokio::time::sleep(pause).await;
                deployment.faults(standin, json!({})).await;
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns the names of the requests that stand-ins ran, and how often each idempotency key ran.
fn collect_runs(deployment: &Deployment) -> (BTreeSet<String>, BTreeMap<String, usize>) {
    let (mut names, mut keys) = (BTreeSet::new(), BTreeMap::new());
    for i in 0..deployment.standins.len() {
        for run in deployment.runs(i) {
            let what = run["what"].as_str().unwrap_or_default();
            names.insert(what.split(" len=").next().unwrap_or_default().to_owned());
            if let Some(key) = run["key"].as_str() {
                names.insert(key.to_owned());
                *keys.entry(key.to_owned()).or_default() += 1;
            }
        }
    }
    (names, keys)
}

#[tokio::test(flavor = "multi_thread")]
async fn every_request_is_accounted_for_under_faults() {
    let dir = tempfile::tempdir().unwrap();
    let seed = env_number("SCALEWOOD_SEED", 1);
    // The retention must be longer than the time from a call to its resend.
    let plan = Plan {
        voters: 3,
        boxes: vec![2, 2],
        engines: 2,
        retention: "3s",
        ..Plan::default()
    };
    let mut deployment = Deployment::start(plan, dir.path()).await;
    let boxes: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| entry.callers)
        .collect();
    let (stop, account) = (Arc::new(AtomicBool::new(false)), Outcomes::default());
    let callers: Vec<_> = (0..12)
        .map(|i| {
            tokio::spawn(run_caller(
                seed * 100 + i,
                boxes.clone(),
                stop.clone(),
                account.clone(),
            ))
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(seed);
    let length = Duration::from_secs(env_number("SCALEWOOD_CHAOS_S", 12));
    inject_faults(
        &mut deployment,
        &mut random,
        tokio::time::Instant::now() + length,
    )
    .await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    check(&deployment, &account.lock().unwrap());
    for (i, entry) in deployment.entries.iter().enumerate() {
        let breaches = deployment.metric(i, "scalewood_invariant_breaches").await;
        assert_eq!(breaches, 0.0, "an invariant was broken at {}", entry.name);
    }
}

fn check(deployment: &Deployment, account: &BTreeMap<String, Outcome>) {
    let (names, keys) = collect_runs(deployment);
    let mut counts: BTreeMap<&Outcome, usize> = BTreeMap::new();
    for (name, seen) in account {
        *counts.entry(seen).or_default() += 1;
        // A resend has the key of the first call, which may have run.
        let first = !name.ends_with(" again");
        if first && *seen == Outcome::Verdict("not-run".into()) {
            assert!(
                !names.contains(name),
                "{name} got the verdict `not-run`, but it ran"
            );
        }
    }
    let twice: Vec<_> = keys.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "keys ran twice: {twice:?}");
    println!("account: {counts:?}");
    let whole = counts.get(&Outcome::Whole).copied().unwrap_or_default();
    assert!(
        whole * 2 > account.len(),
        "at most half of the requests were answered: {counts:?}"
    );
}
