//! Order in which tenants get permits that several of them wait for, by how far each is behind its share.
//!
//! As in deficit round robin (Shreedhar and Varghese, "Efficient fair queueing using deficit round robin",
//! 1995), each tenant has a deficit that grows with its weight and shrinks by one with each admitted call.
//! Round robin order can leave a tenant a quantum and a call behind. Here the next tenant is the one that
//! would be a whole call behind the soonest, among those that are not ahead of their share (Tijdeman, "The
//! chairman assignment problem", 1980; Baruah et al., "Proportionate progress", 1996). This bounds the
//! deficit by one call.

/// Tolerance for rounding in comparisons, in calls.
const ROUNDING_TOLERANCE_CALLS: f64 = 1e-9;

struct Candidate {
    tenant: usize,
    /// Deficit in calls.
    deficit: f64,
    weight: f64,
}

/// Deficits of tenants that wait for the same permits, in calls; positive: the tenant is behind its share.
#[derive(Clone, Debug)]
pub(super) struct FairOrder(Vec<f64>);

impl FairOrder {
    pub fn new(tenants: usize) -> FairOrder {
        FairOrder(vec![0.0; tenants])
    }

    /// Clears all deficits, which do not carry over to new weights.
    pub fn reset(&mut self) {
        self.0.fill(0.0);
    }

    /// Chooses the tenant of the next admitted call. `weight` returns the weight of a waiting tenant and
    /// `None` for others. A tenant that does not wait accrues no positive deficit, and works off a negative
    /// one by its `idle_weight`.
    pub fn next(
        &mut self,
        weight: impl Fn(usize) -> Option<f64>,
        idle_weight: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let mut total_weight = 0.0;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            total_weight += match weight(tenant) {
                Some(weight) => weight,
                None if *deficit < 0.0 => idle_weight(tenant),
                None => {
                    *deficit = 0.0;
                    0.0
                }
            };
        }
        let candidates = || {
            let deficits = self.0.iter().enumerate();
            deficits
                .filter_map(|(tenant, &deficit)| Some(Candidate { tenant, deficit, weight: weight(tenant)? }))
        };
        // If all waiting tenants are ahead of their shares, time is advanced to the point where the first of
        // them is not.
        let time_ahead =
            |candidate: &Candidate| (-candidate.deficit / candidate.weight - 1.0 / total_weight).max(0.0);
        let skipped_time = candidates().map(|candidate| time_ahead(&candidate)).min_by(f64::total_cmp)?;
        let due = |candidate: &Candidate| (1.0 - candidate.deficit) / candidate.weight;
        let next = candidates()
            .filter(|candidate| time_ahead(candidate) <= skipped_time + ROUNDING_TOLERANCE_CALLS)
            .min_by(|a, b| due(a).total_cmp(&due(b)))?;
        for (tenant, deficit) in self.0.iter_mut().enumerate() {
            match weight(tenant) {
                Some(weight) => *deficit += weight * (skipped_time + 1.0 / total_weight),
                None if *deficit < 0.0 => {
                    *deficit = (*deficit + idle_weight(tenant) * (skipped_time + 1.0 / total_weight)).min(0.0)
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
