//! A machine and its worker, as the protocol describes them. Deterministic: the caller passes in the time.

use crate::checker::{Checker, Place, PlacedTask};
use oatloom_protocol::ids::{Attempt, HostId, ReportSeq, Token, WorkerSession, Zone};
use oatloom_protocol::settings::WorkerFacts;
use oatloom_protocol::wire::{
    Command, ExitCause, JobSpec, Order, Report, ReportAnswer, Shape, TaskPhase, TaskReport,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Intervals and timeouts of workers, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkerTimes {
    /// Average interval between two reports.
    pub report_interval_ms: u64,
    /// A worker kills all its tasks when no report sent within this time has been answered.
    pub lease_ms: u64,
    /// A gang's task that has waited this long for the other tasks to fetch their images exits.
    pub gang_wait_ms: u64,
    /// A stopped gang's task that has waited this long for the other tasks to be stopped exits.
    pub gang_peer_ms: u64,
}

impl From<&WorkerFacts> for WorkerTimes {
    fn from(facts: &WorkerFacts) -> Self {
        let to_ms = |s: f64| (s * 1000.0) as u64;
        Self {
            report_interval_ms: to_ms(facts.report_s),
            lease_ms: to_ms(facts.lease_s),
            gang_wait_ms: to_ms(facts.gang_wait_s),
            gang_peer_ms: to_ms(facts.gang_peer_s),
        }
    }
}

/// State stored outside the machines: uploaded job descriptions and saved progress.
#[derive(Debug, Default)]
pub struct ExternalState {
    /// Descriptions of jobs, by job ID.
    pub specs: HashMap<String, JobSpec>,
    /// Saved progress in milliseconds, by job and task; a gang has one entry, under its task 0.
    pub saved: HashMap<(String, u32), u64>,
    /// Attempts of gangs whose checkpoint is complete: all tasks were stopped in time and have saved.
    pub complete_checkpoints: BTreeSet<(String, u64)>,
    /// Whether a completed task that is started again ends at once, as the protocol specifies.
    pub has_stored_results: bool,
    /// Jobs whose tasks fail through a fault of the job itself.
    pub failing_jobs: HashMap<String, JobFailures>,
}

/// Which attempts of a job fail on every machine.
#[derive(Clone, Debug)]
pub enum JobFailures {
    /// All attempts: the job itself is faulty.
    Always,
    /// The attempts of the task with this index; the other tasks of a gang then exit as well.
    Task(u32),
    /// This share of the attempts, decided by a hash of job, task and attempt.
    Share(f64),
}

impl ExternalState {
    /// Whether an attempt fails through a fault of the job.
    fn is_failing_attempt(&self, (job, index, attempt): &(String, u32, u64)) -> bool {
        match self.failing_jobs.get(job) {
            None => false,
            Some(JobFailures::Always) => true,
            Some(JobFailures::Task(task)) => task == index,
            Some(JobFailures::Share(share)) => {
                let mut hasher = DefaultHasher::new();
                (job, index, attempt).hash(&mut hasher);
                ((hasher.finish() >> 11) as f64 / (1u64 << 53) as f64) < *share
            }
        }
    }

    /// The key of a task's progress in `saved`.
    fn get_progress_key(spec: &JobSpec, index: u32) -> (String, u32) {
        (spec.id.to_string(), if spec.shape == Shape::Gang { 0 } else { index })
    }

    /// Saved progress of a task, in milliseconds.
    fn get_progress(&self, spec: &JobSpec, index: u32) -> u64 {
        self.saved.get(&Self::get_progress_key(spec, index)).copied().unwrap_or(0)
    }

    /// Saves progress; it never decreases.
    fn save(&mut self, spec: &JobSpec, index: u32, progress: u64) {
        let saved = self.saved.entry(Self::get_progress_key(spec, index)).or_default();
        *saved = progress.max(*saved);
    }
}

/// Number of tasks of an attempt in each state, over all machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct GangState {
    /// Tasks that are waiting, running or saving.
    pub active: u32,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that are saving or have saved.
    pub saving: u32,
    /// Number of tasks of the job.
    pub task_count: u32,
}

