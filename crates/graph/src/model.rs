//! A graph's nodes: what they need, where each stands, and which may start.

use crate::answers::NodeStatus;
use crate::constants::*;
use crate::ids::{NodeIx, Seq};
use crate::records::{NodeRow, Page};
use crate::requests::{AddNodes, KindSpec, NodeShape, Strategy};
use petgraph::Direction;
use petgraph::graph::{DiGraph, NodeIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hasher};

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// Some input is not done.
    Waiting,
    Ready,
    /// The job that is to run it is being written.
    Launching,
    /// That job is accepted.
    Started,
    Done,
    Failed,
    Cancelled,
    /// An input did not end as done.
    Skipped,
}

impl NodeState {
    const ALL: usize = 8;

    pub fn is_final(self) -> bool {
        self >= Self::Done
    }

    /// Whether what needs it can never start.
    pub fn is_bad(self) -> bool {
        self >= Self::Failed
    }

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

#[derive(Debug)]
pub struct Node {
    pub name: Box<str>,
    pub kind: u16,
    pub state: NodeState,
    pub shards: u32,
    /// Inputs that are not done.
    unmet: u32,
    /// Number of its last job, plus one; 0: it had none.
    job: u32,
    /// How often it has failed in jobs that are over.
    pub failures: u16,
    /// From its start to the end of what depends on it, in seconds, by what is known.
    pub path_s: f32,
}

impl Node {
    pub fn job(&self) -> Option<Seq> {
        self.job.checked_sub(1).map(|seq| Seq(u64::from(seq)))
    }

    /// As records have it: 0 for none.
    pub fn job_number(&self) -> u64 {
        u64::from(self.job)
    }
}

#[derive(Debug)]
pub struct Kind {
    pub name: String,
    pub spec: KindSpec,
    /// What its nodes' tasks were seen to take, in seconds.
    pub learnt_s: Option<f64>,
}

impl Kind {
    /// Whether several nodes of it may go as the tasks of one array.
    fn joins(&self, shards: u32) -> bool {
        shards == 1
            && self.spec.shape == NodeShape::Task
            && matches!(self.spec.strategy, Strategy::Pack | Strategy::Spread)
    }

    pub fn is_actor(&self) -> bool {
        self.spec.shape == NodeShape::Actor
    }
}

/// Nodes that may go together, those whose remaining paths are longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Steps of the remaining path, below 0: the longest is the least.
    pub step: i32,
    pub kind: u16,
    pub failures: u16,
    /// A node that goes by itself.
    pub alone: Option<NodeIx>,
}

/// Why an addition is refused: the status and one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused(pub u16, pub String);

fn refused<T>(status: u16, text: impl Into<String>) -> Result<T, Refused> {
    Err(Refused(status, text.into()))
}

/// Why what stands in the state service is no graph.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("page {page}: {text}")]
pub struct Damaged {
    pub page: u32,
    pub text: &'static str,
}

/// An addition that makes sense, as it is to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Prepared {
    pub pages: Vec<Page>,
    pub bytes: usize,
    pub nodes: u32,
}

/// What bounds the records of an addition.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Bytes of a value.
    pub value: usize,
    /// Values in one transaction.
    pub values: usize,
}

impl Room {
    /// What of `most` fits, where that many fit a value of [`VALUE_BYTES`].
    fn part_of(&self, most: usize) -> usize {
        (most * self.value / VALUE_BYTES).clamp(1, most)
    }

    /// Nodes that go as one array.
    pub fn batch(&self) -> usize {
        self.part_of(BATCH_MOST)
    }

    /// Runs of consecutive nodes in one array.
    pub fn runs(&self) -> usize {
        self.part_of(RUNS_MOST)
    }
}

