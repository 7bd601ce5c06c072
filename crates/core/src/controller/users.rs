//! Requests of users, and the requests between controllers that serve them.

use super::leading::live_record;
use super::*;
use oatloom_graph::ids::GraphId;

impl Controller {
    pub(super) fn on_request(&mut self, now: Now, conn: ConnId, request: Request, forwarded: bool) {
        self.open.insert(conn, now.mono.plus(REQUEST_PATIENCE_MS));
        match request {
            Request::Up => {
                self.traffic.probes += 1;
                let reply = self.up(now.mono);
                self.reply(conn, reply);
            }
            Request::Report(report) => {
                let reply = self.on_report(now.mono, conn, &report, forwarded);
                // A report without a reply yet is counted where it is parked or relayed.
                if let Some(reply) = reply {
                    *match reply.status {
                        200 => &mut self.traffic.answered,
                        421 => &mut self.traffic.sent_on,
                        _ => &mut self.traffic.refused,
                    } += 1;
                    self.reply(conn, reply);
                }
            }
            Request::Notes(notes) => {
                if let Some(leader) = &notes.leader {
                    self.leadership.heard(leader, notes.token);
                    self.follow_turns(now);
                }
                let reply = match &notes.gossip {
                    Some(gossip) => self.on_greeted(now, gossip),
                    None => HttpReply::json(200, &serde_json::json!({})),
                };
                let told = self.notes.take().map(|(_, told)| told);
                self.notes = Some((now.mono, Notes::joined(told, *notes)));
                self.reply(conn, reply);
            }
            Request::Greet(gossip) => {
                let reply = self.on_greeted(now, &gossip);
                self.reply(conn, reply);
            }
            // The number of parked reports is bounded by the number of machines, so they are not
            // counted.
            _ if self.open.len().saturating_sub(self.parked.len()) > self.user_inflight() => {
                self.traffic.users += 1;
                self.reply(conn, HttpReply::later("too many requests at once"));
            }
            Request::Submit(submission) => {
                self.traffic.users += 1;
                self.on_submit(now, conn, submission, forwarded);
            }
            Request::View(id) => {
                self.traffic.users += 1;
                self.on_question(now, conn, Question::View(id), forwarded);
            }
            Request::Usage(query) => {
                self.traffic.users += 1;
                self.on_usage_asked(now.mono, conn, query);
            }
            Request::Graph(ask) => {
                self.traffic.users += 1;
                self.on_graph(now, conn, *ask, forwarded);
            }
            Request::Abort(id) => self.on_question(now, conn, Question::Abort(id), forwarded),
        }
    }

    /// Maximum number of users' requests in flight.
    fn user_inflight(&self) -> usize {
        let share = self.settings.facts.limits.connections() as f64 * USER_INFLIGHT_SHARE;
        (share as usize).max(USER_INFLIGHT_LEAST)
    }

    /// Records whether a request to the leader got any response. An error response counts as
    /// contact too, also from a leader that may not answer at present.
    pub(super) fn reached(&mut self, came_back: bool, now: Mono) {
        // Two failures far apart with no request in between do not count as one long outage.
        let lasting = self.unanswered.filter(|(_, last)| now.since(*last) <= APART_GAP_MS);
        let since = lasting.map_or(now, |(since, _)| since);
        self.unanswered = (!came_back).then_some((since, now));
    }

    pub(super) fn ask(&mut self, now: Mono, conn: ConnId, to: Member, question: Question) {
        self.next_id += 1;
        let until = now.plus(ASK_TIMEOUT_MS);
        self.asks.insert(self.next_id, (conn, question.clone(), until));
        self.out.push(Action::Ask { to, id: self.next_id, question });
    }

    /// Returns what this controller may report of a job without a request to another.
    pub(super) fn known(&self, now: Mono, id: &JobId) -> Option<JobView> {
        if let Some(record) = self.over.get(id) {
            return Some(record.view(id));
        }
        self.leadership.valid(now)?;
        let reign = self.reign.as_ref().filter(|r| r.stage == Stage::Ruling)?;
        reign.book.view(id)
    }