/// An attempt of a task on a machine.
#[derive(Clone, Debug)]
pub struct TaskAttempt {
    /// Phase that reports show.
    pub phase: TaskPhase,
    /// Why it exited; `None` before that.
    pub cause: Option<ExitCause>,
    /// End of the current phase: of the image fetch, of the run, or of saving.
    pub until: u64,
    /// When it began to wait for the other tasks of its gang.
    pub waiting_since: u64,
    /// Start of the run, and the saved progress with which it started.
    pub running_since: u64,
    pub base_progress_ms: u64,
    /// Whether its progress was saved when it was stopped.
    pub stored: bool,
    /// When it stopped running: when it exited, or was ordered to stop and began to save.
    pub stopped_at: Option<u64>,
}

impl TaskAttempt {
    /// Run time so far, in milliseconds.
    pub fn run_time_ms(&self, now: u64) -> u64 {
        match self.running_since {
            0 => 0,
            since => self.stopped_at.unwrap_or(now).saturating_sub(since),
        }
    }
}

/// How long a machine takes to fetch images.
#[derive(Clone, Debug)]
pub enum ImageFetch {
    /// A random time in this range, in milliseconds, for each task.
    Range(u64, u64),
    /// This rate in GB/s; a fetched image stays on the machine. The map has the time at which each image is
    /// fetched.
    Rate(f64, BTreeMap<String, u64>),
}

/// A rented machine with its worker.
pub struct Worker {
    pub host: String,
    /// Address for direct commands.
    pub addr: String,
    times: WorkerTimes,
    /// How long it takes to fetch images.
    pub fetch: ImageFetch,
    /// Factor on the run time that the job's owner estimated.
    pub run_time_factor: f64,
    pub place: Place,
    /// Number of GPUs.
    pub gpus: f64,
    /// When the machine has booted.
    pub up_at: u64,
    /// Number of the worker session.
    pub session: u64,
    /// Sequence number of the last report in this session.
    pub report_seq: u64,
    /// Highest fencing token received.
    pub token: u64,
    /// Attempts, by job, task and attempt.
    pub tasks: BTreeMap<(String, u32, u64), TaskAttempt>,
    /// Start of the current lease: when the last answered report was sent.
    pub lease_from: u64,
    /// Index of the controller node that it reports to.
    pub node: usize,
    /// When the next periodic report is due.
    pub next_report: u64,
    /// Report without an answer yet: its id and when it was sent.
    pub pending_report: Option<(u64, u64)>,
    /// The machine does nothing until then.
    pub hung_until: u64,
    /// The machine reaches no controller until then.
    pub partitioned_until: u64,
    /// When the cloud takes back the machine, after a preemption notice.
    pub notice_until: Option<u64>,
    /// Whether the machine is faulty: every task fails on it.
    pub faulty: bool,
    /// Whether the state has changed since the last report.
    changed: bool,
    last_report_at: u64,
    /// Time of the last step or execution of orders.
    clock: u64,
}

impl Worker {
    /// Creates a machine that has booted at `up_at`, without tasks.
    pub fn new(
        host: String,
        place: Place,
        gpus: f64,
        up_at: u64,
        times: WorkerTimes,
        fetch: ImageFetch,
    ) -> Self {
        Self {
            addr: host.clone(),
            host,
            times,
            fetch,
            run_time_factor: 1.0,
            place,
            gpus,
            up_at,
            session: 1,
            report_seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_from: up_at,
            node: 0,
            next_report: up_at,
            pending_report: None,
            hung_until: 0,
            partitioned_until: 0,
            notice_until: None,
            faulty: false,
            changed: false,
            last_report_at: 0,
            clock: 0,
        }
    }

    fn to_placed_task(&self, key: &(String, u32, u64)) -> PlacedTask {
        PlacedTask { job: key.0.clone(), index: key.1, host: self.host.clone() }
    }

    /// Kills all tasks, as when the cloud takes back the machine or the lease expires.
    pub fn kill(&mut self, checker: &mut Checker) {
        for key in std::mem::take(&mut self.tasks).into_keys() {
            checker.record_end(&self.to_placed_task(&key));
        }
    }

