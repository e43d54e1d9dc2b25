//! Test driver of the balancer: feeds it events and records its actions.
#![allow(dead_code)]

use flaxhead_policy::*;

pub const MS: Micros = 1_000;

/// Proxy with one balancer; records the balancer's actions without executing them.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    next: u64,
}

/// Settings with one class: objective 500 ms, deadline 1.2 s.
pub fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        objective: 500 * MS,
        deadline: 1_200 * MS,
        priority_weight: 1.0,
        late_ratio: 0.0,
        idempotency,
    };
    Settings {
        classes: vec![class],
        balancer_count: 7,
        limits: Limits { max_attempts: 5, ..Settings::default().limits },
        ..Settings::default()
    }
}

pub fn ready(server: u32) -> Entry {
    Entry { server: ServerId(server), state: State::Ready, ..Entry::default() }
}

impl Proxy {
    /// Creates a started proxy with `servers` ready servers, numbered from 1 and fully warm.
    pub fn new(settings: Settings, servers: u32) -> Proxy {
        Proxy::seeded(7, settings, servers)
    }

    /// As [`Proxy::new`], with `seed` for the balancer's random numbers.
    pub fn seeded(seed: u64, settings: Settings, servers: u32) -> Proxy {
        let mut proxy =
            Proxy { balancer: Balancer::new(seed, settings), now: 1_000_000, actions: Vec::new(), next: 0 };
        proxy.handle_event(Event::Start);
        proxy.update_list(ListKind::Full, (1..=servers).map(ready).collect());
        proxy
    }

    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn update_list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.handle_event(Event::Members { kind, entries })
    }

    pub fn call_of_class(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.next += 1;
        let call = CallId(self.next);
        let class = ClassId(class);
        let event = Event::Request { call, class, tenant: None, time_left: 1_200 * MS, resent: false };
        (call, self.handle_event(event))
    }

    pub fn call(&mut self) -> (CallId, Vec<Action>) {
        self.call_of_class(0)
    }

    pub fn end_attempt(
        &mut self,
        call: CallId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let complete = outcome == Outcome::Served;
        self.handle_event(Event::Outcome {
            call,
            attempt,
            outcome,
            elapsed,
            complete,
            load: LoadReport::default(),
        })
    }

    /// Adds a call and has it served after `elapsed`; returns the server, or `None` if the call was not sent.
    pub fn serve(&mut self, elapsed: Micros) -> Option<ServerId> {
        let (call, actions) = self.call();
        let server = sent(&actions).first().map(|s| s.1);
        self.now += elapsed;
        self.end_attempt(call, 0, Outcome::Served, elapsed);
        server
    }

    /// Adds a call whose attempts each end after `elapsed`, with the outcome that `end_at` gives for their
    /// server.
    pub fn run_call(&mut self, elapsed: Micros, mut end_at: impl FnMut(ServerId) -> Outcome) {
        let (call, mut actions) = self.call();
        self.now += elapsed;
        for attempt in 0.. {
            let Some(&(_, server)) = sent(&actions).iter().find(|s| s.0 == call) else { return };
            actions = self.end_attempt(call, attempt, end_at(server), elapsed);
        }
    }

    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        self.now += duration;
        self.handle_event(Event::Timer)
    }
}

pub fn sent(actions: &[Action]) -> Vec<(CallId, ServerId)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { call, server, .. } => Some((*call, *server)),
            _ => None,
        })
        .collect()
}

pub fn rejected(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { call, .. } if *call == id))
}

pub fn failed(actions: &[Action], id: CallId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { call } if *call == id))
}
