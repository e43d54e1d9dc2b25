//! The driver of an application that the proxies settle in common: it owns the timers, puts messages into bytes within the
//! application's bounds, gathers what the process knows of members, and has [`flaxhead_lease::Machine`] decide everything. It
//! runs on the sockets of [`flaxhead_peers`], on a [`Channel`] of its own, on the thread that it is started on. Where a
//! process takes part in several applications, each has a coordinator of its own, and they share nothing but the sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod driver;
mod members;
mod side;
mod wire;

pub use disk::Disk;
pub use driver::{Coordinator, Settings};
pub use flaxhead_peers::Channel;
pub use side::{Clock, Side};
pub use wire::Unfit;
