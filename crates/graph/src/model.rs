//! The nodes of a graph: their dependencies, their states, and which of them are ready.

use crate::answers::NodeStatus;
use crate::constants::*;
use crate::ids::{JobSeq, NodeId};
use crate::records::{NodeRow, Page};
use crate::requests::{AddNodes, KindSpec, NodeShape, Strategy};
use petgraph::Direction;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

/// The state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// At least one input is not done.
    Waiting,
    /// All inputs are done; no job runs the node yet.
    Ready,
    /// The record of the node's job is being written.
    Launching,
    /// The node's job is accepted.
    Started,
    Done,
    Failed,
    Cancelled,
    /// An input ended without being done.
    Skipped,
}

impl NodeState {
    const ALL: usize = 8;

    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        self >= Self::Done
    }

    /// Whether the node ended without being done, so that its dependents can never start.
    pub fn is_unsuccessful(self) -> bool {
        self >= Self::Failed
    }

    /// The status that clients see.
    pub fn status(self) -> NodeStatus {
        match self {
            Self::Waiting | Self::Ready | Self::Launching => NodeStatus::Waiting,
            Self::Started => NodeStatus::Started,
            Self::Done => NodeStatus::Done,
            Self::Failed => NodeStatus::Failed,
            Self::Cancelled => NodeStatus::Cancelled,
            Self::Skipped => NodeStatus::Skipped,
        }
    }
}

/// A node of a graph.
#[derive(Debug)]
pub struct Node {
    pub name: Box<str>,
    pub kind: u16,
    pub state: NodeState,
    pub shards: u32,
    /// Number of inputs that are not done.
    unfinished_inputs: u32,
    /// Sequence number of its latest job plus one; 0 if it had none.
    job: u32,
    /// Number of failures in its ended jobs.
    pub failures: u16,
    /// Longest remaining path from the node's start to the end of the last node that depends on it, in seconds, by the
    /// run times known so far.
    pub path_s: f32,
}

impl Node {
    /// The latest job that ran the node.
    pub fn job(&self) -> Option<JobSeq> {
        self.job.checked_sub(1).map(|seq| JobSeq(u64::from(seq)))
    }

    /// The job as stored in records: sequence number plus one, 0 for none.
    pub fn job_number(&self) -> u64 {
        u64::from(self.job)
    }
}

/// A kind of nodes: their shared requirements.
#[derive(Debug)]
pub struct NodeKind {
    pub name: String,
    pub spec: KindSpec,
    /// Measured run time of a task of this kind, in seconds.
    pub measured_run_time_s: Option<f64>,
}

impl NodeKind {
    /// Whether several nodes of this kind may run as the tasks of one array.
    fn can_batch(&self, shards: u32) -> bool {
        shards == 1
            && self.spec.shape == NodeShape::Task
            && matches!(self.spec.strategy, Strategy::Pack | Strategy::Spread)
    }

    /// Whether nodes of this kind are actors.
    pub fn is_actor(&self) -> bool {
        self.spec.shape == NodeShape::Actor
    }
}

/// Key of ready nodes that may run in one job. Groups with the longest remaining paths sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchGroup {
    /// Negated remaining path in whole logarithmic steps, so that the longest path sorts first.
    pub path_step: i32,
    pub kind: u16,
    pub failures: u16,
    /// The node, if it cannot share a job with others.
    pub single_node: Option<NodeId>,
}

/// The HTTP status and error text of a rejected addition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedAddition(pub u16, pub String);

fn reject_addition<T>(status: u16, text: impl Into<String>) -> Result<T, RejectedAddition> {
    Err(RejectedAddition(status, text.into()))
}

/// The reason why a stored page is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("page {page}: {text}")]
pub struct DamagedPage {
    pub page: u32,
    pub text: &'static str,
}

/// A validated addition in the form in which it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedAddition {
    pub pages: Vec<Page>,
    pub bytes: usize,
    pub nodes: u32,
}

