//! Moves a replica of one service to another zone to make room for a service that may only use the
//! replica's zone.

use super::slots::{Availability, Search, accepts_tasks};
use super::{Need, Pass};
use crate::constants::{
    MAX_DOWN_REPLICA_FETCH_S, MAX_EXCHANGE_SEARCHES, MAX_EXCHANGE_TARGETS, MIN_REPLICA_RUN_S,
};
use crate::jobs::{Job, JobTable, StopReason};
use crate::workers::Machine;
use oatloom_protocol::ids::TaskId;
use oatloom_protocol::wire::Shape;

/// A replica that could be moved: the machine that it leaves and the slot that it gets.
struct ReplicaMove<'m> {
    cost: f64,
    task: TaskId,
    from: &'m Machine,
    to: usize,
}

impl<'a> Pass<'a> {
    /// Moves a replica of a service that is fully up to another zone, for a service that lacks
    /// replicas and that the spread rule keeps out of the zones with free room. Returns whether
    /// room is being made. Without this, when the last free room of a region lies in one zone, for
    /// example after an outage of that zone, each further service gets half of its replicas and
    /// none is ever fully up.
    pub(super) fn exchange_replica(&mut self, need: &Need, job_table: &JobTable) -> bool {
        let job = need.job;
        if job.spec.shape != Shape::Service || self.exchange_searches >= MAX_EXCHANGE_SEARCHES {
            return false;
        }
        let targets = self.exchange_targets(need);
        if targets.is_empty() {
            return false;
        }
        self.exchange_searches += 1;
        self.plan.steps += (self.fleet.machines.len() * targets.len()) as u64;
        let Some(best) = self.best_move(need, &targets, job_table) else { return false };
        let Some(moved) = job_table.get(&best.task.job) else { return false };
        let Some(target) = self.slot_pool.slots[best.to].machine else { return false };
        self.plan.stops.push((best.task, StopReason::Moved, moved.spec.save_s));
        self.reserve(best.from, job);
        self.reserve(target, moved);
        self.slot_pool.occupy(&mut Search::default(), best.to, &Need::new(self.settings, moved));
        true
    }

    /// Live slots with room in zones that are closed to the job, up to [`MAX_EXCHANGE_TARGETS`] of each
    /// kind.
    fn exchange_targets(&self, need: &Need) -> Vec<usize> {
        let zones = self.zones(need.job);
        let mut found: Vec<usize> = Vec::new();
        for (slot_index, slot) in self.slot_pool.slots.iter().enumerate() {
            let live = slot.availability() == Availability::Live
                && slot.is_unreserved()
                && slot.has_room(&need.room);
            if !live || need.allows_zone(self.slot_pool.zone(slot_index), &zones) {
                continue;
            }
            let same = |other: &&usize| self.slot_pool.slots[**other].kind() == slot.kind();
            if found.iter().filter(same).count() < MAX_EXCHANGE_TARGETS {
                found.push(slot_index);
            }
        }
        found
    }

    /// The replica whose move costs least, in seconds of image fetches for the replica and for the
    /// job.
    fn best_move(
        &self,
        need: &Need,
        targets: &[usize],
        job_table: &JobTable,
    ) -> Option<ReplicaMove<'a>> {
        let zones = self.zones(need.job);
        let mut best: Option<ReplicaMove> = None;
        for machine in self.fleet.machines.values() {
            let eligible = accepts_tasks(self.fleet, machine, self.now)
                && machine.reserved_for(self.now).is_none()
                && self.plan.reservations.iter().all(|(host, _)| *host != machine.id)
                && need.allows(&machine.flavor, &machine.zone, machine.spot)
                && need.allows_zone(&machine.zone, &zones)
                && !need.job.avoids(&machine.id);
            if !eligible {
                continue;
            }
            let mut free = self.fleet.free_resources(machine);
            if let Some(taken) = self.room_taken.get(&machine.id) {
                free.subtract(taken);
            }
            let fetch_s = self.fleet.fetch_s(machine, &need.job.spec);
            for (task, room) in &machine.assigned {
                let mut left = free;
                left.add(room);
                let Some(moved) = job_table.get(&task.job).filter(|_| left.fits(&need.room)) else {
                    continue;
                };
                if !self.is_settled(moved, task.index) {
                    continue;
                }
                let Some((to, target_fetch_s)) = self.best_target(moved, machine, targets) else {
                    continue;
                };
                let cost = fetch_s + target_fetch_s;
                if best.as_ref().is_none_or(|best| cost < best.cost) {
                    best = Some(ReplicaMove { cost, task: task.clone(), from: machine, to });
                }
            }
        }
        best
    }

    /// Whether the replica belongs to a service that is fully up with no replica being stopped, and
    /// has run long enough: a replica that is moved again and again is of no use.
    fn is_settled(&self, job: &Job, index: u32) -> bool {
        let settled = |at| self.now.since(at).as_secs() >= MIN_REPLICA_RUN_S;
        job.spec.shape == Shape::Service
            && job.assigned == job.spec.tasks
            && job.assignments().all(|(_, assignment)| assignment.stop.is_none())
            && self.plan.stops.iter().all(|(task, _, _)| task.job != job.spec.id)
            && job
                .assignment(index)
                .and_then(|assignment| assignment.running_since)
                .is_some_and(settled)
    }

    /// The slot to which the replica on `from` can move with the shortest image fetch, and the
    /// seconds of that fetch.
    fn best_target(&self, job: &Job, from: &Machine, targets: &[usize]) -> Option<(usize, f64)> {
        let need = Need::new(self.settings, job);
        let mut zones = job.zones.clone();
        if let Some(count) = zones.get_mut(&from.zone) {
            *count = count.saturating_sub(1);
        }
        let mask = self.slot_pool.mask(&need, &zones, None);
        let allowed = |slot_index: &&usize| {
            let slot = &self.slot_pool.slots[**slot_index];
            mask[slot.kind()]
                && slot.has_room(&need.room)
                && slot
                    .machine
                    .is_some_and(|machine| machine.zone != from.zone && !job.avoids(&machine.id))
        };
        let fetches = targets
            .iter()
            .filter(allowed)
            .map(|slot_index| (*slot_index, self.slot_pool.fetch_s(*slot_index, &need)));
        fetches.filter(|(_, s)| *s <= MAX_DOWN_REPLICA_FETCH_S).min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
