//! Placement passes, and the assignments, stops and machine reservations that they decide.

use super::*;

impl LeaderTerm {
    /// Runs one placement pass; applies its starts and stops and leaves the hires to the caller.
    pub(super) fn run_placement(
        &mut self,
        settings: &Settings,
        cloud: &CloudClient,
        now: Mono,
    ) -> PlacementPlan {
        self.placement_needed = false;
        let awaiting_machine = self.zones_awaiting_machine(settings, cloud, now);
        let zones = &self.fleet.zones;
        let closed = |zone: &Zone| match zones.hire_policy(zone) {
            HirePolicy::AsNeeded => false,
            HirePolicy::OneAtATime => awaiting_machine.contains(zone),
            HirePolicy::None => true,
        };
        let refused = |kind: &MachineKind| cloud.is_refused(kind, now) || closed(&kind.zone);
        let mut plan = placement::plan(PlacementInputs {
            now,
            settings,
            job_table: &mut self.job_table,
            fleet: &self.fleet,
            array_task_limits: &self.task_limits,
            pending_hires: cloud.pending_hires().collect(),
            expected_jobs: &self.expected_jobs,
            is_refused: &refused,
        });
        // Expensive passes run less often, so that they do not starve other work.
        let cost_s = plan.steps as f64 * STEP_NS * 1e-9;
        let share = MAX_PLACEMENT_CPU_SHARE * settings.facts.limits.cpu_share.clamp(0.01, 1.0);
        self.next_placement =
            now.plus(Millis::from_secs(cost_s / share).max(MIN_PLACEMENT_INTERVAL_MS));
        let mut gang_attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        for (id, index, host) in plan.starts.split_off(0) {
            let attempt = match self.job_table.get(&id).map(|j| (j.spec.shape, j.gang)) {
                Some((Shape::Gang, GangState::Gathering(attempt))) => attempt,
                Some((Shape::Gang, _)) => match gang_attempts.get(&id) {
                    Some(attempt) => *attempt,
                    None => self.new_attempt(),
                },
                _ => self.new_attempt(),
            };
            gang_attempts.insert(id.clone(), attempt);
            self.assign(settings, &id, index, &host, attempt, now);
        }
        // Reservations for a gang end once it has been placed.
        if plan.used_reservation {
            for m in self.fleet.machines.values_mut() {
                if m.reservation.as_ref().is_some_and(|(job, _)| gang_attempts.contains_key(job)) {
                    m.reservation = None;
                }
            }
        }
        for (task, reason, grace) in &plan.stops {
            self.stop(task, *reason, *grace, now);
            self.clear_stopped_gang(task);
        }
        for id in &plan.moves_to_spot {
            self.stop_gang(id, StopReason::Moved, now);
        }
        for (host, job) in &plan.reservations {
            if let Some(m) = self.fleet.machines.get_mut(host) {
                log::debug!("machine {host}: reserved for {job}");
                m.reservation = Some((job.clone(), now.plus(RESERVATION_TTL_MS)));
            }
        }
        plan
    }

    /// Clears a gang after one of its tasks was stopped, since it cannot continue.
    pub(super) fn clear_stopped_gang(&mut self, task: &TaskId) {
        if let Some(job) = self.job_table.jobs.get_mut(&task.job)
            && let GangState::Gathering(attempt) | GangState::Running(attempt) = job.gang
            && job.assigned > 0
        {
            job.set_gang_state(GangState::Clearing(attempt), "stopped to make room");
        }
    }

    /// Assigns a task to a machine, unless the placement rules forbid it.
    pub(super) fn assign(
        &mut self,
        settings: &Settings,
        id: &JobId,
        index: u32,
        host: &HostId,
        attempt: Attempt,
        now: Mono,
    ) {
        let Some(job) = self.job_table.get(id) else { return };
        let Some(machine) = self.fleet.machines.get(host) else { return };
        if !placement::may_place(settings, &self.job_table, job, machine) {
            log::error!("task {id}/{index}: placement rules forbid {host}; invalid plan");
            self.invalid_assignments += 1;
            return;
        }
        let spec = job.spec.clone();
        let cache = self.fleet.flavor(&machine.flavor).map_or(0.0, |f| f.cache_gb);
        let assignment = TaskAssignment {
            host: host.clone(),
            session: machine.session,
            zone: machine.zone.clone(),
            attempt,
            chunk_version: 0,
            run_sent: RunSent::No,
            phase: None,
            assigned_at: now,
            running_since: None,
            reported_run_ms: None,
            stop: None,
        };
        if !self.job_table.assign(id, index, assignment) {
            return;
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            let need = Resources::from(&*spec);
            machine.assign(TaskId::new(id, index), need, &spec.image, spec.image_gb, cache);
            if machine.state == MachineState::Closing {
                machine.set_state(MachineState::Live, "needed again");
            }
            // The room was reserved for this task; a longer reservation would delay the next replica.
            if spec.shape == Shape::Service
                && machine.reservation.as_ref().is_some_and(|(job, _)| job == id)
            {
                machine.reservation = None;
            }
        }
        self.changed_machines.push(host.clone());
        log::debug!("task {id}/{index}: assigned to {host}");
    }
}
