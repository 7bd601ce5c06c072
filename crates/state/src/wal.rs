//! Writes the write-ahead log and snapshots. Disk operations are ordered such that a crash between any two of them
//! loses no acknowledged change.

use crate::constants::*;
use crate::disk::Disk;
use crate::records::{
    FileKind, SnapshotFooter, SnapshotPart, SnapshotRow, append_frame, encode_file_header,
};
use std::io::{self, Write};

/// Name of the log file whose first frame has this number.
pub fn log_file_name(number: u64) -> String {
    format!("log-{number:020}")
}

/// Name of the snapshot to which the log from frame `number` on has to be applied.
pub fn snapshot_file_name(number: u64) -> String {
    format!("snap-{number:020}")
}

/// Name of a snapshot while it is being written.
pub const SNAPSHOT_TEMP_FILE: &str = "snap.tmp";

/// Parses the frame number out of a file name with this prefix.
pub fn parse_file_number(name: &str, prefix: &str) -> Option<u64> {
    let digits = name.strip_prefix(prefix)?.strip_prefix('-')?;
    (digits.len() == 20).then(|| digits.parse().ok()).flatten()
}

/// Encoded records that are written to the log as one frame (group commit).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Number of the frame; the first is 1.
    pub number: u64,
    /// Payload of the frame.
    pub records: Vec<u8>,
    /// The group begins a new log file.
    pub starts_file: bool,
}

/// Why a group could not be made durable.
#[derive(Debug)]
pub enum AppendError {
    /// No part of the group is in the log; appending it may be retried.
    NotWritten(io::Error),
    /// It is unknown whether the group is in the log; only recovery can tell.
    Unknown(io::Error),
}

/// Appends groups to the write-ahead log.
#[derive(Debug)]
pub struct WriteAheadLog<D> {
    disk: D,
    /// The file that is written to, and the length of its valid part.
    file_name: String,
    length: u64,
    /// Whether each group is synced before it counts as durable.
    sync: bool,
    buffer: Vec<u8>,
}

impl<D: Disk> WriteAheadLog<D> {
    /// Continues a log file of the given length; with an empty name, the first group must begin a new file.
    pub fn new(disk: D, file_name: String, length: u64, sync: bool) -> Self {
        Self { disk, file_name, length, sync, buffer: Vec::new() }
    }

    /// Appends a group and, if `sync` is set, waits until it is durable.
    ///
    /// # Errors
    /// A disk operation failed; the variant says whether a part of the group may be in the log.
    pub fn append(&mut self, group: &Group) -> Result<(), AppendError> {
        if group.starts_file {
            return self.start_file(group);
        }
        self.buffer.clear();
        append_frame(&mut self.buffer, group.number, &group.records);
        if let Err(e) = self.disk.append(&self.file_name, &self.buffer) {
            // Removes the part that was written: a retry must not follow a torn frame.
            return Err(match self.disk.truncate(&self.file_name, self.length) {
                Ok(()) => AppendError::NotWritten(e),
                Err(truncate_error) => AppendError::Unknown(truncate_error),
            });
        }
        self.sync_file()?;
        self.length += self.buffer.len() as u64;
        Ok(())
    }

    /// Syncs the file. A failed fsync is not retried: the kernel may have dropped the dirty pages, and a second fsync
    /// would then succeed without them.
    fn sync_file(&mut self) -> Result<(), AppendError> {
        if self.sync {
            self.disk.sync(&self.file_name).map_err(AppendError::Unknown)
        } else {
            Ok(())
        }
    }

    /// Begins a new log file with the group.
    fn start_file(&mut self, group: &Group) -> Result<(), AppendError> {
        let name = log_file_name(group.number);
        self.buffer.clear();
        self.buffer.extend_from_slice(&encode_file_header(FileKind::Log));
        append_frame(&mut self.buffer, group.number, &group.records);
        let written = self.disk.create(&name).and_then(|()| self.disk.append(&name, &self.buffer));
        if let Err(e) = written {
            return Err(match self.disk.truncate(&name, 0) {
                Ok(()) => AppendError::NotWritten(e),
                Err(_) if !self.disk.list().is_ok_and(|names| names.contains(&name)) => {
                    AppendError::NotWritten(e)
                }
                Err(truncate_error) => AppendError::Unknown(truncate_error),
            });
        }
        self.file_name = name;
        self.length = self.buffer.len() as u64;
        self.sync_file()?;
        if self.sync { self.disk.sync_directory().map_err(AppendError::Unknown) } else { Ok(()) }
    }

