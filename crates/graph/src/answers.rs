//! Answers to clients.

use crate::constants::RETRY_AFTER_S;
use crate::ids::{GraphId, JobSeq};
use crate::records::{FailedNode, FinalPage, FinalRecord, Outcome};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Failure, JobSpec};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The status of a session.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SessionStatus {
    Open,
    /// The session has ended, and its graphs are being stopped.
    Closing,
    Closed,
}

/// The state of a session.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionView {
    pub session: String,
    pub status: SessionStatus,
    /// Time to live without a heartbeat, in seconds.
    #[serde(rename = "ttlS")]
    pub ttl_s: f64,
}

/// The status of a graph.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GraphStatus {
    Open,
    /// The graph is ending; its open jobs are being cancelled.
    Ending,
    Done,
    Failed,
    Cancelled,
}

impl GraphStatus {
    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

impl From<Outcome> for GraphStatus {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => Self::Done,
            Outcome::Failed => Self::Failed,
            Outcome::Cancelled => Self::Cancelled,
        }
    }
}

/// The status of a node.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeStatus {
    /// Waits for its inputs, or for its job to be accepted.
    Waiting,
    /// The node's job is accepted; the job's own status tells its progress.
    Started,
    Done,
    Failed,
    Cancelled,
    /// An input ended without being done.
    Skipped,
}

impl NodeStatus {
    /// The status as a letter in records.
    pub fn letter(self) -> char {
        match self {
            Self::Waiting => 'w',
            Self::Started => 'r',
            Self::Done => 'd',
            Self::Failed => 'f',
            Self::Cancelled => 'c',
            Self::Skipped => 's',
        }
    }

    fn from_letter(letter: char) -> Self {
        let statuses = [Self::Waiting, Self::Started, Self::Done, Self::Failed, Self::Skipped];
        statuses.into_iter().find(|status| status.letter() == letter).unwrap_or(Self::Cancelled)
    }

    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Started)
    }
}

/// The state of a node.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    pub name: String,
    pub status: NodeStatus,
    /// The job that runs the node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
}

/// The state of a graph: counts of its nodes by status, and the nodes that have changed.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GraphView {
    #[cfg_attr(feature = "schema", schemars(with = "String"))]
    pub graph: GraphId,
    pub status: GraphStatus,
    #[serde(default)]
    pub sealed: bool,
    pub nodes: u32,
    pub waiting: u32,
    pub started: u32,
    pub done: u32,
    pub failed: u32,
    pub cancelled: u32,
    pub skipped: u32,
    /// The longest remaining path according to the known run times, in seconds.
    #[serde(rename = "pathS", default)]
    pub path_s: f64,
    /// The first failed node, and the cause.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<FailedNode>,
    /// The reason why the graph was cancelled; empty if it was not.
    #[serde(rename = "why", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Nodes that have changed since the requested position; a node may occur in several answers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<NodeView>,
    /// The position at which this answer ends.
    #[serde(default)]
    pub next: String,
    /// Whether more changes are available already.
    #[serde(default)]
    pub more: bool,
}

impl GraphView {
    /// The view of a finished graph.
    pub fn from_final_record(graph: GraphId, record: &FinalRecord) -> Self {
        let [done, failed, cancelled, skipped] = record.counts;
        Self {
            graph,
            status: record.outcome.into(),
            sealed: true,
            nodes: record.nodes,
            waiting: 0,
            started: 0,
            done,
            failed,
            cancelled,
            skipped,
            path_s: 0.0,
            failure: record.failed.clone(),
            reason: record.reason.clone(),
            changed: Vec::new(),
            next: String::new(),
            more: false,
        }
    }
}

/// A node as its worker needs it: the worker finds an input's result by the job that produced it.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskNode {
    pub task: u32,
    pub node: String,
    /// Input nodes, each with the id of the job that produced its result.
    pub needs: Vec<(String, String)>,
}

/// The nodes that a job runs.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobNodes {
    #[cfg_attr(feature = "schema", schemars(with = "String"))]
    pub graph: GraphId,
    /// The job's description.
    #[serde(default)]
    pub job: Option<JobSpec>,
    pub nodes: Vec<TaskNode>,
    /// The task from which to continue, if there are more.
    #[serde(default)]
    pub next: Option<u32>,
}

impl JobNodes {
    /// Adds the job's description.
    pub fn with_job(self, spec: &JobSpec) -> Self {
        Self { job: Some(spec.clone()), ..self }
    }
}

/// The nodes of a final page of a finished graph.
pub fn final_node_views(graph: GraphId, page: FinalPage) -> Vec<NodeView> {
    let FinalPage { nodes, mut failures } = page;
    let view = |(name, job, letter): (String, u64, char)| {
        let position = failures.iter().position(|failed| failed.node == name);
        let failure = position.and_then(|position| failures.swap_remove(position).failure);
        let job = job.checked_sub(1).map(|seq| graph.job(JobSeq(seq)));
        NodeView { name, status: NodeStatus::from_letter(letter), job, failure }
    };
    nodes.into_iter().map(view).collect()
}

/// A temporary rejection (429), which tells the client when to retry.
pub fn too_many_requests(text: &str) -> HttpReply {
    HttpReply { retry_after_s: Some(RETRY_AFTER_S), ..HttpReply::error(429, text) }
}
