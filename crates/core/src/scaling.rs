//! Rates of jobs, the target N*, and the additive increase and multiplicative decrease (AIMD) of
//! rented cores.

use crate::constants::ALPHA_CORES;

/// What one job demands of the control loop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Remaining work r in core-seconds.
    pub work: f64,
    /// Time left d in seconds.
    pub left_s: f64,
    /// Maximum number of cores that the job can use at once.
    pub max_cores: f64,
}

impl Demand {
    /// s = r / d with d at least one tick, capped at what the job can use.
    pub fn rate(&self, tick_s: f64) -> f64 {
        (self.work / self.left_s.max(tick_s)).min(self.max_cores).max(0.0)
    }
}

/// The factor by which all rates are scaled, given target N* and rented cores N.
pub fn rate_factor(target: f64, rented: f64, beta: f64) -> f64 {
    if target <= 0.0 {
        1.0
    } else if target > rented + ALPHA_CORES {
        (rented + ALPHA_CORES) / target
    } else if target < beta * rented {
        beta * rented / target
    } else {
        1.0
    }
}

/// An array's demand for rented cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrayDemand {
    /// Its rate in cores.
    pub rate: f64,
    /// Core equivalents of a task.
    pub task_cores: f64,
    /// Tasks left.
    pub tasks_left: u32,
}

/// The rate that each array gets when the sum is scaled by `factor`. A factor above 1 applies to
/// all alike. A factor below 1 cuts the sum: the arrays with the least work left get their full
/// rates and the others take longer, since with an even cut all of them were late.
pub fn scaled_rates(demands: &[ArrayDemand], factor: f64) -> Vec<f64> {
    if factor >= 1.0 {
        return demands.iter().map(|demand| demand.rate * factor).collect();
    }
    let work = |index: usize| demands[index].task_cores * f64::from(demands[index].tasks_left);
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| work(*a).total_cmp(&work(*b)));
    let mut remaining = factor * demands.iter().map(|demand| demand.rate).sum::<f64>();
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        shares[index] = demands[index].rate.min(remaining);
        remaining -= shares[index];
    }
    shares
}

/// Bounds of rented cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoreBounds {
    pub min: f64,
    pub max: f64,
}

/// One AIMD step: the N of the next tick.
pub fn aimd_step(rented: f64, target: f64, bounds: CoreBounds, beta: f64) -> f64 {
    let next =
        if rented <= target { (rented + ALPHA_CORES).min(bounds.max) } else { beta * rented };
    next.max(bounds.min.min(bounds.max))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// When scaled down, the sum is that of the Dithen paper; the least work left is served first.
    #[test]
    fn reduced_rates_serve_least_work_first() {
        let demand = |rate, left| ArrayDemand { rate, task_cores: 2.0, tasks_left: left };
        let demands = [demand(40.0, 900), demand(10.0, 20), demand(30.0, 100)];
        assert_eq!(scaled_rates(&demands, 0.5), [0.0, 10.0, 30.0]);
        assert_eq!(scaled_rates(&demands, 0.9), [32.0, 10.0, 30.0]);
        assert_eq!(scaled_rates(&demands, 1.5), [60.0, 15.0, 45.0]);
    }

    #[test]
    fn rate_is_work_over_time_left() {
        let demand = Demand { work: 1200.0, left_s: 60.0, max_cores: 100.0 };
        assert_eq!(demand.rate(1.0), 20.0);
        let late = Demand { left_s: -5.0, ..demand };
        assert_eq!(late.rate(10.0), 100.0);
    }

    /// Computed by hand: N* = 100, N = 45, α = 5 gives 50/100; N* = 45, N = 100, β = 0.9 gives
    /// 90/45.
    #[test]
    fn rate_factor_matches_paper() {
        assert_eq!(rate_factor(100.0, 45.0, 0.9), 0.5);
        assert_eq!(rate_factor(45.0, 100.0, 0.9), 2.0);
        assert_eq!(rate_factor(95.0, 100.0, 0.9), 1.0);
        assert_eq!(rate_factor(104.0, 100.0, 0.9), 1.0);
        assert_eq!(rate_factor(0.0, 100.0, 0.9), 1.0);
    }

    #[test]
    fn steps_add_alpha_or_cut_by_beta_within_bounds() {
        let bounds = CoreBounds { min: 20.0, max: 52.0 };
        assert_eq!(aimd_step(40.0, 40.0, bounds, 0.9), 45.0);
        assert_eq!(aimd_step(50.0, 90.0, bounds, 0.9), 52.0);
        assert_eq!(aimd_step(50.0, 10.0, bounds, 0.9), 45.0);
        assert_eq!(aimd_step(21.0, 10.0, bounds, 0.9), 20.0);
        assert_eq!(aimd_step(0.0, 10.0, bounds, 0.9), 20.0);
    }
}
