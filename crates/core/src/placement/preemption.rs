//! Preempts tasks for a job that cannot wait for a machine to boot, where the least work is lost.

use super::*;
use oatloom_protocol::wire::Rank;
use std::sync::Arc;

/// A task on a machine as seen by a search for room. Built once per pass, since each search goes
/// through all tasks: looking them up by name in the job table took a quarter of the time of a
/// leader with 4,000 machines.
#[derive(Debug)]
pub(super) struct PlacedTask<'m> {
    task: &'m TaskId,
    room: &'m Resources,
    spec: Arc<JobSpec>,
    rank: Rank,
    /// Whether it is being stopped already.
    stopping: bool,
    /// Work lost if it is stopped, in core-seconds.
    loss: f64,
}

/// The tasks on each machine, in the order of the fleet's machines.
pub(super) type PlacedTasks<'m> = Vec<Vec<PlacedTask<'m>>>;

/// Room for one task that a machine could provide, with the work lost and the tasks to stop.
pub(super) struct PreemptionOption<'m> {
    cost: f64,
    machine: &'m Machine,
    victims: Vec<TaskId>,
}

/// Collects the tasks on all machines for the searches of a pass.
fn placed_tasks<'m>(fleet: &'m Fleet, job_table: &JobTable, now: Mono) -> PlacedTasks<'m> {
    let placed_task = |(task, room): (&'m TaskId, &'m Resources)| {
        let job = job_table.get(&task.job)?;
        let assignment = job.assignment(task.index)?;
        let ran = assignment.running_since.map_or(0.0, |t| now.since(t).as_secs());
        let lost = if job.spec.checkpoint_s > 0.0 { job.spec.save_s } else { ran };
        let loss = lost * room.cpus.max(0.1);
        let (spec, stopping) = (job.spec.clone(), assignment.stop.is_some());
        Some(PlacedTask { task, room, spec, rank: job.rank(), stopping, loss })
    };
    fleet.machines.values().map(|m| m.assigned.iter().filter_map(placed_task).collect()).collect()
}

