//! Requests and stored records with randomly changed bytes. Nothing may panic, and damaged records of one graph may end
//! only that graph.

use oatloom_graph::answers::GraphView;
use oatloom_graph::graph_table::{
    FinishedJob, GraphTable, LoadRead, RequestContext, RequestOutcome,
};
use oatloom_graph::ids::{GraphId, JobSeq};
use oatloom_graph::limits::Limits;
use oatloom_graph::model::{Model, RecordSpace};
use oatloom_graph::open_graph::{EndReason, Phase};
use oatloom_graph::records::{
    GraphHead, GraphPart, GraphPartEnd, OPEN_GRAPHS_PREFIX, Page, SESSIONS_PREFIX, final_graph_key,
    head_key, page_key, session_key,
};
use oatloom_graph::requests::{AddNodes, GetGraph, GraphRequest, OnFailure, check};
use oatloom_graph::sessions::hash_key;
use oatloom_protocol::ids::{Mono, Now, Revision, Token};
use oatloom_protocol::wire::{Change, Condition, JobStatus, Rank, Row};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const RECORD_SPACE: RecordSpace = RecordSpace { value_bytes: 8_192, value_count: 14 };

fn addition(prefix: &str) -> AddNodes {
    let node = |n: u32, needs: &[u32]| {
        let needs: Vec<String> = needs.iter().map(|n| format!("{prefix}{n}")).collect();
        json!({"name": format!("{prefix}{n}"), "kind": if n == 2 { "crew" } else { "k" }, "needs": needs, "shards": 1 + n / 2})
    };
    serde_json::from_value(json!({"key": "secret-1", "addition": "a", "seal": true,
        "kinds": {"k": {"num_cpus": 1.0, "expectS": 3.0}, "crew": {"shape": "gang", "num_cpus": 1.0, "max_retries": 2}},
        "nodes": [node(0, &[]), node(1, &[0]), node(2, &[0, 1]), node(3, &[]), node(4, &[3, 2])]}))
    .expect("an addition")
}

fn graph_id(number: u64) -> GraphId {
    GraphId::parse(&format!("graph-{number}")).expect("an id")
}

/// The records of two graphs in the state service.
fn stored_records() -> BTreeMap<String, Value> {
    let mut rows = BTreeMap::new();
    let key = hash_key("secret-1");
    rows.insert(session_key("s"), json!({"k": key, "o": "red", "t": 20_000}));
    for number in 1..3 {
        let head = GraphHead {
            session: "s".into(),
            key: key.clone(),
            owner: "red".into(),
            class: "c".into(),
            rank: Rank::High,
            due_s: Some(60.0),
            on_failure: OnFailure::FinishIndependent,
            detached: false,
            wall_ms: 1_000,
            cancelled: false,
        };
        rows.insert(head_key(graph_id(number)), json!(head));
        let pages =
            Model::default().prepare(&addition("n"), 7, RECORD_SPACE).expect("a graph").pages;
        for (page, value) in pages.iter().enumerate() {
            rows.insert(page_key(graph_id(number), page as u32), json!(value));
        }
    }
    rows
}

