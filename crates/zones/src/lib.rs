//! State of each zone, derived from its machines' reports compared with those of the rest of the
//! fleet, and whether machines may be hired there. A pure function of observations and time.
//! Silence alone never proves that a machine is gone.

pub mod constants;

use constants::*;
use oatloom_protocol::ids::{Millis, Mono, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Whole,
    /// Most of its machines are silent, but not all: it may be partitioned from a part of the
    /// region.
    Doubted,
    /// None of its few machines reports while other zones do: they may have failed one by one. The
    /// zone is trusted again after a second report.
    Mute {
        heard: Option<Mono>,
    },
    /// Machines should be there, but this controller has only just started to listen and has heard
    /// from none of them.
    Awaited,
    /// A controller that started without state, while machines of an earlier one run, hears from
    /// other zones and knows of too few machines here for their silence to be evidence.
    Unheard,
    /// None of its machines reports while other zones do.
    Lost {
        since: Mono,
    },
    /// Reports arrive again; hires wait until they have arrived for a while, since a partition
    /// delivers delayed reports once.
    Returning {
        since: Mono,
        until: Mono,
    },
}

impl Standing {
    fn is_lost(self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}

/// What is known of a zone's machines at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Machines that have reported to this controller before.
    pub known: u32,
    /// Known machines whose next report is overdue.
    pub silent: u32,
    /// Known machines whose last report is recent. After a time in which a controller heard from
    /// nobody, a machine may be neither silent nor heard.
    pub heard: u32,
    /// When the last report arrived.
    pub latest: Option<Mono>,
    /// Machines that the cloud lists as up, or that hold tasks by the records, and that have never
    /// reported to this controller.
    pub expected: u32,
    /// Expected machines whose first report is overdue.
    pub unheard: u32,
}

impl Seen {
    /// Whether most of the known machines are silent together, as in a network partition.
    pub fn cut(&self) -> bool {
        self.silent >= EVIDENCE_MACHINES && self.silent * 2 > self.known
    }

    /// Whether no machine of the zone has ever reported.
    pub fn nobody_heard(&self) -> bool {
        self.known == 0
    }

    /// Whether several machines are expected, none has reported since this controller started to
    /// listen, and not all of them are overdue yet.
    fn awaited(&self) -> bool {
        self.known == 0 && self.expected >= EVIDENCE_MACHINES && self.unheard < self.expected
    }

    /// How many machines should report while none does.
    fn missed(&self) -> u32 {
        let none = self.heard == 0 && self.silent == self.known;
        if none { self.silent + self.unheard } else { 0 }
    }
}

/// Whether machines may be hired in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hires {
    AsNeeded,
    /// Only if no machine is on its way there already.
    OneAtATime,
    None,
}

/// What one controller reports to another about a zone that is not healthy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    pub zone: Zone,
    /// How long it has been lost; `None` if it is recovering.
    pub lost_ms: Option<u64>,
    /// Whether its few machines are silent.
    #[serde(default)]
    pub mute: bool,
    /// Losses that count towards its recovery time.
    pub losses: u32,
    /// How long ago the last of them was, in ms.
    pub last_ms: u64,
}

#[derive(Debug)]
struct State {
    standing: Standing,
    losses: u32,
    last_loss: Mono,
    next_probe: Mono,
}

/// The state of every zone that was ever observed.
#[derive(Debug, Default)]
pub struct Zones {
    states: BTreeMap<Zone, State>,
}

impl Zones {
    /// Changes a zone's state; no other code does.
    fn enter(zone: &Zone, state: &mut State, standing: Standing, why: &str) {
        log::info!("zone {zone}: {:?} -> {standing:?} ({why})", state.standing);
        state.standing = standing;
    }

    fn state(&mut self, zone: &Zone) -> &mut State {
        self.states.entry(zone.clone()).or_insert(State {
            standing: Standing::Whole,
            losses: 0,
            last_loss: Mono(0),
            next_probe: Mono(0),
        })
    }

