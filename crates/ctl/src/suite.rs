//! The failure rehearsal on one machine: jobs and injected faults drawn from a seed. The report lists the answers
//! that each job's user received, in order, and whether all controllers agree on a single final answer. The
//! scheduling rules are checked against what the emulated machines observed.

use crate::constants::*;
use crate::launch::{LaunchError, RunningRegion};
use crate::settings::{LocalSettings, ZONES};
use crate::usage::UsageQuery;
use oatloom_client::controllers::{Controllers, JobRequest, JobResponse, interpret_response};
use oatloom_emulator::faults::{Fault, ScheduledFault, Service, ServiceFault};
use oatloom_emulator::timetable;
use oatloom_emulator::worker::JobFailures;
use oatloom_ledger::query::UsagePage;
use oatloom_protocol::ids::{JobId, Millis, Zone};
use oatloom_protocol::wire::{ExitCause, JobSpec, JobStatus, Rank, Shape};
use oatloom_web::spawn;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The kind of faults that a rehearsal injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Faults of all kinds, drawn from the seed
    Mixed,
    /// The state service restarts while gangs are partly placed
    Gangs,
    /// Answers to hire requests are late or lost while the leader changes
    Hires,
    /// Replies of the state service are lost, it restarts, then controllers are killed
    Replies,
    /// The cloud refuses requests during a long outage
    Night,
    /// The state service refuses requests during a long outage
    Pause,
    /// All controllers are killed repeatedly, and one is started with invalid settings
    Killed,
    /// Controllers crash at a high rate (one, two in turn, or all) and restart within a second
    Restless,
    /// Users poll eight times as often, some submitted jobs are invalid, and controllers are killed meanwhile
    Asked,
}

/// Number of jobs and faults in a rehearsal, and the duration of its phases.
#[derive(Clone, Copy, Debug)]
pub struct SuiteLength {
    pub job_count: u64,
    pub fault_phase_ms: u64,
    pub recovery_phase_ms: u64,
    /// Number of faults in the scenario `mixed`.
    pub fault_count: u64,
    /// Duration of the outage in the scenarios `night` and `pause`.
    pub outage_s: u64,
    /// Number of injected kills; the scenarios `gangs` and `restless` use a multiple of it.
    pub kill_count: u64,
}

impl SuiteLength {
    /// A run of about three minutes.
    pub fn full() -> Self {
        Self {
            job_count: JOB_COUNT,
            fault_phase_ms: FAULT_PHASE_MS,
            recovery_phase_ms: RECOVERY_PHASE_MS,
            fault_count: FAULT_COUNT,
            outage_s: 60,
            kill_count: 20,
        }
    }

    /// A run of less than a minute.
    pub fn quick() -> Self {
        Self {
            job_count: QUICK_JOB_COUNT,
            fault_phase_ms: QUICK_FAULT_PHASE_MS,
            recovery_phase_ms: QUICK_RECOVERY_PHASE_MS,
            fault_count: QUICK_FAULT_COUNT,
            outage_s: 10,
            kill_count: 4,
        }
    }
}

/// A change of the job status that a user received.
#[derive(Clone, Debug, Serialize)]
pub struct StatusChange {
    pub at_ms: u64,
    pub status: String,
}

/// The result of a job.
#[derive(Clone, Debug, Serialize)]
pub struct JobOutcome {
    pub job: String,
    pub shape: String,
    pub tasks: u32,
    /// Whether a controller accepted the submission.
    pub accepted: bool,
    /// Answers in order; repeats of the same status are left out.
    pub answers: Vec<StatusChange>,
    /// The status that each controller reports at the end.
    pub finals: Vec<String>,
    /// Whether the user received exactly one final answer, with which all controllers agree.
    pub exactly_one: bool,
}

/// The result of a rehearsal.
#[derive(Debug, Serialize)]
pub struct SuiteReport {
    pub scenario: String,
    pub seed: u64,
    pub jobs: Vec<JobOutcome>,
    /// Number of jobs without exactly one final answer.
    pub without_exactly_one: usize,
    /// Violations of the scheduling rules.
    pub rules_broken: Vec<String>,
    /// From the end of the fault phase to the last final answer, in milliseconds.
    pub settled_ms: u64,
    /// From the end of the fault phase to the first final answer after it, in milliseconds.
    pub first_final_ms: Option<u64>,
    /// Number of task starts.
    pub starts: usize,
    /// Maximum resident memory of a controller.
    pub controller_memory_mb: f64,
    /// How often the programs of the region ended, see [`RunningRegion::exit_counts`].
    pub restarts: u32,
}

