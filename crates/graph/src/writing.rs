//! What of graphs and sessions is written, in which order, and what a transaction has made durable. Everything is
//! fenced by the leader's key, and asks for versions such that a late copy of an older write finds them changed.

use crate::constants::*;
use crate::desk::{Desk, Effect, Launch};
use crate::ids::{GraphId, Seq};
use crate::live::{Phase, Why};
use crate::records::{
    Head, Page, SESSION_COUNT, SessionRecord, head_key, over_key, over_page_key, page_key,
    session_key,
};
use crate::runs::Runs;
use crate::sessions;
use oatloom_protocol::ids::{JobId, Now, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Change, Condition, Row, Txn};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Something that is written as one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    Session(String),
    Head(GraphId),
    /// All pages of an addition.
    Addition(GraphId),
    /// A job for nodes.
    Launch(GraphId, Seq),
    /// How the nodes of a page ended.
    EndPage(GraphId, u32),
    /// The final answer.
    End(GraphId),
    /// A page of a graph that is over goes.
    Sweep(GraphId, u32),
}

/// What a transaction in flight will have made durable.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrote {
    pub item: Item,
    /// The phase of a session when it was written.
    session: Option<sessions::Phase>,
}

/// How the record of a job is written: its key, that of its final state, and the value. The rest of the leader knows.
pub type LiveRecord<'a> = &'a dyn Fn(&Launch) -> (String, String, Value);

#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// What somebody waits for.
    urgent: VecDeque<Item>,
    later: VecDeque<Item>,
    queued: BTreeSet<Item>,
    /// Jobs that are not known to be accepted yet.
    launches: BTreeMap<(GraphId, Seq), Launch>,
    /// Those of them that are to be written again.
    retry: VecDeque<(GraphId, Seq)>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.queued.len() + self.retry.len()
    }

    fn push(&mut self, item: Item, urgent: bool) {
        if self.queued.insert(item.clone()) {
            let queue = if urgent { &mut self.urgent } else { &mut self.later };
            queue.push_back(item);
        }
    }

    pub fn session(&mut self, name: &str) {
        self.push(Item::Session(name.to_owned()), true);
    }

    pub fn head(&mut self, id: GraphId) {
        self.push(Item::Head(id), true);
    }

    pub fn addition(&mut self, id: GraphId) {
        self.push(Item::Addition(id), true);
    }

    /// The next page of a graph's end, or the end itself.
    pub fn ending(&mut self, id: GraphId) {
        self.push(Item::End(id), false);
    }

    pub fn sweep(&mut self, id: GraphId, page: u32) {
        self.push(Item::Sweep(id, page), false);
    }

    fn pop(&mut self, urgent: bool) -> Option<Item> {
        let queue = if urgent { &mut self.urgent } else { &mut self.later };
        let item = queue.pop_front()?;
        self.queued.remove(&item);
        Some(item)
    }

    /// Puts an item back to where it came from, before the others.
    fn put_back(&mut self, item: Item) {
        let urgent = matches!(item, Item::Session(_) | Item::Head(_) | Item::Addition(_));
        if let Item::Launch(graph, seq) = item {
            self.retry.push_front((graph, seq));
        } else if self.queued.insert(item.clone()) {
            let queue = if urgent { &mut self.urgent } else { &mut self.later };
            queue.push_front(item);
        }
    }
}

fn when(key: String, version: Revision) -> Condition {
    Condition { key, version }
}

impl Desk {
    /// Whether there is anything to write.
    pub fn has_writes(&self) -> bool {
        self.ready()
            && (self.queue.len() > 0 || !self.wanting.is_empty() && self.open_jobs < OPEN_JOBS_MOST)
    }

