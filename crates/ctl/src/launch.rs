//! A whole region as processes and threads of this machine: the state service, the emulated cloud with its
//! workers, gates before both, and three controllers, which are started again when they end.

use crate::constants::*;
use crate::settings::{Addresses, Local, ZONES, member};
use oatloom_emulator::checker::{Checker, Limit};
use oatloom_emulator::faults::{Fault, FaultSet, ScheduledFault, Service};
use oatloom_emulator::link_proxy;
use oatloom_emulator::region::{CloudConfig, Region};
use oatloom_emulator::serve::{Emulator, Node};
use oatloom_emulator::service_proxy::{self, FaultContext};
use oatloom_protocol::ids::{Millis, Zone};
use oatloom_protocol::settings::WorkerFacts;
use oatloom_web::StartError;
use oatloom_web::client::HttpClient;
use std::collections::HashMap;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    #[error("{path}: {cause}")]
    File { path: PathBuf, cause: std::io::Error },
    #[error(
        "{program} is not beside this program: build it with `cargo build --release --workspace`"
    )]
    Program { program: PathBuf },
    #[error("{program} cannot be started: {cause}")]
    Process { program: PathBuf, cause: std::io::Error },
    #[error("{program} ended at its start, with {status}: see {log}")]
    Ended { program: PathBuf, status: ExitStatus, log: PathBuf },
    #[error("{program} does not answer at {address} within {} s: see {log}", START_MS.0 / 1000)]
    Silent { program: PathBuf, address: String, log: PathBuf },
    #[error("port {port} is in use: another region may be running")]
    Port { port: u16 },
    #[error("no port is free: {0}")]
    NoPort(std::io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// A program that is looked after.
struct Process {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    started: Instant,
    /// When it is started again, if it is not running.
    again: Instant,
    pause: Millis,
    /// How soon after its next end it is to be back, if somebody has asked for that.
    back: Option<Millis>,
    ends: u32,
}

impl Process {
    fn new(name: &str, program: PathBuf, arguments: Vec<String>, data: &Path) -> Self {
        let (started, pause) = (Instant::now(), RESTART_MS);
        let log = data.join(format!("{name}.log"));
        let name = name.to_owned();
        Self {
            name,
            program,
            arguments,
            log,
            child: None,
            started,
            again: started,
            pause,
            back: None,
            ends: 0,
        }
    }

    fn start(&mut self) -> Result<(), LaunchError> {
        let failed = |cause| LaunchError::File { path: self.log.clone(), cause };
        let log = File::options().create(true).append(true).open(&self.log).map_err(failed)?;
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|cause| LaunchError::Process { program: self.program.clone(), cause })?;
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    /// Whether it has ended, and how.
    fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Says that it has ended, and when it is started again: later each time while it ends at once.
    fn note_end(&mut self, status: ExitStatus) {
        self.ends += 1;
        let settled = self.started.elapsed() >= Duration::from_millis(SETTLED_MS.0);
        self.pause =
            if settled { RESTART_MS } else { Millis((self.pause.0 * 2).min(RESTART_MOST_MS.0)) };
        let after = match self.back.take() {
            Some(back) => {
                // It was killed on purpose: no reason to wait longer the next time.
                self.pause = RESTART_MS;
                back
            }
            None => self.pause,
        };
        self.again = Instant::now() + Duration::from_millis(after.0);
        tracing::warn!("{} ended with {status}; it is started again in {} ms", self.name, after.0);
    }

    /// Whether it is not running and it is time to start it again.
    fn is_due(&self) -> bool {
        self.child.is_none() && Instant::now() >= self.again
    }

    fn start_again(&mut self) {
        if let Err(e) = self.start() {
            tracing::error!("{e}");
            self.again = Instant::now() + Duration::from_millis(RESTART_MOST_MS.0);
        }
    }

    fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Kills it; it is back after so long, at once even, or when its turn comes.
    fn crash(&mut self, back: Option<Millis>) {
        if self.child.is_none() {
            // It has ended already; what is asked for must not hold for its next end.
            return;
        }
        self.kill();
        self.back = back;
        if back == Some(Millis(0))
            && let Some(status) = self.child.as_mut().and_then(|child| child.wait().ok())
        {
            self.child = None;
            self.note_end(status);
            self.start_again();
        }
    }

    /// Ends it for good.
    fn end(&mut self) {
        self.kill();
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

/// A running region.
pub struct Running {
    pub emulator: Arc<Emulator>,
    /// Where users reach the controllers.
    pub controllers: Vec<String>,
    pub local: Local,
    state: Process,
    nodes: Vec<Process>,
    /// Controllers that are to be started with settings that make no sense, for a rehearsal.
    pub misled: Option<usize>,
}

fn free_port() -> Result<u16, LaunchError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(LaunchError::NoPort)?;
    listener.local_addr().map(|a| a.port()).map_err(LaunchError::NoPort)
}

/// Ports that follow a first one; each must be free.
fn ports(first: u16, count: u16) -> Result<Vec<u16>, LaunchError> {
    (0..count)
        .map(|n| {
            if first == 0 {
                return free_port();
            }
            let port = first + n;
            TcpListener::bind(("127.0.0.1", port)).map_err(|_| LaunchError::Port { port })?;
            Ok(port)
        })
        .collect()
}

fn program(name: &str) -> Result<PathBuf, LaunchError> {
    let mut folder = std::env::current_exe().unwrap_or_default();
    folder.pop();
    // Tests stand a folder below the programs.
    let candidates = [folder.join(name), folder.join("..").join(name)];
    let found = candidates.iter().find(|path| path.is_file()).cloned();
    found.ok_or_else(|| LaunchError::Program { program: folder.join(name) })
}

fn write(path: &Path, text: &str) -> Result<(), LaunchError> {
    std::fs::write(path, text).map_err(|cause| LaunchError::File { path: path.into(), cause })
}

impl Running {
    /// Starts everything and waits until the controllers answer. What is under `data` from before is gone
    /// on with; `operators` is a file of the operators' own settings, for all controllers.
    ///
    /// # Errors
    /// A program, port or file cannot be had, or a program ends at its start.
    pub fn start(
        local: Local,
        data: &Path,
        operators: Option<&Path>,
        seed: u64,
    ) -> Result<Self, LaunchError> {
        // A port that was free a moment ago may have been taken by another region that is starting.
        let mut tries = if local.port == 0 { START_TRIES } else { 1 };
        loop {
            tries -= 1;
            match Self::try_start(local.clone(), data, operators, seed) {
                Err(LaunchError::Ended { .. }) if tries > 0 => {}
                other => return other,
            }
        }
    }

    fn try_start(
        local: Local,
        data: &Path,
        operators: Option<&Path>,
        seed: u64,
    ) -> Result<Self, LaunchError> {
        std::fs::create_dir_all(data)
            .map_err(|cause| LaunchError::File { path: data.into(), cause })?;
        let serve = ports(local.port, CONTROLLERS as u16)?;
        let loopback = |port: &u16| format!("127.0.0.1:{port}");
        let state_address = loopback(&free_port()?);
        let (state_home, state_file) = (data.join("state"), data.join("state.lisp"));
        write(&state_file, &local.state())?;
        let arguments = [
            "--listen",
            &state_address,
            "--data",
            &state_home.to_string_lossy(),
            "--file",
            &state_file.to_string_lossy(),
        ]
        .map(str::to_owned);
        let mut state =
            Process::new("oatloom-state", program("oatloom-state")?, arguments.to_vec(), data);
        state.start()?;
        wait_for(&mut state, &state_address, "/status")?;

        let shared = FaultContext {
            faults: Arc::new(Mutex::new(FaultSet::default())),
            start: Instant::now(),
        };
        let controllers: Vec<String> = serve.iter().map(loopback).collect();
        let nodes: Vec<Node> = controllers
            .iter()
            .zip(ZONES)
            .map(|(address, zone)| Node { address: address.clone(), zone: Zone::new(zone) })
            .collect();
        let meshes: Vec<String> = (0..CONTROLLERS)
            .map(|_| free_port().map(|port| loopback(&port)))
            .collect::<Result<_, _>>()?;
        let (emulator, cloud) =
            Emulator::start(region(&local, seed), nodes.clone(), 6.0, shared.clone())?;
        let mut addresses = Vec::new();
        for (at, serve) in controllers.iter().enumerate() {
            let behind = |target: &str, service| {
                service_proxy::start(target, service, at, seed, &shared)
                    .map(|address| address.to_string())
            };
            addresses.push(Addresses {
                serve: serve.clone(),
                mesh: meshes[at].clone(),
                peers: (0..CONTROLLERS)
                    .map(|to| link_proxy::start(&meshes[to], (at, to), &nodes, &shared))
                    .map(|address| address.map(|address| address.to_string()))
                    .collect::<Result<_, _>>()?,
                state: behind(&state_address, Service::State)?,
                cloud: behind(&cloud.to_string(), Service::Cloud)?,
            });
        }
        let mut processes = Vec::new();
        for at in 0..CONTROLLERS {
            let name = member(at).to_string();
            let file = data.join(format!("{name}.toml"));
            write(&file, &local.controller(at, &addresses))?;
            let mut arguments = vec!["--config".to_owned(), file.to_string_lossy().into_owned()];
            if let Some(path) = operators {
                arguments.extend(["--operators".to_owned(), path.to_string_lossy().into_owned()]);
            }
            let mut process = Process::new(&name, program("oatloom")?, arguments, data);
            process.start()?;
            processes.push(process);
        }
        let mut running = Self {
            emulator,
            controllers: controllers.clone(),
            local,
            state,
            nodes: processes,
            misled: None,
        };
        for (process, address) in running.nodes.iter_mut().zip(&controllers) {
            wait_for(process, address, "/up")?;
        }
        Ok(running)
    }

    /// Looks after the processes; to be called every [`TEND_MS`].
    pub fn tend(&mut self) {
        for process in self.nodes.iter_mut().chain([&mut self.state]) {
            if let Some(status) = process.ended() {
                process.note_end(status);
            }
        }
        for (at, process) in self.nodes.iter_mut().enumerate() {
            if !process.is_due() {
                continue;
            }
            let arguments = process.arguments.clone();
            if self.misled == Some(at) {
                self.misled = None;
                process.arguments = vec!["--config".to_owned(), "/no/such/settings".to_owned()];
            }
            process.start_again();
            process.arguments = arguments;
        }
        if self.state.is_due() {
            self.state.start_again();
        }
    }

    /// A fault begins.
    pub fn strike(&mut self, planned: &ScheduledFault) {
        tracing::info!("fault: {:?} until {} ms", planned.fault, planned.until);
        match planned.fault {
            Fault::CrashController(at, back) => self.nodes[at].crash(back),
            Fault::CrashAll(back) => self.nodes.iter_mut().for_each(|node| node.crash(back)),
            Fault::RestartState => {
                // Killed, not asked to end; started again without a pause.
                self.state.end();
                if let Err(e) = self.state.start() {
                    tracing::error!("{e}");
                }
            }
            _ => self.emulator.inject(planned),
        }
    }

    /// How often each program has ended by itself or was killed.
    pub fn ends(&self) -> HashMap<String, u32> {
        let all = self.nodes.iter().chain([&self.state]);
        all.map(|process| (process.name.clone(), process.ends)).collect()
    }

    /// Largest resident memory of a controller, in bytes.
    pub fn controllers_memory(&self) -> u64 {
        let resident = |process: &Process| {
            let id = process.child.as_ref()?.id();
            let text = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            Some(text.split(' ').nth(1)?.parse::<u64>().ok()? * 4096)
        };
        self.nodes.iter().filter_map(resident).max().unwrap_or(0)
    }
}

/// Guards against processes that are left behind, also by a start that fails half way.
impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

fn region(local: &Local, seed: u64) -> Region {
    let ms = |s: f64| (s * 1000.0) as u64;
    // Names of machines are never used again, by a later region on the same state neither.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let terms = CloudConfig {
        flavors: local.flavors(),
        capacity: local.machines,
        boot_ms: (ms(local.boot_s * 0.6), ms(local.boot_s * 1.5)),
        never_boot_share: 0.02,
        late_boot_share: 0.04,
        list_age_ms: (ms(local.list_lag_s), ms(local.list_lag_s * 2.0)),
        max_page_machines: 500,
        fetch_ms: None,
        has_varying_prices: true,
        first_machine_number: since.as_millis() as u64,
        nodes: (0..CONTROLLERS).map(member).collect(),
    };
    let facts = WorkerFacts {
        report_s: local.report_s,
        lease_s: local.lease_s,
        gang_wait_s: local.gang_wait_s,
        gang_peer_s: local.gang_peer_s,
        cancel_s: local.cancel_s,
    };
    let limits = local.teams.iter().enumerate();
    let gpus_max = |n| Limit::gpus_only(if n == 0 { local.gpus_max } else { 0.0 });
    let limits = limits.map(|(n, team)| (team.clone(), gpus_max(n))).collect();
    let checker = Checker::new(limits, ms(local.cancel_s));
    Region::new(terms, (&facts).into(), checker, seed)
}

/// Waits until a program answers.
fn wait_for(process: &mut Process, address: &str, path: &str) -> Result<(), LaunchError> {
    let caller = HttpClient::new(address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    let began = Instant::now();
    loop {
        if caller.get(path).is_some_and(|(status, _)| status == 200) {
            return Ok(());
        }
        let (program, log) = (process.program.clone(), process.log.clone());
        if let Some(status) = process.ended() {
            return Err(LaunchError::Ended { program, status, log });
        }
        if began.elapsed() >= Duration::from_millis(START_MS.0) {
            return Err(LaunchError::Silent { program, address: address.to_owned(), log });
        }
        std::thread::sleep(Duration::from_millis(TEND_MS.0));
    }
}
