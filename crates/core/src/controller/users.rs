//! Requests of users, and the requests between controllers that serve them.

use super::leading::parse_live_record;
use super::*;
use oatloom_graph::ids::GraphId;

impl Controller {
    pub(super) fn on_request(&mut self, now: Now, conn: ConnId, request: Request, forwarded: bool) {
        self.open_requests.insert(conn, now.mono.plus(USER_REQUEST_TIMEOUT_MS));
        match request {
            Request::HealthProbe => {
                self.traffic.probes += 1;
                let reply = self.health_reply(now.mono);
                self.reply(conn, reply);
            }
            Request::Report(report) => {
                let reply = self.on_report(now.mono, conn, &report, forwarded);
                // A report without a reply yet is counted where it is parked or relayed.
                if let Some(reply) = reply {
                    *match reply.status {
                        200 => &mut self.traffic.answered,
                        421 => &mut self.traffic.redirected,
                        _ => &mut self.traffic.rejected,
                    } += 1;
                    self.reply(conn, reply);
                }
            }
            Request::LeaderHints(hints) => {
                if let Some(leader) = &hints.leader {
                    self.leadership.on_peer_leader(leader, hints.token);
                    self.follow_leadership(now);
                }
                let reply = match &hints.gossip {
                    Some(gossip) => self.answer_gossip(now, gossip),
                    None => HttpReply::json(200, &serde_json::json!({})),
                };
                let previous = self.leader_hints.take().map(|(_, previous)| previous);
                self.leader_hints = Some((now.mono, LeaderHints::merge(previous, *hints)));
                self.reply(conn, reply);
            }
            Request::Gossip(gossip) => {
                let reply = self.answer_gossip(now, &gossip);
                self.reply(conn, reply);
            }
            // The number of parked reports is bounded by the number of machines, so they are not
            // counted.
            _ if self.open_requests.len().saturating_sub(self.parked.len())
                > self.user_inflight() =>
            {
                self.traffic.user_requests += 1;
                self.reply(conn, HttpReply::unavailable("too many requests at once"));
            }
            Request::Submit(submission) => {
                self.traffic.user_requests += 1;
                self.on_submit(now, conn, submission, forwarded);
            }
            Request::View(id) => {
                self.traffic.user_requests += 1;
                self.on_job_request(now, conn, PeerRequest::View(id), forwarded);
            }
            Request::Usage(query) => {
                self.traffic.user_requests += 1;
                self.on_usage_request(now.mono, conn, query);
            }
            Request::Graph(request) => {
                self.traffic.user_requests += 1;
                self.on_graph_request(now, conn, *request, forwarded);
            }
            Request::Abort(id) => self.on_job_request(now, conn, PeerRequest::Abort(id), forwarded),
        }
    }

    /// Maximum number of users' requests in flight.
    fn user_inflight(&self) -> usize {
        let max_requests =
            self.settings.facts.limits.max_connections() as f64 * MAX_USER_INFLIGHT_SHARE;
        (max_requests as usize).max(MIN_USER_INFLIGHT_LIMIT)
    }

    /// Records whether a request to the leader got any response. An error response counts as
    /// contact too, also from a leader that may not answer at present.
    pub(super) fn record_leader_contact(&mut self, got_response: bool, now: Mono) {
        // Two failures far apart with no request in between do not count as one long outage.
        let ongoing =
            self.leader_failures.filter(|(_, last)| now.since(*last) <= MAX_UNANSWERED_GAP_MS);
        let since = ongoing.map_or(now, |(since, _)| since);
        self.leader_failures = (!got_response).then_some((since, now));
    }

    pub(super) fn ask_peer(
        &mut self,
        now: Mono,
        conn: ConnId,
        to: Member,
        peer_request: PeerRequest,
    ) {
        self.next_id += 1;
        let until = now.plus(LEADER_QUERY_TIMEOUT_MS);
        self.peer_requests.insert(self.next_id, (conn, peer_request.clone(), until));
        self.actions.push(Action::PeerRequest { to, id: self.next_id, request: peer_request });
    }

