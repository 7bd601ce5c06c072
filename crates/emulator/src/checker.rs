//! The rules of the protocol, checked after every step of a simulated day.

mod dependencies;

use oatloom_protocol::wire::{ExitCause, JobSpec, JobStatus, Order, Shape};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task on a machine: from the moment it has its image until it has exited or is killed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OnMachine {
    pub job: String,
    pub index: u32,
    pub host: String,
}

#[derive(Clone, Debug)]
pub struct Place {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
}

/// Job, task and attempt.
pub type Start = (String, u32, u64);

/// What one job's user has been told.
#[derive(Default)]
struct Told {
    accepted: bool,
    accepted_at: u64,
    over: Option<JobStatus>,
    over_at: u64,
    cancel_asked: bool,
    cancelled_at: Option<u64>,
}

/// How often a task, or a gang, has failed.
#[derive(Clone, Debug, Default)]
struct Errors {
    /// Attempts that failed by its own doing, and whether they did so on a faulty machine, which may excuse them.
    own: BTreeMap<u64, bool>,
    /// Those that a controller has certainly heard of: it had them forgotten.
    heard: BTreeSet<u64>,
    /// When it failed once more than its class allows.
    spent_at: Option<u64>,
}

pub struct Checker {
    pub broken: Vec<String>,
    /// Tasks that had the time to save when they were stopped.
    pub saved: u64,
    pub starts: usize,
    /// How often tasks of a class may be repeated; a class that is not named may fail for ever.
    pub repeats: HashMap<String, u32>,
    /// From the last failure that was allowed to the first time that a user was told `failed`, in milliseconds.
    pub refused_ms: Vec<u64>,
    /// The longest that a job was called open after its user was told that a job before it is cancelled, in milliseconds.
    pub orphaned_ms: u64,
    /// How attempts ended, by machine, job, task and attempt: the cause, and for how long they ran, in milliseconds.
    pub exits: BTreeMap<(String, Start), (ExitCause, u64)>,
    /// Tasks that came onto machines since this was last taken, where somebody takes it.
    pub begun: Option<Vec<OnMachine>>,
    errors: BTreeMap<(String, u32), Errors>,
    limits: HashMap<String, Limit>,
    cancel_ms: u64,
    specs: HashMap<String, JobSpec>,
    told: HashMap<String, Told>,
    done: HashMap<String, BTreeSet<u32>>,
    on: BTreeMap<OnMachine, Place>,
    /// Cores and GPUs that each team's tasks on machines take, in thousandths, so that sums are exact.
    used: HashMap<String, [i64; 2]>,
}

/// The most that a team's tasks may take at once; 0: no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    pub cpus: f64,
    pub gpus: f64,
}

impl Limit {
    /// Of GPUs alone.
    pub fn gpus(gpus: f64) -> Self {
        Self { cpus: 0.0, gpus }
    }
}

fn thousandths(amount: f64) -> i64 {
    (amount * 1e3).round() as i64
}

/// Cores and GPUs of a task.
fn amounts(spec: &JobSpec) -> [i64; 2] {
    [thousandths(spec.cpus), thousandths(spec.gpus)]
}

impl Checker {
    pub fn new(limits: HashMap<String, Limit>, cancel_ms: u64) -> Self {
        Self {
            broken: Vec::new(),
            saved: 0,
            starts: 0,
            repeats: HashMap::new(),
            refused_ms: Vec::new(),
            orphaned_ms: 0,
            exits: BTreeMap::new(),
            begun: None,
            errors: BTreeMap::new(),
            limits,
            cancel_ms,
            specs: HashMap::new(),
            told: HashMap::new(),
            done: HashMap::new(),
            on: BTreeMap::new(),
            used: HashMap::new(),
        }
    }

    /// A rule is broken.
    pub fn fail(&mut self, now: u64, rule: &str, text: String) {
        self.broken.push(format!("{:.3} s {rule}: {text}", now as f64 / 1000.0));
    }

    pub fn submitted(&mut self, spec: &JobSpec) {
        self.specs.insert(spec.id.to_string(), spec.clone());
    }

    pub fn cancel_asked(&mut self, job: &str) {
        self.told.entry(job.into()).or_default().cancel_asked = true;
    }

    pub fn task_done(&mut self, job: &str, index: u32) {
        self.done.entry(job.into()).or_default().insert(index);
    }

    /// A task ends by an error: by its own doing, its machine's, or both. A gang's attempt counts once.
    pub fn errored(&mut self, now: u64, task: &OnMachine, attempt: u64, own: bool, machine: bool) {
        let allowed = self.allowed(&task.job);
        let unit = self.unit(&task.job, task.index);
        let errors = self.errors.entry((task.job.clone(), unit)).or_default();
        if !own {
            return;
        }
        *errors.own.entry(attempt).or_default() |= machine;
        let alone = errors.own.values().filter(|machine| !**machine).count();
        if allowed.is_some_and(|allowed| alone > allowed as usize) {
            errors.spent_at.get_or_insert(now);
        }
    }

