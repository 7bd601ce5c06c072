//! State of each zone, derived from its machines' reports compared with those of the rest of the
//! fleet, and whether machines may be hired there. Deterministic: observations and the time come
//! in, and with the earlier states give the new ones.
//! Silence alone never proves that a machine is gone.

pub mod constants;

use constants::*;
use oatloom_protocol::ids::{Millis, Mono, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    Healthy,
    /// Most of its machines are silent, but not all: it may be partitioned from a part of the
    /// region.
    Suspected,
    /// None of its few machines reports while other zones do: they may have failed one by one. The
    /// zone is healthy again after a second report; `first_report_at` is when the first arrived.
    Silent {
        first_report_at: Option<Mono>,
    },
    /// Machines should be there, but this controller has only just started to receive reports and
    /// has none from them.
    AwaitingReports,
    /// The controller started without state while machines of an earlier one run. It receives
    /// reports from other zones and knows of too few machines in this one for their silence to be
    /// evidence.
    Unknown,
    /// None of its machines reports while other zones do.
    Lost {
        since: Mono,
    },
    /// Reports arrive again; hires wait until they have arrived for a while, since reports that
    /// a partition had delayed arrive in a single batch, which does not show that the zone is back.
    Recovering {
        since: Mono,
        until: Mono,
    },
}

impl ZoneState {
    fn is_lost(self) -> bool {
        matches!(self, Self::Lost { .. })
    }
}

/// What is known of a zone's machines at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneObservation {
    /// Machines that have reported to this controller before.
    pub machines_known: u32,
    /// Known machines whose next report is overdue.
    pub silent: u32,
    /// Known machines whose last report is recent. After a time in which a controller received no
    /// reports at all, a machine may be neither silent nor reporting.
    pub machines_reporting: u32,
    /// When the last report arrived.
    pub latest: Option<Mono>,
    /// Machines that the cloud lists as up, or that hold tasks by the records, and that have never
    /// reported to this controller.
    pub expected: u32,
    /// Expected machines whose first report is overdue.
    pub overdue: u32,
}

impl ZoneObservation {
    /// Whether most of the known machines are silent together, as in a network partition.
    pub fn is_cut(&self) -> bool {
        self.silent >= MIN_SILENT_MACHINES && self.silent * 2 > self.machines_known
    }

    /// Whether none of the zone's present machines has ever reported.
    pub fn has_never_reported(&self) -> bool {
        self.machines_known == 0
    }

    /// Whether several machines are expected, none has reported since this controller started, and
    /// not all of them are overdue yet.
    fn is_awaiting_reports(&self) -> bool {
        self.machines_known == 0
            && self.expected >= MIN_SILENT_MACHINES
            && self.overdue < self.expected
    }

    /// How many machines should report; 0 if any of them does.
    fn missing(&self) -> u32 {
        let none_reports = self.machines_reporting == 0 && self.silent == self.machines_known;
        if none_reports { self.silent + self.overdue } else { 0 }
    }
}

/// Whether machines may be hired in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HirePolicy {
    AsNeeded,
    /// Only if no machine is being hired or is booting there already.
    OneAtATime,
    None,
}

/// What one controller reports to another about a zone that is silent or was lost recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    pub zone: Zone,
    /// How long it has been lost; `None` if it is recovering.
    pub lost_ms: Option<u64>,
    /// Whether its few machines are silent.
    #[serde(rename = "mute", default)]
    pub silent: bool,
    /// Losses that count towards its recovery time.
    pub losses: u32,
    /// How long ago the last of them was, in ms.
    pub last_ms: u64,
}

#[derive(Debug)]
struct ZoneRecord {
    state: ZoneState,
    losses: u32,
    last_loss: Mono,
    next_probe: Mono,
}

/// The state of every zone that was ever observed.
#[derive(Debug, Default)]
pub struct ZoneStates {
    records: BTreeMap<Zone, ZoneRecord>,
}

impl ZoneStates {
    /// Changes a zone's state; no other code does.
    fn transition(zone: &Zone, record: &mut ZoneRecord, state: ZoneState, reason: &str) {
        log::info!("zone {zone}: {:?} -> {state:?} ({reason})", record.state);
        record.state = state;
    }

    fn record_mut(&mut self, zone: &Zone) -> &mut ZoneRecord {
        self.records.entry(zone.clone()).or_insert(ZoneRecord {
            state: ZoneState::Healthy,
            losses: 0,
            last_loss: Mono(0),
            next_probe: Mono(0),
        })
    }

