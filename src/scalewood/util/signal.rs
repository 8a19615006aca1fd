//! The signals that tell a process to stop or to reload its settings.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Waits for SIGTERM or SIGINT, which tell the process to stop.
///
/// # Errors
///
/// Fails if the signals can't be listened for.
pub async fn stop() -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a listener for SIGHUP, which tells the process to reload its settings.
///
/// # Errors
///
/// Fails if the signal can't be listened for.
pub fn reloads() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}
