//! The list of hosts: where it comes from, what it undoes, and which hosts are left alone whatever it says.

use crate::list::{switches, Health, Healths, Host, List};
use crate::observe::Note;
use crate::source::Source;
use crate::task::spawn;
use crate::transport::Transport;
use flaxhead_policy::{CellId, Entry, Event, ListKind, ServerId, State};
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use super::{Engine, Inner, Seat, PUSH_RETRY};

impl<T: Transport> Engine<T> {
    /// Watches the list at this source from now on, from the version in hand.
    pub fn watch_at(&self, source: Rc<dyn Source>) {
        let mut inner = self.0.borrow_mut();
        inner.source = source;
        inner.subscribe(self);
    }

    /// Takes a list in: hosts that it does not name ready get nothing more that is not yet on its way.
    pub(super) fn members(&self, list: List, cached: bool) {
        let mut inner = self.0.borrow_mut();
        let before = (!inner.observers.is_empty()).then(|| inner.healths());
        inner.listed |= !cached || !list.hosts.is_empty();
        inner.seq = Some(list.seq);
        let kind = match list.whole {
            _ if cached => ListKind::Cached,
            true => ListKind::Full,
            false => ListKind::Delta,
        };
        if kind != ListKind::Delta {
            inner.hosts.values_mut().for_each(|host| host.health = Health::Gone);
        }
        let mut entries = Vec::with_capacity(list.hosts.len());
        for entry in &list.hosts {
            let server = inner.intern(entry);
            let state = match entry.health {
                Health::Ready => State::Ready,
                Health::Terminating => State::Draining,
                Health::Gone => State::Gone,
            };
            let (zone, cell) = (flaxhead_settings::zone(&entry.site), CellId(entry.block));
            let started = entry.born_ms.saturating_mul(1_000);
            let model = flaxhead_settings::model(&entry.class);
            let told = Entry { server, state, zone, model, cell, started, weight: entry.share };
            entries.push(inner.seat(&entry.host, told));
        }
        if !inner.observers.is_empty() {
            let servers: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
            inner.note(|| Note::Listed { list: &list, servers: &servers });
        }
        // The module hears of the list before it hears of what the list undoes.
        inner.events.push_back(Event::Members { kind, entries });
        inner.withdraw();
        let Inner { names, hosts, transport, spared, .. } = &mut *inner;
        for (&server, _) in hosts.iter().filter(|(_, host)| host.health == Health::Gone) {
            transport.forget(server);
        }
        hosts.retain(|_, host| host.health != Health::Gone);
        // What still runs at a host that is left alone is counted by its name.
        names.retain(|name, server| hosts.contains_key(server) || spared.contains_key(name));
        if let Some(before) = before {
            for (host, server, health) in switches(&before, &inner.healths()) {
                inner.note(|| Note::Switched { host: &host, server, health });
            }
        }
        drop(inner);
        self.run([]);
    }

    /// From now on leaves these hosts alone, each from its moment on, and no others: nothing new goes there, and what
    /// runs there ends by itself. The list still binds above it.
    pub fn spare(&self, hosts: impl IntoIterator<Item = (String, Instant)>) {
        let mut inner = self.0.borrow_mut();
        inner.spared = hosts.into_iter().collect();
        let Inner { names, hosts, spared, .. } = &mut *inner;
        for (name, server) in names.iter() {
            if let Some(seat) = hosts.get(server) {
                seat.leave.set(spared.get(name).copied());
            }
        }
        // A moment that comes later is a change of its own.
        let now = Instant::now();
        let next = spared.values().filter(|from| **from > now).min().copied();
        drop(inner);
        self.reseat();
        if let Some(next) = next {
            let engine = self.clone();
            spawn_local(async move {
                sleep_until(next).await;
                engine.reseat();
            });
        }
    }

