//! One sample of each kind of record and message, as JSON, with the type that writes and reads it. The version in production
//! wrote `tests/data/production.json` from the same samples.

use oatloom_core::jobs::{ChunkRecord, FinalRecord, LiveRecord};
use oatloom_core::mesh::{PeerReplyFrame, PeerRequestFrame};
use oatloom_graph::records as graph;
use oatloom_ledger::rollup::{Cursor, Rollup};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// A sample, and the functions that write and read it by the types of this version.
pub struct Sample {
    pub name: &'static str,
    pub text: Value,
    /// Writes the sample as it is stored or sent.
    pub write: fn(&Value) -> Result<String, String>,
    /// Reads a written sample and writes it again.
    pub rewrite: fn(&str) -> Result<String, String>,
}

fn write_json<T: Serialize + DeserializeOwned>(value: &Value) -> Result<String, String> {
    let read: T = serde_json::from_value(value.clone()).map_err(|e| e.to_string())?;
    serde_json::to_string(&read).map_err(|e| e.to_string())
}

fn rewrite_json<T: Serialize + DeserializeOwned>(written: &str) -> Result<String, String> {
    write_json::<T>(&serde_json::from_str(written).map_err(|e| e.to_string())?)
}

fn cbor_hex(value: &impl Serialize) -> Result<String, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|e| e.to_string())?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn write_cbor<T: Serialize + DeserializeOwned>(value: &Value) -> Result<String, String> {
    cbor_hex(&serde_json::from_value::<T>(value.clone()).map_err(|e| e.to_string())?)
}

fn rewrite_cbor<T: Serialize + DeserializeOwned>(written: &str) -> Result<String, String> {
    let byte = |at: usize| u8::from_str_radix(&written[at..at + 2], 16);
    let bytes: Result<Vec<u8>, _> = (0..written.len()).step_by(2).map(byte).collect();
    let bytes = bytes.map_err(|e| e.to_string())?;
    cbor_hex(&ciborium::from_reader::<T, _>(bytes.as_slice()).map_err(|e| e.to_string())?)
}

fn record<T: Serialize + DeserializeOwned>(name: &'static str, value: Value) -> Sample {
    Sample { name, text: value, write: write_json::<T>, rewrite: rewrite_json::<T> }
}

fn message<T: Serialize + DeserializeOwned>(name: &'static str, value: Value) -> Sample {
    Sample { name, text: value, write: write_cbor::<T>, rewrite: rewrite_cbor::<T> }
}

fn spec() -> Value {
    json!({"nameId": "req-000412", "jobclass": "train", "owner": "vision", "shape": "group", "rank": "high",
        "shards": 16, "cpus": 8.0, "gpus": 1.0, "memoryGb": 64.0, "bundle": "img-07", "pullGb": 6.2,
        "flavors": ["g8"], "yard": null, "samePlace": true, "spread": false, "loaners": true, "expectS": 240.0,
        "snapshotS": 30.0, "flushS": 4.0, "dueS": 900.0})
}

fn report() -> Value {
    json!({"host": "i-000231", "addr": "10.1.0.232:9000", "flavor": "g8", "yard": "a", "loaners": true,
        "shift": 1, "tally": 88, "baton": 41, "warningS": 12.5, "shards": [
            {"shard": "req-000412/3", "try": 2, "status": "running"},
            {"shard": "req-000398/0", "try": 1, "status": "ended", "cause": "done"}]})
}

fn gossip() -> Value {
    json!({"version": 1, "from": "n-1", "incarnation": {"started_ms": 1000, "nonce": 7}, "at_ms": 2000,
        "ready": true, "store_ms": 12, "leader": ["n-0", 41],
        "words": [{"member": "n-2", "incarnation": {"started_ms": 900, "nonce": 8}, "heard_ms": 300}]})
}

fn usage_by_day() -> Value {
    json!({"20789": [["g8", "a", 1, "done", [3, 9000, 8000, 7000, 0, 1000, 0, 64000, 8000, 512000, 26]]]})
}

fn failure() -> Value {
    json!({"jobclass": "train", "shard": "req-000412/3", "failures": 4, "repeats": 3,
        "causes": [{"host": "i-000231", "cause": "error", "number": 3}, {"cause": "error", "number": 1}]})
}

