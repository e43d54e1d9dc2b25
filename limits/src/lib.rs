//! Limits on retries where several layers retry: the application, its RPC library and the proxy. Two decisions, both
//! without I/O or a clock: how many retries all calls together may cost ([`RetryBudget`]), and what a call that comes again
//! may still do ([`IdempotencyCache`]).

mod idempotency_cache;
mod retry_budget;

pub use idempotency_cache::{
    Allowance, IdempotencyCache, IdempotencyCacheConfig, PreviousAttempts, Rejection,
};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
