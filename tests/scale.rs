//! Cost of a placement pass on a fleet of many hundreds of machines, counted in machine checks
//! instead of time, and validity of the planned starts at that size.

use oatloom_core::cloud::MachineKind;
use oatloom_core::jobs::{Job, JobTable, LiveRecord, RunSent, TaskAssignment, TeamUsage};
use oatloom_core::placement::{self, PlacementInputs, PlacementPlan};
use oatloom_core::workers::{Fleet, Image, MachineState, Resources};
use oatloom_protocol::ids::{
    Attempt, HostId, JobId, Millis, Mono, Now, Revision, WorkerSession, Zone,
};
use oatloom_protocol::settings::Settings;
use oatloom_protocol::wire::{Catalog, Flavor, JobSpec, Rank, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const ZONES: [&str; 3] = ["a", "b", "c"];
const NOW: Mono = Mono(1_000_000_000);

fn settings() -> Settings {
    toml::from_str(
        r#"
member = "n-0"
location = "a"
serve_on = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
endpoints = { cloud = "127.0.0.1:1", state = "127.0.0.1:2" }
[facts]
zones = ["a", "b", "c"]
clock_off_ms = 100.0
teams = [{ name = "red" }]
objectives = [{ kind = "wait", class = "quick", within_s = 10.0 }]
workers = { report_s = 8.0, lease_s = 30.0, gang_wait_s = 40.0, gang_peer_s = 4.0, cancel_s = 50.0 }
state = { rps = 200.0, write_rps = 50.0, value_kb = 16.0, txn_ops = 20 }
cloud = { rps = 6.0, list_lag_s = 4.0 }
limits = { cpu_share = 0.3, memory_mb = 200.0, sockets = 2500 }
"#,
    )
    .expect("settings")
}

fn fleet(machines: usize) -> Fleet {
    let flavor = Flavor {
        label: "f".into(),
        cpus: 48.0,
        gpus: 4.0,
        memory_gb: 192.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 45.0,
        zones: ZONES.iter().map(|z| Zone::new(z)).collect(),
    };
    let mut fleet = Fleet { catalog: Some(Catalog { flavors: vec![flavor] }), ..Fleet::default() };
    for n in 0..machines {
        let (host, zone) = (HostId::new(&format!("i-{n:06}")), Zone::new(ZONES[n % 3]));
        let machine = fleet.get_or_add_machine(&host, "f", &zone, n % 2 == 0, NOW, NOW);
        machine.session = WorkerSession(1);
        machine.set_state(MachineState::Live, "test");
    }
    fleet
}

/// Jobs of every shape in a few common sizes.
fn random_jobs(jobs: usize, rng: &mut ChaCha8Rng) -> JobTable {
    let mut job_table = JobTable::default();
    for n in 0..jobs {
        let (shape, tasks, gpus, class) = match n % 4 {
            0 => (Shape::Service, [4, 8, 12][rng.random_range(0..3)], 1.0, "quick"),
            1 => (Shape::Array, rng.random_range(5..80), 1.0, "many"),
            2 => (Shape::Gang, [1, 2, 4][rng.random_range(0..3)], 2.0, "quick"),
            _ => (Shape::Gang, [1, 2, 4][rng.random_range(0..3)], 4.0, "whole"),
        };
        let spec = JobSpec {
            id: JobId::new(&format!("req-{n:06}")),
            class: class.into(),
            team: "red".into(),
            shape,
            rank: [Rank::Critical, Rank::Standard, Rank::Standard, Rank::High][n % 4],
            tasks,
            cpus: 10.0 * gpus,
            gpus,
            memory_gb: 36.0 * gpus,
            image: format!("img-{}", rng.random_range(0..12)),
            image_gb: 5.0,
            flavors: None,
            zone: None,
            one_zone: n % 8 == 2,
            spread: shape == Shape::Service,
            spot: shape != Shape::Service,
            estimate_s: 60.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        let now = Now { mono: NOW, wall_ms: 5_000 };
        job_table.insert(LiveRecord { spec, wall_ms: 1_000, part: None }, Revision(1), now);
    }
    job_table
}

fn run_pass(
    settings: &Settings,
    job_table: &mut JobTable,
    fleet: &Fleet,
    hire: bool,
) -> PlacementPlan {
    let paced: BTreeMap<JobId, u32> = job_table.jobs.keys().map(|id| (id.clone(), 1_000)).collect();
    let is_refused = |_: &MachineKind| !hire;
    placement::plan(PlacementInputs {
        now: NOW.plus(Millis(1_000)),
        settings,
        job_table,
        fleet,
        array_task_limits: &paced,
        pending_hires: Vec::new(),
        expected_jobs: &[],
        is_refused: &is_refused,
    })
}

/// Applies the starts of a plan as a leader does, and checks the constraints of each.
fn apply_starts(
    plan: &PlacementPlan,
    settings: &Settings,
    job_table: &mut JobTable,
    fleet: &mut Fleet,
) {
    let mut started: BTreeMap<&JobId, u32> = BTreeMap::new();
    for (n, (id, index, host)) in plan.starts.iter().enumerate() {
        *started.entry(id).or_default() += 1;
        let spec = job_table.get(id).expect("a known job").spec.clone();
        let need = Resources::from(&*spec);
        let machine = &fleet.machines[host];
        assert!(fleet.free_resources(machine).fits(&need), "{id}/{index} does not fit on {host}");
        let job = job_table.get(id).expect("a known job");
        assert!(placement::may_place(settings, job_table, job, machine), "{id}/{index} on {host}");
        let assignment = TaskAssignment {
            host: host.clone(),
            session: WorkerSession(1),
            zone: machine.zone.clone(),
            attempt: match spec.shape {
                Shape::Gang => Attempt(1),
                _ => Attempt(n as u64 + 2),
            },
            chunk_version: 0,
            run_sent: RunSent::No,
            phase: None,
            assigned_at: NOW,
            running_since: None,
            reported_run_ms: None,
            stop: None,
        };
        assert!(job_table.assign(id, *index, assignment), "{id}/{index} is placed twice");
        let machine = fleet.machines.get_mut(host).expect("a known machine");
        let task = oatloom_protocol::ids::TaskId::new(id, *index);
        machine.assign(task, need, &spec.image, spec.image_gb, 100.0);
    }
    for (id, count) in started {
        let spec = &job_table.get(id).expect("a known job").spec;
        assert!(spec.shape != Shape::Gang || count == spec.tasks, "{id} starts in part");
    }
}

/// The cost grows with jobs and machines, not with tasks, and a full fleet is not searched for every
/// job. Guards against a pass over 1,500 machines that took longer than its period and blocked the
/// leader.
#[test]
fn passes_over_a_large_fleet_need_a_bounded_number_of_checks() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let settings = settings();
    let (machines, jobs) = (1_200, 400);
    let mut fleet = fleet(machines);
    let mut job_table = random_jobs(jobs, &mut rng);
    let tasks: u32 = job_table.jobs.values().map(|j| j.spec.tasks).sum();
    assert!(tasks > 10 * jobs as u32);
    let mut total = 0;
    for round in 0..100 {
        let plan = run_pass(&settings, &mut job_table, &fleet, false);
        assert!(plan.steps < 2 * (machines * jobs) as u64, "round {round}: {}", plan.steps);
        total += plan.starts.len();
        apply_starts(&plan, &settings, &mut job_table, &mut fleet);
        if plan.starts.is_empty() {
            break;
        }
    }
    assert!(total > 3 * machines, "{total} tasks on {machines} machines");
    // Nothing more fits: after one job found no machine, similar jobs do not search again.
    let full = run_pass(&settings, &mut job_table, &fleet, false);
    assert!(full.starts.is_empty());
    assert!(full.steps < 130 * machines as u64, "{}", full.steps);
}

/// Guards against a pass that checks the whole fleet for each job that its team's limit keeps from starting: such jobs can wait
/// for minutes.
#[test]
fn a_pass_with_1000_jobs_at_their_limit_costs_no_more_than_without_a_limit() {
    let fleet = fleet(400);
    let free = settings();
    let mut limited = settings();
    limited.facts.teams[0].gpus_max = 500.0;
    let measure_cost = |settings: &Settings, used: f64| {
        let mut job_table = random_jobs(1_000, &mut ChaCha8Rng::seed_from_u64(3));
        job_table.usage.insert("red".into(), TeamUsage { cpus: 0.0, gpus: used });
        let from = std::time::Instant::now();
        let plan = run_pass(settings, &mut job_table, &fleet, true);
        (plan.steps, plan.starts.len(), from.elapsed())
    };
    let (unlimited, at_limit, near) =
        (measure_cost(&free, 0.0), measure_cost(&limited, 500.0), measure_cost(&limited, 497.0));
    println!(
        "checks, starts, time: {unlimited:?} without a limit, {at_limit:?} at the limit, {near:?} near it"
    );
    assert!(unlimited.1 > 100 && at_limit.1 == 0 && (1..=3).contains(&near.1));
    assert!(
        at_limit.0 <= unlimited.0 && near.0 <= unlimited.0,
        "{unlimited:?}, {at_limit:?}, {near:?}"
    );
}

/// Requesting hundreds of machines at once costs no more checks than placing on existing ones.
#[test]
fn requests_for_hundreds_of_machines_are_cheap() {
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let settings = settings();
    let mut job_table = random_jobs(400, &mut rng);
    let plan = run_pass(&settings, &mut job_table, &fleet(0), true);
    assert!(plan.hires.len() > 500, "{}", plan.hires.len());
    assert!(plan.steps < 2 * 400 * plan.hires.len() as u64, "{}", plan.steps);
    let on_demand = plan.hires.iter().filter(|(kind, _)| !kind.spot).count();
    assert!(on_demand < plan.hires.len(), "jobs that may use spot machines get them");
}

/// A fleet full of array tasks, and a high-priority gang of four, each task as large as a machine.
fn full_fleet_and_gang(one_zone: bool, spread: bool) -> (JobTable, Fleet, JobId) {
    let settings = settings();
    let mut fleet = fleet(12);
    let mut job_table = JobTable::default();
    let add = |job_table: &mut JobTable, n: usize, shape, tasks, rank, class: &str| {
        let id = JobId::new(&format!("req-{n:06}"));
        let text = format!(
            r#"{{"nameId":"{id}","jobclass":"{class}","owner":"red","shape":"{shape}","rank":"{rank}",
            "shards":{tasks},"cpus":40.0,"gpus":4.0,"memoryGb":150.0,"bundle":"i-{n}","pullGb":1.0,
            "samePlace":{},"spread":{},"loaners":true,"expectS":60.0,"snapshotS":30.0,"flushS":3.0}}"#,
            one_zone && n > 1,
            spread && n > 1
        );
        let spec: JobSpec = serde_json::from_str(&text).expect("a description");
        let now = Now { mono: NOW, wall_ms: 5_000 };
        job_table.insert(LiveRecord { spec, wall_ms: 5_000, part: None }, Revision(1), now);
        id
    };
    add(&mut job_table, 1, "sweep", 12, "standard", "many");
    let plan = run_pass(&settings, &mut job_table, &fleet, false);
    assert_eq!(plan.starts.len(), 12);
    apply_starts(&plan, &settings, &mut job_table, &mut fleet);
    let gang = add(&mut job_table, 2, "group", 4, "high", "quick");
    (job_table, fleet, gang)
}

