//! The command line.

use clap::{Parser, Subcommand};
use oatloom_client::controllers::{Controllers, JobRequest};
use oatloom_ctl::constants::{
    CONTROLLERS, MAX_RESPONSE_BYTES, OWN_PORT_BEYOND, PORT, SUBMIT_TIMEOUT_MS,
};
use oatloom_ctl::graphs;
use oatloom_ctl::jobs::{self, Sketch, exit};
use oatloom_ctl::schemas;
use oatloom_ctl::settings::Local;
use oatloom_ctl::suite::{self, Findings, Length, Scenario};
use oatloom_ctl::up;
use oatloom_ctl::usage::{self, Question};
use oatloom_logging::Format;
use oatloom_protocol::ids::JobId;
use oatloom_web::client::HttpClient;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Runs a region of oatloom on this machine, submits jobs, and rehearses failures.
#[derive(Parser)]
#[command(
    name = "oatloomctl",
    version,
    about,
    after_help = "Status: 0 all is well; 1 refused, not known, or ended otherwise than done; 2 wrongly asked; \
3 no controller answered in time. LOG_LEVEL sets how much is logged to standard error."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// How the log looks
    #[arg(long, value_enum, default_value_t, global = true)]
    log_format: Format,
}

/// Where the controllers are.
#[derive(clap::Args)]
struct Where {
    /// Addresses of the controllers, with commas between them
    #[arg(
        long,
        global = true,
        env = "OATLOOM_CONTROLLERS",
        value_delimiter = ',',
        value_name = "ADDRESSES"
    )]
    controllers: Vec<SocketAddr>,
    /// One line of JSON instead of text
    #[arg(long, global = true)]
    json: bool,
}

impl Where {
    fn addresses(&self) -> Vec<String> {
        if self.controllers.is_empty() {
            (0..CONTROLLERS as u16).map(|n| format!("127.0.0.1:{}", PORT + n)).collect()
        } else {
            self.controllers.iter().map(SocketAddr::to_string).collect()
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole region on this machine until Ctrl-C
    Up {
        /// What the region is like (an S-expression; see deploy/local.lisp)
        #[arg(long, value_name = "FILE")]
        file: Option<PathBuf>,
        /// Where its state and logs are kept; a second start goes on with the same jobs
        #[arg(long, value_name = "DIR", default_value = "region")]
        data: PathBuf,
        /// The operators' own settings, for all controllers
        #[arg(long, value_name = "FILE")]
        operators: Option<PathBuf>,
        /// Faults at set times (S-expressions; see docs/rehearsals.md)
        #[arg(long, value_name = "FILE")]
        timetable: Option<PathBuf>,
    },
    /// Submit a job, described by a file (JSON) or by options
    Submit {
        file: Option<PathBuf>,
        #[command(flatten)]
        sketch: Sketch,
        /// Follow it until it is over
        #[arg(long)]
        wait: bool,
        #[command(flatten)]
        at: Where,
        /// The region's own address, which machines of `up` learn jobs from
        #[arg(long, env = "OATLOOM_REGION", value_name = "ADDRESS")]
        region: Option<SocketAddr>,
    },
    /// Say how a job is doing
    Status {
        id: String,
        #[command(flatten)]
        at: Where,
    },
    /// Cancel a job
    Abort {
        id: String,
        #[command(flatten)]
        at: Where,
    },
    /// Follow jobs until all are over
    Watch {
        #[arg(required = true)]
        ids: Vec<String>,
        #[command(flatten)]
        at: Where,
    },
    /// Say what was used, by day, team and class, where an account is kept
    Usage {
        #[command(flatten)]
        question: Question,
        #[command(flatten)]
        at: Where,
    },
    /// Task graphs, where controllers serve them
    Graph {
        #[command(subcommand)]
        command: graphs::Command,
        #[command(flatten)]
        at: Where,
    },
    /// Print the JSON Schemas of what is said over HTTP, or write them to a folder
    Schema {
        /// Only this one
        name: Option<String>,
        #[arg(long, value_name = "DIR", conflicts_with = "name")]
        write: Option<PathBuf>,
    },
    /// Begin a fault in a running region, such as "(state-refuse (for 6))"
    Fault {
        fault: String,
        #[arg(long, env = "OATLOOM_REGION", value_name = "ADDRESS")]
        region: Option<SocketAddr>,
    },
    /// Play mixed work with troubles, and judge every job's answers and the rules
    Suite {
        /// Half a minute instead of minutes
        #[arg(long)]
        quick: bool,
        /// What jobs and troubles are drawn from
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value = "mixed")]
        scenario: Scenario,
        /// Further faults at set times
        #[arg(long, value_name = "FILE")]
        timetable: Option<PathBuf>,
        /// Where logs are kept; a directory that goes away if left out
        #[arg(long, value_name = "DIR")]
        data: Option<PathBuf>,
        /// Write all findings there, as JSON
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
}

/// What went wrong, and the status for it.
struct Failure(u8, String);

fn wrong(text: impl std::fmt::Display) -> Failure {
    Failure(exit::WRONG, text.to_string())
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path)
        .map_err(|e| wrong(format!("{}: cannot be read: {e}", path.display())))
}

