//! Client side of the state service: operations, replies, and the rate limiter that keeps this controller
//! within its share of the service's budgets.

use crate::constants::*;
use oatloom_protocol::ids::{LeaseId, Millis, Mono, Revision};
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Changes, Page, Row, Txn};
use std::collections::{BTreeMap, VecDeque};

/// An operation of the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    Get {
        key: String,
    },
    List {
        prefix: String,
        after: String,
    },
    Txn(Txn),
    Grant {
        ttl_ms: u64,
    },
    Touch {
        lease: LeaseId,
    },
    Revoke {
        lease: LeaseId,
    },
    /// Changes after a revision; answered at once.
    Changes {
        prefix: String,
        after: Revision,
    },
    /// Changes after a revision, as a long poll.
    Follow {
        prefix: String,
        after: Revision,
    },
}

/// The outcome of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    Found(Row),
    Missing(Revision),
    Page(Page),
    Committed(Revision),
    Conflict(Vec<String>),
    Granted(LeaseId),
    Touched,
    Changes(Changes),
    TooOld,
    NoSuchLease,
    /// 429: a budget is exceeded; not executed.
    Throttled,
    /// 503: not executed.
    Refused,
    /// 400, or an answer that cannot be parsed.
    Malformed(String),
    /// No answer: the operation may have been executed, or may still be.
    Lost,
    /// Never sent: it waited too long for the rate limiter.
    Unsent,
}

/// Which queue an operation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OpClass {
    /// Leases and the leader key. Never paced, since they are few.
    Lease,
    /// Long polls. Never paced, since they are few.
    Watch,
    /// The writer of the leader, and its own reads.
    Write,
    /// Submissions, reads for users, and loading.
    General,
}

/// Identifies an operation of this client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// A token bucket with a capacity of half a second's refill, and at least one token.
#[derive(Debug)]
struct TokenBucket {
    level: f64,
    /// Tokens per second.
    rate: f64,
    refilled_at: Mono,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        let empty = Self { level: 0.0, rate, refilled_at: Mono(0) };
        Self { level: empty.capacity(), ..empty }
    }

    fn capacity(&self) -> f64 {
        (self.rate / 2.0).max(1.0)
    }

    fn level_at(&self, now: Mono) -> f64 {
        (self.level + now.since(self.refilled_at).as_secs() * self.rate).min(self.capacity())
    }

    fn refill(&mut self, now: Mono) {
        self.level = self.level_at(now);
        self.refilled_at = now;
    }
}

/// An operation that waits for the rate limiter.
#[derive(Debug)]
struct QueuedOp {
    id: OpId,
    class: OpClass,
    op: StoreOp,
    expires_at: Mono,
}

/// Paced client of the state service: queues operations and decides which may be sent now.
#[derive(Debug)]
pub struct StoreClient<P> {
    requests: TokenBucket,
    changes: TokenBucket,
    /// Requests and changes per second that the service allows to all controllers.
    rates: (f64, f64),
    queue: VecDeque<QueuedOp>,
    /// Queued and sent operations that are not answered yet.
    purposes: BTreeMap<OpId, (OpClass, P)>,
    general_inflight: usize,
    /// Changes sent by the writer in excess of those sent for submissions.
    writer_lead: f64,
    paused_until: Mono,
    leading: bool,
    /// Whether there seems to be no leader, so that all controllers share the leader's part of the budgets.
    leaderless: bool,
    /// Number of controllers.
    controllers: usize,
    /// When the service last reported that a budget was exceeded.
    throttled_at: Option<Mono>,
    next_id: u64,
    last_success: Mono,
}