    pub(super) fn on_submit(
        &mut self,
        now: Now,
        conn: ConnId,
        submission: Submission,
        forwarded: bool,
    ) {
        let (id, verdict) = match &submission {
            Submission::Spec(spec) if self.reserved(&spec.id) => {
                (Some(spec.id.clone()), Some(HttpReply::error(400, "ids of this form are graphs'")))
            }
            Submission::Spec(spec) => (Some(spec.id.clone()), self.verdict(spec)),
            Submission::Bad { id, text } => (id.clone(), Some(HttpReply::error(400, text))),
        };
        if let Some(view) = id.as_ref().and_then(|id| self.known(now.mono, id)) {
            self.reply(conn, HttpReply::json(200, &view));
            return;
        }
        match (verdict, submission, id) {
            (None, Submission::Spec(spec), _) if spec.dependencies.is_empty() => {
                self.accept(now, conn, *spec, forwarded);
            }
            (None, Submission::Spec(spec), _) => {
                self.accept_dependent(now, conn, *spec, forwarded);
            }
            // A job accepted earlier is reported as known, even if its description is no longer
            // valid.
            (Some(reply), _, Some(id)) if reply.status != 503 => {
                self.lookup(now.mono, conn, id, Why::Submit(reply));
            }
            (Some(reply), ..) => self.reply(conn, reply),
            (None, ..) => self.reply(conn, HttpReply::later("cannot decide")),
        }
    }

    /// Whether the id is reserved for jobs of graphs.
    fn reserved(&self, id: &JobId) -> bool {
        self.terms.graphs.is_some() && GraphId::reserved(id)
    }

