//! Machines that come, fall silent, are drained, and go.

use super::*;

impl Reign {
    /// Everything on a machine is gone for certain.
    pub(super) fn machine_gone(&mut self, host: &HostId, why: &str, now: Mono) {
        for (id, index) in self.held_on(host, |_| true) {
            self.lost(&id, index, now);
        }
        if self.fleet.remove(host, now).is_some() {
            log::info!("machine {host}: gone ({why})");
        }
        // A job held to machines that failed it is not held to one that is gone.
        for job in self.book.jobs.values_mut().filter(|job| job.confined) {
            job.error_hosts.remove(host);
        }
        self.place_dirty = true;
    }

    pub fn released(&mut self, hosts: &[HostId], now: Mono) {
        for host in hosts {
            self.machine_gone(host, "released", now);
        }
    }

    pub fn hired(&mut self, kind: &Kind, hosts: &[HostId], now: Mono) {
        for host in hosts {
            if !self.fleet.gone.contains_key(host) {
                let m = self.fleet.adopt(host, &kind.flavor, &kind.zone, kind.spot, now, now);
                // A hire's answer may come after the machine's first report; what it says agrees.
                m.flavor.clone_from(&kind.flavor);
                m.attested = true;
            }
        }
        self.place_dirty = true;
    }

    /// Takes up a whole machine list. It may be older than the one before: absence proves nothing.
    pub fn listing(&mut self, rows: &[Listed], lag_s: f64, desk: &mut CloudDesk, now: Mono) {
        self.listed = true;
        for row in rows {
            if let Some(at) = self.fleet.gone.get(&row.host) {
                // Listed long after its release: a late rental, or the release was for naught.
                if now.since(*at).secs() > 3.0 * lag_s + 40.0 {
                    desk.release(&row.host);
                }
                continue;
            }
            let age = Millis::from_secs(row.age_s);
            let born = Mono(now.0.saturating_sub(age.0));
            let machine = self.fleet.adopt(&row.host, &row.flavor, &row.zone, row.spot, born, now);
            machine.attested = true;
            if machine.addr.is_empty() {
                machine.addr.clone_from(&row.addr);
            }
            if machine.flavor.is_empty() {
                machine.flavor.clone_from(&row.flavor);
                machine.spot = row.spot;
                self.place_dirty = true;
            }
            if row.status == MachineStatus::Running {
                machine.listed_up.get_or_insert(now);
            }
            if row.status == MachineStatus::Failed {
                machine.enter(Life::Releasing, "failed by itself");
                desk.release(&row.host);
            }
        }
    }

    /// Whether enough is known of the machines that are there to hire others. Guards against hires, as a term begins, beside
    /// machines that are there already, and in zones of which the list shows that their machines ought to be heard.
    pub(super) fn may_hire(&self, now: Mono) -> bool {
        self.listed || now.since(self.since) > FIRST_LIST_MS
    }

    /// Settles, once the machines are known, of which zones nothing is known: of all, where no earlier leader has told
    /// anything and has left machines.
    pub(super) fn begin_zones(&mut self) {
        let Some(catalog) = &self.fleet.catalog else { return };
        if self.zones_begun || !self.listed {
            return;
        }
        self.zones_begun = true;
        let inherited = |m: &Machine| m.was_up() || m.born < self.since;
        if !self.informed && self.fleet.machines.values().any(inherited) {
            let zones: BTreeSet<&Zone> =
                catalog.flavors.iter().flat_map(|flavor| &flavor.zones).collect();
            self.fleet.zones.begin_unheard(zones);
        }
    }

