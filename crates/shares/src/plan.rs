//! Plans the owner of each share by load and zone, with as few moves as possible.

use crate::constants::*;
use crate::phase::MemberIndex;
use crate::record::ShareId;
use oatloom_protocol::ids::{Token, Zone};
use std::collections::BTreeMap;

/// The leader's assignment of shares to owners. A map with a higher leader token replaces one with
/// a lower token; among maps of one leader the higher sequence number counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareMap {
    pub leader_token: Token,
    pub sequence: u64,
    pub owners: BTreeMap<ShareId, MemberIndex>,
}

/// Version of a map: the leader's token and the sequence number.
pub type MapVersion = (Token, u64);

impl ShareMap {
    pub fn version(&self) -> MapVersion {
        (self.leader_token, self.sequence)
    }

    /// Whether this map replaces `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.version() > other.version()
    }
}

/// Load and location of a share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareLoad {
    /// Reports and tasks per second as one figure; a share counts as 1 at least.
    pub load: f64,
    /// Zone of most of its machines.
    pub zone: Option<Zone>,
}

/// A controller that can own shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub zone: Zone,
    /// Capacity relative to the other candidates; higher if its processor is less used.
    pub capacity: f64,
    /// Number of plans for which it has been present; see [`WARM_UP_PLANS`].
    pub plans_present: u32,
}

/// Returns the new owner of each share. Shares whose owner is not a candidate are distributed over
/// the candidates at once, since nobody answers their machines. Besides these, at most
/// [`MAX_CONCURRENT_MOVES`] shares move at a time (`moving` of them do already), and only from an
/// owner that is clearly above its target load.
pub fn plan_owners(
    current: &BTreeMap<ShareId, MemberIndex>,
    share_loads: &BTreeMap<ShareId, ShareLoad>,
    candidates: &BTreeMap<MemberIndex, Candidate>,
    moving: usize,
) -> BTreeMap<ShareId, MemberIndex> {
    let mut owners = current.clone();
    owners.retain(|_, member| candidates.contains_key(member));
    if candidates.is_empty() {
        return current.clone();
    }
    let total_capacity: f64 = candidates.values().map(|c| c.capacity).sum();
    let load_of =
        |share: &ShareId| share_loads.get(share).map_or(1.0, |share_load| share_load.load.max(1.0));
    let total_load: f64 = ShareId::all().map(|share| load_of(&share)).sum();
    let target_load =
        |member: &MemberIndex| total_load * candidates[member].capacity / total_capacity;
    let mut owner_loads: BTreeMap<MemberIndex, f64> =
        candidates.keys().map(|member| (*member, 0.0)).collect();
    for (share, member) in &owners {
        *owner_loads.entry(*member).or_default() += load_of(share);
    }
    // Relative load of an owner after taking the share; the lowest wins.
    let cost = |share: &ShareId, member: &MemberIndex, owner_loads: &BTreeMap<MemberIndex, f64>| {
        let in_home_zone = share_loads.get(share).and_then(|share_load| share_load.zone.as_ref())
            == Some(&candidates[member].zone);
        let zone_factor = if in_home_zone { 1.0 - HOME_ZONE_LOAD_DISCOUNT } else { 1.0 };
        (owner_loads[member] + load_of(share) * zone_factor)
            / target_load(member).max(f64::MIN_POSITIVE)
    };
    let best_owner = |share: &ShareId, owner_loads: &BTreeMap<MemberIndex, f64>| {
        let least_cost = |list: &mut dyn Iterator<Item = &MemberIndex>| {
            list.min_by(|a, b| cost(share, a, owner_loads).total_cmp(&cost(share, b, owner_loads)))
                .copied()
        };
        let is_warmed_up =
            |member: &&MemberIndex| candidates[*member].plans_present >= WARM_UP_PLANS;
        least_cost(&mut candidates.keys().filter(is_warmed_up))
            .or_else(|| least_cost(&mut candidates.keys()))
    };
    // Heaviest first, so that lighter shares even out the remainder.
    let mut unowned: Vec<ShareId> =
        ShareId::all().filter(|share| !owners.contains_key(share)).collect();
    unowned.sort_by(|a, b| load_of(b).total_cmp(&load_of(a)).then(a.cmp(b)));
    for share in unowned {
        if let Some(member) = best_owner(&share, &owner_loads) {
            *owner_loads.entry(member).or_default() += load_of(&share);
            owners.insert(share, member);
        }
    }
    let is_warming_up = |member: &MemberIndex| candidates[member].plans_present < WARM_UP_PLANS;
    for moving in moving..MAX_CONCURRENT_MOVES {
        let excess = |member: &MemberIndex| owner_loads[member] - target_load(member);
        let Some((from, to)) = most_and_least_loaded(&owner_loads, excess) else { break };
        if is_warming_up(&to) && moving > 0 {
            break;
        }
        let owned: Vec<ShareId> =
            owners.iter().filter(|(_, member)| **member == from).map(|(share, _)| *share).collect();
        // The share whose move balances the two owners best, if the gain is clear.
        let excess_after = |share: &ShareId| {
            let (a, b) = (excess(&from) - load_of(share), excess(&to) + load_of(share));
            a.abs().max(b.abs())
        };
        let excess_before = excess(&from).abs().max(excess(&to).abs());
        let mean_load = total_load / f64::from(SHARE_COUNT);
        let Some(share) =
            owned.into_iter().min_by(|a, b| excess_after(a).total_cmp(&excess_after(b)))
        else {
            break;
        };
        let difference = excess(&from) - excess(&to);
        let worthwhile = difference > (1.0 + REBALANCE_SLACK_SHARES) * mean_load
            && excess_after(&share) < excess_before - mean_load / 2.0;
        if !worthwhile {
            break;
        }
        *owner_loads.entry(from).or_default() -= load_of(&share);
        *owner_loads.entry(to).or_default() += load_of(&share);
        owners.insert(share, to);
    }
    owners
}

