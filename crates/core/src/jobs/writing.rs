//! What of the book is to be written, in which order, and what a transaction has made durable.

use super::*;
use oatloom_ledger::constants::ROLLUP_BYTES;
use oatloom_ledger::rollup::{CURSOR, Slot, Spent};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    End(JobId),
    Chunk(JobId, u32),
    /// Of the account: never queued, made anew with each transaction.
    Rollup(Slot),
    Cursor,
}

/// What a transaction in flight will have made durable.
#[derive(Clone, Debug)]
pub struct Written {
    item: Item,
    version: u64,
    deletes: bool,
    /// The usage that a final state was written with.
    spent: Option<Arc<Spent>>,
    /// Of a record whose tasks are nodes of a graph: those that it says are done.
    done: Vec<u32>,
}

impl Written {
    pub(super) fn of(item: Item) -> Self {
        Self { item, version: 0, deletes: false, spent: None, done: Vec::new() }
    }

    pub fn item(&self) -> &Item {
        &self.item
    }
}

/// How soon a change of the book is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Haste {
    Lazy,
    Soon,
}

impl Book {
    /// Changes that are not written yet.
    pub fn unwritten(&self) -> usize {
        self.queued.len() + self.refusals.waiting()
    }

    /// Marks the chunk of a task as changed.
    pub(super) fn touch(&mut self, id: &JobId, index: u32, haste: Haste) {
        let chunk = index / CHUNK_TASKS;
        if let Some(job) = self.jobs.get_mut(id) {
            job.chunks[chunk as usize].version += 1;
        }
        self.enqueue(Item::Chunk(id.clone(), chunk), haste);
    }