    /// Silence, leases that have run out, drains, and machines that never came up.
    pub(super) fn watch_machines(
        &mut self,
        settings: &Settings,
        ops: &Operators,
        desk: &mut CloudDesk,
        now: Mono,
    ) {
        let facts = &settings.facts.workers;
        let silent_after = Millis::from_secs(facts.report_s * ops.silent_reports);
        let early = Millis::from_secs(silent_after.secs() * EARLY_SILENCE);
        let taken_after = Millis::from_secs(facts.report_s * TAKEN_REPORTS);
        let found_by = self.heard_from.plus(Millis::from_secs(REDIRECT_S));
        let silence = |m: &Machine| {
            let from = m.last_report.unwrap_or(m.born).max(found_by.min(now));
            now.since(from)
        };
        let seen = self.seen(early, found_by.min(now), now);
        self.fleet.zones.observe(&seen, now);
        let mut sentinels: BTreeSet<Zone> = BTreeSet::new();
        let mut expired = Vec::new();
        let catalog = self.fleet.catalog.as_ref();
        for m in self.fleet.machines.values_mut() {
            let horizon = Fleet::horizon(m, self.since, facts.lease_s);
            if now > horizon && !m.held.is_empty() {
                expired.push(m.id.clone());
            }
            // Only where nobody could answer it for so long: silence of its own has a patience of its own.
            m.lapsed = horizon < self.heard_from && m.last_report.is_some_and(|at| at <= horizon);
            if m.life == Life::Releasing {
                continue;
            }
            let over = now > horizon;
            // One is left to report the moment its zone is back, the others for as long as it would take to have them
            // again: a boot, and the fetch of their images.
            let mut kept_in_lost_zone = |m: &Machine| {
                let sentinel = self.fleet.zones.keeps_sentinel(&m.zone, now);
                m.taken_at.is_none()
                    && self.fleet.zones.lost(&m.zone)
                    && (sentinel && sentinels.insert(m.zone.clone())
                        || now <= horizon.plus(Millis::from_secs(m.again_s(catalog))))
            };
            if m.last_report.is_none() {
                let flavor = catalog.and_then(|c| c.flavor(&m.flavor));
                let boot_s = flavor.map_or(30.0, |f| f.boot_s);
                let patience = Millis::from_secs(boot_s * BOOT_PATIENCE + facts.lease_s);
                let since_lead = now.since(self.heard_from) > silent_after;
                // Guards against the return of machines that were up before this leader began, as if they had never come
                // up: nobody in their zone is heard yet, and their tasks may run on until their leases end.
                let unheard = seen.get(&m.zone).is_some_and(Seen::nobody_heard);
                let waits = m.was_up() && unheard && (!over || kept_in_lost_zone(m));
                if now.since(m.born) > patience && since_lead && !waits {
                    m.enter(Life::Releasing, "never reported");
                    desk.release(&m.id);
                }
                continue;
            }
            // A machine that was to be taken and has fallen silent needs no patience.
            let taken = m.taken_at.is_some() && silence(m) > taken_after && now > found_by;
            let silent = taken || silence(m) > silent_after && now > found_by.plus(silent_after);
            if silent && matches!(m.life, Life::Live | Life::Closing) {
                m.enter(Life::Silent, "no reports");
            }
            // Guards against taking a cut between zones for the loss of all their machines: they
            // are left alone until their leases have run out in any case.
            let cut = seen.get(&m.zone).is_some_and(Seen::cut);
            let kept = silent && kept_in_lost_zone(m);
            if silent && (!cut || over) && !kept {
                m.enter(Life::Releasing, "silent for too long");
                desk.release(&m.id);
            } else if m.life == Life::Draining && m.empty() && m.taken_at.is_none() {
                m.enter(Life::Releasing, "drained");
                desk.release(&m.id);
            }
        }
        for host in expired {
            for (id, index) in self.held_on(&host, |_| true) {
                log::info!("task {id}/{index}: gone, the lease of {host} has run out");
                self.lost(&id, index, now);
            }
        }
    }

