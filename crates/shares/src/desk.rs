//! All shares as one controller sees them: what the state service shows, what others offer and what the plan wants come
//! in, writes and offers go out. Without a clock: whether this controller's lease may be relied on at present is said to
//! it, and when to try again.

use crate::holding::{Holder, Holding, Key, Seat};
use crate::record::ShareId;
use oatloom_protocol::ids::Token;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The state service shows a share's key as it stood at a revision.
    Shown { share: ShareId, key: Key },
    /// The write of a share's key with this number was carried out.
    Written { share: ShareId, attempt: u32, token: Token },
    /// A condition of it did not hold, or it was not executed: the key has to be read.
    NotWritten { share: ShareId, attempt: u32 },
    /// No answer came: it may have been carried out, or may be yet.
    Unanswered { share: ShareId, attempt: u32 },
    /// A share is offered, with the token of its key.
    Offered { share: ShareId, from: Seat, token: Token },
    /// The plan wants a share to be `to`'s.
    Planned { share: ShareId, to: Seat },
    /// A share that is being drained has no open writes any more.
    Drained { share: ShareId },
    /// The copy of a share's records is complete at a revision.
    Copied { share: ShareId, upto: Token },
    /// The time to look again at what goes on.
    Again { share: ShareId },
    /// The one to whom a share was handed is not there any more.
    Missing { peer: Seat },
    /// The lease ended: all keys under it are gone.
    LeaseEnded,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Writes the key under this controller's lease, if it is as `basis` says: absent, or with this very token.
    Write {
        share: ShareId,
        attempt: u32,
        basis: Option<Token>,
    },
    Read {
        share: ShareId,
    },
    /// Settles open writes, and gives no new orders meanwhile.
    Drain {
        share: ShareId,
    },
    /// Completes the copy of the share's records up to a revision.
    Copy {
        share: ShareId,
        upto: Token,
    },
    Offer {
        share: ShareId,
        to: Seat,
        token: Token,
    },
}

/// Faults that tests plant, to show that they are caught.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Flaw {
    AnswersWhenHandedOver,
    AnswersBeforeCopied,
    AnswersWithoutLease,
    ResumesWithTheOldToken,
    KeepsSharesWhenTheLeaseEnds,
    TakesWithoutCondition,
    ClaimsWithoutCondition,
    TakesUpOldNews,
    TakesItsPastForItself,
    AnswersWithTheOfferedToken,
    TakesLateAnswersForNew,
    CopiesUpToTheOffer,
}

/// One share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    holding: Holding,
    key: Key,
    wanted: Option<Seat>,
    /// Whether a write of the key is out whose answer counts, and the number of the last one: an answer to an earlier one
    /// may come when another is out, under another lease.
    writing: bool,
    attempt: u32,
}

/// All shares, as one controller sees them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Desk {
    me: Seat,
    shares: Vec<State>,
    /// Whether the lease may be relied on now, counted from the sending of its last renewal.
    valid: bool,
    flaw: Option<Flaw>,
}

impl Desk {
    pub fn new(me: Seat, shares: u16) -> Self {
        let (holding, key) = (Holding::Elsewhere, Key::Unread);
        let state = State { holding, key, wanted: None, writing: false, attempt: 0 };
        Self { me, shares: vec![state; usize::from(shares)], valid: false, flaw: None }
    }

