//! The book of jobs: what was accepted, which task is where, and what of it is durable.
//!
//! Keys: `live/{id}` holds the description, `asg/{id}/{chunk}` the done tasks and assignments of
//! [`CHUNK_TASKS`] tasks, `over/{id}` the final state. `live/` and `over/` change in one
//! transaction, so a job is always under exactly one of them.

use crate::constants::*;
use crate::estimate::{Kalman, Measurement};
use crate::types::*;
use crate::wire::{Change, Condition, JobSpec, JobStatus, JobView, Rank, Shape, TaskPhase, Txn};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

pub const LIVE: &str = "live/";
pub const OVER: &str = "over/";
pub const ASSIGNED: &str = "asg/";

pub fn live_key(id: &JobId) -> String {
    format!("{LIVE}{id}")
}

pub fn over_key(id: &JobId) -> String {
    format!("{OVER}{id}")
}

pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("{ASSIGNED}{id}/{chunk:04}")
}

/// Value of a live key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LiveRecord {
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// Time of day at acceptance, in milliseconds.
    #[serde(rename = "t")]
    pub wall_ms: u64,
}

/// Value of an over key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    #[serde(rename = "s")]
    pub status: JobStatus,
    #[serde(rename = "n")]
    pub done: u32,
}

impl OverRecord {
    pub fn view(&self, id: &JobId) -> JobView {
        JobView { id: id.clone(), status: self.status, done: self.done, running: 0 }
    }
}

/// Value of a chunk key: done tasks as a hexadecimal bitmap, assignments in short form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    #[serde(rename = "d", default)]
    pub done: String,
    /// Task, attempt, host, shift, zone.
    #[serde(rename = "a", default)]
    pub held: Vec<(u32, Attempt, HostId, Shift, Zone)>,
    /// Team, cores, GPUs, memory and number of tasks: what a later leader must count for tasks
    /// still on machines when the description is gone.
    #[serde(rename = "u")]
    pub size: (String, f64, f64, f64, u32),
}

fn to_hex(bits: impl Iterator<Item = bool>) -> String {
    let mut text = String::new();
    let mut nibble = 0u32;
    let mut count = 0;
    for bit in bits {
        nibble |= u32::from(bit) << (count % 4);
        count += 1;
        if count % 4 == 0 {
            text.push(char::from_digit(nibble, 16).unwrap_or('0'));
            nibble = 0;
        }
    }
    if count % 4 != 0 {
        text.push(char::from_digit(nibble, 16).unwrap_or('0'));
    }
    text
}

fn from_hex(text: &str) -> impl Iterator<Item = bool> + '_ {
    text.chars()
        .map(|c| c.to_digit(16).unwrap_or(0))
        .flat_map(|nibble| (0..4).map(move |bit| nibble >> bit & 1 == 1))
}

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
    pub stop: Option<Stop>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    Pending,
    Held(Box<Hold>),
    Done,
}

#[derive(Clone, Copy, Debug, Default)]
struct Chunk {
    /// Version of the key in the store; 0: none.
    stamp: Revision,
    version: u64,
    durable: u64,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    Open,
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
    live_stamp: Revision,
    pub state: JobState,
    pub tasks: Vec<Task>,
    chunks: Vec<Chunk>,
    pub done: u32,
    pub held: u32,
    pub zones: BTreeMap<Zone, u32>,
    pub gang: Gang,
    pub cost: Kalman,
    pub measured: Measurement,
    pub errors: u32,
    /// Machines on which it failed: more than one points at the job, not at them.
    pub error_hosts: BTreeSet<HostId>,
    pub paused_until: Mono,
    /// Where to look first for a pending task.
    cursor: u32,
}

impl Job {
    fn new(spec: JobSpec, submitted: Mono, live_stamp: Revision) -> Self {
        let chunks = spec.tasks.div_ceil(CHUNK_TASKS) as usize;
        Self {
            tasks: vec![Task::Pending; spec.tasks as usize],
            chunks: vec![Chunk::default(); chunks],
            spec: Arc::new(spec),
            submitted,
            live_stamp,
            state: JobState::Open,
            done: 0,
            held: 0,
            zones: BTreeMap::new(),
            gang: Gang::Idle,
            cost: Kalman::default(),
            measured: Measurement::default(),
            errors: 0,
            error_hosts: BTreeSet::new(),
            paused_until: Mono(0),
            cursor: 0,
        }
    }

