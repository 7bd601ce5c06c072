//! Gossip messages: what a controller reports about itself and its peers.

use crate::constants::{GOSSIP_VERSION, MAX_REPORTED_PEERS};
use oatloom_protocol::ids::{Member, Token};
use serde::{Deserialize, Serialize};

/// Identifies one run of a controller's process. The incarnation with the later start is the newer
/// one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Wall-clock time of the process start, ms.
    pub started_ms: u64,
    /// Distinguishes incarnations with equal start times.
    pub nonce: u64,
}

/// What a controller reports about one of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    pub member: Member,
    pub incarnation: Incarnation,
    /// Time since the reporting controller last received a message from the peer itself, ms.
    pub heard_ms: u64,
}

/// What a controller reports about itself and its peers. It is attached to the leader's messages to
/// its peers, and sent alone to peers that were sent nothing else for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    pub version: u32,
    pub from: Member,
    pub incarnation: Incarnation,
    /// Wall-clock time of sending, ms; identifies messages that were delayed in the network.
    pub at_ms: u64,
    /// Whether the sender can serve requests.
    pub ready: bool,
    /// Time since the state service last served the sender, ms; `None` if it never did.
    pub store_ms: Option<u64>,
    /// The leader known to the sender, with its fencing token.
    pub leader: Option<(Member, Token)>,
    #[serde(rename = "words")]
    pub peer_reports: Vec<PeerReport>,
}

impl Gossip {
    pub(crate) fn new(
        from: Member,
        incarnation: Incarnation,
        at_ms: u64,
        own: LocalStatus,
    ) -> Self {
        let LocalStatus { ready, store_ms, leader } = own;
        Self {
            version: GOSSIP_VERSION,
            from,
            incarnation,
            at_ms,
            ready,
            store_ms,
            leader,
            peer_reports: Vec::new(),
        }
    }

    pub(crate) fn add_report(&mut self, report: PeerReport) {
        if self.peer_reports.len() < MAX_REPORTED_PEERS {
            self.peer_reports.push(report);
        }
    }
}

/// A controller's own state, as it goes into its gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalStatus {
    pub ready: bool,
    pub store_ms: Option<u64>,
    pub leader: Option<(Member, Token)>,
}
