//! Machine lifecycle: hires, silence, expired leases, draining and release.

use super::*;

impl LeaderTerm {
    /// Removes a machine that is provably gone, with everything on it.
    pub(super) fn machine_gone(&mut self, host: &HostId, why: &str, now: Mono) {
        for (id, index) in self.tasks_assigned_to(host, |_| true) {
            self.task_lost(&id, index, now);
        }
        if self.fleet.remove(host, now).is_some() {
            log::info!("machine {host}: gone ({why})");
        }
        // A job confined to the machines on which it failed must not wait for one that is gone.
        for job in self.job_table.jobs.values_mut().filter(|job| job.unproven) {
            job.error_hosts.remove(host);
        }
        self.placement_needed = true;
    }

    /// Removes machines whose release the cloud has confirmed.
    pub fn machines_released(&mut self, hosts: &[HostId], now: Mono) {
        for host in hosts {
            self.machine_gone(host, "released", now);
        }
    }

    /// Adds machines that the cloud has hired.
    pub fn machines_hired(&mut self, kind: &MachineKind, hosts: &[HostId], now: Mono) {
        for host in hosts {
            if !self.fleet.tombstones.contains_key(host) {
                let m = self.fleet.get_or_add_machine(
                    host,
                    &kind.flavor,
                    &kind.zone,
                    kind.spot,
                    now,
                    now,
                );
                // The answer to a hire may arrive after the machine's first report; they agree.
                m.flavor.clone_from(&kind.flavor);
                m.existence_confirmed = true;
            }
        }
        self.placement_needed = true;
    }

    /// Applies a complete machine list. It may be older than the previous one, so a missing machine proves nothing.
    pub fn apply_machine_list(
        &mut self,
        rows: &[ListedMachine],
        lag_s: f64,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        self.machines_listed = true;
        for row in rows {
            if let Some(at) = self.fleet.tombstones.get(&row.host) {
                // Listed long after its release: the hire took effect late, or the release had no effect.
                if now.since(*at).as_secs() > 3.0 * lag_s + 40.0 {
                    cloud.release(&row.host);
                }
                continue;
            }
            let age = Millis::from_secs(row.age_s);
            let created_at = Mono(now.0.saturating_sub(age.0));
            let machine = self.fleet.get_or_add_machine(
                &row.host,
                &row.flavor,
                &row.zone,
                row.spot,
                created_at,
                now,
            );
            machine.existence_confirmed = true;
            if machine.addr.is_empty() {
                machine.addr.clone_from(&row.addr);
            }
            if machine.flavor.is_empty() {
                machine.flavor.clone_from(&row.flavor);
                machine.spot = row.spot;
                self.placement_needed = true;
            }
            if row.status == MachineStatus::Running {
                machine.listed_up_since.get_or_insert(now);
            }
            if row.status == MachineStatus::Failed {
                machine.set_state(MachineState::Releasing, "the cloud lists it as failed");
                cloud.release(&row.host);
            }
        }
    }

    /// Whether enough is known of the existing machines to hire more. At the start of a term this avoids duplicates of
    /// machines that exist already, and hires in zones whose listed machines should be reporting but do not.
    pub(super) fn may_hire(&self, now: Mono) -> bool {
        self.machines_listed || now.since(self.started_at) > FIRST_LIST_TIMEOUT_MS
    }

    /// Initializes the zone states once the machine list is known: if no earlier leader sent hints but machines were left
    /// behind, nothing is known of any zone.
    pub(super) fn initialize_zones(&mut self) {
        let Some(catalog) = &self.fleet.catalog else { return };
        if self.zones_initialized || !self.machines_listed {
            return;
        }
        self.zones_initialized = true;
        let inherited = |m: &Machine| m.was_up() || m.created_at < self.started_at;
        if !self.hints_applied && self.fleet.machines.values().any(inherited) {
            let zones: BTreeSet<&Zone> =
                catalog.flavors.iter().flat_map(|flavor| &flavor.zones).collect();
            self.fleet.zones.mark_unknown(zones);
        }
    }

