//! The job table: durability, ends of jobs, and records that are written together.

use super::*;
use oatloom_protocol::constants::MAX_TASKS;
use oatloom_protocol::wire::Rank;
use serde_json::Value;

pub fn spec(id: &str, shape: Shape, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        class: "c".into(),
        team: "t".into(),
        shape,
        rank: Rank::Standard,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
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
        dependencies: Vec::new(),
    }
}

/// The next transaction once everything is due.
fn next(job_table: &mut JobTable) -> Option<(Txn, Vec<PendingWrite>)> {
    let now = job_table.now.plus(MAX_TASK_END_WRITE_DELAY_MS);
    job_table.next_txn(fence(), 16, now)
}

fn fence() -> Condition {
    Condition { key: "lead".into(), version: Revision(1) }
}

fn assignment(host: &str) -> TaskAssignment {
    TaskAssignment {
        host: HostId::new(host),
        session: WorkerSession(1),
        zone: Zone::new("a"),
        attempt: Attempt(1),
        chunk_version: 0,
        run_sent: RunSent::No,
        phase: None,
        assigned_at: Mono(0),
        running_since: None,
        reported_run_ms: None,
        stop: None,
    }
}

fn job_table(tasks: u32) -> (JobTable, JobId) {
    let mut job_table = JobTable::default();
    let now = Now { mono: Mono(1000), wall_ms: 1000 };
    let record = LiveRecord { spec: spec("req-1", Shape::Array, tasks), wall_ms: 900, part: None };
    job_table.insert(record, Revision(5), now);
    (job_table, JobId::new("req-1"))
}

/// The largest record stays below the smallest value limit in use.
#[test]
fn a_full_chunk_fits_a_value() {
    let (mut job_table, id) = job_table(MAX_TASKS);
    for index in MAX_TASKS - 64..MAX_TASKS {
        let mut full = assignment("i-0000000231");
        full.attempt = Attempt(1 << 52);
        full.zone = Zone::new("a-long-zone-name");
        job_table.assign(&id, index, full);
    }
    while let Some((txn, written)) = next(&mut job_table) {
        let text = serde_json::to_string(&txn).unwrap();
        assert!(text.len() < 64 * 1024 && txn.changes.len() <= 16);
        for change in &txn.changes {
            assert!(serde_json::to_string(change).unwrap().len() < 8 * 1024);
        }
        job_table.committed(&written, Revision(9));
    }
}

/// An assignment is not durable before its own transaction has committed.
#[test]
fn an_assignment_is_durable_only_when_committed() {
    let (mut job_table, id) = job_table(3);
    job_table.assign(&id, 0, assignment("i-1"));
    let (_, first) = next(&mut job_table).unwrap();
    job_table.assign(&id, 1, assignment("i-2"));
    assert!(!job_table.get(&id).unwrap().assignment_durable(0));
    job_table.committed(&first, Revision(7));
    let job = job_table.get(&id).unwrap();
    assert!(job.assignment_durable(0) && !job.assignment_durable(1) && !job.all_durable(0));
    let (txn, second) = next(&mut job_table).unwrap();
    assert_eq!(txn.conditions[1].version, Revision(7));
    job_table.committed(&second, Revision(8));
    assert!(job_table.get(&id).unwrap().assignment_durable(1));
}

/// A plan that assigns a task twice takes effect only once.
#[test]
fn an_assigned_task_is_not_assigned_again() {
    let (mut job_table, id) = job_table(2);
    assert!(job_table.jobs.get_mut(&id).unwrap().pending_tasks(0, Mono(0)).is_empty());
    assert!(job_table.assign(&id, 0, assignment("i-1")));
    assert!(!job_table.assign(&id, 0, assignment("i-2")));
    let job = job_table.get(&id).unwrap();
    assert_eq!((job.assigned, job.assignment(0).unwrap().host.as_str()), (1, "i-1"));
}

