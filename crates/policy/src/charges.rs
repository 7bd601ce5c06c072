//! What stands against the tasks of one job: how often each failed, and where. Kept in the job's records, so that
//! a later leader counts on.

use crate::blame::Evidence;
use crate::classes::Allowance;
use crate::constants::*;
use oatloom_protocol::ids::{Attempt, HostId, JobId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// The charges of some tasks, as they are written. Empty where nothing failed, which writes nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeRecord {
    /// Machines that rows name by their place here.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostId>,
    /// Places of those that were found faulty: what failed on them does not count.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excused: Vec<u16>,
    /// Task, place of the machine (past the end: any), failures.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<(u32, u16, u32)>,
    /// The last attempt of a gang that was counted.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub counted: Option<Attempt>,
}

impl ChargeRecord {
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Joins the failures of each task whatever the machine. What was excused is left out, as it did not count.
    pub fn forget_hosts(&mut self) {
        let mut joined: BTreeMap<u32, u32> = BTreeMap::new();
        for (task, place, count) in &self.rows {
            if !self.excused.contains(place) {
                let sum = joined.entry(*task).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        self.rows = joined.into_iter().map(|(task, count)| (task, u16::MAX, count)).collect();
        self.hosts.clear();
        self.excused.clear();
    }
}

/// Whether a task may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Allowed,
    /// It may not fail again, and it is open whose fault its failures were: it waits for evidence.
    OnTrial,
    /// It failed more often than its class allows.
    Exhausted,
}

/// Below which belief in a machine's fault a failure on it counts after so long a wait.
pub fn certain_below(waited: Millis) -> f64 {
    let passed = CERTAIN.iter().rev().find(|(wait, _)| waited >= *wait);
    passed.map_or(0.0, |(_, below)| *below)
}

/// Whether no more evidence is waited for.
pub fn waited_enough(waited: Millis) -> bool {
    CERTAIN.last().is_some_and(|(wait, _)| waited >= *wait)
}

/// What stands against the tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct Charges {
    /// Failures by task and machine; no machine: one that is not told apart any more.
    rows: BTreeMap<u32, BTreeMap<Option<HostId>, u32>>,
    excused: BTreeSet<HostId>,
    counted: Option<Attempt>,
}

impl Charges {
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// A task failed on a machine by nobody else's doing that is known of yet.
    pub fn add(&mut self, task: u32, host: &HostId) {
        *self.rows.entry(task).or_default().entry(Some(host.clone())).or_default() += 1;
    }

    /// The same for a gang, whose attempt counts once, however many of its tasks failed and whoever led
    /// meanwhile. Attempts follow each other: the next begins when all of the last are gone. Returns whether it
    /// was counted.
    pub fn add_gang(&mut self, task: u32, attempt: Attempt, host: &HostId) -> bool {
        if self.counted.is_some_and(|last| attempt <= last) {
            return false;
        }
        self.counted = Some(attempt);
        self.add(task, host);
        true
    }

    /// A replica ran so long that what came before is no longer held against it.
    pub fn settle(&mut self, task: u32) {
        self.rows.remove(&task);
    }

    /// A machine was found faulty: what failed on it does not count. Returns the tasks concerned.
    pub fn excuse(&mut self, host: &HostId) -> Vec<u32> {
        let key = Some(host.clone());
        let concerned: Vec<u32> =
            self.rows.iter().filter(|(_, on)| on.contains_key(&key)).map(|(t, _)| *t).collect();
        if concerned.is_empty() || !self.excused.insert(host.clone()) {
            return Vec::new();
        }
        concerned
    }

    /// Machines that were found faulty, and others on which something failed.
    pub fn hosts(&self) -> impl Iterator<Item = (u32, &HostId, bool)> {
        self.rows.iter().flat_map(|(task, on)| {
            on.keys().flatten().map(|host| (*task, host, self.excused.contains(host)))
        })
    }

    /// Whose rows are looked at: a gang's as a whole, else those of the task.
    fn counted_rows(&self, task: Option<u32>) -> impl Iterator<Item = (Option<&HostId>, u32)> {
        let range = task.map_or(0..=u32::MAX, |task| task..=task);
        let rows = self.rows.range(range).flat_map(|(_, on)| on.iter());
        rows.map(|(host, count)| (host.as_ref(), *count))
            .filter(|(host, _)| host.is_none_or(|host| !self.excused.contains(host)))
    }

    /// How often a task, or with `None` the whole gang, has failed, excused failures left out.
    pub fn failures(&self, task: Option<u32>) -> u32 {
        self.counted_rows(task).map(|(_, count)| count).fold(0, u32::saturating_add)
    }

    /// Tasks against which something stands.
    pub fn tasks(&self) -> impl Iterator<Item = u32> {
        self.rows.keys().copied()
    }

    /// Where a task, or with `None` the whole gang, has failed and how often, excused failures left out.
    pub fn causes(&self, task: Option<u32>) -> Vec<(Option<HostId>, u32)> {
        let mut by_host: BTreeMap<Option<HostId>, u32> = BTreeMap::new();
        for (host, count) in self.counted_rows(task) {
            *by_host.entry(host.cloned()).or_default() += count;
        }
        by_host.into_iter().collect()
    }

