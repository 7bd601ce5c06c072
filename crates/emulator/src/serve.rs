//! Serves the region on sockets: the cloud's interface, an address for each worker, and the reports that
//! workers send. Only threads and sockets are here; [`crate::region`] has the logic.

use crate::constants::*;
use crate::faults::{Fault, ScheduledFault};
use crate::region::{HireOutcome, OutgoingReport, Region};
use crate::service_proxy::FaultContext;
use crate::worker::JobFailures;
use crossbeam::channel::{Receiver, Sender, bounded, unbounded};
use oatloom_protocol::ids::{Mono, Zone};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Command, HireRequest, Hosts, JobSpec, Order, Report, ReportAnswer};
use oatloom_state::rate_limiter::RateLimiter;
use oatloom_web::client::HttpClient;
use oatloom_web::server::{self, ConnectionId as Connection, Incoming, ReplySender};
use oatloom_web::{StartError, spawn};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Address and zone of a controller.
#[derive(Clone, Debug)]
pub struct Node {
    pub address: String,
    pub zone: Zone,
}

/// A request to the cloud.
enum CloudRequest {
    Catalog,
    List { after: String, max: usize },
    Hire(HireRequest),
    Release(Hosts),
}

/// A direct request to a worker.
enum WorkerRequest {
    Execute(Command),
    Show,
}

/// A report in transit, or its answer.
struct ReportTransit {
    host: String,
    id: u64,
    sent_at: u64,
    node: usize,
}

/// Status and body of a node's answer; `None` if there was no answer.
type NodeAnswer = Option<(u16, Vec<u8>)>;

/// The result of sending a report: the answer, and the descriptions of graph jobs that the worker fetched.
struct ReportResult {
    transit: ReportTransit,
    answer: NodeAnswer,
    jobs: Vec<JobSpec>,
}

/// A worker's server and the queue of the thread that sends its reports; both end when this is dropped.
struct WorkerEndpoint {
    answers: Arc<ReplySender>,
    reports: Sender<(ReportTransit, Report)>,
}

/// The emulated region and its servers.
pub struct Emulator {
    region: Mutex<Region>,
    endpoints: Mutex<HashMap<String, WorkerEndpoint>>,
    command_sender: Sender<(String, Incoming<WorkerRequest>)>,
    result_sender: Sender<ReportResult>,
    nodes: Vec<Node>,
    /// Active faults and clock.
    pub shared: FaultContext,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panicked leaves no state that the other threads cannot continue with.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Emulator {
    /// Starts serving a region whose controllers are at these addresses. Also returns the address of the
    /// cloud.
    ///
    /// # Errors
    /// If no socket can be bound or no thread can be started.
    pub fn start(
        region: Region,
        nodes: Vec<Node>,
        cloud_rps: f64,
        shared: FaultContext,
    ) -> Result<(Arc<Self>, SocketAddr), StartError> {
        let (command_sender, commands) = unbounded();
        let (result_sender, results) = unbounded();
        let (region, endpoints) = (Mutex::new(region), Mutex::new(HashMap::new()));
        let emulator =
            Arc::new(Self { region, endpoints, command_sender, result_sender, nodes, shared });
        let (sender, requests) = bounded(MAX_QUEUED_REQUESTS);
        let deliver = move |incoming: Incoming<CloudRequest>| sender.try_send(incoming).is_ok();
        let answers = server::start("127.0.0.1:0", MAX_CONNECTIONS, parse_cloud_request, deliver)?;
        let address = answers.address();
        let this = emulator.clone();
        spawn("cloud", move || this.serve_cloud(&requests, &answers, cloud_rps))?;
        let this = emulator.clone();
        spawn("commands", move || this.serve_workers(&commands))?;
        let this = emulator.clone();
        spawn("machines", move || this.run_machines(&results))?;
        Ok((emulator, address))
    }

    /// Locks the region.
    pub fn lock_region(&self) -> MutexGuard<'_, Region> {
        lock(&self.region)
    }

