//! The region on sockets: the cloud's interface, an address for each worker, and the reports that workers send.
//! Threads and sockets only; [`crate::region`] knows what happens.

use crate::constants::*;
use crate::faults::{Fault, Planned};
use crate::gate::Shared;
use crate::region::{Hired, Region, Sending};
use crate::worker::Broken;
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use oatloom_protocol::ids::{Mono, Zone};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Command, HireRequest, Hosts, JobSpec, Order, Report, ReportAnswer};
use oatloom_state::rate_limiter::RateLimiter;
use oatloom_web::client::HttpClient;
use oatloom_web::server::{self, ConnectionId as Conn, Incoming, ReplySender};
use oatloom_web::{StartError, spawn};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A controller as workers know it.
#[derive(Clone, Debug)]
pub struct Node {
    pub address: String,
    pub zone: Zone,
}

/// What the cloud is asked.
enum CloudRequest {
    Catalog,
    List { after: String, most: usize },
    Hire(HireRequest),
    Release(Hosts),
}

/// What a worker is asked directly.
enum WorkerRequest {
    Do(Command),
    Show,
}

/// A report on its way, or on its way back with what a node said.
struct Passage {
    host: String,
    id: u64,
    sent: u64,
    node: usize,
}

/// Status and body of a node's answer; `None`: there was none.
type Said = Option<(u16, Vec<u8>)>;

/// What a worker brings back from a report: what it was told, and the jobs of graphs that it has asked about.
struct Returned {
    passage: Passage,
    said: Said,
    jobs: Vec<JobSpec>,
}

/// A worker's address and the thread that sends its reports; both end when this is dropped.
struct Edge {
    answers: Arc<ReplySender>,
    reports: Sender<(Passage, Report)>,
}

/// The emulated region while it is served.
pub struct Emulator {
    region: Mutex<Region>,
    edges: Mutex<HashMap<String, Edge>>,
    asked: Sender<(String, Incoming<WorkerRequest>)>,
    returns: Sender<Returned>,
    nodes: Vec<Node>,
    pub shared: Shared,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked has left nothing half done that the others could not go on with.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Emulator {
    /// Serves a region whose controllers are at these addresses. Returns where the cloud listens.
    ///
    /// # Errors
    /// No address or thread can be had.
    pub fn start(
        region: Region,
        nodes: Vec<Node>,
        cloud_rps: f64,
        shared: Shared,
    ) -> Result<(Arc<Self>, SocketAddr), StartError> {
        let (asked, commands) = unbounded();
        let (returns, returned) = unbounded();
        let (region, edges) = (Mutex::new(region), Mutex::new(HashMap::new()));
        let emulator = Arc::new(Self { region, edges, asked, returns, nodes, shared });
        let (sender, requests) = bounded(GATE_QUEUE);
        let deliver = move |incoming: Incoming<CloudRequest>| sender.try_send(incoming).is_ok();
        let answers = server::start("127.0.0.1:0", CONNECTIONS, read_cloud, deliver)?;
        let address = answers.address();
        let at = emulator.clone();
        spawn("cloud", move || at.serve_cloud(&requests, &answers, cloud_rps))?;
        let at = emulator.clone();
        spawn("commands", move || at.serve_workers(&commands))?;
        let at = emulator.clone();
        spawn("machines", move || at.run_machines(&returned))?;
        Ok((emulator, address))
    }

    /// The region, to look at or to strike.
    pub fn region(&self) -> MutexGuard<'_, Region> {
        locked(&self.region)
    }

    /// A trouble begins, if it is one of machines or of the network; processes are not its business.
    pub fn strike(&self, planned: &Planned) {
        let now = self.shared.now();
        let span = planned.until.saturating_sub(planned.at);
        let mut region = self.region();
        let mut each = |count: usize, act: &mut dyn FnMut(&mut Region, &str)| {
            for _ in 0..count {
                if let Some(host) = region.some_machine(now) {
                    act(&mut region, &host);
                }
            }
        };
        match &planned.fault {
            Fault::TakeSpot(count) => _ = region.take_spot(now, *count, NOTICE_MS),
            Fault::MachinesDie(count) => each(*count, &mut |region, host| region.take(host)),
            Fault::MachinesHang(count) => each(*count, &mut |region, host| {
                if let Some(worker) = region.machine(host) {
                    worker.hung_until = now + span;
                }
            }),
            Fault::MachineFaulty => each(1, &mut |region, host| {
                if let Some(worker) = region.machine(host) {
                    worker.faulty = true;
                }
            }),
            Fault::JobBreaks(job, share) => {
                region.outside.broken.insert(job.clone(), Broken::Often(*share));
            }
            Fault::At { .. } | Fault::CutController(_) | Fault::CutZone(_) => {
                drop(region);
                locked(&self.shared.faults).begin(Planned {
                    at: now,
                    until: now + span,
                    ..planned.clone()
                });
            }
            Fault::CrashController(..) | Fault::CrashAll(_) | Fault::RestartState => {}
        }
    }

