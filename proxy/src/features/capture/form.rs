//! The form of captured files.

use flaxhead_engine::Endpoint;
use flaxhead_policy::{Action, Balancer, CallId, Event, Micros, ServerId, Settings as Told};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::SocketAddr;

/// The form of the files.
const FORMAT: u16 = 6;
/// Bytes of the seed, and of a frame's length.
pub(super) const SEED: usize = 8;
pub(super) const LENGTH: usize = 3;
/// What a line of a dump begins with.
pub(super) const MARK: &str = "CAP ";
/// What the log says before a file's lines.
pub(super) const FOLLOWS: &str = "capture: below is ";

/// Which program wrote a file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Version<'a> {
    pub(super) program: Cow<'a, str>,
    pub(super) format: u16,
}

impl Version<'_> {
    pub(super) fn own() -> Version<'static> {
        Version { program: Cow::Borrowed(concat!("flaxhead ", env!("CARGO_PKG_VERSION"))), format: FORMAT }
    }
}

/// What a file opens with.
#[derive(Serialize)]
pub(super) struct Opening<'a> {
    /// The file's number since the start.
    pub(super) number: u64,
    /// The module's clock at the start.
    pub(super) origin: Micros,
    /// Steps that no file holds, up to here.
    pub(super) missed: u64,
    pub(super) settings: &'a Told,
    /// The module as it was here, random numbers included; `None`: as it is made of seed and settings.
    pub(super) state: Option<&'a Balancer>,
}

/// The same, as it is read.
#[derive(Deserialize)]
pub(super) struct Opened {
    pub(super) number: u64,
    pub(super) origin: Micros,
    pub(super) missed: u64,
    pub(super) settings: Told,
    pub(super) state: Option<Balancer>,
}

/// An input or a decision, at its time since the start.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Record<'a> {
    /// Whole milliseconds, and the microseconds beyond them.
    pub(super) ms: u64,
    pub(super) us: u16,
    pub(super) item: Item<'a>,
}

/// What is recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Item<'a> {
    /// A host as it is known where the file begins.
    Host {
        /// Its number.
        server: ServerId,
        /// Its name.
        host: Cow<'a, str>,
        /// Where it listens.
        dial: SocketAddr,
    },
    /// A call that is in hand where the file begins.
    Open {
        /// Its number.
        call: CallId,
        /// Its `X-Call-Id`.
        id: Cow<'a, str>,
    },
    /// A line of discovery, its hosts with their numbers.
    Line {
        /// The list's version.
        seq: u64,
        /// Whether it is all of the list.
        whole: bool,
        /// The hosts.
        hosts: Vec<(ServerId, Cow<'a, Endpoint>)>,
    },
    /// A request.
    Asked {
        /// The number it gets.
        call: CallId,
        /// Its class.
        class: Cow<'a, str>,
        /// Its `X-Caller`.
        caller: Cow<'a, str>,
        /// Its `X-Call-Id`.
        id: Cow<'a, str>,
        /// Its `X-Budget-Ms`.
        budget_ms: u64,
    },
    /// What the module was fed.
    Fed(Cow<'a, Event>),
    /// What it said to that.
    Did(Cow<'a, Action>),
    /// The code of a call's final answer.
    Answered {
        /// The call.
        call: CallId,
        /// The code.
        code: u16,
    },
}

/// A frame off the front of what is left.
pub(super) enum Frame<'a> {
    Body(&'a [u8]),
    End,
    Cut,
}

/// Takes it off.
pub(super) fn frame<'a>(rest: &mut &'a [u8]) -> Frame<'a> {
    let Some((&[a, b, c], body)) = rest.split_first_chunk::<LENGTH>() else { return Frame::Cut };
    let length = u32::from_be_bytes([0, a, b, c]) as usize;
    let Some((body, after)) = body.split_at_checked(length) else { return Frame::Cut };
    *rest = after;
    if length == 0 {
        Frame::End
    } else {
        Frame::Body(body)
    }
}

/// The version that a file begins with, where it is one of ours.
pub(super) fn version<'a>(rest: &mut &'a [u8]) -> Option<Version<'a>> {
    let Frame::Body(body) = frame(rest) else { return None };
    let version: Version = postcard::from_bytes(body).ok()?;
    version.program.starts_with("flaxhead ").then_some(version)
}

#[cfg(test)]
mod tests;
