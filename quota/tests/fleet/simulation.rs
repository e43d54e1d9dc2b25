//! Events of the simulation: timers, messages, calls, faults and changes of demand.

use super::{node_name, Fleet, Mode, Node, SimEvent, MAX_FACTS_AGE, SECOND};
use flaxhead_quota::{
    Allowance, Context, Effect, Facts, Machine, Message, Micros, Name, TenantAllowance, TenantUsage, Usage,
};
use rand_core::RngCore;
use std::cmp::Reverse;

impl Fleet {
    /// Processes all events of the next `duration` of virtual time.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.events.peek().is_some_and(|Reverse((time, _, _))| *time <= end) {
            let Some(Reverse((time, _, event))) = self.events.pop() else { break };
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wake(index, time)
                if self.nodes[index].wake_at == time && !self.nodes[index].is_paused =>
            {
                self.step(index, |machine, context, out| machine.tick(context, out));
            }
            SimEvent::Wake(..) => {}
            SimEvent::Deliver { to, message_id } => {
                let Some((from, message)) = self.messages_in_transit.remove(&message_id) else { return };
                if self.nodes[to].is_paused {
                    // A message to a paused process stays in its socket buffer, and is delivered later.
                    self.messages_in_transit.insert(message_id, (from, message));
                    return self.schedule(SECOND / 4, SimEvent::Deliver { to, message_id });
                }
                let sender = node_name(from);
                self.step(to, |machine, context, out| machine.receive(context, &sender, message, out));
            }
            SimEvent::ServeCalls(index) => {
                self.serve_calls(index);
                let call_interval = self.scenario.call_interval;
                self.schedule(call_interval, SimEvent::ServeCalls(index));
            }
            SimEvent::InjectFault => self.inject_fault(),
            SimEvent::Recover(index) => {
                let has_exited = self.nodes[index].machine.is_none();
                let node = &mut self.nodes[index];
                let was_paused = std::mem::take(&mut node.is_paused);
                (node.is_partitioned, node.changed_at) = (false, self.now);
                if has_exited {
                    self.start(index);
                } else if was_paused {
                    // After a pause, the process admits calls before it reads any message, and must not use
                    // an expired grant for them.
                    self.serve_calls(index);
                    self.schedule_wake(index);
                }
            }
            SimEvent::ChangeDemand => {
                let (index, tenant) = (
                    self.random_below(self.scenario.processes as u64),
                    self.random_below(self.registry.tenants.len() as u64),
                );
                let cap = self.registry.tenants[tenant as usize].cap.unwrap_or(16);
                let demand =
                    if self.random_below(3) == 0 { 0 } else { self.random_below(u64::from(cap)) as u32 };
                self.set_demand(index as usize, tenant as usize, demand);
                let interval = self.scenario.demand_change_interval;
                let after = interval / 2 + self.random_below(interval);
                self.schedule(after, SimEvent::ChangeDemand);
            }
        }
    }

    /// Lets a process handle an event, checks the caps, and sends the resulting messages.
    pub(super) fn step(
        &mut self,
        index: usize,
        handle: impl FnOnce(&mut Machine, &mut Context<'_>, &mut Vec<Effect>),
    ) {
        // Only voters read the membership, so other processes get an empty one.
        let cached =
            self.nodes[index].facts.take().filter(|(observed_at, _)| self.now < observed_at + MAX_FACTS_AGE);
        let (observed_at, facts) = match cached {
            Some(fresh) => fresh,
            None if index < self.scenario.voters => (self.now, self.facts(index)),
            None => (self.now, Facts::default()),
        };
        self.end_calls(index);
        let (local_time, usage) = (self.local_time(index), self.usage(index));
        let Some(mut machine) = self.nodes[index].machine.take() else { return };
        machine.application_mut().set_usage(local_time, usage);
        let mut effects = Vec::new();
        let mut context = Context { now: local_time, facts: &facts, random: &mut self.rng };
        handle(&mut machine, &mut context, &mut effects);
        // The simulated storage writes without delay.
        if let Some(version) = machine.persistent_state_version() {
            machine.state_persisted(&mut context, version, &mut effects);
        }
        let mut allowance = match self.scenario.mode {
            Mode::Coordinated => machine.application_mut().allowance(local_time),
            Mode::StaticSplit => self.static_allowance(index),
            Mode::Unlimited => Allowance::default(),
        };
        allowance.tenants.resize(self.registry.tenants.len(), TenantAllowance::default());
        let node = &mut self.nodes[index];
        self.stats.allowance_changes +=
            u64::from(node.allowance.tenants != allowance.tenants || node.allowance.total != allowance.total);
        (node.allowance, node.facts, node.machine) = (allowance, Some((observed_at, facts)), Some(machine));
        self.check_caps(index);
        for effect in effects {
            if let Effect::Send { to, message } = effect {
                self.send(index, &to, message);
            }
        }
        self.schedule_wake(index);
    }

    /// Returns the constant limits of a process in [`Mode::StaticSplit`]: an equal fraction of each cap and
    /// of the hosts' capacity.
    fn static_allowance(&self, index: usize) -> Allowance {
        let count = self.scenario.processes as u32;
        let part = |cap: u32| cap / count + u32::from((index as u32) < cap % count);
        let tenants = self.registry.tenants.iter().map(|tenant| {
            let cap = tenant.cap.map(part);
            TenantAllowance { cap, guaranteed: cap, fair_share: 1 }
        });
        let capacity = self.hosts.len() as u32 * self.scenario.calls_per_host * 9 / 10;
        let total_permits = (self.scenario.calls_per_host > 0).then(|| part(capacity));
        Allowance { tenants: tenants.collect(), total: total_permits, expires_at: None }
    }

    fn usage(&self, index: usize) -> Usage {
        let Node { demands, in_flight, .. } = &self.nodes[index];
        let tenants = demands.iter().zip(in_flight).map(|(demand, in_flight)| TenantUsage {
            in_flight: *in_flight,
            peak: *in_flight.max(demand),
            queued: demand.saturating_sub(*in_flight),
            rejected: 0,
        });
        Usage { tenants: tenants.collect(), attempts: 0, rejected_by_hosts: 0 }
    }

    fn end_calls(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let in_flight = &mut node.in_flight;
        node.calls.retain(|(tenant, ends_at)| {
            in_flight[*tenant] -= u32::from(*ends_at <= now);
            *ends_at > now
        });
    }

    /// Ends the calls of a process that are due, and starts calls while its allowance and its demand permit.
    fn serve_calls(&mut self, index: usize) {
        self.end_calls(index);
        if self.nodes[index].machine.is_none() || self.nodes[index].is_paused {
            return;
        }
        let local_time = self.local_time(index);
        let had_waiting = self.usage(index).tenants.iter().any(|tenant| tenant.queued > 0);
        while let Some(tenant) = self.next_tenant(index, local_time) {
            let (call_duration, sample) =
                (self.scenario.call_duration, self.random_below(self.scenario.call_duration));
            let longest = self.scenario.timing.max_call_duration;
            let duration = if self.scenario.has_long_calls && self.random_below(200) == 0 {
                longest
            } else {
                (call_duration / 2 + sample).min(longest)
            };
            let node = &mut self.nodes[index];
            node.calls.push((tenant, self.now + duration));
            node.in_flight[tenant] += 1;
            self.stats.calls += 1;
        }
        let has_waiting = self.usage(index).tenants.iter().any(|tenant| tenant.queued > 0);
        self.check_caps(index);
        if has_waiting || had_waiting {
            self.step(index, |machine, context, out| machine.tick(context, out));
        }
    }

    /// Returns the tenant whose call a process starts next: of the tenants with unmet demand and a free
    /// permit, the one with the fewest calls in flight relative to its share; `None`: no call can be started.
    fn next_tenant(&self, index: usize, local_time: Micros) -> Option<usize> {
        let Node { allowance, demands, in_flight, .. } = &self.nodes[index];
        let sum: u32 = in_flight.iter().sum();
        if allowance.total(local_time).is_some_and(|total| sum >= total) {
            return None;
        }
        let is_eligible = |tenant: &usize| {
            let (tenant, used) = (*tenant, in_flight[*tenant]);
            used < demands[tenant] && allowance.cap(local_time, tenant).is_none_or(|cap| used < cap)
        };
        let usage_per_share = |tenant: &usize| {
            let share = allowance.tenants.get(*tenant).map_or(1, |tenant| tenant.fair_share.max(1));
            u64::from(in_flight[*tenant]) * 1_000_000 / u64::from(share)
        };
        (0..demands.len()).filter(is_eligible).min_by_key(usage_per_share)
    }

    /// Updates the permits that a process may use or has in use, and asserts that the sum over all processes
    /// is within each cap.
    pub(super) fn check_caps(&mut self, index: usize) {
        if self.scenario.mode != Mode::Coordinated {
            return;
        }
        for tenant in 0..self.registry.tenants.len() {
            let Some(cap) = self.registry.tenants[tenant].cap else { continue };
            let usable_now = self.usable_now(index, tenant);
            self.usable_totals[tenant] =
                self.usable_totals[tenant] + usable_now - self.usable_permits[index][tenant];
            self.usable_permits[index][tenant] = usable_now;
            if self.usable_totals[tenant] > cap {
                // Grants of other processes may have expired since their last update, so the sum is computed
                // again.
                for other in 0..self.nodes.len() {
                    self.usable_permits[other][tenant] = self.usable_now(other, tenant);
                }
                self.usable_totals[tenant] = self.usable_permits.iter().map(|node| node[tenant]).sum();
            }
            let sum = self.usable_totals[tenant];
            self.stats.peak_usage[tenant] = self.stats.peak_usage[tenant].max(sum);
            self.stats.cap_violations += u64::from(sum > cap);
            assert!(
                sum <= cap,
                "{sum} permits of tenant {tenant} are usable or in use at {}, with a cap of {cap}: {:?}",
                self.now,
                { self.usable_permits.iter().map(|node| node[tenant]).collect::<Vec<_>>() }
            );
        }
    }

    fn usable_now(&self, index: usize, tenant: usize) -> u32 {
        let node = &self.nodes[index];
        let in_flight = node
            .calls
            .iter()
            .filter(|(call_tenant, ends_at)| *call_tenant == tenant && *ends_at > self.now)
            .count() as u32;
        let permitted = node
            .machine
            .as_ref()
            .map_or(0, |_| node.allowance.cap(self.local_time(index), tenant).unwrap_or(0));
        permitted.max(in_flight)
    }

    fn send(&mut self, from: usize, to: &Name, message: Message) {
        self.stats.messages += 1;
        if self.scenario.fault_interval == 0 {
            self.stats.bytes += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
        }
        let Some(&to) = self.indices_by_name.get(to) else { return };
        let sample = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        if sample < self.scenario.loss_ratio
            || self.nodes[from].is_partitioned
            || self.nodes[to].is_partitioned
        {
            return;
        }
        let is_duplicated = sample < self.scenario.loss_ratio * 1.25;
        let duplicate_delay =
            if is_duplicated { self.random_below(2 * self.scenario.timing.lease) } else { 0 };
        for delay in [0, duplicate_delay].into_iter().take(1 + usize::from(is_duplicated)) {
            self.sequence += 1;
            let message_id = self.sequence;
            self.messages_in_transit.insert(message_id, (from, message.clone()));
            let latency = 1_000 + self.random_below(20_000);
            self.schedule(latency + delay, SimEvent::Deliver { to, message_id });
        }
    }

    fn inject_fault(&mut self) {
        let index = self.random_below(self.scenario.processes as u64) as usize;
        let node = &mut self.nodes[index];
        if node.machine.is_some() && !node.is_paused && !node.is_partitioned {
            node.changed_at = self.now;
            self.stats.faults += 1;
            let duration = SECOND / 4 + self.random_below(4 * self.scenario.timing.lease);
            match self.random_below(3) {
                0 => self.kill(index),
                1 => self.nodes[index].is_paused = true,
                _ => self.nodes[index].is_partitioned = true,
            }
            self.schedule(duration, SimEvent::Recover(index));
        }
        let interval = self.scenario.fault_interval;
        let after = interval / 2 + self.random_below(interval);
        self.schedule(after, SimEvent::InjectFault);
    }
}
