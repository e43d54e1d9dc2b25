//! Who comes onto the roster, gets leave, and leaves it.

use super::heard::Heard;
use super::state::{Hold, FROM_BEFORE};
use crate::ballot::Version;
use crate::config::Config;
use crate::facts::{Facts, Presence};
use crate::roster::Process;
use crate::terms::Terms;
use crate::voters::Voters;
use flaxhead_membership::Micros;

/// What becomes of a renewal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renewed {
    /// It was of one that goes by this holder's slate, and is the first such word of that process.
    pub first: bool,
    /// It goes by this holder's slate.
    pub goes_by: bool,
    /// It gets leave now.
    pub leave: bool,
    /// It needs the slate.
    pub behind: bool,
    /// It was not on the roster before.
    pub enrolled: bool,
}

impl<T: Terms> Hold<T> {
    /// A process that goes by this version asks for leave, with a word of its own.
    pub(crate) fn renewed(
        &mut self,
        now: Micros,
        config: &Config,
        voters: &Voters,
        (process, version, word): (&Process, Version, T::Word),
    ) -> Renewed {
        let enrolled = self.roster.processes.insert(process.clone());
        if enrolled {
            self.roster.version.seq += 1;
            let seq = self.roster.version.seq;
            self.expect(now, config, process.clone(), seq);
        }
        let current = version == self.told.version;
        let goes_by = version.fence.as_ref() == Some(&self.ballot);
        let Some(heard) = self.heard.get_mut(process) else {
            return Renewed { first: false, goes_by: false, leave: false, behind: false, enrolled };
        };
        let first = goes_by && heard.at.is_none();
        if goes_by {
            (heard.version, heard.at, heard.word) = (version, Some(now), Some(word));
        }
        let kept_with = heard.kept_with;
        let known = self.keeps(now, config, voters, kept_with);
        // Leave only under this slate: what it confirms is what it is granted for.
        let leave = known && current && self.holds(now);
        if let Some(heard) = self.heard.get_mut(process).filter(|_| leave) {
            heard.permitted = now + Config::longest(config.lease);
        }
        Renewed { first, goes_by, leave, behind: !current, enrolled }
    }

    pub(super) fn forget(&mut self, process: &Process) {
        self.heard.remove(process);
        if self.roster.processes.remove(process) {
            self.roster.version.seq += 1;
        }
        self.parted.push(process.clone());
    }

    /// Whether a process that took part before this holder began has another after it at its address. One that goes by
    /// this holder's slate has spoken since this holder began, and two cannot listen at one address: so the earlier one
    /// had ended by then, however little was heard of that. Where all were killed and the roster is kept on disks, nobody
    /// is waited for in vain by this.
    fn followed(&self, process: &Process) -> bool {
        let from_before = |heard: &Heard<T>| heard.kept_with == FROM_BEFORE && heard.at.is_none();
        let after = |(other, heard): (&Process, &Heard<T>)| {
            (&other.name, other.at) == (&process.name, process.at)
                && other.life != process.life
                && heard.at.is_some()
        };
        self.heard.get(process).is_some_and(from_before) && self.heard.iter().any(after)
    }

    /// Processes that have ended, by the membership's word, are waited for no longer.
    pub(crate) fn part<O>(&mut self, now: Micros, config: &Config, facts: &Facts<O>, me: &Process) {
        let unheard = |process: &Process| {
            self.heard
                .get(process)
                .is_some_and(|h| now.saturating_sub(h.at.unwrap_or(h.known)) > config.lease)
        };
        let ended = |process: &&Process| {
            let Some(fact) = facts.members.get(&process.name) else { return false };
            if fact.life != process.life {
                // Two processes cannot listen at one address. Which of them is the later the membership may not have
                // heard yet; but one that ended before the other began answers nothing.
                return fact.at == process.at && fact.presence == Presence::Runs && unheard(process);
            }
            match fact.presence {
                Presence::Ended => true,
                // It answers what it has taken, and then it is gone.
                Presence::Left => now.saturating_sub(fact.since) >= Config::longest(config.longest_call),
                Presence::Runs | Presence::Doubted | Presence::Silent => false,
            }
        };
        let gone = |process: &&Process| ended(process) || self.followed(process);
        let ended: Vec<Process> = self.heard.keys().filter(gone).cloned().collect();
        ended.iter().for_each(|process| self.forget(process));
        // An earlier process of this one's own name ended before this one could listen.
        let before = |p: &&Process| p.name == me.name && p.at == me.at && p.life != me.life;
        let before: Vec<Process> = self.heard.keys().filter(before).cloned().collect();
        before.iter().for_each(|process| self.forget(process));
    }
}
