//! State of one share at one controller.

use oatloom_protocol::ids::Token;

/// A controller, by its index in the sorted list of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberIndex(pub u8);

/// Holder of a share's key, as last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyHolder {
    /// This process, under its current lease.
    CurrentLease,
    /// An earlier incarnation of this process, or this one under a lease that has ended. Nobody
    /// answers under this key any more, whatever the state service reports about that lease.
    FormerLease,
    Other(MemberIndex),
    /// The record can't be parsed, or names no member.
    Invalid,
}

/// A share's key, as last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// Not read yet.
    Unknown,
    /// The key doesn't exist as of this revision.
    Free {
        revision: Token,
    },
    Held {
        holder: KeyHolder,
        token: Token,
    },
}

impl KeyState {
    /// The revision up to which the key is known.
    pub fn revision(self) -> Token {
        match self {
            Self::Unknown => Token(0),
            Self::Free { revision } => revision,
            Self::Held { token, .. } => token,
        }
    }
}

/// Phase of a share's ownership at one controller. Only in [`SharePhase::Serving`] and
/// [`SharePhase::Draining`] does the controller answer the share's workers, and only in the former
/// does it give new orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SharePhase {
    /// Owned by another controller, or by none.
    NotOwned,
    /// The key was free and is being written.
    Claiming,
    /// The share was offered, belongs to a former lease of this controller, or has an invalid
    /// record: the key is being written over the one with this token.
    Acquiring {
        replaced: Token,
    },
    /// This controller holds the key; its copy of the records is not yet complete up to the key's
    /// revision.
    Syncing {
        token: Token,
    },
    Serving {
        token: Token,
    },
    /// The share is to move to `to`: no new orders are given while open writes are settled.
    Draining {
        token: Token,
        to: MemberIndex,
    },
    /// This controller no longer answers; `to` may write the key.
    HandedOver {
        token: Token,
        to: MemberIndex,
    },
    /// The move was abandoned: the key is being written again, which invalidates the offer.
    Reclaiming {
        token: Token,
    },
}
