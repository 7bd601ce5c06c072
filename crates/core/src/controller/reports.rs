//! Workers' reports, parked replies, and direct commands.

use super::*;
use crate::parked_reports::{ParkedReport, ParkedScan};

/// Reply to a report that is older than another one, or whose machine was released.
const OUTDATED: &str = "an older report, or a machine that was returned";

impl Controller {
    /// As the leader, answers a report, or parks it while there are no orders for its worker. As a
    /// follower, relays it to the leader or redirects its worker. Returns `None` if the reply
    /// follows later.
    pub(super) fn on_report(
        &mut self,
        now: Mono,
        conn: ConnId,
        report: &Report,
        forwarded: bool,
    ) -> Option<HttpReply> {
        let token = self.leadership.valid(now);
        if let (Some(token), Some(leader_term)) = (token, self.leader_term.as_mut()) {
            if report.token > token {
                self.leadership.on_higher_token(report.token);
            } else if leader_term.stage != Stage::Active {
                // The reply to a report extends the lease of its machine's tasks, so it must be
                // known first which of them were cancelled. The report is parked unapplied until
                // the job table is loaded; a relayed one is refused, since its relay does not wait
                // that long.
                if forwarded {
                    return Some(HttpReply::error(503, "the book is being read"));
                }
                // An old report must not replace the open one of its worker.
                if self.parked.has_newer(report) {
                    return Some(HttpReply::error(409, OUTDATED));
                }
                self.park_report(report, conn, now, Some(Box::new(report.clone())));
                return None;
            } else if let Some(answer) = leader_term.on_report(report, now) {
                let may_park = answer.orders.is_empty()
                    && report.token == token
                    && !forwarded
                    && leader_term.may_park_report(&self.settings, &report.host, now);
                if !may_park {
                    leader_term.answered(&report.host, now);
                }
                if may_park {
                    self.park_report(report, conn, now, None);
                    return None;
                }
                self.drop_parked(&report.host);
                return Some(HttpReply::json(200, &answer));
            }
            // Not 503, which would tell a relaying controller that this one cannot lead.
            return Some(HttpReply::error(409, OUTDATED));
        }
        let leader = self.leadership.other_leader().filter(|_| !forwarded).cloned();
        let Some(leader) = leader else {
            return Some(HttpReply::error(503, "no leader is known"));
        };
        let acknowledged = self.leadership.leader_token() == Some(report.token);
        match self.report_router.route(&report.host, acknowledged, now) {
            ReportRoute::Forward => {
                self.traffic.relayed += 1;
                self.ask_peer(now, conn, leader, PeerRequest::Report(Box::new(report.clone())));
                None
            }
            ReportRoute::Redirect => Some(HttpReply::json(421, &Redirect { leader: Some(leader) })),
            ReportRoute::TryOther => {
                let leader = self.route_around(&leader, now);
                Some(HttpReply::json(421, &Redirect { leader }))
            }
            ReportRoute::RetryLater => {
                Some(HttpReply::error(503, "the leader takes no reports at present"))
            }
        }
    }

    /// Parks a report until there are orders for its worker.
    fn park_report(
        &mut self,
        report: &Report,
        conn: ConnId,
        now: Mono,
        unapplied: Option<Box<Report>>,
    ) {
        self.drop_parked(&report.host);
        self.traffic.parked += 1;
        let (session, sequence) = (report.session, report.report_seq);
        // The worker has already waited for the time that the request was queued.
        let until = now.plus(Millis(MAX_PARK_MS.0.saturating_sub(self.queue_delay.0)));
        self.parked.park(report.host.clone(), conn, session, sequence, until, unapplied);
        if self
            .leader_term
            .as_ref()
            .is_some_and(|leader_term| leader_term.has_pending_orders(&report.host))
        {
            self.parked.watch(&report.host);
        }
        self.open_requests.insert(conn, now.plus(WORKER_ANSWER_TIMEOUT_MS));
    }

