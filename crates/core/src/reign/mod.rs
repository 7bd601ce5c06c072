//! State and actions of one leader term: reconciles reports with the job table, places tasks and
//! scales the fleet. It owns no sockets and no lease; [`crate::controller`] calls it only while the
//! fencing token is valid.

mod capacity;
mod dispatch;
mod graphs;
mod machines;
mod repeats;
mod reports;
mod usage;

use crate::cloud::{CloudDesk, Kind};
use crate::constants::*;
use crate::estimate::{Kalman, Measurement};
use crate::jobs::*;
use crate::notes::Notes;
use crate::operators::Operators;
use crate::placement::{self, Inputs, Plan};
use crate::scaling::{self, Bounds, Claim, Demand};
use crate::workers::{Fleet, Freshness, Image, Life, Machine, Room};
use oatloom_graph::desk::Desk;
use oatloom_graph::limits::Limits;
use oatloom_graph::model::Room as RecordRoom;
use oatloom_policy::blame::Evidence;
use oatloom_policy::classes::Classes;
use oatloom_protocol::ids::*;
use oatloom_protocol::settings::Settings;
use oatloom_protocol::wire::{
    Cause, Command, JobSpec, JobStatus, Listed, MachineStatus, Order, Report, ReportAnswer, Shape,
    TaskPhase, TaskReport,
};
use oatloom_zones::{Hires, Seen, Zones};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

/// How far a new leader has come in loading the stored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reads the unfinished jobs.
    LoadingLive,
    /// Reads their assignments.
    LoadingAssigned,
    /// Everything is loaded: the leader handles reports, places tasks and scales.
    Ruling,
}

/// Error of the owners' run time estimates for one job class.
#[derive(Clone, Copy, Debug)]
struct ClassBias {
    /// Running mean of actual over estimated time.
    mean: f64,
    /// Decaying maximum of the same ratio: an array is done only when its longest task is.
    recent_max: f64,
}

impl Default for ClassBias {
    fn default() -> Self {
        Self::new(1.0)
    }
}

impl ClassBias {
    fn new(mean: f64) -> Self {
        Self { mean, recent_max: mean }
    }

    fn observe(&mut self, ratio: f64) {
        let ratio = ratio.clamp(0.1, 10.0);
        self.mean += BIAS_GAIN * (ratio - self.mean);
        self.recent_max = (self.recent_max * LONGEST_KEPT).max(ratio);
    }
}

/// Operator configuration that applies to every leader term.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Retry allowances by job class.
    pub classes: Arc<Classes>,
    /// Classes that usage accounting reports separately; `None` if accounting is off.
    pub accounted: Option<Arc<BTreeSet<String>>>,
    /// How often finished attempts are added to the stored usage totals.
    pub account_every: Millis,
    /// Limits on task graphs and on the size of their records; `None` if graphs are not served.
    pub graphs: Option<(Limits, RecordRoom)>,
    /// Maximum size of a stored value in bytes, under the current and any announced limits.
    pub value_bytes: usize,
}

impl Terms {
    /// Derives the configuration from the settings and the operators' values.
    pub fn new(settings: &Settings, ops: &Operators) -> Self {
        let objective_classes = settings.facts.objectives.iter().filter_map(|o| o.class.clone());
        let limited_classes = ops.classes.names().map(str::to_owned);
        let accounted =
            ops.ledger.then(|| Arc::new(objective_classes.chain(limited_classes).collect()));
        let account_every = Millis(ops.ledger_every_ms);
        let graphs = ops.graphs.then(|| (ops.graph_limits.clone(), graphs::record_space(settings)));
        let value_bytes = (settings.facts.state.strictest().value_kb * 1024.0) as usize;
        let classes = Arc::new(ops.classes.clone());
        Self { classes, accounted, account_every, graphs, value_bytes }
    }

    fn usage_accounting(&self) -> Option<Account> {
        let classes = self.accounted.clone()?;
        Some(Account::new(classes, self.account_every).within(self.value_bytes))
    }
}

