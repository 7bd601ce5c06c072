//! Reports whose answers wait a moment for something to say. A start command goes only with the
//! answer to a report, so a machine that has just reported hears of its next task a whole report
//! period later; one whose report is still open hears of it at once.

use crate::constants::PARK_MS;
use crate::reply::ConnId;
use oatloom_protocol::ids::{HostId, Mono, Shift, Tally};
use oatloom_protocol::wire::Report;
use std::collections::BTreeMap;

/// A report that has been taken up and not been answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Parked {
    pub conn: ConnId,
    pub shift: Shift,
    pub tally: Tally,
    /// When it is answered at the latest, well before its worker gives up.
    pub until: Mono,
    /// The report itself, if it has not been taken up yet.
    pub unread: Option<Box<Report>>,
}

#[derive(Debug, Default)]
pub struct ParkedReports {
    waiting: BTreeMap<HostId, Parked>,
}

impl ParkedReports {
    pub fn park(
        &mut self,
        host: HostId,
        conn: ConnId,
        shift: Shift,
        tally: Tally,
        now: Mono,
        unread: Option<Box<Report>>,
    ) {
        let until = now.plus(PARK_MS);
        self.waiting.insert(host, Parked { conn, shift, tally, until, unread });
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a report of the same machine waits that is no older.
    pub fn has_newer(&self, report: &Report) -> bool {
        let waiting = self.waiting.get(&report.host);
        waiting.is_some_and(|p| (p.shift, p.tally) >= (report.shift, report.tally))
    }

    /// Takes out what is parked of a machine: a newer report has come, or it is being answered.
    pub fn take(&mut self, host: &HostId) -> Option<Parked> {
        self.waiting.remove(host)
    }

    /// All of them, to be answered since this controller may no longer say anything.
    pub fn take_all(&mut self) -> BTreeMap<HostId, Parked> {
        std::mem::take(&mut self.waiting)
    }

    /// Those for which `ready` holds or whose time is up.
    pub fn due(&self, now: Mono, ready: impl Fn(&HostId, &Parked) -> bool) -> Vec<HostId> {
        let due = |(host, p): &(&HostId, &Parked)| now >= p.until || ready(host, p);
        self.waiting.iter().filter(due).map(|(host, _)| host.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