    /// Returns the reply that rejects a submission, if it cannot be accepted.
    pub(super) fn verdict(&self, spec: &JobSpec) -> Option<HttpReply> {
        let Some(catalog) = self.catalog() else {
            return Some(HttpReply::later("the machine types are not known yet"));
        };
        let never = |text: &str| Some(HttpReply::error(422, text));
        let Some(team) = self.settings.team(&spec.team) else {
            return never("unknown team");
        };
        if !placement::fits_some(spec, &catalog.flavors) {
            return never("a task fits no allowed machine type");
        }
        let at_once = match spec.shape {
            oatloom_protocol::wire::Shape::Array => 1.0,
            _ => f64::from(spec.tasks),
        };
        let over = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-9;
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return never("the job needs more than the team's limit");
        }
        let crowded = spec.one_zone && spec.spread && spec.tasks > 1;
        if crowded && spec.shape != oatloom_protocol::wire::Shape::Array {
            log::info!("job {}: wants one zone and spread; it can only run in part", spec.id);
        }
        None
    }

    /// Accepts a job by creating its key, which any controller may do.
    pub(super) fn accept(&mut self, now: Now, conn: ConnId, spec: JobSpec, forwarded: bool) {
        // Submissions are forwarded when changes queue up here. While other controllers are down or
        // busy, the load balancer sends nearly all submissions to one follower, whose share of the
        // write rate is small, while the leader's share is unused.
        let led = |leader: &Member| {
            self.store.change_waits(now.mono) > HAND_ON_AFTER_MS && self.reaches(leader, now.mono)
        };
        if (self.store.paused(now.mono) || self.leadership.other_leader().is_some_and(led))
            && self.hand_on(now.mono, conn, &spec, forwarded)
        {
            return;
        }
        let record = LiveRecord { spec, wall_ms: now.wall_ms, part: None };
        let id = &record.spec.id;
        let fresh = |key: String| Condition { key, version: Revision(0) };
        let value = match serde_json::to_value(&record) {
            Ok(value) => value,
            Err(e) => return self.reply(conn, HttpReply::error(400, &e.to_string())),
        };
        if value.to_string().len() > self.limits.submission() {
            // The job may already be known with another description.
            let reply = HttpReply::error(400, "the description is too long to keep");
            return self.lookup(now.mono, conn, id.clone(), Why::Submit(reply));
        }
        let txn = Txn {
            conditions: vec![fresh(jobs::live_key(id)), fresh(jobs::over_key(id))],
            changes: vec![Change::put(jobs::live_key(id), value)],
        };
        let term = self.leadership.token();
        let purpose = Purpose::Accept { conn, record: Box::new(record), forwarded, term };
        if self.submit(now.mono, Lane::Open, StoreOp::Txn(txn), purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    /// Forwards a submission to the leader if the state service does not accept it from this
    /// controller, which it may refuse individually. Returns whether it was forwarded.
    pub(super) fn hand_on(
        &mut self,
        now: Mono,
        conn: ConnId,
        spec: &JobSpec,
        forwarded: bool,
    ) -> bool {
        let Some(leader) = self.leadership.other_leader().filter(|_| !forwarded).cloned() else {
            return false;
        };
        self.ask(now, conn, leader, Question::Submit(Box::new(spec.clone())));
        true
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Now,
        conn: ConnId,
        record: LiveRecord,
        (forwarded, term): (bool, Option<Token>),
        reply: StoreReply,
    ) {
        let id = record.spec.id.clone();
        match reply {
            StoreReply::Committed(stamp) => {
                self.note_accepted(&record);
                self.admit(now, record, stamp, term);
                self.reply(conn, HttpReply::json(201, &JobView::queued(id)));
            }
            // The job exists: reading its keys again shows in which state.
            StoreReply::Conflict(_) | StoreReply::Lost => {
                let later = HttpReply::later("not known whether it was accepted");
                self.lookup(now.mono, conn, id, Why::Submit(later));
            }
            StoreReply::Malformed(text) => {
                self.write_refused(&text);
                self.reply(conn, HttpReply::later("the state service refused it"));
            }
            _ if self.hand_on(now.mono, conn, &record.spec, forwarded) => {}
            _ => self.reply(conn, HttpReply::later("the state service cannot be reached")),
        }
    }

    pub(super) fn on_question(
        &mut self,
        now: Now,
        conn: ConnId,
        question: Question,
        forwarded: bool,
    ) {
        let (Question::View(id) | Question::Abort(id)) = &question else { return };
        if let Some(record) = self.over.get(id) {
            let reply = HttpReply::json(200, &record.view(id));
            return self.reply(conn, reply);
        }
        let ruling = self.leadership.valid(now.mono).is_some()
            && self.reign.as_ref().is_some_and(|r| r.stage == Stage::Ruling);
        if ruling {
            return self.answer_as_leader(now, conn, question);
        }
        if !forwarded
            && self.leadership.token().is_none()
            && let Some(leader) = self.leadership.other_leader().cloned()
            && self.reaches(&leader, now.mono)
        {
            return self.ask(now.mono, conn, leader, question);
        }
        if forwarded {
            // The peer that forwarded the request reads the state service itself.
            return self.reply(conn, HttpReply::later("not the leader"));
        }
        self.look(now.mono, conn, question);
    }

    pub(super) fn look(&mut self, now: Mono, conn: ConnId, question: Question) {
        match question {
            Question::View(id) => self.lookup(now, conn, id, Why::View),
            Question::Abort(id) => self.lookup(now, conn, id, Why::Abort),
            Question::Notes(_) | Question::Greet(_) => {}
            Question::Graph(ask) => self.look_graph(now, conn, *ask),
            Question::Submit(_) => {
                self.reply(conn, HttpReply::later("the state service cannot be reached"));
            }
            // The worker tries the next controller after a second.
            Question::Report(_) => self.reply(conn, HttpReply::error(503, "no leader answers")),
        }
    }

    pub(super) fn on_told(&mut self, now: Now, id: u64, reply: Option<HttpReply>) {
        if self.on_said(now, id, reply.as_ref()) {
            return;
        }
        let Some((conn, question, until)) = self.asks.remove(&id) else {
            return;
        };
        // A late response may come from a slow peer and is no sign of a broken link.
        if reply.is_none()
            && now.mono < until
            && let Some(leader) = self.leadership.other_leader().cloned()
        {
            self.members(now).unreachable(&leader, now.mono);
        }
        if matches!(question, Question::Report(_)) {
            self.relays.told(reply.as_ref().map(|reply| reply.status), now.mono);
        }
        self.reached(reply.is_some(), now.mono);
        match reply {
            Some(reply) if reply.status != 503 => {
                self.last_told = now.mono;
                self.reply(conn, reply);
            }
            _ => self.look(now.mono, conn, question),
        }
    }

    /// Answers from the job table; a job that is not in it is read from the state service.
    pub(super) fn answer_as_leader(&mut self, now: Now, conn: ConnId, question: Question) {
        let Some(reign) = self.reign.as_mut() else {
            return;
        };
        match question {
            Question::Report(_) | Question::Notes(_) | Question::Greet(_) => {}
            Question::Submit(_) | Question::Graph(_) => {}
            Question::View(id) => match (reign.book.view(&id), reign.book.get(&id)) {
                (Some(view), _) => self.reply(conn, HttpReply::json(200, &view)),
                (None, Some(job)) if job.state != JobState::Over => {
                    self.reply(conn, HttpReply::later("its state is being written or read"));
                }
                _ => self.lookup(now.mono, conn, id, Why::View),
            },
            Question::Abort(id) => {
                let ended = reign.book.view(&id).filter(|view| view.status.is_final());
                match (ended, reign.book.get(&id).map(|j| j.state)) {
                    (Some(view), _) => self.reply(conn, HttpReply::json(200, &view)),
                    (None, None | Some(JobState::Over)) => {
                        self.lookup(now.mono, conn, id, Why::Abort)
                    }
                    (None, Some(_)) => {
                        reign.end_job(&id, JobStatus::Cancelled, "cancelled by its user", now.mono);
                        if now.mono < self.write_after {
                            self.reply(
                                conn,
                                HttpReply::later("the state service cannot be reached"),
                            );
                        } else {
                            self.waiting_end.entry(id).or_default().push(conn);
                        }
                    }
                }
            }
        }
    }

    /// Reads both prefixes, `live/` first, since jobs only move from there to `over/`.
    pub(super) fn lookup(&mut self, now: Mono, conn: ConnId, id: JobId, why: Why) {
        self.lookup_step(now, conn, id, why, false);
    }

    pub(super) fn lookup_step(&mut self, now: Mono, conn: ConnId, id: JobId, why: Why, over: bool) {
        let key = if over { jobs::over_key(&id) } else { jobs::live_key(&id) };
        let term = self.leadership.token();
        let purpose = Purpose::Lookup { conn, id, why, over, term };
        if self.submit(now, Lane::Open, StoreOp::Get { key }, purpose).is_err() {
            self.reply(conn, HttpReply::later("the state service is busy"));
        }
    }

    pub(super) fn on_lookup(
        &mut self,
        now: Now,
        conn: ConnId,
        id: JobId,
        why: Why,
        (over, term): (bool, Option<Token>),
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Missing(_) if !over => self.lookup_step(now.mono, conn, id, why, true),
            StoreReply::Missing(_) => {
                let reply = match why {
                    Why::Submit(reply) => reply,
                    _ => HttpReply::error(404, "no such job"),
                };
                self.reply(conn, reply);
            }
            StoreReply::Found(row) if over => match serde_json::from_value::<OverRecord>(row.value)
            {
                Ok(record) => {
                    self.reply(conn, HttpReply::json(200, &record.view(&id)));
                    self.over.insert(id.clone(), record);
                }
                Err(e) => {
                    log::error!("store: {} cannot be read: {e}", row.key);
                    self.reply(conn, HttpReply::later("its record cannot be read"));
                }
            },
            StoreReply::Found(row) => self.found_live(now, conn, id, why, (row, term)),
            _ => self.reply(conn, HttpReply::later("the state service cannot be reached")),
        }
    }

    /// Requests the view of an open job from the leader, if another controller leads and is
    /// reachable.
    fn ask_for_view(&mut self, now: Mono, conn: ConnId, id: JobId) {
        match self.leadership.other_leader().cloned() {
            Some(leader) if self.reaches(&leader, now) => {
                self.ask(now, conn, leader, Question::View(id));
            }
            _ => self.reply(conn, HttpReply::later("no leader can be reached")),
        }
    }

    /// Whether this controller leads and has the job in its job table, where its end may be being
    /// written.
    fn holds(&self, id: &JobId) -> bool {
        self.reign.as_ref().is_some_and(|reign| reign.book.get(id).is_some())
    }

    pub(super) fn found_live(
        &mut self,
        now: Now,
        conn: ConnId,
        id: JobId,
        why: Why,
        (row, term): (Row, Option<Token>),
    ) {
        let mut waits = false;
        if let Some(record) = live_record(&row) {
            waits = !record.spec.dependencies.is_empty();
            self.note_accepted(&record);
            self.admit(now, record, row.version, term);
        }
        if let Some(view) = self.known(now.mono, &id) {
            match why {
                // A job whose final state was read meanwhile by another request needs no leader.
                // This controller may not be the leader, and then the abort would get no reply.
                Why::Abort if !view.status.is_final() => {
                    self.answer_as_leader(now, conn, Question::Abort(id));
                }
                _ => self.reply(conn, HttpReply::json(200, &view)),
            }
            return;
        }
        if let Why::Abort = why
            && self.reign.as_ref().is_some_and(|r| r.book.get(&id).is_some())
            && self.leadership.valid(now.mono).is_some()
        {
            return self.answer_as_leader(now, conn, Question::Abort(id));
        }
        match why {
            // The job may be cancelled together with a dependency, which only the leader knows
            // until it is written.
            Why::Submit(_) if waits => self.ask_for_view(now.mono, conn, id),
            // That the job was accepted and not in a final state was true when the key was read.
            Why::Submit(_) => self.reply(conn, HttpReply::json(200, &JobView::queued(id))),
            // As above. Otherwise open jobs could not be viewed while the leader is unreachable or
            // overloaded.
            Why::View if !waits && !self.holds(&id) => {
                self.reply(conn, HttpReply::json(200, &JobView::queued(id)));
            }
            _ => self.reply(conn, HttpReply::later("no leader can be reached")),
        }
    }
}
