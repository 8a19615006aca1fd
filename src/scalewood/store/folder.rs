//! The data folder in the file system.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use crate::store::media;

/// A folder on disk, locked for this process.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// The files that are open for appending, by name.
    open: HashMap<String, File>,
    /// The lock file; it stays locked while the folder is open, so that no second process uses it.
    _lock: File,
}

impl Folder {
    /// Opens a folder for exclusive use and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be created or another process uses it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = File::create(path.join("lock"))?;
        lock.try_lock().map_err(|_| {
            io::Error::new(
                io::ErrorKind::WouldBlock,
                "another process uses the data folder",
            )
        })?;
        Ok(Self {
            path: path.to_owned(),
            open: HashMap::new(),
            _lock: lock,
        })
    }

    /// Returns a file that is open for appending; creates it if it does not exist.
    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.sync_folder()?;
            self.open.insert(name.to_owned(), file);
        }
        self.open
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Syncs the folder itself, so that created and renamed files survive a loss of power.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl media::Media for Folder {
    type Reader = File;

    fn open(&self, name: &str) -> io::Result<Option<File>> {
        match File::open(self.path.join(name)) {
            Ok(file) => Ok(Some(file)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        match fs::metadata(self.path.join(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open.remove(name);
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn replace_by(
        &mut self,
        name: &str,
        parts: impl Iterator<Item = io::Result<Vec<u8>>>,
    ) -> io::Result<()> {
        self.open.remove(name);
        let fresh = self.path.join(format!("{name}.new"));
        if let Err(error) = write_parts(&fresh, parts) {
            // On a full disk it would take the room that is left.
            let _ = fs::remove_file(&fresh);
            return Err(error);
        }
        fs::rename(&fresh, self.path.join(name))?;
        self.sync_folder()
    }
}

/// Creates a file of the given parts and syncs it.
fn write_parts(path: &Path, parts: impl Iterator<Item = io::Result<Vec<u8>>>) -> io::Result<()> {
    let mut file = File::create(path)?;
    for part in parts {
        file.write_all(&part?)?;
    }
    file.sync_all()
}
