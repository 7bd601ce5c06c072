//! Faults that concern the reports of machines: duplicates of old ones delivered to the next leader, machines that reach no
//! controller, isolated zones; and the invariants of a leader's job table under them.

use super::*;
use oatloom_core::leader_term::{LeaderTerm, Stage};
use oatloom_protocol::ids::{TaskId, Token};
use oatloom_protocol::wire::{Order, TaskPhase};
use rand::seq::SliceRandom;

/// When the reports saved for the next leader are delivered to every controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayTiming {
    /// When it may issue orders, before it has loaded its job table.
    AtTermStart,
    /// Once a worker has acknowledged its token, spread over three seconds.
    AfterFirstAck,
}

/// Capacity for saved reports; further ones replace random ones, so that reports of all ages remain.
const MAX_SAVED_REPORTS: usize = 250;

struct SavedReports {
    rng: ChaCha8Rng,
    share: f64,
    timing: ReplayTiming,
    reports: Vec<Report>,
    /// The token of the leader to which reports were last delivered.
    last_token: Option<Token>,
}

/// Counts of what happened, so that a test can check that it covered its case.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    /// Reports delivered, and those delivered before the leader had any report of their machine.
    pub replayed: usize,
    pub before_first_report: usize,
    /// Those of an earlier session of their worker, and those with an attempt that is no longer on the machine.
    pub older_session: usize,
    pub older_attempt: usize,
    /// Reports that machines could not send.
    pub unsent_reports: usize,
    /// Direct commands that arrived late: at a worker that has acknowledged a later leader, and at one that has not although
    /// there is one; and the stop orders of the latter for tasks on the machine.
    pub outranked: usize,
    pub deposed: usize,
    pub stops_of_running_tasks: usize,
}

#[derive(Default)]
pub struct MachineFaults {
    saved: Option<SavedReports>,
    silent_until: BTreeMap<String, u64>,
    pub coverage: Coverage,
    /// When direct commands arrived at each silent machine.
    pub command_times: BTreeMap<String, Vec<u64>>,
    /// Token, session and number of the latest report of each machine that a leader had processed.
    last_processed: BTreeMap<HostId, (Token, WorkerSession, u64)>,
}

impl World {
    /// From now on saves copies of a share of the reports for the next leader.
    pub fn save_reports(&mut self, share: f64, timing: ReplayTiming) {
        let rng = ChaCha8Rng::seed_from_u64(self.now ^ 0x6d61_6368);
        let last_token = self.leader().and_then(|n| self.leader_term_of(n)).map(|term| term.token);
        self.machine_faults.saved =
            Some(SavedReports { rng, share, timing, reports: Vec::new(), last_token });
    }

    /// Every n-th of the busy machines that are up reaches no controller for this long; returns how many.
    pub fn silence_machines(&mut self, span: u64, every: usize) -> usize {
        let (now, until) = (self.now, self.now + span);
        let up = self.region.workers.iter().filter(|(_, w)| now >= w.up_at && !w.tasks.is_empty());
        let affected: Vec<String> = up.map(|(host, _)| host.clone()).step_by(every).collect();
        let count = affected.len();
        self.machine_faults.silent_until.extend(affected.into_iter().map(|host| (host, until)));
        count
    }

    pub fn is_silent(&self, host: &str) -> bool {
        self.machine_faults.silent_until.get(host).is_some_and(|until| self.now < *until)
    }

    /// A zone's machines and its controller reach nothing outside it; users and the cloud still reach the controller.
    pub fn isolate_zone(&mut self, zone: usize, span: u64) {
        self.nodes[zone].isolated_until = self.now + span;
        for node in 0..3 {
            let others = (0..3).filter(|z| (*z == zone) != (node == zone));
            self.partitions.extend(others.map(|z| (node, z, self.now + span)));
        }
    }

    pub fn leader_term_of(&self, node: usize) -> Option<&LeaderTerm> {
        self.nodes[node].controller.as_ref()?.leader_term()
    }

    /// The leader term of the node that may issue orders, once it has loaded its job table.
    pub fn active_term(&self) -> Option<&LeaderTerm> {
        self.leader_term_of(self.leader()?).filter(|term| term.stage == Stage::Active)
    }

