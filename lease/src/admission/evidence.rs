//! What the replies to a process that waits for admission amount to.

use super::{AdmissionReason, AdmissionWait, OwnVoter, Reply};
use crate::config::Config;
use crate::recovery_state::RecoveryState;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// What the fresh replies amount to. That a majority of voters has lost the state holds for one moment if all of them
/// replied so within the duration of one lease, having been quarantined for longer than a lease before: at that moment no
/// leader is left that knows the state, and none can come before operators declare it.
#[expect(clippy::struct_excessive_bools, reason = "each is one finding, independent of the others")]
pub(super) struct Evidence {
    has_replies: bool,
    /// A process with the complete state lives.
    state_exists: bool,
    /// Such a process, by any reply.
    informed_peer: Option<Name>,
    /// Some process holds a lease.
    lease_exists: bool,
    majority_lost_state: bool,
    majority_votes: bool,
    majority_is_silent: bool,
    /// The operators still have time to declare the state.
    within_operator_wait: bool,
    timed_out: bool,
}

impl Evidence {
    pub(super) fn gather(
        wait: &AdmissionWait,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: OwnVoter<'_>,
    ) -> Evidence {
        let majority = |counts: fn(RecoveryState) -> bool| {
            voters.has_majority(|name| wait.voter_recovery(now, config, own, name).is_some_and(counts))
        };
        let fresh: Vec<&Reply> = wait.replies.values().filter(|reply| reply.is_fresh(now, config)).collect();
        let knows_state = |reply: &&Reply| {
            reply.status.has_complete_state || !reply.status.peers_with_complete_state.is_empty()
        };
        let waited = now.saturating_sub(wait.started);
        // A process that was stopped itself has not waited: what counts is how often it has asked.
        let has_asked =
            wait.queries_sent * AdmissionWait::query_interval(config) * 2 >= config.autonomy_timeout;
        Evidence {
            has_replies: !fresh.is_empty(),
            state_exists: fresh.iter().any(knows_state),
            informed_peer: wait.peers_with_complete_state().into_iter().next(),
            lease_exists: fresh.iter().any(|reply| reply.status.has_lease),
            majority_lost_state: majority(RecoveryState::has_forgotten),
            majority_votes: majority(RecoveryState::may_vote),
            majority_is_silent: majority(|recovery| !recovery.may_vote()),
            within_operator_wait: waited < config.operator_timeout,
            timed_out: waited >= config.autonomy_timeout && has_asked,
        }
    }

    /// What the process waits for, or why it may serve. `state_from`: the process that has sent its complete state.
    pub(super) fn conclusion(self, state_from: Option<&Name>) -> AdmissionReason {
        if self.majority_lost_state {
            return self.conclusion_of_lost_state(state_from);
        }
        // A majority that votes has a leader, or will.
        if self.state_exists && (self.majority_votes || self.lease_exists) {
            return AdmissionReason::AwaitingAdmission;
        }
        match state_from {
            Some(name) if self.timed_out => AdmissionReason::NoQuorumStateFrom(name.clone()),
            None if self.timed_out => AdmissionReason::NoReply,
            _ if !self.has_replies => AdmissionReason::AwaitingReply,
            _ if self.majority_is_silent => AdmissionReason::AwaitingQuarantine,
            _ => AdmissionReason::AwaitingAdmission,
        }
    }

    fn conclusion_of_lost_state(self, state_from: Option<&Name>) -> AdmissionReason {
        match (state_from, self.informed_peer) {
            (Some(name), _) => AdmissionReason::StateRecoveredFrom(name.clone()),
            (None, Some(name)) if !self.timed_out => AdmissionReason::AwaitingState(name),
            _ if self.within_operator_wait => AdmissionReason::AwaitingOperators,
            _ => AdmissionReason::StateLost,
        }
    }
}