    /// Tells the module of hosts that take calls by now, or no longer, though the list is the same.
    pub(super) fn reseat(&self) {
        let mut inner = self.0.borrow_mut();
        let mut entries = Vec::new();
        for seat in inner.hosts.values_mut().filter(|seat| seat.health == Health::Ready) {
            let ready = seat.is_open();
            if std::mem::replace(&mut seat.announced_ready, ready) != ready {
                let state = if ready { State::Ready } else { State::Draining };
                entries.push(Entry { state, ..seat.entry });
            }
        }
        if entries.is_empty() {
            return;
        }
        entries.sort_by_key(|entry| entry.server);
        inner.events.push_back(Event::Members { kind: ListKind::Delta, entries });
        inner.withdraw();
        drop(inner);
        self.run([]);
    }
}

impl<T: Transport> Inner<T> {
    pub(super) fn subscribe(&mut self, engine: &Engine<T>) {
        let (engine, pushed) = (engine.clone(), !self.settings.ask);
        let news = engine.clone();
        let watch = self.source.watch(self.seq, Box::new(move |list| news.members(list, false)));
        // The task of the last watch, if there is one, ends here.
        self.watch = Some(spawn(async move {
            let reason = watch.await;
            tracing::info!("discovery: {reason}");
            engine.run([Event::Members { kind: ListKind::Failed, entries: Vec::new() }]);
            if pushed {
                sleep(PUSH_RETRY).await;
                engine.0.borrow_mut().subscribe(&engine);
            }
        }));
    }

    /// What the list says of each host.
    pub(super) fn healths(&self) -> Healths {
        let health =
            |(name, &server): (&String, _)| Some((name.clone(), (server, self.hosts.get(&server)?.health)));
        self.names.iter().filter_map(health).collect()
    }

    /// The number of a host, the same at every proxy: the module spreads proxies over servers by the order of their
    /// numbers, and in the order of their arrival the new ones would all stand together. What is idle there is of no
    /// use once it moves or starts again.
    fn intern(&mut self, entry: &Host) -> ServerId {
        let hosts = &self.hosts;
        let server = *self.names.entry(entry.host.clone()).or_insert_with(|| {
            let mut server = flaxhead_settings::server(&entry.host);
            // Two names that share a number are one in millions; the later one takes the next.
            while hosts.contains_key(&server) {
                server.0 = server.0.wrapping_add(1);
            }
            // The module's lines name servers by number alone.
            tracing::info!("server {} is {} at {}", server.0, entry.host, entry.dial);
            server
        });
        let Host { dial, born_ms, health, .. } = *entry;
        let (entry, announced_ready, leave) = Default::default();
        let seat =
            self.hosts.entry(server).or_insert(Seat { dial, born_ms, health, entry, announced_ready, leave });
        let restarted = (seat.dial, seat.born_ms) != (dial, born_ms);
        (seat.dial, seat.born_ms, seat.health) = (dial, born_ms, health);
        if restarted {
            self.transport.host(server, Some(dial), true);
        }
        server
    }

    /// What the module is told of a host: what the list says, unless it is left alone.
    fn seat(&mut self, name: &str, mut entry: Entry) -> Entry {
        let Inner { hosts, spared, .. } = self;
        if let Some(seat) = hosts.get_mut(&entry.server) {
            seat.entry = entry;
            seat.leave.set(spared.get(name).copied());
            seat.announced_ready = seat.is_open();
            if entry.state == State::Ready && !seat.announced_ready {
                entry.state = State::Draining;
            }
        }
        entry
    }

    /// Takes back what is not yet written to hosts that are not ready, or no longer there, and closes what is
    /// idle: a send counts when it is written, not when it was decided.
    pub(super) fn withdraw(&mut self) {
        let Inner { calls, hosts, events, transport, .. } = self;
        for (&server, host) in hosts.iter() {
            transport.host(server, host.is_open().then_some(host.dial), false);
        }
        for (&id, call) in calls {
            call.withdraw(id, events, |out| !hosts.get(&out.server).is_some_and(|h| h.takes(out.address)));
        }
    }
}
