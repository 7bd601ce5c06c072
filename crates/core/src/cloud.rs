//! Client of the cloud API: catalogue, machine lists, hires and releases within the request budget.

use crate::constants::*;
use oatloom_protocol::ids::{HostId, Millis, Mono, Token, Zone};
use oatloom_protocol::settings::CloudFacts;
use oatloom_protocol::wire::{Catalog, HireRequest, ListedMachine, MachineList};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A call to the cloud API.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudOp {
    Catalog,
    List { after: String },
    Hire(HireRequest),
    Release(Vec<HostId>),
}

/// The outcome of a call; `Lost`: no answer, or a server error.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Catalog(Catalog),
    List(MachineList),
    Hired(Vec<HostId>),
    Released,
    NoCapacity,
    /// 429, or 503 during an outage.
    Busy,
    Malformed(String),
    Lost,
}

/// A kind of machine for which the cloud's capacity is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKind {
    pub flavor: String,
    pub zone: Zone,
    pub spot: bool,
}

impl From<&HireRequest> for MachineKind {
    fn from(h: &HireRequest) -> Self {
        Self { flavor: h.flavor.clone(), zone: h.zone.clone(), spot: h.spot }
    }
}

/// What a reply means to the rest of the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudEvent {
    Catalog(Catalog),
    /// A complete list, and when its first page was requested.
    Listing(Vec<ListedMachine>, Mono),
    Hired(HireRequest, Vec<HostId>),
    Released(Vec<HostId>),
    Nothing,
}

#[derive(Debug)]
struct QueuedHire {
    hire: HireRequest,
    tries: u32,
    sent: bool,
}

/// Queues calls to the cloud, limits their rate and tracks what is under way.
#[derive(Debug)]
pub struct CloudClient {
    requests_per_s: f64,
    request_budget: f64,
    refilled_at: Mono,
    token: Token,
    counter: u64,
    next_catalog: Mono,
    catalog_pending: bool,
    next_list: Mono,
    list: Option<(Vec<ListedMachine>, Mono)>,
    list_pending: bool,
    hires: VecDeque<QueuedHire>,
    releases: BTreeSet<HostId>,
    release_pending: bool,
    paused_until: Mono,
    refused: BTreeMap<MachineKind, Mono>,
}

impl CloudClient {
    pub fn new(facts: &CloudFacts) -> Self {
        Self {
            // A little below the budget: other controllers read the catalogue as well.
            requests_per_s: facts.rps * 0.8,
            request_budget: 1.0,
            refilled_at: Mono(0),
            token: Token(0),
            counter: 0,
            next_catalog: Mono(0),
            catalog_pending: false,
            next_list: Mono(0),
            list: None,
            list_pending: false,
            hires: VecDeque::new(),
            releases: BTreeSet::new(),
            release_pending: false,
            paused_until: Mono(0),
            refused: BTreeMap::new(),
        }
    }

    /// Resets the state for a new term: requests of an earlier term are not relied on.
    pub fn start_term(&mut self, token: Token, now: Mono) {
        self.token = token;
        self.counter = 0;
        self.hires.clear();
        self.releases.clear();
        self.next_list = now;
        self.list = None;
        // Replies to calls of an earlier term are not waited for.
        self.list_pending = false;
        self.release_pending = false;
        self.refused.clear();
    }

    /// Queues a hire under a request name that is never reused: the fencing token is this leader's
    /// alone and the counter only grows. Unsent requests of the same kind are merged: a few
    /// machines of each kind at every tick used up the request budget, and hundreds of machines
    /// came seconds late.
    pub fn hire(&mut self, kind: &MachineKind, number: u32) {
        let mut number = number;
        for waiting in &mut self.hires {
            if !waiting.sent && waiting.tries == 0 && MachineKind::from(&waiting.hire) == *kind {
                let added = number.min(MAX_HIRE_MACHINES - waiting.hire.number);
                waiting.hire.number += added;
                number -= added;
            }
        }
        while number > 0 {
            self.counter += 1;
            let hire = HireRequest {
                request_id: format!("r-{}-{}", self.token, self.counter),
                flavor: kind.flavor.clone(),
                zone: kind.zone.clone(),
                spot: kind.spot,
                number: number.min(MAX_HIRE_MACHINES),
            };
            number -= hire.number;
            log::info!("cloud: hiring {kind:?} by request {}", hire.request_id);
            self.hires.push_back(QueuedHire { hire, tries: 0, sent: false });
        }
    }

    /// Drops queued hires in a zone that were never sent.
    pub fn cancel_unsent_hires(&mut self, zone: &Zone) {
        self.hires.retain(|queued| queued.sent || queued.tries > 0 || queued.hire.zone != *zone);
    }

