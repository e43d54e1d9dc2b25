//! What features observe of an engine: a stream of events, each with a view of the engine at that moment.

use crate::call::Reply;
use crate::endpoint_list::{EndpointList, Health};
use crate::transport::Transport;
use crate::view::EngineView;
use flaxhead_policy::{Action, CallId, ClassId, Event, Outcome, ServerId};

/// Something that happened in an engine.
pub enum EngineEvent<'a, T: Transport> {
    /// A call has come in; the decision module is given it next.
    CallReceived {
        /// The call's number.
        call: CallId,
        /// The call's class.
        class: ClassId,
        /// The request as the front passed it.
        request: &'a T::Request,
    },
    /// An endpoint list has come; the module is given it next.
    ListReceived {
        /// The list.
        list: &'a EndpointList,
        /// The numbers of its hosts, in its order.
        servers: &'a [ServerId],
    },
    /// A list has changed the health of a host.
    HealthChanged {
        /// The host's name.
        host: &'a str,
        /// The host's number.
        server: ServerId,
        /// Its health from now on.
        health: Health,
    },
    /// The module is given this event, and replies next.
    PolicyInput(&'a Event),
    /// The module replied with this action.
    PolicyAction(&'a Action),
    /// The module has given all actions of one event, and all of them are executed.
    PolicyStepEnded,
    /// An attempt at a listed host has ended.
    AttemptEnded {
        /// The host's number.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// A call has its final response.
    CallCompleted {
        /// The call's number.
        call: CallId,
        /// The response.
        reply: &'a Reply<T::Response>,
    },
}

/// Observes an engine. It is called on the engine's thread and must not block.
pub trait Observer<T: Transport> {
    /// Receives an event, with the engine as it is at that moment.
    fn observe(&mut self, event: &EngineEvent<'_, T>, view: &EngineView<'_, T>);
}
