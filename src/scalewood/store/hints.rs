//! What a voter knows beside its journal, kept over a restart.
//!
//! After a loss of all power it lets voters and boxes go on from what was in force and who
//! served, rather than wait for a leader and for every endpoint's next heartbeat. Hints are worth having and never needed: a file that is missing, torn or can't be read
//! is as good as none. They stand beside the journal in the voter's folder.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use crate::core::{crash, pace, raft, registry};

/// The file's name.
const NAME: &str = "hints.json";

/// What is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Hints {
    /// How fast endpoints go.
    pub paces: Vec<pace::Paced>,
    /// The endpoints that were heard of a moment before, and take work.
    pub endpoints: Vec<registry::Record>,
    /// The requests that were held back. Three endpoints more would end under each after a loss
    /// of all power.
    pub held_back: Vec<crash::Row>,
    /// The last entry of the journal that was known to be committed.
    pub committed: raft::Index,
}

/// Where hints are kept.
#[derive(Clone, Debug)]
pub struct Place {
    path: PathBuf,
}

impl Place {
    /// The place in a voter's folder.
    pub fn new(folder: &Path) -> Self {
        Self {
            path: folder.join(NAME),
        }
    }

    /// The hints that were kept last; none if there are none.
    ///
    /// # Errors
    ///
    /// Fails if there is a file that can't be read.
    pub fn load(&self) -> io::Result<Hints> {
        match fs::read(&self.path) {
            Ok(bytes) => Ok(serde_json::from_slice(&bytes)?),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Hints::default()),
            Err(error) => Err(error),
        }
    }

    /// Keeps hints in place of those before.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the one before may then stand.
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
