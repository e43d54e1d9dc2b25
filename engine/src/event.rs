//! Event stream for observers of an engine.

use crate::call::Reply;
use crate::endpoint_list::{EndpointList, Health};
use crate::transport::Transport;
use crate::view::EngineView;
use flaxhead_policy::{Action, CallId, ClassId, Event, Outcome, ServerId};

/// Step in the handling of a call, an attempt or an endpoint list, or of a policy event.
pub enum EngineEvent<'a, T: Transport> {
    /// Submission of a call, before the policy receives it.
    CallReceived {
        /// Number by which the policy identifies the call.
        call: CallId,
        /// Index of the class in the settings of the policy.
        class: ClassId,
        /// Request as the front end passed it.
        request: &'a T::Request,
    },
    /// Receipt of an endpoint list, before the policy receives it.
    ListReceived {
        /// Full list, or the hosts that changed.
        list: &'a EndpointList,
        /// Server numbers of the list's hosts, in the same order.
        servers: &'a [ServerId],
    },
    /// Change of a host's health by a list.
    HealthChanged {
        /// Name from the endpoint list.
        host: &'a str,
        /// Number by which the policy identifies the host.
        server: ServerId,
        /// Health after the change.
        health: Health,
    },
    /// Input of the policy, before the policy handles it.
    PolicyInput(&'a Event),
    /// Action that the policy requested, before the engine executes it.
    PolicyAction(&'a Action),
    /// End of a step: all actions that the policy requested for one event are executed.
    PolicyStepEnded,
    /// End of an attempt that was not cancelled or withdrawn, at a host that is still listed.
    AttemptEnded {
        /// Number by which the policy identifies the attempt's host.
        server: ServerId,
        /// Outcome, which the policy receives next.
        outcome: Outcome,
    },
    /// Delivery of the final result of a call to its client.
    CallCompleted {
        /// Number by which the policy identifies the call.
        call: CallId,
        /// Result for the client.
        reply: &'a Reply<T::Response>,
    },
}

/// Observer of an engine, called on the engine's thread. It must not block.
pub trait Observer<T: Transport> {
    /// Handles an event; `view` shows the engine at the time of the event.
    fn observe(&mut self, event: &EngineEvent<'_, T>, view: &EngineView<'_, T>);
}
