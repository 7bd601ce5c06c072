//! Dependencies between jobs: release, cancellation along with a dependency, takeover by a new leader, and inherited
//! ranks and deadlines.

use oatloom_core::jobs::{ChunkRecord, FinalRecord, JobState, JobTable, LiveRecord};
use oatloom_protocol::ids::{Attempt, HostId, JobId, Mono, Now, Revision, WorkerSession, Zone};
use oatloom_protocol::wire::{Change, Condition, JobSpec, JobStatus, Rank, Shape, Txn};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of changes in a transaction: the lowest limit that a state service may have.
const CHANGES_PER_TXN: usize = 5;

fn id(number: u32) -> JobId {
    JobId::new(&format!("req-{number:06}"))
}

fn now(ms: u64) -> Now {
    Now { mono: Mono(ms), wall_ms: ms }
}

fn spec(number: u32, dependencies: &[u32]) -> JobSpec {
    JobSpec {
        id: id(number),
        class: "stage".into(),
        team: "team".into(),
        shape: Shape::Array,
        rank: Rank::Low,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "image".into(),
        image_gb: 1.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: dependencies.iter().map(|number| id(*number)).collect(),
    }
}

/// Inserts a job that was accepted at the revision `number`.
fn insert(job_table: &mut JobTable, spec: JobSpec, number: u32) {
    let record = LiveRecord { spec, wall_ms: 1_000, part: None };
    job_table.insert(record, Revision(u64::from(number)), now(1_000));
}

fn add(job_table: &mut JobTable, number: u32, dependencies: &[u32]) {
    insert(job_table, spec(number, dependencies), number);
}

/// Commits the leader's next transaction, and returns it.
fn commit_one(job_table: &mut JobTable, at: Mono) -> Option<Txn> {
    let fence = Condition { key: "lead".into(), version: Revision(1) };
    let (txn, written) = job_table.next_txn(fence, CHANGES_PER_TXN, at)?;
    job_table.committed(&written, Revision(1_000_000));
    Some(txn)
}

/// Commits all pending transactions, and returns them.
fn commit_all(job_table: &mut JobTable, at: Mono) -> Vec<Txn> {
    std::iter::from_fn(|| commit_one(job_table, at)).collect()
}

fn state(job_table: &JobTable, number: u32) -> Option<JobState> {
    job_table.get(&id(number)).map(|job| job.state)
}

fn reported(job_table: &JobTable, number: u32) -> Option<JobStatus> {
    job_table.view(&id(number)).map(|view| view.status)
}

/// A dependency that is done only in memory does not release its dependents.
#[test]
fn a_job_is_released_once_the_ends_of_its_dependencies_are_durable() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 1, &[]);
    add(&mut job_table, 2, &[]);
    add(&mut job_table, 3, &[1, 2]);
    assert_eq!(reported(&job_table, 3), Some(JobStatus::Queued));
    for done in [1, 2] {
        job_table.unassign(&id(done), 0, true);
        job_table.end(&id(done), JobStatus::Done, "all tasks are done");
        assert_eq!(state(&job_table, 3), Some(JobState::Waiting));
        assert!(commit_one(&mut job_table, Mono(2_000)).is_some());
    }
    assert_eq!(state(&job_table, 3), Some(JobState::Open));
    let job = job_table.get(&id(3)).unwrap();
    assert_eq!((job.submitted, job.released), (Mono(1_000), Mono(2_000)));
    assert!(job_table.take_released() && !job_table.take_released());
}

