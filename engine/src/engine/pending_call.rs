//! Handle of a submitted call.

use super::Engine;
use crate::call::{AttemptTrace, FinalResponse, Reply};
use crate::transport::Transport;
use flaxhead_policy::CallId;
use tokio::sync::oneshot;

/// Handle of a submitted call. Dropping it before the call is complete reports to the policy that the client
/// has disconnected.
pub struct PendingCall<T: Transport> {
    pub(super) engine: Engine<T>,
    pub(super) call: CallId,
    pub(super) reply: oneshot::Receiver<FinalResponse<T::Response>>,
}

impl<T: Transport> PendingCall<T> {
    /// Waits for the result of the call.
    pub async fn reply(mut self) -> Reply<T::Response> {
        self.final_response().await.reply
    }

    /// Waits for the result of the call, and returns it with the attempts that may have reached a host.
    pub async fn final_response(&mut self) -> FinalResponse<T::Response> {
        // Result if the engine drops the response channel without a response, which happens only at the end
        // of the process.
        let fallback =
            FinalResponse { reply: Reply::Failed, trace: AttemptTrace { attempts: 0, may_have_run: true } };
        (&mut self.reply).await.unwrap_or(fallback)
    }

    /// Ends the call and cancels its attempts. Returns the attempts that may have reached a host.
    pub fn abandon(self) -> AttemptTrace {
        self.engine.abandon(self.call)
    }
}

impl<T: Transport> Drop for PendingCall<T> {
    fn drop(&mut self) {
        self.engine.abandon(self.call);
    }
}
