//! Randomly drawn faults.

use super::{Fault, LeaderFault};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws a fault that lasts about `span` milliseconds.
pub fn random_fault(rng: &mut ChaCha8Rng, span: u64) -> Fault {
    let node = rng.random_range(0..3);
    match rng.random_range(0..23) {
        0 => Fault::Crash(node),
        1 => Fault::CrashAll,
        2 => Fault::StoreOutage(span),
        3 => Fault::Leader(LeaderFault::StoreRefuses(span)),
        4 => Fault::Leader(LeaderFault::Isolated(span)),
        5 => Fault::Leader(LeaderFault::Partitioned(span)),
        6 => Fault::Leader(LeaderFault::Crash),
        7 => Fault::Leader(LeaderFault::Down(span)),
        8 => Fault::DelayedWrites(span, 300),
        9 => Fault::DuplicateReports(span, 300),
        10 => Fault::MachinesInboundLost(span, rng.random_range(1..4)),
        11 => Fault::SlowStore(span, rng.random_range(5..25)),
        12 => Fault::LeaderPaused(span / 2),
        13 => Fault::NodeIsolated(node, span),
        14 => Fault::StoreRefuses(node, span),
        15 => Fault::MachineHangs(span * 2),
        16 => Fault::MachinePartitioned(span * 2),
        17 => Fault::HalfOfMachinesTerminated,
        18 => Fault::NodeZonePartition(node, rng.random_range(0..3), span),
        19 => Fault::SpotReclaimed,
        20 => Fault::DelayedCommands(span, 700),
        21 => Fault::WriteRepliesLost(span, 500),
        _ => Fault::StoreRestart,
    }
}
