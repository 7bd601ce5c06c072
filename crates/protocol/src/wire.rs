//! Messages exchanged with users, workers, the cloud and the state service. Wire names are defined here only.

use crate::ids::{
    Attempt, HostId, JobId, LeaseId, Member, ReportSeq, Revision, Token, WorkerSession, Zone,
};
use garde::Validate;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::sync::Arc;

/// How the tasks of a job run: independently, all at once, or as replicas of a service.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in ascending order.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    Low,
    Standard,
    High,
    Critical,
}

/// A job as submitted by its user.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize, Validate)]
#[garde(allow_unvalidated)]
pub struct JobSpec {
    #[serde(rename = "nameId")]
    #[garde(custom(job_id))]
    pub id: JobId,
    #[serde(rename = "jobclass")]
    pub class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    pub rank: Rank,
    #[serde(rename = "shards")]
    #[garde(custom(task_count))]
    #[cfg_attr(feature = "schema", schemars(range(min = 1, max = crate::constants::MAX_TASKS)))]
    pub tasks: u32,
    #[garde(custom(amount("cpus")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub cpus: f64,
    #[garde(custom(amount("gpus")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    #[garde(custom(amount("memoryGb")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub memory_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "pullGb")]
    #[garde(custom(amount("pullGb")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub image_gb: f64,
    #[serde(default)]
    pub flavors: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<Zone>,
    #[serde(rename = "samePlace")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expectS")]
    #[garde(custom(amount("expectS")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub estimate_s: f64,
    #[serde(rename = "snapshotS")]
    #[garde(custom(amount("snapshotS")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub checkpoint_s: f64,
    #[serde(rename = "flushS")]
    #[garde(custom(amount("flushS")))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub save_s: f64,
    #[serde(rename = "dueS", default)]
    #[garde(inner(custom(amount("dueS"))))]
    #[cfg_attr(feature = "schema", schemars(range(min = 0.0)))]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(
        rename = "awaits",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "null_as_empty"
    )]
    #[garde(custom(dependency_ids))]
    #[cfg_attr(feature = "schema", schemars(with = "Option<Vec<JobId>>"))]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list that may be null or absent.
fn null_as_empty<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    from: D,
) -> Result<Vec<T>, D::Error> {
    Ok(Option::deserialize(from)?.unwrap_or_default())
}

fn dependency_ids(ids: &[JobId], _: &()) -> garde::Result {
    let valid = ids.iter().all(|id| JobId::parse(id.as_str()).is_some());
    valid
        .then_some(())
        .ok_or_else(|| garde::Error::new("awaits must list ids of the form req-000000"))
}

fn job_id(id: &JobId, _: &()) -> garde::Result {
    let valid = JobId::parse(id.as_str()).is_some();
    valid.then_some(()).ok_or_else(|| garde::Error::new("nameId is not of the form req-000000"))
}

fn task_count(tasks: &u32, _: &()) -> garde::Result {
    let valid = (1..=crate::constants::MAX_TASKS).contains(tasks);
    valid.then_some(()).ok_or_else(|| garde::Error::new("shards must be from 1 to 100000"))
}

/// Checks an amount; the error names the field by its wire name.
fn amount(field: &'static str) -> impl Fn(&f64, &()) -> garde::Result {
    move |amount, ()| {
        let valid = amount.is_finite() && *amount >= 0.0;
        let text = || garde::Error::new(format!("{field} must be a finite amount, 0 or more"));
        valid.then_some(()).ok_or_else(text)
    }
}

impl JobSpec {
    /// Checks what the types alone cannot express.
    ///
    /// # Errors
    /// The first field that is out of range, by its wire name.
    pub fn check(&self) -> Result<(), String> {
        let first_error = |report: garde::Report| report.iter().next().map(|(_, e)| e.to_string());
        self.validate().map_err(|report| first_error(report).unwrap_or_default())?;
        if self.dependencies.contains(&self.id) {
            return Err("awaits names the job itself".to_owned());
        }
        Ok(())
    }
}

/// State of a job.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Queued,
    Running,
    Done,
    Cancelled,
    /// A task exhausted its retries (an addition to the protocol, where operators limit them).
    Failed,
}

impl JobStatus {
    /// Whether the job is in a final state, which never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Failed)
    }
}

/// Why a job failed.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Failure {
    #[serde(rename = "jobclass")]
    pub class: String,
    /// The task that exhausted its retries; for a gang, one that failed.
    #[serde(rename = "shard")]
    pub task: String,
    /// Number of failures caused by the job itself.
    #[serde(rename = "failures")]
    pub failures: u32,
    /// Number of retries that its class allows.
    pub repeats: u32,
    pub causes: Vec<FailureCause>,
}

/// Failures on one machine.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FailureCause {
    /// `None` for machines whose failures are only counted together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostId>,
    pub cause: ExitCause,
    #[serde(rename = "number")]
    pub count: u32,
}

/// Response to a query about a job.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobView {
    #[serde(rename = "nameId")]
    pub id: JobId,
    pub status: JobStatus,
    #[serde(default)]
    pub done: u32,
    #[serde(default)]
    pub running: u32,
    /// Why it failed, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<Failure>>,
    /// Some of the jobs that it still depends on (an addition to the protocol).
    #[serde(rename = "awaits", default, skip_serializing_if = "Vec::is_empty")]
    pub waits_for: Vec<JobId>,
}

