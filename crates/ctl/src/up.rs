//! A region that runs until it is told to end, and takes faults from its operator meanwhile.

use crate::constants::*;
use crate::launch::{LaunchError, Running};
use crate::settings::Local;
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

/// What the region itself is asked, beside its controllers.
enum Request {
    /// A fault that begins at once.
    Strike(String),
    /// How the machines are doing.
    Show,
    /// A job's description, which users upload for the machines to fetch.
    Upload(Box<JobSpec>),
}

fn read(method: &str, path: &str, body: &[u8]) -> Result<Request, HttpReply> {
    let bad = |e: String| HttpReply::error(400, &e);
    match (method, path) {
        ("GET", "/region") => Ok(Request::Show),
        ("POST", "/faults") => {
            String::from_utf8(body.to_vec()).map(Request::Strike).map_err(|e| bad(e.to_string()))
        }
        ("POST", "/jobs") => {
            let spec: JobSpec = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
            spec.check().map_err(bad)?;
            Ok(Request::Upload(Box::new(spec)))
        }
        _ => Err(HttpReply::error(404, "no such path")),
    }
}

/// Runs a region until `stop` is set; `said` is told where it is, once it serves.
///
/// # Errors
/// It cannot be started.
pub fn up(
    local: Local,
    data: &Path,
    operators: Option<&Path>,
    timetable: &[ScheduledFault],
    stop: &Arc<AtomicBool>,
    said: impl FnOnce(&[String], &str),
) -> Result<(), LaunchError> {
    let port = local.port;
    let mut running = Running::start(local, data, operators, u64::from(std::process::id()))?;
    // What users have uploaded outlives the machines that fetch it.
    let uploads = data.join("uploads.jsonl");
    for line in std::fs::read_to_string(&uploads).unwrap_or_default().lines() {
        match serde_json::from_str::<JobSpec>(line) {
            Ok(spec) => running.emulator.lock_region().upload_job(&spec),
            Err(e) => tracing::warn!("{}: a line cannot be read: {e}", uploads.display()),
        }
    }
    let failed = |cause| LaunchError::File { path: uploads.clone(), cause };
    let mut kept =
        std::fs::File::options().create(true).append(true).open(&uploads).map_err(failed)?;
    let (sender, requests): (_, Receiver<Incoming<Request>>) = bounded(16);
    let deliver = move |incoming| sender.try_send(incoming).is_ok();
    let own = format!("127.0.0.1:{}", if port == 0 { 0 } else { port + OWN_PORT_BEYOND });
    let answers = server::start(&own, OWN_CONNECTIONS, read, deliver)?;
    said(&running.controllers, &answers.address().to_string());
    let start = running.emulator.shared.now();
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        running.tend();
        let now = running.emulator.shared.now() - start;
        while next < timetable.len() && timetable[next].at <= now {
            running.strike(&timetable[next]);
            next += 1;
        }
        if let Ok(incoming) = requests.recv_timeout(Duration::from_millis(TEND_MS.0)) {
            answer(&mut running, &answers, incoming, &mut kept);
        }
    }
    Ok(())
}

fn answer(
    running: &mut Running,
    answers: &ReplySender,
    incoming: Incoming<Request>,
    kept: &mut std::fs::File,
) {
    let now = running.emulator.shared.now();
    let reply = match incoming.request {
        Request::Strike(text) => match timetable::parse_one(&text, now, CONTROLLERS) {
            Ok(planned) => {
                running.strike(&planned);
                let span = planned.until - planned.at;
                HttpReply::json(200, &serde_json::json!({"fault": text.trim(), "forMs": span}))
            }
            Err(e) => HttpReply::error(400, &e.text),
        },
        Request::Upload(spec) => {
            let line = serde_json::to_string(&spec).unwrap_or_default();
            match writeln!(kept, "{line}") {
                Ok(()) => {
                    running.emulator.lock_region().upload_job(&spec);
                    HttpReply::json(200, &serde_json::json!({}))
                }
                Err(e) => HttpReply::unavailable(&format!("the upload cannot be kept: {e}")),
            }
        }
        Request::Show => {
            let region = running.emulator.lock_region();
            HttpReply::json(
                200,
                &serde_json::json!({
                    "machines": region.workers.len(),
                    "tasks": region.count_tasks(),
                    "starts": region.checker.start_count,
                    "rulesBroken": region.checker.violations,
                    "ends": running.ends(),
                }),
            )
        }
    };
    answers.send(incoming.caller, reply);
}
