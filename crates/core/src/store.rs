//! The state service as the slices see it: operations, answers, and the pacer that keeps this
//! controller within its share of the service's budgets.

use crate::constants::*;
use oatloom_protocol::ids::{LeaseId, Millis, Mono, Revision};
use oatloom_protocol::settings::StateFacts;
use oatloom_protocol::wire::{Changes, Page, Row, Txn};
use std::collections::{BTreeMap, VecDeque};

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
    /// Changes after a revision, at once.
    Changes {
        prefix: String,
        after: Revision,
    },
    Follow {
        prefix: String,
        after: Revision,
    },
}

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
    /// 429: over a budget; not executed.
    Throttled,
    /// 503: not executed.
    Refused,
    /// 400 or something that cannot be read.
    Malformed(String),
    /// No answer: executed, or not, or later.
    Lost,
    /// Never sent: it waited for the pacer too long.
    Unsent,
}

/// Which queue an operation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Leases and the leader key: never paced, few by nature.
    Vital,
    /// Long polls: never paced, few by nature.
    Watch,
    /// The leader's one writer.
    Write,
    /// Submissions and reads for users, and loading.
    Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpId(pub u64);

/// A budget that refills steadily and holds at most half a second's worth.
#[derive(Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    at: Mono,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let empty = Self { level: 0.0, rate, at: Mono(0) };
        Self { level: empty.most(), ..empty }
    }

    /// What it can ever hold.
    fn most(&self) -> f64 {
        (self.rate / 2.0).max(1.0)
    }

    fn level_at(&self, now: Mono) -> f64 {
        (self.level + now.since(self.at).secs() * self.rate).min(self.most())
    }

    fn refill(&mut self, now: Mono) {
        self.level = self.level_at(now);
        self.at = now;
    }
}

#[derive(Debug)]
struct Waiting {
    id: OpId,
    lane: Lane,
    op: StoreOp,
    until: Mono,
}

/// Paced client: queues operations and says which may be sent now.
#[derive(Debug)]
pub struct StoreClient<P> {
    requests: Bucket,
    writes: Bucket,
    rates: (f64, f64),
    queue: VecDeque<Waiting>,
    purposes: BTreeMap<OpId, (Lane, P)>,
    open_inflight: usize,
    /// Changes that the writer has had beyond those of submissions.
    ahead: f64,
    paused_until: Mono,
    leading: bool,
    /// Whether nobody seems to lead, so that what a leader may use lies idle; and how many controllers share it.
    leaderless: bool,
    controllers: usize,
    /// When the service last said that a budget was used up.
    throttled: Option<Mono>,
    next: u64,
    last_good: Mono,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// Changes that an operation makes.
fn cost(op: &StoreOp) -> f64 {
    match op {
        StoreOp::Txn(txn) => txn.changes.len() as f64,
        _ => 0.0,
    }
}

impl<P> StoreClient<P> {
    pub fn new(facts: &StateFacts, controllers: usize) -> Self {
        let rates = (facts.rps, facts.write_rps);
        Self {
            requests: Bucket::new(rates.0 * FOLLOWER_SHARE),
            writes: Bucket::new(rates.1 * FOLLOWER_SHARE),
            rates,
            queue: VecDeque::new(),
            purposes: BTreeMap::new(),
            open_inflight: 0,
            ahead: 0.0,
            paused_until: Mono(0),
            leading: false,
            leaderless: false,
            controllers: controllers.max(1),
            throttled: None,
            next: 0,
            last_good: Mono(0),
        }
    }

    /// Changes this controller's share of the budgets with its role.
    pub fn lead(&mut self, leading: bool) {
        self.leading = leading;
        // Turns of an earlier reign are no concern of this one.
        self.ahead = 0.0;
        self.leaderless = false;
        self.share_out();
    }

