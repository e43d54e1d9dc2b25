//! Driver of the lease machines ([`flaxhead_lease::Machine`]) of a process.
//!
//! A [`Coordinator`] drives one machine, and so one application. It runs the timers, sends and receives the
//! messages within the size limits of the application, supplies the membership data, and stores the state on
//! disk. All decisions are the machine's. It uses the sockets of [`flaxhead_peers`], on its own [`Channel`],
//! and runs on the thread that starts it. The coordinators of a process share only the sockets.

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
