//! Slots for the tasks of one job, best first.

use super::*;

/// Picks slots for the tasks of one job, one after another.
pub(super) struct Places {
    search: Search,
    zones: BTreeMap<Zone, u32>,
    only: Option<Zone>,
    spot: Option<bool>,
    mask: slots::Mask,
}

impl Places {
    pub(super) fn new(
        pass: &Pass,
        need: &Need,
        zones: BTreeMap<Zone, u32>,
        only: Option<&Zone>,
    ) -> Self {
        let mask = pass.yard.mask(need, &zones, only);
        Self { search: Search::default(), zones, only: only.cloned(), spot: None, mask }
    }

    /// Restricts the search to spot machines or to on-demand ones.
    pub(super) fn restrict(&mut self, pass: &Pass, spot: Option<bool>) {
        self.spot = spot;
        let Some(wanted) = spot else { return };
        for (open, (_, _, spot)) in self.mask.iter_mut().zip(&pass.yard.kinds) {
            *open &= *spot == wanted;
        }
    }

    /// The best live slot, without taking it.
    pub(super) fn look(&mut self, pass: &mut Pass, need: &Need) -> Option<usize> {
        let at = pass.yard.best(&mut self.search, need, &self.mask, When::Live)?;
        pass.yard.offer(&mut self.search, at, need);
        Some(at)
    }

    /// Takes the best live slot.
    pub(super) fn live(&mut self, pass: &mut Pass, need: &Need) -> Option<usize> {
        self.live_scored(pass, need).map(|(at, _)| at)
    }

    /// Takes the best live slot and returns its score as well.
    pub(super) fn live_scored(&mut self, pass: &mut Pass, need: &Need) -> Option<(usize, f64)> {
        let at = pass.yard.best(&mut self.search, need, &self.mask, When::Live)?;
        let score = pass.yard.score_of(need, at);
        self.take(pass, need, at);
        Some((at, score))
    }

    /// Assigns a task to a machine that is booting, or plans to hire another one.
    pub(super) fn later(&mut self, pass: &mut Pass, need: &Need, urgent: bool) -> bool {
        let at = match pass.yard.best(&mut self.search, need, &self.mask, When::Coming) {
            Some(at) => at,
            None => {
                let Some(kind) = pass.wish(need, &self.mask) else { return false };
                let (flavor, zone, spot) = &pass.yard.kinds[kind];
                let (flavor, zone, spot) = (flavor.label.clone(), zone.clone(), *spot);
                pass.plan.hires.push((Kind { flavor, zone, spot }, urgent));
                pass.yard.wish(kind)
            }
        };
        self.take(pass, need, at);
        true
    }

    pub(super) fn take(&mut self, pass: &mut Pass, need: &Need, at: usize) {
        pass.yard.take(&mut self.search, at, need);
        pass.count_usage(need.job, 1.0);
        *self.zones.entry(pass.yard.zone(at).clone()).or_default() += 1;
        if need.job.spec.spread || need.job.spec.one_zone {
            self.mask = pass.yard.mask(need, &self.zones, self.only.as_ref());
            self.restrict(pass, self.spot);
        }
    }
}
