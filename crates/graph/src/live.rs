//! One graph that is not over: which of its jobs are open, and how it comes to its end.

use crate::answers::{GraphStatus, GraphView, JobNodes, NodeView, TaskNode};
use crate::constants::END_HEAD_BYTES;
use crate::constants::JOB_NODES_BYTES;
use crate::ids::{GraphId, NodeIx, Seq};
use crate::model::{Model, NodeState, Prepared};
use crate::records::{FailedNode, Head, Outcome, OverPage, OverRecord, Part, PartEnd};
use crate::requests::{Look, OnFailure};
use oatloom_protocol::ids::{Mono, Revision, TaskId, Token};
use oatloom_protocol::wire::{Failure, JobStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Why a graph ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// It is sealed, and all its work has ended.
    Finished,
    /// A node has failed, and the rest is to be cancelled.
    Failed,
    Cancelled,
    SessionGone,
    /// What stands of it in the state service cannot be read.
    Damaged(String),
}

impl Why {
    fn text(&self) -> String {
        match self {
            Self::Finished | Self::Failed => String::new(),
            Self::Cancelled => "cancelled by its client".into(),
            Self::SessionGone => "its session has ended".into(),
            Self::Damaged(text) => format!("its record is damaged: {text}"),
        }
    }
}

/// Where a graph stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its head is being written for the first time.
    Creating,
    /// A new leader does not know all of its jobs yet; nothing of it starts.
    Loading,
    Open,
    /// That its client has cancelled it is being written; nothing of it starts.
    Marking,
    /// Its end is decided. What runs of it is being stopped.
    Stopping(Why),
    /// Nothing of it runs; how its nodes ended is being written, then its final answer.
    Ending(Why),
}

/// Where one of its jobs stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// Being written for the first time.
    Launching,
    Open,
    /// To be cancelled as soon as it is known to be accepted, or cancelled already.
    Cancelled,
}

/// An addition on its way into the state service.
#[derive(Clone, Debug)]
pub struct Pending {
    pub prepared: Prepared,
    pub ticket: u64,
}

#[derive(Debug)]
pub struct Live {
    pub id: GraphId,
    pub head: Head,
    pub stamp: Revision,
    pub phase: Phase,
    pub model: Model,
    pub created: Mono,
    /// The number of its next job.
    pub next: Option<Seq>,
    pub jobs: BTreeMap<Seq, (Part, JobPhase)>,
    /// Jobs whose end was taken up while it was loaded.
    seen: BTreeSet<Seq>,
    pub pending: Option<Pending>,
    /// Who waits for its head.
    pub tickets: Vec<u64>,
    /// Why nodes failed.
    pub failures: BTreeMap<NodeIx, Arc<Failure>>,
    /// Whether its paths are to be weighed anew, and when they last were.
    pub stale: bool,
    pub weighed: Option<Mono>,
    pub path_s: f64,
    /// Pages of its end that are durable.
    pub ended_pages: u32,
}

impl Live {
    pub fn new(id: GraphId, head: Head, stamp: Revision, phase: Phase, created: Mono) -> Self {
        Self {
            id,
            head,
            stamp,
            phase,
            model: Model::default(),
            created,
            next: Some(Seq(0)),
            jobs: BTreeMap::new(),
            seen: BTreeSet::new(),
            pending: None,
            tickets: Vec::new(),
            failures: BTreeMap::new(),
            stale: false,
            weighed: None,
            path_s: 0.0,
            ended_pages: 0,
        }
    }

