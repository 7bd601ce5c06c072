//! The cases of the review. Each returns 1 if its rule was broken, 0 if it held, 2 if it could not run.

use crate::cloud::{Flavor, Phase, Times};
use crate::json::s;
use crate::region::{Region, Site, job, with};
use std::path::Path;
use std::time::{Duration, Instant};

pub fn run(case: &str, directory: &Path, trouble: bool) -> i32 {
    let result = match case {
        "gather" => gather(directory, trouble),
        "replica" => replica(directory, trouble),
        other => {
            eprintln!("no case {other}");
            return 2;
        }
    };
    result.unwrap_or_else(|e| {
        println!("the case could not run: {e}");
        2
    })
}

type Outcome = Result<i32, Box<dyn std::error::Error>>;

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

pub fn machine(label: &'static str, cpus: f64, memory_gb: f64, zones: Vec<(&'static str, usize)>) -> Flavor {
    Flavor { label, cpus, gpus: 0.0, memory_gb, price: 0.24 * cpus, boot: secs(0.3), zones }
}

/// Whether the machine has room for the job's task, by what runs there.
fn has_room(region: &Region, host: &str, cpus: f64, capacity: f64) -> bool {
    let inner = region.cloud.inner.lock().unwrap();
    inner.machines.get(host).is_some_and(|m| {
        let active = m.tasks.iter().filter(|t| !matches!(t.phase, Phase::Ended(_)));
        let used: f64 = active.filter_map(|t| inner.specs.get(&t.job)).map(|spec| spec.get("cpus").f64()).sum();
        used + cpus <= capacity + 1e-6
    })
}

/// The settings of the deployment apothiki-thess, with few machines. Images are fetched a third faster than the catalogue
/// says.
fn apothiki(flavors: Vec<Flavor>) -> Site {
    Site {
        zones: vec!["thermi", "sindos", "kalamaria"],
        flavors,
        times: Times { report: 3.0, lease: 34.0, gang_wait: 40.0, gang_peer: 4.0 },
        cancel_s: 59.0,
        teams: vec![("stock-desk", 0.0, 0.0), ("dispatch-desk", 0.0, 0.0)],
        state: (200.0, 50.0, 16.0, 20),
        cloud: (6.0, 4.0),
        memory_mb: 200.0,
        sockets: 2500,
        objectives: OBJECTIVES,
        fetch_gb_per_s: 0.5,
        fetch_factor: 4.0 / 3.0,
    }
}

/// The aims of apothiki-thess that name a time.
const OBJECTIVES: &str = "
[[facts.objectives]]
kind = \"wait\"
class = \"shelf-forecast\"
within_s = 18.0
share = 0.9

[[facts.objectives]]
kind = \"wait\"
class = \"route-weave\"
within_s = 20.0
share = 0.9

[[facts.objectives]]
kind = \"finished\"
class = \"route-weave\"
within_s = 300.0
share = 0.9
";

fn running(region: &Region, id: &str) -> usize {
    let inner = region.cloud.inner.lock().unwrap();
    let of_job = |t: &&crate::cloud::Task| t.job == id && t.phase == Phase::Running;
    inner.machines.values().map(|m| m.tasks.iter().filter(of_job).count()).sum()
}

fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(secs(0.05));
    }
    false
}

