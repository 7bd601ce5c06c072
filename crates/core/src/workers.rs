//! Machines and what their workers report: the order of reports, leases, and when a machine's tasks
//! are certainly gone.

use crate::constants::*;
use oatloom_protocol::ids::*;
use oatloom_protocol::settings::WorkerFacts;
use oatloom_protocol::wire::{Catalog, Flavor, Report};
use oatloom_zones::ZoneStates;
use std::collections::{BTreeMap, BTreeSet};

/// Amounts of resources that a machine has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    /// Number of tasks. A machine takes [`MAX_MACHINE_TASKS`], however little each of them needs.
    pub tasks: i64,
}

/// Tolerance for rounding errors in sums of decimal amounts.
const EPSILON: f64 = 1e-6;

impl Resources {
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + EPSILON
            && need.gpus <= self.gpus + EPSILON
            && need.memory_gb <= self.memory_gb + EPSILON
            && need.tasks <= self.tasks
    }

    /// How many tasks that take `need` each fit, at most `limit`. Computed instead of counted by repeated
    /// subtraction: an amount that is 0, or too small to change what it is subtracted from, fits any number of times.
    pub fn count_fitting(&self, need: &Resources, limit: usize) -> usize {
        if !self.fits(need) {
            return 0;
        }
        let fitting = |room: f64, each: f64| {
            if each > 0.0 { ((room + EPSILON) / each).floor() } else { f64::INFINITY }
        };
        let count = fitting(self.cpus, need.cpus)
            .min(fitting(self.gpus, need.gpus))
            .min(fitting(self.memory_gb, need.memory_gb));
        let by_number = if need.tasks > 0 { self.tasks / need.tasks } else { i64::MAX };
        // The conversions saturate.
        (count as usize).min(usize::try_from(by_number).unwrap_or(0)).min(limit)
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
        self.tasks += other.tasks;
    }

    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
        self.tasks -= other.tasks;
    }

    /// The largest share of any amount of `whole` that this takes; the number of tasks does not count.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let share = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory_gb, whole.memory_gb))
    }
}

impl From<&Flavor> for Resources {
    fn from(f: &Flavor) -> Self {
        Self { cpus: f.cpus, gpus: f.gpus, memory_gb: f.memory_gb, tasks: MAX_MACHINE_TASKS }
    }
}

impl From<&oatloom_protocol::wire::JobSpec> for Resources {
    fn from(s: &oatloom_protocol::wire::JobSpec) -> Self {
        Self { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb, tasks: 1 }
    }
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Hired or listed by the cloud, but has not reported to this leader yet.
    Booting,
    /// Reports regularly.
    Live,
    /// Missed reports; its tasks still count as running.
    Silent,
    /// Not needed by the control loop: takes no new tasks and is returned once empty, but may
    /// become live again.
    Closing,
    /// Takes no new tasks; returned once empty or when its time is up.
    Draining,
    /// Its return has been requested; final.
    Releasing,
}

/// An image on a machine, or being fetched there.
#[derive(Clone, Debug, PartialEq)]
pub struct Image {
    pub name: String,
    pub gb: f64,
    /// Whether a task that uses it has been reported past its fetch.
    pub ready: bool,
}

/// A rented machine as the leader knows it.
#[derive(Debug)]
pub struct Machine {
    pub id: HostId,
    pub flavor: String,
    pub zone: Zone,
    pub spot: bool,
    pub addr: String,
    pub state: MachineState,
    pub created_at: Mono,
    pub session: WorkerSession,
    pub report_seq: ReportSeq,
    pub last_report: Option<Mono>,
    /// Whether anything but a possibly stale report shows that it exists: the cloud's list, the
    /// records, or a report with this leader's fencing token.
    pub existence_confirmed: bool,
    /// When the cloud's list first showed it as up.
    pub listed_up_since: Option<Mono>,
    /// When this leader last answered a report with 200.
    pub last_answer: Option<Mono>,
    pub assigned: BTreeMap<TaskId, Resources>,
    pub used: Resources,
    /// Reported tasks that the job table does not assign there, and the resources they take.
    pub strays: BTreeMap<(TaskId, Attempt), Resources>,
    /// When the cloud will take the machine back, if it has announced that.
    pub reclaim_at: Option<Mono>,
    pub idle_since: Mono,
    pub failed_jobs: BTreeSet<JobId>,
    pub paused_until: Mono,
    /// Images by last use, newest last.
    pub images: Vec<Image>,
    pub reservation: Option<(JobId, Mono)>,
    /// When it was last sent a direct command to stop tasks of finished jobs, since it did not
    /// report.
    pub last_direct_command: Mono,
    /// Consecutive answers that did not reach it, as its next report showed.
    pub missed_answers: u32,
    /// Whether its lease ran out while this leader could answer nobody and it has not reported
    /// since: its tasks are gone, and it may be gone too.
    pub lease_lapsed: bool,
}