    /// Handles silent machines, expired leases, drained machines, and machines that never came up.
    pub(super) fn check_machines(
        &mut self,
        settings: &Settings,
        ops: &OperatorSettings,
        cloud: &mut CloudClient,
        now: Mono,
    ) {
        let workers = &settings.facts.workers;
        let silent_after = Millis::from_secs(workers.report_s * ops.silent_reports);
        let early_silence = Millis::from_secs(silent_after.as_secs() * EARLY_SILENCE_SHARE);
        let reclaimed_after = Millis::from_secs(workers.report_s * RECLAIMED_REPORT_PERIODS);
        let leader_known_by = self.silence_counted_from.plus(Millis::from_secs(MAX_REDIRECT_S));
        let silence = |m: &Machine| {
            let from = m.last_report.unwrap_or(m.created_at).max(leader_known_by.min(now));
            now.since(from)
        };
        let observations = self.zone_observations(early_silence, leader_known_by.min(now), now);
        self.fleet.zones.observe(&observations, now);
        let mut sentinels: BTreeSet<Zone> = BTreeSet::new();
        let mut expired = Vec::new();
        let catalog = self.fleet.catalog.as_ref();
        for m in self.fleet.machines.values_mut() {
            let tasks_gone_by = Fleet::tasks_gone_by(m, self.started_at, workers.lease_s);
            if now > tasks_gone_by && !m.assigned.is_empty() {
                expired.push(m.id.clone());
            }
            // Only if no controller could answer it until its lease ran out; a machine silent by itself is handled below.
            m.lease_lapsed = tasks_gone_by < self.silence_counted_from
                && m.last_report.is_some_and(|at| at <= tasks_gone_by);
            if m.state == MachineState::Releasing {
                continue;
            }
            let lease_expired = now > tasks_gone_by;
            // One machine is kept so that it reports as soon as its zone is back, the others for as long as their
            // replacement would take: a boot and the fetch of their images.
            let mut kept_in_lost_zone = |m: &Machine| {
                let sentinel = self.fleet.zones.keeps_sentinel(&m.zone, now);
                m.reclaim_at.is_none()
                    && self.fleet.zones.is_lost(&m.zone)
                    && (sentinel && sentinels.insert(m.zone.clone())
                        || now <= tasks_gone_by.plus(Millis::from_secs(m.replacement_s(catalog))))
            };
            if m.last_report.is_none() {
                let flavor = catalog.and_then(|c| c.flavor(&m.flavor));
                let boot_s = flavor.map_or(30.0, |f| f.boot_s);
                let boot_timeout =
                    Millis::from_secs(boot_s * MAX_BOOT_WAIT_FACTOR + workers.lease_s);
                let had_time_to_report = now.since(self.silence_counted_from) > silent_after;
                // Machines that were up before this term began are not released as never booted while no machine of
                // their zone reports yet: their tasks may run on until their leases end.
                let none_reports =
                    observations.get(&m.zone).is_some_and(ZoneObservation::has_never_reported);
                let may_be_up =
                    m.was_up() && none_reports && (!lease_expired || kept_in_lost_zone(m));
                if now.since(m.created_at) > boot_timeout && had_time_to_report && !may_be_up {
                    m.set_state(MachineState::Releasing, "never reported");
                    cloud.release(&m.id);
                }
                continue;
            }
            // A machine that the cloud will reclaim counts as lost after a shorter silence.
            let reclaimed =
                m.reclaim_at.is_some() && silence(m) > reclaimed_after && now > leader_known_by;
            let silent =
                reclaimed || silence(m) > silent_after && now > leader_known_by.plus(silent_after);
            if silent && matches!(m.state, MachineState::Live | MachineState::Closing) {
                m.set_state(MachineState::Silent, "no reports");
            }
            // A network partition between zones must not pass for the loss of all their machines: they
            // are kept until their leases have run out.
            let partitioned = observations.get(&m.zone).is_some_and(ZoneObservation::is_cut);
            let keep = silent && kept_in_lost_zone(m);
            if silent && (!partitioned || lease_expired) && !keep {
                m.set_state(MachineState::Releasing, "silent for too long");
                cloud.release(&m.id);
            } else if m.state == MachineState::Draining && m.is_empty() && m.reclaim_at.is_none() {
                m.set_state(MachineState::Releasing, "drained");
                cloud.release(&m.id);
            }
        }
        for host in expired {
            for (id, index) in self.tasks_assigned_to(&host, |_| true) {
                log::info!("task {id}/{index}: gone, the lease of {host} has expired");
                self.task_lost(&id, index, now);
            }
        }
    }

