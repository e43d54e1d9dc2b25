//! Updates on members: which are taken, what they change, and which are passed on.

use super::{Change, Effect, Machine, Peer};
use crate::liveness::{Cause, State, SuspicionReport};
use crate::name::{Name, Stamp};
use crate::packet::Update;
use crate::table::MergeResult;
use crate::Micros;

/// A member that was received within this many probe intervals is not dead by another's word.
const RECENT_INTERVALS: Micros = 2;
/// After this many probe intervals every member has received a refutation.
const REFUTATION_INTERVALS: Micros = 4;

/// Whether updates that are news are passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Forwarding {
    /// They are gossiped to others.
    Gossip,
    /// They are not: they came with a full state, as which the others get them too.
    Keep,
}

impl Machine {
    /// Takes updates.
    pub(super) fn apply_updates(
        &mut self,
        now: Micros,
        updates: &[Update],
        forwarding: Forwarding,
        effects: &mut Vec<Effect>,
    ) {
        for update in updates {
            let mut update = update.clone();
            if self.contradicts_own_evidence(now, &update) {
                update.state = State::Suspect;
            }
            self.detect_ignored_refutation(now, &update);
            let result = self.table.merge(&update, self.uptime_ms(now));
            self.apply_merge(now, update, &result, forwarding, effects);
        }
    }

    /// Whether an update declares a member dead that this process has received recently. It is taken for a suspicion: the
    /// member is told of that, and refutes it.
    fn contradicts_own_evidence(&self, now: Micros, update: &Update) -> bool {
        let received_at = self.peers.get(&update.record.name).and_then(|peer| peer.received_at);
        let recent = RECENT_INTERVALS * self.config.probe_interval;
        let is_recent = received_at.is_some_and(|at| now.saturating_sub(at) < recent);
        let cause = update.by.as_ref().map_or(Cause::Silent, |report| report.cause);
        update.state == State::Dead && is_recent && !self.config.is_plain_swim && cause != Cause::Refused
    }

    /// Whoever still passes on what this process refuted long ago has not received it.
    fn detect_ignored_refutation(&mut self, now: Micros, update: &Update) {
        let me = self.table.me();
        let (said, own) = (update.record.stamp, me.stamp);
        let is_outdated = update.record.name == me.name
            && said.incarnation == own.incarnation
            && said < own
            && matches!(update.state, State::Suspect | State::Dead);
        let refuted_for_ms = u64::from(self.uptime_ms(now).saturating_sub(me.uptime_ms));
        let is_long_ago = refuted_for_ms >= REFUTATION_INTERVALS * self.config.probe_interval / 1_000;
        if is_outdated && is_long_ago {
            self.health.ignored(now, self.config.probe_interval);
        }
    }

    /// Does what follows from a merge.
    pub(super) fn apply_merge(
        &mut self,
        now: Micros,
        update: Update,
        result: &MergeResult,
        forwarding: Forwarding,
        effects: &mut Vec<Effect>,
    ) {
        match result {
            MergeResult::Stale => return,
            MergeResult::Rejected(why) => return self.reject(*why),
            _ => self.version += 1,
        }
        let name = &update.record.name;
        match result {
            MergeResult::Stale | MergeResult::Rejected(_) => {}
            MergeResult::Refuted => {
                self.health.add(1);
                effects.push(Effect::Changed(Change::Refuted));
                return self.announce_self();
            }
            MergeResult::Claimed { is_running } => {
                if *is_running {
                    effects.push(Effect::Changed(Change::NameClaimed));
                }
                return self.announce_self();
            }
            MergeResult::Displaced => {
                self.is_displaced = true;
                return effects.push(Effect::Changed(Change::Displaced));
            }
            MergeResult::Vouched => self.restart_suspicion(now, name),
            MergeResult::Confirmed => self.update_deadline(now, name, effects),
            MergeResult::New | MergeResult::Restarted | MergeResult::Changed { .. } => {
                self.state_changed(now, &update, result, effects);
            }
        }
        if forwarding == Forwarding::Gossip {
            self.queue.push(update, self.peers.len());
        }
    }

    /// Queues the announcement of this process itself.
    pub(super) fn announce_self(&mut self) {
        if let Some(own) = self.table.update(&self.table.me().name) {
            self.queue.push(own, self.peers.len());
        }
    }

    /// A member is in another state, or new.
    fn state_changed(
        &mut self,
        now: Micros,
        update: &Update,
        result: &MergeResult,
        effects: &mut Vec<Effect>,
    ) {
        let name = &update.record.name;
        if *result == MergeResult::New {
            let place = self.random_index(self.ring.len() + 1);
            self.ring.insert(place, name.clone());
        }
        let peer = self.peers.entry(name.clone()).or_default();
        if *result == MergeResult::Restarted {
            *peer = Peer::default();
        }
        let from = match result {
            MergeResult::Changed { from } => Some(*from),
            _ => None,
        };
        if from != Some(update.state) {
            peer.since = now;
        }
        let is_back = matches!(update.state, State::Alive | State::Vouched)
            && matches!(from, Some(State::Dead | State::Left));
        if is_back {
            // It was away: both have missed what the other learned meanwhile.
            effects.push(Effect::Exchange { address: update.record.address });
        }
        self.end_suspicion(name);
        if update.state == State::Suspect {
            self.begin_suspicion(now, name, false, effects);
        }
        effects.extend(self.change_of(update, result).map(Effect::Changed));
    }

    /// What a log line is worth of a merge.
    fn change_of(&self, update: &Update, result: &MergeResult) -> Option<Change> {
        let name = update.record.name.clone();
        let own_report = || SuspicionReport { by: self.table.me().name.clone(), cause: Cause::Silent };
        let SuspicionReport { by, cause } = update.by.clone().unwrap_or_else(own_report);
        match (update.state, result) {
            (State::Alive | State::Vouched, MergeResult::New) => Some(Change::Joined(name)),
            (State::Alive | State::Vouched, MergeResult::Changed { from: State::Alive }) => None,
            (State::Alive | State::Vouched, MergeResult::Changed { .. }) => Some(Change::Recovered(name)),
            (State::Alive | State::Vouched, _) => Some(Change::Restarted(name)),
            (State::Suspect, MergeResult::Changed { from: State::Suspect }) => None,
            (State::Suspect, _) => Some(Change::Suspected { name, by, cause }),
            (State::Dead, _) => Some(Change::Died { name, by, cause }),
            (State::Left, _) => Some(Change::Left(name)),
        }
    }

    /// Announces that this process receives a member that others suspect, as they do not.
    pub(super) fn vouch(&mut self, now: Micros, name: &Name, stamp: Stamp) {
        let member = self.table.get(name).filter(|member| member.record.stamp == stamp);
        let Some(member) = member else { return };
        let by = SuspicionReport { by: self.table.me().name.clone(), cause: Cause::Silent };
        let update = Update { record: member.record.clone(), state: State::Vouched, by: Some(by) };
        self.queue.push(update, self.peers.len());
        if let Some(peer) = self.peers.get_mut(name) {
            peer.vouched_at = now;
        }
    }
}
