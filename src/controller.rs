//! One controller: turns events into actions, deterministically. Every answer that only a leader
//! may give passes through a check of its validity here.

use crate::api::{HttpReply, Request, Submission};
use crate::cloud::{CloudDesk, CloudOp, CloudReply, Kind, News};
use crate::constants::*;
use crate::jobs::{self, Item, JobState, LiveRecord, OverCache, OverRecord, Written};
use crate::leadership::{Ask, LEAD_KEY, Leadership, Turn};
use crate::mesh::{Notes, Question};
use crate::parked::ParkedReports;
use crate::placement;
use crate::reign::{Reign, Stage};
use crate::relay::{Relays, Way};
use crate::settings::{Operators, Settings};
use crate::store::{Lane, OpId, StoreClient, StoreOp, StoreReply};
use crate::types::*;
use crate::wire::{
    Change, Changes, Command, Condition, JobSpec, JobStatus, JobView, Page, Redirect, Report, Row,
    Txn,
};
use crate::workers::Fleet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

/// What a report is told that is older than another, or whose machine is gone.
const OUTDATED: &str = "an older report, or a machine that was returned";

/// Who waits for an answer: a connection of the HTTP server, or a peer's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

#[derive(Debug)]
pub enum Event {
    Tick,
    /// A request; `forwarded` if a peer sent it on, which must not be sent on again.
    Request {
        conn: ConnId,
        request: Request,
        forwarded: bool,
    },
    Store {
        id: OpId,
        reply: StoreReply,
    },
    Cloud {
        id: u64,
        reply: CloudReply,
    },
    /// A worker's answer to a direct command; `None`: it could not be reached.
    Obeyed {
        report: Option<Box<Report>>,
    },
    /// A peer's answer to a question; `None`: it could not be reached.
    Told {
        id: u64,
        reply: Option<HttpReply>,
    },
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Reply {
        conn: ConnId,
        reply: HttpReply,
    },
    Store {
        id: OpId,
        lane: Lane,
        op: StoreOp,
    },
    Cloud {
        id: u64,
        op: CloudOp,
    },
    Ask {
        to: Member,
        id: u64,
        question: Question,
    },
    /// Orders for a worker that do not wait for its next report.
    Command {
        addr: String,
        command: Command,
    },
}

/// What becomes of a look into the store for one job.
#[derive(Clone, Debug)]
enum Why {
    View,
    Abort,
    /// A submission whose fate or merit is open: known, or else this answer.
    Submit(HttpReply),
}

/// What an answer of the state service is for.
#[derive(Debug)]
enum Purpose {
    Lead { ask: Ask, sent: Mono },
    Load { token: Token, first: Option<Revision> },
    Watch { token: Token, after: Revision },
    Write { token: Token, written: Vec<Written> },
    Resolve { token: Token, item: Item },
    Accept { conn: ConnId, record: Box<LiveRecord>, forwarded: bool },
    Lookup { conn: ConnId, id: JobId, why: Why, over: bool },
}

/// Where the leader's one writer stands.
#[derive(Debug, PartialEq)]
enum Writer {
    Idle,
    Writing,
    /// The fate of a transaction is open: its keys are being read again.
    Resolving(Vec<Item>),
}

/// What came in since the last line of the log that told of it.
#[derive(Debug, Default)]
struct Traffic {
    answered: u32,
    parked: u32,
    passed_on: u32,
    sent_on: u32,
    refused: u32,
    users: u32,
    probes: u32,
}

pub struct Controller {
    traffic: Traffic,
    next_line: Mono,
    settings: Settings,
    ops: Operators,
    rng: ChaCha8Rng,
    leadership: Leadership,
    store: StoreClient<Purpose>,
    desk: CloudDesk,
    /// Machines and catalogue between reigns; the catalogue serves followers too.
    fleet: Fleet,
    reign: Option<Reign>,
    over: OverCache,
    open: BTreeMap<ConnId, Mono>,
    waiting_end: HashMap<JobId, Vec<ConnId>>,
    asks: HashMap<u64, (ConnId, Question, Mono)>,
    relays: Relays,
    parked: ParkedReports,
    /// Direct commands under way.
    commands: usize,
    cloud_ops: HashMap<u64, (CloudOp, Token)>,
    next_id: u64,
    writer: Writer,
    write_after: Mono,
    watch_live: Option<Revision>,
    watch_out: bool,
    was_valid: bool,
    /// The last notes of a leader, and when they came.
    notes: Option<(Mono, Notes)>,
    next_notes: Mono,
    /// When a leader last answered a question of this node.
    last_told: Mono,
    out: Vec<Action>,
}