    /// Nobody seems to lead, or somebody does again.
    pub fn leaderless(&mut self, so: bool) {
        if so != self.leaderless && !self.leading {
            log::debug!("store: leaderless: {so}");
            self.leaderless = so;
            self.share_out();
        }
    }

    /// The service is known to hold, or to be about to hold, to other limits: what was saved up beyond them is gone.
    pub fn keep_to(&mut self, facts: &StateFacts) {
        let rates = (facts.rps, facts.write_rps);
        if rates != self.rates {
            log::info!("store: {} requests and {} changes a second from here on", rates.0, rates.1);
            self.rates = rates;
            self.share_out();
        }
    }

    /// The one place where this controller's share of the budgets changes.
    fn share_out(&mut self) {
        let share = if self.leading {
            LEADER_SHARE
        } else if self.leaderless {
            (LEADERLESS_SHARE / self.controllers as f64).max(FOLLOWER_SHARE)
        } else {
            FOLLOWER_SHARE
        };
        self.requests.rate = self.rates.0 * share;
        self.writes.rate = self.rates.1 * share;
    }

    /// Whether the service has just refused this controller, which gives it a rest.
    pub fn paused(&self, now: Mono) -> bool {
        now < self.paused_until
    }

    /// Whether the service has objected lately, so that others need what they may use.
    pub fn throttled_lately(&self, now: Mono) -> bool {
        self.throttled.is_some_and(|at| now.since(at) < THROTTLED_MS)
    }

    /// Operations waiting or under way.
    pub fn len(&self) -> usize {
        self.purposes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.purposes.is_empty()
    }

    /// When the service last answered properly.
    pub fn last_good(&self) -> Mono {
        self.last_good
    }

    /// Queues an operation; `out` gets it at once if it needs no pacing.
    pub fn submit(
        &mut self,
        now: Mono,
        lane: Lane,
        op: StoreOp,
        purpose: P,
        out: &mut Vec<(OpId, Lane, StoreOp)>,
    ) -> Result<OpId, (QueueFull, P)> {
        let most = if cost(&op) > 0.0 { STORE_QUEUE } else { STORE_QUEUE - READS_LEAVE_QUEUED };
        if lane == Lane::Open && self.queue.len() >= most {
            return Err((QueueFull, purpose));
        }
        let id = OpId(self.next);
        self.next += 1;
        self.purposes.insert(id, (lane, purpose));
        if matches!(lane, Lane::Vital | Lane::Watch) {
            out.push((id, lane, op));
        } else {
            self.queue.push_back(Waiting { id, lane, op, until: now.plus(STORE_PATIENCE_MS) });
            self.pump(now, out);
        }
        Ok(id)
    }

    /// Sends what the budgets allow.
    pub fn pump(&mut self, now: Mono, out: &mut Vec<(OpId, Lane, StoreOp)>) {
        self.requests.refill(now);
        self.writes.refill(now);
        if self.leading {
            // What followers leave of the changes, as far as the service has not objected lately.
            let share = if self.throttled_lately(now) { LEADER_SHARE } else { LEADER_CHANGES };
            self.writes.rate = self.rates.1 * share;
        }
        if now < self.paused_until {
            return;
        }
        while self.requests.level >= 1.0
            && let Some(at) = self.pick()
            && let Some(item) = self.queue.remove(at)
        {
            let cost = cost(&item.op);
            self.requests.level -= 1.0;
            self.writes.level -= cost;
            if item.lane == Lane::Open {
                self.open_inflight += 1;
                self.ahead -= cost;
            } else {
                self.ahead += cost;
            }
            self.ahead = self.ahead.clamp(-AHEAD_MOST, AHEAD_MOST);
            out.push((item.id, item.lane, item.op));
        }
    }

