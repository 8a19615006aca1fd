//! The journal: a voter's writes as checksummed records in one file.
//!
//! A record consists of its length, the CRC-32 of its text, the CRC-32 of these two fields, and
//! the text as JSON. All writes of a step form one record that is synced once, so after a loss of
//! power only the last record can be torn. It was never acknowledged and is dropped. A bad record
//! that is followed by others is damage and reported as an error: the voter must not continue
//! without writes that it has acknowledged. The header has its own checksum, since a damaged
//! length would make the records that follow look like a torn end.
//!
//! Records are read and written one at a time, so the memory that this takes depends on the largest
//! record and not on the length of the journal.
//!
//! A log is used instead of an embedded store: it needs one sync for each step and no memory beyond
//! the state itself, and the only operations needed are appending and restarting from a snapshot.

use std::{fmt, io, io::Read as _};

use serde::{Deserialize, Serialize};

use crate::{
    core::raft::{self, Persisted, State, Write},
    store::media,
};

/// The name of the file in the data folder.
const FILE_NAME: &str = "journal";
/// The size of a record's header: the length of the text, its CRC-32 and the CRC-32 of both.
const HEADER_BYTES: usize = 12;
/// How many bytes the journal may grow by beyond twice the length that it was compacted to.
const MAX_GROWTH_BYTES: usize = 16 << 20;
/// The number of bytes of the header that its own checksum covers.
const CHECKSUMMED_BYTES: usize = 8;

/// Why a journal can't be used.
#[derive(Debug)]
pub enum Error {
    /// The file could not be read or written.
    Io(io::Error),
    /// There is no journal, though the folder has an identity.
    Missing,
    /// A record that was acknowledged is damaged, at this offset in bytes.
    Damaged(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const REPLACE_NODE: &str =
            "move the data folder away, run `scalewood-control join`, add the \
                               new identity with `scalewood voter add` and remove the old one";
        match self {
            Error::Io(error) => write!(f, "the journal can't be used: {error}; repair the disk"),
            Error::Missing => write!(
                f,
                "the journal is gone from the data folder; {REPLACE_NODE}"
            ),
            Error::Damaged(at) => write!(f, "the journal is damaged at byte {at}; {REPLACE_NODE}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Error::Io(error)
    }
}

/// Returns the length in bytes of the journal in a folder, 0 if there is none.
///
/// # Errors
///
/// Fails if the file can't be examined.
pub fn length<M: media::Media>(media: &M) -> Result<u64, Error> {
    Ok(media.length(FILE_NAME)?.unwrap_or_default())
}

/// The result of opening a journal.
#[derive(Debug)]
pub struct Opened<M, S: State> {
    /// The journal.
    pub journal: Journal<M>,
    /// The state that its records add up to.
    pub persisted: Persisted<S>,
    /// The size in bytes of the torn last record, which was dropped.
    pub dropped: usize,
    /// The size in bytes of the largest record.
    pub largest_record: usize,
}

/// A voter's writes on disk.
#[derive(Debug)]
pub struct Journal<M> {
    media: M,
    /// The file's length in bytes.
    length: usize,
    /// The number of syncs since the journal was opened.
    syncs: u64,
}

/// One record: the writes of a step.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound = "S: State")]
struct Record<S: State>(Vec<Write<S>>);

impl<M: media::Media> Journal<M> {
    /// Creates the journal of a folder that is about to get its identity.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn create<S: State>(mut media: M, state: Persisted<S>) -> Result<Self, Error> {
        let length = write_state(&mut media, &state)?;
        Ok(Self {
            media,
            length,
            syncs: 1,
        })
    }

    /// Returns the media that the journal is stored on.
    pub fn into_media(self) -> M {
        self.media
    }

    /// Opens a journal, replays its records and drops a torn last record.
    ///
    /// # Errors
    ///
    /// Fails if the journal is missing or damaged.
    pub fn open<S: State>(mut media: M) -> Result<Opened<M, S>, Error> {
        let file = media.open(FILE_NAME)?.ok_or(Error::Missing)?;
        let length = usize::try_from(length(&media)?).map_err(io::Error::other)?;
        let mut records = Reader {
            file: io::BufReader::new(file),
            offset: 0,
            length,
        };
        let mut persisted = Persisted::default();
        let mut largest_record = 0;
        while let Some((record, bytes)) = records.next::<S>()? {
            largest_record = largest_record.max(bytes);
            record
                .0
                .into_iter()
                .for_each(|write| persisted.replay(write));
        }
        let offset = records.offset;
        if offset == 0 {
            return Err(Error::Damaged(0));
        }
        let dropped = length - offset;
        if dropped > 0 {
            media.truncate(FILE_NAME, offset as u64)?;
        }
        let journal = Self {
            media,
            length: offset,
            syncs: 0,
        };
        Ok(Opened {
            journal,
            persisted,
            dropped,
            largest_record,
        })
    }

    /// Appends the writes of a step as one record and syncs it.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be written; the voter must then stop.
    pub fn write<S: State>(&mut self, writes: Vec<Write<S>>) -> Result<(), Error> {
        if writes.is_empty() {
            return Ok(());
        }
        let bytes = encode(&Record(writes))?;
        self.media.append(FILE_NAME, &bytes)?;
        self.media.sync(FILE_NAME)?;
        self.length += bytes.len();
        self.syncs += 1;
        Ok(())
    }

    /// Replaces the journal by one of the current state.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the old journal then remains.
    pub fn compact<S: State>(&mut self, state: &Persisted<S>) -> Result<(), Error> {
        self.length = write_state(&mut self.media, state)?;
        self.syncs += 1;
        Ok(())
    }

    /// Returns the journal's length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the journal is empty, which it never is: it always has a first record.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of syncs since the journal was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }
}

/// Replaces the journal by one of a state: a record of the snapshot and the vote, and one of each
/// entry. Returns its length in bytes.
fn write_state<M: media::Media, S: State>(
    media: &mut M,
    state: &Persisted<S>,
) -> io::Result<usize> {
    let mut length = 0;
    let base = || {
        vec![
            Write::Restart(state.snapshot.clone()),
            Write::Vote(state.term, state.voted.clone()),
        ]
    };
    let entries = state.entries.iter();
    let entries = entries.map(|entry| vec![Write::<S>::Append(vec![entry.clone()])]);
    let parts = std::iter::once_with(base).chain(entries).map(|writes| {
        let bytes = encode(&Record(writes))?;
        length += bytes.len();
        Ok(bytes)
    });
    media.replace_by(FILE_NAME, parts)?;
    Ok(length)
}

/// Encodes a record with its header.
fn encode<S: State>(record: &Record<S>) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; HEADER_BYTES];
    serde_json::to_writer(&mut bytes, record)?;
    let (header, text) = bytes.split_at_mut(HEADER_BYTES);
    let length = u32::try_from(text.len()).map_err(io::Error::other)?;
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..CHECKSUMMED_BYTES].copy_from_slice(&crc32fast::hash(text).to_le_bytes());
    let checksum = crc32fast::hash(&header[..CHECKSUMMED_BYTES]);
    header[CHECKSUMMED_BYTES..].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Reads the records of a journal.
