//! Which task starts where. One pass looks at all open jobs in order of rank, guarantee and
//! urgency, places what fits on live machines, counts the rest against machines on their way, and
//! says what else should be hired and what should make room.

mod slots;

use crate::cloud::Kind;
use crate::constants::*;
use crate::jobs::{Book, Gang, Hold, Job, JobState, StopWhy, Usage};
use crate::settings::Settings;
use crate::types::*;
use crate::wire::{Flavor, Shape};
use crate::workers::{Fleet, Life, Machine, Room};
use slots::{Search, When, Yard, usable};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// What one pass decides.
#[derive(Debug, Default)]
pub struct Plan {
    pub starts: Vec<(JobId, u32, HostId)>,
    /// Tasks that should make room, and the machine to keep for the job that needs it.
    pub stops: Vec<(TaskId, StopWhy, f64)>,
    pub reserve: Vec<(HostId, JobId)>,
    /// Machines wanted; `true` where the loop's bound must not hold them back.
    pub hires: Vec<(Kind, bool)>,
    /// Gangs that should save and go on on cheap machines, which are kept for them.
    pub moves: Vec<JobId>,
    /// Live machines whose room is kept ready for jobs that are likely to come.
    pub ready: BTreeSet<HostId>,
    /// Whether a gang was placed for which machines had been kept.
    pub placed_kept: bool,
    /// Machines looked at: what the pass has cost.
    pub steps: u64,
}

pub struct Inputs<'a> {
    pub now: Mono,
    pub settings: &'a Settings,
    pub book: &'a mut Book,
    pub fleet: &'a Fleet,
    /// Tasks that each array may have running at once by its rate.
    pub paced: &'a HashMap<JobId, u32>,
    pub awaited: Vec<(Kind, u32)>,
    /// Jobs that are likely to come before a machine hired for them would be up, and how many.
    pub expected: &'a [(Job, u32)],
    pub refused: &'a dyn Fn(&Kind) -> bool,
}

/// What a task of a job needs and may use.
struct Need<'a> {
    job: &'a Job,
    room: Room,
    /// Seconds of fetching, or of waiting for a report, that weigh as much as a whole machine.
    late_weight_s: f64,
}

impl<'a> Need<'a> {
    fn new(settings: &Settings, job: &'a Job) -> Self {
        let within = eager(settings, &job.spec.class).unwrap_or(FETCH_WEIGHT_S);
        let late_weight_s = within.clamp(1.0, FETCH_WEIGHT_S);
        Self { job, room: Room::from(&*job.spec), late_weight_s }
    }

    fn allows(&self, flavor: &str, zone: &Zone, spot: bool) -> bool {
        let spec = &self.job.spec;
        spec.flavors.as_ref().is_none_or(|f| f.iter().any(|x| x == flavor))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && (spec.spot || !spot)
    }

    /// Most tasks that one zone may hold, given the spread rule.
    fn zone_cap(&self) -> u32 {
        if self.job.spec.spread { self.job.spec.tasks.div_ceil(2) } else { u32::MAX }
    }

    fn zone_open(&self, zone: &Zone, zones: &BTreeMap<Zone, u32>) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        let others = zones.iter().any(|(z, n)| z != zone && *n > 0);
        here < self.zone_cap() && !(self.job.spec.one_zone && others)
    }
}

/// Whether a task of the job fits some machine type that it may use.
pub fn fits_some(spec: &crate::wire::JobSpec, flavors: &[Flavor]) -> bool {
    let need = Room::from(spec);
    flavors.iter().any(|f| {
        spec.flavors.as_ref().is_none_or(|list| list.contains(&f.label))
            && spec.zone.as_ref().is_none_or(|z| f.zones.contains(z))
            && Room::from(f).fits(&need)
    })
}

