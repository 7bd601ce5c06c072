//! One job: its tasks, their assignments, and the state of its gang.

use super::dependencies::Inherited;
use super::records::{ChunkRecord, FinalRecord, to_hex};
use crate::constants::*;
use crate::estimate::{Kalman, Measurement};
use oatloom_graph::records::{GraphPart, GraphPartEnd};
use oatloom_ledger::rollup::{JobUsage, UsageByDay};
use oatloom_policy::charges::Charges;
use oatloom_policy::classes::{OnExhausted, RetryPolicy};
use oatloom_policy::constants::MAX_FAILED_HOSTS;
use oatloom_protocol::constants::MAX_TASKS;
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus, JobView, Rank, Shape, TaskPhase};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Whether and when the start command for an assigned task was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSent {
    No,
    /// In the answer to the report with this sequence number.
    At(ReportSeq),
    /// Possibly sent by an earlier leader.
    Inherited,
}

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    JobFinished,
    Preempted,
    Draining,
    /// A replica that moves to another machine so that this one can be returned.
    Moved,
    GangFailed,
}

/// A stop request for a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    pub reason: StopReason,
    pub grace_s: f64,
    pub since: Mono,
}

/// Assignment of a task to a machine. It counts as running there until proven gone.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskAssignment {
    pub host: HostId,
    pub session: WorkerSession,
    pub zone: Zone,
    pub attempt: Attempt,
    /// First version of the chunk that contains the assignment. The start command is sent only once that
    /// version is durable.
    pub chunk_version: u64,
    pub run_sent: RunSent,
    pub phase: Option<TaskPhase>,
    pub assigned_at: Mono,
    pub running_since: Option<Mono>,
    /// Run time in the worker's latest report, in milliseconds.
    pub reported_run_ms: Option<u64>,
    pub stop: Option<Stop>,
}

/// State of one task.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    Pending,
    Assigned(Box<TaskAssignment>),
    Done,
}

/// Write state of an assignment record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ChunkState {
    /// Version of the key in the state service; 0: the key does not exist.
    pub(super) key_version: Revision,
    /// Number of changes in memory.
    pub(super) version: u64,
    /// The latest of these versions that is durable.
    pub(super) durable: u64,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Waits for its dependencies: none of its tasks may start, and it is ignored by placement and hiring.
    Waiting,
    Open,
    /// A task has used up its retries. The final record with status failed is written once none of its tasks can
    /// be on a machine.
    Failing(OnExhausted),
    /// Its final status is decided and being written; none of its tasks may start.
    Ending(JobStatus),
    /// Its final record is durable. The job stays in memory while tasks may still be on machines; its
    /// reported status comes from the state service.
    Finished,
}

/// State of a gang's current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangState {
    /// No attempt; all tasks are proven gone from their machines.
    Idle,
    /// Its tasks are being placed or wait for each other; lost tasks are placed again.
    Gathering(Attempt),
    Running(Attempt),
    /// Failed or stopped; ends when all its tasks are proven gone from their machines.
    Clearing(Attempt),
}

