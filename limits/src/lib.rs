//! Limits on retries across layers that each retry, such as the application, its RPC library and the proxy.
//!
//! [`RetryBudget`] limits the retries of all calls together; [`IdempotencyCache`] limits the attempts of one
//! call across its submissions. Both perform no I/O and take the current time, in microseconds on any
//! monotonic clock, as an argument.

mod idempotency_cache;
mod retry_budget;

pub use idempotency_cache::{
    Allowance, IdempotencyCache, IdempotencyCacheConfig, PreviousAttempts, Rejection,
};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
