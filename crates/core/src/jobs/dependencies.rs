//! Dependencies between jobs: what a job waits for, when it is released, and what is cancelled with a job that it needs.
//!
//! Everything here follows from durable records alone: a dependency has ended once its final record is known to be in the
//! state service. A dependent of a job that was cancelled is therefore cancelled from that moment on, before its own
//! final record is written, and each later leader derives the same again.

use super::{Book, Item, Job, JobState};
use crate::jobs::writing::Haste;
use oatloom_protocol::ids::{JobId, Mono, Revision};
use oatloom_protocol::wire::{JobStatus, Rank};
use std::collections::{BTreeMap, BTreeSet};

/// What a job inherits from the jobs that need it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inherited {
    /// The highest rank of any open job that needs it.
    pub rank: Option<Rank>,
    /// By when it has to end so that what follows it can meet its deadline.
    pub latest_end: Option<Mono>,
}

/// What the jobs of the book need of each other.
#[derive(Debug, Default)]
pub struct Dependencies {
    /// Jobs that wait for a job whose end is not known here yet.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Those of the needed jobs that are not open here: their final records have to be read.
    unresolved: BTreeSet<JobId>,
    /// Jobs that wait, by the revision at which they were accepted: a job is accepted after all jobs that it needs.
    waiting: BTreeSet<(Revision, JobId)>,
    /// Whether a job was released since that was last asked.
    released: bool,
}