    /// Returns what this controller may report of a job without a request to another.
    pub(super) fn known_view(&self, now: Mono, id: &JobId) -> Option<JobView> {
        if let Some(record) = self.finished_jobs.get(id) {
            return Some(record.view(id));
        }
        self.leadership.valid(now)?;
        let leader_term = self.leader_term.as_ref().filter(|term| term.stage == Stage::Active)?;
        leader_term.job_table.view(id)
    }

    pub(super) fn on_submit(
        &mut self,
        now: Now,
        conn: ConnId,
        submission: Submission,
        forwarded: bool,
    ) {
        let (id, rejection) = match &submission {
            Submission::Spec(spec) if self.is_reserved(&spec.id) => {
                (Some(spec.id.clone()), Some(HttpReply::error(400, "ids of this form are graphs'")))
            }
            Submission::Spec(spec) => (Some(spec.id.clone()), self.rejection(spec)),
            Submission::Invalid { id, text } => (id.clone(), Some(HttpReply::error(400, text))),
        };
        if let Some(view) = id.as_ref().and_then(|id| self.known_view(now.mono, id)) {
            self.reply(conn, HttpReply::json(200, &view));
            return;
        }
        match (rejection, submission, id) {
            (None, Submission::Spec(spec), _) if spec.dependencies.is_empty() => {
                self.accept(now, conn, *spec, forwarded);
            }
            (None, Submission::Spec(spec), _) => {
                self.accept_with_dependencies(now, conn, *spec, forwarded);
            }
            // A job accepted earlier is reported as known, even if its description is no longer
            // valid.
            (Some(reply), _, Some(id)) if reply.status != 503 => {
                self.lookup(now.mono, conn, id, LookupReason::Submit(reply));
            }
            (Some(reply), ..) => self.reply(conn, reply),
            (None, ..) => self.reply(conn, HttpReply::unavailable("cannot decide")),
        }
    }

    /// Whether the id is reserved for jobs of graphs.
    fn is_reserved(&self, id: &JobId) -> bool {
        self.leader_config.graphs.is_some() && GraphId::is_reserved(id)
    }

    /// Returns the reply that rejects a submission, if it cannot be accepted.
    pub(super) fn rejection(&self, spec: &JobSpec) -> Option<HttpReply> {
        let Some(catalog) = self.catalog() else {
            return Some(HttpReply::unavailable("the machine types are not known yet"));
        };
        let unprocessable = |text: &str| Some(HttpReply::error(422, text));
        let Some(team) = self.settings.team(&spec.team) else {
            return unprocessable("unknown team");
        };
        if !placement::fits_any_flavor(spec, &catalog.flavors) {
            return unprocessable("a task fits no allowed machine type");
        }
        let concurrent_tasks = match spec.shape {
            oatloom_protocol::wire::Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let exceeds = |need: f64, limit: f64| limit > 0.0 && need * concurrent_tasks > limit + 1e-9;
        if exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
            return unprocessable("the job needs more than the team's limit");
        }
        let contradictory = spec.one_zone && spec.spread && spec.tasks > 1;
        if contradictory && spec.shape != oatloom_protocol::wire::Shape::Array {
            log::info!(
                "job {}: requires both one zone and spread; only part of it can run",
                spec.id
            );
        }
        None
    }