/// Guards against preempting one machine at a time, which delayed a gang of four by four report
/// periods, and against preempting machines that the gang may not use together: it never started.
#[test]
fn a_gang_preempts_for_all_its_tasks_where_they_may_run_together() {
    for (one_zone, spread) in [(true, false), (false, true), (false, false)] {
        let (mut job_table, fleet, gang) = full_fleet_and_gang(one_zone, spread);
        let plan = run_pass(&settings(), &mut job_table, &fleet, true);
        assert_eq!((plan.stops.len(), plan.reservations.len()), (4, 4));
        assert!(plan.hires.is_empty(), "preempted machines are free sooner than hired ones");
        let mut zones: BTreeMap<&Zone, u32> = BTreeMap::new();
        for (host, job) in &plan.reservations {
            assert_eq!(*job, gang);
            *zones.entry(&fleet.machines[host].zone).or_default() += 1;
        }
        assert!(!one_zone || zones.len() == 1, "{zones:?}");
        assert!(!spread || zones.values().all(|count| *count <= 2), "{zones:?}");
    }
}

/// Spare capacity for expected one-zone gangs lies in one zone per gang, on spot machines, and
/// none is hired while work of lower rank can be preempted. Planned as a single job it changed with
/// every pass.
#[test]
fn spare_capacity_is_kept_for_whole_gangs() {
    let (mut job_table, fleet, gang) = full_fleet_and_gang(true, false);
    let spec = job_table.get(&gang).expect("the gang").spec.clone();
    job_table.jobs.remove(&gang);
    let plan_spare_capacity = |job_table: &mut JobTable, fleet: &Fleet| {
        placement::plan(PlacementInputs {
            now: NOW.plus(Millis(1_000)),
            settings: &settings(),
            job_table,
            fleet,
            array_task_limits: &BTreeMap::new(),
            pending_hires: Vec::new(),
            expected_jobs: &[(Job::forecast(&spec, 4, NOW), 2)],
            is_refused: &|_| false,
        })
    };
    assert!(plan_spare_capacity(&mut job_table, &fleet).hires.is_empty());
    let empty = Fleet { catalog: fleet.catalog.clone(), ..Fleet::default() };
    let plan = plan_spare_capacity(&mut JobTable::default(), &empty);
    let mut zones: BTreeMap<&Zone, u32> = BTreeMap::new();
    for (kind, _) in &plan.hires {
        assert!(kind.spot);
        *zones.entry(&kind.zone).or_default() += 1;
    }
    assert_eq!(plan.hires.len(), 8);
    assert!(zones.values().all(|count| count % 4 == 0), "{zones:?}");
}

