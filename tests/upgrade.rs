//! Rolling upgrades: detection that no member runs the previous version, and state service limits that are lowered afterwards.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::{Controller, Event};
use oatloom_core::jobs::ChunkRecord;
use oatloom_core::operators::OperatorSettings;
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::*;
use oatloom_protocol::wire::{Change, Report, TaskPhase, TaskReport};
use world::solo::Solo;

fn announce(solo: &mut Solo, member: &str, version: u64) -> Revision {
    let value = serde_json::json!({ "v": version });
    solo.write(vec![Change::put(format!("version/{member}"), value)])
}

/// Guards against writing a new record format while a member without a version key may still run the previous version, and
/// against reverting the switch when version keys are missing later.
#[test]
fn the_upgrade_is_complete_once_every_member_announced_its_version() {
    let mut solo = Solo::new();
    solo.advance(3_000);
    let own = solo.state.rows("version/");
    assert_eq!(own.len(), 1, "{own:?}");
    assert_eq!((own[0].key.as_str(), &own[0].value), ("version/n-0", &serde_json::json!({"v": 2})));
    assert!(!solo.controller.all_upgraded());
    announce(&mut solo, "n-1", 2);
    announce(&mut solo, "n-2", 1);
    // The key of a non-member is ignored.
    announce(&mut solo, "n-7", 2);
    solo.advance(3_000);
    assert!(!solo.controller.all_upgraded(), "one member shows an earlier version");
    announce(&mut solo, "n-2", 2);
    solo.advance(3_000);
    assert!(solo.controller.all_upgraded());
    let written = solo.state.history().iter();
    let own = written.filter(|change| change.put.as_deref() == Some("version/n-0")).count();
    assert_eq!(own, 1, "its own key is written once");
    // The keys are not read any more, and the result is final.
    solo.write(vec![Change::Delete { key: "version/n-1".into() }]);
    solo.advance(5_000);
    assert!(solo.controller.all_upgraded());
}

/// Guards against a second write of the version key by a restarted process, and against endless reads after a lost reply.
#[test]
fn a_version_key_is_written_once_despite_a_lost_reply_and_a_restart() {
    let mut solo = Solo::new();
    // The write of its own key is applied, and the reply is lost.
    solo.holds_reply = |op| matches!(op, StoreOp::Txn(_)) && format!("{op:?}").contains("version/");
    solo.execute_held = true;
    solo.advance(2_000);
    solo.holds_reply = |_| false;
    assert_eq!(solo.held.len(), 1, "{:?}", solo.held);
    for (id, ..) in std::mem::take(&mut solo.held) {
        solo.event(Event::Store { id, reply: StoreReply::Lost });
    }
    for member in ["n-1", "n-2"] {
        announce(&mut solo, member, 2);
    }
    solo.advance(3_000);
    assert!(solo.controller.all_upgraded());
    let mut restarted = Solo::new();
    restarted.state = std::mem::take(&mut solo.state);
    restarted.advance(3_000);
    assert!(restarted.controller.all_upgraded());
    let is_own_key = |change: &&oatloom_protocol::wire::LoggedChange| {
        change.put.as_deref() == Some("version/n-0")
    };
    assert_eq!(restarted.state.history().iter().filter(is_own_key).count(), 1);
}

// --- Lowered limits ----------------------------------------------------------------------------------

/// Announced future limits, in force from the start of each test below: two changes fewer than a full transaction.
const NEXT_LIMITS: &str =
    "txn_ops = 16\nnext = { rps = 60.0, write_rps = 18.0, value_kb = 2.0, txn_ops = 5 }\n";

/// Whether the state service refuses this with 400 after its limits were lowered.
fn exceeds_lowered_limits(op: &StoreOp) -> bool {
    let StoreOp::Txn(txn) = op else { return false };
    let is_too_long = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len() > 2 * 1_024,
        Change::Delete { .. } => false,
    };
    txn.changes.len() > 5 || txn.changes.iter().any(is_too_long)
}

/// The same for a service whose limits are lower than it announced.
fn exceeds_two_changes(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Txn(txn) if txn.changes.len() > 2) || exceeds_lowered_limits(op)
}

fn host(n: u64) -> String {
    format!("i-{n:06}")
}

/// A leading controller whose state service refuses operations over the lowered limits.
struct LoweredLimits {
    solo: Solo,
    refused: Vec<StoreOp>,
    report_seq: u64,
}

impl LoweredLimits {
    fn new(refuses: fn(&StoreOp) -> bool, upgraded: bool) -> Self {
        let settings = world::settings(&world::SETTINGS.replace("txn_ops = 16\n", NEXT_LIMITS), 0);
        let controller = Controller::new(settings, OperatorSettings::default(), 7);
        let mut solo = Solo::new();
        (solo.controller, solo.holds_reply) = (controller, refuses);
        for member in ["n-1", "n-2"].iter().filter(|_| upgraded) {
            announce(&mut solo, member, 2);
        }
        solo.advance(6_000);
        assert!(solo.controller.holds_leader_key() && solo.controller.all_upgraded() == upgraded);
        Self { solo, refused: Vec::new(), report_seq: 0 }
    }