    /// The one place where the phase changes.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.head.cancelled |= matches!(self.phase, Phase::Marking);
        if !matches!(self.phase, Phase::Loading) {
            self.seen.clear();
        }
    }

    /// A number is used up.
    pub fn passed(&mut self, seq: Seq) {
        if self.next.is_some_and(|next| next <= seq) {
            self.next = seq.next();
        }
    }

    fn nodes_of(&self, runs: &crate::runs::Runs) -> Vec<NodeIx> {
        runs.iter(self.model.len() as usize).collect()
    }

    /// Whether a job outlives its graph.
    pub fn outlives(&self, part: &Part) -> bool {
        let node = part.node(0).and_then(|at| self.model.node(at));
        node.is_some_and(|node| {
            let kind = self.model.kind_of(node);
            kind.is_actor() && kind.spec.detached
        })
    }

    /// A job of it is known to be accepted. Returns whether it is to be cancelled at once.
    pub fn job_open(&mut self, seq: Seq, part: &Part, done: &[u32]) -> bool {
        self.passed(seq);
        for at in self.nodes_of(&part.nodes) {
            self.model.started(at, seq);
        }
        let outlives = self.outlives(part);
        let stopping = matches!(self.phase, Phase::Stopping(_)) && !outlives;
        let phase = if stopping { JobPhase::Cancelled } else { JobPhase::Open };
        self.jobs.insert(seq, (part.clone(), phase));
        self.tasks_done(seq, done);
        stopping
    }

    /// Tasks of an open job are known to be done for good.
    pub fn tasks_done(&mut self, seq: Seq, done: &[u32]) {
        let Some((part, _)) = self.jobs.get(&seq).filter(|(part, _)| part.batch()) else { return };
        let nodes: Vec<NodeIx> = done.iter().filter_map(|task| part.node(*task)).collect();
        nodes.into_iter().for_each(|at| self.model.ended(at, NodeState::Done));
    }

    /// A job of it is over, for good.
    pub fn job_over(
        &mut self,
        seq: Seq,
        end: &PartEnd,
        status: JobStatus,
        failure: Option<&Arc<Failure>>,
    ) {
        self.passed(seq);
        let known = self.jobs.remove(&seq).is_some();
        let fresh = if self.phase == Phase::Loading { self.seen.insert(seq) } else { known };
        if !fresh {
            return;
        }
        let nodes = self.nodes_of(&end.nodes);
        for at in &nodes {
            self.model.started(*at, seq);
        }
        let state = match status {
            JobStatus::Done => NodeState::Done,
            JobStatus::Failed => NodeState::Failed,
            _ => NodeState::Cancelled,
        };
        if state == NodeState::Done || nodes.len() == 1 {
            let whose = |at: &NodeIx| (*at, failure.filter(|_| state == NodeState::Failed));
            nodes.iter().map(whose).for_each(|(at, failure)| self.node_over(at, state, failure));
            return;
        }
        let failed = failure.and_then(|f| TaskId::parse(&f.task)).map(|task| task.index);
        let done: BTreeSet<u32> = end.done.iter().copied().collect();
        let charged: BTreeMap<u32, u32> = end.charged.iter().copied().collect();
        for (task, at) in (0..).zip(nodes) {
            if done.contains(&task) {
                self.node_over(at, NodeState::Done, None);
            } else if state == NodeState::Cancelled || failed == Some(task) {
                self.node_over(at, state, failure);
            } else {
                // The array ended for another node's sake.
                self.model.again(at, seq, charged.get(&task).copied().unwrap_or(0));
            }
        }
    }

    fn node_over(&mut self, at: NodeIx, state: NodeState, failure: Option<&Arc<Failure>>) {
        let before = self.model.node(at).map_or(0, |node| u32::from(node.failures));
        if let Some(failure) = failure {
            // What stood against it in earlier jobs counts as well.
            let mut whole = (**failure).clone();
            whole.failures = whole.failures.saturating_add(before);
            whole.repeats = whole.repeats.saturating_add(before);
            self.failures.insert(at, Arc::new(whole));
        }
        self.model.ended(at, state);
    }

    /// The first node that failed, else the first that was cancelled. Actors end as cancelled when their graph is done,
    /// which is nothing bad.
    fn first_bad(&self) -> Option<NodeIx> {
        let first = |state: NodeState| {
            let bad = |at: &NodeIx| {
                self.model.node(*at).is_some_and(|node| {
                    let meant =
                        state == NodeState::Cancelled && self.model.kind_of(node).is_actor();
                    node.state == state && !meant
                })
            };
            let any = self.model.count(state) > 0;
            any.then(|| (0..self.model.len()).map(NodeIx).find(bad)).flatten()
        };
        first(NodeState::Failed).or_else(|| first(NodeState::Cancelled))
    }

    /// What follows from where its nodes stand. Returns the jobs that are to be cancelled.
    pub fn review(&mut self) -> Vec<Seq> {
        let mut cancelled = Vec::new();
        if self.phase == Phase::Open {
            if self.head.on_failure == OnFailure::CancelRest && self.first_bad().is_some() {
                cancelled = self.stop(Why::Failed);
            } else if self.model.sealed && self.model.work_left == 0 {
                cancelled = self.stop(Why::Finished);
            }
        }
        if let Phase::Stopping(why) = &self.phase
            && self.jobs.values().all(|(part, _)| self.outlives(part))
        {
            let why = why.clone();
            let on: Vec<NodeIx> = self.jobs.values().filter_map(|(part, _)| part.node(0)).collect();
            on.into_iter().for_each(|at| self.model.ended(at, NodeState::Done));
            self.model.end_rest();
            self.enter(Phase::Ending(why));
        }
        cancelled
    }

    /// Its end is decided. Returns the jobs that are to be cancelled.
    pub fn stop(&mut self, why: Why) -> Vec<Seq> {
        if matches!(self.phase, Phase::Stopping(_) | Phase::Ending(_)) {
            return Vec::new();
        }
        self.enter(Phase::Stopping(why));
        let seqs: Vec<Seq> = self.jobs.keys().copied().collect();
        let mut cancelled = Vec::new();
        for seq in seqs {
            let outlives = self.jobs.get(&seq).is_some_and(|(part, _)| self.outlives(part));
            if let Some((_, phase)) = self.jobs.get_mut(&seq).filter(|_| !outlives)
                && *phase == JobPhase::Open
            {
                *phase = JobPhase::Cancelled;
                cancelled.push(seq);
            }
        }
        cancelled
    }

    fn outcome(&self, why: &Why) -> Outcome {
        match why {
            Why::Finished if self.first_bad().is_none() => Outcome::Done,
            Why::Finished | Why::Failed => Outcome::Failed,
            Why::Cancelled | Why::SessionGone | Why::Damaged(_) => Outcome::Cancelled,
        }
    }

    fn failed_node(&self, at: NodeIx) -> Option<FailedNode> {
        let node = self.model.node(at)?.name.to_string();
        Some(FailedNode { node, failure: self.failures.get(&at).cloned() })
    }

    /// Its final answer.
    pub fn over_record(&self, why: &Why) -> OverRecord {
        let outcome = self.outcome(why);
        let failed = self.first_bad().filter(|_| outcome == Outcome::Failed);
        OverRecord {
            outcome,
            key: self.head.key.clone(),
            nodes: self.model.len(),
            counts: [NodeState::Done, NodeState::Failed, NodeState::Cancelled, NodeState::Skipped]
                .map(|state| self.model.count(state)),
            pages: self.model.page_count(),
            failed: failed.and_then(|at| self.failed_node(at)),
            why: why.text(),
        }
    }

    /// How the nodes of a page ended.
    /// How the nodes of a page ended. Why they failed is told as far as a value of so many bytes holds it.
    pub fn over_page(&self, page: u32, value: usize) -> OverPage {
        let nodes = || self.model.page_nodes(page).map(NodeIx);
        let row = |at: NodeIx| {
            let node = self.model.node(at)?;
            Some((node.name.to_string(), node.job_number(), node.state.status().letter()))
        };
        let failed = |at: NodeIx| self.failures.contains_key(&at).then(|| self.failed_node(at))?;
        let rows: Vec<_> = nodes().filter_map(row).collect();
        let size =
            |text: serde_json::Result<String>| text.map_or(usize::MAX, |text| text.len() + 1);
        let mut left = value.saturating_sub(size(serde_json::to_string(&rows)) + END_HEAD_BYTES);
        let fits = |failure: &FailedNode| {
            let taken = size(serde_json::to_string(failure));
            let fits = taken <= left;
            left -= if fits { taken } else { 0 };
            fits
        };
        OverPage { nodes: rows, failures: nodes().filter_map(failed).filter(fits).collect() }
    }

    /// The task that made a node's result.
    fn task_of(&self, at: NodeIx) -> Option<String> {
        let seq = self.model.node(at)?.job()?;
        Some(self.id.job(seq).to_string())
    }

    /// What a job runs, from a task on.
    pub fn job_nodes(&self, seq: Seq, after: u32) -> Option<JobNodes> {
        let (part, _) = self.jobs.get(&seq)?;
        let (mut nodes, mut bytes, mut next) = (Vec::new(), 0, None);
        for (task, at) in (0u32..).zip(part.nodes.iter(self.model.len() as usize)) {
            if task < after {
                continue;
            }
            if bytes > JOB_NODES_BYTES {
                next = Some(task);
                break;
            }
            let input = |at: NodeIx| {
                Some((self.model.node(at)?.name.to_string(), self.task_of(at).unwrap_or_default()))
            };
            let needs: Vec<(String, String)> = self.model.needs(at).filter_map(input).collect();
            let node = self.model.node(at)?.name.to_string();
            bytes +=
                40 + node.len() + needs.iter().map(|(a, b)| a.len() + b.len() + 6).sum::<usize>();
            nodes.push(TaskNode { task, node, needs });
        }
        Some(JobNodes { graph: self.id, job: None, nodes, next })
    }

    fn node_view(&self, at: NodeIx) -> Option<NodeView> {
        let node = self.model.node(at)?;
        Some(NodeView {
            name: node.name.to_string(),
            status: node.state.status(),
            job: node.job().map(|seq| self.id.job(seq)),
            failure: self.failures.get(&at).cloned(),
        })
    }

    /// How it is doing, as this leader has seen it. Positions of another leader's answers count from the beginning.
    pub fn view(&self, token: Token, look: &Look) -> GraphView {
        let count = |state| self.model.count(state);
        let status = match self.phase {
            Phase::Creating | Phase::Loading | Phase::Open => GraphStatus::Open,
            Phase::Marking | Phase::Stopping(_) | Phase::Ending(_) => GraphStatus::Ending,
        };
        let from = look.after.split_once('.').filter(|(of, _)| *of == token.to_string());
        let from: usize = from.and_then(|(_, at)| at.parse().ok()).unwrap_or(0);
        let changes = &self.model.changes;
        let from = from.min(changes.len());
        // The end of what was not told as final of a graph that is ending is told with its final answer.
        let early = matches!(self.phase, Phase::Ending(_));
        let most = if early { 0 } else { look.most };
        let to = changes.len().min(from.saturating_add(most));
        let rows: BTreeSet<NodeIx> = changes[from..to].iter().copied().collect();
        GraphView {
            graph: self.id,
            status,
            sealed: self.model.sealed,
            nodes: self.model.len(),
            waiting: count(NodeState::Waiting)
                + count(NodeState::Ready)
                + count(NodeState::Launching),
            started: count(NodeState::Started),
            done: count(NodeState::Done),
            failed: count(NodeState::Failed),
            cancelled: count(NodeState::Cancelled),
            skipped: count(NodeState::Skipped),
            path_s: self.path_s,
            failure: self.first_bad().and_then(|at| self.failed_node(at)),
            why: match &self.phase {
                Phase::Stopping(why) | Phase::Ending(why) => why.text(),
                _ => String::new(),
            },
            changed: rows.into_iter().filter_map(|at| self.node_view(at)).collect(),
            next: format!("{token}.{to}"),
            more: !early && to < changes.len(),
        }
    }
}
