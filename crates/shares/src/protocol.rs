//! Ownership protocol for all shares, as run by one controller. Inputs are reads of the state
//! service, offers of other controllers and the plan; outputs are writes and offers. It has no
//! clock: the caller tells it whether the controller's lease is valid, and when to retry.

use crate::phase::{KeyHolder, KeyState, MemberIndex, SharePhase};
use crate::record::ShareId;
use oatloom_protocol::ids::Token;

/// Input of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A share's key was read from the state service, as of one revision.
    KeyRead { share: ShareId, key: KeyState },
    /// The write of a share's key with this attempt number was committed.
    KeyWritten { share: ShareId, attempt: u32, token: Token },
    /// The write was not executed, or one of its conditions failed: the key has to be read.
    WriteRejected { share: ShareId, attempt: u32 },
    /// The write got no reply: it may have been executed, or may still be.
    WriteTimedOut { share: ShareId, attempt: u32 },
    /// Another controller offers a share, with the token of its key.
    Offered { share: ShareId, from: MemberIndex, token: Token },
    /// The plan assigns the share to `to`.
    Planned { share: ShareId, to: MemberIndex },
    /// A draining share has no open writes any more.
    Drained { share: ShareId },
    /// The copy of a share's records is complete up to a revision.
    RecordsSynced { share: ShareId, up_to: Token },
    /// Retry interval elapsed: operations that are still open are repeated.
    Retry { share: ShareId },
    /// A controller to which shares may have been handed over is gone.
    PeerGone { peer: MemberIndex },
    /// The lease ended; all keys under it are deleted or about to be.
    LeaseEnded,
}

/// Output of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write the key under this controller's lease, on condition that it is absent (`expected` is
    /// `None`) or still has the token `expected`.
    WriteKey {
        share: ShareId,
        attempt: u32,
        expected: Option<Token>,
    },
    ReadKey {
        share: ShareId,
    },
    /// Settle open writes, and give no new orders meanwhile.
    Drain {
        share: ShareId,
    },
    /// Complete the copy of the share's records up to a revision.
    SyncRecords {
        share: ShareId,
        up_to: Token,
    },
    Offer {
        share: ShareId,
        to: MemberIndex,
        token: Token,
    },
}

/// Faults that tests inject, to show that the checks detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InjectedFault {
    AnswersAfterHandover,
    AnswersBeforeSync,
    AnswersWithoutLease,
    ReusesOldToken,
    KeepsSharesAfterLeaseEnd,
    AcquiresWithoutCondition,
    ClaimsWithoutCondition,
    AppliesStaleReads,
    TrustsFormerLease,
    AnswersWithOfferedToken,
    AcceptsLateReplies,
    SyncsOnlyToOfferedToken,
}

/// State of one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ShareState {
    phase: SharePhase,
    key: KeyState,
    planned_owner: Option<MemberIndex>,
    /// Whether the reply to a write of the key is still awaited, and the number of the last write.
    /// The reply to an earlier write may arrive while another one, under another lease, is pending.
    write_pending: bool,
    attempt: u32,
}

/// State of all shares at one controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OwnershipProtocol {
    me: MemberIndex,
    shares: Vec<ShareState>,
    /// Whether the lease is valid now, counted from the sending of its last renewal.
    lease_valid: bool,
    fault: Option<InjectedFault>,
}

impl OwnershipProtocol {
    pub fn new(me: MemberIndex, share_count: u16) -> Self {
        let (phase, key) = (SharePhase::NotOwned, KeyState::Unknown);
        let state =
            ShareState { phase, key, planned_owner: None, write_pending: false, attempt: 0 };
        Self { me, shares: vec![state; usize::from(share_count)], lease_valid: false, fault: None }
    }

    /// Injects a fault.
    #[cfg(feature = "planted")]
    pub fn inject_fault(&mut self, fault: InjectedFault) {
        self.fault = Some(fault);
    }

