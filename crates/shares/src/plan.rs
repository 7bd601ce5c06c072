//! Where each share should be: by load and zone, with as few moves as that takes.

use crate::constants::*;
use crate::holding::Seat;
use crate::record::ShareId;
use oatloom_protocol::ids::{Token, Zone};
use std::collections::BTreeMap;

/// The leader's word on where shares should be. Of two maps the one with the higher leader's token, and of the same
/// leader the later one, counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map {
    pub leader: Token,
    pub number: u64,
    pub owners: BTreeMap<ShareId, Seat>,
}

/// Which map something goes by: the leader's token and its count.
pub type Stamp = (Token, u64);

impl Map {
    pub fn stamp(&self) -> Stamp {
        (self.leader, self.number)
    }

    /// Whether this one goes before another.
    pub fn newer(&self, other: &Self) -> bool {
        self.stamp() > other.stamp()
    }
}

/// What a share weighs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weight {
    /// Reports and tasks a second, in one measure; an empty share weighs 1 all the same.
    pub load: f64,
    /// Where most of its machines are.
    pub zone: Option<Zone>,
}

/// A controller that can own shares.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub zone: Zone,
    /// How much it can take beside the others; more for one whose processor is less used.
    pub strength: f64,
    /// Plans for which it has been there; one that came back takes up shares one at a time.
    pub plans: u32,
}

/// The owners that each share should have from now on. Shares whose owner is no candidate are spread over the others at
/// once, since nobody answers their machines; beyond that no more than [`MOVES_MOST`] shares are on their way at a time
/// (`moving`: those that are already), and only where an owner has clearly more than its part.
pub fn plan(
    now: &BTreeMap<ShareId, Seat>,
    weights: &BTreeMap<ShareId, Weight>,
    candidates: &BTreeMap<Seat, Candidate>,
    moving: usize,
) -> BTreeMap<ShareId, Seat> {
    let mut owners = now.clone();
    owners.retain(|_, seat| candidates.contains_key(seat));
    if candidates.is_empty() {
        return now.clone();
    }
    let strength: f64 = candidates.values().map(|c| c.strength).sum();
    let of = |share: &ShareId| weights.get(share).map_or(1.0, |w| w.load.max(1.0));
    let all: f64 = ShareId::all().map(|share| of(&share)).sum();
    let part = |seat: &Seat| all * candidates[seat].strength / strength;
    let mut loads: BTreeMap<Seat, f64> = candidates.keys().map(|seat| (*seat, 0.0)).collect();
    for (share, seat) in &owners {
        *loads.entry(*seat).or_default() += of(share);
    }
    // What a share adds to an owner, beside its part: the least wins.
    let cost = |share: &ShareId, seat: &Seat, loads: &BTreeMap<Seat, f64>| {
        let home = weights.get(share).and_then(|w| w.zone.as_ref()) == Some(&candidates[seat].zone);
        let near = if home { 1.0 - HOME_ZONE } else { 1.0 };
        (loads[seat] + of(share) * near) / part(seat).max(f64::MIN_POSITIVE)
    };
    let least = |share: &ShareId, loads: &BTreeMap<Seat, f64>| {
        let best = |list: &mut dyn Iterator<Item = &Seat>| {
            list.min_by(|a, b| cost(share, a, loads).total_cmp(&cost(share, b, loads))).copied()
        };
        let warm = |seat: &&Seat| candidates[*seat].plans >= WARMING_PLANS;
        best(&mut candidates.keys().filter(warm)).or_else(|| best(&mut candidates.keys()))
    };
    // Heavy ones first: the light ones even out what they leave.
    let mut orphans: Vec<ShareId> =
        ShareId::all().filter(|share| !owners.contains_key(share)).collect();
    orphans.sort_by(|a, b| of(b).total_cmp(&of(a)).then(a.cmp(b)));
    for share in orphans {
        if let Some(seat) = least(&share, &loads) {
            *loads.entry(seat).or_default() += of(&share);
            owners.insert(share, seat);
        }
    }
    let cold = |seat: &Seat| candidates[seat].plans < WARMING_PLANS;
    for moving in moving..MOVES_MOST {
        let over = |seat: &Seat| loads[seat] - part(seat);
        let Some((from, to)) = widest(&loads, over) else { break };
        if cold(&to) && moving > 0 {
            break;
        }
        let held: Vec<ShareId> =
            owners.iter().filter(|(_, seat)| **seat == from).map(|(share, _)| *share).collect();
        // The share whose move evens the two out best, if it does so clearly.
        let after = |share: &ShareId| {
            let (a, b) = (over(&from) - of(share), over(&to) + of(share));
            a.abs().max(b.abs())
        };
        let before = over(&from).abs().max(over(&to).abs());
        let mean = all / f64::from(SHARES);
        let Some(share) = held.into_iter().min_by(|a, b| after(a).total_cmp(&after(b))) else {
            break;
        };
        let apart = over(&from) - over(&to);
        let clear = apart > (1.0 + SLACK_SHARES) * mean && after(&share) < before - mean / 2.0;
        if !clear {
            break;
        }
        *loads.entry(from).or_default() -= of(&share);
        *loads.entry(to).or_default() += of(&share);
        owners.insert(share, to);
    }
    owners
}

