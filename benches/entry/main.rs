//! What an entry box adds: time to first token, time between tokens, and requests a
//! second, against the same caller that goes straight to the stand-in, in one run.
//!
//! `cargo bench --bench entry`. Only the ratios and differences within a run mean
//! something; the machine is shared.

// Nothing here outlasts a suspension of the machine.
#![allow(clippy::disallowed_methods)]

#[path = "../../tests/testsuite/support/mod.rs"]
#[expect(
    dead_code,
    reason = "the benchmark uses only a part of the test support"
)]
mod support;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

use support::{client, deploy};

/// Requests a second, half of them straight to the stand-in, half through the box.
const RATE: u64 = 1000;
/// How long the paced part takes.
const PACED: Duration = Duration::from_secs(10);
/// Callers of the unpaced part.
const CALLERS: usize = 64;
/// How long each side of the unpaced part takes.
const UNPACED: Duration = Duration::from_secs(4);
/// Threads of the box and the stand-in.
const THREADS: &str = "4";

fn main() {
    // The processes are started by this one and take the setting from it. It is set
    // before any thread is.
    let threads = std::env::var("TOKIO_WORKER_THREADS").unwrap_or_default();
    if threads != THREADS {
        let program = std::env::current_exe().expect("the program has a path");
        let status = std::process::Command::new(program)
            .env("TOKIO_WORKER_THREADS", THREADS)
            .status()
            .expect("the benchmark can be run");
        std::process::exit(status.code().unwrap_or(1));
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    runtime.block_on(run());
}

async fn run() {
    let dir = std::env::temp_dir().join(format!("scalewood-bench-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder can be made");
    let plan = deploy::Plan {
        boxes: vec![1],
        slots: 2000,
        first_us: 2000,
        token_us: 1000,
        ..deploy::Plan::default()
    };
    let deployment = deploy::Deployment::start(plan, &dir).await;
    let direct = deployment.standins[0].address;
    let through = deployment.entries[0].callers;
    paced(direct, through).await;
    unpaced("stream of 1 token", direct, through, "len=1").await;
    unpaced("stream of 32 tokens", direct, through, "len=32").await;
    drop(deployment);
    let _ = std::fs::remove_dir_all(&dir);
}

#[derive(Default)]
struct Times {
    first: Vec<Duration>,
    between: Vec<Duration>,
    failed: usize,
}

impl Times {
    fn add(&mut self, answer: std::io::Result<client::Streamed>) {
        match answer {
            Ok(answer) if answer.whole => {
                self.first.extend(answer.first);
                self.between.extend(answer.between);
            }
            _ => self.failed += 1,
        }
    }
}

/// The quantile of some durations, in microseconds.
fn quantile(times: &mut [Duration], q: f64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.sort();
    // The index lies within the slice.
    let index = ((times.len() - 1) as f64 * q) as usize;
    times[index].as_secs_f64() * 1e6
}

/// Requests at a fixed rate, in turn straight and through the box.
async fn paced(direct: SocketAddr, through: SocketAddr) {
    let start = tokio::time::Instant::now() + Duration::from_millis(100);
    let count = RATE * PACED.as_secs();
    // Each caller has a connection of its own and sends every so many-th request.
    let callers = 200;
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let target = if caller % 2 == 0 { direct } else { through };
        tasks.push(tokio::spawn(async move {
            let mut connection = client::Connection::open(target).await.expect("it listens");
            let mut times = Times::default();
            for i in (caller..count).step_by(usize::try_from(callers).unwrap_or(1)) {
                tokio::time::sleep_until(
                    start
                        + Duration::from_secs(1) * u32::try_from(i).unwrap_or(0)
                            / u32::try_from(RATE).unwrap_or(1),
                )
                .await;
                let body = client::chat(deploy::MODEL, &format!("{i} len=8"), true);
                times.add(client::stream(&mut connection, deploy::TEAM, "counter", body).await);
            }
            (caller % 2, times)
        }));
    }
    let mut sides = [Times::default(), Times::default()];
    for task in tasks {
        let (side, times) = task.await.expect("a caller ends");
        let side = &mut sides[usize::try_from(side).unwrap_or(0)];
        side.first.extend(times.first);
        side.between.extend(times.between);
        side.failed += times.failed;
    }
    let [direct, through] = &mut sides;
    println!(
        "at {} requests a second each way, {} s:",
        RATE / 2,
        PACED.as_secs()
    );
    for (what, d, t) in [
        ("first token", &mut direct.first, &mut through.first),
        ("between tokens", &mut direct.between, &mut through.between),
    ] {
        for q in [0.5, 0.95, 0.99] {
            let (d, t) = (quantile(d, q), quantile(t, q));
            println!(
                "  {what:<15} p{:<3} direct {d:>7.0} us, through {t:>7.0} us, added {:>6.0} us",
                q * 100.0,
                t - d
            );
        }
    }
    println!(
        "  failed: direct {}, through {}",
        direct.failed, through.failed
    );
}

/// As many requests as a number of callers can make, first straight, then through.
async fn unpaced(what: &str, direct: SocketAddr, through: SocketAddr, length: &'static str) {
    let mut rates = Vec::new();
    for target in [direct, through, direct, through] {
        rates.push(throughput(target, length).await);
    }
    let (d, t) = (rates[0] + rates[2], rates[1] + rates[3]);
    println!(
        "{what}, {CALLERS} callers: direct {:.0} and {:.0}/s, through {:.0} and {:.0}/s, ratio {:.2}",
        rates[0], rates[2], rates[1], rates[3], t / d
    );
}

async fn throughput(target: SocketAddr, length: &'static str) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + UNPACED;
    let callers = (0..CALLERS).map(|caller| {
        let done = done.clone();
        tokio::spawn(async move {
            let mut connection = client::Connection::open(target).await.expect("it listens");
            while Instant::now() < until {
                let body = client::chat(deploy::MODEL, &format!("{caller} {length}"), true);
                let answer = client::stream(&mut connection, deploy::TEAM, "counter", body).await;
                assert!(answer.is_ok_and(|answer| answer.whole), "an answer was cut");
                done.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a caller ends");
    }
    // Counts of a benchmark are far below 2^52, so the cast is exact.
    done.load(Ordering::Relaxed) as f64 / UNPACED.as_secs_f64()
}
