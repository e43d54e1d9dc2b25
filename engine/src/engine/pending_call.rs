//! What a front holds of a call.

use super::Engine;
use crate::call::{AttemptTrace, FinalResponse, Reply};
use crate::transport::Transport;
use flaxhead_policy::CallId;
use tokio::sync::oneshot;

/// A call that waits for its response. Dropped before that, it tells the decision module that the client has gone.
pub struct PendingCall<T: Transport> {
    pub(super) engine: Engine<T>,
    pub(super) call: CallId,
    pub(super) reply: oneshot::Receiver<FinalResponse<T::Response>>,
}

impl<T: Transport> PendingCall<T> {
    /// The call's final response.
    pub async fn reply(mut self) -> Reply<T::Response> {
        self.final_response().await.reply
    }

    /// The call's final response, with what hosts may have seen of the call.
    pub async fn final_response(&mut self) -> FinalResponse<T::Response> {
        // The sender is only ever dropped with the call, after a response or with the process.
        let lost =
            FinalResponse { reply: Reply::Failed, trace: AttemptTrace { attempts: 0, may_have_run: true } };
        (&mut self.reply).await.unwrap_or(lost)
    }

    /// Gives the call up and cancels its attempts. Returns what hosts may have seen of the call.
    pub fn abandon(self) -> AttemptTrace {
        self.engine.abandon(self.call)
    }
}

impl<T: Transport> Drop for PendingCall<T> {
    fn drop(&mut self) {
        self.engine.abandon(self.call);
    }
}
