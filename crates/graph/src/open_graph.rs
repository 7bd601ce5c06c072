//! An open graph: its phase, its open jobs, and how it ends.

use crate::answers::{GraphStatus, GraphView, JobNodes, NodeView, TaskNode};
use crate::constants::FINAL_PAGE_OVERHEAD_BYTES;
use crate::constants::MAX_JOB_NODES_BYTES;
use crate::ids::{GraphId, JobSeq, NodeId};
use crate::model::{Model, NodeState, PreparedAddition};
use crate::records::{
    FailedNode, FinalPage, FinalRecord, GraphHead, GraphPart, GraphPartEnd, Outcome,
};
use crate::requests::{GetGraph, OnFailure};
use oatloom_protocol::ids::{Mono, Revision, TaskId, Token};
use oatloom_protocol::wire::{Failure, JobStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The reason why a graph ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The graph is sealed and all its work has ended.
    Finished,
    /// A node has failed, and the graph cancels the rest on a failure.
    Failed,
    Cancelled,
    SessionEnded,
    /// A record in the state service cannot be decoded or is inconsistent.
    Damaged(String),
}

impl EndReason {
    fn message(&self) -> String {
        match self {
            Self::Finished | Self::Failed => String::new(),
            Self::Cancelled => "cancelled by its client".into(),
            Self::SessionEnded => "its session has ended".into(),
            Self::Damaged(text) => format!("its record is damaged: {text}"),
        }
    }
}

/// The lifecycle phase of an open graph.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The head record is being written for the first time.
    Creating,
    /// A new leader has not loaded all its jobs yet; no node starts.
    Loading,
    Open,
    /// The client's cancellation is being written; no node starts.
    Cancelling,
    /// The graph is ending; its open jobs are being cancelled.
    Stopping(EndReason),
    /// No job is open but those of detached actors; the final pages are being written, then the final record.
    Ending(EndReason),
}

/// The phase of a graph's job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPhase {
    /// The job's record is being written for the first time.
    Launching,
    Open,
    /// The job is cancelled, or will be as soon as its acceptance is known.
    Cancelled,
}

/// An addition that is being written.
#[derive(Clone, Debug)]
pub struct PendingAddition {
    pub prepared: PreparedAddition,
    pub ticket: u64,
}

/// A graph that has not finished.
#[derive(Debug)]
pub struct OpenGraph {
    pub id: GraphId,
    pub head: GraphHead,
    pub version: Revision,
    pub phase: Phase,
    pub model: Model,
    pub created: Mono,
    /// Sequence number of the next job; `None` if all numbers are used.
    pub next_seq: Option<JobSeq>,
    pub jobs: BTreeMap<JobSeq, (GraphPart, JobPhase)>,
    /// Jobs whose end was processed during loading; the end may arrive both as a read and as an event.
    processed_jobs: BTreeSet<JobSeq>,
    pub pending_addition: Option<PendingAddition>,
    /// Requests that wait for the write of the head record.
    pub tickets: Vec<u64>,
    /// Failures of nodes.
    pub failures: BTreeMap<NodeId, Arc<Failure>>,
    /// Whether the remaining paths are outdated.
    pub paths_stale: bool,
    /// Time of the last update of the remaining paths.
    pub paths_updated_at: Option<Mono>,
    /// Longest remaining path, in seconds.
    pub path_s: f64,
    /// Number of final pages that are durable.
    pub durable_final_pages: u32,
}

impl OpenGraph {
    /// A graph without nodes and jobs.
    pub fn new(
        id: GraphId,
        head: GraphHead,
        version: Revision,
        phase: Phase,
        created: Mono,
    ) -> Self {
        Self {
            id,
            head,
            version,
            phase,
            model: Model::default(),
            created,
            next_seq: Some(JobSeq(0)),
            jobs: BTreeMap::new(),
            processed_jobs: BTreeSet::new(),
            pending_addition: None,
            tickets: Vec::new(),
            failures: BTreeMap::new(),
            paths_stale: false,
            paths_updated_at: None,
            path_s: 0.0,
            durable_final_pages: 0,
        }
    }

