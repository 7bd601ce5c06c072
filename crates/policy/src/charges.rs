//! Failures charged to the tasks of one job: how often each task failed, and on which machines. Stored in the
//! job's records, so that the next leader continues the counts.

use crate::classes::RetryPolicy;
use crate::constants::*;
use crate::fault_attribution::Evidence;
use oatloom_protocol::ids::{Attempt, HostId, JobId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Stored charges of a range of tasks. Empty fields are not written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// Machines, which `rows` and `excused` refer to by index.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostId>,
    /// Indexes of machines found faulty: failures on them do not count.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excused: Vec<u16>,
    /// Task, index of the machine (past the end of `hosts`: not recorded), number of failures.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<(u32, u16, u32)>,
    /// The last attempt of a gang whose failure was counted.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub last_gang_attempt: Option<Attempt>,
}

impl ChargeRecord {
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Merges the failures of each task over all machines. Excused failures are dropped, as they do not count.
    pub fn merge_hosts(&mut self) {
        let mut failures: BTreeMap<u32, u32> = BTreeMap::new();
        for (task, host_index, count) in &self.rows {
            if !self.excused.contains(host_index) {
                let sum = failures.entry(*task).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        self.rows = failures.into_iter().map(|(task, count)| (task, u16::MAX, count)).collect();
        self.hosts.clear();
        self.excused.clear();
    }
}

/// Whether a task may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    Allowed,
    /// The limit is exceeded, but machines may have caused some of the failures: the task waits for evidence.
    AwaitingEvidence,
    /// The task failed through its own fault more often than its class allows.
    Exhausted,
}

/// The fault probability of a machine below which a failure on it counts against the task, after the given wait.
pub fn fault_threshold(waited: Millis) -> f64 {
    let reached = MACHINE_FAULT_THRESHOLDS.iter().rev().find(|(wait, _)| waited >= *wait);
    reached.map_or(0.0, |(_, fault_threshold)| *fault_threshold)
}

/// Whether the task has waited for evidence as long as it may.
pub fn evidence_wait_over(waited: Millis) -> bool {
    MACHINE_FAULT_THRESHOLDS.last().is_some_and(|(wait, _)| waited >= *wait)
}

/// Failures charged to the tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct Charges {
    /// Failures by task and machine; `None` if the machine is no longer recorded.
    rows: BTreeMap<u32, BTreeMap<Option<HostId>, u32>>,
    excused: BTreeSet<HostId>,
    last_gang_attempt: Option<Attempt>,
}

impl Charges {
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Charges a failure on a machine to a task. Only for failures for which no other cause is known yet.
    pub fn add(&mut self, task: u32, host: &HostId) {
        *self.rows.entry(task).or_default().entry(Some(host.clone())).or_default() += 1;
    }

    /// The same for a gang: each attempt counts once, however many of its tasks fail and across leader changes.
    /// Attempts do not overlap: one starts only after all tasks of the previous one have ended. Returns whether
    /// the failure was counted.
    pub fn add_gang(&mut self, task: u32, attempt: Attempt, host: &HostId) -> bool {
        if self.last_gang_attempt.is_some_and(|last| attempt <= last) {
            return false;
        }
        self.last_gang_attempt = Some(attempt);
        self.add(task, host);
        true
    }

    /// Clears the failures of a replica that has run long enough.
    pub fn clear_task(&mut self, task: u32) {
        self.rows.remove(&task);
    }

    /// Excludes failures on a machine found faulty from the counts. Returns the affected tasks.
    pub fn excuse(&mut self, host: &HostId) -> Vec<u32> {
        let key = Some(host.clone());
        let affected: Vec<u32> = self
            .rows
            .iter()
            .filter(|(_, by_host)| by_host.contains_key(&key))
            .map(|(t, _)| *t)
            .collect();
        if affected.is_empty() || !self.excused.insert(host.clone()) {
            return Vec::new();
        }
        affected
    }

    /// Task, machine and whether the machine is excused, for each recorded place of failure.
    pub fn failure_hosts(&self) -> impl Iterator<Item = (u32, &HostId, bool)> {
        self.rows.iter().flat_map(|(task, by_host)| {
            by_host.keys().flatten().map(|host| (*task, host, self.excused.contains(host)))
        })
    }

