//! One controller over real sockets on loopback, with HTTP stubs of the state service and the cloud.

#[allow(dead_code)]
#[path = "world/state.rs"]
mod state;

use oatloom_core::operators::OperatorSettings;
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::{LeaseId, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_web::server;
use serde_json::{Value, json};
use state::State;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections that a stub accepts; a controller opens some twenty to each service.
const MAX_STUB_CONNECTIONS: usize = 100;

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Starts a server that answers each request with `answer` on a separate thread. The server uses no thread per
/// connection. Guards against submissions that time out: a server with a pool of threads left a new connection unserved
/// until another one closed, if two connections arrived before an idle thread woke up.
fn serve(answer: impl Fn(&str, &str, &str) -> (u16, Value) + Send + Sync + 'static) -> String {
    let read = |method: &str, url: &str, body: &[u8]| {
        Ok((method.to_owned(), url.to_owned(), String::from_utf8_lossy(body).into_owned()))
    };
    let (sender, requests) = std::sync::mpsc::channel();
    let deliver = move |incoming| sender.send(incoming).is_ok();
    let replies =
        server::start("127.0.0.1:0", MAX_STUB_CONNECTIONS, read, deliver).expect("a server");
    let address = replies.address().to_string();
    let (answer, replies) = (Arc::new(answer), Arc::new(replies));
    std::thread::spawn(move || {
        for incoming in requests {
            let (answer, replies) = (answer.clone(), replies.clone());
            std::thread::spawn(move || {
                let (method, url, body) = &incoming.request;
                let (status, value) = answer(method, url, body);
                replies.send(incoming.caller, HttpReply::json(status, &value));
            });
        }
    });
    address
}

fn state_service() -> String {
    let state = Mutex::new(State::default());
    let start = Instant::now();
    serve(move |method, url, body| {
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default().to_owned();
        let id = || LeaseId(path.split('/').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0));
        let op = match (method, path) {
            ("GET", "/keys") => StoreOp::List { prefix: text("prefix"), after: text("after") },
            ("GET", "/follow") => {
                std::thread::sleep(Duration::from_millis(50));
                let after = Revision(text("after").parse().unwrap_or(0));
                StoreOp::Follow { prefix: text("prefix"), after }
            }
            ("GET", key) => StoreOp::Get { key: key.trim_start_matches("/keys/").into() },
            ("POST", "/multi") => StoreOp::Txn(serde_json::from_str(body).expect("a transaction")),
            ("POST", "/grants") => {
                let ttl: Value = serde_json::from_str(body).expect("a lease");
                StoreOp::Grant { ttl_ms: ttl["ttlMs"].as_u64().expect("a time") }
            }
            ("POST", _) => StoreOp::Touch { lease: id() },
            _ => StoreOp::Revoke { lease: id() },
        };
        let mut state = state.lock().expect("the state");
        let now = start.elapsed().as_millis() as u64;
        state.expire(now);
        match state.execute(now, &op) {
            StoreReply::Found(row) => (200, json!(row)),
            StoreReply::Missing(revision) => (404, json!({ "epoch": revision })),
            StoreReply::Page(page) => (200, json!(page)),
            StoreReply::Committed(revision) => (200, json!({ "epoch": revision })),
            StoreReply::Conflict(failed) => (409, json!({ "failed": failed, "epoch": 0 })),
            StoreReply::Granted(lease) => (200, json!({ "tenancy": lease })),
            StoreReply::Touched => (200, json!({})),
            StoreReply::Changes(changes) => (200, json!(changes)),
            StoreReply::NoSuchLease => (404, json!({})),
            other => (400, json!({ "error": format!("{other:?}") })),
        }
    })
}

fn cloud() -> String {
    serve(|method, url, _| match (method, url) {
        ("GET", "/catalog") => {
            let flavor = json!({"label": "g4", "cpus": 32.0, "gpus": 4.0, "memoryGb": 64.0,
                "localGb": 50.0, "fetchGbPerS": 1.0, "rate": 4.0, "spotPrice": 2.0, "readyS": 5.0,
                "yards": ["a", "b"]});
            (200, json!({ "flavors": [flavor] }))
        }
        ("GET", _) => (200, json!({ "hosts": [], "more": false })),
        ("POST", "/machines") => (503, json!({ "error": "no capacity" })),
        _ => (200, json!({})),
    })
}

struct Node {
    agent: ureq::Agent,
    base: String,
}

