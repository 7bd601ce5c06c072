//! Which shares of the machines this controller owns: its lease of the state service, the keys under it, their watch, and
//! what is offered to it. [`oatloom_shares::Desk`] decides; here it gets its clock and its words to the state service.
//! Every answer that only an owner may give asks [`Owners::may_answer`] first, whose end counts from the *sending* of the
//! last good renewal.

use crate::constants::*;
use crate::leadership::lease_end;
use crate::store::StoreReply;
use oatloom_protocol::ids::{LeaseId, Member, Mono, Revision, Token};
use oatloom_protocol::wire::{Change, Condition, Logged, Row, Txn};
use oatloom_shares::{
    Action, Desk, Event, Holder, Holding, Key, Map, OwnerRecord, Read, Seat, ShareId, Stamp,
    fallback,
};
use std::collections::BTreeMap;

/// Where this controller's lease stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lease {
    None,
    Granting,
    /// Relied on while `until` lies ahead. Past it the keys may stand still, since an outage gives leases their full time
    /// back.
    Held {
        id: LeaseId,
        nonce: u64,
        until: Mono,
    },
}

/// What the slice wants from the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    Grant,
    Touch(LeaseId),
    /// All keys of owners, after one of them.
    List {
        after: String,
        first: Option<Revision>,
    },
    Watch(Revision),
    Write {
        share: ShareId,
        attempt: u32,
        txn: Txn,
    },
}

/// What it wants from the rest of the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// Settle open writes of a share's records; [`Owners::drained`] says that it is done.
    Drain(ShareId),
    /// Complete the copy of a share's records up to a revision; [`Owners::copied`] says so.
    Copy(ShareId, Token),
    /// Tell a peer that it may take a share, and by which map.
    Offer { to: Member, share: ShareId, token: Token, by: Stamp },
}

#[derive(Debug)]
pub struct Owners {
    me: Seat,
    /// All controllers of the settings, sorted: their places are their seats.
    members: Vec<Member>,
    desk: Desk,
    lease: Lease,
    next_grant: Mono,
    next_touch: Mono,
    next_list: Mono,
    next_again: Mono,
    listing: bool,
    /// Keys found by the list at hand.
    listed: Vec<ShareId>,
    watching: bool,
    map: Map,
    /// Shares that were offered by a newer map than this controller has: it keeps them until it has that one. Guards
    /// against handing to and fro for as long as two maps differ.
    ahead: BTreeMap<ShareId, Stamp>,
    /// Members whose keys fell free, as they do when a lease ends, and when: whatever else is heard of them, they do not
    /// serve just now.
    lapsed: BTreeMap<Seat, Mono>,
    /// Since when keys have been nobody's.
    free: BTreeMap<ShareId, Mono>,
    work: Vec<Work>,
}

impl Owners {
    /// `peers` may name this controller too.
    pub fn new(me: &Member, peers: impl IntoIterator<Item = Member>, shares: u16) -> Self {
        let mut members: Vec<Member> = peers.into_iter().chain([me.clone()]).collect();
        members.sort();
        members.dedup();
        let place = members.binary_search(me).unwrap_or(0);
        let me = Seat(place as u8);
        Self {
            me,
            members,
            desk: Desk::new(me, shares),
            lease: Lease::None,
            next_grant: Mono(0),
            next_touch: Mono(0),
            next_list: Mono(0),
            next_again: Mono(0),
            listing: false,
            listed: Vec::new(),
            watching: false,
            map: Map::default(),
            ahead: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            free: BTreeMap::new(),
            work: Vec::new(),
        }
    }

    /// The one place where the lease's standing changes.
    fn enter(&mut self, lease: Lease, why: &str) {
        if std::mem::discriminant(&self.lease) != std::mem::discriminant(&lease) {
            log::debug!("owners: {:?} -> {lease:?} ({why})", self.lease);
        }
        self.lease = lease;
    }

    fn valid(&self, now: Mono) -> bool {
        matches!(self.lease, Lease::Held { until, .. } if now < until)
    }

