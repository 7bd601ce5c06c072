//! Sums of usage entries, as stored in records. All sums are integers, so that the order of addition does not
//! matter.

use crate::entry::{AttemptEnd, UsageEntry};
use oatloom_protocol::wire::ExitCause;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where and how attempts ended. An empty flavor or zone means that several were merged to save space.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageBucket {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// Name of the cause as in the protocol, or `unseen` if no end was reported.
    pub end: String,
}

/// Sums over attempts; times in milliseconds.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct UsageSums {
    pub attempts: u64,
    /// Time from assignment to end.
    pub held_ms: u64,
    pub ran_ms: u64,
    pub useful_ms: u64,
    pub repeated_ms: u64,
    pub lost_ms: u64,
    /// Upper bound on the unreported run time of attempts whose end was not observed.
    pub unseen_ms: u64,
    /// Run time times cores; `gpuMs` and `gbMs` likewise for GPUs and GB of memory.
    pub core_ms: u64,
    pub gpu_ms: u64,
    pub gb_ms: u64,
    pub cost_micros: u64,
}

impl UsageSums {
    pub fn add(&mut self, other: &UsageSums) {
        let pairs = [
            (&mut self.attempts, other.attempts),
            (&mut self.held_ms, other.held_ms),
            (&mut self.ran_ms, other.ran_ms),
            (&mut self.useful_ms, other.useful_ms),
            (&mut self.repeated_ms, other.repeated_ms),
            (&mut self.lost_ms, other.lost_ms),
            (&mut self.unseen_ms, other.unseen_ms),
            (&mut self.core_ms, other.core_ms),
            (&mut self.gpu_ms, other.gpu_ms),
            (&mut self.gb_ms, other.gb_ms),
            (&mut self.cost_micros, other.cost_micros),
        ];
        for (sum, addend) in pairs {
            *sum = sum.saturating_add(addend);
        }
    }

    /// Time between assignment and end without running: image fetches, gangs that gather, reports in transit.
    pub fn waited_ms(&self) -> u64 {
        self.held_ms.saturating_sub(self.ran_ms)
    }

    fn as_array(&self) -> [u64; 11] {
        [
            self.attempts,
            self.held_ms,
            self.ran_ms,
            self.useful_ms,
            self.repeated_ms,
            self.lost_ms,
            self.unseen_ms,
            self.core_ms,
            self.gpu_ms,
            self.gb_ms,
            self.cost_micros,
        ]
    }

    fn from_array(sums: [u64; 11]) -> Self {
        let [attempts, held_ms, ran_ms, useful_ms, repeated_ms, lost_ms, unseen_ms, ..] = sums;
        let [.., core_ms, gpu_ms, gb_ms, cost_micros] = sums;
        Self {
            attempts,
            held_ms,
            ran_ms,
            useful_ms,
            repeated_ms,
            lost_ms,
            unseen_ms,
            core_ms,
            gpu_ms,
            gb_ms,
            cost_micros,
        }
    }
}

impl From<&UsageEntry> for UsageSums {
    fn from(e: &UsageEntry) -> Self {
        let breakdown = e.run_time_breakdown();
        // Rounded once per attempt.
        let amount = |a: f64| (a.max(0.0) * e.ran_ms as f64).round() as u64;
        Self {
            attempts: 1,
            held_ms: e.held_ms.max(e.ran_ms),
            ran_ms: e.ran_ms,
            useful_ms: breakdown.useful_ms,
            repeated_ms: breakdown.repeated_ms,
            lost_ms: breakdown.lost_ms,
            unseen_ms: e.unseen_ms,
            core_ms: amount(e.cpus),
            gpu_ms: amount(e.gpus),
            gb_ms: amount(e.memory_gb),
            cost_micros: e.cost_micros(),
        }
    }
}

/// Name of an end, as in the protocol.
pub fn end_name(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Unreported => "unseen",
        AttemptEnd::Reported(ExitCause::Done) => "done",
        AttemptEnd::Reported(ExitCause::Stopped) => "halted",
        AttemptEnd::Reported(ExitCause::Peers) => "peers",
        AttemptEnd::Reported(ExitCause::Incomplete) => "incomplete",
        AttemptEnd::Reported(ExitCause::Error) => "error",
        AttemptEnd::Reported(ExitCause::NoRoom) => "no_room",
        AttemptEnd::Reported(ExitCause::Busy) => "busy",
        AttemptEnd::Reported(ExitCause::Unknown) => "no_such",
    }
}

