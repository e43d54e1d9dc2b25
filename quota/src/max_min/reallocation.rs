//! Reallocation with hysteresis: keeps the previous allocation while it is close enough to the fair one.

use super::progressive_filling::{allocate_by_weight, allocate_max_min, Demand};

/// Allocates all `total` permits: the demands by [`allocate_max_min`], and unclaimed permits by weight, so
/// that a claimant whose demand rises has spare permits at once. A claimant keeps its `previous` permits if
/// they differ from its fair allocation by at most one, or, while there are unclaimed permits, if they cover
/// its demand and half of its part of the unclaimed ones. Steady demand therefore moves no permit.
pub fn reallocate(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    Allocation::new(total, demands, allocate_max_min(total, demands)).keep_previous(previous)
}

/// Reallocates permits among tenants. If all permits are claimed and each tenant with a demand is short by at
/// least two, a demand that changes by one moves no permit, so the exact allocation is used and lent permits
/// return to their owners. This does not suit processes: their demands change by more than one, and permits
/// that are being moved between processes cannot be used by either.
pub fn reallocate_tenants(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    let exact = allocate_max_min(total, demands);
    let had_permits = |index: usize| previous.get(index).copied().unwrap_or(0) > 0;
    // A tenant is short if it lacks at least two permits, or if it has neither demand nor permits.
    let is_short = |index: usize| match demands[index].max() {
        0 => !had_permits(index),
        max => exact[index] + 1 < max,
    };
    let is_all_claimed = exact.iter().sum::<u32>() == total;
    if is_all_claimed && (0..demands.len()).all(is_short) {
        return exact;
    }
    Allocation::new(total, demands, exact).keep_previous(previous)
}

/// A fair allocation, with the tolerance within which previous allocations are kept.
struct Allocation<'a> {
    total: u32,
    demands: &'a [Demand],
    /// Allocation of the demands, without unclaimed permits.
    exact: Vec<u32>,
    /// Permits that no demand claims, and that are lent.
    unclaimed: u32,
    weight: u128,
}

impl<'a> Allocation<'a> {
    fn new(total: u32, demands: &'a [Demand], exact: Vec<u32>) -> Allocation<'a> {
        let unclaimed = total - exact.iter().sum::<u32>().min(total);
        let weight = demands.iter().map(Demand::effective_weight).sum();
        Allocation { total, demands, exact, unclaimed, weight }
    }

    /// Keeps previous allocations that are within the tolerance, then corrects the sum.
    fn keep_previous(self, previous: &[u32]) -> Vec<u32> {
        let weights: Vec<u64> = self.demands.iter().map(|demand| demand.weight).collect();
        let lent = allocate_by_weight(self.unclaimed, &weights);
        let targets: Vec<u32> = self.exact.iter().zip(&lent).map(|(exact, lent)| exact + lent).collect();
        let kept_or_target = |(index, target): (usize, &u32)| {
            let kept =
                previous.get(index).copied().filter(|previous| self.is_within_tolerance(index, *previous));
            kept.unwrap_or(*target)
        };
        let mut permits: Vec<u32> = targets.iter().enumerate().map(kept_or_target).collect();
        correct_sum(self.total, &mut permits, &targets);
        permits
    }

    /// Returns whether a claimant keeps `permits`. A claimant with a demand never keeps 0 permits, or fewer
    /// than its minimum.
    fn is_within_tolerance(&self, index: usize, permits: u32) -> bool {
        let exact = self.exact[index];
        if self.unclaimed == 0 {
            let minimum = exact.min(self.demands[index].minimum.max(1));
            let lower_bound = exact.saturating_sub(1).max(minimum);
            return (lower_bound..=exact.saturating_add(1)).contains(&permits);
        }
        let lent = self.lent(index);
        let upper_bound = exact.saturating_add(lent).saturating_add(2 + lent / 2);
        (exact + lent / 2..=upper_bound).contains(&permits)
    }

    /// Unclaimed permits lent to a claimant, rounded down. Rounding by the largest remainder would change the
    /// result of other claimants with every change of a demand.
    #[expect(clippy::cast_possible_truncation, reason = "a part of the unclaimed permits, which are 32 bits")]
    fn lent(&self, index: usize) -> u32 {
        (u128::from(self.unclaimed) * self.demands[index].effective_weight() / self.weight) as u32
    }
}

/// Brings the sum of `permits` to `total`, which is the sum of the targets. Moves the claimants that are
/// farthest from their targets, so that the remaining distances are as equal as possible.
fn correct_sum(total: u32, permits: &mut [u32], targets: &[u32]) {
    let sum: u64 = permits.iter().map(|permits| u64::from(*permits)).sum();
    let is_above = sum >= u64::from(total);
    let distance = |(permits, target): (&u32, &u32)| {
        if is_above {
            permits.saturating_sub(*target)
        } else {
            target.saturating_sub(*permits)
        }
    };
    let distances: Vec<u32> = permits.iter().zip(targets).map(distance).collect();
    let total_distance: u64 = distances.iter().map(|distance| u64::from(*distance)).sum();
    let remaining = total_distance.saturating_sub(sum.abs_diff(u64::from(total)));
    let remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
    let demand = |distance: &u32| Demand { weight: 1, minimum: 0, wanted: *distance };
    let demands: Vec<Demand> = distances.iter().map(demand).collect();
    let remaining = allocate_max_min(remaining, &demands);
    for (index, (distance, remaining)) in distances.into_iter().zip(remaining).enumerate() {
        let moved = distance - remaining;
        permits[index] = if is_above { permits[index] - moved } else { permits[index] + moved };
    }
}
