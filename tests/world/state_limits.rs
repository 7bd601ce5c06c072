//! Limits of the stand-in for the state service: sizes of values and transactions, requests and changes per second.

use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::Mono;
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Change, Txn};
use oatloom_state::rate_limiter::RateLimiter as Rates;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of conditions of a transaction, as a multiple of its maximum number of changes (protocol).
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// Maximum size of a transaction (protocol).
const MAX_TXN_BYTES: usize = 64 * 1024;

/// The limits that the state service enforces.
#[derive(Clone, Debug)]
pub struct StateLimits {
    max_value_bytes: usize,
    max_changes: usize,
    rates: Rates,
}

/// Transactions refused for their size, and requests beyond the rates.
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Time and reason of each.
    pub too_large: Vec<(u64, String)>,
    pub throttled: u32,
}

impl StateLimits {
    /// The limits of some settings, at a time in milliseconds.
    pub fn new(facts: &StateFacts, now: u64) -> Self {
        Self {
            max_value_bytes: (facts.value_kb * 1024.0) as usize,
            max_changes: facts.txn_ops,
            rates: Rates::new(facts.rps, facts.write_rps, Mono(now)),
        }
    }

    /// The refusal of an operation that exceeds a limit.
    pub fn refuse(&mut self, now: u64, op: &StoreOp) -> Option<StoreReply> {
        let changes = if let StoreOp::Txn(txn) = op { txn.changes.len() } else { 0 };
        if !self.rates.try_acquire(changes, Mono(now)) {
            return Some(StoreReply::Throttled);
        }
        let StoreOp::Txn(txn) = op else { return None };
        self.too_large(txn).map(StoreReply::Malformed)
    }

    fn too_large(&self, txn: &Txn) -> Option<String> {
        let max_conditions = self.max_changes * MAX_CONDITIONS_PER_CHANGE;
        if txn.changes.len() > self.max_changes {
            return Some(format!(
                "{} changes, the limit is {}",
                txn.changes.len(),
                self.max_changes
            ));
        }
        if txn.conditions.len() > max_conditions {
            return Some(format!(
                "{} conditions, the limit is {max_conditions}",
                txn.conditions.len()
            ));
        }
        let mut total = 0;
        for change in &txn.changes {
            let Change::Put { key, value, .. } = change else { continue };
            let bytes = value.to_string().len();
            total += key.len() + bytes;
            if bytes > self.max_value_bytes {
                return Some(format!(
                    "{key} has {bytes} bytes, the limit is {}",
                    self.max_value_bytes
                ));
            }
        }
        (total > MAX_TXN_BYTES).then(|| format!("{total} bytes, the limit is {MAX_TXN_BYTES}"))
    }
}

/// Hash of a transaction's changes.
pub fn changes_digest(txn: &Txn) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{:?}", txn.changes).hash(&mut hasher);
    hasher.finish()
}
