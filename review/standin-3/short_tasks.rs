//! An array of many tiny tasks beside a long one on the same machine.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Tasks of the array; the protocol allows 100,000.
const SHARDS: u32 = 20_000;
/// Run time of each of its tasks, and without the trouble, in seconds.
const SHORT_S: f64 = 0.5;
const NOT_SHORT_S: f64 = 4.0;

fn spec(
    id: &str,
    class: &str,
    rank: &str,
    shards: u32,
    cpus: f64,
    memory: f64,
    expect_s: f64,
) -> String {
    format!(
        "{{\"nameId\":\"{id}\",\"jobclass\":\"{class}\",\"owner\":\"kitchen-desk\",\"shape\":\"sweep\",\"rank\":\"{rank}\",\"shards\":{shards},\"cpus\":{cpus:?},\"gpus\":0.0,\"memoryGb\":{memory:?},\"bundle\":\"img-1\",\"pullGb\":1.0,\"flavors\":null,\"yard\":null,\"samePlace\":false,\"spread\":false,\"loaners\":false,\"expectS\":{expect_s:?},\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}}"
    )
}

pub fn run(program: &Path, log: Arc<Log>, trouble: bool) -> Verdict {
    let plan = Plan {
        types: vec![MachineType {
            name: "koufari-16",
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 64.0,
            ready_s: 20.0,
        }],
        zones: vec!["kordelio", "pylaia", "oraiokastro", "neapoli"],
        capacity: 1,
        times: Times { report_s: 4.0, lease_s: 26.0, gang_wait_s: 45.0, gang_peer_s: 8.0 },
        cancel_s: 46.0,
        facts: "[[facts.teams]]\nname = \"kitchen-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"portion-tally\"\nwithin_s = 120.0\nshare = 0.8\n".into(),
    };
    let d = Deployment::start(program, log.clone(), plan);
    d.region.start_machines(0, "kordelio", 1);
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    let run_s = if trouble { SHORT_S } else { NOT_SHORT_S };
    let (long, tiny) = ("req-000001", "req-000002");
    if !d.submit(&spec(long, "meal-plan", "high", 1, 7.0, 26.0, 60.0))
        || !d.submit(&spec(tiny, "portion-tally", "standard", SHARDS, 0.03, 0.1, run_s))
    {
        return Verdict::CouldNotRun;
    }
    let mut n = 0;
    while log.seconds() < 110.0 {
        if let Some(text) = d.region.breaches().first() {
            log.write(text);
            d.stop();
            return Verdict::Broken;
        }
        if n % 10 == 0 {
            log.write(&format!(
                "{} tasks on machines, {} of the tiny ones done, longest report {} bytes, {} reports got 413",
                d.region.running(),
                d.region.done_tasks(tiny),
                d.region.longest_report(),
                d.region.refused_reports()
            ));
            let answer = d.ask(n / 10 % 3, "GET", &format!("/v2/runs/{long}"), "");
            if answer.is_some_and(|(_, body)| body.get("status").text() == "done") {
                break;
            }
        }
        n += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    d.stop();
    Verdict::Held
}