    /// Ends an attempt; it stays in the reports until a controller orders the worker to forget it.
    fn exit(&mut self, key: &(String, u32, u64), cause: ExitCause, checker: &mut Checker) {
        let placed_task = self.to_placed_task(key);
        if let Some(task) = self.tasks.get_mut(key) {
            task.phase = TaskPhase::Exited;
            task.cause = Some(cause);
            task.stopped_at = task.stopped_at.or(Some(self.clock));
            checker.record_exit(&self.host, key, cause, task.run_time_ms(self.clock));
            self.changed = true;
            checker.record_end(&placed_task);
        }
    }

    /// If the lease has expired without an answer, kills all tasks and starts the next session.
    pub fn expire_lease(&mut self, now: u64, checker: &mut Checker) {
        if now > self.lease_from + self.times.lease_ms {
            self.kill(checker);
            self.session += 1;
            self.report_seq = 0;
            self.lease_from = now;
            self.pending_report = None;
            self.changed = true;
        }
    }

    /// Advances the machine to `now`; `get_gang_state` returns the state of an attempt of a gang over all
    /// machines.
    pub fn step(
        &mut self,
        now: u64,
        external: &mut ExternalState,
        get_gang_state: &dyn Fn(&str, u64) -> GangState,
        checker: &mut Checker,
    ) {
        self.clock = now;
        self.expire_lease(now, checker);
        for key in self.tasks.keys().cloned().collect::<Vec<_>>() {
            // A job without a description was rejected and has only exited tasks here.
            let Some(spec) = external.specs.get(&key.0).cloned() else { continue };
            let task = self.tasks[&key].clone();
            let is_gang = spec.shape == Shape::Gang;
            let has_lost_peer = || {
                let gang = get_gang_state(&key.0, key.2);
                gang.active < gang.task_count && gang.done == 0
            };
            match task.phase {
                TaskPhase::Fetching if now >= task.until => {
                    checker.record_start(now, self.to_placed_task(&key), self.place.clone());
                    if external.has_stored_results && checker.is_done(&key.0, key.1) {
                        self.exit(&key, ExitCause::Done, checker);
                    } else if is_gang {
                        let phase = TaskPhase::Waiting;
                        self.tasks.insert(key, TaskAttempt { phase, waiting_since: now, ..task });
                    } else {
                        self.begin(now, key, task, &spec, external);
                    }
                    self.changed = true;
                }
                TaskPhase::Waiting if get_gang_state(&key.0, key.2).active == spec.tasks => {
                    self.begin(now, key, task, &spec, external);
                    self.changed = true;
                }
                TaskPhase::Waiting if now > task.waiting_since + self.times.gang_wait_ms => {
                    self.exit(&key, ExitCause::Incomplete, checker);
                }
                TaskPhase::Saving if now >= task.until => {
                    self.finish_saving(now, &key, &task, &spec, external, get_gang_state, checker);
                }
                TaskPhase::Running if self.faulty || external.is_failing_attempt(&key) => {
                    let is_job_fault = external.is_failing_attempt(&key);
                    checker.record_error(
                        now,
                        &self.to_placed_task(&key),
                        key.2,
                        is_job_fault,
                        self.faulty,
                    );
                    self.exit(&key, ExitCause::Error, checker);
                }
                TaskPhase::Running if is_gang && has_lost_peer() => {
                    self.exit(&key, ExitCause::Peers, checker)
                }
                TaskPhase::Running if spec.shape != Shape::Service && now >= task.until => {
                    // The tasks of a gang complete together.
                    let indexes = 0..spec.tasks;
                    indexes
                        .filter(|i| is_gang || *i == key.1)
                        .for_each(|i| checker.record_task_done(&key.0, i));
                    self.exit(&key, ExitCause::Done, checker);
                }
                TaskPhase::Running if spec.checkpoint_s > 0.0 => {
                    let interval_ms = (spec.checkpoint_s * 1000.0).max(1.0) as u64;
                    let progress = task.base_progress_ms + (now - task.running_since);
                    external.save(&spec, key.1, progress / interval_ms * interval_ms);
                }
                _ => {}
            }
        }
    }

