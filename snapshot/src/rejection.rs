//! Why a snapshot, or a part of one, is not used. Each reason ends the same way: it counts as lost.

use thiserror::Error;

/// Why a file, or a part of it, counts as lost. The message says what an operator can do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Rejection {
    /// There is no file.
    #[error(
        "nothing is kept there yet. Right for a new proxy; else see whether the folder outlives a restart"
    )]
    Missing,
    /// The system does not let it be read.
    #[error("cannot be read ({0}). Let the proxy's user read and write the folder and what is in it")]
    Unreadable(String),
    /// Another process has the folder's lock for this proxy.
    #[error("another process keeps its state there. Give each proxy a name or a folder of its own, or end that one")]
    InUse,
    /// It does not begin as a snapshot does, or is none inside.
    #[error("is no snapshot of flaxhead. Take the file away if it came there by mistake; it is overwritten")]
    NotASnapshot,
    /// It is longer than any snapshot.
    #[error("has {bytes} bytes, and a snapshot at most {max}. Take it away if it came there by mistake; it is overwritten")]
    TooLong {
        /// Its length.
        bytes: u64,
        /// The maximum length.
        max: u64,
    },
    /// It ends early, or goes on beyond its end.
    #[error("has {actual} bytes in place of {expected}: torn. Look after the disk; it is overwritten")]
    Truncated {
        /// Its length.
        actual: u64,
        /// The length that it should have.
        expected: u64,
    },
    /// Its checksum does not match.
    #[error(
        "has bytes that were not written so ({0}). Look after the disk and its memory; it is overwritten"
    )]
    Corrupt(String),
    /// It is intact, and of another format version.
    #[error("is of form {found}, and this program writes form {own}. Right after another version ran; it is overwritten")]
    FormatVersion {
        /// The file's.
        found: u16,
        /// This program's.
        own: u16,
    },
    /// It is of another cluster.
    #[error("is of cluster {found:?}, and this proxy of {own:?}. Give each cluster a folder of its own")]
    Cluster {
        /// The file's.
        found: String,
        /// This proxy's.
        own: String,
    },
    /// It is of another proxy.
    #[error("is of proxy {found:?}, and this is {own:?}. Give each proxy its own file back, or none")]
    Proxy {
        /// The file's.
        found: String,
        /// This proxy's.
        own: String,
    },
    /// It is too old to be of use.
    #[error("is {age_ms} ms old, and old_s allows {max_ms}. Right after a long stop; else somebody put an old file back")]
    TooOld {
        /// Its age.
        age_ms: u64,
        /// The maximum age.
        max_ms: u64,
    },
    /// It was written in the future.
    #[error("was written {by_ms} ms from now: a clock went back. Set the machine's clock right; it is overwritten")]
    FromTheFuture {
        /// How far.
        by_ms: u64,
    },
    /// The snapshot is taken, and this is not in it.
    #[error("holds no {0}. Right where it was not yet known, or its feature was off")]
    MissingPart(String),
    /// A part has another format version than its owner reads.
    #[error("holds {name} in form {found}, and this program reads {own}. Right after another version ran")]
    PartVersion {
        /// The part.
        name: String,
        /// Its version.
        found: u16,
        /// The owner's.
        own: u16,
    },
    /// The owner cannot read a part.
    #[error(
        "holds {0} that cannot be read, though it is as it was written. Report it as a defect of flaxhead"
    )]
    UnreadablePart(String),
    /// The owner can read a part and does not use it.
    #[error("holds {name} that is not used: {reason}")]
    UnusablePart {
        /// The part.
        name: String,
        /// Why not.
        reason: String,
    },
}
