//! Three paced clients at one state service whose change budget falls without notice.

use oatloom_core::store::{Lane, StoreClient, StoreOp, StoreReply};
use oatloom_protocol::ids::{LeaseId, Mono, Revision};
use oatloom_protocol::settings::{NextStateFacts, StateFacts};
use oatloom_protocol::wire::{Change, Txn};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FALL_MS: u64 = 20_000;
const END_MS: u64 = 80_000;
const STEP_MS: u64 = 10;

/// A budget of the service: one second's worth of burst.
struct Budget {
    rate: f64,
    level: f64,
}

impl Budget {
    fn take(&mut self, changes: f64) -> bool {
        let fits = self.level >= changes;
        self.level -= if fits { changes } else { 0.0 };
        fits
    }

    fn pass(&mut self) {
        self.level = (self.level + self.rate * STEP_MS as f64 / 1e3).min(self.rate);
    }
}

fn changes(number: usize) -> StoreOp {
    let delete = |n| Change::Delete { key: format!("asg/{n}") };
    StoreOp::Txn(Txn { conditions: Vec::new(), changes: (0..number).map(delete).collect() })
}

#[derive(Clone, Copy, PartialEq)]
enum What {
    Written,
    Submitted,
    Renewed,
}

#[derive(Default, Debug)]
struct Seen {
    throttled_late: u32,
    written_late: usize,
    submitted: u32,
    turned_away: u32,
    renewals_held: u32,
}

/// The leader always has a transaction to write; submissions come to all three.
fn play(seed: u64) -> Seen {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let next = NextStateFacts { write_rps: Some(18.0), ..NextStateFacts::default() };
    let facts =
        StateFacts { rps: 80.0, write_rps: 25.0, value_kb: 8.0, txn_ops: 16, next: Some(next) };
    let mut clients: Vec<StoreClient<What>> = (0..3).map(|_| StoreClient::new(&facts, 3)).collect();
    clients[0].lead(true);
    let mut budget = Budget { rate: facts.write_rps, level: facts.write_rps };
    let mut seen = Seen::default();
    let mut writing = false;
    for ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = Mono(1_000_000 + ms);
        if ms == FALL_MS {
            budget.rate = facts.strictest().write_rps;
        }
        budget.pass();
        let late = ms >= FALL_MS + 2_000;
        for (at, client) in clients.iter_mut().enumerate() {
            let mut sent = Vec::new();
            if at == 0 && !writing {
                writing = true;
                let _ = client.submit(now, Lane::Write, changes(5), What::Written, &mut sent);
            }
            if rng.random_bool(0.008) {
                let submitted =
                    client.submit(now, Lane::Open, changes(1), What::Submitted, &mut sent);
                seen.turned_away += u32::from(submitted.is_err());
            }
            if ms % 1_000 == 0 {
                let before = sent.len();
                let touch = StoreOp::Touch { lease: LeaseId(1) };
                let _ = client.submit(now, Lane::Vital, touch, What::Renewed, &mut sent);
                seen.renewals_held += u32::from(sent.len() == before);
            }
            client.pump(now, &mut sent);
            for id in client.expired(now) {
                seen.turned_away += 1;
                let _ = client.answered(now, id, &StoreReply::Unsent, 0.0);
            }
            for (id, _, op) in sent {
                let cost = if let StoreOp::Txn(txn) = &op { txn.changes.len() } else { 0 };
                let taken = budget.take(cost as f64);
                let reply =
                    if taken { StoreReply::Committed(Revision(1)) } else { StoreReply::Throttled };
                let what = client.answered(now, id, &reply, rng.random());
                writing &= what != Some(What::Written);
                if !taken {
                    client.keep_to(&facts.strictest());
                    seen.throttled_late += u32::from(late);
                } else if what == Some(What::Written) && late {
                    seen.written_late += cost;
                } else if what == Some(What::Submitted) {
                    seen.submitted += 1;
                }
            }
        }
    }
    seen
}

/// Within two seconds the pace is that of the new budget: hardly anything is refused, most of the budget is used, no
/// renewal waits, and no submission is turned away.
#[test]
fn the_pace_follows_a_budget_that_falls() {
    for seed in 0..20 {
        let seen = play(seed);
        let seconds = (END_MS - FALL_MS - 2_000) as f64 / 1e3;
        assert!(f64::from(seen.throttled_late) / seconds < 0.2, "seed {seed}: {seen:?}");
        assert!(seen.written_late as f64 / seconds > 18.0 * 0.55, "seed {seed}: {seen:?}");
        assert_eq!((seen.renewals_held, seen.turned_away), (0, 0), "seed {seed}: {seen:?}");
        assert!(seen.submitted > 150, "seed {seed}: {seen:?}");
    }
}
