//! What clients ask, as it stands in their requests, and what of it makes no sense by itself.

use crate::constants::*;
use crate::ids::GraphId;
use garde::Validate;
use oatloom_protocol::ids::{JobId, Zone};
use oatloom_protocol::wire::Rank;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Opens a session, or finds it open.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct OpenSession {
    #[garde(custom(is_name("session")))]
    pub session: String,
    #[garde(custom(is_key))]
    pub key: String,
    /// The team that its graphs count for.
    #[garde(length(min = 1))]
    pub owner: String,
    /// How long it lives without a heartbeat, in seconds.
    #[serde(rename = "ttlS")]
    #[garde(custom(is_ttl))]
    pub ttl_s: f64,
}

/// What becomes of the rest when a node has failed for good.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnFailure {
    /// All other nodes are cancelled.
    #[default]
    CancelRest,
    /// Nodes that do not depend on it run to their end.
    FinishIndependent,
}

/// Begins a graph, or finds it begun.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct CreateGraph {
    #[cfg_attr(feature = "schema", schemars(with = "String"))]
    pub graph: GraphId,
    #[garde(custom(is_name("session")))]
    pub session: String,
    #[garde(custom(is_key))]
    pub key: String,
    /// The class of jobs that its nodes belong to.
    #[garde(custom(is_name("jobclass")))]
    pub jobclass: String,
    pub rank: Rank,
    /// When it should be complete, measured from its beginning, in seconds.
    #[serde(rename = "dueS", default)]
    #[garde(inner(custom(is_amount("dueS"))))]
    pub due_s: Option<f64>,
    #[serde(rename = "onFailure", default)]
    pub on_failure: OnFailure,
    /// It goes on when its session ends.
    #[serde(default)]
    pub detached: bool,
}

#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeShape {
    /// Its shards run independently of each other.
    #[default]
    Task,
    /// Its shards run at the same time or not at all.
    Gang,
    /// Its shards are replicas that run until the graph has no other work, or for ever if detached.
    Actor,
}

/// How the shards of a node lie on machines.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Strategy {
    /// Where they fit best, which packs them.
    #[default]
    Pack,
    /// On unlike machines as far as that costs no start.
    Spread,
    /// All on one machine, at the same time or not at all.
    StrictPack,
    /// Each on a machine of its own, at the same time or not at all.
    StrictSpread,
}

/// What nodes of a kind need.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    #[serde(default, skip_serializing_if = "is_default")]
    pub shape: NodeShape,
    #[serde(default, skip_serializing_if = "is_default")]
    pub strategy: Strategy,
    #[garde(custom(is_amount("num_cpus")))]
    pub num_cpus: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("num_gpus")))]
    pub num_gpus: f64,
    /// Bytes.
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("memory")))]
    pub memory: f64,
    /// Never above what the class allows; left out: as the class allows.
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(range(max = MAX_RETRY_COUNT))]
    pub max_retries: Option<u32>,
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(length(max = MAX_NAME_BYTES))]
    pub bundle: String,
    #[serde(rename = "pullGb", default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("pullGb")))]
    pub pull_gb: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    pub flavors: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub yard: Option<Zone>,
    /// May use machines that the cloud can take back.
    #[serde(default, skip_serializing_if = "is_default")]
    pub loaners: bool,
    /// Expected run time, in seconds.
    #[serde(rename = "expectS", default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("expectS")))]
    pub expect_s: f64,
    #[serde(rename = "snapshotS", default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("snapshotS")))]
    pub snapshot_s: f64,
    #[serde(rename = "flushS", default, skip_serializing_if = "is_default")]
    #[garde(custom(is_amount("flushS")))]
    pub flush_s: f64,
    /// Of an actor: it goes on when its graph and its session end, until its job is aborted.
    #[serde(default, skip_serializing_if = "is_default")]
    pub detached: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A node to be added.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct NewNode {
    #[garde(custom(is_name("name")))]
    pub name: String,
    /// One of the addition's kinds, or of those the graph knows.
    #[garde(custom(is_name("kind")))]
    pub kind: String,
    /// Nodes whose results it takes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = MAX_INPUT_COUNT))]
    pub needs: Vec<String>,
    /// Tasks that it fans out into.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    #[garde(range(min = 1, max = MAX_SHARD_COUNT))]
    pub shards: u32,
}

fn one() -> u32 {
    1
}

fn is_one(shards: &u32) -> bool {
    *shards == 1
}

/// Adds nodes to a graph, all or none of them.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct AddNodes {
    #[garde(custom(is_key))]
    pub key: String,
    /// The client's own name for this addition: the same one again adds nothing.
    #[garde(custom(is_name("addition")))]
    pub addition: String,
    #[serde(default)]
    #[garde(dive)]
    pub kinds: BTreeMap<String, KindSpec>,
    #[serde(default)]
    #[garde(dive)]
    pub nodes: Vec<NewNode>,
    /// Nothing more will be added.
    #[serde(default)]
    #[garde(skip)]
    pub seal: bool,
}

