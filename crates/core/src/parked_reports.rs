//! Parked reports: their answers are delayed until there are orders or a deadline passes. Start
//! orders are sent only with the answer to a report, so a machine that has just been answered would
//! get its next task a whole report period later; one whose report is still open gets it at once.

use crate::conn_id::ConnId;
use crate::constants::{
    MAX_PARKED_ANSWERS_PER_EVENT, MAX_PARKED_FULL_SCAN, PARKED_SWEEP_PERIOD_MS,
};
use oatloom_protocol::ids::{HostId, Mono, ReportSeq, WorkerSession};
use oatloom_protocol::wire::Report;
use std::collections::{BTreeMap, BTreeSet};

/// A report that has not been answered yet.
#[derive(Clone, Debug, PartialEq)]
pub struct ParkedReport {
    pub conn: ConnId,
    pub session: WorkerSession,
    pub report_seq: ReportSeq,
    /// Latest time of its answer, well before its worker times out.
    pub deadline: Mono,
    /// The report itself, if it has not been applied yet.
    pub unapplied: Option<Box<Report>>,
}

/// Which parked reports are checked. Checking all of them at every event cost a leader of thousands of machines more than
/// handling its reports, growing with the number of parked reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ParkedScan {
    /// Only those whose deadline has passed.
    Expired,
    /// Also those of watched machines.
    Watched,
}

/// Parked reports by machine and by deadline.
#[derive(Debug, Default)]
pub struct ParkedReports {
    waiting: BTreeMap<HostId, ParkedReport>,
    by_deadline: BTreeSet<(Mono, HostId)>,
    /// Machines for which there may be orders before their deadline.
    watched: BTreeSet<HostId>,
    next_sweep: Mono,
    /// Number of reports checked so far, for tests.
    checked_reports: u64,
}

impl ParkedReports {
    /// Parks a report, to be answered by `deadline` at the latest.
    pub fn park(
        &mut self,
        host: HostId,
        conn: ConnId,
        session: WorkerSession,
        report_seq: ReportSeq,
        deadline: Mono,
        unapplied: Option<Box<Report>>,
    ) {
        self.take(&host);
        if unapplied.is_some() {
            self.watched.insert(host.clone());
        }
        self.by_deadline.insert((deadline, host.clone()));
        self.waiting.insert(host, ParkedReport { conn, session, report_seq, deadline, unapplied });
    }

    /// Watches a machine for which there may be orders now or soon.
    pub fn watch(&mut self, host: &HostId) {
        if self.waiting.contains_key(host) {
            self.watched.insert(host.clone());
        }
    }

    /// Number of reports checked so far.
    pub fn checked_reports(&self) -> u64 {
        self.checked_reports
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the same machine has a parked report that is at least as new.
    pub fn has_newer(&self, report: &Report) -> bool {
        let waiting = self.waiting.get(&report.host);
        waiting.is_some_and(|p| (p.session, p.report_seq) >= (report.session, report.report_seq))
    }

    /// Removes a machine's parked report: a newer one has come, or it is being answered.
    pub fn take(&mut self, host: &HostId) -> Option<ParkedReport> {
        let parked = self.waiting.remove(host)?;
        self.by_deadline.remove(&(parked.deadline, host.clone()));
        self.watched.remove(host);
        Some(parked)
    }

    /// Removes all parked reports, to be answered because this controller no longer leads.
    pub fn take_all(&mut self) -> BTreeMap<HostId, ParkedReport> {
        self.by_deadline.clear();
        self.watched.clear();
        std::mem::take(&mut self.waiting)
    }

    /// Returns the machines whose deadline has passed, and of those checked the ones for which `ready` holds; no more
    /// than can be answered at once. All are checked periodically, whatever `scan` says, and always if there are few.
    pub fn due(
        &mut self,
        now: Mono,
        scan: ParkedScan,
        ready: impl Fn(&HostId, &ParkedReport) -> bool,
    ) -> Vec<HostId> {
        if self.waiting.len() <= MAX_PARKED_FULL_SCAN {
            self.checked_reports += self.waiting.len() as u64;
            let due = |(host, p): &(&HostId, &ParkedReport)| now >= p.deadline || ready(host, p);
            return self.waiting.iter().filter(due).map(|(host, _)| host.clone()).collect();
        }
        let expired = self.by_deadline.iter().take_while(|(deadline, _)| now >= *deadline);
        let mut due: Vec<HostId> =
            expired.take(MAX_PARKED_ANSWERS_PER_EVENT).map(|(_, host)| host.clone()).collect();
        let sweep_due = now >= self.next_sweep;
        if sweep_due {
            self.next_sweep = now.plus(PARKED_SWEEP_PERIOD_MS);
        }
        let to_check: Box<dyn Iterator<Item = &HostId>> = match scan {
            _ if sweep_due => Box::new(self.waiting.keys()),
            ParkedScan::Watched => Box::new(self.watched.iter()),
            ParkedScan::Expired => return due,
        };
        let mut checked = 0;
        for host in to_check {
            if due.len() >= MAX_PARKED_ANSWERS_PER_EVENT {
                break;
            }
            checked += 1;
            let Some(parked) = self.waiting.get(host) else { continue };
            if now < parked.deadline && ready(host, parked) {
                due.push(host.clone());
            }
        }
        self.checked_reports += checked;
        due
    }
}

#[cfg(test)]
mod tests;
