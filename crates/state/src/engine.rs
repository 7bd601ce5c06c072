//! The deterministic core of the service: turns events into actions. Changes are applied in memory at once and
//! written to the log in groups; a reply is sent only when every change that it reveals is durable.

use crate::api::{Request, Txn};
use crate::constants::*;
use crate::keyspace::{Entry, Keyspace, RecentChange};
use crate::rate_limiter::RateLimiter;
use crate::records::Record;
use crate::recovery::Recovered;
use crate::settings::Settings;
use crate::snapshots::SnapshotScheduler;
use crate::wal::{Group, SnapshotStep};
use oatloom_protocol::ids::{LeaseId, Millis, Mono, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Changes, Grant, LoggedChange, Page, RevisionReply, Row, StateStatus};
use serde_json::value::RawValue;
use std::collections::VecDeque;

/// Identifies a request whose client waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Result of writing a group to the log.
#[derive(Debug)]
pub enum InFlightWrite {
    /// The group is in the log and survives a crash.
    Durable,
    /// No part of the group is in the log; writing it may be retried.
    NotWritten { group: Group, cause: String },
    /// It is unknown whether the group is in the log.
    Unknown { cause: String },
}

/// Input of the engine.
#[derive(Debug)]
pub enum Event {
    /// Time has passed without another event.
    Tick,
    /// A validated request was received.
    Request { request_id: RequestId, request: Request },
    /// The log thread finished a group.
    GroupWritten { number: u64, outcome: InFlightWrite },
    /// The snapshot thread finished a step.
    SnapshotStepDone { succeeded: bool },
}

/// Output of the engine.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Replies to a request.
    Reply { request_id: RequestId, reply: HttpReply },
    /// Writes a group to the log, to be answered by [`Event::GroupWritten`]. At most one group is in flight.
    Write(Group),
    /// Executes a step of a snapshot, to be answered by [`Event::SnapshotStepDone`]. At most one step is in flight.
    Snapshot(SnapshotStep),
    /// Ends the process: only recovery can tell what was written.
    Fail(String),
}

/// Whether changes can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Changes are accepted.
    Serving,
    /// The disk rejected the last group, which is retried at this time. Changes are refused.
    DiskFull { retry_at: Mono },
    /// It is unknown what was written; the process is about to end.
    Failed,
}

/// A reply that is held back until a group is durable.
struct PendingReply {
    group: u64,
    request_id: RequestId,
    reply: HttpReply,
    /// The request changed nothing.
    is_read: bool,
}

/// A client that waits for changes of keys with a prefix after a revision.
struct Watch {
    request_id: RequestId,
    prefix: String,
    after: u64,
    deadline: Mono,
}

/// The group that the log thread is writing.
struct InFlightGroup {
    /// Revision of the keyspace after the group.
    revision: u64,
    bytes: usize,
}

/// State of the service: the keyspace, the position in the log, and the requests that wait.
pub struct Engine {
    keyspace: Keyspace,
    rate_limiter: RateLimiter,
    health: Health,
    /// Encoded records that were applied but not yet sent to the log thread.
    unwritten: Vec<u8>,
    /// Number of the next group.
    next_group: u64,
    in_flight_group: Option<InFlightGroup>,
    /// A group that the full disk rejected, until it is retried.
    rejected_group: Option<Group>,
    /// The next group begins a new log file.
    starts_file: bool,
    /// The last durable group, and the revision of the keyspace after it.
    durable_group: u64,
    durable_revision: u64,
    pending_replies: VecDeque<PendingReply>,
    watches: Vec<Watch>,
    /// The revision up to which all watches were checked last, and the time of that check.
    last_watch_check: (u64, Mono),
    snapshots: SnapshotScheduler,
    /// Number of groups written since the start.
    written_group_count: u64,
    /// Time of the last event.
    last_event_at: Mono,
    actions: Vec<Action>,
}

