//! The cases of the review. Each returns 1 if its rule was broken, 0 if it held, 2 if it could not run.

use crate::cloud::{Flavor, Phase, Times};
use crate::json::s;
use crate::region::{Region, Site, job, with};
use std::path::Path;
use std::time::{Duration, Instant};

pub fn run(case: &str, directory: &Path, trouble: bool) -> i32 {
    let result = match case {
        "gather" => gather(directory, trouble),
        "wide" => wide(directory, trouble),
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

/// Settings like those of the community kitchens (kitchen-loom), with few machines.
pub fn kitchen(flavors: Vec<Flavor>) -> Site {
    Site {
        zones: vec!["kordelio", "pylaia", "oraiokastro"],
        flavors,
        times: Times { report: 4.0, lease: 26.0, gang_wait: 40.0, gang_peer: 4.0 },
        cancel_s: 46.0,
        teams: vec![("kitchen-desk", 0.0, 0.0)],
        state: (120.0, 25.0, 8.0, 16),
        cloud: (3.0, 4.0),
        memory_mb: 40.0,
        sockets: 600,
        objectives: "\n[[facts.objectives]]\nkind = \"wait\"\nclass = \"meal-plan\"\nwithin_s = 6.0\nshare = 0.93\n",
        fetch_gb_per_s: 10.0,
        fetch_factor: 1.0,
    }
}

pub fn machine(label: &'static str, cpus: f64, memory_gb: f64, zones: Vec<(&'static str, usize)>) -> Flavor {
    Flavor { label, cpus, gpus: 0.0, memory_gb, price: 0.05 * cpus, boot: secs(1.5), zones }
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

/// The region that the project's own `oatloomctl up` sets up, with a slower fetch of images.
fn small_region(flavors: Vec<Flavor>, fetch_gb_per_s: f64) -> Site {
    Site {
        zones: vec!["a", "b", "c"],
        flavors,
        times: Times { report: 1.0, lease: 10.0, gang_wait: 12.0, gang_peer: 2.0 },
        cancel_s: 20.0,
        teams: vec![("blue", 0.0, 0.0)],
        state: (400.0, 100.0, 16.0, 20),
        cloud: (6.0, 1.0),
        memory_mb: 200.0,
        sockets: 1000,
        objectives: "\n[[facts.objectives]]\nkind = \"finished\"\nclass = \"slow\"\nwithin_s = 24.0\n",
        fetch_gb_per_s,
        fetch_factor: 1.0,
    }
}

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
    let site = small_region(vec![machine("std", 16.0, 64.0, vec![("a", 3)])], 0.15);
    let mut region = Region::start(directory, &site)?;
    if !region.wait_up(secs(15.0)) {
        return Err("the controllers did not come up".into());
    }
    // Long work with an image that is fetched at once, which keeps three machines up.
    let long = job(1, "slow", "blue", "standing", 3, (8.5, 0.0, 1.0), 0.0);
    let long = with(with(long, "pullGb", crate::json::f(0.05)), "bundle", s("img-01"));
    region.submit(&long, 0);
    // Keeps each of the three on a machine of its own.
    if !wait_until(secs(20.0), || running(&region, "req-000001") == 3) {
        return Err("the long work did not start".into());
    }
    let gang = job(2, "slow", "blue", "group", 2, (7.0, 0.0, 4.0), 8.0);
    let gang = with(gang, "pullGb", crate::json::f(0.15 * 15.0));
    region.submit(&gang, 1);
    if !wait_until(secs(30.0), || running(&region, "req-000002") == 2) {
        return Err("the gang did not start".into());
    }
    std::thread::sleep(secs(1.0));
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
    let (mut done, mut roomy) = (None, 3);
    while done.is_none() && since.elapsed() < secs(90.5) {
        done = region.wait_for("req-000002", "done", secs(4.0), secs(4.0).min(secs(91.0).saturating_sub(since.elapsed())));
        // Machines with room for one more of its tasks, beside what its tasks hold already.
        let hosts: Vec<String> = region.cloud.inner.lock().unwrap().machines.keys().cloned().collect();
        if since.elapsed() > secs(10.0) {
            roomy = roomy.min(hosts.iter().filter(|host| has_room(&region, host, 7.0, 16.0)).count());
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
    Ok(i32::from(done.is_none() && waited >= 90.0 && roomy > 0))
}

/// A gang of 250 small tasks, in the place of one of 200, is accepted and never begins beside room for all of it.
fn wide(directory: &Path, trouble: bool) -> Outcome {
    let site = kitchen(vec![machine("koufari-16", 16.0, 64.0, vec![("pylaia", 1)])]);
    let mut region = Region::start(directory, &site)?;
    if !region.wait_up(secs(15.0)) {
        return Err("the controllers did not come up".into());
    }
    // Keeps the machine up.
    region.submit(&job(1, "meal-plan", "kitchen-desk", "standing", 1, (1.0, 0.0, 1.0), 0.0), 0);
    if !wait_until(secs(20.0), || running(&region, "req-000001") == 1) {
        return Err("the long work did not start".into());
    }
    let shards = if trouble { 250 } else { 200 };
    region.note(format!("trouble: a gang of {shards} tasks of 0.05 CPUs is submitted"));
    let status = region.submit(&job(2, "meal-plan", "kitchen-desk", "group", shards, (0.05, 0.0, 0.1), 3.0), 1);
    let since = Instant::now();
    let (mut done, mut always_room) = (None, true);
    while status == Some(201) && done.is_none() && since.elapsed() < secs(91.0) {
        // Room for all of its tasks, beside those that are on the machine.
        always_room &= has_room(&region, "i-000001", 0.05 * shards as f64, 16.0);
        done = region.wait_for("req-000002", "done", secs(4.0), secs(4.0).min(secs(91.5).saturating_sub(since.elapsed())));
    }
    let waited = since.elapsed().as_secs_f64();
    let starts = region.cloud.inner.lock().unwrap().starts.iter().filter(|(j, ..)| j == "req-000002").count();
    let ended = region.ended();
    region.note(format!(
        "verdict: answered {status:?}; done after {done:?} s, waited {waited:.1} s; {starts} tasks began; always room for all of it: {always_room}; controllers ended: {ended:?}"
    ));
    println!("answered {status:?}, done after {done:?} s, waited {waited:.1} s, {starts} tasks began, always room: {always_room}");
    // 400 or 422 would hold the rule.
    Ok(i32::from(status == Some(201) && done.is_none() && waited >= 90.0 && starts == 0 && always_room))
}

/// A machine stops with all that is on it, a replica of a service too. The replica is not started again, on neither of two
/// machines with room, for as long as the one that has its image is being emptied.
fn replica(directory: &Path, trouble: bool) -> Outcome {
    let types = vec![
        machine("tiny", 3.0, 64.0, vec![("a", 1)]),
        machine("small", 4.0, 64.0, vec![("a", 1)]),
        Flavor { price: 10.0, ..machine("big", 48.0, 64.0, vec![("a", 1)]) },
    ];
    let types = types.into_iter().map(|t| Flavor { boot: secs(1.0), ..t }).collect();
    let mut site = small_region(types, 0.15);
    site.fetch_factor = 4.0 / 3.0;
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
    // A service of one replica, with an image that takes 25.3 s by the catalogue and 19 s here.
    let service = job(1, "slow", "blue", "standing", 1, (2.0, 0.0, 1.0), 0.0);
    region.submit(&with(service, "pullGb", crate::json::f(3.8)), 0);
    if !wait_until(secs(15.0), || on(&region, "req-000001").is_some()) {
        return Err("the service was not placed".into());
    }
    // A long task with the same image on the small machine, and a service that takes most of the big one.
    let long = job(2, "slow", "blue", "sweep", 1, (1.0, 0.0, 1.0), 600.0);
    let long = with(with(long, "pullGb", crate::json::f(3.8)), "flavors", only("small"));
    region.submit(&long, 1);
    let large = job(3, "slow", "blue", "standing", 1, (40.0, 0.0, 1.0), 0.0);
    let large = with(with(large, "pullGb", crate::json::f(0.05)), "bundle", s("img-01"));
    region.submit(&with(large, "flavors", only("big")), 2);
    if !wait_until(secs(40.0), || ["req-000001", "req-000002", "req-000003"].iter().all(|id| runs(&region, id))) {
        return Err("the work did not start".into());
    }
    std::thread::sleep(secs(0.5));
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
    while since.elapsed() < secs(if trouble { 90.5 } else { 30.0 }) {
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
