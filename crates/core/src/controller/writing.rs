//! The leader's single writer: which transactions it sends, and how an unknown outcome is resolved.

use super::*;

impl Controller {
    pub(super) fn write(&mut self, now: Now) {
        if self.writer != Writer::Idle || now.mono < self.next_write {
            return;
        }
        // The job table and the graphs alternate.
        let graphs_first = std::mem::replace(&mut self.graphs_write_next, false);
        if graphs_first && self.write_graphs(now) {
            return;
        }
        if self.write_job_table(now.mono) {
            self.graphs_write_next = true;
        } else if !graphs_first {
            self.write_graphs(now);
        }
    }

    /// Submits the next transaction of the job table; returns whether there was one.
    fn write_job_table(&mut self, now: Mono) -> bool {
        let (Some(token), Some(fence)) = (self.leadership.token(), self.leadership.fence()) else {
            return false;
        };
        let Some(leader_term) =
            self.leader_term.as_mut().filter(|term| term.stage == Stage::Active)
        else {
            return false;
        };
        let ops = self.limits.max_changes();
        let Some((txn, written)) = leader_term.job_table.next_txn(fence, ops, now) else {
            return false;
        };
        self.writer = Writer::Writing;
        self.traffic.changes += txn.changes.len();
        let _ =
            self.submit(now, OpClass::Write, StoreOp::Txn(txn), Purpose::Write { token, written });
        true
    }

    pub(super) fn on_written(
        &mut self,
        now: Mono,
        token: Token,
        written: Vec<PendingWrite>,
        reply: StoreReply,
    ) {
        let Some(leader_term) = self.leader_term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        self.writer = Writer::Idle;
        match reply {
            StoreReply::Committed(revision) => {
                let ended = leader_term.job_table.committed(&written, revision);
                self.publish_ends(ended);
            }
            StoreReply::Conflict(failed) if failed.iter().any(|k| k == LEADER_KEY) => {
                leader_term.job_table.requeue(written);
                self.leadership.step_down();
            }
            reply @ (StoreReply::Conflict(_) | StoreReply::Lost) => {
                log::warn!(
                    "state service: the outcome of a write is unknown; reading back {} keys",
                    written.len()
                );
                let mut items: Vec<WriteItem> = written.iter().map(|w| w.item().clone()).collect();
                // A live key that conflicts may belong to a job that has ended and that this job
                // table does not know. Unless its record is read, the transaction could never be
                // written, and nothing after it.
                if let StoreReply::Conflict(failed) = &reply {
                    let live = |key: &String| JobId::parse(key.strip_prefix(jobs::LIVE_PREFIX)?);
                    items.extend(failed.iter().filter_map(live).map(WriteItem::FinalRecord));
                    items.sort();
                    items.dedup();
                }
                leader_term.job_table.requeue(written);
                self.resolve(now, token, items);
                self.reject_end_waiters();
            }
            StoreReply::Malformed(text) => {
                let stricter = self.on_write_refused(&text);
                let Some(leader_term) = self.leader_term.as_mut() else { return };
                if stricter {
                    leader_term.job_table.requeue(written);
                } else {
                    leader_term.job_table.rejected(written, now);
                }
                self.reject_end_waiters();
            }
            _ => {
                leader_term.job_table.requeue(written);
                self.next_write = now.plus(STORE_THROTTLED_PAUSE_MS);
                self.reject_end_waiters();
            }
        }
    }

    /// Replies to requests that wait for a job's end to become durable, when the write is delayed.
    pub(super) fn reject_end_waiters(&mut self) {
        let waiting = std::mem::take(&mut self.end_waiters);
        let waiting: Vec<ConnId> = waiting.into_values().flatten().collect();
        for conn in waiting {
            self.reply(conn, HttpReply::unavailable("the end could not be written yet"));
        }
    }

    pub(super) fn resolve(&mut self, now: Mono, token: Token, items: Vec<WriteItem>) {
        let Some(item) = items.last().cloned() else {
            self.writer = Writer::Idle;
            return;
        };
        self.writer = Writer::Resolving(items);
        let op = StoreOp::Get { key: jobs::JobTable::key_of(&item) };
        let _ = self.submit(now, OpClass::Write, op, Purpose::Resolve { token, item });
    }

    pub(super) fn on_resolved(
        &mut self,
        now: Mono,
        token: Token,
        item: WriteItem,
        reply: StoreReply,
    ) {
        let Some(leader_term) = self.leader_term.as_mut().filter(|term| term.token == token) else {
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
            let ended = leader_term.job_table.resolved(&item, found);
            items.pop();
            self.publish_ends(ended);
        }
        self.resolve(now, token, items);
    }

    /// Publishes ends of jobs that have become durable.
    pub(super) fn publish_ends(&mut self, ended: impl IntoIterator<Item = (JobId, FinalRecord)>) {
        for (id, record) in ended {
            self.finished_jobs.insert(id.clone(), record.clone());
            self.graph_job_finished(&id, &record);
            for conn in self.end_waiters.remove(&id).unwrap_or_default() {
                self.reply(conn, HttpReply::json(200, &record.view(&id)));
            }
        }
    }
}
