//! Errors that end the adapter.

use std::io;

/// Reason for which an input line cannot be processed.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error("cannot read standard input: {0}")]
    Read(io::Error),
    /// The line is not a batch in JSON.
    #[error("invalid batch: {0}")]
    InvalidBatch(serde_json::Error),
    /// The reply could not be encoded as JSON.
    #[error("cannot encode the reply: {0}")]
    Encode(serde_json::Error),
    /// An event lacks a field that its verb requires.
    #[error("{verb} without {field}")]
    MissingField {
        /// Verb of the event.
        verb: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// The settings of a proxy are invalid.
    #[error("invalid facts: {0}")]
    InvalidSettings(#[from] flaxhead_settings::SettingsError),
    /// The proxy was not created, or was detached.
    #[error("{verb} for unknown proxy {proxy}")]
    UnknownProxy {
        /// Verb of the event.
        verb: String,
        /// Id of the proxy.
        proxy: i64,
    },
    /// The scope of a list update is unknown.
    #[error("MEMBERS with unknown scope {0}")]
    UnknownScope(i64),
    /// The list was not defined by a POOL event.
    #[error("MEMBERS of unknown list {0}")]
    UnknownList(i64),
    /// The state of a host is unknown.
    #[error("host {host} in unknown state {state}")]
    UnknownState {
        /// Id of the host.
        host: u32,
        /// Number of the state.
        state: u32,
    },
    /// The verb of an event is unknown.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
