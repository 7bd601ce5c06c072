//! Client sessions. Graphs that are not detached end when their session closes or misses its heartbeats.

use crate::records::SessionRecord;
use oatloom_protocol::ids::{Millis, Mono, Revision};
use sha2::{Digest, Sha256};

/// The lifecycle phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The record is being written for the first time.
    Opening,
    Open,
    /// The end is being written.
    Closing,
    /// The end is durable; the session's graphs are being stopped.
    Ended,
}

/// A session of a client.
#[derive(Debug)]
pub struct Session {
    pub record: SessionRecord,
    pub version: Revision,
    pub phase: Phase,
    /// Time of the last heartbeat, or when this leader began to accept heartbeats.
    pub last_heartbeat: Mono,
    /// Number of its open graphs that are not detached.
    pub open_graph_count: u32,
    /// Requests that wait for the write of the record.
    pub tickets: Vec<u64>,
}

impl Session {
    /// A session from its record: at version 0 the record is yet to be written.
    pub fn new(record: SessionRecord, version: Revision, now: Mono) -> Self {
        let phase = match (version, record.ended) {
            (Revision(0), _) => Phase::Opening,
            (_, true) => Phase::Ended,
            _ => Phase::Open,
        };
        Self {
            record,
            version,
            phase,
            last_heartbeat: now,
            open_graph_count: 0,
            tickets: Vec::new(),
        }
    }

    /// Changes the phase; all phase changes go through here.
    pub fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.record.ended = matches!(phase, Phase::Closing | Phase::Ended);
    }

    /// Whether the time to live has passed since the last heartbeat.
    pub fn has_expired(&self, now: Mono) -> bool {
        self.phase == Phase::Open && now.since(self.last_heartbeat) > Millis(self.record.ttl_ms)
    }

    /// Whether the session was opened with this key.
    pub fn has_key(&self, key: &str) -> bool {
        self.record.key == hash_key(key)
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The stored form of a key: its SHA-256 hash in hexadecimal.
pub fn hash_key(key: &str) -> String {
    to_hex(&Sha256::digest(key.as_bytes()))
}

/// Digest of a request's content, stable across restarts and versions.
pub fn compute_digest(request: &impl serde::Serialize) -> u64 {
    let text = serde_json::to_vec(request).unwrap_or_default();
    let hash = Sha256::digest(&text);
    hash.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_session_expires_without_heartbeats() {
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
