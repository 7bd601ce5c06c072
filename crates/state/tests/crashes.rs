//! Simulates the engine on a disk that crashes, fills up and fails, with seeded random requests. Guards against
//! acknowledged changes that are missing after recovery, refused changes that appear, and revisions that skip numbers
//! or decrease. `OATLOOM_SEEDS=n` runs n additional seeds.

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
use oatloom_state::engine::{Action, Engine, Event, InFlightWrite, RequestId};
use oatloom_state::records::Write;
use oatloom_state::recovery::{RecoveryError, recover};
use oatloom_state::settings::Settings;
use oatloom_state::wal::{AppendError, Group, SnapshotStep, SnapshotWriter, WriteAheadLog};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference::{Reference, State};
use std::collections::HashMap;

const KEY_COUNT: u32 = 24;

/// Small sizes, so that many snapshots are taken in many steps.
fn make_settings() -> Settings {
    Settings { snapshot_mb: 0.01, slice_rows: 3, ..Settings::default() }
}

/// The reply that the reference model predicts.
enum Expected {
    /// Exactly this status and body. They reveal the state of the reference model with this index, which must survive
    /// crashes once the reply is sent.
    Reply(u16, String, usize),
    /// The changes after this revision.
    Watch(u64),
}

/// One run of the service, from its start to a crash.
struct Run {
    engine: Engine,
    log: WriteAheadLog<SimDisk>,
    snapshots: SnapshotWriter<SimDisk>,
    /// The group that the engine wants written, until the simulated log thread writes it.
    group: Option<Group>,
    /// The snapshot step that is still to be executed.
    step: Option<SnapshotStep>,
    expected: HashMap<RequestId, Expected>,
}

/// The clients, the disk and the reference model, over all runs of the service.
struct Simulation {
    seed: u64,
    rng: ChaCha8Rng,
    now: u64,
    disk: SimDisk,
    reference: Reference,
    /// Index of the latest state of the reference model that was revealed to a client.
    acknowledged: usize,
    /// Revision up to which the watching client has read changes.
    watched_revision: u64,
    last_request_id: u64,
    is_disk_full: bool,
    crash_count: u32,
    snapshot_count: u32,
    refused_count: u32,
    compacted_count: u32,
}