    /// Accepts a job by creating its key, which any controller may do.
    pub(super) fn accept(&mut self, now: Now, conn: ConnId, spec: JobSpec, forwarded: bool) {
        // Submissions are forwarded when changes queue up here. While other controllers are down or
        // busy, the load balancer sends nearly all submissions to one follower, whose share of the
        // write rate is small, while the leader's share is unused.
        let leader_reachable = |leader: &Member| {
            self.store.change_wait(now.mono) > FORWARD_AFTER_MS && self.can_reach(leader, now.mono)
        };
        if (self.store.paused(now.mono)
            || self.leadership.other_leader().is_some_and(leader_reachable))
            && self.forward_to_leader(now.mono, conn, &spec, forwarded)
        {
            return;
        }
        let record = LiveRecord { spec, wall_ms: now.wall_ms, part: None };
        let id = &record.spec.id;
        let absent = |key: String| Condition { key, version: Revision(0) };
        let value = match serde_json::to_value(&record) {
            Ok(value) => value,
            Err(e) => return self.reply(conn, HttpReply::error(400, &e.to_string())),
        };
        if value.to_string().len() > self.limits.max_submission_bytes() {
            // The job may already be known with another description.
            let reply = HttpReply::error(400, "the description is too long to keep");
            return self.lookup(now.mono, conn, id.clone(), LookupReason::Submit(reply));
        }
        let txn = Txn {
            conditions: vec![absent(jobs::live_key(id)), absent(jobs::final_key(id))],
            changes: vec![Change::put(jobs::live_key(id), value)],
        };
        let sent_under = self.leadership.token();
        let purpose = Purpose::Accept { conn, record: Box::new(record), forwarded, sent_under };
        if self.submit(now.mono, OpClass::General, StoreOp::Txn(txn), purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }

    /// Forwards a submission to the leader if the state service does not accept it from this
    /// controller, which it may refuse individually. Returns whether it was forwarded.
    pub(super) fn forward_to_leader(
        &mut self,
        now: Mono,
        conn: ConnId,
        spec: &JobSpec,
        forwarded: bool,
    ) -> bool {
        let Some(leader) = self.leadership.other_leader().filter(|_| !forwarded).cloned() else {
            return false;
        };
        self.ask_peer(now, conn, leader, PeerRequest::Submit(Box::new(spec.clone())));
        true
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Now,
        conn: ConnId,
        record: LiveRecord,
        (forwarded, sent_under): (bool, Option<Token>),
        reply: StoreReply,
    ) {
        let id = record.spec.id.clone();
        match reply {
            StoreReply::Committed(revision) => {
                self.record_accepted(&record);
                self.admit(now, record, revision, sent_under);
                self.reply(conn, HttpReply::json(201, &JobView::queued(id)));
            }
            // The job exists: reading its keys again shows in which state.
            StoreReply::Conflict(_) | StoreReply::Lost => {
                let later = HttpReply::unavailable("not known whether it was accepted");
                self.lookup(now.mono, conn, id, LookupReason::Submit(later));
            }
            StoreReply::Malformed(text) => {
                self.on_write_refused(&text);
                self.reply(conn, HttpReply::unavailable("the state service refused it"));
            }
            _ if self.forward_to_leader(now.mono, conn, &record.spec, forwarded) => {}
            _ => self.reply(conn, HttpReply::unavailable("the state service cannot be reached")),
        }
    }

    pub(super) fn on_job_request(
        &mut self,
        now: Now,
        conn: ConnId,
        request: PeerRequest,
        forwarded: bool,
    ) {
        let (PeerRequest::View(id) | PeerRequest::Abort(id)) = &request else { return };
        if let Some(record) = self.finished_jobs.get(id) {
            let reply = HttpReply::json(200, &record.view(id));
            return self.reply(conn, reply);
        }
        let active = self.leadership.valid(now.mono).is_some()
            && self.leader_term.as_ref().is_some_and(|term| term.stage == Stage::Active);
        if active {
            return self.answer_as_leader(now, conn, request);
        }
        if !forwarded
            && self.leadership.token().is_none()
            && let Some(leader) = self.leadership.other_leader().cloned()
            && self.can_reach(&leader, now.mono)
        {
            return self.ask_peer(now.mono, conn, leader, request);
        }
        if forwarded {
            // The peer that forwarded the request reads the state service itself.
            return self.reply(conn, HttpReply::unavailable("not the leader"));
        }
        self.read_from_store(now.mono, conn, request);
    }

    pub(super) fn read_from_store(&mut self, now: Mono, conn: ConnId, request: PeerRequest) {
        match request {
            PeerRequest::View(id) => self.lookup(now, conn, id, LookupReason::View),
            PeerRequest::Abort(id) => self.lookup(now, conn, id, LookupReason::Abort),
            PeerRequest::LeaderHints(_) | PeerRequest::Gossip(_) => {}
            PeerRequest::Graph(request) => self.read_finished_graph(now, conn, *request),
            PeerRequest::Submit(_) => {
                self.reply(conn, HttpReply::unavailable("the state service cannot be reached"));
            }
            // The worker tries the next controller after a second.
            PeerRequest::Report(_) => self.reply(conn, HttpReply::error(503, "no leader answers")),
        }
    }

    pub(super) fn on_peer_reply(&mut self, now: Now, id: u64, reply: Option<HttpReply>) {
        if self.on_one_way_reply(now, id, reply.as_ref()) {
            return;
        }
        let Some((conn, request, until)) = self.peer_requests.remove(&id) else {
            return;
        };
        // A late response may come from a slow peer and is no sign of a broken link.
        if reply.is_none()
            && now.mono < until
            && let Some(leader) = self.leadership.other_leader().cloned()
        {
            self.members(now).record_unreachable(&leader, now.mono);
        }
        if matches!(request, PeerRequest::Report(_)) {
            self.report_router
                .on_forward_result(reply.as_ref().map(|reply| reply.status), now.mono);
        }
        self.record_leader_contact(reply.is_some(), now.mono);
        match reply {
            Some(reply) if reply.status != 503 => {
                self.last_leader_reply = now.mono;
                self.reply(conn, reply);
            }
            _ => self.read_from_store(now.mono, conn, request),
        }
    }

    /// Answers from the job table; a job that is not in it is read from the state service.
    pub(super) fn answer_as_leader(&mut self, now: Now, conn: ConnId, request: PeerRequest) {
        let Some(leader_term) = self.leader_term.as_mut() else {
            return;
        };
        match request {
            PeerRequest::Report(_) | PeerRequest::LeaderHints(_) | PeerRequest::Gossip(_) => {}
            PeerRequest::Submit(_) | PeerRequest::Graph(_) => {}
            PeerRequest::View(id) => {
                match (leader_term.job_table.view(&id), leader_term.job_table.get(&id)) {
                    (Some(view), _) => self.reply(conn, HttpReply::json(200, &view)),
                    (None, Some(job)) if job.state != JobState::Finished => {
                        self.reply(
                            conn,
                            HttpReply::unavailable("its state is being written or read"),
                        );
                    }
                    _ => self.lookup(now.mono, conn, id, LookupReason::View),
                }
            }
            PeerRequest::Abort(id) => {
                let ended = leader_term.job_table.view(&id).filter(|view| view.status.is_final());
                match (ended, leader_term.job_table.get(&id).map(|j| j.state)) {
                    (Some(view), _) => self.reply(conn, HttpReply::json(200, &view)),
                    (None, None | Some(JobState::Finished)) => {
                        self.lookup(now.mono, conn, id, LookupReason::Abort)
                    }
                    (None, Some(_)) => {
                        leader_term.end_job(
                            &id,
                            JobStatus::Cancelled,
                            "cancelled by its user",
                            now.mono,
                        );
                        if now.mono < self.next_write {
                            self.reply(
                                conn,
                                HttpReply::unavailable("the state service cannot be reached"),
                            );
                        } else {
                            self.end_waiters.entry(id).or_default().push(conn);
                        }
                    }
                }
            }
        }
    }

    /// Reads both prefixes, `live/` first, since jobs only move from there to `over/`.
    pub(super) fn lookup(&mut self, now: Mono, conn: ConnId, id: JobId, reason: LookupReason) {
        self.lookup_step(now, conn, id, reason, false);
    }

    pub(super) fn lookup_step(
        &mut self,
        now: Mono,
        conn: ConnId,
        id: JobId,
        reason: LookupReason,
        final_record: bool,
    ) {
        let key = if final_record { jobs::final_key(&id) } else { jobs::live_key(&id) };
        let sent_under = self.leadership.token();
        let purpose = Purpose::Lookup { conn, id, reason, final_record, sent_under };
        if self.submit(now, OpClass::General, StoreOp::Get { key }, purpose).is_err() {
            self.reply(conn, HttpReply::unavailable("the state service is busy"));
        }
    }

    pub(super) fn on_lookup(
        &mut self,
        now: Now,
        conn: ConnId,
        id: JobId,
        reason: LookupReason,
        (final_record, sent_under): (bool, Option<Token>),
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Missing(_) if !final_record => {
                self.lookup_step(now.mono, conn, id, reason, true)
            }
            StoreReply::Missing(_) => {
                let reply = match reason {
                    LookupReason::Submit(reply) => reply,
                    _ => HttpReply::error(404, "no such job"),
                };
                self.reply(conn, reply);
            }
            StoreReply::Found(row) if final_record => {
                match serde_json::from_value::<FinalRecord>(row.value) {
                    Ok(record) => {
                        self.reply(conn, HttpReply::json(200, &record.view(&id)));
                        self.finished_jobs.insert(id.clone(), record);
                    }
                    Err(e) => {
                        log::error!("state service: {} cannot be decoded: {e}", row.key);
                        self.reply(conn, HttpReply::unavailable("its record cannot be read"));
                    }
                }
            }
            StoreReply::Found(row) => self.on_live_record(now, conn, id, reason, (row, sent_under)),
            _ => self.reply(conn, HttpReply::unavailable("the state service cannot be reached")),
        }
    }

