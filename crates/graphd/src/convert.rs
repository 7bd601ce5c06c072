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

/// The text of an enum value in the JSON of the controllers.
fn json_text(value: impl Serialize) -> String {
    serde_json::to_value(value).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// Parses a graph ID.
pub(crate) fn graph_id(text: &str) -> Result<GraphId, Status> {
    let invalid_id =
        || Status::invalid_argument("a graph id is `graph-` followed by up to ten digits");
    GraphId::parse(text).ok_or_else(invalid_id)
}

/// Checks that a session name is safe to use in a URL path. Further rules are checked by the controllers.
pub(crate) fn validate_session_name(name: &str) -> Result<&str, Status> {
    let is_valid =
        !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:".contains(&b));
    is_valid.then_some(name).ok_or_else(|| {
        Status::invalid_argument("a session name consists of letters, digits and any of -_.:")
    })
}

fn unknown_value(field: &str) -> Status {
    Status::invalid_argument(format!("{field}: unknown value"))
}

/// Converts a request to create a graph.
pub(crate) fn create_request(request: wire::CreateGraphRequest) -> Result<CreateGraph, Status> {
    let rank = match wire::Rank::try_from(request.rank).map_err(|_| unknown_value("rank"))? {
        wire::Rank::Standard => Rank::Standard,
        wire::Rank::Low => Rank::Low,
        wire::Rank::High => Rank::High,
        wire::Rank::Critical => Rank::Critical,
    };
    let on_failure = wire::OnFailure::try_from(request.on_failure);
    Ok(CreateGraph {
        graph: graph_id(&request.graph)?,
        session: request.session,
        key: request.key,
        jobclass: request.jobclass,
        rank,
        due_s: request.due_s,
        on_failure: match on_failure.map_err(|_| unknown_value("on_failure"))? {
            wire::OnFailure::CancelRest => OnFailure::CancelRest,
            wire::OnFailure::FinishIndependent => OnFailure::FinishIndependent,
        },
        detached: request.detached,
    })
}

fn kind_spec(kind: wire::Kind) -> Result<KindSpec, Status> {
    Ok(KindSpec {
        shape: match wire::Shape::try_from(kind.shape).map_err(|_| unknown_value("shape"))? {
            wire::Shape::Task => NodeShape::Task,
            wire::Shape::Gang => NodeShape::Gang,
            wire::Shape::Actor => NodeShape::Actor,
        },
        strategy: match wire::Strategy::try_from(kind.strategy)
            .map_err(|_| unknown_value("strategy"))?
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
pub(crate) fn add_request(request: wire::AddNodesRequest) -> Result<AddNodes, Status> {
    let kinds = request.kinds.into_iter().map(|(name, spec)| Ok((name, kind_spec(spec)?)));
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

/// Converts a session as a controller reports it.
pub(crate) fn session(view: SessionView) -> wire::Session {
    wire::Session { session: view.session, status: json_text(view.status), ttl_s: view.ttl_s }
}

fn failure(failure: &Failure) -> wire::Failure {
    wire::Failure {
        task: failure.task.clone(),
        failures: failure.failures,
        repeats: failure.repeats,
    }
}

fn node(view: NodeView) -> wire::Node {
    wire::Node {
        name: view.name,
        status: json_text(view.status),
        job: view.job.map(|job| job.to_string()).unwrap_or_default(),
        failure: view.failure.as_deref().map(failure),
    }
}

fn first_failed(failed: FailedNode) -> wire::Node {
    wire::Node {
        name: failed.node,
        status: "failed".into(),
        job: String::new(),
        failure: failed.failure.as_deref().map(failure),
    }
}

/// Converts a graph as a controller reports it.
pub(crate) fn graph(view: GraphView) -> wire::Graph {
    wire::Graph {
        graph: view.graph.to_string(),
        status: json_text(view.status),
        sealed: view.sealed,
        nodes: view.nodes,
        waiting: view.waiting,
        started: view.started,
        done: view.done,
        failed: view.failed,
        cancelled: view.cancelled,
        skipped: view.skipped,
        path_s: view.path_s,
        first_failed: view.failure.map(first_failed),
        why: view.reason,
        changed: view.changed.into_iter().map(node).collect(),
        next: view.next,
    }
}
