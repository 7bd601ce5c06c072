//! HTTP clients of the state service, the cloud and the workers. Every call ends with a response or a time-out.

use super::{StartupError, spawn};
use crate::constants::*;
use crossbeam::channel::{Receiver, Sender, bounded};
use oatloom_core::cloud::{CloudOp, CloudReply};
use oatloom_core::constants::*;
use oatloom_core::controller::Event;
use oatloom_core::store::{OpClass, OpId, StoreOp, StoreReply};
use oatloom_protocol::ids::Millis;
use oatloom_protocol::settings::Endpoints;
use oatloom_protocol::wire::{Changes, Command, Grant, Hosts, Page, RevisionReply, Row};
use oatloom_web::client::{HttpClient, escape};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Queues of the client threads.
pub(crate) struct Clients {
    lease: Sender<(OpId, StoreOp)>,
    watch: Sender<(OpId, StoreOp)>,
    general: Sender<(OpId, StoreOp)>,
    cloud: Sender<(u64, CloudOp)>,
    workers: Sender<(String, Command)>,
}

impl Clients {
    pub fn start(endpoints: &Endpoints, events: &Sender<Event>) -> Result<Self, StartupError> {
        let watch_timeout = Millis(WATCH_HOLD_MS.0 + STORE_TIMEOUT_MS.0);
        let state = &endpoints.state;
        let store =
            |name, threads, timeout| spawn_pool(name, threads, state, timeout, events, call_store);
        Ok(Self {
            lease: store("lease", MAX_LEASE_INFLIGHT, LEASE_RENEWAL_TIMEOUT_MS)?,
            // Watches of the leader key and of jobs, and one of a previous term that is still open.
            watch: store("watch", 3, watch_timeout)?,
            general: store("store", MAX_STORE_INFLIGHT + 1, STORE_TIMEOUT_MS)?,
            cloud: spawn_pool("cloud", 3, &endpoints.cloud, CLOUD_TIMEOUT_MS, events, call_cloud)?,
            // Each command carries the address of its worker.
            workers: spawn_pool(
                "do",
                COMMAND_THREADS,
                "",
                COMMAND_TIMEOUT_MS,
                events,
                call_worker,
            )?,
        })
    }

    pub fn store(&self, id: OpId, class: OpClass, op: StoreOp) -> Option<Event> {
        let queue = match class {
            OpClass::Lease => &self.lease,
            OpClass::Watch => &self.watch,
            OpClass::Write | OpClass::General => &self.general,
        };
        let failed = Event::Store { id, reply: StoreReply::Unsent };
        queue.try_send((id, op)).is_err().then_some(failed)
    }

    pub fn cloud(&self, id: u64, op: CloudOp) -> Option<Event> {
        let failed = Event::Cloud { id, reply: CloudReply::Busy };
        self.cloud.try_send((id, op)).is_err().then_some(failed)
    }

    pub fn command(&self, addr: String, command: Command) -> Option<Event> {
        let failed = Event::CommandReply { report: None };
        self.workers.try_send((addr, command)).is_err().then_some(failed)
    }
}

/// Sends a command to a worker. Only the report in its response is used.
fn call_worker(caller: &HttpClient, addr: String, command: Command) -> Event {
    let response = match addr.parse::<std::net::SocketAddr>() {
        Ok(_) => caller.post(&format!("{addr}/do"), &command),
        Err(_) => None,
    };
    let report = response.and_then(|(_, body)| serde_json::from_slice(&body).ok());
    Event::CommandReply { report }
}

