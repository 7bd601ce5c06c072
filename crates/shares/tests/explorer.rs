//! Explores the interleavings of a few controllers, two shares and one worker per share, with
//! crashes, restarts, delayed messages, ending leases, and replies that are lost or late. The
//! [`OwnershipProtocol`] under test is the production code; the state service, the network and the
//! workers are modelled here.
//!
//! `OATLOOM_STATES=n` explores n distinct states instead of the fixed number; long runs use
//! 10,000,000 and more.

use oatloom_explorer::{Bounds, Model, Report, explore, replay};
use oatloom_protocol::ids::Token;
use oatloom_shares::{
    Action, Event, InjectedFault, KeyHolder, KeyState, MemberIndex, OwnershipProtocol, ShareId,
    SharePhase,
};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Faults in the environment of the protocol; those inside it are [`InjectedFault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EnvironmentFault {
    NoFault,
    /// A lease can end while it is still taken to be valid: its end is counted from the reply to
    /// the renewal instead of from its sending.
    LeaseEndsEarly,
    /// Records are written without the condition on the owner's key.
    UnfencedRecords,
    /// The copy of the records is taken to be complete without being read.
    SkippedSync,
    /// A key counts as this controller's own if its process wrote it, under whatever lease. An
    /// exploration found this fault: a late reply to a read arrived after the lease had ended and
    /// another one was granted.
    IgnoresLeaseOfKey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct KeyRecord {
    holder: u8,
    incarnation: u8,
    /// Which of the holder's leases the key belongs to.
    lease_number: u8,
    token: Token,
}

/// A share's key in the state service, and the number of changes of its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoredShare {
    key_record: Option<KeyRecord>,
    /// Revision of the key's last change.
    revision_of_key: Token,
    record_version: u8,
    /// Node and incarnation that wrote the records last.
    last_writer: Option<(u8, u8)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// A write of a share's key, on its way to the state service.
    KeyWrite {
        writer: u8,
        incarnation: u8,
        lease_number: u8,
        share: ShareId,
        attempt: u32,
        condition: Option<Option<Token>>,
    },
    KeyWriteReply {
        to: u8,
        incarnation: u8,
        share: ShareId,
        attempt: u32,
        written: Option<Token>,
    },
    /// Result of a read or a watch of a key.
    KeyRead {
        to: u8,
        incarnation: u8,
        share: ShareId,
        key_record: Option<KeyRecord>,
        revision: Token,
    },
    Offer {
        to: u8,
        from: u8,
        share: ShareId,
        token: Token,
    },
    /// A write of a share's records.
    RecordWrite {
        writer: u8,
        incarnation: u8,
        share: ShareId,
        fence: Token,
        expected_version: u8,
    },
    RecordWriteReply {
        to: u8,
        incarnation: u8,
        share: ShareId,
        new_version: Option<u8>,
    },
}

/// The messages in flight, without duplicates, sorted. It is kept compact, since millions of states
/// are stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct MessageSet(Vec<Message>);

impl MessageSet {
    /// Returns whether the message was absent.
    fn insert(&mut self, message: Message) -> bool {
        let position = self.0.binary_search(&message);
        if let Err(position) = position {
            self.0.reserve_exact(1);
            self.0.insert(position, message);
        }
        position.is_err()
    }

    /// Returns whether the message was present.
    fn remove(&mut self, message: &Message) -> bool {
        let position = self.0.binary_search(message);
        if let Ok(position) = position {
            self.0.remove(position);
        }
        position.is_ok()
    }

    fn contains(&self, message: &Message) -> bool {
        self.0.binary_search(message).is_ok()
    }

    fn iter(&self) -> impl Iterator<Item = &Message> {
        self.0.iter()
    }

    fn retain(&mut self, keep: impl FnMut(&Message) -> bool) {
        self.0.retain(keep);
    }

    fn take(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.0)
    }

    fn map(&mut self, change: impl FnMut(&mut Message)) {
        self.0.iter_mut().for_each(change);
        self.0.sort_unstable();
        self.0.dedup();
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingWrite {
    NoWrite,
    AwaitingReply,
    /// Whether the write was executed is unknown.
    UnknownOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    protocol: Option<OwnershipProtocol>,
    incarnation: u8,
    lease_number: u8,
    lease_valid: bool,
    record_copies: [u8; 2],
    pending_writes: [PendingWrite; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    crashes: u8,
    lease_lapses: u8,
    timeouts: u8,
    plans: u8,
    record_writes: u8,
    peer_losses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    stored_shares: [StoredShare; 2],
    revision: Token,
    leases: BTreeSet<(u8, u8)>,
    nodes: Vec<Node>,
    in_flight: MessageSet,
    /// Highest token that each share's worker has seen.
    worker_tokens: [Token; 2],
    budget: Budget,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(Message),
    /// No reply came in time; the message may still arrive.
    TimeOut(Message),
    ReadKey(u8, ShareId),
    Plan(u8, ShareId, MemberIndex),
    Drained(u8, ShareId),
    SyncRecords(u8, ShareId),
    WriteRecord(u8, ShareId),
    ResolveWrite(u8, ShareId),
    Answer(u8, ShareId),
    Retry(u8, ShareId),
    LosePeer(u8, MemberIndex),
    LeaseLapse(u8),
    LeaseRenewed(u8),
    ExpireLease(u8, u8),
    NoticeLeaseEnd(u8),
    Crash(u8),
    Restart(u8),
}

struct SharesModel {
    nodes: u8,
    /// Number of the two shares that are explored.
    share_count: usize,
    budget: Budget,
    fault: Option<InjectedFault>,
    environment_fault: EnvironmentFault,
    /// One in this many states is checked for shares that never get an owner; 0 disables the
    /// check.
    liveness_check_interval: u64,
}

const SHARE_IDS: [ShareId; 2] = [ShareId(0), ShareId(1)];

fn index_of(share: ShareId) -> usize {
    usize::from(share.0)
}

impl SharesModel {
    fn share_ids(&self) -> impl Iterator<Item = ShareId> + use<> {
        SHARE_IDS.into_iter().take(self.share_count)
    }

    fn new_protocol(&self, node: u8) -> OwnershipProtocol {
        let mut protocol = OwnershipProtocol::new(MemberIndex(node), 2);
        if let Some(fault) = self.fault {
            protocol.inject_fault(fault);
        }
        protocol
    }

    fn initial_state(&self) -> State {
        let new_node = |n: u8| Node {
            protocol: Some(self.new_protocol(n)),
            incarnation: 0,
            lease_number: 0,
            lease_valid: true,
            record_copies: [0; 2],
            pending_writes: [PendingWrite::NoWrite; 2],
        };
        let stored = StoredShare {
            key_record: None,
            revision_of_key: Token(0),
            record_version: 0,
            last_writer: None,
        };
        let mut state = State {
            stored_shares: [stored; 2],
            revision: Token(1),
            leases: (0..self.nodes).map(|n| (n, 0)).collect(),
            nodes: (0..self.nodes).map(new_node).collect(),
            in_flight: MessageSet::default(),
            worker_tokens: [Token(0); 2],
            budget: self.budget,
        };
        for node in &mut state.nodes {
            node.protocol.as_mut().expect("the node is up").set_lease_valid(true);
        }
        state
    }

    /// Passes an event to a node's protocol, and puts the resulting messages in flight.
    fn apply_event(&self, state: &mut State, n: u8, event: Event) {
        let node = &mut state.nodes[usize::from(n)];
        let (incarnation, lease_number) = (node.incarnation, node.lease_number);
        let Some(protocol) = node.protocol.as_mut() else { return };
        for action in protocol.handle(event) {
            match action {
                Action::WriteKey { share, attempt, expected } => {
                    let condition = protocol.write_condition(expected);
                    let writer = n;
                    let write = Message::KeyWrite {
                        writer,
                        incarnation,
                        lease_number,
                        share,
                        attempt,
                        condition,
                    };
                    state.in_flight.insert(write);
                }
                Action::Offer { share, to, token } => {
                    state.in_flight.insert(Message::Offer { to: to.0, from: n, share, token });
                }
                // Reads, syncs and draining are steps of their own, possible at any time.
                Action::ReadKey { .. } | Action::Drain { .. } | Action::SyncRecords { .. } => {}
            }
        }
    }

    fn key_read_message(state: &State, n: u8, share: ShareId) -> Message {
        let stored = state.stored_shares[index_of(share)];
        let incarnation = state.nodes[usize::from(n)].incarnation;
        let revision =
            if stored.key_record.is_some() { stored.revision_of_key } else { state.revision };
        Message::KeyRead { to: n, incarnation, share, key_record: stored.key_record, revision }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::KeyWrite { writer, incarnation, lease_number, share, attempt, condition } => {
                let stored = state.stored_shares[index_of(share)];
                let is_condition_met = match condition {
                    None => true,
                    Some(None) => stored.key_record.is_none(),
                    Some(Some(token)) => stored.key_record.is_some_and(|key| key.token == token),
                };
                let mut written = None;
                if is_condition_met && state.leases.contains(&(writer, lease_number)) {
                    state.revision.0 += 1;
                    let token = state.revision;
                    let key_record =
                        Some(KeyRecord { holder: writer, incarnation, lease_number, token });
                    state.stored_shares[index_of(share)] =
                        StoredShare { key_record, revision_of_key: token, ..stored };
                    written = Some(token);
                }
                state.in_flight.insert(Message::KeyWriteReply {
                    to: writer,
                    incarnation,
                    share,
                    attempt,
                    written,
                });
            }
            Message::KeyWriteReply { to, incarnation, share, attempt, written } => {
                if state.nodes[usize::from(to)].incarnation == incarnation {
                    let event = match written {
                        Some(token) => Event::KeyWritten { share, attempt, token },
                        None => Event::WriteRejected { share, attempt },
                    };
                    self.apply_event(state, to, event);
                }
            }
            Message::KeyRead { to, incarnation, share, key_record, revision } => {
                if state.nodes[usize::from(to)].incarnation == incarnation {
                    let lease_number = state.nodes[usize::from(to)].lease_number;
                    let ignores_lease =
                        self.environment_fault == EnvironmentFault::IgnoresLeaseOfKey;
                    let key = key_record.map_or(KeyState::Free { revision }, |key_record| {
                        KeyState::Held {
                            holder: match (
                                key_record.holder == to,
                                key_record.incarnation == incarnation
                                    && (key_record.lease_number == lease_number || ignores_lease),
                            ) {
                                (true, true) => KeyHolder::CurrentLease,
                                (true, false) => KeyHolder::FormerLease,
                                (false, _) => KeyHolder::Other(MemberIndex(key_record.holder)),
                            },
                            token: key_record.token,
                        }
                    });
                    self.apply_event(state, to, Event::KeyRead { share, key });
                }
            }
            Message::Offer { to, from, share, token } => {
                self.apply_event(
                    state,
                    to,
                    Event::Offered { share, from: MemberIndex(from), token },
                );
            }
            Message::RecordWrite { writer, incarnation, share, fence, expected_version } => {
                let stored = &mut state.stored_shares[index_of(share)];
                let is_fenced = stored.key_record.is_some_and(|key| key.token == fence);
                let committed = (is_fenced
                    || self.environment_fault == EnvironmentFault::UnfencedRecords)
                    && stored.record_version == expected_version;
                if committed {
                    stored.record_version += 1;
                    stored.last_writer = Some((writer, incarnation));
                }
                let new_version = committed.then_some(stored.record_version);
                state.in_flight.insert(Message::RecordWriteReply {
                    to: writer,
                    incarnation,
                    share,
                    new_version,
                });
            }
            Message::RecordWriteReply { to, incarnation, share, new_version } => {
                let node = &mut state.nodes[usize::from(to)];
                if node.incarnation == incarnation
                    && node.pending_writes[index_of(share)] == PendingWrite::AwaitingReply
                {
                    match new_version {
                        Some(version) => {
                            node.record_copies[index_of(share)] = version;
                            node.pending_writes[index_of(share)] = PendingWrite::NoWrite;
                        }
                        None => node.pending_writes[index_of(share)] = PendingWrite::UnknownOutcome,
                    }
                }
            }
        }
    }

    fn expire(state: &mut State, lease: (u8, u8)) {
        state.leases.remove(&lease);
        for stored in &mut state.stored_shares {
            if stored.key_record.is_some_and(|key| (key.holder, key.lease_number) == lease) {
                state.revision.0 += 1;
                (stored.key_record, stored.revision_of_key) = (None, state.revision);
            }
        }
    }

    fn sync_records(&self, state: &mut State, n: u8, share: ShareId) {
        if self.environment_fault != EnvironmentFault::SkippedSync {
            state.nodes[usize::from(n)].record_copies[index_of(share)] =
                state.stored_shares[index_of(share)].record_version;
        }
        // The sync also reads the outcome of a pending write.
        state.nodes[usize::from(n)].pending_writes[index_of(share)] = PendingWrite::NoWrite;
        let up_to = state.revision;
        self.apply_event(state, n, Event::RecordsSynced { share, up_to });
    }

    /// Normalizes the state, so that states without relevant differences become equal.
    fn normalize(state: &mut State) {
        // Drops messages whose receiver is down or restarted, and those that can't have an effect
        // any more.
        let incarnations: Vec<u8> = state.nodes.iter().map(|node| node.incarnation).collect();
        let is_up: Vec<bool> = state.nodes.iter().map(|node| node.protocol.is_some()).collect();
        let (leases, stored_shares) = (&state.leases, &state.stored_shares);
        let is_awaited = |to: u8, incarnation: u8| {
            is_up[usize::from(to)] && incarnations[usize::from(to)] == incarnation
        };
        state.in_flight.retain(|message| match message {
            Message::KeyWriteReply { to, incarnation, .. }
            | Message::KeyRead { to, incarnation, .. }
            | Message::RecordWriteReply { to, incarnation, .. } => is_awaited(*to, *incarnation),
            // Without its lease the write is rejected, and its writer doesn't wait for the reply.
            Message::KeyWrite { writer, incarnation, lease_number, .. } => {
                leases.contains(&(*writer, *lease_number)) || is_awaited(*writer, *incarnation)
            }
            Message::Offer { share, token, .. } => {
                stored_shares[index_of(*share)].key_record.is_none_or(|key| key.token <= *token)
            }
            Message::RecordWrite { writer, incarnation, share, fence, .. } => {
                is_awaited(*writer, *incarnation)
                    || stored_shares[index_of(*share)]
                        .key_record
                        .is_some_and(|key| key.token <= *fence)
            }
        });
        Self::renumber_attempts(state);
        let mut tokens: BTreeSet<Token> = [state.revision].into();
        Self::map_tokens(state, &mut |token| {
            tokens.insert(*token);
        });
        let order: Vec<Token> = tokens.into_iter().collect();
        Self::map_tokens(state, &mut |token| {
            let rank = order.binary_search(token).expect("it is in the set");
            // 0 stays 0: no token was seen.
            *token = Token(if token.0 == 0 { 0 } else { rank as u64 + 1 });
        });
    }

    /// Renumbers the write attempts: only their order and equality matter.
    fn renumber_attempts(state: &mut State) {
        for n in 0..state.nodes.len() {
            for share in SHARE_IDS {
                let attempt_of = |message: &Message| match message {
                    Message::KeyWrite { writer: to, share: s, attempt, .. }
                    | Message::KeyWriteReply { to, share: s, attempt, .. }
                        if usize::from(*to) == n && *s == share =>
                    {
                        Some(*attempt)
                    }
                    _ => None,
                };
                let Some(protocol) = state.nodes[n].protocol.as_mut() else { continue };
                let last = protocol.attempt_mut(share);
                let mut attempts: BTreeSet<u32> =
                    state.in_flight.iter().filter_map(attempt_of).collect();
                attempts.insert(*last);
                let order: Vec<u32> = attempts.into_iter().collect();
                let rank =
                    |number: u32| order.binary_search(&number).expect("it is in the set") as u32;
                *last = rank(*last);
                state.in_flight.map(|message| {
                    let number = attempt_of(message);
                    if let Message::KeyWrite { attempt, .. }
                    | Message::KeyWriteReply { attempt, .. } = message
                        && let Some(number) = number
                    {
                        *attempt = rank(number);
                    }
                });
            }
        }
    }

    fn map_tokens(state: &mut State, replace: &mut dyn FnMut(&mut Token)) {
        replace(&mut state.revision);
        for stored in &mut state.stored_shares {
            replace(&mut stored.revision_of_key);
            if let Some(key_record) = &mut stored.key_record {
                replace(&mut key_record.token);
            }
        }
        state.worker_tokens.iter_mut().for_each(&mut *replace);
        for node in &mut state.nodes {
            if let Some(protocol) = &mut node.protocol {
                protocol.map_tokens(&mut *replace);
            }
        }
        state.in_flight.map(|message| match message {
            Message::KeyWrite { condition: Some(Some(token)), .. }
            | Message::KeyWriteReply { written: Some(token), .. }
            | Message::Offer { token, .. }
            | Message::RecordWrite { fence: token, .. } => replace(token),
            Message::KeyRead { key_record, revision, .. } => {
                replace(revision);
                if let Some(key_record) = key_record {
                    replace(&mut key_record.token);
                }
            }
            _ => {}
        });
    }

    fn restart(&self, state: &mut State, n: u8) {
        let mut protocol = self.new_protocol(n);
        protocol.set_lease_valid(true);
        let node = &mut state.nodes[usize::from(n)];
        node.incarnation += 1;
        node.lease_number += 1;
        (node.lease_valid, node.protocol) = (true, Some(protocol));
        (node.record_copies, node.pending_writes) = ([0; 2], [PendingWrite::NoWrite; 2]);
        state.leases.insert((n, node.lease_number));
    }

    fn renew_ended_lease(&self, state: &mut State, n: u8) {
        self.apply_event(state, n, Event::LeaseEnded);
        let node = &mut state.nodes[usize::from(n)];
        node.pending_writes = [PendingWrite::NoWrite; 2];
        node.lease_number += 1;
        node.lease_valid = true;
        if let Some(protocol) = &mut node.protocol {
            protocol.set_lease_valid(true);
        }
        state.leases.insert((n, node.lease_number));
    }

    /// Ends all faults, lets all pending work finish, and returns the shares that no controller
    /// answers for then.
    fn unanswered_shares(&self, state: &State) -> Vec<ShareId> {
        let mut state = state.clone();
        for round in 0..14 {
            for message in state.in_flight.take() {
                self.deliver(&mut state, message);
            }
            for n in 0..self.nodes {
                if state.nodes[usize::from(n)].protocol.is_none() {
                    self.restart(&mut state, n);
                }
                let node = &state.nodes[usize::from(n)];
                if !state.leases.contains(&(n, node.lease_number)) {
                    self.renew_ended_lease(&mut state, n);
                } else if !node.lease_valid {
                    state.nodes[usize::from(n)].lease_valid = true;
                    state.nodes[usize::from(n)]
                        .protocol
                        .as_mut()
                        .expect("the node is up")
                        .set_lease_valid(true);
                }
                for share in self.share_ids() {
                    if round == 0 {
                        let to = MemberIndex((share.0 as u8) % self.nodes);
                        self.apply_event(&mut state, n, Event::Planned { share, to });
                    }
                    let key_read = Self::key_read_message(&state, n, share);
                    self.deliver(&mut state, key_read);
                    let phase = state.nodes[usize::from(n)]
                        .protocol
                        .as_ref()
                        .expect("the node is up")
                        .phase(share);
                    match phase {
                        SharePhase::Syncing { .. } => self.sync_records(&mut state, n, share),
                        SharePhase::Draining { .. } => {
                            state.nodes[usize::from(n)].pending_writes[index_of(share)] =
                                PendingWrite::NoWrite;
                            self.apply_event(&mut state, n, Event::Drained { share });
                        }
                        // Some messages were lost: their operations are retried.
                        _ if round % 3 == 2 => {
                            self.apply_event(&mut state, n, Event::Retry { share })
                        }
                        _ => {}
                    }
                    if round % 3 == 2 {
                        let protocol =
                            state.nodes[usize::from(n)].protocol.as_mut().expect("the node is up");
                        let attempt = *protocol.attempt_mut(share);
                        self.apply_event(&mut state, n, Event::WriteTimedOut { share, attempt });
                    }
                }
            }
            // Leases of former incarnations end.
            let former_leases: Vec<(u8, u8)> = state
                .leases
                .iter()
                .copied()
                .filter(|(n, lease_number)| {
                    state.nodes[usize::from(*n)].lease_number != *lease_number
                })
                .collect();
            former_leases.into_iter().for_each(|lease| Self::expire(&mut state, lease));
        }
        let is_answered = |share: &ShareId| {
            let protocols = state.nodes.iter().filter_map(|node| node.protocol.as_ref());
            protocols
                .filter_map(|protocol| protocol.may_answer(*share))
                .any(|token| token >= state.worker_tokens[index_of(*share)])
        };
        self.share_ids().filter(|share| !is_answered(share)).collect()
    }

    /// A fault-free state in which all shares are owned.
    fn steady_state(&self) -> State {
        let mut state = self.initial_state();
        for _ in 0..6 {
            for n in 0..self.nodes {
                for share in self.share_ids() {
                    let to = MemberIndex((share.0 as u8) % self.nodes);
                    self.apply_event(&mut state, n, Event::Planned { share, to });
                    let key_read = Self::key_read_message(&state, n, share);
                    self.deliver(&mut state, key_read);
                    if matches!(
                        state.nodes[usize::from(n)]
                            .protocol
                            .as_ref()
                            .expect("the node is up")
                            .phase(share),
                        SharePhase::Syncing { .. }
                    ) {
                        self.sync_records(&mut state, n, share);
                    }
                }
            }
            for message in state.in_flight.take() {
                self.deliver(&mut state, message);
            }
        }
        state.in_flight.take();
        Self::normalize(&mut state);
        state
    }
}

impl Model for SharesModel {
    type State = State;
    type Step = Step;

    fn initial_state(&self) -> State {
        self.steady_state()
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps: Vec<Step> = state.in_flight.iter().copied().map(Step::Deliver).collect();
        let budget = &state.budget;
        if budget.timeouts > 0 {
            let is_request =
                |m: &&Message| matches!(m, Message::KeyWrite { .. } | Message::RecordWrite { .. });
            steps.extend(state.in_flight.iter().filter(is_request).copied().map(Step::TimeOut));
        }
        for (n, node) in (0..self.nodes).zip(&state.nodes) {
            let Some(protocol) = &node.protocol else {
                steps.push(Step::Restart(n));
                continue;
            };
            for share in self.share_ids() {
                let stored = state.stored_shares[index_of(share)];
                let known_key = protocol.key(share);
                let is_outdated = match stored.key_record {
                    Some(key_record) => known_key.revision() < key_record.token,
                    None => !matches!(known_key, KeyState::Free { .. }),
                };
                if is_outdated {
                    steps.push(Step::ReadKey(n, share));
                }
                match protocol.phase(share) {
                    SharePhase::Syncing { .. } => steps.push(Step::SyncRecords(n, share)),
                    SharePhase::Draining { .. }
                        if node.pending_writes[index_of(share)] == PendingWrite::NoWrite =>
                    {
                        steps.push(Step::Drained(n, share));
                    }
                    SharePhase::HandedOver { to, .. } if budget.peer_losses > 0 => {
                        steps.push(Step::LosePeer(n, to));
                    }
                    _ => {}
                }
                if protocol.may_order(share).is_some()
                    && node.pending_writes[index_of(share)] == PendingWrite::NoWrite
                    && budget.record_writes > 0
                {
                    steps.push(Step::WriteRecord(n, share));
                }
                if node.pending_writes[index_of(share)] == PendingWrite::UnknownOutcome
                    && protocol.may_settle(share).is_some()
                {
                    steps.push(Step::ResolveWrite(n, share));
                }
                if protocol
                    .may_answer(share)
                    .is_some_and(|token| token > state.worker_tokens[index_of(share)])
                {
                    steps.push(Step::Answer(n, share));
                }
                let is_waiting = matches!(
                    protocol.phase(share),
                    SharePhase::Claiming
                        | SharePhase::Acquiring { .. }
                        | SharePhase::Reclaiming { .. }
                        | SharePhase::HandedOver { .. }
                );
                if is_waiting {
                    steps.push(Step::Retry(n, share));
                }
                if budget.plans > 0 {
                    steps.extend((0..self.nodes).map(|to| Step::Plan(n, share, MemberIndex(to))));
                }
            }
            let lease_exists = state.leases.contains(&(n, node.lease_number));
            if node.lease_valid && budget.lease_lapses > 0 {
                steps.push(Step::LeaseLapse(n));
            }
            if !node.lease_valid && lease_exists {
                steps.push(Step::LeaseRenewed(n));
            }
            if !lease_exists {
                steps.push(Step::NoticeLeaseEnd(n));
            }
            if budget.crashes > 0 {
                steps.push(Step::Crash(n));
            }
        }
        for (n, lease_number) in &state.leases {
            let node = &state.nodes[usize::from(*n)];
            let holder_is_up = node.protocol.is_some() && node.lease_number == *lease_number;
            if !holder_is_up
                || !node.lease_valid
                || self.environment_fault == EnvironmentFault::LeaseEndsEarly
            {
                steps.push(Step::ExpireLease(*n, *lease_number));
            }
        }
        steps
    }

    fn apply(&self, before: &State, step: &Step) -> Option<State> {
        let mut state = before.clone();
        match *step {
            Step::Deliver(message) => {
                if !state.in_flight.remove(&message) {
                    return None;
                }
                self.deliver(&mut state, message);
            }
            Step::TimeOut(message) => {
                if !state.in_flight.contains(&message) {
                    return None;
                }
                state.budget.timeouts -= 1;
                match message {
                    Message::KeyWrite { writer, incarnation, share, attempt, .. }
                        if state.nodes[usize::from(writer)].incarnation == incarnation =>
                    {
                        self.apply_event(
                            &mut state,
                            writer,
                            Event::WriteTimedOut { share, attempt },
                        );
                    }
                    Message::RecordWrite { writer, incarnation, share, .. }
                        if state.nodes[usize::from(writer)].incarnation == incarnation =>
                    {
                        state.nodes[usize::from(writer)].pending_writes[index_of(share)] =
                            PendingWrite::UnknownOutcome;
                    }
                    _ => return None,
                }
            }
            Step::ReadKey(n, share) => {
                let message = Self::key_read_message(&state, n, share);
                // At most two reads of a key are in flight, and the earlier one may arrive last.
                let is_read_of_key = |m: &&Message| matches!(m, Message::KeyRead { to, share: s, .. } if *to == n && *s == share);
                if state.in_flight.iter().filter(is_read_of_key).count() >= 2
                    || !state.in_flight.insert(message)
                {
                    return None;
                }
            }
            Step::Plan(n, share, to) => {
                state.budget.plans -= 1;
                self.apply_event(&mut state, n, Event::Planned { share, to });
            }
            Step::Drained(n, share) => self.apply_event(&mut state, n, Event::Drained { share }),
            Step::SyncRecords(n, share) => self.sync_records(&mut state, n, share),
            Step::WriteRecord(n, share) => {
                state.budget.record_writes -= 1;
                let node = &mut state.nodes[usize::from(n)];
                let fence = node.protocol.as_ref()?.may_order(share)?;
                node.pending_writes[index_of(share)] = PendingWrite::AwaitingReply;
                let (incarnation, expected_version) =
                    (node.incarnation, node.record_copies[index_of(share)]);
                state.in_flight.insert(Message::RecordWrite {
                    writer: n,
                    incarnation,
                    share,
                    fence,
                    expected_version,
                });
            }
            Step::ResolveWrite(n, share) => {
                let node = &mut state.nodes[usize::from(n)];
                node.record_copies[index_of(share)] =
                    state.stored_shares[index_of(share)].record_version;
                node.pending_writes[index_of(share)] = PendingWrite::NoWrite;
            }
            Step::Answer(n, share) => {
                let token = state.nodes[usize::from(n)].protocol.as_ref()?.may_answer(share)?;
                state.worker_tokens[index_of(share)] =
                    state.worker_tokens[index_of(share)].max(token);
            }
            Step::Retry(n, share) => self.apply_event(&mut state, n, Event::Retry { share }),
            Step::LosePeer(n, peer) => {
                state.budget.peer_losses -= 1;
                self.apply_event(&mut state, n, Event::PeerGone { peer });
            }
            Step::LeaseLapse(n) => {
                state.budget.lease_lapses -= 1;
                state.nodes[usize::from(n)].lease_valid = false;
                state.nodes[usize::from(n)].protocol.as_mut()?.set_lease_valid(false);
            }
            Step::LeaseRenewed(n) => {
                state.nodes[usize::from(n)].lease_valid = true;
                state.nodes[usize::from(n)].protocol.as_mut()?.set_lease_valid(true);
            }
            Step::ExpireLease(n, lease_number) => Self::expire(&mut state, (n, lease_number)),
            Step::NoticeLeaseEnd(n) => self.renew_ended_lease(&mut state, n),
            Step::Crash(n) => {
                state.budget.crashes -= 1;
                state.nodes[usize::from(n)].protocol = None;
                state.nodes[usize::from(n)].lease_valid = false;
            }
            Step::Restart(n) => self.restart(&mut state, n),
        }
        Self::normalize(&mut state);
        (state != *before).then_some(state)
    }

    fn find_violation(&self, state: &State) -> Option<String> {
        for share in self.share_ids() {
            let stored = state.stored_shares[index_of(share)];
            let accepting_owners: Vec<u8> = (0..self.nodes)
                .filter(|n| {
                    let protocol = state.nodes[usize::from(*n)].protocol.as_ref();
                    let token = protocol.and_then(|protocol| protocol.may_answer(share));
                    token.is_some_and(|token| token >= state.worker_tokens[index_of(share)])
                })
                .collect();
            if accepting_owners.len() > 1 {
                return Some(format!(
                    "one_owner: share {share} is answered by {accepting_owners:?}"
                ));
            }
            for (n, node) in state.nodes.iter().enumerate() {
                let Some(protocol) = &node.protocol else { continue };
                let is_current =
                    |token: Token| stored.key_record.is_some_and(|key| key.token == token);
                if let Some(token) = protocol.may_answer(share)
                    && !is_current(token)
                {
                    return Some(format!(
                        "own_key: node {n} answers share {share} without holding its key"
                    ));
                }
                // A late write of the node itself conflicts with its own next one by the expected
                // version, so that it does no harm.
                let written_by_another = stored.last_writer != Some((n as u8, node.incarnation));
                if protocol.may_order(share).is_some()
                    && node.pending_writes[index_of(share)] == PendingWrite::NoWrite
                    && node.record_copies[index_of(share)] != stored.record_version
                    && written_by_another
                {
                    return Some(format!(
                        "complete: node {n} gives orders for share {share} from an outdated copy"
                    ));
                }
            }
        }
        if self.liveness_check_interval > 0 {
            let mut hasher = DefaultHasher::new();
            state.hash(&mut hasher);
            if hasher.finish().is_multiple_of(self.liveness_check_interval) {
                let unanswered_shares = self.unanswered_shares(state);
                if !unanswered_shares.is_empty() {
                    return Some(format!(
                        "no_deaf_worker: no controller comes to answer {unanswered_shares:?}"
                    ));
                }
            }
        }
        None
    }
}

const BUDGET: Budget =
    Budget { crashes: 1, lease_lapses: 1, timeouts: 1, plans: 2, record_writes: 1, peer_losses: 1 };

fn model(nodes: u8, budget: Budget) -> SharesModel {
    let (fault, environment_fault) = (None, EnvironmentFault::NoFault);
    SharesModel {
        nodes,
        share_count: 2,
        budget,
        fault,
        environment_fault,
        liveness_check_interval: 31,
    }
}

/// Number of states to explore by default: all tests together stay well below half a minute.
#[allow(clippy::disallowed_methods)] // The environment sets the extent of the exploration.
fn state_limit(fixed: usize) -> usize {
    std::env::var("OATLOOM_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(fixed)
}

fn assert_sound(model: &SharesModel, states: usize) -> Report<Step> {
    let report = explore(model, Bounds { states, depth: 200 });
    eprintln!(
        "{} nodes: {} states, {} steps, depth {}, complete {}",
        model.nodes, report.states, report.steps, report.depth, report.is_complete
    );
    if let Some(found) = &report.counterexample {
        let lines: Vec<String> = found.steps.iter().map(|step| format!("  {step:?}")).collect();
        panic!("{}, after\n{}", found.violation, lines.join("\n"));
    }
    report
}

#[test]
fn two_controllers_keep_one_owner_per_share() {
    let report = assert_sound(&model(2, BUDGET), state_limit(150_000));
    assert!(report.is_complete || report.states >= state_limit(150_000));
}

#[test]
fn three_controllers_keep_one_owner_per_share() {
    let report = assert_sound(&model(3, BUDGET), state_limit(150_000));
    assert!(report.is_complete || report.states >= state_limit(150_000));
}

/// The start without any stored key.
#[test]
fn all_shares_get_owners_after_a_start_without_keys() {
    for nodes in [1, 2, 3] {
        let model = model(nodes, BUDGET);
        assert!(model.unanswered_shares(&model.initial_state()).is_empty());
        let steady_state = model.steady_state();
        assert!(model.find_violation(&steady_state).is_none());
        assert!(steady_state.stored_shares.iter().all(|stored| stored.key_record.is_some()));
    }
}

/// Each injected fault is detected, and replaying the steps that reveal it breaks a rule again;
/// without the fault the same steps break none. The budget of each fault allows only the steps that
/// reveal it, so that few states suffice.
#[test]
fn injected_faults_are_detected() {
    let one_plan = Budget {
        crashes: 0,
        lease_lapses: 0,
        timeouts: 0,
        plans: 1,
        record_writes: 0,
        peer_losses: 0,
    };
    let one_write = Budget { record_writes: 1, ..one_plan };
    let one_lapse = Budget { lease_lapses: 1, ..one_plan };
    let two_plans = Budget { plans: 2, ..one_plan };
    let one_timeout = Budget { timeouts: 1, ..two_plans };
    let one_peer_loss = Budget { peer_losses: 1, ..one_plan };
    let protocol_fault_budgets = [
        (InjectedFault::AnswersAfterHandover, one_plan),
        (InjectedFault::AnswersBeforeSync, one_write),
        (InjectedFault::AnswersWithoutLease, one_lapse),
        (InjectedFault::ReusesOldToken, one_peer_loss),
        (InjectedFault::KeepsSharesAfterLeaseEnd, one_lapse),
        (InjectedFault::AcquiresWithoutCondition, one_peer_loss),
        (InjectedFault::ClaimsWithoutCondition, one_lapse),
        (InjectedFault::AppliesStaleReads, two_plans),
        (InjectedFault::TrustsFormerLease, Budget { crashes: 1, ..one_plan }),
        (InjectedFault::AnswersWithOfferedToken, one_plan),
        (InjectedFault::AcceptsLateReplies, one_timeout),
        (InjectedFault::SyncsOnlyToOfferedToken, one_write),
    ];
    let environment_fault_budgets = [
        (EnvironmentFault::LeaseEndsEarly, one_plan),
        (EnvironmentFault::UnfencedRecords, Budget { record_writes: 1, ..one_lapse }),
        (EnvironmentFault::SkippedSync, Budget { record_writes: 1, ..two_plans }),
        (EnvironmentFault::IgnoresLeaseOfKey, one_lapse),
    ];
    let protocol_cases = protocol_fault_budgets
        .map(|(fault, budget)| (Some(fault), EnvironmentFault::NoFault, budget));
    let all_faults = protocol_cases.into_iter().chain(
        environment_fault_budgets
            .map(|(environment_fault, budget)| (None, environment_fault, budget)),
    );
    let find_fault =
        |(fault, environment_fault, budget): (Option<InjectedFault>, EnvironmentFault, Budget)| {
            let sound =
                SharesModel { share_count: 1, liveness_check_interval: 0, ..model(2, budget) };
            let faulty = SharesModel {
                fault,
                environment_fault,
                share_count: 1,
                liveness_check_interval: 0,
                ..model(2, budget)
            };
            let report = explore(&faulty, Bounds { states: 500_000, depth: 60 });
            let Some(found) = report.counterexample else {
                return Err(format!(
                    "{fault:?} {environment_fault:?}: not detected in {} states",
                    report.states
                ));
            };
            assert_eq!(
                replay(&faulty, &found.steps),
                Some((found.steps.len(), found.violation.clone()))
            );
            assert_eq!(replay(&sound, &found.steps), None, "{:#?}", found.steps);
            let (steps, states) = (found.steps.len(), report.states);
            eprintln!(
                "{fault:?} {environment_fault:?}: {steps} steps, {states} states: {}",
                found.violation
            );
            Ok(())
        };
    let undetected: Vec<String> = all_faults.filter_map(|fault| find_fault(fault).err()).collect();
    assert!(undetected.is_empty(), "{undetected:#?}");
}
