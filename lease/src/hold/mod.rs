//! What a holder keeps, whatever it settles: its lease, the roster, what each process was told and said.

mod heard;
mod room;
mod roster;
mod state;
mod telling;

pub use heard::Heard;
pub use room::Room;
pub(crate) use state::Bid;
pub use state::Hold;
