//! The part of a process that waits to be let in: whom it asks what is known, and what it may conclude from the answers.
//! A wait lasts only while it can change the answer.

use crate::config::Config;
use crate::known::Known;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Most processes that an answer names of those that know what is settled: one is enough, the others are for its death.
pub(crate) const NAMED_MOST: usize = 3;
/// Most answers that are kept, and most words of those that know what is settled.
const SAID_MOST: usize = 64;

/// What one process said of what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    /// As a voter; `None`: it is none.
    pub known: Option<Known>,
    /// Its slate holds all that is settled.
    pub knows: bool,
    /// It has a holder's leave now.
    pub leave: bool,
    /// Who holds, as far as it knows.
    pub holder: Option<Name>,
    /// Others that lately said that theirs do.
    pub named: BTreeSet<Name>,
}

/// What a process waits for, or by what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Nobody has answered: it waits for `alone_after`.
    Answers,
    /// Voters that were started lately are silent for as long as leases may run that they have forgotten.
    Silence,
    /// A holder can let it in.
    LetIn,
    /// One that knows what is settled lives, and has not shown it.
    Slate(Name),
    /// Nobody knows what is settled: operators have a while to say it.
    Operators,
    /// A holder has let it in.
    Admitted,
    /// Serves: a majority of voters has forgotten, and this one has shown what is settled.
    Shown(Name),
    /// Serves: no majority of voters votes, and this one has shown what is settled.
    Seen(Name),
    /// Serves: a majority of voters has forgotten, and nobody is left that knows what is settled.
    Forgotten,
    /// Serves: nobody that knows what is settled has answered for `alone_after`.
    Unanswered,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Answers => f.write_str("waits for an answer of any voter (alone_s at the most)"),
            Reason::Silence => {
                f.write_str("waits for voters that were started lately and stay silent for a lease")
            }
            Reason::LetIn => f.write_str("waits for the holder to let it in"),
            Reason::Slate(name) => write!(f, "waits for {name}, which knows what is settled, to show it"),
            Reason::Operators => f.write_str(
                "nobody knows what is settled; waits for operators to say it (known_s at the most)",
            ),
            Reason::Admitted => f.write_str("let in by the holder"),
            Reason::Shown(name) => {
                write!(f, "most voters have forgotten; goes by what {name} has shown to be settled")
            }
            Reason::Seen(name) => {
                write!(f, "too few voters answer; goes by what {name} has shown to be settled")
            }
            Reason::Forgotten => f.write_str("most voters have forgotten, and nobody knows what is settled"),
            Reason::Unanswered => f.write_str("nobody that knows what is settled has answered for alone_s"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Said {
    /// When it was asked: what it said was so at that time or later.
    asked: Micros,
    word: Word,
}

impl Said {
    /// Whether it was asked for within a lease.
    fn is_fresh(&self, now: Micros, config: &Config) -> bool {
        now.saturating_sub(self.asked) <= config.lease
    }
}

/// A process that waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Waiting {
    started: Micros,
    /// When it asks next, and how often it has asked.
    pub ask_at: Micros,
    asks: u64,
    said: BTreeMap<Name, Said>,
    /// Of whom it took a slate.
    shown_by: Option<Name>,
    pub reason: Reason,
}

impl Waiting {
    pub(crate) fn new(now: Micros) -> Waiting {
        let (said, shown_by) = Default::default();
        Waiting { started: now, ask_at: now, asks: 0, said, shown_by, reason: Reason::Answers }
    }

    /// How often it asks.
    pub(crate) fn pace(config: &Config) -> Micros {
        (config.lease / 12).max(1)
    }

    /// Whom to ask now, and whether for its slate.
    pub(crate) fn ask(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        me: &Name,
    ) -> Vec<(Name, bool)> {
        self.asks += 1;
        self.said.retain(|_, said| said.is_fresh(now, config));
        let mut whom: BTreeMap<Name, bool> = voters.iter().map(|name| (name.clone(), false)).collect();
        // One slate is enough, and one after the other is asked for it.
        let know = self.know();
        let place = (self.asks as usize) % know.len().max(1);
        whom.extend(know.into_iter().nth(place).map(|name| (name, true)));
        whom.remove(me);
        whom.into_iter().collect()
    }

