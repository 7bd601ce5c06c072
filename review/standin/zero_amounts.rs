//! One service whose task takes nothing of its machine.

use crate::base::*;
use crate::region::{Region, job};
use crate::silence;
use std::path::Path;
use std::sync::Arc;

/// Jobs without a mistake: one in 27 has one, less than 0.04.
const ORDINARY: u32 = 26;

pub fn run(repository: &Path, record: Arc<Record>, trouble: bool) -> Option<bool> {
    let mut region = Region::start(silence::kitchen(1.5), repository, record)?;
    // Ordinary work, so that machines are up, and with it a service: the trouble is its amounts.
    for id in 1..=ORDINARY {
        let tally = job(id, "portion-tally", "kitchen-desk", "sweep", 3, &[("expectS", "100.0")]);
        if !matches!(region.submit(id as usize, &tally), 200 | 201) {
            return None;
        }
    }
    let nothing = [("cpus", "0.0"), ("memoryGb", "0.0"), ("expectS", "0.0")];
    let little = [("cpus", "1.0"), ("memoryGb", "1.0"), ("expectS", "0.0")];
    let amounts = if trouble { &nothing } else { &little };
    let service = job(ORDINARY + 1, "meal-plan", "kitchen-desk", "standing", 1, amounts);
    match region.submit(1, &service) {
        200 | 201 => Some(silence::holds(&mut region, ["req-000001", "req-000027"])),
        // Refusing it would be as good.
        400 | 422 => Some(true),
        _ => None,
    }
}