    /// Advances time; each machine reports every three seconds and runs what it was assigned.
    fn run(&mut self, machines: u64, seconds: u64) {
        for step in 0..seconds * 4 {
            if step % 12 == 0 {
                self.report_seq += 1;
                let assigned = self.durable_assignments();
                (0..machines).for_each(|n| self.report(n, &assigned));
            }
            self.solo.advance(250);
            for (id, op, _) in std::mem::take(&mut self.solo.held) {
                self.refused.push(op);
                let reply = StoreReply::Malformed("400 over the limit".into());
                self.solo.event(Event::Store { id, reply });
            }
        }
    }

    /// All durable assignments.
    fn durable_assignments(&self) -> Vec<(JobId, u32, Attempt, HostId)> {
        let mut assigned = Vec::new();
        for row in self.solo.state.rows("asg/") {
            let (job, _) = oatloom_core::jobs::parse_chunk_key(&row.key).unwrap();
            let record: ChunkRecord = serde_json::from_value(row.value).unwrap();
            let rows = record.assignments.into_iter();
            assigned
                .extend(rows.map(|(task, attempt, host, ..)| (job.clone(), task, attempt, host)));
        }
        assigned
    }

    fn report(&mut self, machine: u64, assigned: &[(JobId, u32, Attempt, HostId)]) {
        let host = HostId::new(&host(machine));
        let running = assigned.iter().filter(|(.., on)| *on == host);
        let running = running.map(|(job, task, attempt, _)| TaskReport {
            task: format!("{job}/{task}"),
            attempt: *attempt,
            status: TaskPhase::Running,
            cause: None,
            stored: false,
            ran_ms: None,
        });
        let token = self.solo.controller.valid_token(self.solo.clock().mono).unwrap_or_default();
        let report = Report {
            host: host.clone(),
            addr: "10.0.0.9:1".into(),
            flavor: "g4".into(),
            zone: Zone::new("a"),
            spot: false,
            session: WorkerSession(1),
            report_seq: ReportSeq(self.report_seq),
            token,
            notice_s: None,
            tasks: running.collect(),
        };
        self.solo.send_request(Request::Report(Box::new(report)));
    }

    fn submit(&mut self, id: &str, tasks: u32) -> u16 {
        let mut spec = world::small_array(id, 10);
        spec.tasks = tasks;
        spec.team = "blue".into();
        let conn = self.solo.send_request(Request::Submit(Submission::Spec(Box::new(spec))));
        self.run(0, 1);
        self.solo.reply(conn).map_or(0, |reply| reply.status)
    }

    fn durable_count(&self) -> usize {
        self.durable_assignments().len()
    }

    /// Number of refused transactions that were repeated unchanged and refused again.
    fn repeated_count(&self) -> usize {
        self.refused.windows(2).filter(|two| two[0] == two[1]).count()
    }
}

/// Guards against a leader that repeats a transaction over the lowered limits once or twice a second forever: nothing became
/// durable any more, and states already reported to users were lost.
#[test]
fn jobs_start_and_finish_under_lowered_limits() {
    let mut lowered = LoweredLimits::new(exceeds_lowered_limits, true);
    for n in 0..12 {
        assert_eq!(lowered.submit(&format!("req-{n}"), 40), 201);
    }
    lowered.run(96, 30);
    assert!(lowered.durable_count() >= 96, "{} assignments are durable", lowered.durable_count());
    assert!(lowered.refused.is_empty(), "{} were refused", lowered.refused.len());
    let abort = lowered.solo.send_request(Request::Abort(JobId::new("req-3")));
    lowered.run(96, 3);
    assert_eq!(lowered.solo.reply(abort).map(|reply| reply.status), Some(200));
    assert_eq!(lowered.solo.state.rows("over/").len(), 1);
}

/// Limits below the announced ones are found by splitting transactions: none is repeated unchanged, and all writes succeed.
#[test]
fn limits_lower_than_announced_are_found_by_splitting() {
    let mut lowered = LoweredLimits::new(exceeds_two_changes, true);
    for n in 0..12 {
        assert_eq!(lowered.submit(&format!("req-{n}"), 40), 201);
    }
    lowered.run(96, 40);
    assert!(lowered.durable_count() >= 96, "{} assignments are durable", lowered.durable_count());
    assert!(
        !lowered.refused.is_empty() && lowered.repeated_count() == 0,
        "{} twice",
        lowered.repeated_count()
    );
    for n in 0..12 {
        lowered.solo.send_request(Request::Abort(JobId::new(&format!("req-{n}"))));
    }
    lowered.run(96, 20);
    assert_eq!(lowered.solo.state.rows("over/").len(), 12);
    // A larger transaction is tried once per several successful ones.
    assert!(lowered.refused.len() < 40, "{} were refused", lowered.refused.len());
}

/// Records keep the format of the previous version until all members are known to run this one; then they are packed.
#[test]
fn records_are_packed_only_once_every_member_can_read_them() {
    let count_packed = |lowered: &LoweredLimits| {
        let rows = lowered.solo.state.rows("asg/");
        assert!(!rows.is_empty());
        rows.iter().filter(|row| row.value.get("p").is_some()).count()
    };
    let mut mixed = LoweredLimits::new(|_| false, false);
    assert_eq!(mixed.submit("req-1", 40), 201);
    mixed.run(40, 10);
    assert!(mixed.durable_count() > 0);
    assert_eq!(count_packed(&mixed), 0, "a member may be of the earlier version");
    announce(&mut mixed.solo, "n-1", 2);
    announce(&mut mixed.solo, "n-2", 2);
    mixed.run(40, 3);
    assert_eq!(mixed.submit("req-2", 40), 201);
    mixed.run(40, 10);
    assert!(count_packed(&mixed) > 0);
}