    /// Plants a fault.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, flaw: Flaw) {
        self.flaw = Some(flaw);
    }

    /// Puts other tokens in the place of all: states that differ in nothing but how far revisions have come are one.
    #[cfg(feature = "planted")]
    pub fn relabel(&mut self, mut label: impl FnMut(&mut Token)) {
        for state in &mut self.shares {
            match &mut state.key {
                Key::Unread => {}
                Key::Free { seen } => label(seen),
                Key::Held { token, .. } => label(token),
            }
            match &mut state.holding {
                Holding::Elsewhere | Holding::Claiming => {}
                Holding::Taking { over } => label(over),
                Holding::Taken { token }
                | Holding::Settled { token }
                | Holding::Draining { token, .. }
                | Holding::HandedOver { token, .. }
                | Holding::Reclaiming { token } => label(token),
            }
        }
    }

    /// The number of a share's last write; to be put in place of it, for the same reason.
    #[cfg(feature = "planted")]
    pub fn attempt(&mut self, share: ShareId) -> &mut u32 {
        &mut self.shares[usize::from(share.0)].attempt
    }

    fn flawed(&self, flaw: Flaw) -> bool {
        cfg!(feature = "planted") && self.flaw == Some(flaw)
    }

    /// Whether the lease may be relied on. Nothing is answered while it may not; the keys stand as long as the state
    /// service keeps the lease, and after an outage it may be relied on again.
    pub fn rely(&mut self, valid: bool) {
        self.valid = valid;
    }

    fn state(&self, share: ShareId) -> Option<&State> {
        self.shares.get(usize::from(share.0))
    }

    /// The token with which workers of the share may be answered now.
    pub fn may_answer(&self, share: ShareId) -> Option<Token> {
        let state = self.state(share)?;
        let token = match state.holding {
            Holding::Settled { token } | Holding::Draining { token, .. } => Some(token),
            Holding::HandedOver { token, .. } if self.flawed(Flaw::AnswersWhenHandedOver) => {
                Some(token)
            }
            Holding::Taken { token } if self.flawed(Flaw::AnswersBeforeCopied) => Some(token),
            _ => None,
        };
        token.filter(|_| self.valid || self.flawed(Flaw::AnswersWithoutLease))
    }

    /// The token by which new assignments of the share may be written and ordered now.
    pub fn may_order(&self, share: ShareId) -> Option<Token> {
        let settled = matches!(self.holding(share), Holding::Settled { .. });
        self.may_answer(share).filter(|_| settled || self.flawed(Flaw::AnswersBeforeCopied))
    }

    /// The token by which writes of the share's records that began before may still be settled.
    pub fn may_settle(&self, share: ShareId) -> Option<Token> {
        match self.state(share)?.holding {
            Holding::Settled { token } | Holding::Draining { token, .. } => Some(token),
            _ => None,
        }
    }

    /// Whom a worker of the share should ask, as far as this controller knows: itself, the one to whom it handed the
    /// share, or the holder of the key.
    pub fn owner(&self, share: ShareId) -> Option<Seat> {
        let state = self.state(share)?;
        match (state.holding, state.key) {
            (Holding::HandedOver { to, .. }, _) => Some(to),
            (Holding::Elsewhere, Key::Held { by: Holder::Other(seat), .. }) => Some(seat),
            (Holding::Elsewhere, _) => None,
            _ => Some(self.me),
        }
    }

    pub fn holding(&self, share: ShareId) -> Holding {
        self.state(share).map_or(Holding::Elsewhere, |state| state.holding)
    }

    pub fn key(&self, share: ShareId) -> Key {
        self.state(share).map_or(Key::Unread, |state| state.key)
    }

    /// The one place where a share's standing changes.
    fn enter(&mut self, share: ShareId, holding: Holding, why: &str) {
        let state = &mut self.shares[usize::from(share.0)];
        if state.holding != holding {
            log::debug!("share {share}: {:?} -> {holding:?} ({why})", state.holding);
            state.holding = holding;
        }
    }

    /// Takes up an event; what is to be done. What concerns no share of this region is ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::LeaseEnded => {
                self.valid = false;
                if !self.flawed(Flaw::KeepsSharesWhenTheLeaseEnds) {
                    for n in 0..self.shares.len() as u16 {
                        // Its keys are gone or going; what is seen of them from here on tells.
                        self.shares[usize::from(n)].writing = false;
                        self.enter(ShareId(n), Holding::Elsewhere, "the lease ended");
                    }
                }
                Vec::new()
            }
            Event::Missing { peer } => {
                let handed = |n: &u16| matches!(self.holding(ShareId(*n)), Holding::HandedOver { to, .. } if to == peer);
                let lost: Vec<u16> = (0..self.shares.len() as u16).filter(handed).collect();
                lost.into_iter().flat_map(|n| self.reclaim(ShareId(n))).collect()
            }
            Event::Shown { share, .. }
            | Event::Written { share, .. }
            | Event::NotWritten { share, .. }
            | Event::Unanswered { share, .. }
            | Event::Offered { share, .. }
            | Event::Planned { share, .. }
            | Event::Drained { share }
            | Event::Copied { share, .. }
            | Event::Again { share } => match self.state(share).copied() {
                Some(state) => self.on_share(share, state, event),
                None => Vec::new(),
            },
        }
    }

    fn on_share(&mut self, share: ShareId, state: State, event: Event) -> Vec<Action> {
        match event {
            Event::Shown { key, .. } => self.shown(share, state, key),
            Event::Written { attempt, token, .. } => self.written(share, state, attempt, token),
            Event::NotWritten { attempt, .. } | Event::Unanswered { attempt, .. } => {
                if !state.writing || attempt != state.attempt {
                    return Vec::new();
                }
                self.shares[usize::from(share.0)].writing = false;
                vec![Action::Read { share }]
            }
            Event::Offered { from, token, .. } => self.offered(share, state, from, token),
            Event::Planned { to, .. } => {
                self.shares[usize::from(share.0)].wanted = Some(to);
                self.pursue(share)
            }
            Event::Drained { .. } => match state.holding {
                Holding::Draining { token, to } => {
                    self.enter(share, Holding::HandedOver { token, to }, "its writes are settled");
                    vec![Action::Offer { share, to, token }]
                }
                _ => Vec::new(),
            },
            Event::Copied { upto, .. } => {
                if let Holding::Taken { token } = state.holding
                    && upto >= token
                {
                    self.enter(share, Holding::Settled { token }, "its records are complete");
                    return self.pursue(share);
                }
                Vec::new()
            }
            Event::Again { .. } => self.again(share, state),
            Event::Missing { .. } | Event::LeaseEnded => Vec::new(),
        }
    }

    /// The state service is right, whatever was taken to be so; older news than what is known is none.
    fn shown(&mut self, share: ShareId, state: State, key: Key) -> Vec<Action> {
        if key.seen() < state.key.seen() && !self.flawed(Flaw::TakesUpOldNews) {
            return Vec::new();
        }
        let key = match key {
            Key::Held { by: Holder::MyPast, token } if self.flawed(Flaw::TakesItsPastForItself) => {
                Key::Held { by: Holder::Me, token }
            }
            key => key,
        };
        self.shares[usize::from(share.0)].key = key;
        match (key, state.holding) {
            (Key::Held { by: Holder::Me, token }, holding) => match holding {
                Holding::Taken { token: known }
                | Holding::Settled { token: known }
                | Holding::Draining { token: known, .. }
                | Holding::HandedOver { token: known, .. }
                | Holding::Reclaiming { token: known }
                    if known == token =>
                {
                    self.pursue(share)
                }
                // A write whose answer was lost, or that came late.
                _ => self.take(share, token, "the state service shows it"),
            },
            // Its key is another's, or nobody's: whatever went on is over.
            (Key::Held { token, .. }, Holding::Taking { over }) if token == over => {
                self.pursue(share)
            }
            (Key::Free { .. }, Holding::Claiming) => self.pursue(share),
            (Key::Free { .. } | Key::Held { .. }, Holding::Elsewhere) => self.pursue(share),
            (Key::Free { .. } | Key::Held { .. }, _) => {
                self.shares[usize::from(share.0)].writing = false;
                self.enter(share, Holding::Elsewhere, "its key is not this controller's");
                self.pursue(share)
            }
            (Key::Unread, _) => Vec::new(),
        }
    }

    fn take(&mut self, share: ShareId, token: Token, why: &str) -> Vec<Action> {
        let state = &mut self.shares[usize::from(share.0)];
        state.writing = false;
        state.key = Key::Held { by: Holder::Me, token };
        self.enter(share, Holding::Taken { token }, why);
        vec![Action::Copy { share, upto: token }]
    }

    fn written(&mut self, share: ShareId, state: State, attempt: u32, token: Token) -> Vec<Action> {
        let current = state.writing && attempt == state.attempt;
        let late = !current || token <= state.key.seen();
        if late && !self.flawed(Flaw::TakesLateAnswersForNew) {
            return Vec::new();
        }
        let over = match state.holding {
            Holding::Taking { over } => Some(over),
            _ => None,
        };
        let actions = self.take(share, token, "its key was written");
        if let Some(over) = over {
            if self.flawed(Flaw::AnswersWithTheOfferedToken) {
                self.enter(share, Holding::Taken { token: over }, "planted");
                return vec![Action::Copy { share, upto: token }];
            }
            if self.flawed(Flaw::CopiesUpToTheOffer) {
                self.enter(share, Holding::Settled { token }, "planted");
                return vec![Action::Copy { share, upto: over }];
            }
        }
        actions
    }

    /// An offer is a chance, not a duty, and holds for its very token only: one from the past or the future finds
    /// another key, and its write is not carried out.
    fn offered(&mut self, share: ShareId, state: State, from: Seat, token: Token) -> Vec<Action> {
        let known = match state.key {
            Key::Held { by: Holder::Other(seat), token: known } => seat == from && known == token,
            // The watch may be behind: the condition tells.
            Key::Held { token: known, .. } | Key::Free { seen: known } => known < token,
            Key::Unread => true,
        };
        if !known || state.holding != Holding::Elsewhere || state.writing || !self.valid {
            return Vec::new();
        }
        self.enter(share, Holding::Taking { over: token }, "it was offered");
        self.write(share, Some(token))
    }

    fn write(&mut self, share: ShareId, basis: Option<Token>) -> Vec<Action> {
        let state = &mut self.shares[usize::from(share.0)];
        state.writing = true;
        state.attempt += 1;
        vec![Action::Write { share, attempt: state.attempt, basis }]
    }

    fn reclaim(&mut self, share: ShareId) -> Vec<Action> {
        let Holding::HandedOver { token, .. } = self.holding(share) else { return Vec::new() };
        if !self.valid {
            return Vec::new();
        }
        if self.flawed(Flaw::ResumesWithTheOldToken) {
            self.enter(share, Holding::Settled { token }, "planted");
            return Vec::new();
        }
        self.enter(share, Holding::Reclaiming { token }, "the move is given up");
        self.write(share, Some(token))
    }

    /// What the plan asks for, from where the share stands now.
    fn pursue(&mut self, share: ShareId) -> Vec<Action> {
        let Some(state) = self.state(share).copied() else { return Vec::new() };
        let mine = state.wanted == Some(self.me);
        match (state.holding, state.key, state.wanted) {
            // Nothing is begun while the lease may be over: what was written under it would not last.
            _ if !self.valid => Vec::new(),
            (Holding::Elsewhere | Holding::Claiming, Key::Free { .. }, _)
                if mine && !state.writing =>
            {
                self.enter(share, Holding::Claiming, "its key is free");
                self.write(share, None)
            }
            (Holding::Elsewhere | Holding::Taking { .. }, Key::Held { by, token }, _)
                if matches!(by, Holder::MyPast | Holder::Nobody) && mine && !state.writing =>
            {
                self.enter(share, Holding::Taking { over: token }, "nobody holds it any more");
                self.write(share, Some(token))
            }
            // What was offered and could not be written may be offered again.
            (Holding::Taking { .. }, Key::Held { by: Holder::Other(_), .. }, _)
                if !state.writing =>
            {
                self.enter(share, Holding::Elsewhere, "it was not written");
                Vec::new()
            }
            (Holding::Claiming, Key::Free { .. }, _) if !mine && !state.writing => {
                self.enter(share, Holding::Elsewhere, "the plan has changed");
                Vec::new()
            }
            (Holding::Settled { token }, _, Some(to)) if !mine => {
                self.enter(share, Holding::Draining { token, to }, "the plan wants it elsewhere");
                vec![Action::Drain { share }]
            }
            (Holding::Draining { token, .. }, ..) if mine => {
                self.enter(share, Holding::Settled { token }, "the plan wants it here");
                Vec::new()
            }
            (Holding::Draining { token, to }, _, Some(wanted)) if wanted != to => {
                self.enter(share, Holding::Draining { token, to: wanted }, "the plan has changed");
                Vec::new()
            }
            (Holding::HandedOver { to, .. }, _, Some(wanted)) if wanted != to => {
                self.reclaim(share)
            }
            _ => Vec::new(),
        }
    }

    /// What is out for long is asked for, or said, once more.
    fn again(&mut self, share: ShareId, state: State) -> Vec<Action> {
        match state.holding {
            Holding::HandedOver { token, to } => vec![Action::Offer { share, to, token }],
            Holding::Draining { .. } => vec![Action::Drain { share }],
            Holding::Taken { token } => vec![Action::Copy { share, upto: token }],
            Holding::Reclaiming { token } if !state.writing && self.valid => {
                self.write(share, Some(token))
            }
            Holding::Claiming | Holding::Taking { .. } if !state.writing => self.pursue(share),
            _ if state.key == Key::Unread => vec![Action::Read { share }],
            _ => self.pursue(share),
        }
    }

    /// The condition that a write of the key is given; planted faults leave it out.
    pub fn conditions(&self, basis: Option<Token>) -> Option<Option<Token>> {
        let dropped = match basis {
            Some(_) => self.flawed(Flaw::TakesWithoutCondition),
            None => self.flawed(Flaw::ClaimsWithoutCondition),
        };
        (!dropped).then_some(basis)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHARE: ShareId = ShareId(0);

    fn desk(wanted: u8) -> Desk {
        let mut desk = Desk::new(Seat(0), 2);
        desk.rely(true);
        desk.handle(Event::Planned { share: SHARE, to: Seat(wanted) });
        desk
    }

    fn shown(by: Holder, token: u64) -> Event {
        Event::Shown { share: SHARE, key: Key::Held { by, token: Token(token) } }
    }

    fn write(attempt: u32, basis: Option<u64>) -> Vec<Action> {
        vec![Action::Write { share: SHARE, attempt, basis: basis.map(Token) }]
    }

    /// A share is claimed, served, drained, handed over and, when its taker goes missing, taken back with a new token.
    #[test]
    fn a_share_goes_its_way() {
        let mut desk = desk(0);
        let free = Key::Free { seen: Token(3) };
        assert_eq!(desk.handle(Event::Shown { share: SHARE, key: free }), write(1, None));
        assert_eq!(desk.may_answer(SHARE), None);
        let (attempt, token) = (1, Token(5));
        let copy = vec![Action::Copy { share: SHARE, upto: token }];
        assert_eq!(desk.handle(Event::Written { share: SHARE, attempt, token }), copy);
        assert_eq!(desk.may_answer(SHARE), None, "its records are not complete");
        assert!(desk.handle(Event::Copied { share: SHARE, upto: Token(4) }).is_empty());
        desk.handle(Event::Copied { share: SHARE, upto: Token(5) });
        assert_eq!((desk.may_answer(SHARE), desk.may_order(SHARE)), (Some(token), Some(token)));
        desk.rely(false);
        assert_eq!(desk.may_answer(SHARE), None);
        desk.rely(true);
        let drain = desk.handle(Event::Planned { share: SHARE, to: Seat(1) });
        assert_eq!(drain, [Action::Drain { share: SHARE }]);
        assert_eq!((desk.may_answer(SHARE), desk.may_order(SHARE)), (Some(token), None));
        let offer = [Action::Offer { share: SHARE, to: Seat(1), token }];
        assert_eq!(desk.handle(Event::Drained { share: SHARE }), offer);
        assert_eq!((desk.may_answer(SHARE), desk.owner(SHARE)), (None, Some(Seat(1))));
        assert_eq!(desk.handle(Event::Again { share: SHARE }), offer);
        assert_eq!(desk.handle(Event::Missing { peer: Seat(1) }), write(2, Some(5)));
        let (attempt, token) = (2, Token(9));
        desk.handle(Event::Written { share: SHARE, attempt, token });
        assert_eq!(desk.holding(SHARE), Holding::Taken { token });
    }

    /// A record that makes no sense is set aside: whom the plan names writes it anew, over the very one that was read.
    #[test]
    fn a_damaged_key_is_written_anew_by_whom_the_plan_names() {
        assert_eq!(desk(0).handle(shown(Holder::Nobody, 7)), write(1, Some(7)));
        assert!(desk(1).handle(shown(Holder::Nobody, 7)).is_empty());
        // So is an earlier life's.
        assert_eq!(desk(0).handle(shown(Holder::MyPast, 7)), write(1, Some(7)));
    }

    /// Offers of others than the holder, from the past, while something else goes on, and of unknown shares change
    /// nothing; one that is ahead of the watch is tried, and its condition tells.
    #[test]
    fn odd_offers_change_nothing() {
        let offered = |from: u8, token: u64| Event::Offered {
            share: SHARE,
            from: Seat(from),
            token: Token(token),
        };
        let mut desk = desk(1);
        desk.handle(shown(Holder::Other(Seat(1)), 7));
        assert!(desk.handle(offered(2, 7)).is_empty());
        assert!(desk.handle(offered(1, 6)).is_empty());
        let stranger = ShareId(77);
        let odd = Event::Offered { share: stranger, from: Seat(1), token: Token(7) };
        assert!(desk.handle(odd).is_empty());
        assert_eq!((desk.owner(stranger), desk.may_answer(stranger)), (None, None));
        assert_eq!(desk.handle(offered(1, 7)), write(1, Some(7)));
        assert!(desk.handle(offered(1, 7)).is_empty(), "it is being taken");
        // It was not so: its key is read, and is still the other one's.
        let read = vec![Action::Read { share: SHARE }];
        assert_eq!(desk.handle(Event::NotWritten { share: SHARE, attempt: 1 }), read);
        desk.handle(shown(Holder::Other(Seat(1)), 7));
        assert_eq!(desk.holding(SHARE), Holding::Elsewhere);
    }
}
