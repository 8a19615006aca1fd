//! The record of what ran in this process: in memory for queries, and in a file that survives a
//! kill.

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
    /// The request's identity, as the router sent it.
    pub(crate) request: String,
    /// The caller's idempotency key, if there was one.
    pub(crate) key: Option<String>,
    /// The prompt, or the method and URI of a plain call.
    pub(crate) what: String,
    /// The number of tokens that an earlier attempt had delivered.
    pub(crate) resumed_at: u64,
}

/// A request that was rejected because the stand-in asks for a backoff.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TurnedAway {
    /// When it was rejected, in milliseconds since the process started.
    pub(crate) at_ms: u64,
    /// Its path.
    pub(crate) path: String,
    /// Its body.
    pub(crate) body: String,
    /// The backoff that the response asked for, in milliseconds.
    pub(crate) rest_ms: u32,
}

/// The requests that ran in this process.
#[derive(Debug, Default)]
pub(crate) struct Record {
    runs: Mutex<Vec<Run>>,
    file: Option<Mutex<File>>,
}

impl Record {
    /// Returns an empty record, which is also appended to a file if one is given.
    pub(crate) fn new(path: Option<&Path>) -> Self {
        let open = |path| OpenOptions::new().append(true).create(true).open(path).ok();
        Self {
            runs: Mutex::default(),
            file: path.and_then(open).map(Mutex::new),
        }
    }

    /// Records a run, before any of its work is done.
    pub(crate) fn record(&self, run: Run) {
        if let Some(file) = &self.file {
            let mut line = serde_json::to_string(&run).unwrap_or_default();
            line.push('\n');
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // If the write fails, the run is missing from the file, which the test's count shows.
            let _ = file.write_all(line.as_bytes());
        }
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(run);
    }

    /// Returns all runs so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
