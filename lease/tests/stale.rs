//! Messages that come too late, for another process, or from a time that is not yet: none changes anything. Each is shown
//! beside the same message in time, which does.

use flaxhead_lease::{
    AdmissionStatus, Application, ApplicationTypes, Ballot, CommandError, Config, Context, Facts,
    LeaderContext, LeaseGrant, LocalReplica, Machine, Message, Micros, Name, NoCommand, Process,
    ReceivedGrant, RecoveryReply, RecoveryState, RecoveryStatus, Version, Versioned, Voters,
};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// Remembers what it was granted, and nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Grants(Vec<u32>);

impl ApplicationTypes for Grants {
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

impl Application for Grants {
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
    Name::new(text).expect("a name")
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, name: name("a"), incarnation: 1 }
}

/// A process that waits for its admission, once these messages came from the voters.
fn after(messages: Vec<(&str, Message<Grants>)>) -> Machine<Grants> {
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
    let me = Process { name: name("q"), incarnation: INCARNATION, address: ([127, 0, 0, 1], 1).into() };
    let mut machine = Machine::new(Config::default(), Grants::default(), voters, me, NOW - 1_000);
    let (facts, mut random) = (Facts::default(), Pcg32::new(1, 1));
    for (from, message) in messages {
        let mut context = Context { now: NOW, facts: &facts, random: &mut random };
        machine.receive(&mut context, &name(from), message, &mut Vec::new());
    }
    machine
}

#[test]
fn a_lease_counts_for_the_process_that_asked_and_of_the_highest_leader() {
    let granted = |round, incarnation, requested_at| {
        let grant =
            LeaseGrant { ballot: ballot(round), incarnation, requested_at, is_recovered: true, grant: 5 };
        ("a", Message::Granted(Box::new(grant)))
    };
    let taken = |messages| after(messages).application().0.len();
    assert_eq!(taken(vec![granted(1, INCARNATION, NOW)]), 1);
    assert_eq!(taken(vec![granted(1, INCARNATION - 1, NOW)]), 0, "to an earlier process of this name");
    assert_eq!(
        taken(vec![granted(1, INCARNATION, NOW + 1)]),
        0,
        "asked for at a time that is not yet: a clock went back"
    );
    let version = Version { ballot: Some(ballot(2)), seq: 1 };
    let later = Message::StateUpdate { state: Versioned { version, state: () } };
    assert_eq!(
        taken(vec![("a", later), granted(1, INCARNATION, NOW)]),
        0,
        "of a leader that froze and was followed by another"
    );
}

#[test]
fn what_voters_have_forgotten_counts_for_the_process_that_asked_and_for_a_lease() {
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
        after(vec![reply("a", INCARNATION, NOW), reply("b", incarnation, requested_at)]).admission_status()
    };
    assert_eq!(status(INCARNATION, NOW - 1_000), AdmissionStatus::Autonomous);
    assert_eq!(
        status(INCARNATION - 1, NOW - 1_000),
        AdmissionStatus::Pending,
        "to an earlier process of this name"
    );
    assert_eq!(status(INCARNATION, NOW + 1), AdmissionStatus::Pending, "a clock went back");
    let expired = NOW - Config::default().lease_duration - 1;
    assert_eq!(status(INCARNATION, expired), AdmissionStatus::Pending, "that voter may lead by now");
}