fn read_state(engine: &Engine) -> State {
    let keyspace = engine.keyspace();
    let to_entry = |row: &oatloom_state::records::SnapshotRow| {
        (row.key.to_string(), (row.value.to_string(), row.revision, row.lease))
    };
    State {
        keys: keyspace.copy_rows(None, usize::MAX).iter().map(to_entry).collect(),
        leases: keyspace.list_lease_ttls().into_iter().collect(),
        revision: keyspace.revision(),
        last_lease: keyspace.last_lease(),
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            disk: SimDisk::default(),
            reference: Reference::new(),
            acknowledged: 0,
            watched_revision: 0,
            last_request_id: 0,
            is_disk_full: false,
            crash_count: 0,
            snapshot_count: 0,
            refused_count: 0,
            compacted_count: 0,
        }
    }

    /// Starts the service from the disk and finds the recovered state in the reference model. The start may crash too.
    fn start(&mut self) -> Run {
        loop {
            if self.rng.random_bool(0.3) {
                self.disk.0.borrow_mut().operations_left = Some(self.rng.random_range(0..4));
            }
            let mut disk = self.disk.clone();
            match recover(&mut disk, Mono(self.now)) {
                Ok(recovered) => {
                    self.disk.0.borrow_mut().operations_left = None;
                    let (name, length) = (recovered.log_file.clone(), recovered.log_file_length);
                    let engine = Engine::new(&make_settings(), recovered, Mono(self.now));
                    self.check_recovered_state(&engine);
                    return Run {
                        engine,
                        log: WriteAheadLog::new(disk.clone(), name, length, true),
                        snapshots: SnapshotWriter::new(disk),
                        group: None,
                        step: None,
                        expected: HashMap::new(),
                    };
                }
                Err(RecoveryError::Io { .. }) if self.disk.has_crashed() => {
                    self.disk.crash(&mut self.rng);
                }
                Err(e) => panic!("seed {}: refused after a crash: {e}", self.seed),
            }
        }
    }

    /// The recovered state must be one that the service went through, and not before the latest acknowledged one.
    fn check_recovered_state(&mut self, engine: &Engine) {
        let state = read_state(engine);
        let allowed = self.acknowledged..self.reference.states.len();
        let Some(index) = allowed.rev().find(|index| self.reference.states[*index] == state) else {
            let acknowledged = &self.reference.states[self.acknowledged];
            panic!("seed {}: acknowledged {acknowledged:#?}, recovered {state:#?}", self.seed);
        };
        self.reference.roll_back(index, self.now);
    }

    /// Makes a random request, and derives the expected reply from the reference model.
    fn make_request(&mut self) -> (Request, Expected) {
        let now = self.now;
        let choose_key = |rng: &mut ChaCha8Rng| format!("k/{:02}", rng.random_range(0..KEY_COUNT));
        let state = self.reference.current().clone();
        let encode_revision = |revision, failed: Vec<String>| {
            serde_json::to_string(&RevisionReply { revision: Revision(revision), failed }).unwrap()
        };
        match self.rng.random_range(0..20) {
            0..12 => {
                let count = self.rng.random_range(1..4);
                let lease = if self.rng.random_bool(0.3) { state.last_lease } else { 0 };
                let writes: Vec<_> = (0..count)
                    .map(|_| {
                        let value = self.rng.random_bool(0.7).then(|| {
                            let padding = "x".repeat(self.rng.random_range(0..700));
                            format!("{{\"n\":{},\"t\":\"{padding}\"}}", self.rng.random::<u32>())
                        });
                        let lease = if value.is_some() { lease } else { 0 };
                        (choose_key(&mut self.rng), value, lease)
                    })
                    .collect();
                let conditions: Vec<Condition> = (0..self.rng.random_range(0..3))
                    .map(|_| {
                        let key = choose_key(&mut self.rng);
                        let revision = state.keys.get(&key).map_or(0, |(_, revision, _)| *revision);
                        let is_wrong = self.rng.random_bool(0.2);
                        Condition { key, version: Revision(revision + u64::from(is_wrong)) }
                    })
                    .collect();
                let has_failed = |c: &&Condition| {
                    state.keys.get(&c.key).map_or(0, |(_, revision, _)| *revision) != c.version.0
                };
                let failed: Vec<String> =
                    conditions.iter().filter(has_failed).map(|c| c.key.clone()).collect();
                let lacks_lease =
                    writes.iter().any(|w| w.2 > 0 && !state.leases.contains_key(&w.2));
                let (status, body) = if lacks_lease {
                    (400, HttpReply::error(400, "no such lease").body)
                } else if failed.is_empty() {
                    self.reference.change(&writes);
                    (200, encode_revision(state.revision + 1, Vec::new()))
                } else {
                    (409, encode_revision(state.revision, failed))
                };
                let to_write = |(key, value, lease): &(String, Option<String>, u64)| Write {
                    key: key.as_str().into(),
                    value: value.as_deref().map(Into::into),
                    lease: *lease,
                };
                let writes = writes.iter().map(to_write).collect();
                let expected = Expected::Reply(status, body, self.reference.current_index());
                (Request::Txn(Txn { conditions, writes }), expected)
            }
            12 | 13 => {
                let ttl_ms = self.rng.random_range(100..2_000);
                let lease = self.reference.grant_lease(ttl_ms, now);
                let body =
                    serde_json::to_string(&Grant { lease: oatloom_protocol::ids::LeaseId(lease) });
                (
                    Request::GrantLease { ttl_ms },
                    Expected::Reply(200, body.unwrap(), self.reference.current_index()),
                )
            }
            14 => {
                let lease = self.rng.random_range(0..=state.last_lease);
                let is_present = state.leases.contains_key(&lease);
                if is_present {
                    self.reference.end_lease(lease);
                }
                (Request::RevokeLease { lease }, self.expect_lease_reply(is_present, lease))
            }
            15 => {
                let lease = self.rng.random_range(0..=state.last_lease);
                let ttl_ms = state.leases.get(&lease).copied();
                if let Some(ttl_ms) = ttl_ms {
                    self.reference.expirations.insert(lease, now + ttl_ms);
                }
                let expected = match self.expect_lease_reply(ttl_ms.is_some(), lease) {
                    // A renewal is answered at once, possibly before the lease is durable, so it acknowledges no state.
                    Expected::Reply(200, body, _) => Expected::Reply(200, body, 0),
                    other => other,
                };
                (Request::RenewLease { lease }, expected)
            }
            16 | 17 => {
                let key = choose_key(&mut self.rng);
                let (status, body) = match state.keys.get(&key) {
                    Some((value, revision, lease)) => {
                        let value =
                            serde_json::value::RawValue::from_string(value.clone()).unwrap();
                        let lease = (*lease > 0).then_some(oatloom_protocol::ids::LeaseId(*lease));
                        let row =
                            Row { key: key.clone(), value, version: Revision(*revision), lease };
                        (200, serde_json::to_string(&row).unwrap())
                    }
                    None => (404, encode_revision(state.revision, Vec::new())),
                };
                (
                    Request::Get { key },
                    Expected::Reply(status, body, self.reference.current_index()),
                )
            }
            _ => {
                let (after, wait_ms) = (self.watched_revision, self.rng.random_range(0..300));
                (Request::Watch { prefix: String::new(), after, wait_ms }, Expected::Watch(after))
            }
        }
    }

    fn expect_lease_reply(&self, is_present: bool, lease: u64) -> Expected {
        let reply = match is_present {
            true => HttpReply::json(200, &Grant { lease: oatloom_protocol::ids::LeaseId(lease) }),
            false => HttpReply::error(404, "no such lease"),
        };
        Expected::Reply(reply.status, reply.body, self.reference.current_index())
    }

    /// Passes an event to the engine, checks its replies and stores the group or step to execute; returns false if the
    /// process must end.
    fn handle_event(&mut self, run: &mut Run, event: Event) -> bool {
        let mut actions = run.engine.handle(Mono(self.now), event);
        if !self.is_disk_full {
            self.reference.expire_leases(self.now);
        }
        let mut is_alive = true;
        for action in actions.drain(..) {
            match action {
                Action::Reply { request_id, reply } => self.check_reply(run, request_id, &reply),
                Action::Write(group) => assert!(run.group.replace(group).is_none()),
                Action::Snapshot(step) => assert!(run.step.replace(step).is_none()),
                Action::Fail(_) => is_alive = false,
            }
        }
        is_alive
    }

    fn check_reply(&mut self, run: &mut Run, request_id: RequestId, reply: &HttpReply) {
        let seed = self.seed;
        match run.expected.remove(&request_id).expect("exactly one reply to each request") {
            // Refused, or failed while pending, because the disk was full.
            Expected::Reply(..) if reply.status == 503 => self.refused_count += 1,
            Expected::Reply(status, body, index) => {
                assert_eq!((reply.status, &reply.body), (status, &body), "seed {seed}");
                self.acknowledged = self.acknowledged.max(index);
            }
            Expected::Watch(_) if reply.status == 410 => {
                self.compacted_count += 1;
                self.watched_revision = self.reference.states[self.acknowledged].revision;
            }
            Expected::Watch(after) => {
                let changes: Changes = serde_json::from_str(&reply.body).unwrap();
                let log: Vec<reference::Change> = changes
                    .log
                    .iter()
                    .map(|l| {
                        let key = l.put.clone().or(l.delete.clone()).unwrap();
                        (l.version.0, key, l.put.as_ref().map(|_| l.value.to_string()))
                    })
                    .collect();
                assert_eq!(
                    log,
                    self.reference.find_changes(after, changes.revision.0),
                    "seed {seed}"
                );
                let index =
                    self.reference.states.iter().position(|s| s.revision >= changes.revision.0);
                self.acknowledged =
                    self.acknowledged.max(index.expect("a revision of the reference model"));
                self.watched_revision = self.watched_revision.max(changes.revision.0);
            }
        }
    }

    /// Runs the service for this many random steps, with crashes, then lets all requests finish on a healthy disk.
    fn run(&mut self, steps: u32) {
        let mut run = self.start();
        for _ in 0..steps {
            self.now += self.rng.random_range(0..40);
            let mut is_alive = true;
            match self.rng.random_range(0..100) {
                0..45 => {
                    let before = self.reference.clone();
                    let (request, expected) = self.make_request();
                    self.last_request_id += 1;
                    let request_id = RequestId(self.last_request_id);
                    let refused_before = self.refused_count;
                    run.expected.insert(request_id, expected);
                    is_alive = self.handle_event(&mut run, Event::Request { request_id, request });
                    if self.refused_count > refused_before {
                        // A refused request must have had no effect.
                        let (acknowledged, expirations) =
                            (self.acknowledged, before.expirations.clone());
                        self.reference = before;
                        self.reference.expirations = expirations;
                        assert!(acknowledged <= self.reference.current_index());
                    }
                }
                45..75 => {
                    if let Some(group) = run.group.take() {
                        let number = group.number;
                        let outcome = match run.log.append(&group) {
                            Ok(()) => InFlightWrite::Durable,
                            Err(AppendError::NotWritten(e)) => {
                                InFlightWrite::NotWritten { group, cause: e.to_string() }
                            }
                            Err(AppendError::Unknown(e)) => {
                                InFlightWrite::Unknown { cause: e.to_string() }
                            }
                        };
                        if !self.disk.has_crashed() {
                            let is_durable = matches!(outcome, InFlightWrite::Durable);
                            if is_durable && self.is_disk_full {
                                self.reference.renew_all_leases(self.now);
                            }
                            self.is_disk_full = !is_durable;
                            is_alive = self
                                .handle_event(&mut run, Event::GroupWritten { number, outcome });
                        }
                    }
                }
                75..92 => {
                    if let Some(step) = run.step.take() {
                        let succeeded = run.snapshots.execute(&step).is_ok();
                        self.snapshot_count +=
                            u32::from(succeeded && matches!(step, SnapshotStep::Close(_)));
                        if !self.disk.has_crashed() {
                            is_alive =
                                self.handle_event(&mut run, Event::SnapshotStepDone { succeeded });
                        }
                    }
                }
                92 => {
                    let mut disk = self.disk.0.borrow_mut();
                    disk.free_bytes = match disk.free_bytes {
                        Some(_) => None,
                        None => Some(self.rng.random_range(0..5_000)),
                    };
                }
                93 => self.disk.0.borrow_mut().sync_fails = self.rng.random_bool(0.2),
                94 | 95 => {
                    let operations_left = self.rng.random_range(0..8);
                    self.disk.0.borrow_mut().operations_left.get_or_insert(operations_left);
                }
                _ => is_alive = self.handle_event(&mut run, Event::Tick),
            }
            if !is_alive || self.disk.has_crashed() {
                self.crash_count += 1;
                self.is_disk_full = false;
                self.disk.crash(&mut self.rng);
                self.now += 5_000;
                run = self.start();
            }
        }
        // The disk works again: every request gets its reply, and every watch does at the latest when its wait ends.
        (self.disk.0.borrow_mut().free_bytes, self.disk.0.borrow_mut().sync_fails) = (None, false);
        self.disk.0.borrow_mut().operations_left = None;
        for _ in 0..400 {
            self.now += 100;
            let outcome = run.group.take().map(|group| {
                run.log.append(&group).expect("the disk works");
                (group.number, InFlightWrite::Durable)
            });
            if let Some((number, outcome)) = outcome {
                if std::mem::take(&mut self.is_disk_full) {
                    self.reference.renew_all_leases(self.now);
                }
                self.handle_event(&mut run, Event::GroupWritten { number, outcome });
            } else if let Some(step) = run.step.take() {
                let succeeded = run.snapshots.execute(&step).is_ok();
                self.handle_event(&mut run, Event::SnapshotStepDone { succeeded });
            } else {
                self.handle_event(&mut run, Event::Tick);
            }
        }
        assert!(
            run.expected.is_empty(),
            "seed {}: {} replies are missing",
            self.seed,
            run.expected.len()
        );
        assert_eq!(&read_state(&run.engine), self.reference.current(), "seed {}", self.seed);
    }
}

