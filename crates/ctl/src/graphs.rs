//! Task graphs from the command line.

use crate::constants::*;
use crate::jobs::{exit, read_json};
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use oatloom_client::graphs::{self, GraphError, GraphOptions};
use oatloom_client::{Controllers, Session, Watch};
use oatloom_graph::answers::{GraphStatus, GraphView, NodeView};
use oatloom_graph::ids::{GraphId, NodeId};
use oatloom_graph::model::{Model, RecordSpace};
use oatloom_graph::paths::run_time_s;
use oatloom_graph::requests::{AddNodes, KindSpec, NewNode, OnFailure, check};
use oatloom_protocol::wire::Rank;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// A graph as a file describes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphFile {
    /// One that nobody else uses if left out.
    #[serde(default)]
    pub graph: Option<GraphId>,
    pub owner: String,
    pub jobclass: String,
    #[serde(default = "standard")]
    pub rank: Rank,
    #[serde(rename = "dueS", default)]
    pub due_s: Option<f64>,
    #[serde(rename = "onFailure", default)]
    pub on_failure: OnFailure,
    pub kinds: BTreeMap<String, KindSpec>,
    pub nodes: Vec<NewNode>,
}

fn standard() -> Rank {
    Rank::Standard
}

#[derive(clap::Subcommand)]
pub enum Command {
    /// Submit a graph, described by a file (JSON)
    Submit {
        file: PathBuf,
        /// Follow it until it is over; it is cancelled if this program ends before
        #[arg(long)]
        wait: bool,
        /// What it can be cancelled with; one that nobody else knows if left out
        #[arg(long, env = "OATLOOM_KEY")]
        key: Option<String>,
    },
    /// Say how a graph is doing
    Status { id: String },
    /// Follow a graph until it is over
    Watch {
        id: String,
        /// The position that an earlier watch has printed
        #[arg(long, default_value = "")]
        after: String,
    },
    /// Cancel a graph
    Cancel {
        id: String,
        #[arg(long, env = "OATLOOM_KEY")]
        key: String,
    },
    /// Show a file's nodes, its critical path and when it would end at best; asks no controller
    Show {
        file: PathBuf,
        /// All nodes
        #[arg(long)]
        all: bool,
    },
}

/// What went wrong, by the status that scripts see.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("{0}")]
    Wrong(String),
    #[error(transparent)]
    Graph(#[from] GraphError),
}

impl Failure {
    pub fn status(&self) -> u8 {
        match self {
            Self::Wrong(_) => exit::WRONG,
            Self::Graph(GraphError::NoFinalResponse(_)) => exit::NO_ANSWER,
            Self::Graph(_) => exit::BAD,
        }
    }
}

fn graph_id(id: &str) -> Result<GraphId, Failure> {
    let text = || Failure::Wrong(format!("{id}: an id is `graph-` and up to ten digits"));
    GraphId::parse(id).ok_or_else(text)
}

/// Reads a graph's file.
///
/// # Errors
/// It cannot be read, is not JSON, or says something that makes no sense by itself.
pub fn read(path: &Path) -> Result<GraphFile, Failure> {
    let file: GraphFile = read_json(path).map_err(Failure::Wrong)?;
    check(&addition(&file)).map_err(|e| Failure::Wrong(format!("{}: {e}", path.display())))?;
    Ok(file)
}

fn addition(file: &GraphFile) -> AddNodes {
    AddNodes {
        key: "not-a-key".into(),
        addition: "file".into(),
        kinds: file.kinds.clone(),
        nodes: file.nodes.clone(),
        seal: true,
    }
}

/// A file's nodes in an order in which they can start.
fn model(file: &GraphFile) -> Result<Model, Failure> {
    // It is looked at and not written: nothing bounds it.
    let room = RecordSpace { value_bytes: usize::MAX / 4, value_count: usize::MAX };
    let mut model = Model::default();
    let refused = |text: String| Failure::Wrong(text);
    let prepared = model.prepare(&addition(file), 0, room).map_err(|e| refused(e.1))?;
    for page in &prepared.pages {
        model.apply(page, 0).map_err(|e| refused(e.to_string()))?;
    }
    Ok(model)
}

/// The plan of a file as a table: each node with its kind, inputs, earliest start and the path that depends on it.
///
/// # Errors
/// The file's nodes are no graph.
pub fn plan(file: &GraphFile, all: bool) -> Result<String, Failure> {
    let mut model = model(file)?;
    let longest = model.compute_paths(|kind| run_time_s(kind, 1.0));
    let mut starts: Vec<f64> = Vec::new();
    let mut rows = Vec::new();
    for at in (0..model.len()).map(NodeId) {
        let Some(node) = model.node(at) else { continue };
        let ends = |input: NodeId| {
            let node = model.node(input)?;
            Some(starts[input.0 as usize] + run_time_s(model.kind_of(node), 1.0))
        };
        let start = model.needs(at).filter_map(ends).fold(0.0, f64::max);
        let path = f64::from(node.path_s);
        let critical = start + path >= longest - 1e-3 && !model.kind_of(node).is_actor();
        starts.push(start);
        rows.push((critical, start, node, path));
    }
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["", "node", "kind", "tasks", "start s", "path s"]);
    let shown = rows.iter().filter(|row| all || row.0 || rows.len() <= PLAN_ROWS);
    for (critical, start, node, path) in shown.take(if all { usize::MAX } else { PLAN_ROWS }) {
        table.add_row([
            if *critical { "*".to_owned() } else { String::new() },
            node.name.to_string(),
            model.kind_of(node).name.clone(),
            node.shards.to_string(),
            format!("{start:.0}"),
            format!("{path:.0}"),
        ]);
    }
    let work: f64 = rows
        .iter()
        .map(|(_, _, n, _)| run_time_s(model.kind_of(n), 1.0) * f64::from(n.shards))
        .sum();
    Ok(format!(
        "{table}\n{} nodes, {work:.0} s of tasks; the critical path (*) takes {longest:.0} s, without boots and fetches",
        model.len()
    ))
}

