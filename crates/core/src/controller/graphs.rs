//! Task graphs: clients' requests, what a new leader reads of them, and their writes, which
//! alternate with those of the job table.

use super::*;
use oatloom_graph::desk::{Around, Desk, Effect, Ended, Launch, Read, Verdict};
use oatloom_graph::ids::GraphId;
use oatloom_graph::records::{self, OverPage};
use oatloom_graph::requests::{Ask, Look};
use oatloom_graph::runs::Runs;
use oatloom_graph::{answers, desk};
use serde_json::Value;

/// A read of a finished graph from the state service.
#[derive(Clone, Debug)]
pub(super) enum OverStep {
    Answer,
    /// The final states of its nodes, page by page.
    Nodes(Box<records::OverRecord>),
}

/// Graph writes whose outcome is unknown, and the rows read back so far for the last of them.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Unsure {
    items: Vec<desk::Wrote>,
    keys: Vec<String>,
    rows: Vec<Option<Row>>,
}

fn record_of(launch: Launch) -> LiveRecord {
    let Launch { spec, wall_ms, part, .. } = launch;
    LiveRecord { spec, wall_ms, part: Some(part.into()) }
}

fn live_of(launch: &Launch) -> (String, String, Value) {
    let value = serde_json::to_value(record_of(launch.clone())).unwrap_or(Value::Null);
    (jobs::live_key(launch.id()), jobs::over_key(launch.id()), value)
}

/// The nodes that a job runs, according to its live or final record.
fn nodes_of(value: &Value) -> Option<Runs> {
    serde_json::from_value(value.get("g")?.get("n")?.clone()).ok()
}

impl Controller {
    fn desk(&mut self) -> Option<&mut Desk> {
        self.reign.as_mut()?.graphs.as_mut()
    }

    // --- Requests --------------------------------------------------------------

    pub(super) fn on_graph(&mut self, now: Now, conn: ConnId, ask: Ask, forwarded: bool) {
        if self.terms.graphs.is_none() {
            return self.reply(conn, HttpReply::error(404, "no such path"));
        }
        let ruling = self.leadership.valid(now.mono).is_some()
            && self.reign.as_ref().is_some_and(|r| r.stage == Stage::Ruling);
        if !ruling {
            let leader = self.leadership.other_leader().filter(|_| !forwarded).cloned();
            return match leader.filter(|_| self.leadership.token().is_none()) {
                Some(leader) => {
                    self.ask(now.mono, conn, leader, Question::Graph(Box::new(ask)));
                }
                None => self.look_graph(now.mono, conn, ask),
            };
        }
        // Moved out of the leader term during the call, since the closures borrow the controller.
        let desk = self.reign.as_mut().and_then(|reign| reign.graphs.take());
        let Some(mut desk) = desk else {
            return self.reply(conn, HttpReply::later("graphs are being read"));
        };
        let unfit = |spec: &JobSpec| self.verdict(spec);
        let team = |name: &str| self.settings.team(name).is_some();
        let around = Around { unfit: &unfit, team: &team };
        let verdict = desk.ask(now, conn.0, &ask, &around);
        if let Some(reign) = self.reign.as_mut() {
            reign.graphs = Some(desk);
        }
        match verdict {
            Verdict::Reply(reply) => self.reply(conn, reply),
            Verdict::Later => {}
            Verdict::Job(id, nodes) => {
                let job = self.reign.as_ref().and_then(|reign| reign.book.get(&id));
                let reply = match job {
                    Some(job) => HttpReply::json(200, &nodes.with(&job.spec)),
                    None => HttpReply::error(404, "no such job of a graph is open"),
                };
                self.reply(conn, reply);
            }
            Verdict::NotOpen => self.look_graph(now.mono, conn, ask),
        }
        self.graph_effects(now);
    }

