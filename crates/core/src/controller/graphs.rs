//! Task graphs: requests of clients, loading by a new leader, and writes, which alternate with
//! those of the job table.

use super::*;
use oatloom_graph::graph_table::{
    Effect, FinishedJob, GraphTable, JobLaunch, LoadRead, RequestContext, RequestOutcome,
};
use oatloom_graph::ids::GraphId;
use oatloom_graph::node_ranges::NodeRanges;
use oatloom_graph::records::{self, FinalPage};
use oatloom_graph::requests::{GetGraph, GraphRequest};
use oatloom_graph::{answers, graph_table};
use serde_json::Value;

/// A read of a finished graph from the state service.
#[derive(Clone, Debug)]
pub(super) enum FinalReadStep {
    Answer,
    /// The final states of its nodes, page by page.
    Nodes(Box<records::FinalRecord>),
}

/// Graph writes whose outcome is unknown, and the rows read back so far for the last of them.
#[derive(Debug, Default, PartialEq)]
pub(super) struct UnresolvedWrites {
    items: Vec<graph_table::InFlightWrite>,
    keys: Vec<String>,
    rows: Vec<Option<Row>>,
}

fn build_live_record(launch: JobLaunch) -> LiveRecord {
    let JobLaunch { spec, wall_ms, part, .. } = launch;
    LiveRecord { spec, wall_ms, part: Some(part.into()) }
}

/// Encodes a job that a graph starts: live key, final key and live record.
fn encode_launch(launch: &JobLaunch) -> (String, String, Value) {
    let value = serde_json::to_value(build_live_record(launch.clone())).unwrap_or(Value::Null);
    (jobs::live_key(launch.id()), jobs::final_key(launch.id()), value)
}

/// Decodes the nodes that a job runs from its live or final record.
fn decode_nodes(value: &Value) -> Option<NodeRanges> {
    serde_json::from_value(value.get("g")?.get("n")?.clone()).ok()
}

impl Controller {
    /// The graphs of the current leader term; `None` if graphs are not served, or while they are
    /// moved out for a call.
    fn graph_table(&mut self) -> Option<&mut GraphTable> {
        self.leader_term.as_mut()?.graphs.as_mut()
    }

    // --- Requests --------------------------------------------------------------

    /// Handles a client's request. A controller that does not lead forwards it to the leader, or
    /// answers from the final records if no leader is known.
    pub(super) fn on_graph_request(
        &mut self,
        now: Now,
        conn: ConnId,
        request: GraphRequest,
        forwarded: bool,
    ) {
        if self.leader_config.graphs.is_none() {
            return self.reply(conn, HttpReply::error(404, "no such path"));
        }
        let active = self.leadership.valid(now.mono).is_some()
            && self.leader_term.as_ref().is_some_and(|term| term.stage == Stage::Active);
        if !active {
            let leader = self.leadership.other_leader().filter(|_| !forwarded).cloned();
            return match leader.filter(|_| self.leadership.token().is_none()) {
                Some(leader) => {
                    self.ask_peer(now.mono, conn, leader, PeerRequest::Graph(Box::new(request)));
                }
                None => self.read_finished_graph(now.mono, conn, request),
            };
        }
        // Moved out of the leader term during the call, since the closures borrow the controller.
        let graphs = self.leader_term.as_mut().and_then(|leader_term| leader_term.graphs.take());
        let Some(mut graphs) = graphs else {
            return self.reply(conn, HttpReply::unavailable("graphs are being read"));
        };
        let find_rejection = |spec: &JobSpec| self.rejection(spec);
        let team_exists = |name: &str| self.settings.team(name).is_some();
        let context = RequestContext { find_rejection: &find_rejection, team_exists: &team_exists };
        let outcome = graphs.handle_request(now, conn.0, &request, &context);
        if let Some(leader_term) = self.leader_term.as_mut() {
            leader_term.graphs = Some(graphs);
        }
        match outcome {
            RequestOutcome::Reply(reply) => self.reply(conn, reply),
            RequestOutcome::Deferred => {}
            RequestOutcome::Job(id, nodes) => {
                let job = self
                    .leader_term
                    .as_ref()
                    .and_then(|leader_term| leader_term.job_table.get(&id));
                let reply = match job {
                    Some(job) => HttpReply::json(200, &nodes.with_job(&job.spec)),
                    None => HttpReply::error(404, "no such job of a graph is open"),
                };
                self.reply(conn, reply);
            }
            RequestOutcome::NotOpen => self.read_finished_graph(now.mono, conn, request),
        }
        self.apply_graph_effects(now);
    }

