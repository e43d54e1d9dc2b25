//! What ends the adapter: a line that the wire does not allow. `main` tells it with the line's number.

use std::io;

/// Why a line cannot be answered.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// Standard input broke.
    #[error("unreadable: {0}")]
    Unreadable(io::Error),
    /// No JSON of the wire's form.
    #[error("not a batch: {0}")]
    NoBatch(serde_json::Error),
    /// The reply cannot be written as JSON.
    #[error("no reply: {0}")]
    NoReply(serde_json::Error),
    /// An event lacks what its verb needs.
    #[error("{verb} without {field}")]
    Without {
        /// The verb.
        verb: String,
        /// What it lacks.
        field: &'static str,
    },
    /// A proxy's settings cannot be used.
    #[error("facts: {0}")]
    Facts(#[from] flaxhead_settings::SettingsError),
    /// A proxy that no CREATE made, or that was detached.
    #[error("{verb} for unknown proxy {proxy}")]
    Proxy {
        /// The verb.
        verb: String,
        /// The proxy's number.
        proxy: i64,
    },
    /// A piece of news that is neither of the whole list nor of a part.
    #[error("MEMBERS with unknown scope {0}")]
    Scope(i64),
    /// A list that no POOL named.
    #[error("MEMBERS of unknown list {0}")]
    List(i64),
    /// A host in a state that the wire does not have.
    #[error("host {host} in unknown state {state}")]
    State {
        /// The host's number.
        host: u32,
        /// The state's number.
        state: u32,
    },
    /// An event that the wire does not have.
    #[error("unknown verb {0}")]
    Verb(String),
}