    /// A report is about to leave its machine: may save a copy, and returns whether it cannot be sent.
    pub(super) fn intercept_report(&mut self, host: &str, report: &Report) -> bool {
        if let Some(saved) = &mut self.machine_faults.saved
            && saved.rng.random_bool(saved.share)
        {
            if saved.reports.len() == MAX_SAVED_REPORTS {
                let at = saved.rng.random_range(0..MAX_SAVED_REPORTS);
                saved.reports.swap_remove(at);
            }
            saved.reports.push(report.clone());
        }
        let silent = self.is_silent(host);
        self.machine_faults.coverage.unsent_reports += usize::from(silent);
        silent
    }

    /// A direct command arrives at a machine, in time if its sender still waits for the response.
    pub(super) fn record_command(&mut self, host: &str, in_time: bool) {
        if in_time && self.is_silent(host) {
            self.machine_faults.command_times.entry(host.to_owned()).or_default().push(self.now);
        }
    }

    /// A direct command whose sender no longer waits arrives at a machine.
    pub(super) fn record_late_command(&mut self, host: &str, command: &Command) {
        let leader = self.leader().and_then(|n| self.leader_term_of(n)).map(|term| term.token);
        let Some(worker) = self.region.workers.get(host) else { return };
        let coverage = &mut self.machine_faults.coverage;
        if worker.token > command.token.0 {
            coverage.outranked += 1;
        } else if worker.session == command.session.0
            && leader.is_some_and(|now| now > command.token)
        {
            coverage.deposed += 1;
            let stops_running_task = |order: &&Order| match order {
                Order::Stop { task, attempt, .. } => {
                    worker.tasks.iter().any(|((job, index, own), t)| {
                        t.phase != TaskPhase::Exited
                            && *own == attempt.0
                            && task.rsplit_once('/') == Some((job, index.to_string().as_str()))
                    })
                }
                _ => false,
            };
            coverage.stops_of_running_tasks +=
                command.orders.iter().filter(stops_running_task).count();
        }
    }

    /// Delivers saved reports to every controller when a new leader begins, or once a worker has acknowledged it: unchanged,
    /// twice to nodes that do not lead so that they forward them, and once as if forwarded by another controller.
    pub(super) fn replay_reports(&mut self) {
        let Some(node) = self.leader() else { return };
        let Some(token) = self.leader_term_of(node).map(|term| term.token) else { return };
        let Some(mut saved) = self.machine_faults.saved.take() else { return };
        let is_acknowledged = self.region.workers.values().any(|w| w.token == token.0);
        if saved.last_token == Some(token)
            || saved.timing == ReplayTiming::AfterFirstAck && !is_acknowledged
        {
            self.machine_faults.saved = Some(saved);
            return;
        }
        saved.last_token = Some(token);
        saved.reports.shuffle(&mut saved.rng);
        for report in &saved.reports {
            self.record_replayed(node, report);
            let span = if saved.timing == ReplayTiming::AtTermStart { 30 } else { 3_000 };
            for to in 0..3 {
                for forwarded in [false, to == node] {
                    let request = Request::Report(Box::new(report.clone()));
                    let delay = saved.rng.random_range(0..span);
                    let message = Message::Request {
                        node: to,
                        from: Sender::DuplicateReport,
                        request,
                        forwarded,
                    };
                    self.send(delay, message);
                }
            }
        }
        // Some are also delivered to the next leader after this one.
        saved.reports.truncate(MAX_SAVED_REPORTS / 4);
        self.machine_faults.saved = Some(saved);
    }

    fn record_replayed(&mut self, leader: usize, report: &Report) {
        let machine =
            self.leader_term_of(leader).and_then(|term| term.fleet.machines.get(&report.host));
        let is_first_report = machine.is_none_or(|m| m.last_report.is_none());
        let worker = self.region.workers.get(report.host.as_str());
        let older_session = worker.is_some_and(|w| w.session > report.session.0);
        let lists_absent_task = |w: &Worker| {
            report.tasks.iter().any(|row| {
                let Some((job, index)) = row.task.rsplit_once('/') else { return false };
                let index = index.parse().unwrap_or(0);
                !w.tasks.contains_key(&(job.to_owned(), index, row.attempt.0))
            })
        };
        let older_attempt = worker.is_some_and(lists_absent_task);
        let coverage = &mut self.machine_faults.coverage;
        coverage.replayed += 1;
        coverage.before_first_report += usize::from(is_first_report);
        coverage.older_session += usize::from(older_session);
        coverage.older_attempt += usize::from(older_attempt);
    }

