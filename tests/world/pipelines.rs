//! Users with pipelines, which are jobs with dependencies in random shapes, and the invariants checked for them.

use super::{STEP_MS, User, World};
use oatloom_core::jobs::{
    ChunkRecord, FinalRecord, Job, JobState, TeamUsage, final_key, parse_chunk_key,
};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Change, JobSpec, JobStatus, Order, Rank, Shape, Txn};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How long users try to submit a job, in milliseconds (protocol).
const SUBMIT_TIMEOUT_MS: u64 = 60_000;
/// First number of pipelines' jobs, beyond those of other users.
const FIRST_JOB_NUMBER: usize = 600;
/// Tolerance for sums of decimal amounts.
const EPSILON: f64 = 1e-6;

/// What a user waits for before it submits a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitWhen {
    Immediately,
    /// Until all dependencies are accepted.
    DependenciesAccepted,
    /// Until the user knows the final state of all dependencies.
    DependenciesFinished,
}

/// The shape of a pipeline's dependency graph.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PipelineShape {
    Chain,
    Diamond,
    ManyBehindOne,
    OneBehindMany,
    /// Each job depends on some of the earlier ones.
    Mesh,
}

const PIPELINE_SHAPES: [PipelineShape; 5] = [
    PipelineShape::Chain,
    PipelineShape::Diamond,
    PipelineShape::ManyBehindOne,
    PipelineShape::OneBehindMany,
    PipelineShape::Mesh,
];

/// The distribution from which pipelines are drawn.
#[derive(Clone, Copy, Debug)]
pub struct PipelineDistribution {
    pub count: usize,
    /// The time range in which their users arrive, in milliseconds.
    pub arrive_from_ms: u64,
    pub arrive_to_ms: u64,
    /// The share of pipelines with cancelled jobs, and how long after the user's arrival they are cancelled at the latest.
    pub cancelled_share: f64,
    pub max_cancel_delay_ms: u64,
    /// The share of last jobs that are submitted only when all their dependencies are finished.
    pub late_share: f64,
}

impl Default for PipelineDistribution {
    fn default() -> Self {
        let (cancelled, cancelled_within, late) = (0.35, 40_000, 0.3);
        Self {
            count: 7,
            arrive_from_ms: 2_000,
            arrive_to_ms: 100_000,
            cancelled_share: cancelled,
            max_cancel_delay_ms: cancelled_within,
            late_share: late,
        }
    }
}

