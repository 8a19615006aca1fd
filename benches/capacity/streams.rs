//! One entry box: processor time for each request and token, memory for each stream, and the cost
//! without callers.

use std::time::Duration;

use crate::{
    fit, process,
    support::{client, deploy},
};

/// The number of callers in the part with load.
const CALLERS: usize = 32;

/// Measures and prints the slopes.
pub(crate) async fn measure() {
    loaded().await;
    held().await;
    idle().await;
}

fn plan() -> deploy::Plan {
    deploy::Plan {
        boxes: vec![1],
        slots: 4000,
        ..deploy::Plan::default()
    }
}

fn pid(deployment: &deploy::Deployment) -> u32 {
    deployment.entries[0]
        .process
        .as_ref()
        .map_or(0, deploy::Process::id)
}

async fn loaded() {
    println!("entry box: processor time by the length of answers, {CALLERS} callers");
    let dir = process::folder("loaded");
    let plan = deploy::Plan {
        first_us: 100,
        token_us: 1,
        ..plan()
    };
    let deployment = deploy::Deployment::start(plan, &dir).await;
    let callers = deployment.entries[0].callers;
    let mut points = Vec::new();
    for length in [1u32, 8, 32, 128, 512] {
        let count = (20_000 / length).clamp(200, 4000) as usize;
        let work = async {
            let tasks = (0..CALLERS).map(|caller| {
                tokio::spawn(async move {
                    let mut connection = client::Connection::open(callers).await.expect("open");
                    for i in 0..count / CALLERS {
                        let prompt = format!("{caller}.{i} len={length}");
                        let body = client::chat(deploy::MODEL, &prompt, true);
                        let answer =
                            client::stream(&mut connection, deploy::TEAM, "counter", body).await;
                        assert!(answer.is_ok_and(|a| a.is_complete), "an answer was cut");
                    }
                })
            });
            for task in tasks.collect::<Vec<_>>() {
                task.await.expect("a caller ends");
            }
        };
        let done = (count / CALLERS * CALLERS) as f64;
        let (cpu, took, ()) = process::during(pid(&deployment), work).await;
        let tokens = done * f64::from(length) / took.as_secs_f64();
        println!(
            "  {length} tokens: {:.0} requests/s, {tokens:.0} tokens/s, {:.2} cores",
            done / took.as_secs_f64(),
            cpu / took.as_secs_f64()
        );
        points.push((f64::from(length), cpu / done * 1e6));
    }
    fit::print("processor time for each request", "us a token", &points);
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
}

async fn held() {
    println!("entry box: memory by open streams, 10 tokens a second each");
    let dir = process::folder("held");
    let plan = deploy::Plan {
        first_us: 1000,
        token_us: 100_000,
        ..plan()
    };
    let deployment = deploy::Deployment::start(plan, &dir).await;
    let (callers, pid) = (deployment.entries[0].callers, pid(&deployment));
    let mut points = vec![(0.0, process::memory(pid))];
    let mut cores = Vec::new();
    let mut open = Vec::new();
    for streams in [500, 1000, 2000] {
        while open.len() < streams {
            let number = open.len();
            open.push(tokio::spawn(async move {
                let mut connection = client::Connection::open(callers).await.expect("open");
                let body = client::chat(deploy::MODEL, &format!("{number} len=5000"), true);
                let _ = client::stream(&mut connection, deploy::TEAM, "counter", body).await;
            }));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let pause = tokio::time::sleep(Duration::from_secs(4));
        let (cpu, took, ()) = process::during(pid, pause).await;
        points.push((streams as f64, process::memory(pid)));
        cores.push((streams as f64, cpu / took.as_secs_f64()));
    }
    open.iter().for_each(tokio::task::JoinHandle::abort);
    fit::print("memory", "MiB a stream", &points);
    fit::print("cores", "cores a stream", &cores);
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
}

async fn idle() {
    println!("entry box: cost without callers, by the boxes of its zone");
    let (mut cores, mut memory) = (Vec::new(), Vec::new());
    for boxes in [2, 6, 12] {
        let dir = process::folder("idle");
        let plan = deploy::Plan {
            boxes: vec![boxes],
            ..plan()
        };
        let deployment = deploy::Deployment::start(plan, &dir).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let pids: Vec<_> = deployment
            .entries
            .iter()
            .filter_map(|e| e.process.as_ref())
            .map(|p| p.id())
            .collect();
        let before: f64 = pids.iter().map(|pid| process::cpu(*pid)).sum();
        tokio::time::sleep(Duration::from_secs(8)).await;
        let used = pids.iter().map(|pid| process::cpu(*pid)).sum::<f64>() - before;
        let mean = used / 8.0 / boxes as f64;
        let held = pids.iter().map(|pid| process::memory(*pid)).sum::<f64>() / boxes as f64;
        cores.push((boxes as f64, 100.0 * mean));
        memory.push((boxes as f64, held));
        drop(deployment);
        let _ = std::fs::remove_dir_all(&dir);
    }
    fit::print("processor time", "% of a core a box", &cores);
    fit::print("memory", "MiB a box", &memory);
}
