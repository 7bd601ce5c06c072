//! Troubles of machines' reports: copies of old ones that come to the next leader, machines that reach no controller, zones
//! that are cut off; and what a leader's book has to hold whatever comes.

use super::*;
use oatloom_core::reign::{Reign, Stage};
use oatloom_protocol::ids::{TaskId, Token};
use oatloom_protocol::wire::{Order, TaskPhase};
use rand::seq::SliceRandom;

/// When copies that were kept for the next leader are given to every controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Given {
    /// The moment it may give orders, before it has read its book.
    AsItBegins,
    /// Once a worker has obeyed it, over the next three seconds.
    OnceItActed,
}

/// Copies kept at most; of more a drawn one makes way, so that they are of all ages.
const KEPT_MOST: usize = 250;

struct Keep {
    rng: ChaCha8Rng,
    share: f64,
    given: Given,
    kept: Vec<Report>,
    /// The leader for whom copies were last given.
    last: Option<Token>,
}

/// What came about, so that a test can tell that its meeting did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    /// Copies given, and those given to a leader that had no report of their machine yet.
    pub given: usize,
    pub first: usize,
    /// Those of an earlier session of their worker, and with an attempt that is not on the machine any more.
    pub older_session: usize,
    pub older_attempt: usize,
    /// Reports of machines that could not be sent.
    pub refused: usize,
    /// Direct commands that came late: to a worker that has heard a later leader, and to one that has not although there is
    /// one; the stops of the latter for tasks that are on the machine.
    pub outranked: usize,
    pub deposed: usize,
    pub stopped: usize,
}

#[derive(Default)]
pub struct Machines {
    keep: Option<Keep>,
    mute: BTreeMap<String, u64>,
    pub met: Met,
    /// When each mute machine was sent a direct command.
    pub told: BTreeMap<String, Vec<u64>>,
    /// The latest message of each machine that a leader had taken up, with that leader's token.
    sorted: BTreeMap<HostId, (Token, Shift, u64)>,
}

impl World {
    /// From now on copies of a share of the reports are kept for the next leader.
    pub fn keep_reports(&mut self, share: f64, given: Given) {
        let rng = ChaCha8Rng::seed_from_u64(self.now ^ 0x6d61_6368);
        let last = self.leads().and_then(|n| self.reign_of(n)).map(|r| r.token);
        self.machines.keep = Some(Keep { rng, share, given, kept: Vec::new(), last });
    }

    /// Machines that hold a task and are up reach no controller for so long, every so many-th of them; how many.
    pub fn mute(&mut self, span: u64, every: usize) -> usize {
        let (now, until) = (self.now, self.now + span);
        let up = self.region.workers.iter().filter(|(_, w)| now >= w.up_at && !w.tasks.is_empty());
        let struck: Vec<String> = up.map(|(host, _)| host.clone()).step_by(every).collect();
        let count = struck.len();
        self.machines.mute.extend(struck.into_iter().map(|host| (host, until)));
        count
    }

    pub fn is_mute(&self, host: &str) -> bool {
        self.machines.mute.get(host).is_some_and(|until| self.now < *until)
    }

    /// A zone's machines and its controller reach nothing outside it; users and cloud still reach the controller.
    pub fn cut_zone(&mut self, zone: usize, span: u64) {
        self.nodes[zone].parted_until = self.now + span;
        for node in 0..3 {
            let others = (0..3).filter(|z| (*z == zone) != (node == zone));
            self.apart.extend(others.map(|z| (node, z, self.now + span)));
        }
    }

    pub fn reign_of(&self, node: usize) -> Option<&Reign> {
        self.nodes[node].core.as_ref()?.reign()
    }

    /// The reign of the node that may give orders, once it has read its book.
    pub fn ruling(&self) -> Option<&Reign> {
        self.reign_of(self.leads()?).filter(|reign| reign.stage == Stage::Ruling)
    }

    /// A report is about to leave its machine: whether it cannot, and whether a copy of it is kept.
    pub(super) fn before_report(&mut self, host: &str, report: &Report) -> bool {
        if let Some(keep) = &mut self.machines.keep
            && keep.rng.random_bool(keep.share)
        {
            if keep.kept.len() == KEPT_MOST {
                let at = keep.rng.random_range(0..KEPT_MOST);
                keep.kept.swap_remove(at);
            }
            keep.kept.push(report.clone());
        }
        let mute = self.is_mute(host);
        self.machines.met.refused += usize::from(mute);
        mute
    }

    /// A direct command comes to a machine, in time if its answer is waited for.
    pub(super) fn note_command(&mut self, host: &str, in_time: bool) {
        if in_time && self.is_mute(host) {
            self.machines.told.entry(host.to_owned()).or_default().push(self.now);
        }
    }

    /// A direct command that nobody waits for any more comes to a machine.
    pub(super) fn note_late_command(&mut self, host: &str, command: &Command) {
        let leader = self.leads().and_then(|n| self.reign_of(n)).map(|reign| reign.token);
        let Some(worker) = self.region.workers.get(host) else { return };
        let met = &mut self.machines.met;
        if worker.token > command.token.0 {
            met.outranked += 1;
        } else if worker.shift == command.shift.0 && leader.is_some_and(|now| now > command.token) {
            met.deposed += 1;
            let there = |order: &&Order| match order {
                Order::Stop { task, attempt, .. } => {
                    worker.tasks.iter().any(|((job, index, own), t)| {
                        t.phase != TaskPhase::Exited
                            && *own == attempt.0
                            && task.rsplit_once('/') == Some((job, index.to_string().as_str()))
                    })
                }
                _ => false,
            };
            met.stopped += command.orders.iter().filter(there).count();
        }
    }

