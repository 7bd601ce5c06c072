//! The leader's single writer: which transactions it sends, and how an unknown outcome is resolved.

use super::*;

impl Controller {
    pub(super) fn write(&mut self, now: Now) {
        if self.writer != Writer::Idle || now.mono < self.write_after {
            return;
        }
        // The job table and the graphs alternate.
        let first = std::mem::replace(&mut self.graphs_turn, false);
        if first && self.write_graphs(now) {
            return;
        }
        if self.write_book(now.mono) {
            self.graphs_turn = true;
        } else if !first {
            self.write_graphs(now);
        }
    }

    /// Submits the next transaction of the job table; returns whether there was one.
    fn write_book(&mut self, now: Mono) -> bool {
        let (Some(token), Some(fence)) = (self.leadership.token(), self.leadership.fence()) else {
            return false;
        };
        let Some(reign) = self.reign.as_mut().filter(|r| r.stage == Stage::Ruling) else {
            return false;
        };
        let ops = self.limits.changes();
        let Some((txn, written)) = reign.book.next_txn(fence, ops, now) else {
            return false;
        };
        self.writer = Writer::Writing;
        self.traffic.changes += txn.changes.len();
        let _ = self.submit(now, Lane::Write, StoreOp::Txn(txn), Purpose::Write { token, written });
        true
    }

    pub(super) fn on_written(
        &mut self,
        now: Mono,
        token: Token,
        written: Vec<Written>,
        reply: StoreReply,
    ) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else {
            return;
        };
        self.writer = Writer::Idle;
        match reply {
            StoreReply::Committed(revision) => {
                let over = reign.book.committed(&written, revision);
                self.ended(over);
            }
            StoreReply::Conflict(failed) if failed.iter().any(|k| k == LEAD_KEY) => {
                reign.book.requeue(written);
                self.leadership.fenced_off();
            }
            reply @ (StoreReply::Conflict(_) | StoreReply::Lost) => {
                log::warn!("store: a write's fate is open; reading {} keys", written.len());
                let mut items: Vec<Item> = written.iter().map(|w| w.item().clone()).collect();
                // A live key that conflicts may belong to a job that has ended and that this job
                // table does not know. Unless its record is read, the transaction could never be
                // written, and nothing after it.
                if let StoreReply::Conflict(failed) = &reply {
                    let live = |key: &String| JobId::parse(key.strip_prefix(jobs::LIVE)?);
                    items.extend(failed.iter().filter_map(live).map(Item::End));
                    items.sort();
                    items.dedup();
                }
                reign.book.requeue(written);
                self.resolve(now, token, items);
                self.turn_waiters_away();
            }
            StoreReply::Malformed(text) => {
                let other = self.write_refused(&text);
                let Some(reign) = self.reign.as_mut() else { return };
                if other {
                    reign.book.requeue(written);
                } else {
                    reign.book.refused(written, now);
                }
                self.turn_waiters_away();
            }
            _ => {
                reign.book.requeue(written);
                self.write_after = now.plus(STORE_PAUSE_MS);
                self.turn_waiters_away();
            }
        }
    }

    /// Replies to requests that wait for a job's end to become durable, when the write is delayed.
    pub(super) fn turn_waiters_away(&mut self) {
        let waiting = std::mem::take(&mut self.waiting_end);
        let waiting: Vec<ConnId> = waiting.into_values().flatten().collect();
        for conn in waiting {
            self.reply(conn, HttpReply::later("the end could not be written yet"));
        }
    }

    pub(super) fn resolve(&mut self, now: Mono, token: Token, items: Vec<Item>) {
        let Some(item) = items.last().cloned() else {
            self.writer = Writer::Idle;
            return;
        };
        self.writer = Writer::Resolving(items);
        let op = StoreOp::Get { key: jobs::Book::key_of(&item) };
        let _ = self.submit(now, Lane::Write, op, Purpose::Resolve { token, item });
    }

    pub(super) fn on_resolved(&mut self, now: Mono, token: Token, item: Item, reply: StoreReply) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else {
            return;
        };
        let Writer::Resolving(mut items) = std::mem::replace(&mut self.writer, Writer::Idle) else {
            return;
        };
        let found = match reply {
            StoreReply::Found(row) => Some(Some(row)),
            StoreReply::Missing(_) => Some(None),
            _ => None,
        };
        if let Some(found) = found {
            let over = reign.book.resolved(&item, found);
            items.pop();
            self.ended(over);
        }
        self.resolve(now, token, items);
    }

    /// Publishes ends of jobs that have become durable.
    pub(super) fn ended(&mut self, over: impl IntoIterator<Item = (JobId, OverRecord)>) {
        for (id, record) in over {
            self.over.insert(id.clone(), record.clone());
            self.graph_job_over(&id, &record);
            for conn in self.waiting_end.remove(&id).unwrap_or_default() {
                self.reply(conn, HttpReply::json(200, &record.view(&id)));
            }
        }
    }
}
