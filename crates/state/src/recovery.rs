//! Recovery at startup: loads the newest valid snapshot and applies the log to it. What a crash can leave behind (torn
//! writes, unfinished snapshots) is repaired and logged; any other corruption is an error and is not
//! repaired.

use crate::disk::{Disk, LOCK_FILE};
use crate::keyspace::Keyspace;
use crate::records::{
    FILE_HEADER_BYTES, FileKind, HeaderError, SnapshotFooter, SnapshotPart, SnapshotRow, Tail,
    check_file_header, classify_tail, decode_frame,
};
use crate::wal::{SNAPSHOT_TEMP_FILE, log_file_name, parse_file_number, snapshot_file_name};
use oatloom_protocol::ids::Mono;
use std::io::{self, Read};

/// Why the data directory cannot be recovered.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// A disk operation failed.
    #[error("{name}: {cause}")]
    Io { name: String, cause: io::Error },
    /// The file has the format version of a later release.
    #[error(
        "{name} is of format {format}, which a later version wrote; this one reads {}",
        crate::constants::FORMAT_VERSION
    )]
    NewerFormat { name: String, format: u16 },
    /// The file was not written by this service.
    #[error("{name} is not a file of this service")]
    UnknownFile { name: String },
    /// A frame of the log is corrupt, and not a torn write at its end.
    #[error(
        "{name} is damaged at byte {offset}: what follows was acknowledged and cannot be trusted"
    )]
    Damaged { name: String, offset: usize },
    /// A log file between the snapshot and the end of the log is missing.
    #[error("{name} is missing: the log continues at {next}")]
    MissingLog { name: String, next: u64 },
    /// The log ends before the last group that the snapshot may include.
    #[error(
        "the log ends at {end}, before the end of {snapshot} at {last_group}: a file is missing or was cut"
    )]
    LogTooShort { end: u64, snapshot: String, last_group: u64 },
    /// No snapshot is valid, and the log does not reach back to the first group.
    #[error("no snapshot is valid, and the remaining log begins at {first_group}")]
    NoSnapshot { first_group: u64 },
}

/// The recovered state and the position at which the log continues.
#[derive(Debug)]
pub struct Recovered {
    /// The keys and leases.
    pub keyspace: Keyspace,
    /// Name and length of the log file to continue; if the name is empty, the next group begins a new file.
    pub log_file: String,
    pub log_file_length: u64,
    /// Number of the next group.
    pub next_group: u64,
    /// Numbers of the valid snapshots, oldest first.
    pub snapshots: Vec<u64>,
    /// Size of the log since the snapshot.
    pub log_bytes: u64,
    /// Messages for the operator about what was repaired.
    pub warnings: Vec<String>,
}

fn to_io_error(name: &str) -> impl Fn(io::Error) -> RecoveryError + '_ {
    move |cause| RecoveryError::Io { name: name.to_owned(), cause }
}

/// Recovers the state from the directory and removes incomplete writes, so that the log can be continued.
///
/// # Errors
/// A disk operation failed, or the directory is in a state that no crash of this service can cause.
pub fn recover<D: Disk>(disk: &mut D, now: Mono) -> Result<Recovered, RecoveryError> {
    let names = disk.list().map_err(to_io_error("the directory"))?;
    let mut warnings = Vec::new();
    if names.iter().any(|name| name == SNAPSHOT_TEMP_FILE) {
        disk.remove(SNAPSHOT_TEMP_FILE).map_err(to_io_error(SNAPSHOT_TEMP_FILE))?;
        warnings.push("removed an unfinished snapshot".to_owned());
    }
    let list_numbers = |prefix: &str| {
        let mut numbers: Vec<u64> =
            names.iter().filter_map(|name| parse_file_number(name, prefix)).collect();
        numbers.sort_unstable();
        numbers
    };
    let is_known = |name: &String| {
        [LOCK_FILE, SNAPSHOT_TEMP_FILE].contains(&name.as_str())
            || parse_file_number(name, "log").is_some()
            || parse_file_number(name, "snap").is_some()
    };
    if let Some(name) = names.iter().find(|name| !is_known(name)) {
        return Err(RecoveryError::UnknownFile { name: name.clone() });
    }
    let (logs, mut snapshots) = (list_numbers("log"), list_numbers("snap"));
    let mut newest_valid: Option<(u64, Vec<SnapshotRow>, SnapshotFooter)> = None;
    let mut damaged = Vec::new();
    for number in snapshots.iter().rev() {
        let name = snapshot_file_name(*number);
        match read_snapshot(disk, &name)? {
            Some((rows, footer)) if footer.first_group == *number => {
                newest_valid = Some((*number, rows, footer));
                break;
            }
            _ => {
                warnings.push(format!("{name} is damaged; the one before it is used"));
                damaged.push(*number);
            }
        }
    }
    snapshots.retain(|number| !damaged.contains(number));
    if newest_valid.is_none()
        && let Some(first_group) = logs.first().copied().filter(|first| *first > 1)
    {
        return Err(RecoveryError::NoSnapshot { first_group });
    }
    if newest_valid.is_none() && logs.is_empty() && !damaged.is_empty() {
        return Err(RecoveryError::NoSnapshot { first_group: 1 });
    }
    let (first_group, last_group, rows, footer) = match newest_valid {
        Some((number, rows, footer)) => (number, footer.last_group, rows, footer),
        None => (1, 0, Vec::new(), SnapshotFooter::default()),
    };
    let mut keyspace = Keyspace::from_snapshot(rows, &footer, now);
    let mut recovered = Recovered {
        keyspace: Keyspace::default(),
        log_file: String::new(),
        log_file_length: 0,
        next_group: first_group,
        snapshots,
        log_bytes: 0,
        warnings,
    };
    let needed_logs: Vec<u64> =
        logs.iter().copied().filter(|first| *first >= first_group).collect();
    for (index, first) in needed_logs.iter().enumerate() {
        let is_last = index + 1 == needed_logs.len();
        if *first != recovered.next_group {
            return Err(RecoveryError::MissingLog {
                name: log_file_name(recovered.next_group),
                next: *first,
            });
        }
        read_log(disk, *first, is_last, &mut keyspace, &mut recovered, now)?;
    }
    if recovered.next_group <= last_group {
        let (end, snapshot) = (recovered.next_group - 1, snapshot_file_name(first_group));
        return Err(RecoveryError::LogTooShort { end, snapshot, last_group });
    }
    // Damaged snapshots are removed only after everything else was read successfully.
    for number in damaged {
        let name = snapshot_file_name(number);
        disk.remove(&name).map_err(to_io_error(&name))?;
    }
    keyspace.finish_recovery(now);
    recovered.keyspace = keyspace;
    Ok(recovered)
}