    /// Marks zones of which a newly started controller knows nothing while machines of an earlier
    /// one run. Without it a lost zone whose machines were all returned looks like any other one,
    /// and machines are hired there.
    pub fn begin_unheard<'z>(&mut self, zones: impl IntoIterator<Item = &'z Zone>) {
        for zone in zones {
            let state = self.state(zone);
            if state.standing == Standing::Whole {
                Self::enter(zone, state, Standing::Unheard, "nothing is known of it");
            }
        }
    }

    /// Updates all zones by the observations made at `now`. A zone that is not among them has no
    /// machine that could report; its timeouts still apply. A zone is lost only if other zones
    /// report: a controller that hears from nobody knows nothing of any zone.
    pub fn observe(&mut self, seen: &BTreeMap<Zone, Seen>, now: Mono) {
        let heard: u32 = seen.values().map(|s| s.heard).sum();
        let empty: Vec<Zone> =
            self.states.keys().filter(|zone| !seen.contains_key(zone)).cloned().collect();
        let nothing = Seen::default();
        for (zone, s) in seen.iter().chain(empty.iter().map(|zone| (zone, &nothing))) {
            let state = self.state(zone);
            let missed = if heard > 0 { s.missed() } else { 0 };
            let latest = s.latest.filter(|_| s.heard > 0);
            let next = match state.standing {
                Standing::Lost { .. } => latest.map(|_| {
                    let doubled = RETURN_MS.0 << state.losses.saturating_sub(1).min(16);
                    let until = now.plus(Millis(doubled.min(RETURN_MOST_MS.0)));
                    (Standing::Returning { since: now, until }, "reports come again")
                }),
                _ if missed >= EVIDENCE_MACHINES => {
                    let apart = now.since(state.last_loss) > FLAP_SPAN_MS;
                    state.losses = if apart || state.losses == 0 { 1 } else { state.losses + 1 };
                    state.last_loss = now;
                    state.next_probe = now.plus(PROBE_EVERY_MS);
                    Some((Standing::Lost { since: now }, "nothing there reports"))
                }
                Standing::Returning { until, .. } if now < until => None,
                Standing::Returning { since, .. } => {
                    let lasts = latest.is_some_and(|at| at.since(since) >= AGAIN_MS);
                    let lost = Standing::Lost { since: state.last_loss };
                    Some(match lasts {
                        true => (Standing::Whole, "reports have come for a while"),
                        false => (lost, "no further reports came"),
                    })
                }
                Standing::Mute { heard: None } => {
                    latest.map(|at| (Standing::Mute { heard: Some(at) }, "a machine reports"))
                }
                Standing::Mute { heard: Some(first) } => latest
                    .filter(|at| at.since(first) >= AGAIN_MS)
                    .map(|_| (Standing::Whole, "a machine reports again")),
                Standing::Awaited | Standing::Unheard if latest.is_some() => {
                    Some((Standing::Whole, "a machine reports"))
                }
                Standing::Whole | Standing::Awaited | Standing::Unheard if s.awaited() => {
                    (state.standing != Standing::Awaited)
                        .then_some((Standing::Awaited, "nothing there was heard yet"))
                }
                _ if missed > 0 => {
                    Some((Standing::Mute { heard: None }, "its few machines are silent"))
                }
                Standing::Whole if s.cut() => Some((Standing::Doubted, "most are silent")),
                Standing::Doubted if !s.cut() => Some((Standing::Whole, "most report")),
                Standing::Awaited => Some((Standing::Whole, "nothing more is waited for")),
                Standing::Unheard => None,
                Standing::Whole | Standing::Doubted => None,
            };
            if let Some((standing, why)) = next {
                Self::enter(zone, state, standing, why);
            }
        }
    }

    pub fn standing(&self, zone: &Zone) -> Standing {
        self.states.get(zone).map_or(Standing::Whole, |state| state.standing)
    }

    /// Whether nothing in the zone reports.
    pub fn lost(&self, zone: &Zone) -> bool {
        self.standing(zone).is_lost()
    }

    /// The zones in which nothing reports.
    pub fn all_lost(&self) -> impl Iterator<Item = &Zone> {
        self.states.iter().filter(|(_, state)| state.standing.is_lost()).map(|(zone, _)| zone)
    }

    /// Whether machines may be hired there.
    pub fn hires(&self, zone: &Zone) -> Hires {
        match self.standing(zone) {
            Standing::Whole | Standing::Doubted => Hires::AsNeeded,
            Standing::Mute { .. } | Standing::Unheard => Hires::OneAtATime,
            Standing::Awaited | Standing::Lost { .. } | Standing::Returning { .. } => Hires::None,
        }
    }

    /// Whether a silent machine there is worth keeping, since its report shows that the zone is
    /// back.
    pub fn keeps_sentinel(&self, zone: &Zone, now: Mono) -> bool {
        matches!(self.standing(zone), Standing::Lost { since } if now.since(since) < SENTINEL_MS)
    }

    /// Zones in which one machine may be hired now as a probe: lost zones and recovering ones,
    /// whose recovery time is long after several losses and whose machines may all be gone.
    /// `needed` tells whether work waits that can run only there; without such work a probe is due
    /// later.
    pub fn due_probes(&self, now: Mono, needed: impl Fn(&Zone) -> bool) -> Vec<Zone> {
        let asked = |standing: Standing| {
            standing.is_lost() || matches!(standing, Standing::Returning { .. })
        };
        let due = |(zone, state): &(&Zone, &State)| {
            let at = state.next_probe;
            asked(state.standing) && now >= at && (now >= at.plus(UNNEEDED_MORE_MS) || needed(zone))
        };
        self.states.iter().filter(due).map(|(zone, _)| zone.clone()).collect()
    }

    /// Records that a probe was hired.
    pub fn probed(&mut self, zone: &Zone, now: Mono) {
        self.state(zone).next_probe = now.plus(PROBE_EVERY_MS);
    }

    /// What the next leader should know: otherwise a zone whose machines were all returned looks
    /// empty instead of lost.
    pub fn told(&self, now: Mono) -> Vec<Told> {
        let shaken = |(_, state): &(&Zone, &State)| {
            let lately = state.losses > 0 && now.since(state.last_loss) <= FLAP_SPAN_MS;
            lately || matches!(state.standing, Standing::Mute { .. })
        };
        let told = |(zone, state): (&Zone, &State)| Told {
            zone: zone.clone(),
            lost_ms: match state.standing {
                Standing::Lost { since } => Some(now.since(since).0),
                _ => None,
            },
            mute: matches!(state.standing, Standing::Mute { .. }),
            losses: state.losses,
            last_ms: now.since(state.last_loss).0,
        };
        self.states.iter().filter(shaken).map(told).collect()
    }

    /// Takes over what an earlier leader reported at `noted`. That leader may have been the one
    /// that was cut off, so later observations take precedence.
    pub fn recall(&mut self, told: &[Told], noted: Mono) {
        let ago = |ms: u64| Mono(noted.0.saturating_sub(ms));
        for told in told {
            let state = self.state(&told.zone);
            state.losses = told.losses;
            state.last_loss = ago(told.last_ms);
            if let Some(lost_ms) = told.lost_ms {
                state.next_probe = ago(lost_ms).plus(PROBE_EVERY_MS);
                let standing = Standing::Lost { since: ago(lost_ms) };
                Self::enter(&told.zone, state, standing, "an earlier leader says so");
            } else if told.mute {
                let standing = Standing::Mute { heard: None };
                Self::enter(&told.zone, state, standing, "an earlier leader says so");
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;

    fn zone(name: &str) -> Zone {
        Zone::new(name)
    }

    fn seen(a: Seen, b: Seen) -> BTreeMap<Zone, Seen> {
        [(zone("a"), a), (zone("b"), b)].into()
    }

    /// All machines report, the last one at `at`.
    fn all(known: u32, at: u64) -> Seen {
        Seen { known, heard: known, latest: Some(Mono(at)), ..Seen::default() }
    }

    fn mute(known: u32) -> Seen {
        Seen { known, silent: known, ..Seen::default() }
    }

    /// Guards against 472 machines hired in a zone that was cut off: it stays lost after its silent
    /// machines have been returned and none is left that could be silent.
    #[test]
    fn a_zone_whose_machines_were_returned_stays_lost() {
        let mut zones = Zones::default();
        zones.observe(&seen(all(250, 900), all(100, 900)), Mono(1_000));
        assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
        zones.observe(&seen(mute(250), all(100, 19_000)), Mono(20_000));
        assert!(zones.lost(&zone("a")) && zones.hires(&zone("b")) == Hires::AsNeeded);
        zones.observe(&seen(Seen::default(), all(100, 59_000)), Mono(60_000));
        zones.observe(&[(zone("b"), all(100, 60_000))].into(), Mono(60_500));
        assert!(zones.lost(&zone("a")));
        // New machines that are up but silent change nothing; the first report does.
        let silent = Seen { unheard: 2, ..Seen::default() };
        zones.observe(&seen(silent, all(100, 60_500)), Mono(61_000));
        assert!(zones.lost(&zone("a")));
        zones.observe(&seen(all(1, 90_000), all(100, 90_000)), Mono(90_000));
        assert!(!zones.lost(&zone("a")) && zones.hires(&zone("a")) == Hires::None);
        let later = Mono(90_000).plus(RETURN_MS);
        zones.observe(&seen(all(1, 94_000), all(100, 95_000)), later);
        assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
    }

    /// A report delayed by a partition may arrive at any time, once: guards against hiring because
    /// of a single report that was minutes old.
    #[test]
    fn one_late_report_does_not_bring_a_zone_back() {
        let mut zones = Zones::default();
        zones.observe(&seen(mute(9), all(100, 20_000)), Mono(20_000));
        zones.observe(&seen(all(1, 40_000), all(100, 40_000)), Mono(40_000));
        let later = Mono(40_000).plus(RETURN_MS);
        zones.observe(&seen(all(1, 40_000), all(100, 45_000)), later);
        assert_eq!(zones.standing(&zone("a")), Standing::Lost { since: Mono(20_000) });
    }

    /// Guards against a zone that stayed closed for good: its last machine reported once and was
    /// returned during the recovery, and nothing was left to observe. The same holds for a zone
    /// whose awaited machines never reported.
    #[test]
    fn a_zone_left_empty_on_its_way_back_is_asked_again() {
        let mut zones = Zones::default();
        let others = || [(zone("b"), all(100, 500_000))].into();
        zones.observe(&seen(mute(9), all(100, 20_000)), Mono(20_000));
        zones.observe(&seen(all(1, 200_000), all(100, 200_000)), Mono(200_000));
        assert!(matches!(zones.standing(&zone("a")), Standing::Returning { .. }));
        assert_eq!(
            zones.due_probes(Mono(200_000), |_| true),
            [zone("a")],
            "before its way back is over"
        );
        assert_eq!(zones.hires(&zone("a")), Hires::None);
        let later = Mono(200_000).plus(RETURN_MS);
        zones.observe(&others(), later);
        assert!(zones.lost(&zone("a")));
        assert_eq!(zones.due_probes(Mono(500_000), |_| false), [zone("a")]);
        let awaited = Seen { expected: EVIDENCE_MACHINES, ..Seen::default() };
        let mut zones = Zones::default();
        zones.observe(&seen(awaited, all(100, 20_000)), Mono(20_000));
        assert_eq!(zones.hires(&zone("a")), Hires::None);
        zones.observe(&others(), Mono(21_000));
        assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
    }

    /// A controller that hears from nobody was cut off itself, or an outage has just ended.
    #[test]
    fn silence_everywhere_shows_nothing() {
        let mut zones = Zones::default();
        zones.observe(&seen(mute(250), mute(100)), Mono(20_000));
        assert!(["a", "b"].iter().all(|name| zones.hires(&zone(name)) == Hires::AsNeeded));
    }

    /// Some machines that fail at once, or a partition of a part of the zone, leave it open.
    #[test]
    fn a_zone_with_any_report_is_not_lost() {
        let mut zones = Zones::default();
        let some = Seen { silent: 249, heard: 1, ..all(250, 20_000) };
        zones.observe(&seen(some, all(100, 20_000)), Mono(20_000));
        assert_eq!(zones.standing(&zone("a")), Standing::Doubted);
        assert!(some.cut() && zones.hires(&zone("a")) == Hires::AsNeeded);
        zones.observe(&seen(mute(2), all(100, 40_000)), Mono(40_000));
        assert_eq!(zones.hires(&zone("a")), Hires::OneAtATime, "two machines are little evidence");
    }

    /// Guards against hiring machine after machine where the only ones fell silent: one at a time,
    /// until one reports or enough of them have not.
    #[test]
    fn few_silent_machines_allow_one_hire_at_a_time() {
        let one = Seen { unheard: 1, ..Seen::default() };
        for comes_up in [true, false] {
            let mut zones = Zones::default();
            zones.observe(&seen(mute(1), all(100, 20_000)), Mono(20_000));
            assert_eq!(zones.hires(&zone("a")), Hires::OneAtATime);
            zones.observe(&seen(Seen::default(), all(100, 60_000)), Mono(60_000));
            assert_eq!(zones.hires(&zone("a")), Hires::OneAtATime);
            zones.observe(&seen(one, all(100, 90_000)), Mono(90_000));
            assert_eq!(zones.hires(&zone("a")), Hires::OneAtATime);
            if comes_up {
                zones.observe(&seen(all(1, 95_000), all(100, 95_000)), Mono(95_000));
                assert_eq!(zones.hires(&zone("a")), Hires::OneAtATime);
                zones.observe(&seen(all(1, 98_000), all(100, 98_000)), Mono(98_000));
                assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
            } else {
                let three = Seen { unheard: 3, expected: 3, ..one };
                zones.observe(&seen(three, all(100, 120_000)), Mono(120_000));
                assert!(zones.lost(&zone("a")));
            }
        }
    }

    /// Guards against hires in a lost zone by a leader that starts without state after all
    /// controllers ended at once: where machines should be, it waits for the first report.
    #[test]
    fn a_leader_that_begins_from_nothing_waits_for_a_first_report() {
        let begun = Seen { expected: 9, ..Seen::default() };
        let mut zones = Zones::default();
        zones.observe(&seen(begun, begun), Mono(1_000));
        assert_eq!(zones.hires(&zone("a")), Hires::None);
        zones.observe(&seen(begun, all(3, 2_000)), Mono(2_000));
        assert_eq!(zones.hires(&zone("a")), Hires::None);
        assert_eq!(zones.hires(&zone("b")), Hires::AsNeeded);
        let overdue = Seen { unheard: 9, ..begun };
        zones.observe(&seen(overdue, all(9, 19_000)), Mono(20_000));
        assert!(zones.lost(&zone("a")));
        // Few machines, or none that is expected to report, delay nothing; nor do those that turn
        // out to be gone.
        let mut zones = Zones::default();
        zones.observe(&seen(Seen { expected: 2, ..Seen::default() }, begun), Mono(1_000));
        assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
        zones.observe(&seen(Seen::default(), Seen::default()), Mono(2_000));
        assert_eq!(zones.hires(&zone("b")), Hires::AsNeeded);
        // Silence everywhere is no evidence, and delays hires no longer than reports take.
        let mut zones = Zones::default();
        zones.observe(&seen(begun, begun), Mono(1_000));
        zones.observe(&seen(overdue, overdue), Mono(20_000));
        assert_eq!(zones.hires(&zone("a")), Hires::AsNeeded);
    }

    #[test]
    fn a_zone_that_comes_and_goes_has_a_longer_way_back_each_time() {
        let mut zones = Zones::default();
        let (mut now, mut last) = (10_000, 0);
        for _ in 0..8 {
            zones.observe(&seen(mute(9), all(9, now)), Mono(now));
            now += 20_000;
            zones.observe(&seen(all(9, now), all(9, now)), Mono(now));
            let Standing::Returning { until, .. } = zones.standing(&zone("a")) else { panic!() };
            let back = until.since(Mono(now)).0;
            assert!(back >= last && back <= RETURN_MOST_MS.0);
            last = back;
            now += 20_000;
        }
        assert_eq!(last, RETURN_MOST_MS.0);
        // A loss long afterwards counts as the first one again.
        now += FLAP_SPAN_MS.0 + RETURN_MOST_MS.0;
        zones.observe(&seen(all(9, now), all(9, now)), Mono(now));
        zones.observe(&seen(mute(9), all(9, now)), Mono(now));
        now += 1;
        zones.observe(&seen(all(9, now), all(9, now)), Mono(now));
        let until = Mono(now).plus(RETURN_MS);
        assert_eq!(zones.standing(&zone("a")), Standing::Returning { since: Mono(now), until });
    }

    /// A takeover keeps the state of zones, and a wrong state does not bind the next leader.
    #[test]
    fn the_next_leader_knows_what_is_lost() {
        let mut zones = Zones::default();
        zones.observe(&seen(mute(9), all(9, 10_000)), Mono(10_000));
        let told = zones.told(Mono(25_000));
        let mut next = Zones::default();
        next.recall(&told, Mono(1_000_000));
        assert_eq!(next.standing(&zone("a")), Standing::Lost { since: Mono(985_000) });
        assert!(next.due_probes(Mono(1_000_000), |_| true).is_empty());
        let probe = Mono(985_000).plus(PROBE_EVERY_MS);
        assert_eq!(next.due_probes(probe, |_| true), [zone("a")]);
        next.probed(&zone("a"), probe);
        assert!(next.due_probes(probe, |_| true).is_empty(), "a rare single one");
        next.observe(&seen(all(4, 1_000_001), all(9, 1_000_001)), Mono(1_000_001));
        assert!(!next.lost(&zone("a")));
        // The same with few machines.
        let mut zones = Zones::default();
        zones.observe(&seen(mute(1), all(9, 10_000)), Mono(10_000));
        let mut next = Zones::default();
        next.recall(&zones.told(Mono(25_000)), Mono(1_000_000));
        assert_eq!(next.hires(&zone("a")), Hires::OneAtATime);
        // A clock whose reading is below the reported ages does no harm.
        Zones::default().recall(&told, Mono(3));
    }

    /// Whatever is observed, a zone with reports is never lost, and a lost zone without reports is
    /// not opened.
    #[test]
    fn seeded_walks_keep_the_meaning_of_lost() {
        const NAMES: [&str; 3] = ["a", "b", "c"];
        for seed in 0..200 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut zones = Zones::default();
            let mut now = Mono(1_000_000);
            for _ in 0..300 {
                now = now.plus(Millis(rng.random_range(100..15_000)));
                let mut view = BTreeMap::new();
                for name in NAMES {
                    if rng.random_bool(0.2) {
                        continue;
                    }
                    let known = rng.random_range(0..6);
                    let heard = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..=known) };
                    let silent = rng.random_range(0..=known - heard);
                    let latest = (heard > 0).then_some(now);
                    let unheard = rng.random_range(0..3);
                    let expected = unheard + rng.random_range(0..3);
                    let seen = Seen { known, silent, heard, latest, expected, unheard };
                    view.insert(zone(name), seen);
                }
                let before = NAMES.map(|name| zones.standing(&zone(name)));
                zones.observe(&view, now);
                for (name, before) in NAMES.iter().zip(before) {
                    let heard = view.get(&zone(name)).map_or(0, |s| s.heard);
                    let after = zones.standing(&zone(name));
                    let lost = |s: Standing| matches!(s, Standing::Lost { .. });
                    assert!(!(lost(after) && heard > 0), "seed {seed}: {name} reports and is lost");
                    if lost(before) {
                        assert_eq!(zones.hires(&zone(name)), Hires::None, "seed {seed}: {name}");
                        assert!(heard > 0 || after == before, "seed {seed}: {name} is open");
                    }
                }
            }
        }
    }
}
