//! Rules about jobs that depend on other jobs: none starts before its dependencies are done, none stays open
//! after a dependency is cancelled, and the final statuses of a pipeline are consistent.

use super::{Checker, ClientView, PlacedTask};
use oatloom_protocol::wire::{JobSpec, JobStatus};
use std::collections::BTreeSet;

impl Checker {
    /// A task starts: workers must have completed all tasks of the jobs that its job depends on.
    pub(super) fn check_dependencies_done(&mut self, now: u64, spec: &JobSpec, task: &PlacedTask) {
        let incomplete = spec.dependencies.iter().find(|id| !self.is_job_done(id.as_str()));
        if let Some(incomplete) = incomplete {
            self.report_violation(
                now,
                "too_early",
                format!("{task:?} starts, it depends on {incomplete}"),
            );
        }
    }

    /// Whether a job may be shown as cancelled: its user requested it, or a direct or indirect dependency
    /// may have been cancelled or have failed.
    pub(super) fn may_be_cancelled(&self, job: &str) -> bool {
        let is_cancel_requested =
            |job: &str| self.client_views.get(job).is_some_and(|view| view.cancel_requested);
        is_cancel_requested(job)
            || self.find_ancestors(job).any(|id| {
                let done = self.final_status(id) == Some(JobStatus::Done);
                !done && (is_cancel_requested(id) || self.has_exhausted_retries(id))
            })
    }

    /// When the user first saw a direct or indirect dependency of this job as cancelled.
    pub fn ancestor_cancelled_at(&self, job: &str) -> Option<u64> {
        self.find_ancestors(job).filter_map(|id| self.client_views.get(id)?.cancelled_at).min()
    }

    /// Direct and indirect dependencies of a job.
    fn find_ancestors<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a str> {
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut pending = vec![job];
        std::iter::from_fn(move || {
            let id = pending.pop()?;
            let dependencies = self.specs.get(id).map_or(&[][..], |spec| &spec.dependencies);
            pending.extend(
                dependencies
                    .iter()
                    .map(|dependency| dependency.as_str())
                    .filter(|dependency| visited.insert(dependency)),
            );
            Some(id)
        })
        .skip(1)
    }

    /// A request sent at `sent_at` showed a job as open: this is allowed only for a limited time after a
    /// dependency was cancelled. For a job that was accepted after that, the time counts from its acceptance.
    pub(super) fn check_not_orphaned(&mut self, now: u64, sent_at: u64, job: &str) {
        let Some(cancelled_at) = self.ancestor_cancelled_at(job) else { return };
        let accepted_at = self.client_views.get(job).map_or(0, |view| view.accepted_at);
        let since = cancelled_at.max(accepted_at);
        self.max_orphaned_ms = self.max_orphaned_ms.max(sent_at.saturating_sub(since));
        if sent_at > since + self.cancel_timeout_ms {
            let text = format!("{job} is open, a dependency was cancelled at {cancelled_at} ms");
            self.report_violation(now, "orphaned", text);
        }
    }

    /// A user has seen a final status of a job for the first time: it must be consistent with the final
    /// statuses that were seen for its dependencies and dependents.
    pub(super) fn check_final_statuses(&mut self, now: u64, job: &str, final_status: JobStatus) {
        let dependencies = self.specs.get(job).map_or(&[][..], |spec| &spec.dependencies);
        let is_cancelled_or_failed =
            |id: &&str| self.final_status(id).is_some_and(|status| status != JobStatus::Done);
        let dependency = dependencies
            .iter()
            .map(|id| id.as_str())
            .find(is_cancelled_or_failed)
            .map(str::to_owned);
        let dependent = self.find_contradicting_dependent(job, final_status);
        match (final_status, dependency, dependent) {
            (JobStatus::Done, Some(dependency), _) => {
                self.report_violation(
                    now,
                    "crossed",
                    format!("{job} is done, {dependency} which it depends on is not"),
                );
            }
            (JobStatus::Done, _, Some(dependent)) => {
                let text = format!(
                    "{job} is done, {dependent} which depends on it was cancelled without a request"
                );
                self.report_violation(now, "crossed", text);
            }
            (JobStatus::Cancelled | JobStatus::Failed, _, Some(dependent)) => {
                self.report_violation(
                    now,
                    "crossed",
                    format!("{job} is {final_status:?}, {dependent} which depends on it is done"),
                );
            }
            _ => {}
        }
    }

    /// A direct dependent of this job whose final status, as seen by the user, contradicts the final status
    /// of this job.
    fn find_contradicting_dependent(&self, job: &str, final_status: JobStatus) -> Option<String> {
        let is_contradictory = |id: &str| match (final_status, self.final_status(id)) {
            (JobStatus::Done, Some(JobStatus::Cancelled)) => !self.may_be_cancelled(id),
            (JobStatus::Cancelled | JobStatus::Failed, Some(JobStatus::Done)) => true,
            _ => false,
        };
        let has_ended = |view: &ClientView| view.final_status.is_some();
        let is_dependent = |id: &str| {
            let spec = self.specs.get(id);
            spec.is_some_and(|spec| {
                spec.dependencies.iter().any(|dependency| dependency.as_str() == job)
            })
        };
        let mut ended =
            self.client_views.iter().filter(|(_, view)| has_ended(view)).map(|(id, _)| id.as_str());
        ended.find(|id| is_dependent(id) && is_contradictory(id)).map(str::to_owned)
    }
}
