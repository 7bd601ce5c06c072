//! Free room as seen by one placement pass: one slot for every machine that is live, booting or to
//! be hired. Each job scans the slots once, whatever the number of its tasks, and a size that fits
//! nowhere is remembered for the rest of the pass. Every slot examined counts as a step.

use super::Need;
use crate::cloud::Kind;
use crate::constants::*;
use crate::workers::{Fleet, Life, Machine, Room};
use oatloom_protocol::ids::{JobId, Mono, Zone};
use oatloom_protocol::wire::{Flavor, JobSpec};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Room on a machine that is live, booting, or only to be hired.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    pub machine: Option<&'a Machine>,
    when: When,
    /// Being emptied: reused only before another machine would be hired.
    closing: bool,
    kind: usize,
    free: Room,
    whole: Room,
    reserved: Option<&'a JobId>,
    fetch: f64,
    /// Seconds until the machine's next report, whose answer can carry a start; 0 if a report is
    /// waiting for its answer.
    report_in_s: f64,
    /// Images being fetched to the machine, and their sizes in GB.
    fetching: Vec<(String, f64)>,
}

impl Slot<'_> {
    pub fn when(&self) -> When {
        self.when
    }

    /// Index of its kind in [`Yard::kinds`].
    pub fn kind(&self) -> usize {
        self.kind
    }

    /// Whether its machine is reserved for no job.
    pub fn is_unreserved(&self) -> bool {
        self.reserved.is_none()
    }

    pub fn has_room(&self, room: &Room) -> bool {
        self.free.fits(room)
    }
}

/// Whether a task can start on the slot now or only once its machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum When {
    Live,
    Coming,
}

/// Which kinds of machine, by index in [`Yard::kinds`], a task may use.
pub(super) type Mask = Vec<bool>;

#[derive(Debug, PartialEq)]
struct Candidate {
    score: f64,
    at: usize,
}

impl Eq for Candidate {}

impl Ord for Candidate {
    /// Reversed for the max-heap: the lowest score is the greatest, ties go to the lowest index.
    fn cmp(&self, other: &Self) -> Ordering {
        other.score.total_cmp(&self.score).then(other.at.cmp(&self.at))
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
    live: Option<BinaryHeap<Candidate>>,
    coming: Option<BinaryHeap<Candidate>>,
}

/// Records that `count` tasks of this size did not fit together on slots of these kinds. Slots only
/// fill up during a pass, so the result holds to its end.
#[derive(Debug)]
struct NoRoom {
    when: When,
    room: Room,
    mask: Mask,
    count: usize,
}

/// State of a slot before a task was placed on it, restored if the rest of a gang does not fit.
#[derive(Debug)]
struct Taken {
    at: usize,
    free: Room,
    fetches: usize,
}

/// A state of the slots that [`Yard::roll_back`] can restore.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mark {
    taken: usize,
    slots: usize,
    none: usize,
}

#[derive(Debug)]
pub(super) struct Yard<'a> {
    pub kinds: Vec<(&'a Flavor, Zone, bool)>,
    pub slots: Vec<Slot<'a>>,
    live: Vec<usize>,
    coming: Vec<usize>,
    /// Number of slots of each kind.
    counts: Vec<u32>,
    /// Jobs for which a machine is reserved.
    kept_for: BTreeSet<&'a JobId>,
    none: Vec<NoRoom>,
    taken: Vec<Taken>,
    /// Slots examined so far: the cost of the pass.
    pub steps: u64,
}

/// Whether new tasks may be placed on the machine.
pub(super) fn usable(fleet: &Fleet, m: &Machine, now: Mono) -> bool {
    matches!(m.life, Life::Live | Life::Closing)
        && !m.lapsed
        && now >= m.paused_until
        && !fleet.zones.lost(&m.zone)
}

