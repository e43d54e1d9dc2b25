//! Tests that a process ignores messages that are late, meant for another incarnation or dated in the future.
//! Each case is compared with a valid message, which does change the process.

use flaxhead_lease::{
    AdmissionStatus, Application, ApplicationTypes, Ballot, CommandError, Config, Context, Facts,
    LeaderContext, LeaseGrant, LocalReplica, Machine, Message, Micros, Name, NoCommand, Process,
    ReceivedGrant, RecoveryReply, RecoveryState, RecoveryStatus, Version, Versioned, Voters,
};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// Application that records the grants that the process receives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct GrantRecorder(Vec<u32>);

impl ApplicationTypes for GrantRecorder {
    type State = ();
    type Report = ();
    type Grant = u32;
    type Command = NoCommand;
    type Response = NoCommand;
    type Rejection = CommandError;
    type Facts = ();
    type Event = ();
    const MAX_STATE_BYTES: usize = 0;
    const MAX_REPORT_BYTES: usize = 0;
    const MAX_GRANT_BYTES: usize = 5;
    const MAX_COMMAND_BYTES: usize = 0;
}

impl Application for GrantRecorder {
    type LeaderData = ();

    fn report(&mut self, _: Micros, _: &LocalReplica<Self>, _: &()) {}

    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        self.0.push(granted.grant);
    }

    fn begin_leadership(&self, _: &mut LeaderContext<'_, Self>) {}

    fn grant(&self, _: &mut (), _: &mut LeaderContext<'_, Self>, _: &Process) -> u32 {
        0
    }

    fn command(
        &self,
        _: &mut (),
        _: &mut LeaderContext<'_, Self>,
        command: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match command {}
    }
}

const NOW: Micros = 10_000_000;
const INCARNATION: u64 = 7;

fn name(text: &str) -> Name {
    Name::new(text).expect("valid name")
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, name: name("a"), incarnation: 1 }
}

/// Returns the machine of a process that waits for admission, after it has received these messages.
fn process_after(messages: Vec<(&str, Message<GrantRecorder>)>) -> Machine<GrantRecorder> {
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("valid voters");
    let me = Process { name: name("q"), incarnation: INCARNATION, address: ([127, 0, 0, 1], 1).into() };
    let mut machine = Machine::new(Config::default(), GrantRecorder::default(), voters, me, NOW - 1_000);
    let (facts, mut random) = (Facts::default(), Pcg32::new(1, 1));
    for (from, message) in messages {
        let mut context = Context { now: NOW, facts: &facts, random: &mut random };
        machine.receive(&mut context, &name(from), message, &mut Vec::new());
    }
    machine
}

#[test]
fn grants_for_other_incarnations_from_the_future_or_of_superseded_leaders_are_ignored() {
    let granted = |round, incarnation, requested_at| {
        let grant =
            LeaseGrant { ballot: ballot(round), incarnation, requested_at, is_recovered: true, grant: 5 };
        ("a", Message::Granted(Box::new(grant)))
    };
    let accepted_grants = |messages| process_after(messages).application().0.len();
    assert_eq!(accepted_grants(vec![granted(1, INCARNATION, NOW)]), 1);
    assert_eq!(accepted_grants(vec![granted(1, INCARNATION - 1, NOW)]), 0, "for an earlier incarnation");
    assert_eq!(
        accepted_grants(vec![granted(1, INCARNATION, NOW + 1)]),
        0,
        "request dated in the future, as after a clock was set back"
    );
    let version = Version { ballot: Some(ballot(2)), seq: 1 };
    let later = Message::StateUpdate { state: Versioned { version, state: () } };
    assert_eq!(
        accepted_grants(vec![("a", later), granted(1, INCARNATION, NOW)]),
        0,
        "the leader froze and was superseded"
    );
}

#[test]
fn state_loss_replies_to_other_incarnations_or_older_than_a_lease_are_ignored() {
    let reply = |from, incarnation, requested_at| {
        let status = RecoveryStatus {
            voter: Some(RecoveryState::StateLost),
            has_complete_state: false,
            has_lease: false,
            leader: None,
            peers_with_complete_state: BTreeSet::new(),
        };
        let reply = RecoveryReply { incarnation, requested_at, status, state: None };
        (from, Message::RecoveryReply(Box::new(reply)))
    };
    let status = |incarnation, requested_at| {
        process_after(vec![reply("a", INCARNATION, NOW), reply("b", incarnation, requested_at)])
            .admission_status()
    };
    assert_eq!(status(INCARNATION, NOW - 1_000), AdmissionStatus::Autonomous);
    assert_eq!(status(INCARNATION - 1, NOW - 1_000), AdmissionStatus::Pending, "for an earlier incarnation");
    assert_eq!(status(INCARNATION, NOW + 1), AdmissionStatus::Pending, "request dated in the future");
    let expired = NOW - Config::default().lease_duration - 1;
    assert_eq!(status(INCARNATION, expired), AdmissionStatus::Pending, "the voter may be the leader by now");
}
