//! Leader election. The leader holds the key `lead` under a lease of the state service; the revision
//! at which the key was created is the fencing token. Every answer that only a leader may give is
//! checked with [`Leadership::valid`] first, which counts from the *sending* of the last successful
//! renewal.

use crate::constants::*;
use crate::store::StoreReply;
use oatloom_protocol::ids::{LeaseId, Member, Millis, Mono, Revision, Token};
use oatloom_protocol::wire::{Change, Condition, Row, Txn};
use serde::{Deserialize, Serialize};

/// Key in the state service that the leader holds.
pub const LEADER_KEY: &str = "lead";

/// Content of the leader key.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
struct LeaderRecord {
    member: Member,
    /// Distinguishes this claim from earlier claims of the same member.
    nonce: u64,
    /// Address bound exclusively by the claiming process; earlier versions write none.
    #[serde(default, rename = "at", skip_serializing_if = "Option::is_none")]
    address: Option<String>,
}

/// Role of this controller in the election.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Another controller leads, or nobody.
    Follower,
    /// A lease has been requested.
    Granting,
    /// The claim has been sent, or its reply was lost.
    Claiming { lease: LeaseId, until: Mono, nonce: u64 },
    /// This controller holds the key and may act as leader before `until`. After it the leader is
    /// suspended but keeps its state, since the state service extends leases in full after an outage.
    Leader { lease: LeaseId, until: Mono, token: Token },
}

/// A request to the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipRequest {
    /// Read the leader key.
    Read,
    /// Watch the leader key for changes after a revision.
    Watch(Revision),
    /// Grant a lease.
    Grant,
    /// Create the leader key if it is free.
    Claim(Txn),
    /// Renew a lease.
    Renew(LeaseId),
    /// Revoke a lease.
    Revoke(LeaseId),
}

/// A change of leadership that the rest of the controller has to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// This controller leads now, with this fencing token.
    Elected(Token),
    /// This controller no longer leads.
    Deposed,
}

/// Election state of this controller.
#[derive(Debug)]
pub struct Leadership {
    member: Member,
    /// Address bound exclusively by this process, if there is one.
    bound_address: Option<String>,
    /// Token of the last unreadable leader record, so that each is logged once, and their number.
    undecodable: (Token, u64),
    /// Lease of an earlier incarnation whose revocation was requested.
    revoked_lease: Option<LeaseId>,
    role: Role,
    leader: Option<(Member, Token)>,
    /// Highest token known; messages about older ones are ignored.
    highest_token: Token,
    /// Whether the key was last seen to be free.
    key_is_free: bool,
    next_read: Mono,
    next_claim: Mono,
    next_renewal: Mono,
    watching: bool,
    /// When the pending read was sent.
    pending_read: Option<Mono>,
    /// Replies to reads sent before this are outdated: a later read was answered, or a claim was begun since.
    oldest_valid_read: Mono,
    change: Option<LeadershipChange>,
}

/// End of validity of a lease whose last successful renewal was sent at `sent`.
pub(crate) fn lease_end(sent: Mono) -> Mono {
    let ttl = LEADER_LEASE_TTL_MS.0 as f64 * (1.0 - MAX_CLOCK_DRIFT);
    sent.plus(Millis(ttl as u64 - LEASE_VALIDITY_MARGIN_MS.0))
}

impl Leadership {
    /// `bound_address`: the address that this process has bound exclusively; `None` if another machine may have bound the
    /// same address.
    pub fn new(member: Member, bound_address: Option<String>) -> Self {
        Self {
            member,
            bound_address,
            undecodable: (Token(0), 0),
            revoked_lease: None,
            role: Role::Follower,
            leader: None,
            highest_token: Token(0),
            key_is_free: false,
            next_read: Mono(0),
            next_claim: Mono(0),
            next_renewal: Mono(0),
            watching: false,
            pending_read: None,
            oldest_valid_read: Mono(0),
            change: None,
        }
    }

    /// This controller's token, while it may act as leader.
    pub fn valid(&self, now: Mono) -> Option<Token> {
        match self.role {
            Role::Leader { until, token, .. } if now < until => Some(token),
            _ => None,
        }
    }

