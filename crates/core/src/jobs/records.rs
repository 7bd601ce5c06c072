//! Keys and values of jobs in the state service.

use super::dependency_list::{self, DependencyListError};
use super::packed::{self, PackedError};
use crate::constants::MAX_TEXT_DEPENDENCIES;
use oatloom_graph::records::{GraphPart, GraphPartEnd};
use oatloom_ledger::rollup::{JobUsage, UsageByDay};
use oatloom_policy::charges::ChargeRecord;
use oatloom_protocol::constants::MAX_TASKS;
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus, JobView};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use std::sync::Arc;

/// Key prefix of the descriptions of unfinished jobs.
pub const LIVE_PREFIX: &str = "live/";
/// Key prefix of final records.
pub const FINAL_PREFIX: &str = "over/";
/// Key prefix of assignment records.
pub const ASSIGNMENT_PREFIX: &str = "asg/";

pub fn live_key(id: &JobId) -> String {
    format!("{LIVE_PREFIX}{id}")
}

pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}

pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{ASSIGNMENT_PREFIX}{id}/{chunk:04}")
}

/// Value of a live key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "StoredLive", into = "StoredLive")]
pub struct LiveRecord {
    pub spec: JobSpec,
    /// Time of day at acceptance, in milliseconds.
    pub wall_ms: u64,
    /// The part of a graph that the job runs, if any.
    pub part: Option<Arc<GraphPart>>,
}

/// Stored form of a [`LiveRecord`].
#[derive(Serialize, Deserialize)]
struct StoredLive {
    #[serde(rename = "s")]
    spec: JobSpec,
    #[serde(rename = "t")]
    wall_ms: u64,
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    part: Option<Arc<GraphPart>>,
    /// Packed list of the dependencies if there are more than [`MAX_TEXT_DEPENDENCIES`]; the list in `spec` is then
    /// empty.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    dependencies: Option<String>,
}

impl From<LiveRecord> for StoredLive {
    fn from(record: LiveRecord) -> Self {
        let LiveRecord { mut spec, wall_ms, part } = record;
        let many = spec.dependencies.len() > MAX_TEXT_DEPENDENCIES;
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
        // A damaged record may contain any number.
        spec.tasks = spec.tasks.clamp(1, MAX_TASKS);
        Ok(Self { spec, wall_ms, part })
    }
}

/// The final record: value of an `over/` key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    #[serde(rename = "s")]
    pub status: JobStatus,
    #[serde(rename = "n")]
    pub done: u32,
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
    /// Usage of its attempts, as far as it is counted in this record.
    #[serde(
        rename = "u",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "or_default"
    )]
    pub spent: Option<Arc<JobUsage>>,
    /// How the graph nodes that it ran ended, if any.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Arc<GraphPartEnd>>,
}

impl FinalRecord {
    pub fn view(&self, id: &JobId) -> JobView {
        let failure = self.failure.clone();
        let queued = JobView::queued(id.clone());
        JobView { status: self.status, done: self.done, failure, ..queued }
    }
}

/// Task, attempt, host, worker session, zone.
pub type AssignmentRow = (u32, Attempt, HostId, WorkerSession, Zone);

/// Form in which assignment records are written. Both are always readable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecordForm {
    /// Assignments as rows of names and numbers, which every version reads.
    #[default]
    Rows,
    /// Packed assignments and failures, which versions before 2 do not read.
    Packed,
}

/// Value of an assignment key: completed tasks as a hexadecimal bitmap, assignments as rows. The derived
/// serialization is [`RecordForm::Rows`]; see [`ChunkRecord::value`] for the packed form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredChunk")]
pub struct ChunkRecord {
    #[serde(rename = "d", default)]
    pub done: String,
    #[serde(rename = "a", default)]
    pub assignments: Vec<AssignmentRow>,
    /// Team, cores, GPUs, memory and number of tasks, so that a later leader can count tasks that are
    /// still on machines when the description is deleted.
    #[serde(rename = "u")]
    pub size: (String, f64, f64, f64, u32),
    /// Charged failures, written together with the release of the task: one is durable if and only if the other is.
    #[serde(rename = "e", default, skip_serializing_if = "ChargeRecord::is_empty")]
    pub charges: ChargeRecord,
    /// Usage of its attempts.
    #[serde(rename = "l", default, skip_serializing_if = "UsageByDay::is_empty")]
    pub usage: UsageByDay,
}

/// A chunk record as read, in either form.
#[derive(Deserialize)]
struct StoredChunk {
    #[serde(rename = "d", default)]
    done: String,
    #[serde(rename = "a", default)]
    assignments: Vec<AssignmentRow>,
    #[serde(rename = "u")]
    size: (String, f64, f64, f64, u32),
    #[serde(rename = "e", default)]
    charges: ChargeRecord,
    /// Unreadable usage is logged and dropped, so that the job continues.
    #[serde(rename = "l", default, deserialize_with = "or_default")]
    usage: UsageByDay,
    #[serde(rename = "p", default)]
    packed: Option<String>,
}

impl TryFrom<StoredChunk> for ChunkRecord {
    type Error = PackedError;

    fn try_from(stored: StoredChunk) -> Result<Self, PackedError> {
        let StoredChunk { done, assignments, size, charges, usage, packed } = stored;
        let (assignments, charges) = match packed {
            Some(text) => {
                let unpacked = packed::unpack(&text)?;
                (unpacked.assignments, unpacked.charges)
            }
            None => (assignments, charges),
        };
        Ok(Self { done, assignments, size, charges, usage })
    }
}

impl ChunkRecord {
    /// The value to be stored in this form, for the chunk whose first task is `first`.
    pub fn value(&self, form: RecordForm, first: u32) -> serde_json::Value {
        let nothing_to_pack = self.assignments.is_empty() && self.charges.is_empty();
        if form == RecordForm::Rows || nothing_to_pack {
            return serde_json::json!(self);
        }
        let text = packed::pack(first, &self.assignments, &self.charges);
        let (done, size, usage) = (self.done.clone(), self.size.clone(), self.usage.clone());
        let rest =
            Self { done, assignments: Vec::new(), size, charges: ChargeRecord::default(), usage };
        let mut value = serde_json::json!(rest);
        value["p"] = text.into();
        value
    }
}

/// Deserializes an optional part of a record: if it is damaged, the default replaces it.
fn or_default<'de, D: Deserializer<'de>, T: Default + DeserializeOwned>(
    deserializer: D,
) -> Result<T, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).unwrap_or_else(|e| {
        log::error!("ledger: ignoring damaged usage in a record: {e}");
        T::default()
    }))
}

/// Encodes a bitmap as hexadecimal digits, the lowest bit first.
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

/// Decodes the bitmap that [`to_hex`] writes.
pub(super) fn from_hex(text: &str) -> impl Iterator<Item = bool> + '_ {
    text.chars()
        .map(|c| c.to_digit(16).unwrap_or(0))
        .flat_map(|nibble| (0..4).map(move |bit| nibble >> bit & 1 == 1))
}

/// Parses a key `asg/{id}/{chunk}`.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(ASSIGNMENT_PREFIX)?.rsplit_once('/')?;
    Some((JobId::parse(id)?, chunk.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bitmaps_round_trip() {
        let bits: Vec<bool> = (0..97).map(|i| i % 3 == 0).collect();
        let decoded: Vec<bool> = from_hex(&to_hex(bits.iter().copied())).take(97).collect();
        assert_eq!(bits, decoded);
    }
}