    /// Starts a fault of machines or of the network. Faults of processes are left to the caller.
    pub fn inject(&self, scheduled: &ScheduledFault) {
        let now = self.shared.now();
        let duration_ms = scheduled.until.saturating_sub(scheduled.at);
        let mut region = self.lock_region();
        let mut for_random_machines = |count: usize, action: &mut dyn FnMut(&mut Region, &str)| {
            for _ in 0..count {
                if let Some(host) = region.pick_random_machine(now) {
                    action(&mut region, &host);
                }
            }
        };
        match &scheduled.fault {
            Fault::PreemptSpot(count) => {
                _ = region.preempt_spot_machines(now, *count, SPOT_NOTICE_MS)
            }
            Fault::MachinesDie(count) => {
                for_random_machines(*count, &mut |region, host| region.remove_machine(host))
            }
            Fault::MachinesHang(count) => for_random_machines(*count, &mut |region, host| {
                if let Some(worker) = region.get_worker_mut(host) {
                    worker.hung_until = now + duration_ms;
                }
            }),
            Fault::MachineFaulty => for_random_machines(1, &mut |region, host| {
                if let Some(worker) = region.get_worker_mut(host) {
                    worker.faulty = true;
                }
            }),
            Fault::JobFails(job, share) => {
                region.external.failing_jobs.insert(job.clone(), JobFailures::Share(*share));
            }
            Fault::OnService { .. } | Fault::PartitionController(_) | Fault::PartitionZone(_) => {
                drop(region);
                lock(&self.shared.faults).add(ScheduledFault {
                    at: now,
                    until: now + duration_ms,
                    ..scheduled.clone()
                });
            }
            Fault::CrashController(..) | Fault::CrashAll(_) | Fault::RestartState => {}
        }
    }

    /// Answers the requests to the cloud within its request rate.
    fn serve_cloud(
        &self,
        requests: &Receiver<Incoming<CloudRequest>>,
        answers: &ReplySender,
        requests_per_s: f64,
    ) {
        // Allows bursts of two seconds' worth of requests: two budgets of one second's worth each, used in
        // turn.
        let mut budgets =
            [(); 2].map(|()| RateLimiter::new(requests_per_s / 2.0, 0.0, Mono(self.shared.now())));
        let mut turn = 0;
        while let Ok(Incoming { caller, request }) = requests.recv() {
            let now = self.shared.now();
            turn += 1;
            let is_allowed = budgets[turn % 2].try_acquire(0, Mono(now))
                || budgets[(turn + 1) % 2].try_acquire(0, Mono(now));
            let reply = if is_allowed {
                self.answer_cloud_request(now, &request)
            } else {
                HttpReply::error(429, "too many requests a second")
            };
            answers.send(caller, reply);
        }
    }

    fn answer_cloud_request(&self, now: u64, request: &CloudRequest) -> HttpReply {
        let mut region = self.lock_region();
        match request {
            CloudRequest::Catalog => HttpReply::json(200, &region.draw_catalog()),
            CloudRequest::List { after, max } => {
                HttpReply::json(200, &region.list_machines(now, after, *max))
            }
            CloudRequest::Hire(hire) => match region.hire(now, hire) {
                HireOutcome::Hosts(hosts) => {
                    for host in &hosts {
                        if let Err(e) = self.start_worker_server(&mut region, host.as_str()) {
                            tracing::warn!("cannot start the server of machine {host}: {e}");
                        }
                    }
                    HttpReply::json(200, &Hosts { hosts })
                }
                HireOutcome::NoCapacity => HttpReply::error(503, "no capacity"),
                HireOutcome::Malformed(text) => HttpReply::error(400, &text),
            },
            CloudRequest::Release(hosts) => {
                region.release(&hosts.hosts);
                HttpReply::json(200, &serde_json::json!({}))
            }
        }
    }

    /// Starts the server of a rented machine, and the thread that sends its reports.
    fn start_worker_server(&self, region: &mut Region, host: &str) -> Result<(), StartError> {
        let mut endpoints = lock(&self.endpoints);
        if endpoints.contains_key(host) {
            return Ok(());
        }
        let (name, command_sender) = (host.to_owned(), self.command_sender.clone());
        let deliver = move |incoming| command_sender.send((name.clone(), incoming)).is_ok();
        let answers =
            Arc::new(server::start("127.0.0.1:0", MAX_CONNECTIONS, parse_worker_request, deliver)?);
        if let Some(worker) = region.get_worker_mut(host) {
            worker.addr = answers.address().to_string();
        }
        // Only one report is in flight at a time, but one that timed out may still occupy the thread.
        let (reports, queue) = bounded(2);
        endpoints.insert(host.to_owned(), WorkerEndpoint { answers, reports });
        Ok(self.start_reports(queue)?)
    }

