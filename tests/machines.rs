//! Meetings of machines' reports with changes of leader, each at many phases: old reports, machines that reach nobody or hear
//! nothing, zones cut off. After every step the rules hold, and the leader's book holds whatever is on a machine.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::Event;
use oatloom_core::jobs::{ChunkRecord, LiveRecord, RunSent};
use oatloom_core::store::StoreOp;
use oatloom_protocol::ids::{Attempt, HostId, JobId, Shift, Tally, TaskId, Token, Zone};
use oatloom_protocol::wire::{
    Cause, Change, JobSpec, JobStatus, Order, Report, ReportAnswer, Shape, TaskPhase, TaskReport,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use world::machines::{Given, Met};
use world::solo::Solo;
use world::{Fault, Upon, World, check, finished, more_days, show_log, small_array};

const CALM_MS: u64 = 150_000;

/// An array of a team with a limit: more of these want to run than may.
fn limited(n: u64, tasks: u32, expect_s: u32) -> JobSpec {
    let mut spec = small_array(&format!("req-9{n:05}"), expect_s);
    (spec.team, spec.tasks, spec.spot) = ("red".into(), tasks, n.is_multiple_of(2));
    spec
}

/// Long work of a team at its limit; half of it is cancelled in the seconds after each of these moments.
fn crowd(world: &mut World, rng: &mut ChaCha8Rng, changes: &[u64]) {
    for (n, at) in (0..).zip(changes) {
        for k in 0..3 {
            let born = at.saturating_sub(rng.random_range(12_000..20_000));
            world.add_job_at(limited(n * 10 + k, 5, [25, 60, 200][k as usize]), born.max(1_000));
            if k > 0 {
                world.cancel_last(at + rng.random_range(0..9_000));
            }
        }
    }
}

/// The leader changes five times, machines are cut off in between and come back in new sessions, some fail what they run;
/// copies of reports of all ages come to every controller when a new leader begins, or once it has acted.
fn old_reports_to_a_new_leader(seed: u64, given: Given) -> Met {
    let what = format!("seed {seed}, {given:?}");
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changes: Vec<u64> =
        (0..5).map(|n| 25_000 + n * 24_000 + rng.random_range(0..8_000)).collect();
    let mut faults = vec![(9_000, Fault::FaultyMachine)];
    for at in &changes {
        faults.push((at - rng.random_range(1_000..14_000), Fault::MachineCut(32_000)));
        let upon = match rng.random_range(0..4) {
            0 => Upon::Crash,
            1 => Upon::Refused(9_000),
            2 => Upon::Parted(9_000),
            _ => Upon::Down(9_000),
        };
        faults.push((*at, Fault::Leader(upon)));
    }
    faults.sort_by_key(|(at, _)| *at);
    let mut world = World::scripted(seed, faults, CALM_MS, None);
    crowd(&mut world, &mut rng, &changes);
    world.keep_reports(0.4, given);
    world.watch_to(CALM_MS + 190_000);
    finished(&world, &what);
    world.machines.met
}

/// Guards against a new leader that takes what an old report lists, or does not list, for what is there now.
#[test]
fn old_reports_that_reach_every_controller_as_a_leader_begins_prove_nothing() {
    show_log();
    let mut sum = Met::default();
    for seed in 0..6 + more_days() {
        let met = old_reports_to_a_new_leader(seed, Given::AsItBegins);
        assert!(met.given > 100 && met.first > 20, "seed {seed}: {met:?}");
        sum.older_session += met.older_session;
        sum.older_attempt += met.older_attempt;
    }
    assert!(sum.older_session > 20 && sum.older_attempt > 100, "{sum:?}");
}

/// The same once the new leader has given orders.
#[test]
fn old_reports_that_arrive_after_a_new_leader_has_acted_prove_nothing() {
    show_log();
    let mut sum = Met::default();
    for seed in 100..106 + more_days() {
        let met = old_reports_to_a_new_leader(seed, Given::OnceItActed);
        assert!(met.given > 100, "seed {seed}: {met:?}");
        sum.older_session += met.older_session;
        sum.older_attempt += met.older_attempt;
    }
    assert!(sum.older_session > 20 && sum.older_attempt > 100, "{sum:?}");
}

/// Plays the one seed that `OATLOOM_SEED` names, if any.
#[test]
fn one_seed() {
    show_log();
    if let Some(seed) = std::env::var("OATLOOM_SEED").ok().and_then(|s| s.parse().ok()) {
        old_reports_to_a_new_leader(seed, Given::AsItBegins);
        old_reports_to_a_new_leader(seed, Given::OnceItActed);
    }
}

/// A report as a worker sends it.
fn report(host: &str, zone: &str, shift: u64, tally: u64, token: u64) -> Report {
    Report {
        host: HostId::new(host),
        addr: "10.0.0.9:1".into(),
        flavor: "g4".into(),
        zone: Zone::new(zone),
        spot: false,
        shift: Shift(shift),
        tally: Tally(tally),
        token: Token(token),
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// Old reports come of machines that an earlier leader has returned. Guards against work that is given to them, and against
/// a zone that counts as lost, and gets no machine for minutes, since they then are silent: in the simulated world a gang
/// bound to one zone waited for 155 s (seed 134 of the day above).
#[test]
fn machines_that_only_old_reports_know_are_not_reckoned_with() {
    let mut solo = Solo::new();
    solo.pass(500);
    let token = solo.core.valid(solo.clock().mono).expect("it leads").0;
    for n in 0..4 {
        solo.ask(Request::Report(Box::new(report(&format!("i-{n}"), "a", 1, 40, 0))));
    }
    solo.ask(Request::Submit(Submission::Spec(Box::new(small_array("req-1", 9)))));
    let mut placed = false;
    for tally in 1..20 {
        let there = report("i-9", "b", 1, tally, if tally > 1 { token } else { 0 });
        solo.ask(Request::Report(Box::new(there)));
        solo.pass(1_000);
        let reign = solo.core.reign().expect("it leads");
        let (zones, job) = (&reign.fleet.zones, reign.book.get(&JobId::new("req-1")));
        assert!(!zones.lost(&Zone::new("a")), "{tally}");
        let hosts: Vec<&str> =
            job.iter().flat_map(|j| j.holds()).map(|(_, hold)| hold.host.as_str()).collect();
        assert!(hosts.iter().all(|host| *host == "i-9"), "{tally}: {hosts:?}");
        placed |= !hosts.is_empty();
    }
    assert!(placed, "its tasks went to the machine that is there");
}

/// A job of two tasks that run for minutes, and is cancelled then.
fn long_jobs(world: &mut World, count: u64, born: u64, cancelled: impl Fn(u64) -> Option<u64>) {
    for n in 0..count {
        let mut spec = small_array(&format!("req-8{n:05}"), 400);
        (spec.team, spec.tasks) = (if n % 2 == 0 { "red" } else { "blue" }.into(), 2);
        world.add_job_at(spec, born + n * 50);
        if let Some(at) = cancelled(n) {
            world.cancel_last(at);
        }
    }
}

/// Tasks of the long jobs that are on machines.
fn on_machines(world: &World) -> usize {
    world.region.checker.on_machines().filter(|on| on.job.starts_with("req-8")).count()
}

/// Machines reach no controller for longer than a lease, while direct commands reach them, and their jobs are cancelled; in
/// some days the first commands are lost as well, in others the leader ends just then, and the next one knows the machines
/// by the records and the cloud's list alone. Cancelled tasks end long before their leases, what is said directly is said
/// once in a report period, and the machines come back.
#[test]
fn cancelled_tasks_end_on_machines_that_reach_nobody() {
    show_log();
    for seed in 0..9 + more_days() {
        let (kind, phase) = (seed % 3, seed * 170 % 1_500);
        let what = format!("seed {seed}, kind {kind}, phase {phase}");
        let mut world = World::scripted(seed, Vec::new(), CALM_MS, None);
        world.alone();
        long_jobs(&mut world, 8, 2_000, |n| (n < 6).then_some(40_000 + phase));
        world.watch_to(39_000 + phase);
        let muted = world.mute(45_000, 1);
        if kind != 2 {
            // Else silent machines are returned, and what is on them is gone.
            world.strike(Fault::CloudOutage(45_000));
        }
        match kind {
            1 => world.strike(Fault::MachinesDeaf(9_000, 1)),
            2 => world.strike(Fault::Leader(Upon::Down(60_000))),
            _ => {}
        }
        let before = on_machines(&world);
        assert!(before >= 10 && muted > 2, "{what}: {before} tasks run on {muted} machines");
        let patience = if kind == 0 { 9_000 } else { 15_000 };
        while world.before(84_000 + phase) {
            world.watch_to(world.now + 500);
            check(&world, &what);
            assert_eq!(world.lingering(patience), [""; 0], "{what}, at {}", world.now);
        }
        let told = &world.machines.told;
        assert!(told.len() * 2 > muted, "{what}: {} of {muted} were told", told.len());
        for (host, times) in told {
            let apart = times.windows(2).map(|w| w[1] - w[0]).min();
            assert!(apart.is_none_or(|ms| ms >= 2_900), "{what}: {host} at {times:?}");
            assert!(times.len() < 10, "{what}: {host} at {times:?}");
        }
        // They come back, and what was not cancelled runs again.
        let back = |world: &World| on_machines(world) >= 4;
        world.watch_to(135_000);
        check(&world, &what);
        assert!(back(&world), "{what}: {} tasks run", on_machines(&world));
        assert!(world.region.workers.values().all(|w| !world.is_mute(&w.host)));
    }
}

/// New machines are up within two seconds and get work at once, some of them known by their first report alone since the
/// hire's answer was lost; writes lag; the leader ends at many phases after the jobs came.
#[test]
fn a_leader_ends_while_new_machines_get_work_and_writes_lag() {
    show_log();
    let mut met = 0;
    for seed in 0..12 + more_days() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let lag = if seed % 2 == 0 {
            Fault::StoreSlow(120_000, 30 + 10 * (seed % 7) as u32)
        } else {
            Fault::LateWrites(120_000, 400)
        };
        let faults = vec![
            (1_000, Fault::Boots(200_000, 120, 0)),
            (1_500, Fault::CloudLate(120_000, 300)),
            (1_700, lag),
        ];
        let mut world = World::scripted(seed, faults, CALM_MS, None);
        for wave in 0..5 {
            let born = 10_000 + wave * 22_000;
            for n in 0..6 {
                world.add_job_at(limited(wave * 10 + n, 4, 8), born + rng.random_range(0..400));
                if n % 3 == 0 {
                    world.cancel_last(born + rng.random_range(1_000..9_000));
                }
            }
            world.watch_to(born);
            // The moment at which work is on its way to a machine that has just come up, and some moments later.
            while world.before(born + 9_000) && world.hasty_assignments(2_000) == 0 {
                world.watch_to(world.now + 50);
            }
            let at = world.now;
            world.watch_to(at + rng.random_range(0..6) * 50);
            met += usize::from(world.hasty_assignments(2_500) > 0);
            let spans = [Upon::Crash, Upon::Down(8_000), Upon::Refused(8_000), Upon::Parted(8_000)];
            world.strike(Fault::Leader(spans[rng.random_range(0..4)]));
        }
        world.watch_to(CALM_MS + 190_000);
        finished(&world, &format!("seed {seed}"));
    }
    assert!(met >= 12, "the leader ended {met} times while new machines' work was being written");
}

/// A zone with its controller, which may lead, is cut off for longer than a lease while jobs that run there are cancelled,
/// and comes back; users still ask the controller inside.
#[test]
fn a_zone_with_a_controller_is_cut_off_while_jobs_are_cancelled() {
    show_log();
    let (mut inside, mut led) = (0, 0);
    for seed in 0..9 + more_days() {
        let zone = (seed % 3) as usize;
        let span = 28_000 + seed * 3_700 % 40_000;
        let what = format!("seed {seed}, zone {zone}, {span} ms");
        let mut world = World::scripted(seed, Vec::new(), CALM_MS, None);
        for n in 0..9 {
            let mut spec = limited(n, 2, if n % 3 == 0 { 30 } else { 200 });
            spec.zone = Some(Zone::new(["a", "b", "c"][(n % 3) as usize]));
            spec.team = if n % 2 == 0 { "red" } else { "blue" }.into();
            world.add_job_at(spec, 2_000 + n * 100);
            if n % 3 != 0 {
                world.cancel_last(40_000 + (seed * 700 + n * 1_900) % 20_000);
            }
        }
        world.watch_to(39_000 + seed * 400 % 3_000);
        led += usize::from(world.leads() == Some(zone));
        let place = ["a", "b", "c"][zone];
        let here = |w: &World| -> Vec<(String, u64)> {
            let there = w.region.workers.values().filter(|m| m.place.zone == place);
            there.filter(|m| !m.tasks.is_empty()).map(|m| (m.host.clone(), m.shift)).collect()
        };
        inside += here(&world).len();
        world.cut_zone(zone, span);
        world.watch_to(CALM_MS + 190_000);
        finished(&world, &what);
    }
    assert!(inside >= 9 && led >= 2, "{inside} machines had work, {led} leaders were inside");
}

/// A leader ends while machines with long tasks cannot be reached, or hear no answers, and their team is at its limit; half
/// of the jobs are cancelled in that spell. What may still run counts, in limits and zones, until it is proven gone.
#[test]
fn a_leader_ends_while_long_tasks_cannot_be_reached() {
    show_log();
    let (mut struck, mut running) = (0, 0);
    for seed in 0..10 + more_days() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::scripted(seed, Vec::new(), CALM_MS, None);
        world.alone();
        for n in 0..12 {
            let mut spec = limited(n, 3, if n < 6 { 300 } else { 20 });
            spec.zone = (n % 4 == 0).then(|| Zone::new("b"));
            spec.one_zone = n % 4 == 1;
            spec.spread = n % 4 == 2;
            world.add_job_at(spec, if n < 6 { 2_000 } else { 30_000 } + n * 70);
            if n < 6 {
                world.cancel_last(44_000 + rng.random_range(0..30_000));
            }
        }
        world.watch_to(36_000 + rng.random_range(0..5_000));
        running += on_limit(&world);
        if seed % 2 == 0 {
            struck +=
                world.cut_machines(20_000 + rng.random_range(0..25_000), 1 + seed as usize % 3);
        } else {
            world.strike(Fault::MachinesDeaf(
                20_000 + rng.random_range(0..25_000),
                1 + seed as u32 % 3,
            ));
            struck += 1;
        }
        for _ in 0..2 {
            world.watch_to(world.now + rng.random_range(500..7_000));
            world.strike(Fault::Leader(if seed % 4 < 2 {
                Upon::Crash
            } else {
                Upon::Down(12_000)
            }));
        }
        world.watch_to(CALM_MS + 150_000);
        finished(&world, &format!("seed {seed}"));
    }
    assert!(struck >= 12, "{struck} machines were struck");
    assert!(running >= 100, "the team was at its limit: {running} tasks over all days");
}

/// Tasks of the team with a limit that are on machines.
fn on_limit(world: &World) -> usize {
    world.region.checker.on_machines().filter(|on| on.job.starts_with("req-9")).count()
}

/// A leader loses the state service and the other controllers, and keeps its workers and users, who ask it every other
/// second while jobs are cancelled through the new one: it says nothing older, keeps nothing alive and starts nothing.
#[test]
fn a_leader_that_is_parted_says_nothing_older() {
    show_log();
    let mut cancelled = 0;
    for seed in 0..8 + more_days() {
        let span = [6_000, 20_000, 35_000, 60_000][seed as usize % 4];
        let mut world = World::scripted(seed, Vec::new(), CALM_MS, None);
        world.alone();
        long_jobs(&mut world, 10, 2_000, |n| Some(38_500 + seed * 130 + n * 1_300));
        for n in 0..6 {
            world.add_job_at(limited(n, 2, 12), 30_000 + n * 1_500);
        }
        world.watch_to(38_000 + seed * 370);
        let Some(old) = world.leads() else { panic!("seed {seed}: nobody leads") };
        world.strike(Fault::NodeParted(old, span));
        world.strike(Fault::PollStorm(span + 10_000, 6));
        let until = world.now + span + 10_000;
        while world.before(until) {
            world.door = (world.now / 1_000).is_multiple_of(2).then_some(old);
            world.watch_to(world.now + 1_000);
            check(&world, &format!("seed {seed}, {span} ms"));
        }
        cancelled += world.told(JobStatus::Cancelled);
        world.door = None;
        world.watch_to(CALM_MS);
        finished(&world, &format!("seed {seed}, {span} ms"));
    }
    assert!(cancelled >= 60, "{cancelled} jobs were cancelled meanwhile");
}

/// A row of a report.
fn row(attempt: u64, status: TaskPhase) -> TaskReport {
    let cause = (status == TaskPhase::Exited).then_some(Cause::Stopped);
    row_of("req-1/0", Attempt(attempt), status, cause)
}

/// The same of any task.
fn row_of(task: &str, attempt: Attempt, status: TaskPhase, cause: Option<Cause>) -> TaskReport {
    TaskReport { task: task.into(), attempt, status, cause, stored: false, ran_ms: None }
}

/// While a new leader reads its book, an old report of a machine whose newer one waits is turned away. Guards against one that
/// takes its place: the worker was refused, and renewed no lease.
#[test]
fn an_old_report_does_not_take_the_place_of_a_newer_one_that_waits() {
    let mut solo = Solo::new();
    solo.hold = |op| matches!(op, StoreOp::List { .. });
    solo.pass(500);
    let ask = |solo: &mut Solo, shift, tally| {
        solo.ask(Request::Report(Box::new(report("i-1", "a", shift, tally, 0))))
    };
    let newer = ask(&mut solo, 2, 5);
    let old = [ask(&mut solo, 2, 4), ask(&mut solo, 1, 80), ask(&mut solo, 2, 5)];
    assert!(old.iter().all(|conn| solo.reply(*conn).is_some_and(|r| r.status == 409)));
    assert_eq!(solo.reply(newer), None, "it waits for the book");
    solo.hold = |_| false;
    solo.release();
    solo.pass(100);
    assert_eq!(solo.reply(newer).map(|r| r.status), Some(200));
}

/// A leader by whose records a task is on a machine, in its second session and with its ninth attempt, and its token.
fn with_a_held_task() -> (Solo, u64) {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: String::new(),
        held: vec![(0, Attempt(9), HostId::new("i-1"), Shift(2), Zone::new("a"))],
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
    solo.pass(500);
    let token = solo.core.valid(solo.clock().mono).expect("it leads").0;
    (solo, token)
}

/// The attempt that the leader's book holds of that task, and whether it was sent.
fn held(solo: &Solo) -> Option<(u64, RunSent)> {
    let task = TaskId::new(&JobId::new("req-1"), 0);
    let hold = solo.core.reign().and_then(|reign| reign.book.held(&task));
    hold.map(|hold| (hold.attempt.0, hold.run))
}

/// Answers to direct commands are not ordered among the reports. Guards against one that ends more than what it shows as
/// ended, of this session, by this attempt, and under this leader's token.
#[test]
fn a_direct_answer_ends_only_what_it_shows_as_ended() {
    let exited = |attempt| vec![row(attempt, TaskPhase::Exited)];
    let cases: [(u64, bool, Vec<TaskReport>, bool); 6] = [
        (1, true, exited(9), false),
        (3, true, exited(9), false),
        (2, false, exited(9), false),
        (2, true, exited(8), false),
        (2, true, Vec::new(), false),
        (2, true, exited(9), true),
    ];
    for (shift, knows, tasks, ends) in cases {
        let what = format!("shift {shift}, knows its token: {knows}, {tasks:?}");
        let (mut solo, token) = with_a_held_task();
        let told = row(9, TaskPhase::Running);
        let there = Report { tasks: vec![told], ..report("i-1", "a", 2, 20, token) };
        solo.ask(Request::Report(Box::new(there)));
        solo.pass(100);
        let answer =
            Report { tasks, ..report("i-1", "a", shift, 21, if knows { token } else { 0 }) };
        solo.event(Event::Obeyed { report: Some(Box::new(answer)) });
        assert_eq!(held(&solo).is_none_or(|h| h.0 != 9), ends, "{what}");
    }
}

/// The leader of before ended between the record of a job's last task and the job's own end. Guards against a job that stays
/// open for ever with nothing left to do.
#[test]
fn a_new_leader_ends_what_was_complete() {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: "3".into(),
        held: Vec::new(),
        size: ("blue".into(), 1.0, 1.0, 1.0, 2),
        charges: Default::default(),
        usage: Default::default(),
    };
    let live = LiveRecord { spec: small_array("req-1", 300), wall_ms: 1_000_000, part: None };
    solo.write(vec![
        Change::put("live/req-1".into(), json!(live)),
        Change::put("asg/req-1/0000".into(), json!(record)),
    ]);
    solo.pass(2_000);
    let over = solo.state.rows("over/req-1");
    assert!(!over.is_empty() && solo.state.rows("live/").is_empty(), "{over:?}");
    assert!(solo.state.rows("asg/").is_empty(), "its records go with it");
}

