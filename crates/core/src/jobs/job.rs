//! One job: its tasks, where each is counted as being, and its gang.

use super::dependencies::Inherited;
use super::records::{ChunkRecord, OverRecord, to_hex};
use crate::constants::*;
use crate::estimate::{Kalman, Measurement};
use oatloom_graph::records::{Part, PartEnd};
use oatloom_ledger::rollup::{Days, Spent};
use oatloom_policy::charges::Charges;
use oatloom_policy::classes::{Allowance, OnExhausted};
use oatloom_policy::constants::BURNT_MOST;
use oatloom_protocol::constants::MAX_TASKS;
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{Failure, JobSpec, JobStatus, JobView, Rank, Shape, TaskPhase};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Whether and when the start command for a held task left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunSent {
    No,
    /// In the answer to the report with this tally.
    At(Tally),
    /// By an earlier leader, perhaps.
    Inherited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopWhy {
    JobOver,
    Preempted,
    Draining,
    /// A replica that goes to another machine so that this one can be returned.
    Moved,
    GangFailed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    pub why: StopWhy,
    pub grace_s: f64,
    pub since: Mono,
}

/// A task counted as on a machine until proven gone from it.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    pub host: HostId,
    pub shift: Shift,
    pub zone: Zone,
    pub attempt: Attempt,
    /// The chunk's version that first holds it: no `run` before that is durable.
    pub version: u64,
    pub run: RunSent,
    pub phase: Option<TaskPhase>,
    pub since: Mono,
    pub running_since: Option<Mono>,
    /// For how long it had run when its worker last told, in milliseconds.
    pub told_ms: Option<u64>,
    pub stop: Option<Stop>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    Pending,
    Held(Box<Hold>),
    Done,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Chunk {
    /// Version of the key in the store; 0: none.
    pub(super) stamp: Revision,
    pub(super) version: u64,
    pub(super) durable: u64,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// Needs other jobs done first; nothing of it may start, and it takes no part in what is placed or hired.
    Waiting,
    Open,
    /// A task has used up its allowed repeats: nothing more starts, and once nothing of it can be on a machine
    /// its end as failed is written.
    Failing(OnExhausted),
    /// Its end is decided and being written; nothing of it may start.
    Ending(JobStatus),
    /// Its end is durable; kept while tasks may still be on machines. What to say of it stands in
    /// the store, not here.
    Over,
}

/// Where a gang's current attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gang {
    /// No attempt; all tasks are proven gone.
    Idle,
    /// Its tasks are being placed or wait for each other; lost ones are replaced.
    Gathering(Attempt),
    Running(Attempt),
    /// Failed or stopped: ends when all its tasks are proven gone.
    Clearing(Attempt),
}

#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub submitted: Mono,
    /// When it could first start: at its submission, or once all jobs that it needs were done.
    pub released: Mono,
    /// Jobs that it needs and that are not known to be done.
    pub unmet: BTreeSet<JobId>,
    /// The cancelled job that it needs, if there is one: it is cancelled too, whether or not that is written yet.
    pub cancelled_by: Option<JobId>,
    /// What it inherits from jobs that need it.
    pub inherited: Inherited,
    pub(super) live_stamp: Revision,
    pub state: JobState,
    pub tasks: Vec<Task>,
    pub(super) chunks: Vec<Chunk>,
    pub done: u32,
    pub held: u32,
    pub zones: BTreeMap<Zone, u32>,
    pub gang: Gang,
    /// Whether all its tasks were seen running at once: of a service, that it was up.
    pub up: bool,
    /// When a task of it was last given a place, as far as this leader knows.
    pub(super) placed_at: Option<Mono>,
    /// When one of its tasks was last lost.
    pub lost_at: Mono,
    pub cost: Kalman,
    pub measured: Measurement,
    pub errors: u32,
    /// Machines on which it failed: more than one points at the job, not at them.
    pub error_hosts: BTreeSet<HostId>,
    pub paused_until: Mono,
    /// What its class is allowed; `None`: it may fail for ever.
    pub allowance: Option<Allowance>,
    /// What stands against its tasks, where that is limited.
    pub charges: Charges,
    /// Tasks that may not start before a moment: after a failure, or until it is known whose fault one was. One
    /// of a gang's holds back all.
    pub withheld: BTreeMap<u32, Mono>,
    /// Nothing of it ended well yet. Once it has failed on as many machines as one job may burn, it may only go to
    /// those of them that are there.
    pub confined: bool,
    /// When it last failed, where that is limited.
    pub failed_at: Mono,
    /// Machines on which it failed, those that are gone included.
    pub burnt: usize,
    /// What its attempts have used, by chunk, where that is accounted.
    pub usage: BTreeMap<u32, Days>,
    /// Why it is failing, or has failed.
    pub failure: Option<Arc<Failure>>,
    /// What of a graph it runs, if it does.
    pub part: Option<Arc<Part>>,
    /// Where to look first for a pending task.
    pub(super) cursor: u32,
}

