//! Routing of reports that reach a follower: the worker is redirected to the leader, its report is
//! forwarded, or it has to try again later or at another controller.

use crate::constants::*;
use oatloom_protocol::ids::{HostId, Mono};
use std::collections::BTreeMap;

/// What to do with a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportRoute {
    /// Redirect the worker to the leader.
    Redirect,
    /// Forward the report to the leader.
    Forward,
    /// Send the worker to another controller: neither it nor this controller can reach the leader.
    TryOther,
    /// The leader accepts no reports at present: the worker retries in a second.
    RetryLater,
}

/// State of the link to the leader, by the result of the last forwarded report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderLink {
    Up,
    /// The leader refused a report and is assumed to refuse others until the given time.
    Refusing(Mono),
    /// The leader was unreachable and is assumed to be so until the given time.
    Unreachable(Mono),
}

/// A worker that was redirected to the leader, or whose reports are forwarded.
#[derive(Debug)]
struct RecentWorker {
    /// Since when its reports are forwarded, if they are.
    forwarded_since: Option<Mono>,
    /// When the worker is forgotten unless it reports here again.
    expires_at: Mono,
}

/// Workers that lately reported to this follower, and the link to the leader.
#[derive(Debug)]
pub struct ReportRouter {
    workers: BTreeMap<HostId, RecentWorker>,
    forwarding: usize,
    link: LeaderLink,
    last_sweep: Mono,
}

impl Default for ReportRouter {
    fn default() -> Self {
        Self { workers: BTreeMap::new(), forwarding: 0, link: LeaderLink::Up, last_sweep: Mono(0) }
    }
}

impl ReportRouter {
    /// Changes the state of the link; all its changes go through here.
    fn enter(&mut self, link: LeaderLink) {
        if std::mem::discriminant(&self.link) != std::mem::discriminant(&link) {
            log::debug!("relay: link to the leader: {:?} -> {link:?}", self.link);
        }
        self.link = link;
    }

    /// Records the leader's status for a forwarded report; `None` if the leader was unreachable.
    pub fn on_forward_result(&mut self, status: Option<u16>, now: Mono) {
        let until = now.plus(RELAY_FAILURE_PAUSE_MS);
        self.enter(match status {
            Some(503) => LeaderLink::Refusing(until),
            Some(_) => LeaderLink::Up,
            None => LeaderLink::Unreachable(until),
        });
    }

    /// Decides what to do with a worker's report. Forwarding bridges a partition between the zones of
    /// the leader and the worker: a worker that returns soon after a redirect could not reach the
    /// leader, and one that had acknowledged this leader's token would still report to it if it could.
    /// Of the latter only a limited number is forwarded at once: after an outage all workers of a
    /// fleet arrive here, and forwarding what they could report themselves used up both processors.
    pub fn route(&mut self, host: &HostId, acknowledged: bool, now: Mono) -> ReportRoute {
        self.sweep(now);
        match self.link {
            // Prevents a retry storm: workers redirected back and forth between followers returned
            // twice a second while the leader accepted no reports.
            LeaderLink::Refusing(until) if now < until => return ReportRoute::RetryLater,
            LeaderLink::Unreachable(until) if now < until => {
                let expires_at = now.plus(REDIRECT_RETURN_WINDOW_MS);
                let returned = self.workers.contains_key(host);
                let worker = self
                    .workers
                    .entry(host.clone())
                    .or_insert(RecentWorker { forwarded_since: None, expires_at });
                worker.expires_at = expires_at;
                return if returned { ReportRoute::TryOther } else { ReportRoute::Redirect };
            }
            _ => {}
        }
        let expires_at = now.plus(REDIRECT_RETURN_WINDOW_MS);
        match self.workers.get_mut(host) {
            Some(worker)
                if worker
                    .forwarded_since
                    .is_some_and(|since| now.since(since) >= RELAY_PERIOD_MS) =>
            {
                *worker = RecentWorker { forwarded_since: None, expires_at };
                self.forwarding -= 1;
                ReportRoute::Redirect
            }
            Some(worker) => {
                self.forwarding += usize::from(worker.forwarded_since.is_none());
                worker.forwarded_since.get_or_insert(now);
                worker.expires_at = expires_at;
                ReportRoute::Forward
            }
            None => {
                let forward = acknowledged && self.forwarding < MAX_FIRST_VISIT_RELAYS;
                self.forwarding += usize::from(forward);
                let worker = RecentWorker { forwarded_since: forward.then_some(now), expires_at };
                self.workers.insert(host.clone(), worker);
                if forward { ReportRoute::Forward } else { ReportRoute::Redirect }
            }
        }
    }

    /// Forgets workers that have not returned; runs once a second.
    fn sweep(&mut self, now: Mono) {
        if now.since(self.last_sweep) >= RELAY_SWEEP_PERIOD_MS {
            self.last_sweep = now;
            self.workers.retain(|_, worker| now < worker.expires_at);
            self.forwarding =
                self.workers.values().filter(|worker| worker.forwarded_since.is_some()).count();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(n: usize) -> HostId {
        HostId::new(&format!("i-{n:06}"))
    }

    /// After an outage a whole fleet reports to a follower: most workers are redirected instead of forwarded.
    #[test]
    fn only_a_limited_number_of_workers_is_forwarded_at_once() {
        let mut router = ReportRouter::default();
        let now = Mono(10_000);
        let forwarded = (0..1_000)
            .filter(|n| router.route(&host(*n), true, now) == ReportRoute::Forward)
            .count();
        assert_eq!(forwarded, MAX_FIRST_VISIT_RELAYS);
        // Workers that return could not reach the leader.
        assert_eq!(router.route(&host(999), true, Mono(14_000)), ReportRoute::Forward);
        // After a while they are redirected again, to try the leader themselves.
        let later = Mono(14_000 + RELAY_PERIOD_MS.0);
        router.route(&host(999), true, Mono(20_000));
        assert_eq!(router.route(&host(999), true, later), ReportRoute::Redirect);
    }

    /// After the leader refuses a report, no report of any worker is forwarded for a while.
    #[test]
    fn a_refusal_by_the_leader_pauses_all_forwarding() {
        let mut router = ReportRouter::default();
        assert_eq!(router.route(&host(1), true, Mono(10_000)), ReportRoute::Forward);
        router.on_forward_result(Some(503), Mono(10_010));
        assert_eq!(router.route(&host(2), true, Mono(10_020)), ReportRoute::RetryLater);
        let later = Mono(10_010 + RELAY_FAILURE_PAUSE_MS.0);
        assert_eq!(router.route(&host(2), true, later), ReportRoute::Forward);
        router.on_forward_result(None, later);
        assert_eq!(router.route(&host(3), true, later), ReportRoute::Redirect);
        assert_eq!(router.route(&host(3), true, later), ReportRoute::TryOther);
        router.on_forward_result(Some(200), later);
        assert_eq!(router.route(&host(2), true, later), ReportRoute::Forward);
    }
}
