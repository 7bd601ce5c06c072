//! The state service: keys, transactions, leases and watches, with one address for each controller, so that it can
//! refuse or lose the requests of one controller alone.

use crate::http::{Answer, parameter, serve, unescape};
use crate::json::{Json, map, n, s};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Serve,
    /// 503 to everything; open watches wait, as in an outage.
    Refuse,
    /// This share of the transactions is carried out at once and gets no answer.
    Lose(f64),
    /// This share of the transactions gets no answer and is carried out 2 to 12 s later.
    Late(f64),
}

#[derive(Clone)]
struct Entry {
    data: Json,
    stamp: u64,
    tenancy: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    epoch: u64,
    log: VecDeque<(u64, String, Option<Json>)>,
    modes: Vec<(Mode, Duration)>,
    value_limit: usize,
    txn_ops: usize,
    outage_ended: bool,
    seed: u64,
}

impl Store {
    /// A number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.seed >> 33) as f64 / (1u64 << 31) as f64
    }
}

pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
}

impl Store {
    fn change(&mut self, key: &str, data: Option<(Json, u64)>) {
        match data {
            Some((data, tenancy)) => {
                self.log.push_back((self.epoch, key.to_owned(), Some(data.clone())));
                self.keys.insert(key.to_owned(), Entry { data, stamp: self.epoch, tenancy });
            }
            None => {
                if self.keys.remove(key).is_some() {
                    self.log.push_back((self.epoch, key.to_owned(), None));
                }
            }
        }
        while self.log.len() > 10_000 {
            self.log.pop_front();
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.keys.iter().filter(|(_, e)| e.tenancy == lease).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
            for key in keys {
                self.change(&key, None);
            }
        }
    }

    /// In an outage no lease ends; afterwards all have their full time again.
    fn expire(&mut self) {
        let now = Instant::now();
        if !self.modes.is_empty() && self.modes.iter().all(|(mode, _)| *mode == Mode::Refuse) {
            self.outage_ended = true;
            return;
        }
        if std::mem::take(&mut self.outage_ended) {
            for lease in self.leases.values_mut() {
                lease.ends = now + lease.ttl;
            }
        }
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn multi(&mut self, body: &Json) -> Answer {
        let (when, then) = (body.get("when").list(), body.get("then").list());
        if then.len() > self.txn_ops || when.len() > 4 * self.txn_ops {
            return reply(400, map(vec![("error", s("too many"))]));
        }
        for change in then {
            if change.get("put").str() != "" && change.get("data").text().len() > self.value_limit {
                return reply(400, map(vec![("error", s("value too large"))]));
            }
            let lease = change.get("tenancy").u64();
            if lease > 0 && !self.leases.contains_key(&lease) {
                return reply(400, map(vec![("error", s("no such lease"))]));
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |e| e.stamp);
        let failed: Vec<Json> = when
            .iter()
            .filter(|c| stamp(c.get("path").str()) != c.get("stamp").u64())
            .map(|c| c.get("path").clone())
            .collect();
        if !failed.is_empty() {
            return reply(409, map(vec![("failed", Json::List(failed)), ("epoch", n(self.epoch))]));
        }
        if !then.is_empty() {
            self.epoch += 1;
        }
        for change in then {
            match change.get("put").str() {
                "" => self.change(change.get("delete").str(), None),
                key => self.change(key, Some((change.get("data").clone(), change.get("tenancy").u64()))),
            }
        }
        reply(200, map(vec![("epoch", n(self.epoch))]))
    }
}

fn reply(status: u16, body: Json) -> Answer {
    Answer::Reply(status, body.text())
}

fn row(key: &str, entry: &Entry) -> Json {
    let mut fields = vec![("path", s(key)), ("data", entry.data.clone()), ("stamp", n(entry.stamp))];
    if entry.tenancy > 0 {
        fields.push(("tenancy", n(entry.tenancy)));
    }
    map(fields)
}

impl State {
    pub fn new(nodes: usize, value_kb: f64, txn_ops: usize) -> Arc<Self> {
        let store = Store {
            modes: vec![(Mode::Serve, Duration::from_millis(2)); nodes],
            value_limit: (value_kb * 1024.0) as usize,
            txn_ops,
            ..Store::default()
        };
        Arc::new(Self { store: Mutex::new(store), changed: Condvar::new() })
    }

    pub fn address_for(self: &Arc<Self>, node: usize) -> std::io::Result<SocketAddr> {
        let state = self.clone();
        serve(Arc::new(move |method, path, body| state.handle(node, method, path, body)))
    }

    pub fn set_mode(&self, node: usize, mode: Mode) {
        let mut store = self.store.lock().unwrap();
        store.expire();
        store.modes[node].0 = mode;
        store.expire();
        self.changed.notify_all();
    }

    /// The name of the member that holds the leader key, as the service shows it to any client.
    pub fn key(&self, key: &str) -> Option<Json> {
        let mut store = self.store.lock().unwrap();
        store.expire();
        store.keys.get(key).map(|e| e.data.clone())
    }

    pub fn keys_with(&self, prefix: &str) -> Vec<String> {
        let store = self.store.lock().unwrap();
        store.keys.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn handle(self: &Arc<Self>, node: usize, method: &str, path: &str, body: &str) -> Answer {
        let (mode, latency) = self.store.lock().unwrap().modes[node];
        std::thread::sleep(latency);
        if let (Mode::Lose(share) | Mode::Late(share), "/multi") = (mode, path) {
            let (dice, delay) = {
                let mut store = self.store.lock().unwrap();
                (store.random(), 2.0 + 10.0 * store.random())
            };
            if dice < share {
                let (state, body) = (self.clone(), body.to_owned());
                let wait = if matches!(mode, Mode::Late(_)) { delay } else { 0.0 };
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(wait));
                    state.carry_out("POST", "/multi", &body);
                });
                std::thread::sleep(Duration::from_secs(3));
                return Answer::Drop;
            }
        }
        if path.starts_with("/follow") {
            return self.follow(node, path);
        }
        if mode == Mode::Refuse {
            return reply(503, map(vec![("error", s("trouble"))]));
        }
        self.carry_out(method, path, body)
    }

