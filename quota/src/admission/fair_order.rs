//! Order in which tenants with queued calls get permits, by how far each tenant is behind its share.
//!
//! As in deficit round robin (Shreedhar and Varghese, "Efficient fair queueing using deficit round robin",
//! 1995), each tenant has a deficit, which grows in proportion to its weight and shrinks by one with each
//! admitted call. Serving tenants in a fixed round can leave one of them behind by more than a call.
//! Therefore the next tenant is the one whose deficit would reach a whole call first, among the tenants that
//! are not ahead of their share (Tijdeman, "The chairman assignment problem", 1980; Baruah et al.,
//! "Proportionate progress", 1996). This keeps all deficits at one call or less.

/// Tolerance for rounding errors in comparisons between tenants.
const ROUNDING_TOLERANCE_CALLS: f64 = 1e-9;

struct Candidate {
    tenant: usize,
    /// Number of calls that the tenant is behind its share; negative: the tenant is ahead of its share.
    deficit: f64,
    weight: f64,
}

/// Deficit of each tenant among those that compete for the same permits, in calls; negative: the tenant is
/// ahead of its share.
#[derive(Clone, Debug)]
pub(super) struct FairOrder(Vec<f64>);

impl FairOrder {
    pub fn new(tenants: usize) -> FairOrder {
        FairOrder(vec![0.0; tenants])
    }

    /// Sets all deficits to 0, because deficits that grew by earlier weights have no meaning under new ones.
    pub fn reset(&mut self) {
        self.0.fill(0.0);
    }

    /// Chooses the tenant whose queued call is admitted next; `None`: no tenant has queued calls. `weight`
    /// returns the weight of a tenant that has queued calls, and `None` for other tenants. A tenant without
    /// queued calls gains no positive deficit; its negative deficit moves towards 0 in proportion to its
    /// `idle_weight`.
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
        // If all tenants with queued calls are ahead of their shares, all deficits first grow until one of
        // these tenants is no longer ahead.
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