fn job(id: &str) -> Result<JobId, Failure> {
    JobId::parse(id).ok_or_else(|| wrong(format!("{id}: an id is `req-` and digits")))
}

fn own_address(region: Option<SocketAddr>) -> String {
    region.map_or_else(|| format!("127.0.0.1:{}", PORT + OWN_PORT_BEYOND), |at| at.to_string())
}

fn run(arguments: Arguments) -> Result<u8, Failure> {
    let level = match &arguments.command {
        Command::Up { .. } => "info",
        _ => "warn",
    };
    oatloom_logging::init(level, arguments.log_format).map_err(wrong)?;
    match arguments.command {
        Command::Up { file, data, operators, timetable } => {
            let local = match &file {
                Some(path) => Local::parse(&read_file(path)?)
                    .map_err(|e| wrong(format!("{}: {e}", path.display())))?,
                None => Local::default(),
            };
            run_up(local, &data, operators.as_deref(), timetable.as_deref())
        }
        Command::Submit { file, sketch, wait, at, region } => {
            let number = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |since| since.as_millis() as u64);
            let spec = match (&file, sketch.spec(number)) {
                (Some(path), None) => jobs::read(path).map_err(wrong)?,
                (None, Some(spec)) => {
                    spec.check().map_err(wrong)?;
                    spec
                }
                _ => return Err(wrong("a job is described by a file or by --shape, not by both")),
            };
            upload(region, &at, &serde_json::json!(spec));
            Ok(jobs::submit(&mut Controllers::new(&at.addresses()), spec, wait, at.json))
        }
        Command::Status { id, at } => {
            let wish = JobRequest::View(job(&id)?);
            Ok(jobs::ask(&mut Controllers::new(&at.addresses()), &wish, at.json))
        }
        Command::Abort { id, at } => {
            let wish = JobRequest::Abort(job(&id)?);
            Ok(jobs::ask(&mut Controllers::new(&at.addresses()), &wish, at.json))
        }
        Command::Watch { ids, at } => {
            let ids: Vec<JobId> = ids.iter().map(|id| job(id)).collect::<Result<_, _>>()?;
            Ok(jobs::watch(&mut Controllers::new(&at.addresses()), &ids, None, at.json))
        }
        Command::Usage { question, at } => usage::run(&question, &at.addresses(), at.json)
            .map_err(|e| Failure(e.status(), e.to_string())),
        Command::Graph { command, at } => graphs::run(&command, &at.addresses(), at.json)
            .map_err(|e| Failure(e.status(), e.to_string())),
        Command::Schema { name, write } => print_schemas(name.as_deref(), write.as_deref()),
        Command::Fault { fault, region } => {
            let address = own_address(region);
            let caller = HttpClient::new(&address, SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
            match caller.request("POST", "/faults", fault.as_bytes()) {
                Some(answer) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    if answer.status == 200 {
                        println!("{text}");
                        return Ok(exit::GOOD);
                    }
                    Err(wrong(text))
                }
                None => Err(wrong(format!("no region answers at {address}"))),
            }
        }
        Command::Suite { quick, seed, scenario, timetable, data, json } => {
            let length = if quick { Length::quick() } else { Length::whole() };
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

/// Machines of an emulated region learn a job from its user. A real region has its own way, and no such
/// address: then nothing is uploaded.
fn upload(region: Option<SocketAddr>, at: &Where, spec: &serde_json::Value) {
    if region.is_none() && !at.controllers.is_empty() {
        return;
    }
    let caller = HttpClient::new(&own_address(region), SUBMIT_TIMEOUT_MS, MAX_RESPONSE_BYTES);
    if caller.post("/jobs", spec).is_none() {
        tracing::debug!("no emulated region was told of the job");
    }
}

fn print_schemas(name: Option<&str>, write: Option<&Path>) -> Result<u8, Failure> {
    let all = schemas::all();
    if let Some(folder) = write {
        for (name, schema) in &all {
            let path = folder.join(format!("{name}.json"));
            std::fs::write(&path, schemas::text(schema))
                .map_err(|e| wrong(format!("{}: {e}", path.display())))?;
        }
        return Ok(exit::GOOD);
    }
    let wanted: Vec<_> = all.iter().filter(|(known, _)| name.is_none_or(|n| n == *known)).collect();
    if wanted.is_empty() {
        let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
        return Err(wrong(format!("there is no such schema; there are {}", names.join(", "))));
    }
    for (_, schema) in wanted {
        print!("{}", schemas::text(schema));
    }
    Ok(exit::GOOD)
}

fn run_up(
    local: Local,
    data: &Path,
    operators: Option<&Path>,
    timetable: Option<&Path>,
) -> Result<u8, Failure> {
    let planned = planned(timetable)?;
    let stop = Arc::new(AtomicBool::new(false));
    let asked = stop.clone();
    ctrlc::set_handler(move || asked.store(true, Ordering::Relaxed)).map_err(wrong)?;
    up::up(local, data, operators, &planned, &stop, |controllers, own| {
        println!("controllers: {}", controllers.join(","));
        println!("region: {own}");
        println!("logs and state: {}", data.display());
        println!(
            "Ctrl-C ends it; a second start with the same directory goes on with the same jobs"
        );
    })
    .map_err(wrong)?;
    println!("ended");
    Ok(exit::GOOD)
}

fn planned(
    timetable: Option<&Path>,
) -> Result<Vec<oatloom_emulator::faults::ScheduledFault>, Failure> {
    let Some(path) = timetable else { return Ok(Vec::new()) };
    suite::read_timetable(&read_file(path)?).map_err(|e| wrong(format!("{}: {e}", path.display())))
}

fn run_suite(
    length: Length,
    seed: u64,
    scenario: Scenario,
    timetable: Option<&Path>,
    data: Option<&Path>,
    json: Option<&Path>,
) -> Result<u8, Failure> {
    let extra = planned(timetable)?;
    let passing = tempfile::tempdir().map_err(wrong)?;
    let home = data.unwrap_or(passing.path());
    let say = |text: &str| println!("{text}");
    let findings = suite::play(scenario, seed, length, &extra, home, &say).map_err(wrong)?;
    print(&findings);
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&findings).map_err(wrong)?;
        std::fs::write(path, text).map_err(|e| wrong(format!("{}: {e}", path.display())))?;
    }
    Ok(if findings.good() { exit::GOOD } else { exit::BAD })
}