/// State of one leader term.
#[derive(Debug)]
pub struct Reign {
    /// Fencing token of the term.
    pub token: Token,
    /// Start of the term.
    pub since: Mono,
    /// Start of the term, or the latest moment at which the lease became valid again after a lapse.
    /// The silence of machines is counted from here at the earliest.
    pub heard_from: Mono,
    pub stage: Stage,
    /// Whether the cloud's machine list has been read in this term.
    machines_listed: bool,
    /// Whether an earlier leader's hints have been applied.
    hints_applied: bool,
    /// Whether the state of the zones has been initialized.
    zones_initialized: bool,
    /// Store revision at which the job table was read.
    pub begin: Revision,
    /// Number of planned assignments that the placement rules forbid. Each is a bug in the planner; tests check it.
    pub wrong_plans: u32,
    pub book: Book,
    pub fleet: Fleet,
    attempt_count: u64,
    /// Core count planned by the control loop.
    planned_cores: f64,
    /// Number of tasks that each array may run at once, by the control loop.
    task_limits: BTreeMap<JobId, u32>,
    class_biases: BTreeMap<String, ClassBias>,
    /// Cached images, by an earlier leader's hints, of machines that have not reported yet.
    inherited_images: BTreeMap<HostId, Vec<Image>>,
    /// The last machine whose images went into a leader hint; the next hint continues after it.
    last_hinted_machine: HostId,
    last_service_move: Mono,
    /// Jobs expected to be submitted soon, for which capacity is kept ready, and how many of each.
    expected_jobs: Vec<(Job, u32)>,
    /// Evidence on whether jobs or machines caused failures, used where retries are limited.
    evidence: Evidence,
    /// Machines that were found faulty, kept until they are gone.
    faulty_machines: BTreeSet<HostId>,
    /// Tasks without retries left that wait for evidence on what caused their failures, with the start of the wait.
    awaiting_evidence: BTreeMap<TaskId, Mono>,
    /// Stop orders that are sent directly instead of with the answer to the machine's next report.
    direct_stops: BTreeMap<HostId, Vec<Order>>,
    /// Machines for which a task was assigned or stopped since the last call of [`Reign::take_changed_machines`].
    changed_machines: Vec<HostId>,
    /// Machines that do not report and still hold tasks of finished jobs, the least recently contacted one last.
    overdue_machines: Vec<HostId>,
    /// Task graphs, if they are served.
    pub graphs: Option<Desk>,
    node_costs: graphs::NodeCosts,
    placement_needed: bool,
    /// Earliest time of the next placement pass, derived from the cost of the last one.
    next_placement: Mono,
    next_tick: Mono,
}

impl Reign {
    /// Starts a term with an empty job table; of `fleet` only the catalog is kept.
    pub fn new(token: Token, now: Mono, mut fleet: Fleet, terms: &Terms) -> Self {
        fleet.machines.clear();
        fleet.gone.clear();
        fleet.zones = Zones::default();
        Self {
            token,
            since: now,
            heard_from: now,
            stage: Stage::LoadingLive,
            machines_listed: false,
            hints_applied: false,
            zones_initialized: false,
            begin: Revision(0),
            wrong_plans: 0,
            book: Book::new(
                terms.classes.clone(),
                terms.usage_accounting(),
                terms.graphs.is_some(),
            ),
            fleet,
            attempt_count: 0,
            planned_cores: 0.0,
            task_limits: BTreeMap::new(),
            class_biases: BTreeMap::new(),
            inherited_images: BTreeMap::new(),
            last_hinted_machine: HostId::new(""),
            last_service_move: Mono(0),
            expected_jobs: Vec::new(),
            evidence: Evidence::default(),
            faulty_machines: BTreeSet::new(),
            awaiting_evidence: BTreeMap::new(),
            direct_stops: BTreeMap::new(),
            changed_machines: Vec::new(),
            overdue_machines: Vec::new(),
            graphs: graphs::desk(terms, token, now),
            node_costs: graphs::NodeCosts::new(),
            placement_needed: true,
            next_placement: Mono(0),
            next_tick: now,
        }
    }

    /// Changes the stage; all stage changes go through here.
    pub fn enter(&mut self, stage: Stage) {
        log::info!(
            "leader term {}: {:?} -> {:?}, {} jobs",
            self.token,
            self.stage,
            stage,
            self.book.jobs.len()
        );
        self.stage = stage;
        self.placement_needed = true;
        if stage == Stage::Ruling {
            // An earlier leader may have stopped between writing the last task and the end of the job.
            let complete =
                |(_, j): &(&JobId, &Job)| j.state == JobState::Open && j.done == j.spec.tasks;
            let ids: Vec<JobId> =
                self.book.jobs.iter().filter(complete).map(|(id, _)| id.clone()).collect();
            for id in ids {
                self.book.end(&id, JobStatus::Done, "all tasks were already done");
            }
        }
    }

