//! Transport trait: connecting to hosts and sending attempts. Also the limits on an attempt that both the
//! engine and the transport enforce.

use crate::send_cutoff::SendCutoff;
use flaxhead_policy::{LoadReport, Outcome, ServerId};
use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// Counter of the bytes written for an attempt, and check whether more may be written. An attempt without
/// written bytes cannot have reached its host.
///
/// A transport must update the counter before it hands bytes to the connection, and must write nothing once
/// [`WriteMeter::is_withdrawn`] returns true: other tasks that write for a cancelled attempt may still run
/// before its own task ends.
#[derive(Clone, Debug, Default)]
pub struct WriteMeter {
    state: Rc<Cell<WriteState>>,
    cutoff: SendCutoff,
    send_by: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WriteState {
    bytes: usize,
    withdrawn: bool,
}

impl WriteMeter {
    /// Creates the meter of an attempt at a host with this cutoff; `send_by` is the time from which writing
    /// must not start, `None` for no limit.
    pub(crate) fn new(cutoff: SendCutoff, send_by: Option<Instant>) -> WriteMeter {
        WriteMeter { state: Rc::default(), cutoff, send_by }
    }

    /// Returns the number of request bytes written so far.
    pub fn bytes_written(&self) -> usize {
        self.state.get().bytes
    }

    /// Sets the number of request bytes written; must be called before they are handed to the connection.
    pub fn set_bytes_written(&self, bytes: usize) {
        self.state.set(WriteState { bytes, ..self.state.get() });
    }

    /// Returns whether nothing more may be written. The cutoff and `send_by` apply only until the first byte
    /// is written.
    pub fn is_withdrawn(&self) -> bool {
        let WriteState { bytes, withdrawn } = self.state.get();
        withdrawn || bytes == 0 && self.is_too_late_to_send()
    }

    fn is_too_late_to_send(&self) -> bool {
        self.cutoff.has_passed() || self.send_by.is_some_and(|by| Instant::now() >= by)
    }

    /// Withdraws the attempt, after which nothing more may be written for it.
    pub(crate) fn withdraw(&self) {
        self.state.set(WriteState { withdrawn: true, ..self.state.get() });
    }
}

/// Destination and conditions of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// Number by which the transport tells hosts apart, also in `set_endpoint`.
    pub server: ServerId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// True if the request must not run twice; a transport then avoids idle connections that the host may
    /// have closed.
    pub non_idempotent: bool,
    /// Time at which the attempt is cancelled.
    pub deadline: Instant,
}

/// Runs an attempt until it ends, until `deadline`, or until `send_by` if nothing is written by then.
pub(crate) async fn run_attempt<A>(
    sending: impl Future<Output = AttemptResult<A>>,
    meter: &WriteMeter,
    deadline: Instant,
    send_by: Option<Instant>,
) -> AttemptResult<A> {
    let mut sending = pin!(sending);
    if let Some(by) = send_by.filter(|by| *by < deadline) {
        match timeout_at(by, sending.as_mut()).await {
            Ok(result) => return result,
            Err(_) if meter.bytes_written() == 0 => return AttemptResult::without_response(Outcome::NotSent),
            Err(_) => {}
        }
    }
    // The deadline ends the attempt whether or not its request was written; only the outcome differs.
    let timed_out = |_| match meter.bytes_written() {
        0 => AttemptResult::without_response(Outcome::NoConnection),
        _ => AttemptResult::without_response(Outcome::TimedOut),
    };
    timeout_at(deadline, sending).await.unwrap_or_else(timed_out)
}

/// Result of an attempt, as the transport reports it to the engine.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// Outcome for the policy, which decides on retries by it.
    pub outcome: Outcome,
    /// Load report of the host; default if the host sent none.
    pub load: LoadReport,
    /// Response to forward to the client. A response completes the call, even if the outcome is a failure;
    /// with `None` the policy decides what follows.
    pub response: Option<A>,
}

impl<A> AttemptResult<A> {
    /// Creates a result without a response to forward.
    pub fn without_response(outcome: Outcome) -> AttemptResult<A> {
        AttemptResult { outcome, load: LoadReport::default(), response: None }
    }
}

/// Transport that connects to hosts, sends attempts and reports their outcomes. The engine selects the host,
/// the time and the deadline of each attempt.
pub trait Transport: 'static {
    /// Request of a call; the engine keeps it and passes it to each attempt.
    type Request: 'static;
    /// Response of a host, which the engine passes to the call's client unchanged.
    type Response: 'static;

    /// Sets the address at which a host accepts new attempts; `None` if it accepts none, in which case its
    /// idle connections are closed. With `restarted`, idle connections lead to an earlier process or address
    /// of the host and must not be reused.
    fn set_endpoint(&self, server: ServerId, address: Option<SocketAddr>, restarted: bool);

    /// Removes the state of a host that is no longer listed.
    fn remove_endpoint(&self, server: ServerId);

    /// Sends an attempt and returns a future of its result. An idle connection is selected in this call, not
    /// when the future is first polled. Dropping the future cancels the attempt; the engine does so at the
    /// target's `deadline`.
    fn send(
        &self,
        target: AttemptTarget,
        request: &Rc<Self::Request>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<Self::Response>> + use<Self> + 'static;

    /// Closes connections whose idle time exceeds the transport's limit; called once a second.
    fn sweep(&self) {}

    /// Returns statistics, whose `Debug` text the engine writes to the log at intervals.
    fn stats(&self) -> impl Debug;
}
