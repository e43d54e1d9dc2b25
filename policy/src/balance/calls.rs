//! The life of a call: taken, sent, ended, forgotten; where it may go, and whether it may be refused.

use super::balancer::*;

/// From when on a guarded call may not go again.
fn window_end(first: &Attempt, window: Micros, clock_tick: Micros) -> Micros {
    first.sent.saturating_add(window).saturating_sub(clock_tick)
}

impl Call {
    pub(super) fn aim_at(&self) -> Micros {
        let objective = if self.class.late_ratio > 0.0 { self.class.deadline } else { self.class.objective };
        self.deadline.min(self.arrived.saturating_add(objective))
    }

    /// May this call go again, here? Proof over all its attempts decides, never the last outcome alone.
    pub(super) fn may_go(&self, now: Micros, server: &Server, clock_tick: Micros) -> bool {
        match (self.binding(), self.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(_), Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::Keyed { scope, window }) => {
                let inside = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => first.zone == server.zone,
                    DedupScope::Cell => first.cell == server.cell,
                };
                inside && now < window_end(first, window, clock_tick)
            }
        }
    }

    /// When an attempt has to be on its way: its connection may come up after the window it was decided in.
    fn send_by(&self, clock_tick: Micros) -> Option<Micros> {
        match (self.binding(), self.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => Some(window_end(first, window, clock_tick)),
            _ => None,
        }
    }

    pub(super) fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        harmless || self.binding().is_none()
    }
}

impl Balancer {
    pub(super) fn request(&mut self, now: Micros, id: CallId, class: ClassId, left: Micros) {
        // A class that the settings do not name is unsafe and wanted while the client waits.
        let unknown = Class { objective: left, deadline: left, ..Class::default() };
        let spec = self.settings.classes.get(class.0).copied().unwrap_or(unknown);
        let deadline = now.saturating_add(left);
        let (class, class_id, arrived) = (spec, class.0, now);
        self.calls.insert(id, Call { class, class_id, arrived, deadline, ..Call::default() });
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        self.paces.iter_mut().skip(class_id).take(1).for_each(|p| p.asked += 1.0);
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    pub(super) fn outcome(&mut self, id: CallId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let call = self.calls.get_mut(&id)?;
        let tried = call.attempts.get_mut(attempt as usize).filter(|a| a.outcome.is_none())?;
        tried.outcome = Some(outcome);
        Some(*tried)
    }

    pub(super) fn send(&mut self, now: Micros, id: CallId, at: usize, trial: Trial, actions: &mut Actions) {
        let server = &mut self.servers[at];
        server.turns = (server.turns - 1.0).max(0.0);
        self.sends += 1;
        server.in_flight += 1;
        server.budget.trial_out |= trial == Trial::Server;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let &mut Server { id: server, started_at, zone, cell, .. } = server;
        let (class_id, sent, outcome) = (call.class_id, now, None);
        let send_by = call.send_by(self.settings.clock_tick);
        call.attempts.push(Attempt { server, started_at, zone, cell, class_id, sent, trial, outcome });
        let copies = call.attempts.len();
        // An answer after the aim is worth little: its server is better used by others.
        let (objective, arrived) = (call.aim_at(), call.arrived);
        let (call_deadline, usual) = (call.deadline, self.usual(class_id, self.calls[&id].class.objective));
        let deadline =
            (objective < call_deadline && objective as f64 > now as f64 + usual).then_some(objective);
        actions.push(Action::Send { call: id, server, deadline, send_by });
        // The latest moment at which a second copy can still be in time, but not before the first is slow.
        let copy_at = (objective as f64 - SPARE_TIMES * usual).max(arrived as f64 + 1.5 * usual);
        // A thin balancer can tell no stalled server from a long call: the copy would only add to the work.
        let copies = copies == 1 && self.settings.limits.hedging && self.thin.is_none();
        let copy = copies && copy_at + usual <= objective as f64;
        self.set_wake(id, if copy { (copy_at as Micros).max(now + 1) } else { 0 });
    }

    pub(super) fn give_up(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let retry_after = retry_after.min(self.settings.limits.max_retry_after);
        let refused = self.calls[&id].may_be_refused();
        actions.push(if refused {
            Action::Reject { call: id, retry_after }
        } else {
            Action::Fail { call: id }
        });
        self.end(id);
        self.cancel_others(id, None, actions);
        self.forget(id);
    }

    pub(super) fn end(&mut self, id: CallId) {
        self.set_wake(id, 0);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.ended = true;
        if std::mem::take(&mut call.queued) {
            if let Some(index) = self.queue.iter().position(|&queued| queued == id) {
                self.queue.remove(index);
            }
        }
    }

    pub(super) fn cancel_others(&mut self, id: CallId, but: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        let out = (0..).zip(&call.attempts).filter(|(n, a)| a.outcome.is_none() && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    pub(super) fn forget(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.out() == 0) {
            self.calls.remove(&id);
        }
    }

    pub(super) fn set_wake(&mut self, id: CallId, at: Micros) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.wake != 0 {
            self.wakes.remove(&(call.wake, id));
        }
        call.wake = at;
        if at != 0 {
            self.wakes.insert((at, id));
        }
    }
}