/// All dependents of a cancelled job are reported as cancelled as soon as its final record is durable, however many
/// there are and however few changes a transaction may have.
#[test]
fn dependents_of_a_cancelled_job_are_reported_cancelled_at_once() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 1, &[]);
    for number in 2..=300 {
        add(&mut job_table, number, &[number - 1]);
    }
    job_table.end(&id(1), JobStatus::Cancelled, "cancelled by its user");
    assert_eq!(
        reported(&job_table, 2),
        Some(JobStatus::Queued),
        "before the cancellation is durable"
    );
    assert!(commit_one(&mut job_table, Mono(2_000)).is_some());
    for number in 2..=300 {
        assert_eq!(reported(&job_table, number), Some(JobStatus::Cancelled), "job {number}");
    }
    // A new dependent of one of them is cancelled too, even before the final record of that one is written.
    add(&mut job_table, 301, &[300]);
    assert_eq!(reported(&job_table, 301), Some(JobStatus::Cancelled));
    let written = commit_all(&mut job_table, Mono(3_000));
    assert!(written.iter().all(|txn| txn.changes.len() <= CHANGES_PER_TXN));
    let ends = written.iter().flat_map(|txn| &txn.changes);
    let ends =
        ends.filter(|change| matches!(change, Change::Put { key, .. } if key.starts_with("over/")));
    assert_eq!(ends.count(), 300);
    assert!(job_table.jobs.is_empty());
}

/// A dependency that is done before its cancellation is requested releases its dependents.
#[test]
fn the_first_decision_about_a_dependency_decides_for_its_dependents() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 1, &[]);
    add(&mut job_table, 2, &[1]);
    job_table.unassign(&id(1), 0, true);
    job_table.end(&id(1), JobStatus::Done, "all tasks are done");
    job_table.end(&id(1), JobStatus::Cancelled, "cancelled by its user");
    commit_all(&mut job_table, Mono(2_000));
    assert_eq!(state(&job_table, 2), Some(JobState::Open));
}

/// The stored final record of a dependency wins over a different decision of this leader.
#[test]
fn the_stored_end_of_a_dependency_wins_over_the_decided_one() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 1, &[]);
    add(&mut job_table, 2, &[1]);
    job_table.unassign(&id(1), 0, true);
    job_table.end(&id(1), JobStatus::Done, "all tasks are done");
    let fence = Condition { key: "lead".into(), version: Revision(1) };
    let (_, written) = job_table.next_txn(fence, CHANGES_PER_TXN, Mono(2_000)).unwrap();
    let item = written[0].item().clone();
    job_table.requeue(written);
    let record = serde_json::json!({"s": "cancelled", "n": 0});
    let row = oatloom_protocol::wire::Row {
        key: "over/req-000001".into(),
        value: record,
        version: Revision(9),
        lease: None,
    };
    job_table.resolved(&item, Some(row));
    assert_eq!(reported(&job_table, 2), Some(JobStatus::Cancelled));
}

/// A new leader reports no status of a job before it has read the final records of all its finished dependencies: an
/// earlier leader may have reported the job as cancelled.
#[test]
fn no_status_is_reported_before_the_dependencies_are_known() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 2, &[1]);
    add(&mut job_table, 3, &[2]);
    assert_eq!((reported(&job_table, 2), reported(&job_table, 3)), (None, None));
    assert_eq!(job_table.unresolved_dependencies().cloned().collect::<Vec<_>>(), [id(1)]);
    job_table.dependency_ended(&id(1), JobStatus::Cancelled, Mono(2_000));
    assert_eq!(reported(&job_table, 2), Some(JobStatus::Cancelled));
    assert_eq!(reported(&job_table, 3), Some(JobStatus::Cancelled));
    assert_eq!(job_table.unresolved_dependencies().count(), 0);
}

/// A dependency that is inserted after its dependent is unfinished, so its final record is not read.
#[test]
fn a_dependency_inserted_after_its_dependent_is_awaited() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 2, &[1]);
    add(&mut job_table, 1, &[]);
    assert_eq!(job_table.unresolved_dependencies().count(), 0);
    assert_eq!(reported(&job_table, 2), Some(JobStatus::Queued));
    job_table.unassign(&id(1), 0, true);
    job_table.end(&id(1), JobStatus::Done, "all tasks are done");
    commit_all(&mut job_table, Mono(2_000));
    assert_eq!(state(&job_table, 2), Some(JobState::Open));
}