impl SuiteReport {
    /// Whether every job has exactly one final answer and no rule was violated.
    pub fn is_passed(&self) -> bool {
        self.without_exactly_one == 0 && self.rules_broken.is_empty()
    }

    /// The summary that is printed last.
    pub fn summary(&self) -> String {
        format!(
            "jobs {}, without exactly one final answer {}, rules broken {}",
            self.jobs.len(),
            self.without_exactly_one,
            self.rules_broken.len()
        )
    }
}

/// A job, when its user submits and aborts it, and how its tasks fail.
#[derive(Clone)]
struct JobPlan {
    spec: JobSpec,
    submit_at: u64,
    abort_at: Option<u64>,
    /// The job cannot be accepted: the refusal is its final answer.
    invalid: bool,
    /// How its tasks fail by themselves, without an injected fault.
    failure_mode: Option<JobFailures>,
}

fn draw_plans(
    local: &LocalSettings,
    scenario: Scenario,
    length: &SuiteLength,
    rng: &mut ChaCha8Rng,
) -> Vec<JobPlan> {
    (0..length.job_count).map(|n| draw_plan(local, scenario, length, n, rng)).collect()
}

fn draw_plan(
    local: &LocalSettings,
    scenario: Scenario,
    length: &SuiteLength,
    index: u64,
    rng: &mut ChaCha8Rng,
) -> JobPlan {
    let shape = match (scenario, rng.random_range(0..10)) {
        (Scenario::Gangs, 0..8) => Shape::Gang,
        (_, 0..5) => Shape::Array,
        (_, 5..8) => Shape::Gang,
        _ => Shape::Service,
    };
    let tasks = match shape {
        Shape::Array => rng.random_range(1..9),
        Shape::Gang => rng.random_range(1..5),
        Shape::Service => rng.random_range(1..4),
    };
    let invalid = index % 12 == 11;
    let (one_zone, has_checkpoints) = (rng.random_bool(0.25), rng.random_bool(0.4));
    let zone = rng.random_bool(0.15).then(|| Zone::new(ZONES[rng.random_range(0..ZONES.len())]));
    let ranks = [Rank::Low, Rank::Standard, Rank::High, Rank::Critical];
    let spec = JobSpec {
        id: JobId::new(&format!("req-{:08}", rng.random_range(0..90_000) * 1_000 + index)),
        class: if rng.random_bool(0.5) { "quick" } else { "slow" }.into(),
        team: local.teams.choose(rng).cloned().unwrap_or_default(),
        shape,
        rank: ranks.choose(rng).copied().unwrap_or(Rank::Standard),
        tasks,
        cpus: 2.0,
        gpus: if invalid { 1_000.0 } else { f64::from(rng.random_range(0..3u32)) },
        memory_gb: 8.0,
        image: format!("img-{}", rng.random_range(0..4)),
        image_gb: 2.0,
        flavors: rng.random_bool(0.2).then(|| vec!["whole".to_owned()]),
        one_zone,
        spread: !one_zone && zone.is_none() && rng.random_bool(0.3),
        zone,
        spot: shape != Shape::Service && rng.random_bool(0.6),
        estimate_s: if shape == Shape::Service { 0.0 } else { rng.random_range(0.5..4.0) },
        checkpoint_s: if has_checkpoints { 1.0 } else { 0.0 },
        save_s: if has_checkpoints { 0.5 } else { 0.0 },
        deadline_s: rng.random_bool(0.3).then_some(60.0),
        dependencies: Vec::new(),
    };
    let fault_phase_end = length.fault_phase_ms;
    let submit_at = rng.random_range(200..fault_phase_end * 3 / 4);
    let is_aborted = shape == Shape::Service || rng.random_bool(0.15);
    let abort_at = is_aborted.then(|| rng.random_range(submit_at + 500..fault_phase_end + 1_000));
    // Each attempt of a gang needs free machines for all its tasks; the recovery
    // phase of a quick run is too short for its retries.
    let has_time_to_fail =
        shape == Shape::Array || length.recovery_phase_ms > QUICK_RECOVERY_PHASE_MS;
    let failure_mode =
        (index % FAILING_JOB_INTERVAL == 3 && has_time_to_fail && !invalid).then(|| {
            match rng.random_range(0..3) {
                0 => JobFailures::Always,
                1 => JobFailures::Task(0),
                _ => JobFailures::Share(0.4),
            }
        });
    // A failing job needs time for its retries and the final status.
    let submit_at = if failure_mode.is_some() { submit_at / 3 } else { submit_at };
    JobPlan { spec, submit_at, abort_at, invalid, failure_mode }
}

