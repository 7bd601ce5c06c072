//! A simulated disk. A crash may come between any two operations and lose any part of the data that was not synced.
//! The disk can also be full, and a sync can fail.

use oatloom_state::disk::Disk;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

const SECTOR_BYTES: usize = 512;

/// A file: the synced content, which survives any crash, and the current content.
#[derive(Clone, Default)]
struct File {
    synced: Vec<u8>,
    data: Vec<u8>,
    /// The longest content since the last sync: a crash may also lose a truncation.
    longest: Vec<u8>,
}

/// A change of the directory; files are identified by their index.
#[derive(Clone)]
enum NameChange {
    Create(String, usize),
    Rename(String, String),
    Remove(String),
}

/// Content and faults of the disk.
#[derive(Default)]
pub struct Inner {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    /// Changes of names since the directory was synced.
    name_changes: Vec<NameChange>,
    /// Operations that still succeed before the crash; `None` if no crash is planned.
    pub operations_left: Option<u64>,
    /// Bytes that still fit on the disk; `None` for no limit.
    pub free_bytes: Option<usize>,
    /// Every sync fails.
    pub sync_fails: bool,
    /// Number of operations begun.
    pub operations: u64,
}

/// The simulated disk. Clones share their content.
#[derive(Clone, Default)]
pub struct SimDisk(pub Rc<RefCell<Inner>>);

fn apply_name_change(names: &mut BTreeMap<String, usize>, change: &NameChange) {
    match change {
        NameChange::Create(name, file) => drop(names.insert(name.clone(), *file)),
        NameChange::Rename(from, to) => {
            if let Some(file) = names.remove(from) {
                names.insert(to.clone(), file);
            }
        }
        NameChange::Remove(name) => drop(names.remove(name)),
    }
}

impl SimDisk {
    /// Counts an operation, or fails if the crash has happened.
    fn begin_operation(&self) -> io::Result<()> {
        let mut inner = self.0.borrow_mut();
        if inner.operations_left == Some(0) {
            return Err(io::Error::other("crashed"));
        }
        inner.operations_left = inner.operations_left.map(|count| count - 1);
        inner.operations += 1;
        Ok(())
    }

    /// Whether the planned crash has happened; every further operation fails.
    pub fn has_crashed(&self) -> bool {
        self.0.borrow().operations_left == Some(0)
    }

    /// Reduces the disk to what survives the crash: the synced data and a random part of the rest.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let mut inner = self.0.borrow_mut();
        let mut names = inner.synced_names.clone();
        let survivor_count = rng.random_range(0..=inner.name_changes.len());
        inner.name_changes[..survivor_count]
            .iter()
            .for_each(|change| apply_name_change(&mut names, change));
        for file in &mut inner.files {
            let written = if rng.random_bool(0.3) { &file.longest } else { &file.data };
            let synced_length = file.synced.len();
            let mut survivor = file.synced.clone();
            if written.len() < synced_length {
                if rng.random_bool(0.5) {
                    survivor = written.clone();
                }
            } else {
                let length = rng.random_range(synced_length..=written.len());
                survivor.extend_from_slice(&written[synced_length..length]);
                for sector in synced_length / SECTOR_BYTES..length.div_ceil(SECTOR_BYTES) {
                    if rng.random_bool(0.15) {
                        let (start, end) = (
                            (sector * SECTOR_BYTES).max(synced_length),
                            ((sector + 1) * SECTOR_BYTES).min(length),
                        );
                        survivor[start..end].fill(0);
                    }
                }
            }
            *file = File { synced: survivor.clone(), data: survivor.clone(), longest: survivor };
        }
        inner.names.clone_from(&names);
        inner.synced_names = names;
        inner.name_changes.clear();
        (inner.operations_left, inner.free_bytes, inner.sync_fails) = (None, None, false);
    }

    /// Flips a bit of an existing file.
    pub fn flip_bit(&self, name: &str, offset: usize, bit: u8) {
        let mut inner = self.0.borrow_mut();
        let file = inner.names[name];
        let file = &mut inner.files[file];
        file.data[offset] ^= 1 << bit;
        file.synced.clone_from(&file.data);
    }

    /// Returns an independent copy.
    pub fn deep_copy(&self) -> Self {
        let inner = self.0.borrow();
        Self(Rc::new(RefCell::new(Inner {
            files: inner.files.clone(),
            names: inner.names.clone(),
            synced_names: inner.synced_names.clone(),
            ..Inner::default()
        })))
    }

    fn with_file<T>(&self, name: &str, action: impl FnOnce(&mut File) -> T) -> io::Result<T> {
        let mut inner = self.0.borrow_mut();
        let file = *inner.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(action(&mut inner.files[file]))
    }
}

impl Disk for SimDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().names.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.with_file(name, |file| file.data.clone())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        let mut inner = self.0.borrow_mut();
        inner.files.push(File::default());
        let file = inner.files.len() - 1;
        inner.names.insert(name.to_owned(), file);
        inner.name_changes.push(NameChange::Create(name.to_owned(), file));
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_operation()?;
        let free_bytes = self.0.borrow().free_bytes;
        let length = free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        self.with_file(name, |file| {
            file.data.extend_from_slice(&bytes[..length]);
            if file.data.len() > file.longest.len() {
                file.longest.clone_from(&file.data);
            }
        })?;
        self.0.borrow_mut().free_bytes = free_bytes.map(|free_bytes| free_bytes - length);
        if length < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.begin_operation()?;
        self.with_file(name, |file| file.data.truncate(length as usize))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        if self.0.borrow().sync_fails {
            return Err(io::Error::other("the disk reports an error"));
        }
        self.with_file(name, |file| {
            file.synced.clone_from(&file.data);
            file.longest.clone_from(&file.data);
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_operation()?;
        let mut inner = self.0.borrow_mut();
        let change = NameChange::Rename(from.to_owned(), to.to_owned());
        apply_name_change(&mut inner.names, &change);
        inner.name_changes.push(change);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        let mut inner = self.0.borrow_mut();
        inner.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        inner.name_changes.push(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.begin_operation()?;
        let mut inner = self.0.borrow_mut();
        inner.synced_names = inner.names.clone();
        inner.name_changes.clear();
        Ok(())
    }
}
