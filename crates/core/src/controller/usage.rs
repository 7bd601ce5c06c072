//! Usage accounting: what a new leader reads before it counts, and the pages for operators, which
//! every controller reads from the state service.

use super::*;
use oatloom_ledger::query::UsagePage;
use oatloom_ledger::rollup::{CURSOR_KEY, LoadProgress, ROLLUP_PREFIX, Rollup};

/// What is read next.
#[derive(Clone, Debug)]
pub(super) enum ReadStep {
    Cursor,
    /// Final states after a revision.
    Changes(Revision),
    /// All final states after a key, if the service does not retain enough changes; only those
    /// after the revision are counted.
    Scan(Revision, String),
}

fn parse_final_row(
    key: &str,
    value: serde_json::Value,
    revision: Revision,
) -> Option<(JobId, FinalRecord, Revision)> {
    let id = JobId::parse(key.strip_prefix(jobs::FINAL_PREFIX)?)?;
    let read = serde_json::from_value(value);
    let record =
        read.map_err(|e| log::error!("state service: {key} cannot be decoded: {e}")).ok()?;
    Some((id, record, revision))
}

impl Controller {
    /// Reads the cursor and the final states that are not counted yet, one step at a time.
    pub(super) fn read_usage_state(&mut self, now: Mono) {
        if self.usage_read_in_flight || now < self.next_usage_read || !self.was_valid {
            return;
        }
        let Some(leader_term) =
            self.leader_term.as_ref().filter(|term| term.stage == Stage::Active)
        else {
            return;
        };
        let Some(usage) = &leader_term.job_table.usage_accounting else { return };
        let step = match usage.rollups.load_progress() {
            LoadProgress::NotStarted => ReadStep::Cursor,
            // One page at a time, so that requests of users and workers are not delayed.
            LoadProgress::Reading(from) => match self.final_state_scan.take() {
                Some((after, at)) if after == from => ReadStep::Scan(after, at),
                _ => ReadStep::Changes(from),
            },
            LoadProgress::Complete => return,
        };
        self.submit_usage_read(now, step);
    }

    fn submit_usage_read(&mut self, now: Mono, step: ReadStep) {
        let Some(token) = self.leadership.token() else { return };
        let prefix = jobs::FINAL_PREFIX.to_owned();
        let op = match &step {
            ReadStep::Cursor => StoreOp::Get { key: CURSOR_KEY.to_owned() },
            ReadStep::Changes(after) => StoreOp::Changes { prefix, after: *after },
            ReadStep::Scan(_, after) => StoreOp::List { prefix, after: after.clone() },
        };
        self.usage_read_in_flight =
            self.submit(now, OpClass::General, op, Purpose::UsageState { token, step }).is_ok();
        self.next_usage_read = now.plus(USAGE_ACCOUNTING_PAUSE_MS);
    }

    pub(super) fn on_usage_state(&mut self, token: Token, step: ReadStep, reply: StoreReply) {
        self.usage_read_in_flight = false;
        let Some(leader_term) = self.leader_term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        let begin = leader_term.load_revision;
        let Some(usage) = leader_term.job_table.usage_accounting.as_mut() else { return };
        match (step, reply) {
            // A response to a read of an earlier load, which has been restarted since.
            (ReadStep::Changes(_) | ReadStep::Scan(..), _)
                if !matches!(usage.rollups.load_progress(), LoadProgress::Reading(_)) => {}
            (ReadStep::Cursor, StoreReply::Missing(_)) => {
                usage.set_cursor(None, begin);
                usage.rollups.set_load_progress(LoadProgress::Complete);
            }
            (ReadStep::Cursor, StoreReply::Found(row)) => match serde_json::from_value(row.value) {
                Ok(cursor) => {
                    usage.set_cursor(Some((cursor, row.version)), begin);
                    usage.rollups.set_load_progress(LoadProgress::Reading(cursor.counted_through));
                }
                Err(e) => {
                    // Nothing may be counted twice, so counting restarts here.
                    log::error!(
                        "ledger: the cursor cannot be decoded; final states not counted yet are skipped: {e}"
                    );
                    let restarted = Cursor { counted_through: begin, closed_before: 0 };
                    usage.set_cursor(Some((restarted, row.version)), begin);
                    usage.rollups.set_load_progress(LoadProgress::Reading(begin));
                }
            },
            (ReadStep::Changes(_), StoreReply::Changes(Changes { log, .. })) => {
                let read =
                    log.into_iter().filter_map(|c| parse_final_row(&c.put?, c.value, c.version));
                leader_term.job_table.catch_up(read, true);
            }
            (ReadStep::Changes(after), StoreReply::TooOld) => {
                log::warn!("ledger: the changes are no longer retained; reading all final states");
                self.final_state_scan = Some((after, String::new()));
            }
            (ReadStep::Scan(after, _), StoreReply::Page(page)) => {
                let last = page.rows.last().map(|row| row.key.clone());
                let read = page.rows.into_iter().filter(|row| row.version > after);
                let read = read.filter_map(|row| parse_final_row(&row.key, row.value, row.version));
                let next = last.filter(|_| page.more);
                leader_term.job_table.catch_up(read, next.is_none());
                self.final_state_scan = next.map(|next| (after, next));
            }
            // Retried after the pause; a scan continues where it was.
            (ReadStep::Scan(after, at), _) => self.final_state_scan = Some((after, at)),
            _ => {}
        }
    }

    pub(super) fn on_usage_request(&mut self, now: Mono, conn: ConnId, query: Box<UsageQuery>) {
        if self.leader_config.usage_classes.is_none() {
            return self.reply(conn, HttpReply::error(404, "no account of usage is kept here"));
        }
        let op = StoreOp::Get { key: CURSOR_KEY.to_owned() };
        let purpose = Purpose::Usage { conn, query, cursor: None };
        if self.submit(now, OpClass::General, op, purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }

    pub(super) fn on_usage_page(
        &mut self,
        now: Mono,
        conn: ConnId,
        query: Box<UsageQuery>,
        cursor: Option<Cursor>,
        reply: StoreReply,
    ) {
        let cursor = match (cursor, reply) {
            (None, StoreReply::Missing(_)) => Cursor::default(),
            (None, StoreReply::Found(row)) => serde_json::from_value(row.value).unwrap_or_default(),
            (Some(cursor), StoreReply::Page(page)) => {
                let read = |row: Row| (row.key, serde_json::from_value::<Rollup>(row.value).ok());
                let more = page.more;
                let found = page.rows.into_iter().map(read);
                let answer = UsagePage::build(&query, found, more, cursor);
                return self.reply(conn, HttpReply::json(200, &answer));
            }
            _ => {
                return self
                    .reply(conn, HttpReply::unavailable("the state service cannot be reached"));
            }
        };
        let op = StoreOp::List { prefix: ROLLUP_PREFIX.to_owned(), after: query.start_key() };
        let purpose = Purpose::Usage { conn, query, cursor: Some(cursor) };
        if self.submit(now, OpClass::General, op, purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }
}
