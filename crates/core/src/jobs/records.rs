//! What stands in the state service, under which key, and in what form.

use super::dependency_list::{self, DependencyListError};
use super::packed::{self, PackedError};
use crate::constants::DEPENDENCIES_AS_TEXT;
use oatloom_graph::records::{Part, PartEnd};
use oatloom_ledger::rollup::{Days, Spent};
use oatloom_policy::charges::ChargeRecord;
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus, JobView};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use std::sync::Arc;

pub const LIVE: &str = "live/";
pub const OVER: &str = "over/";
pub const ASSIGNED: &str = "asg/";

pub fn live_key(id: &JobId) -> String {
    format!("{LIVE}{id}")
}

pub fn over_key(id: &JobId) -> String {
    format!("{OVER}{id}")
}

pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{ASSIGNED}{id}/{chunk:04}")
}

/// Value of a live key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "StoredLive", into = "StoredLive")]
pub struct LiveRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance, in milliseconds.
    pub wall_ms: u64,
    /// What of a graph it runs, if it does.
    pub part: Option<Arc<Part>>,
}

/// A live key's value as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredLive {
    #[serde(rename = "s")]
    spec: JobSpec,
    #[serde(rename = "t")]
    wall_ms: u64,
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    part: Option<Arc<Part>>,
    /// Dependencies, where there are so many that the description holds none of them.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    dependencies: Option<String>,
}

impl From<LiveRecord> for StoredLive {
    fn from(record: LiveRecord) -> Self {
        let LiveRecord { mut spec, wall_ms, part } = record;
        let many = spec.dependencies.len() > DEPENDENCIES_AS_TEXT;
        let dependencies = many.then(|| dependency_list::pack(&spec.dependencies));
        if many {
            spec.dependencies.clear();
        }
        Self { spec, wall_ms, part, dependencies }
    }
}

impl TryFrom<StoredLive> for LiveRecord {
    type Error = DependencyListError;

    fn try_from(stored: StoredLive) -> Result<Self, DependencyListError> {
        let StoredLive { mut spec, wall_ms, part, dependencies } = stored;
        if let Some(text) = dependencies {
            spec.dependencies = dependency_list::unpack(&text)?;
        }
        Ok(Self { spec, wall_ms, part })
    }
}

/// Value of an over key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    #[serde(rename = "s")]
    pub status: JobStatus,
    #[serde(rename = "n")]
    pub done: u32,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
    /// What its attempts have used, as far as it is accounted here.
    #[serde(
        rename = "u",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "or_none"
    )]
    pub spent: Option<Arc<Spent>>,
    /// What of a graph it ran, if it did.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Arc<PartEnd>>,
}

impl OverRecord {
    pub fn view(&self, id: &JobId) -> JobView {
        let failure = self.failure.clone();
        let queued = JobView::queued(id.clone());
        JobView { status: self.status, done: self.done, failure, ..queued }
    }
}

/// Task, attempt, host, shift, zone.
pub type Assignment = (u32, Attempt, HostId, Shift, Zone);

/// In which form assignment records are written; each is always read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecordForm {
    /// Assignments as rows of names and numbers: every version reads it.
    #[default]
    Rows,
    /// Assignments and failures packed: versions before the second do not see them.
    Packed,
}

/// Value of a chunk key: done tasks as a hexadecimal bitmap, assignments as rows. Serialised as it stands it is the form
/// that every version reads; see [`ChunkRecord::value`] for the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredChunk")]
pub struct ChunkRecord {
    #[serde(rename = "d", default)]
    pub done: String,
    #[serde(rename = "a", default)]
    pub held: Vec<Assignment>,
    /// Team, cores, GPUs, memory and number of tasks: what a later leader must count for tasks
    /// still on machines when the description is gone.
    #[serde(rename = "u")]
    pub size: (String, f64, f64, f64, u32),
    /// What failed, in the same write that frees the task: counted if and only if its end is.
    #[serde(rename = "e", default, skip_serializing_if = "ChargeRecord::is_empty")]
    pub charges: ChargeRecord,
    /// What its attempts have used.
    #[serde(rename = "l", default, skip_serializing_if = "Days::is_empty")]
    pub usage: Days,
}

/// A chunk's value as it is read, in either form.
#[derive(Deserialize)]
struct StoredChunk {
    #[serde(rename = "d", default)]
    done: String,
    #[serde(rename = "a", default)]
    held: Vec<Assignment>,
    #[serde(rename = "u")]
    size: (String, f64, f64, f64, u32),
    #[serde(rename = "e", default)]
    charges: ChargeRecord,
    /// What cannot be read is left out and said: the job goes on.
    #[serde(rename = "l", default, deserialize_with = "or_none")]
    usage: Days,
    #[serde(rename = "p", default)]
    packed: Option<String>,
}

impl TryFrom<StoredChunk> for ChunkRecord {
    type Error = PackedError;

    fn try_from(stored: StoredChunk) -> Result<Self, PackedError> {
        let StoredChunk { done, held, size, charges, usage, packed } = stored;
        let (held, charges) = match packed {
            Some(text) => {
                let unpacked = packed::unpack(&text)?;
                (unpacked.held, unpacked.charges)
            }
            None => (held, charges),
        };
        Ok(Self { done, held, size, charges, usage })
    }
}

impl ChunkRecord {
    /// The value to be stored for the chunk that begins with the task `first`.
    pub fn value(&self, form: RecordForm, first: u32) -> serde_json::Value {
        let plain = self.held.is_empty() && self.charges.is_empty();
        if form == RecordForm::Rows || plain {
            return serde_json::json!(self);
        }
        let text = packed::pack(first, &self.held, &self.charges);
        let (done, size, usage) = (self.done.clone(), self.size.clone(), self.usage.clone());
        let rest = Self { done, held: Vec::new(), size, charges: ChargeRecord::default(), usage };
        let mut value = serde_json::json!(rest);
        value["p"] = text.into();
        value
    }
}

/// Reads a part of a record without which the rest is still good.
fn or_none<'de, D: Deserializer<'de>, T: Default + DeserializeOwned>(
    from: D,
) -> Result<T, D::Error> {
    let value = serde_json::Value::deserialize(from)?;
    Ok(T::deserialize(value).unwrap_or_else(|e| {
        log::error!("ledger: a record is damaged, its usage is left out: {e}");
        T::default()
    }))
}

pub(super) fn to_hex(bits: impl Iterator<Item = bool>) -> String {
    let mut text = String::new();
    let mut nibble = 0u32;
    let mut count = 0;
    for bit in bits {
        nibble |= u32::from(bit) << (count % 4);
        count += 1;
        if count % 4 == 0 {
            text.push(char::from_digit(nibble, 16).unwrap_or('0'));
            nibble = 0;
        }
    }
    if count % 4 != 0 {
        text.push(char::from_digit(nibble, 16).unwrap_or('0'));
    }
    text
}

pub(super) fn from_hex(text: &str) -> impl Iterator<Item = bool> + '_ {
    text.chars()
        .map(|c| c.to_digit(16).unwrap_or(0))
        .flat_map(|nibble| (0..4).map(move |bit| nibble >> bit & 1 == 1))
}

/// Reads `asg/{id}/{chunk}`.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(ASSIGNED)?.rsplit_once('/')?;
    Some((JobId::parse(id)?, chunk.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bitmaps_survive_the_trip() {
        let bits: Vec<bool> = (0..97).map(|i| i % 3 == 0).collect();
        let back: Vec<bool> = from_hex(&to_hex(bits.iter().copied())).take(97).collect();
        assert_eq!(bits, back);
    }
}
