//! Exact weighted max-min fairness, as a yardstick: by water level, in real numbers.

/// What each is due of so much, by what it asks for and its weight: nobody gets more than it asks, and whoever gets less
/// has as much by its weight as anybody. What has no weight, or asks for nothing, is due nothing.
///
/// Bertsekas and Gallager, *Data Networks* (1992), 6.5.2.
pub fn max_min(capacity: f64, asked: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut due = vec![0.0; asked.len()];
    let wants = |n: &usize| asked[*n] > 0.0 && weights.get(*n).copied().unwrap_or(0.0) > 0.0;
    let mut open: Vec<usize> = (0..asked.len()).filter(wants).collect();
    // Who is filled at the lowest level comes first.
    open.sort_by(|a, b| (asked[*a] / weights[*a]).total_cmp(&(asked[*b] / weights[*b])));
    let mut left = capacity.max(0.0);
    let mut weight: f64 = open.iter().map(|&n| weights[n]).sum();
    for n in open {
        due[n] = asked[n].min(left * weights[n] / weight);
        left -= due[n];
        weight -= weights[n];
    }
    due
}

#[cfg(test)]
mod tests;
