//! Read access to the state of an engine, for observers and status pages.

use crate::call::Call;
use crate::endpoint_list::Health;
use crate::endpoint_state::EndpointState;
use crate::transport::Transport;
use flaxhead_policy::{Balancer, CallId, ClassId, Micros, ServerId, Settings};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// State of an engine that observers and status pages can read.
pub struct EngineView<'a, T: Transport> {
    pub(crate) now: Micros,
    pub(crate) uptime: Duration,
    pub(crate) settings: &'a Settings,
    pub(crate) balancer: &'a Balancer,
    pub(crate) server_ids: &'a HashMap<String, ServerId>,
    pub(crate) hosts: &'a HashMap<ServerId, EndpointState>,
    pub(crate) calls: &'a BTreeMap<CallId, Call<T>>,
}

/// Name, number, address and health of a listed host.
#[derive(Clone, Copy, Debug)]
pub struct HostView<'a> {
    /// Name from the endpoint list.
    pub name: &'a str,
    /// Number by which the policy identifies the host.
    pub server: ServerId,
    /// Address at which the host accepts connections.
    pub address: SocketAddr,
    /// Health according to the list.
    pub health: Health,
}

/// Class and request of a call whose client is waiting, or that still has attempts in flight.
pub struct CallView<'a, T: Transport> {
    /// Number by which the policy identifies the call.
    pub call: CallId,
    /// Index of the class in the settings of the policy.
    pub class: ClassId,
    /// Request as the front end passed it.
    pub request: &'a T::Request,
    /// True while the client is waiting for the response; false if only attempts are still in flight.
    pub is_pending: bool,
}

impl<'a, T: Transport> EngineView<'a, T> {
    /// Returns the time of the view on the engine's clock, which is Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the time since the engine was started, for status pages.
    pub fn uptime(&self) -> Duration {
        self.uptime
    }

    /// Returns the settings that the policy was started with.
    pub fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// Returns the policy, whose state can be read.
    pub fn balancer(&self) -> &'a Balancer {
        self.balancer
    }

    /// Returns the listed hosts, in no particular order.
    pub fn hosts(&self) -> impl Iterator<Item = HostView<'a>> + use<'a, T> {
        let hosts = self.hosts;
        self.server_ids.iter().filter_map(move |(name, &server)| {
            let host = hosts.get(&server)?;
            Some(HostView { name, server, address: host.address, health: host.health })
        })
    }

    /// Returns the number of attempts in flight by the name of their host.
    pub fn attempts_by_host(&self) -> BTreeMap<&'a str, u32> {
        let names: HashMap<ServerId, &'a str> =
            self.server_ids.iter().map(|(name, &server)| (server, name.as_str())).collect();
        let mut by_host = BTreeMap::new();
        for attempt in self.calls.values().flat_map(|call| call.attempts.iter().flatten()) {
            if let Some(name) = names.get(&attempt.server) {
                *by_host.entry(*name).or_default() += 1;
            }
        }
        by_host
    }

    /// Returns the calls in flight, ordered by number.
    pub fn calls(&self) -> impl Iterator<Item = CallView<'a, T>> + use<'a, T> {
        self.calls.iter().map(|(&id, call)| CallView {
            call: id,
            class: call.class,
            request: &*call.request,
            is_pending: call.is_pending(),
        })
    }
}
