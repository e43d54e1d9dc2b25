//! The part of a voter: it grants leases, and remembers who takes part as long as its process lives.

use crate::ballot::{Ballot, Told};
use crate::config::Config;
use crate::known::Known;
use crate::message::{Message, Promise};
use crate::roster::Roster;
use crate::terms::Terms;
use flaxhead_membership::{Micros, Name};
use std::collections::BTreeMap;

/// What another voter answered to a recall.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Recalled<T: Terms> {
    at: Micros,
    known: Known,
    promised: Option<Ballot>,
    roster: Roster,
    told: Told<T::Slate>,
}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter<T: Terms> {
    pub known: Known,
    /// It knows from its disk what it knew, and is silent for its leases alone.
    pub remembers: bool,
    silent_until: Micros,
    recall_at: Micros,
    nonce: u64,
    recalled: BTreeMap<Name, Recalled<T>>,
    pub promised: Option<Ballot>,
    pub lease: Option<(Ballot, Micros)>,
    pub roster: Roster,
}

impl<T: Terms> Voter<T> {
    pub(crate) fn new(now: Micros, config: &Config) -> Self {
        let silent_until = now + config.silence();
        Voter {
            known: Known::Silent,
            remembers: false,
            silent_until,
            recall_at: silent_until,
            nonce: 0,
            recalled: BTreeMap::new(),
            promised: None,
            lease: None,
            roster: Roster::default(),
        }
    }

    /// Whether it grants leases.
    pub(crate) fn votes(&self) -> bool {
        self.known >= Known::Cold
    }

    pub(crate) fn next_wake(&self) -> Micros {
        match self.known {
            Known::Silent => self.silent_until,
            Known::Recalling => self.recall_at,
            Known::Cold | Known::Sure => Micros::MAX,
        }
    }

    /// How long the lease that it has granted still runs, unless it is this ballot's own.
    pub(crate) fn lease_left(&self, now: Micros, but: Option<&Ballot>) -> Micros {
        let other = self.lease.as_ref().filter(|(ballot, _)| Some(ballot) != but);
        other.map_or(0, |(_, until)| until.saturating_sub(now))
    }

    pub(crate) fn prepare(
        &mut self,
        now: Micros,
        life: u64,
        ballot: Ballot,
        told: &Told<T::Slate>,
    ) -> Option<Message<T>> {
        if !self.votes() {
            return None;
        }
        let lease_left = self.lease_left(now, Some(&ballot));
        if lease_left > 0 || self.promised.as_ref().is_some_and(|promised| *promised > ballot) {
            let promised = self.promised.clone();
            return Some(Message::Denied { ballot, promised, lease_left });
        }
        self.promised = Some(ballot.clone());
        let (known, roster, told) = (self.known, self.roster.clone(), told.clone());
        Some(Message::Promised(Box::new(Promise { ballot, life, known, roster, told })))
    }

    /// What came is for the process `to`; this one is `life`.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn propose(
        &mut self,
        now: Micros,
        config: &Config,
        (to, life): (u64, u64),
        ballot: Ballot,
        round: u64,
        sure: bool,
        roster: Roster,
    ) -> Option<Message<T>> {
        // The process that promised is gone, and with it the promise.
        if !self.votes() || to != life {
            return None;
        }
        let lease_left = self.lease_left(now, Some(&ballot));
        if lease_left > 0 || self.promised.as_ref() != Some(&ballot) {
            let promised = self.promised.clone();
            return Some(Message::Denied { ballot, promised, lease_left });
        }
        self.lease = Some((ballot.clone(), now + Config::longest(config.lease)));
        if roster.version > self.roster.version {
            self.roster = roster;
        }
        if sure {
            self.known = Known::Sure;
        }
        Some(Message::Accepted { ballot, round, life, roster: self.roster.version.clone() })
    }

    // What was forgotten.

    /// Whether it is time to ask the others, and with what.
    pub(crate) fn recall(&mut self, now: Micros, config: &Config) -> Option<u64> {
        if self.known == Known::Silent && now >= self.silent_until {
            self.known = if self.remembers { Known::Sure } else { Known::Recalling };
        }
        if self.known != Known::Recalling || now < self.recall_at {
            return None;
        }
        self.recall_at = now + config.renew_every();
        self.nonce += 1;
        Some(self.nonce)
    }

    pub(crate) fn recalled_by(&self, now: Micros, nonce: u64, told: &Told<T::Slate>) -> Message<T> {
        let (known, promised, roster, told) =
            (self.known, self.promised.clone(), self.roster.clone(), told.clone());
        let lease_left = self.lease_left(now, None);
        Message::Recalled { nonce, known, promised, lease_left, roster, told }
    }

    /// Another has answered; what it knows of the slate comes back where this voter may now vote.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn take_recalled(
        &mut self,
        now: Micros,
        config: &Config,
        from: &Name,
        nonce: u64,
        (known, promised, roster, told): (Known, Option<Ballot>, Roster, Told<T::Slate>),
        majority: impl Fn(&dyn Fn(&Name) -> bool) -> bool,
        me: &Name,
    ) -> Option<Told<T::Slate>> {
        if self.known != Known::Recalling || nonce > self.nonce {
            return None;
        }
        self.recalled.insert(from.clone(), Recalled { at: now, known, promised, roster, told });
        self.recalled.retain(|_, r| now.saturating_sub(r.at) <= config.lease);
        let recalled = &self.recalled;
        // Those that remember have what a majority was told, if they are a majority themselves; this one is none.
        let sure = majority(&|name| recalled.get(name).is_some_and(|r| r.known == Known::Sure));
        // Or so many have forgotten that no majority that remembers can come together any more.
        let cold = |name: &Name| {
            let forgot = |r: &Recalled<T>| matches!(r.known, Known::Recalling | Known::Cold);
            name == me || recalled.get(name).is_some_and(forgot)
        };
        self.known = match sure {
            true => Known::Sure,
            false if majority(&cold) => Known::Cold,
            false => return None,
        };
        let recalled = std::mem::take(&mut self.recalled);
        // What its own disk had of it may be the newest.
        self.promised =
            recalled.values().map(|r| r.promised.clone()).chain([self.promised.take()]).max().flatten();
        let rosters = recalled.values().map(|r| &r.roster).chain([&self.roster]);
        self.roster = rosters.max_by(|a, b| a.version.cmp(&b.version)).cloned().unwrap_or_default();
        recalled.into_values().map(|r| r.told).max_by(|a, b| a.version.cmp(&b.version))
    }
}