/// Wraps JSON text that was validated when it was received.
fn to_raw_json(text: &str) -> &RawValue {
    serde_json::from_str(text).unwrap_or(RawValue::NULL)
}

fn to_row<'a>(key: &str, entry: &'a Entry) -> Row<&'a RawValue> {
    Row {
        key: key.to_owned(),
        value: to_raw_json(&entry.value),
        version: Revision(entry.revision),
        lease: (entry.lease > 0).then_some(LeaseId(entry.lease)),
    }
}

fn to_logged_change(change: &RecentChange) -> LoggedChange<&RawValue> {
    let key = change.key.to_string();
    let (put, delete) = match change.value {
        Some(_) => (Some(key), None),
        None => (None, Some(key)),
    };
    let value = to_raw_json(change.value.as_deref().unwrap_or("null"));
    LoggedChange { put, delete, value, version: Revision(change.revision) }
}

/// Builds an error reply that asks the client to retry later.
fn build_retry_reply(status: u16, text: &str) -> HttpReply {
    HttpReply { status, ..HttpReply::unavailable(text) }
}

fn build_revision_reply(status: u16, revision: u64, failed: Vec<String>) -> HttpReply {
    HttpReply::json(status, &RevisionReply { revision: Revision(revision), failed })
}

impl Engine {
    /// Continues from the recovered state.
    pub fn new(settings: &Settings, recovered: Recovered, now: Mono) -> Self {
        Self {
            rate_limiter: RateLimiter::new(settings.rps, settings.write_rps, now),
            snapshots: SnapshotScheduler::new(recovered.snapshots, recovered.log_bytes, settings),
            health: Health::Serving,
            unwritten: Vec::new(),
            next_group: recovered.next_group,
            in_flight_group: None,
            rejected_group: None,
            starts_file: recovered.log_file.is_empty(),
            durable_group: recovered.next_group - 1,
            durable_revision: recovered.keyspace.revision(),
            keyspace: recovered.keyspace,
            pending_replies: VecDeque::new(),
            watches: Vec::new(),
            last_watch_check: (0, now),
            written_group_count: 0,
            last_event_at: now,
            actions: Vec::new(),
        }
    }

    /// The keys and leases, including changes that are not durable yet.
    pub fn keyspace(&self) -> &Keyspace {
        &self.keyspace
    }

