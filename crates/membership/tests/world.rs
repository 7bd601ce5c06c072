//! Seeded simulations of one to seven controllers with crashes, freezes and partitions, and with
//! messages that are lost, late or delayed for minutes. After each step: connected peers are never
//! considered gone, crashed ones are suspected in time, new incarnations are recognized, and
//! messages stay within their size limit.

use oatloom_membership::constants::*;
use oatloom_membership::{Gossip, Incarnation, LocalStatus, Membership, Presence};
use oatloom_protocol::ids::{Member, Mono, Now};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const STEP_MS: u64 = 100;
const SETTLE_MS: u64 = SUSPECT_AFTER_MS.0 + 2 * GREETING_INTERVAL_MS.0 + 1_000;

struct Node {
    membership: Option<Membership>,
    /// The process is down until this time.
    down_until: u64,
    /// When it last crashed.
    last_crash: u64,
    frozen_until: u64,
    /// Since when it has run without a crash or a freeze.
    running_since: u64,
    /// Error of its wall clock, ms.
    clock_offset_ms: i64,
    /// Reading of its monotonic clock at the start of the simulation.
    clock_start: u64,
}

struct World {
    seed: u64,
    now: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Partitioned pairs: the end of the partition, and whether messages are delayed until then or
    /// lost.
    partitions: BTreeMap<(usize, usize), (u64, bool)>,
    /// Since when a pair is not partitioned.
    connected: BTreeMap<(usize, usize), u64>,
    in_flight: Vec<(u64, usize, usize, Gossip)>,
    /// Number of checks in which a connected peer was suspected.
    suspected: u64,
    max_message_bytes: usize,
    /// Number of messages delayed by a partition.
    delayed: u64,
}

fn member_name(n: usize) -> Member {
    Member::new(&format!("n-{n}"))
}

