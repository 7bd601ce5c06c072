//! What stands in the state service: the key by which a share is owned.

use crate::constants::{OWNER_PREFIX, SHARES};
use oatloom_protocol::ids::{HostId, Member};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A part of the machines. A machine belongs to one by its name and never changes: its worker drops tokens lower than
/// the highest it has seen, and would be deaf to the owner of a share with an older key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShareId(pub u16);

impl ShareId {
    /// The share of a machine.
    pub fn of(host: &HostId) -> Self {
        Self((crc32fast::hash(host.as_str().as_bytes()) % u32::from(SHARES)) as u16)
    }

    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARES).map(Self)
    }

    /// The key that stands for its ownership.
    pub fn key(self) -> String {
        format!("{OWNER_PREFIX}{:02}", self.0)
    }

    /// Reads a key of that form.
    pub fn parse(key: &str) -> Option<Self> {
        let number: u16 = key.strip_prefix(OWNER_PREFIX)?.parse().ok()?;
        (number < SHARES && Self(number).key() == key).then_some(Self(number))
    }
}

impl fmt::Display for ShareId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Content of a share's key. The key's revision is the token of the share's workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    pub member: Member,
    /// A number drawn with each lease under which the member writes keys. What was written under an earlier lease, be it
    /// of this life of its process or an earlier one, is not its own any more.
    pub lease: u64,
}

/// What was read of a share's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    Owned(OwnerRecord),
    /// It stands there and makes no sense. It is set aside: whoever is to own the share writes it anew.
    Damaged,
}

impl Read {
    pub fn of(value: &serde_json::Value) -> Self {
        serde_json::from_value(value.clone()).map_or(Self::Damaged, Self::Owned)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn machines_spread_evenly_and_keys_are_read_back() {
        let mut counts = [0_u32; SHARES as usize];
        for n in 0..24_000 {
            let host = HostId::new(&format!("i-{n:06}"));
            counts[usize::from(ShareId::of(&host).0)] += 1;
            assert_eq!(ShareId::of(&host), ShareId::of(&host));
        }
        assert!(counts.iter().all(|n| (900..1_100).contains(n)), "{counts:?}");
        for share in ShareId::all() {
            assert_eq!(ShareId::parse(&share.key()), Some(share));
        }
        for odd in ["own/24", "own/1", "own/x", "own/", "asg/01", "own/-1", "own/001"] {
            assert_eq!(ShareId::parse(odd), None, "{odd}");
        }
        let odd = serde_json::json!({"member": 7});
        assert_eq!(Read::of(&odd), Read::Damaged);
    }
}