impl<'a> Yard<'a> {
    pub fn new(fleet: &'a Fleet, awaited: &[(Kind, u32)], report_s: f64, now: Mono) -> Self {
        let mut yard = Self {
            kinds: Vec::new(),
            slots: Vec::with_capacity(fleet.machines.len()),
            live: Vec::new(),
            coming: Vec::new(),
            counts: Vec::new(),
            kept_for: BTreeSet::new(),
            none: Vec::new(),
            taken: Vec::new(),
            steps: fleet.machines.len() as u64,
        };
        let flavors = || fleet.catalog.iter().flat_map(|c| &c.flavors);
        for flavor in flavors() {
            for zone in &flavor.zones {
                for spot in [true, false] {
                    yard.kind(flavor, zone, spot);
                }
            }
        }
        for m in fleet.machines.values() {
            let live = usable(fleet, m, now);
            // After an outage longer than a lease every machine is expected to report again within
            // seconds. Until then no task is placed on those that may have died in the outage, and
            // no replacement is hired.
            let back = m.lapsed && matches!(m.life, Life::Live | Life::Closing);
            // Machines that boot in a zone that is cut off cannot report, so they are not waited
            // for.
            if !live && (m.life != Life::Booting && !back || fleet.zones.lost(&m.zone)) {
                continue;
            }
            let Some(flavor) = flavors().find(|f| f.label == m.flavor) else { continue };
            // A machine that takes too long to boot is not waited for; another one can be hired.
            if !live && !back && now.since(m.born).secs() > flavor.boot_s * BOOT_SPREAD {
                continue;
            }
            let reserved = m.kept_for(now);
            yard.kept_for.extend(reserved);
            let kind = yard.kind(flavor, &m.zone, m.spot);
            let when = if live { When::Live } else { When::Coming };
            let slot = Slot {
                machine: Some(m),
                when,
                closing: m.life == Life::Closing,
                kind,
                free: fleet.free_room(m),
                whole: Room::from(flavor),
                reserved,
                fetch: flavor.fetch_gb_per_s,
                report_in_s: m.report_in(report_s, now),
                fetching: m.fetching(),
            };
            yard.push(slot);
        }
        for (kind, number) in awaited.iter().filter(|(kind, _)| !fleet.zones.lost(&kind.zone)) {
            let Some(flavor) = flavors().find(|f| f.label == kind.flavor) else { continue };
            let kind = yard.kind(flavor, &kind.zone, kind.spot);
            for _ in 0..*number {
                yard.wish(kind);
            }
        }
        yard
    }

    fn kind(&mut self, flavor: &'a Flavor, zone: &Zone, spot: bool) -> usize {
        let same =
            |(f, z, s): &(&Flavor, Zone, bool)| *s == spot && std::ptr::eq(*f, flavor) && z == zone;
        self.kinds.iter().position(same).unwrap_or_else(|| {
            self.kinds.push((flavor, zone.clone(), spot));
            self.counts.push(0);
            self.kinds.len() - 1
        })
    }

    fn push(&mut self, slot: Slot<'a>) -> usize {
        let at = self.slots.len();
        self.counts[slot.kind] += 1;
        let when = slot.when;
        self.slots.push(slot);
        match when {
            When::Live => self.live.push(at),
            When::Coming => self.coming.push(at),
        }
        at
    }

    /// Adds a slot for a machine that is to be hired or whose hire is not answered yet.
    pub fn wish(&mut self, kind: usize) -> usize {
        let flavor = self.kinds[kind].0;
        let slot = Slot {
            machine: None,
            when: When::Coming,
            closing: false,
            kind,
            free: Room::from(flavor),
            whole: Room::from(flavor),
            reserved: None,
            fetch: flavor.fetch_gb_per_s,
            report_in_s: 0.0,
            fetching: Vec::new(),
        };
        self.push(slot)
    }

    /// Machines in a zone, including those to be hired.
    fn in_zone(&self, zone: &Zone) -> u32 {
        let here = self.kinds.iter().zip(&self.counts).filter(|((_, z, _), _)| z == zone);
        here.map(|(_, count)| count).sum()
    }

    /// Whether any machine, full or not, is of a kind and size that the job's tasks may use.
    /// Machines that the job avoids count as unusable only if some of its failures count towards
    /// its limit: applied to all jobs, the rule lowered the score of one simulated steady day by
    /// 0.05 with the same seed.
    pub fn any_usable(&self, need: &Need, mask: &Mask) -> bool {
        let burnt = need.job.burnt > 0;
        let may = |s: &Slot| !burnt || s.machine.is_none_or(|m| !need.job.avoids(&m.id));
        self.slots.iter().any(|s| mask[s.kind] && s.whole.fits(&need.room) && may(s))
    }

    pub fn zone(&self, at: usize) -> &Zone {
        &self.kinds[self.slots[at].kind].1
    }