    /// Reads the final record of a graph that is not open on this controller, to answer a request.
    pub(super) fn read_finished_graph(&mut self, now: Mono, conn: ConnId, request: GraphRequest) {
        let Some(id) = request.graph() else {
            return self.reply(conn, HttpReply::unavailable("no leader can be reached"));
        };
        let op = StoreOp::Get { key: records::final_graph_key(id) };
        let purpose = Purpose::FinishedGraph {
            conn,
            request: Box::new(request),
            step: FinalReadStep::Answer,
        };
        if self.submit(now, OpClass::General, op, purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }

    /// Answers a request from the final record of a graph and, if it asks for nodes, from the final
    /// pages.
    pub(super) fn on_finished_graph(
        &mut self,
        now: Mono,
        conn: ConnId,
        request: Box<GraphRequest>,
        step: FinalReadStep,
        reply: StoreReply,
    ) {
        let unreadable_reply = || HttpReply::unavailable("its record cannot be read");
        match (step, reply) {
            (FinalReadStep::Answer, StoreReply::Missing(_)) => {
                // Only a leader that has loaded all graphs knows whether a graph is open; before
                // that, it could report a graph as missing that it is about to load.
                let is_leader = self.leadership.valid(now).is_some();
                let graphs =
                    self.leader_term.as_ref().and_then(|leader_term| leader_term.graphs.as_ref());
                let id = request.graph();
                let is_not_open = graphs.is_some_and(|graphs| {
                    graphs.is_ready() && id.is_none_or(|id| graphs.graph(id).is_none())
                });
                // The end may have become durable while its key was being read.
                let finished = id.and_then(|id| Some((id, graphs?.final_record(id)?)));
                let reply = if let Some((id, record)) = finished.filter(|_| is_leader) {
                    GraphTable::final_reply(id, &request, record)
                } else if is_leader && is_not_open {
                    GraphTable::missing_reply(&request)
                } else {
                    HttpReply::unavailable("no leader can be reached")
                };
                self.reply(conn, reply);
            }
            (FinalReadStep::Answer, StoreReply::Found(row)) => {
                let Ok(record) = serde_json::from_value::<records::FinalRecord>(row.value) else {
                    return self.reply(conn, unreadable_reply());
                };
                let id = row
                    .key
                    .strip_prefix(records::FINAL_GRAPHS_PREFIX)
                    .and_then(GraphId::from_digits);
                let Some(id) = id else { return self.reply(conn, unreadable_reply()) };
                match &*request {
                    GraphRequest::GetGraph(_, range) if range.max_nodes > 0 && record.pages > 0 => {
                        let after = final_pages_after(id, range);
                        let prefix = format!("{}/", records::final_graph_key(id));
                        let op = StoreOp::List { prefix, after };
                        let step = FinalReadStep::Nodes(Box::new(record));
                        let purpose = Purpose::FinishedGraph { conn, request, step };
                        if self.submit(now, OpClass::General, op, purpose).is_err() {
                            self.reply(conn, HttpReply::unavailable("the state service is busy"));
                        }
                    }
                    request => self.reply(conn, GraphTable::final_reply(id, request, &record)),
                }
            }
            (FinalReadStep::Nodes(record), StoreReply::Page(page)) => {
                let GraphRequest::GetGraph(id, range) = &*request else {
                    return self.reply(conn, unreadable_reply());
                };
                let mut view = answers::GraphView::from_final_record(*id, &record);
                let mut last = range.after.clone();
                let mut more = page.more;
                for row in page.rows {
                    if view.changed.len() >= range.max_nodes {
                        more = true;
                        break;
                    }
                    let number = row.key.rsplit_once('/').map(|(_, n)| n.to_owned());
                    let Ok(page) = serde_json::from_value::<FinalPage>(row.value) else {
                        return self.reply(conn, unreadable_reply());
                    };
                    view.changed.extend(answers::final_node_views(*id, page));
                    last = format!("over.{}", number.unwrap_or_default());
                }
                (view.next, view.more) = (last, more);
                self.reply(conn, HttpReply::json(200, &view));
            }
            _ => self.reply(conn, HttpReply::unavailable("the state service cannot be reached")),
        }
    }

    // --- Effects ------------------------------------------------------------------

    /// Applies the effects that the graphs request, until there are none left.
    pub(super) fn apply_graph_effects(&mut self, now: Now) {
        loop {
            let effects = self.graph_table().map(GraphTable::take_effects).unwrap_or_default();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Reply { ticket, reply } => self.reply(ConnId(ticket), reply),
                    Effect::Admit(launch, revision) => {
                        let sent_under = self.leadership.token();
                        self.admit(now, build_live_record(*launch), revision, sent_under);
                    }
                    Effect::Cancel(id) => {
                        if let Some(leader_term) = self.leader_term.as_mut() {
                            leader_term.end_job(
                                &id,
                                JobStatus::Cancelled,
                                "its graph ends",
                                now.mono,
                            );
                        }
                    }
                }
            }
        }
    }

    /// Notifies a job's graph, if it has one, that the job's end is durable.
    pub(super) fn graph_job_finished(&mut self, id: &JobId, record: &FinalRecord) {
        let Some(part) = &record.part else { return };
        if let Some(graphs) = self.graph_table() {
            graphs.on_job_finished(id, part, record.status, record.failure.as_ref());
        }
    }

    /// Runs after every event: advances the graphs' timers, and passes on the task completions that
    /// the job table has made durable.
    pub(super) fn advance_graphs(&mut self, now: Now) {
        let valid = self.was_valid;
        let Some(leader_term) =
            self.leader_term.as_mut().filter(|term| term.stage == Stage::Active)
        else {
            return;
        };
        let durable_node_tasks = std::mem::take(&mut leader_term.job_table.durable_node_tasks);
        let Some(graphs) = leader_term.graphs.as_mut() else { return };
        for (id, done) in durable_node_tasks {
            graphs.on_tasks_done(&id, &done);
        }
        if valid {
            graphs.tick(now.mono);
        }
        self.load_graphs(now.mono);
        self.apply_graph_effects(now);
    }

    // --- Loading ------------------------------------------------------------------

    /// Submits the next read of the graphs that a new leader loads.
    fn load_graphs(&mut self, now: Mono) {
        if self.graph_read_in_flight || now < self.next_graph_read || self.writer != Writer::Idle {
            return;
        }
        let Some(token) = self.leadership.token() else { return };
        let Some(read) = self.graph_table().and_then(|graphs| graphs.next_read()) else { return };
        let op = match &read {
            LoadRead::Key(key) => StoreOp::Get { key: key.clone() },
            LoadRead::List { prefix, after } => {
                StoreOp::List { prefix: prefix.clone(), after: after.clone() }
            }
            LoadRead::FinishedJobs { after } => StoreOp::List {
                prefix: format!("{}{}", jobs::FINAL_PREFIX, graph_table::GRAPH_JOBS_PREFIX),
                after: jobs::final_key(after),
            },
        };
        let purpose = Purpose::Graphs { token, read };
        self.graph_read_in_flight = self.submit(now, OpClass::General, op, purpose).is_ok();
        if !self.graph_read_in_flight {
            self.next_graph_read = now.plus(GRAPH_READ_RETRY_PAUSE_MS);
        }
    }

    /// Passes on to the graphs what was read for a new leader.
    pub(super) fn on_graph_rows(
        &mut self,
        now: Now,
        token: Token,
        read: LoadRead,
        reply: StoreReply,
    ) {
        self.graph_read_in_flight = false;
        let Some(leader_term) = self.leader_term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        // Moved out of the leader term during the call, since the leader term is queried for the
        // jobs of graphs.
        let Some(mut graphs) = leader_term.graphs.take() else { return };
        let is_expected = graphs.next_read().as_ref() == Some(&read);
        match (read, reply) {
            _ if !is_expected => {}
            (LoadRead::Key(_), StoreReply::Missing(_)) => graphs.load_session_count(Revision(0)),
            (LoadRead::Key(_), StoreReply::Found(row)) => graphs.load_session_count(row.version),
            (LoadRead::List { .. }, StoreReply::Page(page)) => {
                graphs.load_rows(page.rows, page.more, now)
            }
            (LoadRead::FinishedJobs { .. }, StoreReply::Page(page)) => {
                let parse_id = |row: &Row| JobId::parse(row.key.strip_prefix(jobs::FINAL_PREFIX)?);
                let last = page.rows.last().and_then(parse_id).filter(|_| page.more);
                let finished = page.rows.iter().filter_map(|row| {
                    let read = serde_json::from_value::<FinalRecord>(row.value.clone());
                    let record = read
                        .map_err(|e| {
                            log::error!("state service: {} cannot be decoded: {e}", row.key)
                        })
                        .ok()?;
                    let end = (*record.part?).clone();
                    let (status, failure) = (record.status, record.failure);
                    Some(FinishedJob { id: parse_id(row)?, end, status, failure })
                });
                let finished = finished.collect();
                graphs.load_finished_jobs(
                    finished,
                    last,
                    &|graph| leader_term.open_jobs(graph),
                    now.mono,
                );
            }
            // Retried after a pause.
            _ => self.next_graph_read = now.mono.plus(GRAPH_READ_RETRY_PAUSE_MS),
        }
        if let Some(leader_term) = self.leader_term.as_mut() {
            leader_term.graphs = Some(graphs);
        }
        self.apply_graph_effects(now);
    }

    // --- Writing -----------------------------------------------------------------

    /// Submits the next transaction of graphs; returns whether there was one.
    pub(super) fn write_graphs(&mut self, now: Now) -> bool {
        let (Some(token), Some(fence)) = (self.leadership.token(), self.leadership.fence()) else {
            return false;
        };
        let max_change_count = self.limits.max_changes();
        let retried = self.graph_write_backoff.take_due(now.mono);
        let max_items = if retried.is_some() { 1 } else { self.graph_write_backoff.max_items() };
        let Some(graphs) = self.graph_table() else { return false };
        graphs.max_items = max_items;
        retried.into_iter().for_each(|item| graphs.retry(item));
        let Some((txn, written)) = graphs.next_txn(fence, max_change_count, now, &encode_launch)
        else {
            return false;
        };
        self.writer = Writer::Writing;
        self.traffic.changes += txn.changes.len();
        let purpose = Purpose::WriteGraphs { token, written };
        let _ = self.submit(now.mono, OpClass::Write, StoreOp::Txn(txn), purpose);
        true
    }

    /// Processes the outcome of a transaction of graphs: an unknown one is resolved by reading the
    /// keys back, and refused writes are queued again.
    pub(super) fn on_graphs_written(
        &mut self,
        now: Now,
        token: Token,
        written: Vec<graph_table::InFlightWrite>,
        reply: StoreReply,
    ) {
        if self.leader_term.as_ref().is_none_or(|term| term.token != token) {
            return;
        }
        self.writer = Writer::Idle;
        let Some(graphs) = self.graph_table() else { return };
        match reply {
            StoreReply::Committed(revision) => {
                graphs.committed(&written, revision);
                self.graph_write_backoff.accepted(written.iter().map(|outcome| &outcome.item));
            }
            StoreReply::Conflict(failed) if failed.iter().any(|k| k == LEADER_KEY) => {
                graphs.refused(written);
                self.leadership.step_down();
            }
            StoreReply::Conflict(_) | StoreReply::Lost => {
                log::warn!(
                    "state service: the outcome of a graph write is unknown; reading back its keys"
                );
                self.resolve_graphs(
                    now,
                    token,
                    UnresolvedWrites { items: written, ..UnresolvedWrites::default() },
                );
            }
            StoreReply::Malformed(text) => self.on_graphs_write_refused(now.mono, written, &text),
            _ => {
                graphs.refused(written);
                self.next_write = now.mono.plus(STORE_THROTTLED_PAUSE_MS);
            }
        }
        self.apply_graph_effects(now);
    }

    /// Handles a transaction that the service refused as invalid: it is not written again
    /// unchanged.
    fn on_graphs_write_refused(
        &mut self,
        now: Mono,
        mut written: Vec<graph_table::InFlightWrite>,
        text: &str,
    ) {
        if !self.on_write_refused(text) {
            let items: Vec<_> = written.iter().map(|outcome| outcome.item.clone()).collect();
            if let Some(RejectionResponse::Deferred(item, pause)) =
                self.graph_write_backoff.rejected(&items, now)
            {
                log::error!(
                    "state service: refused the graph write {item:?} on its own; retrying in {pause:?}"
                );
                written.retain(|outcome| outcome.item != item);
            }
        }
        if let Some(graphs) = self.graph_table() {
            graphs.refused(written);
        }
    }

    /// Reads the keys of writes with an unknown outcome, one after another.
    fn resolve_graphs(&mut self, now: Now, token: Token, mut unresolved: UnresolvedWrites) {
        let live_key = |id: &JobId| jobs::live_key(id);
        let final_key = |id: &JobId| jobs::final_key(id);
        loop {
            let Some(item) = unresolved.items.last().cloned() else {
                self.writer = Writer::Idle;
                return;
            };
            let Some(graphs) = self.graph_table() else { return };
            if unresolved.rows.is_empty() {
                unresolved.keys = graphs.keys_to_resolve(&item, &live_key, &final_key);
            }
            if let Some(key) = unresolved.keys.get(unresolved.rows.len()).cloned() {
                self.writer = Writer::ResolvingGraphs(unresolved);
                let op = StoreOp::Get { key };
                let _ = self.submit(now.mono, OpClass::Write, op, Purpose::ResolveGraphs { token });
                return;
            }
            let rows = std::mem::take(&mut unresolved.rows);
            unresolved.items.pop();
            graphs.resolved(item, &rows, &decode_nodes);
        }
    }

    /// Adds a row that was read for a write with an unknown outcome.
    pub(super) fn on_graphs_resolved(&mut self, now: Now, token: Token, reply: StoreReply) {
        if self.leader_term.as_ref().is_none_or(|term| term.token != token) {
            return;
        }
        let writer = std::mem::replace(&mut self.writer, Writer::Idle);
        let Writer::ResolvingGraphs(mut unresolved) = writer else {
            self.writer = writer;
            return;
        };
        match reply {
            StoreReply::Found(row) => unresolved.rows.push(Some(row)),
            StoreReply::Missing(_) => unresolved.rows.push(None),
            // The read is retried.
            _ => {}
        }
        self.resolve_graphs(now, token, unresolved);
        self.apply_graph_effects(now);
    }
}

/// The key after which the listing of a finished graph's pages continues.
fn final_pages_after(id: GraphId, range: &GetGraph) -> String {
    let page =
        range.after.strip_prefix("over.").filter(|page| page.bytes().all(|b| b.is_ascii_digit()));
    page.map(|page| format!("{}/{page}", records::final_graph_key(id))).unwrap_or_default()
}