impl Node {
    fn request(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
    ) -> (u16, Value, Option<String>) {
        let url = format!("{}{path}", self.base);
        let response = match (method, body) {
            ("POST", body) => self.agent.post(url).send(body.unwrap_or_default()),
            _ => self.agent.get(url).call(),
        };
        let Ok(mut response) = response else { return (0, Value::Null, None) };
        let retry_after = response.headers().get("Retry-After");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let text = response.body_mut().read_to_string().unwrap_or_default();
        (response.status().as_u16(), serde_json::from_str(&text).unwrap_or_default(), retry_after)
    }

    fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < Duration::from_secs(20), "{condition}: not within 20 s");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

fn start(sockets: usize) -> Node {
    let (listen, mesh, state, cloud) = (free_address(), free_address(), state_service(), cloud());
    let text = format!(
        r#"
member = "n-0"
location = "a"
serve_on = "{listen}"
mesh_addr = "{mesh}"
[endpoints]
cloud = "{cloud}"
state = "{state}"
[facts]
zones = ["a", "b"]
clock_off_ms = 10.0
[[facts.teams]]
name = "red"
gpus_max = 8.0
[facts.workers]
report_s = 3.0
lease_s = 26.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 46.0
[facts.state]
rps = 200.0
write_rps = 100.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 6.0
list_lag_s = 4.0
[facts.limits]
memory_mb = 100.0
sockets = {sockets}
"#
    );
    let settings = oatloom::settings::parse_platform_settings(&text).expect("valid settings");
    std::thread::spawn(move || oatloom::runtime::run(settings, OperatorSettings::default()));
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    let config = config.timeout_global(Some(Duration::from_secs(5))).build();
    Node { agent: ureq::Agent::new_with_config(config), base: format!("http://{listen}") }
}

fn job(id: &str, gpus: f64) -> String {
    json!({"nameId": id, "jobclass": "c", "owner": "red", "shape": "sweep", "rank": "standard",
        "shards": 1, "cpus": 1.0, "gpus": gpus, "memoryGb": 1.0, "bundle": "img", "pullGb": 1.0,
        "samePlace": false, "spread": false, "loaners": false, "expectS": 5.0, "snapshotS": 0.0,
        "flushS": 0.0, "padding": "x".repeat(2_000)})
    .to_string()
}

fn report(report_seq: u64, token: u64, tasks: Value) -> String {
    json!({"host": "i-000001", "addr": "127.0.0.1:9", "flavor": "g4", "yard": "a",
        "loaners": false, "shift": 1, "tally": report_seq, "baton": token, "warningS": null,
        "shards": tasks})
    .to_string()
}