/// A machine stops with all that is on it. Its gang goes on beside a machine that has to fetch the image first, for longer
/// than the others wait: the gang is given up and begun again without end.
fn gather(directory: &Path, trouble: bool) -> Outcome {
    let site = apothiki(vec![machine("kivotos-48", 48.0, 192.0, vec![("thermi", 3)])]);
    let mut region = Region::start(directory, &site)?;
    if !region.wait_up(secs(15.0)) {
        return Err("the controllers did not come up".into());
    }
    // A service with an image that is fetched at once keeps three machines up, each with room for one task of the gang.
    let service = job(1, "shelf-forecast", "stock-desk", "standing", 3, (26.0, 0.0, 29.0), 0.0);
    let service = with(with(service, "pullGb", crate::json::f(0.05)), "bundle", s("img-01"));
    region.submit(&with(service, "rank", s("critical")), 0);
    let gang = job(2, "route-weave", "dispatch-desk", "group", 2, (21.0, 0.0, 77.0), 20.0);
    region.submit(&with(gang, "pullGb", crate::json::f(15.0)), 1);
    if !wait_until(secs(45.0), || running(&region, "req-000002") == 2) {
        return Err("the gang did not start".into());
    }
    {
        // Machines that have not fetched the image do so a third more slowly than the catalogue says.
        let mut inner = region.cloud.inner.lock().unwrap();
        inner.fetch_factor = 2.0 / 3.0;
        inner.machines.values_mut().for_each(|m| m.fetch_factor = 2.0 / 3.0);
    }
    let mut hit = String::new();
    if trouble {
        let mut inner = region.cloud.inner.lock().unwrap();
        let on = |m: &&mut crate::cloud::Machine| m.tasks.iter().any(|t| t.job == "req-000002" && t.index == 1);
        if let Some(m) = inner.machines.values_mut().find(on) {
            m.faults.dead = true;
            m.tasks.clear();
            hit = m.id.clone();
        }
    }
    region.note(format!("trouble: machine {hit:?} stops with all that is on it"));
    let since = Instant::now();
    let (mut done, mut roomy, mut ran) = (None, 3, false);
    // The gang waits as long as its tasks do not all run; a gang that runs again is not left waiting.
    while done.is_none() && !(trouble && ran) && since.elapsed() < secs(90.2) {
        done = region.wait_for("req-000002", "done", secs(4.0), secs(4.0).min(secs(90.5).saturating_sub(since.elapsed())));
        ran = since.elapsed() > secs(15.0) && running(&region, "req-000002") == 2;
        // Machines with room for one more of its tasks, beside what its tasks hold already.
        let hosts: Vec<String> = region.cloud.inner.lock().unwrap().machines.keys().cloned().collect();
        if since.elapsed() > secs(30.0) {
            roomy = roomy.min(hosts.iter().filter(|host| has_room(&region, host, 21.0, 48.0)).count());
        }
    }
    let waited = since.elapsed().as_secs_f64();
    let attempts = {
        let inner = region.cloud.inner.lock().unwrap();
        let of_gang = inner.starts.iter().filter(|(j, ..)| j == "req-000002");
        of_gang.map(|(_, _, attempt, _)| *attempt).collect::<std::collections::BTreeSet<u64>>().len()
    };
    let ended = region.ended();
    region.note(format!(
        "verdict: done after {done:?} s, waited {waited:.1} s; {attempts} attempts began; always {roomy} machines or more with room; controllers ended: {ended:?}"
    ));
    println!("gang done after {done:?} s, waited {waited:.1} s; {attempts} attempts began; {roomy} machines or more with room");
    Ok(i32::from(done.is_none() && !ran && waited >= 90.0 && roomy > 0))
}

