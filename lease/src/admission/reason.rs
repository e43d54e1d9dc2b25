//! Reasons for which a process waits or may serve.

use flaxhead_membership::Name;
use std::fmt;

/// Reason for which a started process waits or may serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionReason {
    /// Waits: no process has replied yet.
    AwaitingReply,
    /// Waits: recently restarted voters are quarantined, because leases that they granted before may still be
    /// valid.
    AwaitingQuarantine,
    /// Waits: a leader can admit the process.
    AwaitingAdmission,
    /// Waits: this process has the complete state and has not sent it yet.
    AwaitingState(Name),
    /// Waits: the state is lost, and operators have time to restore it and confirm that it is complete.
    AwaitingOperators,
    /// Serves: admitted by a leader.
    Admitted,
    /// Serves: a majority of voters has lost the state, and this process has sent its own.
    StateRecoveredFrom(Name),
    /// Serves: no majority of voters can vote, and this process has sent its state.
    NoQuorumStateFrom(Name),
    /// Serves: a majority of voters has lost the state, and no process has it.
    StateLost,
    /// Serves: no process with the complete state has replied within [`crate::Config::autonomy_timeout`].
    NoReply,
}

impl AdmissionReason {
    /// Returns whether a process may serve for this reason.
    pub(crate) fn may_serve(&self) -> bool {
        match self {
            AdmissionReason::AwaitingReply
            | AdmissionReason::AwaitingQuarantine
            | AdmissionReason::AwaitingAdmission
            | AdmissionReason::AwaitingState(_)
            | AdmissionReason::AwaitingOperators => false,
            AdmissionReason::Admitted
            | AdmissionReason::StateRecoveredFrom(_)
            | AdmissionReason::NoQuorumStateFrom(_)
            | AdmissionReason::StateLost
            | AdmissionReason::NoReply => true,
        }
    }
}

/// The texts are values of the key `reason` in the JSON of the status pages and must not change.
impl fmt::Display for AdmissionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdmissionReason::AwaitingReply => {
                f.write_str("waits for an answer of any voter (alone_s at the most)")
            }
            AdmissionReason::AwaitingQuarantine => {
                f.write_str("waits for voters that were started lately and stay silent for a lease")
            }
            AdmissionReason::AwaitingAdmission => f.write_str("waits for the holder to let it in"),
            AdmissionReason::AwaitingState(name) => {
                write!(f, "waits for {name}, which knows what is settled, to show it")
            }
            AdmissionReason::AwaitingOperators => f.write_str(
                "nobody knows what is settled; waits for operators to say it (known_s at the most)",
            ),
            AdmissionReason::Admitted => f.write_str("let in by the holder"),
            AdmissionReason::StateRecoveredFrom(name) => {
                write!(f, "most voters have forgotten; goes by what {name} has shown to be settled")
            }
            AdmissionReason::NoQuorumStateFrom(name) => {
                write!(f, "too few voters answer; goes by what {name} has shown to be settled")
            }
            AdmissionReason::StateLost => {
                f.write_str("most voters have forgotten, and nobody knows what is settled")
            }
            AdmissionReason::NoReply => {
                f.write_str("nobody that knows what is settled has answered for alone_s")
            }
        }
    }
}
