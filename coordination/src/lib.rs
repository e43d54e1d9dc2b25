//! Driver of a [`flaxhead_lease::Machine`].
//!
//! The driver owns the timers, encodes messages within the size limits of the application, collects the
//! membership data, and leaves every decision to the machine. It runs on the sockets of [`flaxhead_peers`],
//! on its own [`Channel`], and on the thread that starts it. A process that runs several applications has one
//! coordinator for each of them; they share only the sockets.

mod codec;
mod coordinator;
mod members;
mod participant;
mod store;

pub use codec::CodecError;
pub use coordinator::{Coordinator, Settings};
pub use flaxhead_peers::Channel;
pub use participant::{Clock, Participant};
pub use store::{OpenedStore, StateStore};