impl Job {
    pub(super) fn new(spec: JobSpec, submitted: Mono, live_stamp: Revision) -> Self {
        let chunks = spec.tasks.div_ceil(CHUNK_TASKS) as usize;
        Self {
            tasks: vec![Task::Pending; spec.tasks as usize],
            chunks: vec![Chunk::default(); chunks],
            spec: Arc::new(spec),
            submitted,
            released: submitted,
            unmet: BTreeSet::new(),
            cancelled_by: None,
            inherited: Inherited::default(),
            live_stamp,
            state: JobState::Open,
            done: 0,
            held: 0,
            zones: BTreeMap::new(),
            gang: Gang::Idle,
            up: false,
            placed_at: None,
            lost_at: Mono(0),
            cost: Kalman::default(),
            measured: Measurement::default(),
            errors: 0,
            error_hosts: BTreeSet::new(),
            paused_until: Mono(0),
            allowance: None,
            charges: Charges::default(),
            withheld: BTreeMap::new(),
            confined: false,
            failed_at: Mono(0),
            burnt: 0,
            usage: BTreeMap::new(),
            failure: None,
            part: None,
            cursor: 0,
        }
    }

    /// A stand-in for a job that may come, with that many tasks.
    pub fn expected(spec: &JobSpec, tasks: u32, now: Mono) -> Self {
        Self::new(JobSpec { tasks, ..spec.clone() }, now, Revision(0))
    }

    /// The one place where the state changes.
    pub(super) fn enter(&mut self, state: JobState, why: &str) {
        log::info!("job {}: {:?} -> {:?} ({why})", self.spec.id, self.state, state);
        self.state = state;
    }

    /// The one place where the gang's state changes.
    pub fn gang_enter(&mut self, gang: Gang, why: &str) {
        if self.gang != gang {
            log::debug!("gang {}: {:?} -> {:?} ({why})", self.spec.id, self.gang, gang);
            self.gang = gang;
        }
    }

    /// Whether it failed on the machine. Mostly that is the machine's fault, so it is tried
    /// elsewhere; a job that fails everywhere may go anywhere again.
    pub fn avoids(&self, host: &HostId) -> bool {
        if self.held_to_burnt() {
            return !self.error_hosts.contains(host);
        }
        self.error_hosts.len() < OWN_FAULT_HOSTS && self.error_hosts.contains(host)
    }

    /// Whether it may only go to machines on which it has failed.
    pub fn held_to_burnt(&self) -> bool {
        self.confined && self.burnt >= BURNT_MOST && !self.error_hosts.is_empty()
    }

    /// Pending tasks that may start now.
    pub fn startable(&self, now: Mono) -> u32 {
        let held_back = self.withheld.values().filter(|until| now < **until).count() as u32;
        match self.spec.shape {
            Shape::Gang if held_back > 0 => 0,
            _ => self.pending().saturating_sub(held_back),
        }
    }

    /// What of its charges a task is judged by: a gang by those of all its tasks.
    pub fn judged(&self, index: u32) -> Option<u32> {
        (self.spec.shape != Shape::Gang).then_some(index)
    }

    /// Whether it is an array that has waited long and has nothing done or on a machine, nor had anything placed lately: what
    /// was placed may have been stopped before it ran.
    pub fn unbegun(&self, now: Mono) -> bool {
        let waited = |since: Mono, most: f64| now.since(since).secs() > most;
        self.spec.shape == Shape::Array
            && self.done + self.held == 0
            && waited(self.released, BEGIN_S)
            && self.placed_at.is_none_or(|at| waited(at, BEGIN_AGAIN_S))
    }

