//! Places all tasks of a gang at once, in the zone where that costs least.

use super::*;

impl Pass<'_> {
    /// Tasks of the job that each zone could take at once if arrays of lower rank were preempted.
    pub(super) fn yielding(&mut self, need: &Need, book: &Book) -> BTreeMap<Zone, usize> {
        let mut zones = BTreeMap::new();
        for m in self.fleet.machines.values() {
            if !usable(self.fleet, m, self.now) || !need.allows(&m.flavor, &m.zone, m.spot) {
                continue;
            }
            let mut room = Room::default();
            for (task, held) in &m.held {
                let lower = |j: &Job| j.spec.shape == Shape::Array && j.rank() < need.job.rank();
                if book.get(&task.job).is_some_and(lower) {
                    room.add(held);
                }
            }
            self.plan.steps += m.held.len() as u64;
            let mut places = 0;
            while room.fits(&need.room) {
                room.take(&need.room);
                places += 1;
            }
            *zones.entry(m.zone.clone()).or_default() += places;
        }
        zones
    }

    /// The zones to choose from for a job that has to stay in one zone; `None` stands for any mix
    /// of zones.
    pub(super) fn sites(&self, job: &Job) -> Vec<Option<Zone>> {
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
        self.best_site(need, sites, |pass, site| pass.gang_later(need, count, site, spot))
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
            let mark = self.mark(need.job);
            let Some(cost) = cost(self, site.as_ref()) else { continue };
            self.roll_back(need.job, mark);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, site));
            }
        }
        best.map(|(_, site)| site.clone())
    }

    /// Places a gang as a whole or not at all.
    pub(super) fn gang(&mut self, job: &Job, tasks: &[u32], book: &Book) {
        let need = Need::new(self.settings, job);
        if (self.within_limit(job)) < job.spec.tasks || tasks.len() < job.spec.tasks as usize {
            return;
        }
        let sites = self.sites(job);
        // Tries all zones, since the first one with room may be the most expensive or lack the
        // images.
        let score = |pass: &mut Self, site: Option<&Zone>| {
            pass.gang_places(&need, tasks.len(), site).map(|(_, score)| score)
        };
        let site = self.best_site(&need, &sites, score);
        let chosen = site.and_then(|site| self.gang_places(&need, tasks.len(), site.as_ref()));
        if let Some((places, _)) = chosen {
            for (index, at) in tasks.iter().zip(places) {
                self.start(job, *index, at);
            }
            self.plan.placed_kept |= self.yard.kept_for(&job.spec.id);
            return;
        }
        // Machines that are being cleared are reserved for the gang and come sooner than new ones.
        // The wait is limited, since that room may never come.
        let clearing = self.make_room(&need, book, false, &sites);
        if clearing && self.now.since(job.released) < RESERVE_MS {
            return;
        }
        // It cannot start now: reserves live room first, then machines that boot or are to be
        // hired, at the site that hires for least, so that nothing of lower rank takes what it
        // needs.
        if let Some(site) = self.cheapest_site(&need, tasks.len(), &sites, None) {
            self.gang_later(&need, tasks.len(), site.as_ref(), None);
        }
    }

    /// Live slots for all tasks of a gang together, and the worst of their scores.
    pub(super) fn gang_places(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
    ) -> Option<(Vec<usize>, f64)> {
        let zones = need.job.zones.clone();
        let mask = self.yard.mask(need, &zones, site);
        if self.yard.hopeless(need, &mask, When::Live, count) {
            return None;
        }
        let mark = self.mark(need.job);
        let mut places = Places::new(self, need, zones, site);
        let found: Vec<(usize, f64)> =
            (0..count).map_while(|_| places.live_scored(self, need)).collect();
        if found.len() == count {
            let worst = found.iter().map(|(_, score)| *score).fold(f64::MIN, f64::max);
            return Some((found.into_iter().map(|(at, _)| at).collect(), worst));
        }
        self.roll_back(need.job, mark);
        if !need.job.spec.spread {
            self.yard.note_none(need, &mask, When::Live, count);
        }
        None
    }

    /// Assigns a gang to machines that are live, booting or to be hired, and returns the hourly
    /// price of the machines to be hired. `spot` restricts it to spot or to on-demand machines.
    pub(super) fn gang_later(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
        spot: Option<bool>,
    ) -> Option<f64> {
        let mark = self.mark(need.job);
        let mut places = Places::new(self, need, need.job.zones.clone(), site);
        places.restrict(self, spot);
        let placed =
            (0..count).all(|_| places.live(self, need).is_some() || places.later(self, need, true));
        let price = |(kind, _): &(Kind, bool)| {
            let flavor = self.fleet.flavor(&kind.flavor);
            flavor.map_or(0.0, |f| self.yard.priced(f, &kind.zone, kind.spot))
        };
        if placed {
            return Some(self.plan.hires[mark.2..].iter().map(price).sum());
        }
        self.roll_back(need.job, mark);
        None
    }

    pub(super) fn mark(&self, job: &Job) -> (slots::Mark, Option<Usage>, usize) {
        let usage = self.usage.get(&job.spec.team).copied();
        (self.yard.mark(), usage, self.plan.hires.len())
    }

    pub(super) fn roll_back(
        &mut self,
        job: &Job,
        (mark, usage, hires): (slots::Mark, Option<Usage>, usize),
    ) {
        self.yard.roll_back(mark);
        self.usage.insert(job.spec.team.clone(), usage.unwrap_or_default());
        self.plan.hires.truncate(hires);
    }
}
