//! The packed form of an assignment record: assignments and failures as `postcard` in base64, about ten bytes for each
//! assignment. Written only once no controller runs a version that does not read it.
//!
//! Machine names that differ only in a number at their end are stored as that number. Rows are sorted by attempt
//! number, so that the differences between rows are mostly small.

use super::records::AssignmentRow;
use crate::constants::TASKS_PER_CHUNK;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oatloom_policy::charges::ChargeRecord;
use oatloom_protocol::ids::{Attempt, HostId, WorkerSession, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most digits at the end of a machine's name that are stored as a number; 18 digits fit 63 bits.
const MAX_NUMBER_DIGITS: usize = 18;

/// Why a packed record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PackedError {
    /// The text is not base64.
    #[error("packed record is not valid base64: {0}")]
    Base64(String),
    /// The bytes are not a packed record.
    #[error("cannot decode packed record: {0}")]
    Decode(String),
    /// A row has a value out of range.
    #[error("row {row} of the packed record has an invalid {field}")]
    Row { row: usize, field: &'static str },
}

/// Pattern shared by the names of machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct NamePattern {
    prefix: String,
    /// Number of digits to which the number is padded with zeros.
    digits: usize,
}

impl NamePattern {
    /// The pattern that most of the names follow.
    fn of<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let mut patterns: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for (prefix, digits) in names.filter_map(split_number) {
            let (count, shortest) = patterns.entry(prefix).or_insert((0, usize::MAX));
            *count += 1;
            *shortest = digits.len().min(*shortest);
        }
        let most_common = patterns.into_iter().max_by_key(|(_, (count, _))| *count);
        most_common.map_or_else(Self::default, |(prefix, (_, digits))| Self {
            prefix: prefix.to_owned(),
            digits,
        })
    }

    /// The name with this number. Limits the padding, since a damaged record may hold any number of digits.
    fn name(&self, number: i64) -> String {
        format!("{}{number:0digits$}", self.prefix, digits = self.digits.min(MAX_NUMBER_DIGITS))
    }

    /// The number of a name that follows the pattern.
    fn number(&self, name: &str) -> Option<i64> {
        let (_, digits) = split_number(name)?;
        let number = digits.parse().ok()?;
        (self.name(number) == name).then_some(number)
    }
}

/// Splits a name before the number at its end.
fn split_number(name: &str) -> Option<(&str, &str)> {
    let prefix = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = &name[prefix.len()..];
    (1..=MAX_NUMBER_DIGITS).contains(&digits.len()).then_some((prefix, digits))
}

/// One assignment. Attempt, host and session are differences to the previous row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    /// Index of the task in its chunk.
    task: u32,
    /// Index into the list of zones.
    zone: u32,
    attempt: u64,
    host: i64,
    session: i64,
}

/// Failures charged to tasks; see [`ChargeRecord`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PackedCharges {
    hosts: Vec<HostId>,
    excused: Vec<u16>,
    /// Index of the task in its chunk, index of the machine plus one (0: machine not named), failures.
    rows: Vec<(u32, u32, u32)>,
    counted: Option<Attempt>,
}

/// The packed record as it is serialized.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Packed {
    /// First task of the chunk.
    first: u32,
    zones: Vec<Zone>,
    pattern: NamePattern,
    rows: Vec<Row>,
    /// Machines whose names do not follow the pattern: row index and name.
    named: Vec<(u32, HostId)>,
    charges: PackedCharges,
}

/// Assignments and failures of a chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Unpacked {
    pub assignments: Vec<AssignmentRow>,
    pub charges: ChargeRecord,
}

