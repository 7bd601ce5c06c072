//! Sessions of clients: what is not detached lives as long as its session is heard of.

use crate::records::SessionRecord;
use oatloom_protocol::ids::{Millis, Mono, Revision};
use sha2::{Digest, Sha256};

/// Where a session stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its record is being written for the first time.
    Opening,
    Open,
    /// That it has ended is being written.
    Closing,
    /// That is durable: what is its own is being stopped.
    Ended,
}

#[derive(Debug)]
pub struct Session {
    pub record: SessionRecord,
    pub version: Revision,
    pub phase: Phase,
    /// When its client was last heard of, or when this leader began to listen.
    pub last_heartbeat: Mono,
    /// Graphs that end with it and are not over.
    pub open_graphs: u32,
    /// Who waits for its record.
    pub tickets: Vec<u64>,
}

impl Session {
    pub fn new(record: SessionRecord, version: Revision, now: Mono) -> Self {
        let phase = match (version, record.ended) {
            (Revision(0), _) => Phase::Opening,
            (_, true) => Phase::Ended,
            _ => Phase::Open,
        };
        Self { record, version, phase, last_heartbeat: now, open_graphs: 0, tickets: Vec::new() }
    }

    /// The one place where the phase changes.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.record.ended = matches!(phase, Phase::Closing | Phase::Ended);
    }

    /// Whether its client has been silent for too long.
    pub fn has_expired(&self, now: Mono) -> bool {
        self.phase == Phase::Open && now.since(self.last_heartbeat) > Millis(self.record.ttl_ms)
    }

    pub fn has_key(&self, key: &str) -> bool {
        self.record.key == hash_key(key)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What is kept of a key.
pub fn hash_key(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// What tells one request from another of the same name, over restarts and versions.
pub fn digest(request: &impl serde::Serialize) -> u64 {
    let text = serde_json::to_vec(request).unwrap_or_default();
    let hash = Sha256::digest(&text);
    hash.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_session_lapses_when_nobody_is_heard() {
        let record = SessionRecord {
            key: hash_key("secret-1"),
            owner: "red".into(),
            ttl_ms: 30_000,
            ended: false,
        };
        let mut session = Session::new(record, Revision(4), Mono(1_000));
        assert!(session.has_key("secret-1") && !session.has_key("secret-2"));
        assert!(!session.has_expired(Mono(31_000)) && session.has_expired(Mono(31_001)));
        session.enter(Phase::Closing);
        assert!(session.record.ended && !session.has_expired(Mono(99_000)));
    }
}
