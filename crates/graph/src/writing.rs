//! The write queue of graphs and sessions, their transactions, and the consequences of committed writes. Every
//! transaction is fenced by the leader's key. Its conditions on versions make a late copy of an older write fail.

use crate::constants::*;
use crate::graph_table::{Effect, GraphTable, JobLaunch};
use crate::ids::{GraphId, JobSeq};
use crate::node_ranges::NodeRanges;
use crate::open_graph::{EndReason, Phase};
use crate::records::{
    GraphHead, Page, SESSION_COUNT_KEY, SessionRecord, final_graph_key, final_page_key, head_key,
    page_key, session_key,
};
use crate::sessions;
use oatloom_protocol::ids::{JobId, Now, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Change, Condition, Row, Txn};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A unit of writing: all its changes go into the same transaction. Items are ordered by variant, then by key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GraphWrite {
    /// The record of a session.
    Session(String),
    /// The head record of a graph.
    Head(GraphId),
    /// All pages of an addition.
    Addition(GraphId),
    /// The live record of a job that runs nodes.
    Launch(GraphId, JobSeq),
    /// The final states of a page's nodes.
    FinalPage(GraphId, u32),
    /// The final record, which replaces the head.
    FinalRecord(GraphId),
    /// The deletion of a finished graph's page.
    DeletePage(GraphId, u32),
}

/// An item of a transaction in flight, as needed to process the transaction's outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightWrite {
    pub item: GraphWrite,
    /// For a session: its phase when the transaction was built.
    session: Option<sessions::Phase>,
}

/// Encodes a job's record: live key, final key and value. The job table owns this format.
pub type JobRecordEncoder<'a> = &'a dyn Fn(&JobLaunch) -> (String, String, Value);

/// The queue of items to write. Every item is queued at most once.
#[derive(Debug, Default)]
pub(crate) struct GraphWriteQueue {
    /// Items that a client's request waits for.
    urgent: VecDeque<GraphWrite>,
    /// All other items.
    later: VecDeque<GraphWrite>,
    queued: BTreeSet<GraphWrite>,
    /// Jobs whose acceptance is not confirmed yet.
    launches: BTreeMap<(GraphId, JobSeq), JobLaunch>,
    /// Jobs among them that must be written again.
    retries: VecDeque<(GraphId, JobSeq)>,
}

impl GraphWriteQueue {
    pub fn len(&self) -> usize {
        self.queued.len() + self.retries.len()
    }

    fn push(&mut self, item: GraphWrite, urgent: bool) {
        if self.queued.insert(item.clone()) {
            let queue = if urgent { &mut self.urgent } else { &mut self.later };
            queue.push_back(item);
        }
    }

    pub fn push_session(&mut self, name: &str) {
        self.push(GraphWrite::Session(name.to_owned()), true);
    }

    pub fn push_head(&mut self, id: GraphId) {
        self.push(GraphWrite::Head(id), true);
    }

    pub fn push_addition(&mut self, id: GraphId) {
        self.push(GraphWrite::Addition(id), true);
    }

    /// Queues a graph's next final page, or its final record after the last page.
    pub fn push_final(&mut self, id: GraphId) {
        self.push(GraphWrite::FinalRecord(id), false);
    }

    pub fn push_page_delete(&mut self, id: GraphId, page: u32) {
        self.push(GraphWrite::DeletePage(id, page), false);
    }

    fn pop(&mut self, urgent: bool) -> Option<GraphWrite> {
        let queue = if urgent { &mut self.urgent } else { &mut self.later };
        let item = queue.pop_front()?;
        self.queued.remove(&item);
        Some(item)
    }

    /// Puts an item back at the front of its queue.
    fn put_back(&mut self, item: GraphWrite) {
        let urgent =
            matches!(item, GraphWrite::Session(_) | GraphWrite::Head(_) | GraphWrite::Addition(_));
        if let GraphWrite::Launch(graph, seq) = item {
            self.retries.push_front((graph, seq));
        } else if self.queued.insert(item.clone()) {
            let queue = if urgent { &mut self.urgent } else { &mut self.later };
            queue.push_front(item);
        }
    }
}

/// The condition that a key is still at this version.
fn require_version(key: String, version: Revision) -> Condition {
    Condition { key, version }
}

impl GraphTable {
    /// Whether a transaction can be built: an item is queued, or a job can be launched.
    pub fn has_writes(&self) -> bool {
        self.is_ready()
            && (self.queue.len() > 0
                || !self.launchable.is_empty() && self.open_job_count < MAX_OPEN_JOB_COUNT)
    }