    /// This controller's token while it holds the key, even if its lease may have expired.
    pub fn token(&self) -> Option<Token> {
        match self.role {
            Role::Leader { token, .. } => Some(token),
            _ => None,
        }
    }

    /// The condition that fences every write of the leader.
    pub fn fence(&self) -> Option<Condition> {
        self.token().map(|token| Condition { key: LEADER_KEY.into(), version: Revision(token.0) })
    }

    /// The leader, as far as known, if it is another controller.
    pub fn other_leader(&self) -> Option<&Member> {
        self.leader.as_ref().map(|(member, _)| member).filter(|member| **member != self.member)
    }

    /// Token of the leader, as far as known.
    pub fn leader_token(&self) -> Option<Token> {
        self.leader.as_ref().map(|(_, token)| *token)
    }

    /// Changes the role; all role changes go through here.
    fn enter(&mut self, role: Role, why: &str) {
        let was_leader = matches!(self.role, Role::Leader { .. });
        match &role {
            Role::Leader { token, .. } if !was_leader => {
                log::info!("leadership: leading with token {token} ({why})");
                self.leader = Some((self.member.clone(), *token));
                self.highest_token = self.highest_token.max(*token);
                self.change = Some(LeadershipChange::Elected(*token));
            }
            Role::Leader { .. } => {}
            _ if was_leader => {
                log::warn!("leadership: no longer leading ({why})");
                self.leader = None;
                self.change = Some(LeadershipChange::Deposed);
            }
            other => log::debug!("leadership: {other:?} ({why})"),
        }
        self.role = role;
    }

    /// The change of leadership since the last call, if any.
    pub fn take_change(&mut self) -> Option<LeadershipChange> {
        self.change.take()
    }

    /// Returns the requests that are due now.
    pub fn tick(&mut self, now: Mono) -> Vec<LeadershipRequest> {
        let mut requests = Vec::new();
        match self.role.clone() {
            Role::Follower => {
                if self.key_is_free && now >= self.next_claim {
                    self.enter(Role::Granting, "the leader key is free");
                    self.oldest_valid_read = now;
                    requests.push(LeadershipRequest::Grant);
                } else if self.read_due(now) {
                    self.pending_read = Some(now);
                    self.next_read = now.plus(LEADER_KEY_POLL_PERIOD_MS);
                    requests.push(LeadershipRequest::Read);
                }
            }
            Role::Claiming { until, lease, .. } if now >= until => {
                // The claim may still be applied late under this lease, so the lease is revoked first.
                self.enter(Role::Follower, "the claim timed out");
                requests.push(LeadershipRequest::Revoke(lease));
            }
            Role::Leader { lease, .. } if now >= self.next_renewal => {
                self.next_renewal = now.plus(LEASE_RENEWAL_PERIOD_MS);
                requests.push(LeadershipRequest::Renew(lease));
            }
            _ => {}
        }
        requests
    }

    /// Whether the key is to be read now: regularly, and again soon if no reply comes. Without the early retry a
    /// controller that sends no other requests would take two lost replies for a state service that refuses it.
    fn read_due(&self, now: Mono) -> bool {
        match self.pending_read {
            Some(sent) => now.since(sent) >= LEADER_KEY_READ_RETRY_MS,
            None => now >= self.next_read,
        }
    }

    /// Steps down if a worker has shown a higher token of another leader.
    pub fn on_higher_token(&mut self, token: Token) {
        if self.token().is_some_and(|mine| token > mine) {
            self.enter(Role::Follower, "a worker reported a higher token");
            self.next_read = Mono(0);
        }
    }

    /// Handles a peer's message that it leads. A controller that only the state service refuses would
    /// otherwise take itself for the leader for as long as that lasts, and turn away users and workers
    /// that the new leader could serve.
    pub fn on_peer_leader(&mut self, leader: &Member, token: Token) {
        if token <= self.highest_token || *leader == self.member {
            return;
        }
        self.highest_token = token;
        if self.token().is_some() {
            self.enter(Role::Follower, "a peer leads with a higher token");
            self.next_read = Mono(0);
        }
        if self.role == Role::Follower {
            log::info!("leadership: {leader} reports that it leads with token {token}");
            self.key_is_free = false;
            self.leader = Some((leader.clone(), token));
        }
    }

