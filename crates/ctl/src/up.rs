//! Runs a region until it is stopped. Meanwhile the region accepts faults and job descriptions over HTTP.

use crate::constants::*;
use crate::launch::{LaunchError, RunningRegion};
use crate::settings::LocalSettings;
use crossbeam::channel::{Receiver, bounded};
use oatloom_emulator::faults::ScheduledFault;
use oatloom_emulator::timetable;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::JobSpec;
use oatloom_web::server::{self, Incoming, ReplySender};
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request to the address of the region itself, not to a controller.
enum Request {
    /// Starts a fault at once.
    InjectFault(String),
    /// Returns counts of machines, tasks and rule violations.
    Status,
    /// Stores a job description for the emulated machines to fetch.
    UploadJob(Box<JobSpec>),
}

fn parse_request(method: &str, path: &str, body: &[u8]) -> Result<Request, HttpReply> {
    let bad_request = |e: String| HttpReply::error(400, &e);
    match (method, path) {
        ("GET", "/region") => Ok(Request::Status),
        ("POST", "/faults") => String::from_utf8(body.to_vec())
            .map(Request::InjectFault)
            .map_err(|e| bad_request(e.to_string())),
        ("POST", "/jobs") => {
            let spec: JobSpec =
                serde_json::from_slice(body).map_err(|e| bad_request(e.to_string()))?;
            spec.check().map_err(bad_request)?;
            Ok(Request::UploadJob(Box::new(spec)))
        }
        _ => Err(HttpReply::error(404, "no such path")),
    }
}

/// Runs a region until `stop` is set. `on_ready` gets the addresses of the controllers and of the region once they
/// accept requests.
///
/// # Errors
/// The region cannot be started.
pub fn up(
    local: LocalSettings,
    data: &Path,
    operators: Option<&Path>,
    timetable: &[ScheduledFault],
    stop: &Arc<AtomicBool>,
    on_ready: impl FnOnce(&[String], &str),
) -> Result<(), LaunchError> {
    let port = local.port;
    let mut running = RunningRegion::start(local, data, operators, u64::from(std::process::id()))?;
    // Uploaded job descriptions are kept on disk so that machines of a later run can fetch them.
    let uploads_path = data.join("uploads.jsonl");
    for line in std::fs::read_to_string(&uploads_path).unwrap_or_default().lines() {
        match serde_json::from_str::<JobSpec>(line) {
            Ok(spec) => running.emulator.lock_region().upload_job(&spec),
            Err(e) => tracing::warn!(
                "{}: skipping an invalid job description: {e}",
                uploads_path.display()
            ),
        }
    }
    let file_error = |cause| LaunchError::File { path: uploads_path.clone(), cause };
    let mut upload_log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(&uploads_path)
        .map_err(file_error)?;
    let (sender, requests): (_, Receiver<Incoming<Request>>) = bounded(16);
    let deliver = move |incoming| sender.try_send(incoming).is_ok();
    let region_address =
        format!("127.0.0.1:{}", if port == 0 { 0 } else { port + REGION_PORT_OFFSET });
    let reply_sender =
        server::start(&region_address, MAX_REGION_CONNECTIONS, parse_request, deliver)?;
    on_ready(&running.controllers, &reply_sender.address().to_string());
    let start = running.emulator.shared.now();
    let mut next_fault = 0;
    while !stop.load(Ordering::Relaxed) {
        running.supervise();
        let now = running.emulator.shared.now() - start;
        while next_fault < timetable.len() && timetable[next_fault].at <= now {
            running.inject_fault(&timetable[next_fault]);
            next_fault += 1;
        }
        if let Ok(incoming) =
            requests.recv_timeout(Duration::from_millis(SUPERVISION_INTERVAL_MS.0))
        {
            handle_request(&mut running, &reply_sender, incoming, &mut upload_log);
        }
    }
    Ok(())
}

/// Handles a request to the address of the region itself and sends the reply.
fn handle_request(
    running: &mut RunningRegion,
    reply_sender: &ReplySender,
    incoming: Incoming<Request>,
    upload_log: &mut std::fs::File,
) {
    let now = running.emulator.shared.now();
    let reply = match incoming.request {
        Request::InjectFault(text) => match timetable::parse_one(&text, now, CONTROLLER_COUNT) {
            Ok(scheduled) => {
                running.inject_fault(&scheduled);
                let duration_ms = scheduled.until - scheduled.at;
                HttpReply::json(
                    200,
                    &serde_json::json!({"fault": text.trim(), "forMs": duration_ms}),
                )
            }
            Err(e) => HttpReply::error(400, &e.text),
        },
        Request::UploadJob(spec) => {
            let line = serde_json::to_string(&spec).unwrap_or_default();
            match writeln!(upload_log, "{line}") {
                Ok(()) => {
                    running.emulator.lock_region().upload_job(&spec);
                    HttpReply::json(200, &serde_json::json!({}))
                }
                Err(e) => {
                    HttpReply::unavailable(&format!("the uploaded job cannot be stored: {e}"))
                }
            }
        }
        Request::Status => {
            let region = running.emulator.lock_region();
            HttpReply::json(
                200,
                &serde_json::json!({
                    "machines": region.workers.len(),
                    "tasks": region.count_tasks(),
                    "starts": region.checker.start_count,
                    "rulesBroken": region.checker.violations,
                    "ends": running.exit_counts(),
                }),
            )
        }
    };
    reply_sender.send(incoming.caller, reply);
}
