//! One array of 25,000 tasks, of a class that has an aim for its start.

use crate::base::*;
use crate::region::{Region, job};
use crate::silence;
use std::path::Path;
use std::sync::Arc;

/// Tasks of the large array, as many as `recipe-grid` has; the protocol allows 100,000.
const TASKS: u32 = 25_000;

pub fn run(repository: &Path, record: Arc<Record>, trouble: bool) -> Option<bool> {
    let mut region = Region::start(silence::kitchen(14.0), repository, record)?;
    // Ordinary work, and with it one array: the trouble is its size.
    let plan = [("cpus", "7.0"), ("memoryGb", "26.0"), ("rank", "\"high\""), ("expectS", "30.0")];
    let first = job(1, "meal-plan", "kitchen-desk", "group", 1, &plan);
    let tasks = if trouble { TASKS } else { 300 };
    let array = job(2, "portion-tally", "kitchen-desk", "sweep", tasks, &[("expectS", "20.0")]);
    for (node, job) in [(0, &first), (1, &array)] {
        if !matches!(region.submit(node, job), 200 | 201) {
            return None;
        }
    }
    Some(silence::holds(&mut region, ["req-000001", "req-000002"]))
}
