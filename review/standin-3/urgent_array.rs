//! Urgent work beyond all room: one array, within the protocol's limit, of a class whose tasks are wanted within seconds.
//! The users of a job that was accepted before go on asking about it.

use crate::region::{MachineType, Times};
use crate::{Deployment, Log, Plan, Verdict, job};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tasks of the array; the protocol allows 100,000.
const SHARDS: u32 = 30_000;
/// A job about which no question is answered for so long counts as forgotten.
const FORGOTTEN_S: f64 = 75.0;
/// When the script gives up waiting for a breach.
const END_S: f64 = 114.0;

pub fn run(program: &Path, log: Arc<Log>, trouble: bool) -> Verdict {
    let types = vec![
        MachineType { name: "kouti-8", cpus: 8.0, gpus: 0.0, memory_gb: 32.0, ready_s: 30.0 },
        MachineType { name: "koufari-16", cpus: 16.0, gpus: 0.0, memory_gb: 64.0, ready_s: 12.0 },
    ];
    let objective = |within: f64, share: f64| {
        format!(
            "[[facts.objectives]]\nkind = \"wait\"\nclass = \"meal-plan\"\nwithin_s = {within:?}\nshare = {share:?}\n"
        )
    };
    let plan = Plan {
        types,
        zones: vec!["kordelio", "pylaia", "oraiokastro", "neapoli"],
        capacity: 3,
        times: Times { report_s: 4.0, lease_s: 26.0, gang_wait_s: 45.0, gang_peer_s: 8.0 },
        cancel_s: 46.0,
        facts: format!(
            "[[facts.teams]]\nname = \"kitchen-desk\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n{}{}",
            objective(6.0, 0.93),
            objective(18.0, 0.98)
        ),
    };
    let d = Arc::new(Deployment::start(program, log.clone(), plan));
    if !d.wait_until_up(15.0) {
        return Verdict::CouldNotRun;
    }
    // A job that runs all the time: the machines for it take 12 s to boot.
    let tally = "req-000001";
    if !d.submit(&job(tally, "portion-tally", "sweep", 8, 2.0, 100.0)) {
        return Verdict::CouldNotRun;
    }
    while d.region.running() < 4 {
        if log.seconds() > 35.0 {
            log.write("the first job did not start");
            return Verdict::CouldNotRun;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let shards = if trouble { SHARDS } else { 8 };
    if !d.submit(&job("req-000002", "meal-plan", "sweep", shards, 2.0, 20.0)) {
        return Verdict::CouldNotRun;
    }
    // Each user asks another controller, every five seconds.
    let submitted = Instant::now();
    let last_answer = Arc::new(std::sync::Mutex::new(submitted));
    for n in 0..d.nodes.len() {
        let (d, last_answer) = (d.clone(), last_answer.clone());
        std::thread::spawn(move || {
            loop {
                let answer = d.ask(n, "GET", &format!("/v2/runs/{tally}"), "");
                if answer.is_some_and(|(status, _)| status == 200) {
                    *last_answer.lock().unwrap() = Instant::now();
                }
                let up = d.is_healthy(n);
                d.log.write(&format!(
                    "load balancer: {} is {}",
                    d.nodes[n].0,
                    if up { "up" } else { "not up" }
                ));
                std::thread::sleep(Duration::from_secs(5));
            }
        });
    }
    let mut longest: f64 = 0.0;
    while log.seconds() < END_S {
        std::thread::sleep(Duration::from_secs(1));
        let silence = last_answer.lock().unwrap().elapsed().as_secs_f64();
        longest = longest.max(silence);
        if silence >= FORGOTTEN_S {
            log.write(&format!(
                "forgotten: no controller answered a question about {tally} for {silence:.1} s"
            ));
            d.stop();
            return Verdict::Broken;
        }
    }
    log.write(&format!("longest time without an answer about {tally}: {longest:.1} s"));
    d.stop();
    Verdict::Held
}