    pub(super) fn enqueue(&mut self, item: Item, haste: Haste) {
        // What waits already and is now wanted sooner leaves a stale row behind, which is skipped.
        // What the service refused alone comes again by itself.
        let known = self.queued.get(&item).is_some_and(|known| *known >= haste);
        if known || self.refusals.holds(&item) {
            return;
        }
        self.queued.insert(item.clone(), haste);
        let batch = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_batch);
        match (&item, haste) {
            (Item::End(_), _) => self.urgent.push_back(item),
            (_, Haste::Soon) => self.dirty.push_back(item),
            // Other nodes of its graph wait for what ends of it.
            (Item::Chunk(id, _), Haste::Lazy) if batch(id) => {
                self.brisk.push_back((self.now.plus(BATCH_WRITE_MS), item));
            }
            (_, Haste::Lazy) => self.lazy.push_back((self.now.plus(LAZY_WRITE_MS), item)),
        }
    }

    /// The item to be written next, if one is due.
    pub(super) fn pop(&mut self) -> Option<Item> {
        loop {
            let (item, haste) = if let Some(item) = self.urgent.pop_front() {
                (item, Haste::Soon)
            } else if let Some(item) = self.dirty.pop_front() {
                (item, Haste::Soon)
            } else {
                let due = |queue: &VecDeque<(Mono, Item)>| {
                    queue.front().is_some_and(|(due, _)| *due <= self.now)
                };
                let queue = if due(&self.brisk) { &mut self.brisk } else { &mut self.lazy };
                queue.front().filter(|(due, _)| *due <= self.now)?;
                (queue.pop_front()?.1, Haste::Lazy)
            };
            if self.queued.get(&item) == Some(&haste) {
                self.queued.remove(&item);
                if !self.refusals.holds(&item) {
                    return Some(item);
                }
            }
        }
    }

    /// The next fenced transaction, within the limits of the service.
    pub fn next_txn(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Mono,
    ) -> Option<(Txn, Vec<Written>)> {
        self.now = now;
        let awaited = !self.urgent.is_empty() || !self.dirty.is_empty();
        if let Some(flush) = self.flush(fence.clone(), ops, now, awaited) {
            return Some(flush);
        }
        let mut txn = Txn { conditions: vec![fence], changes: Vec::new() };
        let mut written = Vec::new();
        let mut bytes = 0;
        // An end is two changes, and as many more as the job has assignment records to remove.
        // A record that is removed may touch the roll-ups of two days besides.
        let room =
            |book: &Self, txn: &Txn| ops.saturating_sub(txn.changes.len() + book.rollups_touched());
        let least = if self.account.is_some() { 3.min(ops) } else { 2 };
        let full =
            |book: &Self, bytes: usize| bytes + book.rollups_touched() * ROLLUP_BYTES >= TXN_BYTES;
        // What was refused alone is tried alone.
        let mut retried = self.refusals.take_due(now);
        let most = if retried.is_some() { 1 } else { self.refusals.most() };
        let mut items = 0;
        while items < most && room(self, &txn) >= least && !full(self, bytes) {
            let Some(item) = retried.take().or_else(|| self.pop()) else { break };
            items += 1;
            let Item::End(id) = &item else {
                let Some(done) = self.write(&item, &mut txn, &mut bytes) else {
                    items -= 1;
                    continue;
                };
                if done.deletes
                    && let Item::Chunk(id, chunk) = &item
                {
                    self.spill(id, *chunk);
                }
                written.push(done);
                continue;
            };
            // Alone and refused before, an end takes nothing along.
            let beside = if most > 1 { room(self, &txn).saturating_sub(2) } else { 0 };
            let chunks = self.leftovers(id, beside);
            let Some(done) = self.write_end(id, chunks.is_some(), &mut txn, &mut bytes) else {
                items -= 1;
                continue;
            };
            if chunks.is_some() && self.account.is_some() {
                // Guards against a record that is first written beside the final state which took its usage along:
                // its removal would count it again.
                let all = self.jobs.get(id).map_or(0, |job| job.chunks.len() as u32);
                for chunk in 0..all {
                    self.queued.remove(&Item::Chunk(id.clone(), chunk));
                }
            }
            written.push(done);
            for chunk in chunks.unwrap_or_default() {
                let item = Item::Chunk(id.clone(), chunk);
                self.queued.remove(&item);
                written.extend(self.remove(id, chunk, &mut txn));
            }
        }
        self.write_rollups(&mut txn, &mut written);
        (!written.is_empty()).then_some((txn, written))
    }

    pub(super) fn write(
        &mut self,
        item: &Item,
        txn: &mut Txn,
        bytes: &mut usize,
    ) -> Option<Written> {
        match item {
            Item::End(_) | Item::Rollup(_) | Item::Cursor => None,
            Item::Chunk(id, chunk) => {
                let job = self.jobs.get(id)?;
                let slot = job.chunks.get(*chunk as usize)?;
                let empty = job.chunk_range(*chunk).all(|task| job.hold(task).is_none());
                if job.state == JobState::Over && empty {
                    return self.remove(id, *chunk, txn);
                }
                let Some(value) = self.chunk_value(job, *chunk) else {
                    self.wait_for_room(item.clone());
                    return None;
                };
                let key = chunk_key(id, *chunk);
                txn.conditions.push(Condition { key: key.clone(), version: slot.stamp });
                if slot.stamp == Revision(0) {
                    if job.state == JobState::Over {
                        // What was sent to a machine stands in a record; none is created for a job that is over, whose
                        // key no second condition could guard.
                        return None;
                    }
                    // Guards against a late copy of this write that finds the key missing again, since the job has
                    // ended: its record came back, stayed for ever, and its tasks were counted by the next leader.
                    let version = job.live_stamp;
                    txn.conditions.push(Condition { key: live_key(id), version });
                }
                *bytes += 60 + value.to_string().len();
                txn.changes.push(Change::put(key, value));
                let range = chunk * CHUNK_TASKS..(chunk + 1).saturating_mul(CHUNK_TASKS);
                let is_done = |task: &u32| job.tasks.get(*task as usize) == Some(&Task::Done);
                let done =
                    if job.is_batch() { range.filter(is_done).collect() } else { Vec::new() };
                Some(Written { version: slot.version, done, ..Written::of(item.clone()) })
            }
        }
    }

    /// Writes a job's final state, with its usage if its records go in the same write.
    pub(super) fn write_end(
        &mut self,
        id: &JobId,
        with_records: bool,
        txn: &mut Txn,
        bytes: &mut usize,
    ) -> Option<Written> {
        let when = |key: String, version| Condition { key, version };
        let job = self.jobs.get(id)?;
        let JobState::Ending(status) = job.state else {
            return None;
        };
        let spent = self.spent(job, with_records);
        let record = self.over_record(job, status, spent.clone());
        let value = serde_json::to_value(record).unwrap_or(Value::Null);
        if !self.fits(&value) {
            self.wait_for_room(Item::End(id.clone()));
            return None;
        }
        txn.conditions.push(when(over_key(id), Revision(0)));
        txn.conditions.push(when(live_key(id), job.live_stamp));
        *bytes += 60 + value.to_string().len();
        txn.changes.push(Change::put(over_key(id), value));
        txn.changes.push(Change::Delete { key: live_key(id) });
        Some(Written { spent, ..Written::of(Item::End(id.clone())) })
    }

    /// Removes an assignment record, if there is one.
    pub(super) fn remove(&self, id: &JobId, chunk: u32, txn: &mut Txn) -> Option<Written> {
        let slot = self.jobs.get(id)?.chunks.get(chunk as usize)?;
        if slot.stamp == Revision(0) {
            return None;
        }
        let key = chunk_key(id, chunk);
        txn.conditions.push(Condition { key: key.clone(), version: slot.stamp });
        txn.changes.push(Change::Delete { key });
        let item = Item::Chunk(id.clone(), chunk);
        Some(Written { version: slot.version, deletes: true, ..Written::of(item) })
    }

    /// Records that can go together with the job's end, since nothing of it is on a machine: saves
    /// writing what its last tasks have done.
    pub(super) fn leftovers(&self, id: &JobId, most: usize) -> Option<Vec<u32>> {
        let job = self.jobs.get(id).filter(|job| job.held == 0)?;
        let chunks = job.stored_chunks();
        (chunks.len() <= most).then_some(chunks)
    }

    /// A transaction was applied at `revision`. Returns the jobs whose end is now durable.
    pub fn committed(
        &mut self,
        written: &[Written],
        revision: Revision,
    ) -> Vec<(JobId, OverRecord)> {
        self.refusals.taken(written.iter().map(|done| &done.item));
        let mut over = Vec::new();
        // Records before ends: guards against forgetting a job whose record was written along with
        // its end, and which nobody would remove any more.
        let (ends, chunks): (Vec<&Written>, Vec<&Written>) =
            written.iter().partition(|w| matches!(w.item, Item::End(_)));
        for done in chunks.into_iter().chain(ends) {
            match &done.item {
                Item::Rollup(_) | Item::Cursor => self.rollup_committed(&done.item, revision),
                Item::End(id) => over.extend(self.ended(id, done.spent.clone(), revision)),
                Item::Chunk(id, chunk) => {
                    let Some(job) = self.jobs.get_mut(id) else {
                        continue;
                    };
                    let Some(slot) = job.chunks.get_mut(*chunk as usize) else {
                        continue;
                    };
                    slot.stamp = if done.deletes { Revision(0) } else { revision };
                    slot.durable = slot.durable.max(done.version);
                    if !done.done.is_empty() {
                        self.progress.push((id.clone(), done.done.clone()));
                    }
                    if done.deletes {
                        job.usage.remove(chunk);
                    }
                    self.sweep(id);
                }
            }
        }
        over
    }

    /// The end of a job is durable.
    pub(super) fn ended(
        &mut self,
        id: &JobId,
        spent: Option<Arc<Spent>>,
        stamp: Revision,
    ) -> Option<(JobId, OverRecord)> {
        let job = self.jobs.get_mut(id)?;
        let JobState::Ending(status) = job.state else {
            return None;
        };
        job.enter(JobState::Over, "durable");
        self.stop_waiting(id);
        let job = self.jobs.get(id)?;
        let record = self.over_record(job, status, spent);
        self.counted(id, &record, stamp);
        self.dependency_ended(id, status, self.now);
        let job = self.jobs.get(id)?;
        for chunk in job.stored_chunks() {
            self.enqueue(Item::Chunk(id.clone(), chunk), Haste::Lazy);
        }
        self.sweep(id);
        Some((id.clone(), record))
    }

    /// Drops a job that is over once nothing of it is left on machines or in the store.
    pub(super) fn sweep(&mut self, id: &JobId) {
        let gone = self.jobs.get(id).is_some_and(|job| {
            job.state == JobState::Over
                && job.held == 0
                && job.chunks.iter().all(|c| c.stamp == Revision(0))
        });
        if gone {
            self.jobs.remove(id);
        }
    }

    /// A transaction failed or its fate is unknown: its items are to be written again.
    pub fn requeue(&mut self, written: Vec<Written>) {
        self.rollups_abandoned();
        for done in written {
            if matches!(done.item, Item::End(_) | Item::Chunk(..)) {
                self.enqueue(done.item, Haste::Soon);
            }
        }
    }

    /// A transaction was refused for what it is: it is not written as it was again.
    pub fn refused(&mut self, written: Vec<Written>, now: Mono) {
        let own = |done: &&Written| matches!(done.item, Item::End(_) | Item::Chunk(..));
        let mut items: Vec<Item> = written.iter().filter(own).map(|w| w.item.clone()).collect();
        // An end takes records along, and is written without them if it is refused.
        items.sort();
        match self.refusals.refused(&items, now) {
            None => self.flush_refused(now),
            Some(Refusal::Smaller) => {
                log::warn!("store: writing {} items at once from here on", self.refusals.most());
            }
            Some(Refusal::SetAside(item, pause)) => {
                log::error!("store: {} is refused alone; again in {pause:?}", Self::key_of(&item));
            }
        }
        self.requeue(written);
    }

    /// What does not fit a value at present is written later: by then some of it may have ended.
    fn wait_for_room(&mut self, item: Item) {
        let pause = self.refusals.set_aside(item.clone(), self.now);
        log::error!("store: {} does not fit a value; again in {pause:?}", Self::key_of(&item));
    }

    /// What the store holds under the key of an item whose fate was unknown: its version, and
    /// whether a job's end was found there.
    pub fn resolved(&mut self, item: &Item, row: Option<Row>) -> Option<(JobId, OverRecord)> {
        let stamp = row.as_ref().map_or(Revision(0), |row| row.version);
        match item {
            Item::Rollup(_) | Item::Cursor => {
                let found = row.as_ref().map(|row| (&row.value, row.version));
                self.rollup_resolved(item, found);
                None
            }
            Item::End(id) if stamp > Revision(0) => {
                let read = row.and_then(|row| serde_json::from_value::<OverRecord>(row.value).ok());
                // What stands in the store is the end, whatever was decided here. Guards against a leader that was cut off
                // and finds the end that a later one has written before it hears of that one: it told its own for ever.
                if let (Some(record), Some(job)) = (&read, self.jobs.get_mut(id))
                    && !matches!(job.state, JobState::Over)
                    && job.state != JobState::Ending(record.status)
                {
                    log::warn!("job {id}: was {:?} here, and is {:?}", job.state, record.status);
                    job.enter(JobState::Ending(record.status), "its final state was found");
                }
                let spent = read.as_ref().and_then(|record| record.spent.clone());
                let (id, own) = self.ended(id, spent, stamp)?;
                Some((id, read.unwrap_or(own)))
            }
            Item::End(_) => None,
            Item::Chunk(id, chunk) => {
                if let Some(slot) =
                    self.jobs.get_mut(id).and_then(|job| job.chunks.get_mut(*chunk as usize))
                {
                    slot.stamp = stamp;
                }
                if stamp == Revision(0)
                    && let Some(job) = self.jobs.get_mut(id).filter(|j| j.state == JobState::Over)
                {
                    // Its removal was applied, and what it had used is where that put it.
                    job.usage.remove(chunk);
                }
                self.sweep(id);
                None
            }
        }
    }

    /// Key whose reading settles an item.
    pub fn key_of(item: &Item) -> String {
        match item {
            Item::End(id) => over_key(id),
            Item::Chunk(id, chunk) => chunk_key(id, *chunk),
            Item::Rollup(slot) => slot.key(),
            Item::Cursor => CURSOR.to_owned(),
        }
    }
}
