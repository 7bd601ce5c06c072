//! Turns ready nodes into ordinary jobs: similar nodes become one array, a gang becomes one job.

use crate::constants::*;
use crate::ids::{GraphId, JobSeq, NodeId};
use crate::model::{LaunchGroup, NodeKind, RecordSpace};
use crate::node_ranges::NodeRanges;
use crate::open_graph::{JobPhase, OpenGraph, Phase};
use crate::paths::{graph_due, node_due_s, run_time_s};
use crate::records::{GraphHead, GraphPart};
use crate::requests::{NodeShape, Strategy};
use oatloom_protocol::ids::{JobId, Millis, Mono};
use oatloom_protocol::wire::{JobSpec, Shape};

/// The order in which ready nodes are launched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LaunchOrder {
    /// Longest remaining path first.
    #[default]
    LongestPath,
    /// In the order of addition, as a baseline for benchmarks.
    Added,
}

/// A job that runs nodes, before it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct JobLaunch {
    pub graph: GraphId,
    pub seq: JobSeq,
    pub spec: JobSpec,
    pub part: GraphPart,
    /// Time of day of its creation, in milliseconds; unchanged when the job is written again.
    pub wall_ms: u64,
}

impl JobLaunch {
    /// The id of the job.
    pub fn id(&self) -> &JobId {
        &self.spec.id
    }
}

/// Builds the description of the job for one node of a kind, or for several nodes as the tasks of one array.
pub(crate) fn build_job_spec(
    head: &GraphHead,
    kind: &NodeKind,
    id: JobId,
    tasks: u32,
    deadline_s: Option<f64>,
) -> JobSpec {
    let spec = &kind.spec;
    let is_strict = matches!(spec.strategy, Strategy::StrictPack | Strategy::StrictSpread);
    let shape = match spec.shape {
        NodeShape::Actor => Shape::Service,
        NodeShape::Gang => Shape::Gang,
        NodeShape::Task if is_strict => Shape::Gang,
        NodeShape::Task => Shape::Array,
    };
    // Strict packing runs all shards as one task with their total resources, which guarantees a single machine.
    let (tasks, task_factor) = match spec.strategy {
        Strategy::StrictPack => (1, f64::from(tasks)),
        _ => (tasks, 1.0),
    };
    let is_finite = shape != Shape::Service;
    JobSpec {
        id,
        class: head.class.clone(),
        team: head.owner.clone(),
        shape,
        rank: head.rank,
        tasks,
        cpus: spec.num_cpus * task_factor,
        gpus: spec.num_gpus * task_factor,
        memory_gb: spec.memory * task_factor / 1e9,
        image: spec.bundle.clone(),
        image_gb: spec.pull_gb,
        flavors: spec.flavors.clone(),
        zone: spec.yard.clone(),
        one_zone: false,
        spread: false,
        spot: spec.loaners && is_finite,
        estimate_s: if is_finite { spec.expect_s } else { 0.0 },
        checkpoint_s: spec.snapshot_s,
        save_s: spec.flush_s,
        deadline_s: deadline_s.filter(|_| is_finite),
        dependencies: Vec::new(),
    }
}

impl OpenGraph {
    /// Expected run time of a node of a kind, in seconds.
    fn node_run_time_s(&self, kind: u16, bias: f64) -> f64 {
        run_time_s(&self.model.kinds[usize::from(kind)], bias)
    }

    /// Recomputes outdated remaining paths, at a limited rate. Returns whether it did.
    pub fn update_paths(&mut self, bias: f64, now: Mono) -> bool {
        let interval =
            Millis((f64::from(self.model.len()) * PATH_UPDATE_INTERVAL_PER_NODE_MS) as u64);
        let is_due =
            self.paths_updated_at.is_none_or(|updated_at| now.since(updated_at) >= interval);
        if !self.paths_stale || !is_due {
            return false;
        }
        self.paths_stale = false;
        self.paths_updated_at = Some(now);
        self.path_s = self.model.compute_paths(|kind| run_time_s(kind, bias));
        true
    }

    /// Creates the next job of ready nodes, if there are any, and marks its nodes as launching. `class_max_retries`
    /// limits the retries of its class.
    pub fn next_job(
        &mut self,
        class_max_retries: Option<u32>,
        bias: f64,
        order: LaunchOrder,
        record_space: RecordSpace,
        (now, wall_ms): (Mono, u64),
    ) -> Option<JobLaunch> {
        if self.phase != Phase::Open {
            return None;
        }
        let (group, nodes): (LaunchGroup, Vec<NodeId>) = match order {
            LaunchOrder::LongestPath => {
                let (group, nodes) = self.model.next_group()?;
                (group, nodes.take(record_space.max_batch_nodes()).collect())
            }
            LaunchOrder::Added => {
                let (group, nodes) = self.model.next_group_by_insertion()?;
                (group, nodes.take(record_space.max_batch_nodes()).collect())
            }
        };
        let seq = self.next_seq?;
        let (node_ranges, taken_count) =
            NodeRanges::from_nodes(&nodes, record_space.max_batch_ranges());
        let nodes = &nodes[..taken_count];
        let node_run_time_s = self.node_run_time_s(group.kind, bias);
        let due = graph_due(self.created, self.head.due_s, self.path_s, now);
        let job_nodes = nodes.iter().filter_map(|node_id| self.model.node(*node_id));
        let deadline_s = job_nodes
            .map(|node| node_due_s(due, node, node_run_time_s, now))
            .fold(f64::MAX, f64::min);
        let kind = &self.model.kinds[usize::from(group.kind)];
        let earlier_failures = u32::from(group.failures);
        let max_retries = match (kind.spec.max_retries, class_max_retries) {
            (Some(requested), Some(class_max_retries)) => Some(requested.min(class_max_retries)),
            (requested, class_max_retries) => requested.or(class_max_retries),
        };
        let strict_spread = match kind.spec.strategy {
            Strategy::Spread => Some(false),
            Strategy::StrictSpread => Some(true),
            Strategy::Pack | Strategy::StrictPack => None,
        };
        let part = GraphPart {
            nodes: node_ranges,
            max_retries: max_retries
                .map(|max_retries| max_retries.saturating_sub(earlier_failures)),
            strict_spread,
        };
        let shards =
            nodes.first().and_then(|node_id| self.model.node(*node_id)).map_or(1, |n| n.shards);
        let tasks = if part.is_batch() { nodes.len() as u32 } else { shards };
        let spec = build_job_spec(&self.head, kind, self.id.job(seq), tasks, Some(deadline_s));
        self.model.mark_launching(nodes.iter().copied());
        self.mark_seq_used(seq);
        self.jobs.insert(seq, (part.clone(), JobPhase::Launching));
        Some(JobLaunch { graph: self.id, seq, spec, part, wall_ms })
    }

    /// Requeues the nodes of a job whose id another job has taken; they run under a new id.
    pub fn requeue_job(&mut self, seq: JobSeq) {
        let Some((part, _)) = self.jobs.remove(&seq) else { return };
        for node_id in part.nodes.iter(self.model.len() as usize) {
            self.model.requeue(node_id, seq, 0);
        }
    }
}
