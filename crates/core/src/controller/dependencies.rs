//! Dependencies of jobs: any controller checks whether the jobs that a submission depends on were
//! accepted; the leader also reads the final states of those that it does not have in memory.

use super::leading::parse_live_record;
use super::{Controller, LookupReason, Purpose};
use crate::conn_id::ConnId;
use crate::constants::{
    DEPENDENCY_RETRY_MS, DEPENDENCY_SCAN_PERIOD_MS, MAX_DEPENDENCY_READS, STORE_THROTTLED_PAUSE_MS,
};
use crate::jobs::{self, FinalRecord, JobLifetime, LiveRecord};
use crate::leader_term::Stage;
use crate::store::{OpClass, StoreOp, StoreReply};
use oatloom_protocol::ids::{JobId, Mono, Now, Token};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{JobSpec, Shape};
use std::collections::BTreeMap;

/// A submission whose dependencies are being checked.
#[derive(Debug)]
pub(super) struct DependencyCheck {
    conn: ConnId,
    spec: JobSpec,
    forwarded: bool,
    /// Dependencies that are not yet known to be accepted.
    unknown: Vec<JobId>,
}

/// Which record of a dependency is read. Jobs only move from the first to the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DependencyRecord {
    Live,
    Final,
}

/// Reads of final records for waiting jobs.
#[derive(Debug, Default)]
pub(super) struct DependencyReads {
    /// Jobs whose records are being read or were not found, and when they may be read again.
    not_before: BTreeMap<JobId, Mono>,
    in_flight: usize,
    next_scan: Mono,
}

impl Controller {
    /// Accepts a submission with dependencies once all of them are known to be accepted.
    pub(super) fn accept_with_dependencies(
        &mut self,
        now: Now,
        conn: ConnId,
        spec: JobSpec,
        forwarded: bool,
    ) {
        // An earlier version would load the job without its dependencies and start it.
        if !self.all_upgraded() {
            return self
                .reply(conn, HttpReply::unavailable("not every controller runs this version yet"));
        }
        let unknown = spec.dependencies.clone();
        self.check_dependencies(now, DependencyCheck { conn, spec, forwarded, unknown });
    }

    fn check_dependencies(&mut self, now: Now, mut check: DependencyCheck) {
        while let Some(id) = check.unknown.last() {
            match self.accepted_lifetime(id) {
                Some(JobLifetime::Finite) => {
                    check.unknown.pop();
                }
                Some(JobLifetime::Service) => {
                    let reply = HttpReply::error(422, "awaits names a service, which never ends");
                    return self.reject_dependencies(now, check, reply);
                }
                None => return self.read_dependency(now, check, DependencyRecord::Live),
            }
        }
        self.accept(now, check.conn, check.spec, check.forwarded);
    }

    /// Lifetime of a job, if this controller knows for certain that the job was accepted. Every job
    /// in a final state was finite.
    fn accepted_lifetime(&self, id: &JobId) -> Option<JobLifetime> {
        if self.finished_jobs.get(id).is_some() {
            return Some(JobLifetime::Finite);
        }
        self.accepted_jobs.get(id).copied()
    }

