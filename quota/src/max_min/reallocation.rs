//! Reallocation with hysteresis: a claimant keeps its previous permits if they are close enough to the fair
//! allocation, so that small changes of demand move no permits.

use super::progressive_filling::{allocate_by_weight, allocate_max_min, Demand};

/// Allocates all `total` permits. Demands are met by [`allocate_max_min`]; permits that no claimant wants are
/// divided by weight, so that a claimant whose demand rises can use more permits at once. A claimant keeps
/// its `previous` permits if they differ by at most one from the fair allocation. If there are unclaimed
/// permits, which no claimant wants, the tolerance is wider: half of the unclaimed permits that are due to
/// the claimant, and two more permits upwards.
pub fn reallocate(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    Allocation::new(total, demands, allocate_max_min(total, demands)).keep_previous(previous)
}

/// Allocates like [`reallocate`], but without hysteresis if all permits are claimed and every tenant with
/// demand gets at least two permits fewer than it wants. In this case a demand that changes by one moves no
/// permits anyway, and a permit that was lent has to return to its owner. Not used among processes: their
/// demands change by more than one, and a permit that moves between processes is not usable until the move is
/// confirmed.
pub fn reallocate_tenants(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    let exact = allocate_max_min(total, demands);
    let had_permits = |index: usize| previous.get(index).copied().unwrap_or(0) > 0;
    // True for a tenant that lacks at least two permits, and for a tenant without demand and without previous
    // permits, which takes no part.
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

/// Fair allocation, which previous permits are compared with to decide whether a claimant keeps them.
struct Allocation<'a> {
    total: u32,
    demands: &'a [Demand],
    /// Permits that each claimant gets by its demand, without a portion of the unclaimed permits.
    exact: Vec<u32>,
    /// Permits that no claimant wants, and that are lent by weight.
    unclaimed: u32,
    weight: u128,
}

impl<'a> Allocation<'a> {
    fn new(total: u32, demands: &'a [Demand], exact: Vec<u32>) -> Allocation<'a> {
        let unclaimed = total - exact.iter().sum::<u32>().min(total);
        let weight = demands.iter().map(Demand::effective_weight).sum();
        Allocation { total, demands, exact, unclaimed, weight }
    }

    /// Lets each claimant keep its previous permits if they are within the tolerance, then adapts the sum to
    /// the total.
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

    /// Returns whether the claimant may keep `permits` of the previous allocation. A claimant with a demand
    /// must keep at least one permit, and no claimant less than its minimum.
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

    /// Returns how many unclaimed permits are lent to the claimant, rounded down. Largest remainders are
    /// ignored here, because they move between claimants with each change of a demand.
    #[expect(clippy::cast_possible_truncation, reason = "a part of the unclaimed permits, which are 32 bits")]
    fn lent(&self, index: usize) -> u32 {
        (u128::from(self.unclaimed) * self.demands[index].effective_weight() / self.weight) as u32
    }
}

/// Changes the permits so that they add up to `total`, which is also the sum of `targets`. Claimants farthest
/// from their targets change first, so that the distances that remain are as equal as possible.
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
