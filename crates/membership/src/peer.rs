//! State of one peer.

use crate::constants::*;
use crate::gossip::{Gossip, Incarnation};
use oatloom_protocol::ids::{Member, Mono};
use std::collections::BTreeMap;

/// Presence of a peer, as estimated by this controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// No message or report of it has arrived yet.
    #[default]
    Unknown,
    Alive,
    /// Its process restarted and can't serve requests yet.
    Restarted {
        since: Mono,
    },
    /// Silent on all routes for [`SUSPECT_AFTER_MS`].
    Suspected {
        since: Mono,
    },
    /// Silent for [`GONE_AFTER_MS`]; it is no longer relied on.
    Gone {
        since: Mono,
    },
}

/// State of the link from this controller to a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    Untried,
    Up,
    /// The last message was not delivered or not answered.
    Down {
        since: Mono,
    },
}

#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub presence: Presence,
    pub link: LinkState,
    pub incarnation: Option<Incarnation>,
    /// When the last message of the peer itself arrived, and its wall-clock time of sending, ms.
    last_received: Option<(Mono, u64)>,
    pub store_ms: Option<u64>,
    /// When other controllers last heard the peer's present incarnation.
    pub heard_by: BTreeMap<Member, Mono>,
    /// When its key was last seen in the state service.
    pub key_seen: Option<Mono>,
    /// When a message was last sent to it.
    pub last_sent: Option<Mono>,
}

impl Peer {
    /// The only place where the presence changes.
    fn set_presence(&mut self, member: &Member, presence: Presence, reason: &str) {
        log::info!("member {member}: {:?} -> {presence:?} ({reason})", self.presence);
        self.presence = presence;
    }

    /// The only place where the link state changes.
    pub fn set_link(&mut self, link: LinkState) {
        // A failure that persists keeps the time of its first occurrence.
        if !matches!((self.link, link), (LinkState::Down { .. }, LinkState::Down { .. })) {
            self.link = link;
        }
    }

    pub fn last_received_at(&self) -> Option<Mono> {
        self.last_received.map(|(at, _)| at)
    }

    /// Whether a message is newer than what is known: of the same incarnation and sent later, or of
    /// a newer incarnation. Start times are compared across clocks that are only roughly in step:
    /// if the incarnation with the earlier start still sends after the other has fallen silent, it
    /// is taken to be the newer one.
    pub fn is_newer(&self, gossip: &Gossip, listening_since: Mono, now: Mono) -> bool {
        let Some(known) = self.incarnation else { return true };
        let (received_at, sent_ms) = self.last_received.unwrap_or_default();
        if gossip.incarnation == known {
            return self.last_received.is_none() || gossip.at_ms > sent_ms;
        }
        gossip.incarnation > known || now.since(received_at.max(listening_since)) > SUSPECT_AFTER_MS
    }

    /// Processes a message of the peer itself.
    pub fn on_gossip(&mut self, gossip: &Gossip, now: Mono) {
        let known = self.incarnation.replace(gossip.incarnation);
        let restarted = known.is_some_and(|known| known != gossip.incarnation);
        if restarted {
            // Sightings of the previous incarnation don't apply to the new one.
            self.heard_by.clear();
            self.key_seen = None;
        }
        self.last_received = Some((now, gossip.at_ms));
        self.store_ms = gossip.store_ms;
        self.set_link(LinkState::Up);
        let next = match (gossip.ready, self.presence) {
            (true, _) => Presence::Alive,
            (false, Presence::Alive) if !restarted => Presence::Alive,
            (false, Presence::Restarted { since }) if !restarted => Presence::Restarted { since },
            (false, _) => Presence::Restarted { since: now },
        };
        if next != self.presence {
            let reason = if restarted { "its process restarted" } else { "it sent a message" };
            self.set_presence(&gossip.from, next, reason);
        }
    }

    /// Processes the report of another controller that it heard the peer at `at`. Reports on older
    /// incarnations are ignored.
    pub fn on_peer_report(&mut self, reporter: &Member, incarnation: Incarnation, at: Mono) {
        if self.incarnation.is_none_or(|known| incarnation > known) {
            self.incarnation = Some(incarnation);
            self.last_received = None;
            self.heard_by.clear();
        }
        if self.incarnation == Some(incarnation) {
            let known = self.heard_by.entry(reporter.clone()).or_default();
            *known = (*known).max(at);
        }
    }

    /// The latest sign of life on any route.
    fn last_sign_of_life(&self) -> Option<Mono> {
        self.last_received_at()
            .into_iter()
            .chain(self.heard_by.values().copied())
            .chain(self.key_seen)
            .max()
    }

    /// Updates the presence from the time since the last sign of life.
    pub fn update_presence(&mut self, member: &Member, listening_since: Mono, now: Mono) {
        let Some(last_sign) = self.last_sign_of_life() else { return };
        let silence = now.since(last_sign.max(listening_since));
        match self.presence {
            // Known only from reports of other controllers so far.
            Presence::Unknown if silence <= SUSPECT_AFTER_MS => {
                self.set_presence(member, Presence::Alive, "another controller hears it");
            }
            Presence::Alive | Presence::Restarted { .. } if silence > SUSPECT_AFTER_MS => {
                self.set_presence(
                    member,
                    Presence::Suspected { since: now },
                    "silent on all routes",
                );
            }
            Presence::Suspected { .. } | Presence::Gone { .. }
                if silence <= SUSPECT_AFTER_MS && last_sign > listening_since =>
            {
                self.set_presence(member, Presence::Alive, "a sign of life arrived");
            }
            Presence::Suspected { .. } if silence > GONE_AFTER_MS => {
                self.set_presence(member, Presence::Gone { since: now }, "silent past the limit");
            }
            _ => {}
        }
    }

    pub fn is_greeting_due(&self, now: Mono) -> bool {
        let interval = if matches!(self.presence, Presence::Gone { .. }) {
            GREETING_INTERVAL_GONE_MS
        } else {
            GREETING_INTERVAL_MS
        };
        // A peer that never sent gossip may run a version without it, unless another controller has
        // heard gossip from it.
        let sends_gossip = self.last_received.is_some() || !self.heard_by.is_empty();
        sends_gossip && self.last_sent.is_none_or(|at| now.since(at) >= interval)
    }
}
