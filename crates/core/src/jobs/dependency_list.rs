//! The short form of a long list of dependencies, so that a job that needs hundreds of others fits one value of the state
//! service: the numbers of the ids in order, as differences, by `postcard` in base64.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use oatloom_protocol::ids::JobId;
use serde::{Deserialize, Serialize};

/// What every id begins with.
const PREFIX: &str = "req-";

/// Why a short form cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DependencyListError {
    /// The text is not base64.
    #[error("dependencies are not base64: {0}")]
    Text(String),
    /// The bytes are not a list of numbers and ids.
    #[error("dependencies are not a short form: {0}")]
    Form(String),
    /// The numbers add up to more than an id can hold.
    #[error("dependencies hold a number out of range")]
    Range,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Packed {
    /// Digits that the numbers are filled up to with zeros.
    digits: usize,
    /// Numbers in order, each as its difference to the one before.
    differences: Vec<u64>,
    /// Ids of another number of digits, as they are.
    others: Vec<JobId>,
}

/// The number of an id of that many digits.
fn number(id: &JobId, digits: usize) -> Option<u64> {
    let text = id.as_str().strip_prefix(PREFIX)?;
    if text.len() == digits { text.parse().ok() } else { None }
}

/// The short form of a list; the order of the ids is lost.
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

/// Reads the short form.
///
/// # Errors
/// The text is damaged.
pub(super) fn unpack(text: &str) -> Result<Vec<JobId>, DependencyListError> {
    let bytes =
        URL_SAFE_NO_PAD.decode(text).map_err(|e| DependencyListError::Text(e.to_string()))?;
    let packed: Packed =
        postcard::from_bytes(&bytes).map_err(|e| DependencyListError::Form(e.to_string()))?;
    let digits = packed.digits;
    let mut number = 0u64;
    let mut ids = Vec::with_capacity(packed.differences.len());
    for difference in packed.differences {
        number = number.checked_add(difference).ok_or(DependencyListError::Range)?;
        let id = format!("{PREFIX}{number:0digits$}");
        ids.push(JobId::parse(&id).ok_or(DependencyListError::Range)?);
    }
    ids.extend(packed.others);
    Ok(ids)
}

#[cfg(test)]
mod tests;