    /// Starts running a task from its saved progress.
    fn begin(
        &mut self,
        now: u64,
        key: (String, u32, u64),
        task: TaskAttempt,
        spec: &JobSpec,
        external: &ExternalState,
    ) {
        let base = external.get_progress(spec, key.1);
        let run_time_ms = (spec.estimate_s * self.run_time_factor * 1000.0) as u64;
        let (phase, until) =
            (TaskPhase::Running, now.saturating_add(run_time_ms.saturating_sub(base)));
        self.tasks.insert(
            key,
            TaskAttempt { phase, until, running_since: now, base_progress_ms: base, ..task },
        );
    }

    /// Completes the saving of a stopped task. A gang's progress counts only if all its tasks were stopped in
    /// time; until then the task waits for the others.
    #[allow(clippy::too_many_arguments)]
    fn finish_saving(
        &mut self,
        now: u64,
        key: &(String, u32, u64),
        task: &TaskAttempt,
        spec: &JobSpec,
        external: &mut ExternalState,
        get_gang_state: &dyn Fn(&str, u64) -> GangState,
        checker: &mut Checker,
    ) {
        let stopped_at = task.until.saturating_sub((spec.save_s * 1000.0) as u64);
        let progress = task.base_progress_ms + stopped_at.saturating_sub(task.running_since);
        if spec.shape == Shape::Gang {
            let attempt = (key.0.clone(), key.2);
            if get_gang_state(&key.0, key.2).saving >= spec.tasks {
                external.complete_checkpoints.insert(attempt.clone());
            }
            if !external.complete_checkpoints.contains(&attempt) {
                if now > stopped_at + self.times.gang_peer_ms {
                    self.exit(key, ExitCause::Peers, checker);
                }
                return;
            }
        }
        checker.saved_count += 1;
        external.save(spec, key.1, progress);
        self.tasks.insert(key.clone(), TaskAttempt { stored: true, ..task.clone() });
        self.exit(key, ExitCause::Stopped, checker);
    }

    /// Whether a report has to be sent now.
    pub fn is_report_due(&self, now: u64) -> bool {
        let is_change_due = self.changed && now >= self.last_report_at + 500;
        self.pending_report.is_none() && (now >= self.next_report || is_change_due)
    }

    /// Returns the report to send now and schedules the next one.
    pub fn begin_report(&mut self, now: u64, id: u64, rng: &mut ChaCha8Rng) -> Report {
        self.changed = false;
        self.last_report_at = now;
        self.pending_report = Some((id, now));
        self.next_report = now
            + self.times.report_interval_ms * 3 / 4
            + rng.random_range(0..self.times.report_interval_ms / 2);
        self.build_report(now)
    }

    /// State of the worker, for a report or the answer to a command. Increments the report sequence number.
    pub fn build_report(&mut self, now: u64) -> Report {
        self.report_seq += 1;
        Report {
            host: HostId::new(&self.host),
            addr: self.addr.clone(),
            flavor: self.place.flavor.clone(),
            zone: Zone::new(&self.place.zone),
            spot: self.place.spot,
            session: WorkerSession(self.session),
            report_seq: ReportSeq(self.report_seq),
            token: Token(self.token),
            notice_s: self.notice_until.map(|t| t.saturating_sub(now) as f64 / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|((job, index, attempt), task)| TaskReport {
                    task: format!("{job}/{index}"),
                    attempt: Attempt(*attempt),
                    status: task.phase,
                    cause: task.cause,
                    stored: task.stored,
                    ran_ms: Some(task.run_time_ms(now)),
                })
                .collect(),
        }
    }

    /// Switches to node `node` and schedules the next report a second later.
    pub fn switch_node(&mut self, now: u64, node: usize) {
        self.pending_report = None;
        self.node = node;
        self.next_report = now + 1_000;
    }

    /// Handles a 200 answer to the report sent at `sent_at`.
    pub fn handle_answer(
        &mut self,
        now: u64,
        sent_at: u64,
        answer: &ReportAnswer,
        external: &ExternalState,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
    ) {
        self.pending_report = None;
        if answer.token.0 < self.token {
            return;
        }
        self.changed |= answer.token.0 > self.token;
        self.token = answer.token.0;
        self.lease_from = self.lease_from.max(sent_at);
        self.execute(now, &answer.orders, external, rng, checker);
    }