/// Changes some bytes of a value's JSON text. If the result is not valid JSON, the text becomes a JSON string.
fn damage(value: &Value, rng: &mut ChaCha8Rng) -> Value {
    let mut text = value.to_string().into_bytes();
    for _ in 0..rng.random_range(1..4) {
        let index = rng.random_range(0..text.len());
        match rng.random_range(0..4) {
            0 => text[index] = rng.random_range(b' '..b'~'),
            1 => _ = text.remove(index),
            2 => text.insert(index, b'9'),
            _ => text.swap(index, 0),
        }
        if text.is_empty() {
            break;
        }
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    serde_json::from_str(&text).unwrap_or(Value::String(text))
}

fn rows(stored_records: &BTreeMap<String, Value>, prefix: &str) -> Vec<Row> {
    let matching = stored_records.iter().filter(|(key, _)| key.starts_with(prefix));
    let row = |(key, value): (&String, &Value)| Row {
        key: key.clone(),
        value: value.clone(),
        version: Revision(3),
        lease: None,
    };
    matching.map(row).collect()
}

/// Loads the stored records as a new leader does; `finished` are the final states of jobs.
fn load(stored_records: &BTreeMap<String, Value>, finished: Vec<FinishedJob>) -> GraphTable {
    let now = Now { mono: Mono(50_000), wall_ms: 60_000 };
    let mut table = GraphTable::new(Limits::default(), Token(9), RECORD_SPACE, now.mono);
    let mut finished = Some(finished);
    while let Some(read) = table.next_read() {
        match read {
            LoadRead::Key(_) => table.load_session_count(Revision(2)),
            LoadRead::List { prefix, .. } => {
                assert!(prefix == SESSIONS_PREFIX || prefix == OPEN_GRAPHS_PREFIX);
                table.load_rows(rows(stored_records, &prefix), false, now);
            }
            LoadRead::FinishedJobs { .. } => {
                table.load_finished_jobs(
                    finished.take().unwrap_or_default(),
                    None,
                    &|_| Vec::new(),
                    now.mono,
                );
            }
        }
    }
    table
}

/// Writes until the queue is empty, with a state service that accepts everything; jobs end at once.
fn write_all(table: &mut GraphTable) -> BTreeMap<String, Value> {
    let mut written = BTreeMap::new();
    for round in 0..200u64 {
        let fence = Condition { key: "lead".into(), version: Revision(9) };
        let now = Now { mono: Mono(51_000 + round), wall_ms: 61_000 + round };
        let encode_job = |launch: &oatloom_graph::graph_table::JobLaunch| {
            (format!("live/{}", launch.id()), format!("over/{}", launch.id()), json!(launch.part))
        };
        let Some((txn, written_items)) = table.next_txn(fence, 16, now, &encode_job) else { break };
        for change in &txn.changes {
            if let Change::Put { key, value, .. } = change {
                written.insert(key.clone(), value.clone());
            }
        }
        table.committed(&written_items, Revision(100 + round));
        for effect in table.take_effects() {
            if let oatloom_graph::graph_table::Effect::Admit(launch, _) = effect {
                let end = GraphPartEnd {
                    nodes: launch.part.nodes.clone(),
                    done: Vec::new(),
                    failure_counts: Vec::new(),
                };
                table.on_job_finished(launch.id(), &end, JobStatus::Done, None);
            }
        }
    }
    written
}

#[test]
fn damaged_records_end_only_their_graph() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let (mut stopped_count, mut continued_count) = (0, 0);
    for _ in 0..1_500 {
        let mut records = stored_records();
        let keys: Vec<String> =
            records.keys().filter(|key| key.contains(&graph_id(1).digits())).cloned().collect();
        let key = &keys[rng.random_range(0..keys.len())];
        let damaged = damage(&records[key], &mut rng);
        records.insert(key.clone(), damaged);
        let mut table = load(&records, Vec::new());
        let is_stopped = table.graph(graph_id(1)).is_some_and(|open_graph| {
            matches!(
                &open_graph.phase,
                Phase::Stopping(EndReason::Damaged(_)) | Phase::Ending(EndReason::Damaged(_))
            )
        });
        let written = write_all(&mut table);
        let final_record = &written[&final_graph_key(graph_id(2))];
        assert_eq!(
            (&final_record["s"], &final_record["n"]),
            (&json!("done"), &json!(5)),
            "{key}: the undamaged graph must finish"
        );
        if is_stopped {
            stopped_count += 1;
            let final_record = &written[&final_graph_key(graph_id(1))];
            assert_eq!(final_record["s"], json!("cancelled"));
            assert!(
                final_record["w"].as_str().is_some_and(|reason| reason.contains("damaged")),
                "{final_record}"
            );
        } else {
            continued_count += 1;
        }
    }
    println!("{stopped_count} graphs ended by damage, {continued_count} continued");
    assert!(stopped_count > 500 && continued_count > 100);
}

#[test]
fn damaged_job_ends_and_requests_are_harmless() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    let end = json!({"n": [[0, 2], [3, 1]], "d": [0, 2], "c": [[1, 3]]});
    let add = json!(addition("m"));
    for _ in 0..3_000 {
        let read = serde_json::from_value::<GraphPartEnd>(damage(&end, &mut rng));
        let status =
            [JobStatus::Done, JobStatus::Failed, JobStatus::Cancelled][rng.random_range(0..3)];
        let ended = read.map(|end| FinishedJob {
            id: graph_id(1).job(JobSeq(4)),
            end,
            status,
            failure: None,
        });
        let mut table = load(&stored_records(), ended.into_iter().collect());
        let context = RequestContext { find_rejection: &|_| None, team_exists: &|_| true };
        if let Ok(add) = serde_json::from_value::<AddNodes>(damage(&add, &mut rng)) {
            let is_valid = check(&add).is_ok();
            let now = Now { mono: Mono(50_500), wall_ms: 60_500 };
            let outcome =
                table.handle_request(now, 1, &GraphRequest::Add(graph_id(2), add), &context);
            // The graph is sealed, so every addition must be rejected.
            let RequestOutcome::Reply(reply) = outcome else { panic!("the reply was deferred") };
            assert!(
                (400..500).contains(&reply.status) && is_valid == (reply.status != 400),
                "{reply:?}"
            );
        }
        if let Ok(part) = serde_json::from_value::<GraphPart>(damage(&end, &mut rng)) {
            let _ = (part.is_batch(), part.node(0), part.node(u32::MAX));
        }
        let now = Now { mono: Mono(50_600), wall_ms: 60_600 };
        let range = GetGraph { after: "9.99999999999".into(), max_nodes: 3 };
        if let RequestOutcome::Reply(reply) =
            table.handle_request(now, 1, &GraphRequest::GetGraph(graph_id(1), range), &context)
        {
            let view: GraphView = serde_json::from_str(&reply.body).expect("a view");
            assert!(view.changed.len() <= 3);
        }
        write_all(&mut table);
    }
    let page: Result<Page, _> = serde_json::from_value(
        json!({"q": "a", "h": 1, "b": 4_294_967_295u32, "n": [["x", 0, 1, []]]}),
    );
    assert!(Model::default().apply(&page.expect("readable"), 1).is_err());
}
