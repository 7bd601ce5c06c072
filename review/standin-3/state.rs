//! A state service in memory, as the protocol describes it. Each controller has an address of its own, so that a script
//! can refuse one of them alone.

use crate::http::{Answer, Request, serve};
use crate::json::{Json, quote};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Entry {
    value: String,
    stamp: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
    keys: BTreeSet<String>,
}

struct Change {
    key: String,
    value: Option<String>,
    stamp: u64,
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    log: Vec<Change>,
    epoch: u64,
    next_lease: u64,
}

#[derive(Clone)]
pub struct State(Arc<(Mutex<Inner>, Condvar)>);

const MAX_OPS: usize = 16;
const MAX_VALUE: usize = 8 * 1024;

impl State {
    pub fn new() -> Self {
        let inner = Inner {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            log: Vec::new(),
            epoch: 1,
            next_lease: 1,
        };
        let state = State(Arc::new((Mutex::new(inner), Condvar::new())));
        let expiring = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        state
    }

    /// An address at which a controller reaches the service.
    pub fn address(&self) -> SocketAddr {
        let state = self.clone();
        serve(move |request| state.handle(request))
    }

    /// The member that the leader key names, if there is one.
    pub fn leader(&self) -> Option<String> {
        let inner = self.0.0.lock().unwrap();
        let entry = inner.keys.get("lead")?;
        Some(Json::parse(&entry.value)?.get("member").text().to_owned())
    }

