//! Leader takeover on a small share of one CPU, at 4,000 and 6,000 machines. Each kind of event costs CPU time, and callers
//! time out and retry their reports and polls. The controller must return to its steady state by itself, without losing a
//! lease and while answering for every job.

#[allow(dead_code)]
mod world;

use oatloom_core::api::Request;
use oatloom_core::cloud::{CloudOp, CloudReply};
use oatloom_core::conn_id::ConnId;
use oatloom_core::constants::*;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::inbox::{Admitted, DroppedReports, Inbox};
use oatloom_core::jobs::{self, ChunkRecord, LiveRecord};
use oatloom_core::operators::OperatorSettings;
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
/// Share of one CPU available to the controller.
const CPU_SHARE: f64 = 0.264;
/// Machines that run one job, and tasks of the job on each of them.
const MACHINES_PER_JOB: usize = 2;
const TASKS_PER_MACHINE: usize = 3;
/// Fencing token of the former leader, known to all workers.
const FORMER_TOKEN: Token = Token(5);
/// Periods and timeouts of workers and users according to the protocol.
const REPORT_PERIOD_MS: u64 = 8_000;
const REPORT_TIMEOUT_MS: u64 = 4_000;
const LEASE_MS: u64 = 34_000;
const POLL_PERIOD_MS: u64 = 5_000;
const POLL_TIMEOUT_MS: u64 = 2_000;
/// A job whose status cannot be read for this long counts as forgotten.
const FORGOTTEN_AFTER_MS: u64 = 75_000;
/// Time by which the controller must be in steady state again, and end of the test.
const STEADY_FROM_MS: u64 = 30_000;
const END_MS: u64 = 80_000;

/// CPU time per event, in microseconds of a whole CPU.
#[derive(Clone, Copy, Debug)]
struct Costs {
    report: f64,
    poll: f64,
    /// A reply of the state service or the cloud.
    reply: f64,
    dropped: f64,
    /// A new connection.
    connect: f64,
    /// A check of one parked report.
    parked_check: f64,
    /// The control loop, twice a second, per machine.
    machine: f64,
}

/// Costs in a simulation of 3,985 machines: 0.44 of a CPU share of 0.264 at 420 reports and 460 polls per second, half of it in
/// the control loop.
const BASE_COSTS: Costs = Costs {
    report: 70.0,
    poll: 30.0,
    reply: 40.0,
    dropped: 10.0,
    connect: 20.0,
    parked_check: 0.7,
    machine: 8.0,
};

/// At 6,000 machines, a sixth more load than the CPU share can handle.
const HIGH_COSTS: Costs = Costs { report: 160.0, poll: 60.0, connect: 40.0, ..BASE_COSTS };

/// A fault injected to show that the test detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// A FIFO queue that never drops old requests.
    QueueWithoutAgeLimit,
    /// Every event checks all parked reports.
    ChecksAllParked,
    /// Rejecting a request costs as much as answering it.
    ExpensiveRejections,
}

#[derive(Clone, Debug)]
enum Caller {
    Worker(usize, u64),
    User(usize, u64),
}

struct Worker {
    report: Report,
    next: u64,
    /// When the outstanding report was sent.
    sent: Option<u64>,
    last_answered: u64,
    lost: bool,
}

struct User {
    job: JobId,
    next: u64,
    sent: Option<u64>,
    last_answered: u64,
    forgotten: bool,
}

/// Results of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    leases_lost: usize,
    forgotten: usize,
    /// Reports and polls that timed out, before and after `STEADY_FROM_MS`.
    timed_out: [u32; 2],
    answered: [u32; 2],
    longest_queue: usize,
    queue_at_end: usize,
    /// Time of the last timeout.
    last_timeout_ms: u64,
}

struct Simulation {
    controller: Controller,
    state: State,
    inbox: Inbox<(Caller, Request)>,
    dropped_reports: DroppedReports,
    fifo: VecDeque<(Caller, Request)>,
    injected_fault: InjectedFault,
    costs: Costs,
    now: u64,
    events: VecDeque<Event>,
    scheduled: BTreeMap<(u64, u64), Event>,
    watches: Vec<(u64, OpId, String, Revision)>,
    last_id: u64,
    open_requests: HashMap<ConnId, Caller>,
    workers: Vec<Worker>,
    users: Vec<User>,
    rng: ChaCha8Rng,
    budget_us: f64,
    outcome: Outcome,
}

