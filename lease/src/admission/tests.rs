//! Unit tests of the wait for admission.

use super::*;

const LEASE: Micros = 6_000_000;
const NOW: Micros = 20_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("valid name")
}

fn status(voter: Option<RecoveryState>, has_complete_state: bool) -> RecoveryStatus {
    RecoveryStatus {
        voter,
        has_complete_state,
        has_lease: false,
        leader: None,
        peers_with_complete_state: BTreeSet::new(),
    }
}

/// Reply of the voter `from` to a query that the waiting process sent at `requested_at`.
struct TestReply {
    from: &'static str,
    requested_at: Micros,
    voter: Option<RecoveryState>,
    has_complete_state: bool,
}

fn reply(from: &'static str, requested_at: Micros, voter: RecoveryState) -> TestReply {
    TestReply { from, requested_at, voter: Some(voter), has_complete_state: false }
}

/// Returns whether a process that started at 0, has sent `queries` rounds of queries and has received
/// `replies` may serve at 20 s, and the reason.
fn evaluate_replies(queries: u64, replies: &[TestReply]) -> (bool, AdmissionReason) {
    evaluate_with_operator_timeout(0, queries, replies)
}

fn evaluate_with_operator_timeout(
    operator_timeout: Micros,
    queries: u64,
    replies: &[TestReply],
) -> (bool, AdmissionReason) {
    let config =
        Config { lease_duration: LEASE, autonomy_timeout: 15_000_000, operator_timeout, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("valid voters");
    let mut wait = AdmissionWait { queries_sent: queries, ..AdmissionWait::new(0) };
    for reply in replies {
        let status = status(reply.voter, reply.has_complete_state);
        wait.record_reply(&name(reply.from), reply.requested_at, status, reply.has_complete_state);
    }
    let own = OwnVoter { name: &name("q"), recovery: None };
    (wait.evaluate(NOW, &config, &voters, own), wait.reason)
}

#[test]
fn state_loss_requires_recent_reports_of_a_majority_out_of_quarantine() {
    let before = NOW - LEASE - 1;
    let recovering = |from, at| reply(from, at, RecoveryState::Recovering);
    let replies = || [recovering("a", NOW), reply("b", NOW - LEASE, RecoveryState::StateLost)];
    assert_eq!(evaluate_replies(10, &replies()), (true, AdmissionReason::StateLost));
    assert_eq!(
        evaluate_with_operator_timeout(21_000_000, 10, &replies()),
        (false, AdmissionReason::AwaitingOperators)
    );
    // Neither a quarantined voter, a reply older than a lease, nor a process that is no voter counts: a
    // leader that knows the state may hold a lease from before the restart or from after the reply.
    let others = [reply("b", NOW, RecoveryState::Quarantined), recovering("b", before), recovering("q", NOW)];
    for other in others {
        let case = format!("{} at {}: {:?}", other.from, other.requested_at, other.voter);
        assert!(!evaluate_replies(10, &[recovering("a", NOW), other]).0, "{case}");
    }
}

#[test]
fn state_loss_of_all_voters_requires_a_recent_report_of_each() {
    let config = Config { lease_duration: LEASE, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("valid voters");
    let mut wait = AdmissionWait::new(0);
    let own_name = name("a");
    let own = OwnVoter { name: &own_name, recovery: Some(RecoveryState::Quarantined) };
    let mut all_lost = |from: &str, voter| {
        wait.record_reply(&name(from), 0, status(voter, false), false);
        wait.all_voters_lost_state(LEASE, &config, &voters, own)
    };
    assert!(!all_lost("b", Some(RecoveryState::Quarantined)));
    assert!(!all_lost("c", Some(RecoveryState::Recovered)));
    assert!(!all_lost("c", None));
    assert!(all_lost("c", Some(RecoveryState::StateLost)));
    assert!(!wait.all_voters_lost_state(LEASE + 1, &config, &voters, own));
}

#[test]
fn autonomy_timeout_requires_sent_queries_and_no_majority_that_votes() {
    assert_eq!(evaluate_replies(15, &[]), (true, AdmissionReason::NoReply));
    assert_eq!(evaluate_replies(14, &[]), (false, AdmissionReason::AwaitingReply));
    // A leader will admit the process while some process has the complete state and a majority of voters can
    // vote.
    let recovered = |from, has_complete_state| TestReply {
        has_complete_state,
        ..reply(from, NOW, RecoveryState::Recovered)
    };
    let replies = [recovered("a", true), recovered("b", false)];
    assert_eq!(evaluate_replies(60, &replies), (false, AdmissionReason::AwaitingAdmission));
    let replies = [recovered("a", true)];
    assert_eq!(evaluate_replies(60, &replies), (true, AdmissionReason::NoQuorumStateFrom(name("a"))));
}
