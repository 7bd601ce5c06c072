//! Slots for the tasks of one job, best first.

use super::*;

/// Picks slots for the tasks of one job, one after another.
pub(super) struct SlotPicker {
    search: Search,
    zones: BTreeMap<Zone, u32>,
    only_zone: Option<Zone>,
    spot: Option<bool>,
    mask: slots::KindMask,
}

impl SlotPicker {
    pub(super) fn new(
        pass: &Pass,
        need: &Need,
        zones: BTreeMap<Zone, u32>,
        only_zone: Option<&Zone>,
    ) -> Self {
        let mask = pass.slot_pool.mask(need, &zones, only_zone);
        Self { search: Search::default(), zones, only_zone: only_zone.cloned(), spot: None, mask }
    }

    /// Restricts the search to spot machines or to on-demand ones.
    pub(super) fn restrict_spot(&mut self, pass: &Pass, spot: Option<bool>) {
        self.spot = spot;
        let Some(wanted) = spot else { return };
        for (allowed, (_, _, spot)) in self.mask.iter_mut().zip(&pass.slot_pool.kinds) {
            *allowed &= *spot == wanted;
        }
    }

    /// The best live slot, without taking it.
    pub(super) fn peek_live(&mut self, pass: &mut Pass, need: &Need) -> Option<usize> {
        let slot_index =
            pass.slot_pool.best_slot(&mut self.search, need, &self.mask, Availability::Live)?;
        pass.slot_pool.add_candidate(&mut self.search, slot_index, need);
        Some(slot_index)
    }

    /// Takes the best live slot.
    pub(super) fn take_live(&mut self, pass: &mut Pass, need: &Need) -> Option<usize> {
        self.take_live_scored(pass, need).map(|(slot_index, _)| slot_index)
    }

    /// Takes the best live slot and returns its score as well.
    pub(super) fn take_live_scored(
        &mut self,
        pass: &mut Pass,
        need: &Need,
    ) -> Option<(usize, f64)> {
        let slot_index =
            pass.slot_pool.best_slot(&mut self.search, need, &self.mask, Availability::Live)?;
        let score = pass.slot_pool.score_of(need, slot_index);
        self.take(pass, need, slot_index);
        Some((slot_index, score))
    }

    /// Assigns a task to a machine that is booting, or plans to hire another one.
    pub(super) fn take_pending(&mut self, pass: &mut Pass, need: &Need, urgent: bool) -> bool {
        let slot_index = match pass.slot_pool.best_slot(
            &mut self.search,
            need,
            &self.mask,
            Availability::Pending,
        ) {
            Some(slot_index) => slot_index,
            None => {
                let Some(kind) = pass.cheapest_kind(need, &self.mask) else { return false };
                let (flavor, zone, spot) = &pass.slot_pool.kinds[kind];
                let (flavor, zone, spot) = (flavor.label.clone(), zone.clone(), *spot);
                pass.plan.hires.push((MachineKind { flavor, zone, spot }, urgent));
                pass.slot_pool.add_pending(kind)
            }
        };
        self.take(pass, need, slot_index);
        true
    }

    pub(super) fn take(&mut self, pass: &mut Pass, need: &Need, slot_index: usize) {
        pass.slot_pool.occupy(&mut self.search, slot_index, need);
        pass.count_usage(need.job, 1.0);
        *self.zones.entry(pass.slot_pool.zone(slot_index).clone()).or_default() += 1;
        if need.job.spec.spread || need.job.spec.one_zone {
            self.mask = pass.slot_pool.mask(need, &self.zones, self.only_zone.as_ref());
            self.restrict_spot(pass, self.spot);
        }
    }
}
