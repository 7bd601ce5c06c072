//! Admission control: which of the inputs queued for a controller's single thread is handled next, and which are dropped
//! because their callers have timed out, or will have before an answer reaches them.
//!
//! Without an age limit an overloaded queue collapses: once inputs wait longer than their callers' timeout, every
//! answer comes too late, the callers retry, and the work on answers that nobody receives leaves no time for others.

use crate::api::Request;
use crate::constants::*;
use oatloom_protocol::ids::{HostId, Millis, Mono, Token};
use std::collections::{BTreeSet, VecDeque};

/// Kind of an input, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputKind {
    /// Health probes and peer messages: few and cheap, and traffic is routed by them.
    Control,
    /// The report of a machine that has tasks and has not acknowledged the current leader: its tasks are killed if it
    /// gets no answer for the length of a lease, and much of that lease may have passed.
    Report,
    /// The same of a machine that has acknowledged the current leader.
    AcknowledgedReport,
    /// A query about a job, or its cancellation: mostly answered from memory.
    Query,
    /// The submission of a job.
    Submission,
    /// The report of a machine without tasks: nothing is lost by a delay.
    IdleReport,
    /// Requests on graphs and on usage accounting.
    Other,
}

impl InputKind {
    pub const ALL: [Self; 7] = [
        Self::Control,
        Self::Report,
        Self::AcknowledgedReport,
        Self::Query,
        Self::Submission,
        Self::IdleReport,
        Self::Other,
    ];

    /// Classifies a request. `leader`: token of the current leader, if known.
    pub fn of(request: &Request, leader: Option<Token>) -> Self {
        match request {
            Request::HealthProbe | Request::LeaderHints(_) | Request::Gossip(_) => Self::Control,
            Request::Report(report) if report.tasks.is_empty() => Self::IdleReport,
            Request::Report(report) if Some(report.token) == leader => Self::AcknowledgedReport,
            Request::Report(_) => Self::Report,
            Request::View(_) | Request::Abort(_) => Self::Query,
            Request::Submit(_) => Self::Submission,
            Request::Graph(_) | Request::Usage(_) => Self::Other,
        }
    }

    /// How many inputs of a kind are taken per round while all kinds wait. No number of reports can take the share of
    /// queries, nor the other way round.
    fn weight(self) -> u32 {
        match self {
            Self::Control => 8,
            Self::Report => 8,
            Self::AcknowledgedReport => 8,
            Self::Query => 6,
            Self::Submission => 3,
            Self::IdleReport => 2,
            Self::Other => 1,
        }
    }

    /// How long an input may wait and still be worth an answer. `forwarded`: it came from a peer, whose timeout is
    /// shorter.
    pub fn max_wait(self, forwarded: bool) -> Millis {
        match self {
            Self::Control => MAX_CONTROL_AGE_MS,
            _ if forwarded => MAX_FORWARDED_AGE_MS,
            Self::Report | Self::AcknowledgedReport | Self::IdleReport => MAX_REPORT_AGE_MS,
            Self::Query => MAX_QUERY_AGE_MS,
            Self::Submission | Self::Other => MAX_SUBMISSION_AGE_MS,
        }
    }
}

/// Machines whose last report was dropped. Their next report has priority over those of machines that were answered;
/// otherwise a lease could expire because a machine's reports meet a full queue again and again.
#[derive(Debug, Default)]
pub struct DroppedReports {
    machines: BTreeSet<HostId>,
}

impl DroppedReports {
    /// Classifies a request, taking into account whether its machine's last report was dropped.
    pub fn classify(&self, request: &Request, leader: Option<Token>) -> InputKind {
        match (InputKind::of(request, leader), request) {
            (InputKind::AcknowledgedReport, Request::Report(report))
                if self.machines.contains(&report.host) =>
            {
                InputKind::Report
            }
            (kind, _) => kind,
        }
    }

    /// Records that a request was dropped.
    pub fn record_dropped(&mut self, request: &Request) {
        if let Request::Report(report) = request {
            self.machines.insert(report.host.clone());
        }
    }

