//! Dependencies between jobs: waiting for them, the release of a job, and cancellation along with a dependency.
//!
//! All decisions follow from durable records alone: a dependency has ended once its final record is known to be in the
//! state service. The dependents of a cancelled job are therefore cancelled from that moment on, before their own
//! final records are written, and each later leader derives the same result.

use super::{Job, JobState, JobTable, WriteItem};
use crate::jobs::write_queue::WritePriority;
use oatloom_protocol::ids::{JobId, Mono, Revision};
use oatloom_protocol::wire::{JobStatus, Rank};
use std::collections::{BTreeMap, BTreeSet};

/// Rank and deadline that a job inherits from its dependents.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inherited {
    /// The highest rank of its unfinished dependents.
    pub rank: Option<Rank>,
    /// Latest end at which its dependents can still meet their deadlines.
    pub latest_end: Option<Mono>,
}

/// Dependencies between the jobs in the job table.
#[derive(Debug, Default)]
pub struct Dependencies {
    /// Waiting jobs by the dependency whose end is not known yet.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Dependencies that are not among the unfinished jobs of the job table: their final records have to be read.
    unresolved: BTreeSet<JobId>,
    /// Waiting jobs by the revision at which they were accepted: a job is accepted after all its dependencies.
    waiting: BTreeSet<(Revision, JobId)>,
    /// Whether a job was released since the last call of `take_released`.
    released: bool,
}

impl JobTable {
    /// Registers the dependencies of a newly inserted job.
    pub(super) fn await_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.spec.dependencies.is_empty() {
            return;
        }
        job.unmet_dependencies = job.spec.dependencies.iter().cloned().collect();
        job.set_state(JobState::Waiting, "waiting for its dependencies");
        let (accepted, unmet) = (job.live_revision, job.unmet_dependencies.clone());
        self.dependencies.waiting.insert((accepted, id.clone()));
        for dependency in unmet {
            let dependents = self.dependencies.dependents.entry(dependency.clone()).or_default();
            dependents.insert(id.clone());
            match self.jobs.get(&dependency) {
                Some(known) if known.cancelled_by.is_some() => self.cancel_dependents(&dependency),
                Some(known) if known.state != JobState::Finished => {
                    if known.live_revision >= accepted {
                        log::error!("job {id}: depends on {dependency}, which was accepted later");
                    }
                }
                _ => {
                    self.dependencies.unresolved.insert(dependency);
                }
            }
        }
    }

    /// Records that a dependency was inserted into the job table, so that its end is learned here without a read.
    pub(super) fn dependency_opened(&mut self, id: &JobId) {
        self.dependencies.unresolved.remove(id);
    }

    /// Dependencies whose final records have to be read.
    pub fn unresolved_dependencies(&self) -> impl Iterator<Item = &JobId> {
        self.dependencies.unresolved.iter()
    }

    /// Handles a damaged final record of a dependency: the dependents wait until their users cancel them.
    pub fn dependency_unreadable(&mut self, id: &JobId) {
        self.dependencies.unresolved.remove(id);
    }

    /// Applies the durable end of a job to its dependents: they are released once nothing else is unmet, or cancelled.
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
            job.unmet_dependencies.remove(id);
            if job.unmet_dependencies.is_empty() {
                self.release(&dependent, now, "all its dependencies are done");
            }
        }
    }

    /// Releases a waiting job, which may start from now on.
    pub(super) fn release(&mut self, id: &JobId, now: Mono, reason: &str) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.state == JobState::Waiting) else {
            return;
        };
        job.released = now;
        job.unmet_dependencies.clear();
        job.set_state(JobState::Open, reason);
        let (accepted, spec) = (job.live_revision, job.spec.clone());
        self.dependencies.waiting.remove(&(accepted, id.clone()));
        self.dependencies.released = true;
        self.arrivals.push_back((now, spec));
    }

    /// Whether a job was released since the last call.
    pub fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.dependencies.released)
    }

    /// Cancels all direct and indirect dependents of a cancelled job. Their status follows from its final record, so it
    /// is reported at once; their own final records are written as transactions have room for them.
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
                        job.set_state(
                            JobState::Ending(JobStatus::Cancelled),
                            "a dependency was cancelled",
                        );
                        let accepted = job.live_revision;
                        self.dependencies.waiting.remove(&(accepted, dependent.clone()));
                        self.enqueue(
                            WriteItem::FinalRecord(dependent.clone()),
                            WritePriority::Immediate,
                        );
                    }
                    JobState::Ending(JobStatus::Cancelled) => {}
                    state => {
                        log::error!(
                            "job {dependent}: is {state:?} although its dependency {dependency} was cancelled"
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

    /// Removes a job that ends from the waiting jobs.
    pub(super) fn stop_waiting(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let accepted = job.live_revision;
            self.dependencies.waiting.remove(&(accepted, id.clone()));
        }
    }

    /// Whether all direct and indirect dependencies of a waiting job are known not to be cancelled. Until then, an
    /// earlier leader may have reported the job itself as cancelled.
    pub(super) fn dependencies_known(&self, job: &Job) -> bool {
        if self.dependencies.unresolved.is_empty() {
            return true;
        }
        let mut visited: BTreeSet<&JobId> = BTreeSet::new();
        let mut to_visit: Vec<&JobId> = job.unmet_dependencies.iter().collect();
        while let Some(id) = to_visit.pop() {
            if self.dependencies.unresolved.contains(id) {
                return false;
            }
            if visited.insert(id)
                && let Some(job) = self.jobs.get(id)
            {
                to_visit.extend(&job.unmet_dependencies);
            }
        }
        true
    }

    /// Passes the ranks and deadlines of waiting jobs on to their dependencies. `latest_start` gives the time by
    /// which a job has to be released, if there is one. Jobs are visited from the last accepted to the first, so that
    /// one pass covers chains of any length.
    pub fn inherit(&mut self, latest_start: impl Fn(&Job) -> Option<Mono>) {
        let dependencies: Vec<JobId> = self.dependencies.dependents.keys().cloned().collect();
        for id in &dependencies {
            if let Some(job) = self.jobs.get_mut(id) {
                job.inherited = Inherited::default();
            }
        }
        let waiting: Vec<JobId> =
            self.dependencies.waiting.iter().rev().map(|(_, id)| id.clone()).collect();
        for id in waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            let (rank, latest_start, unmet) =
                (job.rank(), latest_start(job), job.unmet_dependencies.clone());
            for dependency in unmet {
                if let Some(job) = self.jobs.get_mut(&dependency) {
                    job.inherited.merge(rank, latest_start);
                }
            }
        }
    }
}

impl Inherited {
    /// Adds the rank and deadline of one dependent.
    fn merge(&mut self, rank: Rank, latest_end: Option<Mono>) {
        self.rank = self.rank.max(Some(rank));
        self.latest_end = match (self.latest_end, latest_end) {
            (Some(current), Some(new)) => Some(current.min(new)),
            (current, new) => current.or(new),
        };
    }
}

impl Job {
    /// The rank used for placement: the higher of its own and the inherited one.
    pub fn rank(&self) -> Rank {
        self.inherited.rank.map_or(self.spec.rank, |rank| rank.max(self.spec.rank))
    }
}
