//! Reconciles worker reports and answers to direct commands with the job table, and builds the
//! orders for workers.

use super::retries::FailedAttempt;
use super::*;
use oatloom_ledger::entry::AttemptEnd;

/// Reason for restarting a gathering gang under a new attempt number. Answers to direct commands are not ordered among
/// the reports: with the old number, a late answer that shows the refusal would end a task that has started since.
const TASK_REFUSED: &str = "a task was refused";

impl LeaderTerm {
    /// Returns stop orders to send to a machine directly, with its address. Stops are harmless however
    /// late they arrive, and are repeated in answers to reports. Start orders are never sent this way.
    pub fn next_direct_stop(&mut self) -> Option<(HostId, String, Command)> {
        loop {
            let (host, orders) = self.direct_stops.pop_first()?;
            let Some(m) = self.fleet.machines.get(&host) else { continue };
            if matches!(
                m.state,
                MachineState::Live | MachineState::Closing | MachineState::Draining
            ) && !m.addr.is_empty()
            {
                let command = Command { token: self.token, session: m.session, orders };
                return Some((host, m.addr.clone(), command));
            }
        }
    }

    /// Applies a worker's answer to a direct command. It is not ordered among the reports and may
    /// precede the answer to the worker's open report, so a task missing from it proves nothing. A task
    /// that it shows as ended has ended.
    pub fn on_command_reply(&mut self, report: &Report, now: Mono) {
        let same_session =
            self.fleet.machines.get(&report.host).is_some_and(|m| m.session == report.session);
        if !same_session || report.token != self.token || self.stage != Stage::Active {
            return;
        }
        for row in report.tasks.iter().filter(|row| row.status == TaskPhase::Exited) {
            let Some(task) = TaskId::parse(&row.task) else { continue };
            if self.is_assigned_here(&task, row.attempt, report) {
                self.task_exited(&task, row, &report.host, now);
            }
        }
    }

    /// Applies a report and returns its answer; `None` if it must not be answered with 200.
    pub fn on_report(&mut self, report: &Report, now: Mono) -> Option<ReportAnswer> {
        // A late report of a machine whose release was confirmed.
        if self.fleet.tombstones.contains_key(&report.host) {
            return None;
        }
        let before = self.fleet.machines.get(&report.host);
        let answered = before.is_some_and(|m| m.last_answer.is_some());
        let freshness = self.fleet.record_report(report, self.token, now);
        if freshness == Freshness::Stale {
            return None;
        }
        if let Some(images) = self.inherited_images.remove(&report.host)
            && let Some(machine) = self.fleet.machines.get_mut(&report.host)
        {
            machine.restore_images(images);
        }
        let mut orders = Vec::new();
        if self.stage == Stage::Active {
            self.release_old_sessions(report, now);
            let lost = self.reconcile(report, freshness, &mut orders, now);
            self.count_lost_answers(
                &report.host,
                lost || answered && freshness != Freshness::Confirmed,
                now,
            );
            if freshness == Freshness::Confirmed {
                self.add_start_orders(&report.host, report.session, report.report_seq, &mut orders);
            }
        }
        Some(ReportAnswer { token: self.token, orders })
    }

    /// Counts consecutive reports that show that the previous answer was lost. A machine that receives no answers gets
    /// no new tasks for a while, and those not started on it are released. Otherwise tasks would wait for as long as
    /// its reports arrive but the answers are lost.
    fn count_lost_answers(&mut self, host: &HostId, missed: bool, now: Mono) {
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        machine.missed_answers = if missed { machine.missed_answers + 1 } else { 0 };
        if machine.missed_answers < MAX_MISSED_ANSWERS {
            return;
        }
        if machine.missed_answers == MAX_MISSED_ANSWERS {
            log::info!("machine {host}: receives no answers to its reports");
        }
        machine.paused_until = machine.paused_until.max(now.plus(MISSED_ANSWERS_PAUSE_MS));
        for (id, index) in
            self.tasks_assigned_to(host, |assignment| assignment.run_sent == RunSent::No)
        {
            self.release_task(&id, index, false, now);
        }
    }

