//! What a leader does while it leads: compares reports with the book, places tasks, scales.
//! Holds no sockets and no leadership of its own; [`crate::controller`] calls it only while the
//! token is valid.

use crate::cloud::{CloudDesk, Kind};
use crate::constants::*;
use crate::jobs::*;
use crate::mesh::Notes;
use crate::placement::{self, Inputs, Plan};
use crate::scaling::{self, Bounds, Claim, Demand};
use crate::settings::{Objective, Operators, Settings};
use crate::types::*;
use crate::wire::{
    Cause, Command, JobSpec, JobStatus, Listed, MachineStatus, Order, Report, ReportAnswer, Shape,
    TaskPhase,
};
use crate::workers::{Fleet, Freshness, Image, Life, Machine, Room};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;
use std::sync::Arc;

/// Where a new leader stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    LoadingLive,
    LoadingAssigned,
    Ruling,
}

/// By how much the owners of a class misjudge their tasks' run times.
#[derive(Clone, Copy, Debug)]
struct ClassBias {
    /// Actual over estimated time, a running mean.
    mean: f64,
    /// The longest lately; an array is done when its longest task is.
    longest: f64,
}

impl Default for ClassBias {
    fn default() -> Self {
        Self::new(1.0)
    }
}

impl ClassBias {
    fn new(mean: f64) -> Self {
        Self { mean, longest: mean }
    }

    fn saw(&mut self, ratio: f64) {
        let ratio = ratio.clamp(0.1, 10.0);
        self.mean += BIAS_GAIN * (ratio - self.mean);
        self.longest = (self.longest * LONGEST_KEPT).max(ratio);
    }
}

#[derive(Debug)]
pub struct Reign {
    pub token: Token,
    pub since: Mono,
    /// Start of leading, or the latest moment at which validity came back after a lapse; silence
    /// counts from here at the earliest.
    pub heard_from: Mono,
    pub stage: Stage,
    pub book: Book,
    pub fleet: Fleet,
    attempts: u64,
    planned: f64,
    paced: HashMap<JobId, u32>,
    shown: HashMap<String, ClassBias>,
    /// Images that an earlier leader knew to be on machines that have not reported yet.
    recalled: HashMap<HostId, Vec<Image>>,
    /// The last machine whose images the peers were told of.
    noted: HostId,
    last_move: Mono,
    expected: Vec<(Job, u32)>,
    /// Stops that do not wait for their machine's next report.
    hasty: BTreeMap<HostId, Vec<Order>>,
    place_dirty: bool,
    /// When the next placement pass may be: the last one's cost decides.
    next_place: Mono,
    next_tick: Mono,
}

impl Reign {
    pub fn new(token: Token, now: Mono, mut fleet: Fleet) -> Self {
        fleet.machines.clear();
        fleet.gone.clear();
        Self {
            token,
            since: now,
            heard_from: now,
            stage: Stage::LoadingLive,
            book: Book::default(),
            fleet,
            attempts: 0,
            planned: 0.0,
            paced: HashMap::new(),
            shown: HashMap::new(),
            recalled: HashMap::new(),
            noted: HostId::new(""),
            last_move: Mono(0),
            expected: Vec::new(),
            hasty: BTreeMap::new(),
            place_dirty: true,
            next_place: Mono(0),
            next_tick: now,
        }
    }

    /// The one place where the stage changes.
    pub fn enter(&mut self, stage: Stage) {
        log::info!(
            "reign {}: {:?} -> {:?}, {} jobs",
            self.token,
            self.stage,
            stage,
            self.book.jobs.len()
        );
        self.stage = stage;
        self.place_dirty = true;
        if stage == Stage::Ruling {
            // Guards against a leader that ended between writing the last task and the job's end.
            let complete =
                |(_, j): &(&JobId, &Job)| j.state == JobState::Open && j.done == j.spec.tasks;
            let ids: Vec<JobId> =
                self.book.jobs.iter().filter(complete).map(|(id, _)| id.clone()).collect();
            for id in ids {
                self.book.end(&id, JobStatus::Done, "all tasks were done");
            }
        }
    }

    /// What the next leader would have to learn anew: the images of the next few machines, and
    /// all the rest.
    pub fn notes(&mut self, now: Mono) -> Notes {
        let after = (Bound::Excluded(self.noted.clone()), Bound::Unbounded);
        let images: Vec<(HostId, Vec<(String, f64)>)> = self
            .fleet
            .machines
            .range(after)
            .map(|(_, m)| m)
            .filter(|m| m.images.iter().any(|i| i.ready))
            .take(NOTES_MACHINES)
            .map(|m| {
                let ready = m.images.iter().filter(|i| i.ready);
                (m.id.clone(), ready.map(|i| (i.name.clone(), i.gb)).collect())
            })
            .collect();
        let next = images.last().filter(|_| images.len() == NOTES_MACHINES);
        self.noted = next.map_or_else(|| HostId::new(""), |(host, _)| host.clone());
        let mut arrivals: BTreeMap<&str, (JobSpec, Vec<u64>)> = BTreeMap::new();
        for (at, spec) in &self.book.arrivals {
            let entry =
                arrivals.entry(&spec.class).or_insert_with(|| ((**spec).clone(), Vec::new()));
            entry.1.push(now.since(*at).0);
        }
        Notes {
            token: self.token,
            leader: None,
            images,
            shown: self.shown.iter().map(|(class, bias)| (class.clone(), bias.mean)).collect(),
            arrivals: arrivals.into_values().collect(),
        }
    }

    /// Takes up what an earlier leader noted at `noted`.
    pub fn recall(&mut self, notes: Notes, noted: Mono) {
        for (host, images) in notes.images {
            let ready = |(name, gb)| Image { name, gb, ready: true };
            self.recalled.insert(host, images.into_iter().map(ready).collect());
        }
        for (class, factor) in notes.shown {
            self.shown.insert(class, ClassBias::new(factor));
        }
        // Of the jobs that came before the notes, the book knows only those still open.
        let mut arrivals: Vec<(Mono, Arc<JobSpec>)> =
            self.book.arrivals.drain(..).filter(|(at, _)| *at > noted).collect();
        for (spec, ages) in notes.arrivals {
            let spec = Arc::new(spec);
            let at = |age: u64| Mono(noted.0.saturating_sub(age));
            arrivals.extend(ages.into_iter().map(|age| (at(age), spec.clone())));
        }
        arrivals.sort_by_key(|(at, _)| *at);
        self.book.arrivals.extend(arrivals);
    }

    pub fn wake(&mut self) {
        self.place_dirty = true;
    }

