//! The data directory: locking, atomic replacement of files, and space reserved for a full disk.

use std::{
    fs::{self, File},
    io::{self, ErrorKind, Write},
    path::{Path, PathBuf},
};

use crate::store::{Error, Result};

/// Size of the reserved space. It is freed when the disk is full, so that the member can still save votes and terms and
/// answer heartbeats.
pub const RESERVE_BYTES: usize = 4 << 20;

/// A locked data directory.
pub struct DataDir {
    path: PathBuf,
    /// Holds the lock until it is dropped.
    _lock: File,
}

impl DataDir {
    /// Creates the directory if needed and locks it.
    pub fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(|it| io_error(path, it))?;
        let file = path.join("lock");
        let lock = File::create(&file).map_err(|it| io_error(&file, it))?;
        lock.try_lock().map_err(|_| Error::Locked { dir: path.to_owned() })?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }

    /// The path of a file in the directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Reads a whole file; none if it does not exist.
    pub fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let file = self.file(name);
        match fs::read(&file) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(err) if err.kind() == ErrorKind::NotFound => Ok(None),
            Err(err) => Err(io_error(&file, err)),
        }
    }

    /// Replaces a file atomically and durably: writes a new file, syncs it and renames it. After a crash the file has
    /// either the old or the new content. After [`Error::DiskFull`] it has the old one.
    pub fn replace(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let new = self.file(&format!("{name}.new"));
        let written = File::create(&new).and_then(|mut it| {
            it.write_all(bytes)?;
            it.sync_all()
        });
        if let Err(err) = written {
            let _ = fs::remove_file(&new);
            return Err(io_error(&new, err));
        }
        let file = self.file(name);
        fs::rename(&new, &file).map_err(|it| io_error(&file, it))?;
        self.sync()
    }

    /// Makes the directory entries durable, so that a rename survives a crash.
    pub fn sync(&self) -> Result<()> {
        let synced = File::open(&self.path).and_then(|it| it.sync_all());
        synced.map_err(|source| Error::Io { file: self.path.clone(), source })
    }

    /// Makes sure that the reserve file has its full size. Returns false if the disk is too full for it.
    pub fn reserve_space(&self) -> Result<bool> {
        let file = self.file("reserve");
        if fs::metadata(&file).is_ok_and(|it| it.len() >= RESERVE_BYTES as u64) {
            return Ok(true);
        }
        let mut reserve = File::create(&file).map_err(|it| io_error(&file, it))?;
        let written = reserve.write_all(&vec![0; RESERVE_BYTES]).and_then(|()| reserve.sync_all());
        match written.map_err(|it| io_error(&file, it)) {
            Ok(()) => Ok(true),
            Err(Error::DiskFull { .. }) => {
                let _ = reserve.set_len(0);
                Ok(false)
            }
            Err(err) => Err(err),
        }
    }

    /// Frees the reserved space by truncating the reserve file.
    pub fn release_space(&self) {
        let _ = File::options().write(true).open(self.file("reserve")).and_then(|it| it.set_len(0));
    }
}

/// Converts an I/O error on a file, telling a full disk or quota from other failures.
pub fn io_error(file: &Path, source: io::Error) -> Error {
    let file = file.to_owned();
    match source.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Error::DiskFull { file },
        _ => Error::Io { file, source },
    }
}
