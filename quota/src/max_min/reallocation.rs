//! The division that is used: the previous one for as long as it is still good.

use super::progressive_filling::{allocate_by_weight, allocate_max_min, Demand};

/// Divides all `total` permits: by [`allocate_max_min`], and what nobody wants by weight, so that whoever wants more next has some at
/// hand. One that has the right number within a permit, by the `previous` division, keeps it; and so does one that has what
/// it wants and half of what it would be lent. So steady demand moves nothing, and a change moves only what it must.
pub fn reallocate(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    Division::new(total, demands, allocate_max_min(total, demands)).keep(previous)
}

/// The same among tenants. Where all want more than they get by two permits or more, no demand that changes by one moves a
/// permit: then the exact division is used, so that what was lent goes back. Not among processes: what each of them wants
/// changes by more than one, and permits that are on their way are of use to none of them.
pub fn reallocate_tenants(total: u32, demands: &[Demand], previous: &[u32]) -> Vec<u32> {
    let exact = allocate_max_min(total, demands);
    let had_any = |place: usize| previous.get(place).copied().unwrap_or(0) > 0;
    // Short by more than the one by which a demand changes; or without any demand for good.
    let is_short = |place: usize| match demands[place].max() {
        0 => !had_any(place),
        max => exact[place] + 1 < max,
    };
    let is_used_up = exact.iter().sum::<u32>() == total;
    if is_used_up && (0..demands.len()).all(is_short) {
        return exact;
    }
    Division::new(total, demands, exact).keep(previous)
}

/// A division, and how far from it each may be left.
struct Division<'a> {
    total: u32,
    demands: &'a [Demand],
    /// What each gets of what is wanted.
    exact: Vec<u32>,
    /// What nobody wants, and is lent.
    spare: u32,
    weight: u128,
}

impl<'a> Division<'a> {
    fn new(total: u32, demands: &'a [Demand], exact: Vec<u32>) -> Division<'a> {
        let spare = total - exact.iter().sum::<u32>().min(total);
        let weight = demands.iter().map(Demand::effective_weight).sum();
        Division { total, demands, exact, spare, weight }
    }

    /// Keeps of the previous division what is still good.
    fn keep(self, previous: &[u32]) -> Vec<u32> {
        let weights: Vec<u64> = self.demands.iter().map(|demand| demand.weight).collect();
        let lent = allocate_by_weight(self.spare, &weights);
        let targets: Vec<u32> = self.exact.iter().zip(&lent).map(|(exact, lent)| exact + lent).collect();
        let kept_or_target = |(place, target): (usize, &u32)| {
            let kept = previous.get(place).copied().filter(|previous| self.is_good(place, *previous));
            kept.unwrap_or(*target)
        };
        let mut permits: Vec<u32> = targets.iter().enumerate().map(kept_or_target).collect();
        balance(self.total, &mut permits, &targets);
        permits
    }

    /// Whether one is left alone with so many permits. None is left without any, or below its minimum.
    fn is_good(&self, place: usize, permits: u32) -> bool {
        let exact = self.exact[place];
        if self.spare == 0 {
            let minimum = exact.min(self.demands[place].minimum.max(1));
            let fewest = exact.saturating_sub(1).max(minimum);
            return (fewest..=exact.saturating_add(1)).contains(&permits);
        }
        let lent = self.lent(place);
        let most = exact.saturating_add(lent).saturating_add(2 + lent / 2);
        (exact + lent / 2..=most).contains(&permits)
    }

    /// Whole permits that one is lent. They count here without remainders, which go from one to another with each change.
    #[expect(clippy::cast_possible_truncation, reason = "a part of the spare permits, which are 32 bits")]
    fn lent(&self, place: usize) -> u32 {
        (u128::from(self.spare) * self.demands[place].effective_weight() / self.weight) as u32
    }
}

/// Brings the sum to `total`, by moving those that are farthest from their target towards it, so that what is left of the
/// distances is level. The sum of the targets is `total`.
fn balance(total: u32, permits: &mut [u32], targets: &[u32]) {
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
    for (place, (distance, remaining)) in distances.into_iter().zip(remaining).enumerate() {
        let moved = distance - remaining;
        permits[place] = if is_above { permits[place] - moved } else { permits[place] + moved };
    }
}
