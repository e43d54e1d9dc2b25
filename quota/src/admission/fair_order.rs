//! Which tenant is next where several wait for the same permits: by what each is behind its share.
//!
//! As in deficit round robin (Shreedhar and Varghese, "Efficient fair queueing using deficit round robin", 1995) each tenant
//! has a deficit that grows with its weight and shrinks by what it is given; each call costs one. The rounds of that leave a
//! tenant up to a quantum and a call behind, so the next tenant is not the one whose place in the round has come. It is, of
//! those that are owed a part of a call at least, the one that would be a whole call behind the soonest (Tijdeman, "The
//! chairman assignment problem", 1980; Baruah et al., "Proportionate progress", 1996). So no tenant is ever more than one
//! call behind.

/// Differences below this are due to rounding.
const ROUNDING: f64 = 1e-9;

/// A tenant that waits.
struct WaitingTenant {
    tenant: usize,
    /// What it is behind its share, in calls.
    owed: f64,
    weight: f64,
}

/// The deficits of tenants that wait for the same units, in calls: above 0 is behind its share.
#[derive(Clone, Debug)]
pub(super) struct FairOrder(Vec<f64>);

impl FairOrder {
    pub fn new(tenants: usize) -> FairOrder {
        FairOrder(vec![0.0; tenants])
    }

    /// Starts anew, as where the weights have changed: what was owed was owed by the old ones.
    pub fn reset(&mut self) {
        self.0.fill(0.0);
    }

    /// Gives a call to one of the tenants that wait. `weight` is that of each, `None` where it does not wait: such a tenant
    /// is owed nothing, and works off what it had beyond its share by its `idle` weight.
    pub fn next(
        &mut self,
        weight: impl Fn(usize) -> Option<f64>,
        idle: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let mut total_weight = 0.0;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            total_weight += match weight(tenant) {
                Some(weight) => weight,
                None if *deficit < 0.0 => idle(tenant),
                None => {
                    *deficit = 0.0;
                    0.0
                }
            };
        }
        let waiting = || {
            let deficits = self.0.iter().enumerate();
            deficits
                .filter_map(|(tenant, &owed)| Some(WaitingTenant { tenant, owed, weight: weight(tenant)? }))
        };
        // Where all that wait had more than their share recently, the one that has worked that off first is next.
        let shortfall =
            |waiting: &WaitingTenant| (-waiting.owed / waiting.weight - 1.0 / total_weight).max(0.0);
        let jump = waiting().map(|waiting| shortfall(&waiting)).min_by(f64::total_cmp)?;
        let due = |waiting: &WaitingTenant| (1.0 - waiting.owed) / waiting.weight;
        let next = waiting()
            .filter(|waiting| shortfall(waiting) <= jump + ROUNDING)
            .min_by(|a, b| due(a).total_cmp(&due(b)))?;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            match weight(tenant) {
                Some(weight) => *deficit += weight * (jump + 1.0 / total_weight),
                None if *deficit < 0.0 => {
                    *deficit = (*deficit + idle(tenant) * (jump + 1.0 / total_weight)).min(0.0)
                }
                None => {}
            }
        }
        self.0[next.tenant] -= 1.0;
        Some(next.tenant)
    }
}

#[cfg(test)]
mod tests;
