//! A controller across its leader terms: replies that arrive late, from before the term, or while it loads its job table.

#[allow(dead_code)]
mod world;

use oatloom_core::api::{Request, Submission};
use oatloom_core::controller::Event;
use oatloom_core::jobs::{ChunkRecord, FinalRecord, LIVE_PREFIX, LiveRecord};
use oatloom_core::store::{StoreOp, StoreReply};
use oatloom_protocol::ids::*;
use oatloom_protocol::reply::HttpReply;
use oatloom_protocol::wire::*;
use serde_json::json;
use world::small_array;
use world::solo::Solo;

fn spec(id: &str) -> JobSpec {
    small_array(id, 9)
}

fn cancelled_record() -> serde_json::Value {
    let status = JobStatus::Cancelled;
    json!(FinalRecord { status, done: 0, failure: None, spent: None, part: None })
}

fn report_request(report_seq: u64, tasks: Vec<TaskReport>) -> Request {
    Request::Report(Box::new(Report {
        host: HostId::new("i-1"),
        addr: "10.0.0.9:1".into(),
        flavor: "g4".into(),
        zone: Zone::new("a"),
        spot: false,
        session: WorkerSession(1),
        report_seq: ReportSeq(report_seq),
        token: Token(0),
        notice_s: None,
        tasks,
    }))
}

fn running_task(task: &str) -> TaskReport {
    TaskReport {
        task: task.into(),
        attempt: Attempt(5),
        status: TaskPhase::Running,
        cause: None,
        stored: false,
        ran_ms: None,
    }
}

/// A cancelled job with one task that is still assigned to a machine in the stored records.
fn solo_with_cancelled_job() -> Solo {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: String::new(),
        assignments: vec![(0, Attempt(5), HostId::new("i-1"), WorkerSession(1), Zone::new("a"))],
        size: ("blue".into(), 1.0, 1.0, 1.0, 2),
        charges: Default::default(),
        usage: Default::default(),
    };
    solo.write(vec![
        Change::put("over/req-1".into(), cancelled_record()),
        Change::put("asg/req-1/0000".into(), json!(record)),
    ]);
    solo
}

/// Guards against a new leader that answers reports, and so renews the leases of tasks, before it has read that their job was
/// cancelled: if the state service failed at that moment, the tasks outlived `cancel_s`.
#[test]
fn a_new_leader_answers_no_report_before_its_job_table_is_loaded() {
    for released in [true, false] {
        let mut solo = solo_with_cancelled_job();
        solo.holds_reply = |op| matches!(op, StoreOp::List { .. });
        solo.advance(500);
        assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads");
        let conn = solo.send_request(report_request(1, vec![running_task("req-1/0")]));
        solo.advance(1_000);
        assert_eq!(solo.reply(conn), None, "no reply while the job table is loading");
        if released {
            solo.holds_reply = |_| false;
            solo.release_held();
            solo.advance(100);
            let reply = solo.reply(conn).expect("it has loaded its job table");
            let answer: ReportAnswer = serde_json::from_str(&reply.body).unwrap();
            let stops_task =
                matches!(&answer.orders[..], [Order::Stop { task, .. }] if task == "req-1/0");
            assert!(reply.status == 200 && stops_task, "{answer:?}");
        } else {
            solo.advance(2_500);
            assert_eq!(
                solo.reply(conn).map(|r| r.status),
                Some(503),
                "the worker tries another controller"
            );
        }
    }
}

/// Guards against an answer whose order limit is used up by orders for ended tasks, so that it omits a stop and renews the lease
/// of the task that should stop.
#[test]
fn stop_orders_come_first_in_a_report_answer() {
    let mut solo = solo_with_cancelled_job();
    solo.advance(500);
    let mut tasks: Vec<TaskReport> = (0..400)
        .map(|n| TaskReport {
            status: TaskPhase::Exited,
            cause: Some(ExitCause::Stopped),
            ..running_task(&format!("req-2/{n}"))
        })
        .collect();
    tasks.push(running_task("req-1/0"));
    let conn = solo.send_request(report_request(1, tasks));
    let reply = solo.reply(conn).expect("it has orders");
    let answer: ReportAnswer = serde_json::from_str(&reply.body).unwrap();
    let first = answer.orders.first();
    assert!(matches!(first, Some(Order::Stop { task, .. }) if task == "req-1/0"), "{first:?}");
    assert_eq!(answer.orders.len(), 300);
}