/// Starts threads that each take a call, wait for its response and pass it to the core.
fn spawn_pool<Id: Send + 'static, Op: Send + 'static>(
    name: &str,
    threads: usize,
    address: &str,
    timeout: Millis,
    events: &Sender<Event>,
    call: fn(&HttpClient, Id, Op) -> Event,
) -> Result<Sender<(Id, Op)>, StartupError> {
    let (sender, queue): (_, Receiver<(Id, Op)>) = bounded(MAX_QUEUED_CALLS);
    for _ in 0..threads {
        let (queue, events) = (queue.clone(), events.clone());
        let caller = HttpClient::new(address, timeout, MAX_RESPONSE_BYTES);
        spawn(name, move || {
            while let Ok((id, op)) = queue.recv() {
                if events.send(call(&caller, id, op)).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(sender)
}

fn read<T: DeserializeOwned>(body: &[u8], into_reply: impl FnOnce(T) -> StoreReply) -> StoreReply {
    match serde_json::from_slice(body) {
        Ok(value) => into_reply(value),
        Err(e) => StoreReply::Malformed(format!("unreadable response: {e}")),
    }
}

fn call_store(caller: &HttpClient, id: OpId, op: StoreOp) -> Event {
    let response = match &op {
        StoreOp::Get { key } => caller.get(&format!("/keys/{key}")),
        StoreOp::List { prefix, after } => {
            let mut path = format!("/keys?prefix={}&most={PAGE_ROWS}", escape(prefix));
            if !after.is_empty() {
                path.push_str(&format!("&after={}", escape(after)));
            }
            caller.get(&path)
        }
        StoreOp::Txn(txn) => caller.post("/multi", txn),
        StoreOp::Grant { ttl_ms } => caller.post("/grants", &json!({ "ttlMs": ttl_ms })),
        StoreOp::Touch { lease } => caller.post(&format!("/grants/{lease}/touch"), &json!({})),
        StoreOp::Revoke { lease } => caller.delete(&format!("/grants/{lease}")),
        StoreOp::Changes { prefix, after } => {
            caller.get(&format!("/follow?prefix={}&after={after}&holdMs=0", escape(prefix)))
        }
        StoreOp::Follow { prefix, after } => {
            let hold_ms = WATCH_HOLD_MS.0;
            caller.get(&format!("/follow?prefix={}&after={after}&holdMs={hold_ms}", escape(prefix)))
        }
    };
    let reply = match response {
        None => StoreReply::Lost,
        Some((429, _)) => StoreReply::Throttled,
        Some((503, _)) => StoreReply::Refused,
        Some((200, body)) => match op {
            StoreOp::Get { .. } => read(&body, |row: Row| StoreReply::Found(row)),
            StoreOp::List { .. } => read(&body, |page: Page| StoreReply::Page(page)),
            StoreOp::Txn(_) => read(&body, |r: RevisionReply| StoreReply::Committed(r.revision)),
            StoreOp::Grant { .. } => read(&body, |g: Grant| StoreReply::Granted(g.lease)),
            StoreOp::Touch { .. } | StoreOp::Revoke { .. } => StoreReply::Touched,
            StoreOp::Follow { .. } | StoreOp::Changes { .. } => {
                read(&body, |c: Changes| StoreReply::Changes(c))
            }
        },
        Some((404, body)) => match op {
            StoreOp::Get { .. } => read(&body, |r: RevisionReply| StoreReply::Missing(r.revision)),
            _ => StoreReply::NoSuchLease,
        },
        Some((409, body)) => read(&body, |r: RevisionReply| StoreReply::Conflict(r.failed)),
        Some((410, _)) => StoreReply::TooOld,
        // After a server error it is unknown whether the request was executed.
        Some((status, _)) if status >= 500 => StoreReply::Lost,
        Some((status, body)) => {
            StoreReply::Malformed(format!("{status} {}", String::from_utf8_lossy(&body)))
        }
    };
    Event::Store { id, reply }
}

fn call_cloud(caller: &HttpClient, id: u64, op: CloudOp) -> Event {
    let response = match &op {
        CloudOp::Catalog => caller.get("/catalog"),
        CloudOp::List { after } => {
            let mut path = format!("/machines?most={PAGE_ROWS}");
            if !after.is_empty() {
                path.push_str(&format!("&after={}", escape(after)));
            }
            caller.get(&path)
        }
        CloudOp::Hire(request) => caller.post("/machines", request),
        CloudOp::Release(hosts) => {
            caller.post("/machines/release", &Hosts { hosts: hosts.clone() })
        }
    };
    let parse = |body: &[u8]| -> Result<CloudReply, serde_json::Error> {
        Ok(match op {
            CloudOp::Catalog => CloudReply::Catalog(serde_json::from_slice(body)?),
            CloudOp::List { .. } => CloudReply::List(serde_json::from_slice(body)?),
            CloudOp::Hire(_) => CloudReply::Hired(serde_json::from_slice::<Hosts>(body)?.hosts),
            CloudOp::Release(_) => CloudReply::Released,
        })
    };
    let reply = match response {
        None => CloudReply::Lost,
        Some((200, body)) => parse(&body).unwrap_or_else(|e| CloudReply::Malformed(e.to_string())),
        Some((503, body)) if String::from_utf8_lossy(&body).contains("no capacity") => {
            CloudReply::NoCapacity
        }
        Some((429 | 503, _)) => CloudReply::Busy,
        Some((status, _)) if status >= 500 => CloudReply::Lost,
        Some((status, body)) => {
            CloudReply::Malformed(format!("{status} {}", String::from_utf8_lossy(&body)))
        }
    };
    Event::Cloud { id, reply }
}
