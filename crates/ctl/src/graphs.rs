//! The subcommands for task graphs.

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

/// The content of a graph file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GraphFile {
    /// Id of the graph; an unused one is drawn if left out.
    #[serde(default)]
    pub graph: Option<GraphId>,
    /// The team to which the graph is charged.
    pub owner: String,
    /// Job class of the graph's jobs.
    pub jobclass: String,
    #[serde(default = "default_rank")]
    pub rank: Rank,
    #[serde(rename = "dueS", default)]
    pub due_s: Option<f64>,
    #[serde(rename = "onFailure", default)]
    pub on_failure: OnFailure,
    pub kinds: BTreeMap<String, KindSpec>,
    pub nodes: Vec<NewNode>,
}

fn default_rank() -> Rank {
    Rank::Standard
}

/// Subcommands of `oatloomctl graph`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Submit a graph, described by a file (JSON)
    Submit {
        file: PathBuf,
        /// Wait until it is finished; it is cancelled if this program ends before
        #[arg(long)]
        wait: bool,
        /// Secret key that allows cancelling it; a random one if left out
        #[arg(long, env = "OATLOOM_KEY")]
        key: Option<String>,
    },
    /// Print the status of a graph
    Status { id: String },
    /// Print status changes of a graph until it is finished
    Watch {
        id: String,
        /// Position to resume from, as an earlier watch reported it
        #[arg(long, default_value = "")]
        after: String,
    },
    /// Cancel a graph
    Cancel {
        id: String,
        #[arg(long, env = "OATLOOM_KEY")]
        key: String,
    },
    /// Print a file's nodes, critical path and shortest run time, without contacting a controller
    Show {
        file: PathBuf,
        /// Show all nodes
        #[arg(long)]
        all: bool,
    },
}

/// Why a graph command failed; decides the exit code.
#[derive(Debug, thiserror::Error)]
pub enum GraphCommandError {
    #[error("{0}")]
    InvalidInput(String),
    #[error(transparent)]
    Graph(#[from] GraphError),
}

impl GraphCommandError {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidInput(_) => exit::USAGE_ERROR,
            Self::Graph(GraphError::NoFinalResponse(_)) => exit::NO_ANSWER,
            Self::Graph(_) => exit::FAILURE,
        }
    }
}

fn parse_graph_id(id: &str) -> Result<GraphId, GraphCommandError> {
    let make_error = || {
        GraphCommandError::InvalidInput(format!(
            "{id}: not a graph id; an id is `graph-` and up to ten digits"
        ))
    };
    GraphId::parse(id).ok_or_else(make_error)
}

/// Reads and checks a graph file.
///
/// # Errors
/// The file cannot be read, is not JSON, or has a value that is invalid on its own.
pub fn read_graph_file(path: &Path) -> Result<GraphFile, GraphCommandError> {
    let file: GraphFile = read_json(path).map_err(GraphCommandError::InvalidInput)?;
    check(&to_add_nodes(&file))
        .map_err(|e| GraphCommandError::InvalidInput(format!("{}: {e}", path.display())))?;
    Ok(file)
}

/// The whole file as one request that adds nodes, to check and order its nodes without sending them.
fn to_add_nodes(file: &GraphFile) -> AddNodes {
    AddNodes {
        key: "not-a-key".into(),
        addition: "file".into(),
        kinds: file.kinds.clone(),
        nodes: file.nodes.clone(),
        seal: true,
    }
}

/// Builds a model of the file's nodes, ordered so that inputs come first.
fn build_model(file: &GraphFile) -> Result<Model, GraphCommandError> {
    // The model is only shown and never stored, so the size limits of stored values do not apply.
    let space = RecordSpace { value_bytes: usize::MAX / 4, value_count: usize::MAX };
    let mut model = Model::default();
    let to_input_error = |text: String| GraphCommandError::InvalidInput(text);
    let prepared = model.prepare(&to_add_nodes(file), 0, space).map_err(|e| to_input_error(e.1))?;
    for page in &prepared.pages {
        model.apply(page, 0).map_err(|e| to_input_error(e.to_string()))?;
    }
    Ok(model)
}

/// The plan of a file as a table: each node with its kind, tasks, earliest start and the length of the longest path
/// from it.
///
/// # Errors
/// The nodes do not form a valid graph.
pub fn format_plan(file: &GraphFile, all: bool) -> Result<String, GraphCommandError> {
    let mut model = build_model(file)?;
    let critical_path_s = model.compute_paths(|kind| run_time_s(kind, 1.0));
    let mut start_times: Vec<f64> = Vec::new();
    let mut rows = Vec::new();
    for index in (0..model.len()).map(NodeId) {
        let Some(node) = model.node(index) else { continue };
        let compute_finish_time = |input: NodeId| {
            let node = model.node(input)?;
            Some(start_times[input.0 as usize] + run_time_s(model.kind_of(node), 1.0))
        };
        let start = model.needs(index).filter_map(compute_finish_time).fold(0.0, f64::max);
        let remaining_path_s = f64::from(node.path_s);
        let is_critical =
            start + remaining_path_s >= critical_path_s - 1e-3 && !model.kind_of(node).is_actor();
        start_times.push(start);
        rows.push((is_critical, start, node, remaining_path_s));
    }
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(["", "node", "kind", "tasks", "start s", "path s"]);
    let shown_rows = rows.iter().filter(|row| all || row.0 || rows.len() <= MAX_PLAN_ROWS);
    for (is_critical, start, node, remaining_path_s) in
        shown_rows.take(if all { usize::MAX } else { MAX_PLAN_ROWS })
    {
        table.add_row([
            if *is_critical { "*".to_owned() } else { String::new() },
            node.name.to_string(),
            model.kind_of(node).name.clone(),
            node.shards.to_string(),
            format!("{start:.0}"),
            format!("{remaining_path_s:.0}"),
        ]);
    }
    let total_task_s: f64 = rows
        .iter()
        .map(|(_, _, node, _)| run_time_s(model.kind_of(node), 1.0) * f64::from(node.shards))
        .sum();
    Ok(format!(
        "{table}\n{} nodes, {total_task_s:.0} s of tasks; the critical path (*) takes {critical_path_s:.0} s, \
         without boots and fetches",
        model.len()
    ))
}

