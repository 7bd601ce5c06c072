//! Checks the rules of the protocol against what machines and users observe during a simulated day.

mod dependencies;

use oatloom_protocol::wire::{ExitCause, JobSpec, JobStatus, Order, Shape};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task on a machine, from the moment its image is fetched until it exits or is killed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacedTask {
    /// ID of its job.
    pub job: String,
    /// Index of the task in its job.
    pub index: u32,
    /// ID of the machine.
    pub host: String,
}

/// Type, zone and price kind of a machine.
#[derive(Clone, Debug)]
pub struct Place {
    /// Label of the machine type.
    pub flavor: String,
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Job, task and attempt.
pub type AttemptKey = (String, u32, u64);

/// What the user of one job has observed.
#[derive(Default)]
struct ClientView {
    accepted: bool,
    accepted_at: u64,
    final_status: Option<JobStatus>,
    final_status_at: u64,
    cancel_requested: bool,
    cancelled_at: Option<u64>,
}

/// Failures of one task, or of one gang.
#[derive(Clone, Debug, Default)]
struct TaskFailures {
    /// Attempts that failed through a fault of the job, and whether the machine was faulty too, in which case
    /// the failure need not count.
    failed_attempts: BTreeMap<u64, bool>,
    /// Attempts whose failure a controller is known to have recorded, because it ordered the worker to forget
    /// them.
    recorded: BTreeSet<u64>,
    /// When it failed once more than its class allows retries.
    exhausted_at: Option<u64>,
}

/// Records the events of a simulated region and the violations of the rules.
pub struct Checker {
    /// One text for each violation: the time in seconds, the name of the rule, and the details.
    pub violations: Vec<String>,
    /// Number of stopped tasks that saved their progress before exiting.
    pub saved_count: u64,
    /// Number of task starts.
    pub start_count: usize,
    /// Allowed retries of a task, by class; classes that are missing here have no limit.
    pub max_retries: HashMap<String, u32>,
    /// For each failed job, the time from the failure that exceeded the limit until its user first saw
    /// `failed`, in milliseconds.
    pub failure_visibility_ms: Vec<u64>,
    /// Longest time for which a job was still reported as open after its user had seen one of its
    /// dependencies cancelled, in milliseconds.
    pub max_orphaned_ms: u64,
    /// Exit cause and run time in milliseconds of each ended attempt, by machine, job, task and attempt.
    pub exits: BTreeMap<(String, AttemptKey), (ExitCause, u64)>,
    /// Tasks that started on machines since this list was last emptied; `None` if the caller does not collect
    /// them.
    pub started_tasks: Option<Vec<PlacedTask>>,
    failures: BTreeMap<(String, u32), TaskFailures>,
    limits: HashMap<String, Limit>,
    cancel_timeout_ms: u64,
    specs: HashMap<String, JobSpec>,
    client_views: HashMap<String, ClientView>,
    done_tasks: HashMap<String, BTreeSet<u32>>,
    tasks_on_machines: BTreeMap<PlacedTask, Place>,
    /// Cores and GPUs used by each team's tasks on machines, in thousandths, so that sums are exact.
    team_usage: HashMap<String, [i64; 2]>,
}

/// Limit on the cores and GPUs that a team's tasks may use at once; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    pub cpus: f64,
    pub gpus: f64,
}

impl Limit {
    /// A limit on GPUs only.
    pub fn gpus_only(gpus: f64) -> Self {
        Self { cpus: 0.0, gpus }
    }
}

fn to_thousandths(amount: f64) -> i64 {
    (amount * 1e3).round() as i64
}

/// Cores and GPUs that a task of the job needs, in thousandths.
fn get_resource_needs(spec: &JobSpec) -> [i64; 2] {
    [to_thousandths(spec.cpus), to_thousandths(spec.gpus)]
}

impl Checker {
    /// Creates a checker for teams with these limits. Tasks of a cancelled job must be off their machines
    /// `cancel_timeout_ms` after the user saw the cancellation.
    pub fn new(limits: HashMap<String, Limit>, cancel_timeout_ms: u64) -> Self {
        Self {
            violations: Vec::new(),
            saved_count: 0,
            start_count: 0,
            max_retries: HashMap::new(),
            failure_visibility_ms: Vec::new(),
            max_orphaned_ms: 0,
            exits: BTreeMap::new(),
            started_tasks: None,
            failures: BTreeMap::new(),
            limits,
            cancel_timeout_ms,
            specs: HashMap::new(),
            client_views: HashMap::new(),
            done_tasks: HashMap::new(),
            tasks_on_machines: BTreeMap::new(),
            team_usage: HashMap::new(),
        }
    }

