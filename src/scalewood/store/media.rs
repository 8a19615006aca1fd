//! Files as the store needs them, as an interface, so that tests can lose power.

use std::io;

/// Files in one folder.
///
/// What was appended lasts only once it is synced; a replacement is whole or not
/// there at all, and lasts once the call returns.
pub trait Media: Send {
    /// A file's bytes, or nothing if there is no such file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was appended to a file last.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be synced; what was appended since is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Puts new bytes in place of a file, at once and lasting.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written; the old one then stands.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
}
