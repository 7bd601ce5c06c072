//! Due times of nodes, from the graph's due time and the longest path that remains after each node. With them the
//! control loop and placement treat jobs of graphs like any others.

use crate::constants::*;
use crate::model::{Node, NodeKind};
use oatloom_protocol::ids::{Millis, Mono};

/// Expected run time of a node of a kind, in seconds: the measured one, otherwise the estimate corrected by the bias of
/// its class.
pub fn run_time_s(kind: &NodeKind, bias: f64) -> f64 {
    let estimate =
        if kind.spec.expect_s > 0.0 { kind.spec.expect_s * bias } else { DEFAULT_RUN_TIME_S };
    match kind.measured_run_time_s {
        // An actor ends with the rest of the graph.
        _ if kind.is_actor() => 0.0,
        Some(measured_s) => measured_s,
        None => estimate,
    }
}

/// Due time of a graph: the client's, otherwise far enough ahead for one and a half times the longest path.
pub fn graph_due(created: Mono, due_s: Option<f64>, path_s: f64, now: Mono) -> Mono {
    match due_s {
        Some(due_s) => created.plus(Millis::from_secs(due_s)),
        None => now.plus(Millis::from_secs(DEFAULT_DUE_S.max(path_s * 1.5))),
    }
}

/// Time from now until a node is due, in seconds.
pub fn node_due_s(due: Mono, node: &Node, node_run_time_s: f64, now: Mono) -> f64 {
    let after_s = (f64::from(node.path_s) - node_run_time_s).max(0.0);
    let left_s = (due.0 as f64 - now.0 as f64) / 1000.0;
    (left_s - after_s).max(MIN_NODE_DUE_S)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::model::Model;
    use crate::model::tests::{add, addition};

    /// Each node of a chain is due before the graph by the run time of the rest of the chain.
    #[test]
    fn nodes_of_a_chain_are_due_one_after_the_other() {
        let mut model = Model::default();
        let chain: &[(&str, &str, &[&str])] =
            &[("a", "k", &[]), ("b", "l", &["a"]), ("c", "k", &["b"])];
        add(&mut model, &addition("1", chain)).unwrap();
        model.compute_paths(|kind| run_time_s(kind, 1.0));
        let due = graph_due(Mono(0), Some(100.0), 50.0, Mono(0));
        let left = |name: &str, own: f64| {
            let node = model.node(model.find(name).unwrap()).unwrap();
            node_due_s(due, node, own, Mono(10_000))
        };
        assert_eq!((left("a", 10.0), left("b", 30.0), left("c", 10.0)), (50.0, 80.0, 90.0));
        let overdue = graph_due(Mono(0), Some(5.0), 50.0, Mono(0));
        let a = model.node(model.find("a").unwrap()).unwrap();
        assert_eq!(node_due_s(overdue, a, 10.0, Mono(10_000)), MIN_NODE_DUE_S);
        assert_eq!(graph_due(Mono(0), None, 1_000.0, Mono(7)), Mono(1_500_007));
    }
}
