//! A disk that outlives the process. What others go by once this process has said it (that it goes by a slate, that it
//! keeps a roster) is not said before it is there. So a process that is killed and comes back with its memory is as one
//! that was stopped in between, but for the lease: that it may have granted one is not on the disk, and a voter stays
//! silent as if it had forgotten.

use super::state::{Around, Effect, Machine};
use crate::application::Application;
use crate::ballot::{Ballot, Version};
use crate::known::Known;
use crate::memory::{Mark, Memory};
use crate::message::Message;
use crate::roster::Roster;
use crate::terms::Slate;
use flaxhead_membership::{Micros, Name};

/// What is on the disk, and what waits for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Disk {
    kept: Mark,
    /// A lease that was granted with an older roster, and by which word: it is said again once the newer one is kept.
    granted: Option<(Name, Ballot, u64)>,
}

impl<M: Application> Machine<M> {
    /// Has the process go by a disk, where this was found of the process before it, so old. Called at its start, before
    /// anything else happens.
    #[must_use]
    pub fn with_disk(mut self, now: Micros, found: Option<Memory<M>>, age: Micros) -> Machine<M> {
        let kept = found.as_ref().map(Memory::mark).unwrap_or_default();
        if let Some(Memory { sure, voters, promised, fence, roster, mut told }) = found {
            let sure = sure && voters == self.voters.marks();
            told.slate.age(age);
            self.take(now, told);
            if let Some(fence) = &fence {
                self.hears(fence);
            }
            if let Some(voter) = &mut self.voter {
                (voter.remembers, voter.promised, voter.roster) = (sure, promised, roster);
            }
        }
        self.disk = Some(Disk { kept, granted: None });
        self
    }

    /// What a restart would need now.
    pub fn memory(&self, now: Micros) -> Memory<M> {
        Memory {
            sure: self.remembers(),
            voters: self.voters.marks(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            fence: self.member.fence.clone(),
            roster: self.voter.as_ref().map_or_else(Roster::default, |voter| voter.roster.clone()),
            told: self.member.told_now(now),
        }
    }

    /// The mark of [`Machine::memory`], without making one; `None` where the process goes by no disk.
    pub fn mark(&self) -> Option<Mark> {
        self.disk.as_ref()?;
        Some(Mark {
            sure: self.remembers(),
            promised: self.voter.as_ref().and_then(|voter| voter.promised.clone()),
            fence: self.member.fence.clone(),
            roster: self.voter.as_ref().map_or_else(Version::default, |voter| voter.roster.version.clone()),
            told: self.member.told.version.clone(),
        })
    }

    /// The memory of this mark is on the disk: what waited for it is said.
    pub fn kept(&mut self, around: &mut Around<'_, M::Facts>, mark: Mark, out: &mut Vec<Effect<M>>) {
        let Some(disk) = &mut self.disk else { return };
        let newer = mark.told > disk.kept.told;
        disk.kept = mark;
        if let Some((to, ballot, round)) = disk.granted.take() {
            let roster = self.kept_roster(self.voter.as_ref().map(|v| v.roster.version.clone()));
            let life = self.me.life;
            self.send(&to, Message::Accepted { ballot, round, life, roster }, out);
        }
        if newer {
            self.renew(around, out);
        }
        self.hear_oneself(around, out);
    }

    fn remembers(&self) -> bool {
        let sure = |known| known == Known::Sure;
        self.voter.as_ref().is_some_and(|voter| sure(voter.known) || voter.remembers)
    }

    /// The slate that it may say it goes by.
    pub(super) fn kept_slate(&self) -> Version {
        let told = &self.member.told.version;
        self.disk.as_ref().map_or(told, |disk| told.min(&disk.kept.told)).clone()
    }

    /// The roster that it may say it keeps.
    fn kept_roster(&self, own: Option<Version>) -> Version {
        let own = own.unwrap_or_default();
        self.disk.as_ref().map_or(own.clone(), |disk| own.min(disk.kept.roster.clone()))
    }

    /// A lease was granted, and the roster that came with it is kept: as much as the disk has of it.
    pub(super) fn accepts(&mut self, to: &Name, answer: Message<M>) -> Message<M> {
        let Message::Accepted { ballot, round, life, roster } = answer else { return answer };
        let kept = self.kept_roster(Some(roster.clone()));
        if let Some(disk) = self.disk.as_mut().filter(|_| kept < roster) {
            disk.granted = Some((to.clone(), ballot.clone(), round));
        }
        Message::Accepted { ballot, round, life, roster: kept }
    }
}
