//! A takeover by a controller with a small share of one processor, at 4,000 and 6,000 machines: each event costs processor time
//! by its kind, reports and polls are given up by their callers and come again. The controller has to return to its steady state
//! by itself, with no lease lost and every job answered for.

#[allow(dead_code)]
mod world;

use oatloom_core::api::Request;
use oatloom_core::cloud::{CloudOp, CloudReply};
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::inbox::{Admitted, DroppedReports, Inbox};
use oatloom_core::jobs::{self, ChunkRecord, LiveRecord};
use oatloom_core::operators::OperatorSettings;
use oatloom_core::reply::ConnId;
use oatloom_core::store::{OpId, StoreOp, StoreReply};
use oatloom_protocol::ids::{
    Attempt, HostId, JobId, Mono, Now, ReportSeq, Revision, Token, WorkerSession, Zone,
};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{
    Catalog, Change, Flavor, JobSpec, MachineList, Page, Rank, Report, ReportAnswer, Shape,
    TaskPhase, TaskReport, Txn,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use world::state::State;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Share of one processor that the controller has.
const CPU_SHARE: f64 = 0.264;
/// Machines on which one job has its tasks, and tasks on each machine.
const MACHINES_OF_JOB: usize = 2;
const TASKS_OF_MACHINE: usize = 3;
/// The former leader's token, as all workers know it.
const FORMER: Token = Token(5);
/// Periods and time-outs of workers and users (protocol), in milliseconds.
const REPORT_MS: u64 = 8_000;
const REPORT_PATIENCE_MS: u64 = 4_000;
const LEASE_MS: u64 = 34_000;
const POLL_MS: u64 = 5_000;
const POLL_PATIENCE_MS: u64 = 2_000;
/// A job of which nothing can be heard for so long counts as forgotten.
const FORGOTTEN_MS: u64 = 75_000;
/// When steady state must have returned, and when the test ends.
const STEADY_FROM_MS: u64 = 30_000;
const END_MS: u64 = 80_000;

/// Processor time of what happens, in microseconds of a whole processor.
#[derive(Clone, Copy, Debug)]
struct Costs {
    report: f64,
    poll: f64,
    /// The answer of a service.
    answer: f64,
    dropped: f64,
    /// A connection that is made anew.
    connect: f64,
    /// A look at a parked report.
    look: f64,
    /// The control loop, twice a second, for each machine.
    machine: f64,
}

/// As a simulated play at 3,985 machines has it: 0.44 of a share of 0.264 with 420 reports and 460 polls a second, a half of it
/// in the control loop.
const MEASURED: Costs = Costs {
    report: 70.0,
    poll: 30.0,
    answer: 40.0,
    dropped: 10.0,
    connect: 20.0,
    look: 0.7,
    machine: 8.0,
};

/// More than the share carries at 6,000 machines, by a sixth.
const DEAR: Costs = Costs { report: 160.0, poll: 60.0, connect: 40.0, ..MEASURED };

/// What is planted in the code that is tested.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// A first-come queue in which nothing is too old.
    QueueWithoutAge,
    /// All parked reports are looked at with every event.
    LooksAtAll,
    /// What is dropped costs as much as what is answered.
    DearRefusals,
}

#[derive(Clone, Debug)]
enum From {
    Worker(usize, u64),
    User(usize, u64),
}

struct Worker {
    report: Report,
    next: u64,
    /// When the report under way was sent.
    sent: Option<u64>,
    heard: u64,
    lost: bool,
}

struct User {
    job: JobId,
    next: u64,
    sent: Option<u64>,
    heard: u64,
    forgotten: bool,
}

/// What was seen.
#[derive(Debug, Default)]
struct Seen {
    leases_lost: usize,
    forgotten: usize,
    /// Reports and polls that were given up before and after steady state must have returned.
    given_up: [u32; 2],
    answered: [u32; 2],
    longest_queue: usize,
    queue_at_end: usize,
    /// The last moment at which anything was given up.
    last_trouble: u64,
}