    /// Those that know what is settled, by their own word or another's.
    fn know(&self) -> BTreeSet<Name> {
        let own = self.said.iter().filter(|(_, said)| said.word.knows).map(|(name, _)| name);
        own.chain(self.said.values().flat_map(|said| &said.word.named)).cloned().collect()
    }

    /// An answer came, with the slate or without.
    pub(crate) fn told(&mut self, from: &Name, asked: Micros, word: Word, slate: bool) {
        if slate && word.knows {
            self.shown_by = Some(from.clone());
        }
        if self.said.len() < SAID_MOST || self.said.contains_key(from) {
            let newer = |said: &Said| said.asked <= asked;
            if self.said.get(from).is_none_or(newer) {
                self.said.insert(from.clone(), Said { asked, word });
            }
        }
    }

    /// What a voter, this one too, has said within a lease that it knows.
    fn known(&self, now: Micros, config: &Config, own: (&Name, Option<Known>), name: &Name) -> Option<Known> {
        match name == own.0 {
            true => own.1,
            false => self.said.get(name).filter(|said| said.is_fresh(now, config))?.word.known,
        }
    }

    /// Whether every voter has said within a lease that it has forgotten: nobody can say what there was before.
    pub(crate) fn all_forgot(
        &self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: (&Name, Option<Known>),
    ) -> bool {
        let known = |name: &Name| self.known(now, config, own, name);
        voters.iter().all(|name| known(name).is_some_and(|known| known < Known::Sure))
    }

    /// What it concludes: `true`, it need not wait any longer.
    pub(crate) fn conclude(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        own: (&Name, Option<Known>),
    ) -> bool {
        let fresh = |said: &&Said| said.is_fresh(now, config);
        let known = |name: &Name| self.known(now, config, own, name);
        // All within one lease, and silent for longer than a lease before: at this moment no holder is left that
        // remembers, and none can come before operators say what is settled.
        let forgot = |name: &Name| matches!(known(name), Some(Known::Recalling | Known::Cold));
        let forgotten = voters.majority(forgot);
        let votes = voters.majority(|name| known(name).is_some_and(|known| known >= Known::Cold));
        let words: Vec<&Said> = self.said.values().filter(fresh).collect();
        let know = words.iter().any(|said| said.word.knows || !said.word.named.is_empty());
        let leave = words.iter().any(|said| said.word.leave);
        let unshown = self.know().into_iter().next();
        // One that was stopped itself has not waited: what counts is how often it has asked.
        let asked = self.asks * Waiting::pace(config) * 2 >= config.alone_after;
        let late = now.saturating_sub(self.started) >= config.alone_after && asked;
        let (reason, serves) = match (&self.shown_by, unshown) {
            (Some(name), _) if forgotten => (Reason::Shown(name.clone()), true),
            (None, Some(name)) if forgotten && !late => (Reason::Slate(name), false),
            _ if forgotten && now.saturating_sub(self.started) < config.known_wait => {
                (Reason::Operators, false)
            }
            _ if forgotten => (Reason::Forgotten, true),
            // A majority that votes has a holder, or will.
            _ if know && (votes || leave) => (Reason::LetIn, false),
            (Some(name), _) if late => (Reason::Seen(name.clone()), true),
            _ if late => (Reason::Unanswered, true),
            _ if words.is_empty() => (Reason::Answers, false),
            _ if voters.majority(|name| known(name).is_some_and(|known| known < Known::Cold)) => {
                (Reason::Silence, false)
            }
            _ => (Reason::LetIn, false),
        };
        self.reason = reason;
        serves
    }
}

#[cfg(test)]
mod tests;