    /// Where a task, or with `None` the whole gang, stands, after so long a wait for evidence.
    pub fn standing(
        &self,
        job: &JobId,
        task: Option<u32>,
        allowance: Allowance,
        evidence: &Evidence,
        waited: Millis,
    ) -> Standing {
        if self.failures(task) <= allowance.repeats {
            return Standing::Allowed;
        }
        let below = certain_below(waited);
        let own = |host: Option<&HostId>| {
            host.is_none_or(|host| evidence.machines_fault(job, host) < below)
        };
        let certain = self.counted_rows(task).filter(|(host, _)| own(*host));
        if certain.map(|(_, count)| count).fold(0, u32::saturating_add) > allowance.repeats {
            Standing::Exhausted
        } else {
            Standing::OnTrial
        }
    }

    /// What is to be written of the tasks in a range.
    pub fn record(&self, tasks: Range<u32>) -> ChargeRecord {
        let mut record = ChargeRecord { counted: self.counted, ..ChargeRecord::default() };
        let mut rows = self.rows.range(tasks).collect::<Vec<_>>();
        let total: usize = rows.iter().map(|(_, on)| on.len()).sum();
        // What is too much to name is still counted.
        let joined = total > ROWS_MOST;
        for (task, on) in rows.drain(..) {
            let mut unnamed = 0u32;
            for (host, count) in on {
                let excused = host.as_ref().is_some_and(|host| self.excused.contains(host));
                let place = host.as_ref().filter(|_| !joined).and_then(|host| {
                    let known = record.hosts.iter().position(|h| h == host);
                    known.or_else(|| {
                        (record.hosts.len() < HOSTS_MOST).then(|| {
                            record.hosts.push(host.clone());
                            record.hosts.len() - 1
                        })
                    })
                });
                match place {
                    Some(place) => {
                        let place = place as u16;
                        if excused && !record.excused.contains(&place) {
                            record.excused.push(place);
                        }
                        record.rows.push((*task, place, *count));
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

    /// Takes up what an earlier leader wrote of tasks that this one has nothing against yet.
    pub fn load(&mut self, record: ChargeRecord) {
        self.counted = self.counted.max(record.counted);
        let host = |place: u16| record.hosts.get(usize::from(place));
        self.excused.extend(record.excused.iter().filter_map(|place| host(*place)).cloned());
        for (task, place, count) in &record.rows {
            let of = self.rows.entry(*task).or_default().entry(host(*place).cloned()).or_default();
            *of = of.saturating_add(*count);
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

    fn allow(repeats: u32) -> Allowance {
        Allowance { repeats, on_exhausted: OnExhausted::FailJob }
    }

    /// Failures on unlike machines exhaust soon; one on a machine of which nothing is known waits longer for
    /// evidence, and then counts.
    #[test]
    fn standing_follows_the_evidence() {
        let (job, mut charges, mut seen) =
            (JobId::new("req-1"), Charges::default(), Evidence::default());
        let stands = |c: &Charges, e: &Evidence, repeats, waited| {
            c.standing(&job, Some(0), allow(repeats), e, waited)
        };
        let (at_once, soon, late) = (Millis(0), Millis(5_000), Millis(20_000));
        assert_eq!(stands(&charges, &seen, 0, at_once), Standing::Allowed);
        charges.add(0, &host(1));
        seen.failed(&job, 0, &host(1), Mono(1));
        assert_eq!(stands(&charges, &seen, 1, at_once), Standing::Allowed);
        assert_eq!(stands(&charges, &seen, 0, soon), Standing::OnTrial);
        assert_eq!(stands(&charges, &seen, 0, late), Standing::Exhausted);
        charges.add(0, &host(2));
        seen.failed(&job, 0, &host(2), Mono(2));
        assert_eq!(stands(&charges, &seen, 1, at_once), Standing::OnTrial);
        assert_eq!(stands(&charges, &seen, 1, soon), Standing::Exhausted);
        assert_eq!(charges.excuse(&host(1)), [0]);
        assert!(charges.excuse(&host(1)).is_empty(), "once");
        assert_eq!(stands(&charges, &seen, 1, late), Standing::Allowed);
        assert_eq!(charges.causes(Some(0)), [(Some(host(2)), 1)]);
    }

    /// A gang's attempt counts once, whichever of its tasks failed, and whoever led in between.
    #[test]
    fn a_gangs_attempt_counts_once() {
        let mut charges = Charges::default();
        assert!(charges.add_gang(3, Attempt(7), &host(1)));
        assert!(!charges.add_gang(5, Attempt(7), &host(2)));
        let mut later = Charges::default();
        later.load(charges.record(0..96));
        assert!(!later.add_gang(9, Attempt(7), &host(3)));
        assert!(later.add_gang(9, Attempt(8), &host(3)));
        assert_eq!((charges.failures(None), later.failures(None)), (1, 2));
    }

    /// What is written comes back, is small, and never loses a count, however much failed.
    #[test]
    fn records_come_back_and_stay_small() {
        let mut charges = Charges::default();
        for task in 0..96 {
            for n in 0..3 {
                (0..=n).for_each(|_| charges.add(task, &host(n + task % 7)));
            }
        }
        charges.excuse(&host(2));
        for many in [false, true] {
            if many {
                (0..96).for_each(|task| (0..40).for_each(|n| charges.add(task, &host(100 + n))));
            }
            let record = charges.record(0..96);
            let text = serde_json::to_string(&record).unwrap();
            assert!(text.len() < 3_500, "{} bytes", text.len());
            let mut back = Charges::default();
            back.load(serde_json::from_str(&text).unwrap());
            for task in 0..96 {
                assert_eq!(back.failures(Some(task)), charges.failures(Some(task)), "{task}");
            }
        }
        assert!(charges.record(200..300).is_empty());
        charges.settle(1);
        assert_eq!(charges.failures(Some(1)), 0);
    }
}
