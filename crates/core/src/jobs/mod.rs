//! The job table: accepted jobs, the state of each task, and which changes are durable.
//!
//! Keys: `live/{id}` holds the job description, `asg/{id}/{chunk}` the completed tasks and assignments
//! of [`TASKS_PER_CHUNK`] tasks, `over/{id}` the final record. `live/` and `over/` change in one
//! transaction, so a job is always under exactly one of them.

mod dependencies;
mod dependency_list;
mod fact_cache;
mod job;
mod packed;
mod record_limits;
mod records;
mod usage;
mod write_queue;

use dependencies::Dependencies;
pub use dependencies::Inherited;
pub use fact_cache::{JobFactCache, JobLifetime};
pub use job::*;
pub use record_limits::RecordLimits;
pub use records::*;
pub use usage::UsageAccounting;
use write_queue::WritePriority;
pub use write_queue::{PendingWrite, WriteItem};

use crate::constants::*;
use crate::write_backoff::{RejectionResponse, WriteBackoff};
use oatloom_policy::classes::{Classes, OnExhausted, RetryPolicy};
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{
    Change, Condition, Failure, JobSpec, JobStatus, JobView, Row, Shape, Txn,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Resources in use by a team, counted against its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamUsage {
    pub cpus: f64,
    pub gpus: f64,
}

/// All jobs that the leader manages.
#[derive(Debug, Default)]
pub struct JobTable {
    pub jobs: BTreeMap<JobId, Job>,
    pub usage: BTreeMap<String, TeamUsage>,
    /// Retry policy of each job class.
    pub classes: Arc<Classes>,
    /// Whether a class or a graph node may limit the number of failures.
    pub failures_limited: bool,
    /// Tasks that run graph nodes and whose completion became durable since this list was last taken.
    pub durable_node_tasks: Vec<(JobId, Vec<u32>)>,
    /// Usage accounting, if enabled.
    pub usage_accounting: Option<UsageAccounting>,
    /// Dependencies between the jobs.
    dependencies: Dependencies,
    /// Time of the last request for a transaction.
    now: Mono,
    /// Recently arrived jobs, oldest first.
    pub arrivals: VecDeque<(Mono, Arc<JobSpec>)>,
    /// Final records, which users wait for.
    end_queue: VecDeque<WriteItem>,
    /// Assignment records with new assignments, which workers wait for.
    assignment_queue: VecDeque<WriteItem>,
    /// Records that nobody waits for, each with its due time. The delay lets several changes of a key
    /// share a write, or the end of the job make the write unnecessary.
    deferred_queue: VecDeque<(Mono, WriteItem)>,
    /// Deferred records of jobs that run graph nodes, with a shorter delay.
    node_queue: VecDeque<(Mono, WriteItem)>,
    queued: BTreeMap<WriteItem, WritePriority>,
    /// Size limits and form of stored records.
    pub limits: RecordLimits,
    /// Items that the state service rejected on their own, or that do not fit into a value yet.
    backoff: WriteBackoff<WriteItem>,
    /// Whether the warning about a full assignment record was logged.
    full_record_logged: bool,
}

impl JobTable {
    /// Creates an empty job table. `graphs` says whether graph nodes may limit failures as well.
    pub fn new(
        classes: Arc<Classes>,
        usage_accounting: Option<UsageAccounting>,
        graphs: bool,
    ) -> Self {
        let limited = graphs || !classes.is_empty();
        Self { classes, failures_limited: limited, usage_accounting, ..Self::default() }
    }

    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Adds an accepted job whose live key has this revision; a job already in the table is left unchanged.
    pub fn insert(&mut self, record: LiveRecord, revision: Revision, now: Now) {
        let id = record.spec.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let age = Millis(now.wall_ms.saturating_sub(record.wall_ms));
        let submitted = Mono(now.mono.0.saturating_sub(age.0));
        log::info!(
            "job {id}: accepted, {:?} of {} tasks, class {}, team {}",
            record.spec.shape,
            record.spec.tasks,
            record.spec.class,
            record.spec.team
        );
        let mut job = Job::new(record.spec, submitted, revision);
        job.retry_policy = self.classes.policy_for(&job.spec.class);
        if let Some(part) = record.part {
            // A node's own retry limit never exceeds that of its class. An array of nodes continues with the other
            // nodes when one has failed.
            let node_retry_policy = part.max_retries.map(|node_max_retries| {
                let max_retries = job
                    .retry_policy
                    .map_or(node_max_retries, |class| class.max_retries.min(node_max_retries));
                let on_exhausted =
                    job.retry_policy.map_or(OnExhausted::FailJob, |a| a.on_exhausted);
                RetryPolicy { max_retries, on_exhausted }
            });
            job.retry_policy = node_retry_policy.or(job.retry_policy);
            if let Some(retry_policy) = job.retry_policy.as_mut().filter(|_| part.is_batch()) {
                retry_policy.on_exhausted = OnExhausted::FinishRest;
            }
            job.part = Some(part);
        }
        if job.spec.dependencies.is_empty() {
            self.arrivals.push_back((submitted, job.spec.clone()));
        }
        self.jobs.insert(id.clone(), job);
        self.dependency_opened(&id);
        self.await_dependencies(&id);
    }

    /// Loads an assignment record read from the state service and returns the assignments it holds. For a
    /// finished job, its tasks count as running until proven gone; then the record is deleted.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: ChunkRecord,
        revision: Revision,
        now: Mono,
    ) -> Vec<(u32, HostId, WorkerSession)> {
        let job =
            self.jobs.entry(id.clone()).or_insert_with(|| Job::without_description(id, &record));
        if job.state == JobState::Waiting {
            // Assignment records are written only after the release of a job.
            self.release(id, now, "released by an earlier leader");
        }
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let finished = job.state == JobState::Finished;
        let Some(chunk_state) = job.chunks.get_mut(chunk as usize) else {
            return Vec::new();
        };
        chunk_state.key_version = revision;
        job.charges.restore(record.charges);
        if !record.usage.is_empty() && self.usage_accounting.is_some() {
            job.usage.insert(chunk, record.usage);
        }
        let first_task = chunk * TASKS_PER_CHUNK;
        for (offset, done) in from_hex(&record.done).enumerate() {
            if done && let Some(task) = job.tasks.get_mut(first_task as usize + offset) {
                *task = TaskState::Done;
                job.done += 1;
            }
        }
        let mut assignments = Vec::new();
        for (index, attempt, host, session, zone) in record.assignments {
            let assignment = TaskAssignment {
                host: host.clone(),
                session,
                zone,
                attempt,
                chunk_version: 0,
                run_sent: RunSent::Inherited,
                phase: None,
                assigned_at: now,
                running_since: None,
                reported_run_ms: None,
                stop: None,
            };
            if self.add_assignment(id, index, assignment) {
                assignments.push((index, host, session));
            }
        }
        if finished {
            self.enqueue(WriteItem::Chunk(id.clone(), chunk), WritePriority::Deferred);
        }
        assignments
    }

    fn add_assignment(&mut self, id: &JobId, index: u32, assignment: TaskAssignment) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let Some(task) = job.tasks.get_mut(index as usize) else { return false };
        // Guards against a plan that places a task twice, which made it run on two machines at once.
        if *task != TaskState::Pending {
            log::error!("task {id}/{index}: not pending; ignoring the new assignment");
            return false;
        }
        if job.spec.shape == Shape::Gang {
            match job.gang {
                GangState::Idle => job.gang = GangState::Gathering(assignment.attempt),
                GangState::Gathering(attempt) if attempt == assignment.attempt => {}
                _ => job.gang = GangState::Clearing(assignment.attempt),
            }
        }
        job.assigned += 1;
        job.placed_at = Some(assignment.assigned_at);
        *job.zones.entry(assignment.zone.clone()).or_default() += 1;
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.cpus += job.spec.cpus;
        usage.gpus += job.spec.gpus;
        *task = TaskState::Assigned(Box::new(assignment));
        true
    }

    /// Assigns a task to a machine, if the assignment record has room; the assignment still has to become durable.
    pub fn assign(&mut self, id: &JobId, index: u32, mut assignment: TaskAssignment) -> bool {
        if !self.record_has_room(id, index, &assignment) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        assignment.chunk_version = job.chunks[(index / TASKS_PER_CHUNK) as usize].version + 1;
        let added = self.add_assignment(id, index, assignment);
        if added {
            self.mark_changed(id, index, WritePriority::Immediate);
        }
        added
    }

    /// Releases an assigned task that is proven gone from its machine: it is done, or becomes pending again.
    pub fn unassign(&mut self, id: &JobId, index: u32, done: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(index as usize) else {
            return;
        };
        match task {
            TaskState::Assigned(assignment) => {
                job.assigned -= 1;
                if let Some(count) = job.zones.get_mut(&assignment.zone) {
                    *count -= 1;
                    if *count == 0 {
                        job.zones.remove(&assignment.zone);
                    }
                }
                if let Some(usage) = self.usage.get_mut(&job.spec.team) {
                    usage.cpus -= job.spec.cpus;
                    usage.gpus -= job.spec.gpus;
                }
            }
            TaskState::Pending if done => {}
            _ => return,
        }
        *task = if done { TaskState::Done } else { TaskState::Pending };
        if done {
            job.done += 1;
        }
        if job.assigned == 0 && job.gang != GangState::Idle {
            job.set_gang_state(GangState::Idle, "all tasks are gone from their machines");
        }
        self.mark_changed(id, index, WritePriority::Deferred);
    }

    /// Decides the final status of a job that has none yet. The first decision stands. A failing job has
    /// none until its final record is being written, so its user may still cancel it.
    pub fn end(&mut self, id: &JobId, status: JobStatus, reason: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let open = match job.state {
            JobState::Open => status != JobStatus::Failed,
            JobState::Waiting => status == JobStatus::Cancelled,
            JobState::Failing(_) => matches!(status, JobStatus::Failed | JobStatus::Cancelled),
            JobState::Ending(_) | JobState::Finished => false,
        };
        if open {
            job.set_state(JobState::Ending(status), reason);
            self.stop_waiting(id);
            self.enqueue(WriteItem::FinalRecord(id.clone()), WritePriority::Immediate);
        }
    }

    /// Marks a job as failing because a task has used up its retries. The job starts no further work, or only the
    /// rest of its tasks, as `on_exhausted` says, and ends once none of its tasks is assigned.
    pub fn fail(&mut self, id: &JobId, on_exhausted: OnExhausted, failure: Failure) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Open
        {
            let reason = format!(
                "{} failed {} times, {} retries are allowed",
                failure.task, failure.failures, failure.repeats
            );
            job.failure = Some(Arc::new(failure));
            job.set_state(JobState::Failing(on_exhausted), &reason);
        }
    }

    /// Reopens a failing job whose failures turned out to be caused by a machine, unless its final record is
    /// already being written.
    pub fn reopen(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && matches!(job.state, JobState::Failing(_))
        {
            job.failure = None;
            job.set_state(JobState::Open, "its failures were caused by a machine");
        }
    }

    /// Schedules an immediate write after the failures charged to a task have changed.
    pub fn charges_changed(&mut self, id: &JobId, index: u32) {
        self.mark_changed(id, index, WritePriority::Immediate);
    }

    /// The assignment of a task, if it has one.
    pub fn assignment(&self, task: &TaskId) -> Option<&TaskAssignment> {
        self.jobs.get(&task.job)?.assignment(task.index)
    }

    /// The view of an unfinished job that may be reported to users. `None` if no status may be reported yet.
    pub fn view(&self, id: &JobId) -> Option<JobView> {
        let job = self.jobs.get(id)?;
        let known = job.state != JobState::Waiting || self.dependencies_known(job);
        if known { job.view() } else { None }
    }
}

#[cfg(test)]
pub mod tests;