#[derive(Debug, Default)]
pub struct Model {
    pub kinds: Vec<Kind>,
    kind_names: BTreeMap<String, u16>,
    nodes: DiGraph<Node, (), u32>,
    /// Nodes by the hash of their names. Two names with one hash are taken for the same: the second is refused.
    names: BTreeMap<u64, NodeIx>,
    /// Additions by the hash of their names, and what they asked.
    additions: BTreeMap<u64, u64>,
    pub sealed: bool,
    /// Bytes of its pages.
    pub bytes: u64,
    pages: u32,
    /// First node of each page.
    starts: Vec<NodeIx>,
    counts: [u32; NodeState::ALL],
    /// Nodes that are no actors and have not ended.
    pub work_left: u32,
    ready: BTreeMap<Group, BTreeSet<NodeIx>>,
    /// Every change of what clients see of a node, in order.
    pub changes: Vec<NodeIx>,
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl Model {
    pub fn len(&self) -> u32 {
        self.nodes.node_count() as u32
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn page_count(&self) -> u32 {
        self.pages
    }

    /// The nodes of a page.
    pub fn page_nodes(&self, page: u32) -> std::ops::Range<u32> {
        let start = |page: u32| self.starts.get(page as usize).map_or(self.len(), |first| first.0);
        start(page)..start(page + 1)
    }

    pub fn node(&self, at: NodeIx) -> Option<&Node> {
        self.nodes.node_weight(NodeIndex::new(at.0 as usize))
    }

    pub fn kind_of(&self, node: &Node) -> &Kind {
        &self.kinds[usize::from(node.kind)]
    }

    pub fn find(&self, name: &str) -> Option<NodeIx> {
        self.names.get(&hash(name)).copied()
    }

    pub fn count(&self, state: NodeState) -> u32 {
        self.counts[state as usize]
    }

    /// What an addition of this name asked, if there was one.
    pub fn addition(&self, name: &str) -> Option<u64> {
        self.additions.get(&hash(name)).copied()
    }

    fn neighbours(&self, at: NodeIx, direction: Direction) -> impl Iterator<Item = NodeIx> + '_ {
        let at = NodeIndex::new(at.0 as usize);
        self.nodes.neighbors_directed(at, direction).map(|n| NodeIx(n.index() as u32))
    }

    /// What needs a node.
    pub fn needed_by(&self, at: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        self.neighbours(at, Direction::Outgoing)
    }

    /// What a node needs.
    pub fn needs(&self, at: NodeIx) -> impl Iterator<Item = NodeIx> + '_ {
        self.neighbours(at, Direction::Incoming)
    }

    /// Checks an addition against the graph as it is, and lays it out for the state service. Nothing changes.
    ///
    /// # Errors
    /// What cannot be added and why; then nothing of it is.
    pub fn prepare(&self, add: &AddNodes, digest: u64, room: Room) -> Result<Prepared, Refused> {
        let mut kinds: Vec<(String, KindSpec)> = Vec::new();
        let mut numbers: BTreeMap<&str, u16> = BTreeMap::new();
        for (name, spec) in &add.kinds {
            match self.kind_names.get(name) {
                Some(known) if self.kinds[usize::from(*known)].spec == *spec => {}
                Some(_) => return refused(409, format!("kind {name} is known with other needs")),
                None => {
                    let number = self.kinds.len() + kinds.len();
                    if number >= KINDS_MOST {
                        return refused(422, format!("more than {KINDS_MOST} kinds"));
                    }
                    numbers.insert(name, number as u16);
                    kinds.push((name.clone(), spec.clone()));
                }
            }
        }
        let number =
            |name: &str| numbers.get(name).copied().or_else(|| self.kind_names.get(name).copied());
        let spec_of = |number: u16| {
            let new = usize::from(number).checked_sub(self.kinds.len());
            new.map_or_else(|| &self.kinds[usize::from(number)].spec, |new| &kinds[new].1)
        };
        let mut fresh: BTreeMap<&str, usize> = BTreeMap::new();
        let mut own: DiGraph<usize, (), u32> = DiGraph::new();
        for (at, node) in add.nodes.iter().enumerate() {
            if self.find(&node.name).is_some() || fresh.insert(&node.name, at).is_some() {
                return refused(409, format!("node {} is there already", node.name));
            }
            let Some(kind) = number(&node.kind) else {
                return refused(422, format!("node {}: unknown kind {}", node.name, node.kind));
            };
            let detached = spec_of(kind).detached;
            if detached && spec_of(kind).shape != NodeShape::Actor {
                return refused(422, format!("kind {}: only actors are detached", node.kind));
            }
            own.add_node(at);
        }
        for (at, node) in add.nodes.iter().enumerate() {
            for input in &node.needs {
                let kind = match (fresh.get(input.as_str()), self.find(input)) {
                    (Some(from), _) => {
                        own.add_edge(NodeIndex::new(*from), NodeIndex::new(at), ());
                        number(&add.nodes[*from].kind).unwrap_or_default()
                    }
                    (None, Some(known)) => self.node(known).map_or(0, |known| known.kind),
                    (None, None) => {
                        return refused(422, format!("node {}: unknown input {input}", node.name));
                    }
                };
                if spec_of(kind).shape == NodeShape::Actor {
                    let text = format!(
                        "node {}: input {input} is an actor, which has no result",
                        node.name
                    );
                    return refused(422, text);
                }
            }
        }
        // Numbers rise along every edge, so that the order of the records is one in which nodes can start.
        let order = petgraph::algo::toposort(&own, None).or_else(|cycle| {
            let name = &add.nodes[own[cycle.node_id()]].name;
            refused(422, format!("node {name} needs itself, by way of others"))
        })?;
        let first = self.len();
        let places: BTreeMap<usize, u32> =
            order.iter().enumerate().map(|(place, at)| (own[*at], first + place as u32)).collect();
        let row = |at: usize| -> NodeRow {
            let node = &add.nodes[at];
            let needs: BTreeSet<NodeIx> = node
                .needs
                .iter()
                .filter_map(|input| match fresh.get(input.as_str()) {
                    Some(from) => places.get(from).copied().map(NodeIx),
                    None => self.find(input),
                })
                .collect();
            let kind = number(&node.kind).unwrap_or_default();
            (node.name.clone(), kind, node.shards, needs.into_iter().collect())
        };
        let rows = order.iter().map(|at| row(own[*at])).collect();
        lay_out(add, digest, room, NodeIx(first), kinds, rows)
    }

