//! Ownership of shares by this controller: its lease at the state service, the share keys under
//! that lease, the watch on all share keys, and offers of other controllers. [`OwnershipProtocol`]
//! decides; this module supplies the time and the requests to the state service. Every answer that
//! only the owner of a share may give is checked by [`ShareOwners::may_answer`], for which the
//! lease ends a fixed time after the *sending* of its last successful renewal.

use crate::constants::*;
use crate::leadership::lease_end;
use crate::store::StoreReply;
use oatloom_protocol::ids::{LeaseId, Member, Mono, Revision, Token};
use oatloom_protocol::wire::{Change, Condition, LoggedChange, Row, Txn};
use oatloom_shares::{
    Action, Event, KeyHolder, KeyState, MapVersion, MemberIndex, OwnerRecord, OwnershipProtocol,
    ParsedRecord, ShareId, ShareMap, SharePhase, fallback_owner,
};
use std::collections::BTreeMap;

/// State of this controller's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    None,
    Granting,
    /// Valid until `until`. After that the keys may still exist, since after an outage of the state
    /// service its leases start again with their full duration.
    Held {
        id: LeaseId,
        nonce: u64,
        until: Mono,
    },
}

/// Requests to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    GrantLease,
    RenewLease(LeaseId),
    /// All share keys after the key `after`, page by page.
    ListKeys {
        after: String,
        first_revision: Option<Revision>,
    },
    WatchKeys(Revision),
    WriteKey {
        share: ShareId,
        attempt: u32,
        txn: Txn,
    },
}

/// Tasks for other parts of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerTask {
    /// Settle open writes of a share's records, then call [`ShareOwners::on_drained`].
    Drain(ShareId),
    /// Complete the copy of a share's records up to a revision, then call
    /// [`ShareOwners::on_records_synced`].
    SyncRecords(ShareId, Token),
    /// Offer a share to a peer, with the version of the map that the offer follows.
    Offer { to: Member, share: ShareId, token: Token, map_version: MapVersion },
}

/// Share ownership as seen and held by this controller.
#[derive(Debug)]
pub struct ShareOwners {
    me: MemberIndex,
    /// All configured controllers, sorted: a member's position is its [`MemberIndex`].
    members: Vec<Member>,
    protocol: OwnershipProtocol,
    lease: Lease,
    next_grant: Mono,
    next_renewal: Mono,
    next_list: Mono,
    next_reconcile: Mono,
    list_in_progress: bool,
    /// Keys found so far by the list in progress.
    listed_shares: Vec<ShareId>,
    watching: bool,
    map: ShareMap,
    /// Shares that were offered under a newer map than this controller has. It keeps them until it
    /// has that map, or else two controllers with different maps would hand a share back and forth.
    newer_offers: BTreeMap<ShareId, MapVersion>,
    /// Members whose keys were deleted, as happens when a lease ends, and when. They can't serve at
    /// present, even if messages from them arrive.
    lapsed_members: BTreeMap<MemberIndex, Mono>,
    /// Since when share keys have been free.
    unclaimed_since: BTreeMap<ShareId, Mono>,
    tasks: Vec<OwnerTask>,
}

impl ShareOwners {
    /// `peers` may include this controller.
    pub fn new(me: &Member, peers: impl IntoIterator<Item = Member>, share_count: u16) -> Self {
        let mut members: Vec<Member> = peers.into_iter().chain([me.clone()]).collect();
        members.sort();
        members.dedup();
        let index = members.binary_search(me).unwrap_or(0);
        let me = MemberIndex(index as u8);
        Self {
            me,
            members,
            protocol: OwnershipProtocol::new(me, share_count),
            lease: Lease::None,
            next_grant: Mono(0),
            next_renewal: Mono(0),
            next_list: Mono(0),
            next_reconcile: Mono(0),
            list_in_progress: false,
            listed_shares: Vec::new(),
            watching: false,
            map: ShareMap::default(),
            newer_offers: BTreeMap::new(),
            lapsed_members: BTreeMap::new(),
            unclaimed_since: BTreeMap::new(),
            tasks: Vec::new(),
        }
    }

    /// The only place where the state of the lease changes.
    fn set_lease(&mut self, lease: Lease, reason: &str) {
        if std::mem::discriminant(&self.lease) != std::mem::discriminant(&lease) {
            log::debug!("owners: {:?} -> {lease:?} ({reason})", self.lease);
        }
        self.lease = lease;
    }

    fn lease_valid(&self, now: Mono) -> bool {
        matches!(self.lease, Lease::Held { until, .. } if now < until)
    }

    /// The token with which workers of a share may be answered now, if any.
    pub fn may_answer(&self, share: ShareId, now: Mono) -> Option<Token> {
        self.protocol.may_answer(share).filter(|_| self.lease_valid(now))
    }