/// A job in the job table.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub submitted: Mono,
    /// When it could first start: at its submission, or once all its dependencies were done.
    pub released: Mono,
    /// Dependencies that are not known to be done.
    pub unmet_dependencies: BTreeSet<JobId>,
    /// The cancelled dependency, if there is one. The job is then cancelled too, even before its own final record
    /// is written.
    pub cancelled_by: Option<JobId>,
    /// Rank and deadline inherited from its dependents.
    pub inherited: Inherited,
    /// Revision of the live key.
    pub(super) live_revision: Revision,
    pub state: JobState,
    pub tasks: Vec<TaskState>,
    pub(super) chunks: Vec<ChunkState>,
    pub done: u32,
    pub assigned: u32,
    pub zones: BTreeMap<Zone, u32>,
    pub gang: GangState,
    /// Whether all its tasks were reported running at once; a service was then up.
    pub was_up: bool,
    /// When one of its tasks was last assigned, as far as this leader knows.
    pub(super) placed_at: Option<Mono>,
    /// When one of its tasks was last lost.
    pub lost_at: Mono,
    pub cost: Kalman,
    pub measured: Measurement,
    pub error_count: u32,
    /// Machines on which it failed; failures on more than one point to the job rather than the machines.
    pub error_hosts: BTreeSet<HostId>,
    pub paused_until: Mono,
    /// Retries allowed to its tasks; `None`: unlimited.
    pub retry_policy: Option<RetryPolicy>,
    /// Failures charged to its tasks, if they are limited.
    pub charges: Charges,
    /// Earliest start of delayed tasks: after a failure, or until the cause of a failure is known. One delayed
    /// task of a gang delays the whole gang.
    pub delayed_until: BTreeMap<u32, Mono>,
    /// Set until a task succeeds. Once such a job has failed on as many machines as one job may make suspect
    /// ([`MAX_FAILED_HOSTS`]), it may only run on those of them that remain.
    pub unproven: bool,
    /// When it last failed, if failures are limited.
    pub failed_at: Mono,
    /// Number of machines on which it failed, including those that no longer exist; 0 if failures are not limited.
    pub failed_host_count: usize,
    /// Usage of its attempts by chunk, if usage accounting is enabled.
    pub usage: BTreeMap<u32, UsageByDay>,
    /// Why it is failing or has failed.
    pub failure: Option<Arc<Failure>>,
    /// The part of a graph that it runs, if any.
    pub part: Option<Arc<GraphPart>>,
    /// Index at which the search for pending tasks starts.
    pub(super) search_start: u32,
}

impl Job {
    pub(super) fn new(spec: JobSpec, submitted: Mono, live_revision: Revision) -> Self {
        let chunks = spec.tasks.div_ceil(TASKS_PER_CHUNK) as usize;
        Self {
            tasks: vec![TaskState::Pending; spec.tasks as usize],
            chunks: vec![ChunkState::default(); chunks],
            spec: Arc::new(spec),
            submitted,
            released: submitted,
            unmet_dependencies: BTreeSet::new(),
            cancelled_by: None,
            inherited: Inherited::default(),
            live_revision,
            state: JobState::Open,
            done: 0,
            assigned: 0,
            zones: BTreeMap::new(),
            gang: GangState::Idle,
            was_up: false,
            placed_at: None,
            lost_at: Mono(0),
            cost: Kalman::default(),
            measured: Measurement::default(),
            error_count: 0,
            error_hosts: BTreeSet::new(),
            paused_until: Mono(0),
            retry_policy: None,
            charges: Charges::default(),
            delayed_until: BTreeMap::new(),
            unproven: false,
            failed_at: Mono(0),
            failed_host_count: 0,
            usage: BTreeMap::new(),
            failure: None,
            part: None,
            search_start: 0,
        }
    }

    /// A placeholder for a forecast job with that many tasks.
    pub fn forecast(spec: &JobSpec, tasks: u32, now: Mono) -> Self {
        Self::new(JobSpec { tasks, ..spec.clone() }, now, Revision(0))
    }

    /// Changes the state; all transitions go through here.
    pub(super) fn set_state(&mut self, state: JobState, reason: &str) {
        log::info!("job {}: {:?} -> {:?} ({reason})", self.spec.id, self.state, state);
        self.state = state;
    }

    /// Changes the gang's state; all transitions go through here.
    pub fn set_gang_state(&mut self, gang: GangState, reason: &str) {
        if self.gang != gang {
            log::debug!("gang {}: {:?} -> {:?} ({reason})", self.spec.id, self.gang, gang);
            self.gang = gang;
        }
    }

    /// Whether the job must not be placed on the machine. A failure is mostly the machine's fault, so the job
    /// is retried elsewhere; a job that fails on many machines may run anywhere again.
    pub fn avoids(&self, host: &HostId) -> bool {
        if self.confined_to_failed_hosts() {
            return !self.error_hosts.contains(host);
        }
        self.error_hosts.len() < FAULTY_JOB_HOSTS && self.error_hosts.contains(host)
    }

    /// Whether it may only run on machines on which it has failed.
    pub fn confined_to_failed_hosts(&self) -> bool {
        self.unproven && self.failed_host_count >= MAX_FAILED_HOSTS && !self.error_hosts.is_empty()
    }

    /// Pending tasks that may start now.
    pub fn startable(&self, now: Mono) -> u32 {
        let delayed = self.delayed_until.values().filter(|until| now < **until).count() as u32;
        match self.spec.shape {
            Shape::Gang if delayed > 0 => 0,
            _ => self.pending().saturating_sub(delayed),
        }
    }

