//! Keys and values of graphs and sessions in the state service. Which job runs a node and how it ended is stored only
//! in the records of that job, so that no graph record is written when a node starts or ends.

use crate::ids::{GraphId, NodeId};
use crate::node_ranges::NodeRanges;
use crate::requests::{KindSpec, OnFailure};
use oatloom_protocol::wire::{Failure, Rank};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Prefix of open graphs: `graph/{id}` is the head, `graph/{id}/{page}` a page of nodes in the order of addition.
pub const OPEN_GRAPHS_PREFIX: &str = "graph/";
/// Prefix of finished graphs: `gover/{id}` is the final record, `gover/{id}/{page}` the final states of a page's nodes.
pub const FINAL_GRAPHS_PREFIX: &str = "gover/";
/// Prefix of session records.
pub const SESSIONS_PREFIX: &str = "session/";
/// Key of the number of sessions. Every transaction that creates or deletes a session writes it, so that a late copy of
/// an older write fails on its version and cannot restore a deleted session.
pub const SESSION_COUNT_KEY: &str = "sessions";

/// Key of a graph's head record.
pub fn head_key(id: GraphId) -> String {
    format!("{OPEN_GRAPHS_PREFIX}{}", id.digits())
}

/// Key of a page of an open graph.
pub fn page_key(id: GraphId, page: u32) -> String {
    format!("{OPEN_GRAPHS_PREFIX}{}/{page:05}", id.digits())
}

/// Key of a finished graph's final record.
pub fn final_graph_key(id: GraphId) -> String {
    format!("{FINAL_GRAPHS_PREFIX}{}", id.digits())
}

/// Key of a final page of a finished graph.
pub fn final_page_key(id: GraphId, page: u32) -> String {
    format!("{FINAL_GRAPHS_PREFIX}{}/{page:05}", id.digits())
}

/// Key of a session's record.
pub fn session_key(session: &str) -> String {
    format!("{SESSIONS_PREFIX}{session}")
}

/// A parsed key of an open graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GraphKey {
    Head(GraphId),
    Page(GraphId, u32),
}

/// Parses a key under `graph/`.
pub fn parse_key(key: &str) -> Option<GraphKey> {
    let rest = key.strip_prefix(OPEN_GRAPHS_PREFIX)?;
    match rest.split_once('/') {
        None => Some(GraphKey::Head(GraphId::from_digits(rest)?)),
        Some((id, page)) => Some(GraphKey::Page(GraphId::from_digits(id)?, page.parse().ok()?)),
    }
}

/// The record of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Hash of the session's key.
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "o")]
    pub owner: String,
    #[serde(rename = "t")]
    pub ttl_ms: u64,
    /// The session has ended; the record is deleted once its last graph has finished.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub ended: bool,
}

/// The head record of an open graph.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GraphHead {
    #[serde(rename = "s")]
    pub session: String,
    /// Hash of the key of its session.
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "o")]
    pub owner: String,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "r")]
    pub rank: Rank,
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    #[serde(rename = "f", default)]
    pub on_failure: OnFailure,
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub detached: bool,
    /// Time of day of its creation, in milliseconds.
    #[serde(rename = "w")]
    pub wall_ms: u64,
    /// The client has cancelled the graph.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
}

/// A node in a page: name, kind number, shards and inputs.
pub type NodeRow = (String, u16, u32, Vec<NodeId>);

/// A page of an open graph: part of one addition.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Name of the addition.
    #[serde(rename = "q")]
    pub addition: String,
    /// Digest of the addition's content.
    #[serde(rename = "h")]
    pub digest: u64,
    /// New kinds, numbered after those of earlier pages.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<(String, KindSpec)>,
    /// The first node of the page.
    #[serde(rename = "b")]
    pub first: NodeId,
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeRow>,
    /// The graph is sealed: no page follows.
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    pub sealed: bool,
}

/// The part of a graph that a job runs; stored in the job's own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphPart {
    /// The nodes, one per task; a single node has its shards as tasks.
    #[serde(rename = "n")]
    pub nodes: NodeRanges,
    /// Maximum retries of each task, if limited.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub max_retries: Option<u32>,
    /// Whether tasks spread over different machines: `true` if they must, `false` if they should, `None` without
    /// preference.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub strict_spread: Option<bool>,
}

impl GraphPart {
    /// Whether each task is a node of its own.
    pub fn is_batch(&self) -> bool {
        self.nodes.len() > 1
    }

    /// The node to which a task belongs.
    pub fn node(&self, task: u32) -> Option<NodeId> {
        self.nodes.get(if self.is_batch() { task as usize } else { 0 })
    }
}

/// The end of a job that ran nodes, in addition to the job's final status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GraphPartEnd {
    #[serde(rename = "n")]
    pub nodes: NodeRanges,
    /// The done tasks of an array that as a whole is not done.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// The tasks of such an array that have failed and are not done, each with its number of failures.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub failure_counts: Vec<(u32, u32)>,
}

/// The final status of a graph.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Failed,
    Cancelled,
}

/// The final record of a graph.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalRecord {
    #[serde(rename = "s")]
    pub outcome: Outcome,
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "n")]
    pub nodes: u32,
    /// Numbers of done, failed, cancelled and skipped nodes.
    #[serde(rename = "c")]
    pub counts: [u32; 4],
    /// Number of final pages.
    #[serde(rename = "p")]
    pub pages: u32,
    /// The first node that failed.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<FailedNode>,
    /// The reason why it was cancelled; empty if it was not.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

/// A failed node, with the cause if it is known.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedNode {
    pub node: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
}

/// The final states of a page's nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalPage {
    /// Name, sequence number of the latest job plus one (0 if it had none), and status letter.
    #[serde(rename = "n")]
    pub nodes: Vec<(String, u64, char)>,
    /// Causes of the failed nodes, as far as they fit into a value.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<FailedNode>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_round_trip() {
        let id = GraphId::parse("graph-7").unwrap();
        assert_eq!(parse_key(&head_key(id)), Some(GraphKey::Head(id)));
        assert_eq!(parse_key(&page_key(id, 12)), Some(GraphKey::Page(id, 12)));
        assert_eq!(parse_key("graph/7"), None);
        assert_eq!(parse_key("graph/0000000007/x"), None);
        assert!(head_key(id) < page_key(id, 0) && page_key(id, 99_999) < "graph/0000000008".into());
    }

    /// Reading a stored record ends whatever it contains: a task outside it has no node.
    #[test]
    fn parts_map_tasks_to_nodes() {
        let part: GraphPart = serde_json::from_str(r#"{"n":[[4,3]]}"#).unwrap();
        assert_eq!((part.node(1), part.node(3)), (Some(NodeId(5)), None));
        let one: GraphPart = serde_json::from_str(r#"{"n":[[4,1]],"r":2}"#).unwrap();
        assert_eq!(one.node(77), Some(NodeId(4)));
        let none: GraphPart = serde_json::from_str(r#"{"n":[]}"#).unwrap();
        assert_eq!(none.node(0), None);
    }
}
