//! Objectives and deadlines: which classes are urgent, by when a job has to start, and which jobs
//! are guaranteed.

use super::*;

/// Shortest time in seconds within which an objective of this kind (`wait`, `finished`) wants jobs
/// of the class started or finished, if there is one.
pub fn objective_s(settings: &Settings, class: &str, kind: &str) -> Option<f64> {
    settings
        .facts
        .objectives
        .iter()
        .filter(|o| o.kind == kind && o.class.as_deref() == Some(class))
        .filter_map(|o| o.within_s)
        .reduce(f64::min)
}

/// Seconds within which users want the class started, if that is so few report periods that waiting
/// for a machine's next report would make the job late.
pub fn urgent_wait_s(settings: &Settings, class: &str) -> Option<f64> {
    objective_s(settings, class, "wait").filter(|within| *within <= urgent_within_s(settings))
}

/// Whether any class is that urgent.
pub fn any_urgent_class(settings: &Settings) -> bool {
    let soon = |within: f64| within <= urgent_within_s(settings);
    let objectives = settings.facts.objectives.iter();
    objectives
        .filter(|o| o.kind == "wait" && o.class.is_some())
        .any(|o| o.within_s.is_some_and(soon))
}

pub(super) fn urgent_within_s(settings: &Settings) -> f64 {
    settings.facts.workers.report_s * URGENT_REPORT_PERIODS
}

/// When the job should be finished.
pub fn deadline(settings: &Settings, job: &Job) -> Mono {
    let spec = &job.spec;
    let within = spec
        .deadline_s
        .or_else(|| objective_s(settings, &spec.class, "finished"))
        .unwrap_or(DEFAULT_DEADLINE_S);
    let counted_from = if spec.deadline_s.is_some() { job.submitted } else { job.released };
    let own = counted_from.plus(Millis::from_secs(within));
    job.inherited.latest_end.map_or(own, |latest| latest.min(own))
}

/// Latest time at which a job may be released so that it still meets its own or its inherited
/// deadline: the deadline less its estimated run time, corrected by `bias`, and less the overhead.
pub fn latest_release(job: &Job, bias: f64, overhead_s: f64) -> Option<Mono> {
    let own = job.spec.deadline_s.map(|within| job.submitted.plus(Millis::from_secs(within)));
    let latest_end = match (own, job.inherited.latest_end) {
        (Some(own), Some(inherited)) => own.min(inherited),
        (own, inherited) => own.or(inherited)?,
    };
    let takes = Millis::from_secs(job.spec.estimate_s * bias + overhead_s);
    Some(Mono(latest_end.0.saturating_sub(takes.0)))
}

/// Latest time at which the job can be placed and still meet its next reachable objective. A job
/// that can reach none is ordered after those that can.
pub(super) fn latest_start(settings: &Settings, job: &Job, overhead_s: f64, now: Mono) -> Mono {
    let spec = &job.spec;
    let waits = settings
        .facts
        .objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(&spec.class))
        .filter_map(|o| o.within_s);
    let run_s = match spec.shape {
        Shape::Service => 0.0,
        _ => spec.estimate_s,
    };
    let finish = deadline(settings, job).0 as f64 / 1000.0 - run_s - overhead_s;
    let next = waits
        .map(|within| job.released.0 as f64 / 1000.0 + within - overhead_s)
        .chain([finish])
        .filter(|by| *by >= now.0 as f64 / 1000.0)
        .fold(f64::INFINITY, f64::min);
    if next.is_finite() {
        Mono((next * 1000.0) as u64)
    } else {
        job.released.plus(Millis::from_secs(MISSED_OBJECTIVES_START_S))
    }
}

/// Sort key of arrays without a deadline among jobs of the same rank: the tasks left. Without it
/// one large array delays many small ones and is late all the same.
pub(super) fn array_tasks_left(job: &Job) -> u32 {
    let dated = job.spec.deadline_s.is_some() || job.inherited.latest_end.is_some();
    let undated = job.spec.shape == Shape::Array && !dated;
    if undated { job.spec.tasks - job.done } else { 0 }
}

/// Unfinished jobs that fit into their team's guarantee together with the team's earlier jobs.
pub fn guaranteed_jobs(settings: &Settings, job_table: &JobTable) -> BTreeMap<JobId, ()> {
    let mut sums: BTreeMap<&str, TeamUsage> = BTreeMap::new();
    let mut jobs: Vec<(&JobId, &Job)> =
        job_table.jobs.iter().filter(|(_, j)| j.state == JobState::Open).collect();
    jobs.sort_by_key(|(id, j)| (j.submitted, (*id).clone()));
    let mut within = BTreeMap::new();
    for (id, job) in jobs {
        let Some(team) = settings.team(&job.spec.team) else {
            continue;
        };
        if team.cpus <= 0.0 && team.gpus <= 0.0 {
            continue;
        }
        let left = f64::from(job.spec.tasks - job.done);
        let sum = sums.entry(team.name.as_str()).or_default();
        sum.cpus += job.spec.cpus * left;
        sum.gpus += job.spec.gpus * left;
        // 0 means no guarantee: a team with only GPUs guaranteed is checked against those alone.
        let fits = |used: f64, cap: f64| cap <= 0.0 || used <= cap + 1e-6;
        if fits(sum.cpus, team.cpus) && fits(sum.gpus, team.gpus) {
            within.insert(id.clone(), ());
        }
    }
    within
}
