//! Connection capacity, shared among tenants by all client proxies: decisions without I/O or clock.
//!
//! A call in hand uses a connection to a host for as long as it runs, so what is shared is counted in calls in hand; a
//! second copy of a call is one more. A tenant may have a *cap* over the whole fleet, which is hard, and has a *fair
//! share* of what the hosts can carry, which is lent where others leave theirs.
//!
//! Each process has a small part of each cap that needs nobody ([`Book`]). The rest is granted by whoever holds the lease
//! ([`Ledger`]), for a time that the receiver counts from its asking ([`Held`]). At every moment the sum of what anybody
//! may use is at most the cap. What each part promises and what not stands in `docs/design/shares.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod allowance;
mod application;
mod book;
mod capacity;
pub mod divide;
pub mod gate;
mod held;
mod ledger;
mod pace;
mod view;
mod word;

pub use allowance::{Allowance, Units};
pub use application::{Around, Effect, Facts, Machine, Message, Shares};
pub use book::{Book, BookError, Tenant, Terms, OTHERS};
pub use capacity::{carried, Host, Learned};
pub use held::Held;
pub use ledger::Ledger;
pub use pace::Pace;
pub use view::{HolderRow, TenantRow, View};
pub use word::{Deal, Leave, Seat, Stamp, Usage, Use, Word};

pub use flaxhead_lease::{Ballot, Micros, Name, Process};
