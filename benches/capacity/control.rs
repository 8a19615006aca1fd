//! Voters: the time from the acceptance of a change until it is in force everywhere, the cost of a
//! change by the number of subscribers, and the time to a new leader.

use std::time::{Duration, Instant};

use jsonrpsee::core::client::Subscription;
use scalewood::{
    core::{
        change::{Answer, Edit, Item},
        config, unit,
    },
    ops::{operate, rpc},
    wire::source::{SourceClient as _, Update},
};

use crate::{
    fit, process,
    support::{client, deploy},
};

/// The number of changes that each part times.
const CHANGES: usize = 100;

/// Measures and prints the figures.
pub(crate) async fn measure() {
    in_force().await;
    subscribers().await;
    new_leader().await;
}

fn edit(number: usize) -> Edit {
    let item = config::Class {
        deadline: Duration::from_secs(10 + number as u64),
        ..config::Class::default()
    };
    Edit::Set(Item::Class("lm/measured".parse().expect("a class"), item))
}

async fn change(client: &operate::Client, base: unit::Revision, number: usize) -> unit::Revision {
    let change = operate::new_change(base, "a measurement".into(), vec![edit(number)]);
    match client.change(&change).await {
        Ok(Answer::Accepted { revision }) => revision,
        answer => panic!("{answer:?}"),
    }
}

fn quantile(times: &mut [f64], q: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    times[((times.len() - 1) as f64 * q) as usize]
}

async fn in_force() {
    println!("3 voters, 9 boxes in 3 zones: from accept to in force at all boxes");
    let dir = process::folder("in-force");
    let plan = deploy::Plan {
        voters: 3,
        boxes: vec![3, 3, 3],
        ..deploy::Plan::default()
    };
    let deployment = deploy::Deployment::start(plan, &dir).await;
    let client = deployment.operator();
    let mut base = client.config().await.expect("the configuration").revision;
    let mut times = Vec::new();
    let mut accepts = Vec::new();
    for number in 0..CHANGES {
        let begin = Instant::now();
        base = change(&client, base, number).await;
        let accepted = Instant::now();
        accepts.push((accepted - begin).as_secs_f64() * 1e3);
        for i in 0..deployment.entries.len() {
            while deployment.metric(i, "scalewood_config_revision").await < base.0 as f64 {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
    }
    let [a50, a99] = [0.5, 0.99].map(|q| quantile(&mut accepts, q));
    let [t50, t99] = [0.5, 0.99].map(|q| quantile(&mut times, q));
    println!("  accept p50 {a50:.1} ms, p99 {a99:.1} ms; in force after that p50 {t50:.1} ms, p99 {t99:.1} ms");
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
}

async fn follow(
    deployment: &deploy::Deployment,
    number: usize,
    from: unit::Revision,
) -> Subscription<Update> {
    let client = rpc::connect(deployment.voters[0].listen)
        .await
        .expect("a connection");
    let who = format!("subscriber-{number}").parse().expect("a box");
    let subscription = client.follow(who, from).await.expect("a subscription");
    // The connection must stay open as long as the subscription is read.
    std::mem::forget(client);
    subscription
}

async fn subscribers() {
    println!("1 voter: processor time and time for a change, by subscribers");
    let (mut costs, mut times, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for count in [1, 65, 130, 195] {
        let dir = process::folder("subscribers");
        let plan = deploy::Plan {
            boxes: vec![],
            ..deploy::Plan::default()
        };
        let deployment = deploy::Deployment::start(plan, &dir).await;
        let client = deployment.operator();
        let mut base = client.config().await.expect("the configuration").revision;
        let mut open = Vec::new();
        for number in 0..count {
            open.push(follow(&deployment, number, base).await);
        }
        let pid = deployment.voters[0]
            .process
            .as_ref()
            .map_or(0, deploy::Process::id);
        let work = async {
            for number in 0..CHANGES {
                base = change(&client, base, number).await;
                for subscription in &mut open {
                    while !matches!(
                        subscription.next().await,
                        Some(Ok(Update::Step(step))) if step.revision == base
                    ) {}
                }
            }
        };
        let (cpu, took, ()) = process::during(pid, work).await;
        costs.push((count as f64, cpu / CHANGES as f64 * 1e3));
        times.push((count as f64, took.as_secs_f64() / CHANGES as f64 * 1e3));
        memory.push((count as f64, process::memory(pid)));
        let bytes = std::fs::metadata(deployment.voters[0].data.join("journal"));
        let bytes = bytes.map(|m| m.len()).unwrap_or_default();
        println!("  {count} subscribers: {CHANGES} changes, journal {bytes} bytes");
        drop(deployment);
        let _ = std::fs::remove_dir_all(&dir);
    }
    fit::print("processor time for a change", "ms a subscriber", &costs);
    fit::print("time until all have a change", "ms a subscriber", &times);
    fit::print("memory", "MiB a subscriber", &memory);
}

async fn new_leader() {
    println!("3 voters: from the kill of the leader to the next accepted change");
    let dir = process::folder("leader");
    let plan = deploy::Plan {
        voters: 3,
        boxes: vec![],
        ..deploy::Plan::default()
    };
    let mut deployment = deploy::Deployment::start(plan, &dir).await;
    let mut times = Vec::new();
    for number in 0..10 {
        let leader = leader(&deployment).await;
        let begin = Instant::now();
        if let Some(process) = deployment.voters[leader].process.take() {
            process.kill();
        }
        deployment.apply(vec![edit(number)], "a measurement").await;
        times.push(begin.elapsed().as_secs_f64() * 1e3);
        deployment.start_voter(leader);
        deployment.wait_admin(leader).await;
    }
    let [t50, worst] = [0.5, 1.0].map(|q| quantile(&mut times, q));
    println!("  p50 {t50:.0} ms, worst of {} {worst:.0} ms", times.len());
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
}

async fn leader(deployment: &deploy::Deployment) -> usize {
    loop {
        for (i, voter) in deployment.voters.iter().enumerate() {
            let token = client::bearer(deploy::OPERATOR);
            let headers = [("authorization", token.as_str())];
            let asked = client::ask(voter.admin, "GET", "/admin/v1/status", &headers, "").await;
            let leads = |answer: &client::Answer| {
                answer.json()["voter"]["leader"]["name"] == voter.name.as_str()
            };
            if asked.as_ref().is_ok_and(leads) {
                return i;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
