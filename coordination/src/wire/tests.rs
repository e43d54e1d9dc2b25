//! Unit tests of `wire`.

use super::*;
use flaxhead_lease::{Ballot, Member, Micros, Name, Never, Process, Room, Terms, Unsettled};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Words;

impl Terms for Words {
    type Slate = ();
    type Word = String;
    type Leave = String;
    type Order = Never;
    type Answer = Never;
    type Refusal = Unsettled;
    type Facts = ();
    type Note = ();
    const SLATE_MOST: usize = 0;
    const WORD_MOST: usize = 2_000;
    const LEAVE_MOST: usize = 1_000;
    const ORDER_MOST: usize = 0;
}

impl Application for Words {
    type Desk = ();

    fn word(&mut self, _: Micros, _: &Member<Self>, (): &()) -> String {
        String::new()
    }

    fn begin(&self, _: &mut Room<'_, Self>) {}

    fn leave(&self, (): &mut (), _: &mut Room<'_, Self>, _: &Process) -> String {
        String::new()
    }

    fn order(&self, (): &mut (), _: &mut Room<'_, Self>, order: Never) -> Result<Never, Unsettled> {
        match order {}
    }
}

fn granted(length: usize) -> Message<Words> {
    let ballot = Ballot { round: 1, name: Name::new("a").expect("a name"), life: 1 };
    Message::Granted { ballot, life: 1, stamp: 1, remembers: true, leave: "x".repeat(length) }
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
    let huge = vec![0; Message::<Words>::MOST + 1];
    assert_eq!(decode::<Words>(&huge), Err(Unfit::Long));
    assert_eq!(decode::<Words>(&[0xff, 1, 2]), Err(Unfit::Malformed));
    let mut more = encode(&granted(1)).expect("fits");
    more.push(0);
    assert_eq!(decode::<Words>(&more), Err(Unfit::Malformed));
}
