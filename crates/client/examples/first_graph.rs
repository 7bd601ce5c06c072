//! Runs a small graph against `oatloomctl up --operators deploy/graphs.sample.lisp`: three nodes, and one that depends
//! on them.

use oatloom_client::graphs::GraphOptions;
use oatloom_client::{Controllers, Session};
use oatloom_graph::ids::GraphId;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let addresses: Vec<String> = (0..3).map(|n| format!("127.0.0.1:{}", 18_080 + n)).collect();
    let unix_time_s = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_secs();
    let session = Session::open(Controllers::new(&addresses), "first", "change-me", "red", 30.0)?;
    let id = GraphId::parse(&format!("graph-{}", unix_time_s % 10_000_000_000))
        .ok_or("invalid graph id")?;
    let mut graph = session.create_graph(id, &GraphOptions::new("quick"))?;
    let spec =
        r#"{"num_cpus": 1.0, "memory": 1e9, "expectS": 2.0, "bundle": "img-0", "pullGb": 1.0}"#;
    graph.define_kind("part", serde_json::from_str(spec)?);
    for part in ["a", "b", "c"] {
        graph.add_node(part, "part", &[])?;
    }
    graph.add_node("sum", "part", &["a", "b", "c"])?.send(true)?;
    let view =
        graph.watch().wait_until_final(|node| println!("{}: {:?}", node.name, node.status))?;
    println!("{id}: {:?}", view.status);
    session.close()?;
    Ok(())
}