    /// Whether the answer to a machine's report may be delayed until there are orders: the machine is
    /// reserved for a job, or has room for one that must start soon and nothing on it is likely to end.
    pub fn may_park_report(&self, settings: &Settings, host: &HostId, now: Mono) -> bool {
        if self.stage != Stage::Active || !placement::any_urgent_class(settings) {
            return false;
        }
        let Some(m) = self.fleet.machines.get(host) else { return false };
        if m.state != MachineState::Live || !m.strays.is_empty() || m.paused_until > now {
            return false;
        }
        let reserved = m.reserved_for(now).is_some();
        let start_unsent = |assignment: &TaskAssignment| assignment.run_sent == RunSent::No;
        let unlikely_to_end = |task: &TaskId| {
            self.job_table.get(&task.job).is_some_and(|j| {
                let is_running =
                    |assignment: &TaskAssignment| assignment.phase == Some(TaskPhase::Running);
                j.spec.shape != Shape::Array
                    && j.assignment(task.index)
                        .is_some_and(|h| h.stop.is_none() && (start_unsent(h) || is_running(h)))
            })
        };
        let has_room = || {
            let free = self.fleet.free_resources(m);
            self.expected_jobs.iter().any(|(job, _)| free.fits(&Resources::from(&*job.spec)))
        };
        let has_unsent_start = || {
            m.assigned.keys().any(|task| self.job_table.assignment(task).is_some_and(start_unsent))
        };
        reserved || has_unsent_start() || m.assigned.keys().all(unlikely_to_end) && has_room()
    }

    /// Whether there are start or stop orders that can be sent to a machine now.
    pub fn has_sendable_orders(&self, host: &HostId) -> bool {
        let Some(machine) = self.fleet.machines.get(host) else { return true };
        machine.state != MachineState::Live
            || machine.assigned.keys().any(|task| {
                self.job_table.get(&task.job).is_some_and(|job| {
                    job.assignment(task.index).is_some_and(|assignment| {
                        assignment.stop.is_some()
                            || assignment.run_sent == RunSent::No
                                && job.state == JobState::Open
                                && job.assignment_durable(task.index)
                    })
                })
            })
    }

    /// Machines for which a task was assigned or stopped since the last call.
    pub fn take_changed_machines(&mut self) -> Vec<HostId> {
        std::mem::take(&mut self.changed_machines)
    }

    /// Whether a machine has tasks to start or stop, now or once their assignment is durable.
    pub fn has_pending_orders(&self, host: &HostId) -> bool {
        let order_pending = |assignment: &TaskAssignment| {
            assignment.run_sent == RunSent::No || assignment.stop.is_some()
        };
        self.fleet.machines.get(host).is_some_and(|machine| {
            machine
                .assigned
                .keys()
                .any(|task| self.job_table.assignment(task).is_some_and(order_pending))
        })
    }