    /// Notes which machines do not report and have tasks of jobs that are over, those told longest ago last; also those whose
    /// return was asked for and may never be answered.
    pub(super) fn find_overdue(&mut self, settings: &Settings, now: Mono) {
        let report_s = settings.facts.workers.report_s;
        let (again, late) =
            (Millis::from_secs(report_s), Millis::from_secs(report_s * OVERDUE_REPORTS));
        let over = |task: &TaskId| self.book.get(&task.job).is_some_and(|job| !job.goes_on());
        let due = |m: &&Machine| {
            let heard = m.last_report.unwrap_or(self.heard_from).max(self.heard_from);
            !m.addr.is_empty()
                && now.since(heard) > late
                && now.since(m.told_at) >= again
                && m.held.keys().any(over)
        };
        let machines = self.fleet.machines.values().filter(due);
        let mut found: Vec<(Mono, HostId)> = machines.map(|m| (m.told_at, m.id.clone())).collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        self.overdue = found.into_iter().map(|(_, host)| host).collect();
    }

    /// The next machine that does not report, with its address, and the stops of what it has of jobs that are over. Said
    /// once in a report period, until it is known to have ended. Guards against cancelled work that goes on for the rest of
    /// a lease, and counts in its team's limit as long, on machines that reach no controller and can be reached.
    pub fn next_overdue(&mut self, now: Mono) -> Option<(HostId, String, Command)> {
        loop {
            let host = self.overdue.pop()?;
            let over = |(id, _): &(JobId, u32)| self.book.get(id).is_some_and(|job| !job.goes_on());
            let tasks = self.held_on(&host, |_| true).into_iter().filter(over);
            let stop = |(id, index): (JobId, u32)| {
                let attempt = self.book.get(&id)?.hold(index)?.attempt;
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
            m.told_at = now;
            let command = Command { token: self.token, shift: m.shift, orders };
            return Some((host, m.addr.clone(), command));
        }
    }

    /// What shows of each zone's machines: those that are silent for longer than `early`, counted from `found_by` at the
    /// earliest, ought to have reported. Guards against a zone that is taken for lost for the silence of machines that were
    /// returned long ago, of which old reports came.
    fn seen(&self, early: Millis, found_by: Mono, now: Mono) -> BTreeMap<Zone, Seen> {
        let mut zones: BTreeMap<Zone, Seen> = BTreeMap::new();
        let counts = |m: &&Machine| m.attested && m.life != Life::Releasing;
        for m in self.fleet.machines.values().filter(counts) {
            let seen = zones.entry(m.zone.clone()).or_default();
            // By the records its tasks were there when this leader began, whatever the list has shown since.
            let expected = m.listed_up.or((!m.held.is_empty()).then_some(self.since));
            let overdue = |at: Mono| u32::from(now.since(at.max(found_by)) > early);
            if let Some(at) = m.last_report {
                seen.known += 1;
                // Those cut off together fall silent within a report period of each other.
                seen.silent += overdue(at);
                seen.heard += u32::from(now.since(at) <= early);
                seen.latest = seen.latest.max(Some(at));
            } else if let Some(at) = expected {
                seen.expected += 1;
                seen.unheard += overdue(at);
            }
        }
        zones
    }

    /// Zones in which a machine was hired lately that has not reported: it may be on its way, or up and cut off.
    pub(super) fn coming(
        &self,
        settings: &Settings,
        desk: &CloudDesk,
        now: Mono,
    ) -> BTreeSet<Zone> {
        let lease_s = settings.facts.workers.lease_s;
        let lately = |m: &&Machine| {
            let boot_s = self.fleet.flavor(&m.flavor).map_or(0.0, |f| f.boot_s);
            m.life == Life::Booting && now.since(m.born).secs() < boot_s * BOOT_SPREAD + lease_s
        };
        let hired = self.fleet.machines.values().filter(lately).map(|m| m.zone.clone());
        hired.chain(desk.awaited().map(|(kind, _)| kind.zone)).collect()
    }

    /// Whether work waits that may run in this zone and nowhere else.
    fn waited_for(&self, zone: &Zone, now: Mono) -> bool {
        let flavors = self.fleet.catalog.as_ref().map_or(&[][..], |c| &c.flavors);
        let waits = |j: &Job| j.state == JobState::Open && j.startable(now) > 0;
        self.book.jobs.values().any(|j| waits(j) && placement::needs_zone(&j.spec, flavors, zone))
    }

    /// In a zone that is lost nothing is hired as needed. What was wished for there and not asked for yet is let go;
    /// now and then one machine is hired to see whether the zone lives, if none is on its way there. One that is silent
    /// tells nothing: it may be dead, and work that may run nowhere else waited five minutes for it. While one that boots is
    /// waited for, or all kinds are refused, the hire is put off, not left out.
    pub(super) fn probe_zones(&mut self, settings: &Settings, desk: &mut CloudDesk, now: Mono) {
        for zone in self.fleet.zones.all_lost() {
            desk.unwish(zone);
        }
        let due = self.fleet.zones.due_probes(now, |zone| self.waited_for(zone, now));
        // Hired lately, and not what is known by records alone, or never comes up: that kept work which may run nowhere else
        // waiting for two minutes.
        let coming =
            if due.is_empty() { BTreeSet::new() } else { self.coming(settings, desk, now) };
        for zone in due {
            // What is live there on the zone's way back shows by its own reports whether it lasts.
            let returning = !self.fleet.zones.lost(&zone);
            let live = |m: &Machine| m.zone == zone && m.life == Life::Live;
            if coming.contains(&zone) || returning && self.fleet.machines.values().any(live) {
                continue;
            }
            let flavors = self.fleet.catalog.iter().flat_map(|c| &c.flavors);
            let here = flavors.filter(|f| f.zones.contains(&zone));
            let kinds = here.flat_map(|f| [true, false].map(|spot| (f, spot)));
            let open = kinds.map(|(f, spot)| {
                let kind = Kind { flavor: f.label.clone(), zone: zone.clone(), spot };
                (f.price_as(spot), kind)
            });
            let cheapest = open
                .filter(|(_, kind)| !desk.refused(kind, now))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, kind)) = cheapest {
                log::info!("zone {zone}: one machine is hired to see whether it lives");
                desk.hire(&kind, 1);
                self.fleet.zones.probed(&zone, now);
            }
        }
    }

    /// Tasks on machines that are to be emptied are asked to save and go.
    pub(super) fn drain(&mut self, now: Mono) {
        let mut stops = Vec::new();
        for m in self.fleet.machines.values() {
            if m.life != Life::Draining {
                continue;
            }
            for task in m.held.keys() {
                let Some(job) = self.book.get(&task.job) else {
                    continue;
                };
                let spec = &job.spec;
                let Some(hold) = job.hold(task.index) else {
                    continue;
                };
                // Before the cloud takes a machine, work that cannot be saved runs on if it may be
                // done in time; else it starts again elsewhere at once.
                let ran_s = hold.running_since.map_or(0.0, |t| now.since(t).secs());
                let to_go_s = spec.estimate_s - ran_s;
                let hopeless = m.taken_at.is_some_and(|at| {
                    spec.checkpoint_s <= 0.0
                        && spec.shape != Shape::Service
                        && to_go_s < at.since(now).secs()
                });
                if hold.stop.is_none() && !(hopeless && hold.run != RunSent::No) {
                    stops.push((task.clone(), spec.save_s));
                }
            }
        }
        for (task, grace) in stops {
            if matches!(self.book.get(&task.job).map(|j| j.gang), Some(Gang::Running(_))) {
                self.stop_gang(&task.job, StopWhy::Draining, now);
            } else if self.book.held(&task).is_some_and(|hold| hold.stop.is_none()) {
                // Else it was stopped along with another task of its gang.
                self.stop(&task, StopWhy::Draining, grace, now);
            }
        }
    }
}