    fn carry_out(&self, method: &str, path: &str, body: &str) -> Answer {
        let mut store = self.store.lock().unwrap();
        store.expire();
        let parsed = Json::parse(if body.is_empty() { "{}" } else { body }).unwrap_or(Json::Null);
        let answer = if method == "POST" && path == "/multi" {
            store.multi(&parsed)
        } else if method == "POST" && path == "/grants" {
            store.last_lease += 1;
            let (id, ttl) = (store.last_lease, Duration::from_millis(parsed.get("ttlMs").u64()));
            store.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
            reply(200, map(vec![("tenancy", n(id))]))
        } else if let Some(rest) = path.strip_prefix("/grants/") {
            let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
            match store.leases.get_mut(&id) {
                None => reply(404, map(vec![("error", s("no such lease"))])),
                Some(lease) if method == "POST" => {
                    lease.ends = Instant::now() + lease.ttl;
                    reply(200, map(vec![("tenancy", n(id))]))
                }
                Some(_) => {
                    store.end_lease(id);
                    reply(200, map(vec![]))
                }
            }
        } else if let Some(key) = path.strip_prefix("/keys/") {
            match store.keys.get(&unescape(key)) {
                Some(entry) => reply(200, row(&unescape(key), entry)),
                None => reply(404, map(vec![("epoch", n(store.epoch))])),
            }
        } else if path.starts_with("/keys") {
            let prefix = parameter(path, "prefix").unwrap_or_default();
            let after = parameter(path, "after").unwrap_or_default();
            let most = parameter(path, "most").and_then(|m| m.parse().ok()).unwrap_or(1_000).min(1_000);
            let mut rows: Vec<Json> = store
                .keys
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after))
                .take(most + 1)
                .map(|(k, e)| row(k, e))
                .collect();
            let more = rows.len() > most;
            rows.truncate(most);
            reply(200, map(vec![("rows", Json::List(rows)), ("more", Json::Bool(more)), ("epoch", n(store.epoch))]))
        } else {
            reply(404, map(vec![]))
        };
        drop(store);
        self.changed.notify_all();
        answer
    }

    fn follow(&self, node: usize, path: &str) -> Answer {
        let prefix = parameter(path, "prefix").unwrap_or_default();
        let after: u64 = parameter(path, "after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let hold: u64 = parameter(path, "holdMs").and_then(|a| a.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold);
        let mut store = self.store.lock().unwrap();
        loop {
            store.expire();
            if store.modes[node].0 != Mode::Refuse {
                if store.log.front().is_some_and(|(stamp, _, _)| store.log.len() >= 10_000 && *stamp > after + 1) {
                    return reply(410, map(vec![]));
                }
                let log: Vec<Json> = store
                    .log
                    .iter()
                    .filter(|(stamp, key, _)| *stamp > after && key.starts_with(&prefix))
                    .map(|(stamp, key, data)| match data {
                        Some(data) => map(vec![("put", s(key)), ("data", data.clone()), ("stamp", n(stamp))]),
                        None => map(vec![("delete", s(key)), ("stamp", n(stamp))]),
                    })
                    .collect();
                if !log.is_empty() || Instant::now() >= until {
                    return reply(200, map(vec![("epoch", n(store.epoch)), ("log", Json::List(log))]));
                }
            } else if Instant::now() >= until + Duration::from_secs(60) {
                return Answer::Drop;
            }
            store = self.changed.wait_timeout(store, Duration::from_millis(20)).unwrap().0;
        }
    }
}