/// A machine stops with all that is on it, a replica of a service too. The replica is not started again, on neither of two
/// machines with room, for as long as the one that has its image is being emptied.
fn replica(directory: &Path, trouble: bool) -> Outcome {
    let types = vec![
        machine("tiny", 3.0, 64.0, vec![("thermi", 1)]),
        machine("small", 4.0, 64.0, vec![("thermi", 1)]),
        Flavor { price: 200.0, ..machine("big", 48.0, 192.0, vec![("thermi", 1)]) },
    ];
    let site = apothiki(types);
    let mut region = Region::start(directory, &site)?;
    if !region.wait_up(secs(15.0)) {
        return Err("the controllers did not come up".into());
    }
    let only = |flavor: &str| crate::json::Json::List(vec![s(flavor)]);
    let on = |region: &Region, id: &str| -> Option<(String, Phase)> {
        let inner = region.cloud.inner.lock().unwrap();
        let found = inner.machines.values().find_map(|m| {
            let task = m.tasks.iter().find(|t| t.job == id && !matches!(t.phase, Phase::Ended(_)))?;
            Some((m.id.clone(), task.phase.clone()))
        });
        found
    };
    let runs = |region: &Region, id: &str| on(region, id).is_some_and(|(_, phase)| phase == Phase::Running);
    // A service of one replica, with an image that takes 25.4 s by the catalogue and 19 s here.
    let service = job(1, "shelf-forecast", "stock-desk", "standing", 1, (2.0, 0.0, 1.0), 0.0);
    region.submit(&with(service, "pullGb", crate::json::f(12.7)), 0);
    // The first machine is up, and the service has its place there.
    let up = || region.cloud.inner.lock().unwrap().machines.values().any(|m| m.address.is_some());
    if !wait_until(secs(15.0), up) {
        return Err("no machine came up".into());
    }
    std::thread::sleep(secs(1.2));
    // A long task with the same image on the small machine, and a service that takes most of the big one.
    let long = job(2, "pantry-recount", "stock-desk", "sweep", 1, (1.0, 0.0, 1.0), 600.0);
    let long = with(with(long, "pullGb", crate::json::f(12.7)), "flavors", only("small"));
    region.submit(&long, 1);
    let large = job(3, "shelf-forecast", "stock-desk", "standing", 1, (40.0, 0.0, 1.0), 0.0);
    let large = with(with(large, "pullGb", crate::json::f(0.05)), "bundle", s("img-01"));
    region.submit(&with(large, "flavors", only("big")), 2);
    if !wait_until(secs(40.0), || ["req-000001", "req-000002", "req-000003"].iter().all(|id| runs(&region, id))) {
        return Err("the work did not start".into());
    }
    std::thread::sleep(secs(0.8));
    let hit = on(&region, "req-000001").map(|(host, _)| host).unwrap_or_default();
    if trouble {
        let mut inner = region.cloud.inner.lock().unwrap();
        if let Some(m) = inner.machines.get_mut(&hit) {
            m.faults.dead = true;
            m.tasks.clear();
        }
        drop(inner);
        region.note(format!("trouble: machine {hit} stops with all that is on it"));
    }
    let since = Instant::now();
    let (mut back, mut roomy, mut next) = (None, 2, 0.0);
    let mut stopped_since = None;
    // Without the trouble, that it goes on is watched for 30 s.
    while since.elapsed() < secs(if trouble { 90.2 } else { 30.0 }) {
        if runs(&region, "req-000001") {
            back = Some(since.elapsed().as_secs_f64());
            stopped_since = None;
            if trouble {
                break;
            }
        } else {
            stopped_since.get_or_insert_with(Instant::now);
        }
        let capacity = |flavor: &str| if flavor == "big" { 48.0 } else { 4.0 };
        let others: Vec<(String, f64)> = {
            let inner = region.cloud.inner.lock().unwrap();
            let up = inner.machines.values().filter(|m| m.id != hit && m.address.is_some());
            up.map(|m| (m.id.clone(), capacity(&m.flavor))).collect()
        };
        roomy = roomy.min(others.iter().filter(|(host, cpus)| has_room(&region, host, 2.0, *cpus)).count());
        if since.elapsed().as_secs_f64() >= next {
            next += 5.0;
            region.poll("req-000001", (next as usize / 5) % 3);
        }
        std::thread::sleep(secs(0.1));
    }
    let waited = stopped_since.map_or(0.0, |at: Instant| at.elapsed().as_secs_f64());
    let ended = region.ended();
    region.note(format!(
        "verdict: the service was last seen running after {back:?} s, not running for the last {waited:.1} s; always {roomy} machines or more with room; controllers ended: {ended:?}"
    ));
    println!("the service was last seen running after {back:?} s, not running for the last {waited:.1} s; {roomy} machines or more with room");
    Ok(i32::from(waited >= 90.0 && roomy > 0))
}
