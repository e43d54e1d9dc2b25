//! The plug-in: the proxy's choices inside an RPC library. A [`Plugin`] runs the engine on a thread of its own; a
//! [`Channel`] is what a tonic client takes as its channel, and a plain API, async and blocking, for all others.
//!
#![doc = include_str!("../../docs/rpc.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod channel;
mod front;
mod grpc;
mod http2;
mod plugin;
mod service;
mod slot;

pub use channel::{AnswerBody, Channel, Pending, PluginLayer, Request, ResponseFuture, Routed};
pub use flaxhead_engine::{Endpoint as Host, EndpointList as List, Health};
pub use grpc::{framed, Answer, Code, Pushback};
pub use plugin::{Hosts, Peering, Plugin, StartError};
pub use service::{Method, Problem, ServiceConfig};