/// What needs nothing but the key.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct Keyed {
    #[garde(custom(is_key))]
    pub key: String,
}

/// How a graph is doing, and which nodes have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    /// Where the last answer ended; empty: from the beginning.
    pub after: String,
    /// Nodes in the answer, at most; 0: none.
    pub most: usize,
}

/// Everything that clients of graphs ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Open(OpenSession),
    Beat(String, Keyed),
    Close(String, Keyed),
    Create(CreateGraph),
    Add(GraphId, AddNodes),
    Cancel(GraphId, Keyed),
    Look(GraphId, Look),
    /// What a job runs, from this task on: asked by whoever runs it.
    Job(JobId, u32),
}

impl Ask {
    /// The graph that it is about.
    pub fn graph(&self) -> Option<GraphId> {
        match self {
            Self::Create(create) => Some(create.graph),
            Self::Add(id, _) | Self::Cancel(id, _) | Self::Look(id, _) => Some(*id),
            Self::Open(_) | Self::Beat(..) | Self::Close(..) | Self::Job(..) => None,
        }
    }
}

/// What of a request makes no sense by itself: the field and why, in one line.
pub fn check<T: Validate<Context = ()>>(request: &T) -> Result<(), String> {
    let first = |report: garde::Report| {
        report.iter().next().map(|(path, e)| {
            let (path, text) = (path.to_string(), e.to_string());
            if path.is_empty() || text.contains(&path) { text } else { format!("{path}: {text}") }
        })
    };
    request.validate().map_err(|report| first(report).unwrap_or_default())
}

/// Names stand in keys and lines of the log.
fn is_name(field: &'static str) -> impl Fn(&str, &()) -> garde::Result {
    move |name, ()| {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
        let good = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(plain);
        let text =
            || format!("{field} must be 1 to {MAX_NAME_BYTES} letters, digits or any of -_./:");
        good.then_some(()).ok_or_else(|| garde::Error::new(text()))
    }
}

fn is_key(key: &str, _: &()) -> garde::Result {
    let good = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len());
    let text = || format!("key must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes");
    good.then_some(()).ok_or_else(|| garde::Error::new(text()))
}

fn is_amount(field: &'static str) -> impl Fn(&f64, &()) -> garde::Result {
    move |amount, ()| {
        let good = amount.is_finite() && *amount >= 0.0;
        let text = || format!("{field} must be a finite amount, 0 or more");
        good.then_some(()).ok_or_else(|| garde::Error::new(text()))
    }
}

fn is_ttl(ttl: &f64, _: &()) -> garde::Result {
    let text = || format!("ttlS must be from {MIN_TTL_S} to {MAX_TTL_S}");
    let good = (MIN_TTL_S..=MAX_TTL_S).contains(ttl);
    good.then_some(()).ok_or_else(|| garde::Error::new(text()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn said<T: Validate<Context = ()> + serde::de::DeserializeOwned>(
        value: serde_json::Value,
    ) -> String {
        match serde_json::from_value::<T>(value) {
            Ok(request) => check(&request).err().unwrap_or_default(),
            Err(e) => e.to_string(),
        }
    }

    /// Whatever is wrong is named by the field as clients know it.
    #[test]
    fn bad_requests_name_the_field() {
        let good = json!({"key":"secret-1","addition":"a","kinds":{"k":{"num_cpus":1.0}},
            "nodes":[{"name":"n","kind":"k"}],"seal":true});
        assert_eq!(said::<AddNodes>(good.clone()), "");
        for (pointer, value, word) in [
            ("/key", json!("short"), "key"),
            ("/addition", json!("a b"), "addition"),
            ("/kinds/k/num_cpus", json!(-1.0), "num_cpus"),
            ("/nodes/0/name", json!(""), "name"),
            ("/nodes/0/kind", json!("x y"), "kind"),
            ("/seal", json!(3), "boolean"),
        ] {
            let mut bad = good.clone();
            *bad.pointer_mut(pointer).unwrap() = value;
            assert!(said::<AddNodes>(bad.clone()).contains(word), "{bad}");
        }
        let shards = json!({"name":"n","kind":"k","shards":0});
        assert!(said::<NewNode>(shards).contains("shards"));
        let novel = json!({"num_cpus":1.0,"num_tpus":1.0});
        assert!(said::<KindSpec>(novel).contains("num_tpus"));
        let open = json!({"session":"s","key":"secret-1","owner":"red","ttlS":1.0});
        assert!(said::<OpenSession>(open).contains("ttlS"));
        let create =
            json!({"graph":"g-1","session":"s","key":"secret-1","jobclass":"c","rank":"high"});
        assert!(said::<CreateGraph>(create).contains("graph-"));
    }
}