    /// The next fenced transaction, within the limits of the service.
    pub fn next_txn(
        &mut self,
        fence: Condition,
        ops: usize,
        now: Now,
        live: LiveRecord,
    ) -> Option<(Txn, Vec<Wrote>)> {
        if !self.ready() {
            return None;
        }
        let mut txn = Txn { conditions: vec![fence], changes: Vec::new() };
        let mut wrote: Vec<Wrote> = Vec::new();
        let mut bytes = 0;
        let most = self.items_most;
        while wrote.len() < most
            && txn.changes.len() < ops
            && bytes < TXN_BYTES
            && txn.conditions.len() + 4 < ops * 4
        {
            let Some(item) = self.next_item(now) else { break };
            let before = (txn.conditions.len(), txn.changes.len());
            let written = self.write(&item, &mut txn, live);
            let added = txn.changes[before.1..].iter().map(size).sum::<usize>();
            let over = txn.changes.len() > ops || !wrote.is_empty() && bytes + added > TXN_BYTES;
            // One session at a time, since all of them write the same count.
            let second = matches!(item, Item::Session(_))
                && wrote.iter().any(|w| matches!(w.item, Item::Session(_)));
            if written && (over || second) {
                txn.conditions.truncate(before.0);
                txn.changes.truncate(before.1);
                self.queue.put_back(item);
                break;
            }
            if written {
                bytes += added;
                let session = match &item {
                    Item::Session(name) => self.sessions.get(name).map(|session| session.phase),
                    _ => None,
                };
                wrote.push(Wrote { item, session });
            }
        }
        (!wrote.is_empty()).then_some((txn, wrote))
    }

    fn next_item(&mut self, now: Now) -> Option<Item> {
        if let Some(item) = self.queue.pop(true) {
            return Some(item);
        }
        if let Some((graph, seq)) = self.queue.retry.pop_front() {
            return Some(Item::Launch(graph, seq));
        }
        if let Some(launch) = self.launch(now) {
            let key = (launch.graph, launch.seq);
            self.queue.launches.insert(key, launch);
            return Some(Item::Launch(key.0, key.1));
        }
        match self.queue.pop(false)? {
            // Its pages first, one after the other.
            Item::End(id) => {
                let live = self.graphs.get(&id)?;
                let page = live.ended_pages;
                let all = page >= live.model.page_count();
                Some(if all { Item::End(id) } else { Item::EndPage(id, page) })
            }
            item => Some(item),
        }
    }

