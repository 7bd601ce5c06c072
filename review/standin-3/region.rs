//! The cloud and its machines with their workers, as the protocol describes them: sound ones, that do only what they are
//! told. A worker's report is sent by a thread of its own; everything else happens under one lock.

use crate::http::{Answer, Request, call, serve};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub ready_s: f64,
}

#[derive(Clone, Copy)]
pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Phase {
    Pulling,
    Gathering,
    Running,
    Saving,
    Ended,
}

#[derive(Clone)]
struct Task {
    phase: Phase,
    since: Instant,
    until: Instant,
    cause: &'static str,
    stored: bool,
}

struct Machine {
    host: String,
    addr: String,
    kind: usize,
    zone: String,
    spot: bool,
    hired: Instant,
    up_at: Instant,
    session: u64,
    tally: u64,
    baton: u64,
    tasks: BTreeMap<(String, u64), Task>,
    lease_from: Instant,
    node: usize,
    last_report: Option<Instant>,
    next_report: Instant,
    changed: bool,
    /// Reports sent in this session, and the bytes of the longest.
    longest_report: usize,
    /// Reports answered with 413 since the last one that was accepted, and in all.
    too_long: usize,
    refused: usize,
}

struct Inner {
    machines: BTreeMap<String, Machine>,
    specs: BTreeMap<String, Json>,
    hires: BTreeMap<String, String>,
    next_host: u64,
    done: BTreeMap<String, Instant>,
    breaches: Vec<String>,
    /// Whether every task fails on every machine.
    cancelled: BTreeMap<String, Instant>,
    last_start: Instant,
    /// Jobs of which a task was on a machine.
    started: BTreeMap<String, usize>,
}

pub struct Region {
    pub limits: Mutex<BTreeMap<String, (f64, f64)>>,
    pub cancel_s: f64,
    inner: Mutex<Inner>,
    types: Vec<MachineType>,
    zones: Vec<&'static str>,
    /// Most machines of one type, zone and kind.
    capacity: usize,
    times: Times,
    nodes: Vec<(String, String)>,
    log: Arc<crate::Log>,
}

fn error(text: &str) -> String {
    format!("{{\"error\":{}}}", quote(text))
}