/// Guards against a delayed reply to a request from before this term: a job that another leader had cancelled meanwhile was
/// added to the job table as queued, and its first record could never be written, nor anything written together with it.
#[test]
fn a_reply_from_before_the_term_adds_no_job() {
    for lookup in [false, true] {
        let mut solo = Solo::new();
        let lease = solo.set_other_leader();
        solo.advance(500);
        let id = JobId::new("req-7");
        solo.execute_held = true;
        solo.holds_reply = |op| match op {
            StoreOp::Txn(txn) => txn.conditions.iter().any(|c| c.key.starts_with(LIVE_PREFIX)),
            StoreOp::Get { key } => key.starts_with(LIVE_PREFIX),
            _ => false,
        };
        if lookup {
            let record = LiveRecord { spec: spec("req-7"), wall_ms: 1_000_000, part: None };
            solo.write(vec![Change::put("live/req-7".into(), json!(record))]);
            solo.send_request(Request::View(id.clone()));
            // The leader does not answer, so the key is read.
            solo.advance(800);
        } else {
            solo.send_request(Request::Submit(Submission::Spec(Box::new(spec("req-7")))));
        }
        assert_eq!(solo.held.len(), 1);
        solo.write(vec![
            Change::put("over/req-7".into(), cancelled_record()),
            Change::Delete { key: "live/req-7".into() },
        ]);
        solo.state.execute(solo.now, &StoreOp::Revoke { lease });
        solo.advance(1_000);
        assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads now");
        solo.holds_reply = |_| false;
        solo.release_held();
        assert!(
            solo.controller.leader_term().is_some_and(|term| term.job_table.get(&id).is_none())
        );
        let conn = solo.send_request(Request::View(id.clone()));
        solo.advance(100);
        let reported = solo.reply(conn).map(|reply| reply.body.contains("cancelled"));
        assert_eq!(reported, Some(true), "lookup {lookup}: {:?}", solo.reply(conn));
    }
}

/// Guards against a repeated or late submission that recreates a finished job.
#[test]
fn a_finished_job_is_not_accepted_again() {
    let mut solo = Solo::new();
    solo.set_other_leader();
    solo.advance(500);
    solo.write(vec![Change::put("over/req-6".into(), cancelled_record())]);
    let conn = solo.send_request(Request::Submit(Submission::Spec(Box::new(spec("req-6")))));
    let reported = solo.reply(conn).map(|reply| (reply.status, reply.body.contains("cancelled")));
    assert_eq!(reported, Some((200, true)));
    assert!(solo.state.rows("live/").is_empty());
}

/// Guards against a former leader's write that takes effect after another controller leads: the new leader would continue a job
/// that other controllers report as cancelled.
#[test]
fn a_write_of_a_former_leader_has_no_effect() {
    let mut solo = Solo::new();
    solo.advance(500);
    let record = LiveRecord { spec: spec("req-5"), wall_ms: 1_000_000, part: None };
    solo.write(vec![Change::put("live/req-5".into(), json!(record))]);
    solo.advance(200);
    solo.holds_reply = |op| match op {
        StoreOp::Txn(txn) => txn.conditions.iter().any(|c| c.key.starts_with("over/")),
        _ => false,
    };
    solo.send_request(Request::Abort(JobId::new("req-5")));
    solo.advance(100);
    assert_eq!(solo.held.len(), 1, "the write of its final state is in flight");
    let lease = solo.state.rows("lead")[0].lease.expect("the leader key has a lease");
    solo.state.execute(solo.now, &StoreOp::Revoke { lease });
    solo.set_other_leader();
    solo.release_held();
    assert!(solo.state.rows("over/").is_empty() && solo.state.rows("live/").len() == 1);
}

/// Guards against reloading the job table under the same fencing token: an earlier write could be applied after the reload, and
/// its reply marked assignments as durable that were never written.
#[test]
fn a_watch_that_fell_behind_ends_the_term() {
    let mut solo = Solo::new();
    solo.advance(1_000);
    let before = solo.controller.valid_token(solo.clock().mono).expect("it leads");
    let index =
        solo.watches.iter().position(|(_, prefix, _)| prefix == LIVE_PREFIX).expect("it watches");
    let (watch_id, ..) = solo.watches.remove(index);
    solo.event(Event::Store { id: watch_id, reply: StoreReply::TooOld });
    assert_eq!(solo.controller.valid_token(solo.clock().mono), None);
    solo.advance(6_000);
    let after = solo.controller.valid_token(solo.clock().mono).expect("it leads again");
    assert!(after > before, "{before:?} {after:?}");
    // A job accepted by another controller is added although the watch of the earlier term is still open.
    let record = LiveRecord { spec: spec("req-8"), wall_ms: 1_000_000, part: None };
    solo.write(vec![Change::put("live/req-8".into(), json!(record))]);
    solo.advance(200);
    let is_open = |solo: &Solo| {
        solo.controller
            .leader_term()
            .is_some_and(|term| term.job_table.get(&JobId::new("req-8")).is_some())
    };
    assert!(is_open(&solo));
}

/// Guards against a controller that was paused and then relays an old reply of the leader about a job: the user may have read
/// the job's final state from another controller in the meantime.
#[test]
fn a_stale_leader_reply_is_not_relayed() {
    let mut solo = Solo::new();
    solo.set_other_leader();
    solo.advance(500);
    let conn = solo.send_request(Request::View(JobId::new("req-9")));
    let (id, _) = solo.peer_requests.pop().expect("the leader is asked");
    solo.now += 10_000;
    let view = json!({"nameId": "req-9", "status": "running", "done": 0, "running": 1});
    solo.event(Event::PeerReply { id, reply: Some(HttpReply::json(200, &view)) });
    assert_ne!(solo.reply(conn).map(|reply| reply.status), Some(200));
}
