//! Keeps room ready for jobs that are likely to arrive, and moves gangs to spot machines in calm
//! times.

use super::*;
use oatloom_protocol::wire::JobSpec;

/// Jobs that are likely to arrive before a machine hired for them would be up, of classes that
/// users want started sooner than that. Extrapolates the arrival rate of the last minutes, and
/// leaves out teams whose limit would not let the jobs start.
pub fn expected_jobs(
    settings: &Settings,
    job_table: &JobTable,
    fleet: &Fleet,
    now: Mono,
    since: Mono,
    headroom: &Headroom,
) -> Vec<(Job, u32)> {
    let Some(boot_s) = fleet.min_boot_s() else { return Vec::new() };
    let window_s = now.since(since).as_secs().min(ARRIVAL_WINDOW_S);
    if !boot_s.is_finite() || window_s < boot_s {
        return Vec::new();
    }
    let mut classes: BTreeMap<&str, (u32, u32, u32, &JobSpec)> = BTreeMap::new();
    let mut buckets: BTreeMap<(&str, u64), u32> = BTreeMap::new();
    let whole = |spec: &JobSpec| if spec.shape == Shape::Gang { spec.tasks } else { 1 };
    let may_start =
        |spec: &JobSpec| headroom.tasks(spec).is_none_or(|max_tasks| max_tasks >= whole(spec));
    for (at, spec) in job_table.arrivals.iter().filter(|(_, spec)| may_start(spec)) {
        // Counts only a few arrivals of a class per time bucket: an initial load, or the jobs that
        // a new leader finds, must not be taken for the rate of further arrivals.
        let bucket = buckets.entry((&spec.class, at.0 / ARRIVAL_BUCKET_MS.0)).or_default();
        *bucket += 1;
        if now.since(*at).as_secs() <= window_s && *bucket <= MAX_ARRIVALS_PER_BUCKET {
            let entry = classes.entry(&spec.class).or_insert((0, 0, 0, spec));
            *entry = (entry.0 + 1, entry.1 + spec.tasks, entry.2.max(spec.tasks), spec);
        }
    }
    let mut list = Vec::new();
    for (class, (jobs, tasks, largest, spec)) in classes {
        let Some(within) = objective_s(settings, class, "wait") else { continue };
        if within > boot_s * MAX_BOOT_FACTOR + settings.facts.workers.report_s {
            continue;
        }
        let mean = f64::from(jobs) / window_s * boot_s * MAX_BOOT_FACTOR;
        let jobs_ready = READY_MEAN_FACTOR * mean + READY_DEVIATIONS * mean.sqrt();
        let count = jobs_ready * f64::from(tasks) / f64::from(jobs);
        // A gang needs its room in one piece.
        let group = if spec.shape == Shape::Gang { largest } else { 1 };
        let groups = (count / f64::from(group)).round() as u32;
        list.push((Job::forecast(spec, group, now), groups));
    }
    list.sort_by_key(|(job, _)| std::cmp::Reverse(job.spec.rank));
    list
}

