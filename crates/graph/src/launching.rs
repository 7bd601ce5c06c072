//! Nodes that may start become ordinary jobs: ready ones of one shape as one array, gangs whole.

use crate::constants::*;
use crate::ids::{GraphId, NodeIx, Seq};
use crate::live::{JobPhase, Live, Phase};
use crate::model::{Group, Kind, Room};
use crate::paths::{graph_due, node_due_s, seconds};
use crate::records::{Head, Part};
use crate::requests::{NodeShape, Strategy};
use crate::runs::Runs;
use oatloom_protocol::ids::{JobId, Millis, Mono};
use oatloom_protocol::wire::{JobSpec, Shape};

/// In which order nodes go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The longest remaining path first.
    #[default]
    LongestPath,
    /// As they were added; what measurements hold the other against.
    Added,
}

/// A job that runs nodes, as it is to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Launch {
    pub graph: GraphId,
    pub seq: Seq,
    pub spec: JobSpec,
    pub part: Part,
    /// Time of day at which it was made, in milliseconds. Written again, it is the same.
    pub wall_ms: u64,
}

impl Launch {
    pub fn id(&self) -> &JobId {
        &self.spec.id
    }
}

/// The job for a node of a kind, or for several as the tasks of one array.
pub(crate) fn job_spec(
    head: &Head,
    kind: &Kind,
    id: JobId,
    tasks: u32,
    deadline_s: Option<f64>,
) -> JobSpec {
    let spec = &kind.spec;
    let strict = matches!(spec.strategy, Strategy::StrictPack | Strategy::StrictSpread);
    let shape = match spec.shape {
        NodeShape::Actor => Shape::Service,
        NodeShape::Gang => Shape::Gang,
        NodeShape::Task if strict => Shape::Gang,
        NodeShape::Task => Shape::Array,
    };
    // On one machine for certain is one task that takes what all of them need.
    let (tasks, each) = match spec.strategy {
        Strategy::StrictPack => (1, f64::from(tasks)),
        _ => (tasks, 1.0),
    };
    let ends = shape != Shape::Service;
    JobSpec {
        id,
        class: head.class.clone(),
        team: head.owner.clone(),
        shape,
        rank: head.rank,
        tasks,
        cpus: spec.num_cpus * each,
        gpus: spec.num_gpus * each,
        memory_gb: spec.memory * each / 1e9,
        image: spec.bundle.clone(),
        image_gb: spec.pull_gb,
        flavors: spec.flavors.clone(),
        zone: spec.yard.clone(),
        one_zone: false,
        spread: false,
        spot: spec.loaners && ends,
        estimate_s: if ends { spec.expect_s } else { 0.0 },
        checkpoint_s: spec.snapshot_s,
        save_s: spec.flush_s,
        deadline_s: deadline_s.filter(|_| ends),
        dependencies: Vec::new(),
    }
}

impl Live {
    /// What a node's kind takes, in seconds.
    fn own_s(&self, kind: u16, bias: f64) -> f64 {
        seconds(&self.model.kinds[usize::from(kind)], bias)
    }

    /// Weighs the paths anew if they have changed, though not too often. Returns whether it did.
    pub fn weigh(&mut self, bias: f64, now: Mono) -> bool {
        let pause = Millis((f64::from(self.model.len()) * PATHS_MS_A_NODE) as u64);
        let due = self.weighed.is_none_or(|at| now.since(at) >= pause);
        if !self.stale || !due {
            return false;
        }
        self.stale = false;
        self.weighed = Some(now);
        self.path_s = self.model.weigh(|kind| seconds(kind, bias));
        true
    }

    /// The next job of ready nodes, if there are any. `allowed`: how often its class may be repeated.
    pub fn launch(
        &mut self,
        allowed: Option<u32>,
        bias: f64,
        order: Order,
        room: Room,
        (now, wall_ms): (Mono, u64),
    ) -> Option<Launch> {
        if self.phase != Phase::Open {
            return None;
        }
        let (group, nodes): (Group, Vec<NodeIx>) = match order {
            Order::LongestPath => {
                let (group, nodes) = self.model.next_group()?;
                (group, nodes.take(room.batch()).collect())
            }
            Order::Added => {
                let (group, nodes) = self.model.next_in_order()?;
                (group, nodes.take(room.batch()).collect())
            }
        };
        let seq = self.next?;
        let (runs, taken) = Runs::of(&nodes, room.runs());
        let nodes = &nodes[..taken];
        let own_s = self.own_s(group.kind, bias);
        let due = graph_due(self.created, self.head.due_s, self.path_s, now);
        let left = nodes.iter().filter_map(|at| self.model.node(*at));
        let left_s = left.map(|node| node_due_s(due, node, own_s, now)).fold(f64::MAX, f64::min);
        let kind = &self.model.kinds[usize::from(group.kind)];
        let failed = u32::from(group.failures);
        let most = match (kind.spec.max_retries, allowed) {
            (Some(asked), Some(allowed)) => Some(asked.min(allowed)),
            (asked, allowed) => asked.or(allowed),
        };
        let apart = match kind.spec.strategy {
            Strategy::Spread => Some(false),
            Strategy::StrictSpread => Some(true),
            Strategy::Pack | Strategy::StrictPack => None,
        };
        let part =
            Part { nodes: runs, repeats: most.map(|most| most.saturating_sub(failed)), apart };
        let shards = nodes.first().and_then(|at| self.model.node(*at)).map_or(1, |n| n.shards);
        let tasks = if part.batch() { nodes.len() as u32 } else { shards };
        let spec = job_spec(&self.head, kind, self.id.job(seq), tasks, Some(left_s));
        self.model.launching(nodes.iter().copied());
        self.passed(seq);
        self.jobs.insert(seq, (part.clone(), JobPhase::Launching));
        Some(Launch { graph: self.id, seq, spec, part, wall_ms })
    }

    /// A job's id was taken by another: its nodes go under another one.
    pub fn relaunch(&mut self, seq: Seq) {
        let Some((part, _)) = self.jobs.remove(&seq) else { return };
        for at in part.nodes.iter(self.model.len() as usize) {
            self.model.again(at, seq, 0);
        }
    }
}
