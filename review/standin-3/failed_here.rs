//! A job bound to one zone whose only machine fails the tasks that it starts, for a while.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// No job may wait for so long while machines that fit have room and its team is under its limit.
const LEFT_WAITING_S: f64 = 90.0;

pub fn run(program: &Path, log: Arc<Log>, trouble: bool) -> Verdict {
    let plan = Plan {
        types: vec![MachineType { name: "koufari-16", cpus: 16.0, gpus: 0.0, memory_gb: 64.0, ready_s: 20.0 }],
        zones: vec!["kordelio", "pylaia", "oraiokastro", "neapoli"],
        capacity: 1,
        times: Times { report_s: 4.0, lease_s: 26.0, gang_wait_s: 45.0, gang_peer_s: 8.0 },
        cancel_s: 46.0,
        facts: "[[facts.teams]]\nname = \"kitchen-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"portion-tally\"\nwithin_s = 120.0\nshare = 0.8\n".into(),
    };
    let d = Deployment::start(program, log.clone(), plan);
    d.region.start_machines(0, "pylaia", 1);
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    d.region.set_faulty(trouble);
    let id = "req-000001";
    let spec = format!(
        "{{\"nameId\":\"{id}\",\"jobclass\":\"portion-tally\",\"owner\":\"kitchen-desk\",\"shape\":\"sweep\",\"rank\":\"standard\",\"shards\":2,\"cpus\":2.0,\"gpus\":0.0,\"memoryGb\":5.3,\"bundle\":\"img-1\",\"pullGb\":1.8,\"flavors\":null,\"yard\":\"pylaia\",\"samePlace\":false,\"spread\":false,\"loaners\":false,\"expectS\":10.0,\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}}"
    );
    if !d.submit(&spec) {
        return Verdict::CouldNotRun;
    }
    let until: f64 = std::env::var("FAULT_S").ok().and_then(|n| n.parse().ok()).unwrap_or(10.0);
    let start = log.seconds();
    let mut over = !trouble;
    let mut waits_since = log.seconds();
    let mut n = 0;
    loop {
        if !over && log.seconds() - start > until {
            d.region.set_faulty(false);
            log.write("the machine is sound again");
            over = true;
            waits_since = log.seconds();
        }
        if d.region.running() > 0 {
            waits_since = log.seconds();
        }
        let answer = d.ask(n % 3, "GET", &format!("/v2/runs/{id}"), "");
        log.write(&format!(
            "machines: {}, room for {} tasks, {} on machines, {} done",
            d.region.machines(),
            d.region.room(id),
            d.region.running(),
            d.region.done_tasks(id)
        ));
        if answer.is_some_and(|(_, body)| body.get("status").text() == "done") {
            return Verdict::Held;
        }
        if d.region.room(id) == 0 {
            waits_since = log.seconds();
        }
        if over && log.seconds() - waits_since > LEFT_WAITING_S {
            log.write("left waiting");
            return Verdict::Broken;
        }
        if log.seconds() > 114.0 {
            return Verdict::Held;
        }
        n += 1;
        std::thread::sleep(Duration::from_secs(2));
    }
}
