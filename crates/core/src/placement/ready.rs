//! Keeps room ready for jobs that are likely to arrive, and moves gangs to spot machines in calm
//! times.

use super::*;
use oatloom_protocol::wire::JobSpec;

/// Jobs that are likely to arrive before a machine hired for them would be up, of classes that
/// users want started sooner than that. Extrapolates the arrival rate of the last minutes, and
/// leaves out teams whose limit would not let the jobs start.
pub fn expected(
    settings: &Settings,
    book: &Book,
    fleet: &Fleet,
    now: Mono,
    since: Mono,
    headroom: &Headroom,
) -> Vec<(Job, u32)> {
    let Some(boot_s) = fleet.least_boot_s() else { return Vec::new() };
    let window_s = now.since(since).secs().min(ARRIVAL_WINDOW_S);
    if !boot_s.is_finite() || window_s < boot_s {
        return Vec::new();
    }
    let mut classes: BTreeMap<&str, (u32, u32, u32, &JobSpec)> = BTreeMap::new();
    let mut buckets: BTreeMap<(&str, u64), u32> = BTreeMap::new();
    let whole = |spec: &JobSpec| if spec.shape == Shape::Gang { spec.tasks } else { 1 };
    let may_start = |spec: &JobSpec| headroom.tasks(spec).is_none_or(|most| most >= whole(spec));
    for (at, spec) in book.arrivals.iter().filter(|(_, spec)| may_start(spec)) {
        // Counts only a few arrivals of a class per time bucket: an initial load, or the jobs that
        // a new leader finds, must not be taken for the rate of further arrivals.
        let bucket = buckets.entry((&spec.class, at.0 / ARRIVAL_BUCKET_MS.0)).or_default();
        *bucket += 1;
        if now.since(*at).secs() <= window_s && *bucket <= ARRIVAL_BUCKET_MOST {
            let entry = classes.entry(&spec.class).or_insert((0, 0, 0, spec));
            *entry = (entry.0 + 1, entry.1 + spec.tasks, entry.2.max(spec.tasks), spec);
        }
    }
    let mut list = Vec::new();
    for (class, (jobs, tasks, largest, spec)) in classes {
        let Some(within) = objective(settings, class, "wait") else { continue };
        if within > boot_s * BOOT_SPREAD + settings.facts.workers.report_s {
            continue;
        }
        let mean = f64::from(jobs) / window_s * boot_s * BOOT_SPREAD;
        let jobs_ready = READY_MEAN * mean + READY_DEVIATIONS * mean.sqrt();
        let count = jobs_ready * f64::from(tasks) / f64::from(jobs);
        // A gang needs its room in one piece.
        let group = if spec.shape == Shape::Gang { largest } else { 1 };
        let groups = (count / f64::from(group)).round() as u32;
        list.push((Job::expected(spec, group, now), groups));
    }
    list.sort_by_key(|(job, _)| std::cmp::Reverse(job.spec.rank));
    list
}

