//! What a controller says of itself and of the others.

use crate::constants::{VERSION, WORDS_MOST};
use oatloom_protocol::ids::{Member, Token};
use serde::{Deserialize, Serialize};

/// One life of a controller's process. Of two lives the one that began later is the newer one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// Time of day at its start, ms.
    pub started_ms: u64,
    /// Tells lives apart that began at the same time by two clocks.
    pub nonce: u64,
}

/// What a controller knows of another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub member: Member,
    pub incarnation: Incarnation,
    /// How long ago the other one's own words came, ms.
    pub heard_ms: u64,
}

/// What a controller says of itself and of the others. It goes along with notes, and alone to those to whom nothing
/// else was said for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    pub version: u32,
    pub from: Member,
    pub incarnation: Incarnation,
    /// Time of day when it was said, ms: tells words that were held back from fresh ones.
    pub at_ms: u64,
    /// Whether it can take requests.
    pub ready: bool,
    /// How long ago the state service last served it, ms; `None`: never.
    pub store_ms: Option<u64>,
    /// Who leads, as far as it knows.
    pub leader: Option<(Member, Token)>,
    pub words: Vec<Word>,
}

impl Gossip {
    pub(crate) fn new(from: Member, incarnation: Incarnation, at_ms: u64, own: Own) -> Self {
        let Own { ready, store_ms, leader } = own;
        Self {
            version: VERSION,
            from,
            incarnation,
            at_ms,
            ready,
            store_ms,
            leader,
            words: Vec::new(),
        }
    }

    pub(crate) fn tell(&mut self, word: Word) {
        if self.words.len() < WORDS_MOST {
            self.words.push(word);
        }
    }
}

/// What a controller knows of itself when it speaks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Own {
    pub ready: bool,
    pub store_ms: Option<u64>,
    pub leader: Option<(Member, Token)>,
}
