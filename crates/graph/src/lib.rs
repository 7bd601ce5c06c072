//! Task graphs in the style of Ray, kept durably by the scheduler itself: which nodes are ready, which ordinary jobs
//! run them, which records are written, and how each node and each graph ends. The crate is deterministic and contains
//! neither placement nor network code. `docs/design-graphs.md` explains the design.

pub mod answers;
pub mod constants;
pub mod graph_table;
pub mod ids;
pub mod limits;
pub mod model;
pub mod node_ranges;
pub mod open_graph;
pub mod paths;
pub mod records;
pub mod requests;
pub mod sessions;

mod launching;
mod loading;
mod writing;
