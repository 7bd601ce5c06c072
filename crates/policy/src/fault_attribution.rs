//! Fault attribution: infers from failures and successes whether machines or jobs are faulty.
//!
//! A faulty machine fails every task; a job submitted with a mistake fails on every machine, and so may one task
//! of a job whose other tasks succeed; all others fail at random now and then. Each machine, and each job (or
//! each task, once a task of its job has succeeded), is either healthy or faulty, and each failed pair of them
//! is evidence that one or both are faulty. A few rounds of belief propagation combine the pairs: the message
//! from a job to a machine is based on what the *other* machines say about the job, and vice versa.

use crate::constants::*;
use oatloom_protocol::ids::{HostId, JobId, Mono};
use std::collections::{BTreeMap, BTreeSet};

/// Failures of one job on one machine.
#[derive(Clone, Debug, Default)]
struct Pair {
    /// Tasks that failed, at most [`MAX_TASKS_PER_PAIR`] of them.
    tasks: BTreeSet<u32>,
    last_failure: Mono,
    /// A task succeeded on the machine afterwards, so the machine was healthy.
    machine_cleared: bool,
}

/// Recent failures and successes, and the fault probabilities inferred from them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    pairs: BTreeMap<(JobId, HostId), Pair>,
    jobs_by_host: BTreeMap<HostId, BTreeSet<JobId>>,
    /// Jobs among those in `pairs` with a task that has succeeded.
    succeeded_jobs: BTreeSet<JobId>,
    /// Machines on which a task succeeded after a failure.
    cleared_machines: BTreeSet<HostId>,
    machine_faults: BTreeMap<HostId, f64>,
    job_faults: BTreeMap<JobId, f64>,
}

fn logit(p: f64) -> f64 {
    (p / (1.0 - p)).ln()
}

fn sigmoid(logit: f64) -> f64 {
    1.0 / (1.0 + (-logit).exp())
}

/// Log-likelihood ratio by which a failure indicates that one side is faulty, if the other side is faulty with
/// probability `other`: a faulty side always fails; otherwise the other side or chance caused the failure.
fn log_likelihood_ratio(other: f64) -> f64 {
    -(other + (1.0 - other) * RANDOM_FAILURE_RATE).ln()
}

/// A job as a whole, or one of its tasks.
type Workload<'a> = (&'a JobId, Option<u32>);

/// Prior log-odds that a workload is faulty.
fn workload_prior((_, task): &Workload) -> f64 {
    logit(if task.is_some() { PRIOR_TASK_FAULT } else { PRIOR_JOB_FAULT })
}

impl Evidence {
    /// Records that a task failed on a machine.
    pub fn record_failure(&mut self, job: &JobId, task: u32, host: &HostId, now: Mono) {
        let pair = self.pairs.entry((job.clone(), host.clone())).or_default();
        if pair.machine_cleared {
            // The machine was healthy at that time, so only failures from now on are evidence.
            *pair = Pair::default();
        }
        if pair.tasks.len() < MAX_TASKS_PER_PAIR {
            pair.tasks.insert(task);
        }
        pair.last_failure = now;
        self.jobs_by_host.entry(host.clone()).or_default().insert(job.clone());
        self.evict(now);
        self.update_beliefs();
    }

    /// Records that a task succeeded on a machine. Returns whether this changed the evidence.
    pub fn record_success(&mut self, job: &JobId, host: &HostId, now: Mono) -> bool {
        let failed_jobs = self.jobs_by_host.get(host);
        let first_pair = self.pairs.range((job.clone(), HostId::new(""))..).next();
        let job_has_failed = first_pair.is_some_and(|((first, _), _)| first == job);
        if failed_jobs.is_none() && !job_has_failed {
            return false;
        }
        let mut changed = job_has_failed && self.succeeded_jobs.insert(job.clone());
        if failed_jobs.is_some() {
            self.cleared_machines.insert(host.clone());
        }
        for failed_job in self.jobs_by_host.get(host).cloned().unwrap_or_default() {
            if let Some(pair) = self.pairs.get_mut(&(failed_job, host.clone())) {
                changed |= !std::mem::replace(&mut pair.machine_cleared, true);
            }
        }
        if changed {
            self.evict(now);
            self.update_beliefs();
        }
        changed
    }