    /// An attempt number that no leader ever used: tokens only grow, and so does the counter.
    fn new_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.token.0 << 20) + self.attempts)
    }

    /// Takes up an assignment record from the store.
    pub fn load_chunk(
        &mut self,
        id: &JobId,
        chunk: u32,
        record: ChunkRecord,
        stamp: Revision,
        now: Mono,
    ) {
        let zones: HashMap<HostId, Zone> =
            record.held.iter().map(|(_, _, host, _, zone)| (host.clone(), zone.clone())).collect();
        for (index, host) in self.book.load_chunk(id, chunk, record, stamp, now) {
            let Some(job) = self.book.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            let Some(zone) = zones.get(&host) else {
                continue;
            };
            // Its type shows in the list or in its report.
            let machine = self.fleet.adopt(&host, "", zone, false, now, now);
            machine.hold(
                TaskId::new(id, index),
                Room::from(&*spec),
                &spec.image,
                spec.image_gb,
                f64::MAX,
            );
        }
    }

    /// A held task is proven gone from its machine.
    fn free(&mut self, id: &JobId, index: u32, done: bool, now: Mono) {
        if let Some(host) = self.book.get(id).and_then(|j| j.hold(index)).map(|h| h.host.clone())
            && let Some(machine) = self.fleet.machines.get_mut(&host)
        {
            machine.free(&TaskId::new(id, index), now);
        }
        self.book.free(id, index, done);
        self.place_dirty = true;
        let complete =
            self.book.get(id).is_some_and(|j| j.state == JobState::Open && j.done == j.spec.tasks);
        if complete {
            self.book.end(id, JobStatus::Done, "all tasks are done");
        }
    }

    /// A gang's attempt cannot go on: what is left of it has to go.
    fn clear_gang(&mut self, id: &JobId, why: &str, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(id) else {
            return;
        };
        let (Gang::Gathering(attempt) | Gang::Running(attempt)) = job.gang else {
            return;
        };
        if job.held == 0 {
            job.gang_enter(Gang::Idle, why);
            return;
        }
        job.gang_enter(Gang::Clearing(attempt), why);
        let held: Vec<u32> = job.holds().map(|(i, _)| i).collect();
        for index in held {
            self.stop(&TaskId::new(id, index), StopWhy::GangFailed, 0.0, now);
        }
    }

    /// Wants a held task to end. One whose start was never sent is gone at once.
    fn stop(&mut self, task: &TaskId, why: StopWhy, grace_s: f64, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(hold) = job.hold_mut(task.index) else {
            return;
        };
        if hold.run == RunSent::No {
            self.free(&task.job, task.index, false, now);
            return;
        }
        // A later stop may only shorten the grace.
        let grace_s = hold.stop.as_ref().map_or(grace_s, |s| s.grace_s.min(grace_s));
        if hold.stop.is_none() {
            log::debug!("task {task}: stopping ({why:?}, grace {grace_s} s)");
        }
        let since = hold.stop.as_ref().map_or(now, |s| s.since);
        hold.stop = Some(Stop { why, grace_s, since });
        if matches!(why, StopWhy::Preempted | StopWhy::Draining | StopWhy::Moved) {
            let (host, attempt) = (hold.host.clone(), hold.attempt);
            let orders = self.hasty.entry(host).or_default();
            if orders.len() < MAX_ORDERS {
                orders.push(Order::Stop { task: task.to_string(), attempt, grace_s });
            }
        }
    }

    /// Stops a running gang so that its progress is saved: all its tasks must hear of it within
    /// `gang_peer_s`, with the grace to save. What has not ended yet is not told a second time with
    /// less, as it would be if the gang were taken to have failed.
    fn stop_gang(&mut self, id: &JobId, why: StopWhy, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(id) else { return };
        let Gang::Running(attempt) = job.gang else { return };
        job.gang_enter(Gang::Clearing(attempt), "stopped in order");
        let grace_s = job.spec.save_s;
        let held: Vec<u32> = job.holds().map(|(i, _)| i).collect();
        for index in held {
            self.stop(&TaskId::new(id, index), why, grace_s, now);
        }
    }

    /// Stops to be sent to a machine directly, with its address. They are harmless however late
    /// they arrive, and go with the answers to its reports as well. Start commands never go here.
    pub fn next_command(&mut self) -> Option<(HostId, String, Command)> {
        loop {
            let (host, orders) = self.hasty.pop_first()?;
            let Some(m) = self.fleet.machines.get(&host) else { continue };
            if matches!(m.life, Life::Live | Life::Closing | Life::Draining) && !m.addr.is_empty() {
                let command = Command { token: self.token, shift: m.shift, orders };
                return Some((host, m.addr.clone(), command));
            }
        }
    }

    /// Takes up what a worker said to a direct command. It may have been said before the answer to
    /// the worker's open report arrived: what it does not list proves nothing, and it is not
    /// ordered among the reports. What it shows as ended has ended.
    pub fn on_obeyed(&mut self, report: &Report, now: Mono) {
        let known = self.fleet.machines.get(&report.host).is_some_and(|m| m.shift == report.shift);
        if !known || report.token != self.token || self.stage != Stage::Ruling {
            return;
        }
        for row in report.tasks.iter().filter(|row| row.status == TaskPhase::Exited) {
            let Some(task) = TaskId::parse(&row.task) else { continue };
            let held_here =
                self.book.get(&task.job).and_then(|j| j.hold(task.index)).is_some_and(|h| {
                    h.host == report.host && h.attempt == row.attempt && h.shift == report.shift
                });
            if held_here {
                self.exited(&task, row.cause, &report.host, now);
            }
        }
    }

    /// A job was ended: none of its tasks may start, and those on machines have to go.
    pub fn end_job(&mut self, id: &JobId, status: JobStatus, why: &str, now: Mono) {
        self.book.end(id, status, why);
        let Some(job) = self.book.get(id) else { return };
        let held: Vec<u32> = job.holds().map(|(i, _)| i).collect();
        for index in held {
            self.stop(&TaskId::new(id, index), StopWhy::JobOver, 0.0, now);
        }
    }

    /// Takes up a report and answers it; `None` if it deserves no 200.
    pub fn on_report(&mut self, report: &Report, now: Mono) -> Option<ReportAnswer> {
        // Guards against a late report of a machine whose release was confirmed.
        if self.fleet.gone.contains_key(&report.host) {
            return None;
        }
        let fresh = self.fleet.take_report(report, self.token, now);
        if fresh == Freshness::Stale {
            return None;
        }
        if let Some(images) = self.recalled.remove(&report.host)
            && let Some(machine) = self.fleet.machines.get_mut(&report.host)
        {
            machine.recall(images);
        }
        let mut orders = Vec::new();
        if self.stage == Stage::Ruling {
            self.end_old_shift(report, now);
            self.compare(report, fresh, &mut orders, now);
            if fresh == Freshness::Confirmed {
                self.start_held(&report.host, report.shift, report.tally, &mut orders);
            }
        }
        Some(ReportAnswer { token: self.token, orders })
    }

    /// Whether the answer to a machine's report may wait for something to say: it is kept for a
    /// job, or has room for one that must start soon, and nothing on it is likely to end meanwhile.
    pub fn may_wait(&self, settings: &Settings, host: &HostId, now: Mono) -> bool {
        let eager = |o: &Objective| {
            o.class.as_deref().is_some_and(|class| placement::eager(settings, class).is_some())
        };
        if self.stage != Stage::Ruling || !settings.facts.objectives.iter().any(eager) {
            return false;
        }
        let Some(m) = self.fleet.machines.get(host) else { return false };
        if m.life != Life::Live || !m.strays.is_empty() || m.paused_until > now {
            return false;
        }
        let kept = m.reserved.as_ref().is_some_and(|(_, until)| now < *until);
        let unsent = |hold: &Hold| hold.run == RunSent::No;
        let calm = |task: &TaskId| {
            self.book.get(&task.job).is_some_and(|j| {
                let steady = |hold: &Hold| hold.phase == Some(TaskPhase::Running);
                j.spec.shape != Shape::Array
                    && j.hold(task.index)
                        .is_some_and(|h| h.stop.is_none() && (unsent(h) || steady(h)))
            })
        };
        let roomy = || {
            let free = self.fleet.free_room(m);
            self.expected.iter().any(|(job, _)| free.fits(&Room::from(&*job.spec)))
        };
        let awaiting = || {
            let hold = |t: &TaskId| self.book.get(&t.job).and_then(|j| j.hold(t.index));
            m.held.keys().any(|task| hold(task).is_some_and(unsent))
        };
        kept || awaiting() || m.held.keys().all(calm) && roomy()
    }

    /// Whether a machine is to be told to start or stop something.
    pub fn has_orders(&self, host: &HostId) -> bool {
        let Some(machine) = self.fleet.machines.get(host) else { return true };
        machine.life != Life::Live
            || machine.held.keys().any(|task| {
                self.book.get(&task.job).is_some_and(|job| {
                    job.hold(task.index).is_some_and(|hold| {
                        hold.stop.is_some()
                            || hold.run == RunSent::No
                                && job.state == JobState::Open
                                && job.durable(task.index)
                    })
                })
            })
    }

    /// A report is being answered with 200.
    pub fn answered(&mut self, host: &HostId, now: Mono) {
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.last_answer = Some(now);
        }
    }

    /// The answer to a report that was parked, unless a newer one has come or its machine is gone.
    pub fn answer_late(
        &mut self,
        host: &HostId,
        shift: Shift,
        tally: Tally,
        now: Mono,
    ) -> Option<ReportAnswer> {
        let machine = self.fleet.machines.get_mut(host)?;
        if (machine.shift, machine.tally) != (shift, tally) {
            return None;
        }
        machine.last_answer = Some(now);
        let mut orders = Vec::new();
        for (id, index) in self.held_on(host, |hold| hold.stop.is_some() && hold.run != RunSent::No)
        {
            let hold = self.book.get(&id).and_then(|j| j.hold(index));
            if let Some((stop, attempt)) = hold.and_then(|h| Some((h.stop?, h.attempt))) {
                let task = TaskId::new(&id, index).to_string();
                self.push(&mut orders, Order::Stop { task, attempt, grace_s: stop.grace_s });
            }
        }
        self.start_held(host, shift, tally, &mut orders);
        Some(ReportAnswer { token: self.token, orders })
    }

    /// A newer shift proves that everything of older ones is gone.
    fn end_old_shift(&mut self, report: &Report, now: Mono) {
        for (id, index) in self.held_on(&report.host, |hold| hold.shift < report.shift) {
            log::info!("task {id}/{index}: gone, {} has a new shift", report.host);
            self.lost(&id, index, now);
        }
    }

    fn held_on(&self, host: &HostId, which: impl Fn(&Hold) -> bool) -> Vec<(JobId, u32)> {
        let Some(machine) = self.fleet.machines.get(host) else {
            return Vec::new();
        };
        machine
            .held
            .keys()
            .filter(|task| {
                self.book
                    .get(&task.job)
                    .and_then(|j| j.hold(task.index))
                    .is_some_and(|hold| hold.host == *host && which(hold))
            })
            .map(|task| (task.job.clone(), task.index))
            .collect()
    }

    /// A task is proven gone without having ended in order.
    fn lost(&mut self, id: &JobId, index: u32, now: Mono) {
        self.free(id, index, false, now);
        if matches!(self.book.get(id).map(|j| j.gang), Some(Gang::Running(_))) {
            self.clear_gang(id, "a task was lost", now);
        }
    }

    /// Compares what a worker lists with what the book holds there.
    fn compare(&mut self, report: &Report, fresh: Freshness, orders: &mut Vec<Order>, now: Mono) {
        let host = &report.host;
        let confirmed = fresh == Freshness::Confirmed;
        let mut strays = BTreeMap::new();
        let mut listed = Vec::new();
        for row in &report.tasks {
            let Some(task) = TaskId::parse(&row.task) else {
                continue;
            };
            let held_here =
                self.book.get(&task.job).and_then(|j| j.hold(task.index)).is_some_and(|h| {
                    h.host == *host && h.attempt == row.attempt && h.shift == report.shift
                });
            let exited = row.status == TaskPhase::Exited;
            if held_here {
                listed.push(task.clone());
                if !exited {
                    self.saw(&task, row.status, report, orders, now);
                } else if confirmed {
                    self.exited(&task, row.cause, host, now);
                }
                continue;
            }
            if !exited {
                let need =
                    self.book.get(&task.job).map(|j| Room::from(&*j.spec)).unwrap_or_default();
                log::warn!("machine {host}: {task} try {} does not belong there", row.attempt);
                strays.insert((task, row.attempt), need);
                self.push(
                    orders,
                    Order::Stop { task: row.task.clone(), attempt: row.attempt, grace_s: 0.0 },
                );
                continue;
            }
            if row.cause == Some(Cause::Done) {
                self.done_elsewhere(&task, now);
            }
            // Forgotten only once what it says is durable.
            if self.book.get(&task.job).is_none_or(|j| j.settled(task.index)) {
                self.push(orders, Order::Forget { task: row.task.clone(), attempt: row.attempt });
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.strays = strays;
        }
        if confirmed {
            self.missing(report, &listed, now);
        }
    }

    fn push(&self, orders: &mut Vec<Order>, order: Order) {
        if orders.len() < MAX_ORDERS {
            orders.push(order);
        }
    }

    /// A result that was kept by a machine whose assignment had been given up.
    fn done_elsewhere(&mut self, task: &TaskId, now: Mono) {
        let pending = self.book.get(&task.job).is_some_and(|j| {
            j.state == JobState::Open
                && j.spec.shape != Shape::Service
                && j.tasks.get(task.index as usize) == Some(&Task::Pending)
        });
        if pending {
            self.done(&task.job, task.index, now);
        }
    }

    /// A task is done; the tasks of a gang complete together. Guards against a gang some of whose
    /// tasks are done, which could never start again.
    fn done(&mut self, id: &JobId, index: u32, now: Mono) {
        let Some(job) = self.book.get(id) else { return };
        let rest: Vec<u32> = match job.spec.shape {
            Shape::Gang => (0..job.spec.tasks)
                .filter(|i| *i != index && job.tasks[*i as usize] != Task::Done)
                .collect(),
            _ => Vec::new(),
        };
        self.free(id, index, true, now);
        for other in rest {
            self.free(id, other, true, now);
        }
    }

    /// A held task is on its machine in some phase.
    fn saw(
        &mut self,
        task: &TaskId,
        phase: TaskPhase,
        report: &Report,
        orders: &mut Vec<Order>,
        now: Mono,
    ) {
        let Some(job) = self.book.jobs.get_mut(&task.job) else {
            return;
        };
        if job.spec.shape == Shape::Gang
            && phase == TaskPhase::Running
            && let Gang::Gathering(attempt) = job.gang
        {
            job.gang_enter(Gang::Running(attempt), "its tasks run");
        }
        let over = job.state != JobState::Open;
        if phase != TaskPhase::Fetching
            && let Some(machine) = self.fleet.machines.get_mut(&report.host)
        {
            machine.fetched(&job.spec.image);
        }
        let Some(hold) = job.hold_mut(task.index) else {
            return;
        };
        if hold.phase != Some(phase) {
            log::debug!("task {task}: {phase:?} on {}", report.host);
            hold.phase = Some(phase);
        }
        if hold.run == RunSent::No {
            // An earlier leader's start command had arrived after all.
            hold.run = RunSent::Inherited;
        }
        if phase == TaskPhase::Running && hold.running_since.is_none() {
            hold.running_since = Some(now);
        }
        if over && hold.stop.is_none() {
            hold.stop = Some(Stop { why: StopWhy::JobOver, grace_s: 0.0, since: now });
        }
        if let Some(stop) = hold.stop {
            let attempt = hold.attempt;
            self.push(
                orders,
                Order::Stop { task: task.to_string(), attempt, grace_s: stop.grace_s },
            );
        }
    }

    /// A held task has ended, as a report later than its start shows.
    fn exited(&mut self, task: &TaskId, cause: Option<Cause>, host: &HostId, now: Mono) {
        let cause = cause.unwrap_or(Cause::Error);
        log::debug!("task {task}: ended on {host}, {cause:?}");
        let id = &task.job;
        let (index, mut gang_over) = (task.index, None);
        match cause {
            Cause::Done => {
                if let Some(job) = self.book.get(id)
                    && let Some(machine) = self.fleet.machines.get_mut(host)
                {
                    machine.fetched(&job.spec.image);
                }
                self.blame(id);
                self.measure(task, now);
                self.done(id, index, now);
            }
            Cause::Stopped => {
                // A gang that has not started waits for a replacement of what a drain took.
                let replaced = self.book.get(id).is_some_and(|j| {
                    let drained = |h: &Hold| h.stop.is_some_and(|s| s.why == StopWhy::Draining);
                    matches!(j.gang, Gang::Gathering(_)) && j.hold(index).is_some_and(drained)
                });
                self.free(id, index, false, now);
                gang_over = (!replaced).then_some("a task was stopped");
            }
            Cause::Peers | Cause::Incomplete => {
                self.free(id, index, false, now);
                gang_over = Some("its tasks lost each other");
            }
            Cause::Error => {
                self.free(id, index, false, now);
                self.failed(id, host, now);
                gang_over = Some("a task failed");
            }
            Cause::NoRoom => {
                log::warn!("machine {host}: no room for {task}");
                self.free(id, index, false, now);
                if let Some(machine) = self.fleet.machines.get_mut(host) {
                    machine.paused_until = now.plus(NO_ROOM_PAUSE_MS);
                }
            }
            Cause::Busy | Cause::Unknown => {
                log::warn!("machine {host}: refused {task}, {cause:?}");
                self.free(id, index, false, now);
                if let Some(job) = self.book.jobs.get_mut(id) {
                    job.paused_until = now.plus(ERROR_PAUSE_MS);
                }
            }
        }
        if let Some(why) = gang_over {
            self.clear_gang(id, why, now);
        }
    }

    /// An error: mostly the machine's fault, unless the job fails elsewhere too.
    fn failed(&mut self, id: &JobId, host: &HostId, now: Mono) {
        let Some(job) = self.book.jobs.get_mut(id) else {
            return;
        };
        job.errors += 1;
        job.error_hosts.insert(host.clone());
        let doublings = job.errors.saturating_sub(1).min(16);
        let pause = (ERROR_PAUSE_MS.0 << doublings).min(ERROR_PAUSE_MAX_MS.0);
        job.paused_until = now.plus(Millis(pause));
        let own_fault = job.error_hosts.len() >= OWN_FAULT_HOSTS;
        let hosts: Vec<HostId> = job.error_hosts.iter().cloned().collect();
        log::info!("job {id}: error number {} on {host}, next try in {pause} ms", job.errors);
        if own_fault {
            // Guards against one broken job spoiling every machine.
            for host in hosts {
                if let Some(machine) = self.fleet.machines.get_mut(&host) {
                    machine.faults.remove(id);
                }
            }
            return;
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.faults.insert(id.clone());
            machine.paused_until = now.plus(Millis(pause));
            if machine.faults.len() >= FAULTY_ERRORS {
                machine.enter(Life::Draining, "different jobs fail on it");
            }
        }
    }

    /// A job is done where it did not fail: the machines on which it failed are at fault.
    fn blame(&mut self, id: &JobId) {
        let Some(job) = self.book.get(id) else { return };
        if job.error_hosts.len() >= OWN_FAULT_HOSTS {
            return;
        }
        for host in &job.error_hosts {
            if let Some(machine) = self.fleet.machines.get_mut(host) {
                machine.enter(Life::Draining, "what fails on it is done elsewhere");
            }
        }
    }

    /// Notes a completed task's cost, in core equivalents times seconds.
    fn measure(&mut self, task: &TaskId, now: Mono) {
        let eq = self.book.get(&task.job).map_or(0.0, |j| self.core_equivalents(&j.spec));
        let Some(job) = self.book.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(since) = job.hold(task.index).and_then(|h| h.running_since) else {
            return;
        };
        let ran = now.since(since).secs();
        job.measured.add(eq * ran);
        let spec = job.spec.clone();
        if spec.estimate_s > 0.0 {
            self.shown.entry(spec.class.clone()).or_default().saw(ran / spec.estimate_s);
        }
    }

    /// Held tasks that a confirmed report does not list.
    fn missing(&mut self, report: &Report, listed: &[TaskId], now: Mono) {
        for (id, index) in self.held_on(&report.host, |h| h.shift == report.shift) {
            let task = TaskId::new(&id, index);
            if listed.contains(&task) {
                continue;
            }
            let Some(job) = self.book.jobs.get_mut(&id) else {
                continue;
            };
            let open = job.state == JobState::Open;
            let gang = job.gang;
            let Some(hold) = job.hold_mut(index) else {
                continue;
            };
            let sent = match hold.run {
                RunSent::No => false,
                RunSent::At(tally) => tally < report.tally,
                RunSent::Inherited => true,
            };
            if !sent {
                if !open {
                    self.free(&id, index, false, now);
                }
                continue;
            }
            let was_seen = hold.phase.is_some();
            if hold.stop.is_some()
                || was_seen
                || !open
                || !matches!(gang, Gang::Idle | Gang::Gathering(_))
            {
                log::info!("task {task}: gone from {}", report.host);
                self.lost(&id, index, now);
            } else {
                // The start command was lost on its way: the same attempt may be sent again.
                hold.run = RunSent::No;
            }
        }
    }

    /// Start commands for what is assigned here and durable.
    fn start_held(&mut self, host: &HostId, shift: Shift, tally: Tally, orders: &mut Vec<Order>) {
        let Some(machine) = self.fleet.machines.get(host) else {
            return;
        };
        if !matches!(machine.life, Life::Live | Life::Closing) {
            return;
        }
        let strays: Vec<TaskId> = machine.strays.keys().map(|(t, _)| t.clone()).collect();
        for (id, index) in self.held_on(host, |h| h.run == RunSent::No) {
            let Some(job) = self.book.jobs.get_mut(&id) else {
                continue;
            };
            let task = TaskId::new(&id, index);
            if job.state != JobState::Open || !job.durable(index) || strays.contains(&task) {
                continue;
            }
            let Some(hold) = job.hold_mut(index) else {
                continue;
            };
            if hold.shift != shift || hold.stop.is_some() || orders.len() >= MAX_ORDERS {
                continue;
            }
            hold.run = RunSent::At(tally);
            log::debug!("task {task}: run on {host} try {}", hold.attempt);
            orders.push(Order::Run { task: task.to_string(), attempt: hold.attempt });
        }
    }

    /// Everything on a machine is gone for certain.
    fn machine_gone(&mut self, host: &HostId, why: &str, now: Mono) {
        for (id, index) in self.held_on(host, |_| true) {
            self.lost(&id, index, now);
        }
        if self.fleet.remove(host, now).is_some() {
            log::info!("machine {host}: gone ({why})");
        }
        self.place_dirty = true;
    }

    pub fn released(&mut self, hosts: &[HostId], now: Mono) {
        for host in hosts {
            self.machine_gone(host, "released", now);
        }
    }

    pub fn hired(&mut self, kind: &Kind, hosts: &[HostId], now: Mono) {
        for host in hosts {
            if !self.fleet.gone.contains_key(host) {
                let m = self.fleet.adopt(host, &kind.flavor, &kind.zone, kind.spot, now, now);
                // A hire's answer may come after the machine's first report; what it says agrees.
                m.flavor.clone_from(&kind.flavor);
            }
        }
        self.place_dirty = true;
    }

    /// Takes up a whole machine list. It may be older than the one before: absence proves nothing.
    pub fn listing(&mut self, rows: &[Listed], lag_s: f64, desk: &mut CloudDesk, now: Mono) {
        for row in rows {
            if let Some(at) = self.fleet.gone.get(&row.host) {
                // Listed long after its release: a late rental, or the release was for naught.
                if now.since(*at).secs() > 3.0 * lag_s + 40.0 {
                    desk.release(&row.host);
                }
                continue;
            }
            let age = Millis::from_secs(row.age_s);
            let born = Mono(now.0.saturating_sub(age.0));
            let machine = self.fleet.adopt(&row.host, &row.flavor, &row.zone, row.spot, born, now);
            if machine.flavor.is_empty() {
                machine.flavor.clone_from(&row.flavor);
                machine.spot = row.spot;
                self.place_dirty = true;
            }
            if row.status == MachineStatus::Failed {
                machine.enter(Life::Releasing, "failed by itself");
                desk.release(&row.host);
            }
        }
    }

    /// Silence, leases that have run out, drains, and machines that never came up.
    fn watch_machines(
        &mut self,
        settings: &Settings,
        ops: &Operators,
        desk: &mut CloudDesk,
        now: Mono,
    ) {
        let facts = &settings.facts.workers;
        let silent_after = Millis::from_secs(facts.report_s * ops.silent_reports);
        let early = Millis::from_secs(silent_after.secs() * EARLY_SILENCE);
        let taken_after = Millis::from_secs(facts.report_s * TAKEN_REPORTS);
        let found_by = self.heard_from.plus(Millis::from_secs(REDIRECT_S));
        let silence = |m: &Machine| {
            let from = m.last_report.unwrap_or(m.born).max(found_by.min(now));
            now.since(from)
        };
        let mut zones: HashMap<Zone, (u32, u32)> = HashMap::new();
        for m in self.fleet.machines.values() {
            if m.last_report.is_some() && m.life != Life::Releasing {
                let (all, silent) = zones.entry(m.zone.clone()).or_default();
                *all += 1;
                // Those cut off together fall silent within a report period of each other.
                *silent += u32::from(silence(m) > early);
            }
        }
        let mut expired = Vec::new();
        for m in self.fleet.machines.values_mut() {
            if now > Fleet::horizon(m, self.since, facts.lease_s) && !m.held.is_empty() {
                expired.push(m.id.clone());
            }
            if m.life == Life::Releasing {
                continue;
            }
            if m.last_report.is_none() {
                let boot_s = self
                    .fleet
                    .catalog
                    .as_ref()
                    .and_then(|c| c.flavors.iter().find(|f| f.label == m.flavor))
                    .map_or(30.0, |f| f.boot_s);
                let patience = Millis::from_secs(boot_s * BOOT_PATIENCE + facts.lease_s);
                let since_lead = now.since(self.heard_from) > silent_after;
                if now.since(m.born) > patience && since_lead {
                    m.enter(Life::Releasing, "never reported");
                    desk.release(&m.id);
                }
                continue;
            }
            // A machine that was to be taken and has fallen silent needs no patience.
            let taken = m.taken_at.is_some() && silence(m) > taken_after && now > found_by;
            let silent = taken || silence(m) > silent_after && now > found_by.plus(silent_after);
            if silent && matches!(m.life, Life::Live | Life::Closing) {
                m.enter(Life::Silent, "no reports");
            }
            let (all, quiet) = zones.get(&m.zone).copied().unwrap_or_default();
            // Guards against taking a cut between zones for the loss of all their machines: they
            // are left alone until their leases have run out in any case.
            let cut = quiet >= 3 && quiet * 2 > all;
            let over = now > Fleet::horizon(m, self.since, facts.lease_s);
            if silent && (!cut || over) {
                m.enter(Life::Releasing, "silent for too long");
                desk.release(&m.id);
            } else if m.life == Life::Draining && m.empty() && m.taken_at.is_none() {
                m.enter(Life::Releasing, "drained");
                desk.release(&m.id);
            }
        }
        for host in expired {
            for (id, index) in self.held_on(&host, |_| true) {
                log::info!("task {id}/{index}: gone, the lease of {host} has run out");
                self.lost(&id, index, now);
            }
        }
    }

    /// Tasks on machines that are to be emptied are asked to save and go.
    fn drain(&mut self, now: Mono) {
        let mut stops = Vec::new();
        for m in self.fleet.machines.values() {
            if m.life != Life::Draining {
                continue;
            }
            for task in m.held.keys() {
                let Some(job) = self.book.get(&task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let Some(hold) = job.hold(task.index) else {
                    continue;
                };
                // Before the cloud takes a machine, work that cannot be saved runs on if it may be
                // done in time; else it starts again elsewhere at once.
                let ran_s = hold.running_since.map_or(0.0, |t| now.since(t).secs());
                let to_go_s = spec.estimate_s - ran_s;
                let hopeless = m.taken_at.is_some_and(|at| {
                    spec.checkpoint_s <= 0.0
                        && spec.shape != Shape::Service
                        && to_go_s < at.since(now).secs()
                });
                if hold.stop.is_none() && !(hopeless && hold.run != RunSent::No) {
                    stops.push((task.clone(), spec.save_s));
                }
            }
        }
        for (task, grace) in stops {
            let gang = self.book.get(&task.job).map(|j| j.gang);
            match gang {
                Some(Gang::Running(_)) => self.stop_gang(&task.job, StopWhy::Draining, now),
                // It may have been stopped along with another task of its gang.
                Some(Gang::Clearing(_)) => {}
                _ => self.stop(&task, StopWhy::Draining, grace, now),
            }
        }
    }

    /// Cores of a machine that a task stands for: by what binds first, so that a task that takes a
    /// quarter of the GPUs counts as a quarter of the cores.
    fn core_equivalents(&self, spec: &JobSpec) -> f64 {
        let need = Room::from(spec);
        self.fleet
            .catalog
            .iter()
            .flat_map(|c| c.flavors.iter())
            .filter(|f| spec.flavors.as_ref().is_none_or(|l| l.contains(&f.label)))
            .filter(|f| Room::from(*f).fits(&need))
            .map(|f| need.share_of(&Room::from(f)) * f.cpus)
            .reduce(f64::min)
            .unwrap_or(spec.cpus)
    }

    fn bias(&self, spec: &JobSpec) -> ClassBias {
        self.shown.get(&spec.class).copied().unwrap_or_default()
    }

    /// What a task of the job is taken to cost: what the job itself has shown, else the owner's
    /// estimate corrected by what its class has shown.
    fn expected_cost(&self, job: &Job, eq: f64) -> Option<f64> {
        job.cost.cost().or_else(|| {
            let bias = self.bias(&job.spec);
            (job.spec.estimate_s > 0.0).then(|| eq * job.spec.estimate_s * bias.mean)
        })
    }

    /// The rate that an array is to be served at.
    fn array_rate(&self, settings: &Settings, job: &Job, eq: f64, tick_s: f64, now: Mono) -> f64 {
        let left = f64::from(job.spec.tasks - job.done);
        let most = eq * left;
        let Some(b) = self.expected_cost(job, eq) else {
            return UNMEASURED_CAP_CORES.min(most);
        };
        let due = placement::due(settings, job);
        let left_s = (due.0 as f64 - now.0 as f64) / 1000.0 - self.overhead_s(settings, &job.spec);
        // Tasks are whole: time in which no whole task fits any more is of no use. Nor is the end of
        // it, in which the longest run on: what starts then is late as often as not.
        let task_s = b / eq;
        let longest_s = self.bias(&job.spec).longest * job.spec.estimate_s;
        let tail_s = TAIL_WEIGHT * (longest_s - task_s).max(0.0);
        let waves = ((left_s - tail_s) / task_s).floor().max(1.0);
        Demand { work: left * b, left_s: waves * task_s, most }.rate(tick_s)
    }

    /// What passes around a task's run: a boot, reports before and after it, and the image's fetch.
    fn overhead_s(&self, settings: &Settings, spec: &JobSpec) -> f64 {
        let flavors = || self.fleet.catalog.iter().flat_map(|c| c.flavors.iter());
        let fetch = flavors().map(|f| f.fetch_gb_per_s).fold(0.0, f64::max);
        let fetch_s = if fetch > 0.0 { spec.image_gb / fetch } else { 0.0 };
        let boot_s = flavors().map(|f| f.boot_s).reduce(f64::min).unwrap_or(0.0);
        2.0 * settings.facts.workers.report_s + fetch_s + boot_s
    }

    /// Rates of all jobs, the target N*, and the floor of services, gangs and guarantees.
    fn demand(
        &mut self,
        settings: &Settings,
        tick_s: f64,
        now: Mono,
    ) -> (f64, f64, Vec<(JobId, Claim)>) {
        let owed = placement::guaranteed(settings, &self.book);
        for job in self.book.jobs.values_mut() {
            if let Some(measured) = job.measured.take() {
                job.cost.update(measured);
            }
        }
        let (mut target, mut floor) = (0.0, 0.0);
        let mut claims = Vec::new();
        for (id, job) in self.book.jobs.iter().filter(|(_, j)| j.state == JobState::Open) {
            let eq = self.core_equivalents(&job.spec).max(1e-3);
            let full = eq * f64::from(job.spec.tasks - job.done);
            if job.spec.shape != Shape::Array {
                target += full;
                floor += full;
                continue;
            }
            let rate = if owed.contains_key(id) {
                floor += full;
                full
            } else {
                self.array_rate(settings, job, eq, tick_s, now)
            };
            target += rate;
            let left = job.spec.tasks - job.done;
            claims.push((id.clone(), Claim { rate, task_cores: eq, left }));
        }
        // Room that is kept ready belongs to the floor, and so to the target.
        for (job, count) in &self.expected {
            let ready = self.core_equivalents(&job.spec) * f64::from(job.spec.tasks * count);
            floor += ready;
            target += ready;
        }
        (target, floor, claims)
    }

    fn rented(&self) -> f64 {
        self.fleet
            .machines
            .values()
            .filter(|m| m.life != Life::Releasing)
            .filter_map(|m| self.fleet.flavor(&m.flavor))
            .map(|f| f.cpus)
            .sum()
    }

    /// One period of the control loop.
    fn scale(&mut self, settings: &Settings, ops: &Operators, desk: &mut CloudDesk, now: Mono) {
        let (target, floor, claims) = self.demand(settings, ops.tick().secs(), now);
        self.expected = {
            let known = self.book.arrivals.iter().map(|(at, _)| *at).min();
            let since = known.unwrap_or(self.since).min(self.since);
            placement::expected(settings, &self.book, &self.fleet, now, since)
        };
        let awaited: f64 = desk
            .awaited()
            .filter_map(|(k, n)| Some(self.fleet.flavor(&k.flavor)?.cpus * f64::from(n)))
            .sum();
        let rented = self.rented() + awaited;
        let factor = scaling::rate_factor(target, rented, ops.beta);
        let (ids, claims): (Vec<JobId>, Vec<Claim>) = claims.into_iter().unzip();
        let tasks =
            |(claim, share): (&Claim, f64)| (share / claim.task_cores).ceil().max(1.0) as u32;
        let shares = scaling::shares(&claims, factor);
        self.paced = ids.into_iter().zip(claims.iter().zip(shares).map(tasks)).collect();
        let bounds =
            Bounds { min: floor, max: if ops.max_cores > 0.0 { ops.max_cores } else { f64::MAX } };
        // Machines are larger than a step: what the loop has added or cut, but no machine yet
        // stands for, is carried from tick to tick, though not beyond the target.
        let carried =
            if rented <= target { self.planned.max(rented) } else { self.planned.min(rented) };
        // β holds per cut period, spread evenly over its ticks.
        let beta = ops.beta.powf(ops.tick().secs() / CUT_PERIOD_MS.secs());
        let next = scaling::step(carried, target, bounds, beta);
        self.planned = if rented <= target { next } else { next.max(target.min(rented)) };
        log::debug!(
            "scaling: N* {target:.0}, floor {floor:.0}, rented {rented:.0}, planned {:.0}",
            self.planned
        );
        let plan = self.place(settings, desk, now);
        if log::log_enabled!(log::Level::Debug) {
            self.log_fleet(&plan);
        }
        self.return_idle(&plan, ops, desk, now);
        self.consolidate(settings, &plan, desk, now);
        self.hire(plan, rented, bounds.max, desk);
    }

    /// One line on where the rented room is.
    fn log_fleet(&self, plan: &Plan) {
        let mut lives: BTreeMap<String, (u32, f64, f64)> = BTreeMap::new();
        for m in self.fleet.machines.values() {
            let room = self.fleet.free_room(m);
            let kind = if m.spot { "spot" } else { "ordinary" };
            let entry = lives.entry(format!("{:?} {kind}", m.life)).or_default();
            *entry = (entry.0 + 1, entry.1 + room.cpus, entry.2 + room.gpus);
        }
        let expected: u32 = self.expected.iter().map(|(job, n)| job.spec.tasks * n).sum();
        log::debug!(
            "fleet: machines, free cores and GPUs {lives:?}; ready for {expected} on {}; wished {}",
            plan.ready.len(),
            plan.hires.len()
        );
    }

    /// Hires what the pass wished for: services, gangs and guarantees under the floor, arrays as
    /// far as the loop has grown.
    fn hire(&mut self, plan: Plan, rented: f64, most: f64, desk: &mut CloudDesk) {
        let mut cores = rented;
        let mut counts: BTreeMap<Kind, u32> = BTreeMap::new();
        for (kind, urgent) in plan.hires {
            let Some(flavor) = self.fleet.flavor(&kind.flavor) else {
                continue;
            };
            let allowed = urgent || self.planned >= cores + flavor.cpus / 2.0;
            if allowed && cores + flavor.cpus <= most.max(flavor.cpus) {
                cores += flavor.cpus;
                *counts.entry(kind).or_default() += 1;
            }
        }
        for (kind, number) in counts {
            desk.hire(&kind, number);
        }
    }

    /// Returns machines that have been idle, the dearest first, while more is rented than planned.
    fn return_idle(&mut self, plan: &Plan, ops: &Operators, desk: &mut CloudDesk, now: Mono) {
        let keep = Millis(ops.idle_keep_ms);
        let mut rented = self.rented();
        let mut idle: Vec<(f64, f64, HostId)> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.life == Life::Live && m.empty() && now.since(m.idle_since) >= keep)
            .filter(|m| now.since(m.born) >= LEAST_CHARGE_MS)
            .filter(|m| !plan.ready.contains(&m.id))
            .filter(|m| m.reserved.as_ref().is_none_or(|(_, until)| now >= *until))
            .filter_map(|m| {
                let f = self.fleet.flavor(&m.flavor)?;
                let price = if m.spot { f.spot_price } else { f.price };
                Some((price / f.cpus.max(1.0), f.cpus, m.id.clone()))
            })
            .collect();
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, cpus, host) in idle {
            if rented - cpus < self.planned {
                continue;
            }
            rented -= cpus;
            if let Some(m) = self.fleet.machines.get_mut(&host) {
                m.enter(Life::Releasing, "idle");
                desk.release(&host);
            }
        }
    }

    /// While more is rented than planned and no machine stands idle, empties the one with least on
    /// it: replicas move one at a time, other tasks end by themselves.
    fn consolidate(&mut self, settings: &Settings, plan: &Plan, desk: &mut CloudDesk, now: Mono) {
        for host in &plan.ready {
            if let Some(m) = self.fleet.machines.get_mut(host).filter(|m| m.life == Life::Closing) {
                m.enter(Life::Live, "kept ready");
            }
        }
        let cpus = |m: &Machine| self.fleet.flavor(&m.flavor).map_or(0.0, |f| f.cpus);
        let closing: Vec<HostId> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.life == Life::Closing)
            .map(|m| m.id.clone())
            .collect();
        let closing_cpus: f64 =
            closing.iter().filter_map(|h| self.fleet.machines.get(h)).map(cpus).sum();
        let kept = self.rented() - closing_cpus;
        if kept < self.planned {
            if let Some(m) = closing.first().and_then(|h| self.fleet.machines.get_mut(h)) {
                m.enter(Life::Live, "needed again");
                self.place_dirty = true;
            }
            return;
        }
        let roomy =
            |host: &HostId| placement::room_elsewhere(now, settings, &self.book, &self.fleet, host);
        let mut least: Vec<(f64, HostId)> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.life == Life::Live && !m.empty() && m.strays.is_empty())
            .filter(|m| !plan.ready.contains(&m.id))
            .filter(|m| m.reserved.as_ref().is_none_or(|(_, until)| now >= *until))
            .filter(|m| kept - cpus(m) >= self.planned)
            .filter(|_| closing.len() < CLOSING_MOST)
            .map(|m| (m.used.share_of(&self.fleet.room_of(m)), m.id.clone()))
            .collect();
        least.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Each question looks at the whole fleet, so it is asked of a few only.
        let least =
            least.into_iter().map(|(_, host)| host).take(EMPTY_TRIES).find(|host| roomy(host));
        let mover = closing
            .iter()
            .filter(|_| now.since(self.last_move) >= MOVE_EVERY_MS)
            .filter(|host| roomy(host))
            .flat_map(|host| self.fleet.machines[host].held.keys())
            .find(|task| {
                self.book.get(&task.job).is_some_and(|j| {
                    j.spec.shape == Shape::Service
                        && j.hold(task.index)
                            .is_some_and(|h| h.running_since.is_some() && h.stop.is_none())
                })
            })
            .cloned();
        if let Some(m) = least.and_then(|host| self.fleet.machines.get_mut(&host)) {
            m.enter(Life::Closing, "more is rented than planned");
        }
        if let Some(task) = mover {
            self.last_move = now;
            self.stop(&task, StopWhy::Moved, 0.0, now);
        }
        for host in closing {
            if let Some(m) = self.fleet.machines.get_mut(&host).filter(|m| m.empty()) {
                m.enter(Life::Releasing, "emptied");
                desk.release(&host);
            }
        }
    }

    /// One placement pass; starts and stops are taken up, hires are left to the caller.
    fn place(&mut self, settings: &Settings, desk: &CloudDesk, now: Mono) -> Plan {
        self.place_dirty = false;
        let refused = |kind: &Kind| desk.refused(kind, now);
        let mut plan = placement::plan(Inputs {
            now,
            settings,
            book: &mut self.book,
            fleet: &self.fleet,
            paced: &self.paced,
            awaited: desk.awaited().collect(),
            expected: &self.expected,
            refused: &refused,
        });
        // A pass that costs more comes less often, so that it starves nothing else.
        let took_s = plan.steps as f64 * STEP_NS * 1e-9;
        let share = PLACE_SHARE * settings.facts.limits.cpu_share.clamp(0.01, 1.0);
        self.next_place = now.plus(Millis::from_secs(took_s / share).max(PLACE_EVERY_MS));
        let mut gangs: HashMap<JobId, Attempt> = HashMap::new();
        for (id, index, host) in plan.starts.split_off(0) {
            let attempt = match self.book.get(&id).map(|j| (j.spec.shape, j.gang)) {
                Some((Shape::Gang, Gang::Gathering(attempt))) => attempt,
                Some((Shape::Gang, _)) => match gangs.get(&id) {
                    Some(attempt) => *attempt,
                    None => self.new_attempt(),
                },
                _ => self.new_attempt(),
            };
            gangs.insert(id.clone(), attempt);
            self.assign(settings, &id, index, &host, attempt, now);
        }
        // What was kept for a gang is free again once it has its places.
        if plan.placed_kept {
            for m in self.fleet.machines.values_mut() {
                if m.reserved.as_ref().is_some_and(|(job, _)| gangs.contains_key(job)) {
                    m.reserved = None;
                }
            }
        }
        for (task, why, grace) in &plan.stops {
            self.stop(task, *why, *grace, now);
            self.clear_if_gang(task);
        }
        for id in &plan.moves {
            self.stop_gang(id, StopWhy::Moved, now);
        }
        for (host, job) in &plan.reserve {
            if let Some(m) = self.fleet.machines.get_mut(host) {
                log::debug!("machine {host}: kept for {job}");
                m.reserved = Some((job.clone(), now.plus(RESERVE_MS)));
            }
        }
        plan
    }

    /// A gang of which a task was asked to stop will not go on.
    fn clear_if_gang(&mut self, task: &TaskId) {
        if let Some(job) = self.book.jobs.get_mut(&task.job)
            && let Gang::Gathering(attempt) | Gang::Running(attempt) = job.gang
            && job.held > 0
        {
            job.gang_enter(Gang::Clearing(attempt), "stopped to make room");
        }
    }

    fn assign(
        &mut self,
        settings: &Settings,
        id: &JobId,
        index: u32,
        host: &HostId,
        attempt: Attempt,
        now: Mono,
    ) {
        let Some(job) = self.book.get(id) else { return };
        let Some(machine) = self.fleet.machines.get(host) else { return };
        if !placement::permitted(settings, &self.book, job, machine) {
            log::error!("task {id}/{index}: may not go to {host}; the plan is wrong");
            return;
        }
        let spec = job.spec.clone();
        let cache = self.fleet.flavor(&machine.flavor).map_or(0.0, |f| f.cache_gb);
        let hold = Hold {
            host: host.clone(),
            shift: machine.shift,
            zone: machine.zone.clone(),
            attempt,
            version: 0,
            run: RunSent::No,
            phase: None,
            since: now,
            running_since: None,
            stop: None,
        };
        if !self.book.hold(id, index, hold) {
            return;
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            let need = Room::from(&*spec);
            machine.hold(TaskId::new(id, index), need, &spec.image, spec.image_gb, cache);
            if machine.life == Life::Closing {
                machine.enter(Life::Live, "needed again");
            }
        }
        log::debug!("task {id}/{index}: assigned to {host}");
    }

    /// Called at every turn while the token is valid.
    pub fn tick(&mut self, settings: &Settings, ops: &Operators, desk: &mut CloudDesk, now: Mono) {
        if self.stage != Stage::Ruling {
            return;
        }
        if now >= self.next_tick && now >= self.next_place.min(self.next_tick.plus(ops.tick())) {
            self.next_tick = now.plus(ops.tick());
            self.watch_machines(settings, ops, desk, now);
            self.drain(now);
            self.scale(settings, ops, desk, now);
            self.fleet.forget_old(now);
            let old = Millis::from_secs(ARRIVAL_WINDOW_S);
            while self.book.arrivals.front().is_some_and(|(at, _)| now.since(*at) > old) {
                self.book.arrivals.pop_front();
            }
        } else if self.place_dirty && now >= self.next_place {
            self.place(settings, desk, now);
        }
    }
}
