//! Connects task graphs with the job table: measured costs of nodes, and the open jobs that belong to a graph.

use super::*;
use oatloom_graph::graph_table::OpenJob;
use oatloom_graph::ids::GraphId;

/// Run time of each kind of node in each graph: the Kalman filter of [`crate::estimate`], and the measurements of the
/// current tick.
pub(super) type NodeCosts = BTreeMap<(GraphId, u16), (Kalman, Measurement)>;

/// The task graphs of a new leader term; `None` if graphs are not served.
pub(super) fn new_graph_table(
    config: &LeaderConfig,
    token: Token,
    now: Mono,
) -> Option<GraphTable> {
    let (limits, record_space) = config.graphs.clone()?;
    Some(GraphTable::new(limits, token, record_space, now))
}

/// Space for the records of one addition under the state service's limits, announced ones included.
pub(super) fn record_space(settings: &Settings) -> RecordSpace {
    let state = settings.facts.state.strictest();
    let value_bytes = (state.value_kb * 1024.0) as usize;
    RecordSpace {
        value_bytes,
        value_count: state.txn_ops.saturating_sub(GRAPH_RESERVED_TXN_OPS).max(1),
    }
}

impl LeaderTerm {
    /// Records the run time of a task that belongs to a graph.
    pub(super) fn record_node_time(&mut self, id: &JobId, ran_s: f64) {
        let graph_part = self.job_table.get(id).and_then(|job| job.part.clone());
        let kind = graph_part.and_then(|graph_part| self.graphs.as_ref()?.kind_of(id, &graph_part));
        if let Some(kind) = kind {
            self.node_costs.entry(kind).or_default().1.add(ran_s);
        }
    }

    /// Feeds the tick's measurements into the filters and passes their estimates to the graphs. Called once per tick.
    pub(super) fn update_node_costs(&mut self) {
        let Some(graph_table) = self.graphs.as_mut() else { return };
        self.node_costs.retain(|(graph, _), _| graph_table.graph(*graph).is_some());
        for ((graph, kind), (filter, measured)) in &mut self.node_costs {
            if let Some(seconds) = measured.take() {
                filter.update(seconds);
                graph_table.set_kind_run_time(*graph, *kind, filter.cost().unwrap_or(seconds));
            }
        }
        for class in graph_table.classes() {
            let max_retries =
                self.job_table.classes.policy_for(&class).map(|policy| policy.max_retries);
            let bias = self.class_biases.get(&class).copied().unwrap_or_default().mean;
            graph_table.set_class_parameters(&class, max_retries, bias);
        }
    }

    /// The unfinished jobs of a graph, with their tasks that are durably done.
    pub fn open_jobs(&self, graph: GraphId) -> Vec<OpenJob> {
        let jobs = self.job_table.jobs.range(graph.first_job()..=graph.last_job());
        let open = jobs.filter(|(_, job)| job.state != JobState::Finished);
        open.filter_map(|(id, job)| {
            let (_, seq) = GraphId::from_job_id(id)?;
            let part = (**job.part.as_ref()?).clone();
            let is_done =
                |task: &u32| job.tasks[*task as usize] == TaskState::Done && job.all_durable(*task);
            let done = (0..job.spec.tasks).filter(is_done).collect();
            Some(OpenJob { seq, part, done })
        })
        .collect()
    }
}