impl Region {
    pub fn new(
        types: Vec<MachineType>,
        zones: Vec<&'static str>,
        capacity: usize,
        times: Times,
        nodes: Vec<(String, String)>,
        log: Arc<crate::Log>,
        cancel_s: f64,
    ) -> Arc<Self> {
        let inner = Inner {
            machines: BTreeMap::new(),
            specs: BTreeMap::new(),
            hires: BTreeMap::new(),
            next_host: 1,
            done: BTreeMap::new(),
            breaches: Vec::new(),
            cancelled: BTreeMap::new(),
            last_start: Instant::now(),
            started: Default::default(),
        };
        let inner = Mutex::new(inner);
        let region = Arc::new(Self {
            limits: Mutex::new(BTreeMap::new()),
            cancel_s,
            inner,
            types,
            zones,
            capacity,
            times,
            nodes,
            log,
        });
        let stepping = region.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                stepping.step();
            }
        });
        region
    }

    /// The user uploads a job's description.
    pub fn upload(&self, spec: &Json) {
        let id = spec.get("nameId").text().to_owned();
        self.inner.lock().unwrap().specs.insert(id, spec.clone());
    }

    pub fn done_tasks(&self, job: &str) -> usize {
        let prefix = format!("{job}/");
        self.inner.lock().unwrap().done.keys().filter(|task| task.starts_with(&prefix)).count()
    }

    pub fn breaches(&self) -> Vec<String> {
        self.inner.lock().unwrap().breaches.clone()
    }

    pub fn running(&self) -> usize {
        let inner = self.inner.lock().unwrap();
        let tasks = inner.machines.values().flat_map(|m| m.tasks.values());
        tasks.filter(|task| !matches!(task.phase, Phase::Ended | Phase::Pulling)).count()
    }

    /// How many tasks of the job have room on the machines that are up, beside what is on them.
    pub fn room(&self, job: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        let need = |job: &str| {
            inner.specs.get(job).map_or((0.0, 0.0, 0.0), |spec| {
                let amount = |name: &str| spec.get(name).number();
                (amount("cpus"), amount("gpus"), amount("memoryGb"))
            })
        };
        let (cpus, gpus, memory) = need(job);
        let up = inner.machines.values().filter(|m| Instant::now() >= m.up_at);
        up.map(|m| {
            let kind = &self.types[m.kind];
            let (mut c, mut g, mut r) = (kind.cpus, kind.gpus, kind.memory_gb);
            for ((task, _), _) in m.tasks.iter().filter(|(_, t)| t.phase != Phase::Ended) {
                let used = need(task.split('/').next().unwrap_or_default());
                (c, g, r) = (c - used.0, g - used.1, r - used.2);
            }
            let fitting =
                |free: f64, each: f64| if each > 0.0 { (free / each + 1e-6).floor() } else { 1e9 };
            fitting(c, cpus).min(fitting(g, gpus)).min(fitting(r, memory)) as usize
        })
        .sum()
    }

    /// Reports that were refused for their length.
    pub fn refused_reports(&self) -> usize {
        self.inner.lock().unwrap().machines.values().map(|m| m.refused).sum()
    }

    /// Whether a task of the job was ever on a machine.
    pub fn has_started(&self, job: &str) -> bool {
        self.starts(job) > 0
    }

    /// How many tasks of a job have been started.
    pub fn starts(&self, job: &str) -> usize {
        self.inner.lock().unwrap().started.get(job).copied().unwrap_or(0)
    }

    /// When a task last began to be on a machine.
    pub fn last_start(&self) -> Instant {
        self.inner.lock().unwrap().last_start
    }

    pub fn machines(&self) -> usize {
        self.inner.lock().unwrap().machines.len()
    }

    pub fn longest_report(&self) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.machines.values().map(|m| m.longest_report).max().unwrap_or(0)
    }

    pub fn cloud_address(self: &Arc<Self>) -> SocketAddr {
        let region = self.clone();
        serve(move |request| region.cloud(request))
    }

    /// Machines that are up from the start.
    pub fn start_machines(self: &Arc<Self>, kind: usize, zone: &str, count: usize) {
        for _ in 0..count {
            self.add_machine(kind, zone, false, Duration::ZERO);
        }
    }

    fn add_machine(
        self: &Arc<Self>,
        kind: usize,
        zone: &str,
        spot: bool,
        boot: Duration,
    ) -> String {
        let (host, now) = {
            let mut inner = self.inner.lock().unwrap();
            let host = format!("i-{:06}", inner.next_host);
            inner.next_host += 1;
            (host, Instant::now())
        };
        let (region, name) = (self.clone(), host.clone());
        let addr = serve(move |request| region.direct(&name, request)).to_string();
        let up_at = now + boot;
        let machine = Machine {
            host: host.clone(),
            addr,
            kind,
            zone: zone.to_owned(),
            spot,
            hired: now,
            up_at,
            session: 1,
            tally: 0,
            baton: 0,
            tasks: BTreeMap::new(),
            lease_from: up_at,
            node: 0,
            last_report: None,
            next_report: up_at,
            changed: false,
            longest_report: 0,
            too_long: 0,
            refused: 0,
        };
        self.inner.lock().unwrap().machines.insert(host.clone(), machine);
        let (region, name) = (self.clone(), host.clone());
        std::thread::Builder::new()
            .stack_size(512 * 1024)
            .spawn(move || {
                std::thread::sleep(boot);
                region.report_loop(&name);
            })
            .expect("a thread");
        host
    }

    fn cloud(self: &Arc<Self>, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => {
                let yards: Vec<String> = self.zones.iter().map(|z| quote(z)).collect();
                let flavors: Vec<String> = self
                    .types
                    .iter()
                    .map(|t| {
                        format!(
                            "{{\"label\":{},\"cpus\":{:?},\"gpus\":{:?},\"memoryGb\":{:?},\"localGb\":50.0,\"fetchGbPerS\":1.0,\"rate\":0.8,\"spotPrice\":0.2,\"readyS\":{:?},\"yards\":[{}]}}",
                            quote(t.name), t.cpus, t.gpus, t.memory_gb, t.ready_s, yards.join(",")
                        )
                    })
                    .collect();
                Answer::Reply(200, format!("{{\"flavors\":[{}]}}", flavors.join(",")))
            }
            ("GET", "/machines") => {
                let after = request.parameter("after").unwrap_or_default();
                let most: usize =
                    request.parameter("most").and_then(|n| n.parse().ok()).unwrap_or(500).min(500);
                let inner = self.inner.lock().unwrap();
                let now = Instant::now();
                let rows: Vec<String> = inner
                    .machines
                    .values()
                    .filter(|m| m.host > after)
                    .take(most + 1)
                    .map(|m| {
                        let status = if now < m.up_at { "starting" } else { "running" };
                        format!(
                            "{{\"nameId\":{},\"addr\":{},\"flavor\":{},\"yard\":{},\"loaners\":{},\"status\":\"{status}\",\"ageS\":{:.1}}}",
                            quote(&m.host), quote(&m.addr), quote(self.types[m.kind].name), quote(&m.zone), m.spot,
                            (now - m.hired).as_secs_f64()
                        )
                    })
                    .collect();
                let more = rows.len() > most;
                let rows = &rows[..rows.len().min(most)];
                Answer::Reply(200, format!("{{\"hosts\":[{}],\"more\":{more}}}", rows.join(",")))
            }
            ("POST", "/machines") => {
                let Some(body) = Json::parse(&request.body) else {
                    return Answer::Reply(400, error("malformed"));
                };
                let name = body.get("hire").text().to_owned();
                if let Some(known) = self.inner.lock().unwrap().hires.get(&name) {
                    return Answer::Reply(200, known.clone());
                }
                let kind = self.types.iter().position(|t| t.name == body.get("flavor").text());
                let (zone, spot) = (body.get("yard").text(), body.get("loaners").is_true());
                let (Some(kind), true) = (kind, self.zones.contains(&zone)) else {
                    return Answer::Reply(400, error("malformed"));
                };
                let rented = {
                    let inner = self.inner.lock().unwrap();
                    let same = |m: &&Machine| m.kind == kind && m.zone == zone && m.spot == spot;
                    inner.machines.values().filter(same).count()
                };
                let wanted = body.get("number").integer().unwrap_or(0).min(50) as usize;
                let count = wanted.min(self.capacity.saturating_sub(rented));
                if count == 0 {
                    return Answer::Reply(503, error("no capacity"));
                }
                let boot = Duration::from_secs_f64(self.types[kind].ready_s);
                let hosts: Vec<String> =
                    (0..count).map(|_| quote(&self.add_machine(kind, zone, spot, boot))).collect();
                let answer = format!("{{\"hosts\":[{}]}}", hosts.join(","));
                self.log.write(&format!(
                    "cloud: rents {count} of {wanted} {} in {zone}",
                    self.types[kind].name
                ));
                self.inner.lock().unwrap().hires.insert(name, answer.clone());
                Answer::Reply(200, answer)
            }
            ("POST", "/machines/release") => {
                let Some(body) = Json::parse(&request.body) else {
                    return Answer::Reply(400, error("malformed"));
                };
                let mut inner = self.inner.lock().unwrap();
                for host in body.get("hosts").items() {
                    let Some(machine) = inner.machines.remove(host.text()) else { continue };
                    let lost = machine.tasks.values().filter(|t| t.phase != Phase::Ended).count();
                    let (host, refused) = (&machine.host, machine.too_long);
                    self.log.write(&format!("cloud: {host} is returned, {lost} tasks on it"));
                    if refused > 0 && lost > 0 {
                        inner.breaches.push(format!(
                            "work lost: {host} was returned with {lost} tasks, since {refused} reports in a row got 413"
                        ));
                    }
                }
                Answer::Reply(200, "{}".into())
            }
            _ => Answer::Reply(404, error("no such path")),
        }
    }

    /// A direct command, or a look at the report.
    fn direct(&self, host: &str, request: &Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        if !inner.machines.get(host).is_some_and(|m| Instant::now() >= m.up_at) {
            return Answer::Close;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/show") => Answer::Reply(200, self.report(&mut inner, host)),
            ("POST", "/do") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let (Some(baton), Some(session)) =
                    (body.get("baton").integer(), body.get("shift").integer())
                else {
                    return Answer::Reply(400, error("baton or shift is missing"));
                };
                let machine = inner.machines.get_mut(host).expect("a machine");
                if baton < machine.baton || session != machine.session {
                    return Answer::Reply(409, self.report(&mut inner, host));
                }
                machine.changed |= baton > machine.baton;
                machine.baton = baton;
                self.execute(&mut inner, host, body.get("orders").items());
                Answer::Reply(200, self.report(&mut inner, host))
            }
            _ => Answer::Reply(404, error("no such path")),
        }
    }

    fn report(&self, inner: &mut Inner, host: &str) -> String {
        let m = inner.machines.get_mut(host).expect("a machine");
        m.tally += 1;
        let tasks: Vec<String> = m
            .tasks
            .iter()
            .map(|((task, attempt), t)| {
                let status = match t.phase {
                    Phase::Pulling => "pulling",
                    Phase::Gathering => "gathering",
                    Phase::Running => "running",
                    Phase::Saving => "saving",
                    Phase::Ended => "ended",
                };
                let cause = match t.phase {
                    Phase::Ended => format!(",\"cause\":\"{}\"", t.cause),
                    _ => String::new(),
                };
                let stored = if t.stored { ",\"stored\":true" } else { "" };
                format!(
                    "{{\"shard\":{},\"try\":{attempt},\"status\":\"{status}\"{cause}{stored}}}",
                    quote(task)
                )
            })
            .collect();
        let text = format!(
            "{{\"host\":{},\"addr\":{},\"flavor\":{},\"yard\":{},\"loaners\":{},\"shift\":{},\"tally\":{},\"baton\":{},\"warningS\":null,\"shards\":[{}]}}",
            quote(&m.host),
            quote(&m.addr),
            quote(self.types[m.kind].name),
            quote(&m.zone),
            m.spot,
            m.session,
            m.tally,
            m.baton,
            tasks.join(",")
        );
        m.longest_report = m.longest_report.max(text.len());
        text
    }

    /// Kills what is on a machine and begins the next session, if its lease has run out.
    fn check_lease(&self, inner: &mut Inner, host: &str, now: Instant) {
        let lease = Duration::from_secs_f64(self.times.lease_s);
        let Some(m) = inner.machines.get_mut(host) else { return };
        if now >= m.up_at && now.saturating_duration_since(m.lease_from) > lease {
            let lost = m.tasks.values().filter(|t| t.phase != Phase::Ended).count();
            m.tasks.clear();
            let refused = std::mem::take(&mut m.too_long);
            m.session += 1;
            m.tally = 0;
            m.lease_from = now;
            m.changed = true;
            self.log.write(&format!("worker {host}: lease expired, {lost} tasks killed"));
            if refused > 0 && lost > 0 {
                inner.breaches.push(format!(
                    "work lost: {lost} tasks on {host} were killed, since {refused} reports in a row got 413"
                ));
            }
        }
    }

    fn step(&self) {
        let mut inner = self.inner.lock().unwrap();
        let now = Instant::now();
        let hosts: Vec<String> = inner.machines.keys().cloned().collect();
        let mut gathered: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for host in &hosts {
            self.check_lease(&mut inner, host, now);
            for ((task, attempt), t) in &inner.machines[host].tasks {
                if matches!(t.phase, Phase::Gathering | Phase::Running | Phase::Saving) {
                    let job = task.split('/').next().unwrap_or_default().to_owned();
                    *gathered.entry((job, *attempt)).or_default() += 1;
                }
            }
        }
        for host in &hosts {
            let keys: Vec<(String, u64)> = inner.machines[host].tasks.keys().cloned().collect();
            for key in keys {
                let job = key.0.split('/').next().unwrap_or_default().to_owned();
                let Some(spec) = inner.specs.get(&job).cloned() else { continue };
                let task = inner.machines[host].tasks[&key].clone();
                let gang = spec.get("shape").text() == "group";
                let present = gathered.get(&(job.clone(), key.1)).copied().unwrap_or(0);
                let all = spec.get("shards").number() as usize;
                let mut next = task.clone();
                match task.phase {
                    Phase::Pulling if now >= task.until => {
                        for (other, m) in &inner.machines {
                            let twice = m.tasks.iter().any(|((t, _), at)| {
                                *t == key.0 && !matches!(at.phase, Phase::Ended | Phase::Pulling)
                            });
                            if twice {
                                let text = format!(
                                    "ran_twice: {} starts on {host} and is on {other}",
                                    key.0
                                );
                                inner.breaches.push(text);
                                break;
                            }
                        }
                        inner.last_start = now;
                        *inner.started.entry(job.clone()).or_default() += 1;
                        self.check_start(&mut inner, host, &key.0, &spec);
                        if inner.done.contains_key(&key.0) {
                            next = Task { phase: Phase::Ended, cause: "done", ..next };
                        } else if gang {
                            next = Task { phase: Phase::Gathering, since: now, ..next };
                        } else {
                            next = self.begin(&spec, next, now);
                        }
                    }
                    Phase::Gathering if present == all => next = self.begin(&spec, next, now),
                    Phase::Gathering
                        if (now - task.since).as_secs_f64() > self.times.gang_wait_s =>
                    {
                        next = Task { phase: Phase::Ended, cause: "incomplete", ..next };
                    }
                    Phase::Running
                        if now >= task.until && spec.get("shape").text() != "standing" =>
                    {
                        next = Task { phase: Phase::Ended, cause: "done", ..next };
                        let all: Vec<usize> = if gang { (0..all).collect() } else { Vec::new() };
                        for n in all {
                            let job = key.0.split('/').next().unwrap_or_default();
                            inner.done.entry(format!("{job}/{n}")).or_insert(now);
                        }
                        inner.done.entry(key.0.clone()).or_insert(now);
                    }
                    Phase::Running
                        if gang
                            && present < all
                            && !inner.done.contains_key(&key.0)
                            && (now - task.since).as_secs_f64() > self.times.gang_peer_s =>
                    {
                        next = Task { phase: Phase::Ended, cause: "peers", ..next };
                    }
                    Phase::Saving if now >= task.until => {
                        next = Task { phase: Phase::Ended, cause: "halted", stored: true, ..next };
                    }
                    _ => continue,
                }
                let text = match next.phase {
                    Phase::Gathering => "gathers with its gang".to_owned(),
                    Phase::Running => "runs".to_owned(),
                    _ => format!("has ended, {}", next.cause),
                };
                self.note(Some(&spec), &format!("worker {host}: {} try {} {text}", key.0, key.1));
                let m = inner.machines.get_mut(host).expect("a machine");
                m.changed = true;
                m.tasks.insert(key, next);
            }
        }
    }

    /// Checks the place of a task that starts, and its team's limit.
    fn check_start(&self, inner: &mut Inner, host: &str, task: &str, spec: &Json) {
        let job = task.split('/').next().unwrap_or_default();
        let m = &inner.machines[host];
        let mut wrong = Vec::new();
        let flavors = spec.get("flavors").items();
        if *spec.get("flavors") != Json::Null
            && flavors.iter().all(|f| f.text() != self.types[m.kind].name)
        {
            wrong.push("type");
        }
        if *spec.get("yard") != Json::Null && spec.get("yard").text() != m.zone {
            wrong.push("zone");
        }
        if m.spot && !spec.get("loaners").is_true() {
            wrong.push("kind");
        }
        let (mut here, mut elsewhere) = (1, 0);
        let team = spec.get("owner").text();
        let mut used = (spec.get("cpus").number(), spec.get("gpus").number());
        for other in inner.machines.values() {
            for ((name, _), at) in &other.tasks {
                if matches!(at.phase, Phase::Ended | Phase::Pulling) || name == task {
                    continue;
                }
                let other_job = name.split('/').next().unwrap_or_default();
                if other_job == job {
                    if other.zone == m.zone { here += 1 } else { elsewhere += 1 }
                }
                if let Some(spec) = inner.specs.get(other_job)
                    && spec.get("owner").text() == team
                {
                    used.0 += spec.get("cpus").number();
                    used.1 += spec.get("gpus").number();
                }
            }
        }
        if spec.get("samePlace").is_true() && elsewhere > 0 {
            wrong.push("not in one zone");
        }
        if spec.get("spread").is_true() && here > (spec.get("shards").number() as usize).div_ceil(2)
        {
            wrong.push("not spread");
        }
        if !wrong.is_empty() {
            inner.breaches.push(format!("wrong_place: {task} on {host}: {wrong:?}"));
        }
        if let Some((cpus, gpus)) = self.limits.lock().unwrap().get(team)
            && (*cpus > 0.0 && used.0 > cpus + 1e-6 || *gpus > 0.0 && used.1 > gpus + 1e-6)
        {
            inner.breaches.push(format!("quota: {team} uses {used:?} as {task} starts"));
        }
        if let Some(at) = inner.cancelled.get(job)
            && at.elapsed().as_secs_f64() > self.cancel_s
        {
            inner.breaches.push(format!("ran_cancelled: {task} starts"));
        }
    }

    pub fn cancelled(&self, job: &str) {
        self.inner.lock().unwrap().cancelled.entry(job.to_owned()).or_insert(Instant::now());
    }

    /// Records what happens to a task, unless its job has so many that the record would be unreadable.
    fn note(&self, spec: Option<&Json>, text: &str) {
        if spec.is_some_and(|spec| spec.get("shards").number() <= 100.0) {
            self.log.write(text);
        }
    }

    fn begin(&self, spec: &Json, task: Task, now: Instant) -> Task {
        let run_s = spec.get("expectS").number();
        let until = now + Duration::from_secs_f64(run_s.clamp(0.0, 100_000.0));
        Task { phase: Phase::Running, since: now, until, ..task }
    }

    fn execute(&self, inner: &mut Inner, host: &str, orders: &[Json]) {
        let now = Instant::now();
        for order in orders {
            let key =
                (order.get("shard").text().to_owned(), order.get("try").integer().unwrap_or(0));
            let spec = inner.specs.get(key.0.split('/').next().unwrap_or_default()).cloned();
            let kind = &self.types[inner.machines[host].kind];
            let need = |spec: &Json| {
                (
                    spec.get("cpus").number(),
                    spec.get("gpus").number(),
                    spec.get("memoryGb").number(),
                )
            };
            match order.get("verb").text() {
                "run" => {
                    let m = &inner.machines[host];
                    if m.tasks.contains_key(&key) {
                        continue;
                    }
                    let active = || m.tasks.iter().filter(|(_, t)| t.phase != Phase::Ended);
                    let mut used = (0.0, 0.0, 0.0);
                    for ((task, _), _) in active() {
                        let job = task.split('/').next().unwrap_or_default();
                        let (c, g, r) = inner.specs.get(job).map(need).unwrap_or_default();
                        used = (used.0 + c, used.1 + g, used.2 + r);
                    }
                    let refused = match &spec {
                        None => Some("no_such"),
                        Some(_) if active().any(|((task, _), _)| *task == key.0) => Some("busy"),
                        Some(spec) => {
                            let (c, g, r) = need(spec);
                            let fits = used.0 + c <= kind.cpus + 1e-6
                                && used.1 + g <= kind.gpus + 1e-6
                                && used.2 + r <= kind.memory_gb + 1e-6;
                            (!fits).then_some("no_room")
                        }
                    };
                    let task = Task {
                        phase: if refused.is_some() { Phase::Ended } else { Phase::Pulling },
                        since: now,
                        until: now + Duration::from_millis(200),
                        cause: refused.unwrap_or(""),
                        stored: false,
                    };
                    let answer = refused.unwrap_or("taken");
                    let text =
                        format!("worker {host}: is told to run {} try {}: {answer}", key.0, key.1);
                    self.note(spec.as_ref(), &text);
                    let m = inner.machines.get_mut(host).expect("a machine");
                    m.changed = true;
                    m.tasks.insert(key, task);
                }
                "stop" => {
                    self.note(spec.as_ref(), &format!("worker {host}: is told to stop {}", key.0));
                    let m = inner.machines.get_mut(host).expect("a machine");
                    if let Some(task) = m.tasks.get_mut(&key).filter(|t| t.phase != Phase::Ended) {
                        let grace = order.get("windDownS").number();
                        let save = spec.as_ref().map_or(0.0, |s| s.get("flushS").number());
                        let saves =
                            spec.as_ref().is_some_and(|s| s.get("snapshotS").number() > 0.0);
                        m.changed = true;
                        if task.phase == Phase::Running && saves && grace >= save {
                            task.phase = Phase::Saving;
                            task.until = now + Duration::from_secs_f64(save);
                        } else if task.phase != Phase::Saving || grace == 0.0 {
                            task.phase = Phase::Ended;
                            task.cause = "halted";
                        }
                    }
                }
                "forget" => {
                    let m = inner.machines.get_mut(host).expect("a machine");
                    if m.tasks.get(&key).is_some_and(|t| t.phase == Phase::Ended) {
                        m.tasks.remove(&key);
                        m.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends reports until the machine is gone.
    fn report_loop(&self, host: &str) {
        let mut spread = host.bytes().map(u64::from).sum::<u64>();
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let (body, node, session) = {
                let mut inner = self.inner.lock().unwrap();
                let Some(m) = inner.machines.get_mut(host) else { return };
                let waited = m.last_report.is_none_or(|at| now - at >= Duration::from_millis(500));
                if !(now >= m.next_report || m.changed && waited) || !waited {
                    continue;
                }
                spread = spread.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let factor = 0.75 + 0.5 * ((spread >> 33) as f64 / (1u64 << 31) as f64);
                m.changed = false;
                m.last_report = Some(now);
                m.next_report = now + Duration::from_secs_f64(self.times.report_s * factor);
                let (node, session) = (m.node, m.session);
                (self.report(&mut inner, host), node, session)
            };
            let address = &self.nodes[node % self.nodes.len()].1;
            let answer = call(address, "POST", "/v1/report", &body, Duration::from_secs(4));
            let mut inner = self.inner.lock().unwrap();
            let Some(m) = inner.machines.get_mut(host) else { return };
            let status = answer.as_ref().map(|(status, _)| *status);
            let reply = answer.and_then(|(_, body)| Json::parse(&body)).unwrap_or(Json::Null);
            match status {
                Some(200) => {
                    let baton = reply.get("baton").integer().unwrap_or(0);
                    if m.session != session || baton < m.baton || baton == 0 {
                        continue;
                    }
                    m.changed |= baton > m.baton;
                    m.baton = baton;
                    m.too_long = 0;
                    m.lease_from = now;
                    self.execute(&mut inner, host, reply.get("orders").items());
                }
                Some(421) => {
                    let named = reply.get("foreman").text();
                    let index = self.nodes.iter().position(|(name, _)| name == named);
                    match index.filter(|index| *index != node % self.nodes.len()) {
                        Some(index) => {
                            m.node = index;
                            m.next_report = Instant::now() + Duration::from_millis(200);
                        }
                        None => {
                            m.node += 1;
                            m.next_report = Instant::now() + Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    if other == Some(413) {
                        m.too_long += 1;
                        m.refused += 1;
                        self.log.write(&format!(
                            "worker {host}: a report of {} bytes got 413",
                            body.len()
                        ));
                    }
                    m.node += 1;
                    m.next_report = Instant::now() + Duration::from_secs(1);
                    m.changed = false;
                }
            }
        }
    }
}