/// Whether one more task of the job may be on the machine: its own wishes, the zones of its other
/// tasks and its team's limit. Checked once more for every single start, whatever a plan says.
pub fn permitted(settings: &Settings, book: &Book, job: &Job, machine: &Machine) -> bool {
    let need = Need::new(settings, job);
    let Some(team) = settings.team(&job.spec.team) else { return false };
    let used = book.usage.get(&job.spec.team).copied().unwrap_or_default();
    let within = |most: f64, used: f64, each: f64| most <= 0.0 || used + each <= most + 1e-6;
    need.allows(&machine.flavor, &machine.zone, machine.spot)
        && need.zone_open(&machine.zone, &job.zones)
        && within(team.cpus_max, used.cpus, job.spec.cpus)
        && within(team.gpus_max, used.gpus, job.spec.gpus)
}

/// Seconds within which the users' aims want the class started or done, whichever is known.
pub fn objective(settings: &Settings, class: &str, kind: &str) -> Option<f64> {
    settings
        .facts
        .objectives
        .iter()
        .filter(|o| o.kind == kind && o.class.as_deref() == Some(class))
        .filter_map(|o| o.within_s)
        .reduce(f64::min)
}

/// Seconds within which users want the class started, if that is so few report periods that waiting
/// for a machine's next report would make it late.
pub fn eager(settings: &Settings, class: &str) -> Option<f64> {
    objective(settings, class, "wait").filter(|within| *within <= soon_s(settings))
}

/// Whether there is such a class.
pub fn any_eager(settings: &Settings) -> bool {
    let soon = |within: f64| within <= soon_s(settings);
    let objectives = settings.facts.objectives.iter();
    objectives
        .filter(|o| o.kind == "wait" && o.class.is_some())
        .any(|o| o.within_s.is_some_and(soon))
}

fn soon_s(settings: &Settings) -> f64 {
    settings.facts.workers.report_s * EAGER_REPORTS
}

/// When the job ought to be complete.
pub fn due(settings: &Settings, job: &Job) -> Mono {
    let spec = &job.spec;
    let within = spec
        .deadline_s
        .or_else(|| objective(settings, &spec.class, "finished"))
        .unwrap_or(UNDATED_S);
    job.submitted.plus(Millis::from_secs(within))
}

/// By when the job has to be placed to meet the next of its aims that can still be met. A job that
/// can meet none any more comes after those that can.
fn start_by(settings: &Settings, job: &Job, overhead_s: f64, now: Mono) -> Mono {
    let spec = &job.spec;
    let waits = settings
        .facts
        .objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&spec.class))
        .filter_map(|o| o.within_s);
    let run_s = match spec.shape {
        Shape::Service => 0.0,
        _ => spec.estimate_s,
    };
    let finish = due(settings, job).0 as f64 / 1000.0 - run_s - overhead_s;
    let next = waits
        .map(|within| job.submitted.0 as f64 / 1000.0 + within - overhead_s)
        .chain([finish])
        .filter(|by| *by >= now.0 as f64 / 1000.0)
        .fold(f64::INFINITY, f64::min);
    if next.is_finite() {
        Mono((next * 1000.0) as u64)
    } else {
        job.submitted.plus(Millis::from_secs(LATE_AFTER_S))
    }
}