    fn expire(&self) {
        let mut inner = self.0.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, lease)| lease.ends < now).map(|(id, _)| *id).collect();
        for id in ended {
            inner.end_lease(id);
            self.0.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let reply = |status: u16, body: String| Answer::Reply(status, body);
        let mut inner = self.0.0.lock().unwrap();
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/keys") => {
                let prefix = request.parameter("prefix").unwrap_or_default();
                let after = request.parameter("after").unwrap_or_default();
                let most: usize =
                    request.parameter("most").and_then(|n| n.parse().ok()).unwrap_or(1000);
                let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, entry) in inner.keys.range(prefix.clone()..) {
                    if !key.starts_with(&prefix) {
                        break;
                    }
                    if *key <= after {
                        continue;
                    }
                    if rows.len() >= most.min(1000) || bytes > 500 * 1024 {
                        more = true;
                        break;
                    }
                    let row = format!(
                        "{{\"path\":{},\"data\":{},\"stamp\":{}}}",
                        quote(key),
                        entry.value,
                        entry.stamp
                    );
                    bytes += row.len();
                    rows.push(row);
                }
                let epoch = inner.epoch;
                reply(
                    200,
                    format!("{{\"rows\":[{}],\"more\":{more},\"epoch\":{epoch}}}", rows.join(",")),
                )
            }
            ("GET", "/follow") => {
                let prefix = request.parameter("prefix").unwrap_or_default();
                let after: u64 =
                    request.parameter("after").and_then(|n| n.parse().ok()).unwrap_or(0);
                let hold: u64 =
                    request.parameter("holdMs").and_then(|n| n.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(hold.min(60_000));
                loop {
                    if inner.log.len() > 10_000
                        && inner.log[inner.log.len() - 10_000].stamp > after + 1
                    {
                        return reply(410, "{\"error\":\"too old\"}".into());
                    }
                    let start = inner.log.partition_point(|change| change.stamp <= after);
                    let rows: Vec<String> = inner.log[start..]
                        .iter()
                        .filter(|change| change.key.starts_with(&prefix))
                        .map(|change| match &change.value {
                            Some(value) => format!(
                                "{{\"put\":{},\"data\":{value},\"stamp\":{}}}",
                                quote(&change.key),
                                change.stamp
                            ),
                            None => format!(
                                "{{\"delete\":{},\"stamp\":{}}}",
                                quote(&change.key),
                                change.stamp
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !rows.is_empty() || now >= until {
                        let epoch = inner.epoch;
                        return reply(
                            200,
                            format!("{{\"epoch\":{epoch},\"log\":[{}]}}", rows.join(",")),
                        );
                    }
                    inner = self.0.1.wait_timeout(inner, until - now).unwrap().0;
                }
            }
            ("POST", "/multi") => {
                let Some(body) = Json::parse(&request.body) else {
                    return reply(400, "{\"error\":\"not JSON\"}".into());
                };
                let answer = inner.transact(&body);
                self.0.1.notify_all();
                answer
            }
            ("POST", "/grants") => {
                let ttl = Json::parse(&request.body).and_then(|b| b.get("ttlMs").integer());
                let Some(ttl) = ttl.filter(|ttl| (100..=600_000).contains(ttl)) else {
                    return reply(400, "{\"error\":\"ttlMs\"}".into());
                };
                let id = inner.next_lease;
                inner.next_lease += 1;
                let ttl = Duration::from_millis(ttl);
                let lease = Lease { ttl, ends: Instant::now() + ttl, keys: BTreeSet::new() };
                inner.leases.insert(id, lease);
                reply(200, format!("{{\"tenancy\":{id}}}"))
            }
            (method, path) if path.starts_with("/grants/") => {
                let rest = &path["/grants/".len()..];
                let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
                let Some(lease) = inner.leases.get_mut(&id) else {
                    return reply(404, "{\"error\":\"no such lease\"}".into());
                };
                if method == "DELETE" {
                    inner.end_lease(id);
                    self.0.1.notify_all();
                } else {
                    lease.ends = Instant::now() + lease.ttl;
                }
                reply(200, format!("{{\"tenancy\":{id}}}"))
            }
            ("GET", path) if path.starts_with("/keys/") => {
                let key = &path["/keys/".len()..];
                match inner.keys.get(key) {
                    Some(entry) => {
                        let lease = match entry.lease {
                            0 => String::new(),
                            id => format!(",\"tenancy\":{id}"),
                        };
                        reply(
                            200,
                            format!(
                                "{{\"path\":{},\"data\":{},\"stamp\":{}{lease}}}",
                                quote(key),
                                entry.value,
                                entry.stamp
                            ),
                        )
                    }
                    None => reply(404, format!("{{\"epoch\":{}}}", inner.epoch)),
                }
            }
            _ => reply(400, "{\"error\":\"malformed\"}".into()),
        }
    }
}

impl Inner {
    fn record(&mut self, key: &str, value: Option<String>) {
        self.log.push(Change { key: key.to_owned(), value, stamp: self.epoch });
        if self.log.len() > 20_000 {
            self.log.drain(..10_000);
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(entry) = self.keys.remove(key) {
            if let Some(lease) = self.leases.get_mut(&entry.lease) {
                lease.keys.remove(key);
            }
            self.record(key, None);
        }
    }

    fn end_lease(&mut self, id: u64) {
        let Some(lease) = self.leases.remove(&id) else { return };
        if !lease.keys.is_empty() {
            self.epoch += 1;
        }
        for key in lease.keys {
            self.delete(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> Answer {
        let conditions = body.get("when").items();
        let changes = body.get("then").items();
        if changes.len() > MAX_OPS || conditions.len() > 4 * MAX_OPS {
            return Answer::Reply(400, "{\"error\":\"too many\"}".into());
        }
        for change in changes {
            if change.get("data").to_string().len() > MAX_VALUE {
                return Answer::Reply(400, "{\"error\":\"value too long\"}".into());
            }
            let lease = change.get("tenancy").integer();
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return Answer::Reply(400, "{\"error\":\"no such lease\"}".into());
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<String> = conditions
            .iter()
            .filter(|c| stamp(c.get("path").text()) != c.get("stamp").integer().unwrap_or(0))
            .map(|c| quote(c.get("path").text()))
            .collect();
        if !failed.is_empty() {
            let epoch = self.epoch;
            let text = format!("{{\"failed\":[{}],\"epoch\":{epoch}}}", failed.join(","));
            return Answer::Reply(409, text);
        }
        if !changes.is_empty() {
            self.epoch += 1;
        }
        for change in changes {
            let put = change.get("put").text();
            if put.is_empty() {
                self.delete(change.get("delete").text());
                continue;
            }
            let lease = change.get("tenancy").integer().unwrap_or(0);
            let value = change.get("data").to_string();
            let entry = Entry { value: value.clone(), stamp: self.epoch, lease };
            if let Some(old) = self.keys.insert(put.to_owned(), entry)
                && let Some(old) = self.leases.get_mut(&old.lease)
            {
                old.keys.remove(put);
            }
            if let Some(lease) = self.leases.get_mut(&lease) {
                lease.keys.insert(put.to_owned());
            }
            self.record(put, Some(value));
        }
        Answer::Reply(200, format!("{{\"epoch\":{}}}", self.epoch))
    }
}
