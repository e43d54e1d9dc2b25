//! What is settled in common: the one narrow trait over which a package takes part.

use crate::ballot::Ballot;
use crate::hold::Room;
use crate::member::Member;
use crate::roster::Process;
use crate::terms::Terms;
use flaxhead_membership::Micros;

/// A process's word, as it came with its renewal. Only words of processes that go by this holder's slate are taken, and
/// so by its ballot: such a process takes nothing of a lower one any more.
#[derive(Debug)]
pub struct Said<'a, T: Terms> {
    /// Whose.
    pub process: &'a Process,
    /// When it was said, by that process's clock: of two, the greater is the later. Words may come doubled and late.
    pub stamp: Micros,
    /// It is the first of this process that this holder takes.
    pub first: bool,
    /// What.
    pub word: &'a T::Word,
}

/// Leave, as it came to the process that had asked for it.
#[derive(Debug)]
pub struct Granted<T: Terms> {
    /// By whom. It is no lower than any that was heard of.
    pub ballot: Ballot,
    /// When the process asked, by its own clock.
    pub stamp: Micros,
    /// Until when it lasts, by its own clock.
    pub until: Micros,
    /// What goes along with it.
    pub leave: T::Leave,
}

/// Something that the proxies settle in common. The value itself is the part that every process has; the holder has a
/// [`Application::Desk`] besides, for as long as it holds.
///
/// Each application has a lease and a roster of its own ([`crate::Machine`]), so that two of them share nothing that could go
/// wrong together. All methods decide only: they have no I/O and no clock, and the same calls lead to the same state.
///
/// An application whose word goes to each process alone (shares) takes `()` as its slate and has orders that [`crate::Never`]
/// are:
///
/// ```
/// use flaxhead_lease::{Granted, Application, Member, Micros, Never, Process, Room, Said, Terms, Unsettled};
/// use std::collections::BTreeMap;
///
/// /// So many units for all, shared evenly among those that want any.
/// #[derive(Clone, Debug, PartialEq, Eq, Hash)]
/// struct Even {
///     units: u32,
///     wanted: u32,
///     mine: u32,
///     hurries: bool,
/// }
///
/// impl Terms for Even {
///     type Slate = ();
///     type Word = u32;
///     type Leave = u32;
///     type Order = Never;
///     type Answer = Never;
///     type Refusal = Unsettled;
///     type Facts = ();
///     type Note = String;
///     const SLATE_MOST: usize = 0;
///     const WORD_MOST: usize = 5;
///     const LEAVE_MOST: usize = 5;
///     const ORDER_MOST: usize = 0;
/// }
///
/// impl Application for Even {
///     type Desk = BTreeMap<Process, u32>;
///
///     fn word(&mut self, _: Micros, _: &Member<Self>, _: &()) -> u32 {
///         self.hurries = false;
///         self.wanted
///     }
///
///     fn granted(&mut self, granted: &Granted<Self>) {
///         self.mine = granted.leave;
///     }
///
///     fn hurries(&self) -> bool {
///         self.hurries
///     }
///
///     fn begin(&self, _: &mut Room<'_, Self>) -> Self::Desk {
///         BTreeMap::new()
///     }
///
///     fn heard(&self, desk: &mut Self::Desk, _: &mut Room<'_, Self>, said: &Said<'_, Self>) {
///         desk.insert(said.process.clone(), *said.word);
///     }
///
///     fn leave(&self, desk: &mut Self::Desk, _: &mut Room<'_, Self>, process: &Process) -> u32 {
///         let wanting = desk.values().filter(|wanted| **wanted > 0).count().max(1) as u32;
///         desk.get(process).map_or(0, |wanted| (*wanted).min(self.units / wanting))
///     }
///
///     fn parted(&self, desk: &mut Self::Desk, _: &mut Room<'_, Self>, process: &Process) {
///         desk.remove(process);
///     }
///
///     fn order(&self, _: &mut Self::Desk, _: &mut Room<'_, Self>, order: Never) -> Result<Never, Unsettled> {
///         match order {}
///     }
/// }
/// ```
///
/// (It is a toy: a unit that was lowered is given to another before it is known to be free.)
pub trait Application: Terms {
    /// What the holder keeps of it; gone with the lease.
    type Desk: Clone + std::fmt::Debug + Eq + std::hash::Hash;

    // Every process.

    /// Its word for the renewal that is sent now.
    fn word(&mut self, now: Micros, member: &Member<Self>, facts: &Self::Facts) -> Self::Word;

    /// A slate came, no older than the one before.
    fn told(&mut self, now: Micros, slate: &Self::Slate) {
        let _ = (now, slate);
    }

    /// Leave came, of a holder whose fence counts.
    fn granted(&mut self, granted: &Granted<Self>) {
        let _ = granted;
    }

    /// A higher fence was heard of: what was granted under a lower one is renewed by nobody.
    fn fenced(&mut self, fence: &Ballot) {
        let _ = fence;
    }

    /// While this process waits to be let in: every voter has said within a lease that it has forgotten what was settled.
    fn forgotten(&mut self) {}

    /// Whether its next word should not wait for the regular renewal. Asked for after everything that happens; the core
    /// bounds the pace to a twelfth of the regular pause and more, with jitter, and the application takes its wish back in
    /// [`Application::word`].
    fn hurries(&self) -> bool {
        false
    }

    // The holder.

    /// This process holds. The slate is the newest of those that a majority of voters and this process had; where too
    /// many have forgotten ([`Room::cold`]), with all that any of them knew ([`crate::Slate::absorb`]). The roster is
    /// [`Room::processes`]: those of the last holder's, where that is remembered. The slate is told to all.
    fn begin(&self, room: &mut Room<'_, Self>) -> Self::Desk;

    /// A process that goes by this holder's slate said something.
    fn heard(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>, said: &Said<'_, Self>) {
        let _ = (desk, room, said);
    }

    /// What goes along with the leave that is granted to a process now. It may be lost on the way.
    fn leave(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>, process: &Process) -> Self::Leave;

    /// A process left the roster: it has ended, or its place was taken by another.
    fn parted(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>, process: &Process) {
        let _ = (desk, room, process);
    }

    /// Something happened, or it is time. Where the slate is another afterwards, [`Room::change`] says so.
    fn step(&self, desk: &mut Self::Desk, room: &mut Room<'_, Self>) {
        let _ = (desk, room);
    }

    /// An operator's order. The answer goes out once the slate, as it is when this returns, is on record at a majority
    /// of voters.
    fn order(
        &self,
        desk: &mut Self::Desk,
        room: &mut Room<'_, Self>,
        order: Self::Order,
    ) -> Result<Self::Answer, Self::Refusal>;
}
