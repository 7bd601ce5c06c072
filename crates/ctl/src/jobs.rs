//! The subcommands for jobs: requests, printed results and exit codes.

use crate::constants::*;
use indicatif::{ProgressBar, ProgressStyle};
use oatloom_client::controllers::{Controllers, JobRequest, JobResponse};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, JobStatus, JobView, Rank, Shape};
use serde::de::DeserializeOwned;
use std::io::IsTerminal;
use std::path::Path;
use std::time::Duration;

/// Exit codes of the program.
pub mod exit {
    /// The command succeeded.
    pub const SUCCESS: u8 = 0;
    /// The request was refused, the id is unknown, or the job did not finish as done.
    pub const FAILURE: u8 = 1;
    /// An argument is invalid, or a file, directory, port or address cannot be used.
    pub const USAGE_ERROR: u8 = 2;
    /// No controller answered in time.
    pub const NO_ANSWER: u8 = 3;
}

/// Command line options that describe a job, instead of a file.
#[derive(Clone, Debug, clap::Args)]
pub struct JobOptions {
    /// Kind of the job
    #[arg(long, value_enum)]
    pub shape: Option<ShapeArg>,
    /// Its id, `req-` and digits; an unused one if left out
    #[arg(long, value_name = "ID")]
    pub id: Option<String>,
    /// The team whose usage it counts towards
    #[arg(long, default_value = "red")]
    pub team: String,
    /// Its job class
    #[arg(long, default_value = "quick")]
    pub class: String,
    #[arg(long, value_enum, default_value = "standard")]
    pub rank: RankArg,
    /// Number of tasks
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// Cores per task
    #[arg(long, default_value_t = 1.0)]
    pub cpus: f64,
    #[arg(long, default_value_t = 0.0)]
    pub gpus: f64,
    #[arg(long, default_value_t = 1.0)]
    pub memory_gb: f64,
    /// The image that its tasks need
    #[arg(long, default_value = "img-0")]
    pub image: String,
    #[arg(long, default_value_t = 1.0)]
    pub image_gb: f64,
    /// Expected run time of a task, in seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 3.0)]
    pub estimate_s: f64,
    /// Deadline, in seconds from now
    #[arg(long, value_name = "SECONDS")]
    pub due_s: Option<f64>,
    /// Jobs that must be done before it starts, separated by commas
    #[arg(long = "awaits", value_name = "ID", value_delimiter = ',')]
    pub dependencies: Vec<String>,
    /// Allow spot machines, which the cloud can take back
    #[arg(long)]
    pub spot: bool,
}

/// Value of `--shape`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ShapeArg {
    Array,
    Gang,
    Service,
}

/// Value of `--rank`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RankArg {
    Low,
    Standard,
    High,
    Critical,
}

impl JobOptions {
    /// Builds the job that the options describe, with an id made from `number` if none was given; `None` without a
    /// shape.
    pub fn build_spec(&self, number: u64) -> Option<JobSpec> {
        let shape = match self.shape? {
            ShapeArg::Array => Shape::Array,
            ShapeArg::Gang => Shape::Gang,
            ShapeArg::Service => Shape::Service,
        };
        let id = self.id.clone().unwrap_or_else(|| format!("req-{number}"));
        Some(JobSpec {
            id: JobId::new(&id),
            class: self.class.clone(),
            team: self.team.clone(),
            shape,
            rank: match self.rank {
                RankArg::Low => Rank::Low,
                RankArg::Standard => Rank::Standard,
                RankArg::High => Rank::High,
                RankArg::Critical => Rank::Critical,
            },
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image.clone(),
            image_gb: self.image_gb,
            flavors: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: self.spot,
            estimate_s: if shape == Shape::Service { 0.0 } else { self.estimate_s },
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: self.due_s,
            dependencies: self.dependencies.iter().map(|id| JobId::new(id)).collect(),
        })
    }
}

/// Reads a JSON file.
///
/// # Errors
/// A message for the user if the file cannot be read, is not JSON, or has other fields.
pub(crate) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))
}

/// Reads and checks a job file.
///
/// # Errors
/// A message for the user if the file cannot be read, is not JSON, or is not a valid job.
pub fn read_job(path: &Path) -> Result<JobSpec, String> {
    let spec: JobSpec = read_json(path)?;
    spec.check().map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(spec)
}

