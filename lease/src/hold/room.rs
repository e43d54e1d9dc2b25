//! What an application sees of the holder, and may do there.

use super::heard::Heard;
use super::state::Hold;
use crate::ballot::Ballot;
use crate::config::Config;
use crate::facts::Facts;
use crate::roster::Process;
use crate::terms::Terms;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// The holder, as an application finds it with everything that happens there.
pub struct Room<'a, T: Terms> {
    pub(crate) hold: &'a mut Hold<T>,
    pub(crate) voters: &'a Voters,
    /// The time.
    pub now: Micros,
    /// How the protocol is paced.
    pub config: &'a Config,
    /// What is known from elsewhere.
    pub facts: &'a Facts<T::Facts>,
    /// The holder's process.
    pub me: &'a Process,
}

impl<T: Terms> Room<'_, T> {
    /// The holder's number.
    pub fn ballot(&self) -> &Ballot {
        &self.hold.ballot
    }

    /// The slate, its times as they are now.
    pub fn slate(&self) -> &T::Slate {
        &self.hold.told.slate
    }

    /// To be written. It is told to all once [`Room::change`] says that it is another.
    pub fn slate_mut(&mut self) -> &mut T::Slate {
        &mut self.hold.told.slate
    }

    /// Which of this holder's slates it is.
    pub fn seq(&self) -> u64 {
        self.hold.told.version.seq
    }

    /// The slate is another: all are told.
    pub fn change(&mut self) {
        self.hold.change();
    }

    /// All processes that may have leave, and what is known of each.
    pub fn processes(&self) -> impl Iterator<Item = (&Process, &Heard<T>)> {
        self.hold.heard.iter()
    }

    /// What is known of a process; `None`: it is not on the roster.
    pub fn heard(&self, process: &Process) -> Option<&Heard<T>> {
        self.hold.heard.get(process)
    }

    /// Whether a process was heard within a lease, under this fence.
    pub fn lately(&self, heard: &Heard<T>) -> bool {
        heard.lately(self.now, self.config)
    }

    /// Whether a process goes by this holder's slate of this count, or a later one.
    pub fn goes_by(&self, heard: &Heard<T>, seq: u64) -> bool {
        heard.goes_by(&self.hold.ballot, seq)
    }

    /// Whether a majority of voters goes by the slate of this count: whoever holds next knows it.
    pub fn on_record(&self, seq: u64) -> bool {
        self.hold.on_record(self.now, self.config, self.voters, seq)
    }

    /// Since when it is not known for sure who takes part and what is settled; `None`: it is known.
    pub fn cold(&self) -> Option<Micros> {
        self.hold.cold
    }

    /// All is known from now on. Whether it was not before.
    pub fn remember(&mut self) -> bool {
        self.hold.cold.take().is_some()
    }

    /// A process does not run any more. The application hears of its parting as of any other's.
    pub fn forget(&mut self, process: &Process) {
        self.hold.forget(process);
    }

    /// A step, for the trail.
    pub fn note(&mut self, note: T::Note) {
        self.hold.noted.push(note);
    }
}