    /// Restores from stored records that tasks of the job succeeded under an earlier leader.
    pub fn mark_succeeded(&mut self, job: &JobId) {
        self.succeeded_jobs.insert(job.clone());
        self.update_beliefs();
    }

    /// Probability that a machine is faulty, judged by failures since the last success there.
    pub fn machine_fault_probability(&self, host: &HostId) -> f64 {
        self.machine_faults.get(host).copied().unwrap_or(0.0)
    }

    /// Probability that a job was submitted with a mistake.
    pub fn job_fault_probability(&self, job: &JobId) -> f64 {
        match self.succeeded_jobs.contains(job) {
            true => 0.0,
            false => self.job_faults.get(job).copied().unwrap_or(PRIOR_JOB_FAULT),
        }
    }

    /// Whether a task of the job is known to have succeeded. Only jobs with failures are tracked.
    pub fn job_has_succeeded(&self, job: &JobId) -> bool {
        self.succeeded_jobs.contains(job)
    }

    /// Probability that the machine caused the failures of the job on it.
    pub fn machine_caused_probability(&self, job: &JobId, host: &HostId) -> f64 {
        match self.pairs.get(&(job.clone(), host.clone())) {
            Some(pair) if !pair.machine_cleared => self.machine_fault_probability(host),
            _ => 0.0,
        }
    }

    /// Machines whose fault probability reaches [`MACHINE_FAULTY_PROBABILITY`].
    pub fn faulty_machines(&self) -> impl Iterator<Item = &HostId> {
        self.machine_faults
            .iter()
            .filter(|(_, p)| **p >= MACHINE_FAULTY_PROBABILITY)
            .map(|(host, _)| host)
    }

