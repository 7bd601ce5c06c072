//! Failure detection among the controllers by gossip: from the peers' own messages, the reports of
//! third controllers, and the presence of the peers' keys in the state service. Deterministic: it
//! does no I/O and takes the time as an argument. The result is only an estimate: who may lead or
//! give orders to workers is decided by leases of the state service alone.

pub mod constants;
mod gossip;
mod peer;

pub use gossip::{Gossip, Incarnation, LocalStatus, PeerReport};
pub use peer::{LinkState, Presence};

use constants::*;
use oatloom_protocol::ids::{Member, Mono, Now};
use peer::Peer;
use std::collections::{BTreeMap, BTreeSet};

/// Why a gossip message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum RejectReason {
    #[error("the sender is not a member")]
    UnknownMember,
    #[error("another process uses the name of this controller")]
    DuplicateName,
    #[error("it has another protocol version")]
    VersionMismatch,
    #[error("it is older than the last message, or of an earlier incarnation")]
    Stale,
    #[error("its time of sending lies in the future")]
    ClockAhead,
    #[error("it was delayed in the network")]
    Delayed,
}

/// What one controller knows about the others.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    incarnation: Incarnation,
    peers: BTreeMap<Member, Peer>,
    /// Silence before this time doesn't count: this controller was not running, or was frozen.
    listening_since: Mono,
    last_active: Mono,
    rejected: BTreeMap<RejectReason, u64>,
}

impl Membership {
    /// Creates the state of a controller that starts now. `nonce` distinguishes its incarnation
    /// from those before.
    pub fn new(me: Member, peers: impl IntoIterator<Item = Member>, nonce: u64, now: Now) -> Self {
        let incarnation = Incarnation { started_ms: now.wall_ms, nonce };
        let peers =
            peers.into_iter().filter(|peer| *peer != me).map(|peer| (peer, Peer::default()));
        let peers = peers.collect();
        let (listening_since, last_active) = (now.mono, now.mono);
        Self { me, incarnation, peers, listening_since, last_active, rejected: BTreeMap::new() }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Processes a gossip message of another controller.
    pub fn receive(&mut self, gossip: &Gossip, now: Now) -> Result<(), RejectReason> {
        let result = self.apply(gossip, now);
        if let Err(reason) = result {
            let count = self.rejected.entry(reason).or_default();
            *count += 1;
            // Logged once per reason, since a persistent cause would repeat it with each message.
            if *count == 1 {
                log::warn!("membership: rejected a gossip message of {}: {reason}", gossip.from);
            }
        }
        result
    }

    fn apply(&mut self, gossip: &Gossip, now: Now) -> Result<(), RejectReason> {
        self.detect_freeze(now.mono);
        if gossip.from == self.me {
            return Err(RejectReason::DuplicateName);
        }
        if !self.peers.contains_key(&gossip.from) {
            return Err(RejectReason::UnknownMember);
        }
        if gossip.version != GOSSIP_VERSION {
            return Err(RejectReason::VersionMismatch);
        }
        let latest_valid_ms = now.wall_ms.saturating_add(MAX_CLOCK_AHEAD_MS.0);
        if gossip.at_ms > latest_valid_ms || gossip.incarnation.started_ms > latest_valid_ms {
            return Err(RejectReason::ClockAhead);
        }
        let age_ms = now.wall_ms.saturating_sub(gossip.at_ms);
        if age_ms > MAX_MESSAGE_AGE_MS.0 {
            return Err(RejectReason::Delayed);
        }
        let listening_since = self.listening_since;
        let Some(peer) = self.peers.get_mut(&gossip.from) else {
            return Err(RejectReason::UnknownMember);
        };
        if !peer.is_newer(gossip, listening_since, now.mono) {
            return Err(RejectReason::Stale);
        }
        peer.on_gossip(gossip, now.mono);
        for report in gossip.peer_reports.iter().take(MAX_REPORTED_PEERS) {
            // The delivery delay of the report is unknown, up to a second or two; the peer can't
            // have been heard later than this.
            let heard_at = Mono(now.mono.0.saturating_sub(report.heard_ms));
            if let Some(other) = self.peers.get_mut(&report.member) {
                other.on_peer_report(&gossip.from, report.incarnation, heard_at);
            }
        }
        self.update_presence(now.mono);
        Ok(())
    }

    /// Records that a message to a peer was not delivered or not answered. The fault may lie on
    /// this link alone.
    pub fn record_unreachable(&mut self, peer: &Member, now: Mono) {
        self.detect_freeze(now);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.set_link(LinkState::Down { since: now });
        }
        self.update_presence(now);
    }

