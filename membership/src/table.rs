//! What is known of each member, and how two updates on one are merged. No time takes part, so that the rules can be checked
//! over every order in which updates may come.

use crate::liveness::{State, SuspicionReport};
use crate::name::{Name, Stamp};
use crate::packet::{MemberRecord, Rejection, Update};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

/// Maximum number of members that are stored, those that are gone among them.
const MAX_MEMBERS: usize = 4_096;
/// Maximum number of reports that are stored on one suspicion: more shorten it no further.
const MAX_SUSPICION_REPORTS: usize = 8;
/// Maximum number of processes with its own name that a process has superseded and remembers.
const MAX_SUPERSEDED: usize = 8;

/// A member, as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// As it last announced itself.
    pub record: MemberRecord,
    /// Whether it runs.
    pub state: State,
    /// Who suspects it, with this stamp.
    pub suspicions: Vec<SuspicionReport>,
}

/// What an update has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// Nothing: it was known, or older than what is.
    Stale,
    /// A member that was not known.
    New,
    /// A member's process is another than before.
    Restarted,
    /// A member's state, or its own announcement.
    Changed {
        /// The state before.
        from: State,
    },
    /// One member more suspects it.
    Confirmed,
    /// Some member receives a suspect.
    Vouched,
    /// It was about this process, which runs: the own stamp is one further.
    Refuted,
    /// This name was another process's: the own stamp supersedes that now.
    Claimed {
        /// The other process claimed the name anew after this one did, so it runs.
        is_running: bool,
    },
    /// Another process with this name runs, and has run for longer.
    Displaced,
    /// It is not believed.
    Rejected(Rejection),
}

/// A process with the own name whose stamp was superseded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Superseded {
    incarnation: u64,
    generation: u32,
}

/// All that is known of members, this process among them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberTable {
    me: Name,
    members: BTreeMap<Name, Member>,
    superseded: Vec<Superseded>,
    is_leaving: bool,
    digest: u32,
}

/// What a member adds to the digest: those that are gone add nothing, and suspicions are no difference of views.
#[expect(clippy::cast_possible_truncation, reason = "both halves of the hash are folded into one")]
fn digest_of(member: &Member) -> u32 {
    if matches!(member.state, State::Dead | State::Left) {
        return 0;
    }
    let mut hasher = SipHasher13::new();
    (&member.record.name, member.record.stamp, member.record.cut_off).hash(&mut hasher);
    let hash = hasher.finish();
    (hash ^ (hash >> 32)) as u32
}

impl MemberTable {
    /// The table of a process that knows only itself.
    pub fn new(me: MemberRecord) -> MemberTable {
        let name = me.name.clone();
        let member = Member { record: me, state: State::Alive, suspicions: Vec::new() };
        let digest = digest_of(&member);
        let members = BTreeMap::from([(name.clone(), member)]);
        MemberTable { me: name, members, superseded: Vec::new(), is_leaving: false, digest }
    }

    /// This process.
    pub fn me(&self) -> &MemberRecord {
        &self.members[&self.me].record
    }

