//! Messages between the processes.

use super::{at, name, Fleet, Place, What, SECOND};
use flaxhead_lease::{MemberStatus, Presence};
use flaxhead_zones::{Around, Effect, Facts, Machine, Message};
use rand_core::RngCore;

impl Fleet {
    pub(super) fn arrive(&mut self, to: usize, number: u64) {
        let Some((from, message)) = self.letters.remove(&number) else { return };
        if self.places[to].frozen {
            // It waits in the socket.
            self.letters.insert(number, (from, message));
            return self.push(SECOND / 4, What::Arrive { to, number });
        }
        if self.places[to].apart {
            return;
        }
        let from = name(from);
        self.act(to, |machine, around, out| machine.receive(around, &from, message, out));
    }

    /// Lets a machine do something, and takes what comes of it.
    pub(super) fn act(
        &mut self,
        place: usize,
        act: impl FnOnce(&mut Machine, &mut Around<'_>, &mut Vec<Effect>),
    ) {
        let local = self.local(place);
        let Some(mut machine) = self.places[place].machine.take() else { return };
        // Only voters look at facts: for the others they need not be made.
        let facts = if place < 5 { self.known(place) } else { Facts::default() };
        let mut out = Vec::new();
        machine.application_mut().look(local);
        let mut around = Around { now: local, facts: &facts, random: &mut self.random };
        act(&mut machine, &mut around, &mut out);
        self.places[place].machine = Some(machine);
        for effect in out {
            match effect {
                Effect::Send { to, message } => self.send(place, &to, message),
                Effect::Event(noted) => self.seen.noted(self.now, noted),
                Effect::CommandCompleted { id, result } => {
                    self.seen.answers.insert(id, result);
                }
                Effect::LeadershipChanged(_) => {}
            }
        }
        self.wake(place);
    }

    fn send(&mut self, from: usize, to: &flaxhead_zones::Name, message: Message) {
        let Some(to) = self.names.get(to).copied() else { return };
        if let Message::Renew(renewal) = &message {
            self.seen.words += 1;
            if self.seen.words.is_multiple_of(50) {
                let bytes = postcard::to_stdvec(&renewal.report).expect("a word").len();
                self.seen.word_most = self.seen.word_most.max(bytes);
            }
        }
        let lost = (self.random.next_u32() as f64) < self.plan.loss * f64::from(u32::MAX);
        if lost || self.places[from].apart || self.places[to].apart {
            return;
        }
        let after = 500 + self.below(4_000);
        self.order += 1;
        let number = self.order;
        self.letters.insert(number, (from, message));
        self.push(after, What::Arrive { to, number });
    }

    pub(super) fn wake(&mut self, place: usize) {
        let local = self.local(place);
        let Some(machine) = &self.places[place].machine else { return };
        let after = machine.next_wake().saturating_sub(local).max(1_000);
        let at = self.now + after;
        self.places[place].wake = at;
        self.push(after, What::Wake(place, at));
    }

    /// What the membership and discovery know, a moment old.
    fn known(&mut self, of: usize) -> Facts {
        let old = self.facts.as_ref().filter(|(at, _)| self.now < at + SECOND / 5);
        let mut facts = match old {
            Some((_, facts)) => facts.clone(),
            None => {
                let facts = self.facts();
                self.facts = Some((self.now, facts.clone()));
                facts
            }
        };
        facts.members.remove(&name(of));
        facts.participates =
            !self.places[of].apart || self.now.saturating_sub(self.places[of].since) < 3 * SECOND;
        facts
    }

    fn facts(&self) -> Facts {
        let fact = |place: usize| {
            let Place { life, since, frozen, apart, machine, .. } = &self.places[place];
            let away = self.now.saturating_sub(*since);
            let presence = match (machine.is_none(), *frozen || *apart) {
                (true, _) if away > 2 * SECOND => Presence::Exited,
                (_, true) if away > 10 * SECOND => Presence::Unreachable,
                (_, true) if away > 3 * SECOND => Presence::Suspected,
                _ => Presence::Alive,
            };
            (name(place), MemberStatus { incarnation: *life, address: at(place), presence, since: 0 })
        };
        let members = (0..self.places.len()).map(fact).collect();
        Facts { application: self.site.hosts(), members, participates: true }
    }
}
