//! The platform's words for how an attempt ended.

use crate::api::Outcome;

impl Outcome {
    /// The platform's word for an outcome that counts as a host's error; `None`: it served, or the proxy itself
    /// ended the attempt. What no word fits is an answer that cannot be used: an error.
    pub fn error_label(self) -> Option<&'static str> {
        match self {
            Outcome::Error | Outcome::Unknown => Some("error"),
            Outcome::Rejected => Some("turned away"),
            Outcome::TimedOut => Some("timed out"),
            Outcome::NoConnection => Some("could not connect"),
            Outcome::Reset => Some("reset"),
            Outcome::Served | Outcome::Cancelled | Outcome::NotSent => None,
        }
    }
}
