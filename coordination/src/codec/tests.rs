//! Unit tests of the codec.

use super::*;
use flaxhead_lease::{
    ApplicationTypes, Ballot, CommandError, LeaderContext, LeaseGrant, LocalReplica, Micros, Name, NoCommand,
    Process,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Texts;

impl ApplicationTypes for Texts {
    type State = ();
    type Report = String;
    type Grant = String;
    type Command = NoCommand;
    type Response = NoCommand;
    type Rejection = CommandError;
    type Facts = ();
    type Event = ();
    const MAX_STATE_BYTES: usize = 0;
    const MAX_REPORT_BYTES: usize = 2_000;
    const MAX_GRANT_BYTES: usize = 1_000;
    const MAX_COMMAND_BYTES: usize = 0;
}

impl Application for Texts {
    type LeaderData = ();

    fn report(&mut self, _: Micros, _: &LocalReplica<Self>, (): &()) -> String {
        String::new()
    }

    fn begin_leadership(&self, _: &mut LeaderContext<'_, Self>) {}

    fn grant(&self, (): &mut (), _: &mut LeaderContext<'_, Self>, _: &Process) -> String {
        String::new()
    }

    fn command(
        &self,
        (): &mut (),
        _: &mut LeaderContext<'_, Self>,
        command: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match command {}
    }
}

fn granted(length: usize) -> Message<Texts> {
    let ballot = Ballot { round: 1, name: Name::new("a").expect("a name"), incarnation: 1 };
    let grant = "x".repeat(length);
    let grant = LeaseGrant { ballot, incarnation: 1, requested_at: 1, is_recovered: true, grant };
    Message::Granted(Box::new(grant))
}

#[test]
fn a_message_that_is_longer_than_its_application_allows_is_neither_sent_nor_taken() {
    let good = granted(1_000);
    let bytes = encode(&good).expect("it fits");
    assert_eq!(decode::<Texts>(&bytes), Ok(good));
    // As long as a report may be, but it is a grant.
    let long = granted(1_900);
    assert_eq!(encode(&long), Err(CodecError::TooLong));
    let bytes = postcard::to_allocvec(&long).expect("bytes");
    assert_eq!(decode::<Texts>(&bytes), Err(CodecError::TooLong));
    let huge = vec![0; Message::<Texts>::MAX_BYTES + 1];
    assert_eq!(decode::<Texts>(&huge), Err(CodecError::TooLong));
    assert_eq!(decode::<Texts>(&[0xff, 1, 2]), Err(CodecError::Malformed));
    let mut excess = encode(&granted(1)).expect("it fits");
    excess.push(0);
    assert_eq!(decode::<Texts>(&excess), Err(CodecError::Malformed));
}
