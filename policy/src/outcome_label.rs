//! Names of outcomes on the platform.

use crate::api::Outcome;

impl Outcome {
    /// Platform's name of an outcome that counts as an error of the server; `None` if the attempt was served
    /// or ended by the proxy itself. An unknown outcome is an unusable answer and counts as an error.
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