    /// A stand-in for a job that may come, with that many tasks.
    pub fn expected(spec: &JobSpec, tasks: u32, now: Mono) -> Self {
        Self::new(JobSpec { tasks, ..spec.clone() }, now, Revision(0))
    }

    /// The one place where the state changes.
    fn enter(&mut self, state: JobState, why: &str) {
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
        self.error_hosts.len() < OWN_FAULT_HOSTS && self.error_hosts.contains(host)
    }

    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done - self.held
    }

    /// Pending tasks in order, from where the last search ended.
    pub fn pending_tasks(&mut self, most: usize) -> Vec<u32> {
        let count = self.spec.tasks;
        if self.pending() == 0 || most == 0 {
            return Vec::new();
        }
        let mut found = Vec::new();
        let mut at = self.cursor % count;
        for _ in 0..count {
            if self.tasks[at as usize] == Task::Pending {
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
    fn stored_chunks(&self) -> Vec<u32> {
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
    fn view(&self) -> Option<JobView> {
        if self.state != JobState::Open {
            return None;
        }
        let running = self.running();
        Some(JobView {
            id: self.spec.id.clone(),
            status: if running > 0 { JobStatus::Running } else { JobStatus::Queued },
            done: self.done,
            running,
        })
    }

    fn record(&self, chunk: u32) -> ChunkRecord {
        let from = (chunk * CHUNK_TASKS) as usize;
        let to = (from + CHUNK_TASKS as usize).min(self.tasks.len());
        let slice = &self.tasks[from..to];
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
        }
    }

    /// A job whose description is gone but some of whose tasks may still be on machines.
    fn ghost(id: &JobId, record: &ChunkRecord) -> Self {
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
        };
        let mut job = Self::new(spec, Mono(0), Revision(0));
        job.state = JobState::Over;
        job
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Item {
    End(JobId),
    Chunk(JobId, u32),
}

/// What a transaction in flight will have made durable.
#[derive(Clone, Debug)]
pub struct Written {
    item: Item,
    version: u64,
    deletes: bool,
}

impl Written {
    pub fn item(&self) -> &Item {
        &self.item
    }
}

/// Team usage that counts against limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub cpus: f64,
    pub gpus: f64,
}

/// A bounded memory of final states, which never change.
#[derive(Debug, Default)]
pub struct OverCache {
    states: HashMap<JobId, OverRecord>,
    order: VecDeque<JobId>,
}

impl OverCache {
    pub fn insert(&mut self, id: JobId, record: OverRecord) {
        if self.states.insert(id.clone(), record).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > OVER_CACHE
            && let Some(old) = self.order.pop_front()
        {
            self.states.remove(&old);
        }
    }

    pub fn get(&self, id: &JobId) -> Option<&OverRecord> {
        self.states.get(id)
    }
}

/// All jobs that the leader works on.
#[derive(Debug, Default)]
pub struct Book {
    pub jobs: BTreeMap<JobId, Job>,
    pub usage: HashMap<String, Usage>,
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
    queued: HashMap<Item, Haste>,
}

/// How soon a change of the book is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Haste {
    Lazy,
    Soon,
}

impl Book {
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
        let job = Job::new(record.spec, submitted, stamp);
        self.arrivals.push_back((submitted, job.spec.clone()));
        self.jobs.insert(id, job);
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
    ) -> Vec<(u32, HostId)> {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job::ghost(id, &record));
        let over = job.state == JobState::Over;
        let Some(slot) = job.chunks.get_mut(chunk as usize) else {
            return Vec::new();
        };
        slot.stamp = stamp;
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
                stop: None,
            };
            if self.hold_unwritten(id, index, hold) {
                held.push((index, host));
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
        *job.zones.entry(hold.zone.clone()).or_default() += 1;
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.cpus += job.spec.cpus;
        usage.gpus += job.spec.gpus;
        *task = Task::Held(Box::new(hold));
        true
    }

    /// Assigns a task to a machine; the assignment still has to become durable.
    pub fn hold(&mut self, id: &JobId, index: u32, mut hold: Hold) -> bool {
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

    /// Marks the chunk of a task as changed.
    fn touch(&mut self, id: &JobId, index: u32, haste: Haste) {
        let chunk = index / CHUNK_TASKS;
        if let Some(job) = self.jobs.get_mut(id) {
            job.chunks[chunk as usize].version += 1;
        }
        self.enqueue(Item::Chunk(id.clone(), chunk), haste);
    }

    fn enqueue(&mut self, item: Item, haste: Haste) {
        // What waits already and is now wanted sooner leaves a stale row behind, which is skipped.
        if self.queued.get(&item).is_some_and(|known| *known >= haste) {
            return;
        }
        self.queued.insert(item.clone(), haste);
        match (&item, haste) {
            (Item::End(_), _) => self.urgent.push_back(item),
            (_, Haste::Soon) => self.dirty.push_back(item),
            (_, Haste::Lazy) => self.lazy.push_back((self.now.plus(LAZY_WRITE_MS), item)),
        }
    }

    /// The item to be written next, if one is due.
    fn pop(&mut self) -> Option<Item> {
        loop {
            let (item, haste) = if let Some(item) = self.urgent.pop_front() {
                (item, Haste::Soon)
            } else if let Some(item) = self.dirty.pop_front() {
                (item, Haste::Soon)
            } else {
                self.lazy.front().filter(|(due, _)| *due <= self.now)?;
                (self.lazy.pop_front()?.1, Haste::Lazy)
            };
            if self.queued.get(&item) == Some(&haste) {
                self.queued.remove(&item);
                return Some(item);
            }
        }
    }

    /// Decides a job's end, if it is still open.
    pub fn end(&mut self, id: &JobId, status: JobStatus, why: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Open
        {
            job.enter(JobState::Ending(status), why);
            self.enqueue(Item::End(id.clone()), Haste::Soon);
        }
    }

    /// Where a task is held, if it is.
    pub fn held(&self, task: &TaskId) -> Option<&Hold> {
        self.jobs.get(&task.job)?.hold(task.index)
    }

    /// The state that may be told of a job that is open here.
    pub fn view(&self, id: &JobId) -> Option<JobView> {
        self.jobs.get(id).and_then(Job::view)
    }

    /// The next fenced transaction, within the limits of the service.
    pub fn next_txn(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Mono,
    ) -> Option<(Txn, Vec<Written>)> {
        self.now = now;
        let mut txn = Txn { conditions: vec![fence], changes: Vec::new() };
        let mut written = Vec::new();
        let mut bytes = 0;
        // An end is two changes, and as many more as the job has assignment records to remove.
        while txn.changes.len() + 2 <= ops && bytes < TXN_BYTES {
            let Some(item) = self.pop() else { break };
            let Some(done) = self.write(&item, &mut txn, &mut bytes) else { continue };
            written.push(done);
            let Item::End(id) = item else { continue };
            for chunk in self.leftovers(&id, ops - txn.changes.len()) {
                let item = Item::Chunk(id.clone(), chunk);
                self.queued.remove(&item);
                written.extend(self.remove(&id, chunk, &mut txn));
            }
        }
        (!written.is_empty()).then_some((txn, written))
    }

    fn write(&self, item: &Item, txn: &mut Txn, bytes: &mut usize) -> Option<Written> {
        let when = |key: String, version| Condition { key, version };
        match item {
            Item::End(id) => {
                let job = self.jobs.get(id)?;
                let JobState::Ending(status) = job.state else {
                    return None;
                };
                let record = OverRecord { status, done: job.done };
                txn.conditions.push(when(over_key(id), Revision(0)));
                txn.conditions.push(when(live_key(id), job.live_stamp));
                txn.changes.push(Change::put(
                    over_key(id),
                    serde_json::to_value(record).unwrap_or(Value::Null),
                ));
                txn.changes.push(Change::Delete { key: live_key(id) });
                *bytes += 200;
                Some(Written { item: item.clone(), version: 0, deletes: false })
            }
            Item::Chunk(id, chunk) => {
                let job = self.jobs.get(id)?;
                let slot = job.chunks.get(*chunk as usize)?;
                let record = job.record(*chunk);
                if job.state == JobState::Over && record.held.is_empty() {
                    return self.remove(id, *chunk, txn);
                }
                let key = chunk_key(id, *chunk);
                txn.conditions.push(when(key.clone(), slot.stamp));
                *bytes += 60 + record.done.len() + record.held.len() * 48;
                txn.changes.push(Change::put(key, json!(record)));
                Some(Written { item: item.clone(), version: slot.version, deletes: false })
            }
        }
    }

    /// Removes an assignment record, if there is one.
    fn remove(&self, id: &JobId, chunk: u32, txn: &mut Txn) -> Option<Written> {
        let slot = self.jobs.get(id)?.chunks.get(chunk as usize)?;
        if slot.stamp == Revision(0) {
            return None;
        }
        let key = chunk_key(id, chunk);
        txn.conditions.push(Condition { key: key.clone(), version: slot.stamp });
        txn.changes.push(Change::Delete { key });
        let item = Item::Chunk(id.clone(), chunk);
        Some(Written { item, version: slot.version, deletes: true })
    }

    /// Records that can go together with the job's end, since nothing of it is on a machine: saves
    /// writing what its last tasks have done.
    fn leftovers(&self, id: &JobId, most: usize) -> Vec<u32> {
        let Some(job) = self.jobs.get(id).filter(|job| job.held == 0) else { return Vec::new() };
        let chunks = job.stored_chunks();
        if chunks.len() <= most { chunks } else { Vec::new() }
    }

    /// A transaction was applied at `revision`. Returns the jobs whose end is now durable.
    pub fn committed(
        &mut self,
        written: &[Written],
        revision: Revision,
    ) -> Vec<(JobId, OverRecord)> {
        let mut over = Vec::new();
        // Records before ends: guards against forgetting a job whose record was written along with
        // its end, and which nobody would remove any more.
        let (ends, chunks): (Vec<&Written>, Vec<&Written>) =
            written.iter().partition(|w| matches!(w.item, Item::End(_)));
        for done in chunks.into_iter().chain(ends) {
            match &done.item {
                Item::End(id) => over.extend(self.ended(id)),
                Item::Chunk(id, chunk) => {
                    let Some(job) = self.jobs.get_mut(id) else {
                        continue;
                    };
                    let Some(slot) = job.chunks.get_mut(*chunk as usize) else {
                        continue;
                    };
                    slot.stamp = if done.deletes { Revision(0) } else { revision };
                    slot.durable = slot.durable.max(done.version);
                    self.sweep(id);
                }
            }
        }
        over
    }

    /// The end of a job is durable.
    fn ended(&mut self, id: &JobId) -> Option<(JobId, OverRecord)> {
        let job = self.jobs.get_mut(id)?;
        let JobState::Ending(status) = job.state else {
            return None;
        };
        job.enter(JobState::Over, "durable");
        let record = OverRecord { status, done: job.done };
        for chunk in job.stored_chunks() {
            self.enqueue(Item::Chunk(id.clone(), chunk), Haste::Lazy);
        }
        self.sweep(id);
        Some((id.clone(), record))
    }

    /// Drops a job that is over once nothing of it is left on machines or in the store.
    fn sweep(&mut self, id: &JobId) {
        let gone = self.jobs.get(id).is_some_and(|job| {
            job.state == JobState::Over
                && job.held == 0
                && job.chunks.iter().all(|c| c.stamp == Revision(0))
        });
        if gone {
            self.jobs.remove(id);
        }
    }

    /// A transaction failed or its fate is unknown: its items are to be written again.
    pub fn requeue(&mut self, written: Vec<Written>) {
        for done in written {
            self.enqueue(done.item, Haste::Soon);
        }
    }

    /// What the store holds under the key of an item whose fate was unknown: its version, and
    /// whether a job's end was found there.
    pub fn resolved(&mut self, item: &Item, stamp: Revision) -> Option<(JobId, OverRecord)> {
        match item {
            Item::End(id) if stamp > Revision(0) => self.ended(id),
            Item::End(_) => None,
            Item::Chunk(id, chunk) => {
                if let Some(slot) =
                    self.jobs.get_mut(id).and_then(|job| job.chunks.get_mut(*chunk as usize))
                {
                    slot.stamp = stamp;
                }
                self.sweep(id);
                None
            }
        }
    }

    /// Key whose reading settles an item.
    pub fn key_of(item: &Item) -> String {
        match item {
            Item::End(id) => over_key(id),
            Item::Chunk(id, chunk) => chunk_key(id, *chunk),
        }
    }
}

