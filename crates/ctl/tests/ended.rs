//! A region with many finished jobs: they must not slow down a change of the leader, every controller must find them,
//! and the memory of the controllers must stay small. `OATLOOM_ENDED` sets the number of finished jobs.

use hdrhistogram::Histogram;
use oatloom_ctl::constants::{MAX_RESPONSE_BYTES, POLL_TIMEOUT_MS, SUBMIT_TIMEOUT_MS};
use oatloom_ctl::launch::RunningRegion;
use oatloom_ctl::settings::LocalSettings;
use oatloom_emulator::faults::{Fault, ScheduledFault};
use oatloom_state::disk::Directory;
use oatloom_state::records::{SnapshotFooter, SnapshotRow};
use oatloom_state::wal::{SnapshotStep, SnapshotWriter};
use oatloom_web::client::HttpClient;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::time::{Duration, Instant};

/// Writes a data directory of the state service with the final records of `job_count` jobs.
fn write_finished_jobs(directory: &Path, job_count: u64) {
    std::fs::create_dir_all(directory).expect("a directory");
    let mut writer = SnapshotWriter::new(Directory::new(directory));
    writer.execute(&SnapshotStep::Begin).expect("begun");
    let row = |n: u64| {
        let value = format!(
            r#"{{"s":"{}","n":{}}}"#,
            if n.is_multiple_of(9) { "cancelled" } else { "done" },
            n % 9
        );
        SnapshotRow {
            key: format!("over/req-{n:09}").into(),
            value: value.as_str().into(),
            revision: n + 1,
            lease: 0,
        }
    };
    for first in (0..job_count).step_by(1_000) {
        let rows = (first..(first + 1_000).min(job_count)).map(row).collect();
        writer.execute(&SnapshotStep::Rows(rows)).expect("written");
    }
    let footer = SnapshotFooter {
        row_count: job_count,
        first_group: 1,
        revision: job_count,
        ..SnapshotFooter::default()
    };
    writer.execute(&SnapshotStep::Close(footer)).expect("closed");
}

/// Waits until every controller answers for a finished job.
fn wait_until_all_answer(running: &mut RunningRegion, job_count: u64) -> Duration {
    let started = Instant::now();
    let path = format!("/v2/runs/req-{:09}", job_count / 2);
    for address in running.controllers.clone() {
        let client = HttpClient::new(&address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        while client.get(&path).is_none_or(|(status, _)| status != 200) {
            assert!(started.elapsed() < Duration::from_secs(60), "{address} does not answer");
            running.supervise();
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    started.elapsed()
}

#[test]
fn finished_jobs_do_not_slow_down_a_region() {
    let job_count: u64 =
        std::env::var("OATLOOM_ENDED").ok().and_then(|n| n.parse().ok()).unwrap_or(3_000);
    let data = tempfile::tempdir().expect("a directory");
    write_finished_jobs(&data.path().join("state"), job_count);
    let operators = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/ledger.sample.lisp");
    let local = LocalSettings { port: 0, state_rps: 5_000.0, ..LocalSettings::default() };
    let started = Instant::now();
    let mut running =
        RunningRegion::start(local, data.path(), Some(&operators), 1).expect("a region");
    let answer_delay = wait_until_all_answer(&mut running, job_count);
    println!(
        "{job_count} finished jobs: started in {:?}, all controllers answer {answer_delay:?} later",
        started.elapsed() - answer_delay
    );
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut lookup_times_us = Histogram::<u64>::new(3).expect("a histogram");
    for n in 0..3_000 {
        let job = rng.random_range(0..job_count);
        let address = &running.controllers[n % running.controllers.len()];
        let client = HttpClient::new(address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let requested_at = Instant::now();
        let (status, body) = client.get(&format!("/v2/runs/req-{job:09}")).expect("an answer");
        let _ = lookup_times_us.record(requested_at.elapsed().as_micros() as u64);
        let expected_status = if job.is_multiple_of(9) { "cancelled" } else { "done" };
        assert!(
            status == 200 && String::from_utf8_lossy(&body).contains(expected_status),
            "{job}: {status}"
        );
        if n.is_multiple_of(100) {
            running.supervise();
        }
    }
    // A repeated submission and an abort of a finished job are answered with its final status.
    let client = HttpClient::new(&running.controllers[0], SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    let spec = serde_json::json!({"nameId": "req-000000009", "jobclass": "quick", "owner": "red", "shape": "sweep",
        "rank": "low", "shards": 1, "cpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "bundle": "i", "pullGb": 1.0,
        "samePlace": false, "spread": false, "loaners": false, "expectS": 1.0, "snapshotS": 0.0, "flushS": 0.0});
    let (status, body) = client.post("/v2/runs", &spec).expect("an answer");
    assert!(status == 200 && String::from_utf8_lossy(&body).contains("cancelled"), "{status}");
    let (status, body) =
        client.post("/v2/runs/req-000000010/abort", &serde_json::json!({})).expect("an answer");
    assert!(status == 200 && String::from_utf8_lossy(&body).contains("done"), "{status}");
    running.inject_fault(&ScheduledFault { at: 0, until: 0, fault: Fault::CrashAll(None) });
    let recovery_time = wait_until_all_answer(&mut running, job_count);
    println!(
        "lookups p50 {:.2} ms, p99 {:.2} ms; all controllers killed: all answer after {recovery_time:?}; \
         {:.1} MB in a controller",
        lookup_times_us.value_at_quantile(0.5) as f64 / 1e3,
        lookup_times_us.value_at_quantile(0.99) as f64 / 1e3,
        running.max_controller_memory_bytes() as f64 / 1e6
    );
    assert!(
        recovery_time < Duration::from_secs(20)
            && running.max_controller_memory_bytes() < 40_000_000
    );
}
