//! The service itself: turns events into actions, deterministically. Changes are applied at once and written
//! in groups; an answer leaves only when all that it tells of is on the disk.

use crate::api::{Request, Txn};
use crate::constants::*;
use crate::journal::{Group, Step};
use crate::keyspace::{Entry, Keyspace, Recent};
use crate::limits::Limits;
use crate::records::Record;
use crate::recovery::Found;
use crate::settings::Settings;
use crate::snapshots::Snapshots;
use oatloom_protocol::ids::{LeaseId, Millis, Mono, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Changes, Grant, LoggedChange, Page, RevisionReply, Row, StateStatus};
use serde_json::value::RawValue;
use std::collections::VecDeque;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// How the disk took a group.
#[derive(Debug)]
pub enum Outcome {
    Durable,
    /// Nothing of it is in the log; it may be tried again.
    Undone {
        group: Group,
        cause: String,
    },
    /// What is in the log is not known.
    Unknown {
        cause: String,
    },
}

#[derive(Debug)]
pub enum Event {
    Tick,
    Request {
        conn: ConnId,
        request: Request,
    },
    Written {
        number: u64,
        outcome: Outcome,
    },
    /// A step of a snapshot is done, or has failed.
    Stepped {
        good: bool,
    },
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Reply {
        conn: ConnId,
        reply: HttpReply,
    },
    /// To be written and waited for; no other group is under way.
    Write(Group),
    Snapshot(Step),
    /// The process must end: only a new start can tell what was written.
    Fail(String),
}

/// Whether changes can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Serving,
    /// The disk took nothing of the last group; it is tried again at this time.
    Full {
        again: Mono,
    },
    Failed,
}

/// An answer that waits until a group is durable.
struct Waiting {
    number: u64,
    conn: ConnId,
    reply: HttpReply,
    /// It tells of changes without making any.
    read: bool,
}

struct Watch {
    conn: ConnId,
    prefix: String,
    after: u64,
    until: Mono,
}

/// The group that the disk has.
struct UnderWay {
    /// The last revision in it.
    revision: u64,
    bytes: usize,
}

pub struct Engine {
    space: Keyspace,
    limits: Limits,
    health: Health,
    /// Records that were applied and not handed to the disk.
    open: Vec<u8>,
    /// Number of the next group to be handed over.
    next: u64,
    under_way: Option<UnderWay>,
    /// A group that the disk did not take.
    undone: Option<Group>,
    /// The next group begins a new file.
    opens: bool,
    /// The last durable group, and the revision that it reached.
    durable: u64,
    durable_revision: u64,
    waiting: VecDeque<Waiting>,
    watches: Vec<Watch>,
    /// Up to which revision, and when, all watches were last looked at.
    watched: (u64, Mono),
    snapshots: Snapshots,
    groups: u64,
    /// When the last event was taken up.
    last: Mono,
    out: Vec<Action>,
}

/// JSON text that was checked when it came in.
fn raw(text: &str) -> &RawValue {
    serde_json::from_str(text).unwrap_or(RawValue::NULL)
}

fn row<'a>(key: &str, entry: &'a Entry) -> Row<&'a RawValue> {
    Row {
        key: key.to_owned(),
        value: raw(&entry.value),
        version: Revision(entry.stamp),
        lease: (entry.lease > 0).then_some(LeaseId(entry.lease)),
    }
}

fn logged(change: &Recent) -> LoggedChange<&RawValue> {
    let key = change.key.to_string();
    let (put, delete) = match change.value {
        Some(_) => (Some(key), None),
        None => (None, Some(key)),
    };
    let value = raw(change.value.as_deref().unwrap_or("null"));
    LoggedChange { put, delete, value, version: Revision(change.stamp) }
}

fn later(status: u16, text: &str) -> HttpReply {
    HttpReply { status, ..HttpReply::unavailable(text) }
}

fn epoch(status: u16, revision: u64, failed: Vec<String>) -> HttpReply {
    HttpReply::json(status, &RevisionReply { revision: Revision(revision), failed })
}

impl Engine {
    /// Serves what a start has found.
    pub fn new(settings: &Settings, found: Found, now: Mono) -> Self {
        Self {
            limits: Limits::new(settings.rps, settings.write_rps, now),
            snapshots: Snapshots::new(found.snapshots, found.log_bytes, settings),
            health: Health::Serving,
            open: Vec::new(),
            next: found.next,
            under_way: None,
            undone: None,
            opens: found.log.is_empty(),
            durable: found.next - 1,
            durable_revision: found.space.revision(),
            space: found.space,
            waiting: VecDeque::new(),
            watches: Vec::new(),
            watched: (0, now),
            groups: 0,
            last: now,
            out: Vec::new(),
        }
    }

    pub fn space(&self) -> &Keyspace {
        &self.space
    }