    /// The token under which new assignments of a share may be written and ordered now, if any.
    pub fn may_order(&self, share: ShareId, now: Mono) -> Option<Token> {
        self.protocol.may_order(share).filter(|_| self.lease_valid(now))
    }

    /// The controller that a worker of the share should ask, as far as known.
    pub fn owner(&self, share: ShareId) -> Option<&Member> {
        self.members.get(usize::from(self.protocol.owner(share)?.0))
    }

    pub fn phase(&self, share: ShareId) -> SharePhase {
        self.protocol.phase(share)
    }

    /// Removes and returns the pending tasks for other parts of the controller.
    pub fn take_tasks(&mut self) -> Vec<OwnerTask> {
        std::mem::take(&mut self.tasks)
    }

    /// Adopts the leader's map if it is newer than the current one; returns whether it is.
    pub fn update_map(&mut self, map: ShareMap) -> bool {
        let is_newer = map.is_newer_than(&self.map);
        if is_newer {
            self.map = map;
            let version = self.map.version();
            self.newer_offers.retain(|_, offer_version| *offer_version > version);
        }
        is_newer
    }

    /// Called after every event. `present`: the members that are not considered gone,
    /// including this one.
    pub fn tick(&mut self, now: Mono, present: &[Member]) -> Vec<StoreRequest> {
        self.protocol.set_lease_valid(self.lease_valid(now));
        let mut requests = Vec::new();
        match self.lease {
            Lease::None if now >= self.next_grant => {
                self.next_grant = now.plus(CLAIM_RETRY_PAUSE_MS);
                self.set_lease(Lease::Granting, "requesting a lease");
                requests.push(StoreRequest::GrantLease);
            }
            Lease::Held { id, .. } if now >= self.next_renewal => {
                self.next_renewal = now.plus(LEASE_RENEWAL_PERIOD_MS);
                requests.push(StoreRequest::RenewLease(id));
            }
            _ => {}
        }
        if !self.list_in_progress && now >= self.next_list {
            // The watch may be stuck, so the keys are also polled, as is the leader key.
            self.next_list = now.plus(LEADER_KEY_POLL_PERIOD_MS);
            self.list_in_progress = true;
            requests.push(StoreRequest::ListKeys { after: String::new(), first_revision: None });
        }
        if now >= self.next_reconcile && self.lease_valid(now) {
            self.next_reconcile = now.plus(OWNERS_CHECK_PERIOD_MS);
            self.lapsed_members.retain(|_, since| now.since(*since) < LAPSED_OWNER_EXCLUSION_MS);
            self.reconcile(now, present, &mut requests);
        }
        requests
    }

    /// Updates the protocol from the map and the members present.
    fn reconcile(&mut self, now: Mono, present: &[Member], requests: &mut Vec<StoreRequest>) {
        let index_of = |member: &Member| self.members.binary_search(member).ok();
        let mut present_indices: Vec<MemberIndex> =
            present.iter().filter_map(index_of).map(|n| MemberIndex(n as u8)).collect();
        if !present_indices.contains(&self.me) {
            present_indices.push(self.me);
        }
        present_indices
            .retain(|member| !self.lapsed_members.contains_key(member) || *member == self.me);
        for n in 0..self.members.len() as u8 {
            if !present_indices.contains(&MemberIndex(n)) {
                self.apply_event(Event::PeerGone { peer: MemberIndex(n) }, requests);
            }
        }
        for share in ShareId::all() {
            if matches!(self.protocol.key(share), KeyState::Free { .. }) {
                self.unclaimed_since.entry(share).or_insert(now);
            } else {
                self.unclaimed_since.remove(&share);
            }
            if let Some(to) = self.target_owner(share, &present_indices, now) {
                self.apply_event(Event::Planned { share, to }, requests);
            }
            if !matches!(
                self.protocol.phase(share),
                SharePhase::NotOwned | SharePhase::Serving { .. }
            ) {
                self.apply_event(Event::Retry { share }, requests);
            }
        }
    }

    /// The controller that should own a share. A share with a holder moves only by the map; one
    /// without a holder falls to the owner by the map if that is present, else to the fallback
    /// owner.
    fn target_owner(
        &self,
        share: ShareId,
        present_indices: &[MemberIndex],
        now: Mono,
    ) -> Option<MemberIndex> {
        // Controllers with different maps may each consider another one the owner of a share. One
        // that stays free for long goes to whichever controller claims it first.
        let unclaimed = self
            .unclaimed_since
            .get(&share)
            .is_some_and(|at| now.since(*at) >= UNOWNED_CLAIM_DELAY_MS);
        if unclaimed || self.newer_offers.contains_key(&share) {
            return Some(self.me);
        }
        let mapped_owner =
            self.map.owners.get(&share).filter(|member| present_indices.contains(member)).copied();
        let unheld = match self.protocol.key(share) {
            KeyState::Unknown => false,
            KeyState::Free { .. } => true,
            KeyState::Held { holder, .. } => {
                matches!(holder, KeyHolder::FormerLease | KeyHolder::Invalid)
            }
        };
        let owned_here = self.protocol.owner(share) == Some(self.me);
        mapped_owner.or_else(|| match (unheld, owned_here) {
            (true, _) => fallback_owner(share, &self.map, present_indices),
            (false, true) => Some(self.me),
            (false, false) => None,
        })
    }

