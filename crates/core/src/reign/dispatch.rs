//! Placement passes, and the assignments, stops and machine reservations that they decide.

use super::*;

impl Reign {
    /// Runs one placement pass; applies its starts and stops and leaves the hires to the caller.
    pub(super) fn run_placement(
        &mut self,
        settings: &Settings,
        cloud: &CloudDesk,
        now: Mono,
    ) -> Plan {
        self.placement_needed = false;
        let awaiting_machine = self.zones_awaiting_machine(settings, cloud, now);
        let zones = &self.fleet.zones;
        let closed = |zone: &Zone| match zones.hires(zone) {
            Hires::AsNeeded => false,
            Hires::OneAtATime => awaiting_machine.contains(zone),
            Hires::None => true,
        };
        let refused = |kind: &Kind| cloud.refused(kind, now) || closed(&kind.zone);
        let mut plan = placement::plan(Inputs {
            now,
            settings,
            book: &mut self.book,
            fleet: &self.fleet,
            paced: &self.task_limits,
            awaited: cloud.awaited().collect(),
            expected: &self.expected_jobs,
            refused: &refused,
        });
        // Expensive passes run less often, so that they do not starve other work.
        let cost_s = plan.steps as f64 * STEP_NS * 1e-9;
        let share = PLACE_SHARE * settings.facts.limits.cpu_share.clamp(0.01, 1.0);
        self.next_placement = now.plus(Millis::from_secs(cost_s / share).max(PLACE_EVERY_MS));
        let mut gang_attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        for (id, index, host) in plan.starts.split_off(0) {
            let attempt = match self.book.get(&id).map(|j| (j.spec.shape, j.gang)) {
                Some((Shape::Gang, Gang::Gathering(attempt))) => attempt,
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
        if plan.placed_kept {
            for m in self.fleet.machines.values_mut() {
                if m.reserved.as_ref().is_some_and(|(job, _)| gang_attempts.contains_key(job)) {
                    m.reserved = None;
                }
            }
        }
        for (task, why, grace) in &plan.stops {
            self.stop(task, *why, *grace, now);
            self.clear_stopped_gang(task);
        }
        for id in &plan.moves {
            self.stop_gang(id, StopWhy::Moved, now);
        }
        for (host, job) in &plan.reserve {
            if let Some(m) = self.fleet.machines.get_mut(host) {
                log::debug!("machine {host}: reserved for {job}");
                m.reserved = Some((job.clone(), now.plus(RESERVE_MS)));
            }
        }
        plan
    }

    /// Clears a gang after one of its tasks was stopped, since it cannot continue.
    pub(super) fn clear_stopped_gang(&mut self, task: &TaskId) {
        if let Some(job) = self.book.jobs.get_mut(&task.job)
            && let Gang::Gathering(attempt) | Gang::Running(attempt) = job.gang
            && job.held > 0
        {
            job.gang_enter(Gang::Clearing(attempt), "stopped to make room");
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
        let Some(job) = self.book.get(id) else { return };
        let Some(machine) = self.fleet.machines.get(host) else { return };
        if !placement::permitted(settings, &self.book, job, machine) {
            log::error!("task {id}/{index}: placement rules forbid {host}; invalid plan");
            self.wrong_plans += 1;
            return;
        }
        let spec = job.spec.clone();
        let cache = self.fleet.flavor(&machine.flavor).map_or(0.0, |f| f.cache_gb);
        let hold = Hold {
            host: host.clone(),
            shift: machine.shift,
            zone: machine.zone.clone(),
            attempt,
            version: 0,
            run: RunSent::No,
            phase: None,
            since: now,
            running_since: None,
            told_ms: None,
            stop: None,
        };
        if !self.book.hold(id, index, hold) {
            return;
        }
        if let Some(machine) = self.fleet.machines.get_mut(host) {
            let need = Room::from(&*spec);
            machine.hold(TaskId::new(id, index), need, &spec.image, spec.image_gb, cache);
            if machine.life == Life::Closing {
                machine.enter(Life::Live, "needed again");
            }
            // The room was reserved for this task; a longer reservation would delay the next replica.
            if spec.shape == Shape::Service
                && machine.reserved.as_ref().is_some_and(|(job, _)| job == id)
            {
                machine.reserved = None;
            }
        }
        self.changed_machines.push(host.clone());
        log::debug!("task {id}/{index}: assigned to {host}");
    }
}
