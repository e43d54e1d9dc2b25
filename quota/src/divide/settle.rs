//! The division that is gone by: the old one for as long as it is still good.

use super::fill::{fill, spread, Want};

/// All `total` units divided: by [`fill`], and what nobody wants by weight, so that whoever wants more next has some at
/// hand. Who has the right number within a unit, by the `old` division, keeps it; and who has what it wants and half of
/// what it would be lent. So steady demand moves nothing, and a change moves only what it must.
pub fn settle(total: u32, wants: &[Want], old: &[u32]) -> Vec<u32> {
    let filled = fill(total, wants);
    keep(total, wants, old, filled)
}

/// The same among tenants. Where all want more than they get by two calls or more, no wish that moves by one moves a
/// unit: then nothing is kept but the exact division, so that what was lent goes back. Not among processes: what each of
/// them wants moves by more than a call, and units that are on the way are of use to none of them.
pub fn settle_tenants(total: u32, wants: &[Want], old: &[u32]) -> Vec<u32> {
    let filled = fill(total, wants);
    let sum: u32 = filled.iter().sum();
    let before = |at: usize| old.get(at).copied().unwrap_or(0);
    // Short by more than the call by which a wish moves; or out of it for good.
    let short = |at: usize| match wants[at].most() {
        0 => before(at) == 0,
        most => filled[at] + 1 < most,
    };
    if sum == total && (0..wants.len()).all(short) {
        return filled;
    }
    keep(total, wants, old, filled)
}

/// Keeps of the old division what is still good beside the exact one.
fn keep(total: u32, wants: &[Want], old: &[u32], filled: Vec<u32>) -> Vec<u32> {
    let sum: u32 = filled.iter().sum();
    let weights: Vec<u64> = wants.iter().map(|want| want.weight).collect();
    let lent = spread(total - sum.min(total), &weights);
    let aim: Vec<u32> = filled.iter().zip(&lent).map(|(filled, lent)| filled + lent).collect();
    // The fewest and the most with which one is left alone. Nobody is left without any, or under its least units. Whole
    // units of what is lent count here without remainders, which go from one to another with each change.
    let (weight, rest) =
        (weights.iter().map(|w| u128::from((*w).max(1))).sum::<u128>(), total - sum.min(total));
    let lent = |at: usize| (u128::from(rest) * u128::from(weights[at].max(1)) / weight) as u32;
    let fewest = |at: usize| match rest {
        0 => filled[at].saturating_sub(1).max(filled[at].min(wants[at].least.max(1))),
        _ => filled[at] + lent(at) / 2,
    };
    let most = |at: usize| match rest {
        0 => filled[at].saturating_add(1),
        _ => filled[at].saturating_add(lent(at)).saturating_add(2 + lent(at) / 2),
    };
    let kept = |at: usize| old.get(at).copied().filter(|old| (fewest(at)..=most(at)).contains(old));
    let kept: Vec<Option<u32>> = (0..wants.len()).map(kept).collect();
    let mut units: Vec<u32> = kept.iter().zip(&aim).map(|(kept, aim)| kept.unwrap_or(*aim)).collect();
    balance(total, &mut units, &aim);
    units
}

/// Brings the sum to `total`, by moving those that are farthest from their aim towards it, so that what is left of the
/// distances is level. The aims' sum is `total`.
fn balance(total: u32, units: &mut [u32], aim: &[u32]) {
    let sum: u64 = units.iter().map(|units| u64::from(*units)).sum();
    let above = sum >= u64::from(total);
    let far = |(units, aim): (&u32, &u32)| {
        if above {
            units.saturating_sub(*aim)
        } else {
            aim.saturating_sub(*units)
        }
    };
    let far: Vec<u32> = units.iter().zip(aim).map(far).collect();
    let whole: u64 = far.iter().map(|far| u64::from(*far)).sum();
    let stays = whole.saturating_sub(sum.abs_diff(u64::from(total)));
    let wants: Vec<Want> = far.iter().map(|far| Want { weight: 1, least: 0, demand: *far }).collect();
    let stays = fill(u32::try_from(stays).unwrap_or(u32::MAX), &wants);
    for (at, (far, stays)) in far.into_iter().zip(stays).enumerate() {
        units[at] = if above { units[at] - (far - stays) } else { units[at] + (far - stays) };
    }
}