/// Prints the result of a request, errors on standard error unless `json` is set, and returns the exit code.
fn print_result(id: &JobId, result: &JobResponse, json: bool) -> u8 {
    let (text, value, exit_code) = match result {
        JobResponse::View(view) => {
            let tasks = format!("{} done, {} running", view.done, view.running);
            let status_name = serde_json::json!(view.status);
            let mut text = format!("{id}: {} ({tasks})", status_name.as_str().unwrap_or_default());
            if !view.waits_for.is_empty() {
                let ids: Vec<&str> = view.waits_for.iter().map(JobId::as_str).collect();
                text += &format!(", waits for {}", ids.join(", "));
            }
            if let Some(failure) = &view.failure {
                let (task, failure_count) = (&failure.task, failure.failures);
                let (class, repeats) = (&failure.class, failure.repeats);
                text += &format!(
                    ": {task} failed {failure_count} times, class {class} allows {repeats} repeats"
                );
            }
            (text, serde_json::json!(view), exit::SUCCESS)
        }
        JobResponse::Rejected(404, _) => {
            let value = serde_json::json!({"nameId": id, "error": "no such job"});
            (format!("{id}: no such job"), value, exit::FAILURE)
        }
        JobResponse::Rejected(code, body) => {
            let value = serde_json::json!({"nameId": id, "refused": code, "error": body});
            (format!("{id}: refused: {body}"), value, exit::FAILURE)
        }
        JobResponse::Unreachable => {
            let text = "no controller can be reached; --controllers says where they are";
            let value = serde_json::json!({"nameId": id, "error": text});
            (format!("{id}: {text}"), value, exit::USAGE_ERROR)
        }
        JobResponse::NoFinalResponse(text) => {
            let value = serde_json::json!({"nameId": id, "error": text});
            (format!("{id}: no usable answer from any controller: {text}"), value, exit::NO_ANSWER)
        }
    };
    match (json, exit_code) {
        (true, _) => println!("{value}"),
        (false, exit::SUCCESS) => println!("{text}"),
        (false, _) => eprintln!("oatloomctl: {text}"),
    }
    exit_code
}

/// Sends a request, with retries until [`REQUEST_RETRY_TIMEOUT_MS`] has passed, and prints the result.
pub fn send_request(controllers: &mut Controllers, request: &JobRequest, json: bool) -> u8 {
    let result = controllers.request_with_retry(request, REQUEST_RETRY_TIMEOUT_MS);
    print_result(request.id(), &result, json)
}

/// Follows jobs until all are finished. Shows a progress bar for one job on a terminal, otherwise a line per change.
pub fn watch(controllers: &mut Controllers, ids: &[JobId], tasks: Option<u32>, json: bool) -> u8 {
    let bar = (!json && std::io::stderr().is_terminal() && ids.len() == 1).then(|| {
        let bar = ProgressBar::new(u64::from(tasks.unwrap_or(0)));
        let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} tasks, {elapsed}");
        bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    });
    let mut worst_exit_code = exit::SUCCESS;
    let mut unfinished: Vec<(JobId, Option<JobView>)> =
        ids.iter().map(|id| (id.clone(), None)).collect();
    while !unfinished.is_empty() {
        let mut still_unfinished = Vec::new();
        for (id, previous) in unfinished {
            match controllers
                .request_with_retry(&JobRequest::View(id.clone()), REQUEST_RETRY_TIMEOUT_MS)
            {
                JobResponse::View(view) => {
                    let is_finished = view.status.is_final();
                    if is_finished && view.status != JobStatus::Done {
                        worst_exit_code = worst_exit_code.max(exit::FAILURE);
                    }
                    match &bar {
                        Some(bar) => {
                            bar.set_position(u64::from(view.done));
                            bar.set_message(format!("{id} {:?}", view.status));
                        }
                        None if previous.as_ref() != Some(&view) => {
                            print_result(&id, &JobResponse::View(view.clone()), json);
                        }
                        None => {}
                    }
                    if !is_finished {
                        still_unfinished.push((id, Some(view)));
                    } else if let Some(bar) = &bar {
                        bar.finish_and_clear();
                        print_result(&id, &JobResponse::View(view), json);
                    }
                }
                result => worst_exit_code = worst_exit_code.max(print_result(&id, &result, json)),
            }
        }
        unfinished = still_unfinished;
        if !unfinished.is_empty() {
            std::thread::sleep(Duration::from_millis(WATCH_INTERVAL_MS.0));
        }
    }
    worst_exit_code
}

/// Submits a job, and follows it to its end if `wait` is set.
pub fn submit(controllers: &mut Controllers, spec: JobSpec, wait: bool, json: bool) -> u8 {
    let (id, tasks) = (spec.id.clone(), spec.tasks);
    let result = controllers
        .request_with_retry(&JobRequest::Submit(Box::new(spec)), REQUEST_RETRY_TIMEOUT_MS);
    if !wait || !matches!(result, JobResponse::View(_)) {
        return print_result(&id, &result, json);
    }
    watch(controllers, &[id], Some(tasks), json)
}
