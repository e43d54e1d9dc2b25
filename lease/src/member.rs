//! The part of every process: what it was told, and whether it has leave.

use crate::ballot::{Ballot, Told};
use crate::config::Config;
use crate::terms::{Slate, Terms};
use crate::waiting::{Reason, Waiting};
use flaxhead_membership::Micros;

/// Whether a process was let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Serving {
    /// It was started and does not know yet what is settled.
    Waits,
    /// It is on the roster.
    Admitted,
    /// It need not wait to be let in, and goes by what it has heard: [`Reason`] says why.
    Alone,
}

/// One process, as it goes by what is settled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member<T: Terms> {
    /// While it is not let in.
    pub(crate) waiting: Waiting,
    /// It serves, though nobody has let it in.
    pub(crate) alone: bool,
    /// All that is settled is on its slate: it was let in by a holder that knew, or was shown it by such a process.
    pub(crate) knows: bool,
    pub(crate) told: Told<T::Slate>,
    /// The slate's times are as they were then.
    told_at: Micros,
    pub(crate) fence: Option<Ballot>,
    pub(crate) admitted: bool,
    pub(crate) permitted: Micros,
}

impl<T: Terms> Member<T> {
    pub(crate) fn new(now: Micros) -> Self {
        Member {
            waiting: Waiting::new(now),
            alone: false,
            knows: false,
            told: Told::default(),
            told_at: now,
            fence: None,
            admitted: false,
            permitted: 0,
        }
    }

    /// The slate that it goes by, its times as they were when it came.
    pub fn told(&self) -> &Told<T::Slate> {
        &self.told
    }

    /// The slate that it goes by, its times as they are now.
    pub fn told_now(&self, now: Micros) -> Told<T::Slate> {
        let mut told = self.told.clone();
        told.slate.age(now.saturating_sub(self.told_at));
        told
    }

    /// The highest fence that it has heard of: it takes nothing of a lower one.
    pub fn fence(&self) -> Option<&Ballot> {
        self.fence.as_ref()
    }

    /// Whether a holder that remembers has let it in.
    pub fn admitted(&self) -> bool {
        self.admitted
    }

    /// Until when it has leave, by its own clock.
    pub fn permitted(&self) -> Micros {
        self.permitted
    }

    /// Hears of a fence; whether it still counts, and whether it is a higher one than before.
    pub(crate) fn hears(&mut self, fence: &Ballot) -> (bool, bool) {
        if self.fence.as_ref().is_some_and(|own| own > fence) {
            return (false, false);
        }
        let rose = self.fence.as_ref() != Some(fence);
        if rose {
            self.fence = Some(fence.clone());
        }
        (true, rose)
    }

    /// A slate came from whoever holds its fence, which counts. Whether it is no older than the one that it has.
    pub(crate) fn take(&mut self, now: Micros, told: Told<T::Slate>) -> bool {
        if told.version < self.told.version {
            return false;
        }
        (self.told, self.told_at) = (told, now);
        true
    }

    /// Leave came. One that waits takes it only of a holder that knows what is settled. Whether it is taken.
    pub(crate) fn granted(&mut self, stamp: Micros, remembers: bool, config: &Config) -> bool {
        if !(self.admitted || remembers || self.alone) {
            return false;
        }
        self.admitted = true;
        self.knows |= remembers;
        self.waiting.reason = Reason::Admitted;
        self.permitted = self.permitted.max(stamp + config.lease);
        true
    }

    /// One that knows what is settled has shown its slate: this one goes by all that either of them has.
    pub(crate) fn shown(&mut self, now: Micros, told: Told<T::Slate>) {
        let mut own = self.told_now(now);
        if told.version > own.version {
            let older = std::mem::replace(&mut own, told);
            own.slate.absorb(&older.slate);
        } else {
            own.slate.absorb(&told.slate);
        }
        (self.told, self.told_at) = (own, now);
    }

    /// Whether it was let in.
    pub(crate) fn serving(&self) -> Serving {
        match (self.admitted, self.alone) {
            (true, _) => Serving::Admitted,
            (false, true) => Serving::Alone,
            (false, false) => Serving::Waits,
        }
    }
}
