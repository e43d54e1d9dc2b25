//! What is known of each member, and how two words on one are brought together. No time takes part, so that the rules
//! can be checked over every order in which words may come.

use crate::name::{Name, Stamp};
use crate::packet::{Card, Reject, Update};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Members that are kept at the most, those that are gone among them.
const MEMBERS_MOST: usize = 4_096;
/// Words on one suspicion that are kept: more shorten it no further.
const WORDS_MOST: usize = 8;
/// Lives of its own name that a process has claimed over and remembers.
const CLAIMS_MOST: usize = 8;

/// Whether a member's process runs, by anyone's word. Later ones go before earlier ones where the stamp is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Alive,
    /// Somebody hears it while others suspect it; kept of nobody, only said.
    Heard,
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
pub struct Word {
    /// Who.
    pub by: Name,
    /// Why.
    pub cause: Cause,
}

/// A member, as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// As it last spoke of itself.
    pub card: Card,
    /// Whether it runs.
    pub state: State,
    /// Who suspects this stamp of it.
    pub words: Vec<Word>,
}

/// What a word has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Merge {
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
    Heard,
    /// It was about this process, which runs: the own stamp is one further.
    Refuted,
    /// This name was another process's: the own stamp is above that now. `living`: that one claimed the name anew
    /// after this process did, so it runs.
    Claimed {
        /// Whether the other one runs.
        living: bool,
    },
    /// Another process with this name runs, and has run for longer.
    Displaced,
    /// It is not believed.
    Rejected(Reject),
}

/// All that is known of members, this process among them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    me: Name,
    members: BTreeMap<Name, Member>,
    /// Lives of this name that were claimed over, with the generation they had.
    claims: Vec<(u64, u32)>,
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
    (&member.card.name, member.card.stamp, member.card.cut_off).hash(&mut hasher);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}

impl Table {
    /// Knows only this process.
    pub fn new(me: Card) -> Table {
        let name = me.name.clone();
        let member = Member { card: me, state: State::Alive, words: Vec::new() };
        let digest = part(&member);
        let members = BTreeMap::from([(name.clone(), member)]);
        Table { me: name, members, claims: Vec::new(), leaving: false, digest }
    }

    /// This process.
    pub fn me(&self) -> &Card {
        &self.members[&self.me].card
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
        self.iter().filter(|m| m.card.name != self.me && matches!(m.state, State::Alive | State::Suspect))
    }

    /// The same for two processes that take the same members in the same lives to run.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// What can be said of a member.
    pub fn update(&self, name: &Name) -> Option<Update> {
        let Member { card, state, words } = self.members.get(name)?;
        let by = words.last().filter(|_| *state == State::Suspect);
        let by = by.map(|word| (word.by.clone(), word.cause));
        Some(Update { card: card.clone(), state: *state, by })
    }

    /// Says something new of this process itself.
    pub fn speak(&mut self, uptime_ms: u32, change: impl FnOnce(&mut Card)) {
        let stamp = self.me().stamp;
        self.restamp(stamp.after(stamp), uptime_ms, change);
    }

    /// This process goes: from here on it refutes nothing.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.change(&self.me.clone(), |me| me.state = State::Left);
    }

    /// Forgets a member that is gone.
    pub fn forget(&mut self, name: &Name) {
        if self.members.get(name).is_some_and(|m| matches!(m.state, State::Dead | State::Left)) {
            self.members.remove(name);
        }
    }

    /// Takes a word in. `uptime_ms` is this process's own.
    pub fn merge(&mut self, update: &Update, uptime_ms: u32) -> Merge {
        let Update { card, state, by } = update;
        let known = self.members.get(&card.name);
        if !card.stamp.plausible(known.map(|known| known.card.stamp)) {
            return Merge::Rejected(Reject::Implausible);
        }
        if card.name == self.me {
            return self.merge_own(update, uptime_ms);
        }
        let word = by.clone().map(|(by, cause)| Word { by, cause });
        let Some(known) = known else {
            // Whoever was never met and is gone is nobody's loss; a vouch without a member says nothing.
            return match state {
                State::Heard | State::Dead | State::Left => Merge::Stale,
                _ if self.members.len() >= MEMBERS_MOST => Merge::Rejected(Reject::TooMany),
                _ => {
                    let words = word.into_iter().collect();
                    let member = Member { card: card.clone(), state: *state, words };
                    self.digest ^= part(&member);
                    self.members.insert(card.name.clone(), member);
                    Merge::New
                }
            };
        };
        let (stamp, from) = (known.card.stamp, known.state);
        if *state == State::Heard {
            let vouched = card.stamp == stamp && from == State::Suspect;
            return if vouched { Merge::Heard } else { Merge::Stale };
        }
        if card.stamp == stamp && *state == State::Suspect && from == State::Suspect {
            return self.confirm(&card.name, word);
        }
        if (card.stamp, *state) <= (stamp, from) {
            return Merge::Stale;
        }
        let restarted = card.stamp.life != stamp.life;
        let said = card.stamp > stamp;
        self.change(&card.name, |member| {
            // What others say of a stamp does not change what the member said with it.
            if said {
                member.card = card.clone();
            }
            member.state = *state;
            member.words = word.into_iter().collect();
        });
        if restarted {
            Merge::Restarted
        } else {
            Merge::Changed { from }
        }
    }

    fn confirm(&mut self, name: &Name, word: Option<Word>) -> Merge {
        let (Some(word), Some(member)) = (word, self.members.get_mut(name)) else { return Merge::Stale };
        let full = member.words.len() >= WORDS_MOST;
        match member.words.iter_mut().find(|known| known.by == word.by) {
            Some(known) if known.cause >= word.cause => return Merge::Stale,
            Some(known) => known.cause = word.cause,
            None if full => return Merge::Stale,
            None => member.words.push(word),
        }
        Merge::Confirmed
    }

    /// What is said of this very name.
    fn merge_own(&mut self, update: &Update, uptime_ms: u32) -> Merge {
        let (mine, said) = (self.me().stamp, update.card.stamp);
        if self.leaving || update.state == State::Heard {
            return Merge::Stale;
        }
        if said.life == mine.life {
            let news = said > mine || said == mine && update.state != State::Alive;
            if news {
                self.restamp(mine.after(said), uptime_ms, |_| ());
                return Merge::Refuted;
            }
            return Merge::Stale;
        }
        if said.generation < mine.generation {
            return Merge::Stale;
        }
        // Only a process that runs claims its name above a claim over it.
        let claimed =
            self.claims.iter().find(|(life, _)| *life == said.life).map(|&(_, generation)| generation);
        let living = claimed.is_some_and(|claimed| said.generation > claimed)
            && !matches!(update.state, State::Dead | State::Left);
        if living && update.card.uptime_ms > uptime_ms {
            return Merge::Displaced;
        }
        self.claims.retain(|(life, _)| *life != said.life);
        if self.claims.len() >= CLAIMS_MOST {
            self.claims.remove(0);
        }
        self.claims.push((said.life, said.generation));
        self.restamp(mine.over(said), uptime_ms, |_| ());
        Merge::Claimed { living }
    }

    fn restamp(&mut self, stamp: Stamp, uptime_ms: u32, change: impl FnOnce(&mut Card)) {
        self.change(&self.me.clone(), |me| {
            (me.card.stamp, me.card.uptime_ms) = (stamp, uptime_ms);
            change(&mut me.card);
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