    /// Drops the parked report of a worker. A worker has one report in flight, so it has given up
    /// on an older one.
    fn drop_parked(&mut self, host: &HostId) {
        if let Some(old) = self.parked.take(host) {
            self.reply(old.conn, HttpReply::error(409, "a newer report has come"));
        }
    }

    /// Replies to parked reports that have orders by now or have timed out.
    pub(super) fn answer_parked(&mut self, now: Mono) {
        let valid = self.leadership.valid(now).is_some();
        let Some(leader_term) = self.leader_term.as_mut().filter(|_| valid) else {
            for (_, parked) in self.parked.take_all() {
                self.reply(parked.conn, HttpReply::error(503, "no leader any more"));
            }
            return;
        };
        let active = leader_term.stage == Stage::Active;
        for host in leader_term.take_changed_machines() {
            self.parked_may_be_due = true;
            self.parked.watch(&host);
        }
        let changed = std::mem::take(&mut self.parked_may_be_due) || now >= self.next_parked_check;
        let check = if active && changed { ParkedScan::Watched } else { ParkedScan::Expired };
        if check == ParkedScan::Watched {
            self.next_parked_check = now.plus(PARKED_CHECK_PERIOD_MS);
        }
        let ready = |host: &HostId, p: &ParkedReport| {
            active && (p.unapplied.is_some() || leader_term.has_sendable_orders(host))
        };
        let due = self.parked.due(now, check, ready);
        // Reports beyond this batch must not wait for the next periodic check.
        self.parked_may_be_due = due.len() >= MAX_PARKED_ANSWERS_PER_EVENT;
        for host in due {
            let (Some(leader_term), Some(parked)) =
                (self.leader_term.as_mut(), self.parked.take(&host))
            else {
                continue;
            };
            let answer = match &parked.unapplied {
                None => {
                    leader_term.answer_parked_report(&host, parked.session, parked.report_seq, now)
                }
                Some(_) if !active => {
                    self.reply(parked.conn, HttpReply::error(503, "the book is being read"));
                    continue;
                }
                Some(report) => {
                    let answer = leader_term.on_report(report, now);
                    if answer.is_some() {
                        leader_term.answered(&host, now);
                    }
                    answer
                }
            };
            let reply = match answer {
                Some(answer) => HttpReply::json(200, &answer),
                None => HttpReply::error(409, OUTDATED),
            };
            self.reply(parked.conn, reply);
        }
    }

    /// Sends stops directly to workers. The number in flight limits the cost of unreachable
    /// machines.
    pub(super) fn send_commands(&mut self, now: Mono) {
        if self.leadership.valid(now).is_none() {
            return;
        }
        let Some(leader_term) = self.leader_term.as_mut() else { return };
        while self.commands_in_flight < MAX_COMMANDS_INFLIGHT
            && let Some((host, addr, command)) = leader_term.next_direct_stop()
        {
            log::debug!(
                "machine {host}: sent a direct command with {} orders",
                command.orders.len()
            );
            self.commands_in_flight += 1;
            self.actions.push(Action::Command { addr, command });
        }
        // Fewer in flight here: machines that do not report are mostly unreachable too, and urgent
        // commands must not wait for their timeouts.
        while self.commands_in_flight < MAX_OVERDUE_COMMANDS
            && let Some((host, addr, command)) = leader_term.next_overdue_stop(now)
        {
            log::debug!(
                "machine {host}: does not report; sent a direct command to stop finished tasks"
            );
            self.commands_in_flight += 1;
            self.actions.push(Action::Command { addr, command });
        }
    }

    pub(super) fn on_command_reply(&mut self, now: Mono, report: Option<Box<Report>>) {
        self.commands_in_flight = self.commands_in_flight.saturating_sub(1);
        let valid = self.leadership.valid(now).is_some();
        if let (Some(report), Some(leader_term)) =
            (report, self.leader_term.as_mut().filter(|_| valid))
        {
            leader_term.on_command_reply(&report, now);
        }
    }
}