    /// Reads the final answer of a graph that is not open on this controller.
    pub(super) fn look_graph(&mut self, now: Mono, conn: ConnId, ask: Ask) {
        let Some(id) = ask.graph() else {
            return self.reply(conn, HttpReply::later("no leader can be reached"));
        };
        let op = StoreOp::Get { key: records::over_key(id) };
        let purpose = Purpose::GraphOver { conn, ask: Box::new(ask), step: OverStep::Answer };
        if self.submit(now, Lane::Open, op, purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    pub(super) fn on_graph_over(
        &mut self,
        now: Mono,
        conn: ConnId,
        ask: Box<Ask>,
        step: OverStep,
        reply: StoreReply,
    ) {
        let damaged = || HttpReply::later("its record cannot be read");
        match (step, reply) {
            (OverStep::Answer, StoreReply::Missing(_)) => {
                // Only a leader that has loaded all graphs knows whether a graph is open; one that
                // has not could call a graph unknown that it is about to continue.
                let leads = self.leadership.valid(now).is_some();
                let known = self.reign.as_ref().and_then(|reign| reign.graphs.as_ref());
                let id = ask.graph();
                let closed = known.is_some_and(|desk| {
                    desk.ready() && id.is_none_or(|id| desk.graph(id).is_none())
                });
                // The end may have become durable while its key was being read.
                let over = id.and_then(|id| Some((id, known?.over(id)?)));
                let reply = if let Some((id, record)) = over.filter(|_| leads) {
                    Desk::over_reply(id, &ask, record)
                } else if leads && closed {
                    Desk::missing_reply(&ask)
                } else {
                    HttpReply::later("no leader can be reached")
                };
                self.reply(conn, reply);
            }
            (OverStep::Answer, StoreReply::Found(row)) => {
                let Ok(record) = serde_json::from_value::<records::OverRecord>(row.value) else {
                    return self.reply(conn, damaged());
                };
                let id = row.key.strip_prefix(records::OVER).and_then(GraphId::of_digits);
                let Some(id) = id else { return self.reply(conn, damaged()) };
                match &*ask {
                    Ask::Look(_, look) if look.most > 0 && record.pages > 0 => {
                        let after = over_after(id, look);
                        let prefix = format!("{}/", records::over_key(id));
                        let op = StoreOp::List { prefix, after };
                        let step = OverStep::Nodes(Box::new(record));
                        let purpose = Purpose::GraphOver { conn, ask, step };
                        if self.submit(now, Lane::Open, op, purpose).is_err() {
                            self.reply(conn, HttpReply::later("the state service is busy"));
                        }
                    }
                    ask => self.reply(conn, Desk::over_reply(id, ask, &record)),
                }
            }
            (OverStep::Nodes(record), StoreReply::Page(page)) => {
                let Ask::Look(id, look) = &*ask else { return self.reply(conn, damaged()) };
                let mut view = answers::GraphView::of_over(*id, &record);
                let mut last = look.after.clone();
                let mut more = page.more;
                for row in page.rows {
                    if view.changed.len() >= look.most {
                        more = true;
                        break;
                    }
                    let number = row.key.rsplit_once('/').map(|(_, n)| n.to_owned());
                    let Ok(page) = serde_json::from_value::<OverPage>(row.value) else {
                        return self.reply(conn, damaged());
                    };
                    view.changed.extend(answers::over_nodes(*id, page));
                    last = format!("over.{}", number.unwrap_or_default());
                }
                (view.next, view.more) = (last, more);
                self.reply(conn, HttpReply::json(200, &view));
            }
            _ => self.reply(conn, HttpReply::later("the state service cannot be reached")),
        }
    }

    // --- Effects ------------------------------------------------------------------

    /// Applies the decisions of the graphs.
    pub(super) fn graph_effects(&mut self, now: Now) {
        loop {
            let effects = self.desk().map(Desk::take_effects).unwrap_or_default();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Reply { ticket, reply } => self.reply(ConnId(ticket), reply),
                    Effect::Admit(launch, stamp) => {
                        let term = self.leadership.token();
                        self.admit(now, record_of(*launch), stamp, term);
                    }
                    Effect::Cancel(id) => {
                        if let Some(reign) = self.reign.as_mut() {
                            reign.end_job(&id, JobStatus::Cancelled, "its graph ends", now.mono);
                        }
                    }
                }
            }
        }
    }

    /// Notifies a job's graph, if it has one, that the job's end is durable.
    pub(super) fn graph_job_over(&mut self, id: &JobId, record: &OverRecord) {
        let Some(part) = &record.part else { return };
        if let Some(desk) = self.desk() {
            desk.job_over(id, part, record.status, record.failure.as_ref());
        }
    }

