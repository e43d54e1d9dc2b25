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
        /// Verb of the event that lacks the field.
        verb: String,
        /// Key of the field in the JSON object.
        field: &'static str,
    },
    /// The key `facts` of a CREATE event holds invalid settings.
    #[error("invalid facts: {0}")]
    InvalidSettings(#[from] flaxhead_settings::SettingsError),
    /// An event is for a proxy that no CREATE event made, or that was detached.
    #[error("{verb} for unknown proxy {proxy}")]
    UnknownProxy {
        /// Verb of the event for the unknown proxy.
        verb: String,
        /// Value of the event's key `proxy`.
        proxy: i64,
    },
    /// An update of the endpoint list has a scope that is not one of the four defined values.
    #[error("MEMBERS with unknown scope {0}")]
    UnknownScope(i64),
    /// An update refers to an endpoint list that no POOL event defined.
    #[error("MEMBERS of unknown list {0}")]
    UnknownList(i64),
    /// An entry of an endpoint list has a state that is not one of the three defined values.
    #[error("host {host} in unknown state {state}")]
    UnknownState {
        /// Id of the host that the entry describes.
        host: u32,
        /// Value given as the state of that host.
        state: u32,
    },
    /// An event has a verb, given as received, that the adapter does not handle.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