/// By the records a task is on a machine, in its second session and with its ninth attempt. Whatever an old report says, of
/// an earlier session, with an earlier attempt or token, the task stays where it is; a newer one with this leader's token
/// that does not list it ends it.
#[test]
fn old_reports_end_nothing_that_a_new_leader_holds() {
    let exited = |attempt| vec![row(attempt, TaskPhase::Exited)];
    let cases: [(u64, u64, bool, Vec<TaskReport>); 5] = [
        (1, 900, true, exited(9)),
        (1, 900, true, Vec::new()),
        (2, 3, true, exited(8)),
        (2, 3, false, Vec::new()),
        (2, 3, false, exited(9)),
    ];
    for (shift, tally, knows, tasks) in cases {
        let what = format!("shift {shift}, tally {tally}, knows its token: {knows}, {tasks:?}");
        let (mut solo, token) = with_a_held_task();
        let listed = !tasks.is_empty() && tasks[0].attempt.0 == 8;
        let old =
            Report { tasks, ..report("i-1", "a", shift, tally, if knows { token } else { 0 }) };
        // A report that lists an earlier attempt lists the present one too.
        let mut old = old;
        if listed {
            old.tasks.push(row(9, TaskPhase::Running));
        }
        solo.ask(Request::Report(Box::new(old)));
        assert_eq!(held(&solo), Some((9, RunSent::Inherited)), "{what}");
        // Cancelled at once, as the rule has it that hurts most: what was not sent counts as gone.
        solo.ask(Request::Abort(JobId::new("req-1")));
        solo.pass(1_000);
        assert_eq!(held(&solo).map(|h| h.0), Some(9), "{what}: cancelled");
        solo.ask(Request::Report(Box::new(report("i-1", "a", 2, 20, token))));
        assert_eq!(held(&solo), None, "{what}: a newer report does not list it");
    }
}