/// Reads `asg/{id}/{chunk}`.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = key.strip_prefix(ASSIGNED)?.rsplit_once('/')?;
    Some((JobId::parse(id)?, chunk.parse().ok()?))
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub fn spec(id: &str, shape: Shape, tasks: u32) -> JobSpec {
        JobSpec {
            id: JobId::new(id),
            class: "c".into(),
            team: "t".into(),
            shape,
            rank: Rank::Standard,
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            flavors: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// The next transaction once everything is due.
    fn next(book: &mut Book) -> Option<(Txn, Vec<Written>)> {
        let now = book.now.plus(LAZY_WRITE_MS);
        book.next_txn(fence(), 16, now)
    }

    fn fence() -> Condition {
        Condition { key: "lead".into(), version: Revision(1) }
    }

    fn hold(host: &str) -> Hold {
        Hold {
            host: HostId::new(host),
            shift: Shift(1),
            zone: Zone::new("a"),
            attempt: Attempt(1),
            version: 0,
            run: RunSent::No,
            phase: None,
            since: Mono(0),
            running_since: None,
            stop: None,
        }
    }

    fn book(tasks: u32) -> (Book, JobId) {
        let mut book = Book::default();
        let now = Now { mono: Mono(1000), wall_ms: 1000 };
        let record = LiveRecord { spec: spec("req-1", Shape::Array, tasks), wall_ms: 900 };
        book.insert(record, Revision(5), now);
        (book, JobId::new("req-1"))
    }

    #[test]
    fn bitmaps_survive_the_trip() {
        let bits: Vec<bool> = (0..97).map(|i| i % 3 == 0).collect();
        let back: Vec<bool> = from_hex(&to_hex(bits.iter().copied())).take(97).collect();
        assert_eq!(bits, back);
    }

    /// The largest record stays below the smallest value limit in use.
    #[test]
    fn a_full_chunk_fits_a_value() {
        let (mut book, id) = book(MAX_TASKS);
        for index in MAX_TASKS - 64..MAX_TASKS {
            let mut full = hold("i-0000000231");
            full.attempt = Attempt(1 << 52);
            full.zone = Zone::new("a-long-zone-name");
            book.hold(&id, index, full);
        }
        while let Some((txn, written)) = next(&mut book) {
            let text = serde_json::to_string(&txn).unwrap();
            assert!(text.len() < 64 * 1024 && txn.changes.len() <= 16);
            for change in &txn.changes {
                assert!(serde_json::to_string(change).unwrap().len() < 8 * 1024);
            }
            book.committed(&written, Revision(9));
        }
    }

    /// No assignment counts as durable before its own transaction has committed.
    #[test]
    fn an_assignment_is_durable_only_when_committed() {
        let (mut book, id) = book(3);
        book.hold(&id, 0, hold("i-1"));
        let (_, first) = next(&mut book).unwrap();
        book.hold(&id, 1, hold("i-2"));
        assert!(!book.get(&id).unwrap().durable(0));
        book.committed(&first, Revision(7));
        let job = book.get(&id).unwrap();
        assert!(job.durable(0) && !job.durable(1) && !job.settled(0));
        let (txn, second) = next(&mut book).unwrap();
        assert_eq!(txn.conditions[1].version, Revision(7));
        book.committed(&second, Revision(8));
        assert!(book.get(&id).unwrap().durable(1));
    }

    /// A task is placed once, whatever a plan says.
    #[test]
    fn a_held_task_is_not_held_again() {
        let (mut book, id) = book(2);
        assert!(book.jobs.get_mut(&id).unwrap().pending_tasks(0).is_empty());
        assert!(book.hold(&id, 0, hold("i-1")));
        assert!(!book.hold(&id, 0, hold("i-2")));
        let job = book.get(&id).unwrap();
        assert_eq!((job.held, job.hold(0).unwrap().host.as_str()), (1, "i-1"));
    }

    /// The end moves the job from `live/` to `over/` in one transaction and is said only then.
    #[test]
    fn an_end_is_said_only_when_durable() {
        let (mut book, id) = book(1);
        book.hold(&id, 0, hold("i-1"));
        let (_, w) = next(&mut book).unwrap();
        book.committed(&w, Revision(6));
        book.end(&id, JobStatus::Cancelled, "test");
        // Another controller may have read the end already: no older state may be said.
        assert_eq!(book.view(&id), None);
        let (txn, w) = next(&mut book).unwrap();
        assert_eq!(txn.changes.len(), 2);
        let over = book.committed(&w, Revision(7));
        assert_eq!(over[0].1.status, JobStatus::Cancelled);
        assert_eq!(book.view(&id), None);
        // Its task is still counted; only its proven end removes the record, then the job.
        let (_, w) = next(&mut book).unwrap();
        book.committed(&w, Revision(8));
        assert_eq!(book.usage["t"].cpus, 1.0);
        book.free(&id, 0, false);
        assert_eq!(book.usage["t"].cpus, 0.0);
        let (txn, w) = next(&mut book).unwrap();
        assert!(matches!(txn.changes[0], Change::Delete { .. }));
        book.committed(&w, Revision(9));
        assert!(book.get(&id).is_none());
    }

    /// Ends of tasks wait for each other, and the end of the job takes its record with it: one
    /// write a task used up the budget of changes, and submissions were turned away.
    #[test]
    fn ends_of_tasks_share_a_write_and_the_jobs_end_removes_the_record() {
        let (mut book, id) = book(3);
        (0..3).for_each(|i| assert!(book.hold(&id, i, hold("i-1"))));
        let (_, w) = book.next_txn(fence(), 16, Mono(0)).unwrap();
        book.committed(&w, Revision(6));
        book.free(&id, 0, true);
        assert!(book.next_txn(fence(), 16, Mono(1)).is_none(), "nobody waits for it");
        let (txn, w) = next(&mut book).unwrap();
        assert_eq!(txn.changes.len(), 1);
        book.committed(&w, Revision(7));
        book.free(&id, 1, true);
        book.free(&id, 2, true);
        book.end(&id, JobStatus::Done, "test");
        let (txn, w) = book.next_txn(fence(), 16, Mono(2)).unwrap();
        assert_eq!(txn.changes.len(), 3, "{txn:?}");
        assert_eq!(book.committed(&w, Revision(8)).len(), 1);
        assert!(book.get(&id).is_none());
        assert!(book.next_txn(fence(), 16, Mono(u64::MAX)).is_none());
    }

    /// A record first written along with its job's end is removed all the same.
    #[test]
    fn a_record_written_with_the_end_is_removed() {
        let (mut book, id) = book(1);
        book.hold(&id, 0, hold("i-1"));
        book.end(&id, JobStatus::Cancelled, "test");
        book.free(&id, 0, false);
        let (_, w) = book.next_txn(fence(), 16, Mono(0)).unwrap();
        book.committed(&w, Revision(6));
        let (txn, w) = next(&mut book).unwrap();
        assert!(matches!(txn.changes[..], [Change::Delete { .. }]));
        book.committed(&w, Revision(7));
        assert!(book.get(&id).is_none());
    }

    /// A reloaded record gives the same holds and done tasks.
    #[test]
    fn records_reload_as_written() {
        let (mut book_a, id) = book(200);
        book_a.hold(&id, 100, hold("i-7"));
        book_a.free(&id, 101, true);
        let record = book_a.get(&id).unwrap().record(1);
        let (mut book_b, _) = book(200);
        let held = book_b.load_chunk(&id, 1, record.clone(), Revision(3), Mono(5));
        assert_eq!(held, vec![(100, HostId::new("i-7"))]);
        let job = book_b.get(&id).unwrap();
        assert_eq!((job.done, job.held), (1, 1));
        assert_eq!(job.hold(100).unwrap().run, RunSent::Inherited);
        assert_eq!(job.record(1), record);
    }
}
