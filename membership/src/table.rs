//! What is known of each member, and how two words on one are brought together. No time takes part, so that the rules
//! can be checked over every order in which words may come.

use crate::name::{Name, Stamp};
use crate::packet::{MemberRecord, Rejection, Update};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Members that are kept at the most, those that are gone among them.
const MAX_MEMBERS: usize = 4_096;
/// Words on one suspicion that are kept: more shorten it no further.
const MAX_SUSPICION_REPORTS: usize = 8;
/// Lives of its own name that a process has claimed over and remembers.
const MAX_SUPERSEDED: usize = 8;

/// Whether a member's process runs, by anyone's word. Later ones go before earlier ones where the stamp is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Alive,
    /// Somebody hears it while others suspect it; kept of nobody, only said.
    #[serde(rename = "heard")]
    Vouched,
    /// Somebody has not heard it for too long.
    Suspect,
    /// It has not been heard by anybody for too long, or its machine says that it does not run.
    Dead,
    /// It said that it goes.
    Left,
}

/// What a word of suspicion rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Nothing came back, directly or through others.
    Silent,
    /// Its machine takes connections for it and it does not answer: it is stopped or busy.
    Stalled,
    /// Its machine says that nothing listens there.
    Refused,
}

/// Who suspects a member, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuspicionReport {
    /// Who.
    pub by: Name,
    /// Why.
    pub cause: Cause,
}

/// A member, as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// As it last spoke of itself.
    pub record: MemberRecord,
    /// Whether it runs.
    pub state: State,
    /// Who suspects this stamp of it.
    pub suspicions: Vec<SuspicionReport>,
}

/// What a word has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Nothing: it was known, or older than what is.
    Stale,
    /// A member that was not known.
    New,
    /// A member's process is another than before.
    Restarted,
    /// Another state, or newer word from the member itself.
    Changed {
        /// What it was.
        from: State,
    },
    /// One more suspects it.
    Confirmed,
    /// Somebody hears a suspect.
    Vouched,
    /// It was about this process, which runs: the own stamp is one further.
    Refuted,
    /// This name was another process's: the own stamp is above that now. `living`: that one claimed the name anew
    /// after this process did, so it runs.
    Claimed {
        /// Whether the other one runs.
        is_running: bool,
    },
    /// Another process with this name runs, and has run for longer.
    Displaced,
    /// It is not believed.
    Rejected(Rejection),
}

/// All that is known of members, this process among them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberTable {
    me: Name,
    members: BTreeMap<Name, Member>,
    /// Lives of this name that were claimed over, with the generation they had.
    superseded: Vec<(u64, u32)>,
    leaving: bool,
    digest: u32,
}

/// What a member adds to the digest: those that are gone add nothing.
fn part(member: &Member) -> u32 {
    if matches!(member.state, State::Dead | State::Left) {
        return 0;
    }
    // One member's suspicions are no difference of views.
    let mut hasher = SipHasher13::new();
    (&member.record.name, member.record.stamp, member.record.cut_off).hash(&mut hasher);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}

impl MemberTable {
    /// Knows only this process.
    pub fn new(me: MemberRecord) -> MemberTable {
        let name = me.name.clone();
        let member = Member { record: me, state: State::Alive, suspicions: Vec::new() };
        let digest = part(&member);
        let members = BTreeMap::from([(name.clone(), member)]);
        MemberTable { me: name, members, superseded: Vec::new(), leaving: false, digest }
    }

    /// This process.
    pub fn me(&self) -> &MemberRecord {
        &self.members[&self.me].record
    }

