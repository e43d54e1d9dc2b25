//! The driver of a [`flaxhead_lease::Machine`].
//!
//! It owns the timers, encodes messages within the application's size limits, gathers what the process knows of members,
//! and leaves every decision to the machine. It runs on the sockets of [`flaxhead_peers`], on a [`Channel`] of its own, on
//! the thread that it is started on. Where a process takes part in several applications, each has a coordinator of its
//! own, and they share nothing but the sockets.

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