fn line(view: &GraphView) -> String {
    let status = serde_json::json!(view.status);
    let mut text = format!(
        "{}: {} ({} of {} nodes done, {} started, {} failed, {} cancelled, {} skipped)",
        view.graph,
        status.as_str().unwrap_or_default(),
        view.done,
        view.nodes,
        view.started,
        view.failed,
        view.cancelled,
        view.skipped
    );
    if let Some(failed) = &view.failure {
        text += &format!(": {}", failed.node);
        if let Some(failure) = &failed.failure {
            let (times, repeats) = (failure.failures, failure.repeats);
            text += &format!(" failed {times} times, {repeats} repeats are allowed");
        }
    }
    if !view.reason.is_empty() {
        text += &format!(": {}", view.reason);
    }
    text
}

fn say(view: &GraphView, json: bool) -> u8 {
    match json {
        true => println!("{}", serde_json::json!(view)),
        false => println!("{}", line(view)),
    }
    match view.status {
        GraphStatus::Failed | GraphStatus::Cancelled => exit::BAD,
        _ => exit::GOOD,
    }
}

fn follow(mut watch: Watch, json: bool) -> Result<u8, Failure> {
    let each = |node: &NodeView| {
        if json {
            println!("{}", serde_json::json!(node));
        } else {
            let job = node.job.as_ref().map(|job| format!(" ({job})")).unwrap_or_default();
            let status = serde_json::json!(node.status);
            println!("{}: {}{job}", node.name, status.as_str().unwrap_or_default());
        }
    };
    let over = watch.wait_until_final(each)?;
    Ok(say(&over, json))
}

fn submit(
    controllers: Controllers,
    file: &GraphFile,
    wait: bool,
    key: Option<String>,
    json: bool,
) -> Result<u8, Failure> {
    let mut rng = ChaCha8Rng::from_os_rng();
    let key = key.unwrap_or_else(|| format!("{:032x}", rng.random::<u128>()));
    let number = format!("graph-{}", rng.random_range(0..10_000_000_000u64));
    let id = file.graph.map_or_else(|| graph_id(&number), Ok)?;
    let name = format!("ctl-{:016x}", rng.random::<u64>());
    let session = Session::open(controllers, &name, &key, &file.owner, SESSION_TTL_S)?;
    let plan = GraphOptions {
        class: file.jobclass.clone(),
        rank: file.rank,
        due_s: file.due_s,
        on_failure: file.on_failure,
        detached: !wait,
    };
    let mut graph = session.create_graph(id, &plan)?;
    for (name, spec) in &file.kinds {
        graph.define_kind(name, spec.clone());
    }
    // In an order in which inputs come first, however the file has them.
    let model = model(file)?;
    let by_name: BTreeMap<&str, &NewNode> =
        file.nodes.iter().map(|node| (node.name.as_str(), node)).collect();
    for at in (0..model.len()).map(NodeId) {
        let node = model.node(at).and_then(|node| by_name.get(&*node.name));
        if let Some(node) = node {
            graph.add((*node).clone())?;
        }
    }
    let view = graph.send(true)?;
    let status = if wait {
        follow(graph.watch(), json)?
    } else {
        say(&view, json);
        eprintln!("oatloomctl: it goes on by itself; --key {key} cancels it");
        exit::GOOD
    };
    session.close()?;
    Ok(status)
}

/// Carries a command out; the status that scripts see.
///
/// # Errors
/// It is wrongly asked, refused, or nobody answers.
pub fn run(command: &Command, addresses: &[String], json: bool) -> Result<u8, Failure> {
    let mut controllers = Controllers::new(addresses);
    match command {
        Command::Submit { file, wait, key } => {
            submit(controllers, &read(file)?, *wait, key.clone(), json)
        }
        Command::Status { id } => {
            let mut watch = Watch::new(controllers, graph_id(id)?, String::new());
            Ok(say(&watch.poll()?, json))
        }
        Command::Watch { id, after } => {
            follow(Watch::new(controllers, graph_id(id)?, after.clone()), json)
        }
        Command::Cancel { id, key } => {
            let view = graphs::cancel(&mut controllers, graph_id(id)?, key)?;
            say(&view, json);
            Ok(exit::GOOD)
        }
        Command::Show { file, all } => {
            println!("{}", plan(&read(file)?, *all)?);
            Ok(exit::GOOD)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The shipped example is a graph, and its plan names the critical path.
    #[test]
    fn the_example_has_a_critical_path() {
        let path =
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/graphs/first.json");
        let file = read(&path).unwrap();
        let plan = plan(&file, false).unwrap();
        let starred: Vec<&str> = plan
            .lines()
            .filter(|line| line.trim_start().starts_with('*'))
            .filter_map(|line| line.split_whitespace().nth(1))
            .collect();
        assert_eq!(starred, ["fetch", "train", "report"], "{plan}");
        assert!(plan.contains("takes 13 s"), "{plan}");
        let mut looped = file.clone();
        looped.nodes[0].needs = vec!["report".into()];
        assert!(super::plan(&looped, false).is_err_and(|e| e.to_string().contains("needs itself")));
    }
}