    /// Takes up a page, new or from the state service.
    ///
    /// # Errors
    /// What in it cannot be; nothing of it is taken up then.
    pub fn apply(&mut self, page: &Page, bytes: usize) -> Result<(), Damaged> {
        let number = self.pages;
        let damaged = |text| Err(Damaged { page: number, text });
        let kinds = self.kinds.len() + page.kinds.len();
        let mut names: BTreeSet<u64> = BTreeSet::new();
        if page.first.0 != self.len() {
            return damaged("a page before it is missing");
        }
        if kinds > KINDS_MOST || page.kinds.iter().any(|(n, _)| self.kind_names.contains_key(n)) {
            return damaged("a kind that is there already");
        }
        for (at, (name, kind, shards, needs)) in page.nodes.iter().enumerate() {
            let own = page.first.0.saturating_add(at as u32);
            if usize::from(*kind) >= kinds || *shards == 0 || *shards > SHARDS_MOST {
                return damaged("a node of no kind");
            }
            if needs.iter().any(|input| input.0 >= own) {
                return damaged("a node that needs a later one");
            }
            if self.names.contains_key(&hash(name)) || !names.insert(hash(name)) {
                return damaged("a node that is there already");
            }
        }
        for (name, spec) in &page.kinds {
            self.kind_names.insert(name.clone(), self.kinds.len() as u16);
            self.kinds.push(Kind { name: name.clone(), spec: spec.clone(), learnt_s: None });
        }
        self.additions.insert(hash(&page.addition), page.digest);
        self.sealed |= page.sealed;
        self.bytes += bytes as u64;
        self.pages += 1;
        self.starts.push(page.first);
        for (name, kind, shards, needs) in &page.nodes {
            self.push(name, *kind, *shards, needs);
        }
        Ok(())
    }

    fn push(&mut self, name: &str, kind: u16, shards: u32, needs: &[NodeIx]) {
        let state_of = |at: &NodeIx| self.node(*at).map_or(NodeState::Waiting, |node| node.state);
        let unmet = needs.iter().filter(|at| state_of(at) != NodeState::Done).count() as u32;
        let skipped = needs.iter().any(|at| state_of(at).is_bad());
        let node = Node {
            name: name.into(),
            kind,
            state: NodeState::Waiting,
            shards,
            unmet,
            job: 0,
            failures: 0,
            path_s: 0.0,
        };
        let at = self.nodes.add_node(node);
        let own = NodeIx(at.index() as u32);
        for input in needs {
            self.nodes.add_edge(NodeIndex::new(input.0 as usize), at, ());
        }
        self.names.insert(hash(name), own);
        self.counts[NodeState::Waiting as usize] += 1;
        self.work_left += u32::from(!self.kinds[usize::from(kind)].is_actor());
        if skipped {
            self.enter(own, NodeState::Skipped);
        } else if unmet == 0 {
            self.enter(own, NodeState::Ready);
        }
    }

