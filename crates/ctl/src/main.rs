//! The command line arguments of `oatloomctl` and the dispatch of its subcommands.

use clap::{Parser, Subcommand};
use oatloom_client::controllers::{Controllers, JobRequest};
use oatloom_ctl::constants::{
    CONTROLLER_COUNT, FIRST_CONTROLLER_PORT, MAX_RESPONSE_BYTES, REGION_PORT_OFFSET,
    SUBMIT_TIMEOUT_MS,
};
use oatloom_ctl::graphs;
use oatloom_ctl::jobs::{self, JobOptions, exit};
use oatloom_ctl::schemas;
use oatloom_ctl::settings::LocalSettings;
use oatloom_ctl::suite::{self, Scenario, SuiteLength, SuiteReport};
use oatloom_ctl::up;
use oatloom_ctl::usage::{self, UsageQuery};
use oatloom_logging::Format;
use oatloom_protocol::ids::JobId;
use oatloom_web::client::HttpClient;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Runs an oatloom region on this machine, submits jobs, and rehearses failures.
#[derive(Parser)]
#[command(
    name = "oatloomctl",
    version,
    about,
    after_help = "Exit code: 0 success; 1 request refused, unknown id, or not finished as done; \
    2 invalid arguments, or a file, port or address that cannot be used; \
    3 no controller answered in time. \
    LOG_LEVEL sets the level of the log on standard error."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Format of the log
    #[arg(long, value_enum, default_value_t, global = true)]
    log_format: Format,
}

/// Addresses of the controllers, and the output format.
#[derive(clap::Args)]
struct ControllerOptions {
    /// Addresses of the controllers, separated by commas
    #[arg(
        long,
        global = true,
        env = "OATLOOM_CONTROLLERS",
        value_delimiter = ',',
        value_name = "ADDRESSES"
    )]
    controllers: Vec<SocketAddr>,
    /// Print one line of JSON instead of text
    #[arg(long, global = true)]
    json: bool,
}

