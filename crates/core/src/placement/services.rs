//! Order of services while room is short. A service is useful only once all its replicas are up, so
//! services that have some replicas are completed before others get a part of theirs.

use super::{Need, Pass};
use crate::jobs::{Job, JobTable};
use oatloom_protocol::ids::{JobId, Mono};
use oatloom_protocol::wire::{Rank, Shape};
use std::collections::{BTreeMap, VecDeque};

/// Rank, and whether the job is within its team's guarantee: services compete for turns only within
/// the same group.
type TurnGroup = (Rank, bool);

/// The services of one group that have replicas to place.
#[derive(Debug, Default)]
struct WaitingServices {
    /// Services without any replica, in placement order.
    without_replicas: VecDeque<JobId>,
    /// Services with some of their replicas, the one that lacks fewest first.
    partly_placed: VecDeque<JobId>,
    /// Partly placed services that have had their turn in this pass.
    had_turn: Vec<JobId>,
    /// Whether the service now first in `without_replicas` is known not to fit as a whole. Kept until
    /// that service has its turn, since room only shrinks during a pass.
    first_does_not_fit: bool,
}

/// The services of a pass that wait for room, by group.
#[derive(Debug)]
pub(super) struct ServiceTurns {
    waiting: BTreeMap<TurnGroup, WaitingServices>,
}

impl ServiceTurns {
    /// `order` holds all jobs of the pass in placement order.
    pub fn new(
        order: &[(JobId, Mono)],
        job_table: &JobTable,
        guaranteed: &BTreeMap<JobId, ()>,
        now: Mono,
    ) -> Self {
        let mut waiting: BTreeMap<TurnGroup, WaitingServices> = BTreeMap::new();
        let mut partly_placed: BTreeMap<TurnGroup, Vec<(u32, JobId)>> = BTreeMap::new();
        for (id, _) in order {
            let Some(job) = job_table.get(id).filter(|job| job.spec.shape == Shape::Service) else {
                continue;
            };
            let group = (job.rank(), guaranteed.contains_key(id));
            let services = waiting.entry(group).or_default();
            if job.assigned == 0 {
                services.without_replicas.push_back(id.clone());
            } else {
                partly_placed.entry(group).or_default().push((job.startable(now), id.clone()));
            }
        }
        for (group, mut services) in partly_placed {
            services.sort_by_key(|(lacking, _)| *lacking);
            let ids = services.into_iter().map(|(_, id)| id);
            waiting.entry(group).or_default().partly_placed = ids.collect();
        }
        Self { waiting }
    }

    /// The service that takes the turn of the service `id`: the next one without replicas if all of
    /// it fits, else one that is partly placed. Otherwise room that becomes free piece by piece
    /// always goes to the newest service, the only one that could still be in time, until partly
    /// placed services hold all room and none is up.
    pub fn next(
        &mut self,
        id: &JobId,
        pass: &mut Pass,
        job_table: &JobTable,
        guaranteed: bool,
    ) -> Option<JobId> {
        let rank = job_table.get(id)?.rank();
        let services = self.waiting.get_mut(&(rank, guaranteed))?;
        let first = services.without_replicas.front().and_then(|first| job_table.get(first));
        let Some(first) = first else { return services.next_partly_placed() };
        if !services.first_does_not_fit && services.has_partly_placed() {
            services.first_does_not_fit = !pass.fits_whole(first);
        }
        if services.first_does_not_fit {
            if !services.partly_placed.is_empty() {
                return services.next_partly_placed();
            }
            // Room to which a replica of another service is being moved is not given to parts of
            // further services.
            if services.had_turn.iter().any(|id| pass.has_reserved_room(id))
                && !pass.can_hire(first)
            {
                return None;
            }
        }
        services.first_does_not_fit = false;
        services.without_replicas.pop_front()
    }
}

impl WaitingServices {
    fn has_partly_placed(&self) -> bool {
        !(self.partly_placed.is_empty() && self.had_turn.is_empty())
    }

    fn next_partly_placed(&mut self) -> Option<JobId> {
        let id = self.partly_placed.pop_front()?;
        self.had_turn.push(id.clone());
        Some(id)
    }
}

impl Pass<'_> {
    /// Whether all replicas of a service fit on live machines together.
    fn fits_whole(&mut self, job: &Job) -> bool {
        let replicas = job.pending();
        if self.tasks_within_limit(job) < replicas {
            return false;
        }
        let need = Need::new(self.settings, job);
        let savepoint = self.savepoint(job);
        let fits = self.live_gang_slots(&need, replicas as usize, None).is_some();
        if fits {
            self.roll_back(job, savepoint);
        }
        fits
    }

    /// Whether a machine is reserved for the job, or will be by this pass.
    fn has_reserved_room(&self, id: &JobId) -> bool {
        self.slot_pool.has_reserved(id) || self.plan.reservations.iter().any(|(_, job)| job == id)
    }

    /// Whether any kind of machine could be hired for the job.
    fn can_hire(&self, job: &Job) -> bool {
        let need = Need::new(self.settings, job);
        self.cheapest_kind(&need, &self.slot_pool.mask(&need, &job.zones, None)).is_some()
    }
}
