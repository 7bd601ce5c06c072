//! A machine and its worker, as the protocol describes them. Deterministic: the time comes in.

use crate::checker::{Checker, OnMachine, Place};
use oatloom_protocol::ids::{Attempt, HostId, ReportSeq, Token, WorkerSession, Zone};
use oatloom_protocol::settings::WorkerFacts;
use oatloom_protocol::wire::{
    Command, ExitCause, JobSpec, Order, Report, ReportAnswer, Shape, TaskPhase, TaskReport,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Times of workers, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub report: u64,
    pub lease: u64,
    pub gang_wait: u64,
    pub gang_peer: u64,
}

impl From<&WorkerFacts> for Times {
    fn from(facts: &WorkerFacts) -> Self {
        let ms = |s: f64| (s * 1000.0) as u64;
        Self {
            report: ms(facts.report_s),
            lease: ms(facts.lease_s),
            gang_wait: ms(facts.gang_wait_s),
            gang_peer: ms(facts.gang_peer_s),
        }
    }
}

/// What is kept outside all machines: descriptions that users have uploaded, and saved progress.
#[derive(Debug, Default)]
pub struct Outside {
    pub specs: HashMap<String, JobSpec>,
    /// Progress in milliseconds: of each task of an array, and of a gang as a whole, under its task 0.
    pub saved: HashMap<(String, u32), u64>,
    /// Attempts of gangs that were stopped in order: all tasks were told in time and have saved.
    pub safe: BTreeSet<(String, u64)>,
    /// Whether a task that has completed and is started again ends at once, as the protocol has it.
    pub keeps_results: bool,
    /// Jobs whose tasks fail by their own doing.
    pub broken: HashMap<String, Broken>,
}

/// Which of a job's attempts fail on every machine.
#[derive(Clone, Debug)]
pub enum Broken {
    /// All: it was submitted with a mistake.
    Always,
    /// Those of one task; of a gang, all.
    Task(u32),
    /// This share, drawn for each attempt.
    Often(f64),
}

impl Outside {
    /// Whether an attempt fails by its own doing.
    fn errs(&self, (job, index, attempt): &(String, u32, u64)) -> bool {
        match self.broken.get(job) {
            None => false,
            Some(Broken::Always) => true,
            Some(Broken::Task(task)) => task == index,
            Some(Broken::Often(share)) => {
                let mut hasher = DefaultHasher::new();
                (job, index, attempt).hash(&mut hasher);
                ((hasher.finish() >> 11) as f64 / (1u64 << 53) as f64) < *share
            }
        }
    }

    /// Whose progress a task's is.
    fn slot(spec: &JobSpec, index: u32) -> (String, u32) {
        (spec.id.to_string(), if spec.shape == Shape::Gang { 0 } else { index })
    }

    fn progress(&self, spec: &JobSpec, index: u32) -> u64 {
        self.saved.get(&Self::slot(spec, index)).copied().unwrap_or(0)
    }

    /// Progress is kept; it never goes back.
    fn save(&mut self, spec: &JobSpec, index: u32, progress: u64) {
        let kept = self.saved.entry(Self::slot(spec, index)).or_default();
        *kept = progress.max(*kept);
    }
}

/// What an attempt of a gang looks like over all machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Muster {
    /// Tasks that wait, run or save.
    pub there: u32,
    pub done: u32,
    /// Tasks that save or have saved.
    pub saving: u32,
    /// Tasks that the job has.
    pub size: u32,
}

#[derive(Clone, Debug)]
pub struct Instance {
    pub phase: TaskPhase,
    pub cause: Option<ExitCause>,
    /// End of the fetch, then of the run.
    pub until: u64,
    pub waiting_since: u64,
    /// Since when it runs, and the progress that it began with.
    pub running_since: u64,
    pub base: u64,
    /// Its progress was saved when it was stopped.
    pub stored: bool,
    /// When it stopped running: its end, or the command to save.
    pub ended: Option<u64>,
}

impl Instance {
    /// For how long it has run, in milliseconds.
    pub fn ran(&self, now: u64) -> u64 {
        match self.running_since {
            0 => 0,
            since => self.ended.unwrap_or(now).saturating_sub(since),
        }
    }
}

