//! Which controllers there are, as far as it shows: what they say themselves, what third ones say of them, and whether
//! their keys stand in the state service. `(word, now) -> presence`. Nothing here is ever a proof: who may lead or order
//! workers about is settled by leases of the state service alone.

pub mod constants;
mod gossip;
mod peer;

pub use gossip::{Gossip, Incarnation, Own, Word};
pub use peer::{Line, Presence};

use constants::*;
use oatloom_protocol::ids::{Member, Mono, Now};
use peer::Peer;
use std::collections::{BTreeMap, BTreeSet};

/// Why words were not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Ignored {
    #[error("it is no member")]
    Stranger,
    #[error("another process has this controller's name")]
    MyName,
    #[error("it speaks another version")]
    Version,
    #[error("it was said by an earlier life of its process, or before something newer")]
    Past,
    #[error("it comes from the future")]
    Future,
    #[error("it was held back on the way")]
    Late,
}

/// What one controller knows of the others.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    incarnation: Incarnation,
    peers: BTreeMap<Member, Peer>,
    /// Silence counts from here at the earliest.
    awake: Mono,
    turned: Mono,
    ignored: BTreeMap<Ignored, u64>,
}

impl Membership {
    /// Begins to listen. Of an own life, all that matters is that it has not been before.
    pub fn new(me: Member, peers: impl IntoIterator<Item = Member>, nonce: u64, now: Now) -> Self {
        let incarnation = Incarnation { started_ms: now.wall_ms, nonce };
        let peers =
            peers.into_iter().filter(|peer| *peer != me).map(|peer| (peer, Peer::default()));
        let peers = peers.collect();
        let (awake, turned) = (now.mono, now.mono);
        Self { me, incarnation, peers, awake, turned, ignored: BTreeMap::new() }
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes up what another controller said.
    pub fn take(&mut self, gossip: &Gossip, now: Now) -> Result<(), Ignored> {
        let taken = self.sort_in(gossip, now);
        if let Err(why) = taken {
            let count = self.ignored.entry(why).or_default();
            *count += 1;
            // Once: whatever is wrong goes on for as long as it is said.
            if *count == 1 {
                log::warn!("membership: words of {} are not taken up: {why}", gossip.from);
            }
        }
        taken
    }

    fn sort_in(&mut self, gossip: &Gossip, now: Now) -> Result<(), Ignored> {
        self.turn(now.mono);
        if gossip.from == self.me {
            return Err(Ignored::MyName);
        }
        if !self.peers.contains_key(&gossip.from) {
            return Err(Ignored::Stranger);
        }
        if gossip.version != VERSION {
            return Err(Ignored::Version);
        }
        let ahead = now.wall_ms.saturating_add(FUTURE_MS.0);
        if gossip.at_ms > ahead || gossip.incarnation.started_ms > ahead {
            return Err(Ignored::Future);
        }
        let age_ms = now.wall_ms.saturating_sub(gossip.at_ms);
        if age_ms > LATE_MS.0 {
            return Err(Ignored::Late);
        }
        let awake = self.awake;
        let Some(peer) = self.peers.get_mut(&gossip.from) else { return Err(Ignored::Stranger) };
        if !peer.newer(gossip, awake, now.mono) {
            return Err(Ignored::Past);
        }
        peer.heard(gossip, now.mono);
        for word in gossip.words.iter().take(WORDS_MOST) {
            // Its age on the way is not known but for a second or two: it cannot have been heard later than this.
            let at = Mono(now.mono.0.saturating_sub(word.heard_ms));
            if let Some(other) = self.peers.get_mut(&word.member) {
                other.told_of(&gossip.from, word.incarnation, at);
            }
        }
        self.look(now.mono);
        Ok(())
    }

    /// A message could not be brought to a peer, or nothing came back. It may be cut off from here alone.
    pub fn unreachable(&mut self, peer: &Member, now: Mono) {
        self.turn(now);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.line_enter(Line::Cut { since: now });
        }
        self.look(now);
    }

