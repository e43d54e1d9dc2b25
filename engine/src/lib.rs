//! Protocol-independent call engine: executes the load balancing decisions of `flaxhead_policy`.
//!
//! A front end, which accepts calls from clients, submits each call to the [`Engine`] with a request of the
//! protocol's own type. A [`Transport`] sends the attempts of a call to hosts, a [`ListSource`] delivers the
//! endpoint list, and [`Observer`]s receive a stream of [`EngineEvent`]s. The policy
//! ([`flaxhead_policy::Balancer`]) makes all decisions: the engine passes it each event, in one order and on
//! one clock, and executes the actions it returns.
//!
//! A host is a backend; the endpoint list describes each host by an [`Endpoint`]. The policy calls a host a
//! server, and identifies it by its server number ([`flaxhead_policy::ServerId`]). A host is available if it
//! is listed as ready and not excluded ([`Engine::set_excluded_hosts`]).
//!
//! An attempt reaches its host once a byte of its request is written. Before that the engine can withdraw it,
//! which guarantees that the host does not run it; after that it can only be cancelled, and the host may have
//! run it.
//!
//! An engine runs on one thread, inside a [`tokio::task::LocalSet`].

mod call;
mod clock;
mod endpoint_list;
mod endpoint_state;
mod engine;
mod event;
mod list_source;
mod send_cutoff;
mod task;
mod transport;
mod view;

pub use call::{AttemptTrace, CallPermit, CallSpec, FinalResponse, Reply, RetryLimiter};
pub use endpoint_list::{Endpoint, EndpointList, Health};
pub use engine::{Engine, EngineConfig, PendingCall};
pub use event::{EngineEvent, Observer};
pub use list_source::{BoxError, ListHandler, ListSource, WatchFuture};
pub use task::{spawn, Task};
pub use transport::{AttemptResult, AttemptTarget, Transport, WriteMeter};
pub use view::{CallView, EngineView, HostView};