    /// Builds the next fenced transaction of at most `max_change_count` changes, within the limits of the service.
    pub fn next_txn(
        &mut self,
        fence: Condition,
        max_change_count: usize,
        now: Now,
        encode_job: JobRecordEncoder,
    ) -> Option<(Txn, Vec<InFlightWrite>)> {
        if !self.is_ready() {
            return None;
        }
        let mut txn = Txn { conditions: vec![fence], changes: Vec::new() };
        let mut written: Vec<InFlightWrite> = Vec::new();
        let mut bytes = 0;
        let max_items = self.max_items;
        while written.len() < max_items
            && txn.changes.len() < max_change_count
            && bytes < MAX_TXN_BYTES
            && txn.conditions.len() + 4 < max_change_count * 4
        {
            let Some(item) = self.next_item(now) else { break };
            let before = (txn.conditions.len(), txn.changes.len());
            let has_changes = self.append_to_txn(&item, &mut txn, encode_job);
            let added = txn.changes[before.1..].iter().map(change_bytes).sum::<usize>();
            let exceeds_limits = txn.changes.len() > max_change_count
                || !written.is_empty() && bytes + added > MAX_TXN_BYTES;
            // One session per transaction, since every session writes the same count.
            let is_second_session = matches!(item, GraphWrite::Session(_))
                && written.iter().any(|w| matches!(w.item, GraphWrite::Session(_)));
            if has_changes && (exceeds_limits || is_second_session) {
                txn.conditions.truncate(before.0);
                txn.changes.truncate(before.1);
                self.queue.put_back(item);
                break;
            }
            if has_changes {
                bytes += added;
                let session = match &item {
                    GraphWrite::Session(name) => {
                        self.sessions.get(name).map(|session| session.phase)
                    }
                    _ => None,
                };
                written.push(InFlightWrite { item, session });
            }
        }
        (!written.is_empty()).then_some((txn, written))
    }

    fn next_item(&mut self, now: Now) -> Option<GraphWrite> {
        if let Some(item) = self.queue.pop(true) {
            return Some(item);
        }
        if let Some((graph, seq)) = self.queue.retries.pop_front() {
            return Some(GraphWrite::Launch(graph, seq));
        }
        if let Some(launch) = self.next_launch(now) {
            let key = (launch.graph, launch.seq);
            self.queue.launches.insert(key, launch);
            return Some(GraphWrite::Launch(key.0, key.1));
        }
        match self.queue.pop(false)? {
            // The final pages come first, one at a time.
            GraphWrite::FinalRecord(id) => {
                let open_graph = self.graphs.get(&id)?;
                let page = open_graph.durable_final_pages;
                let has_all_pages = page >= open_graph.model.page_count();
                Some(if has_all_pages {
                    GraphWrite::FinalRecord(id)
                } else {
                    GraphWrite::FinalPage(id, page)
                })
            }
            item => Some(item),
        }
    }