/// The state service is out for longer than a lease, and half of the machines die meanwhile. Guards against work that is
/// given, again and again, to machines that are not heard of any more: twice a second, for as long as their silence is borne.
#[test]
fn nothing_is_given_to_machines_that_died_in_an_outage() {
    show_log();
    for seed in 0..4 + more_days() {
        let faults = vec![(60_000, Fault::StoreOutage(45_000)), (75_000, Fault::HalfDie)];
        let mut world = World::scripted(seed, faults, 110_000, None);
        world.alone();
        for n in 0..8 {
            world.add_job_at(small_array(&format!("req-{n}"), 200), 5_000 + n * 500);
        }
        world.play_to(74_000);
        let up = |world: &World| -> Vec<String> { world.region.workers.keys().cloned().collect() };
        let before = up(&world);
        let running = world.region.checker.on_machines().count();
        assert!(running >= 6, "seed {seed}: {running} tasks run");
        world.play_to(104_000);
        let left = up(&world);
        world.play_to(170_000);
        let dead = before.iter().filter(|host| !left.contains(host));
        let dead: Vec<HostId> = dead.map(|host| HostId::new(host)).collect();
        assert!(!dead.is_empty(), "seed {seed}: machines died");
        // Each attempt that was on one of them ends there once.
        let ended = world.ended_attempts();
        let there = ended.iter().filter(|((_, _, host), _)| dead.contains(host));
        let there: usize = there.map(|(_, times)| times).sum();
        assert!(
            there <= running,
            "seed {seed}: {there} attempts ended on dead machines, {running} ran before"
        );
        let runs = world.region.checker.on_machines().count();
        assert!(runs >= running, "seed {seed}: {runs} tasks run again");
        check(&world, &format!("seed {seed}"));
    }
}