    /// Replaces all tokens, so that states that differ only in their absolute revisions become
    /// equal.
    #[cfg(feature = "planted")]
    pub fn map_tokens(&mut self, mut replace: impl FnMut(&mut Token)) {
        for state in &mut self.shares {
            match &mut state.key {
                KeyState::Unknown => {}
                KeyState::Free { revision } => replace(revision),
                KeyState::Held { token, .. } => replace(token),
            }
            match &mut state.phase {
                SharePhase::NotOwned | SharePhase::Claiming => {}
                SharePhase::Acquiring { replaced } => replace(replaced),
                SharePhase::Syncing { token }
                | SharePhase::Serving { token }
                | SharePhase::Draining { token, .. }
                | SharePhase::HandedOver { token, .. }
                | SharePhase::Reclaiming { token } => replace(token),
            }
        }
    }

    /// The number of a share's last write, which the caller may replace for the same reason.
    #[cfg(feature = "planted")]
    pub fn attempt_mut(&mut self, share: ShareId) -> &mut u32 {
        &mut self.shares[usize::from(share.0)].attempt
    }

    fn has_fault(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "planted") && self.fault == Some(fault)
    }

    /// Sets whether the lease is valid. Without a valid lease nothing is answered; the keys persist
    /// as long as the state service keeps the lease, which can become valid again after an outage.
    pub fn set_lease_valid(&mut self, lease_valid: bool) {
        self.lease_valid = lease_valid;
    }

    fn state(&self, share: ShareId) -> Option<&ShareState> {
        self.shares.get(usize::from(share.0))
    }

    /// The token with which workers of the share may be answered now, if any.
    pub fn may_answer(&self, share: ShareId) -> Option<Token> {
        let state = self.state(share)?;
        let token = match state.phase {
            SharePhase::Serving { token } | SharePhase::Draining { token, .. } => Some(token),
            SharePhase::HandedOver { token, .. }
                if self.has_fault(InjectedFault::AnswersAfterHandover) =>
            {
                Some(token)
            }
            SharePhase::Syncing { token } if self.has_fault(InjectedFault::AnswersBeforeSync) => {
                Some(token)
            }
            _ => None,
        };
        token.filter(|_| self.lease_valid || self.has_fault(InjectedFault::AnswersWithoutLease))
    }

    /// The token under which new assignments of the share may be written and ordered now, if any.
    pub fn may_order(&self, share: ShareId) -> Option<Token> {
        let serving = matches!(self.phase(share), SharePhase::Serving { .. });
        self.may_answer(share)
            .filter(|_| serving || self.has_fault(InjectedFault::AnswersBeforeSync))
    }

    /// The token under which earlier writes of the share's records may still be settled, if any.
    pub fn may_settle(&self, share: ShareId) -> Option<Token> {
        match self.state(share)?.phase {
            SharePhase::Serving { token } | SharePhase::Draining { token, .. } => Some(token),
            _ => None,
        }
    }

    /// The controller that a worker of the share should ask, as far as known: this one, the one to
    /// which it handed the share over, or the holder of the key.
    pub fn owner(&self, share: ShareId) -> Option<MemberIndex> {
        let state = self.state(share)?;
        match (state.phase, state.key) {
            (SharePhase::HandedOver { to, .. }, _) => Some(to),
            (SharePhase::NotOwned, KeyState::Held { holder: KeyHolder::Other(member), .. }) => {
                Some(member)
            }
            (SharePhase::NotOwned, _) => None,
            _ => Some(self.me),
        }
    }

    pub fn phase(&self, share: ShareId) -> SharePhase {
        self.state(share).map_or(SharePhase::NotOwned, |state| state.phase)
    }

    pub fn key(&self, share: ShareId) -> KeyState {
        self.state(share).map_or(KeyState::Unknown, |state| state.key)
    }

    /// The only place where the phase of a share changes.
    fn set_phase(&mut self, share: ShareId, phase: SharePhase, reason: &str) {
        let state = &mut self.shares[usize::from(share.0)];
        if state.phase != phase {
            log::debug!("share {share}: {:?} -> {phase:?} ({reason})", state.phase);
            state.phase = phase;
        }
    }

    /// Processes an event and returns the resulting actions. Events for unknown shares are ignored.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::LeaseEnded => {
                self.lease_valid = false;
                if !self.has_fault(InjectedFault::KeepsSharesAfterLeaseEnd) {
                    for n in 0..self.shares.len() as u16 {
                        // The keys are deleted with the lease, perhaps only later; reads from here on
                        // show who holds them.
                        self.shares[usize::from(n)].write_pending = false;
                        self.set_phase(ShareId(n), SharePhase::NotOwned, "the lease ended");
                    }
                }
                Vec::new()
            }
            Event::PeerGone { peer } => {
                let is_handed_to_peer = |n: &u16| matches!(self.phase(ShareId(*n)), SharePhase::HandedOver { to, .. } if to == peer);
                let handed_over: Vec<u16> =
                    (0..self.shares.len() as u16).filter(is_handed_to_peer).collect();
                handed_over.into_iter().flat_map(|n| self.reclaim(ShareId(n))).collect()
            }
            Event::KeyRead { share, .. }
            | Event::KeyWritten { share, .. }
            | Event::WriteRejected { share, .. }
            | Event::WriteTimedOut { share, .. }
            | Event::Offered { share, .. }
            | Event::Planned { share, .. }
            | Event::Drained { share }
            | Event::RecordsSynced { share, .. }
            | Event::Retry { share } => match self.state(share).copied() {
                Some(state) => self.on_share_event(share, state, event),
                None => Vec::new(),
            },
        }
    }

    fn on_share_event(&mut self, share: ShareId, state: ShareState, event: Event) -> Vec<Action> {
        match event {
            Event::KeyRead { key, .. } => self.on_key_read(share, state, key),
            Event::KeyWritten { attempt, token, .. } => {
                self.on_key_written(share, state, attempt, token)
            }
            Event::WriteRejected { attempt, .. } | Event::WriteTimedOut { attempt, .. } => {
                if !state.write_pending || attempt != state.attempt {
                    return Vec::new();
                }
                self.shares[usize::from(share.0)].write_pending = false;
                vec![Action::ReadKey { share }]
            }
            Event::Offered { from, token, .. } => self.on_offer(share, state, from, token),
            Event::Planned { to, .. } => {
                self.shares[usize::from(share.0)].planned_owner = Some(to);
                self.advance(share)
            }
            Event::Drained { .. } => match state.phase {
                SharePhase::Draining { token, to } => {
                    self.set_phase(
                        share,
                        SharePhase::HandedOver { token, to },
                        "its open writes are settled",
                    );
                    vec![Action::Offer { share, to, token }]
                }
                _ => Vec::new(),
            },
            Event::RecordsSynced { up_to, .. } => {
                if let SharePhase::Syncing { token } = state.phase
                    && up_to >= token
                {
                    self.set_phase(share, SharePhase::Serving { token }, "its records are synced");
                    return self.advance(share);
                }
                Vec::new()
            }
            Event::Retry { .. } => self.retry(share, state),
            Event::PeerGone { .. } | Event::LeaseEnded => Vec::new(),
        }
    }

    /// The state service is authoritative over the local state. Reads older than the known revision
    /// are ignored.
    fn on_key_read(&mut self, share: ShareId, state: ShareState, key: KeyState) -> Vec<Action> {
        if key.revision() < state.key.revision()
            && !self.has_fault(InjectedFault::AppliesStaleReads)
        {
            return Vec::new();
        }
        let key = match key {
            KeyState::Held { holder: KeyHolder::FormerLease, token }
                if self.has_fault(InjectedFault::TrustsFormerLease) =>
            {
                KeyState::Held { holder: KeyHolder::CurrentLease, token }
            }
            key => key,
        };
        self.shares[usize::from(share.0)].key = key;
        match (key, state.phase) {
            (KeyState::Held { holder: KeyHolder::CurrentLease, token }, phase) => match phase {
                SharePhase::Syncing { token: known }
                | SharePhase::Serving { token: known }
                | SharePhase::Draining { token: known, .. }
                | SharePhase::HandedOver { token: known, .. }
                | SharePhase::Reclaiming { token: known }
                    if known == token =>
                {
                    self.advance(share)
                }
                // The reply to the write was lost or late.
                _ => self.begin_sync(share, token, "a read shows its key as this controller's"),
            },
            // Another controller or nobody holds the key: the operation in progress has failed.
            (KeyState::Held { token, .. }, SharePhase::Acquiring { replaced })
                if token == replaced =>
            {
                self.advance(share)
            }
            (KeyState::Free { .. }, SharePhase::Claiming) => self.advance(share),
            (KeyState::Free { .. } | KeyState::Held { .. }, SharePhase::NotOwned) => {
                self.advance(share)
            }
            (KeyState::Free { .. } | KeyState::Held { .. }, _) => {
                self.shares[usize::from(share.0)].write_pending = false;
                self.set_phase(
                    share,
                    SharePhase::NotOwned,
                    "its key is not held by this controller",
                );
                self.advance(share)
            }
            (KeyState::Unknown, _) => Vec::new(),
        }
    }

    fn begin_sync(&mut self, share: ShareId, token: Token, reason: &str) -> Vec<Action> {
        let state = &mut self.shares[usize::from(share.0)];
        state.write_pending = false;
        state.key = KeyState::Held { holder: KeyHolder::CurrentLease, token };
        self.set_phase(share, SharePhase::Syncing { token }, reason);
        vec![Action::SyncRecords { share, up_to: token }]
    }

    fn on_key_written(
        &mut self,
        share: ShareId,
        state: ShareState,
        attempt: u32,
        token: Token,
    ) -> Vec<Action> {
        let current = state.write_pending && attempt == state.attempt;
        let stale = !current || token <= state.key.revision();
        if stale && !self.has_fault(InjectedFault::AcceptsLateReplies) {
            return Vec::new();
        }
        let replaced = match state.phase {
            SharePhase::Acquiring { replaced } => Some(replaced),
            _ => None,
        };
        let actions = self.begin_sync(share, token, "its key was written");
        if let Some(replaced) = replaced {
            if self.has_fault(InjectedFault::AnswersWithOfferedToken) {
                self.set_phase(share, SharePhase::Syncing { token: replaced }, "injected fault");
                return vec![Action::SyncRecords { share, up_to: token }];
            }
            if self.has_fault(InjectedFault::SyncsOnlyToOfferedToken) {
                self.set_phase(share, SharePhase::Serving { token }, "injected fault");
                return vec![Action::SyncRecords { share, up_to: replaced }];
            }
        }
        actions
    }

    /// An offer may be declined, and is valid for its exact token only: with an outdated or
    /// invented token the condition of the write fails.
    fn on_offer(
        &mut self,
        share: ShareId,
        state: ShareState,
        from: MemberIndex,
        token: Token,
    ) -> Vec<Action> {
        let may_be_current = match state.key {
            KeyState::Held { holder: KeyHolder::Other(member), token: known } => {
                member == from && known == token
            }
            // The watch may lag behind; the condition of the write decides.
            KeyState::Held { token: known, .. } | KeyState::Free { revision: known } => {
                known < token
            }
            KeyState::Unknown => true,
        };
        if !may_be_current
            || state.phase != SharePhase::NotOwned
            || state.write_pending
            || !self.lease_valid
        {
            return Vec::new();
        }
        self.set_phase(share, SharePhase::Acquiring { replaced: token }, "the share was offered");
        self.write_key(share, Some(token))
    }

    fn write_key(&mut self, share: ShareId, expected: Option<Token>) -> Vec<Action> {
        let state = &mut self.shares[usize::from(share.0)];
        state.write_pending = true;
        state.attempt += 1;
        vec![Action::WriteKey { share, attempt: state.attempt, expected }]
    }

    fn reclaim(&mut self, share: ShareId) -> Vec<Action> {
        let SharePhase::HandedOver { token, .. } = self.phase(share) else { return Vec::new() };
        if !self.lease_valid {
            return Vec::new();
        }
        if self.has_fault(InjectedFault::ReusesOldToken) {
            self.set_phase(share, SharePhase::Serving { token }, "injected fault");
            return Vec::new();
        }
        self.set_phase(share, SharePhase::Reclaiming { token }, "the move was abandoned");
        self.write_key(share, Some(token))
    }

    /// Takes the next step from the current phase towards the plan.
    fn advance(&mut self, share: ShareId) -> Vec<Action> {
        let Some(state) = self.state(share).copied() else { return Vec::new() };
        let planned_here = state.planned_owner == Some(self.me);
        match (state.phase, state.key, state.planned_owner) {
            // Nothing is started while the lease may have ended: keys written under it would be
            // deleted.
            _ if !self.lease_valid => Vec::new(),
            (SharePhase::NotOwned | SharePhase::Claiming, KeyState::Free { .. }, _)
                if planned_here && !state.write_pending =>
            {
                self.set_phase(share, SharePhase::Claiming, "its key is free");
                self.write_key(share, None)
            }
            (
                SharePhase::NotOwned | SharePhase::Acquiring { .. },
                KeyState::Held { holder, token },
                _,
            ) if matches!(holder, KeyHolder::FormerLease | KeyHolder::Invalid)
                && planned_here
                && !state.write_pending =>
            {
                self.set_phase(
                    share,
                    SharePhase::Acquiring { replaced: token },
                    "its key has no valid holder",
                );
                self.write_key(share, Some(token))
            }
            // If the write of an offered share failed, the share may be offered again.
            (
                SharePhase::Acquiring { .. },
                KeyState::Held { holder: KeyHolder::Other(_), .. },
                _,
            ) if !state.write_pending => {
                self.set_phase(
                    share,
                    SharePhase::NotOwned,
                    "the write was rejected or got no reply",
                );
                Vec::new()
            }
            (SharePhase::Claiming, KeyState::Free { .. }, _)
                if !planned_here && !state.write_pending =>
            {
                self.set_phase(share, SharePhase::NotOwned, "the plan changed");
                Vec::new()
            }
            (SharePhase::Serving { token }, _, Some(to)) if !planned_here => {
                self.set_phase(
                    share,
                    SharePhase::Draining { token, to },
                    "planned for another controller",
                );
                vec![Action::Drain { share }]
            }
            (SharePhase::Draining { token, .. }, ..) if planned_here => {
                self.set_phase(
                    share,
                    SharePhase::Serving { token },
                    "planned for this controller again",
                );
                Vec::new()
            }
            (SharePhase::Draining { token, to }, _, Some(planned_owner)) if planned_owner != to => {
                self.set_phase(
                    share,
                    SharePhase::Draining { token, to: planned_owner },
                    "the plan changed",
                );
                Vec::new()
            }
            (SharePhase::HandedOver { to, .. }, _, Some(planned_owner)) if planned_owner != to => {
                self.reclaim(share)
            }
            _ => Vec::new(),
        }
    }

    /// Repeats operations that are still open.
    fn retry(&mut self, share: ShareId, state: ShareState) -> Vec<Action> {
        match state.phase {
            SharePhase::HandedOver { token, to } => vec![Action::Offer { share, to, token }],
            SharePhase::Draining { .. } => vec![Action::Drain { share }],
            SharePhase::Syncing { token } => vec![Action::SyncRecords { share, up_to: token }],
            SharePhase::Reclaiming { token } if !state.write_pending && self.lease_valid => {
                self.write_key(share, Some(token))
            }
            SharePhase::Claiming | SharePhase::Acquiring { .. } if !state.write_pending => {
                self.advance(share)
            }
            _ if state.key == KeyState::Unknown => vec![Action::ReadKey { share }],
            _ => self.advance(share),
        }
    }

    /// The condition of a write of the key; `None` with an injected fault.
    pub fn write_condition(&self, expected: Option<Token>) -> Option<Option<Token>> {
        let dropped = match expected {
            Some(_) => self.has_fault(InjectedFault::AcquiresWithoutCondition),
            None => self.has_fault(InjectedFault::ClaimsWithoutCondition),
        };
        (!dropped).then_some(expected)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHARE: ShareId = ShareId(0);

    fn protocol(planned_owner: u8) -> OwnershipProtocol {
        let mut protocol = OwnershipProtocol::new(MemberIndex(0), 2);
        protocol.set_lease_valid(true);
        protocol.handle(Event::Planned { share: SHARE, to: MemberIndex(planned_owner) });
        protocol
    }

    fn key_read(holder: KeyHolder, token: u64) -> Event {
        Event::KeyRead { share: SHARE, key: KeyState::Held { holder, token: Token(token) } }
    }

    fn write_action(attempt: u32, expected: Option<u64>) -> Vec<Action> {
        vec![Action::WriteKey { share: SHARE, attempt, expected: expected.map(Token) }]
    }

    /// A share is claimed, served, drained and handed over, and is reclaimed with a new token when
    /// its new owner is gone.
    #[test]
    fn a_share_moves_to_another_owner_and_is_reclaimed() {
        let mut protocol = protocol(0);
        let free = KeyState::Free { revision: Token(3) };
        assert_eq!(
            protocol.handle(Event::KeyRead { share: SHARE, key: free }),
            write_action(1, None)
        );
        assert_eq!(protocol.may_answer(SHARE), None);
        let (attempt, token) = (1, Token(5));
        let sync_records = vec![Action::SyncRecords { share: SHARE, up_to: token }];
        assert_eq!(
            protocol.handle(Event::KeyWritten { share: SHARE, attempt, token }),
            sync_records
        );
        assert_eq!(protocol.may_answer(SHARE), None, "its records are not synced");
        assert!(protocol.handle(Event::RecordsSynced { share: SHARE, up_to: Token(4) }).is_empty());
        protocol.handle(Event::RecordsSynced { share: SHARE, up_to: Token(5) });
        assert_eq!(
            (protocol.may_answer(SHARE), protocol.may_order(SHARE)),
            (Some(token), Some(token))
        );
        protocol.set_lease_valid(false);
        assert_eq!(protocol.may_answer(SHARE), None);
        protocol.set_lease_valid(true);
        let drain = protocol.handle(Event::Planned { share: SHARE, to: MemberIndex(1) });
        assert_eq!(drain, [Action::Drain { share: SHARE }]);
        assert_eq!((protocol.may_answer(SHARE), protocol.may_order(SHARE)), (Some(token), None));
        let offer = [Action::Offer { share: SHARE, to: MemberIndex(1), token }];
        assert_eq!(protocol.handle(Event::Drained { share: SHARE }), offer);
        assert_eq!(
            (protocol.may_answer(SHARE), protocol.owner(SHARE)),
            (None, Some(MemberIndex(1)))
        );
        assert_eq!(protocol.handle(Event::Retry { share: SHARE }), offer);
        assert_eq!(
            protocol.handle(Event::PeerGone { peer: MemberIndex(1) }),
            write_action(2, Some(5))
        );
        let (attempt, token) = (2, Token(9));
        protocol.handle(Event::KeyWritten { share: SHARE, attempt, token });
        assert_eq!(protocol.phase(SHARE), SharePhase::Syncing { token });
    }

    /// The planned owner overwrites an invalid record, on condition that it is unchanged since it
    /// was read.
    #[test]
    fn the_planned_owner_overwrites_an_invalid_record() {
        assert_eq!(protocol(0).handle(key_read(KeyHolder::Invalid, 7)), write_action(1, Some(7)));
        assert!(protocol(1).handle(key_read(KeyHolder::Invalid, 7)).is_empty());
        // Likewise the record of a former lease.
        assert_eq!(
            protocol(0).handle(key_read(KeyHolder::FormerLease, 7)),
            write_action(1, Some(7))
        );
    }

    /// Offers from a controller that is not the holder, with an old token, during another operation
    /// or for an unknown share change nothing. An offer newer than the last read is tried, and the
    /// condition of its write decides.
    #[test]
    fn invalid_offers_change_nothing() {
        let offer_event = |from: u8, token: u64| Event::Offered {
            share: SHARE,
            from: MemberIndex(from),
            token: Token(token),
        };
        let mut protocol = protocol(1);
        protocol.handle(key_read(KeyHolder::Other(MemberIndex(1)), 7));
        assert!(protocol.handle(offer_event(2, 7)).is_empty());
        assert!(protocol.handle(offer_event(1, 6)).is_empty());
        let unknown_share = ShareId(77);
        let invalid =
            Event::Offered { share: unknown_share, from: MemberIndex(1), token: Token(7) };
        assert!(protocol.handle(invalid).is_empty());
        assert_eq!(
            (protocol.owner(unknown_share), protocol.may_answer(unknown_share)),
            (None, None)
        );
        assert_eq!(protocol.handle(offer_event(1, 7)), write_action(1, Some(7)));
        assert!(protocol.handle(offer_event(1, 7)).is_empty(), "it is being acquired already");
        // The write was rejected: the key is read, and another controller still holds it.
        let read_key_action = vec![Action::ReadKey { share: SHARE }];
        assert_eq!(
            protocol.handle(Event::WriteRejected { share: SHARE, attempt: 1 }),
            read_key_action
        );
        protocol.handle(key_read(KeyHolder::Other(MemberIndex(1)), 7));
        assert_eq!(protocol.phase(SHARE), SharePhase::NotOwned);
    }
}
