//! The one-machine suite: mixed work with troubles from a seed, then for every job its answers in order and
//! whether every controller gives the same single final one. The rules are judged by what the emulated machines
//! saw.

use crate::constants::*;
use crate::launch::{LaunchError, Running};
use crate::settings::{Local, ZONES};
use crate::usage::Question;
use oatloom_client::users::{Controllers, Told, Wish, judge};
use oatloom_emulator::faults::{Fault, Planned, Service, Trouble};
use oatloom_emulator::timetable;
use oatloom_emulator::worker::Broken;
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

/// What is rehearsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Troubles of all kinds, drawn from the seed
    Mixed,
    /// The state service restarts while gangs are half placed
    Gangs,
    /// Hires are late or their answers lost, and the leader changes meanwhile
    Hires,
    /// Replies of the state service are lost, it restarts, then the controllers are killed
    Replies,
    /// The cloud refuses for long
    Night,
    /// The state service refuses for long
    Pause,
    /// All controllers are killed again and again, and one is started with wrong settings
    Killed,
    /// Controllers end without end, one, two in turn, or all, and are back within a fraction of a second
    Restless,
    /// Users ask eight times as often, some jobs were submitted with a mistake, and controllers are killed meanwhile
    Asked,
}

/// How long it goes on.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    pub jobs: u64,
    pub troubled_ms: u64,
    pub calm_ms: u64,
    pub troubles: u64,
    /// Span of one long outage.
    pub outage_s: u64,
    pub kills: u64,
}

impl Length {
    pub fn whole() -> Self {
        Self {
            jobs: JOBS,
            troubled_ms: TROUBLED_MS,
            calm_ms: CALM_MS,
            troubles: TROUBLES,
            outage_s: 60,
            kills: 20,
        }
    }

    pub fn quick() -> Self {
        Self {
            jobs: QUICK_JOBS,
            troubled_ms: QUICK_TROUBLED_MS,
            calm_ms: QUICK_CALM_MS,
            troubles: QUICK_TROUBLES,
            outage_s: 10,
            kills: 4,
        }
    }
}

/// What was heard of a job, and when.
#[derive(Clone, Debug, Serialize)]
pub struct Heard {
    pub at_ms: u64,
    pub status: String,
}

/// What became of a job.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub job: String,
    pub shape: String,
    pub tasks: u32,
    pub accepted: bool,
    /// Answers in order, each state once.
    pub answers: Vec<Heard>,
    /// The final answer of each controller.
    pub finals: Vec<String>,
    pub exactly_one: bool,
}

/// What the suite has found.
#[derive(Debug, Serialize)]
pub struct Findings {
    pub scenario: String,
    pub seed: u64,
    pub jobs: Vec<Outcome>,
    pub without_exactly_one: usize,
    pub rules_broken: Vec<String>,
    /// From the end of the last trouble to the last final answer, in milliseconds.
    pub settled_ms: u64,
    /// From the end of the last trouble to the first final answer after it.
    pub first_final_ms: Option<u64>,
    pub starts: usize,
    pub controller_memory_mb: f64,
    pub restarts: u32,
}

impl Findings {
    /// Whether nothing is to be complained of.
    pub fn good(&self) -> bool {
        self.without_exactly_one == 0 && self.rules_broken.is_empty()
    }

    /// The last line of the suite.
    pub fn line(&self) -> String {
        format!(
            "jobs {}, without exactly one final answer {}, rules broken {}",
            self.jobs.len(),
            self.without_exactly_one,
            self.rules_broken.len()
        )
    }
}

/// What a job's user does.
#[derive(Clone)]
struct Plan {
    spec: JobSpec,
    at: u64,
    abort_at: Option<u64>,
    /// It cannot be accepted: its final answer is the refusal.
    senseless: bool,
    /// Its tasks fail by their own doing.
    broken: Option<Broken>,
}

fn plans(local: &Local, scenario: Scenario, length: &Length, rng: &mut ChaCha8Rng) -> Vec<Plan> {
    (0..length.jobs).map(|n| plan(local, scenario, length, n, rng)).collect()
}

