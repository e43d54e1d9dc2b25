//! The holder: its records, and its application's desk.

use crate::application::{Application, Said};
use crate::config::Config;
use crate::facts::Facts;
use crate::hold::{Hold, Room};
use crate::message::Renewal;
use crate::roster::Process;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

/// The holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder<M: Application> {
    pub hold: Hold<M>,
    pub(super) desk: M::Desk,
}

/// What is around a holder when something happens.
pub(super) struct At<'a, M: Application> {
    pub now: Micros,
    pub config: &'a Config,
    pub voters: &'a Voters,
    pub facts: &'a Facts<M::Facts>,
    pub me: &'a Process,
    pub application: &'a M,
}

/// What a renewal led to.
pub(super) struct Reply<M: Application> {
    pub leave: Option<M::Leave>,
    /// It needs the slate.
    pub behind: bool,
    /// It is new on the roster.
    pub enrolled: bool,
}

fn room<'a, M: Application>(hold: &'a mut Hold<M>, at: &At<'a, M>) -> Room<'a, M> {
    let At { now, config, voters, facts, me, .. } = *at;
    Room { hold, voters, now, config, facts, me }
}

impl<M: Application> Holder<M> {
    pub fn new(mut hold: Hold<M>, at: &At<'_, M>) -> Holder<M> {
        let desk = at.application.begin(&mut room(&mut hold, at));
        Holder { hold, desk }
    }

    /// Does what can be done. Whether the slate is another then.
    pub fn step(&mut self, at: &At<'_, M>) -> bool {
        let (now, config) = (at.now, at.config);
        if !self.hold.holds(now) {
            return false;
        }
        self.hold.age(now);
        self.hold.part(now, config, at.facts, at.me);
        self.tell_parted(at);
        if self.hold.cold.is_some_and(|since| now.saturating_sub(since) >= config.cold_wait) {
            self.hold.cold = None;
        }
        let before = self.hold.told.version.seq;
        at.application.step(&mut self.desk, &mut room(&mut self.hold, at));
        self.tell_parted(at);
        self.hold.told.version.seq != before
    }

    fn tell_parted(&mut self, at: &At<'_, M>) {
        for process in self.hold.parted() {
            at.application.parted(&mut self.desk, &mut room(&mut self.hold, at), &process);
        }
    }

    /// A process asks for leave.
    pub fn renewed(&mut self, at: &At<'_, M>, renewal: Renewal<M>) -> Reply<M> {
        let Renewal { process, stamp, version, word, .. } = renewal;
        let renewed = self.hold.renewed(at.now, at.config, at.voters, (&process, version, word.clone()));
        if renewed.goes_by {
            let said = Said { process: &process, stamp, first: renewed.first, word: &word };
            at.application.heard(&mut self.desk, &mut room(&mut self.hold, at), &said);
        }
        let leave = renewed
            .leave
            .then(|| at.application.leave(&mut self.desk, &mut room(&mut self.hold, at), &process));
        Reply { leave, behind: renewed.behind, enrolled: renewed.enrolled }
    }

    /// Takes an order; the answer follows once it is on record.
    pub fn order(&mut self, at: &At<'_, M>, from: Name, id: u64, order: M::Order) -> Result<(), M::Refusal> {
        self.hold.age(at.now);
        let answer = at.application.order(&mut self.desk, &mut room(&mut self.hold, at), order);
        self.tell_parted(at);
        self.hold.wait(from, id, answer?);
        Ok(())
    }
}