    /// Passes an event to the protocol, and carries out the resulting actions.
    fn apply_event(&mut self, event: Event, requests: &mut Vec<StoreRequest>) {
        for action in self.protocol.handle(event) {
            match action {
                Action::WriteKey { share, attempt, expected } => match self.lease {
                    Lease::Held { id, nonce, .. } => {
                        let txn = self.write_txn(share, expected, id, nonce);
                        requests.push(StoreRequest::WriteKey { share, attempt, txn });
                    }
                    // Nothing can be written without a lease; in that state the protocol starts no
                    // write.
                    _ => self.apply_event(Event::WriteRejected { share, attempt }, requests),
                },
                Action::ReadKey { .. } => self.next_list = Mono(0),
                Action::Drain { share } => self.tasks.push(OwnerTask::Drain(share)),
                Action::SyncRecords { share, up_to } => {
                    self.tasks.push(OwnerTask::SyncRecords(share, up_to))
                }
                Action::Offer { share, to, token } => {
                    if let Some(to) = self.members.get(usize::from(to.0)).cloned() {
                        let map_version = self.map.version();
                        self.tasks.push(OwnerTask::Offer { to, share, token, map_version });
                    }
                }
            }
        }
    }

    fn write_txn(
        &self,
        share: ShareId,
        expected: Option<Token>,
        lease: LeaseId,
        nonce: u64,
    ) -> Txn {
        let member = self.members[usize::from(self.me.0)].clone();
        let record = OwnerRecord { member, lease: nonce };
        let version = Revision(expected.map_or(0, |token| token.0));
        Txn {
            conditions: vec![Condition { key: share.key(), version }],
            changes: vec![Change::Put {
                key: share.key(),
                value: serde_json::json!(record),
                lease: Some(lease),
            }],
        }
    }

    /// Processes a peer's offer of a share.
    pub fn on_offer(
        &mut self,
        from: &Member,
        share: ShareId,
        (token, map_version): (Token, MapVersion),
        now: Mono,
    ) -> Vec<StoreRequest> {
        self.protocol.set_lease_valid(self.lease_valid(now));
        let mut requests = Vec::new();
        // Offers from unknown members are ignored.
        if let Ok(index) = self.members.binary_search(from) {
            let from = MemberIndex(index as u8);
            self.apply_event(Event::Offered { share, from, token }, &mut requests);
            let accepted = matches!(
                self.protocol.phase(share),
                SharePhase::Acquiring { replaced } if replaced == token
            );
            if accepted && map_version > self.map.version() {
                self.newer_offers.insert(share, map_version);
            }
        }
        requests
    }

    /// The open writes of a share's records are settled.
    pub fn on_drained(&mut self, share: ShareId) {
        self.apply_event(Event::Drained { share }, &mut Vec::new());
    }

    /// The copy of a share's records is complete up to a revision.
    pub fn on_records_synced(&mut self, share: ShareId, up_to: Token) {
        self.apply_event(Event::RecordsSynced { share, up_to }, &mut Vec::new());
    }

    /// Processes the reply to a request sent at `sent`. `random` becomes the nonce of a new lease.
    pub fn on_store_reply(
        &mut self,
        now: Mono,
        request: &StoreRequest,
        sent: Mono,
        reply: &StoreReply,
        random: u64,
    ) -> Vec<StoreRequest> {
        let mut requests = Vec::new();
        match request {
            StoreRequest::GrantLease => match *reply {
                StoreReply::Granted(id) => {
                    let until = lease_end(sent);
                    self.set_lease(Lease::Held { id, nonce: random, until }, "granted");
                    self.next_renewal = now.plus(LEASE_RENEWAL_PERIOD_MS);
                    self.next_list = now;
                }
                // If the lease was granted after all, it ends by itself.
                _ => self.set_lease(Lease::None, "the lease was not granted"),
            },
            StoreRequest::RenewLease(renewed_id) => self.on_renewal(sent, *renewed_id, reply),
            StoreRequest::ListKeys { first_revision, .. } => {
                self.on_list(*first_revision, reply, &mut requests)
            }
            StoreRequest::WatchKeys(after) => self.on_watch(now, *after, reply, &mut requests),
            StoreRequest::WriteKey { share, attempt, .. } => {
                let (share, attempt) = (*share, *attempt);
                self.protocol.set_lease_valid(self.lease_valid(now));
                let event = match reply {
                    StoreReply::Committed(revision) => {
                        Event::KeyWritten { share, attempt, token: Token(revision.0) }
                    }
                    StoreReply::Lost => Event::WriteTimedOut { share, attempt },
                    _ => Event::WriteRejected { share, attempt },
                };
                self.apply_event(event, &mut requests);
            }
        }
        self.protocol.set_lease_valid(self.lease_valid(now));
        requests
    }