    /// Gives kept copies to every controller when a new leader begins, or has acted: as they are, twice to those that do not
    /// lead, so that they pass them on, and once as if another controller had.
    pub(super) fn give_reports(&mut self) {
        let Some(node) = self.leads() else { return };
        let Some(token) = self.reign_of(node).map(|reign| reign.token) else { return };
        let Some(mut keep) = self.machines.keep.take() else { return };
        let acted = self.region.workers.values().any(|w| w.token == token.0);
        if keep.last == Some(token) || keep.given == Given::OnceItActed && !acted {
            self.machines.keep = Some(keep);
            return;
        }
        keep.last = Some(token);
        keep.kept.shuffle(&mut keep.rng);
        for report in &keep.kept {
            self.note_given(node, report);
            let span = if keep.given == Given::AsItBegins { 30 } else { 3_000 };
            for to in 0..3 {
                for forwarded in [false, to == node] {
                    let request = Request::Report(Box::new(report.clone()));
                    let delay = keep.rng.random_range(0..span);
                    let ask = Message::Request { node: to, from: From::Copy, request, forwarded };
                    self.send(delay, ask);
                }
            }
        }
        // Some come to the leader after next as well.
        keep.kept.truncate(KEPT_MOST / 4);
        self.machines.keep = Some(keep);
    }

    fn note_given(&mut self, leader: usize, report: &Report) {
        let machine = self.reign_of(leader).and_then(|r| r.fleet.machines.get(&report.host));
        let first = machine.is_none_or(|m| m.last_report.is_none());
        let worker = self.region.workers.get(report.host.as_str());
        let older_session = worker.is_some_and(|w| w.shift > report.shift.0);
        let gone = |w: &Worker| {
            report.tasks.iter().any(|row| {
                let Some((job, index)) = row.task.rsplit_once('/') else { return false };
                let index = index.parse().unwrap_or(0);
                !w.tasks.contains_key(&(job.to_owned(), index, row.attempt.0))
            })
        };
        let older_attempt = worker.is_some_and(gone);
        let met = &mut self.machines.met;
        met.given += 1;
        met.first += usize::from(first);
        met.older_session += usize::from(older_session);
        met.older_attempt += usize::from(older_attempt);
    }

    /// What must hold whatever reports come: the book of the leader holds every task that is on a machine, where it is, and a
    /// leader never goes back to an older message of a machine. Any rule about where tasks may start rests on it.
    pub fn look_at_book(&mut self) {
        let Some(reign) = self.leads().and_then(|n| self.reign_of(n)) else { return };
        if reign.stage != Stage::Ruling {
            return;
        }
        let token = reign.token;
        let mut wrong = Vec::new();
        for worker in self.region.workers.values() {
            for ((job, index, attempt), task) in &worker.tasks {
                let id = TaskId::new(&JobId::new(job), *index);
                let held = reign.book.held(&id).is_some_and(|h| {
                    h.host.as_str() == worker.host
                        && h.attempt.0 == *attempt
                        && h.shift.0 == worker.shift
                });
                if task.phase != TaskPhase::Exited && !held {
                    wrong.push(format!(
                        "{job}/{index} try {attempt} is on {}, shift {}, and the book of {token} has {:?}",
                        worker.host,
                        worker.shift,
                        reign.book.held(&id)
                    ));
                }
            }
        }
        let latest: Vec<(HostId, Shift, u64)> =
            reign.fleet.machines.values().map(|m| (m.id.clone(), m.shift, m.tally.0)).collect();
        for (host, shift, tally) in latest {
            let before = self.machines.sorted.insert(host.clone(), (token, shift, tally));
            if before.is_some_and(|b| b.0 == token && (b.1, b.2) > (shift, tally)) {
                wrong.push(format!("{host}: back from {before:?} to {shift:?} {tally}"));
            }
        }
        for text in wrong {
            self.region.checker.fail(self.now, "book", text);
        }
    }

    /// Tasks on machines whose user was told at least so long ago that their job is cancelled.
    pub fn lingering(&self, for_ms: u64) -> Vec<String> {
        let checker = &self.region.checker;
        let late = |job: &str| {
            checker.over(job) == Some(JobStatus::Cancelled)
                && checker.over_at(job).is_some_and(|at| self.now >= at + for_ms)
        };
        checker.on_machines().filter(|on| late(&on.job)).map(|on| format!("{on:?}")).collect()
    }

    /// Assignments in the leader's book that are not durable yet, to machines that have been up for less than so long.
    pub fn hasty_assignments(&self, up_for_ms: u64) -> usize {
        let Some(reign) = self.ruling() else { return 0 };
        let new = |host: &HostId| {
            let worker = self.region.workers.get(host.as_str());
            worker.is_some_and(|w| self.now >= w.up_at && self.now < w.up_at + up_for_ms)
        };
        let jobs = reign.book.jobs.values();
        jobs.flat_map(|j| j.holds().filter(|(i, h)| !j.durable(*i) && new(&h.host))).count()
    }

    /// Every so many-th machine that holds a task is cut off for so long, alone; how many.
    pub fn cut_machines(&mut self, span: u64, every: usize) -> usize {
        let now = self.now;
        let busy = self.region.workers.values_mut().filter(|w| now >= w.up_at);
        let busy = busy.filter(|w| !w.tasks.is_empty()).step_by(every);
        busy.map(|worker| worker.cut_until = now + span).count()
    }

    /// Lets time pass up to a moment, or to a broken rule; the book is looked at after every step.
    pub fn watch_to(&mut self, until: u64) {
        while self.before(until) {
            self.step();
            self.look_at_book();
        }
    }
}