    /// Failures of a task, or with `None` of the whole gang, by machine, without excused ones.
    fn counted_rows(&self, task: Option<u32>) -> impl Iterator<Item = (Option<&HostId>, u32)> {
        let range = task.map_or(0..=u32::MAX, |task| task..=task);
        let rows = self.rows.range(range).flat_map(|(_, by_host)| by_host.iter());
        rows.map(|(host, count)| (host.as_ref(), *count))
            .filter(|(host, _)| host.is_none_or(|host| !self.excused.contains(host)))
    }

    /// Number of failures of a task, or with `None` of the whole gang, without excused ones.
    pub fn failure_count(&self, task: Option<u32>) -> u32 {
        self.counted_rows(task).map(|(_, count)| count).fold(0, u32::saturating_add)
    }

    /// Tasks with failures.
    pub fn tasks(&self) -> impl Iterator<Item = u32> {
        self.rows.keys().copied()
    }

    /// Number of failures of a task, or with `None` of the whole gang, per machine, without excused ones.
    pub fn failures_by_host(&self, task: Option<u32>) -> Vec<(Option<HostId>, u32)> {
        let mut by_host: BTreeMap<Option<HostId>, u32> = BTreeMap::new();
        for (host, count) in self.counted_rows(task) {
            *by_host.entry(host.cloned()).or_default() += count;
        }
        by_host.into_iter().collect()
    }

    /// Whether a task, or with `None` the whole gang, may be retried, after it has waited that long for evidence.
    pub fn retry_decision(
        &self,
        job: &JobId,
        task: Option<u32>,
        policy: RetryPolicy,
        evidence: &Evidence,
        waited: Millis,
    ) -> RetryDecision {
        if self.failure_count(task) <= policy.max_retries {
            return RetryDecision::Allowed;
        }
        let fault_threshold = fault_threshold(waited);
        let is_own_fault = |host: Option<&HostId>| {
            host.is_none_or(|host| evidence.machine_caused_probability(job, host) < fault_threshold)
        };
        let own_failures = self.counted_rows(task).filter(|(host, _)| is_own_fault(*host));
        if own_failures.map(|(_, count)| count).fold(0, u32::saturating_add) > policy.max_retries {
            RetryDecision::Exhausted
        } else {
            RetryDecision::AwaitingEvidence
        }
    }

    /// The record to be stored for a range of tasks.
    pub fn to_record(&self, tasks: Range<u32>) -> ChargeRecord {
        let mut record =
            ChargeRecord { last_gang_attempt: self.last_gang_attempt, ..ChargeRecord::default() };
        let mut rows = self.rows.range(tasks).collect::<Vec<_>>();
        let total: usize = rows.iter().map(|(_, by_host)| by_host.len()).sum();
        // Failures whose machine does not fit into the record are still counted.
        let merged = total > MAX_CHARGE_ROWS;
        for (task, by_host) in rows.drain(..) {
            let mut unnamed = 0u32;
            for (host, count) in by_host {
                let excused = host.as_ref().is_some_and(|host| self.excused.contains(host));
                let host_index = host.as_ref().filter(|_| !merged).and_then(|host| {
                    let existing = record.hosts.iter().position(|h| h == host);
                    existing.or_else(|| {
                        (record.hosts.len() < MAX_CHARGE_HOSTS).then(|| {
                            record.hosts.push(host.clone());
                            record.hosts.len() - 1
                        })
                    })
                });
                match host_index {
                    Some(host_index) => {
                        let host_index = host_index as u16;
                        if excused && !record.excused.contains(&host_index) {
                            record.excused.push(host_index);
                        }
                        record.rows.push((*task, host_index, *count));
                    }
                    None if excused => {}
                    None => unnamed = unnamed.saturating_add(*count),
                }
            }
            if unnamed > 0 {
                record.rows.push((*task, u16::MAX, unnamed));
            }
        }
        record
    }

