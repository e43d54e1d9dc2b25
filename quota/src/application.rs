//! The shares, as something that the proxies settle in common.

use crate::allowance::Allowance;
use crate::book::Book;
use crate::capacity::Host;
use crate::held::Held;
use crate::ledger::Ledger;
use crate::pace::Pace;
use crate::word::{Leave, Seat, Stamp, Usage, Word};
use flaxhead_lease::{
    Application, ApplicationTypes, Ballot, CommandError, Config, LeaderContext, Member, MemberStatus, Micros,
    Name, NoCommand, Presence, Process, ReceivedGrant, ReceivedReport,
};

/// One process's part.
pub type Machine = flaxhead_lease::Machine<Shares>;
/// What one process says to another.
pub type Message = flaxhead_lease::Message<Shares>;
/// What is to be done.
pub type Effect = flaxhead_lease::Effect<Shares>;
/// What a process is given with everything that happens.
pub type Around<'a> = flaxhead_lease::Context<'a, Vec<Host>>;
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
            max_call_duration: pace.longest_call,
            state_loss_timeout: pace.all_over(),
            autonomy_timeout: pace.alone_after,
            operator_wait: 0,
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

impl ApplicationTypes for Shares {
    type State = ();
    type Report = Word;
    type Grant = Leave;
    type Command = NoCommand;
    type Response = NoCommand;
    type Rejection = CommandError;
    type Facts = Vec<Host>;
    type Event = String;

    const MAX_STATE_BYTES: usize = 0;
    // As many tenants as a book can have, with their names where settings differ.
    const MAX_REPORT_BYTES: usize = 1 << 15;
    const MAX_GRANT_BYTES: usize = 1 << 13;
    const MAX_COMMAND_BYTES: usize = 0;
}

impl Application for Shares {
    type LeaderData = Ledger;

    fn report(&mut self, now: Micros, _: &Member<Self>, _: &Vec<Host>) -> Word {
        self.hurries = false;
        let said = self.usage.clone();
        for tenant in &mut self.usage.tenants {
            (tenant.most, tenant.refused) = (0, 0);
        }
        (self.usage.attempts, self.usage.turned_away) = (0, 0);
        self.held.word(now, said)
    }

    fn granted(&mut self, granted: &ReceivedGrant<Self>) {
        self.held.leave(&granted.ballot, granted.expires_at, granted.grant.clone());
    }

    fn fenced(&mut self, fence: &Ballot) {
        self.held.fence_rose(fence);
    }

    fn state_lost(&mut self) {
        self.held.nobody_holds();
    }

    fn wants_early_renewal(&self) -> bool {
        self.hurries
    }

    fn begin_leadership(&self, room: &mut LeaderContext<'_, Self>) -> Ledger {
        let (ballot, sure) = (room.ballot().clone(), room.state_lost_since().is_none());
        let roster = room.processes().map(|(process, _)| process);
        Ledger::begin(room.now, self.held.book().clone(), self.pace.clone(), ballot, sure, roster)
    }

    fn report_received(
        &self,
        ledger: &mut Ledger,
        room: &mut LeaderContext<'_, Self>,
        said: &ReceivedReport<'_, Self>,
    ) {
        ledger.word(room.now, said.process, said.sent_at, said.report.clone());
    }

    fn grant(&self, ledger: &mut Ledger, room: &mut LeaderContext<'_, Self>, process: &Process) -> Leave {
        ledger.hosts(&room.facts.application);
        let runs = |fact: &MemberStatus| !matches!(fact.presence, Presence::Exited);
        let members = room.facts.members.iter().filter(|(_, fact)| runs(fact));
        let listed = |(name, fact): (&Name, &MemberStatus)| Process {
            name: name.clone(),
            incarnation: fact.incarnation,
            address: fact.address,
        };
        ledger.members(members.map(listed));
        ledger.leave(room.now, process)
    }

    fn process_left(&self, ledger: &mut Ledger, _: &mut LeaderContext<'_, Self>, process: &Process) {
        ledger.forgotten(process);
    }

    fn command(
        &self,
        _: &mut Ledger,
        _: &mut LeaderContext<'_, Self>,
        order: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match order {}
    }
}