    /// Collects the machines that do not report and still hold tasks of finished jobs, the least recently contacted
    /// last. Machines being released are included, since their release may never be confirmed.
    pub(super) fn collect_overdue_machines(&mut self, settings: &Settings, now: Mono) {
        let report_s = settings.facts.workers.report_s;
        let (repeat_after, overdue_after) =
            (Millis::from_secs(report_s), Millis::from_secs(report_s * OVERDUE_REPORT_PERIODS));
        let of_finished_job =
            |task: &TaskId| self.job_table.get(&task.job).is_some_and(|job| !job.may_continue());
        let overdue = |m: &&Machine| {
            let last_contact =
                m.last_report.unwrap_or(self.silence_counted_from).max(self.silence_counted_from);
            !m.addr.is_empty()
                && now.since(last_contact) > overdue_after
                && now.since(m.last_direct_command) >= repeat_after
                && m.assigned.keys().any(of_finished_job)
        };
        let machines = self.fleet.machines.values().filter(overdue);
        let mut found: Vec<(Mono, HostId)> =
            machines.map(|m| (m.last_direct_command, m.id.clone())).collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        self.overdue_machines = found.into_iter().map(|(_, host)| host).collect();
    }

    /// Returns the next machine that does not report, with its address and stops for its tasks of finished jobs.
    /// Repeated once per report period until the tasks are known to have ended. Otherwise, on machines that reach no
    /// controller but can be reached, cancelled work would run on for the rest of a lease and count against its team's
    /// limit.
    pub fn next_overdue_stop(&mut self, now: Mono) -> Option<(HostId, String, Command)> {
        loop {
            let host = self.overdue_machines.pop()?;
            let of_finished_job = |(id, _): &(JobId, u32)| {
                self.job_table.get(id).is_some_and(|job| !job.may_continue())
            };
            let tasks = self.tasks_assigned_to(&host, |_| true).into_iter().filter(of_finished_job);
            let stop = |(id, index): (JobId, u32)| {
                let attempt = self.job_table.get(&id)?.assignment(index)?.attempt;
                Some(Order::Stop {
                    task: TaskId::new(&id, index).to_string(),
                    attempt,
                    grace_s: 0.0,
                })
            };
            let orders: Vec<Order> = tasks.filter_map(stop).take(MAX_ORDERS).collect();
            let Some(m) = self.fleet.machines.get_mut(&host).filter(|_| !orders.is_empty()) else {
                continue;
            };
            m.last_direct_command = now;
            let command = Command { token: self.token, session: m.session, orders };
            return Some((host, m.addr.clone(), command));
        }
    }

    /// Summarizes the reports of each zone's machines: one silent for longer than `early_silence`, counted from
    /// `leader_known_by` at the earliest, should have reported. Only machines that are confirmed to exist and not being
    /// released count: old reports of machines released long ago would make their zone appear lost.
    fn zone_observations(
        &self,
        early_silence: Millis,
        leader_known_by: Mono,
        now: Mono,
    ) -> BTreeMap<Zone, ZoneObservation> {
        let mut zones: BTreeMap<Zone, ZoneObservation> = BTreeMap::new();
        let counts = |m: &&Machine| m.existence_confirmed && m.state != MachineState::Releasing;
        for m in self.fleet.machines.values().filter(counts) {
            let observation = zones.entry(m.zone.clone()).or_default();
            // The stored assignments show that it was up when this term began, whatever the machine list says.
            let expected =
                m.listed_up_since.or((!m.assigned.is_empty()).then_some(self.started_at));
            let overdue = |at: Mono| u32::from(now.since(at.max(leader_known_by)) > early_silence);
            if let Some(at) = m.last_report {
                observation.machines_known += 1;
                // Machines cut off together fall silent within one report period of each other.
                observation.silent += overdue(at);
                observation.machines_reporting += u32::from(now.since(at) <= early_silence);
                observation.latest = observation.latest.max(Some(at));
            } else if let Some(at) = expected {
                observation.expected += 1;
                observation.overdue += overdue(at);
            }
        }
        zones
    }

    /// Zones with a recently hired machine that has not reported: it may be booting, or up and cut off.
    pub(super) fn zones_awaiting_machine(
        &self,
        settings: &Settings,
        cloud: &CloudClient,
        now: Mono,
    ) -> BTreeSet<Zone> {
        let lease_s = settings.facts.workers.lease_s;
        let recently_hired = |m: &&Machine| {
            let boot_s = self.fleet.flavor(&m.flavor).map_or(0.0, |f| f.boot_s);
            m.state == MachineState::Booting
                && now.since(m.created_at).as_secs() < boot_s * MAX_BOOT_FACTOR + lease_s
        };
        let hired = self.fleet.machines.values().filter(recently_hired).map(|m| m.zone.clone());
        hired.chain(cloud.pending_hires().map(|(kind, _)| kind.zone)).collect()
    }

