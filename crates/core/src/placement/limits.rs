//! Team limits: how many more tasks they allow, and the order in which jobs are placed.

use super::*;
use oatloom_protocol::settings::Team;
use oatloom_protocol::wire::JobSpec;

/// How many more tasks of this size the team's limit allows on top of `used`.
pub(super) fn tasks_allowed(team: &Team, used: TeamUsage, spec: &JobSpec) -> u32 {
    let more = |cap: f64, used: f64, each: f64| {
        if cap <= 0.0 || each <= 0.0 {
            f64::MAX
        } else {
            ((cap - used) / each + 1e-6).floor().max(0.0)
        }
    };
    let count =
        more(team.cpus_max, used.cpus, spec.cpus).min(more(team.gpus_max, used.gpus, spec.gpus));
    if count >= f64::from(u32::MAX) { u32::MAX } else { count as u32 }
}

/// Usage of each team that has a limit, including tasks counted by [`Headroom::subtract`].
#[derive(Debug)]
pub struct Headroom<'a> {
    used: BTreeMap<&'a str, (&'a Team, TeamUsage)>,
}

impl<'a> Headroom<'a> {
    pub fn new(settings: &'a Settings, job_table: &JobTable) -> Self {
        let limited = |t: &&Team| t.cpus_max > 0.0 || t.gpus_max > 0.0;
        let used = |t: &'a Team| (t, job_table.usage.get(&t.name).copied().unwrap_or_default());
        let teams = settings.facts.teams.iter().filter(limited);
        Self { used: teams.map(|t| (t.name.as_str(), used(t))).collect() }
    }

    /// Whether no team has a limit.
    pub fn is_unlimited(&self) -> bool {
        self.used.is_empty()
    }

    /// How many more tasks of this size the team may run at once; `None` if it has no limit.
    pub fn tasks(&self, spec: &JobSpec) -> Option<u32> {
        self.used.get(spec.team.as_str()).map(|(team, used)| tasks_allowed(team, *used, spec))
    }

    /// Counts this many more tasks as used.
    pub fn subtract(&mut self, spec: &JobSpec, tasks: u32) {
        if let Some((_, used)) = self.used.get_mut(spec.team.as_str()) {
            used.cpus += spec.cpus * f64::from(tasks);
            used.gpus += spec.gpus * f64::from(tasks);
        }
    }
}

/// Open jobs with tasks that may start now, in placement order, each with its latest start time.
pub fn placement_order(
    settings: &Settings,
    job_table: &JobTable,
    guaranteed: &BTreeMap<JobId, ()>,
    now: Mono,
) -> Vec<(JobId, Mono)> {
    let overhead_s = settings.facts.workers.report_s;
    let mut order: Vec<(JobId, Mono)> = job_table
        .jobs
        .iter()
        .filter(|(_, j)| j.state == JobState::Open && j.startable(now) > 0 && now >= j.paused_until)
        .map(|(id, j)| (id.clone(), latest_start(settings, j, overhead_s, now)))
        .collect();
    order.sort_by(|(a, due_a), (b, due_b)| {
        let (ja, jb) = (&job_table.jobs[a], &job_table.jobs[b]);
        let guarantee = |id| !guaranteed.contains_key(id);
        (jb.rank(), guarantee(a), array_tasks_left(ja), due_a, a)
            .cmp(&(ja.rank(), guarantee(b), array_tasks_left(jb), due_b, b))
            .then(ja.submitted.cmp(&jb.submitted))
    });
    order
}
