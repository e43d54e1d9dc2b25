//! What happens, one thing after the other.

use super::{name, Fleet, Mode, Place, What, FRESH, SECOND};
use flaxhead_quota::{
    Allowance, Context, Effect, Facts, Machine, Message, Micros, Name, TenantAllowance, TenantUsage, Usage,
};
use rand_core::RngCore;
use std::cmp::Reverse;

impl Fleet {
    /// Plays on for so long.
    pub fn play(&mut self, lasts: Micros) {
        let end = self.now + lasts;
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            self.happen(what);
        }
        self.now = end;
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Wake(place, at) if self.places[place].wake == at && !self.places[place].frozen => {
                self.act(place, |machine, around, out| machine.tick(around, out));
            }
            What::Wake(..) => {}
            What::Arrive { to, number } => {
                let Some((from, message)) = self.letters.remove(&number) else { return };
                if self.places[to].frozen {
                    // It waits in the socket.
                    self.letters.insert(number, (from, message));
                    return self.push(SECOND / 4, What::Arrive { to, number });
                }
                let from = name(from);
                self.act(to, |machine, around, out| machine.receive(around, &from, message, out));
            }
            What::Work(place) => {
                self.work(place);
                let tick = self.plan.tick;
                self.push(tick, What::Work(place));
            }
            What::Fault => self.fault(),
            What::Heal(place) => {
                let gone = self.places[place].machine.is_none();
                let of = &mut self.places[place];
                let frozen = std::mem::take(&mut of.frozen);
                (of.apart, of.since) = (false, self.now);
                if gone {
                    self.launch(place);
                } else if frozen {
                    // Calls that waited for it come before anything that it hears.
                    self.work(place);
                    self.wake(place);
                }
            }
            What::Shift => {
                let (place, tenant) =
                    (self.below(self.plan.processes as u64), self.below(self.book.tenants.len() as u64));
                let cap = self.book.tenants[tenant as usize].cap.unwrap_or(16);
                let calls = if self.below(3) == 0 { 0 } else { self.below(u64::from(cap)) as u32 };
                self.want(place as usize, tenant as usize, calls);
                let every = self.plan.shift_every;
                let after = every / 2 + self.below(every);
                self.push(after, What::Shift);
            }
        }
    }

    /// Lets a machine do something, and takes what comes of it.
    pub(super) fn act(
        &mut self,
        place: usize,
        act: impl FnOnce(&mut Machine, &mut Context<'_>, &mut Vec<Effect>),
    ) {
        // Only voters look at facts: for the others they need not be made.
        let old = self.places[place].facts.take().filter(|(at, _)| self.now < at + FRESH);
        let (looked, facts) = match old {
            Some(fresh) => fresh,
            None if place < self.plan.voters => (self.now, self.facts(place)),
            None => (self.now, Facts::default()),
        };
        self.end_calls(place);
        let (local, usage) = (self.local(place), self.usage(place));
        let Some(mut machine) = self.places[place].machine.take() else { return };
        machine.application_mut().set_usage(local, usage);
        let mut out = Vec::new();
        let mut around = Context { now: local, facts: &facts, random: &mut self.random };
        act(&mut machine, &mut around, &mut out);
        // A disk has at once what is to be kept.
        if let Some(mark) = machine.persistent_state_version() {
            machine.state_persisted(&mut around, mark, &mut out);
        }
        let mut allowance = match self.plan.mode {
            Mode::Settled => machine.application_mut().allowance(local),
            Mode::Fixed => self.fixed(place),
            Mode::Nothing => Allowance::default(),
        };
        allowance.tenants.resize(self.book.tenants.len(), TenantAllowance::default());
        let of = &mut self.places[place];
        self.seen.pushed +=
            u64::from(of.allowance.tenants != allowance.tenants || of.allowance.total != allowance.total);
        (of.allowance, of.facts, of.machine) = (allowance, Some((looked, facts)), Some(machine));
        self.judge(place);
        for effect in out {
            if let Effect::Send { to, message } = effect {
                self.send(place, &to, message);
            }
        }
        self.wake(place);
    }

    /// Its part of each cap, whoever runs.
    fn fixed(&self, place: usize) -> Allowance {
        let count = self.plan.processes as u32;
        let part = |cap: u32| cap / count + u32::from((place as u32) < cap % count);
        let units = self.book.tenants.iter().map(|tenant| {
            let cap = tenant.cap.map(part);
            TenantAllowance { cap, guaranteed: cap, fair_share: 1 }
        });
        let carried = self.hosts.len() as u32 * self.plan.host_calls * 9 / 10;
        let all = (self.plan.host_calls > 0).then(|| part(carried));
        Allowance { tenants: units.collect(), total: all, expires_at: None }
    }

    fn usage(&self, place: usize) -> Usage {
        let Place { wants, in_hand, .. } = &self.places[place];
        let tenants = wants.iter().zip(in_hand).map(|(wants, in_hand)| TenantUsage {
            in_flight: *in_hand,
            peak: *in_hand.max(wants),
            queued: wants.saturating_sub(*in_hand),
            rejected: 0,
        });
        Usage { tenants: tenants.collect(), attempts: 0, rejected_by_hosts: 0 }
    }

    fn end_calls(&mut self, place: usize) {
        let (now, of) = (self.now, &mut self.places[place]);
        let in_hand = &mut of.in_hand;
        of.calls.retain(|(tenant, until)| {
            in_hand[*tenant] -= u32::from(*until <= now);
            *until > now
        });
    }

    /// Calls end, and others begin, as the allowance has it at this moment.
    fn work(&mut self, place: usize) {
        self.end_calls(place);
        if self.places[place].machine.is_none() || self.places[place].frozen {
            return;
        }
        let local = self.local(place);
        let waited = self.usage(place).tenants.iter().any(|tenant| tenant.queued > 0);
        while let Some(tenant) = self.next(place, local) {
            let (call, drawn) = (self.plan.call, self.below(self.plan.call));
            let most = self.plan.pace.max_call_duration;
            let lasts = if self.plan.long_calls && self.below(200) == 0 {
                most
            } else {
                (call / 2 + drawn).min(most)
            };
            let of = &mut self.places[place];
            of.calls.push((tenant, self.now + lasts));
            of.in_hand[tenant] += 1;
            self.seen.calls += 1;
        }
        let waits = self.usage(place).tenants.iter().any(|tenant| tenant.queued > 0);
        self.judge(place);
        if waits || waited {
            self.act(place, |machine, around, out| machine.tick(around, out));
        }
    }

    /// Whose call begins next: of those that wait and may, the one that has the least for its share.
    fn next(&self, place: usize, local: Micros) -> Option<usize> {
        let Place { allowance, wants, in_hand, .. } = &self.places[place];
        let sum: u32 = in_hand.iter().sum();
        if allowance.total(local).is_some_and(|all| sum >= all) {
            return None;
        }
        let may = |tenant: &usize| {
            let (tenant, held) = (*tenant, in_hand[*tenant]);
            held < wants[tenant] && allowance.cap(local, tenant).is_none_or(|cap| held < cap)
        };
        let for_share = |tenant: &usize| {
            let share = allowance.tenants.get(*tenant).map_or(1, |units| units.fair_share.max(1));
            u64::from(in_hand[*tenant]) * 1_000_000 / u64::from(share)
        };
        (0..wants.len()).filter(may).min_by_key(for_share)
    }

    /// What might be used now, against each cap.
    pub(super) fn judge(&mut self, place: usize) {
        if self.plan.mode != Mode::Settled {
            return;
        }
        for tenant in 0..self.book.tenants.len() {
            let Some(cap) = self.book.tenants[tenant].cap else { continue };
            let usable = self.usable_now(place, tenant);
            self.sums[tenant] = self.sums[tenant] + usable - self.usable[place][tenant];
            self.usable[place][tenant] = usable;
            if self.sums[tenant] > cap {
                // What has run out meanwhile does not count.
                for other in 0..self.places.len() {
                    self.usable[other][tenant] = self.usable_now(other, tenant);
                }
                self.sums[tenant] = self.usable.iter().map(|of| of[tenant]).sum();
            }
            let sum = self.sums[tenant];
            self.seen.most[tenant] = self.seen.most[tenant].max(sum);
            self.seen.over += u64::from(sum > cap);
            assert!(sum <= cap, "{sum} of {cap} of tenant {tenant} might be used at {}: {:?}", self.now, {
                self.usable.iter().map(|of| of[tenant]).collect::<Vec<_>>()
            });
        }
    }

    fn usable_now(&self, place: usize, tenant: usize) -> u32 {
        let of = &self.places[place];
        let in_hand = of.calls.iter().filter(|(of, until)| *of == tenant && *until > self.now).count() as u32;
        let may = of.machine.as_ref().map_or(0, |_| of.allowance.cap(self.local(place), tenant).unwrap_or(0));
        may.max(in_hand)
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        self.seen.messages += 1;
        if self.plan.fault_every == 0 {
            self.seen.bytes += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
        }
        let Some(&to) = self.names.get(to) else { return };
        let drawn = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        if drawn < self.plan.loss || self.places[from].apart || self.places[to].apart {
            return;
        }
        let twice = drawn < self.plan.loss * 1.25;
        let late = if twice { self.below(2 * self.plan.pace.lease) } else { 0 };
        for late in [0, late].into_iter().take(1 + usize::from(twice)) {
            self.order += 1;
            let number = self.order;
            self.letters.insert(number, (from, message.clone()));
            let way = 1_000 + self.below(20_000);
            self.push(way + late, What::Arrive { to, number });
        }
    }

    fn fault(&mut self) {
        let place = self.below(self.plan.processes as u64) as usize;
        let of = &mut self.places[place];
        if of.machine.is_some() && !of.frozen && !of.apart {
            of.since = self.now;
            self.seen.faults += 1;
            let lasts = SECOND / 4 + self.below(4 * self.plan.pace.lease);
            match self.below(3) {
                0 => self.kill(place),
                1 => self.places[place].frozen = true,
                _ => self.places[place].apart = true,
            }
            self.push(lasts, What::Heal(place));
        }
        let every = self.plan.fault_every;
        let after = every / 2 + self.below(every);
        self.push(after, What::Fault);
    }
}
