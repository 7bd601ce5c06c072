//! A single controller with a state service, where a test can hold back any response and move the clock.

use super::state::State;
use super::{SETTINGS, settings};
use oatloom_core::api::Request;
use oatloom_core::cloud::{CloudOp, CloudReply};
use oatloom_core::conn_id::ConnId;
use oatloom_core::constants::CLOCK_START_MS;
use oatloom_core::controller::{Action, Controller, Event};
use oatloom_core::mesh::PeerRequest;
use oatloom_core::operators::OperatorSettings;
use oatloom_core::store::{OpId, StoreOp, StoreReply};
use oatloom_protocol::ids::{LeaseId, Mono, Now, Revision};
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::{Catalog, Change, Flavor, HireRequest, MachineList, Txn};

pub struct Solo {
    pub controller: Controller,
    pub state: State,
    pub now: u64,
    /// Which operations get their responses held back, and whether they are executed at once or on release.
    pub holds_reply: fn(&StoreOp) -> bool,
    pub execute_held: bool,
    pub held: Vec<(OpId, StoreOp, Option<StoreReply>)>,
    pub watches: Vec<(OpId, String, Revision)>,
    pub replies: Vec<(ConnId, HttpReply)>,
    pub peer_requests: Vec<(u64, PeerRequest)>,
    /// The cloud's response to a list request; `None`: busy, as for all other requests but the catalog.
    pub machine_list: Option<MachineList>,
    /// Hire requests received by the cloud.
    pub hire_requests: Vec<HireRequest>,
    conns: u64,
}

impl Solo {
    /// Node 0 of three; nothing is held back.
    pub fn new() -> Self {
        Self {
            controller: Controller::new(settings(SETTINGS, 0), OperatorSettings::default(), 7),
            state: State::default(),
            now: 0,
            holds_reply: |_| false,
            execute_held: false,
            held: Vec::new(),
            watches: Vec::new(),
            replies: Vec::new(),
            peer_requests: Vec::new(),
            machine_list: None,
            hire_requests: Vec::new(),
            conns: 0,
        }
    }

    pub fn clock(&self) -> Now {
        Now { mono: Mono(CLOCK_START_MS.0 + self.now), wall_ms: 1_000_000 + self.now }
    }

    /// Another controller holds the leader key; returns its lease.
    pub fn set_other_leader(&mut self) -> LeaseId {
        let StoreReply::Granted(lease) =
            self.state.execute(self.now, &StoreOp::Grant { ttl_ms: 600_000 })
        else {
            unreachable!("leases are always granted")
        };
        let value = serde_json::json!({"member": "n-1", "nonce": 3});
        self.write(vec![Change::Put { key: "lead".into(), value, lease: Some(lease) }]);
        lease
    }

    /// Writes changes as another client; returns the revision.
    pub fn write(&mut self, changes: Vec<Change>) -> Revision {
        let txn = StoreOp::Txn(Txn { conditions: Vec::new(), changes });
        match self.state.execute(self.now, &txn) {
            StoreReply::Committed(revision) => revision,
            other => panic!("{other:?}"),
        }
    }

    pub fn send_request(&mut self, request: Request) -> ConnId {
        self.conns += 1;
        let conn = ConnId(self.conns);
        self.event(Event::Request { conn, request, forwarded: false });
        conn
    }

    /// The response to a request, if there is one yet.
    pub fn reply(&self, conn: ConnId) -> Option<&HttpReply> {
        self.replies.iter().find(|(c, _)| *c == conn).map(|(_, reply)| reply)
    }

    pub fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.controller.handle(self.clock(), event) {
                match action {
                    Action::Reply { conn, reply } => self.replies.push((conn, reply)),
                    Action::Store { id, op: StoreOp::Follow { prefix, after }, .. } => {
                        self.watches.push((id, prefix, after));
                    }
                    Action::Store { id, op, .. } if (self.holds_reply)(&op) => {
                        let reply = self.execute_held.then(|| self.state.execute(self.now, &op));
                        self.held.push((id, op, reply));
                    }
                    Action::Store { id, op, .. } => {
                        let reply = self.state.execute(self.now, &op);
                        events.push(Event::Store { id, reply });
                    }
                    Action::Cloud { id, op: CloudOp::Catalog } => {
                        let reply = CloudReply::Catalog(catalog());
                        events.push(Event::Cloud { id, reply });
                    }
                    Action::Cloud { id, op: CloudOp::List { .. } }
                        if self.machine_list.is_some() =>
                    {
                        let reply =
                            self.machine_list.clone().map_or(CloudReply::Busy, CloudReply::List);
                        events.push(Event::Cloud { id, reply });
                    }
                    Action::Cloud { id, op } => {
                        if let CloudOp::Hire(hire) = op {
                            self.hire_requests.push(hire);
                        }
                        events.push(Event::Cloud { id, reply: CloudReply::Busy });
                    }
                    Action::PeerRequest { id, request, .. } => {
                        self.peer_requests.push((id, request))
                    }
                    Action::Command { .. } => events.push(Event::CommandReply { report: None }),
                }
            }
        }
    }

    /// Delivers the responses that were held back.
    pub fn release_held(&mut self) {
        for (id, op, reply) in std::mem::take(&mut self.held) {
            let reply = reply.unwrap_or_else(|| self.state.execute(self.now, &op));
            self.event(Event::Store { id, reply });
        }
    }

    /// Advances the time by this many milliseconds, in steps of 50 ms.
    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 50;
            self.state.expire(self.now);
            self.event(Event::Tick);
            let is_due = |(_, prefix, after): &(OpId, String, Revision)| {
                !self.state.changes(prefix, *after).is_empty()
            };
            let (ready, open) = std::mem::take(&mut self.watches).into_iter().partition(is_due);
            self.watches = open;
            let ready: Vec<_> = ready;
            for (id, prefix, after) in ready {
                let reply = self.state.follow(&prefix, after);
                self.event(Event::Store { id, reply });
            }
        }
    }
}

fn catalog() -> Catalog {
    let flavor = Flavor {
        label: "g4".into(),
        cpus: 32.0,
        gpus: 4.0,
        memory_gb: 256.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 2.0,
        boot_s: 5.0,
        zones: super::ZONES.iter().map(|zone| oatloom_protocol::ids::Zone::new(zone)).collect(),
    };
    Catalog { flavors: vec![flavor] }
}