    /// Whether a machine is reserved for the job.
    pub fn kept_for(&self, id: &JobId) -> bool {
        self.kept_for.contains(id)
    }

    /// Kinds of machine that a task of the job may use, given the zones of its other tasks.
    pub fn mask(&self, need: &Need, zones: &BTreeMap<Zone, u32>, only: Option<&Zone>) -> Mask {
        let open = |zone: &Zone| only.is_none_or(|z| z == zone) && need.zone_open(zone, zones);
        self.kinds
            .iter()
            .map(|(flavor, zone, spot)| need.allows(&flavor.label, zone, *spot) && open(zone))
            .collect()
    }

    /// Removes every live slot whose machine satisfies `out`.
    pub fn leave_out(&mut self, out: impl Fn(&Machine) -> bool) {
        let slots = &self.slots;
        self.live.retain(|at| slots[*at].machine.is_none_or(|m| !out(m)));
    }

    /// Whether the tasks are already known not to fit together.
    pub fn hopeless(&self, need: &Need, mask: &Mask, when: When, count: usize) -> bool {
        if self.kept_for(&need.job.spec.id) {
            return false;
        }
        self.none.iter().any(|known| {
            known.when == when
                && known.count <= count
                && need.room.fits(&known.room)
                && mask.iter().zip(&known.mask).all(|(mine, theirs)| !mine || *theirs)
        })
    }

    /// Records that this many tasks of the job did not fit together.
    pub fn note_none(&mut self, need: &Need, mask: &Mask, when: When, count: usize) {
        // A job with machines to avoid, or with reserved ones, says nothing about other jobs.
        if need.job.error_hosts.is_empty()
            && need.job.apart().is_none()
            && !self.kept_for(&need.job.spec.id)
            && !self.hopeless(need, mask, when, count)
        {
            self.none.push(NoRoom { when, room: need.room, mask: mask.clone(), count });
        }
    }

    /// The best slot for one more task of the job.
    pub fn best(
        &mut self,
        search: &mut Search,
        need: &Need,
        mask: &Mask,
        when: When,
    ) -> Option<usize> {
        let known = match when {
            When::Live => search.live.take(),
            When::Coming => search.coming.take(),
        };
        let mut heap = match known {
            Some(heap) => heap,
            None if self.hopeless(need, mask, when, 1) => BinaryHeap::new(),
            None => self.look(need, mask, when),
        };
        let found = loop {
            let Some(candidate) = heap.pop() else { break None };
            let slot = &self.slots[candidate.at];
            // A zone may have been closed to the job meanwhile; it does not open again during the
            // pass.
            if mask[slot.kind] && slot.free.fits(&need.room) {
                break Some(candidate.at);
            }
        };
        if found.is_none() {
            self.note_none(need, mask, when, 1);
        }
        match when {
            When::Live => search.live = Some(heap),
            When::Coming => search.coming = Some(heap),
        }
        found
    }

    fn look(&mut self, need: &Need, mask: &Mask, when: When) -> BinaryHeap<Candidate> {
        let list = match when {
            When::Live => &self.live,
            When::Coming => &self.coming,
        };
        self.steps += list.len() as u64;
        let id = &need.job.spec.id;
        let fits = |at: &&usize| {
            let slot = &self.slots[**at];
            mask[slot.kind]
                && slot.free.fits(&need.room)
                && slot.reserved.is_none_or(|job| job == id)
                && slot.machine.is_none_or(|m| !need.job.avoids(&m.id))
                && (need.job.apart() != Some(true) || slot.machine.is_none_or(|m| !m.holds_of(id)))
        };
        list.iter()
            .filter(fits)
            .map(|at| Candidate { score: self.score(need, &self.slots[*at]), at: *at })
            .collect()
    }

    /// Places a task on a slot and offers the rest of the slot to the job's next task.
    pub fn take(&mut self, search: &mut Search, at: usize, need: &Need) {
        let spec = &need.job.spec;
        let cached = self.cached(at, &spec.image);
        let slot = &mut self.slots[at];
        self.taken.push(Taken { at, free: slot.free, fetches: slot.fetching.len() });
        slot.free.take(&need.room);
        if !cached && slot.fetching.iter().all(|(name, _)| *name != spec.image) {
            slot.fetching.push((spec.image.clone(), spec.image_gb));
        }
        // A job whose tasks must be on different machines gets no second task here.
        if need.job.apart() != Some(true) && self.slots[at].free.fits(&need.room) {
            self.steps += 1;
            self.offer(search, at, need);
        }
    }

