//! Seeded lives of the service on a disk that crashes, fills up and fails: no acknowledged change is lost, no
//! refused one appears, revisions are dense and never go back. `OATLOOM_SEEDS=n` plays n seeds more.

#[path = "crash/disk.rs"]
mod disk;
#[path = "crash/reference.rs"]
mod reference;

use disk::SimDisk;
use oatloom_protocol::ids::{Mono, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Changes, Condition, Grant, RevisionReply, Row};
use oatloom_state::api::{Request, Txn};
use oatloom_state::disk::Disk;
use oatloom_state::engine::{Action, ConnId, Engine, Event, Outcome};
use oatloom_state::journal::{Failure, Group, Log, SnapshotWriter, Step};
use oatloom_state::records::Write;
use oatloom_state::recovery::{Refusal, recover};
use oatloom_state::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference::{Reference, State};
use std::collections::HashMap;

const KEYS: u32 = 24;

fn settings() -> Settings {
    Settings { snapshot_mb: 0.01, slice_rows: 3, ..Settings::default() }
}

/// What a client is owed.
enum Owed {
    /// Exactly this, and the state of the reference at that time must outlive a crash.
    Reply(u16, String, usize),
    /// Changes after this revision.
    Watch(u64),
}

struct Life {
    engine: Engine,
    log: Log<SimDisk>,
    snapshots: SnapshotWriter<SimDisk>,
    group: Option<Group>,
    step: Option<Step>,
    owed: HashMap<ConnId, Owed>,
}

struct World {
    seed: u64,
    rng: ChaCha8Rng,
    now: u64,
    disk: SimDisk,
    reference: Reference,
    /// The latest state of the reference that somebody was told of.
    told: usize,
    /// Where the client that watches has got to.
    seen: u64,
    conns: u64,
    full: bool,
    crashes: u32,
    snapshots: u32,
    refused: u32,
    gone: u32,
}