fn run_seeds(first: u64, count: u64) {
    let additional_count = match std::env::var("OATLOOM_SEEDS") {
        Ok(seeds) => seeds.parse().expect("OATLOOM_SEEDS is a number of seeds"),
        Err(_) => 0,
    };
    let (mut crash_count, mut snapshot_count, mut refused_count) = (0, 0, 0);
    for seed in first..first + count + additional_count {
        let mut simulation = Simulation::new(seed);
        simulation.run(1_500);
        crash_count += simulation.crash_count;
        snapshot_count += simulation.snapshot_count;
        refused_count += simulation.refused_count;
    }
    println!(
        "{crash_count} crashes, {snapshot_count} snapshots, {refused_count} requests refused by a full disk"
    );
    // Fails if the simulation did not exercise these paths.
    assert!(
        crash_count > 50 && snapshot_count > 50 && refused_count > 50,
        "{crash_count} {snapshot_count} {refused_count}"
    );
}

#[test]
fn nothing_acknowledged_is_lost_1() {
    run_seeds(1, 40);
}

#[test]
fn nothing_acknowledged_is_lost_2() {
    run_seeds(10_001, 40);
}

#[test]
fn nothing_acknowledged_is_lost_3() {
    run_seeds(20_001, 40);
}

/// Recovery from files with a flipped bit fails or gives the same state. Guards against a corrupt file that is loaded
/// as a different state.
#[test]
fn a_flipped_bit_never_changes_the_recovered_state() {
    let (mut refused_count, mut harmless_count) = (0, 0);
    for seed in 1..12 {
        let mut simulation = Simulation::new(seed);
        simulation.run(1_500);
        let undamaged = recover(&mut simulation.disk.deep_copy(), Mono(0)).expect("valid files");
        let expected_state = read_state(&Engine::new(&make_settings(), undamaged, Mono(0)));
        let mut files = simulation.disk.clone();
        for _ in 0..400 {
            let names = files.list().unwrap();
            let name = &names[simulation.rng.random_range(0..names.len())];
            let length = files.read(name).unwrap().len();
            if length == 0 {
                continue;
            }
            let mut copy = simulation.disk.deep_copy();
            let (offset, bit) =
                (simulation.rng.random_range(0..length), simulation.rng.random_range(0..8));
            copy.flip_bit(name, offset, bit);
            match recover(&mut copy, Mono(0)) {
                Err(_) => refused_count += 1,
                Ok(recovered) => {
                    let state = read_state(&Engine::new(&make_settings(), recovered, Mono(0)));
                    assert_eq!(
                        state, expected_state,
                        "seed {seed}: {name}, byte {offset}, bit {bit}"
                    );
                    harmless_count += 1;
                }
            }
        }
    }
    assert!(
        refused_count > 500 && harmless_count > 100,
        "{refused_count} refused, {harmless_count} harmless"
    );
}

/// Recovery refuses a directory that no crash can leave behind: a missing log file, a later format version, an unknown
/// file. Guards against a start with only a part of the state.
#[test]
fn impossible_directories_are_refused() {
    let mut simulation = Simulation::new(7);
    simulation.run(3_000);
    let (mut refused_count, mut files) = (0, simulation.disk.clone());
    let logs: Vec<String> =
        files.list().unwrap().into_iter().filter(|n| n.starts_with("log")).collect();
    assert!(logs.len() >= 2, "{logs:?}");
    for name in &logs {
        let mut copy = simulation.disk.deep_copy();
        copy.remove(name).unwrap();
        refused_count += u32::from(recover(&mut copy, Mono(0)).is_err());
    }
    assert!(refused_count >= 1);
    let last = logs.last().unwrap();
    let mut copy = simulation.disk.deep_copy();
    copy.flip_bit(last, 6, 1);
    assert!(matches!(
        recover(&mut copy, Mono(0)),
        Err(RecoveryError::NewerFormat { format: 3, .. })
    ));
    let mut copy = simulation.disk.deep_copy();
    copy.create("notes.txt").unwrap();
    assert!(matches!(recover(&mut copy, Mono(0)), Err(RecoveryError::UnknownFile { .. })));
}