/// The faults of a scenario, ordered by start time.
fn draw_faults(
    scenario: Scenario,
    length: &SuiteLength,
    rng: &mut ChaCha8Rng,
) -> Vec<ScheduledFault> {
    let fault_phase_end = length.fault_phase_ms;
    let mut faults = Vec::new();
    let mut add = |at: u64, span: u64, fault: Fault| {
        faults.push(ScheduledFault { at, until: (at + span).min(fault_phase_end), fault });
    };
    let make_state_fault = |service_fault| Fault::OnService {
        service: Service::State,
        service_fault,
        controller: None,
    };
    let make_cloud_fault = |service_fault| Fault::OnService {
        service: Service::Cloud,
        service_fault,
        controller: None,
    };
    match scenario {
        Scenario::Mixed => {
            for _ in 0..length.fault_count {
                let at = rng.random_range(1_000..fault_phase_end - 4_000);
                add(at, rng.random_range(1_000..7_000), draw_fault(rng));
            }
        }
        Scenario::Gangs => {
            for n in 0..length.kill_count * 2 {
                add(
                    1_500 + n * (fault_phase_end - 3_000) / (length.kill_count * 2),
                    0,
                    Fault::RestartState,
                );
            }
        }
        Scenario::Hires => {
            add(0, fault_phase_end * 3 / 4, make_cloud_fault(ServiceFault::Late(0.3, 4_000)));
            add(0, fault_phase_end * 3 / 4, make_cloud_fault(ServiceFault::Lose(0.4)));
            for n in 0..length.kill_count {
                add(
                    2_500 + n * (fault_phase_end - 4_000) / length.kill_count,
                    0,
                    Fault::CrashController(n as usize % CONTROLLER_COUNT, None),
                );
            }
        }
        Scenario::Replies => {
            for n in 0..length.kill_count {
                let at = 2_000 + n * (fault_phase_end - 4_000) / length.kill_count;
                add(at, 400, make_state_fault(ServiceFault::Lose(1.0)));
                add(at + 300, 0, Fault::RestartState);
                add(
                    at + 400,
                    0,
                    if n % 2 == 0 {
                        Fault::CrashAll(None)
                    } else {
                        Fault::CrashController(n as usize % CONTROLLER_COUNT, None)
                    },
                );
            }
        }
        Scenario::Night => {
            add(1_500, length.outage_s * 1_000, make_cloud_fault(ServiceFault::Refuse))
        }
        Scenario::Pause => {
            add(5_000, length.outage_s * 1_000, make_state_fault(ServiceFault::Refuse))
        }
        Scenario::Restless => {
            let kill_count = length.kill_count * RESTLESS_KILL_FACTOR;
            for n in 0..kill_count {
                let restart_delay = Some(Millis(rng.random_range(0..1_000)));
                let fault = match n * 3 / kill_count {
                    0 => Fault::CrashController(0, restart_delay),
                    1 => Fault::CrashController(n as usize % 2, restart_delay),
                    _ => Fault::CrashAll(restart_delay),
                };
                add(2_000 + n * (fault_phase_end - 4_000) / kill_count, 0, fault);
            }
        }
        Scenario::Asked => {
            for n in 0..length.kill_count {
                let fault =
                    Fault::CrashController(n as usize % CONTROLLER_COUNT, Some(Millis(300)));
                add(2_000 + n * (fault_phase_end - 4_000) / length.kill_count, 0, fault);
            }
        }
        Scenario::Killed => {
            for n in 0..length.kill_count {
                add(
                    2_000 + n * (fault_phase_end - 4_000) / length.kill_count,
                    0,
                    Fault::CrashAll(None),
                );
            }
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let index = rng.random_range(0..CONTROLLER_COUNT);
    let controller = rng.random_bool(0.4).then_some(index);
    let make_service_fault =
        |service, service_fault| Fault::OnService { service, service_fault, controller };
    let restart_delay = rng.random_bool(0.5).then(|| Millis(rng.random_range(0..1_000)));
    match rng.random_range(0..17) {
        0 | 1 => Fault::CrashController(index, restart_delay),
        2 => Fault::CrashAll(restart_delay),
        3 => Fault::RestartState,
        4 => make_service_fault(Service::State, ServiceFault::Refuse),
        5 => make_service_fault(Service::State, ServiceFault::Slow(400)),
        6 => make_service_fault(Service::State, ServiceFault::Lose(0.3)),
        7 => make_service_fault(Service::State, ServiceFault::Late(0.2, 5_000)),
        8 => make_service_fault(Service::State, ServiceFault::Silent),
        9 => make_service_fault(Service::Cloud, ServiceFault::Refuse),
        10 => make_service_fault(Service::Cloud, ServiceFault::Lose(0.4)),
        11 => make_service_fault(Service::Cloud, ServiceFault::Late(0.3, 5_000)),
        12 => Fault::PartitionController(index),
        13 => Fault::PartitionZone(ZONES[index].to_owned()),
        14 => Fault::PreemptSpot(3),
        15 => Fault::MachinesDie(1),
        _ => Fault::MachinesHang(2),
    }
}

/// Name of a job status in the report.
fn format_status(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Failed => "failed",
    }
}

/// Name of a job shape in the report.
fn format_shape(shape: Shape) -> &'static str {
    match shape {
        Shape::Array => "array",
        Shape::Gang => "gang",
        Shape::Service => "service",
    }
}