struct Reader<R> {
    file: io::BufReader<R>,
    /// The offset in bytes of the next record.
    offset: usize,
    /// The length of the file in bytes.
    length: usize,
}

impl<R: io::Read> Reader<R> {
    /// Returns the next record and its length in bytes with the header, or `None` at the end of the
    /// file or before a torn last record.
    fn next<S: State>(&mut self) -> Result<Option<(Record<S>, usize)>, Error> {
        let left = self.length - self.offset;
        if left < HEADER_BYTES {
            return Ok(None);
        }
        let mut header = [0; HEADER_BYTES];
        self.file.read_exact(&mut header)?;
        if header == [0; HEADER_BYTES] && self.is_rest_zero()? {
            // The file was extended, but the appended bytes never reached the disk.
            return Ok(None);
        }
        if crc32fast::hash(&header[..CHECKSUMMED_BYTES]) != read_u32(&header[CHECKSUMMED_BYTES..]) {
            return Err(Error::Damaged(self.offset));
        }
        let length = read_u32(&header[..4]) as usize;
        let left = left - HEADER_BYTES;
        if length > left {
            return Ok(None);
        }
        let mut text = vec![0; length];
        self.file.read_exact(&mut text)?;
        if crc32fast::hash(&text) != read_u32(&header[4..CHECKSUMMED_BYTES]) {
            let is_last = length == left;
            return if is_last {
                Ok(None)
            } else {
                Err(Error::Damaged(self.offset))
            };
        }
        let record = serde_json::from_slice(&text).map_err(|_| Error::Damaged(self.offset))?;
        self.offset += HEADER_BYTES + length;
        Ok(Some((record, HEADER_BYTES + length)))
    }

    /// Returns whether the rest of the file consists of zeros.
    fn is_rest_zero(&mut self) -> io::Result<bool> {
        let mut block = [0; 4096];
        loop {
            let read = self.file.read(&mut block)?;
            if read == 0 {
                return Ok(true);
            }
            if block[..read].iter().any(|byte| *byte != 0) {
                return Ok(false);
            }
        }
    }
}

/// Reads a little-endian number.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| value << 8 | u32::from(*byte))
}

/// Returns whether the journal should be compacted after a step's writes: when they contain a
/// snapshot, since the entries before it are no longer needed.
pub fn needs_compaction<S: State>(writes: &[Write<S>]) -> bool {
    writes
        .iter()
        .any(|write| matches!(write, Write::Snapshot(_) | Write::Restart(_)))
}

/// A voter's journal with a copy of the state that it holds, from which it is compacted.
#[derive(Debug)]
pub struct Writer<M, S: State> {
    journal: Journal<M>,
    state: Persisted<S>,
    /// The journal's length in bytes after it was opened or last compacted.
    compacted_length: usize,
}

impl<M: media::Media, S: State> Writer<M, S> {
    /// Creates a writer of a journal whose records add up to the given state.
    pub fn new(journal: Journal<M>, state: Persisted<S>) -> Self {
        Self {
            compacted_length: journal.len(),
            journal,
            state,
        }
    }

    /// Returns the state that the journal holds.
    pub fn persisted(&self) -> &Persisted<S> {
        &self.state
    }

    /// Returns the journal.
    pub fn journal(&self) -> &Journal<M> {
        &self.journal
    }

    /// Stores a step's writes durably. Returns whether the journal was compacted.
    ///
    /// # Errors
    ///
    /// Fails if they can't be written; the voter must then stop.
    pub fn write(&mut self, writes: Vec<raft::Write<S>>) -> Result<bool, Error> {
        if !needs_compaction(&writes) && self.journal.len() < self.max_length() {
            for write in &writes {
                self.state.replay(write.clone());
            }
            self.journal.write(writes)?;
            return Ok(false);
        }
        for write in writes {
            self.state.replay(write);
        }
        self.journal.compact(&self.state)?;
        self.compacted_length = self.journal.len();
        Ok(true)
    }

    /// Returns the length in bytes at which the journal is compacted without a new snapshot: most of
    /// its records are then of entries that were replaced, or of votes.
    fn max_length(&self) -> usize {
        2 * self.compacted_length + MAX_GROWTH_BYTES
    }
}
