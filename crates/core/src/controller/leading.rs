//! Becoming the leader: loading the job table, and watching for jobs that other controllers accept.

use super::*;

impl Controller {
    pub(super) fn send_leadership_requests(&mut self, now: Mono, requests: Vec<LeadershipRequest>) {
        for request in requests {
            let leader_key = || LEADER_KEY.to_owned();
            let (class, op) = match &request {
                LeadershipRequest::Read => (OpClass::Lease, StoreOp::Get { key: leader_key() }),
                LeadershipRequest::Watch(after) => {
                    (OpClass::Watch, StoreOp::Follow { prefix: leader_key(), after: *after })
                }
                LeadershipRequest::Grant => {
                    (OpClass::Lease, StoreOp::Grant { ttl_ms: LEADER_LEASE_TTL_MS.0 })
                }
                LeadershipRequest::Claim(txn) => (OpClass::Lease, StoreOp::Txn(txn.clone())),
                LeadershipRequest::Renew(lease) => {
                    (OpClass::Lease, StoreOp::Touch { lease: *lease })
                }
                LeadershipRequest::Revoke(lease) => {
                    (OpClass::Lease, StoreOp::Revoke { lease: *lease })
                }
            };
            // Not refused: only operations of the general class are limited in number.
            let _ = self.submit(now, class, op, Purpose::Leadership { request, sent: now });
        }
    }

    pub(super) fn follow_leadership(&mut self, now: Now) {
        match self.leadership.take_change() {
            Some(LeadershipChange::Elected(token)) => {
                let fleet = std::mem::take(&mut self.fleet);
                self.fleet.catalog.clone_from(&fleet.catalog);
                self.leader_term =
                    Some(LeaderTerm::new(token, now.mono, fleet, &self.leader_config));
                self.graph_write_backoff = WriteBackoff::default();
                self.cloud_client.start_term(token, now.mono);
                self.store.set_leading(true);
                self.writer = Writer::Idle;
                self.forget_dependency_reads();
                self.watch_revision = None;
                self.load_page(now.mono, jobs::LIVE_PREFIX, String::new(), None);
            }
            Some(LeadershipChange::Deposed) => {
                if let Some(leader_term) = self.leader_term.take() {
                    self.fleet.catalog = leader_term.fleet.catalog;
                }
                self.store.set_leading(false);
                self.writer = Writer::Idle;
                self.reject_end_waiters();
            }
            None => {}
        }
    }

    pub(super) fn load_page(
        &mut self,
        now: Mono,
        prefix: &str,
        after: String,
        first_revision: Option<Revision>,
    ) {
        let Some(token) = self.leadership.token() else {
            return;
        };
        let op = StoreOp::List { prefix: prefix.to_owned(), after: after.clone() };
        // The writer sends nothing while the job table is loaded. In its class the read is neither
        // queued behind users' requests nor dropped.
        let _ = self.submit(
            now,
            OpClass::Write,
            op,
            Purpose::LoadPage { token, after, first_revision },
        );
    }

    pub(super) fn on_load(
        &mut self,
        now: Now,
        token: Token,
        after: String,
        first_revision: Option<Revision>,
        reply: StoreReply,
    ) {
        let Some(leader_term) = self.leader_term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        let loading_live = leader_term.stage == Stage::LoadingLive;
        let prefix = if loading_live { jobs::LIVE_PREFIX } else { jobs::ASSIGNMENT_PREFIX };
        let StoreReply::Page(page) = reply else {
            // Retries the page. The pages read before stay valid: only the leader writes
            // assignments, and this one has not written any yet; jobs accepted since the first page
            // arrive through the watch.
            self.load_page(now.mono, prefix, after, first_revision);
            return;
        };
        let first_revision = first_revision.or(Some(page.revision));
        let last = page.rows.last().map(|row| row.key.clone());
        let more = page.more && last.is_some();
        self.load_rows(now, page);
        if more {
            self.load_page(now.mono, prefix, last.unwrap_or_default(), first_revision);
            return;
        }
        let Some(leader_term) = self.leader_term.as_mut() else {
            return;
        };
        if loading_live {
            self.watch_revision = first_revision;
            leader_term.load_revision = first_revision.unwrap_or_default();
            leader_term.enter(Stage::LoadingAssigned);
            self.load_page(now.mono, jobs::ASSIGNMENT_PREFIX, String::new(), None);
        } else {
            let recent = |received: &Mono| now.mono.since(*received) < MAX_HINT_AGE_MS;
            if let Some((received, hints)) =
                self.leader_hints.take().filter(|(received, _)| recent(received))
            {
                leader_term.apply_hints(hints, received);
            }
            leader_term.enter(Stage::Active);
            leader_term.restore_charges(now.mono);
        }
    }

