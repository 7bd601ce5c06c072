//! Places all tasks of a gang at once, in the zone where that costs least.

use super::*;

impl Pass<'_> {
    /// Tasks of the job that each zone could take at once if arrays of lower rank were preempted, up to
    /// `max_tasks` on one machine.
    pub(super) fn preemptible_places(
        &mut self,
        need: &Need,
        max_tasks: usize,
        job_table: &JobTable,
    ) -> BTreeMap<Zone, usize> {
        // Room is kept for amounts: the number of tasks on a machine is left out on both sides.
        let need_room = Resources { tasks: 0, ..need.room };
        let mut zones = BTreeMap::new();
        for m in self.fleet.machines.values() {
            if !accepts_tasks(self.fleet, m, self.now) || !need.allows(&m.flavor, &m.zone, m.spot) {
                continue;
            }
            let mut room = Resources::default();
            for (task, task_room) in &m.assigned {
                let lower = |j: &Job| j.spec.shape == Shape::Array && j.rank() < need.job.rank();
                if job_table.get(&task.job).is_some_and(lower) {
                    room.add(task_room);
                }
            }
            self.plan.steps += m.assigned.len() as u64;
            *zones.entry(m.zone.clone()).or_default() += room.count_fitting(&need_room, max_tasks);
        }
        zones
    }

    /// The zones to choose from for a job that has to stay in one zone; `None` stands for any mix
    /// of zones.
    pub(super) fn candidate_sites(&self, job: &Job) -> Vec<Option<Zone>> {
        if job.spec.one_zone {
            self.settings.facts.zones.iter().cloned().map(Some).collect()
        } else {
            vec![None]
        }
    }

    /// The site where room for this many tasks, now or later, costs least in new machines.
    pub(super) fn cheapest_site(
        &mut self,
        need: &Need,
        count: usize,
        sites: &[Option<Zone>],
        spot: Option<bool>,
    ) -> Option<Option<Zone>> {
        self.best_site(need, sites, |pass, site| pass.place_gang_later(need, count, site, spot))
    }

    /// The site with the least `cost`, among those where it returns one. The changes that `cost`
    /// makes are rolled back; where it returns `None` it has to undo them itself.
    pub(super) fn best_site(
        &mut self,
        need: &Need,
        sites: &[Option<Zone>],
        mut cost: impl FnMut(&mut Self, Option<&Zone>) -> Option<f64>,
    ) -> Option<Option<Zone>> {
        let mut best: Option<(f64, &Option<Zone>)> = None;
        for site in sites {
            let savepoint = self.savepoint(need.job);
            let Some(cost) = cost(self, site.as_ref()) else { continue };
            self.roll_back(need.job, savepoint);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, site));
            }
        }
        best.map(|(_, site)| site.clone())
    }

    /// Places a gang as a whole or not at all.
    pub(super) fn place_gang(&mut self, job: &Job, tasks: &[u32], job_table: &JobTable) {
        let need = Need::new(self.settings, job);
        if (self.tasks_within_limit(job)) < job.spec.tasks || tasks.len() < job.spec.tasks as usize
        {
            return;
        }
        let sites = self.candidate_sites(job);
        // Tries all zones, since the first one with room may be the most expensive or lack the
        // images.
        let score = |pass: &mut Self, site: Option<&Zone>| {
            pass.live_gang_slots(&need, tasks.len(), site).map(|(_, score)| score)
        };
        let site = self.best_site(&need, &sites, score);
        let chosen = site.and_then(|site| self.live_gang_slots(&need, tasks.len(), site.as_ref()));
        if let Some((places, _)) = chosen {
            for (index, slot_index) in tasks.iter().zip(places) {
                self.start(job, *index, slot_index);
            }
            self.plan.used_reservation |= self.slot_pool.has_reserved(&job.spec.id);
            return;
        }
        // Machines that are being cleared are reserved for the gang and come sooner than new ones.
        // The wait is limited, since that room may never come.
        let clearing = self.make_room(&need, job_table, false, &sites);
        if clearing && self.now.since(job.released) < RESERVATION_TTL_MS {
            return;
        }
        // It cannot start now: reserves live room first, then machines that boot or are to be
        // hired, at the site that hires for least, so that nothing of lower rank takes what it
        // needs.
        if let Some(site) = self.cheapest_site(&need, tasks.len(), &sites, None) {
            self.place_gang_later(&need, tasks.len(), site.as_ref(), None);
        }
    }

    /// Live slots for all tasks of a gang together, and the worst of their scores.
    pub(super) fn live_gang_slots(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
    ) -> Option<(Vec<usize>, f64)> {
        let zones = need.job.zones.clone();
        let mask = self.slot_pool.mask(need, &zones, site);
        if self.slot_pool.known_not_to_fit(need, &mask, Availability::Live, count) {
            return None;
        }
        let savepoint = self.savepoint(need.job);
        let mut picker = SlotPicker::new(self, need, zones, site);
        let found: Vec<(usize, f64)> =
            (0..count).map_while(|_| picker.take_live_scored(self, need)).collect();
        if found.len() == count {
            let worst = found.iter().map(|(_, score)| *score).fold(f64::MIN, f64::max);
            return Some((found.into_iter().map(|(slot_index, _)| slot_index).collect(), worst));
        }
        self.roll_back(need.job, savepoint);
        if !need.job.spec.spread {
            self.slot_pool.record_no_fit(need, &mask, Availability::Live, count);
        }
        None
    }

    /// Assigns a gang to machines that are live, booting or to be hired, and returns the hourly
    /// price of the machines to be hired. `spot` restricts it to spot or to on-demand machines.
    pub(super) fn place_gang_later(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
        spot: Option<bool>,
    ) -> Option<f64> {
        let savepoint = self.savepoint(need.job);
        let mut picker = SlotPicker::new(self, need, need.job.zones.clone(), site);
        picker.restrict_spot(self, spot);
        let placed = (0..count).all(|_| {
            picker.take_live(self, need).is_some() || picker.take_pending(self, need, true)
        });
        let price = |(kind, _): &(MachineKind, bool)| {
            let flavor = self.fleet.flavor(&kind.flavor);
            flavor.map_or(0.0, |f| self.slot_pool.weighted_price(f, &kind.zone, kind.spot))
        };
        if placed {
            return Some(self.plan.hires[savepoint.2..].iter().map(price).sum());
        }
        self.roll_back(need.job, savepoint);
        None
    }

    pub(super) fn savepoint(&self, job: &Job) -> (slots::Savepoint, Option<TeamUsage>, usize) {
        let usage = self.usage.get(&job.spec.team).copied();
        (self.slot_pool.savepoint(), usage, self.plan.hires.len())
    }

    pub(super) fn roll_back(
        &mut self,
        job: &Job,
        (savepoint, usage, hires): (slots::Savepoint, Option<TeamUsage>, usize),
    ) {
        self.slot_pool.roll_back(savepoint);
        self.usage.insert(job.spec.team.clone(), usage.unwrap_or_default());
        self.plan.hires.truncate(hires);
    }
}
