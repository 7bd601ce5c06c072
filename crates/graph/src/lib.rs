//! Ray-style task graphs as durable work of oatloom itself: which nodes may start, as which ordinary jobs, what of
//! it is written, and how each node and each graph ends. Deterministic; knows no placement and no sockets. Why it is
//! done so stands in `docs/design-graphs.md`.

pub mod answers;
pub mod constants;
pub mod desk;
pub mod ids;
pub mod limits;
pub mod live;
pub mod model;
pub mod paths;
pub mod records;
pub mod requests;
pub mod runs;
pub mod sessions;

mod launching;
mod loading;
mod writing;