/// Direct commands are held up for seconds while leaders end, are deposed or stand still; jobs are cancelled, preempted and
/// drained meanwhile.
fn late_commands_of_former_leaders(seed: u64) -> Met {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let changes: Vec<u64> =
        (0..5).map(|n| 25_000 + n * 24_000 + rng.random_range(0..8_000)).collect();
    let mut faults = vec![(5_000, Fault::LateCommands(CALM_MS - 25_000, 950))];
    for at in &changes {
        let machine = match rng.random_range(0..3) {
            0 => Fault::SpotTaken,
            1 => Fault::MachineHangs(12_000),
            _ => Fault::MachineCut(12_000),
        };
        faults.push((at - rng.random_range(500..4_000), machine));
        let upon = match rng.random_range(0..4) {
            0 => Fault::Leader(Upon::Crash),
            1 => Fault::Leader(Upon::Refused(9_000)),
            2 => Fault::Leader(Upon::Parted(9_000)),
            _ => Fault::LeaderAsleep(7_000),
        };
        faults.push((*at, upon));
    }
    faults.sort_by_key(|(at, _)| *at);
    let mut world = World::scripted(seed, faults, CALM_MS, Some(Shape::Gang));
    world.restart_ms = [50, 300, 5_000][rng.random_range(0..3)];
    crowd(&mut world, &mut rng, &changes);
    // Machines reach no controller while their jobs are cancelled: stops go to them by direct commands only, again and again.
    for (n, at) in (0..).zip(&changes) {
        for k in 0..4 {
            world.add_job_at(limited(500 + n * 10 + k, 4, 200), at - 24_000);
            world.cancel_last(at - rng.random_range(1_000..12_000));
        }
    }
    for at in &changes {
        world.watch_to(at - 15_000);
        world.mute(rng.random_range(12_000..26_000), 1);
    }
    world.watch_to(CALM_MS + 190_000);
    finished(&world, &format!("seed {seed}"));
    world.machines.met
}

