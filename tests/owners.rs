//! Simulation of share owners over time: one to seven controllers with drifting clocks; a state
//! service with outages that also refuses single controllers, loses replies and applies writes
//! late; and workers that only know tokens and leases. After each step no share is answered by two
//! controllers, and no reachable worker goes unanswered for long.

#[allow(dead_code)]
mod world;

use oatloom_core::constants::{
    CLOCK_START_MS, LEADER_LEASE_TTL_MS, OWNER_FAILOVER_MS, STORE_TIMEOUT_MS,
};
use oatloom_core::owners::{OwnerTask, ShareOwners, StoreRequest};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::{HostId, Member, Mono, Revision, Token};
use oatloom_shares::constants::{OWNER_KEY_PREFIX, SHARE_COUNT};
use oatloom_shares::{MapVersion, MemberIndex, ShareId, ShareMap};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use world::extra_seeds;
use world::state::State;

const STEP_MS: u64 = 50;
const REPORT_INTERVAL_MS: u64 = 3_000;
const LEASE_MS: u64 = 26_000;
/// Time until the other controllers know of a crash: membership suspects after 4.5 s.
const DETECTION_MS: u64 = 5_000;

enum Message {
    Store {
        node: usize,
        incarnation: u64,
        request: StoreRequest,
        sent: Mono,
        op: StoreOp,
        awaits_reply: bool,
    },
    Reply {
        node: usize,
        incarnation: u64,
        request: StoreRequest,
        sent: Mono,
        reply: StoreReply,
    },
    Offer {
        to: Member,
        from: usize,
        share: ShareId,
        offer: (Token, MapVersion),
    },
    RecordsSynced {
        node: usize,
        incarnation: u64,
        share: ShareId,
        up_to: Token,
    },
}

struct Node {
    owners: Option<ShareOwners>,
    incarnation: u64,
    started_at: u64,
    drift: f64,
    down_until: u64,
    last_crash: u64,
    frozen_until: u64,
    refused_until: u64,
}

struct Worker {
    share: ShareId,
    highest_token: Token,
    /// The controller that it asks next, and when.
    next_controller: usize,
    next_report: u64,
    /// When the last answered report was sent.
    last_answered: u64,
}

struct World {
    seed: u64,
    now: u64,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    state: State,
    outage_until: u64,
    queue: BTreeMap<(u64, u64), Message>,
    next_sequence: u64,
    watches: Vec<(usize, u64, StoreRequest, Mono, Revision, u64)>,
    workers: Vec<Worker>,
    map: ShareMap,
    /// Since when there are no faults.
    fault_free_since: u64,
    /// The longest time without an answer for a worker while there were no faults, in milliseconds.
    longest_silence: u64,
    /// Number of worker leases that ended.
    expired_leases: u64,
    /// Number of shares that the map moved to another member.
    moves: u64,
}

fn member_name(n: usize) -> Member {
    Member::new(&format!("n-{n}"))
}

impl World {
    fn new(seed: u64, nodes: usize, workers: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let new_node = |rng: &mut ChaCha8Rng| Node {
            owners: None,
            incarnation: 0,
            started_at: 0,
            drift: rng.random_range(0.0..0.0005),
            down_until: 0,
            last_crash: 0,
            frozen_until: 0,
            refused_until: 0,
        };
        let new_worker = |n: usize| Worker {
            share: ShareId::of_host(&HostId::new(&format!("i-{n:06}"))),
            highest_token: Token(0),
            next_controller: n % nodes,
            next_report: (n as u64 * 37) % REPORT_INTERVAL_MS,
            last_answered: 0,
        };
        Self {
            seed,
            now: 0,
            nodes: (0..nodes).map(|_| new_node(&mut rng)).collect(),
            workers: (0..workers).map(new_worker).collect(),
            rng,
            state: State::default(),
            outage_until: 0,
            queue: BTreeMap::new(),
            next_sequence: 0,
            watches: Vec::new(),
            map: ShareMap::default(),
            fault_free_since: 0,
            longest_silence: 0,
            expired_leases: 0,
            moves: 0,
        }
    }