impl Machine {
    /// Changes the state; no other code does.
    pub fn set_state(&mut self, state: MachineState, why: &str) {
        if self.state != state && self.state != MachineState::Releasing {
            log::info!("machine {}: {:?} -> {:?} ({why})", self.id, self.state, state);
            self.state = state;
        }
    }

    pub fn assign(
        &mut self,
        task: TaskId,
        need: Resources,
        image: &str,
        image_gb: f64,
        cache_gb: f64,
    ) {
        self.used.add(&need);
        self.assigned.insert(task, need);
        let ready = self.has_image(image);
        self.images.retain(|i| i.name != image);
        self.images.push(Image { name: image.to_owned(), gb: image_gb, ready });
        let mut total: f64 = self.images.iter().map(|i| i.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// Whether the cloud's list or the records show that it has been up.
    pub fn was_up(&self) -> bool {
        self.listed_up_since.is_some() || !self.assigned.is_empty()
    }

    /// The job for which it is reserved, if any.
    pub fn reserved_for(&self, now: Mono) -> Option<&JobId> {
        self.reservation.as_ref().filter(|(_, until)| now < *until).map(|(job, _)| job)
    }

    /// Whether any task of the job is placed here.
    pub fn has_task_of(&self, job: &JobId) -> bool {
        let all = TaskId::new(job, 0)..=TaskId::new(job, u32::MAX);
        self.assigned.range(all).next().is_some()
    }

    pub fn unassign(&mut self, task: &TaskId, now: Mono) {
        if let Some(need) = self.assigned.remove(task) {
            self.used.subtract(&need);
        }
        if self.assigned.is_empty() {
            self.used = Resources::default();
            self.idle_since = now;
            // The worker gives up a fetch when no task waits for it.
            self.images.retain(|i| i.ready);
        }
    }

    pub fn mark_fetched(&mut self, image: &str) {
        if let Some(found) = self.images.iter_mut().find(|i| i.name == image) {
            found.ready = true;
        }
    }

    /// Adds images that an earlier leader knew to be there.
    pub fn restore_images(&mut self, images: Vec<Image>) {
        for image in images {
            self.images.retain(|i| i.name != image.name);
            self.images.push(image);
        }
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|i| i.name == image && i.ready)
    }

    /// Images being fetched; they share the machine's fetch rate.
    pub fn fetching(&self) -> Vec<(String, f64)> {
        self.images.iter().filter(|i| !i.ready).map(|i| (i.name.clone(), i.gb)).collect()
    }

    /// Seconds that it would take to replace the machine by one of the same type with the same
    /// images: a boot and the fetches.
    pub fn replacement_s(&self, catalog: Option<&Catalog>) -> f64 {
        let flavor = catalog.and_then(|c| c.flavor(&self.flavor));
        let gb: f64 = self.images.iter().filter(|i| i.ready).map(|i| i.gb).sum();
        let fetch_s = |rate: f64| if rate > 0.0 { gb / rate } else { 0.0 };
        flavor.map_or(0.0, |f| f.boot_s + fetch_s(f.fetch_gb_per_s))
    }

    /// Whether its last report has not been answered yet.
    pub fn awaits_answer(&self) -> bool {
        self.last_report.is_some_and(|at| self.last_answer.is_none_or(|answer| answer < at))
    }

    /// Seconds until its next report is due; 0 if one waits for its answer.
    pub fn next_report_in_s(&self, report_s: f64, now: Mono) -> f64 {
        match self.last_report {
            Some(at) if !self.awaits_answer() => (report_s - now.since(at).as_secs()).max(0.0),
            _ => 0.0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.assigned.is_empty() && self.strays.is_empty()
    }
}

/// How long after sending its last answered report a worker may keep its tasks, by any steady
/// clock.
pub fn lease_span(lease_s: f64) -> Millis {
    Millis::from_secs(lease_s * (1.0 + 2.0 * MAX_CLOCK_DRIFT) + LEASE_SLACK_MS.as_secs())
}

/// The cancellation bound: how long a task can still be on a machine after its user was told that
/// the job is cancelled. A controller confirms a cancellation that it decided in its own term or
/// whose final record it has read. Whoever may answer a report from then on knows of it: an earlier
/// leader's validity ends before a later one gets the key, and a new leader answers no report
/// before it has read the job table. Answers sent before leave one lease.
pub fn cancellation_bound(facts: &WorkerFacts) -> Millis {
    lease_span(facts.lease_s)
}

/// How a report compares with those seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Older than one seen before; its content is ignored.
    Stale,
    /// New, but its worker has not accepted an answer of this leader yet.
    Unconfirmed,
    /// New, and later than any answer of an earlier leader.
    Confirmed,
}

/// All machines, by their ids, and those removed lately.
#[derive(Debug, Default)]
pub struct Fleet {
    pub machines: BTreeMap<HostId, Machine>,
    pub tombstones: BTreeMap<HostId, Mono>,
    pub catalog: Option<Catalog>,
    /// State of each zone, as far as its machines' reports show it.
    pub zones: ZoneStates,
}

impl Fleet {
    pub fn flavor(&self, label: &str) -> Option<&Flavor> {
        self.catalog.as_ref()?.flavor(label)
    }