    /// Number of pairs of job and machine kept as evidence.
    pub fn len(&self) -> usize {
        self.pairs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Drops expired pairs, and the oldest one if there are too many.
    fn evict(&mut self, now: Mono) {
        let mut dropped: Vec<(JobId, HostId)> = Vec::new();
        let expired = |p: &Pair| now.since(p.last_failure) > EVIDENCE_TTL_MS;
        dropped.extend(self.pairs.iter().filter(|(_, p)| expired(p)).map(|(key, _)| key.clone()));
        if self.pairs.len() - dropped.len() > MAX_EVIDENCE_PAIRS {
            let oldest =
                self.pairs.iter().min_by_key(|(_, p)| p.last_failure).map(|(key, _)| key.clone());
            dropped.extend(oldest);
        }
        for key in dropped {
            self.pairs.remove(&key);
            let (job, host) = key;
            if let Some(jobs) = self.jobs_by_host.get_mut(&host) {
                jobs.remove(&job);
                if jobs.is_empty() {
                    self.jobs_by_host.remove(&host);
                    self.cleared_machines.remove(&host);
                }
            }
            if !self.pairs.keys().any(|(other, _)| *other == job) {
                self.succeeded_jobs.remove(&job);
            }
        }
    }

    /// Prior log-odds that a machine is faulty.
    fn machine_prior(&self, host: &HostId) -> f64 {
        logit(if self.cleared_machines.contains(host) {
            PRIOR_CLEARED_MACHINE_FAULT
        } else {
            PRIOR_MACHINE_FAULT
        })
    }

    /// Recomputes all fault probabilities by belief propagation.
    fn update_beliefs(&mut self) {
        // Edges of the factor graph: from a job as a whole, or from each failed task if its job has succeeded.
        let mut edges: Vec<(Workload, &HostId)> = Vec::new();
        let mut cleared_workloads: Vec<Workload> = Vec::new();
        for ((job, host), pair) in &self.pairs {
            let tasks: Vec<Option<u32>> = match self.succeeded_jobs.contains(job) {
                true => pair.tasks.iter().copied().map(Some).collect(),
                false => vec![None],
            };
            for workload in tasks.into_iter().map(|task| (job, task)) {
                match pair.machine_cleared {
                    false => edges.push((workload, host)),
                    true => cleared_workloads.push(workload),
                }
            }
        }
        let mut to_machine = vec![log_likelihood_ratio(PRIOR_JOB_FAULT); edges.len()];
        let mut to_workload = vec![log_likelihood_ratio(PRIOR_MACHINE_FAULT); edges.len()];
        let (mut machines, mut workloads) = (BTreeMap::new(), BTreeMap::new());
        for _ in 0..PROPAGATION_ROUNDS {
            (machines, workloads) = (BTreeMap::new(), BTreeMap::new());
            for (index, (workload, host)) in edges.iter().enumerate() {
                *machines.entry(*host).or_insert_with(|| self.machine_prior(host)) +=
                    to_machine[index];
                *workloads.entry(*workload).or_insert(workload_prior(workload)) +=
                    to_workload[index];
            }
            // On a healthy machine, only the workload or chance can have caused the failure.
            for workload in &cleared_workloads {
                *workloads.entry(*workload).or_insert(workload_prior(workload)) +=
                    log_likelihood_ratio(0.0);
            }
            // A message to one side leaves out what that side contributed.
            for (index, (workload, host)) in edges.iter().enumerate() {
                let workload_fault = sigmoid(workloads[workload] - to_workload[index]);
                let machine_fault = sigmoid(machines[host] - to_machine[index]);
                to_machine[index] = log_likelihood_ratio(workload_fault);
                to_workload[index] = log_likelihood_ratio(machine_fault);
            }
        }
        let probability = |(host, logit): (&HostId, f64)| (host.clone(), sigmoid(logit));
        let machines = machines.into_iter().map(probability).collect();
        let whole_jobs = workloads.into_iter().filter(|((_, task), _)| task.is_none());
        let jobs = whole_jobs.map(|((job, _), logit)| (job.clone(), sigmoid(logit))).collect();
        (self.machine_faults, self.job_faults) = (machines, jobs);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(n: u32) -> JobId {
        JobId::new(&format!("req-{n}"))
    }

    fn host(n: u32) -> HostId {
        HostId::new(&format!("i-{n:06}"))
    }

    fn evidence_after(failures: &[(u32, u32, u32)]) -> Evidence {
        let mut evidence = Evidence::default();
        for (index, (j, task, h)) in failures.iter().enumerate() {
            evidence.record_failure(&job(*j), *task, &host(*h), Mono(index as u64));
        }
        evidence
    }

    #[test]
    fn different_jobs_implicate_a_machine_and_different_machines_a_job() {
        let single_failure = evidence_after(&[(1, 0, 1)]);
        assert!(
            single_failure.machine_fault_probability(&host(1)) < 0.5
                && single_failure.job_fault_probability(&job(1)) < 0.5
        );
        let faulty_machine = evidence_after(&[(1, 0, 1), (2, 0, 1), (3, 0, 1)]);
        assert!(
            faulty_machine.machine_fault_probability(&host(1)) > MACHINE_FAULTY_PROBABILITY,
            "{faulty_machine:?}"
        );
        assert!(
            (1..4).all(|j| faulty_machine.job_fault_probability(&job(j)) < 0.05),
            "{faulty_machine:?}"
        );
        assert_eq!(faulty_machine.faulty_machines().count(), 1);
        let faulty_job = evidence_after(&[(1, 0, 1), (1, 0, 2), (1, 0, 3)]);
        assert!(
            faulty_job.job_fault_probability(&job(1)) > MACHINE_FAULTY_PROBABILITY,
            "{faulty_job:?}"
        );
        assert!(
            (1..4).all(|h| faulty_job.machine_fault_probability(&host(h)) < 0.1),
            "{faulty_job:?}"
        );
    }

    /// A hundred failed tasks of one job on one machine count as one observation.
    #[test]
    fn many_tasks_of_one_job_implicate_a_machine_no_more_than_one() {
        let failures: Vec<_> = (0..100).map(|t| (1, t, 1)).collect();
        assert!(evidence_after(&failures).machine_fault_probability(&host(1)) < 0.5);
        // Once the job has succeeded elsewhere, each task counts on its own.
        let mut evidence = evidence_after(&failures[..3]);
        assert!(evidence.record_success(&job(1), &host(2), Mono(9)));
        assert!(
            evidence.machine_fault_probability(&host(1)) > MACHINE_FAULTY_PROBABILITY,
            "{evidence:?}"
        );
    }

    /// One task that fails on every machine, in an array whose other tasks succeed, makes no machine suspect.
    #[test]
    fn a_task_that_fails_everywhere_is_distinguished_from_its_job() {
        let mut evidence = evidence_after(&[(1, 7, 1), (1, 7, 2)]);
        assert!(evidence.record_success(&job(1), &host(3), Mono(9)));
        assert!((1..3).all(|h| evidence.machine_fault_probability(&host(h)) < 0.1), "{evidence:?}");
    }

    /// A success on a machine invalidates earlier failures there as evidence, but not later ones.
    #[test]
    fn a_success_clears_a_machine_of_earlier_failures() {
        let mut evidence = evidence_after(&[(1, 0, 1), (2, 0, 1), (3, 0, 1)]);
        assert!(evidence.record_success(&job(9), &host(1), Mono(9)));
        assert!(!evidence.record_success(&job(9), &host(1), Mono(10)), "no new evidence");
        assert_eq!(evidence.machine_fault_probability(&host(1)), 0.0);
        assert_eq!(evidence.machine_caused_probability(&job(1), &host(1)), 0.0);
        for j in 4..7 {
            evidence.record_failure(&job(j), 0, &host(1), Mono(20));
        }
        assert!(evidence.machine_fault_probability(&host(1)) > MACHINE_FAULTY_PROBABILITY);
        assert_eq!(
            evidence.machine_caused_probability(&job(1), &host(1)),
            0.0,
            "the machine was healthy then"
        );
    }

    /// A faulty job does not make a healthy machine suspect, nor a faulty machine the healthy jobs that fail on it.
    #[test]
    fn a_faulty_job_and_a_faulty_machine_are_distinguished() {
        // Job 1 fails on every machine; machine 4 fails jobs 1, 2, 3 and 5.
        let evidence =
            evidence_after(&[(1, 0, 1), (1, 0, 2), (1, 0, 4), (2, 0, 4), (3, 0, 4), (5, 0, 4)]);
        assert!(
            evidence.machine_fault_probability(&host(4)) > MACHINE_FAULTY_PROBABILITY,
            "{evidence:?}"
        );
        assert!(
            evidence.job_fault_probability(&job(1)) > 0.5
                && evidence.machine_fault_probability(&host(1)) < 0.1,
            "{evidence:?}"
        );
        assert!(
            [2, 3, 5].iter().all(|j| evidence.job_fault_probability(&job(*j)) < 0.1),
            "{evidence:?}"
        );
    }

    #[test]
    fn evidence_is_bounded_and_expires() {
        let mut evidence = Evidence::default();
        for n in 0..2 * MAX_EVIDENCE_PAIRS as u32 {
            evidence.record_failure(&job(n % 40), n, &host(n), Mono(u64::from(n)));
            assert!(evidence.len() <= MAX_EVIDENCE_PAIRS + 1);
        }
        evidence.record_failure(&job(1), 0, &host(0), Mono(10_000).plus(EVIDENCE_TTL_MS));
        assert_eq!(evidence.len(), 1);
        assert_eq!(evidence.jobs_by_host.len(), 1);
    }
}