    /// Requests the view of an open job from the leader, if another controller leads and is
    /// reachable.
    fn ask_leader_for_view(&mut self, now: Mono, conn: ConnId, id: JobId) {
        match self.leadership.other_leader().cloned() {
            Some(leader) if self.can_reach(&leader, now) => {
                self.ask_peer(now, conn, leader, PeerRequest::View(id));
            }
            _ => self.reply(conn, HttpReply::unavailable("no leader can be reached")),
        }
    }

    /// Whether this controller leads and has the job in its job table, where its end may be being
    /// written.
    fn in_job_table(&self, id: &JobId) -> bool {
        self.leader_term.as_ref().is_some_and(|leader_term| leader_term.job_table.get(id).is_some())
    }

    pub(super) fn on_live_record(
        &mut self,
        now: Now,
        conn: ConnId,
        id: JobId,
        reason: LookupReason,
        (row, sent_under): (Row, Option<Token>),
    ) {
        let mut has_dependencies = false;
        if let Some(record) = parse_live_record(&row) {
            has_dependencies = !record.spec.dependencies.is_empty();
            self.record_accepted(&record);
            self.admit(now, record, row.version, sent_under);
        }
        if let Some(view) = self.known_view(now.mono, &id) {
            match reason {
                // A job whose final state was read meanwhile by another request needs no leader.
                // This controller may not be the leader, and then the abort would get no reply.
                LookupReason::Abort if !view.status.is_final() => {
                    self.answer_as_leader(now, conn, PeerRequest::Abort(id));
                }
                _ => self.reply(conn, HttpReply::json(200, &view)),
            }
            return;
        }
        if let LookupReason::Abort = reason
            && self.leader_term.as_ref().is_some_and(|term| term.job_table.get(&id).is_some())
            && self.leadership.valid(now.mono).is_some()
        {
            return self.answer_as_leader(now, conn, PeerRequest::Abort(id));
        }
        match reason {
            // The job may be cancelled together with a dependency, which only the leader knows
            // until it is written.
            LookupReason::Submit(_) if has_dependencies => {
                self.ask_leader_for_view(now.mono, conn, id)
            }
            // That the job was accepted and not in a final state was true when the key was read.
            LookupReason::Submit(_) => self.reply(conn, HttpReply::json(200, &JobView::queued(id))),
            // As above. Otherwise open jobs could not be viewed while the leader is unreachable or
            // overloaded.
            LookupReason::View if !has_dependencies && !self.in_job_table(&id) => {
                self.reply(conn, HttpReply::json(200, &JobView::queued(id)));
            }
            _ => self.reply(conn, HttpReply::unavailable("no leader can be reached")),
        }
    }
}
