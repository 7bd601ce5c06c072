//! A burst of large arrays in a deployment whose controllers have 40 MB each. The platform ends a controller that holds
//! more than its limit and starts it again.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict, job};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Tasks of each array; the protocol allows 100,000.
const SHARDS: u32 = 100_000;
/// Arrays of the burst, and without it.
const BURST: u32 = 25;
const NO_BURST: u32 = 2;
/// `memory_mb` of the settings: over it, the platform kills the process.
const MEMORY_MB: f64 = 40.0;
/// How long after its end a controller is back.
const RESTART: Duration = Duration::from_secs(5);
/// No job may wait for so long while machines that fit have room and its team is under its limit.
const LEFT_WAITING_S: f64 = 90.0;

pub fn run(program: &Path, log: Arc<Log>, trouble: bool) -> Verdict {
    let plan = Plan {
        types: vec![MachineType {
            name: "koufari-16",
            cpus: 16.0,
            gpus: 0.0,
            memory_gb: 64.0,
            ready_s: 12.0,
        }],
        zones: vec!["kordelio", "pylaia", "oraiokastro", "neapoli"],
        capacity: 3,
        times: Times { report_s: 4.0, lease_s: 26.0, gang_wait_s: 45.0, gang_peer_s: 8.0 },
        cancel_s: 46.0,
        facts: "[[facts.teams]]\nname = \"kitchen-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"portion-tally\"\nwithin_s = 120.0\nshare = 0.8\n".into(),
    };
    let d = Arc::new(Deployment::start(program, log.clone(), plan));
    for zone in ["kordelio", "pylaia"] {
        d.region.start_machines(0, zone, 1);
    }
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    let tally = "req-000001";
    if !d.submit(&job(tally, "portion-tally", "sweep", 4, 2.0, 10.0)) {
        return Verdict::CouldNotRun;
    }
    while d.region.running() < 1 {
        if log.seconds() > 25.0 {
            log.write("the first job did not start");
            return Verdict::CouldNotRun;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let kills = Arc::new(AtomicUsize::new(0));
    for n in 0..d.nodes.len() {
        let (d, kills) = (d.clone(), kills.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let held = d.memory_mb(n);
                if held > MEMORY_MB {
                    kills.fetch_add(1, Ordering::Relaxed);
                    d.log.write(&format!("platform: {} holds {held:.1} MB", d.nodes[n].0));
                    d.kill_node(n);
                    std::thread::sleep(RESTART);
                    d.start_node(n);
                }
            }
        });
    }
    for n in 0..if trouble { BURST } else { NO_BURST } {
        let id = format!("req-{:06}", 100 + n);
        if !d.submit(&job(&id, "portion-tally", "sweep", SHARDS, 2.0, 20.0)) {
            return Verdict::CouldNotRun;
        }
        if log.seconds() > 40.0 {
            break;
        }
    }
    let mut waiting_since = Instant::now();
    let mut longest: f64 = 0.0;
    let mut n = 0;
    while log.seconds() < 113.0 {
        waiting_since = waiting_since.max(d.region.last_start());
        if d.region.room(tally) == 0 {
            waiting_since = Instant::now();
        }
        let waiting = waiting_since.elapsed().as_secs_f64();
        longest = longest.max(waiting);
        if n % 10 == 0 {
            d.ask(n / 10 % 3, "GET", "/v2/runs/req-000100", "");
            log.write(&format!(
                "machines: {}, room for {} tasks, {} on machines; {} controllers killed for memory",
                d.region.machines(),
                d.region.room(tally),
                d.region.running(),
                kills.load(Ordering::Relaxed)
            ));
        }
        if waiting >= LEFT_WAITING_S {
            log.write(&format!(
                "left waiting: no task of any job was started in {waiting:.1} s, with room all the time"
            ));
            d.stop();
            return Verdict::Broken;
        }
        n += 1;
        std::thread::sleep(Duration::from_millis(200));
    }
    log.write(&format!("longest time without a start: {longest:.1} s"));
    d.stop();
    Verdict::Held
}
