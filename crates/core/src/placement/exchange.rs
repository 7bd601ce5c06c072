//! Moves a replica of one service to another zone to make room for a service that may only use the
//! replica's zone.

use super::slots::{Search, When, usable};
use super::{Need, Pass};
use crate::constants::{DOWN_FETCH_S, EXCHANGE_SEARCHES_MOST, EXCHANGE_TARGETS, SETTLED_S};
use crate::jobs::{Book, Job, StopWhy};
use crate::workers::Machine;
use oatloom_protocol::ids::TaskId;
use oatloom_protocol::wire::Shape;

/// A replica that could be moved: the machine that it leaves and the slot that it gets.
struct Move<'m> {
    cost: f64,
    task: TaskId,
    from: &'m Machine,
    to: usize,
}

impl<'a> Pass<'a> {
    /// Moves a replica of a service that is fully up to another zone, for a service that lacks
    /// replicas and that the spread rule keeps out of the zones with free room. Returns whether
    /// room is being made. Without it, when the last free room of a region lies in one zone, for
    /// example after an outage of that zone, each further service gets half of its replicas and
    /// none is ever fully up.
    pub(super) fn exchange(&mut self, need: &Need, book: &Book) -> bool {
        let job = need.job;
        if job.spec.shape != Shape::Service || self.exchange_searches >= EXCHANGE_SEARCHES_MOST {
            return false;
        }
        let targets = self.exchange_targets(need);
        if targets.is_empty() {
            return false;
        }
        self.exchange_searches += 1;
        self.plan.steps += (self.fleet.machines.len() * targets.len()) as u64;
        let Some(best) = self.best_move(need, &targets, book) else { return false };
        let Some(moved) = book.get(&best.task.job) else { return false };
        let Some(target) = self.yard.slots[best.to].machine else { return false };
        self.plan.stops.push((best.task, StopWhy::Moved, moved.spec.save_s));
        self.keep(best.from, job);
        self.keep(target, moved);
        self.yard.take(&mut Search::default(), best.to, &Need::new(self.settings, moved));
        true
    }

    /// Live slots with room in zones that are closed to the job, up to [`EXCHANGE_TARGETS`] of each
    /// kind.
    fn exchange_targets(&self, need: &Need) -> Vec<usize> {
        let zones = self.zones(need.job);
        let mut found: Vec<usize> = Vec::new();
        for (at, slot) in self.yard.slots.iter().enumerate() {
            let live =
                slot.when() == When::Live && slot.is_unreserved() && slot.has_room(&need.room);
            if !live || need.zone_open(self.yard.zone(at), &zones) {
                continue;
            }
            let same = |other: &&usize| self.yard.slots[**other].kind() == slot.kind();
            if found.iter().filter(same).count() < EXCHANGE_TARGETS {
                found.push(at);
            }
        }
        found
    }

    /// The replica whose move costs least, in seconds of image fetches for the replica and for the
    /// job.
    fn best_move(&self, need: &Need, targets: &[usize], book: &Book) -> Option<Move<'a>> {
        let zones = self.zones(need.job);
        let mut best: Option<Move> = None;
        for machine in self.fleet.machines.values() {
            let open = usable(self.fleet, machine, self.now)
                && machine.kept_for(self.now).is_none()
                && self.plan.reserve.iter().all(|(host, _)| *host != machine.id)
                && need.allows(&machine.flavor, &machine.zone, machine.spot)
                && need.zone_open(&machine.zone, &zones)
                && !need.job.avoids(&machine.id);
            if !open {
                continue;
            }
            let mut free = self.fleet.free_room(machine);
            if let Some(given) = self.given.get(&machine.id) {
                free.take(given);
            }
            let fetch_s = self.fleet.fetch_s(machine, &need.job.spec);
            for (task, room) in &machine.held {
                let mut left = free;
                left.add(room);
                let Some(moved) = book.get(&task.job).filter(|_| left.fits(&need.room)) else {
                    continue;
                };
                if !self.is_settled(moved, task.index) {
                    continue;
                }
                let Some((to, there_s)) = self.best_target(moved, machine, targets) else {
                    continue;
                };
                let cost = fetch_s + there_s;
                if best.as_ref().is_none_or(|best| cost < best.cost) {
                    best = Some(Move { cost, task: task.clone(), from: machine, to });
                }
            }
        }
        best
    }

    /// Whether the replica belongs to a service that is fully up with no replica being stopped, and
    /// has run long enough: a replica that is moved again and again is of no use.
    fn is_settled(&self, job: &Job, index: u32) -> bool {
        let settled = |at| self.now.since(at).secs() >= SETTLED_S;
        job.spec.shape == Shape::Service
            && job.held == job.spec.tasks
            && job.holds().all(|(_, hold)| hold.stop.is_none())
            && self.plan.stops.iter().all(|(task, _, _)| task.job != job.spec.id)
            && job.hold(index).and_then(|hold| hold.running_since).is_some_and(settled)
    }

    /// The slot to which the replica on `from` can move with the shortest image fetch, and the
    /// seconds of that fetch.
    fn best_target(&self, job: &Job, from: &Machine, targets: &[usize]) -> Option<(usize, f64)> {
        let need = Need::new(self.settings, job);
        let mut zones = job.zones.clone();
        if let Some(count) = zones.get_mut(&from.zone) {
            *count = count.saturating_sub(1);
        }
        let mask = self.yard.mask(&need, &zones, None);
        let may = |at: &&usize| {
            let slot = &self.yard.slots[**at];
            mask[slot.kind()]
                && slot.has_room(&need.room)
                && slot
                    .machine
                    .is_some_and(|machine| machine.zone != from.zone && !job.avoids(&machine.id))
        };
        let fetches = targets.iter().filter(may).map(|at| (*at, self.yard.fetch_s(*at, &need)));
        fetches.filter(|(_, s)| *s <= DOWN_FETCH_S).min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
