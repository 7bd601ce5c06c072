//! A whole region as processes and threads of this machine: the state service, the emulated cloud with its
//! workers, fault-injecting proxies between these and three controllers, and the controllers. Programs that end are
//! restarted.

use crate::constants::*;
use crate::settings::{Addresses, LocalSettings, ZONES, controller_name};
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

/// Why a region could not be started.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    #[error("{path}: {cause}")]
    File { path: PathBuf, cause: std::io::Error },
    #[error(
        "{program} does not exist; it must be in the directory of oatloomctl: \
         build it with `cargo build --release --workspace`"
    )]
    MissingProgram { program: PathBuf },
    #[error("{program} cannot be started: {cause}")]
    Process { program: PathBuf, cause: std::io::Error },
    #[error("{program} ended during its start with {status}; see its log {log}")]
    Ended { program: PathBuf, status: ExitStatus, log: PathBuf },
    #[error("{program} does not answer at {address} within {} s; see its log {log}", START_TIMEOUT_MS.0 / 1000)]
    StartTimeout { program: PathBuf, address: String, log: PathBuf },
    #[error("port {port} is in use; another region may be running")]
    PortInUse { port: u16 },
    #[error("no free port: {0}")]
    NoFreePort(std::io::Error),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// A child process that is restarted when it ends.
struct SupervisedProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    started: Instant,
    /// When it may be restarted, if it is not running.
    next_start: Instant,
    restart_delay: Millis,
    /// Restart delay that an injected fault asks for after the next end of the process.
    requested_delay: Option<Millis>,
    exit_count: u32,
}

impl SupervisedProcess {
    fn new(name: &str, program: PathBuf, arguments: Vec<String>, data: &Path) -> Self {
        let (started, restart_delay) = (Instant::now(), MIN_RESTART_DELAY_MS);
        let log = data.join(format!("{name}.log"));
        let name = name.to_owned();
        Self {
            name,
            program,
            arguments,
            log,
            child: None,
            started,
            next_start: started,
            restart_delay,
            requested_delay: None,
            exit_count: 0,
        }
    }

