//! The short form of an assignment record: assignments and failures as `postcard` in base64, about ten bytes for each
//! assignment. Written only once no controller runs a version that does not read it.
//!
//! Names of machines that are alike but for a number at their end are kept as that number. Rows go in order of their
//! attempts, which mostly follow each other closely.

use super::records::Assignment;
use crate::constants::CHUNK_TASKS;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oatloom_policy::charges::ChargeRecord;
use oatloom_protocol::ids::{Attempt, HostId, Shift, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest number at the end of a machine's name that is kept as a number: it fits 63 bits.
const DIGITS_MOST: usize = 18;

/// Why a short form cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PackedError {
    #[error("not base64: {0}")]
    Text(String),
    #[error("not a short form: {0}")]
    Form(String),
    #[error("row {row} names {what} that is not in the record")]
    Row { row: usize, what: &'static str },
}

/// What the machines' names have in common.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct NamePattern {
    prefix: String,
    /// The number is filled up with zeros to so many digits.
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
        let most = patterns.into_iter().max_by_key(|(_, (count, _))| *count);
        most.map_or_else(Self::default, |(prefix, (_, digits))| Self {
            prefix: prefix.to_owned(),
            digits,
        })
    }

    fn name(&self, number: i64) -> String {
        format!("{}{number:0digits$}", self.prefix, digits = self.digits.min(DIGITS_MOST))
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
    (1..=DIGITS_MOST).contains(&digits.len()).then_some((prefix, digits))
}

/// One assignment; numbers are differences to the row before, but for the task and the zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    /// Place of the task in its chunk.
    task: u32,
    /// Place in the table of zones.
    zone: u32,
    attempt: u64,
    host: i64,
    shift: i64,
}

/// What stands against tasks; see [`ChargeRecord`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PackedCharges {
    hosts: Vec<HostId>,
    excused: Vec<u16>,
    /// Place of the task in its chunk, place of the machine plus one (0: any), failures.
    rows: Vec<(u32, u32, u32)>,
    counted: Option<Attempt>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Packed {
    /// First task of the chunk.
    first: u32,
    zones: Vec<Zone>,
    pattern: NamePattern,
    rows: Vec<Row>,
    /// Machines whose names do not follow the pattern: the row, and the name.
    named: Vec<(u32, HostId)>,
    charges: PackedCharges,
}

/// Assignments and failures of a chunk.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Unpacked {
    pub held: Vec<Assignment>,
    pub charges: ChargeRecord,
}

/// The short form of what a chunk's record holds; `first` is the chunk's first task.
pub(super) fn pack(first: u32, held: &[Assignment], charges: &ChargeRecord) -> String {
    let mut sorted: Vec<&Assignment> = held.iter().collect();
    sorted.sort_by_key(|(task, attempt, ..)| (*attempt, *task));
    let pattern = NamePattern::of(sorted.iter().map(|(_, _, host, ..)| host.as_str()));
    let mut packed =
        Packed { first, pattern, charges: pack_charges(first, charges), ..Packed::default() };
    let (mut last_attempt, mut last_host, mut last_shift) = (0, 0, 0);
    for (row, (task, attempt, host, shift, zone)) in (0..).zip(sorted) {
        let number = packed.pattern.number(host.as_str());
        if number.is_none() {
            packed.named.push((row, host.clone()));
        }
        let number = number.unwrap_or(last_host);
        packed.rows.push(Row {
            task: task.saturating_sub(first),
            zone: place_of(&mut packed.zones, zone),
            attempt: attempt.0 - last_attempt,
            host: number - last_host,
            shift: (shift.0 as i64).wrapping_sub(last_shift),
        });
        (last_attempt, last_host, last_shift) = (attempt.0, number, shift.0 as i64);
    }
    let bytes = postcard::to_stdvec(&packed).unwrap_or_default();
    URL_SAFE_NO_PAD.encode(bytes)
}

fn place_of(zones: &mut Vec<Zone>, zone: &Zone) -> u32 {
    let known = zones.iter().position(|z| z == zone);
    let place = known.unwrap_or_else(|| {
        zones.push(zone.clone());
        zones.len() - 1
    });
    place as u32
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
        counted: charges.counted,
    }
}

/// Reads the short form; assignments come in order of their tasks.
pub(super) fn unpack(text: &str) -> Result<Unpacked, PackedError> {
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|e| PackedError::Text(e.to_string()))?;
    let packed: Packed =
        postcard::from_bytes(&bytes).map_err(|e| PackedError::Form(e.to_string()))?;
    let first = packed.first;
    let mut named: BTreeMap<u32, HostId> = packed.named.into_iter().collect();
    let mut held = Vec::new();
    let (mut attempt, mut host, mut shift) = (0u64, 0i64, 0i64);
    for (place, row) in packed.rows.iter().enumerate() {
        let bad = |what| PackedError::Row { row: place, what };
        let zone = packed.zones.get(row.zone as usize).ok_or(bad("a zone"))?;
        attempt = attempt.checked_add(row.attempt).ok_or(bad("an attempt"))?;
        host = host.checked_add(row.host).ok_or(bad("a machine"))?;
        shift = shift.wrapping_add(row.shift);
        let task = Some(row.task).filter(|task| *task < CHUNK_TASKS).ok_or(bad("a task"))?;
        let name = named.remove(&(place as u32));
        let name = name.unwrap_or_else(|| HostId::new(&packed.pattern.name(host)));
        held.push((
            first.saturating_add(task),
            Attempt(attempt),
            name,
            Shift(shift as u64),
            zone.clone(),
        ));
    }
    held.sort_by_key(|(task, ..)| *task);
    Ok(Unpacked { held, charges: unpack_charges(first, packed.charges) })
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
        counted: packed.counted,
    }
}

#[cfg(test)]
mod tests;
