//! A retry budget: a token bucket that first attempts fill and retries empty.
//!
//! Its form is that of Finagle's `RetryBudget` and of tower's: a ratio of the first attempts, and a small steady rate so
//! that a client with little traffic can retry at all. gRPC's `retryThrottling` (gRFC A6) counts failures instead; it lets
//! a client that mostly succeeds retry without limit during a short outage, which is when retries hurt.

use flaxhead_policy::Micros;

/// Microseconds in a second.
const SECOND: f64 = 1e6;
/// Lower bound on a rate that is divided by.
const MIN_RATE: f64 = 1e-9;

/// What a budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries for each first attempt, 0 to 1.
    pub ratio: f64,
    /// Retries a second that are allowed whatever the traffic.
    pub min_per_second: f64,
    /// Most retries that can be saved up.
    pub max_tokens: f64,
}

impl Default for RetryBudgetConfig {
    /// A fifth of the first attempts (Finagle's default), 10 a second, 100 saved up.
    fn default() -> Self {
        RetryBudgetConfig { ratio: 0.2, min_per_second: 10.0, max_tokens: 100.0 }
    }
}

/// The token bucket. It starts with one second's tokens.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    tokens: f64,
    refilled_at: Micros,
    denied: u64,
}

impl RetryBudget {
    /// A bucket at this time, in microseconds.
    pub fn new(config: RetryBudgetConfig, now: Micros) -> RetryBudget {
        debug_assert!(config.ratio >= 0.0 && config.min_per_second >= 0.0 && config.max_tokens >= 1.0);
        let tokens = config.min_per_second.min(config.max_tokens);
        RetryBudget { tokens, config, refilled_at: now, denied: 0 }
    }

    /// A first attempt goes out.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.refill(now);
        self.tokens = (self.tokens + self.config.ratio).min(self.config.max_tokens);
    }

    /// Whether a retry may go out; if so, it costs a token.
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

    /// How long until a retry may go out if no first attempt comes before, in microseconds; `None`: never.
    pub fn time_until_retry(&self) -> Option<Micros> {
        let missing = (1.0 - self.tokens).max(0.0);
        let rate = self.config.min_per_second;
        let is_reachable = missing == 0.0 || rate > 0.0;
        is_reachable.then(|| whole_micros(missing / rate.max(MIN_RATE) * SECOND))
    }

    /// Retries that were denied so far.
    pub fn denied(&self) -> u64 {
        self.denied
    }

    fn refill(&mut self, now: Micros) {
        // A clock that goes back refills nothing.
        let passed = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + passed * self.config.min_per_second).min(self.config.max_tokens);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates, and the value is not negative"
)]
fn whole_micros(micros: f64) -> Micros {
    micros.ceil() as Micros
}

#[cfg(test)]
mod tests;