    /// What goes next. What a leader reads for itself goes first: it is little, and nothing is served until the book is
    /// read. Then changes: the writer's transaction and submissions share them evenly. Users' reads get what is left of
    /// the requests, and leave places for submissions. Guards against submissions that are turned away because the book is
    /// always being written, against a book that is not written because of submissions, and against users who ask so
    /// much that a new leader's book stays unread (33 s on a day with eight times as many polls).
    fn pick(&self) -> Option<usize> {
        let find = |wanted: &dyn Fn(&Waiting) -> bool| self.queue.iter().position(wanted);
        let own = |w: &Waiting| w.lane != Lane::Open;
        if let Some(read) = find(&|w| own(w) && cost(&w.op) <= 0.0) {
            return Some(read);
        }
        let write = find(&own);
        let open =
            find(&|w| !own(w) && cost(&w.op) > 0.0).filter(|_| self.open_inflight < STORE_INFLIGHT);
        let change = if self.ahead > 0.0 { open.or(write) } else { write.or(open) };
        // A transaction larger than what the bucket can ever hold goes once the bucket is full.
        let affordable = |at: &usize| {
            let need = cost(&self.queue[*at].op).min(self.writes.most());
            self.writes.level >= need
        };
        change.filter(affordable).or_else(|| {
            find(&|w| !own(w) && cost(&w.op) <= 0.0)
                .filter(|_| self.open_inflight < STORE_INFLIGHT - READS_LEAVE)
        })
    }

    /// For how long a change would wait for the pacer that is asked for now, as far as changes go.
    pub fn change_waits(&self, now: Mono) -> Millis {
        let queued: f64 = self.queue.iter().map(|w| cost(&w.op)).sum();
        let missing = queued + 1.0 - self.writes.level_at(now);
        Millis::from_secs(missing / self.writes.rate.max(1e-3))
    }

    /// Whether an operation still waits for the pacer, so that what it will show is newer than now.
    pub fn waits(&self, id: OpId) -> bool {
        self.queue.iter().any(|w| w.id == id)
    }

    /// Operations that waited too long; they were never sent.
    pub fn expired(&mut self, now: Mono) -> Vec<OpId> {
        // All have the same patience, so that the first one queued is the first that is late: this is asked at every event.
        let first = self.queue.iter().find(|w| w.lane != Lane::Write);
        if first.is_none_or(|w| now < w.until) {
            return Vec::new();
        }
        let (keep, late): (VecDeque<_>, VecDeque<_>) =
            self.queue.drain(..).partition(|w| now < w.until || w.lane == Lane::Write);
        self.queue = keep;
        late.into_iter().map(|w| w.id).collect()
    }