/// For each job, the earlier jobs that it depends on.
pub fn dependency_indices(
    shape: PipelineShape,
    jobs: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<Vec<usize>> {
    let last = jobs.saturating_sub(1);
    let dependencies_of = |job: usize, rng: &mut ChaCha8Rng| match shape {
        _ if job == 0 => Vec::new(),
        PipelineShape::Chain => vec![job - 1],
        PipelineShape::Diamond if job == last => (1..last).collect(),
        PipelineShape::Diamond | PipelineShape::ManyBehindOne => vec![0],
        PipelineShape::OneBehindMany if job == last => (0..last).collect(),
        PipelineShape::OneBehindMany => Vec::new(),
        PipelineShape::Mesh => {
            let mut before: Vec<usize> = (0..job).collect();
            before.shuffle(rng);
            before.truncate(rng.random_range(1..4));
            before
        }
    };
    (0..jobs).map(|job| dependencies_of(job, rng)).collect()
}

/// A short job of a pipeline, without dependencies yet.
pub fn random_stage(id: JobId, rng: &mut ChaCha8Rng) -> JobSpec {
    let shape = if rng.random_bool(0.7) { Shape::Array } else { Shape::Gang };
    JobSpec {
        id,
        class: "quick".into(),
        team: if rng.random_bool(0.4) { "red" } else { "blue" }.into(),
        shape,
        rank: if rng.random_bool(0.5) { Rank::Low } else { Rank::Standard },
        tasks: rng.random_range(1..4),
        cpus: 1.0,
        gpus: 1.0,
        memory_gb: 4.0,
        image: format!("img-{}", rng.random_range(0..4)),
        image_gb: 1.0,
        flavors: None,
        zone: None,
        one_zone: shape == Shape::Gang && rng.random_bool(0.3),
        spread: false,
        spot: rng.random_bool(0.5),
        estimate_s: rng.random_range(1.0..8.0),
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

impl World {
    /// Adds users with random pipelines. Some of their first jobs depend on jobs of other users or of earlier pipelines.
    pub fn add_pipelines(&mut self, seed: u64, distribution: PipelineDistribution) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x7069_7065);
        let is_finite = |user: &&User| user.spec.shape != Shape::Service;
        let mut earlier_jobs: Vec<JobId> =
            self.users.iter().filter(is_finite).map(|user| user.spec.id.clone()).collect();
        let mut number = FIRST_JOB_NUMBER;
        for _ in 0..distribution.count {
            let jobs = rng.random_range(2..8);
            let shape = *PIPELINE_SHAPES.choose(&mut rng).unwrap_or(&PipelineShape::Chain);
            let mut ids = Vec::new();
            for _ in 0..jobs {
                let thousands = rng.random_range(0..900) * 1_000;
                ids.push(JobId::new(&format!("req-{:06}", thousands + number)));
                number += 1;
            }
            self.add_pipeline(shape, &ids, &earlier_jobs, distribution, &mut rng);
            earlier_jobs.extend(ids);
        }
    }

    fn add_pipeline(
        &mut self,
        shape: PipelineShape,
        ids: &[JobId],
        earlier_jobs: &[JobId],
        distribution: PipelineDistribution,
        rng: &mut ChaCha8Rng,
    ) {
        let at = rng.random_range(distribution.arrive_from_ms..distribution.arrive_to_ms);
        let dependencies = dependency_indices(shape, ids.len(), rng);
        for (job, indices) in dependencies.iter().enumerate() {
            let mut spec = random_stage(ids[job].clone(), rng);
            spec.dependencies = indices.iter().map(|index| ids[*index].clone()).collect();
            if job == 0 && rng.random_bool(0.4) {
                spec.dependencies.extend(earlier_jobs.choose(rng).cloned());
            }
            let last = job + 1 == ids.len();
            if last {
                (spec.rank, spec.deadline_s) = (Rank::High, Some(rng.random_range(60.0..150.0)));
            }
            self.add_job_at(spec, at);
            if last && rng.random_bool(distribution.late_share) {
                self.submit_last_after_dependencies();
            }
        }
        if rng.random_bool(distribution.cancelled_share) {
            let cancelled_at = at + rng.random_range(0..distribution.max_cancel_delay_ms);
            // Cancels one or two jobs of the pipeline at once, with equal probability.
            let jobs = rng.random_range(1..3);
            for id in ids.choose_multiple(rng, jobs) {
                self.schedule_cancel(id.as_str(), cancelled_at);
            }
        }
    }

    /// A job's user, who arrives as planned, cancels it at the given time.
    pub fn schedule_cancel(&mut self, job: &str, at: u64) {
        if let Some(user) = self.users.iter_mut().find(|user| user.spec.id.as_str() == job) {
            user.abort_at = Some(at);
        }
    }

    /// The user added last submits its job when all its dependencies are finished.
    pub fn submit_last_after_dependencies(&mut self) {
        if let Some(user) = self.users.last_mut().filter(|u| !u.spec.dependencies.is_empty()) {
            user.submit_when = SubmitWhen::DependenciesFinished;
        }
    }

    /// Whether a user may send requests by now: its job's dependencies have reached the state it waits for, and jobs with
    /// dependencies are only submitted once every controller runs the version that supports them.
    pub(super) fn may_submit(&mut self, at: usize) -> bool {
        let user = &self.users[at];
        if user.submit_when == SubmitWhen::Immediately {
            return true;
        }
        let is_ready = |id: &JobId| self.is_dependency_ready(id, user.submit_when);
        if self.now < user.arrives_at
            || !self.all_current()
            || !user.spec.dependencies.iter().all(is_ready)
        {
            return false;
        }
        let now = self.now;
        let user = &mut self.users[at];
        user.submit_when = SubmitWhen::Immediately;
        (user.arrives_at, user.next_request_at, user.give_up_at) =
            (now, now, now + SUBMIT_TIMEOUT_MS);
        true
    }

    fn is_dependency_ready(&self, id: &JobId, submit_when: SubmitWhen) -> bool {
        let Some(user) = self.users.iter().find(|user| user.spec.id == *id) else { return true };
        match submit_when {
            SubmitWhen::DependenciesFinished => {
                self.region.checker.final_status(id.as_str()).is_some()
            }
            SubmitWhen::Immediately | SubmitWhen::DependenciesAccepted => user.accepted,
        }
    }

    /// The final status of a job that is stored in the state service.
    fn durable_status(&self, id: &JobId) -> Option<JobStatus> {
        let value = self.state.value(&final_key(id))?.clone();
        Some(serde_json::from_value::<FinalRecord>(value).ok()?.status)
    }

    /// Whether a job is stored as done in the state service.
    pub fn is_durably_done(&self, id: &JobId) -> bool {
        self.durable_status(id) == Some(JobStatus::Done)
    }

    /// A dependency that is not stored as done in the state service.
    pub fn unfinished_dependency<'s>(&self, spec: &'s JobSpec) -> Option<&'s JobId> {
        spec.dependencies.iter().find(|id| !self.is_durably_done(id))
    }

    /// Accepted jobs that wait for dependencies.
    pub fn waiting_jobs(&self) -> usize {
        let is_finished =
            |user: &User| self.region.checker.final_status(user.spec.id.as_str()).is_some();
        let is_waiting = |user: &&User| {
            user.accepted && !is_finished(user) && self.unfinished_dependency(&user.spec).is_some()
        };
        self.users.iter().filter(is_waiting).count()
    }

    /// Accepted jobs that have dependencies.
    pub fn accepted_dependents(&self) -> usize {
        let is_accepted_dependent =
            |user: &&User| user.accepted && !user.spec.dependencies.is_empty();
        self.users.iter().filter(is_accepted_dependent).count()
    }

    /// Checks, when a task of a job is assigned, that all its dependencies are durably done.
    fn check_release(&mut self, job: &str, action: &str) {
        let Some(spec) = self.region.external.specs.get(job) else { return };
        if let Some(open) = self.unfinished_dependency(spec) {
            let text = format!("{job} {action}, but {open} is not durably done");
            self.region.checker.report_violation(self.now, "too_early", text);
        }
    }

    /// Checks a response to a user: a submission that names accepted jobs is never rejected permanently, and no final status is
    /// reported before the record from which it follows, of the job or of a dependency, is durable.
    pub fn check_user_response(&mut self, job: &str, reply: &HttpReply, submission: bool) {
        let Some(spec) = self.region.external.specs.get(job) else { return };
        if submission && !spec.dependencies.is_empty() && matches!(reply.status, 400 | 422) {
            let text =
                format!("{job} got {} although all its dependencies were accepted", reply.status);
            return self.region.checker.report_violation(self.now, "refused", text);
        }
        if !matches!(reply.status, 200 | 201) {
            return;
        }
        let body: serde_json::Value = serde_json::from_str(&reply.body).unwrap_or_default();
        let Ok(status) = serde_json::from_value::<JobStatus>(body["status"].clone()) else {
            return;
        };
        if status.is_final() && !self.follows_from_records(&spec.id, status) {
            let text = format!("{job} is reported as {status:?}, but no stored record shows it");
            self.region.checker.report_violation(self.now, "not_durable", text);
        }
    }

    /// Whether a job's final status follows from what the state service stores.
    fn follows_from_records(&self, id: &JobId, status: JobStatus) -> bool {
        if let Some(stored) = self.durable_status(id) {
            return stored == status;
        }
        let mut visited: BTreeSet<&str> = BTreeSet::new();
        let mut open = vec![id.as_str()];
        while let Some(id) = open.pop() {
            let ended = self.durable_status(&JobId::new(id));
            if ended.is_some_and(|stored| stored != JobStatus::Done) {
                return status == JobStatus::Cancelled;
            }
            let Some(spec) = self.region.external.specs.get(id) else { continue };
            let dependencies = spec.dependencies.iter().map(|id| id.as_str());
            open.extend(dependencies.filter(|id| visited.insert(id)));
        }
        false
    }

    /// Checks a write of a controller, successful or not.
    pub(super) fn check_write(&mut self, node: usize, op: &StoreOp, reply: &StoreReply) {
        self.check_repeated_refusal(node, op, reply);
        self.check_previous_version_fields(node, op, reply);
        let (StoreOp::Txn(txn), StoreReply::Committed(_)) = (op, reply) else { return };
        for job in assigned_jobs(txn) {
            self.check_release(job.as_str(), "is assigned");
        }
    }

    /// Checks orders that leave a controller.
    pub(super) fn check_orders(&mut self, orders: &[Order]) {
        for order in orders {
            let Order::Run { task, .. } = order else { continue };
            if let Some((job, _)) = task.rsplit_once('/') {
                self.check_release(job, "is ordered to run");
            }
        }
    }

    /// The leader releases a job with dependencies only once their ends are durable, whatever workers have
    /// reported.
    pub(super) fn check_released_jobs(&mut self) {
        let Some(term) = self.active_term() else { return };
        let is_newly_released = |job: &&Job| {
            !job.spec.dependencies.is_empty()
                && job.state == JobState::Open
                && !self.released.contains(&job.spec.id)
        };
        let released: Vec<JobId> = term
            .job_table
            .jobs
            .values()
            .filter(is_newly_released)
            .map(|job| job.spec.id.clone())
            .collect();
        for id in released {
            self.check_release(id.as_str(), "is released");
            self.released.insert(id);
        }
    }

    /// Waiting jobs hold nothing, and the usage that the leader counts against teams' limits equals what jobs hold.
    pub(super) fn check_waiting_jobs(&mut self) {
        let Some(term) = self.active_term() else { return };
        let mut violations = Vec::new();
        let mut held: BTreeMap<&str, TeamUsage> = BTreeMap::new();
        for (id, job) in &term.job_table.jobs {
            if job.state == JobState::Waiting && job.assigned > 0 {
                violations.push(format!("{id} waits but holds {} tasks", job.assigned));
            }
            let usage = held.entry(&job.spec.team).or_default();
            usage.cpus += job.spec.cpus * f64::from(job.assigned);
            usage.gpus += job.spec.gpus * f64::from(job.assigned);
        }
        for (team, counted) in &term.job_table.usage {
            let held = held.get(team.as_str()).copied().unwrap_or_default();
            let differs = |a: f64, b: f64| (a - b).abs() > EPSILON;
            if differs(counted.gpus, held.gpus) || differs(counted.cpus, held.cpus) {
                violations
                    .push(format!("{team} is counted as using {counted:?} but holds {held:?}"));
            }
        }
        for text in violations {
            self.region.checker.report_violation(self.now, "waiting", text);
        }
    }

    /// Runs until this many accepted jobs wait for dependencies; returns the time, or `None` if `until` comes first.
    pub fn run_until_waiting(&mut self, jobs: usize, until: u64) -> Option<u64> {
        while self.continues_before(until) {
            if self.waiting_jobs() >= jobs {
                return Some(self.now);
            }
            self.run_until(self.now + STEP_MS);
        }
        None
    }
}

/// Jobs to whose tasks a transaction assigns machines.
fn assigned_jobs(txn: &Txn) -> impl Iterator<Item = JobId> {
    txn.changes.iter().filter_map(|change| {
        let Change::Put { key, value, .. } = change else { return None };
        let (job, _) = parse_chunk_key(key)?;
        let record = serde_json::from_value::<ChunkRecord>(value.clone()).ok()?;
        (!record.assignments.is_empty()).then_some(job)
    })
}

impl World {
    /// Executes a write as if it came from the first controller.
    pub fn write(&mut self, op: &StoreOp) {
        let reply = self.state.serve(self.now, op);
        self.check_write(0, op, &reply);
    }
}