struct Bed {
    core: Controller,
    state: State,
    inbox: Inbox<(From, Request)>,
    dropped_reports: DroppedReports,
    plain: VecDeque<(From, Request)>,
    planted: Planted,
    costs: Costs,
    now: u64,
    events: VecDeque<Event>,
    calls: BTreeMap<(u64, u64), Event>,
    watches: Vec<(u64, OpId, String, Revision)>,
    serial: u64,
    open: HashMap<ConnId, From>,
    workers: Vec<Worker>,
    users: Vec<User>,
    rng: ChaCha8Rng,
    budget_us: f64,
    seen: Seen,
}

fn spec(n: usize) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-{n:06}")),
        class: "quick".into(),
        team: "red".into(),
        shape: Shape::Service,
        rank: Rank::Critical,
        tasks: (MACHINES_OF_JOB * TASKS_OF_MACHINE) as u32,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 20.0,
        image: format!("img-{}", n % 8),
        image_gb: 5.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn zone_of(machine: usize) -> Zone {
    Zone::new(ZONES[machine % ZONES.len()])
}

fn host(machine: usize) -> HostId {
    HostId::new(&format!("i-{machine:06}"))
}

fn flavor() -> Flavor {
    Flavor {
        label: "f".into(),
        cpus: 48.0,
        gpus: 4.0,
        memory_gb: 192.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 45.0,
        zones: ZONES.iter().map(|z| Zone::new(z)).collect(),
    }
}

fn put(state: &mut State, key: String, value: serde_json::Value) {
    let txn = Txn { conditions: Vec::new(), changes: vec![Change::put(key, value)] };
    assert!(matches!(state.execute(0, &StoreOp::Txn(txn)), StoreReply::Committed(_)));
}

/// What a former leader has left: each job's tasks run on its machines.
fn inheritance(machines: usize) -> (State, Vec<Worker>, Vec<User>) {
    let mut state = State::default();
    let (mut workers, mut users) = (Vec::new(), Vec::new());
    for n in 0..machines / MACHINES_OF_JOB {
        let spec = spec(n);
        let size = (spec.team.clone(), spec.cpus, spec.gpus, spec.memory_gb, spec.tasks);
        let machine_of = |task: usize| n * MACHINES_OF_JOB + task / TASKS_OF_MACHINE;
        let held = (0..spec.tasks).map(|task| {
            let machine = machine_of(task as usize);
            (task, Attempt(FORMER.0 << 20), host(machine), WorkerSession(1), zone_of(machine))
        });
        let record = ChunkRecord {
            done: "00".into(),
            assignments: held.collect(),
            size,
            charges: Default::default(),
            usage: Default::default(),
        };
        for machine in (n * MACHINES_OF_JOB)..(n + 1) * MACHINES_OF_JOB {
            let here = (0..spec.tasks).filter(|task| machine_of(*task as usize) == machine);
            let row = |task| TaskReport {
                task: format!("{}/{task}", spec.id),
                attempt: Attempt(FORMER.0 << 20),
                status: TaskPhase::Running,
                cause: None,
                stored: false,
                ran_ms: None,
            };
            let report = Report {
                host: host(machine),
                addr: format!("10.0.{}.{}:9000", machine / 250, machine % 250),
                flavor: "f".into(),
                zone: zone_of(machine),
                spot: false,
                session: WorkerSession(1),
                report_seq: ReportSeq(100),
                token: FORMER,
                notice_s: None,
                tasks: here.map(row).collect(),
            };
            workers.push(Worker { report, next: 0, sent: None, heard: 0, lost: false });
        }
        users.push(User { job: spec.id.clone(), next: 0, sent: None, heard: 0, forgotten: false });
        put(
            &mut state,
            jobs::live_key(&spec.id),
            serde_json::to_value(LiveRecord { spec: spec.clone(), wall_ms: 1_000_000, part: None })
                .unwrap(),
        );
        put(&mut state, jobs::chunk_key(&spec.id, 0), serde_json::to_value(record).unwrap());
    }
    (state, workers, users)
}

