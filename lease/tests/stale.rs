//! Decisions that come too late, to another process, or from a time that is not yet: none changes anything. Each is shown
//! beside the same decision in time, which does.

use flaxhead_lease::{
    Application, Around, Ballot, Config, Facts, Granted, Known, Machine, Member, Message, Micros, Name,
    Never, Process, Room, Serving, Terms, Told, Unsettled, Version, Voters, Word,
};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// What was granted, and nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Leaves(Vec<u32>);

impl Terms for Leaves {
    type Slate = ();
    type Word = ();
    type Leave = u32;
    type Order = Never;
    type Answer = Never;
    type Refusal = Unsettled;
    type Facts = ();
    type Note = ();
    const SLATE_MOST: usize = 0;
    const WORD_MOST: usize = 0;
    const LEAVE_MOST: usize = 5;
    const ORDER_MOST: usize = 0;
}

impl Application for Leaves {
    type Desk = ();

    fn word(&mut self, _: Micros, _: &Member<Self>, _: &()) {}

    fn granted(&mut self, granted: &Granted<Self>) {
        self.0.push(granted.leave);
    }

    fn begin(&self, _: &mut Room<'_, Self>) {}

    fn leave(&self, _: &mut (), _: &mut Room<'_, Self>, _: &Process) -> u32 {
        0
    }

    fn order(&self, _: &mut (), _: &mut Room<'_, Self>, order: Never) -> Result<Never, Unsettled> {
        match order {}
    }
}

const NOW: Micros = 10_000_000;
const LIFE: u64 = 7;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, name: name("a"), life: 1 }
}

/// One that waits to be let in, once these came from the voters.
fn after(messages: Vec<(&str, Message<Leaves>)>) -> Machine<Leaves> {
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
    let me = Process { name: name("q"), life: LIFE, at: ([127, 0, 0, 1], 1).into() };
    let mut machine = Machine::new(Config::default(), Leaves::default(), voters, me, NOW - 1_000);
    let (facts, mut random) = (Facts::default(), Pcg32::new(1, 1));
    for (from, message) in messages {
        let mut around = Around { now: NOW, facts: &facts, random: &mut random };
        machine.receive(&mut around, &name(from), message, &mut Vec::new());
    }
    machine
}

#[test]
fn leave_counts_for_the_process_that_asked_and_of_the_highest_holder() {
    let granted = |round, life, stamp| {
        let (remembers, leave) = (true, 5);
        ("a", Message::Granted { ballot: ballot(round), life, stamp, remembers, leave })
    };
    let took = |messages| after(messages).application().0.len();
    assert_eq!(took(vec![granted(1, LIFE, NOW)]), 1);
    assert_eq!(took(vec![granted(1, LIFE - 1, NOW)]), 0, "to the process before it with this name");
    assert_eq!(
        took(vec![granted(1, LIFE, NOW + 1)]),
        0,
        "asked for at a time that is not yet: a clock went back"
    );
    let later =
        Message::Tell { told: Told { version: Version { fence: Some(ballot(2)), seq: 1 }, slate: () } };
    assert_eq!(
        took(vec![("a", later), granted(1, LIFE, NOW)]),
        0,
        "of a holder that froze and was followed by another"
    );
}

#[test]
fn what_voters_have_forgotten_counts_for_the_process_that_asked_and_for_a_lease() {
    let informed = |from, life, stamp| {
        let (knows, leave, holder, named) = (false, false, None, BTreeSet::new());
        let word = Word { known: Some(Known::Cold), knows, leave, holder, named };
        (from, Message::Informed { life, stamp, word, told: None })
    };
    let serves = |life, stamp| after(vec![informed("a", LIFE, NOW), informed("b", life, stamp)]).serving();
    assert_eq!(serves(LIFE, NOW - 1_000), Serving::Alone);
    assert_eq!(serves(LIFE - 1, NOW - 1_000), Serving::Waits, "to the process before it with this name");
    assert_eq!(serves(LIFE, NOW + 1), Serving::Waits, "a clock went back");
    assert_eq!(serves(LIFE, NOW - Config::default().lease - 1), Serving::Waits, "that voter may hold by now");
}