impl Pass<'_> {
    /// Keeps room for jobs that are likely to arrive: where work of lower rank could be preempted,
    /// on live machines, on booting ones, or on further ones to be hired.
    pub(super) fn keep_ready(&mut self, job: &Job, count: u32, book: &Book) {
        let need = Need::new(self.settings, job);
        let tasks = job.spec.tasks as usize;
        let sites = self.sites(job);
        let yielding = self.yielding(&need, book);
        let there = |site: &Option<Zone>| match site {
            Some(zone) => yielding.get(zone).copied().unwrap_or(0),
            None => yielding.values().sum(),
        };
        let given: usize = sites.iter().map(|site| there(site) / tasks).sum();
        // Spot machines first, hired if need be: otherwise expensive machines are kept for good
        // because they are already there.
        let kinds = if job.spec.spot { vec![Some(true), None] } else { vec![None] };
        // Keeps no machines for tasks that the team's limit would not allow.
        let count = (count as usize).min(self.within_limit(job) as usize / tasks);
        for _ in given..count {
            let room = kinds.iter().find_map(|spot| {
                self.cheapest_site(&need, tasks, &sites, *spot).map(|s| (s, *spot))
            });
            let Some((site, spot)) = room else { break };
            let mark = self.yard.mark();
            self.gang_later(&need, tasks, site.as_ref(), spot);
            self.plan.ready.extend(self.yard.live_since(mark).map(|m| m.id.clone()));
        }
    }

    /// While no machine is wanted, moves the gang that saves most to spot machines, or hires those
    /// for it. In a burst gangs start wherever there is room, which keeps on-demand machines rented
    /// long afterwards.
    pub(super) fn cheapen(&mut self, book: &Book) {
        if !self.plan.hires.is_empty() || self.searches > 0 || !self.plan.starts.is_empty() {
            return;
        }
        let worth = |job: &Job| -> Option<f64> {
            let spec = &job.spec;
            let steady = spec.shape == Shape::Gang
                && spec.spot
                && spec.checkpoint_s > 0.0
                && job.state == JobState::Open
                && matches!(job.gang, Gang::Running(_))
                && job.held == spec.tasks;
            let ran = |h: &Hold| h.running_since.map_or(0.0, |t| self.now.since(t).secs());
            let settled = |h: &Hold| h.stop.is_none() && ran(h) >= MOVE_SETTLED_S;
            if !steady || !job.holds().all(|(_, h)| settled(h)) {
                return None;
            }
            let dear = |h: &Hold| self.fleet.machines.get(&h.host).is_some_and(|m| !m.spot);
            let dear = job.holds().filter(|(_, h)| dear(h)).count();
            let longest = job.holds().map(|(_, h)| ran(h)).fold(0.0, f64::max);
            let left_s = spec.estimate_s - longest - spec.save_s;
            (dear > 0 && left_s >= MOVE_WORTH_S).then_some(dear as f64 * left_s)
        };
        let jobs = book.jobs.values().filter_map(|job| Some((worth(job)?, job)));
        let most = jobs.max_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, job)) = most else { return };
        self.plan.steps += book.jobs.len() as u64;
        let need = Need::new(self.settings, job);
        let tasks = job.spec.tasks as usize;
        let sites = self.sites(job);
        let fetch_s = |pass: &mut Self, site: Option<&Zone>| {
            pass.cheap_places(&need, tasks, site).map(|(_, fetch_s)| fetch_s)
        };
        let site = self.best_site(&need, &sites, fetch_s);
        match site.and_then(|site| self.cheap_places(&need, tasks, site.as_ref())) {
            Some((found, _)) => {
                for at in found {
                    if let Some(m) = self.yard.slots[at].machine {
                        self.keep(m, job);
                    }
                }
                self.plan.moves.push(job.spec.id.clone());
            }
            None => {
                // Computed as if the gang ran nowhere yet: it may go to another zone.
                let stand_in = Job::expected(&job.spec, job.spec.tasks, job.submitted);
                let need = Need::new(self.settings, &stand_in);
                if let Some(site) = self.cheapest_site(&need, tasks, &sites, Some(true)) {
                    self.gang_later(&need, tasks, site.as_ref(), Some(true));
                }
            }
        }
    }

    /// Live spot slots for all tasks of a gang, wherever it runs now, and its longest image fetch
    /// there, if that is at most [`MOVE_FETCH_S`].
    pub(super) fn cheap_places(
        &mut self,
        need: &Need,
        count: usize,
        site: Option<&Zone>,
    ) -> Option<(Vec<usize>, f64)> {
        let mark = self.mark(need.job);
        let mut places = Places::new(self, need, BTreeMap::new(), site);
        places.restrict(self, Some(true));
        let found: Vec<usize> = (0..count).map_while(|_| places.live(self, need)).collect();
        let machines = found.iter().filter_map(|at| self.yard.slots[*at].machine);
        let fetch_s = machines.map(|m| self.fleet.fetch_s(m, &need.job.spec)).fold(0.0, f64::max);
        if found.len() == count && fetch_s <= MOVE_FETCH_S {
            return Some((found, fetch_s));
        }
        self.roll_back(need.job, mark);
        None
    }
}
