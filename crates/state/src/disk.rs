//! File system operations used by the storage engine, and their implementation on a directory.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A flat directory of files. Written data is durable only after [`Disk::sync`]; the creation, renaming or removal of
/// a file only after [`Disk::sync_directory`].
pub trait Disk {
    /// Returns the names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Returns the content of a file.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to an existing file. After an error, a part of the bytes may be written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to this length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Waits until the file's data is durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing an existing one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Waits until the names of files are durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory of the file system. Keeps the most recently written file open.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    open_file: Option<(String, File)>,
}

impl Directory {
    /// Uses an existing directory.
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), open_file: None }
    }

    fn open(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = matches!(&self.open_file, Some((open_name, _)) if open_name == name);
        if !is_open {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open_file = Some((name.to_owned(), file));
        }
        let file = self.open_file.as_mut().map(|(_, file)| file);
        file.ok_or_else(|| io::Error::other("no file is open"))
    }
}

impl Disk for Directory {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.path)?
            .map(|entry| entry.map(|entry| entry.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.path.join(name))?.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        File::create(self.path.join(name)).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Name of the file whose lock marks the directory as in use by a process.
pub const LOCK_FILE: &str = "lock";

/// Creates the directory if it does not exist and locks it until the returned file is closed.
///
/// # Errors
/// The directory cannot be created or written to, or another process has locked it.
pub fn lock(path: &Path) -> io::Result<File> {
    std::fs::create_dir_all(path)?;
    let file = File::create(path.join(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(io::Error::other("another process uses it")),
        Err(TryLockError::Error(e)) => Err(e),
    }
}