    /// The token with which workers of a share may be answered at this moment.
    pub fn may_answer(&self, share: ShareId, now: Mono) -> Option<Token> {
        self.desk.may_answer(share).filter(|_| self.valid(now))
    }

    /// The token by which new assignments of a share may be written and ordered at this moment.
    pub fn may_order(&self, share: ShareId, now: Mono) -> Option<Token> {
        self.desk.may_order(share).filter(|_| self.valid(now))
    }

    /// Whom a worker of the share should ask, as far as this controller knows.
    pub fn owner(&self, share: ShareId) -> Option<&Member> {
        self.members.get(usize::from(self.desk.owner(share)?.0))
    }

    pub fn holding(&self, share: ShareId) -> Holding {
        self.desk.holding(share)
    }

    /// What is to be done by others, once.
    pub fn take_work(&mut self) -> Vec<Work> {
        std::mem::take(&mut self.work)
    }

    /// Takes up a leader's map; an older one than is known is none.
    pub fn take_map(&mut self, map: Map) -> bool {
        let newer = map.newer(&self.map);
        if newer {
            self.map = map;
            let stamp = self.map.stamp();
            self.ahead.retain(|_, by| *by > stamp);
        }
        newer
    }

    /// Called at every turn; `there`: the members that are not taken to be gone, this one among them.
    pub fn tick(&mut self, now: Mono, there: &[Member]) -> Vec<Ask> {
        self.desk.rely(self.valid(now));
        let mut asks = Vec::new();
        match self.lease {
            Lease::None if now >= self.next_grant => {
                self.next_grant = now.plus(CLAIM_PAUSE_MS);
                self.enter(Lease::Granting, "a lease is asked for");
                asks.push(Ask::Grant);
            }
            Lease::Held { id, .. } if now >= self.next_touch => {
                self.next_touch = now.plus(RENEW_MS);
                asks.push(Ask::Touch(id));
            }
            _ => {}
        }
        if !self.listing && now >= self.next_list {
            // As with the leader's key: the watch may be stuck.
            self.next_list = now.plus(LEADER_POLL_MS);
            self.listing = true;
            asks.push(Ask::List { after: String::new(), first: None });
        }
        if now >= self.next_again && self.valid(now) {
            self.next_again = now.plus(OWNERS_AGAIN_MS);
            self.lapsed.retain(|_, since| now.since(*since) < LAPSED_MS);
            self.review(now, there, &mut asks);
        }
        asks
    }

    /// What the plan, and who is there, ask for now.
    fn review(&mut self, now: Mono, there: &[Member], asks: &mut Vec<Ask>) {
        let seat = |member: &Member| self.members.binary_search(member).ok();
        let mut seats: Vec<Seat> = there.iter().filter_map(seat).map(|n| Seat(n as u8)).collect();
        if !seats.contains(&self.me) {
            seats.push(self.me);
        }
        seats.retain(|seat| !self.lapsed.contains_key(seat) || *seat == self.me);
        for n in 0..self.members.len() as u8 {
            if !seats.contains(&Seat(n)) {
                self.desk(Event::Missing { peer: Seat(n) }, asks);
            }
        }
        for share in ShareId::all() {
            if matches!(self.desk.key(share), Key::Free { .. }) {
                self.free.entry(share).or_insert(now);
            } else {
                self.free.remove(&share);
            }
            if let Some(to) = self.wanted(share, &seats, now) {
                self.desk(Event::Planned { share, to }, asks);
            }
            if !matches!(self.desk.holding(share), Holding::Elsewhere | Holding::Settled { .. }) {
                self.desk(Event::Again { share }, asks);
            }
        }
    }