    /// Takes up an answer: what it was for.
    pub fn answered(&mut self, now: Mono, id: OpId, reply: &StoreReply, jitter: f64) -> Option<P> {
        let (lane, purpose) = self.purposes.remove(&id)?;
        if lane == Lane::Open && *reply != StoreReply::Unsent {
            self.open_inflight = self.open_inflight.saturating_sub(1);
        }
        match reply {
            StoreReply::Throttled | StoreReply::Refused => {
                let pause = Millis((STORE_PAUSE_MS.0 as f64 * (1.0 + jitter)) as u64);
                self.paused_until = self.paused_until.max(now.plus(pause));
                if *reply == StoreReply::Throttled {
                    self.throttled = Some(now);
                    // Somebody leads, most likely, and cannot be heard from here.
                    self.leaderless(false);
                }
            }
            StoreReply::Lost | StoreReply::Unsent => {}
            _ => self.last_good = now,
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

    /// Over any second the pacer lets through no more than its share and the bucket's content.
    #[test]
    fn keeps_its_share_of_the_budget() {
        let mut store = client();
        let mut sent = Vec::new();
        for ms in (0..10_000).step_by(10) {
            let now = Mono(ms);
            let get = StoreOp::Get { key: "live/a".into() };
            let _ = store.submit(now, Lane::Open, get, 1, &mut sent);
            for late in store.expired(now) {
                assert!(store.answered(now, late, &StoreReply::Unsent, 0.0).is_some());
            }
            for (id, _, _) in sent.split_off(0) {
                assert!(store.answered(now, id, &StoreReply::Lost, 0.0).is_some());
                sent.clear();
            }
        }
        assert!(store.next >= 1000);
        assert!(store.queue.len() < STORE_QUEUE);
    }

    /// A submission waits for one transaction of the writer at most, and a read for none.
    #[test]
    fn submissions_and_the_writer_take_turns() {
        let mut store = client();
        store.lead(true);
        let txn = |n: usize| {
            let delete = |i| oatloom_protocol::wire::Change::Delete { key: format!("asg/{i}") };
            StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..n).map(delete).collect() })
        };
        let mut sent = Vec::new();
        let (mut changes, mut left) = ([0, 0], 0);
        for ms in (0..60_000).step_by(10) {
            let now = Mono(ms);
            // As if a transaction were always waiting, and four submissions came a second.
            if !store.queue.iter().any(|w| w.lane == Lane::Write) {
                assert!(store.submit(now, Lane::Write, txn(16), 1, &mut sent).is_ok());
            }
            if ms % 250 == 0 {
                assert!(store.submit(now, Lane::Open, txn(1), 2, &mut sent).is_ok());
            }
            store.pump(now, &mut sent);
            for late in store.expired(now) {
                left += 1;
                let _ = store.answered(now, late, &StoreReply::Unsent, 0.0);
            }
            for (id, lane, op) in sent.split_off(0) {
                changes[usize::from(lane == Lane::Open)] += cost(&op) as u32;
                assert!(store.answered(now, id, &StoreReply::Touched, 0.0).is_some());
            }
        }
        assert_eq!(left, 0, "submissions were turned away");
        assert!(changes[1] > 230 && changes[0] > 500, "{changes:?}");
        // With the changes used up, reads go on.
        let now = Mono(60_000);
        store.writes.level = -10.0;
        assert!(
            store.submit(now, Lane::Open, StoreOp::Get { key: "k".into() }, 3, &mut sent).is_ok()
        );
        assert_eq!(sent.len(), 1);
    }

    /// Users who ask without end take nothing from a new leader's reading, from its writer, or from submissions. Guards
    /// against a day on which a leader read its book only when the users' questions had ceased, 33 s late.
    #[test]
    fn users_reads_get_what_is_left() {
        let mut store = client();
        store.lead(true);
        store.ahead = 30.0;
        let mut sent = Vec::new();
        let (mut own, mut submitted, mut reads) = (0, 0, 0);
        for ms in (0..20_000u64).step_by(10) {
            let now = Mono(ms);
            // 200 questions a second, four times what the requests allow.
            for _ in 0..2 {
                let get = StoreOp::Get { key: "live/a".into() };
                let _ = store.submit(now, Lane::Open, get, 1, &mut sent);
            }
            if ms % 1_000 == 0 {
                let list = StoreOp::List { prefix: "live/".into(), after: String::new() };
                assert!(store.submit(now, Lane::Write, list, 2, &mut sent).is_ok());
            }
            if ms % 500 == 0 {
                let delete = oatloom_protocol::wire::Change::Delete { key: "k".into() };
                let txn = || Txn { conditions: Vec::new(), changes: vec![delete.clone()] };
                assert!(store.submit(now, Lane::Write, StoreOp::Txn(txn()), 3, &mut sent).is_ok());
                assert!(store.submit(now, Lane::Open, StoreOp::Txn(txn()), 4, &mut sent).is_ok());
            }
            store.pump(now, &mut sent);
            for late in store.expired(now) {
                assert_eq!(store.answered(now, late, &StoreReply::Unsent, 0.0), Some(1));
            }
            for (id, _, _) in sent.split_off(0) {
                match store.answered(now, id, &StoreReply::Touched, 0.0) {
                    Some(1) => reads += 1,
                    Some(4) => submitted += 1,
                    _ => own += 1,
                }
            }
            assert!(store.queue.iter().filter(|w| w.lane == Lane::Write).count() <= 3);
        }
        assert!(own >= 58 && submitted >= 39, "{own} of the leader, {submitted} submissions");
        assert!(reads > 700, "{reads} reads");
    }