/// How a machine gets its images.
#[derive(Clone, Debug)]
pub enum Fetch {
    /// In a time drawn between these, in milliseconds, every time.
    Between(u64, u64),
    /// At this many GB a second; what it has fetched it keeps.
    Rate(f64, BTreeMap<String, u64>),
}

pub struct Worker {
    pub host: String,
    /// Where direct commands reach it.
    pub addr: String,
    times: Times,
    pub fetch: Fetch,
    /// Run time over what its owner said.
    pub slowness: f64,
    pub place: Place,
    pub gpus: f64,
    pub up_at: u64,
    pub shift: u64,
    pub tally: u64,
    pub token: u64,
    pub tasks: BTreeMap<(String, u32, u64), Instance>,
    pub lease_from: u64,
    pub node: usize,
    pub next_report: u64,
    /// Report under way: its id and when it was sent.
    pub waiting: Option<(u64, u64)>,
    pub hung_until: u64,
    pub cut_until: u64,
    pub notice_until: Option<u64>,
    /// Every task fails on a faulty machine.
    pub faulty: bool,
    changed: bool,
    last_report: u64,
    /// The last moment that came in.
    clock: u64,
}

impl Worker {
    pub fn new(
        host: String,
        place: Place,
        gpus: f64,
        up_at: u64,
        times: Times,
        fetch: Fetch,
    ) -> Self {
        Self {
            addr: host.clone(),
            host,
            times,
            fetch,
            slowness: 1.0,
            place,
            gpus,
            up_at,
            shift: 1,
            tally: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_from: up_at,
            node: 0,
            next_report: up_at,
            waiting: None,
            hung_until: 0,
            cut_until: 0,
            notice_until: None,
            faulty: false,
            changed: false,
            last_report: 0,
            clock: 0,
        }
    }

    fn on(&self, key: &(String, u32, u64)) -> OnMachine {
        OnMachine { job: key.0.clone(), index: key.1, host: self.host.clone() }
    }

    /// Kills everything, as the cloud or an ended lease does.
    pub fn kill(&mut self, checker: &mut Checker) {
        for key in std::mem::take(&mut self.tasks).into_keys() {
            checker.ended(&self.on(&key));
        }
    }

    fn exit(&mut self, key: &(String, u32, u64), cause: ExitCause, checker: &mut Checker) {
        let on = self.on(key);
        if let Some(task) = self.tasks.get_mut(key) {
            task.phase = TaskPhase::Exited;
            task.cause = Some(cause);
            task.ended = task.ended.or(Some(self.clock));
            checker.exited(&self.host, key, cause, task.ran(self.clock));
            self.changed = true;
            checker.ended(&on);
        }
    }

    /// Without an answer in time, everything is killed and the next session begins.
    pub fn end_lease(&mut self, now: u64, checker: &mut Checker) {
        if now > self.lease_from + self.times.lease {
            self.kill(checker);
            self.shift += 1;
            self.tally = 0;
            self.lease_from = now;
            self.waiting = None;
            self.changed = true;
        }
    }

