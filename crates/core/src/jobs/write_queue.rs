//! The write queue of the job table: which changes are written in which order, and what a committed transaction
//! has made durable.

use super::*;
use oatloom_ledger::constants::MAX_ROLLUP_BYTES;
use oatloom_ledger::rollup::{CURSOR_KEY, JobUsage, RollupId};
use serde_json::Value;

/// A key to be written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteItem {
    /// The final record of a job.
    FinalRecord(JobId),
    /// The assignment record of a chunk.
    Chunk(JobId, u32),
    /// A usage roll-up. Never queued: the writes are generated for each transaction.
    Rollup(RollupId),
    /// The cursor of usage accounting.
    Cursor,
}

/// An item in a transaction in flight, and what its commit makes durable.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    item: WriteItem,
    version: u64,
    deletes: bool,
    /// The usage contained in the final record.
    spent: Option<Arc<JobUsage>>,
    /// The completed tasks in a record whose tasks are graph nodes.
    done: Vec<u32>,
}

impl PendingWrite {
    pub(super) fn of(item: WriteItem) -> Self {
        Self { item, version: 0, deletes: false, spent: None, done: Vec::new() }
    }

    pub fn item(&self) -> &WriteItem {
        &self.item
    }
}

/// How soon a change of the job table is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WritePriority {
    Deferred,
    Immediate,
}

impl JobTable {
    /// Number of items that are not written yet.
    pub fn unwritten_count(&self) -> usize {
        self.queued.len() + self.backoff.deferred_count()
    }

    /// Marks the chunk of a task as changed.
    pub(super) fn mark_changed(&mut self, id: &JobId, index: u32, priority: WritePriority) {
        let chunk = index / TASKS_PER_CHUNK;
        if let Some(job) = self.jobs.get_mut(id) {
            job.chunks[chunk as usize].version += 1;
        }
        self.enqueue(WriteItem::Chunk(id.clone(), chunk), priority);
    }