fn state_of(engine: &Engine) -> State {
    let space = engine.space();
    let row = |k: &oatloom_state::records::Kept| {
        (k.key.to_string(), (k.value.to_string(), k.stamp, k.lease))
    };
    State {
        keys: space.slice(None, usize::MAX).iter().map(row).collect(),
        leases: space.kept_leases().into_iter().collect(),
        revision: space.revision(),
        last_lease: space.last_lease(),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            disk: SimDisk::default(),
            reference: Reference::new(),
            told: 0,
            seen: 0,
            conns: 0,
            full: false,
            crashes: 0,
            snapshots: 0,
            refused: 0,
            gone: 0,
        }
    }

    /// Starts the service on what the disk holds, and finds its state among those it went through. A crash
    /// may come while it starts.
    fn start(&mut self) -> Life {
        loop {
            if self.rng.random_bool(0.3) {
                self.disk.0.borrow_mut().fuse = Some(self.rng.random_range(0..4));
            }
            let mut disk = self.disk.clone();
            match recover(&mut disk, Mono(self.now)) {
                Ok(found) => {
                    self.disk.0.borrow_mut().fuse = None;
                    let (name, length) = (found.log.clone(), found.length);
                    let engine = Engine::new(&settings(), found, Mono(self.now));
                    self.recognise(&engine);
                    return Life {
                        engine,
                        log: Log::new(disk.clone(), name, length, true),
                        snapshots: SnapshotWriter::new(disk),
                        group: None,
                        step: None,
                        owed: HashMap::new(),
                    };
                }
                Err(Refusal::Io { .. }) if self.disk.crashed() => {
                    self.disk.crash(&mut self.rng);
                }
                Err(e) => panic!("seed {}: refused after a crash: {e}", self.seed),
            }
        }
    }

    fn recognise(&mut self, engine: &Engine) {
        let state = state_of(engine);
        let possible = self.told..self.reference.states.len();
        let Some(at) = possible.rev().find(|at| self.reference.states[*at] == state) else {
            let told = &self.reference.states[self.told];
            panic!("seed {}: told of {told:#?}, came back with {state:#?}", self.seed);
        };
        self.reference.back_to(at, self.now);
    }

    /// Asks something, and has the reference say what the answer must be.
    fn ask(&mut self) -> (Request, Owed) {
        let now = self.now;
        let key = |rng: &mut ChaCha8Rng| format!("k/{:02}", rng.random_range(0..KEYS));
        let state = self.reference.now().clone();
        let epoch = |revision, failed: Vec<String>| {
            serde_json::to_string(&RevisionReply { revision: Revision(revision), failed }).unwrap()
        };
        match self.rng.random_range(0..20) {
            0..12 => {
                let count = self.rng.random_range(1..4);
                let lease = if self.rng.random_bool(0.3) { state.last_lease } else { 0 };
                let writes: Vec<_> = (0..count)
                    .map(|_| {
                        let value = self.rng.random_bool(0.7).then(|| {
                            let long = "x".repeat(self.rng.random_range(0..700));
                            format!("{{\"n\":{},\"t\":\"{long}\"}}", self.rng.random::<u32>())
                        });
                        let lease = if value.is_some() { lease } else { 0 };
                        (key(&mut self.rng), value, lease)
                    })
                    .collect();
                let conditions: Vec<Condition> = (0..self.rng.random_range(0..3))
                    .map(|_| {
                        let key = key(&mut self.rng);
                        let right = state.keys.get(&key).map_or(0, |(_, stamp, _)| *stamp);
                        let wrong = self.rng.random_bool(0.2);
                        Condition { key, version: Revision(right + u64::from(wrong)) }
                    })
                    .collect();
                let right = |c: &&Condition| {
                    state.keys.get(&c.key).map_or(0, |(_, stamp, _)| *stamp) != c.version.0
                };
                let failed: Vec<String> =
                    conditions.iter().filter(right).map(|c| c.key.clone()).collect();
                let no_lease = writes.iter().any(|w| w.2 > 0 && !state.leases.contains_key(&w.2));
                let (status, body) = if no_lease {
                    (400, HttpReply::error(400, "no such lease").body)
                } else if failed.is_empty() {
                    self.reference.change(&writes);
                    (200, epoch(state.revision + 1, Vec::new()))
                } else {
                    (409, epoch(state.revision, failed))
                };
                let put = |(key, value, lease): &(String, Option<String>, u64)| Write {
                    key: key.as_str().into(),
                    value: value.as_deref().map(Into::into),
                    lease: *lease,
                };
                let writes = writes.iter().map(put).collect();
                let owed = Owed::Reply(status, body, self.reference.at());
                (Request::Multi(Txn { conditions, writes }), owed)
            }
            12 | 13 => {
                let ttl_ms = self.rng.random_range(100..2_000);
                let lease = self.reference.grant(ttl_ms, now);
                let body =
                    serde_json::to_string(&Grant { lease: oatloom_protocol::ids::LeaseId(lease) });
                (Request::Grant { ttl_ms }, Owed::Reply(200, body.unwrap(), self.reference.at()))
            }
            14 => {
                let lease = self.rng.random_range(0..=state.last_lease);
                let there = state.leases.contains_key(&lease);
                if there {
                    self.reference.end(lease);
                }
                (Request::Revoke { lease }, self.about_lease(there, lease))
            }
            15 => {
                let lease = self.rng.random_range(0..=state.last_lease);
                let there = state.leases.get(&lease).copied();
                if let Some(ttl) = there {
                    self.reference.ends.insert(lease, now + ttl);
                }
                let owed = match self.about_lease(there.is_some(), lease) {
                    // A renewal is answered at once: nobody is told of a state by it.
                    Owed::Reply(200, body, _) => Owed::Reply(200, body, 0),
                    other => other,
                };
                (Request::Touch { lease }, owed)
            }
            16 | 17 => {
                let key = key(&mut self.rng);
                let (status, body) = match state.keys.get(&key) {
                    Some((value, stamp, lease)) => {
                        let value =
                            serde_json::value::RawValue::from_string(value.clone()).unwrap();
                        let lease = (*lease > 0).then_some(oatloom_protocol::ids::LeaseId(*lease));
                        let row = Row { key: key.clone(), value, version: Revision(*stamp), lease };
                        (200, serde_json::to_string(&row).unwrap())
                    }
                    None => (404, epoch(state.revision, Vec::new())),
                };
                (Request::Get { key }, Owed::Reply(status, body, self.reference.at()))
            }
            _ => {
                let (after, hold_ms) = (self.seen, self.rng.random_range(0..300));
                (Request::Follow { prefix: String::new(), after, hold_ms }, Owed::Watch(after))
            }
        }
    }

    fn about_lease(&self, there: bool, lease: u64) -> Owed {
        let reply = match there {
            true => HttpReply::json(200, &Grant { lease: oatloom_protocol::ids::LeaseId(lease) }),
            false => HttpReply::error(404, "no such lease"),
        };
        Owed::Reply(reply.status, reply.body, self.reference.at())
    }

    fn event(&mut self, life: &mut Life, event: Event) -> bool {
        let mut actions = life.engine.handle(Mono(self.now), event);
        if !self.full {
            self.reference.expire(self.now);
        }
        let mut alive = true;
        for action in actions.drain(..) {
            match action {
                Action::Reply { conn, reply } => self.replied(life, conn, &reply),
                Action::Write(group) => assert!(life.group.replace(group).is_none()),
                Action::Snapshot(step) => assert!(life.step.replace(step).is_none()),
                Action::Fail(_) => alive = false,
            }
        }
        alive
    }

    fn replied(&mut self, life: &mut Life, conn: ConnId, reply: &HttpReply) {
        let seed = self.seed;
        match life.owed.remove(&conn).expect("an answer is given once") {
            // Refused, or given up on, while the disk was full.
            Owed::Reply(..) if reply.status == 503 => self.refused += 1,
            Owed::Reply(status, body, at) => {
                assert_eq!((reply.status, &reply.body), (status, &body), "seed {seed}");
                self.told = self.told.max(at);
            }
            Owed::Watch(_) if reply.status == 410 => {
                self.gone += 1;
                self.seen = self.reference.states[self.told].revision;
            }
            Owed::Watch(after) => {
                let said: Changes = serde_json::from_str(&reply.body).unwrap();
                let log: Vec<reference::Change> = said
                    .log
                    .iter()
                    .map(|l| {
                        let key = l.put.clone().or(l.delete.clone()).unwrap();
                        (l.version.0, key, l.put.as_ref().map(|_| l.value.to_string()))
                    })
                    .collect();
                assert_eq!(log, self.reference.between(after, said.revision.0), "seed {seed}");
                let at = self.reference.states.iter().position(|s| s.revision >= said.revision.0);
                self.told = self.told.max(at.expect("a revision that was"));
                self.seen = self.seen.max(said.revision.0);
            }
        }
    }

    fn live(&mut self, steps: u32) {
        let mut life = self.start();
        for _ in 0..steps {
            self.now += self.rng.random_range(0..40);
            let mut alive = true;
            match self.rng.random_range(0..100) {
                0..45 => {
                    let before = self.reference.clone();
                    let (request, owed) = self.ask();
                    self.conns += 1;
                    let conn = ConnId(self.conns);
                    let refused = self.refused;
                    life.owed.insert(conn, owed);
                    alive = self.event(&mut life, Event::Request { conn, request });
                    if self.refused > refused {
                        // "Not executed" is to be believed.
                        let (told, ends) = (self.told, before.ends.clone());
                        self.reference = before;
                        self.reference.ends = ends;
                        assert!(told <= self.reference.at());
                    }
                }
                45..75 => {
                    if let Some(group) = life.group.take() {
                        let number = group.number;
                        let outcome = match life.log.append(&group) {
                            Ok(()) => Outcome::Durable,
                            Err(Failure::Undone(e)) => {
                                Outcome::Undone { group, cause: e.to_string() }
                            }
                            Err(Failure::Unknown(e)) => Outcome::Unknown { cause: e.to_string() },
                        };
                        if !self.disk.crashed() {
                            let durable = matches!(outcome, Outcome::Durable);
                            if durable && self.full {
                                self.reference.refill(self.now);
                            }
                            self.full = !durable;
                            alive = self.event(&mut life, Event::Written { number, outcome });
                        }
                    }
                }
                75..92 => {
                    if let Some(step) = life.step.take() {
                        let good = life.snapshots.step(&step).is_ok();
                        self.snapshots += u32::from(good && matches!(step, Step::Close(_)));
                        if !self.disk.crashed() {
                            alive = self.event(&mut life, Event::Stepped { good });
                        }
                    }
                }
                92 => {
                    let mut disk = self.disk.0.borrow_mut();
                    disk.room = match disk.room {
                        Some(_) => None,
                        None => Some(self.rng.random_range(0..5_000)),
                    };
                }
                93 => self.disk.0.borrow_mut().sync_fails = self.rng.random_bool(0.2),
                94 | 95 => {
                    let fuse = self.rng.random_range(0..8);
                    self.disk.0.borrow_mut().fuse.get_or_insert(fuse);
                }
                _ => alive = self.event(&mut life, Event::Tick),
            }
            if !alive || self.disk.crashed() {
                self.crashes += 1;
                self.full = false;
                self.disk.crash(&mut self.rng);
                self.now += 5_000;
                life = self.start();
            }
        }
        // The end: the disk is well, and everything owed is given but what may still be watched.
        (self.disk.0.borrow_mut().room, self.disk.0.borrow_mut().sync_fails) = (None, false);
        self.disk.0.borrow_mut().fuse = None;
        for _ in 0..400 {
            self.now += 100;
            let outcome = life.group.take().map(|group| {
                life.log.append(&group).expect("the disk is well");
                (group.number, Outcome::Durable)
            });
            if let Some((number, outcome)) = outcome {
                if std::mem::take(&mut self.full) {
                    self.reference.refill(self.now);
                }
                self.event(&mut life, Event::Written { number, outcome });
            } else if let Some(step) = life.step.take() {
                let good = life.snapshots.step(&step).is_ok();
                self.event(&mut life, Event::Stepped { good });
            } else {
                self.event(&mut life, Event::Tick);
            }
        }
        assert!(life.owed.is_empty(), "seed {}: {} answers are owed", self.seed, life.owed.len());
        assert_eq!(&state_of(&life.engine), self.reference.now(), "seed {}", self.seed);
    }
}