/// Limits of the state service on the records of one addition.
#[derive(Clone, Copy, Debug)]
pub struct RecordSpace {
    /// Maximum bytes of a value.
    pub value_bytes: usize,
    /// Maximum number of values in one transaction.
    pub value_count: usize,
}

impl RecordSpace {
    /// Scales a count that fits into a value of [`REFERENCE_VALUE_BYTES`] down to the actual value size.
    fn scale_by_value(&self, max_count: usize) -> usize {
        (max_count * self.value_bytes / REFERENCE_VALUE_BYTES).clamp(1, max_count)
    }

    /// Maximum number of nodes in one array.
    pub fn max_batch_nodes(&self) -> usize {
        self.scale_by_value(MAX_BATCH_NODE_COUNT)
    }

    /// Maximum number of ranges of consecutive nodes in one array.
    pub fn max_batch_ranges(&self) -> usize {
        self.scale_by_value(MAX_BATCH_RANGE_COUNT)
    }
}

/// The nodes and kinds of one graph. It changes by whole pages and by state changes of nodes.
#[derive(Debug, Default)]
pub struct Model {
    pub kinds: Vec<NodeKind>,
    kind_names: BTreeMap<String, u16>,
    nodes: DiGraph<Node, (), u32>,
    /// Nodes by the hash of their names. Of two names with the same hash, the second is rejected as a duplicate.
    nodes_by_name: BTreeMap<u64, NodeId>,
    /// Digests of the additions by the hash of their names.
    addition_digests: BTreeMap<u64, u64>,
    /// Whether no more nodes may be added.
    pub sealed: bool,
    /// Total bytes of the stored pages.
    pub bytes: u64,
    pages: u32,
    /// The first node of each page.
    page_starts: Vec<NodeId>,
    /// Number of nodes in each state.
    counts: [u32; NodeState::ALL],
    /// Number of nodes that are not actors and have not ended.
    pub unfinished_work_count: u32,
    ready_groups: BTreeMap<LaunchGroup, BTreeSet<NodeId>>,
    /// Nodes in the order in which their status visible to clients changed; a node may occur several times.
    pub changes: Vec<NodeId>,
}