    fn group(&self, at: NodeIx, node: &Node) -> Group {
        let step = -(f64::from(node.path_s.max(1.0)).ln() / PATH_STEP.ln()) as i32;
        let joins = self.kind_of(node).joins(node.shards);
        let alone = (!joins).then_some(at);
        Group { step, kind: node.kind, failures: node.failures, alone }
    }

    /// The one place where a node's state changes. What depends on it follows.
    fn enter(&mut self, at: NodeIx, state: NodeState) {
        let mut open = vec![(at, state)];
        while let Some((at, state)) = open.pop() {
            let Some(node) = self.node(at) else { continue };
            let (before, group) = (node.state, self.group(at, node));
            if before == state || before.is_final() {
                continue;
            }
            let actor = self.kind_of(node).is_actor();
            if before == NodeState::Ready
                && let Some(set) = self.ready.get_mut(&group)
            {
                set.remove(&at);
                if set.is_empty() {
                    self.ready.remove(&group);
                }
            }
            if state == NodeState::Ready {
                self.ready.entry(group).or_default().insert(at);
            }
            self.counts[before as usize] -= 1;
            self.counts[state as usize] += 1;
            if before.status() != state.status() {
                self.changes.push(at);
            }
            self.work_left -= u32::from(state.is_final() && !actor);
            self.nodes[NodeIndex::new(at.0 as usize)].state = state;
            if state == NodeState::Done {
                for next in self.needed_by(at).collect::<Vec<_>>() {
                    let next_node = &mut self.nodes[NodeIndex::new(next.0 as usize)];
                    next_node.unmet = next_node.unmet.saturating_sub(1);
                    if next_node.unmet == 0 && next_node.state == NodeState::Waiting {
                        open.push((next, NodeState::Ready));
                    }
                }
            } else if state.is_bad() {
                open.extend(self.needed_by(at).map(|next| (next, NodeState::Skipped)));
            }
        }
    }

    /// The group that goes next, and its nodes in order.
    pub fn next_group(&self) -> Option<(Group, impl Iterator<Item = NodeIx> + '_)> {
        let (group, nodes) = self.ready.first_key_value()?;
        Some((*group, nodes.iter().copied()))
    }

    /// The same with the order of groups left out: the node that was added first goes first. What the measurement
    /// holds the longest paths against.
    pub fn next_in_order(&self) -> Option<(Group, impl Iterator<Item = NodeIx> + '_)> {
        let (group, nodes) = self.ready.iter().min_by_key(|(_, nodes)| nodes.first().copied())?;
        Some((*group, nodes.iter().copied()))
    }

    pub fn any_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// A job that is to run these nodes is being written.
    pub fn launching(&mut self, nodes: impl IntoIterator<Item = NodeIx>) {
        nodes.into_iter().for_each(|at| self.enter(at, NodeState::Launching));
    }

    /// A job that runs a node is accepted.
    pub fn started(&mut self, at: NodeIx, seq: Seq) {
        let Some(node) = self.nodes.node_weight_mut(NodeIndex::new(at.0 as usize)) else { return };
        node.job = node.job.max(u32::try_from(seq.0 + 1).unwrap_or(u32::MAX));
        self.enter(at, NodeState::Started);
    }

    /// A node has ended for good.
    pub fn ended(&mut self, at: NodeIx, state: NodeState) {
        self.enter(at, state);
    }

