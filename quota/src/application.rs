//! The shares, as something that the proxies settle in common.

use crate::allowance::Allowance;
use crate::book::Book;
use crate::capacity::Host;
use crate::held::Held;
use crate::ledger::Ledger;
use crate::pace::Pace;
use crate::word::{Leave, Seat, Stamp, Usage, Word};
use flaxhead_lease::{
    Application, Ballot, Config, Granted, Member, MemberFact, Micros, Name, Never, Presence, Process, Room,
    Said, Terms, Unsettled,
};

/// One process's part.
pub type Machine = flaxhead_lease::Machine<Shares>;
/// What one process says to another.
pub type Message = flaxhead_lease::Message<Shares>;
/// What is to be done.
pub type Effect = flaxhead_lease::Effect<Shares>;
/// What a process is given with everything that happens.
pub type Around<'a> = flaxhead_lease::Around<'a, Vec<Host>>;
/// What a process knows from elsewhere.
pub type Facts = flaxhead_lease::Facts<Vec<Host>>;

/// The shares, as one process takes part in them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    held: Held,
    pace: Pace,
    usage: Usage,
    hurries: bool,
}

impl Shares {
    /// A process that starts at `now` and remembers nothing.
    pub fn new(now: Micros, book: Book, pace: Pace) -> Shares {
        let held = Held::new(now, book, pace.clone());
        Shares { held, pace, usage: Usage::default(), hurries: false }
    }

    /// How the machine is to be paced. A holder that remembers nothing needs to wait for nobody's word: its ledger learns
    /// for so long.
    pub fn config(pace: &Pace) -> Config {
        Config {
            lease: pace.lease,
            longest_call: pace.longest_call,
            cold_wait: pace.all_over(),
            alone_after: pace.alone_after,
            known_wait: 0,
        }
    }

    /// What the process has now, what it had at the most since this was last said, and what was refused or ended since.
    pub fn use_now(&mut self, now: Micros, usage: Usage) {
        let before = std::mem::replace(&mut self.usage, usage);
        for (tenant, before) in self.usage.tenants.iter_mut().zip(&before.tenants) {
            tenant.most = tenant.most.max(before.most);
            tenant.refused = tenant.refused.saturating_add(before.refused);
        }
        self.usage.attempts = self.usage.attempts.saturating_add(before.attempts);
        self.usage.turned_away = self.usage.turned_away.saturating_add(before.turned_away);
        self.hurries = now >= self.word_wanted();
    }

    /// When the next word is wanted: [`Shares::use_now`] is to be called then, and when something begins to wait.
    pub fn word_wanted(&self) -> Micros {
        self.held.word_wanted(&self.usage)
    }

    /// What may be in hand from now on.
    pub fn allowance(&mut self, now: Micros) -> Allowance {
        self.held.allowance(now)
    }

    /// When that says something else, if nothing is heard until then.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        self.held.next_change(now)
    }

    /// Whether this process may use its own parts.
    pub fn seat(&self) -> Seat {
        self.held.seat()
    }

    /// The newest leave that it goes by.
    pub fn fence(&self) -> Option<&Stamp> {
        self.held.fence()
    }

    /// Nobody can say that there are too many processes.
    pub fn nobody_holds(&mut self) {
        self.held.nobody_holds();
    }
}

impl Terms for Shares {
    type Slate = ();
    type Word = Word;
    type Leave = Leave;
    type Order = Never;
    type Answer = Never;
    type Refusal = Unsettled;
    type Facts = Vec<Host>;
    type Note = String;

    const SLATE_MOST: usize = 0;
    // As many tenants as a book can have, with their names where settings differ.
    const WORD_MOST: usize = 1 << 15;
    const LEAVE_MOST: usize = 1 << 13;
    const ORDER_MOST: usize = 0;
}

impl Application for Shares {
    type Desk = Ledger;

    fn word(&mut self, now: Micros, _: &Member<Self>, _: &Vec<Host>) -> Word {
        self.hurries = false;
        let said = self.usage.clone();
        for tenant in &mut self.usage.tenants {
            (tenant.most, tenant.refused) = (0, 0);
        }
        (self.usage.attempts, self.usage.turned_away) = (0, 0);
        self.held.word(now, said)
    }

    fn granted(&mut self, granted: &Granted<Self>) {
        self.held.leave(&granted.ballot, granted.until, granted.leave.clone());
    }

    fn fenced(&mut self, fence: &Ballot) {
        self.held.fence_rose(fence);
    }

    fn forgotten(&mut self) {
        self.held.nobody_holds();
    }

    fn hurries(&self) -> bool {
        self.hurries
    }

    fn begin(&self, room: &mut Room<'_, Self>) -> Ledger {
        let (ballot, sure) = (room.ballot().clone(), room.cold().is_none());
        let roster = room.processes().map(|(process, _)| process);
        Ledger::begin(room.now, self.held.book().clone(), self.pace.clone(), ballot, sure, roster)
    }

    fn heard(&self, ledger: &mut Ledger, room: &mut Room<'_, Self>, said: &Said<'_, Self>) {
        ledger.word(room.now, said.process, said.stamp, said.word.clone());
    }

    fn leave(&self, ledger: &mut Ledger, room: &mut Room<'_, Self>, process: &Process) -> Leave {
        ledger.hosts(&room.facts.own);
        let runs = |fact: &MemberFact| !matches!(fact.presence, Presence::Ended);
        let members = room.facts.members.iter().filter(|(_, fact)| runs(fact));
        let listed =
            |(name, fact): (&Name, &MemberFact)| Process { name: name.clone(), life: fact.life, at: fact.at };
        ledger.members(members.map(listed));
        ledger.leave(room.now, process)
    }

    fn parted(&self, ledger: &mut Ledger, _: &mut Room<'_, Self>, process: &Process) {
        ledger.forgotten(process);
    }

    fn order(&self, _: &mut Ledger, _: &mut Room<'_, Self>, order: Never) -> Result<Never, Unsettled> {
        match order {}
    }
}