    fn read_dependency(&mut self, now: Now, check: DependencyCheck, record: DependencyRecord) {
        let Some(id) = check.unknown.last() else { return };
        let key = match record {
            DependencyRecord::Live => jobs::live_key(id),
            DependencyRecord::Final => jobs::final_key(id),
        };
        let conn = check.conn;
        let purpose = Purpose::CheckDependency { check: Box::new(check), record };
        if self.submit(now.mono, OpClass::General, StoreOp::Get { key }, purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }

    /// Processes a record of a job that a submission depends on.
    pub(super) fn on_dependency_check(
        &mut self,
        now: Now,
        check: DependencyCheck,
        record: DependencyRecord,
        reply: StoreReply,
    ) {
        if !self.open_requests.contains(check.conn) {
            return;
        }
        match reply {
            StoreReply::Found(row) => {
                let lifetime = match parse_live_record(&row) {
                    Some(record) => lifetime_of(&record),
                    None => JobLifetime::Finite,
                };
                if let Some(id) = check.unknown.last() {
                    self.accepted_jobs.insert(id.clone(), lifetime);
                }
                self.check_dependencies(now, check);
            }
            StoreReply::Missing(_) if record == DependencyRecord::Live => {
                self.read_dependency(now, check, DependencyRecord::Final);
            }
            StoreReply::Missing(_) => {
                let text = "awaits names a job that was never accepted";
                self.reject_dependencies(now, check, HttpReply::error(422, text));
            }
            _ => {
                if !self.forward_to_leader(now.mono, check.conn, &check.spec, check.forwarded) {
                    let reply = HttpReply::unavailable("the state service cannot be reached");
                    self.reply(check.conn, reply);
                }
            }
        }
    }

    /// Rejects a submission because of its dependencies, unless it was accepted before: a retry
    /// gets the original result.
    fn reject_dependencies(&mut self, now: Now, check: DependencyCheck, reply: HttpReply) {
        self.lookup(now.mono, check.conn, check.spec.id, LookupReason::Submit(reply));
    }

    /// Records that a job was accepted, as its durable record shows.
    pub(super) fn record_accepted(&mut self, record: &LiveRecord) {
        self.accepted_jobs.insert(record.spec.id.clone(), lifetime_of(record));
    }

    /// Resolves dependencies of waiting jobs that are not open in the leader's memory: from the
    /// cached final states, otherwise by reading a few records at a time, each once for all jobs
    /// that need it.
    pub(super) fn resolve_dependencies(&mut self, now: Mono) {
        if now < self.dependency_reads.next_scan {
            return;
        }
        let Some(leader_term) =
            self.leader_term.as_mut().filter(|leader_term| leader_term.stage == Stage::Active)
        else {
            return;
        };
        self.dependency_reads.next_scan = now.plus(DEPENDENCY_SCAN_PERIOD_MS);
        let unresolved: Vec<JobId> =
            leader_term.job_table.unresolved_dependencies().cloned().collect();
        let token = leader_term.token;
        let mut to_read = Vec::new();
        for id in unresolved {
            if let Some(record) = self.finished_jobs.get(&id) {
                leader_term.job_table.dependency_ended(&id, record.status, now);
                self.dependency_reads.not_before.remove(&id);
            } else if self.dependency_reads.not_before.get(&id).is_none_or(|at| now >= *at) {
                to_read.push(id);
            }
        }
        for id in to_read {
            if self.dependency_reads.in_flight >= MAX_DEPENDENCY_READS {
                break;
            }
            self.dependency_reads.in_flight += 1;
            let retry_at = now.plus(DEPENDENCY_RETRY_MS);
            self.dependency_reads.not_before.insert(id.clone(), retry_at);
            let op = StoreOp::Get { key: jobs::final_key(&id) };
            // Not refused: only operations of the general class are limited in number.
            let _ = self.submit(now, OpClass::Write, op, Purpose::ResolveDependency { token, id });
        }
    }

    /// Processes the final record of a job that others depend on.
    pub(super) fn on_dependency(&mut self, now: Mono, token: Token, id: JobId, reply: StoreReply) {
        let reads = &mut self.dependency_reads;
        reads.in_flight = reads.in_flight.saturating_sub(1);
        reads.next_scan = now;
        let record = match reply {
            StoreReply::Found(row) => serde_json::from_value::<FinalRecord>(row.value),
            // Another controller accepted it a moment ago: its live record will arrive through the
            // watch.
            StoreReply::Missing(_) => return,
            _ => {
                reads.not_before.insert(id, now.plus(STORE_THROTTLED_PAUSE_MS));
                return;
            }
        };
        reads.not_before.remove(&id);
        let job_table = self
            .leader_term
            .as_mut()
            .filter(|leader_term| leader_term.token == token)
            .map(|term| &mut term.job_table);
        match (record, job_table) {
            (Ok(record), job_table) => {
                if let Some(job_table) = job_table {
                    job_table.dependency_ended(&id, record.status, now);
                }
                self.finished_jobs.insert(id, record);
            }
            (Err(error), Some(job_table)) => {
                log::error!("state service: {} cannot be decoded: {error}", jobs::final_key(&id));
                job_table.dependency_unreadable(&id);
            }
            (Err(_), None) => {}
        }
    }

    /// Discards the state of the reads when a new term begins.
    pub(super) fn forget_dependency_reads(&mut self) {
        self.dependency_reads = DependencyReads::default();
    }
}

fn lifetime_of(record: &LiveRecord) -> JobLifetime {
    match record.spec.shape {
        Shape::Service => JobLifetime::Service,
        Shape::Array | Shape::Gang => JobLifetime::Finite,
    }
}