/// The queue for the rate limiter is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Number of changes in an operation.
fn change_count(op: &StoreOp) -> f64 {
    match op {
        StoreOp::Txn(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

impl<P> StoreClient<P> {
    pub fn new(facts: &StateFacts, controllers: usize) -> Self {
        let rates = (facts.rps, facts.write_rps);
        Self {
            requests: TokenBucket::new(rates.0 * FOLLOWER_BUDGET_SHARE),
            changes: TokenBucket::new(rates.1 * FOLLOWER_BUDGET_SHARE),
            rates,
            queue: VecDeque::new(),
            purposes: BTreeMap::new(),
            general_inflight: 0,
            writer_lead: 0.0,
            paused_until: Mono(0),
            leading: false,
            leaderless: false,
            controllers: controllers.max(1),
            throttled_at: None,
            next_id: 0,
            last_success: Mono(0),
        }
    }

    /// Sets whether this controller leads, and with that its share of the budgets.
    pub fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
        // The balance of an earlier leader term does not matter any more.
        self.writer_lead = 0.0;
        self.leaderless = false;
        self.update_rates();
    }

    /// Sets whether there seems to be no leader.
    pub fn set_leaderless(&mut self, leaderless: bool) {
        if leaderless != self.leaderless && !self.leading {
            log::debug!("state service: leaderless: {leaderless}");
            self.leaderless = leaderless;
            self.update_rates();
        }
    }

    /// Adopts limits that the service is known to apply now or soon. Tokens beyond the new capacity are lost.
    pub fn set_limits(&mut self, facts: &StateFacts) {
        let rates = (facts.rps, facts.write_rps);
        if rates != self.rates {
            log::info!(
                "state service: limits changed to {} requests and {} changes per second",
                rates.0,
                rates.1
            );
            self.rates = rates;
            self.update_rates();
        }
    }

    /// Sets the refill rates to this controller's share of the budgets.
    fn update_rates(&mut self) {
        let share = if self.leading {
            LEADER_BUDGET_SHARE
        } else if self.leaderless {
            (LEADERLESS_BUDGET_SHARE / self.controllers as f64).max(FOLLOWER_BUDGET_SHARE)
        } else {
            FOLLOWER_BUDGET_SHARE
        };
        self.requests.rate = self.rates.0 * share;
        self.changes.rate = self.rates.1 * share;
    }

    /// Whether sending is paused because the service has just returned 429 or 503.
    pub fn paused(&self, now: Mono) -> bool {
        now < self.paused_until
    }

    /// Whether the service has returned 429 recently, so that the other controllers need their shares.
    pub fn recently_throttled(&self, now: Mono) -> bool {
        self.throttled_at.is_some_and(|at| now.since(at) < THROTTLED_PERIOD_MS)
    }

    /// Number of operations queued or in flight.
    pub fn len(&self) -> usize {
        self.purposes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.purposes.is_empty()
    }

    /// When the service last gave an answer other than 429 or 503.
    pub fn last_success(&self) -> Mono {
        self.last_success
    }

    /// Queues an operation; operations that may be sent now are added to `out`.
    pub fn submit(
        &mut self,
        now: Mono,
        class: OpClass,
        op: StoreOp,
        purpose: P,
        out: &mut Vec<(OpId, OpClass, StoreOp)>,
    ) -> Result<OpId, (QueueFull, P)> {
        let max_queued = if change_count(&op) > 0.0 {
            MAX_STORE_QUEUE
        } else {
            MAX_STORE_QUEUE - SUBMISSION_RESERVED_QUEUE
        };
        if class == OpClass::General && self.queue.len() >= max_queued {
            return Err((QueueFull, purpose));
        }
        let id = OpId(self.next_id);
        self.next_id += 1;
        self.purposes.insert(id, (class, purpose));
        if matches!(class, OpClass::Lease | OpClass::Watch) {
            out.push((id, class, op));
        } else {
            self.queue.push_back(QueuedOp {
                id,
                class,
                op,
                expires_at: now.plus(MAX_STORE_WAIT_MS),
            });
            self.pump(now, out);
        }
        Ok(id)
    }

    /// Moves the queued operations that the budgets allow to `out`.
    pub fn pump(&mut self, now: Mono, out: &mut Vec<(OpId, OpClass, StoreOp)>) {
        self.requests.refill(now);
        self.changes.refill(now);
        if self.leading {
            // The leader also uses the changes that followers leave, unless the service has throttled recently.
            let share = if self.recently_throttled(now) {
                LEADER_BUDGET_SHARE
            } else {
                LEADER_CHANGE_SHARE
            };
            self.changes.rate = self.rates.1 * share;
        }
        if now < self.paused_until {
            return;
        }
        while self.requests.level >= 1.0
            && let Some(index) = self.next_index()
            && let Some(item) = self.queue.remove(index)
        {
            let changes = change_count(&item.op);
            self.requests.level -= 1.0;
            self.changes.level -= changes;
            if item.class == OpClass::General {
                self.general_inflight += 1;
                self.writer_lead -= changes;
            } else {
                self.writer_lead += changes;
            }
            self.writer_lead =
                self.writer_lead.clamp(-MAX_WRITER_LEAD_CHANGES, MAX_WRITER_LEAD_CHANGES);
            out.push((item.id, item.class, item.op));
        }
    }

    /// Index of the queued operation to be sent next.
    ///
    /// The leader's own reads go first: they are few, and no request is served until the job table is loaded. Changes
    /// come next, shared evenly between the writer's transactions and submissions. Users' reads get the remaining
    /// requests and leave some of the in-flight operations to submissions. Guards against submissions that are rejected
    /// because the job table is always being written, against a job table that is not written because of submissions,
    /// and against users who poll so much that a new leader's job table stays unloaded (for 33 s with eight times as
    /// many polls).
    fn next_index(&self) -> Option<usize> {
        let find = |wanted: &dyn Fn(&QueuedOp) -> bool| self.queue.iter().position(wanted);
        let is_own = |queued: &QueuedOp| queued.class != OpClass::General;
        if let Some(read) = find(&|queued| is_own(queued) && change_count(&queued.op) <= 0.0) {
            return Some(read);
        }
        let write = find(&is_own);
        let submission = find(&|queued| !is_own(queued) && change_count(&queued.op) > 0.0)
            .filter(|_| self.general_inflight < MAX_STORE_INFLIGHT);
        let change =
            if self.writer_lead > 0.0 { submission.or(write) } else { write.or(submission) };
        // A transaction larger than the bucket's capacity is sent once the bucket is full.
        let affordable = |index: &usize| {
            let needed = change_count(&self.queue[*index].op).min(self.changes.capacity());
            self.changes.level >= needed
        };
        change.filter(affordable).or_else(|| {
            find(&|queued| !is_own(queued) && change_count(&queued.op) <= 0.0).filter(|_| {
                self.general_inflight < MAX_STORE_INFLIGHT - SUBMISSION_RESERVED_INFLIGHT
            })
        })
    }

    /// How long one more change would wait for the change budget if it were queued now.
    pub fn change_wait(&self, now: Mono) -> Millis {
        let queued: f64 = self.queue.iter().map(|queued| change_count(&queued.op)).sum();
        let missing = queued + 1.0 - self.changes.level_at(now);
        Millis::from_secs(missing / self.changes.rate.max(1e-3))
    }

    /// Whether an operation is still queued, so that its result will be newer than now.
    pub fn is_queued(&self, id: OpId) -> bool {
        self.queue.iter().any(|queued| queued.id == id)
    }

    /// Removes the operations that waited too long for the rate limiter; they were never sent.
    pub fn take_expired(&mut self, now: Mono) -> Vec<OpId> {
        // All have the same time-out, so the first one queued expires first. Checking only that one keeps this cheap:
        // it is called at every event.
        let first = self.queue.iter().find(|queued| queued.class != OpClass::Write);
        if first.is_none_or(|queued| now < queued.expires_at) {
            return Vec::new();
        }
        let (remaining, expired): (VecDeque<_>, VecDeque<_>) = self
            .queue
            .drain(..)
            .partition(|queued| now < queued.expires_at || queued.class == OpClass::Write);
        self.queue = remaining;
        expired.into_iter().map(|queued| queued.id).collect()
    }

    /// Handles the reply to an operation and returns the operation's purpose.
    pub fn complete(&mut self, now: Mono, id: OpId, reply: &StoreReply, jitter: f64) -> Option<P> {
        let (class, purpose) = self.purposes.remove(&id)?;
        if class == OpClass::General && *reply != StoreReply::Unsent {
            self.general_inflight = self.general_inflight.saturating_sub(1);
        }
        match reply {
            StoreReply::Throttled | StoreReply::Refused => {
                let pause = Millis((STORE_THROTTLED_PAUSE_MS.0 as f64 * (1.0 + jitter)) as u64);
                self.paused_until = self.paused_until.max(now.plus(pause));
                if *reply == StoreReply::Throttled {
                    self.throttled_at = Some(now);
                    // Most likely there is a leader that this controller cannot reach.
                    self.set_leaderless(false);
                }
            }
            StoreReply::Lost | StoreReply::Unsent => {}
            _ => self.last_success = now,
        }
        Some(purpose)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oatloom_protocol::wire::Change;

    fn client() -> StoreClient<u32> {
        StoreClient::new(
            &StateFacts { rps: 80.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 16, next: None },
            3,
        )
    }

    /// The rate limiter's queue stays bounded under continuous load, and every operation is answered or expires.
    #[test]
    fn the_queue_stays_bounded_under_continuous_load() {
        let mut store = client();
        let mut sent = Vec::new();
        for ms in (0..10_000).step_by(10) {
            let now = Mono(ms);
            let get = StoreOp::Get { key: "live/a".into() };
            let _ = store.submit(now, OpClass::General, get, 1, &mut sent);
            for late in store.take_expired(now) {
                assert!(store.complete(now, late, &StoreReply::Unsent, 0.0).is_some());
            }
            for (id, _, _) in sent.split_off(0) {
                assert!(store.complete(now, id, &StoreReply::Lost, 0.0).is_some());
                sent.clear();
            }
        }
        assert!(store.next_id >= 1000);
        assert!(store.queue.len() < MAX_STORE_QUEUE);
    }

    /// A submission waits for at most one transaction of the writer, and a read for none.
    #[test]
    fn submissions_and_the_writer_take_turns() {
        let mut store = client();
        store.set_leading(true);
        let txn = |n: usize| {
            let delete = |i| oatloom_protocol::wire::Change::Delete { key: format!("asg/{i}") };
            StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..n).map(delete).collect() })
        };
        let mut sent = Vec::new();
        let (mut changes, mut expired) = ([0, 0], 0);
        for ms in (0..60_000).step_by(10) {
            let now = Mono(ms);
            // A transaction is always waiting, and four submissions arrive per second.
            if !store.queue.iter().any(|queued| queued.class == OpClass::Write) {
                assert!(store.submit(now, OpClass::Write, txn(16), 1, &mut sent).is_ok());
            }
            if ms % 250 == 0 {
                assert!(store.submit(now, OpClass::General, txn(1), 2, &mut sent).is_ok());
            }
            store.pump(now, &mut sent);
            for late in store.take_expired(now) {
                expired += 1;
                let _ = store.complete(now, late, &StoreReply::Unsent, 0.0);
            }
            for (id, class, op) in sent.split_off(0) {
                changes[usize::from(class == OpClass::General)] += change_count(&op) as u32;
                assert!(store.complete(now, id, &StoreReply::Touched, 0.0).is_some());
            }
        }
        assert_eq!(expired, 0, "submissions expired");
        assert!(changes[1] > 230 && changes[0] > 500, "{changes:?}");
        // Reads continue while the change budget is used up.
        let now = Mono(60_000);
        store.changes.level = -10.0;
        assert!(
            store
                .submit(now, OpClass::General, StoreOp::Get { key: "k".into() }, 3, &mut sent)
                .is_ok()
        );
        assert_eq!(sent.len(), 1);
    }

    /// Continuous reads by users take nothing from a new leader's loading, from its writer, or from submissions. Guards
    /// against a new leader that could load its job table only after the users' reads had stopped, 33 s late.
    #[test]
    fn user_reads_have_the_lowest_priority() {
        let mut store = client();
        store.set_leading(true);
        store.writer_lead = 30.0;
        let mut sent = Vec::new();
        let (mut own, mut submitted, mut reads) = (0, 0, 0);
        for ms in (0..20_000u64).step_by(10) {
            let now = Mono(ms);
            // 200 reads per second, four times what the request budget allows.
            for _ in 0..2 {
                let get = StoreOp::Get { key: "live/a".into() };
                let _ = store.submit(now, OpClass::General, get, 1, &mut sent);
            }
            if ms % 1_000 == 0 {
                let list = StoreOp::List { prefix: "live/".into(), after: String::new() };
                assert!(store.submit(now, OpClass::Write, list, 2, &mut sent).is_ok());
            }
            if ms % 500 == 0 {
                let delete = oatloom_protocol::wire::Change::Delete { key: "k".into() };
                let txn = || Txn { conditions: Vec::new(), changes: vec![delete.clone()] };
                assert!(
                    store.submit(now, OpClass::Write, StoreOp::Txn(txn()), 3, &mut sent).is_ok()
                );
                assert!(
                    store.submit(now, OpClass::General, StoreOp::Txn(txn()), 4, &mut sent).is_ok()
                );
            }
            store.pump(now, &mut sent);
            for late in store.take_expired(now) {
                assert_eq!(store.complete(now, late, &StoreReply::Unsent, 0.0), Some(1));
            }
            for (id, _, _) in sent.split_off(0) {
                match store.complete(now, id, &StoreReply::Touched, 0.0) {
                    Some(1) => reads += 1,
                    Some(4) => submitted += 1,
                    _ => own += 1,
                }
            }
            assert!(
                store.queue.iter().filter(|queued| queued.class == OpClass::Write).count() <= 3
            );
        }
        assert!(own >= 58 && submitted >= 39, "{own} of the leader, {submitted} submissions");
        assert!(reads > 700, "{reads} reads");
    }

    /// The leader uses the changes that its peers leave until the service throttles it, then only its share for a
    /// while.
    #[test]
    fn the_leader_uses_the_remaining_changes() {
        let mut store = client();
        store.set_leading(true);
        let mut sent = Vec::new();
        store.pump(Mono(0), &mut sent);
        assert_eq!(store.changes.rate, 25.0 * LEADER_CHANGE_SHARE);
        assert!(
            store
                .submit(Mono(1), OpClass::Write, StoreOp::Txn(Txn::default()), 1, &mut sent)
                .is_ok()
        );
        let id = sent[0].0;
        store.complete(Mono(2), id, &StoreReply::Throttled, 0.0);
        store.pump(Mono(3), &mut sent);
        assert_eq!(store.changes.rate, 25.0 * LEADER_BUDGET_SHARE);
        store.pump(Mono(2).plus(THROTTLED_PERIOD_MS), &mut sent);
        assert_eq!(store.changes.rate, 25.0 * LEADER_CHANGE_SHARE);
        store.set_leading(false);
        store.pump(Mono(90_000), &mut sent);
        assert_eq!(store.changes.rate, 25.0 * FOLLOWER_BUDGET_SHARE);
    }

    /// Without a leader, all controllers share the leader's part of the budgets until a 429 shows that there is one.
    /// Guards against submissions that queued at the followers for 1.4 s while the leader's share was unused.
    #[test]
    fn the_leaders_share_is_used_while_there_is_no_leader() {
        let mut store = client();
        store.set_leaderless(true);
        assert_eq!(store.changes.rate, 25.0 * LEADERLESS_BUDGET_SHARE / 3.0);
        let mut sent = Vec::new();
        let txn = StoreOp::Txn(Txn::default());
        assert!(store.submit(Mono(1), OpClass::General, txn, 1, &mut sent).is_ok());
        store.complete(Mono(2), sent[0].0, &StoreReply::Throttled, 0.0);
        assert_eq!(store.changes.rate, 25.0 * FOLLOWER_BUDGET_SHARE);
        store.set_leaderless(true);
        store.set_leading(true);
        store.set_leaderless(true);
        assert_eq!(store.changes.rate, 25.0 * LEADER_BUDGET_SHARE);
    }

    /// The wait of a further change is predicted. Guards against submissions that queue at one follower while the
    /// leader's share is unused.
    #[test]
    fn the_wait_of_a_change_is_predicted() {
        let mut store = client();
        let mut sent = Vec::new();
        assert_eq!(store.change_wait(Mono(1)), Millis(0));
        let put = || {
            StoreOp::Txn(Txn {
                conditions: Vec::new(),
                changes: vec![Change::put("live/a".into(), serde_json::Value::Null)],
            })
        };
        for _ in 0..5 {
            assert!(store.submit(Mono(1), OpClass::General, put(), 1, &mut sent).is_ok());
        }
        // 3.5 changes per second, and a full bucket of 1.75.
        let waits = store.change_wait(Mono(1));
        assert!(waits > Millis(1_000) && waits < Millis(1_500), "{waits:?}");
        assert!(store.change_wait(Mono(501)) < waits);
    }

    #[test]
    fn the_queue_is_bounded_and_leases_bypass_it() {
        let mut store = client();
        let mut sent = Vec::new();
        let get = || StoreOp::Get { key: "live/a".into() };
        let rejected = (0..2 * MAX_STORE_QUEUE)
            .filter(|_| store.submit(Mono(0), OpClass::General, get(), 1, &mut sent).is_err())
            .count();
        assert!(rejected >= MAX_STORE_QUEUE - MAX_STORE_INFLIGHT);
        sent.clear();
        let touch = StoreOp::Touch { lease: LeaseId(1) };
        assert!(store.submit(Mono(0), OpClass::Lease, touch, 2, &mut sent).is_ok());
        assert_eq!(sent.len(), 1);
    }
}