    /// Whether work is waiting that may run in this zone only.
    fn has_work_only_for_zone(&self, zone: &Zone, now: Mono) -> bool {
        let flavors = self.fleet.catalog.as_ref().map_or(&[][..], |c| &c.flavors);
        let waits = |j: &Job| j.state == JobState::Open && j.startable(now) > 0;
        self.job_table
            .jobs
            .values()
            .any(|j| waits(j) && placement::needs_zone(&j.spec, flavors, zone))
    }

    /// Hires one machine in a lost zone now and then to probe whether the zone is back, unless one is booting there; hire
    /// requests for lost zones that were not sent yet are dropped. A silent machine does not replace the probe: it may be
    /// dead, and work that could run only there waited five minutes for it. The probe is postponed, not skipped, while a
    /// machine boots or all kinds are refused.
    pub(super) fn probe_zones(&mut self, settings: &Settings, cloud: &mut CloudClient, now: Mono) {
        for zone in self.fleet.zones.lost_zones() {
            cloud.cancel_unsent_hires(zone);
        }
        let due_zones =
            self.fleet.zones.due_probes(now, |zone| self.has_work_only_for_zone(zone, now));
        // Only recent hires count: machines known from records alone, or that never come up, delayed work bound to the
        // zone by two minutes.
        let awaiting_machine = if due_zones.is_empty() {
            BTreeSet::new()
        } else {
            self.zones_awaiting_machine(settings, cloud, now)
        };
        for zone in due_zones {
            // While the zone recovers, the reports of its live machines show whether it stays up; no probe is needed.
            let returning = !self.fleet.zones.is_lost(&zone);
            let live = |m: &Machine| m.zone == zone && m.state == MachineState::Live;
            if awaiting_machine.contains(&zone)
                || returning && self.fleet.machines.values().any(live)
            {
                continue;
            }
            let flavors = self.fleet.catalog.iter().flat_map(|c| &c.flavors);
            let flavors_here = flavors.filter(|f| f.zones.contains(&zone));
            let kinds = flavors_here.flat_map(|f| [true, false].map(|spot| (f, spot)));
            let priced_kinds = kinds.map(|(f, spot)| {
                let kind = MachineKind { flavor: f.label.clone(), zone: zone.clone(), spot };
                (f.hourly_price(spot), kind)
            });
            let cheapest = priced_kinds
                .filter(|(_, kind)| !cloud.is_refused(kind, now))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, kind)) = cheapest {
                log::info!("zone {zone}: hiring one machine to probe whether the zone is back");
                cloud.hire(&kind, 1);
                self.fleet.zones.record_probe(&zone, now);
            }
        }
    }

    /// Stops the tasks on draining machines, with time to save their progress.
    pub(super) fn stop_draining_tasks(&mut self, now: Mono) {
        let mut stops = Vec::new();
        for m in self.fleet.machines.values() {
            if m.state != MachineState::Draining {
                continue;
            }
            for task in m.assigned.keys() {
                let Some(job) = self.job_table.get(&task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let Some(assignment) = job.assignment(task.index) else {
                    continue;
                };
                // Before the cloud takes a machine, a task that cannot save its progress runs on if it
                // may finish in time; otherwise it is stopped at once and starts again elsewhere.
                let ran_s = assignment.running_since.map_or(0.0, |t| now.since(t).as_secs());
                let remaining_s = spec.estimate_s - ran_s;
                let may_finish_in_time = m.reclaim_at.is_some_and(|at| {
                    spec.checkpoint_s <= 0.0
                        && spec.shape != Shape::Service
                        && remaining_s < at.since(now).as_secs()
                });
                if assignment.stop.is_none()
                    && !(may_finish_in_time && assignment.run_sent != RunSent::No)
                {
                    stops.push((task.clone(), spec.save_s));
                }
            }
        }
        for (task, grace) in stops {
            if matches!(self.job_table.get(&task.job).map(|j| j.gang), Some(GangState::Running(_)))
            {
                self.stop_gang(&task.job, StopReason::Draining, now);
            } else if self
                .job_table
                .assignment(&task)
                .is_some_and(|assignment| assignment.stop.is_none())
            {
                // Otherwise it was stopped along with another task of its gang.
                self.stop(&task, StopReason::Draining, grace, now);
            }
        }
    }
}