/// The owner furthest above its target load, and the one furthest below.
fn most_and_least_loaded(
    owner_loads: &BTreeMap<MemberIndex, f64>,
    excess: impl Fn(&MemberIndex) -> f64,
) -> Option<(MemberIndex, MemberIndex)> {
    let most_loaded = owner_loads.keys().max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
    let least_loaded = owner_loads.keys().min_by(|a, b| excess(a).total_cmp(&excess(b)))?;
    (most_loaded != least_loaded).then_some((*most_loaded, *least_loaded))
}

/// The controller that should claim an unowned share while there is no leader: the owner by the
/// last map if it is present, else the winner of rendezvous hashing. All controllers with the same
/// map and peers get the same result, so that they seldom write the same key, and the shares of a
/// dead owner are spread over the others.
pub fn fallback_owner(
    share: ShareId,
    map: &ShareMap,
    present: &[MemberIndex],
) -> Option<MemberIndex> {
    if let Some(member) = map.owners.get(&share).filter(|member| present.contains(member)) {
        return Some(*member);
    }
    let score = |member: &MemberIndex| {
        crc32fast::hash(&[share.0.to_be_bytes()[0], share.0.to_be_bytes()[1], member.0])
    };
    present.iter().copied().max_by_key(|member| (score(member), *member))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    fn candidates(count: u8, plans_present: u32) -> BTreeMap<MemberIndex, Candidate> {
        let candidate = |n: u8| Candidate {
            zone: Zone::new(["a", "b", "c"][usize::from(n) % 3]),
            capacity: 1.0,
            plans_present,
        };
        (0..count).map(|n| (MemberIndex(n), candidate(n))).collect()
    }

    fn count(owners: &BTreeMap<ShareId, MemberIndex>, member: MemberIndex) -> usize {
        owners.values().filter(|owner| **owner == member).count()
    }

    #[test]
    fn a_dead_owners_shares_go_to_all_survivors_at_once() {
        for members in [1, 2, 3, 5, 7] {
            let all = candidates(members, 9);
            let owners = plan_owners(&BTreeMap::new(), &BTreeMap::new(), &all, 0);
            assert_eq!(owners.len(), usize::from(SHARE_COUNT));
            let even = f64::from(SHARE_COUNT) / f64::from(members);
            for n in 0..members {
                assert!((count(&owners, MemberIndex(n)) as f64 - even).abs() <= 1.0, "{owners:?}");
            }
            let mut survivors = all.clone();
            survivors.remove(&MemberIndex(0));
            let after = plan_owners(&owners, &BTreeMap::new(), &survivors, MAX_CONCURRENT_MOVES);
            if survivors.is_empty() {
                assert_eq!(after, owners, "without candidates the last map stays");
                continue;
            }
            let even = f64::from(SHARE_COUNT) / f64::from(members - 1);
            for member in survivors.keys() {
                assert!((count(&after, *member) as f64 - even).abs() <= 1.0, "{after:?}");
            }
            let survivors_shares = owners.iter().filter(|(_, member)| **member != MemberIndex(0));
            assert!(
                survivors_shares.into_iter().all(|(share, member)| after[share] == *member),
                "shares of the survivors did not move"
            );
        }
    }

    #[test]
    fn a_returning_owner_gets_its_shares_gradually_and_no_share_moves_needlessly() {
        let two: BTreeMap<MemberIndex, Candidate> = candidates(2, 9);
        let mut owners = plan_owners(&BTreeMap::new(), &BTreeMap::new(), &two, 0);
        let three = candidates(3, 9);
        let mut plan_count = 0;
        loop {
            let next = plan_owners(&owners, &BTreeMap::new(), &three, 0);
            let moved = owners.iter().filter(|(share, member)| next[share] != **member).count();
            assert!(moved <= MAX_CONCURRENT_MOVES);
            if moved == 0 {
                break;
            }
            owners = next;
            plan_count += 1;
            assert!(plan_count < 40, "the plan never converges");
        }
        assert!(count(&owners, MemberIndex(2)) >= usize::from(SHARE_COUNT) / 3 - 1, "{owners:?}");
        assert!(plan_count >= 3);
        // A candidate that has just returned gets one share at a time, and no unowned ones.
        let mut warming_up = candidates(3, 9);
        warming_up.get_mut(&MemberIndex(2)).unwrap().plans_present = 0;
        let first = plan_owners(
            &plan_owners(&BTreeMap::new(), &BTreeMap::new(), &two, 0),
            &BTreeMap::new(),
            &warming_up,
            0,
        );
        assert_eq!(count(&first, MemberIndex(2)), 1);
        let fresh =
            plan_owners(&BTreeMap::new(), &BTreeMap::new(), &warming_up, MAX_CONCURRENT_MOVES);
        assert_eq!(count(&fresh, MemberIndex(2)), 0);
        // No further share moves while the maximum is reached.
        let settled = plan_owners(&BTreeMap::new(), &BTreeMap::new(), &two, 0);
        assert_eq!(plan_owners(&settled, &BTreeMap::new(), &three, MAX_CONCURRENT_MOVES), settled);
    }

    /// An owner in the share's own zone still reaches it when the zone is cut off from the others.
    #[test]
    fn shares_are_owned_in_their_home_zone_if_loads_stay_even() {
        let share_loads: BTreeMap<ShareId, ShareLoad> = ShareId::all()
            .map(|s| {
                (
                    s,
                    ShareLoad {
                        load: 60.0,
                        zone: Some(Zone::new(["a", "b", "c"][usize::from(s.0) % 3])),
                    },
                )
            })
            .collect();
        let all = candidates(3, 9);
        let owners = plan_owners(&BTreeMap::new(), &share_loads, &all, 0);
        let in_home_zone = |(share, member): &(&ShareId, &MemberIndex)| {
            share_loads[share].zone.as_ref() == Some(&all[member].zone)
        };
        assert!(owners.iter().filter(in_home_zone).count() >= 20, "{owners:?}");
    }

    /// For random loads and candidates: every share has a present owner, plans converge, and no
    /// owner exceeds its target load by more than the heaviest share and the slack.
    #[test]
    fn seeded_plans_converge_and_are_balanced() {
        for seed in 0..60 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut owners = BTreeMap::new();
            for _ in 0..6 {
                let mut present = candidates(rng.random_range(1..8), 9);
                for candidate in present.values_mut() {
                    candidate.capacity = rng.random_range(0.5..1.5);
                }
                let load = |rng: &mut ChaCha8Rng| ShareLoad {
                    load: rng.random_range(0.0..100.0),
                    zone: None,
                };
                let share_loads: BTreeMap<ShareId, ShareLoad> =
                    ShareId::all().map(|share| (share, load(&mut rng))).collect();
                let mut steps = 0;
                loop {
                    let next = plan_owners(&owners, &share_loads, &present, 0);
                    assert!(next.values().all(|member| present.contains_key(member)));
                    assert_eq!(next.len(), usize::from(SHARE_COUNT));
                    steps += 1;
                    if next == owners {
                        break;
                    }
                    owners = next;
                    assert!(steps < 60, "seed {seed}: the plan never converges");
                }
                let total_load: f64 =
                    share_loads.values().map(|share_load| share_load.load.max(1.0)).sum();
                let total_capacity: f64 = present.values().map(|c| c.capacity).sum();
                for (member, candidate) in &present {
                    let mine = owners.iter().filter(|(_, owner)| *owner == member);
                    let load: f64 = mine.map(|(share, _)| share_loads[share].load.max(1.0)).sum();
                    let target_load = total_load * candidate.capacity / total_capacity;
                    let slack = (1.0 + REBALANCE_SLACK_SHARES) * total_load
                        / f64::from(SHARE_COUNT)
                        + 100.0;
                    assert!(load <= target_load + slack, "seed {seed}: {load} of {target_load}");
                }
            }
        }
    }

    #[test]
    fn without_a_leader_all_controllers_compute_the_same_owner_and_a_dead_owners_shares_are_spread()
    {
        let owners: BTreeMap<ShareId, MemberIndex> =
            ShareId::all().map(|s| (s, MemberIndex((s.0 % 3) as u8))).collect();
        let map = ShareMap { leader_token: Token(7), sequence: 2, owners };
        let present = [MemberIndex(1), MemberIndex(2), MemberIndex(4)];
        let mut got: BTreeMap<MemberIndex, u32> = BTreeMap::new();
        for share in ShareId::all() {
            let member = fallback_owner(share, &map, &present).unwrap();
            if map.owners[&share] != MemberIndex(0) {
                assert_eq!(member, map.owners[&share], "the last map applies");
            } else {
                *got.entry(member).or_default() += 1;
            }
            let reversed = [MemberIndex(4), MemberIndex(2), MemberIndex(1)];
            assert_eq!(fallback_owner(share, &map, &reversed), Some(member));
        }
        assert!(got.len() >= 2, "{got:?}");
        assert_eq!(fallback_owner(ShareId(0), &map, &[]), None);
        let later = ShareMap { leader_token: Token(7), sequence: 3, ..ShareMap::default() };
        assert!(later.is_newer_than(&map) && !map.is_newer_than(&later));
        assert!(
            ShareMap { leader_token: Token(8), sequence: 0, ..ShareMap::default() }
                .is_newer_than(&later)
        );
    }
}
