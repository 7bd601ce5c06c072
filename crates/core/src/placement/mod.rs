//! Placement of tasks on machines. One pass goes through all open jobs in order of rank, guarantee
//! and urgency, places what fits on live machines, counts the rest against machines that are
//! booting, and returns which machines to hire and which tasks to preempt.

mod exchange;
mod gangs;
mod limits;
mod objectives;
mod preemption;
mod services;
mod slot_picker;
mod slots;
mod standby;

use crate::cloud::MachineKind;
use crate::constants::*;
use crate::jobs::{GangState, Job, JobState, JobTable, StopReason, TaskAssignment, TeamUsage};
use crate::workers::{Fleet, Machine, MachineState, Resources};
pub use limits::{Headroom, placement_order};
use oatloom_protocol::ids::*;
use oatloom_protocol::settings::Settings;
use oatloom_protocol::wire::{Flavor, JobSpec, Shape};
pub use objectives::{
    any_urgent_class, deadline, guaranteed_jobs, latest_release, objective_s, urgent_wait_s,
};
use objectives::{array_tasks_left, latest_start};
use services::ServiceTurns;
use slot_picker::SlotPicker;
use slots::{Availability, Search, SlotPool, accepts_tasks};
pub use standby::expected_jobs;
use std::collections::{BTreeMap, BTreeSet};

/// The decisions of one placement pass.
#[derive(Debug, Default)]
pub struct PlacementPlan {
    /// Tasks to start: the job, the task's index and the machine.
    pub starts: Vec<(JobId, u32, HostId)>,
    /// Tasks to stop to make room, why, and the seconds that each is given to save its state.
    pub stops: Vec<(TaskId, StopReason, f64)>,
    /// Machines to reserve, and for which job.
    pub reservations: Vec<(HostId, JobId)>,
    /// Machines to hire; `true` if the bound of the control loop does not apply.
    pub hires: Vec<(MachineKind, bool)>,
    /// Gangs to checkpoint and restart on spot machines, which are reserved for them.
    pub moves_to_spot: Vec<JobId>,
    /// Live machines whose room is kept free for jobs that are likely to arrive.
    pub ready_machines: BTreeSet<HostId>,
    /// Whether a gang was placed on machines that had been reserved for it.
    pub used_reservation: bool,
    /// Slots examined: the cost of the pass.
    pub steps: u64,
}

/// What a placement pass needs to know.
pub struct PlacementInputs<'a> {
    pub now: Mono,
    pub settings: &'a Settings,
    pub job_table: &'a mut JobTable,
    pub fleet: &'a Fleet,
    /// Tasks that each array may run at once by its rate.
    pub array_task_limits: &'a BTreeMap<JobId, u32>,
    /// Machines requested from the cloud but not answered yet.
    pub pending_hires: Vec<(MachineKind, u32)>,
    /// Jobs that are likely to arrive before a machine hired for them would be up, and how many.
    pub expected_jobs: &'a [(Job, u32)],
    /// Whether the cloud refused a kind of machine lately.
    pub is_refused: &'a dyn Fn(&MachineKind) -> bool,
}

/// What a task of a job needs and where it may run.
struct Need<'a> {
    job: &'a Job,
    room: Resources,
    /// Seconds of image fetch, or of waiting for a report, that weigh as much as a whole free
    /// machine.
    delay_weight_s: f64,
}

impl<'a> Need<'a> {
    fn new(settings: &Settings, job: &'a Job) -> Self {
        let within = urgent_wait_s(settings, &job.spec.class).unwrap_or(FETCH_WEIGHT_S);
        let delay_weight_s = within.clamp(1.0, FETCH_WEIGHT_S);
        Self { job, room: Resources::from(&*job.spec), delay_weight_s }
    }

    fn allows(&self, flavor: &str, zone: &Zone, spot: bool) -> bool {
        let spec = &self.job.spec;
        spec.flavors.as_ref().is_none_or(|f| f.iter().any(|x| x == flavor))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && (spec.spot || !spot)
    }

    /// Maximum number of tasks in one zone under the spread rule.
    fn max_per_zone(&self) -> u32 {
        if self.job.spec.spread { self.job.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    fn allows_zone(&self, zone: &Zone, zones: &BTreeMap<Zone, u32>) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        let others = zones.iter().any(|(z, n)| z != zone && *n > 0);
        here < self.max_per_zone() && !(self.job.spec.one_zone && others)
    }
}

/// Machine types that a task of the job fits and may use.
fn fitting_flavors<'a>(
    spec: &'a JobSpec,
    flavors: &'a [Flavor],
) -> impl Iterator<Item = &'a Flavor> + use<'a> {
    let need = Resources::from(spec);
    flavors.iter().filter(move |f| {
        spec.flavors.as_ref().is_none_or(|list| list.contains(&f.label))
            && spec.zone.as_ref().is_none_or(|z| f.zones.contains(z))
            && Resources::from(*f).fits(&need)
    })
}