/// Name of a scenario in the report.
fn format_scenario(scenario: Scenario) -> &'static str {
    match scenario {
        Scenario::Mixed => "mixed",
        Scenario::Gangs => "gangs",
        Scenario::Hires => "hires",
        Scenario::Replies => "replies",
        Scenario::Night => "night",
        Scenario::Pause => "pause",
        Scenario::Killed => "killed",
        Scenario::Restless => "restless",
        Scenario::Asked => "asked",
    }
}

fn is_final(status: &str) -> bool {
    matches!(status, "done" | "cancelled" | "failed") || status.starts_with("refused")
}

/// Whether the user received one final answer and nothing after it, and every controller reports the same.
fn has_exactly_one_final(answers: &[StatusChange], final_answers: &[String]) -> bool {
    let Some(last) = answers.last().map(|change| &change.status) else { return false };
    is_final(last)
        && answers.iter().filter(|change| is_final(&change.status)).count() == 1
        && !final_answers.is_empty()
        && final_answers.iter().all(|answer| answer == last)
}

/// The simulated user of a job, active until the job is finished or the run ends.
struct User {
    plan: JobPlan,
    controllers: Controllers,
    rng: ChaCha8Rng,
    accepted: bool,
    answers: Vec<StatusChange>,
}

impl User {
    fn is_finished(&self) -> bool {
        self.answers.last().is_some_and(|change| is_final(&change.status))
    }

    fn record_status(&mut self, at_ms: u64, status: String) {
        if self.answers.last().is_none_or(|last| last.status != status) {
            self.answers.push(StatusChange { at_ms, status });
        }
    }