    fn start(&mut self) -> Result<(), LaunchError> {
        let file_error = |cause| LaunchError::File { path: self.log.clone(), cause };
        let log = File::options().create(true).append(true).open(&self.log).map_err(file_error)?;
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

    /// The exit status if the process has ended since the last call.
    fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Logs the end and sets the time of the restart. The delay doubles while the process ends soon after its start.
    fn schedule_restart(&mut self, status: ExitStatus) {
        self.exit_count += 1;
        let is_stable = self.started.elapsed() >= Duration::from_millis(MIN_STABLE_UPTIME_MS.0);
        self.restart_delay = if is_stable {
            MIN_RESTART_DELAY_MS
        } else {
            Millis((self.restart_delay.0 * 2).min(MAX_RESTART_DELAY_MS.0))
        };
        let delay = match self.requested_delay.take() {
            Some(requested_delay) => {
                // Killed by an injected fault, so the restart delay does not grow.
                self.restart_delay = MIN_RESTART_DELAY_MS;
                requested_delay
            }
            None => self.restart_delay,
        };
        self.next_start = Instant::now() + Duration::from_millis(delay.0);
        tracing::warn!("{} ended with {status}; restarting it in {} ms", self.name, delay.0);
    }

    /// Whether it is not running and its restart time has come.
    fn is_restart_due(&self) -> bool {
        self.child.is_none() && Instant::now() >= self.next_start
    }

    fn restart(&mut self) {
        if let Err(e) = self.start() {
            tracing::error!("{e}");
            self.next_start = Instant::now() + Duration::from_millis(MAX_RESTART_DELAY_MS.0);
        }
    }

    fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Kills the process. It is restarted after `requested_delay` (0: at once), or without one after its own
    /// restart delay.
    fn crash(&mut self, requested_delay: Option<Millis>) {
        if self.child.is_none() {
            // Already ended: the requested delay must not apply to its next end.
            return;
        }
        self.kill();
        self.requested_delay = requested_delay;
        if requested_delay == Some(Millis(0))
            && let Some(status) = self.child.as_mut().and_then(|child| child.wait().ok())
        {
            self.child = None;
            self.schedule_restart(status);
            self.restart();
        }
    }

    /// Kills the process without a restart.
    fn terminate(&mut self) {
        self.kill();
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

/// A running region.
pub struct RunningRegion {
    /// The emulated cloud and its workers.
    pub emulator: Arc<Emulator>,
    /// Addresses of the controllers for users.
    pub controllers: Vec<String>,
    /// The settings that the region was started with.
    pub local: LocalSettings,
    state: SupervisedProcess,
    controller_processes: Vec<SupervisedProcess>,
    /// Index of a controller whose next start gets a missing settings file, to rehearse a failing start.
    pub misconfigured: Option<usize>,
}

fn find_free_port() -> Result<u16, LaunchError> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(LaunchError::NoFreePort)?;
    listener.local_addr().map(|a| a.port()).map_err(LaunchError::NoFreePort)
}

/// Consecutive ports from `first`, each of which must be free; any free ports if `first` is 0.
fn find_free_ports(first: u16, count: u16) -> Result<Vec<u16>, LaunchError> {
    (0..count)
        .map(|n| {
            if first == 0 {
                return find_free_port();
            }
            let port = first + n;
            TcpListener::bind(("127.0.0.1", port)).map_err(|_| LaunchError::PortInUse { port })?;
            Ok(port)
        })
        .collect()
}

/// Finds a program of the workspace beside the running one.
fn find_program(name: &str) -> Result<PathBuf, LaunchError> {
    let mut directory = std::env::current_exe().unwrap_or_default();
    directory.pop();
    // Test binaries are one directory below the programs.
    let candidates = [directory.join(name), directory.join("..").join(name)];
    let program = candidates.iter().find(|path| path.is_file()).cloned();
    program.ok_or_else(|| LaunchError::MissingProgram { program: directory.join(name) })
}

fn write_file(path: &Path, text: &str) -> Result<(), LaunchError> {
    std::fs::write(path, text).map_err(|cause| LaunchError::File { path: path.into(), cause })
}

impl RunningRegion {
    /// Starts all programs and waits until the controllers answer. State that an earlier run left under `data` is
    /// used again; `operators` is a file of operator settings for all controllers.
    ///
    /// # Errors
    /// A program, port or file is not available, or a program ends during its start.
    pub fn start(
        local: LocalSettings,
        data: &Path,
        operators: Option<&Path>,
        seed: u64,
    ) -> Result<Self, LaunchError> {
        // Another region may have taken a port between the check and the start of the program.
        let mut attempts_left = if local.port == 0 { MAX_START_ATTEMPTS } else { 1 };
        loop {
            attempts_left -= 1;
            match Self::try_start(local.clone(), data, operators, seed) {
                Err(LaunchError::Ended { .. }) if attempts_left > 0 => {}
                other => return other,
            }
        }
    }

    fn try_start(
        local: LocalSettings,
        data: &Path,
        operators: Option<&Path>,
        seed: u64,
    ) -> Result<Self, LaunchError> {
        std::fs::create_dir_all(data)
            .map_err(|cause| LaunchError::File { path: data.into(), cause })?;
        let serve_ports = find_free_ports(local.port, CONTROLLER_COUNT as u16)?;
        let to_loopback_address = |port: &u16| format!("127.0.0.1:{port}");
        let state_address = to_loopback_address(&find_free_port()?);
        let (state_directory, state_file) = (data.join("state"), data.join("state.lisp"));
        write_file(&state_file, &local.state_settings())?;
        let arguments = [
            "--listen",
            &state_address,
            "--data",
            &state_directory.to_string_lossy(),
            "--file",
            &state_file.to_string_lossy(),
        ]
        .map(str::to_owned);
        let mut state = SupervisedProcess::new(
            "oatloom-state",
            find_program("oatloom-state")?,
            arguments.to_vec(),
            data,
        );
        state.start()?;
        wait_for(&mut state, &state_address, "/status")?;

        let shared = FaultContext {
            faults: Arc::new(Mutex::new(FaultSet::default())),
            start: Instant::now(),
        };
        let controllers: Vec<String> = serve_ports.iter().map(to_loopback_address).collect();
        let nodes: Vec<Node> = controllers
            .iter()
            .zip(ZONES)
            .map(|(address, zone)| Node { address: address.clone(), zone: Zone::new(zone) })
            .collect();
        let mesh_addresses: Vec<String> = (0..CONTROLLER_COUNT)
            .map(|_| find_free_port().map(|port| to_loopback_address(&port)))
            .collect::<Result<_, _>>()?;
        let (emulator, cloud) = Emulator::start(
            build_emulated_region(&local, seed),
            nodes.clone(),
            6.0,
            shared.clone(),
        )?;
        let mut addresses = Vec::new();
        for (index, serve) in controllers.iter().enumerate() {
            let start_proxy = |target: &str, service| {
                service_proxy::start(target, service, index, seed, &shared)
                    .map(|address| address.to_string())
            };
            addresses.push(Addresses {
                serve: serve.clone(),
                mesh: mesh_addresses[index].clone(),
                peers: (0..CONTROLLER_COUNT)
                    .map(|peer| {
                        link_proxy::start(&mesh_addresses[peer], (index, peer), &nodes, &shared)
                    })
                    .map(|address| address.map(|address| address.to_string()))
                    .collect::<Result<_, _>>()?,
                state: start_proxy(&state_address, Service::State)?,
                cloud: start_proxy(&cloud.to_string(), Service::Cloud)?,
            });
        }
        let mut controller_processes = Vec::new();
        for index in 0..CONTROLLER_COUNT {
            let name = controller_name(index).to_string();
            let file = data.join(format!("{name}.toml"));
            write_file(&file, &local.controller_settings(index, &addresses))?;
            let mut arguments = vec!["--config".to_owned(), file.to_string_lossy().into_owned()];
            if let Some(path) = operators {
                arguments.extend(["--operators".to_owned(), path.to_string_lossy().into_owned()]);
            }
            let mut process =
                SupervisedProcess::new(&name, find_program("oatloom")?, arguments, data);
            process.start()?;
            controller_processes.push(process);
        }
        let mut running = Self {
            emulator,
            controllers: controllers.clone(),
            local,
            state,
            controller_processes,
            misconfigured: None,
        };
        for (process, address) in running.controller_processes.iter_mut().zip(&controllers) {
            wait_for(process, address, "/up")?;
        }
        Ok(running)
    }

    /// Restarts processes that have ended; call it every [`SUPERVISION_INTERVAL_MS`].
    pub fn supervise(&mut self) {
        for process in self.controller_processes.iter_mut().chain([&mut self.state]) {
            if let Some(status) = process.take_exit_status() {
                process.schedule_restart(status);
            }
        }
        for (index, process) in self.controller_processes.iter_mut().enumerate() {
            if !process.is_restart_due() {
                continue;
            }
            let arguments = process.arguments.clone();
            if self.misconfigured == Some(index) {
                self.misconfigured = None;
                process.arguments = vec!["--config".to_owned(), "/no/such/settings".to_owned()];
            }
            process.restart();
            process.arguments = arguments;
        }
        if self.state.is_restart_due() {
            self.state.restart();
        }
    }

    /// Starts a fault: kills processes itself, and passes every other fault on to the emulator.
    pub fn inject_fault(&mut self, scheduled: &ScheduledFault) {
        tracing::info!("fault: {:?} until {} ms", scheduled.fault, scheduled.until);
        match scheduled.fault {
            Fault::CrashController(index, requested_delay) => {
                self.controller_processes[index].crash(requested_delay)
            }
            Fault::CrashAll(requested_delay) => self
                .controller_processes
                .iter_mut()
                .for_each(|process| process.crash(requested_delay)),
            Fault::RestartState => {
                // Killed rather than shut down, and restarted without a delay.
                self.state.terminate();
                if let Err(e) = self.state.start() {
                    tracing::error!("{e}");
                }
            }
            _ => self.emulator.inject(scheduled),
        }
    }

    /// How often each program has ended. A [`Fault::RestartState`] is not counted.
    pub fn exit_counts(&self) -> HashMap<String, u32> {
        let processes = self.controller_processes.iter().chain([&self.state]);
        processes.map(|process| (process.name.clone(), process.exit_count)).collect()
    }

    /// Resident memory of the controller that uses most, in bytes.
    pub fn max_controller_memory_bytes(&self) -> u64 {
        let read_resident_bytes = |process: &SupervisedProcess| {
            let id = process.child.as_ref()?.id();
            let text = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
            Some(text.split(' ').nth(1)?.parse::<u64>().ok()? * 4096)
        };
        self.controller_processes.iter().filter_map(read_resident_bytes).max().unwrap_or(0)
    }
}

/// Kills the child process, so that none is left behind, also when the start of the region fails halfway.
impl Drop for SupervisedProcess {
    fn drop(&mut self) {
        self.terminate();
    }
}

fn build_emulated_region(local: &LocalSettings, seed: u64) -> Region {
    let to_ms = |s: f64| (s * 1000.0) as u64;
    // Machine names must not be reused, even by a later region with the same state.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let config = CloudConfig {
        flavors: local.flavors(),
        capacity: local.machines,
        boot_ms: (to_ms(local.boot_s * 0.6), to_ms(local.boot_s * 1.5)),
        never_boot_share: 0.02,
        late_boot_share: 0.04,
        list_age_ms: (to_ms(local.list_lag_s), to_ms(local.list_lag_s * 2.0)),
        max_page_machines: 500,
        fetch_ms: None,
        has_varying_prices: true,
        first_machine_number: since_epoch.as_millis() as u64,
        nodes: (0..CONTROLLER_COUNT).map(controller_name).collect(),
    };
    let facts = WorkerFacts {
        report_s: local.report_s,
        lease_s: local.lease_s,
        gang_wait_s: local.gang_wait_s,
        gang_peer_s: local.gang_peer_s,
        cancel_s: local.cancel_s,
    };
    let teams = local.teams.iter().enumerate();
    let make_gpu_limit = |index| Limit::gpus_only(if index == 0 { local.gpus_max } else { 0.0 });
    let limits = teams.map(|(index, team)| (team.clone(), make_gpu_limit(index))).collect();
    let checker = Checker::new(limits, to_ms(local.cancel_s));
    Region::new(config, (&facts).into(), checker, seed)
}

/// Waits until a started program answers with status 200.
fn wait_for(process: &mut SupervisedProcess, address: &str, path: &str) -> Result<(), LaunchError> {
    let client = HttpClient::new(address, POLL_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    let started = Instant::now();
    loop {
        if client.get(path).is_some_and(|(status, _)| status == 200) {
            return Ok(());
        }
        let (program, log) = (process.program.clone(), process.log.clone());
        if let Some(status) = process.take_exit_status() {
            return Err(LaunchError::Ended { program, status, log });
        }
        if started.elapsed() >= Duration::from_millis(START_TIMEOUT_MS.0) {
            return Err(LaunchError::StartTimeout { program, address: address.to_owned(), log });
        }
        std::thread::sleep(Duration::from_millis(SUPERVISION_INTERVAL_MS.0));
    }
}