/// A damaged final record releases nothing; the dependents wait until their users cancel them.
#[test]
fn an_unreadable_dependency_keeps_its_dependents_waiting() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 2, &[1]);
    job_table.dependency_unreadable(&id(1));
    assert_eq!(reported(&job_table, 2), Some(JobStatus::Queued));
    assert_eq!(state(&job_table, 2), Some(JobState::Waiting));
    job_table.end(&id(2), JobStatus::Cancelled, "cancelled by its user");
    commit_all(&mut job_table, Mono(2_000));
    assert!(job_table.jobs.is_empty());
}

/// Assignments are written only after the release, so a new leader need not read the dependencies of such a job.
#[test]
fn an_assignment_record_shows_that_its_job_was_released() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 2, &[1]);
    let record = ChunkRecord {
        done: String::new(),
        assignments: vec![(0, Attempt(7), HostId::new("i-1"), WorkerSession(1), Zone::new("a"))],
        size: ("team".into(), 1.0, 0.0, 1.0, 1),
        charges: Default::default(),
        usage: Default::default(),
    };
    job_table.load_chunk(&id(2), 0, record, Revision(8), Mono(2_000));
    assert_eq!(state(&job_table, 2), Some(JobState::Open));
    assert_eq!(job_table.get(&id(2)).unwrap().assigned, 1);
}

/// The last job's deadline and rank are inherited through a chain of any length in one pass.
#[test]
fn deadlines_and_ranks_are_inherited_through_a_chain() {
    let mut job_table = JobTable::default();
    add(&mut job_table, 1, &[]);
    for number in 2..300 {
        add(&mut job_table, number, &[number - 1]);
    }
    let last = JobSpec { rank: Rank::High, deadline_s: Some(10_000.0), ..spec(300, &[299]) };
    insert(&mut job_table, last, 300);
    let each_ms = 20_000;
    job_table.inherit(|job| {
        let own = job.spec.deadline_s.map(|within| job.submitted.0 + (within * 1_000.0) as u64);
        let end = job.inherited.latest_end.map(|end| end.0).or(own)?;
        Some(Mono(end - each_ms))
    });
    let first = job_table.get(&id(1)).unwrap();
    assert_eq!(first.rank(), Rank::High);
    assert_eq!(first.inherited.latest_end, Some(Mono(1_000 + 10_000_000 - 299 * each_ms)));
    // Nothing is inherited any more once the last job is cancelled.
    job_table.end(&id(300), JobStatus::Cancelled, "cancelled by its user");
    job_table.inherit(|_| None);
    assert_eq!(job_table.get(&id(1)).unwrap().rank(), Rank::Low);
}

/// Jobs and their ends as stored in the state service.
#[derive(Default)]
struct Stored {
    live: BTreeMap<JobId, (JobSpec, u32)>,
    final_states: BTreeMap<JobId, JobStatus>,
}

impl Stored {
    fn apply(&mut self, txn: &Txn) {
        for change in &txn.changes {
            match change {
                Change::Put { key, value, .. } => {
                    if let Some(id) = key.strip_prefix("over/") {
                        let record: FinalRecord = serde_json::from_value(value.clone()).unwrap();
                        let earlier = self.final_states.insert(JobId::new(id), record.status);
                        assert!(earlier.is_none(), "{id} ended twice");
                    }
                }
                Change::Delete { key } => {
                    if let Some(id) = key.strip_prefix("live/") {
                        self.live.remove(&JobId::new(id));
                    }
                }
            }
        }
    }

    /// The job table that a new leader loads.
    fn load(&self) -> JobTable {
        let mut job_table = JobTable::default();
        for (spec, number) in self.live.values() {
            insert(&mut job_table, spec.clone(), *number);
        }
        job_table
    }

