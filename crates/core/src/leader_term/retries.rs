//! Retry limits: failures charged to tasks, faulty machines, and jobs that have used up their retries. The limits and the
//! attribution of failures are decided in `oatloom-policy`; this module applies them.

use super::*;
use oatloom_policy::backoff;
use oatloom_policy::charges::{RetryDecision, evidence_wait_over, fault_threshold};
use oatloom_policy::classes::{OnExhausted, RetryPolicy};
use oatloom_policy::constants::{
    CHARGE_RESET_RUN_MS, CONFINEMENT_TIMEOUT_MS, MACHINE_FAULTY_PROBABILITY,
};
use oatloom_protocol::wire::{Failure, FailureCause};

/// An attempt that ended with an error.
pub(super) struct FailedAttempt {
    pub attempt: Attempt,
    pub ran: Millis,
}

impl FailedAttempt {
    pub fn of(assignment: &TaskAssignment, now: Mono) -> Self {
        Self {
            attempt: assignment.attempt,
            ran: assignment.running_since.map_or(Millis(0), |since| now.since(since)),
        }
    }
}

impl LeaderTerm {
    /// Charges a failed attempt to its task, where retries are limited. The charge is written in the same record as the
    /// end of the assignment, so that either both are stored or neither.
    pub(super) fn charge_failure(
        &mut self,
        task: &TaskId,
        failed: &FailedAttempt,
        host: &HostId,
        now: Mono,
    ) {
        let (id, index) = (&task.job, task.index);
        let Some(job) = self.job_table.jobs.get_mut(id) else { return };
        // A stop sent to the task does not matter: a task ended by a stop reports that cause. If such failures were not
        // counted, a gang whose failing task is stopped because another task's end was reported first could fail without
        // limit.
        if job.state != JobState::Open {
            return;
        }
        let counted = match job.spec.shape {
            Shape::Gang => job.charges.add_gang(index, failed.attempt, host),
            shape => {
                if shape == Shape::Service && failed.ran >= CHARGE_RESET_RUN_MS {
                    job.charges.clear_task(index);
                }
                job.charges.add(index, host);
                true
            }
        };
        if !counted {
            return;
        }
        if self.faulty_machines.contains(host) {
            // The machine is already known to be faulty, so nothing would excuse this failure later.
            job.charges.excuse(host);
        }
        job.failed_host_count += usize::from(job.error_hosts.insert(host.clone()));
        let runs_well = |h: &TaskAssignment| {
            h.running_since.is_some_and(|at| now.since(at) >= MIN_SOUND_RUN_MS)
        };
        let sound = job.done > 0 || job.assignments().any(|(_, assignment)| runs_well(assignment));
        job.unproven = !sound;
        job.failed_at = now;
        let failures = job.charges.failure_count(job.charge_scope(index)).max(1);
        let retry_delay = backoff::delay(failures, failed.attempt);
        job.delayed_until.insert(index, now.plus(retry_delay));
        log::info!(
            "task {task}: failure number {failures} on {host}, not before {} ms",
            retry_delay.0
        );
        self.evidence.record_failure(id, index, host, now);
        if sound {
            self.evidence.mark_succeeded(id);
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            // A machine on which everything fails at once always has room and would attract all tasks.
            machine.paused_until = now.plus(retry_delay);
        }
        self.job_table.charges_changed(id, index);
        self.mark_faulty_machines(now);
        self.decide_retry(id, index, now);
    }

    /// Records a successful task as evidence in favour of its job and its machine.
    pub(super) fn task_succeeded(&mut self, id: &JobId, host: &HostId, now: Mono) {
        if let Some(job) = self.job_table.jobs.get_mut(id) {
            job.unproven = false;
        }
        if self.evidence.record_success(id, host, now) {
            self.mark_faulty_machines(now);
        }
    }

    /// Marks machines that the evidence now shows to be faulty.
    fn mark_faulty_machines(&mut self, now: Mono) {
        let newly_faulty =
            self.evidence.faulty_machines().filter(|host| !self.faulty_machines.contains(*host));
        for host in newly_faulty.cloned().collect::<Vec<_>>() {
            self.mark_faulty(&host, now);
        }
    }