/// Guards against orders of a leader that has ended or was deposed which undo, or do again, what the next one has decided:
/// only stops go directly, they name an attempt that no later leader gives again, and a worker that has heard a later leader
/// refuses them.
#[test]
fn direct_commands_of_a_former_leader_that_come_late_change_nothing_of_the_next_ones() {
    show_log();
    let mut sum = Met::default();
    for seed in 300..308 + more_days() {
        let met = late_commands_of_former_leaders(seed);
        sum.outranked += met.outranked;
        sum.deposed += met.deposed;
        sum.stopped += met.stopped;
    }
    eprintln!("{sum:?}");
    assert!(sum.outranked > 20 && sum.deposed > 10 && sum.stopped > 4, "{sum:?}");
}

/// A worker refuses a task of a gang that gathers. Guards against the same attempt that is given to the same machine once
/// more: names are never used twice, since a direct answer, which is not ordered among the reports, may still show the
/// refusal once the task is there, and would end it in the book.
#[test]
fn what_a_machine_refused_is_not_given_to_it_again_under_the_same_attempt() {
    for cause in [Cause::NoRoom, Cause::Busy, Cause::Unknown] {
        let mut solo = Solo::new();
        let spec = JobSpec { shape: Shape::Gang, gpus: 4.0, ..small_array("req-1", 9) };
        let held = |index: u32| {
            let host = HostId::new(&format!("i-{}", index + 1));
            (index, Attempt(5), host, Shift(1), Zone::new("a"))
        };
        let record = ChunkRecord {
            done: String::new(),
            held: (0..2).map(held).collect(),
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
        solo.pass(500);
        let token = solo.core.valid(solo.clock().mono).expect("it leads").0;
        // What each machine has: its tasks, as it would report them.
        let mut there: [Vec<TaskReport>; 2] = [
            vec![row_of("req-1/0", Attempt(5), TaskPhase::Exited, Some(cause))],
            vec![row_of("req-1/1", Attempt(5), TaskPhase::Waiting, None)],
        ];
        let mut begun = Vec::new();
        for tally in 1..40 {
            for (at, host) in ["i-1", "i-2"].into_iter().enumerate() {
                let mut told = report(host, "a", 1, tally, if tally > 1 { token } else { 0 });
                told.tasks = there[at].clone();
                let conn = solo.ask(Request::Report(Box::new(told)));
                solo.pass(1_000);
                let answer = solo.reply(conn).map(|r| r.body.clone()).unwrap_or_default();
                let Ok(answer) = serde_json::from_str::<ReportAnswer>(&answer) else { continue };
                for order in answer.orders {
                    match order {
                        Order::Run { task, attempt } => {
                            let known = |r: &TaskReport| r.task == task && r.attempt == attempt;
                            begun.push((host, task.clone(), attempt));
                            if !there[at].iter().any(known) {
                                there[at].push(row_of(&task, attempt, TaskPhase::Waiting, None));
                            }
                        }
                        Order::Stop { task, attempt, .. } => {
                            let told = |r: &&mut TaskReport| r.task == task && r.attempt == attempt;
                            for stopped in there[at].iter_mut().filter(told) {
                                if stopped.status != TaskPhase::Exited {
                                    stopped.status = TaskPhase::Exited;
                                    stopped.cause = Some(Cause::Stopped);
                                }
                            }
                        }
                        Order::Forget { task, attempt } => {
                            there[at].retain(|r| r.task != task || r.attempt != attempt);
                        }
                    }
                }
            }
        }
        let again = begun.iter().any(|(_, _, attempt)| *attempt == Attempt(5));
        assert!(!again, "{cause:?}: {begun:?}");
        assert!(begun.len() >= 2, "{cause:?}: it is started anew: {begun:?}");
    }
}
