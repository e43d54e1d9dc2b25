//! What one process is made of, and how it speaks.

use super::disk::Disk;
use super::holder::{At, Holder};
use crate::application::Application;
use crate::ballot::{Ballot, Told};
use crate::config::Config;
use crate::facts::Facts;
use crate::hold::{Bid, Hold};
use crate::member::{Member, Serving};
use crate::message::Message;
use crate::roster::Process;
use crate::standing::Standing;
use crate::voter::Voter;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use rand_core::RngCore;
use std::collections::{BTreeMap, VecDeque};

/// What a process is given with everything that happens.
pub struct Around<'a, O> {
    /// The time, from any fixed point before the process's start.
    pub now: Micros,
    /// What it knows from elsewhere.
    pub facts: &'a Facts<O>,
    /// What it draws from.
    pub random: &'a mut dyn RngCore,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect<M: Application> {
    /// A message to another process.
    Send {
        /// To whom.
        to: Name,
        /// What.
        message: Message<M>,
    },
    /// An operator's order has its answer.
    Answer {
        /// Which.
        id: u64,
        /// What.
        result: Result<M::Answer, M::Refusal>,
    },
    /// This process settles things from now on, or no longer.
    Holds(Option<Ballot>),
    /// A step, at the holder.
    Noted(M::Note),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Waiting<O> {
    pub id: u64,
    pub order: O,
    pub until: Micros,
    pub again: Micros,
}

/// One process's part in what is settled in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine<M: Application> {
    pub(super) config: Config,
    pub(super) application: M,
    pub(super) voters: Voters,
    pub(super) me: Process,
    pub(super) voter: Option<Voter<M>>,
    pub(super) member: Member<M>,
    pub(super) bid: Option<Bid<M>>,
    pub(super) bid_at: Micros,
    /// Bids in a row that came to nothing.
    pub(super) tries: u32,
    pub(super) holder: Option<Box<Holder<M>>>,
    /// It has drawn when it begins to ask.
    pub(super) begun: bool,
    pub(super) renew_at: Micros,
    /// When it asked for leave last.
    pub(super) asked: Micros,
    pub(super) round_at: Micros,
    /// Who holds, as far as is known, and when it was last heard.
    pub(super) elsewhere: Option<(Name, Micros)>,
    pub(super) ask_next: usize,
    /// Those that lately said that their slates hold all that is settled, and when.
    pub(super) know: BTreeMap<Name, Micros>,
    pub(super) waiting: VecDeque<Waiting<M::Order>>,
    /// What outlives the process, where something does.
    pub(super) disk: Option<Disk>,
    /// What it says to itself, taken at the end of each step.
    pub(super) inbox: VecDeque<Message<M>>,
}

impl<M: Application> Machine<M> {
    /// A process that starts.
    pub fn new(config: Config, application: M, voters: Voters, me: Process, now: Micros) -> Machine<M> {
        let voter = voters.has(&me.name).then(|| Voter::new(now, &config));
        Machine {
            bid: None,
            bid_at: now + config.silence(),
            tries: 0,
            holder: None,
            begun: false,
            renew_at: now,
            asked: now,
            round_at: now,
            elsewhere: None,
            ask_next: 0,
            know: BTreeMap::new(),
            waiting: VecDeque::new(),
            disk: None,
            inbox: VecDeque::new(),
            member: Member::new(now),
            config,
            application,
            voters,
            me,
            voter,
        }
    }

    /// What the application of the holder keeps, if that is this process.
    pub fn desk(&self, now: Micros) -> Option<&M::Desk> {
        self.holder.as_ref().filter(|holder| holder.hold.holds(now)).map(|holder| &holder.desk)
    }

    /// What it is.
    pub fn me(&self) -> &Process {
        &self.me
    }

    /// The voters that it goes by.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// How it is paced.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Its part in the application.
    pub fn application(&self) -> &M {
        &self.application
    }

    /// The same, to be told what the process itself knows.
    pub fn matter_mut(&mut self) -> &mut M {
        &mut self.application
    }

    /// What it was told, and its leave.
    pub fn member(&self) -> &Member<M> {
        &self.member
    }

    /// The slate that it goes by, its times as they were when it came.
    pub fn slate(&self) -> &M::Slate {
        &self.member.told.slate
    }

    /// Its number, while it holds.
    pub fn holds(&self, now: Micros) -> Option<&Ballot> {
        self.hold(now).map(Hold::ballot)
    }

    /// Its records, while it holds.
    pub fn hold(&self, now: Micros) -> Option<&Hold<M>> {
        self.holder.as_ref().map(|holder| &holder.hold).filter(|hold| hold.holds(now))
    }

    /// Whether it was let in.
    pub fn serving(&self) -> Serving {
        self.member.serving()
    }

    /// How it stands to what is settled.
    pub fn standing(&self, now: Micros) -> Standing {
        let hold = self.hold(now);
        Standing {
            me: self.me.name.to_string(),
            holder: self.known_holder(now).map(|name| name.to_string()),
            fence: self.member.fence.as_ref().map(Ballot::to_string),
            holds: hold.is_some(),
            forgotten: hold.is_some_and(|hold| hold.cold.is_some()),
            serving: format!("{:?}", self.serving()).to_lowercase(),
            reason: self.member.waiting.reason.to_string(),
            permitted_ms: self.member.permitted.saturating_sub(now) / 1_000,
            version: self.member.told.version.to_string(),
            voter: self.voter.as_ref().map(|voter| voter.known),
        }
    }

    pub(super) fn known_holder(&self, now: Micros) -> Option<Name> {
        let fresh = |(_, at): &&(Name, Micros)| now.saturating_sub(*at) <= self.config.lease;
        self.elsewhere.as_ref().filter(fresh).map(|(name, _)| name.clone())
    }

    /// The holder that this process is, with what is around it.
    pub(super) fn at_holder<'a>(
        &'a mut self,
        now: Micros,
        facts: &'a Facts<M::Facts>,
    ) -> Option<(&'a mut Holder<M>, At<'a, M>)> {
        let holder = self.holder.as_deref_mut()?;
        let (config, voters, me, application) = (&self.config, &self.voters, &self.me, &self.application);
        Some((holder, At { now, config, voters, facts, me, application }))
    }

    /// Hears of a fence; whether it still counts.
    pub(super) fn hears(&mut self, fence: &Ballot) -> bool {
        let (counts, rose) = self.member.hears(fence);
        if rose {
            self.application.fenced(fence);
        }
        counts
    }

    /// A slate came; whether it counts.
    pub(super) fn take(&mut self, now: Micros, told: Told<M::Slate>) -> bool {
        let Some(fence) = told.version.fence.clone() else { return false };
        let taken = self.hears(&fence) && self.member.take(now, told);
        if taken {
            self.application.told(now, &self.member.told.slate);
        }
        taken
    }

    pub(super) fn jitter(&self, around: &mut Around<'_, M::Facts>) -> Micros {
        let most = self.config.renew_every();
        (u64::from(around.random.next_u32()) * most.min(u64::from(u32::MAX))) >> 32
    }

    /// To another, or to oneself.
    pub(super) fn send(&mut self, to: &Name, message: Message<M>, out: &mut Vec<Effect<M>>) {
        if *to == self.me.name {
            self.inbox.push_back(message);
        } else {
            out.push(Effect::Send { to: to.clone(), message });
        }
    }

    pub(super) fn reply(&mut self, to: &Name, message: Option<Message<M>>, out: &mut Vec<Effect<M>>) {
        if let Some(message) = message {
            self.send(to, message, out);
        }
    }
}