    /// Records that a read of the state service showed the peer's key, which exists under the
    /// peer's lease.
    pub fn record_key_seen(&mut self, peer: &Member, now: Mono) {
        self.detect_freeze(now);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.key_seen = Some(now);
        }
        self.update_presence(now);
    }

    /// Updates the presence of all peers and returns those that are due a greeting. To be called at
    /// least every 500 ms.
    pub fn tick(&mut self, now: Mono) -> Vec<Member> {
        self.detect_freeze(now);
        self.update_presence(now);
        let is_due = |(_, peer): &(&Member, &Peer)| peer.is_greeting_due(now);
        self.peers.iter().filter(is_due).map(|(member, _)| member.clone()).collect()
    }

    fn detect_freeze(&mut self, now: Mono) {
        if now.since(self.last_active) > FREEZE_THRESHOLD_MS {
            log::info!(
                "membership: this controller was frozen for {} ms",
                now.since(self.last_active).0
            );
            self.listening_since = now;
        }
        self.last_active = self.last_active.max(now);
    }

    fn update_presence(&mut self, now: Mono) {
        for (member, peer) in &mut self.peers {
            peer.update_presence(member, self.listening_since, now);
        }
    }

    /// Builds the gossip message for `to`.
    pub fn gossip_for(&mut self, to: &Member, own: LocalStatus, now: Now) -> Gossip {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.last_sent = Some(now.mono);
        }
        let mut gossip = Gossip::new(self.me.clone(), self.incarnation, now.wall_ms, own);
        for (member, peer) in &self.peers {
            if let (Some(incarnation), Some(heard)) = (peer.incarnation, peer.last_received_at())
                && member != to
            {
                let heard_ms = now.mono.since(heard).0;
                gossip.add_report(PeerReport { member: member.clone(), incarnation, heard_ms });
            }
        }
        gossip
    }

    pub fn presence(&self, peer: &Member) -> Presence {
        self.peers.get(peer).map_or(Presence::Unknown, |peer| peer.presence)
    }

    pub fn incarnation_of(&self, peer: &Member) -> Option<Incarnation> {
        self.peers.get(peer)?.incarnation
    }

    /// State of the link to the peer, as of the last message.
    pub fn link(&self, peer: &Member) -> LinkState {
        self.peers.get(peer).map_or(LinkState::Untried, |peer| peer.link)
    }

    /// When the state service last served any peer, by the peers' own recent messages.
    pub fn store_served_at(&self, now: Mono) -> Option<Mono> {
        let served_at = |peer: &Peer| {
            let heard = peer.last_received_at().filter(|at| now.since(*at) <= SUSPECT_AFTER_MS)?;
            Some(Mono(heard.0.saturating_sub(peer.store_ms?)))
        };
        self.peers.values().filter_map(served_at).max()
    }

    /// Whether the state service served any peer within the last `fresh_ms`, by the peers' own
    /// recent messages.
    pub fn store_serves(&self, fresh_ms: u64, now: Mono) -> bool {
        self.store_served_at(now).is_some_and(|at| now.since(at).0 <= fresh_ms)
    }

    /// Whether all peers are suspected or gone; `false` if there are none, or if one was never
    /// heard of.
    pub fn all_silent(&self) -> bool {
        let silent = |peer: &Peer| {
            matches!(peer.presence, Presence::Suspected { .. } | Presence::Gone { .. })
        };
        !self.peers.is_empty() && self.peers.values().all(silent)
    }

    /// A peer that is alive, reachable from here and has recently heard `target`: messages to
    /// `target` can be relayed by it.
    pub fn relay_for(&self, target: &Member, now: Mono) -> Option<&Member> {
        let is_recent = |at: &Mono| now.since(*at) <= SUSPECT_AFTER_MS;
        let is_heard_by = |member: &Member| {
            let last_heard = self.peers.get(target).and_then(|peer| peer.heard_by.get(member));
            last_heard.is_some_and(is_recent)
        };
        let usable = |(member, peer): &(&Member, &Peer)| {
            *member != target
                && peer.presence == Presence::Alive
                && !matches!(peer.link, LinkState::Down { .. })
                && is_heard_by(member)
        };
        self.peers.iter().find(usable).map(|(member, _)| member)
    }

    /// Peers that are alive or restarting.
    pub fn present(&self) -> BTreeSet<&Member> {
        let present =
            |peer: &Peer| matches!(peer.presence, Presence::Alive | Presence::Restarted { .. });
        self.peers.iter().filter(|(_, peer)| present(peer)).map(|(member, _)| member).collect()
    }

    /// Number of rejected messages by reason.
    pub fn rejected(&self) -> &BTreeMap<RejectReason, u64> {
        &self.rejected
    }
}
