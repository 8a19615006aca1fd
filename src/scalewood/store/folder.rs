//! The data folder on a real disk.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use crate::store::media;

/// A folder on disk.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: HashMap<String, File>,
    /// Held while the folder is open, so that no second process uses it.
    _lock: File,
}

impl Folder {
    /// Opens a folder for this process alone; makes it if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be made or another process uses it.
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

    /// Makes the folder's entries last.
    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl media::Media for Folder {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
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

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open.remove(name);
        let fresh = self.path.join(format!("{name}.new"));
        let mut file = File::create(&fresh)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&fresh, self.path.join(name))?;
        self.sync_folder()
    }
}
