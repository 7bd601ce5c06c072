//! Randomly drawn faults.

use super::{Fault, Upon};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws a fault that lasts about `span` milliseconds.
pub fn trouble(rng: &mut ChaCha8Rng, span: u64) -> Fault {
    let node = rng.random_range(0..3);
    match rng.random_range(0..23) {
        0 => Fault::Crash(node),
        1 => Fault::CrashAll,
        2 => Fault::StoreOutage(span),
        3 => Fault::Leader(Upon::Refused(span)),
        4 => Fault::Leader(Upon::Parted(span)),
        5 => Fault::Leader(Upon::Cut(span)),
        6 => Fault::Leader(Upon::Crash),
        7 => Fault::Leader(Upon::Down(span)),
        8 => Fault::LateWrites(span, 300),
        9 => Fault::DuplicateReports(span, 300),
        10 => Fault::MachinesDeaf(span, rng.random_range(1..4)),
        11 => Fault::StoreSlow(span, rng.random_range(5..25)),
        12 => Fault::LeaderAsleep(span / 2),
        13 => Fault::NodeParted(node, span),
        14 => Fault::Refused(node, span),
        15 => Fault::MachineHangs(span * 2),
        16 => Fault::MachineCut(span * 2),
        17 => Fault::HalfDie,
        18 => Fault::Apart(node, rng.random_range(0..3), span),
        19 => Fault::SpotTaken,
        20 => Fault::LateCommands(span, 700),
        21 => Fault::AnswersLost(span, 500),
        _ => Fault::StoreRestart,
    }
}