impl JobView {
    /// A job without any started task.
    pub fn queued(id: JobId) -> Self {
        Self {
            id,
            status: JobStatus::Queued,
            done: 0,
            running: 0,
            failure: None,
            waits_for: Vec::new(),
        }
    }
}

/// Phase of a task on its worker.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TaskPhase {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited, or why a worker rejected it.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", schemars(rename = "Cause"))]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "incomplete")]
    Incomplete,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
}

/// State of a task, as reported by its worker.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "shard")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: Attempt,
    pub status: TaskPhase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    #[serde(default)]
    pub stored: bool,
    /// Run time in milliseconds as measured by its worker: an optional addition to the protocol.
    #[serde(rename = "ranMs", default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
}

/// A worker's periodic report.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Report {
    pub host: HostId,
    pub addr: String,
    pub flavor: String,
    #[serde(rename = "yard")]
    pub zone: Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: WorkerSession,
    #[serde(rename = "tally")]
    pub report_seq: ReportSeq,
    #[serde(rename = "baton")]
    pub token: Token,
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "shards")]
    pub tasks: Vec<TaskReport>,
}

/// An order to a worker about one start of a task.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Run {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    Stop {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    Forget {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// Response to a worker's report.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "baton")]
    pub token: Token,
    pub orders: Vec<Order>,
}

/// Orders sent to a worker directly.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Command {
    #[serde(rename = "baton")]
    pub token: Token,
    #[serde(rename = "shift")]
    pub session: WorkerSession,
    pub orders: Vec<Order>,
}

/// Response of a controller that is not the leader; names the leader if known.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<Member>,
}

// --- Cloud ------------------------------------------------------------------

/// A machine type and its prices.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Flavor {
    pub label: String,
    pub cpus: f64,
    pub gpus: f64,
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    pub price: f64,
    #[serde(rename = "spotPrice")]
    pub spot_price: f64,
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<Zone>,
}

impl Flavor {
    /// The current price per hour of a spot or on-demand machine.
    pub fn hourly_price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

/// Machine types that the cloud offers.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Catalog {
    pub flavors: Vec<Flavor>,
}

impl Catalog {
    /// The machine type of that name.
    pub fn flavor(&self, label: &str) -> Option<&Flavor> {
        self.flavors.iter().find(|f| f.label == label)
    }
}

/// State of a machine in the cloud.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum MachineStatus {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", schemars(rename = "Listed"))]
pub struct ListedMachine {
    #[serde(rename = "nameId")]
    pub host: HostId,
    #[serde(default)]
    pub addr: String,
    pub flavor: String,
    #[serde(rename = "yard")]
    pub zone: Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub status: MachineStatus,
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// One page of the cloud's list of machines.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineList {
    pub hosts: Vec<ListedMachine>,
    pub more: bool,
}

/// Request to rent machines; a retry under the same request id rents no more.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", schemars(rename = "Hire"))]
pub struct HireRequest {
    #[serde(rename = "hire")]
    pub request_id: String,
    pub flavor: String,
    #[serde(rename = "yard")]
    pub zone: Zone,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub number: u32,
}

/// Machines by id.
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Hosts {
    pub hosts: Vec<HostId>,
}

// --- State service ----------------------------------------------------------

/// A key of the state service; `V` is its JSON value, parsed or as raw text.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Row<V = Value> {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// The lease that the key is attached to, in responses that include it.
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseId>,
}

/// One page of a range of keys.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Page<V = Value> {
    pub rows: Vec<Row<V>>,
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: Revision,
}

/// Precondition of a transaction: the key has this version.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A write to one key.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

impl Change {
    /// Writes a key that is attached to no lease.
    pub fn put(key: String, value: Value) -> Self {
        Self::Put { key, value, lease: None }
    }
}

/// A transaction; `C` is [`Change`], or [`RawChange`] when the state service parses it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Txn<C = Change> {
    #[serde(rename = "when", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then", default = "Vec::new")]
    pub changes: Vec<C>,
}

impl<C> Default for Txn<C> {
    fn default() -> Self {
        Self { conditions: Vec::new(), changes: Vec::new() }
    }
}

/// A put or a delete, not yet distinguished; its value is kept as raw text.
#[derive(Debug, Deserialize)]
pub struct RawChange {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "tenancy", default)]
    pub lease: Option<LeaseId>,
}

/// Request for a lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// The current revision, and the keys whose condition failed if a transaction was rejected.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct RevisionReply {
    #[serde(rename = "epoch")]
    pub revision: Revision,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// Response to a request for a lease.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "tenancy")]
    pub lease: LeaseId,
}

/// Status of the project's own state service; other implementations need not provide it.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct StateStatus {
    #[serde(rename = "epoch")]
    pub revision: Revision,
    pub keys: u64,
    #[serde(rename = "tenancies")]
    pub leases: u64,
    pub watches: u64,
    /// Responses that wait for a disk write.
    pub waiting: u64,
    /// Groups of changes written to the log since the process started.
    pub groups: u64,
    #[serde(rename = "logBytes")]
    pub log_bytes: u64,
    pub snapshots: u64,
    /// `serving`, or `full` while writes to disk fail.
    pub health: String,
}

/// A change as reported by a watch.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "V: Deserialize<'de> + Default"))]
pub struct LoggedChange<V = Value> {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// Response to a watch: the changes up to a revision.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "V: Deserialize<'de> + Default"))]
pub struct Changes<V = Value> {
    #[serde(rename = "epoch")]
    pub revision: Revision,
    pub log: Vec<LoggedChange<V>>,
}
