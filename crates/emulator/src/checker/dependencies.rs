//! Rules about jobs that need other jobs: none starts too early, none is orphaned, and all of a pipeline end alike.

use super::{Checker, OnMachine, Told};
use oatloom_protocol::wire::{JobSpec, JobStatus};
use std::collections::BTreeSet;

impl Checker {
    /// A task starts: every job that its job needs is done by then, as workers completed their tasks.
    pub(super) fn check_not_early(&mut self, now: u64, spec: &JobSpec, task: &OnMachine) {
        let open = spec.dependencies.iter().find(|id| !self.all_done(id.as_str()));
        if let Some(open) = open {
            self.fail(now, "too_early", format!("{task:?} starts, it needs {open}"));
        }
    }

    /// Whether a job's end as cancelled can be true: its user cancelled it, or a job that it needs, directly or through
    /// others, may have ended as cancelled or failed.
    pub(super) fn may_be_cancelled(&self, job: &str) -> bool {
        let asked = |job: &str| self.told.get(job).is_some_and(|told| told.cancel_asked);
        asked(job)
            || self.ancestors(job).any(|id| {
                let done = self.over(id) == Some(JobStatus::Done);
                !done && (asked(id) || self.has_spent_repeats(id))
            })
    }

    /// When the user was first told that a job which this one needs, directly or through others, is cancelled.
    pub fn cancelled_before(&self, job: &str) -> Option<u64> {
        self.ancestors(job).filter_map(|id| self.told.get(id)?.cancelled_at).min()
    }

    /// Jobs that a job needs, directly or through others.
    fn ancestors<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a str> {
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut open = vec![job];
        std::iter::from_fn(move || {
            let id = open.pop()?;
            let needs = self.specs.get(id).map_or(&[][..], |spec| &spec.dependencies);
            open.extend(needs.iter().map(|need| need.as_str()).filter(|need| seen.insert(need)));
            Some(id)
        })
        .skip(1)
    }

    /// A user was told that a job is open, as asked at `asked`: not for too long after a job before it was cancelled. Of
    /// a job accepted later than that the time counts from its acceptance.
    pub(super) fn check_not_orphaned(&mut self, now: u64, asked: u64, job: &str) {
        let Some(cancelled_at) = self.cancelled_before(job) else { return };
        let accepted_at = self.told.get(job).map_or(0, |told| told.accepted_at);
        let since = cancelled_at.max(accepted_at);
        self.orphaned_ms = self.orphaned_ms.max(asked.saturating_sub(since));
        if asked > since + self.cancel_ms {
            let text = format!("{job} is open, a job before it was cancelled at {cancelled_at} ms");
            self.fail(now, "orphaned", text);
        }
    }

    /// A user was told of a job's end for the first time: it agrees with the ends told of jobs before and after it.
    pub(super) fn check_agrees(&mut self, now: u64, job: &str, end: JobStatus) {
        let needs = self.specs.get(job).map_or(&[][..], |spec| &spec.dependencies);
        let unmet = |id: &&str| self.over(id).is_some_and(|over| over != JobStatus::Done);
        let before = needs.iter().map(|id| id.as_str()).find(unmet).map(str::to_owned);
        let after = self.dependents_told(job, end);
        match (end, before, after) {
            (JobStatus::Done, Some(need), _) => {
                self.fail(now, "crossed", format!("{job} is done, {need} before it is not"));
            }
            (JobStatus::Done, _, Some(dependent)) => {
                let text = format!("{job} is done, {dependent} after it was cancelled by nobody");
                self.fail(now, "crossed", text);
            }
            (JobStatus::Cancelled | JobStatus::Failed, _, Some(dependent)) => {
                self.fail(
                    now,
                    "crossed",
                    format!("{job} is {end:?}, {dependent} after it is done"),
                );
            }
            _ => {}
        }
    }

    /// A job that needs this one directly and of which an end was told that this one's end does not allow.
    fn dependents_told(&self, job: &str, end: JobStatus) -> Option<String> {
        let told_wrong = |id: &str| match (end, self.over(id)) {
            (JobStatus::Done, Some(JobStatus::Cancelled)) => !self.may_be_cancelled(id),
            (JobStatus::Cancelled | JobStatus::Failed, Some(JobStatus::Done)) => true,
            _ => false,
        };
        let over = |told: &Told| told.over.is_some();
        let needs_it = |id: &str| {
            let spec = self.specs.get(id);
            spec.is_some_and(|spec| spec.dependencies.iter().any(|need| need.as_str() == job))
        };
        let mut ended = self.told.iter().filter(|(_, told)| over(told)).map(|(id, _)| id.as_str());
        ended.find(|id| needs_it(id) && told_wrong(id)).map(str::to_owned)
    }
}
