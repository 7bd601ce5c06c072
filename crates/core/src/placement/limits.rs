//! What teams' limits leave to be started.

use super::*;
use oatloom_protocol::wire::JobSpec;

/// What each team may use beyond what its tasks take now; teams without a limit are not in it.
#[derive(Debug)]
pub struct Headroom {
    left: BTreeMap<String, Usage>,
}

impl Headroom {
    pub fn new(settings: &Settings, book: &Book) -> Self {
        let limited =
            settings.facts.teams.iter().filter(|t| t.cpus_max > 0.0 || t.gpus_max > 0.0).map(|t| {
                let used = book.usage.get(&t.name).copied().unwrap_or_default();
                let left = |most: f64, used: f64| if most > 0.0 { most - used } else { f64::MAX };
                let left =
                    Usage { cpus: left(t.cpus_max, used.cpus), gpus: left(t.gpus_max, used.gpus) };
                (t.name.clone(), left)
            });
        Self { left: limited.collect() }
    }

    /// Whether no team has a limit.
    pub fn boundless(&self) -> bool {
        self.left.is_empty()
    }

    /// How many more tasks of this kind the team may have at once; `None`: any number.
    pub fn tasks(&self, spec: &JobSpec) -> Option<u32> {
        let left = self.left.get(&spec.team)?;
        let more = |left: f64, each: f64| {
            if each <= 0.0 { f64::MAX } else { (left / each + 1e-6).floor().max(0.0) }
        };
        let count = more(left.cpus, spec.cpus).min(more(left.gpus, spec.gpus));
        Some(if count >= f64::from(u32::MAX) { u32::MAX } else { count as u32 })
    }

    /// Counts so many more tasks.
    pub fn take(&mut self, spec: &JobSpec, tasks: u32) {
        if let Some(left) = self.left.get_mut(&spec.team) {
            left.cpus -= spec.cpus * f64::from(tasks);
            left.gpus -= spec.gpus * f64::from(tasks);
        }
    }
}

/// Open jobs with tasks that may start now, in the order in which they are given room, and by when each has to start.
pub fn in_order(
    settings: &Settings,
    book: &Book,
    guaranteed: &BTreeMap<JobId, ()>,
    now: Mono,
) -> Vec<(JobId, Mono)> {
    let overhead_s = settings.facts.workers.report_s;
    let mut order: Vec<(JobId, Mono)> = book
        .jobs
        .iter()
        .filter(|(_, j)| j.state == JobState::Open && j.startable(now) > 0 && now >= j.paused_until)
        .map(|(id, j)| (id.clone(), start_by(settings, j, overhead_s, now)))
        .collect();
    order.sort_by(|(a, due_a), (b, due_b)| {
        let (ja, jb) = (&book.jobs[a], &book.jobs[b]);
        let guarantee = |id| !guaranteed.contains_key(id);
        (jb.spec.rank, guarantee(a), work_left(ja), due_a, a)
            .cmp(&(ja.spec.rank, guarantee(b), work_left(jb), due_b, b))
            .then(ja.submitted.cmp(&jb.submitted))
    });
    order
}
