//! Tests of the real process over HTTP. The first kills it repeatedly (SIGKILL) while clients write, and guards against
//! acknowledged changes that are missing after a restart. `OATLOOM_KILLS=n` sets the number of kills.

use oatloom_protocol::ids::Millis;
use oatloom_protocol::wire::{Changes, Page, Row, StateStatus};
use oatloom_web::client::HttpClient;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const WRITER_COUNT: usize = 6;
const KEYS_PER_WRITER: u64 = 5;

fn find_free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

fn build_command(address: &str, data_directory: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oatloom-state"));
    command.args(["--listen", address, "--data"]).arg(data_directory).args(arguments);
    command.env("LOG_LEVEL", "error").stdin(Stdio::null());
    command
}

fn create_client(address: &str) -> HttpClient {
    HttpClient::new(address, Millis(2_000), 16 * 1024 * 1024)
}

fn get_json<T: serde::de::DeserializeOwned>(client: &HttpClient, path: &str) -> Option<(u16, T)> {
    let (status, body) = client.get(path)?;
    Some((status, serde_json::from_slice(&body).ok()?))
}

fn wait_until_ready(client: &HttpClient) -> StateStatus {
    let start = Instant::now();
    loop {
        if let Some((200, status)) = get_json(client, "/status") {
            return status;
        }
        assert!(start.elapsed() < Duration::from_secs(10), "not ready within 10 s");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A key of a writer: the last value requested, the last one acknowledged, and its revision.
#[derive(Clone, Copy, Default)]
struct WriterKey {
    requested: u64,
    acknowledged: u64,
    revision: u64,
}

/// Writes increasing numbers, each on condition that the key has the revision of the last one, until a request fails.
/// Returns the last acknowledged revision.
fn write_until_failure(
    address: &str,
    writer: usize,
    keys: &mut [WriterKey],
    stop: &AtomicBool,
) -> u64 {
    let client = create_client(address);
    let mut revision = 0;
    for round in 0.. {
        let key = &mut keys[round % KEYS_PER_WRITER as usize];
        let path = format!("w{writer}/{}", round % KEYS_PER_WRITER as usize);
        key.requested += 1;
        let txn = json!({"when": [{"path": path, "stamp": key.revision}],
            "then": [{"put": path, "data": key.requested}, {"delete": "nothing/there"}]});
        match client.post("/multi", &txn) {
            Some((200, body)) => {
                let reply: serde_json::Value = serde_json::from_slice(&body).expect("a JSON reply");
                revision = reply["epoch"].as_u64().expect("a revision");
                (key.acknowledged, key.revision) = (key.requested, revision);
            }
            Some((status, body)) => {
                panic!("{path}: {status} {}", String::from_utf8_lossy(&body))
            }
            None => break,
        }
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    revision
}

/// After each kill, every key has a value between the last acknowledged and the last requested one, the revision has
/// not decreased, and a watch misses no change.
#[test]
fn acknowledged_changes_survive_kills() {
    let kill_count: u32 =
        std::env::var("OATLOOM_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(200);
    let temp_directory = tempfile::tempdir().expect("a directory");
    let settings = temp_directory.path().join("settings.lisp");
    // Small sizes, so that kills also happen during snapshots.
    std::fs::write(&settings, "((snapshot-mb . 0.05) (slice-rows . 4))").expect("write the file");
    let (address, data_directory) = (find_free_address(), temp_directory.path().join("state"));
    let file = settings.display().to_string();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut writer_keys = vec![[WriterKey::default(); KEYS_PER_WRITER as usize]; WRITER_COUNT];
    let (mut acknowledged_revision, mut watched_revision, mut written, mut compacted_count) =
        (0, 0, 0, 0);
    for kill in 0..=kill_count {
        let mut child = build_command(&address, &data_directory, &["--file", &file])
            .spawn()
            .expect("start the process");
        let client = create_client(&address);
        let status = wait_until_ready(&client);
        assert!(
            status.revision.0 >= acknowledged_revision,
            "the revision decreased from {acknowledged_revision} to {status:?}"
        );
        // Revisions skip no numbers: there is at most one for each requested change.
        let requested: u64 = writer_keys.iter().flatten().map(|key| key.requested).sum();
        assert!(
            status.revision.0 <= requested,
            "{status:?}, but only {requested} changes were requested"
        );
        for (writer, keys) in writer_keys.iter_mut().enumerate() {
            for (index, key) in keys.iter_mut().enumerate() {
                let path = format!("/keys/w{writer}/{index}");
                let (value, revision) = match get_json::<Row>(&client, &path) {
                    Some((200, row)) => (row.value.as_u64().expect("a number"), row.version.0),
                    _ => (0, 0),
                };
                let (min, max) = (key.acknowledged, key.requested);
                assert!((min..=max).contains(&value), "{path}: {value} not in {min}..={max}");
                (key.acknowledged, key.revision) = (value, revision);
            }
        }
        match client.get(&format!("/follow?prefix=w&after={watched_revision}")) {
            Some((410, _)) => compacted_count += 1,
            Some((200, body)) => {
                let changes: Changes = serde_json::from_slice(&body).expect("changes");
                assert_eq!(
                    changes.log.len() as u64,
                    changes.revision.0 - watched_revision,
                    "a watch missed changes"
                );
            }
            other => panic!("{other:?}"),
        }
        watched_revision = status.revision.0;
        if kill == kill_count {
            let (_, page): (u16, Page) = get_json(&client, "/keys?prefix=w").expect("a page");
            assert_eq!(page.rows.len(), WRITER_COUNT * KEYS_PER_WRITER as usize);
            kill_process(&mut child);
            break;
        }
        let stop = AtomicBool::new(false);
        acknowledged_revision = std::thread::scope(|scope| {
            let (address, stop) = (&address, &stop);
            let writers: Vec<_> = writer_keys
                .iter_mut()
                .enumerate()
                .map(|(w, keys)| scope.spawn(move || write_until_failure(address, w, keys, stop)))
                .collect();
            std::thread::sleep(Duration::from_micros(rng.random_range(500..60_000)));
            kill_process(&mut child);
            stop.store(true, Ordering::Relaxed);
            writers
                .into_iter()
                .map(|w| w.join().expect("a writer"))
                .max()
                .unwrap_or(0)
                .max(acknowledged_revision)
        });
        written = acknowledged_revision;
    }
    // Fails if the writers wrote too little for the test to mean anything.
    assert!(written > u64::from(kill_count) * 20, "{written} changes in {kill_count} runs");
    println!(
        "{written} changes in {kill_count} runs; {compacted_count} watches had to read all keys again"
    );
}

fn kill_process(child: &mut Child) {
    child.kill().expect("kill the process");
    child.wait().expect("wait for the process");
}

/// Errors at startup are reported with exit status 2 and, beyond the command line's syntax, in one line.
#[test]
fn startup_errors_are_one_line() {
    let temp_directory = tempfile::tempdir().expect("a directory");
    let (address, data_directory) = (find_free_address(), temp_directory.path().join("state"));
    let expect_failure =
        |address: &str, data_directory: &Path, arguments: &[&str], message: &str| {
            let output = build_command(address, data_directory, arguments)
                .output()
                .expect("start the process");
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(2), "{text}");
            assert!(text.contains(message), "{text}");
            text
        };
    let assert_one_line = |text: String| assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    expect_failure("nowhere", &data_directory, &[], "invalid value");
    expect_failure(&address, &data_directory, &["--loud"], "unexpected argument");
    assert_one_line(expect_failure(
        &address,
        &data_directory,
        &["--file", "/no/such/file"],
        "cannot be read",
    ));
    let bad_settings = temp_directory.path().join("bad.lisp");
    std::fs::write(&bad_settings, "((rps . -1))").expect("write the file");
    assert_one_line(expect_failure(
        &address,
        &data_directory,
        &["--file", &bad_settings.display().to_string()],
        "rps: must be",
    ));
    assert_one_line(expect_failure(&address, &bad_settings, &[], "bad.lisp: "));
    let mut child =
        build_command(&address, &data_directory, &[]).spawn().expect("start the process");
    wait_until_ready(&create_client(&address));
    assert_one_line(expect_failure(
        &find_free_address(),
        &data_directory,
        &[],
        "another process uses it",
    ));
    assert_one_line(expect_failure(
        &address,
        &temp_directory.path().join("other"),
        &[],
        "cannot listen",
    ));
    kill_process(&mut child);
    std::fs::write(data_directory.join("diary"), "x").expect("write the file");
    assert_one_line(expect_failure(
        &address,
        &data_directory,
        &[],
        "diary is not a file of this service",
    ));
    std::fs::remove_file(data_directory.join("diary")).expect("remove the file");
    let log = data_directory.join("log-00000000000000000001");
    std::fs::write(&log, b"oatlog\x09\x00").expect("write the file");
    assert_one_line(expect_failure(
        &address,
        &data_directory,
        &[],
        "is of format 9, which a later version wrote",
    ));
}

/// The protocol over HTTP: 400 for malformed requests, 429 for those beyond a rate limit, the expiry of a lease, and
/// watches that wait.
#[test]
fn requests_are_served_over_http() {
    let temp_directory = tempfile::tempdir().expect("a directory");
    let file = temp_directory.path().join("settings.lisp");
    std::fs::write(&file, "((rps . 40) (write-rps . 10) (txn-ops . 3))").expect("write the file");
    let (address, data_directory) = (find_free_address(), temp_directory.path().join("state"));
    let file = file.display().to_string();
    let mut child = build_command(&address, &data_directory, &["--file", &file])
        .spawn()
        .expect("start the process");
    let client = create_client(&address);
    wait_until_ready(&client);
    let get_status = |reply: Option<(u16, Vec<u8>)>| reply.expect("a reply").0;
    let put = |key: &str, revision: u64| {
        let txn = json!({"when": [{"path": key, "stamp": revision}],
            "then": [{"put": key, "data": {"k": key}}]});
        client.post("/multi", &txn)
    };
    assert_eq!(get_status(put("a/b", 0)), 200);
    assert_eq!(get_status(put("a/b", 0)), 409);
    assert_eq!(get_status(client.post("/multi", &json!([]))), 400);
    assert_eq!(
        get_status(client.post("/multi", &json!({"then": vec![json!({"delete": "x"}); 4]}))),
        400
    );
    assert_eq!(get_status(client.get("/keys/a/b")), 200);
    assert_eq!(get_status(client.get("/keys/a/c")), 404);
    let (_, body) = client.post("/grants", &json!({"ttlMs": 100})).expect("a reply");
    let lease =
        serde_json::from_slice::<serde_json::Value>(&body).expect("JSON")["tenancy"].clone();
    let txn = json!({"then": [{"put": "leased", "data": 1, "tenancy": lease}]});
    assert_eq!(get_status(client.post("/multi", &txn)), 200);
    let (_, body) = client.get("/follow?prefix=leased&after=2&holdMs=3000").expect("a reply");
    let changes: Changes = serde_json::from_slice(&body).expect("changes");
    assert_eq!(changes.log[0].delete.as_deref(), Some("leased"), "{changes:?}");
    assert_eq!(get_status(client.post(&format!("/grants/{lease}/touch"), &json!({}))), 404);
    assert_eq!(get_status(client.post("/multi", &txn)), 400, "no such lease");
    let started_at = Instant::now();
    let (code, body) = client.get("/follow?prefix=zzz&after=3&holdMs=150").expect("a reply");
    assert!(code == 200 && started_at.elapsed() >= Duration::from_millis(140));
    assert!(String::from_utf8_lossy(&body).contains("\"log\":[]"));
    let codes: Vec<u16> = (0..15).map(|n| get_status(put(&format!("n/{n}"), 0))).collect();
    assert!(codes.contains(&200) && codes.contains(&429), "{codes:?}");
    kill_process(&mut child);
}
