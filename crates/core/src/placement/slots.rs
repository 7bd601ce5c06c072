//! Free room as seen by one placement pass: one slot for every machine that is live, booting or to
//! be hired. Each job scans the slots once, whatever the number of its tasks, and a size that fits
//! nowhere is remembered for the rest of the pass. Every slot examined counts as a step.

use super::Need;
use crate::cloud::MachineKind;
use crate::constants::*;
use crate::workers::{Fleet, Machine, MachineState, Resources};
use oatloom_protocol::ids::{JobId, Mono, Zone};
use oatloom_protocol::wire::{Flavor, JobSpec};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Room on a machine that is live, booting, or only to be hired.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    pub machine: Option<&'a Machine>,
    availability: Availability,
    /// Being emptied: reused only before another machine would be hired.
    closing: bool,
    kind: usize,
    free: Resources,
    capacity: Resources,
    reserved: Option<&'a JobId>,
    fetch_gb_per_s: f64,
    /// Seconds until the machine's next report, whose answer can carry a start; 0 if a report is
    /// waiting for its answer.
    report_in_s: f64,
    /// Images being fetched to the machine, and their sizes in GB.
    fetching: Vec<(String, f64)>,
}

impl Slot<'_> {
    pub fn availability(&self) -> Availability {
        self.availability
    }

    /// Index of its kind in [`SlotPool::kinds`].
    pub fn kind(&self) -> usize {
        self.kind
    }

    /// Whether its machine is reserved for no job.
    pub fn is_unreserved(&self) -> bool {
        self.reserved.is_none()
    }

    pub fn has_room(&self, room: &Resources) -> bool {
        self.free.fits(room)
    }
}

/// Whether a task can start on the slot now or only once its machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    Live,
    Pending,
}

/// Which kinds of machine, by index in [`SlotPool::kinds`], a task may use.
pub(super) type KindMask = Vec<bool>;

#[derive(Debug, PartialEq)]
struct Candidate {
    score: f64,
    slot_index: usize,
}

impl Eq for Candidate {}