/// The owner that is furthest above its part, and the one furthest below.
fn widest(loads: &BTreeMap<Seat, f64>, over: impl Fn(&Seat) -> f64) -> Option<(Seat, Seat)> {
    let most = loads.keys().max_by(|a, b| over(a).total_cmp(&over(b)))?;
    let least = loads.keys().min_by(|a, b| over(a).total_cmp(&over(b)))?;
    (most != least).then_some((*most, *least))
}

/// Who should claim a share that nobody holds while nobody leads: by the last map if that one is there, else the same
/// one by everybody's reckoning (rendezvous), so that two seldom write for it, and a dead owner's shares are spread.
pub fn fallback(share: ShareId, map: &Map, there: &[Seat]) -> Option<Seat> {
    if let Some(seat) = map.owners.get(&share).filter(|seat| there.contains(seat)) {
        return Some(*seat);
    }
    let score = |seat: &Seat| {
        crc32fast::hash(&[share.0.to_be_bytes()[0], share.0.to_be_bytes()[1], seat.0])
    };
    there.iter().copied().max_by_key(|seat| (score(seat), *seat))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    fn candidates(count: u8, plans: u32) -> BTreeMap<Seat, Candidate> {
        let candidate = |n: u8| Candidate {
            zone: Zone::new(["a", "b", "c"][usize::from(n) % 3]),
            strength: 1.0,
            plans,
        };
        (0..count).map(|n| (Seat(n), candidate(n))).collect()
    }

    fn count(owners: &BTreeMap<ShareId, Seat>, seat: Seat) -> usize {
        owners.values().filter(|owner| **owner == seat).count()
    }

    #[test]
    fn a_dead_owners_shares_go_to_all_survivors_at_once() {
        for members in [1, 2, 3, 5, 7] {
            let all = candidates(members, 9);
            let owners = plan(&BTreeMap::new(), &BTreeMap::new(), &all, 0);
            assert_eq!(owners.len(), usize::from(SHARES));
            let even = f64::from(SHARES) / f64::from(members);
            for n in 0..members {
                assert!((count(&owners, Seat(n)) as f64 - even).abs() <= 1.0, "{owners:?}");
            }
            let mut left = all.clone();
            left.remove(&Seat(0));
            let after = plan(&owners, &BTreeMap::new(), &left, MOVES_MOST);
            if left.is_empty() {
                assert_eq!(after, owners, "nobody is there: the last map stays");
                continue;
            }
            let even = f64::from(SHARES) / f64::from(members - 1);
            for seat in left.keys() {
                assert!((count(&after, *seat) as f64 - even).abs() <= 1.0, "{after:?}");
            }
            let kept = owners.iter().filter(|(_, seat)| **seat != Seat(0));
            assert!(
                kept.into_iter().all(|(share, seat)| after[share] == *seat),
                "no other one moved"
            );
        }
    }

    #[test]
    fn one_that_comes_back_gets_its_part_slowly_and_nothing_moves_without_need() {
        let two: BTreeMap<Seat, Candidate> = candidates(2, 9);
        let mut owners = plan(&BTreeMap::new(), &BTreeMap::new(), &two, 0);
        let three = candidates(3, 9);
        let mut plans = 0;
        loop {
            let next = plan(&owners, &BTreeMap::new(), &three, 0);
            let moved = owners.iter().filter(|(share, seat)| next[share] != **seat).count();
            assert!(moved <= MOVES_MOST);
            if moved == 0 {
                break;
            }
            owners = next;
            plans += 1;
            assert!(plans < 40, "it never comes to rest");
        }
        assert!(count(&owners, Seat(2)) >= usize::from(SHARES) / 3 - 1, "{owners:?}");
        assert!(plans >= 3);
        // One that has only just come back gets one at a time, and none of those that nobody answers.
        let mut cold = candidates(3, 9);
        cold.get_mut(&Seat(2)).unwrap().plans = 0;
        let first =
            plan(&plan(&BTreeMap::new(), &BTreeMap::new(), &two, 0), &BTreeMap::new(), &cold, 0);
        assert_eq!(count(&first, Seat(2)), 1);
        let fresh = plan(&BTreeMap::new(), &BTreeMap::new(), &cold, MOVES_MOST);
        assert_eq!(count(&fresh, Seat(2)), 0);
        // While others are on their way nothing more is moved.
        let held = plan(&BTreeMap::new(), &BTreeMap::new(), &two, 0);
        assert_eq!(plan(&held, &BTreeMap::new(), &three, MOVES_MOST), held);
    }

    /// A share of a cut zone is best owned there.
    #[test]
    fn shares_of_a_zone_are_owned_there_where_that_costs_nothing() {
        let weights: BTreeMap<ShareId, Weight> = ShareId::all()
            .map(|s| {
                (
                    s,
                    Weight {
                        load: 60.0,
                        zone: Some(Zone::new(["a", "b", "c"][usize::from(s.0) % 3])),
                    },
                )
            })
            .collect();
        let all = candidates(3, 9);
        let owners = plan(&BTreeMap::new(), &weights, &all, 0);
        let home = |(share, seat): &(&ShareId, &Seat)| {
            weights[share].zone.as_ref() == Some(&all[seat].zone)
        };
        assert!(owners.iter().filter(home).count() >= 20, "{owners:?}");
    }

    /// Whatever the loads and whoever comes and goes: every share has an owner that is there, plans come to rest, and
    /// no owner is left with more than its part by more than the heaviest share and the slack.
    #[test]
    fn seeded_plans_come_to_rest_and_are_even() {
        for seed in 0..60 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut owners = BTreeMap::new();
            for _ in 0..6 {
                let mut there = candidates(rng.random_range(1..8), 9);
                for candidate in there.values_mut() {
                    candidate.strength = rng.random_range(0.5..1.5);
                }
                let load = |rng: &mut ChaCha8Rng| Weight {
                    load: rng.random_range(0.0..100.0),
                    zone: None,
                };
                let weights: BTreeMap<ShareId, Weight> =
                    ShareId::all().map(|share| (share, load(&mut rng))).collect();
                let mut steps = 0;
                loop {
                    let next = plan(&owners, &weights, &there, 0);
                    assert!(next.values().all(|seat| there.contains_key(seat)));
                    assert_eq!(next.len(), usize::from(SHARES));
                    steps += 1;
                    if next == owners {
                        break;
                    }
                    owners = next;
                    assert!(steps < 60, "seed {seed}: never at rest");
                }
                let all: f64 = weights.values().map(|w| w.load.max(1.0)).sum();
                let strength: f64 = there.values().map(|c| c.strength).sum();
                for (seat, candidate) in &there {
                    let mine = owners.iter().filter(|(_, owner)| *owner == seat);
                    let load: f64 = mine.map(|(share, _)| weights[share].load.max(1.0)).sum();
                    let part = all * candidate.strength / strength;
                    let slack = (1.0 + SLACK_SHARES) * all / f64::from(SHARES) + 100.0;
                    assert!(load <= part + slack, "seed {seed}: {load} of {part}");
                }
            }
        }
    }

    #[test]
    fn without_a_leader_all_reckon_the_same_owner_and_a_dead_ones_shares_are_spread() {
        let owners: BTreeMap<ShareId, Seat> =
            ShareId::all().map(|s| (s, Seat((s.0 % 3) as u8))).collect();
        let map = Map { leader: Token(7), number: 2, owners };
        let there = [Seat(1), Seat(2), Seat(4)];
        let mut got: BTreeMap<Seat, u32> = BTreeMap::new();
        for share in ShareId::all() {
            let seat = fallback(share, &map, &there).unwrap();
            if map.owners[&share] != Seat(0) {
                assert_eq!(seat, map.owners[&share], "it stays by the last map");
            } else {
                *got.entry(seat).or_default() += 1;
            }
            let turned = [Seat(4), Seat(2), Seat(1)];
            assert_eq!(fallback(share, &map, &turned), Some(seat));
        }
        assert!(got.len() >= 2, "{got:?}");
        assert_eq!(fallback(ShareId(0), &map, &[]), None);
        let later = Map { leader: Token(7), number: 3, ..Map::default() };
        assert!(later.newer(&map) && !map.newer(&later));
        assert!(Map { leader: Token(8), number: 0, ..Map::default() }.newer(&later));
    }
}
