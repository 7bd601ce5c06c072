//! What stands in the state service, under which key, and in what form. What a node's job is, and how it ended, stands
//! in the records of that job alone: nothing of a graph is written when a node starts or ends.

use crate::ids::{GraphId, NodeIx};
use crate::requests::{KindSpec, OnFailure};
use crate::runs::Runs;
use oatloom_protocol::wire::{Failure, Rank};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Graphs that are not over: `graph/{id}` is the head, `graph/{id}/{page}` the nodes in the order they came.
pub const GRAPHS: &str = "graph/";
/// Graphs that are over: `gover/{id}` is the answer, `gover/{id}/{page}` how the nodes of a page ended.
pub const OVER: &str = "gover/";
pub const SESSIONS: &str = "session/";
/// Number of sessions. Written with each session that comes or goes, so that a late copy of an older write, which
/// asks for an older version of it, cannot bring a session back.
pub const SESSION_COUNT: &str = "sessions";

pub fn head_key(id: GraphId) -> String {
    format!("{GRAPHS}{}", id.digits())
}

pub fn page_key(id: GraphId, page: u32) -> String {
    format!("{GRAPHS}{}/{page:05}", id.digits())
}

pub fn over_key(id: GraphId) -> String {
    format!("{OVER}{}", id.digits())
}

pub fn over_page_key(id: GraphId, page: u32) -> String {
    format!("{OVER}{}/{page:05}", id.digits())
}

pub fn session_key(session: &str) -> String {
    format!("{SESSIONS}{session}")
}

/// A key of a graph that is not over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GraphKey {
    Head(GraphId),
    Page(GraphId, u32),
}

/// Reads a key under `graph/`.
pub fn parse_key(key: &str) -> Option<GraphKey> {
    let rest = key.strip_prefix(GRAPHS)?;
    match rest.split_once('/') {
        None => Some(GraphKey::Head(GraphId::of_digits(rest)?)),
        Some((id, page)) => Some(GraphKey::Page(GraphId::of_digits(id)?, page.parse().ok()?)),
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// Hash of its key.
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "o")]
    pub owner: String,
    #[serde(rename = "t")]
    pub ttl_ms: u64,
    /// It has ended; the record goes when nothing of it is left.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub ended: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    #[serde(rename = "s")]
    pub session: String,
    /// Hash of the key that its session was opened with.
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
    /// Time of day at its beginning, in milliseconds.
    #[serde(rename = "w")]
    pub wall_ms: u64,
    /// Its user has cancelled it.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub cancelled: bool,
}

/// Nodes as they stand in a page: name, kind, shards, and the nodes that it needs.
pub type NodeRow = (String, u16, u32, Vec<NodeIx>);

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The addition, and the hash of what it asked.
    #[serde(rename = "q")]
    pub addition: String,
    #[serde(rename = "h")]
    pub digest: u64,
    /// Kinds that came with it, numbered on from those before.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kinds: Vec<(String, KindSpec)>,
    /// Number of the first of its nodes.
    #[serde(rename = "b")]
    pub first: NodeIx,
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub nodes: Vec<NodeRow>,
    /// Nothing comes after it.
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    pub sealed: bool,
}

/// What of a graph a job runs; stands in the job's own record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its tasks are these nodes, one each; or the shards of a single node.
    #[serde(rename = "n")]
    pub nodes: Runs,
    /// How often each of its tasks may be repeated, where that is limited.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub repeats: Option<u32>,
    /// Its tasks are to be on unlike machines: `true` if they must be.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub apart: Option<bool>,
}

impl Part {
    /// Whether each task is a node of its own.
    pub fn batch(&self) -> bool {
        self.nodes.len() > 1
    }

    /// The node that a task belongs to.
    pub fn node(&self, task: u32) -> Option<NodeIx> {
        self.nodes.get(if self.batch() { task as usize } else { 0 })
    }
}

/// How a job that ran nodes ended, beyond what its state says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEnd {
    #[serde(rename = "n")]
    pub nodes: Runs,
    /// Of an array of nodes that did not end as done: those of its tasks that did.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Of the same: tasks that are not done, and how often each has failed.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub charged: Vec<(u32, u32)>,
}

/// How a graph ended.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    Done,
    Failed,
    Cancelled,
}

/// The final answer of a graph.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    #[serde(rename = "s")]
    pub outcome: Outcome,
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "n")]
    pub nodes: u32,
    /// Done, failed, cancelled and skipped.
    #[serde(rename = "c")]
    pub counts: [u32; 4],
    #[serde(rename = "p")]
    pub pages: u32,
    /// The first node that failed.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failed: Option<FailedNode>,
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}

/// A node that failed for good, and why.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedNode {
    pub node: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
}

/// How the nodes of a page ended: name, number of its job (0: it had none), state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverPage {
    #[serde(rename = "n")]
    pub nodes: Vec<(String, u64, char)>,
    /// Why those failed that did.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<FailedNode>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_read_as_they_are_made() {
        let id = GraphId::parse("graph-7").unwrap();
        assert_eq!(parse_key(&head_key(id)), Some(GraphKey::Head(id)));
        assert_eq!(parse_key(&page_key(id, 12)), Some(GraphKey::Page(id, 12)));
        assert_eq!(parse_key("graph/7"), None);
        assert_eq!(parse_key("graph/0000000007/x"), None);
        assert!(head_key(id) < page_key(id, 0) && page_key(id, 99_999) < "graph/0000000008".into());
    }

    /// Whatever stands in a record, reading it ends.
    #[test]
    fn parts_say_which_node_a_task_is() {
        let part: Part = serde_json::from_str(r#"{"n":[[4,3]]}"#).unwrap();
        assert_eq!((part.node(1), part.node(3)), (Some(NodeIx(5)), None));
        let one: Part = serde_json::from_str(r#"{"n":[[4,1]],"r":2}"#).unwrap();
        assert_eq!(one.node(77), Some(NodeIx(4)));
        let none: Part = serde_json::from_str(r#"{"n":[]}"#).unwrap();
        assert_eq!(none.node(0), None);
    }
}