    /// A member.
    pub fn get(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The others that are taken to run.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|m| m.record.name != self.me && matches!(m.state, State::Alive | State::Suspect))
    }

    /// The same for two processes that take the same members in the same lives to run.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// What can be said of a member.
    pub fn update(&self, name: &Name) -> Option<Update> {
        let Member { record, state, suspicions } = self.members.get(name)?;
        let by = suspicions.last().filter(|_| *state == State::Suspect);
        Some(Update { record: record.clone(), state: *state, by: by.cloned() })
    }

    /// Says something new of this process itself.
    pub fn announce(&mut self, uptime_ms: u32, change: impl FnOnce(&mut MemberRecord)) {
        let stamp = self.me().stamp;
        self.restamp(stamp.after(stamp), uptime_ms, change);
    }

    /// This process goes: from here on it refutes nothing.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.change(&self.me.clone(), |me| me.state = State::Left);
    }

    /// Forgets a member that is gone.
    pub fn remove(&mut self, name: &Name) {
        if self.members.get(name).is_some_and(|m| matches!(m.state, State::Dead | State::Left)) {
            self.members.remove(name);
        }
    }

    /// Takes a word in. `uptime_ms` is this process's own.
    pub fn merge(&mut self, update: &Update, uptime_ms: u32) -> MergeResult {
        let Update { record, state, by } = update;
        let known = self.members.get(&record.name);
        if !record.stamp.is_plausible(known.map(|known| known.record.stamp)) {
            return MergeResult::Rejected(Rejection::Implausible);
        }
        if record.name == self.me {
            return self.merge_own(update, uptime_ms);
        }
        let word = by.clone();
        let Some(known) = known else {
            // Whoever was never met and is gone is nobody's loss; a vouch without a member says nothing.
            return match state {
                State::Vouched | State::Dead | State::Left => MergeResult::Stale,
                _ if self.members.len() >= MAX_MEMBERS => MergeResult::Rejected(Rejection::TooMany),
                _ => {
                    let words = word.into_iter().collect();
                    let member = Member { record: record.clone(), state: *state, suspicions: words };
                    self.digest ^= part(&member);
                    self.members.insert(record.name.clone(), member);
                    MergeResult::New
                }
            };
        };
        let (stamp, from) = (known.record.stamp, known.state);
        if *state == State::Vouched {
            let vouched = record.stamp == stamp && from == State::Suspect;
            return if vouched { MergeResult::Vouched } else { MergeResult::Stale };
        }
        if record.stamp == stamp && *state == State::Suspect && from == State::Suspect {
            return self.confirm(&record.name, word);
        }
        if (record.stamp, *state) <= (stamp, from) {
            return MergeResult::Stale;
        }
        let restarted = record.stamp.incarnation != stamp.incarnation;
        let said = record.stamp > stamp;
        self.change(&record.name, |member| {
            // What others say of a stamp does not change what the member said with it.
            if said {
                member.record = record.clone();
            }
            member.state = *state;
            member.suspicions = word.into_iter().collect();
        });
        if restarted {
            MergeResult::Restarted
        } else {
            MergeResult::Changed { from }
        }
    }

    fn confirm(&mut self, name: &Name, word: Option<SuspicionReport>) -> MergeResult {
        let (Some(word), Some(member)) = (word, self.members.get_mut(name)) else {
            return MergeResult::Stale;
        };
        let full = member.suspicions.len() >= MAX_SUSPICION_REPORTS;
        match member.suspicions.iter_mut().find(|known| known.by == word.by) {
            Some(known) if known.cause >= word.cause => return MergeResult::Stale,
            Some(known) => known.cause = word.cause,
            None if full => return MergeResult::Stale,
            None => member.suspicions.push(word),
        }
        MergeResult::Confirmed
    }

    /// What is said of this very name.
    fn merge_own(&mut self, update: &Update, uptime_ms: u32) -> MergeResult {
        let (mine, said) = (self.me().stamp, update.record.stamp);
        if self.leaving || update.state == State::Vouched {
            return MergeResult::Stale;
        }
        if said.incarnation == mine.incarnation {
            let news = said > mine || said == mine && update.state != State::Alive;
            if news {
                self.restamp(mine.after(said), uptime_ms, |_| ());
                return MergeResult::Refuted;
            }
            return MergeResult::Stale;
        }
        if said.generation < mine.generation {
            return MergeResult::Stale;
        }
        // Only a process that runs claims its name above a claim over it.
        let claimed = self
            .superseded
            .iter()
            .find(|(life, _)| *life == said.incarnation)
            .map(|&(_, generation)| generation);
        let living = claimed.is_some_and(|claimed| said.generation > claimed)
            && !matches!(update.state, State::Dead | State::Left);
        if living && update.record.uptime_ms > uptime_ms {
            return MergeResult::Displaced;
        }
        self.superseded.retain(|(life, _)| *life != said.incarnation);
        if self.superseded.len() >= MAX_SUPERSEDED {
            self.superseded.remove(0);
        }
        self.superseded.push((said.incarnation, said.generation));
        self.restamp(mine.over(said), uptime_ms, |_| ());
        MergeResult::Claimed { is_running: living }
    }

    fn restamp(&mut self, stamp: Stamp, uptime_ms: u32, change: impl FnOnce(&mut MemberRecord)) {
        self.change(&self.me.clone(), |me| {
            (me.record.stamp, me.record.uptime_ms) = (stamp, uptime_ms);
            change(&mut me.record);
        });
    }

    fn change(&mut self, name: &Name, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(name) {
            self.digest ^= part(member);
            change(member);
            self.digest ^= part(member);
        }
    }
}