    /// Handles a direct command: executes it if the token is not older than the known one and the session
    /// matches.
    pub fn handle_command(
        &mut self,
        now: u64,
        command: &Command,
        external: &ExternalState,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
    ) -> Report {
        if command.token.0 >= self.token && command.session.0 == self.session {
            self.changed |= command.token.0 > self.token;
            self.token = command.token.0;
            let starts_task = command.orders.iter().any(|order| matches!(order, Order::Run { .. }));
            if starts_task {
                checker.report_violation(
                    now,
                    "direct",
                    format!("{}: an order to start a task was sent directly", self.host),
                );
            }
            self.execute(now, &command.orders, external, rng, checker);
        }
        self.build_report(now)
    }

    /// Executes the orders of a controller. Each may arrive more than once, so those that no longer change
    /// anything are ignored. A task that is stopped saves its progress first if the grace period suffices.
    fn execute(
        &mut self,
        now: u64,
        orders: &[Order],
        external: &ExternalState,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
    ) {
        self.clock = now;
        for order in orders {
            let (Order::Run { task, attempt }
            | Order::Stop { task, attempt, .. }
            | Order::Forget { task, attempt }) = order;
            let Some((job, Ok(index))) = task.rsplit_once('/').map(|(j, i)| (j, i.parse())) else {
                continue;
            };
            let key = (job.to_owned(), index, attempt.0);
            match order {
                Order::Run { .. } => self.run(now, key, external, rng),
                Order::Stop { grace_s, .. } => {
                    let Some(spec) = external.specs.get(&key.0) else { continue };
                    let can_save = spec.checkpoint_s > 0.0 && *grace_s >= spec.save_s;
                    match self.tasks.get_mut(&key) {
                        Some(task) if task.phase == TaskPhase::Running && can_save => {
                            task.phase = TaskPhase::Saving;
                            task.until = now.saturating_add((spec.save_s * 1000.0) as u64);
                            task.stopped_at = Some(now);
                            self.changed = true;
                        }
                        Some(task) if task.phase == TaskPhase::Saving && can_save => {}
                        Some(task) if task.phase != TaskPhase::Exited => {
                            self.exit(&key, ExitCause::Stopped, checker);
                        }
                        _ => {}
                    }
                }
                Order::Forget { .. } => {
                    if self.tasks.get(&key).is_some_and(|task| task.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                        checker.record_forget(now, &key.0, key.1, key.2);
                    }
                }
            }
        }
    }

    /// Starts an attempt by fetching its image. It exits at once if the job is unknown, if another attempt of the
    /// task is on the machine, or if there are too few free GPUs.
    fn run(
        &mut self,
        now: u64,
        key: (String, u32, u64),
        external: &ExternalState,
        rng: &mut ChaCha8Rng,
    ) {
        if self.tasks.contains_key(&key) {
            return;
        }
        let list_active = || self.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited);
        let gpus_used: f64 =
            list_active().filter_map(|((job, ..), _)| Some(external.specs.get(job)?.gpus)).sum();
        let spec = external.specs.get(&key.0);
        let cause = match spec {
            None => Some(ExitCause::Unknown),
            Some(_) if list_active().any(|((j, i, _), _)| *j == key.0 && *i == key.1) => {
                Some(ExitCause::Busy)
            }
            Some(spec) if gpus_used + spec.gpus > self.gpus + 1e-9 => Some(ExitCause::NoRoom),
            Some(_) => None,
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        let until = spec.map_or(now, |spec| self.compute_fetch_end(now, spec, rng));
        let (waiting_since, running_since, base, stored) = (0, 0, 0, false);
        let task = TaskAttempt {
            phase,
            cause,
            until,
            waiting_since,
            running_since,
            base_progress_ms: base,
            stored,
            stopped_at: None,
        };
        self.tasks.insert(key, task);
        self.changed = true;
    }