fn hash_name(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl Model {
    /// Number of nodes.
    pub fn len(&self) -> u32 {
        self.nodes.node_count() as u32
    }

    /// Whether the graph has no nodes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of pages.
    pub fn page_count(&self) -> u32 {
        self.pages
    }

    /// The nodes of a page.
    pub fn page_nodes(&self, page: u32) -> std::ops::Range<u32> {
        let first_node =
            |page: u32| self.page_starts.get(page as usize).map_or(self.len(), |first| first.0);
        first_node(page)..first_node(page + 1)
    }

    /// The node with this id.
    pub fn node(&self, node_id: NodeId) -> Option<&Node> {
        self.nodes.node_weight(NodeIndex::new(node_id.0 as usize))
    }

    /// The kind of a node.
    pub fn kind_of(&self, node: &Node) -> &NodeKind {
        &self.kinds[usize::from(node.kind)]
    }

    /// The id of the node with this name.
    pub fn find(&self, name: &str) -> Option<NodeId> {
        self.nodes_by_name.get(&hash_name(name)).copied()
    }

    /// Number of nodes in a state.
    pub fn count(&self, state: NodeState) -> u32 {
        self.counts[state as usize]
    }

    /// The digest of the addition with this name, if there was one.
    pub fn addition_digest(&self, name: &str) -> Option<u64> {
        self.addition_digests.get(&hash_name(name)).copied()
    }

    fn neighbours(
        &self,
        node_id: NodeId,
        direction: Direction,
    ) -> impl Iterator<Item = NodeId> + '_ {
        let vertex = NodeIndex::new(node_id.0 as usize);
        self.nodes.neighbors_directed(vertex, direction).map(|n| NodeId(n.index() as u32))
    }

    /// The nodes that depend on a node.
    pub fn dependents(&self, node_id: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        self.neighbours(node_id, Direction::Outgoing)
    }

    /// The inputs of a node.
    pub fn needs(&self, node_id: NodeId) -> impl Iterator<Item = NodeId> + '_ {
        self.neighbours(node_id, Direction::Incoming)
    }

    /// Validates an addition against the graph, and splits it into pages for the state service. The graph stays
    /// unchanged.
    ///
    /// # Errors
    /// The first reason why the addition is rejected; then nothing of it is added.
    pub fn prepare(
        &self,
        add: &AddNodes,
        digest: u64,
        record_space: RecordSpace,
    ) -> Result<PreparedAddition, RejectedAddition> {
        let mut kinds: Vec<(String, KindSpec)> = Vec::new();
        let mut kind_numbers: BTreeMap<&str, u16> = BTreeMap::new();
        for (name, spec) in &add.kinds {
            match self.kind_names.get(name) {
                Some(known) if self.kinds[usize::from(*known)].spec == *spec => {}
                Some(_) => {
                    return reject_addition(
                        409,
                        format!("kind {name} already exists with a different specification"),
                    );
                }
                None => {
                    let kind_number = self.kinds.len() + kinds.len();
                    if kind_number >= MAX_KIND_COUNT {
                        return reject_addition(422, format!("more than {MAX_KIND_COUNT} kinds"));
                    }
                    kind_numbers.insert(name, kind_number as u16);
                    kinds.push((name.clone(), spec.clone()));
                }
            }
        }
        let find_kind = |name: &str| {
            kind_numbers.get(name).copied().or_else(|| self.kind_names.get(name).copied())
        };
        let spec_of = |kind_number: u16| {
            let position = usize::from(kind_number).checked_sub(self.kinds.len());
            position.map_or_else(
                || &self.kinds[usize::from(kind_number)].spec,
                |position| &kinds[position].1,
            )
        };
        let mut new_nodes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut addition: DiGraph<usize, (), u32> = DiGraph::new();
        for (position, node) in add.nodes.iter().enumerate() {
            if self.find(&node.name).is_some() || new_nodes.insert(&node.name, position).is_some() {
                return reject_addition(409, format!("node {} is there already", node.name));
            }
            let Some(kind) = find_kind(&node.kind) else {
                return reject_addition(
                    422,
                    format!("node {}: unknown kind {}", node.name, node.kind),
                );
            };
            let detached = spec_of(kind).detached;
            if detached && spec_of(kind).shape != NodeShape::Actor {
                return reject_addition(
                    422,
                    format!("kind {}: only actors can be detached", node.kind),
                );
            }
            addition.add_node(position);
        }
        for (position, node) in add.nodes.iter().enumerate() {
            for input in &node.needs {
                let kind = match (new_nodes.get(input.as_str()), self.find(input)) {
                    (Some(from), _) => {
                        addition.add_edge(NodeIndex::new(*from), NodeIndex::new(position), ());
                        find_kind(&add.nodes[*from].kind).unwrap_or_default()
                    }
                    (None, Some(known)) => self.node(known).map_or(0, |known| known.kind),
                    (None, None) => {
                        return reject_addition(
                            422,
                            format!("node {}: unknown input {input}", node.name),
                        );
                    }
                };
                if spec_of(kind).shape == NodeShape::Actor {
                    let text = format!(
                        "node {}: input {input} is an actor, which has no result",
                        node.name
                    );
                    return reject_addition(422, text);
                }
            }
        }
        // Node numbers increase along every edge, so that each record comes after those of its inputs.
        let order = petgraph::algo::toposort(&addition, None).or_else(|cycle| {
            let name = &add.nodes[addition[cycle.node_id()]].name;
            reject_addition(422, format!("node {name} needs itself, by way of others"))
        })?;
        let first = self.len();
        let node_ids: BTreeMap<usize, u32> = order
            .iter()
            .enumerate()
            .map(|(offset, vertex)| (addition[*vertex], first + offset as u32))
            .collect();
        let build_row = |position: usize| -> NodeRow {
            let node = &add.nodes[position];
            let needs: BTreeSet<NodeId> = node
                .needs
                .iter()
                .filter_map(|input| match new_nodes.get(input.as_str()) {
                    Some(from) => node_ids.get(from).copied().map(NodeId),
                    None => self.find(input),
                })
                .collect();
            let kind = find_kind(&node.kind).unwrap_or_default();
            (node.name.clone(), kind, node.shards, needs.into_iter().collect())
        };
        let rows = order.iter().map(|vertex| build_row(addition[*vertex])).collect();
        split_into_pages(add, digest, record_space, NodeId(first), kinds, rows)
    }

    /// Applies a page, either a new one or one read from the state service.
    ///
    /// # Errors
    /// Describes what is invalid in the page; the graph stays unchanged.
    pub fn apply(&mut self, page: &Page, bytes: usize) -> Result<(), DamagedPage> {
        let page_number = self.pages;
        let reject = |text| Err(DamagedPage { page: page_number, text });
        let kinds = self.kinds.len() + page.kinds.len();
        let mut names: BTreeSet<u64> = BTreeSet::new();
        if page.first.0 != self.len() {
            return reject("a page before it is missing");
        }
        if kinds > MAX_KIND_COUNT || page.kinds.iter().any(|(n, _)| self.kind_names.contains_key(n))
        {
            return reject("a kind that is there already");
        }
        for (position, (name, kind, shards, needs)) in page.nodes.iter().enumerate() {
            let node_id = page.first.0.saturating_add(position as u32);
            if usize::from(*kind) >= kinds || *shards == 0 || *shards > MAX_SHARD_COUNT {
                return reject("a node of no kind");
            }
            if needs.iter().any(|input| input.0 >= node_id) {
                return reject("a node that needs a later one");
            }
            if self.nodes_by_name.contains_key(&hash_name(name)) || !names.insert(hash_name(name)) {
                return reject("a node that is there already");
            }
        }
        for (name, spec) in &page.kinds {
            self.kind_names.insert(name.clone(), self.kinds.len() as u16);
            self.kinds.push(NodeKind {
                name: name.clone(),
                spec: spec.clone(),
                measured_run_time_s: None,
            });
        }
        self.addition_digests.insert(hash_name(&page.addition), page.digest);
        self.sealed |= page.sealed;
        self.bytes += bytes as u64;
        self.pages += 1;
        self.page_starts.push(page.first);
        for (name, kind, shards, needs) in &page.nodes {
            self.push_node(name, *kind, *shards, needs);
        }
        Ok(())
    }

    fn push_node(&mut self, name: &str, kind: u16, shards: u32, needs: &[NodeId]) {
        let state_of =
            |node_id: &NodeId| self.node(*node_id).map_or(NodeState::Waiting, |node| node.state);
        let unfinished_inputs =
            needs.iter().filter(|node_id| state_of(node_id) != NodeState::Done).count() as u32;
        let skipped = needs.iter().any(|node_id| state_of(node_id).is_unsuccessful());
        let node = Node {
            name: name.into(),
            kind,
            state: NodeState::Waiting,
            shards,
            unfinished_inputs,
            job: 0,
            failures: 0,
            path_s: 0.0,
        };
        let vertex = self.nodes.add_node(node);
        let node_id = NodeId(vertex.index() as u32);
        for input in needs {
            self.nodes.add_edge(NodeIndex::new(input.0 as usize), vertex, ());
        }
        self.nodes_by_name.insert(hash_name(name), node_id);
        self.counts[NodeState::Waiting as usize] += 1;
        self.unfinished_work_count += u32::from(!self.kinds[usize::from(kind)].is_actor());
        if skipped {
            self.set_state(node_id, NodeState::Skipped);
        } else if unfinished_inputs == 0 {
            self.set_state(node_id, NodeState::Ready);
        }
    }

    fn launch_group(&self, node_id: NodeId, node: &Node) -> LaunchGroup {
        let path_step = -(f64::from(node.path_s.max(1.0)).ln() / PATH_STEP_RATIO.ln()) as i32;
        let can_batch = self.kind_of(node).can_batch(node.shards);
        let single_node = (!can_batch).then_some(node_id);
        LaunchGroup { path_step, kind: node.kind, failures: node.failures, single_node }
    }

    /// Changes a node's state and propagates the change to its dependents. All state changes go through here.
    fn set_state(&mut self, node_id: NodeId, state: NodeState) {
        let mut pending = vec![(node_id, state)];
        while let Some((node_id, state)) = pending.pop() {
            let Some(node) = self.node(node_id) else { continue };
            let (previous, group) = (node.state, self.launch_group(node_id, node));
            if previous == state || previous.is_final() {
                continue;
            }
            let is_actor = self.kind_of(node).is_actor();
            if previous == NodeState::Ready
                && let Some(set) = self.ready_groups.get_mut(&group)
            {
                set.remove(&node_id);
                if set.is_empty() {
                    self.ready_groups.remove(&group);
                }
            }
            if state == NodeState::Ready {
                self.ready_groups.entry(group).or_default().insert(node_id);
            }
            self.counts[previous as usize] -= 1;
            self.counts[state as usize] += 1;
            if previous.status() != state.status() {
                self.changes.push(node_id);
            }
            self.unfinished_work_count -= u32::from(state.is_final() && !is_actor);
            self.nodes[NodeIndex::new(node_id.0 as usize)].state = state;
            if state == NodeState::Done {
                for next in self.dependents(node_id).collect::<Vec<_>>() {
                    let next_node = &mut self.nodes[NodeIndex::new(next.0 as usize)];
                    next_node.unfinished_inputs = next_node.unfinished_inputs.saturating_sub(1);
                    if next_node.unfinished_inputs == 0 && next_node.state == NodeState::Waiting {
                        pending.push((next, NodeState::Ready));
                    }
                }
            } else if state.is_unsuccessful() {
                pending.extend(self.dependents(node_id).map(|next| (next, NodeState::Skipped)));
            }
        }
    }

    /// The group with the longest remaining path, and its nodes in order.
    pub fn next_group(&self) -> Option<(LaunchGroup, impl Iterator<Item = NodeId> + '_)> {
        let (group, nodes) = self.ready_groups.first_key_value()?;
        Some((*group, nodes.iter().copied()))
    }

    /// The group of the ready node that was added first, and its nodes in order. Benchmarks compare this order with the
    /// order by longest path.
    pub fn next_group_by_insertion(
        &self,
    ) -> Option<(LaunchGroup, impl Iterator<Item = NodeId> + '_)> {
        let (group, nodes) =
            self.ready_groups.iter().min_by_key(|(_, nodes)| nodes.first().copied())?;
        Some((*group, nodes.iter().copied()))
    }

    /// Whether a node is ready.
    pub fn has_ready_nodes(&self) -> bool {
        !self.ready_groups.is_empty()
    }

    /// Marks nodes whose job is being written.
    pub fn mark_launching(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        nodes.into_iter().for_each(|node_id| self.set_state(node_id, NodeState::Launching));
    }

    /// Marks a node whose job is accepted.
    pub fn mark_started(&mut self, node_id: NodeId, seq: JobSeq) {
        let Some(node) = self.nodes.node_weight_mut(NodeIndex::new(node_id.0 as usize)) else {
            return;
        };
        node.job = node.job.max(u32::try_from(seq.0 + 1).unwrap_or(u32::MAX));
        self.set_state(node_id, NodeState::Started);
    }

    /// Sets the final state of a node.
    pub fn mark_ended(&mut self, node_id: NodeId, state: NodeState) {
        self.set_state(node_id, state);
    }

    /// Makes a node ready again after its job ended without a final state for it, and adds the job's failures. If the
    /// job is older than the node's latest one, only the failures are added.
    pub fn requeue(&mut self, node_id: NodeId, seq: JobSeq, failures: u32) {
        let Some(node) = self.nodes.node_weight_mut(NodeIndex::new(node_id.0 as usize)) else {
            return;
        };
        let is_latest_job = node.job().is_none_or(|last| last <= seq);
        let failures = u16::try_from(failures).unwrap_or(u16::MAX);
        let state = node.state;
        if state == NodeState::Ready {
            // The failures are part of the group key, so the node leaves its group first.
            self.set_state(node_id, NodeState::Waiting);
        }
        let node = &mut self.nodes[NodeIndex::new(node_id.0 as usize)];
        node.failures = node.failures.saturating_add(failures);
        if is_latest_job || state == NodeState::Ready {
            self.set_state(node_id, NodeState::Ready);
        }
    }

    /// Ends all unfinished nodes when the graph ends: as skipped after an unsuccessful input, otherwise as cancelled.
    pub fn end_unfinished(&mut self) {
        for node_id in 0..self.len() {
            let node_id = NodeId(node_id);
            let is_unsuccessful =
                |input: NodeId| self.node(input).is_some_and(|node| node.state.is_unsuccessful());
            let skipped = self.needs(node_id).any(is_unsuccessful);
            let state = if skipped { NodeState::Skipped } else { NodeState::Cancelled };
            self.set_state(node_id, state);
        }
    }

    /// Recomputes all remaining paths and returns the longest, in seconds. `seconds` gives the run time of a kind.
    pub fn compute_paths(&mut self, seconds: impl Fn(&NodeKind) -> f64) -> f64 {
        let kind_seconds: Vec<f64> = self.kinds.iter().map(seconds).collect();
        let mut longest = 0.0f64;
        let mut ready_paths = Vec::new();
        for node_id in (0..self.len()).rev().map(NodeId) {
            let paths_after =
                self.dependents(node_id).filter_map(|next| self.node(next)).map(|n| n.path_s);
            let after_s = f64::from(paths_after.fold(0.0, f32::max));
            let Some(node) = self.node(node_id) else { continue };
            let own_s =
                if node.state.is_final() { 0.0 } else { kind_seconds[usize::from(node.kind)] };
            let path_s = own_s + after_s;
            if !node.state.is_final() {
                longest = longest.max(path_s);
            }
            if node.state == NodeState::Ready {
                ready_paths.push((node_id, path_s));
            } else {
                self.nodes[NodeIndex::new(node_id.0 as usize)].path_s = path_s as f32;
            }
        }
        // The path is part of the group key, so ready nodes leave their group first.
        for (node_id, path_s) in ready_paths {
            self.set_state(node_id, NodeState::Waiting);
            self.nodes[NodeIndex::new(node_id.0 as usize)].path_s = path_s as f32;
            self.set_state(node_id, NodeState::Ready);
        }
        longest
    }
}

