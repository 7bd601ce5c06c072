//! Jobs that wait although they could run, settings in which teams reach their limits, and helpers that change jobs and machines.

use super::{SETTINGS, Site, User, World, settings};
use oatloom_core::workers::Resources;
use oatloom_emulator::checker::Place;
use oatloom_emulator::worker::{ImageFetch, Worker, WorkerTimes};
use oatloom_protocol::wire::{JobSpec, JobStatus, Shape, TaskPhase};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// A job that could run for this long without interruption, after all faults, counts as neglected.
pub const NEGLECTED_MS: u64 = 90_000;
/// Tolerance for sums of decimal amounts.
const EPSILON: f64 = 1e-6;

/// Since when each waiting job could run without interruption.
#[derive(Debug, Default)]
pub struct NeglectTracker {
    since: BTreeMap<String, u64>,
    /// The longest such wait, in milliseconds.
    pub longest_wait_ms: u64,
}

impl NeglectTracker {
    /// Records which jobs could run now; returns those that have waited for too long.
    pub fn update(&mut self, now: u64, runnable: BTreeSet<String>) -> Vec<String> {
        self.since.retain(|job, _| runnable.contains(job));
        let mut overdue = Vec::new();
        for job in runnable {
            let waited = now - *self.since.entry(job.clone()).or_insert(now);
            self.longest_wait_ms = self.longest_wait_ms.max(waited);
            if waited > NEGLECTED_MS {
                // Each violation is reported once, and the wait is counted anew.
                self.since.remove(&job);
                overdue.push(job);
            }
        }
        overdue
    }
}

/// A machine and its free resources according to its worker.
pub struct MachineRoom {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub room: Resources,
}

/// How many further tasks of a job could be placed at once, given its running tasks by zone.
pub fn count_placeable_tasks(
    spec: &JobSpec,
    others: &BTreeMap<String, u32>,
    machines: &[MachineRoom],
) -> u32 {
    let need = Resources::from(spec);
    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
    for machine in machines {
        let allowed = spec.flavors.as_ref().is_none_or(|list| list.contains(&machine.flavor))
            && spec.zone.as_ref().is_none_or(|zone| zone.as_str() == machine.zone)
            && (spec.spot || !machine.spot);
        let mut room = machine.room;
        let mut fit = 0;
        while allowed && fit < spec.tasks && room.fits(&need) {
            room.subtract(&need);
            fit += 1;
        }
        *zones.entry(&machine.zone).or_default() += fit;
    }
    let count_in = |zone: &str| others.get(zone).copied().unwrap_or(0);
    let cap = if spec.spread { spec.tasks.div_ceil(2) } else { spec.tasks };
    let fit_by_zone =
        zones.iter().map(|(zone, fit)| (*zone, (*fit).min(cap.saturating_sub(count_in(zone)))));
    if !spec.one_zone {
        return fit_by_zone.map(|(_, fit)| fit).sum();
    }
    let has_task_elsewhere = |zone: &str| others.iter().any(|(other, n)| other != zone && *n > 0);
    fit_by_zone.filter(|(zone, _)| !has_task_elsewhere(zone)).map(|(_, fit)| fit).max().unwrap_or(0)
}

/// A team's guarantee and limit, in cores and GPUs; 0 means none.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamLimits {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// The default site with other teams.
pub fn site(teams: &[TeamLimits]) -> Site {
    let (head, rest) = SETTINGS.split_once("[[facts.teams]]").expect("settings with teams");
    let (_, tail) = rest.split_once("[[facts.objectives]]").expect("settings with objectives");
    let mut text = head.to_owned();
    for team in teams {
        let _ = writeln!(
            text,
            "[[facts.teams]]\nname = {:?}\ncpus = {:?}\ncpus_max = {:?}\ngpus = {:?}\ngpus_max = {:?}",
            team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max
        );
    }
    Site { settings: format!("{text}[[facts.objectives]]{tail}"), ..Site::default() }
}

impl World {
    /// Whether a leader can place tasks on a worker: it is up, reachable both ways, not faulty and not about to be reclaimed.
    fn is_usable(&self, worker: &Worker) -> bool {
        let now = self.now;
        now >= worker.up_at.max(worker.hung_until).max(worker.partitioned_until)
            && worker.notice_until.is_none()
            && !worker.faulty
            && !self.loses_inbound(&worker.host)
            && !(0..3).any(|node| self.is_partitioned(node, &worker.place.zone))
    }

