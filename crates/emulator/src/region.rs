//! An emulated cloud region: rented machines, their workers and tasks, and the reports that workers send.
//! Deterministic: the caller passes in the time, requests and answers, and sends the reports that are
//! returned. Used by the simulated world of the controllers' tests and by the emulator on sockets.

use crate::checker::{Checker, Place};
use crate::constants::{LATE_BOOT_FACTOR, REDIRECT_RETRY_DELAY_MS, WORKER_ANSWER_TIMEOUT_MS};
use crate::worker::{ExternalState, GangState, ImageFetch, Worker, WorkerTimes};
use oatloom_protocol::ids::{HostId, Member, Zone};
use oatloom_protocol::wire::{
    Catalog, Command, ExitCause, Flavor, HireRequest, JobSpec, ListedMachine, MachineList,
    MachineStatus, Redirect, Report, ReportAnswer, TaskPhase,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

/// Properties of the cloud.
#[derive(Clone, Debug)]
pub struct CloudConfig {
    pub flavors: Vec<Flavor>,
    /// Maximum number of machines of each price kind (spot or ordinary) in a zone.
    pub capacity: u32,
    /// Range of boot times, in milliseconds.
    pub boot_ms: (u64, u64),
    /// Share of machines that never boot, and share of machines whose boot takes [`LATE_BOOT_FACTOR`] times
    /// as long.
    pub never_boot_share: f64,
    pub late_boot_share: f64,
    /// Range of the age of a returned machine list, in milliseconds.
    pub list_age_ms: (u64, u64),
    /// Maximum number of machines in a page of the list.
    pub max_page_machines: usize,
    /// Range of image fetch times, in milliseconds; `None`: computed from the fetch rate of the machine type.
    pub fetch_ms: Option<(u64, u64)>,
    /// Whether spot prices vary randomly by up to a third.
    pub has_varying_prices: bool,
    /// Number from which machine names continue.
    pub first_machine_number: u64,
    /// Controller nodes.
    pub nodes: Vec<Member>,
}

/// A report to send to a controller node.
#[derive(Debug)]
pub struct OutgoingReport {
    /// ID of the machine that sends it.
    pub host: String,
    /// Number of the report, unique in the region.
    pub id: u64,
    /// Index of the controller node.
    pub node: usize,
    pub report: Report,
}

/// Result of a hire request.
#[derive(Debug, PartialEq, Eq)]
pub enum HireOutcome {
    Hosts(Vec<HostId>),
    NoCapacity,
    Malformed(String),
}

/// The state of the emulated region.
pub struct Region {
    config: CloudConfig,
    times: WorkerTimes,
    rng: ChaCha8Rng,
    /// Rented machines, by ID.
    pub workers: BTreeMap<String, Worker>,
    /// Uploaded job descriptions and saved progress.
    pub external: ExternalState,
    /// Checker of the protocol's rules.
    pub checker: Checker,
    hosts_by_request: HashMap<String, Vec<HostId>>,
    list_snapshots: Vec<(u64, Vec<ListedMachine>)>,
    last_machine_number: u64,
    report_count: u64,
    /// Rented machines that have not had a report answered yet, with the time of the hire.
    pub unreported_machines: BTreeMap<String, u64>,
    /// Factor on the boot times of machines hired from now on, and an addition to the share of machines that
    /// never boot.
    pub boot_conditions: (f64, f64),
    /// First request with each request ID, to detect an ID that is reused for a different request.
    first_requests: HashMap<String, HireRequest>,
    rented_at: HashMap<String, u64>,
}

impl Region {
    /// Creates a region without machines.
    pub fn new(config: CloudConfig, times: WorkerTimes, checker: Checker, seed: u64) -> Self {
        Self {
            last_machine_number: config.first_machine_number,
            config,
            times,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: BTreeMap::new(),
            external: ExternalState::default(),
            checker,
            hosts_by_request: HashMap::new(),
            list_snapshots: Vec::new(),
            report_count: 0,
            unreported_machines: BTreeMap::new(),
            boot_conditions: (1.0, 0.0),
            first_requests: HashMap::new(),
            rented_at: HashMap::new(),
        }
    }

    /// A user uploads a job's description, which happens before its submission.
    pub fn upload_job(&mut self, spec: &JobSpec) {
        self.external.specs.insert(spec.id.to_string(), spec.clone());
        self.checker.record_submission(spec);
    }

    // --- The cloud's interface -------------------------------------------------

    /// Machine types with their current prices. Draws new spot prices from the random generator if
    /// `has_varying_prices` is set.
    pub fn draw_catalog(&mut self) -> Catalog {
        let mut flavors = self.config.flavors.clone();
        if self.config.has_varying_prices {
            for flavor in &mut flavors {
                flavor.spot_price *= self.rng.random_range(0.67..1.33);
            }
        }
        Catalog { flavors }
    }

    /// The machine type with this label.
    pub fn flavor(&self, label: &str) -> Option<&Flavor> {
        self.config.flavors.iter().find(|flavor| flavor.label == label)
    }

    /// A page of the machine list, which is as old as `list_age_ms` of the configuration allows.
    pub fn list_machines(&mut self, now: u64, after: &str, max: usize) -> MachineList {
        let (min_age, max_age) = self.config.list_age_ms;
        let age = self.rng.random_range(min_age..max_age);
        let snapshot = self.list_snapshots.iter().rev().find(|(at, _)| at + age <= now);
        let rows = snapshot.map(|(_, rows)| rows.clone()).unwrap_or_default();
        let mut rows = rows.into_iter().filter(|r| r.host.as_str() > after);
        let hosts: Vec<ListedMachine> =
            rows.by_ref().take(max.min(self.config.max_page_machines)).collect();
        let more = rows.next().is_some();
        MachineList { hosts, more }
    }

    /// Rents machines. A repeated request gets the same hosts and rents nothing.
    pub fn hire(&mut self, now: u64, hire: &HireRequest) -> HireOutcome {
        let first_request =
            self.first_requests.entry(hire.request_id.clone()).or_insert_with(|| hire.clone());
        if first_request != hire {
            let text = format!("{}: {first_request:?}, then {hire:?}", hire.request_id);
            self.checker.report_violation(now, "name_used_again", text);
        }
        if let Some(hosts) = self.hosts_by_request.get(&hire.request_id) {
            return HireOutcome::Hosts(hosts.clone());
        }
        let Some(flavor) =
            self.config.flavors.iter().find(|flavor| flavor.label == hire.flavor).cloned()
        else {
            return HireOutcome::Malformed(format!("unknown flavor {}", hire.flavor));
        };
        if !flavor.zones.contains(&hire.zone) || hire.number == 0 {
            return HireOutcome::Malformed("unknown zone, or number of machines is 0".into());
        }
        let is_same_kind =
            |w: &&Worker| w.place.zone == hire.zone.as_str() && w.place.spot == hire.spot;
        let rented = self.workers.values().filter(is_same_kind).count() as u32;
        let number = hire.number.min(50).min(self.config.capacity.saturating_sub(rented));
        if number == 0 {
            return HireOutcome::NoCapacity;
        }
        let mut hosts = Vec::new();
        for _ in 0..number {
            self.last_machine_number += 1;
            let host = format!("i-{:06}", self.last_machine_number);
            let place =
                Place { flavor: hire.flavor.clone(), zone: hire.zone.to_string(), spot: hire.spot };
            let (boot_factor, extra_never_boots) = self.boot_conditions;
            let boot_delay_ms = if self
                .rng
                .random_bool((self.config.never_boot_share + extra_never_boots).min(1.0))
            {
                u64::MAX / 4
            } else {
                let boot_ms = self.rng.random_range(self.config.boot_ms.0..self.config.boot_ms.1);
                let late_factor = if self.rng.random_bool(self.config.late_boot_share) {
                    LATE_BOOT_FACTOR
                } else {
                    1
                };
                (boot_ms as f64 * boot_factor) as u64 * late_factor
            };
            let fetch = match self.config.fetch_ms {
                Some((min, max)) => ImageFetch::Range(min, max),
                None => ImageFetch::Rate(flavor.fetch_gb_per_s, BTreeMap::new()),
            };
            let mut worker = Worker::new(
                host.clone(),
                place,
                flavor.gpus,
                now + boot_delay_ms,
                self.times,
                fetch,
            );
            worker.node = self.rng.random_range(0..self.config.nodes.len());
            self.workers.insert(host.clone(), worker);
            self.unreported_machines.insert(host.clone(), now);
            self.rented_at.insert(host.clone(), now);
            hosts.push(HostId::new(&host));
        }
        self.hosts_by_request.insert(hire.request_id.clone(), hosts.clone());
        HireOutcome::Hosts(hosts)
    }

    /// Sets the capacity of each zone and price kind. Machines that are already rented stay, even beyond it.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.config.capacity = capacity;
    }

    /// Ends the rent of machines, killing all tasks on them.
    pub fn release(&mut self, hosts: &[HostId]) {
        for host in hosts {
            self.remove_machine(host.as_str());
        }
    }

    /// Removes a machine without notice.
    pub fn remove_machine(&mut self, host: &str) {
        self.unreported_machines.remove(host);
        self.rented_at.remove(host);
        if let Some(mut worker) = self.workers.remove(host) {
            worker.kill(&mut self.checker);
        }
    }

    /// Takes a snapshot of the machine list, to be returned by later list requests.
    pub fn snapshot_list(&mut self, now: u64) {
        let build_row = |w: &Worker| ListedMachine {
            host: HostId::new(&w.host),
            addr: w.addr.clone(),
            flavor: w.place.flavor.clone(),
            zone: Zone::new(&w.place.zone),
            spot: w.place.spot,
            status: if now >= w.up_at { MachineStatus::Running } else { MachineStatus::Booting },
            age_s: now.saturating_sub(self.rented_at.get(&w.host).copied().unwrap_or(now)) as f64
                / 1000.0,
        };
        let rows = self.workers.values().map(build_row).collect();
        self.list_snapshots.push((now, rows));
        // No list request needs a snapshot older than twice the maximum age.
        let oldest_needed = now.saturating_sub(2 * self.config.list_age_ms.1);
        let expired_count =
            self.list_snapshots.partition_point(|(at, _)| *at < oldest_needed).saturating_sub(1);
        self.list_snapshots.drain(..expired_count);
    }

    // --- Machines and their workers ---------------------------------------------

    /// Advances all machines to `now`; returns the reports that are due.
    pub fn step(&mut self, now: u64) -> Vec<OutgoingReport> {
        let mut gang_states: HashMap<(String, u64), GangState> = HashMap::new();
        for worker in self.workers.values().filter(|w| now >= w.hung_until) {
            for ((job, _, attempt), task) in &worker.tasks {
                let gang_state = gang_states.entry((job.clone(), *attempt)).or_default();
                let is_saving = task.phase == TaskPhase::Saving;
                let is_active =
                    is_saving || matches!(task.phase, TaskPhase::Waiting | TaskPhase::Running);
                gang_state.active += u32::from(is_active);
                gang_state.done += u32::from(task.cause == Some(ExitCause::Done));
                gang_state.saving += u32::from(is_saving || task.stored);
                gang_state.task_count =
                    self.external.specs.get(job).map_or(u32::MAX, |spec| spec.tasks);
            }
        }
        let get_gang_state = |job: &str, attempt: u64| {
            gang_states.get(&(job.to_owned(), attempt)).copied().unwrap_or_default()
        };
        let (mut reports_due, mut reclaimed) = (Vec::new(), Vec::new());
        for (host, worker) in &mut self.workers {
            if worker.notice_until.is_some_and(|until| now >= until) {
                reclaimed.push(host.clone());
            }
            if now < worker.up_at {
                continue;
            }
            if now < worker.hung_until {
                // A hanging machine may resume within its lease, but not later.
                worker.expire_lease(now, &mut self.checker);
                continue;
            }
            if worker.lease_from == worker.up_at && worker.report_seq == 0 {
                worker.lease_from = worker.lease_from.max(now);
            }
            worker.step(now, &mut self.external, &get_gang_state, &mut self.checker);
            if worker
                .pending_report
                .is_some_and(|(_, sent_at)| now > sent_at + WORKER_ANSWER_TIMEOUT_MS)
            {
                let next = (worker.node + 1) % self.config.nodes.len();
                worker.switch_node(now, next);
            }
            if worker.is_report_due(now) {
                self.report_count += 1;
                let (id, node) = (self.report_count, worker.node);
                let report = worker.begin_report(now, id, &mut self.rng);
                reports_due.push(OutgoingReport { host: host.clone(), id, node, report });
            }
        }
        reclaimed.iter().for_each(|host| self.remove_machine(host));
        reports_due
    }

    /// Delivers a node's answer to a report, given by its ID and the time it was sent, to its worker. An answer
    /// that comes too late, while the machine hangs, or to another report than the pending one is dropped. On a
    /// redirect to another node the worker reports to that node next; on any other failure, to the next node.
    pub fn handle_answer(
        &mut self,
        now: u64,
        host: &str,
        report: (u64, u64),
        status: u16,
        body: &str,
    ) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        let (_, sent_at) = report;
        if worker.pending_report != Some(report)
            || now < worker.hung_until
            || now > sent_at + WORKER_ANSWER_TIMEOUT_MS
        {
            return;
        }
        let next = (worker.node + 1) % self.config.nodes.len();
        match status {
            200 => {
                let Ok(answer) = serde_json::from_str::<ReportAnswer>(body) else {
                    self.checker.report_violation(now, "answer", format!("{host}: {body}"));
                    return;
                };
                self.unreported_machines.remove(host);
                worker.handle_answer(
                    now,
                    sent_at,
                    &answer,
                    &self.external,
                    &mut self.rng,
                    &mut self.checker,
                );
            }
            421 => {
                let leader = serde_json::from_str::<Redirect>(body)
                    .ok()
                    .and_then(|redirect| redirect.leader);
                let node =
                    leader.and_then(|leader| self.config.nodes.iter().position(|n| *n == leader));
                match node.filter(|node| *node != worker.node) {
                    Some(leader) => {
                        worker.switch_node(now, leader);
                        worker.next_report = now + REDIRECT_RETRY_DELAY_MS;
                    }
                    None => worker.switch_node(now, next),
                }
            }
            _ => worker.switch_node(now, next),
        }
    }

    /// Delivers a direct command to a machine that has booted. Returns whether the worker accepted the
    /// command, and its report.
    pub fn handle_command(
        &mut self,
        now: u64,
        host: &str,
        command: &Command,
    ) -> Option<(bool, Report)> {
        let worker = self.workers.get_mut(host).filter(|w| now >= w.up_at)?;
        let is_accepted = command.token.0 >= worker.token && command.session.0 == worker.session;
        let report =
            worker.handle_command(now, command, &self.external, &mut self.rng, &mut self.checker);
        Some((is_accepted, report))
    }

    // --- Faults --------------------------------------------------------------------

    /// A random machine that has booted.
    pub fn pick_random_machine(&mut self, now: u64) -> Option<String> {
        let booted: Vec<String> =
            self.workers.iter().filter(|(_, w)| now >= w.up_at).map(|(h, _)| h.clone()).collect();
        booted.choose(&mut self.rng).cloned()
    }

    /// Preempts up to `max` spot machines: two of three with notice, every third without. Returns how many.
    pub fn preempt_spot_machines(&mut self, now: u64, max: usize, notice_ms: u64) -> usize {
        let get_spot_host = |(host, w): (&String, &Worker)| w.place.spot.then(|| host.clone());
        let reclaimed: Vec<String> =
            self.workers.iter().filter_map(get_spot_host).take(max).collect();
        for (n, host) in reclaimed.iter().enumerate() {
            if n % 3 == 2 {
                self.remove_machine(host);
            } else if let Some(worker) = self.workers.get_mut(host) {
                worker.notice_until = Some(now + notice_ms);
            }
        }
        reclaimed.len()
    }

    /// The worker on a machine.
    pub fn get_worker_mut(&mut self, host: &str) -> Option<&mut Worker> {
        self.workers.get_mut(host)
    }

    /// Number of tasks on machines, of all jobs.
    pub fn count_tasks(&self) -> usize {
        let count_active =
            |w: &Worker| w.tasks.values().filter(|t| t.phase != TaskPhase::Exited).count();
        self.workers.values().map(count_active).sum()
    }
}
