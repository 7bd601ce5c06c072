//! The job table: accepted jobs, the state of each task, and which changes are durable.
//!
//! Keys: `live/{id}` holds the job description, `asg/{id}/{chunk}` the completed tasks and assignments
//! of [`CHUNK_TASKS`] tasks, `over/{id}` the final record. `live/` and `over/` change in one
//! transaction, so a job is always under exactly one of them.

mod dependencies;
mod dependency_list;
mod fitting;
mod job;
mod memory;
mod packed;
mod records;
mod usage;
mod writing;

use dependencies::Dependencies;
pub use dependencies::Inherited;
pub use fitting::RecordLimits;
pub use job::*;
pub use memory::{AcceptedKind, JobMemory};
pub use records::*;
pub use usage::Account;
use writing::WritePriority;
pub use writing::{Item, Written};

use crate::constants::*;
use crate::refusals::{Refusal, Refusals};
use oatloom_policy::classes::{Allowance, Classes, OnExhausted};
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{
    Change, Condition, Failure, JobSpec, JobStatus, JobView, Row, Shape, Txn,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Resources in use by a team, counted against its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

/// All jobs that the leader manages.
#[derive(Debug, Default)]
pub struct Book {
    pub jobs: BTreeMap<JobId, Job>,
    pub usage: BTreeMap<String, Usage>,
    /// Retry allowance of each job class.
    pub classes: Arc<Classes>,
    /// Whether a class or a graph node may limit the number of failures.
    pub limited: bool,
    /// Tasks that run graph nodes and whose completion became durable since this list was last taken.
    pub progress: Vec<(JobId, Vec<u32>)>,
    /// Usage accounting, if enabled.
    pub account: Option<Account>,
    /// Dependencies between the jobs.
    dependencies: Dependencies,
    /// Time of the last request for a transaction.
    now: Mono,
    /// Recently arrived jobs, oldest first.
    pub arrivals: VecDeque<(Mono, Arc<JobSpec>)>,
    /// Final records, which users wait for.
    end_queue: VecDeque<Item>,
    /// Assignment records with new assignments, which workers wait for.
    assignment_queue: VecDeque<Item>,
    /// Records that nobody waits for, each with its due time. The delay lets several changes of a key
    /// share a write, or the end of the job make the write unnecessary.
    deferred_queue: VecDeque<(Mono, Item)>,
    /// Deferred records of jobs that run graph nodes, with a shorter delay.
    node_queue: VecDeque<(Mono, Item)>,
    queued: BTreeMap<Item, WritePriority>,
    /// Size limits and form of stored records.
    pub limits: RecordLimits,
    /// Items that the state service rejected on their own, or that do not fit into a value yet.
    backoff: Refusals<Item>,
    /// Whether the warning about a full assignment record was logged.
    full_record_logged: bool,
}

impl Book {
    /// Creates an empty job table. `graphs` says whether graph nodes may limit failures as well.
    pub fn new(classes: Arc<Classes>, account: Option<Account>, graphs: bool) -> Self {
        let limited = graphs || !classes.is_empty();
        Self { classes, limited, account, ..Self::default() }
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
        job.allowance = self.classes.of(&job.spec.class);
        if let Some(part) = record.part {
            // A node's own retry limit never exceeds that of its class. An array of nodes continues with the other
            // nodes when one has failed.
            let node_allowance = part.repeats.map(|repeats| {
                let max_retries = job.allowance.map_or(repeats, |class| class.repeats.min(repeats));
                let on_exhausted = job.allowance.map_or(OnExhausted::FailJob, |a| a.on_exhausted);
                Allowance { repeats: max_retries, on_exhausted }
            });
            job.allowance = node_allowance.or(job.allowance);
            if let Some(allowance) = job.allowance.as_mut().filter(|_| part.batch()) {
                allowance.on_exhausted = OnExhausted::FinishRest;
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
    ) -> Vec<(u32, HostId, Shift)> {
        let job =
            self.jobs.entry(id.clone()).or_insert_with(|| Job::without_description(id, &record));
        if job.state == JobState::Waiting {
            // Assignment records are written only after the release of a job.
            self.release(id, now, "released by an earlier leader");
        }
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let finished = job.state == JobState::Over;
        let Some(slot) = job.chunks.get_mut(chunk as usize) else {
            return Vec::new();
        };
        slot.key_version = revision;
        job.charges.load(record.charges);
        if !record.usage.is_empty() && self.account.is_some() {
            job.usage.insert(chunk, record.usage);
        }
        let first_task = chunk * CHUNK_TASKS;
        for (offset, done) in from_hex(&record.done).enumerate() {
            if done && let Some(task) = job.tasks.get_mut(first_task as usize + offset) {
                *task = Task::Done;
                job.done += 1;
            }
        }
        let mut held = Vec::new();
        for (index, attempt, host, shift, zone) in record.held {
            let hold = Hold {
                host: host.clone(),
                shift,
                zone,
                attempt,
                version: 0,
                run: RunSent::Inherited,
                phase: None,
                since: now,
                running_since: None,
                told_ms: None,
                stop: None,
            };
            if self.hold_in_memory(id, index, hold) {
                held.push((index, host, shift));
            }
        }
        if finished {
            self.enqueue(Item::Chunk(id.clone(), chunk), WritePriority::Deferred);
        }
        held
    }

    fn hold_in_memory(&mut self, id: &JobId, index: u32, hold: Hold) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let Some(task) = job.tasks.get_mut(index as usize) else { return false };
        // Guards against a plan that places a task twice, which made it run on two machines at once.
        if *task != Task::Pending {
            log::error!("task {id}/{index}: not pending; ignoring the new assignment");
            return false;
        }
        if job.spec.shape == Shape::Gang {
            match job.gang {
                Gang::Idle => job.gang = Gang::Gathering(hold.attempt),
                Gang::Gathering(attempt) if attempt == hold.attempt => {}
                _ => job.gang = Gang::Clearing(hold.attempt),
            }
        }
        job.held += 1;
        job.placed_at = Some(hold.since);
        *job.zones.entry(hold.zone.clone()).or_default() += 1;
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.cpus += job.spec.cpus;
        usage.gpus += job.spec.gpus;
        *task = Task::Held(Box::new(hold));
        true
    }

    /// Assigns a task to a machine, if the assignment record has room; the assignment still has to become durable.
    pub fn hold(&mut self, id: &JobId, index: u32, mut hold: Hold) -> bool {
        if !self.record_has_room(id, index, &hold) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        hold.version = job.chunks[(index / CHUNK_TASKS) as usize].version + 1;
        let held = self.hold_in_memory(id, index, hold);
        if held {
            self.mark_changed(id, index, WritePriority::Immediate);
        }
        held
    }

    /// Releases an assigned task that is proven gone from its machine: it is done, or becomes pending again.
    pub fn free(&mut self, id: &JobId, index: u32, done: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(index as usize) else {
            return;
        };
        match task {
            Task::Held(hold) => {
                job.held -= 1;
                if let Some(count) = job.zones.get_mut(&hold.zone) {
                    *count -= 1;
                    if *count == 0 {
                        job.zones.remove(&hold.zone);
                    }
                }
                if let Some(usage) = self.usage.get_mut(&job.spec.team) {
                    usage.cpus -= job.spec.cpus;
                    usage.gpus -= job.spec.gpus;
                }
            }
            Task::Pending if done => {}
            _ => return,
        }
        *task = if done { Task::Done } else { Task::Pending };
        if done {
            job.done += 1;
        }
        if job.held == 0 && job.gang != Gang::Idle {
            job.gang_enter(Gang::Idle, "all tasks are gone from their machines");
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
            JobState::Ending(_) | JobState::Over => false,
        };
        if open {
            job.set_state(JobState::Ending(status), reason);
            self.stop_waiting(id);
            self.enqueue(Item::End(id.clone()), WritePriority::Immediate);
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
    pub fn charged(&mut self, id: &JobId, index: u32) {
        self.mark_changed(id, index, WritePriority::Immediate);
    }

    /// The assignment of a task, if it has one.
    pub fn held(&self, task: &TaskId) -> Option<&Hold> {
        self.jobs.get(&task.job)?.hold(task.index)
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
