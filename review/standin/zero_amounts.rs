//! One service whose task takes nothing of its machine.

use crate::base::*;
use crate::region::{Region, job};
use crate::silence;
use std::path::Path;
use std::sync::Arc;

pub fn run(repository: &Path, record: Arc<Record>, trouble: bool) -> Option<bool> {
    let mut region = Region::start(silence::kitchen(1.5), repository, record)?;
    // Ordinary work, so that machines are up, and with it a service: the trouble is its amounts.
    let tally = job(1, "portion-tally", "kitchen-desk", "sweep", 60, &[("expectS", "110.0")]);
    let nothing = [("cpus", "0.0"), ("memoryGb", "0.0"), ("expectS", "0.0")];
    let little = [("cpus", "1.0"), ("memoryGb", "1.0"), ("expectS", "0.0")];
    let amounts = if trouble { &nothing } else { &little };
    let service = job(2, "meal-plan", "kitchen-desk", "standing", 1, amounts);
    if !matches!(region.submit(0, &tally), 200 | 201) {
        return None;
    }
    match region.submit(1, &service) {
        200 | 201 => Some(silence::holds(&mut region, ["req-000001", "req-000002"])),
        // Refusing it would be as good.
        400 | 422 => Some(true),
        _ => None,
    }
}
