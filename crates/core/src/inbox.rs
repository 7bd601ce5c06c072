//! Admission control: which of the inputs that wait for a controller's one thread is taken next, and which are dropped since
//! their callers have given up, or will have before an answer reaches them.
//!
//! A queue without age collapses: once it is longer than its callers' patience every answer comes too late, the callers come
//! again, and the work for answers that nobody hears leaves no time for others.

use crate::api::Request;
use crate::constants::*;
use oatloom_protocol::ids::{Millis, Mono, Token};
use std::collections::VecDeque;

/// What an input is about, by importance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputKind {
    /// Health probes, and what peers say of themselves: few, cheap, and what traffic is steered by.
    Control,
    /// The report of a machine that has tasks and has not heard the present leader: unanswered for a lease, its tasks are
    /// killed, and much of that lease may be over.
    Report,
    /// The same of a machine that has heard the present leader.
    KnownReport,
    /// A question about a job, or its cancellation: mostly answered from memory.
    Question,
    /// The submission of a job.
    Submission,
    /// The report of a machine without tasks: nothing is lost if it comes later.
    IdleReport,
    /// Graphs and the account of usage.
    Other,
}

impl InputKind {
    pub const ALL: [Self; 7] = [
        Self::Control,
        Self::Report,
        Self::KnownReport,
        Self::Question,
        Self::Submission,
        Self::IdleReport,
        Self::Other,
    ];

    /// What kind of input a request is. `leader`: the token of whoever leads, as far as it is known.
    pub fn of(request: &Request, leader: Option<Token>) -> Self {
        match request {
            Request::Up | Request::Notes(_) | Request::Greet(_) => Self::Control,
            Request::Report(report) if report.tasks.is_empty() => Self::IdleReport,
            Request::Report(report) if Some(report.token) == leader => Self::KnownReport,
            Request::Report(_) => Self::Report,
            Request::View(_) | Request::Abort(_) => Self::Question,
            Request::Submit(_) => Self::Submission,
            Request::Graph(_) | Request::Usage(_) => Self::Other,
        }
    }

    /// How many of a kind are taken in a round while all kinds wait. Whoever polls has a share that no number of reports
    /// takes, and the other way round.
    fn weight(self) -> u32 {
        match self {
            Self::Control => 8,
            Self::Report => 8,
            Self::KnownReport => 8,
            Self::Question => 6,
            Self::Submission => 3,
            Self::IdleReport => 2,
            Self::Other => 1,
        }
    }

    /// How long an input may wait and still be worth an answer. `forwarded`: it came from a peer, which waits less long.
    pub fn patience(self, forwarded: bool) -> Millis {
        match self {
            Self::Control => CONTROL_AGE_MS,
            _ if forwarded => FORWARDED_AGE_MS,
            Self::Report | Self::KnownReport | Self::IdleReport => REPORT_AGE_MS,
            Self::Question => QUESTION_AGE_MS,
            Self::Submission | Self::Other => SUBMISSION_AGE_MS,
        }
    }
}

/// An input that waits.
#[derive(Debug)]
struct Waiting<T> {
    item: T,
    since: Mono,
    /// When it is no longer worth an answer.
    until: Mono,
}

/// What becomes of an input.
#[derive(Debug, PartialEq)]
pub enum Admitted<T> {
    /// It is its turn; how long it has waited.
    Take(T, Millis),
    /// It waited too long: its caller is told at once to come back after so many seconds (`Retry-After`).
    Drop(T, u32),
}

/// Inputs that wait, by kind.
#[derive(Debug)]
pub struct Inbox<T> {
    queues: [VecDeque<Waiting<T>>; InputKind::ALL.len()],
    /// What is left to each kind in this round.
    credits: [u32; InputKind::ALL.len()],
    /// Most inputs of a kind that wait.
    most: usize,
    /// How many were dropped since the last call of [`Inbox::take_dropped`].
    dropped: u32,
    /// How many were ever dropped: spreads the return of their callers.
    spread: u32,
}

impl<T> Inbox<T> {
    /// `most`: how many callers there can be.
    pub fn new(most: usize) -> Self {
        Self {
            queues: InputKind::ALL.map(|_| VecDeque::new()),
            credits: InputKind::ALL.map(InputKind::weight),
            most: most.max(1),
            dropped: 0,
            spread: 0,
        }
    }

    /// Adds an input; the oldest of its kind has to go if there is no room, since its caller is gone most likely.
    pub fn push(
        &mut self,
        now: Mono,
        kind: InputKind,
        forwarded: bool,
        item: T,
    ) -> Option<Admitted<T>> {
        let queue = &mut self.queues[kind as usize];
        let oldest = (queue.len() >= self.most).then(|| queue.pop_front()).flatten();
        let until = now.plus(kind.patience(forwarded));
        queue.push_back(Waiting { item, since: now, until });
        oldest.map(|oldest| self.drop_one(oldest.item))
    }

    /// The next input, and whether it is worth an answer; `None`: nothing waits.
    pub fn pop(&mut self, now: Mono) -> Option<Admitted<T>> {
        let kind = self.next_kind()?;
        let waiting = self.queues[kind as usize].pop_front()?;
        if now >= waiting.until {
            return Some(self.drop_one(waiting.item));
        }
        self.credits[kind as usize] -= 1;
        Some(Admitted::Take(waiting.item, now.since(waiting.since)))
    }

    /// The most important kind that waits and has credit left in this round; a new round begins when none has.
    fn next_kind(&mut self) -> Option<InputKind> {
        let waits = |kind: &InputKind| !self.queues[*kind as usize].is_empty();
        let first = InputKind::ALL.into_iter().find(waits)?;
        let has_credit = |kind: &InputKind| waits(kind) && self.credits[*kind as usize] > 0;
        let found = InputKind::ALL.into_iter().find(has_credit);
        if found.is_none() {
            self.credits = InputKind::ALL.map(InputKind::weight);
        }
        Some(found.unwrap_or(first))
    }

    fn drop_one(&mut self, item: T) -> Admitted<T> {
        self.dropped += 1;
        self.spread = self.spread.wrapping_add(1);
        let retry_after_s = 1 + self.spread % RETRY_SPREAD_S;
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
