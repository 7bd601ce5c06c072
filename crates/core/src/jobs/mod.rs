//! The book of jobs: what was accepted, which task is where, and what of it is durable.
//!
//! Keys: `live/{id}` holds the description, `asg/{id}/{chunk}` the done tasks and assignments of
//! [`CHUNK_TASKS`] tasks, `over/{id}` the final state. `live/` and `over/` change in one
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
use writing::Haste;
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

/// Team usage that counts against limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

/// All jobs that the leader works on.
#[derive(Debug, Default)]
pub struct Book {
    pub jobs: BTreeMap<JobId, Job>,
    pub usage: BTreeMap<String, Usage>,
    /// How often tasks of each class may fail.
    pub classes: Arc<Classes>,
    /// Whether any failures may be limited: by classes, or by nodes of graphs.
    pub limited: bool,
    /// Tasks that were nodes of graphs and whose being done is durable, since that was last taken.
    pub progress: Vec<(JobId, Vec<u32>)>,
    /// The account of usage, where one is kept.
    pub account: Option<Account>,
    /// What its jobs need of each other.
    dependencies: Dependencies,
    /// When it was last asked for something to write.
    now: Mono,
    /// Jobs that came lately, oldest first.
    pub arrivals: VecDeque<(Mono, Arc<JobSpec>)>,
    /// Ends of jobs, which users wait for.
    urgent: VecDeque<Item>,
    /// Assignments, which machines wait for.
    dirty: VecDeque<Item>,
    /// What nobody waits for, with the moment from which it is written: by then more of the same
    /// key has changed, or the job's end makes the write needless.
    lazy: VecDeque<(Mono, Item)>,
    /// The same for arrays of nodes, whose turn comes sooner.
    brisk: VecDeque<(Mono, Item)>,
    queued: BTreeMap<Item, Haste>,
    /// What records and transactions may take.
    pub limits: RecordLimits,
    /// Items that the service refused one by one, or that do not fit a value yet.
    refusals: Refusals<Item>,
    /// Whether it was said that a record takes no further assignment.
    said_full: bool,
}

impl Book {
    /// A book without jobs, which may fail as often as their classes and the nodes of graphs allow.
    pub fn new(classes: Arc<Classes>, account: Option<Account>, graphs: bool) -> Self {
        let limited = graphs || !classes.is_empty();
        Self { classes, limited, account, ..Self::default() }
    }

    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Takes up an accepted job; a job already known stays as it is.
    pub fn insert(&mut self, record: LiveRecord, stamp: Revision, now: Now) {
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
        let mut job = Job::new(record.spec, submitted, stamp);
        job.allowance = self.classes.of(&job.spec.class);
        if let Some(part) = record.part {
            // A node's own limit is never above that of its class; and an array of nodes goes on with the others when
            // one has failed.
            let own = part.repeats.map(|repeats| {
                let most = job.allowance.map_or(repeats, |class| class.repeats.min(repeats));
                let on_exhausted = job.allowance.map_or(OnExhausted::FailJob, |a| a.on_exhausted);
                Allowance { repeats: most, on_exhausted }
            });
            job.allowance = own.or(job.allowance);
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

    /// Takes up an assignment record read from the store. For a job that is over, its tasks are
    /// counted until proven gone, then the record is removed.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: ChunkRecord,
        stamp: Revision,
        now: Mono,
    ) -> Vec<(u32, HostId, Shift)> {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job::ghost(id, &record));
        if job.state == JobState::Waiting {
            // A record of its assignments is written only after its release.
            self.release(id, now, "was released by an earlier leader");
        }
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        let over = job.state == JobState::Over;
        let Some(slot) = job.chunks.get_mut(chunk as usize) else {
            return Vec::new();
        };
        slot.stamp = stamp;
        job.charges.load(record.charges);
        if !record.usage.is_empty() && self.account.is_some() {
            job.usage.insert(chunk, record.usage);
        }
        let from = chunk * CHUNK_TASKS;
        for (i, done) in from_hex(&record.done).enumerate() {
            if done && let Some(task) = job.tasks.get_mut(from as usize + i) {
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
            if self.hold_unwritten(id, index, hold) {
                held.push((index, host, shift));
            }
        }
        if over {
            self.enqueue(Item::Chunk(id.clone(), chunk), Haste::Lazy);
        }
        held
    }

    fn hold_unwritten(&mut self, id: &JobId, index: u32, hold: Hold) -> bool {
        let Some(job) = self.jobs.get_mut(id) else { return false };
        let Some(task) = job.tasks.get_mut(index as usize) else { return false };
        // Guards against a plan that places a task twice: it ran on two machines at once.
        if *task != Task::Pending {
            log::error!("task {id}/{index}: is not pending and stays where it is");
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

    /// Assigns a task to a machine; the assignment still has to become durable.
    pub fn hold(&mut self, id: &JobId, index: u32, mut hold: Hold) -> bool {
        if !self.has_room(id, index, &hold) {
            return false;
        }
        let Some(job) = self.jobs.get(id) else { return false };
        hold.version = job.chunks[(index / CHUNK_TASKS) as usize].version + 1;
        let held = self.hold_unwritten(id, index, hold);
        if held {
            self.touch(id, index, Haste::Soon);
        }
        held
    }

    /// A held task is proven gone from its machine: done, or to be placed again.
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
            job.gang_enter(Gang::Idle, "all its tasks are gone");
        }
        self.touch(id, index, Haste::Lazy);
    }

    /// Decides a job's end, if it is still open. The first decision stands, but for a job that is failing:
    /// until its end is being written its user may still cancel it.
    pub fn end(&mut self, id: &JobId, status: JobStatus, why: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let open = match job.state {
            JobState::Open => status != JobStatus::Failed,
            JobState::Waiting => status == JobStatus::Cancelled,
            JobState::Failing(_) => matches!(status, JobStatus::Failed | JobStatus::Cancelled),
            JobState::Ending(_) | JobState::Over => false,
        };
        if open {
            job.enter(JobState::Ending(status), why);
            self.stop_waiting(id);
            self.enqueue(Item::End(id.clone()), Haste::Soon);
        }
    }

    /// A task has used up its repeats. Nothing of the job starts any more; it ends once nothing of it is held.
    pub fn fail(&mut self, id: &JobId, how: OnExhausted, failure: Failure) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Open
        {
            let why = format!(
                "{} failed {} times, {} repeats are allowed",
                failure.task, failure.failures, failure.repeats
            );
            job.failure = Some(Arc::new(failure));
            job.enter(JobState::Failing(how), &why);
        }
    }

    /// What a failing job was to be refused for turned out to be a machine's doing. It goes on, if its end is not
    /// being written yet.
    pub fn reopen(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && matches!(job.state, JobState::Failing(_))
        {
            job.failure = None;
            job.enter(JobState::Open, "its failures were a machine's doing");
        }
    }

    /// What stands against a task has changed; it is written soon.
    pub fn charged(&mut self, id: &JobId, index: u32) {
        self.touch(id, index, Haste::Soon);
    }

    /// Where a task is held, if it is.
    pub fn held(&self, task: &TaskId) -> Option<&Hold> {
        self.jobs.get(&task.job)?.hold(task.index)
    }

    /// The state that may be told of a job that is open here.
    pub fn view(&self, id: &JobId) -> Option<JobView> {
        let job = self.jobs.get(id)?;
        let known = job.state != JobState::Waiting || self.dependencies_known(job);
        if known { job.view() } else { None }
    }
}

#[cfg(test)]
pub mod tests;
