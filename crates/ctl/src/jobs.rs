//! Jobs from the command line: what is asked, what is printed, and the status that scripts see.

use crate::constants::*;
use indicatif::{ProgressBar, ProgressStyle};
use oatloom_client::controllers::{Controllers, JobRequest, JobResponse};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::wire::{JobSpec, JobStatus, JobView, Rank, Shape};
use serde::de::DeserializeOwned;
use std::io::IsTerminal;
use std::path::Path;
use std::time::Duration;

/// Statuses of the program.
pub mod exit {
    /// All is well.
    pub const GOOD: u8 = 0;
    /// Refused, not known, or ended otherwise than done.
    pub const BAD: u8 = 1;
    /// Wrongly asked: an argument, a file, a directory, a port.
    pub const WRONG: u8 = 2;
    /// No controller gave an answer in time.
    pub const NO_ANSWER: u8 = 3;
}

/// A job by its options, where no file describes it.
#[derive(Clone, Debug, clap::Args)]
pub struct Sketch {
    /// What kind of job it is
    #[arg(long, value_enum)]
    pub shape: Option<ShapeWord>,
    /// Its id, `req-` and digits; one that nobody else uses if left out
    #[arg(long, value_name = "ID")]
    pub id: Option<String>,
    /// The team it counts for
    #[arg(long, default_value = "red")]
    pub team: String,
    /// Its class of jobs
    #[arg(long, default_value = "quick")]
    pub class: String,
    #[arg(long, value_enum, default_value = "standard")]
    pub rank: RankWord,
    /// Number of tasks
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// Cores of each task
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
    /// By when it should be done, in seconds from now
    #[arg(long, value_name = "SECONDS")]
    pub due_s: Option<f64>,
    /// Jobs that have to be done before it starts; several with commas between
    #[arg(long = "awaits", value_name = "ID", value_delimiter = ',')]
    pub dependencies: Vec<String>,
    /// It may run on machines that the cloud can take back
    #[arg(long)]
    pub spot: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ShapeWord {
    Array,
    Gang,
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum RankWord {
    Low,
    Standard,
    High,
    Critical,
}

impl Sketch {
    /// The job, with an id from `number` if none was given.
    pub fn spec(&self, number: u64) -> Option<JobSpec> {
        let shape = match self.shape? {
            ShapeWord::Array => Shape::Array,
            ShapeWord::Gang => Shape::Gang,
            ShapeWord::Service => Shape::Service,
        };
        let id = self.id.clone().unwrap_or_else(|| format!("req-{number}"));
        Some(JobSpec {
            id: JobId::new(&id),
            class: self.class.clone(),
            team: self.team.clone(),
            shape,
            rank: match self.rank {
                RankWord::Low => Rank::Low,
                RankWord::Standard => Rank::Standard,
                RankWord::High => Rank::High,
                RankWord::Critical => Rank::Critical,
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

/// Reads a file of JSON.
///
/// # Errors
/// It cannot be read, is not JSON, or describes something else; the text says what is wrong.
pub(crate) fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot be read: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{name}: {e}"))
}

/// Reads a job's file.
///
/// # Errors
/// It cannot be read, is not JSON, or describes no job; the text says what is wrong.
pub fn read(path: &Path) -> Result<JobSpec, String> {
    let spec: JobSpec = read_json(path)?;
    spec.check().map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(spec)
}

/// Says what became of a request, and what scripts see of it.
fn say(id: &JobId, told: &JobResponse, json: bool) -> u8 {
    let (text, value, status) = match told {
        JobResponse::View(view) => {
            let tasks = format!("{} done, {} running", view.done, view.running);
            let word = serde_json::json!(view.status);
            let mut text = format!("{id}: {} ({tasks})", word.as_str().unwrap_or_default());
            if !view.waits_for.is_empty() {
                let ids: Vec<&str> = view.waits_for.iter().map(JobId::as_str).collect();
                text += &format!(", waits for {}", ids.join(", "));
            }
            if let Some(failure) = &view.failure {
                let (task, times) = (&failure.task, failure.failures);
                let (class, repeats) = (&failure.class, failure.repeats);
                text += &format!(
                    ": {task} failed {times} times, class {class} allows {repeats} repeats"
                );
            }
            (text, serde_json::json!(view), exit::GOOD)
        }
        JobResponse::Rejected(404, _) => {
            let value = serde_json::json!({"nameId": id, "error": "no such job"});
            (format!("{id}: no such job"), value, exit::BAD)
        }
        JobResponse::Rejected(code, body) => {
            let value = serde_json::json!({"nameId": id, "refused": code, "error": body});
            (format!("{id}: refused: {body}"), value, exit::BAD)
        }
        JobResponse::Unreachable => {
            let text = "no controller can be reached; --controllers says where they are";
            let value = serde_json::json!({"nameId": id, "error": text});
            (format!("{id}: {text}"), value, exit::WRONG)
        }
        JobResponse::NoFinalResponse(text) => {
            let value = serde_json::json!({"nameId": id, "error": text});
            (format!("{id}: no answer that counts: {text}"), value, exit::NO_ANSWER)
        }
    };
    match (json, status) {
        (true, _) => println!("{value}"),
        (false, exit::GOOD) => println!("{text}"),
        (false, _) => eprintln!("oatloomctl: {text}"),
    }
    status
}

/// Asks once, insisting as long as a user does.
pub fn ask(controllers: &mut Controllers, wish: &JobRequest, json: bool) -> u8 {
    let told = controllers.request_with_retry(wish, REQUEST_RETRY_TIMEOUT_MS);
    say(wish.id(), &told, json)
}

/// Follows jobs until all are over. A bar on a terminal, a line for each change elsewhere.
pub fn watch(controllers: &mut Controllers, ids: &[JobId], tasks: Option<u32>, json: bool) -> u8 {
    let bar = (!json && std::io::stderr().is_terminal() && ids.len() == 1).then(|| {
        let bar = ProgressBar::new(u64::from(tasks.unwrap_or(0)));
        let style = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} tasks, {elapsed}");
        bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
    });
    let mut worst = exit::GOOD;
    let mut open: Vec<(JobId, Option<JobView>)> = ids.iter().map(|id| (id.clone(), None)).collect();
    while !open.is_empty() {
        let mut still = Vec::new();
        for (id, before) in open {
            match controllers
                .request_with_retry(&JobRequest::View(id.clone()), REQUEST_RETRY_TIMEOUT_MS)
            {
                JobResponse::View(view) => {
                    let over = view.status.is_final();
                    if over && view.status != JobStatus::Done {
                        worst = worst.max(exit::BAD);
                    }
                    match &bar {
                        Some(bar) => {
                            bar.set_position(u64::from(view.done));
                            bar.set_message(format!("{id} {:?}", view.status));
                        }
                        None if before.as_ref() != Some(&view) => {
                            say(&id, &JobResponse::View(view.clone()), json);
                        }
                        None => {}
                    }
                    if !over {
                        still.push((id, Some(view)));
                    } else if let Some(bar) = &bar {
                        bar.finish_and_clear();
                        say(&id, &JobResponse::View(view), json);
                    }
                }
                told => worst = worst.max(say(&id, &told, json)),
            }
        }
        open = still;
        if !open.is_empty() {
            std::thread::sleep(Duration::from_millis(WATCH_EVERY_MS.0));
        }
    }
    worst
}

/// Submits a job, and follows it if asked to.
pub fn submit(controllers: &mut Controllers, spec: JobSpec, wait: bool, json: bool) -> u8 {
    let (id, tasks) = (spec.id.clone(), spec.tasks);
    let told = controllers
        .request_with_retry(&JobRequest::Submit(Box::new(spec)), REQUEST_RETRY_TIMEOUT_MS);
    if !wait || !matches!(told, JobResponse::View(_)) {
        return say(&id, &told, json);
    }
    watch(controllers, &[id], Some(tasks), json)
}
