//! The driver of the membership: it owns the sockets and the timers, puts packets into bytes, and has
//! [`flaxhead_membership::Machine`] decide everything. It runs on the thread that it is started on, beside the engine,
//! and does a bounded piece of work before it lets others go on.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
mod driver;
mod lines;
mod settings;

pub use codec::Channel;
pub use driver::{ChannelService, Peers, PeersView};
pub use settings::Settings;