impl Bed {
    fn new(machines: usize, seed: u64, costs: Costs, planted: Planted) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let text = world::SETTINGS
            .replace("report_s = 3.0", "report_s = 8.0")
            .replace("lease_s = 26.0", "lease_s = 34.0")
            .replace("cancel_s = 46.0", "cancel_s = 59.0")
            .replace("rps = 120.0", "rps = 180.0")
            .replace("write_rps = 25.0", "write_rps = 50.0")
            .replace("gpus_max = 14.0", "gpus_max = 0.0")
            .replace("cpu_share = 0.5", &format!("cpu_share = {CPU_SHARE}"))
            .replace("sockets = 1000", "sockets = 2500");
        let settings = oatloom::settings::parse_platform_settings(&text).expect("sound settings");
        let connections = settings.facts.limits.max_connections();
        let (state, mut workers, mut users) = inheritance(machines);
        // A third of the reports were under way to the former leader, and come again together a second later.
        for worker in &mut workers {
            let at_once = rng.random_bool(0.35);
            worker.next = if at_once {
                1_000 + rng.random_range(0..100)
            } else {
                rng.random_range(0..REPORT_MS)
            };
        }
        for user in &mut users {
            user.next = rng.random_range(0..POLL_MS);
        }
        Self {
            core: Controller::new(settings, OperatorSettings::default(), rng.random()),
            state,
            inbox: Inbox::new(connections),
            dropped_reports: DroppedReports::default(),
            plain: VecDeque::new(),
            planted,
            costs,
            now: 0,
            events: VecDeque::new(),
            calls: BTreeMap::new(),
            watches: Vec::new(),
            serial: 0,
            open: HashMap::new(),
            workers,
            users,
            rng,
            budget_us: 0.0,
            seen: Seen::default(),
        }
    }

    fn later(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.calls.insert((self.now + delay, self.serial), event);
    }

    fn phase(&self) -> usize {
        usize::from(self.now >= STEADY_FROM_MS)
    }

    fn send(&mut self, from: From, request: Request) {
        self.budget_us -= self.costs.connect;
        if self.planted == Planted::QueueWithoutAge {
            return self.plain.push_back((from, request));
        }
        let kind = self.dropped_reports.classify(&request, self.core.leader_token());
        if let Some(Admitted::Drop((from, request), retry)) =
            self.inbox.push(Mono(self.now), kind, false, (from, request))
        {
            self.turn_away(from, &request, retry);
        }
    }

    /// A caller is told at once to come back.
    fn turn_away(&mut self, from: From, request: &Request, retry_after_s: u32) {
        self.dropped_reports.record_dropped(request);
        self.budget_us -= if self.planted == Planted::DearRefusals {
            self.costs.report
        } else {
            self.costs.dropped
        };
        let later = HttpReply::unavailable("busy");
        self.answered(from, &HttpReply { retry_after_s: Some(retry_after_s), ..later });
    }

    fn callers(&mut self) {
        let (now, phase) = (self.now, self.phase());
        for n in 0..self.workers.len() {
            let again = 1_000 + self.rng.random_range(0..500);
            let worker = &mut self.workers[n];
            if worker.lost {
                continue;
            }
            if now - worker.heard > LEASE_MS {
                worker.lost = true;
                self.seen.leases_lost += 1;
            } else if worker.sent.is_some_and(|sent| now - sent >= REPORT_PATIENCE_MS) {
                (worker.sent, worker.next) = (None, now + again);
                self.seen.given_up[phase] += 1;
                self.seen.last_trouble = now;
            } else if worker.sent.is_none() && now >= worker.next {
                worker.sent = Some(now);
                worker.report.report_seq.0 += 1;
                let request = Request::Report(Box::new(worker.report.clone()));
                self.send(From::Worker(n, now), request);
            }
        }
        for n in 0..self.users.len() {
            let user = &mut self.users[n];
            if now - user.heard > FORGOTTEN_MS && !user.forgotten {
                user.forgotten = true;
                self.seen.forgotten += 1;
            }
            if user.sent.is_some_and(|sent| now - sent >= POLL_PATIENCE_MS) {
                (user.sent, user.next) = (None, now + POLL_MS - POLL_PATIENCE_MS);
                self.seen.given_up[phase] += 1;
                self.seen.last_trouble = now;
            } else if user.sent.is_none() && now >= user.next {
                user.sent = Some(now);
                let request = Request::View(user.job.clone());
                self.send(From::User(n, now), request);
            }
        }
    }

    fn answered(&mut self, from: From, reply: &HttpReply) {
        let (now, phase) = (self.now, self.phase());
        match from {
            From::Worker(n, sent) => {
                let again = self.rng.random_range(REPORT_MS * 3 / 4..REPORT_MS * 5 / 4);
                let worker = &mut self.workers[n];
                if worker.sent != Some(sent) {
                    return;
                }
                worker.sent = None;
                if reply.status != 200 {
                    worker.next = now + 1_500;
                    return;
                }
                let answer: ReportAnswer = serde_json::from_str(&reply.body).expect("an answer");
                worker.heard = sent;
                // A higher token is a change, which is reported soon.
                let changed = answer.token > worker.report.token;
                worker.report.token = answer.token;
                worker.next = sent.max(now) + if changed { 500 } else { again };
                self.seen.answered[phase] += 1;
            }
            From::User(n, sent) => {
                let user = &mut self.users[n];
                if user.sent == Some(sent) {
                    (user.sent, user.next) = (None, now + POLL_MS);
                    if reply.status == 200 {
                        user.heard = now;
                        self.seen.answered[phase] += 1;
                    }
                }
            }
        }
    }

    fn page(&mut self, prefix: &str, after: &str) -> StoreReply {
        let (mut rows, mut after, mut more) = (Vec::new(), after.to_owned(), true);
        let mut revision = Revision(0);
        while more && rows.len() < PAGE_ROWS as usize {
            let list = StoreOp::List { prefix: prefix.to_owned(), after: after.clone() };
            let StoreReply::Page(page) = self.state.execute(self.now, &list) else {
                unreachable!()
            };
            (more, revision) = (page.more, page.revision);
            after = page.rows.last().map(|row| row.key.clone()).unwrap_or_default();
            rows.extend(page.rows);
        }
        StoreReply::Page(Page { rows, more, revision })
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Reply { conn, reply } => {
                if let Some(from) = self.open.remove(&conn) {
                    self.answered(from, &reply);
                }
            }
            Action::Store { id, op: StoreOp::Follow { prefix, after }, .. } => {
                self.watches.push((self.now + WATCH_HOLD_MS.0, id, prefix, after));
            }
            Action::Store { id, op, .. } => {
                let reply = match &op {
                    StoreOp::List { prefix, after } => self.page(prefix, after),
                    op => self.state.execute(self.now, op),
                };
                self.later(10, Event::Store { id, reply });
            }
            Action::Cloud { id, op } => {
                let reply = match op {
                    CloudOp::Catalog => CloudReply::Catalog(Catalog { flavors: vec![flavor()] }),
                    CloudOp::List { .. } => {
                        CloudReply::List(MachineList { hosts: Vec::new(), more: false })
                    }
                    CloudOp::Hire(_) => CloudReply::NoCapacity,
                    CloudOp::Release(_) => CloudReply::Released,
                };
                self.later(200, Event::Cloud { id, reply });
            }
            Action::PeerRequest { id, .. } => self.later(500, Event::PeerReply { id, reply: None }),
            Action::Command { .. } => self.later(800, Event::CommandReply { report: None }),
        }
    }

    /// Has the controller handle an event that costs so much.
    fn handle(&mut self, event: Event, cost_us: f64) {
        let now = Now { mono: Mono(CLOCK_START_MS.0 + self.now), wall_ms: 1_000_000 + self.now };
        let (looks, parked) = (self.core.parked_checks(), self.core.queue_sizes().parked_reports);
        let actions = self.core.handle(now, event);
        let looked = match self.planted {
            Planted::LooksAtAll => parked as u64,
            _ => self.core.parked_checks() - looks,
        };
        self.budget_us -= cost_us + self.costs.look * looked as f64;
        actions.into_iter().for_each(|action| self.perform(action));
    }

    /// The next input, with what it costs; `None`: nothing waits.
    fn take(&mut self) -> Option<(From, Request)> {
        if self.planted == Planted::QueueWithoutAge {
            return self.plain.pop_front();
        }
        loop {
            match self.inbox.pop(Mono(self.now))? {
                Admitted::Take(next, age) => {
                    self.dropped_reports.record_handled(&next.1);
                    self.core.set_queue_delay(age);
                    return Some(next);
                }
                Admitted::Drop((from, request), retry) => self.turn_away(from, &request, retry),
            }
        }
    }

    /// One millisecond.
    fn step(&mut self) {
        self.budget_us = (self.budget_us + 1_000.0 * CPU_SHARE).min(1_000.0 * CPU_SHARE);
        while let Some(call) = self.calls.first_entry().filter(|call| call.key().0 <= self.now) {
            self.events.push_back(call.remove());
        }
        let due =
            |(until, _, prefix, after): &(u64, OpId, String, Revision), state: &State, now| {
                now >= *until || !state.changes(prefix, *after).is_empty()
            };
        if self.now.is_multiple_of(50) {
            let (done, open) = std::mem::take(&mut self.watches)
                .into_iter()
                .partition(|w| due(w, &self.state, self.now));
            self.watches = open;
            for (_, id, prefix, after) in Vec::from_iter::<Vec<_>>(done) {
                let reply = self.state.follow(&prefix, after);
                self.events.push_back(Event::Store { id, reply });
            }
        }
        self.callers();
        if self.now.is_multiple_of(500) {
            self.budget_us -= self.costs.machine * self.workers.len() as f64;
        }
        if self.now.is_multiple_of(CORE_STEP_MS) {
            self.handle(Event::Tick, 0.0);
        }
        while self.budget_us > 0.0 {
            if let Some(event) = self.events.pop_front() {
                self.handle(event, self.costs.answer);
            } else if let Some((from, request)) = self.take() {
                self.serial += 1;
                let conn = ConnId(self.serial);
                let cost_us = if matches!(from, From::User(..)) {
                    self.costs.poll
                } else {
                    self.costs.report
                };
                self.open.insert(conn, from);
                self.handle(Event::Request { conn, request, forwarded: false }, cost_us);
            } else {
                break;
            }
        }
        let queue = self.inbox.len() + self.plain.len();
        self.seen.longest_queue = self.seen.longest_queue.max(queue);
        self.seen.queue_at_end = queue;
        self.now += 1;
    }

    fn play(mut self) -> Seen {
        while self.now < END_MS {
            self.step();
        }
        let silent = self.workers.iter().filter(|worker| worker.lost).count();
        assert_eq!(silent, self.seen.leases_lost);
        self.seen
    }
}