    /// Runs after every event: advances the graphs' timers, and passes on the task completions that
    /// the job table has made durable.
    pub(super) fn turn_graphs(&mut self, now: Now) {
        let valid = self.was_valid;
        let Some(reign) = self.reign.as_mut().filter(|r| r.stage == Stage::Ruling) else { return };
        let progress = std::mem::take(&mut reign.book.progress);
        let Some(desk) = reign.graphs.as_mut() else { return };
        for (id, done) in progress {
            desk.tasks_done(&id, &done);
        }
        if valid {
            desk.tick(now.mono);
        }
        self.read_graphs(now.mono);
        self.graph_effects(now);
    }

    // --- Reading ------------------------------------------------------------------

    fn read_graphs(&mut self, now: Mono) {
        if self.graphs_out || now < self.graphs_after || self.writer != Writer::Idle {
            return;
        }
        let Some(token) = self.leadership.token() else { return };
        let Some(read) = self.desk().and_then(|desk| desk.next_read()) else { return };
        let op = match &read {
            Read::Key(key) => StoreOp::Get { key: key.clone() },
            Read::List { prefix, after } => {
                StoreOp::List { prefix: prefix.clone(), after: after.clone() }
            }
            Read::Ended { after } => StoreOp::List {
                prefix: format!("{}{}", jobs::OVER, desk::JOBS_PREFIX),
                after: jobs::over_key(after),
            },
        };
        let purpose = Purpose::Graphs { token, read };
        self.graphs_out = self.submit(now, Lane::Open, op, purpose).is_ok();
        if !self.graphs_out {
            self.graphs_after = now.plus(GRAPHS_PAUSE_MS);
        }
    }

    pub(super) fn on_graphs(&mut self, now: Now, token: Token, read: Read, reply: StoreReply) {
        self.graphs_out = false;
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else { return };
        // Moved out of the leader term during the call, since the leader term is queried for the
        // jobs of graphs.
        let Some(mut desk) = reign.graphs.take() else { return };
        let same = desk.next_read().as_ref() == Some(&read);
        match (read, reply) {
            _ if !same => {}
            (Read::Key(_), StoreReply::Missing(_)) => desk.read_count(Revision(0)),
            (Read::Key(_), StoreReply::Found(row)) => desk.read_count(row.version),
            (Read::List { .. }, StoreReply::Page(page)) => {
                desk.read_rows(page.rows, page.more, now)
            }
            (Read::Ended { .. }, StoreReply::Page(page)) => {
                let id = |row: &Row| JobId::parse(row.key.strip_prefix(jobs::OVER)?);
                let last = page.rows.last().and_then(id).filter(|_| page.more);
                let ended = page.rows.iter().filter_map(|row| {
                    let read = serde_json::from_value::<OverRecord>(row.value.clone());
                    let record = read
                        .map_err(|e| log::error!("store: {} cannot be read: {e}", row.key))
                        .ok()?;
                    let end = (*record.part?).clone();
                    let (status, failure) = (record.status, record.failure);
                    Some(Ended { id: id(row)?, end, status, failure })
                });
                let ended = ended.collect();
                desk.read_ended(ended, last, &|graph| reign.open_jobs(graph), now.mono);
            }
            // Retried after a pause.
            _ => self.graphs_after = now.mono.plus(GRAPHS_PAUSE_MS),
        }
        if let Some(reign) = self.reign.as_mut() {
            reign.graphs = Some(desk);
        }
        self.graph_effects(now);
    }

    // --- Writing -----------------------------------------------------------------

    /// Submits the next transaction of graphs; returns whether there was one.
    pub(super) fn write_graphs(&mut self, now: Now) -> bool {
        let (Some(token), Some(fence)) = (self.leadership.token(), self.leadership.fence()) else {
            return false;
        };
        let ops = self.limits.changes();
        let retried = self.graph_refusals.take_due(now.mono);
        let most = if retried.is_some() { 1 } else { self.graph_refusals.most() };
        let Some(desk) = self.desk() else { return false };
        desk.items_most = most;
        retried.into_iter().for_each(|item| desk.retry(item));
        let Some((txn, written)) = desk.next_txn(fence, ops, now, &live_of) else { return false };
        self.writer = Writer::Writing;
        self.traffic.changes += txn.changes.len();
        let purpose = Purpose::WriteGraphs { token, written };
        let _ = self.submit(now.mono, Lane::Write, StoreOp::Txn(txn), purpose);
        true
    }

