//! Retry budget: a token bucket that first attempts fill and retries drain.
//!
//! Like the `RetryBudget` of Finagle and of tower, it allows retries in proportion to first attempts, and a
//! minimum rate so that a client with little traffic can retry. gRPC's `retryThrottling` (gRFC A6) counts
//! failures instead, which allows a client whose calls mostly succeed to retry without limit during a short
//! outage.

use flaxhead_policy::Micros;

const MICROS_PER_SECOND: f64 = 1e6;
/// Lower bound of the rate in a division, to avoid dividing by zero.
const MIN_RATE_PER_SECOND: f64 = 1e-9;

/// Rates at which a retry budget fills, and its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Number of retries that each first attempt adds to the budget, 0 to 1.
    pub ratio: f64,
    /// Retries per second that are added regardless of traffic.
    pub min_per_second: f64,
    /// Capacity of the budget: maximum number of unused retries, at least 1.
    pub max_tokens: f64,
}

impl Default for RetryBudgetConfig {
    /// Retries for a fifth of the first attempts (Finagle's default), 10 per second regardless of traffic, at
    /// most 100 unused.
    fn default() -> Self {
        RetryBudgetConfig { ratio: 0.2, min_per_second: 10.0, max_tokens: 100.0 }
    }
}

/// Token bucket in which each token allows one retry. It starts with the tokens that the minimum rate adds in
/// one second.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    tokens: f64,
    refilled_at: Micros,
    denied: u64,
}

impl RetryBudget {
    /// Creates a budget that fills from time `now` on.
    pub fn new(config: RetryBudgetConfig, now: Micros) -> RetryBudget {
        debug_assert!(config.ratio >= 0.0 && config.min_per_second >= 0.0 && config.max_tokens >= 1.0);
        let tokens = config.min_per_second.min(config.max_tokens);
        RetryBudget { tokens, config, refilled_at: now, denied: 0 }
    }

    /// Adds the tokens that a first attempt earns.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.refill(now);
        self.tokens = (self.tokens + self.config.ratio).min(self.config.max_tokens);
    }

    /// Takes a token for a retry. Returns `false` if there is none: the retry must not be sent.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        } else {
            self.denied += 1;
        }
        allowed
    }

    /// Returns the time until the next retry is allowed, in microseconds, at the minimum rate alone: 0 if one
    /// is allowed now, `None` if the minimum rate is 0 and only first attempts can add the missing tokens.
    pub fn time_until_retry(&self) -> Option<Micros> {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        let rate = self.config.min_per_second;
        let is_reachable = missing_tokens == 0.0 || rate > 0.0;
        is_reachable.then(|| ceil_micros(missing_tokens / rate.max(MIN_RATE_PER_SECOND) * MICROS_PER_SECOND))
    }

    /// Returns the number of retries denied since the budget was created.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    fn refill(&mut self, now: Micros) {
        // A clock that goes back adds no tokens, and none twice once it has caught up.
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens =
            (self.tokens + elapsed_seconds * self.config.min_per_second).min(self.config.max_tokens);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is not negative, and casts from floats saturate"
)]
fn ceil_micros(micros: f64) -> Micros {
    micros.ceil() as Micros
}

#[cfg(test)]
mod tests;