    /// Handles an event and returns the actions to execute, in order. All events go through here.
    pub fn handle(&mut self, now: Mono, event: Event) -> Vec<Action> {
        if now.since(self.last_event_at) > STALL_TIMEOUT_MS {
            // The process was stalled: renewals may have arrived without being read.
            self.keyspace.renew_all_leases(now);
        }
        self.last_event_at = now;
        match event {
            Event::Tick => {}
            Event::Request { request_id, request } => self.on_request(request_id, request, now),
            Event::GroupWritten { number, outcome } => self.on_group_written(number, outcome, now),
            Event::SnapshotStepDone { succeeded } => {
                let step = self.snapshots.on_step_done(succeeded, now);
                self.actions.extend(step.map(Action::Snapshot));
            }
        }
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// Changes the health. All transitions go through here.
    fn set_health(&mut self, health: Health, now: Mono) {
        if matches!(self.health, Health::DiskFull { .. }) && health == Health::Serving {
            // As after any outage, leases get their full time to live again.
            self.keyspace.renew_all_leases(now);
        }
        self.health = health;
    }

    /// Does the work that may be due after any event: retries a rejected group, ends expired leases, starts writing
    /// the next group, replies to watches and continues the snapshot.
    fn advance(&mut self, now: Mono) {
        match self.health {
            Health::Failed => return,
            Health::DiskFull { retry_at } => {
                if now >= retry_at
                    && let Some(group) = self.rejected_group.take()
                {
                    self.actions.push(Action::Write(group));
                }
            }
            Health::Serving => {
                while let Some(lease) = self.keyspace.find_expired_lease(now) {
                    self.end_lease(lease, now);
                }
                self.start_group_write(now);
            }
        }
        self.reply_to_watches(now);
        let (last_applied, last_durable) = (self.last_applied_group(), self.durable_group);
        let step = self.snapshots.next_step(&self.keyspace, last_applied, last_durable);
        self.actions.extend(step.map(Action::Snapshot));
    }

    /// Number of the group that holds the latest change.
    fn last_applied_group(&self) -> u64 {
        if self.unwritten.is_empty() { self.next_group - 1 } else { self.next_group }
    }

    /// Sends the unwritten records to the log thread, unless it is still writing a group.
    fn start_group_write(&mut self, now: Mono) {
        if self.in_flight_group.is_some() {
            return;
        }
        if let Some(step) = self.snapshots.try_begin(self.next_group, now) {
            self.starts_file = true;
            self.actions.push(Action::Snapshot(step));
        }
        if self.unwritten.is_empty() {
            return;
        }
        let records = std::mem::take(&mut self.unwritten);
        let starts_file = std::mem::take(&mut self.starts_file);
        self.in_flight_group =
            Some(InFlightGroup { revision: self.keyspace.revision(), bytes: records.len() });
        self.actions.push(Action::Write(Group { number: self.next_group, records, starts_file }));
        self.next_group += 1;
    }

    /// Handles the result of a group write: sends the replies that waited for it, schedules a retry, or ends
    /// the process.
    fn on_group_written(&mut self, number: u64, outcome: InFlightWrite, now: Mono) {
        match outcome {
            InFlightWrite::Durable => {
                self.set_health(Health::Serving, now);
                let Some(written) = self.in_flight_group.take() else { return };
                self.durable_group = number;
                self.durable_revision = written.revision;
                self.written_group_count += 1;
                self.snapshots.add_log_bytes(written.bytes);
                let ready_count = self.pending_replies.partition_point(|r| r.group <= number);
                let replies = self.pending_replies.drain(..ready_count);
                self.actions.extend(replies.map(|PendingReply { request_id, reply, .. }| {
                    Action::Reply { request_id, reply }
                }));
            }
            InFlightWrite::NotWritten { group, cause } => {
                if self.health == Health::Serving {
                    tracing::warn!(
                        cause,
                        "the disk accepts no writes; changes are refused until it does"
                    );
                }
                self.rejected_group = Some(group);
                self.set_health(
                    Health::DiskFull { retry_at: now.plus(DISK_FULL_RETRY_INTERVAL_MS) },
                    now,
                );
                // Reads fail at once instead of waiting for a change that may not become durable for long. The replies
                // to changes stay: their records are applied and will be written.
                let (reads, changes): (VecDeque<_>, VecDeque<_>) =
                    std::mem::take(&mut self.pending_replies).into_iter().partition(|r| r.is_read);
                self.pending_replies = changes;
                for read in reads {
                    let reply = build_retry_reply(503, "the disk is full");
                    self.actions.push(Action::Reply { request_id: read.request_id, reply });
                }
            }
            InFlightWrite::Unknown { cause } => {
                self.set_health(Health::Failed, now);
                self.actions.push(Action::Fail(cause));
            }
        }
    }

    /// Sends the reply once all changes applied so far are durable.
    fn reply_when_durable(&mut self, request_id: RequestId, reply: HttpReply, is_read: bool) {
        let group = self.last_applied_group();
        if group <= self.durable_group {
            self.actions.push(Action::Reply { request_id, reply });
        } else {
            self.pending_replies.push_back(PendingReply { group, request_id, reply, is_read });
        }
    }

    /// Sends the reply at once: it reveals no change that may be lost.
    fn reply_now(&mut self, request_id: RequestId, reply: HttpReply) {
        self.actions.push(Action::Reply { request_id, reply });
    }

    /// Applies a record and adds it to the next group.
    fn apply_and_log(&mut self, record: &Record, now: Mono) {
        self.keyspace.apply(record, now);
        match postcard::to_allocvec(record) {
            Ok(bytes) => self.unwritten.extend_from_slice(&bytes),
            // Serialization fails only if the writer does, and writing to a vector cannot fail.
            Err(e) => self.actions.push(Action::Fail(format!("a record cannot be encoded: {e}"))),
        }
    }

    /// Ends a lease and deletes its keys.
    fn end_lease(&mut self, lease: u64, now: Mono) {
        for record in self.keyspace.build_lease_end_records(lease) {
            self.apply_and_log(&record, now);
        }
    }

    /// Checks the health and the rate limits, then executes the request.
    fn on_request(&mut self, request_id: RequestId, request: Request, now: Mono) {
        if request == Request::Status {
            let status = self.build_status();
            return self.reply_now(request_id, HttpReply::json(200, &status));
        }
        let makes_changes = matches!(&request, Request::Txn(txn) if !txn.writes.is_empty())
            || matches!(request, Request::GrantLease { .. } | Request::RevokeLease { .. });
        let reads_keys =
            matches!(request, Request::Get { .. } | Request::List { .. } | Request::Txn(_));
        // While the disk accepts no writes, changes are refused, and so are reads that would have to wait for a change
        // to become durable.
        let is_write_blocked = self.health != Health::Serving;
        if is_write_blocked
            && (makes_changes || reads_keys && self.last_applied_group() > self.durable_group)
        {
            return self
                .reply_now(request_id, build_retry_reply(503, "the disk accepts no writes"));
        }
        if makes_changes && self.unwritten.len() > MAX_GROUP_BYTES / 2 {
            return self.reply_now(
                request_id,
                build_retry_reply(503, "too many changes are waiting to be written to the disk"),
            );
        }
        if !self.rate_limiter.try_acquire(request.change_count(), now) {
            return self.reply_now(
                request_id,
                build_retry_reply(429, "too many requests or changes per second"),
            );
        }
        match request {
            Request::Status => {}
            Request::Get { key } => {
                let reply = match self.keyspace.get(&key) {
                    Some(entry) => HttpReply::json(200, &to_row(&key, entry)),
                    None => build_revision_reply(404, self.keyspace.revision(), Vec::new()),
                };
                self.reply_when_durable(request_id, reply, true);
            }
            Request::List { prefix, after, max_rows } => {
                let reply =
                    HttpReply::json(200, &self.list_page(&prefix, after.as_deref(), max_rows));
                self.reply_when_durable(request_id, reply, true);
            }
            Request::Txn(txn) => self.execute_txn(request_id, txn, now),
            Request::GrantLease { ttl_ms } => {
                let lease = self.keyspace.next_lease();
                self.apply_and_log(&Record::Granted { lease, ttl_ms }, now);
                self.reply_when_durable(
                    request_id,
                    HttpReply::json(200, &Grant { lease: LeaseId(lease) }),
                    false,
                );
            }
            Request::RenewLease { lease } => {
                if self.keyspace.renew_lease(lease, now) {
                    self.reply_now(
                        request_id,
                        HttpReply::json(200, &Grant { lease: LeaseId(lease) }),
                    );
                } else {
                    self.reply_when_durable(
                        request_id,
                        HttpReply::error(404, "no such lease"),
                        true,
                    );
                }
            }
            Request::RevokeLease { lease } => {
                if self.keyspace.has_lease(lease) {
                    self.end_lease(lease, now);
                    self.reply_when_durable(
                        request_id,
                        HttpReply::json(200, &Grant { lease: LeaseId(lease) }),
                        false,
                    );
                } else {
                    self.reply_when_durable(
                        request_id,
                        HttpReply::error(404, "no such lease"),
                        true,
                    );
                }
            }
            Request::Watch { prefix, after, wait_ms } => {
                let deadline = now.plus(Millis(wait_ms));
                self.watches.push(Watch { request_id, prefix, after, deadline });
                // Forces a check: the watch may start at a revision in the past.
                self.last_watch_check.0 = u64::MAX;
            }
        }
    }

    /// Returns a page of rows, limited in number and size; it has at least one row if any key matches.
    fn list_page<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        max_rows: usize,
    ) -> Page<&'a RawValue> {
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, entry) in self.keyspace.range(prefix, after) {
            bytes += key.len() + entry.value.len() + ROW_OVERHEAD_BYTES;
            if rows.len() >= max_rows || bytes > MAX_PAGE_BYTES && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(to_row(key, entry));
        }
        Page { rows, more, revision: Revision(self.keyspace.revision()) }
    }

    /// Applies a transaction if its leases exist and its conditions hold, and replies.
    fn execute_txn(&mut self, request_id: RequestId, txn: Txn, now: Mono) {
        let Txn { conditions, writes } = txn;
        if writes.iter().any(|w| w.lease > 0 && !self.keyspace.has_lease(w.lease)) {
            return self.reply_when_durable(
                request_id,
                HttpReply::error(400, "no such lease"),
                true,
            );
        }
        let get_revision = |key: &str| self.keyspace.get(key).map_or(0, |entry| entry.revision);
        let failed: Vec<String> = conditions
            .into_iter()
            .filter(|c| get_revision(&c.key) != c.version.0)
            .map(|c| c.key)
            .collect();
        if !failed.is_empty() {
            let revision = self.keyspace.revision();
            return self.reply_when_durable(
                request_id,
                build_revision_reply(409, revision, failed),
                true,
            );
        }
        let is_read = writes.is_empty();
        if !is_read {
            let revision = self.keyspace.revision() + 1;
            self.apply_and_log(&Record::Changed { revision, writes }, now);
        }
        self.reply_when_durable(
            request_id,
            build_revision_reply(200, self.keyspace.revision(), Vec::new()),
            is_read,
        );
    }

    /// Replies to watches that have durable changes or whose wait has ended. Watches report durable changes only.
    fn reply_to_watches(&mut self, now: Mono) {
        let (keyspace, to) = (&self.keyspace, self.durable_revision);
        if to == self.last_watch_check.0 && now.since(self.last_watch_check.1) < TICK_INTERVAL_MS {
            return;
        }
        self.last_watch_check = (to, now);
        let actions = &mut self.actions;
        self.watches.retain_mut(|watch| {
            let reply = match keyspace.find_changes(&watch.prefix, watch.after, to) {
                None => Some(HttpReply::error(410, "these changes are no longer in memory")),
                Some(changes) => {
                    let log: Vec<_> = changes.map(to_logged_change).collect();
                    if log.is_empty() && now < watch.deadline {
                        // The next check can skip what was checked now.
                        watch.after = watch.after.max(to);
                        None
                    } else {
                        Some(HttpReply::json(200, &Changes { revision: Revision(to), log }))
                    }
                }
            };
            let is_pending = reply.is_none();
            actions
                .extend(reply.map(|reply| Action::Reply { request_id: watch.request_id, reply }));
            is_pending
        });
    }

    fn build_status(&self) -> StateStatus {
        StateStatus {
            revision: Revision(self.durable_revision),
            keys: self.keyspace.len() as u64,
            leases: self.keyspace.lease_count() as u64,
            watches: self.watches.len() as u64,
            waiting: self.pending_replies.len() as u64,
            groups: self.written_group_count,
            log_bytes: self.snapshots.log_bytes(),
            snapshots: self.snapshots.completed_count() as u64,
            health: match self.health {
                Health::Serving => "serving",
                Health::DiskFull { .. } => "full",
                Health::Failed => "failed",
            }
            .to_owned(),
        }
    }
}