    /// Lets time pass; `muster` tells of an attempt of a gang on all machines.
    pub fn step(
        &mut self,
        now: u64,
        outside: &mut Outside,
        muster: &dyn Fn(&str, u64) -> Muster,
        checker: &mut Checker,
    ) {
        self.clock = now;
        self.end_lease(now, checker);
        for key in self.tasks.keys().cloned().collect::<Vec<_>>() {
            // A job that nobody described was refused and has only ended tasks here.
            let Some(spec) = outside.specs.get(&key.0).cloned() else { continue };
            let task = self.tasks[&key].clone();
            let gang = spec.shape == Shape::Gang;
            let lost = || {
                let gang = muster(&key.0, key.2);
                gang.there < gang.size && gang.done == 0
            };
            match task.phase {
                TaskPhase::Fetching if now >= task.until => {
                    checker.started(now, self.on(&key), self.place.clone());
                    if outside.keeps_results && checker.is_done(&key.0, key.1) {
                        self.exit(&key, ExitCause::Done, checker);
                    } else if gang {
                        let phase = TaskPhase::Waiting;
                        self.tasks.insert(key, Instance { phase, waiting_since: now, ..task });
                    } else {
                        self.begin(now, key, task, &spec, outside);
                    }
                    self.changed = true;
                }
                TaskPhase::Waiting if muster(&key.0, key.2).there == spec.tasks => {
                    self.begin(now, key, task, &spec, outside);
                    self.changed = true;
                }
                TaskPhase::Waiting if now > task.waiting_since + self.times.gang_wait => {
                    self.exit(&key, ExitCause::Incomplete, checker);
                }
                TaskPhase::Saving if now >= task.until => {
                    self.saved(now, &key, &task, &spec, outside, muster, checker);
                }
                TaskPhase::Running if self.faulty || outside.errs(&key) => {
                    let own = outside.errs(&key);
                    checker.errored(now, &self.on(&key), key.2, own, self.faulty);
                    self.exit(&key, ExitCause::Error, checker);
                }
                TaskPhase::Running if gang && lost() => self.exit(&key, ExitCause::Peers, checker),
                TaskPhase::Running if spec.shape != Shape::Service && now >= task.until => {
                    // The tasks of a gang complete together.
                    let all = 0..spec.tasks;
                    all.filter(|i| gang || *i == key.1).for_each(|i| checker.task_done(&key.0, i));
                    self.exit(&key, ExitCause::Done, checker);
                }
                TaskPhase::Running if spec.checkpoint_s > 0.0 => {
                    let every = (spec.checkpoint_s * 1000.0).max(1.0) as u64;
                    let progress = task.base + (now - task.running_since);
                    outside.save(&spec, key.1, progress / every * every);
                }
                _ => {}
            }
        }
    }

    /// A task begins to run, from the progress that was saved of it.
    fn begin(
        &mut self,
        now: u64,
        key: (String, u32, u64),
        task: Instance,
        spec: &JobSpec,
        outside: &Outside,
    ) {
        let base = outside.progress(spec, key.1);
        let whole = (spec.estimate_s * self.slowness * 1000.0) as u64;
        let (phase, until) = (TaskPhase::Running, now + whole.saturating_sub(base));
        self.tasks.insert(key, Instance { phase, until, running_since: now, base, ..task });
    }

    /// A task that was stopped has had the time to save. A gang's progress is safe only if all were told in time:
    /// until then it waits for the others.
    #[allow(clippy::too_many_arguments)]
    fn saved(
        &mut self,
        now: u64,
        key: &(String, u32, u64),
        task: &Instance,
        spec: &JobSpec,
        outside: &mut Outside,
        muster: &dyn Fn(&str, u64) -> Muster,
        checker: &mut Checker,
    ) {
        let stopped_at = task.until.saturating_sub((spec.save_s * 1000.0) as u64);
        let progress = task.base + stopped_at.saturating_sub(task.running_since);
        if spec.shape == Shape::Gang {
            let attempt = (key.0.clone(), key.2);
            if muster(&key.0, key.2).saving >= spec.tasks {
                outside.safe.insert(attempt.clone());
            }
            if !outside.safe.contains(&attempt) {
                if now > stopped_at + self.times.gang_peer {
                    self.exit(key, ExitCause::Peers, checker);
                }
                return;
            }
        }
        checker.saved += 1;
        outside.save(spec, key.1, progress);
        self.tasks.insert(key.clone(), Instance { stored: true, ..task.clone() });
        self.exit(key, ExitCause::Stopped, checker);
    }

    /// Whether a report is to be sent now.
    pub fn due(&self, now: u64) -> bool {
        let soon = self.changed && now >= self.last_report + 500;
        self.waiting.is_none() && (now >= self.next_report || soon)
    }

    pub fn report(&mut self, now: u64, id: u64, rng: &mut ChaCha8Rng) -> Report {
        self.changed = false;
        self.last_report = now;
        self.waiting = Some((id, now));
        self.next_report =
            now + self.times.report * 3 / 4 + rng.random_range(0..self.times.report / 2);
        self.state(now)
    }

