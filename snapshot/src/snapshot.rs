//! What a snapshot holds: a header and named parts.

use serde::{Deserialize, Serialize};

/// Most parts of a snapshot, bytes of a part's name, and bytes of a part.
pub const PARTS_MOST: usize = 32;
/// See [`PARTS_MOST`].
pub const NAME_MOST: usize = 32;
/// See [`PARTS_MOST`].
pub const PART_MOST: usize = 1 << 20;

/// A moment, by every clock that there is: any one of them alone can be wrong after a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moment {
    /// Unix time, in milliseconds. Somebody may have set it, also back.
    pub wall_ms: u64,
    /// Milliseconds since the machine's start, its sleep included. No one sets it, but it says nothing of another start.
    pub up_ms: u64,
    /// Which start of the machine that was; 0: not known, then `up_ms` is not used.
    pub boot: u128,
}

/// Who wrote a snapshot, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The cluster of `[peers]`; empty without.
    pub cluster: String,
    /// The proxy's name.
    pub proxy: String,
    /// The process: higher than that of any process whose snapshot it could read.
    pub life: u64,
    /// Which write of that process this is, from 1.
    pub writes: u64,
    /// When the process wrote it, and so was last known to live.
    pub written: Moment,
}

/// A part, as it is written. What its bytes mean is up to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its name, at most [`NAME_MOST`] bytes.
    pub name: String,
    /// The form of its bytes: another one is not read.
    pub version: u16,
    /// The ballot under which it counted, as its owner numbers ballots; 0: under none.
    pub ballot: u64,
    /// The life of the process that it is of, as its owner numbers lives.
    pub life: u64,
    /// How old it was when it was written, in milliseconds.
    pub age_ms: u64,
    /// What it holds, at most [`PART_MOST`] bytes.
    pub bytes: Vec<u8>,
}

/// When what a part says was true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AsOf {
    /// For as long as the process lives and says nothing else: each write makes it new.
    Living,
    /// At a moment of the process's clock. It ages from there on, however often it is written.
    At(std::time::Instant),
}

/// All that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Who and when.
    pub header: Header,
    /// The parts, each name once.
    pub parts: Vec<Part>,
}