    /// The one entrance: takes up an event and returns what is to be done.
    pub fn handle(&mut self, now: Mono, event: Event) -> Vec<Action> {
        if now.since(self.last) > STALL_MS {
            // The process stood still: renewals may have come and not been read.
            self.space.refill(now);
        }
        self.last = now;
        match event {
            Event::Tick => {}
            Event::Request { conn, request } => self.request(conn, request, now),
            Event::Written { number, outcome } => self.written(number, outcome, now),
            Event::Stepped { good } => {
                let step = self.snapshots.stepped(good, now);
                self.out.extend(step.map(Action::Snapshot));
            }
        }
        self.turn(now);
        std::mem::take(&mut self.out)
    }

    /// The one place where the health changes.
    fn enter(&mut self, health: Health, now: Mono) {
        if matches!(self.health, Health::Full { .. }) && health == Health::Serving {
            // As after any outage.
            self.space.refill(now);
        }
        self.health = health;
    }

    /// What has to happen whatever the event was.
    fn turn(&mut self, now: Mono) {
        match self.health {
            Health::Failed => return,
            Health::Full { again } => {
                if now >= again
                    && let Some(group) = self.undone.take()
                {
                    self.out.push(Action::Write(group));
                }
            }
            Health::Serving => {
                while let Some(lease) = self.space.expired(now) {
                    self.end(lease, now);
                }
                self.hand_over(now);
            }
        }
        self.answer_watches(now);
        let (applied, durable) = (self.applied(), self.durable);
        let step = self.snapshots.next(&self.space, applied, durable);
        self.out.extend(step.map(Action::Snapshot));
    }

    /// The number of the group that holds the latest change.
    fn applied(&self) -> u64 {
        if self.open.is_empty() { self.next - 1 } else { self.next }
    }