    /// The task whose failures count against the limit; `None` for a gang, where those of all tasks count.
    pub fn charge_scope(&self, index: u32) -> Option<u32> {
        (self.spec.shape != Shape::Gang).then_some(index)
    }

    /// Whether it is an array that has waited long with no task done or assigned and none assigned recently. A
    /// recent assignment matters because the task may have been stopped before it ran.
    pub fn is_due_first_task(&self, now: Mono) -> bool {
        let waited = |since: Mono, limit_s: f64| now.since(since).as_secs() > limit_s;
        self.spec.shape == Shape::Array
            && self.done + self.assigned == 0
            && waited(self.released, FIRST_TASK_WAIT_S)
            && self.placed_at.is_none_or(|at| waited(at, FIRST_TASK_RETRY_S))
    }

    /// Whether its remaining tasks may still run: the job is open, or failing but finishing the rest.
    pub fn may_continue(&self) -> bool {
        matches!(self.state, JobState::Open | JobState::Failing(OnExhausted::FinishRest))
    }

    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.assigned
    }

    /// Up to `limit` pending tasks that may start now, in order from the first one found by the last search.
    pub fn pending_tasks(&mut self, limit: usize, now: Mono) -> Vec<u32> {
        let count = self.spec.tasks;
        if self.startable(now) == 0 || limit == 0 {
            return Vec::new();
        }
        let mut found = Vec::new();
        let mut index = self.search_start % count;
        for _ in 0..count {
            let delayed = self.delayed_until.get(&index).is_some_and(|until| now < *until);
            if self.tasks[index as usize] == TaskState::Pending && !delayed {
                if found.is_empty() {
                    self.search_start = index;
                }
                found.push(index);
                if found.len() >= limit {
                    break;
                }
            }
            index = (index + 1) % count;
        }
        found
    }

    pub fn assignment(&self, index: u32) -> Option<&TaskAssignment> {
        match self.tasks.get(index as usize) {
            Some(TaskState::Assigned(assignment)) => Some(assignment),
            _ => None,
        }
    }

    pub fn assignment_mut(&mut self, index: u32) -> Option<&mut TaskAssignment> {
        match self.tasks.get_mut(index as usize) {
            Some(TaskState::Assigned(assignment)) => Some(assignment),
            _ => None,
        }
    }

    pub fn assignments(&self) -> impl Iterator<Item = (u32, &TaskAssignment)> {
        self.tasks.iter().enumerate().filter_map(|(i, t)| match t {
            TaskState::Assigned(assignment) => Some((i as u32, &**assignment)),
            _ => None,
        })
    }

    /// Whether the task's assignment is durable, so that it may be sent to the worker.
    pub fn assignment_durable(&self, index: u32) -> bool {
        let chunk = &self.chunks[(index / TASKS_PER_CHUNK) as usize];
        self.assignment(index).is_some_and(|assignment| assignment.chunk_version <= chunk.durable)
    }

    /// Whether all known changes of the task are durable, so that its worker may discard its result.
    pub fn all_durable(&self, index: u32) -> bool {
        self.chunks
            .get((index / TASKS_PER_CHUNK) as usize)
            .is_none_or(|chunk| chunk.version == chunk.durable)
    }

    /// Chunks that have a record in the state service.
    pub(super) fn stored_chunks(&self) -> Vec<u32> {
        let stored = self.chunks.iter().enumerate().filter(|(_, c)| c.key_version > Revision(0));
        stored.map(|(i, _)| i as u32).collect()
    }

    pub fn running(&self) -> u32 {
        self.assignments()
            .filter(|(_, h)| matches!(h.phase, Some(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// The view that may be reported of an unfinished job. While its final record is being written there is
    /// none: the write may have been applied, and another controller may have reported it to a user.
    pub(super) fn view(&self) -> Option<JobView> {
        let (status, running) = match self.state {
            JobState::Waiting => (JobStatus::Queued, 0),
            JobState::Open | JobState::Failing(_) => match self.running() {
                0 => (JobStatus::Queued, 0),
                running => (JobStatus::Running, running),
            },
            JobState::Ending(JobStatus::Cancelled) if self.cancelled_by.is_some() => {
                (JobStatus::Cancelled, 0)
            }
            JobState::Ending(_) | JobState::Finished => return None,
        };
        let unmet = self.unmet_dependencies.iter().take(MAX_SHOWN_DEPENDENCIES).cloned();
        let waits_for = if self.state == JobState::Waiting { unmet.collect() } else { Vec::new() };
        let queued = JobView::queued(self.spec.id.clone());
        Some(JobView { status, done: self.done, running, waits_for, ..queued })
    }

    /// The final record, which is kept permanently.
    pub(super) fn final_record(
        &self,
        status: JobStatus,
        spent: Option<Arc<JobUsage>>,
    ) -> FinalRecord {
        let failure = self.failure.clone().filter(|_| status == JobStatus::Failed);
        let part = self.part.as_ref().map(|part| Arc::new(self.part_end(part, status)));
        FinalRecord { status, done: self.done, failure, spent, part }
    }

    /// How the graph nodes that it ran ended, with the failures charged to those that did not complete.
    fn part_end(&self, part: &GraphPart, status: JobStatus) -> GraphPartEnd {
        let nodes = part.nodes.clone();
        if status == JobStatus::Done || !part.is_batch() {
            return GraphPartEnd { nodes, done: Vec::new(), failure_counts: Vec::new() };
        }
        let is_done = |task: &u32| self.tasks.get(*task as usize) == Some(&TaskState::Done);
        let charged = self.charges.tasks().filter(|task| !is_done(task));
        GraphPartEnd {
            nodes,
            done: (0..self.spec.tasks).filter(is_done).collect(),
            failure_counts: charged
                .map(|task| (task, self.charges.failure_count(Some(task))))
                .collect(),
        }
    }

    /// Whether each of its tasks is a graph node, so that other nodes may wait for each of them.
    pub(super) fn is_batch(&self) -> bool {
        self.part.as_ref().is_some_and(|part| part.is_batch())
    }

    /// Whether its tasks are to run on different machines: `true` if they must, `false` if they should.
    pub fn anti_affinity(&self) -> Option<bool> {
        self.part.as_ref().and_then(|part| part.strict_spread)
    }

    /// Index range of a chunk's tasks.
    pub(super) fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let first = chunk.saturating_mul(TASKS_PER_CHUNK);
        first..first.saturating_add(TASKS_PER_CHUNK).min(self.spec.tasks)
    }

    /// The complete assignment record of a chunk, regardless of its size.
    pub(super) fn record(&self, chunk: u32) -> ChunkRecord {
        let first = (chunk * TASKS_PER_CHUNK) as usize;
        let end = (first + TASKS_PER_CHUNK as usize).min(self.tasks.len());
        let chunk_tasks = &self.tasks[first..end];
        let charges = self.charges.to_record(first as u32..end as u32);
        let usage = self.usage.get(&chunk).cloned().unwrap_or_default();
        ChunkRecord {
            done: to_hex(chunk_tasks.iter().map(|t| *t == TaskState::Done)),
            assignments: chunk_tasks
                .iter()
                .enumerate()
                .filter_map(|(i, t)| match t {
                    TaskState::Assigned(h) => Some((
                        (first + i) as u32,
                        h.attempt,
                        h.host.clone(),
                        h.session,
                        h.zone.clone(),
                    )),
                    _ => None,
                })
                .collect(),
            size: (
                self.spec.team.clone(),
                self.spec.cpus,
                self.spec.gpus,
                self.spec.memory_gb,
                self.spec.tasks,
            ),
            charges,
            usage,
        }
    }

    /// A finished job whose description was deleted but some of whose tasks may still be on machines.
    pub(super) fn without_description(id: &JobId, record: &ChunkRecord) -> Self {
        let (team, cpus, gpus, memory_gb, tasks) = record.size.clone();
        let spec = JobSpec {
            id: id.clone(),
            class: String::new(),
            team,
            shape: Shape::Array,
            rank: Rank::Low,
            tasks: tasks.clamp(1, MAX_TASKS),
            cpus,
            gpus,
            memory_gb,
            image: String::new(),
            image_gb: 0.0,
            flavors: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        let mut job = Self::new(spec, Mono(0), Revision(0));
        job.state = JobState::Finished;
        job
    }
}
