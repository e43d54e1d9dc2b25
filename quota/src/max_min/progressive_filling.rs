//! Weighted max-min fairness in whole permits, without regard to earlier allocations.
//!
//! Source: progressive filling, Bertsekas and Gallager, *Data Networks* (2nd edition, 1992), section 6.5.2.
//! Permits left over by rounding go to the largest remainders, and to the lower index where these are equal.
//! All arithmetic is exact, in integers.

/// Demand of one claimant, which is a tenant or a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Weight relative to the other claimants; 0 counts as 1.
    pub weight: u64,
    /// Permits that the claimant gets before any claimant gets more than its minimum, if there are enough
    /// permits for all minimums.
    pub minimum: u32,
    /// Permits that the claimant can use; a value below `minimum` counts as `minimum`.
    pub wanted: u32,
}

impl Demand {
    /// Returns the highest number of permits that the claimant can get: `wanted`, but at least `minimum`.
    pub(super) fn max(&self) -> u32 {
        self.wanted.max(self.minimum)
    }

    /// Returns the weight, where 0 counts as 1.
    pub(super) fn effective_weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Permits that are still to be divided by weight, and the total weight of the claimants that get them.
struct Remainder {
    permits: u64,
    weight: u128,
}

/// Allocates `total` permits to the claimants of `demands`, by weighted max-min fairness. No claimant gets
/// more than it wants. Apart from minimums and rounding, no claimant gets more permits per weight than any
/// claimant whose demand is not met. The result adds up to `total`, or to less if all demands are met.
pub fn allocate_max_min(total: u32, demands: &[Demand]) -> Vec<u32> {
    let minimums: u64 = demands.iter().map(|demand| u64::from(demand.minimum)).sum();
    if minimums < u64::from(total) {
        return allocate_above_minimums(total, demands);
    }
    // If there are too few permits for all minimums, each claimant counts as wanting only its minimum, and no
    // minimum is guaranteed.
    let minimums: Vec<Demand> =
        demands.iter().map(|demand| Demand { minimum: 0, wanted: demand.minimum, ..*demand }).collect();
    allocate_above_minimums(total, &minimums)
}

/// Raises all claimants to the same number of permits per weight, called the level. A claimant whose minimum
/// is above the level gets its minimum, which lowers the level of the other claimants; therefore such
/// claimants are determined first.
fn allocate_above_minimums(total: u32, demands: &[Demand]) -> Vec<u32> {
    // True for claimants that get exactly their minimum.
    let mut is_fixed = vec![false; demands.len()];
    loop {
        let at_minimum = |(is_fixed, demand): (&bool, &Demand)| is_fixed.then_some(demand.minimum);
        let mut allocated: Vec<Option<u32>> = is_fixed.iter().zip(demands).map(at_minimum).collect();
        let fixed_permits: u64 = allocated.iter().flatten().map(|permits| u64::from(*permits)).sum();
        let remainder =
            satisfy_smallest_demands(u64::from(total).saturating_sub(fixed_permits), demands, &mut allocated);
        let is_below_minimum = |index: &usize| {
            let demand = &demands[*index];
            let share = u128::from(remainder.permits) * demand.effective_weight();
            allocated[*index].is_none() && share < u128::from(demand.minimum) * remainder.weight
        };
        let below: Vec<usize> = (0..demands.len()).filter(is_below_minimum).collect();
        if below.is_empty() {
            return divide_remainder(&remainder, demands, &allocated);
        }
        below.into_iter().for_each(|index| is_fixed[index] = true);
    }
}

/// Meets the demands of all claimants that want no more than the level gives them. Returns the permits and
/// the weight that remain for the claimants with higher demands.
fn satisfy_smallest_demands(permits: u64, demands: &[Demand], allocated: &mut [Option<u32>]) -> Remainder {
    let mut unallocated: Vec<usize> =
        (0..demands.len()).filter(|index| allocated[*index].is_none()).collect();
    // In ascending order of demand per weight, compared without division.
    unallocated.sort_by(|a, b| {
        let (a, b) = (&demands[*a], &demands[*b]);
        let (a_level, b_level) =
            (u128::from(a.max()) * b.effective_weight(), u128::from(b.max()) * a.effective_weight());
        a_level.cmp(&b_level)
    });
    let weight = unallocated.iter().map(|index| demands[*index].effective_weight()).sum();
    let mut remainder = Remainder { permits, weight };
    for index in unallocated {
        let demand = &demands[index];
        let share = u128::from(remainder.permits) * demand.effective_weight();
        if u128::from(demand.max()) * remainder.weight > share {
            break;
        }
        allocated[index] = Some(demand.max());
        remainder.permits -= u64::from(demand.max());
        remainder.weight -= demand.effective_weight();
    }
    remainder
}

/// Divides the remaining permits by weight among the claimants without an allocation. Permits left over by
/// rounding down go to the largest remainders.
#[expect(clippy::cast_possible_truncation, reason = "a share is at most the total, which is 32 bits")]
fn divide_remainder(remainder: &Remainder, demands: &[Demand], allocated: &[Option<u32>]) -> Vec<u32> {
    let mut unassigned = remainder.permits;
    let mut fractions = Vec::new();
    let mut permits: Vec<u32> = allocated.iter().map(|permits| permits.unwrap_or(0)).collect();
    for (index, demand) in demands.iter().enumerate().filter(|(index, _)| allocated[*index].is_none()) {
        let share = u128::from(remainder.permits) * demand.effective_weight();
        permits[index] = (share / remainder.weight) as u32;
        unassigned -= u64::from(permits[index]);
        fractions.push((share % remainder.weight, index));
    }
    fractions.sort_by(|(a, first), (b, second)| b.cmp(a).then(first.cmp(second)));
    // Rounding down leaves fewer permits than there are claimants in this division.
    fractions.iter().take(unassigned as usize).for_each(|(_, index)| permits[*index] += 1);
    permits
}

/// Divides all `total` permits in proportion to `weights`.
pub fn allocate_by_weight(total: u32, weights: &[u64]) -> Vec<u32> {
    let demand = |weight: &u64| Demand { weight: *weight, minimum: 0, wanted: u32::MAX };
    let demands: Vec<Demand> = weights.iter().map(demand).collect();
    allocate_max_min(total, &demands)
}
