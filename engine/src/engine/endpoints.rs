//! Watching and applying the endpoint list, and excluding hosts regardless of the list.

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

/// Delay before the engine reopens a watch that ended, if the policy does not subscribe to the list itself.
const PUSH_RETRY_DELAY: Duration = Duration::from_secs(1);

impl<T: Transport> Engine<T> {
    /// Replaces the list source, and watches the new one from the current version of the list on.
    pub fn set_list_source(&self, source: Rc<dyn ListSource>) {
        let mut inner = self.0.borrow_mut();
        inner.source = source;
        inner.subscribe(self);
    }

    /// Applies a list, and withdraws unwritten attempts at hosts that are then not available. `cached` is
    /// true for the list that the engine was started with.
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
        // The policy must receive the list before the outcomes of attempts that the list withdraws.
        inner.events.push_back(Event::Members { kind, entries });
        inner.withdraw_unavailable();
        inner.remove_unlisted();
        if let Some(before) = before {
            inner.notify_health_changes(&before);
        }
        drop(inner);
        self.run([]);
    }

    /// Replaces the set of excluded hosts; each is excluded from the given time on. No new attempts are sent
    /// to an excluded host, even if it is listed as ready. Written attempts continue, unwritten ones are
    /// withdrawn.
    pub fn set_excluded_hosts(&self, hosts: impl IntoIterator<Item = (String, Instant)>) {
        let mut inner = self.0.borrow_mut();
        inner.excluded = hosts.into_iter().collect();
        let Inner { server_ids, hosts, excluded, .. } = &mut *inner;
        for (name, server) in server_ids.iter() {
            if let Some(host) = hosts.get(server) {
                host.cutoff.set(excluded.get(name).copied());
            }
        }
        // An exclusion that starts later changes the host's availability at that time.
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

    /// Reports hosts to the policy whose availability has changed without a new list.
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
    /// Opens a watch of the list, and ends the previous one.
    pub(super) fn subscribe(&mut self, engine: &Engine<T>) {
        let list_is_pushed = !self.settings.subscribe;
        let engine = engine.clone();
        let receiver = engine.clone();
        let handler = Box::new(move |list| receiver.apply_list(&list, false));
        let watch = self.source.watch(self.list_seq, handler);
        // Replacing the task aborts the previous watch.
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

    /// Updates the state of each host in a list. Returns the list's entries for the policy.
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

    /// Removes the state of hosts that are no longer listed.
    fn remove_unlisted(&mut self) {
        let Inner { server_ids, hosts, transport, excluded, .. } = self;
        for (&server, _) in hosts.iter().filter(|(_, host)| host.health == Health::Gone) {
            transport.remove_endpoint(server);
        }
        hosts.retain(|_, host| host.health != Health::Gone);
        // The name of an excluded host is kept even if the host is not listed, because `attempts_by_host`
        // counts its remaining attempts by name.
        server_ids.retain(|name, server| hosts.contains_key(server) || excluded.contains_key(name));
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
        self.server_ids.iter().filter_map(listed).collect()
    }

    /// Records the address, start time and health of a host. Returns its server number. If the address or the
    /// start time has changed, idle connections to the host are closed.
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

    /// Returns the server number of a host, and assigns one to a new host. Numbers are hashes of names, so
    /// that they are the same at every proxy: the policy assigns servers to proxies by the order of the
    /// numbers.
    fn server_id(&mut self, endpoint: &Endpoint) -> ServerId {
        let hosts = &self.hosts;
        *self.server_ids.entry(endpoint.host.clone()).or_insert_with(|| {
            let mut server = flaxhead_settings::server_id(&endpoint.host);
            // On a hash collision the later host takes the next free number.
            while hosts.contains_key(&server) {
                server.0 = server.0.wrapping_add(1);
            }
            // The policy's log lines identify servers by number only.
            tracing::info!("server {} is host {} at {}", server.0, endpoint.host, endpoint.dial);
            server
        })
    }

    /// Records the list's entry of a host. Returns the entry for the policy, which shows an excluded host as
    /// draining.
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

    /// Withdraws unwritten attempts at hosts that are not available, and closes idle connections to these
    /// hosts. A request counts as sent when it is written, not when the policy decides to send it.
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

/// Converts an endpoint to the policy's entry.
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