impl Pass<'_> {
    /// Whether a machine that has to boot first would be up in time for the job's objective.
    pub(super) fn can_wait_for_boot(&self, job: &Job) -> bool {
        let Some(within) = objective_s(self.settings, &job.spec.class, "wait") else {
            return false;
        };
        let left = within - self.now.since(job.released).as_secs();
        let boot = self
            .fleet
            .catalog
            .iter()
            .flat_map(|c| c.flavors.iter())
            .map(|f| f.boot_s * 1.5)
            .fold(0.0, f64::max);
        left > boot
    }

    /// Reserves a machine for a job.
    pub(super) fn reserve(&mut self, machine: &Machine, job: &Job) {
        let reservation = (machine.id.clone(), job.spec.id.clone());
        if !self.plan.reservations.contains(&reservation) {
            self.plan.reservations.push(reservation);
        }
    }

    /// Stops tasks of lower rank, or, for a job within its guarantee, of teams beyond theirs, where
    /// the least work is lost: on one machine per pass for a job whose tasks start independently,
    /// for a gang on as many as it needs at one of its sites. Returns whether room is being made.
    pub(super) fn make_room(
        &mut self,
        need: &Need,
        job_table: &JobTable,
        is_guaranteed: bool,
        sites: &[Option<Zone>],
    ) -> bool {
        let job = need.job;
        if self.can_wait_for_boot(job) {
            return false;
        }
        let id = &job.spec.id;
        let has_reservation =
            self.slot_pool.has_reserved(id) || self.plan.reservations.iter().any(|(_, j)| j == id);
        // A search goes through every task on every machine; jobs beyond the limit are searched for
        // in the next pass.
        if has_reservation || self.preemption_searches >= MAX_PREEMPTION_SEARCHES {
            return has_reservation;
        }
        self.preemption_searches += 1;
        self.plan.steps += PREEMPTION_SEARCH_STEPS * self.fleet.machines.len() as u64;
        self.preempt_cheapest(need, job_table, is_guaranteed, sites, |_| true)
    }

    /// Stops tasks of lower rank on a machine that has the image of a replica that is down. Returns
    /// whether room is being made.
    pub(super) fn make_room_at_image(&mut self, need: &Need, job_table: &JobTable) -> bool {
        let (id, image) = (&need.job.spec.id, &need.job.spec.image);
        if self.plan.reservations.iter().any(|(_, j)| j == id) {
            return true;
        }
        if self.slot_pool.has_reserved(id) {
            // A machine may have been reserved while none with the image was available; waiting for
            // that one would not help.
            let has_reservation = |m: &Machine| m.reserved_for(self.now) == Some(id);
            return self.fleet.machines.values().any(|m| has_reservation(m) && m.has_image(image));
        }
        if self.image_searches >= MAX_IMAGE_SEARCHES {
            return false;
        }
        self.image_searches += 1;
        self.plan.steps += self.fleet.machines.len() as u64;
        self.preempt_cheapest(need, job_table, false, &[None], |m| m.has_image(image))
    }

    /// Whether a replica that is down should wait for room where its image is instead of fetching
    /// it: tasks end there as anywhere, and the replica is first to get their room. The wait is
    /// limited to a part of the fetch time.
    pub(super) fn await_image_room(&mut self, need: &Need, fetch_s: f64) -> bool {
        let job = need.job;
        let wait_s = MAX_DOWN_REPLICA_WAIT_S.min(fetch_s * MAX_DOWN_REPLICA_WAIT_SHARE);
        if self.now.since(job.lost_at).as_secs() >= wait_s {
            return false;
        }
        self.plan.steps += self.fleet.machines.len() as u64;
        self.fleet.machines.values().any(|m| {
            m.has_image(&job.spec.image)
                && accepts_tasks(self.fleet, m, self.now)
                && need.allows(&m.flavor, &m.zone, m.spot)
                && need.allows_zone(&m.zone, &job.zones)
        })
    }

    /// Stops the tasks that cost least on machines that satisfy `selects`, and reserves those
    /// machines for the job.
    fn preempt_cheapest(
        &mut self,
        need: &Need,
        job_table: &JobTable,
        is_guaranteed: bool,
        sites: &[Option<Zone>],
        selects: impl Fn(&Machine) -> bool,
    ) -> bool {
        let job = need.job;
        let count = if job.spec.shape == Shape::Gang { job.spec.tasks as usize } else { 1 };
        let placed_tasks = self
            .placed_tasks
            .take()
            .unwrap_or_else(|| placed_tasks(self.fleet, job_table, self.now));
        let started: BTreeSet<&HostId> = self.plan.starts.iter().map(|(_, _, h)| h).collect();
        let reserved: BTreeSet<&HostId> = self.plan.reservations.iter().map(|(h, _)| h).collect();
        let teams_over_guarantee = is_guaranteed.then(|| self.teams_over_guarantee(job_table));
        let mut options: Vec<PreemptionOption> = Vec::new();
        for (m, placed_tasks) in self.fleet.machines.values().zip(&placed_tasks) {
            if !selects(m)
                || m.reserved_for(self.now).is_some()
                || !need.allows(&m.flavor, &m.zone, m.spot)
                || !accepts_tasks(self.fleet, m, self.now)
                || reserved.contains(&m.id)
                || count > 1 && started.contains(&m.id)
                || job.avoids(&m.id)
                || !need.allows_zone(&m.zone, &job.zones)
                || !self.fleet.capacity_of(m).fits(&need.room)
            {
                continue;
            }
            self.preemption_options(
                m,
                placed_tasks,
                need,
                teams_over_guarantee.as_ref(),
                count,
                &mut options,
            );
        }
        self.placed_tasks = Some(placed_tasks);
        options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut best: Option<(f64, Vec<&PreemptionOption>)> = None;
        for site in sites {
            // Does not clear machines that the spread rule forbids to use together.
            let mut zones = job.zones.clone();
            let mut fits = |option: &&PreemptionOption| {
                let zone = &option.machine.zone;
                let open =
                    site.as_ref().is_none_or(|z| z == zone) && need.allows_zone(zone, &zones);
                if open {
                    *zones.entry(zone.clone()).or_default() += 1;
                }
                open
            };
            let found: Vec<&PreemptionOption> =
                options.iter().filter(|option| fits(option)).take(count).collect();
            let cost = found.iter().map(|option| option.cost).sum();
            if found.len() == count && best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, found));
            }
        }
        let Some((_, found)) = best else { return false };
        for option in found {
            for task in &option.victims {
                let grace_s = job_table.get(&task.job).map_or(0.0, |j| j.spec.save_s);
                self.plan.stops.push((task.clone(), StopReason::Preempted, grace_s));
            }
            self.reserve(option.machine, job);
        }
        true
    }

    /// Collects what a machine could provide for up to `max_tasks` tasks, one after another: the tasks
    /// to stop for each, and the work lost.
    pub(super) fn preemption_options<'m>(
        &self,
        m: &'m Machine,
        placed_tasks: &[PlacedTask<'m>],
        need: &Need,
        teams_over_guarantee: Option<&BTreeSet<&str>>,
        max_tasks: usize,
        options: &mut Vec<PreemptionOption<'m>>,
    ) {
        // Room that this pass has given away already does not count: a machine reserved for it was
        // kept until the reservation expired while the job waited in vain.
        let mut free = self.fleet.free_resources(m);
        if let Some(taken) = self.room_taken.get(&m.id) {
            free.subtract(taken);
        }
        let mut candidates: Vec<(f64, &TaskId, &Resources)> = Vec::new();
        for PlacedTask { task, room, spec, rank, stopping, loss } in placed_tasks {
            let lower = *rank < need.job.rank();
            let borrowed = spec.shape != Shape::Service
                && spec.team != need.job.spec.team
                && teams_over_guarantee.is_some_and(|teams| {
                    teams.contains(&*spec.team) || self.settings.team(&spec.team).is_none()
                });
            if !(lower || borrowed) || spec.tasks > 1 && spec.shape == Shape::Gang {
                continue;
            }
            if *stopping {
                free.add(room);
                continue;
            }
            candidates.push((*loss, task, room));
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut candidates = candidates.into_iter();
        // An image fetch delays the whole task, so it costs core-seconds like lost work does.
        let fetch_s = self.fleet.fetch_s(m, &need.job.spec);
        let mut least = 0.0;
        for _ in 0..max_tasks {
            let (mut cost, mut victims) = (fetch_s * need.room.cpus, Vec::new());
            while !free.fits(&need.room) {
                let Some((lost, task, room)) = candidates.next() else { return };
                free.add(room);
                cost += lost;
                victims.push(task.clone());
            }
            free.subtract(&need.room);
            // The costs must not decrease, so that sorting by cost keeps the order of a machine's
            // options.
            least = f64::max(least, cost);
            options.push(PreemptionOption { cost: least, machine: m, victims });
        }
    }

    /// Teams in the settings that use more than their guarantee.
    fn teams_over_guarantee(&self, job_table: &JobTable) -> BTreeSet<&str> {
        let teams = self.settings.facts.teams.iter().map(|team| &*team.name);
        teams.filter(|team| self.is_over_guarantee(team, job_table)).collect()
    }

    /// Whether a team uses more than its guarantee.
    pub(super) fn is_over_guarantee(&self, team: &str, job_table: &JobTable) -> bool {
        let Some(facts) = self.settings.team(team) else {
            return true;
        };
        let used = job_table.usage.get(team).copied().unwrap_or_default();
        (facts.gpus > 0.0 && used.gpus > facts.gpus + 1e-6)
            || (facts.cpus > 0.0 && used.cpus > facts.cpus + 1e-6)
            || (facts.gpus <= 0.0 && facts.cpus <= 0.0)
    }
}
