//! Processor time and memory of a process, as the kernel accounts them.

use std::{fs, time::Duration};

/// The unit of processor time in `/proc` on Linux: ticks in a second.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time that a process has used, in seconds.
pub(crate) fn cpu(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces; the fields after it do not.
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let field = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or_default()
    };
    (field(11) + field(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process, in MiB.
pub(crate) fn memory(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kib = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    kib.unwrap_or_default() / 1024.0
}

/// Runs a future to its end. Returns the processor time that a process used meanwhile, in seconds,
/// how long it took, and the output.
pub(crate) async fn during<F: std::future::Future>(
    pid: u32,
    work: F,
) -> (f64, Duration, F::Output) {
    let (before, begin) = (cpu(pid), std::time::Instant::now());
    let output = work.await;
    (cpu(pid) - before, begin.elapsed(), output)
}

/// Creates an empty folder for a part of the benchmark.
pub(crate) fn folder(name: &str) -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("scalewood-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a temporary folder can be made");
    dir
}
