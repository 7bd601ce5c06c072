//! Parses timetables of faults. A timetable is a sequence of S-expressions such as
//! `(at 5 state-refuse (for 6) (controller 1))`. An operator's request for a fault in a running region has the
//! same form without `at 5`.

use crate::constants::*;
use crate::faults::{Fault, ScheduledFault, Service, ServiceFault};
use lexpr::datum::{Datum, Ref};
use lexpr::parse::Parser;
use oatloom_protocol::ids::Millis;

/// A syntax error in a timetable, with its line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {text}")]
pub struct TimetableError {
    pub line: usize,
    pub text: String,
}

/// Name, allowed options and description of each fault.
pub const FAULTS: &[(&str, &[&str], &str)] = &[
    ("state-slow", &["for", "ms", "controller"], "answers of the state service are delayed"),
    ("state-refuse", &["for", "controller"], "the state service refuses requests with 503"),
    ("state-throttle", &["for", "controller"], "the state service refuses requests with 429"),
    (
        "state-lose",
        &["for", "share", "controller"],
        "requests are executed but their replies are lost",
    ),
    (
        "state-late",
        &["for", "share", "ms", "controller"],
        "requests are executed late and never answered",
    ),
    ("state-silent", &["for", "controller"], "the state service is unreachable"),
    ("state-restart", &[], "the state service is killed and restarted"),
    ("cloud-slow", &["for", "ms", "controller"], "answers of the cloud are delayed"),
    ("cloud-refuse", &["for", "controller"], "the cloud refuses requests with 503"),
    ("cloud-throttle", &["for", "controller"], "the cloud refuses requests with 429"),
    (
        "cloud-lose",
        &["for", "share", "controller"],
        "requests are executed but their replies are lost",
    ),
    (
        "cloud-late",
        &["for", "share", "ms", "controller"],
        "requests are executed late and never answered",
    ),
    ("cloud-silent", &["for", "controller"], "the cloud is unreachable"),
    ("cut-controller", &["for", "controller"], "a controller is partitioned from everything"),
    ("cut-zone", &["for", "zone"], "a zone's workers reach no controller outside it"),
    ("crash-controller", &["controller", "ms"], "a controller is killed and restarted after ms"),
    ("crash-all", &["ms"], "all controllers are killed at once and restarted after ms"),
    ("take-spot", &["count"], "spot machines are taken back, most with notice"),
    ("machine-dies", &["count"], "machines are lost without notice"),
    ("machine-hangs", &["for", "count"], "machines hang and may resume later"),
    ("machine-faulty", &[], "every task fails on a machine from now on"),
    ("job-breaks", &["job", "share"], "this share of a job's attempts fails on every machine"),
];

/// The options of one fault, `None` if an option is missing.
#[derive(Default)]
struct Options {
    duration_s: Option<f64>,
    ms: Option<f64>,
    share: Option<f64>,
    controller: Option<usize>,
    count: Option<usize>,
    zone: Option<String>,
    job: Option<String>,
}

fn get_line(datum: &Datum) -> usize {
    datum.span().start().line()
}

fn syntax_error<T>(line: usize, text: impl Into<String>) -> Result<T, TimetableError> {
    Err(TimetableError { line, text: text.into() })
}

/// Parses a timetable for a region with this many controllers. Each entry starts with its time in seconds
/// from the start of the timetable.
///
/// # Errors
/// If the text is not a valid timetable; the error has the line.
pub fn parse(text: &str, controllers: usize) -> Result<Vec<ScheduledFault>, TimetableError> {
    let mut scheduled = Vec::new();
    let mut parser = Parser::from_str(text);
    while let Some(datum) = parser.next_datum().map_err(|e| TimetableError {
        line: e.location().map_or(0, |l| l.line()),
        text: format!("not an S-expression: {e}"),
    })? {
        let line = get_line(&datum);
        let Some(mut items) = datum.list_iter() else {
            return syntax_error(line, "an entry is a list: (at SECONDS FAULT OPTION ...)");
        };
        let at = items.next().and_then(|item| item.value().as_symbol().map(str::to_owned));
        if at.as_deref() != Some("at") {
            return syntax_error(line, "an entry begins with `at` and a time in seconds");
        }
        let Some(at) =
            items.next().and_then(|t| t.value().as_f64()).filter(|t| is_time_in_range(*t))
        else {
            return syntax_error(
                line,
                format!("`at` needs seconds from 0 to {MAX_FAULT_DURATION_S}"),
            );
        };
        let rest: Vec<Ref> = items.collect();
        scheduled.push(parse_entry(line, &rest, (at * 1000.0) as u64, controllers)?);
    }
    scheduled.sort_by_key(|entry| entry.at);
    Ok(scheduled)
}

