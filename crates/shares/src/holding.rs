//! One share as one controller sees it.

use oatloom_protocol::ids::Token;

/// A controller, by its place in the sorted list of all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seat(pub u8);

/// Who holds a share's key, as last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Holder {
    /// This very process, under its present lease.
    Me,
    /// An earlier life of this process, or this one under a lease that has ended: nobody answers by it any more, whatever
    /// the state service says of the lease.
    MyPast,
    Other(Seat),
    /// The record is damaged, or names no member.
    Nobody,
}

/// A share's key as last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Not read yet.
    Unread,
    /// Nobody's. The revision at which it was seen so.
    Free {
        seen: Token,
    },
    Held {
        by: Holder,
        token: Token,
    },
}

impl Key {
    /// The revision up to which it is known.
    pub fn seen(self) -> Token {
        match self {
            Self::Unread => Token(0),
            Self::Free { seen } => seen,
            Self::Held { token, .. } => token,
        }
    }
}

/// Where a share stands at one controller. Only [`Holding::Settled`] and [`Holding::Draining`] answer its workers, and
/// only the former gives new orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Holding {
    /// Another one's, or nobody's.
    Elsewhere,
    /// Its key was free, and is being written.
    Claiming,
    /// It was offered, or was an earlier life's, or its record is damaged: its key is being written over the one with
    /// this token.
    Taking {
        over: Token,
    },
    /// The key is this controller's; its copy of the records is not complete at the key's revision yet.
    Taken {
        token: Token,
    },
    Settled {
        token: Token,
    },
    /// It is to be another one's: no new orders, while open writes are settled.
    Draining {
        token: Token,
        to: Seat,
    },
    /// Nothing is answered any more; `to` may write the key.
    HandedOver {
        token: Token,
        to: Seat,
    },
    /// The move is given up: the key is being written anew, so that what was offered is void.
    Reclaiming {
        token: Token,
    },
}
