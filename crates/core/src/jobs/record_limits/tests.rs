//! Stored records fit an announced lower value limit, and no assignment is left out.

use super::*;
use crate::jobs::tests::spec;
use oatloom_ledger::entry::{AttemptEnd, UsageEntry};
use oatloom_protocol::wire::ExitCause;

const SMALL: RecordLimits =
    RecordLimits { form: RecordForm::Packed, target_bytes: 1_884, max_bytes: 1_884 };

fn fence() -> Condition {
    Condition { key: "lead".into(), version: Revision(1) }
}

fn assignment(host: &str, attempt: u64) -> TaskAssignment {
    TaskAssignment {
        host: HostId::new(host),
        session: WorkerSession(1),
        zone: Zone::new("kalamaria"),
        attempt: Attempt(attempt),
        chunk_version: 0,
        run_sent: RunSent::No,
        phase: None,
        assigned_at: Mono(0),
        running_since: None,
        reported_run_ms: None,
        stop: None,
    }
}

fn job_table(tasks: u32, limits: RecordLimits) -> (JobTable, JobId) {
    let mut job_table = JobTable { limits, ..JobTable::default() };
    let now = Now { mono: Mono(1000), wall_ms: 1000 };
    let record = LiveRecord { spec: spec("req-1", Shape::Array, tasks), wall_ms: 900, part: None };
    job_table.insert(record, Revision(5), now);
    (job_table, JobId::new("req-1"))
}

fn entry(task: u32, flavor: &str, day: u64) -> UsageEntry {
    UsageEntry {
        task: TaskId::new(&JobId::new("req-1"), task),
        attempt: Attempt(1),
        team: "t".into(),
        class: "c".into(),
        shape: Shape::Array,
        rank: oatloom_protocol::wire::Rank::Low,
        host: HostId::new("i-1"),
        flavor: flavor.into(),
        zone: Zone::new("kalamaria"),
        spot: true,
        ended_ms: day * 86_400_000,
        held_ms: 99_999_999,
        ran_ms: 88_888_888,
        unseen_ms: 0,
        end: AttemptEnd::Reported(ExitCause::Stopped),
        progress_saved: true,
        job_continues: true,
        checkpoint_ms: 30_000,
        cpus: 12.0,
        gpus: 4.0,
        memory_gb: 150.0,
        hourly_price: 11.6,
        machine_share: 0.25,
    }
}

/// A record with all 96 tasks of a chunk on different machines, failures, and usage of two days and many machine types.
#[test]
fn a_full_chunk_fits_two_kib() {
    let (mut job_table, id) = job_table(100_000, SMALL);
    job_table.usage_accounting = Some(UsageAccounting::default());
    for task in 960..1_056 {
        assert!(job_table.assign(
            &id,
            task,
            assignment(&format!("i-{:06}", task * 37 % 4_000), 7 << 41)
        ));
    }
    for n in 0..40u32 {
        let entry = entry(970, &format!("kivotos-{}", n % 20), 20_000 + u64::from(n % 2));
        job_table.record_usage(&entry);
    }
    let job = job_table.jobs.get_mut(&id).unwrap();
    for n in 0..20u32 {
        job.charges.add(960 + n, &HostId::new(&format!("i-{n:06}")));
    }
    let (txn, _) = job_table.next_txn(fence(), 5, Mono(10_000)).unwrap();
    let Change::Put { value, .. } = &txn.changes[0] else { panic!("{txn:?}") };
    assert!(size(value) <= SMALL.target_bytes, "{} bytes", size(value));
    let read: ChunkRecord = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(read.assignments, job_table.jobs[&id].record(10).assignments);
    let failures: u32 = read.charges.rows.iter().map(|row| row.2).sum();
    assert_eq!(failures, 20);
    let attempts: u64 = read.usage.days().map(|(_, usage)| usage.total().attempts).sum();
    assert_eq!(attempts, 40);
}

/// With long machine names, only as many tasks are assigned as fit into the record, and all of them are in it.
#[test]
fn assignments_are_limited_to_what_a_record_takes() {
    let (mut job_table, id) = job_table(96, SMALL);
    let name = |n: u32| format!("{n}-{}", "x".repeat(100));
    let assigned = (0..96).filter(|n| job_table.assign(&id, *n, assignment(&name(*n), 5))).count();
    assert!((5..20).contains(&assigned), "{assigned}");
    let (txn, written) = job_table.next_txn(fence(), 5, Mono(10_000)).unwrap();
    let Change::Put { value, .. } = &txn.changes[0] else { panic!("{txn:?}") };
    assert!(size(value) <= SMALL.target_bytes);
    job_table.committed(&written, Revision(9));
    assert_eq!((0..96).filter(|n| job_table.jobs[&id].assignment_durable(*n)).count(), assigned);
    // A task that has ended makes room for another.
    job_table.unassign(&id, 0, true);
    assert!(job_table.assign(&id, 95, assignment(&name(95), 6)));
}

