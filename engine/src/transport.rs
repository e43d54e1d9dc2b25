//! What carries attempts to hosts.

use crate::send_cutoff::SendCutoff;
use flaxhead_policy::{LoadReport, Outcome, ServerId};
use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{timeout_at, Instant};

/// What was written for one attempt, and whether anything more may be: with nothing written no host can have seen it.
/// Whoever writes counts before a byte leaves for good, never after, and writes nothing once the attempt is withdrawn:
/// the task of a cancelled attempt may end only after other tasks that write for it have had their turn.
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
    /// For an attempt at a host with this cutoff, which must not begin from `send_by` on.
    pub(crate) fn new(cutoff: SendCutoff, send_by: Option<Instant>) -> WriteMeter {
        WriteMeter { state: Rc::default(), cutoff, send_by }
    }

    /// The number of bytes that were written.
    pub fn bytes_written(&self) -> usize {
        self.state.get().bytes
    }

    /// Sets the number of bytes that were written.
    pub fn set_bytes_written(&self, bytes: usize) {
        self.state.set(WriteState { bytes, ..self.state.get() });
    }

    /// Whether nothing more may be written. An attempt that has begun goes on: only a new one can come too late.
    pub fn is_withdrawn(&self) -> bool {
        let WriteState { bytes, withdrawn } = self.state.get();
        withdrawn || bytes == 0 && self.is_too_late_to_send()
    }

    fn is_too_late_to_send(&self) -> bool {
        self.cutoff.has_passed() || self.send_by.is_some_and(|by| Instant::now() >= by)
    }

    /// Withdraws the attempt: nothing is written for it from now on.
    pub(crate) fn withdraw(&self) {
        self.state.set(WriteState { withdrawn: true, ..self.state.get() });
    }
}

/// Where an attempt goes, and under which conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The host's number.
    pub server: ServerId,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// When the attempt is given up.
    pub deadline: Instant,
}

/// Runs an attempt to its end or its deadline `until`; with nothing written yet, not past `send_by`.
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
    // It is over then whatever happens.
    let timed_out = |_| match meter.bytes_written() {
        0 => AttemptResult::without_response(Outcome::NoConnection),
        _ => AttemptResult::without_response(Outcome::TimedOut),
    };
    timeout_at(deadline, sending).await.unwrap_or_else(timed_out)
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// How it ended.
    pub outcome: Outcome,
    /// The host's load report.
    pub load: LoadReport,
    /// The response to forward. With one the call is over, also where the outcome is a failure: the host's response is
    /// final then.
    pub response: Option<A>,
}

impl<A> AttemptResult<A> {
    /// An end without a response to forward.
    pub fn without_response(outcome: Outcome) -> AttemptResult<A> {
        AttemptResult { outcome, load: LoadReport::default(), response: None }
    }
}

/// Connects, sends, reports outcomes. It decides nothing: the engine says to which host, when, and for how long.
pub trait Transport: 'static {
    /// What a front passes for a call; it is sent once for each attempt.
    type Request: 'static;
    /// A host's response.
    type Response: 'static;

    /// Something new may be sent to a host at this address from now on; `None`: nothing may, and idle connections to it
    /// are closed. `restarted`: idle connections lead to a process that has gone.
    fn set_endpoint(&self, server: ServerId, address: Option<SocketAddr>, restarted: bool);

    /// A host is no longer listed.
    fn remove_endpoint(&self, server: ServerId);

    /// One attempt, from its connection to its outcome. An idle connection, where there is one, is chosen in this call,
    /// not when the future is first polled. Dropping the future cancels the attempt. The engine drops it at the target's
    /// `until`.
    fn send(
        &self,
        target: AttemptTarget,
        request: &Rc<Self::Request>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<Self::Response>> + use<Self> + 'static;

    /// Called once a second, to close connections that were idle for too long.
    fn sweep(&self) {}

    /// Statistics for the log.
    fn stats(&self) -> impl Debug;
}
