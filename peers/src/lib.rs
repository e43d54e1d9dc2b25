//! The driver of the membership.
//!
//! It owns the sockets and the timers, encodes packets, and leaves every decision to [`flaxhead_membership::Machine`]. It
//! runs on the thread that it is started on, beside the engine, and does a bounded piece of work before it lets others go
//! on.

mod change_log;
pub mod codec;
mod connections;
mod datagrams;
mod framing;
mod peers;
mod settings;
mod stats;

pub use codec::Channel;
pub use peers::{ChannelService, Peers};
pub use settings::Settings;
pub use stats::{PeersView, WireStats};