/// Whether a task of the job fits any machine type that it may use.
pub fn fits_any_flavor(spec: &JobSpec, flavors: &[Flavor]) -> bool {
    fitting_flavors(spec, flavors).next().is_some()
}

/// Whether the job's tasks can run in this zone only, because of its own constraint or of its
/// machine types.
pub fn needs_zone(spec: &JobSpec, flavors: &[Flavor], zone: &Zone) -> bool {
    match &spec.zone {
        Some(only) => only == zone,
        // A job that fits no machine type needs no zone.
        None => {
            fits_any_flavor(spec, flavors)
                && fitting_flavors(spec, flavors).all(|f| f.zones.iter().all(|z| z == zone))
        }
    }
}

/// Whether one more task of the job may be placed on the machine: its own constraints, the zones of
/// its other tasks and its team's limit. Checked again for every single start, whatever the plan
/// says.
pub fn may_place(settings: &Settings, job_table: &JobTable, job: &Job, machine: &Machine) -> bool {
    let need = Need::new(settings, job);
    let Some(team) = settings.team(&job.spec.team) else { return false };
    let used = job_table.usage.get(&job.spec.team).copied().unwrap_or_default();
    // A task that uses nothing of an amount is not bound by its limit: the job table of a new
    // leader may show more than the limit, since the records can still hold tasks that the previous
    // leader knew to be gone.
    let within =
        |max: f64, used: f64, each: f64| max <= 0.0 || each <= 0.0 || used + each <= max + 1e-6;
    need.allows(&machine.flavor, &machine.zone, machine.spot)
        && (job.anti_affinity() != Some(true) || !machine.has_task_of(&job.spec.id))
        && need.allows_zone(&machine.zone, &job.zones)
        && within(team.cpus_max, used.cpus, job.spec.cpus)
        && within(team.gpus_max, used.gpus, job.spec.gpus)
}

struct Pass<'a> {
    now: Mono,
    settings: &'a Settings,
    fleet: &'a Fleet,
    is_refused: &'a dyn Fn(&MachineKind) -> bool,
    slot_pool: SlotPool<'a>,
    usage: BTreeMap<String, TeamUsage>,
    /// Tasks of each job that this pass has started, by zone, so that an array's second turn in the
    /// pass takes its first into account.
    started: BTreeMap<JobId, BTreeMap<Zone, u32>>,
    /// Room taken on each machine by the starts of this pass.
    room_taken: BTreeMap<&'a HostId, Resources>,
    preemption_searches: usize,
    /// The tasks on each machine, cached once a search has needed them.
    placed_tasks: Option<preemption::PlacedTasks<'a>>,
    /// Searches made so far for tasks to preempt on machines that have an image.
    image_searches: usize,
    /// Searches made so far for replicas that could change zone.
    exchange_searches: usize,
    plan: PlacementPlan,
}