    /// When the machine will have fetched the job's image.
    fn compute_fetch_end(&mut self, now: u64, spec: &JobSpec, rng: &mut ChaCha8Rng) -> u64 {
        match &mut self.fetch {
            ImageFetch::Range(min, max) => now + rng.random_range(*min..*max),
            ImageFetch::Rate(rate, fetched_at) => {
                let duration_ms = (spec.image_gb / rate.max(0.001) * 1000.0) as u64;
                (*fetched_at.entry(spec.image.clone()).or_insert(now.saturating_add(duration_ms)))
                    .max(now)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    const TIMES: WorkerTimes = WorkerTimes {
        report_interval_ms: 1_000,
        lease_ms: 60_000,
        gang_wait_ms: 9_000,
        gang_peer_ms: 2_000,
    };

    fn submit_gang(external: &mut ExternalState) -> String {
        let json = r#"{"nameId":"req-1","jobclass":"c","owner":"red","shape":"group","rank":"low","shards":2,
            "cpus":1,"gpus":1,"memoryGb":1,"bundle":"i","pullGb":1,"samePlace":false,"spread":false,
            "loaners":false,"expectS":30,"snapshotS":4,"flushS":1}"#;
        let spec: JobSpec = serde_json::from_str(json).unwrap();
        let id = spec.id.to_string();
        external.specs.insert(id.clone(), spec);
        id
    }

    /// Runs the two tasks of a gang on one machine and orders those in `stopped` to stop after ten seconds.
    /// Returns the cause of exit of each task and whether it stored its progress, and the saved progress.
    fn stop_tasks(stopped: &[u32]) -> (Vec<(Option<ExitCause>, bool)>, u64) {
        let (mut external, mut rng) = (ExternalState::default(), ChaCha8Rng::seed_from_u64(1));
        let id = submit_gang(&mut external);
        let mut checker = Checker::new(HashMap::new(), 60_000);
        let place = Place { flavor: "g".into(), zone: "a".into(), spot: false };
        let mut worker = Worker::new("i-1".into(), place, 4.0, 0, TIMES, ImageFetch::Range(10, 11));
        let format_task = |index: u32| format!("{id}/{index}");
        let run = |index| Order::Run { task: format_task(index), attempt: Attempt(1) };
        worker.execute(0, &[run(0), run(1)], &external, &mut rng, &mut checker);
        for now in (0..20_000).step_by(50) {
            if now == 10_000 {
                let stop = |i: &u32| Order::Stop {
                    task: format_task(*i),
                    attempt: Attempt(1),
                    grace_s: 5.0,
                };
                let orders: Vec<Order> = stopped.iter().map(stop).collect();
                worker.execute(now, &orders, &external, &mut rng, &mut checker);
            }
            let mut gang_state = GangState { task_count: 2, ..GangState::default() };
            for task in worker.tasks.values() {
                let is_saving = task.phase == TaskPhase::Saving;
                let is_running = matches!(task.phase, TaskPhase::Waiting | TaskPhase::Running);
                gang_state.active += u32::from(is_saving || is_running);
                gang_state.saving += u32::from(is_saving || task.stored);
            }
            worker.step(now, &mut external, &|_, _| gang_state, &mut checker);
        }
        let ends = worker.tasks.values().map(|t| (t.cause, t.stored)).collect();
        (ends, external.saved.get(&(id, 0)).copied().unwrap_or(0))
    }

    /// If all tasks of a gang are ordered to stop, its progress is saved. If one of them is not, the gang
    /// falls back to its last periodic checkpoint, and no task reports its progress as stored.
    #[test]
    fn gang_progress_is_saved_only_if_all_tasks_are_stopped() {
        let (ends, saved) = stop_tasks(&[0, 1]);
        assert_eq!(ends, [(Some(ExitCause::Stopped), true); 2]);
        assert!((9_800..=10_000).contains(&saved), "{saved}");
        let (ends, saved) = stop_tasks(&[0]);
        assert!(ends.iter().all(|(_, stored)| !stored), "{ends:?}");
        assert_eq!(ends[0].0, Some(ExitCause::Peers));
        assert!(saved % 4_000 == 0 && saved >= 8_000, "{saved}");
    }
}