/// Jobs that are likely to come before a machine hired for them would be up, of classes that users
/// want started sooner than that. Arrivals are taken to come at the rate of the last minutes.
pub fn expected(
    settings: &Settings,
    book: &Book,
    fleet: &Fleet,
    now: Mono,
    since: Mono,
) -> Vec<(Job, u32)> {
    let Some(boot_s) = fleet.least_boot_s() else { return Vec::new() };
    let window_s = now.since(since).secs().min(ARRIVAL_WINDOW_S);
    if !boot_s.is_finite() || window_s < boot_s {
        return Vec::new();
    }
    let mut classes: BTreeMap<&str, (u32, u32, u32, &crate::wire::JobSpec)> = BTreeMap::new();
    let mut buckets: HashMap<(&str, u64), u32> = HashMap::new();
    for (at, spec) in &book.arrivals {
        // What comes at once is no rate: guards against taking a first load, or the jobs that a
        // new leader finds, for the pace at which more will come.
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

/// By what arrays without a deadline of their own are ordered among jobs of their rank: the tasks
/// left. Guards against one large array that makes many small ones late and is late all the same.
fn work_left(job: &Job) -> u32 {
    let undated = job.spec.shape == Shape::Array && job.spec.deadline_s.is_none();
    if undated { job.spec.tasks - job.done } else { 0 }
}

struct Pass<'a> {
    now: Mono,
    settings: &'a Settings,
    fleet: &'a Fleet,
    refused: &'a dyn Fn(&Kind) -> bool,
    yard: Yard<'a>,
    usage: HashMap<String, Usage>,
    /// Where this pass has started tasks of a job: guards against an array's second turn in a pass
    /// placing as if its first had not been.
    started: HashMap<JobId, BTreeMap<Zone, u32>>,
    searches: usize,
    plan: Plan,
}

/// One pass over all jobs.
pub fn plan(inputs: Inputs) -> Plan {
    let Inputs { now, settings, book, fleet, paced, awaited, expected, refused } = inputs;
    let guaranteed = guaranteed(settings, book);
    let overhead_s = settings.facts.workers.report_s;
    let mut order: Vec<(JobId, Mono)> = book
        .jobs
        .iter()
        .filter(|(_, j)| j.state == JobState::Open && j.pending() > 0 && now >= j.paused_until)
        .map(|(id, j)| (id.clone(), start_by(settings, j, overhead_s, now)))
        .collect();
    order.sort_by(|(a, due_a), (b, due_b)| {
        let (ja, jb) = (&book.jobs[a], &book.jobs[b]);
        let guarantee = |id| !guaranteed.contains_key(id);
        (jb.spec.rank, guarantee(a), work_left(ja), due_a, a)
            .cmp(&(ja.spec.rank, guarantee(b), work_left(jb), due_b, b))
            .then(ja.submitted.cmp(&jb.submitted))
    });
    let mut pass = Pass {
        now,
        settings,
        fleet,
        refused,
        yard: Yard::new(fleet, &awaited, settings.facts.workers.report_s, now),
        usage: book.usage.clone(),
        started: HashMap::new(),
        searches: 0,
        plan: Plan::default(),
    };
    // Arrays get what their rates allow first, then what is left idle.
    let mut beyond = Vec::new();
    for (id, _) in &order {
        if pass.plan.starts.len() >= PLACE_BATCH {
            break;
        }
        let Some(job) = book.jobs.get_mut(id) else {
            continue;
        };
        let may = match job.spec.shape {
            Shape::Array => {
                let allowed = paced.get(id).copied().unwrap_or(1).max(1);
                let now_may = allowed.saturating_sub(job.held).min(job.pending());
                if now_may < job.pending() {
                    beyond.push((id.clone(), now_may));
                }
                now_may
            }
            _ => job.pending(),
        };
        let tasks = job.pending_tasks((may as usize).min(PLACE_BATCH));
        let book = &*book;
        let Some(job) = book.get(id) else { continue };
        if job.spec.shape == Shape::Gang && job.gang == Gang::Idle {
            pass.gang(job, &tasks, book);
        } else if !matches!(job.gang, Gang::Running(_) | Gang::Clearing(_)) {
            pass.singles(job, &tasks, true, book, guaranteed.contains_key(id));
        }
    }
    for (id, taken) in beyond {
        if pass.plan.starts.len() >= PLACE_BATCH {
            break;
        }
        let Some(job) = book.jobs.get_mut(&id) else {
            continue;
        };
        let tasks = job.pending_tasks(PLACE_BATCH);
        let rest: Vec<u32> = tasks.into_iter().skip(taken as usize).collect();
        let job = &book.jobs[&id];
        pass.singles(job, &rest, false, book, false);
    }
    for (job, count) in expected {
        pass.keep_ready(job, *count, book);
    }
    pass.cheapen(book);
    pass.plan.steps += pass.yard.steps + book.jobs.len() as u64;
    pass.plan
}

/// Unfinished jobs that fit into their team's guarantee together with its earlier ones.
pub fn guaranteed(settings: &Settings, book: &Book) -> HashMap<JobId, ()> {
    let mut sums: HashMap<&str, Usage> = HashMap::new();
    let mut jobs: Vec<(&JobId, &Job)> =
        book.jobs.iter().filter(|(_, j)| j.state == JobState::Open).collect();
    jobs.sort_by_key(|(id, j)| (j.submitted, (*id).clone()));
    let mut within = HashMap::new();
    for (id, job) in jobs {
        let Some(team) = settings.team(&job.spec.team) else {
            continue;
        };
        if team.cpus <= 0.0 && team.gpus <= 0.0 {
            continue;
        }
        let left = f64::from(job.spec.tasks - job.done);
        let sum = sums.entry(team.name.as_str()).or_default();
        sum.cpus += job.spec.cpus * left;
        sum.gpus += job.spec.gpus * left;
        // 0 means none: a team with only GPUs guaranteed is held to those.
        let fits = |used: f64, cap: f64| cap <= 0.0 || used <= cap + 1e-6;
        if fits(sum.cpus, team.cpus) && fits(sum.gpus, team.gpus) {
            within.insert(id.clone(), ());
        }
    }
    within
}

/// Whether the services on a machine would find room on other live machines that have their
/// images; its other tasks end by themselves.
pub fn room_elsewhere(
    now: Mono,
    settings: &Settings,
    book: &Book,
    fleet: &Fleet,
    host: &HostId,
) -> bool {
    let Some(machine) = fleet.machines.get(host) else { return false };
    let mut yard = Yard::new(fleet, &[], 0.0, now);
    yard.leave_out(|m| m.id == *host || m.life == Life::Closing);
    machine.held.keys().all(|task| {
        let Some(job) = book.get(&task.job) else { return true };
        if job.spec.shape != Shape::Service {
            return true;
        }
        let need = Need::new(settings, job);
        let mut zones = job.zones.clone();
        if let Some(count) = zones.get_mut(&machine.zone) {
            *count = count.saturating_sub(1);
        }
        let mask = yard.mask(&need, &zones, None);
        let mut search = Search::default();
        let Some(at) = yard.best(&mut search, &need, &mask, When::Live) else { return false };
        let cached = yard.cached(at, &job.spec.image);
        yard.take(&mut search, at, &need);
        cached
    })
}

impl Pass<'_> {
    /// How many more tasks the team's limit allows.
    fn within_limit(&self, job: &Job) -> u32 {
        let Some(team) = self.settings.team(&job.spec.team) else {
            return 0;
        };
        let used = self.usage.get(&job.spec.team).copied().unwrap_or_default();
        let more = |cap: f64, used: f64, each: f64| {
            if cap <= 0.0 || each <= 0.0 {
                f64::MAX
            } else {
                ((cap - used) / each + 1e-6).floor().max(0.0)
            }
        };
        let count = more(team.cpus_max, used.cpus, job.spec.cpus).min(more(
            team.gpus_max,
            used.gpus,
            job.spec.gpus,
        ));
        if count >= f64::from(u32::MAX) { u32::MAX } else { count as u32 }
    }

    /// The zones of a job's tasks, those that this pass has started included.
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
    fn start(&mut self, job: &Job, index: u32, at: usize) {
        let Some(machine) = self.yard.slots[at].machine else { return };
        self.plan.starts.push((job.spec.id.clone(), index, machine.id.clone()));
        let zones = self.started.entry(job.spec.id.clone()).or_default();
        *zones.entry(machine.zone.clone()).or_default() += 1;
    }

    /// Tasks that start one by one.
    fn singles(&mut self, job: &Job, tasks: &[u32], hire: bool, book: &Book, owed: bool) {
        let need = Need::new(self.settings, job);
        let most = self.within_limit(job) as usize;
        let mut places = Places::new(self, &need, self.zones(job), None);
        let mut wanting = false;
        let mut urgent = None;
        for index in tasks.iter().take(most) {
            if let Some(at) = places.live(self, &need) {
                self.start(job, *index, at);
                continue;
            }
            if !hire {
                break;
            }
            wanting = true;
            let urgent = *urgent.get_or_insert_with(|| {
                job.spec.shape != Shape::Array || owed || self.starved(&need)
            });
            if !places.later(self, &need, urgent) {
                break;
            }
        }
        if wanting {
            self.make_room(&need, book, owed, &[None]);
        }
    }

    /// Whether an array has nothing running and nothing to hope for: no machine that it may use is
    /// there, or it has waited long. Guards against a target in cores that is met by machines of
    /// the wrong zone, type or kind, for which the job would wait for ever.
    fn starved(&self, need: &Need) -> bool {
        let job = need.job;
        job.held == 0
            && (self.now.since(job.submitted).secs() > STARVED_S
                || !self.yard.any_usable(&need.room, &self.yard.mask(need, &job.zones, None)))
    }

    /// The cheapest kind of machine that a task may use and that was not refused lately.
    fn wish(&self, need: &Need, mask: &[bool]) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (at, (flavor, zone, spot)) in self.yard.kinds.iter().enumerate() {
            let whole = Room::from(*flavor);
            if !mask[at] || !whole.fits(&need.room) || !flavor.zones.contains(zone) {
                continue;
            }
            let kind = Kind { flavor: flavor.label.clone(), zone: zone.clone(), spot: *spot };
            if (self.refused)(&kind) {
                continue;
            }
            let cost = self.yard.priced(flavor, zone, *spot) * need.room.share_of(&whole);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| at)
    }

    /// Keeps room for jobs that are likely to come: where work of lower rank would give way, on
    /// live machines, on those on their way, or on further ones.
    fn keep_ready(&mut self, job: &Job, count: u32, book: &Book) {
        let need = Need::new(self.settings, job);
        let tasks = job.spec.tasks as usize;
        let sites = self.sites(job);
        let yielding = self.yielding(&need, book);
        let there = |site: &Option<Zone>| match site {
            Some(zone) => yielding.get(zone).copied().unwrap_or(0),
            None => yielding.values().sum(),
        };
        let given: usize = sites.iter().map(|site| there(site) / tasks).sum();
        // Cheap machines first, to be hired if need be: guards against keeping dear ones for good
        // since they are there already.
        let kinds = if job.spec.spot { vec![Some(true), None] } else { vec![None] };
        for _ in given..count as usize {
            let room = kinds.iter().find_map(|spot| {
                self.cheapest_site(&need, tasks, &sites, *spot).map(|s| (s, *spot))
            });
            let Some((site, spot)) = room else { break };
            let mark = self.yard.mark();
            self.gang_later(&need, tasks, site.as_ref(), spot);
            self.plan.ready.extend(self.yard.live_since(mark).map(|m| m.id.clone()));
        }
    }

    /// While nothing else is wanted, has the gang whose move to cheap machines saves most go there,
    /// or hires them for it: in a burst gangs start where room is, which keeps ordinary machines
    /// rented long after it.
    fn cheapen(&mut self, book: &Book) {
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
                // As if it were nowhere yet: it may go to another zone.
                let stand_in = Job::expected(&job.spec, job.spec.tasks, job.submitted);
                let need = Need::new(self.settings, &stand_in);
                if let Some(site) = self.cheapest_site(&need, tasks, &sites, Some(true)) {
                    self.gang_later(&need, tasks, site.as_ref(), Some(true));
                }
            }
        }
    }

    /// Live slots on cheap machines for all tasks of a gang, wherever it is now, and how long they
    /// have to fetch its image, if that is not for long.
    fn cheap_places(
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

    /// Keeps a machine for a job.
    fn keep(&mut self, machine: &Machine, job: &Job) {
        let keep = (machine.id.clone(), job.spec.id.clone());
        if !self.plan.reserve.contains(&keep) {
            self.plan.reserve.push(keep);
        }
    }

    /// Tasks of the job that each zone could take at once if work of lower rank gave way.
    fn yielding(&mut self, need: &Need, book: &Book) -> BTreeMap<Zone, usize> {
        let mut zones = BTreeMap::new();
        for m in self.fleet.machines.values() {
            if !usable(m, self.now) || !need.allows(&m.flavor, &m.zone, m.spot) {
                continue;
            }
            let mut room = Room::default();
            for (task, held) in &m.held {
                let lower =
                    |j: &Job| j.spec.shape == Shape::Array && j.spec.rank < need.job.spec.rank;
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

    /// The zones that a job whose tasks belong together may be in, or the choice of all.
    fn sites(&self, job: &Job) -> Vec<Option<Zone>> {
        if job.spec.one_zone {
            self.settings.facts.zones.iter().cloned().map(Some).collect()
        } else {
            vec![None]
        }
    }

    /// Where room for so many tasks, later if not now, hires for least.
    fn cheapest_site(
        &mut self,
        need: &Need,
        count: usize,
        sites: &[Option<Zone>],
        spot: Option<bool>,
    ) -> Option<Option<Zone>> {
        self.best_site(need, sites, |pass, site| pass.gang_later(need, count, site, spot))
    }

    /// The site whose `cost` is least, of those that have one. What `cost` takes is given up again;
    /// where it finds nothing it has to leave all as it was.
    fn best_site(
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

    /// A gang starts whole or not at all.
    fn gang(&mut self, job: &Job, tasks: &[u32], book: &Book) {
        let need = Need::new(self.settings, job);
        if (self.within_limit(job)) < job.spec.tasks || tasks.len() < job.spec.tasks as usize {
            return;
        }
        let sites = self.sites(job);
        // All zones are tried, since the first with room may be the dearest or have no images there.
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
        // Machines that are being cleared are kept for it; others would come later than those. Not
        // for long: guards against waiting for ever for room that does not come.
        let clearing = self.make_room(&need, book, false, &sites);
        if clearing && self.now.since(job.submitted) < RESERVE_MS {
            return;
        }
        // Not now: count it against live room first, then machines on their way or to be hired,
        // so that nothing of lower rank takes what it will need. Where that hires for least.
        if let Some(site) = self.cheapest_site(&need, tasks.len(), &sites, None) {
            self.gang_later(&need, tasks.len(), site.as_ref(), None);
        }
    }

    /// Live slots for all tasks of a gang together, and what the worst of them scores.
    fn gang_places(
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

    /// Room for a gang on machines that are live, on their way or to be hired, and what the last
    /// cost by the hour. `spot`: on machines of that kind only.
    fn gang_later(
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

    fn mark(&self, job: &Job) -> (slots::Mark, Option<Usage>, usize) {
        let usage = self.usage.get(&job.spec.team).copied();
        (self.yard.mark(), usage, self.plan.hires.len())
    }

    fn roll_back(&mut self, job: &Job, (mark, usage, hires): (slots::Mark, Option<Usage>, usize)) {
        self.yard.roll_back(mark);
        self.usage.insert(job.spec.team.clone(), usage.unwrap_or_default());
        self.plan.hires.truncate(hires);
    }

    /// Whether a machine that has to boot first would come in time for the job's aim.
    fn can_wait(&self, job: &Job) -> bool {
        let Some(within) = objective(self.settings, &job.spec.class, "wait") else {
            return false;
        };
        let left = within - self.now.since(job.submitted).secs();
        let boot = self
            .fleet
            .catalog
            .iter()
            .flat_map(|c| c.flavors.iter())
            .map(|f| f.boot_s * 1.5)
            .fold(0.0, f64::max);
        left > boot
    }

    /// Stops tasks of lower rank, or of teams beyond their guarantee for one that is owed its
    /// own, where least work is lost: on one machine per pass for a job whose tasks start one by
    /// one, for a gang on as many as it needs, in one of its sites. Says whether room is being made.
    fn make_room(&mut self, need: &Need, book: &Book, owed: bool, sites: &[Option<Zone>]) -> bool {
        let job = need.job;
        if self.can_wait(job) {
            return false;
        }
        let id = &job.spec.id;
        let kept = self.yard.kept_for(id) || self.plan.reserve.iter().any(|(_, j)| j == id);
        // A search looks at every task on every machine; those left out have their turn in the
        // next pass.
        if kept || self.searches >= MAKE_ROOM_MOST {
            return kept;
        }
        self.searches += 1;
        self.plan.steps += VICTIM_STEPS * self.fleet.machines.len() as u64;
        let count = if job.spec.shape == Shape::Gang { job.spec.tasks as usize } else { 1 };
        let started: HashSet<&HostId> = self.plan.starts.iter().map(|(_, _, h)| h).collect();
        let mut offers: Vec<Offer> = Vec::new();
        for m in self.fleet.machines.values() {
            let taken = m.reserved.as_ref().is_some_and(|(_, until)| self.now < *until)
                || self.plan.reserve.iter().any(|(h, _)| *h == m.id);
            if !usable(m, self.now)
                || taken
                || count > 1 && started.contains(&m.id)
                || job.avoids(&m.id)
                || !need.allows(&m.flavor, &m.zone, m.spot)
                || !need.zone_open(&m.zone, &job.zones)
                || !self.fleet.room_of(m).fits(&need.room)
            {
                continue;
            }
            self.offers(m, need, book, owed, count, &mut offers);
        }
        offers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut best: Option<(f64, Vec<&Offer>)> = None;
        for site in sites {
            // Guards against clearing machines that the spread rule then forbids to use together.
            let mut zones = job.zones.clone();
            let mut fits = |o: &&Offer| {
                let zone = &o.machine.zone;
                let open = site.as_ref().is_none_or(|z| z == zone) && need.zone_open(zone, &zones);
                if open {
                    *zones.entry(zone.clone()).or_default() += 1;
                }
                open
            };
            let found: Vec<&Offer> = offers.iter().filter(|o| fits(o)).take(count).collect();
            let cost = found.iter().map(|o| o.cost).sum();
            if found.len() == count && best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, found));
            }
        }
        let Some((_, found)) = best else { return false };
        for offer in found {
            for task in &offer.victims {
                let grace = book.get(&task.job).map_or(0.0, |j| j.spec.save_s);
                self.plan.stops.push((task.clone(), StopWhy::Preempted, grace));
            }
            self.keep(offer.machine, job);
        }
        true
    }

    /// What a machine could give to up to `most` tasks, one after another: the tasks whose end
    /// would make room for each, and what work that loses.
    fn offers<'m>(
        &self,
        m: &'m Machine,
        need: &Need,
        book: &Book,
        owed: bool,
        most: usize,
        offers: &mut Vec<Offer<'m>>,
    ) {
        let mut free = self.fleet.free_room(m);
        let mut candidates: Vec<(f64, &TaskId, &Room)> = Vec::new();
        for (task, room) in &m.held {
            let Some(victim) = book.get(&task.job) else {
                continue;
            };
            let Some(hold) = victim.hold(task.index) else {
                continue;
            };
            let lower = victim.spec.rank < need.job.spec.rank;
            let borrowed = owed
                && victim.spec.team != need.job.spec.team
                && self.borrows(&victim.spec.team, book)
                && victim.spec.shape != Shape::Service;
            if !(lower || borrowed) || victim.spec.tasks > 1 && victim.spec.shape == Shape::Gang {
                continue;
            }
            if hold.stop.is_some() {
                free.add(room);
                continue;
            }
            let ran = hold.running_since.map_or(0.0, |t| self.now.since(t).secs());
            let lost = if victim.spec.checkpoint_s > 0.0 { victim.spec.save_s } else { ran };
            candidates.push((lost * room.cpus.max(0.1), task, room));
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut candidates = candidates.into_iter();
        // A fetch keeps the whole task waiting, as work lost keeps others.
        let fetch_s = self.fleet.fetch_s(m, &need.job.spec);
        let mut least = 0.0;
        for _ in 0..most {
            let (mut cost, mut victims) = (fetch_s * need.room.cpus, Vec::new());
            while !free.fits(&need.room) {
                let Some((lost, task, room)) = candidates.next() else { return };
                free.add(room);
                cost += lost;
                victims.push(task.clone());
            }
            free.take(&need.room);
            // Sorted by cost, a machine's places must still come in their order.
            least = f64::max(least, cost);
            offers.push(Offer { cost: least, machine: m, victims });
        }
    }

    /// Whether a team uses more than its guarantee.
    fn borrows(&self, team: &str, book: &Book) -> bool {
        let Some(facts) = self.settings.team(team) else {
            return true;
        };
        let used = book.usage.get(team).copied().unwrap_or_default();
        (facts.gpus > 0.0 && used.gpus > facts.gpus + 1e-6)
            || (facts.cpus > 0.0 && used.cpus > facts.cpus + 1e-6)
            || (facts.gpus <= 0.0 && facts.cpus <= 0.0)
    }
}

/// Room for one task that a machine could give, and at what loss.
struct Offer<'m> {
    cost: f64,
    machine: &'m Machine,
    victims: Vec<TaskId>,
}

/// Places for the tasks of one job, one after another.
struct Places {
    search: Search,
    zones: BTreeMap<Zone, u32>,
    only: Option<Zone>,
    spot: Option<bool>,
    mask: slots::Mask,
}

impl Places {
    fn new(pass: &Pass, need: &Need, zones: BTreeMap<Zone, u32>, only: Option<&Zone>) -> Self {
        let mask = pass.yard.mask(need, &zones, only);
        Self { search: Search::default(), zones, only: only.cloned(), spot: None, mask }
    }

    /// Leaves only cheap machines, or only ordinary ones.
    fn restrict(&mut self, pass: &Pass, spot: Option<bool>) {
        self.spot = spot;
        let Some(wanted) = spot else { return };
        for (open, (_, _, spot)) in self.mask.iter_mut().zip(&pass.yard.kinds) {
            *open &= *spot == wanted;
        }
    }

    /// The best live slot, which is taken.
    fn live(&mut self, pass: &mut Pass, need: &Need) -> Option<usize> {
        self.live_scored(pass, need).map(|(at, _)| at)
    }

    /// The same, with what it scores.
    fn live_scored(&mut self, pass: &mut Pass, need: &Need) -> Option<(usize, f64)> {
        let at = pass.yard.best(&mut self.search, need, &self.mask, When::Live)?;
        let score = pass.yard.score_of(need, at);
        self.take(pass, need, at);
        Some((at, score))
    }

    /// Counts a task against a machine on its way, or wishes for another one.
    fn later(&mut self, pass: &mut Pass, need: &Need, urgent: bool) -> bool {
        let at = match pass.yard.best(&mut self.search, need, &self.mask, When::Coming) {
            Some(at) => at,
            None => {
                let Some(kind) = pass.wish(need, &self.mask) else { return false };
                let (flavor, zone, spot) = &pass.yard.kinds[kind];
                let (flavor, zone, spot) = (flavor.label.clone(), zone.clone(), *spot);
                pass.plan.hires.push((Kind { flavor, zone, spot }, urgent));
                pass.yard.wish(kind)
            }
        };
        self.take(pass, need, at);
        true
    }

    fn take(&mut self, pass: &mut Pass, need: &Need, at: usize) {
        pass.yard.take(&mut self.search, at, need);
        pass.count_usage(need.job, 1.0);
        *self.zones.entry(pass.yard.zone(at).clone()).or_default() += 1;
        if need.job.spec.spread || need.job.spec.one_zone {
            self.mask = pass.yard.mask(need, &self.zones, self.only.as_ref());
            self.restrict(pass, self.spot);
        }
    }
}