    /// Adds an item's conditions and changes to a transaction. Returns false if the item needs no write any more.
    fn append_to_txn(
        &mut self,
        item: &GraphWrite,
        txn: &mut Txn,
        encode_job: JobRecordEncoder,
    ) -> bool {
        let zero = Revision(0);
        let put = |key: String, value: Value| Change::put(key, value);
        match item {
            GraphWrite::Session(name) => {
                let Some(session) = self.sessions.get(name) else { return false };
                let key = session_key(name);
                let put_count = |change: i64| {
                    let count = self.sessions.len() as i64 + change;
                    put(SESSION_COUNT_KEY.to_owned(), json!({"n": count.max(0)}))
                };
                txn.conditions.push(require_version(key.clone(), session.version));
                match session.phase {
                    sessions::Phase::Opening => {
                        txn.conditions.push(require_version(
                            SESSION_COUNT_KEY.to_owned(),
                            self.count_version,
                        ));
                        txn.changes.push(put(key, json!(session.record)));
                        txn.changes.push(put_count(0));
                    }
                    sessions::Phase::Closing => txn.changes.push(put(key, json!(session.record))),
                    sessions::Phase::Ended if session.open_graph_count == 0 => {
                        txn.conditions.push(require_version(
                            SESSION_COUNT_KEY.to_owned(),
                            self.count_version,
                        ));
                        txn.changes.push(Change::Delete { key });
                        txn.changes.push(put_count(-1));
                    }
                    sessions::Phase::Open | sessions::Phase::Ended => {
                        txn.conditions.pop();
                        return false;
                    }
                }
            }
            GraphWrite::Head(id) => {
                let Some(open_graph) = self.graphs.get(id) else { return false };
                if !matches!(open_graph.phase, Phase::Creating | Phase::Cancelling) {
                    return false;
                }
                txn.conditions.push(require_version(head_key(*id), open_graph.version));
                if open_graph.version == zero {
                    txn.conditions.push(require_version(final_graph_key(*id), zero));
                }
                txn.changes.push(put(head_key(*id), json!(open_graph.head)));
            }
            GraphWrite::Addition(id) => {
                let Some(open_graph) = self.graphs.get(id) else { return false };
                let Some(pending_addition) = &open_graph.pending_addition else { return false };
                txn.conditions.push(require_version(head_key(*id), open_graph.version));
                let pages = pending_addition.prepared.pages.iter();
                for (number, page) in (open_graph.model.page_count()..).zip(pages) {
                    let key = page_key(*id, number);
                    txn.conditions.push(require_version(key.clone(), zero));
                    txn.changes.push(put(key, json!(page)));
                }
            }
            GraphWrite::Launch(id, seq) => {
                let Some(launch) = self.queue.launches.get(&(*id, *seq)) else { return false };
                let (key, final_key, value) = encode_job(launch);
                txn.conditions.push(require_version(key.clone(), zero));
                txn.conditions.push(require_version(final_key, zero));
                txn.changes.push(put(key, value));
            }
            GraphWrite::FinalPage(id, page) => {
                let Some(open_graph) = self.graphs.get(id) else { return false };
                txn.conditions.push(require_version(head_key(*id), open_graph.version));
                txn.changes.push(put(
                    final_page_key(*id, *page),
                    json!(open_graph.final_page(*page, self.record_space.value_bytes)),
                ));
            }
            GraphWrite::FinalRecord(id) => {
                let Some(open_graph) = self.graphs.get(id) else { return false };
                let Phase::Ending(reason) = &open_graph.phase else { return false };
                txn.conditions.push(require_version(head_key(*id), open_graph.version));
                txn.conditions.push(require_version(final_graph_key(*id), zero));
                txn.changes.push(put(final_graph_key(*id), json!(open_graph.final_record(reason))));
                txn.changes.push(Change::Delete { key: head_key(*id) });
            }
            GraphWrite::DeletePage(id, page) => {
                txn.changes.push(Change::Delete { key: page_key(*id, *page) });
            }
        }
        true
    }

    /// Processes a transaction that was committed at `revision`.
    pub fn committed(&mut self, written: &[InFlightWrite], revision: Revision) {
        for InFlightWrite { item, session } in written {
            match item {
                GraphWrite::Session(name) => self.on_session_committed(name, *session, revision),
                GraphWrite::Head(id) => self.on_head_committed(*id, revision),
                GraphWrite::Addition(id) => self.on_addition_committed(*id),
                GraphWrite::Launch(id, seq) => self.on_launch_committed(*id, *seq, revision),
                GraphWrite::FinalPage(id, page) => {
                    if let Some(open_graph) = self.graphs.get_mut(id) {
                        open_graph.durable_final_pages =
                            open_graph.durable_final_pages.max(page + 1);
                        self.queue.push_final(*id);
                    }
                }
                GraphWrite::FinalRecord(id) => self.on_graph_finished(*id),
                GraphWrite::DeletePage(..) => {}
            }
        }
    }

