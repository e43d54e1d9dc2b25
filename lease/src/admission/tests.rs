//! Unit tests of the wait for admission.

use super::*;

const LEASE: Micros = 6_000_000;
const NOW: Micros = 20_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
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

/// A reply of `from` that was asked for at `requested_at`.
struct TestReply {
    from: &'static str,
    requested_at: Micros,
    voter: Option<RecoveryState>,
    has_complete_state: bool,
}

fn reply(from: &'static str, requested_at: Micros, voter: RecoveryState) -> TestReply {
    TestReply { from, requested_at, voter: Some(voter), has_complete_state: false }
}

/// What a process concludes at 20 s that was started at 0 and has sent `queries`.
fn concluded(queries: u64, replies: &[TestReply]) -> (bool, AdmissionReason) {
    concluded_with(0, queries, replies)
}

fn concluded_with(operator_timeout: Micros, queries: u64, replies: &[TestReply]) -> (bool, AdmissionReason) {
    let config =
        Config { lease_duration: LEASE, autonomy_timeout: 15_000_000, operator_timeout, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
    let mut wait = AdmissionWait { queries_sent: queries, ..AdmissionWait::new(0) };
    for reply in replies {
        let status = status(reply.voter, reply.has_complete_state);
        wait.record_reply(&name(reply.from), reply.requested_at, status, reply.has_complete_state);
    }
    let own = OwnVoter { name: &name("q"), recovery: None };
    (wait.evaluate(NOW, &config, &voters, own), wait.reason)
}

#[test]
fn a_majority_has_lost_the_state_only_if_it_says_so_within_one_lease_and_after_its_quarantine() {
    let before = NOW - LEASE - 1;
    let recovering = |from, at| reply(from, at, RecoveryState::Recovering);
    let replies = || [recovering("a", NOW), reply("b", NOW - LEASE, RecoveryState::StateLost)];
    assert_eq!(concluded(10, &replies()), (true, AdmissionReason::StateLost));
    assert_eq!(concluded_with(21_000_000, 10, &replies()), (false, AdmissionReason::AwaitingOperators));
    // A lease may run that the quarantined voter granted, or that was granted after the older reply.
    let others = [reply("b", NOW, RecoveryState::Quarantined), recovering("b", before), recovering("q", NOW)];
    for other in others {
        let case = format!("{} at {}: {:?}", other.from, other.requested_at, other.voter);
        assert!(!concluded(10, &[recovering("a", NOW), other]).0, "{case}");
    }
}

#[test]
fn all_voters_have_lost_the_state_only_if_each_voter_says_so() {
    let config = Config { lease_duration: LEASE, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
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
fn a_process_that_was_stopped_itself_has_not_waited() {
    assert_eq!(concluded(15, &[]), (true, AdmissionReason::NoReply));
    assert_eq!(concluded(14, &[]), (false, AdmissionReason::AwaitingReply));
    // And while a process with the complete state lives, beside a majority that votes, a leader will admit it.
    let recovered = |from, has_complete_state| TestReply {
        has_complete_state,
        ..reply(from, NOW, RecoveryState::Recovered)
    };
    let replies = [recovered("a", true), recovered("b", false)];
    assert_eq!(concluded(60, &replies), (false, AdmissionReason::AwaitingAdmission));
    let replies = [recovered("a", true)];
    assert_eq!(concluded(60, &replies), (true, AdmissionReason::NoQuorumStateFrom(name("a"))));
}
