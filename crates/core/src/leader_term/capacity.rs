//! The capacity control loop: service rates, the target core count N*, and the machines hired and released to follow it.

use super::*;
use placement::Headroom;

/// Capacity that a job requests from the control loop.
struct JobDemand<'a> {
    job: &'a Job,
    /// Core equivalents of a task.
    task_cores: f64,
    /// Remaining tasks that may run now.
    tasks_left: u32,
    /// Requested service rate in cores.
    rate: f64,
    /// Whether the job counts towards the floor instead of being served at a rate.
    in_floor: bool,
}

/// Cuts the demands of jobs to what their teams' limits allow to run at once, in the order in which they would run;
/// returns the remaining headroom. Without this cut, machines would be hired for work that may not run: the Dithen paper
/// (Doyle et al., IC2E 2016) sums s = r/d of all jobs and has no team limits.
fn apply_team_limits<'s>(
    settings: &'s Settings,
    job_table: &JobTable,
    guaranteed: &BTreeMap<JobId, ()>,
    demands: &mut BTreeMap<&JobId, JobDemand>,
    now: Mono,
) -> Headroom<'s> {
    let mut headroom = Headroom::new(settings, job_table);
    if headroom.is_unlimited() {
        return headroom;
    }
    for (id, _) in placement::placement_order(settings, job_table, guaranteed, now) {
        let Some(demand) = demands.get_mut(&id) else { continue };
        let spec = &demand.job.spec;
        let Some(max_tasks) = headroom.tasks(spec) else { continue };
        let requested_tasks = (demand.rate / demand.task_cores).ceil() as u32;
        let additional = requested_tasks.saturating_sub(demand.job.assigned);
        let granted = match spec.shape {
            // A gang runs as a whole or not at all.
            Shape::Gang if max_tasks < additional => 0,
            _ => additional.min(max_tasks),
        };
        headroom.subtract(spec, granted);
        if granted < additional {
            demand.rate = demand.task_cores * f64::from(demand.job.assigned + granted);
        }
    }
    headroom
}

impl LeaderTerm {
    /// Cores that a task counts as, by its dominant resource: a task that takes a quarter of a
    /// machine's GPUs counts as a quarter of its cores.
    pub(super) fn core_equivalents(&self, spec: &JobSpec) -> f64 {
        let need = Resources::from(spec);
        self.fleet
            .catalog
            .iter()
            .flat_map(|c| c.flavors.iter())
            .filter(|f| spec.flavors.as_ref().is_none_or(|l| l.contains(&f.label)))
            .filter(|f| Resources::from(*f).fits(&need))
            .map(|f| need.share_of(&Resources::from(f)) * f.cpus)
            .reduce(f64::min)
            .unwrap_or(spec.cpus)
    }

    pub(super) fn class_bias(&self, spec: &JobSpec) -> ClassBias {
        self.class_biases.get(&spec.class).copied().unwrap_or_default()
    }

    /// Expected cost of a task: as measured on the job itself, else the owner's estimate corrected by
    /// the bias of its class.
    pub(super) fn expected_cost(&self, job: &Job, task_cores: f64) -> Option<f64> {
        job.cost.cost().or_else(|| {
            let bias = self.class_bias(&job.spec);
            (job.spec.estimate_s > 0.0).then(|| task_cores * job.spec.estimate_s * bias.mean)
        })
    }

