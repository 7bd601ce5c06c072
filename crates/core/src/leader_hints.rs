//! Hints that a leader sends to its peers for the next leader.

use crate::constants::MAX_KEPT_HINT_MACHINES;
use oatloom_membership::Gossip;
use oatloom_protocol::ids::{HostId, Member, Token};
use oatloom_protocol::wire::JobSpec;
use oatloom_zones::ZoneReport;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a leader knows beyond the durable state. Losing it costs time but breaks no guarantee.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderHints {
    /// Fencing token of the leader.
    pub token: Token,
    /// The leader that holds this fencing token.
    #[serde(default)]
    pub leader: Option<Member>,
    /// Images present on machines, with their sizes.
    pub images: Vec<(HostId, Vec<(String, f64)>)>,
    /// For each class, the mean ratio of actual to estimated run time.
    #[serde(rename = "shown")]
    pub run_time_ratios: Vec<(String, f64)>,
    /// For each class its latest job, and how long ago (ms) its jobs arrived.
    pub arrivals: Vec<(JobSpec, Vec<u64>)>,
    /// Gossip of the leader about itself and the other controllers.
    #[serde(default)]
    pub gossip: Option<Gossip>,
    /// Zones that are lost or were lost recently.
    #[serde(default)]
    pub zones: Vec<ZoneReport>,
}

impl LeaderHints {
    /// Merges new hints into earlier ones of the same leader. Each message covers a part of the
    /// fleet, so that its size does not grow with the fleet.
    pub fn merge(previous: Option<Self>, mut latest: Self) -> Self {
        let Some(mut previous) = previous.filter(|previous| previous.token == latest.token) else {
            return latest;
        };
        let renewed: BTreeSet<HostId> =
            latest.images.iter().map(|(host, _)| host.clone()).collect();
        previous.images.retain(|(host, _)| !renewed.contains(host));
        let remaining = MAX_KEPT_HINT_MACHINES.saturating_sub(latest.images.len());
        let first_kept = previous.images.len().saturating_sub(remaining);
        latest.images.splice(..0, previous.images.drain(first_kept..));
        latest
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hints about parts of a fleet accumulate up to a bound, and a new leader's replace them.
    /// Hints about the whole fleet in one message exceeded the frame size.
    #[test]
    fn partial_hints_accumulate_up_to_a_bound() {
        let hints = |token, hosts: std::ops::Range<usize>| LeaderHints {
            token: Token(token),
            images: hosts.map(|n| (HostId::new(&format!("i-{n:06}")), Vec::new())).collect(),
            ..LeaderHints::default()
        };
        let previous = LeaderHints::merge(Some(hints(1, 0..100)), hints(1, 50..200));
        assert_eq!(previous.images.len(), 200);
        let previous =
            LeaderHints::merge(Some(previous), hints(1, 200..2 * MAX_KEPT_HINT_MACHINES));
        assert!(previous.images.len() >= MAX_KEPT_HINT_MACHINES);
        let previous =
            LeaderHints::merge(Some(hints(1, 0..MAX_KEPT_HINT_MACHINES)), hints(1, 0..90));
        assert_eq!(previous.images.len(), MAX_KEPT_HINT_MACHINES);
        assert_eq!(LeaderHints::merge(Some(previous), hints(2, 0..3)).images.len(), 3);
    }
}
