//! Weighted max-min in whole units.
//!
//! Source: progressive filling, Bertsekas and Gallager, *Data Networks* (2nd edition, 1992), section 6.5.2; the remainder
//! of whole units by the largest remainder, then by the order. Exact: only whole numbers are computed with.

/// One that wants units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Want {
    /// Its weight beside the others; 0 counts as 1.
    pub weight: u64,
    /// Units that it gets before anybody gets more, where there are enough.
    pub least: u32,
    /// Units that it can use; fewer than `least` count as that many.
    pub demand: u32,
}

impl Want {
    pub(super) fn most(&self) -> u32 {
        self.demand.max(self.least)
    }

    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// How many of `total` units each gets: nobody gets more than it wants, and nobody gets more, by weight, while another
/// that wants more has less, but for the least units and a part of a unit. The sum is at most `total`, and less only where
/// all have what they want.
pub fn fill(total: u32, wants: &[Want]) -> Vec<u32> {
    let least: u64 = wants.iter().map(|want| u64::from(want.least)).sum();
    if least >= u64::from(total) {
        // Not even that is there: it is what is divided.
        let wants: Vec<Want> =
            wants.iter().map(|want| Want { least: 0, demand: want.least, ..*want }).collect();
        return level(total, &wants);
    }
    level(total, wants)
}

/// Fills to one level: those under it by their least units are fixed first, as they lower it for the others; then those
/// that want less than it.
fn level(total: u32, wants: &[Want]) -> Vec<u32> {
    let mut given: Vec<Option<u32>> = vec![None; wants.len()];
    // Those that are fixed at their least units.
    let mut low = vec![false; wants.len()];
    loop {
        given.iter_mut().zip(&low).zip(wants).for_each(|((given, low), want)| {
            *given = low.then_some(want.least);
        });
        let fixed: u64 = given.iter().flatten().map(|units| u64::from(*units)).sum();
        let (rest, weight) = fill_up(u64::from(total).saturating_sub(fixed), wants, &mut given);
        let under = |at: usize| {
            let want = &wants[at];
            given[at].is_none() && u128::from(rest) * want.weight() < u128::from(want.least) * weight
        };
        let under: Vec<usize> = (0..wants.len()).filter(|at| under(*at)).collect();
        if under.is_empty() {
            return largest_remainder(rest, weight, wants, &given);
        }
        under.into_iter().for_each(|at| low[at] = true);
    }
}

/// Gives those that want less than the level all that they want; what is left for the others, and their weight.
fn fill_up(mut rest: u64, wants: &[Want], given: &mut [Option<u32>]) -> (u64, u128) {
    let mut order: Vec<usize> = (0..wants.len()).filter(|at| given[*at].is_none()).collect();
    // By what they want for their weight.
    order.sort_by(|a, b| {
        let (a, b) = (&wants[*a], &wants[*b]);
        (u128::from(a.most()) * b.weight()).cmp(&(u128::from(b.most()) * a.weight()))
    });
    let mut weight: u128 = order.iter().map(|at| wants[*at].weight()).sum();
    for at in order {
        let want = &wants[at];
        if u128::from(want.most()) * weight > u128::from(rest) * want.weight() {
            break;
        }
        given[at] = Some(want.most());
        rest -= u64::from(want.most());
        weight -= want.weight();
    }
    (rest, weight)
}

fn largest_remainder(rest: u64, weight: u128, wants: &[Want], given: &[Option<u32>]) -> Vec<u32> {
    let mut left = rest;
    let mut parts = Vec::new();
    let mut units: Vec<u32> = given.iter().map(|units| units.unwrap_or(0)).collect();
    for (at, want) in wants.iter().enumerate().filter(|(at, _)| given[*at].is_none()) {
        let part = u128::from(rest) * want.weight();
        units[at] = (part / weight) as u32;
        left -= u64::from(units[at]);
        parts.push((part % weight, at));
    }
    parts.sort_by(|(a, first), (b, second)| b.cmp(a).then(first.cmp(second)));
    // What is left is less than one for each of them.
    parts.iter().take(left as usize).for_each(|(_, at)| units[*at] += 1);
    units
}

/// `total` units by weight alone, in whole units: what is lent where all have what they want.
pub fn spread(total: u32, weights: &[u64]) -> Vec<u32> {
    let wants: Vec<Want> =
        weights.iter().map(|weight| Want { weight: *weight, least: 0, demand: u32::MAX }).collect();
    fill(total, &wants)
}
