//! Converts between Protobuf messages and the JSON types of the controllers.

use crate::wire;
use oatloom_graph::answers::{GraphView, NodeView, SessionView};
use oatloom_graph::ids::GraphId;
use oatloom_graph::records::FailedNode;
use oatloom_graph::requests::{
    AddNodes, CreateGraph, KindSpec, NewNode, NodeShape, OnFailure, Strategy,
};
use oatloom_protocol::ids::Zone;
use oatloom_protocol::wire::{Failure, Rank};
use serde::Serialize;
use tonic::Status;

/// Returns the text of an enum value as controllers write it in JSON.
fn to_json_text(value: impl Serialize) -> String {
    serde_json::to_value(value).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// Parses a graph ID.
pub(crate) fn parse_graph_id(text: &str) -> Result<GraphId, Status> {
    let make_error =
        || Status::invalid_argument("a graph id is `graph-` followed by up to ten digits");
    GraphId::parse(text).ok_or_else(make_error)
}

/// Checks that a session name is safe to use in a URL path. Further rules are checked by the controllers.
pub(crate) fn validate_session_name(name: &str) -> Result<&str, Status> {
    let is_valid =
        !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b));
    is_valid.then_some(name).ok_or_else(|| {
        Status::invalid_argument("a session name consists of letters, digits and any of -_.:")
    })
}

/// Error for a field whose enum value is not defined.
fn unknown_value_error(field: &str) -> Status {
    Status::invalid_argument(format!("{field}: unknown value"))
}

/// Converts a request to create a graph.
pub(crate) fn to_create_graph(request: wire::CreateGraphRequest) -> Result<CreateGraph, Status> {
    let rank = match wire::Rank::try_from(request.rank).map_err(|_| unknown_value_error("rank"))? {
        wire::Rank::Standard => Rank::Standard,
        wire::Rank::Low => Rank::Low,
        wire::Rank::High => Rank::High,
        wire::Rank::Critical => Rank::Critical,
    };
    let on_failure = wire::OnFailure::try_from(request.on_failure);
    Ok(CreateGraph {
        graph: parse_graph_id(&request.graph)?,
        session: request.session,
        key: request.key,
        jobclass: request.jobclass,
        rank,
        due_s: request.due_s,
        on_failure: match on_failure.map_err(|_| unknown_value_error("on_failure"))? {
            wire::OnFailure::CancelRest => OnFailure::CancelRest,
            wire::OnFailure::FinishIndependent => OnFailure::FinishIndependent,
        },
        detached: request.detached,
    })
}

/// Converts a node kind.
fn to_kind_spec(kind: wire::Kind) -> Result<KindSpec, Status> {
    Ok(KindSpec {
        shape: match wire::Shape::try_from(kind.shape).map_err(|_| unknown_value_error("shape"))? {
            wire::Shape::Task => NodeShape::Task,
            wire::Shape::Gang => NodeShape::Gang,
            wire::Shape::Actor => NodeShape::Actor,
        },
        strategy: match wire::Strategy::try_from(kind.strategy)
            .map_err(|_| unknown_value_error("strategy"))?
        {
            wire::Strategy::Pack => Strategy::Pack,
            wire::Strategy::Spread => Strategy::Spread,
            wire::Strategy::StrictPack => Strategy::StrictPack,
            wire::Strategy::StrictSpread => Strategy::StrictSpread,
        },
        num_cpus: kind.num_cpus,
        num_gpus: kind.num_gpus,
        memory: kind.memory,
        max_retries: kind.max_retries,
        bundle: kind.bundle,
        pull_gb: kind.pull_gb,
        flavors: (!kind.flavors.is_empty()).then_some(kind.flavors),
        yard: kind.yard.map(|yard| Zone::new(&yard)),
        loaners: kind.loaners,
        expect_s: kind.expect_s,
        snapshot_s: kind.snapshot_s,
        flush_s: kind.flush_s,
        detached: kind.detached,
    })
}

/// Converts a request to add nodes to a graph.
pub(crate) fn to_add_nodes(request: wire::AddNodesRequest) -> Result<AddNodes, Status> {
    let kinds = request.kinds.into_iter().map(|(name, spec)| Ok((name, to_kind_spec(spec)?)));
    let nodes = request.nodes.into_iter().map(|node| NewNode {
        name: node.name,
        kind: node.kind,
        needs: node.needs,
        shards: node.shards.max(1),
    });
    Ok(AddNodes {
        key: request.key,
        addition: request.addition,
        kinds: kinds.collect::<Result<_, Status>>()?,
        nodes: nodes.collect(),
        seal: request.seal,
    })
}

/// Converts the state of a session from a response of a controller.
pub(crate) fn to_wire_session(view: SessionView) -> wire::Session {
    wire::Session { session: view.session, status: to_json_text(view.status), ttl_s: view.ttl_s }
}

/// Converts the failures of a node's job.
fn to_wire_failure(failure: &Failure) -> wire::Failure {
    wire::Failure {
        task: failure.task.clone(),
        failures: failure.failures,
        repeats: failure.repeats,
    }
}

/// Converts the state of a node.
fn to_wire_node(view: NodeView) -> wire::Node {
    wire::Node {
        name: view.name,
        status: to_json_text(view.status),
        job: view.job.map(|job| job.to_string()).unwrap_or_default(),
        failure: view.failure.as_deref().map(to_wire_failure),
    }
}

/// Converts the first failed node of a graph, of which the response holds no job.
fn to_wire_failed_node(failed_node: FailedNode) -> wire::Node {
    wire::Node {
        name: failed_node.node,
        status: "failed".into(),
        job: String::new(),
        failure: failed_node.failure.as_deref().map(to_wire_failure),
    }
}

/// Converts the state of a graph from a response of a controller.
pub(crate) fn to_wire_graph(view: GraphView) -> wire::Graph {
    wire::Graph {
        graph: view.graph.to_string(),
        status: to_json_text(view.status),
        sealed: view.sealed,
        nodes: view.nodes,
        waiting: view.waiting,
        started: view.started,
        done: view.done,
        failed: view.failed,
        cancelled: view.cancelled,
        skipped: view.skipped,
        path_s: view.path_s,
        first_failed: view.failure.map(to_wire_failed_node),
        why: view.reason,
        changed: view.changed.into_iter().map(to_wire_node).collect(),
        next: view.next,
    }
}
