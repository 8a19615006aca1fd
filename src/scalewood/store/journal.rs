//! The journal: a voter's writes as checksummed records in one file.
//!
//! A record is its length, the CRC-32 of its text, the CRC-32 of these two, and the text,
//! as JSON. All writes of a step are one record with one sync, so after a loss of power
//! only the last record can be torn: it was never acknowledged, and is dropped. A bad
//! record that others follow is damage, and an error: the voter must not go on without
//! what it promised. The head has a sum of its own, or a damaged length would make the
//! records that follow look like the torn end.
//!
//! A log of records was weighed against an embedded store, without a measurement: the log
//! takes one sync for each step and no memory beside the state itself, and all that is
//! needed of a store here is to append and to start anew from a snapshot.

use std::{fmt, io};

use serde::{Deserialize, Serialize};

use crate::{
    core::raft::{self, Persisted, State, Write},
    store::media,
};

/// The file that holds the records.
const FILE: &str = "journal";
/// Bytes before a record's text: its length, its CRC-32 and the CRC-32 of both.
const HEADER: usize = 12;
/// Bytes of the header that its sum covers.
const SUMMED: usize = 8;

/// Why a journal can't be used.
#[derive(Debug)]
pub enum Error {
    /// It could not be read or written.
    Io(io::Error),
    /// There is none, though the folder has an identity.
    Missing,
    /// A record that was acknowledged is damaged; the offset is in bytes.
    Damaged(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const INSTEAD: &str = "move the data folder away, run `scalewood-control join`, add the \
                               new identity with `scalewood voter add` and remove the old one";
        match self {
            Error::Io(error) => write!(f, "the journal can't be used: {error}; mend the disk"),
            Error::Missing => write!(f, "the journal is gone from the data folder; {INSTEAD}"),
            Error::Damaged(at) => write!(f, "the journal is damaged at byte {at}; {INSTEAD}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

/// What opening a journal found.
#[derive(Debug)]
pub struct Opened<M, S: State> {
    /// The journal.
    pub journal: Journal<M>,
    /// What it holds.
    pub kept: Persisted<S>,
    /// Bytes of an unfinished record that were dropped.
    pub dropped: usize,
}

/// A voter's writes on disk.
#[derive(Debug)]
pub struct Journal<M> {
    media: M,
    /// The file's length in bytes.
    length: usize,
    syncs: u64,
}

/// One record: the writes of a step.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound = "S: State")]
struct Record<S: State>(Vec<Write<S>>);

impl<M: media::Media> Journal<M> {
    /// Makes the journal of a folder that is about to get its identity.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written.
    pub fn create<S: State>(mut media: M, kept: Persisted<S>) -> Result<Self, Error> {
        let bytes = whole(&kept)?;
        media.replace(FILE, &bytes)?;
        Ok(Self {
            media,
            length: bytes.len(),
            syncs: 1,
        })
    }

    /// The media that it stands on.
    pub fn into_media(self) -> M {
        self.media
    }

    /// Opens a journal and reads what it holds.
    ///
    /// # Errors
    ///
    /// Fails if it is missing or damaged.
    pub fn open<S: State>(mut media: M) -> Result<Opened<M, S>, Error> {
        let bytes = media.read(FILE)?.ok_or(Error::Missing)?;
        let mut kept = Persisted::default();
        let mut offset = 0;
        let mut records = 0;
        while offset < bytes.len() {
            let Some((record, end)) = parse::<S>(&bytes, offset)? else {
                break;
            };
            record.0.into_iter().for_each(|write| kept.replay(write));
            offset = end;
            records += 1;
        }
        if records == 0 {
            return Err(Error::Damaged(0));
        }
        let dropped = bytes.len() - offset;
        if dropped > 0 {
            media.replace(FILE, &bytes[..offset])?;
        }
        let journal = Self {
            media,
            length: offset,
            syncs: 0,
        };
        Ok(Opened {
            journal,
            kept,
            dropped,
        })
    }

    /// Makes the writes of a step last.
    ///
    /// # Errors
    ///
    /// Fails if they can't be written; the voter must stop then.
    pub fn write<S: State>(&mut self, writes: Vec<Write<S>>) -> Result<(), Error> {
        if writes.is_empty() {
            return Ok(());
        }
        let bytes = encode(&Record(writes))?;
        self.media.append(FILE, &bytes)?;
        self.media.sync(FILE)?;
        self.length += bytes.len();
        self.syncs += 1;
        Ok(())
    }

    /// Writes the journal anew, with only what is still needed.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written; the old one then stands.
    pub fn compact<S: State>(&mut self, kept: &Persisted<S>) -> Result<(), Error> {
        let bytes = whole(kept)?;
        self.media.replace(FILE, &bytes)?;
        self.length = bytes.len();
        self.syncs += 1;
        Ok(())
    }

    /// The journal's length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the journal holds nothing; it always holds its first record.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// How often it was synced.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }
}

/// A journal that holds just what is kept, as a single record.
fn whole<S: State>(kept: &Persisted<S>) -> Result<Vec<u8>, Error> {
    let mut writes = vec![
        Write::Restart(kept.snapshot.clone()),
        Write::Vote(kept.term, kept.voted.clone()),
    ];
    if !kept.entries.is_empty() {
        writes.push(Write::Append(kept.entries.clone()));
    }
    encode(&Record(writes))
}

fn encode<S: State>(record: &Record<S>) -> Result<Vec<u8>, Error> {
    let text = serde_json::to_vec(record).map_err(io::Error::from)?;
    let length = u32::try_from(text.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(HEADER + text.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(crc32fast::hash(&text).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend(text);
    Ok(bytes)
}

/// The record at an offset and where it ends, or nothing if it is the torn last one.
fn parse<S: State>(bytes: &[u8], offset: usize) -> Result<Option<(Record<S>, usize)>, Error> {
    let rest = &bytes[offset..];
    let Some((header, body)) = rest.split_at_checked(HEADER) else {
        return Ok(None);
    };
    if rest.iter().all(|byte| *byte == 0) {
        // The file grew, but its new part never reached the disk.
        return Ok(None);
    }
    if crc32fast::hash(&header[..SUMMED]) != read_u32(&header[SUMMED..]) {
        return Err(Error::Damaged(offset));
    }
    let length = read_u32(&header[..4]) as usize;
    let Some(text) = body.get(..length) else {
        return Ok(None);
    };
    if crc32fast::hash(text) != read_u32(&header[4..SUMMED]) {
        let last = length == body.len();
        return if last {
            Ok(None)
        } else {
            Err(Error::Damaged(offset))
        };
    }
    let record = serde_json::from_slice(text).map_err(|_| Error::Damaged(offset))?;
    Ok(Some((record, offset + HEADER + length)))
}

fn read_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Whether a step's writes are worth a compaction of the journal.
pub fn compacts<S: State>(writes: &[Write<S>]) -> bool {
    writes
        .iter()
        .any(|write| matches!(write, Write::Snapshot(_) | Write::Restart(_)))
}

/// A voter's journal with a copy of what it holds, which compaction writes anew.
#[derive(Debug)]
pub struct Keeper<M, S: State> {
    journal: Journal<M>,
    kept: Persisted<S>,
}

impl<M: media::Media, S: State> Keeper<M, S> {
    /// Keeps a voter's writes in a journal.
    pub fn new(journal: Journal<M>, kept: Persisted<S>) -> Self {
        Self { journal, kept }
    }

    /// What is kept.
    pub fn kept(&self) -> &Persisted<S> {
        &self.kept
    }

    /// The journal.
    pub fn journal(&self) -> &Journal<M> {
        &self.journal
    }

    /// Makes a step's writes last. Returns whether the journal was compacted.
    ///
    /// # Errors
    ///
    /// Fails if they can't be written; the voter must stop then.
    pub fn keep(&mut self, writes: Vec<raft::Write<S>>) -> Result<bool, Error> {
        if !compacts(&writes) {
            for write in &writes {
                self.kept.replay(write.clone());
            }
            self.journal.write(writes)?;
            return Ok(false);
        }
        for write in writes {
            self.kept.replay(write);
        }
        self.journal.compact(&self.kept)?;
        Ok(true)
    }
}