    /// A controller has an ended task forgotten: it has heard of its end, and kept it. Guards against counting
    /// failures that nobody can know of, since their machine was lost before it said so.
    pub fn forgotten(&mut self, now: u64, job: &str, index: u32, attempt: u64) {
        let Some(allowed) = self.allowed(job) else { return };
        let Some(errors) = self.errors.get_mut(&(job.to_owned(), self.unit(job, index))) else {
            return;
        };
        if errors.own.get(&attempt) == Some(&false)
            && errors.heard.insert(attempt)
            && errors.heard.len() > allowed as usize + 1
        {
            let text =
                format!("{job}/{index} failed {} times, {allowed} repeats", errors.heard.len());
            self.fail(now, "repeats", text);
        }
    }

    /// Failures of tasks by their own doing of which controllers have certainly heard, by job and task.
    pub fn heard_failures(&self) -> impl Iterator<Item = (&str, u32, usize)> {
        self.errors.iter().map(|((job, index), errors)| (job.as_str(), *index, errors.heard.len()))
    }

    /// Under which of a job's tasks its failures are counted: those of a gang under its first.
    fn unit(&self, job: &str, index: u32) -> u32 {
        let gang = self.specs.get(job).is_some_and(|spec| spec.shape == Shape::Gang);
        if gang { 0 } else { index }
    }

    /// An attempt has ended on its machine, after so many milliseconds in which it ran.
    pub fn exited(&mut self, host: &str, key: &Start, cause: ExitCause, ran: u64) {
        self.exits.insert((host.to_owned(), key.clone()), (cause, ran));
    }

    /// How often tasks of a job may be repeated, if that is limited.
    fn allowed(&self, job: &str) -> Option<u32> {
        self.repeats.get(&self.specs.get(job)?.class).copied()
    }

    /// Whether a task of a job, or the gang, failed once more often than its class allows, on whichever machines.
    fn has_spent_repeats(&self, job: &str) -> bool {
        let Some(allowed) = self.allowed(job) else { return false };
        let units = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        self.errors.range(units).any(|(_, errors)| errors.own.len() > allowed as usize)
    }

    /// A user was told for the first time that a job has failed.
    fn told_failed(&mut self, now: u64, job: &str) {
        let units = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        let errors: Vec<Errors> =
            self.errors.range(units).map(|(_, errors)| errors.clone()).collect();
        let allowed = self.allowed(job);
        if !self.has_spent_repeats(job) {
            let text = format!("{job} was refused for others' faults: {errors:?} of {allowed:?}");
            self.fail(now, "repeats", text);
        }
        self.refused_ms.extend(errors.iter().filter_map(|e| e.spent_at).min().map(|at| now - at));
        if let Some(task) = self.on.keys().find(|task| task.job == job) {
            let text = format!("{task:?} is on a machine");
            self.fail(now, "failed_early", text);
        }
    }

    pub fn over(&self, job: &str) -> Option<JobStatus> {
        self.told.get(job).and_then(|t| t.over)
    }

    /// When a user was first told of a job's end.
    pub fn over_at(&self, job: &str) -> Option<u64> {
        self.told.get(job).filter(|told| told.over.is_some()).map(|told| told.over_at)
    }

    /// Whether a task has completed.
    pub fn is_done(&self, job: &str, index: u32) -> bool {
        self.done.get(job).is_some_and(|done| done.contains(&index))
    }

    /// How many tasks of a job have completed.
    pub fn done_count(&self, job: &str) -> u32 {
        self.done.get(job).map_or(0, |done| done.len() as u32)
    }

    /// Tasks that are on machines.
    pub fn on_machines(&self) -> impl Iterator<Item = &OnMachine> {
        self.on.keys()
    }

