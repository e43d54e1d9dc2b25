//! What a client proxy remembers on disk over a restart. It is old news, judged by its age, its owner and its form before
//! any of it is used; whatever does not pass counts as forgotten, as if there were no disk.
//!
//! [`snapshot`], [`form`] and [`judge`] decide without I/O or a clock; [`disk`] reads and writes, on a thread of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
pub mod form;
pub mod judge;
pub mod refusal;
pub mod snapshot;

pub use disk::{Figures, Keeper, Opened, Start};
pub use judge::{Bounds, Mine, Recollection};
pub use refusal::Refusal;
pub use snapshot::{AsOf, Header, Moment, Part, Snapshot};
