//! Usage accounting: what a new leader reads before it counts, and the pages for operators, which
//! every controller reads from the state service.

use super::*;
use oatloom_ledger::query::UsagePage;
use oatloom_ledger::rollup::{CURSOR, Knowledge, ROLLUPS, Rollup};

/// What is read next.
#[derive(Clone, Debug)]
pub(super) enum Step {
    Cursor,
    /// Final states after a revision.
    Changes(Revision),
    /// All final states after a key, if the service does not retain enough changes; only those
    /// after the revision are counted.
    Scan(Revision, String),
}

fn over_row(
    key: &str,
    value: serde_json::Value,
    stamp: Revision,
) -> Option<(JobId, OverRecord, Revision)> {
    let id = JobId::parse(key.strip_prefix(jobs::OVER)?)?;
    let read = serde_json::from_value(value);
    let record = read.map_err(|e| log::error!("store: {key} cannot be read: {e}")).ok()?;
    Some((id, record, stamp))
}

impl Controller {
    /// Reads what is missing, one step at a time.
    pub(super) fn learn_account(&mut self, now: Mono) {
        if self.account_out || now < self.account_after || !self.was_valid {
            return;
        }
        let Some(reign) = self.reign.as_ref().filter(|r| r.stage == Stage::Ruling) else { return };
        let Some(account) = &reign.book.account else { return };
        let step = match account.rollups.knowledge() {
            Knowledge::None => Step::Cursor,
            // One page at a time, so that requests of users and workers are not delayed.
            Knowledge::After(from) => match self.account_scan.take() {
                Some((after, at)) if after == from => Step::Scan(after, at),
                _ => Step::Changes(from),
            },
            Knowledge::All => return,
        };
        self.ask_account(now, step);
    }

    fn ask_account(&mut self, now: Mono, step: Step) {
        let Some(token) = self.leadership.token() else { return };
        let prefix = jobs::OVER.to_owned();
        let op = match &step {
            Step::Cursor => StoreOp::Get { key: CURSOR.to_owned() },
            Step::Changes(after) => StoreOp::Changes { prefix, after: *after },
            Step::Scan(_, after) => StoreOp::List { prefix, after: after.clone() },
        };
        self.account_out =
            self.submit(now, Lane::Open, op, Purpose::Account { token, step }).is_ok();
        self.account_after = now.plus(ACCOUNT_PAUSE_MS);
    }

    pub(super) fn on_account(&mut self, token: Token, step: Step, reply: StoreReply) {
        self.account_out = false;
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else { return };
        let begin = reign.begin;
        let Some(account) = reign.book.account.as_mut() else { return };
        match (step, reply) {
            // A response to a read of an earlier load, which has been restarted since.
            (Step::Changes(_) | Step::Scan(..), _)
                if !matches!(account.rollups.knowledge(), Knowledge::After(_)) => {}
            (Step::Cursor, StoreReply::Missing(_)) => {
                account.set_cursor(None, begin);
                account.rollups.enter(Knowledge::All);
            }
            (Step::Cursor, StoreReply::Found(row)) => match serde_json::from_value(row.value) {
                Ok(cursor) => {
                    account.set_cursor(Some((cursor, row.version)), begin);
                    account.rollups.enter(Knowledge::After(cursor.through));
                }
                Err(e) => {
                    // Nothing may be counted twice, so counting restarts here.
                    log::error!(
                        "ledger: the cursor is damaged, what was not counted is left out: {e}"
                    );
                    let anew = Cursor { through: begin, closed_before: 0 };
                    account.set_cursor(Some((anew, row.version)), begin);
                    account.rollups.enter(Knowledge::After(begin));
                }
            },
            (Step::Changes(_), StoreReply::Changes(Changes { log, .. })) => {
                let read = log.into_iter().filter_map(|c| over_row(&c.put?, c.value, c.version));
                reign.book.catch_up(read, true);
            }
            (Step::Changes(after), StoreReply::TooOld) => {
                log::warn!("ledger: reading all final states");
                self.account_scan = Some((after, String::new()));
            }
            (Step::Scan(after, _), StoreReply::Page(page)) => {
                let last = page.rows.last().map(|row| row.key.clone());
                let read = page.rows.into_iter().filter(|row| row.version > after);
                let read = read.filter_map(|row| over_row(&row.key, row.value, row.version));
                let next = last.filter(|_| page.more);
                reign.book.catch_up(read, next.is_none());
                self.account_scan = next.map(|next| (after, next));
            }
            // Retried after the pause; a scan continues where it was.
            (Step::Scan(after, at), _) => self.account_scan = Some((after, at)),
            _ => {}
        }
    }

    pub(super) fn on_usage_asked(&mut self, now: Mono, conn: ConnId, query: Box<Query>) {
        if self.terms.accounted.is_none() {
            return self.reply(conn, HttpReply::error(404, "no account of usage is kept here"));
        }
        let op = StoreOp::Get { key: CURSOR.to_owned() };
        let purpose = Purpose::Usage { conn, query, cursor: None };
        if self.submit(now, Lane::Open, op, purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    pub(super) fn on_usage(
        &mut self,
        now: Mono,
        conn: ConnId,
        query: Box<Query>,
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
                let answer = UsagePage::of(&query, found, more, cursor);
                return self.reply(conn, HttpReply::json(200, &answer));
            }
            _ => return self.reply(conn, HttpReply::later("the state service cannot be reached")),
        };
        let op = StoreOp::List { prefix: ROLLUPS.to_owned(), after: query.start() };
        let purpose = Purpose::Usage { conn, query, cursor: Some(cursor) };
        if self.submit(now, Lane::Open, op, purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }
}
