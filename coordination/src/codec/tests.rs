//! Unit tests of the message codec.

use super::*;
use flaxhead_lease::{
    ApplicationTypes, Ballot, CommandError, LeaderContext, LeaseGrant, LocalReplica, Micros, Name, NoCommand,
    Process,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TextApplication;

impl ApplicationTypes for TextApplication {
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

impl Application for TextApplication {
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

fn grant_message(length: usize) -> Message<TextApplication> {
    let ballot = Ballot { round: 1, name: Name::new("a").expect("valid name"), incarnation: 1 };
    let grant = "x".repeat(length);
    let grant = LeaseGrant { ballot, incarnation: 1, requested_at: 1, is_recovered: true, grant };
    Message::Granted(Box::new(grant))
}

#[test]
fn oversized_and_malformed_messages_are_rejected() {
    let largest = grant_message(1_000);
    let bytes = encode(&largest).expect("within the size limit");
    assert_eq!(decode::<TextApplication>(&bytes), Ok(largest));
    // The grant exceeds its own size limit, but not that of a report.
    let oversized = grant_message(1_900);
    assert_eq!(encode(&oversized), Err(CodecError::TooLong));
    let bytes = postcard::to_allocvec(&oversized).expect("encodable");
    assert_eq!(decode::<TextApplication>(&bytes), Err(CodecError::TooLong));
    let oversized_bytes = vec![0; Message::<TextApplication>::MAX_BYTES + 1];
    assert_eq!(decode::<TextApplication>(&oversized_bytes), Err(CodecError::TooLong));
    assert_eq!(decode::<TextApplication>(&[0xff, 1, 2]), Err(CodecError::Malformed));
    let mut with_trailing_byte = encode(&grant_message(1)).expect("within the size limit");
    with_trailing_byte.push(0);
    assert_eq!(decode::<TextApplication>(&with_trailing_byte), Err(CodecError::Malformed));
}
