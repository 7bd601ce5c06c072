//! The Kalman filter of the Dithen paper, which estimates the cost of one task of a job in
//! core-seconds.

use crate::constants::{MEASUREMENT_VARIANCE, PROCESS_VARIANCE};

/// Estimate of a job's cost per task. Starts with b and p at 0, as in the Dithen paper.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kalman {
    b: f64,
    p: f64,
    /// Whether it has had a measurement.
    measured: bool,
}

impl Kalman {
    /// One filter step with the last tick's measurement, in core-seconds per task.
    pub fn update(&mut self, measurement: f64) {
        let prior = self.p + PROCESS_VARIANCE;
        let gain = prior / (prior + MEASUREMENT_VARIANCE);
        self.b += gain * (measurement - self.b);
        self.p = (1.0 - gain) * prior;
        self.measured = true;
    }

    /// Estimated core-seconds per task, once there is a measurement.
    pub fn cost(&self) -> Option<f64> {
        self.measured.then_some(self.b)
    }
}

/// Averages the completions of one tick into the tick's measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    sum: f64,
    count: u32,
}

impl Measurement {
    pub fn add(&mut self, core_seconds: f64) {
        self.sum += core_seconds;
        self.count += 1;
    }

    /// Returns the mean and starts the next tick.
    pub fn take(&mut self) -> Option<f64> {
        let mean = (self.count > 0).then(|| self.sum / f64::from(self.count));
        *self = Self::default();
        mean
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Computed by hand: p⁻ = 0.5, k = 0.5, b = 50, p = 0.25; then p⁻ = 0.75, k = 0.6, b = 80, p =
    /// 0.3.
    #[test]
    fn matches_paper_computed_by_hand() {
        let mut filter = Kalman::default();
        assert_eq!(filter.cost(), None);
        filter.update(100.0);
        assert!((filter.b - 50.0).abs() < 1e-9 && (filter.p - 0.25).abs() < 1e-9);
        filter.update(100.0);
        assert!((filter.b - 80.0).abs() < 1e-9 && (filter.p - 0.3).abs() < 1e-9);
    }

    #[test]
    fn gain_settles_near_six_tenths() {
        let mut filter = Kalman::default();
        (0..50).for_each(|_| filter.update(0.0));
        let prior = filter.p + PROCESS_VARIANCE;
        let gain = prior / (prior + MEASUREMENT_VARIANCE);
        assert!((gain - 0.618).abs() < 0.001, "{gain}");
    }

    #[test]
    fn a_tick_without_completions_measures_nothing() {
        let mut tick = Measurement::default();
        assert_eq!(tick.take(), None);
        tick.add(10.0);
        tick.add(20.0);
        assert_eq!(tick.take(), Some(15.0));
        assert_eq!(tick.take(), None);
    }
}