    /// Adds a slot to the candidates for the job's next task.
    pub fn offer(&self, search: &mut Search, at: usize, need: &Need) {
        let again = if need.job.apart().is_some() { APART_WEIGHT } else { 0.0 };
        let candidate = Candidate { score: self.score(need, &self.slots[at]) + again, at };
        let heap = match self.slots[at].when {
            When::Live => &mut search.live,
            When::Coming => &mut search.coming,
        };
        heap.get_or_insert_default().push(candidate);
    }

    pub fn mark(&self) -> Mark {
        Mark { taken: self.taken.len(), slots: self.slots.len(), none: self.none.len() }
    }

    /// The live machines on which tasks were placed since the mark.
    pub fn live_since(&self, mark: Mark) -> impl Iterator<Item = &'a Machine> + '_ {
        let slots = self.taken[mark.taken..].iter().map(|taken| &self.slots[taken.at]);
        slots.filter(|slot| slot.when == When::Live).filter_map(|slot| slot.machine)
    }

    /// Price per hour used to compare machines to hire. It rises with the number of machines in the
    /// zone, so that among equal prices the zone with fewer machines wins and the loss of a zone
    /// costs less.
    pub fn priced(&self, flavor: &Flavor, zone: &Zone, spot: bool) -> f64 {
        flavor.price_as(spot) * (1.0 + f64::from(self.in_zone(zone)) / ZONE_EVENNESS)
    }

    /// Undoes all placements and all planned hires since the mark.
    pub fn roll_back(&mut self, mark: Mark) {
        for taken in self.taken.drain(mark.taken..).rev() {
            let slot = &mut self.slots[taken.at];
            slot.free = taken.free;
            slot.fetching.truncate(taken.fetches);
        }
        for slot in self.slots.drain(mark.slots..) {
            self.counts[slot.kind] -= 1;
        }
        self.coming.retain(|at| *at < mark.slots);
        self.none.truncate(mark.none);
    }

    pub fn cached(&self, at: usize, image: &str) -> bool {
        self.slots[at].machine.is_some_and(|m| m.has_image(image))
    }

    /// Seconds until the job's image is on the slot's machine, including images that are being
    /// fetched there.
    pub fn fetch_s(&self, at: usize, need: &Need) -> f64 {
        self.fetch_to(need, &self.slots[at])
    }

    fn fetch_to(&self, need: &Need, slot: &Slot) -> f64 {
        let spec: &JobSpec = &need.job.spec;
        let cached = slot.machine.is_some_and(|m| m.has_image(&spec.image));
        // Images fetched at the same time share the rate.
        let known = slot.fetching.iter().any(|(name, _)| *name == spec.image);
        let ahead: f64 = slot.fetching.iter().map(|(_, gb)| gb).sum();
        let gb = if known { ahead } else { ahead + spec.image_gb };
        if cached || slot.fetch <= 0.0 { 0.0 } else { gb / slot.fetch }
    }

    /// The score of a slot for a task of the job.
    pub fn score_of(&self, need: &Need, at: usize) -> f64 {
        self.score(need, &self.slots[at])
    }

    /// Lower is better: the time of an image fetch comes first, then the tightest fit.
    fn score(&self, need: &Need, slot: &Slot) -> f64 {
        let spec: &JobSpec = &need.job.spec;
        let fetch_s = self.fetch_to(need, slot);
        let mut left = slot.free;
        left.take(&need.room);
        let spare = left.share_of(&slot.whole);
        let dear = if spec.spot && !self.kinds[slot.kind].2 { 0.5 } else { 0.0 };
        let reopened = if slot.closing { REOPEN_WEIGHT } else { 0.0 };
        // Only urgent jobs take the time to the next report into account: it would scatter the
        // tasks of others for no gain.
        let eager = need.late_weight_s < FETCH_WEIGHT_S;
        let report_s = if eager { slot.report_in_s } else { 0.0 };
        let shared = need.job.apart().is_some()
            && slot.machine.is_some_and(|m| m.holds_of(&need.job.spec.id));
        let together = if shared { APART_WEIGHT } else { 0.0 };
        (fetch_s + report_s) / need.late_weight_s + spare + dear + reopened + together
    }
}