fn print(findings: &Findings) {
    for job in &findings.jobs {
        let heard: Vec<String> = job
            .answers
            .iter()
            .map(|h| format!("{:.1} s {}", h.at_ms as f64 / 1_000.0, h.status))
            .collect();
        let verdict = if job.exactly_one { "" } else { "  NOT EXACTLY ONE FINAL ANSWER" };
        println!(
            "{} {} of {}: {}; in the end {}{verdict}",
            job.job,
            job.shape,
            job.tasks,
            if heard.is_empty() { "never answered".to_owned() } else { heard.join(", ") },
            job.finals.join(", ")
        );
    }
    for rule in &findings.rules_broken {
        println!("rule broken: {rule}");
    }
    let first =
        findings.first_final_ms.map_or("none".into(), |ms| format!("{:.1} s", ms as f64 / 1e3));
    println!(
        "{} starts, {} restarts, at most {} MB in a controller; after the troubles: first final answer {first}, last {:.1} s",
        findings.starts,
        findings.restarts,
        findings.controller_memory_mb,
        findings.settled_ms as f64 / 1e3
    );
    println!("{}", findings.line());
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(status) => ExitCode::from(status),
        Err(Failure(status, text)) => {
            let line = text.split_whitespace().collect::<Vec<_>>().join(" ");
            eprintln!("oatloomctl: {line}");
            ExitCode::from(status)
        }
    }
}