    /// Puts an item into a transaction; whether there was anything to write.
    fn write(&mut self, item: &Item, txn: &mut Txn, live: LiveRecord) -> bool {
        let zero = Revision(0);
        let put = |key: String, value: Value| Change::put(key, value);
        match item {
            Item::Session(name) => {
                let Some(session) = self.sessions.get(name) else { return false };
                let key = session_key(name);
                let count = |more: i64| {
                    let count = self.sessions.len() as i64 + more;
                    put(SESSION_COUNT.to_owned(), json!({"n": count.max(0)}))
                };
                txn.conditions.push(when(key.clone(), session.stamp));
                match session.phase {
                    sessions::Phase::Opening => {
                        txn.conditions.push(when(SESSION_COUNT.to_owned(), self.count_stamp));
                        txn.changes.push(put(key, json!(session.record)));
                        txn.changes.push(count(0));
                    }
                    sessions::Phase::Closing => txn.changes.push(put(key, json!(session.record))),
                    sessions::Phase::Ended if session.graphs == 0 => {
                        txn.conditions.push(when(SESSION_COUNT.to_owned(), self.count_stamp));
                        txn.changes.push(Change::Delete { key });
                        txn.changes.push(count(-1));
                    }
                    sessions::Phase::Open | sessions::Phase::Ended => {
                        txn.conditions.pop();
                        return false;
                    }
                }
            }
            Item::Head(id) => {
                let Some(live) = self.graphs.get(id) else { return false };
                if !matches!(live.phase, Phase::Creating | Phase::Marking) {
                    return false;
                }
                txn.conditions.push(when(head_key(*id), live.stamp));
                if live.stamp == zero {
                    txn.conditions.push(when(over_key(*id), zero));
                }
                txn.changes.push(put(head_key(*id), json!(live.head)));
            }
            Item::Addition(id) => {
                let Some(live) = self.graphs.get(id) else { return false };
                let Some(pending) = &live.pending else { return false };
                txn.conditions.push(when(head_key(*id), live.stamp));
                let pages = pending.prepared.pages.iter();
                for (number, page) in (live.model.page_count()..).zip(pages) {
                    let key = page_key(*id, number);
                    txn.conditions.push(when(key.clone(), zero));
                    txn.changes.push(put(key, json!(page)));
                }
            }
            Item::Launch(id, seq) => {
                let Some(launch) = self.queue.launches.get(&(*id, *seq)) else { return false };
                let (key, over, value) = live(launch);
                txn.conditions.push(when(key.clone(), zero));
                txn.conditions.push(when(over, zero));
                txn.changes.push(put(key, value));
            }
            Item::EndPage(id, page) => {
                let Some(live) = self.graphs.get(id) else { return false };
                txn.conditions.push(when(head_key(*id), live.stamp));
                txn.changes.push(put(
                    over_page_key(*id, *page),
                    json!(live.over_page(*page, self.room.value)),
                ));
            }
            Item::End(id) => {
                let Some(live) = self.graphs.get(id) else { return false };
                let Phase::Ending(why) = &live.phase else { return false };
                txn.conditions.push(when(head_key(*id), live.stamp));
                txn.conditions.push(when(over_key(*id), zero));
                txn.changes.push(put(over_key(*id), json!(live.over_record(why))));
                txn.changes.push(Change::Delete { key: head_key(*id) });
            }
            Item::Sweep(id, page) => {
                txn.changes.push(Change::Delete { key: page_key(*id, *page) });
            }
        }
        true
    }

    /// A transaction was applied at `revision`.
    pub fn committed(&mut self, wrote: &[Wrote], revision: Revision) {
        for Wrote { item, session } in wrote {
            match item {
                Item::Session(name) => self.session_written(name, *session, revision),
                Item::Head(id) => self.head_written(*id, revision),
                Item::Addition(id) => self.added(*id),
                Item::Launch(id, seq) => self.launched(*id, *seq, revision),
                Item::EndPage(id, page) => {
                    if let Some(live) = self.graphs.get_mut(id) {
                        live.ended_pages = live.ended_pages.max(page + 1);
                        self.queue.ending(*id);
                    }
                }
                Item::End(id) => self.graph_over(*id),
                Item::Sweep(..) => {}
            }
        }
    }

    fn session_written(&mut self, name: &str, phase: Option<sessions::Phase>, at: Revision) {
        let Some(session) = self.sessions.get_mut(name) else { return };
        let tickets = std::mem::take(&mut session.tickets);
        let mut status = 200;
        match phase {
            Some(sessions::Phase::Opening) => {
                session.stamp = at;
                self.count_stamp = at;
                session.enter(sessions::Phase::Open);
                status = 201;
            }
            Some(sessions::Phase::Closing) => {
                session.stamp = at;
                session.enter(sessions::Phase::Ended);
                self.session_ended(name);
            }
            _ => {
                self.count_stamp = at;
                self.sessions.remove(name);
            }
        }
        for ticket in tickets {
            let reply = self.tell_session(name, status);
            self.reply(ticket, reply);
        }
    }