    /// The leader uses what its peers leave until the service objects, then its share for a while.
    #[test]
    fn the_leader_uses_what_is_left_of_the_changes() {
        let mut store = client();
        store.lead(true);
        let mut sent = Vec::new();
        store.pump(Mono(0), &mut sent);
        assert_eq!(store.writes.rate, 25.0 * LEADER_CHANGES);
        assert!(
            store.submit(Mono(1), Lane::Write, StoreOp::Txn(Txn::default()), 1, &mut sent).is_ok()
        );
        let id = sent[0].0;
        store.answered(Mono(2), id, &StoreReply::Throttled, 0.0);
        store.pump(Mono(3), &mut sent);
        assert_eq!(store.writes.rate, 25.0 * LEADER_SHARE);
        store.pump(Mono(2).plus(THROTTLED_MS), &mut sent);
        assert_eq!(store.writes.rate, 25.0 * LEADER_CHANGES);
        store.lead(false);
        store.pump(Mono(90_000), &mut sent);
        assert_eq!(store.writes.rate, 25.0 * FOLLOWER_SHARE);
    }

    /// Guards against submissions that wait behind each other at the followers for 1.4 s while nobody leads, and nobody
    /// uses the leader's share. One 429 shows that somebody does.
    #[test]
    fn a_leaders_share_is_used_while_nobody_leads() {
        let mut store = client();
        store.leaderless(true);
        assert_eq!(store.writes.rate, 25.0 * LEADERLESS_SHARE / 3.0);
        let mut sent = Vec::new();
        let txn = StoreOp::Txn(Txn::default());
        assert!(store.submit(Mono(1), Lane::Open, txn, 1, &mut sent).is_ok());
        store.answered(Mono(2), sent[0].0, &StoreReply::Throttled, 0.0);
        assert_eq!(store.writes.rate, 25.0 * FOLLOWER_SHARE);
        store.leaderless(true);
        store.lead(true);
        store.leaderless(true);
        assert_eq!(store.writes.rate, 25.0 * LEADER_SHARE);
    }

    /// Guards against submissions that wait behind each other at one follower while the leader's share lies idle.
    #[test]
    fn a_change_is_known_to_wait() {
        let mut store = client();
        let mut sent = Vec::new();
        assert_eq!(store.change_waits(Mono(1)), Millis(0));
        let put = || {
            StoreOp::Txn(Txn {
                conditions: Vec::new(),
                changes: vec![Change::put("live/a".into(), serde_json::Value::Null)],
            })
        };
        for _ in 0..5 {
            assert!(store.submit(Mono(1), Lane::Open, put(), 1, &mut sent).is_ok());
        }
        // 3.5 changes a second, and 1.75 saved up.
        let waits = store.change_waits(Mono(1));
        assert!(waits > Millis(1_000) && waits < Millis(1_500), "{waits:?}");
        assert!(store.change_waits(Mono(501)) < waits);
    }

    #[test]
    fn the_queue_is_bounded_and_leases_pass_it_by() {
        let mut store = client();
        let mut sent = Vec::new();
        let get = || StoreOp::Get { key: "live/a".into() };
        let refused = (0..2 * STORE_QUEUE)
            .filter(|_| store.submit(Mono(0), Lane::Open, get(), 1, &mut sent).is_err())
            .count();
        assert!(refused >= STORE_QUEUE - STORE_INFLIGHT);
        sent.clear();
        let touch = StoreOp::Touch { lease: LeaseId(1) };
        assert!(store.submit(Mono(0), Lane::Vital, touch, 2, &mut sent).is_ok());
        assert_eq!(sent.len(), 1);
    }
}