    fn serve_cloud(
        &self,
        requests: &Receiver<Incoming<CloudRequest>>,
        answers: &ReplySender,
        rps: f64,
    ) {
        // Bursts of two seconds' worth: two budgets of one second's, taken in turn.
        let mut budgets =
            [(); 2].map(|()| RateLimiter::new(rps / 2.0, 0.0, Mono(self.shared.now())));
        let mut turn = 0;
        while let Ok(Incoming { caller, request }) = requests.recv() {
            let now = self.shared.now();
            turn += 1;
            let may = budgets[turn % 2].try_acquire(0, Mono(now))
                || budgets[(turn + 1) % 2].try_acquire(0, Mono(now));
            let reply = if may {
                self.cloud(now, &request)
            } else {
                HttpReply::error(429, "too many requests a second")
            };
            answers.send(caller, reply);
        }
    }

    fn cloud(&self, now: u64, request: &CloudRequest) -> HttpReply {
        let mut region = self.region();
        match request {
            CloudRequest::Catalog => HttpReply::json(200, &region.catalog()),
            CloudRequest::List { after, most } => {
                HttpReply::json(200, &region.list(now, after, *most))
            }
            CloudRequest::Hire(hire) => match region.hire(now, hire) {
                Hired::Hosts(hosts) => {
                    for host in &hosts {
                        if let Err(e) = self.open(&mut region, host.as_str()) {
                            tracing::warn!("{host} has no address: {e}");
                        }
                    }
                    HttpReply::json(200, &Hosts { hosts })
                }
                Hired::NoCapacity => HttpReply::error(503, "no capacity"),
                Hired::Malformed(text) => HttpReply::error(400, &text),
            },
            CloudRequest::Release(hosts) => {
                region.release(&hosts.hosts);
                HttpReply::json(200, &serde_json::json!({}))
            }
        }
    }

    /// Gives a rented machine its address, and a thread for its reports.
    fn open(&self, region: &mut Region, host: &str) -> Result<(), StartError> {
        let mut edges = locked(&self.edges);
        if edges.contains_key(host) {
            return Ok(());
        }
        let (name, asked) = (host.to_owned(), self.asked.clone());
        let deliver = move |incoming| asked.send((name.clone(), incoming)).is_ok();
        let answers = Arc::new(server::start("127.0.0.1:0", CONNECTIONS, read_worker, deliver)?);
        if let Some(worker) = region.machine(host) {
            worker.addr = answers.address().to_string();
        }
        // One report is under way at a time; one that was given up may still hold the thread.
        let (reports, queue) = bounded(2);
        edges.insert(host.to_owned(), Edge { answers, reports });
        Ok(self.start_reports(queue)?)
    }

    fn start_reports(&self, queue: Receiver<(Passage, Report)>) -> std::io::Result<()> {
        let call = |node: &Node| HttpClient::new(&node.address, REPORT_TIMEOUT_MS, GATE_BYTES);
        let callers: Vec<HttpClient> = self.nodes.iter().map(call).collect();
        let returns = self.returns.clone();
        let mut known = BTreeSet::new();
        spawn("reports", move || {
            while let Ok((passage, report)) = queue.recv() {
                let said = callers[passage.node].post("/v1/report", &report);
                let jobs = fetch(&callers, passage.node, said.as_ref(), &mut known);
                if returns.send(Returned { passage, said, jobs }).is_err() {
                    return;
                }
            }
        })?;
        Ok(())
    }

    fn serve_workers(&self, commands: &Receiver<(String, Incoming<WorkerRequest>)>) {
        // Commands that reached a machine which hangs: executed when it goes on, however late.
        let mut held: Vec<(String, Command)> = Vec::new();
        loop {
            if let Ok((host, incoming)) = commands.recv_timeout(Duration::from_millis(STEP_MS.0)) {
                self.commanded(&host, incoming, &mut held);
            }
            let now = self.shared.now();
            held.retain(|(host, command)| {
                let mut region = self.region();
                let hangs = region.machine(host).is_some_and(|w| now < w.hung_until);
                if !hangs {
                    let _ = region.commanded(now, host, command);
                }
                hangs
            });
        }
    }

    fn commanded(
        &self,
        host: &str,
        incoming: Incoming<WorkerRequest>,
        held: &mut Vec<(String, Command)>,
    ) {
        let Some(answers) = locked(&self.edges).get(host).map(|e| e.answers.clone()) else {
            return;
        };
        let conn: Conn = incoming.caller;
        let now = self.shared.now();
        let mut region = self.region();
        let Some(worker) = region.machine(host).filter(|w| now >= w.up_at) else {
            return answers.close(conn);
        };
        // Who asks cannot be told from the socket: in a cut zone no command gets through.
        let zone = worker.place.zone.clone();
        let cut = locked(&self.shared.faults).apart(&zone, usize::MAX, "", now);
        if now < worker.hung_until || cut {
            if let WorkerRequest::Do(command) = incoming.request {
                held.push((host.to_owned(), command));
            }
            return answers.close(conn);
        }
        let reply = match incoming.request {
            WorkerRequest::Show => HttpReply::json(200, &worker.state(now)),
            WorkerRequest::Do(command) => match region.commanded(now, host, &command) {
                Some((true, report)) => HttpReply::json(200, &report),
                Some((false, report)) => HttpReply::json(409, &report),
                None => return answers.close(conn),
            },
        };
        answers.send(conn, reply);
    }