    /// Gives up the leadership: a fenced write failed on the leader key, or the watch fell behind.
    pub fn step_down(&mut self) {
        if matches!(self.role, Role::Leader { .. }) {
            self.enter(Role::Follower, "a fenced write was rejected");
            self.next_read = Mono(0);
        }
    }

    /// Handles the reply to `request`, which was sent at `sent`. `random` becomes the nonce of a claim.
    pub fn on_reply(
        &mut self,
        now: Mono,
        request: &LeadershipRequest,
        sent: Mono,
        reply: &StoreReply,
        random: u64,
    ) -> Vec<LeadershipRequest> {
        match request {
            LeadershipRequest::Read => self.on_read(now, sent, reply),
            LeadershipRequest::Watch(after) => self.on_watch(now, *after, reply),
            LeadershipRequest::Grant => self.on_grant(now, sent, reply, random),
            LeadershipRequest::Claim(_) => self.on_claim(now, reply),
            LeadershipRequest::Renew(lease) => self.on_renewal(sent, *lease, reply),
            LeadershipRequest::Revoke(_) => Vec::new(),
        }
    }

    fn watch(&mut self, after: Revision) -> Vec<LeadershipRequest> {
        if self.watching {
            return Vec::new();
        }
        self.watching = true;
        vec![LeadershipRequest::Watch(after)]
    }

    fn on_read(&mut self, now: Mono, sent: Mono, reply: &StoreReply) -> Vec<LeadershipRequest> {
        let answered = matches!(reply, StoreReply::Found(_) | StoreReply::Missing(_));
        if answered || self.pending_read.is_none_or(|latest| latest <= sent) {
            self.pending_read = None;
        }
        if sent < self.oldest_valid_read {
            return Vec::new();
        }
        if answered {
            self.oldest_valid_read = sent;
        }
        match reply {
            StoreReply::Found(row) => self.on_row(now, row),
            StoreReply::Missing(_) => match self.role.clone() {
                Role::Leader { .. } => {
                    self.enter(Role::Follower, "the leader key is gone");
                    self.key_is_free = true;
                    Vec::new()
                }
                Role::Claiming { .. } => Vec::new(),
                _ => {
                    self.leader = None;
                    self.key_is_free = true;
                    self.tick(now)
                }
            },
            _ => Vec::new(),
        }
    }

    fn on_row(&mut self, now: Mono, row: &Row) -> Vec<LeadershipRequest> {
        self.key_is_free = false;
        let token = Token(row.version.0);
        self.highest_token = self.highest_token.max(token);
        let Ok(record) = serde_json::from_value::<LeaderRecord>(row.value.clone()) else {
            if self.undecodable.0 != token {
                self.undecodable = (token, self.undecodable.1 + 1);
                let count = self.undecodable.1;
                log::error!(
                    "leadership: the leader record cannot be decoded (revision {token}, number {count})"
                );
            }
            // Whoever wrote it, this controller no longer holds the key that fences its writes.
            if self.token().is_some_and(|mine| mine != token) {
                self.enter(Role::Follower, "the leader key was overwritten");
            }
            return Vec::new();
        };
        match self.role.clone() {
            Role::Claiming { lease, until, nonce } => {
                if record.member == self.member && record.nonce == nonce {
                    self.enter(
                        Role::Leader { lease, until, token },
                        "the claim whose reply was lost had succeeded",
                    );
                    return Vec::new();
                }
                self.enter(Role::Follower, "another claim was first");
                self.leader = Some((record.member, token));
                let mut requests = self.watch(row.version);
                requests.push(LeadershipRequest::Revoke(lease));
                requests
            }
            Role::Leader { token: mine, .. } => {
                if mine != token {
                    self.enter(Role::Follower, "another leader holds the key");
                    self.leader = Some((record.member, token));
                    return self.watch(row.version);
                }
                Vec::new()
            }
            _ => {
                if self.leader.as_ref().is_none_or(|(_, leader_token)| *leader_token != token) {
                    log::info!("leadership: {} leads with token {token}", record.member);
                }
                let mut requests = self.revoke_earlier_lease(now, &record, row);
                self.leader = Some((record.member, token));
                requests.extend(self.watch(row.version));
                requests
            }
        }
    }

