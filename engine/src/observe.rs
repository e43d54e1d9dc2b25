//! What features see of an engine: one stream of notes, each with a view of the engine as it is then.

use crate::call::{Call, Reply};
use crate::engine::Seat;
use crate::list::{Health, List};
use crate::transport::Transport;
use flaxhead_policy::{Action, Balancer, CallId, ClassId, Event, Micros, Outcome, ServerId, Settings};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Something that happened.
pub enum Note<'a, T: Transport> {
    /// A call has come in; the module is fed it next.
    Asked {
        /// Its number.
        call: CallId,
        /// Its class.
        class: ClassId,
        /// What came.
        request: &'a T::Request,
    },
    /// A list has come; the module is fed it next.
    Listed {
        /// The list.
        list: &'a List,
        /// The numbers of its hosts, in its order.
        servers: &'a [ServerId],
    },
    /// After a list, what it says of a host has changed.
    Switched {
        /// Its name.
        host: &'a str,
        /// Its number.
        server: ServerId,
        /// What it says now.
        health: Health,
    },
    /// The module is fed this, and answers next.
    Fed(&'a Event),
    /// It said this.
    Did(&'a Action),
    /// It has said all, and all of it is carried out.
    Stepped,
    /// An attempt at a listed host has ended.
    Ended {
        /// The host.
        server: ServerId,
        /// How.
        outcome: Outcome,
    },
    /// A call has its final answer.
    Answered {
        /// Its number.
        call: CallId,
        /// The answer.
        reply: &'a Reply<T::Answer>,
    },
}

/// Watches an engine. It is called on the engine's thread and must not wait.
pub trait Observer<T: Transport> {
    /// Takes a note.
    fn observe(&mut self, note: &Note<'_, T>, view: &View<'_, T>);
}

/// An engine as it is now.
pub struct View<'a, T: Transport> {
    pub(crate) now: Micros,
    pub(crate) uptime: Duration,
    pub(crate) settings: &'a Settings,
    pub(crate) balancer: &'a Balancer,
    pub(crate) names: &'a HashMap<String, ServerId>,
    pub(crate) hosts: &'a HashMap<ServerId, Seat>,
    pub(crate) calls: &'a BTreeMap<CallId, Call<T>>,
}

/// A host, as a view shows it.
#[derive(Clone, Copy, Debug)]
pub struct HostView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its number.
    pub server: ServerId,
    /// Where it listens.
    pub dial: SocketAddr,
    /// What the list says of it.
    pub health: Health,
}

/// A call in hand, as a view shows it.
pub struct OpenCall<'a, T: Transport> {
    /// Its number.
    pub call: CallId,
    /// Its class.
    pub class: ClassId,
    /// What came.
    pub request: &'a T::Request,
    /// It has no answer yet.
    pub waits: bool,
}

impl<'a, T: Transport> View<'a, T> {
    /// The engine's clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Since the engine's start.
    pub fn uptime(&self) -> Duration {
        self.uptime
    }

    /// What the module was told at the start.
    pub fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// The module.
    pub fn balancer(&self) -> &'a Balancer {
        self.balancer
    }

    /// The hosts, in no order.
    pub fn hosts(&self) -> impl Iterator<Item = HostView<'a>> + use<'a, T> {
        let hosts = self.hosts;
        self.names.iter().filter_map(move |(name, &server)| {
            let seat = hosts.get(&server)?;
            Some(HostView { name, server, dial: seat.dial, health: seat.health })
        })
    }

    /// Attempts that are out, by the name of their host.
    pub fn out_at(&self) -> BTreeMap<&'a str, u32> {
        let mut out = BTreeMap::new();
        let names: HashMap<ServerId, &'a str> =
            self.names.iter().map(|(name, &server)| (server, name.as_str())).collect();
        for attempt in self.calls.values().flat_map(|call| call.attempts.iter().flatten()) {
            if let Some(name) = names.get(&attempt.server) {
                *out.entry(*name).or_default() += 1;
            }
        }
        out
    }

    /// The calls in hand, by number.
    pub fn calls(&self) -> impl Iterator<Item = OpenCall<'a, T>> + use<'a, T> {
        self.calls.iter().map(|(&call, of)| OpenCall {
            call,
            class: of.class,
            request: &*of.request,
            waits: of.waits(),
        })
    }
}
