//! Packed lists of dependencies.

use super::*;
use crate::jobs::LiveRecord;
use crate::jobs::tests::spec;
use oatloom_protocol::wire::Shape;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ids(rng: &mut ChaCha8Rng, count: usize) -> Vec<JobId> {
    let numbers = sample(rng, 1_000_000, count);
    numbers.into_iter().map(|number| JobId::new(&format!("req-{number:06}"))).collect()
}

fn sorted(mut ids: Vec<JobId>) -> Vec<JobId> {
    ids.sort();
    ids
}

/// Ids of other lengths round-trip as well, and damaged text is an error rather than a shorter list.
#[test]
fn packed_lists_round_trip() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(0..400);
        let mut list = ids(&mut rng, count);
        if rng.random_bool(0.5) {
            list.push(JobId::new("req-1"));
            list.push(JobId::new("req-99999999999999999999"));
        }
        let packed = pack(&list);
        assert_eq!(sorted(unpack(&packed).unwrap()), sorted(list));
    }
    assert!(matches!(unpack("*"), Err(DependencyListError::Base64(_))));
    assert!(matches!(
        unpack("AAH"),
        Err(DependencyListError::Base64(_) | DependencyListError::Decode(_))
    ));
}

/// A job with five hundred dependencies fits the smallest announced value limit, 2 KiB; a short list is stored as the
/// user submitted it.
#[test]
fn a_record_with_five_hundred_dependencies_fits_two_kib() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut dependent = spec("req-1", Shape::Array, 1);
    dependent.dependencies = ids(&mut rng, 500);
    let record = LiveRecord { spec: dependent.clone(), wall_ms: 1, part: None };
    let text = serde_json::to_string(&record).unwrap();
    assert!(text.len() < 1_950, "{} bytes", text.len());
    let decoded: LiveRecord = serde_json::from_str(&text).unwrap();
    assert_eq!(sorted(decoded.spec.dependencies), sorted(dependent.dependencies.clone()));
    dependent.dependencies.truncate(3);
    let record = LiveRecord { spec: dependent.clone(), wall_ms: 1, part: None };
    let value = serde_json::to_value(&record).unwrap();
    assert_eq!(value["s"]["awaits"].as_array().map(Vec::len), Some(3));
    // A record with a damaged list is an error, not a job without dependencies.
    let damaged = text.replace("\"w\":\"", "\"w\":\"*");
    assert!(serde_json::from_str::<LiveRecord>(&damaged).is_err());
}
