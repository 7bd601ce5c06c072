//! What clients are told.

use crate::constants::RETRY_AFTER_S;
use crate::ids::{GraphId, Seq};
use crate::records::{FailedNode, Outcome, OverPage, OverRecord};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Failure, JobSpec};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SessionStatus {
    Open,
    /// It has ended, and what was its own is being stopped.
    Closing,
    Closed,
}

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionView {
    pub session: String,
    pub status: SessionStatus,
    /// How long it lives on without a heartbeat, in seconds.
    #[serde(rename = "ttlS")]
    pub ttl_s: f64,
}

/// Where a graph stands, as clients see it.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GraphStatus {
    Open,
    /// Its end is decided; what runs of it is being stopped.
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

/// Where a node stands.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeStatus {
    /// For its inputs, or for its turn.
    Waiting,
    /// Its job is accepted; what the job is doing is asked of the job.
    Started,
    Done,
    Failed,
    Cancelled,
    /// Something that it needs did not end as done.
    Skipped,
}

impl NodeStatus {
    /// As it stands in records.
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

    fn of_letter(letter: char) -> Self {
        let all = [Self::Waiting, Self::Started, Self::Done, Self::Failed, Self::Skipped];
        all.into_iter().find(|status| status.letter() == letter).unwrap_or(Self::Cancelled)
    }

    /// Whether it never changes again.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Started)
    }
}

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeView {
    pub name: String,
    pub status: NodeStatus,
    /// The job that runs it, and the task if it is one of several nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobId>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
}

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
    /// The longest remaining path by what is known of run times, in seconds.
    #[serde(rename = "pathS", default)]
    pub path_s: f64,
    /// The first node that failed, and why.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<FailedNode>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
    /// Nodes that have changed since the position asked after; a node may come again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<NodeView>,
    /// The position of this answer.
    #[serde(default)]
    pub next: String,
    /// Whether there is more at once.
    #[serde(default)]
    pub more: bool,
}

impl GraphView {
    /// Of a graph that is over.
    pub fn of_over(graph: GraphId, record: &OverRecord) -> Self {
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
            why: record.why.clone(),
            changed: Vec::new(),
            next: String::new(),
            more: false,
        }
    }
}

/// A node as whoever runs it needs it: results are kept by the job and task that made them.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskNode {
    pub task: u32,
    pub node: String,
    /// Nodes whose results it takes, each with the job and task that made it.
    pub needs: Vec<(String, String)>,
}

/// What a job runs.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobNodes {
    #[cfg_attr(feature = "schema", schemars(with = "String"))]
    pub graph: GraphId,
    /// The job's description.
    #[serde(default)]
    pub job: Option<JobSpec>,
    pub nodes: Vec<TaskNode>,
    /// The task to go on from, if there are more.
    #[serde(default)]
    pub next: Option<u32>,
}

impl JobNodes {
    /// The same with the job's description.
    pub fn with(self, spec: &JobSpec) -> Self {
        Self { job: Some(spec.clone()), ..self }
    }
}

/// The nodes of a page of a graph that is over.
pub fn over_nodes(graph: GraphId, page: OverPage) -> Vec<NodeView> {
    let OverPage { nodes, mut failures } = page;
    let view = |(name, job, letter): (String, u64, char)| {
        let at = failures.iter().position(|failed| failed.node == name);
        let failure = at.and_then(|at| failures.swap_remove(at).failure);
        let job = job.checked_sub(1).map(|seq| graph.job(Seq(seq)));
        NodeView { name, status: NodeStatus::of_letter(letter), job, failure }
    };
    nodes.into_iter().map(view).collect()
}

/// Refuses for now: the client learns at once when to come back.
pub fn busy(text: &str) -> HttpReply {
    HttpReply { retry_after_s: Some(RETRY_AFTER_S), ..HttpReply::error(429, text) }
}
