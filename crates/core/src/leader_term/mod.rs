//! State and actions of one leader term: reconciles reports with the job table, places tasks and
//! scales the fleet. It owns no sockets and no lease; [`crate::controller`] calls it only while the
//! fencing token is valid.

mod capacity;
mod dispatch;
mod graphs;
mod machines;
mod reports;
mod retries;
mod usage;

use crate::cloud::{CloudClient, MachineKind};
use crate::constants::*;
use crate::estimate::{Kalman, Measurement};
use crate::jobs::*;
use crate::leader_hints::LeaderHints;
use crate::operators::OperatorSettings;
use crate::placement::{self, PlacementInputs, PlacementPlan};
use crate::scaling::{self, ArrayDemand, CoreBounds, Demand};
use crate::workers::{Fleet, Freshness, Image, Machine, MachineState, Resources};
use oatloom_graph::graph_table::GraphTable;
use oatloom_graph::limits::Limits;
use oatloom_graph::model::RecordSpace;
use oatloom_policy::classes::Classes;
use oatloom_policy::fault_attribution::Evidence;
use oatloom_protocol::ids::*;
use oatloom_protocol::settings::Settings;
use oatloom_protocol::wire::{
    Command, ExitCause, JobSpec, JobStatus, ListedMachine, MachineStatus, Order, Report,
    ReportAnswer, Shape, TaskPhase, TaskReport,
};
use oatloom_zones::{HirePolicy, ZoneObservation, ZoneStates};
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
    Active,
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
        self.recent_max = (self.recent_max * LONGEST_RUN_DECAY).max(ratio);
    }
}

/// Operator configuration that applies to every leader term.
#[derive(Clone, Debug, Default)]
pub struct LeaderConfig {
    /// Retry allowances by job class.
    pub classes: Arc<Classes>,
    /// Classes that usage accounting reports separately; `None` if accounting is off.
    pub usage_classes: Option<Arc<BTreeSet<String>>>,
    /// How often the usage of ended jobs is added to the roll-ups.
    pub usage_flush_interval: Millis,
    /// Limits on task graphs and on the size of their records; `None` if graphs are not served.
    pub graphs: Option<(Limits, RecordSpace)>,
    /// Maximum size of a stored value in bytes, under the current and any announced limits.
    pub max_value_bytes: usize,
}

impl LeaderConfig {
    /// Derives the configuration from the settings and the operators' values.
    pub fn new(settings: &Settings, ops: &OperatorSettings) -> Self {
        let objective_classes = settings.facts.objectives.iter().filter_map(|o| o.class.clone());
        let limited_classes = ops.classes.names().map(str::to_owned);
        let usage_classes =
            ops.ledger.then(|| Arc::new(objective_classes.chain(limited_classes).collect()));
        let usage_flush_interval = Millis(ops.ledger_every_ms);
        let graphs = ops.graphs.then(|| (ops.graph_limits.clone(), graphs::record_space(settings)));
        let max_value_bytes = (settings.facts.state.strictest().value_kb * 1024.0) as usize;
        let classes = Arc::new(ops.classes.clone());
        Self { classes, usage_classes, usage_flush_interval, graphs, max_value_bytes }
    }

    fn usage_accounting(&self) -> Option<UsageAccounting> {
        let classes = self.usage_classes.clone()?;
        Some(
            UsageAccounting::new(classes, self.usage_flush_interval)
                .with_value_limit(self.max_value_bytes),
        )
    }
}

