//! A gang that fits on the machines that stand idle, one task larger than what one placement pass starts.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Tasks of the gang; the protocol allows 100,000.
const SHARDS: u32 = 210;
/// The same without the trouble.
const FEWER_SHARDS: u32 = 190;
/// No job may wait for so long while machines that fit have room and its team is under its limit.
const LEFT_WAITING_S: f64 = 90.0;

pub fn run(program: &Path, log: Arc<Log>, trouble: bool) -> Verdict {
    let zones = ["zandvoort", "assen", "haarlem"];
    let plan = Plan {
        types: vec![MachineType {
            name: "pitbox-48",
            cpus: 48.0,
            gpus: 4.0,
            memory_gb: 384.0,
            ready_s: 40.0,
        }],
        zones: zones.to_vec(),
        capacity: 42,
        times: Times { report_s: 3.0, lease_s: 26.0, gang_wait_s: 50.0, gang_peer_s: 4.0 },
        cancel_s: 46.0,
        facts: "[[facts.teams]]\nname = \"track-crew\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 32.0\ngpus_max = 300.0\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"heat-sim\"\nwithin_s = 40.0\nshare = 0.8\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"heat-sim\"\nwithin_s = 400.0\nshare = 0.85\n".into(),
    };
    let d = Deployment::start(program, log.clone(), plan);
    // Nine machines are up at the start, idle throughout.
    for (zone, count) in zones.iter().zip([3, 4, 2]) {
        d.region.start_machines(0, zone, count);
    }
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let shards = if trouble { SHARDS } else { FEWER_SHARDS };
    let gang = "req-000001";
    let spec = format!(
        "{{\"nameId\":\"{gang}\",\"jobclass\":\"heat-sim\",\"owner\":\"track-crew\",\"shape\":\"group\",\"rank\":\"standard\",\"shards\":{shards},\"cpus\":1.0,\"gpus\":0.0,\"memoryGb\":4.0,\"bundle\":\"img-1\",\"pullGb\":6.0,\"flavors\":null,\"yard\":null,\"samePlace\":false,\"spread\":false,\"loaners\":false,\"expectS\":20.0,\"snapshotS\":30.0,\"flushS\":6.0,\"dueS\":null}}"
    );
    if !d.submit(&spec) {
        return Verdict::CouldNotRun;
    }
    let accepted = log.seconds();
    let mut n = 0;
    loop {
        let room = d.region.room(gang);
        let started = d.region.running() > 0 || d.region.done_tasks(gang) > 0;
        log.write(&format!(
            "machines: {} up, room for {room} tasks of the gang, {} on machines, {} done",
            d.region.machines(),
            d.region.running(),
            d.region.done_tasks(gang)
        ));
        let answer = d.ask(n % 3, "GET", &format!("/v2/runs/{gang}"), "");
        if started && answer.is_some_and(|(_, body)| body.get("status").text() == "done") {
            return Verdict::Held;
        }
        if !started && room < shards as usize {
            log.write("the machines have no room for the gang");
            return Verdict::CouldNotRun;
        }
        if !started && log.seconds() - accepted > LEFT_WAITING_S {
            log.write(&format!(
                "left waiting: none of the gang's {shards} tasks was started in {LEFT_WAITING_S} s"
            ));
            return Verdict::Broken;
        }
        if log.seconds() > 112.0 {
            return Verdict::Held;
        }
        n += 1;
        std::thread::sleep(Duration::from_secs(5));
    }
}