    /// Where a share should be. Only a map moves one that somebody holds; what nobody holds any more goes by everybody's
    /// reckoning where the map names nobody who is there.
    fn wanted(&self, share: ShareId, seats: &[Seat], now: Mono) -> Option<Seat> {
        // Guards against a share that each takes for the other's, since their maps differ: what nobody has claimed for long
        // is whoever's comes first.
        let unclaimed = self.free.get(&share).is_some_and(|at| now.since(*at) >= UNCLAIMED_MS);
        if unclaimed || self.ahead.contains_key(&share) {
            return Some(self.me);
        }
        let mapped = self.map.owners.get(&share).filter(|seat| seats.contains(seat)).copied();
        let free = match self.desk.key(share) {
            Key::Unread => false,
            Key::Free { .. } => true,
            Key::Held { by, .. } => matches!(by, Holder::MyPast | Holder::Nobody),
        };
        let mine = self.desk.owner(share) == Some(self.me);
        mapped.or_else(|| match (free, mine) {
            (true, _) => fallback(share, &self.map, seats),
            (false, true) => Some(self.me),
            (false, false) => None,
        })
    }

    /// Gives an event to the desk, and its actions to whom they concern.
    fn desk(&mut self, event: Event, asks: &mut Vec<Ask>) {
        for action in self.desk.handle(event) {
            match action {
                Action::Write { share, attempt, basis } => match self.lease {
                    Lease::Held { id, nonce, .. } => {
                        let txn = self.write(share, basis, id, nonce);
                        asks.push(Ask::Write { share, attempt, txn });
                    }
                    // Without a lease nothing is written; the desk begins nothing then.
                    _ => self.desk(Event::NotWritten { share, attempt }, asks),
                },
                Action::Read { .. } => self.next_list = Mono(0),
                Action::Drain { share } => self.work.push(Work::Drain(share)),
                Action::Copy { share, upto } => self.work.push(Work::Copy(share, upto)),
                Action::Offer { share, to, token } => {
                    if let Some(to) = self.members.get(usize::from(to.0)).cloned() {
                        let by = self.map.stamp();
                        self.work.push(Work::Offer { to, share, token, by });
                    }
                }
            }
        }
    }

    fn write(&self, share: ShareId, basis: Option<Token>, lease: LeaseId, nonce: u64) -> Txn {
        let member = self.members[usize::from(self.me.0)].clone();
        let record = OwnerRecord { member, lease: nonce };
        let version = Revision(basis.map_or(0, |token| token.0));
        Txn {
            conditions: vec![Condition { key: share.key(), version }],
            changes: vec![Change::Put {
                key: share.key(),
                value: serde_json::json!(record),
                lease: Some(lease),
            }],
        }
    }

    /// A peer hands a share over.
    pub fn offered(
        &mut self,
        from: &Member,
        share: ShareId,
        (token, by): (Token, Stamp),
        now: Mono,
    ) -> Vec<Ask> {
        self.desk.rely(self.valid(now));
        let mut asks = Vec::new();
        // One of a stranger is none.
        if let Ok(place) = self.members.binary_search(from) {
            let from = Seat(place as u8);
            self.desk(Event::Offered { share, from, token }, &mut asks);
            let taken =
                matches!(self.desk.holding(share), Holding::Taking { over } if over == token);
            if taken && by > self.map.stamp() {
                self.ahead.insert(share, by);
            }
        }
        asks
    }

    /// Open writes of a share's records are settled.
    pub fn drained(&mut self, share: ShareId) {
        self.desk(Event::Drained { share }, &mut Vec::new());
    }

    /// The copy of a share's records is complete up to a revision.
    pub fn copied(&mut self, share: ShareId, upto: Token) {
        self.desk(Event::Copied { share, upto }, &mut Vec::new());
    }

    /// Takes up an answer to `ask`, which was sent at `sent`. `random` tells leases apart.
    pub fn answered(
        &mut self,
        now: Mono,
        ask: &Ask,
        sent: Mono,
        reply: &StoreReply,
        random: u64,
    ) -> Vec<Ask> {
        let mut asks = Vec::new();
        match ask {
            Ask::Grant => match *reply {
                StoreReply::Granted(id) => {
                    let until = lease_end(sent);
                    self.enter(Lease::Held { id, nonce: random, until }, "granted");
                    self.next_touch = now.plus(RENEW_MS);
                    self.next_list = now;
                }
                // One that was granted all the same ends by itself.
                _ => self.enter(Lease::None, "none was granted"),
            },
            Ask::Touch(touched) => self.on_touch(sent, *touched, reply),
            Ask::List { first, .. } => self.on_list(*first, reply, &mut asks),
            Ask::Watch(after) => self.on_watch(now, *after, reply, &mut asks),
            Ask::Write { share, attempt, .. } => {
                let (share, attempt) = (*share, *attempt);
                self.desk.rely(self.valid(now));
                let event = match reply {
                    StoreReply::Committed(revision) => {
                        Event::Written { share, attempt, token: Token(revision.0) }
                    }
                    StoreReply::Lost => Event::Unanswered { share, attempt },
                    _ => Event::NotWritten { share, attempt },
                };
                self.desk(event, &mut asks);
            }
        }
        self.desk.rely(self.valid(now));
        asks
    }

