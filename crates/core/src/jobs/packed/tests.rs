//! Packed assignment records: round trip, size, and errors on damaged text.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn assignment(task: u32, attempt: u64, host: &str, zone: &str) -> AssignmentRow {
    (task, Attempt(attempt), HostId::new(host), WorkerSession(1), Zone::new(zone))
}

fn random_assignments(rng: &mut ChaCha8Rng, first: u32) -> Vec<AssignmentRow> {
    let names = ["i-", "m", "", "węzeł-", "a-b-0"];
    let prefix = names[rng.random_range(0..names.len())];
    let mut assignments = Vec::new();
    for task in
        (first..first + TASKS_PER_CHUNK).filter(|_| rng.random_bool(0.7)).collect::<Vec<_>>()
    {
        let number: u64 = rng.random::<u64>() >> rng.random_range(0..64);
        let host = match rng.random_range(0..6) {
            0 => format!("odd.{number}.name"),
            1 => format!("{prefix}{number}"),
            _ => format!("{prefix}{:06}", number % 3_000_000),
        };
        let attempt = (rng.random_range(0..4u64) << 40) + rng.random_range(0..5_000u64);
        let attempt = if rng.random_bool(0.02) { u64::MAX } else { attempt };
        let session = if rng.random_bool(0.05) { rng.random() } else { rng.random_range(1..4) };
        let zone = Zone::new(["a", "b", "c"][rng.random_range(0..3)]);
        assignments.push((
            task,
            Attempt(attempt),
            HostId::new(&host),
            WorkerSession(session),
            zone,
        ));
    }
    assignments
}

fn random_charges(rng: &mut ChaCha8Rng, first: u32) -> ChargeRecord {
    if rng.random_bool(0.5) {
        return ChargeRecord::default();
    }
    let row = |n: u32| (first + n, [0, 1, u16::MAX][n as usize % 3], n % 4 + 1);
    ChargeRecord {
        hosts: vec![HostId::new("i-7"), HostId::new("i-8")],
        excused: vec![1],
        rows: (0..rng.random_range(0..TASKS_PER_CHUNK)).map(row).collect(),
        last_gang_attempt: rng.random_bool(0.5).then(|| Attempt(rng.random())),
    }
}

#[test]
fn packed_records_round_trip() {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first = rng.random_range(0..1_041) * TASKS_PER_CHUNK;
        let assignments = random_assignments(&mut rng, first);
        let charges = random_charges(&mut rng, first);
        let text = pack(first, &assignments, &charges);
        assert_eq!(unpack(&text), Ok(Unpacked { assignments, charges }), "seed {seed}");
    }
}

/// 96 assignments made by two leaders, on 96 machines of a large fleet, take at most 12 characters each.
#[test]
fn a_full_chunk_packs_small() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let assignments: Vec<AssignmentRow> = (0..TASKS_PER_CHUNK)
            .map(|task| {
                let leader = if rng.random_bool(0.5) { 412u64 } else { 91_234 };
                let attempt = (leader << 20) + rng.random_range(0..20_000u64);
                let host = format!("i-{:06}", rng.random_range(0..4_000));
                assignment(task, attempt, &host, ["a", "b", "c"][rng.random_range(0..3)])
            })
            .collect();
        let text = pack(0, &assignments, &ChargeRecord::default());
        assert!(text.len() <= 96 * 12, "seed {seed}: {} bytes", text.len());
    }
}

/// Reading damaged text never panics; truncated text and values out of range are errors.
#[test]
fn a_damaged_packed_record_is_rejected() {
    let assignments = [assignment(3, 7, "i-000001", "a"), assignment(4, 9, "i-000002", "b")];
    let text = pack(0, &assignments, &ChargeRecord::default());
    for length in 0..text.len() {
        assert!(unpack(&text[..length]).is_err(), "truncated to {length}");
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..5_000 {
        let mut bytes = text.clone().into_bytes();
        let at = rng.random_range(0..bytes.len());
        bytes[at] = rng.random_range(32..127);
        let _ = unpack(std::str::from_utf8(&bytes).unwrap());
    }
    assert!(matches!(unpack("!"), Err(PackedError::Base64(_))));
    let out_of_range = pack(0, &[assignment(96, 1, "i-1", "a")], &ChargeRecord::default());
    assert_eq!(unpack(&out_of_range), Err(PackedError::Row { row: 0, field: "task" }));
}
