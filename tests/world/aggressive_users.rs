//! Users who send further requests within milliseconds of each response: they query and resubmit at every node, cancel jobs
//! the moment they are accepted or end, and send invalid requests.

use super::{Fault, Message, Sender, World};
use oatloom_core::api::{Request, Submission, parse};
use oatloom_protocol::ids::JobId;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{JobSpec, JobStatus, Order, ReportAnswer};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// When every node is queried after a response, in milliseconds.
const QUERY_DELAYS_MS: [u64; 7] = [0, 1, 3, 8, 20, 60, 200];
/// When the job is resubmitted at every node: less often, since a follower asks the state service whether it knows the job.
const RESUBMIT_DELAYS_MS: [u64; 2] = [0, 15];
/// A finer step than usual, so that events a few milliseconds apart fall into different steps.
pub const FINE_STEP_MS: u64 = 5;

/// A raw HTTP request that belongs to no user's job, and its response with the time of its arrival.
#[derive(Debug)]
pub struct RawRequest {
    pub node: usize,
    pub request: String,
    pub reply: Option<(u64, HttpReply)>,
}

/// What users do beyond the default behaviour, and counts of what happened. Nothing by default.
#[derive(Debug, Default)]
pub struct AggressiveUsers {
    /// Whether they query all nodes and resubmit as soon as the state of their job changes.
    pub enabled: bool,
    /// The share of users who cancel their job the moment they learn that it is accepted.
    pub abort_on_accept_share: f64,
    /// The share of users who cancel when the job's last task ends, up to this many milliseconds later.
    pub abort_on_end: (f64, u64),
    /// The fault injected when the last task of every n-th job ends, up to the same delay later.
    pub fault_at_end: Option<(usize, Fault)>,
    /// Jobs whose users learned that they are accepted, done or cancelled and then sent further requests.
    pub accepted: u32,
    pub done: u32,
    pub cancelled: u32,
    /// Further requests that were sent.
    pub requests_sent: u32,
    /// Jobs that were cancelled when their last task ended.
    pub cancelled_at_end: BTreeSet<String>,
    /// Jobs for which a start order has left a controller.
    pub started: BTreeSet<String>,
    pub raw_requests: Vec<RawRequest>,
    last_status: BTreeMap<String, JobStatus>,
    ended_jobs: BTreeSet<String>,
}

/// A further request for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequest {
    View,
    Submit,
    Abort,
    /// The submission, with a field missing.
    SubmitIncomplete,
}

impl World {
    /// A job's user sends a node a request after the given delay.
    pub fn send_user_request(
        &mut self,
        job: &str,
        node: usize,
        user_request: UserRequest,
        after: u64,
    ) {
        let Some(user) = self.users.iter_mut().find(|u| u.spec.id.as_str() == job) else { return };
        let id = user.spec.id.clone();
        let request = match user_request {
            UserRequest::View => Request::View(id),
            UserRequest::Submit => Request::Submit(Submission::Spec(Box::new(user.spec.clone()))),
            UserRequest::SubmitIncomplete => Request::Submit(Submission::Invalid {
                id: Some(id),
                text: "a field is missing".into(),
            }),
            UserRequest::Abort => {
                user.abort_at.get_or_insert(self.now);
                self.region.checker.record_cancel_request(job);
                Request::Abort(id)
            }
        };
        self.aggressive_users.requests_sent += 1;
        let submission =
            matches!(user_request, UserRequest::Submit | UserRequest::SubmitIncomplete);
        let (abort, sent_at) = (user_request == UserRequest::Abort, self.now + after);
        let from = Sender::User { job: job.to_owned(), submission, abort, sent_at };
        let delay = after + self.delay();
        self.send(delay, Message::Request { node, from, request, forwarded: false });
    }

    /// Queries every node repeatedly.
    fn query_all_nodes(&mut self, job: &str) {
        for node in 0..3 {
            for after in QUERY_DELAYS_MS {
                self.send_user_request(job, node, UserRequest::View, after);
            }
            for after in RESUBMIT_DELAYS_MS {
                self.send_user_request(job, node, UserRequest::Submit, after);
            }
        }
    }

    /// A user has received the status of its job.
    pub(super) fn receive_status(&mut self, job: &str, body: &str) {
        if !self.aggressive_users.enabled {
            return;
        }
        let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let Ok(status) = serde_json::from_value::<JobStatus>(value["status"].clone()) else {
            return;
        };
        let before = self.aggressive_users.last_status.get(job).copied();
        if before.is_some() && (!status.is_final() || before.is_some_and(JobStatus::is_final)) {
            return;
        }
        self.aggressive_users.last_status.insert(job.to_owned(), status);
        match status {
            JobStatus::Done => self.aggressive_users.done += 1,
            JobStatus::Cancelled => self.aggressive_users.cancelled += 1,
            _ => self.aggressive_users.accepted += 1,
        }
        if !status.is_final() && self.rng.random_bool(self.aggressive_users.abort_on_accept_share) {
            // Sent to some or all nodes, each before or after the queries.
            for node in 0..3 {
                if self.rng.random_bool(0.6) {
                    let after = self.rng.random_range(0..30);
                    self.send_user_request(job, node, UserRequest::Abort, after);
                }
            }
        }
        self.query_all_nodes(job);
    }

