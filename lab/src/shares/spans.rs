//! Spans of time: how many stand over a moment, and where none does.

use crate::model::node::Micros;

/// A span, its end not in it.
pub(super) type Span = (Micros, Micros);

/// The most that stand over one moment, and each stretch with more than `bound` of them: from, to, the most in it.
pub(super) fn crowd(spans: &[Span], bound: u32) -> (u32, Vec<(Micros, Micros, u32)>) {
    let mut turns: Vec<(Micros, i32)> = Vec::with_capacity(spans.len() * 2);
    for &(from, to) in spans.iter().filter(|(from, to)| from < to) {
        turns.extend([(from, 1), (to, -1)]);
    }
    // At one moment those that end come before those that begin.
    turns.sort_unstable();
    let (mut now, mut most, mut over) = (0_i32, 0_u32, Vec::new());
    let mut above: Option<(Micros, u32)> = None;
    for (at, turn) in turns {
        now += turn;
        let count = now.max(0).unsigned_abs();
        most = most.max(count);
        above = match (above, count > bound) {
            (None, true) => Some((at, count)),
            (Some((from, peak)), true) => Some((from, peak.max(count))),
            (Some((from, peak)), false) => {
                over.push((from, at, peak));
                None
            }
            (None, false) => None,
        };
    }
    (most, over)
}

/// The union of spans that may overlap, in order.
pub(super) fn union(mut spans: Vec<Span>) -> Vec<Span> {
    spans.retain(|(from, to)| from < to);
    spans.sort_unstable();
    let mut joined: Vec<Span> = Vec::new();
    for (from, to) in spans {
        match joined.last_mut() {
            Some(last) if from <= last.1 => last.1 = last.1.max(to),
            _ => joined.push((from, to)),
        }
    }
    joined
}

/// What is left of one span without others, which are in order and apart.
pub(super) fn without((mut from, to): Span, others: &[Span]) -> Vec<Span> {
    let mut left = Vec::new();
    for &(begins, ends) in others.iter().filter(|other| other.0 < to) {
        if begins > from {
            left.push((from, begins));
        }
        from = from.max(ends);
    }
    if from < to {
        left.push((from, to));
    }
    left
}

#[cfg(test)]
mod tests;