/// State of one leader term.
#[derive(Debug)]
pub struct LeaderTerm {
    /// Fencing token of the term.
    pub token: Token,
    /// Start of the term.
    pub started_at: Mono,
    /// Start of the term, or the latest moment at which the lease became valid again after a lapse.
    /// The silence of machines is counted from here at the earliest.
    pub silence_counted_from: Mono,
    pub stage: Stage,
    /// Whether the cloud's machine list has been read in this term.
    machines_listed: bool,
    /// Whether an earlier leader's hints have been applied.
    hints_applied: bool,
    /// Whether the state of the zones has been initialized.
    zones_initialized: bool,
    /// Store revision at which the job table was read.
    pub load_revision: Revision,
    /// Number of planned assignments that the placement rules forbid. Each is a bug in the planner; tests check it.
    pub invalid_assignments: u32,
    pub job_table: JobTable,
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
    /// Machines for which a task was assigned or stopped since the last call of [`LeaderTerm::take_changed_machines`].
    changed_machines: Vec<HostId>,
    /// Machines that do not report and still hold tasks of finished jobs, the least recently contacted one last.
    overdue_machines: Vec<HostId>,
    /// Task graphs, if they are served.
    pub graphs: Option<GraphTable>,
    node_costs: graphs::NodeCosts,
    placement_needed: bool,
    /// Earliest time of the next placement pass, derived from the cost of the last one.
    next_placement: Mono,
    next_tick: Mono,
}

