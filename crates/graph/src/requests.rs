//! Requests of clients, and the checks that need nothing but the request itself.

use crate::constants::*;
use crate::ids::GraphId;
use garde::Validate;
use oatloom_protocol::ids::{JobId, Zone};
use oatloom_protocol::wire::Rank;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Opens a session; succeeds as well if it is open already.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct OpenSession {
    #[garde(custom(validate_name("session")))]
    pub session: String,
    #[garde(custom(validate_key))]
    pub key: String,
    /// The team to which its graphs are charged.
    #[garde(length(min = 1))]
    pub owner: String,
    /// Time to live without a heartbeat, in seconds.
    #[serde(rename = "ttlS")]
    #[garde(custom(validate_ttl))]
    pub ttl_s: f64,
}

/// How the rest of a graph continues after a node has finally failed.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnFailure {
    /// All other nodes are cancelled.
    #[default]
    CancelRest,
    /// Nodes that do not depend on the failed one run to their end.
    FinishIndependent,
}

/// Creates a graph; succeeds as well if it exists already.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct CreateGraph {
    #[cfg_attr(feature = "schema", schemars(with = "String"))]
    pub graph: GraphId,
    #[garde(custom(validate_name("session")))]
    pub session: String,
    #[garde(custom(validate_key))]
    pub key: String,
    /// The job class of its nodes.
    #[garde(custom(validate_name("jobclass")))]
    pub jobclass: String,
    pub rank: Rank,
    /// When it should be complete, in seconds from its creation.
    #[serde(rename = "dueS", default)]
    #[garde(inner(custom(validate_amount("dueS"))))]
    pub due_s: Option<f64>,
    #[serde(rename = "onFailure", default)]
    pub on_failure: OnFailure,
    /// The graph continues when its session ends.
    #[serde(default)]
    pub detached: bool,
}

/// How the shards of a node run together.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeShape {
    /// The shards run independently of each other.
    #[default]
    Task,
    /// The shards run at the same time or not at all.
    Gang,
    /// The shards are replicas that run until the graph has no other work, or until aborted if detached.
    Actor,
}

/// How the shards of a node are placed on machines.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Strategy {
    /// By best fit, which packs them.
    #[default]
    Pack,
    /// On different machines as long as that does not prevent a start.
    Spread,
    /// All on one machine, at the same time or not at all.
    StrictPack,
    /// Each on a separate machine, at the same time or not at all.
    StrictSpread,
}

/// Requirements of the nodes of a kind.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    #[serde(default, skip_serializing_if = "is_default")]
    pub shape: NodeShape,
    #[serde(default, skip_serializing_if = "is_default")]
    pub strategy: Strategy,
    #[garde(custom(validate_amount("num_cpus")))]
    pub num_cpus: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("num_gpus")))]
    pub num_gpus: f64,
    /// Bytes.
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("memory")))]
    pub memory: f64,
    /// Maximum retries, limited by the class; defaults to the limit of the class.
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(range(max = MAX_RETRY_COUNT))]
    pub max_retries: Option<u32>,
    #[serde(default, skip_serializing_if = "is_default")]
    #[garde(length(max = MAX_NAME_BYTES))]
    pub bundle: String,
    #[serde(rename = "pullGb", default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("pullGb")))]
    pub pull_gb: f64,
    #[serde(default, skip_serializing_if = "is_default")]
    pub flavors: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "is_default")]
    pub yard: Option<Zone>,
    /// May run on spot machines, which the cloud can take back.
    #[serde(default, skip_serializing_if = "is_default")]
    pub loaners: bool,
    /// Expected run time, in seconds.
    #[serde(rename = "expectS", default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("expectS")))]
    pub expect_s: f64,
    #[serde(rename = "snapshotS", default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("snapshotS")))]
    pub snapshot_s: f64,
    #[serde(rename = "flushS", default, skip_serializing_if = "is_default")]
    #[garde(custom(validate_amount("flushS")))]
    pub flush_s: f64,
    /// For an actor: it continues after its graph and session have ended, until its job is aborted.
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
    #[garde(custom(validate_name("name")))]
    pub name: String,
    /// A kind of this addition or of the graph.
    #[garde(custom(validate_name("kind")))]
    pub kind: String,
    /// Nodes whose results are its inputs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = MAX_INPUT_COUNT))]
    pub needs: Vec<String>,
    /// Number of tasks of the node.
    #[serde(default = "default_shards", skip_serializing_if = "is_one")]
    #[garde(range(min = 1, max = MAX_SHARD_COUNT))]
    pub shards: u32,
}

fn default_shards() -> u32 {
    1
}

fn is_one(shards: &u32) -> bool {
    *shards == 1
}

/// Adds nodes to a graph, all or none of them.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct AddNodes {
    #[garde(custom(validate_key))]
    pub key: String,
    /// The client's name for this addition, which makes it idempotent: repeating it adds nothing.
    #[garde(custom(validate_name("addition")))]
    pub addition: String,
    #[serde(default)]
    #[garde(dive)]
    pub kinds: BTreeMap<String, KindSpec>,
    #[serde(default)]
    #[garde(dive)]
    pub nodes: Vec<NewNode>,
    /// Seals the graph: no more nodes may be added.
    #[serde(default)]
    #[garde(skip)]
    pub seal: bool,
}