    /// Marks a machine as faulty: it is drained and released, and the failures on it are excused.
    fn mark_faulty(&mut self, host: &HostId, now: Mono) {
        log::warn!(
            "machine {host}: found faulty, probability {:.2}",
            self.evidence.machine_fault_probability(host)
        );
        self.faulty_machines.insert(host.clone());
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.set_state(MachineState::Draining, "jobs of different kinds fail on it");
        }
        let mut excused_tasks = Vec::new();
        for (id, job) in &mut self.job_table.jobs {
            // This machine no longer counts as one on which the job failed.
            job.failed_host_count -=
                usize::from(job.error_hosts.remove(host)).min(job.failed_host_count);
            let tasks = job.charges.excuse(host);
            excused_tasks.extend(tasks.into_iter().map(|task| (id.clone(), task)));
        }
        for (id, index) in excused_tasks {
            log::info!("task {id}/{index}: its failures on {host} do not count");
            if let Some(job) = self.job_table.jobs.get_mut(&id) {
                job.delayed_until.remove(&index);
                let allowed = |a: RetryPolicy| {
                    job.charges
                        .tasks()
                        .all(|t| job.charges.failure_count(job.charge_scope(t)) <= a.max_retries)
                };
                if job.retry_policy.is_some_and(allowed) {
                    self.job_table.reopen(&id);
                }
            }
            self.job_table.charges_changed(&id, index);
            self.decide_retry(&id, index, now);
        }
        self.placement_needed = true;
    }

    /// Decides whether a task may be retried, has to wait for evidence, or has used up its retries.
    fn decide_retry(&mut self, id: &JobId, index: u32, now: Mono) {
        let Some(job) = self.job_table.jobs.get_mut(id) else { return };
        let Some(retry_policy) = job.retry_policy.filter(|_| job.state == JobState::Open) else {
            return;
        };
        let task = TaskId::new(id, index);
        let waited = self.awaiting_evidence.get(&task).map_or(Millis(0), |since| now.since(*since));
        let scope = job.charge_scope(index);
        match job.charges.retry_decision(id, scope, retry_policy, &self.evidence, waited) {
            RetryDecision::Allowed => {
                if self.awaiting_evidence.remove(&task).is_some() {
                    log::info!("task {task}: may be retried");
                    job.delayed_until.remove(&index);
                    self.placement_needed = true;
                }
            }
            RetryDecision::AwaitingEvidence if evidence_wait_over(waited) => {
                // No further evidence came, and the existing evidence points to the machines.
                let hosts: Vec<HostId> = job
                    .charges
                    .failures_by_host(scope)
                    .into_iter()
                    .filter_map(|(host, _)| host)
                    .collect();
                for host in hosts {
                    let is_suspect = self.evidence.machine_caused_probability(id, &host)
                        >= fault_threshold(waited);
                    if is_suspect && !self.faulty_machines.contains(&host) {
                        self.mark_faulty(&host, now);
                    }
                }
            }
            RetryDecision::AwaitingEvidence => {
                job.delayed_until.insert(index, Mono(u64::MAX));
                // A repeated check must not restart the wait.
                self.awaiting_evidence.entry(task.clone()).or_insert_with(|| {
                    log::info!("task {task}: waits for evidence on what caused its failures");
                    now
                });
            }
            RetryDecision::Exhausted => {
                self.awaiting_evidence.remove(&task);
                self.fail_exhausted(id, index, now);
            }
        }
    }

    /// Fails a job, one of whose tasks has used up its retries.
    fn fail_exhausted(&mut self, id: &JobId, index: u32, now: Mono) {
        let Some(job) = self.job_table.get(id) else { return };
        let Some(retry_policy) = job.retry_policy else { return };
        // A gang fails as a whole and replicas never end, so there are no other tasks to finish.
        let on_exhausted = match job.spec.shape {
            Shape::Array => retry_policy.on_exhausted,
            Shape::Gang | Shape::Service => OnExhausted::FailJob,
        };
        let scope = job.charge_scope(index);
        let cause = |(host, count)| FailureCause { host, cause: ExitCause::Error, count };
        let failure = Failure {
            class: job.spec.class.clone(),
            task: TaskId::new(id, index).to_string(),
            failures: job.charges.failure_count(scope),
            repeats: retry_policy.max_retries,
            causes: job
                .charges
                .failures_by_host(scope)
                .into_iter()
                .take(MAX_FAILURE_HOSTS)
                .map(cause)
                .collect(),
        };
        self.job_table.fail(id, on_exhausted, failure);
        self.awaiting_evidence.retain(|task, _| task.job != *id);
        match on_exhausted {
            OnExhausted::FailJob => self.stop_all(id, StopReason::JobFinished, 0.0, now),
            OnExhausted::FinishRest => {
                // Tasks that were never sent a start order are released at once.
                let unsent = |(index, assignment): (u32, &TaskAssignment)| {
                    (assignment.run_sent == RunSent::No).then_some(index)
                };
                let unsent: Vec<u32> = self
                    .job_table
                    .get(id)
                    .into_iter()
                    .flat_map(Job::assignments)
                    .filter_map(unsent)
                    .collect();
                for index in unsent {
                    self.stop(&TaskId::new(id, index), StopReason::JobFinished, 0.0, now);
                }
            }
        }
        self.end_if_failed(id);
    }

    /// Ends a failing job once none of its tasks can be on a machine.
    pub(super) fn end_if_failed(&mut self, id: &JobId) {
        let none_assigned =
            |job: &Job| matches!(job.state, JobState::Failing(_)) && job.assigned == 0;
        if self.job_table.get(id).is_some_and(none_assigned) {
            self.job_table.end(id, JobStatus::Failed, "none of its tasks is on a machine");
        }
    }

    /// Re-evaluates tasks that wait for evidence, and retries those whose backoff is over.
    pub(super) fn review_retries(&mut self, now: Mono) {
        if !self.job_table.failures_limited {
            return;
        }
        for task in self.awaiting_evidence.keys().cloned().collect::<Vec<_>>() {
            self.decide_retry(&task.job, task.index, now);
        }
        for job in self.job_table.jobs.values_mut().filter(|job| !job.charges.is_empty()) {
            let withheld_before = job.delayed_until.len();
            job.delayed_until.retain(|_, until| now < *until);
            self.placement_needed |= job.delayed_until.len() < withheld_before;
            // Otherwise a job could stay confined for ever to machines on which its gang, or its spread over zones,
            // cannot be placed.
            let unplaceable = job.unproven
                && job.assigned == 0
                && now.since(job.failed_at) >= CONFINEMENT_TIMEOUT_MS;
            if unplaceable && job.delayed_until.is_empty() {
                job.unproven = false;
                self.placement_needed = true;
            }
        }
        // Drains machines that an earlier leader found faulty, or that were silent when they were found so.
        for host in &self.faulty_machines {
            if let Some(machine) = self.fleet.machines.get_mut(host)
                && matches!(machine.state, MachineState::Live | MachineState::Closing)
            {
                machine.set_state(MachineState::Draining, "it was found faulty");
            }
        }
        let (fleet, evidence) = (&self.fleet, &self.evidence);
        self.faulty_machines.retain(|host| {
            fleet.machines.contains_key(host)
                || evidence.machine_fault_probability(host) >= MACHINE_FAULTY_PROBABILITY
        });
    }

    /// Applies the failures that earlier leaders stored for the tasks of all jobs.
    pub fn restore_charges(&mut self, now: Mono) {
        if !self.job_table.failures_limited {
            return;
        }
        let mut charged = Vec::new();
        for (id, job) in self.job_table.jobs.iter_mut().filter(|(_, job)| !job.charges.is_empty()) {
            for (task, host, excused) in job.charges.failure_hosts() {
                if excused {
                    self.faulty_machines.insert(host.clone());
                } else {
                    self.evidence.record_failure(id, task, host, now);
                    job.failed_host_count += usize::from(job.error_hosts.insert(host.clone()));
                }
            }
            job.unproven = job.done == 0;
            job.failed_at = now;
            if job.done > 0 {
                self.evidence.mark_succeeded(id);
            }
            charged.extend(job.charges.tasks().map(|task| (id.clone(), task)));
        }
        self.mark_faulty_machines(now);
        for (id, index) in charged {
            self.decide_retry(&id, index, now);
        }
    }
}