fn plan(local: &Local, scenario: Scenario, length: &Length, n: u64, rng: &mut ChaCha8Rng) -> Plan {
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
    let senseless = n % 12 == 11;
    let (one_zone, saves) = (rng.random_bool(0.25), rng.random_bool(0.4));
    let zone = rng.random_bool(0.15).then(|| Zone::new(ZONES[rng.random_range(0..ZONES.len())]));
    let ranks = [Rank::Low, Rank::Standard, Rank::High, Rank::Critical];
    let spec = JobSpec {
        id: JobId::new(&format!("req-{:08}", rng.random_range(0..90_000) * 1_000 + n)),
        class: if rng.random_bool(0.5) { "quick" } else { "slow" }.into(),
        team: local.teams.choose(rng).cloned().unwrap_or_default(),
        shape,
        rank: ranks.choose(rng).copied().unwrap_or(Rank::Standard),
        tasks,
        cpus: 2.0,
        gpus: if senseless { 1_000.0 } else { f64::from(rng.random_range(0..3u32)) },
        memory_gb: 8.0,
        image: format!("img-{}", rng.random_range(0..4)),
        image_gb: 2.0,
        flavors: rng.random_bool(0.2).then(|| vec!["whole".to_owned()]),
        one_zone,
        spread: !one_zone && zone.is_none() && rng.random_bool(0.3),
        zone,
        spot: shape != Shape::Service && rng.random_bool(0.6),
        estimate_s: if shape == Shape::Service { 0.0 } else { rng.random_range(0.5..4.0) },
        checkpoint_s: if saves { 1.0 } else { 0.0 },
        save_s: if saves { 0.5 } else { 0.0 },
        deadline_s: rng.random_bool(0.3).then_some(60.0),
        dependencies: Vec::new(),
    };
    let last = length.troubled_ms;
    let at = rng.random_range(200..last * 3 / 4);
    let aborts = shape == Shape::Service || rng.random_bool(0.15);
    let abort_at = aborts.then(|| rng.random_range(at + 500..last + 1_000));
    // A gang has to find room for each of its tries: more than a quick suite has time for, after its troubles.
    let in_time = shape == Shape::Array || length.calm_ms > QUICK_CALM_MS;
    let broken =
        (n % BROKEN_EVERY == 3 && in_time && !senseless).then(|| match rng.random_range(0..3) {
            0 => Broken::Always,
            1 => Broken::Task(0),
            _ => Broken::Often(0.4),
        });
    // What fails needs time for its repeats, and for the verdict.
    let at = if broken.is_some() { at / 3 } else { at };
    Plan { spec, at, abort_at, senseless, broken }
}

/// The troubles of a scenario, in order of time.
fn troubles(scenario: Scenario, length: &Length, rng: &mut ChaCha8Rng) -> Vec<Planned> {
    let end = length.troubled_ms;
    let mut list = Vec::new();
    let mut add = |at: u64, span: u64, fault: Fault| {
        list.push(Planned { at, until: (at + span).min(end), fault });
    };
    let state = |trouble| Fault::At { service: Service::State, trouble, controller: None };
    let cloud = |trouble| Fault::At { service: Service::Cloud, trouble, controller: None };
    match scenario {
        Scenario::Mixed => {
            for _ in 0..length.troubles {
                let at = rng.random_range(1_000..end - 4_000);
                add(at, rng.random_range(1_000..7_000), drawn(rng));
            }
        }
        Scenario::Gangs => {
            for n in 0..length.kills * 2 {
                add(1_500 + n * (end - 3_000) / (length.kills * 2), 0, Fault::RestartState);
            }
        }
        Scenario::Hires => {
            add(0, end * 3 / 4, cloud(Trouble::Late(0.3, 4_000)));
            add(0, end * 3 / 4, cloud(Trouble::Lose(0.4)));
            for n in 0..length.kills {
                add(
                    2_500 + n * (end - 4_000) / length.kills,
                    0,
                    Fault::CrashController(n as usize % CONTROLLERS, None),
                );
            }
        }
        Scenario::Replies => {
            for n in 0..length.kills {
                let at = 2_000 + n * (end - 4_000) / length.kills;
                add(at, 400, state(Trouble::Lose(1.0)));
                add(at + 300, 0, Fault::RestartState);
                add(
                    at + 400,
                    0,
                    if n % 2 == 0 {
                        Fault::CrashAll(None)
                    } else {
                        Fault::CrashController(n as usize % CONTROLLERS, None)
                    },
                );
            }
        }
        Scenario::Night => add(1_500, length.outage_s * 1_000, cloud(Trouble::Refuse)),
        Scenario::Pause => add(5_000, length.outage_s * 1_000, state(Trouble::Refuse)),
        Scenario::Restless => {
            let kills = length.kills * RESTLESS_KILLS;
            for n in 0..kills {
                let back = Some(Millis(rng.random_range(0..1_000)));
                let fault = match n * 3 / kills {
                    0 => Fault::CrashController(0, back),
                    1 => Fault::CrashController(n as usize % 2, back),
                    _ => Fault::CrashAll(back),
                };
                add(2_000 + n * (end - 4_000) / kills, 0, fault);
            }
        }
        Scenario::Asked => {
            for n in 0..length.kills {
                let fault = Fault::CrashController(n as usize % CONTROLLERS, Some(Millis(300)));
                add(2_000 + n * (end - 4_000) / length.kills, 0, fault);
            }
        }
        Scenario::Killed => {
            for n in 0..length.kills {
                add(2_000 + n * (end - 4_000) / length.kills, 0, Fault::CrashAll(None));
            }
        }
    }
    list.sort_by_key(|p| p.at);
    list
}