    /// A job is over that ran a node without ending it: it goes again, with what stands against it. An older job than
    /// its last says only what stands against it.
    pub fn again(&mut self, at: NodeIx, seq: Seq, failures: u32) {
        let Some(node) = self.nodes.node_weight_mut(NodeIndex::new(at.0 as usize)) else { return };
        let current = node.job().is_none_or(|last| last <= seq);
        let failures = u16::try_from(failures).unwrap_or(u16::MAX);
        let state = node.state;
        if state == NodeState::Ready {
            // Its group is told by its failures.
            self.enter(at, NodeState::Waiting);
        }
        let node = &mut self.nodes[NodeIndex::new(at.0 as usize)];
        node.failures = node.failures.saturating_add(failures);
        if current || state == NodeState::Ready {
            self.enter(at, NodeState::Ready);
        }
    }

    /// What has not ended when its graph does.
    pub fn end_rest(&mut self) {
        for at in 0..self.len() {
            let at = NodeIx(at);
            let bad = |input: NodeIx| self.node(input).is_some_and(|node| node.state.is_bad());
            let skipped = self.needs(at).any(bad);
            let state = if skipped { NodeState::Skipped } else { NodeState::Cancelled };
            self.enter(at, state);
        }
    }

    /// Works out all remaining paths anew; `seconds` says what a node takes.
    pub fn weigh(&mut self, seconds: impl Fn(&Kind) -> f64) -> f64 {
        let each: Vec<f64> = self.kinds.iter().map(seconds).collect();
        let mut longest = 0.0f64;
        let mut moved = Vec::new();
        for at in (0..self.len()).rev().map(NodeIx) {
            let after = self.needed_by(at).filter_map(|next| self.node(next)).map(|n| n.path_s);
            let after = f64::from(after.fold(0.0, f32::max));
            let Some(node) = self.node(at) else { continue };
            let own = if node.state.is_final() { 0.0 } else { each[usize::from(node.kind)] };
            let path = own + after;
            if !node.state.is_final() {
                longest = longest.max(path);
            }
            if node.state == NodeState::Ready {
                moved.push((at, path));
            } else {
                self.nodes[NodeIndex::new(at.0 as usize)].path_s = path as f32;
            }
        }
        // Their places among those that may start are told by their paths.
        for (at, path) in moved {
            self.enter(at, NodeState::Waiting);
            self.nodes[NodeIndex::new(at.0 as usize)].path_s = path as f32;
            self.enter(at, NodeState::Ready);
        }
        longest
    }
}