    pub(super) fn on_graphs_written(
        &mut self,
        now: Now,
        token: Token,
        written: Vec<desk::Wrote>,
        reply: StoreReply,
    ) {
        if self.reign.as_ref().is_none_or(|r| r.token != token) {
            return;
        }
        self.writer = Writer::Idle;
        let Some(desk) = self.desk() else { return };
        match reply {
            StoreReply::Committed(revision) => {
                desk.committed(&written, revision);
                self.graph_refusals.taken(written.iter().map(|wrote| &wrote.item));
            }
            StoreReply::Conflict(failed) if failed.iter().any(|k| k == LEAD_KEY) => {
                desk.refused(written);
                self.leadership.fenced_off();
            }
            StoreReply::Conflict(_) | StoreReply::Lost => {
                log::warn!("store: a write of graphs' fate is open; reading its keys");
                self.resolve_graphs(now, token, Unsure { items: written, ..Unsure::default() });
            }
            StoreReply::Malformed(text) => self.graphs_write_refused(now.mono, written, &text),
            _ => {
                desk.refused(written);
                self.write_after = now.mono.plus(STORE_PAUSE_MS);
            }
        }
        self.graph_effects(now);
    }

    /// Handles a transaction that the service refused as invalid: it is not written again
    /// unchanged.
    fn graphs_write_refused(&mut self, now: Mono, mut written: Vec<desk::Wrote>, text: &str) {
        if !self.write_refused(text) {
            let items: Vec<_> = written.iter().map(|wrote| wrote.item.clone()).collect();
            if let Some(Refusal::SetAside(item, pause)) = self.graph_refusals.refused(&items, now) {
                log::error!("store: of graphs, {item:?} is refused alone; again in {pause:?}");
                written.retain(|wrote| wrote.item != item);
            }
        }
        if let Some(desk) = self.desk() {
            desk.refused(written);
        }
    }

    /// Reads the keys of writes with an unknown outcome, one after another.
    fn resolve_graphs(&mut self, now: Now, token: Token, mut unsure: Unsure) {
        let live = |id: &JobId| jobs::live_key(id);
        let over = |id: &JobId| jobs::over_key(id);
        loop {
            let Some(item) = unsure.items.last().cloned() else {
                self.writer = Writer::Idle;
                return;
            };
            let Some(desk) = self.desk() else { return };
            if unsure.rows.is_empty() {
                unsure.keys = desk.keys_of(&item, &live, &over);
            }
            if let Some(key) = unsure.keys.get(unsure.rows.len()).cloned() {
                self.writer = Writer::ResolvingGraphs(unsure);
                let op = StoreOp::Get { key };
                let _ = self.submit(now.mono, Lane::Write, op, Purpose::ResolveGraphs { token });
                return;
            }
            let rows = std::mem::take(&mut unsure.rows);
            unsure.items.pop();
            desk.resolved(item, &rows, &nodes_of);
        }
    }

    pub(super) fn on_graphs_resolved(&mut self, now: Now, token: Token, reply: StoreReply) {
        if self.reign.as_ref().is_none_or(|r| r.token != token) {
            return;
        }
        let writer = std::mem::replace(&mut self.writer, Writer::Idle);
        let Writer::ResolvingGraphs(mut unsure) = writer else {
            self.writer = writer;
            return;
        };
        match reply {
            StoreReply::Found(row) => unsure.rows.push(Some(row)),
            StoreReply::Missing(_) => unsure.rows.push(None),
            // The read is retried.
            _ => {}
        }
        self.resolve_graphs(now, token, unsure);
        self.graph_effects(now);
    }
}

/// The key after which the listing of a finished graph's pages continues.
fn over_after(id: GraphId, look: &Look) -> String {
    let page =
        look.after.strip_prefix("over.").filter(|page| page.bytes().all(|b| b.is_ascii_digit()));
    page.map(|page| format!("{}/{page}", records::over_key(id))).unwrap_or_default()
}
