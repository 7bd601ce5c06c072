//! Threads, sockets and the clock of the service: one thread serves all connections, one runs the engine, one writes
//! the log and one writes snapshots.

use crate::api::{self, Request};
use crate::constants::*;
use crate::disk::{Directory, lock};
use crate::engine::{Action, Engine, Event, InFlightWrite, RequestId};
use crate::recovery::{RecoveryError, recover};
use crate::settings::Settings;
use crate::wal::{AppendError, Group, SnapshotStep, SnapshotWriter, WriteAheadLog};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use oatloom_protocol::ids::Mono;
use oatloom_web::server::{self, ConnectionId, Incoming};
use oatloom_web::{StartError, spawn};
use std::collections::HashMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Why the service ended or did not start.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The data directory cannot be created or locked.
    #[error("{directory}: {cause}")]
    Directory { directory: String, cause: std::io::Error },
    /// The state cannot be recovered from the data directory.
    #[error("{directory}: {error}")]
    Recovery { directory: String, error: RecoveryError },
    /// The server cannot listen at the address.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The log or snapshot thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// A write failed while serving, and it is unknown what was written. Recovery at the next start finds out.
    #[error("the disk failed: {0}")]
    Disk(String),
}

impl ServiceError {
    /// Whether the service failed while serving, not at the start.
    pub fn is_while_serving(&self) -> bool {
        matches!(self, Self::Disk(_))
    }
}

/// What the connections and the writer threads send to the engine thread.
enum Input {
    Http(Incoming<Request>),
    Event(Event),
}

/// Milliseconds since the start of the process.
struct Clock(Instant);

impl Clock {
    fn now(&self) -> Mono {
        Mono(self.0.elapsed().as_millis() as u64)
    }
}

/// Runs the engine: feeds it events and executes its actions.
struct Runtime {
    engine: Engine,
    clock: Clock,
    reply_sender: server::ReplySender,
    /// The connection that waits for the reply to each pending request.
    connections: HashMap<RequestId, ConnectionId>,
    last_request_id: u64,
    group_sender: Sender<Group>,
    step_sender: Sender<SnapshotStep>,
}

/// Serves a data directory at an address until the process is killed. Calls `on_ready` once requests are accepted.
///
/// # Errors
/// The directory or the address cannot be used, or the disk failed while serving.
pub fn run(
    address: &str,
    directory: &Path,
    settings: Settings,
    on_ready: impl FnOnce(),
) -> Result<(), ServiceError> {
    let get_directory_name = || directory.display().to_string();
    let directory_lock = lock(directory)
        .map_err(|cause| ServiceError::Directory { directory: get_directory_name(), cause })?;
    let clock = Clock(Instant::now());
    let mut disk = Directory::new(directory);
    let recovered = recover(&mut disk, clock.now())
        .map_err(|error| ServiceError::Recovery { directory: get_directory_name(), error })?;
    for warning in &recovered.warnings {
        tracing::warn!("{warning}");
    }
    tracing::info!(
        keys = recovered.keyspace.len(),
        epoch = recovered.keyspace.revision(),
        read_ms = clock.now().0,
        "recovered the data directory"
    );
    let (input_sender, inputs) = bounded(MAX_QUEUED_EVENT_COUNT);
    let log = WriteAheadLog::new(
        Directory::new(directory),
        recovered.log_file.clone(),
        recovered.log_file_length,
        settings.sync,
    );
    let group_sender = start_log_thread(log, input_sender.clone())?;
    let step_sender = start_snapshot_thread(
        SnapshotWriter::new(Directory::new(directory)),
        input_sender.clone(),
    )?;
    let request_settings = settings.clone();
    let parse_request = move |method: &str, path: &str, body: &[u8]| {
        api::parse(&request_settings, method, path, body)
    };
    let enqueue = move |incoming| input_sender.try_send(Input::Http(incoming)).is_ok();
    let reply_sender = server::start(address, settings.connections, parse_request, enqueue)?;
    let now = clock.now();
    let engine = Engine::new(&settings, recovered, now);
    let mut runtime = Runtime {
        engine,
        clock,
        reply_sender,
        connections: HashMap::new(),
        last_request_id: 0,
        group_sender,
        step_sender,
    };
    on_ready();
    let cause = runtime.serve(&inputs);
    drop(directory_lock);
    Err(ServiceError::Disk(cause))
}

impl Runtime {
    /// Serves until a disk failure that only recovery can resolve, and returns its cause.
    fn serve(&mut self, inputs: &Receiver<Input>) -> String {
        loop {
            let event = match inputs.recv_timeout(Duration::from_millis(TICK_INTERVAL_MS.0)) {
                Ok(Input::Event(event)) => event,
                Ok(Input::Http(incoming)) => {
                    self.last_request_id += 1;
                    let request_id = RequestId(self.last_request_id);
                    self.connections.insert(request_id, incoming.caller);
                    Event::Request { request_id, request: incoming.request }
                }
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return "all event sources ended".to_owned(),
            };
            for action in self.engine.handle(self.clock.now(), event) {
                match action {
                    Action::Reply { request_id, reply } => {
                        if let Some(connection) = self.connections.remove(&request_id) {
                            self.reply_sender.send(connection, reply);
                        }
                    }
                    // The engine has at most one group and one step in flight, so neither channel is ever full.
                    Action::Write(group) => {
                        if self.group_sender.send(group).is_err() {
                            return "the log thread ended".to_owned();
                        }
                    }
                    Action::Snapshot(step) => {
                        if self.step_sender.send(step).is_err() {
                            return "the snapshot thread ended".to_owned();
                        }
                    }
                    Action::Fail(cause) => return cause,
                }
            }
        }
    }
}

fn start_log_thread(
    mut log: WriteAheadLog<Directory>,
    input_sender: Sender<Input>,
) -> std::io::Result<Sender<Group>> {
    let (sender, groups) = bounded::<Group>(1);
    spawn("log", move || {
        while let Ok(group) = groups.recv() {
            let number = group.number;
            let outcome = match log.append(&group) {
                Ok(()) => InFlightWrite::Durable,
                Err(AppendError::NotWritten(e)) => {
                    InFlightWrite::NotWritten { group, cause: e.to_string() }
                }
                Err(AppendError::Unknown(e)) => InFlightWrite::Unknown { cause: e.to_string() },
            };
            if input_sender.send(Input::Event(Event::GroupWritten { number, outcome })).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}

fn start_snapshot_thread(
    mut writer: SnapshotWriter<Directory>,
    input_sender: Sender<Input>,
) -> std::io::Result<Sender<SnapshotStep>> {
    let (sender, steps) = bounded::<SnapshotStep>(1);
    spawn("snapshot", move || {
        while let Ok(step) = steps.recv() {
            let result = writer.execute(&step);
            match (&result, &step) {
                (Err(e), _) => tracing::warn!("cannot write a snapshot: {e}"),
                (Ok(()), SnapshotStep::Close(footer)) => {
                    tracing::info!(
                        keys = footer.row_count,
                        epoch = footer.revision,
                        "completed a snapshot"
                    );
                }
                _ => {}
            }
            let event = Event::SnapshotStepDone { succeeded: result.is_ok() };
            if input_sender.send(Input::Event(event)).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}