    fn clock(&self, n: usize) -> Mono {
        let node = &self.nodes[n];
        let local_ms = (self.now - node.started_at) as f64 * (1.0 + node.drift);
        Mono(CLOCK_START_MS.0 + local_ms as u64)
    }

    fn send(&mut self, delay: u64, message: Message) {
        self.next_sequence += 1;
        self.queue.insert((self.now + delay, self.next_sequence), message);
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.01) {
            self.rng.random_range(100..900)
        } else {
            self.rng.random_range(1..12)
        }
    }

    fn send_requests(&mut self, n: usize, requests: Vec<StoreRequest>) {
        for request in requests {
            let (incarnation, sent) = (self.nodes[n].incarnation, self.clock(n));
            let op = match &request {
                StoreRequest::GrantLease => StoreOp::Grant { ttl_ms: LEADER_LEASE_TTL_MS.0 },
                StoreRequest::RenewLease(lease) => StoreOp::Touch { lease: *lease },
                StoreRequest::ListKeys { after, .. } => {
                    StoreOp::List { prefix: OWNER_KEY_PREFIX.into(), after: after.clone() }
                }
                StoreRequest::WriteKey { txn, .. } => StoreOp::Txn(txn.clone()),
                StoreRequest::WatchKeys(after) => {
                    self.watches.push((
                        n,
                        incarnation,
                        request.clone(),
                        sent,
                        *after,
                        self.now + 10_000,
                    ));
                    continue;
                }
            };
            let lost = self.rng.random_bool(0.01);
            let is_late = lost && self.rng.random_bool(0.5);
            if lost {
                let (request, reply) = (request.clone(), StoreReply::Lost);
                self.send(
                    STORE_TIMEOUT_MS.0,
                    Message::Reply { node: n, incarnation, request, sent, reply },
                );
            }
            // A lost request may be executed at once, much later, or never.
            let delay = if is_late { self.rng.random_range(3_000..60_000) } else { self.delay() };
            if !lost || is_late || self.rng.random_bool(0.5) {
                self.send(
                    delay,
                    Message::Store { node: n, incarnation, request, sent, op, awaits_reply: !lost },
                );
            }
        }
    }

    fn run_tasks(&mut self, n: usize) {
        let incarnation = self.nodes[n].incarnation;
        let tasks = self.nodes[n].owners.as_mut().map(ShareOwners::take_tasks).unwrap_or_default();
        for task in tasks {
            match task {
                OwnerTask::Drain(share) => {
                    if let Some(owners) = self.nodes[n].owners.as_mut() {
                        owners.on_drained(share);
                    }
                    self.run_tasks(n);
                }
                OwnerTask::SyncRecords(share, up_to) => {
                    let delay = self.delay();
                    self.send(delay, Message::RecordsSynced { node: n, incarnation, share, up_to });
                }
                OwnerTask::Offer { to, share, token, map_version } => {
                    let is_delayed = self.rng.random_bool(0.02);
                    let delay = if is_delayed {
                        self.rng.random_range(1_000..90_000)
                    } else {
                        self.delay()
                    };
                    self.send(
                        delay,
                        Message::Offer { to, from: n, share, offer: (token, map_version) },
                    );
                }
            }
        }
    }

    fn is_up(&self, n: usize) -> bool {
        self.nodes[n].owners.is_some() && self.now >= self.nodes[n].frozen_until
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Store { node, incarnation, request, sent, op, awaits_reply } => {
                let refused =
                    self.now < self.outage_until || self.now < self.nodes[node].refused_until;
                let reply =
                    if refused { StoreReply::Refused } else { self.state.execute(self.now, &op) };
                if awaits_reply {
                    let delay = self.delay();
                    self.send(delay, Message::Reply { node, incarnation, request, sent, reply });
                }
            }
            Message::Reply { node, incarnation, request, sent, reply } => {
                if self.nodes[node].incarnation != incarnation || self.nodes[node].owners.is_none()
                {
                    return;
                }
                let (now, random) = (self.clock(node), self.rng.random());
                let Some(owners) = self.nodes[node].owners.as_mut() else { return };
                let requests = owners.on_store_reply(now, &request, sent, &reply, random);
                self.send_requests(node, requests);
                self.run_tasks(node);
            }
            Message::Offer { to, from, share, offer } => {
                let Some(n) = (0..self.nodes.len()).find(|n| member_name(*n) == to) else { return };
                let now = self.clock(n);
                let Some(owners) = self.nodes[n].owners.as_mut() else { return };
                let requests = owners.on_offer(&member_name(from), share, offer, now);
                self.send_requests(n, requests);
            }
            Message::RecordsSynced { node, incarnation, share, up_to } => {
                if self.nodes[node].incarnation == incarnation
                    && let Some(owners) = self.nodes[node].owners.as_mut()
                {
                    owners.on_records_synced(share, up_to);
                }
            }
        }
    }

    /// When a message can be delivered, if its receiver is frozen now.
    fn frozen_until(&self, message: &Message) -> Option<u64> {
        let n = match message {
            Message::Reply { node, .. } | Message::RecordsSynced { node, .. } => *node,
            Message::Offer { to, .. } => (0..self.nodes.len()).find(|n| member_name(*n) == *to)?,
            Message::Store { .. } => return None,
        };
        (self.now < self.nodes[n].frozen_until).then_some(self.nodes[n].frozen_until)
    }

    fn crash(&mut self, n: usize) {
        if self.nodes[n].owners.take().is_some() {
            self.nodes[n].last_crash = self.now;
        }
        self.nodes[n].incarnation += 1;
        self.nodes[n].down_until = self.now + 6_000;
    }

    fn inject_fault(&mut self) -> u64 {
        let n = self.rng.random_range(0..self.nodes.len());
        let span = self.rng.random_range(2_000..30_000);
        match self.rng.random_range(0..7) {
            0 | 1 => self.crash(n),
            2 => (0..self.nodes.len()).for_each(|n| self.crash(n)),
            3 => {
                self.crash(n);
                let other = (n + 1) % self.nodes.len();
                self.crash(other);
            }
            4 => self.nodes[n].frozen_until = self.now + span,
            5 => self.nodes[n].refused_until = self.now + span,
            _ => self.outage_until = self.now + span.min(20_000),
        }
        self.now + span.max(6_000)
    }

    /// The leader's map: each call assigns a random share to a random member.
    fn plan(&mut self) {
        let present: Vec<u8> =
            (0..self.nodes.len() as u8).filter(|n| self.is_up(usize::from(*n))).collect();
        if present.is_empty() {
            return;
        }
        self.map.sequence += 1;
        for share in ShareId::all() {
            let member = present[usize::from(share.0) % present.len()];
            self.map.owners.entry(share).or_insert(MemberIndex(member));
        }
        let share = ShareId(self.rng.random_range(0..SHARE_COUNT));
        let to = MemberIndex(present[self.rng.random_range(0..present.len())]);
        self.moves += u64::from(self.map.owners.insert(share, to) != Some(to));
        for n in 0..self.nodes.len() {
            if self.is_up(n) && self.rng.random_bool(0.9) {
                let map = self.map.clone();
                self.nodes[n].owners.as_mut().map(|owners| owners.update_map(map));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.outage_until > 0 && self.now >= self.outage_until {
            self.state.restore_leases(self.now);
            self.outage_until = 0;
        }
        if self.outage_until == 0 {
            self.state.expire(self.now);
        }
        let present: Vec<Member> = (0..self.nodes.len())
            .filter(|n| {
                self.nodes[*n].owners.is_some()
                    || self.now < self.nodes[*n].last_crash + DETECTION_MS
            })
            .map(member_name)
            .collect();
        for n in 0..self.nodes.len() {
            if self.nodes[n].owners.is_none() && self.now >= self.nodes[n].down_until {
                let members: Vec<Member> = (0..self.nodes.len()).map(member_name).collect();
                self.nodes[n].owners =
                    Some(ShareOwners::new(&member_name(n), members, SHARE_COUNT));
                self.nodes[n].started_at = self.now;
            }
            if self.is_up(n) {
                let now = self.clock(n);
                let owners = self.nodes[n].owners.as_mut().expect("it is up");
                let requests = owners.tick(now, &present);
                self.send_requests(n, requests);
                self.run_tasks(n);
            }
        }
        if self.outage_until == 0 {
            let watches = std::mem::take(&mut self.watches);
            for (n, incarnation, request, sent, after, until) in watches {
                let is_due =
                    self.now >= until || !self.state.changes(OWNER_KEY_PREFIX, after).is_empty();
                if self.nodes[n].incarnation != incarnation {
                } else if is_due && self.now >= self.nodes[n].refused_until {
                    let reply = self.state.follow(OWNER_KEY_PREFIX, after);
                    self.send(4, Message::Reply { node: n, incarnation, request, sent, reply });
                } else {
                    self.watches.push((n, incarnation, request, sent, after, until));
                }
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            match self.frozen_until(&message) {
                Some(until) => {
                    self.next_sequence += 1;
                    self.queue.insert((until, self.next_sequence), message);
                }
                None => self.deliver(message),
            }
        }
        self.step_workers();
        self.check_single_owner();
    }

    fn step_workers(&mut self) {
        for index in 0..self.workers.len() {
            if self.now < self.workers[index].next_report {
                continue;
            }
            let (share, n) = (self.workers[index].share, self.workers[index].next_controller);
            let answer = self.is_up(n).then(|| {
                let now = self.clock(n);
                let owners = self.nodes[n].owners.as_ref().expect("it is up");
                (owners.may_answer(share, now), owners.owner(share).cloned())
            });
            let jitter =
                self.rng.random_range(REPORT_INTERVAL_MS * 3 / 4..REPORT_INTERVAL_MS * 5 / 4);
            let worker = &mut self.workers[index];
            let next = (n + 1) % self.nodes.len();
            match answer {
                Some((Some(token), _)) if token >= worker.highest_token => {
                    let silent = self.now - worker.last_answered.max(self.fault_free_since);
                    if self.now > self.fault_free_since + LEASE_MS {
                        self.longest_silence = self.longest_silence.max(silent);
                    }
                    worker.highest_token = token;
                    worker.last_answered = self.now;
                    worker.next_report = self.now + jitter;
                }
                Some((Some(_), _)) => {
                    panic!("seed {}: an owner answers with an outdated token", self.seed)
                }
                Some((None, Some(owner))) if owner != member_name(n) => {
                    let to = (0..self.nodes.len()).find(|n| member_name(*n) == owner);
                    worker.next_controller = to.unwrap_or(next);
                    worker.next_report = self.now + 250;
                }
                // 503 or no answer: the worker asks the next controller a second later.
                _ => {
                    worker.next_controller = next;
                    worker.next_report = self.now + 1_000;
                }
            }
            if self.now - worker.last_answered > LEASE_MS {
                self.expired_leases += 1;
                worker.last_answered = self.now;
            }
        }
    }

    /// At most one controller answers a share at any time. This is stricter than required: workers
    /// reject outdated tokens.
    fn check_single_owner(&self) {
        for share in ShareId::all() {
            let answers_share = |n: &usize| {
                let owners = self.nodes[*n].owners.as_ref();
                owners.and_then(|owners| owners.may_answer(share, self.clock(*n))).is_some()
            };
            let owners: Vec<usize> = (0..self.nodes.len()).filter(answers_share).collect();
            assert!(
                owners.len() <= 1,
                "seed {}, {}: share {share}: {owners:?}",
                self.seed,
                self.now
            );
        }
    }

    /// Number of shares that no controller answers.
    fn unanswered_count(&self) -> usize {
        let is_answered = |share: &ShareId| {
            (0..self.nodes.len()).any(|n| {
                let owners = self.nodes[n].owners.as_ref().filter(|_| self.is_up(n));
                owners.is_some_and(|owners| owners.may_answer(*share, self.clock(n)).is_some())
            })
        };
        ShareId::all().filter(|share| !is_answered(share)).count()
    }
}

/// Four minutes of random faults, then a period without faults in which every share must be
/// answered again.
#[test]
fn every_share_has_one_owner_under_random_faults() {
    let mut moves = 0;
    for (nodes, workers) in [(1, 30), (2, 60), (3, 120), (5, 120), (7, 200)] {
        for seed in 0..4 + extra_seeds() {
            let mut world = World::new(seed * 100 + nodes as u64, nodes, workers);
            let mut faults_until = 0;
            while world.now < 240_000 {
                if world.now.is_multiple_of(4_000) {
                    world.plan();
                    if world.rng.random_bool(0.25) {
                        faults_until = faults_until.max(world.inject_fault());
                    }
                }
                world.fault_free_since = world.fault_free_since.max(world.now);
                world.step();
            }
            while world.now < faults_until + 30_000 {
                world.fault_free_since = world.now;
                world.step();
            }
            assert_eq!(
                world.unanswered_count(),
                0,
                "{nodes} nodes, seed {seed}: unanswered shares"
            );
            world.fault_free_since = world.now;
            while world.now < world.fault_free_since + 60_000 {
                world.step();
            }
            // Bound of the rule `no_deaf_worker`: a report period, and a redirection.
            assert!(
                world.longest_silence < 8_000,
                "{nodes} nodes, seed {seed}: {} ms",
                world.longest_silence
            );
            moves += world.moves;
        }
    }
    assert!(moves > 300, "{moves} moves");
}

/// Moves without faults: no worker lease ends, wherever shares are moved.
#[test]
fn moves_alone_cost_no_worker_its_lease() {
    for (nodes, workers) in [(2, 200), (3, 2_000), (5, 200)] {
        let mut world = World::new(nodes as u64, nodes, workers);
        while world.now < 120_000 {
            if world.now.is_multiple_of(1_000) {
                world.plan();
            }
            world.step();
        }
        assert!(world.moves > 50);
        assert_eq!(world.expired_leases, 0, "{nodes} nodes");
        // Two report periods with their jitter, and the delay of a lost reply to a write.
        assert!(world.longest_silence < 12_000, "{nodes} nodes: {} ms", world.longest_silence);
    }
}

/// After the crash of one of three controllers, the shares of the others are answered throughout,
/// and its own again within the lease and two seconds.
#[test]
fn the_crash_of_an_owner_affects_its_own_shares_only() {
    let mut outages = Vec::new();
    for seed in 0..12 {
        let mut world = World::new(seed, 3, 120);
        while world.now < 40_000 {
            if world.now == 10_000 {
                world.plan();
            }
            world.step();
        }
        assert_eq!(world.unanswered_count(), 0, "seed {seed}");
        let n = seed as usize % 3;
        let owners = world.nodes[n].owners.as_ref().expect("it is up");
        let is_owned = |share: &ShareId| owners.may_answer(*share, world.clock(n)).is_some();
        let owned_count = ShareId::all().filter(is_owned).count();
        world.crash(n);
        world.nodes[n].down_until = u64::MAX;
        let (crashed_at, mut recovered_after) = (world.now, 0);
        while world.now < crashed_at + 15_000 {
            world.step();
            let unanswered = world.unanswered_count();
            assert!(
                unanswered <= owned_count + 2,
                "seed {seed}: {unanswered} unanswered shares, {owned_count} of the crashed owner"
            );
            if unanswered > 0 {
                recovered_after = world.now - crashed_at;
            }
        }
        outages.push(recovered_after);
    }
    outages.sort_unstable();
    eprintln!("shares of the crashed owner were unanswered for {outages:?} ms");
    let limit = LEADER_LEASE_TTL_MS.0 + 2_000 + STORE_TIMEOUT_MS.0;
    assert!(
        outages[outages.len() / 2] <= OWNER_FAILOVER_MS.0 && outages.iter().all(|ms| *ms <= limit)
    );
}
