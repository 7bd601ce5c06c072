//! Runs the cases of the review: starts the project's controllers as processes, plays the state service, the cloud, the
//! machines and the users on loopback, and checks one rule.

mod cleared_room;
mod http;
mod json;
mod many_tasks;
mod region;
mod short_tasks;
mod state;

use json::Json;
use region::{MachineType, Region, Times};
use state::State;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a case: what was sent, answered and run, with the time since its start.
pub struct Log {
    file: Mutex<std::fs::File>,
    start: Instant,
}

impl Log {
    pub fn write(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The verdict of a case, as the exit status of its script.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// Three controllers as processes, with all that they speak to.
pub struct Deployment {
    pub log: Arc<Log>,
    pub region: Arc<Region>,
    pub state: State,
    /// Member name and address of each controller.
    pub nodes: Vec<(String, String)>,
    processes: Mutex<Vec<Option<Child>>>,
    configs: Vec<PathBuf>,
    program: PathBuf,
    folder: PathBuf,
}

/// What differs between the deployments of the cases.
pub struct Plan {
    pub types: Vec<MachineType>,
    pub zones: Vec<&'static str>,
    pub capacity: usize,
    pub times: Times,
    pub cancel_s: f64,
    /// Teams and objectives of the settings file.
    pub facts: String,
}

/// A free port below those that the system gives to outgoing connections, and unlikely to be chosen by another case that
/// runs at the same time.
fn free_port() -> u16 {
    static NEXT: Mutex<u64> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    if *next == 0 {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        *next = time.map_or(1, |t| t.as_nanos() as u64) ^ u64::from(std::process::id()) << 40;
    }
    loop {
        *next = next.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let port = 10_000 + ((*next >> 33) % 20_000) as u16;
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Deployment {
    pub fn start(program: &Path, log: Arc<Log>, plan: Plan) -> Self {
        let members = ["loomer-0", "loomer-1", "loomer-2"];
        let nodes: Vec<(String, String)> =
            members.iter().map(|m| (m.to_string(), format!("127.0.0.1:{}", free_port()))).collect();
        let mesh: Vec<String> =
            members.iter().map(|_| format!("127.0.0.1:{}", free_port())).collect();
        let state = State::new();
        let region = Region::new(
            plan.types,
            plan.zones.clone(),
            plan.capacity,
            plan.times,
            nodes.clone(),
            log.clone(),
            plan.cancel_s,
        );
        let cloud = region.cloud_address();
        let folder = std::env::temp_dir().join(format!("oatloom-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let zones: Vec<String> = plan.zones.iter().map(|zone| format!("{zone:?}")).collect();
        let mut configs = Vec::new();
        for n in 0..members.len() {
            let mut text = format!(
                "member = {:?}\nlocation = {:?}\nserve_on = {:?}\nmesh_addr = {:?}\n",
                members[n],
                plan.zones[n % plan.zones.len()],
                nodes[n].1,
                mesh[n]
            );
            for peer in (0..members.len()).filter(|peer| *peer != n) {
                text += &format!(
                    "[[peers]]\nmember = {:?}\nlocation = {:?}\npeer_addr = {:?}\n",
                    members[peer],
                    plan.zones[peer % plan.zones.len()],
                    mesh[peer]
                );
            }
            text += &format!(
                "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"\n[facts]\ninitial_size = 3\nzones = [{}]\nclock_off_ms = 25.0\n",
                state.address(),
                zones.join(", ")
            );
            text += &plan.facts;
            let times = plan.times;
            text += &format!(
                "[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
                times.report_s, times.lease_s, times.gang_wait_s, times.gang_peer_s, plan.cancel_s
            );
            text += "[facts.state]\nrps = 120.0\nwrite_rps = 25.0\nvalue_kb = 8.0\ntxn_ops = 16\n[facts.cloud]\nrps = 3.0\nlist_lag_s = 4.0\n[facts.limits]\ncpu_share = 0.064\nmemory_mb = 40.0\nsockets = 600\n";
            let path = folder.join(format!("{}.toml", members[n]));
            std::fs::write(&path, text).expect("a settings file");
            configs.push(path);
        }
        let processes = Mutex::new(members.iter().map(|_| None).collect());
        let program = program.to_owned();
        let deployment = Self { log, region, state, nodes, processes, configs, program, folder };
        for n in 0..members.len() {
            deployment.start_node(n);
        }
        deployment
    }

    /// Starts a controller with the command of the deploy file.
    pub fn start_node(&self, n: usize) {
        let output = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.nodes[n].0)))
            .expect("a log file");
        let level = std::env::var("CASE_LOG_LEVEL").unwrap_or_else(|_| "info".into());
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.configs[n])
            .env("LOG_LEVEL", level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("the controller's program");
        self.log.write(&format!("platform: starts {}", self.nodes[n].0));
        CHILDREN.lock().unwrap().push(child.id());
        self.processes.lock().unwrap()[n] = Some(child);
    }

    pub fn kill_node(&self, n: usize) {
        let taken = self.processes.lock().unwrap()[n].take();
        if let Some(mut child) = taken {
            self.log.write(&format!("platform: kills {}", self.nodes[n].0));
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory that a controller holds, in MB; 0 while it does not run.
    pub fn memory_mb(&self, n: usize) -> f64 {
        let id = self.processes.lock().unwrap()[n].as_ref().map(|child| child.id());
        let Some(id) = id else { return 0.0 };
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let kib = text.lines().find_map(|line| {
            line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.trim().parse::<f64>().ok()
        });
        kib.unwrap_or(0.0) / 1024.0
    }

    pub fn is_healthy(&self, n: usize) -> bool {
        let answer = http::call(&self.nodes[n].1, "GET", "/up", "", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until all controllers are healthy and one leads.
    pub fn wait_until_up(&self, limit_s: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        while Instant::now() < until {
            if (0..self.nodes.len()).all(|n| self.is_healthy(n)) && self.state.leader().is_some() {
                self.log.write(&format!("all controllers are up, {:?} leads", self.state.leader()));
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn leader(&self) -> Option<usize> {
        let leader = self.state.leader()?;
        self.nodes.iter().position(|(name, _)| *name == leader)
    }

    /// A request of a user, recorded with its answer.
    pub fn ask(&self, n: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let wait = if method == "GET" { 2 } else { 5 };
        let sent = self.log.seconds();
        let answer = http::call(&self.nodes[n].1, method, path, body, Duration::from_secs(wait));
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".into(),
        };
        self.log.write(&format!(
            "user: {method} {path} at {} (sent {sent:.3}): {text}",
            self.nodes[n].0
        ));
        answer.map(|(status, body)| (status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// Uploads and submits a job, again and again for up to 60 s as users do; whether it was accepted.
    pub fn submit(&self, spec: &str) -> bool {
        let parsed = Json::parse(spec).expect("a job");
        self.region.upload(&parsed);
        let until = Instant::now() + Duration::from_secs(60);
        let mut n = 0;
        while Instant::now() < until {
            match self.ask(n % self.nodes.len(), "POST", "/v2/runs", spec) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            n += 1;
        }
        false
    }
}

/// A submission of the kitchens' team.
pub fn job(id: &str, class: &str, shape: &str, shards: u32, cpus: f64, expect_s: f64) -> String {
    format!(
        "{{\"nameId\":\"{id}\",\"jobclass\":\"{class}\",\"owner\":\"kitchen-desk\",\"shape\":\"{shape}\",\"rank\":\"standard\",\"shards\":{shards},\"cpus\":{cpus:?},\"gpus\":0.0,\"memoryGb\":5.3,\"bundle\":\"img-1\",\"pullGb\":1.8,\"flavors\":null,\"yard\":null,\"samePlace\":false,\"spread\":false,\"loaners\":true,\"expectS\":{expect_s:?},\"snapshotS\":0.0,\"flushS\":0.0,\"dueS\":null}}"
    )
}

impl Deployment {
    /// Ends all controllers and removes what they were given.
    pub fn stop(&self) {
        for n in 0..self.nodes.len() {
            let taken = self.processes.lock().unwrap()[n].take();
            if let Some(mut child) = taken {
                CHILDREN.lock().unwrap().retain(|id| *id != child.id());
                let _ = Command::new("kill").arg("-CONT").arg(child.id().to_string()).status();
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("CASE_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else if self.folder.exists() {
            println!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The processes that this one has started and not ended yet.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends everything shortly before the time that a case may take.
fn watch(log: Arc<Log>) {
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(117));
        for child in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(child.to_string()).status();
        }
        log.write("the case took too long");
        std::process::exit(2);
    });
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(program), Some(record)) =
        (arguments.get(1), arguments.get(2), arguments.get(3))
    else {
        eprintln!("usage: cases CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(file) = std::fs::File::create(record) else {
        eprintln!("{record}: cannot be written");
        std::process::exit(2);
    };
    let log = Arc::new(Log { file: Mutex::new(file), start: Instant::now() });
    let program = PathBuf::from(program);
    watch(log.clone());
    let verdict = match case.as_str() {
        "many-tasks" => many_tasks::run(&program, log.clone(), trouble),
        "short-tasks" => short_tasks::run(&program, log.clone(), trouble),
        "cleared-room" => cleared_room::run(&program, log.clone(), trouble),
        _ => Verdict::CouldNotRun,
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    log.write(text);
    println!("{text}");
    std::process::exit(status);
}
