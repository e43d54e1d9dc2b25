//! Conclusions that a process which waits for admission draws from the replies to its queries.

use super::{AdmissionReason, AdmissionWait, OwnVoter, Reply};
use crate::config::Config;
use crate::recovery_state::RecoveryState;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// Findings from the replies to queries of the last lease duration.
///
/// The state is certainly lost once a majority of voters reports so within one lease duration. Each of them
/// was quarantined before for longer than the leader's lease lasts, so no earlier leader can still hold that
/// lease and know the state. A later leader cannot recover the state either, until operators restore it and
/// declare it complete.
#[expect(clippy::struct_excessive_bools, reason = "each is one finding, independent of the others")]
pub(super) struct ReplySummary {
    /// True if any process has replied.
    has_replies: bool,
    /// True if a reply shows that some running process has the complete state.
    state_exists: bool,
    /// Process that has the complete state, by its own reply or according to another's.
    peer_with_complete_state: Option<Name>,
    /// True if a replying process holds a valid lease, so a leader was active recently.
    lease_exists: bool,
    /// True if a majority of voters is past its quarantine without the data from before.
    majority_lost_state: bool,
    majority_votes: bool,
    majority_cannot_vote: bool,
    /// True while the process still waits for operators to restore the lost state and declare it complete
    /// ([`Config::operator_timeout`]).
    within_operator_timeout: bool,
    /// True once the process has waited for [`Config::autonomy_timeout`] and sent enough queries in that
    /// time.
    timed_out: bool,
}

impl ReplySummary {
    pub(super) fn from_replies(
        wait: &AdmissionWait,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: OwnVoter<'_>,
    ) -> ReplySummary {
        let majority = |counts: fn(RecoveryState) -> bool| {
            voters.has_majority(|name| wait.voter_recovery(now, config, own, name).is_some_and(counts))
        };
        let fresh: Vec<&Reply> = wait.replies.values().filter(|reply| reply.is_fresh(now, config)).collect();
        let knows_state = |reply: &&Reply| {
            reply.status.has_complete_state || !reply.status.peers_with_complete_state.is_empty()
        };
        let waited = now.saturating_sub(wait.started);
        // The elapsed time alone is not enough, because the process may have been paused. It must also have
        // sent at least half of the queries of that time.
        let has_queried =
            wait.queries_sent * AdmissionWait::query_interval(config) * 2 >= config.autonomy_timeout;
        ReplySummary {
            has_replies: !fresh.is_empty(),
            state_exists: fresh.iter().any(knows_state),
            peer_with_complete_state: wait.peers_with_complete_state().into_iter().next(),
            lease_exists: fresh.iter().any(|reply| reply.status.has_lease),
            majority_lost_state: majority(RecoveryState::has_lost_data),
            majority_votes: majority(RecoveryState::may_vote),
            majority_cannot_vote: majority(|recovery| !recovery.may_vote()),
            within_operator_timeout: waited < config.operator_timeout,
            timed_out: waited >= config.autonomy_timeout && has_queried,
        }
    }

    /// Returns what the process waits for, or why it may serve. `state_from` is the process that has sent its
    /// complete state to this one; `None`: none has.
    pub(super) fn admission_reason(self, state_from: Option<&Name>) -> AdmissionReason {
        if self.majority_lost_state {
            return self.reason_after_state_loss(state_from);
        }
        // A majority that can vote has a leader, or will elect one, which will admit this process.
        if self.state_exists && (self.majority_votes || self.lease_exists) {
            return AdmissionReason::AwaitingAdmission;
        }
        match state_from {
            Some(name) if self.timed_out => AdmissionReason::NoQuorumStateFrom(name.clone()),
            None if self.timed_out => AdmissionReason::NoReply,
            _ if !self.has_replies => AdmissionReason::AwaitingReply,
            _ if self.majority_cannot_vote => AdmissionReason::AwaitingQuarantine,
            _ => AdmissionReason::AwaitingAdmission,
        }
    }

    /// Returns the reason in the case that a majority of voters has lost the state.
    fn reason_after_state_loss(self, state_from: Option<&Name>) -> AdmissionReason {
        match (state_from, self.peer_with_complete_state) {
            (Some(name), _) => AdmissionReason::StateRecoveredFrom(name.clone()),
            (None, Some(name)) if !self.timed_out => AdmissionReason::AwaitingState(name),
            _ if self.within_operator_timeout => AdmissionReason::AwaitingOperators,
            _ => AdmissionReason::StateLost,
        }
    }
}
