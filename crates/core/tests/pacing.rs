//! Three paced clients of one state service whose change budget is reduced without notice.

use oatloom_core::store::{OpClass, StoreClient, StoreOp, StoreReply};
use oatloom_protocol::ids::{LeaseId, Mono, Revision};
use oatloom_protocol::settings::{NextStateFacts, StateFacts};
use oatloom_protocol::wire::{Change, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REDUCTION_MS: u64 = 20_000;
const END_MS: u64 = 80_000;
const STEP_MS: u64 = 10;

/// The service's change budget, with a burst of one second's worth.
struct Budget {
    rate: f64,
    level: f64,
}

impl Budget {
    fn take(&mut self, changes: f64) -> bool {
        let sufficient = self.level >= changes;
        self.level -= if sufficient { changes } else { 0.0 };
        sufficient
    }

    /// Refills the budget for one step of time.
    fn refill(&mut self) {
        self.level = (self.level + self.rate * STEP_MS as f64 / 1e3).min(self.rate);
    }
}

fn changes(number: usize) -> StoreOp {
    let delete = |n| Change::Delete { key: format!("asg/{n}") };
    StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..number).map(delete).collect() })
}

#[derive(Clone, Copy, PartialEq)]
enum Purpose {
    Write,
    Submission,
    Renewal,
}

/// Counts of a run. "Late" means from two seconds after the reduction on.
#[derive(Default, Debug)]
struct Outcome {
    throttled_late: u32,
    written_late: usize,
    submitted: u32,
    rejected: u32,
    renewals_delayed: u32,
}

/// The leader always has a transaction to write; all three clients receive submissions.
fn simulate(seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let next = NextStateFacts { write_rps: Some(18.0), ..NextStateFacts::default() };
    let facts =
        StateFacts { rps: 80.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 16, next: Some(next) };
    let mut clients: Vec<StoreClient<Purpose>> =
        (0..3).map(|_| StoreClient::new(&facts, 3)).collect();
    clients[0].set_leading(true);
    let mut budget = Budget { rate: facts.write_rps, level: facts.write_rps };
    let mut outcome = Outcome::default();
    let mut writing = false;
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = Mono(1_000_000 + ms);
        if ms == REDUCTION_MS {
            budget.rate = facts.strictest().write_rps;
        }
        budget.refill();
        let late = ms >= REDUCTION_MS + 2_000;
        for (index, client) in clients.iter_mut().enumerate() {
            let mut sent = Vec::new();
            if index == 0 && !writing {
                writing = true;
                let _ = client.submit(now, OpClass::Write, changes(5), Purpose::Write, &mut sent);
            }
            if rng.random_bool(0.008) {
                let submitted = client.submit(
                    now,
                    OpClass::General,
                    changes(1),
                    Purpose::Submission,
                    &mut sent,
                );
                outcome.rejected += u32::from(submitted.is_err());
            }
            if ms % 1_000 == 0 {
                let before = sent.len();
                let touch = StoreOp::Touch { lease: LeaseId(1) };
                let _ = client.submit(now, OpClass::Lease, touch, Purpose::Renewal, &mut sent);
                outcome.renewals_delayed += u32::from(sent.len() == before);
            }
            client.pump(now, &mut sent);
            for id in client.take_expired(now) {
                outcome.rejected += 1;
                let _ = client.complete(now, id, &StoreReply::Unsent, 0.0);
            }
            for (id, _, op) in sent {
                let change_count = if let StoreOp::Txn(txn) = &op { txn.changes.len() } else { 0 };
                let accepted = budget.take(change_count as f64);
                let reply = if accepted {
                    StoreReply::Committed(Revision(1))
                } else {
                    StoreReply::Throttled
                };
                let purpose = client.complete(now, id, &reply, rng.random());
                writing &= purpose != Some(Purpose::Write);
                if !accepted {
                    client.set_limits(&facts.strictest());
                    outcome.throttled_late += u32::from(late);
                } else if purpose == Some(Purpose::Write) && late {
                    outcome.written_late += change_count;
                } else if purpose == Some(Purpose::Submission) {
                    outcome.submitted += 1;
                }
            }
        }
    }
    outcome
}

/// Within two seconds the clients follow the reduced budget: few requests are throttled, most of the budget is used, no
/// renewal is delayed, and no submission is rejected.
#[test]
fn the_pace_follows_a_reduced_budget() {
    for seed in 0..20 {
        let outcome = simulate(seed);
        let seconds = (END_MS - REDUCTION_MS - 2_000) as f64 / 1e3;
        assert!(f64::from(outcome.throttled_late) / seconds < 0.2, "seed {seed}: {outcome:?}");
        assert!(outcome.written_late as f64 / seconds > 18.0 * 0.55, "seed {seed}: {outcome:?}");
        assert_eq!(
            (outcome.renewals_delayed, outcome.rejected),
            (0, 0),
            "seed {seed}: {outcome:?}"
        );
        assert!(outcome.submitted > 150, "seed {seed}: {outcome:?}");
    }
}