    /// Adds the stored charges of an earlier leader, for tasks with no charges yet in memory.
    pub fn restore(&mut self, record: ChargeRecord) {
        self.last_gang_attempt = self.last_gang_attempt.max(record.last_gang_attempt);
        let host = |host_index: u16| record.hosts.get(usize::from(host_index));
        self.excused
            .extend(record.excused.iter().filter_map(|host_index| host(*host_index)).cloned());
        for (task, host_index, count) in &record.rows {
            let count_of_task =
                self.rows.entry(*task).or_default().entry(host(*host_index).cloned()).or_default();
            *count_of_task = count_of_task.saturating_add(*count);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::classes::OnExhausted;
    use oatloom_protocol::ids::Mono;

    fn host(n: u32) -> HostId {
        HostId::new(&format!("i-{n:010}"))
    }

    fn retry_policy(max_retries: u32) -> RetryPolicy {
        RetryPolicy { max_retries, on_exhausted: OnExhausted::FailJob }
    }

    /// Failures on different machines exhaust the limit soon; a single one on a machine without other evidence
    /// counts only after a longer wait.
    #[test]
    fn retry_decision_depends_on_the_evidence() {
        let (job, mut charges, mut evidence) =
            (JobId::new("req-1"), Charges::default(), Evidence::default());
        let decision_of = |c: &Charges, e: &Evidence, max_retries, waited| {
            c.retry_decision(&job, Some(0), retry_policy(max_retries), e, waited)
        };
        let (without_wait, after_short_wait, after_full_wait) =
            (Millis(0), Millis(5_000), Millis(20_000));
        assert_eq!(decision_of(&charges, &evidence, 0, without_wait), RetryDecision::Allowed);
        charges.add(0, &host(1));
        evidence.record_failure(&job, 0, &host(1), Mono(1));
        assert_eq!(decision_of(&charges, &evidence, 1, without_wait), RetryDecision::Allowed);
        assert_eq!(
            decision_of(&charges, &evidence, 0, after_short_wait),
            RetryDecision::AwaitingEvidence
        );
        assert_eq!(decision_of(&charges, &evidence, 0, after_full_wait), RetryDecision::Exhausted);
        charges.add(0, &host(2));
        evidence.record_failure(&job, 0, &host(2), Mono(2));
        assert_eq!(
            decision_of(&charges, &evidence, 1, without_wait),
            RetryDecision::AwaitingEvidence
        );
        assert_eq!(decision_of(&charges, &evidence, 1, after_short_wait), RetryDecision::Exhausted);
        assert_eq!(charges.excuse(&host(1)), [0]);
        assert!(charges.excuse(&host(1)).is_empty(), "excused twice");
        assert_eq!(decision_of(&charges, &evidence, 1, after_full_wait), RetryDecision::Allowed);
        assert_eq!(charges.failures_by_host(Some(0)), [(Some(host(2)), 1)]);
    }

    /// A gang's attempt counts once, whichever of its tasks failed, also across a leader change.
    #[test]
    fn a_gang_attempt_counts_once() {
        let mut charges = Charges::default();
        assert!(charges.add_gang(3, Attempt(7), &host(1)));
        assert!(!charges.add_gang(5, Attempt(7), &host(2)));
        let mut restored = Charges::default();
        restored.restore(charges.to_record(0..96));
        assert!(!restored.add_gang(9, Attempt(7), &host(3)));
        assert!(restored.add_gang(9, Attempt(8), &host(3)));
        assert_eq!((charges.failure_count(None), restored.failure_count(None)), (1, 2));
    }

    /// Records survive a round trip, stay small and preserve the counts, however many tasks failed.
    #[test]
    fn records_round_trip_and_stay_small() {
        let mut charges = Charges::default();
        for task in 0..96 {
            for n in 0..3 {
                (0..=n).for_each(|_| charges.add(task, &host(n + task % 7)));
            }
        }
        charges.excuse(&host(2));
        for with_many_hosts in [false, true] {
            if with_many_hosts {
                (0..96).for_each(|task| (0..40).for_each(|n| charges.add(task, &host(100 + n))));
            }
            let record = charges.to_record(0..96);
            let text = serde_json::to_string(&record).unwrap();
            assert!(text.len() < 3_500, "{} bytes", text.len());
            let mut restored = Charges::default();
            restored.restore(serde_json::from_str(&text).unwrap());
            for task in 0..96 {
                assert_eq!(
                    restored.failure_count(Some(task)),
                    charges.failure_count(Some(task)),
                    "{task}"
                );
            }
        }
        assert!(charges.to_record(200..300).is_empty());
        charges.clear_task(1);
        assert_eq!(charges.failure_count(Some(1)), 0);
    }
}