    /// Handles jobs whose last task has just ended on its machine.
    pub(super) fn step_aggressive_users(&mut self) {
        let (share, max_delay_ms) = self.aggressive_users.abort_on_end;
        if share <= 0.0 {
            return;
        }
        let checker = &self.region.checker;
        let has_just_ended = |job: &String| {
            checker.is_job_done(job) && !self.aggressive_users.ended_jobs.contains(job)
        };
        let accepted = self.users.iter().filter(|u| u.accepted);
        let jobs: Vec<String> =
            accepted.map(|u| u.spec.id.to_string()).filter(has_just_ended).collect();
        for job in jobs {
            self.aggressive_users.ended_jobs.insert(job.clone());
            let nth = self.aggressive_users.ended_jobs.len();
            if let Some((every, fault)) = self.aggressive_users.fault_at_end
                && nth.is_multiple_of(every)
            {
                let at = self.now + self.rng.random_range(0..=max_delay_ms);
                self.add_faults([(at, fault)]);
            }
            if !self.rng.random_bool(share) || self.region.checker.final_status(&job).is_some() {
                continue;
            }
            self.aggressive_users.cancelled_at_end.insert(job.clone());
            for _ in 0..self.rng.random_range(1..4) {
                let (node, after) =
                    (self.rng.random_range(0..3), self.rng.random_range(0..=max_delay_ms));
                self.send_user_request(&job, node, UserRequest::Abort, after);
                self.send_user_request(&job, (node + 1) % 3, UserRequest::View, after);
                self.send_user_request(&job, (node + 2) % 3, UserRequest::Submit, after);
            }
        }
    }

    /// Records orders that leave a controller, even if they are lost on the way.
    pub(super) fn record_orders(&mut self, from: &Sender, reply: &HttpReply) {
        if reply.status == 200
            && matches!(from, Sender::Worker { .. } | Sender::Peer { .. })
            && let Ok(answer) = serde_json::from_str::<ReportAnswer>(&reply.body)
        {
            self.region.checker.check_orders(self.now, &answer.orders);
            self.check_orders(&answer.orders);
            for order in &answer.orders {
                if let Order::Run { task, .. } = order
                    && let Some((job, _)) = task.rsplit_once('/')
                {
                    self.aggressive_users.started.insert(job.to_owned());
                }
            }
        }
    }

    /// Sends a raw HTTP request to a node; one that fails to parse is answered at once without the controller.
    pub fn send_raw_request(&mut self, node: usize, method: &str, path: &str, body: &str) {
        let number = self.aggressive_users.raw_requests.len();
        let request_text = format!("{method} {path} {body}");
        let (reply, request) = match parse(method, path, body.as_bytes()) {
            Ok(request) => (None, Some(request)),
            Err(reply) => (Some((self.now, reply)), None),
        };
        self.aggressive_users.raw_requests.push(RawRequest { node, request: request_text, reply });
        if let Some(request) = request {
            let delay = self.delay();
            let from = Sender::RawRequest(number);
            self.send(delay, Message::Request { node, from, request, forwarded: false });
        }
    }

    /// Whether anything was ever written for a job.
    pub fn was_ever_written(&self, job: &str) -> bool {
        self.state.history().iter().any(|change| {
            let key = change.put.as_deref().unwrap_or_default();
            key.split('/').nth(1) == Some(job)
        })
    }

    /// Runs in fine steps to the given time, or to the first violated rule.
    pub fn run_finely_until(&mut self, until: u64) {
        self.step_ms = FINE_STEP_MS;
        self.run_until(until);
        self.step_ms = super::STEP_MS;
    }

    /// Whether a job's user knows that it is accepted.
    pub fn is_accepted(&self, job: &str) -> bool {
        self.users.iter().any(|u| u.accepted && u.spec.id.as_str() == job)
    }

    /// Whether any task of a job is on a machine.
    pub fn runs_on_machine(&self, job: &str) -> bool {
        self.region.checker.on_machines().any(|on| on.job == job)
    }

    /// The JSON of a job as its user sends it.
    pub fn json_of(spec: &JobSpec) -> serde_json::Value {
        serde_json::to_value(spec).expect("a description is JSON")
    }

    /// The final status of a job known to its user, and the time since that user arrived.
    pub fn ended_after(&self, job: &JobId) -> Option<(JobStatus, u64)> {
        let at = self.users.iter().find(|u| u.spec.id == *job)?.arrives_at;
        let checker = &self.region.checker;
        Some((checker.final_status(job.as_str())?, checker.final_status_at(job.as_str())? - at))
    }
}
