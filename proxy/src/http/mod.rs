//! HTTP/1.1, both ways: the front that takes the application's requests in, and the transport that carries them to
//! hosts.

mod client_probe;
mod exchange;
pub mod front;
mod idle;
mod reuse;
mod stream;
mod surplus;
mod transport;

pub use client_probe::{ClientProbe, ClientStatus};
pub use transport::{Forward, Http};

/// The engine as the daemon has it.
pub type Engine = flaxhead_engine::Engine<Http>;
/// The answer of a call.
pub type Reply = flaxhead_engine::Reply<hyper::Response<hyper::body::Bytes>>;

/// The status that a client gets.
pub fn code(reply: &Reply) -> hyper::StatusCode {
    match reply {
        Reply::Served(answer) => answer.status(),
        Reply::Rejected(_) => hyper::StatusCode::SERVICE_UNAVAILABLE,
        Reply::Failed => hyper::StatusCode::BAD_GATEWAY,
    }
}