    /// Revokes the lease of an earlier incarnation of this controller that still holds the leader key, instead of
    /// waiting for it to expire. That process has ended: it had bound the address that this one has bound now. Its
    /// pending writes are fenced by the key, which is deleted with the lease. The other controllers, which know more of
    /// the fleet, may claim first.
    fn revoke_earlier_lease(
        &mut self,
        now: Mono,
        record: &LeaderRecord,
        row: &Row,
    ) -> Vec<LeadershipRequest> {
        let own = record.member == self.member
            && self.bound_address.is_some()
            && record.address == self.bound_address;
        let Some(lease) = row.lease.filter(|lease| own && self.revoked_lease != Some(*lease))
        else {
            return Vec::new();
        };
        log::info!(
            "leadership: an earlier incarnation of this controller holds the key; revoking its lease"
        );
        self.revoked_lease = Some(lease);
        self.next_claim = now.plus(CLAIM_RETRY_PAUSE_MS);
        vec![LeadershipRequest::Revoke(lease)]
    }

    fn on_watch(
        &mut self,
        now: Mono,
        after: Revision,
        reply: &StoreReply,
    ) -> Vec<LeadershipRequest> {
        self.watching = false;
        if !matches!(self.role, Role::Follower) {
            return Vec::new();
        }
        match reply {
            StoreReply::Changes(changes) => {
                for change in &changes.log {
                    if change.delete.as_deref() == Some(LEADER_KEY) {
                        log::info!("leadership: the leader key was deleted");
                        self.leader = None;
                        self.key_is_free = true;
                    } else if change.put.as_deref() == Some(LEADER_KEY) {
                        let row = Row {
                            key: LEADER_KEY.into(),
                            value: change.value.clone(),
                            version: change.version,
                            lease: None,
                        };
                        self.watching = true;
                        self.on_row(now, &row);
                        self.watching = false;
                    }
                }
                self.watch(changes.revision.max(after))
            }
            // The next read starts the watch again.
            _ => Vec::new(),
        }
    }

    fn on_grant(
        &mut self,
        now: Mono,
        sent: Mono,
        reply: &StoreReply,
        random: u64,
    ) -> Vec<LeadershipRequest> {
        if self.role != Role::Granting {
            return Vec::new();
        }
        let StoreReply::Granted(lease) = *reply else {
            self.enter(Role::Follower, "no lease was granted");
            self.key_is_free = false;
            self.next_read = now.plus(CLAIM_RETRY_PAUSE_MS);
            return Vec::new();
        };
        let until = lease_end(sent);
        self.enter(Role::Claiming { lease, until, nonce: random }, "lease granted");
        let record = LeaderRecord {
            member: self.member.clone(),
            nonce: random,
            address: self.bound_address.clone(),
        };
        vec![LeadershipRequest::Claim(Txn {
            conditions: vec![Condition { key: LEADER_KEY.into(), version: Revision(0) }],
            changes: vec![Change::Put {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(&record).unwrap_or_default(),
                lease: Some(lease),
            }],
        })]
    }

    fn on_claim(&mut self, now: Mono, reply: &StoreReply) -> Vec<LeadershipRequest> {
        let Role::Claiming { lease, until, .. } = self.role.clone() else {
            return Vec::new();
        };
        match reply {
            StoreReply::Committed(revision) => {
                let token = Token(revision.0);
                self.enter(Role::Leader { lease, until, token }, "claim committed");
                self.key_is_free = false;
                self.next_renewal = now;
                self.tick(now)
            }
            // The outcome is unknown until the key is read. The claim's timeout bounds the wait.
            StoreReply::Lost => {
                self.pending_read = Some(now);
                vec![LeadershipRequest::Read]
            }
            _ => {
                self.enter(Role::Follower, "the claim failed");
                self.key_is_free = false;
                self.next_read = now;
                self.next_claim = now.plus(CLAIM_RETRY_PAUSE_MS);
                vec![LeadershipRequest::Revoke(lease)]
            }
        }
    }

