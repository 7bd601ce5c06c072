//! A small region: the project's state service and controllers as processes, and a cloud with machines and their
//! workers as PROTOCOL describes them. Jobs without checkpoints only.

use crate::base::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub ready_s: f64,
    pub yards: Vec<&'static str>,
}

/// What the region is like.
#[derive(Clone)]
pub struct Setup {
    pub zones: Vec<&'static str>,
    pub team: &'static str,
    pub flavors: Vec<Flavor>,
    /// Machines of a type that a zone has, ordinary and spot together.
    pub capacity: u32,
    /// Boot times, within 0.6 to 1.5 times `ready_s`, or a second or two.
    pub boot_s: f64,
    /// `[[facts.objectives]]`.
    pub objectives: String,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// An attempt of a task on a machine.
struct Attempt {
    status: &'static str,
    cause: &'static str,
    /// End of the phase, in seconds of the record.
    until: f64,
}

/// A machine with its worker.
struct Machine {
    id: String,
    flavor: Flavor,
    yard: String,
    spot: bool,
    hired_at: f64,
    up: AtomicBool,
    gone: AtomicBool,
    /// Whether every task that it starts fails.
    sick: AtomicBool,
    state: Mutex<Worker>,
}

#[derive(Default)]
struct Worker {
    addr: String,
    shift: u64,
    tally: u64,
    baton: u64,
    lease_from: f64,
    changed: bool,
    images: BTreeSet<String>,
    tasks: BTreeMap<(String, u64), Attempt>,
}

/// The cloud and all that is on it.
pub struct Cloud {
    setup: Setup,
    record: Arc<Record>,
    controllers: Vec<(String, String)>,
    machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    hires: Mutex<BTreeMap<String, Vec<String>>>,
    /// Descriptions that users have uploaded.
    pub jobs: Mutex<BTreeMap<String, Json>>,
    /// Starts of tasks: second, task, machine.
    pub starts: Mutex<Vec<(f64, String, String)>>,
    /// Tasks that have completed.
    pub done: Mutex<BTreeSet<String>>,
    /// Tasks of each attempt of a gang that have their image.
    gangs: Mutex<BTreeMap<(String, u64), BTreeSet<String>>>,
    /// Attempts of gangs that have completed: the tasks complete together.
    gangs_done: Mutex<BTreeSet<(String, u64)>>,
}

impl Cloud {
    fn serve(self: &Arc<Self>) -> String {
        let cloud = self.clone();
        serve(move |method, path, body| cloud.answer(method, path, body))
    }