    fn run_machines(&self, returned: &Receiver<Returned>) {
        let mut noted = 0;
        loop {
            std::thread::sleep(Duration::from_millis(STEP_MS.0));
            let now = self.shared.now();
            while let Ok(Returned { passage, said, jobs }) = returned.try_recv() {
                jobs.iter().for_each(|job| self.region().upload(job));
                self.returned(now, &passage, said);
            }
            let sendings = {
                let mut region = self.region();
                if now >= noted + NOTE_MS.0 {
                    noted = now;
                    region.note_list(now);
                    region.checker.look(now);
                    locked(&self.shared.faults).sweep(now);
                }
                region.step(now)
            };
            for sending in sendings {
                self.send(now, sending);
            }
            let region = self.region();
            locked(&self.edges).retain(|host, _| region.workers.contains_key(host));
        }
    }

    fn apart(&self, region: &Region, host: &str, node: usize, now: u64) -> bool {
        let Some(worker) = region.workers.get(host) else { return true };
        let its = self.nodes[node].zone.as_str();
        locked(&self.shared.faults).apart(&worker.place.zone, node, its, now)
    }

    fn send(&self, now: u64, sending: Sending) {
        let Sending { host, id, node, report } = sending;
        if self.apart(&self.region(), &host, node, now) {
            return;
        }
        if let Some(edge) = locked(&self.edges).get(&host) {
            // A full queue is a worker that still waits: this report is lost, as on a bad line.
            let _ = edge.reports.try_send((Passage { host, id, sent: now, node }, report));
        }
    }

    /// An answer to a report reaches its worker, if nothing cuts them apart meanwhile.
    fn returned(&self, now: u64, passage: &Passage, said: Said) {
        let Passage { host, id, sent, node } = passage;
        let mut region = self.region();
        if !self.apart(&region, host, *node, now) {
            let (status, body) = said.unwrap_or((0, Vec::new()));
            let body = String::from_utf8_lossy(&body);
            region.answered(now, host, (*id, *sent), status, &body);
        }
    }
}

/// Workers are told to run jobs of graphs whose descriptions nobody has uploaded: they ask a controller.
fn fetch(
    callers: &[HttpClient],
    node: usize,
    said: Option<&(u16, Vec<u8>)>,
    known: &mut BTreeSet<String>,
) -> Vec<JobSpec> {
    let answer = said.filter(|(status, _)| *status == 200);
    let answer = answer.and_then(|(_, body)| serde_json::from_slice::<ReportAnswer>(body).ok());
    let mut jobs = Vec::new();
    for order in answer.into_iter().flat_map(|answer| answer.orders) {
        let Order::Run { task, .. } = order else { continue };
        let Some((job, _)) = task.rsplit_once('/') else { continue };
        // Ids of 20 digits that begin with a 9 are graphs'.
        let of_graph = job.len() == 24 && job.starts_with("req-9");
        if !of_graph || known.contains(job) {
            continue;
        }
        let path = format!("/v2/runs/{job}/nodes");
        let ask = |caller: &HttpClient| caller.get(&path).filter(|(status, _)| *status == 200);
        let found = (0..callers.len()).find_map(|n| ask(&callers[(node + n) % callers.len()]));
        let described = found.and_then(|(_, body)| serde_json::from_slice::<Described>(&body).ok());
        if let Some(spec) = described.and_then(|described| described.job) {
            known.insert(job.to_owned());
            jobs.push(spec);
        }
    }
    jobs
}

/// What a controller says of a graph's job, as far as a worker here needs it.
#[derive(serde::Deserialize)]
struct Described {
    job: Option<JobSpec>,
}

fn bad(text: impl std::fmt::Display) -> HttpReply {
    HttpReply::error(400, &text.to_string())
}

fn read_cloud(method: &str, target: &str, body: &[u8]) -> Result<CloudRequest, HttpReply> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/catalog") => Ok(CloudRequest::Catalog),
        ("GET", "/machines") => {
            let (mut after, mut most) = (String::new(), 500);
            for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
                match name {
                    "after" => after = value.to_owned(),
                    "most" => most = value.parse().map_err(bad)?,
                    _ => {}
                }
            }
            Ok(CloudRequest::List { after, most })
        }
        ("POST", "/machines") => serde_json::from_slice(body).map(CloudRequest::Hire).map_err(bad),
        ("POST", "/machines/release") => {
            serde_json::from_slice(body).map(CloudRequest::Release).map_err(bad)
        }
        _ => Err(HttpReply::error(404, "no such path")),
    }
}

fn read_worker(method: &str, path: &str, body: &[u8]) -> Result<WorkerRequest, HttpReply> {
    match (method, path) {
        ("GET", "/show") => Ok(WorkerRequest::Show),
        ("POST", "/do") => serde_json::from_slice(body).map(WorkerRequest::Do).map_err(bad),
        _ => Err(HttpReply::error(404, "no such path")),
    }
}
