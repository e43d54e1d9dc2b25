//! Conclusions from the replies to a process that waits for admission.

use super::{AdmissionReason, AdmissionWait, OwnVoter, Reply};
use crate::config::Config;
use crate::recovery_state::RecoveryState;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// Summary of the recent replies.
///
/// The loss of the state is certain once a majority of voters reports it within one lease duration. Each of
/// them was quarantined for longer than a lease before, so no earlier leader can still hold a lease and know
/// the state. A later leader cannot recover it either, until operators restore the state and confirm that it
/// is complete.
#[expect(clippy::struct_excessive_bools, reason = "each is one finding, independent of the others")]
pub(super) struct ReplySummary {
    has_replies: bool,
    /// True if a reply shows that some running process has the complete state.
    state_exists: bool,
    /// Another process with the complete state, according to any reply.
    peer_with_complete_state: Option<Name>,
    /// True if some process holds a lease.
    lease_exists: bool,
    majority_lost_state: bool,
    majority_votes: bool,
    majority_cannot_vote: bool,
    /// True while the process still waits for operators to restore the lost state and confirm that it is
    /// complete.
    within_operator_timeout: bool,
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
        // The elapsed time alone is not enough, because the process may have been stopped. It must also have
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

    /// Decides what the process waits for, or why it may serve. `state_from` is the process that has sent its
    /// complete state.
    pub(super) fn admission_reason(self, state_from: Option<&Name>) -> AdmissionReason {
        if self.majority_lost_state {
            return self.reason_after_state_loss(state_from);
        }
        // A majority that votes has a leader, or will elect one.
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

    fn reason_after_state_loss(self, state_from: Option<&Name>) -> AdmissionReason {
        match (state_from, self.peer_with_complete_state) {
            (Some(name), _) => AdmissionReason::StateRecoveredFrom(name.clone()),
            (None, Some(name)) if !self.timed_out => AdmissionReason::AwaitingState(name),
            _ if self.within_operator_timeout => AdmissionReason::AwaitingOperators,
            _ => AdmissionReason::StateLost,
        }
    }
}
