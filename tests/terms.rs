//! What one controller says and takes up across its terms: answers that come late, from before, or while it reads its book.

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

fn cancelled() -> serde_json::Value {
    let status = JobStatus::Cancelled;
    json!(FinalRecord { status, done: 0, failure: None, spent: None, part: None })
}

fn report(tally: u64, tasks: Vec<TaskReport>) -> Request {
    Request::Report(Box::new(Report {
        host: HostId::new("i-1"),
        addr: "10.0.0.9:1".into(),
        flavor: "g4".into(),
        zone: Zone::new("a"),
        spot: false,
        session: WorkerSession(1),
        report_seq: ReportSeq(tally),
        token: Token(0),
        notice_s: None,
        tasks,
    }))
}

fn running(task: &str) -> TaskReport {
    TaskReport {
        task: task.into(),
        attempt: Attempt(5),
        status: TaskPhase::Running,
        cause: None,
        stored: false,
        ran_ms: None,
    }
}

/// A job that was cancelled, one task of which is on a machine by the records.
fn with_a_cancelled_job() -> Solo {
    let mut solo = Solo::new();
    let record = ChunkRecord {
        done: String::new(),
        assignments: vec![(0, Attempt(5), HostId::new("i-1"), WorkerSession(1), Zone::new("a"))],
        size: ("blue".into(), 1.0, 1.0, 1.0, 2),
        charges: Default::default(),
        usage: Default::default(),
    };
    solo.write(vec![
        Change::put("over/req-1".into(), cancelled()),
        Change::put("asg/req-1/0000".into(), json!(record)),
    ]);
    solo
}

/// Guards against a new leader that answers, and so keeps tasks alive for another lease, before it has read that their
/// job was cancelled: with a state service that went away just then they outlived `cancel_s`.
#[test]
fn a_new_leader_answers_no_report_before_it_has_read_its_book() {
    for released in [true, false] {
        let mut solo = with_a_cancelled_job();
        solo.holds_reply = |op| matches!(op, StoreOp::List { .. });
        solo.advance(500);
        assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads");
        let conn = solo.send_request(report(1, vec![running("req-1/0")]));
        solo.advance(1_000);
        assert_eq!(solo.reply(conn), None, "nothing is said while the book is being read");
        if released {
            solo.holds_reply = |_| false;
            solo.release_held();
            solo.advance(100);
            let reply = solo.reply(conn).expect("it has read its book");
            let answer: ReportAnswer = serde_json::from_str(&reply.body).unwrap();
            let stops =
                matches!(&answer.orders[..], [Order::Stop { task, .. }] if task == "req-1/0");
            assert!(reply.status == 200 && stops, "{answer:?}");
        } else {
            solo.advance(2_500);
            assert_eq!(solo.reply(conn).map(|r| r.status), Some(503), "its worker goes elsewhere");
        }
    }
}

/// Guards against an answer that is full of what ended and renews the lease of what it does not stop.
#[test]
fn stops_come_before_all_else_that_an_answer_holds() {
    let mut solo = with_a_cancelled_job();
    solo.advance(500);
    let mut tasks: Vec<TaskReport> = (0..400)
        .map(|n| TaskReport {
            status: TaskPhase::Exited,
            cause: Some(ExitCause::Stopped),
            ..running(&format!("req-2/{n}"))
        })
        .collect();
    tasks.push(running("req-1/0"));
    let conn = solo.send_request(report(1, tasks));
    let reply = solo.reply(conn).expect("it has orders");
    let answer: ReportAnswer = serde_json::from_str(&reply.body).unwrap();
    let first = answer.orders.first();
    assert!(matches!(first, Some(Order::Stop { task, .. }) if task == "req-1/0"), "{first:?}");
    assert_eq!(answer.orders.len(), 300);
}

/// Guards against an answer of before this term, held up on its way: a job that another leader had cancelled meanwhile
/// was taken up as open, called queued, and its first record could never be written, nor anything else beside it.
#[test]
fn what_was_asked_before_a_term_opens_no_job_in_it() {
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
            Change::put("over/req-7".into(), cancelled()),
            Change::Delete { key: "live/req-7".into() },
        ]);
        solo.state.execute(solo.now, &StoreOp::Revoke { lease });
        solo.advance(1_000);
        assert!(solo.controller.valid_token(solo.clock().mono).is_some(), "it leads now");
        solo.holds_reply = |_| false;
        solo.release_held();
        assert!(
            solo.controller.leader_term().is_some_and(|reign| reign.job_table.get(&id).is_none())
        );
        let conn = solo.send_request(Request::View(id.clone()));
        solo.advance(100);
        let said = solo.reply(conn).map(|reply| reply.body.contains("cancelled"));
        assert_eq!(said, Some(true), "lookup {lookup}: {:?}", solo.reply(conn));
    }
}

/// Guards against a job that is made anew by a repeated or late submission though it is over.
#[test]
fn a_job_that_is_over_is_not_accepted_again() {
    let mut solo = Solo::new();
    solo.set_other_leader();
    solo.advance(500);
    solo.write(vec![Change::put("over/req-6".into(), cancelled())]);
    let conn = solo.send_request(Request::Submit(Submission::Spec(Box::new(spec("req-6")))));
    let said = solo.reply(conn).map(|reply| (reply.status, reply.body.contains("cancelled")));
    assert_eq!(said, Some((200, true)));
    assert!(solo.state.rows("live/").is_empty());
}

/// Guards against a leader's write that is carried out once another leads: that one would go on with a job of which users
/// are told elsewhere that it is cancelled.
#[test]
fn what_a_leader_wrote_is_void_once_another_leads() {
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
    assert_eq!(solo.held.len(), 1, "its end is under way");
    let lease = solo.state.rows("lead")[0].lease.expect("the seat has a lease");
    solo.state.execute(solo.now, &StoreOp::Revoke { lease });
    solo.set_other_leader();
    solo.release_held();
    assert!(solo.state.rows("over/").is_empty() && solo.state.rows("live/").len() == 1);
}

/// Guards against a book that is read anew under the same token: a write of before could be applied after it was read,
/// and its answer made assignments durable that were never written.
#[test]
fn a_watch_that_fell_behind_ends_the_term() {
    let mut solo = Solo::new();
    solo.advance(1_000);
    let before = solo.controller.valid_token(solo.clock().mono).expect("it leads");
    let at =
        solo.watches.iter().position(|(_, prefix, _)| prefix == LIVE_PREFIX).expect("it watches");
    let (id, ..) = solo.watches.remove(at);
    solo.event(Event::Store { id, reply: StoreReply::TooOld });
    assert_eq!(solo.controller.valid_token(solo.clock().mono), None);
    solo.advance(6_000);
    let after = solo.controller.valid_token(solo.clock().mono).expect("it leads again");
    assert!(after > before, "{before:?} {after:?}");
    // What is accepted elsewhere is seen though the watch of the earlier term is still open.
    let record = LiveRecord { spec: spec("req-8"), wall_ms: 1_000_000, part: None };
    solo.write(vec![Change::put("live/req-8".into(), json!(record))]);
    solo.advance(200);
    let open = |solo: &Solo| {
        solo.controller
            .leader_term()
            .is_some_and(|r| r.job_table.get(&JobId::new("req-8")).is_some())
    };
    assert!(open(&solo));
}

/// Guards against one that stood still and then passes on what a leader had said of a job long before: its user may have
/// heard of the job's end elsewhere meanwhile.
#[test]
fn what_a_leader_said_long_ago_is_not_passed_on() {
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
