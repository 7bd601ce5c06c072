//! A small deployment: controllers as processes of their own, started with the command of the deploy file, beside the
//! stand-ins; users; and the record of what was sent, answered and run.

use crate::cloud::{Cloud, Flavor, Times};
use crate::http::call;
use crate::json::{Json, f, map, n, s};
use crate::state::State;
use std::fs::{File, create_dir_all, read_to_string, remove_dir_all, write};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the settings of a deployment say.
pub struct Site {
    pub zones: Vec<&'static str>,
    pub flavors: Vec<Flavor>,
    pub times: Times,
    pub cancel_s: f64,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub state: (f64, f64, f64, usize),
    pub cloud: (f64, f64),
    pub memory_mb: f64,
    pub sockets: usize,
    pub objectives: &'static str,
    pub fetch_gb_per_s: f64,
    pub fetch_factor: f64,
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    starts: usize,
}

pub struct Region {
    pub state: Arc<State>,
    pub cloud: Arc<Cloud>,
    pub nodes: Vec<Node>,
    directory: PathBuf,
    program: Vec<String>,
    record: Arc<dyn Fn(String) + Send + Sync>,
    pub links: Vec<(usize, usize, Arc<Mutex<Link>>)>,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// A link between two controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Pass,
    /// Connections are closed at once.
    Refuse,
    /// What is sent is held until the link passes again.
    Hold,
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: Arc<Mutex<Link>>) {
    let mut buffer = [0u8; 16384];
    while let Ok(count) = from.read(&mut buffer) {
        loop {
            let now = *link.lock().unwrap();
            match now {
                Link::Hold => std::thread::sleep(Duration::from_millis(20)),
                Link::Refuse => {
                    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                    return;
                }
                Link::Pass => break,
            }
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Relays connections to an address; returns its own address.
fn relay(target: SocketAddr, link: Arc<Mutex<Link>>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            std::thread::spawn(move || {
                while *link.lock().unwrap() == Link::Hold {
                    std::thread::sleep(Duration::from_millis(20));
                }
                if *link.lock().unwrap() == Link::Refuse {
                    return;
                }
                let Ok(out) = TcpStream::connect(target) else { return };
                let _ = (stream.set_nodelay(true), out.set_nodelay(true));
                let (Ok(stream2), Ok(out2)) = (stream.try_clone(), out.try_clone()) else { return };
                let link2 = link.clone();
                let back = std::thread::spawn(move || pump(out2, stream2, link2));
                pump(stream, out, link);
                let _ = back.join();
            });
        }
    });
    Ok(address)
}