fn seeds(first: u64, count: u64) {
    let more = match std::env::var("OATLOOM_SEEDS") {
        Ok(seeds) => seeds.parse().expect("OATLOOM_SEEDS is a number of seeds"),
        Err(_) => 0,
    };
    let (mut crashes, mut snapshots, mut refused) = (0, 0, 0);
    for seed in first..first + count + more {
        let mut world = World::new(seed);
        world.live(1_500);
        crashes += world.crashes;
        snapshots += world.snapshots;
        refused += world.refused;
    }
    println!("{crashes} crashes, {snapshots} snapshots, {refused} answers refused by a full disk");
    // Guards against a test in which nothing happens.
    assert!(crashes > 50 && snapshots > 50 && refused > 50, "{crashes} {snapshots} {refused}");
}

#[test]
fn nothing_acknowledged_is_lost_1() {
    seeds(1, 40);
}

#[test]
fn nothing_acknowledged_is_lost_2() {
    seeds(10_001, 40);
}

#[test]
fn nothing_acknowledged_is_lost_3() {
    seeds(20_001, 40);
}

/// A bit that has flipped is refused, or does no harm: the state is never another one.
#[test]
fn damage_is_never_guessed_over() {
    let (mut refused, mut harmless) = (0, 0);
    for seed in 1..12 {
        let mut world = World::new(seed);
        world.live(1_500);
        let whole = recover(&mut world.disk.copy(), Mono(0)).expect("sound");
        let whole = state_of(&Engine::new(&settings(), whole, Mono(0)));
        let mut files = world.disk.clone();
        for _ in 0..400 {
            let names = files.list().unwrap();
            let name = &names[world.rng.random_range(0..names.len())];
            let length = files.read(name).unwrap().len();
            if length == 0 {
                continue;
            }
            let mut copy = world.disk.copy();
            let (at, bit) = (world.rng.random_range(0..length), world.rng.random_range(0..8));
            copy.flip(name, at, bit);
            match recover(&mut copy, Mono(0)) {
                Err(_) => refused += 1,
                Ok(found) => {
                    let state = state_of(&Engine::new(&settings(), found, Mono(0)));
                    assert_eq!(state, whole, "seed {seed}: {name}, byte {at}, bit {bit}");
                    harmless += 1;
                }
            }
        }
    }
    assert!(refused > 500 && harmless > 100, "{refused} refused, {harmless} harmless");
}

/// A missing file is refused; a later format and a foreign file are named.
#[test]
fn what_no_crash_leaves_is_refused() {
    let mut world = World::new(7);
    world.live(3_000);
    let (mut refused, mut files) = (0, world.disk.clone());
    let logs: Vec<String> =
        files.list().unwrap().into_iter().filter(|n| n.starts_with("log")).collect();
    assert!(logs.len() >= 2, "{logs:?}");
    for name in &logs {
        let mut copy = world.disk.copy();
        copy.remove(name).unwrap();
        refused += u32::from(recover(&mut copy, Mono(0)).is_err());
    }
    assert!(refused >= 1);
    let last = logs.last().unwrap();
    let mut copy = world.disk.copy();
    copy.flip(last, 6, 1);
    assert!(matches!(recover(&mut copy, Mono(0)), Err(Refusal::Newer { format: 3, .. })));
    let mut copy = world.disk.copy();
    copy.create("notes.txt").unwrap();
    assert!(matches!(recover(&mut copy, Mono(0)), Err(Refusal::Foreign { .. })));
}
