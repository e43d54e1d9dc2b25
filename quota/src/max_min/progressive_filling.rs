//! Weighted max-min in whole permits.
//!
//! Source: progressive filling, Bertsekas and Gallager, *Data Networks* (2nd edition, 1992), section 6.5.2; the remainder
//! of whole permits goes by the largest remainder, then by the order. Exact: it computes with whole numbers alone.

/// One that wants permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Its weight relative to the others'; 0 counts as 1.
    pub weight: u64,
    /// Permits that it gets before any other gets more, where there are enough.
    pub minimum: u32,
    /// Permits that it can use; fewer than `minimum` count as that many.
    pub wanted: u32,
}

impl Demand {
    /// The most permits that it gets.
    pub(super) fn max(&self) -> u32 {
        self.wanted.max(self.minimum)
    }

    /// Its weight, at least 1.
    pub(super) fn effective_weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// What is left to be divided by weight alone, among those of this total weight.
struct Remainder {
    permits: u64,
    weight: u128,
}

/// How many of `total` permits each gets: none gets more than it wants, and none gets more, by weight, while another that
/// wants more has less, but for the minimums and a part of a permit. The sum is at most `total`, and less only where all
/// have what they want.
pub fn allocate_max_min(total: u32, demands: &[Demand]) -> Vec<u32> {
    let minimums: u64 = demands.iter().map(|demand| u64::from(demand.minimum)).sum();
    if minimums < u64::from(total) {
        return fill_above_minimums(total, demands);
    }
    // There is not even enough for the minimums: these are what is divided.
    let minimums: Vec<Demand> =
        demands.iter().map(|demand| Demand { minimum: 0, wanted: demand.minimum, ..*demand }).collect();
    fill_above_minimums(total, &minimums)
}

/// Fills to one level. Those whose minimum is above it are fixed first, as they lower it for the others; then those that
/// want less than it.
fn fill_above_minimums(total: u32, demands: &[Demand]) -> Vec<u32> {
    // Those that are fixed at their minimum.
    let mut is_fixed = vec![false; demands.len()];
    loop {
        let at_minimum = |(is_fixed, demand): (&bool, &Demand)| is_fixed.then_some(demand.minimum);
        let mut given: Vec<Option<u32>> = is_fixed.iter().zip(demands).map(at_minimum).collect();
        let fixed: u64 = given.iter().flatten().map(|permits| u64::from(*permits)).sum();
        let remainder = fill_smallest(u64::from(total).saturating_sub(fixed), demands, &mut given);
        let is_below_minimum = |place: &usize| {
            let demand = &demands[*place];
            let share = u128::from(remainder.permits) * demand.effective_weight();
            given[*place].is_none() && share < u128::from(demand.minimum) * remainder.weight
        };
        let below: Vec<usize> = (0..demands.len()).filter(is_below_minimum).collect();
        if below.is_empty() {
            return divide_remainder(&remainder, demands, &given);
        }
        below.into_iter().for_each(|place| is_fixed[place] = true);
    }
}

/// Gives those that want less than the level all that they want. Returns what is left for the others.
fn fill_smallest(permits: u64, demands: &[Demand], given: &mut [Option<u32>]) -> Remainder {
    let mut open: Vec<usize> = (0..demands.len()).filter(|place| given[*place].is_none()).collect();
    // By what they want for their weight.
    open.sort_by(|a, b| {
        let (a, b) = (&demands[*a], &demands[*b]);
        let (a_level, b_level) =
            (u128::from(a.max()) * b.effective_weight(), u128::from(b.max()) * a.effective_weight());
        a_level.cmp(&b_level)
    });
    let weight = open.iter().map(|place| demands[*place].effective_weight()).sum();
    let mut remainder = Remainder { permits, weight };
    for place in open {
        let demand = &demands[place];
        let share = u128::from(remainder.permits) * demand.effective_weight();
        if u128::from(demand.max()) * remainder.weight > share {
            break;
        }
        given[place] = Some(demand.max());
        remainder.permits -= u64::from(demand.max());
        remainder.weight -= demand.effective_weight();
    }
    remainder
}

/// Divides what is left by weight, with whole permits by the largest remainder.
#[expect(clippy::cast_possible_truncation, reason = "a share is at most the total, which is 32 bits")]
fn divide_remainder(remainder: &Remainder, demands: &[Demand], given: &[Option<u32>]) -> Vec<u32> {
    let mut left = remainder.permits;
    let mut fractions = Vec::new();
    let mut permits: Vec<u32> = given.iter().map(|permits| permits.unwrap_or(0)).collect();
    for (place, demand) in demands.iter().enumerate().filter(|(place, _)| given[*place].is_none()) {
        let share = u128::from(remainder.permits) * demand.effective_weight();
        permits[place] = (share / remainder.weight) as u32;
        left -= u64::from(permits[place]);
        fractions.push((share % remainder.weight, place));
    }
    fractions.sort_by(|(a, first), (b, second)| b.cmp(a).then(first.cmp(second)));
    // What is left is less than one permit for each of them.
    fractions.iter().take(left as usize).for_each(|(_, place)| permits[*place] += 1);
    permits
}

/// Divides `total` by weight alone, in whole permits: what is lent where all have what they want.
pub fn allocate_by_weight(total: u32, weights: &[u64]) -> Vec<u32> {
    let demand = |weight: &u64| Demand { weight: *weight, minimum: 0, wanted: u32::MAX };
    let demands: Vec<Demand> = weights.iter().map(demand).collect();
    allocate_max_min(total, &demands)
}
