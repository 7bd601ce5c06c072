//! Records of the state service: the key that holds the owner of a share.

use crate::constants::{OWNER_KEY_PREFIX, SHARE_COUNT};
use oatloom_protocol::ids::{HostId, Member};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A fixed part of the machines, determined by a hash of the machine's name. A machine never
/// changes its share: its worker rejects tokens lower than the highest it has seen, and would
/// ignore the owner of another share whose key is older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShareId(pub u16);

impl ShareId {
    /// The share of a machine.
    pub fn of_host(host: &HostId) -> Self {
        Self((crc32fast::hash(host.as_str().as_bytes()) % u32::from(SHARE_COUNT)) as u16)
    }

    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARE_COUNT).map(Self)
    }

    /// The state-service key that holds the share's owner.
    pub fn key(self) -> String {
        format!("{OWNER_KEY_PREFIX}{:02}", self.0)
    }

    /// Parses a key written by [`ShareId::key`].
    pub fn from_key(key: &str) -> Option<Self> {
        let number: u16 = key.strip_prefix(OWNER_KEY_PREFIX)?.parse().ok()?;
        (number < SHARE_COUNT && Self(number).key() == key).then_some(Self(number))
    }
}

impl fmt::Display for ShareId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Value of a share's key. The revision of the key is the fencing token towards the share's
/// workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub member: Member,
    /// Random number of the lease under which the record was written. A record of a former lease,
    /// whether of this incarnation of the member or an earlier one, no longer makes it the owner.
    pub lease: u64,
}

/// A share's record as read from the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedRecord {
    Valid(OwnerRecord),
    /// The value can't be parsed. It is ignored until the planned owner of the share overwrites it.
    Invalid,
}

impl ParsedRecord {
    pub fn parse(value: &serde_json::Value) -> Self {
        serde_json::from_value(value.clone()).map_or(Self::Invalid, Self::Valid)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_spread_evenly_and_keys_are_read_back() {
        let mut counts = [0_u32; SHARE_COUNT as usize];
        for n in 0..24_000 {
            let host = HostId::new(&format!("i-{n:06}"));
            counts[usize::from(ShareId::of_host(&host).0)] += 1;
            assert_eq!(ShareId::of_host(&host), ShareId::of_host(&host));
        }
        assert!(counts.iter().all(|n| (900..1_100).contains(n)), "{counts:?}");
        for share in ShareId::all() {
            assert_eq!(ShareId::from_key(&share.key()), Some(share));
        }
        for invalid in ["own/24", "own/1", "own/x", "own/", "asg/01", "own/-1", "own/001"] {
            assert_eq!(ShareId::from_key(invalid), None, "{invalid}");
        }
        let invalid = serde_json::json!({"member": 7});
        assert_eq!(ParsedRecord::parse(&invalid), ParsedRecord::Invalid);
    }
}