/// A request that needs nothing but the session's key.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
pub struct KeyedRequest {
    #[garde(custom(validate_key))]
    pub key: String,
}

/// The part of a graph's state that a client asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GetGraph {
    /// Position at which the previous answer ended; empty for the beginning.
    pub after: String,
    /// Maximum number of nodes in the answer; 0 for none.
    #[serde(rename = "most")]
    pub max_nodes: usize,
}

/// A request about sessions or graphs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GraphRequest {
    Open(OpenSession),
    /// A heartbeat of a session.
    #[serde(rename = "Beat")]
    Heartbeat(String, KeyedRequest),
    Close(String, KeyedRequest),
    Create(CreateGraph),
    Add(GraphId, AddNodes),
    Cancel(GraphId, KeyedRequest),
    /// The state of a graph.
    #[serde(rename = "Look")]
    GetGraph(GraphId, GetGraph),
    /// The nodes that a job runs, from this task on; sent by the worker.
    Job(JobId, u32),
}

impl GraphRequest {
    /// The graph that the request concerns.
    pub fn graph(&self) -> Option<GraphId> {
        match self {
            Self::Create(create) => Some(create.graph),
            Self::Add(id, _) | Self::Cancel(id, _) | Self::GetGraph(id, _) => Some(*id),
            Self::Open(_) | Self::Heartbeat(..) | Self::Close(..) | Self::Job(..) => None,
        }
    }
}

/// Validates a request on its own.
///
/// # Errors
/// The first invalid field and the reason, in one line.
pub fn check<T: Validate<Context = ()>>(request: &T) -> Result<(), String> {
    let first_error = |report: garde::Report| {
        report.iter().next().map(|(path, e)| {
            let (path, text) = (path.to_string(), e.to_string());
            if path.is_empty() || text.contains(&path) { text } else { format!("{path}: {text}") }
        })
    };
    request.validate().map_err(|report| first_error(report).unwrap_or_default())
}

/// Restricts names to characters that are safe in keys of the state service and in log lines.
fn validate_name(field: &'static str) -> impl Fn(&str, &()) -> garde::Result {
    move |name, ()| {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_./:".contains(&b);
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed);
        let text =
            || format!("{field} must be 1 to {MAX_NAME_BYTES} letters, digits or any of -_./:");
        is_valid.then_some(()).ok_or_else(|| garde::Error::new(text()))
    }
}

fn validate_key(key: &str, _: &()) -> garde::Result {
    let is_valid = (MIN_KEY_BYTES..=MAX_KEY_BYTES).contains(&key.len());
    let text = || format!("key must be {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes");
    is_valid.then_some(()).ok_or_else(|| garde::Error::new(text()))
}

fn validate_amount(field: &'static str) -> impl Fn(&f64, &()) -> garde::Result {
    move |amount, ()| {
        let is_valid = amount.is_finite() && *amount >= 0.0;
        let text = || format!("{field} must be a finite amount, 0 or more");
        is_valid.then_some(()).ok_or_else(|| garde::Error::new(text()))
    }
}

fn validate_ttl(ttl: &f64, _: &()) -> garde::Result {
    let text = || format!("ttlS must be from {MIN_TTL_S} to {MAX_TTL_S}");
    let is_valid = (MIN_TTL_S..=MAX_TTL_S).contains(ttl);
    is_valid.then_some(()).ok_or_else(|| garde::Error::new(text()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn error_text<T: Validate<Context = ()> + serde::de::DeserializeOwned>(
        value: serde_json::Value,
    ) -> String {
        match serde_json::from_value::<T>(value) {
            Ok(request) => check(&request).err().unwrap_or_default(),
            Err(e) => e.to_string(),
        }
    }

    /// Guards against error texts that do not name the invalid field as clients know it.
    #[test]
    fn invalid_requests_name_the_field() {
        let valid = json!({"key":"secret-1","addition":"a","kinds":{"k":{"num_cpus":1.0}},
            "nodes":[{"name":"n","kind":"k"}],"seal":true});
        assert_eq!(error_text::<AddNodes>(valid.clone()), "");
        for (pointer, value, expected) in [
            ("/key", json!("short"), "key"),
            ("/addition", json!("a b"), "addition"),
            ("/kinds/k/num_cpus", json!(-1.0), "num_cpus"),
            ("/nodes/0/name", json!(""), "name"),
            ("/nodes/0/kind", json!("x y"), "kind"),
            ("/seal", json!(3), "boolean"),
        ] {
            let mut invalid = valid.clone();
            *invalid.pointer_mut(pointer).unwrap() = value;
            assert!(error_text::<AddNodes>(invalid.clone()).contains(expected), "{invalid}");
        }
        let shards = json!({"name":"n","kind":"k","shards":0});
        assert!(error_text::<NewNode>(shards).contains("shards"));
        let unknown_field = json!({"num_cpus":1.0,"num_tpus":1.0});
        assert!(error_text::<KindSpec>(unknown_field).contains("num_tpus"));
        let open = json!({"session":"s","key":"secret-1","owner":"red","ttlS":1.0});
        assert!(error_text::<OpenSession>(open).contains("ttlS"));
        let create =
            json!({"graph":"g-1","session":"s","key":"secret-1","jobclass":"c","rank":"high"});
        assert!(error_text::<CreateGraph>(create).contains("graph-"));
    }
}