    /// Service rate of an array job, in cores.
    pub(super) fn array_rate(
        &self,
        settings: &Settings,
        job: &Job,
        left: u32,
        task_cores: f64,
        tick_s: f64,
        now: Mono,
    ) -> f64 {
        let left = f64::from(left);
        let max_cores = task_cores * left;
        let Some(task_cost) = self.expected_cost(job, task_cores) else {
            return UNMEASURED_CAP_CORES.min(max_cores);
        };
        let deadline = placement::deadline(settings, job);
        let left_s =
            (deadline.0 as f64 - now.0 as f64) / 1000.0 - self.overhead_s(settings, &job.spec);
        // Only time in which whole tasks fit counts. The end of it, in which the longest tasks still
        // run, does not: a task that starts then often finishes late.
        let task_s = task_cost / task_cores;
        let longest_s = self.class_bias(&job.spec).recent_max * job.spec.estimate_s;
        let tail_s = TAIL_WEIGHT * (longest_s - task_s).max(0.0);
        let whole_runs = ((left_s - tail_s) / task_s).floor().max(1.0);
        Demand { work: left * task_cost, left_s: whole_runs * task_s, max_cores }.rate(tick_s)
    }

    /// Time that a task needs besides its run: a boot, reports before and after it, and the image fetch.
    pub(super) fn overhead_s(&self, settings: &Settings, spec: &JobSpec) -> f64 {
        let boot_s = self.fleet.min_boot_s().unwrap_or(0.0);
        self.stage_overhead_s(settings, spec) + boot_s
    }

    /// Passes ranks and deadlines from waiting jobs to their dependencies, which must end earlier by the waiting job's
    /// expected run time and overhead: the filter and the control loop treat a pipeline as work with one deadline.
    fn inherit_urgency(&mut self, settings: &Settings) {
        let mut job_table = std::mem::take(&mut self.job_table);
        job_table.inherit(|job| {
            let bias = self.class_bias(&job.spec).recent_max;
            let overhead_s = self.stage_overhead_s(settings, &job.spec);
            placement::latest_release(job, bias, overhead_s)
        });
        self.job_table = job_table;
    }

    /// Time that a job needs besides its run if machines are up when it is released: a report before and after it, and
    /// the image fetch.
    fn stage_overhead_s(&self, settings: &Settings, spec: &JobSpec) -> f64 {
        2.0 * settings.facts.workers.report_s + self.fetch_s(spec)
    }

    fn fetch_s(&self, spec: &JobSpec) -> f64 {
        let flavors = self.fleet.catalog.iter().flat_map(|c| c.flavors.iter());
        let fetch = flavors.map(|f| f.fetch_gb_per_s).fold(0.0, f64::max);
        if fetch > 0.0 { spec.image_gb / fetch } else { 0.0 }
    }