/// Packs the assignments and failures of a chunk whose first task is `first`.
pub(super) fn pack(first: u32, assignments: &[AssignmentRow], charges: &ChargeRecord) -> String {
    let mut sorted: Vec<&AssignmentRow> = assignments.iter().collect();
    sorted.sort_by_key(|(task, attempt, ..)| (*attempt, *task));
    let pattern = NamePattern::of(sorted.iter().map(|(_, _, host, ..)| host.as_str()));
    let mut packed =
        Packed { first, pattern, charges: pack_charges(first, charges), ..Packed::default() };
    let (mut last_attempt, mut last_host, mut last_session) = (0, 0, 0);
    for (row, (task, attempt, host, session, zone)) in (0..).zip(sorted) {
        let number = packed.pattern.number(host.as_str());
        if number.is_none() {
            packed.named.push((row, host.clone()));
        }
        let number = number.unwrap_or(last_host);
        packed.rows.push(Row {
            task: task.saturating_sub(first),
            zone: zone_index(&mut packed.zones, zone),
            attempt: attempt.0 - last_attempt,
            host: number - last_host,
            session: (session.0 as i64).wrapping_sub(last_session),
        });
        (last_attempt, last_host, last_session) = (attempt.0, number, session.0 as i64);
    }
    let bytes = postcard::to_stdvec(&packed).unwrap_or_default();
    URL_SAFE_NO_PAD.encode(bytes)
}

/// The index of a zone in the list, to which it is added if it is missing.
fn zone_index(zones: &mut Vec<Zone>, zone: &Zone) -> u32 {
    let existing = zones.iter().position(|z| z == zone);
    let index = existing.unwrap_or_else(|| {
        zones.push(zone.clone());
        zones.len() - 1
    });
    index as u32
}

fn pack_charges(first: u32, charges: &ChargeRecord) -> PackedCharges {
    let row = |(task, host, failures): &(u32, u16, u32)| {
        let host = if *host == u16::MAX { 0 } else { u32::from(*host) + 1 };
        (task.saturating_sub(first), host, *failures)
    };
    PackedCharges {
        hosts: charges.hosts.clone(),
        excused: charges.excused.clone(),
        rows: charges.rows.iter().map(row).collect(),
        counted: charges.last_gang_attempt,
    }
}

/// Reads a packed record; the assignments are sorted by task.
///
/// # Errors
/// The text is damaged.
pub(super) fn unpack(text: &str) -> Result<Unpacked, PackedError> {
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|e| PackedError::Base64(e.to_string()))?;
    let packed: Packed =
        postcard::from_bytes(&bytes).map_err(|e| PackedError::Decode(e.to_string()))?;
    let first = packed.first;
    let mut named: BTreeMap<u32, HostId> = packed.named.into_iter().collect();
    let mut assignments = Vec::new();
    let (mut attempt, mut host, mut session) = (0u64, 0i64, 0i64);
    for (index, row) in packed.rows.iter().enumerate() {
        let invalid = |field| PackedError::Row { row: index, field };
        let zone = packed.zones.get(row.zone as usize).ok_or(invalid("zone"))?;
        attempt = attempt.checked_add(row.attempt).ok_or(invalid("attempt"))?;
        host = host.checked_add(row.host).ok_or(invalid("machine"))?;
        session = session.wrapping_add(row.session);
        let task = Some(row.task).filter(|task| *task < TASKS_PER_CHUNK).ok_or(invalid("task"))?;
        let name = named.remove(&(index as u32));
        let name = name.unwrap_or_else(|| HostId::new(&packed.pattern.name(host)));
        assignments.push((
            first.saturating_add(task),
            Attempt(attempt),
            name,
            WorkerSession(session as u64),
            zone.clone(),
        ));
    }
    assignments.sort_by_key(|(task, ..)| *task);
    Ok(Unpacked { assignments, charges: unpack_charges(first, packed.charges) })
}

fn unpack_charges(first: u32, packed: PackedCharges) -> ChargeRecord {
    let row = |(task, host, failures): (u32, u32, u32)| {
        let host = host.checked_sub(1).and_then(|host| u16::try_from(host).ok());
        (first.saturating_add(task), host.unwrap_or(u16::MAX), failures)
    };
    ChargeRecord {
        hosts: packed.hosts,
        excused: packed.excused,
        rows: packed.rows.into_iter().map(row).collect(),
        last_gang_attempt: packed.counted,
    }
}

#[cfg(test)]
mod tests;