    fn head_written(&mut self, id: GraphId, at: Revision) {
        let Some(live) = self.graphs.get_mut(&id) else { return };
        live.stamp = at;
        let tickets = std::mem::take(&mut live.tickets);
        let status = if live.phase == Phase::Creating { 201 } else { 200 };
        if live.phase == Phase::Creating {
            live.enter(Phase::Open);
            // Its session may have ended meanwhile.
            let session = self.sessions.get(&live.head.session).map(|session| session.phase);
            let gone = session.is_none_or(|phase| phase == sessions::Phase::Ended);
            if gone && !live.head.detached {
                self.stop(id, Why::SessionGone);
            }
        } else {
            self.stop(id, Why::Cancelled);
        }
        let Some(live) = self.graphs.get(&id) else { return };
        let view = live.view(self.token, &Default::default());
        let reply = HttpReply::json(status, &view);
        tickets.into_iter().for_each(|ticket| self.reply(ticket, reply.clone()));
    }

    fn added(&mut self, id: GraphId) {
        let Some(live) = self.graphs.get_mut(&id) else { return };
        let Some(pending) = live.pending.take() else { return };
        let mut bytes = pending.prepared.bytes;
        for page in &pending.prepared.pages {
            // It was made for this graph as it is.
            if live.model.apply(page, std::mem::take(&mut bytes)).is_err() {
                return self.stop(id, Why::Damaged("an addition does not fit".into()));
            }
        }
        live.stale = true;
        self.review(id);
        let Some(live) = self.graphs.get(&id) else { return };
        let view = live.view(self.token, &Default::default());
        self.reply(pending.ticket, HttpReply::json(200, &view));
    }

    fn launched(&mut self, id: GraphId, seq: Seq, at: Revision) {
        let Some(launch) = self.queue.launches.remove(&(id, seq)) else { return };
        let Some(live) = self.graphs.get_mut(&id) else { return };
        // It may be over already, where its acceptance was learnt late.
        let Some((part, _)) = live.jobs.get(&seq).cloned() else { return };
        let cancelled = live.job_open(seq, &part, &[]);
        self.effects.push(Effect::Admit(Box::new(launch), at));
        if cancelled {
            self.effects.push(Effect::Cancel(id.job(seq)));
        }
        self.review(id);
    }

    fn graph_over(&mut self, id: GraphId) {
        let Some(live) = self.remove(id) else { return };
        if let Phase::Ending(why) = &live.phase {
            self.remember(id, live.over_record(why));
        }
        (0..live.model.page_count()).for_each(|page| self.queue.sweep(id, page));
    }

    /// A transaction was refused, and certainly not applied: its items are to be written again.
    pub fn refused(&mut self, wrote: Vec<Wrote>) {
        wrote.into_iter().rev().for_each(|wrote| self.queue.put_back(wrote.item));
    }

    /// An item that was refused alone is to be tried again, before others.
    pub fn retry(&mut self, item: Item) {
        self.queue.put_back(item);
    }

    /// Keys whose reading settles an item whose fate is unknown; none: it is written again as it is. `live` and `over`:
    /// where a job stands.
    pub fn keys_of(
        &self,
        wrote: &Wrote,
        live: &dyn Fn(&JobId) -> String,
        over: &dyn Fn(&JobId) -> String,
    ) -> Vec<String> {
        match &wrote.item {
            Item::Session(name) => vec![session_key(name), SESSION_COUNT.to_owned()],
            Item::Head(id) => vec![head_key(*id), over_key(*id)],
            Item::Addition(id) => {
                let live = self.graphs.get(id);
                live.map(|live| page_key(*id, live.model.page_count())).into_iter().collect()
            }
            Item::EndPage(..) | Item::Sweep(..) => Vec::new(),
            Item::Launch(id, seq) => vec![live(&id.job(*seq)), over(&id.job(*seq))],
            Item::End(id) => vec![over_key(*id)],
        }
    }