    /// Whether the job or any of its direct or indirect dependencies is cancelled, so that the job must be cancelled.
    fn must_be_cancelled(&self, specs: &BTreeMap<JobId, JobSpec>, id: &JobId) -> bool {
        let mut to_visit = vec![id.clone()];
        let mut visited = BTreeSet::new();
        while let Some(id) = to_visit.pop() {
            if self.final_states.get(&id) == Some(&JobStatus::Cancelled) {
                return true;
            }
            if visited.insert(id.clone()) {
                to_visit.extend(specs[&id].dependencies.iter().cloned());
            }
        }
        false
    }
}

/// Random dependency graphs, ends and cancellations, with a change of leader after any transaction: no job is released
/// before the ends of all its dependencies are stored, all leaders report the same outcome, and every job ends.
#[test]
fn random_graphs_across_changes_of_leader() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..40);
        let mut specs: BTreeMap<JobId, JobSpec> = BTreeMap::new();
        let mut stored = Stored::default();
        let mut job_table = JobTable::default();
        let mut reported_cancelled: BTreeSet<JobId> = BTreeSet::new();
        let mut next = 1;
        for _ in 0..4_000 {
            if next <= count && rng.random_bool(0.3) {
                let mut dependencies: Vec<u32> = (1..next).collect();
                dependencies.shuffle(&mut rng);
                dependencies.truncate(rng.random_range(0..4));
                let spec = spec(next, &dependencies);
                specs.insert(spec.id.clone(), spec.clone());
                stored.live.insert(spec.id.clone(), (spec.clone(), next));
                insert(&mut job_table, spec, next);
                next += 1;
            }
            let unresolved: Vec<JobId> = job_table.unresolved_dependencies().cloned().collect();
            for dependency in unresolved {
                if let Some(status) = stored.final_states.get(&dependency)
                    && rng.random_bool(0.5)
                {
                    job_table.dependency_ended(&dependency, *status, Mono(2_000));
                }
            }
            let states: Vec<(JobId, JobState)> =
                job_table.jobs.iter().map(|(id, job)| (id.clone(), job.state)).collect();
            for (id, state) in states {
                let dependencies = &specs[&id].dependencies;
                if state == JobState::Open {
                    let done = |id: &JobId| stored.final_states.get(id) == Some(&JobStatus::Done);
                    assert!(dependencies.iter().all(done), "seed {seed}: {id} was released early");
                    if rng.random_bool(0.1) {
                        job_table.unassign(&id, 0, true);
                        job_table.end(&id, JobStatus::Done, "all tasks are done");
                    }
                }
                if rng.random_bool(0.003) {
                    job_table.end(&id, JobStatus::Cancelled, "cancelled by its user");
                }
            }
            if rng.random_bool(0.5)
                && let Some(txn) = commit_one(&mut job_table, Mono(2_000))
            {
                stored.apply(&txn);
            }
            if rng.random_bool(0.02) {
                job_table = stored.load();
            }
            for id in specs.keys() {
                let status = stored
                    .final_states
                    .get(id)
                    .copied()
                    .or_else(|| job_table.view(id).map(|v| v.status));
                if status == Some(JobStatus::Cancelled) {
                    reported_cancelled.insert(id.clone());
                }
                assert!(
                    status.is_none_or(|status| status == JobStatus::Cancelled)
                        || !reported_cancelled.contains(id),
                    "seed {seed}: {id} was reported cancelled and is now {status:?}"
                );
            }
        }
        for (id, spec) in &specs {
            let Some(status) = stored.final_states.get(id) else {
                panic!(
                    "seed {seed}: {id} has no end: {:?}, dependencies {:?}",
                    job_table.get(id),
                    spec.dependencies
                )
            };
            let must_be_cancelled = stored.must_be_cancelled(&specs, id);
            assert_eq!(*status == JobStatus::Cancelled, must_be_cancelled, "seed {seed}: {id}");
        }
    }
}
