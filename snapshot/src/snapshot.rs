//! The contents of a snapshot: a header and named parts.

use serde::{Deserialize, Serialize};

/// Maximum number of parts in a snapshot.
pub const MAX_PARTS: usize = 32;
/// Maximum length of a part's name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum size of a part, in bytes.
pub const MAX_PART_BYTES: usize = 1 << 20;

/// One moment by several clocks, as any one of them may be wrong after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Unix time in milliseconds. It may have been set, also backwards.
    pub wall_ms: u64,
    /// Milliseconds since the machine's boot, its sleep included. Nobody sets it, but it says nothing of another boot.
    pub up_ms: u64,
    /// Identifies the boot; 0: not known, and `up_ms` is not used.
    pub boot: u128,
}

/// Who wrote a snapshot, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The cluster of `[peers]`; empty without.
    pub cluster: String,
    /// The proxy's name.
    pub proxy: String,
    /// The process's incarnation: higher than that of any process whose snapshot it could read.
    pub incarnation: u64,
    /// Which write of that process this is, from 1.
    pub writes: u64,
    /// When the process wrote it, and so was last known to run.
    pub written: ClockReading,
}

/// A part, as it is written. What its bytes mean is up to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its name, at most [`MAX_NAME_BYTES`] long.
    pub name: String,
    /// The format version of its bytes: another one is not read.
    pub version: u16,
    /// The ballot under which it was valid, as its owner numbers ballots; 0: under none.
    pub ballot: u64,
    /// The incarnation of the process that it is of, as its owner numbers them.
    pub incarnation: u64,
    /// Its age when it was written, in milliseconds.
    pub age_ms: u64,
    /// Its contents, at most [`MAX_PART_BYTES`].
    pub bytes: Vec<u8>,
}

/// When the contents of a part were true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AsOf {
    /// For as long as the process runs and does not replace the part: each write makes it new.
    Now,
    /// At a moment of the process's clock. It ages from there on, however often it is written.
    At(std::time::Instant),
}

/// A snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Who wrote it, and when.
    pub header: Header,
    /// The parts, each name once.
    pub parts: Vec<Part>,
}