    /// Tasks on machines according to their workers, including those that wait for their image.
    fn placed_tasks(&self) -> impl Iterator<Item = (&str, u32, &Worker)> {
        self.region.workers.values().flat_map(|worker| {
            let present = worker.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited);
            present.map(move |((job, index, _), _)| (job.as_str(), *index, worker))
        })
    }

    /// Accepted jobs that wait although a suitable machine has room and their team's limit leaves enough: for one task of an
    /// array or service, for all tasks of a gang. Jobs whose tasks fail by themselves are left out, since they back off
    /// after each failure.
    pub fn runnable_jobs(&self) -> BTreeSet<String> {
        let specs = &self.region.external.specs;
        let mut placed: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeMap<String, u32>> = BTreeMap::new();
        let mut used: BTreeMap<&str, Resources> = BTreeMap::new();
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for (job, index, worker) in self.placed_tasks() {
            placed.entry(job).or_default().insert(index);
            *zones.entry(job).or_default().entry(worker.place.zone.clone()).or_default() += 1;
            if let Some(spec) = specs.get(job) {
                used.entry(&spec.team).or_default().add(&Resources::from(spec));
                taken.entry(&worker.host).or_default().add(&Resources::from(spec));
            }
        }
        let free: Vec<MachineRoom> = self
            .region
            .workers
            .values()
            .filter(|worker| self.is_usable(worker))
            .map(|worker| {
                let mut room = self
                    .region
                    .flavor(&worker.place.flavor)
                    .map(Resources::from)
                    .unwrap_or_default();
                room.subtract(&taken.get(worker.host.as_str()).copied().unwrap_or_default());
                let place = worker.place.clone();
                MachineRoom { flavor: place.flavor, zone: place.zone, spot: place.spot, room }
            })
            .collect();
        let teams = settings(&self.site.settings, 0).facts.teams;
        let can_run = |user: &&User| {
            let spec = &user.spec;
            let id = spec.id.as_str();
            let placed_indices = placed.get(id);
            let is_placed = |task: u32| placed_indices.is_some_and(|tasks| tasks.contains(&task));
            let needs_machine =
                |task: u32| !self.region.checker.is_done(id, task) && !is_placed(task);
            let at_once = match spec.shape {
                Shape::Gang if placed_indices.is_some() => return false,
                Shape::Gang => spec.tasks,
                _ => 1,
            };
            if !user.accepted
                || user.abort_at.is_some_and(|at| self.now >= at)
                || self.region.checker.final_status(id).is_some()
                || self.unfinished_dependency(spec).is_some()
                || self.region.external.failing_jobs.contains_key(id)
                || !(0..spec.tasks).any(needs_machine)
            {
                return false;
            }
            let Some(team) = teams.iter().find(|team| team.name == spec.team) else { return false };
            let used = used.get(spec.team.as_str()).copied().unwrap_or_default();
            let is_within_limit = |limit: f64, used: f64, each: f64| {
                limit <= 0.0 || used + each * f64::from(at_once) <= limit + EPSILON
            };
            is_within_limit(team.cpus_max, used.cpus, spec.cpus)
                && is_within_limit(team.gpus_max, used.gpus, spec.gpus)
                && count_placeable_tasks(spec, zones.get(id).unwrap_or(&BTreeMap::new()), &free)
                    >= at_once
        };
        self.users.iter().filter(can_run).map(|user| user.spec.id.to_string()).collect()
    }

    /// After all faults, no job waits for long if it could run.
    pub(super) fn check_neglected(&mut self) {
        if self.now < self.faults_end_at {
            return;
        }
        let runnable = self.runnable_jobs();
        for job in self.neglect_tracker.update(self.now, runnable) {
            let text =
                format!("{job} could run but waits: {:?}", self.region.external.specs.get(&job));
            self.region.checker.report_violation(self.now, "neglected", text);
        }
    }

    /// Adds a machine of four GPUs that is up from the beginning.
    pub fn add_machine(&mut self, host: &str, zone: &str, spot: bool) {
        let times = WorkerTimes {
            report_interval_ms: 3_000,
            lease_ms: 26_000,
            gang_wait_ms: 40_000,
            gang_peer_ms: 4_000,
        };
        let place = Place { flavor: "g4".into(), zone: zone.into(), spot };
        let fetch = ImageFetch::Range(10, 11);
        let worker = Worker::new(host.into(), place, 4.0, 0, times, fetch);
        self.region.workers.insert(host.into(), worker);
    }

    /// Marks the jobs of all users as accepted.
    pub fn mark_all_accepted(&mut self) {
        self.users.iter_mut().for_each(|user| user.accepted = true);
    }

    /// A job's user cancels it at the given time, or as soon as it is accepted.
    pub fn cancel(&mut self, job: &str, at: u64) {
        if let Some(user) = self.users.iter_mut().find(|user| user.spec.id.as_str() == job) {
            (user.abort_at, user.next_request_at) = (Some(at), at);
        }
    }

    /// Machines that have a task of the job, according to their workers.
    pub fn machines_of(&self, job: &str) -> BTreeSet<String> {
        self.placed_tasks()
            .filter(|(id, ..)| *id == job)
            .map(|(.., worker)| worker.host.clone())
            .collect()
    }

    /// Jobs other than services that have a task on a machine and were not cancelled by their users.
    pub fn on_machines(&self) -> Vec<JobSpec> {
        let on_machines: BTreeSet<&str> =
            self.region.checker.on_machines().map(|task| task.job.as_str()).collect();
        let selected = self.users.iter().filter(|user| {
            user.spec.shape != Shape::Service
                && user.abort_at.is_none()
                && user.accepted
                && on_machines.contains(user.spec.id.as_str())
        });
        selected.map(|user| user.spec.clone()).collect()
    }

    /// Accepted jobs other than services that their users have not cancelled and do not know to be finished.
    pub fn open_jobs(&self) -> Vec<JobSpec> {
        let is_open = |user: &&User| {
            user.spec.shape != Shape::Service
                && user.accepted
                && user.abort_at.is_none()
                && self.region.checker.final_status(user.spec.id.as_str()).is_none()
        };
        self.users.iter().filter(is_open).map(|user| user.spec.clone()).collect()
    }

    /// The number of leader terms, counted by writes of the leader key.
    pub fn leader_term_count(&self) -> usize {
        let is_leader_key = |key: &Option<String>| key.as_deref() == Some("lead");
        self.state.history().iter().filter(|change| is_leader_key(&change.put)).count()
    }

    /// Whether a job's user knows that it is cancelled.
    pub fn is_known_cancelled(&self, job: &str) -> bool {
        self.region.checker.final_status(job) == Some(JobStatus::Cancelled)
    }
}
