//! A read-only view of an engine.

use crate::call::Call;
use crate::endpoint_list::Health;
use crate::endpoint_state::EndpointState;
use crate::transport::Transport;
use flaxhead_policy::{Balancer, CallId, ClassId, Micros, ServerId, Settings};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// An engine as it is now.
pub struct EngineView<'a, T: Transport> {
    pub(crate) now: Micros,
    pub(crate) uptime: Duration,
    pub(crate) settings: &'a Settings,
    pub(crate) balancer: &'a Balancer,
    pub(crate) names: &'a HashMap<String, ServerId>,
    pub(crate) hosts: &'a HashMap<ServerId, EndpointState>,
    pub(crate) calls: &'a BTreeMap<CallId, Call<T>>,
}

/// A listed host.
#[derive(Clone, Copy, Debug)]
pub struct HostView<'a> {
    /// The host's name.
    pub name: &'a str,
    /// The host's number.
    pub server: ServerId,
    /// The address where it listens.
    pub address: SocketAddr,
    /// Its health according to the list.
    pub health: Health,
}

/// A call in flight.
pub struct CallView<'a, T: Transport> {
    /// The call's number.
    pub call: CallId,
    /// The call's class.
    pub class: ClassId,
    /// The request as the front passed it.
    pub request: &'a T::Request,
    /// Whether it still has no response; otherwise only attempts of it are left.
    pub is_pending: bool,
}

impl<'a, T: Transport> EngineView<'a, T> {
    /// The engine's clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The time since the engine's start.
    pub fn uptime(&self) -> Duration {
        self.uptime
    }

    /// The settings that the decision module was started with.
    pub fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// The decision module.
    pub fn balancer(&self) -> &'a Balancer {
        self.balancer
    }

    /// The listed hosts, in no order.
    pub fn hosts(&self) -> impl Iterator<Item = HostView<'a>> + use<'a, T> {
        let hosts = self.hosts;
        self.names.iter().filter_map(move |(name, &server)| {
            let host = hosts.get(&server)?;
            Some(HostView { name, server, address: host.address, health: host.health })
        })
    }

    /// The number of attempts in flight, by the name of their host.
    pub fn attempts_by_host(&self) -> BTreeMap<&'a str, u32> {
        let names: HashMap<ServerId, &'a str> =
            self.names.iter().map(|(name, &server)| (server, name.as_str())).collect();
        let mut by_host = BTreeMap::new();
        for attempt in self.calls.values().flat_map(|call| call.attempts.iter().flatten()) {
            if let Some(name) = names.get(&attempt.server) {
                *by_host.entry(*name).or_default() += 1;
            }
        }
        by_host
    }

    /// The calls in flight, by number.
    pub fn calls(&self) -> impl Iterator<Item = CallView<'a, T>> + use<'a, T> {
        self.calls.iter().map(|(&id, call)| CallView {
            call: id,
            class: call.class,
            request: &*call.request,
            is_pending: call.is_pending(),
        })
    }
}
