//! What a client proxy stores on disk over a restart. It may be outdated, so it is validated by its age, its owner and its
//! format before any of it is used; whatever does not pass counts as lost, as if there were no disk.
//!
//! [`snapshot`], [`mod@format`] and [`validation`] decide without I/O or a clock; [`disk`] reads and writes, on a thread of its
//! own.

pub mod disk;
pub mod format;
pub mod rejection;
pub mod snapshot;
pub mod validation;

pub use disk::{OpenedStore, SnapshotWriter, StoreOptions, WriteStats};
pub use rejection::Rejection;
pub use snapshot::{AsOf, ClockReading, Header, Part, Snapshot};
pub use validation::{AgeLimits, Identity, RecoveredState};
