//! Words on members: which are taken, what they change, and which are sent on.

use super::{Change, Effect, Machine, Peer};
use crate::name::{Name, Stamp};
use crate::packet::Update;
use crate::table::{Cause, MergeResult, State, SuspicionReport};
use crate::Micros;

impl Machine {
    /// Takes words in; those that are news are sent on, where they came alone.
    pub(super) fn apply_updates(
        &mut self,
        now: Micros,
        updates: &[Update],
        send_on: bool,
        out: &mut Vec<Effect>,
    ) {
        for update in updates {
            let mut update = update.clone();
            let ear = self.peers.get(&update.record.name).and_then(|peer| peer.heard);
            let lately = ear.is_some_and(|heard| now.saturating_sub(heard) < 2 * self.config.probe_interval);
            // What one hears with one's own ears is not dead by another's word; it is told, and says so itself.
            if update.state == State::Dead && lately && !self.config.is_plain_swim {
                let cause = update.by.as_ref().map_or(Cause::Silent, |word| word.cause);
                if cause != Cause::Refused {
                    update.state = State::Suspect;
                }
            }
            self.detect_ignored_refutation(now, &update);
            let merge = self.table.merge(&update, self.uptime_ms(now));
            self.apply_merge(now, update, merge, send_on, out);
        }
    }

    /// Whoever still says what this process refuted long ago has not heard it.
    pub(super) fn detect_ignored_refutation(&mut self, now: Micros, update: &Update) {
        let me = self.table.me();
        let (said, mine) = (update.record.stamp, me.stamp);
        let old = said.incarnation == mine.incarnation
            && said < mine
            && matches!(update.state, State::Suspect | State::Dead);
        let long = self.uptime_ms(now).saturating_sub(me.uptime_ms)
            >= (4 * self.config.probe_interval / 1_000) as u32;
        if update.record.name == me.name && old && long {
            self.health.ignored(now, self.config.probe_interval);
        }
    }

    pub(super) fn apply_merge(
        &mut self,
        now: Micros,
        update: Update,
        merge: MergeResult,
        send_on: bool,
        out: &mut Vec<Effect>,
    ) {
        let name = update.record.name.clone();
        let changed = |change| Effect::Changed(change);
        match merge {
            MergeResult::Stale => return,
            MergeResult::Rejected(why) => return self.reject(why),
            _ => self.version += 1,
        }
        match merge {
            MergeResult::Stale | MergeResult::Rejected(_) => {}
            MergeResult::Refuted => {
                self.health.add(1);
                out.push(changed(Change::Refuted));
                return self.announce_self();
            }
            MergeResult::Claimed { is_running } => {
                if is_running {
                    out.push(changed(Change::NameClaimed));
                }
                return self.announce_self();
            }
            MergeResult::Displaced => {
                self.displaced = true;
                return out.push(changed(Change::Displaced));
            }
            MergeResult::Vouched => self.restart_suspicion(now, &name),
            MergeResult::Confirmed => self.update_deadline(now, &name, out),
            MergeResult::New | MergeResult::Restarted | MergeResult::Changed { .. } => {
                self.state_changed(now, &update, &merge, out);
            }
        }
        if send_on {
            self.queue.push(update, self.peers.len());
        }
    }

    pub(super) fn announce_self(&mut self) {
        if let Some(own) = self.table.update(&self.table.me().name) {
            self.queue.push(own, self.peers.len());
        }
    }

    /// A member is in another state, or new.
    pub(super) fn state_changed(
        &mut self,
        now: Micros,
        update: &Update,
        merge: &MergeResult,
        out: &mut Vec<Effect>,
    ) {
        let name = &update.record.name;
        let new = *merge == MergeResult::New;
        if new {
            let place = self.below(self.ring.len() as u64 + 1) as usize;
            self.ring.insert(place, name.clone());
        }
        let peer = self.peers.entry(name.clone()).or_default();
        if *merge == MergeResult::Restarted {
            *peer = Peer::default();
        }
        let (me, by) = (self.table.me().name.clone(), update.by.clone());
        let SuspicionReport { by, cause } = by.unwrap_or(SuspicionReport { by: me, cause: Cause::Silent });
        let from = match merge {
            MergeResult::Changed { from } => Some(*from),
            _ => None,
        };
        let mut change = None;
        match update.state {
            State::Alive | State::Vouched => {
                change = match from {
                    None if new => Some(Change::Joined(name.clone())),
                    None => Some(Change::Restarted(name.clone())),
                    Some(State::Alive) => None,
                    Some(_) => Some(Change::Recovered(name.clone())),
                };
                if matches!(from, Some(State::Dead | State::Left)) {
                    // It was away: both have missed what the other learned meanwhile.
                    out.push(Effect::Exchange { address: update.record.address });
                }
            }
            State::Suspect => {
                if from != Some(State::Suspect) {
                    change = Some(Change::Suspected { name: name.clone(), by, cause });
                }
            }
            State::Dead => change = Some(Change::Died { name: name.clone(), by, cause }),
            State::Left => change = Some(Change::Left(name.clone())),
        }
        if from != Some(update.state) {
            peer.since = now;
        }
        self.end_suspicion(name);
        if update.state == State::Suspect {
            self.begin_suspicion(now, name, false, out);
        }
        out.extend(change.map(Effect::Changed));
    }

    /// Others' suspicion of it rests on what they do not hear; that this process does is worth a word.
    pub(super) fn vouch(&mut self, now: Micros, name: &Name, stamp: Stamp) {
        let Some(member) = self.table.get(name).filter(|m| m.record.stamp == stamp) else { return };
        let by = Some(SuspicionReport { by: self.table.me().name.clone(), cause: Cause::Silent });
        let update = Update { record: member.record.clone(), state: State::Vouched, by };
        self.queue.push(update, self.peers.len());
        if let Some(peer) = self.peers.get_mut(name) {
            peer.vouched = now;
        }
    }
}
