//! Randomized exponential backoff between the attempts of a task.

use crate::constants::{BACKOFF_JITTER, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS};
use oatloom_protocol::ids::{Attempt, Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Delay after failure number `failures` (1 for the first), which ended `attempt`. The attempt number seeds the
/// jitter: attempt numbers are never reused, so each delay is drawn anew, yet the same events give the same delays.
pub fn delay(failures: u32, attempt: Attempt) -> Millis {
    let doublings = failures.saturating_sub(1).min(16);
    let base_ms = (INITIAL_BACKOFF_MS.0 << doublings).min(MAX_BACKOFF_MS.0) as f64;
    let mut rng = ChaCha8Rng::seed_from_u64(attempt.0);
    Millis((base_ms * (1.0 + rng.random_range(-BACKOFF_JITTER..BACKOFF_JITTER))) as u64)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Delays grow, stay within bounds, and differ between tasks that failed together.
    #[test]
    fn delays_grow_are_bounded_and_spread() {
        let mean = |failures: u32| {
            let delays = (0..200).map(|a| delay(failures, Attempt(a)).0);
            let (min, max) = (delays.clone().min().unwrap(), delays.clone().max().unwrap());
            let base_ms =
                (INITIAL_BACKOFF_MS.0 << (failures - 1).min(16)).min(MAX_BACKOFF_MS.0) as f64;
            assert!(min as f64 >= base_ms * 0.69 && max as f64 <= base_ms * 1.31, "{failures}");
            assert!(max - min > (base_ms * 0.4) as u64, "{failures}: not spread");
            delays.sum::<u64>() / 200
        };
        assert!(mean(1) < mean(2) && mean(2) < mean(4));
        assert!(mean(60) <= MAX_BACKOFF_MS.0 * 11 / 10);
        assert_eq!(delay(3, Attempt(7)), delay(3, Attempt(7)));
    }
}
