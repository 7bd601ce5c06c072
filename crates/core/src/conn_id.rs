//! Identifies the recipient of a reply.

/// The recipient of a reply: a connection of the HTTP server, or a peer's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);