fn unordered_pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl World {
    fn new(seed: u64, count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let new_node = |rng: &mut ChaCha8Rng| Node {
            membership: None,
            down_until: 0,
            last_crash: 0,
            frozen_until: 0,
            running_since: 0,
            clock_offset_ms: rng.random_range(-1_000..=1_000),
            clock_start: rng.random_range(0..5_000_000),
        };
        let nodes = (0..count).map(|_| new_node(&mut rng)).collect();
        Self {
            seed,
            now: 0,
            rng,
            nodes,
            partitions: BTreeMap::new(),
            connected: BTreeMap::new(),
            in_flight: Vec::new(),
            suspected: 0,
            max_message_bytes: 0,
            delayed: 0,
        }
    }

    fn clocks(&self, n: usize) -> Now {
        let node = &self.nodes[n];
        let wall = (1_000_000_000 + self.now) as i64 + node.clock_offset_ms;
        Now { mono: Mono(node.clock_start + self.now), wall_ms: wall as u64 }
    }

    fn partition(&self, a: usize, b: usize) -> Option<(u64, bool)> {
        self.partitions.get(&unordered_pair(a, b)).copied().filter(|(until, _)| self.now < *until)
    }

    fn send(&mut self, from: usize, to: usize) {
        let now = self.clocks(from);
        let ready = self.now > self.nodes[from].running_since + 1_000;
        let status = LocalStatus { ready, store_ms: Some(10), leader: None };
        let Some(membership) = self.nodes[from].membership.as_mut() else { return };
        let gossip = membership.gossip_for(&member_name(to), status, now);
        let mut bytes = Vec::new();
        ciborium::into_writer(&gossip, &mut bytes).expect("plain data");
        self.max_message_bytes = self.max_message_bytes.max(bytes.len());
        let arrives = match self.partition(from, to) {
            Some((until, true)) => {
                self.delayed += 1;
                until + 5
            }
            Some((_, false)) => return,
            None if self.rng.random_bool(0.01) => return,
            None => self.now + self.rng.random_range(1..80),
        };
        self.in_flight.push((arrives, from, to, gossip));
    }

    fn inject_fault(&mut self) {
        let count = self.nodes.len();
        let n = self.rng.random_range(0..count);
        let span = self.rng.random_range(1_000..60_000);
        match self.rng.random_range(0..6) {
            0 | 1 => self.crash(n),
            2 => (0..count).for_each(|n| self.crash(n)),
            3 => self.nodes[n].frozen_until = self.now + span.min(30_000),
            _ if count > 1 => {
                let other = (n + self.rng.random_range(1..count)) % count;
                let delays_messages = self.rng.random_bool(0.5);
                self.partitions
                    .insert(unordered_pair(n, other), (self.now + span, delays_messages));
            }
            _ => {}
        }
    }

    fn crash(&mut self, n: usize) {
        if self.nodes[n].membership.take().is_some() {
            self.nodes[n].last_crash = self.now;
        }
        self.nodes[n].down_until = self.now + self.rng.random_range(500..12_000);
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for n in 0..self.nodes.len() {
            if self.nodes[n].membership.is_none() && self.now >= self.nodes[n].down_until {
                let peers: Vec<Member> = (0..self.nodes.len()).map(member_name).collect();
                let nonce = self.rng.random();
                let membership = Membership::new(member_name(n), peers, nonce, self.clocks(n));
                self.nodes[n].membership = Some(membership);
                self.nodes[n].running_since = self.now;
            }
            if self.now < self.nodes[n].frozen_until {
                self.nodes[n].running_since = self.now;
                continue;
            }
            let now = self.clocks(n).mono;
            let greeting_targets = self.nodes[n]
                .membership
                .as_mut()
                .map(|membership| membership.tick(now))
                .unwrap_or_default();
            for to in greeting_targets {
                let to = (0..self.nodes.len()).find(|n| member_name(*n) == to).expect("a member");
                self.send(n, to);
            }
        }
        // Gossip starts with one controller that sends to all; in production that is the leader.
        let is_up = |n: &Node| n.membership.is_some() && self.now >= n.frozen_until;
        let leader = self.nodes.iter().position(is_up);
        if let Some(leader) = leader.filter(|_| self.now.is_multiple_of(3_000)) {
            (0..self.nodes.len()).filter(|to| *to != leader).for_each(|to| self.send(leader, to));
        }
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _, to, _)| {
                *at <= self.now && self.now >= self.nodes[*to].frozen_until
            });
        self.in_flight = later;
        for (_, _, to, gossip) in due {
            let now = self.clocks(to);
            if let Some(membership) = self.nodes[to].membership.as_mut() {
                let _ = membership.receive(&gossip, now);
            }
        }
        self.check();
    }

    /// Since when two controllers have been able to exchange messages without a break, if they are
    /// at present.
    fn connected_since(&mut self, a: usize, b: usize) -> Option<u64> {
        if self.partition(a, b).is_some() {
            self.connected.insert(unordered_pair(a, b), self.now);
        }
        let is_up = |n: &Node| n.membership.is_some() && self.now >= n.frozen_until;
        let since = self.connected.get(&unordered_pair(a, b)).copied().unwrap_or(0);
        let since = since.max(self.nodes[a].running_since).max(self.nodes[b].running_since);
        (is_up(&self.nodes[a]) && is_up(&self.nodes[b])).then_some(since)
    }

    fn check(&mut self) {
        let (seed, at) = (self.seed, self.now);
        for a in 0..self.nodes.len() {
            for b in (0..self.nodes.len()).filter(|b| *b != a) {
                let connected_since = self.connected_since(a, b);
                let Some(membership) = self.nodes[a].membership.as_ref() else { continue };
                let presence = membership.presence(&member_name(b));
                let is_suspected =
                    matches!(presence, Presence::Suspected { .. } | Presence::Gone { .. });
                if let Some(since) = connected_since
                    && at > since + SETTLE_MS + GREETING_INTERVAL_GONE_MS.0
                {
                    let is_gone = matches!(presence, Presence::Gone { .. });
                    assert!(!is_gone, "seed {seed}, {at}: n-{a} considers n-{b} gone");
                    self.suspected += u64::from(is_suspected);
                    let incarnation: Option<Incarnation> =
                        self.nodes[b].membership.as_ref().map(Membership::incarnation);
                    assert_eq!(
                        membership.incarnation_of(&member_name(b)),
                        incarnation,
                        "seed {seed}, {at}: n-{a} of n-{b}"
                    );
                }
                let is_settled = at.saturating_sub(self.nodes[a].running_since) > SETTLE_MS;
                let is_crash_settled = self.nodes[b].last_crash + SETTLE_MS < at;
                if self.nodes[b].membership.is_none()
                    && is_settled
                    && is_crash_settled
                    && presence != Presence::Unknown
                {
                    assert!(
                        is_suspected,
                        "seed {seed}, {at}: n-{a} does not suspect n-{b}: {presence:?}"
                    );
                }
            }
        }
    }
}

fn run_world(seed: u64, count: usize) -> World {
    let mut world = World::new(seed, count);
    for step in 0..4_000 {
        if step % 100 == 50 && world.rng.random_bool(0.3) {
            world.inject_fault();
        }
        world.step();
    }
    world
}

#[test]
fn reachable_peers_are_alive_and_crashed_peers_are_suspected() {
    let (mut suspected, mut max_message_bytes, mut delayed) = (0, 0, 0);
    for count in [1, 2, 3, 5, 7] {
        for seed in 0..12 {
            let world = run_world(seed * 10 + count as u64, count);
            suspected += world.suspected;
            max_message_bytes = max_message_bytes.max(world.max_message_bytes);
            delayed += world.delayed;
        }
    }
    assert!(delayed > 100, "too few messages were delayed");
    // Two consecutive greetings were lost, and no third controller reported the peer.
    assert!(suspected < 400, "{suspected} steps of false suspicion");
    assert!(max_message_bytes < 800, "{max_message_bytes} bytes");
}