/// The end moves the job from `live/` to `over/` in one transaction and is reported only after its commit.
#[test]
fn an_end_is_reported_only_when_durable() {
    let (mut job_table, id) = job_table(1);
    job_table.assign(&id, 0, assignment("i-1"));
    let (_, written) = next(&mut job_table).unwrap();
    job_table.committed(&written, Revision(6));
    job_table.end(&id, JobStatus::Cancelled, "test");
    // Another controller may have read the final record already, so no earlier state may be reported.
    assert_eq!(job_table.view(&id), None);
    let (txn, written) = next(&mut job_table).unwrap();
    assert_eq!(txn.changes.len(), 2);
    let finished = job_table.committed(&written, Revision(7));
    assert_eq!(finished[0].1.status, JobStatus::Cancelled);
    assert_eq!(job_table.view(&id), None);
    // The task still counts until it is proven gone; then the assignment record is deleted and the job dropped.
    let (_, written) = next(&mut job_table).unwrap();
    job_table.committed(&written, Revision(8));
    assert_eq!(job_table.usage["t"].cpus, 1.0);
    job_table.unassign(&id, 0, false);
    assert_eq!(job_table.usage["t"].cpus, 0.0);
    let (txn, written) = next(&mut job_table).unwrap();
    assert!(matches!(txn.changes[0], Change::Delete { .. }));
    job_table.committed(&written, Revision(9));
    assert!(job_table.get(&id).is_none());
}