    /// A peer's key, which stands under its lease, was there when the state service was read.
    pub fn key(&mut self, peer: &Member, now: Mono) {
        self.turn(now);
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.key = Some(now);
        }
        self.look(now);
    }

    /// Has to be called at least every half second. Returns whom to greet.
    pub fn tick(&mut self, now: Mono) -> Vec<Member> {
        self.turn(now);
        self.look(now);
        let due = |(_, peer): &(&Member, &Peer)| peer.greet_due(now);
        self.peers.iter().filter(due).map(|(member, _)| member.clone()).collect()
    }

    fn turn(&mut self, now: Mono) {
        if now.since(self.turned) > FROZEN_MS {
            log::info!("membership: stood still for {} ms", now.since(self.turned).0);
            self.awake = now;
        }
        self.turned = self.turned.max(now);
    }

    fn look(&mut self, now: Mono) {
        for (member, peer) in &mut self.peers {
            peer.look(member, self.awake, now);
        }
    }

    /// What this controller says of itself and the others to `to`.
    pub fn say(&mut self, to: &Member, own: Own, now: Now) -> Gossip {
        if let Some(peer) = self.peers.get_mut(to) {
            peer.spoken = Some(now.mono);
        }
        let mut gossip = Gossip::new(self.me.clone(), self.incarnation, now.wall_ms, own);
        for (member, peer) in &self.peers {
            if let (Some(incarnation), Some(heard)) = (peer.incarnation, peer.heard_at())
                && member != to
            {
                let heard_ms = now.mono.since(heard).0;
                gossip.tell(Word { member: member.clone(), incarnation, heard_ms });
            }
        }
        gossip
    }

    pub fn presence(&self, peer: &Member) -> Presence {
        self.peers.get(peer).map_or(Presence::Unknown, |peer| peer.presence)
    }

    pub fn life_of(&self, peer: &Member) -> Option<Incarnation> {
        self.peers.get(peer)?.incarnation
    }

    /// Whether messages reach the peer, as far as the last one shows.
    pub fn line(&self, peer: &Member) -> Line {
        self.peers.get(peer).map_or(Line::Untried, |peer| peer.line)
    }

    /// When the state service served any peer last, by the peers' own fresh words.
    pub fn store_served_at(&self, now: Mono) -> Option<Mono> {
        let served_at = |peer: &Peer| {
            let heard = peer.heard_at().filter(|at| now.since(*at) <= SUSPECT_MS)?;
            Some(Mono(heard.0.saturating_sub(peer.store_ms?)))
        };
        self.peers.values().filter_map(served_at).max()
    }

    /// Whether any peer was served by the state service within the last `fresh_ms`, by its own fresh words.
    pub fn store_serves(&self, fresh_ms: u64, now: Mono) -> bool {
        self.store_served_at(now).is_some_and(|at| now.since(at).0 <= fresh_ms)
    }

    /// Whether all others have fallen silent, each of whom was heard before; `false` where there are none.
    pub fn all_silent(&self) -> bool {
        let silent = |peer: &Peer| {
            matches!(peer.presence, Presence::Suspected { .. } | Presence::Gone { .. })
        };
        !self.peers.is_empty() && self.peers.values().all(silent)
    }

    /// A peer that serves, is reached from here, and hears `whom`: what cannot go straight may go through it.
    pub fn through(&self, whom: &Member, now: Mono) -> Option<&Member> {
        let fresh = |at: &Mono| now.since(*at) <= SUSPECT_MS;
        let hears = |who: &Member| {
            let of = self.peers.get(whom).and_then(|peer| peer.thirds.get(who));
            of.is_some_and(fresh)
        };
        let open = |(member, peer): &(&Member, &Peer)| {
            *member != whom
                && peer.presence == Presence::Alive
                && !matches!(peer.line, Line::Cut { .. })
                && hears(member)
        };
        self.peers.iter().find(open).map(|(member, _)| member)
    }

    /// Peers that are not taken to be gone.
    pub fn there(&self) -> BTreeSet<&Member> {
        let there =
            |peer: &Peer| matches!(peer.presence, Presence::Alive | Presence::Restarted { .. });
        self.peers.iter().filter(|(_, peer)| there(peer)).map(|(member, _)| member).collect()
    }

    /// How often words were not taken up, and why.
    pub fn ignored(&self) -> &BTreeMap<Ignored, u64> {
        &self.ignored
    }
}
