//! Order of services while room is short. A service is useful only once all its replicas are up, so
//! services that have some replicas are completed before others get a part of theirs.

use super::{Need, Pass};
use crate::jobs::{Book, Job};
use oatloom_protocol::ids::{JobId, Mono};
use oatloom_protocol::wire::{Rank, Shape};
use std::collections::{BTreeMap, VecDeque};

/// Rank, and whether the job is within its team's guarantee: services compete for turns only within
/// the same group.
type Standing = (Rank, bool);

/// The services of one group that have replicas to place.
#[derive(Debug, Default)]
struct Waiting {
    /// Services without any replica, in placement order.
    unbegun: VecDeque<JobId>,
    /// Services with some of their replicas, the one that lacks fewest first.
    begun: VecDeque<JobId>,
    /// Partly placed services that have had their turn in this pass.
    had_turn: Vec<JobId>,
    /// Whether the first service without replicas is known not to fit as a whole. It holds to the
    /// end of the pass, since room only shrinks.
    first_is_short: bool,
}

/// The services of a pass that wait for room, by group.
#[derive(Debug)]
pub(super) struct ServiceTurns {
    waiting: BTreeMap<Standing, Waiting>,
}

impl ServiceTurns {
    /// `order` holds all jobs of the pass in placement order.
    pub fn new(
        order: &[(JobId, Mono)],
        book: &Book,
        guaranteed: &BTreeMap<JobId, ()>,
        now: Mono,
    ) -> Self {
        let mut waiting: BTreeMap<Standing, Waiting> = BTreeMap::new();
        let mut begun: BTreeMap<Standing, Vec<(u32, JobId)>> = BTreeMap::new();
        for (id, _) in order {
            let Some(job) = book.get(id).filter(|job| job.spec.shape == Shape::Service) else {
                continue;
            };
            let standing = (job.rank(), guaranteed.contains_key(id));
            let services = waiting.entry(standing).or_default();
            if job.held == 0 {
                services.unbegun.push_back(id.clone());
            } else {
                begun.entry(standing).or_default().push((job.startable(now), id.clone()));
            }
        }
        for (standing, mut services) in begun {
            services.sort_by_key(|(lacking, _)| *lacking);
            let ids = services.into_iter().map(|(_, id)| id);
            waiting.entry(standing).or_default().begun = ids.collect();
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
        book: &Book,
        guaranteed: bool,
    ) -> Option<JobId> {
        let rank = book.get(id)?.rank();
        let services = self.waiting.get_mut(&(rank, guaranteed))?;
        let first = services.unbegun.front().and_then(|first| book.get(first));
        let Some(first) = first else { return services.next_begun() };
        if !services.first_is_short && services.has_begun() {
            services.first_is_short = !pass.fits_whole(first);
        }
        if services.first_is_short {
            if !services.begun.is_empty() {
                return services.next_begun();
            }
            // Room to which a replica of another service is being moved is not given to parts of
            // further services.
            if services.had_turn.iter().any(|id| pass.room_is_made_for(id)) && !pass.may_hire(first)
            {
                return None;
            }
        }
        services.first_is_short = false;
        services.unbegun.pop_front()
    }
}

impl Waiting {
    fn has_begun(&self) -> bool {
        !(self.begun.is_empty() && self.had_turn.is_empty())
    }

    fn next_begun(&mut self) -> Option<JobId> {
        let id = self.begun.pop_front()?;
        self.had_turn.push(id.clone());
        Some(id)
    }
}

impl Pass<'_> {
    /// Whether all replicas of a service fit on live machines together.
    fn fits_whole(&mut self, job: &Job) -> bool {
        let replicas = job.pending();
        if self.within_limit(job) < replicas {
            return false;
        }
        let need = Need::new(self.settings, job);
        let mark = self.mark(job);
        let fits = self.gang_places(&need, replicas as usize, None).is_some();
        if fits {
            self.roll_back(job, mark);
        }
        fits
    }

    /// Whether a machine is reserved for the job, or will be by this pass.
    fn room_is_made_for(&self, id: &JobId) -> bool {
        self.yard.kept_for(id) || self.plan.reserve.iter().any(|(_, job)| job == id)
    }

    /// Whether any kind of machine could be hired for the job.
    fn may_hire(&self, job: &Job) -> bool {
        let need = Need::new(self.settings, job);
        self.wish(&need, &self.yard.mask(&need, &job.zones, None)).is_some()
    }
}