    /// Whether it goes on: nothing has been decided that ends it for all its tasks.
    pub fn goes_on(&self) -> bool {
        matches!(self.state, JobState::Open | JobState::Failing(OnExhausted::FinishRest))
    }

    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.held
    }

    /// Pending tasks in order, from where the last search ended.
    pub fn pending_tasks(&mut self, most: usize, now: Mono) -> Vec<u32> {
        let count = self.spec.tasks;
        if self.startable(now) == 0 || most == 0 {
            return Vec::new();
        }
        let mut found = Vec::new();
        let mut at = self.cursor % count;
        for _ in 0..count {
            let held_back = self.withheld.get(&at).is_some_and(|until| now < *until);
            if self.tasks[at as usize] == Task::Pending && !held_back {
                if found.is_empty() {
                    self.cursor = at;
                }
                found.push(at);
                if found.len() >= most {
                    break;
                }
            }
            at = (at + 1) % count;
        }
        found
    }

    pub fn hold(&self, index: u32) -> Option<&Hold> {
        match self.tasks.get(index as usize) {
            Some(Task::Held(hold)) => Some(hold),
            _ => None,
        }
    }

    pub fn hold_mut(&mut self, index: u32) -> Option<&mut Hold> {
        match self.tasks.get_mut(index as usize) {
            Some(Task::Held(hold)) => Some(hold),
            _ => None,
        }
    }

    pub fn holds(&self) -> impl Iterator<Item = (u32, &Hold)> {
        self.tasks.iter().enumerate().filter_map(|(i, t)| match t {
            Task::Held(hold) => Some((i as u32, &**hold)),
            _ => None,
        })
    }

    /// Whether the hold may be told to its worker.
    pub fn durable(&self, index: u32) -> bool {
        let chunk = &self.chunks[(index / CHUNK_TASKS) as usize];
        self.hold(index).is_some_and(|hold| hold.version <= chunk.durable)
    }

    /// Whether all that is known of the task is durable, so that its worker may forget it.
    pub fn settled(&self, index: u32) -> bool {
        self.chunks
            .get((index / CHUNK_TASKS) as usize)
            .is_none_or(|chunk| chunk.version == chunk.durable)
    }

    /// Chunks that have a record in the store.
    pub(super) fn stored_chunks(&self) -> Vec<u32> {
        let stored = self.chunks.iter().enumerate().filter(|(_, c)| c.stamp > Revision(0));
        stored.map(|(i, _)| i as u32).collect()
    }

    pub fn running(&self) -> u32 {
        self.holds()
            .filter(|(_, h)| matches!(h.phase, Some(TaskPhase::Running | TaskPhase::Saving)))
            .count() as u32
    }

    /// What may be said of a job that is open. Of one whose end is being written nothing may: the
    /// write may have been applied, and another controller may have read it and told a user.
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
            JobState::Ending(_) | JobState::Over => return None,
        };
        let unmet = self.unmet.iter().take(SHOWN_DEPENDENCIES).cloned();
        let waits_for = if self.state == JobState::Waiting { unmet.collect() } else { Vec::new() };
        let queued = JobView::queued(self.spec.id.clone());
        Some(JobView { status, done: self.done, running, waits_for, ..queued })
    }

    /// What is kept of it for ever.
    pub(super) fn over_record(&self, status: JobStatus, spent: Option<Arc<Spent>>) -> OverRecord {
        let failure = self.failure.clone().filter(|_| status == JobStatus::Failed);
        let part = self.part.as_ref().map(|part| Arc::new(self.part_end(part, status)));
        OverRecord { status, done: self.done, failure, spent, part }
    }

    /// How the nodes of a graph ended that it ran. Of those that did not, what stands against them goes along.
    fn part_end(&self, part: &Part, status: JobStatus) -> PartEnd {
        let nodes = part.nodes.clone();
        if status == JobStatus::Done || !part.batch() {
            return PartEnd { nodes, done: Vec::new(), charged: Vec::new() };
        }
        let is_done = |task: &u32| self.tasks.get(*task as usize) == Some(&Task::Done);
        let charged = self.charges.tasks().filter(|task| !is_done(task));
        PartEnd {
            nodes,
            done: (0..self.spec.tasks).filter(is_done).collect(),
            charged: charged.map(|task| (task, self.charges.failures(Some(task)))).collect(),
        }
    }

    /// Whether its tasks are nodes of a graph, one each: others wait for each of them.
    pub(super) fn is_batch(&self) -> bool {
        self.part.as_ref().is_some_and(|part| part.batch())
    }

    /// Whether its tasks are to be on unlike machines: `true` if they must be.
    pub fn apart(&self) -> Option<bool> {
        self.part.as_ref().and_then(|part| part.apart)
    }

    /// Tasks of a chunk.
    pub(super) fn chunk_range(&self, chunk: u32) -> std::ops::Range<u32> {
        let from = chunk.saturating_mul(CHUNK_TASKS);
        from..from.saturating_add(CHUNK_TASKS).min(self.spec.tasks)
    }

    /// What is to be kept of a chunk, whatever room that takes.
    pub(super) fn record(&self, chunk: u32) -> ChunkRecord {
        let from = (chunk * CHUNK_TASKS) as usize;
        let to = (from + CHUNK_TASKS as usize).min(self.tasks.len());
        let slice = &self.tasks[from..to];
        let charges = self.charges.record(from as u32..to as u32);
        let usage = self.usage.get(&chunk).cloned().unwrap_or_default();
        ChunkRecord {
            done: to_hex(slice.iter().map(|t| *t == Task::Done)),
            held: slice
                .iter()
                .enumerate()
                .filter_map(|(i, t)| match t {
                    Task::Held(h) => Some((
                        (from + i) as u32,
                        h.attempt,
                        h.host.clone(),
                        h.shift,
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

    /// A job whose description is gone but some of whose tasks may still be on machines.
    pub(super) fn ghost(id: &JobId, record: &ChunkRecord) -> Self {
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
        job.state = JobState::Over;
        job
    }
}