/// Splits an addition into pages that fit into values of the state service.
fn split_into_pages(
    add: &AddNodes,
    digest: u64,
    record_space: RecordSpace,
    first: NodeId,
    kinds: Vec<(String, KindSpec)>,
    rows: Vec<NodeRow>,
) -> Result<PreparedAddition, RejectedAddition> {
    let new_page =
        |first| Page { addition: add.addition.clone(), digest, first, ..Page::default() };
    let max_page_bytes = (record_space.value_bytes as f64 * PAGE_FILL_FRACTION) as usize;
    let json_bytes =
        |text: serde_json::Result<String>| text.map_or(usize::MAX, |text| text.len() + 1);
    let mut pages = vec![new_page(first)];
    let (mut page_bytes, mut bytes, mut next) = (0, 0, first.0);
    let mut reserve_bytes = |pages: &mut Vec<Page>, row_bytes: usize, next: u32| {
        if row_bytes > max_page_bytes {
            return reject_addition(422, "a kind or node exceeds the size of a record");
        }
        if page_bytes + row_bytes > max_page_bytes {
            page_bytes = 0;
            pages.push(new_page(NodeId(next)));
        }
        page_bytes += row_bytes;
        bytes += row_bytes;
        Ok(())
    };
    for kind in kinds {
        reserve_bytes(&mut pages, json_bytes(serde_json::to_string(&kind)), next)?;
        pages.last_mut().into_iter().for_each(|page| page.kinds.push(kind.clone()));
    }
    for row in rows {
        // The final page for these nodes must fit into one value as well.
        let final_bytes = row.0.len() + FINAL_ROW_BYTES;
        reserve_bytes(&mut pages, json_bytes(serde_json::to_string(&row)).max(final_bytes), next)?;
        next += 1;
        pages.last_mut().into_iter().for_each(|page| page.nodes.push(row.clone()));
    }
    if pages.len() > record_space.value_count || bytes > MAX_TXN_BYTES.max(record_space.value_bytes)
    {
        return reject_addition(413, "too many nodes for one addition; add them in several");
    }
    if let Some(last) = pages.last_mut() {
        last.sealed = add.seal;
    }
    let nodes = next - first.0;
    Ok(PreparedAddition { pages, bytes: bytes + 100, nodes })
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use serde_json::json;

    pub const RECORD_SPACE: RecordSpace = RecordSpace { value_bytes: 8_192, value_count: 14 };

    pub fn addition(name: &str, nodes: &[(&str, &str, &[&str])]) -> AddNodes {
        let nodes: Vec<_> = nodes
            .iter()
            .map(|(name, kind, needs)| json!({"name": name, "kind": kind, "needs": needs}))
            .collect();
        let kind = json!({"num_cpus": 1.0, "expectS": 10.0});
        let actor = json!({"num_cpus": 1.0, "shape": "actor"});
        serde_json::from_value(json!({"key": "secret-1", "addition": name, "nodes": nodes,
            "kinds": {"k": kind, "l": {"num_cpus": 2.0, "expectS": 30.0}, "a": actor}}))
        .unwrap()
    }

    pub fn add(model: &mut Model, add: &AddNodes) -> Result<(), RejectedAddition> {
        let prepared = model.prepare(add, 1, RECORD_SPACE)?;
        for page in &prepared.pages {
            model.apply(page, 10).unwrap();
        }
        Ok(())
    }

    fn states(model: &Model) -> String {
        (0..model.len())
            .map(|node_id| model.node(NodeId(node_id)).unwrap().state.status().letter())
            .collect()
    }

    #[test]
    fn a_node_is_ready_when_all_its_inputs_are_done() {
        let mut model = Model::default();
        add(
            &mut model,
            &addition("1", &[("c", "k", &["a", "b"]), ("a", "k", &[]), ("b", "k", &[])]),
        )
        .unwrap();
        let node_id = |name: &str| model.find(name).unwrap();
        let (a, b, c) = (node_id("a"), node_id("b"), node_id("c"));
        assert!(c > a && c > b);
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [a.min(b), a.max(b)]);
        model.mark_launching([a, b]);
        model.mark_started(a, JobSeq(0));
        model.mark_started(b, JobSeq(0));
        model.mark_ended(a, NodeState::Done);
        assert!(!model.has_ready_nodes());
        model.mark_ended(b, NodeState::Done);
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [c]);
        // A new node whose input is done already is ready at once.
        add(&mut model, &addition("2", &[("d", "k", &["a"])])).unwrap();
        assert_eq!(model.count(NodeState::Ready), 2);
    }

    /// Guards against additions that are applied in part: the error names the node, and nothing is added.
    #[test]
    fn invalid_additions_are_rejected_as_a_whole() {
        let mut model = Model::default();
        add(&mut model, &addition("1", &[("a", "k", &[]), ("x", "a", &[])])).unwrap();
        type Nodes = &'static [(&'static str, &'static str, &'static [&'static str])];
        let cases: [(Nodes, u16, &str); 7] = [
            (&[("b", "k", &["c"]), ("c", "k", &["b"])], 422, "needs itself"),
            (&[("b", "k", &["b"])], 422, "needs itself"),
            (&[("b", "k", &["z"])], 422, "unknown input z"),
            (&[("b", "k", &[]), ("b", "k", &[])], 409, "there already"),
            (&[("a", "k", &[])], 409, "there already"),
            (&[("b", "m", &[])], 422, "unknown kind m"),
            (&[("b", "k", &["x"])], 422, "is an actor"),
        ];
        for (nodes, status, expected) in cases {
            let RejectedAddition(status_code, text) =
                add(&mut model, &addition("2", nodes)).unwrap_err();
            assert!(status_code == status && text.contains(expected), "{status_code} {text}");
        }
        assert_eq!(model.len(), 2);
        let mut other = addition("3", &[]);
        other.kinds.get_mut("k").unwrap().num_cpus = 9.0;
        assert_eq!(add(&mut model, &other).unwrap_err().0, 409);
        let many: Vec<String> = (0..2_000).map(|n| format!("node-{n:050}")).collect();
        let many: Vec<_> = many.iter().map(|n| (n.as_str(), "k", &[] as &[&str])).collect();
        assert_eq!(add(&mut model, &addition("4", &many)).unwrap_err().0, 413);
    }

    #[test]
    fn dependents_of_a_failed_node_are_skipped_now_and_later() {
        let mut model = Model::default();
        let nodes: &[(&str, &str, &[&str])] =
            &[("a", "k", &[]), ("b", "k", &["a"]), ("c", "k", &["b"]), ("d", "k", &[])];
        add(&mut model, &addition("1", nodes)).unwrap();
        let a = model.find("a").unwrap();
        model.mark_ended(a, NodeState::Failed);
        add(&mut model, &addition("2", &[("e", "k", &["c", "d"])])).unwrap();
        let letter = |name: &str| model.node(model.find(name).unwrap()).unwrap().state.status();
        use NodeStatus::{Failed, Skipped, Waiting};
        assert_eq!(
            ["a", "b", "c", "e", "d"].map(letter),
            [Failed, Skipped, Skipped, Skipped, Waiting]
        );
        model.end_unfinished();
        assert_eq!(states(&model).matches('c').count(), 1);
        assert_eq!(model.unfinished_work_count, 0);
    }

    /// The longest remaining path starts first; nodes with similar paths run in one job.
    #[test]
    fn the_longest_path_starts_first() {
        let mut model = Model::default();
        let nodes: &[(&str, &str, &[&str])] = &[
            ("s", "k", &[]),
            ("t", "k", &[]),
            ("u", "l", &["t"]),
            ("v", "l", &["u"]),
            ("w", "k", &[]),
        ];
        add(&mut model, &addition("1", nodes)).unwrap();
        assert_eq!(model.compute_paths(|kind| kind.spec.expect_s), 70.0);
        let (t, s, w) = ["t", "s", "w"].map(|n| model.find(n).unwrap()).into();
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [t]);
        model.mark_launching([t]);
        let both: Vec<NodeId> = model.next_group().unwrap().1.collect();
        assert!(both.contains(&s) && both.contains(&w));
    }

    /// A node that runs again keeps its failures, also when the end of an older job arrives late.
    #[test]
    fn failures_accumulate_over_jobs() {
        let mut model = Model::default();
        add(&mut model, &addition("1", &[("a", "k", &[]), ("b", "k", &[])])).unwrap();
        let a = model.find("a").unwrap();
        model.mark_started(a, JobSeq(3));
        model.requeue(a, JobSeq(3), 2);
        assert_eq!(model.next_group().unwrap().0.failures, 0);
        assert_eq!(model.count(NodeState::Ready), 2);
        model.mark_launching([a]);
        model.mark_started(a, JobSeq(7));
        model.requeue(a, JobSeq(5), 1);
        let node = model.node(a).unwrap();
        assert_eq!(
            (node.failures, node.state, node.job()),
            (3, NodeState::Started, Some(JobSeq(7)))
        );
    }
}