    /// Queues an item for writing.
    pub(super) fn enqueue(&mut self, item: WriteItem, priority: WritePriority) {
        // Raising the priority of a queued item leaves a stale entry in the other queue, which `pop_due` skips.
        // An item that the state service rejected on its own is retried without being queued.
        let is_queued = self.queued.get(&item).is_some_and(|queued| *queued >= priority);
        if is_queued || self.backoff.is_deferred(&item) {
            return;
        }
        self.queued.insert(item.clone(), priority);
        let runs_nodes = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_batch);
        match (&item, priority) {
            (WriteItem::FinalRecord(_), _) => self.end_queue.push_back(item),
            (_, WritePriority::Immediate) => self.assignment_queue.push_back(item),
            // Other nodes of the graph wait for the ends of these tasks.
            (WriteItem::Chunk(id, _), WritePriority::Deferred) if runs_nodes(id) => {
                self.node_queue.push_back((self.now.plus(MAX_NODE_END_WRITE_DELAY_MS), item));
            }
            (_, WritePriority::Deferred) => {
                self.deferred_queue.push_back((self.now.plus(MAX_TASK_END_WRITE_DELAY_MS), item))
            }
        }
    }

    /// The item to be written next, if one is due.
    pub(super) fn pop_due(&mut self) -> Option<WriteItem> {
        loop {
            let (item, priority) = if let Some(item) = self.end_queue.pop_front() {
                (item, WritePriority::Immediate)
            } else if let Some(item) = self.assignment_queue.pop_front() {
                (item, WritePriority::Immediate)
            } else {
                let due = |queue: &VecDeque<(Mono, WriteItem)>| {
                    queue.front().is_some_and(|(due, _)| *due <= self.now)
                };
                let queue = if due(&self.node_queue) {
                    &mut self.node_queue
                } else {
                    &mut self.deferred_queue
                };
                queue.front().filter(|(due, _)| *due <= self.now)?;
                (queue.pop_front()?.1, WritePriority::Deferred)
            };
            if self.queued.get(&item) == Some(&priority) {
                self.queued.remove(&item);
                if !self.backoff.is_deferred(&item) {
                    return Some(item);
                }
            }
        }
    }

    /// The next fenced transaction, within the limits of the state service. `ops` is the maximum number of changes.
    pub fn next_txn(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Mono,
    ) -> Option<(Txn, Vec<PendingWrite>)> {
        self.now = now;
        let awaited = !self.end_queue.is_empty() || !self.assignment_queue.is_empty();
        if let Some(rollups) = self.next_rollup_txn(fence.clone(), ops, now, awaited) {
            return Some(rollups);
        }
        let mut txn = Txn { conditions: vec![fence], changes: Vec::new() };
        let mut written = Vec::new();
        let mut bytes = 0;
        // A final record takes two changes, plus one for each assignment record of the job that is deleted.
        // A deleted record may also change the roll-ups of two days.
        let room = |job_table: &Self, txn: &Txn| {
            ops.saturating_sub(txn.changes.len() + job_table.rollups_touched())
        };
        let min_room = if self.usage_accounting.is_some() { 3.min(ops) } else { 2 };
        let full = |job_table: &Self, bytes: usize| {
            bytes + job_table.rollups_touched() * MAX_ROLLUP_BYTES >= MAX_TXN_BYTES
        };
        // An item that was rejected on its own is retried on its own.
        let mut retried = self.backoff.take_due(now);
        let max_items = if retried.is_some() { 1 } else { self.backoff.max_items() };
        let mut items = 0;
        while items < max_items && room(self, &txn) >= min_room && !full(self, bytes) {
            let Some(item) = retried.take().or_else(|| self.pop_due()) else { break };
            items += 1;
            let WriteItem::FinalRecord(id) = &item else {
                let Some(write) = self.write_chunk(&item, &mut txn, &mut bytes) else {
                    items -= 1;
                    continue;
                };
                if write.deletes
                    && let WriteItem::Chunk(id, chunk) = &item
                {
                    self.move_usage_to_rollups(id, *chunk);
                }
                written.push(write);
                continue;
            };
            // A final record that is retried on its own deletes no assignment records.
            let max_deletes = if max_items > 1 { room(self, &txn).saturating_sub(2) } else { 0 };
            let chunks = self.deletable_chunks(id, max_deletes);
            let Some(write) = self.write_end(id, chunks.is_some(), &mut txn, &mut bytes) else {
                items -= 1;
                continue;
            };
            if chunks.is_some() && self.usage_accounting.is_some() {
                // Guards against an assignment record that is first written beside the final record that already
                // contains its usage: its deletion would count the usage again.
                let all = self.jobs.get(id).map_or(0, |job| job.chunks.len() as u32);
                for chunk in 0..all {
                    self.queued.remove(&WriteItem::Chunk(id.clone(), chunk));
                }
            }
            written.push(write);
            for chunk in chunks.unwrap_or_default() {
                let item = WriteItem::Chunk(id.clone(), chunk);
                self.queued.remove(&item);
                written.extend(self.delete_chunk(id, chunk, &mut txn));
            }
        }
        self.write_rollups(&mut txn, &mut written);
        (!written.is_empty()).then_some((txn, written))
    }

    /// Adds the write of an assignment record to a transaction, or its deletion if the job is finished and no task
    /// of the chunk is assigned.
    pub(super) fn write_chunk(
        &mut self,
        item: &WriteItem,
        txn: &mut Txn,
        bytes: &mut usize,
    ) -> Option<PendingWrite> {
        match item {
            WriteItem::FinalRecord(_) | WriteItem::Rollup(_) | WriteItem::Cursor => None,
            WriteItem::Chunk(id, chunk) => {
                let job = self.jobs.get(id)?;
                let chunk_state = job.chunks.get(*chunk as usize)?;
                let empty = job.chunk_range(*chunk).all(|task| job.assignment(task).is_none());
                if job.state == JobState::Finished && empty {
                    return self.delete_chunk(id, *chunk, txn);
                }
                let Some(value) = self.chunk_value(job, *chunk) else {
                    self.defer_oversized(item.clone());
                    return None;
                };
                let key = chunk_key(id, *chunk);
                txn.conditions
                    .push(Condition { key: key.clone(), version: chunk_state.key_version });
                if chunk_state.key_version == Revision(0) {
                    if job.state == JobState::Finished {
                        // Assignments sent to a worker are already in a record. None is created for a finished job,
                        // since its live key, which the second condition needs, no longer exists.
                        return None;
                    }
                    // Guards against a delayed copy of this write that is applied after the job has ended and its
                    // record was deleted: the record came back, was never deleted, and the next leader counted its
                    // tasks.
                    let version = job.live_revision;
                    txn.conditions.push(Condition { key: live_key(id), version });
                }
                *bytes += 60 + value.to_string().len();
                txn.changes.push(Change::put(key, value));
                let range = chunk * TASKS_PER_CHUNK..(chunk + 1).saturating_mul(TASKS_PER_CHUNK);
                let is_done = |task: &u32| job.tasks.get(*task as usize) == Some(&TaskState::Done);
                let done =
                    if job.is_batch() { range.filter(is_done).collect() } else { Vec::new() };
                Some(PendingWrite {
                    version: chunk_state.version,
                    done,
                    ..PendingWrite::of(item.clone())
                })
            }
        }
    }

    /// Adds a job's final record to a transaction, with its usage if its assignment records are deleted in the same
    /// transaction.
    pub(super) fn write_end(
        &mut self,
        id: &JobId,
        with_records: bool,
        txn: &mut Txn,
        bytes: &mut usize,
    ) -> Option<PendingWrite> {
        let condition = |key: String, version| Condition { key, version };
        let job = self.jobs.get(id)?;
        let JobState::Ending(status) = job.state else {
            return None;
        };
        let spent = self.spent(job, with_records);
        let record = self.final_record(job, status, spent.clone());
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        if !self.fits_limit(&value) {
            self.defer_oversized(WriteItem::FinalRecord(id.clone()));
            return None;
        }
        txn.conditions.push(condition(final_key(id), Revision(0)));
        txn.conditions.push(condition(live_key(id), job.live_revision));
        *bytes += 60 + value.to_string().len();
        txn.changes.push(Change::put(final_key(id), value));
        txn.changes.push(Change::Delete { key: live_key(id) });
        Some(PendingWrite { spent, ..PendingWrite::of(WriteItem::FinalRecord(id.clone())) })
    }

    /// Adds the deletion of an assignment record to a transaction, if the record exists.
    pub(super) fn delete_chunk(
        &self,
        id: &JobId,
        chunk: u32,
        txn: &mut Txn,
    ) -> Option<PendingWrite> {
        let chunk_state = self.jobs.get(id)?.chunks.get(chunk as usize)?;
        if chunk_state.key_version == Revision(0) {
            return None;
        }
        let key = chunk_key(id, chunk);
        txn.conditions.push(Condition { key: key.clone(), version: chunk_state.key_version });
        txn.changes.push(Change::Delete { key });
        let item = WriteItem::Chunk(id.clone(), chunk);
        Some(PendingWrite { version: chunk_state.version, deletes: true, ..PendingWrite::of(item) })
    }

    /// Chunks whose records can be deleted together with the write of the final record, since no task of the job is
    /// assigned. This saves the write of the last completed tasks. `None` if that takes more than `limit` deletions.
    pub(super) fn deletable_chunks(&self, id: &JobId, limit: usize) -> Option<Vec<u32>> {
        let job = self.jobs.get(id).filter(|job| job.assigned == 0)?;
        let chunks = job.stored_chunks();
        (chunks.len() <= limit).then_some(chunks)
    }

    /// Applies the commit of a transaction at `revision`. Returns the jobs whose final record is now durable.
    pub fn committed(
        &mut self,
        written: &[PendingWrite],
        revision: Revision,
    ) -> Vec<(JobId, FinalRecord)> {
        self.backoff.accepted(written.iter().map(|write| &write.item));
        let mut finished = Vec::new();
        // Assignment records go before final records: guards against dropping a job whose assignment record was
        // written in the same transaction as its final record, and which would then never be deleted.
        let (ends, chunks): (Vec<&PendingWrite>, Vec<&PendingWrite>) =
            written.iter().partition(|write| matches!(write.item, WriteItem::FinalRecord(_)));
        for write in chunks.into_iter().chain(ends) {
            match &write.item {
                WriteItem::Rollup(_) | WriteItem::Cursor => {
                    self.rollup_committed(&write.item, revision)
                }
                WriteItem::FinalRecord(id) => {
                    finished.extend(self.end_committed(id, write.spent.clone(), revision))
                }
                WriteItem::Chunk(id, chunk) => {
                    let Some(job) = self.jobs.get_mut(id) else {
                        continue;
                    };
                    let Some(chunk_state) = job.chunks.get_mut(*chunk as usize) else {
                        continue;
                    };
                    chunk_state.key_version = if write.deletes { Revision(0) } else { revision };
                    chunk_state.durable = chunk_state.durable.max(write.version);
                    if !write.done.is_empty() {
                        self.durable_node_tasks.push((id.clone(), write.done.clone()));
                    }
                    if write.deletes {
                        job.usage.remove(chunk);
                    }
                    self.drop_if_unneeded(id);
                }
            }
        }
        finished
    }

    /// Marks a job as finished: its final record is durable at `revision`.
    pub(super) fn end_committed(
        &mut self,
        id: &JobId,
        spent: Option<Arc<JobUsage>>,
        revision: Revision,
    ) -> Option<(JobId, FinalRecord)> {
        let job = self.jobs.get_mut(id)?;
        let JobState::Ending(status) = job.state else {
            return None;
        };
        job.set_state(JobState::Finished, "its final record is durable");
        self.stop_waiting(id);
        let job = self.jobs.get(id)?;
        let record = self.final_record(job, status, spent);
        self.count_final_record(id, &record, revision);
        self.dependency_ended(id, status, self.now);
        let job = self.jobs.get(id)?;
        for chunk in job.stored_chunks() {
            self.enqueue(WriteItem::Chunk(id.clone(), chunk), WritePriority::Deferred);
        }
        self.drop_if_unneeded(id);
        Some((id.clone(), record))
    }

    /// Removes a finished job from memory once it has neither assigned tasks nor assignment records.
    pub(super) fn drop_if_unneeded(&mut self, id: &JobId) {
        let unneeded = self.jobs.get(id).is_some_and(|job| {
            job.state == JobState::Finished
                && job.assigned == 0
                && job.chunks.iter().all(|c| c.key_version == Revision(0))
        });
        if unneeded {
            self.jobs.remove(id);
        }
    }

    /// Queues the items of a transaction again that failed or whose outcome is unknown.
    pub fn requeue(&mut self, written: Vec<PendingWrite>) {
        self.rollups_abandoned();
        for write in written {
            if matches!(write.item, WriteItem::FinalRecord(_) | WriteItem::Chunk(..)) {
                self.enqueue(write.item, WritePriority::Immediate);
            }
        }
    }

    /// Handles a transaction that the state service rejected because of its content; it is not repeated unchanged.
    pub fn rejected(&mut self, written: Vec<PendingWrite>, now: Mono) {
        let is_job_item = |write: &&PendingWrite| {
            matches!(write.item, WriteItem::FinalRecord(_) | WriteItem::Chunk(..))
        };
        let mut items: Vec<WriteItem> =
            written.iter().filter(is_job_item).map(|write| write.item.clone()).collect();
        // Final records sort first. A rejected one is retried without the deletion of assignment records.
        items.sort();
        match self.backoff.rejected(&items, now) {
            None => self.rollups_rejected(now),
            Some(RejectionResponse::Split) => {
                log::warn!(
                    "state service: transaction rejected; limiting transactions to {} items",
                    self.backoff.max_items()
                );
            }
            Some(RejectionResponse::Deferred(item, pause)) => {
                log::error!(
                    "state service: write of {} rejected on its own; retrying in {pause:?}",
                    Self::key_of(&item)
                );
            }
        }
        self.requeue(written);
    }

    /// Delays a write that exceeds the value limit: by the retry some of its tasks may have ended.
    fn defer_oversized(&mut self, item: WriteItem) {
        let pause = self.backoff.defer(item.clone(), self.now);
        log::error!(
            "state service: value of {} exceeds the size limit; retrying in {pause:?}",
            Self::key_of(&item)
        );
    }

    /// Takes the stored row of an item whose write had an unknown outcome. Returns the job and its final record if
    /// that is now known to be durable.
    pub fn resolved(&mut self, item: &WriteItem, row: Option<Row>) -> Option<(JobId, FinalRecord)> {
        let revision = row.as_ref().map_or(Revision(0), |row| row.version);
        match item {
            WriteItem::Rollup(_) | WriteItem::Cursor => {
                let found = row.as_ref().map(|row| (&row.value, row.version));
                self.rollup_resolved(item, found);
                None
            }
            WriteItem::FinalRecord(id) if revision > Revision(0) => {
                let read =
                    row.and_then(|row| serde_json::from_value::<FinalRecord>(row.value).ok());
                // The stored final record wins over a decision made here. Guards against a partitioned leader that
                // finds the final record of a later leader before it learns of that leader: it kept reporting its
                // own decision.
                if let (Some(record), Some(job)) = (&read, self.jobs.get_mut(id))
                    && !matches!(job.state, JobState::Finished)
                    && job.state != JobState::Ending(record.status)
                {
                    log::warn!(
                        "job {id}: is {:?} here, but its stored final status is {:?}",
                        job.state,
                        record.status
                    );
                    job.set_state(JobState::Ending(record.status), "found its stored final record");
                }
                let spent = read.as_ref().and_then(|record| record.spent.clone());
                let (id, computed) = self.end_committed(id, spent, revision)?;
                Some((id, read.unwrap_or(computed)))
            }
            WriteItem::FinalRecord(_) => None,
            WriteItem::Chunk(id, chunk) => {
                if let Some(chunk_state) =
                    self.jobs.get_mut(id).and_then(|job| job.chunks.get_mut(*chunk as usize))
                {
                    chunk_state.key_version = revision;
                }
                if revision == Revision(0)
                    && let Some(job) =
                        self.jobs.get_mut(id).filter(|j| j.state == JobState::Finished)
                {
                    // The deletion was applied, and with it the move of the usage.
                    job.usage.remove(chunk);
                }
                self.drop_if_unneeded(id);
                None
            }
        }
    }

    /// Key of an item in the state service.
    pub fn key_of(item: &WriteItem) -> String {
        match item {
            WriteItem::FinalRecord(id) => final_key(id),
            WriteItem::Chunk(id, chunk) => chunk_key(id, *chunk),
            WriteItem::Rollup(rollup_id) => rollup_id.key(),
            WriteItem::Cursor => CURSOR_KEY.to_owned(),
        }
    }
}
