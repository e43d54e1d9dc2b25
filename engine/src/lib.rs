//! The life of a call, independent of any protocol.
//!
//! A front passes calls with a payload of its own to the [`Engine`], a [`Transport`] carries their attempts to hosts, a
//! [`ListSource`] delivers the endpoint list, and [`Observer`]s follow a stream of [`EngineEvent`]s. The decision module
//! (`flaxhead_policy`) says what is done with a call: the engine turns whatever happens into the module's events, in one
//! order and on one clock, and executes its actions.
//!
//! An engine lives on one thread, inside a [`tokio::task::LocalSet`]. It knows no protocol and no feature.

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