    /// Returns the target N*, the floor of services, gangs and guarantees, the demands of arrays, and the headroom that
    /// team limits leave.
    pub(super) fn demand<'s>(
        &mut self,
        settings: &'s Settings,
        tick_s: f64,
        now: Mono,
    ) -> (f64, f64, Vec<(JobId, ArrayDemand)>, Headroom<'s>) {
        self.inherit_urgency(settings);
        let guaranteed = placement::guaranteed_jobs(settings, &self.job_table);
        for job in self.job_table.jobs.values_mut() {
            if let Some(measured) = job.measured.take() {
                job.cost.update(measured);
            }
        }
        let mut demands: BTreeMap<&JobId, JobDemand> = BTreeMap::new();
        for (id, job) in self.job_table.jobs.iter().filter(|(_, j)| j.state == JobState::Open) {
            let task_cores = self.core_equivalents(&job.spec).max(1e-3);
            // Tasks that wait for a retry claim no capacity.
            let tasks_left = match job.spec.shape {
                Shape::Array => job.assigned + job.startable(now),
                _ => job.spec.tasks - job.done,
            };
            let full = task_cores * f64::from(tasks_left);
            let in_floor = job.spec.shape != Shape::Array || guaranteed.contains_key(id);
            let rate = if in_floor {
                full
            } else {
                self.array_rate(settings, job, tasks_left, task_cores, tick_s, now)
            };
            demands.insert(id, JobDemand { job, task_cores, tasks_left, rate, in_floor });
        }
        let headroom = apply_team_limits(settings, &self.job_table, &guaranteed, &mut demands, now);
        let (mut target, mut floor) = (0.0, 0.0);
        let mut array_demands = Vec::new();
        for (id, demand) in demands {
            target += demand.rate;
            if demand.in_floor {
                floor += demand.rate;
            }
            if demand.job.spec.shape == Shape::Array {
                let array_demand = ArrayDemand {
                    rate: demand.rate,
                    task_cores: demand.task_cores,
                    tasks_left: demand.tasks_left,
                };
                array_demands.push((id.clone(), array_demand));
            }
        }
        // Capacity kept ready for expected jobs is part of the floor and so of the target.
        for (job, count) in &self.expected_jobs {
            let ready = self.core_equivalents(&job.spec) * f64::from(job.spec.tasks * count);
            floor += ready;
            target += ready;
        }
        (target, floor, array_demands, headroom)
    }

    /// Whether a machine is empty and unreachable because its zone is lost.
    fn is_empty_and_unreachable(&self, m: &Machine) -> bool {
        m.state == MachineState::Silent && m.is_empty() && self.fleet.zones.is_lost(&m.zone)
    }

    fn cores_where(&self, predicate: impl Fn(&Machine) -> bool) -> f64 {
        let machines = self.fleet.machines.values().filter(|m| predicate(m));
        machines.filter_map(|m| self.fleet.flavor(&m.flavor)).map(|f| f.cpus).sum()
    }

    /// Rented cores that can run work.
    pub(super) fn rented_cores(&self) -> f64 {
        self.cores_where(|m| {
            m.state != MachineState::Releasing && !self.is_empty_and_unreachable(m)
        })
    }

    /// One period of the control loop.
    pub(super) fn scale(
        &mut self,
        settings: &Settings,
        ops: &OperatorSettings,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        let (target, floor, array_demands, headroom) =
            self.demand(settings, ops.tick().as_secs(), now);
        self.expected_jobs = {
            let first_arrival = self.job_table.arrivals.iter().map(|(at, _)| *at).min();
            let since = first_arrival.unwrap_or(self.started_at).min(self.started_at);
            placement::expected_jobs(settings, &self.job_table, &self.fleet, now, since, &headroom)
        };
        let pending_cores: f64 = cloud
            .pending_hires()
            .filter_map(|(k, n)| Some(self.fleet.flavor(&k.flavor)?.cpus * f64::from(n)))
            .sum();
        let rented = self.rented_cores() + pending_cores;
        let factor = scaling::rate_factor(target, rented, ops.beta);
        let (ids, array_demands): (Vec<JobId>, Vec<ArrayDemand>) =
            array_demands.into_iter().unzip();
        let tasks = |(array_demand, share): (&ArrayDemand, f64)| {
            (share / array_demand.task_cores).ceil().max(1.0) as u32
        };
        let shares = scaling::scaled_rates(&array_demands, factor);
        self.task_limits =
            ids.into_iter().zip(array_demands.iter().zip(shares).map(tasks)).collect();
        let bounds = CoreBounds {
            min: floor,
            max: if ops.max_cores > 0.0 { ops.max_cores } else { f64::MAX },
        };
        // Machines are larger than a step: the part of earlier steps that no whole machine covers yet
        // is carried from tick to tick, but not beyond the target.
        let carried = if rented <= target {
            self.planned_cores.max(rented)
        } else {
            self.planned_cores.min(rented)
        };
        // β is the factor per cut period, spread evenly over its ticks.
        let beta = ops.beta.powf(ops.tick().as_secs() / DECREASE_PERIOD_MS.as_secs());
        let next = scaling::aimd_step(carried, target, bounds, beta);
        self.planned_cores = if rented <= target { next } else { next.max(target.min(rented)) };
        log::debug!(
            "scaling: N* {target:.0}, floor {floor:.0}, rented {rented:.0}, planned {:.0}",
            self.planned_cores
        );
        let plan = self.run_placement(settings, cloud, now);
        if log::log_enabled!(log::Level::Debug) {
            self.log_fleet(settings, &plan);
        }
        self.release_idle(&plan, ops, cloud, now);
        self.consolidate(settings, &plan, cloud, now);
        if !self.may_hire(now) {
            return;
        }
        let unreachable = self.cores_where(|m| self.is_empty_and_unreachable(m));
        self.hire(plan, rented, bounds.max - unreachable, cloud);
    }

    /// Logs one line on the capacity of the fleet, and one for each team that has a limit.
    pub(super) fn log_fleet(&self, settings: &Settings, plan: &PlacementPlan) {
        let mut by_state: BTreeMap<String, (u32, f64, f64)> = BTreeMap::new();
        for m in self.fleet.machines.values() {
            let room = self.fleet.free_resources(m);
            let kind = if m.spot { "spot" } else { "ordinary" };
            let entry = by_state.entry(format!("{:?} {kind}", m.state)).or_default();
            *entry = (entry.0 + 1, entry.1 + room.cpus, entry.2 + room.gpus);
        }
        // Shows why a job of such a team waits although machines have room.
        for team in settings.facts.teams.iter().filter(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0) {
            let used = self.job_table.usage.get(&team.name).copied().unwrap_or_default();
            let waits =
                |j: &&Job| j.spec.team == team.name && j.state == JobState::Open && j.pending() > 0;
            let waiting = self.job_table.jobs.values().filter(waits).count();
            log::debug!(
                "team {}: {} of {} cores, {} of {} GPUs taken (0: no limit); {waiting} jobs wait",
                team.name,
                used.cpus,
                team.cpus_max,
                used.gpus,
                team.gpus_max
            );
        }
        let expected: u32 = self.expected_jobs.iter().map(|(job, n)| job.spec.tasks * n).sum();
        log::debug!(
            "fleet: machines, free cores and GPUs {by_state:?}; ready for {expected} on {}; requested {}",
            plan.ready_machines.len(),
            plan.hires.len()
        );
    }

    /// Hires the machines that the placement pass requested: those for services, gangs and guarantees
    /// in any case, those for arrays up to the planned cores.
    pub(super) fn hire(
        &mut self,
        plan: PlacementPlan,
        rented: f64,
        max_cores: f64,
        cloud: &mut CloudClient,
    ) {
        let mut cores = rented;
        let mut counts: BTreeMap<MachineKind, u32> = BTreeMap::new();
        for (kind, urgent) in plan.hires {
            let Some(flavor) = self.fleet.flavor(&kind.flavor) else {
                continue;
            };
            let allowed = urgent || self.planned_cores >= cores + flavor.cpus / 2.0;
            if allowed && cores + flavor.cpus <= max_cores.max(flavor.cpus) {
                cores += flavor.cpus;
                *counts.entry(kind).or_default() += 1;
            }
        }
        let mut probed_zones: BTreeSet<Zone> = BTreeSet::new();
        for (kind, number) in counts {
            match self.fleet.zones.hire_policy(&kind.zone) {
                HirePolicy::OneAtATime if probed_zones.insert(kind.zone.clone()) => {
                    cloud.hire(&kind, 1)
                }
                HirePolicy::OneAtATime => {}
                _ => cloud.hire(&kind, number),
            }
        }
    }

    /// Releases idle machines, the most expensive first, while more cores are rented than planned.
    pub(super) fn release_idle(
        &mut self,
        plan: &PlacementPlan,
        ops: &OperatorSettings,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        let keep = Millis(ops.idle_keep_ms);
        let mut rented = self.rented_cores();
        let mut idle: Vec<(f64, f64, HostId)> = self
            .fleet
            .machines
            .values()
            .filter(|m| {
                m.state == MachineState::Live && m.is_empty() && now.since(m.idle_since) >= keep
            })
            .filter(|m| now.since(m.created_at) >= MIN_CHARGE_MS)
            .filter(|m| !plan.ready_machines.contains(&m.id))
            .filter(|m| m.reserved_for(now).is_none())
            .filter_map(|m| {
                let f = self.fleet.flavor(&m.flavor)?;
                Some((f.hourly_price(m.spot) / f.cpus.max(1.0), f.cpus, m.id.clone()))
            })
            .collect();
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, cpus, host) in idle {
            if rented - cpus < self.planned_cores {
                continue;
            }
            rented -= cpus;
            if let Some(m) = self.fleet.machines.get_mut(&host) {
                m.set_state(MachineState::Releasing, "idle");
                cloud.release(&host);
            }
        }
    }

    /// While more cores are rented than planned, empties the least used machine: replicas of services
    /// are moved one at a time, other tasks run to their end.
    pub(super) fn consolidate(
        &mut self,
        settings: &Settings,
        plan: &PlacementPlan,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        for host in &plan.ready_machines {
            if let Some(m) =
                self.fleet.machines.get_mut(host).filter(|m| m.state == MachineState::Closing)
            {
                m.set_state(MachineState::Live, "kept ready");
            }
        }
        let cpus = |m: &Machine| self.fleet.flavor(&m.flavor).map_or(0.0, |f| f.cpus);
        let closing: Vec<HostId> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.state == MachineState::Closing)
            .map(|m| m.id.clone())
            .collect();
        let closing_cpus: f64 =
            closing.iter().filter_map(|h| self.fleet.machines.get(h)).map(cpus).sum();
        let remaining_cores = self.rented_cores() - closing_cpus;
        if remaining_cores < self.planned_cores {
            if let Some(m) = closing.first().and_then(|h| self.fleet.machines.get_mut(h)) {
                m.set_state(MachineState::Live, "needed again");
                self.placement_needed = true;
            }
            return;
        }
        let has_room_elsewhere = |host: &HostId| {
            placement::services_fit_elsewhere(now, settings, &self.job_table, &self.fleet, host)
        };
        let mut least_used: Vec<(f64, HostId)> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.state == MachineState::Live && !m.is_empty() && m.strays.is_empty())
            .filter(|m| !plan.ready_machines.contains(&m.id))
            .filter(|m| m.reserved_for(now).is_none())
            .filter(|m| remaining_cores - cpus(m) >= self.planned_cores)
            .filter(|_| closing.len() < MAX_CLOSING_MACHINES)
            .map(|m| (m.used.share_of(&self.fleet.capacity_of(m)), m.id.clone()))
            .collect();
        least_used.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Each check scans the whole fleet, so only a few machines are checked.
        let least_used = least_used
            .into_iter()
            .map(|(_, host)| host)
            .take(EMPTYING_CHECKS_PER_TICK)
            .find(|host| has_room_elsewhere(host));
        let task_to_move = closing
            .iter()
            .filter(|_| now.since(self.last_service_move) >= MIN_MOVE_INTERVAL_MS)
            .filter(|host| has_room_elsewhere(host))
            .flat_map(|host| self.fleet.machines[host].assigned.keys())
            .find(|task| {
                self.job_table.get(&task.job).is_some_and(|j| {
                    j.spec.shape == Shape::Service
                        && j.assignment(task.index)
                            .is_some_and(|h| h.running_since.is_some() && h.stop.is_none())
                })
            })
            .cloned();
        if let Some(m) = least_used.and_then(|host| self.fleet.machines.get_mut(&host)) {
            m.set_state(MachineState::Closing, "more cores are rented than planned");
        }
        if let Some(task) = task_to_move {
            self.last_service_move = now;
            self.stop(&task, StopReason::Moved, 0.0, now);
        }
        for host in closing {
            if let Some(m) = self.fleet.machines.get_mut(&host).filter(|m| m.is_empty()) {
                m.set_state(MachineState::Releasing, "emptied");
                cloud.release(&host);
            }
        }
    }
}