    /// A member, by its name.
    pub fn get(&self, name: &Name) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The other members that are taken to run.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        let runs = |member: &&Member| matches!(member.state, State::Alive | State::Suspect);
        self.iter().filter(|member| member.record.name != self.me).filter(runs)
    }

    /// The same for two processes that take the same members, in the same incarnations, to run.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    /// The update that announces a member.
    pub fn update(&self, name: &Name) -> Option<Update> {
        let Member { record, state, suspicions } = self.members.get(name)?;
        let by = suspicions.last().filter(|_| *state == State::Suspect).cloned();
        Some(Update { record: record.clone(), state: *state, by })
    }

    /// Announces something new of this process itself.
    pub fn announce(&mut self, uptime_ms: u32, change: impl FnOnce(&mut MemberRecord)) {
        let stamp = self.me().stamp;
        self.restamp(stamp.after(stamp), uptime_ms, change);
    }

    /// This process leaves: from here on it refutes nothing.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.change(&self.me.clone(), |me| me.state = State::Left);
    }

    /// Removes a member that is gone.
    pub fn remove(&mut self, name: &Name) {
        let is_gone = |member: &Member| matches!(member.state, State::Dead | State::Left);
        if self.members.get(name).is_some_and(is_gone) {
            self.members.remove(name);
        }
    }

    /// Merges an update. `uptime_ms` is this process's own.
    pub fn merge(&mut self, update: &Update, uptime_ms: u32) -> MergeResult {
        let known = self.members.get(&update.record.name);
        let known_stamp = known.map(|known| known.record.stamp);
        if !update.record.stamp.is_plausible(known_stamp) {
            return MergeResult::Rejected(Rejection::Implausible);
        }
        if update.record.name == self.me {
            return self.merge_own(update, uptime_ms);
        }
        match known {
            Some(known) => {
                let (stamp, state) = (known.record.stamp, known.state);
                self.merge_known(update, stamp, state)
            }
            None => self.merge_unknown(update),
        }
    }

    /// Merges an update on a member that is not known. One that was never met and is gone is of no interest; a vouch
    /// without a member says nothing.
    fn merge_unknown(&mut self, update: &Update) -> MergeResult {
        match update.state {
            State::Vouched | State::Dead | State::Left => MergeResult::Stale,
            _ if self.members.len() >= MAX_MEMBERS => MergeResult::Rejected(Rejection::TooMany),
            _ => {
                let member = Member {
                    record: update.record.clone(),
                    state: update.state,
                    suspicions: update.by.clone().into_iter().collect(),
                };
                self.digest ^= digest_of(&member);
                self.members.insert(update.record.name.clone(), member);
                MergeResult::New
            }
        }
    }

    /// Merges an update on a member that is known, with this stamp and state.
    fn merge_known(&mut self, update: &Update, stamp: Stamp, from: State) -> MergeResult {
        let Update { record, state, by } = update;
        if *state == State::Vouched {
            let is_vouch = record.stamp == stamp && from == State::Suspect;
            return if is_vouch { MergeResult::Vouched } else { MergeResult::Stale };
        }
        if record.stamp == stamp && *state == State::Suspect && from == State::Suspect {
            return self.confirm(&record.name, by.clone());
        }
        if (record.stamp, *state) <= (stamp, from) {
            return MergeResult::Stale;
        }
        let is_announced = record.stamp > stamp;
        self.change(&record.name, |member| {
            // What others say of a stamp does not change what the member announced with it.
            if is_announced {
                member.record = record.clone();
            }
            member.state = *state;
            member.suspicions = by.clone().into_iter().collect();
        });
        if record.stamp.incarnation == stamp.incarnation {
            MergeResult::Changed { from }
        } else {
            MergeResult::Restarted
        }
    }

    /// One member more suspects a suspect.
    fn confirm(&mut self, name: &Name, report: Option<SuspicionReport>) -> MergeResult {
        let member = self.members.get_mut(name);
        let (Some(report), Some(member)) = (report, member) else { return MergeResult::Stale };
        let is_full = member.suspicions.len() >= MAX_SUSPICION_REPORTS;
        match member.suspicions.iter_mut().find(|known| known.by == report.by) {
            Some(known) if known.cause >= report.cause => return MergeResult::Stale,
            Some(known) => known.cause = report.cause,
            None if is_full => return MergeResult::Stale,
            None => member.suspicions.push(report),
        }
        MergeResult::Confirmed
    }

    /// Merges an update on this process's own name.
    fn merge_own(&mut self, update: &Update, uptime_ms: u32) -> MergeResult {
        let (own, said) = (self.me().stamp, update.record.stamp);
        if self.is_leaving || update.state == State::Vouched {
            return MergeResult::Stale;
        }
        if said.incarnation == own.incarnation {
            let is_news = said > own || said == own && update.state != State::Alive;
            if !is_news {
                return MergeResult::Stale;
            }
            self.restamp(own.after(said), uptime_ms, |_| ());
            return MergeResult::Refuted;
        }
        if said.generation < own.generation {
            return MergeResult::Stale;
        }
        self.claim_name(update, uptime_ms)
    }

    /// Supersedes another process with this process's own name, unless that one is to stay.
    fn claim_name(&mut self, update: &Update, uptime_ms: u32) -> MergeResult {
        let (own, said) = (self.me().stamp, update.record.stamp);
        let before = self.superseded.iter().find(|other| other.incarnation == said.incarnation);
        // Only a process that runs claims its name above a claim over it.
        let has_claimed_anew = before.is_some_and(|before| said.generation > before.generation);
        let is_running = has_claimed_anew && !matches!(update.state, State::Dead | State::Left);
        if is_running && update.record.uptime_ms > uptime_ms {
            return MergeResult::Displaced;
        }
        self.superseded.retain(|other| other.incarnation != said.incarnation);
        if self.superseded.len() >= MAX_SUPERSEDED {
            self.superseded.remove(0);
        }
        self.superseded.push(Superseded { incarnation: said.incarnation, generation: said.generation });
        self.restamp(own.superseding(said), uptime_ms, |_| ());
        MergeResult::Claimed { is_running }
    }

    fn restamp(&mut self, stamp: Stamp, uptime_ms: u32, change: impl FnOnce(&mut MemberRecord)) {
        self.change(&self.me.clone(), |me| {
            me.record.stamp = stamp;
            me.record.uptime_ms = uptime_ms;
            change(&mut me.record);
        });
    }

    fn change(&mut self, name: &Name, change: impl FnOnce(&mut Member)) {
        if let Some(member) = self.members.get_mut(name) {
            self.digest ^= digest_of(member);
            change(member);
            self.digest ^= digest_of(member);
        }
    }
}
