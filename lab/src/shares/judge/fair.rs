//! What each tenant was due, and what came of a span.

use super::{Part, Rules, TenantFigures, Window, LOOSE};
use crate::shares::max_min;

/// What each was due in each second, of all that was answered in it: no more than it asked, nor than its cap lets through.
pub(super) fn fair(rules: &Rules, tenants: &mut [TenantFigures], count: usize) {
    let weights: Vec<f64> = tenants.iter().map(|tenant| rules.weight(&tenant.name)).collect();
    let through = |tenant: &TenantFigures| match tenant.cap {
        Some(cap) if tenant.held_ms > 0.0 => f64::from(cap) * 1e3 / tenant.held_ms,
        _ => f64::INFINITY,
    };
    let through: Vec<f64> = tenants.iter().map(through).collect();
    for second in 0..count {
        let of = |tenant: &TenantFigures| tenant.seconds[second];
        let asked = tenants.iter().zip(&through).map(|(tenant, most)| (of(tenant).asked as f64).min(*most));
        let asked: Vec<f64> = asked.collect();
        let weighted = tenants.iter().zip(&weights).filter(|(_, weight)| **weight > 0.0);
        let capacity: usize = weighted.map(|(tenant, _)| of(tenant).got).sum();
        let due = max_min(capacity as f64, &asked, &weights);
        tenants.iter_mut().zip(due).for_each(|(tenant, due)| tenant.seconds[second].fair = due);
    }
}

/// What came of whole seconds.
pub(super) fn window(
    rules: &Rules,
    tenants: &[TenantFigures],
    works: &[(f64, f64)],
    (from, to): (f64, f64),
) -> Window {
    let places = || (from.ceil() as usize..to.floor() as usize).filter(|place| *place < works.len());
    let mean = |sum: f64| sum / places().count().max(1) as f64;
    let part = |tenant: &TenantFigures| {
        let seconds = || places().map(|place| tenant.seconds[place]);
        Part {
            name: tenant.name.clone(),
            asked: seconds().map(|s| s.asked).sum(),
            got: seconds().map(|s| s.got).sum(),
            fair: seconds().map(|s| s.fair).sum(),
            in_hand: mean(seconds().map(|s| s.in_hand).sum()),
            wanted: tenant.cap.map_or(0.0, |cap| {
                // By Little's law.
                let asked = mean(seconds().map(|s| s.asked as f64).sum()) * tenant.held_ms / 1e3;
                asked.min(f64::from(cap))
            }),
            ..Part::default()
        }
    };
    let mut parts: Vec<Part> = tenants.iter().filter(|t| rules.weight(&t.name) > 0.0).map(part).collect();
    let of_second = |place: usize| {
        let weighted = tenants.iter().filter(|t| rules.weight(&t.name) > 0.0);
        weighted.map(|tenant| tenant.seconds[place].in_hand).collect()
    };
    due(rules, &mut parts, &places().map(of_second).collect::<Vec<_>>());
    let could: f64 = places().map(|place| works[place].0.min(rules.capacity)).sum();
    let done: f64 = places().map(|place| works[place].1).sum();
    Window { from_s: from, to_s: to, used: if could > 0.0 { done / could } else { 0.0 }, tenants: parts }
}

/// What each was due of the calls that all had in hand, over all and in each second.
fn due(rules: &Rules, parts: &mut [Part], seconds: &[Vec<f64>]) {
    let cap = |name: &str| rules.caps.iter().find(|(of, _)| of == name).map(|(_, calls)| f64::from(*calls));
    // What one of its calls adds to the mean. Of whom nothing was answered nobody knows that: it is due its whole share.
    let held = |part: &Part| if part.got > 0 { part.in_hand / part.got as f64 } else { f64::INFINITY };
    let wants = |part: &Part| match part.asked {
        0 => 0.0,
        asked => (asked as f64 * held(part)).min(cap(&part.name).unwrap_or(f64::INFINITY)),
    };
    let wants: Vec<f64> = parts.iter().map(wants).collect();
    let weights: Vec<f64> = parts.iter().map(|part| rules.weight(&part.name)).collect();
    let dues = |in_hand: &[f64]| max_min(in_hand.iter().sum(), &wants, &weights);
    let by_second: Vec<(&[f64], Vec<f64>)> = seconds.iter().map(|of| (of.as_slice(), dues(of))).collect();
    let whole: Vec<f64> = parts.iter().map(|part| part.in_hand).collect();
    for (at, (part, due)) in parts.iter_mut().zip(dues(&whole)).enumerate() {
        part.due = due;
        // Who wants more than it is due has calls waiting at every moment: nothing of it is missing at the edges.
        let limited = due < wants[at];
        part.loose = if limited { 0.0 } else { LOOSE * held(part) };
        let had = by_second.iter().filter(|(_, due)| due[at] > 0.0).map(|(had, due)| had[at] / due[at]);
        part.usual = if limited { middle(had.collect()) } else { 1.0 };
    }
}

/// The middle one; of an even number the mean of both.
fn middle(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    let at = |place: usize| of.get(place).copied().unwrap_or(1.0);
    match of.len() {
        0 => 1.0,
        count => (at((count - 1) / 2) + at(count / 2)) / 2.0,
    }
}