    fn on_touch(&mut self, sent: Mono, touched: LeaseId, reply: &StoreReply) {
        let Lease::Held { id, nonce, until } = self.lease else { return };
        if id != touched {
            return;
        }
        match reply {
            StoreReply::Touched => {
                let until = until.max(lease_end(sent));
                self.enter(Lease::Held { id, nonce, until }, "renewed");
            }
            StoreReply::NoSuchLease => {
                self.enter(Lease::None, "it has ended");
                self.desk(Event::LeaseEnded, &mut Vec::new());
            }
            _ => {}
        }
    }

    fn key_of(&self, value: &serde_json::Value, version: Revision) -> Key {
        let by = match Read::of(value) {
            Read::Damaged => Holder::Nobody,
            Read::Owned(record) => match self.members.binary_search(&record.member) {
                Err(_) => Holder::Nobody,
                Ok(place) if Seat(place as u8) != self.me => Holder::Other(Seat(place as u8)),
                Ok(_) => match self.lease {
                    Lease::Held { nonce, .. } if nonce == record.lease => Holder::Me,
                    _ => Holder::MyPast,
                },
            },
        };
        if by == Holder::Nobody {
            log::warn!("owners: a key of revision {version} is damaged, or names no member");
        }
        Key::Held { by, token: Token(version.0) }
    }

    fn on_list(&mut self, first: Option<Revision>, reply: &StoreReply, asks: &mut Vec<Ask>) {
        let StoreReply::Page(page) = reply else {
            self.listing = false;
            self.listed.clear();
            return;
        };
        let first = first.unwrap_or(page.revision);
        for Row { key, value, version, .. } in &page.rows {
            if let Some(share) = ShareId::parse(key) {
                self.listed.push(share);
                let key = self.key_of(value, *version);
                self.desk(Event::Shown { share, key }, asks);
            }
        }
        if let Some(last) = page.rows.last().filter(|_| page.more) {
            asks.push(Ask::List { after: last.key.clone(), first: Some(first) });
            return;
        }
        self.listing = false;
        let listed = std::mem::take(&mut self.listed);
        for share in ShareId::all().filter(|share| !listed.contains(share)) {
            // It was free when its page was read, which was no earlier than the first.
            let key = Key::Free { seen: Token(first.0) };
            self.desk(Event::Shown { share, key }, asks);
        }
        if !self.watching {
            self.watching = true;
            asks.push(Ask::Watch(first));
        }
    }

    fn on_watch(&mut self, now: Mono, after: Revision, reply: &StoreReply, asks: &mut Vec<Ask>) {
        self.watching = false;
        // The next list begins the watch again.
        let StoreReply::Changes(changes) = reply else { return };
        for Logged { put, delete, value, version } in &changes.log {
            if let Some(share) = put.as_deref().and_then(ShareId::parse) {
                let key = self.key_of(value, *version);
                self.desk(Event::Shown { share, key }, asks);
            } else if let Some(share) = delete.as_deref().and_then(ShareId::parse) {
                if let Key::Held { by: Holder::Other(seat), token } = self.desk.key(share)
                    && token.0 < version.0
                {
                    self.lapsed.insert(seat, now);
                    self.next_again = now;
                }
                let key = Key::Free { seen: Token(version.0) };
                self.desk(Event::Shown { share, key }, asks);
            }
        }
        self.watching = true;
        asks.push(Ask::Watch(changes.revision.max(after)));
    }
}
