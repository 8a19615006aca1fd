//! The identity of a data folder.
//!
//! A voter is identified by its box and this identity, which `scalewood-control init` or `join`
//! creates once. A voter creates one by itself only in an empty folder and if its settings say
//! `unattended`; any other voter refuses to start without one, so that a box with an empty folder
//! or that of another box can't vote in place of the voter whose folder was lost.

use std::{fmt, io};

use serde::{Deserialize, Serialize};

use crate::{
    core::{name, raft},
    store::media,
};

/// The name of the file in the data folder.
const FILE_NAME: &str = "identity.json";

/// The content of the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    node: raft::Node,
}

/// Why a folder can't be used as a voter's data folder.
#[derive(Debug)]
pub enum Error {
    /// The folder could not be read or written.
    Io(io::Error),
    /// The folder has no identity.
    Empty,
    /// The folder was initialised before, for this node.
    Used(raft::Node),
    /// The folder belongs to this node, and not to the box that this process runs on.
    Foreign(raft::Node, name::Box),
    /// The file can't be parsed.
    Damaged(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(error) => {
                write!(f, "the data folder can't be used: {error}; repair the disk")
            }
            Error::Empty => write!(
                f,
                "the data folder has no identity; for a new system run `scalewood-control init`, \
                 for a box that joins or lost its disk `scalewood-control join`"
            ),
            Error::Used(node) => write!(
                f,
                "the data folder belongs to {node} already; start it, or name an empty folder"
            ),
            Error::Foreign(node, own) => write!(
                f,
                "the data folder belongs to {node}, not to box {own}; name the box's own folder"
            ),
            Error::Damaged(why) => write!(
                f,
                "the data folder's identity is damaged: {why}; move the folder away and run \
                 `scalewood-control join`"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

/// Reads a folder's identity and checks that it belongs to the box `own`.
///
/// # Errors
///
/// Fails if there is no identity, or if it belongs to another box.
pub fn read<M: media::Media>(media: &M, own: &name::Box) -> Result<raft::Node, Error> {
    let bytes = media.read(FILE_NAME)?.ok_or(Error::Empty)?;
    let record: Record =
        serde_json::from_slice(&bytes).map_err(|error| Error::Damaged(error.to_string()))?;
    if record.node.name != *own {
        return Err(Error::Foreign(record.node, own.clone()));
    }
    Ok(record.node)
}

/// Checks that a folder has no identity yet.
///
/// # Errors
///
/// Fails if the folder was initialised before.
pub fn check_unused<M: media::Media>(media: &M) -> Result<(), Error> {
    let Some(bytes) = media.read(FILE_NAME)? else {
        return Ok(());
    };
    let record: Result<Record, _> = serde_json::from_slice(&bytes);
    Err(match record {
        Ok(record) => Error::Used(record.node),
        Err(error) => Error::Damaged(error.to_string()),
    })
}

/// Writes an identity into an empty folder. No other folder of this box may ever have had it.
///
/// # Errors
///
/// Fails if the folder was initialised before.
pub fn create<M: media::Media>(
    media: &mut M,
    own: &name::Box,
    identity: raft::Identity,
) -> Result<raft::Node, Error> {
    check_unused(media)?;
    let node = raft::Node {
        name: own.clone(),
        identity,
    };
    let record = Record { node: node.clone() };
    let bytes = serde_json::to_vec(&record).map_err(|error| Error::Damaged(error.to_string()))?;
    media.replace(FILE_NAME, &bytes)?;
    Ok(node)
}