    /// What the worker says of itself, in a report or in answer to a command.
    pub fn state(&mut self, now: u64) -> Report {
        self.tally += 1;
        Report {
            host: HostId::new(&self.host),
            addr: self.addr.clone(),
            flavor: self.place.flavor.clone(),
            zone: Zone::new(&self.place.zone),
            spot: self.place.spot,
            session: WorkerSession(self.shift),
            report_seq: ReportSeq(self.tally),
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
                    ran_ms: Some(task.ran(now)),
                })
                .collect(),
        }
    }

    /// The next node is tried a second later.
    pub fn turn_away(&mut self, now: u64, to: usize) {
        self.waiting = None;
        self.node = to;
        self.next_report = now + 1_000;
    }

    /// Takes a 200 for the report sent at `sent`.
    pub fn obey(
        &mut self,
        now: u64,
        sent: u64,
        answer: &ReportAnswer,
        outside: &Outside,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
    ) {
        self.waiting = None;
        if answer.token.0 < self.token {
            return;
        }
        self.changed |= answer.token.0 > self.token;
        self.token = answer.token.0;
        self.lease_from = self.lease_from.max(sent);
        self.execute(now, &answer.orders, outside, rng, checker);
    }

    /// Takes a direct command, executed if token and session match.
    pub fn command(
        &mut self,
        now: u64,
        command: &Command,
        outside: &Outside,
        rng: &mut ChaCha8Rng,
        checker: &mut Checker,
    ) -> Report {
        if command.token.0 >= self.token && command.session.0 == self.shift {
            self.changed |= command.token.0 > self.token;
            self.token = command.token.0;
            let start = command.orders.iter().any(|order| matches!(order, Order::Run { .. }));
            if start {
                checker.fail(
                    now,
                    "direct",
                    format!("{}: a start command was sent directly", self.host),
                );
            }
            self.execute(now, &command.orders, outside, rng, checker);
        }
        self.state(now)
    }

    fn execute(
        &mut self,
        now: u64,
        orders: &[Order],
        outside: &Outside,
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
                Order::Run { .. } => self.run(now, key, outside, rng),
                Order::Stop { grace_s, .. } => {
                    let Some(spec) = outside.specs.get(&key.0) else { continue };
                    let saves = spec.checkpoint_s > 0.0 && *grace_s >= spec.save_s;
                    match self.tasks.get_mut(&key) {
                        Some(task) if task.phase == TaskPhase::Running && saves => {
                            task.phase = TaskPhase::Saving;
                            task.until = now + (spec.save_s * 1000.0) as u64;
                            task.ended = Some(now);
                            self.changed = true;
                        }
                        Some(task) if task.phase == TaskPhase::Saving && saves => {}
                        Some(task) if task.phase != TaskPhase::Exited => {
                            self.exit(&key, ExitCause::Stopped, checker);
                        }
                        _ => {}
                    }
                }
                Order::Forget { .. } => {
                    if self.tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                        checker.forgotten(now, &key.0, key.1, key.2);
                    }
                }
            }
        }
    }

    fn run(&mut self, now: u64, key: (String, u32, u64), outside: &Outside, rng: &mut ChaCha8Rng) {
        if self.tasks.contains_key(&key) {
            return;
        }
        let active = || self.tasks.iter().filter(|(_, t)| t.phase != TaskPhase::Exited);
        let used: f64 =
            active().filter_map(|((job, ..), _)| Some(outside.specs.get(job)?.gpus)).sum();
        let spec = outside.specs.get(&key.0);
        let cause = match spec {
            None => Some(ExitCause::Unknown),
            Some(_) if active().any(|((j, i, _), _)| *j == key.0 && *i == key.1) => {
                Some(ExitCause::Busy)
            }
            Some(spec) if used + spec.gpus > self.gpus + 1e-9 => Some(ExitCause::NoRoom),
            Some(_) => None,
        };
        let phase = if cause.is_some() { TaskPhase::Exited } else { TaskPhase::Fetching };
        let until = spec.map_or(now, |spec| self.fetched_at(now, spec, rng));
        let (waiting_since, running_since, base, stored) = (0, 0, 0, false);
        let task = Instance {
            phase,
            cause,
            until,
            waiting_since,
            running_since,
            base,
            stored,
            ended: None,
        };
        self.tasks.insert(key, task);
        self.changed = true;
    }

    /// When the machine has the job's image.
    fn fetched_at(&mut self, now: u64, spec: &JobSpec, rng: &mut ChaCha8Rng) -> u64 {
        match &mut self.fetch {
            Fetch::Between(least, most) => now + rng.random_range(*least..*most),
            Fetch::Rate(rate, images) => {
                let span = (spec.image_gb / rate.max(0.001) * 1000.0) as u64;
                (*images.entry(spec.image.clone()).or_insert(now + span)).max(now)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    const TIMES: Times = Times { report: 1_000, lease: 60_000, gang_wait: 9_000, gang_peer: 2_000 };

    fn gang(outside: &mut Outside) -> String {
        let text = r#"{"nameId":"req-1","jobclass":"c","owner":"red","shape":"group","rank":"low","shards":2,
            "cpus":1,"gpus":1,"memoryGb":1,"bundle":"i","pullGb":1,"samePlace":false,"spread":false,
            "loaners":false,"expectS":30,"snapshotS":4,"flushS":1}"#;
        let spec: JobSpec = serde_json::from_str(text).unwrap();
        let id = spec.id.to_string();
        outside.specs.insert(id.clone(), spec);
        id
    }

    /// Two tasks of a gang on one machine; those named are told to stop after ten seconds. Returns what the
    /// tasks ended with, and the progress that is kept.
    fn stop(told: &[u32]) -> (Vec<(Option<ExitCause>, bool)>, u64) {
        let (mut outside, mut rng) = (Outside::default(), ChaCha8Rng::seed_from_u64(1));
        let id = gang(&mut outside);
        let mut checker = Checker::new(HashMap::new(), 60_000);
        let place = Place { flavor: "g".into(), zone: "a".into(), spot: false };
        let mut worker = Worker::new("i-1".into(), place, 4.0, 0, TIMES, Fetch::Between(10, 11));
        let task = |index: u32| format!("{id}/{index}");
        let run = |index| Order::Run { task: task(index), attempt: Attempt(1) };
        worker.execute(0, &[run(0), run(1)], &outside, &mut rng, &mut checker);
        for now in (0..20_000).step_by(50) {
            if now == 10_000 {
                let stop =
                    |i: &u32| Order::Stop { task: task(*i), attempt: Attempt(1), grace_s: 5.0 };
                let orders: Vec<Order> = told.iter().map(stop).collect();
                worker.execute(now, &orders, &outside, &mut rng, &mut checker);
            }
            let mut seen = Muster { size: 2, ..Muster::default() };
            for task in worker.tasks.values() {
                let saves = task.phase == TaskPhase::Saving;
                let runs = matches!(task.phase, TaskPhase::Waiting | TaskPhase::Running);
                seen.there += u32::from(saves || runs);
                seen.saving += u32::from(saves || task.stored);
            }
            worker.step(now, &mut outside, &|_, _| seen, &mut checker);
        }
        let ends = worker.tasks.values().map(|t| (t.cause, t.stored)).collect();
        (ends, outside.saved.get(&(id, 0)).copied().unwrap_or(0))
    }

    /// A gang whose tasks are all told keeps its progress; one of which a task is not told falls back to its
    /// last checkpoint, and nobody says that anything was stored.
    #[test]
    fn a_gang_is_stopped_in_order_or_falls_back() {
        let (ends, kept) = stop(&[0, 1]);
        assert_eq!(ends, [(Some(ExitCause::Stopped), true); 2]);
        assert!((9_800..=10_000).contains(&kept), "{kept}");
        let (ends, kept) = stop(&[0]);
        assert!(ends.iter().all(|(_, stored)| !stored), "{ends:?}");
        assert_eq!(ends[0].0, Some(ExitCause::Peers));
        assert!(kept % 4_000 == 0 && kept >= 8_000, "{kept}");
    }
}