    fn on_session_committed(
        &mut self,
        name: &str,
        phase: Option<sessions::Phase>,
        revision: Revision,
    ) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        let tickets = std::mem::take(&mut session.tickets);
        let mut status = 200;
        match phase {
            Some(sessions::Phase::Opening) => {
                session.version = revision;
                self.count_version = revision;
                session.enter(sessions::Phase::Open);
                status = 201;
            }
            Some(sessions::Phase::Closing) => {
                session.version = revision;
                session.enter(sessions::Phase::Ended);
                self.on_session_ended(name);
            }
            _ => {
                self.count_version = revision;
                self.sessions.remove(name);
            }
        }
        for ticket in tickets {
            let reply = self.session_reply(name, status);
            self.reply(ticket, reply);
        }
    }

    fn on_head_committed(&mut self, id: GraphId, revision: Revision) {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        open_graph.version = revision;
        let tickets = std::mem::take(&mut open_graph.tickets);
        let status = if open_graph.phase == Phase::Creating { 201 } else { 200 };
        if open_graph.phase == Phase::Creating {
            open_graph.enter(Phase::Open);
            // The session may have ended during the write.
            let session = self.sessions.get(&open_graph.head.session).map(|session| session.phase);
            let session_ended = session.is_none_or(|phase| phase == sessions::Phase::Ended);
            if session_ended && !open_graph.head.detached {
                self.stop(id, EndReason::SessionEnded);
            }
        } else {
            self.stop(id, EndReason::Cancelled);
        }
        let Some(open_graph) = self.graphs.get(&id) else { return };
        let view = open_graph.view(self.token, &Default::default());
        let reply = HttpReply::json(status, &view);
        tickets.into_iter().for_each(|ticket| self.reply(ticket, reply.clone()));
    }

    fn on_addition_committed(&mut self, id: GraphId) {
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        let Some(pending_addition) = open_graph.pending_addition.take() else { return };
        let mut bytes = pending_addition.prepared.bytes;
        for page in &pending_addition.prepared.pages {
            // Fails only if the model changed since the addition was prepared.
            if open_graph.model.apply(page, std::mem::take(&mut bytes)).is_err() {
                return self.stop(id, EndReason::Damaged("an addition does not fit".into()));
            }
        }
        open_graph.paths_stale = true;
        self.update_graph(id);
        let Some(open_graph) = self.graphs.get(&id) else { return };
        let view = open_graph.view(self.token, &Default::default());
        self.reply(pending_addition.ticket, HttpReply::json(200, &view));
    }

    fn on_launch_committed(&mut self, id: GraphId, seq: JobSeq, revision: Revision) {
        let Some(launch) = self.queue.launches.remove(&(id, seq)) else { return };
        let Some(open_graph) = self.graphs.get_mut(&id) else { return };
        // The job may have ended already if the outcome of the write was unknown for a while.
        let Some((part, _)) = open_graph.jobs.get(&seq).cloned() else { return };
        let cancelled = open_graph.mark_job_open(seq, &part, &[]);
        self.effects.push(Effect::Admit(Box::new(launch), revision));
        if cancelled {
            self.effects.push(Effect::Cancel(id.job(seq)));
        }
        self.update_graph(id);
    }

    fn on_graph_finished(&mut self, id: GraphId) {
        let Some(open_graph) = self.remove_graph(id) else { return };
        if let Phase::Ending(reason) = &open_graph.phase {
            self.cache_final_record(id, open_graph.final_record(reason));
        }
        (0..open_graph.model.page_count()).for_each(|page| self.queue.push_page_delete(id, page));
    }

    /// Queues the items of a transaction again that was refused and certainly not applied.
    pub fn refused(&mut self, written: Vec<InFlightWrite>) {
        written.into_iter().rev().for_each(|outcome| self.queue.put_back(outcome.item));
    }

    /// Queues an item again, at the front, after the service refused it on its own.
    pub fn retry(&mut self, item: GraphWrite) {
        self.queue.put_back(item);
    }

    /// The keys to read in order to determine whether an item with an unknown outcome was written. If there are none,
    /// the item is written again unchanged. `live_key` and `final_key` give the keys of a job's records.
    pub fn keys_to_resolve(
        &self,
        written: &InFlightWrite,
        live_key: &dyn Fn(&JobId) -> String,
        final_key: &dyn Fn(&JobId) -> String,
    ) -> Vec<String> {
        match &written.item {
            GraphWrite::Session(name) => vec![session_key(name), SESSION_COUNT_KEY.to_owned()],
            GraphWrite::Head(id) => vec![head_key(*id), final_graph_key(*id)],
            GraphWrite::Addition(id) => {
                let open_graph = self.graphs.get(id);
                open_graph
                    .map(|open_graph| page_key(*id, open_graph.model.page_count()))
                    .into_iter()
                    .collect()
            }
            GraphWrite::FinalPage(..) | GraphWrite::DeletePage(..) => Vec::new(),
            GraphWrite::Launch(id, seq) => vec![live_key(&id.job(*seq)), final_key(&id.job(*seq))],
            GraphWrite::FinalRecord(id) => vec![final_graph_key(*id)],
        }
    }

    /// Processes the rows read for an item with an unknown outcome. `nodes` extracts the nodes from a job's live or
    /// final record.
    pub fn resolved(
        &mut self,
        written: InFlightWrite,
        rows: &[Option<Row>],
        nodes: &dyn Fn(&Value) -> Option<NodeRanges>,
    ) {
        let row = |position: usize| rows.get(position).and_then(Option::as_ref);
        let version = |position: usize| row(position).map_or(Revision(0), |row| row.version);
        match &written.item {
            GraphWrite::Session(name) => {
                self.count_version = version(1);
                let found = row(0).and_then(|row| {
                    serde_json::from_value::<SessionRecord>(row.value.clone()).ok()
                });
                let Some(session) = self.sessions.get_mut(name) else { return };
                let is_durable = match written.session {
                    Some(sessions::Phase::Ended) => row(0).is_none(),
                    _ => found.as_ref() == Some(&session.record),
                };
                if is_durable {
                    self.on_session_committed(name, written.session, version(0));
                    self.count_version = version(1);
                } else {
                    session.version = version(0);
                    self.queue.put_back(written.item);
                }
            }
            GraphWrite::Head(id) => {
                let found = row(0)
                    .and_then(|row| serde_json::from_value::<GraphHead>(row.value.clone()).ok());
                let Some(open_graph) = self.graphs.get_mut(id) else { return };
                if found.as_ref() == Some(&open_graph.head) {
                    self.on_head_committed(*id, version(0));
                } else if let Some(final_row) = row(1) {
                    self.answer_finished_graph(*id, &final_row.value);
                } else {
                    open_graph.version = version(0);
                    self.queue.put_back(written.item);
                }
            }
            GraphWrite::Addition(id) => {
                let page = row(0).map(|row| serde_json::from_value::<Page>(row.value.clone()).ok());
                let open_graph = self.graphs.get(id);
                let pending_addition =
                    open_graph.and_then(|open_graph| open_graph.pending_addition.as_ref());
                let first = pending_addition
                    .and_then(|pending_addition| pending_addition.prepared.pages.first().cloned());
                match page {
                    Some(page) if page == first => self.on_addition_committed(*id),
                    Some(_) => {
                        self.stop(*id, EndReason::Damaged("a page that nobody added".into()))
                    }
                    None => self.queue.put_back(written.item),
                }
            }
            GraphWrite::Launch(id, seq) => match (row(0), row(1)) {
                (Some(live_row), _) if self.is_same_launch(*id, *seq, nodes(&live_row.value)) => {
                    self.on_launch_committed(*id, *seq, live_row.version)
                }
                // The job was accepted and has ended; its end is reported separately.
                (_, Some(final_row)) if self.is_same_launch(*id, *seq, nodes(&final_row.value)) => {
                    self.queue.launches.remove(&(*id, *seq));
                }
                (None, None) => self.queue.put_back(written.item),
                _ => {
                    // A user's job took this id before graphs were enabled in this region.
                    self.queue.launches.remove(&(*id, *seq));
                    if let Some(open_graph) = self.graphs.get_mut(id) {
                        open_graph.requeue_job(*seq);
                        self.open_job_count = self.open_job_count.saturating_sub(1);
                    }
                    self.update_graph(*id);
                }
            },
            GraphWrite::FinalRecord(id) if row(0).is_some() => self.on_graph_finished(*id),
            GraphWrite::FinalPage(..) | GraphWrite::FinalRecord(_) | GraphWrite::DeletePage(..) => {
                self.queue.put_back(written.item)
            }
        }
    }

    /// Whether a found record belongs to the launched job.
    fn is_same_launch(&self, id: GraphId, seq: JobSeq, nodes: Option<NodeRanges>) -> bool {
        let launch = self.queue.launches.get(&(id, seq));
        launch.is_some_and(|launch| nodes.as_ref() == Some(&launch.part.nodes))
    }

    /// Answers the repeated creation of a graph that has finished already, and removes the graph.
    fn answer_finished_graph(&mut self, id: GraphId, value: &Value) {
        let record = serde_json::from_value::<crate::records::FinalRecord>(value.clone()).ok();
        let Some(open_graph) = self.remove_graph(id) else { return };
        let reply = match record {
            Some(record) if record.key == open_graph.head.key => {
                HttpReply::json(200, &crate::answers::GraphView::from_final_record(id, &record))
            }
            _ => HttpReply::error(409, "the graph is another's"),
        };
        open_graph.tickets.into_iter().for_each(|ticket| self.reply(ticket, reply.clone()));
    }
}

/// Approximate size of a change in a transaction, in bytes.
fn change_bytes(change: &Change) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() + value.to_string().len() + 40,
        Change::Delete { key } => key.len() + 20,
    }
}