    /// Marks zones of which a newly started controller knows nothing while machines of an earlier
    /// one run. Without it a lost zone whose machines were all returned looks like any other one,
    /// and machines are hired there.
    pub fn mark_unknown<'z>(&mut self, zones: impl IntoIterator<Item = &'z Zone>) {
        for zone in zones {
            let record = self.record_mut(zone);
            if record.state == ZoneState::Healthy {
                Self::transition(zone, record, ZoneState::Unknown, "no information yet");
            }
        }
    }

    /// Updates all zones by the observations made at `now`. A zone that is not among them has no
    /// machine that could report; its timeouts still apply. A zone is lost only if other zones
    /// report: a controller that receives no reports knows nothing of any zone.
    pub fn observe(&mut self, observations: &BTreeMap<Zone, ZoneObservation>, now: Mono) {
        let reporting: u32 =
            observations.values().map(|observation| observation.machines_reporting).sum();
        let empty: Vec<Zone> =
            self.records.keys().filter(|zone| !observations.contains_key(zone)).cloned().collect();
        let no_machines = ZoneObservation::default();
        for (zone, observation) in
            observations.iter().chain(empty.iter().map(|zone| (zone, &no_machines)))
        {
            let record = self.record_mut(zone);
            let missing = if reporting > 0 { observation.missing() } else { 0 };
            let latest = observation.latest.filter(|_| observation.machines_reporting > 0);
            let next = match record.state {
                ZoneState::Lost { .. } => latest.map(|_| {
                    let doubled = RECOVERY_MS.0 << record.losses.saturating_sub(1).min(16);
                    let until = now.plus(Millis(doubled.min(MAX_RECOVERY_MS.0)));
                    (ZoneState::Recovering { since: now, until }, "reports arrive again")
                }),
                _ if missing >= MIN_SILENT_MACHINES => {
                    let unrelated = now.since(record.last_loss) > FLAP_WINDOW_MS;
                    record.losses =
                        if unrelated || record.losses == 0 { 1 } else { record.losses + 1 };
                    record.last_loss = now;
                    record.next_probe = now.plus(PROBE_PERIOD_MS);
                    Some((ZoneState::Lost { since: now }, "none of its machines reports"))
                }
                ZoneState::Recovering { until, .. } if now < until => None,
                ZoneState::Recovering { since, .. } => {
                    let confirmed =
                        latest.is_some_and(|at| at.since(since) >= MIN_REPORT_SPACING_MS);
                    let lost = ZoneState::Lost { since: record.last_loss };
                    Some(match confirmed {
                        true => (ZoneState::Healthy, "reports kept arriving"),
                        false => (lost, "no further reports arrived"),
                    })
                }
                ZoneState::Silent { first_report_at: None } => latest.map(|at| {
                    (ZoneState::Silent { first_report_at: Some(at) }, "a machine reports")
                }),
                ZoneState::Silent { first_report_at: Some(first) } => latest
                    .filter(|at| at.since(first) >= MIN_REPORT_SPACING_MS)
                    .map(|_| (ZoneState::Healthy, "a machine reports again")),
                ZoneState::AwaitingReports | ZoneState::Unknown if latest.is_some() => {
                    Some((ZoneState::Healthy, "a machine reports"))
                }
                ZoneState::Healthy | ZoneState::AwaitingReports | ZoneState::Unknown
                    if observation.is_awaiting_reports() =>
                {
                    (record.state != ZoneState::AwaitingReports)
                        .then_some((ZoneState::AwaitingReports, "no machine has reported yet"))
                }
                _ if missing > 0 => Some((
                    ZoneState::Silent { first_report_at: None },
                    "its few machines are silent",
                )),
                ZoneState::Healthy if observation.is_cut() => {
                    Some((ZoneState::Suspected, "most are silent"))
                }
                ZoneState::Suspected if !observation.is_cut() => {
                    Some((ZoneState::Healthy, "most report"))
                }
                ZoneState::AwaitingReports => Some((ZoneState::Healthy, "no more are expected")),
                ZoneState::Unknown => None,
                ZoneState::Healthy | ZoneState::Suspected => None,
            };
            if let Some((state, reason)) = next {
                Self::transition(zone, record, state, reason);
            }
        }
    }

    pub fn state(&self, zone: &Zone) -> ZoneState {
        self.records.get(zone).map_or(ZoneState::Healthy, |record| record.state)
    }

    /// Whether the zone is lost: none of its machines reports while other zones do.
    pub fn is_lost(&self, zone: &Zone) -> bool {
        self.state(zone).is_lost()
    }

    /// The zones that are lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &Zone> {
        self.records.iter().filter(|(_, record)| record.state.is_lost()).map(|(zone, _)| zone)
    }

    /// Whether machines may be hired in the zone.
    pub fn hire_policy(&self, zone: &Zone) -> HirePolicy {
        match self.state(zone) {
            ZoneState::Healthy | ZoneState::Suspected => HirePolicy::AsNeeded,
            ZoneState::Silent { .. } | ZoneState::Unknown => HirePolicy::OneAtATime,
            ZoneState::AwaitingReports | ZoneState::Lost { .. } | ZoneState::Recovering { .. } => {
                HirePolicy::None
            }
        }
    }

    /// Whether a silent machine of the zone is kept, since its next report shows that the zone is
    /// back.
    pub fn keeps_sentinel(&self, zone: &Zone, now: Mono) -> bool {
        matches!(self.state(zone), ZoneState::Lost { since } if now.since(since) < SENTINEL_KEEP_MS)
    }

    /// Zones in which one machine may be hired now as a probe: lost zones and recovering ones,
    /// whose recovery time is long after several losses and whose machines may all be gone.
    /// `is_needed` tells whether work waits that can run only there; without such work a probe is
    /// due later.
    pub fn due_probes(&self, now: Mono, is_needed: impl Fn(&Zone) -> bool) -> Vec<Zone> {
        let allows_probes =
            |state: ZoneState| state.is_lost() || matches!(state, ZoneState::Recovering { .. });
        let is_due = |(zone, record): &(&Zone, &ZoneRecord)| {
            let at = record.next_probe;
            allows_probes(record.state)
                && now >= at
                && (now >= at.plus(UNNEEDED_PROBE_DELAY_MS) || is_needed(zone))
        };
        self.records.iter().filter(is_due).map(|(zone, _)| zone.clone()).collect()
    }

    /// Records that a probe was hired.
    pub fn record_probe(&mut self, zone: &Zone, now: Mono) {
        self.record_mut(zone).next_probe = now.plus(PROBE_PERIOD_MS);
    }

    /// The unstable zones, for the next leader: otherwise a zone whose machines were all released
    /// looks empty instead of lost.
    pub fn report(&self, now: Mono) -> Vec<ZoneReport> {
        let is_unstable = |(_, record): &(&Zone, &ZoneRecord)| {
            let lost_recently = record.losses > 0 && now.since(record.last_loss) <= FLAP_WINDOW_MS;
            lost_recently || matches!(record.state, ZoneState::Silent { .. })
        };
        let report_zone = |(zone, record): (&Zone, &ZoneRecord)| ZoneReport {
            zone: zone.clone(),
            lost_ms: match record.state {
                ZoneState::Lost { since } => Some(now.since(since).0),
                _ => None,
            },
            silent: matches!(record.state, ZoneState::Silent { .. }),
            losses: record.losses,
            last_ms: now.since(record.last_loss).0,
        };
        self.records.iter().filter(is_unstable).map(report_zone).collect()
    }

    /// Takes over what an earlier leader reported at `reported_at`. That leader may have been the
    /// one that was cut off, so later observations take precedence.
    pub fn restore(&mut self, reports: &[ZoneReport], reported_at: Mono) {
        let ago = |ms: u64| Mono(reported_at.0.saturating_sub(ms));
        for report in reports {
            let record = self.record_mut(&report.zone);
            record.losses = report.losses;
            record.last_loss = ago(report.last_ms);
            if let Some(lost_ms) = report.lost_ms {
                record.next_probe = ago(lost_ms).plus(PROBE_PERIOD_MS);
                let state = ZoneState::Lost { since: ago(lost_ms) };
                Self::transition(&report.zone, record, state, "reported by an earlier leader");
            } else if report.silent {
                let state = ZoneState::Silent { first_report_at: None };
                Self::transition(&report.zone, record, state, "reported by an earlier leader");
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

    fn observations(a: ZoneObservation, b: ZoneObservation) -> BTreeMap<Zone, ZoneObservation> {
        [(zone("a"), a), (zone("b"), b)].into()
    }

    /// All machines report, the last one at `at`.
    fn all_reporting(machines: u32, at: u64) -> ZoneObservation {
        ZoneObservation {
            machines_known: machines,
            machines_reporting: machines,
            latest: Some(Mono(at)),
            ..ZoneObservation::default()
        }
    }

    fn all_silent(machines: u32) -> ZoneObservation {
        ZoneObservation { machines_known: machines, silent: machines, ..ZoneObservation::default() }
    }

    /// Guards against 472 machines hired in a zone that was cut off: it stays lost after its silent
    /// machines have been released and none is left that could be silent.
    #[test]
    fn lost_zone_without_machines_stays_lost() {
        let mut zones = ZoneStates::default();
        zones.observe(&observations(all_reporting(250, 900), all_reporting(100, 900)), Mono(1_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
        zones.observe(&observations(all_silent(250), all_reporting(100, 19_000)), Mono(20_000));
        assert!(zones.is_lost(&zone("a")) && zones.hire_policy(&zone("b")) == HirePolicy::AsNeeded);
        zones.observe(
            &observations(ZoneObservation::default(), all_reporting(100, 59_000)),
            Mono(60_000),
        );
        zones.observe(&[(zone("b"), all_reporting(100, 60_000))].into(), Mono(60_500));
        assert!(zones.is_lost(&zone("a")));
        // New machines that are up but silent change nothing; the first report does.
        let silent = ZoneObservation { overdue: 2, ..ZoneObservation::default() };
        zones.observe(&observations(silent, all_reporting(100, 60_500)), Mono(61_000));
        assert!(zones.is_lost(&zone("a")));
        zones.observe(
            &observations(all_reporting(1, 90_000), all_reporting(100, 90_000)),
            Mono(90_000),
        );
        assert!(!zones.is_lost(&zone("a")) && zones.hire_policy(&zone("a")) == HirePolicy::None);
        let later = Mono(90_000).plus(RECOVERY_MS);
        zones.observe(&observations(all_reporting(1, 94_000), all_reporting(100, 95_000)), later);
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
    }

    /// A partition may deliver a delayed report once, at any time: guards against hires after a
    /// single report that was minutes old.
    #[test]
    fn single_late_report_does_not_end_a_loss() {
        let mut zones = ZoneStates::default();
        zones.observe(&observations(all_silent(9), all_reporting(100, 20_000)), Mono(20_000));
        zones.observe(
            &observations(all_reporting(1, 40_000), all_reporting(100, 40_000)),
            Mono(40_000),
        );
        let later = Mono(40_000).plus(RECOVERY_MS);
        zones.observe(&observations(all_reporting(1, 40_000), all_reporting(100, 45_000)), later);
        assert_eq!(zones.state(&zone("a")), ZoneState::Lost { since: Mono(20_000) });
    }

    /// Guards against a zone in which no machine was ever hired again: its last machine reported
    /// once and was released during the recovery, so nothing was left to observe. The same holds
    /// for a zone whose expected machines never reported.
    #[test]
    fn zone_emptied_during_recovery_is_probed_again() {
        let mut zones = ZoneStates::default();
        let others = || [(zone("b"), all_reporting(100, 500_000))].into();
        zones.observe(&observations(all_silent(9), all_reporting(100, 20_000)), Mono(20_000));
        zones.observe(
            &observations(all_reporting(1, 200_000), all_reporting(100, 200_000)),
            Mono(200_000),
        );
        assert!(matches!(zones.state(&zone("a")), ZoneState::Recovering { .. }));
        assert_eq!(
            zones.due_probes(Mono(200_000), |_| true),
            [zone("a")],
            "before the recovery time is over"
        );
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::None);
        let later = Mono(200_000).plus(RECOVERY_MS);
        zones.observe(&others(), later);
        assert!(zones.is_lost(&zone("a")));
        assert_eq!(zones.due_probes(Mono(500_000), |_| false), [zone("a")]);
        let three_expected =
            ZoneObservation { expected: MIN_SILENT_MACHINES, ..ZoneObservation::default() };
        let mut zones = ZoneStates::default();
        zones.observe(&observations(three_expected, all_reporting(100, 20_000)), Mono(20_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::None);
        zones.observe(&others(), Mono(21_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
    }

    /// A controller that receives no reports was cut off itself, or an outage has just ended.
    #[test]
    fn silence_of_all_zones_is_no_evidence() {
        let mut zones = ZoneStates::default();
        zones.observe(&observations(all_silent(250), all_silent(100)), Mono(20_000));
        assert!(
            ["a", "b"].iter().all(|name| zones.hire_policy(&zone(name)) == HirePolicy::AsNeeded)
        );
    }

    /// Several machines that fail at once, or a partition of a part of the zone, do not stop hires.
    #[test]
    fn zone_with_any_report_is_not_lost() {
        let mut zones = ZoneStates::default();
        let some =
            ZoneObservation { silent: 249, machines_reporting: 1, ..all_reporting(250, 20_000) };
        zones.observe(&observations(some, all_reporting(100, 20_000)), Mono(20_000));
        assert_eq!(zones.state(&zone("a")), ZoneState::Suspected);
        assert!(some.is_cut() && zones.hire_policy(&zone("a")) == HirePolicy::AsNeeded);
        zones.observe(&observations(all_silent(2), all_reporting(100, 40_000)), Mono(40_000));
        assert_eq!(
            zones.hire_policy(&zone("a")),
            HirePolicy::OneAtATime,
            "two silent machines are not enough evidence"
        );
    }

    /// Guards against hiring many machines in a zone whose few machines fell silent: one at a time,
    /// until one reports, or enough are silent for the zone to count as lost.
    #[test]
    fn few_silent_machines_allow_one_hire_at_a_time() {
        let one = ZoneObservation { overdue: 1, ..ZoneObservation::default() };
        for machine_reports in [true, false] {
            let mut zones = ZoneStates::default();
            zones.observe(&observations(all_silent(1), all_reporting(100, 20_000)), Mono(20_000));
            assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::OneAtATime);
            zones.observe(
                &observations(ZoneObservation::default(), all_reporting(100, 60_000)),
                Mono(60_000),
            );
            assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::OneAtATime);
            zones.observe(&observations(one, all_reporting(100, 90_000)), Mono(90_000));
            assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::OneAtATime);
            if machine_reports {
                zones.observe(
                    &observations(all_reporting(1, 95_000), all_reporting(100, 95_000)),
                    Mono(95_000),
                );
                assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::OneAtATime);
                zones.observe(
                    &observations(all_reporting(1, 98_000), all_reporting(100, 98_000)),
                    Mono(98_000),
                );
                assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
            } else {
                let three = ZoneObservation { overdue: 3, expected: 3, ..one };
                zones.observe(&observations(three, all_reporting(100, 120_000)), Mono(120_000));
                assert!(zones.is_lost(&zone("a")));
            }
        }
    }

    /// Guards against hires in a lost zone by a leader that starts without state after all
    /// controllers ended at once: where machines should be, it waits for the first report.
    #[test]
    fn leader_without_state_waits_for_first_report() {
        let expecting = ZoneObservation { expected: 9, ..ZoneObservation::default() };
        let mut zones = ZoneStates::default();
        zones.observe(&observations(expecting, expecting), Mono(1_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::None);
        zones.observe(&observations(expecting, all_reporting(3, 2_000)), Mono(2_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::None);
        assert_eq!(zones.hire_policy(&zone("b")), HirePolicy::AsNeeded);
        let overdue = ZoneObservation { overdue: 9, ..expecting };
        zones.observe(&observations(overdue, all_reporting(9, 19_000)), Mono(20_000));
        assert!(zones.is_lost(&zone("a")));
        // Few machines, or none that is expected to report, delay nothing; nor do those that turn
        // out to be gone.
        let mut zones = ZoneStates::default();
        zones.observe(
            &observations(ZoneObservation { expected: 2, ..ZoneObservation::default() }, expecting),
            Mono(1_000),
        );
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
        zones.observe(
            &observations(ZoneObservation::default(), ZoneObservation::default()),
            Mono(2_000),
        );
        assert_eq!(zones.hire_policy(&zone("b")), HirePolicy::AsNeeded);
        // Silence of all zones is no evidence, and delays hires only until the reports are overdue.
        let mut zones = ZoneStates::default();
        zones.observe(&observations(expecting, expecting), Mono(1_000));
        zones.observe(&observations(overdue, overdue), Mono(20_000));
        assert_eq!(zones.hire_policy(&zone("a")), HirePolicy::AsNeeded);
    }

    #[test]
    fn recovery_time_doubles_with_each_loss() {
        let mut zones = ZoneStates::default();
        let (mut now, mut last) = (10_000, 0);
        for _ in 0..8 {
            zones.observe(&observations(all_silent(9), all_reporting(9, now)), Mono(now));
            now += 20_000;
            zones.observe(&observations(all_reporting(9, now), all_reporting(9, now)), Mono(now));
            let ZoneState::Recovering { until, .. } = zones.state(&zone("a")) else { panic!() };
            let recovery_ms = until.since(Mono(now)).0;
            assert!(recovery_ms >= last && recovery_ms <= MAX_RECOVERY_MS.0);
            last = recovery_ms;
            now += 20_000;
        }
        assert_eq!(last, MAX_RECOVERY_MS.0);
        // A loss long afterwards counts as the first one again.
        now += FLAP_WINDOW_MS.0 + MAX_RECOVERY_MS.0;
        zones.observe(&observations(all_reporting(9, now), all_reporting(9, now)), Mono(now));
        zones.observe(&observations(all_silent(9), all_reporting(9, now)), Mono(now));
        now += 1;
        zones.observe(&observations(all_reporting(9, now), all_reporting(9, now)), Mono(now));
        let until = Mono(now).plus(RECOVERY_MS);
        assert_eq!(zones.state(&zone("a")), ZoneState::Recovering { since: Mono(now), until });
    }

    /// The next leader takes over the states of the zones, and its own observations correct them.
    #[test]
    fn next_leader_takes_over_lost_zones() {
        let mut zones = ZoneStates::default();
        zones.observe(&observations(all_silent(9), all_reporting(9, 10_000)), Mono(10_000));
        let reports = zones.report(Mono(25_000));
        let mut next = ZoneStates::default();
        next.restore(&reports, Mono(1_000_000));
        assert_eq!(next.state(&zone("a")), ZoneState::Lost { since: Mono(985_000) });
        assert!(next.due_probes(Mono(1_000_000), |_| true).is_empty());
        let probe = Mono(985_000).plus(PROBE_PERIOD_MS);
        assert_eq!(next.due_probes(probe, |_| true), [zone("a")]);
        next.record_probe(&zone("a"), probe);
        assert!(next.due_probes(probe, |_| true).is_empty(), "one probe per period");
        next.observe(
            &observations(all_reporting(4, 1_000_001), all_reporting(9, 1_000_001)),
            Mono(1_000_001),
        );
        assert!(!next.is_lost(&zone("a")));
        // The same with few machines.
        let mut zones = ZoneStates::default();
        zones.observe(&observations(all_silent(1), all_reporting(9, 10_000)), Mono(10_000));
        let mut next = ZoneStates::default();
        next.restore(&zones.report(Mono(25_000)), Mono(1_000_000));
        assert_eq!(next.hire_policy(&zone("a")), HirePolicy::OneAtATime);
        // Ages larger than the clock's reading saturate.
        ZoneStates::default().restore(&reports, Mono(3));
    }

    /// For any sequence of observations, a zone with reports is never lost, and a lost zone without
    /// reports stays lost.
    #[test]
    fn seeded_random_walks_keep_lost_invariant() {
        const NAMES: [&str; 3] = ["a", "b", "c"];
        for seed in 0..200 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut zones = ZoneStates::default();
            let mut now = Mono(1_000_000);
            for _ in 0..300 {
                now = now.plus(Millis(rng.random_range(100..15_000)));
                let mut observed = BTreeMap::new();
                for name in NAMES {
                    if rng.random_bool(0.2) {
                        continue;
                    }
                    let machines_known = rng.random_range(0..6);
                    let machines_reporting =
                        if rng.random_bool(0.5) { 0 } else { rng.random_range(0..=machines_known) };
                    let silent = rng.random_range(0..=machines_known - machines_reporting);
                    let latest = (machines_reporting > 0).then_some(now);
                    let overdue = rng.random_range(0..3);
                    let expected = overdue + rng.random_range(0..3);
                    let observation = ZoneObservation {
                        machines_known,
                        silent,
                        machines_reporting,
                        latest,
                        expected,
                        overdue,
                    };
                    observed.insert(zone(name), observation);
                }
                let before = NAMES.map(|name| zones.state(&zone(name)));
                zones.observe(&observed, now);
                for (name, before) in NAMES.iter().zip(before) {
                    let reporting = observed.get(&zone(name)).map_or(0, |o| o.machines_reporting);
                    let after = zones.state(&zone(name));
                    let is_lost = |s: ZoneState| matches!(s, ZoneState::Lost { .. });
                    assert!(
                        !(is_lost(after) && reporting > 0),
                        "seed {seed}: {name} reports and is lost"
                    );
                    if is_lost(before) {
                        assert_eq!(
                            zones.hire_policy(&zone(name)),
                            HirePolicy::None,
                            "seed {seed}: {name}"
                        );
                        assert!(
                            reporting > 0 || after == before,
                            "seed {seed}: {name} is not lost any more without reports"
                        );
                    }
                }
            }
        }
    }
}