/// Parses one fault that begins at `now`: `(state-refuse (for 6))`.
///
/// # Errors
/// If the text is not a valid fault.
pub fn parse_one(
    text: &str,
    now: u64,
    controllers: usize,
) -> Result<ScheduledFault, TimetableError> {
    let mut parser = Parser::from_str(text);
    let datum = parser.next_datum().map_err(|e| TimetableError { line: 1, text: e.to_string() })?;
    let Some(datum) = datum else { return syntax_error(1, "the request is empty") };
    match datum.list_iter() {
        Some(items) => parse_entry(1, &items.collect::<Vec<_>>(), now, controllers),
        None => parse_entry(1, &[datum.as_ref()], now, controllers),
    }
}

fn is_time_in_range(seconds: f64) -> bool {
    (0.0..=MAX_FAULT_DURATION_S).contains(&seconds)
}

fn parse_entry(
    line: usize,
    items: &[Ref],
    at: u64,
    controllers: usize,
) -> Result<ScheduledFault, TimetableError> {
    let Some(name) = items.first().and_then(|item| item.value().as_symbol()) else {
        return syntax_error(line, "the name of a fault is missing");
    };
    let Some((name, allowed, _)) = FAULTS.iter().find(|(known, ..)| *known == name) else {
        return syntax_error(line, format!("unknown fault {name}"));
    };
    let options = parse_options(line, name, allowed, &items[1..], controllers)?;
    let duration_s = options.duration_s.unwrap_or(DEFAULT_FAULT_DURATION_S);
    let until = at + (duration_s * 1000.0) as u64;
    Ok(ScheduledFault { at, until, fault: build_fault(line, name, options)? })
}

fn parse_options(
    line: usize,
    name: &str,
    allowed: &[&str],
    items: &[Ref],
    controllers: usize,
) -> Result<Options, TimetableError> {
    let mut options = Options::default();
    for item in items {
        let line = item.span().start().line().max(line);
        let parts: Vec<Ref> = item.list_iter().map(Iterator::collect).unwrap_or_default();
        let (Some(option), Some(value), 2) =
            (parts.first().and_then(|part| part.value().as_symbol()), parts.get(1), parts.len())
        else {
            return syntax_error(line, format!("an option of {name} looks like (for 6)"));
        };
        if !allowed.contains(&option) {
            return syntax_error(line, format!("{name} takes no option {option}"));
        }
        let value = value.value();
        let parse_number = |min: f64, max: f64| match value.as_f64() {
            Some(number) if (min..=max).contains(&number) => Ok(number),
            _ => syntax_error(line, format!("{option} of {name} must be from {min} to {max}")),
        };
        match option {
            "for" => options.duration_s = Some(parse_number(0.0, MAX_FAULT_DURATION_S)?),
            "ms" => options.ms = Some(parse_number(0.0, MAX_FAULT_DELAY_MS)?),
            "share" => options.share = Some(parse_number(0.0, 1.0)?),
            "controller" => {
                options.controller =
                    Some(parse_number(0.0, controllers.max(1) as f64 - 1.0)? as usize);
            }
            "count" => options.count = Some(parse_number(1.0, 10_000.0)? as usize),
            _ => match value.as_str().or(value.as_symbol()) {
                Some(name) if option == "job" => options.job = Some(name.to_owned()),
                Some(zone) => options.zone = Some(zone.to_owned()),
                None => return syntax_error(line, format!("{option} of {name} must be a name")),
            },
        }
    }
    Ok(options)
}