    /// Records that a report is being answered with 200.
    pub fn answered(&mut self, host: &HostId, now: Mono) {
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.last_answer = Some(now);
        }
    }

    /// Returns the answer to a parked report, unless a newer report has arrived or the machine is gone.
    pub fn answer_parked_report(
        &mut self,
        host: &HostId,
        session: WorkerSession,
        report_seq: ReportSeq,
        now: Mono,
    ) -> Option<ReportAnswer> {
        let machine = self.fleet.machines.get_mut(host)?;
        if (machine.session, machine.report_seq) != (session, report_seq) {
            return None;
        }
        machine.last_answer = Some(now);
        let mut orders = Vec::new();
        for (id, index) in self.tasks_assigned_to(host, |assignment| {
            assignment.stop.is_some() && assignment.run_sent != RunSent::No
        }) {
            let task = TaskId::new(&id, index);
            let stop =
                self.job_table.assignment(&task).and_then(|h| Some((h.stop?.grace_s, h.attempt)));
            if let Some((grace_s, attempt)) = stop {
                self.push_order(
                    &mut orders,
                    Order::Stop { task: task.to_string(), attempt, grace_s },
                );
            }
        }
        self.add_start_orders(host, session, report_seq, &mut orders);
        Some(ReportAnswer { token: self.token, orders })
    }

    /// Releases the tasks of older worker sessions: a newer session proves that they are gone.
    pub(super) fn release_old_sessions(&mut self, report: &Report, now: Mono) {
        for (id, index) in
            self.tasks_assigned_to(&report.host, |assignment| assignment.session < report.session)
        {
            log::info!("task {id}/{index}: gone, {} has a new worker session", report.host);
            self.task_lost(&id, index, now);
        }
    }

    /// Whether the job table assigns this attempt of a task to the worker session that reports it.
    fn is_assigned_here(&self, task: &TaskId, attempt: Attempt, report: &Report) -> bool {
        self.job_table.assignment(task).is_some_and(|h| {
            h.host == report.host && h.attempt == attempt && h.session == report.session
        })
    }

    pub(super) fn tasks_assigned_to(
        &self,
        host: &HostId,
        predicate: impl Fn(&TaskAssignment) -> bool,
    ) -> Vec<(JobId, u32)> {
        let Some(machine) = self.fleet.machines.get(host) else {
            return Vec::new();
        };
        machine
            .assigned
            .keys()
            .filter(|task| {
                self.job_table
                    .assignment(task)
                    .is_some_and(|assignment| assignment.host == *host && predicate(assignment))
            })
            .map(|task| (task.job.clone(), task.index))
            .collect()
    }

    /// Releases a task that is provably gone and whose end was not reported.
    pub(super) fn task_lost(&mut self, id: &JobId, index: u32, now: Mono) {
        self.record_usage(id, index, AttemptEnd::Unreported, (false, None), now);
        if let Some(job) = self.job_table.jobs.get_mut(id) {
            job.lost_at = now;
        }
        self.release_task(id, index, false, now);
        if matches!(self.job_table.get(id).map(|j| j.gang), Some(GangState::Running(_))) {
            self.abandon_gang(id, "a task was lost", now);
        }
    }

    /// Reconciles the tasks that a worker lists with its assignments; returns whether a start order was lost in transit.
    pub(super) fn reconcile(
        &mut self,
        report: &Report,
        freshness: Freshness,
        orders: &mut Vec<Order>,
        now: Mono,
    ) -> bool {
        let host = &report.host;
        let confirmed = freshness == Freshness::Confirmed;
        let mut strays = BTreeMap::new();
        let mut listed = Vec::new();
        // Added after the stops: an answer filled with these would extend the machine's lease, and so keep alive the tasks
        // that it does not stop.
        let mut forgets = Vec::new();
        for row in &report.tasks {
            let Some(task) = TaskId::parse(&row.task) else {
                continue;
            };
            let exited = row.status == TaskPhase::Exited;
            if self.is_assigned_here(&task, row.attempt, report) {
                listed.push(task.clone());
                if !exited {
                    self.task_present(&task, row, report, orders, now);
                } else if confirmed {
                    self.task_exited(&task, row, host, now);
                }
                continue;
            }
            if !exited {
                let need = self
                    .job_table
                    .get(&task.job)
                    .map(|j| Resources::from(&*j.spec))
                    .unwrap_or_default();
                log::warn!("machine {host}: {task} try {} is not assigned there", row.attempt);
                strays.insert((task, row.attempt), need);
                self.push_order(
                    orders,
                    Order::Stop { task: row.task.clone(), attempt: row.attempt, grace_s: 0.0 },
                );
                continue;
            }
            if row.cause == Some(ExitCause::Done) {
                self.task_done_elsewhere(&task, now);
            }
            // The worker may forget the result only once it is durable.
            if self.job_table.get(&task.job).is_none_or(|j| j.all_durable(task.index)) {
                forgets.push(Order::Forget { task: row.task.clone(), attempt: row.attempt });
            }
        }
        forgets.truncate(MAX_ORDERS.saturating_sub(orders.len()));
        orders.extend(forgets);
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.strays = strays;
        }
        confirmed && self.reconcile_missing(report, &listed, now)
    }

    pub(super) fn push_order(&self, orders: &mut Vec<Order>, order: Order) {
        if orders.len() < MAX_ORDERS {
            orders.push(order);
        }
    }

    /// Counts a result kept by a worker whose assignment had been given up.
    pub(super) fn task_done_elsewhere(&mut self, task: &TaskId, now: Mono) {
        let pending = self.job_table.get(&task.job).is_some_and(|j| {
            j.state == JobState::Open
                && j.spec.shape != Shape::Service
                && j.tasks.get(task.index as usize) == Some(&TaskState::Pending)
        });
        if pending {
            self.task_done(&task.job, task.index, None, now);
        }
    }

    /// Marks a task as done. The tasks of a gang complete together: a gang with only some tasks done could never start
    /// again. Gang tasks that were not seen running in the same attempt are done too, but stay assigned until they are
    /// provably gone: the result was one kept from an earlier attempt, and theirs may still be starting. `ran_ms`: run
    /// time reported by the worker with the end.
    pub(super) fn task_done(&mut self, id: &JobId, index: u32, ran_ms: Option<u64>, now: Mono) {
        let Some(job) = self.job_table.get(id) else { return };
        let others: Vec<u32> = match job.spec.shape {
            Shape::Gang => (0..job.spec.tasks)
                .filter(|i| *i != index && job.tasks[*i as usize] != TaskState::Done)
                .collect(),
            _ => Vec::new(),
        };
        let attempt = job.assignment(index).map(|assignment| assignment.attempt);
        let not_seen_running = |i: &u32| {
            let seen_running = |assignment: &TaskAssignment| {
                let runs = matches!(assignment.phase, Some(TaskPhase::Running | TaskPhase::Saving));
                runs && Some(assignment.attempt) == attempt
            };
            job.assignment(*i).is_some_and(|assignment| !seen_running(assignment))
        };
        let (still_assigned, others): (Vec<u32>, Vec<u32>) =
            others.into_iter().partition(not_seen_running);
        self.release_task(id, index, true, now);
        for other in still_assigned {
            self.stop(&TaskId::new(id, other), StopReason::JobFinished, 0.0, now);
        }
        for other in others {
            // These started and ended together with the reported task.
            self.record_usage(
                id,
                other,
                AttemptEnd::Reported(ExitCause::Done),
                (false, ran_ms),
                now,
            );
            self.release_task(id, other, true, now);
        }
    }

    /// Records the phase of an assigned task that its worker reports as present.
    pub(super) fn task_present(
        &mut self,
        task: &TaskId,
        row: &TaskReport,
        report: &Report,
        orders: &mut Vec<Order>,
        now: Mono,
    ) {
        let phase = row.status;
        let Some(job) = self.job_table.jobs.get_mut(&task.job) else {
            return;
        };
        if job.spec.shape == Shape::Gang
            && phase == TaskPhase::Running
            && let GangState::Gathering(attempt) = job.gang
        {
            job.set_gang_state(GangState::Running(attempt), "its tasks run");
        }
        let job_finished = !job.may_continue();
        if phase != TaskPhase::Fetching
            && let Some(machine) = self.fleet.machines.get_mut(&report.host)
        {
            machine.mark_fetched(&job.spec.image);
        }
        let Some(assignment) = job.assignment_mut(task.index) else {
            return;
        };
        assignment.reported_run_ms = row.ran_ms.or(assignment.reported_run_ms);
        let phase_changed = assignment.phase != Some(phase);
        if phase_changed {
            log::debug!("task {task}: {phase:?} on {}", report.host);
            assignment.phase = Some(phase);
        }
        if assignment.run_sent == RunSent::No {
            // A start order of an earlier leader did arrive.
            assignment.run_sent = RunSent::Inherited;
        }
        if phase == TaskPhase::Running && assignment.running_since.is_none() {
            assignment.running_since = Some(now);
        }
        if job_finished && assignment.stop.is_none() {
            assignment.stop =
                Some(Stop { reason: StopReason::JobFinished, grace_s: 0.0, since: now });
        }
        if let Some(stop) = assignment.stop {
            let attempt = assignment.attempt;
            self.push_order(
                orders,
                Order::Stop { task: task.to_string(), attempt, grace_s: stop.grace_s },
            );
        }
        if phase_changed && phase == TaskPhase::Running {
            self.mark_if_fully_running(&task.job);
        }
    }

    /// Marks a job as fully up once all of its tasks run at the same time.
    fn mark_if_fully_running(&mut self, id: &JobId) {
        let Some(job) = self.job_table.jobs.get_mut(id) else { return };
        let running =
            |(_, assignment): (u32, &TaskAssignment)| assignment.phase == Some(TaskPhase::Running);
        job.was_up |= job.assigned == job.spec.tasks && job.assignments().all(running);
    }

    /// Handles the reported end of an assigned task.
    pub(super) fn task_exited(
        &mut self,
        task: &TaskId,
        row: &TaskReport,
        host: &HostId,
        now: Mono,
    ) {
        let cause = row.cause.unwrap_or(ExitCause::Error);
        log::debug!("task {task}: ended on {host}, {cause:?}");
        let id = &task.job;
        let (index, mut gang_failure) = (task.index, None);
        self.record_usage(id, index, AttemptEnd::Reported(cause), (row.stored, row.ran_ms), now);
        match cause {
            ExitCause::Done => {
                if let Some(job) = self.job_table.get(id)
                    && let Some(machine) = self.fleet.machines.get_mut(host)
                {
                    machine.mark_fetched(&job.spec.image);
                }
                if !self.job_table.failures_limited {
                    self.blame_machines(id);
                } else {
                    self.task_succeeded(id, host, now);
                }
                self.record_task_cost(task, now);
                self.task_done(id, index, row.ran_ms, now);
            }
            ExitCause::Stopped => {
                // A gang that has not started waits for a replacement of a task stopped by a drain.
                let replaced = self.job_table.get(id).is_some_and(|j| {
                    let drained = |h: &TaskAssignment| {
                        h.stop.is_some_and(|s| s.reason == StopReason::Draining)
                    };
                    matches!(j.gang, GangState::Gathering(_))
                        && j.assignment(index).is_some_and(drained)
                });
                self.release_task(id, index, false, now);
                gang_failure = (!replaced).then_some("a task was stopped");
            }
            ExitCause::Peers | ExitCause::Incomplete => {
                self.release_task(id, index, false, now);
                gang_failure = Some("its tasks lost each other");
            }
            ExitCause::Error => {
                let failed = self
                    .job_table
                    .assignment(task)
                    .map(|assignment| FailedAttempt::of(assignment, now));
                self.release_task(id, index, false, now);
                match failed {
                    Some(failed) if self.job_table.failures_limited => {
                        self.charge_failure(task, &failed, host, now);
                    }
                    _ => self.task_failed(id, host, now),
                }
                gang_failure = Some("a task failed");
            }
            ExitCause::NoRoom => {
                log::warn!("machine {host}: no room for {task}");
                self.release_task(id, index, false, now);
                if let Some(machine) = self.fleet.machines.get_mut(host) {
                    machine.paused_until = now.plus(NO_ROOM_PAUSE_MS);
                }
                gang_failure = Some(TASK_REFUSED);
            }
            ExitCause::Busy | ExitCause::Unknown => {
                log::warn!("machine {host}: refused {task}, {cause:?}");
                self.release_task(id, index, false, now);
                if let Some(job) = self.job_table.jobs.get_mut(id) {
                    job.paused_until = now.plus(ERROR_RETRY_PAUSE_MS);
                }
                gang_failure = Some(TASK_REFUSED);
            }
        }
        if let Some(why) = gang_failure {
            self.abandon_gang(id, why, now);
        }
    }

    /// Handles a task error where retries are not limited: pauses the job, longer after each error, and blames the
    /// machine, unless the job has failed on several machines.
    pub(super) fn task_failed(&mut self, id: &JobId, host: &HostId, now: Mono) {
        let Some(job) = self.job_table.jobs.get_mut(id) else {
            return;
        };
        job.error_count += 1;
        job.error_hosts.insert(host.clone());
        let doublings = job.error_count.saturating_sub(1).min(16);
        let pause = (ERROR_RETRY_PAUSE_MS.0 << doublings).min(MAX_ERROR_RETRY_PAUSE_MS.0);
        job.paused_until = now.plus(Millis(pause));
        let is_job_faulty = job.error_hosts.len() >= FAULTY_JOB_HOSTS;
        let hosts: Vec<HostId> = job.error_hosts.iter().cloned().collect();
        log::info!("job {id}: error number {} on {host}, next try in {pause} ms", job.error_count);
        if is_job_faulty {
            // Keeps one broken job from marking every machine as faulty.
            for host in hosts {
                if let Some(machine) = self.fleet.machines.get_mut(&host) {
                    machine.failed_jobs.remove(id);
                }
            }
            return;
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            machine.failed_jobs.insert(id.clone());
            machine.paused_until = now.plus(Millis(pause));
            if machine.failed_jobs.len() >= FAULTY_MACHINE_ERRORS {
                machine.set_state(MachineState::Draining, "different jobs fail on it");
            }
        }
    }

    /// Blames the machines on which a job failed once it has succeeded on another machine.
    pub(super) fn blame_machines(&mut self, id: &JobId) {
        let Some(job) = self.job_table.get(id) else { return };
        if job.error_hosts.len() >= FAULTY_JOB_HOSTS {
            return;
        }
        for host in &job.error_hosts {
            if let Some(machine) = self.fleet.machines.get_mut(host) {
                machine.set_state(
                    MachineState::Draining,
                    "jobs that fail on it succeed on other machines",
                );
            }
        }
    }

    /// Records a completed task's cost in core-equivalent seconds.
    pub(super) fn record_task_cost(&mut self, task: &TaskId, now: Mono) {
        let task_cores =
            self.job_table.get(&task.job).map_or(0.0, |j| self.core_equivalents(&j.spec));
        let Some(job) = self.job_table.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(running_since) = job.assignment(task.index).and_then(|h| h.running_since) else {
            return;
        };
        let ran_s = now.since(running_since).as_secs();
        job.measured.add(task_cores * ran_s);
        let spec = job.spec.clone();
        if job.part.is_some() {
            self.record_node_time(&task.job, ran_s);
        }
        if spec.estimate_s > 0.0 {
            self.class_biases
                .entry(spec.class.clone())
                .or_default()
                .observe(ran_s / spec.estimate_s);
        }
    }

    /// Handles assigned tasks that a confirmed report does not list; returns whether a start order was lost in transit.
    pub(super) fn reconcile_missing(
        &mut self,
        report: &Report,
        listed: &[TaskId],
        now: Mono,
    ) -> bool {
        let mut lost_start = false;
        for (id, index) in self.tasks_assigned_to(&report.host, |h| h.session == report.session) {
            let task = TaskId::new(&id, index);
            if listed.contains(&task) {
                continue;
            }
            let Some(job) = self.job_table.jobs.get_mut(&id) else {
                continue;
            };
            let open = job.state == JobState::Open;
            let gang = job.gang;
            let Some(assignment) = job.assignment_mut(index) else {
                continue;
            };
            let sent = match assignment.run_sent {
                RunSent::No => false,
                RunSent::At(report_seq) => report_seq < report.report_seq,
                RunSent::Inherited => true,
            };
            if !sent {
                if !open {
                    self.release_task(&id, index, false, now);
                }
                continue;
            }
            let was_seen = assignment.phase.is_some();
            if assignment.stop.is_some()
                || was_seen
                || !open
                || !matches!(gang, GangState::Idle | GangState::Gathering(_))
            {
                log::info!("task {task}: gone from {}", report.host);
                self.task_lost(&id, index, now);
            } else {
                // The start order was lost in transit: the same attempt may be sent again.
                lost_start |= matches!(assignment.run_sent, RunSent::At(_));
                assignment.run_sent = RunSent::No;
            }
        }
        lost_start
    }

    /// Adds start orders for tasks whose assignment to this machine is durable.
    pub(super) fn add_start_orders(
        &mut self,
        host: &HostId,
        session: WorkerSession,
        report_seq: ReportSeq,
        orders: &mut Vec<Order>,
    ) {
        let Some(machine) = self.fleet.machines.get(host) else {
            return;
        };
        if !matches!(machine.state, MachineState::Live | MachineState::Closing) {
            return;
        }
        let strays: Vec<TaskId> = machine.strays.keys().map(|(t, _)| t.clone()).collect();
        for (id, index) in self.tasks_assigned_to(host, |h| h.run_sent == RunSent::No) {
            let Some(job) = self.job_table.jobs.get_mut(&id) else {
                continue;
            };
            let task = TaskId::new(&id, index);
            if job.state != JobState::Open
                || !job.assignment_durable(index)
                || strays.contains(&task)
            {
                continue;
            }
            let Some(assignment) = job.assignment_mut(index) else {
                continue;
            };
            if assignment.session != session
                || assignment.stop.is_some()
                || orders.len() >= MAX_ORDERS
            {
                continue;
            }
            assignment.run_sent = RunSent::At(report_seq);
            log::debug!("task {task}: run on {host} try {}", assignment.attempt);
            orders.push(Order::Run { task: task.to_string(), attempt: assignment.attempt });
        }
    }
}