    /// Invariants under any reports: the leader's job table holds every task that is on a machine, with its place, and a leader
    /// never goes back to an older report of a machine. All rules about where tasks may start depend on them.
    pub fn check_job_table(&mut self) {
        let Some(term) = self.leader().and_then(|n| self.leader_term_of(n)) else { return };
        if term.stage != Stage::Active {
            return;
        }
        let token = term.token;
        let mut violations = Vec::new();
        for worker in self.region.workers.values() {
            for ((job, index, attempt), task) in &worker.tasks {
                let id = TaskId::new(&JobId::new(job), *index);
                let is_assigned = term.job_table.assignment(&id).is_some_and(|h| {
                    h.host.as_str() == worker.host
                        && h.attempt.0 == *attempt
                        && h.session.0 == worker.session
                });
                if task.phase != TaskPhase::Exited && !is_assigned {
                    violations.push(format!(
                        "{job}/{index} attempt {attempt} is on {}, session {}, but the job table of {token} has {:?}",
                        worker.host,
                        worker.session,
                        term.job_table.assignment(&id)
                    ));
                }
            }
        }
        let latest: Vec<(HostId, WorkerSession, u64)> = term
            .fleet
            .machines
            .values()
            .map(|m| (m.id.clone(), m.session, m.report_seq.0))
            .collect();
        for (host, session, report_seq) in latest {
            let before = self
                .machine_faults
                .last_processed
                .insert(host.clone(), (token, session, report_seq));
            if before.is_some_and(|b| b.0 == token && (b.1, b.2) > (session, report_seq)) {
                violations.push(format!(
                    "{host}: went back from {before:?} to {session:?}, report {report_seq}"
                ));
            }
        }
        for text in violations {
            self.region.checker.report_violation(self.now, "job_table", text);
        }
    }

    /// Tasks that are on machines this long or longer after their user learned that the job is cancelled.
    pub fn running_after_cancel(&self, for_ms: u64) -> Vec<String> {
        let checker = &self.region.checker;
        let was_cancelled_long_ago = |job: &str| {
            checker.final_status(job) == Some(JobStatus::Cancelled)
                && checker.final_status_at(job).is_some_and(|at| self.now >= at + for_ms)
        };
        checker
            .on_machines()
            .filter(|on| was_cancelled_long_ago(&on.job))
            .map(|on| format!("{on:?}"))
            .collect()
    }

    /// Assignments in the leader's job table that are not durable yet, to machines that have been up for less than this long.
    pub fn assignments_to_new_machines(&self, up_for_ms: u64) -> usize {
        let Some(term) = self.active_term() else { return 0 };
        let is_new = |host: &HostId| {
            let worker = self.region.workers.get(host.as_str());
            worker.is_some_and(|w| self.now >= w.up_at && self.now < w.up_at + up_for_ms)
        };
        let jobs = term.job_table.jobs.values();
        jobs.flat_map(|j| {
            j.assignments().filter(|(i, h)| !j.assignment_durable(*i) && is_new(&h.host))
        })
        .count()
    }

    /// Every n-th machine that holds a task is partitioned for this long; returns how many.
    pub fn partition_machines(&mut self, span: u64, every: usize) -> usize {
        let now = self.now;
        let busy = self.region.workers.values_mut().filter(|w| now >= w.up_at);
        let busy = busy.filter(|w| !w.tasks.is_empty()).step_by(every);
        busy.map(|worker| worker.partitioned_until = now + span).count()
    }

    /// Runs to the given time, or to the first violated rule, and checks the job table after every step.
    pub fn run_checked_until(&mut self, until: u64) {
        while self.continues_before(until) {
            self.step();
            self.check_job_table();
        }
    }
}
