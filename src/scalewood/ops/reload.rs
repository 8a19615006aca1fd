//! Reloads settings on SIGHUP and when the settings file has changed.
//!
//! Only the voters' addresses take effect in a running process. A change of any other setting is
//! only logged and takes effect at the next start.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, SystemTime},
};

use tokio::sync::watch;

use crate::{
    event,
    util::{settings, signal},
};

/// How often the file's modification time is checked.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Settings that name voters.
pub trait Voters: settings::Settings + std::fmt::Debug + Send + 'static {
    /// Returns the addresses of the voters.
    fn voters(&self) -> &[SocketAddr];
}

/// Reloads settings for ever in the background; the receiver gets the voters' addresses.
pub fn watch<S: Voters>(
    first: S,
    path: Option<PathBuf>,
    log: slog::Logger,
) -> watch::Receiver<Vec<SocketAddr>> {
    let (sender, receiver) = watch::channel(first.voters().to_vec());
    tokio::spawn(async move {
        let Ok(mut reloads) = signal::reloads() else {
            return;
        };
        let mut current = format!("{first:?}");
        let mut last_modified = path.as_deref().and_then(modified);
        loop {
            let is_requested = tokio::select! {
                _ = reloads.recv() => true,
                () = tokio::time::sleep(CHECK_PERIOD) => false,
            };
            let Some(path) = path.as_deref() else {
                continue;
            };
            let now = modified(path);
            if !is_requested && now == last_modified {
                continue;
            }
            last_modified = now;
            match settings::load::<S>(path) {
                Ok(settings) => {
                    let text = format!("{settings:?}");
                    event!(log, SettingsReloaded, "asked" => is_requested, "changed" => text != current);
                    current = text;
                    sender.send_replace(settings.voters().to_vec());
                }
                // The current settings stay in force.
                Err(error) => event!(log, SettingsRefused, "why" => %error),
            }
        }
    });
    receiver
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}