    fn on_renewal(&mut self, sent: Mono, renewed_id: LeaseId, reply: &StoreReply) {
        let Lease::Held { id, nonce, until } = self.lease else { return };
        if id != renewed_id {
            return;
        }
        match reply {
            StoreReply::Touched => {
                let until = until.max(lease_end(sent));
                self.set_lease(Lease::Held { id, nonce, until }, "renewed");
            }
            StoreReply::NoSuchLease => {
                self.set_lease(Lease::None, "the lease has ended");
                self.apply_event(Event::LeaseEnded, &mut Vec::new());
            }
            _ => {}
        }
    }

    /// Interprets a share's record, stored at `version`: which controller holds the share's key.
    fn key_state(&self, value: &serde_json::Value, version: Revision) -> KeyState {
        let holder = match ParsedRecord::parse(value) {
            ParsedRecord::Invalid => KeyHolder::Invalid,
            ParsedRecord::Valid(record) => match self.members.binary_search(&record.member) {
                Err(_) => KeyHolder::Invalid,
                Ok(index) if MemberIndex(index as u8) != self.me => {
                    KeyHolder::Other(MemberIndex(index as u8))
                }
                Ok(_) => match self.lease {
                    Lease::Held { nonce, .. } if nonce == record.lease => KeyHolder::CurrentLease,
                    _ => KeyHolder::FormerLease,
                },
            },
        };
        if holder == KeyHolder::Invalid {
            log::warn!(
                "owners: a share record at revision {version} is invalid or names no member"
            );
        }
        KeyState::Held { holder, token: Token(version.0) }
    }

    fn on_list(
        &mut self,
        first_revision: Option<Revision>,
        reply: &StoreReply,
        requests: &mut Vec<StoreRequest>,
    ) {
        let StoreReply::Page(page) = reply else {
            self.list_in_progress = false;
            self.listed_shares.clear();
            return;
        };
        let first_revision = first_revision.unwrap_or(page.revision);
        for Row { key, value, version, .. } in &page.rows {
            if let Some(share) = ShareId::from_key(key) {
                self.listed_shares.push(share);
                let key = self.key_state(value, *version);
                self.apply_event(Event::KeyRead { share, key }, requests);
            }
        }
        if let Some(last) = page.rows.last().filter(|_| page.more) {
            requests.push(StoreRequest::ListKeys {
                after: last.key.clone(),
                first_revision: Some(first_revision),
            });
            return;
        }
        self.list_in_progress = false;
        let listed_shares = std::mem::take(&mut self.listed_shares);
        for share in ShareId::all().filter(|share| !listed_shares.contains(share)) {
            // The key was absent when its page was read, at `first_revision` or later.
            let key = KeyState::Free { revision: Token(first_revision.0) };
            self.apply_event(Event::KeyRead { share, key }, requests);
        }
        if !self.watching {
            self.watching = true;
            requests.push(StoreRequest::WatchKeys(first_revision));
        }
    }

    fn on_watch(
        &mut self,
        now: Mono,
        after: Revision,
        reply: &StoreReply,
        requests: &mut Vec<StoreRequest>,
    ) {
        self.watching = false;
        // The next list starts the watch again.
        let StoreReply::Changes(changes) = reply else { return };
        for LoggedChange { put, delete, value, version } in &changes.log {
            if let Some(share) = put.as_deref().and_then(ShareId::from_key) {
                let key = self.key_state(value, *version);
                self.apply_event(Event::KeyRead { share, key }, requests);
            } else if let Some(share) = delete.as_deref().and_then(ShareId::from_key) {
                if let KeyState::Held { holder: KeyHolder::Other(member), token } =
                    self.protocol.key(share)
                    && token.0 < version.0
                {
                    self.lapsed_members.insert(member, now);
                    self.next_reconcile = now;
                }
                let key = KeyState::Free { revision: Token(version.0) };
                self.apply_event(Event::KeyRead { share, key }, requests);
            }
        }
        self.watching = true;
        requests.push(StoreRequest::WatchKeys(changes.revision.max(after)));
    }
}