    fn on_renewal(
        &mut self,
        sent: Mono,
        renewed_lease: LeaseId,
        reply: &StoreReply,
    ) -> Vec<LeadershipRequest> {
        let Role::Leader { lease, until, token } = self.role.clone() else {
            return Vec::new();
        };
        if lease != renewed_lease {
            return Vec::new();
        }
        match reply {
            StoreReply::Touched => {
                let until = until.max(lease_end(sent));
                self.enter(Role::Leader { lease, until, token }, "renewed");
            }
            StoreReply::NoSuchLease => {
                self.enter(Role::Follower, "the lease has ended");
                self.next_read = Mono(0);
            }
            _ => {}
        }
        Vec::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn elected() -> Leadership {
        let mut leadership = Leadership::new(Member::new("a"), Some("10.0.0.1:80".into()));
        assert_eq!(leadership.tick(Mono(0)), vec![LeadershipRequest::Read]);
        let requests = leadership.on_reply(
            Mono(1),
            &LeadershipRequest::Read,
            Mono(0),
            &StoreReply::Missing(Revision(1)),
            7,
        );
        assert_eq!(requests, vec![LeadershipRequest::Grant]);
        let granted = StoreReply::Granted(LeaseId(3));
        let requests =
            leadership.on_reply(Mono(50), &LeadershipRequest::Grant, Mono(10), &granted, 7);
        let committed = StoreReply::Committed(Revision(9));
        leadership.on_reply(Mono(60), &requests[0], Mono(50), &committed, 7);
        leadership
    }

    /// A leader that only the state service refuses steps down when a peer reports a higher token; late
    /// messages about an earlier leader are ignored.
    #[test]
    fn a_peer_with_a_higher_token_ends_a_leader_term() {
        let mut leadership = elected();
        leadership.take_change();
        let peer = Member::new("b");
        leadership.on_peer_leader(&peer, Token(9));
        assert_eq!(leadership.token(), Some(Token(9)));
        leadership.on_peer_leader(&peer, Token(12));
        assert_eq!(
            (leadership.token(), leadership.take_change()),
            (None, Some(LeadershipChange::Deposed))
        );
        assert_eq!(leadership.other_leader(), Some(&peer));
        leadership.on_peer_leader(&Member::new("c"), Token(11));
        assert_eq!(leadership.other_leader(), Some(&peer));
    }

    /// Validity counts from the sending of the grant, not from its reply.
    #[test]
    fn validity_counts_from_the_sending() {
        let mut leadership = elected();
        assert_eq!(leadership.take_change(), Some(LeadershipChange::Elected(Token(9))));
        let end = lease_end(Mono(10));
        assert!(end < Mono(10).plus(LEADER_LEASE_TTL_MS));
        assert_eq!(leadership.valid(Mono(end.0 - 1)), Some(Token(9)));
        assert_eq!(leadership.valid(end), None);
        // After a late renewal, as after an outage, the same token is valid again.
        leadership.on_reply(
            Mono(9_000),
            &LeadershipRequest::Renew(LeaseId(3)),
            Mono(8_990),
            &StoreReply::Touched,
            0,
        );
        assert_eq!(leadership.valid(Mono(9_000)), Some(Token(9)));
    }

    #[test]
    fn an_ended_lease_or_a_higher_token_deposes() {
        let mut leadership = elected();
        leadership.take_change();
        leadership.on_reply(
            Mono(70),
            &LeadershipRequest::Renew(LeaseId(3)),
            Mono(65),
            &StoreReply::NoSuchLease,
            0,
        );
        assert_eq!(leadership.take_change(), Some(LeadershipChange::Deposed));
        let mut leadership = elected();
        leadership.take_change();
        leadership.on_higher_token(Token(9));
        assert_eq!(leadership.take_change(), None);
        leadership.on_higher_token(Token(10));
        assert_eq!(leadership.take_change(), Some(LeadershipChange::Deposed));
    }

    /// A restarted controller revokes the lease of its earlier incarnation once, and no other lease: not another
    /// member's, not that of a process of the same name at another address, and not one written by an earlier version.
    #[test]
    fn only_the_lease_of_an_earlier_incarnation_is_revoked() {
        let row = |member: &str, at: Option<&str>, lease| Row {
            key: LEADER_KEY.into(),
            value: serde_json::json!({"member": member, "nonce": 7, "at": at}),
            version: Revision(9),
            lease,
        };
        let (here, there) = (Some("10.0.0.1:80"), Some("10.0.0.2:80"));
        let earlier = Some(LeaseId(5));
        let cases = [
            (row("a", here, earlier), true),
            (row("a", here, None), false),
            (row("a", there, earlier), false),
            (row("a", None, earlier), false),
            (row("b", here, earlier), false),
        ];
        for bound_address in [here, None] {
            for (row, ends) in &cases {
                let mut leadership =
                    Leadership::new(Member::new("a"), bound_address.map(str::to_owned));
                leadership.tick(Mono(0));
                let found = StoreReply::Found(row.clone());
                let requests =
                    leadership.on_reply(Mono(1), &LeadershipRequest::Read, Mono(0), &found, 7);
                let revokes = requests.contains(&LeadershipRequest::Revoke(LeaseId(5)));
                assert_eq!(revokes, *ends && bound_address.is_some(), "{row:?}");
                let again =
                    leadership.on_reply(Mono(2), &LeadershipRequest::Read, Mono(1), &found, 7);
                assert!(!again.contains(&LeadershipRequest::Revoke(LeaseId(5))));
                // It does not lead before its own claim has succeeded.
                assert_eq!(leadership.valid(Mono(3)), None);
            }
        }
    }

    /// A leader record that cannot be decoded names no leader and is counted once; a leader whose key it has replaced
    /// steps down.
    #[test]
    fn an_undecodable_leader_record_names_no_leader() {
        let row = |version| Row {
            key: LEADER_KEY.into(),
            value: serde_json::json!({"member": 7, "of": "the future"}),
            version: Revision(version),
            lease: Some(LeaseId(5)),
        };
        let mut leadership = elected();
        for (version, count) in [(21, 1), (21, 1), (22, 2)] {
            let requests = leadership.on_reply(
                Mono(80),
                &LeadershipRequest::Read,
                Mono(79),
                &StoreReply::Found(row(version)),
                7,
            );
            assert!(
                requests.is_empty()
                    && leadership.token().is_none()
                    && leadership.other_leader().is_none()
            );
            assert_eq!(leadership.undecodable, (Token(version), count));
            assert!(
                !leadership.tick(Mono(81)).contains(&LeadershipRequest::Grant),
                "the key is not free either"
            );
        }
    }

    /// A claim whose reply was lost is resolved by reading the key: the nonce decides, not the member name.
    #[test]
    fn a_claim_with_a_lost_reply_is_resolved_by_reading_the_key() {
        for (nonce, wins) in [(7, true), (8, false)] {
            let mut leadership = Leadership::new(Member::new("a"), Some("10.0.0.1:80".into()));
            leadership.tick(Mono(0));
            leadership.on_reply(
                Mono(1),
                &LeadershipRequest::Read,
                Mono(0),
                &StoreReply::Missing(Revision(1)),
                7,
            );
            let requests = leadership.on_reply(
                Mono(2),
                &LeadershipRequest::Grant,
                Mono(1),
                &StoreReply::Granted(LeaseId(3)),
                7,
            );
            let requests =
                leadership.on_reply(Mono(3), &requests[0], Mono(2), &StoreReply::Lost, 0);
            assert_eq!(requests, vec![LeadershipRequest::Read]);
            let row = Row {
                key: LEADER_KEY.into(),
                value: serde_json::json!({"member": "a", "nonce": nonce}),
                version: Revision(5),
                lease: None,
            };
            leadership.on_reply(
                Mono(4),
                &LeadershipRequest::Read,
                Mono(3),
                &StoreReply::Found(row),
                0,
            );
            assert_eq!(leadership.valid(Mono(5)).is_some(), wins);
        }
    }
}