/// A larger record of an earlier version is read, rewritten within the limit once it fits, and deleted with the job's
/// end.
#[test]
fn a_larger_record_is_read_and_rewritten_smaller() {
    for long in [8, 100] {
        let name = |n: u32| format!("{n}-{}", "x".repeat(long));
        let (mut old, id) =
            job_table(96, RecordLimits { max_bytes: 16_384, ..RecordLimits::default() });
        assert!((0..96).all(|n| old.assign(&id, n, assignment(&name(n), 5))));
        let stored = old.jobs[&id].record(0);
        let (mut new, _) = job_table(96, SMALL);
        assert_eq!(new.load_chunk(&id, 0, stored, Revision(7), Mono(5)).len(), 96);
        let mut now = Mono(10_000);
        let mut smallest = 96;
        for task in 0..96 {
            new.unassign(&id, task, true);
            now = now.plus(Millis(70_000));
            if let Some((txn, written)) = new.next_txn(fence(), 5, now) {
                let Change::Put { value, .. } = &txn.changes[0] else { panic!("{txn:?}") };
                assert!(size(value) <= SMALL.target_bytes, "written above the limit");
                new.committed(&written, Revision(100 + u64::from(task)));
                smallest = smallest.min(95 - task);
                assert!(new.jobs[&id].all_durable(task));
            } else {
                assert!(!new.jobs[&id].all_durable(task), "settled without a write");
            }
        }
        assert_eq!(smallest, 0);
        new.end(&id, JobStatus::Done, "all done");
        let (txn, written) = new.next_txn(fence(), 5, now).unwrap();
        assert_eq!(txn.changes.len(), 3, "the record is deleted with the job's end");
        assert_eq!(new.committed(&written, Revision(999)).len(), 1);
    }
}

/// A final record with many failure causes and much usage fits, and the returned record equals the stored one.
#[test]
fn a_final_record_fits_two_kib() {
    let (mut job_table, id) = job_table(10, SMALL);
    job_table.usage_accounting = Some(UsageAccounting::default());
    for n in 0..40u32 {
        job_table.record_usage(&entry(
            0,
            &format!("kivotos-{}", n % 20),
            20_000 + u64::from(n % 2),
        ));
    }
    let cause = |n: u32| FailureCause {
        host: Some(HostId::new(&format!("machine-with-a-long-name-{n:030}"))),
        cause: ExitCause::Error,
        count: 1,
    };
    job_table.fail(
        &id,
        oatloom_policy::classes::OnExhausted::FailJob,
        Failure {
            class: "c".into(),
            task: "req-1/0".into(),
            failures: 20,
            repeats: 19,
            causes: (0..20).map(cause).collect(),
        },
    );
    job_table.end(&id, JobStatus::Failed, "retries used up");
    let (txn, written) = job_table.next_txn(fence(), 5, Mono(10_000)).unwrap();
    let Change::Put { value, .. } = &txn.changes[0] else { panic!("{txn:?}") };
    assert!(size(value) <= SMALL.target_bytes, "{} bytes", size(value));
    let finished = job_table.committed(&written, Revision(9));
    assert_eq!(serde_json::to_value(&finished[0].1).unwrap(), *value);
    let failure = finished[0].1.failure.as_ref().unwrap();
    assert_eq!(failure.causes.iter().map(|cause| cause.count).sum::<u32>(), 20);
}

/// The row form is byte for byte what the earlier version writes.
#[test]
fn row_form_matches_the_earlier_version() {
    let (mut job_table, id) = job_table(3, RecordLimits::default());
    assert!(job_table.assign(&id, 1, assignment("i-000231", (7 << 20) + 3)));
    let (txn, _) = job_table.next_txn(fence(), 16, Mono(10_000)).unwrap();
    let Change::Put { value, .. } = &txn.changes[0] else { panic!("{txn:?}") };
    let text = r#"{"a":[[1,7340035,"i-000231",1,"kalamaria"]],"d":"0","u":["t",1.0,0.0,1.0,3]}"#;
    assert_eq!(value.to_string(), text);
}

/// A rejected transaction is split into smaller ones, and an item that is rejected on its own delays no other. Guards
/// against the same transaction being repeated once or twice a second for ever, so that nothing became durable any
/// more.
#[test]
fn an_item_rejected_on_its_own_delays_no_other() {
    let (mut job_table, id) = job_table(960, SMALL);
    for task in (0..960).step_by(96) {
        assert!(job_table.assign(&id, task, assignment("i-000001", 5)));
    }
    let rejected_key = chunk_key(&id, 3);
    let (mut rejected_sizes, mut revision, mut now) = (Vec::new(), 10, Mono(10_000));
    for _ in 0..40 {
        now = now.plus(Millis(250));
        let Some((txn, written)) = job_table.next_txn(fence(), 5, now) else { continue };
        if txn.changes.iter().any(|c| matches!(c, Change::Put { key, .. } if *key == rejected_key))
        {
            rejected_sizes.push(txn.changes.len());
            job_table.rejected(written, now);
        } else {
            revision += 1;
            job_table.committed(&written, Revision(revision));
        }
    }
    let durable = (0..960).step_by(96).filter(|task| job_table.jobs[&id].assignment_durable(*task));
    assert_eq!(durable.count(), 9, "all others are durable");
    assert_eq!(rejected_sizes[..3], [4, 2, 1], "{rejected_sizes:?}");
    assert!(rejected_sizes.len() <= 7, "repeated too often: {rejected_sizes:?}");
    // Once the service accepts it, it is written.
    let (txn, written) =
        job_table.next_txn(fence(), 5, now.plus(MAX_REJECTED_RETRY_PAUSE_MS)).unwrap();
    assert_eq!(txn.changes.len(), 1);
    job_table.committed(&written, Revision(99));
    assert!(job_table.jobs[&id].assignment_durable(288) && job_table.unwritten_count() == 0);
}
