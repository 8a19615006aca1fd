//! The overhead of an entry box: time to first token, time between tokens, and requests a second,
//! compared in one run with the same caller that calls the stand-in directly.
//!
//! Run with `cargo bench --bench entry`. Only ratios and differences within a run are meaningful,
//! since the machine is shared.

// Nothing here runs on after a suspension of the machine, so clocks that stand still meanwhile do
// no harm.
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

/// Requests a second, half of them directly to the stand-in and half through the box.
const REQUESTS_PER_S: u64 = 1000;
/// The duration of the part with a fixed rate.
const PACED_TIME: Duration = Duration::from_secs(10);
/// The number of callers in the part without a fixed rate.
const CALLERS: usize = 64;
/// The duration of each measurement in the part without a fixed rate.
const UNPACED_TIME: Duration = Duration::from_secs(4);
/// The number of threads of the box and of the stand-in.
const THREADS: &str = "4";

fn main() {
    // The processes that this one starts inherit the variable. It is set by starting the program
    // again, since no thread may run when it changes.
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
            Ok(answer) if answer.is_complete => {
                self.first.extend(answer.first);
                self.between.extend(answer.between);
            }
            _ => self.failed += 1,
        }
    }
}

/// Returns a quantile of durations, in microseconds.
fn quantile(times: &mut [Duration], q: f64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.sort();
    // The index lies within the slice.
    let index = ((times.len() - 1) as f64 * q) as usize;
    times[index].as_secs_f64() * 1e6
}

/// Sends requests at a fixed rate, alternately directly and through the box.
async fn paced(direct: SocketAddr, through: SocketAddr) {
    let start = tokio::time::Instant::now() + Duration::from_millis(100);
    let count = REQUESTS_PER_S * PACED_TIME.as_secs();
    // Each caller has its own connection and sends one of every `callers` requests.
    let callers = 200;
    let mut tasks = Vec::new();
    for caller in 0..callers {
        let target = if caller % 2 == 0 { direct } else { through };
        tasks.push(tokio::spawn(async move {
            let mut connection = client::Connection::open(target)
                .await
                .expect("the target listens");
            let mut times = Times::default();
            for i in (caller..count).step_by(usize::try_from(callers).unwrap_or(1)) {
                tokio::time::sleep_until(
                    start
                        + Duration::from_secs(1) * u32::try_from(i).unwrap_or(0)
                            / u32::try_from(REQUESTS_PER_S).unwrap_or(1),
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
        REQUESTS_PER_S / 2,
        PACED_TIME.as_secs()
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

/// Sends as many requests as the callers can make, alternately directly and through the box.
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
    let until = Instant::now() + UNPACED_TIME;
    let callers = (0..CALLERS).map(|caller| {
        let done = done.clone();
        tokio::spawn(async move {
            let mut connection = client::Connection::open(target)
                .await
                .expect("the target listens");
            while Instant::now() < until {
                let body = client::chat(deploy::MODEL, &format!("{caller} {length}"), true);
                let answer = client::stream(&mut connection, deploy::TEAM, "counter", body).await;
                assert!(
                    answer.is_ok_and(|answer| answer.is_complete),
                    "an answer was cut"
                );
                done.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a caller ends");
    }
    // Counts of a benchmark are far below 2^52, so the cast is exact.
    done.load(Ordering::Relaxed) as f64 / UNPACED_TIME.as_secs_f64()
}