/// Adds a job of this shape, rank, number of tasks and image, with one GPU per task.
fn add(
    job_table: &mut JobTable,
    n: usize,
    shape: Shape,
    rank: Rank,
    tasks: u32,
    image: &str,
) -> JobId {
    let service = shape == Shape::Service;
    let spec = JobSpec {
        id: JobId::new(&format!("req-{n:06}")),
        class: if service { "quick" } else { "many" }.into(),
        team: "red".into(),
        shape,
        rank,
        tasks,
        cpus: 10.0,
        gpus: 1.0,
        memory_gb: 36.0,
        image: image.into(),
        image_gb: 20.0,
        flavors: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: if service { 0.0 } else { 60.0 },
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    let (id, now) = (spec.id.clone(), Now { mono: NOW, wall_ms: 5_000 });
    job_table.insert(LiveRecord { spec, wall_ms: 1_000, part: None }, Revision(1), now);
    id
}

/// Guards against reserving a machine for a job because of capacity that the same pass gave to another job: the job waited
/// until the reservation expired after 20 s, while no task on the machine was about to end.
#[test]
fn capacity_used_by_a_start_is_not_reserved_for_another_job() {
    let settings = settings();
    // Only on-demand machines can run these jobs: a single one with four GPUs.
    let fleet = fleet(2);
    let mut job_table = JobTable::default();
    let first = add(&mut job_table, 1, Shape::Service, Rank::Critical, 4, "img-1");
    let second = add(&mut job_table, 2, Shape::Service, Rank::High, 1, "img-2");
    let plan = run_pass(&settings, &mut job_table, &fleet, false);
    assert_eq!(plan.starts.iter().filter(|(id, ..)| *id == first).count(), 4);
    assert!(plan.starts.iter().all(|(id, ..)| *id != second));
    assert!(plan.reservations.is_empty() && plan.stops.is_empty(), "{:?}", plan.reservations);
}

/// Guards against replicas of a lost zone that fetched their image for a minute or more on the first free machine, while
/// machines with a cached image ran work of lower rank. A replica that was never up takes the first free machine.
#[test]
fn a_replica_that_was_up_prefers_a_machine_with_its_image() {
    let settings = settings();
    for was_up in [true, false] {
        let mut fleet = fleet(4);
        let mut job_table = JobTable::default();
        let array = add(&mut job_table, 1, Shape::Array, Rank::Standard, 4, "img-1");
        let service = add(&mut job_table, 2, Shape::Service, Rank::Critical, 1, "img-2");
        let (with_image, free) = (HostId::new("i-000001"), HostId::new("i-000003"));
        let machine = fleet.machines.get_mut(&with_image).expect("a known machine");
        machine.restore_images(vec![Image { name: "img-2".into(), gb: 20.0, ready: true }]);
        let starts = (0..4).map(|index| (array.clone(), index, with_image.clone())).collect();
        apply_starts(
            &PlacementPlan { starts, ..PlacementPlan::default() },
            &settings,
            &mut job_table,
            &mut fleet,
        );
        job_table.jobs.get_mut(&service).expect("a known job").was_up = was_up;
        let plan = run_pass(&settings, &mut job_table, &fleet, false);
        let started: Vec<&HostId> =
            plan.starts.iter().filter(|(id, ..)| *id == service).map(|(.., host)| host).collect();
        if was_up {
            assert!(started.is_empty(), "{started:?}");
            assert_eq!(plan.reservations, [(with_image.clone(), service.clone())]);
            assert_eq!(plan.stops.len(), 1);
            // The capacity is free and reserved for it: it starts there in the next pass.
            let (task, ..) = &plan.stops[0];
            job_table.unassign(&task.job, task.index, false);
            let machine = fleet.machines.get_mut(&with_image).expect("a known machine");
            machine.unassign(task, NOW);
            machine.reservation = Some((service.clone(), NOW.plus(Millis(20_000))));
            let plan = run_pass(&settings, &mut job_table, &fleet, false);
            assert!(plan.starts.contains(&(service, 0, with_image)), "{:?}", plan.starts);
        } else {
            assert_eq!(started, [&free]);
            assert!(plan.stops.is_empty());
        }
    }
}