    /// Records that a request is being handled.
    pub fn record_handled(&mut self, request: &Request) {
        if let Request::Report(report) = request {
            self.machines.remove(&report.host);
        }
    }
}

/// A queued input.
#[derive(Debug)]
struct QueuedInput<T> {
    item: T,
    queued_at: Mono,
    /// From when on it is no longer worth an answer.
    deadline: Mono,
}

/// What to do with an input.
#[derive(Debug, PartialEq)]
pub enum Admitted<T> {
    /// Handle it; with the time it has waited.
    Take(T, Millis),
    /// It waited too long: ask its caller to retry after this many seconds (`Retry-After`).
    Drop(T, u32),
}

/// Queued inputs by kind.
#[derive(Debug)]
pub struct Inbox<T> {
    queues: [VecDeque<QueuedInput<T>>; InputKind::ALL.len()],
    /// How many inputs of each kind may still be taken in this round.
    credits: [u32; InputKind::ALL.len()],
    /// Maximum number of queued inputs of one kind.
    max_per_kind: usize,
    /// How many were dropped since the last call of [`Inbox::take_dropped`].
    dropped: u32,
    /// How many inputs were dropped in total: spreads the retries of their callers over time.
    dropped_in_total: u32,
}

impl<T> Inbox<T> {
    /// `max_per_kind`: maximum number of callers.
    pub fn new(max_per_kind: usize) -> Self {
        Self {
            queues: InputKind::ALL.map(|_| VecDeque::new()),
            credits: InputKind::ALL.map(InputKind::weight),
            max_per_kind: max_per_kind.max(1),
            dropped: 0,
            dropped_in_total: 0,
        }
    }

    /// Queues an input; if the queue is full, the oldest of its kind is dropped, whose caller has most likely timed out.
    pub fn push(
        &mut self,
        now: Mono,
        kind: InputKind,
        forwarded: bool,
        item: T,
    ) -> Option<Admitted<T>> {
        let queue = &mut self.queues[kind as usize];
        let oldest = (queue.len() >= self.max_per_kind).then(|| queue.pop_front()).flatten();
        let deadline = now.plus(kind.max_wait(forwarded));
        queue.push_back(QueuedInput { item, queued_at: now, deadline });
        oldest.map(|oldest| self.drop_one(oldest.item))
    }

    /// Returns the next input and whether it is still worth an answer; `None` if nothing is queued.
    pub fn pop(&mut self, now: Mono) -> Option<Admitted<T>> {
        let kind = self.next_kind()?;
        let input = self.queues[kind as usize].pop_front()?;
        if now >= input.deadline {
            return Some(self.drop_one(input.item));
        }
        self.credits[kind as usize] -= 1;
        Some(Admitted::Take(input.item, now.since(input.queued_at)))
    }

    /// The most important queued kind with credit left in this round; a new round begins when none has any.
    fn next_kind(&mut self) -> Option<InputKind> {
        let is_queued = |kind: &InputKind| !self.queues[*kind as usize].is_empty();
        let first = InputKind::ALL.into_iter().find(is_queued)?;
        let has_credit = |kind: &InputKind| is_queued(kind) && self.credits[*kind as usize] > 0;
        let found = InputKind::ALL.into_iter().find(has_credit);
        if found.is_none() {
            self.credits = InputKind::ALL.map(InputKind::weight);
        }
        Some(found.unwrap_or(first))
    }

    fn drop_one(&mut self, item: T) -> Admitted<T> {
        self.dropped += 1;
        self.dropped_in_total = self.dropped_in_total.wrapping_add(1);
        let retry_after_s = 1 + self.dropped_in_total % RETRY_SPREAD_S;
        Admitted::Drop(item, retry_after_s)
    }

    /// How many inputs were dropped since the last call.
    pub fn take_dropped(&mut self) -> u32 {
        std::mem::take(&mut self.dropped)
    }

    pub fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}

#[cfg(test)]
mod tests;