/// Runs one placement pass over all jobs.
pub fn plan(inputs: PlacementInputs) -> PlacementPlan {
    let PlacementInputs {
        now,
        settings,
        job_table,
        fleet,
        array_task_limits,
        pending_hires,
        expected_jobs,
        is_refused,
    } = inputs;
    let guaranteed = guaranteed_jobs(settings, job_table);
    let order = placement_order(settings, job_table, &guaranteed, now);
    let mut pass = Pass {
        now,
        settings,
        fleet,
        is_refused,
        slot_pool: SlotPool::new(fleet, &pending_hires, settings.facts.workers.report_s, now),
        usage: job_table.usage.clone(),
        started: BTreeMap::new(),
        room_taken: BTreeMap::new(),
        preemption_searches: 0,
        placed_tasks: None,
        image_searches: 0,
        exchange_searches: 0,
        plan: PlacementPlan::default(),
    };
    // An array that has waited long without starting anything gets one task placed first, whatever
    // its rank: in the Dithen paper, too, one task of a kind runs first. Otherwise the largest jobs
    // of a class never begin beside a stream of others. Nothing is preempted for it.
    let mut first_tasks: BTreeMap<JobId, u32> = BTreeMap::new();
    for (id, _) in &order {
        let Some(job) = job_table.jobs.get_mut(id).filter(|job| job.is_due_first_task(now)) else {
            continue;
        };
        let task = job.pending_tasks(1, now);
        let before = pass.plan.starts.len();
        pass.place_independent(&job_table.jobs[id], &task, false, job_table, false);
        if pass.plan.starts.len() > before {
            first_tasks.extend(task.first().map(|task| (id.clone(), *task)));
        }
    }
    // Arrays get what their rates allow first, then the room that is left idle.
    let mut beyond_rate = Vec::new();
    let mut services = ServiceTurns::new(&order, job_table, &guaranteed, now);
    for (id, _) in &order {
        if pass.plan.starts.len() >= MAX_STARTS_PER_PASS {
            break;
        }
        let is_service = job_table.get(id).is_some_and(|job| job.spec.shape == Shape::Service);
        let turn = match is_service {
            true => services.next(id, &mut pass, job_table, guaranteed.contains_key(id)),
            false => Some(id.clone()),
        };
        let Some(id) = &turn else { continue };
        let Some(job) = job_table.jobs.get_mut(id) else {
            continue;
        };
        let allowed_tasks = match job.spec.shape {
            Shape::Array => {
                let by_rate = array_task_limits.get(id).copied().unwrap_or(1).max(1);
                let startable = job.startable(now);
                let allowed_now = by_rate.saturating_sub(job.assigned).min(startable);
                if allowed_now < startable {
                    beyond_rate.push((id.clone(), allowed_now));
                }
                allowed_now
            }
            _ => job.startable(now),
        };
        let mut tasks = job.pending_tasks((allowed_tasks as usize).min(MAX_STARTS_PER_PASS), now);
        tasks.retain(|task| first_tasks.get(id) != Some(task));
        let job_table = &*job_table;
        let Some(job) = job_table.get(id) else { continue };
        if job.spec.shape == Shape::Gang && job.gang == GangState::Idle {
            pass.place_gang(job, &tasks, job_table);
        } else if !matches!(job.gang, GangState::Running(_) | GangState::Clearing(_)) {
            pass.place_independent(job, &tasks, true, job_table, guaranteed.contains_key(id));
        }
    }
    for (id, allowed_now) in beyond_rate {
        if pass.plan.starts.len() >= MAX_STARTS_PER_PASS {
            break;
        }
        let Some(job) = job_table.jobs.get_mut(&id) else {
            continue;
        };
        let tasks = job.pending_tasks(MAX_STARTS_PER_PASS, now);
        let already_started = |task: &u32| first_tasks.get(&id) == Some(task);
        let rest: Vec<u32> = tasks
            .into_iter()
            .skip(allowed_now as usize)
            .filter(|task| !already_started(task))
            .collect();
        let job = &job_table.jobs[&id];
        pass.place_independent(job, &rest, false, job_table, false);
    }
    for (job, count) in expected_jobs {
        pass.keep_ready(job, *count, job_table);
    }
    pass.move_to_spot(job_table);
    pass.plan.steps += pass.slot_pool.steps + job_table.jobs.len() as u64;
    pass.plan
}

/// Whether the services on a machine would find room on other live machines that have their images.
/// Its other tasks are left to end by themselves.
pub fn services_fit_elsewhere(
    now: Mono,
    settings: &Settings,
    job_table: &JobTable,
    fleet: &Fleet,
    host: &HostId,
) -> bool {
    let Some(machine) = fleet.machines.get(host) else { return false };
    let mut slot_pool = SlotPool::new(fleet, &[], 0.0, now);
    slot_pool.exclude_live(|m| m.id == *host || m.state == MachineState::Closing);
    machine.assigned.keys().all(|task| {
        let Some(job) = job_table.get(&task.job) else { return true };
        if job.spec.shape != Shape::Service {
            return true;
        }
        let need = Need::new(settings, job);
        let mut zones = job.zones.clone();
        if let Some(count) = zones.get_mut(&machine.zone) {
            *count = count.saturating_sub(1);
        }
        let mask = slot_pool.mask(&need, &zones, None);
        let mut search = Search::default();
        let Some(slot_index) = slot_pool.best_slot(&mut search, &need, &mask, Availability::Live)
        else {
            return false;
        };
        let cached = slot_pool.cached(slot_index, &job.spec.image);
        slot_pool.occupy(&mut search, slot_index, &need);
        cached
    })
}