    /// What stands under the keys of an item whose fate was unknown. `nodes`: which nodes a job's record, or its final
    /// state, says it runs.
    pub fn resolved(
        &mut self,
        wrote: Wrote,
        rows: &[Option<Row>],
        nodes: &dyn Fn(&Value) -> Option<Runs>,
    ) {
        let row = |at: usize| rows.get(at).and_then(Option::as_ref);
        let version = |at: usize| row(at).map_or(Revision(0), |row| row.version);
        match &wrote.item {
            Item::Session(name) => {
                self.count_stamp = version(1);
                let found = row(0).and_then(|row| {
                    serde_json::from_value::<SessionRecord>(row.value.clone()).ok()
                });
                let Some(session) = self.sessions.get_mut(name) else { return };
                let durable = match wrote.session {
                    Some(sessions::Phase::Ended) => row(0).is_none(),
                    _ => found.as_ref() == Some(&session.record),
                };
                if durable {
                    self.session_written(name, wrote.session, version(0));
                    self.count_stamp = version(1);
                } else {
                    session.stamp = version(0);
                    self.queue.put_back(wrote.item);
                }
            }
            Item::Head(id) => {
                let found =
                    row(0).and_then(|row| serde_json::from_value::<Head>(row.value.clone()).ok());
                let Some(live) = self.graphs.get_mut(id) else { return };
                if found.as_ref() == Some(&live.head) {
                    self.head_written(*id, version(0));
                } else if let Some(over) = row(1) {
                    self.found_over(*id, &over.value);
                } else {
                    live.stamp = version(0);
                    self.queue.put_back(wrote.item);
                }
            }
            Item::Addition(id) => {
                let page = row(0).map(|row| serde_json::from_value::<Page>(row.value.clone()).ok());
                let live = self.graphs.get(id);
                let pending = live.and_then(|live| live.pending.as_ref());
                let first = pending.and_then(|pending| pending.prepared.pages.first().cloned());
                match page {
                    Some(page) if page == first => self.added(*id),
                    Some(_) => self.stop(*id, Why::Damaged("a page that nobody added".into())),
                    None => self.queue.put_back(wrote.item),
                }
            }
            Item::Launch(id, seq) => match (row(0), row(1)) {
                (Some(live), _) if self.is_launch(*id, *seq, nodes(&live.value)) => {
                    self.launched(*id, *seq, live.version)
                }
                // It was accepted and has ended: that was told, or will be.
                (_, Some(over)) if self.is_launch(*id, *seq, nodes(&over.value)) => {
                    self.queue.launches.remove(&(*id, *seq));
                }
                (None, None) => self.queue.put_back(wrote.item),
                _ => {
                    // A user's job had this id before graphs were served here.
                    self.queue.launches.remove(&(*id, *seq));
                    if let Some(live) = self.graphs.get_mut(id) {
                        live.relaunch(*seq);
                        self.open_jobs = self.open_jobs.saturating_sub(1);
                    }
                    self.review(*id);
                }
            },
            Item::End(id) if row(0).is_some() => self.graph_over(*id),
            Item::EndPage(..) | Item::End(_) | Item::Sweep(..) => self.queue.put_back(wrote.item),
        }
    }

    /// Whether what was found is the job that was to be written.
    fn is_launch(&self, id: GraphId, seq: Seq, nodes: Option<Runs>) -> bool {
        let launch = self.queue.launches.get(&(id, seq));
        launch.is_some_and(|launch| nodes.as_ref() == Some(&launch.part.nodes))
    }

    /// A graph that was to be begun was over already.
    fn found_over(&mut self, id: GraphId, value: &Value) {
        let record = serde_json::from_value::<crate::records::OverRecord>(value.clone()).ok();
        let Some(live) = self.remove(id) else { return };
        let reply = match record {
            Some(record) if record.key == live.head.key => {
                HttpReply::json(200, &crate::answers::GraphView::of_over(id, &record))
            }
            _ => HttpReply::error(409, "the graph is another's"),
        };
        live.tickets.into_iter().for_each(|ticket| self.reply(ticket, reply.clone()));
    }
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put { key, value, .. } => key.len() + value.to_string().len() + 40,
        Change::Delete { key } => key.len() + 20,
    }
}