    /// Sends one request, records the answer, and returns the time of the next request.
    fn poll(
        &mut self,
        emulator: &oatloom_emulator::serve::Emulator,
        now: u64,
        rate_factor: u64,
    ) -> u64 {
        let id = self.plan.spec.id.clone();
        let is_abort_due = self.plan.abort_at.is_some_and(|at| now >= at);
        let request = if !self.accepted || self.rng.random_bool(0.05) && !self.is_finished() {
            JobRequest::Submit(Box::new(self.plan.spec.clone()))
        } else if is_abort_due && !self.is_finished() {
            JobRequest::Abort(id.clone())
        } else {
            JobRequest::View(id.clone())
        };
        match &request {
            JobRequest::Submit(spec) if !self.plan.invalid => {
                let mut region = emulator.lock_region();
                region.upload_job(spec);
                if let Some(failure_mode) = self.plan.failure_mode.clone() {
                    region.external.failing_jobs.insert(id.to_string(), failure_mode);
                }
            }
            JobRequest::Abort(id) => {
                emulator.lock_region().checker.record_cancel_request(id.as_str())
            }
            _ => {}
        }
        let controller = self.rng.random_range(0..self.controllers.len());
        let requested_at = emulator.shared.now();
        let answer = self.controllers.request(controller, &request);
        let now = emulator.shared.now();
        if let Some(answer) = &answer {
            if !self.plan.invalid {
                let body = String::from_utf8_lossy(&answer.body);
                let is_submission = matches!(request, JobRequest::Submit(_));
                let mut region = emulator.lock_region();
                region.checker.handle_answer(
                    now,
                    requested_at,
                    id.as_str(),
                    answer.status,
                    &body,
                    is_submission,
                );
            }
            match interpret_response(&request, answer) {
                Some(JobResponse::View(view)) => {
                    self.accepted = true;
                    self.record_status(now, format_status(view.status).to_owned());
                }
                Some(JobResponse::Rejected(status, _))
                    if !self.accepted && matches!(request, JobRequest::Submit(_)) =>
                {
                    self.record_status(now, format!("refused {status}"));
                }
                Some(JobResponse::Rejected(status, _)) => {
                    self.record_status(now, format!("lost {status}"))
                }
                Some(JobResponse::NoFinalResponse(_) | JobResponse::Unreachable) | None => {}
            }
        }
        now + self.rng.random_range(USER_POLL_INTERVAL_RANGE_MS.0..USER_POLL_INTERVAL_RANGE_MS.1)
            / rate_factor
    }
}