/// How often the core's thread wakes by itself, in milliseconds.
const CORE_STEP_MS: u64 = 50;

fn seeds() -> impl Iterator<Item = u64> {
    1..=1 + world::extra_seeds()
}

/// Whether all that must hold after a takeover holds.
fn recovers(seen: &Seen) -> bool {
    let late = f64::from(seen.given_up[1]) / f64::from(seen.answered[1].max(1));
    seen.leases_lost == 0 && seen.forgotten == 0 && late < 0.01 && seen.queue_at_end < 1_000
}

fn takeover(machines: usize) {
    for seed in seeds() {
        let seen = Bed::new(machines, seed, MEASURED, Planted::Nothing).play();
        println!("{machines} machines, seed {seed}: {seen:?}");
        assert!(recovers(&seen), "{machines} machines, seed {seed}: {seen:?}");
    }
}

#[test]
fn a_controller_takes_over_4000_machines_and_recovers() {
    takeover(4_000);
}

#[test]
fn a_controller_takes_over_6000_machines_and_recovers() {
    takeover(6_000);
}

/// With more to do than the share carries, questions are dropped, and leases are kept.
#[test]
fn a_controller_that_is_too_small_keeps_leases_and_answers_for_every_job() {
    for seed in seeds() {
        let seen = Bed::new(6_000, seed, DEAR, Planted::Nothing).play();
        println!("too small, seed {seed}: {seen:?}");
        assert_eq!((seen.leases_lost, seen.forgotten), (0, 0), "{seen:?}");
        assert!(seen.longest_queue < 6_000 && seen.answered[1] > 20_000, "{seen:?}");
    }
}

/// With the faults that the collapse came of, it does not.
#[test]
fn planted_causes_of_a_collapse_are_caught() {
    for (planted, costs) in [
        (Planted::QueueWithoutAge, DEAR),
        (Planted::DearRefusals, DEAR),
        (Planted::LooksAtAll, MEASURED),
    ] {
        let seen = Bed::new(6_000, 1, costs, planted).play();
        println!("{planted:?}: {seen:?}");
        assert!(!recovers(&seen), "{planted:?}: {seen:?}");
    }
}