fn spec(n: usize) -> JobSpec {
    JobSpec {
        id: JobId::new(&format!("req-{n:06}")),
        class: "quick".into(),
        team: "red".into(),
        shape: Shape::Service,
        rank: Rank::Critical,
        tasks: (MACHINES_PER_JOB * TASKS_PER_MACHINE) as u32,
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

/// State left by a former leader: the tasks of each job run on its machines.
fn inherited_state(machines: usize) -> (State, Vec<Worker>, Vec<User>) {
    let mut state = State::default();
    let (mut workers, mut users) = (Vec::new(), Vec::new());
    for n in 0..machines / MACHINES_PER_JOB {
        let spec = spec(n);
        let size = (spec.team.clone(), spec.cpus, spec.gpus, spec.memory_gb, spec.tasks);
        let machine_of = |task: usize| n * MACHINES_PER_JOB + task / TASKS_PER_MACHINE;
        let assignments = (0..spec.tasks).map(|task| {
            let machine = machine_of(task as usize);
            (task, Attempt(FORMER_TOKEN.0 << 20), host(machine), WorkerSession(1), zone_of(machine))
        });
        let record = ChunkRecord {
            done: "00".into(),
            assignments: assignments.collect(),
            size,
            charges: Default::default(),
            usage: Default::default(),
        };
        for machine in (n * MACHINES_PER_JOB)..(n + 1) * MACHINES_PER_JOB {
            let tasks_here = (0..spec.tasks).filter(|task| machine_of(*task as usize) == machine);
            let report_task = |task| TaskReport {
                task: format!("{}/{task}", spec.id),
                attempt: Attempt(FORMER_TOKEN.0 << 20),
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
                token: FORMER_TOKEN,
                notice_s: None,
                tasks: tasks_here.map(report_task).collect(),
            };
            workers.push(Worker { report, next: 0, sent: None, last_answered: 0, lost: false });
        }
        users.push(User {
            job: spec.id.clone(),
            next: 0,
            sent: None,
            last_answered: 0,
            forgotten: false,
        });
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

impl Simulation {
    fn new(machines: usize, seed: u64, costs: Costs, injected_fault: InjectedFault) -> Self {
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
        let settings = oatloom::settings::parse_platform_settings(&text).expect("valid settings");
        let connections = settings.facts.limits.max_connections();
        let (state, mut workers, mut users) = inherited_state(machines);
        // A third of the reports were in flight to the former leader; their retries arrive together a second later.
        for worker in &mut workers {
            let at_once = rng.random_bool(0.35);
            worker.next = if at_once {
                1_000 + rng.random_range(0..100)
            } else {
                rng.random_range(0..REPORT_PERIOD_MS)
            };
        }
        for user in &mut users {
            user.next = rng.random_range(0..POLL_PERIOD_MS);
        }
        Self {
            controller: Controller::new(settings, OperatorSettings::default(), rng.random()),
            state,
            inbox: Inbox::new(connections),
            dropped_reports: DroppedReports::default(),
            fifo: VecDeque::new(),
            injected_fault,
            costs,
            now: 0,
            events: VecDeque::new(),
            scheduled: BTreeMap::new(),
            watches: Vec::new(),
            last_id: 0,
            open_requests: HashMap::new(),
            workers,
            users,
            rng,
            budget_us: 0.0,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.last_id += 1;
        self.scheduled.insert((self.now + delay, self.last_id), event);
    }

    /// Index into the counters: 0 before `STEADY_FROM_MS`, 1 afterwards.
    fn phase(&self) -> usize {
        usize::from(self.now >= STEADY_FROM_MS)
    }

    fn send(&mut self, caller: Caller, request: Request) {
        self.budget_us -= self.costs.connect;
        if self.injected_fault == InjectedFault::QueueWithoutAgeLimit {
            return self.fifo.push_back((caller, request));
        }
        let kind = self.dropped_reports.classify(&request, self.controller.leader_token());
        if let Some(Admitted::Drop((caller, request), retry)) =
            self.inbox.push(Mono(self.now), kind, false, (caller, request))
        {
            self.reject(caller, &request, retry);
        }
    }

    /// Rejects a request at once with a retry time.
    fn reject(&mut self, caller: Caller, request: &Request, retry_after_s: u32) {
        self.dropped_reports.record_dropped(request);
        self.budget_us -= if self.injected_fault == InjectedFault::ExpensiveRejections {
            self.costs.report
        } else {
            self.costs.dropped
        };
        let rejection = HttpReply::unavailable("busy");
        self.handle_reply(caller, &HttpReply { retry_after_s: Some(retry_after_s), ..rejection });
    }

    fn run_callers(&mut self) {
        let (now, phase) = (self.now, self.phase());
        for n in 0..self.workers.len() {
            let retry_delay_ms = 1_000 + self.rng.random_range(0..500);
            let worker = &mut self.workers[n];
            if worker.lost {
                continue;
            }
            if now - worker.last_answered > LEASE_MS {
                worker.lost = true;
                self.outcome.leases_lost += 1;
            } else if worker.sent.is_some_and(|sent| now - sent >= REPORT_TIMEOUT_MS) {
                (worker.sent, worker.next) = (None, now + retry_delay_ms);
                self.outcome.timed_out[phase] += 1;
                self.outcome.last_timeout_ms = now;
            } else if worker.sent.is_none() && now >= worker.next {
                worker.sent = Some(now);
                worker.report.report_seq.0 += 1;
                let request = Request::Report(Box::new(worker.report.clone()));
                self.send(Caller::Worker(n, now), request);
            }
        }
        for n in 0..self.users.len() {
            let user = &mut self.users[n];
            if now - user.last_answered > FORGOTTEN_AFTER_MS && !user.forgotten {
                user.forgotten = true;
                self.outcome.forgotten += 1;
            }
            if user.sent.is_some_and(|sent| now - sent >= POLL_TIMEOUT_MS) {
                (user.sent, user.next) = (None, now + POLL_PERIOD_MS - POLL_TIMEOUT_MS);
                self.outcome.timed_out[phase] += 1;
                self.outcome.last_timeout_ms = now;
            } else if user.sent.is_none() && now >= user.next {
                user.sent = Some(now);
                let request = Request::View(user.job.clone());
                self.send(Caller::User(n, now), request);
            }
        }
    }

    fn handle_reply(&mut self, caller: Caller, reply: &HttpReply) {
        let (now, phase) = (self.now, self.phase());
        match caller {
            Caller::Worker(n, sent) => {
                let period_ms =
                    self.rng.random_range(REPORT_PERIOD_MS * 3 / 4..REPORT_PERIOD_MS * 5 / 4);
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
                worker.last_answered = sent;
                // A higher token is a change, and changes are reported soon.
                let changed = answer.token > worker.report.token;
                worker.report.token = answer.token;
                worker.next = sent.max(now) + if changed { 500 } else { period_ms };
                self.outcome.answered[phase] += 1;
            }
            Caller::User(n, sent) => {
                let user = &mut self.users[n];
                if user.sent == Some(sent) {
                    (user.sent, user.next) = (None, now + POLL_PERIOD_MS);
                    if reply.status == 200 {
                        user.last_answered = now;
                        self.outcome.answered[phase] += 1;
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
                if let Some(caller) = self.open_requests.remove(&conn) {
                    self.handle_reply(caller, &reply);
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
                self.schedule(10, Event::Store { id, reply });
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
                self.schedule(200, Event::Cloud { id, reply });
            }
            Action::PeerRequest { id, .. } => {
                self.schedule(500, Event::PeerReply { id, reply: None })
            }
            Action::Command { .. } => self.schedule(800, Event::CommandReply { report: None }),
        }
    }

    /// Lets the controller handle an event and charges its cost.
    fn handle(&mut self, event: Event, cost_us: f64) {
        let now = Now { mono: Mono(CLOCK_START_MS.0 + self.now), wall_ms: 1_000_000 + self.now };
        let (checks_before, parked) =
            (self.controller.parked_checks(), self.controller.queue_sizes().parked_reports);
        let actions = self.controller.handle(now, event);
        let checked = match self.injected_fault {
            InjectedFault::ChecksAllParked => parked as u64,
            _ => self.controller.parked_checks() - checks_before,
        };
        self.budget_us -= cost_us + self.costs.parked_check * checked as f64;
        actions.into_iter().for_each(|action| self.perform(action));
    }

    /// The next queued request, if any.
    fn next_request(&mut self) -> Option<(Caller, Request)> {
        if self.injected_fault == InjectedFault::QueueWithoutAgeLimit {
            return self.fifo.pop_front();
        }
        loop {
            match self.inbox.pop(Mono(self.now))? {
                Admitted::Take(next, age) => {
                    self.dropped_reports.record_handled(&next.1);
                    self.controller.set_queue_delay(age);
                    return Some(next);
                }
                Admitted::Drop((caller, request), retry) => self.reject(caller, &request, retry),
            }
        }
    }

    /// Advances the simulation by one millisecond.
    fn step(&mut self) {
        self.budget_us = (self.budget_us + 1_000.0 * CPU_SHARE).min(1_000.0 * CPU_SHARE);
        while let Some(call) = self.scheduled.first_entry().filter(|call| call.key().0 <= self.now)
        {
            self.events.push_back(call.remove());
        }
        let is_due =
            |(until, _, prefix, after): &(u64, OpId, String, Revision), state: &State, now| {
                now >= *until || !state.changes(prefix, *after).is_empty()
            };
        if self.now.is_multiple_of(50) {
            let (ready, pending) = std::mem::take(&mut self.watches)
                .into_iter()
                .partition(|w| is_due(w, &self.state, self.now));
            self.watches = pending;
            for (_, id, prefix, after) in Vec::from_iter::<Vec<_>>(ready) {
                let reply = self.state.follow(&prefix, after);
                self.events.push_back(Event::Store { id, reply });
            }
        }
        self.run_callers();
        if self.now.is_multiple_of(500) {
            self.budget_us -= self.costs.machine * self.workers.len() as f64;
        }
        if self.now.is_multiple_of(TICK_INTERVAL_MS) {
            self.handle(Event::Tick, 0.0);
        }
        while self.budget_us > 0.0 {
            if let Some(event) = self.events.pop_front() {
                self.handle(event, self.costs.reply);
            } else if let Some((caller, request)) = self.next_request() {
                self.last_id += 1;
                let conn = ConnId(self.last_id);
                let cost_us = if matches!(caller, Caller::User(..)) {
                    self.costs.poll
                } else {
                    self.costs.report
                };
                self.open_requests.insert(conn, caller);
                self.handle(Event::Request { conn, request, forwarded: false }, cost_us);
            } else {
                break;
            }
        }
        let queue = self.inbox.len() + self.fifo.len();
        self.outcome.longest_queue = self.outcome.longest_queue.max(queue);
        self.outcome.queue_at_end = queue;
        self.now += 1;
    }

    fn run(mut self) -> Outcome {
        while self.now < END_MS {
            self.step();
        }
        let lost = self.workers.iter().filter(|worker| worker.lost).count();
        assert_eq!(lost, self.outcome.leases_lost);
        self.outcome
    }
}

/// Interval between two ticks of the controller.
const TICK_INTERVAL_MS: u64 = 50;

fn seeds() -> impl Iterator<Item = u64> {
    1..=1 + world::extra_seeds()
}

/// Whether the controller recovered from the takeover.
fn has_recovered(outcome: &Outcome) -> bool {
    let timeout_share = f64::from(outcome.timed_out[1]) / f64::from(outcome.answered[1].max(1));
    outcome.leases_lost == 0
        && outcome.forgotten == 0
        && timeout_share < 0.01
        && outcome.queue_at_end < 1_000
}

fn check_takeover(machines: usize) {
    for seed in seeds() {
        let outcome = Simulation::new(machines, seed, BASE_COSTS, InjectedFault::None).run();
        println!("{machines} machines, seed {seed}: {outcome:?}");
        assert!(has_recovered(&outcome), "{machines} machines, seed {seed}: {outcome:?}");
    }
}

#[test]
fn takeover_of_4000_machines_recovers() {
    check_takeover(4_000);
}

#[test]
fn takeover_of_6000_machines_recovers() {
    check_takeover(6_000);
}

/// Under more load than the CPU share can handle, polls are dropped while leases are kept.
#[test]
fn overloaded_controller_keeps_leases_and_answers_for_every_job() {
    for seed in seeds() {
        let outcome = Simulation::new(6_000, seed, HIGH_COSTS, InjectedFault::None).run();
        println!("overloaded, seed {seed}: {outcome:?}");
        assert_eq!((outcome.leases_lost, outcome.forgotten), (0, 0), "{outcome:?}");
        assert!(outcome.longest_queue < 6_000 && outcome.answered[1] > 20_000, "{outcome:?}");
    }
}

/// Each fault that can cause an overload collapse makes the test fail.
#[test]
fn injected_causes_of_collapse_are_detected() {
    for (injected_fault, costs) in [
        (InjectedFault::QueueWithoutAgeLimit, HIGH_COSTS),
        (InjectedFault::ExpensiveRejections, HIGH_COSTS),
        (InjectedFault::ChecksAllParked, BASE_COSTS),
    ] {
        let outcome = Simulation::new(6_000, 1, costs, injected_fault).run();
        println!("{injected_fault:?}: {outcome:?}");
        assert!(!has_recovered(&outcome), "{injected_fault:?}: {outcome:?}");
    }
}