fn free_port() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Region {
    pub fn start(case: &Path, site: &Site) -> std::io::Result<Self> {
        let began = Instant::now();
        let file = Mutex::new(File::create(case.join("record.txt"))?);
        let record: Arc<dyn Fn(String) + Send + Sync> = Arc::new(move |line| {
            if let Ok(mut file) = file.lock() {
                let _ = writeln!(file, "{:8.3} {line}", began.elapsed().as_secs_f64());
            }
        });
        let directory = std::env::temp_dir().join(format!("oatloom-review-{}", std::process::id()));
        create_dir_all(&directory)?;
        let deploy = read_to_string("deploy/service.toml")?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).unwrap_or_default();
        let program: Vec<String> = run.trim().trim_matches('"').split(' ').map(str::to_owned).collect();
        let state = State::new(site.zones.len(), site.state.2, site.state.3);
        let cloud = Cloud::new(site.flavors.clone(), site.times, site.fetch_gb_per_s, site.fetch_factor, record.clone());
        let cloud_address = cloud.address()?;
        let mut nodes = Vec::new();
        let mut meshes = Vec::new();
        for i in 0..site.zones.len() {
            let (address, mesh) = (free_port()?, free_port()?);
            meshes.push(mesh);
            let settings = directory.join(format!("loomer-{i}.toml"));
            nodes.push(Node { name: format!("loomer-{i}"), address, settings, child: None, starts: 0 });
        }
        let mut links = Vec::new();
        for (i, node) in nodes.iter().enumerate() {
            let mut text = format!(
                "member = \"{}\"\nlocation = \"{}\"\nserve_on = \"{}\"\nmesh_addr = \"{}\"\n",
                node.name, site.zones[i], node.address, meshes[i]
            );
            for (j, peer) in nodes.iter().enumerate().filter(|(j, _)| *j != i) {
                text += &format!(
                    "\n[[peers]]\nmember = \"{}\"\nlocation = \"{}\"\npeer_addr = \"{}\"\n",
                    peer.name,
                    site.zones[j],
                    {
                        let link = Arc::new(Mutex::new(Link::Pass));
                        links.push((i, j, link.clone()));
                        relay(meshes[j], link)?
                    }
                );
            }
            text += &format!(
                "\n[endpoints]\ncloud = \"{cloud_address}\"\nstate = \"{}\"\n\n[facts]\ninitial_size = {}\nzones = {:?}\nclock_off_ms = 25.0\n",
                state.address_for(i)?,
                nodes.len(),
                site.zones
            );
            for (name, cpus_max, gpus_max) in &site.teams {
                text += &format!(
                    "\n[[facts.teams]]\nname = \"{name}\"\ncpus = 0.0\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = {gpus_max:?}\n"
                );
            }
            text += site.objectives;
            let t = &site.times;
            text += &format!(
                "\n[facts.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
                t.report, t.lease, t.gang_wait, t.gang_peer, site.cancel_s
            );
            text += &format!(
                "\n[facts.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n[facts.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[facts.limits]\ncpu_share = 0.3\nmemory_mb = {:?}\nsockets = {}\n",
                site.state.0, site.state.1, site.state.2, site.state.3, site.cloud.0, site.cloud.1, site.memory_mb, site.sockets
            );
            write(&node.settings, text)?;
        }
        cloud.set_controllers(nodes.iter().map(|node| (node.name.clone(), node.address)).collect());
        let mut region = Self { state, cloud, nodes, directory, program, record, links };
        for i in 0..region.nodes.len() {
            region.launch(i)?;
        }
        Ok(region)
    }

    pub fn note(&self, line: impl Into<String>) {
        (self.record)(line.into());
    }

    pub fn launch(&mut self, i: usize) -> std::io::Result<()> {
        let node = &mut self.nodes[i];
        if node.child.is_some() {
            return Ok(());
        }
        node.starts += 1;
        let log = File::create(self.directory.join(format!("{}-{}.log", node.name, node.starts)))?;
        let mut command = Command::new(&self.program[0]);
        // A controller ends with the process that started it, however that ends (PR_SET_PDEATHSIG, SIGKILL).
        unsafe { command.pre_exec(|| if prctl(1, 9, 0, 0, 0) == 0 { Ok(()) } else { Err(std::io::Error::last_os_error()) }) };
        let child = command
            .args(&self.program[1..])
            .arg(&node.settings)
            .env("LOG_LEVEL", std::env::var("CASE_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let line = format!("{}: started", node.name);
        node.child = Some(child);
        self.note(line);
        Ok(())
    }

    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let line = format!("{}: killed", node.name);
        self.note(line);
    }

    /// Sets the links from and to a controller, in both directions.
    pub fn set_links(&self, node: usize, link: Link) {
        for (_, _, found) in self.links.iter().filter(|(i, j, _)| *i == node || *j == node) {
            *found.lock().unwrap() = link;
        }
        self.note(format!("{}: links to the other controllers: {link:?}", self.nodes[node].name));
    }

    /// Controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let gone = |node: &mut Node| node.child.as_mut().is_some_and(|c| c.try_wait().is_ok_and(|w| w.is_some()));
        self.nodes.iter_mut().filter_map(|node| gone(node).then(|| node.name.clone())).collect()
    }

    /// Waits until all controllers are healthy.
    pub fn wait_up(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let up = |node: &Node| {
                call(node.address, "GET", "/up", "", Duration::from_secs(1)).is_some_and(|(status, _)| status == 200)
            };
            if self.nodes.iter().all(up) && self.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    pub fn leader(&self) -> Option<usize> {
        let name = self.state.key("lead")?.get("member").str().to_owned();
        self.nodes.iter().position(|node| node.name == name)
    }

    /// Submits a job as its user would: until it is answered with 200 or 201, for up to 60 s. The description is uploaded
    /// first.
    pub fn submit(&self, spec: &Json, node: usize) -> Option<u16> {
        let id = spec.get("nameId").str().to_owned();
        self.cloud.inner.lock().unwrap().specs.insert(id.clone(), spec.clone());
        let until = Instant::now() + Duration::from_secs(60);
        let mut node = node;
        while Instant::now() < until {
            self.note(format!("user: sends to {}: {}", self.nodes[node].name, spec.text()));
            let answer = call(self.nodes[node].address, "POST", "/v2/runs", &spec.text(), Duration::from_secs(5));
            self.note(format!("user: {id} submitted at {}: {answer:?}", self.nodes[node].name));
            match answer {
                Some((status, _)) if matches!(status, 200 | 201 | 400 | 422) => return Some(status),
                _ => node = (node + 1) % self.nodes.len(),
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// One poll; the status that was answered.
    pub fn poll(&self, id: &str, node: usize) -> Option<(u16, String)> {
        let answer =
            call(self.nodes[node].address, "GET", &format!("/v2/runs/{id}"), "", Duration::from_secs(2));
        self.note(format!("user: {id} asked at {}: {answer:?}", self.nodes[node].name));
        let (status, body) = answer?;
        Some((status, Json::parse(&body)?.get("status").str().to_owned()))
    }

    /// Polls until the job is `wanted`; returns after how many seconds.
    pub fn wait_for(&self, id: &str, wanted: &str, period: Duration, limit: Duration) -> Option<f64> {
        let began = Instant::now();
        let mut node = 0;
        while began.elapsed() < limit {
            if self.poll(id, node % self.nodes.len()).is_some_and(|(_, status)| status == wanted) {
                return Some(began.elapsed().as_secs_f64());
            }
            node += 1;
            std::thread::sleep(period.min((began + limit).saturating_duration_since(Instant::now())));
        }
        None
    }

    pub fn abort(&self, id: &str, node: usize) -> Option<(u16, String)> {
        let answer =
            call(self.nodes[node].address, "POST", &format!("/v2/runs/{id}/abort"), "{}", Duration::from_secs(5));
        self.note(format!("user: {id} cancelled at {}: {answer:?}", self.nodes[node].name));
        answer
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            if let Some(mut child) = self.nodes[i].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(keep) = std::env::var("CASE_KEEP") {
            let _ = Command::new("cp").arg("-r").arg(&self.directory).arg(keep).status();
        }
        let _ = remove_dir_all(&self.directory);
    }
}

/// A job; the fields that matter are set by the caller.
pub fn job(id: u64, class: &str, team: &str, shape: &str, tasks: u64, size: (f64, f64, f64), run_s: f64) -> Json {
    map(vec![
        ("nameId", s(&format!("req-{id:06}"))),
        ("jobclass", s(class)),
        ("owner", s(team)),
        ("shape", s(shape)),
        ("rank", s("standard")),
        ("shards", n(tasks)),
        ("cpus", f(size.0)),
        ("gpus", f(size.1)),
        ("memoryGb", f(size.2)),
        ("bundle", s("img-00")),
        ("pullGb", f(1.0)),
        ("flavors", Json::Null),
        ("yard", Json::Null),
        ("samePlace", Json::Bool(false)),
        ("spread", Json::Bool(false)),
        ("loaners", Json::Bool(false)),
        ("expectS", f(run_s)),
        ("snapshotS", f(0.0)),
        ("flushS", f(0.0)),
        ("dueS", Json::Null),
    ])
}

pub fn with(mut spec: Json, field: &str, value: Json) -> Json {
    if let Json::Map(fields) = &mut spec {
        if let Some(found) = fields.iter_mut().find(|(name, _)| name == field) {
            found.1 = value;
        }
    }
    spec
}