    pub(super) fn load_rows(&mut self, now: Now, page: Page) {
        let Some(leader_term) = self.leader_term.as_mut() else {
            return;
        };
        for row in page.rows {
            if let Some((id, chunk)) = jobs::parse_chunk_key(&row.key) {
                match serde_json::from_value(row.value) {
                    Ok(record) => {
                        leader_term.load_assignments(&id, chunk, record, row.version, now.mono)
                    }
                    Err(e) => log::error!("state service: {} cannot be decoded: {e}", row.key),
                }
            } else if let Some(record) = parse_live_record(&row) {
                leader_term.job_table.insert(record, row.version, now);
            }
        }
    }

    pub(super) fn watch(&mut self, now: Mono) {
        let (Some(token), Some(after)) = (self.leadership.token(), self.watch_revision) else {
            return;
        };
        // A watch of an earlier term may stay open for long, and its changes are ignored.
        if self.watch_token == Some(token) {
            return;
        }
        self.watch_token = Some(token);
        let op = StoreOp::Follow { prefix: jobs::LIVE_PREFIX.into(), after };
        let _ = self.submit(now, OpClass::Watch, op, Purpose::Watch { token, after });
    }

    /// Processes jobs that other controllers have accepted.
    pub(super) fn on_watch(&mut self, now: Now, token: Token, after: Revision, reply: StoreReply) {
        if self.leadership.token() != Some(token) {
            return;
        }
        self.watch_token = None;
        match reply {
            StoreReply::Changes(Changes { revision, log }) => {
                self.watch_revision = Some(revision.max(after));
                for change in log {
                    let Some(key) = change.put else { continue };
                    let row =
                        Row { key, value: change.value, version: change.version, lease: None };
                    if let Some(record) = parse_live_record(&row) {
                        self.admit(now, record, row.version, Some(token));
                    }
                }
            }
            StoreReply::TooOld => {
                log::warn!(
                    "state service: the watch is too old; the jobs are reloaded in a new term"
                );
                // The job table is not reloaded under the same fencing token: a write still in
                // flight could be applied after the load, and its response would mark changes
                // durable that the new table never wrote.
                self.leadership.step_down();
                self.follow_leadership(now);
            }
            _ => {}
        }
    }

    /// Adds a job that is known to be accepted to the job table. `sent_under` is the fencing token
    /// under which the operation that showed it was sent.
    pub(super) fn admit(
        &mut self,
        now: Now,
        record: LiveRecord,
        revision: Revision,
        sent_under: Option<Token>,
    ) {
        // Ignores stale records: a job whose end this controller has written must not become live
        // again, nor one whose end another controller wrote between a read sent before this term
        // and its late response. The load of the job table and the watch show every open job.
        if self.finished_jobs.get(&record.spec.id).is_some()
            || sent_under != self.leadership.token()
        {
            return;
        }
        self.record_accepted(&record);
        if let Some(leader_term) = self.leader_term.as_mut() {
            leader_term.job_table.insert(record, revision, now);
            leader_term.request_placement();
        }
    }
}

pub(super) fn parse_live_record(row: &Row) -> Option<LiveRecord> {
    if !row.key.starts_with(jobs::LIVE_PREFIX) {
        return None;
    }
    match serde_json::from_value(row.value.clone()) {
        Ok(record) => Some(record),
        Err(e) => {
            log::error!("state service: {} cannot be decoded: {e}", row.key);
            None
        }
    }
}