impl ControllerOptions {
    /// The addresses given on the command line, or those of a region that `up` started with its default port.
    fn addresses(&self) -> Vec<String> {
        if self.controllers.is_empty() {
            (0..CONTROLLER_COUNT as u16)
                .map(|n| format!("127.0.0.1:{}", FIRST_CONTROLLER_PORT + n))
                .collect()
        } else {
            self.controllers.iter().map(SocketAddr::to_string).collect()
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole region on this machine until Ctrl-C
    Up {
        /// Settings of the region (an S-expression; see deploy/local.lisp)
        #[arg(long, value_name = "FILE")]
        file: Option<PathBuf>,
        /// Directory of its state and logs; a later start with it continues the same jobs
        #[arg(long, value_name = "DIR", default_value = "region")]
        data: PathBuf,
        /// Operator settings for all controllers
        #[arg(long, value_name = "FILE")]
        operators: Option<PathBuf>,
        /// Faults at given times (S-expressions; see docs/rehearsals.md)
        #[arg(long, value_name = "FILE")]
        timetable: Option<PathBuf>,
    },
    /// Submit a job, described by a file (JSON) or by options
    Submit {
        file: Option<PathBuf>,
        #[command(flatten)]
        job_options: JobOptions,
        /// Wait until the job is finished
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        controllers: ControllerOptions,
        /// Address of a region started by `up`, whose emulated machines fetch the job from it
        #[arg(long, env = "OATLOOM_REGION", value_name = "ADDRESS")]
        region: Option<SocketAddr>,
    },
    /// Print the status of a job
    Status {
        id: String,
        #[command(flatten)]
        controllers: ControllerOptions,
    },
    /// Cancel a job
    Abort {
        id: String,
        #[command(flatten)]
        controllers: ControllerOptions,
    },
    /// Print status changes of jobs until all are finished
    Watch {
        #[arg(required = true)]
        ids: Vec<String>,
        #[command(flatten)]
        controllers: ControllerOptions,
    },
    /// Print the recorded usage by day, team and class, if usage accounting is on
    Usage {
        #[command(flatten)]
        query: UsageQuery,
        #[command(flatten)]
        controllers: ControllerOptions,
    },
    /// Task graphs, if the controllers serve them
    Graph {
        #[command(subcommand)]
        command: graphs::Command,
        #[command(flatten)]
        controllers: ControllerOptions,
    },
    /// Print the JSON Schemas of the HTTP messages, or write them to a directory
    Schema {
        /// Print only this schema
        name: Option<String>,
        #[arg(long, value_name = "DIR", conflicts_with = "name")]
        write: Option<PathBuf>,
    },
    /// Start a fault in a running region, such as "(state-refuse (for 6))"
    Fault {
        fault: String,
        #[arg(long, env = "OATLOOM_REGION", value_name = "ADDRESS")]
        region: Option<SocketAddr>,
    },
    /// Run jobs under injected faults, and check the answers of every job and the scheduling rules
    Suite {
        /// Run for half a minute instead of minutes
        #[arg(long)]
        quick: bool,
        /// Seed of the random jobs and faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value = "mixed")]
        scenario: Scenario,
        /// Further faults at given times
        #[arg(long, value_name = "FILE")]
        timetable: Option<PathBuf>,
        /// Directory of the logs; a temporary directory if left out
        #[arg(long, value_name = "DIR")]
        data: Option<PathBuf>,
        /// Write the report to this file as JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

/// The exit code and message of a failed command.
struct CommandError(u8, String);

/// An error that ends the program with the exit code for invalid arguments or files.
fn usage_error(text: impl std::fmt::Display) -> CommandError {
    CommandError(exit::USAGE_ERROR, text.to_string())
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|e| usage_error(format!("{}: cannot be read: {e}", path.display())))
}

fn parse_job_id(id: &str) -> Result<JobId, CommandError> {
    JobId::parse(id)
        .ok_or_else(|| usage_error(format!("{id}: not a job id; an id is `req-` and digits")))
}

/// The given address, or that of a region that `up` started with its default port.
fn resolve_region_address(region: Option<SocketAddr>) -> String {
    region.map_or_else(
        || format!("127.0.0.1:{}", FIRST_CONTROLLER_PORT + REGION_PORT_OFFSET),
        |address| address.to_string(),
    )
}

fn run(arguments: Arguments) -> Result<u8, CommandError> {
    let default_level = match &arguments.command {
        Command::Up { .. } => "info",
        _ => "warn",
    };
    oatloom_logging::init(default_level, arguments.log_format).map_err(usage_error)?;
    match arguments.command {
        Command::Up { file, data, operators, timetable } => {
            let local = match &file {
                Some(path) => LocalSettings::parse(&read_file(path)?)
                    .map_err(|e| usage_error(format!("{}: {e}", path.display())))?,
                None => LocalSettings::default(),
            };
            run_up(local, &data, operators.as_deref(), timetable.as_deref())
        }
        Command::Submit { file, job_options, wait, controllers, region } => {
            let id_number = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as u64);
            let spec = match (&file, job_options.build_spec(id_number)) {
                (Some(path), None) => jobs::read_job(path).map_err(usage_error)?,
                (None, Some(spec)) => {
                    spec.check().map_err(usage_error)?;
                    spec
                }
                _ => {
                    return Err(usage_error(
                        "a job is described by a file or by --shape, not by both",
                    ));
                }
            };
            upload_job_to_region(region, &controllers, &serde_json::json!(spec));
            Ok(jobs::submit(
                &mut Controllers::new(&controllers.addresses()),
                spec,
                wait,
                controllers.json,
            ))
        }
        Command::Status { id, controllers } => {
            let request = JobRequest::View(parse_job_id(&id)?);
            Ok(jobs::send_request(
                &mut Controllers::new(&controllers.addresses()),
                &request,
                controllers.json,
            ))
        }
        Command::Abort { id, controllers } => {
            let request = JobRequest::Abort(parse_job_id(&id)?);
            Ok(jobs::send_request(
                &mut Controllers::new(&controllers.addresses()),
                &request,
                controllers.json,
            ))
        }
        Command::Watch { ids, controllers } => {
            let ids: Vec<JobId> =
                ids.iter().map(|id| parse_job_id(id)).collect::<Result<_, _>>()?;
            Ok(jobs::watch(
                &mut Controllers::new(&controllers.addresses()),
                &ids,
                None,
                controllers.json,
            ))
        }
        Command::Usage { query, controllers } => {
            usage::run(&query, &controllers.addresses(), controllers.json)
                .map_err(|e| CommandError(e.exit_code(), e.to_string()))
        }
        Command::Graph { command, controllers } => {
            graphs::run(&command, &controllers.addresses(), controllers.json)
                .map_err(|e| CommandError(e.exit_code(), e.to_string()))
        }
        Command::Schema { name, write } => print_schemas(name.as_deref(), write.as_deref()),
        Command::Fault { fault, region } => {
            let address = resolve_region_address(region);
            let client = HttpClient::new(&address, SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
            match client.request("POST", "/faults", fault.as_bytes()) {
                Some(response) => {
                    let text = String::from_utf8_lossy(&response.body).into_owned();
                    if response.status == 200 {
                        println!("{text}");
                        return Ok(exit::SUCCESS);
                    }
                    Err(usage_error(text))
                }
                None => Err(usage_error(format!(
                    "no region answers at {address}; start one with `oatloomctl up` or set --region"
                ))),
            }
        }
        Command::Suite { quick, seed, scenario, timetable, data, json } => {
            let length = if quick { SuiteLength::quick() } else { SuiteLength::full() };
            run_suite(
                length,
                seed,
                scenario,
                timetable.as_deref(),
                data.as_deref(),
                json.as_deref(),
            )
        }
    }
}

/// Uploads a job to the region, whose emulated machines fetch it from there. A real region has no such address:
/// nothing is uploaded if only `--controllers` was given.
fn upload_job_to_region(
    region: Option<SocketAddr>,
    controllers: &ControllerOptions,
    spec: &serde_json::Value,
) {
    if region.is_none() && !controllers.controllers.is_empty() {
        return;
    }
    let client =
        HttpClient::new(&resolve_region_address(region), SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    if client.post("/jobs", spec).is_none() {
        tracing::debug!("no emulated region accepted the upload of the job");
    }
}

fn print_schemas(name: Option<&str>, write: Option<&Path>) -> Result<u8, CommandError> {
    let known_schemas = schemas::derive_all();
    if let Some(directory) = write {
        for (name, schema) in &known_schemas {
            let path = directory.join(format!("{name}.json"));
            std::fs::write(&path, schemas::format_schema(schema))
                .map_err(|e| usage_error(format!("{}: {e}", path.display())))?;
        }
        return Ok(exit::SUCCESS);
    }
    let selected: Vec<_> = known_schemas
        .iter()
        .filter(|(known_name, _)| name.is_none_or(|name| name == *known_name))
        .collect();
    if selected.is_empty() {
        let names: Vec<&str> = known_schemas.iter().map(|(name, _)| *name).collect();
        return Err(usage_error(format!("unknown schema; known schemas are {}", names.join(", "))));
    }
    for (_, schema) in selected {
        print!("{}", schemas::format_schema(schema));
    }
    Ok(exit::SUCCESS)
}

fn run_up(
    local: LocalSettings,
    data: &Path,
    operators: Option<&Path>,
    timetable: Option<&Path>,
) -> Result<u8, CommandError> {
    let faults = read_faults(timetable)?;
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    ctrlc::set_handler(move || stop_requested.store(true, Ordering::Relaxed))
        .map_err(usage_error)?;
    up::up(local, data, operators, &faults, &stop, |controllers, region| {
        println!("controllers: {}", controllers.join(","));
        println!("region: {region}");
        println!("logs and state: {}", data.display());
        println!(
            "Ctrl-C stops the region; a later start with the same directory continues the same jobs"
        );
    })
    .map_err(usage_error)?;
    println!("ended");
    Ok(exit::SUCCESS)
}

fn read_faults(
    timetable: Option<&Path>,
) -> Result<Vec<oatloom_emulator::faults::ScheduledFault>, CommandError> {
    let Some(path) = timetable else { return Ok(Vec::new()) };
    suite::parse_timetable(&read_file(path)?)
        .map_err(|e| usage_error(format!("{}: {e}", path.display())))
}

fn run_suite(
    length: SuiteLength,
    seed: u64,
    scenario: Scenario,
    timetable: Option<&Path>,
    data: Option<&Path>,
    json: Option<&Path>,
) -> Result<u8, CommandError> {
    let extra_faults = read_faults(timetable)?;
    let temporary_directory = tempfile::tempdir().map_err(usage_error)?;
    let data_directory = data.unwrap_or(temporary_directory.path());
    let print_line = |text: &str| println!("{text}");
    let report = suite::run(scenario, seed, length, &extra_faults, data_directory, &print_line)
        .map_err(usage_error)?;
    print_report(&report);
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&report).map_err(usage_error)?;
        std::fs::write(path, text).map_err(|e| usage_error(format!("{}: {e}", path.display())))?;
    }
    Ok(if report.is_passed() { exit::SUCCESS } else { exit::FAILURE })
}

fn print_report(report: &SuiteReport) {
    for job in &report.jobs {
        let answers: Vec<String> = job
            .answers
            .iter()
            .map(|answer| format!("{:.1} s {}", answer.at_ms as f64 / 1_000.0, answer.status))
            .collect();
        let note = if job.exactly_one { "" } else { "  NOT EXACTLY ONE FINAL ANSWER" };
        println!(
            "{} {} of {}: {}; in the end {}{note}",
            job.job,
            job.shape,
            job.tasks,
            if answers.is_empty() { "never answered".to_owned() } else { answers.join(", ") },
            job.finals.join(", ")
        );
    }
    for rule in &report.rules_broken {
        println!("rule broken: {rule}");
    }
    let first_final =
        report.first_final_ms.map_or("none".into(), |ms| format!("{:.1} s", ms as f64 / 1e3));
    println!(
        "{} starts, {} restarts, at most {} MB in a controller; after the faults: \
         first final answer {first_final}, last {:.1} s",
        report.starts,
        report.restarts,
        report.controller_memory_mb,
        report.settled_ms as f64 / 1e3
    );
    println!("{}", report.summary());
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(exit_code) => ExitCode::from(exit_code),
        Err(CommandError(exit_code, text)) => {
            let message = text.split_whitespace().collect::<Vec<_>>().join(" ");
            eprintln!("oatloomctl: {message}");
            ExitCode::from(exit_code)
        }
    }
}
