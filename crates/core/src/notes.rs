//! Hints that a leader sends to its peers for the next leader.

use crate::constants::NOTES_MACHINES_KEPT;
use oatloom_membership::Gossip;
use oatloom_protocol::ids::{HostId, Member, Token};
use oatloom_protocol::wire::JobSpec;
use oatloom_zones::Told;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a leader knows beyond the durable state. Losing it costs time but breaks no guarantee.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    pub token: Token,
    /// The leader that holds this fencing token.
    #[serde(default)]
    pub leader: Option<Member>,
    /// Images present on machines, with their sizes.
    pub images: Vec<(HostId, Vec<(String, f64)>)>,
    /// For each class, the factor by which its run times are misestimated.
    pub shown: Vec<(String, f64)>,
    /// For each class its latest job, and how long ago (ms) its jobs arrived.
    pub arrivals: Vec<(JobSpec, Vec<u64>)>,
    /// Gossip of the leader about itself and the other controllers.
    #[serde(default)]
    pub gossip: Option<Gossip>,
    /// Zones that are lost or were lost recently.
    #[serde(default)]
    pub zones: Vec<Told>,
}

impl Notes {
    /// Merges new hints into earlier ones of the same leader. Each message covers a part of the
    /// fleet, so that its size does not grow with the fleet.
    pub fn joined(told: Option<Self>, mut news: Self) -> Self {
        let Some(mut told) = told.filter(|told| told.token == news.token) else { return news };
        let known: BTreeSet<HostId> = news.images.iter().map(|(host, _)| host.clone()).collect();
        told.images.retain(|(host, _)| !known.contains(host));
        let room = NOTES_MACHINES_KEPT.saturating_sub(news.images.len());
        let from = told.images.len().saturating_sub(room);
        news.images.splice(..0, told.images.drain(from..));
        news
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Hints about parts of a fleet accumulate up to a bound, and a new leader's replace them.
    /// Hints about the whole fleet in one message exceeded the frame size.
    #[test]
    fn notes_of_parts_add_up_to_a_bound() {
        let note = |token, hosts: std::ops::Range<usize>| Notes {
            token: Token(token),
            images: hosts.map(|n| (HostId::new(&format!("i-{n:06}")), Vec::new())).collect(),
            ..Notes::default()
        };
        let told = Notes::joined(Some(note(1, 0..100)), note(1, 50..200));
        assert_eq!(told.images.len(), 200);
        let told = Notes::joined(Some(told), note(1, 200..2 * NOTES_MACHINES_KEPT));
        assert!(told.images.len() >= NOTES_MACHINES_KEPT);
        let told = Notes::joined(Some(note(1, 0..NOTES_MACHINES_KEPT)), note(1, 0..90));
        assert_eq!(told.images.len(), NOTES_MACHINES_KEPT);
        assert_eq!(Notes::joined(Some(told), note(2, 0..3)).images.len(), 3);
    }
}