impl LeaderTerm {
    /// Starts a term with an empty job table; of `fleet` only the catalog is kept.
    pub fn new(token: Token, now: Mono, mut fleet: Fleet, config: &LeaderConfig) -> Self {
        fleet.machines.clear();
        fleet.tombstones.clear();
        fleet.zones = ZoneStates::default();
        Self {
            token,
            started_at: now,
            silence_counted_from: now,
            stage: Stage::LoadingLive,
            machines_listed: false,
            hints_applied: false,
            zones_initialized: false,
            load_revision: Revision(0),
            invalid_assignments: 0,
            job_table: JobTable::new(
                config.classes.clone(),
                config.usage_accounting(),
                config.graphs.is_some(),
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
            graphs: graphs::new_graph_table(config, token, now),
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
            self.job_table.jobs.len()
        );
        self.stage = stage;
        self.placement_needed = true;
        if stage == Stage::Active {
            // An earlier leader may have stopped between writing the last task and the end of the job.
            let complete =
                |(_, j): &(&JobId, &Job)| j.state == JobState::Open && j.done == j.spec.tasks;
            let ids: Vec<JobId> =
                self.job_table.jobs.iter().filter(complete).map(|(id, _)| id.clone()).collect();
            for id in ids {
                self.job_table.end(&id, JobStatus::Done, "all tasks were already done");
            }
        }
    }

    /// Builds a hint with the state that is not stored and that a new leader would have to learn again:
    /// the images of the next few machines, and class biases, arrivals and zone states in full.
    pub fn leader_hints(&mut self, now: Mono) -> LeaderHints {
        let after = (Bound::Excluded(self.last_hinted_machine.clone()), Bound::Unbounded);
        let max_machines =
            self.fleet.machines.len().div_ceil(HINTS_PER_ROUND).max(MIN_HINT_MACHINES);
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
                let size = |(name, _): &(String, f64)| name.len() + HINT_IMAGE_BYTES;
                let bytes_before = bytes;
                bytes += HINT_MACHINE_BYTES + images.iter().map(size).sum::<usize>();
                bytes_before == 0 || bytes <= MAX_HINT_IMAGES_BYTES
            })
            .collect();
        let last_included =
            images.last().filter(|_| images.len() == max_machines || bytes > MAX_HINT_IMAGES_BYTES);
        self.last_hinted_machine =
            last_included.map_or_else(|| HostId::new(""), |(host, _)| host.clone());
        let mut arrivals: BTreeMap<&str, (JobSpec, Vec<u64>)> = BTreeMap::new();
        for (arrived_at, spec) in &self.job_table.arrivals {
            let entry =
                arrivals.entry(&spec.class).or_insert_with(|| ((**spec).clone(), Vec::new()));
            entry.1.push(now.since(*arrived_at).0);
        }
        LeaderHints {
            token: self.token,
            leader: None,
            images,
            run_time_ratios: self
                .class_biases
                .iter()
                .map(|(class, bias)| (class.clone(), bias.mean))
                .collect(),
            arrivals: arrivals.into_values().collect(),
            gossip: None,
            zones: self.fleet.zones.report(now),
        }
    }

    /// Applies the hints of an earlier leader, which arrived at `received_at`.
    pub fn apply_hints(&mut self, hints: LeaderHints, received_at: Mono) {
        self.hints_applied = true;
        self.fleet.zones.restore(&hints.zones, received_at);
        for (host, images) in hints.images {
            let ready = |(name, gb)| Image { name, gb, ready: true };
            self.inherited_images.insert(host, images.into_iter().map(ready).collect());
        }
        for (class, ratio) in hints.run_time_ratios {
            self.class_biases.insert(class, ClassBias::new(ratio));
        }
        // The job table lacks jobs that arrived before the hints were sent and have finished since.
        let mut arrivals: Vec<(Mono, Arc<JobSpec>)> =
            self.job_table.arrivals.drain(..).filter(|(at, _)| *at > received_at).collect();
        for (spec, ages) in hints.arrivals {
            let spec = Arc::new(spec);
            let at = |age: u64| Mono(received_at.0.saturating_sub(age));
            arrivals.extend(ages.into_iter().map(|age| (at(age), spec.clone())));
        }
        arrivals.sort_by_key(|(at, _)| *at);
        self.job_table.arrivals.extend(arrivals);
    }

    /// Requests a placement pass.
    pub fn request_placement(&mut self) {
        self.placement_needed = true;
    }

    /// Returns an attempt number that no leader has used: tokens and the counter only grow.
    fn new_attempt(&mut self) -> Attempt {
        self.attempt_count += 1;
        Attempt((self.token.0 << 20) + self.attempt_count)
    }

    /// Loads an assignment record from the store.
    pub fn load_assignments(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: ChunkRecord,
        revision: Revision,
        now: Mono,
    ) {
        let zones: BTreeMap<HostId, Zone> = record
            .assignments
            .iter()
            .map(|(_, _, host, _, zone)| (host.clone(), zone.clone()))
            .collect();
        for (index, host, session) in self.job_table.load_chunk(id, chunk, record, revision, now) {
            let Some(job) = self.job_table.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let Some(zone) = zones.get(&host) else {
                continue;
            };
            // The machine list or the machine's report supplies the flavor.
            let machine = self.fleet.get_or_add_machine(&host, "", zone, false, now, now);
            machine.existence_confirmed = true;
            // Marks reports of earlier sessions as stale; direct commands also have to name the session.
            machine.session = machine.session.max(session);
            machine.assign(
                TaskId::new(id, index),
                Resources::from(&*spec),
                &spec.image,
                spec.image_gb,
                f64::MAX,
            );
        }
    }

    /// Releases the assignment of a task that has provably left its machine.
    fn release_task(&mut self, id: &JobId, index: u32, done: bool, now: Mono) {
        if let Some(host) =
            self.job_table.get(id).and_then(|j| j.assignment(index)).map(|h| h.host.clone())
            && let Some(machine) = self.fleet.machines.get_mut(&host)
        {
            machine.unassign(&TaskId::new(id, index), now);
        }
        // A gang has completed as soon as one of its tasks is done, however the others end.
        let completed = |job: &Job| {
            job.spec.shape == Shape::Gang && job.done > 0 && job.state == JobState::Open
        };
        let done = done || self.job_table.get(id).is_some_and(completed);
        self.job_table.unassign(id, index, done);
        self.placement_needed = true;
        let complete = self
            .job_table
            .get(id)
            .is_some_and(|j| j.state == JobState::Open && j.done == j.spec.tasks);
        if complete {
            self.job_table.end(id, JobStatus::Done, "all tasks are done");
        }
        self.end_if_failed(id);
    }

    /// Abandons a gang's current attempt and stops its remaining tasks.
    fn abandon_gang(&mut self, id: &JobId, why: &str, now: Mono) {
        let Some(job) = self.job_table.jobs.get_mut(id) else {
            return;
        };
        let (GangState::Gathering(attempt) | GangState::Running(attempt)) = job.gang else {
            return;
        };
        if job.assigned == 0 {
            job.set_gang_state(GangState::Idle, why);
            return;
        }
        job.set_gang_state(GangState::Clearing(attempt), why);
        self.stop_all(id, StopReason::GangFailed, 0.0, now);
    }

    /// Requests the end of an assigned task. One whose start order was never sent is released at once.
    fn stop(&mut self, task: &TaskId, reason: StopReason, grace_s: f64, now: Mono) {
        let Some(job) = self.job_table.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignment_mut(task.index) else {
            return;
        };
        if assignment.run_sent == RunSent::No {
            self.release_task(&task.job, task.index, false, now);
            return;
        }
        // A later stop may only shorten the grace period.
        let grace_s = assignment.stop.as_ref().map_or(grace_s, |s| s.grace_s.min(grace_s));
        if assignment.stop.is_none() {
            log::debug!("task {task}: stopping ({reason:?}, grace {grace_s} s)");
        }
        let since = assignment.stop.as_ref().map_or(now, |s| s.since);
        assignment.stop = Some(Stop { reason, grace_s, since });
        self.changed_machines.push(assignment.host.clone());
        if matches!(reason, StopReason::Preempted | StopReason::Draining | StopReason::Moved) {
            let (host, attempt) = (assignment.host.clone(), assignment.attempt);
            let orders = self.direct_stops.entry(host).or_default();
            if orders.len() < MAX_ORDERS {
                orders.push(Order::Stop { task: task.to_string(), attempt, grace_s });
            }
        }
    }

    /// Requests the end of all assigned tasks of a job.
    fn stop_all(&mut self, id: &JobId, reason: StopReason, grace_s: f64, now: Mono) {
        let Some(job) = self.job_table.get(id) else { return };
        let held: Vec<u32> = job.assignments().map(|(i, _)| i).collect();
        for index in held {
            self.stop(&TaskId::new(id, index), reason, grace_s, now);
        }
    }

    /// Stops a running gang so that its progress is saved: all its tasks must receive the stop within
    /// `gang_peer_s`, with a grace period long enough to save. Clearing the gang here avoids a second
    /// stop without grace, which a failed gang gets.
    fn stop_gang(&mut self, id: &JobId, reason: StopReason, now: Mono) {
        let Some(job) = self.job_table.jobs.get_mut(id) else { return };
        let GangState::Running(attempt) = job.gang else { return };
        job.set_gang_state(GangState::Clearing(attempt), "stopped to save its progress");
        let grace_s = job.spec.save_s;
        self.stop_all(id, reason, grace_s, now);
    }

    /// Ends a job: none of its tasks may start any more, and those on machines are stopped.
    pub fn end_job(&mut self, id: &JobId, status: JobStatus, why: &str, now: Mono) {
        self.job_table.end(id, status, why);
        self.stop_all(id, StopReason::JobFinished, 0.0, now);
    }

    /// Runs the periodic work; called for every event while the token is valid.
    pub fn tick(
        &mut self,
        settings: &Settings,
        ops: &OperatorSettings,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        if self.stage != Stage::Active {
            return;
        }
        self.placement_needed |= self.job_table.take_released();
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
            self.fleet.expire_tombstones(now);
            let arrival_window = Millis::from_secs(ARRIVAL_WINDOW_S);
            while self
                .job_table
                .arrivals
                .front()
                .is_some_and(|(at, _)| now.since(*at) > arrival_window)
            {
                self.job_table.arrivals.pop_front();
            }
        } else if self.placement_needed && now >= self.next_placement {
            self.run_placement(settings, cloud, now);
        }
    }
}