/// Splits an addition into values that the state service takes.
fn lay_out(
    add: &AddNodes,
    digest: u64,
    room: Room,
    first: NodeIx,
    kinds: Vec<(String, KindSpec)>,
    rows: Vec<NodeRow>,
) -> Result<Prepared, Refused> {
    let page = |first| Page { addition: add.addition.clone(), digest, first, ..Page::default() };
    let most = (room.value as f64 * PAGE_SHARE) as usize;
    let size = |text: serde_json::Result<String>| text.map_or(usize::MAX, |text| text.len() + 1);
    let mut pages = vec![page(first)];
    let (mut used, mut bytes, mut next) = (0, 0, first.0);
    let mut place = |pages: &mut Vec<Page>, size: usize, next: u32| {
        if size > most {
            return refused(422, "a kind or node is too long to keep");
        }
        if used + size > most {
            used = 0;
            pages.push(page(NodeIx(next)));
        }
        used += size;
        bytes += size;
        Ok(())
    };
    for kind in kinds {
        place(&mut pages, size(serde_json::to_string(&kind)), next)?;
        pages.last_mut().into_iter().for_each(|page| page.kinds.push(kind.clone()));
    }
    for row in rows {
        // How it ended is kept in a page like this one.
        let ended = row.0.len() + END_ROW_BYTES;
        place(&mut pages, size(serde_json::to_string(&row)).max(ended), next)?;
        next += 1;
        pages.last_mut().into_iter().for_each(|page| page.nodes.push(row.clone()));
    }
    if pages.len() > room.values || bytes > TXN_BYTES.max(room.value) {
        return refused(413, "too many nodes for one addition; add them in several");
    }
    if let Some(last) = pages.last_mut() {
        last.sealed = add.seal;
    }
    let nodes = next - first.0;
    Ok(Prepared { pages, bytes: bytes + 100, nodes })
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use serde_json::json;

    pub const ROOM: Room = Room { value: 8_192, values: 14 };

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

    pub fn add(model: &mut Model, add: &AddNodes) -> Result<(), Refused> {
        let prepared = model.prepare(add, 1, ROOM)?;
        for page in &prepared.pages {
            model.apply(page, 10).unwrap();
        }
        Ok(())
    }

    fn states(model: &Model) -> String {
        (0..model.len()).map(|at| model.node(NodeIx(at)).unwrap().state.status().letter()).collect()
    }

    #[test]
    fn a_node_is_ready_when_all_its_inputs_are_done() {
        let mut model = Model::default();
        add(
            &mut model,
            &addition("1", &[("c", "k", &["a", "b"]), ("a", "k", &[]), ("b", "k", &[])]),
        )
        .unwrap();
        let at = |name: &str| model.find(name).unwrap();
        let (a, b, c) = (at("a"), at("b"), at("c"));
        assert!(c > a && c > b);
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [a.min(b), a.max(b)]);
        model.launching([a, b]);
        model.started(a, Seq(0));
        model.started(b, Seq(0));
        model.ended(a, NodeState::Done);
        assert!(!model.any_ready());
        model.ended(b, NodeState::Done);
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [c]);
        // A graph grows under a result that exists.
        add(&mut model, &addition("2", &[("d", "k", &["a"])])).unwrap();
        assert_eq!(model.count(NodeState::Ready), 2);
    }

    /// What is wrong with an addition is said, and nothing of it is added.
    #[test]
    fn bad_additions_are_refused_whole() {
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
        for (nodes, status, words) in cases {
            let Refused(said, text) = add(&mut model, &addition("2", nodes)).unwrap_err();
            assert!(said == status && text.contains(words), "{said} {text}");
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
    fn what_needs_a_failed_node_is_skipped_now_and_later() {
        let mut model = Model::default();
        let nodes: &[(&str, &str, &[&str])] =
            &[("a", "k", &[]), ("b", "k", &["a"]), ("c", "k", &["b"]), ("d", "k", &[])];
        add(&mut model, &addition("1", nodes)).unwrap();
        let a = model.find("a").unwrap();
        model.ended(a, NodeState::Failed);
        add(&mut model, &addition("2", &[("e", "k", &["c", "d"])])).unwrap();
        let letter = |name: &str| model.node(model.find(name).unwrap()).unwrap().state.status();
        use NodeStatus::{Failed, Skipped, Waiting};
        assert_eq!(
            ["a", "b", "c", "e", "d"].map(letter),
            [Failed, Skipped, Skipped, Skipped, Waiting]
        );
        model.end_rest();
        assert_eq!(states(&model).matches('c').count(), 1);
        assert_eq!(model.work_left, 0);
    }

    /// The longest remaining path goes first; paths that are alike go together.
    #[test]
    fn the_longest_path_goes_first() {
        let mut model = Model::default();
        let nodes: &[(&str, &str, &[&str])] = &[
            ("s", "k", &[]),
            ("t", "k", &[]),
            ("u", "l", &["t"]),
            ("v", "l", &["u"]),
            ("w", "k", &[]),
        ];
        add(&mut model, &addition("1", nodes)).unwrap();
        assert_eq!(model.weigh(|kind| kind.spec.expect_s), 70.0);
        let (t, s, w) = ["t", "s", "w"].map(|n| model.find(n).unwrap()).into();
        assert_eq!(model.next_group().unwrap().1.collect::<Vec<_>>(), [t]);
        model.launching([t]);
        let both: Vec<NodeIx> = model.next_group().unwrap().1.collect();
        assert!(both.contains(&s) && both.contains(&w));
    }

    /// A node that goes again carries its failures, also where an older job says so late.
    #[test]
    fn failures_are_carried_from_job_to_job() {
        let mut model = Model::default();
        add(&mut model, &addition("1", &[("a", "k", &[]), ("b", "k", &[])])).unwrap();
        let a = model.find("a").unwrap();
        model.started(a, Seq(3));
        model.again(a, Seq(3), 2);
        assert_eq!(model.next_group().unwrap().0.failures, 0);
        assert_eq!(model.count(NodeState::Ready), 2);
        model.launching([a]);
        model.started(a, Seq(7));
        model.again(a, Seq(5), 1);
        let node = model.node(a).unwrap();
        assert_eq!((node.failures, node.state, node.job()), (3, NodeState::Started, Some(Seq(7))));
    }
}
