//! A gang whose tasks must be in one zone, and of which at most half may be in one zone.

use crate::base::*;
use crate::region::{Flavor, Region, Setup, job};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How long it is watched whether the job runs, once accepted.
const WATCHED_S: f64 = 60.0;

pub fn run(repository: &Path, record: Arc<Record>, trouble: bool) -> Option<bool> {
    let setup = Setup {
        zones: vec!["kordelio", "pylaia", "oraiokastro", "neapoli"],
        team: "kitchen-desk",
        flavors: vec![Flavor {
            label: "koufari-16",
            cpus: 16.0,
            memory_gb: 64.0,
            price: 0.82,
            spot_price: 0.21,
            ready_s: 20.0,
            yards: vec!["kordelio", "pylaia", "oraiokastro"],
        }],
        capacity: 8,
        boot_s: 1.5,
        objectives: "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"meal-plan\"\nwithin_s = 18.0\nshare = 0.98\n".into(),
        report_s: 4.0,
        lease_s: 26.0,
        cancel_s: 46.0,
    };
    let region = Region::start(setup, repository, record.clone())?;
    let spread = if trouble { "true" } else { "false" };
    let more = [
        ("rank", "\"high\""),
        ("cpus", "7.0"),
        ("memoryGb", "26.0"),
        ("samePlace", "true"),
        ("spread", spread),
    ];
    let plan = job(1, "meal-plan", "kitchen-desk", "group", 4, &more);
    let status = region.submit(0, &plan);
    if status == 422 {
        return Some(true);
    }
    if !matches!(status, 200 | 201) {
        return None;
    }
    let accepted_at = record.now();
    let mut node = 0;
    while record.now() - accepted_at < WATCHED_S {
        node += 1;
        let answer = region.ask(node, "req-000001");
        if answer.is_some_and(|(_, body)| body.contains("\"status\":\"done\"")) {
            return Some(true);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    let started = region.cloud.starts.lock().unwrap().len();
    record.line(&format!(
        "accepted with {status}; of its 4 tasks {started} have started in {WATCHED_S} s"
    ));
    Some(false)
}