    fn answer(self: &Arc<Self>, method: &str, path: &str, body: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        match (method, path) {
            ("GET", "/catalog") => {
                let rows: Vec<String> = self
                    .setup
                    .flavors
                    .iter()
                    .map(|f| {
                        format!(
                            "{{\"label\":\"{}\",\"cpus\":{:?},\"gpus\":0.0,\"memoryGb\":{:?},\"localGb\":50.0,\
                             \"fetchGbPerS\":0.8,\"rate\":{:?},\"spotPrice\":{:?},\"readyS\":{:?},\"yards\":{:?}}}",
                            f.label, f.cpus, f.memory_gb, f.price, f.spot_price, f.ready_s, f.yards
                        )
                    })
                    .collect();
                (200, format!("{{\"flavors\":[{}]}}", rows.join(",")))
            }
            ("GET", "/machines") => {
                let after = query.split('&').find_map(|p| p.strip_prefix("after=")).unwrap_or("");
                let now = self.record.now();
                let machines = self.machines.lock().unwrap();
                // The list lags by some four seconds.
                let listed = machines.values().filter(|m| {
                    m.id.as_str() > after
                        && now - m.hired_at > 4.0
                        && !m.gone.load(Ordering::Relaxed)
                });
                let rows: Vec<String> = listed
                    .map(|m| {
                        let status =
                            if m.up.load(Ordering::Relaxed) { "running" } else { "starting" };
                        format!(
                            "{{\"nameId\":\"{}\",\"addr\":\"{}\",\"flavor\":\"{}\",\"yard\":\"{}\",\
                             \"loaners\":{},\"status\":\"{status}\",\"ageS\":{:.1}}}",
                            m.id,
                            m.state.lock().unwrap().addr,
                            m.flavor.label,
                            m.yard,
                            m.spot,
                            now - m.hired_at
                        )
                    })
                    .collect();
                (200, format!("{{\"hosts\":[{}],\"more\":false}}", rows.join(",")))
            }
            ("POST", "/machines") => {
                let Some(hire) = Json::parse(body) else { return (400, "{}".into()) };
                self.hire(&hire)
            }
            ("POST", "/machines/release") => {
                let Some(request) = Json::parse(body) else { return (400, "{}".into()) };
                for host in request.get("hosts").list() {
                    let machines = self.machines.lock().unwrap();
                    if let Some(machine) = machines.get(host.text()) {
                        machine.gone.store(true, Ordering::Relaxed);
                        let mut worker = machine.state.lock().unwrap();
                        worker.tasks.clear();
                        self.record.line(&format!("cloud: {} returned", machine.id));
                    }
                }
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn hire(self: &Arc<Self>, hire: &Json) -> (u16, String) {
        let name = hire.get("hire").text().to_owned();
        let mut hires = self.hires.lock().unwrap();
        if let Some(hosts) = hires.get(&name) {
            return (200, format!("{{\"hosts\":{hosts:?}}}"));
        }
        let (label, yard) = (hire.get("flavor").text(), hire.get("yard").text());
        let Some(flavor) = self.setup.flavors.iter().find(|f| f.label == label) else {
            return (400, "{}".into());
        };
        let mut machines = self.machines.lock().unwrap();
        let there = machines.values().filter(|m| {
            m.flavor.label == label && m.yard == yard && !m.gone.load(Ordering::Relaxed)
        });
        let room = u64::from(self.setup.capacity).saturating_sub(there.count() as u64);
        let number = hire.get("number").integer().min(50).min(room);
        if number == 0 || !flavor.yards.contains(&yard) {
            self.record.line(&format!("cloud: {name} refused, no {label} in {yard}"));
            return (503, "{\"error\":\"no capacity\"}".into());
        }
        let mut hosts = Vec::new();
        for _ in 0..number {
            let id = format!("i-{:06}", machines.len() + 1);
            let machine = Arc::new(Machine {
                id: id.clone(),
                flavor: flavor.clone(),
                yard: yard.to_owned(),
                spot: *hire.get("loaners") == Json::Bool(true),
                hired_at: self.record.now(),
                up: AtomicBool::new(false),
                gone: AtomicBool::new(false),
                sick: AtomicBool::new(false),
                state: Mutex::new(Worker { shift: 1, ..Worker::default() }),
            });
            machines.insert(id.clone(), machine.clone());
            hosts.push(id);
            self.clone().boot(machine);
        }
        self.record.line(&format!("cloud: {name} rents {hosts:?}, {label} in {yard}"));
        let text = format!("{{\"hosts\":{hosts:?}}}");
        hires.insert(name, hosts);
        (200, text)
    }

    /// Boots a machine and runs its worker: one thread advances its tasks, one reports.
    fn boot(self: Arc<Self>, machine: Arc<Machine>) {
        std::thread::spawn(move || {
            let (cloud, served) = (self.clone(), machine.clone());
            let addr = serve(move |method, path, body| cloud.direct(&served, method, path, body));
            machine.state.lock().unwrap().addr = addr;
            std::thread::sleep(Duration::from_secs_f64(self.setup.boot_s));
            machine.state.lock().unwrap().lease_from = self.record.now();
            machine.up.store(true, Ordering::Relaxed);
            let (cloud, stepped) = (self.clone(), machine.clone());
            std::thread::spawn(move || {
                while !stepped.gone.load(Ordering::Relaxed) {
                    cloud.step(&stepped);
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
            self.report(&machine);
        });
    }

    /// Marks all machines as sick, or as healthy again.
    pub fn set_sick(&self, sick: bool) {
        for machine in self.machines.lock().unwrap().values() {
            machine.sick.store(sick, Ordering::Relaxed);
        }
    }

    /// Machines that are up, with the number of tasks that have not ended on each.
    pub fn machines_up(&self) -> Vec<(String, usize)> {
        let machines = self.machines.lock().unwrap();
        let up = machines
            .values()
            .filter(|m| m.up.load(Ordering::Relaxed) && !m.gone.load(Ordering::Relaxed));
        up.map(|m| {
            let worker = m.state.lock().unwrap();
            (m.id.clone(), worker.tasks.values().filter(|t| t.status != "ended").count())
        })
        .collect()
    }

    fn description(&self, task: &str) -> Option<Json> {
        let job = task.rsplit_once('/')?.0;
        self.jobs.lock().unwrap().get(job).cloned()
    }

    /// Advances the tasks of a machine.
    fn step(&self, machine: &Machine) {
        let now = self.record.now();
        let mut worker = machine.state.lock().unwrap();
        if now - worker.lease_from > self.setup.lease_s {
            self.record.line(&format!("{}: its lease has expired", machine.id));
            worker.tasks.clear();
            worker.shift += 1;
            worker.tally = 0;
            worker.lease_from = now;
            worker.changed = true;
        }
        let sick = machine.sick.load(Ordering::Relaxed);
        let Worker { tasks, images, changed, .. } = &mut *worker;
        for ((task, attempt), at) in tasks.iter_mut() {
            let Some(job) = self.description(task) else { continue };
            if at.status == "pulling" && now >= at.until {
                images.insert(job.get("bundle").text().to_owned());
                self.starts.lock().unwrap().push((now, task.clone(), machine.id.clone()));
                self.record.line(&format!("{}: {task} try {attempt} runs", machine.id));
                at.status = "gathering";
                *changed = true;
            }
            if at.status == "gathering" && self.gang_is_complete(task, *attempt, &job) {
                at.status = "running";
                let runs_on = job.get("shape").text() == "standing";
                let run_s = if runs_on { 1e9 } else { job.get("expectS").number() };
                at.until = now + run_s;
                *changed = true;
            }
            let gang = (job.get("nameId").text().to_owned(), *attempt);
            let is_gang = job.get("shape").text() == "group";
            let together = is_gang && self.gangs_done.lock().unwrap().contains(&gang);
            if at.status == "running" && (sick || now >= at.until || together) {
                if is_gang && !sick {
                    self.gangs_done.lock().unwrap().insert(gang);
                }
                at.status = "ended";
                at.cause = if sick { "error" } else { "done" };
                if !sick {
                    self.done.lock().unwrap().insert(task.clone());
                }
                self.record
                    .line(&format!("{}: {task} try {attempt} ended, {}", machine.id, at.cause));
                *changed = true;
            }
        }
    }

    /// Whether a task that has its image may run: a gang's once all its tasks have theirs. Gangs here are never stopped.
    fn gang_is_complete(&self, task: &str, attempt: u64, job: &Json) -> bool {
        if job.get("shape").text() != "group" {
            return true;
        }
        let mut gangs = self.gangs.lock().unwrap();
        let gang = gangs.entry((job.get("nameId").text().to_owned(), attempt)).or_default();
        gang.insert(task.to_owned());
        gang.len() as u64 == job.get("shards").integer()
    }

    fn report_text(&self, machine: &Machine) -> String {
        let mut worker = machine.state.lock().unwrap();
        worker.tally += 1;
        worker.changed = false;
        let rows: Vec<String> = worker
            .tasks
            .iter()
            .map(|((task, attempt), at)| {
                let cause = if at.status == "ended" {
                    format!(",\"cause\":\"{}\"", at.cause)
                } else {
                    String::new()
                };
                let status = at.status;
                format!("{{\"shard\":\"{task}\",\"try\":{attempt},\"status\":\"{status}\"{cause}}}")
            })
            .collect();
        format!(
            "{{\"host\":\"{}\",\"addr\":\"{}\",\"flavor\":\"{}\",\"yard\":\"{}\",\"loaners\":{},\"shift\":{},\
             \"tally\":{},\"baton\":{},\"warningS\":null,\"shards\":[{}]}}",
            machine.id,
            worker.addr,
            machine.flavor.label,
            machine.yard,
            machine.spot,
            worker.shift,
            worker.tally,
            worker.baton,
            rows.join(",")
        )
    }

    /// Sends reports until the machine is gone.
    fn report(&self, machine: &Machine) {
        let mut node = machine.id.len() + machine.id.bytes().map(usize::from).sum::<usize>();
        let mut last = -100.0;
        while !machine.gone.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
            let now = self.record.now();
            let changed = machine.state.lock().unwrap().changed;
            if now - last < self.setup.report_s && !(changed && now - last >= 0.5) {
                continue;
            }
            last = now;
            let (_, address) = &self.controllers[node % self.controllers.len()];
            let (sent, text) = (now, self.report_text(machine));
            let shift = machine.state.lock().unwrap().shift;
            match call(address, "POST", "/v1/report", &text, 4.0) {
                Some((200, body)) => {
                    let Some(answer) = Json::parse(&body) else { continue };
                    let mut worker = machine.state.lock().unwrap();
                    let baton = answer.get("baton").integer();
                    if baton < worker.baton || shift != worker.shift || baton == 0 {
                        continue;
                    }
                    worker.changed |= baton > worker.baton;
                    worker.baton = baton;
                    worker.lease_from = sent;
                    drop(worker);
                    self.execute(machine, answer.get("orders").list());
                }
                Some((421, body)) => {
                    let foreman = Json::parse(&body).map(|b| b.get("foreman").text().to_owned());
                    let named =
                        self.controllers.iter().position(|(m, _)| Some(m) == foreman.as_ref());
                    match named.filter(|named| *named != node % self.controllers.len()) {
                        Some(named) => (node, last) = (named, -100.0),
                        None => {
                            node += 1;
                            last = now - self.setup.report_s + 1.0;
                        }
                    }
                }
                _ => {
                    node += 1;
                    last = self.record.now() - self.setup.report_s + 1.0;
                }
            }
        }
    }

    fn execute(&self, machine: &Machine, orders: &[Json]) {
        let now = self.record.now();
        for order in orders {
            let (verb, task) = (order.get("verb").text(), order.get("shard").text().to_owned());
            let key = (task.clone(), order.get("try").integer());
            self.record.line(&format!("{}: ordered to {verb} {task} try {}", machine.id, key.1));
            let job = self.description(&task);
            let mut worker = machine.state.lock().unwrap();
            match verb {
                "run" if !worker.tasks.contains_key(&key) => {
                    let active = |at: &Attempt| at.status != "ended";
                    let mut left = (machine.flavor.cpus, machine.flavor.memory_gb);
                    for ((other, _), _) in worker.tasks.iter().filter(|(_, at)| active(at)) {
                        let other = self.description(other).unwrap_or(Json::Null);
                        left.0 -= other.get("cpus").number();
                        left.1 -= other.get("memoryGb").number();
                    }
                    let busy = worker.tasks.iter().any(|((t, _), at)| *t == task && active(at));
                    let (status, cause, until) = match &job {
                        None => ("ended", "no_such", 0.0),
                        Some(_) if busy => ("ended", "busy", 0.0),
                        Some(job)
                            if job.get("cpus").number() > left.0 + 1e-6
                                || job.get("memoryGb").number() > left.1 + 1e-6 =>
                        {
                            ("ended", "no_room", 0.0)
                        }
                        Some(job) => {
                            let cached = worker.images.contains(job.get("bundle").text());
                            let pull_s = job.get("pullGb").number() / 0.8;
                            ("pulling", "", now + if cached { 0.0 } else { pull_s })
                        }
                    };
                    worker.tasks.insert(key, Attempt { status, cause, until });
                    worker.changed = true;
                }
                "stop" => {
                    if let Some(at) = worker.tasks.get_mut(&key).filter(|at| at.status != "ended") {
                        (at.status, at.cause) = ("ended", "halted");
                        worker.changed = true;
                    }
                }
                "forget" => {
                    worker.tasks.retain(|k, at| *k != key || at.status != "ended");
                }
                _ => {}
            }
        }
    }

    /// Answers a direct command.
    fn direct(&self, machine: &Machine, method: &str, path: &str, body: &str) -> (u16, String) {
        if (method, path) == ("GET", "/show") {
            return (200, self.report_text(machine));
        }
        let Some(command) = Json::parse(body).filter(|_| path == "/do") else {
            return (400, "{}".into());
        };
        let mut worker = machine.state.lock().unwrap();
        let baton = command.get("baton").integer();
        let accepted = baton >= worker.baton && command.get("shift").integer() == worker.shift;
        if accepted {
            worker.baton = baton;
        }
        drop(worker);
        if accepted {
            self.execute(machine, command.get("orders").list());
        }
        (if accepted { 200 } else { 409 }, self.report_text(machine))
    }
}

/// A running region. Dropping it ends all its processes.
pub struct Region {
    pub record: Arc<Record>,
    pub cloud: Arc<Cloud>,
    /// Names and addresses of the controllers.
    pub controllers: Vec<(String, String)>,
    pub processes: Vec<Process>,
    _state: Process,
    directory: PathBuf,
}

impl Drop for Region {
    fn drop(&mut self) {
        self.processes.iter_mut().for_each(Process::kill);
        self._state.kill();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The program and arguments of `run` in the deploy file.
fn run_command(repository: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(repository.join("deploy/service.toml"));
    let text = text.expect("deploy/service.toml");
    let run =
        text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run in the deploy file");
    let words = run.trim_end().trim_end_matches('"').split(' ').map(str::to_owned);
    let mut words: Vec<String> = words.collect();
    words[0] = repository.join(&words[0]).to_string_lossy().into_owned();
    words
}

impl Region {
    /// Starts the state service, the cloud and three controllers.
    pub fn start(setup: Setup, repository: &Path, record: Arc<Record>) -> Option<Self> {
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).ok()?;
        let state = free_address();
        let state_file = directory.join("state.lisp");
        std::fs::write(&state_file, "((rps . 120.0) (write-rps . 25.0))\n").ok()?;
        let program = repository.join("target/release/oatloom-state");
        let words = [
            program.to_str()?,
            "--listen",
            &state,
            "--data",
            directory.join("state").to_str()?,
            "--file",
            state_file.to_str()?,
        ]
        .map(str::to_owned);
        let state_process = Process::start(&words, &directory.join("state.log"));
        for _ in 0..100 {
            if call(&state, "GET", "/status", "", 1.0).is_some() {
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let names = ["loomer-0", "loomer-1", "loomer-2"];
        let serve: Vec<String> = names.iter().map(|_| free_address()).collect();
        let mesh: Vec<String> = names.iter().map(|_| free_address()).collect();
        let controllers: Vec<(String, String)> =
            names.iter().map(|n| n.to_string()).zip(serve.iter().cloned()).collect();
        let cloud = Arc::new(Cloud {
            setup: setup.clone(),
            record: record.clone(),
            controllers: controllers.clone(),
            machines: Mutex::default(),
            hires: Mutex::default(),
            jobs: Mutex::default(),
            starts: Mutex::default(),
            done: Mutex::default(),
            gangs: Mutex::default(),
            gangs_done: Mutex::default(),
        });
        let cloud_address = cloud.serve();
        let mut processes = Vec::new();
        for (index, name) in names.iter().enumerate() {
            let zone = |i: usize| setup.zones[i % setup.zones.len()];
            let mut text = format!(
                "member = \"{name}\"\nlocation = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n",
                zone(index),
                serve[index],
                mesh[index]
            );
            for peer in (0..names.len()).filter(|peer| *peer != index) {
                text += &format!(
                    "\n[[peers]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n",
                    names[peer],
                    zone(peer),
                    mesh[peer]
                );
            }
            text += &format!(
                "\n[endpoints]\ncloud = \"{cloud_address}\"\nstate = \"{state}\"\n\n[facts]\ninitial_size = 3\n\
                 zones = {:?}\nclock_off_ms = 25.0\n\n[[facts.teams]]\nname = \"{}\"\ncpus = 0.0\ncpus_max = 0.0\n\
                 gpus = 0.0\ngpus_max = 0.0\n{}\n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\n\
                 gang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = {:?}\n\n[facts.state]\nrps = 120.0\n\
                 write_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 16\n\n[facts.cloud]\nrps = 3.0\nlist_lag_s = 4.0\n\n\
                 [facts.limits]\ncpu_share = 0.064\nmemory_mb = 40.0\nsockets = 600\n",
                setup.zones,
                setup.team,
                setup.objectives,
                setup.report_s,
                setup.lease_s,
                setup.cancel_s
            );
            let file = directory.join(format!("{name}.toml"));
            std::fs::write(&file, text).ok()?;
            let mut words = run_command(repository);
            words.push(file.to_str()?.to_owned());
            processes.push(Process::start(&words, &directory.join(format!("{name}.log"))));
        }
        let region =
            Self { record, cloud, controllers, processes, _state: state_process, directory };
        // All controllers are healthy before anything is asked of them.
        for _ in 0..100 {
            let is_up = |(_, address): &(String, String)| {
                call(address, "GET", "/up", "", 1.0).is_some_and(|(status, _)| status == 200)
            };
            if region.controllers.iter().all(is_up) {
                region.record.line("region: all controllers are up");
                return Some(region);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Uploads a job's description and submits it to a controller, again until it is answered for good.
    pub fn submit(&self, node: usize, job: &str) -> u16 {
        let parsed = Json::parse(job).expect("a job");
        let id = parsed.get("nameId").text().to_owned();
        self.cloud.jobs.lock().unwrap().insert(id.clone(), parsed);
        for attempt in 0..20 {
            let (name, address) = &self.controllers[(node + attempt) % self.controllers.len()];
            let answer = call(address, "POST", "/v2/runs", job, 5.0);
            self.record.line(&format!("user: submits {job} to {name}: {answer:?}"));
            match answer {
                Some((status @ (200 | 201 | 400 | 422), _)) => return status,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        0
    }

    /// Asks a controller about a job, as users do: 2 s for an answer.
    pub fn ask(&self, node: usize, id: &str) -> Answer {
        let (name, address) = &self.controllers[node % self.controllers.len()];
        let answer = call(address, "GET", &format!("/v2/runs/{id}"), "", 2.0);
        self.record.line(&format!("user: asks {name} about {id}: {answer:?}"));
        answer
    }
}

/// A job's description.
#[allow(clippy::too_many_arguments)]
pub fn job(
    id: u32,
    class: &str,
    team: &str,
    shape: &str,
    tasks: u32,
    more: &[(&str, &str)],
) -> String {
    let id = format!("\"req-{id:06}\"");
    let (class, team) = (format!("{class:?}"), format!("{team:?}"));
    let (shape, tasks) = (format!("{shape:?}"), tasks.to_string());
    let mut fields: Vec<(&str, &str)> = vec![
        ("nameId", &id),
        ("jobclass", &class),
        ("owner", &team),
        ("shape", &shape),
        ("rank", "\"standard\""),
        ("shards", &tasks),
        ("cpus", "2.0"),
        ("gpus", "0.0"),
        ("memoryGb", "5.3"),
        ("bundle", "\"img-01\""),
        ("pullGb", "0.8"),
        ("flavors", "null"),
        ("yard", "null"),
        ("samePlace", "false"),
        ("spread", "false"),
        ("loaners", "false"),
        ("expectS", "5.0"),
        ("snapshotS", "0.0"),
        ("flushS", "0.0"),
        ("dueS", "null"),
    ];
    for (name, value) in more {
        fields.iter_mut().filter(|(known, _)| known == name).for_each(|field| field.1 = value);
    }
    let fields: Vec<String> = fields.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
    format!("{{{}}}", fields.join(","))
}