    /// Builds a hint with the state that is not stored and that a new leader would have to learn again:
    /// the images of the next few machines, and class biases, arrivals and zone states in full.
    pub fn notes(&mut self, now: Mono) -> Notes {
        let after = (Bound::Excluded(self.last_hinted_machine.clone()), Bound::Unbounded);
        let max_machines = self.fleet.machines.len().div_ceil(NOTES_ROUND).max(NOTES_MACHINES);
        let mut bytes = 0;
        let machines = self.fleet.machines.range(after).map(|(_, m)| m);
        let images: Vec<(HostId, Vec<(String, f64)>)> = machines
            .filter(|m| m.images.iter().any(|i| i.ready))
            .take(max_machines)
            .map(|m| {
                let ready = m.images.iter().filter(|i| i.ready);
                (m.id.clone(), ready.map(|i| (i.name.clone(), i.gb)).collect())
            })
            .take_while(|(_, images): &(HostId, Vec<(String, f64)>)| {
                let size = |(name, _): &(String, f64)| name.len() + NOTES_IMAGE_BYTES;
                let bytes_before = bytes;
                bytes += NOTES_MACHINE_BYTES + images.iter().map(size).sum::<usize>();
                bytes_before == 0 || bytes <= NOTES_BYTES
            })
            .collect();
        let last_included =
            images.last().filter(|_| images.len() == max_machines || bytes > NOTES_BYTES);
        self.last_hinted_machine =
            last_included.map_or_else(|| HostId::new(""), |(host, _)| host.clone());
        let mut arrivals: BTreeMap<&str, (JobSpec, Vec<u64>)> = BTreeMap::new();
        for (arrived_at, spec) in &self.book.arrivals {
            let entry =
                arrivals.entry(&spec.class).or_insert_with(|| ((**spec).clone(), Vec::new()));
            entry.1.push(now.since(*arrived_at).0);
        }
        Notes {
            token: self.token,
            leader: None,
            images,
            shown: self
                .class_biases
                .iter()
                .map(|(class, bias)| (class.clone(), bias.mean))
                .collect(),
            arrivals: arrivals.into_values().collect(),
            gossip: None,
            zones: self.fleet.zones.told(now),
        }
    }

    /// Applies the hints that an earlier leader sent at `hinted_at`.
    pub fn recall(&mut self, hints: Notes, hinted_at: Mono) {
        self.hints_applied = true;
        self.fleet.zones.recall(&hints.zones, hinted_at);
        for (host, images) in hints.images {
            let ready = |(name, gb)| Image { name, gb, ready: true };
            self.inherited_images.insert(host, images.into_iter().map(ready).collect());
        }
        for (class, factor) in hints.shown {
            self.class_biases.insert(class, ClassBias::new(factor));
        }
        // The job table lacks jobs that arrived before the hints were sent and have finished since.
        let mut arrivals: Vec<(Mono, Arc<JobSpec>)> =
            self.book.arrivals.drain(..).filter(|(at, _)| *at > hinted_at).collect();
        for (spec, ages) in hints.arrivals {
            let spec = Arc::new(spec);
            let at = |age: u64| Mono(hinted_at.0.saturating_sub(age));
            arrivals.extend(ages.into_iter().map(|age| (at(age), spec.clone())));
        }
        arrivals.sort_by_key(|(at, _)| *at);
        self.book.arrivals.extend(arrivals);
    }

    /// Requests a placement pass.
    pub fn wake(&mut self) {
        self.placement_needed = true;
    }

    /// Returns an attempt number that no leader has used: tokens and the counter only grow.
    fn new_attempt(&mut self) -> Attempt {
        self.attempt_count += 1;
        Attempt((self.token.0 << 20) + self.attempt_count)
    }