/// Ends of tasks share a write, and the final record is written together with the deletion of the assignment record.
/// Guards against one write per task, which used up the change budget so that submissions were rejected.
#[test]
fn ends_of_tasks_share_a_write_and_the_jobs_end_deletes_the_record() {
    let (mut job_table, id) = job_table(3);
    (0..3).for_each(|i| assert!(job_table.assign(&id, i, assignment("i-1"))));
    let (_, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    job_table.committed(&written, Revision(6));
    job_table.unassign(&id, 0, true);
    assert!(job_table.next_txn(fence(), 16, Mono(1)).is_none(), "nobody waits for it");
    let (txn, written) = next(&mut job_table).unwrap();
    assert_eq!(txn.changes.len(), 1);
    job_table.committed(&written, Revision(7));
    job_table.unassign(&id, 1, true);
    job_table.unassign(&id, 2, true);
    job_table.end(&id, JobStatus::Done, "test");
    let (txn, written) = job_table.next_txn(fence(), 16, Mono(2)).unwrap();
    assert_eq!(txn.changes.len(), 3, "{txn:?}");
    assert_eq!(job_table.committed(&written, Revision(8)).len(), 1);
    assert!(job_table.get(&id).is_none());
    assert!(job_table.next_txn(fence(), 16, Mono(u64::MAX)).is_none());
}

/// An assignment record first written in the same transaction as the final record is deleted afterwards.
#[test]
fn a_record_written_with_the_end_is_deleted() {
    let (mut job_table, id) = job_table(1);
    job_table.assign(&id, 0, assignment("i-1"));
    job_table.end(&id, JobStatus::Cancelled, "test");
    job_table.unassign(&id, 0, false);
    let (_, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    job_table.committed(&written, Revision(6));
    let (txn, written) = next(&mut job_table).unwrap();
    assert!(matches!(txn.changes[..], [Change::Delete { .. }]));
    job_table.committed(&written, Revision(7));
    assert!(job_table.get(&id).is_none());
}

/// A reloaded record gives the same assignments and completed tasks.
#[test]
fn records_reload_as_written() {
    let (mut original, id) = job_table(200);
    original.assign(&id, 100, assignment("i-7"));
    original.unassign(&id, 101, true);
    let record = original.get(&id).unwrap().record(1);
    let (mut reloaded, _) = job_table(200);
    let assignments = reloaded.load_chunk(&id, 1, record.clone(), Revision(3), Mono(5));
    assert_eq!(assignments, vec![(100, HostId::new("i-7"), assignment("i-7").session)]);
    let job = reloaded.get(&id).unwrap();
    assert_eq!((job.done, job.assigned), (1, 1));
    assert_eq!(job.assignment(100).unwrap().run_sent, RunSent::Inherited);
    assert_eq!(job.record(1), record);
}

/// Guards against a damaged record whose number of tasks takes all memory of each leader that loads it, or that has no task.
#[test]
fn a_damaged_number_of_tasks_is_limited_to_what_the_protocol_allows() {
    let mut written = serde_json::to_value(LiveRecord {
        spec: spec("req-1", Shape::Gang, 7),
        wall_ms: 5,
        part: None,
    })
    .unwrap();
    for (stored, loaded) in [(0, 1), (1, 1), (7, 7), (MAX_TASKS, MAX_TASKS), (u32::MAX, MAX_TASKS)]
    {
        written["s"]["shards"] = stored.into();
        let record: LiveRecord = serde_json::from_value(written.clone()).unwrap();
        assert_eq!(record.spec.tasks, loaded, "{stored}");
    }
}

fn retries_used_up() -> Failure {
    Failure {
        class: "c".into(),
        task: "req-1/0".into(),
        failures: 1,
        repeats: 0,
        causes: Vec::new(),
    }
}

/// Writes a job's end and returns its final status and whether the final record contains a failure.
fn written_end(job_table: &mut JobTable) -> (JobStatus, bool) {
    let (_, written) = next(job_table).unwrap();
    let finished = job_table.committed(&written, Revision(7));
    (finished[0].1.status, finished[0].1.failure.is_some())
}

/// Races with a job's failure have one winner: a cancellation until the end is being written, the failure over a late
/// result of a task, and the first decision afterwards.
#[test]
fn races_with_a_failure_have_one_winner() {
    let failing = || {
        let (mut job_table, id) = job_table(2);
        job_table.assign(&id, 1, assignment("i-1"));
        job_table.fail(&id, OnExhausted::FailJob, retries_used_up());
        // No final status is decided yet, so the user still sees the job as queued.
        assert_eq!(job_table.view(&id).map(|view| view.status), Some(JobStatus::Queued));
        (job_table, id)
    };
    let (mut job_table, id) = failing();
    job_table.end(&id, JobStatus::Cancelled, "test");
    job_table.end(&id, JobStatus::Failed, "test");
    assert_eq!(written_end(&mut job_table), (JobStatus::Cancelled, false));
    let (mut job_table, id) = failing();
    job_table.end(&id, JobStatus::Done, "test");
    job_table.end(&id, JobStatus::Failed, "test");
    job_table.end(&id, JobStatus::Cancelled, "test");
    assert_eq!(job_table.view(&id), None);
    assert_eq!(written_end(&mut job_table), (JobStatus::Failed, true));
    let (mut job_table, id) = failing();
    job_table.reopen(&id);
    job_table.end(&id, JobStatus::Failed, "test");
    assert_eq!(job_table.get(&id).unwrap().state, JobState::Open, "not reopened");
    job_table.end(&id, JobStatus::Done, "test");
    job_table.reopen(&id);
    assert_eq!(written_end(&mut job_table), (JobStatus::Done, false));
}

/// A failure is in the same write as the end of its assignment and survives a change of leader. Records of chunks
/// without failures do not grow.
#[test]
fn a_failure_is_written_with_the_end_of_its_assignment() {
    let (mut job_table, id) = job_table(200);
    job_table.assign(&id, 100, assignment("i-7"));
    let (_, written) = next(&mut job_table).unwrap();
    job_table.committed(&written, Revision(6));
    job_table.unassign(&id, 100, false);
    job_table.jobs.get_mut(&id).unwrap().charges.add(100, &HostId::new("i-7"));
    job_table.charges_changed(&id, 100);
    let (txn, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    let [Change::Put { value, .. }] = &txn.changes[..] else { panic!("{txn:?}") };
    let record: ChunkRecord = serde_json::from_value(value.clone()).unwrap();
    assert!(record.assignments.is_empty() && !record.charges.is_empty());
    job_table.committed(&written, Revision(7));
    let (mut later, _) = super::tests::job_table(200);
    later.load_chunk(&id, 1, record, Revision(7), Mono(5));
    assert_eq!(later.get(&id).unwrap().charges.failure_count(Some(100)), 1);
    let without_failures = later.get(&id).unwrap().record(0);
    assert!(
        !serde_json::to_string(&without_failures).unwrap().contains("\"e\""),
        "{without_failures:?}"
    );
}

/// A record stays below the smallest value limit in use with every task assigned, earlier failures of each, and usage
/// on many machine types.
#[test]
fn a_full_chunk_with_failures_and_usage_fits_a_value() {
    let (mut job_table, id) = job_table(TASKS_PER_CHUNK);
    job_table.usage_accounting = Some(UsageAccounting::default());
    for index in 0..TASKS_PER_CHUNK {
        let mut full = assignment(&format!("i-{index:06}"));
        full.attempt = Attempt(1 << 40);
        job_table.assign(&id, index, full);
        let charges = &mut job_table.jobs.get_mut(&id).unwrap().charges;
        (0..3).for_each(|n| charges.add(index, &HostId::new(&format!("i-{n:06}"))));
        let mut e = entry_of(&job_table, &id, index);
        e.flavor = format!("a-long-name-of-a-type-{}", index % 7);
        (e.ran_ms, e.held_ms) = (1 << 33, 1 << 34);
        e.ended_ms = u64::from(index % 2) * 86_400_000;
        job_table.record_usage(&e);
    }
    let record = job_table.get(&id).unwrap().record(0);
    let text = serde_json::to_string(&record).unwrap();
    assert!(text.len() < 8 * 1024, "{} bytes", text.len());
    let attempts: u64 = record.usage.days().map(|(_, usage)| usage.total().attempts).sum();
    assert_eq!(attempts, u64::from(TASKS_PER_CHUNK));
}

/// The usage entry of an attempt whose end was not reported.
fn entry_of(job_table: &JobTable, id: &JobId, index: u32) -> oatloom_ledger::entry::UsageEntry {
    let job = job_table.get(id).unwrap();
    oatloom_ledger::entry::UsageEntry {
        task: TaskId::new(id, index),
        attempt: Attempt(1),
        team: job.spec.team.clone(),
        class: job.spec.class.clone(),
        shape: Shape::Array,
        rank: Rank::Low,
        host: HostId::new("i-1"),
        flavor: "f".into(),
        zone: Zone::new("a"),
        spot: false,
        ended_ms: 1,
        held_ms: 20,
        ran_ms: 10,
        unseen_ms: 0,
        end: oatloom_ledger::entry::AttemptEnd::Unreported,
        progress_saved: false,
        job_continues: true,
        checkpoint_ms: 0,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        hourly_price: 1.0,
        machine_share: 1.0,
    }
}

/// The first write of an assignment record is conditional on the job's live key. Guards against a delayed copy of the
/// write that is applied after the job has ended and its record was deleted: the record came back and stayed.
#[test]
fn a_late_first_write_does_not_recreate_a_deleted_record() {
    let (mut job_table, id) = job_table(1);
    job_table.assign(&id, 0, assignment("i-1"));
    let (first, written) = next(&mut job_table).unwrap();
    let needs = |txn: &Txn, key: String| txn.conditions.iter().any(|c| c.key == key);
    assert!(needs(&first, live_key(&id)));
    job_table.committed(&written, Revision(6));
    job_table.assign(&id, 0, assignment("i-1"));
    job_table.unassign(&id, 0, false);
    let (later, _) = next(&mut job_table).unwrap();
    assert!(!needs(&later, live_key(&id)), "the record's own version is the condition");
}

/// With usage accounting, usage moves to the final record with the job's end, or later to the roll-up, in the
/// transaction that deletes the assignment record. No assignment record is written beside that final record.
#[test]
fn usage_moves_with_the_write_that_deletes_its_record() {
    use oatloom_ledger::rollup::{Cursor, LoadProgress};
    let record_attempt = |job_table: &mut JobTable, id: &JobId, index| {
        let e = entry_of(job_table, id, index);
        job_table.record_usage(&e);
    };
    let with_accounting = |tasks| {
        let (plain, id) = job_table(tasks);
        let mut accounting = UsageAccounting::new(Arc::default(), Millis(30_000));
        accounting.set_cursor(Some((Cursor::default(), Revision(2))), Revision(1));
        accounting.rollups.set_load_progress(LoadProgress::Complete);
        (JobTable { usage_accounting: Some(accounting), ..plain }, id)
    };
    // The job ends with no task assigned: one transaction moves the usage, and nothing else is written.
    let (mut job_table, id) = with_accounting(1);
    job_table.assign(&id, 0, assignment("i-1"));
    record_attempt(&mut job_table, &id, 0);
    job_table.unassign(&id, 0, true);
    job_table.end(&id, JobStatus::Done, "test");
    let (txn, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    let [Change::Put { value, .. }, Change::Delete { .. }] = &txn.changes[..] else {
        panic!("{txn:?}")
    };
    let record: FinalRecord = serde_json::from_value(value.clone()).unwrap();
    let spent = record.spent.expect("its usage");
    assert_eq!(spent.days.days().map(|(_, t)| t.total().ran_ms).sum::<u64>(), 10);
    job_table.committed(&written, Revision(7));
    assert!(job_table.get(&id).is_none());
    assert_eq!(job_table.usage_accounting.as_ref().unwrap().rollups.pending_count(), 1);
    // The job ends with a task assigned: once the task is gone, its record is deleted and the roll-up written with it.
    let (mut job_table, id) = with_accounting(1);
    job_table.assign(&id, 0, assignment("i-1"));
    let (_, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    job_table.committed(&written, Revision(6));
    job_table.end(&id, JobStatus::Cancelled, "test");
    let (_, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    job_table.committed(&written, Revision(7));
    record_attempt(&mut job_table, &id, 0);
    job_table.unassign(&id, 0, false);
    let (txn, written) =
        job_table.next_txn(fence(), 16, Mono(MAX_TASK_END_WRITE_DELAY_MS.0 * 2)).unwrap();
    assert!(matches!(&txn.changes[..], [Change::Delete { .. }, Change::Put { .. }]), "{txn:?}");
    job_table.committed(&written, Revision(8));
    assert!(
        job_table.get(&id).is_none()
            && job_table.usage_accounting.as_ref().unwrap().rollups.pending_count() == 0
    );
}

/// Damaged usage is ignored and the rest of a record is read, so that the job continues and its final status is
/// reported. A damaged roll-up is copied to another key and restarted, marked as having a gap.
#[test]
fn damaged_usage_is_ignored_and_the_job_continues() {
    use oatloom_ledger::rollup::{Cursor, LoadProgress, Rollup, RollupId};
    let record = r#"{"d":"1","a":[[1,7,"i-1",1,"a"]],"u":["t",1.0,0.0,1.0,2],"l":{"x":[[3]]}}"#;
    let record: ChunkRecord = serde_json::from_str(record).unwrap();
    assert!(record.usage.is_empty() && record.assignments.len() == 1);
    let final_record = r#"{"s":"done","n":2,"u":{"t":"red","c":7}}"#;
    let final_record: FinalRecord = serde_json::from_str(final_record).unwrap();
    assert_eq!((final_record.status, final_record.spent), (JobStatus::Done, None));
    let (plain, id) = job_table(1);
    let mut accounting = UsageAccounting::new(Arc::default(), Millis(30_000));
    accounting.set_cursor(Some((Cursor::default(), Revision(2))), Revision(1));
    accounting.rollups.set_load_progress(LoadProgress::Complete);
    let mut job_table = JobTable { usage_accounting: Some(accounting), ..plain };
    let rollup_id = RollupId { day: 0, team: "t".into(), class: "other".into() };
    let found =
        |value: Value| Row { key: rollup_id.key(), value, version: Revision(9), lease: None };
    let item = WriteItem::Rollup(rollup_id.clone());
    assert!(job_table.resolved(&item, Some(found(serde_json::json!({"t": "what?"})))).is_none());
    // The next roll-up transaction stores the copy and the restarted roll-up together.
    job_table.assign(&id, 0, assignment("i-1"));
    let e = entry_of(&job_table, &id, 0);
    job_table.record_usage(&e);
    job_table.unassign(&id, 0, true);
    job_table.end(&id, JobStatus::Done, "test");
    let (_, written) = job_table.next_txn(fence(), 16, Mono(0)).unwrap();
    job_table.committed(&written, Revision(10));
    let (txn, _) = job_table.next_txn(fence(), 16, Mono(60_000)).unwrap();
    let put = |prefix: &str| {
        txn.changes.iter().find_map(|change| match change {
            Change::Put { key, value, .. } if key.starts_with(prefix) => Some(value.clone()),
            _ => None,
        })
    };
    let rollup: Rollup = serde_json::from_value(put("use/").unwrap()).unwrap();
    assert!(rollup.incomplete && rollup.usage.total().attempts == 1);
    assert_eq!(put("use-damaged/use/"), Some(serde_json::json!({"t": "what?"})));
}

/// A stored final record ends a job that is unfinished in memory. Guards against the job's first assignment record
/// failing its condition for ever, together with everything in the same transaction.
#[test]
fn a_stored_final_record_ends_an_unfinished_job() {
    let (mut job_table, id) = job_table(2);
    assert!(job_table.assign(&id, 0, assignment("i-1")));
    let status = JobStatus::Cancelled;
    let record = FinalRecord { status, done: 0, failure: None, spent: None, part: None };
    let row = Row {
        key: final_key(&id),
        value: serde_json::json!(record),
        version: Revision(40),
        lease: None,
    };
    let finished = job_table.resolved(&WriteItem::FinalRecord(id.clone()), Some(row));
    assert_eq!(finished, Some((id.clone(), record)));
    assert_eq!(job_table.get(&id).map(|job| job.state), Some(JobState::Finished));
    // The task counts until it is proven gone, and no assignment record is created for it.
    assert_eq!(job_table.get(&id).map(|job| job.assigned), Some(1));
    assert!(next(&mut job_table).is_none());
}
