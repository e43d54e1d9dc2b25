//! State of calls and attempts, and latency estimates. The decisions are in `balance/`.

use crate::api::*;
use serde::{Deserialize, Serialize};

/// Whether an attempt is within its server's budget, or a trial: one call beyond the budget, to raise it, or
/// to an ejected server, to reinstate it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SendKind {
    Regular,
    Trial,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) started_at: Micros,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) class_id: usize,
    pub(crate) sent_at: Micros,
    pub(crate) kind: SendKind,
    /// `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
}

/// A call, kept until it has ended and no attempt is in flight.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) class_id: usize,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) queued: bool,
    pub(crate) ended: bool,
    /// Time of the call's timer in microseconds; 0 if there is none.
    pub(crate) timer_at: Micros,
}

impl Call {
    pub(crate) fn in_flight_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// First attempt that may have run; later ones are bound to its deduplication scope and window.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }

    pub(crate) fn is_untried(&self, server: ServerId) -> bool {
        self.attempts.iter().all(|a| a.server != server)
    }
}

/// Lowest recent latency of answers from a zone: an estimate of its network latency.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ZoneLatency {
    pub(crate) min_us: Option<f64>,
    /// Lowest recent ratio of an answer's latency to the latency limit of its class.
    pub(crate) min_ratio: f64,
    pub(crate) updated_at: Micros,
}

/// Latency of a server model relative to all models: moving average of a natural logarithm.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ModelLatency {
    pub(crate) log_ratio: f64,
    pub(crate) samples: u32,
}

/// Mean latency of a class's answers, and the lowest recent mean (`base_us`), which estimates the latency at
/// an unloaded server; in microseconds.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ClassLatency {
    pub(crate) mean: f64,
    pub(crate) base_us: f64,
    pub(crate) samples: u32,
    pub(crate) updated_at: Micros,
    pub(crate) request_count: f64,
}

/// Decision on a call; `server` is its index in `Balancer::servers`.
pub(crate) enum Route {
    Send { server: usize, kind: SendKind },
    Queue,
    Reject { retry_after: Micros },
}
