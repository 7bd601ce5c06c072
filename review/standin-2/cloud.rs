//! The cloud with its machines, and a worker on each of them.

use crate::http::{Answer, call, parameter, serve};
use crate::json::{Json, f, map, n, s};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type, and how many machines of it each zone has.
#[derive(Clone)]
pub struct Flavor {
    pub label: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub boot: Duration,
    pub zones: Vec<(&'static str, usize)>,
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report: f64,
    pub lease: f64,
    pub gang_wait: f64,
    pub gang_peer: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    Pulling,
    Gathering,
    Running,
    Saving,
    Ended(&'static str),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub job: String,
    pub index: u64,
    pub attempt: u64,
    pub phase: Phase,
    since: Instant,
    stored: bool,
    /// It started while its machine was sick.
    doomed: bool,
}

#[derive(Default)]
pub struct Faults {
    /// Every task that starts on it fails.
    pub sick: bool,
    /// It reaches no controller; direct commands do not reach it either.
    pub cut: bool,
    /// Until then it stands still.
    pub hung_until: Option<Instant>,
    /// It has stopped with all that was on it; the cloud still lists it as running.
    pub dead: bool,
}

pub struct Machine {
    pub id: String,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub address: Option<SocketAddr>,
    rented: Instant,
    up_at: Instant,
    up: bool,
    gone: bool,
    shift: u64,
    tally: u64,
    pub baton: u64,
    pub tasks: Vec<Task>,
    /// Images that it has, and how fast it fetches others beside the catalogue's rate.
    images: Vec<String>,
    pub fetch_factor: f64,
    lease_from: Instant,
    changed: bool,
    pub faults: Faults,
}

pub struct Inner {
    pub machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, (u16, String)>,
    next: u64,
    pub specs: BTreeMap<String, Json>,
    pub done: BTreeMap<(String, u64), ()>,
    pub refused_hires: u64,
    pub starts: Vec<(String, u64, u64, String)>,
    /// How fast a machine fetches images beside the catalogue's rate ("give or take a third"), if nothing is said of it.
    pub fetch_factor: f64,
    pub down: bool,
    /// When a user was told that the job is cancelled.
    pub cancelled: BTreeMap<String, Instant>,
    pub violations: Vec<String>,
    pub team_cpus: BTreeMap<String, f64>,
    pub cancel_s: f64,
}

pub struct Cloud {
    pub inner: Mutex<Inner>,
    flavors: Vec<Flavor>,
    times: Times,
    fetch_gb_per_s: f64,
    controllers: Mutex<Vec<(String, SocketAddr)>>,
    log: Arc<dyn Fn(String) + Send + Sync>,
}

fn reply(status: u16, body: Json) -> Answer {
    Answer::Reply(status, body.text())
}

impl Machine {
    fn state(&mut self) -> Json {
        self.tally += 1;
        let task = |t: &Task| {
            let (status, cause) = match &t.phase {
                Phase::Pulling => ("pulling", None),
                Phase::Gathering => ("gathering", None),
                Phase::Running => ("running", None),
                Phase::Saving => ("saving", None),
                Phase::Ended(cause) => ("ended", Some(*cause)),
            };
            let mut fields =
                vec![("shard", s(&format!("{}/{}", t.job, t.index))), ("try", n(t.attempt)), ("status", s(status))];
            if let Some(cause) = cause {
                fields.push(("cause", s(cause)));
            }
            if t.stored {
                fields.push(("stored", Json::Bool(true)));
            }
            map(fields)
        };
        map(vec![
            ("host", s(&self.id)),
            ("addr", s(&self.address.map(|a| a.to_string()).unwrap_or_default())),
            ("flavor", s(&self.flavor)),
            ("yard", s(&self.zone)),
            ("loaners", Json::Bool(self.spot)),
            ("shift", n(self.shift)),
            ("tally", n(self.tally)),
            ("baton", n(self.baton)),
            ("warningS", Json::Null),
            ("shards", Json::List(self.tasks.iter().map(task).collect())),
        ])
    }

    fn hung(&self) -> bool {
        self.faults.hung_until.is_some_and(|until| Instant::now() < until)
    }
}

impl Cloud {
    pub fn new(flavors: Vec<Flavor>, times: Times, fetch_gb_per_s: f64, fetch_factor: f64, log: Arc<dyn Fn(String) + Send + Sync>) -> Arc<Self> {
        let inner = Inner {
            machines: BTreeMap::new(),
            hires: BTreeMap::new(),
            next: 0,
            specs: BTreeMap::new(),
            done: BTreeMap::new(),
            refused_hires: 0,
            starts: Vec::new(),
            fetch_factor,
            down: false,
            cancelled: BTreeMap::new(),
            violations: Vec::new(),
            team_cpus: BTreeMap::new(),
            cancel_s: 1e9,
        };
        Arc::new(Self { inner: Mutex::new(inner), flavors, times, fetch_gb_per_s, controllers: Mutex::new(Vec::new()), log })
    }

    pub fn set_controllers(&self, controllers: Vec<(String, SocketAddr)>) {
        *self.controllers.lock().unwrap() = controllers;
    }

    pub fn address(self: &Arc<Self>) -> std::io::Result<SocketAddr> {
        let cloud = self.clone();
        serve(Arc::new(move |method, path, body| {
            std::thread::sleep(Duration::from_millis(20));
            cloud.handle(method, path, body)
        }))
    }

    fn handle(self: &Arc<Self>, method: &str, path: &str, body: &str) -> Answer {
        if self.inner.lock().unwrap().down {
            return reply(503, map(vec![("error", s("trouble"))]));
        }
        let body = Json::parse(if body.is_empty() { "{}" } else { body }).unwrap_or(Json::Null);
        match (method, path.split('?').next().unwrap_or("")) {
            ("GET", "/catalog") => {
                let flavor = |v: &Flavor| {
                    map(vec![
                        ("label", s(v.label)),
                        ("cpus", f(v.cpus)),
                        ("gpus", f(v.gpus)),
                        ("memoryGb", f(v.memory_gb)),
                        ("localGb", f(60.0)),
                        ("fetchGbPerS", f(self.fetch_gb_per_s)),
                        ("rate", f(v.price)),
                        ("spotPrice", f(v.price / 2.0)),
                        ("readyS", f(v.boot.as_secs_f64())),
                        ("yards", Json::List(v.zones.iter().map(|(z, _)| s(z)).collect())),
                    ])
                };
                reply(200, map(vec![("flavors", Json::List(self.flavors.iter().map(flavor).collect()))]))
            }
            ("GET", "/machines") => {
                let inner = self.inner.lock().unwrap();
                let after = parameter(path, "after").unwrap_or_default();
                let most: usize = parameter(path, "most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
                let row = |m: &Machine| {
                    map(vec![
                        ("nameId", s(&m.id)),
                        ("addr", s(&m.address.map(|a| a.to_string()).unwrap_or_default())),
                        ("flavor", s(&m.flavor)),
                        ("yard", s(&m.zone)),
                        ("loaners", Json::Bool(m.spot)),
                        ("status", s(if m.up { "running" } else { "starting" })),
                        ("ageS", f(m.rented.elapsed().as_secs_f64())),
                    ])
                };
                let mut rows: Vec<Json> =
                    inner.machines.values().filter(|m| m.id > after).take(most + 1).map(row).collect();
                let more = rows.len() > most;
                rows.truncate(most);
                reply(200, map(vec![("hosts", Json::List(rows)), ("more", Json::Bool(more))]))
            }
            ("POST", "/machines") => self.hire(&body),
            ("POST", "/machines/release") => {
                let mut inner = self.inner.lock().unwrap();
                for host in body.get("hosts").list() {
                    if let Some(machine) = inner.machines.remove(host.str()) {
                        (self.log)(format!("cloud: {} deleted", machine.id));
                    }
                }
                reply(200, map(vec![]))
            }
            _ => reply(400, map(vec![])),
        }
    }

    fn hire(self: &Arc<Self>, body: &Json) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        let name = body.get("hire").str().to_owned();
        if let Some((status, text)) = inner.hires.get(&name) {
            return Answer::Reply(*status, text.clone());
        }
        let (flavor, zone, spot) = (body.get("flavor").str(), body.get("yard").str(), body.get("loaners").bool());
        let kind = self.flavors.iter().find(|v| v.label == flavor);
        let capacity = kind.and_then(|k| k.zones.iter().find(|(z, _)| *z == zone)).map_or(0, |(_, c)| *c);
        // No cheap machines in these cases: a request for one is refused as "no capacity".
        let rented = inner.machines.values().filter(|m| m.flavor == flavor && m.zone == zone).count();
        let number = if spot { 0 } else { (body.get("number").u64() as usize).min(capacity.saturating_sub(rented)) };
        if number == 0 {
            inner.refused_hires += 1;
            return reply(503, map(vec![("error", s("no capacity"))]));
        }
        let boot = kind.map_or(Duration::ZERO, |k| k.boot);
        let mut hosts = Vec::new();
        for _ in 0..number {
            inner.next += 1;
            let id = format!("i-{:06}", inner.next);
            hosts.push(s(&id));
            let now = Instant::now();
            let machine = Machine {
                id: id.clone(),
                flavor: flavor.to_owned(),
                zone: zone.to_owned(),
                spot,
                address: None,
                rented: now,
                up_at: now + boot,
                up: false,
                gone: false,
                shift: 1,
                tally: 0,
                baton: 0,
                tasks: Vec::new(),
                images: Vec::new(),
                fetch_factor: inner.fetch_factor,
                lease_from: now + boot,
                changed: false,
                faults: Faults::default(),
            };
            inner.machines.insert(id.clone(), machine);
            (self.log)(format!("cloud: {id} rented by {name}, {flavor} in {zone}"));
            let cloud = self.clone();
            let host = id.clone();
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || cloud.work(&host));
        }
        let text = map(vec![("hosts", Json::List(hosts))]).text();
        inner.hires.insert(name, (200, text.clone()));
        Answer::Reply(200, text)
    }

    /// The life of a worker: its tasks, its lease and its reports.
    fn work(self: &Arc<Self>, host: &str) {
        let up_at = self.inner.lock().unwrap().machines.get(host).map(|m| m.up_at);
        let Some(up_at) = up_at else { return };
        std::thread::sleep(up_at.saturating_duration_since(Instant::now()));
        let (cloud, id) = (self.clone(), host.to_owned());
        let Ok(address) = serve(Arc::new(move |method, path, body| cloud.direct(&id, method, path, body))) else {
            return;
        };
        {
            let mut inner = self.inner.lock().unwrap();
            let Some(m) = inner.machines.get_mut(host) else { return };
            (m.up, m.address, m.lease_from) = (true, Some(address), Instant::now());
        }
        let mut node = 0usize;
        let (mut next_report, mut last_report) = (Instant::now(), Instant::now() - Duration::from_secs(5));
        let mut seed = host.bytes().fold(1469598103u64, |h, b| (h ^ u64::from(b)).wrapping_mul(1099511628211));
        loop {
            std::thread::sleep(Duration::from_millis(25));
            let report = {
                let mut inner = self.inner.lock().unwrap();
                let Some(m) = inner.machines.get(host) else { return };
                if m.faults.dead {
                    if let Some(m) = inner.machines.get_mut(host) {
                        m.tasks.clear();
                    }
                    return;
                }
                if m.hung() {
                    continue;
                }
                self.step(&mut inner, host);
                let Some(m) = inner.machines.get_mut(host) else { return };
                let now = Instant::now();
                let changed = m.changed && now.duration_since(last_report) >= Duration::from_millis(500);
                if !(now >= next_report || changed) {
                    continue;
                }
                m.changed = false;
                (!m.faults.cut).then(|| (m.state().text(), m.shift))
            };
            let sent = Instant::now();
            last_report = sent;
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let spread = 0.75 + 0.5 * ((seed >> 33) as f64 / (1u64 << 31) as f64);
            next_report = sent + Duration::from_secs_f64(self.times.report * spread);
            let controllers = self.controllers.lock().unwrap().clone();
            let answer = report.as_ref().and_then(|(text, _)| {
                let address = controllers.get(node)?.1;
                call(address, "POST", "/v1/report", text, Duration::from_secs(4))
            });
            // A machine that stood still meanwhile goes on with this afterwards.
            while self.inner.lock().unwrap().machines.get(host).is_some_and(Machine::hung) {
                std::thread::sleep(Duration::from_millis(25));
            }
            match answer {
                Some((200, body)) if sent.elapsed() < Duration::from_secs(4) => {
                    let body = Json::parse(&body).unwrap_or(Json::Null);
                    let mut inner = self.inner.lock().unwrap();
                    self.step(&mut inner, host);
                    let Some(m) = inner.machines.get_mut(host) else { return };
                    let same_shift = report.as_ref().is_some_and(|(_, shift)| *shift == m.shift);
                    let baton = body.get("baton");
                    if !same_shift || baton.is_null() || baton.u64() < m.baton || m.faults.cut {
                        continue;
                    }
                    if baton.u64() > m.baton {
                        m.changed = true;
                    }
                    m.baton = baton.u64();
                    m.lease_from = m.lease_from.max(sent);
                    self.execute(&mut inner, host, body.get("orders").list());
                }
                Some((421, body)) => {
                    let body = Json::parse(&body).unwrap_or(Json::Null);
                    let named = controllers.iter().position(|(name, _)| name == body.get("foreman").str());
                    match named.filter(|named| *named != node) {
                        Some(named) => {
                            node = named;
                            next_report = Instant::now() + Duration::from_millis(200);
                        }
                        None => {
                            node = (node + 1) % controllers.len().max(1);
                            next_report = Instant::now() + Duration::from_secs(1);
                        }
                    }
                }
                _ => {
                    node = (node + 1) % controllers.len().max(1);
                    next_report = Instant::now() + Duration::from_secs(1);
                }
            }
        }
    }

    /// Ends the lease if it has run out, and lets the tasks go on.
    fn step(&self, inner: &mut Inner, host: &str) {
        let now = Instant::now();
        let mut active: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for m in inner.machines.values() {
            for t in m.tasks.iter().filter(|t| matches!(t.phase, Phase::Gathering | Phase::Running | Phase::Saving)) {
                *active.entry((t.job.clone(), t.attempt)).or_default() += 1;
            }
        }
        let specs = inner.specs.clone();
        let mut done = inner.done.clone();
        let mut on_machines: Vec<(String, String, u64)> = Vec::new();
        for m in inner.machines.values() {
            if now.duration_since(m.lease_from).as_secs_f64() <= self.times.lease {
                for t in m.tasks.iter().filter(|t| !matches!(t.phase, Phase::Pulling | Phase::Ended(_))) {
                    on_machines.push((m.id.clone(), t.job.clone(), t.index));
                }
            }
        }
        let mut violations = Vec::new();
        let team_cpus = inner.team_cpus.clone();
        for (id, job, index) in &on_machines {
            if id == host && inner.cancelled.get(job).is_some_and(|at| now.duration_since(*at).as_secs_f64() > inner.cancel_s) {
                violations.push(format!("ran_cancelled: {job}/{index} on {id}"));
            }
        }
        let zones: BTreeMap<String, String> = inner.machines.values().map(|m| (m.id.clone(), m.zone.clone())).collect();
        let Some(m) = inner.machines.get_mut(host) else { return };
        if m.gone {
            return;
        }
        if now.duration_since(m.lease_from).as_secs_f64() > self.times.lease {
            if !m.tasks.is_empty() {
                (self.log)(format!("{host}: lease over, {} tasks killed", m.tasks.len()));
            }
            m.tasks.clear();
            m.shift += 1;
            m.tally = 0;
            m.lease_from = now;
            m.changed = true;
        }
        let sick = m.faults.sick;
        // A machine fetches an image once for all tasks that need it, and gives the fetch up when no task waits for it.
        let image = |t: &Task| specs.get(&t.job).map(|spec| (spec.get("bundle").str().to_owned(), spec.get("pullGb").f64()));
        let pulling: Vec<(String, f64, Instant)> = m
            .tasks
            .iter()
            .filter(|t| t.phase == Phase::Pulling)
            .filter_map(|t| image(t).map(|(name, gb)| (name, gb, t.since)))
            .collect();
        for (name, gb, since) in pulling {
            if !m.images.contains(&name) && now.duration_since(since).as_secs_f64() >= gb / (self.fetch_gb_per_s * m.fetch_factor) {
                m.images.push(name);
            }
        }
        let images = m.images.clone();
        for t in &mut m.tasks {
            let Some(spec) = specs.get(&t.job) else { continue };
            let gang = spec.get("shape").str() == "group";
            let age = now.duration_since(t.since).as_secs_f64();
            let together = active.get(&(t.job.clone(), t.attempt)).copied().unwrap_or(0);
            let gang_done = gang && done.contains_key(&(t.job.clone(), 0));
            let next = match t.phase {
                Phase::Pulling if images.iter().any(|name| name == spec.get("bundle").str()) => {
                    (self.log)(format!("{host}: {}/{} try {} starts", t.job, t.index, t.attempt));
                    t.doomed = sick;
                    if let Some(other) = on_machines.iter().find(|(id, j, i)| id != host && *j == t.job && *i == t.index) {
                        violations.push(format!("ran_twice: {}/{} starts on {host} while on {}", t.job, t.index, other.0));
                    }
                    let team = spec.get("owner").str().to_owned();
                    if let Some(max) = team_cpus.get(&team) {
                        let of_team = on_machines.iter().filter_map(|(_, j, _)| specs.get(j)).filter(|sp| sp.get("owner").str() == team);
                        let used: f64 = of_team.map(|sp| sp.get("cpus").f64()).sum::<f64>() + spec.get("cpus").f64();
                        if used > max + 1e-6 {
                            violations.push(format!("quota: {team} uses {used} of {max}"));
                        }
                    }
                    if spec.get("spread").bool() {
                        let here = on_machines.iter().filter(|(id, j, i)| *j == t.job && *i != t.index && zones.get(id).is_some_and(|z| *z == m.zone)).count() as u64;
                        if here + 1 > spec.get("shards").u64().div_ceil(2) {
                            violations.push(format!("wrong_place: {}/{} starts in {} beside {here} others", t.job, t.index, m.zone));
                        }
                    }
                    if spec.get("samePlace").bool() {
                        let _ = &zones;
                        if let Some((id, ..)) = on_machines.iter().find(|(id, j, _)| *j == t.job && zones.get(id).is_some_and(|z| *z != m.zone)) {
                            violations.push(format!("wrong_place: {}/{} starts in {} while the job is on {id}", t.job, t.index, m.zone));
                        }
                    }
                    inner.starts.push((t.job.clone(), t.index, t.attempt, host.to_owned()));
                    Some(if done.contains_key(&(t.job.clone(), t.index)) {
                        Phase::Ended("done")
                    } else if gang {
                        Phase::Gathering
                    } else {
                        Phase::Running
                    })
                }
                Phase::Gathering if together >= spec.get("shards").u64() => Some(Phase::Running),
                Phase::Gathering if age > self.times.gang_wait => Some(Phase::Ended("incomplete")),
                Phase::Running if t.doomed && age >= 0.3 => Some(Phase::Ended("error")),
                Phase::Running if gang_done => Some(Phase::Ended("done")),
                Phase::Running if gang && together < spec.get("shards").u64() && age > self.times.gang_peer => {
                    Some(Phase::Ended("peers"))
                }
                Phase::Running if spec.get("shape").str() != "standing" && age >= spec.get("expectS").f64() => {
                    done.insert((t.job.clone(), t.index), ());
                    if gang {
                        done.insert((t.job.clone(), 0), ());
                    }
                    Some(Phase::Ended("done"))
                }
                Phase::Saving if age >= spec.get("flushS").f64() => {
                    t.stored = true;
                    Some(Phase::Ended("halted"))
                }
                _ => None,
            };
            if let Some(next) = next {
                if let Phase::Ended(cause) = next {
                    (self.log)(format!("{host}: {}/{} try {} ends, {cause}", t.job, t.index, t.attempt));
                }
                (t.phase, t.since) = (next, now);
                m.changed = true;
            }
        }
        inner.done = done;
        for violation in violations {
            if !inner.violations.contains(&violation) {
                (self.log)(format!("RULE {violation}"));
                inner.violations.push(violation);
            }
        }
    }

    fn direct(&self, host: &str, method: &str, path: &str, body: &str) -> Answer {
        let cut = || self.inner.lock().unwrap().machines.get(host).is_none_or(|m| m.faults.cut || m.faults.dead);
        if cut() {
            std::thread::sleep(Duration::from_secs(2));
            return Answer::Drop;
        }
        while self.inner.lock().unwrap().machines.get(host).is_some_and(Machine::hung) {
            std::thread::sleep(Duration::from_millis(25));
        }
        let mut inner = self.inner.lock().unwrap();
        self.step(&mut inner, host);
        let Some(m) = inner.machines.get_mut(host) else { return Answer::Drop };
        if (method, path) == ("GET", "/show") {
            return reply(200, m.state());
        }
        let body = Json::parse(body).unwrap_or(Json::Null);
        if body.get("baton").is_null() || body.get("shift").is_null() {
            return reply(400, map(vec![]));
        }
        if body.get("baton").u64() < m.baton || body.get("shift").u64() != m.shift {
            return reply(409, m.state());
        }
        m.changed |= body.get("baton").u64() > m.baton;
        m.baton = body.get("baton").u64();
        self.execute(&mut inner, host, body.get("orders").list());
        let state = inner.machines.get_mut(host).map(Machine::state);
        state.map_or(Answer::Drop, |state| reply(200, state))
    }

    fn execute(&self, inner: &mut Inner, host: &str, orders: &[Json]) {
        let specs = inner.specs.clone();
        let flavors = &self.flavors;
        let Some(m) = inner.machines.get_mut(host) else { return };
        for order in orders {
            let Some((job, index)) = order.get("shard").str().rsplit_once('/') else { continue };
            let (index, attempt) = (index.parse::<u64>().unwrap_or(0), order.get("try").u64());
            let known = m.tasks.iter().position(|t| t.job == job && t.index == index && t.attempt == attempt);
            match order.get("verb").str() {
                "run" if known.is_none() => {
                    let active = |t: &&Task| !matches!(t.phase, Phase::Ended(_));
                    let capacity = flavors.iter().find(|v| v.label == m.flavor);
                    let sum = |field: &str| -> f64 {
                        m.tasks.iter().filter(active).filter_map(|t| specs.get(&t.job)).map(|sp| sp.get(field).f64()).sum()
                    };
                    let phase = match (specs.get(job), capacity) {
                        (Some(spec), Some(v)) => {
                            let fits = sum("cpus") + spec.get("cpus").f64() <= v.cpus + 1e-6
                                && sum("gpus") + spec.get("gpus").f64() <= v.gpus + 1e-6
                                && sum("memoryGb") + spec.get("memoryGb").f64() <= v.memory_gb + 1e-6;
                            if m.tasks.iter().filter(active).any(|t| t.job == job && t.index == index) {
                                Phase::Ended("busy")
                            } else if fits {
                                Phase::Pulling
                            } else {
                                Phase::Ended("no_room")
                            }
                        }
                        _ => Phase::Ended("no_such"),
                    };
                    let (job, since) = (job.to_owned(), Instant::now());
                    m.tasks.push(Task { job, index, attempt, phase, since, stored: false, doomed: false });
                    m.changed = true;
                }
                "stop" => {
                    if let Some(t) = known.map(|k| &mut m.tasks[k]) {
                        let spec = specs.get(&t.job).cloned().unwrap_or(Json::Null);
                        let grace = order.get("windDownS").f64();
                        let saves = spec.get("snapshotS").f64() > 0.0 && grace >= spec.get("flushS").f64();
                        let next = match t.phase {
                            Phase::Ended(_) => None,
                            Phase::Running if saves => Some(Phase::Saving),
                            Phase::Saving if grace > 0.0 => None,
                            _ => Some(Phase::Ended("halted")),
                        };
                        if let Some(next) = next {
                            if let Phase::Ended(cause) = next {
                                (self.log)(format!("{host}: {job}/{index} try {attempt} ends, {cause} (stopped)"));
                            }
                            (t.phase, t.since) = (next, Instant::now());
                            m.changed = true;
                        }
                    }
                }
                "forget" => {
                    if let Some(k) = known.filter(|k| matches!(m.tasks[*k].phase, Phase::Ended(_))) {
                        m.tasks.remove(k);
                    }
                }
                _ => {}
            }
        }
    }
}
