//! A region that has run many jobs: those that have ended cost a takeover nothing, are found by every controller, and
//! leave the controllers as small as they were. `OATLOOM_ENDED` says how many there are.

use hdrhistogram::Histogram;
use oatloom_ctl::constants::{MAX_RESPONSE_BYTES, POLL_TIMEOUT_MS, SUBMIT_TIMEOUT_MS};
use oatloom_ctl::launch::Running;
use oatloom_ctl::settings::Local;
use oatloom_emulator::faults::{Fault, ScheduledFault};
use oatloom_state::disk::Directory;
use oatloom_state::records::{SnapshotFooter, SnapshotRow};
use oatloom_state::wal::{SnapshotStep, SnapshotWriter};
use oatloom_web::client::HttpClient;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::time::{Duration, Instant};

/// A state service's directory with the final states of so many jobs.
fn fill(directory: &Path, ended: u64) {
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
    for first in (0..ended).step_by(1_000) {
        let rows = (first..(first + 1_000).min(ended)).map(row).collect();
        writer.execute(&SnapshotStep::Rows(rows)).expect("written");
    }
    let close = SnapshotFooter {
        row_count: ended,
        first_group: 1,
        revision: ended,
        ..SnapshotFooter::default()
    };
    writer.execute(&SnapshotStep::Close(close)).expect("closed");
}

/// Until every controller tells of an ended job.
fn all_answer(running: &mut Running, ended: u64) -> Duration {
    let began = Instant::now();
    let path = format!("/v2/runs/req-{:09}", ended / 2);
    for address in running.controllers.clone() {
        let caller = HttpClient::new(&address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        while caller.get(&path).is_none_or(|(status, _)| status != 200) {
            assert!(began.elapsed() < Duration::from_secs(60), "{address} does not answer");
            running.tend();
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    began.elapsed()
}

#[test]
fn jobs_that_have_ended_cost_little() {
    let ended: u64 =
        std::env::var("OATLOOM_ENDED").ok().and_then(|n| n.parse().ok()).unwrap_or(3_000);
    let data = tempfile::tempdir().expect("a directory");
    fill(&data.path().join("state"), ended);
    let operators = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/ledger.sample.lisp");
    let local = Local { port: 0, state_rps: 5_000.0, ..Local::default() };
    let began = Instant::now();
    let mut running = Running::start(local, data.path(), Some(&operators), 1).expect("a region");
    let first = all_answer(&mut running, ended);
    println!(
        "{ended} ended jobs: started in {:?}, all controllers answer {first:?} later",
        began.elapsed() - first
    );
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut times = Histogram::<u64>::new(3).expect("a histogram");
    for n in 0..3_000 {
        let job = rng.random_range(0..ended);
        let address = &running.controllers[n % running.controllers.len()];
        let caller = HttpClient::new(address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let asked = Instant::now();
        let (status, body) = caller.get(&format!("/v2/runs/req-{job:09}")).expect("an answer");
        let _ = times.record(asked.elapsed().as_micros() as u64);
        let word = if job.is_multiple_of(9) { "cancelled" } else { "done" };
        assert!(status == 200 && String::from_utf8_lossy(&body).contains(word), "{job}: {status}");
        if n.is_multiple_of(100) {
            running.tend();
        }
    }
    // A repeated submission of one, and an abort of another, get its final state.
    let caller = HttpClient::new(&running.controllers[0], SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    let spec = serde_json::json!({"nameId": "req-000000009", "jobclass": "quick", "owner": "red", "shape": "sweep",
        "rank": "low", "shards": 1, "cpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "bundle": "i", "pullGb": 1.0,
        "samePlace": false, "spread": false, "loaners": false, "expectS": 1.0, "snapshotS": 0.0, "flushS": 0.0});
    let (status, body) = caller.post("/v2/runs", &spec).expect("an answer");
    assert!(status == 200 && String::from_utf8_lossy(&body).contains("cancelled"), "{status}");
    let (status, body) =
        caller.post("/v2/runs/req-000000010/abort", &serde_json::json!({})).expect("an answer");
    assert!(status == 200 && String::from_utf8_lossy(&body).contains("done"), "{status}");
    running.strike(&ScheduledFault { at: 0, until: 0, fault: Fault::CrashAll(None) });
    let back = all_answer(&mut running, ended);
    println!(
        "lookups p50 {:.2} ms, p99 {:.2} ms; all controllers killed: all answer after {back:?}; {:.1} MB in a controller",
        times.value_at_quantile(0.5) as f64 / 1e3,
        times.value_at_quantile(0.99) as f64 / 1e3,
        running.controllers_memory() as f64 / 1e6
    );
    assert!(back < Duration::from_secs(20) && running.controllers_memory() < 40_000_000);
}
