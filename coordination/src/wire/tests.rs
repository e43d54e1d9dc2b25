//! Unit tests of `wire`.

use super::*;
use flaxhead_lease::{
    ApplicationTypes, Ballot, CommandError, LeaderContext, LeaseGrant, Member, Micros, Name, NoCommand,
    Process,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Words;

impl ApplicationTypes for Words {
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

impl Application for Words {
    type LeaderData = ();

    fn report(&mut self, _: Micros, _: &Member<Self>, (): &()) -> String {
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
        order: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match order {}
    }
}

fn granted(length: usize) -> Message<Words> {
    let ballot = Ballot { round: 1, name: Name::new("a").expect("a name"), incarnation: 1 };
    Message::Granted(Box::new(LeaseGrant {
        ballot,
        incarnation: 1,
        requested_at: 1,
        is_recovered: true,
        grant: "x".repeat(length),
    }))
}

#[test]
fn what_is_longer_than_its_matter_says_is_neither_sent_nor_taken() {
    let good = granted(1_000);
    let bytes = encode(&good).expect("fits");
    assert_eq!(decode::<Words>(&bytes), Ok(good));
    // As long as a word may be, but it is a leave.
    let long = granted(1_900);
    assert_eq!(encode(&long), Err(Unfit::Long));
    let bytes = postcard::to_allocvec(&long).expect("bytes");
    assert_eq!(decode::<Words>(&bytes), Err(Unfit::Long));
    let huge = vec![0; Message::<Words>::MAX_BYTES + 1];
    assert_eq!(decode::<Words>(&huge), Err(Unfit::Long));
    assert_eq!(decode::<Words>(&[0xff, 1, 2]), Err(Unfit::Malformed));
    let mut more = encode(&granted(1)).expect("fits");
    more.push(0);
    assert_eq!(decode::<Words>(&more), Err(Unfit::Malformed));
}
