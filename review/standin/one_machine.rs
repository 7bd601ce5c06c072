//! A job that fits one machine only, which is sick for a few seconds.

use crate::base::*;
use crate::region::{Flavor, Region, Setup, job};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// No job is left waiting for so long once the troubles are over (hunt/LATER).
const WAITING_S: f64 = 90.0;

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
        capacity: 1,
        boot_s: 1.5,
        objectives: "\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"portion-tally\"\nwithin_s = 120.0\nshare = 0.8\n"
            .into(),
        report_s: 4.0,
        lease_s: 26.0,
        cancel_s: 46.0,
    };
    let region = Region::start(setup, repository, record.clone())?;
    let only = [("yard", "\"pylaia\""), ("expectS", "4.0")];
    let tally = job(1, "portion-tally", "kitchen-desk", "sweep", 1, &only);
    if !matches!(region.submit(0, &tally), 200 | 201) {
        return None;
    }
    // The machine is sick from its first moment until it has failed the task once.
    let cloud = &region.cloud;
    if trouble {
        while cloud.machines_up().is_empty() && record.now() < 20.0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        cloud.set_sick(true);
        record.line("trouble: the machine fails every task that it starts");
        while cloud.starts.lock().unwrap().is_empty() && record.now() < 25.0 {
            std::thread::sleep(Duration::from_millis(50));
        }
        if cloud.starts.lock().unwrap().is_empty() {
            return None;
        }
        std::thread::sleep(Duration::from_secs(2));
        cloud.set_sick(false);
        record.line("trouble: over, the machine is well again");
    }
    // From here on there is no trouble, a machine with room, and no other work.
    let well_from = record.now();
    let mut node = 0;
    while record.now() - well_from < WAITING_S + 2.0 {
        node += 1;
        region.ask(node, "req-000001");
        record.line(&format!("machines up, and tasks on them: {:?}", cloud.machines_up()));
        if cloud.done.lock().unwrap().contains("req-000001/0") {
            return Some(true);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    let started = cloud.starts.lock().unwrap().iter().filter(|(at, ..)| *at > well_from).count();
    let room = cloud.machines_up().iter().any(|(_, tasks)| *tasks == 0);
    record.line(&format!("starts since then: {started}; a machine with room: {room}"));
    Some(started > 0 || !room)
}
