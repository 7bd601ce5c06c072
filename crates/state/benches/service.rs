//! Throughput of changes, time and memory of recovery, and latency of changes during a snapshot. Clients run on the
//! same machine: `cargo bench -p oatloom-state`.

use criterion::{Criterion, Throughput};
use hdrhistogram::Histogram;
use oatloom_protocol::ids::{Millis, Mono};
use oatloom_protocol::wire::StateStatus;
use oatloom_state::disk::Directory;
use oatloom_state::records::{SnapshotFooter, SnapshotRow};
use oatloom_state::recovery::recover;
use oatloom_state::wal::{SnapshotStep, SnapshotWriter};
use oatloom_state::{service, settings::Settings};
use oatloom_web::client::HttpClient;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const KEY_COUNT: u64 = 1_000_000;

fn create_client(address: &str) -> HttpClient {
    HttpClient::new(address, Millis(30_000), 16 * 1024 * 1024)
}

/// Runs a service on a thread of this process until the process ends. Returns its address.
fn start_service(directory: &Path, settings: Settings) -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let (ready, is_ready) = std::sync::mpsc::channel();
    let (listen_address, data_directory) = (address.clone(), directory.to_owned());
    std::thread::spawn(move || {
        let result = service::run(&listen_address, &data_directory, settings, || {
            ready.send(()).expect("a receiver")
        });
        eprintln!("{result:?}");
    });
    is_ready.recv().expect("serving");
    address
}

/// Makes `count` changes in total from `client_count` clients, each to its own keys. Returns the time taken.
fn measure_changes(address: &str, client_count: u64, count: u64) -> Duration {
    let barrier = std::sync::Barrier::new(client_count as usize + 1);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..client_count)
            .map(|client_index| {
                let barrier = &barrier;
                let share = count / client_count + u64::from(client_index < count % client_count);
                scope.spawn(move || {
                    let client = create_client(address);
                    let _ = client.get("/status");
                    barrier.wait();
                    for n in 0..share {
                        let value = json!({"job": "req-000412", "task": n, "host": "i-000231"});
                        let put =
                            json!({"put": format!("asg/{client_index}/{}", n % 50), "data": value});
                        let reply = client.post("/multi", &json!({"when": [], "then": [put]}));
                        assert!(matches!(reply, Some((200, _))));
                    }
                })
            })
            .collect();
        barrier.wait();
        let started_at = Instant::now();
        threads.into_iter().for_each(|t| t.join().expect("a client"));
        started_at.elapsed()
    })
}

fn bench_changes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("changes");
    group
        .sample_size(10)
        .measurement_time(Duration::from_secs(4))
        .throughput(Throughput::Elements(1));
    for sync in [true, false] {
        let directory = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a directory");
        let address = start_service(directory.path(), Settings { sync, ..Settings::default() });
        for client_count in [1, 16, 256] {
            let name =
                format!("{client_count} clients, {}", if sync { "fsync" } else { "no fsync" });
            group.bench_function(name, |bencher| {
                bencher.iter_custom(|count| measure_changes(&address, client_count, count));
            });
        }
    }
}

/// Writes a snapshot with `KEY_COUNT` keys to the directory.
fn write_snapshot(directory: &Path) {
    let mut writer = SnapshotWriter::new(Directory::new(directory));
    let value = r#"{"d":"ffff00","a":[[3,41231,"i-000231",1,"a"]],"u":["red",8.0,1.0,64.0,16]}"#;
    let make_row = |n: u64| SnapshotRow {
        key: format!("asg/req-{n:08}/0000").into(),
        value: value.into(),
        revision: n + 1,
        lease: 0,
    };
    writer.execute(&SnapshotStep::Begin).expect("begin the snapshot");
    for first in (0..KEY_COUNT).step_by(1_000) {
        writer
            .execute(&SnapshotStep::Rows((first..first + 1_000).map(make_row).collect()))
            .expect("write rows");
    }
    let footer = SnapshotFooter {
        row_count: KEY_COUNT,
        first_group: 1,
        revision: KEY_COUNT,
        ..SnapshotFooter::default()
    };
    writer.execute(&SnapshotStep::Close(footer)).expect("close the snapshot");
}

fn read_resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok()).unwrap_or(0);
    pages * 4096
}

fn bench_recovery(criterion: &mut Criterion) {
    let directory = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a directory");
    write_snapshot(directory.path());
    let bytes_before = read_resident_bytes();
    let recovered =
        recover(&mut Directory::new(directory.path()), Mono(0)).expect("a valid directory");
    let bytes_per_key = (read_resident_bytes() - bytes_before) / recovered.keyspace.len() as u64;
    println!("memory: {bytes_per_key} bytes per key (keys of 21 bytes, values of 77)");
    drop(recovered);
    let mut group = criterion.benchmark_group("start");
    group.sample_size(10);
    group.bench_function("1,000,000 keys", |bencher| {
        bencher.iter(|| {
            recover(&mut Directory::new(directory.path()), Mono(0)).expect("a valid directory")
        });
    });
}

/// Measures the latency of changes, first without other load, then while a snapshot is taken.
fn measure_snapshot_latency() {
    let directory = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a directory");
    write_snapshot(directory.path());
    let address =
        start_service(directory.path(), Settings { snapshot_mb: 4.0, ..Settings::default() });
    let get_snapshot_count = |client: &HttpClient| -> u64 {
        let (_, body) = client.get("/status").expect("a reply");
        serde_json::from_slice::<StateStatus>(&body).expect("a status").snapshots
    };
    let client = create_client(&address);
    let initial_count = get_snapshot_count(&client);
    let (mut idle, mut busy) =
        (Histogram::<u64>::new(3).expect("a histogram"), Histogram::new(3).expect("a histogram"));
    let probe = |histogram: &mut Histogram<u64>, n: u64| {
        let started_at = Instant::now();
        let put = json!({"put": format!("probe/{}", n % 10), "data": "x".repeat(40)});
        assert!(matches!(client.post("/multi", &json!({"then": [put]})), Some((200, _))));
        let _ = histogram.record(started_at.elapsed().as_micros() as u64);
    };
    (0..5_000).for_each(|n| probe(&mut idle, n));
    // Fills the log until a snapshot starts, and measures until it is completed.
    let filler = {
        let address = address.clone();
        std::thread::spawn(move || {
            let client = create_client(&address);
            for n in 0..400 {
                let put = json!({"put": format!("fill/{n}"), "data": "y".repeat(15_000)});
                let _ = client.post("/multi", &json!({"then": [put]}));
            }
        })
    };
    let mut n = 0;
    while get_snapshot_count(&client) == initial_count && n < 400_000 {
        probe(&mut busy, n);
        n += 1;
    }
    filler.join().expect("the filler");
    let print_latency = |name: &str, h: &Histogram<u64>| {
        let quantile_ms = |q| h.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "pause: {name}: {} changes, p50 {:.2} ms, p99 {:.2} ms, longest {:.2} ms",
            h.len(),
            quantile_ms(0.5),
            quantile_ms(0.99),
            h.max() as f64 / 1_000.0
        );
    };
    print_latency("no snapshot", &idle);
    print_latency("during a snapshot of 1,000,000 keys", &busy);
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_changes(&mut criterion);
    bench_recovery(&mut criterion);
    measure_snapshot_latency();
    criterion.final_summary();
}