impl Controller {
    pub fn new(settings: Settings, ops: Operators, seed: u64) -> Self {
        Self {
            leadership: Leadership::new(settings.member.clone()),
            store: StoreClient::new(&settings.facts.state),
            desk: CloudDesk::new(&settings.facts.cloud),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
            ops,
            fleet: Fleet::default(),
            reign: None,
            over: OverCache::default(),
            open: BTreeMap::new(),
            waiting_end: HashMap::new(),
            asks: HashMap::new(),
            relays: Relays::default(),
            parked: ParkedReports::default(),
            commands: 0,
            traffic: Traffic::default(),
            next_line: Mono(0),
            cloud_ops: HashMap::new(),
            next_id: 0,
            writer: Writer::Idle,
            write_after: Mono(0),
            watch_live: None,
            watch_out: false,
            was_valid: false,
            notes: None,
            next_notes: Mono(0),
            last_told: Mono(0),
            out: Vec::new(),
        }
    }

    /// The reign, for tests and logs.
    pub fn reign(&self) -> Option<&Reign> {
        self.reign.as_ref()
    }

    pub fn valid(&self, now: Mono) -> Option<Token> {
        self.leadership.valid(now)
    }

    /// The one entrance: takes up an event and returns what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Request { conn, request, forwarded } => {
                self.on_request(now, conn, request, forwarded)
            }
            Event::Store { id, reply } => self.on_store(now, id, reply),
            Event::Cloud { id, reply } => self.on_cloud(now.mono, id, reply),
            Event::Told { id, reply } => self.on_told(now, id, reply),
            Event::Obeyed { report } => self.on_obeyed(now.mono, report),
        }
        self.turn(now);
        std::mem::take(&mut self.out)
    }

    /// What has to happen whatever the event was.
    fn turn(&mut self, now: Now) {
        let mono = now.mono;
        let asks = self.leadership.tick(mono);
        self.lead_asks(mono, asks);
        self.follow_turns(now);
        let valid = self.leadership.valid(mono).is_some();
        if let Some(reign) = self.reign.as_mut() {
            if valid && !self.was_valid {
                // Workers were turned away meanwhile; they need time to come back.
                reign.heard_from = mono;
                reign.wake();
            }
            if valid {
                reign.tick(&self.settings, &self.ops, &mut self.desk, mono);
            }
        }
        self.was_valid = valid;
        if mono >= self.next_line {
            self.next_line = mono.plus(TRAFFIC_EVERY_MS);
            // Taken whatever the level: the counts must not grow on for want of a reader.
            let traffic = std::mem::take(&mut self.traffic);
            log::debug!("traffic: {traffic:?}, {} waiting", self.open.len());
        }
        self.pass_notes(mono);
        self.write(mono);
        self.answer_parked(mono);
        self.send_commands(mono);
        self.watch(mono);
        for op in self.desk.tick(mono, valid, self.catalog().is_some()) {
            self.next_id += 1;
            let token = self.leadership.token().unwrap_or_default();
            self.cloud_ops.insert(self.next_id, (op.clone(), token));
            self.out.push(Action::Cloud { id: self.next_id, op });
        }
        self.expire(now);
        let mut sends = Vec::new();
        self.store.pump(mono, &mut sends);
        self.send(sends);
    }

    /// Tells the other controllers what they would miss as leader; no answer is waited for.
    fn pass_notes(&mut self, now: Mono) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.stage == Stage::Ruling) else { return };
        if !self.was_valid || now < self.next_notes {
            return;
        }
        self.next_notes = now.plus(NOTES_EVERY_MS);
        let notes = Notes { leader: Some(self.settings.member.clone()), ..reign.notes(now) };
        for peer in &self.settings.peers {
            self.next_id += 1;
            let question = Question::Notes(Box::new(notes.clone()));
            let to = peer.member.clone();
            self.out.push(Action::Ask { to, id: self.next_id, question });
        }
    }

    fn catalog(&self) -> Option<&crate::wire::Catalog> {
        match &self.reign {
            Some(reign) => reign.fleet.catalog.as_ref(),
            None => self.fleet.catalog.as_ref(),
        }
    }

    fn send(&mut self, sends: Vec<(OpId, Lane, StoreOp)>) {
        for (id, lane, op) in sends {
            self.out.push(Action::Store { id, lane, op });
        }
    }

    fn submit(
        &mut self,
        now: Mono,
        lane: Lane,
        op: StoreOp,
        purpose: Purpose,
    ) -> Result<(), Purpose> {
        let mut sends = Vec::new();
        let result = self.store.submit(now, lane, op, purpose, &mut sends);
        self.send(sends);
        result.map(|_| ()).map_err(|(_, purpose)| purpose)
    }

    fn reply(&mut self, conn: ConnId, reply: HttpReply) {
        if self.open.remove(&conn).is_some() {
            self.out.push(Action::Reply { conn, reply });
        }
    }

    /// Requests that waited too long are told to come back.
    fn expire(&mut self, now: Now) {
        for id in self.store.expired(now.mono) {
            self.on_store(now, id, StoreReply::Unsent);
        }
        let late: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, (_, _, until))| now.mono >= *until)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.on_told(now, id, None);
        }
        let late: Vec<ConnId> = self
            .open
            .iter()
            .filter(|(_, until)| now.mono >= **until)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in late {
            self.reply(conn, HttpReply::later("took too long"));
        }
    }

    // --- Leadership ----------------------------------------------------------

    fn lead_asks(&mut self, now: Mono, asks: Vec<Ask>) {
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

    fn follow_turns(&mut self, now: Now) {
        match self.leadership.take_turn() {
            Some(Turn::Elected(token)) => {
                let fleet = std::mem::take(&mut self.fleet);
                self.fleet.catalog.clone_from(&fleet.catalog);
                self.reign = Some(Reign::new(token, now.mono, fleet));
                self.desk.lead(token, now.mono);
                self.store.lead(true);
                self.writer = Writer::Idle;
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

    // --- Loading and watching ------------------------------------------------

    fn load(&mut self, now: Mono, prefix: &str, after: String, first: Option<Revision>) {
        let Some(token) = self.leadership.token() else {
            return;
        };
        let op = StoreOp::List { prefix: prefix.to_owned(), after };
        // Through the writer's lane, which is idle while loading: it is neither queued behind
        // users' requests nor given up.
        let _ = self.submit(now, Lane::Write, op, Purpose::Load { token, first });
    }

    fn on_load(&mut self, now: Now, token: Token, first: Option<Revision>, reply: StoreReply) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else {
            return;
        };
        let live = reign.stage == Stage::LoadingLive;
        let prefix = if live { jobs::LIVE } else { jobs::ASSIGNED };
        let StoreReply::Page(page) = reply else {
            // From the start of this prefix: nothing of it is lost by reading it again.
            if live {
                self.load(now.mono, prefix, String::new(), None);
            } else {
                self.restart_load(now);
            }
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
            reign.enter(Stage::LoadingAssigned);
            self.load(now.mono, jobs::ASSIGNED, String::new(), None);
        } else {
            let fresh = |noted: &Mono| now.mono.since(*noted) < NOTES_OLD_MS;
            if let Some((noted, notes)) = self.notes.take().filter(|(noted, _)| fresh(noted)) {
                reign.recall(notes, noted);
            }
            reign.enter(Stage::Ruling);
        }
    }

    /// A page of assignments failed: the book is read anew, so that no task is held twice.
    fn restart_load(&mut self, now: Now) {
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        let catalog = reign.fleet.catalog.clone();
        let (token, since) = (reign.token, reign.since);
        let fleet = Fleet { catalog, ..Fleet::default() };
        *reign = Reign::new(token, since, fleet);
        self.load(now.mono, jobs::LIVE, String::new(), None);
    }

    fn load_rows(&mut self, now: Now, page: Page) {
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

    fn watch(&mut self, now: Mono) {
        if self.watch_out {
            return;
        }
        let (Some(token), Some(after)) = (self.leadership.token(), self.watch_live) else {
            return;
        };
        self.watch_out = true;
        let op = StoreOp::Follow { prefix: jobs::LIVE.into(), after };
        let _ = self.submit(now, Lane::Watch, op, Purpose::Watch { token, after });
    }

    /// Jobs that other controllers have accepted.
    fn on_watch(&mut self, now: Now, token: Token, after: Revision, reply: StoreReply) {
        self.watch_out = false;
        if self.leadership.token() != Some(token) {
            return;
        }
        match reply {
            StoreReply::Changes(Changes { revision, log }) => {
                self.watch_live = Some(revision.max(after));
                for change in log {
                    let Some(key) = change.put else { continue };
                    let row = Row { key, value: change.value, version: change.version };
                    if let Some(record) = live_record(&row) {
                        self.admit(now, record, row.version);
                    }
                }
            }
            StoreReply::TooOld => {
                log::warn!("store: the watch fell behind; reading all jobs again");
                self.watch_live = None;
                self.restart_load(now);
            }
            _ => {}
        }
    }

    /// Takes up a job that is known to be accepted.
    fn admit(&mut self, now: Now, record: LiveRecord, stamp: Revision) {
        // Guards against old news: a job whose end this controller has written must not live again.
        if self.over.get(&record.spec.id).is_some() {
            return;
        }
        if let Some(reign) = self.reign.as_mut() {
            reign.book.insert(record, stamp, now);
            reign.wake();
        }
    }

    // --- The writer ----------------------------------------------------------

    fn write(&mut self, now: Mono) {
        if self.writer != Writer::Idle || now < self.write_after {
            return;
        }
        let (Some(token), Some(fence)) = (self.leadership.token(), self.leadership.fence()) else {
            return;
        };
        let Some(reign) = self.reign.as_mut().filter(|r| r.stage == Stage::Ruling) else {
            return;
        };
        let ops = self.settings.facts.state.txn_ops;
        let Some((txn, written)) = reign.book.next_txn(fence, ops, now) else {
            return;
        };
        self.writer = Writer::Writing;
        let _ = self.submit(now, Lane::Write, StoreOp::Txn(txn), Purpose::Write { token, written });
    }

    fn on_written(&mut self, now: Mono, token: Token, written: Vec<Written>, reply: StoreReply) {
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
            StoreReply::Conflict(_) | StoreReply::Lost => {
                log::warn!("store: a write's fate is open; reading {} keys", written.len());
                let items: Vec<Item> = written.iter().map(|w| w.item().clone()).collect();
                reign.book.requeue(written);
                self.resolve(now, token, items);
                self.turn_waiters_away();
            }
            other => {
                if let StoreReply::Malformed(text) = &other {
                    log::error!("store: a write was refused: {text}");
                }
                reign.book.requeue(written);
                self.write_after = now.plus(STORE_PAUSE_MS);
                self.turn_waiters_away();
            }
        }
    }

    /// Those who wait for a job's end to become durable are told at once when that takes longer.
    fn turn_waiters_away(&mut self) {
        let waiting: Vec<ConnId> = self.waiting_end.drain().flat_map(|(_, conns)| conns).collect();
        for conn in waiting {
            self.reply(conn, HttpReply::later("the end could not be written yet"));
        }
    }

    fn resolve(&mut self, now: Mono, token: Token, items: Vec<Item>) {
        let Some(item) = items.last().cloned() else {
            self.writer = Writer::Idle;
            return;
        };
        self.writer = Writer::Resolving(items);
        let op = StoreOp::Get { key: jobs::Book::key_of(&item) };
        let _ = self.submit(now, Lane::Write, op, Purpose::Resolve { token, item });
    }

    fn on_resolved(&mut self, now: Mono, token: Token, item: Item, reply: StoreReply) {
        let Some(reign) = self.reign.as_mut().filter(|r| r.token == token) else {
            return;
        };
        let Writer::Resolving(mut items) = std::mem::replace(&mut self.writer, Writer::Idle) else {
            return;
        };
        let stamp = match reply {
            StoreReply::Found(row) => Some(row.version),
            StoreReply::Missing(_) => Some(Revision(0)),
            _ => None,
        };
        if let Some(stamp) = stamp {
            let over = reign.book.resolved(&item, stamp);
            items.pop();
            self.ended(over);
        }
        self.resolve(now, token, items);
    }

    /// Ends that have become durable may be told.
    fn ended(&mut self, over: impl IntoIterator<Item = (JobId, OverRecord)>) {
        for (id, record) in over {
            self.over.insert(id.clone(), record);
            for conn in self.waiting_end.remove(&id).unwrap_or_default() {
                self.reply(conn, HttpReply::json(200, &record.view(&id)));
            }
        }
    }

    // --- Requests ------------------------------------------------------------

    fn on_request(&mut self, now: Now, conn: ConnId, request: Request, forwarded: bool) {
        self.open.insert(conn, now.mono.plus(REQUEST_PATIENCE_MS));
        match request {
            Request::Up => {
                self.traffic.probes += 1;
                let reply = self.up(now.mono);
                self.reply(conn, reply);
            }
            Request::Report(report) => {
                let reply = self.on_report(now.mono, conn, &report, forwarded);
                // One without an answer yet was counted where it waits.
                if let Some(reply) = reply {
                    *match reply.status {
                        200 => &mut self.traffic.answered,
                        421 => &mut self.traffic.sent_on,
                        _ => &mut self.traffic.refused,
                    } += 1;
                    self.reply(conn, reply);
                }
            }
            Request::Notes(notes) => {
                if let Some(leader) = &notes.leader {
                    self.leadership.heard(leader, notes.token);
                    self.follow_turns(now);
                }
                let told = self.notes.take().map(|(_, told)| told);
                self.notes = Some((now.mono, Notes::joined(told, *notes)));
                self.reply(conn, HttpReply::json(200, &serde_json::json!({})));
            }
            _ if self.open.len() > USER_INFLIGHT => {
                self.traffic.users += 1;
                self.reply(conn, HttpReply::later("too many requests at once"));
            }
            Request::Submit(submission) => {
                self.traffic.users += 1;
                self.on_submit(now, conn, submission, forwarded);
            }
            Request::View(id) => {
                self.traffic.users += 1;
                self.on_question(now, conn, Question::View(id), forwarded);
            }
            Request::Abort(id) => self.on_question(now, conn, Question::Abort(id), forwarded),
        }
    }

    fn up(&self, now: Mono) -> HttpReply {
        let reached = self.store.last_good() > Mono(0);
        let mute = now.since(self.store.last_good()) > UP_STORE_SILENCE_MS;
        // Every node is refused in an outage, and then none is better than another. A leader that
        // still answers after so long shows that this node alone is refused.
        let alone = mute && now.since(self.last_told) < UP_TOLD_MS;
        if self.catalog().is_none() || !reached {
            HttpReply::later("starting")
        } else if alone {
            HttpReply::later("the state service refuses this node")
        } else {
            HttpReply::json(200, &serde_json::json!({ "up": true, "store": !mute }))
        }
    }

    /// Answers a report, or passes it on to a leader that its worker cannot reach.
    fn on_report(
        &mut self,
        now: Mono,
        conn: ConnId,
        report: &Report,
        forwarded: bool,
    ) -> Option<HttpReply> {
        let token = self.leadership.valid(now);
        if let (Some(token), Some(reign)) = (token, self.reign.as_mut()) {
            if report.token > token {
                self.leadership.outranked(report.token);
            } else if let Some(answer) = reign.on_report(report, now) {
                let waits = answer.orders.is_empty()
                    && report.token == token
                    && !forwarded
                    && reign.may_wait(&self.settings, &report.host, now);
                if !waits {
                    reign.answered(&report.host, now);
                }
                // A worker has one report under way: it has given up on an older one.
                if let Some(old) = self.parked.take(&report.host) {
                    self.reply(old.conn, HttpReply::error(409, "a newer report has come"));
                }
                if waits {
                    self.traffic.parked += 1;
                    let (shift, tally) = (report.shift, report.tally);
                    self.parked.park(report.host.clone(), conn, shift, tally, now);
                    self.open.insert(conn, now.plus(REPORT_DROP_MS));
                    return None;
                }
                return Some(HttpReply::json(200, &answer));
            }
            // Not 503, which would tell a controller that passed it on that this one cannot lead.
            return Some(HttpReply::error(409, OUTDATED));
        }
        let leader = self.leadership.other_leader().filter(|_| !forwarded).cloned();
        let Some(leader) = leader else {
            return Some(HttpReply::error(503, "no leader is known"));
        };
        let obeyed = self.leadership.leader_token() == Some(report.token);
        match self.relays.way(&report.host, obeyed, now) {
            Way::PassOn => {
                self.traffic.passed_on += 1;
                self.ask(now, conn, leader, Question::Report(Box::new(report.clone())));
                None
            }
            Way::SendOn => Some(HttpReply::json(421, &Redirect { leader: Some(leader) })),
            Way::Elsewhere => {
                let third = self.settings.peers.iter().find(|p| p.member != leader);
                let leader = third.map(|peer| peer.member.clone());
                Some(HttpReply::json(421, &Redirect { leader }))
            }
            Way::Wait => Some(HttpReply::error(503, "the leader takes no reports at present")),
        }
    }

    /// Answers parked reports for which there is something to say by now, or whose time is up.
    fn answer_parked(&mut self, now: Mono) {
        let valid = self.leadership.valid(now).is_some();
        let Some(reign) = self.reign.as_mut().filter(|_| valid) else {
            for (_, parked) in self.parked.take_all() {
                self.reply(parked.conn, HttpReply::error(503, "no leader any more"));
            }
            return;
        };
        let due = self.parked.due(now, |host| reign.has_orders(host));
        for host in due {
            let (Some(reign), Some(parked)) = (self.reign.as_mut(), self.parked.take(&host)) else {
                continue;
            };
            let reply = match reign.answer_late(&host, parked.shift, parked.tally, now) {
                Some(answer) => HttpReply::json(200, &answer),
                None => HttpReply::error(409, OUTDATED),
            };
            self.reply(parked.conn, reply);
        }
    }

    /// Sends stops directly, so many at once that machines that cannot be reached cost little.
    fn send_commands(&mut self, now: Mono) {
        if self.leadership.valid(now).is_none() {
            return;
        }
        let Some(reign) = self.reign.as_mut() else { return };
        while self.commands < COMMANDS_MOST
            && let Some((host, addr, command)) = reign.next_command()
        {
            log::debug!("machine {host}: told directly, {} orders", command.orders.len());
            self.commands += 1;
            self.out.push(Action::Command { addr, command });
        }
    }

    fn on_obeyed(&mut self, now: Mono, report: Option<Box<Report>>) {
        self.commands = self.commands.saturating_sub(1);
        let valid = self.leadership.valid(now).is_some();
        if let (Some(report), Some(reign)) = (report, self.reign.as_mut().filter(|_| valid)) {
            reign.on_obeyed(&report, now);
        }
    }

    fn ask(&mut self, now: Mono, conn: ConnId, to: Member, question: Question) {
        self.next_id += 1;
        let until = now.plus(ASK_TIMEOUT_MS);
        self.asks.insert(self.next_id, (conn, question.clone(), until));
        self.out.push(Action::Ask { to, id: self.next_id, question });
    }

    /// What this controller may say of a job without asking anyone.
    fn known(&self, now: Mono, id: &JobId) -> Option<JobView> {
        if let Some(record) = self.over.get(id) {
            return Some(record.view(id));
        }
        self.leadership.valid(now)?;
        let reign = self.reign.as_ref().filter(|r| r.stage == Stage::Ruling)?;
        reign.book.view(id)
    }

    fn on_submit(&mut self, now: Now, conn: ConnId, submission: Submission, forwarded: bool) {
        let (id, verdict) = match &submission {
            Submission::Spec(spec) => (Some(spec.id.clone()), self.verdict(spec)),
            Submission::Bad { id, text } => (id.clone(), Some(HttpReply::error(400, text))),
        };
        if let Some(view) = id.as_ref().and_then(|id| self.known(now.mono, id)) {
            self.reply(conn, HttpReply::json(200, &view));
            return;
        }
        match (verdict, submission, id) {
            (None, Submission::Spec(spec), _) => self.accept(now, conn, *spec, forwarded),
            // A job accepted earlier is known, whatever its text is worth now.
            (Some(reply), _, Some(id)) if reply.status != 503 => {
                self.lookup(now.mono, conn, id, Why::Submit(reply));
            }
            (Some(reply), ..) => self.reply(conn, reply),
            (None, ..) => self.reply(conn, HttpReply::later("cannot decide")),
        }
    }

    /// Why a submission cannot be accepted, if so.
    fn verdict(&self, spec: &JobSpec) -> Option<HttpReply> {
        let Some(catalog) = self.catalog() else {
            return Some(HttpReply::later("the machine types are not known yet"));
        };
        let never = |text: &str| Some(HttpReply::error(422, text));
        let Some(team) = self.settings.team(&spec.team) else {
            return never("unknown team");
        };
        if !placement::fits_some(spec, &catalog.flavors) {
            return never("a task fits no allowed machine type");
        }
        let at_once = match spec.shape {
            crate::wire::Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let over = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-9;
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return never("the job needs more than the team's limit");
        }
        let crowded = spec.one_zone && spec.spread && spec.tasks > 1;
        if crowded && spec.shape != crate::wire::Shape::Array {
            log::info!("job {}: wants one zone and spread; it can only run in part", spec.id);
        }
        None
    }

    /// Accepts by creating the job's key, which any controller may do.
    fn accept(&mut self, now: Now, conn: ConnId, spec: JobSpec, forwarded: bool) {
        if self.store.paused(now.mono) && self.hand_on(now.mono, conn, &spec, forwarded) {
            return;
        }
        let record = LiveRecord { spec, wall_ms: now.wall_ms };
        let id = &record.spec.id;
        let fresh = |key: String| Condition { key, version: Revision(0) };
        let value = match serde_json::to_value(&record) {
            Ok(value) => value,
            Err(e) => return self.reply(conn, HttpReply::error(400, &e.to_string())),
        };
        let limit = self.settings.facts.state.value_kb * 1024.0;
        if value.to_string().len() as f64 > limit {
            return self.reply(conn, HttpReply::error(400, "the description is too long to keep"));
        }
        let txn = Txn {
            conditions: vec![fresh(jobs::live_key(id)), fresh(jobs::over_key(id))],
            changes: vec![Change::put(jobs::live_key(id), value)],
        };
        let purpose = Purpose::Accept { conn, record: Box::new(record), forwarded };
        if self.submit(now.mono, Lane::Open, StoreOp::Txn(txn), purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    /// Has the leader accept what the state service does not take from this controller, which it may
    /// refuse alone; whether so.
    fn hand_on(&mut self, now: Mono, conn: ConnId, spec: &JobSpec, forwarded: bool) -> bool {
        let Some(leader) = self.leadership.other_leader().filter(|_| !forwarded).cloned() else {
            return false;
        };
        self.ask(now, conn, leader, Question::Submit(Box::new(spec.clone())));
        true
    }

    fn on_accepted(
        &mut self,
        now: Now,
        conn: ConnId,
        record: LiveRecord,
        forwarded: bool,
        reply: StoreReply,
    ) {
        let id = record.spec.id.clone();
        let view = |status| JobView { id: id.clone(), status, done: 0, running: 0 };
        match reply {
            StoreReply::Committed(stamp) => {
                self.admit(now, record, stamp);
                self.reply(conn, HttpReply::json(201, &view(JobStatus::Queued)));
            }
            // It is known: under which key, and so in what state, is read afresh.
            StoreReply::Conflict(_) | StoreReply::Lost => {
                let later = HttpReply::later("not known whether it was accepted");
                self.lookup(now.mono, conn, id, Why::Submit(later));
            }
            StoreReply::Malformed(text) => {
                log::error!("store: a submission was refused: {text}");
                self.reply(conn, HttpReply::later("the state service refused it"));
            }
            _ if self.hand_on(now.mono, conn, &record.spec, forwarded) => {}
            _ => self.reply(conn, HttpReply::later("the state service cannot be reached")),
        }
    }

    fn on_question(&mut self, now: Now, conn: ConnId, question: Question, forwarded: bool) {
        let (Question::View(id) | Question::Abort(id)) = &question else { return };
        if let Some(record) = self.over.get(id) {
            let reply = HttpReply::json(200, &record.view(id));
            return self.reply(conn, reply);
        }
        let ruling = self.leadership.valid(now.mono).is_some()
            && self.reign.as_ref().is_some_and(|r| r.stage == Stage::Ruling);
        if ruling {
            return self.answer_as_leader(now, conn, question);
        }
        if !forwarded
            && self.leadership.token().is_none()
            && let Some(leader) = self.leadership.other_leader().cloned()
        {
            return self.ask(now.mono, conn, leader, question);
        }
        if forwarded {
            // The asking peer reads the store itself.
            return self.reply(conn, HttpReply::later("not the leader"));
        }
        self.look(now.mono, conn, question);
    }

    fn look(&mut self, now: Mono, conn: ConnId, question: Question) {
        match question {
            Question::View(id) => self.lookup(now, conn, id, Why::View),
            Question::Abort(id) => self.lookup(now, conn, id, Why::Abort),
            Question::Notes(_) => {}
            Question::Submit(_) => {
                self.reply(conn, HttpReply::later("the state service cannot be reached"));
            }
            // The worker tries the next node in a second.
            Question::Report(_) => self.reply(conn, HttpReply::error(503, "no leader answers")),
        }
    }

    fn on_told(&mut self, now: Now, id: u64, reply: Option<HttpReply>) {
        let Some((conn, question, _)) = self.asks.remove(&id) else {
            return;
        };
        if matches!(question, Question::Report(_)) {
            self.relays.told(reply.as_ref().map(|reply| reply.status), now.mono);
        }
        match reply {
            Some(reply) if reply.status != 503 => {
                self.last_told = now.mono;
                self.reply(conn, reply);
            }
            _ => self.look(now.mono, conn, question),
        }
    }

    /// Answers from the book; a job that is not in it is looked up.
    fn answer_as_leader(&mut self, now: Now, conn: ConnId, question: Question) {
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        match question {
            Question::Report(_) | Question::Notes(_) | Question::Submit(_) => {}
            Question::View(id) => match (reign.book.view(&id), reign.book.get(&id)) {
                (Some(view), _) => self.reply(conn, HttpReply::json(200, &view)),
                (None, Some(job)) if job.state != JobState::Over => {
                    self.reply(conn, HttpReply::later("its end is being written"));
                }
                _ => self.lookup(now.mono, conn, id, Why::View),
            },
            Question::Abort(id) => match reign.book.get(&id).map(|j| j.state) {
                None | Some(JobState::Over) => self.lookup(now.mono, conn, id, Why::Abort),
                Some(_) => {
                    reign.end_job(&id, JobStatus::Cancelled, "cancelled by its user", now.mono);
                    if now.mono < self.write_after {
                        self.reply(conn, HttpReply::later("the state service cannot be reached"));
                    } else {
                        self.waiting_end.entry(id).or_default().push(conn);
                    }
                }
            },
        }
    }

    /// Reads both prefixes: `live/` first, since jobs only move from there to `over/`.
    fn lookup(&mut self, now: Mono, conn: ConnId, id: JobId, why: Why) {
        self.lookup_step(now, conn, id, why, false);
    }

    fn lookup_step(&mut self, now: Mono, conn: ConnId, id: JobId, why: Why, over: bool) {
        let key = if over { jobs::over_key(&id) } else { jobs::live_key(&id) };
        let purpose = Purpose::Lookup { conn, id, why, over };
        if self.submit(now, Lane::Open, StoreOp::Get { key }, purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    fn on_lookup(
        &mut self,
        now: Now,
        conn: ConnId,
        id: JobId,
        why: Why,
        over: bool,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Missing(_) if !over => self.lookup_step(now.mono, conn, id, why, true),
            StoreReply::Missing(_) => {
                let reply = match why {
                    Why::Submit(reply) => reply,
                    _ => HttpReply::error(404, "no such job"),
                };
                self.reply(conn, reply);
            }
            StoreReply::Found(row) if over => match serde_json::from_value::<OverRecord>(row.value)
            {
                Ok(record) => {
                    self.over.insert(id.clone(), record);
                    self.reply(conn, HttpReply::json(200, &record.view(&id)));
                }
                Err(e) => {
                    log::error!("store: {} cannot be read: {e}", row.key);
                    self.reply(conn, HttpReply::later("its record cannot be read"));
                }
            },
            StoreReply::Found(row) => self.found_live(now, conn, id, why, row),
            _ => self.reply(conn, HttpReply::later("the state service cannot be reached")),
        }
    }

    fn found_live(&mut self, now: Now, conn: ConnId, id: JobId, why: Why, row: Row) {
        if let Some(record) = live_record(&row) {
            self.admit(now, record, row.version);
        }
        if let Some(view) = self.known(now.mono, &id) {
            match why {
                Why::Abort => self.answer_as_leader(now, conn, Question::Abort(id)),
                _ => self.reply(conn, HttpReply::json(200, &view)),
            }
            return;
        }
        if let Why::Abort = why
            && self.reign.as_ref().is_some_and(|r| r.book.get(&id).is_some())
            && self.leadership.valid(now.mono).is_some()
        {
            return self.answer_as_leader(now, conn, Question::Abort(id));
        }
        match why {
            // That it is accepted, and not over, was true when the key was read.
            Why::Submit(_) => {
                let view = JobView { id, status: JobStatus::Queued, done: 0, running: 0 };
                self.reply(conn, HttpReply::json(200, &view));
            }
            _ => self.reply(conn, HttpReply::later("no leader can be reached")),
        }
    }

    // --- Answers of the services ---------------------------------------------

    fn on_store(&mut self, now: Now, id: OpId, reply: StoreReply) {
        let jitter = self.rng.random::<f64>();
        let Some(purpose) = self.store.answered(now.mono, id, &reply, jitter) else {
            return;
        };
        match purpose {
            Purpose::Lead { ask, sent } => {
                let random = self.rng.random::<u64>() >> 12;
                let asks = self.leadership.answered(now.mono, &ask, sent, &reply, random);
                self.follow_turns(now);
                self.lead_asks(now.mono, asks);
            }
            Purpose::Load { token, first } => self.on_load(now, token, first, reply),
            Purpose::Watch { token, after } => self.on_watch(now, token, after, reply),
            Purpose::Write { token, written } => self.on_written(now.mono, token, written, reply),
            Purpose::Resolve { token, item } => self.on_resolved(now.mono, token, item, reply),
            Purpose::Accept { conn, record, forwarded } => {
                self.on_accepted(now, conn, *record, forwarded, reply);
            }
            Purpose::Lookup { conn, id, why, over } => {
                self.on_lookup(now, conn, id, why, over, reply);
            }
        }
    }

    fn on_cloud(&mut self, now: Mono, id: u64, reply: CloudReply) {
        let Some((op, token)) = self.cloud_ops.remove(&id) else {
            return;
        };
        let mine = self.leadership.token() == Some(token);
        let news = if mine || matches!(op, CloudOp::Catalog) || self.leadership.token().is_none() {
            self.desk.answered(now, &op, reply)
        } else {
            News::Nothing
        };
        if let News::Catalog(catalog) = news {
            let fleet = match self.reign.as_mut() {
                Some(reign) => &mut reign.fleet,
                None => &mut self.fleet,
            };
            fleet.catalog = Some(catalog);
            return;
        }
        let Some(reign) = self.reign.as_mut().filter(|_| mine) else {
            return;
        };
        match news {
            News::Listing(rows, _) => {
                let lag = self.settings.facts.cloud.list_lag_s;
                reign.listing(&rows, lag, &mut self.desk, now);
            }
            News::Hired(hire, hosts) => reign.hired(&Kind::from(&hire), &hosts, now),
            News::Released(hosts) => reign.released(&hosts, now),
            News::Catalog(_) | News::Nothing => {}
        }
    }
}

fn live_record(row: &Row) -> Option<LiveRecord> {
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