    /// Records the violation of a rule.
    pub fn report_violation(&mut self, now: u64, rule: &str, text: String) {
        self.violations.push(format!("{:.3} s {rule}: {text}", now as f64 / 1000.0));
    }

    /// A user has submitted a job.
    pub fn record_submission(&mut self, spec: &JobSpec) {
        self.specs.insert(spec.id.to_string(), spec.clone());
    }

    /// A user has requested the cancellation of a job.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.client_views.entry(job.into()).or_default().cancel_requested = true;
    }

    /// A worker has completed a task.
    pub fn record_task_done(&mut self, job: &str, index: u32) {
        self.done_tasks.entry(job.into()).or_default().insert(index);
    }

    /// A task has ended with an error, caused by the job, by the machine, or by both. An attempt of a gang
    /// counts once.
    pub fn record_error(
        &mut self,
        now: u64,
        task: &PlacedTask,
        attempt: u64,
        is_job_fault: bool,
        is_machine_fault: bool,
    ) {
        let max_retries = self.get_allowed_retries(&task.job);
        let failure_index = self.get_failure_index(&task.job, task.index);
        let failures = self.failures.entry((task.job.clone(), failure_index)).or_default();
        if !is_job_fault {
            return;
        }
        *failures.failed_attempts.entry(attempt).or_default() |= is_machine_fault;
        let counted = failures
            .failed_attempts
            .values()
            .filter(|is_machine_fault| !**is_machine_fault)
            .count();
        if max_retries.is_some_and(|max_retries| counted > max_retries as usize) {
            failures.exhausted_at.get_or_insert(now);
        }
    }

    /// A controller has ordered a worker to forget an ended task, so it has recorded the end. Only recorded
    /// failures are checked here against the allowed retries: a machine that is lost before it reports leaves
    /// failures that no controller can know about.
    pub fn record_forget(&mut self, now: u64, job: &str, index: u32, attempt: u64) {
        let Some(max_retries) = self.get_allowed_retries(job) else { return };
        let Some(failures) =
            self.failures.get_mut(&(job.to_owned(), self.get_failure_index(job, index)))
        else {
            return;
        };
        if failures.failed_attempts.get(&attempt) == Some(&false)
            && failures.recorded.insert(attempt)
            && failures.recorded.len() > max_retries as usize + 1
        {
            let text = format!(
                "{job}/{index} failed {} times, {max_retries} retries allowed",
                failures.recorded.len()
            );
            self.report_violation(now, "repeats", text);
        }
    }

    /// Number of failures caused by the job that controllers are known to have recorded, by job and task.
    pub fn count_recorded_failures(&self) -> impl Iterator<Item = (&str, u32, usize)> {
        self.failures
            .iter()
            .map(|((job, index), failures)| (job.as_str(), *index, failures.recorded.len()))
    }

    /// Index under which failures of a task are counted: its own, or 0 for the tasks of a gang.
    fn get_failure_index(&self, job: &str, index: u32) -> u32 {
        let is_gang = self.specs.get(job).is_some_and(|spec| spec.shape == Shape::Gang);
        if is_gang { 0 } else { index }
    }

    /// An attempt has ended on its machine after running for `ran_ms` milliseconds.
    pub fn record_exit(&mut self, host: &str, key: &AttemptKey, cause: ExitCause, ran_ms: u64) {
        self.exits.insert((host.to_owned(), key.clone()), (cause, ran_ms));
    }

    /// Allowed retries of the tasks of a job; `None` means no limit.
    fn get_allowed_retries(&self, job: &str) -> Option<u32> {
        self.max_retries.get(&self.specs.get(job)?.class).copied()
    }

    /// Whether a task of the job, or the gang, has failed more often than its class allows retries, counting
    /// failures on all machines.
    fn has_exhausted_retries(&self, job: &str) -> bool {
        let Some(max_retries) = self.get_allowed_retries(job) else { return false };
        let indexes = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        self.failures
            .range(indexes)
            .any(|(_, failures)| failures.failed_attempts.len() > max_retries as usize)
    }

    /// A user has seen for the first time that a job has failed.
    fn check_first_failure(&mut self, now: u64, job: &str) {
        let indexes = (job.to_owned(), 0)..=(job.to_owned(), u32::MAX);
        let failures: Vec<TaskFailures> =
            self.failures.range(indexes).map(|(_, failures)| failures.clone()).collect();
        let max_retries = self.get_allowed_retries(job);
        if !self.has_exhausted_retries(job) {
            let text = format!(
                "{job} failed with retries left: {failures:?}, {max_retries:?} retries allowed"
            );
            self.report_violation(now, "repeats", text);
        }
        self.failure_visibility_ms.extend(
            failures.iter().filter_map(|failures| failures.exhausted_at).min().map(|at| now - at),
        );
        if let Some(task) = self.tasks_on_machines.keys().find(|task| task.job == job) {
            let text = format!("{task:?} is on a machine");
            self.report_violation(now, "failed_early", text);
        }
    }

    /// Final status that the user of a job has seen.
    pub fn final_status(&self, job: &str) -> Option<JobStatus> {
        self.client_views.get(job).and_then(|view| view.final_status)
    }

    /// When the user first saw a final status of a job.
    pub fn final_status_at(&self, job: &str) -> Option<u64> {
        self.client_views
            .get(job)
            .filter(|view| view.final_status.is_some())
            .map(|view| view.final_status_at)
    }

    /// Whether a task has completed.
    pub fn is_done(&self, job: &str, index: u32) -> bool {
        self.done_tasks.get(job).is_some_and(|done| done.contains(&index))
    }

    /// How many tasks of a job have completed.
    pub fn count_done_tasks(&self, job: &str) -> u32 {
        self.done_tasks.get(job).map_or(0, |done| done.len() as u32)
    }

    /// Tasks that are on machines now.
    pub fn on_machines(&self) -> impl Iterator<Item = &PlacedTask> {
        self.tasks_on_machines.keys()
    }

    /// Whether all tasks of a job have completed.
    pub fn is_job_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).map_or(0, |spec| spec.tasks as usize);
        self.done_tasks.get(job).map_or(0, |done| done.len()) >= tasks
    }

    /// A task starts on a machine: checks placement, dependencies, final status and quota.
    pub fn record_start(&mut self, now: u64, task: PlacedTask, place: Place) {
        self.start_count += 1;
        let Some(spec) = self.specs.get(&task.job).cloned() else { return };
        let first_key = PlacedTask { job: task.job.clone(), index: 0, host: String::new() };
        let siblings: Vec<(PlacedTask, Place)> = self
            .tasks_on_machines
            .range(first_key..)
            .take_while(|(other, _)| other.job == task.job)
            .map(|(other, other_place)| (other.clone(), other_place.clone()))
            .collect();
        let is_duplicate =
            |other: &&PlacedTask| other.index == task.index && other.host != task.host;
        if let Some(other) = siblings.iter().map(|(other, _)| other).find(is_duplicate) {
            let text = format!("{}/{} on {} and {}", task.job, task.index, other.host, task.host);
            self.report_violation(now, "ran_twice", text);
        }
        let in_zone_count =
            siblings.iter().filter(|(_, other)| other.zone == place.zone).count() as u32 + 1;
        let has_other_zone = siblings.iter().any(|(_, other)| other.zone != place.zone);
        let is_misplaced =
            spec.flavors.as_ref().is_some_and(|flavors| !flavors.contains(&place.flavor))
                || spec.zone.as_ref().is_some_and(|zone| zone.as_str() != place.zone)
                || (place.spot && !spec.spot)
                || (spec.one_zone && has_other_zone)
                || (spec.spread && in_zone_count > spec.tasks.div_ceil(2));
        if is_misplaced {
            let text = format!("{task:?} at {place:?}, {siblings:?}, {spec:?}");
            self.report_violation(now, "wrong_place", text);
        }
        self.check_dependencies_done(now, &spec, &task);
        if self.final_status(&task.job) == Some(JobStatus::Failed) {
            self.report_violation(now, "failed_early", format!("{task:?} starts"));
        }
        let is_late = self
            .client_views
            .get(&task.job)
            .and_then(|view| view.cancelled_at)
            .is_some_and(|at| now > at + self.cancel_timeout_ms);
        if is_late {
            self.report_violation(now, "ran_cancelled", format!("{task:?} starts"));
        }
        if let Some(started_tasks) = &mut self.started_tasks {
            started_tasks.push(task.clone());
        }
        let used = self.team_usage.entry(spec.team.clone()).or_default();
        if self.tasks_on_machines.insert(task, place).is_none() {
            used.iter_mut().zip(get_resource_needs(&spec)).for_each(|(used, need)| *used += need);
        }
        let [cpus, gpus] = *used;
        let limit = self.limits.get(&spec.team).copied().unwrap_or_default();
        for (resource, used, max) in [("cores", cpus, limit.cpus), ("GPUs", gpus, limit.gpus)] {
            if max > 0.0 && used > to_thousandths(max) {
                let text = format!("{} uses {} {resource} of {max}", spec.team, used as f64 / 1e3);
                self.report_violation(now, "quota", text);
            }
        }
    }

    /// A task is no longer on its machine.
    pub fn record_end(&mut self, task: &PlacedTask) {
        if self.tasks_on_machines.remove(task).is_some()
            && let Some(spec) = self.specs.get(&task.job)
            && let Some(used) = self.team_usage.get_mut(&spec.team)
        {
            used.iter_mut().zip(get_resource_needs(spec)).for_each(|(used, need)| *used -= need);
        }
    }

    /// Reports tasks of cancelled jobs that are still on machines after the cancel timeout. To be called
    /// periodically.
    pub fn check_cancelled_jobs(&mut self, now: u64) {
        let overdue: Vec<PlacedTask> = self
            .tasks_on_machines
            .keys()
            .filter(|task| {
                self.client_views
                    .get(&task.job)
                    .and_then(|view| view.cancelled_at)
                    .is_some_and(|at| now > at + self.cancel_timeout_ms)
            })
            .cloned()
            .collect();
        for task in overdue {
            self.report_violation(
                now,
                "ran_cancelled",
                format!("{task:?} is still on its machine"),
            );
            self.record_end(&task);
        }
    }

    /// A controller sends orders: none may start a task of a job whose user has already seen a final status.
    /// Checked when they are sent, so their delay does not matter.
    pub fn check_orders(&mut self, now: u64, orders: &[Order]) {
        for order in orders {
            let Order::Run { task, .. } = order else { continue };
            let job = task.rsplit_once('/').map_or(task.as_str(), |(job, _)| job);
            if let Some(final_status) = self.final_status(job) {
                self.report_violation(
                    now,
                    "ordered",
                    format!("{task} is to run, its user has seen {final_status:?}"),
                );
            }
        }
    }

    /// A user has received the answer to a request sent at `sent_at`. If the request was sent before the user
    /// saw the job accepted, or saw its final status, any node may still answer with the earlier status.
    pub fn handle_answer(
        &mut self,
        now: u64,
        sent_at: u64,
        job: &str,
        status: u16,
        body: &str,
        submission: bool,
    ) {
        let is_known = self.specs.contains_key(job);
        let was_accepted = self
            .client_views
            .get(job)
            .is_some_and(|view| view.accepted && sent_at >= view.accepted_at);
        if was_accepted && (status == 404 || submission && matches!(status, 400 | 422)) {
            self.report_violation(now, "forgotten", format!("{job} got {status}"));
        }
        if status != 200 && status != 201 {
            return;
        }
        if !is_known {
            self.report_violation(now, "invented", job.into());
            return;
        }
        let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let Ok(observed_status) = serde_json::from_value::<JobStatus>(value["status"].clone())
        else {
            self.report_violation(now, "answer", format!("{job}: {body}"));
            return;
        };
        if observed_status == JobStatus::Done && !self.is_job_done(job) {
            self.report_violation(now, "not_done", job.into());
        }
        let may_be_cancelled = self.may_be_cancelled(job);
        let view = self.client_views.entry(job.into()).or_default();
        if !view.accepted {
            (view.accepted, view.accepted_at) = (true, now);
        }
        // Two different final statuses cannot come from reordered answers: one of them was never true.
        let is_contradiction =
            view.final_status.is_some_and(|final_status| final_status != observed_status)
                && (sent_at >= view.final_status_at || observed_status.is_final());
        let is_unexplained_cancellation =
            observed_status == JobStatus::Cancelled && !may_be_cancelled;
        let previous = view.final_status;
        let is_first_final = observed_status.is_final() && view.final_status.is_none();
        let is_first_failure = is_first_final && observed_status == JobStatus::Failed;
        if observed_status.is_final() && view.final_status.is_none() {
            view.final_status = Some(observed_status);
            view.final_status_at = now;
            if observed_status == JobStatus::Cancelled {
                view.cancelled_at = Some(now);
            }
        }
        if is_first_failure {
            self.check_first_failure(now, job);
        }
        if is_first_final {
            self.check_final_statuses(now, job, observed_status);
        }
        if matches!(observed_status, JobStatus::Queued | JobStatus::Running) {
            self.check_not_orphaned(now, sent_at, job);
        }
        if is_contradiction || is_unexplained_cancellation {
            self.report_violation(
                now,
                "went_back",
                format!("{job} was {previous:?}, is {observed_status:?}"),
            );
        }
    }
}