fn drawn(rng: &mut ChaCha8Rng) -> Fault {
    let one = rng.random_range(0..CONTROLLERS);
    let controller = rng.random_bool(0.4).then_some(one);
    let at = |service, trouble| Fault::At { service, trouble, controller };
    let back = rng.random_bool(0.5).then(|| Millis(rng.random_range(0..1_000)));
    match rng.random_range(0..17) {
        0 | 1 => Fault::CrashController(one, back),
        2 => Fault::CrashAll(back),
        3 => Fault::RestartState,
        4 => at(Service::State, Trouble::Refuse),
        5 => at(Service::State, Trouble::Slow(400)),
        6 => at(Service::State, Trouble::Lose(0.3)),
        7 => at(Service::State, Trouble::Late(0.2, 5_000)),
        8 => at(Service::State, Trouble::Silent),
        9 => at(Service::Cloud, Trouble::Refuse),
        10 => at(Service::Cloud, Trouble::Lose(0.4)),
        11 => at(Service::Cloud, Trouble::Late(0.3, 5_000)),
        12 => Fault::CutController(one),
        13 => Fault::CutZone(ZONES[one].to_owned()),
        14 => Fault::TakeSpot(3),
        15 => Fault::MachinesDie(1),
        _ => Fault::MachinesHang(2),
    }
}

fn word(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Failed => "failed",
    }
}

/// Name of a job shape in the report.
fn shape_text(shape: Shape) -> &'static str {
    match shape {
        Shape::Array => "array",
        Shape::Gang => "gang",
        Shape::Service => "service",
    }
}

/// Name of a scenario in the report.
fn scenario_text(scenario: Scenario) -> &'static str {
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

/// Whether there was one final answer, nothing after it, and every controller says the same.
fn exactly_one(answers: &[Heard], finals: &[String]) -> bool {
    let Some(last) = answers.last().map(|heard| &heard.status) else { return false };
    is_final(last)
        && answers.iter().filter(|heard| is_final(&heard.status)).count() == 1
        && !finals.is_empty()
        && finals.iter().all(|said| said == last)
}

/// A job's user, until the job is over or the time is up.
struct User {
    plan: Plan,
    controllers: Controllers,
    rng: ChaCha8Rng,
    accepted: bool,
    answers: Vec<Heard>,
}

impl User {
    fn over(&self) -> bool {
        self.answers.last().is_some_and(|heard| is_final(&heard.status))
    }

    fn heard(&mut self, at_ms: u64, status: String) {
        if self.answers.last().is_none_or(|last| last.status != status) {
            self.answers.push(Heard { at_ms, status });
        }
    }

    /// Does what is due, and says when to come again.
    fn act(&mut self, running: &oatloom_emulator::serve::Emulator, now: u64, hurry: u64) -> u64 {
        let id = self.plan.spec.id.clone();
        let aborts = self.plan.abort_at.is_some_and(|at| now >= at);
        let wish = if !self.accepted || self.rng.random_bool(0.05) && !self.over() {
            Wish::Submit(Box::new(self.plan.spec.clone()))
        } else if aborts && !self.over() {
            Wish::Abort(id.clone())
        } else {
            Wish::View(id.clone())
        };
        match &wish {
            Wish::Submit(spec) if !self.plan.senseless => {
                let mut region = running.region();
                region.upload(spec);
                if let Some(broken) = self.plan.broken.clone() {
                    region.outside.broken.insert(id.to_string(), broken);
                }
            }
            Wish::Abort(id) => running.region().checker.cancel_asked(id.as_str()),
            _ => {}
        }
        let at = self.rng.random_range(0..self.controllers.len());
        let asked = running.shared.now();
        let answer = self.controllers.ask(at, &wish);
        let now = running.shared.now();
        if let Some(answer) = &answer {
            if !self.plan.senseless {
                let body = String::from_utf8_lossy(&answer.body);
                let submission = matches!(wish, Wish::Submit(_));
                let mut region = running.region();
                region.checker.answered(now, asked, id.as_str(), answer.status, &body, submission);
            }
            match judge(&wish, answer) {
                Some(Told::View(view)) => {
                    self.accepted = true;
                    self.heard(now, word(view.status).to_owned());
                }
                Some(Told::Refused(status, _))
                    if !self.accepted && matches!(wish, Wish::Submit(_)) =>
                {
                    self.heard(now, format!("refused {status}"));
                }
                Some(Told::Refused(status, _)) => self.heard(now, format!("lost {status}")),
                Some(Told::Nothing(_) | Told::Unreachable) | None => {}
            }
        }
        now + self.rng.random_range(POLL_MS.0..POLL_MS.1) / hurry
    }
}

