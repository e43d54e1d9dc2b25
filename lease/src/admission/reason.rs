//! Reasons for which a started process waits for admission or may serve.

use flaxhead_membership::Name;
use std::fmt;

/// Reason for which a started process waits for admission or may serve. A name in a variant is that of
/// another process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionReason {
    /// The process waits, because no other process has replied to its queries yet.
    AwaitingReply,
    /// The process waits, because most voters were restarted recently and may not vote yet.
    AwaitingQuarantine,
    /// The process waits for a leader to admit it; one exists or can be elected.
    AwaitingAdmission,
    /// The process waits for the complete state of the named process, which has not sent it yet.
    AwaitingState(Name),
    /// The process waits, because the state is lost and operators have time to restore it and declare it
    /// complete.
    AwaitingOperators,
    /// The process serves, because a leader has admitted it.
    Admitted,
    /// The process serves without admission, because a majority of voters has lost the state, but the named
    /// process has sent its complete state.
    StateRecoveredFrom(Name),
    /// The process serves without admission, because no majority of voters is known to vote, but the named
    /// process has sent its complete state.
    NoQuorumStateFrom(Name),
    /// The process serves without admission and without the state, because a majority of voters has lost it
    /// and no process that has it is known.
    StateLost,
    /// The process serves without admission and without the state, because no other process has sent it the
    /// complete replicated state within [`crate::Config::autonomy_timeout`].
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