fn peer_request(question: Value) -> Value {
    json!({"id": 77, "question": question})
}

pub fn all() -> Vec<Sample> {
    let assignments =
        json!([[3, 43_000_001, "i-000231", 1, "a"], [5, 43_000_002, "i-000007", 2, "b"]]);
    let size = json!(["vision", 8.0, 1.0, 64.0, 16]);
    let charges =
        json!({"h": ["i-000231", "i-000007"], "x": [1], "f": [[3, 0, 2], [5, 65_535, 1]], "g": 9});
    let leader_hints = json!({"token": 41, "leader": "n-0", "images": [["i-000231", [["img-07", 6.2]]]],
        "shown": [["train", 1.2]], "arrivals": [[spec(), [10, 2000]]], "gossip": gossip(),
        "zones": [{"zone": "a", "lost_ms": 500, "mute": false, "losses": 1, "last_ms": 500}]});
    let key = json!({"key": "secret-key-1"});
    vec![
        record::<LiveRecord>("live", json!({"s": spec(), "t": 1000})),
        record::<LiveRecord>(
            "live of a graph",
            json!({"s": spec(), "t": 1000, "g": {"n": [[4, 16]], "r": 2, "a": true}}),
        ),
        record::<ChunkRecord>("assignments", json!({"d": "1", "a": assignments, "u": size})),
        record::<ChunkRecord>(
            "assignments, failures and usage",
            json!({"d": "0", "a": assignments, "u": size, "e": charges, "l": usage_by_day()}),
        ),
        record::<FinalRecord>("over, done", json!({"s": "done", "n": 16})),
        record::<FinalRecord>(
            "over, cancelled",
            json!({"s": "cancelled", "n": 3, "u": {"t": "vision", "c": "train", "d": usage_by_day()}}),
        ),
        record::<FinalRecord>(
            "over, failed",
            json!({"s": "failed", "n": 0, "f": failure(), "g": {"n": [[4, 2]], "d": [0], "c": [[1, 4]]}}),
        ),
        record::<Rollup>("roll-up", json!({"r": 99, "t": usage_by_day()["20789"], "g": true})),
        record::<Cursor>("cursor", json!({"r": 99, "d": 20_788})),
        record::<graph::SessionRecord>(
            "session",
            json!({"k": "hash", "o": "vision", "t": 60_000, "x": true}),
        ),
        record::<graph::GraphHead>(
            "graph",
            json!({"s": "s-1", "k": "hash", "o": "vision", "c": "train", "r": "high", "d": 900.0, "l": true, "w": 1000}),
        ),
        record::<graph::Page>(
            "graph page",
            json!({"q": "a1", "h": 7, "k": [["k", {"num_cpus": 1.0}]], "b": 0, "n": [["n", 0, 1, []], ["m", 0, 2, [0]]], "z": true}),
        ),
        record::<graph::FinalRecord>(
            "graph over",
            json!({"s": "failed", "k": "hash", "n": 2, "c": [1, 1, 0, 0], "p": 1, "f": {"node": "m", "failure": failure()}, "w": "a node failed"}),
        ),
        record::<graph::FinalPage>(
            "graph over page",
            json!({"n": [["n", 1, "d"], ["m", 2, "f"]], "f": [{"node": "m"}]}),
        ),
        message::<PeerRequestFrame>("ask: view", peer_request(json!({"View": "req-000412"}))),
        message::<PeerRequestFrame>("ask: abort", peer_request(json!({"Abort": "req-000412"}))),
        message::<PeerRequestFrame>("ask: submit", peer_request(json!({"Submit": spec()}))),
        message::<PeerRequestFrame>("ask: report", peer_request(json!({"Report": report()}))),
        message::<PeerRequestFrame>("ask: notes", peer_request(json!({"Notes": leader_hints}))),
        message::<PeerRequestFrame>("ask: greet", peer_request(json!({"Greet": gossip()}))),
        message::<PeerRequestFrame>(
            "ask: graph",
            peer_request(json!({"Graph": {"Cancel": ["graph-7", key]}})),
        ),
        message::<PeerReplyFrame>(
            "told",
            json!({"id": 77, "reply": {"status": 503, "body": "{}", "retry_after_s": 1}}),
        ),
    ]
}