/// Applies one log file to the keyspace. A torn write at its end is removed; it is an error if the file is not the
/// last one.
fn read_log<D: Disk>(
    disk: &mut D,
    first: u64,
    is_last: bool,
    keyspace: &mut Keyspace,
    recovered: &mut Recovered,
    now: Mono,
) -> Result<(), RecoveryError> {
    let name = log_file_name(first);
    let bytes = disk.read(&name).map_err(to_io_error(&name))?;
    match check_file_header(FileKind::Log, &bytes) {
        Ok(()) => {}
        // The process ended while it created the file. The header was never synced, so no group in the file was
        // acknowledged.
        Err(HeaderError::Truncated) if is_last && classify_tail(&bytes, 0) != Tail::Damaged => {
            recovered
                .warnings
                .push(format!("removed {name}: it was being created when the process ended"));
            disk.remove(&name).map_err(to_io_error(&name))?;
            return disk.sync_directory().map_err(to_io_error("the directory"));
        }
        Err(HeaderError::Truncated) => return Err(RecoveryError::Damaged { name, offset: 0 }),
        Err(HeaderError::WrongMagic) => return Err(RecoveryError::UnknownFile { name }),
        Err(HeaderError::NewerFormat(format)) => {
            return Err(RecoveryError::NewerFormat { name, format });
        }
    }
    let mut offset = FILE_HEADER_BYTES;
    while let Some(frame) = decode_frame(&bytes[offset..]) {
        if frame.number != recovered.next_group {
            return Err(RecoveryError::Damaged { name, offset });
        }
        let records = frame.decode_records();
        for record in records.map_err(|_| RecoveryError::Damaged { name: name.clone(), offset })? {
            keyspace.apply(&record, now);
        }
        recovered.next_group += 1;
        offset += frame.size();
    }
    match classify_tail(&bytes, offset) {
        Tail::Empty => {}
        Tail::Torn if is_last => {
            let torn_bytes = bytes.len() - offset;
            recovered
                .warnings
                .push(format!("{name}: {torn_bytes} bytes of a write cut short are removed"));
            disk.truncate(&name, offset as u64).map_err(to_io_error(&name))?;
            disk.sync(&name).map_err(to_io_error(&name))?;
        }
        Tail::Torn | Tail::Damaged => return Err(RecoveryError::Damaged { name, offset }),
    }
    recovered.log_bytes += offset as u64;
    recovered.log_file_length = offset as u64;
    recovered.log_file = name;
    Ok(())
}

/// Reads a snapshot; `None` if it is damaged.
fn read_snapshot<D: Disk>(
    disk: &mut D,
    name: &str,
) -> Result<Option<(Vec<SnapshotRow>, SnapshotFooter)>, RecoveryError> {
    let bytes = disk.read(name).map_err(to_io_error(name))?;
    match check_file_header(FileKind::Snapshot, &bytes) {
        Ok(()) => {}
        Err(HeaderError::Truncated) => return Ok(None),
        Err(HeaderError::WrongMagic) => {
            return Err(RecoveryError::UnknownFile { name: name.into() });
        }
        Err(HeaderError::NewerFormat(format)) => {
            return Err(RecoveryError::NewerFormat { name: name.into(), format });
        }
    }
    Ok(decode_parts(&bytes[FILE_HEADER_BYTES..]))
}

/// Decompresses a snapshot in blocks of 1 MiB and decodes its parts; `None` if it is damaged or has no footer. The
/// block size limits how much undecoded data is held in memory.
fn decode_parts(compressed: &[u8]) -> Option<(Vec<SnapshotRow>, SnapshotFooter)> {
    let mut decoder = zstd::stream::read::Decoder::with_buffer(compressed).ok()?;
    let (mut block, mut pending) = (vec![0; 1024 * 1024], Vec::new());
    let (mut rows, mut footer, mut frame_count) = (Vec::new(), None, 0);
    loop {
        let count = decoder.read(&mut block).ok()?;
        if count == 0 {
            break;
        }
        pending.extend_from_slice(&block[..count]);
        let mut offset = 0;
        while let Some(frame) = decode_frame(&pending[offset..]) {
            frame_count += 1;
            if frame.number != frame_count || footer.is_some() {
                return None;
            }
            match postcard::from_bytes(frame.payload).ok()? {
                SnapshotPart::Rows(decoded) => rows.extend(decoded),
                SnapshotPart::Footer(decoded) => footer = Some(decoded),
            }
            offset += frame.size();
        }
        pending.drain(..offset);
    }
    let footer: SnapshotFooter = footer.filter(|_| pending.is_empty())?;
    (footer.row_count == rows.len() as u64).then_some((rows, footer))
}
