//! Logging to standard output: human-readable on a terminal, otherwise JSON.

use std::io::{self, IsTerminal as _};

use slog::Drain as _;

/// The most lines that wait to be written. Further lines are counted and dropped, since a slow
/// disk must not delay requests.
const MAX_QUEUED_LINES: usize = 4096;

/// Returns a logger for a process; `verbose` includes debug lines.
pub fn logger(program: &'static str, verbose: bool) -> slog::Logger {
    let level = if verbose {
        slog::Level::Debug
    } else {
        slog::Level::Info
    };
    let drain = if io::stdout().is_terminal() {
        terminal(level)
    } else {
        json(level)
    };
    slog::Logger::root(drain, slog::o!("program" => program))
}

fn terminal(level: slog::Level) -> slog::Fuse<slog_async::Async> {
    let decorator = slog_term::TermDecorator::new().stdout().build();
    asynchronous(
        slog_term::FullFormat::new(decorator)
            .build()
            .filter_level(level),
    )
}

fn json(level: slog::Level) -> slog::Fuse<slog_async::Async> {
    let drain = slog_json::Json::new(io::stdout())
        .add_default_keys()
        .build();
    asynchronous(std::sync::Mutex::new(drain).filter_level(level))
}

/// Wraps a drain so that a separate thread writes to it.
fn asynchronous<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: slog::Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    slog_async::Async::new(drain.fuse())
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse()
}