fn build_fault(line: usize, name: &str, options: Options) -> Result<Fault, TimetableError> {
    let Options { ms, share, controller, count, zone, job, .. } = options;
    let get_delay_or = |default: f64| ms.unwrap_or(default) as u64;
    // 0 is allowed: a process may be restarted within a fraction of a second.
    let restart_after = ms.map(|ms| Millis(ms as u64));
    let count = count.unwrap_or(1);
    let job_failure_share = share.unwrap_or(1.0);
    let share = share.unwrap_or(DEFAULT_FAULT_SHARE);
    let service = if name.starts_with("state-") { Service::State } else { Service::Cloud };
    let build_service_fault =
        |service_fault| Ok(Fault::OnService { service, service_fault, controller });
    let require_controller = || {
        controller
            .ok_or_else(|| TimetableError { line, text: format!("{name} needs (controller N)") })
    };
    match name {
        "state-restart" => Ok(Fault::RestartState),
        "state-slow" | "cloud-slow" => {
            build_service_fault(ServiceFault::Slow(get_delay_or(DEFAULT_SLOW_DELAY_MS)))
        }
        "state-refuse" | "cloud-refuse" => build_service_fault(ServiceFault::Refuse),
        "state-throttle" | "cloud-throttle" => build_service_fault(ServiceFault::Throttle),
        "state-lose" | "cloud-lose" => build_service_fault(ServiceFault::Lose(share)),
        "state-late" | "cloud-late" => {
            build_service_fault(ServiceFault::Late(share, get_delay_or(DEFAULT_LATE_DELAY_MS)))
        }
        "state-silent" | "cloud-silent" => build_service_fault(ServiceFault::Silent),
        "cut-controller" => require_controller().map(Fault::PartitionController),
        "crash-controller" => {
            require_controller().map(|index| Fault::CrashController(index, restart_after))
        }
        "cut-zone" => match zone {
            Some(zone) => Ok(Fault::PartitionZone(zone)),
            None => syntax_error(line, "cut-zone needs (zone NAME)"),
        },
        "crash-all" => Ok(Fault::CrashAll(restart_after)),
        "take-spot" => Ok(Fault::PreemptSpot(count)),
        "machine-dies" => Ok(Fault::MachinesDie(count)),
        "machine-hangs" => Ok(Fault::MachinesHang(count)),
        "machine-faulty" => Ok(Fault::MachineFaulty),
        "job-breaks" => match job {
            Some(job) => Ok(Fault::JobFails(job, job_failure_share)),
            None => syntax_error(line, "job-breaks needs (job ID)"),
        },
        _ => syntax_error(line, format!("unknown fault {name}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timetable_is_parsed_and_sorted_by_time() {
        let text = "; a bad evening\n(at 8 crash-all)\n(at 2.5 state-lose (for 3)\n (share 0.5))\n\
                    (at 1 cut-zone (zone b))";
        let scheduled = parse(text, 3).unwrap();
        let lose = ServiceFault::Lose(0.5);
        assert_eq!(
            scheduled[0],
            ScheduledFault { at: 1_000, until: 6_000, fault: Fault::PartitionZone("b".into()) }
        );
        let fault =
            Fault::OnService { service: Service::State, service_fault: lose, controller: None };
        assert_eq!(scheduled[1], ScheduledFault { at: 2_500, until: 5_500, fault });
        assert_eq!(scheduled[2].fault, Fault::CrashAll(None));
        let single = parse_one("(cloud-refuse (for 2))", 700, 3).unwrap();
        assert_eq!((single.at, single.until), (700, 2_700));
        assert_eq!(parse_one("crash-all", 0, 3).unwrap().fault, Fault::CrashAll(None));
        let restart = parse_one("(crash-controller (controller 1) (ms 0))", 0, 3).unwrap();
        assert_eq!(restart.fault, Fault::CrashController(1, Some(Millis(0))));
    }

    /// Each fault in [`FAULTS`] can be parsed with its options.
    #[test]
    fn all_named_faults_can_be_parsed() {
        for (name, allowed, _) in FAULTS {
            let mut text = format!("({name}");
            if allowed.contains(&"controller") {
                text.push_str(" (controller 2)");
            }
            if allowed.contains(&"zone") {
                text.push_str(" (zone a)");
            }
            if allowed.contains(&"job") {
                text.push_str(" (job req-1)");
            }
            text.push(')');
            assert!(parse_one(&text, 0, 3).is_ok(), "{text}");
        }
    }

    /// Errors have the line and the name of the wrong item.
    #[test]
    fn errors_have_the_line_and_name() {
        let assert_error = |text: &str, expected: &str| {
            let error = parse(text, 3).unwrap_err().to_string();
            assert!(error.contains(expected), "{error}");
        };
        assert_error(
            "(at 1 crash-all)\n\n(at 2 state-explode)",
            "line 3: unknown fault state-explode",
        );
        assert_error("(at 1 crash-all (for 3))", "line 1: crash-all takes no option for");
        assert_error("(at 1 crash-controller)", "line 1: crash-controller needs (controller N)");
        assert_error(
            "(at 1 crash-controller (controller 3))",
            "controller of crash-controller must be",
        );
        assert_error("(at -1 crash-all)", "line 1: `at` needs seconds");
        assert_error("\n(crash-all)", "line 2: an entry begins with `at`");
        assert_error("(at 1 state-lose (share 2))", "share of state-lose must be from 0 to 1");
        assert_error("(at 1 state-lose share)", "an option of state-lose looks like");
        assert_error("(at 1", "not an S-expression");
        assert_error("crash", "line 1: an entry is a list");
    }
}