impl Pass<'_> {
    /// How many more tasks the team's limit allows.
    fn tasks_within_limit(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.team(&job.spec.team) else {
            return 0;
        };
        let used = self.usage.get(&job.spec.team).copied().unwrap_or_default();
        limits::tasks_allowed(team, used, &job.spec)
    }

    /// The zones of a job's tasks, including those started by this pass.
    fn zones(&self, job: &Job) -> BTreeMap<Zone, u32> {
        let mut zones = job.zones.clone();
        for (zone, count) in self.started.get(&job.spec.id).into_iter().flatten() {
            *zones.entry(zone.clone()).or_default() += count;
        }
        zones
    }

    fn count_usage(&mut self, job: &Job, tasks: f64) {
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.cpus += job.spec.cpus * tasks;
        usage.gpus += job.spec.gpus * tasks;
    }

    /// Starts a task on the live machine of a slot.
    fn start(&mut self, job: &Job, index: u32, slot_index: usize) {
        let Some(machine) = self.slot_pool.slots[slot_index].machine else { return };
        self.plan.starts.push((job.spec.id.clone(), index, machine.id.clone()));
        self.room_taken.entry(&machine.id).or_default().add(&Resources::from(&*job.spec));
        let zones = self.started.entry(job.spec.id.clone()).or_default();
        *zones.entry(machine.zone.clone()).or_default() += 1;
    }

    /// Places tasks that start independently of each other.
    fn place_independent(
        &mut self,
        job: &Job,
        tasks: &[u32],
        hire: bool,
        job_table: &JobTable,
        is_guaranteed: bool,
    ) {
        let need = Need::new(self.settings, job);
        let limit = self.tasks_within_limit(job) as usize;
        let mut picker = SlotPicker::new(self, &need, self.zones(job), None);
        let mut lacks_room = false;
        let mut nothing_to_hire = false;
        let mut urgent = None;
        let was_up = job.spec.shape == Shape::Service && job.was_up;
        for index in tasks.iter().take(limit) {
            // Without this a replica that was up waits up to a minute for its image while machines
            // that have the image run work of lower rank.
            if was_up && let Some(slot_index) = picker.peek_live(self, &need) {
                let fetch_s = self.slot_pool.fetch_s(slot_index, &need);
                if fetch_s > MAX_DOWN_REPLICA_FETCH_S
                    && (self.make_room_at_image(&need, job_table)
                        || self.await_image_room(&need, fetch_s))
                {
                    break;
                }
            }
            if let Some(slot_index) = picker.take_live(self, &need) {
                self.start(job, *index, slot_index);
                continue;
            }
            if !hire {
                break;
            }
            lacks_room = true;
            let urgent = *urgent.get_or_insert_with(|| {
                job.spec.shape != Shape::Array || is_guaranteed || self.starved(&need)
            });
            if !picker.take_pending(self, &need, urgent) {
                nothing_to_hire = true;
                break;
            }
        }
        if lacks_room && !(was_up && self.make_room_at_image(&need, job_table)) {
            let room_made = self.make_room(&need, job_table, is_guaranteed, &[None]);
            if !room_made && nothing_to_hire {
                self.exchange_replica(&need, job_table);
            }
        }
    }

    /// Whether an array runs nothing and has no prospect of a machine: none that it may use exists,
    /// or it has waited long. Without this the target in cores can be met by machines of the wrong
    /// zone, type or kind, or by ones on which the job has failed, and the job waits until they are
    /// returned.
    fn starved(&self, need: &Need) -> bool {
        let job = need.job;
        job.assigned == 0
            && (self.now.since(job.released).as_secs() > STARVATION_S
                || !job.confined_to_failed_hosts()
                    && !self
                        .slot_pool
                        .any_usable(need, &self.slot_pool.mask(need, &job.zones, None)))
    }

    /// The cheapest kind of machine that a task may use and that was not refused lately.
    fn cheapest_kind(&self, need: &Need, mask: &[bool]) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (kind_index, (flavor, zone, spot)) in self.slot_pool.kinds.iter().enumerate() {
            let capacity = Resources::from(*flavor);
            if !mask[kind_index] || !capacity.fits(&need.room) || !flavor.zones.contains(zone) {
                continue;
            }
            let kind =
                MachineKind { flavor: flavor.label.clone(), zone: zone.clone(), spot: *spot };
            if (self.is_refused)(&kind) {
                continue;
            }
            let cost =
                self.slot_pool.weighted_price(flavor, zone, *spot) * need.room.share_of(&capacity);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, kind_index));
            }
        }
        best.map(|(_, kind_index)| kind_index)
    }
}
