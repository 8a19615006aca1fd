//! What ran here: in memory for tests that ask, and in a file that outlives a kill.

use std::{
    fs::{File, OpenOptions},
    io::Write as _,
    path::Path,
    sync::{Mutex, PoisonError},
};

use serde::Serialize;

/// A request that ran, or a step of it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Run {
    /// The request's identity, as the router gave it.
    pub(crate) request: String,
    /// The caller's key, if there was one.
    pub(crate) key: Option<String>,
    /// What was asked.
    pub(crate) what: String,
    /// Tokens that an earlier attempt had delivered.
    pub(crate) resumed_at: u64,
}

/// A request that was turned away.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TurnedAway {
    /// When, in milliseconds since the process started.
    pub(crate) at_ms: u64,
    /// Its path.
    pub(crate) path: String,
    /// Its body.
    pub(crate) body: String,
    /// For how long it was asked for rest.
    pub(crate) rest_ms: u32,
}

/// What ran here.
#[derive(Debug, Default)]
pub(crate) struct Record {
    runs: Mutex<Vec<Run>>,
    file: Option<Mutex<File>>,
}

impl Record {
    /// A record, kept in a file as well if one is named.
    pub(crate) fn new(path: Option<&Path>) -> Self {
        let open = |path| OpenOptions::new().append(true).create(true).open(path).ok();
        Self {
            runs: Mutex::default(),
            file: path.and_then(open).map(Mutex::new),
        }
    }

    /// Notes a run before anything of it is done.
    pub(crate) fn note(&self, run: Run) {
        if let Some(file) = &self.file {
            let mut line = serde_json::to_string(&run).unwrap_or_default();
            line.push('\n');
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // A record that can't be kept shows as a missing run in the account.
            let _ = file.write_all(line.as_bytes());
        }
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }

    /// All runs so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