    /// Usual boot time of the type that boots fastest.
    pub fn min_boot_s(&self) -> Option<f64> {
        self.catalog.iter().flat_map(|c| &c.flavors).map(|f| f.boot_s).reduce(f64::min)
    }

    /// Seconds to fetch a job's image to a machine if nothing else is being fetched.
    pub fn fetch_s(&self, machine: &Machine, spec: &oatloom_protocol::wire::JobSpec) -> f64 {
        let rate = self.flavor(&machine.flavor).map_or(0.0, |f| f.fetch_gb_per_s);
        if rate > 0.0 && !machine.has_image(&spec.image) { spec.image_gb / rate } else { 0.0 }
    }

    pub fn capacity_of(&self, machine: &Machine) -> Resources {
        self.flavor(&machine.flavor).map(Resources::from).unwrap_or_default()
    }

    /// Free room on a machine, with stray tasks counted.
    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let mut free = self.capacity_of(machine);
        free.subtract(&machine.used);
        for need in machine.strays.values() {
            free.subtract(need);
        }
        free
    }

    /// Returns the machine, adding it if it is not known.
    pub fn get_or_add_machine(
        &mut self,
        id: &HostId,
        flavor: &str,
        zone: &Zone,
        spot: bool,
        created_at: Mono,
        now: Mono,
    ) -> &mut Machine {
        self.machines.entry(id.clone()).or_insert_with(|| {
            log::info!("machine {id}: added, {flavor} in {zone}, spot {spot}");
            Machine {
                id: id.clone(),
                flavor: flavor.to_owned(),
                zone: zone.clone(),
                spot,
                addr: String::new(),
                state: MachineState::Booting,
                created_at,
                session: WorkerSession(0),
                report_seq: ReportSeq(0),
                last_report: None,
                existence_confirmed: false,
                listed_up_since: None,
                last_answer: None,
                assigned: BTreeMap::new(),
                used: Resources::default(),
                strays: BTreeMap::new(),
                reclaim_at: None,
                idle_since: now,
                failed_jobs: BTreeSet::new(),
                paused_until: Mono(0),
                last_direct_command: Mono(0),
                missed_answers: 0,
                images: Vec::new(),
                reservation: None,
                lease_lapsed: false,
            }
        })
    }

    /// Orders a report among those seen before and records what it contains on the machine itself. The
    /// caller compares the tasks that it lists.
    pub fn record_report(&mut self, report: &Report, token: Token, now: Mono) -> Freshness {
        let fresh = self
            .machines
            .get(&report.host)
            .is_none_or(|m| (report.session, report.report_seq) > (m.session, m.report_seq));
        if !fresh {
            return Freshness::Stale;
        }
        let m = self.get_or_add_machine(
            &report.host,
            &report.flavor,
            &report.zone,
            report.spot,
            now,
            now,
        );
        m.flavor.clone_from(&report.flavor);
        m.zone = report.zone.clone();
        m.spot = report.spot;
        m.addr.clone_from(&report.addr);
        m.session = report.session;
        m.report_seq = report.report_seq;
        m.last_report = Some(now);
        m.lease_lapsed = false;
        let confirmed = report.token == token;
        m.existence_confirmed |= confirmed;
        m.reclaim_at = report.notice_s.map(|s| now.plus(Millis::from_secs(s)));
        if m.reclaim_at.is_some() {
            m.set_state(MachineState::Draining, "the cloud announced that it will take it back");
        } else if matches!(m.state, MachineState::Booting | MachineState::Silent)
            && m.existence_confirmed
        {
            // Without this, an old report of a machine that an earlier leader has returned would
            // get it new tasks.
            m.set_state(MachineState::Live, "reported");
        }
        if confirmed { Freshness::Confirmed } else { Freshness::Unconfirmed }
    }

    /// When a machine's tasks are certainly gone if it does not report again: its lease, with
    /// clock drift, from the latest time at which a valid leader can have answered it.
    pub fn tasks_gone_by(m: &Machine, term_started_at: Mono, lease_s: f64) -> Mono {
        let from = m.last_answer.unwrap_or(term_started_at).max(term_started_at);
        from.plus(lease_span(lease_s))
    }

    pub fn remove(&mut self, id: &HostId, now: Mono) -> Option<Machine> {
        self.tombstones.insert(id.clone(), now);
        self.machines.remove(id)
    }

    pub fn expire_tombstones(&mut self, now: Mono) {
        self.tombstones.retain(|_, at| now.since(*at) < TOMBSTONE_TTL_MS);
    }
}

#[cfg(test)]
mod tests;