impl Pass<'_> {
    /// Keeps room for jobs that are likely to arrive: where work of lower rank could be preempted,
    /// on live machines, on booting ones, or on further ones to be hired.
    pub(super) fn keep_ready(&mut self, job: &Job, count: u32, job_table: &JobTable) {
        let need = Need::new(self.settings, job);
        let tasks = job.spec.tasks as usize;
        let sites = self.candidate_sites(job);
        // Keeps no machines for tasks that the team's limit would not allow.
        let count = (count as usize).min(self.tasks_within_limit(job) as usize / tasks);
        let preemptible_places = self.preemptible_places(&need, count * tasks, job_table);
        let preemptible_at = |site: &Option<Zone>| match site {
            Some(zone) => preemptible_places.get(zone).copied().unwrap_or(0),
            None => preemptible_places.values().sum(),
        };
        let preemptible: usize = sites.iter().map(|site| preemptible_at(site) / tasks).sum();
        // Spot machines first, hired if need be: otherwise expensive machines are kept for good
        // because they are already there.
        let kinds = if job.spec.spot { vec![Some(true), None] } else { vec![None] };
        for _ in preemptible..count {
            let room = kinds.iter().find_map(|spot| {
                self.cheapest_site(&need, tasks, &sites, *spot).map(|s| (s, *spot))
            });
            let Some((site, spot)) = room else { break };
            let savepoint = self.slot_pool.savepoint();
            self.place_gang_later(&need, tasks, site.as_ref(), spot);
            self.plan
                .ready_machines
                .extend(self.slot_pool.live_machines_since(savepoint).map(|m| m.id.clone()));
        }
    }

    /// If the pass starts and hires nothing and searched for nothing to preempt, moves the gang that
    /// saves most to spot machines, or hires those for it. In a burst gangs start wherever there is
    /// room, which keeps on-demand machines rented long afterwards.
    pub(super) fn move_to_spot(&mut self, job_table: &JobTable) {
        if !self.plan.hires.is_empty()
            || self.preemption_searches > 0
            || !self.plan.starts.is_empty()
        {
            return;
        }
        let saved_cost = |job: &Job| -> Option<f64> {
            let spec = &job.spec;
            let movable = spec.shape == Shape::Gang
                && spec.spot
                && spec.checkpoint_s > 0.0
                && job.state == JobState::Open
                && matches!(job.gang, GangState::Running(_))
                && job.assigned == spec.tasks;
            let ran =
                |h: &TaskAssignment| h.running_since.map_or(0.0, |t| self.now.since(t).as_secs());
            let settled = |h: &TaskAssignment| h.stop.is_none() && ran(h) >= MIN_RUN_BEFORE_MOVE_S;
            if !movable || !job.assignments().all(|(_, h)| settled(h)) {
                return None;
            }
            let on_demand =
                |h: &TaskAssignment| self.fleet.machines.get(&h.host).is_some_and(|m| !m.spot);
            let on_demand = job.assignments().filter(|(_, h)| on_demand(h)).count();
            let longest = job.assignments().map(|(_, h)| ran(h)).fold(0.0, f64::max);
            let left_s = spec.estimate_s - longest - spec.save_s;
            (on_demand > 0 && left_s >= MIN_REMAINING_RUN_FOR_MOVE_S)
                .then_some(on_demand as f64 * left_s)
        };
        let jobs = job_table.jobs.values().filter_map(|job| Some((saved_cost(job)?, job)));
        let best = jobs.max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, job)) = best else { return };
        self.plan.steps += job_table.jobs.len() as u64;
        let need = Need::new(self.settings, job);
        let tasks = job.spec.tasks as usize;
        let sites = self.candidate_sites(job);
        let fetch_s = |pass: &mut Self, site: Option<&Zone>| {
            pass.spot_gang_slots(&need, tasks, site).map(|(_, fetch_s)| fetch_s)
        };
        let site = self.best_site(&need, &sites, fetch_s);
        match site.and_then(|site| self.spot_gang_slots(&need, tasks, site.as_ref())) {
            Some((found, _)) => {
                for slot_index in found {
                    if let Some(m) = self.slot_pool.slots[slot_index].machine {
                        self.reserve(m, job);
                    }
                }
                self.plan.moves_to_spot.push(job.spec.id.clone());
            }
            None => {
                // Computed as if the gang ran nowhere yet: it may go to another zone.
                let unplaced = Job::forecast(&job.spec, job.spec.tasks, job.submitted);
                let need = Need::new(self.settings, &unplaced);
                if let Some(site) = self.cheapest_site(&need, tasks, &sites, Some(true)) {
                    self.place_gang_later(&need, tasks, site.as_ref(), Some(true));
                }
            }
        }
    }

    /// Live spot slots for all tasks of a gang, wherever it runs now, and its longest image fetch
    /// there, if that is at most [`MAX_MOVE_FETCH_S`].
    pub(super) fn spot_gang_slots(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
    ) -> Option<(Vec<usize>, f64)> {
        let savepoint = self.savepoint(need.job);
        let mut picker = SlotPicker::new(self, need, BTreeMap::new(), site);
        picker.restrict_spot(self, Some(true));
        let found: Vec<usize> = (0..count).map_while(|_| picker.take_live(self, need)).collect();
        let machines =
            found.iter().filter_map(|slot_index| self.slot_pool.slots[*slot_index].machine);
        let fetch_s = machines.map(|m| self.fleet.fetch_s(m, &need.job.spec)).fold(0.0, f64::max);
        if found.len() == count && fetch_s <= MAX_MOVE_FETCH_S {
            return Some((found, fetch_s));
        }
        self.roll_back(need.job, savepoint);
        None
    }
}