    pub fn all_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).map_or(0, |s| s.tasks as usize);
        self.done.get(job).map_or(0, |d| d.len()) >= tasks
    }

    pub fn started(&mut self, now: u64, task: OnMachine, place: Place) {
        self.starts += 1;
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let first = OnMachine { job: task.job.clone(), index: 0, host: String::new() };
        let siblings: Vec<(OnMachine, Place)> = self
            .on
            .range(first..)
            .take_while(|(o, _)| o.job == task.job)
            .map(|(o, p)| (o.clone(), p.clone()))
            .collect();
        let twice = |o: &&OnMachine| o.index == task.index && o.host != task.host;
        if let Some(other) = siblings.iter().map(|(o, _)| o).find(twice) {
            let text = format!("{}/{} on {} and {}", task.job, task.index, other.host, task.host);
            self.fail(now, "ran_twice", text);
        }
        let here = siblings.iter().filter(|(_, p)| p.zone == place.zone).count() as u32 + 1;
        let elsewhere = siblings.iter().any(|(_, p)| p.zone != place.zone);
        let wrong = spec.flavors.as_ref().is_some_and(|f| !f.contains(&place.flavor))
            || spec.zone.as_ref().is_some_and(|z| z.as_str() != place.zone)
            || (place.spot && !spec.spot)
            || (spec.one_zone && elsewhere)
            || (spec.spread && here > spec.tasks.div_ceil(2));
        if wrong {
            let text = format!("{task:?} at {place:?}, {siblings:?}, {spec:?}");
            self.fail(now, "wrong_place", text);
        }
        self.check_not_early(now, &spec, &task);
        if self.over(&task.job) == Some(JobStatus::Failed) {
            self.fail(now, "failed_early", format!("{task:?} starts"));
        }
        let late = self
            .told
            .get(&task.job)
            .and_then(|t| t.cancelled_at)
            .is_some_and(|at| now > at + self.cancel_ms);
        if late {
            self.fail(now, "ran_cancelled", format!("{task:?} starts"));
        }
        if let Some(begun) = &mut self.begun {
            begun.push(task.clone());
        }
        let used = self.used.entry(spec.team.clone()).or_default();
        if self.on.insert(task, place).is_none() {
            used.iter_mut().zip(amounts(&spec)).for_each(|(used, more)| *used += more);
        }
        let [cpus, gpus] = *used;
        let limit = self.limits.get(&spec.team).copied().unwrap_or_default();
        for (what, used, most) in [("cores", cpus, limit.cpus), ("GPUs", gpus, limit.gpus)] {
            if most > 0.0 && used > thousandths(most) {
                let text = format!("{} uses {} {what} of {most}", spec.team, used as f64 / 1e3);
                self.fail(now, "quota", text);
            }
        }
    }

    pub fn ended(&mut self, task: &OnMachine) {
        if self.on.remove(task).is_some()
            && let Some(spec) = self.specs.get(&task.job)
            && let Some(used) = self.used.get_mut(&spec.team)
        {
            used.iter_mut().zip(amounts(spec)).for_each(|(used, less)| *used -= less);
        }
    }

    /// To be called now and then: what must be gone by now.
    pub fn look(&mut self, now: u64) {
        let late: Vec<OnMachine> = self
            .on
            .keys()
            .filter(|o| {
                self.told
                    .get(&o.job)
                    .and_then(|t| t.cancelled_at)
                    .is_some_and(|at| now > at + self.cancel_ms)
            })
            .cloned()
            .collect();
        for task in late {
            self.fail(now, "ran_cancelled", format!("{task:?} is still there"));
            self.ended(&task);
        }
    }

    /// Orders leave a controller: none starts a task of a job whose user has been told that it is cancelled or done,
    /// whichever way they still have to go.
    pub fn ordered(&mut self, now: u64, orders: &[Order]) {
        for order in orders {
            let Order::Run { task, .. } = order else { continue };
            let job = task.rsplit_once('/').map_or(task.as_str(), |(job, _)| job);
            if let Some(over) = self.over(job) {
                self.fail(now, "ordered", format!("{task} is to run, its user was told {over:?}"));
            }
        }
    }

    /// A user was answered what was asked at `asked`. Answers to questions put before the user was told that the job is
    /// accepted, or of its end, may cross that on their way, whichever node they come from.
    pub fn answered(
        &mut self,
        now: u64,
        asked: u64,
        job: &str,
        status: u16,
        body: &str,
        submission: bool,
    ) {
        let known = self.specs.contains_key(job);
        let accepted = self.told.get(job).is_some_and(|t| t.accepted && asked >= t.accepted_at);
        if accepted && (status == 404 || submission && matches!(status, 400 | 422)) {
            self.fail(now, "forgotten", format!("{job} got {status}"));
        }
        if status != 200 && status != 201 {
            return;
        }
        if !known {
            self.fail(now, "invented", job.into());
            return;
        }
        let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let Ok(said) = serde_json::from_value::<JobStatus>(value["status"].clone()) else {
            self.fail(now, "answer", format!("{job}: {body}"));
            return;
        };
        if said == JobStatus::Done && !self.all_done(job) {
            self.fail(now, "not_done", job.into());
        }
        let may_be_cancelled = self.may_be_cancelled(job);
        let told = self.told.entry(job.into()).or_default();
        if !told.accepted {
            (told.accepted, told.accepted_at) = (true, now);
        }
        // Two different ends cannot have crossed: one of them was never true.
        let back = told.over.is_some_and(|over| over != said)
            && (asked >= told.over_at || said.is_final());
        let unasked = said == JobStatus::Cancelled && !may_be_cancelled;
        let before = told.over;
        let ends = said.is_final() && told.over.is_none();
        let failed = ends && said == JobStatus::Failed;
        if said.is_final() && told.over.is_none() {
            told.over = Some(said);
            told.over_at = now;
            if said == JobStatus::Cancelled {
                told.cancelled_at = Some(now);
            }
        }
        if failed {
            self.told_failed(now, job);
        }
        if ends {
            self.check_agrees(now, job, said);
        }
        if matches!(said, JobStatus::Queued | JobStatus::Running) {
            self.check_not_orphaned(now, asked, job);
        }
        if back || unasked {
            self.fail(now, "went_back", format!("{job} was {before:?}, is {said:?}"));
        }
    }
}
