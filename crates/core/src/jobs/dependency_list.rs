//! Packed form of a long list of dependencies, so that a job with hundreds of them fits into one value of the state
//! service: the differences between the sorted numbers of the ids, as `postcard` in base64.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oatloom_protocol::ids::JobId;
use serde::{Deserialize, Serialize};

/// Prefix of all job ids.
const PREFIX: &str = "req-";

/// Why a packed list cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DependencyListError {
    /// The text is not base64.
    #[error("packed dependencies are not valid base64: {0}")]
    Base64(String),
    /// The bytes are not a packed list.
    #[error("cannot decode packed dependencies: {0}")]
    Decode(String),
    /// A number is larger than an id can hold.
    #[error("packed dependencies contain a number out of range")]
    NumberOutOfRange,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Packed {
    /// Number of digits to which the numbers are padded with zeros.
    digits: usize,
    /// Differences between the sorted numbers.
    differences: Vec<u64>,
    /// Ids with another number of digits, unpacked.
    others: Vec<JobId>,
}

/// The number of an id, if it has that many digits.
fn number(id: &JobId, digits: usize) -> Option<u64> {
    let text = id.as_str().strip_prefix(PREFIX)?;
    if text.len() == digits { text.parse().ok() } else { None }
}

/// Packs a list of dependencies; the order of the ids is lost.
pub(super) fn pack(ids: &[JobId]) -> String {
    let digits = ids.first().map_or(0, |id| id.as_str().len().saturating_sub(PREFIX.len()));
    let mut numbers: Vec<u64> = ids.iter().filter_map(|id| number(id, digits)).collect();
    numbers.sort_unstable();
    numbers.dedup();
    let mut last = 0;
    let mut packed = Packed { digits, ..Packed::default() };
    for number in numbers {
        packed.differences.push(number - last);
        last = number;
    }
    packed.others = ids.iter().filter(|id| number(id, digits).is_none()).cloned().collect();
    URL_SAFE_NO_PAD.encode(postcard::to_stdvec(&packed).unwrap_or_default())
}

/// Reads a packed list.
///
/// # Errors
/// The text is damaged.
pub(super) fn unpack(text: &str) -> Result<Vec<JobId>, DependencyListError> {
    let bytes =
        URL_SAFE_NO_PAD.decode(text).map_err(|e| DependencyListError::Base64(e.to_string()))?;
    let packed: Packed =
        postcard::from_bytes(&bytes).map_err(|e| DependencyListError::Decode(e.to_string()))?;
    let digits = packed.digits;
    let mut number = 0u64;
    let mut ids = Vec::with_capacity(packed.differences.len());
    for difference in packed.differences {
        number = number.checked_add(difference).ok_or(DependencyListError::NumberOutOfRange)?;
        let id = format!("{PREFIX}{number:0digits$}");
        ids.push(JobId::parse(&id).ok_or(DependencyListError::NumberOutOfRange)?);
    }
    ids.extend(packed.others);
    Ok(ids)
}

#[cfg(test)]
mod tests;
