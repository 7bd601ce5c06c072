//! One array of 40,000 tasks, of a class that has an aim for its start.

use crate::base::*;
use crate::region::{Flavor, Region, Setup, job};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// After this long without an answer to any question about it a job counts as forgotten (hunt/LATER).
const FORGOTTEN_S: f64 = 75.0;
/// The longest time without an answer is measured up to here, a little beyond the bound.
const MEASURED_S: f64 = 78.0;
/// The case ends by then.
const END_S: f64 = 113.0;
/// Tasks of the large array: the protocol allows 100,000.
const TASKS: u32 = 40_000;

pub fn run(repository: &Path, record: Arc<Record>, trouble: bool) -> Option<bool> {
    let zones = vec!["kordelio", "pylaia", "oraiokastro", "neapoli"];
    let flavor = |label, cpus, memory_gb, price, spot_price, ready_s, yards| Flavor {
        label,
        cpus,
        memory_gb,
        price,
        spot_price,
        ready_s,
        yards,
    };
    let setup = Setup {
        zones,
        team: "kitchen-desk",
        flavors: vec![
            flavor("kouti-8", 8.0, 32.0, 0.45, 0.13, 30.0, vec!["pylaia", "oraiokastro", "neapoli"]),
            flavor("koufari-16", 16.0, 64.0, 0.82, 0.21, 20.0, vec!["kordelio", "pylaia", "oraiokastro"]),
        ],
        capacity: 20,
        boot_s: 14.0,
        objectives: "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"meal-plan\"\nwithin_s = 18.0\nshare = 0.98\n\
                     \n[[facts.objectives]]\nkind = \"wait\"\nclass = \"portion-tally\"\nwithin_s = 30.0\nshare = 0.9\n\
                     \n[[facts.objectives]]\nkind = \"finished\"\nclass = \"portion-tally\"\nwithin_s = 120.0\nshare = 0.8\n"
            .into(),
        report_s: 4.0,
        lease_s: 26.0,
        cancel_s: 46.0,
    };
    let mut region = Region::start(setup, repository, record.clone())?;
    // Ordinary work, and with it one array: the trouble is its size.
    let plan = [("cpus", "7.0"), ("memoryGb", "26.0"), ("rank", "\"high\""), ("expectS", "30.0")];
    let first = job(1, "meal-plan", "kitchen-desk", "group", 1, &plan);
    let tasks = if trouble { TASKS } else { 300 };
    let large = job(2, "portion-tally", "kitchen-desk", "sweep", tasks, &[("expectS", "20.0")]);
    for (node, job) in [(0, &first), (1, &large)] {
        if !matches!(region.submit(node, job), 200 | 201) {
            return None;
        }
    }
    let accepted_at = record.now();
    // Users ask all controllers about both jobs, every two seconds or so.
    let ids = ["req-000001", "req-000002"];
    let mut last_answer = [accepted_at; 2];
    let mut longest = [0.0f64; 2];
    while record.now() < END_S {
        let answers: Vec<Vec<Answer>> = std::thread::scope(|scope| {
            let region = &region;
            let ask = |id: &'static str| {
                let asked: Vec<_> =
                    (0..3).map(|node| scope.spawn(move || region.ask(node, id))).collect();
                asked.into_iter().map(|a| a.join().unwrap_or(None)).collect()
            };
            ids.map(ask).into()
        });
        for (index, answers) in answers.iter().enumerate() {
            if answers.iter().flatten().any(|(status, _)| *status == 200) {
                last_answer[index] = record.now();
            }
            longest[index] = longest[index].max(record.now() - last_answer[index]);
        }
        if longest.iter().all(|silent| *silent > MEASURED_S) {
            break;
        }
        std::thread::sleep(Duration::from_millis(1_000));
    }
    for (index, (name, _)) in region.controllers.clone().iter().enumerate() {
        let ended = region.processes[index].has_ended();
        let used = region.processes[index].processor_s();
        record.line(&format!("{name}: ended {ended}, processor time {used:.1} s"));
    }
    record.line(&format!(
        "longest time without any answer: {:.1} s for {}, {:.1} s for {}; bound {FORGOTTEN_S} s",
        longest[0], ids[0], longest[1], ids[1]
    ));
    Some(longest.iter().all(|silent| *silent <= FORGOTTEN_S))
}