impl Book {
    /// Registers what a job that was just taken up needs, and what of that is known already.
    pub(super) fn await_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.dependencies.is_empty() {
            return;
        }
        job.unmet = job.spec.dependencies.iter().cloned().collect();
        job.enter(JobState::Waiting, "needs other jobs done");
        let (accepted, unmet) = (job.live_stamp, job.unmet.clone());
        self.dependencies.waiting.insert((accepted, id.clone()));
        for dependency in unmet {
            let dependents = self.dependencies.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.clone());
            match self.jobs.get(&dependency) {
                Some(known) if known.cancelled_by.is_some() => self.cancel_dependents(&dependency),
                Some(known) if known.state != JobState::Over => {
                    if known.live_stamp >= accepted {
                        log::error!("job {id}: needs {dependency}, which was accepted later");
                    }
                }
                _ => {
                    self.dependencies.unresolved.insert(dependency);
                }
            }
        }
    }

    /// A job was taken up: jobs that need it hear of its end here.
    pub(super) fn dependency_opened(&mut self, id: &JobId) {
        self.dependencies.unresolved.remove(id);
    }

    /// Needed jobs whose final records have to be read.
    pub fn unresolved_dependencies(&self) -> impl Iterator<Item = &JobId> {
        self.dependencies.unresolved.iter()
    }

    /// The final record of a needed job is damaged: what needs it waits, until its user cancels it.
    pub fn dependency_unreadable(&mut self, id: &JobId) {
        self.dependencies.unresolved.remove(id);
    }

    /// The end of a job is durable: what needs it goes on, or is cancelled with it.
    pub fn dependency_ended(&mut self, id: &JobId, status: JobStatus, now: Mono) {
        self.dependencies.unresolved.remove(id);
        if !self.dependencies.dependents.contains_key(id) {
            return;
        }
        if status != JobStatus::Done {
            self.cancel_dependents(id);
            return;
        }
        for dependent in self.dependencies.dependents.remove(id).unwrap_or_default() {
            let Some(job) = self.jobs.get_mut(&dependent) else { continue };
            job.unmet.remove(id);
            if job.unmet.is_empty() {
                self.release(&dependent, now, "all jobs that it needs are done");
            }
        }
    }

    /// A waiting job may start.
    pub(super) fn release(&mut self, id: &JobId, now: Mono, why: &str) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.state == JobState::Waiting) else {
            return;
        };
        job.released = now;
        job.unmet.clear();
        job.enter(JobState::Open, why);
        let (accepted, spec) = (job.live_stamp, job.spec.clone());
        self.dependencies.waiting.remove(&(accepted, id.clone()));
        self.dependencies.released = true;
        self.arrivals.push_back((now, spec));
    }

    /// Whether a job was released since the last call.
    pub fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.dependencies.released)
    }

    /// Cancels all jobs that need a cancelled one, directly or through others. Their ends follow from its record, so they
    /// are told at once; their own records are written as there is room for them.
    fn cancel_dependents(&mut self, id: &JobId) {
        let mut cancelled = vec![id.clone()];
        while let Some(dependency) = cancelled.pop() {
            let dependents = self.dependencies.dependents.remove(&dependency).unwrap_or_default();
            for dependent in dependents {
                let Some(job) = self.jobs.get_mut(&dependent) else { continue };
                if job.cancelled_by.is_some() {
                    continue;
                }
                match job.state {
                    JobState::Waiting => {
                        job.enter(
                            JobState::Ending(JobStatus::Cancelled),
                            "a job that it needs was cancelled",
                        );
                        let accepted = job.live_stamp;
                        self.dependencies.waiting.remove(&(accepted, dependent.clone()));
                        self.enqueue(Item::End(dependent.clone()), Haste::Soon);
                    }
                    JobState::Ending(JobStatus::Cancelled) => {}
                    state => {
                        log::error!(
                            "job {dependent}: {state:?}, though {dependency} was cancelled"
                        );
                        continue;
                    }
                }
                if let Some(job) = self.jobs.get_mut(&dependent) {
                    job.cancelled_by = Some(dependency.clone());
                }
                cancelled.push(dependent);
            }
        }
    }

    /// A job that waited ends otherwise than by a dependency.
    pub(super) fn stop_waiting(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let accepted = job.live_stamp;
            self.dependencies.waiting.remove(&(accepted, id.clone()));
        }
    }

    /// Whether it is known of everything that a waiting job needs, through any number of others, that it was not
    /// cancelled. Until then an earlier leader may have told its user that the job itself is cancelled.
    pub(super) fn dependencies_known(&self, job: &Job) -> bool {
        if self.dependencies.unresolved.is_empty() {
            return true;
        }
        let mut seen: BTreeSet<&JobId> = BTreeSet::new();
        let mut open: Vec<&JobId> = job.unmet.iter().collect();
        while let Some(id) = open.pop() {
            if self.dependencies.unresolved.contains(id) {
                return false;
            }
            if seen.insert(id)
                && let Some(job) = self.jobs.get(id)
            {
                open.extend(&job.unmet);
            }
        }
        true
    }

    /// Passes ranks and deadlines on to the jobs that waiting ones need. `latest_start` says by when a job has to be
    /// released, if that is bounded. The last accepted goes first, so that one pass serves chains of any length.
    pub fn inherit(&mut self, latest_start: impl Fn(&Job) -> Option<Mono>) {
        let needed: Vec<JobId> = self.dependencies.dependents.keys().cloned().collect();
        for id in &needed {
            if let Some(job) = self.jobs.get_mut(id) {
                job.inherited = Inherited::default();
            }
        }
        let waiting: Vec<JobId> =
            self.dependencies.waiting.iter().rev().map(|(_, id)| id.clone()).collect();
        for id in waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            let (rank, latest_start, unmet) = (job.rank(), latest_start(job), job.unmet.clone());
            for dependency in unmet {
                if let Some(job) = self.jobs.get_mut(&dependency) {
                    job.inherited.raise(rank, latest_start);
                }
            }
        }
    }
}

impl Inherited {
    fn raise(&mut self, rank: Rank, latest_end: Option<Mono>) {
        self.rank = self.rank.max(Some(rank));
        self.latest_end = match (self.latest_end, latest_end) {
            (Some(known), Some(new)) => Some(known.min(new)),
            (known, new) => known.or(new),
        };
    }
}

impl Job {
    /// The rank that it is placed with: its own, or the highest of the jobs that need it.
    pub fn rank(&self) -> Rank {
        self.inherited.rank.map_or(self.spec.rank, |rank| rank.max(self.spec.rank))
    }
}