    /// Starts the thread that sends a worker's reports to the controllers, one at a time.
    fn start_reports(&self, queue: Receiver<(ReportTransit, Report)>) -> std::io::Result<()> {
        let new_client =
            |node: &Node| HttpClient::new(&node.address, REPORT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
        let clients: Vec<HttpClient> = self.nodes.iter().map(new_client).collect();
        let result_sender = self.result_sender.clone();
        let mut known_jobs = BTreeSet::new();
        spawn("reports", move || {
            while let Ok((transit, report)) = queue.recv() {
                let answer = clients[transit.node].post("/v1/report", &report);
                let jobs =
                    fetch_graph_jobs(&clients, transit.node, answer.as_ref(), &mut known_jobs);
                if result_sender.send(ReportResult { transit, answer, jobs }).is_err() {
                    return;
                }
            }
        })?;
        Ok(())
    }

    /// Handles direct requests to workers.
    fn serve_workers(&self, commands: &Receiver<(String, Incoming<WorkerRequest>)>) {
        // Commands to hanging or partitioned machines: executed once the machine no longer hangs, however late.
        let mut delayed: Vec<(String, Command)> = Vec::new();
        loop {
            if let Ok((host, incoming)) =
                commands.recv_timeout(Duration::from_millis(STEP_INTERVAL_MS.0))
            {
                self.handle_worker_request(&host, incoming, &mut delayed);
            }
            let now = self.shared.now();
            delayed.retain(|(host, command)| {
                let mut region = self.lock_region();
                let is_hanging = region.get_worker_mut(host).is_some_and(|w| now < w.hung_until);
                if !is_hanging {
                    let _ = region.handle_command(now, host, command);
                }
                is_hanging
            });
        }
    }

    /// Handles a direct request to a worker; commands to hanging or partitioned machines go to `delayed`.
    fn handle_worker_request(
        &self,
        host: &str,
        incoming: Incoming<WorkerRequest>,
        delayed: &mut Vec<(String, Command)>,
    ) {
        let Some(answers) = lock(&self.endpoints).get(host).map(|e| e.answers.clone()) else {
            return;
        };
        let connection: Connection = incoming.caller;
        let now = self.shared.now();
        let mut region = self.lock_region();
        let Some(worker) = region.get_worker_mut(host).filter(|w| now >= w.up_at) else {
            return answers.close(connection);
        };
        // The socket does not show which controller sent the command, so no command reaches a partitioned
        // zone.
        let zone = worker.place.zone.clone();
        let is_zone_partitioned =
            lock(&self.shared.faults).is_partitioned(&zone, usize::MAX, "", now);
        if now < worker.hung_until || is_zone_partitioned {
            if let WorkerRequest::Execute(command) = incoming.request {
                delayed.push((host.to_owned(), command));
            }
            return answers.close(connection);
        }
        let reply = match incoming.request {
            WorkerRequest::Show => HttpReply::json(200, &worker.build_report(now)),
            WorkerRequest::Execute(command) => match region.handle_command(now, host, &command) {
                Some((true, report)) => HttpReply::json(200, &report),
                Some((false, report)) => HttpReply::json(409, &report),
                None => return answers.close(connection),
            },
        };
        answers.send(connection, reply);
    }

    /// Periodically advances the region, and passes reports and answers between workers and controllers.
    fn run_machines(&self, results: &Receiver<ReportResult>) {
        let mut last_snapshot_at = 0;
        loop {
            std::thread::sleep(Duration::from_millis(STEP_INTERVAL_MS.0));
            let now = self.shared.now();
            while let Ok(ReportResult { transit, answer, jobs }) = results.try_recv() {
                jobs.iter().for_each(|job| self.lock_region().upload_job(job));
                self.deliver_answer(now, &transit, answer);
            }
            let reports_due = {
                let mut region = self.lock_region();
                if now >= last_snapshot_at + LIST_SNAPSHOT_INTERVAL_MS.0 {
                    last_snapshot_at = now;
                    region.snapshot_list(now);
                    region.checker.check_cancelled_jobs(now);
                    lock(&self.shared.faults).remove_expired(now);
                }
                region.step(now)
            };
            for outgoing in reports_due {
                self.send(now, outgoing);
            }
            let region = self.lock_region();
            lock(&self.endpoints).retain(|host, _| region.workers.contains_key(host));
        }
    }

    /// Whether the worker of a machine and a controller node cannot reach each other. Also true if the machine no
    /// longer exists.
    fn is_partitioned(&self, region: &Region, host: &str, node: usize, now: u64) -> bool {
        let Some(worker) = region.workers.get(host) else { return true };
        let controller_zone = self.nodes[node].zone.as_str();
        lock(&self.shared.faults).is_partitioned(&worker.place.zone, node, controller_zone, now)
    }

    /// Passes a report to the thread that sends it, unless worker and controller are partitioned.
    fn send(&self, now: u64, outgoing: OutgoingReport) {
        let OutgoingReport { host, id, node, report } = outgoing;
        if self.is_partitioned(&self.lock_region(), &host, node, now) {
            return;
        }
        if let Some(endpoint) = lock(&self.endpoints).get(&host) {
            // A full queue means that the thread still waits for earlier reports: this report is dropped, as
            // on a bad connection.
            let _ =
                endpoint.reports.try_send((ReportTransit { host, id, sent_at: now, node }, report));
        }
    }

    /// Delivers the answer to a report to its worker, unless worker and controller are partitioned now.
    fn deliver_answer(&self, now: u64, transit: &ReportTransit, answer: NodeAnswer) {
        let ReportTransit { host, id, sent_at, node } = transit;
        let mut region = self.lock_region();
        if !self.is_partitioned(&region, host, *node, now) {
            let (status, body) = answer.unwrap_or((0, Vec::new()));
            let body = String::from_utf8_lossy(&body);
            region.handle_answer(now, host, (*id, *sent_at), status, &body);
        }
    }
}

/// Jobs of graphs have no uploaded description: fetches the descriptions of those that the answer orders to
/// run from a controller.
fn fetch_graph_jobs(
    clients: &[HttpClient],
    node: usize,
    answer: Option<&(u16, Vec<u8>)>,
    known_jobs: &mut BTreeSet<String>,
) -> Vec<JobSpec> {
    let answer = answer.filter(|(status, _)| *status == 200);
    let answer = answer.and_then(|(_, body)| serde_json::from_slice::<ReportAnswer>(body).ok());
    let mut jobs = Vec::new();
    for order in answer.into_iter().flat_map(|answer| answer.orders) {
        let Order::Run { task, .. } = order else { continue };
        let Some((job, _)) = task.rsplit_once('/') else { continue };
        // IDs of 20 digits that begin with 9 belong to graphs.
        let is_graph_job = job.len() == 24 && job.starts_with("req-9");
        if !is_graph_job || known_jobs.contains(job) {
            continue;
        }
        let path = format!("/v2/runs/{job}/nodes");
        let request_job =
            |client: &HttpClient| client.get(&path).filter(|(status, _)| *status == 200);
        let job_body = (0..clients.len())
            .find_map(|offset| request_job(&clients[(node + offset) % clients.len()]));
        let job_answer =
            job_body.and_then(|(_, body)| serde_json::from_slice::<JobAnswer>(&body).ok());
        if let Some(spec) = job_answer.and_then(|job_answer| job_answer.job) {
            known_jobs.insert(job.to_owned());
            jobs.push(spec);
        }
    }
    jobs
}

/// The part of a controller's answer about a graph's job that the emulator needs.
#[derive(serde::Deserialize)]
struct JobAnswer {
    job: Option<JobSpec>,
}

fn bad_request(text: impl std::fmt::Display) -> HttpReply {
    HttpReply::error(400, &text.to_string())
}

fn parse_cloud_request(method: &str, target: &str, body: &[u8]) -> Result<CloudRequest, HttpReply> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    match (method, path) {
        ("GET", "/catalog") => Ok(CloudRequest::Catalog),
        ("GET", "/machines") => {
            let (mut after, mut max) = (String::new(), 500);
            for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
                match name {
                    "after" => after = value.to_owned(),
                    "most" => max = value.parse().map_err(bad_request)?,
                    _ => {}
                }
            }
            Ok(CloudRequest::List { after, max })
        }
        ("POST", "/machines") => {
            serde_json::from_slice(body).map(CloudRequest::Hire).map_err(bad_request)
        }
        ("POST", "/machines/release") => {
            serde_json::from_slice(body).map(CloudRequest::Release).map_err(bad_request)
        }
        _ => Err(HttpReply::error(404, "no such path")),
    }
}

fn parse_worker_request(method: &str, path: &str, body: &[u8]) -> Result<WorkerRequest, HttpReply> {
    match (method, path) {
        ("GET", "/show") => Ok(WorkerRequest::Show),
        ("POST", "/do") => {
            serde_json::from_slice(body).map(WorkerRequest::Execute).map_err(bad_request)
        }
        _ => Err(HttpReply::error(404, "no such path")),
    }
}