/// A row as stored: flavor, zone, spot, end, sums.
type Row = (String, String, u8, String, [u64; 11]);

/// Sums of usage by bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Row>", into = "Vec<Row>")]
pub struct UsageByBucket {
    rows: BTreeMap<UsageBucket, UsageSums>,
}

impl From<Vec<Row>> for UsageByBucket {
    fn from(rows: Vec<Row>) -> Self {
        let mut usage = Self::default();
        for (flavor, zone, spot, end, sums) in rows {
            let bucket = UsageBucket { flavor, zone, spot: spot != 0, end };
            usage.add_to_bucket(bucket, &UsageSums::from_array(sums));
        }
        usage
    }
}

impl From<UsageByBucket> for Vec<Row> {
    fn from(usage: UsageByBucket) -> Self {
        let row = |(b, sums): (UsageBucket, UsageSums)| {
            (b.flavor, b.zone, u8::from(b.spot), b.end, sums.as_array())
        };
        usage.rows.into_iter().map(row).collect()
    }
}

impl UsageByBucket {
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    fn add_to_bucket(&mut self, bucket: UsageBucket, sums: &UsageSums) {
        self.rows.entry(bucket).or_default().add(sums);
    }

    pub fn add(&mut self, entry: &UsageEntry) {
        let bucket = UsageBucket {
            flavor: entry.flavor.clone(),
            zone: entry.zone.to_string(),
            spot: entry.spot,
            end: end_name(entry.end).to_owned(),
        };
        self.add_to_bucket(bucket, &UsageSums::from(entry));
    }

    pub fn merge(&mut self, other: &UsageByBucket) {
        for (bucket, sums) in &other.rows {
            self.add_to_bucket(bucket.clone(), sums);
        }
    }

    pub fn rows(&self) -> impl Iterator<Item = (&UsageBucket, &UsageSums)> {
        self.rows.iter()
    }

    /// Sums over all buckets.
    pub fn total(&self) -> UsageSums {
        let mut total = UsageSums::default();
        self.rows.values().for_each(|sums| total.add(sums));
        total
    }

    /// Merges rows until at most `max_rows` are left: first flavors and zones, then all other keys
    /// are dropped; the sums are kept.
    pub fn merge_rows(&mut self, max_rows: usize) {
        if self.rows.len() <= max_rows {
            return;
        }
        for (mut bucket, sums) in std::mem::take(&mut self.rows) {
            (bucket.flavor, bucket.zone) = (String::new(), String::new());
            self.add_to_bucket(bucket, &sums);
        }
        if self.rows.len() > max_rows {
            let sums = self.total();
            self.rows.clear();
            self.add_to_bucket(UsageBucket::default(), &sums);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::tests::entry;

    /// Sums do not depend on the order of addition, and survive a round trip and merged rows.
    #[test]
    fn sums_are_exact_in_any_order() {
        let mut entries = Vec::new();
        for n in 0..200u64 {
            let mut e = entry(
                if n % 3 == 0 {
                    AttemptEnd::Unreported
                } else {
                    AttemptEnd::Reported(ExitCause::Done)
                },
                n * 17,
            );
            e.flavor = format!("f{}", n % 7);
            e.cpus = 0.1 * n as f64;
            entries.push(e);
        }
        let mut forward = UsageByBucket::default();
        entries.iter().for_each(|e| forward.add(e));
        let mut parts = (UsageByBucket::default(), UsageByBucket::default());
        entries.iter().rev().take(90).for_each(|e| parts.0.add(e));
        entries.iter().take(110).for_each(|e| parts.1.add(e));
        parts.0.merge(&parts.1);
        assert_eq!(forward, parts.0);
        let text = serde_json::to_string(&forward).unwrap();
        let restored: UsageByBucket = serde_json::from_str(&text).unwrap();
        assert_eq!(restored, forward);
        for max_rows in [10, 3, 1] {
            let mut reduced = forward.clone();
            reduced.merge_rows(max_rows);
            assert!(reduced.len() <= max_rows);
            assert_eq!(reduced.total(), forward.total());
        }
        let total = forward.total();
        assert_eq!(total.ran_ms, total.useful_ms + total.repeated_ms + total.lost_ms);
        assert_eq!(total.attempts, 200);
    }
}
