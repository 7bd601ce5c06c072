//! One other controller.

use crate::constants::*;
use crate::gossip::{Gossip, Incarnation};
use oatloom_protocol::ids::{Member, Mono};
use std::collections::BTreeMap;

/// Where another controller stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// Nothing was ever heard of it.
    #[default]
    Unknown,
    Alive,
    /// Its process began anew and cannot take requests yet.
    Restarted {
        since: Mono,
    },
    /// Silent on all paths.
    Suspected {
        since: Mono,
    },
    /// Silent for so long that it is not reckoned with.
    Gone {
        since: Mono,
    },
}

/// Whether messages reach it from here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Line {
    #[default]
    Untried,
    Good,
    /// The last one did not arrive, or was not answered.
    Cut {
        since: Mono,
    },
}

#[derive(Debug, Default)]
pub(crate) struct Peer {
    pub presence: Presence,
    pub line: Line,
    pub incarnation: Option<Incarnation>,
    /// When its own words came last, and when it had said them by its time of day.
    heard: Option<(Mono, u64)>,
    pub store_ms: Option<u64>,
    /// When third ones had heard this life of it last.
    pub thirds: BTreeMap<Member, Mono>,
    /// When its key was last seen in the state service.
    pub key: Option<Mono>,
    /// When it was last spoken to.
    pub spoken: Option<Mono>,
}

impl Peer {
    /// The one place where the presence changes.
    fn enter(&mut self, member: &Member, presence: Presence, why: &str) {
        log::info!("member {member}: {:?} -> {presence:?} ({why})", self.presence);
        self.presence = presence;
    }

    /// The one place where the line's state changes.
    pub fn line_enter(&mut self, line: Line) {
        // A cut lasts from its first failure on.
        if !matches!((self.line, line), (Line::Cut { .. }, Line::Cut { .. })) {
            self.line = line;
        }
    }

    pub fn heard_at(&self) -> Option<Mono> {
        self.heard.map(|(at, _)| at)
    }

    /// Whether words are news: of this life or a newer one, and later than the last. The time of day is bounded, not
    /// exact: a life that seems to be older, and goes on speaking when the newer one has fallen silent, is the newer one.
    pub fn newer(&self, gossip: &Gossip, awake: Mono, now: Mono) -> bool {
        let Some(known) = self.incarnation else { return true };
        let (heard, said_ms) = self.heard.unwrap_or_default();
        if gossip.incarnation == known {
            return self.heard.is_none() || gossip.at_ms > said_ms;
        }
        gossip.incarnation > known || now.since(heard.max(awake)) > SUSPECT_MS
    }

    /// Its own words came.
    pub fn heard(&mut self, gossip: &Gossip, now: Mono) {
        let known = self.incarnation.replace(gossip.incarnation);
        let anew = known.is_some_and(|known| known != gossip.incarnation);
        if anew {
            // What was known of the life before says nothing of this one.
            self.thirds.clear();
            self.key = None;
        }
        self.heard = Some((now, gossip.at_ms));
        self.store_ms = gossip.store_ms;
        self.line_enter(Line::Good);
        let next = match (gossip.ready, self.presence) {
            (true, _) => Presence::Alive,
            (false, Presence::Alive) if !anew => Presence::Alive,
            (false, Presence::Restarted { since }) if !anew => Presence::Restarted { since },
            (false, _) => Presence::Restarted { since: now },
        };
        if next != self.presence {
            let why = if anew { "a new life of its process" } else { "its own words" };
            self.enter(&gossip.from, next, why);
        }
    }

    /// A third one had heard it at `at`. Of another life of it that says nothing.
    pub fn told_of(&mut self, by: &Member, incarnation: Incarnation, at: Mono) {
        if self.incarnation.is_none_or(|known| incarnation > known) {
            self.incarnation = Some(incarnation);
            self.heard = None;
            self.thirds.clear();
        }
        if self.incarnation == Some(incarnation) {
            let known = self.thirds.entry(by.clone()).or_default();
            *known = (*known).max(at);
        }
    }

    /// The latest sign of life on any path.
    fn sign(&self) -> Option<Mono> {
        self.heard_at().into_iter().chain(self.thirds.values().copied()).chain(self.key).max()
    }

    /// What silence has come to mean.
    pub fn look(&mut self, member: &Member, awake: Mono, now: Mono) {
        let Some(sign) = self.sign() else { return };
        let silent = now.since(sign.max(awake));
        match self.presence {
            // Only third ones have heard of it so far.
            Presence::Unknown if silent <= SUSPECT_MS => {
                self.enter(member, Presence::Alive, "a third one hears it");
            }
            Presence::Alive | Presence::Restarted { .. } if silent > SUSPECT_MS => {
                self.enter(member, Presence::Suspected { since: now }, "silent on all paths");
            }
            Presence::Suspected { .. } | Presence::Gone { .. }
                if silent <= SUSPECT_MS && sign > awake =>
            {
                self.enter(member, Presence::Alive, "a sign of life");
            }
            Presence::Suspected { .. } if silent > GONE_MS => {
                self.enter(member, Presence::Gone { since: now }, "silent for too long");
            }
            _ => {}
        }
    }

    pub fn greet_due(&self, now: Mono) -> bool {
        let every =
            if matches!(self.presence, Presence::Gone { .. }) { GREET_GONE_MS } else { GREET_MS };
        // One that never spoke may not know how to: a third one has to have heard it.
        let speaks = self.heard.is_some() || !self.thirds.is_empty();
        speaks && self.spoken.is_none_or(|at| now.since(at) >= every)
    }
}
