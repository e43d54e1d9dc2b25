//! Whose turn it is where tenants wait for the same units: by what each is behind its share.
//!
//! As in deficit round robin (Shreedhar and Varghese, "Efficient fair queueing using deficit round robin", 1995) each has
//! a deficit that grows with its weight and shrinks by what it is given; each call costs one. Its rounds leave a tenant up to
//! a quantum and a call behind, so who is next is not whose place in the round has come: it is, of those that are owed
//! a part of a call at least, the one that would be a whole call behind the soonest (Tijdeman, "The chairman assignment
//! problem", 1980; Baruah et al., "Proportionate progress", 1996). So nobody is ever more than one call behind.

/// Where rounding may not decide.
const NEXT_TO_NOTHING: f64 = 1e-9;

/// The deficits of tenants that wait for the same units, in calls: above 0 is behind its share.
#[derive(Clone, Debug)]
pub(super) struct Order(Vec<f64>);

impl Order {
    pub fn new(tenants: usize) -> Order {
        Order(vec![0.0; tenants])
    }

    /// Begins anew, as where the weights are others: what was owed was owed by the old ones.
    pub fn reset(&mut self) {
        self.0.fill(0.0);
    }

    /// Gives a call to one of those that wait; `weight` is that of each, `None` where it does not wait. Whoever does not
    /// is owed nothing, and works off what it had beyond its share.
    pub fn next(
        &mut self,
        weight: impl Fn(usize) -> Option<f64>,
        idle: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let mut all = 0.0;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            all += match weight(tenant) {
                Some(weight) => weight,
                None if *deficit < 0.0 => idle(tenant),
                None => {
                    *deficit = 0.0;
                    0.0
                }
            };
        }
        let waiting =
            || self.0.iter().enumerate().filter_map(|(tenant, &owed)| Some((tenant, owed, weight(tenant)?)));
        // Where all that wait had more than their share lately, the one that has worked that off first is next.
        let short = |&(_, owed, weight): &(usize, f64, f64)| (-owed / weight - 1.0 / all).max(0.0);
        let jump = waiting().map(|turn| short(&turn)).min_by(f64::total_cmp)?;
        let due = |&(_, owed, weight): &(usize, f64, f64)| (1.0 - owed) / weight;
        let (next, ..) = waiting()
            .filter(|turn| short(turn) <= jump + NEXT_TO_NOTHING)
            .min_by(|a, b| due(a).total_cmp(&due(b)))?;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            match weight(tenant) {
                Some(weight) => *deficit += weight * (jump + 1.0 / all),
                None if *deficit < 0.0 => *deficit = (*deficit + idle(tenant) * (jump + 1.0 / all)).min(0.0),
                None => {}
            }
        }
        self.0[next] -= 1.0;
        Some(next)
    }
}

#[cfg(test)]
mod tests;