/// Runs a scenario with its files under `data` and checks the result.
///
/// # Errors
/// The region cannot be started.
pub fn run(
    scenario: Scenario,
    seed: u64,
    length: SuiteLength,
    extra_faults: &[ScheduledFault],
    data: &Path,
    print_line: &dyn Fn(&str),
) -> Result<SuiteReport, LaunchError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let local = LocalSettings { port: 0, ..LocalSettings::default() };
    let plans = draw_plans(&local, scenario, &length, &mut rng);
    let mut faults = draw_faults(scenario, &length, &mut rng);
    faults.extend_from_slice(extra_faults);
    faults.sort_by_key(|fault| fault.at);
    let operators = data.join("operators.lisp");
    std::fs::create_dir_all(data)
        .and_then(|()| std::fs::write(&operators, OPERATOR_SETTINGS))
        .map_err(|cause| LaunchError::File { path: operators.clone(), cause })?;
    let mut running = RunningRegion::start(local, data, Some(&operators), seed)?;
    running.emulator.lock_region().checker.max_retries = MAX_RETRIES_BY_CLASS
        .iter()
        .map(|(class, repeats)| ((*class).to_owned(), *repeats))
        .collect();
    print_line(&format!(
        "{} jobs, {} faults, controllers at {}",
        plans.len(),
        faults.len(),
        running.controllers.join(", ")
    ));
    if scenario == Scenario::Killed {
        running.misconfigured = Some(CONTROLLER_COUNT - 1);
    }
    let storm_factor = if scenario == Scenario::Asked { REQUEST_STORM_FACTOR } else { 1 };
    let start = running.emulator.shared.now();
    let is_recovering = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let users: Vec<Arc<Mutex<User>>> = plans
        .into_iter()
        .map(|plan| {
            let controllers = Controllers::new(&running.controllers);
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            let (accepted, answers) = (false, Vec::new());
            Arc::new(Mutex::new(User { plan, controllers, rng, accepted, answers }))
        })
        .collect();
    let mut threads = Vec::new();
    for user in &users {
        let (user, emulator) = (user.clone(), running.emulator.clone());
        let (is_recovering, stop) = (is_recovering.clone(), stop.clone());
        let thread = spawn("user", move || {
            let mut user = user.lock().unwrap_or_else(PoisonError::into_inner);
            let mut next_poll = start + user.plan.submit_at;
            let abort_at = user.plan.abort_at;
            user.plan.abort_at = abort_at.map(|at| start + at);
            while !stop.load(Ordering::Relaxed) && !user.is_finished() {
                let now = emulator.shared.now();
                if now >= next_poll {
                    let rate_factor =
                        if is_recovering.load(Ordering::Relaxed) { 2 } else { storm_factor };
                    next_poll = user.poll(&emulator, now, rate_factor);
                } else {
                    std::thread::sleep(Duration::from_millis(
                        (next_poll - now).min(SUPERVISION_INTERVAL_MS.0),
                    ));
                }
            }
        });
        threads.push(thread.map_err(|e| LaunchError::Start(e.into()))?);
    }
    let mut max_memory_bytes = 0;
    let mut next_fault = 0;
    loop {
        std::thread::sleep(Duration::from_millis(SUPERVISION_INTERVAL_MS.0));
        running.supervise();
        max_memory_bytes = max_memory_bytes.max(running.max_controller_memory_bytes());
        let now = running.emulator.shared.now() - start;
        while next_fault < faults.len() && faults[next_fault].at <= now {
            running.inject_fault(&faults[next_fault]);
            next_fault += 1;
        }
        if now >= length.fault_phase_ms && !is_recovering.swap(true, Ordering::Relaxed) {
            running.emulator.shared.faults.lock().unwrap_or_else(PoisonError::into_inner).clear();
            print_line("all faults have ended");
        }
        let all_finished = threads.iter().all(|t| t.is_finished());
        let has_machine_limit_passed =
            now > length.fault_phase_ms + compute_unseen_limit_ms(&running.local);
        if now >= length.fault_phase_ms + length.recovery_phase_ms
            || all_finished && has_machine_limit_passed
        {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    // Processes are supervised until the last user thread has finished.
    while !threads.iter().all(|t| t.is_finished()) {
        running.supervise();
        std::thread::sleep(Duration::from_millis(SUPERVISION_INTERVAL_MS.0));
    }
    let usage = fetch_stable_usage(&mut running);
    let mut report =
        build_report(scenario, seed, &mut running, &users, start, &length, max_memory_bytes);
    report.rules_broken.extend(check_usage(&running, &users, usage));
    Ok(report)
}

/// Polls the recorded usage until it no longer changes or a timeout passes, and returns the last page read; `None` if
/// the last poll failed.
fn fetch_stable_usage(running: &mut RunningRegion) -> Option<UsagePage> {
    let started = Instant::now();
    let (mut last_page, mut unchanged_count) = (None, 0);
    while started.elapsed() < Duration::from_millis(USAGE_SETTLE_TIMEOUT_MS)
        && unchanged_count < USAGE_STABLE_POLL_COUNT
    {
        running.supervise();
        std::thread::sleep(Duration::from_millis(USAGE_POLL_INTERVAL_MS));
        let page = UsageQuery::default().try_fetch(&running.controllers);
        unchanged_count = if page.is_some() && page == last_page { unchanged_count + 1 } else { 0 };
        last_page = page;
    }
    last_page
}

/// Compares the recorded usage with what the machines observed. It must not have more completed tasks or run time
/// than the machines observed, nor fewer completed tasks than were reported to users, except attempts whose end was
/// not observed (`unseen`).
fn check_usage(
    running: &RunningRegion,
    users: &[Arc<Mutex<User>>],
    usage: Option<UsagePage>,
) -> Vec<String> {
    let Some(usage) = usage else { return vec!["ledger: no account is to be had".into()] };
    let (mut reported_done, mut gang_tasks) = (0, 0);
    for user in users {
        let user = user.lock().unwrap_or_else(PoisonError::into_inner);
        let tasks = u64::from(user.plan.spec.tasks);
        let done = user.answers.last().is_some_and(|change| change.status == "done");
        reported_done += if done { tasks } else { 0 };
        gang_tasks += if done && user.plan.spec.shape == Shape::Gang { tasks } else { 0 };
    }
    let sum_by_cause = |cause: &str| -> (u64, u64) {
        let rows = usage.rows.iter().filter(|row| row.cause == cause);
        rows.fold((0, 0), |(count, ran_ms), row| {
            (count + row.sums.attempts, ran_ms + row.sums.ran_ms)
        })
    };
    let (done, done_ms) = sum_by_cause("done");
    let (unseen_attempts, _) = sum_by_cause("unseen");
    let region = running.emulator.lock_region();
    let exits = region.checker.exits.values().filter(|(cause, _)| *cause == ExitCause::Done);
    let (machine_done, machine_done_ms) =
        exits.fold((0, 0), |(count, sum), (_, ran_ms)| (count + 1, sum + ran_ms));
    let mut violations = Vec::new();
    // The first task of a gang reports for all tasks of the gang.
    if done > machine_done + gang_tasks || done_ms > machine_done_ms && gang_tasks == 0 {
        violations.push(format!(
            "ledger: {done} tasks done in {done_ms} ms are accounted, \
             machines saw {machine_done} in {machine_done_ms} ms"
        ));
    }
    if done + unseen_attempts < reported_done {
        violations.push(format!(
            "ledger: users were told of {reported_done} tasks done, \
             {done} and {unseen_attempts} unseen ones are accounted"
        ));
    }
    for row in &usage.rows {
        let sums = &row.sums;
        if sums.ran_ms != sums.useful_ms + sums.repeated_ms + sums.lost_ms {
            violations.push(format!("ledger: a row's run time is not its parts: {row:?}"));
        }
    }
    violations.extend(usage.gaps.iter().map(|gap| format!("ledger: {gap} cannot be read")));
    violations
}

/// How long a rented machine may stay without being used or returned. The bound must be above the time that
/// controllers allow for a boot: a lower one reported a machine that was merely late in one run of ten.
fn compute_unseen_limit_ms(local: &LocalSettings) -> u64 {
    ((local.boot_s * UNSEEN_MACHINE_BOOT_FACTOR + local.lease_s + UNSEEN_MACHINE_SLACK_S) * 1000.0)
        as u64
}

fn build_report(
    scenario: Scenario,
    seed: u64,
    running: &mut RunningRegion,
    users: &[Arc<Mutex<User>>],
    start: u64,
    length: &SuiteLength,
    max_memory_bytes: u64,
) -> SuiteReport {
    let mut jobs = Vec::new();
    for user in users {
        let mut user = user.lock().unwrap_or_else(PoisonError::into_inner);
        let final_answers = fetch_final_answers(running, &mut user);
        let exactly_one = has_exactly_one_final(&user.answers, &final_answers);
        for change in &mut user.answers {
            change.at_ms = change.at_ms.saturating_sub(start);
        }
        jobs.push(JobOutcome {
            job: user.plan.spec.id.to_string(),
            shape: format_shape(user.plan.spec.shape).to_owned(),
            tasks: user.plan.spec.tasks,
            accepted: user.accepted,
            answers: user.answers.clone(),
            finals: final_answers,
            exactly_one,
        });
    }
    let now = running.emulator.shared.now();
    let unseen_limit_ms = compute_unseen_limit_ms(&running.local);
    let mut region = running.emulator.lock_region();
    region.checker.check_cancelled_jobs(now);
    let mut rules_broken = region.checker.violations.clone();
    // During the fault phase a machine may report late, or be kept because its release was refused.
    let recovery_start = start + length.fault_phase_ms;
    let unseen_machines = region
        .unreported_machines
        .iter()
        .filter(|(_, rented_at)| now > recovery_start.max(**rented_at) + unseen_limit_ms);
    rules_broken.extend(unseen_machines.map(|(host, rented_at)| {
        format!(
            "{:.3} s paid_unseen: {host}, rented at {:.3} s",
            now as f64 / 1e3,
            *rented_at as f64 / 1e3
        )
    }));
    let find_final_time = |job: &JobOutcome| {
        job.answers.last().filter(|change| is_final(&change.status)).map(|change| change.at_ms)
    };
    let final_times = jobs.iter().filter_map(find_final_time);
    let fault_phase_ms = length.fault_phase_ms;
    let last_final_at = final_times.clone().max().unwrap_or(0);
    SuiteReport {
        scenario: format_scenario(scenario).to_owned(),
        seed,
        without_exactly_one: jobs.iter().filter(|job| !job.exactly_one).count(),
        rules_broken,
        settled_ms: last_final_at.saturating_sub(fault_phase_ms),
        first_final_ms: final_times
            .filter(|at| *at >= fault_phase_ms)
            .min()
            .map(|at| at - fault_phase_ms),
        starts: region.checker.start_count,
        controller_memory_mb: (max_memory_bytes as f64 / 1e5).round() / 10.0,
        restarts: running.exit_counts().values().sum(),
        jobs,
    }
}

/// The status that each controller reports at the end.
fn fetch_final_answers(running: &mut RunningRegion, user: &mut User) -> Vec<String> {
    let request = if user.plan.invalid {
        JobRequest::Submit(Box::new(user.plan.spec.clone()))
    } else {
        JobRequest::View(user.plan.spec.id.clone())
    };
    (0..user.controllers.len())
        .map(|index| {
            let mut controller = Controllers::new(&running.controllers[index..=index]);
            let started = Instant::now();
            let answer = controller.request_with_retry(&request, Millis(5_000));
            running.supervise();
            match answer {
                JobResponse::View(view) => format_status(view.status).to_owned(),
                JobResponse::Rejected(status, _) if user.plan.invalid => {
                    format!("refused {status}")
                }
                JobResponse::Rejected(status, _) => format!("lost {status}"),
                JobResponse::Unreachable => "unreachable".to_owned(),
                JobResponse::NoFinalResponse(text) => {
                    format!("no answer in {} s: {text}", started.elapsed().as_secs())
                }
            }
        })
        .collect()
}

/// Parses a timetable of faults.
///
/// # Errors
/// The line that is invalid and the reason.
pub fn parse_timetable(text: &str) -> Result<Vec<ScheduledFault>, timetable::TimetableError> {
    timetable::parse(text, CONTROLLER_COUNT)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn is_accepted(answers: &[&str], final_answers: &[&str]) -> bool {
        let change = |status: &&str| StatusChange { at_ms: 0, status: (*status).to_owned() };
        let answers: Vec<StatusChange> = answers.iter().map(change).collect();
        let final_answers: Vec<String> = final_answers.iter().map(|f| (*f).to_owned()).collect();
        has_exactly_one_final(&answers, &final_answers)
    }

    /// Each kind of wrong answer is detected: none, unfinished, two final ones, controllers that disagree or no
    /// longer know the job.
    #[test]
    fn a_job_without_exactly_one_final_answer_is_found() {
        let all = ["done"; 3];
        assert!(is_accepted(&["queued", "running", "done"], &all));
        assert!(is_accepted(&["refused 422"], &["refused 422"; 3]));
        assert!(!is_accepted(&[], &all), "never answered");
        assert!(!is_accepted(&["queued", "running"], &["running"; 3]), "not finished");
        assert!(!is_accepted(&["done", "running"], &all), "a status after the final one");
        assert!(!is_accepted(&["cancelled", "done"], &all), "two final answers");
        assert!(
            !is_accepted(&["queued", "done"], &["done", "done", "cancelled"]),
            "controllers differ"
        );
        assert!(
            !is_accepted(&["queued", "done"], &["done", "unreachable", "done"]),
            "one controller is unreachable"
        );
        assert!(!is_accepted(&["queued", "lost 404"], &["lost 404"; 3]), "forgotten");
    }

    /// The same seed gives the same jobs and faults, and all faults end within the fault phase.
    #[test]
    fn a_seed_gives_the_same_jobs_and_faults() {
        let (local, length) = (LocalSettings::default(), SuiteLength::quick());
        let draw = |scenario, seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let plans = draw_plans(&local, scenario, &length, &mut rng);
            let ids: Vec<String> = plans.iter().map(|plan| plan.spec.id.to_string()).collect();
            (ids, draw_faults(scenario, &length, &mut rng))
        };
        for scenario in <Scenario as clap::ValueEnum>::value_variants() {
            assert_eq!(draw(*scenario, 3), draw(*scenario, 3));
            let (ids, faults) = draw(*scenario, 4);
            assert_eq!(ids.len() as u64, length.job_count);
            assert!(!faults.is_empty());
            assert!(
                faults
                    .iter()
                    .all(|fault| fault.at <= fault.until && fault.until <= length.fault_phase_ms)
            );
        }
        assert_ne!(draw(Scenario::Mixed, 3), draw(Scenario::Mixed, 4));
    }
}