    /// Returns the disk, so that a simulation can restart the service on it.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// A step in writing a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotStep {
    /// Creates the temporary file.
    Begin,
    /// Appends rows, in key order.
    Rows(Vec<SnapshotRow>),
    /// Writes the footer, syncs the file and gives it its final name.
    Close(SnapshotFooter),
    /// Discards the unfinished snapshot and removes its temporary file.
    Abort,
    /// Removes the snapshots and log files with numbers below these.
    Prune { snapshots_below: u64, logs_below: u64 },
}

/// Writes snapshots: a file header followed by compressed frames, under a temporary name until complete.
pub struct SnapshotWriter<D> {
    disk: D,
    encoder: Option<zstd::stream::write::Encoder<'static, Vec<u8>>>,
    frame_count: u64,
    buffer: Vec<u8>,
}

impl<D: Disk> SnapshotWriter<D> {
    /// Writes snapshots to the disk.
    pub fn new(disk: D) -> Self {
        Self { disk, encoder: None, frame_count: 0, buffer: Vec::new() }
    }

    /// Executes a step.
    ///
    /// # Errors
    /// A disk operation failed; the caller has to abort the snapshot.
    pub fn execute(&mut self, step: &SnapshotStep) -> io::Result<()> {
        match step {
            SnapshotStep::Begin => {
                self.disk.create(SNAPSHOT_TEMP_FILE)?;
                self.disk.append(SNAPSHOT_TEMP_FILE, &encode_file_header(FileKind::Snapshot))?;
                self.frame_count = 0;
                self.encoder = Some(zstd::stream::write::Encoder::new(
                    Vec::new(),
                    SNAPSHOT_COMPRESSION_LEVEL,
                )?);
                Ok(())
            }
            // Cloning rows only increments reference counts. They are encoded here, on the snapshot thread, so that the
            // engine does not wait for it.
            SnapshotStep::Rows(rows) => self.write_part(&SnapshotPart::Rows(rows.clone())),
            SnapshotStep::Close(footer) => {
                self.write_part(&SnapshotPart::Footer(footer.clone()))?;
                let encoder = self.encoder.take().ok_or_else(make_no_snapshot_error)?;
                let remainder = encoder.finish()?;
                self.disk.append(SNAPSHOT_TEMP_FILE, &remainder)?;
                self.disk.sync(SNAPSHOT_TEMP_FILE)?;
                self.disk.rename(SNAPSHOT_TEMP_FILE, &snapshot_file_name(footer.first_group))?;
                self.disk.sync_directory()
            }
            SnapshotStep::Abort => {
                self.encoder = None;
                match self.disk.remove(SNAPSHOT_TEMP_FILE) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
                    _ => Ok(()),
                }
            }
            SnapshotStep::Prune { snapshots_below, logs_below } => {
                for name in self.disk.list()? {
                    let is_obsolete = parse_file_number(&name, "snap")
                        .is_some_and(|n| n < *snapshots_below)
                        || parse_file_number(&name, "log").is_some_and(|n| n < *logs_below);
                    if is_obsolete {
                        self.disk.remove(&name)?;
                    }
                }
                self.disk.sync_directory()
            }
        }
    }

    fn write_part(&mut self, part: &SnapshotPart) -> io::Result<()> {
        let encoder = self.encoder.as_mut().ok_or_else(make_no_snapshot_error)?;
        let payload = postcard::to_allocvec(part).map_err(io::Error::other)?;
        self.frame_count += 1;
        self.buffer.clear();
        append_frame(&mut self.buffer, self.frame_count, &payload);
        encoder.write_all(&self.buffer)?;
        // Writes compressed data as it is produced, so that memory does not grow with the number of keys.
        let compressed = std::mem::take(encoder.get_mut());
        if !compressed.is_empty() {
            self.disk.append(SNAPSHOT_TEMP_FILE, &compressed)?;
        }
        Ok(())
    }

    /// Returns the disk, so that a simulation can restart the service on it.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

fn make_no_snapshot_error() -> io::Error {
    io::Error::other("no snapshot has been started")
}
