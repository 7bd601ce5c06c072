//! Machines' reports around changes of leader, at many relative times: old reports, machines that reach no controller or get
//! no answers, zones that are cut off. After every step the rules hold, and the leader's job table lists every task that is on
//! a machine.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::Event;
use oatloom_core::jobs::{ChunkRecord, LiveRecord, RunSent};
use oatloom_core::store::StoreOp;
use oatloom_protocol::ids::{
    Attempt, HostId, JobId, ReportSeq, TaskId, Token, WorkerSession, Zone,
};
use oatloom_protocol::wire::{
    Change, ExitCause, JobSpec, JobStatus, Order, Report, ReportAnswer, Shape, TaskPhase,
    TaskReport,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::machine_faults::{Coverage, ReplayTiming};
use world::solo::Solo;
use world::{
    Fault, LeaderFault, World, assert_finished, assert_rules, extra_seeds, init_log, small_array,
};

/// All faults end by this time of the simulation.
const FAULTS_END_MS: u64 = 150_000;

/// An array of a team with a limit that is too low to run all of its jobs at once.
fn limited_job(n: u64, tasks: u32, expect_s: u32) -> JobSpec {
    let mut spec = small_array(&format!("req-9{n:05}"), expect_s);
    (spec.team, spec.tasks, spec.spot) = ("red".into(), tasks, n.is_multiple_of(2));
    spec
}

/// Long jobs of a team at its limit before each of these times; two of three are cancelled within nine seconds after it.
fn add_long_jobs_around(world: &mut World, rng: &mut ChaCha8Rng, changes: &[u64]) {
    for (n, at) in (0..).zip(changes) {
        for k in 0..3 {
            let submitted = at.saturating_sub(rng.random_range(12_000..20_000));
            world.add_job_at(
                limited_job(n * 10 + k, 5, [25, 60, 200][k as usize]),
                submitted.max(1_000),
            );
            if k > 0 {
                world.cancel_last(at + rng.random_range(0..9_000));
            }
        }
    }
}

/// The leader changes five times; in between, machines are cut off and come back in new sessions, and a faulty machine fails
/// its tasks. Copies of reports of all ages reach every controller when a new leader starts, or after its first orders.
fn deliver_old_reports(seed: u64, timing: ReplayTiming) -> Coverage {
    let context = format!("seed {seed}, {timing:?}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changes: Vec<u64> =
        (0..5).map(|n| 25_000 + n * 24_000 + rng.random_range(0..8_000)).collect();
    let mut faults = vec![(9_000, Fault::FaultyMachine)];
    for at in &changes {
        faults.push((at - rng.random_range(1_000..14_000), Fault::MachinePartitioned(32_000)));
        let leader_fault = match rng.random_range(0..4) {
            0 => LeaderFault::Crash,
            1 => LeaderFault::StoreRefuses(9_000),
            2 => LeaderFault::Isolated(9_000),
            _ => LeaderFault::Down(9_000),
        };
        faults.push((*at, Fault::Leader(leader_fault)));
    }
    faults.sort_by_key(|(at, _)| *at);
    let mut world = World::with_faults(seed, faults, FAULTS_END_MS, None);
    add_long_jobs_around(&mut world, &mut rng, &changes);
    world.save_reports(0.4, timing);
    world.run_checked_until(FAULTS_END_MS + 190_000);
    assert_finished(&world, &context);
    world.machine_faults.coverage
}

/// Guards against a new leader that takes the tasks which an old report lists, or doesn't list, for the present state.
#[test]
fn old_reports_delivered_as_a_leader_starts_change_nothing() {
    init_log();
    let mut sum = Coverage::default();
    for seed in 0..6 + extra_seeds() {
        let coverage = deliver_old_reports(seed, ReplayTiming::AtTermStart);
        assert!(
            coverage.replayed > 100 && coverage.before_first_report > 20,
            "seed {seed}: {coverage:?}"
        );
        sum.older_session += coverage.older_session;
        sum.older_attempt += coverage.older_attempt;
    }
    assert!(sum.older_session > 20 && sum.older_attempt > 100, "{sum:?}");
}

/// The same after the new leader has given orders.
#[test]
fn old_reports_delivered_after_a_new_leader_has_acted_change_nothing() {
    init_log();
    let mut sum = Coverage::default();
    for seed in 100..106 + extra_seeds() {
        let coverage = deliver_old_reports(seed, ReplayTiming::AfterFirstAck);
        assert!(coverage.replayed > 100, "seed {seed}: {coverage:?}");
        sum.older_session += coverage.older_session;
        sum.older_attempt += coverage.older_attempt;
    }
    assert!(sum.older_session > 20 && sum.older_attempt > 100, "{sum:?}");
}

/// Runs the seed given in `OATLOOM_SEED`, if any.
#[test]
fn one_seed() {
    init_log();
    if let Some(seed) = std::env::var("OATLOOM_SEED").ok().and_then(|s| s.parse().ok()) {
        deliver_old_reports(seed, ReplayTiming::AtTermStart);
        deliver_old_reports(seed, ReplayTiming::AfterFirstAck);
    }
}

/// A worker's report without tasks.
fn new_report(host: &str, zone: &str, session: u64, report_seq: u64, token: u64) -> Report {
    Report {
        host: HostId::new(host),
        addr: "10.0.0.9:1".into(),
        flavor: "g4".into(),
        zone: Zone::new(zone),
        spot: false,
        session: WorkerSession(session),
        report_seq: ReportSeq(report_seq),
        token: Token(token),
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// Old reports arrive from machines that an earlier leader has released. Guards against tasks that are assigned to them, and
/// against their zone counting as lost, and getting no machine for minutes, because they are silent afterwards: a gang bound to
/// one zone waited for 155 s (seed 134 of `deliver_old_reports`).
#[test]
fn machines_known_only_from_old_reports_are_ignored() {
    let mut solo = Solo::new();
    solo.advance(500);
    let token = solo.controller.valid_token(solo.clock().mono).expect("it leads").0;
    for n in 0..4 {
        solo.send_request(Request::Report(Box::new(new_report(&format!("i-{n}"), "a", 1, 40, 0))));
    }
    solo.send_request(Request::Submit(Submission::Spec(Box::new(small_array("req-1", 9)))));
    let mut placed = false;
    for report_seq in 1..20 {
        let present = new_report("i-9", "b", 1, report_seq, if report_seq > 1 { token } else { 0 });
        solo.send_request(Request::Report(Box::new(present)));
        solo.advance(1_000);
        let leader_term = solo.controller.leader_term().expect("it leads");
        let (zones, job) =
            (&leader_term.fleet.zones, leader_term.job_table.get(&JobId::new("req-1")));
        assert!(!zones.is_lost(&Zone::new("a")), "{report_seq}");
        let hosts: Vec<&str> = job
            .iter()
            .flat_map(|j| j.assignments())
            .map(|(_, assignment)| assignment.host.as_str())
            .collect();
        assert!(hosts.iter().all(|host| *host == "i-9"), "{report_seq}: {hosts:?}");
        placed |= !hosts.is_empty();
    }
    assert!(placed, "its tasks are assigned to the machine that exists");
}

/// Jobs of two tasks that run for minutes, cancelled at the given times.
fn add_long_jobs(
    world: &mut World,
    count: u64,
    first_at: u64,
    cancelled_at: impl Fn(u64) -> Option<u64>,
) {
    for n in 0..count {
        let mut spec = small_array(&format!("req-8{n:05}"), 400);
        (spec.team, spec.tasks) = (if n % 2 == 0 { "red" } else { "blue" }.into(), 2);
        world.add_job_at(spec, first_at + n * 50);
        if let Some(at) = cancelled_at(n) {
            world.cancel_last(at);
        }
    }
}

/// How many tasks of the long jobs are on machines.
fn count_long_tasks(world: &World) -> usize {
    world.region.checker.on_machines().filter(|on| on.job.starts_with("req-8")).count()
}

/// Machines reach no controller for longer than a lease but still get direct commands, and their jobs are cancelled. On some
/// days the first commands are lost too; on others the leader fails just then, and the next one knows the machines only from
/// records and the cloud's list. Cancelled tasks stop long before their leases expire, direct commands are sent once per report
/// period, and the machines come back.
#[test]
fn cancelled_tasks_stop_on_machines_that_reach_no_controller() {
    init_log();
    for seed in 0..9 + extra_seeds() {
        let (kind, offset_ms) = (seed % 3, seed * 170 % 1_500);
        let context = format!("seed {seed}, kind {kind}, offset {offset_ms} ms");
        let mut world = World::with_faults(seed, Vec::new(), FAULTS_END_MS, None);
        world.remove_users();
        add_long_jobs(&mut world, 8, 2_000, |n| (n < 6).then_some(40_000 + offset_ms));
        world.run_checked_until(39_000 + offset_ms);
        let silenced = world.silence_machines(45_000, 1);
        if kind != 2 {
            // Without a cloud outage silent machines are released, and their tasks end with them.
            world.inject_fault(Fault::CloudOutage(45_000));
        }
        match kind {
            1 => world.inject_fault(Fault::MachinesInboundLost(9_000, 1)),
            2 => world.inject_fault(Fault::Leader(LeaderFault::Down(60_000))),
            _ => {}
        }
        let before = count_long_tasks(&world);
        assert!(
            before >= 10 && silenced > 2,
            "{context}: {before} tasks run on {silenced} machines"
        );
        let max_delay_ms = if kind == 0 { 9_000 } else { 15_000 };
        while world.continues_before(84_000 + offset_ms) {
            world.run_checked_until(world.now + 500);
            assert_rules(&world, &context);
            assert_eq!(
                world.running_after_cancel(max_delay_ms),
                [""; 0],
                "{context}, at {}",
                world.now
            );
        }
        let command_times = &world.machine_faults.command_times;
        assert!(
            command_times.len() * 2 > silenced,
            "{context}: {} of {silenced} got commands",
            command_times.len()
        );
        for (host, times) in command_times {
            let min_interval = times.windows(2).map(|w| w[1] - w[0]).min();
            assert!(min_interval.is_none_or(|ms| ms >= 2_900), "{context}: {host} at {times:?}");
            assert!(times.len() < 10, "{context}: {host} at {times:?}");
        }
        // The machines come back, and jobs that were not cancelled run again.
        let has_running_again = |world: &World| count_long_tasks(world) >= 4;
        world.run_checked_until(135_000);
        assert_rules(&world, &context);
        assert!(has_running_again(&world), "{context}: {} tasks run", count_long_tasks(&world));
        assert!(world.region.workers.values().all(|w| !world.is_silent(&w.host)));
    }
}

/// New machines boot within two seconds and get tasks at once, some of them known only by their first report as the cloud's
/// answer to the hire was lost; writes are slow. The leader fails while these assignments are being written.
#[test]
fn leader_failure_during_slow_assignments_to_new_machines_keeps_the_rules() {
    init_log();
    let mut interrupted = 0;
    for seed in 0..12 + extra_seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let store_fault = if seed % 2 == 0 {
            Fault::SlowStore(120_000, 30 + 10 * (seed % 7) as u32)
        } else {
            Fault::DelayedWrites(120_000, 400)
        };
        let faults = vec![
            (1_000, Fault::SlowBoots(200_000, 120, 0)),
            (1_500, Fault::CloudDelayed(120_000, 300)),
            (1_700, store_fault),
        ];
        let mut world = World::with_faults(seed, faults, FAULTS_END_MS, None);
        for wave in 0..5 {
            let submitted = 10_000 + wave * 22_000;
            for n in 0..6 {
                world.add_job_at(
                    limited_job(wave * 10 + n, 4, 8),
                    submitted + rng.random_range(0..400),
                );
                if n % 3 == 0 {
                    world.cancel_last(submitted + rng.random_range(1_000..9_000));
                }
            }
            world.run_checked_until(submitted);
            // Until an assignment to a machine that has just booted is being written; the leader fails up to 250 ms later.
            while world.continues_before(submitted + 9_000)
                && world.assignments_to_new_machines(2_000) == 0
            {
                world.run_checked_until(world.now + 50);
            }
            let at = world.now;
            world.run_checked_until(at + rng.random_range(0..6) * 50);
            interrupted += usize::from(world.assignments_to_new_machines(2_500) > 0);
            let failures = [
                LeaderFault::Crash,
                LeaderFault::Down(8_000),
                LeaderFault::StoreRefuses(8_000),
                LeaderFault::Isolated(8_000),
            ];
            world.inject_fault(Fault::Leader(failures[rng.random_range(0..4)]));
        }
        world.run_checked_until(FAULTS_END_MS + 190_000);
        assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(
        interrupted >= 12,
        "the leader failed {interrupted} times during assignments to new machines"
    );
}

/// A zone with its controller, which may be the leader, is cut off for longer than a lease while jobs that run there are
/// cancelled, and reconnects. Users can still reach the controller inside.
#[test]
fn cutting_off_a_zone_with_a_controller_during_cancellations_keeps_the_rules() {
    init_log();
    let (mut inside, mut led) = (0, 0);
    for seed in 0..9 + extra_seeds() {
        let zone = (seed % 3) as usize;
        let span = 28_000 + seed * 3_700 % 40_000;
        let context = format!("seed {seed}, zone {zone}, {span} ms");
        let mut world = World::with_faults(seed, Vec::new(), FAULTS_END_MS, None);
        for n in 0..9 {
            let mut spec = limited_job(n, 2, if n % 3 == 0 { 30 } else { 200 });
            spec.zone = Some(Zone::new(["a", "b", "c"][(n % 3) as usize]));
            spec.team = if n % 2 == 0 { "red" } else { "blue" }.into();
            world.add_job_at(spec, 2_000 + n * 100);
            if n % 3 != 0 {
                world.cancel_last(40_000 + (seed * 700 + n * 1_900) % 20_000);
            }
        }
        world.run_checked_until(39_000 + seed * 400 % 3_000);
        led += usize::from(world.leader() == Some(zone));
        let zone_name = ["a", "b", "c"][zone];
        let busy_machines = |w: &World| -> Vec<(String, u64)> {
            let in_zone = w.region.workers.values().filter(|m| m.place.zone == zone_name);
            in_zone.filter(|m| !m.tasks.is_empty()).map(|m| (m.host.clone(), m.session)).collect()
        };
        inside += busy_machines(&world).len();
        world.isolate_zone(zone, span);
        world.run_checked_until(FAULTS_END_MS + 190_000);
        assert_finished(&world, &context);
    }
    assert!(inside >= 9 && led >= 2, "{inside} machines had tasks, {led} leaders were in the zone");
}

/// The leader fails while machines with long tasks are unreachable, or get no answers, and their team is at its limit; half of
/// the jobs are cancelled meanwhile. Guards against tasks that no longer count, in limits and zones, before they are known to
/// be gone.
#[test]
fn leader_failure_with_unreachable_long_tasks_keeps_the_rules() {
    init_log();
    let (mut affected, mut running) = (0, 0);
    for seed in 0..10 + extra_seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::with_faults(seed, Vec::new(), FAULTS_END_MS, None);
        world.remove_users();
        for n in 0..12 {
            let mut spec = limited_job(n, 3, if n < 6 { 300 } else { 20 });
            spec.zone = (n % 4 == 0).then(|| Zone::new("b"));
            spec.one_zone = n % 4 == 1;
            spec.spread = n % 4 == 2;
            world.add_job_at(spec, if n < 6 { 2_000 } else { 30_000 } + n * 70);
            if n < 6 {
                world.cancel_last(44_000 + rng.random_range(0..30_000));
            }
        }
        world.run_checked_until(36_000 + rng.random_range(0..5_000));
        running += count_limited_tasks(&world);
        if seed % 2 == 0 {
            affected += world
                .partition_machines(20_000 + rng.random_range(0..25_000), 1 + seed as usize % 3);
        } else {
            world.inject_fault(Fault::MachinesInboundLost(
                20_000 + rng.random_range(0..25_000),
                1 + seed as u32 % 3,
            ));
            affected += 1;
        }
        for _ in 0..2 {
            world.run_checked_until(world.now + rng.random_range(500..7_000));
            world.inject_fault(Fault::Leader(if seed % 4 < 2 {
                LeaderFault::Crash
            } else {
                LeaderFault::Down(12_000)
            }));
        }
        world.run_checked_until(FAULTS_END_MS + 150_000);
        assert_finished(&world, &format!("seed {seed}"));
    }
    assert!(affected >= 12, "{affected} machines were unreachable or got no answers");
    assert!(running >= 100, "the team was at its limit: {running} tasks over all days");
}

/// How many tasks of the limited team are on machines.
fn count_limited_tasks(world: &World) -> usize {
    world.region.checker.on_machines().filter(|on| on.job.starts_with("req-9")).count()
}

/// A leader is isolated from the state service and the other controllers but not from its workers and users, who ask it in
/// every other second while jobs are cancelled through the new leader. It reports no older state, keeps no tasks alive and
/// starts none.
#[test]
fn an_isolated_leader_reports_no_older_state() {
    init_log();
    let mut cancelled = 0;
    for seed in 0..8 + extra_seeds() {
        let span = [6_000, 20_000, 35_000, 60_000][seed as usize % 4];
        let mut world = World::with_faults(seed, Vec::new(), FAULTS_END_MS, None);
        world.remove_users();
        add_long_jobs(&mut world, 10, 2_000, |n| Some(38_500 + seed * 130 + n * 1_300));
        for n in 0..6 {
            world.add_job_at(limited_job(n, 2, 12), 30_000 + n * 1_500);
        }
        world.run_checked_until(38_000 + seed * 370);
        let Some(old) = world.leader() else { panic!("seed {seed}: no node leads") };
        world.inject_fault(Fault::NodeIsolated(old, span));
        world.inject_fault(Fault::PollStorm(span + 10_000, 6));
        let until = world.now + span + 10_000;
        while world.continues_before(until) {
            world.load_balancer_target = (world.now / 1_000).is_multiple_of(2).then_some(old);
            world.run_checked_until(world.now + 1_000);
            assert_rules(&world, &format!("seed {seed}, {span} ms"));
        }
        cancelled += world.count_with_known_status(JobStatus::Cancelled);
        world.load_balancer_target = None;
        world.run_checked_until(FAULTS_END_MS);
        assert_finished(&world, &format!("seed {seed}, {span} ms"));
    }
    assert!(cancelled >= 60, "{cancelled} jobs were cancelled meanwhile");
}

/// A report's row on task `req-1/0`.
fn first_task_row(attempt: u64, status: TaskPhase) -> TaskReport {
    let cause = (status == TaskPhase::Exited).then_some(ExitCause::Stopped);
    task_row("req-1/0", Attempt(attempt), status, cause)
}

/// A report's row on any task.
fn task_row(
    task: &str,
    attempt: Attempt,
    status: TaskPhase,
    cause: Option<ExitCause>,
) -> TaskReport {
    TaskReport { task: task.into(), attempt, status, cause, stored: false, ran_ms: None }
}

/// While a new leader loads its job table, it rejects an old report of a machine whose newer report is pending. If the old one
/// replaced it, the worker would be rejected and its lease not renewed.
#[test]
fn an_old_report_does_not_replace_a_newer_pending_one() {
    let mut solo = Solo::new();
    solo.holds_reply = |op| matches!(op, StoreOp::List { .. });
    solo.advance(500);
    let send_report = |solo: &mut Solo, session, report_seq| {
        solo.send_request(Request::Report(Box::new(new_report("i-1", "a", session, report_seq, 0))))
    };
    let newer = send_report(&mut solo, 2, 5);
    let old =
        [send_report(&mut solo, 2, 4), send_report(&mut solo, 1, 80), send_report(&mut solo, 2, 5)];
    assert!(old.iter().all(|conn| solo.reply(*conn).is_some_and(|r| r.status == 409)));
    assert_eq!(solo.reply(newer), None, "it waits for the job table");
    solo.holds_reply = |_| false;
    solo.release_held();
    solo.advance(100);
    assert_eq!(solo.reply(newer).map(|r| r.status), Some(200));
}

/// A leader whose records assign attempt 9 of a task to a machine in worker session 2, and the leader's fencing token.
fn leader_with_assigned_task() -> (Solo, u64) {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: String::new(),
        assignments: vec![(0, Attempt(9), HostId::new("i-1"), WorkerSession(2), Zone::new("a"))],
        size: ("blue".into(), 1.0, 1.0, 1.0, 2),
        charges: Default::default(),
        usage: Default::default(),
    };
    let spec = small_array("req-1", 300);
    let live = LiveRecord { spec, wall_ms: 1_000_000, part: None };
    solo.write(vec![
        Change::put("live/req-1".into(), json!(live)),
        Change::put("asg/req-1/0000".into(), json!(record)),
    ]);
    solo.advance(500);
    let token = solo.controller.valid_token(solo.clock().mono).expect("it leads").0;
    (solo, token)
}

/// The attempt of that task in the leader's job table, and whether it was sent.
fn assigned_attempt(solo: &Solo) -> Option<(u64, RunSent)> {
    let task = TaskId::new(&JobId::new("req-1"), 0);
    let assignment = solo
        .controller
        .leader_term()
        .and_then(|leader_term| leader_term.job_table.assignment(&task));
    assignment.map(|assignment| (assignment.attempt.0, assignment.run_sent))
}

/// Answers to direct commands are not ordered relative to reports. Guards against an answer that ends anything but an attempt
/// that it lists as exited, in this worker session and under this leader's fencing token.
#[test]
fn a_direct_answer_ends_only_attempts_that_it_lists_as_exited() {
    let exited_task = |attempt| vec![first_task_row(attempt, TaskPhase::Exited)];
    let cases: [(u64, bool, Vec<TaskReport>, bool); 6] = [
        (1, true, exited_task(9), false),
        (3, true, exited_task(9), false),
        (2, false, exited_task(9), false),
        (2, true, exited_task(8), false),
        (2, true, Vec::new(), false),
        (2, true, exited_task(9), true),
    ];
    for (session, knows_token, tasks, ends) in cases {
        let context = format!("session {session}, knows its token: {knows_token}, {tasks:?}");
        let (mut solo, token) = leader_with_assigned_task();
        let running = first_task_row(9, TaskPhase::Running);
        let current = Report { tasks: vec![running], ..new_report("i-1", "a", 2, 20, token) };
        solo.send_request(Request::Report(Box::new(current)));
        solo.advance(100);
        let answer = Report {
            tasks,
            ..new_report("i-1", "a", session, 21, if knows_token { token } else { 0 })
        };
        solo.event(Event::CommandReply { report: Some(Box::new(answer)) });
        assert_eq!(assigned_attempt(&solo).is_none_or(|h| h.0 != 9), ends, "{context}");
    }
}

/// The previous leader failed after recording a job's last task as done and before recording the job's final state. Guards
/// against a job that stays open for ever with no tasks left.
#[test]
fn a_new_leader_finishes_a_job_whose_tasks_are_all_done() {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: "3".into(),
        assignments: Vec::new(),
        size: ("blue".into(), 1.0, 1.0, 1.0, 2),
        charges: Default::default(),
        usage: Default::default(),
    };
    let live = LiveRecord { spec: small_array("req-1", 300), wall_ms: 1_000_000, part: None };
    solo.write(vec![
        Change::put("live/req-1".into(), json!(live)),
        Change::put("asg/req-1/0000".into(), json!(record)),
    ]);
    solo.advance(2_000);
    let final_record = solo.state.rows("over/req-1");
    assert!(!final_record.is_empty() && solo.state.rows("live/").is_empty(), "{final_record:?}");
    assert!(solo.state.rows("asg/").is_empty(), "its assignment records are deleted too");
}

/// Records assign attempt 9 of a task to a machine in worker session 2. Old reports, of an earlier session or with an earlier
/// attempt or fencing token, don't end the assignment; a newer report with this leader's token that doesn't list the task does.
#[test]
fn old_reports_end_no_assignment_of_a_new_leader() {
    let exited_task = |attempt| vec![first_task_row(attempt, TaskPhase::Exited)];
    let cases: [(u64, u64, bool, Vec<TaskReport>); 5] = [
        (1, 900, true, exited_task(9)),
        (1, 900, true, Vec::new()),
        (2, 3, true, exited_task(8)),
        (2, 3, false, Vec::new()),
        (2, 3, false, exited_task(9)),
    ];
    for (session, report_seq, knows_token, tasks) in cases {
        let context = format!(
            "session {session}, report {report_seq}, knows its token: {knows_token}, {tasks:?}"
        );
        let (mut solo, token) = leader_with_assigned_task();
        let lists_earlier_attempt = !tasks.is_empty() && tasks[0].attempt.0 == 8;
        let old = Report {
            tasks,
            ..new_report("i-1", "a", session, report_seq, if knows_token { token } else { 0 })
        };
        // A report that lists an earlier attempt lists the current one too.
        let mut old = old;
        if lists_earlier_attempt {
            old.tasks.push(first_task_row(9, TaskPhase::Running));
        }
        solo.send_request(Request::Report(Box::new(old)));
        assert_eq!(assigned_attempt(&solo), Some((9, RunSent::Inherited)), "{context}");
        // Cancelled at once, when the strictest rule applies: an order that was not sent counts as gone.
        solo.send_request(Request::Abort(JobId::new("req-1")));
        solo.advance(1_000);
        assert_eq!(assigned_attempt(&solo).map(|h| h.0), Some(9), "{context}: cancelled");
        solo.send_request(Request::Report(Box::new(new_report("i-1", "a", 2, 20, token))));
        assert_eq!(
            assigned_attempt(&solo),
            None,
            "{context}: ended by a newer report that does not list it"
        );
    }
}

/// The state service is out for longer than a lease, and half of the machines die meanwhile. Guards against tasks that are
/// assigned to the silent machines twice a second until these count as lost.
#[test]
fn no_task_is_assigned_to_machines_that_died_in_an_outage() {
    init_log();
    for seed in 0..4 + extra_seeds() {
        let faults =
            vec![(60_000, Fault::StoreOutage(45_000)), (75_000, Fault::HalfOfMachinesTerminated)];
        let mut world = World::with_faults(seed, faults, 110_000, None);
        world.remove_users();
        for n in 0..8 {
            world.add_job_at(small_array(&format!("req-{n}"), 200), 5_000 + n * 500);
        }
        world.run_until(74_000);
        let hosts_of =
            |world: &World| -> Vec<String> { world.region.workers.keys().cloned().collect() };
        let before = hosts_of(&world);
        let running = world.region.checker.on_machines().count();
        assert!(running >= 6, "seed {seed}: {running} tasks run");
        world.run_until(104_000);
        let left = hosts_of(&world);
        world.run_until(170_000);
        let dead = before.iter().filter(|host| !left.contains(host));
        let dead: Vec<HostId> = dead.map(|host| HostId::new(host)).collect();
        assert!(!dead.is_empty(), "seed {seed}: machines died");
        // Each attempt that was on a dead machine ends there only once.
        let ended = world.ended_attempts();
        let on_dead = ended.iter().filter(|((_, _, host), _)| dead.contains(host));
        let on_dead: usize = on_dead.map(|(_, times)| times).sum();
        assert!(
            on_dead <= running,
            "seed {seed}: {on_dead} attempts ended on dead machines, {running} ran before"
        );
        let running_again = world.region.checker.on_machines().count();
        assert!(running_again >= running, "seed {seed}: {running_again} tasks run again");
        assert_rules(&world, &format!("seed {seed}"));
    }
}

/// Direct commands are delayed for seconds while leaders fail, lose leadership or are paused; jobs are cancelled, preempted
/// and drained meanwhile.
fn delay_commands_of_former_leaders(seed: u64) -> Coverage {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changes: Vec<u64> =
        (0..5).map(|n| 25_000 + n * 24_000 + rng.random_range(0..8_000)).collect();
    let mut faults = vec![(5_000, Fault::DelayedCommands(FAULTS_END_MS - 25_000, 950))];
    for at in &changes {
        let machine = match rng.random_range(0..3) {
            0 => Fault::SpotReclaimed,
            1 => Fault::MachineHangs(12_000),
            _ => Fault::MachinePartitioned(12_000),
        };
        faults.push((at - rng.random_range(500..4_000), machine));
        let fault = match rng.random_range(0..4) {
            0 => Fault::Leader(LeaderFault::Crash),
            1 => Fault::Leader(LeaderFault::StoreRefuses(9_000)),
            2 => Fault::Leader(LeaderFault::Isolated(9_000)),
            _ => Fault::LeaderPaused(7_000),
        };
        faults.push((*at, fault));
    }
    faults.sort_by_key(|(at, _)| *at);
    let mut world = World::with_faults(seed, faults, FAULTS_END_MS, Some(Shape::Gang));
    world.restart_ms = [50, 300, 5_000][rng.random_range(0..3)];
    add_long_jobs_around(&mut world, &mut rng, &changes);
    // Machines reach no controller while their jobs are cancelled: stops reach them by repeated direct commands only.
    for (n, at) in (0..).zip(&changes) {
        for k in 0..4 {
            world.add_job_at(limited_job(500 + n * 10 + k, 4, 200), at - 24_000);
            world.cancel_last(at - rng.random_range(1_000..12_000));
        }
    }
    for at in &changes {
        world.run_checked_until(at - 15_000);
        world.silence_machines(rng.random_range(12_000..26_000), 1);
    }
    world.run_checked_until(FAULTS_END_MS + 190_000);
    assert_finished(&world, &format!("seed {seed}"));
    world.machine_faults.coverage
}

/// Guards against late orders of a failed or deposed leader that undo or repeat decisions of the next one: only stops are sent
/// directly, they name an attempt that no later leader reuses, and a worker that knows a later leader's token refuses them.
#[test]
fn late_direct_commands_of_a_former_leader_change_nothing() {
    init_log();
    let mut sum = Coverage::default();
    for seed in 300..308 + extra_seeds() {
        let coverage = delay_commands_of_former_leaders(seed);
        sum.outranked += coverage.outranked;
        sum.deposed += coverage.deposed;
        sum.stops_of_running_tasks += coverage.stops_of_running_tasks;
    }
    eprintln!("{sum:?}");
    assert!(sum.outranked > 20 && sum.deposed > 10 && sum.stops_of_running_tasks > 4, "{sum:?}");
}

/// A worker refuses a task of a gang that is being assembled. Guards against the same attempt being assigned to the same
/// machine again: attempt numbers are never reused, because a direct answer, which is not ordered relative to reports, may
/// still list the refusal when the task is there, and would end it in the job table.
#[test]
fn a_refused_attempt_is_not_assigned_to_the_same_machine_again() {
    for cause in [ExitCause::NoRoom, ExitCause::Busy, ExitCause::Unknown] {
        let mut solo = Solo::new();
        let spec = JobSpec { shape: Shape::Gang, gpus: 4.0, ..small_array("req-1", 9) };
        let assignment_of = |index: u32| {
            let host = HostId::new(&format!("i-{}", index + 1));
            (index, Attempt(5), host, WorkerSession(1), Zone::new("a"))
        };
        let record = ChunkRecord {
            done: String::new(),
            assignments: (0..2).map(assignment_of).collect(),
            size: ("blue".into(), 1.0, 4.0, 1.0, 2),
            charges: Default::default(),
            usage: Default::default(),
        };
        solo.write(vec![
            Change::put(
                "live/req-1".into(),
                json!(LiveRecord { spec, wall_ms: 1_000_000, part: None }),
            ),
            Change::put("asg/req-1/0000".into(), json!(record)),
        ]);
        solo.advance(500);
        let token = solo.controller.valid_token(solo.clock().mono).expect("it leads").0;
        // The tasks of each machine, as it would report them.
        let mut machine_tasks: [Vec<TaskReport>; 2] = [
            vec![task_row("req-1/0", Attempt(5), TaskPhase::Exited, Some(cause))],
            vec![task_row("req-1/1", Attempt(5), TaskPhase::Waiting, None)],
        ];
        let mut started = Vec::new();
        for report_seq in 1..40 {
            for (index, host) in ["i-1", "i-2"].into_iter().enumerate() {
                let mut machine_report =
                    new_report(host, "a", 1, report_seq, if report_seq > 1 { token } else { 0 });
                machine_report.tasks = machine_tasks[index].clone();
                let conn = solo.send_request(Request::Report(Box::new(machine_report)));
                solo.advance(1_000);
                let answer = solo.reply(conn).map(|r| r.body.clone()).unwrap_or_default();
                let Ok(answer) = serde_json::from_str::<ReportAnswer>(&answer) else { continue };
                for order in answer.orders {
                    match order {
                        Order::Run { task, attempt } => {
                            let is_same_attempt =
                                |r: &TaskReport| r.task == task && r.attempt == attempt;
                            started.push((host, task.clone(), attempt));
                            if !machine_tasks[index].iter().any(is_same_attempt) {
                                machine_tasks[index].push(task_row(
                                    &task,
                                    attempt,
                                    TaskPhase::Waiting,
                                    None,
                                ));
                            }
                        }
                        Order::Stop { task, attempt, .. } => {
                            let is_stopped_task =
                                |r: &&mut TaskReport| r.task == task && r.attempt == attempt;
                            for stopped in machine_tasks[index].iter_mut().filter(is_stopped_task) {
                                if stopped.status != TaskPhase::Exited {
                                    stopped.status = TaskPhase::Exited;
                                    stopped.cause = Some(ExitCause::Stopped);
                                }
                            }
                        }
                        Order::Forget { task, attempt } => {
                            machine_tasks[index].retain(|r| r.task != task || r.attempt != attempt);
                        }
                    }
                }
            }
        }
        let attempt_reused = started.iter().any(|(_, _, attempt)| *attempt == Attempt(5));
        assert!(!attempt_reused, "{cause:?}: {started:?}");
        assert!(started.len() >= 2, "{cause:?}: it is started again: {started:?}");
    }
}