    pub fn release(&mut self, host: &HostId) {
        self.releases.insert(host.clone());
    }

    /// Machines requested but not answered yet.
    pub fn pending_hires(&self) -> impl Iterator<Item = (MachineKind, u32)> + '_ {
        self.hires.iter().map(|queued| (MachineKind::from(&queued.hire), queued.hire.number))
    }

    /// Whether a kind was refused lately.
    pub fn is_refused(&self, kind: &MachineKind, now: Mono) -> bool {
        self.refused.get(kind).is_some_and(|until| now < *until)
    }

    pub fn tick(&mut self, now: Mono, leading: bool, have_catalog: bool) -> Vec<CloudOp> {
        self.request_budget = (self.request_budget
            + now.since(self.refilled_at).as_secs() * self.requests_per_s)
            .min(self.requests_per_s.max(1.0));
        self.refilled_at = now;
        let mut ops = Vec::new();
        if now < self.paused_until {
            return ops;
        }
        if !self.catalog_pending && now >= self.next_catalog && self.spend() {
            self.catalog_pending = true;
            let wait = if have_catalog { CATALOG_PERIOD_MS } else { Millis(2_000) };
            self.next_catalog = now.plus(wait);
            ops.push(CloudOp::Catalog);
        }
        if !leading {
            return ops;
        }
        if !self.release_pending && !self.releases.is_empty() && self.spend() {
            self.release_pending = true;
            let hosts = self.releases.iter().take(MAX_RELEASE_MACHINES).cloned().collect();
            ops.push(CloudOp::Release(hosts));
        }
        // One hire at a time: the choice of the next one depends on what this one gets.
        if let Some(first) = self.hires.front()
            && !first.sent
            && self.spend()
            && let Some(first) = self.hires.front_mut()
        {
            first.sent = true;
            ops.push(CloudOp::Hire(first.hire.clone()));
        }
        if !self.list_pending && (self.list.is_some() || now >= self.next_list) && self.spend() {
            self.list_pending = true;
            let (rows, _) = self.list.get_or_insert((Vec::new(), now));
            let after = rows.last().map(|r| r.host.to_string()).unwrap_or_default();
            ops.push(CloudOp::List { after });
        }
        ops
    }

    fn spend(&mut self) -> bool {
        if self.request_budget < 1.0 {
            return false;
        }
        self.request_budget -= 1.0;
        true
    }

    pub fn handle_reply(&mut self, now: Mono, op: &CloudOp, reply: CloudReply) -> CloudEvent {
        if matches!(reply, CloudReply::Busy | CloudReply::Lost) {
            self.paused_until = now.plus(CLOUD_PAUSE_MS);
        }
        match op {
            CloudOp::Catalog => {
                self.catalog_pending = false;
                match reply {
                    CloudReply::Catalog(catalog) => CloudEvent::Catalog(catalog),
                    _ => CloudEvent::Nothing,
                }
            }
            CloudOp::List { .. } => self.on_list(now, reply),
            CloudOp::Hire(hire) => self.on_hire(now, hire, reply),
            CloudOp::Release(hosts) => {
                self.release_pending = false;
                if reply != CloudReply::Released {
                    return CloudEvent::Nothing;
                }
                for host in hosts {
                    self.releases.remove(host);
                }
                CloudEvent::Released(hosts.clone())
            }
        }
    }

    fn on_list(&mut self, now: Mono, reply: CloudReply) -> CloudEvent {
        self.list_pending = false;
        let CloudReply::List(page) = reply else {
            self.list = None;
            self.next_list = now.plus(CLOUD_PAUSE_MS);
            return CloudEvent::Nothing;
        };
        let Some((mut rows, since)) = self.list.take() else {
            return CloudEvent::Nothing;
        };
        let more = page.more && !page.hosts.is_empty();
        rows.extend(page.hosts);
        if more {
            self.list = Some((rows, since));
            return CloudEvent::Nothing;
        }
        self.next_list = now.plus(LIST_PERIOD_MS);
        CloudEvent::Listing(rows, since)
    }

    fn on_hire(&mut self, now: Mono, hire: &HireRequest, reply: CloudReply) -> CloudEvent {
        let Some(first) = self.hires.front_mut() else {
            return CloudEvent::Nothing;
        };
        if first.hire.request_id != hire.request_id {
            return CloudEvent::Nothing;
        }
        match reply {
            CloudReply::Hired(hosts) => {
                self.hires.pop_front();
                if (hosts.len() as u32) < hire.number {
                    log::info!(
                        "cloud: request {} got {} of {}",
                        hire.request_id,
                        hosts.len(),
                        hire.number
                    );
                    self.refused.insert(MachineKind::from(hire), now.plus(NO_CAPACITY_PAUSE_MS));
                }
                CloudEvent::Hired(hire.clone(), hosts)
            }
            CloudReply::NoCapacity => {
                log::info!("cloud: no capacity for {:?}", MachineKind::from(hire));
                self.hires.pop_front();
                self.refused.insert(MachineKind::from(hire), now.plus(NO_CAPACITY_PAUSE_MS));
                CloudEvent::Nothing
            }
            // Retries under the same name: if the hire was carried out, the cloud gives the same
            // answer and rents nothing more. If it is given up, its machines show up in the list
            // and are adopted.
            CloudReply::Busy | CloudReply::Lost if first.tries < MAX_HIRE_ATTEMPTS => {
                first.tries += 1;
                first.sent = false;
                CloudEvent::Nothing
            }
            other => {
                log::warn!("cloud: request {} given up: {other:?}", hire.request_id);
                self.hires.pop_front();
                CloudEvent::Nothing
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn client() -> (CloudClient, MachineKind) {
        let mut client = CloudClient::new(&CloudFacts { rps: 6.0, list_lag_s: 4.0 });
        client.start_term(Token(7), Mono(0));
        let kind = MachineKind { flavor: "f".into(), zone: Zone::new("a"), spot: true };
        (client, kind)
    }

    fn next_sent_hire(client: &mut CloudClient, now: Mono) -> Option<CloudOp> {
        client.tick(now, true, true).into_iter().find(|op| matches!(op, CloudOp::Hire(_)))
    }

    /// A lost answer is retried under the same name; a new request gets a new one; no name is used
    /// twice.
    #[test]
    fn request_names_are_never_reused() {
        let (mut client, kind) = client();
        client.hire(&kind, 2);
        let first = next_sent_hire(&mut client, Mono(5_000)).unwrap();
        client.handle_reply(Mono(5_100), &first, CloudReply::Lost);
        let again = next_sent_hire(&mut client, Mono(10_000)).unwrap();
        assert_eq!(first, again);
        client.handle_reply(Mono(10_100), &again, CloudReply::Hired(vec![HostId::new("i-1")]));
        assert!(client.is_refused(&kind, Mono(10_200)), "partly filled");
        client.hire(&kind, 2);
        let next = next_sent_hire(&mut client, Mono(20_000)).unwrap();
        assert_ne!(first, next);
    }

    /// Requests of a kind that wait for the budget are merged into one, as large as the cloud
    /// accepts.
    #[test]
    fn unsent_hires_of_a_kind_are_merged() {
        let (mut client, kind) = client();
        let other = MachineKind { spot: false, ..kind.clone() };
        for _ in 0..30 {
            client.hire(&kind, 3);
            client.hire(&other, 1);
        }
        assert_eq!(client.pending_hires().map(|(_, n)| n).sum::<u32>(), 120);
        assert_eq!(client.pending_hires().count(), 3);
        // A request that was sent, and may have been carried out, stays as it was.
        let first = next_sent_hire(&mut client, Mono(5_000)).unwrap();
        client.handle_reply(Mono(5_100), &first, CloudReply::Lost);
        client.hire(&kind, 20);
        assert_eq!(next_sent_hire(&mut client, Mono(10_000)), Some(first));
        assert_eq!(client.pending_hires().map(|(_, n)| n).sum::<u32>(), 140);
        assert!(client.pending_hires().all(|(_, n)| n <= MAX_HIRE_MACHINES));
    }

    #[test]
    fn paged_lists_are_joined() {
        let (mut client, _) = client();
        let row = |n: u32| ListedMachine {
            host: HostId::new(&format!("i-{n:06}")),
            addr: String::new(),
            flavor: "f".into(),
            zone: Zone::new("a"),
            spot: false,
            status: oatloom_protocol::wire::MachineStatus::Running,
            age_s: 1.0,
        };
        let mut now = Mono(5_000);
        for n in 0..3 {
            let ops = client.tick(now, true, true);
            let op = ops.iter().find(|op| matches!(op, CloudOp::List { .. })).unwrap();
            let page = MachineList { hosts: vec![row(n)], more: n < 2 };
            let event = client.handle_reply(now, op, CloudReply::List(page));
            assert_eq!(
                matches!(event, CloudEvent::Listing(ref rows, _) if rows.len() == 3),
                n == 2
            );
            now = now.plus(Millis(1_000));
        }
    }
}