    /// Loads an assignment record from the store.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: ChunkRecord,
        stamp: Revision,
        now: Mono,
    ) {
        let zones: BTreeMap<HostId, Zone> =
            record.held.iter().map(|(_, _, host, _, zone)| (host.clone(), zone.clone())).collect();
        for (index, host, shift) in self.book.load_chunk(id, chunk, record, stamp, now) {
            let Some(job) = self.book.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let Some(zone) = zones.get(&host) else {
                continue;
            };
            // The machine list or the machine's report supplies the flavor.
            let machine = self.fleet.adopt(&host, "", zone, false, now, now);
            machine.attested = true;
            // Marks reports of earlier sessions as stale; direct commands also have to name the session.
            machine.shift = machine.shift.max(shift);
            machine.hold(
                TaskId::new(id, index),
                Room::from(&*spec),
                &spec.image,
                spec.image_gb,
                f64::MAX,
            );
        }
    }

    /// Releases the assignment of a task that has provably left its machine.
    fn release_task(&mut self, id: &JobId, index: u32, done: bool, now: Mono) {
        if let Some(host) = self.book.get(id).and_then(|j| j.hold(index)).map(|h| h.host.clone())
            && let Some(machine) = self.fleet.machines.get_mut(&host)
        {
            machine.free(&TaskId::new(id, index), now);
        }
        // A gang has completed as soon as one of its tasks is done, however the others end.
        let completed = |job: &Job| {
            job.spec.shape == Shape::Gang && job.done > 0 && job.state == JobState::Open
        };
        let done = done || self.book.get(id).is_some_and(completed);
        self.book.free(id, index, done);
        self.placement_needed = true;
        let complete =
            self.book.get(id).is_some_and(|j| j.state == JobState::Open && j.done == j.spec.tasks);
        if complete {
            self.book.end(id, JobStatus::Done, "all tasks are done");
        }
        self.end_if_failed(id);
    }

    /// Abandons a gang's current attempt and stops its remaining tasks.
    fn abandon_gang(&mut self, id: &JobId, why: &str, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(id) else {
            return;
        };
        let (Gang::Gathering(attempt) | Gang::Running(attempt)) = job.gang else {
            return;
        };
        if job.held == 0 {
            job.gang_enter(Gang::Idle, why);
            return;
        }
        job.gang_enter(Gang::Clearing(attempt), why);
        self.stop_all(id, StopWhy::GangFailed, 0.0, now);
    }

    /// Requests the end of an assigned task. One whose start order was never sent is released at once.
    fn stop(&mut self, task: &TaskId, why: StopWhy, grace_s: f64, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(hold) = job.hold_mut(task.index) else {
            return;
        };
        if hold.run == RunSent::No {
            self.release_task(&task.job, task.index, false, now);
            return;
        }
        // A later stop may only shorten the grace period.
        let grace_s = hold.stop.as_ref().map_or(grace_s, |s| s.grace_s.min(grace_s));
        if hold.stop.is_none() {
            log::debug!("task {task}: stopping ({why:?}, grace {grace_s} s)");
        }
        let since = hold.stop.as_ref().map_or(now, |s| s.since);
        hold.stop = Some(Stop { why, grace_s, since });
        self.changed_machines.push(hold.host.clone());
        if matches!(why, StopWhy::Preempted | StopWhy::Draining | StopWhy::Moved) {
            let (host, attempt) = (hold.host.clone(), hold.attempt);
            let orders = self.direct_stops.entry(host).or_default();
            if orders.len() < MAX_ORDERS {
                orders.push(Order::Stop { task: task.to_string(), attempt, grace_s });
            }
        }
    }

    /// Requests the end of all assigned tasks of a job.
    fn stop_all(&mut self, id: &JobId, why: StopWhy, grace_s: f64, now: Mono) {
        let Some(job) = self.book.get(id) else { return };
        let held: Vec<u32> = job.holds().map(|(i, _)| i).collect();
        for index in held {
            self.stop(&TaskId::new(id, index), why, grace_s, now);
        }
    }

    /// Stops a running gang so that its progress is saved: all its tasks must receive the stop within
    /// `gang_peer_s`, with a grace period long enough to save. Clearing the gang here avoids a second
    /// stop without grace, which a failed gang gets.
    fn stop_gang(&mut self, id: &JobId, why: StopWhy, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(id) else { return };
        let Gang::Running(attempt) = job.gang else { return };
        job.gang_enter(Gang::Clearing(attempt), "stopped to save its progress");
        let grace_s = job.spec.save_s;
        self.stop_all(id, why, grace_s, now);
    }

    /// Ends a job: none of its tasks may start any more, and those on machines are stopped.
    pub fn end_job(&mut self, id: &JobId, status: JobStatus, why: &str, now: Mono) {
        self.book.end(id, status, why);
        self.stop_all(id, StopWhy::JobOver, 0.0, now);
    }

    /// Runs the periodic work; called for every event while the token is valid.
    pub fn tick(&mut self, settings: &Settings, ops: &Operators, cloud: &mut CloudDesk, now: Mono) {
        if self.stage != Stage::Ruling {
            return;
        }
        self.placement_needed |= self.book.take_released();
        if now >= self.next_tick && now >= self.next_placement.min(self.next_tick.plus(ops.tick()))
        {
            self.next_tick = now.plus(ops.tick());
            self.initialize_zones();
            self.check_machines(settings, ops, cloud, now);
            self.collect_overdue_machines(settings, now);
            self.probe_zones(settings, cloud, now);
            self.stop_draining_tasks(now);
            self.review_retries(now);
            self.update_node_costs();
            self.scale(settings, ops, cloud, now);
            self.fleet.forget_old(now);
            let arrival_window = Millis::from_secs(ARRIVAL_WINDOW_S);
            while self.book.arrivals.front().is_some_and(|(at, _)| now.since(*at) > arrival_window)
            {
                self.book.arrivals.pop_front();
            }
        } else if self.placement_needed && now >= self.next_placement {
            self.run_placement(settings, cloud, now);
        }
    }
}