impl Ord for Candidate {
    /// Reversed for the max-heap: the lowest score is the greatest, ties go to the lowest index.
    fn cmp(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then(other.slot_index.cmp(&self.slot_index))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Candidate slots for the tasks of one job, best first, collected when first needed.
#[derive(Debug, Default)]
pub(super) struct Search {
    live_slots: Option<BinaryHeap<Candidate>>,
    pending_slots: Option<BinaryHeap<Candidate>>,
}

/// Records that `count` tasks of this size did not fit together on slots of these kinds. Slots only
/// fill up during a pass, so the result holds to its end.
#[derive(Debug)]
struct NoFit {
    availability: Availability,
    room: Resources,
    mask: KindMask,
    count: usize,
}

/// State of a slot before a task was placed on it, restored if the rest of a gang does not fit.
#[derive(Debug)]
struct UndoEntry {
    slot_index: usize,
    free: Resources,
    fetches: usize,
}

/// A state of the slots that [`SlotPool::roll_back`] can restore.
#[derive(Clone, Copy, Debug)]
pub(super) struct Savepoint {
    undo_log: usize,
    slots: usize,
    no_fits: usize,
}

#[derive(Debug)]
pub(super) struct SlotPool<'a> {
    pub kinds: Vec<(&'a Flavor, Zone, bool)>,
    pub slots: Vec<Slot<'a>>,
    live_slots: Vec<usize>,
    pending_slots: Vec<usize>,
    /// Number of slots of each kind.
    counts: Vec<u32>,
    /// Jobs for which a machine is reserved.
    reserved_jobs: BTreeSet<&'a JobId>,
    no_fits: Vec<NoFit>,
    undo_log: Vec<UndoEntry>,
    /// Slots examined so far: the cost of the pass.
    pub steps: u64,
}

/// Whether new tasks may be placed on the machine.
pub(super) fn accepts_tasks(fleet: &Fleet, machine: &Machine, now: Mono) -> bool {
    matches!(machine.state, MachineState::Live | MachineState::Closing)
        && !machine.lease_lapsed
        && now >= machine.paused_until
        && !fleet.zones.is_lost(&machine.zone)
}

impl<'a> SlotPool<'a> {
    pub fn new(
        fleet: &'a Fleet,
        pending_hires: &[(MachineKind, u32)],
        report_s: f64,
        now: Mono,
    ) -> Self {
        let mut slot_pool = Self {
            kinds: Vec::new(),
            slots: Vec::with_capacity(fleet.machines.len()),
            live_slots: Vec::new(),
            pending_slots: Vec::new(),
            counts: Vec::new(),
            reserved_jobs: BTreeSet::new(),
            no_fits: Vec::new(),
            undo_log: Vec::new(),
            steps: fleet.machines.len() as u64,
        };
        let flavors = || fleet.catalog.iter().flat_map(|c| &c.flavors);
        for flavor in flavors() {
            for zone in &flavor.zones {
                for spot in [true, false] {
                    slot_pool.kind_index(flavor, zone, spot);
                }
            }
        }
        for m in fleet.machines.values() {
            let live = accepts_tasks(fleet, m, now);
            // After an outage longer than a lease every machine is expected to report again within
            // seconds. Until then no task is placed on those that may have died in the outage, and
            // no replacement is hired.
            let expected_back =
                m.lease_lapsed && matches!(m.state, MachineState::Live | MachineState::Closing);
            // Machines that boot in a zone that is cut off cannot report, so they are not waited
            // for.
            if !live
                && (m.state != MachineState::Booting && !expected_back
                    || fleet.zones.is_lost(&m.zone))
            {
                continue;
            }
            let Some(flavor) = flavors().find(|f| f.label == m.flavor) else { continue };
            // A machine that takes too long to boot is not waited for; another one can be hired.
            if !live
                && !expected_back
                && now.since(m.created_at).as_secs() > flavor.boot_s * MAX_BOOT_FACTOR
            {
                continue;
            }
            let reserved = m.reserved_for(now);
            slot_pool.reserved_jobs.extend(reserved);
            let kind = slot_pool.kind_index(flavor, &m.zone, m.spot);
            let availability = if live { Availability::Live } else { Availability::Pending };
            let slot = Slot {
                machine: Some(m),
                availability,
                closing: m.state == MachineState::Closing,
                kind,
                free: fleet.free_resources(m),
                capacity: Resources::from(flavor),
                reserved,
                fetch_gb_per_s: flavor.fetch_gb_per_s,
                report_in_s: m.next_report_in_s(report_s, now),
                fetching: m.fetching(),
            };
            slot_pool.push(slot);
        }
        for (kind, number) in
            pending_hires.iter().filter(|(kind, _)| !fleet.zones.is_lost(&kind.zone))
        {
            let Some(flavor) = flavors().find(|f| f.label == kind.flavor) else { continue };
            let kind = slot_pool.kind_index(flavor, &kind.zone, kind.spot);
            for _ in 0..*number {
                slot_pool.add_pending(kind);
            }
        }
        slot_pool
    }

    fn kind_index(&mut self, flavor: &'a Flavor, zone: &Zone, spot: bool) -> usize {
        let same =
            |(f, z, s): &(&Flavor, Zone, bool)| *s == spot && std::ptr::eq(*f, flavor) && z == zone;
        self.kinds.iter().position(same).unwrap_or_else(|| {
            self.kinds.push((flavor, zone.clone(), spot));
            self.counts.push(0);
            self.kinds.len() - 1
        })
    }

    fn push(&mut self, slot: Slot<'a>) -> usize {
        let slot_index = self.slots.len();
        self.counts[slot.kind] += 1;
        let availability = slot.availability;
        self.slots.push(slot);
        match availability {
            Availability::Live => self.live_slots.push(slot_index),
            Availability::Pending => self.pending_slots.push(slot_index),
        }
        slot_index
    }

    /// Adds a slot for a machine that is to be hired or whose hire is not answered yet.
    pub fn add_pending(&mut self, kind: usize) -> usize {
        let flavor = self.kinds[kind].0;
        let slot = Slot {
            machine: None,
            availability: Availability::Pending,
            closing: false,
            kind,
            free: Resources::from(flavor),
            capacity: Resources::from(flavor),
            reserved: None,
            fetch_gb_per_s: flavor.fetch_gb_per_s,
            report_in_s: 0.0,
            fetching: Vec::new(),
        };
        self.push(slot)
    }

    /// Machines in a zone, including those to be hired.
    fn machines_in_zone(&self, zone: &Zone) -> u32 {
        let here = self.kinds.iter().zip(&self.counts).filter(|((_, z, _), _)| z == zone);
        here.map(|(_, count)| count).sum()
    }

    /// Whether any machine, full or not, is of a kind and size that the job's tasks may use. Machines
    /// that the job avoids don't count if its failed hosts are counted, which is only where failures
    /// are limited: applied to all jobs, this rule cost 0.05 of the score of a day without faults,
    /// with the same seed.
    pub fn any_usable(&self, need: &Need, mask: &KindMask) -> bool {
        let has_failed_hosts = need.job.failed_host_count > 0;
        let allowed =
            |slot: &Slot| !has_failed_hosts || slot.machine.is_none_or(|m| !need.job.avoids(&m.id));
        self.slots
            .iter()
            .any(|slot| mask[slot.kind] && slot.capacity.fits(&need.room) && allowed(slot))
    }

    pub fn zone(&self, slot_index: usize) -> &Zone {
        &self.kinds[self.slots[slot_index].kind].1
    }

    /// Whether a machine is reserved for the job.
    pub fn has_reserved(&self, id: &JobId) -> bool {
        self.reserved_jobs.contains(id)
    }

    /// Kinds of machine that a task of the job may use, given the zones of its other tasks.
    pub fn mask(
        &self,
        need: &Need,
        zones: &BTreeMap<Zone, u32>,
        only_zone: Option<&Zone>,
    ) -> KindMask {
        let open =
            |zone: &Zone| only_zone.is_none_or(|z| z == zone) && need.allows_zone(zone, zones);
        self.kinds
            .iter()
            .map(|(flavor, zone, spot)| need.allows(&flavor.label, zone, *spot) && open(zone))
            .collect()
    }

    /// Removes every live slot whose machine satisfies `excluded`.
    pub fn exclude_live(&mut self, excluded: impl Fn(&Machine) -> bool) {
        let slots = &self.slots;
        self.live_slots
            .retain(|slot_index| slots[*slot_index].machine.is_none_or(|m| !excluded(m)));
    }

    /// Whether the tasks are already known not to fit together.
    pub fn known_not_to_fit(
        &self,
        need: &Need,
        mask: &KindMask,
        availability: Availability,
        count: usize,
    ) -> bool {
        if self.has_reserved(&need.job.spec.id) {
            return false;
        }
        self.no_fits.iter().any(|known| {
            known.availability == availability
                && known.count <= count
                && need.room.fits(&known.room)
                && mask.iter().zip(&known.mask).all(|(mine, theirs)| !mine || *theirs)
        })
    }

    /// Records that this many tasks of the job did not fit together.
    pub fn record_no_fit(
        &mut self,
        need: &Need,
        mask: &KindMask,
        availability: Availability,
        count: usize,
    ) {
        // A job with machines to avoid, or with reserved ones, says nothing about other jobs.
        if need.job.error_hosts.is_empty()
            && need.job.anti_affinity().is_none()
            && !self.has_reserved(&need.job.spec.id)
            && !self.known_not_to_fit(need, mask, availability, count)
        {
            self.no_fits.push(NoFit { availability, room: need.room, mask: mask.clone(), count });
        }
    }

    /// The best slot for one more task of the job.
    pub fn best_slot(
        &mut self,
        search: &mut Search,
        need: &Need,
        mask: &KindMask,
        availability: Availability,
    ) -> Option<usize> {
        let collected = match availability {
            Availability::Live => search.live_slots.take(),
            Availability::Pending => search.pending_slots.take(),
        };
        let mut heap = match collected {
            Some(heap) => heap,
            None if self.known_not_to_fit(need, mask, availability, 1) => BinaryHeap::new(),
            None => self.collect_candidates(need, mask, availability),
        };
        let found = loop {
            let Some(candidate) = heap.pop() else { break None };
            let slot = &self.slots[candidate.slot_index];
            // A zone may have been closed to the job meanwhile; it does not open again during the
            // pass.
            if mask[slot.kind] && slot.free.fits(&need.room) {
                break Some(candidate.slot_index);
            }
        };
        if found.is_none() {
            self.record_no_fit(need, mask, availability, 1);
        }
        match availability {
            Availability::Live => search.live_slots = Some(heap),
            Availability::Pending => search.pending_slots = Some(heap),
        }
        found
    }

    fn collect_candidates(
        &mut self,
        need: &Need,
        mask: &KindMask,
        availability: Availability,
    ) -> BinaryHeap<Candidate> {
        let list = match availability {
            Availability::Live => &self.live_slots,
            Availability::Pending => &self.pending_slots,
        };
        self.steps += list.len() as u64;
        let id = &need.job.spec.id;
        let fits = |slot_index: &&usize| {
            let slot = &self.slots[**slot_index];
            mask[slot.kind]
                && slot.free.fits(&need.room)
                && slot.reserved.is_none_or(|job| job == id)
                && slot.machine.is_none_or(|m| !need.job.avoids(&m.id))
                && (need.job.anti_affinity() != Some(true)
                    || slot.machine.is_none_or(|m| !m.has_task_of(id)))
        };
        list.iter()
            .filter(fits)
            .map(|slot_index| Candidate {
                score: self.score(need, &self.slots[*slot_index]),
                slot_index: *slot_index,
            })
            .collect()
    }

    /// Places a task on a slot and makes the rest of the slot a candidate for the job's next task.
    pub fn occupy(&mut self, search: &mut Search, slot_index: usize, need: &Need) {
        let spec = &need.job.spec;
        let cached = self.cached(slot_index, &spec.image);
        let slot = &mut self.slots[slot_index];
        self.undo_log.push(UndoEntry { slot_index, free: slot.free, fetches: slot.fetching.len() });
        slot.free.subtract(&need.room);
        if !cached && slot.fetching.iter().all(|(name, _)| *name != spec.image) {
            slot.fetching.push((spec.image.clone(), spec.image_gb));
        }
        // A job whose tasks must be on different machines gets no second task here.
        if need.job.anti_affinity() != Some(true) && self.slots[slot_index].free.fits(&need.room) {
            self.steps += 1;
            self.add_candidate(search, slot_index, need);
        }
    }

    /// Adds a slot to the candidates for the job's next task.
    pub fn add_candidate(&self, search: &mut Search, slot_index: usize, need: &Need) {
        let same_job = if need.job.anti_affinity().is_some() { SAME_MACHINE_WEIGHT } else { 0.0 };
        let candidate =
            Candidate { score: self.score(need, &self.slots[slot_index]) + same_job, slot_index };
        let heap = match self.slots[slot_index].availability {
            Availability::Live => &mut search.live_slots,
            Availability::Pending => &mut search.pending_slots,
        };
        heap.get_or_insert_default().push(candidate);
    }

    pub fn savepoint(&self) -> Savepoint {
        Savepoint {
            undo_log: self.undo_log.len(),
            slots: self.slots.len(),
            no_fits: self.no_fits.len(),
        }
    }

    /// The live machines on which tasks were placed since the savepoint.
    pub fn live_machines_since(
        &self,
        savepoint: Savepoint,
    ) -> impl Iterator<Item = &'a Machine> + '_ {
        let slots =
            self.undo_log[savepoint.undo_log..].iter().map(|entry| &self.slots[entry.slot_index]);
        slots.filter(|slot| slot.availability == Availability::Live).filter_map(|slot| slot.machine)
    }

    /// Price per hour used to compare machines to hire. It rises with the number of machines in the
    /// zone, so that among equal prices the zone with fewer machines wins and the loss of a zone
    /// costs less.
    pub fn weighted_price(&self, flavor: &Flavor, zone: &Zone, spot: bool) -> f64 {
        flavor.hourly_price(spot)
            * (1.0 + f64::from(self.machines_in_zone(zone)) / ZONE_PRICE_DOUBLING_MACHINES)
    }

    /// Undoes all placements and all planned hires since the savepoint.
    pub fn roll_back(&mut self, savepoint: Savepoint) {
        for entry in self.undo_log.drain(savepoint.undo_log..).rev() {
            let slot = &mut self.slots[entry.slot_index];
            slot.free = entry.free;
            slot.fetching.truncate(entry.fetches);
        }
        for slot in self.slots.drain(savepoint.slots..) {
            self.counts[slot.kind] -= 1;
        }
        self.pending_slots.retain(|slot_index| *slot_index < savepoint.slots);
        self.no_fits.truncate(savepoint.no_fits);
    }

    pub fn cached(&self, slot_index: usize, image: &str) -> bool {
        self.slots[slot_index].machine.is_some_and(|m| m.has_image(image))
    }

    /// Seconds until the job's image is on the slot's machine, including images that are being
    /// fetched there.
    pub fn fetch_s(&self, slot_index: usize, need: &Need) -> f64 {
        self.fetch_s_to(need, &self.slots[slot_index])
    }

    fn fetch_s_to(&self, need: &Need, slot: &Slot) -> f64 {
        let spec: &JobSpec = &need.job.spec;
        let cached = slot.machine.is_some_and(|m| m.has_image(&spec.image));
        // Images fetched at the same time share the rate.
        let known = slot.fetching.iter().any(|(name, _)| *name == spec.image);
        let queued_gb: f64 = slot.fetching.iter().map(|(_, gb)| gb).sum();
        let gb = if known { queued_gb } else { queued_gb + spec.image_gb };
        if cached || slot.fetch_gb_per_s <= 0.0 { 0.0 } else { gb / slot.fetch_gb_per_s }
    }

    /// The score of a slot for a task of the job.
    pub fn score_of(&self, need: &Need, slot_index: usize) -> f64 {
        self.score(need, &self.slots[slot_index])
    }

    /// Lower is better: the time of an image fetch comes first, then the tightest fit.
    fn score(&self, need: &Need, slot: &Slot) -> f64 {
        let spec: &JobSpec = &need.job.spec;
        let fetch_s = self.fetch_s_to(need, slot);
        let mut left = slot.free;
        left.subtract(&need.room);
        let spare = left.share_of(&slot.capacity);
        let on_demand = if spec.spot && !self.kinds[slot.kind].2 { 0.5 } else { 0.0 };
        let reopened = if slot.closing { REOPEN_WEIGHT } else { 0.0 };
        // Only urgent jobs take the time to the next report into account: it would scatter the
        // tasks of others for no gain.
        let urgent = need.delay_weight_s < FETCH_WEIGHT_S;
        let report_s = if urgent { slot.report_in_s } else { 0.0 };
        let shared = need.job.anti_affinity().is_some()
            && slot.machine.is_some_and(|m| m.has_task_of(&need.job.spec.id));
        let same_job = if shared { SAME_MACHINE_WEIGHT } else { 0.0 };
        (fetch_s + report_s) / need.delay_weight_s + spare + on_demand + reopened + same_job
    }
}