/// Invalid messages are rejected, counted, and leave the state unchanged.
#[test]
fn invalid_gossip_is_rejected_and_changes_nothing() {
    use oatloom_membership::RejectReason;
    let now = Now { mono: Mono(50_000), wall_ms: 1_000_000 };
    let mut membership = Membership::new(member_name(0), (0..3).map(member_name), 1, now);
    let local_status = || LocalStatus { ready: true, ..LocalStatus::default() };
    let mut other = Membership::new(member_name(1), (0..3).map(member_name), 2, now);
    let valid = other.gossip_for(&member_name(0), local_status(), now);
    let later = Now { mono: Mono(50_100), wall_ms: 1_000_100 };
    let mut invalid = Vec::new();
    invalid.push((
        Gossip { version: GOSSIP_VERSION + 1, ..valid.clone() },
        RejectReason::VersionMismatch,
    ));
    invalid.push((Gossip { from: Member::new("x"), ..valid.clone() }, RejectReason::UnknownMember));
    invalid.push((Gossip { from: member_name(0), ..valid.clone() }, RejectReason::DuplicateName));
    let ahead = later.wall_ms + MAX_CLOCK_AHEAD_MS.0 + 1;
    invalid.push((Gossip { at_ms: ahead, ..valid.clone() }, RejectReason::ClockAhead));
    let future_start = Incarnation { started_ms: ahead, nonce: 1 };
    invalid.push((Gossip { incarnation: future_start, ..valid.clone() }, RejectReason::ClockAhead));
    let sent_too_early = later.wall_ms - MAX_MESSAGE_AGE_MS.0 - 1;
    invalid.push((Gossip { at_ms: sent_too_early, ..valid.clone() }, RejectReason::Delayed));
    for (gossip, reason) in &invalid {
        assert_eq!(membership.receive(gossip, later), Err(*reason));
        assert_eq!(membership.presence(&member_name(1)), Presence::Unknown);
    }
    assert_eq!(membership.receive(&valid, later), Ok(()));
    assert_eq!(membership.receive(&valid, later), Err(RejectReason::Stale), "a duplicate");
    let earlier_incarnation = Incarnation { started_ms: 999_000, nonce: 9 };
    let from_earlier = Gossip { incarnation: earlier_incarnation, at_ms: 1_000_050, ..valid };
    assert_eq!(
        membership.receive(&from_earlier, later),
        Err(RejectReason::Stale),
        "an earlier incarnation"
    );
    assert_eq!(membership.presence(&member_name(1)), Presence::Alive);
    assert_eq!(membership.rejected().values().sum::<u64>(), invalid.len() as u64 + 2);
}

/// A refused connection doesn't prove that a peer is gone: reports of a third controller count as
/// much, and show that it can relay.
#[test]
fn an_unreachable_peer_that_others_receive_from_is_not_gone() {
    let start = Now { mono: Mono(50_000), wall_ms: 1_000_000 };
    let time_after = |ms: u64| Now { mono: Mono(50_000 + ms), wall_ms: 1_000_000 + ms };
    let mut nodes: Vec<Membership> = (0..3)
        .map(|n| Membership::new(member_name(n), (0..3).map(member_name), n as u64, start))
        .collect();
    let local_status = || LocalStatus { ready: true, store_ms: Some(5), leader: None };
    for ms in (100..30_000).step_by(100) {
        for (from, to) in [(0, 2), (1, 2), (2, 0), (2, 1)] {
            if ms % 2_000 == 0 {
                let gossip =
                    nodes[from].gossip_for(&member_name(to), local_status(), time_after(ms));
                assert_eq!(nodes[to].receive(&gossip, time_after(ms)), Ok(()));
            }
        }
        for node in &mut nodes {
            node.tick(Mono(50_000 + ms));
        }
        nodes[0].record_unreachable(&member_name(1), Mono(50_000 + ms));
    }
    let present: BTreeSet<&Member> = nodes[0].present();
    assert_eq!(present.len(), 2, "n-2 receives gossip of n-1");
    assert_eq!(nodes[0].relay_for(&member_name(1), Mono(79_900)), Some(&member_name(2)));
    assert!(nodes[0].store_serves(5_000, Mono(79_900)));
    // Without reports of the third controller, nothing shows that the peer is alive.
    for ms in (30_000..70_000).step_by(100) {
        nodes[0].tick(Mono(50_000 + ms));
    }
    assert!(matches!(nodes[0].presence(&member_name(1)), Presence::Gone { .. }));
}

/// A controller that was frozen for half a minute doesn't suspect peers whose messages it missed.
#[test]
fn a_frozen_controller_does_not_suspect_peers_for_missed_messages() {
    let start = Now { mono: Mono(50_000), wall_ms: 1_000_000 };
    let mut membership = Membership::new(member_name(0), (0..3).map(member_name), 1, start);
    let mut other = Membership::new(member_name(1), (0..3).map(member_name), 2, start);
    let gossip = other.gossip_for(
        &member_name(0),
        LocalStatus { ready: true, ..LocalStatus::default() },
        start,
    );
    membership.receive(&gossip, start).unwrap();
    membership.tick(Mono(80_000));
    assert_eq!(membership.presence(&member_name(1)), Presence::Alive);
    for ms in (80_000..90_000).step_by(500) {
        membership.tick(Mono(ms));
    }
    assert!(matches!(membership.presence(&member_name(1)), Presence::Suspected { .. }));
}
