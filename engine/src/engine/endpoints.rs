//! The endpoint list: where it comes from, what it withdraws, and which hosts are excluded whatever it says.

use super::{Engine, Inner};
use crate::endpoint_list::{health_changes, Endpoint, EndpointList, Health, HealthByHost, ListedHealth};
use crate::endpoint_state::EndpointState;
use crate::event::EngineEvent;
use crate::list_source::ListSource;
use crate::send_cutoff::SendCutoff;
use crate::task::spawn;
use crate::transport::Transport;
use flaxhead_policy::{CellId, Entry, Event, ListKind, ServerId, State};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// Where the list is pushed the module never asks for it: a watch that ended is opened again after this.
const PUSH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl<T: Transport> Engine<T> {
    /// Watches the list at this source from now on, from the version in hand.
    pub fn set_list_source(&self, source: Rc<dyn ListSource>) {
        let mut inner = self.0.borrow_mut();
        inner.source = source;
        inner.subscribe(self);
    }

    /// Applies a list: what is not yet written to hosts that it does not name ready is withdrawn. `cached`: it is the one
    /// that the engine was started with.
    pub(super) fn apply_list(&self, list: &EndpointList, cached: bool) {
        let mut inner = self.0.borrow_mut();
        let before = (!inner.observers.is_empty()).then(|| inner.health_by_host());
        inner.has_list |= !cached || !list.hosts.is_empty();
        inner.list_seq = Some(list.seq);
        let kind = match list.whole {
            _ if cached => ListKind::Cached,
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        let entries = inner.update_endpoints(list, kind);
        if !inner.observers.is_empty() {
            let servers: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
            inner.notify(|| EngineEvent::ListReceived { list, servers: &servers });
        }
        // The module hears of the list before it hears of what the list withdraws.
        inner.events.push_back(Event::Members { kind, entries });
        inner.withdraw_unavailable();
        inner.remove_unlisted();
        if let Some(before) = before {
            inner.notify_health_changes(&before);
        }
        drop(inner);
        self.run([]);
    }

    /// Excludes these hosts, each from its moment on, and no others: nothing new is sent there, and what runs there ends
    /// by itself. The list still applies to all others.
    pub fn set_excluded_hosts(&self, hosts: impl IntoIterator<Item = (String, Instant)>) {
        let mut inner = self.0.borrow_mut();
        inner.excluded = hosts.into_iter().collect();
        let Inner { names, hosts, excluded, .. } = &mut *inner;
        for (name, server) in names.iter() {
            if let Some(host) = hosts.get(server) {
                host.cutoff.set(excluded.get(name).copied());
            }
        }
        // A moment that comes later is a change of its own.
        let now = Instant::now();
        let next = excluded.values().filter(|from| **from > now).min().copied();
        drop(inner);
        self.refresh_availability();
        if let Some(next) = next {
            let engine = self.clone();
            spawn_local(async move {
                sleep_until(next).await;
                engine.refresh_availability();
            });
        }
    }

    /// Tells the module of hosts that take calls by now, or no longer, though the list is the same.
    fn refresh_availability(&self) {
        let mut inner = self.0.borrow_mut();
        let mut entries = Vec::new();
        for host in inner.hosts.values_mut().filter(|host| host.health == Health::Ready) {
            let ready = host.is_available();
            if std::mem::replace(&mut host.announced_ready, ready) != ready {
                let state = if ready { State::Ready } else { State::Draining };
                entries.push(Entry { state, ..host.entry });
            }
        }
        if entries.is_empty() {
            return;
        }
        entries.sort_by_key(|entry| entry.server);
        inner.events.push_back(Event::Members { kind: ListKind::Delta, entries });
        inner.withdraw_unavailable();
        drop(inner);
        self.run([]);
    }
}

impl<T: Transport> Inner<T> {
    /// Opens a watch in place of the last one.
    pub(super) fn subscribe(&mut self, engine: &Engine<T>) {
        let list_is_pushed = !self.settings.subscribe;
        let engine = engine.clone();
        let receiver = engine.clone();
        let handler = Box::new(move |list| receiver.apply_list(&list, false));
        let watch = self.source.watch(self.list_seq, handler);
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(spawn(async move {
            let reason = watch.await;
            tracing::info!("discovery: {reason}");
            engine.run([Event::Members { kind: ListKind::Failed, entries: Vec::new() }]);
            if list_is_pushed {
                sleep(PUSH_RETRY_DELAY).await;
                engine.0.borrow_mut().subscribe(&engine);
            }
        }));
    }

    /// Takes in what a list says of each host. Returns the same for the module.
    fn update_endpoints(&mut self, list: &EndpointList, kind: ListKind) -> Vec<Entry> {
        if kind != ListKind::Delta {
            self.hosts.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for endpoint in &list.hosts {
            let server = self.register(endpoint);
            let entry = policy_entry(server, endpoint);
            entries.push(self.record_entry(&endpoint.host, entry));
        }
        entries
    }

    /// Forgets the hosts that are gone.
    fn remove_unlisted(&mut self) {
        let Inner { names, hosts, transport, excluded, .. } = self;
        for (&server, _) in hosts.iter().filter(|(_, host)| host.health == Health::Gone) {
            transport.remove_endpoint(server);
        }
        hosts.retain(|_, host| host.health != Health::Gone);
        // What still runs at a host that is excluded is counted by its name.
        names.retain(|name, server| hosts.contains_key(server) || excluded.contains_key(name));
    }

    fn notify_health_changes(&mut self, before: &HealthByHost) {
        for change in health_changes(before, &self.health_by_host()) {
            let (server, health) = (change.server, change.health);
            self.notify(|| EngineEvent::HealthChanged { host: &change.host, server, health });
        }
    }

    fn health_by_host(&self) -> HealthByHost {
        let listed = |(name, &server): (&String, _)| {
            let health = self.hosts.get(&server)?.health;
            Some((name.clone(), ListedHealth { server, health }))
        };
        self.names.iter().filter_map(listed).collect()
    }

    /// Records a host's address, start and health. Returns its number, the same at every proxy: the module spreads proxies
    /// over servers by the order of their numbers, and in the order of their arrival the new ones would all stand together.
    /// Idle connections to it are of no use once it moves or starts again.
    fn register(&mut self, endpoint: &Endpoint) -> ServerId {
        let server = self.server_id(endpoint);
        let Endpoint { dial: address, born_ms: started_ms, health, .. } = *endpoint;
        let host = self.hosts.entry(server).or_insert_with(|| EndpointState {
            address,
            started_ms,
            health,
            entry: Entry::default(),
            announced_ready: false,
            cutoff: SendCutoff::default(),
        });
        let restarted = (host.address, host.started_ms) != (address, started_ms);
        host.address = address;
        host.started_ms = started_ms;
        host.health = health;
        if restarted {
            self.transport.set_endpoint(server, Some(address), true);
        }
        server
    }

    fn server_id(&mut self, endpoint: &Endpoint) -> ServerId {
        let hosts = &self.hosts;
        *self.names.entry(endpoint.host.clone()).or_insert_with(|| {
            let mut server = flaxhead_settings::server_id(&endpoint.host);
            // Two names that share a number are one in millions; the later one takes the next.
            while hosts.contains_key(&server) {
                server.0 = server.0.wrapping_add(1);
            }
            // The module's log lines name servers by number alone.
            tracing::info!("server {} is {} at {}", server.0, endpoint.host, endpoint.dial);
            server
        })
    }

    /// Keeps what the list says of a host. Returns what the module is given: the same, unless the host is excluded.
    fn record_entry(&mut self, name: &str, mut entry: Entry) -> Entry {
        let Inner { hosts, excluded, .. } = self;
        if let Some(host) = hosts.get_mut(&entry.server) {
            host.entry = entry;
            host.cutoff.set(excluded.get(name).copied());
            host.announced_ready = host.is_available();
            if entry.state == State::Ready && !host.announced_ready {
                entry.state = State::Draining;
            }
        }
        entry
    }

    /// Withdraws what is not yet written to hosts that are not available, or no longer listed, and closes idle connections
    /// to them: a request counts as sent when it is written, not when that was decided.
    fn withdraw_unavailable(&mut self) {
        let Inner { calls, hosts, events, transport, .. } = self;
        for (&server, host) in hosts.iter() {
            transport.set_endpoint(server, host.is_available().then_some(host.address), false);
        }
        for (&id, call) in calls {
            call.withdraw(id, events, |attempt| {
                !hosts.get(&attempt.server).is_some_and(|host| host.accepts_at(attempt.address))
            });
        }
    }
}

/// What the decision module is given of a listed host.
fn policy_entry(server: ServerId, endpoint: &Endpoint) -> Entry {
    let state = match endpoint.health {
        Health::Ready => State::Ready,
        Health::Terminating => State::Draining,
        Health::Gone => State::Removed,
    };
    Entry {
        server,
        state,
        zone: flaxhead_settings::zone_id(&endpoint.site),
        model: flaxhead_settings::model_id(&endpoint.class),
        cell: CellId(endpoint.block),
        started_at: endpoint.born_ms.saturating_mul(1_000),
        weight: endpoint.share,
    }
}