fn format_status(view: &GraphView) -> String {
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
    if let Some(failed_node) = &view.failure {
        text += &format!(": {}", failed_node.node);
        if let Some(failure) = &failed_node.failure {
            let (failure_count, repeats) = (failure.failures, failure.repeats);
            text += &format!(" failed {failure_count} times, {repeats} repeats are allowed");
        }
    }
    if !view.reason.is_empty() {
        text += &format!(": {}", view.reason);
    }
    text
}

/// Prints the status of a graph and returns the exit code.
fn print_status(view: &GraphView, json: bool) -> u8 {
    match json {
        true => println!("{}", serde_json::json!(view)),
        false => println!("{}", format_status(view)),
    }
    match view.status {
        GraphStatus::Failed | GraphStatus::Cancelled => exit::FAILURE,
        _ => exit::SUCCESS,
    }
}

/// Prints each status change of a graph's nodes and its final status; returns the exit code.
fn print_until_final(mut watch: Watch, json: bool) -> Result<u8, GraphCommandError> {
    let print_node = |node: &NodeView| {
        if json {
            println!("{}", serde_json::json!(node));
        } else {
            let job = node.job.as_ref().map(|job| format!(" ({job})")).unwrap_or_default();
            let status = serde_json::json!(node.status);
            println!("{}: {}{job}", node.name, status.as_str().unwrap_or_default());
        }
    };
    let final_view = watch.wait_until_final(print_node)?;
    Ok(print_status(&final_view, json))
}

fn submit(
    controllers: Controllers,
    file: &GraphFile,
    wait: bool,
    key: Option<String>,
    json: bool,
) -> Result<u8, GraphCommandError> {
    let mut rng = ChaCha8Rng::from_os_rng();
    let key = key.unwrap_or_else(|| format!("{:032x}", rng.random::<u128>()));
    let random_id = format!("graph-{}", rng.random_range(0..10_000_000_000u64));
    let id = file.graph.map_or_else(|| parse_graph_id(&random_id), Ok)?;
    let session_name = format!("ctl-{:016x}", rng.random::<u64>());
    let session = Session::open(controllers, &session_name, &key, &file.owner, SESSION_TTL_S)?;
    let options = GraphOptions {
        class: file.jobclass.clone(),
        rank: file.rank,
        due_s: file.due_s,
        on_failure: file.on_failure,
        detached: !wait,
    };
    let mut graph = session.create_graph(id, &options)?;
    for (name, spec) in &file.kinds {
        graph.define_kind(name, spec.clone());
    }
    // Inputs have to be added before the nodes that use them, whatever the order in the file.
    let model = build_model(file)?;
    let nodes_by_name: BTreeMap<&str, &NewNode> =
        file.nodes.iter().map(|node| (node.name.as_str(), node)).collect();
    for index in (0..model.len()).map(NodeId) {
        let node = model.node(index).and_then(|node| nodes_by_name.get(&*node.name));
        if let Some(node) = node {
            graph.add((*node).clone())?;
        }
    }
    let view = graph.send(true)?;
    let status = if wait {
        print_until_final(graph.watch(), json)?
    } else {
        print_status(&view, json);
        eprintln!("oatloomctl: the graph runs without this program; cancel it with --key {key}");
        exit::SUCCESS
    };
    session.close()?;
    Ok(status)
}

/// Runs a graph command and returns the exit code.
///
/// # Errors
/// The input is invalid, the request is refused, or no controller answers.
pub fn run(command: &Command, addresses: &[String], json: bool) -> Result<u8, GraphCommandError> {
    let mut controllers = Controllers::new(addresses);
    match command {
        Command::Submit { file, wait, key } => {
            submit(controllers, &read_graph_file(file)?, *wait, key.clone(), json)
        }
        Command::Status { id } => {
            let mut watch = Watch::new(controllers, parse_graph_id(id)?, String::new());
            Ok(print_status(&watch.poll()?, json))
        }
        Command::Watch { id, after } => {
            print_until_final(Watch::new(controllers, parse_graph_id(id)?, after.clone()), json)
        }
        Command::Cancel { id, key } => {
            let view = graphs::cancel(&mut controllers, parse_graph_id(id)?, key)?;
            print_status(&view, json);
            Ok(exit::SUCCESS)
        }
        Command::Show { file, all } => {
            println!("{}", format_plan(&read_graph_file(file)?, *all)?);
            Ok(exit::SUCCESS)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The plan of the example in `deploy` marks its critical path, and a cycle is refused.
    #[test]
    fn the_example_has_a_critical_path() {
        let path =
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/graphs/first.json");
        let file = read_graph_file(&path).unwrap();
        let plan = format_plan(&file, false).unwrap();
        let critical_nodes: Vec<&str> = plan
            .lines()
            .filter(|line| line.trim_start().starts_with('*'))
            .filter_map(|line| line.split_whitespace().nth(1))
            .collect();
        assert_eq!(critical_nodes, ["fetch", "train", "report"], "{plan}");
        assert!(plan.contains("takes 13 s"), "{plan}");
        let mut cyclic = file.clone();
        cyclic.nodes[0].needs = vec!["report".into()];
        assert!(
            super::format_plan(&cyclic, false)
                .is_err_and(|e| e.to_string().contains("needs itself"))
        );
    }
}
