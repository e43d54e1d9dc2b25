//! A retry budget: a token bucket that first tries fill and repeats empty.
//!
//! The form is that of Finagle's `RetryBudget` and of tower's: a share of the first tries, and a small steady flow so
//! that a client with little traffic can repeat at all. gRPC's `retryThrottling` (gRFC A6) counts failures instead; it
//! lets a client that mostly succeeds repeat without limit during a short outage, which is when repeats hurt.

use flaxhead_policy::Micros;

/// What a budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSpec {
    /// Repeats for each first try, 0 to 1.
    pub share: f64,
    /// Repeats a second that are allowed whatever the traffic.
    pub flow: f64,
    /// Most repeats that can be saved up.
    pub most: f64,
}

impl Default for BudgetSpec {
    /// A fifth of the first tries (Finagle's default), 10 a second, 100 saved up.
    fn default() -> Self {
        BudgetSpec { share: 0.2, flow: 10.0, most: 100.0 }
    }
}

/// The bucket. It starts with what flows in a second.
#[derive(Clone, Debug)]
pub struct Budget {
    spec: BudgetSpec,
    tokens: f64,
    at: Micros,
    denied: u64,
}

impl Budget {
    /// A bucket at this time, in microseconds.
    pub fn new(spec: BudgetSpec, now: Micros) -> Budget {
        debug_assert!(spec.share >= 0.0 && spec.flow >= 0.0 && spec.most >= 1.0);
        Budget { tokens: spec.flow.min(spec.most), spec, at: now, denied: 0 }
    }

    /// A first try goes out.
    pub fn first(&mut self, now: Micros) {
        self.fill(now);
        self.tokens = (self.tokens + self.spec.share).min(self.spec.most);
    }

    /// A repeat is about to go out; `false`: it must not.
    pub fn again(&mut self, now: Micros) -> bool {
        self.fill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        } else {
            self.denied += 1;
        }
        allowed
    }

    /// How long until a repeat may go out if nothing else comes, in microseconds; `None`: never.
    pub fn wait(&self) -> Option<Micros> {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing == 0.0 || self.spec.flow > 0.0)
            .then(|| (missing / self.spec.flow.max(1e-9) * 1e6).ceil() as Micros)
    }

    /// Repeats that were denied so far.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    fn fill(&mut self, now: Micros) {
        // A clock that goes back gives nothing.
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.tokens = (self.tokens + passed * self.spec.flow).min(self.spec.most);
    }
}

#[cfg(test)]
mod tests;