/// Plays a scenario in a directory and judges it.
///
/// # Errors
/// The region cannot be started.
pub fn play(
    scenario: Scenario,
    seed: u64,
    length: Length,
    extra: &[Planned],
    data: &Path,
    say: &dyn Fn(&str),
) -> Result<Findings, LaunchError> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let local = Local { port: 0, ..Local::default() };
    let plans = plans(&local, scenario, &length, &mut rng);
    let mut troubles = troubles(scenario, &length, &mut rng);
    troubles.extend_from_slice(extra);
    troubles.sort_by_key(|p| p.at);
    let operators = data.join("operators.lisp");
    std::fs::create_dir_all(data)
        .and_then(|()| std::fs::write(&operators, CLASSES))
        .map_err(|cause| LaunchError::File { path: operators.clone(), cause })?;
    let mut running = Running::start(local, data, Some(&operators), seed)?;
    running.emulator.region().checker.repeats =
        REPEATS.iter().map(|(class, repeats)| ((*class).to_owned(), *repeats)).collect();
    say(&format!(
        "{} jobs, {} troubles, controllers at {}",
        plans.len(),
        troubles.len(),
        running.controllers.join(", ")
    ));
    if scenario == Scenario::Killed {
        running.misled = Some(CONTROLLERS - 1);
    }
    let often = if scenario == Scenario::Asked { STORM_TIMES } else { 1 };
    let start = running.emulator.shared.now();
    let calm = Arc::new(AtomicBool::new(false));
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
        let (calm, stop) = (calm.clone(), stop.clone());
        let started = spawn("user", move || {
            let mut user = user.lock().unwrap_or_else(PoisonError::into_inner);
            let mut next = start + user.plan.at;
            let abort = user.plan.abort_at;
            user.plan.abort_at = abort.map(|at| start + at);
            while !stop.load(Ordering::Relaxed) && !user.over() {
                let now = emulator.shared.now();
                if now >= next {
                    let hurry = if calm.load(Ordering::Relaxed) { 2 } else { often };
                    next = user.act(&emulator, now, hurry);
                } else {
                    std::thread::sleep(Duration::from_millis((next - now).min(TEND_MS.0)));
                }
            }
        });
        threads.push(started.map_err(|e| LaunchError::Start(e.into()))?);
    }
    let mut memory = 0;
    let mut next = 0;
    loop {
        std::thread::sleep(Duration::from_millis(TEND_MS.0));
        running.tend();
        memory = memory.max(running.controllers_memory());
        let now = running.emulator.shared.now() - start;
        while next < troubles.len() && troubles[next].at <= now {
            running.strike(&troubles[next]);
            next += 1;
        }
        if now >= length.troubled_ms && !calm.swap(true, Ordering::Relaxed) {
            running.emulator.shared.faults.lock().unwrap_or_else(PoisonError::into_inner).clear();
            say("troubles are over");
        }
        let over = threads.iter().all(|t| t.is_finished());
        let seen = now > length.troubled_ms + unseen_ms(&running.local);
        if now >= length.troubled_ms + length.calm_ms || over && seen {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    // Processes are looked after until the last user is through.
    while !threads.iter().all(|t| t.is_finished()) {
        running.tend();
        std::thread::sleep(Duration::from_millis(TEND_MS.0));
    }
    let account = settled_account(&mut running);
    let mut findings = findings(scenario, seed, &mut running, &users, start, &length, memory);
    findings.rules_broken.extend(misaccounted(&running, &users, account));
    Ok(findings)
}

/// The account, once it no longer changes; `None`: it could not be had.
fn settled_account(running: &mut Running) -> Option<UsagePage> {
    let began = Instant::now();
    let (mut last, mut same) = (None, 0);
    while began.elapsed() < Duration::from_millis(SETTLE_MS) && same < SETTLE_LOOKS {
        running.tend();
        std::thread::sleep(Duration::from_millis(SETTLE_EVERY_MS));
        let page = Question::default().look(&running.controllers);
        same = if page.is_some() && page == last { same + 1 } else { 0 };
        last = page;
    }
    last
}

/// Whether what is accounted can be what the machines saw: no more tasks have completed than they know of, in no more
/// time, and no fewer than users were told of, but for those whose end nobody saw.
fn misaccounted(
    running: &Running,
    users: &[Arc<Mutex<User>>],
    account: Option<UsagePage>,
) -> Vec<String> {
    let Some(account) = account else { return vec!["ledger: no account is to be had".into()] };
    let (mut told, mut gangs) = (0, 0);
    for user in users {
        let user = user.lock().unwrap_or_else(PoisonError::into_inner);
        let tasks = u64::from(user.plan.spec.tasks);
        let done = user.answers.last().is_some_and(|heard| heard.status == "done");
        told += if done { tasks } else { 0 };
        gangs += if done && user.plan.spec.shape == Shape::Gang { tasks } else { 0 };
    }
    let of = |cause: &str| -> (u64, u64) {
        let rows = account.rows.iter().filter(|row| row.cause == cause);
        rows.fold((0, 0), |(n, ran), row| (n + row.sums.attempts, ran + row.sums.ran_ms))
    };
    let (done, done_ms) = of("done");
    let (unseen, _) = of("unseen");
    let region = running.emulator.region();
    let exits = region.checker.exits.values().filter(|(cause, _)| *cause == ExitCause::Done);
    let (seen, seen_ms) = exits.fold((0, 0), |(n, sum), (_, ran)| (n + 1, sum + ran));
    let mut wrong = Vec::new();
    // The first task of a gang speaks for all of them.
    if done > seen + gangs || done_ms > seen_ms && gangs == 0 {
        wrong.push(format!(
            "ledger: {done} tasks done in {done_ms} ms are accounted, machines saw {seen} in {seen_ms} ms"
        ));
    }
    if done + unseen < told {
        wrong.push(format!(
            "ledger: users were told of {told} tasks done, {done} and {unseen} unseen ones are accounted"
        ));
    }
    for row in &account.rows {
        let line = &row.sums;
        if line.ran_ms != line.useful_ms + line.repeated_ms + line.lost_ms {
            wrong.push(format!("ledger: a row's run time is not its parts: {row:?}"));
        }
    }
    wrong.extend(account.gaps.iter().map(|gap| format!("ledger: {gap} cannot be read")));
    wrong
}

/// After so long a machine that was rented has been used or returned, if all is well. Guards against a bound
/// below the patience that controllers have with a boot: one play in ten found a machine that was merely late.
fn unseen_ms(local: &Local) -> u64 {
    ((local.boot_s * UNSEEN_BOOTS + local.lease_s + UNSEEN_SLACK_S) * 1000.0) as u64
}

fn findings(
    scenario: Scenario,
    seed: u64,
    running: &mut Running,
    users: &[Arc<Mutex<User>>],
    start: u64,
    length: &Length,
    memory: u64,
) -> Findings {
    let mut jobs = Vec::new();
    for user in users {
        let mut user = user.lock().unwrap_or_else(PoisonError::into_inner);
        let finals = finals(running, &mut user);
        let exactly_one = exactly_one(&user.answers, &finals);
        for heard in &mut user.answers {
            heard.at_ms = heard.at_ms.saturating_sub(start);
        }
        jobs.push(Outcome {
            job: user.plan.spec.id.to_string(),
            shape: shape_text(user.plan.spec.shape).to_owned(),
            tasks: user.plan.spec.tasks,
            accepted: user.accepted,
            answers: user.answers.clone(),
            finals,
            exactly_one,
        });
    }
    let now = running.emulator.shared.now();
    let unseen_ms = unseen_ms(&running.local);
    let mut region = running.emulator.region();
    region.checker.look(now);
    let mut broken = region.checker.broken.clone();
    // While troubles last, a machine may be late to be seen, or a refused release keep it.
    let calm = start + length.troubled_ms;
    let unseen = region.unseen.iter().filter(|(_, rented)| now > calm.max(**rented) + unseen_ms);
    broken.extend(unseen.map(|(host, rented)| {
        format!(
            "{:.3} s paid_unseen: {host}, rented at {:.3} s",
            now as f64 / 1e3,
            *rented as f64 / 1e3
        )
    }));
    let ended = |job: &Outcome| job.answers.last().filter(|h| is_final(&h.status)).map(|h| h.at_ms);
    let finals = jobs.iter().filter_map(ended);
    let after = length.troubled_ms;
    let last = finals.clone().max().unwrap_or(0);
    Findings {
        scenario: scenario_text(scenario).to_owned(),
        seed,
        without_exactly_one: jobs.iter().filter(|job| !job.exactly_one).count(),
        rules_broken: broken,
        settled_ms: last.saturating_sub(after),
        first_final_ms: finals.filter(|at| *at >= after).min().map(|at| at - after),
        starts: region.checker.starts,
        controller_memory_mb: (memory as f64 / 1e5).round() / 10.0,
        restarts: running.ends().values().sum(),
        jobs,
    }
}

/// What each controller says in the end.
fn finals(running: &mut Running, user: &mut User) -> Vec<String> {
    let wish = if user.plan.senseless {
        Wish::Submit(Box::new(user.plan.spec.clone()))
    } else {
        Wish::View(user.plan.spec.id.clone())
    };
    (0..user.controllers.len())
        .map(|at| {
            let mut alone = Controllers::new(&running.controllers[at..=at]);
            let began = Instant::now();
            let told = alone.insist(&wish, Millis(5_000));
            running.tend();
            match told {
                Told::View(view) => word(view.status).to_owned(),
                Told::Refused(status, _) if user.plan.senseless => format!("refused {status}"),
                Told::Refused(status, _) => format!("lost {status}"),
                Told::Unreachable => "unreachable".to_owned(),
                Told::Nothing(text) => {
                    format!("no answer in {} s: {text}", began.elapsed().as_secs())
                }
            }
        })
        .collect()
}

/// Reads a timetable's file for a suite.
///
/// # Errors
/// The line and what is wrong in it.
pub fn read_timetable(text: &str) -> Result<Vec<Planned>, timetable::BadTimetable> {
    timetable::read(text, CONTROLLERS)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(answers: &[&str], finals: &[&str]) -> bool {
        let heard = |status: &&str| Heard { at_ms: 0, status: (*status).to_owned() };
        let answers: Vec<Heard> = answers.iter().map(heard).collect();
        let finals: Vec<String> = finals.iter().map(|f| (*f).to_owned()).collect();
        exactly_one(&answers, &finals)
    }

    /// The suite's verdict on a job can be bad, in every way that it is meant to find.
    #[test]
    fn a_job_without_exactly_one_final_answer_is_found() {
        let all = ["done"; 3];
        assert!(one(&["queued", "running", "done"], &all));
        assert!(one(&["refused 422"], &["refused 422"; 3]));
        assert!(!one(&[], &all), "never answered");
        assert!(!one(&["queued", "running"], &["running"; 3]), "not over");
        assert!(!one(&["done", "running"], &all), "went on after its end");
        assert!(!one(&["cancelled", "done"], &all), "two ends");
        assert!(!one(&["queued", "done"], &["done", "done", "cancelled"]), "controllers differ");
        assert!(!one(&["queued", "done"], &["done", "unreachable", "done"]), "one does not say");
        assert!(!one(&["queued", "lost 404"], &["lost 404"; 3]), "forgotten");
    }

    /// A seed gives the same jobs and troubles, which end before the calm.
    #[test]
    fn a_seed_gives_the_same_suite() {
        let (local, length) = (Local::default(), Length::quick());
        let draw = |scenario, seed| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let plans = plans(&local, scenario, &length, &mut rng);
            let ids: Vec<String> = plans.iter().map(|p| p.spec.id.to_string()).collect();
            (ids, troubles(scenario, &length, &mut rng))
        };
        for scenario in <Scenario as clap::ValueEnum>::value_variants() {
            assert_eq!(draw(*scenario, 3), draw(*scenario, 3));
            let (ids, troubles) = draw(*scenario, 4);
            assert_eq!(ids.len() as u64, length.jobs);
            assert!(!troubles.is_empty());
            assert!(troubles.iter().all(|t| t.at <= t.until && t.until <= length.troubled_ms));
        }
        assert_ne!(draw(Scenario::Mixed, 3), draw(Scenario::Mixed, 4));
    }
}