/// Submission, task completion and cancellation, as seen by users and a worker.
#[test]
fn a_controller_serves_users_and_workers_over_http() {
    let node = start(1_000);
    node.wait_until("up", |n| n.request("GET", "/up", None).0 == 200);
    // The body is too large to arrive together with the header, so it is read separately.
    let submit = |id, gpus| {
        let (status, answer, _) = node.request("POST", "/v2/runs", Some(job(id, gpus)));
        println!("submission of {id}: {status} {answer}");
        status
    };
    assert_eq!(submit("req-000001", 1.0), 201);
    assert_eq!(submit("req-000001", 1.0), 200);
    assert_eq!(submit("req-000002", 9.0), 422);
    assert_eq!(submit("req-000001", 9.0), 200, "the id is known, so the spec is not validated");
    assert_eq!(submit("other-1", 1.0), 400);
    assert_eq!(node.request("POST", "/v2/runs", Some("{".into())).0, 400);
    assert_eq!(node.request("POST", "/v2/runs", Some("x".repeat(70_000))).0, 413);
    assert_eq!(node.request("GET", "/v2/runs/req-000009", None).0, 404);
    assert_eq!(node.request("GET", "/elsewhere", None).0, 404);

    let mut report_seq = 1;
    let mut send_report = |token: u64, tasks: Value| {
        report_seq += 1;
        let (status, answer, _) =
            node.request("POST", "/v1/report", Some(report(report_seq, token, tasks)));
        assert_eq!(status, 200, "{answer}");
        answer
    };
    let token = send_report(0, json!([]))["baton"].as_u64().expect("a token");
    let start = Instant::now();
    let run = loop {
        let answer = send_report(token, json!([]));
        if let Some(order) = answer["orders"].as_array().and_then(|o| o.first()) {
            break order.clone();
        }
        assert!(start.elapsed() < Duration::from_secs(20), "no start command");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!((&run["verb"], &run["shard"]), (&json!("run"), &json!("req-000001/0")));
    let ended = json!([{"shard": run["shard"], "try": run["try"], "status": "ended",
        "cause": "done"}]);
    send_report(token, ended.clone());
    node.wait_until("done", |n| {
        n.request("GET", "/v2/runs/req-000001", None).1["status"] == "done"
    });
    let forget = send_report(token, ended);
    assert_eq!(forget["orders"][0]["verb"], "forget");
    assert_eq!(submit("req-000001", 1.0), 200, "a finished job is still known");

    assert_eq!(submit("req-000003", 1.0), 201);
    let cancel = || node.request("POST", "/v2/runs/req-000003/abort", None).1["status"].clone();
    assert_eq!((cancel(), cancel()), (json!("cancelled"), json!("cancelled")));
    let (status, done, _) = node.request("POST", "/v2/runs/req-000001/abort", None);
    assert_eq!((status, &done["status"]), (200, &json!("done")));
}

/// Whether the peer has closed the connection.
fn is_closed(mut stream: &std::net::TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    matches!(std::io::Read::read(&mut stream, &mut [0]), Ok(0))
}

/// Connections use no threads of their own. Those beyond the limit affect no others: they wait in the
/// system's backlog until idle ones are closed, and are then answered. Guards against a thread per connection: the
/// listener stopped for good once no further thread could be created.
#[test]
fn connections_are_bounded_and_the_listener_continues() {
    let node = start(300);
    node.wait_until("up", |n| n.request("GET", "/up", None).0 == 200);
    let count_entries = |directory: &str| std::fs::read_dir(directory).map_or(0, Iterator::count);
    let (count_threads, count_descriptors) =
        (|| count_entries("/proc/self/task"), || count_entries("/proc/self/fd"));
    let address = node.base.trim_start_matches("http://").to_owned();
    let (before, open) = (count_threads(), count_descriptors());
    let connect = |_| std::net::TcpStream::connect(&address).expect("accepted");
    let idle: Vec<_> = (0..190).map(connect).collect();
    assert_eq!(node.request("GET", "/up", None).0, 200);
    assert!(count_threads() < before + 150, "{before} threads, then {}", count_threads());
    let over_limit: Vec<_> = (0..60).map(connect).collect();
    // With a hundred sockets reserved for its own calls, it accepts at most two hundred. Both ends of each connection are in
    // this process, and the other tests open some as well.
    let accepted_count = count_descriptors().saturating_sub(open + idle.len() + over_limit.len());
    assert!(accepted_count <= 200 + 60, "{accepted_count} connections are accepted");
    node.wait_until("idle connections are closed", |_| idle.iter().any(is_closed));
    for mut stream in &over_limit {
        std::io::Write::write_all(&mut stream, b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .expect("sent");
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let mut start = [0; 12];
        std::io::Read::read_exact(&mut stream, &mut start).expect("answered");
        assert_eq!(&start, b"HTTP/1.1 200");
    }
    drop((idle, over_limit));
    node.wait_until("served again", |n| n.request("GET", "/up", None).0 == 200);
}

/// Without the state service, workers and users get 503 at once.
#[test]
fn a_controller_without_its_backends_answers_at_once() {
    let listen = free_address();
    let text = include_str!("sample.toml").replace("127.0.0.1:8080", &listen);
    let text = text.replace("127.0.0.1:8081", &free_address());
    let text = text.replace("127.0.0.1:1\"", &format!("{}\"", free_address()));
    let text = text.replace("127.0.0.1:2\"", &format!("{}\"", free_address()));
    let settings = oatloom::settings::parse_platform_settings(&text).expect("valid settings");
    std::thread::spawn(move || oatloom::runtime::run(settings, OperatorSettings::default()));
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let node =
        Node { agent: ureq::Agent::new_with_config(config), base: format!("http://{listen}") };
    node.wait_until("answers", |n| n.request("GET", "/up", None).0 == 503);
    let sent_at = Instant::now();
    let (status, _, retry_after) = node.request("POST", "/v2/runs", Some(job("req-000001", 1.0)));
    assert_eq!((status, retry_after.as_deref()), (503, Some("1")));
    assert_eq!(node.request("POST", "/v1/report", Some(report(1, 0, json!([])))).0, 503);
    assert!(sent_at.elapsed() < Duration::from_secs(1));
}
