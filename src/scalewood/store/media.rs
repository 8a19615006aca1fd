//! The interface to the files of a data folder, so that tests can simulate a loss of power.

use std::io::{self, Read as _};

/// The files of one folder.
///
/// Appended bytes are durable only after a sync. A replacement is atomic, and durable once the
/// call returns.
pub trait Media: Send {
    /// Reads a file from its start.
    type Reader: io::Read;

    /// Returns a reader of a file, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    fn open(&self, name: &str) -> io::Result<Option<Self::Reader>>;

    /// Returns a file's bytes, or `None` if it does not exist. For small files.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let Some(mut reader) = self.open(name)? else {
            return Ok(None);
        };
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes)?;
        Ok(Some(bytes))
    }

    /// Returns a file's length in bytes, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be examined.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;

    /// Appends to a file; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all bytes that were appended to a file durable.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be synced; it is then unknown which bytes since the last sync are
    /// durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Shortens a file, durably.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Replaces a file's content by the given parts, atomically and durably. Only one part is in
    /// memory at a time.
    ///
    /// # Errors
    ///
    /// Fails if a part is an error or the file can't be written; the old content then remains.
    fn replace_by(
        &mut self,
        name: &str,
        parts: impl Iterator<Item = io::Result<Vec<u8>>>,
    ) -> io::Result<()>;

    /// Replaces a file's content atomically and durably.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the old content then remains.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.replace_by(name, std::iter::once(Ok(bytes.to_vec())))
    }
}
