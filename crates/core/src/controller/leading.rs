//! Becoming the leader: loading the job table, and watching for jobs that other controllers accept.

use super::*;

impl Controller {
    pub(super) fn lead_asks(&mut self, now: Mono, asks: Vec<Ask>) {
        for ask in asks {
            let key = || LEAD_KEY.to_owned();
            let (lane, op) = match &ask {
                Ask::Read => (Lane::Vital, StoreOp::Get { key: key() }),
                Ask::Watch(after) => {
                    (Lane::Watch, StoreOp::Follow { prefix: key(), after: *after })
                }
                Ask::Grant => (Lane::Vital, StoreOp::Grant { ttl_ms: LEADER_TTL_MS.0 }),
                Ask::Claim(txn) => (Lane::Vital, StoreOp::Txn(txn.clone())),
                Ask::Touch(lease) => (Lane::Vital, StoreOp::Touch { lease: *lease }),
                Ask::Revoke(lease) => (Lane::Vital, StoreOp::Revoke { lease: *lease }),
            };
            // These lanes are never full.
            let _ = self.submit(now, lane, op, Purpose::Lead { ask, sent: now });
        }
    }

    pub(super) fn follow_turns(&mut self, now: Now) {
        match self.leadership.take_turn() {
            Some(Turn::Elected(token)) => {
                let fleet = std::mem::take(&mut self.fleet);
                self.fleet.catalog.clone_from(&fleet.catalog);
                self.reign = Some(Reign::new(token, now.mono, fleet, &self.terms));
                self.graph_refusals = Refusals::default();
                self.desk.lead(token, now.mono);
                self.store.lead(true);
                self.writer = Writer::Idle;
                self.forget_dependency_reads();
                self.watch_live = None;
                self.load(now.mono, jobs::LIVE, String::new(), None);
            }
            Some(Turn::Deposed) => {
                if let Some(reign) = self.reign.take() {
                    self.fleet.catalog = reign.fleet.catalog;
                }
                self.store.lead(false);
                self.writer = Writer::Idle;
                self.turn_waiters_away();
            }
            None => {}
        }
    }

    pub(super) fn load(&mut self, now: Mono, prefix: &str, after: String, first: Option<Revision>) {
        let Some(token) = self.leadership.token() else {
            return;
        };
        let op = StoreOp::List { prefix: prefix.to_owned(), after: after.clone() };
        // The writer's lane is idle while the job table is loaded, so the read is neither queued
        // behind users' requests nor dropped.
        let _ = self.submit(now, Lane::Write, op, Purpose::Load { token, after, first });
    }

    pub(super) fn on_load(
        &mut self,
        now: Now,
        token: Token,
        after: String,
        first: Option<Revision>,
        reply: StoreReply,
    ) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else {
            return;
        };
        let live = reign.stage == Stage::LoadingLive;
        let prefix = if live { jobs::LIVE } else { jobs::ASSIGNED };
        let StoreReply::Page(page) = reply else {
            // Retries the page. The pages read before stay valid: only the leader writes
            // assignments, and this one has not written any yet; jobs accepted since the first page
            // arrive through the watch.
            self.load(now.mono, prefix, after, first);
            return;
        };
        let first = first.or(Some(page.revision));
        let last = page.rows.last().map(|row| row.key.clone());
        let more = page.more && last.is_some();
        self.load_rows(now, page);
        if more {
            self.load(now.mono, prefix, last.unwrap_or_default(), first);
            return;
        }
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        if live {
            self.watch_live = first;
            reign.begin = first.unwrap_or_default();
            reign.enter(Stage::LoadingAssigned);
            self.load(now.mono, jobs::ASSIGNED, String::new(), None);
        } else {
            let fresh = |noted: &Mono| now.mono.since(*noted) < NOTES_OLD_MS;
            if let Some((noted, notes)) = self.notes.take().filter(|(noted, _)| fresh(noted)) {
                reign.recall(notes, noted);
            }
            reign.enter(Stage::Ruling);
            reign.recall_charges(now.mono);
        }
    }

    pub(super) fn load_rows(&mut self, now: Now, page: Page) {
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        for row in page.rows {
            if let Some((id, chunk)) = jobs::parse_chunk_key(&row.key) {
                match serde_json::from_value(row.value) {
                    Ok(record) => reign.load_chunk(&id, chunk, record, row.version, now.mono),
                    Err(e) => log::error!("store: {} cannot be read: {e}", row.key),
                }
            } else if let Some(record) = live_record(&row) {
                reign.book.insert(record, row.version, now);
            }
        }
    }

    pub(super) fn watch(&mut self, now: Mono) {
        let (Some(token), Some(after)) = (self.leadership.token(), self.watch_live) else {
            return;
        };
        // A watch of an earlier term may stay open for long, and its changes are ignored.
        if self.watch_out == Some(token) {
            return;
        }
        self.watch_out = Some(token);
        let op = StoreOp::Follow { prefix: jobs::LIVE.into(), after };
        let _ = self.submit(now, Lane::Watch, op, Purpose::Watch { token, after });
    }

    /// Processes jobs that other controllers have accepted.
    pub(super) fn on_watch(&mut self, now: Now, token: Token, after: Revision, reply: StoreReply) {
        if self.leadership.token() != Some(token) {
            return;
        }
        self.watch_out = None;
        match reply {
            StoreReply::Changes(Changes { revision, log }) => {
                self.watch_live = Some(revision.max(after));
                for change in log {
                    let Some(key) = change.put else { continue };
                    let row =
                        Row { key, value: change.value, version: change.version, lease: None };
                    if let Some(record) = live_record(&row) {
                        self.admit(now, record, row.version, Some(token));
                    }
                }
            }
            StoreReply::TooOld => {
                log::warn!("store: the watch fell behind; the jobs are read in a new term");
                // The job table is not reloaded under the same fencing token: a write still in
                // flight could be applied after the load, and its response would mark changes
                // durable that the new table never wrote.
                self.leadership.fenced_off();
                self.follow_turns(now);
            }
            _ => {}
        }
    }

    /// Adds a job that is known to be accepted to the job table. `read_under` is the fencing token
    /// under which the operation that showed it was sent.
    pub(super) fn admit(
        &mut self,
        now: Now,
        record: LiveRecord,
        stamp: Revision,
        term: Option<Token>,
    ) {
        // Ignores stale records: a job whose end this controller has written must not become live
        // again, nor one whose end another controller wrote between a read sent before this term
        // and its late response. The load of the job table and the watch show every open job.
        if self.over.get(&record.spec.id).is_some() || term != self.leadership.token() {
            return;
        }
        self.note_accepted(&record);
        if let Some(reign) = self.reign.as_mut() {
            reign.book.insert(record, stamp, now);
            reign.wake();
        }
    }
}

pub(super) fn live_record(row: &Row) -> Option<LiveRecord> {
    if !row.key.starts_with(jobs::LIVE) {
        return None;
    }
    match serde_json::from_value(row.value.clone()) {
        Ok(record) => Some(record),
        Err(e) => {
            log::error!("store: {} cannot be read: {e}", row.key);
            None
        }
    }
}