    /// Gives the disk what has gathered, if it is free.
    fn hand_over(&mut self, now: Mono) {
        if self.under_way.is_some() {
            return;
        }
        if let Some(step) = self.snapshots.begins(self.next, now) {
            self.opens = true;
            self.out.push(Action::Snapshot(step));
        }
        if self.open.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.open);
        let opens = std::mem::take(&mut self.opens);
        self.under_way = Some(UnderWay { revision: self.space.revision(), bytes: records.len() });
        self.out.push(Action::Write(Group { number: self.next, records, opens }));
        self.next += 1;
    }

    fn written(&mut self, number: u64, outcome: Outcome, now: Mono) {
        match outcome {
            Outcome::Durable => {
                self.enter(Health::Serving, now);
                let Some(done) = self.under_way.take() else { return };
                self.durable = number;
                self.durable_revision = done.revision;
                self.groups += 1;
                self.snapshots.wrote(done.bytes);
                let done = self.waiting.partition_point(|w| w.number <= number);
                let replies = self.waiting.drain(..done);
                self.out.extend(
                    replies.map(|Waiting { conn, reply, .. }| Action::Reply { conn, reply }),
                );
            }
            Outcome::Undone { group, cause } => {
                if self.health == Health::Serving {
                    tracing::warn!(
                        cause,
                        "the disk takes nothing; changes are refused until it does"
                    );
                }
                self.undone = Some(group);
                self.enter(Health::Full { again: now.plus(FULL_RETRY_MS) }, now);
                // Reads wait for changes that may be long in coming; they made none themselves.
                let (reads, changes): (VecDeque<_>, VecDeque<_>) =
                    std::mem::take(&mut self.waiting).into_iter().partition(|w| w.read);
                self.waiting = changes;
                for read in reads {
                    let reply = later(503, "the disk is full");
                    self.out.push(Action::Reply { conn: read.conn, reply });
                }
            }
            Outcome::Unknown { cause } => {
                self.enter(Health::Failed, now);
                self.out.push(Action::Fail(cause));
            }
        }
    }

    /// Answers once all changes so far are durable.
    fn answer(&mut self, conn: ConnId, reply: HttpReply, read: bool) {
        let number = self.applied();
        if number <= self.durable {
            self.out.push(Action::Reply { conn, reply });
        } else {
            self.waiting.push_back(Waiting { number, conn, reply, read });
        }
    }

    /// Answers at once: nothing of it depends on a change.
    fn reply(&mut self, conn: ConnId, reply: HttpReply) {
        self.out.push(Action::Reply { conn, reply });
    }

    /// Applies what was decided, to be written with the next group.
    fn record(&mut self, record: &Record, now: Mono) {
        self.space.apply(record, now);
        match postcard::to_allocvec(record) {
            Ok(bytes) => self.open.extend_from_slice(&bytes),
            // Only a writer that fails can make this fail, and a vector does not.
            Err(e) => self.out.push(Action::Fail(format!("a record cannot be encoded: {e}"))),
        }
    }

    fn end(&mut self, lease: u64, now: Mono) {
        for record in self.space.end_of(lease) {
            self.record(&record, now);
        }
    }

    fn request(&mut self, conn: ConnId, request: Request, now: Mono) {
        if request == Request::Status {
            let status = self.status();
            return self.reply(conn, HttpReply::json(200, &status));
        }
        let changes = matches!(&request, Request::Multi(txn) if !txn.writes.is_empty())
            || matches!(request, Request::Grant { .. } | Request::Revoke { .. });
        let reads =
            matches!(request, Request::Get { .. } | Request::List { .. } | Request::Multi(_));
        let full = self.health != Health::Serving;
        if full && (changes || reads && self.applied() > self.durable) {
            return self.reply(conn, later(503, "the disk takes nothing"));
        }
        if changes && self.open.len() > GROUP_BYTES / 2 {
            return self.reply(conn, later(503, "the disk is behind"));
        }
        if !self.limits.take(request.changes(), now) {
            return self.reply(conn, later(429, "too many requests or changes a second"));
        }
        match request {
            Request::Status => {}
            Request::Get { key } => {
                let reply = match self.space.get(&key) {
                    Some(entry) => HttpReply::json(200, &row(&key, entry)),
                    None => epoch(404, self.space.revision(), Vec::new()),
                };
                self.answer(conn, reply, true);
            }
            Request::List { prefix, after, most } => {
                let reply = HttpReply::json(200, &self.page(&prefix, after.as_deref(), most));
                self.answer(conn, reply, true);
            }
            Request::Multi(txn) => self.multi(conn, txn, now),
            Request::Grant { ttl_ms } => {
                let lease = self.space.next_lease();
                self.record(&Record::Granted { lease, ttl_ms }, now);
                self.answer(conn, HttpReply::json(200, &Grant { lease: LeaseId(lease) }), false);
            }
            Request::Touch { lease } => {
                if self.space.touch(lease, now) {
                    self.reply(conn, HttpReply::json(200, &Grant { lease: LeaseId(lease) }));
                } else {
                    self.answer(conn, HttpReply::error(404, "no such lease"), true);
                }
            }
            Request::Revoke { lease } => {
                if self.space.has_lease(lease) {
                    self.end(lease, now);
                    self.answer(
                        conn,
                        HttpReply::json(200, &Grant { lease: LeaseId(lease) }),
                        false,
                    );
                } else {
                    self.answer(conn, HttpReply::error(404, "no such lease"), true);
                }
            }
            Request::Follow { prefix, after, hold_ms } => {
                let until = now.plus(Millis(hold_ms));
                self.watches.push(Watch { conn, prefix, after, until });
                // It may ask for what has happened already.
                self.watched.0 = u64::MAX;
            }
        }
    }

    fn page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        most: usize,
    ) -> Page<&'a RawValue> {
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, entry) in self.space.range(prefix, after) {
            bytes += key.len() + entry.value.len() + ROW_BYTES;
            if rows.len() >= most || bytes > PAGE_BYTES && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(row(key, entry));
        }
        Page { rows, more, revision: Revision(self.space.revision()) }
    }

    fn multi(&mut self, conn: ConnId, txn: Txn, now: Mono) {
        let Txn { conditions, writes } = txn;
        if writes.iter().any(|w| w.lease > 0 && !self.space.has_lease(w.lease)) {
            return self.answer(conn, HttpReply::error(400, "no such lease"), true);
        }
        let stamp = |key: &str| self.space.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<String> = conditions
            .into_iter()
            .filter(|c| stamp(&c.key) != c.version.0)
            .map(|c| c.key)
            .collect();
        if !failed.is_empty() {
            let revision = self.space.revision();
            return self.answer(conn, epoch(409, revision, failed), true);
        }
        let read = writes.is_empty();
        if !read {
            let revision = self.space.revision() + 1;
            self.record(&Record::Changed { revision, writes }, now);
        }
        self.answer(conn, epoch(200, self.space.revision(), Vec::new()), read);
    }

    /// Watches see what is durable, and no more.
    fn answer_watches(&mut self, now: Mono) {
        let (space, to) = (&self.space, self.durable_revision);
        if to == self.watched.0 && now.since(self.watched.1) < WAKE_MS {
            return;
        }
        self.watched = (to, now);
        let out = &mut self.out;
        self.watches.retain_mut(|watch| {
            let reply = match space.changes(&watch.prefix, watch.after, to) {
                None => Some(HttpReply::error(410, "these changes are no longer known")),
                Some(changes) => {
                    let log: Vec<_> = changes.map(logged).collect();
                    if log.is_empty() && now < watch.until {
                        // What was looked through need not be again.
                        watch.after = watch.after.max(to);
                        None
                    } else {
                        Some(HttpReply::json(200, &Changes { revision: Revision(to), log }))
                    }
                }
            };
            let keep = reply.is_none();
            out.extend(reply.map(|reply| Action::Reply { conn: watch.conn, reply }));
            keep
        });
    }

    fn status(&self) -> StateStatus {
        StateStatus {
            revision: Revision(self.durable_revision),
            keys: self.space.len() as u64,
            leases: self.space.leases() as u64,
            watches: self.watches.len() as u64,
            waiting: self.waiting.len() as u64,
            groups: self.groups,
            log_bytes: self.snapshots.log_bytes(),
            snapshots: self.snapshots.kept() as u64,
            health: match self.health {
                Health::Serving => "serving",
                Health::Full { .. } => "full",
                Health::Failed => "failed",
            }
            .to_owned(),
        }
    }
}