    /// Changes the phase; all phase changes go through here.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.head.cancelled |= matches!(self.phase, Phase::Cancelling);
        if !matches!(self.phase, Phase::Loading) {
            self.processed_jobs.clear();
        }
    }

    /// Marks a job's sequence number as used.
    pub fn mark_seq_used(&mut self, seq: JobSeq) {
        if self.next_seq.is_some_and(|next| next <= seq) {
            self.next_seq = seq.next();
        }
    }

    fn expand_nodes(&self, ranges: &crate::node_ranges::NodeRanges) -> Vec<NodeId> {
        ranges.iter(self.model.len() as usize).collect()
    }

    /// Whether a job continues after its graph has ended, as a detached actor does.
    pub fn outlives_graph(&self, part: &GraphPart) -> bool {
        let node = part.node(0).and_then(|node_id| self.model.node(node_id));
        node.is_some_and(|node| {
            let kind = self.model.kind_of(node);
            kind.is_actor() && kind.spec.detached
        })
    }

    /// Records that a job was accepted. Returns whether it must be cancelled immediately.
    pub fn mark_job_open(&mut self, seq: JobSeq, part: &GraphPart, done: &[u32]) -> bool {
        self.mark_seq_used(seq);
        for node_id in self.expand_nodes(&part.nodes) {
            self.model.mark_started(node_id, seq);
        }
        let outlives_graph = self.outlives_graph(part);
        let must_cancel = matches!(self.phase, Phase::Stopping(_)) && !outlives_graph;
        let phase = if must_cancel { JobPhase::Cancelled } else { JobPhase::Open };
        self.jobs.insert(seq, (part.clone(), phase));
        self.mark_tasks_done(seq, done);
        must_cancel
    }

    /// Marks the nodes of an array as done whose tasks are durably done, while the job is still open. The job of a
    /// single node is ignored: its node is done when the job is.
    pub fn mark_tasks_done(&mut self, seq: JobSeq, done: &[u32]) {
        let Some((part, _)) = self.jobs.get(&seq).filter(|(part, _)| part.is_batch()) else {
            return;
        };
        let nodes: Vec<NodeId> = done.iter().filter_map(|task| part.node(*task)).collect();
        nodes.into_iter().for_each(|node_id| self.model.mark_ended(node_id, NodeState::Done));
    }

    /// Records the durable end of a job.
    pub fn finish_job(
        &mut self,
        seq: JobSeq,
        end: &GraphPartEnd,
        status: JobStatus,
        failure: Option<&Arc<Failure>>,
    ) {
        self.mark_seq_used(seq);
        let was_open = self.jobs.remove(&seq).is_some();
        let is_first =
            if self.phase == Phase::Loading { self.processed_jobs.insert(seq) } else { was_open };
        if !is_first {
            return;
        }
        let nodes = self.expand_nodes(&end.nodes);
        for node_id in &nodes {
            self.model.mark_started(*node_id, seq);
        }
        let state = match status {
            JobStatus::Done => NodeState::Done,
            JobStatus::Failed => NodeState::Failed,
            _ => NodeState::Cancelled,
        };
        if state == NodeState::Done || nodes.len() == 1 {
            let with_failure =
                |node_id: &NodeId| (*node_id, failure.filter(|_| state == NodeState::Failed));
            nodes
                .iter()
                .map(with_failure)
                .for_each(|(node_id, failure)| self.finish_node(node_id, state, failure));
            return;
        }
        let failed_task = failure.and_then(|f| TaskId::parse(&f.task)).map(|task| task.index);
        let done: BTreeSet<u32> = end.done.iter().copied().collect();
        let failure_counts: BTreeMap<u32, u32> = end.failure_counts.iter().copied().collect();
        for (task, node_id) in (0..).zip(nodes) {
            if done.contains(&task) {
                self.finish_node(node_id, NodeState::Done, None);
            } else if state == NodeState::Cancelled || failed_task == Some(task) {
                self.finish_node(node_id, state, failure);
            } else {
                // The array ended because another node failed; this node runs again.
                self.model.requeue(node_id, seq, failure_counts.get(&task).copied().unwrap_or(0));
            }
        }
    }

    fn finish_node(&mut self, node_id: NodeId, state: NodeState, failure: Option<&Arc<Failure>>) {
        let earlier_failures = self.model.node(node_id).map_or(0, |node| u32::from(node.failures));
        if let Some(failure) = failure {
            // Failures in earlier jobs count as well.
            let mut total = (**failure).clone();
            total.failures = total.failures.saturating_add(earlier_failures);
            total.repeats = total.repeats.saturating_add(earlier_failures);
            self.failures.insert(node_id, Arc::new(total));
        }
        self.model.mark_ended(node_id, state);
    }

    /// The first failed node, otherwise the first cancelled one. Actors are excepted: they are cancelled when their
    /// graph is done.
    fn first_unsuccessful(&self) -> Option<NodeId> {
        let find_first = |state: NodeState| {
            let is_unsuccessful = |node_id: &NodeId| {
                self.model.node(*node_id).is_some_and(|node| {
                    let is_stopped_actor =
                        state == NodeState::Cancelled && self.model.kind_of(node).is_actor();
                    node.state == state && !is_stopped_actor
                })
            };
            let has_any = self.model.count(state) > 0;
            has_any.then(|| (0..self.model.len()).map(NodeId).find(is_unsuccessful)).flatten()
        };
        find_first(NodeState::Failed).or_else(|| find_first(NodeState::Cancelled))
    }

    /// Updates the phase from the states of the nodes. Returns the jobs to cancel.
    pub fn update_phase(&mut self) -> Vec<JobSeq> {
        let mut cancelled = Vec::new();
        if self.phase == Phase::Open {
            if self.head.on_failure == OnFailure::CancelRest && self.first_unsuccessful().is_some()
            {
                cancelled = self.stop(EndReason::Failed);
            } else if self.model.sealed && self.model.unfinished_work_count == 0 {
                cancelled = self.stop(EndReason::Finished);
            }
        }
        if let Phase::Stopping(reason) = &self.phase
            && self.jobs.values().all(|(part, _)| self.outlives_graph(part))
        {
            let reason = reason.clone();
            let remaining: Vec<NodeId> =
                self.jobs.values().filter_map(|(part, _)| part.node(0)).collect();
            remaining
                .into_iter()
                .for_each(|node_id| self.model.mark_ended(node_id, NodeState::Done));
            self.model.end_unfinished();
            self.enter(Phase::Ending(reason));
        }
        cancelled
    }

    /// Starts to end the graph. Returns the jobs to cancel.
    pub fn stop(&mut self, reason: EndReason) -> Vec<JobSeq> {
        if matches!(self.phase, Phase::Stopping(_) | Phase::Ending(_)) {
            return Vec::new();
        }
        self.enter(Phase::Stopping(reason));
        let seqs: Vec<JobSeq> = self.jobs.keys().copied().collect();
        let mut cancelled = Vec::new();
        for seq in seqs {
            let outlives_graph =
                self.jobs.get(&seq).is_some_and(|(part, _)| self.outlives_graph(part));
            if let Some((_, phase)) = self.jobs.get_mut(&seq).filter(|_| !outlives_graph)
                && *phase == JobPhase::Open
            {
                *phase = JobPhase::Cancelled;
                cancelled.push(seq);
            }
        }
        cancelled
    }

    fn outcome(&self, reason: &EndReason) -> Outcome {
        match reason {
            EndReason::Finished if self.first_unsuccessful().is_none() => Outcome::Done,
            EndReason::Finished | EndReason::Failed => Outcome::Failed,
            EndReason::Cancelled | EndReason::SessionEnded | EndReason::Damaged(_) => {
                Outcome::Cancelled
            }
        }
    }

    fn failed_node(&self, node_id: NodeId) -> Option<FailedNode> {
        let node = self.model.node(node_id)?.name.to_string();
        Some(FailedNode { node, failure: self.failures.get(&node_id).cloned() })
    }

    /// The final record.
    pub fn final_record(&self, reason: &EndReason) -> FinalRecord {
        let outcome = self.outcome(reason);
        let failed = self.first_unsuccessful().filter(|_| outcome == Outcome::Failed);
        FinalRecord {
            outcome,
            key: self.head.key.clone(),
            nodes: self.model.len(),
            counts: [NodeState::Done, NodeState::Failed, NodeState::Cancelled, NodeState::Skipped]
                .map(|state| self.model.count(state)),
            pages: self.model.page_count(),
            failed: failed.and_then(|node_id| self.failed_node(node_id)),
            reason: reason.message(),
        }
    }

    /// The final states of a page's nodes, with as many failures as fit into a value of `value_bytes`.
    pub fn final_page(&self, page: u32, value_bytes: usize) -> FinalPage {
        let page_nodes = || self.model.page_nodes(page).map(NodeId);
        let row = |node_id: NodeId| {
            let node = self.model.node(node_id)?;
            Some((node.name.to_string(), node.job_number(), node.state.status().letter()))
        };
        let failed_node = |node_id: NodeId| {
            self.failures.contains_key(&node_id).then(|| self.failed_node(node_id))?
        };
        let rows: Vec<_> = page_nodes().filter_map(row).collect();
        let json_bytes =
            |text: serde_json::Result<String>| text.map_or(usize::MAX, |text| text.len() + 1);
        let mut bytes_left = value_bytes
            .saturating_sub(json_bytes(serde_json::to_string(&rows)) + FINAL_PAGE_OVERHEAD_BYTES);
        let take_if_fits = |failure: &FailedNode| {
            let bytes = json_bytes(serde_json::to_string(failure));
            let fits = bytes <= bytes_left;
            bytes_left -= if fits { bytes } else { 0 };
            fits
        };
        FinalPage {
            nodes: rows,
            failures: page_nodes().filter_map(failed_node).filter(take_if_fits).collect(),
        }
    }

    /// The id of the job that produced a node's result.
    fn producing_job(&self, node_id: NodeId) -> Option<String> {
        let seq = self.model.node(node_id)?.job()?;
        Some(self.id.job(seq).to_string())
    }

    /// The nodes that a job runs, from task `after` on.
    pub fn job_nodes(&self, seq: JobSeq, after: u32) -> Option<JobNodes> {
        let (part, _) = self.jobs.get(&seq)?;
        let (mut nodes, mut bytes, mut next) = (Vec::new(), 0, None);
        for (task, node_id) in (0u32..).zip(part.nodes.iter(self.model.len() as usize)) {
            if task < after {
                continue;
            }
            if bytes > MAX_JOB_NODES_BYTES {
                next = Some(task);
                break;
            }
            let input = |node_id: NodeId| {
                Some((
                    self.model.node(node_id)?.name.to_string(),
                    self.producing_job(node_id).unwrap_or_default(),
                ))
            };
            let needs: Vec<(String, String)> =
                self.model.needs(node_id).filter_map(input).collect();
            let node = self.model.node(node_id)?.name.to_string();
            bytes +=
                40 + node.len() + needs.iter().map(|(a, b)| a.len() + b.len() + 6).sum::<usize>();
            nodes.push(TaskNode { task, node, needs });
        }
        Some(JobNodes { graph: self.id, job: None, nodes, next })
    }

    fn node_view(&self, node_id: NodeId) -> Option<NodeView> {
        let node = self.model.node(node_id)?;
        Some(NodeView {
            name: node.name.to_string(),
            status: node.state.status(),
            job: node.job().map(|seq| self.id.job(seq)),
            failure: self.failures.get(&node_id).cloned(),
        })
    }

    /// The view for clients. A position from another leader's answer restarts at the beginning, since each leader
    /// records the changes in its own memory only.
    pub fn view(&self, token: Token, range: &GetGraph) -> GraphView {
        let count = |state| self.model.count(state);
        let status = match self.phase {
            Phase::Creating | Phase::Loading | Phase::Open => GraphStatus::Open,
            Phase::Cancelling | Phase::Stopping(_) | Phase::Ending(_) => GraphStatus::Ending,
        };
        let from = range.after.split_once('.').filter(|(term, _)| *term == token.to_string());
        let from: usize = from.and_then(|(_, position)| position.parse().ok()).unwrap_or(0);
        let changes = &self.model.changes;
        let from = from.min(changes.len());
        // The final record reports the remaining changes of an ending graph.
        let awaits_final_record = matches!(self.phase, Phase::Ending(_));
        let max_nodes = if awaits_final_record { 0 } else { range.max_nodes };
        let to = changes.len().min(from.saturating_add(max_nodes));
        let changed_nodes: BTreeSet<NodeId> = changes[from..to].iter().copied().collect();
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
            failure: self.first_unsuccessful().and_then(|node_id| self.failed_node(node_id)),
            reason: match &self.phase {
                Phase::Stopping(reason) | Phase::Ending(reason) => reason.message(),
                _ => String::new(),
            },
            changed: changed_nodes
                .into_iter()
                .filter_map(|node_id| self.node_view(node_id))
                .collect(),
            next: format!("{token}.{to}"),
            more: !awaits_final_record && to < changes.len(),
        }
    }
}
