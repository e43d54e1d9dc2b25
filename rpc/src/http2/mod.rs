//! The transport to hosts over HTTP/2.

mod connection;
mod subchannel;
mod transport;

pub use subchannel::Scaling;
pub use transport::{Forward, Http2, Spec};
