//! Two machines, one of them full of ordinary work, the other with room; then a gang of a higher rank and a small job of a lower one come together.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// No job may wait for so long while machines that fit have room and its team is under its limit.
const LEFT_WAITING_S: f64 = 90.0;

#[allow(clippy::too_many_arguments)]
fn spec(
    id: &str,
    class: &str,
    shape: &str,
    rank: &str,
    shards: u32,
    cpus: f64,
    expect_s: f64,
    zone: &str,
) -> String {
    let yard = if zone.is_empty() { "null".to_owned() } else { format!("\"{zone}\"") };
    format!(
        "{{\"nameId\":\"{id}\",\"jobclass\":\"{class}\",\"owner\":\"kitchen-desk\",\"shape\":\"{shape}\",\"rank\":\"{rank}\",\"shards\":{shards},\"cpus\":{cpus:?},\"gpus\":0.0,\"memoryGb\":5.3,\"bundle\":\"img-1\",\"pullGb\":1.0,\"flavors\":null,\"yard\":{yard},\"samePlace\":false,\"spread\":false,\"loaners\":false,\"expectS\":{expect_s:?},\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}}"
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
        zones: vec!["kordelio", "pylaia"],
        capacity: 1,
        times: Times { report_s: 4.0, lease_s: 26.0, gang_wait_s: 45.0, gang_peer_s: 8.0 },
        cancel_s: 46.0,
        facts: "[[facts.teams]]\nname = \"kitchen-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n".into(),
    };
    let d = Deployment::start(program, log.clone(), plan);
    d.region.start_machines(0, "kordelio", 1);
    d.region.start_machines(0, "pylaia", 1);
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    // Five tasks of 3 CPUs on one machine, one of 9 CPUs on the other: 1 and 7 CPUs are left.
    let (ordinary, other, small, gang) = ("req-000001", "req-000002", "req-000003", "req-000004");
    let beside = spec(other, "portion-tally", "sweep", "high", 1, 9.0, 300.0, "pylaia");
    let full = spec(ordinary, "portion-tally", "sweep", "standard", 24, 3.0, 300.0, "kordelio");
    if !d.submit(&beside) || !d.submit(&full) {
        return Verdict::CouldNotRun;
    }
    while d.region.running() < 6 {
        if log.seconds() > 15.0 {
            log.write("the machines are not full");
            return Verdict::CouldNotRun;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(1));
    // Waits for 3 CPUs; it starts a pass, so that the two that follow come together in the next one.
    if !d.submit(&spec("req-000005", "portion-tally", "sweep", "low", 1, 3.0, 300.0, "kordelio")) {
        return Verdict::CouldNotRun;
    }
    std::thread::scope(|scope| {
        let gang = spec(gang, "meal-plan", "group", "high", 2, 7.0, 20.0, "");
        let small = spec(small, "portion-tally", "sweep", "low", 1, 1.0, 300.0, "kordelio");
        let d = &d;
        scope.spawn(move || d.submit(&gang));
        if trouble {
            scope.spawn(move || d.submit(&small));
        }
    });
    let submitted = log.seconds();
    let before = d.region.starts(ordinary);
    // Since when a machine has had room for a task of the gang at every look.
    let mut room_since = None;
    let mut n = 0;
    while log.seconds() < 114.0 {
        let (room, started) = (d.region.room(gang), d.region.has_started(gang));
        if n % 20 == 0 {
            log.write(&format!(
                "room for {room} tasks of the gang, {} tasks on machines; {} starts of the ordinary array; the gang {}",
                d.region.running(),
                d.region.starts(ordinary),
                if started { "started" } else { "waits" },
            ));
            d.ask(n / 20 % 3, "GET", &format!("/v2/runs/{gang}"), "");
        }
        if started {
            log.write("the gang was started");
            break;
        }
        room_since = if room > 0 { room_since.or(Some(log.seconds())) } else { None };
        let since = room_since.unwrap_or(log.seconds());
        // The other task's room: what the leader gave to tasks of 3 CPUs of a lower rank meanwhile.
        let later = d.region.starts(ordinary) - before;
        if log.seconds() - since > LEFT_WAITING_S && later >= 3 {
            log.write(&format!(
                "left waiting: the gang, since {:.1} s after its submission with room for one of its tasks at every look, while {later} tasks of 3 CPUs of a lower rank were started",
                since - submitted,
            ));
            d.stop();
            return Verdict::Broken;
        }
        n += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    d.stop();
    Verdict::Held
}
