//! Updates that wait to be carried on packets, each so often that all members have very likely received it.

use crate::liveness::State;
use crate::name::Name;
use crate::packet::Update;
use std::collections::VecDeque;

/// How often an update is sent, for each doubling of the members: SWIM's lambda.
const TRANSMISSIONS_PER_DOUBLING: u32 = 3;
/// Maximum number of updates that wait: beyond that the full exchange brings what was left out.
const MAX_WAITING: usize = 8_192;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    transmissions_left: u32,
}

/// The updates, the one that is sent next first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue(VecDeque<QueuedUpdate>);

/// What an update is about: a newer one on the same topic replaces it.
#[derive(PartialEq, Eq)]
struct Topic<'a> {
    member: &'a Name,
    by: Option<&'a Name>,
    is_vouch: bool,
}

impl<'a> Topic<'a> {
    fn of(update: &'a Update) -> Topic<'a> {
        Topic {
            member: &update.record.name,
            by: update.by.as_ref().map(|report| &report.by),
            is_vouch: update.state == State::Vouched,
        }
    }
}

/// Whether `update` makes `queued` obsolete.
fn is_obsolete(queued: &Update, update: &Update) -> bool {
    if queued.record.name != update.record.name {
        return false;
    }
    let is_newer = (queued.record.stamp, queued.state) < (update.record.stamp, update.state);
    Topic::of(queued) == Topic::of(update) || is_newer && update.state != State::Vouched
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Queues an update for a fleet of so many members, in place of those that it makes obsolete.
    pub(crate) fn push(&mut self, update: Update, members: usize) {
        self.0.retain(|queued| !is_obsolete(&queued.update, &update));
        if self.0.len() < MAX_WAITING {
            let doublings = (usize::BITS - members.leading_zeros()).max(1);
            let transmissions_left = TRANSMISSIONS_PER_DOUBLING * doublings;
            self.0.push_front(QueuedUpdate { update, transmissions_left });
        }
    }

    /// Takes the next updates, of together `max_bytes` at the most.
    pub(crate) fn take(&mut self, mut max_bytes: usize) -> Vec<Update> {
        let mut taken = Vec::new();
        let mut to_repeat = Vec::new();
        for _ in 0..self.0.len() {
            let Some(next) = self.0.front() else { break };
            let bytes = next.update.max_bytes();
            if bytes > max_bytes {
                break;
            }
            max_bytes -= bytes;
            let Some(mut queued) = self.0.pop_front() else { break };
            taken.push(queued.update.clone());
            queued.transmissions_left -= 1;
            if queued.transmissions_left > 0 {
                to_repeat.push(queued);
            }
        }
        self.0.extend(to_repeat);
        taken
    }
}
