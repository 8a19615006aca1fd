//! Hints: soft state of a voter that is kept over a restart, outside its journal.
//!
//! After a loss of power on all machines, boxes continue with the last known endpoints instead of
//! waiting for each one's next heartbeat. What was acknowledged is not taken from here: hints may
//! be seconds old. Hints are optional: a file that is missing, torn or unreadable is treated as absent.
//! The file lies beside the journal in the voter's data folder.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::core::{crash, pace, registry};

/// The name of the file in the data folder.
const FILE_NAME: &str = "hints.json";

/// The content of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hints {
    /// The paces of endpoints.
    pub paces: Vec<pace::EndpointPace>,
    /// The endpoints that took work and whose last heartbeat was recent.
    pub endpoints: Vec<registry::Record>,
    /// The requests that were held back. Without this, each of them would crash three more
    /// endpoints after a loss of power on all machines.
    pub held_back: Vec<crash::Row>,
    /// The other requests under which endpoints ended. Without this, an end that only a lost box
    /// had seen would be forgotten if all voters are lost at once.
    pub suspected: Vec<crash::Row>,
    /// The number of departures of endpoints that had been recorded. Of the endpoints, those that
    /// departed later have to be left out.
    pub departures: u64,
}

/// The file that holds a voter's hints.
#[derive(Clone, Debug)]
pub struct Store {
    path: PathBuf,
}

impl Store {
    /// Returns the hints file of a voter's data folder.
    pub fn new(folder: &Path) -> Self {
        Self {
            path: folder.join(FILE_NAME),
        }
    }

    /// Reads the hints that were saved last; empty hints if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file exists and can't be read.
    pub fn load(&self) -> io::Result<Hints> {
        match fs::read(&self.path) {
            Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Hints::default()),
            Err(error) => Err(error),
        }
    }

    /// Replaces the saved hints.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the previous one may then remain.
    pub fn save(&self, hints: &Hints) -> io::Result<()> {
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        file.write_all(&serde_json::to_vec(hints)?)?;
        file.sync_data()?;
        fs::rename(&fresh, &self.path)?;
        let folder = self.path.parent().unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()
    }
}
