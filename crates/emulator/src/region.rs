//! The cloud with its machines and workers: what is rented, what runs, what is reported. Deterministic: the
//! time and all answers come in, requests and reports go out. The simulated world of the controllers' tests
//! and the emulator on sockets both play it.

use crate::checker::{Checker, Place};
use crate::constants::{DROP_MS, LATE_BOOTS, TURNED_AWAY_MS};
use crate::worker::{Fetch, Muster, Outside, Times, Worker};
use oatloom_protocol::ids::{HostId, Member, Zone};
use oatloom_protocol::wire::{
    Catalog, Command, ExitCause, Flavor, HireRequest, JobSpec, ListedMachine, MachineList,
    MachineStatus, Redirect, Report, ReportAnswer, TaskPhase,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

/// What kind of cloud it is.
#[derive(Clone, Debug)]
pub struct Terms {
    pub flavors: Vec<Flavor>,
    /// Machines of one kind (spot or ordinary) that a zone has.
    pub capacity: u32,
    /// Times that a machine takes to boot, in milliseconds.
    pub boot_ms: (u64, u64),
    /// Share of machines that never boot, and of those that take four times as long.
    pub never_boots: f64,
    pub late_boots: f64,
    /// How old lists are, in milliseconds.
    pub list_age_ms: (u64, u64),
    /// Machines in a page, at most.
    pub page: usize,
    /// Times of image fetches, in milliseconds; `None`: by the flavour's rate.
    pub fetch_ms: Option<(u64, u64)>,
    /// Whether spot prices move by up to a third.
    pub prices_move: bool,
    /// Names of machines go on from this number.
    pub first_machine: u64,
    pub nodes: Vec<Member>,
}

/// A report that is to be sent.
#[derive(Debug)]
pub struct Sending {
    pub host: String,
    pub id: u64,
    pub node: usize,
    pub report: Report,
}

/// How a hire came out.
#[derive(Debug, PartialEq, Eq)]
pub enum Hired {
    Hosts(Vec<HostId>),
    NoCapacity,
    Malformed(String),
}

pub struct Region {
    terms: Terms,
    times: Times,
    rng: ChaCha8Rng,
    pub workers: BTreeMap<String, Worker>,
    pub outside: Outside,
    pub checker: Checker,
    hires: HashMap<String, Vec<HostId>>,
    lists: Vec<(u64, Vec<ListedMachine>)>,
    machines: u64,
    reports: u64,
    /// Machines that were rented and never yet reported, by when they were rented.
    pub unseen: BTreeMap<String, u64>,
    /// Boot times of machines hired now, in usual ones, and the share of those that never boot beyond the usual.
    pub boots: (f64, f64),
    /// What each request was for: a name that comes back with another wish was used again.
    wishes: HashMap<String, HireRequest>,
    rented_at: HashMap<String, u64>,
}

impl Region {
    pub fn new(terms: Terms, times: Times, checker: Checker, seed: u64) -> Self {
        Self {
            machines: terms.first_machine,
            terms,
            times,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: BTreeMap::new(),
            outside: Outside::default(),
            checker,
            hires: HashMap::new(),
            lists: Vec::new(),
            reports: 0,
            unseen: BTreeMap::new(),
            boots: (1.0, 0.0),
            wishes: HashMap::new(),
            rented_at: HashMap::new(),
        }
    }

    /// A user uploads a job's description, as before submitting it.
    pub fn upload(&mut self, spec: &JobSpec) {
        self.outside.specs.insert(spec.id.to_string(), spec.clone());
        self.checker.submitted(spec);
    }

    // --- The cloud's interface -------------------------------------------------

    pub fn catalog(&mut self) -> Catalog {
        let mut flavors = self.terms.flavors.clone();
        if self.terms.prices_move {
            for flavor in &mut flavors {
                flavor.spot_price *= self.rng.random_range(0.67..1.33);
            }
        }
        Catalog { flavors }
    }

    /// What a machine of this type has.
    pub fn flavor(&self, label: &str) -> Option<&Flavor> {
        self.terms.flavors.iter().find(|f| f.label == label)
    }

    /// A page of the machine list, as it was a while ago.
    pub fn list(&mut self, now: u64, after: &str, most: usize) -> MachineList {
        let (least, longest) = self.terms.list_age_ms;
        let age = self.rng.random_range(least..longest);
        let seen = self.lists.iter().rev().find(|(at, _)| at + age <= now);
        let rows = seen.map(|(_, rows)| rows.clone()).unwrap_or_default();
        let mut rows = rows.into_iter().filter(|r| r.host.as_str() > after);
        let hosts: Vec<ListedMachine> = rows.by_ref().take(most.min(self.terms.page)).collect();
        let more = rows.next().is_some();
        MachineList { hosts, more }
    }

    /// Rents machines. A request that was answered gets the same answer again and rents nothing.
    pub fn hire(&mut self, now: u64, hire: &HireRequest) -> Hired {
        let wish = self.wishes.entry(hire.request_id.clone()).or_insert_with(|| hire.clone());
        if wish != hire {
            let text = format!("{}: {wish:?}, then {hire:?}", hire.request_id);
            self.checker.fail(now, "name_used_again", text);
        }
        if let Some(hosts) = self.hires.get(&hire.request_id) {
            return Hired::Hosts(hosts.clone());
        }
        let Some(flavor) = self.terms.flavors.iter().find(|f| f.label == hire.flavor).cloned()
        else {
            return Hired::Malformed(format!("unknown flavor {}", hire.flavor));
        };
        if !flavor.zones.contains(&hire.zone) || hire.number == 0 {
            return Hired::Malformed("unknown zone, or no machine wanted".into());
        }
        let same = |w: &&Worker| w.place.zone == hire.zone.as_str() && w.place.spot == hire.spot;
        let there = self.workers.values().filter(same).count() as u32;
        let got = hire.number.min(50).min(self.terms.capacity.saturating_sub(there));
        if got == 0 {
            return Hired::NoCapacity;
        }
        let mut hosts = Vec::new();
        for _ in 0..got {
            self.machines += 1;
            let host = format!("i-{:06}", self.machines);
            let place =
                Place { flavor: hire.flavor.clone(), zone: hire.zone.to_string(), spot: hire.spot };
            let (pace, never) = self.boots;
            let boot = if self.rng.random_bool((self.terms.never_boots + never).min(1.0)) {
                u64::MAX / 4
            } else {
                let usual = self.rng.random_range(self.terms.boot_ms.0..self.terms.boot_ms.1);
                let late = if self.rng.random_bool(self.terms.late_boots) { LATE_BOOTS } else { 1 };
                (usual as f64 * pace) as u64 * late
            };
            let fetch = match self.terms.fetch_ms {
                Some((least, most)) => Fetch::Between(least, most),
                None => Fetch::Rate(flavor.fetch_gb_per_s, BTreeMap::new()),
            };
            let mut worker =
                Worker::new(host.clone(), place, flavor.gpus, now + boot, self.times, fetch);
            worker.node = self.rng.random_range(0..self.terms.nodes.len());
            self.workers.insert(host.clone(), worker);
            self.unseen.insert(host.clone(), now);
            self.rented_at.insert(host.clone(), now);
            hosts.push(HostId::new(&host));
        }
        self.hires.insert(hire.request_id.clone(), hosts.clone());
        Hired::Hosts(hosts)
    }

    /// From now on there are so many machines of each zone and kind; those that are rented beyond stay.
    pub fn offer(&mut self, capacity: u32) {
        self.terms.capacity = capacity;
    }

    /// Machines are gone, with everything on them.
    pub fn release(&mut self, hosts: &[HostId]) {
        for host in hosts {
            self.take(host.as_str());
        }
    }

    /// A machine is gone without a word.
    pub fn take(&mut self, host: &str) {
        self.unseen.remove(host);
        self.rented_at.remove(host);
        if let Some(mut worker) = self.workers.remove(host) {
            worker.kill(&mut self.checker);
        }
    }

    /// Notes what the list will show later on.
    pub fn note_list(&mut self, now: u64) {
        let row = |w: &Worker| ListedMachine {
            host: HostId::new(&w.host),
            addr: w.addr.clone(),
            flavor: w.place.flavor.clone(),
            zone: Zone::new(&w.place.zone),
            spot: w.place.spot,
            status: if now >= w.up_at { MachineStatus::Running } else { MachineStatus::Booting },
            age_s: now.saturating_sub(self.rented_at.get(&w.host).copied().unwrap_or(now)) as f64
                / 1000.0,
        };
        let rows = self.workers.values().map(row).collect();
        self.lists.push((now, rows));
        // No list is older than twice the longest lag.
        let old = now.saturating_sub(2 * self.terms.list_age_ms.1);
        let keep = self.lists.partition_point(|(at, _)| *at < old).saturating_sub(1);
        self.lists.drain(..keep);
    }

    // --- Machines and their workers ---------------------------------------------

    /// Lets time pass on all machines; returns the reports that are due.
    pub fn step(&mut self, now: u64) -> Vec<Sending> {
        let mut musters: HashMap<(String, u64), Muster> = HashMap::new();
        for worker in self.workers.values().filter(|w| now >= w.hung_until) {
            for ((job, _, attempt), task) in &worker.tasks {
                let seen = musters.entry((job.clone(), *attempt)).or_default();
                let saves = task.phase == TaskPhase::Saving;
                let here = saves || matches!(task.phase, TaskPhase::Waiting | TaskPhase::Running);
                seen.there += u32::from(here);
                seen.done += u32::from(task.cause == Some(ExitCause::Done));
                seen.saving += u32::from(saves || task.stored);
                seen.size = self.outside.specs.get(job).map_or(u32::MAX, |spec| spec.tasks);
            }
        }
        let muster = |job: &str, attempt: u64| {
            musters.get(&(job.to_owned(), attempt)).copied().unwrap_or_default()
        };
        let (mut sendings, mut taken) = (Vec::new(), Vec::new());
        for (host, worker) in &mut self.workers {
            if worker.notice_until.is_some_and(|t| now >= t) {
                taken.push(host.clone());
            }
            if now < worker.up_at {
                continue;
            }
            if now < worker.hung_until {
                // It may go on at any time within its lease, not later.
                worker.end_lease(now, &mut self.checker);
                continue;
            }
            if worker.lease_from == worker.up_at && worker.tally == 0 {
                worker.lease_from = worker.lease_from.max(now);
            }
            worker.step(now, &mut self.outside, &muster, &mut self.checker);
            if worker.waiting.is_some_and(|(_, sent)| now > sent + DROP_MS) {
                let next = (worker.node + 1) % self.terms.nodes.len();
                worker.turn_away(now, next);
            }
            if worker.due(now) {
                self.reports += 1;
                let (id, node) = (self.reports, worker.node);
                let report = worker.report(now, id, &mut self.rng);
                sendings.push(Sending { host: host.clone(), id, node, report });
            }
        }
        taken.iter().for_each(|host| self.take(host));
        sendings
    }

    /// A node's answer to a report reaches its worker.
    pub fn answered(&mut self, now: u64, host: &str, report: (u64, u64), status: u16, body: &str) {
        let Some(worker) = self.workers.get_mut(host) else { return };
        let (_, sent) = report;
        if worker.waiting != Some(report) || now < worker.hung_until || now > sent + DROP_MS {
            return;
        }
        let next = (worker.node + 1) % self.terms.nodes.len();
        match status {
            200 => {
                let Ok(answer) = serde_json::from_str::<ReportAnswer>(body) else {
                    self.checker.fail(now, "answer", format!("{host}: {body}"));
                    return;
                };
                self.unseen.remove(host);
                worker.obey(now, sent, &answer, &self.outside, &mut self.rng, &mut self.checker);
            }
            421 => {
                let leader = serde_json::from_str::<Redirect>(body).ok().and_then(|to| to.leader);
                let at = leader.and_then(|l| self.terms.nodes.iter().position(|n| *n == l));
                match at.filter(|at| *at != worker.node) {
                    Some(leader) => {
                        worker.turn_away(now, leader);
                        worker.next_report = now + TURNED_AWAY_MS;
                    }
                    None => worker.turn_away(now, next),
                }
            }
            _ => worker.turn_away(now, next),
        }
    }

    /// A direct command reaches a machine that is up; its worker's report in answer.
    pub fn commanded(&mut self, now: u64, host: &str, command: &Command) -> Option<(bool, Report)> {
        let worker = self.workers.get_mut(host).filter(|w| now >= w.up_at)?;
        let obeys = command.token.0 >= worker.token && command.session.0 == worker.shift;
        let report = worker.command(now, command, &self.outside, &mut self.rng, &mut self.checker);
        Some((obeys, report))
    }

    // --- Troubles ------------------------------------------------------------------

    /// A machine that is up, drawn at random.
    pub fn some_machine(&mut self, now: u64) -> Option<String> {
        let up: Vec<String> =
            self.workers.iter().filter(|(_, w)| now >= w.up_at).map(|(h, _)| h.clone()).collect();
        up.choose(&mut self.rng).cloned()
    }

    /// Spot machines are taken back: two of three with notice, the third without a word.
    pub fn take_spot(&mut self, now: u64, most: usize, notice_ms: u64) -> usize {
        let spot = |(host, w): (&String, &Worker)| w.place.spot.then(|| host.clone());
        let taken: Vec<String> = self.workers.iter().filter_map(spot).take(most).collect();
        for (n, host) in taken.iter().enumerate() {
            if n % 3 == 2 {
                self.take(host);
            } else if let Some(worker) = self.workers.get_mut(host) {
                worker.notice_until = Some(now + notice_ms);
            }
        }
        taken.len()
    }

    pub fn machine(&mut self, host: &str) -> Option<&mut Worker> {
        self.workers.get_mut(host)
    }

    /// Tasks on machines, of all jobs.
    pub fn tasks(&self) -> usize {
        let here = |w: &Worker| w.tasks.values().filter(|t| t.phase != TaskPhase::Exited).count();
        self.workers.values().map(here).sum()
    }
}
